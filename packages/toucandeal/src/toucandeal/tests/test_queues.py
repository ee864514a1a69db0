"""Fairness and order of queues, early refusal and retries."""

from toucandeal.actions import Execute
from toucandeal.backoff import MAX_DELAY_S, MIN_DELAY_S, Backoff, adapt
from toucandeal.positions import LogPosition
from toucandeal.queues import (
    FairQueue,
    QueueEntry,
    add,
    in_service_order,
    remove,
)
from toucandeal.results import Executed, Lost
from toucandeal.tests.simulated_proxy import TERM


def test_burst_of_one_caller_delays_the_other_by_one_request():
    queue = FairQueue()
    for number in range(100):
        add(queue, 'burst', QueueEntry(-1, 1.0, number))
    add(queue, 'quiet', QueueEntry(-1, 9.0, 1000))
    order = [identity for _, identity in in_service_order(queue)]
    assert order.index(1000) <= 1


def test_idle_caller_accumulates_no_credit_for_a_burst():
    queue = FairQueue()
    for number in range(10):
        add(queue, 'busy', QueueEntry(-1, 1.0, number))
    for number in range(8):
        remove(queue, 'busy', QueueEntry(-1, 1.0, number), 1)
    for number in range(20, 25):
        add(queue, 'late', QueueEntry(-1, 1.0, number))
    order = [caller for caller, _ in in_service_order(queue)]
    assert order[:4].count('busy') == 2


def test_request_with_higher_late_cost_is_sent_first(simulated_proxy):
    simulated_proxy.tables.policies = simulated_proxy.tables.policies._replace(
        admission=False
    )
    busy = [simulated_proxy.submit('book', key=f'k{n}') for n in range(20)]
    costly = simulated_proxy.submit('log', key='costly')
    simulated_proxy.pop_actions(Execute)
    simulated_proxy.answer(busy[0], 'a', Executed([], LogPosition(TERM, 6)))
    assert simulated_proxy.pop_actions(Execute)[0].request == costly


def test_request_that_cannot_be_served_in_time_is_refused_immediately(
    simulated_proxy,
):
    view = simulated_proxy.tables.views['a']
    simulated_proxy.tables.views['a'] = view._replace(latency_s=0.4)
    outcomes = [
        simulated_proxy.outcome(simulated_proxy.submit('book', key=f'k{n}'))
        for n in range(20)
    ]
    refused = [outcome for outcome in outcomes if outcome is not None]
    assert refused and {outcome.tag for outcome in refused} == {'refused'}
    assert min(outcome.retry_after_s for outcome in refused) >= 0.4


def test_retries_stop_when_the_retry_budget_is_spent(simulated_proxy):
    simulated_proxy.tables.retry_tokens = 0
    identity = simulated_proxy.submit('book', key='k')
    simulated_proxy.answer(identity, 'a', Lost('cut', sent=True))
    assert simulated_proxy.outcome(identity).tag == 'unknown'


def test_request_still_queued_at_its_deadline_is_refused_not_unknown(
    simulated_proxy,
):
    simulated_proxy.tables.policies = simulated_proxy.tables.policies._replace(
        admission=False
    )
    identities = [
        simulated_proxy.submit('book', key=f'k{n}') for n in range(12)
    ]
    sent = {execute.request for execute in simulated_proxy.pop_actions(Execute)}
    for _ in range(30):
        simulated_proxy.tick(0.02)
    tags = {
        identity: simulated_proxy.outcome(identity).tag
        for identity in identities
    }
    assert {tags[identity] for identity in sent} == {'unknown'}
    assert {tags[identity] for identity in set(identities) - sent} == {
        'refused'
    }


def test_lost_answers_count_towards_the_latency(simulated_proxy):
    identity = simulated_proxy.submit('book', key='k')
    sent_at = simulated_proxy.now
    simulated_proxy.now += 0.3
    simulated_proxy.answer(identity, 'a', Lost('overdue', sent=True), sent_at)
    assert simulated_proxy.tables.views['a'].latency_s > 0.03


def test_abandoned_request_occupies_its_slot_until_answered(simulated_proxy):
    identity = simulated_proxy.submit('book', key='k')
    for _ in range(30):
        simulated_proxy.tick(0.02)
    assert simulated_proxy.outcome(identity).tag == 'unknown'
    assert simulated_proxy.tables.views['a'].in_flight == 1
    simulated_proxy.answer(identity, 'a', Executed([], LogPosition(TERM, 6)))
    assert simulated_proxy.tables.views['a'].in_flight == 0


def test_outdated_latency_does_not_block_all_requests(simulated_proxy):
    view = simulated_proxy.tables.views['a']
    simulated_proxy.tables.views['a'] = view._replace(latency_s=60.0)
    identity = simulated_proxy.submit('book', key='k')
    assert simulated_proxy.outcome(identity) is None
    assert [
        execute.request for execute in simulated_proxy.pop_actions(Execute)
    ] == [identity]


def test_late_repeat_is_sent_after_requests_that_can_be_in_time(
    simulated_proxy,
):
    simulated_proxy.tables.policies = simulated_proxy.tables.policies._replace(
        admission=False
    )
    busy = [simulated_proxy.submit('book', key=f'k{n}') for n in range(4)]
    simulated_proxy.pop_actions(Execute)
    late = simulated_proxy.submit('book', key='late', waited_s=9)
    fresh = simulated_proxy.submit('book', key='fresh')
    simulated_proxy.answer(busy[0], 'a', Executed([], LogPosition(TERM, 6)))
    assert simulated_proxy.pop_actions(Execute)[0].request == fresh
    simulated_proxy.answer(busy[1], 'a', Executed([], LogPosition(TERM, 7)))
    assert simulated_proxy.pop_actions(Execute)[0].request == late


def test_retry_delay_adapts_to_the_ratio_of_refused_to_served_requests():
    backoff = Backoff()
    for period in range(1, 12):
        backoff = backoff._replace(refused=900, served=300)
        backoff = adapt(backoff, period * 0.3)
    assert backoff.delay_s == MAX_DELAY_S
    for period in range(12, 24):
        backoff = backoff._replace(refused=100, served=300)
        backoff = adapt(backoff, period * 0.3)
    assert backoff.delay_s == MIN_DELAY_S
