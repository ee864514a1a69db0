"""Leases over relays, with messages that are late, lost or out of order."""

import math

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

from toucandeal import relays
from toucandeal.fleet import GroupRecord, ProxyRecord, Server
from toucandeal.fleet_tables import (
    FleetTables,
    PeerView,
    apply_record,
    usable_primary,
)
from toucandeal.primary_lease import (
    PeerLeaseReport,
    begin_era,
    counted_proxies,
    lease_expires_at,
    leases_expired_at,
    may_begin_promotion,
    record_store_read,
    renew_from_peer,
)
from toucandeal.relay_reports import RelayReport
from toucandeal.relay_views import (
    RelayExchange,
    apply_summaries,
    membership,
    own_relays,
    receive_report,
    relay_recipients,
    summaries_to_send,
    update_assignment,
)
from toucandeal.store_versions import StoreVersion

NAMES = tuple(f'p{number}' for number in range(8))
JOINING = 'p8'
NONE: frozenset[str] = frozenset()
SMALL_FLEET = pytest.MonkeyPatch()


class Proxy:
    """One proxy's tables and relay state, and a clock of its own."""

    def __init__(self, name, incarnation, offset):
        self.name = name
        self.incarnation = incarnation
        self.offset = offset
        self.domain = domain_of(name)
        self.tables = FleetTables(name, self.domain)
        self.exchange = RelayExchange(name)
        self.granted_at = -math.inf
        for server in ('a', 'b'):
            self.tables.servers[server] = Server(
                server, 'g', '', 'd', 1, False, False
            )

    @property
    def lease(self):
        """Return the lease."""
        return self.tables.primary_lease

    def version(self):
        """Return the version of the records."""
        group = self.tables.groups.get('g')
        record = None if group is None else group.record
        return StoreVersion(0, 0) if record is None else record.version

    def read(self, sent_at, record, proxies):
        """Apply a read of the store."""
        apply_record(self.tables, record, sent_at + self.offset)
        record_store_read(self.lease, sent_at + self.offset, proxies)

    def reports(self, now):
        """Return the heartbeats to send, by recipient."""
        now += self.offset
        update_assignment(self.exchange, self.tables, now)
        apply_summaries(self.exchange, self.tables, now)
        none_begun = not self.lease.promoting_groups
        if none_begun:
            self.granted_at = now
        summaries = summaries_to_send(self.exchange, self.tables, now)
        assignment = self.exchange.summaries.assignment
        attached = own_relays(self.exchange, now)
        reports = {}
        for name in relay_recipients(self.exchange, now):
            is_relay = assignment is not None and assignment.is_relay(name)
            reports[name] = (
                RelayReport(
                    self.name,
                    self.incarnation,
                    membership(self.exchange),
                    self.exchange.in_use,
                    name in attached,
                    False,
                    none_begun,
                    self.version(),
                    0.0,
                    summaries.get(is_relay),
                ),
                now - self.lease.store_as_of,
                name in counted_proxies(self.lease),
            )
        return reports

    def receive(self, sent_after, message, now):
        """Apply a heartbeat that was sent after a time."""
        report, lease_age, counts = message
        self.tables.peers[report.name] = PeerView(
            report.name,
            report.incarnation,
            '',
            now + self.offset,
            report.draining,
            counts,
            {},
        )
        if counts and sent_after > -math.inf:
            renew_from_peer(
                self.lease,
                PeerLeaseReport(
                    report.name,
                    report.incarnation,
                    report.records_version,
                    lease_age,
                    report.none_begun,
                ),
                self.version(),
                sent_after + self.offset,
            )
        receive_report(
            self.exchange,
            self.tables,
            report._replace(sent_after=sent_after + self.offset),
            self.version(),
            now + self.offset,
        )


