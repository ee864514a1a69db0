"""Whether callers are better served by another proxy.

A proxy that is cut off from the store and from its peers may not work with
any primary, and soon not with replicas either. Its callers are better off
elsewhere, as long as some proxy may be elsewhere: if all peers are heard and
none of them has a basis either, moving the callers would not help them.
"""

import math

from toucandeal.fleet_tables import FleetTables
from toucandeal.permissions import basis_ends_at, counted_proxies

__all__ = ['CUT_OFF_S', 'Usefulness', 'is_cut_off', 'note_basis']

CUT_OFF_S = 0.6  # without a basis, before the balancer is told
PEER_SILENT_S = 1.0  # many beats


class Usefulness:
    """Since when this proxy has had nothing to rest on."""

    def __init__(self) -> None:
        """Start with the time still open."""
        self.without_basis_since = math.inf


def note_basis(usefulness: Usefulness, tables: FleetTables, now: float) -> None:
    """Take note of whether there is a basis now."""
    if now < basis_ends_at(tables.permissions, now):
        usefulness.without_basis_since = math.inf
    else:
        usefulness.without_basis_since = min(
            usefulness.without_basis_since, now
        )


def is_cut_off(usefulness: Usefulness, tables: FleetTables, now: float) -> bool:
    """Return whether callers should be sent to other proxies."""
    if now - usefulness.without_basis_since < CUT_OFF_S:
        return False
    others = counted_proxies(tables.permissions) - {tables.name}
    heard = {
        peer.name
        for peer in tables.peers.values()
        if now - peer.heard_at < PEER_SILENT_S
    }
    return bool(others - heard)
