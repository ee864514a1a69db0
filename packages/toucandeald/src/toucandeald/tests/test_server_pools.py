"""The states of servers, as the pools learn them from attempts to connect."""

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.caller_sessions import (
    CONNECTION_LIMIT_BYTES,
    STATE_LIMIT_BYTES,
    CallerSession,
    ConnectionState,
    PreparedShape,
    PrepareShape,
)
from toucandeal.fleet import (
    GroupRecord,
    ProxyRecord,
    Server,
    Statement,
    Verb,
)
from toucandeal.fleet_tables import (
    apply_record,
    is_confirmed,
    server_load,
    usable_primary,
)
from toucandeal.positions import LogPosition
from toucandeal.promotion import ServerReport
from toucandeal.statement_queue import ConnectionRequest
from toucandeal.store_versions import StoreVersion
from toucandeal.tests.sample_tables import NOW, new_tables
from toucandeald.borrowing import Borrowing
from toucandeald.replies import withheld
from toucandeald.server_pools import ServerPools
from toucandeald.session_messages import (
    AnswerKind,
    Forward,
    ReportStatus,
    ServerAnswer,
    lost,
)
from toucandeald.steady_clock import pause, virtual_time

ATTEMPT_S = 0.6  # until an attempt to connect to a dark server ends
MAINTENANCE_S = 0.25


class StubConnection:
    """A connection that stays open."""

    borrowed = False

    def __init__(self):
        self.connection_state = ConnectionState()
        self.usable = True

    def close(self):
        """Make the connection unusable."""
        self.usable = False


class SetupConnection(StubConnection):
    """A connection that gives one answer to each request."""

    def __init__(self, answer):
        super().__init__()
        self.answer = answer

    def call(self, request, timeout_s):
        """Answer a request."""
        del request, timeout_s
        return defer.succeed(self.answer)


class DarkServer:
    """A proxy with three servers, of which `b` is dark."""

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(NOW)
        self.tables = new_tables()
        self.is_dark = True
        own = ProxyRecord('p1', 1, 'p1:1')
        self.pools = ServerPools(
            self.clock,
            self.tables,
            self._open,
            Borrowing(self.clock, self.tables, own),
        )

    async def _open(self, server, workspace, timeout_s):
        del workspace, timeout_s
        if server.name == 'b' and self.is_dark:
            await pause(self.clock, ATTEMPT_S)
            return lost('no answer')
        return StubConnection()

    @property
    def is_avoided(self):
        """Return whether statements avoid the dark server now."""
        load = server_load(self.tables, 'b')
        return self.clock.seconds() < load.avoided_until

    def read(self):
        """Let a statement wait for a connection to the dark server."""
        ends_at = self.clock.seconds() + 1
        waiting = self.pools.acquire(
            self.server,
            CallerSession(1, 'db'),
            [],
            ConnectionRequest(1, 'db', ends_at, ends_at),
        )
        return defer.ensureDeferred(waiting)

    @property
    def server(self) -> Server:
        """Return the dark server."""
        return self.tables.servers['b']

    def run(self, seconds):
        """Let time pass, with the maintenance of a running proxy."""
        for _ in range(round(seconds / MAINTENANCE_S)):
            self.clock.advance(MAINTENANCE_S)
            self.pools.update_pools()


def test_a_dark_server_is_avoided_until_a_spare_connection_is_open():
    # Guards against reads that wait for a server without an answer, one after
    # the other, as long as it is dark.
    proxy = DarkServer()
    with virtual_time(proxy.clock.seconds):
        proxy.read()
        proxy.run(1)
        for _ in range(12):
            assert proxy.is_avoided
            proxy.run(MAINTENANCE_S)
        proxy.is_dark = False
        proxy.run(1)
        assert not proxy.is_avoided


@pytest.mark.parametrize(
    ('kind', 'usable'),
    [
        (AnswerKind.FAILED, False),
        (AnswerKind.TIMED_OUT, False),
        (AnswerKind.NOT_RUN, True),
    ],
)
@pytest.mark.parametrize('held', [{}, {'zone': 'lima'}])
def test_a_connection_whose_state_is_unknown_is_closed(kind, usable, held):
    # Guards against values and shapes of a change that ran though it failed,
    # which the next session on the connection would have.
    proxy = DarkServer()
    connection = SetupConnection(ServerAnswer(kind, [], '', 'it failed'))
    connection.connection_state.values.update(held)
    session = CallerSession(1, 'db')
    if not held:
        session.values['lang'] = 'es'
    with virtual_time(proxy.clock.seconds):
        applied = defer.ensureDeferred(
            proxy.pools.apply_session(proxy.server, connection, session, [])
        )
        assert applied.result.kind is kind
    assert connection.usable is usable
    assert connection.connection_state.values == held


def test_shapes_that_a_server_does_not_know_are_prepared_again():
    # Guards against a connection that fails each EXECUTE of a transaction.
    proxy = DarkServer()
    connection = SetupConnection(
        ServerAnswer(AnswerKind.UNKNOWN_STATEMENT, [], '', 'unknown')
    )
    shape = PreparedShape('q', writes=False)
    connection.connection_state.add_shapes([shape])
    statement = Statement(Verb.EXECUTE, 'EXECUTE s a')
    with virtual_time(proxy.clock.seconds):
        defer.ensureDeferred(
            proxy.pools.call(
                proxy.server, connection, Forward('1', statement, shape), 1.0
            )
        )
    assert not connection.connection_state.shapes


