"""State of a takeover in progress, and selection of its candidate."""

import enum
from typing import NamedTuple

from toucandeal.positions import LogPosition

__all__ = ['Grant', 'Stage', 'Takeover', 'best_candidate', 'next_term']

TERMS_PER_EPOCH = 65536


class Stage(enum.Enum):
    """The stage of a takeover."""

    CATCHING_UP = 'catching up'
    FENCING = 'fencing'
    PROMOTING = 'promoting'


class Grant(NamedTuple):
    """A fenced target and the last position in its log."""

    target: str
    held: LogPosition


class Takeover(NamedTuple):
    """An attempt to replace a primary.

    `switchover_target` is the candidate of a planned switchover, and empty
    after a failure. `failed_primary` is the primary that failed. It may answer
    a fence, but promoting it again would not restore service.
    """

    term: int
    stage: Stage
    started_at: float
    grants: tuple[Grant, ...] = ()
    candidate: str = ''
    switchover_target: str = ''
    failed_primary: str = ''
    reason: str = ''


def next_term(highest: int, incarnation: int) -> int:
    """Return a term above `highest` that is unique to this process.

    Parameters
    ----------
    highest : int
        The highest known term.
    incarnation : int
        Random number that identifies this process.

    Notes
    -----
    Safety does not depend on uniqueness: a target grants a fence only for a
    term above its own, so only one of two proxies with the same term can get
    a majority. Uniqueness matters for groups that do not support fencing.

    Examples
    --------
    >>> next_term(0, 7)
    65543
    >>> next_term(65543, 3)
    131075
    """
    epoch = highest // TERMS_PER_EPOCH + 1
    return epoch * TERMS_PER_EPOCH + incarnation % TERMS_PER_EPOCH


def best_candidate(
    grants: tuple[Grant, ...], avoided: frozenset[str], preferred: str = ''
) -> str:
    """Return the target to promote.

    Parameters
    ----------
    grants : tuple of Grant
        A majority of the group.
    avoided : frozenset of str
        Leaving targets; chosen only if no other target is as complete.
    preferred : str
        Chosen if several targets are otherwise equal.

    Examples
    --------
    >>> best_candidate(
    ...     (Grant('a', LogPosition(1, 4)), Grant('b', LogPosition(1, 6))),
    ...     frozenset(),
    ... )
    'b'
    """
    return max(
        grants,
        key=lambda grant: (
            grant.held,
            grant.target not in avoided,
            grant.target == preferred,
            grant.target,
        ),
    ).target
