"""Queueing and admission of statements that wait for a server's connections.

Addresses these load patterns:

- A burst, or the return of all callers after a failure: statements that can
  still be in time precede statements that are already late, so a backlog does
  not make every statement late.
- Mixed priorities: the lower priority number goes first.
- One workspace or one member firm that sends many times its share: statements
  of equal priority are served by fair queueing among workspaces, and within a
  workspace among databases, so the statements of the others wait no longer than
  before.
- Sustained overload: a statement that would wait past its useful time is
  refused at once, with a time after which to retry.
"""

import bisect
import collections
import math
from collections.abc import Iterable, Iterator, Set
from typing import NamedTuple

from toucandeal.connection_workspaces import (
    ANY_WORKSPACE,
    UNKNOWN_WORKSPACE,
    ConnectionWorkspace,
    RequestedWorkspace,
)
from toucandeal.queues import (
    FairQueue,
    Place,
    QueueEntry,
    add,
    first_after,
    first_entry,
    remove,
)

__all__ = [
    'ConnectionRequest',
    'ServiceRate',
    'StatementQueue',
    'WaitingStatement',
    'enter',
    'expected_wait_s',
    'first_of_workspaces',
    'is_worth_waiting',
    'leave',
    'next_statement',
    'next_statement_for',
    'service_lead',
    'waiting_statement',
]


class ConnectionRequest(NamedTuple):
    """A statement's priority and time limits for a connection.

    `late_at` is when its caller's latency objective ends, and `ends_at` the
    time from which a connection is too late for an answer. The connection has
    to be one of `workspace`; a request of the proxy's own may use any.
    """

    priority: int
    database: str
    late_at: float
    ends_at: float
    workspace: RequestedWorkspace = ''


class WaitingStatement(NamedTuple):
    """A statement that waits for a connection."""

    connection_request: ConnectionRequest
    identity: int


class _WorkspaceQueue:
    """Statements of one priority.

    `workspaces` is fair among workspaces, and determines only whose statement
    is next; the queue in `databases` determines which one.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.workspaces = FairQueue()
        self.databases: dict[str, FairQueue] = {}


class StatementQueue:
    """The waiting statements, by priority, and their number by workspace."""

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: dict[int, WaitingStatement] = {}
        self.by_priority: dict[int, _WorkspaceQueue] = {}
        self.counts: collections.Counter[RequestedWorkspace] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        """Return the number of waiting statements."""
        return len(self.waiting)


def enter(queue: StatementQueue, statement: WaitingStatement) -> None:
    """Add a statement.

    Examples
    --------
    >>> queue = StatementQueue()
    >>> logs_request = ConnectionRequest(2, 'logs', 5.0, 9.0)
    >>> enter(queue, WaitingStatement(logs_request, 1))
    >>> bookings_request = ConnectionRequest(1, 'bookings', 7.0, 9.0)
    >>> enter(queue, WaitingStatement(bookings_request, 2))
    >>> next_statement(queue, 0.0).connection_request.database
    'bookings'
    """
    queue.waiting[statement.identity] = statement
    connection_request = statement.connection_request
    queue.counts[connection_request.workspace] += 1
    level = queue.by_priority.setdefault(
        connection_request.priority, _WorkspaceQueue()
    )
    name = _queue_name(connection_request.workspace)
    entry = _queue_entry(statement)
    add(level.workspaces, name, entry)
    databases = level.databases.setdefault(name, FairQueue())
    add(databases, connection_request.database, entry)


def leave(
    queue: StatementQueue, statement: WaitingStatement, *, served: bool
) -> None:
    """Remove a statement; only a served one counts towards the fair share."""
    del queue.waiting[statement.identity]
    connection_request = statement.connection_request
    queue.counts[connection_request.workspace] -= 1
    if not queue.counts[connection_request.workspace]:
        del queue.counts[connection_request.workspace]
    level = queue.by_priority[connection_request.priority]
    name = _queue_name(connection_request.workspace)
    entry = _queue_entry(statement)
    cost = 1 if served else 0
    remove(level.workspaces, name, entry, cost)
    databases = level.databases[name]
    remove(databases, connection_request.database, entry, cost)
    if not databases.waiting:
        del level.databases[name]


def _queue_entry(statement: WaitingStatement) -> QueueEntry:
    return QueueEntry(
        0, statement.connection_request.late_at, statement.identity
    )


def _queue_name(workspace: RequestedWorkspace) -> str:
    """Return a workspace's name in a fair queue; names there are strings."""
    return '' if workspace is ANY_WORKSPACE else f'={workspace}'


