"""Release of answers after their confirmation."""

from toucandeal.actions import Execute
from toucandeal.evidence import confirmed_index
from toucandeal.positions import LogPosition
from toucandeal.results import Executed, Lost
from toucandeal.tests.simulated_proxy import GROUP, TERM


def _write(simulated_proxy, key='k', name='book'):
    identity = simulated_proxy.submit(name, key=key)
    (execute,) = simulated_proxy.pop_actions(Execute)
    assert execute.target == 'a'
    return identity


def test_write_waits_for_a_replica_of_the_same_term(simulated_proxy):
    identity = _write(simulated_proxy)
    simulated_proxy.answer(identity, 'a', Executed([], LogPosition(TERM, 6)))
    assert simulated_proxy.outcome(identity) is None
    simulated_proxy.report_status('b', 5)
    assert simulated_proxy.outcome(identity) is None
    simulated_proxy.report_status('c', 6)
    assert simulated_proxy.outcome(identity).tag == 'served'


def test_higher_index_of_another_term_confirms_nothing(simulated_proxy):
    identity = _write(simulated_proxy)
    simulated_proxy.answer(identity, 'a', Executed([], LogPosition(TERM, 6)))
    simulated_proxy.report_status('b', 9, log_term=TERM - 1)
    assert simulated_proxy.outcome(identity) is None


def test_superseded_primary_does_not_confirm_its_own_write(simulated_proxy):
    # `b` becomes primary without the write; `a` reports it as a replica.
    simulated_proxy.report_status('b', 6, primary=True, term=TERM + 1)
    simulated_proxy.report_status('a', 9, term=TERM)
    assert confirmed_index(simulated_proxy.tables, GROUP, 'a', TERM) == 5


def test_write_of_a_superseded_primary_is_retried_by_its_key(simulated_proxy):
    identity = _write(simulated_proxy)
    simulated_proxy.answer(identity, 'a', Executed([], LogPosition(TERM, 6)))
    # The proxy has just started and has earned no retry tokens yet.
    simulated_proxy.report_status('b', 6, primary=True, term=TERM + 1)
    (retry,) = simulated_proxy.pop_actions(Execute)
    assert (retry.request, retry.target) == (identity, 'b')
    simulated_proxy.answer(
        identity, 'b', Executed([], LogPosition(TERM + 1, 7))
    )
    simulated_proxy.report_status('c', 7, term=TERM + 1)
    assert simulated_proxy.outcome(identity).tag == 'served'


def test_non_idempotent_write_without_key_is_never_sent_twice(simulated_proxy):
    identity = _write(simulated_proxy, key=None)
    simulated_proxy.tables.retry_tokens = 10
    simulated_proxy.answer(identity, 'a', Lost('cut', sent=True))
    assert simulated_proxy.outcome(identity).tag == 'unknown'
    assert not simulated_proxy.pop_actions(Execute)


def test_write_without_confirmation_is_unknown_at_its_deadline(simulated_proxy):
    identity = _write(simulated_proxy)
    simulated_proxy.answer(identity, 'a', Executed([], LogPosition(TERM, 6)))
    for _ in range(30):
        simulated_proxy.tick(0.02)
    outcome = simulated_proxy.outcome(identity)
    assert outcome.tag == 'unknown'
    assert outcome.seen == LogPosition(TERM, 6)


def test_evidence_from_before_a_pause_confirms_nothing(simulated_proxy):
    identity = _write(simulated_proxy, name='log')
    before = simulated_proxy.now
    simulated_proxy.answer(identity, 'a', Executed([], LogPosition(TERM, 6)))
    simulated_proxy.now += simulated_proxy.tables.policies.pause_s + 0.01
    simulated_proxy.report_status('b', 6, sent_at=before)
    assert simulated_proxy.outcome(identity) is None
    simulated_proxy.report_status('b', 6)
    assert simulated_proxy.outcome(identity).tag == 'served'


def test_fresh_read_of_the_primary_waits_for_proof(simulated_proxy):
    simulated_proxy.tables.policies = simulated_proxy.tables.policies._replace(
        replica_reads='primary_only'
    )
    identity = simulated_proxy.submit('fresh')
    (execute,) = simulated_proxy.pop_actions(Execute)
    assert execute.target == 'a'
    sent_at = simulated_proxy.now
    simulated_proxy.now += 0.001
    # No poll sent after the arrival has proven the primary, so it must wait.
    simulated_proxy.tables.policies = simulated_proxy.tables.policies._replace(
        replica_reads='bounded'
    )
    simulated_proxy.answer(identity, 'a', Executed([], LogPosition(TERM, 5)))
    simulated_proxy.report_status('b', 5, sent_at=sent_at - 0.01)
    simulated_proxy.report_status('c', 5, sent_at=sent_at - 0.01)
    assert simulated_proxy.outcome(identity) is None
    simulated_proxy.report_status('b', 5, sent_at=sent_at)
    assert simulated_proxy.outcome(identity).tag == 'served'


def test_replica_that_knows_a_higher_term_proves_nothing(simulated_proxy):
    identity = simulated_proxy.submit('fresh')
    simulated_proxy.tick(0.02)
    (execute,) = simulated_proxy.pop_actions(Execute)
    simulated_proxy.answer(
        identity, execute.target, Executed([], LogPosition(TERM, 4))
    )
    simulated_proxy.report_status('b', 5, term=TERM + 1, log_term=TERM)
    simulated_proxy.report_status('c', 5, term=TERM + 1, log_term=TERM)
    assert simulated_proxy.outcome(identity) is None
