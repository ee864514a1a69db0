"""Loans of connections where there are workspaces."""

import itertools
import random

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.caller_sessions import CallerSession, ConnectionState
from toucandeal.departures import Departure
from toucandeal.fleet import (
    FleetConfiguration,
    InteractiveGroup,
    ProxyRecord,
    Route,
    RouteKind,
    Server,
    Statement,
    Verb,
)
from toucandeal.fleet_tables import FleetTables, PeerView, server_load
from toucandeal.lending import domain_lenders
from toucandeal.protocol_versions import OWN_PROTOCOL
from toucandeal.statement_queue import ConnectionRequest
from toucandeal.workspaces import Workspace
from toucandeald.borrowing import (
    LENDER_SILENT_S,
    OPEN_DIRECTLY,
    BorrowedConnection,
    Borrowing,
)
from toucandeald.lending import Lending
from toucandeald.lending_wire import BorrowedAnswer, LoanReply
from toucandeald.server_pools import ServerPools
from toucandeald.session_messages import (
    AnswerKind,
    Forward,
    ReportStatus,
    RollBack,
    ServerAnswer,
)
from toucandeald.steady_clock import virtual_time

SERVER = Server('i-1', 'g', '10.0.0.1:80', 'z1', 2, False, True)
DONE = ServerAnswer(AnswerKind.COMPLETED, ['x'], 'signed', '')
NAMES = ('p1', 'p2', 'p3', 'p4', 'p5', 'p6')
DOMAINS = {name: f'z{number % 2}' for number, name in enumerate(NAMES)}
LIMIT = 70
DELAY_S = 0.001
WORKSPACES = ('a', 'b', 'c', 'd', 'e')
MOST_OPENINGS = 0.2  # for each request


class StubConnection:
    """A server connection that answers at once."""

    borrowed = False

    def __init__(self, workspace):
        self.workspace = workspace
        self.connection_state = ConnectionState()
        self.usable = True
        self.in_transaction = False

    def call(self, request, timeout_s):
        """Answer a request."""
        del request, timeout_s
        return defer.succeed(DONE)

    def close(self):
        """Make the connection unusable."""
        self.usable = False


class ModelProxy:
    """A proxy's pools, loans and tables."""

    def __init__(self, fleet, name, incarnation=1):
        self.fleet = fleet
        self.record = ProxyRecord(
            name, incarnation, name, failure_domain=DOMAINS[name]
        )
        self.tables = FleetTables(name, DOMAINS[name])
        self.tables.servers['i-1'] = SERVER
        self.tables.configuration = FleetConfiguration(
            1,
            {},
            {'g': InteractiveGroup('g', LIMIT)},
            1.0,
            {workspace: Workspace(workspace) for workspace in WORKSPACES},
        )
        self.tables.primary_lease.registered = {
            each: ProxyRecord(each, 1, each, failure_domain=DOMAINS[each])
            for each in NAMES
        }
        self.borrowing = Borrowing(fleet.clock, self.tables, self.record)
        self.borrowing.send = self.send
        self.pools = ServerPools(
            fleet.clock, self.tables, self.open, self.borrowing
        )
        self.lending = Lending(self.tables, self.pools, self, self.record)

    @property
    def demands(self):
        """Return the demand for connections by server."""
        return {name: load.demand for name, load in self.tables.loads.items()}

    async def open(self, server, workspace, timeout_s):
        """Open a connection of a workspace."""
        del server, timeout_s
        self.fleet.opened.append((self.tables.name, workspace))
        return StubConnection(workspace)

    def send(self, address, message):
        """Deliver a message to a proxy that runs, after a delay."""
        self.fleet.clock.callLater(DELAY_S, self._deliver, address, message)

    def _deliver(self, address, message):
        other = self.fleet.proxies.get(address)
        if other is None or self.tables.name not in self.fleet.proxies:
            return
        if isinstance(message, LoanReply | BorrowedAnswer):
            other.borrowing.received(message)
        else:
            other.lending.received(message)

    def acquire(self, workspace):
        """Return a connection of a workspace, or None."""
        results = []
        ends_at = self.fleet.clock.seconds() + 1
        session = CallerSession(1, 'db', workspace=workspace)
        request = ConnectionRequest(1, 'db', ends_at, ends_at, workspace)
        acquiring = defer.ensureDeferred(
            self.pools.acquire(SERVER, session, [], request)
        )
        acquiring.addCallback(results.append)
        self.fleet.deliver_messages()
        return results[0]


