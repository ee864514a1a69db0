"""Loans of connections, with messages that are lost or late."""

import itertools

import msgspec
import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.caller_sessions import (
    ConnectionState,
    PreparedShape,
    PrepareShape,
    SetValue,
)
from toucandeal.connection_workspaces import ANY_WORKSPACE
from toucandeal.fleet import (
    FleetConfiguration,
    InteractiveGroup,
    ProxyRecord,
    Server,
)
from toucandeal.fleet_tables import FleetTables, PeerView, server_load
from toucandeal.lending import lenders
from toucandeal.statement_queue import ConnectionRequest
from toucandeald.borrowing import (
    LENDER_BUSY,
    LENDER_SILENT_S,
    NO_LENDER,
    NO_LENDER_TIMEOUT_S,
    OPEN_DIRECTLY,
    Borrowing,
)
from toucandeald.connection_pool import ConnectionPool
from toucandeald.lending import BORROWER_SILENT_S, Lending
from toucandeald.lending_wire import BorrowedAnswer, LoanReply
from toucandeald.server_pools import ServerPools
from toucandeald.session_messages import (
    AnswerKind,
    BeginTransaction,
    ReportStatus,
    RollBack,
    ServerAnswer,
)
from toucandeald.steady_clock import pause, virtual_time

SERVER = Server('i-1', 'g', '10.0.0.1:80', 'z1', 2, False, True)
DONE = ServerAnswer(AnswerKind.COMPLETED, ['x'], 'signed', '')
WAIT_S = 0.5


class StubConnection:
    """A server connection whose answers the test delivers."""

    borrowed = False

    def __init__(self):
        self.connection_state = ConnectionState()
        self.usable = True
        self.in_transaction = False
        self.requests = []
        self.pending = []

    def call(self, request, timeout_s):
        """Record a request."""
        del timeout_s
        self.requests.append(request)
        self.pending.append(defer.Deferred())
        return self.pending[-1]

    def close(self):
        """Make the connection unusable."""
        self.usable = False


class LenderAndBorrower:
    """A lender with one connection, and a borrower."""

    def __init__(self):
        self.clock = Clock()
        self.lossy = False
        self.outcome = None  # of attempts to open, instead of a connection
        self.connections = []
        self.tables = {name: self._tables(name) for name in ('a', 'b')}
        self.records = {
            name: ProxyRecord(name, 1, f'{name}:1') for name in ('a', 'b')
        }
        self.exchange_heartbeats()
        lender = self.tables['a']
        own = Borrowing(self.clock, lender, self.records['a'])
        self.pools = ServerPools(self.clock, lender, self._open, own)
        self.lending = Lending(lender, self.pools, self, self.records['a'])
        self.borrowing = Borrowing(
            self.clock, self.tables['b'], self.records['b']
        )
        self.borrowing.send = self.send
        self.pools.pool(SERVER).open_spare(1)

    def _tables(self, name):
        tables = FleetTables(name, 'z1')
        tables.servers['i-1'] = SERVER
        tables.configuration = FleetConfiguration(
            1, {}, {'g': InteractiveGroup('g', 4)}, 1.0
        )
        return tables

    async def _open(self, server, workspace, timeout_s):
        del server, workspace, timeout_s
        if self.outcome is not None:
            return self.outcome
        self.connections.append(StubConnection())
        return self.connections[-1]

    def exchange_heartbeats(self):
        """Record a heartbeat of each proxy at the other now."""
        now = self.clock.seconds()
        for own, other in (('a', 'b'), ('b', 'a')):
            self.tables[own].peers[other] = PeerView(
                other, 1, f'{other}:1', now, False, True, {}
            )

    def send(self, address, message):
        """Deliver a message unless messages are lost."""
        del address
        if self.lossy:
            return
        if isinstance(message, LoanReply | BorrowedAnswer):
            self.borrowing.received(message)
        else:
            self.lending.received(message)

    def borrow_connection(self):
        """Return a connection that is granted at once."""
        return self.start_loan()[0]

    def statement(self, priority=1, workspace=''):
        """Return the request of a statement that comes now."""
        ends_at = self.clock.seconds() + WAIT_S
        return ConnectionRequest(
            priority, f'db{priority}', ends_at, ends_at, workspace
        )

    async def delayed_loan(self, request):
        """Borrow a connection for a request after a millisecond."""
        delay = defer.Deferred()
        self.clock.callLater(0.001, delay.callback, None)
        await delay
        return await self.borrowing.borrow('a', SERVER, request)

    def start_loan(self, priority=1, workspace=''):
        """Return a list that receives the outcome of a loan request."""
        results = []
        borrowing = defer.ensureDeferred(
            self.borrowing.borrow(
                'a', SERVER, self.statement(priority, workspace)
            )
        )
        borrowing.addCallback(results.append)
        return results


