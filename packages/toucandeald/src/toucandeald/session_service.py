"""Callers' sessions.

Statements that change only the session state are answered locally; the others
are forwarded to servers.
"""

import functools
import itertools

from toucandeal.caller_sessions import (
    STATE_LIMIT_BYTES,
    CallerSession,
    OpenTransaction,
    PreparedShape,
    exceeds_state_limit,
)
from toucandeal.fleet import Statement, Verb
from toucandeal.fleet_tables import FleetTables
from toucandeal.workspaces import key_digest
from toucandeald.admission import STOPPING, Admission
from toucandeald.forwarding import Forwarding
from toucandeald.logs import log_event
from toucandeald.prometheus_metrics import PrometheusMetrics
from toucandeald.rate_admission import RateAdmission
from toucandeald.replies import DEFAULT_RETRY_AFTER_S, reply, unknown_database
from toucandeald.session_messages import CallerReply, ReplyKind
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['SessionService', 'change_session']

BEGIN_STATEMENTS = {Verb.BEGIN, Verb.BEGIN_READ}
LOCAL_STATEMENTS = {Verb.SET, Verb.PREPARE, Verb.DEALLOCATE}
# For the first configuration. The store may turn only this proxy away, so a
# caller has to have time left to be served by another one.
START_WAIT_S = 0.4
START_CHECK_INTERVAL_S = 0.03


