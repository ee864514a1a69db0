"""Tests of failure detection and takeovers."""

import pytest

from toucandeal.actions import Decision, Fence, Promote
from toucandeal.entities import GroupReport, Peer, TargetStatus
from toucandeal.errors import BadCommand, ChangeRefused
from toucandeal.evidence import status_received
from toucandeal.failover import (
    fence_answered,
    promote_answered,
    start_switchover,
)
from toucandeal.membership import heartbeat_received, takeover_rank
from toucandeal.tests.simulated_proxy import GROUP, TERM

LOST_CONTACT_S = 10.0


def _run_without_primary(simulated_proxy, seconds=0.3, **replicas):
    """Advance time while only the replicas answer polls."""
    for _ in range(round(seconds / 0.05)):
        simulated_proxy.now += 0.05
        for name, index in replicas.items():
            simulated_proxy.report_status(
                name, index, upstream_age_s=LOST_CONTACT_S
            )
        simulated_proxy.tick()


def _grant_fence(simulated_proxy, fence, index, log_term=TERM):
    simulated_proxy.apply_event(
        fence_answered,
        GROUP,
        fence.target,
        fence.term,
        granted=True,
        status=TargetStatus(False, fence.term, log_term, index, 0),
    )


def _new_peer(simulated_proxy, name='q', **changes):
    fields = {
        'name': name, 'incarnation': 1, 'peer_address': '',
        'failure_domain': '',
        'caller_address': '', 'draining': False, 'live': ('p', name),
        'configuration_version': 7, 'heard_at': simulated_proxy.now,
    }  # fmt: skip
    return Peer(**{**fields, **changes})


def test_silent_primary_is_replaced_by_the_most_complete_replica(
    simulated_proxy,
):
    _run_without_primary(simulated_proxy, b=5, c=6)
    fences = {
        fence.target: fence for fence in simulated_proxy.pop_actions(Fence)
    }
    assert set(fences) == {'a', 'b', 'c'}
    _grant_fence(simulated_proxy, fences['b'], 5)
    assert not simulated_proxy.pop_actions(Promote)
    _grant_fence(simulated_proxy, fences['c'], 6)
    (promote,) = simulated_proxy.pop_actions(Promote)
    assert (promote.target, promote.term) == ('c', fences['b'].term)
    simulated_proxy.apply_event(
        promote_answered, GROUP, 'c', promote.term, promoted=True
    )
    view = simulated_proxy.tables.group_views[GROUP]
    assert (view.primary, view.primary_term) == ('c', promote.term)
    assert view.takeover is None


def test_higher_log_term_takes_precedence_over_a_longer_log(simulated_proxy):
    _run_without_primary(simulated_proxy, b=5, c=6)
    fences = {
        fence.target: fence for fence in simulated_proxy.pop_actions(Fence)
    }
    _grant_fence(simulated_proxy, fences['b'], 9, log_term=TERM - 1)
    _grant_fence(simulated_proxy, fences['c'], 6)
    assert simulated_proxy.pop_actions(Promote)[0].target == 'c'


def test_isolated_primary_is_not_promoted_again(simulated_proxy):
    for _ in range(6):
        simulated_proxy.now += 0.05
        # The primary answers and has the longest log, but no replica
        # confirms it.
        simulated_proxy.report_status('a', 9, primary=True)
        simulated_proxy.report_status('b', 5, upstream_age_s=LOST_CONTACT_S)
        simulated_proxy.report_status('c', 5, upstream_age_s=LOST_CONTACT_S)
        simulated_proxy.tick()
    fences = {
        fence.target: fence for fence in simulated_proxy.pop_actions(Fence)
    }
    _grant_fence(simulated_proxy, fences['a'], 9)
    _grant_fence(simulated_proxy, fences['b'], 5)
    assert not simulated_proxy.pop_actions(Promote)
    _grant_fence(simulated_proxy, fences['c'], 5)
    assert simulated_proxy.pop_actions(Promote)[0].target in {'b', 'c'}


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
    simulated_proxy, primary_age, replicas_in_touch, expected
):
    simulated_proxy.now += 2.0
    simulated_proxy.tables.ticked_at = simulated_proxy.now
    age = 0.0 if replicas_in_touch else LOST_CONTACT_S
    simulated_proxy.report_status(
        'a', 5, primary=True, sent_at=simulated_proxy.now - primary_age
    )
    simulated_proxy.report_status('b', 5, upstream_age_s=age)
    simulated_proxy.report_status('c', 5, upstream_age_s=age)
    assert simulated_proxy.tables.group_views[GROUP].suspect_reason == expected


