"""The messages between a proxy and its targets."""

from typing import Any

import msgspec

from toucandeal.entities import TargetStatus
from toucandeal.positions import LogPosition
from toucandeal.request_keys import Statement, StatementResult

__all__ = [
    'ExecuteBody',
    'ExecuteReply',
    'FenceReply',
    'PromoteReply',
    'StatusReply',
    'TermBody',
]


class ExecuteBody(msgspec.Struct):
    """Statements for a target.

    `term` is that of the primary which may run them, and 0 where any server
    may. `transaction` is ``none``, ``begin``, ``continue``, ``commit`` or
    ``rollback``.
    """

    request_id: str
    statements: list[Statement] = []
    term: int = 0
    transaction: str = 'none'
    read_only: bool = False


class StatusReply(msgspec.Struct):
    """A target's report of itself."""

    is_primary: bool
    term: int
    log_term: int
    index: int
    upstream_age_s: float

    def to_row(self) -> TargetStatus:
        """Return the report as a row."""
        return TargetStatus(
            self.is_primary,
            self.term,
            self.log_term,
            self.index,
            self.upstream_age_s,
        )


class ExecuteReply(StatusReply, kw_only=True):
    """What became of statements: ``ran``, ``refused`` or ``failed``."""

    request_id: str
    status: str
    results: list[StatementResult] = []
    reason: str = ''
    error: str = ''

    @property
    def reached(self) -> LogPosition:
        """Return the position of the target's log right after the run."""
        return LogPosition(self.log_term, self.index)


class TermBody(msgspec.Struct):
    """A term for a fence or a promotion."""

    term: int


class FenceReply(StatusReply, kw_only=True):
    """Whether a fence was granted."""

    granted: bool


class PromoteReply(StatusReply, kw_only=True):
    """Whether a promotion was carried out."""

    promoted: bool


def encode(message: Any) -> bytes:
    """Return the JSON form of a message."""
    return msgspec.json.encode(message)