def _levels(queue: StatementQueue) -> Iterator[_WorkspaceQueue]:
    """Yield the waiting statements of each priority, the highest first."""
    for _, level in sorted(queue.by_priority.items()):
        if level.databases:
            yield level


def _usable_names(
    level: _WorkspaceQueue, usable: Set[str] | None
) -> Iterable[str]:
    """Return the names of the waiting workspaces, or of the usable ones."""
    names = level.databases.keys()
    return names if usable is None else names & usable


def _next_names(
    level: _WorkspaceQueue, usable: Set[str] | None = None
) -> list[str]:
    """Return the names of the workspaces in the order of their next turns."""
    virtual_times = level.workspaces.virtual_times
    return sorted(
        _usable_names(level, usable),
        key=lambda name: (virtual_times[name], name),
    )


def first_of_workspaces(queue: StatementQueue) -> list[ConnectionRequest]:
    """Return the first request of each workspace, in order of service.

    Examples
    --------
    >>> queue = StatementQueue()
    >>> for number, name in enumerate('aab'):
    ...     connection_request = ConnectionRequest(1, 'd', 5.0, 9.0, name)
    ...     enter(queue, WaitingStatement(connection_request, number))
    >>> [first.workspace for first in first_of_workspaces(queue)]
    ['a', 'b']
    """
    first: dict[str, QueueEntry] = {}
    for level in _levels(queue):
        for name in _next_names(level):
            if name not in first:
                first[name] = first_entry(level.databases[name])
    return [
        queue.waiting[entry.identity].connection_request
        for entry in first.values()
    ]


def waiting_statement(
    queue: StatementQueue, connection_request: ConnectionRequest
) -> WaitingStatement | None:
    """Return a statement that waits with this request, or None.

    Examples
    --------
    >>> waiting_statement(
    ...     StatementQueue(), ConnectionRequest(1, 'a', 5.0, 9.0)
    ... ) is None
    True
    """
    return next(
        (
            statement
            for statement in queue.waiting.values()
            if statement.connection_request == connection_request
        ),
        None,
    )


def next_statement(
    queue: StatementQueue, now: float
) -> WaitingStatement | None:
    """Return the most urgent statement, of any workspace.

    Examples
    --------
    >>> queue = StatementQueue()
    >>> enter(queue, WaitingStatement(ConnectionRequest(1, 'a', 3.0, 9.0), 1))
    >>> enter(queue, WaitingStatement(ConnectionRequest(1, 'a', 8.0, 9.0), 2))
    >>> next_statement(queue, 2.0).identity, next_statement(queue, 4.0).identity
    (1, 2)
    """
    return _next(queue, now, None)


def next_statement_for(
    queue: StatementQueue, now: float, workspace: ConnectionWorkspace
) -> WaitingStatement | None:
    """Return the statement that gets a connection of a workspace.

    Examples
    --------
    >>> queue = StatementQueue()
    >>> request = ConnectionRequest(1, 'a', 3.0, 9.0, 'north')
    >>> enter(queue, WaitingStatement(request, 1))
    >>> next_statement_for(queue, 2.0, 'north').identity
    1
    >>> next_statement_for(queue, 2.0, 'south') is None
    True
    >>> next_statement_for(queue, 2.0, UNKNOWN_WORKSPACE) is None
    True
    """
    usable = {_queue_name(ANY_WORKSPACE)}
    if workspace is not UNKNOWN_WORKSPACE:
        usable.add(_queue_name(workspace))
    return _next(queue, now, usable)


def _next(
    queue: StatementQueue, now: float, usable: Set[str] | None
) -> WaitingStatement | None:
    """Return the next statement among those with usable names, or of all."""
    first = next(
        (
            first_entry(level.databases[name])
            for level in _levels(queue)
            for name in _next_names(level, usable)
        ),
        None,
    )
    if first is None:
        return None
    if first.deadline_at <= now:
        first = next(_first_in_time(queue, now, usable), first)
    return queue.waiting[first.identity]


