"""Upper bounds on the age of a replica's data.

A proxy samples its primary: if a poll sent at time ``s`` returns position
``q``, every entry committed before ``s`` is at or below ``q``. The data of a
replica that has applied ``q`` is therefore at most ``now - s`` old. The bound
is guaranteed, not estimated: a sample counts only after it is proven that no
later primary existed at ``s``.

The history keeps only the newest sample of each position, so an idle group
needs one entry for any length of time.
"""

import bisect
import math
from typing import NamedTuple

from toucandeal.positions import LogPosition

__all__ = [
    'History',
    'Sample',
    'add_sample',
    'data_complete_until',
    'required_sample',
    'staleness_bound',
]

HISTORY_LENGTH = 2048  # samples per group


class Sample(NamedTuple):
    """A primary's position and the send time of the poll that returned it."""

    seen: LogPosition
    sent_at: float


History = list[Sample]


def add_sample(history: History, sample: Sample) -> None:
    """Append a proven sample to the history, in place.

    Parameters
    ----------
    history : list of Sample
        In ascending order of position and of time.
    sample : Sample
        Ignored if its time or position is below that of the last sample.

    Examples
    --------
    >>> history = []
    >>> add_sample(history, Sample(LogPosition(1, 5), 10.0))
    >>> add_sample(history, Sample(LogPosition(1, 5), 11.0))
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


def data_complete_until(history: History, held: LogPosition) -> float:
    """Return the latest time up to which the data at `held` is complete.

    Parameters
    ----------
    history : list of Sample
    held : LogPosition
        The position that a replica has applied.

    Returns
    -------
    float
        Monotonic seconds; minus infinity if `held` is below every sample.

    Examples
    --------
    >>> history = [
    ...     Sample(LogPosition(1, 5), 10.0), Sample(LogPosition(1, 8), 12.0)
    ... ]
    >>> data_complete_until(history, LogPosition(1, 7))
    10.0
    >>> data_complete_until(history, LogPosition(1, 4))
    -inf
    """
    count = bisect.bisect_right(history, (held, math.inf))
    return history[count - 1].sent_at if count else -math.inf


def staleness_bound(history: History, held: LogPosition, now: float) -> float:
    """Return an upper bound on the age of the data at `held`, in seconds.

    Examples
    --------
    >>> staleness_bound([Sample(LogPosition(1, 5), 10.0)], (1, 6), 10.5)
    0.5
    """
    return now - data_complete_until(history, LogPosition(*held))


def required_sample(history: History, since: float) -> Sample | None:
    """Return a sample that includes every entry confirmed before `since`.

    The oldest such sample is returned, because more replicas have applied it.

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
    first = bisect.bisect_left(
        history, since, key=lambda sample: sample.sent_at
    )
    return history[first] if first < len(history) else None