def test_peer_that_reports_the_primary_healthy_prevents_a_takeover(
    simulated_proxy,
):
    for _ in range(8):
        simulated_proxy.now += 0.05
        report = GroupReport(GROUP, TERM, 'a', TERM, 0.01)
        simulated_proxy.apply_event(
            heartbeat_received, _new_peer(simulated_proxy), [report]
        )
        simulated_proxy.report_status('b', 5, upstream_age_s=LOST_CONTACT_S)
        simulated_proxy.report_status('c', 5, upstream_age_s=LOST_CONTACT_S)
        simulated_proxy.tick()
    assert not simulated_proxy.pop_actions(Fence)


def test_health_age_starts_at_the_replica_contact_not_at_the_poll(
    simulated_proxy,
):
    simulated_proxy.now += 0.1
    contact = simulated_proxy.now - 0.12
    simulated_proxy.report_status('a', 5, primary=True)
    simulated_proxy.report_status('b', 5, upstream_age_s=0.12)
    simulated_proxy.report_status('c', 5, upstream_age_s=0.12)
    view = simulated_proxy.tables.group_views[GROUP]
    assert view.healthy_at == pytest.approx(contact)


def test_takeover_delay_is_bounded_by_the_rank(simulated_proxy):
    first = {}
    for name in ('q', 'r', 's'):
        simulated_proxy.apply_event(
            heartbeat_received, _new_peer(simulated_proxy, name), []
        )
    simulated_proxy.now += 0.3
    simulated_proxy.tables.ticked_at = simulated_proxy.now
    for name in ('q', 'r', 's'):
        simulated_proxy.apply_event(
            heartbeat_received,
            _new_peer(simulated_proxy, name, heard_at=simulated_proxy.now),
            [],
        )
    simulated_proxy.report_status('b', 5, upstream_age_s=LOST_CONTACT_S)
    simulated_proxy.report_status('c', 5, upstream_age_s=LOST_CONTACT_S)
    for decision in simulated_proxy.pop_actions(Decision):
        if decision.kind == 'suspect':
            first = decision.inputs
    rank = ['q', 'r', 's', 'p'].index('p')
    assert 0 <= first['wait_s'] <= (rank + 1) * 0.08


def _takeover_wait(simulated_proxy, peer):
    """Return this proxy's rank beside a peer, and its delay."""
    for _ in range(2):
        simulated_proxy.apply_event(
            heartbeat_received,
            _new_peer(simulated_proxy, peer, heard_at=simulated_proxy.now),
            [],
        )
        simulated_proxy.now += 0.3
        simulated_proxy.tables.ticked_at = simulated_proxy.now
    for name in ('b', 'c'):
        simulated_proxy.report_status(name, 5, upstream_age_s=LOST_CONTACT_S)
    wait_s = next(
        decision.inputs['wait_s']
        for decision in simulated_proxy.pop_actions(Decision)
        if decision.kind == 'suspect'
    )
    return takeover_rank(simulated_proxy.tables, GROUP), wait_s


@pytest.mark.parametrize(('peer', 'expected'), [('q', 0), ('f', 1), ('m', 1)])
def test_a_proxy_of_the_second_rank_leaves_the_first_one_time(
    simulated_proxy, peer, expected
):
    rank, wait_s = _takeover_wait(simulated_proxy, peer)
    stagger_s = simulated_proxy.tables.policies.stagger_s
    assert rank == expected
    assert rank * stagger_s <= wait_s <= 1.5 * rank * stagger_s


