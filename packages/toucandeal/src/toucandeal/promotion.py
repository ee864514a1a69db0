"""Decisions on when to replace a group's primary, and by which replica.

The order of the steps of a promotion, and the reasons for it, are described in
docs/design/platform.md.
"""

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from toucandeal.acknowledged_writes import ServerStart, may_be_lacking
from toucandeal.fleet import GroupRecord, Server
from toucandeal.fleet_tables import (
    FleetTables,
    group_state,
    server_load,
)
from toucandeal.positions import LogPosition

__all__ = [
    'LOCK_DURATION_S',
    'RESUME_MARGIN_S',
    'Leader',
    'ServerReport',
    'Trigger',
    'await_interval_s',
    'best_replica',
    'former_primary',
    'is_only_leader',
    'is_unverified',
    'leads_since',
    'lock_ends_at',
    'order_deadline',
    'promotion_delay_s',
    'promotion_trigger',
    'replicas_of',
    'starts_of',
    'unaccounted_servers',
]

LOCK_DURATION_S = 2.0  # a lock holder acts within this time of its last record
# After LOCK_DURATION_S, before another proxy may acquire the lock. What the
# holder has sent before has arrived by then, or never does.
RESUME_MARGIN_S = 0.5
ORDER_TIMEOUT_S = 1.5  # for the connection and the answer to an order
ORDER_MARGIN_S = 0.3  # lock time that must remain when an order is sent
PRIMARY_CONTACT_S = 0.5  # a peer that heard the primary this recently vetoes
# Contacts reach distant proxies through two relays, each up to 0.25 s later.
RELAYED_CONTACT_S = 0.7
PEER_LIVE_S = 1.0  # a peer not heard for longer is ignored
SUSPECT_S = 0.25  # from the first failed check to a promotion
STAGGER_S = 0.15  # between the proxies that may start a promotion
# In a fleet with relays the first two are staggered, and the rest share the
# remaining time, so that hundreds of ranks add no gap.
RELAYED_STAGGER_S = 0.08
RELAYED_MAX_DELAY_S = 0.2
# Between two requests to a server whose report is missing. With more proxies
# each asks less often, so that all together ask about 16 times a second.
AWAIT_INTERVAL_S = 0.25
AWAIT_PROXIES = 4


class ServerReport(NamedTuple):
    """A server's report of its own state.

    `received` is the position that it would start from if promoted now.
    """

    is_primary: bool
    term: int
    received: LogPosition


class Leader(NamedTuple):
    """The primary of the highest reported term of a group, and that term.

    `silent` are the servers of the group that gave no report.
    """

    name: str
    term: int
    silent: frozenset[str] = frozenset()


class Trigger(NamedTuple):
    """The reason to begin or resume a promotion."""

    reason: str
    planned: bool


def replicas_of(tables: FleetTables, record: GroupRecord) -> list[Server]:
    """Return the servers that receive the primary's log, sorted by name.

    Those that are leaving receive it until they end. Their positions confirm
    writes, so a promotion has to consider them as well.
    """
    return sorted(
        (
            server
            for server in tables.servers.values()
            if server.group == record.group and server.name != record.primary
        ),
        key=lambda server: server.name,
    )


def starts_of(tables: FleetTables, group: str) -> dict[str, int]:
    """Return the servers of a group and their starts, as a record has them."""
    return {
        server.name: server.born_ms
        for server in sorted(tables.servers.values())
        if server.group == group
    }


def former_primary(tables: FleetTables, record: GroupRecord) -> Server | None:
    """Return the recorded primary if it has kept its log, as far as is known.

    After another start, a server holds no earlier data.
    """
    server = tables.servers.get(record.primary)
    writes = group_state(tables, record.group).acknowledged
    if server is None or any(
        start.name == server.name for start in writes.ended_servers
    ):
        return None
    born_ms = record.servers.get(server.name, server.born_ms)
    return server if born_ms == server.born_ms else None


