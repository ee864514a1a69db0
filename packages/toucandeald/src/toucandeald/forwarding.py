"""Sends reads, writes and commits to servers.

Their answers are passed on only while they are surely valid, and only what
surely did not run is sent again.
"""

import random

from toucandeal.backoff import (
    adapt,
    count_refused,
    count_served,
    is_overloaded,
    retry_delay,
)
from toucandeal.caller_sessions import CallerSession, OpenTransaction
from toucandeal.fleet import Server, Statement, Verb
from toucandeal.fleet_tables import FleetTables, group_state, server_load
from toucandeal.permissions import basis_ends_at
from toucandeal.placement import Place, Refuse, place_read, place_write
from toucandeal.statement_queue import Claim
from toucandeald.confirmations import Confirmations
from toucandeald.faults import log_fault
from toucandeald.logs import log_event
from toucandeald.replies import (
    NOTHING_RAN,
    RETRY_S,
    done,
    no_connection,
    not_run,
    refused,
    reply,
    unknown_database,
)
from toucandeald.server_pools import SETUP_TIMEOUT_S, ServerPools
from toucandeald.session_messages import (
    AnswerKind,
    BeginTransaction,
    CallerReply,
    Forward,
    ReplyKind,
    RollBack,
    ServerAnswer,
)
from toucandeald.statement_calls import Call, counted
from toucandeald.steady_clock import steady_seconds

__all__ = ['Forwarding']

MAX_BEGIN_ATTEMPTS = 4  # a group has three servers; the primary may change
MAX_READ_ATTEMPTS = 4  # as many, for a read
FULL_READ_ATTEMPT = 3  # from this one on, an attempt has all the time left
MAX_WRITE_ATTEMPTS = 3  # each only after a clear word that nothing ran
READ_ATTEMPT_SHARE = 0.6  # of the aim, before a read is offered elsewhere
WANTED_REFUSALS = 0.25  # for each served statement, before callers are put off
MS = 1000
MIN_READ_ATTEMPT_S = 0.12  # many times a read of a server in order


