"""Messages between sessions and the connections of the adapter."""

import enum
from typing import NamedTuple

from toucandeal.caller_sessions import (
    PreparedShape,
    PrepareShape,
    ResetSession,
    SetValue,
)
from toucandeal.fleet import Statement
from toucandeal.positions import LogPosition
from toucandeal.promotion import ServerReport

__all__ = [
    'AnswerKind',
    'BeginTransaction',
    'CallerReply',
    'Forward',
    'ReplyKind',
    'ReportStatus',
    'RollBack',
    'ServerAnswer',
    'ServerRequest',
    'StepDown',
    'lost',
]


class ReplyKind(enum.Enum):
    """The outcome of a request, as reported to the caller.

    ``REFUSED`` and ``ABORTED`` guarantee that the operation had no effect;
    ``UNKNOWN`` and ``TIMED_OUT`` guarantee nothing. The session is closed
    after ``AUTHENTICATION_FAILED``, and the statement has not run.
    """

    OPENED = 'opened'
    DONE = 'done'
    REFUSED = 'refused'
    ABORTED = 'aborted'
    UNKNOWN = 'unknown'
    FAILED = 'failed'
    TIMED_OUT = 'timed out'
    UNKNOWN_DATABASE = 'unknown database'
    UNKNOWN_STATEMENT = 'unknown statement'
    MALFORMED = 'malformed'
    AUTHENTICATION_FAILED = 'authentication failed'


class CallerReply(NamedTuple):
    """The complete reply to a request of a caller.

    `state` is the state of the session: ``idle``, ``open`` or ``failed``.
    `busy` marks a refusal for lack of capacity. `cause` names the cause in
    metrics, where `kind` does not.
    """

    kind: ReplyKind
    state: str = 'idle'
    position: LogPosition | None = None
    rows: tuple[str, ...] = ()
    signature: str = ''
    reason: str = ''
    retry_after_s: float = 0
    busy: bool = False
    cause: str = ''


class AnswerKind(enum.Enum):
    """The outcome of a request to a server.

    The kinds from ``NOT_RUN`` to ``ABORTED`` guarantee that it had no effect.
    """

    COMPLETED = 'completed'
    NOT_RUN = 'not run'
    UNKNOWN_STATEMENT = 'unknown statement'
    LAGGING = 'lagging'
    READ_ONLY = 'read only'
    WRONG_SERVER = 'wrong server'
    TOO_MANY_CONNECTIONS = 'too many connections'
    MALFORMED = 'malformed'
    NO_CONNECTION = 'no connection'
    WITHHELD = 'withheld'  # this proxy did not send the request
    ABORTED = 'aborted'
    FAILED = 'failed'
    TIMED_OUT = 'timed out'
    LOST = 'lost'


class ServerAnswer(NamedTuple):
    """A server's complete answer, or ``LOST`` if none arrived.

    `report` is the server's status report, if it was requested.
    """

    kind: AnswerKind
    rows: list[str]
    signature: str
    reason: str
    in_transaction: bool = False
    position: LogPosition | None = None
    report: ServerReport | None = None


def lost(reason: str) -> ServerAnswer:
    """Return the placeholder for an answer that did not arrive.

    Examples
    --------
    >>> lost('the answer is overdue').kind
    <AnswerKind.LOST: 'lost'>
    """
    return ServerAnswer(AnswerKind.LOST, [], '', reason)


class Forward(NamedTuple):
    """A caller's statement, forwarded under its own identity.

    `prepared` is the shape of a prepared statement; `after` is the position
    that the server must have reached.
    """

    identity: str
    statement: Statement
    prepared: PreparedShape | None = None
    after: LogPosition | None = None


class BeginTransaction(NamedTuple):
    """Begin a transaction on the connection."""

    read_only: bool
    after: LogPosition | None = None


class RollBack(NamedTuple):
    """Roll back the connection's transaction."""


class ReportStatus(NamedTuple):
    """Request the server's status report."""


class StepDown(NamedTuple):
    """Request that a primary of a lower term than `term` become a replica."""

    term: int


ServerRequest = (
    Forward
    | BeginTransaction
    | RollBack
    | ReportStatus
    | StepDown
    | SetValue
    | PrepareShape
    | ResetSession
)