@pytest.fixture
def pair():
    """Return a lender and a borrower."""
    created = LenderAndBorrower()
    with virtual_time(created.clock.seconds):
        yield created


def test_request_and_answer_pass_through_the_lender(pair):
    connection = pair.borrow_connection()
    results = []
    connection.call(BeginTransaction(read_only=True), 1.0).addCallback(
        results.append
    )
    assert pair.connections[0].requests == [BeginTransaction(read_only=True)]
    pair.connections[0].pending[0].callback(DONE)
    assert results == [DONE] and connection.usable


def test_a_lender_about_to_stop_lets_borrowers_only_roll_back(pair):
    # Guards against statements of borrowers that a stop cut off at a server.
    connection = pair.borrow_connection()
    results = []
    pair.lending.accepts_work = False
    connection.call(BeginTransaction(read_only=True), 1.0).addCallback(
        results.append
    )
    assert results[0].kind is AnswerKind.WITHHELD and connection.usable
    assert not results[0].in_transaction
    assert not pair.connections[0].requests
    pair.connections[0].in_transaction = True
    connection.call(BeginTransaction(read_only=True), 1.0).addCallback(
        results.append
    )
    assert results.pop().in_transaction
    connection.call(RollBack(), 1.0).addCallback(results.append)
    pair.connections[0].pending[0].callback(DONE)
    assert results[1] == DONE
    connection.return_to_lender()
    assert pair.start_loan()[0].kind is AnswerKind.NO_CONNECTION


def test_a_loan_for_own_requests_carries_no_statement_of_a_caller(pair):
    # Guards against a borrower of an earlier build that sends a statement over
    # a connection of another workspace (review/7).
    connection = pair.start_loan(workspace=ANY_WORKSPACE)[0]
    requests = pair.connections[0].requests
    results = []
    connection.call(BeginTransaction(read_only=True), 1.0).addCallback(
        results.append
    )
    assert results[0].kind is AnswerKind.WITHHELD and connection.usable
    assert not requests
    connection.call(ReportStatus(), 1.0)
    assert requests == [ReportStatus()]


def test_returned_connection_is_lent_again(pair):
    connection = pair.borrow_connection()
    connection.return_to_lender()
    assert pair.lending.count == 0
    assert pair.start_loan()[0].usable and len(pair.connections) == 1


def test_connection_state_set_by_a_borrower_is_kept(pair):
    connection = pair.borrow_connection()
    steps = [SetValue('lang', 'es'), PrepareShape(PreparedShape('q', False))]
    for step in steps:
        connection.call(step, 1.0)
        pair.connections[0].pending[-1].callback(DONE)
    connection.return_to_lender()
    second = pair.start_loan()[0]
    assert second.connection_state.values == {'lang': 'es'}
    assert second.connection_state.shapes == {PreparedShape('q', False)}


def as_earlier_lender(pair, monkeypatch):
    """Let the lender reply as one of a build without `takes_any_shape`."""
    received = pair.borrowing.received

    def receive(message):
        if isinstance(message, LoanReply):
            message = msgspec.structs.replace(message, takes_any_shape=False)
        received(message)

    monkeypatch.setattr(pair.borrowing, 'received', receive)


def test_an_earlier_lender_prepares_no_shape_that_it_would_mix_up(
    pair, monkeypatch
):
    # Guards against shapes that run as others while two builds run.
    as_earlier_lender(pair, monkeypatch)
    connection = pair.borrow_connection()
    results = []
    connection.call(
        PrepareShape(PreparedShape('q WRITE a', False)), 1.0
    ).addCallback(results.append)
    assert results[0].kind is AnswerKind.WITHHELD and connection.usable
    assert not pair.connections[0].requests
    connection.call(PrepareShape(PreparedShape('q', False)), 1.0)
    assert len(pair.connections[0].requests) == 1


