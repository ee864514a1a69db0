"""Leases on primaries, and the safety that they guarantee."""

import math

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
    LEASE_DURATION_S,
    LEASE_MARGIN_S,
    PEER_LEASE_LIMIT_S,
    PeerGrant,
    PeerLeaseReport,
    PrimaryLease,
    lease_expires_at,
    leases_expired_at,
    may_begin_promotion,
    may_use_primary,
    record_peer_grant,
    record_store_read,
    renew_from_peer,
)
from toucandeal.store_versions import StoreVersion

RECORD = GroupRecord('g', 'a', version=StoreVersion(0, 1))
NAMES = ('p1', 'p2', 'p3')
PROXIES = {name: ProxyRecord(name, 1, f'{name}:1') for name in NAMES}


def test_a_store_read_grants_a_lease_that_expires():
    lease = PrimaryLease('p1')
    record_store_read(lease, 10.0, PROXIES)
    assert may_use_primary(lease, RECORD, 10.0)
    assert (
        lease_expires_at(lease, 10.0)
        == 10.0 + LEASE_DURATION_S - LEASE_MARGIN_S
    )
    assert not may_use_primary(lease, RECORD, 10.0 + LEASE_DURATION_S)


def test_no_primary_may_be_used_without_a_record_or_during_a_promotion():
    lease = PrimaryLease('p1')
    record_store_read(lease, 10.0, PROXIES)
    assert not may_use_primary(lease, None, 10.0)
    changing = RECORD._replace(changing=True)
    assert not may_use_primary(lease, changing, 10.0)
    lease.promoting_groups.add('g')
    assert not may_use_primary(lease, RECORD, 10.0)


def test_grants_of_all_peers_renew_the_lease_without_the_store():
    lease = PrimaryLease('p1')
    record_store_read(lease, 10.0, PROXIES)
    record_peer_grant(lease, 'p2', PeerGrant(1, 14.0))
    assert not may_use_primary(lease, RECORD, 14.5)
    record_peer_grant(lease, 'p3', PeerGrant(1, 14.2))
    assert may_use_primary(lease, RECORD, 14.5)
    assert not may_use_primary(lease, RECORD, 14.0 + LEASE_DURATION_S)


def test_peer_grants_expire_when_the_list_of_proxies_is_too_old():
    lease = PrimaryLease('p1')
    record_store_read(lease, 10.0, PROXIES)
    late = 10.0 + PEER_LEASE_LIMIT_S + 0.1
    for name in ('p2', 'p3'):
        record_peer_grant(lease, name, PeerGrant(1, late))
    assert not may_use_primary(lease, RECORD, late)


def test_an_earlier_grant_does_not_replace_a_later_one():
    lease = PrimaryLease('p1')
    record_peer_grant(lease, 'p2', PeerGrant(1, 14.0))
    record_peer_grant(lease, 'p2', PeerGrant(1, 13.0))
    assert lease.peer_grants['p2'].as_of == 14.0
    record_peer_grant(lease, 'p2', PeerGrant(2, 13.5))
    assert lease.peer_grants['p2'].as_of == 13.5


def test_a_new_proxy_begins_no_promotion_until_all_peers_count_it():
    lease = PrimaryLease('p1')
    record_store_read(lease, 10.0, PROXIES)
    assert not may_begin_promotion(lease, {'p2'}, 11.0)
    assert may_begin_promotion(lease, {'p2', 'p3'}, 11.0)
    later = 10.0 + PEER_LEASE_LIMIT_S + LEASE_DURATION_S + 0.1
    assert may_begin_promotion(lease, set(), later)


def test_the_report_of_a_peer_with_newer_records_is_ignored():
    lease = PrimaryLease('p1')
    record_store_read(lease, 10.0, PROXIES)
    record_peer_grant(lease, 'p3', PeerGrant(1, 14.0))
    newer = PeerLeaseReport(
        'p2', 1, StoreVersion(0, 2), 0.0, no_promotion_begun=True
    )
    renew_from_peer(lease, newer, StoreVersion(0, 1), 14.0)
    assert not may_use_primary(lease, RECORD, 14.1)
    renew_from_peer(lease, newer, StoreVersion(0, 2), 14.0)
    assert may_use_primary(lease, RECORD, 14.1)


def test_a_silent_proxy_is_not_counted_and_gets_no_lease():
    lease = PrimaryLease('p1')
    silent = {**PROXIES, 'p3': PROXIES['p3']._replace(silent=True)}
    record_store_read(lease, 10.0, silent)
    record_peer_grant(lease, 'p2', PeerGrant(1, 14.0))
    assert may_use_primary(lease, RECORD, 14.1)
    assert may_begin_promotion(lease, {'p2'}, 14.1)
    own_silent = {**PROXIES, 'p1': PROXIES['p1']._replace(silent=True)}
    record_store_read(lease, 14.2, own_silent)
    for name in ('p2', 'p3'):
        record_peer_grant(lease, name, PeerGrant(1, 15.3))
    assert not may_use_primary(lease, RECORD, 15.4)
    assert not may_begin_promotion(lease, {'p2', 'p3'}, 15.4)


