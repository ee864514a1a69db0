"""Who holds connections, and who borrows them."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from toucandeal.connection_shares import connection_share
from toucandeal.lending import choose_lender, lenders

NAMES = [f'p{number}' for number in range(28)]


@given(st.integers(1, 200), st.integers(1, 60))
def test_all_may_return_while_the_old_connections_are_still_open(
    limit, proxies
):
    names = [f'p{number}' for number in range(proxies)]
    holding = lenders('s', names, limit)
    assert 1 <= len(holding) <= proxies
    if limit >= 4:
        assert 2 * 2 * len(holding) <= limit or len(holding) == 1


def test_a_lender_may_hold_several():
    holding = lenders('s', NAMES, 28)
    demands = dict.fromkeys(holding, 1.0)
    assert min(connection_share(28, demands, name) for name in holding) >= 2


def test_where_connections_abound_nobody_borrows():
    assert set(lenders('s', NAMES[:24], 186)) == set(NAMES[:24])


def test_servers_have_different_lenders():
    counts = collections.Counter(
        name
        for number in range(48)
        for name in lenders(f'server {number}', NAMES, 28)
    )
    assert len(counts) == len(NAMES) and max(counts.values()) <= 24


def test_a_departed_proxy_moves_few_lenders():
    before = set(lenders('s', NAMES, 28))
    after = set(lenders('s', NAMES[1:], 28))
    assert len(before - after) <= 1


def test_borrowers_spread_over_the_lenders():
    asked = {
        choose_lender('s', name, NAMES[:4], frozenset()) for name in NAMES[4:]
    }
    assert asked == set(NAMES[:4])


def test_a_lender_nearby_is_preferred():
    near = frozenset(('p2', 'p20'))
    assert choose_lender('s', 'p9', NAMES[:4], near) == 'p2'
