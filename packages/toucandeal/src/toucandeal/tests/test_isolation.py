"""Detection of isolated proxies."""

from toucandeal.fleet_tables import PeerView
from toucandeal.isolation import IsolationState, is_isolated, record_lease
from toucandeal.tests.sample_tables import NOW, new_tables

LATER = NOW + 5


def _is_isolated_after(tables, seconds):
    state = IsolationState()
    record_lease(state, tables, LATER)
    return is_isolated(state, tables, LATER + seconds)


def _hear(tables, now):
    tables.peers['p2'] = PeerView('p2', 1, 'p2:1', now, False, True, {})


def test_a_proxy_with_a_lease_is_not_isolated():
    tables = new_tables()
    state = IsolationState()
    record_lease(state, tables, NOW)
    assert not is_isolated(state, tables, NOW + 9)


def test_a_proxy_that_hears_no_peer_is_isolated():
    assert _is_isolated_after(new_tables(), 1)


def test_a_gap_of_less_than_the_limit_is_ignored():
    assert not _is_isolated_after(new_tables(), 0.05)


def test_a_late_renewal_among_peers_that_are_heard_is_ignored():
    tables = new_tables()
    _hear(tables, LATER - 0.5)
    assert not _is_isolated_after(tables, 0.3)


def test_an_isolated_proxy_is_detected_before_its_callers_have_given_up():
    # Guards against callers that come back to a cut-off proxy until the load
    # balancer has noticed it, which takes two more seconds.
    assert _is_isolated_after(new_tables(), 0.2)


def test_a_proxy_that_hears_all_peers_is_not_isolated():
    tables = new_tables()
    _hear(tables, LATER + 1)
    assert not _is_isolated_after(tables, 1)


def test_a_renewed_lease_ends_the_isolation():
    tables = new_tables()
    state = IsolationState()
    record_lease(state, tables, LATER)
    _hear(tables, LATER)
    record_lease(state, new_tables(), NOW)
    assert not is_isolated(state, tables, LATER + 9)
