"""Registrations of proxies, with calls that the store performs late."""

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.fleet import ProxyRecord
from toucandeal.fleet_tables import FleetTables
from toucandeal.store_versions import NO_VERSION, StoreVersion
from toucandeald.shared_records import (
    ERA_KEY,
    decode_records,
    encode_era,
    proxy_key,
)
from toucandeald.shared_state import SharedState, SharedTables
from toucandeald.shared_store import (
    Committed,
    Conflict,
    SharedRow,
    Snapshot,
)
from toucandeald.steady_clock import virtual_time

KEY = proxy_key('p1')


class Store:
    """A store that performs the calls of `late` only when told to."""

    def __init__(self):
        self.rows = {}
        self.number = 0
        self.late = False
        self.held = []
        self.put(ERA_KEY, encode_era(1))

    def put(self, key, content):
        """Write a row."""
        self.number += 1
        version = StoreVersion(1, self.number)
        self.rows[key] = SharedRow(key, content, version)

    async def read_all(self, table):
        """Return the rows."""
        del table
        return Snapshot(list(self.rows.values()), StoreVersion(1, self.number))

    async def transact(self, preconditions, puts, removes=()):
        """Perform a call, or hold it."""
        call = (list(preconditions), list(puts), list(removes))
        if self.late:
            self.held.append(call)
            return await defer.Deferred()
        return self.perform(call)

    def perform(self, call):
        """Write and remove rows if the preconditions hold."""
        preconditions, puts, removes = call
        for condition in preconditions:
            row = self.rows.get(condition.key)
            version = NO_VERSION if row is None else row.version
            if version != condition.version:
                return Conflict([])
        for put in puts:
            self.put(put.key, put.content)
        for _, key in removes:
            self.rows.pop(key, None)
        return Committed(StoreVersion(1, self.number))

    def perform_held(self):
        """Perform the held calls."""
        self.late = False
        for call in self.held:
            self.perform(call)


@pytest.fixture(autouse=True)
def clock():
    clock = Clock()
    with virtual_time(clock.seconds):
        yield clock


def start_process(clock, store, incarnation):
    """Return the state of a process of the proxy that has read the records."""
    state = SharedState(
        clock,
        FleetTables('p1', 'd'),
        store,
        SharedTables('op', 'config', None, 'servers', None),
        ProxyRecord('p1', incarnation, 'p1:1'),
    )
    clock.advance(0.01)
    defer.ensureDeferred(state.read_records())
    return state


def register(clock, state):
    """Register a process, and read the records after it."""
    clock.advance(0.01)
    defer.ensureDeferred(state._register())


def registered_incarnation(store):
    """Return the incarnation in the store's row of the proxy."""
    return decode_records([store.rows[KEY]]).proxies['p1'].incarnation


@pytest.mark.parametrize('late_call', ['register', 'deregister'])
def test_a_late_call_of_an_earlier_process_leaves_the_present_one_registered(
    clock, store, late_call
):
    # Guards against promotions that do not wait for the lease of a proxy that
    # works, because its row was removed or replaced.
    earlier = start_process(clock, store, incarnation=1)
    register(clock, earlier)
    store.late = True
    if late_call == 'register':
        register(clock, earlier)
    else:
        defer.ensureDeferred(earlier.deregister())
    store.late = False
    register(clock, start_process(clock, store, incarnation=2))
    assert registered_incarnation(store) == 2
    store.perform_held()
    assert store.held and registered_incarnation(store) == 2


def test_a_process_that_ends_removes_its_own_row(clock, store):
    state = start_process(clock, store, incarnation=1)
    register(clock, state)
    defer.ensureDeferred(state.deregister())
    assert KEY not in store.rows


@pytest.fixture
def store():
    """Return a store with confirmed records."""
    return Store()
