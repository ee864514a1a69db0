"""Copies of the configuration in a fleet, in virtual time."""

import pytest

from toucandeal.configuration_freshness import is_fresh
from toucandeal.fleet_tables import FleetTables, configuration_version
from toucandeal.store_versions import StoreVersion
from toucandeald.configuration_copies import compress
from toucandeald.fleet_wire import CompressedConfiguration, ConfigurationCopy
from toucandeald.freshness_calls import FreshnessCalls
from toucandeald.held_configuration import HeldConfiguration
from toucandeald.steady_clock import virtual_time
from toucandeald.tests.simulated_fleet import Fleet, decode_configuration

PROXIES = 24
READERS = 2
COPIED_S = 1.0  # of the 5 s in which a change must be in force
LIMIT_S = 5.0
FIRST_READ_DELAY_S = 0.56  # on a link of 5 Mbit/s
WIDE = ('p3', 'p9', 'p15')  # with wide links; none of them reads for others
POSITION = StoreVersion(1, 10)


def _start(fleet, names):
    def prepare(proxy):
        FreshnessCalls(fleet.clock, proxy.tables, proxy.state).start()
        if proxy.name not in WIDE:
            proxy.state.configuration.first_read_delay_s = FIRST_READ_DELAY_S

    for name in names:
        fleet.add(name, registered=True, prepare=prepare)


@pytest.fixture
def fleet():
    """Return a fleet with the first configuration in force."""
    fleet = Fleet()
    with virtual_time(fleet.clock.seconds):
        fleet.store.put_configuration(b'1')
        _start(fleet, [f'p{number}' for number in range(PROXIES)])
        fleet.run(10.0)
        fleet.store.configuration_reads.clear()
        fleet.reset_counts()
        yield fleet


def _versions(fleet):
    return {
        configuration_version(proxy.tables)
        for proxy in fleet.proxies.values()
        if proxy.running
    }


def test_a_change_is_read_from_the_store_by_two_proxies_only(fleet):
    """Guards against a large row that occupies each narrow link for 0.6 s."""
    fleet.store.put_configuration(b'2')
    fleet.run(COPIED_S)
    assert _versions(fleet) == {2}
    assert fleet.store.configuration_reads.total() == READERS
    copies = [
        count
        for (_, kind), count in fleet.messages.items()
        if kind == 'CompressedConfiguration'
    ]
    assert sum(copies) <= 2 * PROXIES
    fleet.run(10.0)
    assert fleet.store.configuration_reads.total() == READERS


def test_configurations_in_quick_succession_reach_all_proxies(fleet):
    """Guards against narrow links that carry each version in full.

    Besides the readers, each proxy polls once in 8 s.
    """
    for version in range(2, 14):
        fleet.store.put_configuration(str(version).encode())
        fleet.run(0.33)
    fleet.run(COPIED_S)
    assert _versions(fleet) == {13}
    reads = fleet.store.configuration_reads
    assert reads.total() <= 12 * READERS + PROXIES


def test_a_change_is_in_force_in_time_without_the_readers(fleet):
    """Guards against proxies that wait for copies of dead readers."""
    for name in sorted(fleet.proxies)[:READERS]:
        fleet.kill(name)
    fleet.store.put_configuration(b'2')
    fleet.run(4.0)
    assert _versions(fleet) == {2}
    now = fleet.clock.now
    assert all(
        is_fresh(proxy.tables.configuration_freshness, LIMIT_S, now)
        for proxy in fleet.proxies.values()
        if proxy.running
    )


@pytest.mark.parametrize('old', ['p0', 'p7'])
def test_beside_an_earlier_build_each_proxy_reads_changes_itself(fleet, old):
    """Guards against readers of the earlier build, which send no copies."""
    fleet.protocols[old] = 0
    fleet.kill(old)
    _start(fleet, [old])
    fleet.run(6.0)
    fleet.store.configuration_reads.clear()
    fleet.run(10.0)
    fleet.store.put_configuration(b'2')
    fleet.run(COPIED_S)
    assert _versions(fleet) == {2}
    assert fleet.store.configuration_reads.total() == PROXIES
    assert not any(
        kind == 'CompressedConfiguration' and name == old
        for name, kind in fleet.messages
    )


def test_a_proxy_that_was_rolled_back_gets_copies_that_it_knows(fleet):
    """Guards against a message that an earlier build cannot decode.

    Its record is that of the later build until it has registered again.
    """
    fleet.kill('p7')
    fleet.protocols['p7'] = 0
    sent = []
    deliver = fleet.send

    def send(sender, address, message):
        sent.append((address, type(message).__name__))
        deliver(sender, address, message)

    fleet.send = send
    fleet.cut_from_store.add('p7')
    fleet.add('p7', incarnation=2)
    fleet.run(4.0)
    kinds = {kind for address, kind in sent if address == 'p7:1'}
    assert 'ConfigurationCopy' in kinds
    assert 'CompressedConfiguration' not in kinds


def test_after_a_loss_of_all_the_widest_links_carry_the_configuration(fleet):
    """Guards against a restart in which each narrow link carries the row."""
    names = list(fleet.proxies)
    for name in names:
        fleet.kill(name)
    fleet.run(2.0)
    fleet.store.configuration_reads.clear()
    _start(fleet, names)
    fleet.run(COPIED_S)
    assert _versions(fleet) == {1}
    assert fleet.store.configuration_reads.total() <= PROXIES / 2


def _held():
    return HeldConfiguration(FleetTables('p1', 'd'), decode_configuration)


def test_a_copy_of_another_era_is_applied_without_its_position():
    """Guards against a feed that continues from a number given out again."""
    held = _held()
    copy = CompressedConfiguration('p2', compress(b'7'), POSITION)
    held.receive(copy, era=2)
    assert configuration_version(held._tables) == 7
    assert held.position is None


def test_an_earlier_position_is_not_continued_from():
    """Guards against a late copy after which changes are read again."""
    held = _held()
    held.continue_from(StoreVersion(1, 20))
    held.receive(CompressedConfiguration('p2', compress(b'7'), POSITION), era=1)
    assert held.position == StoreVersion(1, 20)


@pytest.mark.parametrize('content', [b'', b'7', compress(b'7')[:-2]])
def test_a_damaged_copy_is_ignored(content):
    """Guards against a position whose configuration is not in force."""
    held = _held()
    held.receive(CompressedConfiguration('p2', content, POSITION), era=1)
    assert held.position is None
    assert not configuration_version(held._tables)


def test_a_copy_of_the_earlier_build_is_applied():
    """Guards against proxies of two builds that do not read each other."""
    held = _held()
    held.receive(ConfigurationCopy('p2', b'7'), era=1)
    assert configuration_version(held._tables) == 7
