"""The choice of the server that takes over from a primary."""

import math

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.acknowledged_writes import (
    FleetAcknowledged,
    ServerStart,
    note_primary_position,
    note_server_ended,
)
from toucandeal.fleet import GroupRecord
from toucandeal.fleet_tables import server_load
from toucandeal.positions import NOTHING_SEEN, LogPosition
from toucandeal.promotion import Leader, ServerReport
from toucandeal.tests.sample_tables import NOW, new_tables
from toucandeald.promotion_choice import (
    REPORTS_TIMEOUT_S,
    Choice,
    PromotionChoice,
)
from toucandeald.session_messages import lost
from toucandeald.steady_clock import virtual_time

STEP_S = 0.05
UNKNOWN = FleetAcknowledged(NOTHING_SEEN, None)


class Watch:
    """Has seen no server step down."""

    def __init__(self):
        self.stepped_down = {}

    def has_stepped_down(self, record):
        """Return that no primary has."""
        return False


class Reports:
    """Answers with the log positions that the test has set."""

    def __init__(self, received, leader='a'):
        self.received = received
        self.leader = leader
        self.steps = []

    async def gather(self, servers):
        """Return the reports of the servers that answer."""
        return {
            server.name: ServerReport(
                server.name == self.leader, 3, LogPosition(3, index)
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


def known(index):
    """Return that the proxies have acknowledged writes up to an index."""
    position = LogPosition(3, index)
    return FleetAcknowledged(position, position)


def choose(received, leaving, *, planned=False, acknowledged=UNKNOWN):
    """Return the name of the server that is chosen, or None."""
    tables = new_tables()
    for name in leaving:
        tables.servers[name] = tables.servers[name]._replace(leaving=True)
    return choose_by(
        new_clock(),
        tables,
        Reports(received),
        planned=planned,
        acknowledged=acknowledged,
    )


def choose_by(clock, tables, reports, **options):
    """Return the name of the server that is chosen by reports, or None."""
    server = choice_by(clock, tables, reports, **options).server
    return None if server is None else server.name


def choice_by(
    clock, tables, reports, *, planned=False, acknowledged=UNKNOWN, found=None
):
    """Return the choice by reports."""
    choice = PromotionChoice(clock, tables, Watch(), reports)
    found = found or GroupRecord('g', 'a', 3)
    record = found._replace(changing=True, planned=planned, holder='p1')
    outcomes = []
    with virtual_time(clock.seconds):
        defer.ensureDeferred(
            choice.choose_replica(
                record,
                found,
                lambda: acknowledged,
                planned=planned,
            )
        ).addBoth(outcomes.append)
        while not outcomes and clock.seconds() < NOW + 3 * REPORTS_TIMEOUT_S:
            clock.advance(STEP_S)
    return outcomes[0]


@pytest.mark.parametrize(
    ('received', 'leaving', 'chosen'),
    [
        ({'b': 9, 'c': 5}, 'b', 'b'),
        ({'b': 9, 'c': 9}, 'b', 'c'),
        ({'b': 5, 'c': 9}, 'b', 'c'),
        ({'b': 9, 'c': 5}, 'bc', 'b'),
        ({'c': 5}, 'b', None),
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
    ('answers_after_s', 'chosen'), [(0.8, 'b'), (math.inf, None)]
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


@pytest.mark.parametrize(
    ('received', 'acknowledged', 'chosen'),
    [
        ({'c': 5}, UNKNOWN, None),
        ({'c': 5}, known(9), None),
        ({'c': 9}, known(9), 'c'),
        ({'c': 9}, FleetAcknowledged(LogPosition(3, 9), None), None),
        ({'b': 8, 'c': 5}, UNKNOWN, 'b'),
        ({'b': 8, 'c': 5}, known(9), None),
        ({'b': 8, 'c': 5}, FleetAcknowledged(LogPosition(3, 9), None), None),
    ],
)
@pytest.mark.parametrize('planned', [False, True])
def test_a_silent_replica_may_have_the_last_acknowledged_commits(
    received, acknowledged, chosen, planned
):
    # Guards against the loss of acknowledged commits that only a replica has
    # that gives no report, as it is down for a while (review/6).
    assert (
        choose(received, '', planned=planned, acknowledged=acknowledged)
        == chosen
    )


def test_the_choice_names_the_servers_whose_reports_are_missing():
    choice = choice_by(new_clock(), new_tables(), Reports({'c': 5}))
    assert choice.awaited == ('b',)


def ended_server(tables, *, bound=None):
    """Let server b end, and the primary answer with a position then."""
    server = tables.servers.pop('b')
    writes = tables.groups['g'].acknowledged
    note_server_ended(writes, ServerStart('b', server.born_ms), NOW)
    if bound is not None:
        note_primary_position(writes, LogPosition(3, bound), NOW + 0.1)


@pytest.mark.parametrize(
    ('bound', 'chosen'), [(None, None), (6, None), (5, 'c')]
)
def test_a_server_that_is_gone_may_have_the_last_acknowledged_commits(
    bound, chosen
):
    # Guards against the same loss where the entry of the replica has lapsed,
    # or where it was replaced by one under another name.
    tables = new_tables()
    ended_server(tables, bound=bound)
    assert choose_by(new_clock(), tables, Reports({'c': 5})) == chosen


@pytest.mark.parametrize(
    ('born_ms', 'chosen', 'awaited'), [(0, 'c', ()), (7, None, ('b',))]
)
def test_a_server_that_a_proxy_has_never_seen_counts_as_recorded(
    born_ms, chosen, awaited
):
    # Guards against the same loss by a proxy that started when the entry of
    # the replica was gone, or when the replica had started again.
    found = GroupRecord('g', 'a', 3, servers={'a': 0, 'b': born_ms, 'c': 0})
    choice = choice_by(
        new_clock(), new_tables(), Reports({'b': 2, 'c': 5}), found=found
    )
    assert (choice.server and choice.server.name) == chosen
    assert choice.awaited == awaited


def test_a_server_that_has_forgotten_its_log_gives_no_report():
    # Guards against the same loss where the replica has started again under
    # its name, and its entry does not tell so yet.
    tables = new_tables()
    server_load(tables, 'b').received = LogPosition(3, 9)
    reports = Reports({'b': 0, 'c': 5})
    assert choose_by(new_clock(), tables, reports) is None


def test_a_group_goes_on_with_a_primary_that_answers_again():
    # A promotion that lacks a report ends as soon as the primary answers,
    # which has all commits.
    clock = new_clock()
    choice = choice_by(clock, new_tables(), Reports({'a': 9, 'c': 5}))
    assert choice == Choice(None)
    assert clock.seconds() < NOW + REPORTS_TIMEOUT_S


@pytest.mark.parametrize(('born_ms', 'chosen'), [(0, 'a'), (7, None)])
def test_a_former_primary_with_its_log_takes_over_again(born_ms, chosen):
    # Guards against the loss of acknowledged commits that only a primary has
    # that has stepped down for a replica that does not answer any more.
    tables = new_tables()
    found = GroupRecord('g', 'a', 3, servers={'a': born_ms, 'b': 0, 'c': 0})
    reports = Reports({'a': 9, 'c': 5}, leader='')
    assert choose_by(new_clock(), tables, reports, found=found) == chosen


@pytest.mark.parametrize(
    ('received', 'chosen'),
    [({'b': 5, 'c': 4}, 'b'), ({'c': 4}, None), ({'a': 9, 'c': 4}, 'a')],
)
def test_in_a_restored_store_any_server_may_have_led(received, chosen):
    # Guards against the loss of acknowledged commits because the record of a
    # restored store names a former primary. One server, the one that led, may
    # be missing.
    found = GroupRecord('g', 'a', 3, changing=True)
    reports = Reports(received, leader='')
    assert choose_by(new_clock(), new_tables(), reports, found=found) == chosen


@pytest.mark.parametrize('declared', [0, 1, 2, 9])
def test_the_declared_number_of_synchronous_replicas_weakens_no_proof(declared):
    # It may have been lower when a write was acknowledged.
    tables = new_tables()
    groups = tables.configuration.groups
    groups['g'] = groups['g']._replace(synchronous_replicas=declared)
    assert choose_by(new_clock(), tables, Reports({'c': 9})) is None
    assert choose_by(new_clock(), tables, Reports({'b': 9, 'c': 5})) == 'b'


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
