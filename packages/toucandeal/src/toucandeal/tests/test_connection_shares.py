"""Division of a server's connections by demand."""

from hypothesis import given
from hypothesis import strategies as st

from toucandeal.connection_shares import connection_share, decayed_demand

NAMES = [f'p{number}' for number in range(28)]


def _shares(limit, demands):
    return {name: connection_share(limit, demands, name) for name in demands}


@given(
    st.integers(1, 200),
    st.lists(st.floats(0, 50), min_size=1, max_size=28),
)
def test_the_shares_stay_below_the_limit(limit, demand_values):
    demands = dict(zip(NAMES, demand_values, strict=False))
    shares = _shares(limit, demands)
    minimal_shares = sum(share == 1 for share in shares.values())
    assert min(shares.values()) >= 1
    assert sum(shares.values()) <= max(0.9 * limit, 0) + minimal_shares


def test_a_proxy_with_more_demand_gets_a_larger_share():
    shares = _shares(16, {'p1': 6, 'p2': 2, 'p3': 0, 'p4': 0})
    assert shares['p1'] >= 6 and shares['p2'] >= 3
    assert shares['p3'] == shares['p4'] == 1


def test_shares_are_equal_without_demand():
    assert set(_shares(16, dict.fromkeys(NAMES[:4], 0)).values()) == {3}


def test_demand_decays_within_seconds_after_callers_have_left():
    demand = 8.0
    for _ in range(24):  # maintenance intervals of 0.25 s
        demand = decayed_demand(demand, 0)
    assert demand < 1


def test_at_least_one_connection_is_allowed():
    demands = {f'p{number}': 1 for number in range(300)}
    assert connection_share(16, demands, 'p7') == 1
