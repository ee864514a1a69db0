"""Schedule by which proxies send copies of shared data to outdated peers.

Addresses this load pattern: a large configuration comes into force, some
proxies read it from the store slightly before the others, and the network
links are narrow. If each of these proxies sent a copy to each outdated peer
with every heartbeat, the copies would saturate the links for seconds. A peer
therefore gets time to read the store itself. Then one proxy after another
sends a copy, in an order that differs between peers, and each proxy waits for
a retry interval before it sends another copy.
"""

from collections.abc import Iterable
from typing import NamedTuple

from toucandeal.rendezvous import rendezvous_order

__all__ = ['CopySchedule', 'OutdatedPeer', 'copy_is_due', 'copy_rank']


class CopySchedule(NamedTuple):
    """The schedule for copies of one kind, in seconds.

    `initial_delay_s` is the time for the peer to read the store itself,
    `rank_interval_s` the interval between consecutive senders, and
    `retry_interval_s` the least interval between two copies of one sender.
    """

    initial_delay_s: float
    rank_interval_s: float
    retry_interval_s: float


class OutdatedPeer(NamedTuple):
    """Since when a peer is outdated, and when it was last sent a copy."""

    since: float
    sent_at: float


def copy_rank(own: str, peer: str, proxies: Iterable[str]) -> int:
    """Return this proxy's rank among those that may send to a peer.

    Examples
    --------
    >>> names = ['p1', 'p2', 'p3', 'p4']
    >>> sorted(copy_rank(name, 'p4', names) for name in names[:3])
    [0, 1, 2]
    """
    senders = {*proxies, own} - {peer}
    return rendezvous_order(senders, peer).index(own)


def copy_is_due(
    outdated: OutdatedPeer, rank: int, schedule: CopySchedule, now: float
) -> bool:
    """Return whether this proxy has to send a copy now.

    Examples
    --------
    >>> schedule = CopySchedule(
    ...     initial_delay_s=0.6, rank_interval_s=0.25, retry_interval_s=3.0
    ... )
    >>> never_sent = OutdatedPeer(10.0, 0.0)
    >>> [copy_is_due(never_sent, 1, schedule, now) for now in (10.5, 10.9)]
    [False, True]
    >>> copy_is_due(OutdatedPeer(10.0, 10.9), 1, schedule, 12.0)
    False
    """
    scheduled_at = (
        outdated.since
        + schedule.initial_delay_s
        + rank * schedule.rank_interval_s
    )
    return now >= max(
        scheduled_at, outdated.sent_at + schedule.retry_interval_s
    )
