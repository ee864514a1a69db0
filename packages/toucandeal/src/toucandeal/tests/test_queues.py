"""Fairness and order of queues, early refusal and retries."""

from toucandeal.actions import Execute
from toucandeal.backoff import LONGEST_S, SHORTEST_S, Backoff, adapt
from toucandeal.positions import LogPosition
from toucandeal.queues import FairQueue, Waiting, add, in_order, remove
from toucandeal.results import Lost, Ran
from toucandeal.tests.world import TERM


def test_burst_of_one_caller_delays_the_other_by_one_request():
    queue = FairQueue()
    for number in range(100):
        add(queue, 'burst', Waiting(-1, 1.0, number))
    add(queue, 'quiet', Waiting(-1, 9.0, 1000))
    order = [identity for _, identity in in_order(queue)]
    assert order.index(1000) <= 1


def test_idle_caller_accumulates_no_credit_for_a_burst():
    queue = FairQueue()
    for number in range(10):
        add(queue, 'busy', Waiting(-1, 1.0, number))
    for number in range(8):
        remove(queue, 'busy', Waiting(-1, 1.0, number), 1)
    for number in range(20, 25):
        add(queue, 'late', Waiting(-1, 1.0, number))
    order = [caller for caller, _ in in_order(queue)]
    assert order[:4].count('busy') == 2


def test_request_with_higher_late_cost_is_sent_first(world):
    world.tables.policies = world.tables.policies._replace(admission=False)
    busy = [world.submit('book', key=f'k{n}') for n in range(20)]
    costly = world.submit('log', key='costly')
    world.taken(Execute)
    world.answer(busy[0], 'a', Ran([], LogPosition(TERM, 6)))
    assert world.taken(Execute)[0].request == costly


def test_request_that_cannot_be_served_in_time_is_refused_immediately(world):
    view = world.tables.views['a']
    world.tables.views['a'] = view._replace(latency_s=0.4)
    outcomes = [
        world.outcome(world.submit('book', key=f'k{n}')) for n in range(20)
    ]
    refused = [outcome for outcome in outcomes if outcome is not None]
    assert refused and {outcome.tag for outcome in refused} == {'refused'}
    assert min(outcome.retry_after_s for outcome in refused) >= 0.4


def test_retries_stop_when_the_retry_budget_is_spent(world):
    world.tables.retry_tokens = 0
    identity = world.submit('book', key='k')
    world.answer(identity, 'a', Lost('cut', sent=True))
    assert world.outcome(identity).tag == 'unknown'


def test_request_still_queued_at_its_deadline_is_refused_not_unknown(world):
    world.tables.policies = world.tables.policies._replace(admission=False)
    identities = [world.submit('book', key=f'k{n}') for n in range(12)]
    sent = {execute.request for execute in world.taken(Execute)}
    for _ in range(30):
        world.tick(0.02)
    tags = {identity: world.outcome(identity).tag for identity in identities}
    assert {tags[identity] for identity in sent} == {'unknown'}
    assert {tags[identity] for identity in set(identities) - sent} == {
        'refused'
    }


def test_lost_answers_count_towards_the_latency(world):
    identity = world.submit('book', key='k')
    sent_at = world.now
    world.now += 0.3
    world.answer(identity, 'a', Lost('overdue', sent=True), sent_at)
    assert world.tables.views['a'].latency_s > 0.03


def test_abandoned_request_occupies_its_slot_until_answered(world):
    identity = world.submit('book', key='k')
    for _ in range(30):
        world.tick(0.02)
    assert world.outcome(identity).tag == 'unknown'
    assert world.tables.views['a'].in_flight == 1
    world.answer(identity, 'a', Ran([], LogPosition(TERM, 6)))
    assert world.tables.views['a'].in_flight == 0


def test_outdated_latency_does_not_block_all_requests(world):
    view = world.tables.views['a']
    world.tables.views['a'] = view._replace(latency_s=60.0)
    identity = world.submit('book', key='k')
    assert world.outcome(identity) is None
    assert [execute.request for execute in world.taken(Execute)] == [identity]


def test_late_repeat_is_sent_after_requests_that_can_be_in_time(world):
    world.tables.policies = world.tables.policies._replace(admission=False)
    busy = [world.submit('book', key=f'k{n}') for n in range(4)]
    world.taken(Execute)
    late = world.submit('book', key='late', waited_s=9)
    fresh = world.submit('book', key='fresh')
    world.answer(busy[0], 'a', Ran([], LogPosition(TERM, 6)))
    assert world.taken(Execute)[0].request == fresh
    world.answer(busy[1], 'a', Ran([], LogPosition(TERM, 7)))
    assert world.taken(Execute)[0].request == late


def test_retry_delay_adapts_to_the_ratio_of_refused_to_served_requests():
    backoff = Backoff()
    for period in range(1, 12):
        backoff = backoff._replace(refused=900, served=300)
        backoff = adapt(backoff, period * 0.3)
    assert backoff.delay_s == LONGEST_S
    for period in range(12, 24):
        backoff = backoff._replace(refused=100, served=300)
        backoff = adapt(backoff, period * 0.3)
    assert backoff.delay_s == SHORTEST_S
