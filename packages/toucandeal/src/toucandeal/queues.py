"""A queue that is fair among callers and ordered by cost within each.

Callers share by start-time fair queueing with equal weights [1]_: each has a
virtual time that grows by one for each request taken, and the caller with the
lowest goes next. An idle caller's virtual time is brought forward when it
returns, so nobody saves up a burst.

Within one caller the request with the greatest cost of being late goes first,
then the one with the earliest deadline.

References
----------
.. [1] Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
"""

import bisect
import itertools
from collections.abc import Iterator
from typing import NamedTuple

__all__ = ['FairQueue', 'Waiting', 'add', 'ahead_of', 'in_order', 'remove']


class Waiting(NamedTuple):
    """A queued request; the order of tuples is the order of service."""

    cost_rank: float
    deadline_at: float
    identity: int


class FairQueue:
    """The waiting requests of each caller, and each caller's virtual time."""

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: dict[str, list[Waiting]] = {}
        self.times: dict[str, float] = {}
        self.clock = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(waiting) for waiting in self.waiting.values())


def add(queue: FairQueue, caller: str, waiting: Waiting) -> None:
    """Add a request to its caller's part of the queue.

    Examples
    --------
    >>> queue = FairQueue()
    >>> add(queue, 'a', Waiting(-1, 5.0, 1))
    >>> add(queue, 'a', Waiting(-1, 4.0, 2))
    >>> add(queue, 'b', Waiting(-1, 9.0, 3))
    >>> [identity for _, identity in in_order(queue)]
    [2, 3, 1]
    """
    if caller not in queue.waiting:
        queue.waiting[caller] = []
        queue.times[caller] = max(queue.times.get(caller, 0), queue.clock)
    bisect.insort(queue.waiting[caller], waiting)


def remove(
    queue: FairQueue, caller: str, waiting: Waiting, cost: float
) -> None:
    """Take a request out; `cost` is 1 for a served one and 0 for others."""
    entries = queue.waiting[caller]
    entries.remove(waiting)
    queue.clock = max(queue.clock, queue.times[caller])
    queue.times[caller] += cost
    if not entries:
        del queue.waiting[caller]
    if not queue.waiting:
        queue.times.clear()
        queue.clock = 0.0


def in_order(queue: FairQueue) -> Iterator[tuple[str, int]]:
    """Yield caller and identity of each request, in order of service.

    Notes
    -----
    The order is that of the moment of the call; the queue may change while
    it is consumed.
    """
    cursors = {
        caller: (queue.times[caller], iter(tuple(entries)))
        for caller, entries in queue.waiting.items()
    }
    while cursors:
        _, caller = min((clock, name) for name, (clock, _) in cursors.items())
        virtual_time, entries = cursors[caller]
        waiting = next(entries, None)
        if waiting is None:
            del cursors[caller]
            continue
        cursors[caller] = (virtual_time + 1, entries)
        yield caller, waiting.identity


def ahead_of(queue: FairQueue, caller: str, waiting: Waiting) -> int:
    """Return how many requests would be served before a new one.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for number in range(10):
    ...     add(queue, 'burst', Waiting(-1, 1.0, number))
    >>> ahead_of(queue, 'quiet', Waiting(-1, 2.0, 99))
    1
    """
    own = bisect.bisect(queue.waiting.get(caller, []), waiting)
    others = (
        min(len(entries), own + 1)
        for name, entries in queue.waiting.items()
        if name != caller
    )
    return own + sum(itertools.chain(others, (0,)))
