"""Admission: whose session a statement is in, and whether it may run.

Operators remove keys while sessions are open, statements wait and transactions
run. The key of a session is therefore looked up for each statement when it
arrives and again right before it is sent, in the configuration then in force.
"""

import math
from collections.abc import Awaitable, Callable
from typing import Protocol

from toucandeal.caller_sessions import CallerSession
from toucandeal.configuration_freshness import freshness_age, is_fresh
from toucandeal.fleet import Statement, Verb, session_workspace
from toucandeal.fleet_tables import FleetTables
from toucandeald.logs import log_event
from toucandeald.replies import DEFAULT_RETRY_AFTER_S, reply
from toucandeald.session_messages import CallerReply, ReplyKind

__all__ = [
    'Admission',
    'KEY_CHANGED',
    'STOPPING',
    'holds_workspace',
    'starts_operation',
]

KEY_REMOVED = 'the key was removed; the statement had no effect'
KEY_CHANGED = 'the key has changed while the statement waited; nothing has run'
KEY_MOVED = 'the key was moved to another workspace'
NOT_FRESH = 'it is not known whether the key is still valid; nothing has run'
STOPPING = 'this proxy is about to stop; nothing has run'
NO_EFFECT_KINDS = {ReplyKind.REFUSED, ReplyKind.ABORTED}
ENDING_STATEMENTS = {Verb.COMMIT, Verb.ROLLBACK}
OPERATION_STATEMENTS = {
    Verb.BEGIN,
    Verb.BEGIN_READ,
    Verb.READ,
    Verb.WRITE,
    Verb.EXECUTE,
}


class Transactions(Protocol):
    """The transactions that a refusal rolls back."""

    def fail(self, session: CallerSession, reason: str) -> None:
        """Roll a transaction back; only COMMIT or ROLLBACK may follow."""

    def end(self, session: CallerSession, reason: str) -> None:
        """End a session's transaction, and roll it back if it is open."""


