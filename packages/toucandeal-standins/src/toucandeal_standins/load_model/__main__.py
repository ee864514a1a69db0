"""Simulates load patterns: ``python -m toucandeal_standins.load_model``."""

import click
import tabulate

from toucandeal.errors import ToucandealError
from toucandeal_standins.bench.report import plot
from toucandeal_standins.load_model.patterns import (
    load_pattern,
    pattern_names,
)
from toucandeal_standins.load_model.simulation import SimulationResult, simulate
from toucandeal_standins.load_model.statistics import (
    KindStatistics,
    as_measure,
    by_kind,
)

__all__ = ['main']


def _show(result: SimulationResult, seed: int) -> None:
    click.echo(f'{result.pattern.name}, seed {seed}')
    click.echo(
        tabulate.tabulate(
            by_kind(result.operations), KindStatistics._fields, floatfmt='.3f'
        )
    )
    measure = as_measure(result, seed)
    for name in ('worst windows', 'goodput_per_s', 'slots busy'):
        click.echo(f'{name}: {measure.figures[name]:.3f}')
    click.echo(f'plot: {plot(measure)}')


@click.command()
@click.argument('names', nargs=-1)
@click.option('--seed', type=int, default=1, show_default=True)
@click.option('--seeds', type=int, default=1, help='how many, from --seed on')
def main(names: tuple[str, ...], seed: int, seeds: int) -> None:
    """Simulate the named patterns, or all of them, and print the results."""
    for name in names or pattern_names():
        try:
            pattern = load_pattern(name)
        except ToucandealError as error:
            raise click.ClickException(str(error)) from error
        for each in range(seed, seed + seeds):
            _show(simulate(pattern, each), each)


if __name__ == '__main__':
    main()
