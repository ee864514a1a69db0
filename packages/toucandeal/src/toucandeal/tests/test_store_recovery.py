"""Recovery of the records after the store was restored from an older copy."""

import math
from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from toucandeal.fleet import GroupRecord, ProxyRecord, Server
from toucandeal.fleet_tables import FleetTables, apply_record, usable_primary
from toucandeal.primary_lease import (
    PEER_LEASE_LIMIT_S,
    PeerGrant,
    PeerLeaseReport,
    PrimaryLease,
    begin_era,
    leases_expired_at,
    may_begin_promotion,
    may_use_primary,
    record_peer_grant,
    record_store_read,
    renew_from_peer,
)
from toucandeal.promotion import LOCK_DURATION_S
from toucandeal.store_recovery import (
    ERA_SETTLE_S,
    RecoveryStep,
    recovery_step,
    unverified_record,
)
from toucandeal.store_versions import NO_VERSION, StoreVersion, fencing_token
from toucandeal.tests.simulated_store import SimulatedStore

NAMES = ('p1', 'p2', 'p3')
PROXIES = {name: ProxyRecord(name, 1, f'{name}:1') for name in NAMES}
RECORD = GroupRecord('g', 'a', 3, version=StoreVersion(1, 5))


def _lease_in_new_era(now=20.0, list_age_s=0.2):
    lease = PrimaryLease('p1')
    begin_era(lease, 1, 0)
    record_store_read(lease, now - list_age_s, PROXIES)
    begin_era(lease, 2, now)
    return lease


def _grant_all(lease, as_of, era=2, incarnation=1):
    for name in ('p2', 'p3'):
        record_peer_grant(lease, name, PeerGrant(incarnation, as_of, era))


def test_records_are_confirmed_once_all_members_know_the_new_era():
    lease = _lease_in_new_era()
    assert recovery_step(lease, PROXIES['p1'], 20.1) is RecoveryStep.WAIT
    _grant_all(lease, 20.2)
    assert recovery_step(lease, PROXIES['p1'], 20.3) is RecoveryStep.CONFIRM


@pytest.mark.parametrize('changes', [{'era': 1}, {'incarnation': 2}])
def test_a_grant_of_before_or_of_a_restarted_proxy_confirms_nothing(changes):
    lease = _lease_in_new_era()
    _grant_all(lease, 20.2, **changes)
    assert recovery_step(lease, PROXIES['p1'], 20.3) is RecoveryStep.WAIT
    late = 20.0 + ERA_SETTLE_S
    step = recovery_step(lease, PROXIES['p1'], late)
    assert step is RecoveryStep.MARK_CHANGING


def test_a_silent_holder_delays_the_confirmation_until_its_lock_has_ended():
    # Guards against a lower fencing token after a higher one: a holder that no
    # peer heard could still send its order when the records were confirmed,
    # which frees the lock.
    lease = _lease_in_new_era()
    _grant_all(lease, 20.2)
    lease.members['p3'] = PROXIES['p3']._replace(silent=True)
    own = PROXIES['p1']
    step = recovery_step(lease, own, 20.3, lock_ends_at=21.0)
    assert step is RecoveryStep.WAIT
    step = recovery_step(lease, own, 21.0, lock_ends_at=21.0)
    assert step is RecoveryStep.CONFIRM


def test_a_proxy_with_an_old_list_of_members_confirms_nothing():
    lease = _lease_in_new_era(list_age_s=PEER_LEASE_LIMIT_S + 0.1)
    _grant_all(lease, 20.2)
    assert recovery_step(lease, PROXIES['p1'], 20.3) is RecoveryStep.WAIT


def test_a_restarted_proxy_confirms_nothing():
    lease = _lease_in_new_era()
    _grant_all(lease, 20.2)
    restarted = PROXIES['p1']._replace(incarnation=9)
    assert recovery_step(lease, restarted, 20.3) is RecoveryStep.WAIT


