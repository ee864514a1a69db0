"""The tables of a proxy that serves interactive sessions."""

import enum
import math
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from toucandeal.acknowledged_writes import (
    AcknowledgedWrites,
    begin_lead,
    note_departure,
    note_primary_position,
)
from toucandeal.backoff import Backoff
from toucandeal.configuration_freshness import ConfigurationFreshness
from toucandeal.departures import Departure
from toucandeal.domain_crossing import NOT_CROSSING, Crossing
from toucandeal.fleet import FleetConfiguration, GroupRecord, Server
from toucandeal.positions import NOTHING_SEEN, LogPosition
from toucandeal.primary_lease import (
    LEASE_DURATION_S,
    PrimaryLease,
    may_use_primary,
)
from toucandeal.relays import RelayAssignment
from toucandeal.staleness import History, Sample, add_sample

__all__ = [
    'CrossingState',
    'FleetTables',
    'GroupState',
    'PeerView',
    'PositionUse',
    'ServerLoad',
    'apply_configuration',
    'apply_record',
    'configuration_version',
    'group_state',
    'note_leading',
    'note_not_leading',
    'accepts_operations',
    'awaits_server',
    'is_confirmed',
    'record_position',
    'required_in_current_term',
    'server_load',
    'usable_primary',
]

INITIAL_LATENCY_S = 0.01  # assumed until the first measurement
LATENCY_WEIGHT = 0.2  # of a new measurement in the moving average
DRAIN_MARGIN_S = 0.5  # for the way to the server and from the store
ROUND_TRIP_WINDOW_S = 10  # in which the least round trip is sought


class ServerLoad:
    """This proxy's measurements of a server.

    `demand` is the number of connections that this proxy could use.
    """

    def __init__(self) -> None:
        """Start without measurements."""
        self.in_flight = 0
        self.waiting = 0
        self.demand = 0.0
        self.latency_s = INITIAL_LATENCY_S
        self.latency_at = -math.inf
        self.held: LogPosition = NOTHING_SEEN
        self.received: LogPosition = NOTHING_SEEN
        self.heard_at = -math.inf
        self.busy_since = -math.inf
        self.lagging_until = -math.inf
        self.avoided_until = -math.inf
        self.unreachable_since: float | None = None
        self._round_trips: dict[int, float] = {}  # the least of each second

    @property
    def least_round_trip_s(self) -> float:
        """Return the least round trip of the 10 s before the last one.

        An idle server keeps its last value, as distances seldom change.
        """
        return min(self._round_trips.values(), default=INITIAL_LATENCY_S)

    def observe_latency(self, seconds: float, now: float) -> None:
        """Add a measurement to the moving average."""
        self.latency_s += LATENCY_WEIGHT * (seconds - self.latency_s)
        self.latency_at = now

    def observe_round_trip(self, seconds: float, now: float) -> None:
        """Record the round trip of any request, also of one without work."""
        second = int(now)
        if second not in self._round_trips:
            self._round_trips = {
                earlier: least
                for earlier, least in self._round_trips.items()
                if earlier > second - ROUND_TRIP_WINDOW_S
            }
        least = self._round_trips.get(second, math.inf)
        self._round_trips[second] = min(least, seconds)


class CrossingState:
    """How a group's reads are divided between this domain and the others.

    `asked`, `kept` and `left` count reads since the last step: all of them,
    those served in this domain, and those that left it. `asked_mean` and
    `kept_mean` are averages for a step. `credit` and `turns` spread the reads
    that leave evenly, `logged` is the share in the last log line, and
    `wanted_at` the time of the last read that would have been late here.
    """

    def __init__(self) -> None:
        """Start with all reads in the domain."""
        self.now: Crossing = NOT_CROSSING
        self.destinations: frozenset[str] = frozenset()
        self.asked = 0
        self.kept = 0
        self.left = 0
        self.asked_mean = 0.0
        self.kept_mean = 0.0
        self.credit = 0.0
        self.turns: dict[str, float] = {}
        self.logged = 0.0
        self.wanted_at = -math.inf


class GroupState:
    """This proxy's view of a group.

    `epoch` increases whenever work in progress on the primary must no longer
    be acknowledged. `term_start` is the first position observed of a primary
    of the present term. Work in progress when a planned promotion begins may
    finish before `primary_work_until`. `backoff` sets the retry delay of
    refused callers. `not_leading` is the recorded primary, if it has answered
    that it does not lead, and `denied_at` the time of the last such answer.
    `lead_known_at` is the time from which this proxy knows that the recorded
    primary leads: what that server answers to a later statement, it answers as
    the primary. `acknowledged` is what is known of the acknowledged writes.
    Times are in seconds.
    """

    def __init__(self, name: str) -> None:
        """Start without a record."""
        self.name = name
        self.record: GroupRecord | None = None
        self.lead_known_at = -math.inf
        self.epoch = 0
        self.history: History = []
        self.term_start: LogPosition = NOTHING_SEEN
        self.primary_work_until = math.inf
        self.not_leading = ''
        self.denied_at = -math.inf
        self.backoff = Backoff()
        self.acknowledged = AcknowledgedWrites()
        self.crossing = CrossingState()


