"""The message types exchanged between a proxy and its targets."""

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
    """A request to run statements at a target.

    `term` is the term of the primary that may run them, or 0 if any server
    may. `transaction` is ``none``, ``begin``, ``continue``, ``commit`` or
    ``rollback``.
    """

    request_id: str
    statements: list[Statement] = []
    term: int = 0
    transaction: str = 'none'
    read_only: bool = False


class StatusReply(msgspec.Struct):
    """A target's report of its own state."""

    is_primary: bool
    term: int
    log_term: int
    index: int
    upstream_age_s: float

    def to_status(self) -> TargetStatus:
        """Return the report as a row of the tables."""
        return TargetStatus(
            self.is_primary,
            self.term,
            self.log_term,
            self.index,
            self.upstream_age_s,
        )


class ExecuteReply(StatusReply, kw_only=True):
    """The result of a request: ``ran``, ``refused`` or ``failed``."""

    request_id: str
    status: str
    results: list[StatementResult] = []
    reason: str = ''
    error: str = ''

    @property
    def reached(self) -> LogPosition:
        """Return the target's log position after the statements ran."""
        return LogPosition(self.log_term, self.index)


class TermBody(msgspec.Struct):
    """The body of a fence or promotion request."""

    term: int


class FenceReply(StatusReply, kw_only=True):
    """The reply to a fence request."""

    granted: bool


class PromoteReply(StatusReply, kw_only=True):
    """The reply to a promotion request."""

    promoted: bool


def encode(message: Any) -> bytes:
    """Return a message encoded as JSON."""
    return msgspec.json.encode(message)
