"""What proxies know of the writes that were acknowledged in a group.

A promotion must keep every acknowledged write. There are two proofs that a
replica has them all:

- Each proxy tells up to which position it has acknowledged writes, and the
  replica has received that much, whichever server is silent.
- Each server that may have confirmed a write reports less than the replica. A
  write is acknowledged once one replica has received it, so no report may be
  missing.

What has ended gives no answer and no report. Everything that it acknowledged
or confirmed precedes the answers that the primary gives afterwards, so the
position in the first of them stands for it.

The number of replicas that a primary waits for does not weaken the second
proof: it may have been lower when a write was acknowledged.
"""

import math
from collections.abc import Collection, Iterable
from typing import NamedTuple

from toucandeal.positions import NOTHING_SEEN, LogPosition

__all__ = [
    'Acknowledged',
    'AcknowledgedWrites',
    'Bound',
    'FleetAcknowledged',
    'ServerStart',
    'acknowledged_by',
    'begin_lead',
    'combine_acknowledged',
    'has_acknowledged_writes',
    'may_be_lacking',
    'note_acknowledged',
    'note_departure',
    'note_primary_position',
    'note_server_ended',
    'note_server_listed',
]


class Bound(NamedTuple):
    """A position that nothing acknowledged before `since` exceeds.

    It is that of the first answer of the primary to a statement sent at
    `since` or later, in seconds; None until there is one.
    """

    since: float
    position: LogPosition | None = None


class ServerStart(NamedTuple):
    """One start of a server; a later one of its name holds no earlier data."""

    name: str
    born_ms: int


class Acknowledged(NamedTuple):
    """The writes that a proxy has acknowledged in a group.

    `own` is the last position that this process has acknowledged, and
    `earlier` a bound on those of its earlier processes, None if unknown.
    """

    own: LogPosition
    earlier: LogPosition | None


class FleetAcknowledged(NamedTuple):
    """The writes that all proxies have acknowledged in a group.

    `least` is the last position that is known to be acknowledged, and `most`
    one that no acknowledged position exceeds, None if unknown.
    """

    least: LogPosition
    most: LogPosition | None


class AcknowledgedWrites:
    """What a proxy knows of the writes acknowledged under a primary.

    `own` is the last position that this process has acknowledged. The bounds
    stand for the earlier processes of this proxy, for proxies that are not
    registered any more, for servers that were gone when the lead began, and
    for the starts of servers that have ended since.
    """

    def __init__(self) -> None:
        """Start as a process that may have had predecessors."""
        self.own: LogPosition = NOTHING_SEEN
        self.earlier = Bound(-math.inf)
        self.departed = Bound(-math.inf)
        self.lead = Bound(-math.inf)
        self.ended_servers: dict[ServerStart, Bound] = {}
        self.is_bounded = False


def begin_lead(writes: AcknowledgedWrites, now: float) -> None:
    """Note that another server leads, with all writes acknowledged before.

    Examples
    --------
    >>> writes = AcknowledgedWrites()
    >>> begin_lead(writes, 5.0)
    >>> acknowledged_by(writes).earlier == NOTHING_SEEN
    True
    """
    writes.own = NOTHING_SEEN
    writes.earlier = Bound(-math.inf, NOTHING_SEEN)
    is_past = writes.departed.since <= now
    writes.departed = writes.departed._replace(
        position=NOTHING_SEEN if is_past else None
    )
    writes.lead = Bound(now)
    writes.ended_servers.clear()
    writes.is_bounded = False


def note_acknowledged(
    writes: AcknowledgedWrites, position: LogPosition
) -> None:
    """Note that this proxy acknowledges a write."""
    writes.own = max(writes.own, position)


def note_departure(writes: AcknowledgedWrites, since: float) -> None:
    """Note that a proxy is not registered; its lease has expired at `since`."""
    writes.departed = Bound(max(since, writes.departed.since))
    writes.is_bounded = False


def note_server_ended(
    writes: AcknowledgedWrites, start: ServerStart, now: float
) -> None:
    """Note that a server is gone, or has started again."""
    writes.ended_servers.setdefault(start, Bound(now))
    writes.is_bounded = False