class SessionService:
    """The open caller sessions of this proxy."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        forwarding: Forwarding,
        admission: Admission,
        metrics: PrometheusMetrics,
    ) -> None:
        """Initialize the service without sessions."""
        self.connections: set = set()
        self.sessions: dict[int, CallerSession] = {}
        self.closing_idle = False
        self.rates: RateAdmission | None = None  # set by the composition root
        self._clock = clock
        self._tables = tables
        self._forwarding = forwarding
        self._admission = admission
        self._metrics = metrics
        self._identities = itertools.count(1)

    @property
    def accepts_work(self) -> bool:
        """Return whether statements may run that arrive now."""
        return not self._admission.stopping

    @property
    def answers_due(self) -> int:
        """Return the number of sessions whose statement is running."""
        return sum(session.busy for session in self.sessions.values())

    def connected(self, connection) -> None:
        """Register a caller's connection."""
        self.connections.add(connection)

    def disconnected(self, connection, session: CallerSession | None) -> None:
        """End the session of a caller that disconnected."""
        self.connections.discard(connection)
        if session is None:
            return
        self.sessions.pop(session.identity, None)
        session.ended = True
        if session.transaction is not None and not session.busy:
            self._forwarding.transactions.end(session, 'the caller has left')

    def went_idle(self, connection) -> None:
        """Close a connection that became idle while the proxy shuts down.

        So is one whose key was removed while its last statement ran.
        """
        session = connection.session
        if self.closing_idle and _is_outside_transaction(session):
            connection.close()
        elif session is not None and self._admission.ends_idle_session(session):
            connection.close()

    def end_revoked_sessions(self) -> None:
        """Close idle connections whose keys the configuration lacks."""
        for connection in list(self.connections):
            session = connection.session
            if (
                session is not None
                and connection.idle
                and self._admission.ends_idle_session(session)
            ):
                connection.close()

    def close_idle_sessions(self) -> None:
        """Close idle connections without an open transaction."""
        for connection in list(self.connections):
            if connection.idle and _is_outside_transaction(connection.session):
                connection.close()

    def refuse_work(self) -> None:
        """Refuse all statements that arrive from now on.

        Open transactions without a running statement are rolled back at their
        servers. Their callers learn it with the reply to the next statement.
        """
        self._admission.stopping = True
        for session in self.sessions.values():
            if not session.busy:
                self._forwarding.transactions.roll_back(session, STOPPING)

    async def wait_until_configured(self) -> None:
        """Wait for the first configuration, for a limited time.

        After a loss of all proxies no other one has a configuration either,
        and callers that are refused at once have soon used up their retries.
        """
        ends_at = steady_seconds() + START_WAIT_S
        while self._tables.configuration is None and steady_seconds() < ends_at:
            await pause(self._clock, START_CHECK_INTERVAL_S)

    def open(self, database: str, key: str) -> CallerSession | CallerReply:
        """Open a session, or return the reply that refuses it."""
        configuration = self._tables.configuration
        if configuration is None:
            return CallerReply(
                ReplyKind.REFUSED,
                reason='this proxy has no configuration yet',
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        if database not in configuration.routes:
            log_event(
                'session refused',
                database=database,
                version=configuration.version,
            )
            return CallerReply(
                ReplyKind.UNKNOWN_DATABASE,
                reason=f'database {database!r} is not declared; ask an '
                'operator for a route with this name',
            )
        session = CallerSession(
            next(self._identities), database, key_digest(key)
        )
        refusal = self._admission.check_start(session, steady_seconds())
        if refusal is not None:
            self._count_by_workspace(session, refusal)
            return refusal
        self.sessions[session.identity] = session
        return session

    async def run(
        self, session: CallerSession, identity: str, statement: Statement
    ) -> CallerReply:
        """Run a caller's statement and return its reply."""
        began_at = steady_seconds()
        session.busy = True
        try:
            answer = await self._admit_and_run(
                session, identity, statement, began_at
            )
        finally:
            session.busy = False
        if session.identity not in self.sessions:
            self._forwarding.transactions.end(session, 'the caller has left')
        took_s = steady_seconds() - began_at
        self._metrics.count_reply(
            statement.verb.value, answer.kind.value, took_s
        )
        self._count_by_workspace(session, answer)
        if answer.kind is not ReplyKind.DONE:
            log_event(
                'reply',
                id=identity,
                session=session.identity,
                database=session.database,
                verb=statement.verb.value,
                outcome=answer.kind.value,
                reason=answer.reason,
                took_ms=round(took_s * 1000, 1),
            )
        return answer

    def fail_transaction(self, session: CallerSession, reason: str) -> None:
        """Roll a session's transaction back, if it has one."""
        self._forwarding.transactions.fail(session, reason)

    def has_work_at_primary(self, group: str) -> bool:
        """Return whether this proxy has open work at a group's primary."""
        return self._forwarding.primary_work.is_under_way(group) or any(
            session.transaction is not None
            and session.transaction.connection is not None
            and session.transaction.placement.on_primary
            and session.transaction.placement.server.group == group
            for session in self.sessions.values()
        )

    def expire_transactions(self, now: float) -> None:
        """Roll back transactions that exceeded the idle timeout."""
        configuration = self._tables.configuration
        if configuration is None:
            return
        oldest = now - configuration.idle_transaction_s
        for session in self.sessions.values():
            transaction = session.transaction
            idle = transaction is not None and not session.busy
            if (
                idle
                and transaction.connection is not None
                and transaction.used_at < oldest
            ):
                self._forwarding.transactions.fail(
                    session, 'it was idle for too long'
                )

    def _count_by_workspace(
        self, session: CallerSession, answer: CallerReply
    ) -> None:
        if self._tables.configuration.has_workspaces:
            self._metrics.workspaces.count(
                session.workspace, answer.cause or answer.kind.value
            )

    async def _admit_and_run(
        self,
        session: CallerSession,
        identity: str,
        statement: Statement,
        began_at: float,
    ) -> CallerReply:
        refusal = await self._admission.admit(session, statement, began_at)
        if refusal is not None:
            return refusal
        answer = await self._run(session, identity, statement, began_at)
        return self._admission.revised(session, answer)

    async def _run(
        self,
        session: CallerSession,
        identity: str,
        statement: Statement,
        began_at: float,
    ) -> CallerReply:
        if statement.verb is Verb.MALFORMED:
            return reply(
                session, ReplyKind.MALFORMED, 'the statement is not known'
            )
        if statement.verb is Verb.ROLLBACK:
            self._forwarding.transactions.end(
                session, 'the caller asked for it'
            )
            return reply(session, ReplyKind.DONE)
        if session.state == 'failed':
            return self._after_failure(session, statement)
        if statement.verb in BEGIN_STATEMENTS:
            return self._begin(session, statement, began_at)
        if statement.verb in LOCAL_STATEMENTS:
            return change_session(session, statement)
        forward = functools.partial(
            self._forwarding.forward, session, identity, statement, began_at
        )
        if self.rates is None:
            return await forward()
        return await self.rates.run(session, statement, began_at, forward)

    def _after_failure(
        self, session: CallerSession, statement: Statement
    ) -> CallerReply:
        if statement.verb is Verb.COMMIT:
            reason = session.transaction.failure
            self._forwarding.transactions.end(session, reason)
            return reply(session, ReplyKind.ABORTED, reason)
        return reply(
            session,
            ReplyKind.MALFORMED,
            'the transaction has failed; end it with ROLLBACK',
        )

    def _begin(
        self, session: CallerSession, statement: Statement, now: float
    ) -> CallerReply:
        if session.transaction is not None:
            return reply(
                session, ReplyKind.MALFORMED, 'a transaction is open already'
            )
        route = self._tables.configuration.routes.get(session.database)
        if route is None:
            return unknown_database(session)
        session.transaction = OpenTransaction(
            route,
            read_only=statement.verb is Verb.BEGIN_READ,
            began_at=now,
        )
        return reply(session, ReplyKind.DONE)


def _is_outside_transaction(session: CallerSession | None) -> bool:
    return session is None or session.state == 'idle'


def change_session(session: CallerSession, statement: Statement) -> CallerReply:
    """Change a session's values or prepared statements."""
    if statement.verb is not Verb.DEALLOCATE and exceeds_state_limit(
        session,
        statement.name,
        statement.argument,
        prepares=statement.verb is Verb.PREPARE,
    ):
        return reply(
            session,
            ReplyKind.MALFORMED,
            'the values and prepared statements of a session may have '
            f'{STATE_LIMIT_BYTES} bytes at most',
        )
    match statement.verb:
        case Verb.SET:
            session.values[statement.name] = statement.argument
        case Verb.PREPARE:
            session.prepared[statement.name] = PreparedShape(
                statement.argument, statement.writes
            )
        case Verb.DEALLOCATE:
            if session.prepared.pop(statement.name, None) is None:
                return reply(
                    session,
                    ReplyKind.UNKNOWN_STATEMENT,
                    f'{statement.name!r} was not prepared',
                )
    return reply(session, ReplyKind.DONE)
