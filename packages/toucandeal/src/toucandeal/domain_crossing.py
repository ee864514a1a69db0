"""Decision of how many reads leave the proxy's failure domain.

Addresses these load patterns:

- Demand that swings in each failure domain at a different time, or moves from
  one domain to another, in front of servers that are at times too few in one
  domain while others are idle.
- Sustained shortage in one domain: the share follows the part of the demand
  that the domain's servers do not serve, so it settles instead of alternating
  between all and nothing.

Waits are times beyond the least round trip to a server. The decision uses
this proxy's own measurements, which may be up to one second old, and the
shares that the other domains announce.
"""

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

__all__ = [
    'ANNOUNCEMENT_S',
    'NOT_CROSSING',
    'UNWANTED_S',
    'Crossing',
    'CrossingEvidence',
    'Turn',
    'accrue',
    'excess_s',
    'is_late',
    'next_turn',
    'may_announce',
    'open_domains',
    'smoothed',
    'unserved_share',
    'update_crossing',
    'wait_s',
]

MAX_RISE = 0.2  # of the share in one step of 0.25 s
FALL = 0.05  # of the present share in one step; slower than old evidence ages
MIN_SHARE = 0.01  # smaller shares end
# Without a read that would leave; twice the age of the oldest evidence. The
# other domains may not send to one that goes on announcing its share.
UNWANTED_S = 2.0
INTENDED_SHARE = 0.05  # announced before the first read leaves
# Heartbeats every 0.25 s over two relays, and the delays between them.
ANNOUNCEMENT_S = 0.9
# Time in which a backlog is drained. Below twice the age of the evidence, the
# share would overshoot.
DRAIN_S = 2.0
RATE_WEIGHT = 0.3  # of a step in the averages of reads
# Waits vary around their mean, so a read may be late from half of its
# objective on.
LATE_SHARE = 0.5
MIN_COST_S = 0.001  # bounds the weight of an idle server
AGED_S = 2.0  # unconfirmed measurements count less from this age on
AGED_HALF_LIFE_S = 2.0


class CrossingEvidence(NamedTuple):
    """What the share of a group's reads that leaves is based on.

    `own_wait_s` and `away_wait_s` are the expected waits at the best server
    inside and outside the domain, infinite if there is none. `distance_s` is
    the difference of their least round trips, and `unserved` the share of the
    reads that the own domain did not serve. The ages are those of the two
    measurements.
    """

    own_wait_s: float
    away_wait_s: float
    distance_s: float
    unserved: float
    own_age_s: float = 0.0
    away_age_s: float = 0.0


class Crossing(NamedTuple):
    """A group's share of reads that leaves the domain.

    `announced` is sent to the other domains and precedes `share` by
    `ANNOUNCEMENT_S`. `since` is when the announcement began.
    """

    share: float = 0.0
    announced: float = 0.0
    since: float = math.inf


NOT_CROSSING = Crossing()


class Turn(NamedTuple):
    """The credit after a read, and whether the read leaves."""

    credit: float
    leaves: bool


def wait_s(
    latency_s: float,
    least_round_trip_s: float,
    queued: float,
    in_service: int,
    age_s: float,
) -> float:
    """Return the expected wait at a server beyond its least round trip.

    Parameters
    ----------
    latency_s : float
        Mean time from sending a statement to its answer.
    least_round_trip_s : float
    queued : float
        Statements that wait for a connection to the server.
    in_service : int
        Statements that have been sent and not answered.
    age_s : float
        Of the mean. That of an idle server counts less as it ages, so a server
        that was overloaded and has not been used since is tried again.

    Examples
    --------
    >>> round(wait_s(0.02, 0.005, 0, 2, 0), 3)
    0.015
    >>> round(wait_s(0.02, 0.005, 8, 2, 0), 3)
    0.095
    >>> round(wait_s(0.02, 0.005, 0, 0, 6), 5)
    0.00375
    """
    delayed_s = max(latency_s - least_round_trip_s, 0)
    if not in_service:
        delayed_s *= 0.5 ** (max(age_s - AGED_S, 0) / AGED_HALF_LIFE_S)
    return delayed_s + latency_s * queued / max(in_service, 1)


def excess_s(evidence: CrossingEvidence, cost_s: float) -> float:
    """Return by how much staying is expected to take longer than leaving.

    Examples
    --------
    >>> evidence = CrossingEvidence(0.1, 0.02, 0.003, 0.2)
    >>> round(excess_s(evidence, 0.005), 3)
    0.072
    >>> excess_s(evidence._replace(away_wait_s=math.inf), 0)
    -inf
    """
    if math.isinf(evidence.away_wait_s):
        return -math.inf
    leaving_s = evidence.away_wait_s + evidence.distance_s + cost_s
    return evidence.own_wait_s - leaving_s


def is_late(answer_s: float, latency_objective_s: float) -> bool:
    """Return whether a read that stays may miss its objective.

    Examples
    --------
    >>> is_late(0.15, 0.2), is_late(0.15, 0.8)
    (True, False)
    """
    return answer_s > latency_objective_s * LATE_SHARE


def smoothed(average: float, count: float) -> float:
    """Return the average number of reads in a step.

    Examples
    --------
    >>> smoothed(10.0, 20)
    13.0
    """
    return average + RATE_WEIGHT * (count - average)


def unserved_share(asked: float, kept: float) -> float:
    """Return the share of the reads that the own domain did not serve.

    Examples
    --------
    >>> unserved_share(20, 15), unserved_share(20, 21), unserved_share(0, 0)
    (0.25, 0, 0)
    """
    return max(1 - kept / asked, 0) if asked else 0