def note_server_listed(writes: AcknowledgedWrites, start: ServerStart) -> None:
    """Note that a server is there, also one that seemed to be gone."""
    writes.ended_servers.pop(start, None)


def note_primary_position(
    writes: AcknowledgedWrites, position: LogPosition, sent_at: float
) -> None:
    """Note the position in a primary's answer to a statement.

    Examples
    --------
    >>> writes = AcknowledgedWrites()
    >>> note_server_ended(writes, ServerStart('b', 1), 10.0)
    >>> note_primary_position(writes, LogPosition(3, 7), sent_at=9.0)
    >>> note_primary_position(writes, LogPosition(3, 9), sent_at=11.0)
    >>> writes.ended_servers[ServerStart('b', 1)].position
    LogPosition(term=3, index=9)
    """
    if writes.is_bounded:
        return
    writes.earlier = _bounded(writes.earlier, position, sent_at)
    writes.departed = _bounded(writes.departed, position, sent_at)
    writes.lead = _bounded(writes.lead, position, sent_at)
    writes.ended_servers = {
        start: _bounded(bound, position, sent_at)
        for start, bound in writes.ended_servers.items()
    }
    bounds = (
        writes.earlier,
        writes.departed,
        writes.lead,
        *writes.ended_servers.values(),
    )
    writes.is_bounded = all(bound.position is not None for bound in bounds)


def acknowledged_by(writes: AcknowledgedWrites) -> Acknowledged:
    """Return what this proxy, and earlier processes of it, acknowledged."""
    return Acknowledged(writes.own, writes.earlier.position)


def combine_acknowledged(
    answers: Iterable[Acknowledged | None], departed: Bound
) -> FleetAcknowledged:
    """Return what all proxies have acknowledged.

    Parameters
    ----------
    answers : iterable of Acknowledged or None
        One of each registered proxy; None if it gave none.
    departed : Bound
        For the proxies that are not registered any more.

    Examples
    --------
    >>> departed = Bound(0.0, NOTHING_SEEN)
    >>> answer = Acknowledged(LogPosition(3, 9), NOTHING_SEEN)
    >>> combine_acknowledged([answer], departed).most
    LogPosition(term=3, index=9)
    >>> combine_acknowledged([answer, None], departed).most is None
    True
    """
    given = list(answers)
    known = [answer for answer in given if answer is not None]
    least = max((answer.own for answer in known), default=NOTHING_SEEN)
    bounds = [answer.earlier for answer in known]
    bounds.append(departed.position)
    if len(known) < len(given) or None in bounds:
        return FleetAcknowledged(least, None)
    return FleetAcknowledged(least, max(least, *bounds))


def may_be_lacking(bound: Bound, received: LogPosition) -> bool:
    """Return whether a log may lack something that a bound stands for.

    Examples
    --------
    >>> may_be_lacking(Bound(0.0, LogPosition(3, 9)), LogPosition(3, 9))
    False
    >>> may_be_lacking(Bound(0.0), LogPosition(3, 9))
    True
    """
    return bound.position is None or bound.position > received


def has_acknowledged_writes(
    received: LogPosition,
    acknowledged: FleetAcknowledged,
    unaccounted: Collection[str],
) -> bool:
    """Return whether a replica is certain to have all acknowledged writes.

    Addresses a replica that receives nothing for a while and is the only one
    that answers when the primary fails.

    Parameters
    ----------
    received : LogPosition
        Of the replica, the highest among the reports.
    acknowledged : FleetAcknowledged
    unaccounted : collection of str
        Servers without a report that may have received more.

    Examples
    --------
    >>> position = LogPosition(3, 9)
    >>> unknown = FleetAcknowledged(NOTHING_SEEN, None)
    >>> has_acknowledged_writes(position, unknown, [])
    True
    >>> has_acknowledged_writes(position, unknown, ['b'])
    False
    >>> known = FleetAcknowledged(position, position)
    >>> has_acknowledged_writes(position, known, ['b'])
    True
    """
    if received < acknowledged.least:
        return False
    if acknowledged.most is not None and received >= acknowledged.most:
        return True
    return not unaccounted


def _bounded(bound: Bound, position: LogPosition, sent_at: float) -> Bound:
    if bound.position is None and sent_at >= bound.since:
        return bound._replace(position=position)
    return bound