class ModelFleet:
    """Proxies in two failure domains."""

    def __init__(self, clock):
        self.clock = clock
        self.opened = []
        self.proxies = {}
        for name in NAMES:
            self.proxies[name] = ModelProxy(self, name)
        self.exchange_heartbeats()
        for proxy in self.proxies.values():
            proxy.pools.update_pools()

    def deliver_messages(self):
        """Let the messages of a loan arrive."""
        self.clock.pump(itertools.repeat(DELAY_S, 5))

    def exchange_heartbeats(self):
        """Record a heartbeat of each running proxy at the others now."""
        now = self.clock.seconds()
        for proxy in self.proxies.values():
            for name, other in self.proxies.items():
                if other is not proxy:
                    proxy.tables.peers[name] = PeerView(
                        name,
                        other.record.incarnation,
                        name,
                        now,
                        False,
                        True,
                        {},
                        demands=other.demands,
                        failure_domain=DOMAINS[name],
                    )

    def advance(self, seconds):
        """Let time pass, with heartbeats."""
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            self.exchange_heartbeats()
            for proxy in self.proxies.values():
                proxy.borrowing.tick(self.clock.seconds())
                proxy.lending.tick(self.clock.seconds())


@pytest.fixture
def fleet():
    """Return a fleet in virtual time."""
    clock = Clock()
    with virtual_time(clock.seconds):
        yield ModelFleet(clock)


def _lenders():
    return domain_lenders('i-1', DOMAINS, LIMIT)


def _borrower(fleet):
    return next(
        proxy for name, proxy in fleet.proxies.items() if name not in _lenders()
    )


def test_loans_are_of_the_workspace_that_asked(fleet):
    # Guards against a lender that grants a connection of another workspace.
    borrower = _borrower(fleet)
    for workspace in WORKSPACES:
        connection = borrower.acquire(workspace)
        assert isinstance(connection, BorrowedConnection)
        lender = connection.lender
        assert (lender, workspace) in fleet.opened
        assert DOMAINS[lender] == borrower.tables.failure_domain
    assert sorted(workspace for _, workspace in fleet.opened) == list(
        WORKSPACES
    )


def test_a_returned_connection_is_lent_to_its_workspace_only(fleet):
    # Guards against a lender's idle connection that serves any borrower.
    borrower = _borrower(fleet)
    first = borrower.acquire('a')
    borrower.pools.release(SERVER, first)
    borrower.pools.release(SERVER, borrower.acquire('a'))
    assert [workspace for _, workspace in fleet.opened] == ['a']
    borrower.pools.release(SERVER, borrower.acquire('b'))
    assert [workspace for _, workspace in fleet.opened] == ['a', 'b']


def test_a_lender_opens_connections_directly(fleet):
    # Guards against lenders that borrow from each other.
    lender = fleet.proxies[_lenders()[0]]
    assert lender.borrowing.source(SERVER, 'a') == OPEN_DIRECTLY
    assert lender.acquire('a').workspace == 'a'


def test_only_one_lender_of_a_domain_opens_connections(fleet):
    # Guards against a domain's connections to a server that are split between
    # its lenders, and against room that the unused one keeps by its demand.
    lender_names = _lenders()
    for proxy in fleet.proxies.values():
        for workspace in WORKSPACES:
            proxy.pools.release(SERVER, proxy.acquire(workspace))
            fleet.deliver_messages()
    openers = {name for name, _ in fleet.opened}
    assert openers == set(lender_names[:2])
    assert len(fleet.opened) == 2 * len(WORKSPACES)
    for proxy in fleet.proxies.values():
        proxy.pools.update_pools()
    fleet.exchange_heartbeats()
    limits = {}
    for name in lender_names:
        pools = fleet.proxies[name].pools
        pools.update_pools()
        limits[name] = pools.pool(SERVER).limit
        demand = server_load(fleet.proxies[name].tables, 'i-1').demand
        assert (demand > 0) == (name in openers)
    assert sum(limits[name] for name in openers) <= LIMIT / 2
    assert min(limits[name] for name in openers) >= LIMIT / 6


