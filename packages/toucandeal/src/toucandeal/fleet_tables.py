"""The tables of a proxy that serves interactive sessions."""

import math
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from toucandeal.backoff import Backoff
from toucandeal.fleet import FleetConfiguration, GroupRecord, Server
from toucandeal.permissions import Permissions, may_work_with_primary
from toucandeal.positions import NOTHING_SEEN, LogPosition
from toucandeal.staleness import History, Sample, record

__all__ = [
    'FleetTables',
    'GroupState',
    'PeerView',
    'ServerLoad',
    'group_state',
    'has_confirmed',
    'learn_configuration',
    'learn_record',
    'primary_of',
    'record_position',
    'required_since_term',
    'server_load',
]

FIRST_LATENCY_S = 0.01  # assumed for a server that has answered nothing yet
LATENCY_WEIGHT = 0.2  # of a new observation in the moving average


class ServerLoad:
    """What this proxy has observed of a server.

    `demand` is the number of connections that it could use.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.in_flight = 0
        self.waiting = 0
        self.demand = 0.0
        self.latency_s = FIRST_LATENCY_S
        self.held: LogPosition = NOTHING_SEEN
        self.received: LogPosition = NOTHING_SEEN
        self.heard_at = -math.inf
        self.busy_since = -math.inf
        self.lagging_until = -math.inf
        self.shunned_until = -math.inf
        self.unreachable_since: float | None = None

    def observe_latency(self, seconds: float) -> None:
        """Add an observation to the moving average."""
        self.latency_s += LATENCY_WEIGHT * (seconds - self.latency_s)


class GroupState:
    """What this proxy knows of a group.

    `epoch` changes whenever primary work that is under way must no longer be
    acknowledged. `term_start` is the lowest position that a primary of the
    present term has been seen at. Work that is under way when a planned
    promotion begins may end until `work_until`. `backoff` tells refused callers
    when to come back.
    """

    def __init__(self, name: str) -> None:
        """Start without a record."""
        self.name = name
        self.record: GroupRecord | None = None
        self.epoch = 0
        self.history: History = []
        self.term_start: LogPosition = NOTHING_SEEN
        self.work_until = math.inf
        self.backoff = Backoff()


class PeerView(NamedTuple):
    """Another proxy, as its last message describes it.

    `demands` is how many connections it could use, by server.
    """

    name: str
    incarnation: int
    address: str
    heard_at: float
    draining: bool
    counts_me: bool
    primary_heard: dict[str, float]
    demands: Mapping[str, float] = MappingProxyType({})
    failure_domain: str = ''


class FleetTables:
    """All tables of one proxy."""

    def __init__(self, name: str, failure_domain: str) -> None:
        """Start with empty tables."""
        self.name = name
        self.failure_domain = failure_domain
        self.configuration: FleetConfiguration | None = None
        self.servers: dict[str, Server] = {}
        self.loads: dict[str, ServerLoad] = {}
        self.groups: dict[str, GroupState] = {}
        self.peers: dict[str, PeerView] = {}
        self.permissions = Permissions(name)
        self.draining = False


def group_state(tables: FleetTables, name: str) -> GroupState:
    """Return the state of a group; a new one where there is none."""
    return tables.groups.setdefault(name, GroupState(name))


def server_load(tables: FleetTables, name: str) -> ServerLoad:
    """Return the observations of a server."""
    if name not in tables.loads:
        tables.loads[name] = ServerLoad()
    return tables.loads[name]


def learn_configuration(
    tables: FleetTables, learned: FleetConfiguration
) -> bool:
    """Put a configuration in force unless it is an older one."""
    current = tables.configuration
    if current is not None and learned.version <= current.version:
        return False
    tables.configuration = learned
    return True


def learn_record(tables: FleetTables, learned: GroupRecord) -> bool:
    """Take in a group's record unless it is an older one.

    Returns
    -------
    bool
        Whether the record has changed.
    """
    group = group_state(tables, learned.group)
    current = group.record
    if current is not None and learned.version <= current.version:
        return False
    if current is None or _ends_work(current, learned):
        group.epoch += 1
    if not learned.changing:
        group.work_until = math.inf
    if current is not None and learned.primary != current.primary:
        group.history.clear()
        group.term_start = NOTHING_SEEN
    group.record = learned
    return True


def _ends_work(current: GroupRecord, learned: GroupRecord) -> bool:
    begun = learned.changing and not learned.planned
    return begun or learned.primary != current.primary


def primary_of(tables: FleetTables, name: str, now: float) -> Server | None:
    """Return the primary that may be worked with now, if there is one."""
    current = group_state(tables, name).record
    if not may_work_with_primary(tables.permissions, current, now):
        return None
    return tables.servers.get(current.primary)


def record_position(
    tables: FleetTables,
    server: Server,
    position: LogPosition,
    sent_at: float,
    now: float,
) -> None:
    """Take in the position that a server's answer carries.

    A primary's position is a sample for replica reads. It counts only while
    this proxy may work with that primary, so no sample is of a primary that
    has been superseded.
    """
    load = server_load(tables, server.name)
    load.held = max(load.held, position)
    load.received = max(load.received, position)
    load.heard_at = now
    primary = primary_of(tables, server.group, now)
    if primary is None or primary.name != server.name:
        return
    group = group_state(tables, server.group)
    if position.term > group.term_start.term:
        group.history.clear()
        group.term_start = position
    record(group.history, Sample(position, sent_at))


def required_since_term(group: GroupState, seen: LogPosition) -> LogPosition:
    """Return what a session's position asks for in the present term.

    What an earlier term confirmed and a promotion kept stands below the
    present term's first known position; the rest is gone for good.
    """
    if seen == NOTHING_SEEN or seen.term >= group.term_start.term:
        return seen
    return group.term_start


def has_confirmed(
    tables: FleetTables, group: str, primary: str, position: LogPosition
) -> bool:
    """Return whether a replica surely holds what `position` stands for."""
    others = [
        server
        for server in tables.servers.values()
        if server.group == group and server.name != primary
    ]
    received = [server_load(tables, server.name).received for server in others]
    return not others or any(
        held.term == position.term and held >= position for held in received
    )