class Forwarding:
    """What this proxy sends to servers on behalf of sessions.

    `primary_work` counts the statements under way at each group's primary.
    """

    def __init__(
        self,
        tables: FleetTables,
        pools: ServerPools,
        confirmations: Confirmations,
        generator: random.Random,
    ) -> None:
        """Take the connections, what confirms writes, and luck."""
        self.primary_work: dict[str, int] = {}
        self._tables = tables
        self._pools = pools
        self._confirmations = confirmations
        self._generator = generator

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
            self.fail_transaction(session, 'a prepared name is not known')
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
        return self._paced(call, await self._run(call, opened))

    async def _run(
        self, call: Call, opened: OpenTransaction | None
    ) -> CallerReply:
        if opened is not None:
            return await self._run_in_transaction(call, opened)
        if call.writes:
            return await self._run_write(call)
        return await self._run_read(call)

    def _paced(self, call: Call, answer: CallerReply) -> CallerReply:
        """Say in a refusal when to come back, for all to be served."""
        group = group_state(self._tables, call.route.group)
        group.backoff = adapt(group.backoff, steady_seconds(), WANTED_REFUSALS)
        if answer.kind not in {ReplyKind.REFUSED, ReplyKind.ABORTED}:
            group.backoff = count_served(group.backoff)
            return answer
        group.backoff = count_refused(group.backoff)
        delay_s = retry_delay(group.backoff, self._generator)
        return answer._replace(retry_after_s=max(answer.retry_after_s, delay_s))

    async def _run_read(self, call: Call) -> CallerReply:
        """Run a single read, on another server where one falls short."""
        tried: frozenset[str] = frozenset()
        answer = not_run('no server can run it now')
        for attempt in range(1, MAX_READ_ATTEMPTS + 1):
            place = place_read(
                self._tables,
                call.route,
                call.session.seen,
                steady_seconds(),
                tried,
            )
            if isinstance(place, Refuse):
                if not tried:
                    return refused(call.session, place)
                break
            tried |= {place.server.name}
            answer = await self._offer(
                call, place, _read_timeout_s(call, attempt)
            )
            if answer.kind is AnswerKind.COMPLETED:
                return self._answered(call, place, answer)
            if steady_seconds() >= call.deadline_at:
                break
        if answer.kind is AnswerKind.FAILED:
            return reply(call.session, ReplyKind.FAILED, answer.reason)
        return refused(call.session, Refuse(answer.reason, RETRY_S))

    async def _run_write(self, call: Call) -> CallerReply:
        """Run a single write, again only where nothing has run."""
        reason = ''
        for _ in range(MAX_WRITE_ATTEMPTS):
            now = steady_seconds()
            place = place_write(self._tables, call.route, now)
            if isinstance(place, Refuse):
                return refused(call.session, place)
            with self._primary_work(place):
                answer = await self._offer(call, place, call.deadline_at - now)
                if answer.kind not in NOTHING_RAN:
                    return await self._write_answered(call, place, answer)
            reason = answer.reason
            if steady_seconds() - call.began_at > call.patience_s:
                break
        return refused(call.session, Refuse(reason, RETRY_S))

    def _primary_work(self, place: Place):
        return counted(self.primary_work, place.server.group, place.on_primary)

    async def _write_answered(
        self, call: Call, place: Place, answer: ServerAnswer
    ) -> CallerReply:
        if answer.kind is AnswerKind.FAILED:
            return reply(call.session, ReplyKind.FAILED, answer.reason)
        if answer.kind is AnswerKind.TIMED_OUT:
            return reply(call.session, ReplyKind.TIMED_OUT, answer.reason)
        if answer.kind is AnswerKind.LOST:
            return reply(call.session, ReplyKind.UNKNOWN, answer.reason)
        return await self._acknowledge(call, place, answer)

    async def _acknowledge(
        self, call: Call, place: Place, answer: ServerAnswer
    ) -> CallerReply:
        """Pass a write's success on once it can't be lost any more."""
        kept = answer.position is not None and await self._confirmations.wait(
            place.server.group,
            place.server.name,
            answer.position,
            call.deadline_at,
            lambda: self._is_current(place),
        )
        if not kept or not self._is_current(place):
            return reply(
                call.session,
                ReplyKind.UNKNOWN,
                'no replica has confirmed the write in time',
            )
        call.session.seen = max(call.session.seen, answer.position)
        return done(call.session, answer)

    def _is_current(self, place: Place) -> bool:
        """Return whether answers of the place may still be passed on."""
        if not place.on_primary:
            return True
        now = steady_seconds()
        group = group_state(self._tables, place.server.group)
        return (
            group.epoch == place.epoch
            and now < group.work_until
            and now < basis_ends_at(self._tables.permissions, now)
        )

    def _answered(
        self, call: Call, place: Place, answer: ServerAnswer
    ) -> CallerReply:
        if self._is_current(place):
            return done(call.session, answer)
        return refused(
            call.session, Refuse('the primary may have changed', RETRY_S)
        )

    async def _offer(
        self, call: Call, place: Place, timeout_s: float
    ) -> ServerAnswer:
        """Send a single statement to a server."""
        server = place.server
        log_event(
            'route',
            id=call.identity,
            server=server.name,
            after=place.after,
            age_ms=_age_ms(place),
            epoch=place.epoch,
            reason=place.reason,
        )
        link = await self._pools.acquire(
            server,
            call.session,
            call.shapes,
            self._claim(call, server, timeout_s),
        )
        if link is None:
            return no_connection()
        if not self._is_current(place):
            self._pools.release(server, link)
            return not_run('the primary may have changed')
        request = Forward(
            call.identity, call.statement, call.prepared, place.after
        )
        answer = await self._pools.call(server, link, request, timeout_s)
        if answer.kind is AnswerKind.UNKNOWN_STATEMENT:
            link.laid.shapes.clear()
        if answer.in_transaction:
            self._pools.discard(server, link)
        else:
            self._pools.release(server, link)
        return answer

    def _claim(self, call: Call, server: Server, timeout_s: float) -> Claim:
        """Return until when a connection leaves time for an answer."""
        latency_s = server_load(self._tables, server.name).latency_s
        ends_at = min(call.deadline_at, steady_seconds() + timeout_s)
        group = group_state(self._tables, server.group)
        if is_overloaded(group.backoff):
            ends_at = min(ends_at, call.began_at + call.route.aim_s)
        return call.claim(latency_s, ends_at)

    async def _run_in_transaction(
        self, call: Call, opened: OpenTransaction
    ) -> CallerReply:
        if opened.link is None:
            failure = await self._start_transaction(call, opened)
            if failure is not None:
                return failure
        place = opened.place
        with self._primary_work(place):
            if not self._is_current(place):
                return self._abort(call, 'the primary may have changed')
            fits = await self._pools.fit(
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
            answer = await self._pools.call(
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
        reason = 'no server has begun the transaction'
        for _ in range(MAX_BEGIN_ATTEMPTS):
            now = steady_seconds()
            place = (
                place_read(
                    self._tables, call.route, call.session.seen, now, tried
                )
                if opened.read_only
                else place_write(self._tables, call.route, now)
            )
            if isinstance(place, Refuse):
                reason = place.reason
                break
            tried |= {place.server.name}
            answer = await self._begin_at(call, opened, place)
            if answer.kind is AnswerKind.COMPLETED:
                return None
            reason = answer.reason
            if steady_seconds() - call.began_at > call.patience_s:
                break
        return self._abort(call, reason, ReplyKind.REFUSED)

    async def _begin_at(
        self, call: Call, opened: OpenTransaction, place: Place
    ) -> ServerAnswer:
        log_event(
            'begin',
            id=call.identity,
            server=place.server.name,
            after=place.after,
            age_ms=_age_ms(place),
            epoch=place.epoch,
            reason=place.reason,
        )
        link = await self._pools.acquire(
            place.server,
            call.session,
            call.shapes,
            self._claim(
                call, place.server, call.deadline_at - steady_seconds()
            ),
        )
        if link is None:
            return no_connection()
        if not self._is_current(place):
            self._pools.release(place.server, link)
            return not_run('the primary may have changed')
        answer = await self._pools.call(
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
            self._pools.discard(place.server, link)
        else:
            self._pools.release(place.server, link)
        return answer

    def _statement_answered(
        self, call: Call, opened: OpenTransaction, answer: ServerAnswer
    ) -> CallerReply:
        if answer.kind is AnswerKind.COMPLETED and answer.in_transaction:
            if self._is_current(opened.place):
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
            self._pools.discard(place.server, opened.link)
        else:
            self._pools.release(place.server, opened.link)
        if answer.kind is AnswerKind.COMPLETED:
            if opened.wrote:
                return await self._acknowledge(call, place, answer)
            return self._answered(call, place, answer)
        if answer.kind in NOTHING_RAN or not opened.wrote:
            return reply(session, ReplyKind.ABORTED, answer.reason)
        if answer.kind is AnswerKind.FAILED:
            return reply(session, ReplyKind.FAILED, answer.reason)
        return reply(session, ReplyKind.UNKNOWN, answer.reason)

    def _abort(
        self, call: Call, reason: str, kind: ReplyKind = ReplyKind.ABORTED
    ) -> CallerReply:
        """Roll the transaction back before its commit, and say so."""
        self.fail_transaction(call.session, reason)
        return reply(call.session, kind, reason, RETRY_S)

    def fail_transaction(self, session: CallerSession, reason: str) -> None:
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

    def end_transaction(self, session: CallerSession, reason: str) -> None:
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
            self._pools.discard(opened.place.server, link)

    def _roll_back(self, place: Place, link):
        ending = link.call(RollBack(), SETUP_TIMEOUT_S)

        def ended(answer: ServerAnswer) -> None:
            clean = answer.kind is AnswerKind.COMPLETED
            if clean and not answer.in_transaction:
                self._pools.release(place.server, link)
            else:
                self._pools.discard(place.server, link)

        return ending.addCallback(ended)


def _age_ms(place: Place) -> float | None:
    """Return the age of the sample that a place rests on."""
    if place.sampled_at is None:
        return None
    return round((steady_seconds() - place.sampled_at) * MS, 1)


def _read_timeout_s(call: Call, attempt: int) -> float:
    """Return how long an attempt of a read waits for its answer."""
    left_s = call.deadline_at - steady_seconds()
    if attempt >= FULL_READ_ATTEMPT:
        return left_s
    share_s = call.route.aim_s * READ_ATTEMPT_SHARE
    return min(left_s, max(share_s, MIN_READ_ATTEMPT_S))
