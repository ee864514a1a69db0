"""The switch between a full mesh and relays, and who hears whom.

Addresses this load pattern: a fleet grows past the size at which each proxy
can exchange heartbeats with each other one. Proxies learn of a changed
membership up to 3 s apart, so some have switched while others have not. A
proxy that has switched goes on sending to all for longer than that, and a
proxy that is still below the limit follows the peers that have switched.
"""

import math
from typing import NamedTuple

from toucandeal.distant_peers import update_distant_peers
from toucandeal.fleet import ProxyRecord
from toucandeal.fleet_tables import FleetTables
from toucandeal.primary_lease import (
    FleetGrant,
    counted_proxies,
    grant_basis,
    record_fleet_grant,
)
from toucandeal.relay_reports import (
    ATTACHED_SILENT_S,
    RelayReport,
    RelayState,
    RelaySummary,
    record_report,
)
from toucandeal.relay_summaries import (
    fleet_agrees,
    fleet_confirmed_at,
    fleet_summary,
    known_draining,
    local_summary,
)
from toucandeal.relays import (
    NO_MEMBERSHIP,
    RELAYS_ABOVE,
    RELAYS_PER_PROXY,
    assign_relays,
    relays_for,
    uses_relays,
)
from toucandeal.rendezvous import rendezvous_order
from toucandeal.store_versions import StoreVersion

__all__ = [
    'RelayExchange',
    'apply_summaries',
    'differs_from_relays',
    'is_relay',
    'membership',
    'own_relays',
    'receive_report',
    'relay_recipients',
    'sends_to_all',
    'summaries_to_send',
    'renew_from_relays',
    'update_assignment',
]

OVERLAP_S = 5.0  # more than the 3 s by which proxies' views may differ
# A longer overlap, while memberships differ, must stay cheap. It covers the
# time for which peers grant leases without the store.
LONG_OVERLAP_S = 11.0
LONG_OVERLAP_PROXIES = 2 * RELAYS_ABOVE
PREVIOUS_RELAYS_S = 2.0  # until new relays know that they are relays
FOLLOW_PEERS_S = 1.0


class _AssignmentKey(NamedTuple):
    """The inputs of an assignment; the list is compared by identity."""

    basis_id: int
    draining: frozenset[str]
    era: int


class RelayExchange:
    """Whether this proxy uses relays, and what it heard from them.

    `summaries` holds the heartbeats; `relays_heard_at` is when a peer last
    reported that it uses relays.
    """

    def __init__(self, name: str) -> None:
        """Start with a full mesh."""
        self.summaries = RelayState(name)
        self.in_use = False
        self.switched_at = -math.inf
        self.relays_heard_at = -math.inf
        self.demands_heard_at: dict[str, float] = {}
        self.key: _AssignmentKey | None = None
        self.basis: dict[str, ProxyRecord] = {}
        self.was_mesh = False
        self.pair: tuple[str, ...] = ()
        self.previous_pair: tuple[str, ...] = ()
        self.pair_since = -math.inf

    def is_active(self, now: float) -> bool:
        """Return whether heartbeats carry what relays need."""
        return self.in_use or now - self.switched_at < OVERLAP_S


def update_assignment(
    exchange: RelayExchange, tables: FleetTables, now: float
) -> None:
    """Decide whether to use relays, and assign them again after a change."""
    lease = tables.primary_lease
    counted = counted_proxies(lease)
    in_use = uses_relays(
        exchange.in_use,
        len(counted),
        now - exchange.relays_heard_at < FOLLOW_PEERS_S,
    )
    if in_use != exchange.in_use:
        exchange.in_use = in_use
        # A proxy that joins a large fleet has no mesh to leave.
        if exchange.was_mesh or not in_use:
            exchange.switched_at = now
    exchange.was_mesh = exchange.was_mesh or bool(counted) and not in_use
    if not exchange.is_active(now):
        _stop(exchange, tables)
        return
    basis = grant_basis(lease)
    draining = _draining(exchange, tables, now)
    key = _AssignmentKey(id(basis), draining, lease.era)
    if key != exchange.key or basis is not exchange.basis:
        exchange.key = key
        exchange.basis = basis
        _assign(exchange, tables, now)
    tables.relay_assignment = (
        exchange.summaries.assignment if exchange.in_use else None
    )


def _stop(exchange: RelayExchange, tables: FleetTables) -> None:
    if exchange.key is not None:
        exchange.key = None
        exchange.basis = {}
        exchange.summaries = RelayState(exchange.summaries.name)
        tables.relay_assignment = None


def _draining(
    exchange: RelayExchange, tables: FleetTables, now: float
) -> frozenset[str]:
    draining = known_draining(exchange.summaries, now)
    if tables.draining:
        draining.add(tables.name)
    return frozenset(draining & counted_proxies(tables.primary_lease))


