"""Which server runs an interactive statement, and when none can.

Writes and plain transactions need the primary. A read goes to the server
that is likely to answer first among those that are surely fresh enough: the
position that it has to hold is sent along, so a replica that lags refuses
instead of answering with old data.
"""

from typing import NamedTuple

from toucandeal.fleet import Route, RouteKind, Server
from toucandeal.fleet_tables import (
    FleetTables,
    group_state,
    primary_of,
    required_since_term,
    server_load,
)
from toucandeal.positions import NOTHING_SEEN, LogPosition
from toucandeal.staleness import required_sample

__all__ = [
    'Place',
    'Refuse',
    'place_read',
    'place_write',
]

ALLOWANCE_MARGIN_S = 0.15  # transit of a read, and of the sample
PRIMARY_COST = 2.5  # keeps the primary's slots for work that only it can do
REMOTE_COST = 1.3  # of a server in another failure domain
PROMOTION_RETRY_S = 0.6  # the usual length of a promotion
SHORT_RETRY_S = 0.1


class Place(NamedTuple):
    """The server for a statement; `after` is the position it must hold.

    `sampled_at` is when the sample was taken that asks for this position, and
    `alone` whether no other server that was not tried may run the statement.
    """

    server: Server
    after: LogPosition | None
    on_primary: bool
    epoch: int
    reason: str
    sampled_at: float | None = None
    alone: bool = True


class Needed(NamedTuple):
    """The position that a read must see, and the time of its sample."""

    position: LogPosition
    sampled_at: float


class Refuse(NamedTuple):
    """Nothing can run the statement now; `busy` for lack of capacity."""

    reason: str
    retry_after_s: float
    busy: bool = False


def place_write(
    tables: FleetTables, route: Route, now: float
) -> Place | Refuse:
    """Return where a write or a plain transaction runs."""
    primary = primary_of(tables, route.group, now)
    group = group_state(tables, route.group)
    if primary is None:
        return _no_primary(group)
    if now < server_load(tables, primary.name).shunned_until:
        return Refuse('the primary gives no answer', SHORT_RETRY_S)
    return Place(primary, None, True, group.epoch, 'needs the primary')


def _no_primary(group) -> Refuse:
    if group.record is not None and group.record.changing:
        return Refuse('a promotion is under way', PROMOTION_RETRY_S)
    return Refuse('no primary is surely current', SHORT_RETRY_S)


def place_read(
    tables: FleetTables,
    route: Route,
    seen: LogPosition,
    now: float,
    tried: frozenset[str],
) -> Place | Refuse:
    """Return where a read runs.

    Parameters
    ----------
    tables : FleetTables
    route : Route
    seen : LogPosition
        The position of the session's own last commit.
    now : float
        Seconds.
    tried : frozenset of str
        Servers that have already fallen short of this read.
    """
    if route.kind is RouteKind.PRIMARY:
        return place_write(tables, route, now)
    group = group_state(tables, route.group)
    primary = primary_of(tables, route.group, now)
    needed = _needed(group, route, seen, now)
    costs = {
        server: _cost(tables, server, is_primary=server is primary)
        for server in tables.servers.values()
        if server.group == route.group
        and server.name not in tried
        and _eligible(tables, server, primary, needed, now)
    }
    if not costs:
        return _no_primary(group)
    best = min(costs, key=costs.__getitem__)
    alone = len(costs) == 1
    if best is primary:
        return Place(
            best, None, True, group.epoch, 'least expected wait', alone=alone
        )
    return Place(
        best,
        needed.position,
        False,
        group.epoch,
        'least expected wait',
        needed.sampled_at,
        alone,
    )


def _needed(
    group, route: Route, seen: LogPosition, now: float
) -> Needed | None:
    since = now - route.allowance_s + ALLOWANCE_MARGIN_S
    fresh = required_sample(group.history, since)
    if fresh is None:
        return None
    own = NOTHING_SEEN
    if route.kind is RouteKind.READ_YOUR_WRITES:
        own = required_since_term(group, seen)
    return Needed(max(fresh.seen, own), fresh.sent_at)


def _eligible(
    tables: FleetTables,
    server: Server,
    primary: Server | None,
    needed: Needed | None,
    now: float,
) -> bool:
    load = server_load(tables, server.name)
    if now < load.shunned_until:
        return False
    if server is primary:
        return True
    record = group_state(tables, server.group).record
    if server.leaving or needed is None or record is None:
        return False
    if server.name == record.primary:
        return False
    return load.held >= needed.position or now >= load.lagging_until


def _cost(tables: FleetTables, server: Server, *, is_primary: bool) -> float:
    load = server_load(tables, server.name)
    busy = load.in_flight + load.waiting + 1
    cost = busy * load.latency_s
    if is_primary:
        cost *= PRIMARY_COST
    if server.failure_domain != tables.failure_domain:
        cost *= REMOTE_COST
    return cost
