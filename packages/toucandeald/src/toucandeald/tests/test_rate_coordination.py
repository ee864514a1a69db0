"""Tokens between two proxies over a transport that the test controls."""

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.caller_sessions import CallerSession, OpenTransaction
from toucandeal.errors import BadSetting
from toucandeal.fleet import (
    FleetConfiguration,
    ProxyRecord,
    Route,
    RouteKind,
    Statement,
    Verb,
)
from toucandeal.fleet_tables import FleetTables, PeerView
from toucandeal.primary_lease import record_store_read
from toucandeal.rate_limits import coordinator_order
from toucandeal.workspaces import Workspace
from toucandeald.fleet_settings import RateBounds, granted_share
from toucandeald.rate_admission import OVER_LIMIT, RateAdmission
from toucandeald.rate_coordination import RateCoordination
from toucandeald.rate_wire import RateGrant, RateReport
from toucandeald.session_messages import CallerReply, ReplyKind
from toucandeald.steady_clock import virtual_time

TICK_S = 0.05
OBJECTIVE_S = 0.4
LIMIT = Workspace('w', 1, 10.0, 5.0)
ROUTE = Route('db', 'g', RouteKind.PRIMARY, 2.0, OBJECTIVE_S)
RECORDS = {name: ProxyRecord(name, 7, name) for name in ('p1', 'p2')}
COORDINATOR, OTHER = coordinator_order('0/1', ['p1', 'p2'])


class TwoProxies:
    """Two proxies that count each other; messages arrive with `deliver`."""

    def __init__(self, clock, limit=LIMIT, granted_share=1.0):
        self.clock = clock
        self.queued = []
        self.proxies = {}
        self.tables = {}
        for name, record in RECORDS.items():
            tables = FleetTables(name, 'z')
            tables.configuration = FleetConfiguration(
                1, {'db': ROUTE}, {}, 30.0, {'w': limit}
            )
            self.tables[name] = tables
            self.proxies[name] = RateCoordination(
                self.clock,
                tables,
                record,
                self._send,
                granted_share=granted_share,
            )

    def _send(self, address, message):
        self.queued.append((address, message))

    def deliver(self):
        """Deliver all queued messages, and those that they cause."""
        while self.queued:
            address, message = self.queued.pop(0)
            self.proxies[address].received(message)

    def advance(self, seconds, *, lost=False, hears_store=True):
        """Let time pass, with ticks and with or without messages."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            now = self.clock.seconds()
            for name, tables in self.tables.items():
                peer = OTHER if name == COORDINATOR else COORDINATOR
                tables.peers[peer] = PeerView(
                    peer, 7, peer, now, False, True, {}
                )
                if hears_store:
                    record_store_read(tables.primary_lease, now, RECORDS)
                self.proxies[name].tick(now)
            if lost:
                self.queued.clear()
            self.deliver()

    def acquire(self, name, workspace='w'):
        """Request a token; return the list that its outcome is put into."""
        outcomes = []
        waiting = defer.ensureDeferred(
            self.proxies[name].acquire(
                workspace, self.clock.seconds() + OBJECTIVE_S
            )
        )
        waiting.addCallback(outcomes.append)
        return outcomes


@pytest.fixture
def two():
    """Return two proxies that have just been registered."""
    clock = Clock()
    clock.advance(100)
    with virtual_time(clock.seconds):
        pair = TwoProxies(clock)
        pair.advance(1.5)
        yield pair


def _granted(two):
    return [
        message for _, message in two.queued if isinstance(message, RateGrant)
    ]


def test_an_operation_without_a_token_waits_for_one_round_trip(two):
    outcomes = two.acquire(OTHER)
    assert not outcomes
    two.deliver()
    assert outcomes == [None]


def test_the_coordinator_spends_its_own_tokens_without_messages(two):
    assert two.acquire(COORDINATOR) == [None]
    assert not two.queued


def test_a_workspace_without_a_rate_is_not_limited(two):
    assert two.acquire(OTHER, 'unlimited') == [None]
    assert not two.queued


def test_more_than_the_burst_is_refused_with_the_time_to_retry(two):
    outcomes = [two.acquire(COORDINATOR) for _ in range(20)]
    two.advance(0.5)
    served = [outcome for outcome in outcomes if outcome == [None]]
    refused = [outcome[0] for outcome in outcomes if outcome != [None]]
    assert len(served) == 5 + 2  # the burst, and the rate for 0.25 s
    assert all(delay >= 1 / LIMIT.rate_per_s for delay in refused)


def test_an_operation_waits_no_longer_than_its_objective(two):
    """Guards against callers that wait for an answer that is useless."""
    outcomes = []
    waiting = defer.ensureDeferred(
        two.proxies[OTHER].acquire('w', two.clock.seconds() + 0.1)
    )
    waiting.addCallback(outcomes.append)
    two.advance(0.1, lost=True)
    two.clock.advance(0.001)
    assert len(outcomes) == 1
    assert outcomes[0] is not None


def test_a_late_grant_brings_no_valid_tokens(two):
    """Guards against tokens of an earlier window that are spent in this."""
    two.acquire(OTHER)
    address, report = two.queued.pop(0)
    assert address == COORDINATOR
    two.proxies[COORDINATOR].received(report)
    grant = _granted(two)[0]
    two.queued.clear()
    two.clock.advance(0.5)
    two.proxies[OTHER].received(grant)
    outcomes = two.acquire(OTHER)
    assert not outcomes


def test_the_coordinator_grants_none_without_evidence_for_its_lease(two):
    """Guards against a proxy that the others no longer count."""
    two.advance(2.2, hears_store=False)
    outcomes = [two.acquire(COORDINATOR), two.acquire(OTHER)]
    two.advance(0.5, hears_store=False)
    assert all(len(each) == 1 and each[0] > 0 for each in outcomes)
    two.advance(0.3)
    assert two.acquire(COORDINATOR) == [None]


def test_a_vote_for_an_earlier_process_does_not_count(two):
    """Guards against votes that a coordinator's successor counts again."""
    coordinator = two.proxies[COORDINATOR]
    now = two.clock.seconds()
    for incarnation in (6, 0):
        coordinator.received(
            RateReport('p9', 1, 'p9', '0/1', now, incarnation, now, {}, {})
        )
    two.queued.clear()
    shard = coordinator._coordinator._shards['0/1']
    assert shard.votes.valid_until.keys() == {COORDINATOR, OTHER}