def test_an_answer_that_was_overtaken_changes_nothing(simulated_proxy):
    simulated_proxy.now += 1
    now = simulated_proxy.now
    newer = TargetStatus(False, TERM, TERM, 9, 0)
    older = TargetStatus(False, TERM, TERM, 4, 0)
    simulated_proxy.apply_event(status_received, 'b', now, newer)
    simulated_proxy.apply_event(status_received, 'b', now - 0.1, older)
    view = simulated_proxy.tables.views['b']
    assert (view.status.index, view.sent_at) == (9, now)


def test_lower_terms_are_refused_and_the_takeover_is_abandoned(simulated_proxy):
    _run_without_primary(simulated_proxy, b=5, c=5)
    fence = simulated_proxy.pop_actions(Fence)[0]
    simulated_proxy.apply_event(
        fence_answered,
        GROUP,
        'b',
        fence.term,
        granted=False,
        status=TargetStatus(False, fence.term + 1, TERM, 5, 0),
    )
    assert simulated_proxy.tables.group_views[GROUP].takeover is None
    assert not simulated_proxy.pop_actions(Promote)


def test_incomplete_takeover_is_followed_by_one_in_a_higher_term(
    simulated_proxy,
):
    for _ in range(12):
        simulated_proxy.now += 0.05
        simulated_proxy.report_status('a', 5, term=TERM + 1, log_term=TERM)
        simulated_proxy.report_status('b', 5, term=TERM + 1, log_term=TERM)
        simulated_proxy.tick()
    terms = {fence.term for fence in simulated_proxy.pop_actions(Fence)}
    assert terms and min(terms) > TERM + 1


def test_switchover_fences_the_primary_first_and_waits_for_the_replica(
    simulated_proxy,
):
    simulated_proxy.apply_event(start_switchover, GROUP, 'b')
    (first,) = simulated_proxy.pop_actions(Fence)
    assert first.target == 'a'
    _grant_fence(simulated_proxy, first, 7)
    assert not simulated_proxy.pop_actions(Fence)
    simulated_proxy.report_status('b', 7)
    fences = {
        fence.target: fence for fence in simulated_proxy.pop_actions(Fence)
    }
    assert set(fences) == {'b', 'c'}
    _grant_fence(simulated_proxy, fences['c'], 7)
    assert not simulated_proxy.pop_actions(
        Promote
    )  # majority without the switchover target
    _grant_fence(simulated_proxy, fences['b'], 7)
    assert simulated_proxy.pop_actions(Promote)[0].target == 'b'


def test_switchover_to_a_replica_that_does_not_catch_up_keeps_the_primary(
    simulated_proxy,
):
    simulated_proxy.apply_event(start_switchover, GROUP, 'b')
    (first,) = simulated_proxy.pop_actions(Fence)
    _grant_fence(simulated_proxy, first, 7)
    for _ in range(25):
        simulated_proxy.now += 0.05
        simulated_proxy.report_status('b', 5)
        simulated_proxy.report_status('c', 5)
        simulated_proxy.tick()
    fences = {
        fence.target: fence for fence in simulated_proxy.pop_actions(Fence)
    }
    _grant_fence(simulated_proxy, fences['c'], 5)
    assert simulated_proxy.pop_actions(Promote)[0].target == 'a'


def test_switchover_needs_a_replica_of_the_group(simulated_proxy):
    with pytest.raises(BadCommand, match='Name one of a, b, c'):
        simulated_proxy.apply_event(start_switchover, GROUP, 'x')
    with pytest.raises(BadCommand, match='Name a replica'):
        simulated_proxy.apply_event(start_switchover, GROUP, 'a')
    simulated_proxy.apply_event(start_switchover, GROUP, 'b')
    with pytest.raises(ChangeRefused, match='no settled primary'):
        simulated_proxy.apply_event(start_switchover, GROUP, 'c')
