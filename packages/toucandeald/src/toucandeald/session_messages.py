"""Messages between the sessions and the adapter's connections."""

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
from toucandeal.promotion import Reported

__all__ = [
    'AnswerKind',
    'BeginTransaction',
    'CallerReply',
    'Forward',
    'LinkRequest',
    'ReplyKind',
    'ReportStatus',
    'RollBack',
    'ServerAnswer',
    'StepDown',
    'lost',
]


class ReplyKind(enum.Enum):
    """What a caller is told.

    ``REFUSED`` and ``ABORTED`` promise that nothing of the operation was
    kept; ``UNKNOWN`` and ``TIMED_OUT`` promise nothing.
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


class CallerReply(NamedTuple):
    """The whole answer to one request of a caller.

    `state` is the session's, ``idle``, ``open`` or ``failed``; `busy` whether
    it is a refusal for lack of capacity.
    """

    kind: ReplyKind
    state: str = 'idle'
    position: LogPosition | None = None
    rows: tuple[str, ...] = ()
    signature: str = ''
    reason: str = ''
    retry_after_s: float = 0
    busy: bool = False


class AnswerKind(enum.Enum):
    """What a server said; up to ``ABORTED``, nothing ran or was kept."""

    COMPLETED = 'completed'
    NOT_RUN = 'not run'
    UNKNOWN_STATEMENT = 'unknown statement'
    LAGGING = 'lagging'
    READ_ONLY = 'read only'
    WRONG_SERVER = 'wrong server'
    TOO_MANY_CONNECTIONS = 'too many connections'
    MALFORMED = 'malformed'
    NO_CONNECTION = 'no connection'
    WITHHELD = 'withheld'  # not sent by this proxy
    ABORTED = 'aborted'
    FAILED = 'failed'
    TIMED_OUT = 'timed out'
    LOST = 'lost'


class ServerAnswer(NamedTuple):
    """A server's whole answer, or that none came (``LOST``).

    `report` is the server's report of itself, where it was asked for one.
    """

    kind: AnswerKind
    rows: list[str]
    signature: str
    reason: str
    in_transaction: bool = False
    position: LogPosition | None = None
    report: Reported | None = None


def lost(reason: str) -> ServerAnswer:
    """Return the answer that stands for one that did not come.

    Examples
    --------
    >>> lost('the answer is overdue').kind
    <AnswerKind.LOST: 'lost'>
    """
    return ServerAnswer(AnswerKind.LOST, [], '', reason)


class Forward(NamedTuple):
    """A caller's statement, sent on under its own identity.

    `prepared` is the shape behind a prepared statement; `after` the position
    that the server must hold.
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
    """End the connection's transaction."""


class ReportStatus(NamedTuple):
    """Ask the server for its report of itself."""


class StepDown(NamedTuple):
    """Ask a primary of a lower term than `term` to be a replica."""

    term: int


LinkRequest = (
    Forward
    | BeginTransaction
    | RollBack
    | ReportStatus
    | StepDown
    | SetValue
    | PrepareShape
    | ResetSession
)
