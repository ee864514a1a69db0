"""Schedule by which a proxy reads the shared records from the store.

Addresses this load pattern: leases run from reads of the records, and a store
answers a limited number of calls. One proxy reads for the others, which read
only if its heartbeats stop renewing their leases, and at long intervals for the
list of proxies. In a fleet with relays, each relay reads for the proxies that
are attached to it.
"""

from typing import NamedTuple

import xxhash

__all__ = [
    'INTERVAL_SPREAD',
    'OWN_READ_INTERVAL_S',
    'READ_INTERVAL_S',
    'RELAYED_LEASE_AGE_S',
    'ReadNeeds',
    'own_read_interval_s',
    'read_is_due',
    'spread_fraction',
]

READ_INTERVAL_S = 0.3  # of the proxy that reads the records for its peers
RELAYED_LEASE_AGE_S = 0.6  # an older lease is renewed by an own read
RANK_DELAY_S = 0.05  # added per rank, so that proxies do not all read at once
OWN_READ_INTERVAL_S = 3.0  # peers do not relay the registered proxies
# Part of the interval by which those of different proxies differ, so that
# proxies that start together do not all read together.
INTERVAL_SPREAD = 0.2
# Of each relay, so that the lease of an attached proxy survives the loss of
# one relay.
RELAY_READ_INTERVAL_S = 0.4
# An attached proxy's lease is up to 0.4 s + 0.25 s old in normal operation,
# plus the time of a call; an older one is renewed by an own read.
FLEET_LEASE_AGE_S = 0.72
FLEET_LEASE_SPREAD_S = 0.06
# From the first sight of a changed membership to an own read of it.
CHANGED_FLEET_SPREAD_S = 1.0
HASH_RANGE = 18_446_744_073_709_551_616


class ReadNeeds(NamedTuple):
    """What decides whether a read is due.

    Attributes
    ----------
    name : str
        Of this proxy.
    elapsed_s : float
        Since its last read was sent.
    lease_age_s : float
    rank : int
        Among the proxies that may read.
    confirmed : bool
        Whether the records are valid in the store's present era.
    misses_proxies : bool
        Whether this proxy hears proxies that are not in its list.
    with_relays : bool
        Whether the fleet uses relays.
    is_relay : bool
    membership_differs : bool
        Whether a relay has reported another membership than this proxy's.
    """

    name: str
    elapsed_s: float
    lease_age_s: float
    rank: int
    confirmed: bool
    misses_proxies: bool
    with_relays: bool = False
    is_relay: bool = False
    membership_differs: bool = False


def read_is_due(needs: ReadNeeds) -> bool:
    """Return whether a proxy reads the shared records now.

    Examples
    --------
    >>> first = ReadNeeds('p1', 0.4, 0.31, 0, True, False)
    >>> read_is_due(first), read_is_due(first._replace(rank=1))
    (True, False)
    >>> attached = first._replace(rank=20, with_relays=True, lease_age_s=0.7)
    >>> read_is_due(attached), read_is_due(attached._replace(lease_age_s=0.8))
    (False, True)
    >>> read_is_due(attached._replace(is_relay=True, elapsed_s=0.41))
    True
    """
    fraction = spread_fraction(needs.name)
    if (
        needs.membership_differs
        and needs.elapsed_s
        >= READ_INTERVAL_S + CHANGED_FLEET_SPREAD_S * fraction
    ):
        return True
    own_interval_s = own_read_interval_s(needs.name)
    if not needs.confirmed:
        return needs.elapsed_s >= min(
            READ_INTERVAL_S + needs.rank * RANK_DELAY_S, own_interval_s
        )
    if needs.elapsed_s >= own_interval_s or (
        needs.misses_proxies and needs.elapsed_s >= READ_INTERVAL_S
    ):
        return True
    if needs.is_relay:
        return needs.elapsed_s >= RELAY_READ_INTERVAL_S
    if needs.with_relays:
        due_s = FLEET_LEASE_AGE_S + FLEET_LEASE_SPREAD_S * fraction
    elif needs.rank:
        due_s = RELAYED_LEASE_AGE_S + needs.rank * RANK_DELAY_S
    else:
        due_s = READ_INTERVAL_S
    return needs.lease_age_s >= due_s


def own_read_interval_s(name: str) -> float:
    """Return the longest interval between two reads of a proxy."""
    return OWN_READ_INTERVAL_S * (1 - INTERVAL_SPREAD * spread_fraction(name))


def spread_fraction(name: str) -> float:
    """Return a number from 0 to 1 that differs between names."""
    return xxhash.xxh3_64_intdigest(name.encode()) / HASH_RANGE