class Fleet:
    """Proxies, the store's rows and messages on the way."""

    def __init__(self):
        self.now = 100.0
        self.record = GroupRecord('g', 'a', version=StoreVersion(0, 1))
        self.rows = {name: row(name, 1) for name in NAMES}
        self.proxies = {}
        for name in NAMES:
            self.start(name, 1)
            self.proxies[name].read(self.now - 30, self.record, self.rows)
            self.proxies[name].read(self.now, self.record, self.rows)

    def start(self, name, incarnation):
        """Start a proxy without any knowledge."""
        offset = 1000.0 * int(name[1:])
        self.proxies[name] = Proxy(name, incarnation, offset)

    def read(self, name):
        """Let a proxy read the store."""
        self.proxies[name].read(self.now, self.record, dict(self.rows))

    def outgoing(self, name):
        """Return messages as sender, recipient, incarnation, time, content."""
        reports = self.proxies[name].reports(self.now)
        return [
            (name, to, self.proxies[to].incarnation, self.now, message)
            for to, message in reports.items()
            if to in self.proxies
        ]

    def deliver(self, message):
        """Deliver one message."""
        _, to, incarnation, sent_after, content = message
        proxy = self.proxies[to]
        if proxy.incarnation != incarnation:
            sent_after = -math.inf  # the echo is of an earlier incarnation
        proxy.receive(sent_after, content, self.now)

    def round(self, lost=NONE):
        """Let all proxies but the `lost` ones send, one after another."""
        for name in self.proxies:
            for message in self.outgoing(name):
                if not lost & {message[0], message[1]}:
                    self.deliver(message)

    def rounds(self, count, lost=NONE):
        """Let heartbeats pass for a number of intervals."""
        for _ in range(count):
            self.now += 0.25
            self.round(lost)

    def lease_left_s(self, name):
        """Return how long a lease still lasts."""
        proxy = self.proxies[name]
        now = self.now + proxy.offset
        return lease_expires_at(proxy.lease, now) - now


def row(name, incarnation, *, silent=False):
    """Return the row of a proxy."""
    return ProxyRecord(
        name,
        incarnation,
        f'{name}:1',
        silent=silent,
        failure_domain=domain_of(name),
    )


def domain_of(name):
    """Return a proxy's failure domain."""
    return 'xy'[int(name[1:]) % 2]


@pytest.fixture(autouse=True)
def _relays_in_small_fleets(monkeypatch):
    use_relays_in_small_fleets(monkeypatch)


def use_relays_in_small_fleets(patch):
    """Lower the limits, so that few proxies suffice for a test."""
    patch.setattr(relays, 'RELAYS_ABOVE', 4)
    patch.setattr(relays, 'MESH_BELOW', 3)


def attached_and_relay(fleet):
    """Return a proxy that is no relay, and one of its relays."""
    fleet.round()
    assignment = fleet.proxies['p0'].tables.relay_assignment
    name = min(assignment.relays_of)
    return name, assignment.relays_of[name][0]


def test_confirmations_over_relays_renew_all_leases_without_the_store():
    # Guards against leases that end while the store is away.
    fleet = Fleet()
    for _ in range(20):
        fleet.rounds(1)
        assert min(map(fleet.lease_left_s, fleet.proxies)) > 0.1


def test_a_begun_promotion_ends_the_leases_that_relays_confirm():
    fleet = Fleet()
    fleet.rounds(8)
    name, _ = attached_and_relay(fleet)
    fleet.proxies[name].lease.promoting_groups.add('g')
    fleet.rounds(4)
    assert max(map(fleet.lease_left_s, _others(name))) < 0


def test_a_proxy_that_is_not_heard_ends_the_leases_that_relays_confirm():
    # Its confirmation is missing, so it may have begun a promotion.
    fleet = Fleet()
    name, _ = attached_and_relay(fleet)
    fleet.rounds(8, _only(name))
    assert max(map(fleet.lease_left_s, fleet.proxies)) < 0


def test_confirmations_do_not_count_for_another_membership():
    # A proxy that knows of a newcomer must not take confirmations from
    # proxies that would not wait for the newcomer.
    fleet = Fleet()
    fleet.rounds(2)
    name, _ = attached_and_relay(fleet)
    fleet.rows[JOINING] = row(JOINING, 1)
    fleet.read(name)
    fleet.rounds(8)
    assert fleet.lease_left_s(name) < 0


