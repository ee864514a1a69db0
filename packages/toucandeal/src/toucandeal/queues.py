"""A queue that is fair among callers and ordered by cost within each.

Callers share by start-time fair queueing with equal weights [1]_: each has a
virtual time that grows by one for each served request, and the caller with
the lowest virtual time is served next. When an idle caller returns, its
virtual time is raised to the queue's, so it accumulates no credit for a burst.

Within one caller, requests are ordered by descending cost of lateness, then
by deadline.

References
----------
.. [1] Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
"""

import bisect
import itertools
import math
from collections.abc import Iterator
from typing import NamedTuple

__all__ = [
    'FairQueue',
    'Place',
    'QueueEntry',
    'add',
    'count_ahead',
    'first_after',
    'first_entry',
    'in_service_order',
    'remove',
]


class QueueEntry(NamedTuple):
    """A queued request; entries sort in order of service."""

    cost_rank: float
    deadline_at: float
    identity: int


class Place(NamedTuple):
    """A queued request, and the number of requests served before it."""

    ahead: int
    entry: QueueEntry


class FairQueue:
    """The queued requests and the virtual time of each caller."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.waiting: dict[str, list[QueueEntry]] = {}
        self.virtual_times: dict[str, float] = {}
        self.virtual_time = 0.0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return sum(len(entries) for entries in self.waiting.values())


def add(queue: FairQueue, caller: str, entry: QueueEntry) -> None:
    """Add a request to the queue of its caller.

    Examples
    --------
    >>> queue = FairQueue()
    >>> add(queue, 'a', QueueEntry(-1, 5.0, 1))
    >>> add(queue, 'a', QueueEntry(-1, 4.0, 2))
    >>> add(queue, 'b', QueueEntry(-1, 9.0, 3))
    >>> [identity for _, identity in in_service_order(queue)]
    [2, 3, 1]
    """
    if caller not in queue.waiting:
        queue.waiting[caller] = []
        queue.virtual_times[caller] = max(
            queue.virtual_times.get(caller, 0), queue.virtual_time
        )
    bisect.insort(queue.waiting[caller], entry)


def remove(
    queue: FairQueue, caller: str, entry: QueueEntry, cost: float
) -> None:
    """Remove a request; `cost` is 1 if it was served and 0 otherwise."""
    entries = queue.waiting[caller]
    del entries[bisect.bisect_left(entries, entry)]
    queue.virtual_time = max(queue.virtual_time, queue.virtual_times[caller])
    queue.virtual_times[caller] += cost
    if not entries:
        del queue.waiting[caller]
    if not queue.waiting:
        queue.virtual_times.clear()
        queue.virtual_time = 0.0


def in_service_order(queue: FairQueue) -> Iterator[tuple[str, int]]:
    """Yield caller and identity of each request, in order of service.

    Notes
    -----
    The order is fixed when the iteration starts; the queue may change during
    the iteration.
    """
    cursors = {
        caller: (queue.virtual_times[caller], iter(tuple(entries)))
        for caller, entries in queue.waiting.items()
    }
    while cursors:
        _, caller = min((time, name) for name, (time, _) in cursors.items())
        virtual_time, entries = cursors[caller]
        entry = next(entries, None)
        if entry is None:
            del cursors[caller]
            continue
        cursors[caller] = (virtual_time + 1, entries)
        yield caller, entry.identity


def count_ahead(queue: FairQueue, caller: str, entry: QueueEntry) -> int:
    """Return the number of requests that would be served before a new one.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for number in range(10):
    ...     add(queue, 'burst', QueueEntry(-1, 1.0, number))
    >>> count_ahead(queue, 'quiet', QueueEntry(-1, 2.0, 99))
    1
    """
    own = bisect.bisect(queue.waiting.get(caller, []), entry)
    others = (
        min(len(entries), own + 1)
        for name, entries in queue.waiting.items()
        if name != caller
    )
    return own + sum(itertools.chain(others, (0,)))


def first_entry(queue: FairQueue) -> QueueEntry:
    """Return the request that is served next; the queue must not be empty.

    Examples
    --------
    >>> queue = FairQueue()
    >>> add(queue, 'b', QueueEntry(0, 5.0, 1))
    >>> add(queue, 'a', QueueEntry(0, 9.0, 2))
    >>> first_entry(queue).identity
    2
    """
    _, caller = min((queue.virtual_times[name], name) for name in queue.waiting)
    return queue.waiting[caller][0]


def first_after(queue: FairQueue, time: float) -> Place | None:
    """Return the first request in service order with a later deadline.

    All requests must have the same cost rank, 0. The work grows with the
    number of callers, and with the logarithm of their requests.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for number in range(4):
    ...     add(queue, 'a', QueueEntry(0, float(number), number))
    >>> add(queue, 'b', QueueEntry(0, 1.0, 9))
    >>> first_after(queue, 1.5)
    Place(ahead=3, entry=QueueEntry(cost_rank=0, deadline_at=2.0, identity=2))
    >>> first_after(queue, 3.0) is None
    True
    """
    earlier = QueueEntry(0, time, math.inf)
    candidates = (
        (queue.virtual_times[name] + index, name, entries[index])
        for name, entries in queue.waiting.items()
        if (index := bisect.bisect(entries, earlier)) < len(entries)
    )
    first = min(candidates, default=None)
    if first is None:
        return None
    return Place(_served_before(queue, first[0], first[1]), first[2])


def _served_before(queue: FairQueue, start: float, caller: str) -> int:
    """Return how many requests precede that of a caller's virtual time."""
    before = 0
    for name, entries in queue.waiting.items():
        lead = start - queue.virtual_times[name]
        count = math.floor(lead) + 1 if name < caller else math.ceil(lead)
        before += min(max(count, 0), len(entries))
    return before
