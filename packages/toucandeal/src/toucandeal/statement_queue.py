"""Queueing and admission of statements that wait for a server's connections.

Addresses these load patterns:

- A burst, or the return of all callers after a failure: statements that can
  still be in time precede statements that are already late, so a backlog does
  not make every statement late.
- Mixed priorities: the lower priority number goes first.
- One member firm that sends many times its share: statements of equal priority
  are served by fair queueing among databases, so the statements of the others
  wait no longer than before.
- Sustained overload: a statement that would wait past its useful time is
  refused at once, with a time after which to retry.
"""

from typing import NamedTuple

from toucandeal.queues import (
    FairQueue,
    QueueEntry,
    add,
    in_service_order,
    remove,
)

__all__ = [
    'ConnectionRequest',
    'ServiceRate',
    'StatementQueue',
    'WaitingStatement',
    'enter',
    'expected_wait_s',
    'is_worth_waiting',
    'leave',
    'next_statement',
]


class ConnectionRequest(NamedTuple):
    """A statement's priority and time limits for a connection.

    `late_at` is when its caller's latency objective ends, and `ends_at` the
    time from which a connection is too late for an answer. The connection has
    to be one of `workspace`.
    """

    priority: int
    database: str
    late_at: float
    ends_at: float
    workspace: str = ''


class WaitingStatement(NamedTuple):
    """A statement that waits for a connection."""

    connection_request: ConnectionRequest
    identity: int


class StatementQueue:
    """The waiting statements, by priority."""

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: dict[int, WaitingStatement] = {}
        self.by_priority: dict[int, FairQueue] = {}

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
    fair_queue = queue.by_priority.setdefault(
        connection_request.priority, FairQueue()
    )
    add(fair_queue, connection_request.database, _queue_entry(statement))


def leave(
    queue: StatementQueue, statement: WaitingStatement, *, served: bool
) -> None:
    """Remove a statement; only a served one counts towards the fair share."""
    del queue.waiting[statement.identity]
    fair_queue = queue.by_priority[statement.connection_request.priority]
    cost = 1 if served else 0
    remove(
        fair_queue,
        statement.connection_request.database,
        _queue_entry(statement),
        cost,
    )


def _queue_entry(statement: WaitingStatement) -> QueueEntry:
    return QueueEntry(
        0, statement.connection_request.late_at, statement.identity
    )


def next_statement(
    queue: StatementQueue, now: float
) -> WaitingStatement | None:
    """Return the statement that gets the next connection.

    Examples
    --------
    >>> queue = StatementQueue()
    >>> enter(queue, WaitingStatement(ConnectionRequest(1, 'a', 3.0, 9.0), 1))
    >>> enter(queue, WaitingStatement(ConnectionRequest(1, 'a', 8.0, 9.0), 2))
    >>> next_statement(queue, 2.0).identity, next_statement(queue, 4.0).identity
    (1, 2)
    """
    ordered = (
        queue.waiting[identity]
        for _, fair_queue in sorted(queue.by_priority.items())
        for _, identity in in_service_order(fair_queue)
    )
    first = next(ordered, None)
    if first is None or first.connection_request.late_at > now:
        return first
    in_time = (
        statement
        for statement in ordered
        if statement.connection_request.late_at > now
    )
    return next(in_time, first)


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
    statements_ahead = sum(
        (
            statement.connection_request.priority,
            statement.connection_request.late_at,
        )
        <= (connection_request.priority, connection_request.late_at)
        for statement in queue.waiting.values()
    )
    wait_s = (statements_ahead + 1) * service_interval_s
    if now + wait_s < connection_request.late_at:
        return wait_s
    return (len(queue) + 1) * service_interval_s


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
