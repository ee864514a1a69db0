"""How often the store is asked for changes of the configuration."""

import collections
import math

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.errors import StoreUnavailable
from toucandeal.fleet import FleetConfiguration, ProxyRecord
from toucandeal.fleet_tables import FleetTables, PeerView
from toucandeal.store_versions import StoreVersion
from toucandeald.freshness_calls import FreshnessCalls
from toucandeald.shared_state import SharedState, SharedTables
from toucandeald.shared_store import Changes, SharedRow, Snapshot
from toucandeald.steady_clock import virtual_time

NAMES = ('p1', 'p2', 'p3')
DURATION_S = 40.0
STEP_S = 0.01
RENEWED_S = 1.9  # 1.6, 0.05 per rank, and the time of checks and calls
AWAY_AT_S = 3.0


class Store:
    """A store that counts the polls by table and wait."""

    def __init__(self, clock):
        self.clock = clock
        self.polls = collections.Counter()
        self.available = True
        self.era = 1

    async def read_all(self, table):
        """Return the configuration's row."""
        rows = [SharedRow('config', b'1', StoreVersion(1, 1))]
        return Snapshot(
            rows if table == 'op' else [], StoreVersion(self.era, 9)
        )

    async def changes(self, table, after, wait_s):
        """Return no changes after the wait."""
        self.polls[table, wait_s] += 1
        waited = defer.Deferred()
        self.clock.callLater(wait_s + 0.005, waited.callback, None)
        await waited
        if not self.available:
            raise StoreUnavailable('The store is away', 'Wait for it')
        return Changes([], StoreVersion(self.era, after.number))

    async def transact(self, preconditions, puts, removes=()):
        """Lose the write; no test here needs the records."""
        raise StoreUnavailable('The store is away', 'Wait for it')


def _decode(content):
    return FleetConfiguration(int(content), {}, {}, 1.0)


@pytest.fixture
def clock():
    clock = Clock()
    with virtual_time(clock.seconds):
        yield clock


def _start(clock, name, *, limited):
    """Start a proxy that hears no proof from its peers."""
    tables = FleetTables(name, 'd')
    tables.peers = {
        peer: PeerView(peer, 1, '', 0, False, True, {})
        for peer in NAMES
        if peer != name
    }
    store = Store(clock)
    shared = SharedTables('op', 'config', _decode, 'servers', None)
    state = SharedState(clock, tables, store, shared, ProxyRecord(name, 1, ''))
    if limited:
        FreshnessCalls(clock, tables, state).start()
    state.start()
    return tables, state, store


def _advance(clock, seconds):
    for _ in range(round(seconds / STEP_S)):
        clock.advance(STEP_S)


@pytest.mark.parametrize(
    ('name', 'wait_s'), [('p1', 2.0), ('p2', 2.0), ('p3', 10.0)]
)
def test_without_a_limit_the_polls_are_as_before(clock, name, wait_s):
    _, _, store = _start(clock, name, limited=False)
    _advance(clock, DURATION_S)
    assert set(store.polls) == {('op', wait_s), ('servers', wait_s)}
    for polls in store.polls.values():
        assert DURATION_S / wait_s - 1 <= polls <= DURATION_S / wait_s


@pytest.mark.parametrize(
    ('name', 'wait_s', 'servers_wait_s'),
    [('p1', 1.0, 2.0), ('p2', 1.0, 2.0), ('p3', 10.0, 10.0)],
)
def test_with_a_limit_the_proof_stays_fresh(
    clock, name, wait_s, servers_wait_s
):
    tables, _, store = _start(clock, name, limited=True)
    freshness = tables.configuration_freshness
    ages = []
    for _ in range(round(DURATION_S / 0.1)):
        _advance(clock, 0.1)
        ages.append(clock.seconds() - freshness.as_of)
    waits = {('op', 0), ('op', wait_s), ('servers', servers_wait_s)}
    assert set(store.polls) == waits
    assert max(ages) < RENEWED_S
    assert store.polls['op', 0] <= DURATION_S / 1.6


def test_a_proof_is_not_renewed_by_a_store_that_does_not_answer(clock):
    tables, _, store = _start(clock, 'p1', limited=True)
    _advance(clock, AWAY_AT_S)
    store.available = False
    _advance(clock, 10.0)
    assert tables.configuration_freshness.as_of <= AWAY_AT_S
    assert store.polls['op', 0] < 25  # the delay between retries grows


def test_an_answer_of_an_earlier_era_is_no_proof(clock):
    tables, state, store = _start(clock, 'p1', limited=True)
    _advance(clock, 3.0)
    state.note_era(2)  # from a peer's heartbeat
    _advance(clock, 3.0)
    assert tables.configuration_freshness.as_of == -math.inf
    store.era = 2
    _advance(clock, 3.0)
    assert math.isfinite(tables.configuration_freshness.as_of)