def test_shapes_of_an_earlier_lender_are_prepared_again(pair, monkeypatch):
    # Guards against a name that stands for another shape at the lender.
    pair.connections[0].connection_state.add_shapes([PreparedShape('q', False)])
    as_earlier_lender(pair, monkeypatch)
    assert not pair.borrow_connection().connection_state.shapes


def test_lost_answer_ends_the_loan_and_the_connection(pair):
    connection = pair.borrow_connection()
    results = []
    pair.lossy = True
    connection.call(RollBack(), 1.0).addCallback(results.append)
    pair.clock.advance(1.2)
    assert results[0].kind is AnswerKind.LOST and not connection.usable
    pair.lossy = False
    pair.clock.advance(BORROWER_SILENT_S - 1.2)
    pair.lending.tick(pair.clock.seconds())
    assert pair.lending.count == 0 and not pair.connections[0].usable


def test_late_answer_is_not_matched_to_another_request(pair):
    connection = pair.borrow_connection()
    results = []
    connection.call(RollBack(), 0.1).addCallback(results.append)
    pair.clock.advance(0.3)
    assert results[0].kind is AnswerKind.LOST
    second = pair.borrow_connection()
    pair.connections[0].pending[0].callback(DONE)
    assert len(results) == 1 and second.usable and len(pair.connections) == 2


def test_loan_request_without_a_grant_is_refused_in_time(pair):
    pair.start_loan()
    pair.pools.pool(SERVER).limit = 1
    refused = pair.start_loan()
    pair.clock.advance(WAIT_S + 0.1)
    assert refused[0].kind is AnswerKind.NO_CONNECTION
    pair.lossy = True
    refused = pair.start_loan()
    pair.clock.advance(WAIT_S + 0.1)
    assert refused[0].kind is AnswerKind.NO_CONNECTION


def test_grant_that_comes_too_late_is_revoked(pair):
    first = pair.borrow_connection()
    pair.pools.pool(SERVER).limit = 1
    refused = pair.start_loan()
    pair.clock.advance(WAIT_S + 0.1)
    first.return_to_lender()
    assert refused[0].kind is AnswerKind.NO_CONNECTION
    assert pair.lending.count == 0 and pair.start_loan()[0].usable


def test_loans_of_a_silent_borrower_end(pair):
    pair.start_loan()
    pair.clock.advance(BORROWER_SILENT_S + 0.1)
    pair.lending.tick(pair.clock.seconds())
    assert pair.lending.count == 0 and not pair.connections[0].usable


def test_loans_of_a_restarted_borrower_end(pair):
    pair.start_loan()
    peers = pair.tables['a'].peers
    peers['b'] = peers['b']._replace(incarnation=2)
    pair.lending.tick(pair.clock.seconds())
    assert pair.lending.count == 0


@pytest.mark.parametrize('incarnations', [(), (2,)])
def test_a_loan_that_precedes_the_first_heartbeat_goes_on(pair, incarnations):
    # Guards against a lender that ends the loan of a proxy which has started
    # just now: its statement waits in vain until it is late.
    peers = pair.tables['a'].peers
    earlier = peers.pop('b')
    for incarnation in incarnations:  # of a process before
        peers['b'] = earlier._replace(incarnation=incarnation)
    pair.clock.advance(0.1)
    connection = pair.borrow_connection()
    pair.lending.tick(pair.clock.seconds())
    results = []
    connection.call(RollBack(), 1.0).addCallback(results.append)
    pair.connections[0].pending[0].callback(DONE)
    assert results == [DONE]
    pair.clock.advance(BORROWER_SILENT_S)
    pair.lending.tick(pair.clock.seconds())
    assert pair.lending.count == 0


def test_silent_lender_ends_outstanding_requests(pair):
    connection = pair.borrow_connection()
    results = []
    connection.call(RollBack(), 5.0).addCallback(results.append)
    pair.clock.advance(LENDER_SILENT_S + 0.1)
    pair.borrowing.tick(pair.clock.seconds())
    assert results[0].kind is AnswerKind.LOST


def test_closed_server_connection_ends_the_loan(pair):
    connection = pair.borrow_connection()
    results = []
    connection.call(RollBack(), 1.0).addCallback(results.append)
    lost = ServerAnswer(AnswerKind.LOST, [], '', 'closed')
    pair.connections[0].pending[0].callback(lost)
    assert results == [lost] and not connection.usable
    connection.close()
    assert pair.lending.count == 0


