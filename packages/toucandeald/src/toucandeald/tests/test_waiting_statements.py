"""Statements that wait for a connection, or for a server that can run them."""

import itertools
import random

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.caller_sessions import CallerSession, OpenTransaction
from toucandeal.fleet import (
    FleetConfiguration,
    GroupRecord,
    ProxyRecord,
    Route,
    RouteKind,
    Server,
    Statement,
    Verb,
)
from toucandeal.fleet_tables import FleetTables, apply_record
from toucandeal.primary_lease import record_store_read
from toucandeal.store_versions import StoreVersion
from toucandeal.workspaces import Workspace, key_digest
from toucandeald.forwarding import Forwarding
from toucandeald.session_messages import ReplyKind
from toucandeald.steady_clock import virtual_time

ROUTE = Route('db', 'g', RouteKind.PRIMARY, 0.8, 0.2)
WRITE = Statement(Verb.WRITE, 'WRITE a 1', writes=True)
READ = Statement(Verb.READ, 'READ a')


class Pools:
    """Pools whose only connection becomes free when the test says so."""

    def __init__(self):
        self.stopped = False
        self.waiting = []
        self.released = []
        self.sent = []

    def acquire(self, server, session, shapes, connection_request):
        """Wait for the connection."""
        del server, session, shapes, connection_request
        self.waiting.append(defer.Deferred())
        return self.waiting[-1]

    def release(self, server, connection):
        """Take the connection back."""
        del server
        self.released.append(connection)

    def call(self, server, connection, request, timeout_s):
        """Record the request, and never answer it."""
        del server, connection, timeout_s
        self.sent.append(request)
        return defer.Deferred()


def _configuration(keys):
    return FleetConfiguration(
        1,
        {'db': ROUTE},
        {},
        1.0,
        {'north': Workspace('north'), 'south': Workspace('south')},
        {key_digest(key): name for key, name in keys.items()},
    )


def _tables():
    tables = FleetTables('p1', 'd')
    tables.configuration = _configuration({'k': 'north'})
    tables.servers['r1'] = Server('r1', 'g', 'r1:1', 'd', 1, False, True)
    record = GroupRecord('g', 'r1', version=StoreVersion(1, 1))
    apply_record(tables, record, 0.0)
    own = ProxyRecord('p1', 1, 'p1:1')
    record_store_read(tables.primary_lease, 0.0, {'p1': own})
    return tables


@pytest.mark.parametrize('in_transaction', [True, False])
@pytest.mark.parametrize(
    ('keys', 'sent'), [({'k': 'north'}, 1), ({'k': 'south'}, 0), ({}, 0)]
)
def test_a_waiting_statement_is_sent_only_for_its_workspace(
    keys, sent, in_transaction
):
    clock = Clock()
    tables = _tables()
    pools = Pools()
    session = CallerSession(1, 'db', key_digest('k'), 'north')
    if in_transaction:
        session.transaction = OpenTransaction(
            ROUTE, read_only=False, began_at=0.0
        )
    replies = []
    with virtual_time(clock.seconds):
        forwarding = Forwarding(clock, tables, pools, None, random.Random(1))
        defer.ensureDeferred(
            forwarding.forward(session, 'x', WRITE, 0.0)
        ).addCallback(replies.append)
        tables.configuration = _configuration(keys)
        pools.waiting[0].callback('connection')
    assert len(pools.sent) == sent
    assert len(pools.waiting) == 1  # it does not queue again
    if not sent:
        assert pools.released == ['connection']
        assert replies[0].kind is ReplyKind.REFUSED
        assert 'nothing has run' in replies[0].reason


def test_a_commit_that_is_not_sent_ends_its_transaction():
    # Guards against a caller that has to end its transaction twice.
    clock = Clock()
    tables = _tables()
    pools = Pools()
    session = CallerSession(1, 'db', key_digest('k'), 'north')
    session.transaction = OpenTransaction(ROUTE, read_only=False, began_at=0.0)
    replies = []
    with virtual_time(clock.seconds):
        forwarding = Forwarding(clock, tables, pools, None, random.Random(1))
        defer.ensureDeferred(
            forwarding.forward(
                session, 'x', Statement(Verb.COMMIT, 'COMMIT'), 0.0
            )
        ).addCallback(replies.append)
        tables.configuration = _configuration({})
        pools.waiting[0].callback('connection')
    assert not pools.sent
    assert replies[0].kind is ReplyKind.REFUSED
    assert replies[0].state == 'idle'
    assert session.transaction is None


