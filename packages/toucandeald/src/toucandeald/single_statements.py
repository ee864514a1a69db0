"""Runs statements outside transactions, and retries them where that is safe."""

import functools

from toucandeal.placement import Placement, Refusal, place_read, place_write
from toucandeal.read_crossing import count_served
from toucandeald.forwarding_context import ForwardingContext
from toucandeald.logs import log_event
from toucandeald.placement_waits import (
    is_wanted,
    may_repeat,
    repeat_window_s,
    wait_for_placement,
    withheld_reason,
)
from toucandeald.replies import (
    DEFAULT_RETRY_AFTER_S,
    NO_EFFECT,
    no_connection,
    refusal_for,
    refused,
    reply,
    withheld,
)
from toucandeald.session_messages import (
    AnswerKind,
    CallerReply,
    Forward,
    ReplyKind,
    ServerAnswer,
)
from toucandeald.statement_calls import StatementCall, age_ms
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['SingleStatements']

MAX_READ_ATTEMPTS = 12  # several rounds over three servers
# From this attempt on, the timeout is all remaining time.
FULL_TIMEOUT_ATTEMPT = 3
MAX_WRITE_ATTEMPTS = 3  # a retry requires that the last attempt had no effect
# Of the latency objective, before another server is tried.
READ_TIMEOUT_SHARE = 0.6
ROUND_PAUSE_S = 0.03  # between two rounds; the usual lag of a replica
# Refusals whose cause may have passed after ROUND_PAUSE_S.
TRANSIENT = {AnswerKind.LAGGING, AnswerKind.NOT_RUN, AnswerKind.WITHHELD}
# Many times the latency of a read at a healthy server.
MIN_READ_TIMEOUT_S = 0.12