def _source(pair, counted):
    primary_lease = pair.tables['b'].primary_lease
    primary_lease.registered = {
        name: ProxyRecord(name, 1, f'{name}:1') for name in counted
    }
    return pair.borrowing.source(SERVER)


def test_only_proxies_that_are_not_lenders_borrow(pair):
    # A limit of four connections allows for one lender.
    assert _source(pair, ['b']) == OPEN_DIRECTLY
    sources = {_source(pair, ['a', 'b']), _source(pair, ['a', 'b', 'c'])}
    assert sources <= {'a', OPEN_DIRECTLY, NO_LENDER}


def test_proxy_without_lenders_waits_before_it_opens_connections(pair):
    pair.tables['b'].peers.clear()
    names = next(
        names
        for names in (['a', 'b'], ['b', 'x1'], ['b', 'x2'], ['b', 'x3'])
        if _source(pair, names) == NO_LENDER
    )
    pair.clock.advance(NO_LENDER_TIMEOUT_S + 0.1)
    assert _source(pair, names) == OPEN_DIRECTLY


def test_an_urgent_loan_precedes_loans_that_wait(pair):
    # Guards against a lender that serves borrowers' statements of priority 0
    # after others because it takes all loans for ordinary ones.
    first = pair.borrow_connection()
    pair.pools.pool(SERVER).limit = 1
    ordinary = [pair.start_loan(priority=2) for _ in range(3)]
    urgent = pair.start_loan(priority=0)
    first.return_to_lender()
    assert urgent and urgent[0].usable
    assert not any(ordinary)


def test_a_loan_that_would_come_too_late_is_refused_at_once(pair):
    # Guards against a borrower that learns of the lender's backlog only when
    # the statement is useless; the statements that wait already stay.
    pair.start_loan()
    pair.pools.pool(SERVER).limit = 1
    waiting = [pair.start_loan(priority=2) for _ in range(40)]
    refused = [loan for loan in waiting if loan]
    assert refused and all(loan == [LENDER_BUSY] for loan in refused)
    # 30 ms are assumed for each use, so 16 fit into half a second.
    assert len(waiting) - len(refused) == 16
    assert not pair.start_loan(priority=1)


def _replace_lender(pair, *, heard):
    """Let another proxy become the only lender while 'a' has spares."""
    for _ in range(2):
        pair.pools.update_pools()
    limit = pair.tables['a'].configuration.groups['g'].connection_limit
    lender = next(
        name
        for name in map('x{}'.format, itertools.count())
        if lenders(SERVER.name, ('a', name), limit) == [name]
    )
    tables = pair.tables['a']
    tables.primary_lease.registered = {
        name: ProxyRecord(name, 1, f'{name}:1') for name in ('a', lender)
    }
    if heard:
        tables.peers[lender] = PeerView(
            lender, 1, f'{lender}:1', pair.clock.seconds(), False, True, {}
        )
    pair.pools.update_pools()


def test_a_former_lender_closes_its_idle_connections(pair):
    # Guards against a lender that can open no connection for seconds, because
    # those that were lenders before it keep unused ones: the first proxies of a
    # fleet that starts count only themselves.
    _replace_lender(pair, heard=True)
    assert len(pair.connections) == 2
    assert not any(each.usable for each in pair.connections)


def test_a_former_lender_keeps_its_connections_until_the_next_is_heard(pair):
    # Guards against a proxy without any connection while it can't borrow.
    _replace_lender(pair, heard=False)
    pool = pair.pools.pool(SERVER)
    for _ in pair.connections:
        connection = _acquire(pool, pair.statement())[0]
        pool.release(connection)
    pair.pools.update_pools()
    assert len(pair.connections) == 2
    assert all(each.usable for each in pair.connections)


def _acquire(pool, connection_request):
    results = []
    acquiring = defer.ensureDeferred(pool.acquire({}, [], connection_request))
    acquiring.addCallback(results.append)
    return results


FULL = ServerAnswer(AnswerKind.TOO_MANY_CONNECTIONS, [], '', 'full')


def _let_all_open_directly(pair):
    for tables in pair.tables.values():
        tables.configuration = tables.configuration._replace(
            groups={'g': InteractiveGroup('g', 16)}
        )
        tables.primary_lease.registered = pair.records


