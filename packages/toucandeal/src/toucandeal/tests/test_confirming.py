"""Release of answers after their confirmation."""

from toucandeal.actions import Execute
from toucandeal.evidence import confirmed_index
from toucandeal.positions import LogPosition
from toucandeal.results import Lost, Ran
from toucandeal.tests.world import GROUP, TERM


def _write(world, key='k', name='book'):
    identity = world.submit(name, key=key)
    (execute,) = world.taken(Execute)
    assert execute.target == 'a'
    return identity


def test_write_waits_for_a_replica_of_the_same_term(world):
    identity = _write(world)
    world.answer(identity, 'a', Ran([], LogPosition(TERM, 6)))
    assert world.outcome(identity) is None
    world.status('b', 5)
    assert world.outcome(identity) is None
    world.status('c', 6)
    assert world.outcome(identity).tag == 'served'


def test_higher_index_of_another_term_confirms_nothing(world):
    identity = _write(world)
    world.answer(identity, 'a', Ran([], LogPosition(TERM, 6)))
    world.status('b', 9, log_term=TERM - 1)
    assert world.outcome(identity) is None


def test_superseded_primary_does_not_confirm_its_own_write(world):
    # `b` becomes primary without the write; `a` reports it as a replica.
    world.status('b', 6, primary=True, term=TERM + 1)
    world.status('a', 9, term=TERM)
    assert confirmed_index(world.tables, GROUP, 'a', TERM) == 5


def test_write_of_a_superseded_primary_is_retried_by_its_key(world):
    identity = _write(world)
    world.answer(identity, 'a', Ran([], LogPosition(TERM, 6)))
    # The proxy has just started and has earned no retry tokens yet.
    world.status('b', 6, primary=True, term=TERM + 1)
    (retry,) = world.taken(Execute)
    assert (retry.request, retry.target) == (identity, 'b')
    world.answer(identity, 'b', Ran([], LogPosition(TERM + 1, 7)))
    world.status('c', 7, term=TERM + 1)
    assert world.outcome(identity).tag == 'served'


def test_non_idempotent_write_without_key_is_never_sent_twice(world):
    identity = _write(world, key=None)
    world.tables.retry_tokens = 10
    world.answer(identity, 'a', Lost('cut', sent=True))
    assert world.outcome(identity).tag == 'unknown'
    assert not world.taken(Execute)


def test_write_without_confirmation_is_unknown_at_its_deadline(world):
    identity = _write(world)
    world.answer(identity, 'a', Ran([], LogPosition(TERM, 6)))
    for _ in range(30):
        world.tick(0.02)
    outcome = world.outcome(identity)
    assert outcome.tag == 'unknown'
    assert outcome.seen == LogPosition(TERM, 6)


def test_evidence_from_before_a_pause_confirms_nothing(world):
    identity = _write(world, name='log')
    before = world.now
    world.answer(identity, 'a', Ran([], LogPosition(TERM, 6)))
    world.now += world.tables.policies.pause_s + 0.01
    world.status('b', 6, sent_at=before)
    assert world.outcome(identity) is None
    world.status('b', 6)
    assert world.outcome(identity).tag == 'served'


def test_fresh_read_of_the_primary_waits_for_proof(world):
    world.tables.policies = world.tables.policies._replace(
        replica_reads='primary_only'
    )
    identity = world.submit('fresh')
    (execute,) = world.taken(Execute)
    assert execute.target == 'a'
    sent_at = world.now
    world.now += 0.001
    # No poll sent after the arrival has proven the primary, so it must wait.
    world.tables.policies = world.tables.policies._replace(
        replica_reads='bounded'
    )
    world.answer(identity, 'a', Ran([], LogPosition(TERM, 5)))
    world.status('b', 5, sent_at=sent_at - 0.01)
    world.status('c', 5, sent_at=sent_at - 0.01)
    assert world.outcome(identity) is None
    world.status('b', 5, sent_at=sent_at)
    assert world.outcome(identity).tag == 'served'


def test_replica_that_knows_a_higher_term_proves_nothing(world):
    identity = world.submit('fresh')
    world.tick(0.02)
    (execute,) = world.taken(Execute)
    world.answer(identity, execute.target, Ran([], LogPosition(TERM, 4)))
    world.status('b', 5, term=TERM + 1, log_term=TERM)
    world.status('c', 5, term=TERM + 1, log_term=TERM)
    assert world.outcome(identity) is None
