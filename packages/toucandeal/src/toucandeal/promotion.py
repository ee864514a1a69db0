"""When a group needs another primary, and which server it should be.

These are the decisions only; the order of the steps and the reasons for it
are in docs/design/platform.md.
"""

import math
from typing import NamedTuple

from toucandeal.fleet import GroupRecord, Server
from toucandeal.fleet_tables import (
    FleetTables,
    group_state,
    server_load,
)
from toucandeal.positions import LogPosition

__all__ = [
    'HOLDER_S',
    'Reported',
    'Trigger',
    'best_replica',
    'holder_rank',
    'promotion_trigger',
    'replicas_of',
]

HOLDER_S = 2.0  # a holder acts within this time of its last record
PEER_HEARD_S = 0.5  # a peer that heard the primary since then vetoes
PEER_LIVE_S = 1.0  # a peer that is silent for longer has no say
SUSPECT_S = 0.25  # from the first failed check to a promotion
STAGGER_S = 0.15  # between the proxies that may start one


class Reported(NamedTuple):
    """A server's own report of itself.

    `received` is what it would lead with if it were promoted now.
    """

    is_primary: bool
    term: int
    received: LogPosition
    held: LogPosition


class Trigger(NamedTuple):
    """Why a promotion has to begin or go on."""

    reason: str
    planned: bool


def replicas_of(tables: FleetTables, record: GroupRecord) -> list[Server]:
    """Return the servers that may take over, in the order of their names."""
    return sorted(
        (
            server
            for server in tables.servers.values()
            if server.group == record.group
            and server.name != record.primary
            and not server.leaving
        ),
        key=lambda server: server.name,
    )


def promotion_trigger(
    tables: FleetTables, name: str, now: float, *, missing_is_gone: bool = True
) -> Trigger | None:
    """Return why the group's primary has to be replaced, if it has to be.

    Parameters
    ----------
    tables : FleetTables
    name : str
        The group's.
    now : float
        Seconds.
    missing_is_gone : bool
        Whether a server without an entry is surely gone.
    """
    group = group_state(tables, name)
    record = group.record
    if record is None or record.changing or tables.draining:
        return None
    if not replicas_of(tables, record):
        return None
    primary = tables.servers.get(record.primary)
    load = server_load(tables, record.primary)
    if primary is not None and primary.leaving:
        return Trigger('the primary is leaving', planned=True)
    if primary is None and not missing_is_gone:
        return None
    if primary is None:
        return Trigger('the primary is gone', planned=False)
    if load.unreachable_since is None:
        return None
    if now - load.unreachable_since < SUSPECT_S:
        return None
    if any(
        now - peer.heard_at < PEER_LIVE_S
        and now - peer.primary_heard.get(name, -math.inf) < PEER_HEARD_S
        for peer in tables.peers.values()
    ):
        return None
    return Trigger('the primary gives no answer', planned=False)


def holder_rank(tables: FleetTables, group: str, now: float) -> float:
    """Return how long this proxy waits before it starts a promotion.

    The live proxies take turns by name, from a place that depends on the
    group, so two seldom race for the same group.
    """
    live = sorted(
        {tables.name}
        | {
            peer.name
            for peer in tables.peers.values()
            if now - peer.heard_at < PEER_LIVE_S and not peer.draining
        }
    )
    first = sum(group.encode()) % len(live)
    return STAGGER_S * ((live.index(tables.name) - first) % len(live))


def best_replica(reports: dict[str, Reported]) -> str | None:
    """Return the server that has received the most.

    Examples
    --------
    >>> best_replica({
    ...     'b': Reported(False, 3, LogPosition(3, 9), LogPosition(3, 2)),
    ...     'c': Reported(False, 3, LogPosition(3, 7), LogPosition(3, 7)),
    ... })
    'b'
    """
    return max(
        reports,
        key=lambda name: (reports[name].received, reports[name].held),
        default=None,
    )