def test_a_draining_coordinator_releases_its_voters(two):
    """Guards against a rollout that refuses operations for 0.5 s each."""
    two.advance(12)
    two.tables[COORDINATOR].draining = True
    two.advance(0.5)
    assert two.acquire(OTHER) == [None]
    two.advance(0.5)
    shard = two.proxies[OTHER]._coordinator._shards['0/1']
    assert shard.votes.valid_until.keys() == {COORDINATOR, OTHER}


def test_a_removed_limit_lets_waiting_operations_run(two):
    """Guards against operations that wait for a limit that is gone."""
    for _ in range(20):
        two.acquire(OTHER)
    two.deliver()
    outcomes = two.acquire(OTHER)
    two.tables[OTHER].configuration = FleetConfiguration(2, {}, {}, 30.0)
    two.advance(0.05)
    assert outcomes == [None]


@pytest.mark.parametrize(
    'bounds',
    [
        RateBounds(slack=-1.0),
        RateBounds(slack=float('nan')),
        RateBounds(window_s=0.0),
        RateBounds(overage=-0.1),
    ],
)
def test_bounds_that_no_share_of_a_limit_keeps_are_refused(bounds):
    """Guards against a proxy that runs and exceeds the bounds."""
    with pytest.raises(BadSetting, match='[Ss]et '):
        granted_share(bounds)


@pytest.mark.parametrize(
    'bounds', [RateBounds(), RateBounds(overage=0.0), RateBounds(window_s=1.0)]
)
@pytest.mark.parametrize('rate', [10.0, 100.0])
def test_the_granted_share_keeps_within_tighter_bounds(bounds, rate):
    """Guards against constants that fit only the default bounds.

    The tokens of a window, and of 0.5 s before it, count.
    """
    clock = Clock()
    clock.advance(100)
    limit = LIMIT._replace(rate_per_s=rate)
    with virtual_time(clock.seconds):
        pair = TwoProxies(clock, limit, granted_share=granted_share(bounds))
        pair.advance(5)
        outcomes = []
        for _ in range(round((bounds.window_s + 0.5) / TICK_S)):
            outcomes += [
                pair.acquire(name) for name in RECORDS for _ in range(60)
            ]
            pair.advance(TICK_S)
    served = sum(outcome == [None] for outcome in outcomes)
    allowed = rate * bounds.window_s * (1 + bounds.overage)
    assert 0.9 * allowed - 5 <= served <= allowed + limit.burst + 20


