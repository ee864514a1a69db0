"""Loans of connections, with messages that are lost or late."""

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.caller_sessions import (
    LaidState,
    PreparedShape,
    PrepareShape,
    SetValue,
)
from toucandeal.fleet import (
    FleetConfiguration,
    InteractiveGroup,
    ProxyRecord,
    Server,
)
from toucandeal.fleet_tables import FleetTables, PeerView
from toucandeald.borrowing import (
    LENDER_SILENT_S,
    LENDERS_LOST_S,
    NOWHERE,
    OWN,
    Borrowing,
)
from toucandeald.lending import BORROWER_SILENT_S, Lending
from toucandeald.lending_wire import Answered, Lent
from toucandeald.server_pools import ServerPools
from toucandeald.session_messages import (
    AnswerKind,
    BeginTransaction,
    RollBack,
    ServerAnswer,
)
from toucandeald.steady_clock import virtual_time

SERVER = Server('i-1', 'g', '10.0.0.1:80', 'z1', 2, False, True)
DONE = ServerAnswer(AnswerKind.COMPLETED, ['x'], 'signed', '')
WAIT_S = 0.5


class Link:
    """A server connection that answers when the test says so."""

    borrowed = False

    def __init__(self):
        self.laid = LaidState()
        self.usable = True
        self.asked = []
        self.answering = []

    def call(self, request, timeout_s):
        """Note a request."""
        del timeout_s
        self.asked.append(request)
        self.answering.append(defer.Deferred())
        return self.answering[-1]

    def close(self):
        """Close it."""
        self.usable = False


class Pair:
    """A lender with one connection, and a borrower."""

    def __init__(self):
        self.clock = Clock()
        self.lossy = False
        self.links = []
        self.tables = {name: self._tables(name) for name in ('a', 'b')}
        self.records = {
            name: ProxyRecord(name, 1, f'{name}:1') for name in ('a', 'b')
        }
        self.hear()
        lender = self.tables['a']
        own = Borrowing(self.clock, lender, self.records['a'])
        self.pools = ServerPools(self.clock, lender, self._open, own)
        self.lending = Lending(lender, self.pools, self, self.records['a'])
        self.borrowing = Borrowing(
            self.clock, self.tables['b'], self.records['b']
        )
        self.borrowing.send = self.send
        self.pools.pool(SERVER).warm(1)

    def _tables(self, name):
        tables = FleetTables(name, 'z1')
        tables.servers['i-1'] = SERVER
        tables.configuration = FleetConfiguration(
            1, {}, {'g': InteractiveGroup('g', 4)}, 1.0
        )
        return tables

    async def _open(self, server, timeout_s):
        del server, timeout_s
        self.links.append(Link())
        return self.links[-1]

    def hear(self):
        """Let both hear from each other now."""
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
        if isinstance(message, Lent | Answered):
            self.borrowing.received(message)
        else:
            self.lending.received(message)

    def borrowed(self):
        """Return a connection that is lent at once."""
        return self.borrow()[0]

    def borrow(self):
        """Return what comes of a loan, once it is there."""
        got = []
        borrowing = defer.ensureDeferred(
            self.borrowing.borrow('a', SERVER, WAIT_S)
        )
        borrowing.addCallback(got.append)
        return got


@pytest.fixture
def pair():
    """Return a lender and a borrower."""
    made = Pair()
    with virtual_time(made.clock.seconds):
        yield made


def test_a_request_and_its_answer_pass_through_the_lender(pair):
    link = pair.borrowed()
    got = []
    link.call(BeginTransaction(read_only=True), 1.0).addCallback(got.append)
    assert pair.links[0].asked == [BeginTransaction(read_only=True)]
    pair.links[0].answering[0].callback(DONE)
    assert got == [DONE] and link.usable


def test_a_connection_that_was_given_back_is_lent_again(pair):
    link = pair.borrowed()
    link.give_back()
    assert pair.lending.count == 0
    assert pair.borrow()[0].usable and len(pair.links) == 1


def test_what_the_borrower_laid_on_it_is_known_afterwards(pair):
    link = pair.borrowed()
    steps = [SetValue('lang', 'es'), PrepareShape(PreparedShape('q', False))]
    for step in steps:
        link.call(step, 1.0)
        pair.links[0].answering[-1].callback(DONE)
    link.give_back()
    again = pair.borrow()[0]
    assert again.laid.values == {'lang': 'es'}
    assert again.laid.shapes == {PreparedShape('q', False)}


