"""The connections to one server, shared by all sessions of this proxy."""

import itertools
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import defer

from toucandeal.caller_sessions import PreparedShape, setup_steps
from toucandeal.fleet import Server
from toucandeal.statement_queue import (
    ConnectionRequest,
    ServiceRate,
    StatementQueue,
    WaitingStatement,
    enter,
    is_worth_waiting,
    leave,
    next_statement,
)
from toucandeald.background_tasks import run_in_background
from toucandeald.logs import log_event
from toucandeald.session_messages import AnswerKind, ServerAnswer

__all__ = ['ConnectionPool', 'OpenConnection']

OPEN_TIMEOUT_S = 0.6  # a handshake may wait for one of the server's slots
RETRY_DELAY_S = 0.1  # after a failed attempt to open a connection
FULL_RETRY_DELAY_S = 0.3  # after a refusal for too many connections
INITIAL_USE_TIME_S = 0.03  # assumed until a connection has been released
USE_TIME_WEIGHT = 0.1  # of a new observation in the moving average
IDLE_TIMEOUT_S = 4.0  # then an unused connection is closed

OpenConnection = Callable[[Server, float], Coroutine[Any, Any, Any]]


class ConnectionPool:
    """Open connections, and the statements that wait for one."""

    def __init__(
        self,
        clock,
        server: Server,
        open_connection: OpenConnection,
        on_attempt: Callable[[Server, ServerAnswer | None], None],
    ) -> None:
        """Initialize a pool that reports attempts to open to `on_attempt`."""
        self.server = server
        self.limit = 1
        self.opened = 0
        self.retains_idle = True
        self._clock = clock
        self._open_connection = open_connection
        self._on_attempt = on_attempt
        self._mean_use_time_s = INITIAL_USE_TIME_S
        self._peak = 0
        self._idle: dict[Any, float] = {}  # to the start of its idle time
        self._connections: set = set()
        self._acquired_at: dict[Any, float] = {}
        self._opening = 0
        self._queue = StatementQueue()
        self._waiters: dict[int, defer.Deferred] = {}
        self._identities = itertools.count()
        self._next_open_at = 0.0
        self._closed = False

    @property
    def size(self) -> int:
        """Return the number of connections, including those being opened."""
        return len(self._connections) + self._opening

    @property
    def waiting(self) -> int:
        """Return the number of waiting statements."""
        return len(self._queue)

    @property
    def peak(self) -> int:
        """Return the most connections in demand at once in this period."""
        return self._peak

    @property
    def connections(self) -> frozenset:
        """Return the open connections."""
        return frozenset(self._connections)

    async def acquire(
        self,
        values: dict[str, str],
        shapes: list[PreparedShape],
        connection_request: ConnectionRequest,
    ):
        """Return a connection, or None if none is available in time.

        The idle connection that needs the fewest setup steps is preferred. If
        all are busy, the statement waits unless it is expected to be served
        too late.
        """
        connection = self._take_idle(values, shapes)
        if connection is None:
            self._open_more()
            connection = self._take_idle(values, shapes)
        if connection is not None:
            return connection
        now = self._clock.seconds()
        if not self.size or not self._is_worth_waiting(connection_request):
            return None
        statement = WaitingStatement(connection_request, next(self._identities))
        waiter: defer.Deferred = defer.Deferred()
        timers = [
            self._clock.callLater(max(due_at - now, 0), review, statement)
            for due_at, review in (
                (connection_request.late_at, self._check_late),
                (connection_request.ends_at, self._abandon),
            )
        ]
        enter(self._queue, statement)
        self._waiters[statement.identity] = waiter
        self._record_peak()
        connection = await waiter
        for timer in timers:
            if timer.active():
                timer.cancel()
        return connection

    def release(self, connection) -> None:
        """Release a connection that is outside a transaction."""
        if connection not in self._connections:
            return
        self._record_use_time(connection)
        if (
            not connection.usable
            or self._closed
            or len(self._connections) > self.limit
        ):
            self.discard(connection)
        elif self._queue:
            first = next_statement(self._queue, self._clock.seconds())
            self._resolve_waiter(first, connection)
        elif connection.borrowed:
            self._connections.discard(connection)
            connection.return_to_lender()
        elif self.retains_idle:
            self._idle[connection] = self._clock.seconds()
        else:
            self.discard(connection)

    def discard(self, connection) -> None:
        """Close a connection whose state is unknown."""
        self._connections.discard(connection)
        self._record_use_time(connection)
        self._idle.pop(connection, None)
        connection.close()
        if self._queue:
            self._open_more()
        self._fail_waiters()

    def trim(self, spares: int) -> None:
        """Close idle connections beyond the limit, and unused ones.

        The connections of a proxy that loses power stay open at the server for
        seconds, so unused ones would block new connections after its return.

        Parameters
        ----------
        spares : int
            Number of connections kept open regardless of their idle time.
        """
        unused_since = self._clock.seconds() - IDLE_TIMEOUT_S
        for connection, since in tuple(self._idle.items()):
            surplus = len(self._connections) - min(spares, self.limit)
            if surplus > 0 and (
                len(self._connections) > self.limit or since < unused_since
            ):
                self.discard(connection)

    def begin_period(self) -> None:
        """Start a new period of `peak`."""
        self._peak = len(self._acquired_at) + len(self._queue)

    def open_spare(self, count: int) -> None:
        """Open a connection if there are fewer than `count`."""
        if self.size < min(count, self.limit):
            self._open_more()

    def close(self) -> None:
        """Close idle connections now and the others on their release."""
        self._closed = True
        for connection in tuple(self._idle):
            self.discard(connection)
        self._fail_waiters()

    def _take_idle(self, values, shapes):
        self._idle = {
            connection: since
            for connection, since in self._idle.items()
            if connection.usable
        }
        if not self._idle:
            return None
        best = min(
            self._idle,
            key=lambda connection: len(
                setup_steps(connection.connection_state, values, shapes)
            ),
        )
        del self._idle[best]
        self._mark_acquired(best)
        return best

    def _mark_acquired(self, connection) -> None:
        self._acquired_at[connection] = self._clock.seconds()
        self._record_peak()

    def _record_peak(self) -> None:
        demand = len(self._acquired_at) + len(self._queue)
        self._peak = max(self._peak, demand)

    def _record_use_time(self, connection) -> None:
        acquired_at = self._acquired_at.pop(connection, None)
        if acquired_at is not None:
            use_time_s = self._clock.seconds() - acquired_at
            self._mean_use_time_s += USE_TIME_WEIGHT * (
                use_time_s - self._mean_use_time_s
            )

    def _resolve_waiter(self, statement: WaitingStatement, connection) -> None:
        leave(self._queue, statement, served=connection is not None)
        if connection is not None:
            self._mark_acquired(connection)
        self._waiters.pop(statement.identity).callback(connection)

    def _is_worth_waiting(self, connection_request: ConnectionRequest) -> bool:
        service = ServiceRate(self.size, self._mean_use_time_s)
        now = self._clock.seconds()
        return is_worth_waiting(self._queue, connection_request, service, now)

    def _check_late(self, statement: WaitingStatement) -> None:
        if not self._is_worth_waiting(statement.connection_request):
            self._abandon(statement)

    def _abandon(self, statement: WaitingStatement) -> None:
        if statement.identity in self._waiters:
            self._resolve_waiter(statement, None)

    def _fail_waiters(self) -> None:
        """Fail waiting statements if no connection is open or being opened."""
        while self._queue and not self.size:
            first = next_statement(self._queue, self._clock.seconds())
            self._resolve_waiter(first, None)

    def _open_more(self) -> None:
        if self._closed or self.size >= self.limit:
            return
        if self._clock.seconds() < self._next_open_at:
            return
        self._opening += 1
        run_in_background(self._open())

    async def _open(self) -> None:
        try:
            opened = await self._open_connection(self.server, OPEN_TIMEOUT_S)
        finally:
            self._opening -= 1
        if isinstance(opened, ServerAnswer):
            self._on_open_failed(opened)
            return
        if self._closed:
            opened.close()
            return
        self._connections.add(opened)
        opened.on_closed = self._on_connection_closed
        if not opened.borrowed:
            self.opened += 1
            self._on_attempt(self.server, None)
        self.release(opened)
        if self._queue:
            self._open_more()

    def _on_open_failed(self, refusal: ServerAnswer) -> None:
        is_full = refusal.kind is AnswerKind.TOO_MANY_CONNECTIONS
        pause = FULL_RETRY_DELAY_S if is_full else RETRY_DELAY_S
        self._next_open_at = self._clock.seconds() + pause
        log_event(
            'connection not opened',
            server=self.server.name,
            kind=refusal.kind.value,
            reason=refusal.reason,
        )
        self._on_attempt(self.server, refusal)
        self._fail_waiters()

    def _on_connection_closed(self, connection) -> None:
        if connection in self._connections:
            self.discard(connection)
