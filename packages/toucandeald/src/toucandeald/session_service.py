"""Runs the statements of callers' sessions.

Statements that only touch the session are answered here; reads, writes and
commits are sent to a server, and their answers are passed on only while they
are surely valid.
"""

import contextlib
import itertools
from collections.abc import Iterator
from typing import NamedTuple

from toucandeal.caller_sessions import (
    CallerSession,
    OpenTransaction,
    PreparedShape,
)
from toucandeal.fleet import Route, Statement, Verb
from toucandeal.fleet_tables import FleetTables, group_state
from toucandeal.permissions import basis_ends_at
from toucandeal.placement import Place, Refuse, place_read, place_write
from toucandeald.confirmations import Confirmations
from toucandeald.logs import log_event
from toucandeald.measures import Measures
from toucandeald.server_pools import ServerPools
from toucandeald.session_messages import (
    AnswerKind,
    BeginTransaction,
    CallerReply,
    Forward,
    ReplyKind,
    RollBack,
    ServerAnswer,
)
from toucandeald.steady_clock import steady_seconds

__all__ = ['SessionService']

MAX_BEGIN_ATTEMPTS = 4  # a group has three servers; the primary may change
MAX_READ_ATTEMPTS = 4  # as many, for a read
FULL_READ_ATTEMPT = 3  # from this one on, an attempt has all the time left
MAX_WRITE_ATTEMPTS = 3  # each only after a clear word that nothing ran
PATIENCE_SHARE = 0.6  # of the aim, that a statement may wait for a connection
READ_ATTEMPT_SHARE = 0.6  # of the aim, before a read is offered elsewhere
MIN_READ_ATTEMPT_S = 0.12
SETUP_TIMEOUT_S = 0.5
RETRY_S = 0.1  # for a refusal without a better estimate
BEGIN_STATEMENTS = {Verb.BEGIN, Verb.BEGIN_READ}
NOTHING_RAN = {
    AnswerKind.NOT_RUN,
    AnswerKind.LAGGING,
    AnswerKind.READ_ONLY,
    AnswerKind.UNKNOWN_STATEMENT,
    AnswerKind.MALFORMED,
    AnswerKind.ABORTED,
    AnswerKind.WRONG_SERVER,
    AnswerKind.TOO_MANY_CONNECTIONS,
}


@contextlib.contextmanager
def counted(counts: dict[str, int], name: str, applies: bool) -> Iterator[None]:
    """Count work of `name` for as long as it lasts."""
    step = 1 if applies else 0
    counts[name] = counts.get(name, 0) + step
    try:
        yield
    finally:
        counts[name] -= step


class Call(NamedTuple):
    """A statement on its way."""

    session: CallerSession
    identity: str
    statement: Statement
    prepared: PreparedShape | None
    route: Route
    began_at: float

    @property
    def writes(self) -> bool:
        """Return whether the statement may change data."""
        if self.prepared is not None:
            return self.prepared.writes
        return self.statement.writes

    @property
    def shapes(self) -> list[PreparedShape]:
        """Return the shapes that a connection must have for it."""
        return [] if self.prepared is None else [self.prepared]

    @property
    def deadline_at(self) -> float:
        """Return when the statement is given up."""
        return self.began_at + self.route.timeout_s

    @property
    def patience_s(self) -> float:
        """Return how long it may wait for a connection."""
        return self.route.aim_s * PATIENCE_SHARE


