"""The positions that reads on replicas require, in a model of one group.

Run this module by ``python -m`` to try many more examples.
"""

import itertools
import math
from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from toucandeal.fleet import GroupRecord, ProxyRecord, RouteKind, Server
from toucandeal.fleet_tables import (
    FleetTables,
    apply_record,
    note_leading,
    note_not_leading,
    record_position,
    usable_primary,
)
from toucandeal.placement import (
    FRESHNESS_MARGIN_S,
    Placement,
    place_read,
    place_write,
)
from toucandeal.positions import NOTHING_SEEN, LogPosition
from toucandeal.primary_lease import (
    PeerLeaseReport,
    leases_expired_at,
    record_store_read,
    renew_from_peer,
)
from toucandeal.store_versions import StoreVersion
from toucandeal.tests.sample_tables import new_route

SERVERS = ('a', 'b', 'c')
OFFSETS = (0.0, 5000.0, -70.0)
STEP_S = 0.001  # no two events happen at the same time
AGE_LIMITS_S = (1.5, 2.5)
READ_KINDS = (RouteKind.BOUNDED_STALENESS, RouteKind.READ_YOUR_WRITES)
WAITS_S = st.sampled_from((0.01, 0.1, 0.3, 0.6))
ANY_SERVER = st.sampled_from(SERVERS)
SOME_SERVERS = st.lists(ANY_SERVER, min_size=1, max_size=3, unique=True)
APPLIED = st.integers(0, 2)
KINDS = st.sampled_from(('read', 'read', 'write', 'report'))
SENT, ANSWERED, DELIVERED = range(3)  # the stages of a statement
STAGES = st.sampled_from((SENT, ANSWERED, ANSWERED, DELIVERED))
MESSAGES = st.sampled_from(('read', 'record', 'heartbeat'))
BEGUN, EFFECTIVE, SETTLED, KNOWN = range(4)  # the stages of a promotion
STEP_DOWN, NO_ORDER = 'step down', 'no order'
EFFECTS = st.sampled_from((*SERVERS, *SERVERS, STEP_DOWN, NO_ORDER))
UNTIL = st.sampled_from((KNOWN, KNOWN, KNOWN, SETTLED, EFFECTIVE, BEGUN))
MOST_MESSAGES = 12
CHOICE = st.integers(0, 11)


class LogServer:
    """A server with a log, of which it has applied a prefix.

    `term` is that of the lead that it has or follows.
    """

    def __init__(self, entries):
        self.received = list(entries)
        self.applied = len(self.received)
        self.term = 1
        self.leads = False

    @property
    def position(self):
        return self.received[self.applied - 1]

    def commit(self):
        self.received.append(LogPosition(self.term, len(self.received) + 1))
        self.applied = len(self.received)

    def lead(self, term):
        self.applied = len(self.received)
        self.term = term
        self.leads = True

    def follow(self, leader, count):
        """Drop what the leader lacks, and receive up to `count` entries."""
        pairs = zip(self.received, leader.received, strict=False)
        common = sum(own == other for own, other in pairs)
        del self.received[common:]
        self.received.extend(leader.received[common : common + count])
        self.applied = min(self.applied, common)
        self.term = leader.term
        self.leads = False


class Call(NamedTuple):
    """A statement, or a request for a report, of a proxy to a server."""

    proxy: str
    server: str
    kind: str
    sent_at: float
    epoch: int


class Answer(NamedTuple):
    """A server's answer; `leads` is whether the server led."""

    call: Call
    position: LogPosition
    leads: bool


class Commit(NamedTuple):
    """An acknowledged commit."""

    entry: LogPosition
    proxy: str
    acknowledged_at: float