class PositionUse(enum.Enum):
    """What a position in a server's answer is used for."""

    NO_SAMPLE = 'no sample'  # the server may not be the present primary
    LATE = 'late'  # the server may have answered before it led
    FIRST_SAMPLE = 'first sample'  # of a record or a term
    SAMPLE = 'sample'


class PeerView(NamedTuple):
    """Another proxy, as of its last heartbeat.

    In a fleet with relays, a proxy that exchanges no heartbeats with this one
    is described by its registered row and by the relays' summaries.

    `demands` is the number of connections that it could use, by server, and
    `crossing_shares` the announced shares of reads that leave its failure
    domain, by group.
    """

    name: str
    incarnation: int
    address: str
    heard_at: float
    draining: bool
    counts_this_proxy: bool
    primary_heard: dict[str, float]
    demands: Mapping[str, float] = MappingProxyType({})
    failure_domain: str = ''
    store_era: int = 0
    crossing_shares: Mapping[str, float] = MappingProxyType({})


class FleetTables:
    """All tables of one proxy.

    `relay_assignment` is None while all proxies exchange heartbeats. Without
    `crossing_cost_s`, a constant factor decides which reads leave the failure
    domain. `replaces_registered` is whether an earlier process of this name
    was registered, and not silent, when this one started. A server that is
    leaving may get operations for `drain_s`; `departures` has the time at which
    it began to leave, by server. `requires_keys` is whether the settings say
    that the deployment has workspaces.
    """

    def __init__(self, name: str, failure_domain: str) -> None:
        """Start with empty tables."""
        self.name = name
        self.failure_domain = failure_domain
        self.configuration: FleetConfiguration | None = None
        self.servers: dict[str, Server] = {}
        self.loads: dict[str, ServerLoad] = {}
        self.groups: dict[str, GroupState] = {}
        self.peers: dict[str, PeerView] = {}
        self.primary_lease = PrimaryLease(name)
        self.configuration_freshness = ConfigurationFreshness()
        self.draining = False
        self.replaces_registered = False
        self.relay_assignment: RelayAssignment | None = None
        self.crossing_cost_s: float | None = None
        self.drain_s = math.inf
        self.departures: dict[str, Departure] = {}
        self.requires_keys = False


def group_state(tables: FleetTables, name: str) -> GroupState:
    """Return the state of a group, created if there is none."""
    return tables.groups.setdefault(name, GroupState(name))


def server_load(tables: FleetTables, name: str) -> ServerLoad:
    """Return the measurements of a server, created if there are none."""
    if name not in tables.loads:
        tables.loads[name] = ServerLoad()
    return tables.loads[name]


def configuration_version(tables: FleetTables) -> int:
    """Return the version of the configuration in force; 0 if there is none."""
    return 0 if tables.configuration is None else tables.configuration.version


def apply_configuration(
    tables: FleetTables, update: FleetConfiguration
) -> bool:
    """Put a configuration in force unless it is outdated.

    A list of workspaces says that callers need keys, also an empty one. If the
    settings say so too, a later version without a list does not take it back.
    """
    current = tables.configuration
    if current is not None and update.version <= current.version:
        return False
    had_workspaces = current is not None and current.has_workspaces
    if tables.requires_keys and had_workspaces and not update.has_workspaces:
        update = update._replace(workspaces={})
    tables.configuration = update
    return True


def apply_record(tables: FleetTables, update: GroupRecord, now: float) -> bool:
    """Apply a group's record unless it is outdated.

    Parameters
    ----------
    tables : FleetTables
    update : GroupRecord
    now : float
        Seconds.

    Returns
    -------
    bool
        Whether the record has changed.
    """
    group = group_state(tables, update.group)
    current = group.record
    if current is not None and update.version <= current.version:
        return False
    if current is None or _invalidates_primary_work(current, update):
        group.epoch += 1
    if current is None:
        # Proxies that are not registered now had a lease for this long.
        note_departure(group.acknowledged, now + LEASE_DURATION_S)
    elif _succeeds(current, update):
        begin_lead(group.acknowledged, now)
        _forget_received(tables, update.group)
    if not update.changing:
        group.primary_work_until = math.inf
        group.lead_known_at = now
    if current is not None and _begins_lead(current, update):
        # As long as a server does not lead, nobody checks whether it is back.
        server_load(tables, update.primary).unreachable_since = None
        group.history.clear()
        group.term_start = NOTHING_SEEN
        group.not_leading = ''
    group.record = update
    return True


def _invalidates_primary_work(
    current: GroupRecord, update: GroupRecord
) -> bool:
    begun = update.changing and not update.planned
    return begun or _begins_lead(current, update)