class SessionService:
    """All sessions of this proxy."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        pools: ServerPools,
        confirmations: Confirmations,
        measures: Measures,
    ) -> None:
        """Take the parts that the composition root made."""
        self.connections: set = set()
        self.sessions: dict[int, CallerSession] = {}
        self.closing_idle = False
        self.primary_work: dict[str, int] = {}
        self._clock = clock
        self._tables = tables
        self._pools = pools
        self._confirmations = confirmations
        self._measures = measures
        self._identities = itertools.count(1)

    def connected(self, connection) -> None:
        """Count a caller's connection."""
        self.connections.add(connection)

    def disconnected(self, connection, session: CallerSession | None) -> None:
        """End the session of a caller that has left."""
        self.connections.discard(connection)
        if session is None:
            return
        self.sessions.pop(session.identity, None)
        if session.transaction is not None and not session.busy:
            self._end(session, 'the caller has left')

    def went_idle(self, connection) -> None:
        """Close a connection between requests once the proxy is leaving."""
        session = connection.session
        if self.closing_idle and (session is None or session.state == 'idle'):
            connection.close()

    def close_idle_sessions(self) -> None:
        """Close the connections that are between requests."""
        for connection in list(self.connections):
            session = connection.session
            between = session is None or session.state == 'idle'
            if connection.idle and between:
                connection.close()

    def fault(self, failure) -> None:
        """Log a fault of the proxy itself."""
        log_event(
            'fault',
            error=failure.getErrorMessage(),
            trace=failure.getTraceback(),
        )

    def open(self, database: str, user: str) -> CallerSession | CallerReply:
        """Open a session, or say why not."""
        configuration = self._tables.configuration
        if configuration is None:
            return CallerReply(
                ReplyKind.REFUSED,
                reason='this proxy has no configuration yet',
                retry_after_s=RETRY_S,
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
        session = CallerSession(next(self._identities), database, user)
        self.sessions[session.identity] = session
        return session

    async def run(
        self, session: CallerSession, identity: str, statement: Statement
    ) -> CallerReply:
        """Run a caller's statement and return its one reply."""
        began_at = steady_seconds()
        session.busy = True
        try:
            reply = await self._run(session, identity, statement, began_at)
        finally:
            session.busy = False
        if session.identity not in self.sessions:
            self._end(session, 'the caller has left')
        took_s = steady_seconds() - began_at
        self._measures.reply(statement.verb.value, reply.kind.value, took_s)
        if reply.kind is not ReplyKind.DONE:
            log_event(
                'reply',
                id=identity,
                session=session.identity,
                database=session.database,
                verb=statement.verb.value,
                outcome=reply.kind.value,
                reason=reply.reason,
                took_ms=round(took_s * 1000, 1),
            )
        return reply

    def works_with_primary(self, group: str) -> bool:
        """Return whether statements or transactions are open there."""
        return self.primary_work.get(group, 0) > 0 or any(
            session.transaction is not None
            and session.transaction.link is not None
            and session.transaction.place.on_primary
            and session.transaction.place.server.group == group
            for session in self.sessions.values()
        )

    def expire_transactions(self, now: float) -> None:
        """Roll back the transactions that have been idle for too long."""
        configuration = self._tables.configuration
        if configuration is None:
            return
        oldest = now - configuration.idle_transaction_s
        for session in self.sessions.values():
            opened = session.transaction
            idle = opened is not None and not session.busy
            if idle and opened.link is not None and opened.used_at < oldest:
                self._fail_transaction(session, 'it was idle for too long')

    async def _run(
        self,
        session: CallerSession,
        identity: str,
        statement: Statement,
        began_at: float,
    ) -> CallerReply:
        if statement.verb is Verb.MALFORMED:
            return _reply(
                session, ReplyKind.MALFORMED, 'the statement is not known'
            )
        if statement.verb is Verb.ROLLBACK:
            self._end(session, 'the caller asked for it')
            return _reply(session, ReplyKind.DONE)
        if session.state == 'failed':
            return self._after_failure(session, statement)
        if statement.verb in BEGIN_STATEMENTS:
            return self._begin(session, statement, began_at)
        if statement.verb in {Verb.SET, Verb.PREPARE, Verb.DEALLOCATE}:
            return _change_session(session, statement)
        return await self._forward(session, identity, statement, began_at)

    def _after_failure(
        self, session: CallerSession, statement: Statement
    ) -> CallerReply:
        if statement.verb is Verb.COMMIT:
            reason = session.transaction.failure
            self._end(session, reason)
            return _reply(session, ReplyKind.ABORTED, reason)
        return _reply(
            session,
            ReplyKind.MALFORMED,
            'the transaction has failed; end it with ROLLBACK',
        )

    def _begin(
        self, session: CallerSession, statement: Statement, now: float
    ) -> CallerReply:
        if session.transaction is not None:
            return _reply(
                session, ReplyKind.MALFORMED, 'a transaction is open already'
            )
        route = self._route(session)
        if route is None:
            return _unknown_database(session)
        session.transaction = OpenTransaction(
            route,
            read_only=statement.verb is Verb.BEGIN_READ,
            began_at=now,
        )
        return _reply(session, ReplyKind.DONE)

    def _route(self, session: CallerSession) -> Route | None:
        return self._tables.configuration.routes.get(session.database)

    async def _forward(
        self,
        session: CallerSession,
        identity: str,
        statement: Statement,
        began_at: float,
    ) -> CallerReply:
        opened = session.transaction
        route = self._route(session) if opened is None else opened.route
        if route is None:
            return _unknown_database(session)
        prepared = session.prepared.get(statement.name)
        if statement.verb is Verb.EXECUTE and prepared is None:
            self._fail_transaction(session, 'a prepared name is not known')
            return _reply(
                session,
                ReplyKind.UNKNOWN_STATEMENT,
                f'prepare {statement.name!r} first',
            )
        if statement.verb is not Verb.EXECUTE:
            prepared = None
        call = Call(session, identity, statement, prepared, route, began_at)
        if opened is not None:
            return await self._run_in_transaction(call, opened)
        if statement.verb is Verb.COMMIT:
            return _reply(
                session, ReplyKind.MALFORMED, 'no transaction is open'
            )
        if call.writes:
            return await self._run_write(call)
        return await self._run_read(call)

    async def _run_read(self, call: Call) -> CallerReply:
        """Run a single read, on another server where one falls short."""
        tried: frozenset[str] = frozenset()
        answer = _not_run('no server can run it now')
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
                    return _refused(call.session, place)
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
            return _reply(call.session, ReplyKind.FAILED, answer.reason)
        return _refused(call.session, Refuse(answer.reason, RETRY_S))

    async def _run_write(self, call: Call) -> CallerReply:
        """Run a single write, again only where nothing has run."""
        reason = ''
        for _ in range(MAX_WRITE_ATTEMPTS):
            now = steady_seconds()
            place = place_write(self._tables, call.route, now)
            if isinstance(place, Refuse):
                return _refused(call.session, place)
            with self._primary_work(place):
                answer = await self._offer(call, place, call.deadline_at - now)
                if answer.kind not in NOTHING_RAN:
                    return await self._write_answered(call, place, answer)
            reason = answer.reason
            if steady_seconds() - call.began_at > call.patience_s:
                break
        return _refused(call.session, Refuse(reason, RETRY_S))

    def _primary_work(self, place: Place):
        return counted(self.primary_work, place.server.group, place.on_primary)

    async def _write_answered(
        self, call: Call, place: Place, answer: ServerAnswer
    ) -> CallerReply:
        if answer.kind is AnswerKind.FAILED:
            return _reply(call.session, ReplyKind.FAILED, answer.reason)
        if answer.kind is AnswerKind.TIMED_OUT:
            return _reply(call.session, ReplyKind.TIMED_OUT, answer.reason)
        if answer.kind is AnswerKind.LOST:
            return _reply(call.session, ReplyKind.UNKNOWN, answer.reason)
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
            return _reply(
                call.session,
                ReplyKind.UNKNOWN,
                'no replica has confirmed the write in time',
            )
        call.session.seen = max(call.session.seen, answer.position)
        return _done(call.session, answer)

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
            return _done(call.session, answer)
        return _refused(
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
            epoch=place.epoch,
            reason=place.reason,
        )
        link = await self._pools.acquire(
            server, call.session, call.shapes, min(call.patience_s, timeout_s)
        )
        if link is None:
            return _no_connection()
        if not self._is_current(place):
            self._pools.release(server, link)
            return _not_run('the primary may have changed')
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

    async def _run_in_transaction(
        self, call: Call, opened: OpenTransaction
    ) -> CallerReply:
        if opened.link is None:
            refused = await self._start_transaction(call, opened)
            if refused is not None:
                return refused
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
            epoch=place.epoch,
            reason=place.reason,
        )
        link = await self._pools.acquire(
            place.server, call.session, call.shapes, call.patience_s
        )
        if link is None:
            return _no_connection()
        if not self._is_current(place):
            self._pools.release(place.server, link)
            return _not_run('the primary may have changed')
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
                return _done(call.session, answer)
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
            return _reply(session, ReplyKind.ABORTED, answer.reason)
        if answer.kind is AnswerKind.FAILED:
            return _reply(session, ReplyKind.FAILED, answer.reason)
        return _reply(session, ReplyKind.UNKNOWN, answer.reason)

    def _abort(
        self, call: Call, reason: str, kind: ReplyKind = ReplyKind.ABORTED
    ) -> CallerReply:
        """Roll the transaction back before its commit, and say so."""
        self._fail_transaction(call.session, reason)
        return _reply(call.session, kind, reason, RETRY_S)

    def _fail_transaction(self, session: CallerSession, reason: str) -> None:
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

    def _end(self, session: CallerSession, reason: str) -> None:
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
            ending.addErrback(self.fault)
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


