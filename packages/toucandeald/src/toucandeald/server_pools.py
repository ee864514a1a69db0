"""Connection pools of all servers, and server states from their answers."""

import collections
import functools
import itertools
from collections.abc import Iterable

from toucandeal.caller_sessions import (
    CONNECTION_LIMIT_BYTES,
    TRANSACTION_LIMIT_BYTES,
    CallerSession,
    PreparedShape,
    PrepareShape,
    ResetSession,
    SetupStep,
    apply_step,
    setup_steps,
    shape_name,
)
from toucandeal.connection_shares import connection_share, decayed_demand
from toucandeal.connection_workspaces import (
    ANY_WORKSPACE,
    ConnectionWorkspace,
    workspace_if_opened,
)
from toucandeal.fleet import Server
from toucandeal.fleet_tables import (
    FleetTables,
    PositionUse,
    group_state,
    note_leading,
    note_not_leading,
    record_position,
    server_load,
)
from toucandeal.lending import lendable
from toucandeal.promotion import ServerReport
from toucandeal.statement_queue import ConnectionRequest
from toucandeal.workspace_connections import busiest
from toucandeald.borrowing import NO_LENDER, NOT_LENT, OPEN_DIRECTLY, Borrowing
from toucandeald.connection_pool import ConnectionPool, OpenConnection
from toucandeald.full_servers import open_or_borrow
from toucandeald.logs import log_event
from toucandeald.replies import NO_EFFECT, withheld
from toucandeald.session_messages import (
    AnswerKind,
    Forward,
    ReportStatus,
    ServerAnswer,
    ServerRequest,
)
from toucandeald.steady_clock import steady_seconds

__all__ = ['SETUP_TIMEOUT_S', 'ServerPools', 'note_role', 'record_setup']

SETUP_TIMEOUT_S = 0.5  # for a request that occupies no slot
AVOID_S = 0.25  # for a server that refused connections
# For a server that gave no answer: longer than the time between two attempts to
# open a spare connection, which tells that it is back.
AVOID_SILENT_S = 1.0
LAGGING_RETRY_DELAY_S = 0.06  # before a lagging replica is retried
MAX_BORROWED = 8  # connections to a server; fewer than it accepts
INTERNAL_PRIORITY = -1  # this proxy's own requests precede all callers'
IDLE_SPARES = 2  # per server, so that a failover needs no handshakes
WORKSPACE_USE_DECAY = 0.9  # each maintenance interval, 0.25 s
LOGGED_SHAPE_LENGTH = 80  # characters; a shape may have up to 64 KB
LOGGED_USES = frozenset((PositionUse.FIRST_SAMPLE, PositionUse.LATE))


