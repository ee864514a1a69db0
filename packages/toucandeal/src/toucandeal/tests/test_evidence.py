"""Evidence from the statuses of targets."""

from toucandeal.evidence import update_primary
from toucandeal.tests.simulated_proxy import GROUP, TERM


def test_a_status_of_an_earlier_lead_is_no_sample(simulated_proxy):
    # Guards against stale reads: the lead went away from a target and came
    # back, and its status of before arrives late. The replicas' statuses prove
    # the present term only.
    history = simulated_proxy.tables.group_views[GROUP].history
    before = list(history)
    simulated_proxy.now += 0.1
    sent_at = simulated_proxy.now
    simulated_proxy.apply_event(
        update_primary, GROUP, 'a', TERM + 2, 'heartbeat'
    )
    simulated_proxy.report_status('a', 7, primary=True, sent_at=sent_at)
    for name in ('b', 'c'):
        simulated_proxy.report_status(name, 9, term=TERM + 2, sent_at=sent_at)
    assert history == before
    simulated_proxy.now += 0.1
    simulated_proxy.report_status('a', 9, primary=True, term=TERM + 2)
    for name in ('b', 'c'):
        simulated_proxy.report_status(name, 9, term=TERM + 2)
    assert history[len(before) :] == [((TERM + 2, 9), simulated_proxy.now)]