def _first_in_time(
    queue: StatementQueue, now: float, usable: Set[str] | None
) -> Iterator[QueueEntry]:
    """Yield the first statement of each priority that is not late."""
    for level in _levels(queue):
        virtual_times = level.workspaces.virtual_times
        places: Iterator[tuple[str, Place | None]] = (
            (name, first_after(level.databases[name], now))
            for name in _usable_names(level, usable)
        )
        turns = (
            (virtual_times[name] + place.ahead, name, place.entry)
            for name, place in places
            if place is not None
        )
        turn = min(turns, default=None)
        if turn is not None:
            yield turn[2]


def service_lead(
    queue: StatementQueue, priority: int, workspace: str, other: str
) -> float:
    """Return how many statements more a workspace was served than another.

    Both have waiting statements of this priority.

    Examples
    --------
    >>> queue = StatementQueue()
    >>> for number, name in enumerate('aaab'):
    ...     connection_request = ConnectionRequest(1, 'd', 5.0, 9.0, name)
    ...     enter(queue, WaitingStatement(connection_request, number))
    >>> for _ in range(2):
    ...     leave(queue, next_statement_for(queue, 0.0, 'a'), served=True)
    >>> service_lead(queue, 1, 'a', 'b')
    2
    """
    level = queue.by_priority.get(priority)
    if level is None:
        return 0
    virtual_times = level.workspaces.virtual_times
    own_time = virtual_times.get(_queue_name(workspace), 0)
    return own_time - virtual_times.get(_queue_name(other), 0)


class ServiceRate(NamedTuple):
    """The rate at which a queue is served.

    `mean_use_s` is the mean time for which a statement or a transaction uses
    one of the connections.
    """

    connections: int
    mean_use_s: float


def expected_wait_s(
    queue: StatementQueue,
    connection_request: ConnectionRequest,
    service: ServiceRate,
    now: float,
) -> float:
    """Return the expected wait, in seconds, of a statement that arrives now.

    A statement that would be late is expected to be served last.

    Examples
    --------
    >>> queue = StatementQueue()
    >>> low = ConnectionRequest(2, 'a', 5.0, 9.0)
    >>> high = ConnectionRequest(1, 'b', 5.0, 9.0)
    >>> for number in range(6):
    ...     enter(queue, WaitingStatement(low, number))
    >>> service = ServiceRate(2, 0.02)
    >>> expected_wait_s(queue, low, service, 4.0)
    0.07
    >>> expected_wait_s(queue, high, service, 4.0)
    0.01
    >>> expected_wait_s(queue, high, service, 6.0)
    0.07
    """
    service_interval_s = service.mean_use_s / max(service.connections, 1)
    statements_ahead = _count_ahead(queue, connection_request)
    wait_s = (statements_ahead + 1) * service_interval_s
    if now + wait_s < connection_request.late_at:
        return wait_s
    return (len(queue) + 1) * service_interval_s


def _count_ahead(
    queue: StatementQueue, connection_request: ConnectionRequest
) -> int:
    """Return how many statements are served before one that arrives now.

    Of the same priority, fair queueing serves at most one more of another
    workspace than of the statement's own.
    """
    urgent = sum(
        len(level.workspaces)
        for priority, level in queue.by_priority.items()
        if priority < connection_request.priority
    )
    level = queue.by_priority.get(connection_request.priority)
    if level is None:
        return urgent
    last = QueueEntry(0, connection_request.late_at, math.inf)
    ahead = {
        name: bisect.bisect(entries, last)
        for name, entries in level.workspaces.waiting.items()
    }
    own = ahead.pop(_queue_name(connection_request.workspace), 0)
    return urgent + own + sum(min(count, own + 1) for count in ahead.values())


def is_worth_waiting(
    queue: StatementQueue,
    connection_request: ConnectionRequest,
    service: ServiceRate,
    now: float,
) -> bool:
    """Return whether a statement is likely to get a connection in time.

    Examples
    --------
    >>> queue = StatementQueue()
    >>> connection_request = ConnectionRequest(1, 'a', 5.0, 9.0)
    >>> is_worth_waiting(queue, connection_request, ServiceRate(1, 2.0), 4.0)
    True
    >>> is_worth_waiting(queue, connection_request, ServiceRate(1, 6.0), 4.0)
    False
    """
    wait_s = expected_wait_s(queue, connection_request, service, now)
    return now + wait_s < connection_request.ends_at
