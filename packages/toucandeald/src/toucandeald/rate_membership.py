"""The proxies among which the votes for rate coordinators are divided.

Votes add up to the limit only if each coordinator divides it among all
proxies that may vote. Everything here rests on this proxy's own reads of the
registered proxies, because a peer may relay a fresh lease from the store and
still have an old list of proxies.
"""

import math

from toucandeal.fleet import ProxyRecord
from toucandeal.fleet_tables import FleetTables
from toucandeal.primary_lease import (
    LEASE_DURATION_S,
    PEER_LEASE_LIMIT_S,
    PrimaryLease,
    counted_proxies,
)
from toucandeal.store_versions import StoreVersion

__all__ = ['PEER_LIVE_S', 'RateMembership']

PEER_LIVE_S = 1.0
# A read that shows a proxy still silent after this time ends its share.
SILENT_SHARES_S = 10.0
# A proxy's votes count for as long after a read that counts it; they are
# valid for 0.5 s more, so they end before any proxy divides without it.
COUNTED_VALID_S = 9.0
# A proxy that registers again within this time is still a sharer everywhere.
ABSENCE_S = 5.0
# All coordinators with a valid list know a proxy that registered before.
JOINING_S = PEER_LEASE_LIMIT_S + LEASE_DURATION_S


class RateMembership:
    """This proxy's knowledge of the proxies that may vote.

    `is_established` is whether this proxy may vote, because all coordinators
    divide the limit among proxies that include it.
    """

    def __init__(self, tables: FleetTables) -> None:
        """Start without a list of proxies."""
        self.is_established = False
        self._tables = tables
        self._read_as_of = -math.inf
        self._counted_as_of: dict[str, float] = {}
        self._silent_since: dict[ProxyRecord, float] = {}
        self._registered: frozenset[str] = frozenset()
        self._member_since = math.inf
        self._own_version: StoreVersion | None = None

    @property
    def own_counted_until(self) -> float:
        """Return until when this proxy may grant tokens.

        It is minus infinity if this proxy has never been counted.
        """
        as_of = self._counted_as_of.get(self._tables.name, -math.inf)
        return as_of + COUNTED_VALID_S

    def update(self, now: float) -> None:
        """Apply a new list of proxies."""
        lease = self._tables.primary_lease
        if lease.registered_as_of > self._read_as_of:
            self._apply_list(lease)
            self._read_as_of = lease.registered_as_of
        if not self.is_established:
            self.is_established = self._has_joined(now)

    def voters(self, now: float) -> frozenset[str]:
        """Return the proxies whose votes may be accepted."""
        return frozenset(
            name
            for name, as_of in self._counted_as_of.items()
            if now < as_of + COUNTED_VALID_S
        )

    def sharers(self, now: float) -> set[str]:
        """Return the proxies that may vote for any coordinator.

        Live proxies that this one does not count yet are included.
        """
        live = {
            peer.name
            for peer in self._tables.peers.values()
            if now - peer.heard_at < PEER_LIVE_S
        }
        return live | self._registered

    def _apply_list(self, lease: PrimaryLease) -> None:
        as_of = lease.registered_as_of
        counted = dict.fromkeys(counted_proxies(lease), as_of)
        silent = [rec for rec in lease.registered.values() if rec.silent]
        # One with another version registered after the previous read, as a
        # proxy does again and again that only some of its peers hear.
        if self._read_as_of > -math.inf:
            counted |= {
                record.name: self._read_as_of
                for record in silent
                if record not in self._silent_since
            }
        if lease.name in counted:
            self._apply_own(
                lease.registered[lease.name].version, counted[lease.name]
            )
        self._counted_as_of |= counted
        self._silent_since = {
            record: self._silent_since.get(record, as_of) for record in silent
        }
        self._registered = counted_proxies(lease) | {
            record.name
            for record, since in self._silent_since.items()
            if as_of - since < SILENT_SHARES_S
        }

    def _apply_own(self, version: StoreVersion, counted_as_of: float) -> None:
        """Apply a list according to which this proxy has been counted."""
        known = self._counted_as_of.get(self._tables.name, -math.inf)
        if version != self._own_version and counted_as_of - known > ABSENCE_S:
            # Coordinators divide by names, so the earlier process of a proxy
            # that has just been restarted is a sharer everywhere already.
            is_start = self._own_version is None
            self.is_established = is_start and self._tables.replaces_registered
            self._member_since = counted_as_of
        self._own_version = version

    def _has_joined(self, now: float) -> bool:
        """Return whether each coordinator knows this proxy.

        Coordinators that cannot reach the store may not know a proxy that has
        just registered, until their list is too old to grant tokens.
        """
        name = self._tables.name
        if name not in self._counted_as_of:
            return False
        counted_by = {
            peer.name
            for peer in self._tables.peers.values()
            if peer.counts_this_proxy and peer.heard_at >= self._member_since
        }
        return (
            self._registered - {name} <= counted_by
            or now - self._member_since > JOINING_S
        )
