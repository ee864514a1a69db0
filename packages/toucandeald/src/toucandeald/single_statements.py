"""Runs statements outside transactions, and again where nothing has run."""

from toucandeal.placement import Place, Refuse, place_read, place_write
from toucandeald.logs import log_event
from toucandeald.replies import (
    NOTHING_RAN,
    RETRY_S,
    no_connection,
    not_run,
    refusal_for,
    refused,
    reply,
)
from toucandeald.sending import Sending
from toucandeald.session_messages import (
    AnswerKind,
    CallerReply,
    Forward,
    ReplyKind,
    ServerAnswer,
)
from toucandeald.statement_calls import Call, age_ms
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['SingleStatements']

MAX_READ_ATTEMPTS = 12  # with some rounds over three servers
FULL_READ_ATTEMPT = 3  # from this one on, an attempt has all the time left
MAX_WRITE_ATTEMPTS = 3  # each only after a clear word that nothing ran
READ_ATTEMPT_SHARE = 0.6  # of the aim, before a read is offered elsewhere
ROUND_S = 0.03  # between two rounds, as long as a replica usually lags
# What may be otherwise in a moment.
PASSING = {AnswerKind.LAGGING, AnswerKind.NOT_RUN, AnswerKind.WITHHELD}
MIN_READ_ATTEMPT_S = 0.12  # many times a read of a server in order


class SingleStatements:
    """Reads and writes, each in a transaction of its own."""

    def __init__(self, parts: Sending) -> None:
        """Take what sends statements."""
        self._parts = parts

    async def run(self, call: Call) -> CallerReply:
        """Run a statement and return its one reply."""
        if call.writes:
            return await self._run_write(call)
        return await self._run_read(call)

    async def _run_read(self, call: Call) -> CallerReply:
        """Run a single read, on another server where one falls short."""
        tried: frozenset[str] = frozenset()
        answer = None
        for attempt in range(1, MAX_READ_ATTEMPTS + 1):
            place = await self._next_place(call, tried, answer)
            if isinstance(place, Refuse):
                break
            if place.server.name in tried:
                tried = frozenset()  # another round begins
            tried |= {place.server.name}
            timeout_s = _read_timeout_s(call, attempt)
            wait_s = call.left_s if place.alone else timeout_s
            answer = await self._offer(call, place, timeout_s, wait_s)
            if answer.kind is AnswerKind.COMPLETED:
                return self._parts.valid.answered(call, place, answer)
            if steady_seconds() >= call.deadline_at:
                break
        if answer is None:
            return refused(call.session, place)
        if answer.kind is AnswerKind.FAILED:
            return reply(call.session, ReplyKind.FAILED, answer.reason)
        return refused(call.session, refusal_for(answer))

    async def _next_place(
        self, call: Call, tried: frozenset[str], answer: ServerAnswer | None
    ) -> Place | Refuse:
        """Return a server that was not tried, or any after a short pause."""
        place = self._place(call, tried)
        if answer is None or _is_untried(place, tried):
            return place
        if answer.kind is AnswerKind.LOST:
            return self._place(call, frozenset())
        if not _is_worth_another_round(call, answer):
            return Refuse(answer.reason, RETRY_S)
        await pause(self._parts.clock, ROUND_S)
        return self._place(call, frozenset())

    def _place(self, call: Call, tried: frozenset[str]) -> Place | Refuse:
        return place_read(
            self._parts.tables,
            call.route,
            call.session.seen,
            steady_seconds(),
            tried,
        )

    async def _run_write(self, call: Call) -> CallerReply:
        """Run a single write, again only where nothing has run."""
        answer = not_run('no server can run it now')
        for _ in range(MAX_WRITE_ATTEMPTS):
            now = steady_seconds()
            place = place_write(self._parts.tables, call.route, now)
            if isinstance(place, Refuse):
                return refused(call.session, place)
            with self._parts.primary_work.at(place):
                answer = await self._offer(
                    call, place, call.left_s, call.left_s
                )
                if answer.kind not in NOTHING_RAN:
                    return await self._write_answered(call, place, answer)
            if steady_seconds() - call.began_at > call.patience_s:
                break
        return refused(call.session, refusal_for(answer))

    async def _write_answered(
        self, call: Call, place: Place, answer: ServerAnswer
    ) -> CallerReply:
        if answer.kind is AnswerKind.FAILED:
            return reply(call.session, ReplyKind.FAILED, answer.reason)
        if answer.kind is AnswerKind.TIMED_OUT:
            return reply(call.session, ReplyKind.TIMED_OUT, answer.reason)
        if answer.kind is AnswerKind.LOST:
            return reply(call.session, ReplyKind.UNKNOWN, answer.reason)
        return await self._parts.valid.acknowledge(call, place, answer)

    async def _offer(
        self, call: Call, place: Place, timeout_s: float, wait_s: float
    ) -> ServerAnswer:
        """Send a single statement to a server.

        Parameters
        ----------
        call : Call
        place : Place
        timeout_s : float
            For the answer.
        wait_s : float
            In which a connection is of use.
        """
        server = place.server
        log_event(
            'route',
            id=call.identity,
            server=server.name,
            after=place.after,
            age_ms=age_ms(place),
            epoch=place.epoch,
            reason=place.reason,
        )
        link = await self._parts.pools.acquire(
            server,
            call.session,
            call.shapes,
            self._parts.pace.claim(call, server, wait_s),
        )
        if link is None:
            return no_connection()
        if not self._parts.valid.is_current(place):
            self._parts.pools.release(server, link)
            return not_run('the primary may have changed')
        request = Forward(
            call.identity, call.statement, call.prepared, place.after
        )
        answer = await self._parts.pools.call(server, link, request, timeout_s)
        if answer.kind is AnswerKind.UNKNOWN_STATEMENT:
            link.laid.shapes.clear()
        if answer.in_transaction:
            self._parts.pools.discard(server, link)
        else:
            self._parts.pools.release(server, link)
        return answer


def _is_untried(place: Place | Refuse, tried: frozenset[str]) -> bool:
    """Return whether a place is a server that was not tried yet."""
    return isinstance(place, Place) and place.server.name not in tried


def _is_worth_another_round(call: Call, answer: ServerAnswer) -> bool:
    """Return whether the servers are likely to run the read in a moment.

    A replica that lagged may have caught up, a full queue have moved, and a
    primary been confirmed.
    """
    past_s = steady_seconds() - call.began_at
    return answer.kind in PASSING and past_s < call.route.aim_s


def _read_timeout_s(call: Call, attempt: int) -> float:
    """Return how long an attempt of a read waits for its answer."""
    if attempt >= FULL_READ_ATTEMPT:
        return call.left_s
    share_s = call.route.aim_s * READ_ATTEMPT_SHARE
    return min(call.left_s, max(share_s, MIN_READ_ATTEMPT_S))
