"""The ``make bench`` command."""

import random
from collections.abc import Iterator
from typing import Any, NamedTuple

import click
from tqdm import tqdm
from twisted.internet import defer

from toucandeal_standins.bench.configuration import measure_configuration
from toucandeal_standins.bench.control import (
    marginal_costs,
    measure_idle,
    measure_tables,
)
from toucandeal_standins.bench.failover import CASES, measure_failover
from toucandeal_standins.bench.outcomes import (
    measure_fairness,
    measure_outcomes,
)
from toucandeal_standins.bench.reads import CONDITIONS, measure_reads
from toucandeal_standins.bench.report import Measure, print_results
from toucandeal_standins.bench.throughput import measure_throughput
from toucandeal_standins.cluster import ATELIER, CONSORCIO
from toucandeal_standins.reactor_run import run_in_reactor

__all__ = ['main']


class BenchmarkSize(NamedTuple):
    """The extent of a benchmark run."""

    trials: int
    seconds: float
    read_rate: float
    deployments: tuple[Any, ...]
    loads: tuple[float, ...]
    conditions: tuple[str, ...]
    cases: tuple[str, ...]
    baselines: bool


QUICK_SIZE = BenchmarkSize(
    1,
    1.5,
    60,
    (ATELIER,),
    (1, 3),
    ('calm',),
    ('killed', 'planned'),
    False,
)
FULL_SIZE = BenchmarkSize(
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
LOAD_OVERRIDES = {'groups': 3, 'service_ms': 40.0}
BASELINE_READ_FLAGS = {
    'primary_only': ('--replica-reads=primary_only',),
    'round_robin': ('--replica-reads=round_robin', '--fixed-lag-s=1'),
}
IDLE_POINTS = ((3, 4), (30, 4), (300, 4), (3, 8), (3, 16))
# Groups and proxies at the design size, and the groups that one proxy hosts.
TABLE_SIZES = (27_000, 3_500, 31)
FIRST_COME_FLAGS = ('--no-fair-queue', '--no-admission')


def _failover(size: BenchmarkSize, seed: int) -> Iterator:
    for deployment in size.deployments:
        for case in size.cases:
            yield measure_failover(
                deployment, case, size.trials, seed, lambda: None
            )
        if size.baselines:
            yield _measure_unconfirmed(deployment, size, seed)


@defer.inlineCallbacks
def _measure_unconfirmed(deployment, size: BenchmarkSize, seed: int):
    measurement = yield measure_failover(
        deployment,
        'partitioned',
        size.trials // 2,
        seed,
        lambda: None,
        ('--no-confirm-writes',),
    )
    return measurement._replace(name='failover_partitioned_unconfirmed')


def _reads(size: BenchmarkSize, seed: int) -> Iterator:
    for deployment in size.deployments:
        for condition in size.conditions:
            yield measure_reads(
                deployment, condition, size.read_rate, size.seconds, seed
            )
        if size.baselines:
            for label, flags in BASELINE_READ_FLAGS.items():
                yield measure_reads(
                    deployment,
                    'one_far_behind',
                    size.read_rate,
                    size.seconds,
                    seed,
                    flags,
                    label,
                )


def _outcomes(size: BenchmarkSize, seed: int) -> Iterator:
    for deployment in size.deployments:
        loaded = deployment._replace(**LOAD_OVERRIDES)
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
                flags=FIRST_COME_FLAGS,
                label='-first-come',
            )
            single = loaded._replace(groups=1)
            yield measure_fairness(single, size.seconds, seed)
            yield measure_fairness(
                single, size.seconds, seed, FIRST_COME_FLAGS, 'first-come'
            )


def _throughput(size: BenchmarkSize, seed: int) -> Iterator:
    yield measure_throughput(size.seconds, random.Random(seed), seed)


def _configuration(size: BenchmarkSize, seed: int) -> Iterator:
    for deployment in size.deployments:
        yield measure_configuration(
            deployment, size.trials, seed, peer_link_down=False
        )
        yield measure_configuration(
            deployment, size.trials, seed, peer_link_down=True
        )


def _control(size: BenchmarkSize, seed: int) -> Iterator:
    yield measure_tables(*TABLE_SIZES, seed)
    points = IDLE_POINTS if size.baselines else IDLE_POINTS[:1]
    measurements: list[Measure] = []
    for groups, proxies in points:
        pending = measure_idle(groups, proxies, size.seconds, seed)
        yield pending.addCallback(_collect, measurements)
    if len(measurements) > 1:
        yield marginal_costs(measurements, seed)


def _collect(measurement: Measure, measurements: list[Measure]) -> Measure:
    measurements.append(measurement)
    return measurement


BENCHMARKS = {
    'failover': _failover,
    'reads': _reads,
    'outcomes': _outcomes,
    'throughput': _throughput,
    'configuration': _configuration,
    'control': _control,
}


@defer.inlineCallbacks
def _run_benchmarks(names: list[str], size: BenchmarkSize, seed: int):
    measurements: list[Measure] = []
    with tqdm(names, unit='measure') as progress_bar:
        for name in progress_bar:
            progress_bar.set_description(name)
            for pending in BENCHMARKS[name](size, seed):
                measurement = yield pending
                measurements.append(measurement)
                progress_bar.write(measurement.to_json_line())
    return measurements


@click.command()
@click.option('--quick', is_flag=True, help='Everything within a minute.')
@click.option('--only', multiple=True, type=click.Choice(list(BENCHMARKS)))
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
    """Run the benchmarks; print a table and one JSON line per measurement."""
    names = list(only or BENCHMARKS)
    size = QUICK_SIZE if quick else FULL_SIZE
    if deployment:
        size = size._replace(deployments=(DEPLOYMENTS[deployment],))
    if case:
        size = size._replace(cases=(case,), baselines=False)
    measurements = run_in_reactor(lambda: _run_benchmarks(names, size, seed))
    if not measurements:
        raise click.ClickException('a benchmark failed; see the output above')
    print_results(measurements)


if __name__ == '__main__':
    main()