def unaccounted_servers(
    tables: FleetTables,
    found: GroupRecord,
    reported: Collection[str],
    received: LogPosition,
) -> list[str]:
    """Return the servers that may have received more than a position.

    Those are the ones without a report: the group's servers as they are
    listed, those that were listed when its primary began to lead, and those
    that have ended since, unless all that they may have confirmed is known to
    precede the position. The primary confirms nothing.

    Parameters
    ----------
    tables : FleetTables
    found : GroupRecord
        As it was found, before the present attempt of a promotion. If it was
        restored, another server may lead, and one report may be missing.
    reported : collection of str
    received : LogPosition
        The highest that was reported.
    """
    writes = group_state(tables, found.group).acknowledged
    starts = starts_of(tables, found.group)
    ended = dict(writes.ended_servers)
    for name, born_ms in found.servers.items():
        if starts.get(name) != born_ms:
            ended.setdefault(ServerStart(name, born_ms), writes.lead)
    lost = {
        start.name
        for start, bound in ended.items()
        if may_be_lacking(bound, received)
    }
    missing = starts.keys() - set(reported) | lost
    if is_unverified(found):
        return [] if len(missing) <= 1 else sorted(missing)
    return sorted(missing - {found.primary})


def await_interval_s(tables: FleetTables, now: float) -> float:
    """Return the time between two requests to a server that is awaited."""
    live = 1 + sum(
        now - peer.heard_at < PEER_LIVE_S for peer in tables.peers.values()
    )
    return AWAIT_INTERVAL_S * max(live / AWAIT_PROXIES, 1)


def promotion_trigger(
    tables: FleetTables, name: str, now: float, *, missing_is_gone: bool = True
) -> Trigger | None:
    """Return the reason to replace a group's primary, or None.

    Parameters
    ----------
    tables : FleetTables
    name : str
        Of the group.
    now : float
        Seconds.
    missing_is_gone : bool
        Whether a server without an entry is certain to be gone.
    """
    group = group_state(tables, name)
    record = group.record
    if record is None or record.changing or tables.draining:
        return None
    replicas = replicas_of(tables, record)
    if not replicas:
        return None
    primary = tables.servers.get(record.primary)
    load = server_load(tables, record.primary)
    if _is_to_be_replaced(primary, replicas):
        return Trigger('the primary is leaving', planned=True)
    if primary is None and not missing_is_gone:
        return None
    if primary is None:
        return Trigger('the primary is gone', planned=False)
    if load.unreachable_since is None:
        return None
    if now - load.unreachable_since < SUSPECT_S:
        return None
    contact_s = (
        PRIMARY_CONTACT_S
        if tables.relay_assignment is None
        else RELAYED_CONTACT_S
    )
    if any(
        now - peer.heard_at < PEER_LIVE_S
        and now - peer.primary_heard.get(name, -math.inf) < contact_s
        for peer in tables.peers.values()
    ):
        return None
    return Trigger('the primary gives no answer', planned=False)


def _is_to_be_replaced(primary: Server | None, replicas: list[Server]) -> bool:
    """Return whether a primary leaves and another server stays."""
    stays = any(not server.leaving for server in replicas)
    return primary is not None and primary.leaving and stays


def promotion_delay_s(tables: FleetTables, group: str, now: float) -> float:
    """Return the delay, in seconds, before this proxy starts a promotion.

    The delays of the live proxies rise in the order of their names, from an
    offset that depends on the group, so two seldom race for the same group.
    In a fleet with relays the delay is at most 0.2 s.
    """
    live = sorted(
        {tables.name}
        | {
            peer.name
            for peer in tables.peers.values()
            if now - peer.heard_at < PEER_LIVE_S and not peer.draining
        }
    )
    first_index = sum(group.encode()) % len(live)
    rank = (live.index(tables.name) - first_index) % len(live)
    if tables.relay_assignment is None:
        return STAGGER_S * rank
    return _relayed_delay_s(rank, len(live))


def _relayed_delay_s(rank: int, live: int) -> float:
    """Return the delay of a proxy in a fleet with relays.

    Examples
    --------
    >>> [round(_relayed_delay_s(rank, 300), 3) for rank in (0, 1, 2, 299)]
    [0.0, 0.08, 0.16, 0.2]
    """
    if rank < 2:
        return RELAYED_STAGGER_S * rank
    rest_s = RELAYED_MAX_DELAY_S - 2 * RELAYED_STAGGER_S
    return 2 * RELAYED_STAGGER_S + rest_s * rank / live


