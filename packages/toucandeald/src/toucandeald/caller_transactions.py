"""Runs callers' transactions, each on one connection to one server."""

import functools

from toucandeal.caller_sessions import CallerSession, OpenTransaction
from toucandeal.fleet import Verb
from toucandeal.placement import Placement, Refusal, place_read, place_write
from toucandeal.read_crossing import count_served
from toucandeald.admission import KEY_CHANGED, holds_workspace
from toucandeald.background_tasks import log_failure
from toucandeald.forwarding_context import ForwardingContext
from toucandeald.logs import log_event
from toucandeald.placement_waits import (
    may_repeat,
    wait_for_placement,
    withheld_reason,
)
from toucandeald.replies import (
    DEFAULT_RETRY_AFTER_S,
    NO_EFFECT,
    done,
    no_connection,
    refusal_for,
    refused,
    reply,
    withheld,
)
from toucandeald.server_pools import SETUP_TIMEOUT_S
from toucandeald.session_messages import (
    AnswerKind,
    BeginTransaction,
    CallerReply,
    Forward,
    ReplyKind,
    RollBack,
    ServerAnswer,
)
from toucandeald.statement_calls import StatementCall, age_ms
from toucandeald.steady_clock import steady_seconds

__all__ = ['CallerTransactions']

MAX_BEGIN_ATTEMPTS = 4  # a group has three servers; the primary may change


