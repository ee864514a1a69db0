"""Tests of group hosts, and of changes to declared groups."""

import pytest

from toucandeal import engine
from toucandeal.actions import Poll, ResizePool
from toucandeal.configuration import Row
from toucandeal.entities import Peer
from toucandeal.errors import BadToken
from toucandeal.membership import (
    choose_host,
    heartbeat_received,
    hosts,
    is_host,
)
from toucandeal.sessions import MAX_GROUPS, Session, check_group_limit
from toucandeal.tests.simulated_proxy import GROUP, NAMES, target_document


def _receive_heartbeats(simulated_proxy, names):
    live = ('p', *names)
    for name in names:
        peer = Peer(name, 1, '', '', '', False, live, 7, simulated_proxy.now)
        simulated_proxy.apply_event(heartbeat_received, peer, [])


def _declare_group(simulated_proxy, names=NAMES, **changes):
    version = simulated_proxy.configuration.version + 1
    targets = [target_document(name, **changes) for name in names]
    row = Row(f'group/{GROUP}', version, {'targets': targets})
    simulated_proxy.configuration = simulated_proxy.apply_event(
        engine.configuration_received,
        simulated_proxy.configuration,
        version,
        [row],
    )


def test_connection_limit_bounds_the_number_of_hosts(simulated_proxy):
    _receive_heartbeats(simulated_proxy, [f'q{number}' for number in range(9)])
    _declare_group(simulated_proxy, connections=8)
    simulated_proxy.tick()
    assert len(hosts(simulated_proxy.tables, GROUP)) == 2
    simulated_proxy.tables.identity = simulated_proxy.tables.identity._replace(
        name=next(
            n
            for n in simulated_proxy.tables.peers
            if n not in hosts(simulated_proxy.tables, GROUP)
        )
    )
    assert len(hosts(simulated_proxy.tables, GROUP)) == 2


@pytest.mark.parametrize('hosting', [True, False])
def test_only_hosts_poll_and_open_connections(simulated_proxy, hosting):
    _receive_heartbeats(simulated_proxy, [f'q{number}' for number in range(9)])
    _declare_group(simulated_proxy, connections=8)
    order = hosts(simulated_proxy.tables, GROUP)
    wanted = order[0] if hosting else 'zz'
    simulated_proxy.tables.peers.pop(wanted, None)
    simulated_proxy.tables.identity = simulated_proxy.tables.identity._replace(
        name=wanted
    )
    if not hosting:
        # Rendezvous hashing ranks this name after the hosts.
        assert 'zz' not in hosts(simulated_proxy.tables, GROUP)
    simulated_proxy.actions.clear()
    simulated_proxy.tick(0.1)
    simulated_proxy.tick(0.1)
    assert is_host(simulated_proxy.tables, GROUP) == hosting
    assert bool(simulated_proxy.pop_actions(Poll)) == hosting
    sizes = {resize.size for resize in simulated_proxy.pop_actions(ResizePool)}
    assert sizes == {3 * hosting}


def test_request_is_forwarded_to_another_host_that_is_not_draining(
    simulated_proxy,
):
    _receive_heartbeats(simulated_proxy, [f'q{number}' for number in range(9)])
    _declare_group(simulated_proxy, connections=8)
    first, second = hosts(simulated_proxy.tables, GROUP)
    simulated_proxy.tables.identity = simulated_proxy.tables.identity._replace(
        name=first
    )
    simulated_proxy.tables.peers.pop(first, None)
    assert simulated_proxy.apply_event(choose_host, GROUP) == second
    peer = simulated_proxy.tables.peers[second]
    simulated_proxy.tables.peers[second] = peer._replace(draining=True)
    assert not simulated_proxy.apply_event(choose_host, GROUP)


def test_primary_that_is_no_longer_declared_is_removed(simulated_proxy):
    _declare_group(simulated_proxy, names=('b', 'c'))
    view = simulated_proxy.tables.group_views[GROUP]
    assert (view.primary, view.primary_term) == ('', 0)
    assert view.term > 0
    simulated_proxy.submit('book', key='k')
    simulated_proxy.tick(0.02)


def test_full_session_is_refused_before_anything_runs():
    seen = {f'g{number}': (1, 1) for number in range(MAX_GROUPS)}
    session = Session('one', seen)
    check_group_limit(session, 'g0')
    with pytest.raises(BadToken, match='Start a new session'):
        check_group_limit(session, 'another')
