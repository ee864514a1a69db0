"""Reads of the store by many proxies, and answers of an earlier era."""

import collections

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.fleet import ProxyRecord
from toucandeal.fleet_tables import FleetTables, PeerView
from toucandeal.store_versions import StoreVersion
from toucandeald.shared_records import (
    ERA_KEY,
    RECORDS_TABLE,
    decode_records,
    encode_era,
    encode_proxy,
    proxy_key,
)
from toucandeald.shared_state import SharedState, SharedTables
from toucandeald.shared_store import (
    Changes,
    Committed,
    HistoryGone,
    SharedRow,
    Snapshot,
)
from toucandeald.steady_clock import virtual_time

PROXIES = 300
GONE_AT_S = 2.0
READS_PER_S = 2000  # of the smallest store in the site files
WINDOW_S = 0.1
READ_S = 0.004
STEP_S = 0.01


class Store:
    """A store that drops its history at `GONE_AT_S`, and counts reads."""

    def __init__(self, clock):
        self.clock = clock
        self.era = 1
        self.reads = collections.Counter()
        self.rows = {}

    def put(self, key, content):
        """Write a row."""
        number = len(self.rows) + 1
        self.rows[key] = SharedRow(key, content, StoreVersion(self.era, number))

    async def read_all(self, table):
        """Return the rows after the usual time of a call."""
        self.reads[int(self.clock.seconds() / WINDOW_S)] += 1
        era = self.era
        await self._pass(READ_S)
        rows = list(self.rows.values()) if table == RECORDS_TABLE else []
        return Snapshot(rows, StoreVersion(era, 10))

    async def changes(self, table, after, wait_s):
        """Return no changes, or that the history is gone."""
        del table
        remaining_s = GONE_AT_S - self.clock.seconds()
        if 0 < remaining_s <= wait_s:
            await self._pass(remaining_s)
            return HistoryGone(self.era)
        await self._pass(wait_s)
        return Changes([], after)

    async def transact(self, preconditions, puts, removes=()):
        """Apply the rows."""
        del preconditions, removes
        await self._pass(READ_S)
        for put in puts:
            self.put(put.key, put.content)
        return Committed(StoreVersion(self.era, 10))

    def _pass(self, seconds):
        passed = defer.Deferred()
        self.clock.callLater(seconds, passed.callback, None)
        return passed


@pytest.fixture
def clock():
    clock = Clock()
    with virtual_time(clock.seconds):
        yield clock


def _shared_state(clock, store, name, names=()):
    tables = FleetTables(name, 'd')
    tables.peers = {
        peer: PeerView(peer, 1, '', 0, False, True, {})
        for peer in names
        if peer != name
    }
    shared = SharedTables('op', 'config', None, 'servers', None)
    return SharedState(
        clock, tables, store, shared, ProxyRecord(name, 1, f'{name}:1')
    )


def _advance(clock, seconds):
    for _ in range(round(seconds / STEP_S)):
        clock.advance(STEP_S)


def test_reads_stay_within_the_rate_when_all_feeds_restart_at_once(clock):
    store = Store(clock)
    store.put(ERA_KEY, encode_era(1))
    names = [f'p{number:03}' for number in range(PROXIES)]
    for name in names:
        own = ProxyRecord(name, 1, f'{name}:1')
        store.put(proxy_key(name), encode_proxy(own))
        _shared_state(clock, store, name, names).start()
    _advance(clock, 4.0)
    restarted = range(int(GONE_AT_S / WINDOW_S), int(3.9 / WINDOW_S))
    assert sum(store.reads[window] for window in restarted) >= 2 * PROXIES
    assert max(store.reads[window] for window in restarted) <= (
        READS_PER_S * WINDOW_S
    )


def test_an_answer_of_an_earlier_era_is_evidence_of_nothing(clock):
    store = Store(clock)
    store.put(ERA_KEY, encode_era(1))
    store.put(proxy_key('p1'), encode_proxy(ProxyRecord('p1', 1, 'p1:1')))
    state = _shared_state(clock, store, 'p1')
    outcomes = []
    reading = defer.ensureDeferred(state.read_records())
    reading.addCallback(outcomes.append)
    # A peer tells of the new era while the answer is on its way.
    state.note_era(2)
    clock.advance(READ_S)
    assert outcomes == [False]
    assert not state.has_read_records


def test_a_proxy_registers_again_when_the_copy_lacks_it(clock):
    store = Store(clock)
    store.put(ERA_KEY, encode_era(1))
    state = _shared_state(clock, store, 'p1')
    state.start()
    _advance(clock, 1.0)
    assert proxy_key('p1') in store.rows
    store.era = 2
    store.rows = {}
    _advance(clock, 4.0)
    assert proxy_key('p1') in store.rows
    assert not state.records_confirmed


@pytest.mark.parametrize('is_silent', [False, True])
def test_the_first_read_tells_whether_an_earlier_process_is_registered(
    clock, is_silent
):
    """Guards against a restarted proxy that is taken for a newcomer.

    It would wait for 11 s before it votes for a rate coordinator.
    """
    store = Store(clock)
    store.put(ERA_KEY, encode_era(1))
    earlier = ProxyRecord('p1', 7, 'p1:1', silent=is_silent)
    store.put(proxy_key('p1'), encode_proxy(earlier))
    state = _shared_state(clock, store, 'p1')
    state.start()
    _advance(clock, 2.0)
    registered = decode_records(list(store.rows.values())).proxies['p1']
    assert (registered.incarnation, registered.silent) == (1, False)
    assert state._tables.replaces_registered != is_silent
