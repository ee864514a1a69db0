"""Shares of a target's connections and slots.

Each proxy divides a target's limit by the number of live proxies. Views of
membership differ briefly after each change, so the divisor rises immediately
and falls only after the lower count has persisted and every live peer agrees.
"""

import math

from toucandeal.actions import ResizePool
from toucandeal.entities import Target
from toucandeal.membership import host_count, is_host, live_proxies
from toucandeal.tables import Frame, Tables, record_decision

__all__ = [
    'connection_share',
    'free_slots',
    'has_joined',
    'proxies_sharing',
    'share_connections',
    'slot_share',
]

CONTROL_CONNECTIONS = 1  # per target; the rest of the share carries data
SLOT_OVERCOMMIT = 2  # executions per slot, in flight or queued at the target
DIVISOR_DECREASE_DELAY_S = 0.4
JOIN_GRACE_S = 1.0


def connection_share(limit: int, proxies: int) -> int:
    """Return how many data connections a proxy may open to a target.

    Examples
    --------
    >>> [connection_share(16, proxies) for proxies in (1, 3, 4, 16)]
    [15, 4, 3, 0]
    """
    return max(limit // proxies - CONTROL_CONNECTIONS, 0)


def slot_share(slots: int, proxies: int) -> int:
    """Return how many executions a proxy may have in flight at a target.

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
    """Return whether every live peer counts this proxy as live."""
    if not tables.peers:
        return now >= tables.divisor_stable_since + JOIN_GRACE_S
    return all(
        tables.identity.name in peer.live for peer in tables.peers.values()
    )


def _count_known_proxies(tables: Tables) -> int:
    known = set(live_proxies(tables))
    return len(known.union(*(peer.live for peer in tables.peers.values())))


def refresh_hosts(tables: Tables) -> None:
    """Recompute which groups this proxy hosts and how many proxies share them.

    Notes
    -----
    Hashing every group over every proxy is the most expensive step of all, so
    it runs only after the proxies, the groups or the divisor have changed.
    """
    inputs = (
        tuple(live_proxies(tables)),
        tables.group_changes,
        tables.proxies_counted,
    )
    if inputs == tables.hosting_inputs:
        return
    tables.hosting_inputs = inputs
    tables.hosted.clear()
    tables.hosted.update(
        {group: is_host(tables, group) for group in tables.groups}
    )
    tables.proxies_per_group.clear()
    tables.proxies_per_group.update(
        {group: proxies_sharing(tables, group) for group in tables.groups}
    )


def share_connections(frame: Frame) -> None:
    """Update the divisor for the live proxies, then resize the pools."""
    tables = frame.tables
    refresh_hosts(tables)
    known = _count_known_proxies(tables)
    if tables.proxies_counted == 0:
        if not has_joined(tables, frame.now):
            return
        _set_divisor(frame, known)
    elif known > tables.proxies_counted:
        _set_divisor(frame, known)
    elif known == tables.proxies_counted:
        tables.divisor_stable_since = frame.now
    elif frame.now - tables.divisor_stable_since >= DIVISOR_DECREASE_DELAY_S:
        _set_divisor(frame, known)
    resize_pools(frame)


def _set_divisor(frame: Frame, proxies: int) -> None:
    record_decision(
        frame,
        'share',
        'connections',
        str(proxies),
        'live proxies changed',
        counted=frame.tables.proxies_counted,
    )
    frame.tables.proxies_counted = proxies
    refresh_hosts(frame.tables)
    frame.tables.divisor_stable_since = frame.now


def proxies_sharing(tables: Tables, group: str) -> int:
    """Return how many proxies share the limits of a group's targets."""
    cached = tables.proxies_per_group.get(group)
    if cached is not None:
        return cached
    return max(min(tables.proxies_counted, host_count(tables, group)), 1)


def _pool_size(tables: Tables, target: Target) -> int:
    if not is_host(tables, target.group):
        return 0
    sharing = proxies_sharing(tables, target.group)
    return connection_share(target.connection_limit, sharing)


def resize_pools(frame: Frame) -> None:
    """Resize the connection pools to the shares of this proxy."""
    tables = frame.tables
    frame.actions.extend(
        ResizePool(target.name, target.address, 0)
        for target in tables.removed_targets
    )
    tables.removed_targets.clear()
    if not tables.proxies_counted:
        return
    for target in tables.targets.values():
        share = _pool_size(tables, target)
        view = tables.views[target.name]
        if share != view.connection_share:
            tables.views[target.name] = view._replace(connection_share=share)
            tables.dirty.add(target.group)
            frame.actions.append(ResizePool(target.name, target.address, share))
