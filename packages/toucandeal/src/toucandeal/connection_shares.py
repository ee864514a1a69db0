"""Division of a server's connection limit among the proxies.

A server accepts a limited number of connections from all proxies together.
Callers are spread unevenly over the proxies, and at any time most of them may
use only a few proxies, so equal shares leave some proxies without enough
connections while others keep unused ones. Each proxy reports to its peers how
many connections it could use. One part of the limit is divided equally, and
the rest in proportion to this demand.

Views of the demand differ for up to one heartbeat interval, so the sum of the
shares may briefly exceed the limit. The server then refuses a connection, and
no statement is lost.
"""

from collections.abc import Mapping

__all__ = ['connection_share', 'decayed_demand']

RESERVED_SHARE = 0.1  # of the limit, because views of the demand differ
EQUAL_SHARE = 0.3  # of the rest; new callers need not wait for a heartbeat
DEMAND_DECAY = 0.9  # each maintenance interval, 0.25 s; half-life 1.6 s


def connection_share(
    limit: int,
    demands: Mapping[str, float],
    own: str,
    reserved_share: float = RESERVED_SHARE,
) -> int:
    """Return how many connections the proxy `own` may open to a server.

    Parameters
    ----------
    limit : int
        Connections that the server accepts from all proxies together.
    demands : mapping of str to float
        Connections that each live proxy could use.
    own : str
        The proxy's name.
    reserved_share : float
        Part of the limit that is not divided.

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
    usable = int(limit * (1 - reserved_share))
    proxy_count = max(len(demands), 1)
    equal_part = usable * EQUAL_SHARE / proxy_count
    total = sum(demands.values())
    demand_part = demands.get(own, 0) / total if total else 1 / proxy_count
    return max(int(equal_part + usable * (1 - EQUAL_SHARE) * demand_part), 1)


def decayed_demand(demand: float, peak: int) -> float:
    """Return the demand after a maintenance interval.

    Parameters
    ----------
    demand : float
        At the start of the interval.
    peak : int
        Most connections that could have been used at once in the interval.

    Examples
    --------
    >>> decayed_demand(10.0, 2), decayed_demand(1.0, 4)
    (9.0, 4)
    """
    return max(demand * DEMAND_DECAY, peak)
