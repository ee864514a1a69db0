"""Admission of sessions and statements while keys are removed and moved."""

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.caller_sessions import CallerSession, OpenTransaction
from toucandeal.configuration_freshness import prove_by_call
from toucandeal.fleet import (
    FleetConfiguration,
    Route,
    RouteKind,
    Statement,
    Verb,
)
from toucandeal.fleet_tables import FleetTables, apply_configuration
from toucandeal.workspaces import Workspace, key_digest
from toucandeald.admission import Admission, holds_workspace
from toucandeald.prometheus_metrics import PrometheusMetrics
from toucandeald.session_messages import CallerReply, ReplyKind
from toucandeald.session_service import SessionService
from toucandeald.steady_clock import virtual_time

LIMIT_S = 5.0
READ = Statement(Verb.READ, 'READ a')
COMMIT = Statement(Verb.COMMIT, 'COMMIT')
ROLLBACK = Statement(Verb.ROLLBACK, 'ROLLBACK')
BEGIN = Statement(Verb.BEGIN, 'BEGIN')
ROUTES = {
    name: Route(name, 'g', RouteKind.PRIMARY, 1.0, 1.0, is_public=public)
    for name, public in (('keyed', False), ('open', True))
}


class Transactions:
    """Records the rollbacks."""

    def __init__(self):
        self.rolled_back = []

    def fail(self, session, reason):
        """Fail the session's transaction."""
        if session.transaction is not None:
            session.transaction.failure = reason
            self.rolled_back.append(reason)

    def end(self, session, reason):
        """End the session's transaction."""
        if session.transaction is not None:
            self.rolled_back.append(reason)
        session.transaction = None


class Forwarding:
    """Answers a statement when the test lets it."""

    def __init__(self):
        self.transactions = Transactions()
        self.waiting = []

    def forward(self, session, identity, statement, began_at):
        """Wait for the test's answer."""
        del session, identity, statement, began_at
        self.waiting.append(defer.Deferred())
        return self.waiting[-1]


class Connection:
    """A caller's connection."""

    def __init__(self, session):
        self.session = session
        self.idle = True
        self.closed = False

    def close(self):
        """Close it."""
        self.closed = True


class Proxy:
    """A session service with its admission, at virtual time."""

    def __init__(self, limit_s=LIMIT_S):
        self.clock = Clock()
        self.clock.advance(100)
        self.tables = FleetTables('p1', 'd')
        self.forwarding = Forwarding()
        self.transactions = self.forwarding.transactions
        self.admission = Admission(self.tables, self.transactions, limit_s)
        self.service = SessionService(
            self.clock,
            self.tables,
            self.forwarding,
            self.admission,
            PrometheusMetrics(),
        )

    def configure(self, version, keys):
        """Put a configuration in force, as the shared state does."""
        key_workspaces = {
            key_digest(key): name
            for name, held in (keys or {}).items()
            for key in held
        }
        configuration = FleetConfiguration(
            version,
            ROUTES,
            {},
            1.0,
            None if keys is None else {name: Workspace(name) for name in keys},
            key_workspaces,
        )
        assert apply_configuration(self.tables, configuration)
        self.prove()
        self.service.end_revoked_sessions()

    def prove(self):
        """Prove the freshness now."""
        freshness = self.tables.configuration_freshness
        version = self.tables.configuration.version
        prove_by_call(freshness, version, self.clock.seconds(), 0)

    def connect(self, key='k', database='keyed'):
        """Open a session and return its connection."""
        connection = Connection(self.service.open(database, key))
        self.service.connected(connection)
        return connection

    def begin(self, connection):
        """Begin a transaction."""
        session = connection.session
        session.transaction = OpenTransaction(
            ROUTES['keyed'], read_only=False, began_at=0
        )

    def run(self, connection, statement=READ):
        """Run a statement; return the list that gets the reply."""
        replies = []
        connection.idle = False
        running = defer.ensureDeferred(
            self.service.run(connection.session, 'x', statement)
        )

        def ended(answer):
            replies.append(answer)
            connection.idle = True
            self.service.went_idle(connection)

        running.addCallback(ended)
        return replies


