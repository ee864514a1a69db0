"""The pools of all servers, and what their answers tell about the servers."""

from collections.abc import Iterable

from toucandeal.caller_sessions import (
    CallerSession,
    PreparedShape,
    ResetSession,
    apply_step,
    setup_steps,
)
from toucandeal.connection_shares import connection_share, decayed_demand
from toucandeal.fleet import Server
from toucandeal.fleet_tables import (
    FleetTables,
    record_position,
    server_load,
)
from toucandeal.promotion import Reported
from toucandeal.statement_queue import Claim
from toucandeald.borrowing import NOT_LENT, NOWHERE, OWN, Borrowing
from toucandeald.link_pool import LinkPool, OpenLink
from toucandeald.logs import log_event
from toucandeald.session_messages import (
    AnswerKind,
    Forward,
    LinkRequest,
    ReportStatus,
    ServerAnswer,
)
from toucandeald.steady_clock import steady_seconds

__all__ = ['SETUP_TIMEOUT_S', 'ServerPools']

SETUP_TIMEOUT_S = 0.5  # for a step that occupies no slot
SHUN_S = 0.25  # a server that refused connections
LAGGING_S = 0.06  # before a replica that lagged is tried again
MOST_BORROWED = 8  # connections at once; fewer than a server has
OWN_PRIORITY = -1  # of this proxy's own requests, before all callers'
WARM_LINKS = 2  # for each server, so that a failover needs no handshakes


