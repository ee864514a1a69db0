"""Replies to callers, and the answers that guarantee no effect."""

from toucandeal.caller_sessions import CallerSession
from toucandeal.placement import Refusal
from toucandeald.session_messages import (
    AnswerKind,
    CallerReply,
    ReplyKind,
    ServerAnswer,
)

__all__ = [
    'DEFAULT_RETRY_AFTER_S',
    'NO_EFFECT',
    'done',
    'no_connection',
    'refusal_for',
    'refused',
    'reply',
    'unknown_database',
    'withheld',
]

DEFAULT_RETRY_AFTER_S = 0.1  # for a refusal without a better estimate
# Lack of capacity: no free connection, or the server's queue is full.
BUSY = {AnswerKind.NO_CONNECTION, AnswerKind.NOT_RUN}
NO_EFFECT = {
    AnswerKind.NOT_RUN,
    AnswerKind.LAGGING,
    AnswerKind.READ_ONLY,
    AnswerKind.UNKNOWN_STATEMENT,
    AnswerKind.MALFORMED,
    AnswerKind.ABORTED,
    AnswerKind.WRONG_SERVER,
    AnswerKind.TOO_MANY_CONNECTIONS,
    AnswerKind.NO_CONNECTION,
    AnswerKind.WITHHELD,
}


def reply(
    session: CallerSession,
    kind: ReplyKind,
    reason: str = '',
    retry_after_s: float = 0,
) -> CallerReply:
    """Return a reply with the state of the session."""
    return CallerReply(
        kind, session.state, reason=reason, retry_after_s=retry_after_s
    )


def refused(session: CallerSession, refusal: Refusal) -> CallerReply:
    """Return the reply for a refusal, with its retry delay."""
    return reply(
        session, ReplyKind.REFUSED, refusal.reason, refusal.retry_after_s
    )._replace(busy=refusal.busy)


def refusal_for(answer: ServerAnswer) -> Refusal:
    """Return the refusal that corresponds to a server's answer."""
    return Refusal(answer.reason, DEFAULT_RETRY_AFTER_S, answer.kind in BUSY)


def done(session: CallerSession, answer: ServerAnswer) -> CallerReply:
    """Return the reply for a server's successful answer."""
    return CallerReply(
        ReplyKind.DONE,
        session.state,
        answer.position,
        tuple(answer.rows),
        answer.signature,
    )


def unknown_database(session: CallerSession) -> CallerReply:
    """Return the reply for a database without a route."""
    return reply(
        session,
        ReplyKind.UNKNOWN_DATABASE,
        f'database {session.database!r} is not declared any more',
    )


def withheld(reason: str) -> ServerAnswer:
    """Return the placeholder answer for a request that was not sent."""
    return ServerAnswer(AnswerKind.WITHHELD, [], '', reason)


def no_connection() -> ServerAnswer:
    """Return the placeholder answer for an attempt without a connection."""
    return ServerAnswer(
        AnswerKind.NO_CONNECTION,
        [],
        '',
        'no connection to the server was free in time',
    )