def test_confirmations_do_not_count_after_a_restart_until_all_read_of_it():
    fleet = Fleet()
    fleet.rounds(2)
    name, _ = attached_and_relay(fleet)
    fleet.rows[name] = row(name, 2)
    fleet.start(name, 2)
    fleet.read(name)
    fleet.rounds(8)
    assert max(map(fleet.lease_left_s, _others(name))) < 0
    for reader in NAMES:
        fleet.read(reader)
    fleet.rounds(8)
    assert min(map(fleet.lease_left_s, NAMES)) > 0.1


def test_confirmations_of_an_earlier_era_do_not_count():
    fleet = Fleet()
    fleet.rounds(4)
    name, _ = attached_and_relay(fleet)
    proxy = fleet.proxies[name]
    begin_era(proxy.lease, 1, fleet.now + proxy.offset)
    fleet.rounds(8)
    assert fleet.lease_left_s(name) < 0


def test_a_lease_from_one_relay_suffices_while_the_other_is_lost():
    fleet = Fleet()
    name, relay = attached_and_relay(fleet)
    others = _others(relay)
    for _ in range(12):
        for reader in fleet.proxies['p0'].tables.relay_assignment.attached:
            if reader != relay:
                fleet.read(reader)
        fleet.rounds(1, _only(relay))
        assert min(map(fleet.lease_left_s, others)) > 0.1
    assert name in others


def test_a_newcomer_may_promote_once_its_relays_agree():
    fleet = Fleet()
    fleet.rounds(2)
    fleet.rows[JOINING] = row(JOINING, 1)
    fleet.start(JOINING, 1)
    fleet.read(JOINING)
    fleet.rounds(4)
    assert not _may_begin(fleet, JOINING)
    for name in NAMES:
        fleet.read(name)
    fleet.rounds(6)
    assert _may_begin(fleet, JOINING)


def _only(name):
    return frozenset((name,))


def _others(name):
    return tuple(other for other in NAMES if other != name)


def _may_begin(fleet, name):
    proxy = fleet.proxies[name]
    counted_by = {
        peer.name
        for peer in proxy.tables.peers.values()
        if peer.counts_this_proxy and peer.store_era == proxy.lease.era
    }
    return may_begin_promotion(
        proxy.lease, counted_by, fleet.now + proxy.offset
    )


