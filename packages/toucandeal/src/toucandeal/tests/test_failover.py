"""Tests of failure detection and takeovers."""

import pytest

from toucandeal.actions import Decision, Fence, Promote
from toucandeal.entities import GroupReport, Peer, TargetStatus
from toucandeal.errors import BadCommand, ChangeRefused
from toucandeal.failover import (
    fence_answered,
    promote_answered,
    start_switchover,
)
from toucandeal.membership import peer_heard
from toucandeal.tests.world import GROUP, TERM

LOST_CONTACT_S = 10.0


def _run_without_primary(world, seconds=0.3, **replicas):
    """Advance time while only the replicas answer polls."""
    for _ in range(round(seconds / 0.05)):
        world.now += 0.05
        for name, index in replicas.items():
            world.status(name, index, upstream_age_s=LOST_CONTACT_S)
        world.tick()


def _grant_fence(world, fence, index, log_term=TERM):
    world.enter(
        fence_answered,
        GROUP,
        fence.target,
        fence.term,
        granted=True,
        status=TargetStatus(False, fence.term, log_term, index, 0),
    )


def _new_peer(world, name='q', **changes):
    fields = {
        'name': name, 'incarnation': 1, 'peer_address': '',
        'failure_domain': '',
        'caller_address': '', 'draining': False, 'live': ('p', name),
        'configuration_version': 7, 'heard_at': world.now,
    }  # fmt: skip
    return Peer(**{**fields, **changes})


def test_silent_primary_is_replaced_by_the_most_complete_replica(world):
    _run_without_primary(world, b=5, c=6)
    fences = {fence.target: fence for fence in world.taken(Fence)}
    assert set(fences) == {'a', 'b', 'c'}
    _grant_fence(world, fences['b'], 5)
    assert not world.taken(Promote)
    _grant_fence(world, fences['c'], 6)
    (promote,) = world.taken(Promote)
    assert (promote.target, promote.term) == ('c', fences['b'].term)
    world.enter(promote_answered, GROUP, 'c', promote.term, promoted=True)
    view = world.tables.group_views[GROUP]
    assert (view.primary, view.primary_term) == ('c', promote.term)
    assert view.takeover is None


def test_higher_log_term_takes_precedence_over_a_longer_log(world):
    _run_without_primary(world, b=5, c=6)
    fences = {fence.target: fence for fence in world.taken(Fence)}
    _grant_fence(world, fences['b'], 9, log_term=TERM - 1)
    _grant_fence(world, fences['c'], 6)
    assert world.taken(Promote)[0].target == 'c'


def test_isolated_primary_is_not_promoted_again(world):
    for _ in range(6):
        world.now += 0.05
        # The primary answers and has the longest log, but no replica
        # confirms it.
        world.status('a', 9, primary=True)
        world.status('b', 5, upstream_age_s=LOST_CONTACT_S)
        world.status('c', 5, upstream_age_s=LOST_CONTACT_S)
        world.tick()
    fences = {fence.target: fence for fence in world.taken(Fence)}
    _grant_fence(world, fences['a'], 9)
    _grant_fence(world, fences['b'], 5)
    assert not world.taken(Promote)
    _grant_fence(world, fences['c'], 5)
    assert world.taken(Promote)[0].target in {'b', 'c'}


@pytest.mark.parametrize(
    ('primary_age', 'replicas_in_touch', 'expected'),
    [
        (0.0, True, ''),
        (0.0, False, 'primary is cut off from its replicas'),
        (1.0, True, ''),  # only this proxy's connection is broken
        (1.0, False, 'primary is silent'),
    ],
)
def test_suspect_reason_depends_on_contact_with_the_primary(
    world, primary_age, replicas_in_touch, expected
):
    world.now += 2.0
    world.tables.ticked_at = world.now
    age = 0.0 if replicas_in_touch else LOST_CONTACT_S
    world.status('a', 5, primary=True, sent_at=world.now - primary_age)
    world.status('b', 5, upstream_age_s=age)
    world.status('c', 5, upstream_age_s=age)
    assert world.tables.group_views[GROUP].suspect_reason == expected