class CallerTransactions:
    """Open transactions of callers, each bound to a server connection."""

    def __init__(self, context: ForwardingContext) -> None:
        """Initialize with the services that forwarding needs."""
        self._context = context

    async def run(
        self, call: StatementCall, transaction: OpenTransaction
    ) -> CallerReply:
        """Run a statement inside a transaction and return its reply."""
        answer = await self._run(call, transaction)
        if call.statement.verb is not Verb.COMMIT:
            return answer
        # Also one that was not sent, as the transaction is rolled back then.
        call.session.transaction = None
        return answer._replace(state=call.session.state)

    async def _run(
        self, call: StatementCall, transaction: OpenTransaction
    ) -> CallerReply:
        if transaction.connection is None:
            failure = await self._start_transaction(call, transaction)
            if failure is not None:
                return failure
        placement = transaction.placement
        with self._context.primary_work.track(placement):
            if not self._context.validation.is_current(placement):
                return self._abort(call, 'the primary may have changed')
            failure = await self._context.pools.apply_session(
                placement.server,
                transaction.connection,
                call.session,
                call.shapes,
                in_transaction=True,
            )
            if failure is not None:
                return self._abort(
                    call, f'the session could not be set up: {failure.reason}'
                )
            if not holds_workspace(self._context.tables, call.session):
                return self._abort(call, KEY_CHANGED)
            transaction.wrote = transaction.wrote or call.writes
            log_event(
                'statement',
                id=call.identity,
                session=call.session.identity,
                server=placement.server.name,
                epoch=placement.epoch,
            )
            answer = await self._context.pools.call(
                placement.server,
                transaction.connection,
                Forward(call.identity, call.statement, call.prepared),
                call.route.timeout_s,
            )
            transaction.used_at = steady_seconds()
            if call.statement.verb is Verb.COMMIT:
                return await self._reply_to_commit(call, transaction, answer)
        return self._reply_to_statement(call, transaction, answer)

    async def _start_transaction(
        self, call: StatementCall, transaction: OpenTransaction
    ) -> CallerReply | None:
        """Begin the transaction at a server; return a reply if that fails."""
        tried: frozenset[str] = frozenset()
        refusal = refusal_for(withheld('no server has begun it'))
        for _ in range(MAX_BEGIN_ATTEMPTS):
            placement = await wait_for_placement(
                self._context,
                call,
                functools.partial(self._place, call, transaction, tried),
            )
            if isinstance(placement, Refusal):
                refusal = placement
                break
            tried |= {placement.server.name}
            answer = await self._begin_at(call, transaction, placement)
            if answer.kind is AnswerKind.COMPLETED:
                if transaction.read_only:
                    count_served(self._context.tables, placement.server)
                return None
            refusal = refusal_for(answer)
            if answer.kind is AnswerKind.WITHHELD:
                tried = frozenset()
            if not may_repeat(self._context, call, answer):
                break
        self.fail(call.session, refusal.reason)
        return refused(call.session, refusal)

    def _place(
        self,
        call: StatementCall,
        transaction: OpenTransaction,
        tried: frozenset[str],
    ) -> Placement | Refusal:
        now = steady_seconds()
        if not transaction.read_only:
            return place_write(self._context.tables, call.route, now)
        return place_read(
            self._context.tables,
            call.route,
            call.session.seen,
            now,
            tried,
            call.session.workspace,
        )

    async def _begin_at(
        self,
        call: StatementCall,
        transaction: OpenTransaction,
        placement: Placement,
    ) -> ServerAnswer:
        log_event(
            'begin',
            id=call.identity,
            server=placement.server.name,
            after=placement.after,
            age_ms=age_ms(placement),
            epoch=placement.epoch,
            reason=placement.reason,
        )
        connection = await self._context.pools.acquire(
            placement.server,
            call.session,
            call.shapes,
            self._context.backoff.connection_request(
                call, placement.server, call.remaining_s
            ),
        )
        if connection is None:
            return no_connection()
        reason = withheld_reason(self._context, call, placement)
        if reason:
            self._context.pools.release(placement.server, connection)
            return withheld(reason)
        answer = await self._context.pools.call(
            placement.server,
            connection,
            BeginTransaction(transaction.read_only, placement.after),
            SETUP_TIMEOUT_S,
        )
        if answer.kind not in NO_EFFECT:
            call.session.ran = True
        if answer.kind is AnswerKind.COMPLETED:
            transaction.connection = connection
            transaction.placement = placement
            transaction.used_at = steady_seconds()
        elif answer.in_transaction:
            self._context.pools.discard(placement.server, connection)
        else:
            self._context.pools.release(placement.server, connection)
        return answer

    def _reply_to_statement(
        self,
        call: StatementCall,
        transaction: OpenTransaction,
        answer: ServerAnswer,
    ) -> CallerReply:
        if answer.kind is AnswerKind.COMPLETED and answer.in_transaction:
            if self._context.validation.is_current(transaction.placement):
                return done(call.session, answer)
            return self._abort(call, 'the primary may have changed')
        if answer.kind is AnswerKind.FAILED:
            return self._abort(call, answer.reason, ReplyKind.FAILED)
        if answer.kind is AnswerKind.TIMED_OUT:
            return self._abort(call, answer.reason, ReplyKind.TIMED_OUT)
        return self._abort(call, answer.reason)

    async def _reply_to_commit(
        self,
        call: StatementCall,
        transaction: OpenTransaction,
        answer: ServerAnswer,
    ) -> CallerReply:
        placement = transaction.placement
        session = call.session
        session.transaction = None
        if answer.in_transaction or answer.kind is AnswerKind.LOST:
            self._context.pools.discard(
                placement.server, transaction.connection
            )
        else:
            self._context.pools.release(
                placement.server, transaction.connection
            )
        if answer.kind is AnswerKind.COMPLETED:
            if transaction.wrote:
                return await self._context.validation.acknowledge_write(
                    call, placement, answer
                )
            return self._context.validation.complete_read(
                call, placement, answer
            )
        if answer.kind in NO_EFFECT or not transaction.wrote:
            return reply(session, ReplyKind.ABORTED, answer.reason)
        if answer.kind is AnswerKind.FAILED:
            return reply(session, ReplyKind.FAILED, answer.reason)
        return reply(session, ReplyKind.UNKNOWN, answer.reason)

    def _abort(
        self,
        call: StatementCall,
        reason: str,
        kind: ReplyKind = ReplyKind.ABORTED,
    ) -> CallerReply:
        """Roll the transaction back and return the reply that reports it."""
        self.fail(call.session, reason)
        return reply(call.session, kind, reason, DEFAULT_RETRY_AFTER_S)

    def fail(self, session: CallerSession, reason: str) -> None:
        """Roll a transaction back; only COMMIT or ROLLBACK may follow."""
        transaction = session.transaction
        if transaction is None:
            return
        self._release_connection(transaction)
        transaction.failure = reason
        log_event(
            'transaction',
            session=session.identity,
            outcome='rolled back',
            reason=reason,
        )

    def end(self, session: CallerSession, reason: str) -> None:
        """End a session's transaction, and roll it back if it is open."""
        self.roll_back(session, reason)
        session.transaction = None

    def roll_back(self, session: CallerSession, reason: str) -> None:
        """Roll a transaction back at its server, if it has begun there.

        The session keeps the transaction, so the reply to the next statement
        must report it as rolled back.
        """
        transaction = session.transaction
        if transaction is not None and transaction.connection is not None:
            log_event(
                'transaction',
                session=session.identity,
                outcome='rolled back',
                reason=reason,
            )
            self._release_connection(transaction)

    def _release_connection(self, transaction: OpenTransaction) -> None:
        connection = transaction.connection
        transaction.connection = None
        if connection is None:
            return
        if connection.usable and not connection.busy:
            rollback = self._roll_back(transaction.placement, connection)
            rollback.addErrback(log_failure)
        else:
            self._context.pools.discard(
                transaction.placement.server, connection
            )

    def _roll_back(self, placement: Placement, connection):
        rollback = connection.call(RollBack(), SETUP_TIMEOUT_S)

        def rolled_back(answer: ServerAnswer) -> None:
            clean = answer.kind is AnswerKind.COMPLETED
            if clean and not answer.in_transaction:
                self._context.pools.release(placement.server, connection)
            else:
                self._context.pools.discard(placement.server, connection)

        return rollback.addCallback(rolled_back)