class SingleStatements:
    """Reads and writes outside callers' transactions."""

    def __init__(self, context: ForwardingContext) -> None:
        """Initialize with the services that forwarding needs."""
        self._context = context

    async def run(self, call: StatementCall) -> CallerReply:
        """Run a statement and return its reply."""
        if call.writes:
            return await self._run_write(call)
        return await self._run_read(call)

    async def _run_read(self, call: StatementCall) -> CallerReply:
        """Run a read; retry it on another server if one could not serve it."""
        tried: frozenset[str] = frozenset()
        answer = None
        for attempt in range(1, MAX_READ_ATTEMPTS + 1):
            placement = await self._next_placement(call, tried, answer)
            if isinstance(placement, Refusal):
                break
            if placement.server.name in tried:
                tried = frozenset()  # start another round
            tried |= {placement.server.name}
            timeout_s = _read_timeout_s(call, attempt)
            wait_s = call.remaining_s if placement.only_candidate else timeout_s
            answer = await self._send(call, placement, timeout_s, wait_s)
            if answer.kind is AnswerKind.COMPLETED:
                count_served(self._context.tables, placement.server)
                return self._context.validation.complete_read(
                    call, placement, answer
                )
            if self._has_ended(call):
                break
        if answer is None:
            return refused(call.session, placement)
        if answer.kind is AnswerKind.FAILED:
            return reply(call.session, ReplyKind.FAILED, answer.reason)
        return refused(call.session, refusal_for(answer))

    def _has_ended(self, call: StatementCall) -> bool:
        return steady_seconds() >= call.deadline_at or not is_wanted(
            self._context, call
        )

    async def _next_placement(
        self,
        call: StatementCall,
        tried: frozenset[str],
        answer: ServerAnswer | None,
    ) -> Placement | Refusal:
        """Return the placement of the next attempt, or a refusal.

        Untried servers come first. Once all have been tried, another round
        starts after `ROUND_PAUSE_S`, or at once if the last answer was lost.
        """
        if answer is None:
            return await self._wait_for_server(call)
        placement = self._place_read(call, tried)
        if _is_untried(placement, tried):
            return placement
        if answer.kind is AnswerKind.LOST:
            return self._place_read(call, frozenset())
        if not self._is_worth_another_round(call, answer):
            return Refusal(answer.reason, DEFAULT_RETRY_AFTER_S)
        await pause(self._context.clock, ROUND_PAUSE_S)
        return await self._wait_for_server(call)

    def _is_worth_another_round(
        self, call: StatementCall, answer: ServerAnswer
    ) -> bool:
        """Return whether a read is likely to succeed after `ROUND_PAUSE_S`.

        By then a lagging replica may have caught up, a full queue may have
        advanced, and a primary may have been confirmed.
        """
        window_s = repeat_window_s(
            self._context, call, answer, call.route.latency_objective_s
        )
        elapsed_s = steady_seconds() - call.began_at
        return answer.kind in TRANSIENT and elapsed_s < window_s

    async def _wait_for_server(
        self, call: StatementCall
    ) -> Placement | Refusal:
        return await wait_for_placement(
            self._context,
            call,
            functools.partial(self._place_read, call, frozenset()),
        )

    def _place_read(
        self, call: StatementCall, tried: frozenset[str]
    ) -> Placement | Refusal:
        return place_read(
            self._context.tables,
            call.route,
            call.session.seen,
            steady_seconds(),
            tried,
            call.session.workspace,
        )

    async def _run_write(self, call: StatementCall) -> CallerReply:
        """Run a write, and retry it only if the attempt had no effect."""
        answer = withheld('no server can run it now')
        for _ in range(MAX_WRITE_ATTEMPTS):
            placement = await wait_for_placement(
                self._context,
                call,
                functools.partial(self._place_write, call),
            )
            if isinstance(placement, Refusal):
                return refused(call.session, placement)
            with self._context.primary_work.track(placement):
                answer = await self._send(
                    call, placement, call.remaining_s, call.remaining_s
                )
                if answer.kind not in NO_EFFECT:
                    return await self._reply_to_write(call, placement, answer)
            if not may_repeat(self._context, call, answer):
                break
        return refused(call.session, refusal_for(answer))

    def _place_write(self, call: StatementCall) -> Placement | Refusal:
        return place_write(self._context.tables, call.route, steady_seconds())

    async def _reply_to_write(
        self, call: StatementCall, placement: Placement, answer: ServerAnswer
    ) -> CallerReply:
        if answer.kind is AnswerKind.FAILED:
            return reply(call.session, ReplyKind.FAILED, answer.reason)
        if answer.kind is AnswerKind.TIMED_OUT:
            return reply(call.session, ReplyKind.TIMED_OUT, answer.reason)
        if answer.kind is AnswerKind.LOST:
            return reply(call.session, ReplyKind.UNKNOWN, answer.reason)
        return await self._context.validation.acknowledge_write(
            call, placement, answer
        )

    async def _send(
        self,
        call: StatementCall,
        placement: Placement,
        timeout_s: float,
        wait_s: float,
    ) -> ServerAnswer:
        """Send a statement to a server outside a transaction.

        Parameters
        ----------
        call : StatementCall
        placement : Placement
        timeout_s : float
            Timeout of the server's answer.
        wait_s : float
            Time limit for acquiring a connection and receiving the answer.
        """
        server = placement.server
        log_event(
            'route',
            id=call.identity,
            server=server.name,
            after=placement.after,
            age_ms=age_ms(placement),
            epoch=placement.epoch,
            reason=placement.reason,
        )
        connection = await self._context.pools.acquire(
            server,
            call.session,
            call.shapes,
            self._context.backoff.connection_request(call, server, wait_s),
        )
        if connection is None:
            return no_connection()
        reason = withheld_reason(self._context, call, placement)
        if reason:
            self._context.pools.release(server, connection)
            return withheld(reason)
        request = Forward(
            call.identity, call.statement, call.prepared, placement.after
        )
        answer = await self._context.pools.call(
            server, connection, request, timeout_s
        )
        if answer.kind not in NO_EFFECT:
            call.session.ran = True
        if answer.in_transaction:
            self._context.pools.discard(server, connection)
        else:
            self._context.pools.release(server, connection)
        return answer


def _is_untried(placement: Placement | Refusal, tried: frozenset[str]) -> bool:
    """Return whether a placement is on a server that was not tried yet."""
    return (
        isinstance(placement, Placement) and placement.server.name not in tried
    )


def _read_timeout_s(call: StatementCall, attempt: int) -> float:
    """Return the answer timeout of an attempt of a read."""
    if attempt >= FULL_TIMEOUT_ATTEMPT:
        return call.remaining_s
    share_s = call.route.latency_objective_s * READ_TIMEOUT_SHARE
    return min(call.remaining_s, max(share_s, MIN_READ_TIMEOUT_S))
