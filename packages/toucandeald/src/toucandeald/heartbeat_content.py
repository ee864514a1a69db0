"""The content of heartbeats."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from toucandeal.configuration_freshness import freshness_age
from toucandeal.fleet import ProxyRecord, Server
from toucandeal.fleet_tables import (
    FleetTables,
    configuration_version,
    server_load,
)
from toucandeal.primary_lease import counted_proxies
from toucandeal.read_crossing import announced_by
from toucandeal.relay_reports import RelayReport, RelaySummary
from toucandeal.relay_views import (
    RelayExchange,
    membership,
    own_relays,
    sends_to_all,
    summaries_to_send,
)
from toucandeald.fleet_wire import Heartbeat, RelayHeartbeat
from toucandeald.shared_state import SharedState

__all__ = [
    'CommonContent',
    'heartbeat_for',
    'lender_demands',
    'new_heartbeat',
    'relay_report',
]

MAX_AGE_S = 30.0  # older evidence is of no use
RELAYED_CONTACT_AGE_S = 1.0  # older contacts prevent no promotion
MIN_DEMAND = 0.1  # in connections; smaller demands are not reported


class CommonContent(NamedTuple):
    """What the heartbeats to all recipients have in common."""

    heartbeat: Heartbeat
    counted: frozenset[str]
    own_relays: set[str]
    all_relays: frozenset[str]
    summaries: dict[bool, RelaySummary]


def new_heartbeat(
    tables: FleetTables,
    state: SharedState,
    own: ProxyRecord,
    relays: RelayExchange,
    now: float,
) -> CommonContent:
    """Return what all heartbeats that are sent at `now` have in common."""
    lease = tables.primary_lease
    active = relays.is_active(now)
    reports_demands = not relays.in_use or sends_to_all(relays, now)
    heartbeat = (RelayHeartbeat if active else Heartbeat)(
        sender=own.name,
        incarnation=own.incarnation,
        address=own.address,
        sent_at=now,
        echo=0,
        echo_incarnation=0,
        echo_age=0,
        draining=tables.draining,
        lease_age=min(now - lease.store_as_of, MAX_AGE_S),
        counts_recipient=False,
        confirms_none_begun=not lease.promoting_groups,
        records_version=state.records_version,
        configuration_version=configuration_version(tables),
        servers_version=state.server_list.version,
        primary_heard_ages=_primary_heard_ages(tables, now),
        demands=_demands(tables) if reports_demands else {},
        failure_domain=tables.failure_domain,
        store_era=state.era,
        freshness_age=freshness_age(tables.configuration_freshness, now),
        crossing_shares=announced_by(tables),
    )
    if not active:
        return CommonContent(
            heartbeat, counted_proxies(lease), set(), frozenset(), {}
        )
    heartbeat.membership = membership(relays)
    heartbeat.uses_relays = relays.in_use
    assignment = relays.summaries.assignment
    all_relays = frozenset(() if assignment is None else assignment.attached)
    if own.name in all_relays:
        heartbeat.primary_heard_ages = _relayed_contact_ages(
            tables, heartbeat.primary_heard_ages, now
        )
    return CommonContent(
        heartbeat,
        counted_proxies(lease),
        own_relays(relays, now),
        all_relays,
        summaries_to_send(relays, tables, now),
    )


def heartbeat_for(
    common: CommonContent,
    name: str,
    last: tuple[Heartbeat, float] | None,
) -> Heartbeat:
    """Return the heartbeat to one recipient.

    `last` is the last heartbeat received from it, with its arrival time.
    """
    heartbeat = msgspec.structs.replace(
        common.heartbeat, counts_recipient=name in common.counted
    )
    if last is not None:
        heartbeat.echo = last[0].sent_at
        heartbeat.echo_incarnation = last[0].incarnation
        heartbeat.echo_age = heartbeat.sent_at - last[1]
    if isinstance(heartbeat, RelayHeartbeat):
        heartbeat.attached = name in common.own_relays
        heartbeat.summary = common.summaries.get(name in common.all_relays)
    return heartbeat


def relay_report(heartbeat: RelayHeartbeat, sent_after: float) -> RelayReport:
    """Return what a heartbeat that was sent after `sent_after` reports."""
    return RelayReport(
        heartbeat.sender,
        heartbeat.incarnation,
        heartbeat.membership,
        heartbeat.uses_relays,
        heartbeat.attached,
        heartbeat.draining,
        heartbeat.confirms_none_begun,
        heartbeat.records_version,
        sent_after,
        heartbeat.summary,
    )


def lender_demands(
    tables: FleetTables, lender_names: Callable[[Server], list[str]]
) -> dict[str, dict[str, float]]:
    """Return this proxy's demands by lender that has to know them."""
    demands: dict[str, dict[str, float]] = {}
    for server in tables.servers.values():
        names = lender_names(server)
        if tables.name not in names:
            continue
        demand = round(server_load(tables, server.name).demand, 1)
        for name in names:
            if name != tables.name:
                demands.setdefault(name, {})[server.name] = demand
    return demands


def _demands(tables: FleetTables) -> dict[str, float]:
    return {
        server: round(load.demand, 1)
        for server, load in tables.loads.items()
        if load.demand > MIN_DEMAND and server in tables.servers
    }


def _primary_heard_ages(tables: FleetTables, now: float) -> dict[str, float]:
    ages = {
        group.name: now - server_load(tables, group.record.primary).heard_at
        for group in tables.groups.values()
        if group.record is not None
    }
    return {name: age for name, age in ages.items() if age < MAX_AGE_S}


def _relayed_contact_ages(
    tables: FleetTables, own: dict[str, float], now: float
) -> dict[str, float]:
    """Return the least age of contact that this relay knows of, by group."""
    ages = dict(own)
    for peer in tables.peers.values():
        for name, heard_at in peer.primary_heard.items():
            ages[name] = min(ages.get(name, MAX_AGE_S), now - heard_at)
    return {
        name: age for name, age in ages.items() if age < RELAYED_CONTACT_AGE_S
    }