def update_crossing(
    crossing: Crossing,
    evidence: CrossingEvidence,
    cost_s: float,
    now: float,
    *,
    allowed: bool,
    wanted: bool,
) -> Crossing:
    """Return the share after a step of 0.25 s.

    The share rises to the part of the demand that the own domain does not
    serve, and more while there is a backlog. It falls by a fraction of itself:
    reads that can be in time stay in any case, so a share that is too high for
    some seconds sends none away needlessly.

    Parameters
    ----------
    crossing : Crossing
    evidence : CrossingEvidence
    cost_s : float
    now : float
    allowed : bool
        Whether another domain may be sent reads.
    wanted : bool
        Whether a read of the last `UNWANTED_S` would have been late here.

    Examples
    --------
    >>> import functools
    >>> short = CrossingEvidence(0.1, 0.02, 0.003, 0.3)
    >>> short_at = functools.partial(
    ...     update_crossing, evidence=short, cost_s=0.005, wanted=True
    ... )
    >>> first = short_at(NOT_CROSSING, now=7.0, allowed=True)
    >>> first
    Crossing(share=0.0, announced=0.05, since=7.0)
    >>> second = short_at(first, now=8.0, allowed=True)
    >>> second.share
    0.2
    >>> third = short_at(second, now=8.25, allowed=True)
    >>> round(third.share, 3)
    0.336
    >>> idle = CrossingEvidence(0.01, 0.01, 0.003, 0.3)
    >>> fourth = short_at(third, evidence=idle, now=8.5, allowed=True)
    >>> round(fourth.share, 3)
    0.332
    >>> short_at(fourth, now=8.75, allowed=False) == NOT_CROSSING
    True
    """
    if not (allowed and wanted):
        return NOT_CROSSING
    target = _target_share(evidence, cost_s)
    if crossing.since == math.inf:
        if target < MIN_SHARE:
            return NOT_CROSSING
        return Crossing(0.0, INTENDED_SHARE, now)
    if now - crossing.since < ANNOUNCEMENT_S:
        return crossing
    share = min(target, crossing.share + MAX_RISE)
    share = max(share, crossing.share - _most_fall(crossing, evidence, cost_s))
    if share < MIN_SHARE:
        return NOT_CROSSING
    return crossing._replace(share=share, announced=max(share, INTENDED_SHARE))


def _most_fall(
    crossing: Crossing, evidence: CrossingEvidence, cost_s: float
) -> float:
    """Return the most by which the share falls in a step."""
    fall = crossing.share * FALL
    excess = excess_s(evidence, cost_s)
    return fall if excess > 0 else min(fall, -excess / DRAIN_S)


def _target_share(evidence: CrossingEvidence, cost_s: float) -> float:
    excess = excess_s(evidence, cost_s)
    if excess <= 0:
        return 0
    return min(evidence.unserved + excess / DRAIN_S, 1)


def open_domains(
    others: Collection[str], announced: Mapping[str, float]
) -> frozenset[str]:
    """Return the domains that may be sent reads.

    A domain that announces a share is short of servers itself. As each domain
    announces its share before it sends, two domains never send to each other.

    Examples
    --------
    >>> sorted(open_domains(['b', 'c'], {'b': 0.1}))
    ['c']
    """
    return frozenset(name for name in others if not announced.get(name))


def may_announce(
    own: str,
    share: float,
    others: Collection[str],
    announced: Mapping[str, float],
) -> bool:
    """Return whether a domain may send reads away or announce that it will.

    If all other domains announce a share, only the one with the highest share
    keeps its own, and of equal ones that with the lowest name. The others
    stop, which opens them for it.

    Examples
    --------
    >>> may_announce('a', 0.2, ['b', 'c'], {'b': 0.4})
    True
    >>> may_announce('a', 0.2, ['b'], {'b': 0.4})
    False
    >>> may_announce('a', 0.4, ['b'], {'b': 0.4})
    True
    """
    if open_domains(others, announced):
        return True
    return bool(others) and all(
        (share, name) > (announced[name], own) for name in others
    )


def accrue(credit: float, share: float, *, may_leave: bool) -> Turn:
    """Return the credit after a read, and whether the read leaves.

    Each read adds the share to the credit, and one that leaves takes 1 off, so
    the reads that leave are spread evenly.

    Examples
    --------
    >>> credit, left = 0.0, []
    >>> for _ in range(8):
    ...     turn = accrue(credit, 0.25, may_leave=True)
    ...     credit = turn.credit
    ...     left.append(turn.leaves)
    >>> left
    [False, False, False, True, False, False, False, True]
    >>> accrue(1.0, 0.25, may_leave=False)
    Turn(credit=1.0, leaves=False)
    """
    credit += share
    if credit < 1:
        return Turn(credit, leaves=False)
    if may_leave:
        return Turn(credit - 1, leaves=True)
    return Turn(1.0, leaves=False)


def next_turn(turns: dict[str, float], costs: Mapping[str, float]) -> str:
    """Return the server whose turn it is, in inverse proportion to the costs.

    Sending each read to the cheapest server would make all proxies use one
    that has just become free at once.

    Examples
    --------
    >>> turns = {}
    >>> costs = {'s': 0.01, 't': 0.03}
    >>> ''.join(next_turn(turns, costs) for _ in range(8))
    'sstsssts'
    """
    weights = {name: 1 / max(cost, MIN_COST_S) for name, cost in costs.items()}
    total = sum(weights.values())
    for name in set(turns) - set(costs):
        turns.pop(name)
    for name, weight in weights.items():
        turns[name] = turns.get(name, 0) + weight / total
    chosen = max(sorted(turns), key=turns.__getitem__)
    turns[chosen] -= 1
    return chosen