def _pools_at_full_server(pair):
    async def refuse(server, workspace, timeout_s):
        del server, workspace, timeout_s
        await pause(pair.clock, 0)
        return FULL

    return ServerPools(pair.clock, pair.tables['b'], refuse, pair.borrowing)


def test_a_proxy_borrows_while_the_server_accepts_no_more(pair):
    # Guards against proxies that restart last after a loss of all of them and
    # serve nobody until the server has noticed its dead connections.
    _let_all_open_directly(pair)
    pool = _pools_at_full_server(pair).pool(SERVER)
    for _ in range(2):  # the second one knows that the server is full
        acquired = _acquire(pool, pair.statement())
        pair.clock.advance(0)
        assert acquired[0].borrowed
        pool.release(acquired[0])
    assert pair.lending.count == 0


def test_a_server_that_is_known_to_be_full_is_not_heard_again(pair):
    # Guards against a silent server that counts as heard because this proxy
    # remembers its last refusal.
    _let_all_open_directly(pair)
    pool = _pools_at_full_server(pair).pool(SERVER)
    load = server_load(pair.tables['b'], SERVER.name)
    borrowed = _acquire(pool, pair.statement())
    pair.clock.advance(0)
    pool.release(borrowed[0])
    pair.tables['b'].peers.clear()
    pair.clock.advance(0.2)
    refused = _acquire(pool, pair.statement())
    pair.clock.advance(0)
    assert refused == [None] and load.heard_at < pair.clock.seconds()


def test_a_full_server_without_lenders_ends_the_statement_at_once(pair):
    # Guards against two proxies without connections that ask each other.
    _let_all_open_directly(pair)
    lent_pool = pair.pools.pool(SERVER)
    for connection in lent_pool.connections:
        lent_pool.discard(connection)
    pair.outcome = FULL
    lent_pool.open_spare(1)
    pair.clock.advance(0)
    acquired = _acquire(
        _pools_at_full_server(pair).pool(SERVER), pair.statement()
    )
    pair.clock.advance(0)
    assert acquired == [None]


def test_a_busy_lender_ends_only_the_statement_that_it_refused(pair):
    # Guards against a refusal for one statement that ends others of the
    # borrower, or stops it from borrowing for more urgent ones.
    lent = pair.borrow_connection()
    pair.pools.pool(SERVER).limit = 1
    pair.pools.pool(SERVER).divided = True
    for _ in range(40):
        pair.start_loan(priority=2, workspace='a')
    pool = ConnectionPool(
        pair.clock,
        SERVER,
        lambda _, request, timeout_s: pair.delayed_loan(request),
        lambda server, refusal: None,
    )
    pool.limit = 8
    pool.divided = True
    refused = _acquire(pool, pair.statement(priority=2, workspace='a'))
    granted = _acquire(pool, pair.statement(priority=0, workspace='b'))
    pair.clock.advance(0.001)
    assert refused == [None] and not granted
    lent.return_to_lender()
    pair.clock.advance(0.001)
    assert granted[0].usable


def test_a_loan_requested_from_a_lender_that_falls_silent_ends(pair):
    # Guards against a statement with a long time limit that waits for a lost
    # lender until its end.
    pair.lossy = True
    now = pair.clock.seconds()
    results = []
    request = ConnectionRequest(1, 'db', now + 9, now + 9)
    borrowing = defer.ensureDeferred(
        pair.borrowing.borrow('a', SERVER, request)
    )
    borrowing.addCallback(results.append)
    pair.clock.advance(LENDER_SILENT_S + 0.1)
    pair.borrowing.tick(pair.clock.seconds())
    assert results[0].kind is AnswerKind.NO_CONNECTION


def test_an_answer_to_an_earlier_process_is_not_taken_for_an_own_one(pair):
    # Guards against rows of another statement: the loans and requests of each
    # process had the same numbers, and a restarted borrower is known to its
    # lender only some heartbeats later.
    earlier = pair.borrow_connection()
    earlier.call(BeginTransaction(read_only=True), 1.0)
    restarted = pair.records['b']._replace(incarnation=2)
    pair.borrowing = Borrowing(pair.clock, pair.tables['b'], restarted)
    pair.borrowing.send = pair.send
    own = pair.borrow_connection()
    results = []
    own.call(BeginTransaction(read_only=True), 1.0).addCallback(results.append)
    pair.connections[0].pending[0].callback(DONE)
    assert not results
    pair.connections[1].pending[0].callback(DONE)
    assert results == [DONE]
