"""Rendezvous hashing: an order of names that is alike on all proxies."""

import heapq
from collections.abc import Iterable, Mapping
from types import MappingProxyType

import xxhash

__all__ = ['NO_LINKS', 'rendezvous_order', 'widest_first']


# Bandwidths where they are not known, or not to all proxies.
NO_LINKS: Mapping[str, float] = MappingProxyType({})
WIDE_SHARE = 0.5  # of the widest link


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


def widest_first(
    names: Iterable[str], links_mbps: Mapping[str, float]
) -> list[str]:
    """Return names in their order, those of proxies with narrow links last.

    A link is narrow if it has less than `WIDE_SHARE` of the bandwidth of the
    widest one. Work that a proxy does for the whole fleet would fill it.

    Examples
    --------
    >>> widest_first(['a', 'b', 'c'], {'a': 5.0, 'b': 100.0, 'c': 60.0})
    ['b', 'c', 'a']
    >>> widest_first(['a', 'b'], {})
    ['a', 'b']
    """
    ordered = list(names)
    widest = max((links_mbps.get(name, 0) for name in ordered), default=0)
    return sorted(
        ordered,
        key=lambda name: links_mbps.get(name, 0) < WIDE_SHARE * widest,
    )
