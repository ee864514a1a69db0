"""Leases under which a proxy may use the primaries of groups.

A promotion begins with a record in the platform's store, and the proxy that
carries it out waits until all leases on the old primary have expired. A proxy
holds a lease only while it is certain that no promotion had begun at the time
from which the lease runs. A lease is granted

- by the store: a read of the records grants a lease that runs for
  :data:`LEASE_DURATION_S` from the time at which the read was sent; or
- by the peers, while no proxy reaches the store: each registered proxy has
  confirmed within the same duration that it has begun no promotion.

A peer relays its own lease. The age of a relayed lease is counted from the
time at which this proxy had sent the message that the peer echoes, so clocks
of different proxies are never compared.

In a fleet with relays (see :mod:`toucandeal.relay_summaries`), the peers'
confirmations arrive combined. They count for exactly the registered proxies
that they were combined for.

A store that was restored from an older copy grants no lease until its records
are confirmed (see :mod:`toucandeal.store_recovery`); peers go on granting
leases as they do while the store is away.
"""

import math
from typing import NamedTuple

from toucandeal.fleet import GroupRecord, ProxyRecord
from toucandeal.store_versions import NO_VERSION, StoreVersion

__all__ = [
    'FleetGrant',
    'LEASE_DURATION_S',
    'LEASE_MARGIN_S',
    'PEER_LEASE_LIMIT_S',
    'PeerGrant',
    'PeerLeaseReport',
    'PrimaryLease',
    'begin_era',
    'counted_proxies',
    'evidence_as_of',
    'grant_basis',
    'lease_expires_at',
    'leases_expired_at',
    'may_begin_promotion',
    'may_use_primary',
    'record_fleet_grant',
    'record_peer_grant',
    'record_store_read',
    'renew_from_peer',
]

LEASE_DURATION_S = 1.0  # a promotion waits this long for silent proxies
LEASE_MARGIN_S = 0.1  # for clock rates that differ and timers that fire late
# Peers may grant leases for this long after a read of the store. A proxy that
# has just registered waits as long, unless all peers already count it.
PEER_LEASE_LIMIT_S = 10.0


class PeerGrant(NamedTuple):
    """Latest time, on this clock, at which a peer had begun no promotion."""

    incarnation: int
    as_of: float
    era: int = 0


class FleetGrant(NamedTuple):
    """Latest time, on this clock, at which no peer had begun a promotion.

    `basis` is the list of proxies whose confirmations are combined in it.
    """

    basis: dict[str, ProxyRecord]
    as_of: float


class PrimaryLease:
    """The evidence for this proxy's lease on the groups' primaries.

    `members` are the proxies that were registered when the store's present
    era began, as of `members_as_of`. Those of them that the restored list
    lacks are in `vanished`: they count until they register again. `confirmed`
    is whether the records are valid in that era.
    """

    def __init__(self, name: str) -> None:
        """Start without a lease."""
        self.name = name
        self.store_as_of = -math.inf
        self.registered: dict[str, ProxyRecord] = {}
        self.registered_as_of = -math.inf
        self.peer_grants: dict[str, PeerGrant] = {}
        self.fleet_grant: FleetGrant | None = None
        self.promoting_groups: set[str] = set()
        self.joined_at = math.inf
        self.era = 0
        self.confirmed = True
        self.era_began_at = -math.inf
        self.members: dict[str, ProxyRecord] = {}
        self.members_as_of = -math.inf
        self.vanished: dict[str, ProxyRecord] = {}
        self._counted: tuple[dict[str, ProxyRecord], frozenset[str]] = (
            self.registered,
            frozenset(),
        )

    def counted(self) -> frozenset[str]:
        """Return the registered proxies that are not marked as silent.

        The list of registered proxies is replaced as a whole, so the names
        are computed once for each list.
        """
        if self._counted[0] is not self.registered:
            self._counted = (self.registered, _not_silent(self.registered))
        return self._counted[1]


