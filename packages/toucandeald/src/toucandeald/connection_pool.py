"""The connections to one server, shared by all sessions of this proxy.

A connection belongs to the workspace for which it was opened, and serves only
statements of that workspace and requests of the proxy's own.
"""

import collections
import itertools
import math
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from twisted.internet import defer

from toucandeal.caller_sessions import PreparedShape
from toucandeal.connection_workspaces import (
    UNKNOWN_WORKSPACE,
    ConnectionWorkspace,
    serves,
    workspace_if_opened,
)
from toucandeal.fleet import Server
from toucandeal.statement_queue import (
    ConnectionRequest,
    ServiceRate,
    StatementQueue,
    WaitingStatement,
    enter,
    first_of_workspaces,
    is_worth_waiting,
    leave,
    next_statement,
    next_statement_for,
    service_lead,
    waiting_statement,
)
from toucandeal.workspace_connections import keeps_workspace
from toucandeald.background_tasks import run_in_background
from toucandeald.borrowing import LENDER_BUSY
from toucandeald.held_connections import HeldConnections
from toucandeald.logs import log_event
from toucandeald.session_messages import AnswerKind, ServerAnswer

__all__ = ['ConnectionPool', 'OpenConnection']

OPEN_TIMEOUT_S = 0.6  # a handshake may wait for one of the server's slots
RETRY_DELAY_S = 0.1  # after a failed attempt to open a connection
FULL_RETRY_DELAY_S = 0.3  # after a refusal for too many connections
IDLE_TIMEOUT_S = 4.0  # then an unused connection is closed
# Where connections belong to workspaces, the room is exchanged as needed, and
# half of what the server accepts stays free. Most of some seventy workspaces
# use theirs again within this time.
WORKSPACE_IDLE_TIMEOUT_S = 30.0

OpenConnection = Callable[[Server, str, float], Coroutine[Any, Any, Any]]
OpenForRequest = Callable[
    [Server, ConnectionRequest, float], Coroutine[Any, Any, Any]
]


