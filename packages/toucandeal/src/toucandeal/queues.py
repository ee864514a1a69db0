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
from collections.abc import Iterator
from typing import NamedTuple

__all__ = [
    'FairQueue',
    'QueueEntry',
    'add',
    'count_ahead',
    'in_service_order',
    'remove',
]


class QueueEntry(NamedTuple):
    """A queued request; entries sort in order of service."""

    cost_rank: float
    deadline_at: float
    identity: int


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
    entries.remove(entry)
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
