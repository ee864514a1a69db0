"""Selection of the server for a statement."""

import pytest

from toucandeal.departures import Departure
from toucandeal.fleet import GroupRecord, RouteKind
from toucandeal.fleet_tables import (
    apply_record,
    note_leading,
    note_not_leading,
    record_position,
    server_load,
)
from toucandeal.placement import (
    Placement,
    Refusal,
    Wait,
    place_read,
    place_write,
)
from toucandeal.positions import NOTHING_SEEN, LogPosition
from toucandeal.primary_lease import LEASE_DURATION_S, PrimaryLease
from toucandeal.rendezvous import rendezvous_order
from toucandeal.store_versions import StoreVersion
from toucandeal.tests.sample_tables import (
    NOW,
    new_route,
    new_tables,
    record_primary_position,
    renew_lease,
)
from toucandeal.workspaces import Workspace

NONE = frozenset()


def _read(
    tables,
    now=NOW,
    seen=NOTHING_SEEN,
    kind=RouteKind.READ_YOUR_WRITES,
    tried=NONE,
    workspace='',
):
    return place_read(tables, new_route(kind), seen, now, tried, workspace)


def test_a_write_goes_to_the_primary():
    placement = place_write(new_tables(), new_route(), NOW)
    assert placement.server.name == 'a' and placement.on_primary


def test_no_write_goes_to_a_primary_without_a_lease():
    tables = new_tables()
    refusal = place_write(tables, new_route(), NOW + 5)
    assert isinstance(refusal, Refusal) and refusal.retry_after_s > 0


def test_a_write_during_a_promotion_is_refused():
    tables = new_tables()
    apply_record(
        tables,
        GroupRecord('g', 'a', 3, changing=True, version=StoreVersion(0, 2)),
        NOW,
    )
    refusal = place_write(tables, new_route(), NOW)
    assert refusal.reason == 'a promotion is under way'


def test_no_operation_goes_to_a_primary_past_its_drain_time():
    # Guards against requests at a leaving server that may end at any moment.
    tables = new_tables()
    tables.drain_s = 7.0
    tables.departures['a'] = Departure(NOW - 6, NOW)
    assert place_write(tables, new_route(), NOW).server.name == 'a'
    tables.departures['a'] = Departure(NOW - 7, NOW)
    assert isinstance(place_write(tables, new_route(), NOW), Refusal)
    assert isinstance(_read(tables), Refusal)


def test_a_server_that_denies_to_lead_is_not_used_as_the_primary():
    # Guards against stale reads at a server that has lost the lead while the
    # lease on it lasts, and against samples from it.
    tables = new_tables()
    record_primary_position(tables, 7, NOW)
    epoch = tables.groups['g'].epoch
    note_not_leading(tables, tables.servers['a'], NOW)
    assert tables.groups['g'].epoch > epoch
    record_primary_position(tables, 8, NOW)
    assert not tables.groups['g'].history
    assert isinstance(place_write(tables, new_route(), NOW), Refusal)
    assert isinstance(_read(tables), Refusal)
    note_not_leading(tables, tables.servers['b'], NOW)
    note_leading(tables, tables.servers['b'], NOW, NOW)
    assert isinstance(place_write(tables, new_route(), NOW), Refusal)
    note_leading(tables, tables.servers['a'], NOW, NOW)
    assert place_write(tables, new_route(), NOW).server.name == 'a'


def test_another_primary_is_used_after_one_that_denied_to_lead():
    tables = new_tables()
    note_not_leading(tables, tables.servers['a'], NOW)
    apply_record(
        tables, GroupRecord('g', 'b', 4, version=StoreVersion(0, 2)), NOW
    )
    assert place_write(tables, new_route(), NOW).server.name == 'b'


def test_a_read_without_a_sample_goes_to_the_primary():
    assert _read(new_tables()).server.name == 'a'


