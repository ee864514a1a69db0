"""The row of a takeover in progress, and the choice of its candidate."""

import enum
from typing import NamedTuple

from toucandeal.positions import LogPosition

__all__ = ['Grant', 'Stage', 'Takeover', 'best_candidate', 'next_term']

TERMS_PER_EPOCH = 65536


class Stage(enum.Enum):
    """Where a takeover stands."""

    CATCHING_UP = 'catching up'
    FENCING = 'fencing'
    PROMOTING = 'promoting'


class Grant(NamedTuple):
    """A fenced target and the last position of its log."""

    target: str
    held: LogPosition


class Takeover(NamedTuple):
    """One attempt to replace a primary.

    `wanted` names the candidate of a planned switchover, and is empty after
    a failure. `failed` names the primary that failed; it may answer a fence,
    but promoting it would change nothing.
    """

    term: int
    stage: Stage
    started_at: float
    grants: tuple[Grant, ...] = ()
    candidate: str = ''
    wanted: str = ''
    failed: str = ''
    reason: str = ''


def next_term(highest: int, incarnation: int) -> int:
    """Return a term above `highest` that only this proxy uses.

    Parameters
    ----------
    highest : int
        The highest term heard of.
    incarnation : int
        Random number of this process.

    Notes
    -----
    Safety does not rest on the uniqueness: a target grants a fence only to a
    term above its own, so of two proxies with the same term only one can get
    a majority. Uniqueness serves groups that offer no fence.

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
        Leaving targets; they are chosen only if they alone are complete.
    preferred : str
        Chosen among equals.

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
