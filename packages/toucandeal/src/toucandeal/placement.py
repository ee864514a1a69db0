"""Selection of the server that runs an interactive statement.

Writes and read-write transactions need the primary. A read goes to the server
with the least expected wait among those that may be fresh enough. The required
position is sent with the read, so a replica that lags behind it refuses the
read instead of answering with stale data.
"""

from collections.abc import Mapping
from typing import NamedTuple

from toucandeal.fleet import Route, RouteKind, Server
from toucandeal.fleet_tables import (
    FleetTables,
    group_state,
    required_in_current_term,
    server_load,
    usable_primary,
)
from toucandeal.membership import rendezvous_order
from toucandeal.positions import NOTHING_SEEN, LogPosition
from toucandeal.read_crossing import (
    PRIMARY_COST_FACTOR,
    ReadCosts,
    choose_server,
)
from toucandeal.staleness import required_sample

__all__ = [
    'Placement',
    'Refusal',
    'place_read',
    'place_write',
]

FRESHNESS_MARGIN_S = 0.15  # network transit of a read and of the sample
# For a server in another failure domain, without a declared crossing cost.
REMOTE_COST_FACTOR = 1.3
# Measured time that opening a connection occupies one of a server's slots.
OPENING_COST_S = 0.012
PROMOTION_RETRY_S = 0.6  # usual duration of a promotion
UNAVAILABLE_RETRY_S = 0.1


class Placement(NamedTuple):
    """The server for a statement; `after` is the position it must hold.

    `sampled_at` is the time of the sample that requires this position, and
    `only_candidate` whether no other untried server may run the statement.
    """

    server: Server
    after: LogPosition | None
    on_primary: bool
    epoch: int
    reason: str
    sampled_at: float | None = None
    only_candidate: bool = True


class ReadRequirement(NamedTuple):
    """The position that a read must see, and the time of its sample."""

    position: LogPosition
    sampled_at: float


class Refusal(NamedTuple):
    """No server can run the statement now; `busy` for lack of capacity."""

    reason: str
    retry_after_s: float
    busy: bool = False


def place_write(
    tables: FleetTables, route: Route, now: float
) -> Placement | Refusal:
    """Return the server for a write or a read-write transaction."""
    primary = usable_primary(tables, route.group, now)
    group = group_state(tables, route.group)
    if primary is None:
        return _refuse_without_primary(group)
    if now < server_load(tables, primary.name).avoided_until:
        return Refusal('the primary gives no answer', UNAVAILABLE_RETRY_S)
    return Placement(primary, None, True, group.epoch, 'needs the primary')


def _refuse_without_primary(group) -> Refusal:
    if group.record is not None and group.record.changing:
        return Refusal('a promotion is under way', PROMOTION_RETRY_S)
    return Refusal('no primary is surely current', UNAVAILABLE_RETRY_S)


def place_read(
    tables: FleetTables,
    route: Route,
    seen: LogPosition,
    now: float,
    tried: frozenset[str],
    workspace: str = '',
) -> Placement | Refusal:
    """Return the server for a read.

    Parameters
    ----------
    tables : FleetTables
    route : Route
    seen : LogPosition
        The position of the session's own last commit.
    now : float
        Seconds.
    tried : frozenset of str
        Servers that could not serve this read.
    workspace : str
        The workspace of the read; empty if there are none.
    """
    if route.kind is RouteKind.PRIMARY:
        return place_write(tables, route, now)
    group = group_state(tables, route.group)
    primary = usable_primary(tables, route.group, now)
    requirement = _read_requirement(group, route, seen, now)
    costs = {
        server: _cost(tables, server, is_primary=server is primary)
        for server in tables.servers.values()
        if server.group == route.group
        and server.name not in tried
        and _is_eligible(tables, server, primary, requirement, now)
    }
    if not costs:
        return _refuse_without_primary(group)
    if workspace and tables.configuration.workspaces:
        costs = _with_affinity(costs, primary, workspace)
    choice = choose_server(
        tables,
        ReadCosts(costs, primary),
        route,
        now,
        is_first=not tried,
    )
    best = choice.server
    only_candidate = len(costs) == 1
    if best is primary:
        return Placement(
            best,
            None,
            True,
            group.epoch,
            choice.reason,
            only_candidate=only_candidate,
        )
    return Placement(
        best,
        requirement.position,
        False,
        group.epoch,
        choice.reason,
        requirement.sampled_at,
        only_candidate,
    )


def _with_affinity(
    costs: Mapping[Server, float], primary: Server | None, workspace: str
) -> dict[Server, float]:
    """Return the costs, with that of an opening except at one replica.

    A workspace that reads mostly at one replica needs fewer connections. If
    that one is busy, the others are cheaper in spite of the opening.
    """
    replicas = [server.name for server in costs if server is not primary]
    preferred = rendezvous_order(replicas, workspace)[:1]
    return {
        server: cost
        if not preferred or server.name in preferred
        else cost + OPENING_COST_S
        for server, cost in costs.items()
    }


def _read_requirement(
    group, route: Route, seen: LogPosition, now: float
) -> ReadRequirement | None:
    since = now - route.freshness_s + FRESHNESS_MARGIN_S
    sample = required_sample(group.history, since)
    if sample is None:
        return None
    own_commit = NOTHING_SEEN
    if route.kind is RouteKind.READ_YOUR_WRITES:
        own_commit = required_in_current_term(group, seen)
    return ReadRequirement(max(sample.seen, own_commit), sample.sent_at)


def _is_eligible(
    tables: FleetTables,
    server: Server,
    primary: Server | None,
    requirement: ReadRequirement | None,
    now: float,
) -> bool:
    load = server_load(tables, server.name)
    if now < load.avoided_until:
        return False
    if server is primary:
        return True
    record = group_state(tables, server.group).record
    if server.leaving or requirement is None or record is None:
        return False
    if server.name == record.primary:
        return False
    return load.held >= requirement.position or now >= load.lagging_until


def _cost(tables: FleetTables, server: Server, *, is_primary: bool) -> float:
    load = server_load(tables, server.name)
    pending = load.in_flight + load.waiting + 1
    cost = pending * load.latency_s
    if is_primary:
        cost *= PRIMARY_COST_FACTOR
    elsewhere = server.failure_domain != tables.failure_domain
    if elsewhere and tables.crossing_cost_s is None:
        cost *= REMOTE_COST_FACTOR
    return cost
