"""Fairness, order, early refusal and retries."""

from toucandeal.actions import Execute
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


def test_idle_caller_saves_up_no_burst():
    queue = FairQueue()
    for number in range(10):
        add(queue, 'busy', Waiting(-1, 1.0, number))
    for number in range(8):
        remove(queue, 'busy', Waiting(-1, 1.0, number), 1)
    for number in range(20, 25):
        add(queue, 'late', Waiting(-1, 1.0, number))
    order = [caller for caller, _ in in_order(queue)]
    assert order[:4].count('busy') == 2


def test_costlier_request_of_a_caller_goes_first(world):
    world.tables.policies = world.tables.policies._replace(admission=False)
    busy = [world.submit('book', key=f'k{n}') for n in range(20)]
    costly = world.submit('log', key='costly')
    world.taken(Execute)
    world.answer(busy[0], 'a', Ran([], LogPosition(TERM, 6)))
    assert world.taken(Execute)[0].request == costly


def test_request_that_can_not_be_served_in_time_is_refused_at_once(world):
    view = world.tables.views['a']
    world.tables.views['a'] = view._replace(latency_s=0.4)
    outcomes = [
        world.outcome(world.submit('book', key=f'k{n}')) for n in range(20)
    ]
    refused = [outcome for outcome in outcomes if outcome is not None]
    assert refused and {outcome.tag for outcome in refused} == {'refused'}
    assert min(outcome.retry_after_s for outcome in refused) > 0.4


def test_retries_stop_when_their_budget_is_spent(world):
    world.tables.retry_tokens = 0
    identity = world.submit('book', key='k')
    world.answer(identity, 'a', Lost('cut', sent=True))
    assert world.outcome(identity).tag == 'unknown'


def test_queued_request_is_refused_at_its_deadline_not_unknown(world):
    world.tables.policies = world.tables.policies._replace(admission=False)
    many = [world.submit('book', key=f'k{n}') for n in range(12)]
    sent = {execute.request for execute in world.taken(Execute)}
    for _ in range(30):
        world.tick(0.02)
    tags = {identity: world.outcome(identity).tag for identity in many}
    assert {tags[identity] for identity in sent} == {'unknown'}
    assert {tags[identity] for identity in set(many) - sent} == {'refused'}
