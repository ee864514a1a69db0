"""What a measure returns, and how it is shown."""

from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec
import tabulate

__all__ = ['Measure', 'Series', 'plot', 'show']

OUTPUT = Path('bench-output')


class Series(NamedTuple):
    """A line of a plot."""

    label: str
    points: list[tuple[float, float]]


class Measure(NamedTuple):
    """One measure of one deployment; names of figures end in their unit."""

    name: str
    deployment: str
    figures: dict[str, Any]
    trials: int
    seed: int
    series: tuple[Series, ...] = ()
    axes: tuple[str, str] = ('', '')

    def line(self) -> str:
        """Return the measure as one line of JSON."""
        row = {
            'name': self.name,
            'deployment': self.deployment,
            **self.figures,
            'n': self.trials,
            'seed': self.seed,
        }
        return msgspec.json.encode(row).decode()


def plot(measure: Measure) -> Path | None:
    """Write a measure's series as a PNG; return its path."""
    if not measure.series:
        return None
    import matplotlib as mpl

    mpl.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for series in measure.series:
        across, up = zip(*series.points, strict=True)
        axes.plot(across, up, marker='o', markersize=3, label=series.label)
    axes.set_title(f'{measure.name}, {measure.deployment}')
    axes.set_xlabel(measure.axes[0])
    axes.set_ylabel(measure.axes[1])
    axes.legend()
    axes.grid(alpha=0.3)
    OUTPUT.mkdir(exist_ok=True)
    path = OUTPUT / f'{measure.name}-{measure.deployment}.png'
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
    return path


def show(measures: list[Measure]) -> None:
    """Print a table for people, then one line of JSON a measure."""
    rows = [
        (measure.name, measure.deployment, name, figure)
        for measure in measures
        for name, figure in measure.figures.items()
    ]
    headers = ('measure', 'deployment', 'figure', 'value')
    click.echo(tabulate.tabulate(rows, headers, floatfmt='.4g'))
    for measure in measures:
        path = plot(measure)
        if path is not None:
            click.echo(f'plot: {path}')
    for measure in measures:
        click.echo(measure.line())
