"""Routing of reads and writes to targets."""

from toucandeal.actions import Execute
from toucandeal.evidence import status_failed
from toucandeal.positions import LogPosition
from toucandeal.results import Ran, TargetRefused
from toucandeal.staleness import staleness_bound
from toucandeal.tests.world import GROUP, TERM


def _sent_to(world, **request):
    world.submit(**request)
    return [execute.target for execute in world.taken(Execute)]


def test_read_goes_to_a_replica_that_is_fresh_enough(world):
    assert _sent_to(world)[0] in {'b', 'c'}


def test_read_goes_to_a_replica_that_covers_the_session(world):
    world.status('a', 9, primary=True)
    world.status('c', 9)
    assert _sent_to(world, seen=LogPosition(TERM, 9)) == ['c']


def test_read_waits_for_a_replica_then_goes_to_the_primary(world):
    seen = LogPosition(TERM, 9)
    assert _sent_to(world, seen=seen) == []
    world.tick(0.02)
    assert [execute.target for execute in world.taken(Execute)] == ['a']


def test_fresh_read_goes_to_a_replica_after_a_poll_proves_its_freshness(world):
    assert _sent_to(world, name='fresh') == []
    world.all_report(5)
    assert world.taken(Execute)[0].target in {'b', 'c'}


def test_staleness_is_measured_from_the_time_the_poll_was_sent(world):
    sent_at = world.now
    world.status('a', 7, primary=True)
    world.status('b', 7)
    world.now += 3
    history = world.tables.group_views[GROUP].history
    assert staleness_bound(history, LogPosition(TERM, 7), world.now) == 3
    bound = staleness_bound(history, LogPosition(TERM, 6), world.now)
    assert bound > world.now - sent_at


def test_sample_of_an_unproven_primary_is_not_recorded(world):
    history = world.tables.group_views[GROUP].history
    before = list(history)
    world.now += 1
    world.tables.ticked_at = world.now
    world.status('a', 9, primary=True)
    assert world.tables.group_views[GROUP].history == before


def test_outdated_replica_gets_no_read_beyond_the_freshness(world):
    for _ in range(60):
        world.now += 0.1
        world.status('a', 9, primary=True)
        world.status('b', 5)
        world.status('c', 5)
    assert _sent_to(world) == []
    world.tick(0.02)
    assert [execute.target for execute in world.taken(Execute)] == ['a']


def test_leaving_target_gets_no_new_requests(world):
    for name in ('b', 'c'):
        target = world.tables.targets[name]
        world.tables.targets[name] = target._replace(leaving=True)
    world.submit()
    world.tick(0.02)
    assert [execute.target for execute in world.taken(Execute)] == ['a']


def test_target_that_refuses_connections_is_avoided_temporarily(world):
    identity = world.submit('book', key='k')
    world.taken(Execute)
    world.answer(identity, 'a', TargetRefused('busy'))
    assert not world.taken(Execute)
    world.tick(0.02)
    world.tick(0.02)
    assert [execute.target for execute in world.taken(Execute)] == ['a']


def test_no_request_is_sent_to_a_silent_target(world):
    world.now += 0.2
    world.tables.ticked_at = world.now
    world.enter(status_failed, 'a')
    world.status('b', 5)
    world.status('c', 5)
    assert _sent_to(world, name='book', key='k') == []


def test_read_answered_by_an_outdated_replica_is_requeued(world):
    identity = world.submit(seen=LogPosition(TERM, 5))
    (execute,) = world.taken(Execute)
    world.answer(identity, execute.target, Ran([], LogPosition(TERM, 4)))
    assert world.outcome(identity) is None
    assert world.taken(Execute)
