"""Log positions and quorum arithmetic.

A group's log is a sequence of entries, each written in a term. Two positions
compare by term first: a log whose last entry belongs to a later term holds
every confirmed entry of all earlier terms [1]_.

References
----------
.. [1] Ongaro and Ousterhout, "In Search of an Understandable Consensus
   Algorithm", USENIX ATC 2014, section 5.4.
"""

import heapq
from collections.abc import Iterable
from typing import NamedTuple

__all__ = [
    'NOTHING_SEEN',
    'LogPosition',
    'kth_largest',
    'majority',
    'replicas_to_confirm',
    'replicas_to_prove',
]


class LogPosition(NamedTuple):
    """A position in a group's log; tuple order is log order."""

    term: int
    index: int


NOTHING_SEEN = LogPosition(0, 0)


def majority(servers: int) -> int:
    """Return the smallest majority of `servers`.

    Examples
    --------
    >>> [majority(servers) for servers in (1, 2, 3, 5)]
    [1, 2, 2, 3]
    """
    return servers // 2 + 1


def replicas_to_confirm(servers: int) -> int:
    """Return how many replicas must store a write besides its primary.

    Examples
    --------
    >>> [replicas_to_confirm(servers) for servers in (1, 3, 5)]
    [0, 1, 2]
    """
    return majority(servers) - 1


def replicas_to_prove(servers: int) -> int:
    """Return how many unfenced replicas prove that a primary is current.

    A later primary requires a fenced majority. If the primary and this many
    replicas are unfenced, too few servers remain to form one.

    Examples
    --------
    >>> [replicas_to_prove(servers) for servers in (1, 2, 3, 4, 5)]
    [0, 0, 1, 1, 2]
    """
    return servers - majority(servers)


def kth_largest(
    values: Iterable[float],
    rank: int,
    default: float,
    unbounded: float,
) -> float:
    """Return the value of the given rank in descending order.

    Parameters
    ----------
    values : iterable of float
    rank : int
        1 selects the largest value; 0 requires none and returns `unbounded`.
    default : float
        Returned if there are fewer than `rank` values.
    unbounded : float

    Examples
    --------
    >>> kth_largest([4, 9, 7], 2, -1, 99)
    7
    >>> kth_largest([4], 2, -1, 99)
    -1
    """
    if rank == 0:
        return unbounded
    largest = heapq.nlargest(rank, values)
    return largest[-1] if len(largest) == rank else default