def _assign(exchange: RelayExchange, tables: FleetTables, now: float) -> None:
    registered = exchange.basis.values()
    assignment = assign_relays(
        [record for record in registered if not record.silent],
        exchange.key.draining,
        exchange.key.era,
    )
    exchange.summaries.assign(assignment, registered, now)
    pair = relays_for(assignment, tables.name, tables.failure_domain)
    if assignment.is_relay(tables.name):
        pair = ()
    if pair != exchange.pair:
        exchange.previous_pair = exchange.pair
        exchange.pair = pair
        exchange.pair_since = now


def membership(exchange: RelayExchange) -> int:
    """Return the membership that this proxy reports."""
    assignment = exchange.summaries.assignment
    return NO_MEMBERSHIP if assignment is None else assignment.membership


def sends_to_all(exchange: RelayExchange, now: float) -> bool:
    """Return whether this proxy sends heartbeats to all peers."""
    since = now - exchange.switched_at
    if not exchange.in_use or since < OVERLAP_S:
        return True
    return (
        since < LONG_OVERLAP_S
        and len(exchange.summaries.incarnations) <= LONG_OVERLAP_PROXIES
        and not fleet_agrees(exchange.summaries)
    )


def own_relays(exchange: RelayExchange, now: float) -> set[str]:
    """Return the peers that this proxy uses as relays.

    If it hears none of its own, it also uses two of other failure domains.
    """
    relays = set(exchange.pair)
    if now - exchange.pair_since < PREVIOUS_RELAYS_S:
        relays.update(exchange.previous_pair)
    assignment = exchange.summaries.assignment
    if relays and assignment is not None:
        heard = exchange.summaries.heard
        last_heard_at = max(
            exchange.pair_since,
            *(heard[name].heard_at for name in relays & heard.keys()),
            -math.inf,
        )
        if now - last_heard_at > ATTACHED_SILENT_S:
            others = assignment.attached.keys() - relays
            relays.update(
                rendezvous_order(
                    others, exchange.summaries.name, RELAYS_PER_PROXY
                )
            )
    return relays - {exchange.summaries.name}


def relay_recipients(exchange: RelayExchange, now: float) -> set[str]:
    """Return the peers that this proxy exchanges heartbeats with."""
    own = exchange.summaries.name
    recipients = own_relays(exchange, now)
    recipients.update(
        name
        for name, heard in exchange.summaries.heard.items()
        if now - heard.attached_at <= ATTACHED_SILENT_S
    )
    assignment = exchange.summaries.assignment
    if assignment is not None and is_relay(exchange):
        recipients.update(assignment.attached)
        recipients.update(assignment.attached[own])
    return recipients - {own}


def summaries_to_send(
    exchange: RelayExchange, tables: FleetTables, now: float
) -> dict[bool, RelaySummary]:
    """Return the summaries to send, by whether the recipient is a relay."""
    serves_others = any(
        now - heard.attached_at <= ATTACHED_SILENT_S
        for heard in exchange.summaries.heard.values()
    )
    if not (is_relay(exchange) or serves_others):
        return {}
    none_begun = not tables.primary_lease.promoting_groups
    fleet = fleet_summary(exchange.summaries, now, none_begun=none_begun)
    if not is_relay(exchange):
        return {False: fleet}
    return {False: fleet, True: local_summary(exchange.summaries, now)}


def receive_report(
    exchange: RelayExchange,
    tables: FleetTables,
    report: RelayReport,
    records_version: StoreVersion,
    now: float,
) -> None:
    """Record a heartbeat, and renew the lease if it came from a relay."""
    if report.uses_relays:
        exchange.relays_heard_at = now
    record_report(exchange.summaries, report, records_version, now)
    # A relay hears other relays many times a second.
    if report.summary is not None and not is_relay(exchange):
        renew_from_relays(exchange, tables, now)


def is_relay(exchange: RelayExchange) -> bool:
    """Return whether this proxy is a relay."""
    summaries = exchange.summaries
    return summaries.assignment is not None and summaries.assignment.is_relay(
        summaries.name
    )


def differs_from_relays(exchange: RelayExchange, now: float) -> bool:
    """Return whether a relay has reported another membership."""
    heard = exchange.summaries.heard
    own = membership(exchange)
    return any(
        heard[name].membership != own
        and now - heard[name].heard_at <= ATTACHED_SILENT_S
        for name in exchange.pair
        if name in heard
    )


def renew_from_relays(
    exchange: RelayExchange, tables: FleetTables, now: float
) -> None:
    """Renew the lease from what the relays have confirmed."""
    if exchange.basis is not grant_basis(tables.primary_lease) or (
        exchange.key is None or exchange.key.era != tables.primary_lease.era
    ):
        return
    confirmed_at = fleet_confirmed_at(exchange.summaries, now)
    if confirmed_at > -math.inf:
        record_fleet_grant(
            tables.primary_lease, FleetGrant(exchange.basis, confirmed_at)
        )


def apply_summaries(
    exchange: RelayExchange, tables: FleetTables, now: float
) -> None:
    """Renew the lease and the views of peers from what relays have reported."""
    renew_from_relays(exchange, tables, now)
    update_distant_peers(
        exchange.summaries, tables, exchange.demands_heard_at, now
    )