def begin_era(lease: PrimaryLease, era: int, now: float) -> None:
    """Note that the store is in a new era.

    The registered proxies count until they have had time to register again.
    """
    lease.era = era
    lease.confirmed = False
    lease.era_began_at = now
    lease.members = lease.registered
    lease.members_as_of = lease.registered_as_of
    lease.vanished = {
        record.name: record._replace(version=NO_VERSION)
        for record in lease.registered.values()
    }
    lease.joined_at = math.inf
    lease.fleet_grant = None


def record_store_read(
    lease: PrimaryLease,
    as_of: float,
    proxies: dict[str, ProxyRecord],
    *,
    confirmed: bool = True,
) -> None:
    """Renew the lease from a read of the records that was sent at `as_of`.

    Parameters
    ----------
    lease : PrimaryLease
    as_of : float
    proxies : dict
        The registered proxies by name. Promotions wait for these alone, so a
        proxy that is not registered gets no lease.
    confirmed : bool
        Whether the records are valid in the store's present era.
    """
    if as_of <= lease.registered_as_of:
        return
    if confirmed and lease.name in proxies:
        lease.store_as_of = max(lease.store_as_of, as_of)
    lease.confirmed = confirmed
    _forget_vanished(lease, as_of, proxies)
    lease.registered = {**lease.vanished, **proxies}
    lease.registered_as_of = as_of
    if lease.name not in proxies or proxies[lease.name].silent:
        lease.joined_at = math.inf
    elif math.isinf(lease.joined_at):
        lease.joined_at = as_of


def _forget_vanished(
    lease: PrimaryLease, now: float, proxies: dict[str, ProxyRecord]
) -> None:
    if now - lease.era_began_at > PEER_LEASE_LIMIT_S + LEASE_DURATION_S:
        lease.vanished = {}
    lease.vanished = {
        name: record
        for name, record in lease.vanished.items()
        if name not in proxies
    }


class PeerLeaseReport(NamedTuple):
    """What a peer reports that may renew this proxy's lease.

    `lease_age_s` is the age of the peer's own lease from the store,
    `records_version` the version up to which it has all shared records, and
    `store_era` the newest era of the store that it knows of.
    """

    name: str
    incarnation: int
    records_version: StoreVersion
    lease_age_s: float
    no_promotion_begun: bool
    store_era: int = 0


def renew_from_peer(
    lease: PrimaryLease,
    report: PeerLeaseReport,
    records_version: StoreVersion,
    sent_after: float,
) -> None:
    """Renew the lease from a peer's report.

    Parameters
    ----------
    lease : PrimaryLease
    report : PeerLeaseReport
    records_version : StoreVersion
        Up to which this proxy has all records. The report of a peer with newer
        records proves nothing about the older ones.
    sent_after : float
        A time, on this clock, after which the peer sent its message.
    """
    if report.records_version > records_version:
        return
    lease.store_as_of = max(lease.store_as_of, sent_after - report.lease_age_s)
    if report.no_promotion_begun:
        record_peer_grant(
            lease,
            report.name,
            PeerGrant(report.incarnation, sent_after, report.store_era),
        )


def record_peer_grant(lease: PrimaryLease, name: str, grant: PeerGrant) -> None:
    """Record a peer's confirmation that it has begun no promotion."""
    known = lease.peer_grants.get(name)
    if (
        known is None
        or known.incarnation != grant.incarnation
        or grant.as_of > known.as_of
    ):
        lease.peer_grants[name] = grant


def record_fleet_grant(lease: PrimaryLease, grant: FleetGrant) -> None:
    """Record that all peers have confirmed to have begun no promotion."""
    known = lease.fleet_grant
    if (
        known is None
        or known.basis is not grant.basis
        or grant.as_of > known.as_of
    ):
        lease.fleet_grant = grant


