"""Tests of connection and slot shares while membership views differ."""

import math

from toucandeal.actions import ResizePool
from toucandeal.entities import Peer
from toucandeal.limits import connection_share, slot_share
from toucandeal.membership import peer_heard

LIMIT = 16


def _receive_heartbeat(world, name, live):
    peer = Peer(name, 1, '', '', '', False, live, 7, world.now)
    world.enter(peer_heard, peer, [])


def test_shares_of_all_proxies_never_exceed_the_limit():
    for proxies in range(1, 20):
        held = proxies * (connection_share(LIMIT, proxies) + 1)
        assert held <= LIMIT or connection_share(LIMIT, proxies) == 0


def test_share_shrinks_immediately_and_grows_only_after_all_agree(world):
    _receive_heartbeat(world, 'q', ('p', 'q'))
    world.tick()
    assert {resize.size for resize in world.taken(ResizePool)} == {7}
    # `q` counts `r`, which has sent this proxy no heartbeat yet.
    _receive_heartbeat(world, 'q', ('p', 'q', 'r'))
    world.tick()
    assert {resize.size for resize in world.taken(ResizePool)} == {4}
    for _ in range(5):
        world.now += 0.1
        _receive_heartbeat(world, 'q', ('p', 'q', 'r'))
        world.tick()
    assert not world.taken(ResizePool)
    _receive_heartbeat(world, 'q', ('p', 'q'))
    world.tick()
    assert not world.taken(ResizePool)
    for _ in range(6):
        world.now += 0.1
        _receive_heartbeat(world, 'q', ('p', 'q'))
        world.tick()
    assert {resize.size for resize in world.taken(ResizePool)} == {7}


def test_share_of_a_lost_proxy_is_redistributed_within_two_seconds(world):
    _receive_heartbeat(world, 'q', ('p', 'q'))
    world.tick()
    world.taken(ResizePool)
    waited = 0.0
    while not world.taken(ResizePool):
        world.tick(0.02)
        waited += 0.02
        assert waited < 2
    assert world.tables.proxies_counted == 1


def test_new_proxy_opens_no_connections_until_its_peers_count_it(world):
    world.tables.proxies_counted = 0
    _receive_heartbeat(world, 'q', ('q',))
    world.tick()
    assert world.tables.proxies_counted == 0
    _receive_heartbeat(world, 'q', ('p', 'q'))
    world.tick()
    assert world.tables.proxies_counted == 2


def test_every_proxy_keeps_at_least_one_execution_in_flight():
    assert min(slot_share(2, proxies) for proxies in range(1, 99)) == 1
    assert slot_share(5, 1) == math.ceil(5 * 2)
