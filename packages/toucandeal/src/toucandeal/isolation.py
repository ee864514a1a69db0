"""Detection of an isolated proxy, whose callers are better served by others.

A proxy that reaches neither the store nor its peers may not use any primary,
and shortly after not the replicas either. Its callers are better served by
another proxy, provided that there may be one with a lease: if this proxy hears
all peers, they have no lease either, and shedding sessions would not help.
"""

import math

from toucandeal.fleet_tables import FleetTables
from toucandeal.primary_lease import counted_proxies, lease_expires_at

__all__ = ['ISOLATED_AFTER_S', 'IsolationState', 'is_isolated', 'record_lease']

# Without a lease, which has missed several renewals by then, and with a silent
# peer. The load balancer takes two more seconds to notice.
ISOLATED_AFTER_S = 0.1
PEER_SILENT_S = 1.0  # several heartbeat intervals


class IsolationState:
    """Since when this proxy has had no lease."""

    def __init__(self) -> None:
        """Start as if there were a lease."""
        self.without_lease_since = math.inf


def record_lease(
    state: IsolationState, tables: FleetTables, now: float
) -> None:
    """Record whether this proxy has a lease now."""
    if now < lease_expires_at(tables.primary_lease, now):
        state.without_lease_since = math.inf
    else:
        state.without_lease_since = min(state.without_lease_since, now)


def is_isolated(state: IsolationState, tables: FleetTables, now: float) -> bool:
    """Return whether this proxy is isolated and should shed sessions."""
    if now - state.without_lease_since < ISOLATED_AFTER_S:
        return False
    others = counted_proxies(tables.primary_lease) - {tables.name}
    heard = {
        peer.name
        for peer in tables.peers.values()
        if now - peer.heard_at < PEER_SILENT_S
    }
    return bool(others - heard)
