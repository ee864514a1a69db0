"""The choice of lenders and borrowers of connections."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from toucandeal.connection_shares import connection_share
from toucandeal.lending import (
    choose_lender,
    domain_lenders,
    lendable,
    lenders,
)

NAMES = [f'p{number}' for number in range(28)]


@given(st.integers(1, 200), st.integers(1, 60))
def test_all_proxies_may_reconnect_while_old_connections_are_open(
    limit, proxies
):
    names = [f'p{number}' for number in range(proxies)]
    selected = lenders('s', names, limit)
    assert 1 <= len(selected) <= proxies
    if limit >= 4:
        assert 2 * 2 * len(selected) <= limit or len(selected) == 1


def test_each_lender_may_open_several_connections():
    selected = lenders('s', NAMES, 28)
    demands = dict.fromkeys(selected, 1.0)
    assert min(connection_share(28, demands, name) for name in selected) >= 2


def test_every_proxy_is_a_lender_when_connections_suffice():
    assert set(lenders('s', NAMES[:24], 186)) == set(NAMES[:24])


def test_servers_have_different_lenders():
    counts = collections.Counter(
        name
        for number in range(48)
        for name in lenders(f'server {number}', NAMES, 28)
    )
    assert len(counts) == len(NAMES) and max(counts.values()) <= 24


def test_a_departed_proxy_changes_few_lenders():
    before = set(lenders('s', NAMES, 28))
    after = set(lenders('s', NAMES[1:], 28))
    assert len(before - after) <= 1


def test_borrowers_spread_over_the_lenders():
    chosen = {
        choose_lender('s', name, NAMES[:4], frozenset()) for name in NAMES[4:]
    }
    assert chosen == set(NAMES[:4])


def test_a_lender_in_the_same_failure_domain_is_preferred():
    nearby = frozenset(('p2', 'p20'))
    assert choose_lender('s', 'p9', NAMES[:4], nearby) == 'p2'


@given(st.integers(1, 200), st.integers(1, 60), st.integers(1, 4))
def test_lenders_with_workspaces_open_at_most_half_of_the_connections(
    limit, proxies, domain_count
):
    # Guards against dead connections of all lenders that block a server after
    # a loss of all proxies.
    domains = {
        f'p{number}': f'z{number % domain_count}' for number in range(proxies)
    }
    selected = domain_lenders('s', domains, limit)
    counts = collections.Counter(domains[name] for name in selected)
    assert selected and max(counts.values()) <= 2
    demands = dict.fromkeys(selected, 1.0)
    total = sum(
        connection_share(lendable(limit), demands, name, reserved_share=0)
        for name in selected
    )
    assert total <= max(limit // 2, 1)


def test_each_failure_domain_has_a_lender_before_one_has_two():
    # Guards against a domain that borrows from the others although the
    # connections suffice for a lender of its own.
    domains = {name: 'abc'[number % 3] for number, name in enumerate(NAMES)}
    selected = domain_lenders('s', domains, 12)
    assert {domains[name] for name in selected} == set('abc')
    assert len(domain_lenders('s', domains, 70)) == 6


def test_a_workspace_has_the_same_lender_for_all_borrowers_of_a_domain():
    # Guards against connections of a workspace that are spread over all
    # lenders, where each of them is used rarely.
    nearby = frozenset(('p1', 'p2'))
    chosen = {
        choose_lender('s', f'workspace {number}', NAMES[:6], nearby)
        for number in range(20)
    }
    assert chosen == {'p1', 'p2'}
