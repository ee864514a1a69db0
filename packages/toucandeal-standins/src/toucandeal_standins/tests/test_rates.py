"""Rates of workspaces over several proxies in virtual time."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from toucandeal.workspaces import Workspace
from toucandeal_standins.load_model.rate_fleet import (
    RateFleet,
    busiest_window,
)

WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20.0
SERVED_SHARE = 0.97
NAMES = ['p1', 'p2', 'p3', 'p4']
SETTLE_S = 16.0  # newcomers vote after 11 s
LIMIT = Workspace('w', 1, 60.0, 30.0)
proxies = st.sampled_from(NAMES)


def _allowed(limit):
    most = limit.rate_per_s * WINDOW_S + limit.burst
    return most * (1 + OVERAGE) + SLACK


def _check_windows(fleet, limit):
    """Check each window; a lowered limit counts from when all know it."""
    times = fleet.ran[limit.name]
    assert busiest_window(times, WINDOW_S) <= _allowed(limit)


def _fleet(names, limit, factor, seed=1, *, only=None):
    fleet = RateFleet(names, [limit], seed)
    fleet.run(3)
    used = [only] if only else names
    for name in used:
        fleet.demand[name, limit.name] = factor * limit.rate_per_s / len(used)
    return fleet


def _served_share(fleet, limit, seconds=10):
    since = fleet.clock.seconds()
    fleet.run(seconds)
    return fleet.count_since(limit.name, since) / (limit.rate_per_s * seconds)


@pytest.mark.parametrize('only', [None, 'p2'])
@pytest.mark.parametrize('count', [1, 2, 4, 26])
@pytest.mark.parametrize(('rate', 'burst'), [(30, 10), (100, 1), (300, 100)])
def test_twice_the_limit_is_served_up_to_the_limit(count, rate, burst, only):
    """Guards against tokens that are lost on the way or held unused."""
    names = [f'p{number}' for number in range(1, count + 1)]
    limit = Workspace('w', 1, float(rate), float(burst))
    fleet = _fleet(names, limit, 2, only=only and names[-1])
    fleet.run(5)
    assert _served_share(fleet, limit) >= SERVED_SHARE
    _check_windows(fleet, limit)


@pytest.mark.parametrize('rate', [16.0, 60.0, 300.0])
@pytest.mark.parametrize('factor', [2, 4])
def test_what_is_over_the_limit_is_mostly_refused_at_once(rate, factor):
    """Guards against operations that wait 0.25 s for a certain refusal."""
    names = [f'p{number}' for number in range(24)]
    limit = Workspace('w', 1, rate, rate / 2)
    fleet = _fleet(names, limit, factor)
    fleet.run(5)
    before = fleet.refused['w'], fleet.refused_at_once['w']
    assert _served_share(fleet, limit) >= SERVED_SHARE
    refused = fleet.refused['w'] - before[0]
    assert fleet.refused_at_once['w'] - before[1] >= refused / 2
    _check_windows(fleet, limit)


def test_a_load_below_the_limit_is_not_refused_after_a_restart_of_all():
    """Guards against votes that come late when all proxies start at once."""
    names = [f'p{number}' for number in range(24)]
    fleet = _fleet(names, LIMIT, 0.8)
    fleet.run(12)
    for name in names:
        fleet.kill(name)
    fleet.run(2)
    for name in names:
        fleet.start(name)
    fleet.run(1)
    refused = fleet.refused['w']
    fleet.run(10)
    assert fleet.refused['w'] == refused


@pytest.mark.parametrize('count', [1, 4, 26])
def test_a_small_rate_used_within_its_limit_is_never_refused(count):
    """Guards against a single token that is held where it is not needed."""
    names = [f'p{number}' for number in range(count)]
    fleet = RateFleet(names, [Workspace('w', 1, 1.0, 1.0)])
    fleet.run(3)
    for number in range(30):
        proxy = fleet.proxies[names[number % count]]
        proxy.clock.run(proxy.request, 'w')
        fleet.run(1.05)
    assert len(fleet.ran['w']) == 30
    assert not fleet.refused


def test_a_steady_load_below_the_limit_does_not_wait():
    """Guards against operations that each wait for a round trip."""
    fleet = _fleet(NAMES, Workspace('w', 1, 200.0, 50.0), 0.5)
    fleet.run(5)
    before = fleet.waited_s['w']
    fleet.run(10)
    assert not fleet.refused
    assert (fleet.waited_s['w'] - before) / 1000 < 0.001


def test_a_lowered_limit_holds_in_the_first_window_after_it_is_known():
    """Guards against a bucket that keeps the tokens of the higher limit."""
    fleet = _fleet(NAMES, Workspace('w', 1, 300.0, 200.0), 1)
    fleet.run(10)
    low = Workspace('w', 1, 10.0, 5.0)
    fleet.set_limits([low])
    fleet.run(1)  # reads of the store, and the validity of tokens
    lowered_at = fleet.clock.seconds()
    fleet.run(15)
    times = [at for at in fleet.ran['w'] if at >= lowered_at]
    assert busiest_window(times, WINDOW_S) <= _allowed(low)
    assert len(times) >= SERVED_SHARE * low.rate_per_s * 15
    fleet.set_limits([Workspace('w', 1, 100.0, 50.0)])
    fleet.run(2)
    since = fleet.clock.seconds()
    fleet.run(10)
    assert fleet.count_since('w', since) >= SERVED_SHARE * 1000


def test_without_limits_no_message_is_sent():
    """Guards against costs in deployments without workspaces."""
    fleet = RateFleet(NAMES, [Workspace('w')])
    fleet.run(2)
    for proxy in fleet.proxies.values():
        proxy.clock.run(proxy.request, 'w')
    fleet.run(2)
    assert len(fleet.ran['w']) == len(NAMES)
    assert not fleet.rate_messages


@pytest.mark.parametrize('fault', ['kill', 'pause', 'cut', 'deaf', 'drain'])
def test_a_lost_coordinator_is_replaced_within_its_bounds(fault):
    """Guards against refusals long after another proxy could coordinate."""
    fleet = _fleet(NAMES, LIMIT, 2)
    fleet.run(15)
    name = fleet.coordinator('p1')
    others = [other for other in NAMES if other != name]
    since = fleet.clock.seconds()
    match fault:
        case 'kill':
            fleet.kill(name)
        case 'pause':
            fleet.proxies[name].clock.paused = True
        case 'cut':
            fleet.cut |= {(name, other) for other in others}
            fleet.cut |= {(other, name) for other in others}
        case 'deaf':
            fleet.cut |= {(other, name) for other in others}
        case 'drain':
            fleet.proxies[name].tables.draining = True
    fleet.run(2)
    # Three of four votes, 1.1 s of 2 s at the worst.
    least = 1.9 if fault == 'drain' else 0.7
    assert fleet.count_since('w', since) >= least * 0.7 * LIMIT.rate_per_s
    fleet.run(10)
    assert _served_share(fleet, LIMIT) >= SERVED_SHARE
    _check_windows(fleet, LIMIT)


def test_proxies_that_restart_beside_a_silent_record_serve_at_once():
    """Guards against 11 s without tokens after a loss of all proxies.

    A proxy that was removed for good stays registered as silent and counts no
    other one, so the restarted ones must not wait for it.
    """
    fleet = _fleet(NAMES, LIMIT, 2)
    fleet.run(12)
    fleet.kill('p4')
    fleet.run(8)
    assert fleet.registry['p4'].silent
    for name in NAMES[:3]:
        fleet.start(name)
        fleet.demand[name, 'w'] = LIMIT.rate_per_s
    fleet.run(2)
    # The removed proxy's part is missing for some seconds.
    assert _served_share(fleet, LIMIT, 4) >= 0.7 * SERVED_SHARE
    _check_windows(fleet, LIMIT)


def test_two_halves_that_both_read_the_store_keep_within_the_limit():
    """Guards against halves that each divide the limit among themselves.

    Each marks the other as silent, and the other registers again.
    """
    fleet = _fleet(NAMES, LIMIT, 4)
    for near in NAMES[:2]:
        for far in NAMES[2:]:
            fleet.cut |= {(near, far), (far, near)}
    fleet.run(11)
    for name in NAMES[::2]:
        fleet.start(name)
    fleet.run(16)
    _check_windows(fleet, LIMIT)


def test_a_coordinator_without_the_store_does_not_grant_newcomers_shares():
    """Guards against a coordinator that does not know of later proxies.

    Its lease is renewed by peers that read the store, but its list is old.
    """
    fleet = _fleet(NAMES[1:3], LIMIT, 4)
    fleet.run(12)
    name = fleet.coordinator('p2')
    fleet.proxies[name].reads_store = False
    for newcomer in ('p1', 'p4'):
        fleet.cut |= {(name, newcomer), (newcomer, name)}
        fleet.start(newcomer)
        fleet.demand[newcomer, 'w'] = 2 * LIMIT.rate_per_s
    fleet.run(1)
    for newcomer in ('p1', 'p4'):
        fleet.proxies[newcomer].reads_store = False
    fleet.run(30)
    _check_windows(fleet, LIMIT)


@pytest.mark.parametrize('alone', NAMES[:3])
@pytest.mark.parametrize('relaying', NAMES[:3])
def test_a_relayed_lease_is_no_evidence_that_a_proxy_counts(alone, relaying):
    """Guards against a silent proxy whose lease a peer with an old list renews.

    The third proxy reads the store, and divides the limit without it.
    """
    names = NAMES[:3]
    fleet = _fleet(names, LIMIT, 4)
    fleet.run(15)
    for name in (alone, relaying):
        fleet.proxies[name].reads_store = False
    for name in set(names) - {alone, relaying}:
        fleet.cut |= {(name, alone), (alone, name)}
    fleet.run(30)
    _check_windows(fleet, LIMIT)


class RatesUnderFaults(RuleBasedStateMachine):
    """Four proxies under faults, one workspace with twice its limit or more.

    Guards against windows above the bound, whatever the proxies' views, and
    against tokens that are lost for good.
    """

    def __init__(self):
        super().__init__()
        self.fleet = _fleet(NAMES, LIMIT, 4)
        self.fleet.run(2)

    @rule(name=proxies, seconds=st.sampled_from([0.2, 0.6, 1.5, 3.0]))
    def kill_and_restart(self, name, seconds):
        self.fleet.kill(name)
        self.fleet.run(seconds)
        self.fleet.start(name)

    @rule()
    def restart_all(self):
        for name in NAMES:
            self.fleet.start(name)
        self.fleet.run(1)

    @rule()
    def restart_half(self):
        for name in NAMES[::2]:
            self.fleet.start(name)
        self.fleet.run(1)

    @rule(seconds=st.sampled_from([0.3, 0.7, 1.5, 4.0]), resumes=st.booleans())
    def pause_coordinator(self, seconds, resumes):
        self._pause(self.fleet.coordinator('p1'), seconds, resumes=resumes)

    @rule(name=proxies, seconds=st.sampled_from([0.3, 1.0, 3.0]))
    def pause(self, name, seconds):
        self._pause(name, seconds, resumes=True)

    def _pause(self, name, seconds, *, resumes):
        if name not in self.fleet.proxies:
            return
        self.fleet.proxies[name].clock.paused = True
        self.fleet.run(seconds)
        if resumes:
            self.fleet.proxies[name].clock.resume()
        else:
            self.fleet.start(name)

    @rule(sender=proxies, recipient=proxies, both=st.booleans())
    def cut(self, sender, recipient, both):
        self.fleet.cut.add((sender, recipient))
        if both:
            self.fleet.cut.add((recipient, sender))
        self.fleet.run(0.5)

    @rule(both=st.booleans(), store=st.booleans())
    def split(self, both, store):
        for near in NAMES[:2]:
            self.fleet.cut |= {(near, far) for far in NAMES[2:]}
            if both:
                self.fleet.cut |= {(far, near) for far in NAMES[2:]}
            self.fleet.proxies[near].reads_store = store
        self.fleet.run(1)

    @rule()
    def mend(self):
        self.fleet.cut.clear()
        for proxy in self.fleet.proxies.values():
            proxy.reads_store = True
        self.fleet.run(0.5)

    @rule(name=proxies, reads=st.booleans())
    def store(self, name, reads):
        self.fleet.proxies[name].reads_store = reads

    @rule(
        share=st.sampled_from([0.0, 0.1, 0.5]),
        delay_s=st.sampled_from([0.001, 0.05, 0.3, 1.0]),
    )
    def disturb_messages(self, share, delay_s):
        self.fleet.lost_share = share
        self.fleet.max_delay_s = delay_s

    @rule(rate=st.sampled_from([5.0, 20.0, 60.0]))
    def change_limit(self, rate):
        """The highest limit is that of the bound."""
        self.fleet.set_limits([LIMIT._replace(rate_per_s=rate, burst=rate / 2)])
        self.fleet.run(0.5)

    @rule(name=proxies)
    def drain_and_restart(self, name):
        self.fleet.proxies[name].tables.draining = True
        self.fleet.run(1)
        self.fleet.start(name)

    @rule(name=proxies)
    def one_proxy_has_all_callers(self, name):
        total = sum(self.fleet.demand.values())
        self.fleet.demand = {(name, 'w'): total}
        self.fleet.run(1)

    @rule(seconds=st.sampled_from([0.2, 1.0, 2.5]))
    def wait(self, seconds):
        self.fleet.run(seconds)

    def teardown(self):
        fleet = self.fleet
        _check_windows(fleet, LIMIT)
        self.mend()
        fleet.lost_share, fleet.max_delay_s = 0, 0.001
        fleet.set_limits([LIMIT])
        fleet.run(SETTLE_S)
        assert _served_share(fleet, LIMIT) >= SERVED_SHARE
        _check_windows(fleet, LIMIT)


TestRatesUnderFaults = RatesUnderFaults.TestCase
TestRatesUnderFaults.settings = settings(
    max_examples=40, stateful_step_count=12, deadline=None
)