def test_a_read_goes_to_a_replica_with_a_required_position():
    tables = new_tables()
    record_primary_position(tables, 7, NOW)
    placement = _read(tables)
    assert placement.server.name in 'bc' and placement.after == LogPosition(
        3, 7
    )


def test_a_primary_route_reads_at_the_primary_only():
    tables = new_tables()
    record_primary_position(tables, 7, NOW)
    assert _read(tables, kind=RouteKind.PRIMARY).server.name == 'a'


def test_a_read_requires_the_sessions_own_commit():
    tables = new_tables()
    record_primary_position(tables, 7, NOW)
    assert _read(tables, seen=LogPosition(3, 9)).after == LogPosition(3, 9)


def test_bounded_staleness_ignores_the_sessions_commit():
    tables = new_tables()
    record_primary_position(tables, 7, NOW)
    placement = _read(
        tables, seen=LogPosition(3, 9), kind=RouteKind.BOUNDED_STALENESS
    )
    assert placement.after == LogPosition(3, 7)


def test_the_oldest_sufficient_sample_is_required():
    tables = new_tables()
    for index, at in ((5, NOW), (7, NOW + 1), (9, NOW + 1.3)):
        renew_lease(tables, at)
        record_primary_position(tables, index, at)
    assert _read(tables, NOW + 1.3).after == LogPosition(3, 5)
    renew_lease(tables, NOW + 2)
    assert _read(tables, NOW + 2).after == LogPosition(3, 7)


def test_a_sample_that_is_too_old_leaves_only_the_primary():
    tables = new_tables()
    record_primary_position(tables, 7, NOW)
    renew_lease(tables, NOW + 2)
    assert _read(tables, NOW + 2).server.name == 'a'
    assert isinstance(_read(tables, NOW + 4), Refusal)


def test_a_position_of_an_earlier_term_does_not_block_reads():
    tables = new_tables()
    record_primary_position(tables, 7, NOW)
    apply_record(
        tables, GroupRecord('g', 'b', 4, version=StoreVersion(0, 2)), NOW
    )
    record_primary_position(tables, 6, NOW, term=4)
    assert _read(tables, seen=LogPosition(3, 99)).after == LogPosition(4, 6)


def test_samples_of_a_superseded_primary_are_dropped():
    tables = new_tables()
    record_primary_position(tables, 7, NOW)
    apply_record(
        tables, GroupRecord('g', 'b', 4, version=StoreVersion(0, 2)), NOW
    )
    record_position(tables, tables.servers['a'], LogPosition(3, 8), NOW, NOW)
    assert _read(tables).server.name == 'b'


def test_a_replica_that_lagged_is_avoided_for_a_time():
    tables = new_tables()
    record_primary_position(tables, 7, NOW)
    for name in 'bc':
        server_load(tables, name).lagging_until = NOW + 0.05
    assert _read(tables).server.name == 'a'


@pytest.mark.parametrize('tried', [frozenset('b'), frozenset('bc')])
def test_a_server_that_could_not_serve_is_not_retried(tried):
    tables = new_tables()
    record_primary_position(tables, 7, NOW)
    assert _read(tables, tried=tried).server.name not in tried


def test_a_leaving_replica_gets_no_reads():
    tables = new_tables()
    record_primary_position(tables, 7, NOW)
    tables.servers['b'] = tables.servers['b']._replace(leaving=True)
    assert _read(tables).server.name == 'c'


def test_busy_replicas_leave_reads_to_the_primary():
    tables = new_tables()
    record_primary_position(tables, 7, NOW)
    for name in 'bc':
        server_load(tables, name).in_flight = 5
    placement = _read(tables)
    assert isinstance(placement, Placement) and placement.server.name == 'a'


def _with_workspaces(names):
    tables = new_tables()
    tables.configuration = tables.configuration._replace(
        workspaces={name: Workspace(name) for name in names} or None
    )
    record_primary_position(tables, 7, NOW)
    for name in 'abc':
        server_load(tables, name).latency_s = 0.02
    return tables