class ConnectionPool:
    """Open connections, and the statements that wait for one.

    With `divided` set, connections are opened only as far as that serves the
    statements of their workspace sooner. `borrows` is set unless the owner may
    open connections itself; without `retains_idle`, those that it has opened
    are closed once they are idle. `uses` counts, by workspace, the connections
    acquired since the owner last cleared it. `mismatches` counts those that
    were withheld from a statement of another workspace. The server accepts no
    more connections until `full_until`, as far as is known.
    """

    def __init__(
        self,
        clock,
        server: Server,
        open_connection: OpenForRequest,
        on_attempt: Callable[[Server, ServerAnswer | None], None],
    ) -> None:
        """Initialize a pool that reports attempts to open to `on_attempt`."""
        self.server = server
        self.limit = 1
        self.opened = 0
        self.mismatches = 0
        self.borrows = False
        self.retains_idle = True
        self.divided = False
        self.full_until = -math.inf
        self.uses: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._open_connection = open_connection
        self._on_attempt = on_attempt
        self._peak = 0
        self._held = HeldConnections(clock)
        self._queue = StatementQueue()
        self._waiters: dict[int, defer.Deferred] = {}
        self._identities = itertools.count()
        self._next_open_at = 0.0
        self._closed = False

    @property
    def size(self) -> int:
        """Return the number of connections, including those being opened."""
        return self._held.size

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
        return frozenset(self._held.workspaces)

    @property
    def held(self) -> collections.Counter[ConnectionWorkspace]:
        """Return the number of connections by workspace."""
        return self._held.counts

    async def acquire(
        self,
        values: dict[str, str],
        shapes: list[PreparedShape],
        connection_request: ConnectionRequest,
    ):
        """Return a connection, or None if none is available in time.

        The idle connection that needs the fewest setup steps is preferred. If
        all are busy, the statement waits unless it is expected to be served
        too late. A connection of another workspace is never returned.
        """
        connection = await self._find(values, shapes, connection_request)
        held = self._held.workspaces.get(
            connection, connection_request.workspace
        )
        if connection is None or serves(held, connection_request.workspace):
            return connection
        self.mismatches += 1
        log_event(
            'connection of another workspace',
            server=self.server.name,
            workspace=str(held),
            requested=str(connection_request.workspace),
        )
        self.release(connection)
        return None

    async def _find(
        self,
        values: dict[str, str],
        shapes: list[PreparedShape],
        connection_request: ConnectionRequest,
    ):
        workspace = connection_request.workspace
        connection = self._held.take_idle(workspace, values, shapes)
        if connection is None:
            self._open_for(
                connection_request, self._queue.counts[workspace] + 1
            )
            connection = self._held.take_idle(workspace, values, shapes)
        if connection is not None:
            self._mark_acquired(connection)
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
        if connection in self._held.workspaces:
            self._held.record_use_time(connection)
            self._assign(connection, is_new=False)
            if self.divided:
                self._open_more()

    def discard(self, connection) -> None:
        """Close a connection whose state is unknown."""
        self._held.record_use_time(connection)
        self._close(connection)
        self._open_more()
        self._fail_waiters()

    def trim(self, spares: int) -> None:
        """Close idle connections beyond the limit, and unused ones.

        The connections of a proxy that loses power stay open at the server for
        seconds, so unused ones would block new connections after its return.
        Those of a proxy that has ceased to be a lender leave no room for the
        connections of the present one, and are not lent.

        Parameters
        ----------
        spares : int
            Number of connections kept open regardless of their idle time.
        """
        idle_timeout_s = (
            WORKSPACE_IDLE_TIMEOUT_S if self.divided else IDLE_TIMEOUT_S
        )
        unused_since = self._clock.seconds() - idle_timeout_s
        for connection, since in tuple(self._held.idle.items()):
            surplus = len(self._held.workspaces) - min(spares, self.limit)
            if surplus > 0 and (
                not self.retains_idle
                or len(self._held.workspaces) > self.limit
                or since < unused_since
            ):
                self.discard(connection)

    def begin_period(self) -> None:
        """Start a new period of `peak`."""
        self._peak = self._held.acquired + len(self._queue)

    def open_spare(self, count: int, workspaces: Iterable[str] = ('',)) -> None:
        """Open a connection if there are fewer than `count`.

        If the pool is divided, it is for the first of the workspaces that has
        none.
        """
        if self.size >= min(count, self.limit):
            return
        held = self.held if self.divided else {}
        missing = next((each for each in workspaces if each not in held), None)
        if missing is not None:
            ends_at = self._clock.seconds() + OPEN_TIMEOUT_S
            self._open_for(
                ConnectionRequest(1, '', ends_at, ends_at, missing), 1
            )

    def close(self) -> None:
        """Close idle connections now and the others on their release."""
        self._closed = True
        for connection in tuple(self._held.idle):
            self.discard(connection)
        self._fail_waiters()

    def _assign(self, connection, *, is_new: bool) -> None:
        """Use a connection for a waiting statement, keep, return or close it.

        A new one serves its own workspace first, since another statement may
        have become more urgent than the one that it was opened for.
        """
        workspace = self._held.workspaces[connection]
        if (
            not connection.usable
            or self._closed
            or len(self._held.workspaces) > self.limit
        ):
            self.discard(connection)
            return
        now = self._clock.seconds()
        own = self._next_of(workspace, now)
        if own is None:
            self._keep_idle(connection)
            return
        other = None if is_new else self._more_urgent(own, workspace, now)
        if other is None:
            self._resolve_waiter(own, connection)
        else:
            self._put_away(connection)
            self._start_opening(other)

    def _keep_idle(self, connection) -> None:
        if connection.borrowed:
            self._put_away(connection)
        elif self.retains_idle:
            self._held.idle[connection] = self._clock.seconds()
        else:
            self.discard(connection)

    def _next_of(
        self, workspace: ConnectionWorkspace, now: float
    ) -> WaitingStatement | None:
        """Return the next statement that a connection may serve.

        Statements whose time has passed are abandoned. Their timers may not
        have run yet, if the process stood still.
        """
        while True:
            statement = next_statement_for(self._queue, now, workspace)
            if statement is None or now < statement.connection_request.ends_at:
                return statement
            self._abandon(statement)

    def _more_urgent(
        self,
        own: WaitingStatement,
        workspace: ConnectionWorkspace,
        now: float,
    ) -> ConnectionRequest | None:
        """Return the request that gets a released connection's place."""
        first = next_statement(self._queue, now)
        other = first.connection_request.workspace
        if first is own or self.size < self.limit or now < self._next_open_at:
            return None
        if not self._held.is_opening_useful(other, self._queue.counts[other]):
            return None
        lead = service_lead(
            self._queue, first.connection_request.priority, workspace, other
        )
        keeps = keeps_workspace(
            own.connection_request,
            first.connection_request,
            lead,
            self._held.opening_cost,
            now,
        )
        return None if keeps else first.connection_request

    def _put_away(self, connection) -> None:
        """Return a borrowed connection, and close another one."""
        if connection.borrowed:
            self._held.remove(connection)
            connection.return_to_lender()
        else:
            self._close(connection)

    def _close(self, connection) -> None:
        self._held.remove(connection)
        connection.close()

    def _mark_acquired(self, connection) -> None:
        self._held.mark_acquired(connection)
        workspace = self._held.workspaces[connection]
        self.uses['' if workspace is UNKNOWN_WORKSPACE else workspace] += 1
        self._record_peak()

    def _record_peak(self) -> None:
        demand = self._held.acquired + len(self._queue)
        self._peak = max(self._peak, demand)

    def _resolve_waiter(self, statement: WaitingStatement, connection) -> None:
        leave(self._queue, statement, served=connection is not None)
        if connection is not None:
            self._mark_acquired(connection)
        self._waiters.pop(statement.identity).callback(connection)

    def _is_worth_waiting(self, connection_request: ConnectionRequest) -> bool:
        service = ServiceRate(self.size, self._held.mean_use_time_s)
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
        """Open connections for waiting statements, in order of service.

        A pool that is not divided opens one at a time.
        """
        if not self._queue or self._closed:
            return
        first_requests = first_of_workspaces(self._queue)
        if not self.divided:
            self._open_for(first_requests[0], 1)
            return
        for first in first_requests:
            self._open_for(first, self._queue.counts[first.workspace])

    def _open_for(self, request: ConnectionRequest, waiting: int) -> None:
        """Open a connection for a workspace's statements if there is room."""
        if self._closed or self._clock.seconds() < self._next_open_at:
            return
        if self.divided and not self._held.is_opening_useful(
            request.workspace, waiting
        ):
            return
        if self.size >= self.limit:
            # One of another workspace makes room.
            closed = self._held.idle_to_close(request.workspace)
            if closed is not None:
                self._close(closed)
        if self.size < self.limit:
            self._start_opening(request)

    def _start_opening(self, request: ConnectionRequest) -> None:
        self._held.opening[request.workspace] += 1
        run_in_background(self._open(request))

    async def _open(self, request: ConnectionRequest) -> None:
        workspace = request.workspace
        began_at = self._clock.seconds()
        try:
            opened = await self._open_connection(
                self.server, request, OPEN_TIMEOUT_S
            )
        finally:
            self._held.opening[workspace] -= 1
        if opened == LENDER_BUSY:
            self._on_lender_busy(request)
            return
        if isinstance(opened, ServerAnswer):
            self._on_open_failed(opened)
            return
        if self._closed:
            opened.close()
            return
        self._held.record_open_time(self._clock.seconds() - began_at)
        is_lent = opened.borrowed
        self._held.workspaces[opened] = workspace_if_opened(
            workspace, borrowed=is_lent
        )
        opened.on_closed = self._on_connection_closed
        if not is_lent:
            self.opened += 1
            self._on_attempt(self.server, None)
        self._assign(opened, is_new=True)
        self._open_more()

    def _on_lender_busy(self, request: ConnectionRequest) -> None:
        """End the statement of a refused loan if nothing else may serve it."""
        statement = waiting_statement(self._queue, request)
        if statement is not None:
            expected = workspace_if_opened(request.workspace, borrowed=True)
            if self._held.counts[expected] > 0:
                return
            self._abandon(statement)
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
        if self.divided:
            # Statements of a workspace without connections wait for no release.
            self._clock.callLater(pause, self._open_more)

    def _on_connection_closed(self, connection) -> None:
        if connection in self._held.workspaces:
            self.discard(connection)