def test_the_second_lender_of_a_domain_takes_over_from_a_draining_one(fleet):
    # Guards against a lender that goes on borrowing from one that leaves.
    first, second = (
        name for name in _lenders() if DOMAINS[name] == DOMAINS[NAMES[0]]
    )
    standby = fleet.proxies[second]
    assert standby.borrowing.source(SERVER, 'a') == first
    peers = standby.tables.peers
    peers[first] = peers[first]._replace(draining=True)
    assert standby.borrowing.source(SERVER, 'a') == OPEN_DIRECTLY
    peers[first] = peers[first]._replace(draining=False)
    fleet.clock.advance(LENDER_SILENT_S + 0.1)
    assert standby.borrowing.source(SERVER, 'a') == OPEN_DIRECTLY


def test_a_dead_lender_is_replaced_by_the_other_one_of_the_domain(fleet):
    # Guards against a workspace that waits for its dead lender.
    borrower = _borrower(fleet)
    lost = borrower.acquire('a')
    answers = []
    del fleet.proxies[lost.lender]
    lost.call(RollBack(), 5.0).addCallback(answers.append)
    fleet.advance(LENDER_SILENT_S + 0.1)
    assert answers[0].kind is AnswerKind.LOST and not lost.usable
    next_connection = borrower.acquire('a')
    assert next_connection.lender != lost.lender
    near = DOMAINS[next_connection.lender]
    assert near == borrower.tables.failure_domain


def test_lenders_of_another_domain_lend_if_none_of_the_own_is_live(fleet):
    # Guards against a domain without service after the loss of both lenders.
    borrower = _borrower(fleet)
    own_domain = borrower.tables.failure_domain
    for lender in _lenders():
        if DOMAINS[lender] == own_domain:
            del fleet.proxies[lender]
    fleet.advance(LENDER_SILENT_S + 0.1)
    assert DOMAINS[borrower.acquire('a').lender] != own_domain


def test_a_restarted_lender_ends_the_request_and_lends_again(fleet):
    # Guards against a loan of the earlier incarnation that is answered, or
    # that stays in use at the borrower.
    borrower = _borrower(fleet)
    old = borrower.acquire('a')
    fleet.proxies[old.lender] = ModelProxy(fleet, old.lender, incarnation=2)
    fleet.exchange_heartbeats()
    answers = []
    old.call(RollBack(), 0.3).addCallback(answers.append)
    fleet.advance(0.5)
    assert answers[0].kind is AnswerKind.LOST and not old.usable
    assert borrower.acquire('a').usable


def test_a_report_uses_a_connection_of_any_workspace(fleet):
    # Guards against a report that opens a connection, or fails, although the
    # lender holds idle ones.
    borrower = _borrower(fleet)
    connection = borrower.acquire('a')
    lender = fleet.proxies[connection.lender]
    borrower.pools.release(SERVER, connection)
    fleet.deliver_messages()
    answers = []
    querying = defer.ensureDeferred(
        lender.pools.query(SERVER, ReportStatus(), 0.3)
    )
    querying.addCallback(answers.append)
    assert answers == [DONE] and len(fleet.opened) == 1


def _register(fleet, protocols):
    """Register the proxies with the versions that they know, by name."""
    registered = {
        name: ProxyRecord(
            name, 1, name, failure_domain=DOMAINS[name], protocol=protocol
        )
        for name, protocol in protocols.items()
    }
    for proxy in fleet.proxies.values():
        proxy.tables.primary_lease.registered = registered
        proxy.pools.update_pools()


def _openings_per_request(fleet, requests=1500):
    """Return the openings for requests of seventy workspaces (Zipf 1.2)."""
    generator = random.Random(7)
    names = [f'w{rank}' for rank in range(73)]
    weights = [1 / (rank + 1) ** 1.2 for rank in range(73)]
    for number in range(requests):
        proxy = generator.choice(list(fleet.proxies.values()))
        workspace = generator.choices(names, weights)[0]
        connection = proxy.acquire(workspace)
        fleet.clock.advance(0.01)
        proxy.pools.release(SERVER, connection)
        fleet.deliver_messages()
        if number % 10 == 0:
            fleet.exchange_heartbeats()
            for other in fleet.proxies.values():
                other.pools.update_pools()
    return len(fleet.opened) / requests


