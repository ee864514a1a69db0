"""Shares of a target's connections and slots.

All proxies divide a target's limit by the number of live proxies. Views of
membership differ for a while after each change, so the divisor rises at once
and falls only after the lower count has held and every live peer agrees.
"""

import math

from toucandeal.actions import ResizePool
from toucandeal.entities import Target
from toucandeal.membership import host_count, is_host, live_proxies
from toucandeal.tables import Frame, Tables, decide

__all__ = [
    'connection_share',
    'free_slots',
    'has_joined',
    'proxies_sharing',
    'share_connections',
    'slot_share',
]

CONTROL_CONNECTIONS = 1  # a target; the rest of the share carries data
SLOT_OVERCOMMIT = 2  # executions in flight or queued at the target, a slot
SHARE_SETTLE_S = 0.4
JOIN_GRACE_S = 1.0


def connection_share(limit: int, proxies: int) -> int:
    """Return how many data connections one proxy may hold to a target.

    Examples
    --------
    >>> [connection_share(16, proxies) for proxies in (1, 3, 4, 16)]
    [15, 4, 3, 0]
    """
    return max(limit // proxies - CONTROL_CONNECTIONS, 0)


def slot_share(slots: int, proxies: int) -> int:
    """Return how many executions one proxy keeps in flight at a target.

    Examples
    --------
    >>> [slot_share(slots, 4) for slots in (2, 5)]
    [1, 3]
    """
    return max(math.ceil(slots * SLOT_OVERCOMMIT / proxies), 1)


def free_slots(tables: Tables, target: Target) -> int:
    """Return how many more executions may be sent to `target` now."""
    view = tables.views[target.name]
    return (
        min(
            slot_share(target.slots, proxies_sharing(tables, target.group)),
            view.connection_share - view.pinned,
        )
        - view.in_flight
    )


def has_joined(tables: Tables, now: float) -> bool:
    """Return whether every live peer counts this proxy already."""
    if not tables.peers:
        return now >= tables.share_since + JOIN_GRACE_S
    return all(
        tables.identity.name in peer.live for peer in tables.peers.values()
    )


def _proxies_seen(tables: Tables) -> int:
    seen = set(live_proxies(tables))
    return len(seen.union(*(peer.live for peer in tables.peers.values())))


def refresh_hosts(tables: Tables) -> None:
    """Work out anew which groups this proxy hosts, and with how many others.

    Notes
    -----
    Hashing every group over every proxy is the costliest step of all, so it
    is done only after the proxies, the groups or the divisor have changed.
    """
    basis = (
        tuple(live_proxies(tables)),
        tables.group_changes,
        tables.proxies_counted,
    )
    if basis == tables.hosting_basis:
        return
    tables.hosting_basis = basis
    tables.hosted.clear()
    tables.hosted.update(
        {group: is_host(tables, group) for group in tables.groups}
    )
    tables.sharing.clear()
    tables.sharing.update(
        {group: proxies_sharing(tables, group) for group in tables.groups}
    )


def share_connections(frame: Frame) -> None:
    """Adapt the divisor to the live proxies, and the pools to the divisor."""
    tables = frame.tables
    refresh_hosts(tables)
    seen = _proxies_seen(tables)
    if tables.proxies_counted == 0:
        if not has_joined(tables, frame.now):
            return
        _count(frame, seen)
    elif seen > tables.proxies_counted:
        _count(frame, seen)
    elif seen == tables.proxies_counted:
        tables.share_since = frame.now
    elif frame.now - tables.share_since >= SHARE_SETTLE_S:
        _count(frame, seen)
    resize_pools(frame)


def _count(frame: Frame, proxies: int) -> None:
    decide(
        frame,
        'share',
        'connections',
        str(proxies),
        'live proxies changed',
        counted=frame.tables.proxies_counted,
    )
    frame.tables.proxies_counted = proxies
    refresh_hosts(frame.tables)
    frame.tables.share_since = frame.now


def proxies_sharing(tables: Tables, group: str) -> int:
    """Return how many proxies divide the limits of a group's targets."""
    known = tables.sharing.get(group)
    if known is not None:
        return known
    return max(min(tables.proxies_counted, host_count(tables, group)), 1)


def _share_of(tables: Tables, target: Target) -> int:
    if not is_host(tables, target.group):
        return 0
    sharing = proxies_sharing(tables, target.group)
    return connection_share(target.connection_limit, sharing)


def resize_pools(frame: Frame) -> None:
    """Ask for pools of the size of this proxy's share."""
    tables = frame.tables
    frame.actions.extend(
        ResizePool(target.name, target.address, 0) for target in tables.dropped
    )
    tables.dropped.clear()
    if not tables.proxies_counted:
        return
    for target in tables.targets.values():
        share = _share_of(tables, target)
        view = tables.views[target.name]
        if share != view.connection_share:
            tables.views[target.name] = view._replace(connection_share=share)
            tables.dirty.add(target.group)
            frame.actions.append(ResizePool(target.name, target.address, share))