class ServerPools:
    """A pool for each server that the shared records name."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        open_link: OpenLink,
        borrowing: Borrowing,
    ) -> None:
        """Take the tables, and what opens or borrows a connection."""
        self.on_suspicion = _ignore
        self._clock = clock
        self._tables = tables
        self._open_link = open_link
        self._borrowing = borrowing
        self._pools: dict[str, LinkPool] = {}

    @property
    def opened(self) -> int:
        """Return the number of connections opened so far."""
        return sum(pool.opened for pool in self._pools.values())

    def pool(self, server: Server) -> LinkPool:
        """Return the pool of a server at its present address and start."""
        known = self._pools.get(server.name)
        if known is not None and (
            known.server.address == server.address
            and known.server.born_ms == server.born_ms
        ):
            return known
        if known is not None:
            known.close()
        pool = LinkPool(
            self._clock, server, self._open, self._connection_observed
        )
        self._pools[server.name] = pool
        self._limit(pool)
        return pool

    def keep_up(self) -> None:
        """Open, limit and close pools as the servers of the tables ask."""
        tables = self._tables
        for name in set(self._pools) - set(tables.servers):
            self._pools.pop(name).close()
        if tables.configuration is None:
            return
        for server in tables.servers.values():
            if server.group in tables.configuration.groups:
                pool = self.pool(server)
                load = server_load(tables, server.name)
                load.demand = decayed_demand(load.demand, pool.peak)
                pool.begin_period()
                self._limit(pool)
                holds = pool.keeps_idle and not server.leaving
                warm = WARM_LINKS if holds else 0
                pool.trim(warm)
                pool.warm(warm)

    async def acquire(
        self,
        server: Server,
        session: CallerSession,
        shapes: list[PreparedShape],
        claim: Claim,
    ):
        """Return a connection that fits the session, or None."""
        load = server_load(self._tables, server.name)
        pool = self.pool(server)
        load.waiting += 1
        try:
            link = await pool.acquire(session.values, shapes, claim)
        finally:
            load.waiting -= 1
        if link is None:
            return None
        if await self.fit(server, link, session, shapes):
            return link
        pool.discard(link)
        return None

    async def fit(
        self,
        server: Server,
        link,
        session: CallerSession,
        shapes: Iterable[PreparedShape],
    ) -> bool:
        """Lay the session onto the connection; return whether it fits."""
        for step in setup_steps(link.laid, session.values, shapes):
            answer = await self.call(server, link, step, SETUP_TIMEOUT_S)
            if answer.kind is not AnswerKind.COMPLETED:
                if isinstance(step, ResetSession):
                    link.close()
                return False
            apply_step(link.laid, step)
        return True

    async def call(
        self, server: Server, link, request: LinkRequest, timeout_s: float
    ) -> ServerAnswer:
        """Send a request and take in what the answer tells."""
        load = server_load(self._tables, server.name)
        sent_at = steady_seconds()
        if not load.in_flight:
            load.busy_since = sent_at
        load.in_flight += 1
        try:
            answer = await link.call(request, timeout_s)
        finally:
            load.in_flight -= 1
        now = steady_seconds()
        self._answered(server, answer, sent_at, now)
        if isinstance(request, Forward) and answer.kind is AnswerKind.COMPLETED:
            load.observe_latency(now - sent_at)
        return answer

    async def ask(
        self, server: Server, request: LinkRequest, wait_s: float
    ) -> ServerAnswer | None:
        """Send a request of this proxy's own, before all statements.

        Returns
        -------
        ServerAnswer or None
            None where no connection was free in time.
        """
        pool = self.pool(server)
        now = steady_seconds()
        claim = Claim(OWN_PRIORITY, '', now + wait_s, now + wait_s)
        link = await pool.acquire({}, [], claim)
        if link is None:
            return None
        answer = await self.call(server, link, request, wait_s)
        self.release(server, link)
        return answer

    async def report(self, server: Server, wait_s: float) -> Reported | None:
        """Ask a server for its report of itself."""
        answer = await self.ask(server, ReportStatus(), wait_s)
        return None if answer is None else answer.report

    def release(self, server: Server, link) -> None:
        """Take back a connection that is outside a transaction."""
        pool = self._pools.get(server.name)
        if pool is None or link not in pool.links:
            link.close()
        else:
            pool.release(link)

    def discard(self, server: Server, link) -> None:
        """Close a connection whose state is not known."""
        pool = self._pools.get(server.name)
        if pool is None or link not in pool.links:
            link.close()
        else:
            pool.discard(link)

    def drop_links(self, name: str) -> None:
        """Close all connections to a server that must not be worked with.

        Statements that wait for its answer get their outcome at once.
        """
        pool = self._pools.get(name)
        if pool is not None:
            for link in pool.links:
                pool.discard(link)

    async def _open(self, server: Server, timeout_s: float):
        source = self._borrowing.source(server)
        if source == NOWHERE:
            return NOT_LENT
        if source == OWN:
            return await self._open_link(server, timeout_s)
        return await self._borrowing.borrow(source, server, timeout_s)

    def _limit(self, pool: LinkPool) -> None:
        configuration = self._tables.configuration
        if configuration is None:
            return
        declared = configuration.groups.get(pool.server.group)
        if declared is None:
            return
        pool.keeps_idle = self._borrowing.source(pool.server) == OWN
        if not pool.keeps_idle:
            pool.limit = MOST_BORROWED
            return
        demands = self._demands(pool.server)
        pool.limit = connection_share(
            declared.connection_limit, demands, self._tables.name
        )

    def _demands(self, server: Server) -> dict[str, float]:
        """Return what each holder of connections could use of a server."""
        tables = self._tables
        told = {
            name: tables.peers[name].demands.get(server.name, 0)
            if name in tables.peers
            else 0
            for name in self._borrowing.holders(server)
        }
        return told | {tables.name: server_load(tables, server.name).demand}

    def _answered(
        self, server: Server, answer: ServerAnswer, sent_at: float, now: float
    ) -> None:
        load = server_load(self._tables, server.name)
        if answer.kind is AnswerKind.LOST:
            self.on_suspicion(server, answer.reason)
            return
        load.unreachable_since = None
        load.heard_at = now
        if answer.kind is AnswerKind.LAGGING:
            load.lagging_until = now + LAGGING_S
        if answer.kind is AnswerKind.READ_ONLY:
            self.on_suspicion(server, 'it refuses writes')
        if answer.report is not None:
            load.received = max(load.received, answer.report.received)
        if answer.position is not None:
            record_position(self._tables, server, answer.position, sent_at, now)

    def _connection_observed(
        self, server: Server, refusal: ServerAnswer | None
    ) -> None:
        if refusal is not None and refusal.kind is AnswerKind.NO_CONNECTION:
            return  # it says nothing about the server
        load = server_load(self._tables, server.name)
        now = steady_seconds()
        if refusal is None or refusal.kind is not AnswerKind.LOST:
            load.heard_at = now
            load.unreachable_since = None
        if refusal is None:
            load.shunned_until = now
            return
        pool = self._pools.get(server.name)
        if pool is None or not pool.links:
            load.shunned_until = now + SHUN_S
        if refusal.kind is AnswerKind.LOST:
            self.on_suspicion(server, refusal.reason)


def _ignore(server: Server, reason: str) -> None:
    log_event('suspicion ignored', server=server.name, reason=reason)
