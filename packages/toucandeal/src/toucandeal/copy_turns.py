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

from toucandeal.membership import rendezvous_order

__all__ = ['CopyPace', 'Lacking', 'copy_is_due', 'copy_rank']


class CopyPace(NamedTuple):
    """The schedule for copies of one kind, in seconds.

    `initial_delay_s` is the time for the peer to read the store itself,
    `rank_interval_s` the interval between consecutive senders, and
    `retry_interval_s` the least interval between two copies of one sender.
    """

    initial_delay_s: float
    rank_interval_s: float
    retry_interval_s: float


class Lacking(NamedTuple):
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
    outdated: Lacking, rank: int, pace: CopyPace, now: float
) -> bool:
    """Return whether this proxy has to send a copy now.

    Examples
    --------
    >>> pace = CopyPace(
    ...     initial_delay_s=0.6, rank_interval_s=0.25, retry_interval_s=3.0
    ... )
    >>> never_sent = Lacking(10.0, 0.0)
    >>> [copy_is_due(never_sent, 1, pace, now) for now in (10.5, 10.9)]
    [False, True]
    >>> copy_is_due(Lacking(10.0, 10.9), 1, pace, 12.0)
    False
    """
    scheduled_at = (
        outdated.since + pace.initial_delay_s + rank * pace.rank_interval_s
    )
    return now >= max(scheduled_at, outdated.sent_at + pace.retry_interval_s)