def best_replica(
    reports: Mapping[str, ServerReport],
    leaving: Collection[str] = (),
) -> str | None:
    """Return the server that has received the highest log position.

    Parameters
    ----------
    reports : mapping of str to ServerReport
        By server.
    leaving : collection of str
        Servers that others with the same position precede.

    Examples
    --------
    >>> best_replica({
    ...     'b': ServerReport(False, 3, LogPosition(3, 9)),
    ...     'c': ServerReport(False, 3, LogPosition(3, 7)),
    ... })
    'b'
    >>> best_replica({
    ...     'b': ServerReport(False, 3, LogPosition(3, 9)),
    ...     'c': ServerReport(False, 3, LogPosition(3, 9)),
    ... }, leaving={'b'})
    'c'
    """
    return max(
        reports,
        key=lambda name: (reports[name].received, name not in leaving),
        default=None,
    )


def is_unverified(record: GroupRecord) -> bool:
    """Return whether the servers have yet to confirm a record's primary.

    After the store was restored, records are marked as changing without a
    holder. Nobody has ordered a promotion then, so a primary that leads may
    stay one; in any other promotion it is to be replaced.

    Examples
    --------
    >>> is_unverified(GroupRecord('g', 'a', changing=True))
    True
    >>> is_unverified(GroupRecord('g', 'a', changing=True, holder='p1'))
    False
    >>> is_unverified(GroupRecord('g', 'a'))
    False
    """
    return record.changing and not record.holder


def is_only_leader(record: GroupRecord, leader: Leader) -> bool:
    """Return whether no silent server can lead a later term than a leader.

    An attempt of a promotion orders one server at most. So a single attempt has
    made no other server lead than the one that is found leading.

    Parameters
    ----------
    record : GroupRecord
        As it was found, before the present attempt.
    leader : Leader

    Examples
    --------
    >>> leader = Leader('b', 4, frozenset('c'))
    >>> begun = GroupRecord('g', 'a', 3, changing=True, holder='p1', attempts=1)
    >>> is_only_leader(begun, leader)
    True
    >>> is_only_leader(begun._replace(attempts=2), leader)
    False
    >>> is_only_leader(begun._replace(attempts=2), Leader('b', 4))
    True
    """
    is_recorded = (leader.name, leader.term) == (record.primary, record.term)
    return is_recorded or not leader.silent or record.attempts == 1


def leads_since(report: ServerReport | None, term: int) -> bool:
    """Return whether a server leads `term` or a later one.

    A server that still calls itself primary of an earlier term is superseded.

    Examples
    --------
    >>> leads_since(ServerReport(True, 3, LogPosition(3, 9)), 4)
    False
    """
    return report is not None and report.is_primary and report.term >= term


def lock_ends_at(holder: str, seen_at: float) -> float:
    """Return when another proxy may act as if the promotion lock had ended.

    Parameters
    ----------
    holder : str
        Empty while the lock is free.
    seen_at : float
        When the holder's last write of the lock was first seen, in seconds.

    Returns
    -------
    float
        Seconds; minus infinity while the lock is free.

    Examples
    --------
    >>> lock_ends_at('p1', 10.0), lock_ends_at('', 10.0)
    (12.5, -inf)
    """
    if not holder:
        return -math.inf
    return seen_at + LOCK_DURATION_S + RESUME_MARGIN_S


def order_deadline(held_until: float, now: float) -> float | None:
    """Return until when a promotion order may take, or None.

    The platform does not check fencing tokens, so an order that waits for a
    connection or in a socket must be given up before another proxy may acquire
    the lock.

    Parameters
    ----------
    held_until : float
        When the lock ends, in seconds.
    now : float
        Seconds.

    Returns
    -------
    float or None
        Seconds; None if the lock ends too soon to send an order.

    Examples
    --------
    >>> order_deadline(12.0, 10.0)
    11.5
    >>> order_deadline(12.0, 11.0)
    12.0
    >>> order_deadline(12.0, 11.8) is None
    True
    """
    if now > held_until - ORDER_MARGIN_S:
        return None
    return min(held_until, now + ORDER_TIMEOUT_S)