def test_a_first_start_needs_no_confirmation():
    lease = PrimaryLease('p1')
    begin_era(lease, 1, 20.0)
    own = PROXIES['p1']
    record_store_read(lease, 20.1, {'p1': own}, confirmed=False)
    assert recovery_step(lease, own, 20.2) is RecoveryStep.WAIT
    step = recovery_step(lease, own, 20.2, nothing_recorded=True)
    assert step is RecoveryStep.CONFIRM


def test_a_restored_store_grants_no_lease_but_peers_go_on_to_do_so():
    lease = _lease_in_new_era()
    record_store_read(lease, 23.0, PROXIES, confirmed=False)
    assert not may_use_primary(lease, RECORD, 23.1)
    _grant_all(lease, 23.0)
    assert may_use_primary(lease, RECORD, 23.1)


def test_a_proxy_that_is_not_registered_gets_no_lease():
    lease = PrimaryLease('p9')
    record_store_read(lease, 20.0, PROXIES)
    assert not may_use_primary(lease, RECORD, 20.1)


def test_a_proxy_that_the_copy_lacks_counts_until_it_registers_again():
    lease = _lease_in_new_era()
    others = {name: PROXIES[name] for name in ('p1', 'p2')}
    record_store_read(lease, 21.0, others, confirmed=False)
    assert lease.registered['p3'].version == NO_VERSION
    later = 20.0 + PEER_LEASE_LIMIT_S + 1.1
    record_store_read(lease, later, others)
    assert 'p3' not in lease.registered


def test_peers_that_counted_a_proxy_before_the_new_era_let_it_not_promote():
    lease = _lease_in_new_era()
    record_store_read(lease, 21.0, PROXIES)
    assert not may_begin_promotion(lease, set(), 21.1)
    assert may_begin_promotion(lease, {'p2', 'p3'}, 21.1)


def test_the_record_of_an_unfinished_promotion_keeps_its_holder():
    begun = RECORD._replace(changing=True, holder='p2')
    assert unverified_record(begun) == begun
    # Attempts of the lost history may be missing.
    assert unverified_record(begun._replace(attempts=1)) == begun
    assert unverified_record(RECORD).changing
    assert not unverified_record(RECORD).holder


class Promotion(NamedTuple):
    """A promotion that a proxy carries out, in seconds of true time."""

    token: StoreVersion
    record: GroupRecord
    may_order_at: float
    held_until: float
    order_possible: bool
    ordered: bool = False


# An order that is under way takes effect within this time or never.
ORDER_EFFECT_S = 0.7
RESUME_DELAY_S = LOCK_DURATION_S + 0.5