def _begins_lead(current: GroupRecord, update: GroupRecord) -> bool:
    """Return whether a record is of another lead than the one before it.

    A server leads again in a later term. What it has committed in the earlier
    one may be lost, as others may have led between two records that this proxy
    has seen.
    """
    return (update.primary, update.term) != (current.primary, current.term)


def _succeeds(current: GroupRecord, update: GroupRecord) -> bool:
    """Return whether another server leads than before, in a later term.

    The records of a restored store are older than what proxies remember.
    """
    return update.primary != current.primary and update.term > current.term


def _forget_received(tables: FleetTables, group: str) -> None:
    """Forget what servers had received; those that were ahead roll back."""
    for server in tables.servers.values():
        if server.group == group:
            server_load(tables, server.name).received = NOTHING_SEEN


def note_not_leading(tables: FleetTables, server: Server, now: float) -> None:
    """Note that a server has answered that it does not lead its group.

    If it is the recorded primary, another one may lead, whose commits it does
    not know. What it said before counts no more, in spite of a valid lease.
    """
    group = group_state(tables, server.group)
    is_recorded = (
        group.record is not None and group.record.primary == server.name
    )
    if is_recorded:
        group.denied_at = now
    if is_recorded and group.not_leading != server.name:
        group.not_leading = server.name
        group.epoch += 1
        group.history.clear()


def note_leading(
    tables: FleetTables, server: Server, sent_at: float, now: float
) -> None:
    """Note that a server has reported that it leads its group.

    A report that was requested at `sent_at`, before the server denied to lead,
    may be older than the denial.
    """
    group = group_state(tables, server.group)
    if group.not_leading == server.name and sent_at >= group.denied_at:
        group.not_leading = ''
        group.lead_known_at = now


def accepts_operations(tables: FleetTables, name: str, now: float) -> bool:
    """Return whether a server has not been leaving for too long.

    After the drain time it may end at any moment.
    """
    departure = tables.departures.get(name)
    if departure is None:
        return True
    return now < departure.earliest + tables.drain_s - DRAIN_MARGIN_S


def usable_primary(tables: FleetTables, name: str, now: float) -> Server | None:
    """Return the primary that the lease allows to use now, or None."""
    group = group_state(tables, name)
    current = group.record
    if not may_use_primary(tables.primary_lease, current, now):
        return None
    if current.primary == group.not_leading:
        return None
    return tables.servers.get(current.primary)


def awaits_server(tables: FleetTables, name: str) -> bool:
    """Return whether a group lacks a primary until a server answers.

    No replica can take over from its primary, which gives no answer, without
    the report of that server.
    """
    record = group_state(tables, name).record
    if record is None or not record.awaited:
        return False
    load = server_load(tables, record.primary)
    return (
        record.primary not in tables.servers
        or load.unreachable_since is not None
    )


def record_position(
    tables: FleetTables,
    server: Server,
    position: LogPosition,
    sent_at: float,
    now: float,
) -> PositionUse:
    """Record the position in a server's answer.

    A primary's position is a sample for replica reads. It counts only while
    this proxy has a lease on that primary, so no sample comes from a
    superseded primary, and only if its statement was sent after this proxy
    had applied the record. An earlier one may have been answered while the
    server was a replica that had not applied all that it had received.

    Parameters
    ----------
    tables : FleetTables
    server : Server
    position : LogPosition
    sent_at : float
        When the statement was sent, in seconds.
    now : float
        Seconds.
    """
    load = server_load(tables, server.name)
    load.held = max(load.held, position)
    load.received = max(load.received, position)
    load.heard_at = now
    primary = usable_primary(tables, server.group, now)
    if primary is None or primary.name != server.name:
        return PositionUse.NO_SAMPLE
    group = group_state(tables, server.group)
    if sent_at < group.lead_known_at:
        return PositionUse.LATE
    if position.term > group.term_start.term:
        group.history.clear()
        group.term_start = position
    note_primary_position(group.acknowledged, position, sent_at)
    is_first = not group.history
    add_sample(group.history, Sample(position, sent_at))
    return PositionUse.FIRST_SAMPLE if is_first else PositionUse.SAMPLE


def required_in_current_term(
    group: GroupState, seen: LogPosition
) -> LogPosition:
    """Return the position that satisfies `seen` in the present term.

    Entries that an earlier term confirmed and a promotion kept precede the
    first known position of the present term. The other entries of the earlier
    term are lost.
    """
    if seen == NOTHING_SEEN or seen.term >= group.term_start.term:
        return seen
    return group.term_start


def is_confirmed(
    tables: FleetTables, group: str, primary: str, position: LogPosition
) -> bool:
    """Return whether some replica has received `position`, or there is none."""
    others = [
        server
        for server in tables.servers.values()
        if server.group == group and server.name != primary
    ]
    received = [server_load(tables, server.name).received for server in others]
    return not others or any(
        held.term == position.term and held >= position for held in received
    )