class RelayedLeases(RuleBasedStateMachine):
    """Proxies with relays, any of which promotes, joins or restarts.

    Messages are late, lost or reordered, so links are cut one way, relays are
    paused, and proxies differ in what they know of the membership. No proxy
    may use the old primary once a promotion may have taken effect: when all
    proxies that the promoting one knows of have stopped, or when their leases
    have expired.
    """

    @initialize()
    def begin(self):
        use_relays_in_small_fleets(SMALL_FLEET)
        self.fleet = Fleet()
        self.effective_primary = 'a'
        self.promotion = None
        self.delayed = []
        self.fleet.rounds(3)

    def teardown(self):
        SMALL_FLEET.undo()

    @rule(
        lost=st.frozensets(st.sampled_from(NAMES), max_size=2),
        rounds=st.integers(1, 6),
    )
    def exchange(self, lost, rounds):
        """Let heartbeats pass; a promotion takes effect as soon as it may."""
        for _ in range(rounds):
            self.fleet.rounds(1, lost)
            self.no_proxy_uses_a_superseded_primary()
            if self.promotion and self._may_take_effect():
                self.promote()
                self.no_proxy_uses_a_superseded_primary()

    @rule()
    def exchange_with_all(self):
        """Renew all leases that the relays can renew."""
        self.fleet.rounds(4)

    @precondition(lambda self: self.promotion)
    @rule()
    def cut_off_the_promoting_proxy(self):
        """Let the others go on until the promotion has taken effect."""
        self.exchange(_only(self.promotion[0]), 6)

    @precondition(lambda self: len(self.delayed) < 60)
    @rule(name=st.sampled_from(NAMES))
    def send_late(self, name):
        self.delayed += self.fleet.outgoing(name)

    @precondition(lambda self: self.delayed)
    @rule(data=st.data(), count=st.integers(1, 8))
    def deliver_late(self, data, count):
        for _ in range(min(count, len(self.delayed))):
            index = data.draw(st.integers(0, len(self.delayed) - 1))
            self.fleet.deliver(self.delayed.pop(index))

    @rule(seconds=st.floats(0.01, 0.4))
    def wait(self, seconds):
        self.fleet.now += seconds

    @rule(data=st.data())
    def read(self, data):
        names = sorted(self.fleet.proxies)
        self.fleet.read(data.draw(st.sampled_from(names)))

    @rule()
    def read_by_all(self):
        for name in self.fleet.proxies:
            self.fleet.read(name)

    @precondition(lambda self: JOINING not in self.fleet.proxies)
    @rule()
    def join(self):
        self.fleet.rows[JOINING] = row(JOINING, 1)
        self.fleet.start(JOINING, 1)
        self.fleet.read(JOINING)

    @rule(name=st.sampled_from(NAMES))
    def mark_silent(self, name):
        known = self.fleet.rows[name]
        if not self.promotion or self.promotion[0] != name:
            self.fleet.rows[name] = known._replace(silent=True)

    @rule(name=st.sampled_from(NAMES))
    def register_again(self, name):
        known = self.fleet.rows[name]
        self.fleet.rows[name] = known._replace(silent=False)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        if self.promotion and self.promotion[0] == name:
            return
        incarnation = self.fleet.proxies[name].incarnation + 1
        self.fleet.rows[name] = row(name, incarnation)
        self.fleet.start(name, incarnation)

    @precondition(lambda self: self.promotion is None)
    @rule(data=st.data())
    def begin_promotion(self, data):
        fleet = self.fleet
        name = data.draw(st.sampled_from(sorted(fleet.proxies)))
        proxy = fleet.proxies[name]
        own = fleet.rows[name]
        # The transaction fails if the own registration has been marked.
        if own.silent or not _may_begin(fleet, name):
            return
        proxy.lease.promoting_groups.add('g')
        fleet.read(name)
        fleet.record = fleet.record._replace(
            changing=True, holder=name, version=self._next_version()
        )
        expires_at = leases_expired_at(
            fleet.now + proxy.offset, proxy.granted_at
        )
        self.promotion = (name, expires_at - proxy.offset)

    @precondition(lambda self: self.promotion)
    @rule(data=st.data())
    def ask_to_stop(self, data):
        asked = data.draw(
            st.sampled_from(sorted(self.fleet.proxies)) | st.just('all')
        )
        names = self.fleet.proxies if asked == 'all' else [asked]
        registered = self.fleet.proxies[self.promotion[0]].lease.registered
        for name in names:
            if name in registered:
                proxy = self.fleet.proxies[name]
                apply_record(
                    proxy.tables,
                    self.fleet.record,
                    self.fleet.now + proxy.offset,
                )

    @precondition(lambda self: self.promotion and self._may_take_effect())
    @rule()
    def promote(self):
        name, _ = self.promotion
        self.effective_primary = {'a': 'b', 'b': 'a'}[self.effective_primary]
        self.fleet.record = self.fleet.record._replace(
            changing=False,
            primary=self.effective_primary,
            version=self._next_version(),
        )
        self.promotion = None
        proxy = self.fleet.proxies[name]
        proxy.lease.promoting_groups.discard('g')
        apply_record(
            proxy.tables, self.fleet.record, self.fleet.now + proxy.offset
        )

    def _may_take_effect(self):
        name, expires_at = self.promotion
        registered = self.fleet.proxies[name].lease.registered
        return self.fleet.now >= expires_at or all(
            self.fleet.proxies[other].version() >= self.fleet.record.version
            for other in registered.keys() - {name}
        )

    def _next_version(self):
        version = self.fleet.record.version
        return version._replace(number=version.number + 1)

    @invariant()
    def no_proxy_uses_a_superseded_primary(self):
        if not hasattr(self, 'fleet'):
            return
        for proxy in self.fleet.proxies.values():
            primary = usable_primary(
                proxy.tables, 'g', self.fleet.now + proxy.offset
            )
            assert primary is None or primary.name == self.effective_primary


TestRelayedLeases = RelayedLeases.TestCase
TestRelayedLeases.settings = settings(
    max_examples=100, stateful_step_count=50, deadline=None
)
