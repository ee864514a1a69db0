"""Results of benchmarks, and their output as tables, JSON and plots."""

from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec
import tabulate

__all__ = ['Measure', 'Series', 'plot', 'print_results']

OUTPUT_FOLDER = Path('bench-output')


class Series(NamedTuple):
    """A line of a plot."""

    label: str
    points: list[tuple[float, float]]


class Measure(NamedTuple):
    """One measurement of a deployment; names of figures end in their unit."""

    name: str
    deployment: str
    figures: dict[str, Any]
    trials: int
    seed: int
    series: tuple[Series, ...] = ()
    axes: tuple[str, str] = ('', '')

    def to_json_line(self) -> str:
        """Return the measurement as one line of JSON."""
        row = {
            'name': self.name,
            'deployment': self.deployment,
            **self.figures,
            'n': self.trials,
            'seed': self.seed,
        }
        return msgspec.json.encode(row).decode()


def plot(measurement: Measure) -> Path | None:
    """Plot a measurement's series to a PNG file; return its path."""
    if not measurement.series:
        return None
    import matplotlib as mpl

    mpl.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for series in measurement.series:
        x_values, y_values = zip(*series.points, strict=True)
        axes.plot(
            x_values, y_values, marker='o', markersize=3, label=series.label
        )
    axes.set_title(f'{measurement.name}, {measurement.deployment}')
    axes.set_xlabel(measurement.axes[0])
    axes.set_ylabel(measurement.axes[1])
    axes.legend()
    axes.grid(alpha=0.3)
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    path = OUTPUT_FOLDER / f'{measurement.name}-{measurement.deployment}.png'
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
    return path


def print_results(measurements: list[Measure]) -> None:
    """Print a table, then one line of JSON per measurement."""
    rows = [
        (measurement.name, measurement.deployment, name, figure)
        for measurement in measurements
        for name, figure in measurement.figures.items()
    ]
    headers = ('measure', 'deployment', 'figure', 'value')
    click.echo(tabulate.tabulate(rows, headers, floatfmt='.4g'))
    for measurement in measurements:
        path = plot(measurement)
        if path is not None:
            click.echo(f'plot: {path}')
    for measurement in measurements:
        click.echo(measurement.to_json_line())
