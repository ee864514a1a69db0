"""The list of servers, also of a store restored from an older copy."""

import math

import pytest
from twisted.internet.task import Clock

from toucandeal.departures import DepartureAges
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
    _follow(servers, clock)
    return servers


def _follow(servers, clock, wait_s=10.0):
    """Note an answer now, and the next call."""
    servers.note_call_ended()
    servers.note_followed(clock.seconds())
    servers.note_call(clock.seconds(), wait_s)


def _run(servers, clock, seconds):
    """Let time pass with ticks."""
    for _ in range(round(seconds / 0.05)):
        clock.advance(0.05)
        servers.tick(clock.seconds())


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
    servers.note_followed(clock.seconds())
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
    _run(servers, clock, 4)
    assert _counts_drain_time_from(servers, clock, 0.05)


@pytest.mark.parametrize(
    ('ages', 'sent_after_s', 'elapsed_s'),
    [
        # A peer that saw the change on a live connection knows its age.
        ({'a': DepartureAges(1.1, 1.0)}, 0.2, 1.3),
        # Without an age, as from an earlier build, the last proof counts.
        ({}, 0.2, 4),
        ({'a': DepartureAges(1.1, 1.0)}, math.inf, 4),
        # The peer has no proof; this proxy has.
        ({'a': DepartureAges(math.inf, 1.0)}, 0.2, 4),
        ({'a': DepartureAges(60.0, 1.0)}, 0.2, 4),
    ],
)
def test_a_copy_brings_a_change_that_the_own_call_has_not_brought(
    servers, clock, ages, sent_after_s, elapsed_s
):
    # Guards against a drain time counted from the arrival of a copy while the
    # own connection to the store is silent.
    servers._tables.drain_s = 7.0
    _run(servers, clock, 4)
    servers.apply_copy(
        [_row('a', 1, 10, b'leaving'), _row('b', 1, 4)],
        StoreVersion(1, 10),
        ages,
        clock.seconds() - sent_after_s,
    )
    assert _drain_time_began(servers, clock, elapsed_s)


def test_a_started_proxy_counts_from_the_age_in_a_copy(clock):
    tables = FleetTables('p1', 'd')
    tables.drain_s = 7.0
    servers = ServerList(tables, _decode)
    rows = [_row('a', 1, 10, b'leaving')]
    ages = {'a': DepartureAges(2.0, 1.0)}
    servers.apply_copy(rows, StoreVersion(1, 10), ages, clock.seconds())
    assert _drain_time_began(servers, clock, 2)


def test_an_answer_that_comes_late_brings_changes_of_before(servers, clock):
    # Guards against a change that the network has held back: the call was to
    # end after 2 s, and its answer took 5 s.
    servers._tables.drain_s = 7.0
    servers.note_call(clock.seconds(), 2.01)
    _run(servers, clock, 5)
    assert _counts_drain_time_from(servers, clock, 3)


def test_an_answer_that_comes_at_once_brings_changes_of_before(servers, clock):
    # Guards against a change that was made before the call was sent.
    servers._tables.drain_s = 7.0
    _run(servers, clock, 5)
    servers.note_interrupted()
    _run(servers, clock, 1)
    servers.note_call(clock.seconds(), 2.0)
    _run(servers, clock, 0.05)
    assert _counts_drain_time_from(servers, clock, 6.05)


def test_a_whole_read_brings_changes_of_since_the_last_call(servers, clock):
    # Guards against a change that is dated by the arrival of a whole read, after
    # the store has dropped the changes that the call waited for.
    servers._tables.drain_s = 7.0
    _run(servers, clock, 3)
    servers.note_call_ended()
    _run(servers, clock, 2)
    rows = [_row('a', 1, 12, b'leaving'), _row('b', 1, 4)]
    servers.apply_snapshot(rows, StoreVersion(1, 12))
    assert _drain_time_began(servers, clock, 2.05)


def test_servers_that_leave_one_after_the_other_count_from_then(servers, clock):
    # Guards against the price of the above: each answer brings one change.
    servers._tables.drain_s = 7.0
    _run(servers, clock, 5)
    sent_at = clock.seconds() - 5
    servers.apply_changes([_row('b', 1, 10, b'leaving')])
    servers.note_call_ended()
    servers.note_followed(sent_at)
    servers.note_call(clock.seconds(), 10.0)
    _run(servers, clock, 0.05)
    assert _counts_drain_time_from(servers, clock, 0.1)


def test_a_peer_that_saw_a_departure_sooner_is_right(servers, clock):
    # Guards against the later of two sights of the same entry.
    servers._tables.drain_s = 7.0
    _run(servers, clock, 4)
    rows = [_row('a', 1, 10, b'leaving')]
    servers.apply_changes(rows)
    ages = {'a': DepartureAges(60.0, 2.0)}
    servers.apply_copy(rows, StoreVersion(1, 10), ages, -math.inf)
    assert _drain_time_began(servers, clock, 2)
    # A copy of another version of the entry proves nothing about this one.
    rows = [_row('a', 1, 9, b'leaving')]
    ages = {'a': DepartureAges(60.0, 50.0)}
    servers.apply_copy(rows, StoreVersion(1, 11), ages, -math.inf)
    assert _drain_time_began(servers, clock, 2)


def test_an_entry_that_lapses_does_not_begin_the_drain_time_again(
    servers, clock
):
    # Guards against a leaving server whose entry comes back after an outage.
    servers._tables.drain_s = 7.0
    _run(servers, clock, 2)
    servers.apply_changes([_row('a', 1, 10, b'leaving')])
    servers.apply_changes([_row('a', 1, 11, b'', removed=True)])
    _run(servers, clock, REMOVAL_DELAY_S + 0.1)
    assert _listed(servers) == ['b']
    servers.apply_changes([_row('a', 1, 12, b'leaving')])
    assert _drain_time_began(servers, clock, REMOVAL_DELAY_S + 0.15)


def test_a_restored_entry_counts_from_its_arrival(servers, clock):
    # Guards against the time for which an outdated entry is held back.
    servers._tables.drain_s = 7.0
    servers.apply_changes([_row('a', 1, 12)])
    _run(servers, clock, 1)
    servers.apply_changes([_row('a', 2, 3, b'leaving')])
    _run(servers, clock, OUTDATED_ENTRY_S + 0.1)
    assert _drain_time_began(servers, clock, OUTDATED_ENTRY_S + 0.15)


def _counts_drain_time_from(servers, clock, elapsed_s):
    """Return whether a leaving entry counts as `elapsed_s` old."""
    servers.apply_changes([_row('a', 1, 10, b'leaving')])
    servers.note_followed(clock.seconds())
    return _drain_time_began(servers, clock, elapsed_s)


def _drain_time_began(servers, clock, elapsed_s):
    """Return whether the drain time of 7 s began `elapsed_s` ago."""
    ends_at = clock.seconds() + 7.0 - DRAIN_MARGIN_S - elapsed_s
    return accepts_operations(
        servers._tables, 'a', ends_at - 0.01
    ) and not accepts_operations(servers._tables, 'a', ends_at + 0.01)
