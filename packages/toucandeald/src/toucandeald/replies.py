"""Replies to callers, and what an answer says about whether anything ran."""

from toucandeal.caller_sessions import CallerSession
from toucandeal.placement import Refuse
from toucandeald.session_messages import (
    AnswerKind,
    CallerReply,
    ReplyKind,
    ServerAnswer,
)

__all__ = [
    'NOTHING_RAN',
    'RETRY_S',
    'done',
    'no_connection',
    'not_run',
    'refusal_for',
    'refused',
    'reply',
    'unknown_database',
]

RETRY_S = 0.1  # for a refusal without a better estimate
# Lack of capacity: no free connection, or the server's queue is full.
BUSY = {AnswerKind.NO_CONNECTION, AnswerKind.NOT_RUN}
NOTHING_RAN = {
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
    """Return a reply that tells the state of the session."""
    return CallerReply(
        kind, session.state, reason=reason, retry_after_s=retry_after_s
    )


def refused(session: CallerSession, refusal: Refuse) -> CallerReply:
    """Return the reply that nothing ran, and when to come back."""
    return reply(
        session, ReplyKind.REFUSED, refusal.reason, refusal.retry_after_s
    )._replace(busy=refusal.busy)


def refusal_for(answer: ServerAnswer) -> Refuse:
    """Return the refusal that a server's answer leads to."""
    return Refuse(answer.reason, RETRY_S, answer.kind in BUSY)


def done(session: CallerSession, answer: ServerAnswer) -> CallerReply:
    """Pass a server's success on."""
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


def not_run(reason: str) -> ServerAnswer:
    """Return the answer that stands for an attempt that was not made."""
    return ServerAnswer(AnswerKind.WITHHELD, [], '', reason)


def no_connection() -> ServerAnswer:
    """Return the answer for an attempt that found no connection."""
    return ServerAnswer(
        AnswerKind.NO_CONNECTION,
        [],
        '',
        'no connection to the server was free in time',
    )
