"""Tests of connection and slot shares while membership views differ."""

import math

from toucandeal.actions import ResizePool
from toucandeal.entities import Peer
from toucandeal.limits import connection_share, slot_share
from toucandeal.membership import heartbeat_received

LIMIT = 16


def _receive_heartbeat(simulated_proxy, name, live):
    peer = Peer(name, 1, '', '', '', False, live, 7, simulated_proxy.now)
    simulated_proxy.apply_event(heartbeat_received, peer, [])


def test_shares_of_all_proxies_never_exceed_the_limit():
    for proxies in range(1, 20):
        held = proxies * (connection_share(LIMIT, proxies) + 1)
        assert held <= LIMIT or connection_share(LIMIT, proxies) == 0


def test_share_shrinks_immediately_and_grows_only_after_all_agree(
    simulated_proxy,
):
    _receive_heartbeat(simulated_proxy, 'q', ('p', 'q'))
    simulated_proxy.tick()
    assert {
        resize.size for resize in simulated_proxy.pop_actions(ResizePool)
    } == {7}
    # `q` counts `r`, which has sent this proxy no heartbeat yet.
    _receive_heartbeat(simulated_proxy, 'q', ('p', 'q', 'r'))
    simulated_proxy.tick()
    assert {
        resize.size for resize in simulated_proxy.pop_actions(ResizePool)
    } == {4}
    for _ in range(5):
        simulated_proxy.now += 0.1
        _receive_heartbeat(simulated_proxy, 'q', ('p', 'q', 'r'))
        simulated_proxy.tick()
    assert not simulated_proxy.pop_actions(ResizePool)
    _receive_heartbeat(simulated_proxy, 'q', ('p', 'q'))
    simulated_proxy.tick()
    assert not simulated_proxy.pop_actions(ResizePool)
    for _ in range(6):
        simulated_proxy.now += 0.1
        _receive_heartbeat(simulated_proxy, 'q', ('p', 'q'))
        simulated_proxy.tick()
    assert {
        resize.size for resize in simulated_proxy.pop_actions(ResizePool)
    } == {7}


def test_share_of_a_lost_proxy_is_redistributed_within_two_seconds(
    simulated_proxy,
):
    _receive_heartbeat(simulated_proxy, 'q', ('p', 'q'))
    simulated_proxy.tick()
    simulated_proxy.pop_actions(ResizePool)
    waited = 0.0
    while not simulated_proxy.pop_actions(ResizePool):
        simulated_proxy.tick(0.02)
        waited += 0.02
        assert waited < 2
    assert simulated_proxy.tables.proxies_counted == 1


def test_new_proxy_opens_no_connections_until_its_peers_count_it(
    simulated_proxy,
):
    simulated_proxy.tables.proxies_counted = 0
    _receive_heartbeat(simulated_proxy, 'q', ('q',))
    simulated_proxy.tick()
    assert simulated_proxy.tables.proxies_counted == 0
    _receive_heartbeat(simulated_proxy, 'q', ('p', 'q'))
    simulated_proxy.tick()
    assert simulated_proxy.tables.proxies_counted == 2


def test_every_proxy_keeps_at_least_one_execution_in_flight():
    assert min(slot_share(2, proxies) for proxies in range(1, 99)) == 1
    assert slot_share(5, 1) == math.ceil(5 * 2)
