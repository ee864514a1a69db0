"""How many connections each proxy opens to a server.

A server takes a fixed number of connections from all proxies together. Callers
are spread unevenly over the proxies, and most of them may come to a few at any
moment, so equal shares leave some proxies short while others hold connections
that nobody uses. Each proxy tells its peers how many connections it could use;
a part of the limit is shared equally, and the rest by that demand.

Views of the demand differ for the length of a beat, so the shares may add up
to more than the limit for a moment; the server then refuses a connection, and
nothing is lost.
"""

from collections.abc import Mapping

__all__ = ['connection_share', 'decayed_demand']

RESERVED_SHARE = 0.1  # of the limit, for views of the demand that differ
EQUAL_SHARE = 0.3  # of the rest, so that new callers need not wait for a beat
DECAY = 0.9  # of the demand in each upkeep of 0.25 s; halves it in 1.6 s


def connection_share(limit: int, demands: Mapping[str, float], own: str) -> int:
    """Return how many connections the proxy `own` may hold at a server.

    Parameters
    ----------
    limit : int
        Connections that the server takes from all proxies together.
    demands : mapping of str to float
        The connections that each live proxy could use.
    own : str
        The proxy's name.

    Examples
    --------
    >>> even = {'p1': 1, 'p2': 1, 'p3': 1, 'p4': 1}
    >>> connection_share(16, even, 'p1')
    3
    >>> connection_share(16, even | {'p1': 9}, 'p1')
    8
    >>> connection_share(16, even | {'p1': 9}, 'p2')
    1
    """
    usable = int(limit * (1 - RESERVED_SHARE))
    sharing = max(len(demands), 1)
    equal = usable * EQUAL_SHARE / sharing
    total = sum(demands.values())
    part = demands.get(own, 0) / total if total else 1 / sharing
    return max(int(equal + usable * (1 - EQUAL_SHARE) * part), 1)


def decayed_demand(demand: float, peak: int) -> float:
    """Return the demand after one more upkeep.

    Parameters
    ----------
    demand : float
        As it was.
    peak : int
        The most connections that could have been used at once since then.

    Examples
    --------
    >>> decayed_demand(10.0, 2), decayed_demand(1.0, 4)
    (9.0, 4)
    """
    return max(demand * DECAY, peak)
