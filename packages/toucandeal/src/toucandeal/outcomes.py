"""Tagged outcomes of a request.

Each request is answered with exactly one of them:

=========  ==============================================================
tag        meaning
=========  ==============================================================
served     the statements ran; a write is on a majority of the group
refused    nothing ran; the caller may retry the request
unknown    the statements may or may not have run
failed     the database refused the statements; nothing was stored
=========  ==============================================================
"""

from dataclasses import dataclass
from typing import Any, ClassVar

from toucandeal.positions import LogPosition

__all__ = ['Failed', 'Outcome', 'Refused', 'Served', 'Unknown']


@dataclass(frozen=True, slots=True)
class Served:
    """The statements ran.

    ``staleness_s`` is an upper bound on the age of the data that a read
    returned, and ``None`` for writes.
    """

    tag: ClassVar[str] = 'served'
    answer: Any
    target: str
    seen: LogPosition
    staleness_s: float | None = None
    replayed: bool = False
    from_replica: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """Nothing ran; ``retry_after_s`` is the time to wait before a retry."""

    tag: ClassVar[str] = 'refused'
    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """The statements may have run; ``seen`` is their position if known."""

    tag: ClassVar[str] = 'unknown'
    reason: str
    retry_after_s: float
    seen: LogPosition | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """The database refused the statements; nothing was stored."""

    tag: ClassVar[str] = 'failed'
    reason: str
    error: str
    target: str = ''


Outcome = Served | Refused | Unknown | Failed
