"""Assignment of the relays that carry heartbeats in large fleets.

Addresses this load pattern: hundreds of proxies in a few failure domains. If
each sent a heartbeat to each other one every 0.25 s, a proxy among 300 would
handle 2,400 messages a second, and the machines on which it runs have as
little as 0.12 of a core. Instead, a proxy exchanges heartbeats with two relays
of its own failure domain, and the relays exchange them with one another.

The assignment is a pure function of the counted proxies, so proxies that know
the same proxies compute the same one. The hash of its inputs identifies it.
"""

import functools
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from toucandeal.fleet import ProxyRecord
from toucandeal.rendezvous import rendezvous_order

__all__ = [
    'NO_MEMBERSHIP',
    'RELAYS_ABOVE',
    'RELAYS_PER_PROXY',
    'RelayAssignment',
    'assign_relays',
    'marking_rank',
    'relays_for',
    'uses_relays',
]

RELAYS_ABOVE = 40  # counted proxies; up to here a full mesh is cheap
MESH_BELOW = 20  # far enough below, so that restarts cause no switch back
MIN_RELAYS = 2  # per failure domain, so that one may fail
PROXIES_PER_RELAY = 24
RELAYS_PER_PROXY = 2
NO_MEMBERSHIP = 0  # of a proxy that counts none
CACHE_SIZE = 4096  # several times the proxies of a fleet


class RelayAssignment(NamedTuple):
    """The relays of a fleet.

    Attributes
    ----------
    membership : int
        Identifies the counted proxies and the store era.
    relays : dict
        Relays by failure domain.
    relays_of : dict
        By proxy that is no relay, the relays that it exchanges heartbeats
        with.
    attached : dict
        By relay, the proxies that it exchanges heartbeats with and that are
        no relays.
    pairs : frozenset
        The distinct entries of `relays_of`.
    """

    membership: int
    relays: dict[str, tuple[str, ...]]
    relays_of: dict[str, tuple[str, ...]]
    attached: dict[str, frozenset[str]]
    pairs: frozenset[tuple[str, ...]]

    def is_relay(self, name: str) -> bool:
        """Return whether a proxy is a relay."""
        return name in self.attached


def uses_relays(before: bool, counted: int, peers_use_relays: bool) -> bool:
    """Return whether relays are in use among `counted` proxies.

    Parameters
    ----------
    before : bool
        Whether this proxy has used relays so far.
    counted : int
    peers_use_relays : bool
        Whether a peer does. A proxy that joins a fleet between the two bounds
        follows its peers.

    Examples
    --------
    >>> uses_relays(False, 40, False), uses_relays(False, 41, False)
    (False, True)
    >>> uses_relays(True, 20, False), uses_relays(True, 19, True)
    (True, False)
    >>> uses_relays(False, 30, True)
    True
    """
    if counted > RELAYS_ABOVE:
        return True
    return counted >= MESH_BELOW and (before or peers_use_relays)


def assign_relays(
    counted: Iterable[ProxyRecord], draining: frozenset[str], era: int
) -> RelayAssignment:
    """Assign relays to the counted proxies.

    Draining proxies and the era are part of the membership. Summaries of
    relays that assign other proxies, or know another era, do not count.

    Examples
    --------
    >>> fleet = [
    ...     ProxyRecord(f'p{number}', 1, '', failure_domain='ab'[number % 2])
    ...     for number in range(100)
    ... ]
    >>> assignment = assign_relays(fleet, frozenset(), 0)
    >>> [len(names) for names in assignment.relays.values()]
    [3, 3]
    >>> {len(pair) for pair in assignment.relays_of.values()}
    {2}
    >>> other = assign_relays(fleet[1:], frozenset(), 0)
    >>> other.membership == assignment.membership
    False
    """
    records = sorted(counted)
    domains: dict[str, list[str]] = {}
    for record in records:
        domains.setdefault(record.failure_domain, []).append(record.name)
    relays = {
        domain: _domain_relays(domain, names, draining)
        for domain, names in sorted(domains.items())
    }
    all_relays = {name for names in relays.values() for name in names}
    partial = RelayAssignment(
        _membership(records, draining, era), relays, {}, {}, frozenset()
    )
    relays_of = {
        record.name: relays_for(partial, record.name, record.failure_domain)
        for record in records
        if record.name not in all_relays
    }
    attached: dict[str, set[str]] = {name: set() for name in all_relays}
    for name, pair in relays_of.items():
        for relay in pair:
            attached[relay].add(name)
    return partial._replace(
        relays_of=relays_of,
        attached={name: frozenset(rest) for name, rest in attached.items()},
        pairs=frozenset(relays_of.values()),
    )


def relays_for(
    assignment: RelayAssignment, name: str, domain: str
) -> tuple[str, ...]:
    """Return the relays of a proxy, also of one that is not counted yet.

    They belong to its own failure domain if that has two; other domains supply
    the rest.
    """
    return _relays_for(name, domain, tuple(sorted(assignment.relays.items())))


def marking_rank(
    assignment: RelayAssignment, own: str, name: str
) -> int | None:
    """Return this proxy's rank among those that may mark `name` as silent.

    They are the relays of the proxy, or all relays if it is one itself. None
    means that this proxy is not among them.

    Examples
    --------
    >>> fleet = [ProxyRecord(f'p{number}', 1, '') for number in range(50)]
    >>> assignment = assign_relays(fleet, frozenset(), 0)
    >>> name, (first, second) = next(iter(assignment.relays_of.items()))
    >>> [marking_rank(assignment, own, name) for own in (first, second, 'p')]
    [0, 1, None]
    >>> marking_rank(assignment, name, first) is None
    True
    """
    if assignment.is_relay(name):
        markers = rendezvous_order(assignment.attached.keys() - {name}, name)
    else:
        markers = list(assignment.relays_of.get(name, ()))
    return markers.index(own) if own in markers else None


@functools.lru_cache(maxsize=CACHE_SIZE)
def _relays_for(
    name: str, domain: str, relays: tuple[tuple[str, tuple[str, ...]], ...]
) -> tuple[str, ...]:
    near = dict(relays).get(domain, ())
    chosen = rendezvous_order(near, name, RELAYS_PER_PROXY)
    missing = RELAYS_PER_PROXY - len(chosen)
    if missing:
        far = [
            relay
            for other, names in relays
            if other != domain
            for relay in names
        ]
        chosen += rendezvous_order(far, name, missing)
    return tuple(chosen)


def _domain_relays(
    domain: str, names: list[str], draining: frozenset[str]
) -> tuple[str, ...]:
    count = max(MIN_RELAYS, -(-len(names) // PROXIES_PER_RELAY))
    candidates = [name for name in names if name not in draining]
    return tuple(rendezvous_order(candidates, f'relay {domain}', count))


def _membership(
    records: list[ProxyRecord], draining: frozenset[str], era: int
) -> int:
    lines = [
        f'{record.name}\0{record.incarnation}\0{record.failure_domain}'
        f'\0{record.name in draining}'
        for record in records
    ]
    text = '\n'.join((str(era), *lines))
    return xxhash.xxh3_64_intdigest(text.encode())
