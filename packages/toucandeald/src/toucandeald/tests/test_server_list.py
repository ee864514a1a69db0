"""The list of servers, also of a store restored from an older copy."""

import pytest
from twisted.internet.task import Clock

from toucandeal.fleet import Server
from toucandeal.fleet_tables import (
    DRAIN_MARGIN_S,
    FleetTables,
    accepts_operations,
)
from toucandeal.store_versions import StoreVersion
from toucandeald.server_list import (
    OUTDATED_ENTRY_S,
    REMOVAL_DELAY_S,
    ServerList,
)
from toucandeald.shared_store import SharedRow
from toucandeald.steady_clock import virtual_time


def _decode(row):
    state = row.content.decode()
    if state not in {'ready', 'leaving'}:
        raise ValueError(state)
    return Server(row.key, 'g', '', 'd', 2, state == 'leaving', False)


def _row(key, era, number, content=b'ready', removed=False):
    return SharedRow(key, content, StoreVersion(era, number), removed)


@pytest.fixture
def clock():
    clock = Clock()
    with virtual_time(clock.seconds):
        yield clock


@pytest.fixture
def servers(clock):
    servers = ServerList(FleetTables('p1', 'd'), _decode)
    servers.apply_snapshot(
        [_row('a', 1, 3), _row('b', 1, 4)], StoreVersion(1, 9)
    )
    servers.note_followed()
    return servers


def _listed(servers):
    return sorted(servers._tables.servers)


def test_a_server_removed_in_a_gap_of_the_feed_is_gone(servers, clock):
    servers.apply_snapshot([_row('a', 1, 3)], StoreVersion(1, 12))
    servers.tick(clock.seconds() + REMOVAL_DELAY_S)
    assert _listed(servers) == ['a']


def test_an_older_snapshot_changes_nothing(servers, clock):
    servers.apply_snapshot([], StoreVersion(1, 8))
    servers.tick(clock.seconds() + REMOVAL_DELAY_S)
    assert _listed(servers) == ['a', 'b']


def test_a_restored_entry_of_a_removed_server_is_held_back(servers, clock):
    servers.apply_changes([_row('b', 1, 12, b'', removed=True)])
    servers.tick(clock.seconds() + REMOVAL_DELAY_S)
    servers.apply_snapshot(
        [_row('a', 2, 3), _row('b', 2, 4)], StoreVersion(2, 9)
    )
    assert _listed(servers) == ['a']
    servers.tick(clock.seconds() + OUTDATED_ENTRY_S - 0.1)
    assert _listed(servers) == ['a']


def test_a_restored_entry_does_not_take_back_that_a_server_leaves(servers):
    servers.apply_changes([_row('b', 1, 12, b'leaving')])
    servers.apply_snapshot(
        [_row('a', 2, 3), _row('b', 2, 4)], StoreVersion(2, 9)
    )
    assert servers._tables.servers['b'].leaving
    # The server reports again, under a number that was given out before.
    servers.apply_changes([_row('b', 2, 11, b'leaving')])
    assert servers._tables.servers['b'].leaving


def test_a_server_that_reports_again_is_used_at_once(servers, clock):
    servers.apply_changes([_row('b', 1, 12, b'', removed=True)])
    servers.tick(clock.seconds() + REMOVAL_DELAY_S)
    servers.apply_snapshot(
        [_row('a', 2, 3), _row('b', 2, 4)], StoreVersion(2, 9)
    )
    servers.apply_changes([_row('b', 2, 13)])
    assert _listed(servers) == ['a', 'b']


def test_a_held_entry_counts_once_the_store_would_have_dropped_it(
    servers, clock
):
    servers.apply_changes([_row('b', 1, 12, b'', removed=True)])
    servers.tick(clock.seconds() + REMOVAL_DELAY_S)
    servers.apply_snapshot(
        [_row('a', 2, 3), _row('b', 2, 4)], StoreVersion(2, 9)
    )
    servers.tick(clock.seconds() + OUTDATED_ENTRY_S)
    assert _listed(servers) == ['a', 'b']