def grant_basis(lease: PrimaryLease) -> dict[str, ProxyRecord]:
    """Return the proxies of which all but the silent ones have to confirm.

    Until the records of a restored store are confirmed, they are the proxies
    that were registered when its era began.
    """
    return lease.registered if lease.confirmed else lease.members


def counted_proxies(lease: PrimaryLease) -> frozenset[str]:
    """Return the registered proxies that are not marked as silent."""
    return lease.counted()


def _members(lease: PrimaryLease) -> frozenset[str]:
    """Return the proxies that counted when the store's era began.

    A peer that is marked as silent since then may have begun a promotion that
    the restored store lacks, so it still has to confirm that it has not.
    """
    return _not_silent(lease.members)


def _not_silent(records: dict[str, ProxyRecord]) -> frozenset[str]:
    return frozenset(
        record.name for record in records.values() if not record.silent
    )


def _peer_grants_as_of(lease: PrimaryLease, now: float) -> float:
    """Return the time of the oldest confirmation among the counted peers."""
    if now - lease.registered_as_of > PEER_LEASE_LIMIT_S:
        return -math.inf
    counted = counted_proxies(lease) if lease.confirmed else _members(lease)
    if lease.name not in counted:
        return -math.inf
    others = counted - {lease.name}
    if not others:
        # Without peers, this proxy would not hear of a proxy that registers.
        return -math.inf
    as_of = min(_peer_grant_as_of(lease, name) for name in others)
    fleet = lease.fleet_grant
    if fleet is not None and fleet.basis is grant_basis(lease):
        return max(as_of, fleet.as_of)
    return as_of


def _peer_grant_as_of(lease: PrimaryLease, name: str) -> float:
    """Return the time of a peer's confirmation, or minus infinity.

    In a restored store, a restarted peer does not find the promotions that it
    had begun, so it cannot confirm that there were none.
    """
    grant = lease.peer_grants.get(name)
    if grant is None:
        return -math.inf
    if (
        not lease.confirmed
        and grant.incarnation != lease.members[name].incarnation
    ):
        return -math.inf
    return grant.as_of


def evidence_as_of(lease: PrimaryLease, now: float) -> float:
    """Return the latest time at which this proxy was certainly counted."""
    return max(lease.store_as_of, _peer_grants_as_of(lease, now))


def lease_expires_at(lease: PrimaryLease, now: float) -> float:
    """Return when the present lease expires."""
    return evidence_as_of(lease, now) + LEASE_DURATION_S - LEASE_MARGIN_S


def may_use_primary(
    lease: PrimaryLease, record: GroupRecord | None, now: float
) -> bool:
    """Return whether work on a primary may be sent or acknowledged."""
    return (
        record is not None
        and not record.changing
        and record.group not in lease.promoting_groups
        # The store's grant is checked first, because it is cheaper.
        and (
            now < lease.store_as_of + LEASE_DURATION_S - LEASE_MARGIN_S
            or now < lease_expires_at(lease, now)
        )
    )


def leases_expired_at(began_at: float, last_granted_at: float) -> float:
    """Return when the leases of all silent proxies have certainly expired.

    Parameters
    ----------
    began_at : float
        When the store had confirmed the beginning of the promotion.
    last_granted_at : float
        When this proxy last confirmed to peers that it had begun none.

    Examples
    --------
    >>> leases_expired_at(10.0, 9.5)
    11.0
    """
    return max(began_at, last_granted_at) + LEASE_DURATION_S


def may_begin_promotion(
    lease: PrimaryLease, counted_by: set[str], now: float
) -> bool:
    """Return whether no peer can hold a lease without this proxy's grant.

    Proxies that cannot reach the store do not know a proxy that has just
    registered. They may renew their leases without its confirmation until the
    time limit on leases from peers has passed.
    """
    counted = counted_proxies(lease)
    if lease.name not in counted:
        return False
    others = counted - {lease.name}
    return others <= counted_by or (
        now - lease.joined_at > PEER_LEASE_LIMIT_S + LEASE_DURATION_S
    )
