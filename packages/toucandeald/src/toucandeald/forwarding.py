"""Forwards reads, writes and commits to servers on behalf of sessions."""

import random

from toucandeal.caller_sessions import CallerSession
from toucandeal.fleet import Statement, Verb
from toucandeal.fleet_tables import FleetTables
from toucandeald.answer_validation import AnswerValidation
from toucandeald.caller_transactions import CallerTransactions
from toucandeald.confirmations import Confirmations
from toucandeald.forwarding_context import ForwardingContext, PrimaryWork
from toucandeald.refusal_backoff import RefusalBackoff
from toucandeald.replies import reply, unknown_database
from toucandeald.server_pools import ServerPools
from toucandeald.session_messages import CallerReply, ReplyKind
from toucandeald.single_statements import SingleStatements
from toucandeald.statement_calls import StatementCall

__all__ = ['Forwarding']


class Forwarding:
    """Forwards the statements and transactions of callers."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        pools: ServerPools,
        confirmations: Confirmations,
        generator: random.Random,
    ) -> None:
        """Initialize with pools, write confirmations and a random generator."""
        self.primary_work = PrimaryWork()
        self._tables = tables
        self._backoff = RefusalBackoff(tables, generator)
        context = ForwardingContext(
            clock,
            tables,
            pools,
            AnswerValidation(tables, confirmations),
            self._backoff,
            self.primary_work,
        )
        self.transactions = CallerTransactions(context)
        self._single = SingleStatements(context)

    async def forward(
        self,
        session: CallerSession,
        identity: str,
        statement: Statement,
        began_at: float,
    ) -> CallerReply:
        """Run a statement at a server and return its reply."""
        transaction = session.transaction
        route = (
            self._tables.configuration.routes.get(session.database)
            if transaction is None
            else transaction.route
        )
        if route is None:
            return unknown_database(session)
        prepared = session.prepared.get(statement.name)
        if statement.verb is Verb.EXECUTE and prepared is None:
            self.transactions.fail(session, 'a prepared name is not known')
            return reply(
                session,
                ReplyKind.UNKNOWN_STATEMENT,
                f'prepare {statement.name!r} first',
            )
        if statement.verb is not Verb.EXECUTE:
            prepared = None
        call = StatementCall(
            session, identity, statement, prepared, route, began_at
        )
        if transaction is None and statement.verb is Verb.COMMIT:
            return reply(session, ReplyKind.MALFORMED, 'no transaction is open')
        if transaction is None:
            answer = await self._single.run(call)
        else:
            answer = await self.transactions.run(call, transaction)
        return self._backoff.with_retry_delay(call, answer)
