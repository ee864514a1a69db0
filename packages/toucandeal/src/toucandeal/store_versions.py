"""Versions of the platform's store, and the eras in which it gives them out.

The store numbers its transactions. When it is restored from an older copy, its
numbers go back and are given out again. The era, which rises with each
restoration, makes a version unique.
"""

from typing import NamedTuple

__all__ = ['NO_VERSION', 'StoreVersion', 'fencing_token']

# Bits of a fencing token below the era; the store's numbers stay far below.
NUMBER_BITS = 40


class StoreVersion(NamedTuple):
    """A version of the store; tuple order is the order of the contents.

    Examples
    --------
    >>> StoreVersion(1, 50) < StoreVersion(2, 30)
    True
    """

    era: int
    number: int


NO_VERSION = StoreVersion(0, 0)


def fencing_token(version: StoreVersion) -> int:
    """Return a token that rises with the versions of all eras.

    Examples
    --------
    >>> fencing_token(StoreVersion(0, 7))
    7
    >>> fencing_token(StoreVersion(1, 50)) < fencing_token(StoreVersion(2, 30))
    True
    """
    return (version.era << NUMBER_BITS) + version.number
