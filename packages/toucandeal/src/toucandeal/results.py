"""What became of an execution at a target."""

from typing import Any, NamedTuple

from toucandeal.positions import LogPosition

__all__ = ['DatabaseFailed', 'Lost', 'Ran', 'Result', 'TargetRefused']


class Ran(NamedTuple):
    """The target ran the statements; `reached` is its position then."""

    answer: Any
    reached: LogPosition
    replayed: bool = False


class TargetRefused(NamedTuple):
    """The target ran nothing."""

    reason: str
    term: int = 0


class DatabaseFailed(NamedTuple):
    """The database refused the statements and kept nothing."""

    error: str
    reached: LogPosition


class Lost(NamedTuple):
    """No whole answer came; `sent` tells whether anything left."""

    reason: str
    sent: bool


Result = Ran | TargetRefused | DatabaseFailed | Lost