def _next(version):
    return version._replace(number=version.number + 1)


class PromotionProtocol(RuleBasedStateMachine):
    """Three proxies and a store, with messages that are late or lost.

    The clocks of the proxies have different offsets. Each proxy reads the
    store or receives heartbeats at any time, and any of them promotes. No
    proxy may use the old primary once an order to promote can have taken
    effect.
    """

    @initialize()
    def begin(self):
        self.now = 100.0
        self.record = RECORD
        self.effective_primary = 'a'
        self.promotion = None
        self.offsets = dict(zip(NAMES, (0.0, 5000.0, -70.0), strict=True))
        self.tables = {name: self._new_tables(name) for name in NAMES}
        self.granted_at = dict.fromkeys(NAMES, -math.inf)
        self.heartbeats = []
        self.reads = []
        for name in NAMES:
            self._deliver_read(name, self._clock(name), self.record)

    def _new_tables(self, name):
        tables = FleetTables(name, 'd')
        for server in ('a', 'b'):
            tables.servers[server] = Server(
                server, 'g', '', 'd', 1, False, False
            )
        return tables

    def _clock(self, name):
        return self.now + self.offsets[name]

    def _deliver_read(self, name, sent_at, record):
        tables = self.tables[name]
        apply_record(tables, record, self._clock(name))
        record_store_read(tables.primary_lease, sent_at, PROXIES)

    @rule(name=st.sampled_from(NAMES))
    def start_read(self, name):
        self.reads.append((name, self._clock(name), self.record))

    @precondition(lambda self: self.reads)
    @rule(data=st.data())
    def end_read(self, data):
        index = data.draw(st.integers(0, len(self.reads) - 1))
        self._deliver_read(*self.reads.pop(index))

    @precondition(lambda self: len(self.heartbeats) < 12)
    @rule(sender=st.sampled_from(NAMES), to=st.sampled_from(NAMES))
    def send_heartbeat(self, sender, to):
        """Send a heartbeat that echoes a message that `to` has just sent."""
        lease = self.tables[sender].primary_lease
        none_begun = not lease.promoting_groups
        if none_begun:
            self.granted_at[sender] = self._clock(sender)
        version = self.tables[sender].groups['g'].record.version
        age = self._clock(sender) - lease.store_as_of
        self.heartbeats.append(
            (sender, to, self._clock(to), none_begun, version, age)
        )

    @precondition(lambda self: self.heartbeats)
    @rule(data=st.data())
    def receive_heartbeat(self, data):
        index = data.draw(st.integers(0, len(self.heartbeats) - 1))
        sender, to, sent_after, none_begun, version, age = self.heartbeats.pop(
            index
        )
        tables = self.tables[to]
        lease = tables.primary_lease
        report = PeerLeaseReport(sender, 1, version, age, none_begun)
        renew_from_peer(
            lease, report, tables.groups['g'].record.version, sent_after
        )

    @rule(seconds=st.floats(0.01, 0.6))
    def wait(self, seconds):
        self.now += seconds

    @precondition(lambda self: self.promotion is None)
    @rule(name=st.sampled_from(NAMES))
    def begin_promotion(self, name):
        self.tables[name].primary_lease.promoting_groups.add('g')
        self.record = self.record._replace(
            changing=True, holder=name, version=_next(self.record.version)
        )
        expires_at = leases_expired_at(self._clock(name), self.granted_at[name])
        self.promotion = (name, expires_at - self.offsets[name])

    @precondition(lambda self: self.promotion and self.now >= self.promotion[1])
    @rule()
    def promote(self):
        other = {'a': 'b', 'b': 'a'}
        self.effective_primary = other[self.effective_primary]
        name, _ = self.promotion
        self.record = self.record._replace(
            changing=False,
            primary=self.effective_primary,
            version=_next(self.record.version),
        )
        self.promotion = None
        self.tables[name].primary_lease.promoting_groups.discard('g')
        apply_record(self.tables[name], self.record, self._clock(name))

    @invariant()
    def no_proxy_uses_a_superseded_primary(self):
        for name in getattr(self, 'tables', {}):
            primary = usable_primary(self.tables[name], 'g', self._clock(name))
            assert primary is None or primary.name == self.effective_primary


TestPromotionProtocol = PromotionProtocol.TestCase
TestPromotionProtocol.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