class SampleSoundness(RuleBasedStateMachine):
    """A group of three servers, with messages that are late or lost.

    A proxy sends statements to any server, and the answers arrive in any
    order. Records reach a proxy late, and it may miss some. A promotion takes
    effect once no proxy may use the old primary. Any server may be promoted,
    and more than one before the record is settled. Each proxy has one session.
    A commit that a promotion has rolled back does not count any more.
    """

    names = ('p1', 'p2')

    @initialize()
    def begin(self):
        self.now = 100.0
        self.offsets = dict(zip(self.names, OFFSETS, strict=False))
        self.proxies = {
            name: ProxyRecord(name, 1, f'{name}:1') for name in self.names
        }
        first = LogPosition(1, 1)
        self.servers = {name: LogServer([first]) for name in SERVERS}
        self.servers['a'].lead(1)
        self.leader = 'a'
        self.term = 1
        self.prefixes = {first: frozenset((first,))}
        self.rolled_back = set()
        self.commits = []
        self.seen = dict.fromkeys(self.names, NOTHING_SEEN)
        self.records = [GroupRecord('g', 'a', 1, version=StoreVersion(0, 1))]
        self.promotion = None
        self.granted_at = dict.fromkeys(self.names, -math.inf)
        self.calls = []
        self.answers = []
        self.messages = []
        self.checked = {}
        self.tables = {name: self._new_tables(name) for name in self.names}
        for name in self.names:
            self._renew(name)

    def _new_tables(self, name):
        tables = FleetTables(name, 'd')
        for server in SERVERS:
            tables.servers[server] = Server(
                server, 'g', '', 'd', 1, False, False
            )
        return tables

    def _clock(self, name):
        return self.now + self.offsets[name]

    def _proxy(self, choice):
        return self.names[choice % len(self.names)]

    def _step(self):
        self.now += STEP_S

    # Servers

    def _commit(self, server):
        server.commit()
        entry = server.position
        self.prefixes[entry] = frozenset(server.received)

    @rule(
        names=SOME_SERVERS,
        choice=CHOICE,
        received=st.integers(0, 6),
        applied=APPLIED,
    )
    def replicate(self, names, choice, received, applied):
        """Receive entries from a server that leads, and apply some."""
        self._step()
        for name in names:
            server = self.servers[name]
            leaders = [
                other
                for other in self.servers.values()
                if other is not server
                and other.leads
                and other.term >= server.term
            ]
            if leaders and received:
                server.follow(leaders[choice % len(leaders)], received)
            server.applied = min(server.applied + applied, len(server.received))

    # Statements

    def _send(self, name, server, kind):
        tables = self.tables[name]
        self._step()
        usable = usable_primary(tables, 'g', self._clock(name))
        if kind == 'write' and (usable is None or usable.name != server):
            return
        epoch = tables.groups['g'].epoch
        self.calls.append(Call(name, server, kind, self._clock(name), epoch))

    def _answer(self, index):
        self._step()
        call = self.calls.pop(index)
        server = self.servers[call.server]
        if call.kind == 'write' and server.leads:
            self._commit(server)
        self.answers.append(Answer(call, server.position, server.leads))

    def _deliver(self, index):
        self._step()
        call, position, leads = self.answers.pop(index)
        tables = self.tables[call.proxy]
        server = tables.servers[call.server]
        now = self._clock(call.proxy)
        if call.kind == 'report' and leads:
            note_leading(tables, server, call.sent_at, now)
        elif call.kind != 'read' and not leads:
            note_not_leading(tables, server, now)
        record_position(tables, server, position, call.sent_at, now)
        if call.kind == 'write' and leads:
            self._acknowledge(call, position)

    def _acknowledge(self, call, entry):
        tables = self.tables[call.proxy]
        primary = usable_primary(tables, 'g', self._clock(call.proxy))
        if primary is None or tables.groups['g'].epoch != call.epoch:
            return
        self.commits.append(Commit(entry, call.proxy, self.now))
        self.seen[call.proxy] = max(self.seen[call.proxy], entry)

    @rule(
        proxy=CHOICE,
        count=st.integers(1, 3),
        names=SOME_SERVERS,
        applied=APPLIED,
    )
    def commit(self, proxy, count, names, applied):
        """Commit at the primary; some servers receive it."""
        name = self._proxy(proxy)
        for _ in range(count):
            primary = usable_primary(self.tables[name], 'g', self._clock(name))
            if primary is not None:
                self._call(name, primary.name, 'write', DELIVERED)
        self.replicate(names, 0, count, applied)

    @precondition(lambda self: len(self.calls) < MOST_MESSAGES)
    @rule(proxy=CHOICE, servers=SOME_SERVERS, kind=KINDS, until=STAGES)
    def call(self, proxy, servers, kind, until):
        for server in servers:
            self._call(self._proxy(proxy), server, kind, until)

    def _call(self, name, server, kind, until):
        sent = len(self.calls)
        self._send(name, server, kind)
        if len(self.calls) > sent and until >= ANSWERED:
            self._answer(-1)
            if until >= DELIVERED:
                self._deliver(-1)

    @precondition(lambda self: self.calls or self.answers)
    @rule(choice=CHOICE, count=st.integers(1, 6))
    def advance(self, choice, count):
        """Let statements reach their servers, or answers their proxies."""
        for _ in range(count):
            waiting = len(self.calls) + len(self.answers)
            index = choice % waiting if waiting else 0
            if index < len(self.answers):
                self._deliver(index)
            elif waiting:
                self._answer(index - len(self.answers))

    # Leases and records

    def _renew(self, name):
        self._deliver_read(name, self._clock(name), self.records[-1])

    def _deliver_read(self, name, sent_at, record):
        self._step()
        tables = self.tables[name]
        apply_record(tables, record, self._clock(name))
        record_store_read(tables.primary_lease, sent_at, self.proxies)

    @precondition(lambda self: len(self.messages) < MOST_MESSAGES)
    @rule(proxy=CHOICE, sender=CHOICE, kind=MESSAGES, is_late=st.booleans())
    def send_message(self, proxy, sender, kind, is_late):
        """Send a proxy what may renew its lease, or a copy of the record."""
        self._step()
        name = self._proxy(proxy)
        if kind == 'heartbeat':
            message = self._heartbeat(self._proxy(sender), name)
        elif kind == 'record':
            message = (self._deliver_record, name, self.records[-1])
        else:
            sent_at = self._clock(name)
            message = (self._deliver_read, name, sent_at, self.records[-1])
        self.messages.append(message)
        if not is_late:
            self.deliver_message(-1)

    @precondition(lambda self: self.messages)
    @rule(choice=CHOICE)
    def deliver_message(self, choice):
        self._step()
        deliver, *message = self.messages.pop(choice % len(self.messages))
        deliver(*message)

    def _deliver_record(self, name, record):
        apply_record(self.tables[name], record, self._clock(name))

    def _heartbeat(self, sender, to):
        """Return a heartbeat that echoes a message that `to` has just sent."""
        lease = self.tables[sender].primary_lease
        none_begun = not lease.promoting_groups
        if none_begun:
            self.granted_at[sender] = self._clock(sender)
        report = PeerLeaseReport(
            sender,
            1,
            self.tables[sender].groups['g'].record.version,
            self._clock(sender) - lease.store_as_of,
            none_begun,
        )
        return self._deliver_heartbeat, to, report, self._clock(to)

    def _deliver_heartbeat(self, to, report, sent_after):
        tables = self.tables[to]
        version = tables.groups['g'].record.version
        renew_from_peer(tables.primary_lease, report, version, sent_after)

    @rule(seconds=WAITS_S)
    def wait(self, seconds):
        self.now += seconds

    # Promotions

    def _write_record(self, **changes):
        latest = self.records[-1]
        version = latest.version._replace(number=latest.version.number + 1)
        self.records.append(latest._replace(version=version, **changes))

    @rule(proxy=CHOICE, effect=EFFECTS, until=UNTIL, is_busy=st.booleans())
    def promote(self, proxy, effect, until, is_busy):
        """Carry out a promotion, new or under way, up to a stage.

        If the proxies are busy, answers are under way to them meanwhile.
        """
        if is_busy and len(self.answers) < MOST_MESSAGES:
            for name, server in itertools.product(self.names, SERVERS):
                self._call(name, server, 'read', ANSWERED)
        if self.promotion is None:
            self._begin_promotion(self._proxy(proxy))
        if until >= EFFECTIVE:
            self._stop_work()
            self._take_effect(effect)
        if until >= SETTLED and self.servers[self.leader].leads:
            self._settle()
            if until >= KNOWN:
                for name in self.names:
                    self._renew(name)

    def _begin_promotion(self, name):
        self._step()
        tables = self.tables[name]
        tables.primary_lease.promoting_groups.add('g')
        self._write_record(changing=True, holder=name)
        apply_record(tables, self.records[-1], self._clock(name))
        expires_at = leases_expired_at(self._clock(name), self.granted_at[name])
        self.promotion = (name, expires_at - self.offsets[name])

    def _stop_work(self):
        """Wait until no proxy may use the old primary any more."""
        begun = self.records[-1].version
        if any(
            tables.groups['g'].record.version < begun
            for tables in self.tables.values()
        ):
            self.now = max(self.now, self.promotion[1])

    def _take_effect(self, effect):
        self._step()
        if effect == STEP_DOWN:
            self.servers[self.leader].leads = False
        if effect not in SERVERS:
            return
        self.term += 1
        self.leader = effect
        promoted = self.servers[effect]
        promoted.lead(self.term)
        self.rolled_back.update(set(self.prefixes) - set(promoted.received))

    def _settle(self):
        """Record the server that leads, which may be the old primary."""
        self._step()
        name, _ = self.promotion
        self._write_record(
            changing=False, primary=self.leader, term=self.term, holder=''
        )
        self.promotion = None
        tables = self.tables[name]
        tables.primary_lease.promoting_groups.discard('g')
        apply_record(tables, self.records[-1], self._clock(name))

    # Reads

    @invariant()
    def a_primary_is_used_only_while_it_leads(self):
        for name in getattr(self, 'tables', {}):
            now = self._clock(name)
            placements = (
                place_write(self.tables[name], new_route(), now),
                place_read(
                    self.tables[name],
                    new_route(),
                    self.seen[name],
                    now,
                    frozenset(),
                ),
            )
            for placement in placements:
                if isinstance(placement, Placement) and placement.on_primary:
                    assert placement.server.name == self.leader

    @invariant()
    def reads_on_replicas_lack_no_commit_that_counts(self):
        for name in getattr(self, 'tables', {}):
            state = self._state_of_reads(name)
            if state == self.checked.get(name):
                continue
            self.checked[name] = state
            for sample in self.tables[name].groups['g'].history:
                for kind, limit_s in itertools.product(
                    READ_KINDS, AGE_LIMITS_S
                ):
                    route = new_route(kind)._replace(freshness_s=limit_s)
                    self._check_read(name, route, sample)

    def _state_of_reads(self, name):
        """Return what the reads on replicas through a proxy depend on."""
        group = self.tables[name].groups['g']
        return (
            tuple(group.history),
            group.term_start,
            group.record.primary,
            len(self.commits),
            len(self.rolled_back),
        )

    def _check_read(self, name, route, sample):
        """Check the last read that uses a sample if nothing else happens.

        The reads before it that use the sample require the same position and
        fewer commits.
        """
        tables = self.tables[name]
        primary = tables.groups['g'].record.primary
        margin_s = FRESHNESS_MARGIN_S + STEP_S / 2
        placed_at = sample.sent_at + route.freshness_s - margin_s
        if placed_at < self._clock(name):
            return
        placement = place_read(
            tables,
            route,
            self.seen[name],
            placed_at,
            frozenset((primary,)),
        )
        if not isinstance(placement, Placement) or placement.on_primary:
            return
        # The read may run later by the margin, which allows for its transit.
        runs_at = placed_at - self.offsets[name] + FRESHNESS_MARGIN_S
        before = runs_at - route.freshness_s
        own = route.kind is RouteKind.READ_YOUR_WRITES
        required = {
            commit.entry
            for commit in self.commits
            if commit.acknowledged_at < before or (own and commit.proxy == name)
        }
        lacking = required - self.rolled_back - self.prefixes[placement.after]
        assert not lacking


class ThreeProxies(SampleSoundness):
    """The same with a third proxy."""

    names = ('p1', 'p2', 'p3')


TestSampleSoundness = SampleSoundness.TestCase
TestSampleSoundness.settings = settings(
    max_examples=200, stateful_step_count=60, deadline=None
)
TestThreeProxies = ThreeProxies.TestCase
TestThreeProxies.settings = settings(
    max_examples=50, stateful_step_count=60, deadline=None
)


if __name__ == '__main__':
    for machine in (SampleSoundness, ThreeProxies):
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=1000,
                stateful_step_count=80,
                derandomize=False,
                deadline=None,
            ),
        )