def test_peer_that_reports_the_primary_healthy_prevents_a_takeover(world):
    for _ in range(8):
        world.now += 0.05
        report = GroupReport(GROUP, TERM, 'a', TERM, 0.01)
        world.enter(peer_heard, _new_peer(world), [report])
        world.status('b', 5, upstream_age_s=LOST_CONTACT_S)
        world.status('c', 5, upstream_age_s=LOST_CONTACT_S)
        world.tick()
    assert not world.taken(Fence)


def test_health_age_starts_at_the_replica_contact_not_at_the_poll(world):
    world.now += 0.1
    contact = world.now - 0.12
    world.status('a', 5, primary=True)
    world.status('b', 5, upstream_age_s=0.12)
    world.status('c', 5, upstream_age_s=0.12)
    view = world.tables.group_views[GROUP]
    assert view.healthy_at == pytest.approx(contact)


def test_takeover_delay_is_bounded_by_the_rank(world):
    first = {}
    for name in ('q', 'r', 's'):
        world.enter(peer_heard, _new_peer(world, name), [])
    world.now += 0.3
    world.tables.ticked_at = world.now
    for name in ('q', 'r', 's'):
        world.enter(peer_heard, _new_peer(world, name, heard_at=world.now), [])
    world.status('b', 5, upstream_age_s=LOST_CONTACT_S)
    world.status('c', 5, upstream_age_s=LOST_CONTACT_S)
    for decision in world.taken(Decision):
        if decision.kind == 'suspect':
            first = decision.inputs
    rank = ['q', 'r', 's', 'p'].index('p')
    assert 0 <= first['wait_s'] <= (rank + 1) * 0.08


def test_lower_terms_are_refused_and_the_takeover_is_abandoned(world):
    _run_without_primary(world, b=5, c=5)
    fence = world.taken(Fence)[0]
    world.enter(
        fence_answered,
        GROUP,
        'b',
        fence.term,
        granted=False,
        status=TargetStatus(False, fence.term + 1, TERM, 5, 0),
    )
    assert world.tables.group_views[GROUP].takeover is None
    assert not world.taken(Promote)


def test_incomplete_takeover_is_followed_by_one_in_a_higher_term(world):
    for _ in range(12):
        world.now += 0.05
        world.status('a', 5, term=TERM + 1, log_term=TERM)
        world.status('b', 5, term=TERM + 1, log_term=TERM)
        world.tick()
    terms = {fence.term for fence in world.taken(Fence)}
    assert terms and min(terms) > TERM + 1


def test_switchover_fences_the_primary_first_and_waits_for_the_replica(world):
    world.enter(start_switchover, GROUP, 'b')
    (first,) = world.taken(Fence)
    assert first.target == 'a'
    _grant_fence(world, first, 7)
    assert not world.taken(Fence)
    world.status('b', 7)
    fences = {fence.target: fence for fence in world.taken(Fence)}
    assert set(fences) == {'b', 'c'}
    _grant_fence(world, fences['c'], 7)
    assert not world.taken(Promote)  # majority without the switchover target
    _grant_fence(world, fences['b'], 7)
    assert world.taken(Promote)[0].target == 'b'


def test_switchover_to_a_replica_that_does_not_catch_up_keeps_the_primary(
    world,
):
    world.enter(start_switchover, GROUP, 'b')
    (first,) = world.taken(Fence)
    _grant_fence(world, first, 7)
    for _ in range(25):
        world.now += 0.05
        world.status('b', 5)
        world.status('c', 5)
        world.tick()
    fences = {fence.target: fence for fence in world.taken(Fence)}
    _grant_fence(world, fences['c'], 5)
    assert world.taken(Promote)[0].target == 'a'


def test_switchover_needs_a_replica_of_the_group(world):
    with pytest.raises(BadCommand, match='Name one of a, b, c'):
        world.enter(start_switchover, GROUP, 'x')
    with pytest.raises(BadCommand, match='Name a replica'):
        world.enter(start_switchover, GROUP, 'a')
    world.enter(start_switchover, GROUP, 'b')
    with pytest.raises(ChangeRefused, match='no settled primary'):
        world.enter(start_switchover, GROUP, 'c')
