"""The choice between the own and other failure domains, from a proxy's tables.

The decisions and the loads that they address are in `domain_crossing`.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from toucandeal.domain_crossing import (
    UNWANTED_S,
    CrossingEvidence,
    accrue,
    excess_s,
    is_late,
    may_announce,
    next_turn,
    open_domains,
    smoothed,
    unserved_share,
    update_crossing,
    wait_s,
)
from toucandeal.fleet import Route, Server
from toucandeal.fleet_tables import (
    FleetTables,
    group_state,
    server_load,
    usable_primary,
)

__all__ = [
    'PRIMARY_COST_FACTOR',
    'CrossingStep',
    'ReadChoice',
    'ReadCosts',
    'announced_by',
    'announced_shares',
    'choose_server',
    'count_served',
    'step_crossing',
]

PRIMARY_COST_FACTOR = 2.5  # reserves the primary for work that only it can do
SHARE_VALID_S = 2.0  # after which a silent domain is not sent reads
LOGGED_CHANGE = 0.1


class ReadCosts(NamedTuple):
    """The eligible servers with their costs, and the primary among them."""

    costs: Mapping[Server, float]
    primary: Server | None


class ReadChoice(NamedTuple):
    """The server for a read, and the reason for it."""

    server: Server
    reason: str


class CrossingStep(NamedTuple):
    """A step of a group's share; `logs` whether it has changed by over 0.1."""

    group: str
    share: float
    evidence: CrossingEvidence
    destinations: frozenset[str]
    asked: int
    left: int
    logs: bool


def choose_server(
    tables: FleetTables,
    read_costs: ReadCosts,
    route: Route,
    now: float,
    *,
    is_first: bool,
) -> ReadChoice:
    """Return the server for a read, and count the read.

    Parameters
    ----------
    tables : FleetTables
    read_costs : ReadCosts
    route : Route
    now : float
    is_first : bool
        Whether no server has been tried for this read.
    """
    costs = read_costs.costs
    cheapest = min(costs, key=costs.__getitem__)
    if tables.crossing_cost_s is None:
        return ReadChoice(cheapest, 'least expected wait')
    crossing = group_state(tables, route.group).crossing
    crossing.asked += is_first
    own, away = _by_domain(tables, costs)
    reachable = [
        server
        for server in away
        if server.failure_domain in crossing.destinations
    ]
    if own and not _leaves(tables, read_costs, route, reachable, now):
        return ReadChoice(
            min(own, key=costs.__getitem__), 'least expected wait in the domain'
        )
    crossing.left += is_first
    if not own:
        crossing.wanted_at = now
    by_name = {server.name: server for server in reachable or away}
    server = by_name[
        next_turn(
            crossing.turns,
            {name: costs[each] for name, each in by_name.items()},
        )
    ]
    if own:
        return ReadChoice(server, 'the domain is short of servers')
    return ReadChoice(server, 'no server in the domain')


def _leaves(
    tables: FleetTables,
    read_costs: ReadCosts,
    route: Route,
    reachable: list[Server],
    now: float,
) -> bool:
    crossing = group_state(tables, route.group).crossing
    own, away = _by_domain(tables, read_costs.costs)
    evidence = _evidence(
        tables, read_costs.primary, own, reachable or away, now
    )
    round_trip_s = min(
        server_load(tables, server.name).least_round_trip_s for server in own
    )
    answer_s = evidence.own_wait_s + round_trip_s
    wants = (
        is_late(answer_s, route.latency_objective_s)
        and excess_s(evidence, tables.crossing_cost_s) > 0
    )
    if wants:
        crossing.wanted_at = now
    turn = accrue(
        crossing.credit,
        crossing.now.share,
        may_leave=wants and bool(reachable),
    )
    crossing.credit = turn.credit
    return turn.leaves


def _by_domain(
    tables: FleetTables, servers: Iterable[Server]
) -> tuple[list[Server], list[Server]]:
    """Return the servers inside and outside this proxy's failure domain."""
    own: list[Server] = []
    away: list[Server] = []
    for server in servers:
        near = server.failure_domain == tables.failure_domain
        (own if near else away).append(server)
    return own, away


def count_served(tables: FleetTables, server: Server) -> None:
    """Count a read that a server has completed."""
    if server.failure_domain == tables.failure_domain:
        group_state(tables, server.group).crossing.kept += 1


def announced_by(tables: FleetTables) -> dict[str, float]:
    """Return this proxy's announced shares above 0, by group."""
    return {
        group.name: round(group.crossing.now.announced, 3)
        for group in tables.groups.values()
        if group.crossing.now.announced
    }


