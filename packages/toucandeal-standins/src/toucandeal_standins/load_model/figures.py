"""What a play amounts to."""

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
from toucandeal_standins.load_model.play import Played

__all__ = ['KindFigures', 'as_measure', 'by_kind', 'goodput', 'windows']

WINDOW_S = 2.0


class KindFigures(NamedTuple):
    """How many operations of a kind came to which end; `earned` of worth."""

    kind: str
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    earned: float
    p50_ms: float
    p99_ms: float


def by_kind(operations: list[Operation]) -> list[KindFigures]:
    """Return the figures of each kind, and of all."""
    ordered = sorted(operations, key=lambda each: each.kind)
    kinds = [
        _figures(kind, list(members))
        for kind, members in itertools.groupby(
            ordered, key=lambda each: each.kind
        )
    ]
    return [*kinds, _figures('all', operations)]


def _figures(kind: str, operations: list[Operation]) -> KindFigures:
    ends = collections.Counter(each.outcome for each in operations)
    served = sorted(
        each.took_s for each in operations if each.outcome in {IN_TIME, LATE}
    )
    return KindFigures(
        kind,
        len(operations),
        ends[IN_TIME],
        ends[LATE],
        ends[REFUSED],
        ends[FAILED],
        _earned(operations),
        _quantile_ms(served, 0.5),
        _quantile_ms(served, 0.99),
    )


def _quantile_ms(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)] * 1000


def _earned(operations: list[Operation]) -> float:
    owed = sum(each.owed for each in operations)
    return sum(each.worth for each in operations) / owed if owed else 1.0


def goodput(played: Played) -> float:
    """Return the operations a second that were served in time."""
    in_time = sum(each.outcome == IN_TIME for each in played.operations)
    return in_time / played.pattern.seconds


def windows(played: Played) -> list[tuple[float, float]]:
    """Return the share of worth earned by operations of each window."""
    buckets: dict[int, list[Operation]] = collections.defaultdict(list)
    for operation in played.operations:
        buckets[int(operation.began_at // WINDOW_S)].append(operation)
    return [
        (number * WINDOW_S, _earned(buckets[number]))
        for number in sorted(buckets)
    ]


def as_measure(played: Played, seed: int) -> Measure:
    """Return the figures in the form that the bench reports."""
    figures: dict[str, float] = {}
    for kind in by_kind(played.operations):
        figures |= {
            f'{kind.kind} {name}': share
            for name, share in kind._asdict().items()
            if name != 'kind'
        }
    worst = sorted(share for _, share in windows(played))[:2]
    figures['worst windows'] = sum(worst) / len(worst)
    figures['goodput_per_s'] = goodput(played)
    figures['slots busy'] = played.busy_share
    figures['connections opened'] = played.connections
    return Measure(
        'load model',
        played.pattern.name,
        figures,
        1,
        seed,
        (Series('earned', windows(played)),),
        ('seconds', 'share of worth earned'),
    )
