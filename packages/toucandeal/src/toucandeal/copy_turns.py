"""When a proxy sends a peer a copy of what the peer lacks.

Answers this load pattern: a large configuration comes into force, some proxies
have it from the store a moment before the others, and the links are narrow. If
each of them sent a copy to each peer that is behind, and again with every
beat, the copies would fill the links for seconds. So a peer is given time to
read the store itself; then one proxy after another sends a copy, in an order
that differs from peer to peer, and none sends again soon.
"""

from collections.abc import Iterable
from typing import NamedTuple

from toucandeal.membership import rendezvous_order

__all__ = ['CopyPace', 'Lacking', 'copy_is_due', 'copy_rank']


class CopyPace(NamedTuple):
    """How soon copies of one kind are sent, in seconds.

    `after_s` is left to the peer to read the store; `step_s` lies between the
    turns of two senders, and `again_s` between two copies of one sender.
    """

    after_s: float
    step_s: float
    again_s: float


class Lacking(NamedTuple):
    """Since when a peer has been behind, and when it was last sent a copy."""

    since: float
    sent_at: float


def copy_rank(own: str, peer: str, proxies: Iterable[str]) -> int:
    """Return this proxy's place among those that may send to a peer.

    Examples
    --------
    >>> names = ['p1', 'p2', 'p3', 'p4']
    >>> sorted(copy_rank(name, 'p4', names) for name in names[:3])
    [0, 1, 2]
    """
    senders = {*proxies, own} - {peer}
    return rendezvous_order(senders, peer).index(own)


def copy_is_due(
    lacking: Lacking, rank: int, pace: CopyPace, now: float
) -> bool:
    """Return whether it is this proxy's turn to send a copy.

    Examples
    --------
    >>> pace = CopyPace(after_s=0.6, step_s=0.25, again_s=3.0)
    >>> never_sent = Lacking(10.0, 0.0)
    >>> [copy_is_due(never_sent, 1, pace, now) for now in (10.5, 10.9)]
    [False, True]
    >>> copy_is_due(Lacking(10.0, 10.9), 1, pace, 12.0)
    False
    """
    turn_at = lacking.since + pace.after_s + rank * pace.step_s
    return now >= max(turn_at, lacking.sent_at + pace.again_s)