class Admission:
    """Decides whether sessions may start and their statements may run.

    `begin_operation` is awaited at the start of each operation, and returns
    the reply that refuses it or None. The composition root may replace it.
    With `stopping` set, all statements are refused that need a server.
    """

    def __init__(
        self,
        tables: FleetTables,
        transactions: Transactions,
        revocation_limit_s: float | None,
    ) -> None:
        """Initialize; without a limit, freshness is not required."""
        self.begin_operation: Callable[
            [CallerSession, Statement, float], Awaitable[CallerReply | None]
        ] = _unlimited
        self.stopping = False
        self._tables = tables
        self._transactions = transactions
        self._limit_s = revocation_limit_s

    def check_start(
        self, session: CallerSession, now: float
    ) -> CallerReply | None:
        """Set the workspace of a new session, or return its refusal."""
        workspace = _workspace(self._tables, session)
        if workspace is None:
            log_event(
                'session refused',
                database=session.database,
                version=self._tables.configuration.version,
                reason='unknown key',
            )
            return CallerReply(
                ReplyKind.AUTHENTICATION_FAILED,
                reason=f'database {session.database!r} needs a valid key; '
                'ask an operator for one',
                cause='unknown key',
            )
        session.workspace = workspace
        if self._is_certain(workspace, now):
            return None
        return self._refuse_uncertain(session, now)

    async def admit(
        self, session: CallerSession, statement: Statement, now: float
    ) -> CallerReply | None:
        """Return the reply that refuses a statement that arrived at `now`."""
        refusal = self.check(session, statement, now)
        if refusal is None and starts_operation(session, statement):
            return await self.begin_operation(session, statement, now)
        return refusal

    def check(
        self, session: CallerSession, statement: Statement, now: float
    ) -> CallerReply | None:
        """Return the reply that refuses a statement for its key, or None.

        A refusal rolls the session's transaction back. If the key was moved, a
        session outside a transaction continues in the other workspace.
        """
        workspace = _workspace(self._tables, session)
        if workspace is None:
            return self._refuse_revoked(session)
        moved = workspace != session.workspace
        session.workspace = workspace
        ends_transaction = (
            session.state != 'idle' and statement.verb is Verb.ROLLBACK
        )
        if session.state == 'failed' or ends_transaction:
            return None  # no server runs the statement
        if moved and session.state == 'open':
            self._roll_back(session, statement, KEY_MOVED)
            return reply(
                session, ReplyKind.ABORTED, KEY_MOVED, DEFAULT_RETRY_AFTER_S
            )._replace(cause='key moved')
        if self.stopping:
            return self._refuse_stopping(session, statement)
        if self._is_certain(workspace, now):
            return None
        self._roll_back(session, statement, NOT_FRESH)
        return self._refuse_uncertain(session, now)

    def revised(
        self, session: CallerSession, answer: CallerReply
    ) -> CallerReply:
        """Return the reply to a statement that was under way.

        A statement without effect whose key was removed while it waited is
        refused for the removal, because the caller can't retry it.
        """
        if answer.kind in NO_EFFECT_KINDS and _is_revoked(
            self._tables, session
        ):
            return self._refuse_revoked(session)
        return answer

    def ends_idle_session(self, session: CallerSession) -> bool:
        """Return whether an idle session is to be closed at once.

        An open transaction of a removed key is rolled back. Its session stays
        open for the reply to its next statement, which tells the caller.
        """
        if not _is_revoked(self._tables, session):
            return False
        if session.state == 'open':
            self._transactions.fail(session, KEY_REMOVED)
        if session.state == 'failed':
            return False
        _log_session_ended(self._tables, session)
        return True

    def _is_certain(self, workspace: str, now: float) -> bool:
        return (
            not workspace
            or self._limit_s is None
            or is_fresh(
                self._tables.configuration_freshness, self._limit_s, now
            )
        )

    def _refuse_revoked(self, session: CallerSession) -> CallerReply:
        had_transaction = session.transaction is not None
        self._transactions.end(session, KEY_REMOVED)
        _log_session_ended(self._tables, session)
        reason = KEY_REMOVED
        if had_transaction:
            reason = 'the key was removed; the transaction was rolled back'
        return reply(session, ReplyKind.AUTHENTICATION_FAILED, reason)._replace(
            cause='key removed'
        )

    def _refuse_stopping(
        self, session: CallerSession, statement: Statement
    ) -> CallerReply:
        kind = ReplyKind.REFUSED
        if session.state == 'open':
            self._roll_back(session, statement, STOPPING)
            kind = ReplyKind.ABORTED
        return reply(session, kind, STOPPING, DEFAULT_RETRY_AFTER_S)

    def _refuse_uncertain(
        self, session: CallerSession, now: float
    ) -> CallerReply:
        age_s = freshness_age(self._tables.configuration_freshness, now)
        log_event(
            'freshness unknown',
            session=session.identity,
            workspace=session.workspace,
            age_s=round(age_s, 2) if math.isfinite(age_s) else 'never',
        )
        return reply(
            session, ReplyKind.REFUSED, NOT_FRESH, DEFAULT_RETRY_AFTER_S
        )._replace(cause='freshness unknown')

    def _roll_back(
        self, session: CallerSession, statement: Statement, reason: str
    ) -> None:
        if statement.verb in ENDING_STATEMENTS:
            self._transactions.end(session, reason)
        else:
            self._transactions.fail(session, reason)


def starts_operation(session: CallerSession, statement: Statement) -> bool:
    """Return whether an operation starts with a statement.

    An operation is a statement outside a transaction or a whole transaction,
    which starts with BEGIN. Statements that only change the session are none.
    """
    return (
        session.transaction is None and statement.verb in OPERATION_STATEMENTS
    )


def holds_workspace(tables: FleetTables, session: CallerSession) -> bool:
    """Return whether a session's key still is in its present workspace."""
    return _workspace(tables, session) == session.workspace


def _is_revoked(tables: FleetTables, session: CallerSession) -> bool:
    """Return whether a session's key was removed."""
    return _workspace(tables, session) is None


def _log_session_ended(tables: FleetTables, session: CallerSession) -> None:
    """Log that a session ends because its key was removed."""
    log_event(
        'session ended',
        session=session.identity,
        workspace=session.workspace,
        version=tables.configuration.version,
        reason='key removed',
    )


def _workspace(tables: FleetTables, session: CallerSession) -> str | None:
    return session_workspace(
        tables.configuration, session.database, session.key_digest
    )


async def _unlimited(
    session: CallerSession, statement: Statement, now: float
) -> CallerReply | None:
    """Start each operation at once."""
    del session, statement, now
