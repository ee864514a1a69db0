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
"""

import math
from typing import NamedTuple

from toucandeal.fleet import GroupRecord, ProxyRecord

__all__ = [
    'LEASE_DURATION_S',
    'LEASE_MARGIN_S',
    'PEER_LEASE_LIMIT_S',
    'PeerLeaseReport',
    'PrimaryLease',
    'counted_proxies',
    'lease_expires_at',
    'leases_expired_at',
    'may_begin_promotion',
    'may_use_primary',
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


class PrimaryLease:
    """The evidence for this proxy's lease on the groups' primaries."""

    def __init__(self, name: str) -> None:
        """Start without a lease."""
        self.name = name
        self.store_as_of = -math.inf
        self.registered: dict[str, ProxyRecord] = {}
        self.registered_as_of = -math.inf
        self.peer_grants: dict[str, PeerGrant] = {}
        self.promoting_groups: set[str] = set()
        self.joined_at = math.inf


def record_store_read(
    lease: PrimaryLease, as_of: float, proxies: dict[str, ProxyRecord]
) -> None:
    """Renew the lease from a read of the records that was sent at `as_of`."""
    if as_of <= lease.registered_as_of:
        return
    lease.store_as_of = max(lease.store_as_of, as_of)
    lease.registered = proxies
    lease.registered_as_of = as_of
    if lease.name not in counted_proxies(lease):
        lease.joined_at = math.inf
    elif math.isinf(lease.joined_at):
        lease.joined_at = as_of


class PeerLeaseReport(NamedTuple):
    """What a peer reports that may renew this proxy's lease.

    `lease_age_s` is the age of the peer's own lease from the store, and
    `records_version` the version of the shared records that it has.
    """

    name: str
    incarnation: int
    records_version: int
    lease_age_s: float
    no_promotion_begun: bool


def renew_from_peer(
    lease: PrimaryLease,
    report: PeerLeaseReport,
    records_version: int,
    sent_after: float,
) -> None:
    """Renew the lease from a peer's report.

    Parameters
    ----------
    lease : PrimaryLease
    report : PeerLeaseReport
    records_version : int
        Of the records that this proxy has. The report of a peer with newer
        records proves nothing about the older ones.
    sent_after : float
        A time, on this clock, after which the peer sent its message.
    """
    if report.records_version > records_version:
        return
    lease.store_as_of = max(lease.store_as_of, sent_after - report.lease_age_s)
    if report.no_promotion_begun:
        record_peer_grant(lease, report.name, report.incarnation, sent_after)


def record_peer_grant(
    lease: PrimaryLease, name: str, incarnation: int, as_of: float
) -> None:
    """Record a peer's confirmation that it has begun no promotion."""
    known = lease.peer_grants.get(name)
    if known is None or known.incarnation != incarnation:
        lease.peer_grants[name] = PeerGrant(incarnation, as_of)
    elif as_of > known.as_of:
        lease.peer_grants[name] = known._replace(as_of=as_of)


def counted_proxies(lease: PrimaryLease) -> set[str]:
    """Return the registered proxies that are not marked as silent."""
    return {
        record.name for record in lease.registered.values() if not record.silent
    }


def _peer_grants_as_of(lease: PrimaryLease, now: float) -> float:
    """Return the time of the oldest confirmation among the counted peers."""
    if now - lease.registered_as_of > PEER_LEASE_LIMIT_S:
        return -math.inf
    counted = counted_proxies(lease)
    if lease.name not in counted:
        return -math.inf
    others = counted - {lease.name}
    if not others:
        # Without peers, this proxy would not hear of a proxy that registers.
        return -math.inf
    return min(_peer_grant_as_of(lease, name) for name in others)


def _peer_grant_as_of(lease: PrimaryLease, name: str) -> float:
    grant = lease.peer_grants.get(name)
    return -math.inf if grant is None else grant.as_of


def lease_expires_at(lease: PrimaryLease, now: float) -> float:
    """Return when the present lease expires."""
    as_of = max(lease.store_as_of, _peer_grants_as_of(lease, now))
    return as_of + LEASE_DURATION_S - LEASE_MARGIN_S


def may_use_primary(
    lease: PrimaryLease, record: GroupRecord | None, now: float
) -> bool:
    """Return whether work on a primary may be sent or acknowledged."""
    return (
        record is not None
        and not record.changing
        and record.group not in lease.promoting_groups
        and now < lease_expires_at(lease, now)
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
