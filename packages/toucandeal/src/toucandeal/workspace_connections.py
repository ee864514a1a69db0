"""Division of a pool's connections to a server among workspaces.

Designed for some seventy workspaces of very different size (Zipf-like shares)
before a server that accepts fewer connections than proxies times workspaces.
Opening a connection occupies one of the server's slots for 12 ms, a statement
6 to 30 ms. A pool therefore holds connections of the workspaces that use them
most, and exchanges connections only where that serves a statement sooner:

- A large workspace in a burst queues for the connections that it has, instead
  of closing those that others have used a moment ago.
- A small workspace gets a connection although large ones always have statements
  waiting.
- Connections do not change their workspace with every statement when two
  workspaces compete for them.
"""

import collections
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from toucandeal.connection_workspaces import ConnectionWorkspace
from toucandeal.statement_queue import ConnectionRequest

__all__ = [
    'IdleConnection',
    'OpeningCost',
    'busiest',
    'choose_idle_to_close',
    'is_opening_useful',
    'keeps_workspace',
]

# A connection unused for longer saves its workspace less than one opening in
# the 25 uses that 12 ms correspond to.
RECENTLY_USED_S = 0.3
# Statements that a workspace may run ahead of its fair share, for each
# statement that could have run in the time of an opening. With less, two
# workspaces that compete for one connection open one for every few statements.
LEAD_PER_OPENING = 2.0


class IdleConnection(NamedTuple):
    """An idle connection, its workspace and the start of its idle time."""

    connection: Any
    workspace: ConnectionWorkspace
    since: float


class OpeningCost(NamedTuple):
    """Mean time for opening a connection, and for one use of a connection."""

    opening_s: float
    use_s: float


def is_opening_useful(
    waiting: int, opening: int, in_use: int, cost: OpeningCost
) -> bool:
    """Return whether a new connection serves a waiting statement sooner.

    Parameters
    ----------
    waiting : int
        Waiting statements of the workspace.
    opening : int
        Connections that are being opened for it.
    in_use : int
        Connections of the workspace that are in use and will be released.
    cost : OpeningCost

    Examples
    --------
    >>> cost = OpeningCost(0.012, 0.006)
    >>> is_opening_useful(1, 0, 0, cost), is_opening_useful(1, 1, 0, cost)
    (True, False)
    >>> is_opening_useful(1, 0, 1, cost), is_opening_useful(9, 0, 1, cost)
    (False, True)
    """
    if opening >= waiting:
        return False
    if not in_use:
        return True
    return (waiting - opening) * cost.use_s / in_use > cost.opening_s


def choose_idle_to_close(
    idle: Iterable[IdleConnection],
    held: Mapping[ConnectionWorkspace, int],
    workspace: ConnectionWorkspace,
    now: float,
) -> Any:
    """Return the idle connection to close for another workspace, or None.

    The longest unused one of the workspace with the most idle connections is
    chosen. A workspace that holds connections may not close those that others
    have used recently, unless they hold more than it does.

    Parameters
    ----------
    idle : iterable of IdleConnection
    held : mapping of workspace to int
        Connections by workspace, whether idle, in use or being opened.
    workspace : ConnectionWorkspace
        The workspace that needs a connection.
    now : float

    Examples
    --------
    >>> idle = [
    ...     IdleConnection(1, 'a', 4.8),
    ...     IdleConnection(2, 'b', 4.9),
    ...     IdleConnection(3, 'a', 4.95),
    ... ]
    >>> choose_idle_to_close(idle, {'a': 2, 'b': 1}, 'c', 5.0)
    1
    >>> choose_idle_to_close(idle, {'a': 2, 'b': 1, 'c': 3}, 'c', 5.0) is None
    True
    """
    others = [each for each in idle if each.workspace != workspace]
    own = held.get(workspace, 0)
    idle_counts = collections.Counter(each.workspace for each in others)
    closable = [
        each
        for each in others
        if not own
        or held.get(each.workspace, 0) > own
        or now - each.since >= RECENTLY_USED_S
    ]
    if not closable:
        return None
    return min(
        closable, key=lambda each: (-idle_counts[each.workspace], each.since)
    ).connection


def keeps_workspace(
    own: ConnectionRequest,
    first: ConnectionRequest,
    lead: float,
    cost: OpeningCost,
    now: float,
) -> bool:
    """Return whether a released connection goes to its own workspace.

    Otherwise it is closed, and one is opened for the first request.

    Parameters
    ----------
    own : ConnectionRequest
        The first request of the connection's workspace.
    first : ConnectionRequest
        The first request of all, of another workspace.
    lead : float
        Statements that the connection's workspace has been served more than
        the other one, beyond its fair share.
    cost : OpeningCost
    now : float

    Examples
    --------
    >>> cost = OpeningCost(0.012, 0.006)
    >>> own = ConnectionRequest(1, 'a', 5.0, 9.0, 'a')
    >>> first = ConnectionRequest(1, 'b', 5.0, 9.0, 'b')
    >>> keeps_workspace(own, first, 1, cost, 4.0)
    True
    >>> keeps_workspace(own, first, 9, cost, 4.0)
    False
    >>> keeps_workspace(own, first._replace(priority=0), 1, cost, 4.0)
    False
    """
    if (first.late_at <= now, first.priority) < (
        own.late_at <= now,
        own.priority,
    ):
        return False
    if first.late_at + cost.opening_s < own.late_at:
        return False
    served_meanwhile = cost.opening_s / max(cost.use_s, cost.opening_s / 10)
    return lead <= max(LEAD_PER_OPENING * served_meanwhile, 1)


def busiest(uses: Mapping[str, float], count: int) -> list[str]:
    """Return the workspaces with the most uses, at most `count`.

    Examples
    --------
    >>> busiest({'a': 1.0, 'b': 7.0, 'c': 2.0}, 2)
    ['b', 'c']
    """
    return sorted(uses, key=lambda name: (-uses[name], name))[:count]
