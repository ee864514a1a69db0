"""Tagged outcomes of a request.

Exactly one of them answers each request:

=========  ==============================================================
tag        meaning
=========  ==============================================================
served     the statements ran; a write is held by a majority of the group
refused    nothing ran; the caller may send the request again
unknown    the statements may or may not have run
failed     the database refused the statements; nothing was kept
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
    """Nothing ran; ``retry_after_s`` says when another try makes sense."""

    tag: ClassVar[str] = 'refused'
    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """The statements may have run; ``seen`` is where, if that is known."""

    tag: ClassVar[str] = 'unknown'
    reason: str
    retry_after_s: float
    seen: LogPosition | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """The database refused the statements; nothing of them was kept."""

    tag: ClassVar[str] = 'failed'
    reason: str
    error: str
    target: str = ''


Outcome = Served | Refused | Unknown | Failed
