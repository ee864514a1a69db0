"""Live proxies, and which of them goes first.

A proxy counts as live while its heartbeats arrive. The platform's list of VMs
lags, so it only adds addresses to try and marks VMs that are leaving; it never
overrules a heartbeat.
"""

import heapq
from collections.abc import Iterable

import xxhash

from toucandeal.entities import GroupReport, Peer
from toucandeal.evidence import learn_primary, raise_term
from toucandeal.tables import Frame, Tables, decide

__all__ = [
    'choose_host',
    'forget_silent_peers',
    'host_count',
    'hosts',
    'is_host',
    'live_proxies',
    'peer_heard',
    'rendezvous_order',
    'takeover_rank',
]


CONNECTIONS_A_HOST = 4  # to each target: one for control, three for data


def rendezvous_order(
    names: Iterable[str], key: str, most: int | None = None
) -> list[str]:
    """Return `names`, or the first `most`, by random weight for `key` [1]_.

    References
    ----------
    .. [1] Thaler and Ravishankar, "Using name-based mappings to increase hit
       rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples
    --------
    >>> order = rendezvous_order(['a', 'b', 'c'], 'group')
    >>> [name for name in order if name != 'a'] == rendezvous_order(
    ...     ['b', 'c'], 'group'
    ... )
    True
    """
    weighed = [
        (xxhash.xxh3_64_intdigest(f'{name}\0{key}'.encode()), name)
        for name in names
    ]
    chosen = heapq.nlargest(len(weighed) if most is None else most, weighed)
    return [name for _, name in chosen]


def live_proxies(tables: Tables) -> list[str]:
    """Return the names of the live proxies, this one included."""
    return sorted((tables.identity.name, *tables.peers))


def host_count(tables: Tables, group: str) -> int:
    """Return how many proxies may host a group at the most.

    Every host holds connections to every target of the group, so the scarcest
    target decides.
    """
    limits = (target.connection_limit for target in tables.group_targets(group))
    return max(min(limits, default=0) // CONNECTIONS_A_HOST, 1)


def hosts(tables: Tables, group: str) -> list[str]:
    """Return the live proxies that host a group, the first one first."""
    return rendezvous_order(
        live_proxies(tables), group, host_count(tables, group)
    )


def is_host(tables: Tables, group: str) -> bool:
    """Return whether this proxy hosts a group."""
    known = tables.hosted.get(group)
    if known is not None:
        return known
    count = host_count(tables, group)
    if len(tables.peers) < count:
        return True
    return tables.identity.name in hosts(tables, group)


def choose_host(frame: Frame, group: str) -> str:
    """Return a proxy to pass requests of `group` on to, or an empty string.

    Notes
    -----
    This proxy may itself be among the hosts already, where the others have
    changed since it last worked out which groups it hosts.
    """
    peers = frame.tables.peers
    able = [
        name
        for name in hosts(frame.tables, group)
        if name in peers and not peers[name].draining
    ]
    chosen = frame.random.choice(able) if able else ''
    decide(
        frame,
        'route',
        group,
        chosen,
        'another proxy hosts the group',
        candidates=len(able),
    )
    return chosen


def takeover_rank(tables: Tables, group: str) -> int:
    """Return this proxy's place in the order of takeover of `group`.

    Where it does not host the group its place is behind all hosts.
    """
    able = [
        name
        for name in hosts(tables, group)
        if name == tables.identity.name or not tables.peers[name].draining
    ]
    own = tables.identity.name
    return able.index(own) if own in able else len(able)


def peer_heard(
    frame: Frame, peer: Peer, reports: Iterable[GroupReport]
) -> None:
    """Take in a peer's heartbeat.

    Parameters
    ----------
    frame : Frame
    peer : Peer
        The sender as its heartbeat describes it.
    reports : iterable of GroupReport
        The sender's view of its groups.
    """
    tables = frame.tables
    if peer.name not in tables.peers:
        decide(frame, 'membership', peer.name, 'joined', 'heartbeat')
    tables.peers[peer.name] = peer
    for report in reports:
        if report.group not in tables.groups:
            continue
        tables.reports[report.group][peer.name] = (report, frame.now)
        raise_term(frame, report.group, report.term)
        if report.primary in tables.targets:
            learn_primary(
                frame,
                report.group,
                report.primary,
                report.primary_term,
                f'heartbeat of {peer.name}',
            )
        tables.evidence_changed.add(report.group)


def forget_silent_peers(frame: Frame) -> None:
    """Drop the peers whose heartbeats have stopped."""
    tables = frame.tables
    oldest = frame.now - tables.policies.peer_timeout_s
    silent = [peer for peer in tables.peers.values() if peer.heard_at < oldest]
    for peer in silent:
        del tables.peers[peer.name]
        for reports in tables.reports.values():
            reports.pop(peer.name, None)
        decide(
            frame,
            'membership',
            peer.name,
            'gone',
            'no heartbeat',
            silent_s=round(frame.now - peer.heard_at, 3),
        )