def announced_shares(
    tables: FleetTables, group: str, now: float
) -> dict[str, float]:
    """Return the greatest announced share for a group by failure domain.

    A domain none of whose known proxies has been heard for 2 s counts as one
    that announces, because it may have begun to do so.
    """
    heard: dict[str, float] = {}
    for peer in tables.peers.values():
        if now - peer.heard_at < SHARE_VALID_S:
            heard[peer.failure_domain] = max(
                peer.crossing_shares.get(group, 0),
                heard.get(peer.failure_domain, 0),
            )
    silent = {peer.failure_domain for peer in tables.peers.values()}
    return dict.fromkeys(silent, 1.0) | heard


def step_crossing(tables: FleetTables, now: float) -> list[CrossingStep]:
    """Update the shares of all groups; it is called every 0.25 s."""
    if tables.crossing_cost_s is None:
        return []
    return [_step(tables, name, now) for name in sorted(tables.groups)]


def _step(tables: FleetTables, name: str, now: float) -> CrossingStep:
    crossing = group_state(tables, name).crossing
    asked = crossing.asked
    left = crossing.left
    crossing.asked_mean = smoothed(crossing.asked_mean, asked)
    crossing.kept_mean = smoothed(crossing.kept_mean, crossing.kept)
    crossing.asked = 0
    crossing.kept = 0
    crossing.left = 0
    primary = usable_primary(tables, name, now)
    own, away = _by_domain(tables, _usable_servers(tables, name, primary, now))
    announced = announced_shares(tables, name, now)
    others = {server.failure_domain for server in away}
    crossing.destinations = open_domains(others, announced)
    allowed = may_announce(
        tables.failure_domain,
        max(
            round(crossing.now.announced, 3),
            announced.get(tables.failure_domain, 0),
        ),
        others,
        announced,
    )
    reachable = [
        server
        for server in away
        if server.failure_domain in crossing.destinations
    ]
    evidence = _evidence(tables, primary, own, reachable or away, now)._replace(
        unserved=unserved_share(crossing.asked_mean, crossing.kept_mean)
    )
    crossing.now = update_crossing(
        crossing.now,
        evidence,
        tables.crossing_cost_s,
        now,
        allowed=allowed,
        wanted=now - crossing.wanted_at < UNWANTED_S,
    )
    share = crossing.now.share
    logs = abs(share - crossing.logged) > LOGGED_CHANGE or (
        not share and crossing.logged > 0
    )
    if logs:
        crossing.logged = share
    return CrossingStep(
        name, share, evidence, crossing.destinations, asked, left, logs
    )


def _usable_servers(
    tables: FleetTables, group: str, primary: Server | None, now: float
) -> list[Server]:
    """Return the servers that may serve reads, whatever their freshness."""
    record = group_state(tables, group).record
    return [
        server
        for server in tables.servers.values()
        if server.group == group
        and now >= server_load(tables, server.name).avoided_until
        and (server is primary or _is_replica(server, record))
    ]


def _is_replica(server: Server, record) -> bool:
    return (
        record is not None
        and server.name != record.primary
        and not server.leaving
    )


def _evidence(
    tables: FleetTables,
    primary: Server | None,
    own: Iterable[Server],
    away: Iterable[Server],
    now: float,
) -> CrossingEvidence:
    own_wait_s, own_name = _least_wait(tables, primary, own, now)
    away_wait_s, away_name = _least_wait(tables, primary, away, now)
    distance_s = 0.0
    if own_name and away_name:
        distance_s = max(
            server_load(tables, away_name).least_round_trip_s
            - server_load(tables, own_name).least_round_trip_s,
            0,
        )
    return CrossingEvidence(
        own_wait_s,
        away_wait_s,
        distance_s,
        0,
        _latency_age_s(tables, own_name, now),
        _latency_age_s(tables, away_name, now),
    )


def _latency_age_s(tables: FleetTables, name: str, now: float) -> float:
    return now - server_load(tables, name).latency_at if name else math.inf


def _least_wait(
    tables: FleetTables,
    primary: Server | None,
    servers: Iterable[Server],
    now: float,
) -> tuple[float, str]:
    """Return the least expected wait at any of the servers, and its name."""
    waits = [
        (_expected_wait_s(tables, server, primary, now), server.name)
        for server in servers
    ]
    return min(waits, default=(math.inf, ''))


def _expected_wait_s(
    tables: FleetTables, server: Server, primary: Server | None, now: float
) -> float:
    load = server_load(tables, server.name)
    expected_s = wait_s(
        load.latency_s,
        load.least_round_trip_s,
        load.waiting,
        load.in_flight,
        now - load.latency_at,
    )
    return expected_s * PRIMARY_COST_FACTOR if server is primary else expected_s