@pytest.mark.parametrize(
    ('answer', 'samples'),
    [
        (ServerAnswer(AnswerKind.COMPLETED, [], '', ''), 1),
        (ServerAnswer(AnswerKind.READ_ONLY, [], '', 'b'), 0),
        (
            ServerAnswer(
                AnswerKind.COMPLETED,
                [],
                '',
                '',
                report=ServerReport(False, 3, LogPosition(3, 9)),
            ),
            0,
        ),
    ],
)
def test_an_answer_that_denies_to_lead_is_no_sample(answer, samples):
    # Guards against reads at replicas that count as fresh on the word of a
    # former primary, which does not know the commits of its successor.
    proxy = DarkServer()
    suspected = []
    proxy.pools.on_suspicion = lambda server, _: suspected.append(server.name)
    primary = proxy.tables.servers['a']
    connection = SetupConnection(answer._replace(position=LogPosition(3, 9)))
    with virtual_time(proxy.clock.seconds):
        defer.ensureDeferred(
            proxy.pools.call(primary, connection, ReportStatus(), 1.0)
        )
        usable = usable_primary(proxy.tables, 'g', proxy.clock.seconds())
    assert len(proxy.tables.groups['g'].history) == samples
    assert (usable is not None) == bool(samples)
    # A check follows, so that one which leads again is used again.
    assert suspected == ['a'][samples:]


def test_a_replica_that_is_promoted_before_its_answer_arrives_gives_no_sample():
    # Guards against stale reads at replicas: the answer has the position that
    # the server had applied before it led.
    proxy = DarkServer()
    waiting = defer.Deferred()
    connection = SetupConnection(None)
    connection.call = lambda request, timeout_s: waiting
    record = GroupRecord('g', 'c', 4, version=StoreVersion(0, 2))
    answer = ServerAnswer(
        AnswerKind.COMPLETED, [], '', '', position=LogPosition(3, 9)
    )
    with virtual_time(proxy.clock.seconds):
        defer.ensureDeferred(
            proxy.pools.call(
                proxy.tables.servers['c'], connection, ReportStatus(), 1.0
            )
        )
        proxy.clock.advance(0.3)
        apply_record(proxy.tables, record, proxy.clock.seconds())
        waiting.callback(answer)
    assert not proxy.tables.groups['g'].history


def test_an_answer_of_before_a_restart_says_nothing_of_the_restarted_server():
    # Guards against writes that are confirmed by a replica which has received
    # them before its restart and holds nothing since then.
    proxy = DarkServer()
    servers = proxy.tables.servers
    replica = servers['c']
    report = ServerReport(False, 3, LogPosition(3, 9))
    answer = ServerAnswer(AnswerKind.COMPLETED, [], '', '', report=report)
    connection = SetupConnection(answer._replace(position=LogPosition(3, 9)))
    servers['c'] = replica._replace(born_ms=7)
    with virtual_time(proxy.clock.seconds):
        for server in (replica, servers['c']):
            before = is_confirmed(proxy.tables, 'g', 'a', LogPosition(3, 9))
            assert not before
            defer.ensureDeferred(
                proxy.pools.call(server, connection, ReportStatus(), 1.0)
            )
    assert is_confirmed(proxy.tables, 'g', 'a', LogPosition(3, 9))


def test_a_connection_is_not_reset_in_a_transaction():
    # Guards against values that a statement of a transaction lacks, and against
    # transactions that fill a connection with shapes.
    proxy = DarkServer()
    connection = SetupConnection(ServerAnswer(AnswerKind.COMPLETED, [], '', ''))
    session = CallerSession(1, 'db')
    held = PreparedShape('x' * (CONNECTION_LIMIT_BYTES - 100), False)
    connection.connection_state.add_shapes([held])
    large = [
        PreparedShape(f'{number}{"y" * (STATE_LIMIT_BYTES - 102)}', False)
        for number in range(12)
    ]

    def failure(shape):
        with virtual_time(proxy.clock.seconds):
            return defer.ensureDeferred(
                proxy.pools.apply_session(
                    proxy.server,
                    connection,
                    session,
                    [shape],
                    in_transaction=True,
                )
            ).result

    assert not any(map(failure, large))
    assert failure(held._replace(writes=True)).kind is AnswerKind.WITHHELD
    assert connection.connection_state.shapes == {held, *large}


def test_a_connection_whose_setup_ends_in_a_transaction_is_closed():
    # Guards against a connection that is pooled inside a transaction.
    proxy = DarkServer()
    connection = SetupConnection(
        ServerAnswer(
            AnswerKind.MALFORMED, [], '', 'failed', in_transaction=True
        )
    )
    proxy.pools._open_connection = lambda *_: defer.succeed(connection)
    session = CallerSession(1, 'db')
    session.values['zone'] = 'a'
    ends_at = proxy.clock.seconds() + 1
    results = []
    with virtual_time(proxy.clock.seconds):
        defer.ensureDeferred(
            proxy.pools.acquire(
                proxy.server,
                session,
                [],
                ConnectionRequest(1, 'db', ends_at, ends_at),
            )
        ).addCallback(results.append)
    assert results == [None]
    assert not connection.usable


def test_a_request_that_was_not_sent_is_no_sign_of_a_server():
    # Guards against a promotion that is delayed because a dark server seems to
    # have answered.
    proxy = DarkServer()
    connection = SetupConnection(withheld('it was not sent'))
    load = server_load(proxy.tables, 'b')
    load.unreachable_since = NOW - 1
    with virtual_time(proxy.clock.seconds):
        defer.ensureDeferred(
            proxy.pools.call(
                proxy.server,
                connection,
                PrepareShape(PreparedShape('q a', writes=False)),
                1.0,
            )
        )
    assert load.unreachable_since == NOW - 1