class Promotion:
    """A statement that arrives while a promotion is under way."""

    def __init__(self, *, in_transaction, rate_per_s=None):
        self.clock = Clock()
        self.tables = _tables()
        self.tables.configuration.workspaces['north'] = Workspace(
            'north', rate_per_s=rate_per_s
        )
        self.pools = Pools()
        self.replies = []
        self.session = CallerSession(1, 'db', key_digest('k'), 'north')
        if in_transaction:
            self.session.transaction = OpenTransaction(
                ROUTE, read_only=False, began_at=0.0
            )
        self._record(StoreVersion(1, 2), changing=True)
        forwarding = Forwarding(
            self.clock, self.tables, self.pools, None, random.Random(1)
        )
        with virtual_time(self.clock.seconds):
            defer.ensureDeferred(
                forwarding.forward(self.session, 'x', WRITE, 0.0)
            ).addCallback(self.replies.append)

    def advance(self, seconds):
        """Let time pass in steps of 10 ms."""
        with virtual_time(self.clock.seconds):
            self.clock.pump(itertools.repeat(0.01, round(seconds / 0.01)))

    def end(self):
        """Record the new primary."""
        self._record(StoreVersion(1, 3), changing=False)

    def _record(self, version, *, changing):
        record = GroupRecord('g', 'r1', changing=changing, version=version)
        apply_record(self.tables, record, self.clock.seconds())


@pytest.fixture(params=[True, False], ids=['transaction', 'statement'])
def promotion(request):
    """Return a statement that waits for the end of a promotion."""
    return Promotion(in_transaction=request.param)


def test_a_statement_is_sent_once_the_promotion_has_ended(promotion):
    # Guards against an operation that is lost because its caller's retries
    # all fall into one promotion.
    promotion.advance(0.5)
    assert not promotion.replies and not promotion.pools.waiting
    promotion.end()
    promotion.advance(0.05)
    assert promotion.pools.waiting and not promotion.replies


def test_a_statement_is_refused_before_it_times_out(promotion):
    promotion.advance(0.75)
    assert not promotion.replies
    promotion.advance(0.05)
    assert promotion.replies[0].kind is ReplyKind.REFUSED
    assert not promotion.pools.waiting


def test_the_statement_of_a_caller_that_has_left_does_not_wait(promotion):
    promotion.session.ended = True
    promotion.advance(0.05)
    promotion.end()
    promotion.advance(0.05)
    assert not promotion.pools.waiting and promotion.replies


@pytest.mark.parametrize('in_transaction', [True, False])
def test_statements_of_a_limited_workspace_do_not_wait(in_transaction):
    # Guards against a rate that is exceeded when a promotion ends.
    promotion = Promotion(in_transaction=in_transaction, rate_per_s=10.0)
    promotion.advance(0.01)
    assert promotion.replies[0].kind is ReplyKind.REFUSED


class WaitingRead:
    """A read that waits for a connection to the primary."""

    def __init__(self, rate_per_s=None):
        self.clock = Clock()
        self.tables = _tables()
        self.tables.configuration.workspaces['north'] = Workspace(
            'north', rate_per_s=rate_per_s
        )
        self.pools = Pools()
        self.replies = []
        self.session = CallerSession(1, 'db', key_digest('k'), 'north')
        forwarding = Forwarding(
            self.clock, self.tables, self.pools, None, random.Random(1)
        )
        with virtual_time(self.clock.seconds):
            defer.ensureDeferred(
                forwarding.forward(self.session, 'x', READ, 0.0)
            ).addCallback(self.replies.append)

    def serve(self):
        """Give the read its connection after its objective of 0.2 s."""
        with virtual_time(self.clock.seconds):
            self.clock.advance(0.3)
            self.pools.waiting[0].callback('connection')
            self.clock.pump(itertools.repeat(0.01, 5))


@pytest.mark.parametrize(('rate_per_s', 'attempts'), [(None, 2), (10.0, 1)])
def test_a_withheld_read_of_a_limited_workspace_is_not_repeated_late(
    rate_per_s, attempts
):
    # Guards against a rate that is exceeded by reads that come with an earlier
    # window's token.
    read = WaitingRead(rate_per_s)
    read.tables.groups['g'].epoch += 1
    read.serve()
    assert len(read.pools.waiting) == attempts
    assert bool(read.replies) == (attempts == 1)


def test_the_read_of_a_caller_that_has_left_is_not_repeated():
    # Guards against connections that are taken, up to twelve times, for reads
    # whose answers nobody gets.
    read = WaitingRead()
    read.session.ended = True
    read.serve()
    assert len(read.pools.waiting) == 1 and read.replies
