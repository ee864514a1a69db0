"""Sends reads, writes and commits to servers on behalf of sessions."""

import random

from toucandeal.caller_sessions import CallerSession
from toucandeal.fleet import Statement, Verb
from toucandeal.fleet_tables import FleetTables
from toucandeald.acknowledging import Acknowledging
from toucandeald.caller_transactions import CallerTransactions
from toucandeald.confirmations import Confirmations
from toucandeald.refusal_pace import RefusalPace
from toucandeald.replies import reply, unknown_database
from toucandeald.sending import PrimaryWork, Sending
from toucandeald.server_pools import ServerPools
from toucandeald.session_messages import CallerReply, ReplyKind
from toucandeald.single_statements import SingleStatements
from toucandeald.statement_calls import Call

__all__ = ['Forwarding']


class Forwarding:
    """What this proxy sends to servers."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        pools: ServerPools,
        confirmations: Confirmations,
        generator: random.Random,
    ) -> None:
        """Take the connections, what confirms writes, and luck."""
        self.primary_work = PrimaryWork()
        self._tables = tables
        self._pace = RefusalPace(tables, generator)
        parts = Sending(
            clock,
            tables,
            pools,
            Acknowledging(tables, confirmations),
            self._pace,
            self.primary_work,
        )
        self.transactions = CallerTransactions(parts)
        self._single = SingleStatements(parts)

    async def forward(
        self,
        session: CallerSession,
        identity: str,
        statement: Statement,
        began_at: float,
    ) -> CallerReply:
        """Run a statement at a server and return its one reply."""
        opened = session.transaction
        route = (
            self._tables.configuration.routes.get(session.database)
            if opened is None
            else opened.route
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
        call = Call(session, identity, statement, prepared, route, began_at)
        if opened is None and statement.verb is Verb.COMMIT:
            return reply(session, ReplyKind.MALFORMED, 'no transaction is open')
        if opened is None:
            answer = await self._single.run(call)
        else:
            answer = await self.transactions.run(call, opened)
        return self._pace.paced(call, answer)
