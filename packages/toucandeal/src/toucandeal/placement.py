"""Selection of the server that runs an interactive statement.

Writes and read-write transactions need the primary. A read goes to the server
with the least expected wait among those that may be fresh enough. The required
position is sent with the read, so a replica that lags behind it refuses the
read instead of answering with stale data.

A statement that no server can run now may wait for one. Addresses this load
pattern: a promotion, or the restart of all proxies, lasts longer than all
retries of a caller that is refused at once, so each operation of that time
would be lost. It waits where every proxy lacks the server, and is refused at
once where another proxy may have it.
"""

import enum
import math
from collections.abc import Mapping
from typing import NamedTuple

from toucandeal.fleet import Route, RouteKind, Server
from toucandeal.fleet_tables import (
    FleetTables,
    accepts_operations,
    awaits_server,
    group_state,
    required_in_current_term,
    server_load,
    usable_primary,
)
from toucandeal.positions import NOTHING_SEEN, LogPosition
from toucandeal.primary_lease import lease_expires_at
from toucandeal.read_crossing import (
    PRIMARY_COST_FACTOR,
    ReadCosts,
    choose_server,
)
from toucandeal.rendezvous import rendezvous_order
from toucandeal.staleness import required_sample

__all__ = [
    'Placement',
    'Refusal',
    'Wait',
    'place_read',
    'place_write',
    'useful_wait_s',
]

FRESHNESS_MARGIN_S = 0.15  # network transit of a read and of the sample
# For a server in another failure domain, without a declared crossing cost.
REMOTE_COST_FACTOR = 1.3
# Measured time that opening a connection occupies one of a server's slots.
OPENING_COST_S = 0.012
PROMOTION_RETRY_S = 0.6  # usual duration of a promotion
UNAVAILABLE_RETRY_S = 0.1
AWAITED_RETRY_S = 1.0  # a server that has crashed is back after seconds
# Several renewals; a proxy without a lease for longer may be cut off.
LEASE_GAP_S = 0.6


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


class Wait(enum.Enum):
    """How long a statement may wait for a server that can run it."""

    NONE = 'none'  # another proxy may have one, or there will be none in time
    OBJECTIVE = 'objective'  # while the answer can still be in time
    TIMEOUT = 'timeout'  # while the answer is of use: no proxy has one now


class Refusal(NamedTuple):
    """No server can run the statement now; `busy` for lack of capacity."""

    reason: str
    retry_after_s: float
    busy: bool = False
    wait: Wait = Wait.NONE


def useful_wait_s(refusal: Refusal, route: Route) -> float:
    """Return how long after its start a statement may wait for a server.

    Examples
    --------
    >>> route = Route('d', 'g', RouteKind.PRIMARY, 0.8, 0.1, 1, 0.0)
    >>> useful_wait_s(Refusal('', 0.1, wait=Wait.OBJECTIVE), route)
    0.1
    >>> useful_wait_s(Refusal('', 0.1), route)
    0.0
    """
    if refusal.wait is Wait.NONE:
        return 0.0
    if refusal.wait is Wait.OBJECTIVE:
        return min(route.latency_objective_s, route.timeout_s)
    return route.timeout_s


def place_write(
    tables: FleetTables, route: Route, now: float
) -> Placement | Refusal:
    """Return the server for a write or a read-write transaction.

    Addresses the failure of a primary and of the only replica that has its
    last writes: no proxy can serve the group before one of them is back.
    """
    if awaits_server(tables, route.group):
        return Refusal(
            'the servers with the last acknowledged writes give no answer',
            AWAITED_RETRY_S,
        )
    primary = usable_primary(tables, route.group, now)
    group = group_state(tables, route.group)
    if primary is None:
        return _refuse_without_primary(tables, group, now)
    if not accepts_operations(tables, primary.name, now):
        return Refusal(
            'the primary is leaving, and no other server has caught up',
            UNAVAILABLE_RETRY_S,
            wait=Wait.TIMEOUT,
        )
    load = server_load(tables, primary.name)
    if now < load.avoided_until:
        # A server that only lacks connections serves those of other proxies.
        is_silent = load.unreachable_since is not None
        return Refusal(
            'the primary gives no answer',
            UNAVAILABLE_RETRY_S,
            wait=Wait.TIMEOUT if is_silent else Wait.NONE,
        )
    return Placement(primary, None, True, group.epoch, 'needs the primary')


def _refuse_without_primary(tables: FleetTables, group, now: float) -> Refusal:
    if group.record is not None and group.record.changing:
        return Refusal(
            'a promotion is under way', PROMOTION_RETRY_S, wait=Wait.TIMEOUT
        )
    return Refusal(
        'no primary is surely current',
        UNAVAILABLE_RETRY_S,
        wait=_wait_for_lease(tables, now),
    )


def _wait_for_lease(tables: FleetTables, now: float) -> Wait:
    """Return how long to wait for a lease on the primaries.

    A proxy that has just started gets one in a moment. One that has lost its
    lease for longer may be cut off, while other proxies serve.
    """
    expires_at = lease_expires_at(tables.primary_lease, now)
    had_lease = not math.isinf(expires_at)
    if had_lease and now - expires_at >= LEASE_GAP_S:
        return Wait.NONE
    return Wait.OBJECTIVE


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
        if primary is None:
            return _refuse_without_primary(tables, group, now)
        return Refusal('no server gives an answer', UNAVAILABLE_RETRY_S)
    if workspace and tables.configuration.has_workspaces:
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
        return accepts_operations(tables, server.name, now)
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
