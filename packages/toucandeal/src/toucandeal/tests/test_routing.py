"""Routing of reads and writes to targets."""

from toucandeal.actions import Execute
from toucandeal.evidence import poll_failed
from toucandeal.positions import LogPosition
from toucandeal.results import Executed, TargetRefused
from toucandeal.staleness import staleness_bound
from toucandeal.tests.simulated_proxy import GROUP, TERM


def _sent_to(simulated_proxy, **request):
    simulated_proxy.submit(**request)
    return [execute.target for execute in simulated_proxy.pop_actions(Execute)]


def test_read_goes_to_a_replica_that_is_fresh_enough(simulated_proxy):
    assert _sent_to(simulated_proxy)[0] in {'b', 'c'}


def test_read_goes_to_a_replica_that_covers_the_session(simulated_proxy):
    simulated_proxy.report_status('a', 9, primary=True)
    simulated_proxy.report_status('c', 9)
    assert _sent_to(simulated_proxy, seen=LogPosition(TERM, 9)) == ['c']


def test_read_waits_for_a_replica_then_goes_to_the_primary(simulated_proxy):
    seen = LogPosition(TERM, 9)
    assert _sent_to(simulated_proxy, seen=seen) == []
    simulated_proxy.tick(0.02)
    assert [
        execute.target for execute in simulated_proxy.pop_actions(Execute)
    ] == ['a']


def test_fresh_read_goes_to_a_replica_after_a_poll_proves_its_freshness(
    simulated_proxy,
):
    assert _sent_to(simulated_proxy, name='fresh') == []
    simulated_proxy.report_all(5)
    assert simulated_proxy.pop_actions(Execute)[0].target in {'b', 'c'}


def test_staleness_is_measured_from_the_time_the_poll_was_sent(simulated_proxy):
    sent_at = simulated_proxy.now
    simulated_proxy.report_status('a', 7, primary=True)
    simulated_proxy.report_status('b', 7)
    simulated_proxy.now += 3
    history = simulated_proxy.tables.group_views[GROUP].history
    assert (
        staleness_bound(history, LogPosition(TERM, 7), simulated_proxy.now) == 3
    )
    bound = staleness_bound(history, LogPosition(TERM, 6), simulated_proxy.now)
    assert bound > simulated_proxy.now - sent_at


def test_sample_of_an_unproven_primary_is_not_recorded(simulated_proxy):
    history = simulated_proxy.tables.group_views[GROUP].history
    before = list(history)
    simulated_proxy.now += 1
    simulated_proxy.tables.ticked_at = simulated_proxy.now
    simulated_proxy.report_status('a', 9, primary=True)
    assert simulated_proxy.tables.group_views[GROUP].history == before


def test_outdated_replica_gets_no_read_beyond_the_freshness(simulated_proxy):
    for _ in range(60):
        simulated_proxy.now += 0.1
        simulated_proxy.report_status('a', 9, primary=True)
        simulated_proxy.report_status('b', 5)
        simulated_proxy.report_status('c', 5)
    assert _sent_to(simulated_proxy) == []
    simulated_proxy.tick(0.02)
    assert [
        execute.target for execute in simulated_proxy.pop_actions(Execute)
    ] == ['a']


def test_leaving_target_gets_no_new_requests(simulated_proxy):
    for name in ('b', 'c'):
        target = simulated_proxy.tables.targets[name]
        simulated_proxy.tables.targets[name] = target._replace(leaving=True)
    simulated_proxy.submit()
    simulated_proxy.tick(0.02)
    assert [
        execute.target for execute in simulated_proxy.pop_actions(Execute)
    ] == ['a']


def test_target_that_refuses_connections_is_avoided_temporarily(
    simulated_proxy,
):
    identity = simulated_proxy.submit('book', key='k')
    simulated_proxy.pop_actions(Execute)
    simulated_proxy.answer(identity, 'a', TargetRefused('busy'))
    assert not simulated_proxy.pop_actions(Execute)
    simulated_proxy.tick(0.02)
    simulated_proxy.tick(0.02)
    assert [
        execute.target for execute in simulated_proxy.pop_actions(Execute)
    ] == ['a']


def test_no_request_is_sent_to_a_silent_target(simulated_proxy):
    simulated_proxy.now += 0.2
    simulated_proxy.tables.ticked_at = simulated_proxy.now
    simulated_proxy.apply_event(poll_failed, 'a')
    simulated_proxy.report_status('b', 5)
    simulated_proxy.report_status('c', 5)
    assert _sent_to(simulated_proxy, name='book', key='k') == []


def test_read_answered_by_an_outdated_replica_is_requeued(simulated_proxy):
    identity = simulated_proxy.submit(seen=LogPosition(TERM, 5))
    (execute,) = simulated_proxy.pop_actions(Execute)
    simulated_proxy.answer(
        identity, execute.target, Executed([], LogPosition(TERM, 4))
    )
    assert simulated_proxy.outcome(identity) is None
    assert simulated_proxy.pop_actions(Execute)