class Admission:
    """The admission of one session, with replies that the test chooses."""

    def __init__(self, two):
        self.failed = []
        self.admission = RateAdmission(
            two.tables[COORDINATOR],
            two.proxies[COORDINATOR],
            lambda session, reason: self.failed.append(reason),
        )
        self.session = CallerSession(1, 'db', workspace='w')
        self.forwarded = 0
        self.ran = True
        self._two = two

    @property
    def tokens(self):
        """Return how many tokens were spent and not given back."""
        balance = self._two.proxies[COORDINATOR]._balances.get('w')
        return 0 if balance is None else len(balance.spent)

    def run(self, verb):
        """Run a statement and return its reply."""
        replies = []

        async def forward():
            self.forwarded += 1
            self.session.ran = self.ran
            return CallerReply(ReplyKind.DONE)

        running = defer.ensureDeferred(
            self.admission.run(
                self.session,
                Statement(verb, ''),
                self._two.clock.seconds(),
                forward,
            )
        )
        running.addCallback(replies.append)
        self._two.advance(0.3)
        return replies[0]


@pytest.mark.parametrize('verb', [Verb.READ, Verb.WRITE, Verb.EXECUTE])
def test_a_statement_costs_one_token(two, verb):
    admission = Admission(two)
    admission.run(verb)
    assert admission.tokens == 1


def test_a_transaction_costs_one_token_and_an_empty_one_none(two):
    admission = Admission(two)
    admission.session.transaction = OpenTransaction(
        ROUTE, read_only=False, began_at=0
    )
    admission.run(Verb.COMMIT)
    assert admission.tokens == 0
    admission.run(Verb.WRITE)
    assert admission.tokens == 1
    admission.session.transaction.placement = 'a server'
    admission.run(Verb.WRITE)
    admission.run(Verb.COMMIT)
    assert admission.admission.granted == {'w': 1}
    assert admission.forwarded == 4


def test_an_operation_that_no_server_ran_costs_none(two):
    """Guards against limits used up by refusals for other reasons."""
    admission = Admission(two)
    admission.ran = False
    for _ in range(3):
        admission.run(Verb.WRITE)
    assert admission.tokens == 0


def test_a_refusal_over_the_limit_fails_the_transaction(two):
    """Guards against a caller that goes on in a transaction half refused."""
    admission = Admission(two)
    admission.session.transaction = OpenTransaction(
        ROUTE, read_only=False, began_at=0
    )
    for _ in range(40):
        two.acquire(COORDINATOR)
    reply = admission.run(Verb.WRITE)
    assert reply.kind is ReplyKind.REFUSED
    assert reply.reason == OVER_LIMIT
    assert reply.retry_after_s > 0
    assert admission.failed == [OVER_LIMIT]
    assert not admission.forwarded


def test_reports_that_are_not_answered_are_not_followed_by_many(two):
    """Guards against reports that fill the link of a slow coordinator.

    After a loss of all proxies, operations of many workspaces come at once.
    Reports of 24 proxies every 5 ms delayed the coordinator's heartbeats until
    it was avoided, and so the next one.
    """
    names = [f'w{number}' for number in range(20)]
    limits = {name: LIMIT._replace(name=name) for name in names}
    for tables in two.tables.values():
        tables.configuration = tables.configuration._replace(workspaces=limits)
    began_at = two.clock.seconds()
    for name in names:
        two.acquire(OTHER, name)
        two.clock.advance(0.006)
    elapsed_s = two.clock.seconds() - began_at
    reports = [
        message for _, message in two.queued if isinstance(message, RateReport)
    ]
    assert len(reports) <= elapsed_s / 0.05 + 1