class ServerPools:
    """A connection pool for each server in the shared records."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        open_connection: OpenConnection,
        borrowing: Borrowing,
    ) -> None:
        """Initialize with the tables and the sources of connections."""
        self.on_suspicion = _log_ignored
        self.stopped = False
        self._clock = clock
        self._tables = tables
        self._open_connection = open_connection
        self._borrowing = borrowing
        self._pools: dict[str, ConnectionPool] = {}
        self._workspace_uses: dict[str, float] = {}

    @property
    def opened(self) -> int:
        """Return the number of connections opened so far."""
        return sum(pool.opened for pool in self._pools.values())

    @property
    def mismatches(self) -> int:
        """Return how many connections were withheld from other workspaces."""
        return sum(pool.mismatches for pool in self._pools.values())

    @property
    def workspace_connections(
        self,
    ) -> collections.Counter[ConnectionWorkspace]:
        """Return the number of connections by workspace, to all servers."""
        return collections.Counter(
            itertools.chain.from_iterable(
                pool.held.elements() for pool in self._pools.values()
            )
        )

    @property
    def _divided(self) -> bool:
        """Return whether the configuration in force has workspaces."""
        configuration = self._tables.configuration
        return configuration is not None and configuration.has_workspaces

    def pool(self, server: Server) -> ConnectionPool:
        """Return the pool of a server at its current address and start."""
        known = self._pools.get(server.name)
        if known is not None and (
            known.server.address == server.address
            and known.server.born_ms == server.born_ms
        ):
            return known
        if known is not None:
            known.close()
        pool = ConnectionPool(
            self._clock, server, self._open, self._record_attempt
        )
        self._pools[server.name] = pool
        self._update_limit(pool)
        return pool

    def update_pools(self) -> None:
        """Update the pools to match the servers and demands in the tables."""
        tables = self._tables
        for name in set(self._pools) - set(tables.servers):
            self._pools.pop(name).close()
        if tables.configuration is None:
            return
        kept = self._busiest_workspaces() if self._divided else ['']
        for server in tables.servers.values():
            if server.group in tables.configuration.groups:
                pool = self.pool(server)
                load = server_load(tables, server.name)
                load.demand = decayed_demand(load.demand, pool.peak)
                if self._divided and pool.borrows:
                    # The active lender's demand includes that of its loans.
                    load.demand = 0
                pool.begin_period()
                self._update_limit(pool)
                keeps_spares = not (pool.borrows or server.leaving)
                spares = IDLE_SPARES if keeps_spares else 0
                pool.trim(spares)
                pool.open_spare(spares, kept)

    def _busiest_workspaces(self) -> list[str]:
        """Return the workspaces whose connections are opened in advance."""
        uses = {
            workspace: count * WORKSPACE_USE_DECAY
            for workspace, count in self._workspace_uses.items()
            if count >= 1
        }
        for pool in self._pools.values():
            for workspace, count in pool.uses.items():
                uses[workspace] = uses.get(workspace, 0) + count
            pool.uses.clear()
        self._workspace_uses = uses
        return busiest(uses, IDLE_SPARES)

    async def acquire(
        self,
        server: Server,
        session: CallerSession,
        shapes: list[PreparedShape],
        connection_request: ConnectionRequest,
    ):
        """Return a connection in the session's state, or None."""
        if self.stopped:
            return None
        load = server_load(self._tables, server.name)
        pool = self.pool(server)
        load.waiting += 1
        try:
            connection = await pool.acquire(
                session.values, shapes, connection_request
            )
        finally:
            load.waiting -= 1
        if connection is None:
            return None
        failure = await self.apply_session(server, connection, session, shapes)
        if failure is None:
            return connection
        if failure.kind is AnswerKind.WITHHELD and not failure.in_transaction:
            self.release(server, connection)
        else:
            self.discard(server, connection)
        return None

    async def apply_session(
        self,
        server: Server,
        connection,
        session: CallerSession,
        shapes: Iterable[PreparedShape],
        *,
        in_transaction: bool = False,
    ) -> ServerAnswer | None:
        """Set up a connection for the session; return the answer if it fails.

        A connection is not reset in a transaction.
        """
        steps = setup_steps(
            connection.connection_state,
            session.values,
            shapes,
            TRANSACTION_LIMIT_BYTES
            if in_transaction
            else CONNECTION_LIMIT_BYTES,
        )
        if in_transaction and ResetSession() in steps:
            return withheld('the transaction has prepared too many statements')
        for step in steps:
            answer = await self.call(server, connection, step, SETUP_TIMEOUT_S)
            record_setup(connection, step, answer)
            if answer.kind is not AnswerKind.COMPLETED:
                return answer
        return None

    async def call(
        self,
        server: Server,
        connection,
        request: ServerRequest,
        timeout_s: float,
    ) -> ServerAnswer:
        """Send a request, and record the server's state from the answer."""
        load = server_load(self._tables, server.name)
        sent_at = steady_seconds()
        if not load.in_flight:
            load.busy_since = sent_at
        load.in_flight += 1
        try:
            answer = await connection.call(request, timeout_s)
        finally:
            load.in_flight -= 1
        now = steady_seconds()
        self._record_answer(server, answer, sent_at, now)
        if isinstance(request, PrepareShape):
            _log_prepared(server, request.prepared, answer)
        if answer.kind is AnswerKind.UNKNOWN_STATEMENT:
            connection.connection_state.clear_shapes()
        if isinstance(request, Forward) and answer.kind is AnswerKind.COMPLETED:
            load.observe_latency(now - sent_at, now)
        return answer

    async def query(
        self, server: Server, request: ServerRequest, wait_s: float
    ) -> ServerAnswer | None:
        """Send a request of this proxy's own, with priority over statements.

        Returns
        -------
        ServerAnswer or None
            None if no connection was free in time.
        """
        pool = self.pool(server)
        now = steady_seconds()
        connection_request = ConnectionRequest(
            INTERNAL_PRIORITY,
            '',
            now + wait_s,
            now + wait_s,
            ANY_WORKSPACE if self._divided else '',
        )
        connection = await pool.acquire({}, [], connection_request)
        if connection is None:
            return None
        answer = await self.call(server, connection, request, wait_s)
        self.release(server, connection)
        return answer

    async def report(
        self, server: Server, wait_s: float
    ) -> ServerReport | None:
        """Request a server's status report."""
        answer = await self.query(server, ReportStatus(), wait_s)
        return None if answer is None else answer.report

    def release(self, server: Server, connection) -> None:
        """Release a connection that is outside a transaction."""
        pool = self._pools.get(server.name)
        if pool is None or connection not in pool.connections:
            connection.close()
        else:
            pool.release(connection)

    def discard(self, server: Server, connection) -> None:
        """Close a connection whose state is unknown."""
        pool = self._pools.get(server.name)
        if pool is None or connection not in pool.connections:
            connection.close()
        else:
            pool.discard(connection)

    def drop_connections(self, name: str) -> None:
        """Close all connections to a server that must not be used.

        Outstanding requests end with a lost answer at once.
        """
        pool = self._pools.get(name)
        if pool is not None:
            for connection in pool.connections:
                pool.discard(connection)

    def stop(self) -> None:
        """Close all connections, and let no more statements have one.

        Outstanding requests end with a lost answer at once, which is no
        evidence about the servers.
        """
        self.stopped = True
        for pool in self._pools.values():
            pool.close()
            for connection in pool.connections:
                pool.discard(connection)

    async def _open(
        self,
        server: Server,
        connection_request: ConnectionRequest,
        timeout_s: float,
    ):
        workspace = workspace_if_opened(
            connection_request.workspace, borrowed=False
        )
        source = self._borrowing.source(server, workspace)
        if source == NO_LENDER:
            return NOT_LENT
        if source != OPEN_DIRECTLY:
            return await self._borrowing.borrow(
                source, server, connection_request
            )
        pool = self.pool(server)
        if pool.borrows:  # this proxy has just become the lender
            self._update_limit(pool)
        return await open_or_borrow(
            self._clock,
            pool,
            functools.partial(
                self._open_connection, server, workspace, timeout_s
            ),
            functools.partial(self._borrow_of_any, server, connection_request),
        )

    async def _borrow_of_any(
        self, server: Server, connection_request: ConnectionRequest
    ):
        """Borrow a connection from the nearest lender that has one, or None."""
        if self._divided:
            return None
        for lender in self._borrowing.other_lenders(server):
            borrowed = await self._borrowing.borrow(
                lender, server, connection_request
            )
            if not isinstance(borrowed, ServerAnswer):
                return borrowed
        return None

    def _update_limit(self, pool: ConnectionPool) -> None:
        configuration = self._tables.configuration
        if configuration is None:
            return
        declared = configuration.groups.get(pool.server.group)
        if declared is None:
            return
        pool.divided = self._divided
        source = self._borrowing.source(pool.server)
        pool.borrows = source != OPEN_DIRECTLY
        # Until a lender is heard, those of this proxy serve its callers.
        pool.retains_idle = source in {OPEN_DIRECTLY, NO_LENDER}
        if pool.borrows:
            pool.limit = MAX_BORROWED
            return
        demands = self._demands(pool.server)
        limit = declared.connection_limit
        own = self._tables.name
        if pool.divided:
            # The rest is free, so nothing has to be reserved for views of the
            # demand that differ.
            pool.limit = (
                lendable(limit)
                if self._borrowing.has_single_lenders
                else connection_share(
                    lendable(limit), demands, own, reserved_share=0
                )
            )
        else:
            pool.limit = connection_share(limit, demands, own)

    def _demands(self, server: Server) -> dict[str, float]:
        """Return the demand for a server's connections at each lender."""
        tables = self._tables
        reported = {
            name: tables.peers[name].demands.get(server.name, 0)
            if name in tables.peers
            else 0
            for name in self._borrowing.lender_names(server)
        }
        return reported | {tables.name: server_load(tables, server.name).demand}

    def _record_answer(
        self, server: Server, answer: ServerAnswer, sent_at: float, now: float
    ) -> None:
        load = server_load(self._tables, server.name)
        if answer.kind is AnswerKind.WITHHELD:
            return  # the server has not seen the request
        if answer.kind is AnswerKind.LOST:
            if not self.stopped:
                self.on_suspicion(server, answer.reason)
            return
        present = self._tables.servers.get(server.name, server)
        if present.born_ms != server.born_ms:
            log_event('answer of an earlier start', server=server.name)
            return
        load.unreachable_since = None
        load.heard_at = now
        load.observe_round_trip(now - sent_at, now)
        if answer.kind is AnswerKind.LAGGING:
            load.lagging_until = now + LAGGING_RETRY_DELAY_S
        if answer.kind is AnswerKind.READ_ONLY:
            note_not_leading(self._tables, server, now)
            self.on_suspicion(server, 'it refuses writes')
        if answer.report is not None:
            load.received = max(load.received, answer.report.received)
            note_role(self._tables, server, answer.report, sent_at, now)
            if not answer.report.is_primary:
                # The report may be older than the record of its promotion.
                self.on_suspicion(server, 'it reports that it does not lead')
        if answer.position is not None:
            position_use = record_position(
                self._tables, server, answer.position, sent_at, now
            )
            if position_use in LOGGED_USES:
                self._log_sample(server, answer, sent_at, now, position_use)

    def _log_sample(
        self,
        server: Server,
        answer: ServerAnswer,
        sent_at: float,
        now: float,
        position_use: PositionUse,
    ) -> None:
        group = group_state(self._tables, server.group)
        log_event(
            'sample',
            use=position_use.value,
            group=group.name,
            server=server.name,
            position=answer.position,
            epoch=group.epoch,
            sent_after_record_s=round(sent_at - group.lead_known_at, 4),
            took_s=round(now - sent_at, 4),
            kind=answer.kind.value,
            in_transaction=answer.in_transaction,
        )

    def _record_attempt(
        self, server: Server, refusal: ServerAnswer | None
    ) -> None:
        if refusal is not None and refusal.kind is AnswerKind.NO_CONNECTION:
            return  # no evidence about the server
        load = server_load(self._tables, server.name)
        now = steady_seconds()
        if refusal is None or refusal.kind is not AnswerKind.LOST:
            load.heard_at = now
            load.unreachable_since = None
        if refusal is None:
            load.avoided_until = now
            return
        pool = self._pools.get(server.name)
        is_silent = refusal.kind is AnswerKind.LOST
        if pool is None or not pool.connections:
            avoid_s = AVOID_SILENT_S if is_silent else AVOID_S
            load.avoided_until = now + avoid_s
        if is_silent:
            self.on_suspicion(server, refusal.reason)


def note_role(
    tables: FleetTables,
    server: Server,
    report: ServerReport,
    sent_at: float,
    now: float,
) -> None:
    """Note whether a server reports that it leads its group."""
    if report.is_primary:
        note_leading(tables, server, sent_at, now)
    else:
        note_not_leading(tables, server, now)


def record_setup(connection, step: SetupStep, answer: ServerAnswer) -> None:
    """Record what a setup step has done to the state of its connection.

    A step without a certain outcome may have run, so the connection, whose
    state is unknown then, is closed.
    """
    if answer.kind is AnswerKind.COMPLETED:
        apply_step(connection.connection_state, step)
    elif answer.kind not in NO_EFFECT:
        connection.close()


def _log_prepared(
    server: Server, prepared: PreparedShape, answer: ServerAnswer
) -> None:
    log_event(
        'prepared',
        server=server.name,
        name=shape_name(prepared),
        writes=prepared.writes,
        shape=prepared.shape[:LOGGED_SHAPE_LENGTH],
        outcome=answer.kind.value,
    )


def _log_ignored(server: Server, reason: str) -> None:
    log_event('suspicion ignored', server=server.name, reason=reason)
