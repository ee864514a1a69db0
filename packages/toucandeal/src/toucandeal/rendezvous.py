"""Rendezvous hashing: an order of names that is alike on all proxies."""

import heapq
from collections.abc import Iterable

import xxhash

__all__ = ['rendezvous_order']


def rendezvous_order(
    names: Iterable[str], key: str, limit: int | None = None
) -> list[str]:
    """Return `names` in rendezvous hashing order for `key` [1]_.

    Only the first `limit` names are returned if it is given.

    References
    ----------
    .. [1] Thaler and Ravishankar, "Using name-based mappings to increase hit
       rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples
    --------
    >>> order = rendezvous_order(['a', 'b', 'c'], 'group')
    >>> [name for name in order if name != 'a'] == rendezvous_order(
    ...     ['b', 'c'], 'group'
    ... )
    True
    """
    weighted = [
        (xxhash.xxh3_64_intdigest(f'{name}\0{key}'.encode()), name)
        for name in names
    ]
    chosen = heapq.nlargest(len(weighted) if limit is None else limit, weighted)
    return [name for _, name in chosen]