def test_a_held_entry_that_the_store_drops_stays_gone(servers, clock):
    servers.apply_changes([_row('b', 1, 12, b'', removed=True)])
    servers.tick(clock.seconds() + REMOVAL_DELAY_S)
    servers.apply_snapshot(
        [_row('a', 2, 3), _row('b', 2, 4)], StoreVersion(2, 9)
    )
    servers.apply_changes([_row('b', 2, 10, b'', removed=True)])
    servers.tick(clock.seconds() + OUTDATED_ENTRY_S)
    assert _listed(servers) == ['a']


def test_a_server_that_the_copy_lacks_is_kept_until_it_reports(servers, clock):
    servers.apply_snapshot([_row('a', 2, 3)], StoreVersion(2, 3))
    servers.tick(clock.seconds() + REMOVAL_DELAY_S - 0.1)
    assert _listed(servers) == ['a', 'b']
    servers.apply_changes([_row('b', 2, 4)])
    servers.tick(clock.seconds() + 2 * REMOVAL_DELAY_S)
    assert _listed(servers) == ['a', 'b']


def test_a_server_gets_no_operations_after_its_drain_time(servers, clock):
    # Guards against work at a leaving primary that no other server can replace.
    tables = servers._tables
    tables.drain_s = 7.0
    servers.apply_changes([_row('a', 1, 10, b'leaving')])
    clock.advance(5)
    servers.apply_changes([_row('a', 1, 11, b'leaving')])
    assert accepts_operations(tables, 'a', clock.seconds() + 1)
    assert not accepts_operations(tables, 'a', clock.seconds() + 2)
    servers.apply_changes([_row('a', 1, 12)])
    assert accepts_operations(tables, 'a', clock.seconds() + 2)


def test_a_server_that_was_leaving_before_this_proxy_started_gets_none(clock):
    # Guards against operations after the drain time at a leaving primary: the
    # proxy counted it from its own start.
    tables = FleetTables('p1', 'd')
    tables.drain_s = 7.0
    servers = ServerList(tables, _decode)
    servers.apply_snapshot([_row('a', 1, 3, b'leaving')], StoreVersion(1, 9))
    servers.note_followed()
    assert not accepts_operations(tables, 'a', clock.seconds())


def test_a_server_may_leave_while_the_store_gives_no_answer(servers, clock):
    # Guards against the same after a cut from the store.
    servers._tables.drain_s = 7.0
    clock.advance(2)
    servers.tick(clock.seconds())
    servers.note_interrupted()
    clock.advance(2)
    servers.tick(clock.seconds())
    assert _counts_drain_time_from(servers, clock, 4)


def test_a_server_may_leave_during_a_freeze(servers, clock):
    # Guards against the same after a freeze of the process.
    servers._tables.drain_s = 7.0
    clock.advance(4)
    servers.tick(clock.seconds())
    assert _counts_drain_time_from(servers, clock, 4)


def test_the_drain_time_of_a_followed_entry_begins_when_it_changes(
    servers, clock
):
    servers._tables.drain_s = 7.0
    for _ in range(40):
        servers.tick(clock.seconds())
        clock.advance(0.1)
    assert _counts_drain_time_from(servers, clock, 0.2)


def _counts_drain_time_from(servers, clock, elapsed_s):
    """Return whether a leaving entry counts as `elapsed_s` old."""
    servers.apply_changes([_row('a', 1, 10, b'leaving')])
    servers.note_followed()
    ends_at = clock.seconds() + 7.0 - DRAIN_MARGIN_S - elapsed_s
    return accepts_operations(
        servers._tables, 'a', ends_at - 0.01
    ) and not accepts_operations(servers._tables, 'a', ends_at + 0.01)