class RestoredStore(RuleBasedStateMachine):
    """Three proxies, one group, and a store that is restored at any time.

    The servers `a` and `b` know which of them leads. Proxies restart, reads
    and transactions are delayed, heartbeats are late or lost.
    """

    @initialize()
    def begin(self):
        self.now = 100.0
        self.leader, self.term = 'a', 3
        self.orders_under_way = []
        self.tokens = []
        self.incarnations = dict.fromkeys(NAMES, 1)
        self.store = SimulatedStore(
            {
                'era': 1,
                'lock': '',
                'group': GroupRecord('g', 'a', 3),
                **PROXIES,
            }
        )
        self.heartbeats = []
        self.reads = []
        self.writes = []
        self.promotions = {}
        self.granted_at = dict.fromkeys(NAMES, -math.inf)
        self.seen = {}
        self.record_seen_at = {}
        self.tables = {name: self._new_tables(name) for name in NAMES}
        self.counted_by = {name: {} for name in NAMES}
        for name in NAMES:
            self._deliver_read(name, self.now, self.store.state)

    def _new_tables(self, name):
        tables = FleetTables(name, 'd')
        for server in ('a', 'b'):
            tables.servers[server] = Server(
                server, 'g', '', 'd', 1, False, False
            )
        return tables

    def _lease(self, name):
        return self.tables[name].primary_lease

    def _own(self, name):
        return PROXIES[name]._replace(incarnation=self.incarnations[name])

    def _record(self, name):
        group = self.tables[name].groups.get('g')
        return group.record if group else None

    def _version(self, name):
        record = self._record(name)
        return record.version if record else NO_VERSION

    def _learn_era(self, name, era):
        lease = self._lease(name)
        if era > lease.era:
            begin_era(lease, era, self.now)
            promotion = self.promotions.pop(name, None)
            if promotion:
                lease.promoting_groups.discard('g')
        return era == lease.era

    def _apply(self, name, record):
        if apply_record(self.tables[name], record, self.now):
            self.record_seen_at[name] = self.now

    def _deliver_read(self, name, sent_at, state):
        if not self._learn_era(name, state.version.era):
            return
        confirmed = state.content('era') == state.version.era
        if confirmed:
            record = state.content('group')
            self._apply(
                name, record._replace(version=state.row_version('group'))
            )
        proxies = {
            proxy: state.content(proxy)._replace(
                version=state.row_version(proxy)
            )
            for proxy in NAMES
            if state.content(proxy)
        }
        self.seen[name] = state
        record_store_read(
            self._lease(name), sent_at, proxies, confirmed=confirmed
        )

    def _confirmed(self, name):
        state = self.seen.get(name)
        return (
            state is not None
            and state.version.era == self._lease(name).era
            and state.content('era') == state.version.era
        )

    @rule(seconds=st.sampled_from([0.02, 0.2, 0.5, 0.9, 2.6, 4.1]))
    def wait(self, seconds):
        self.now += seconds
        self.orders_under_way = [
            order
            for order in self.orders_under_way
            if self.now <= order[0] + ORDER_EFFECT_S
        ]

    @rule(steps=st.integers(0, 4))
    def restore(self, steps):
        self.store.restore(steps)

    @rule(name=st.sampled_from(NAMES))
    def read(self, name):
        self._deliver_read(name, self.now, self.store.state)

    @rule(name=st.sampled_from(NAMES))
    def start_read(self, name):
        self.reads.append((name, self.now, self.store.state))

    @precondition(lambda self: self.reads)
    @rule(data=st.data())
    def end_read(self, data):
        index = data.draw(st.integers(0, len(self.reads) - 1))
        self._deliver_read(*self.reads.pop(index))

    @rule(name=st.sampled_from(NAMES))
    def register(self, name):
        registered = self._lease(name).registered.get(name)
        if (
            registered is None
            or registered.version == NO_VERSION
            or (registered.incarnation != self.incarnations[name])
        ):
            self.store.transact({}, {name: self._own(name)})

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.incarnations[name] += 1
        self.tables[name] = self._new_tables(name)
        self.promotions.pop(name, None)
        self.seen.pop(name, None)
        self.counted_by[name] = {}
        self.reads = [read for read in self.reads if read[0] != name]
        self.heartbeats = [sent for sent in self.heartbeats if sent[1] != name]

    @rule()
    def exchange_heartbeats(self):
        for sender in NAMES:
            for to in NAMES:
                if sender != to:
                    self.send_heartbeat(sender, to)
        while self.heartbeats:
            self._receive(self.heartbeats.pop(0))

    @precondition(lambda self: len(self.heartbeats) < 12)
    @rule(sender=st.sampled_from(NAMES), to=st.sampled_from(NAMES))
    def send_heartbeat(self, sender, to):
        lease = self._lease(sender)
        none_begun = not lease.promoting_groups
        if none_begun:
            self.granted_at[sender] = self.now
        counts = to in lease.registered and not lease.registered[to].silent
        report = PeerLeaseReport(
            sender,
            self.incarnations[sender],
            self._version(sender),
            self.now - lease.store_as_of,
            none_begun,
            lease.era,
        )
        self.heartbeats.append((sender, to, self.now, report, counts))

    @precondition(lambda self: self.heartbeats)
    @rule(data=st.data())
    def receive_heartbeat(self, data):
        index = data.draw(st.integers(0, len(self.heartbeats) - 1))
        self._receive(self.heartbeats.pop(index))

    def _receive(self, heartbeat):
        sender, to, sent_after, report, counts = heartbeat
        self._learn_era(to, report.store_era)
        self.counted_by[to][sender] = report.store_era if counts else -1
        if counts:
            renew_from_peer(
                self._lease(to), report, self._version(to), sent_after
            )

    @rule(sender=st.sampled_from(NAMES), to=st.sampled_from(NAMES))
    def copy_record(self, sender, to):
        record = self._record(sender)
        if record is not None:
            self._apply(to, record)

    @rule(name=st.sampled_from(NAMES), delayed=st.booleans())
    def recover(self, name, delayed):
        state = self.seen.get(name)
        lease = self._lease(name)
        if state is None or state.version.era != lease.era:
            return
        if self._confirmed(name):
            return
        step = recovery_step(lease, self._own(name), self.now)
        if step is RecoveryStep.WAIT:
            return
        record = self._record(name)
        if step is RecoveryStep.MARK_CHANGING:
            restored = state.content('group')._replace(
                version=state.row_version('group')
            )
            if record is None or (
                restored.version.number > record.version.number
            ):
                record = restored
            record = unverified_record(record)
        guards = {
            key: state.row_version(key)
            for key in ('era', 'lock', 'group', name)
        }
        puts = {'era': lease.era, 'lock': '', 'group': record}
        if delayed:
            self.writes.append((guards, puts))
        else:
            self.store.transact(guards, puts)

    @precondition(lambda self: self.writes)
    @rule(data=st.data())
    def end_write(self, data):
        index = data.draw(st.integers(0, len(self.writes) - 1))
        self.store.transact(*self.writes.pop(index))

    @rule(name=st.sampled_from(NAMES))
    def begin_promotion(self, name):
        lease = self._lease(name)
        self.read(name)
        counted_by = {
            peer
            for peer, era in self.counted_by[name].items()
            if era == lease.era
        }
        if (
            name in self.promotions
            or not self._confirmed(name)
            or not may_begin_promotion(lease, counted_by, self.now)
        ):
            return
        record = self._record(name)
        if record.changing and record.holder not in {'', name}:
            if self.now - self.record_seen_at[name] < RESUME_DELAY_S:
                return
        state = self.store.state
        begun = record._replace(changing=True, holder=name)
        guards = {
            key: state.row_version(key)
            for key in ('era', 'lock', 'group', name)
        }
        lease.promoting_groups.add('g')
        self.store.transact(guards, {'lock': name, 'group': begun})
        self.read(name)
        expires_at = leases_expired_at(self.now, self.granted_at[name])
        self.promotions[name] = Promotion(
            self.store.state.row_version('lock'),
            self._record(name),
            expires_at,
            self.now + LOCK_DURATION_S,
            not record.changing or bool(record.holder),
        )

    @precondition(lambda self: self.promotions)
    @rule(data=st.data())
    def continue_promotion(self, data):
        name = data.draw(st.sampled_from(sorted(self.promotions)))
        promotion = self.promotions[name]
        resumed_leader = self.leader != promotion.record.primary
        if self.now < promotion.may_order_at:
            return
        if resumed_leader or not promotion.order_possible:
            self._complete(name, promotion)
        elif self.now > promotion.held_until - 0.3:
            self._abandon(name)
        elif not promotion.ordered:
            token = fencing_token(promotion.token)
            assert not self.tokens or token > self.tokens[-1]
            self.tokens.append(token)
            self.orders_under_way.append((self.now, promotion.record.primary))
            self.promotions[name] = promotion._replace(ordered=True)

    def _abandon(self, name):
        self.promotions.pop(name)
        self._lease(name).promoting_groups.discard('g')

    def _complete(self, name, promotion):
        state = self.store.state
        guards = {'group': promotion.record.version}
        if self.seen[name].version.era == state.version.era:
            guards['era'] = self.seen[name].row_version('era')
            record = GroupRecord('g', self.leader, self.term)
            self.store.transact(guards, {'group': record, 'lock': ''})
        self.read(name)
        if name in self.promotions:
            self._abandon(name)

    @precondition(lambda self: self.orders_under_way)
    @rule(data=st.data())
    def order_takes_effect(self, data):
        index = data.draw(st.integers(0, len(self.orders_under_way) - 1))
        _, old = self.orders_under_way.pop(index)
        chosen = {'a': 'b', 'b': 'a'}[old]
        if chosen != self.leader:
            self.leader, self.term = chosen, self.term + 1

    @invariant()
    def no_proxy_uses_a_superseded_primary(self):
        for name in getattr(self, 'tables', {}):
            primary = usable_primary(self.tables[name], 'g', self.now)
            assert primary is None or primary.name == self.leader


