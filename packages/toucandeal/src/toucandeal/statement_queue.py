"""The order in which statements get a server's connections, and who may wait.

Answers these load patterns:

- A burst, or the return of everyone after a loss: what can still be in time
  goes before what is late already, so a backlog does not make everything late.
- Urgent and other work mixed: the lower priority number goes first.
- One member firm that sends many times its share: statements of equal priority
  are taken by fair queueing among databases, so the others wait no longer than
  before.
- Overload that lasts: who would wait for longer than an answer is of use is
  refused at once, and told when to come back.
"""

from typing import NamedTuple

from toucandeal.queues import FairQueue, Waiting, add, in_order, remove

__all__ = [
    'Claim',
    'Service',
    'StatementQueue',
    'WaitingStatement',
    'enter',
    'expected_wait_s',
    'first_in_line',
    'is_worth_waiting',
    'leave',
]


class Claim(NamedTuple):
    """What a statement's wait for a connection is worth.

    `late_at` is when its caller's latency objective ends, and `ends_at` when
    a connection is of no use any more.
    """

    priority: int
    database: str
    late_at: float
    ends_at: float


class WaitingStatement(NamedTuple):
    """A statement that waits for a connection."""

    claim: Claim
    identity: int


class StatementQueue:
    """Who waits, by priority."""

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
    >>> enter(queue, WaitingStatement(Claim(2, 'logs', 5.0, 9.0), 1))
    >>> enter(queue, WaitingStatement(Claim(1, 'bookings', 7.0, 9.0), 2))
    >>> first_in_line(queue, 0.0).claim.database
    'bookings'
    """
    queue.waiting[statement.identity] = statement
    claim = statement.claim
    fair = queue.by_priority.setdefault(claim.priority, FairQueue())
    add(fair, claim.database, _ranked(statement))


def leave(
    queue: StatementQueue, statement: WaitingStatement, *, served: bool
) -> None:
    """Take a statement out; only a served one counts as its database's turn."""
    del queue.waiting[statement.identity]
    fair = queue.by_priority[statement.claim.priority]
    cost = 1 if served else 0
    remove(fair, statement.claim.database, _ranked(statement), cost)


def _ranked(statement: WaitingStatement) -> Waiting:
    return Waiting(0, statement.claim.late_at, statement.identity)


def first_in_line(queue: StatementQueue, now: float) -> WaitingStatement | None:
    """Return who gets the next connection.

    Examples
    --------
    >>> queue = StatementQueue()
    >>> enter(queue, WaitingStatement(Claim(1, 'a', 3.0, 9.0), 1))
    >>> enter(queue, WaitingStatement(Claim(1, 'a', 8.0, 9.0), 2))
    >>> first_in_line(queue, 2.0).identity, first_in_line(queue, 4.0).identity
    (1, 2)
    """
    ordered = (
        queue.waiting[identity]
        for _, fair in sorted(queue.by_priority.items())
        for _, identity in in_order(fair)
    )
    first = next(ordered, None)
    if first is None or first.claim.late_at > now:
        return first
    in_time = (each for each in ordered if each.claim.late_at > now)
    return next(in_time, first)


class Service(NamedTuple):
    """How fast a queue is served.

    `hold_s` is for how long a statement or a transaction holds one of the
    connections, on average.
    """

    connections: int
    hold_s: float


def expected_wait_s(
    queue: StatementQueue, claim: Claim, service: Service, now: float
) -> float:
    """Return how long a statement that comes now will wait.

    One that would be late anyway is expected to go last.

    Examples
    --------
    >>> queue = StatementQueue()
    >>> for number in range(6):
    ...     enter(queue, WaitingStatement(Claim(2, 'a', 5.0, 9.0), number))
    >>> service = Service(2, 0.02)
    >>> expected_wait_s(queue, Claim(2, 'a', 5.0, 9.0), service, 4.0)
    0.07
    >>> expected_wait_s(queue, Claim(1, 'b', 5.0, 9.0), service, 4.0)
    0.01
    >>> expected_wait_s(queue, Claim(1, 'b', 5.0, 9.0), service, 6.0)
    0.07
    """
    turn_s = service.hold_s / max(service.connections, 1)
    ahead = sum(
        (each.claim.priority, each.claim.late_at)
        <= (claim.priority, claim.late_at)
        for each in queue.waiting.values()
    )
    wait_s = (ahead + 1) * turn_s
    if now + wait_s < claim.late_at:
        return wait_s
    return (len(queue) + 1) * turn_s


def is_worth_waiting(
    queue: StatementQueue, claim: Claim, service: Service, now: float
) -> bool:
    """Return whether a statement is likely to be served while it is of use.

    Examples
    --------
    >>> claim = Claim(1, 'a', 5.0, 9.0)
    >>> is_worth_waiting(StatementQueue(), claim, Service(1, 2.0), 4.0)
    True
    >>> is_worth_waiting(StatementQueue(), claim, Service(1, 6.0), 4.0)
    False
    """
    wait_s = expected_wait_s(queue, claim, service, now)
    return now + wait_s < claim.ends_at