def test_seventy_workspaces_seldom_open_a_connection(fleet):
    # Guards against connections of a workspace that are spread over lenders
    # and closed for others before they are used again: more than half of the
    # requests of a day with 73 workspaces opened one, each 12 ms of a slot.
    _register(fleet, dict.fromkeys(NAMES, OWN_PROTOCOL))
    assert _openings_per_request(fleet) <= MOST_OPENINGS
    assert len({name for name, _ in fleet.opened}) == 1


def test_the_only_lender_is_in_the_domain_of_the_server(fleet):
    # Guards against statements that cross to the lender's domain and back.
    _register(fleet, dict.fromkeys(NAMES, OWN_PROTOCOL))
    sources = {
        proxy.borrowing.source(SERVER, workspace)
        for proxy in fleet.proxies.values()
        for workspace in WORKSPACES
    }
    lender_names = sources - {OPEN_DIRECTLY}
    assert len(lender_names) == 1
    assert {DOMAINS[name] for name in lender_names} == {SERVER.failure_domain}


@pytest.mark.parametrize('old', NAMES)
def test_a_fleet_with_an_earlier_build_keeps_a_lender_in_each_domain(
    fleet, old
):
    # Guards against two builds that choose different lenders, which together
    # would open more connections than half of what the server accepts.
    _register(fleet, dict.fromkeys(NAMES, OWN_PROTOCOL) | {old: 0})
    for proxy in fleet.proxies.values():
        assert not proxy.borrowing.has_single_lenders
    assert {
        DOMAINS[proxy.tables.name]
        for proxy in fleet.proxies.values()
        if proxy.borrowing.source(SERVER, 'a') == OPEN_DIRECTLY
    } == set(DOMAINS.values())


def test_another_lender_replaces_a_dead_single_one(fleet):
    # Guards against a server that is not used while its lender is gone.
    _register(fleet, dict.fromkeys(NAMES, OWN_PROTOCOL))
    borrower = next(
        proxy
        for proxy in fleet.proxies.values()
        if proxy.borrowing.source(SERVER, 'a') != OPEN_DIRECTLY
    )
    lender = borrower.borrowing.source(SERVER, 'a')
    del fleet.proxies[lender]
    fleet.advance(LENDER_SILENT_S + 0.1)
    source = borrower.borrowing.source(SERVER, 'a')
    assert source != lender
    assert source == OPEN_DIRECTLY or source in fleet.proxies
    assert borrower.acquire('a').usable


@pytest.mark.parametrize(
    ('public', 'removed', 'lent'),
    [(False, False, False), (True, False, True), (False, True, False)],
)
def test_a_loan_without_workspace_is_for_public_routes(
    fleet, public, removed, lent
):
    # Guards against a borrower of an earlier build, which serves callers
    # without a valid key once the last workspace is removed.
    route = Route('db', 'g', RouteKind.PRIMARY, 1.0, 1.0, is_public=public)
    for proxy in fleet.proxies.values():
        proxy.tables.configuration = proxy.tables.configuration._replace(
            routes={'db': route},
            **({'workspaces': {}} if removed else {}),
        )
    connection = _borrower(fleet).acquire('')
    assert isinstance(connection, BorrowedConnection) == lent
    assert (connection is not None) == lent


@pytest.mark.parametrize('in_transaction', [False, True])
def test_a_lender_that_knows_of_a_departure_starts_nothing_after_it(
    fleet, in_transaction
):
    # Guards against a borrower that has not heard that the server is leaving.
    borrower = _borrower(fleet)
    connection = borrower.acquire('a')
    lender = fleet.proxies[connection.lender]
    lender.tables.drain_s = 7.0
    now = fleet.clock.seconds()
    lender.tables.departures['i-1'] = Departure(now - 7, now - 7)
    lent = next(iter(lender.pools.pool(SERVER).connections))
    lent.in_transaction = in_transaction
    statement = Statement(Verb.READ, 'READ a')
    answers = []
    connection.call(Forward('id', statement, None), 1.0).addCallback(
        answers.append
    )
    fleet.deliver_messages()
    expected = AnswerKind.COMPLETED if in_transaction else AnswerKind.WITHHELD
    assert [answer.kind for answer in answers] == [expected]
