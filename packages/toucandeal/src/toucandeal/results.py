"""Results of an execution on a target."""

from typing import Any, NamedTuple

from toucandeal.positions import LogPosition

__all__ = [
    'DatabaseFailed',
    'Executed',
    'Lost',
    'Result',
    'TargetRefused',
]


class Executed(NamedTuple):
    """The target ran the statements; `reached` is its position afterwards."""

    answer: Any
    reached: LogPosition
    replayed: bool = False


class TargetRefused(NamedTuple):
    """The target ran nothing."""

    reason: str
    term: int = 0


class DatabaseFailed(NamedTuple):
    """The database refused the statements and stored nothing."""

    error: str
    reached: LogPosition


class Lost(NamedTuple):
    """No complete answer arrived; `sent` is set if anything was sent."""

    reason: str
    sent: bool


Result = Executed | TargetRefused | DatabaseFailed | Lost