@pytest.fixture
def proxy():
    proxy = Proxy()
    with virtual_time(proxy.clock.seconds):
        proxy.configure(1, {'north': ['k'], 'south': ['l']})
        yield proxy


def test_an_unknown_key_opens_no_session(proxy):
    refusal = proxy.service.open('keyed', 'm')
    assert refusal.kind is ReplyKind.AUTHENTICATION_FAILED
    assert not proxy.service.sessions


def test_the_digest_of_the_key_is_kept_and_not_the_key(proxy):
    session = proxy.connect().session
    assert session.workspace == 'north'
    assert session.key_digest == key_digest('k')


def test_without_workspaces_any_key_opens_a_session():
    """Neither the key nor the freshness matters then."""
    proxy = Proxy()
    with virtual_time(proxy.clock.seconds):
        proxy.configure(1, None)
        connection = proxy.connect('anything')
        proxy.clock.advance(600)
        proxy.run(connection)
    assert connection.session.workspace == ''
    assert len(proxy.forwarding.waiting) == 1


@pytest.mark.parametrize('keys', [{'north': []}, {'south': ['l']}])
def test_a_removed_key_closes_its_idle_sessions_at_once(proxy, keys):
    connection, other = proxy.connect('k'), proxy.connect('l')
    proxy.configure(2, {'south': ['l'], **keys})
    assert connection.closed and not other.closed


def test_removing_the_last_workspace_ends_its_sessions(proxy):
    # Guards against statements with removed keys after the last workspace goes.
    connection = proxy.connect('k')
    proxy.configure(2, {})
    assert connection.closed
    for key in ('k', 'never held', ''):
        refused = proxy.service.open('keyed', key)
        assert refused.kind is ReplyKind.AUTHENTICATION_FAILED


def test_a_running_statement_ends_before_its_session_is_closed(proxy):
    connection = proxy.connect()
    replies = proxy.run(connection)
    proxy.configure(2, {'north': []})
    assert not connection.closed
    proxy.forwarding.waiting[0].callback(CallerReply(ReplyKind.DONE))
    assert replies[0].kind is ReplyKind.DONE and connection.closed


@pytest.mark.parametrize('kind', [ReplyKind.REFUSED, ReplyKind.ABORTED])
def test_a_waiting_statement_of_a_removed_key_fails_authentication(proxy, kind):
    connection = proxy.connect()
    replies = proxy.run(connection)
    proxy.configure(2, {'north': []})
    assert not holds_workspace(proxy.tables, connection.session)
    proxy.forwarding.waiting[0].callback(CallerReply(kind))
    assert replies[0].kind is ReplyKind.AUTHENTICATION_FAILED


def test_a_write_in_doubt_stays_in_doubt_when_the_key_is_removed(proxy):
    replies = proxy.run(proxy.connect())
    proxy.configure(2, {'north': []})
    proxy.forwarding.waiting[0].callback(CallerReply(ReplyKind.UNKNOWN))
    assert replies[0].kind is ReplyKind.UNKNOWN


@pytest.mark.parametrize('statement', [READ, COMMIT, ROLLBACK, BEGIN])
def test_a_removed_key_rolls_back_its_transaction(proxy, statement):
    connection = proxy.connect()
    proxy.begin(connection)
    proxy.configure(2, {'north': []})
    assert len(proxy.transactions.rolled_back) == 1 and not connection.closed
    replies = proxy.run(connection, statement)
    assert replies[0].kind is ReplyKind.AUTHENTICATION_FAILED
    assert replies[0].state == 'idle' and 'rolled back' in replies[0].reason
    assert not proxy.forwarding.waiting


def test_a_key_that_comes_back_serves_an_open_session_again(proxy):
    connection = proxy.connect()
    connection.idle = False  # its statement runs meanwhile
    proxy.configure(2, {'north': []})
    proxy.configure(3, {'north': ['k']})
    proxy.service.went_idle(connection)
    assert not connection.closed
    proxy.run(connection)
    assert len(proxy.forwarding.waiting) == 1


