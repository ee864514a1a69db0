"""Upper bounds on the age of a replica's data.

A proxy samples its primary: a poll sent at time ``s`` that answers with
position ``q`` shows that everything committed before ``s`` stands at or below
``q``. A replica that holds ``q`` is therefore at most ``now - s`` behind. The
bound is never a guess: a sample counts only after it is proven that no later
primary existed at ``s``.

The history keeps one sample for each position, the newest one, so an idle
group needs one entry however long it is watched.
"""

import bisect
import math
from typing import NamedTuple

from toucandeal.positions import LogPosition

__all__ = [
    'History',
    'Sample',
    'covered_since',
    'record',
    'required_sample',
    'staleness_bound',
]

HISTORY_LENGTH = 2048  # samples a group


class Sample(NamedTuple):
    """A primary's position, and when the poll that returned it was sent."""

    seen: LogPosition
    sent_at: float


History = list[Sample]


def record(history: History, sample: Sample) -> None:
    """Add a proven sample, in place.

    Parameters
    ----------
    history : list of Sample
        In ascending order of position and of time.
    sample : Sample
        Ignored where it is older or lower than the last one.

    Examples
    --------
    >>> history = []
    >>> record(history, Sample(LogPosition(1, 5), 10.0))
    >>> record(history, Sample(LogPosition(1, 5), 11.0))
    >>> [sample.sent_at for sample in history]
    [11.0]
    """
    if history:
        last = history[-1]
        if sample.seen < last.seen or sample.sent_at < last.sent_at:
            return
        if sample.seen == last.seen:
            history.pop()
    history.append(sample)
    if len(history) > HISTORY_LENGTH:
        del history[: HISTORY_LENGTH // 2]


def covered_since(history: History, held: LogPosition) -> float:
    """Return the newest time before which `held` misses nothing.

    Parameters
    ----------
    history : list of Sample
    held : LogPosition
        The position that a replica has applied.

    Returns
    -------
    float
        Monotonic seconds; minus infinity where no sample is covered.

    Examples
    --------
    >>> history = [
    ...     Sample(LogPosition(1, 5), 10.0), Sample(LogPosition(1, 8), 12.0)
    ... ]
    >>> covered_since(history, LogPosition(1, 7))
    10.0
    >>> covered_since(history, LogPosition(1, 4))
    -inf
    """
    place = bisect.bisect_right(history, (held, math.inf))
    return history[place - 1].sent_at if place else -math.inf


def staleness_bound(history: History, held: LogPosition, now: float) -> float:
    """Return an upper bound on the age of the data at `held`, in seconds.

    Examples
    --------
    >>> staleness_bound([Sample(LogPosition(1, 5), 10.0)], (1, 6), 10.5)
    0.5
    """
    return now - covered_since(history, LogPosition(*held))


def required_sample(history: History, since: float) -> Sample | None:
    """Return a sample whose position holds all confirmed before `since`.

    The oldest sample that suffices is taken, since more replicas hold it.

    Examples
    --------
    >>> history = [
    ...     Sample(LogPosition(1, 5), 10.0), Sample(LogPosition(1, 8), 12.0)
    ... ]
    >>> required_sample(history, 11.0).seen
    LogPosition(term=1, index=8)
    >>> required_sample(history, 12.5) is None
    True
    """
    place = bisect.bisect_left(
        history, since, key=lambda sample: sample.sent_at
    )
    return history[place] if place < len(history) else None
