"""Views of peers that exchange no heartbeats with this proxy.

Addresses this load pattern: four times a second, the summaries of two relays
renew the views of hundreds of peers, of which nearly none has changed. Such a
view only gets the time at which the peer was last heard.
"""

import math
from typing import NamedTuple

from toucandeal.fleet import ProxyRecord
from toucandeal.fleet_tables import FleetTables, PeerView
from toucandeal.relay_reports import RelayState
from toucandeal.relay_summaries import (
    fleet_agrees,
    heard_times,
    known_draining,
)

__all__ = ['update_distant_peers']

# Heartbeats of a peer that arrive more often describe it themselves.
HEARD_DIRECTLY_S = 0.3
GONE_S = 3.0  # for an unregistered proxy that no relay reports
DEMAND_LIFETIME_S = 2.0  # four intervals of the lenders' messages


class _FleetFacts(NamedTuple):
    """What the relays report, for all peers."""

    agreed: bool
    era: int
    draining: set[str]


def update_distant_peers(
    summaries: RelayState,
    tables: FleetTables,
    demands_heard_at: dict[str, float],
    now: float,
) -> None:
    """Update the views of peers from the relays' summaries.

    A peer is described by its registered row, and was heard at the time of the
    latest summary that does not list it as silent. It counts this proxy if all
    proxies agree on the membership.
    """
    registered = tables.primary_lease.registered
    agreed = fleet_agrees(summaries)
    facts = _FleetFacts(
        agreed,
        tables.primary_lease.era if agreed else 0,
        known_draining(summaries, now),
    )
    _drop_old_demands(tables, demands_heard_at, now)
    heard = heard_times(summaries)
    heard.pop(tables.name, None)
    for name, heard_at in heard.items():
        direct = summaries.heard.get(name)
        if direct is not None and now - direct.heard_at < HEARD_DIRECTLY_S:
            continue
        if name in registered:
            known = tables.peers.get(name)
            tables.peers[name] = _view(known, registered[name], facts, heard_at)
    for name in tables.peers.keys() - registered.keys():
        if now - tables.peers[name].heard_at > GONE_S:
            tables.peers.pop(name)


def _view(
    known: PeerView | None,
    record: ProxyRecord,
    facts: _FleetFacts,
    heard_at: float,
) -> PeerView:
    if known is None or known.incarnation != record.incarnation:
        return PeerView(
            record.name,
            record.incarnation,
            record.address,
            heard_at,
            record.name in facts.draining,
            facts.agreed,
            {},
            failure_domain=record.failure_domain,
            store_era=facts.era,
        )
    if known.heard_at >= heard_at:
        return known
    # Positional, because this is done for hundreds of peers at a time.
    return PeerView(
        known.name,
        known.incarnation,
        known.address,
        heard_at,
        known.draining or known.name in facts.draining,
        facts.agreed,
        known.primary_heard,
        known.demands,
        known.failure_domain,
        facts.era,
    )


def _drop_old_demands(
    tables: FleetTables, demands_heard_at: dict[str, float], now: float
) -> None:
    """Drop the demands of peers that no longer report any as lenders."""
    for name, peer in list(tables.peers.items()):
        if peer.demands:
            age = now - demands_heard_at.get(name, -math.inf)
            if age > max(DEMAND_LIFETIME_S, now - peer.heard_at):
                tables.peers[name] = peer._replace(demands={})
