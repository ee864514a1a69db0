"""Leaving the failure domain, in virtual time.

The criterion for no oscillation: under a constant load the settled share stays
within 0.1 of the part that the domain cannot serve; under a swinging one it
changes direction, by more than 0.1, at most twice in each period of the load,
and never exceeds the greatest part that the domain cannot serve by over 0.15.
"""

import itertools
import math

import pytest

from toucandeal.domain_crossing import ANNOUNCEMENT_S, next_turn
from toucandeal.fleet import RouteKind
from toucandeal.fleet_tables import PeerView, group_state, server_load
from toucandeal.placement import place_read
from toucandeal.positions import NOTHING_SEEN
from toucandeal.read_crossing import announced_shares, step_crossing
from toucandeal.tests.sample_tables import (
    NOW,
    new_route,
    new_tables,
    record_primary_position,
    renew_lease,
)
from toucandeal.tests.simulated_domains import (
    CAPACITY_PER_S,
    DOMAINS,
    SimulatedDomains,
)

COST_S = 0.005
MEAN = 0.85
SWING = 0.55
TICKS_PER_S = 4
NONE = frozenset()


def _swinging(period_s):
    def demand(domain, now):
        phase = DOMAINS.index(domain) / len(DOMAINS)
        wave = math.sin(2 * math.pi * (now / period_s + phase))
        return CAPACITY_PER_S * MEAN * (1 + SWING * wave)

    return demand


def _short_in(*domains, load=1.5, other=0.4):
    loads = dict.fromkeys(DOMAINS, other) | dict.fromkeys(domains, load)
    return lambda domain, now: CAPACITY_PER_S * loads[domain]


def _reversals(shares, least):
    """Return how often the shares change direction by more than `least`."""
    count, direction, extreme = 0, 0, shares[0]
    for share in shares:
        if direction * (share - extreme) >= 0 and direction:
            extreme = share
        elif abs(share - extreme) > least:
            count += bool(direction)
            direction = 1 if share > extreme else -1
            extreme = share
    return count


def _crossed(domains):
    return sum(
        count for (own, server), count in domains.sent.items() if own != server
    )


def _served_share(domains):
    return domains.served.total() / domains.sent.total()


@pytest.mark.parametrize('age_s', [0, 1])
@pytest.mark.parametrize('period_s', [2, 5, 13, 60])
def test_a_swinging_load_causes_no_oscillation_of_its_own(period_s, age_s):
    domains = SimulatedDomains(COST_S, age_s)
    seconds = max(15, 1.5 * period_s)
    domains.run(seconds, _swinging(period_s))
    most_unserved = 1 - 1 / (MEAN * (1 + SWING))
    for shares in domains.shares.values():
        assert _reversals(shares, 0.1) <= 2 * seconds / period_s + 1
        assert max(shares) <= most_unserved + 0.15
    assert not domains.mutual_reads


@pytest.mark.parametrize('age_s', [0, 0.5, 1])
def test_under_a_constant_load_the_share_settles(age_s):
    domains = SimulatedDomains(COST_S, age_s)
    domains.run(15, _short_in('d1'))
    settled = domains.shares['d1'][6 * TICKS_PER_S :]
    unserved = 1 / 3
    assert unserved - 0.1 < min(settled) and max(settled) < unserved + 0.1


def test_a_swinging_load_is_served_better_than_without_leaving():
    served = []
    for cost_s in (COST_S, 1000):
        domains = SimulatedDomains(cost_s, 0.5)
        domains.run(26, _swinging(13))
        served.append(_served_share(domains))
    assert served[0] > served[1] + 0.03


@pytest.mark.parametrize('age_s', [0, 1])
def test_the_share_rises_by_at_most_a_fifth_per_step(age_s):
    domains = SimulatedDomains(COST_S, age_s)
    domains.run(6, _short_in('d2', load=3))
    rises = [
        after - before
        for before, after in itertools.pairwise(domains.shares['d2'])
    ]
    assert 0.19 < max(rises) < 0.2001


@pytest.mark.parametrize(('age_s', 'least'), [(0, 0.97), (0.5, 0.9)])
def test_a_whole_domains_demand_that_moves_in_a_second_is_served(age_s, least):
    domains = SimulatedDomains(COST_S, age_s)
    moved_at = domains.now + 6

    def demand(domain, now):
        moved = min(max(now - moved_at, 0), 1)
        loads = {'d1': 0.8 * (1 - moved), 'd2': 0.8 * (1 + moved), 'd3': 0.4}
        return CAPACITY_PER_S * loads[domain]

    domains.run(10, demand)
    domains.served.clear()
    domains.sent.clear()
    domains.run(10, demand)
    assert _served_share(domains) > least
    assert domains.sent['d2', 'd1'] > domains.sent['d2', 'd3'] / 2
    assert not domains.sent['d1', 'd2']


def test_reads_go_elsewhere_if_all_servers_of_the_domain_are_gone():
    domains = SimulatedDomains(1000, 0.5)
    domains.gone.add('d1')
    domains.run(3, _short_in(load=0.5, other=0.5))
    assert not domains.sent['d1', 'd1']
    assert domains.sent['d1', 'd2'] and domains.sent['d1', 'd3']
    assert domains.crossing('d1').now.share == 1
    domains.gone.clear()
    domains.sent.clear()
    domains.run(1, _short_in(load=0.5, other=0.5))
    assert _crossed(domains) == 0


@pytest.mark.parametrize('age_s', [0, 0.5])
def test_domains_that_are_short_in_turn_never_send_to_each_other(age_s):
    domains = SimulatedDomains(COST_S, age_s)

    def demand(domain, now):
        short = DOMAINS[int(now / 4) % 2]
        return _short_in(short)(domain, now)

    domains.run(20, demand)
    assert not domains.mutual_reads
    assert domains.sent['d1', 'd3'] and domains.sent['d2', 'd3']