TestRestoredStore = RestoredStore.TestCase
TestRestoredStore.settings = settings(
    max_examples=200, stateful_step_count=60, deadline=None
)


STAGES = ('begun', 'ordered', 'in effect', 'completed')
TICK_S = 0.1
SILENT_TICKS = 25


def _tick(machine, alive, reading):
    """Let the proxies act once, and check the invariant after each act."""
    for name in sorted(reading):
        machine.register(name)
        machine.read(name)
    for sender in alive:
        for to in alive:
            if sender != to:
                machine.send_heartbeat(sender, to)
    while machine.heartbeats:
        machine._receive(machine.heartbeats.pop(0))
        machine.no_proxy_uses_a_superseded_primary()
    for name in sorted(reading):
        machine.recover(name, delayed=False)
        machine.read(name)
        machine.no_proxy_uses_a_superseded_primary()
        record = machine._record(name)
        if record is not None and record.changing:
            machine.begin_promotion(name)
    for name in sorted(machine.promotions):
        machine.continue_promotion(_Choice(name))
        machine.no_proxy_uses_a_superseded_primary()
    machine.wait(TICK_S)


def _mark_silent(machine, names):
    machine.store.transact(
        {}, {name: PROXIES[name]._replace(silent=True) for name in names}
    )


class _Choice(NamedTuple):
    """Stands for hypothesis' data, and draws one name."""

    name: str

    def draw(self, strategy):
        """Return the name."""
        del strategy
        return self.name


