"""Tests of group hosts, and of changes to declared groups."""

import pytest

from toucandeal import engine
from toucandeal.actions import Poll, ResizePool
from toucandeal.configuration import Row
from toucandeal.entities import Peer
from toucandeal.errors import BadToken
from toucandeal.membership import (
    choose_host,
    hosts,
    is_host,
    peer_heard,
)
from toucandeal.sessions import MAX_GROUPS, Session, check_room
from toucandeal.tests.world import GROUP, NAMES, target_document


def _receive_heartbeats(world, names):
    live = ('p', *names)
    for name in names:
        peer = Peer(name, 1, '', '', '', False, live, 7, world.now)
        world.enter(peer_heard, peer, [])


def _declare_group(world, names=NAMES, **changes):
    version = world.configuration.version + 1
    targets = [target_document(name, **changes) for name in names]
    row = Row(f'group/{GROUP}', version, {'targets': targets})
    world.configuration = world.enter(
        engine.configuration_learned, world.configuration, version, [row]
    )


def test_connection_limit_bounds_the_number_of_hosts(world):
    _receive_heartbeats(world, [f'q{number}' for number in range(9)])
    _declare_group(world, connections=8)
    world.tick()
    assert len(hosts(world.tables, GROUP)) == 2
    world.tables.identity = world.tables.identity._replace(
        name=next(
            n for n in world.tables.peers if n not in hosts(world.tables, GROUP)
        )
    )
    assert len(hosts(world.tables, GROUP)) == 2


@pytest.mark.parametrize('hosting', [True, False])
def test_only_hosts_poll_and_open_connections(world, hosting):
    _receive_heartbeats(world, [f'q{number}' for number in range(9)])
    _declare_group(world, connections=8)
    order = hosts(world.tables, GROUP)
    wanted = order[0] if hosting else 'zz'
    world.tables.peers.pop(wanted, None)
    world.tables.identity = world.tables.identity._replace(name=wanted)
    if not hosting:
        # Rendezvous hashing ranks this name after the hosts.
        assert 'zz' not in hosts(world.tables, GROUP)
    world.actions.clear()
    world.tick(0.1)
    world.tick(0.1)
    assert is_host(world.tables, GROUP) == hosting
    assert bool(world.taken(Poll)) == hosting
    sizes = {resize.size for resize in world.taken(ResizePool)}
    assert sizes == {3 * hosting}


def test_request_is_forwarded_to_another_host_that_is_not_draining(world):
    _receive_heartbeats(world, [f'q{number}' for number in range(9)])
    _declare_group(world, connections=8)
    first, second = hosts(world.tables, GROUP)
    world.tables.identity = world.tables.identity._replace(name=first)
    world.tables.peers.pop(first, None)
    assert world.enter(choose_host, GROUP) == second
    peer = world.tables.peers[second]
    world.tables.peers[second] = peer._replace(draining=True)
    assert not world.enter(choose_host, GROUP)


def test_primary_that_is_no_longer_declared_is_removed(world):
    _declare_group(world, names=('b', 'c'))
    view = world.tables.group_views[GROUP]
    assert (view.primary, view.primary_term) == ('', 0)
    assert view.term > 0
    world.submit('book', key='k')
    world.tick(0.02)


def test_full_session_is_refused_before_anything_runs():
    seen = {f'g{number}': (1, 1) for number in range(MAX_GROUPS)}
    session = Session('one', seen)
    check_room(session, 'g0')
    with pytest.raises(BadToken, match='Start a new session'):
        check_room(session, 'another')
