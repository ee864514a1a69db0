"""Heartbeats, leases and reads of whole fleets, with and without relays."""

import collections

import msgspec
import pytest

from toucandeal.fleet_tables import PeerView
from toucandeal.isolation import IsolationState, is_isolated, record_lease
from toucandeal.promotion import promotion_delay_s
from toucandeald.fleet_wire import Heartbeat, LenderDemand, RelayHeartbeat
from toucandeald.tests.simulated_fleet import (
    GROUP,
    GROUPS,
    domain_of,
    encode,
    settled_fleet,
)

MEASURED_S = 1.0
LENDER_SILENT_S = 0.7  # the shortest silence by which proxies judge a peer
MAX_DELAY_S = 0.2  # before a promotion
PRIMARY_CONTACT_S = 0.5
# Fields of a heartbeat as sent since before there were relays.
HEARTBEAT_FIELDS = (
    'sender',
    'incarnation',
    'address',
    'sent_at',
    'echo',
    'echo_incarnation',
    'echo_age',
    'draining',
    'lease_age',
    'counts_recipient',
    'confirms_none_begun',
    'records_version',
    'configuration_version',
    'servers_version',
    'primary_heard_ages',
    'demands',
    'failure_domain',
    'store_era',
    'freshness_age',
    'crossing_shares',
)


class Cost:
    """Messages and bytes a second, by proxy."""

    def __init__(self, fleet):
        self.sent = _by_proxy(fleet.messages)
        self.received = {
            name: count / MEASURED_S for name, count in fleet.received.items()
        }
        self.bytes = _by_proxy(fleet.bytes)
        self.relays = set(fleet.relays())
        self.others = set(fleet.proxies) - self.relays

    def mean_bytes(self):
        """Return the mean over all proxies."""
        return sum(self.bytes.values()) / len(self.bytes)


def _by_proxy(counter):
    by_proxy = collections.Counter()
    for (name, _), count in counter.items():
        by_proxy[name] += count / MEASURED_S
    return by_proxy


def _measured(count):
    with settled_fleet(count, 3.0) as fleet:
        fleet.run(MEASURED_S)
        assert not fleet.without_lease()
        assert not fleet.marked()
        return Cost(fleet)


@pytest.fixture
def relayed_fleet():
    with settled_fleet(50, 4.0) as fleet:
        yield fleet


def test_forty_proxies_exchange_the_same_heartbeats_as_ever():
    # A fleet of the usual size must not change on the wire.
    with settled_fleet(40, 2.0) as fleet:
        fleet.run(MEASURED_S)
        assert {kind for _, kind in fleet.messages} == {'Heartbeat'}
        assert set(fleet.messages.values()) == {39 * 4 * int(MEASURED_S)}
        assert len(fleet.pairs) == 40 * 39
        assert Heartbeat.__struct_fields__ == HEARTBEAT_FIELDS
        proxy = fleet.proxies['p0']
        sent = []
        proxy.gossip.sockets.send = lambda _, message: sent.append(message)
        proxy.gossip.send_heartbeats()
        fields = msgspec.msgpack.decode(encode(sent[0]))
        assert fields[0] == 'b'
        assert len(fields) == len(HEARTBEAT_FIELDS) + 1
        assert fields[15].keys() == set(GROUPS)
        echoed = [heartbeat for heartbeat in sent if heartbeat.echo]
        assert len(echoed) == 39
        assert all(heartbeat.counts_recipient for heartbeat in sent)


def test_the_control_traffic_of_hundreds_of_proxies_stays_small():
    # With the full mesh it grows with the square of the number of proxies.
    mesh = _measured(30)
    relayed = _measured(73)
    large = _measured(300)
    for cost in (relayed, large):
        assert max(cost.sent[name] for name in cost.others) <= 9
        assert max(cost.received[name] for name in cost.others) <= 9
        assert cost.mean_bytes() < 6000
        assert max(cost.bytes[name] for name in cost.others) < 6000
    assert max(relayed.sent.values()) <= 125
    assert max(large.sent.values()) <= 250
    assert max(large.received.values()) <= 250
    assert large.mean_bytes() < 1.5 * mesh.mean_bytes()


def test_the_switch_to_relays_costs_no_lease_and_no_peer():
    # Proxies learn of a changed membership up to 3 s apart.
    with settled_fleet(38, 4.0) as fleet:
        old = set(fleet.proxies)
        lost = set()
        unheard = set()

        def check():
            lost.update(old.intersection(fleet.without_lease()))
            unheard.update(_unheard(fleet, old))

        for number in range(38, 44):
            fleet.add(f'p{number}')
            fleet.run(0.4, check)
        fleet.run(12.0, check)
        assert all(
            proxy.tables.relay_assignment is not None
            for proxy in fleet.proxies.values()
        )
        fleet.reset_counts()
        fleet.run(1.0, check)
        assert {kind for _, kind in fleet.messages} == {'RelayHeartbeat'}
        assert len(fleet.pairs) < 44 * 43 / 4
        assert not lost
        assert not unheard
        assert not fleet.marked()


def _unheard(fleet, names):
    now = fleet.clock.now
    for name in names:
        peers = fleet.proxies[name].tables.peers
        for other in names - {name}:
            if now - peers[other].heard_at > LENDER_SILENT_S:
                yield name, other