def _read_timeout_s(call: Call, attempt: int) -> float:
    """Return how long an attempt of a read waits for its answer."""
    left_s = call.deadline_at - steady_seconds()
    if attempt >= FULL_READ_ATTEMPT:
        return left_s
    share_s = call.route.aim_s * READ_ATTEMPT_SHARE
    return min(left_s, max(share_s, MIN_READ_ATTEMPT_S))


def _change_session(
    session: CallerSession, statement: Statement
) -> CallerReply:
    match statement.verb:
        case Verb.SET:
            session.values[statement.name] = statement.argument
        case Verb.PREPARE:
            session.prepared[statement.name] = PreparedShape(
                statement.argument, statement.writes
            )
        case Verb.DEALLOCATE:
            if session.prepared.pop(statement.name, None) is None:
                return _reply(
                    session,
                    ReplyKind.UNKNOWN_STATEMENT,
                    f'{statement.name!r} was not prepared',
                )
    return _reply(session, ReplyKind.DONE)


def _reply(
    session: CallerSession,
    kind: ReplyKind,
    reason: str = '',
    retry_after_s: float = 0,
) -> CallerReply:
    return CallerReply(
        kind, session.state, reason=reason, retry_after_s=retry_after_s
    )


def _refused(session: CallerSession, refusal: Refuse) -> CallerReply:
    return _reply(
        session, ReplyKind.REFUSED, refusal.reason, refusal.retry_after_s
    )


def _done(session: CallerSession, answer: ServerAnswer) -> CallerReply:
    return CallerReply(
        ReplyKind.DONE,
        session.state,
        answer.position,
        tuple(answer.rows),
        answer.signature,
    )


def _unknown_database(session: CallerSession) -> CallerReply:
    return _reply(
        session,
        ReplyKind.UNKNOWN_DATABASE,
        f'database {session.database!r} is not declared any more',
    )


def _not_run(reason: str) -> ServerAnswer:
    return ServerAnswer(AnswerKind.NOT_RUN, [], '', reason)


def _no_connection() -> ServerAnswer:
    return _not_run('no connection to the server was free in time')
