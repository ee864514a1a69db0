"""The choice of the server that takes over from a primary."""

import math

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.fleet import GroupRecord
from toucandeal.fleet_tables import server_load
from toucandeal.positions import LogPosition
from toucandeal.promotion import Leader, ServerReport
from toucandeal.tests.sample_tables import NOW, new_tables
from toucandeald.promotion_choice import REPORTS_TIMEOUT_S, PromotionChoice
from toucandeald.session_messages import lost
from toucandeald.steady_clock import virtual_time

STEP_S = 0.05


class Watch:
    """Has seen no server step down."""

    def __init__(self):
        self.stepped_down = {}

    def has_stepped_down(self, record):
        """Return that no primary has."""
        return False


class Reports:
    """Answers with the log positions that the test has set."""

    def __init__(self, received):
        self.received = received
        self.steps = []

    async def gather(self, servers):
        """Return the reports of the servers that answer."""
        return {
            server.name: ServerReport(
                server.name == 'a', 3, LogPosition(3, index)
            )
            for server in servers
            if (index := self.received.get(server.name)) is not None
        }

    async def send_request(self, server, request):
        """Record that a server is asked to step down."""
        self.steps.append((server.name, request))
        return lost('no answer')


def new_clock():
    """Return a clock at the time of the sample tables."""
    clock = Clock()
    clock.advance(NOW)
    return clock


def choose(received, leaving, *, planned=False):
    """Return the name of the server that is chosen, or None."""
    tables = new_tables()
    for name in leaving:
        tables.servers[name] = tables.servers[name]._replace(leaving=True)
    return choose_by(new_clock(), tables, Reports(received), planned=planned)


def choose_by(clock, tables, reports, *, planned=False):
    """Return the name of the server that is chosen by reports, or None."""
    choice = PromotionChoice(clock, tables, Watch(), reports)
    record = GroupRecord('g', 'a', 3, changing=True, planned=planned)
    outcomes = []
    with virtual_time(clock.seconds):
        defer.ensureDeferred(
            choice.choose_replica(record, planned=planned)
        ).addBoth(outcomes.append)
        while not outcomes and clock.seconds() < NOW + 3 * REPORTS_TIMEOUT_S:
            clock.advance(STEP_S)
    chosen, _ = outcomes[0]
    return None if chosen is None else chosen.name


@pytest.mark.parametrize(
    ('received', 'leaving', 'chosen'),
    [
        ({'b': 9, 'c': 5}, 'b', 'b'),
        ({'b': 9, 'c': 9}, 'b', 'c'),
        ({'b': 5, 'c': 9}, 'b', 'c'),
        ({'b': 9, 'c': 5}, 'bc', 'b'),
        ({'c': 5}, 'b', 'c'),
    ],
)
def test_a_leaving_server_with_the_last_commits_takes_over(
    received, leaving, chosen
):
    # Guards against the loss of commits that were acknowledged because a
    # server had received them that is leaving since then.
    assert choose(received, leaving) == chosen


def test_a_leaving_primary_that_dies_does_not_lose_its_last_commits():
    # Guards against the same loss in a promotion that began as planned.
    assert choose({'b': 9, 'c': 5}, 'ab', planned=True) == 'b'


@pytest.mark.parametrize(
    ('answers_after_s', 'chosen'), [(0.8, 'b'), (math.inf, 'c')]
)
def test_a_busy_replica_with_the_last_commits_takes_over(
    answers_after_s, chosen
):
    # Guards against the loss of commits that were acknowledged because a
    # replica had received them that refuses to report its status for a while.
    clock = new_clock()
    tables = new_tables()
    server_load(tables, 'b').received = LogPosition(3, 9)

    def gather(servers):
        received = {'c': 5}
        if clock.seconds() >= NOW + answers_after_s:
            received['b'] = 9
        return Reports(received).gather(servers)

    reports = Reports({})
    reports.gather = gather
    assert choose_by(clock, tables, reports) == chosen


def test_a_planned_promotion_leaves_no_server_for_one_that_is_leaving():
    assert choose({'a': 9, 'b': 9, 'c': 5}, 'ab', planned=True) is None


@pytest.mark.parametrize(
    ('term', 'leader'),
    [(2, None), (3, None), (4, Leader('b', 4, frozenset('ac')))],
)
def test_a_superseded_primary_is_not_taken_for_the_leader(term, leader):
    # Guards against stale reads and acknowledged writes at a former primary
    # that calls itself one while the recorded primary, and the replica that
    # follows it, give no answer.
    clock = Clock()
    clock.advance(NOW)
    reports = Reports({})
    report = ServerReport(True, term, LogPosition(term, 9))
    reports.gather = lambda servers: defer.succeed({'b': report})
    choice = PromotionChoice(clock, new_tables(), Watch(), reports)
    record = GroupRecord('g', 'a', 3, changing=True, attempts=1)
    with virtual_time(clock.seconds):
        found = defer.ensureDeferred(choice.current_leader(record)).result
    assert found == leader


@pytest.mark.parametrize(
    ('answers_after_s', 'leader'), [(0.4, 'c'), (math.inf, 'b')]
)
def test_a_busy_server_that_leads_a_later_term_is_found(
    answers_after_s, leader
):
    # Guards against the promotion of a superseded primary because the one that
    # leads refuses to report its status for a while.
    clock = new_clock()
    reports = Reports({})

    def gather(servers):
        terms = {'b': 4}
        if clock.seconds() >= NOW + answers_after_s:
            terms['c'] = 5
        return defer.succeed(
            {
                name: ServerReport(True, term, LogPosition(term, 9))
                for name, term in terms.items()
            }
        )

    reports.gather = gather
    choice = PromotionChoice(clock, new_tables(), Watch(), reports)
    record = GroupRecord('g', 'a', 3, changing=True, holder='p1', attempts=2)
    found = []
    with virtual_time(clock.seconds):
        defer.ensureDeferred(choice.current_leader(record)).addBoth(
            found.append
        )
        while not found and clock.seconds() < NOW + 2 * REPORTS_TIMEOUT_S:
            clock.advance(STEP_S)
    assert found[0].name == leader