def test_a_moved_key_continues_in_the_other_workspace(proxy):
    connection = proxy.connect()
    proxy.configure(2, {'north': [], 'south': ['k']})
    assert not connection.closed
    proxy.run(connection)
    assert connection.session.workspace == 'south'
    assert len(proxy.forwarding.waiting) == 1


@pytest.mark.parametrize(
    ('statement', 'state'), [(READ, 'failed'), (COMMIT, 'idle')]
)
def test_a_moved_key_aborts_its_open_transaction(proxy, statement, state):
    connection = proxy.connect()
    proxy.begin(connection)
    proxy.configure(2, {'north': [], 'south': ['k']})
    replies = proxy.run(connection, statement)
    assert (replies[0].kind, replies[0].state) == (ReplyKind.ABORTED, state)
    assert proxy.transactions.rolled_back and not proxy.forwarding.waiting


def test_a_statement_that_waits_while_its_key_moves_is_not_sent(proxy):
    """Its connection would belong to the earlier workspace."""
    connection = proxy.connect()
    proxy.run(connection)
    proxy.configure(2, {'north': [], 'south': ['k']})
    assert not holds_workspace(proxy.tables, connection.session)


def test_a_public_session_of_a_removed_key_goes_on_without_workspace(proxy):
    connection = proxy.connect('k', 'open')
    assert connection.session.workspace == 'north'
    proxy.configure(2, {'north': []})
    proxy.clock.advance(600)
    proxy.run(connection)
    assert connection.session.workspace == '' and not connection.closed
    assert len(proxy.forwarding.waiting) == 1


@pytest.mark.parametrize(('age_s', 'sent'), [(4.4, 1), (4.5, 0), (600, 0)])
def test_a_keyed_statement_needs_a_fresh_configuration(proxy, age_s, sent):
    connection = proxy.connect()
    proxy.clock.advance(age_s)
    replies = proxy.run(connection)
    assert len(proxy.forwarding.waiting) == sent
    refused = [each for each in replies if each.kind is ReplyKind.REFUSED]
    assert len(replies) == len(refused) == 1 - sent


def test_a_session_does_not_start_without_a_fresh_configuration(proxy):
    """The caller may then find a proxy that can serve it."""
    proxy.clock.advance(4.5)
    refusal = proxy.service.open('keyed', 'k')
    assert refusal.kind is ReplyKind.REFUSED and refusal.retry_after_s
    assert isinstance(proxy.service.open('open', ''), CallerSession)


@pytest.mark.parametrize(
    ('statement', 'kind', 'state'),
    [
        (READ, ReplyKind.REFUSED, 'failed'),
        (COMMIT, ReplyKind.REFUSED, 'idle'),
        (ROLLBACK, ReplyKind.DONE, 'idle'),
    ],
)
def test_a_transaction_ends_when_the_freshness_is_lost(
    proxy, statement, kind, state
):
    connection = proxy.connect()
    proxy.begin(connection)
    proxy.clock.advance(4.5)
    replies = proxy.run(connection, statement)
    assert (replies[0].kind, replies[0].state) == (kind, state)
    assert proxy.transactions.rolled_back and not proxy.forwarding.waiting


def test_freshness_does_not_matter_without_a_limit():
    proxy = Proxy(None)
    with virtual_time(proxy.clock.seconds):
        proxy.configure(1, {'north': ['k']})
        connection = proxy.connect()
        proxy.clock.advance(600)
        proxy.run(connection)
    assert len(proxy.forwarding.waiting) == 1


def test_each_operation_is_begun_once(proxy):
    begun = []

    async def begin_operation(session, statement, now):
        del session, now
        begun.append(statement.verb)

    proxy.admission.begin_operation = begin_operation
    connection = proxy.connect()
    for statement in (BEGIN, READ, COMMIT, ROLLBACK, READ, COMMIT):
        proxy.run(connection, statement)
    assert begun == [Verb.BEGIN, Verb.READ]


def test_an_operation_may_be_refused_before_it_begins(proxy):
    refusal = CallerReply(ReplyKind.REFUSED, reason='over the limit')

    async def begin_operation(*_):
        return refusal

    proxy.admission.begin_operation = begin_operation
    replies = proxy.run(proxy.connect())
    assert replies == [refusal] and not proxy.forwarding.waiting
