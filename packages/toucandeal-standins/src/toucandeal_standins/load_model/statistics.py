"""Statistics of a simulation."""

import collections
import itertools
from typing import NamedTuple

from toucandeal_standins.bench.report import Measure, Series
from toucandeal_standins.load_model.callers import (
    FAILED,
    IN_TIME,
    LATE,
    REFUSED,
    Operation,
)
from toucandeal_standins.load_model.simulation import SimulationResult

__all__ = [
    'KindStatistics',
    'as_measure',
    'by_kind',
    'earned_by_window',
    'goodput',
    'in_time_by_domain',
]

WINDOW_S = 2.0


class KindStatistics(NamedTuple):
    """Outcome counts of a kind; `earned` is the earned share of its worth."""

    kind: str
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    earned: float
    p50_ms: float
    p99_ms: float


def by_kind(operations: list[Operation]) -> list[KindStatistics]:
    """Return the statistics of each kind, followed by the total."""
    ordered = sorted(operations, key=lambda each: each.kind)
    kinds = [
        _statistics(kind, list(members))
        for kind, members in itertools.groupby(
            ordered, key=lambda each: each.kind
        )
    ]
    return [*kinds, _statistics('all', operations)]


def _statistics(kind: str, operations: list[Operation]) -> KindStatistics:
    outcomes = collections.Counter(each.outcome for each in operations)
    served = sorted(
        each.latency_s for each in operations if each.outcome in {IN_TIME, LATE}
    )
    return KindStatistics(
        kind,
        len(operations),
        outcomes[IN_TIME],
        outcomes[LATE],
        outcomes[REFUSED],
        outcomes[FAILED],
        _earned_share(operations),
        _quantile_ms(served, 0.5),
        _quantile_ms(served, 0.99),
    )


def _quantile_ms(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)] * 1000


def _earned_share(operations: list[Operation]) -> float:
    max_worth = sum(each.max_worth for each in operations)
    return (
        sum(each.worth for each in operations) / max_worth if max_worth else 1.0
    )


def in_time_by_domain(operations: list[Operation]) -> dict[str, float]:
    """Return the share of operations served in time by failure domain."""
    asked = collections.Counter(each.failure_domain for each in operations)
    in_time = collections.Counter(
        each.failure_domain for each in operations if each.outcome == IN_TIME
    )
    return {
        domain: in_time[domain] / count
        for domain, count in sorted(asked.items())
    }


def goodput(result: SimulationResult) -> float:
    """Return the number of operations served in time per second."""
    in_time = sum(each.outcome == IN_TIME for each in result.operations)
    return in_time / result.pattern.seconds


def earned_by_window(result: SimulationResult) -> list[tuple[float, float]]:
    """Return the start of each window and the share of worth earned in it."""
    buckets: dict[int, list[Operation]] = collections.defaultdict(list)
    for operation in result.operations:
        buckets[int(operation.began_at // WINDOW_S)].append(operation)
    return [
        (number * WINDOW_S, _earned_share(buckets[number]))
        for number in sorted(buckets)
    ]


def as_measure(result: SimulationResult, seed: int) -> Measure:
    """Convert the statistics to a measure for the bench report."""
    figures: dict[str, float] = {}
    for kind in by_kind(result.operations):
        figures |= {
            f'{kind.kind} {name}': share
            for name, share in kind._asdict().items()
            if name != 'kind'
        }
    worst = sorted(share for _, share in earned_by_window(result))[:2]
    figures['worst windows'] = sum(worst) / len(worst)
    figures['goodput_per_s'] = goodput(result)
    figures['slots busy'] = result.busy_share
    figures['connections opened'] = result.connections
    figures['statements crossed'] = result.crossed / max(result.forwarded, 1)
    for domain, share in in_time_by_domain(result.operations).items():
        figures[f'in time in {domain}'] = share
    return Measure(
        'load model',
        result.pattern.name,
        figures,
        1,
        seed,
        (Series('earned', earned_by_window(result)),),
        ('seconds', 'share of worth earned'),
    )
