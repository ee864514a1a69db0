"""Runs callers' transactions, each on one connection to one server."""

from toucandeal.caller_sessions import CallerSession, OpenTransaction
from toucandeal.fleet import Verb
from toucandeal.placement import Place, Refuse, place_read, place_write
from toucandeald.faults import log_fault
from toucandeald.logs import log_event
from toucandeald.replies import (
    NOTHING_RAN,
    RETRY_S,
    done,
    no_connection,
    not_run,
    refusal_for,
    refused,
    reply,
)
from toucandeald.sending import Sending
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
from toucandeald.statement_calls import Call, age_ms
from toucandeald.steady_clock import steady_seconds

__all__ = ['CallerTransactions']

MAX_BEGIN_ATTEMPTS = 4  # a group has three servers; the primary may change


class CallerTransactions:
    """The open transactions' way to servers."""

    def __init__(self, parts: Sending) -> None:
        """Take what sends statements."""
        self._parts = parts

    async def run(self, call: Call, opened: OpenTransaction) -> CallerReply:
        """Run a statement inside a transaction and return its one reply."""
        if opened.link is None:
            failure = await self._start_transaction(call, opened)
            if failure is not None:
                return failure
        place = opened.place
        with self._parts.primary_work.at(place):
            if not self._parts.valid.is_current(place):
                return self._abort(call, 'the primary may have changed')
            fits = await self._parts.pools.fit(
                place.server, opened.link, call.session, call.shapes
            )
            if not fits:
                return self._abort(call, 'the connection was lost')
            opened.wrote = opened.wrote or call.writes
            log_event(
                'statement',
                id=call.identity,
                session=call.session.identity,
                server=place.server.name,
                epoch=place.epoch,
            )
            answer = await self._parts.pools.call(
                place.server,
                opened.link,
                Forward(call.identity, call.statement, call.prepared),
                call.route.timeout_s,
            )
            opened.used_at = steady_seconds()
            if call.statement.verb is Verb.COMMIT:
                return await self._commit_answered(call, opened, answer)
        return self._statement_answered(call, opened, answer)

    async def _start_transaction(
        self, call: Call, opened: OpenTransaction
    ) -> CallerReply | None:
        """Begin the transaction at a server; return a reply if none begins."""
        tried: frozenset[str] = frozenset()
        refusal = refusal_for(not_run('no server has begun it'))
        for _ in range(MAX_BEGIN_ATTEMPTS):
            now = steady_seconds()
            place = (
                place_read(
                    self._parts.tables,
                    call.route,
                    call.session.seen,
                    now,
                    tried,
                )
                if opened.read_only
                else place_write(self._parts.tables, call.route, now)
            )
            if isinstance(place, Refuse):
                refusal = place
                break
            tried |= {place.server.name}
            answer = await self._begin_at(call, opened, place)
            if answer.kind is AnswerKind.COMPLETED:
                return None
            refusal = refusal_for(answer)
            if steady_seconds() - call.began_at > call.patience_s:
                break
        self.fail(call.session, refusal.reason)
        return refused(call.session, refusal)

    async def _begin_at(
        self, call: Call, opened: OpenTransaction, place: Place
    ) -> ServerAnswer:
        log_event(
            'begin',
            id=call.identity,
            server=place.server.name,
            after=place.after,
            age_ms=age_ms(place),
            epoch=place.epoch,
            reason=place.reason,
        )
        link = await self._parts.pools.acquire(
            place.server,
            call.session,
            call.shapes,
            self._parts.pace.claim(call, place.server, call.left_s),
        )
        if link is None:
            return no_connection()
        if not self._parts.valid.is_current(place):
            self._parts.pools.release(place.server, link)
            return not_run('the primary may have changed')
        answer = await self._parts.pools.call(
            place.server,
            link,
            BeginTransaction(opened.read_only, place.after),
            SETUP_TIMEOUT_S,
        )
        if answer.kind is AnswerKind.COMPLETED:
            opened.link = link
            opened.place = place
            opened.used_at = steady_seconds()
        elif answer.in_transaction:
            self._parts.pools.discard(place.server, link)
        else:
            self._parts.pools.release(place.server, link)
        return answer

    def _statement_answered(
        self, call: Call, opened: OpenTransaction, answer: ServerAnswer
    ) -> CallerReply:
        if answer.kind is AnswerKind.COMPLETED and answer.in_transaction:
            if self._parts.valid.is_current(opened.place):
                return done(call.session, answer)
            return self._abort(call, 'the primary may have changed')
        if answer.kind is AnswerKind.FAILED:
            return self._abort(call, answer.reason, ReplyKind.FAILED)
        if answer.kind is AnswerKind.TIMED_OUT:
            return self._abort(call, answer.reason, ReplyKind.TIMED_OUT)
        return self._abort(call, answer.reason)

    async def _commit_answered(
        self, call: Call, opened: OpenTransaction, answer: ServerAnswer
    ) -> CallerReply:
        place = opened.place
        session = call.session
        session.transaction = None
        if answer.in_transaction or answer.kind is AnswerKind.LOST:
            self._parts.pools.discard(place.server, opened.link)
        else:
            self._parts.pools.release(place.server, opened.link)
        if answer.kind is AnswerKind.COMPLETED:
            if opened.wrote:
                return await self._parts.valid.acknowledge(call, place, answer)
            return self._parts.valid.answered(call, place, answer)
        if answer.kind in NOTHING_RAN or not opened.wrote:
            return reply(session, ReplyKind.ABORTED, answer.reason)
        if answer.kind is AnswerKind.FAILED:
            return reply(session, ReplyKind.FAILED, answer.reason)
        return reply(session, ReplyKind.UNKNOWN, answer.reason)

    def _abort(
        self, call: Call, reason: str, kind: ReplyKind = ReplyKind.ABORTED
    ) -> CallerReply:
        """Roll the transaction back before its commit, and say so."""
        self.fail(call.session, reason)
        return reply(call.session, kind, reason, RETRY_S)

    def fail(self, session: CallerSession, reason: str) -> None:
        """Roll a transaction back; only its end may follow."""
        opened = session.transaction
        if opened is None:
            return
        self._free(opened)
        opened.failure = reason
        log_event(
            'transaction',
            session=session.identity,
            outcome='rolled back',
            reason=reason,
        )

    def end(self, session: CallerSession, reason: str) -> None:
        """End a session's transaction; without a commit, nothing is kept."""
        opened = session.transaction
        session.transaction = None
        if opened is not None and opened.link is not None:
            log_event(
                'transaction',
                session=session.identity,
                outcome='rolled back',
                reason=reason,
            )
            self._free(opened)

    def _free(self, opened: OpenTransaction) -> None:
        link = opened.link
        opened.link = None
        if link is None:
            return
        if link.usable and not link.busy:
            ending = self._roll_back(opened.place, link)
            ending.addErrback(log_fault)
        else:
            self._parts.pools.discard(opened.place.server, link)

    def _roll_back(self, place: Place, link):
        ending = link.call(RollBack(), SETUP_TIMEOUT_S)

        def ended(answer: ServerAnswer) -> None:
            clean = answer.kind is AnswerKind.COMPLETED
            if clean and not answer.in_transaction:
                self._parts.pools.release(place.server, link)
            else:
                self._parts.pools.discard(place.server, link)

        return ending.addCallback(ended)