def test_a_lost_answer_ends_the_loan_and_the_connection(pair):
    link = pair.borrowed()
    got = []
    pair.lossy = True
    link.call(RollBack(), 1.0).addCallback(got.append)
    pair.clock.advance(1.2)
    assert got[0].kind is AnswerKind.LOST and not link.usable
    pair.lossy = False
    pair.tables['a'].peers.clear()
    pair.lending.tick(pair.clock.seconds())
    assert pair.lending.count == 0 and not pair.links[0].usable


def test_a_late_answer_is_not_taken_for_another_one(pair):
    link = pair.borrowed()
    got = []
    link.call(RollBack(), 0.1).addCallback(got.append)
    pair.clock.advance(0.3)
    assert got[0].kind is AnswerKind.LOST
    again = pair.borrowed()
    pair.links[0].answering[0].callback(DONE)
    assert len(got) == 1 and again.usable and len(pair.links) == 2


def test_a_request_that_nobody_grants_is_refused_in_time(pair):
    pair.borrow()
    pair.pools.pool(SERVER).limit = 1
    refused = pair.borrow()
    pair.clock.advance(WAIT_S + 0.1)
    assert refused[0].kind is AnswerKind.NO_CONNECTION
    pair.lossy = True
    refused = pair.borrow()
    pair.clock.advance(WAIT_S + 0.1)
    assert refused[0].kind is AnswerKind.NO_CONNECTION


def test_a_grant_that_comes_too_late_is_taken_back(pair):
    first = pair.borrowed()
    pair.pools.pool(SERVER).limit = 1
    refused = pair.borrow()
    pair.clock.advance(WAIT_S + 0.1)
    first.give_back()
    assert refused[0].kind is AnswerKind.NO_CONNECTION
    assert pair.lending.count == 0 and pair.borrow()[0].usable


def test_the_loans_of_a_silent_borrower_are_taken_back(pair):
    pair.borrow()
    pair.clock.advance(BORROWER_SILENT_S + 0.1)
    pair.lending.tick(pair.clock.seconds())
    assert pair.lending.count == 0 and not pair.links[0].usable


def test_the_loans_of_a_restarted_borrower_are_taken_back(pair):
    pair.borrow()
    peers = pair.tables['a'].peers
    peers['b'] = peers['b']._replace(incarnation=2)
    pair.lending.tick(pair.clock.seconds())
    assert pair.lending.count == 0


def test_a_silent_lender_ends_what_is_outstanding(pair):
    link = pair.borrowed()
    got = []
    link.call(RollBack(), 5.0).addCallback(got.append)
    pair.clock.advance(LENDER_SILENT_S + 0.1)
    pair.borrowing.tick(pair.clock.seconds())
    assert got[0].kind is AnswerKind.LOST


def test_a_closed_server_connection_ends_the_loan(pair):
    link = pair.borrowed()
    got = []
    link.call(RollBack(), 1.0).addCallback(got.append)
    lost = ServerAnswer(AnswerKind.LOST, [], '', 'closed')
    pair.links[0].answering[0].callback(lost)
    assert got == [lost] and not link.usable
    link.close()
    assert pair.lending.count == 0


def _source(pair, counted):
    permissions = pair.tables['b'].permissions
    permissions.registered = {
        name: ProxyRecord(name, 1, f'{name}:1') for name in counted
    }
    return pair.borrowing.source(SERVER)


def test_only_a_proxy_that_is_no_lender_borrows(pair):
    # Four connections are enough for one lender.
    assert _source(pair, ['b']) == OWN
    sources = {_source(pair, ['a', 'b']), _source(pair, ['a', 'b', 'c'])}
    assert sources <= {'a', OWN, NOWHERE}


def test_without_any_lender_a_proxy_waits_before_it_opens_its_own(pair):
    pair.tables['b'].peers.clear()
    names = next(
        names
        for names in (['a', 'b'], ['b', 'x1'], ['b', 'x2'], ['b', 'x3'])
        if _source(pair, names) == NOWHERE
    )
    pair.clock.advance(LENDERS_LOST_S + 0.1)
    assert _source(pair, names) == OWN
