"""The ``make bench`` command."""

import random
from collections.abc import Iterator
from typing import Any, NamedTuple

import click
from tqdm import tqdm
from twisted.internet import defer

from toucandeal_standins.bench.configuration import measure_configuration
from toucandeal_standins.bench.control import (
    measure_idle,
    measure_tables,
    slopes,
)
from toucandeal_standins.bench.failover import CASES, measure_failover
from toucandeal_standins.bench.outcomes import (
    measure_fairness,
    measure_outcomes,
)
from toucandeal_standins.bench.reads import CONDITIONS, measure_reads
from toucandeal_standins.bench.report import Measure, show
from toucandeal_standins.bench.throughput import measure_throughput
from toucandeal_standins.cluster import ATELIER, CONSORCIO
from toucandeal_standins.reactor_run import run_in_reactor

__all__ = ['main']


class Size(NamedTuple):
    """How much is measured."""

    trials: int
    seconds: float
    read_rate: float
    deployments: tuple[Any, ...]
    loads: tuple[float, ...]
    conditions: tuple[str, ...]
    cases: tuple[str, ...]
    baselines: bool


QUICK = Size(
    1,
    1.5,
    60,
    (ATELIER,),
    (1, 3),
    ('calm',),
    ('killed', 'planned'),
    False,
)
WHOLE = Size(
    20,
    6,
    120,
    (ATELIER, CONSORCIO),
    (0.5, 1, 3),
    tuple(CONDITIONS),
    tuple(CASES),
    True,
)
DEPLOYMENTS = {entry.name: entry for entry in (ATELIER, CONSORCIO)}
LOADED = {'groups': 3, 'service_ms': 40.0}
READ_BASELINES = {
    'primary_only': ('--replica-reads=primary_only',),
    'round_robin': ('--replica-reads=round_robin', '--fixed-lag-s=1'),
}
IDLE_POINTS = ((3, 4), (30, 4), (300, 4), (3, 8), (3, 16))
# Groups and proxies of the design size, and the groups that one hosts.
TABLES = (27_000, 3_500, 31)
FIRST_COME = ('--no-fair-queue', '--no-admission')


def _failover(size: Size, seed: int) -> Iterator:
    for deployment in size.deployments:
        for case in size.cases:
            yield measure_failover(
                deployment, case, size.trials, seed, lambda: None
            )
        if size.baselines:
            yield _without_confirmation(deployment, size, seed)


@defer.inlineCallbacks
def _without_confirmation(deployment, size: Size, seed: int):
    measure = yield measure_failover(
        deployment,
        'partitioned',
        size.trials // 2,
        seed,
        lambda: None,
        ('--no-confirm-writes',),
    )
    return measure._replace(name='failover_partitioned_unconfirmed')


def _reads(size: Size, seed: int) -> Iterator:
    for deployment in size.deployments:
        for condition in size.conditions:
            yield measure_reads(
                deployment, condition, size.read_rate, size.seconds, seed
            )
        if size.baselines:
            for label, flags in READ_BASELINES.items():
                yield measure_reads(
                    deployment,
                    'one_far_behind',
                    size.read_rate,
                    size.seconds,
                    seed,
                    flags,
                    label,
                )


def _outcomes(size: Size, seed: int) -> Iterator:
    for deployment in size.deployments:
        loaded = deployment._replace(**LOADED)
        for load in size.loads:
            yield measure_outcomes(loaded, load, size.seconds, seed)
        if size.baselines:
            yield measure_outcomes(
                loaded, 0.5, size.seconds, seed, kill_proxy=True
            )
            yield measure_outcomes(
                loaded,
                3,
                size.seconds,
                seed,
                flags=FIRST_COME,
                label='-first-come',
            )
            single = loaded._replace(groups=1)
            yield measure_fairness(single, size.seconds, seed)
            yield measure_fairness(
                single, size.seconds, seed, FIRST_COME, 'first-come'
            )


def _throughput(size: Size, seed: int) -> Iterator:
    yield measure_throughput(size.seconds, random.Random(seed), seed)


def _configuration(size: Size, seed: int) -> Iterator:
    for deployment in size.deployments:
        yield measure_configuration(deployment, size.trials, seed, cut=False)
        yield measure_configuration(deployment, size.trials, seed, cut=True)


def _control(size: Size, seed: int) -> Iterator:
    yield measure_tables(*TABLES, seed)
    points = IDLE_POINTS if size.baselines else IDLE_POINTS[:1]
    measures: list[Measure] = []
    for groups, proxies in points:
        started = measure_idle(groups, proxies, size.seconds, seed)
        yield started.addCallback(_keep, measures)
    if len(measures) > 1:
        yield slopes(measures, seed)


def _keep(measure: Measure, measures: list[Measure]) -> Measure:
    measures.append(measure)
    return measure


MEASURES = {
    'failover': _failover,
    'reads': _reads,
    'outcomes': _outcomes,
    'throughput': _throughput,
    'configuration': _configuration,
    'control': _control,
}


@defer.inlineCallbacks
def _run(names: list[str], size: Size, seed: int):
    measures: list[Measure] = []
    with tqdm(names, unit='measure') as bar:
        for name in bar:
            bar.set_description(name)
            for started in MEASURES[name](size, seed):
                measure = yield started
                measures.append(measure)
                bar.write(measure.line())
    return measures


@click.command()
@click.option('--quick', is_flag=True, help='Everything within a minute.')
@click.option('--only', multiple=True, type=click.Choice(list(MEASURES)))
@click.option('--deployment', type=click.Choice(list(DEPLOYMENTS)))
@click.option('--case', type=click.Choice(list(CASES)), help='Of failover.')
@click.option('--seed', type=int, default=1)
def main(
    only: tuple[str, ...],
    deployment: str | None,
    case: str | None,
    seed: int,
    *,
    quick: bool,
) -> None:
    """Measure, and print a table and a line of JSON for each measure."""
    names = list(only or MEASURES)
    size = QUICK if quick else WHOLE
    if deployment:
        size = size._replace(deployments=(DEPLOYMENTS[deployment],))
    if case:
        size = size._replace(cases=(case,), baselines=False)
    measures = run_in_reactor(lambda: _run(names, size, seed))
    if not measures:
        raise click.ClickException('a measure failed; see above')
    show(measures)


if __name__ == '__main__':
    main()