def test_the_switch_back_to_the_full_mesh_costs_no_lease():
    with settled_fleet(41, 4.0) as fleet:
        lost = set()

        def check():
            lost.update(fleet.without_lease())

        for number in range(40, 18, -1):
            fleet.kill(f'p{number}')
            fleet.store.rows.pop(f'proxy/p{number}')
            fleet.run(0.5, check)
        fleet.run(9.0, check)
        assert not lost
        assert not fleet.relays()
        fleet.reset_counts()
        fleet.run(1.0)
        assert {kind for _, kind in fleet.messages} == {'Heartbeat'}
        assert len(fleet.pairs) == 19 * 18


@pytest.mark.parametrize('fault', ['killed', 'paused', 'cut one way'])
def test_a_lost_relay_costs_no_lease(relayed_fleet, fault):
    fleet = relayed_fleet
    relay = fleet.relays()[0]
    if fault == 'killed':
        fleet.kill(relay)
    elif fault == 'paused':
        fleet.proxies[relay].running = False
        fleet.cut_from_store.add(relay)
    else:
        fleet.cut.update((relay, name) for name in fleet.proxies)
    lost = set()
    marked = set()

    def check():
        lost.update(fleet.without_lease())
        # One that reaches the store registers again at once.
        marked.update(fleet.marked())

    fleet.run(8.0, check)
    assert lost <= {relay}
    assert marked == {relay}
    if fault != 'cut one way':
        assert relay not in fleet.relays()


def test_leases_go_on_without_the_store(relayed_fleet):
    fleet = relayed_fleet
    fleet.store.away = True
    lost = set()
    # Each proxy has read the list of proxies within the last 3 s.
    fleet.run(6.5, lambda: lost.update(fleet.without_lease()))
    assert not lost
    fleet.run(6.0)
    assert len(fleet.without_lease()) == 50


def test_a_proxy_without_its_relays_uses_others(relayed_fleet):
    # Otherwise a failure of two machines would isolate a third.
    fleet = relayed_fleet
    assignment = fleet.proxies['p0'].tables.relay_assignment
    name = min(assignment.relays_of)
    for relay in assignment.relays_of[name]:
        fleet.cut |= {(relay, name), (name, relay)}
    lost = set()
    fleet.run(6.0, lambda: lost.update(fleet.without_lease()))
    assert not lost
    assert not fleet.marked()
    now = fleet.clock.now
    for proxy in fleet.proxies.values():
        if proxy.name != name:
            assert now - proxy.tables.peers[name].heard_at < LENDER_SILENT_S


def test_a_proxy_cut_off_from_all_is_isolated_and_marked(relayed_fleet):
    fleet = relayed_fleet
    assignment = fleet.proxies['p0'].tables.relay_assignment
    name = min(assignment.relays_of)
    for other in set(fleet.proxies) - {name}:
        fleet.cut |= {(other, name), (name, other)}
    fleet.cut_from_store.add(name)
    isolation = IsolationState()
    proxy = fleet.proxies[name]

    def check():
        record_lease(isolation, proxy.tables, fleet.clock.now)

    fleet.run(5.0, check)
    assert is_isolated(isolation, proxy.tables, fleet.clock.now)
    assert fleet.marked() == {name}
    assert set(fleet.without_lease()) == {name}


def test_the_delay_before_a_promotion_is_short_for_all(relayed_fleet):
    # With 0.15 s a rank, the last of 300 proxies would wait for 45 s.
    now = relayed_fleet.clock.now
    delays = sorted(
        promotion_delay_s(proxy.tables, GROUP, now)
        for proxy in relayed_fleet.proxies.values()
    )
    assert not delays[0]
    assert delays[-1] <= MAX_DELAY_S
    assert len(set(delays)) == 50


def test_distant_contact_with_a_primary_is_known_everywhere(relayed_fleet):
    # It prevents a promotion by a proxy that alone cannot reach the primary.
    ages = []

    def check():
        now = relayed_fleet.clock.now
        for proxy in relayed_fleet.proxies.values():
            heard = (
                peer.primary_heard.get(GROUP, 0)
                for peer in proxy.tables.peers.values()
            )
            ages.append(now - max(heard))

    relayed_fleet.run(2.0, check)
    assert max(ages) < PRIMARY_CONTACT_S


def test_demands_go_to_the_other_lenders_only(relayed_fleet):
    fleet = relayed_fleet
    proxy = fleet.proxies['p0']
    message = LenderDemand('p1', 1, {'s': 2})
    proxy.gossip.received(message)
    assert proxy.tables.peers['p1'].demands == {'s': 2}
    fleet.run(1.0)
    assert proxy.tables.peers['p1'].demands == {'s': 2}
    fleet.run(2.0)
    assert not proxy.tables.peers['p1'].demands


def test_a_heartbeat_with_relays_extends_the_usual_one():
    fields = RelayHeartbeat.__struct_fields__
    assert fields[: len(HEARTBEAT_FIELDS)] == HEARTBEAT_FIELDS


def test_distant_peers_are_described_by_their_rows(relayed_fleet):
    fleet = relayed_fleet
    assignment = fleet.proxies['p0'].tables.relay_assignment
    name = min(assignment.relays_of)
    peers = fleet.proxies[name].tables.peers
    other = max(set(assignment.relays_of) - {name})
    view = peers[other]
    assert isinstance(view, PeerView)
    assert view.address == f'{other}:1'
    assert view.failure_domain == domain_of(other)
    assert view.counts_this_proxy
