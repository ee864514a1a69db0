"""Where statements run."""

import pytest

from toucandeal.fleet import GroupRecord, RouteKind
from toucandeal.fleet_tables import learn_record, record_position, server_load
from toucandeal.placement import (
    Place,
    Refuse,
    place_read,
    place_write,
)
from toucandeal.positions import NOTHING_SEEN, LogPosition
from toucandeal.tests.fleet_world import (
    NOW,
    new_route,
    new_tables,
    permit,
    primary_at,
)

NONE = frozenset()


def _read(
    tables,
    now=NOW,
    seen=NOTHING_SEEN,
    kind=RouteKind.READ_YOUR_WRITES,
    tried=NONE,
):
    return place_read(tables, new_route(kind), seen, now, tried)


def test_a_write_goes_to_the_primary():
    place = place_write(new_tables(), new_route(), NOW)
    assert place.server.name == 'a' and place.on_primary


def test_nothing_goes_to_a_primary_without_permission():
    tables = new_tables()
    refusal = place_write(tables, new_route(), NOW + 5)
    assert isinstance(refusal, Refuse) and refusal.retry_after_s > 0


def test_a_promotion_under_way_says_when_to_come_back():
    tables = new_tables()
    learn_record(tables, GroupRecord('g', 'a', 3, changing=True, version=2))
    refusal = place_write(tables, new_route(), NOW)
    assert refusal.reason == 'a promotion is under way'


def test_a_read_without_a_sample_goes_to_the_primary():
    assert _read(new_tables()).server.name == 'a'


def test_a_read_goes_to_a_replica_and_names_what_it_must_hold():
    tables = new_tables()
    primary_at(tables, 7, NOW)
    place = _read(tables)
    assert place.server.name in 'bc' and place.after == LogPosition(3, 7)


def test_a_primary_route_reads_at_the_primary_only():
    tables = new_tables()
    primary_at(tables, 7, NOW)
    assert _read(tables, kind=RouteKind.PRIMARY).server.name == 'a'


def test_a_read_asks_for_the_sessions_own_commit():
    tables = new_tables()
    primary_at(tables, 7, NOW)
    assert _read(tables, seen=LogPosition(3, 9)).after == LogPosition(3, 9)


def test_bounded_staleness_ignores_the_sessions_commit():
    tables = new_tables()
    primary_at(tables, 7, NOW)
    place = _read(
        tables, seen=LogPosition(3, 9), kind=RouteKind.BOUNDED_STALENESS
    )
    assert place.after == LogPosition(3, 7)


def test_the_oldest_sufficient_sample_is_asked_for():
    tables = new_tables()
    for index, at in ((5, NOW), (7, NOW + 1), (9, NOW + 1.3)):
        permit(tables, at)
        primary_at(tables, index, at)
    assert _read(tables, NOW + 1.3).after == LogPosition(3, 5)
    permit(tables, NOW + 2)
    assert _read(tables, NOW + 2).after == LogPosition(3, 7)


def test_a_sample_that_is_too_old_leaves_only_the_primary():
    tables = new_tables()
    primary_at(tables, 7, NOW)
    permit(tables, NOW + 2)
    assert _read(tables, NOW + 2).server.name == 'a'
    assert isinstance(_read(tables, NOW + 4), Refuse)


def test_a_position_of_an_earlier_term_does_not_lock_a_session_out():
    tables = new_tables()
    primary_at(tables, 7, NOW)
    learn_record(tables, GroupRecord('g', 'b', 4, version=2))
    primary_at(tables, 6, NOW, term=4)
    assert _read(tables, seen=LogPosition(3, 99)).after == LogPosition(4, 6)


def test_samples_of_a_superseded_primary_are_dropped():
    tables = new_tables()
    primary_at(tables, 7, NOW)
    learn_record(tables, GroupRecord('g', 'b', 4, version=2))
    record_position(tables, tables.servers['a'], LogPosition(3, 8), NOW, NOW)
    assert _read(tables).server.name == 'b'


def test_a_replica_that_lagged_is_left_alone_for_a_moment():
    tables = new_tables()
    primary_at(tables, 7, NOW)
    for name in 'bc':
        server_load(tables, name).lagging_until = NOW + 0.05
    assert _read(tables).server.name == 'a'


@pytest.mark.parametrize('tried', [frozenset('b'), frozenset('bc')])
def test_a_server_that_fell_short_is_not_tried_again(tried):
    tables = new_tables()
    primary_at(tables, 7, NOW)
    assert _read(tables, tried=tried).server.name not in tried


def test_a_leaving_replica_gets_no_reads():
    tables = new_tables()
    primary_at(tables, 7, NOW)
    tables.servers['b'] = tables.servers['b']._replace(leaving=True)
    assert _read(tables).server.name == 'c'


def test_busy_replicas_leave_reads_to_the_primary():
    tables = new_tables()
    primary_at(tables, 7, NOW)
    for name in 'bc':
        server_load(tables, name).in_flight = 5
    place = _read(tables)
    assert isinstance(place, Place) and place.server.name == 'a'
