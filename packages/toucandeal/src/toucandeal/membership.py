"""Live proxies, the hosts of each group, and the takeover order.

A proxy counts as live while its heartbeats arrive. The platform's list of VMs
is updated with a delay, so it only adds addresses to contact and marks VMs
that are leaving; it never overrides a heartbeat.
"""

from collections.abc import Iterable

from toucandeal.entities import GroupReport, Peer
from toucandeal.evidence import raise_term, update_primary
from toucandeal.rendezvous import rendezvous_order
from toucandeal.tables import Frame, Tables, record_decision

__all__ = [
    'choose_host',
    'forget_silent_peers',
    'heartbeat_received',
    'host_count',
    'hosts',
    'is_host',
    'live_proxies',
    'takeover_rank',
]

CONNECTIONS_PER_HOST = 4  # per target: one for control, three for data


def live_proxies(tables: Tables) -> list[str]:
    """Return the names of the live proxies, including this one."""
    return sorted((tables.identity.name, *tables.peers))


def host_count(tables: Tables, group: str) -> int:
    """Return the maximum number of proxies that may host a group.

    Every host opens connections to every target of the group, so the target
    with the lowest connection limit determines the number.
    """
    limits = (target.connection_limit for target in tables.group_targets(group))
    return max(min(limits, default=0) // CONNECTIONS_PER_HOST, 1)


def hosts(tables: Tables, group: str) -> list[str]:
    """Return the live proxies that host a group, in rendezvous order."""
    return rendezvous_order(
        live_proxies(tables), group, host_count(tables, group)
    )


def is_host(tables: Tables, group: str) -> bool:
    """Return whether this proxy hosts a group."""
    cached = tables.hosted.get(group)
    if cached is not None:
        return cached
    count = host_count(tables, group)
    if len(tables.peers) < count:
        return True
    return tables.identity.name in hosts(tables, group)


def choose_host(frame: Frame, group: str) -> str:
    """Return a proxy to forward requests of `group` to, or an empty string.

    Notes
    -----
    This proxy may itself be one of the hosts if the live proxies have changed
    since it last computed which groups it hosts.
    """
    peers = frame.tables.peers
    candidates = [
        name
        for name in hosts(frame.tables, group)
        if name in peers and not peers[name].draining
    ]
    chosen = frame.random.choice(candidates) if candidates else ''
    record_decision(
        frame,
        'route',
        group,
        chosen,
        'another proxy hosts the group',
        candidates=len(candidates),
    )
    return chosen


def takeover_rank(tables: Tables, group: str) -> int:
    """Return this proxy's rank in the takeover order of `group`.

    A proxy that does not host the group ranks after all hosts.
    """
    candidates = [
        name
        for name in hosts(tables, group)
        if name == tables.identity.name or not tables.peers[name].draining
    ]
    own = tables.identity.name
    return candidates.index(own) if own in candidates else len(candidates)


def heartbeat_received(
    frame: Frame, peer: Peer, reports: Iterable[GroupReport]
) -> None:
    """Apply a heartbeat of a peer.

    Parameters
    ----------
    frame : Frame
    peer : Peer
        The sender, as described by its heartbeat.
    reports : iterable of GroupReport
        The sender's view of its groups.
    """
    tables = frame.tables
    if peer.name not in tables.peers:
        record_decision(frame, 'membership', peer.name, 'joined', 'heartbeat')
    tables.peers[peer.name] = peer
    for report in reports:
        if report.group not in tables.groups:
            continue
        tables.reports[report.group][peer.name] = (report, frame.now)
        raise_term(frame, report.group, report.term)
        if report.primary in tables.targets:
            update_primary(
                frame,
                report.group,
                report.primary,
                report.primary_term,
                f'heartbeat of {peer.name}',
            )
        tables.evidence_changed.add(report.group)


def forget_silent_peers(frame: Frame) -> None:
    """Remove the peers that have stopped sending heartbeats."""
    tables = frame.tables
    cutoff = frame.now - tables.policies.peer_timeout_s
    silent = [peer for peer in tables.peers.values() if peer.heard_at < cutoff]
    for peer in silent:
        del tables.peers[peer.name]
        for reports in tables.reports.values():
            reports.pop(peer.name, None)
        record_decision(
            frame,
            'membership',
            peer.name,
            'gone',
            'no heartbeat',
            silent_s=round(frame.now - peer.heard_at, 3),
        )