@pytest.mark.parametrize('age_s', [0, 0.5])
def test_domains_that_are_short_at_once_never_send_to_each_other(age_s):
    domains = SimulatedDomains(COST_S, age_s)
    domains.run(8, _short_in('d1', 'd2'))
    assert not domains.mutual_reads
    assert not domains.sent['d1', 'd2'] and not domains.sent['d2', 'd1']
    assert domains.sent['d1', 'd3'] and domains.sent['d2', 'd3']


def test_of_domains_that_are_all_short_only_one_goes_on():
    domains = SimulatedDomains(COST_S, 0.25)
    domains.run(8, _short_in(*DOMAINS, load=1.3))
    domains.sent.clear()
    domains.run(8, _short_in(*DOMAINS, load=1.3))
    assert not domains.mutual_reads
    assert {own for own, server in domains.sent if own != server} <= {'d1'}


@pytest.mark.parametrize(
    ('cost_s', 'least', 'most'), [(0, 300, 700), (0.005, 300, 700), (10, 0, 0)]
)
def test_the_crossing_cost_decides_whether_reads_leave(cost_s, least, most):
    domains = SimulatedDomains(cost_s)
    domains.run(8, _short_in('d1'))
    assert least <= _crossed(domains) <= most


@pytest.mark.parametrize('load', [0.6, 0.95])
def test_no_read_leaves_a_domain_that_can_serve_all_in_time(load):
    domains = SimulatedDomains(0)
    domains.run(8, _short_in('d1', load=load))
    assert _crossed(domains) == 0


def test_reads_that_can_wait_within_a_long_objective_stay():
    crossed = []
    for objective_s in (0.2, 3):
        domains = SimulatedDomains(COST_S, 0, objective_s)
        domains.run(3, _short_in('d1', load=1.3))
        crossed.append(_crossed(domains))
    assert crossed[0] > 0 and crossed[1] == 0


def test_reads_that_leave_do_not_all_go_to_the_server_that_became_free():
    turns = {}
    busy = {'s': 0.05, 't': 0.05}
    before = [next_turn(turns, busy) for _ in range(20)]
    freed = [next_turn(turns, busy | {'t': 0.02}) for _ in range(70)]
    assert before.count('s') == 10
    assert 18 <= freed.count('s') <= 22


def _domain_tables(cost_s=COST_S):
    """Return tables with a replica `b` here and one, `c`, elsewhere."""
    tables = new_tables()
    tables.crossing_cost_s = cost_s
    for name in 'ac':
        server = tables.servers[name]
        tables.servers[name] = server._replace(failure_domain='z2')
    record_primary_position(tables, 7, NOW)
    for name, trip_s in (('a', 0.007), ('b', 0.001), ('c', 0.007)):
        server_load(tables, name).observe_round_trip(trip_s, NOW)
    return tables


def _read(tables, objective_s=0.2, tried=NONE):
    route = new_route(RouteKind.BOUNDED_STALENESS)._replace(
        latency_objective_s=objective_s
    )
    return place_read(tables, route, NOTHING_SEEN, NOW, tried).server.name


def _with_share(tables, share):
    crossing = group_state(tables, 'g').crossing
    crossing.now = crossing.now._replace(
        share=share, announced=share, since=NOW - ANNOUNCEMENT_S
    )
    crossing.destinations = NONE | {'z2'}


def test_a_read_that_would_be_late_leaves_and_one_that_would_not_stays():
    tables = _domain_tables()
    _with_share(tables, 1)
    load = server_load(tables, 'b')
    load.in_flight, load.waiting, load.latency_s = 2, 30, 0.01
    assert _read(tables, objective_s=0.1) in 'ac'
    assert _read(tables, objective_s=5) == 'b'


def test_without_a_crossing_cost_the_constant_factor_decides():
    tables = _domain_tables(cost_s=None)
    _with_share(tables, 1)
    load = server_load(tables, 'b')
    load.in_flight = 0
    load.latency_s = 0.0129
    assert _read(tables) == 'b'
    load.latency_s = 0.0131
    assert _read(tables) == 'c'
    assert step_crossing(tables, NOW) == []


def test_a_read_that_no_untried_server_here_can_serve_leaves():
    tables = _domain_tables(cost_s=10)
    assert _read(tables, tried=NONE | {'b'}) in 'ac'


def _hear(tables, share, heard_at):
    tables.peers['p9'] = PeerView(
        'p9',
        1,
        '',
        heard_at,
        False,
        True,
        {},
        failure_domain='z2',
        crossing_shares={'g': share} if share else {},
    )


def test_a_domain_whose_proxies_are_silent_is_sent_no_reads():
    tables = _domain_tables()
    _hear(tables, 0, NOW - 1)
    assert announced_shares(tables, 'g', NOW) == {'z2': 0}
    assert announced_shares(tables, 'g', NOW + 2) == {'z2': 1}


def test_a_domain_that_begins_to_announce_is_sent_no_reads_from_the_next_step():
    tables = _domain_tables()
    _with_share(tables, 0.5)
    group_state(tables, 'g').crossing.wanted_at = NOW
    _hear(tables, 0.05, NOW)
    renew_lease(tables, NOW)
    step_crossing(tables, NOW)
    assert not group_state(tables, 'g').crossing.destinations


def test_round_trips_of_more_than_ten_seconds_ago_do_not_count():
    load = server_load(_domain_tables(), 'b')
    load.observe_round_trip(0.02, NOW + 9)
    assert load.least_round_trip_s == 0.001
    load.observe_round_trip(0.02, NOW + 11)
    assert load.least_round_trip_s == 0.02