def _promote_until(machine, stage, readers):
    """Let p1 promote up to a stage; only `readers` read its records."""
    for name in NAMES:
        machine.read(name)
    machine.exchange_heartbeats()
    machine.begin_promotion('p1')
    for name in readers:
        machine.read(name)
    if stage == 'begun':
        return
    machine.wait(1.1)
    machine.continue_promotion(_Choice('p1'))
    assert machine.orders_under_way
    if stage in {'in effect', 'completed'}:
        machine.order_takes_effect(_Choice(0))
    if stage == 'completed':
        machine.continue_promotion(_Choice('p1'))
        assert not machine.promotions


@pytest.mark.parametrize('readers', [(), ('p2',), ('p2', 'p3')])
@pytest.mark.parametrize('stage', STAGES)
@pytest.mark.parametrize(
    ('restarted', 'dead', 'cut'),
    [
        ((), (), ()),
        ((), ('p1',), ()),
        (('p1',), (), ()),
        (('p2', 'p3'), (), ()),
        (('p2', 'p3'), ('p1',), ()),
        (NAMES, (), ()),
        ((), (), ('p1',)),
        ((), (), ('p2', 'p3')),
        (('p2',), ('p1',), ('p3',)),
    ],
)
def test_a_promotion_that_the_copy_lacks_is_found_out(
    stage, readers, restarted, dead, cut
):
    machine = RestoredStore()
    machine.begin()
    _promote_until(machine, stage, readers)
    while machine.store.state.content('lock') or (
        machine.store.state.content('group') != GroupRecord('g', 'a', 3)
    ):
        machine.store.state = machine.store.copies.pop()
    machine.store.copies.append(machine.store.state)
    machine.store.restore(0)
    for name in restarted:
        machine.restart(name)
    alive = [name for name in NAMES if name not in dead]
    reading = set(alive) - set(cut)
    for tick in range(300):
        _tick(machine, alive, reading)
        if tick == SILENT_TICKS:
            _mark_silent(machine, dead)
        for ordered_at, _ in list(machine.orders_under_way):
            if machine.now - ordered_at >= ORDER_EFFECT_S - 2 * TICK_S:
                machine.order_takes_effect(_Choice(0))
    for name in reading:
        primary = usable_primary(machine.tables[name], 'g', machine.now)
        assert primary is not None and primary.name == machine.leader