def test_the_reads_of_a_workspace_prefer_one_replica():
    # Guards against workspaces whose reads alternate between the replicas with
    # every small change of the load, each time with a new connection.
    names = [f'w{number}' for number in range(20)]
    tables = _with_workspaces(names)
    chosen = {}
    for name in names:
        preferred = rendezvous_order(('b', 'c'), name)[0]
        server_load(tables, preferred).latency_s = 0.025
        chosen[name] = _read(tables, workspace=name).server.name
        assert chosen[name] == preferred
        server_load(tables, preferred).latency_s = 0.02
    assert set(chosen.values()) == {'b', 'c'}


def test_the_reads_of_a_busy_workspace_use_all_replicas():
    # Guards against a large workspace that waits at one replica while others
    # are idle.
    tables = _with_workspaces(['w'])
    used = []
    for _ in range(8):
        used.append(_read(tables, workspace='w').server.name)
        server_load(tables, used[-1]).in_flight += 1
    assert min(used.count('b'), used.count('c')) >= 3


def test_without_workspaces_reads_have_no_affinity():
    # Guards against a deployment without workspaces that decides differently.
    tables = _with_workspaces([])
    for cheaper in 'bc':
        server_load(tables, cheaper).latency_s = 0.019
        for name in ('', 'w1', 'w2', 'w3'):
            assert _read(tables, workspace=name).server.name == cheaper
        server_load(tables, cheaper).latency_s = 0.02


def test_an_unavailable_preferred_replica_is_replaced():
    # Guards against reads that wait for the preferred replica, or that all go
    # to the primary instead.
    tables = _with_workspaces(['w'])
    first, second = rendezvous_order(('b', 'c'), 'w')
    server_load(tables, first).avoided_until = NOW + 1
    assert _read(tables, workspace='w').server.name == second
    assert _read(tables, tried=frozenset((second,)), workspace='w').on_primary


def _changing(tables):
    record = GroupRecord('g', 'a', 3, changing=True, version=StoreVersion(0, 2))
    apply_record(tables, record, NOW)


@pytest.mark.parametrize(
    'kind', [RouteKind.PRIMARY, RouteKind.READ_YOUR_WRITES]
)
def test_statements_wait_while_a_promotion_is_under_way(kind):
    # Guards against callers whose retries end before the promotion does.
    tables = new_tables()
    _changing(tables)
    refusal = place_read(tables, new_route(kind), NOTHING_SEEN, NOW, NONE)
    assert refusal.wait is Wait.TIMEOUT
    assert place_write(tables, new_route(), NOW).wait is Wait.TIMEOUT


def test_statements_wait_for_the_first_lease_of_a_restarted_proxy():
    tables = new_tables()
    tables.primary_lease = PrimaryLease('p1')
    assert place_write(tables, new_route(), NOW).wait is Wait.OBJECTIVE


@pytest.mark.parametrize(
    ('without_lease_s', 'wait'), [(0.2, Wait.OBJECTIVE), (2.0, Wait.NONE)]
)
def test_a_proxy_that_is_cut_off_refuses_at_once(without_lease_s, wait):
    # Other proxies serve the callers that come back to them.
    tables = new_tables()
    expired_at = NOW + LEASE_DURATION_S
    refusal = place_write(tables, new_route(), expired_at + without_lease_s)
    assert refusal.wait is wait


@pytest.mark.parametrize(
    ('unreachable_since', 'wait'), [(NOW, Wait.TIMEOUT), (None, Wait.NONE)]
)
def test_only_a_silent_primary_is_waited_for(unreachable_since, wait):
    # A primary that accepts no more connections serves other proxies.
    tables = new_tables()
    load = server_load(tables, 'a')
    load.avoided_until = NOW + 0.25
    load.unreachable_since = unreachable_since
    assert place_write(tables, new_route(), NOW).wait is wait
