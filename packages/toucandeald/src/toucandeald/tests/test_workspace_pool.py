"""A connection pool that several workspaces share."""

import collections

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.caller_sessions import ConnectionState
from toucandeal.connection_workspaces import (
    ANY_WORKSPACE,
    workspace_if_opened,
)
from toucandeal.fleet import Server
from toucandeal.statement_queue import ConnectionRequest, next_statement
from toucandeald import connection_pool
from toucandeald.connection_pool import (
    WORKSPACE_IDLE_TIMEOUT_S,
    ConnectionPool,
)
from toucandeald.session_messages import AnswerKind, ServerAnswer

SERVER = Server('i-1', 'g', '10.0.0.1:80', 'z1', 2, False, True)
FULL = ServerAnswer(AnswerKind.TOO_MANY_CONNECTIONS, [], '', 'full')
OPEN_S = 0.012
USE_S = 0.006
WAIT_S = 30.0
LONG_WAIT_S = 0.1
LIMIT = 4

WORKSPACES = ('a', 'b', 'c', 'd', 'e', 'f', '')


class StubConnection:
    """A connection that counts how often it is used at once."""

    def __init__(self, workspace, borrowed=False):
        self.workspace = workspace
        self.borrowed = borrowed
        self.connection_state = ConnectionState()
        self.usable = True
        self.in_use = False
        self.on_closed = None

    def close(self):
        """Close; a connection in use may only be closed by its user."""
        self.usable = False

    def return_to_lender(self):
        """End the loan."""
        self.usable = False


class SimulatedServer:
    """Opens connections after a time, and records who uses them."""

    def __init__(self, limit=LIMIT, borrowed=False):
        self.clock = Clock()
        self.connections = []
        self.accepts = True
        self.served = collections.Counter()
        self.waits = collections.defaultdict(list)
        self.borrowed = borrowed
        self.violations = []
        self.arrivals = []
        self.pool = ConnectionPool(
            self.clock, SERVER, self.open, lambda server, refusal: None
        )
        self.pool.limit = limit
        self.pool.divided = True
        self.pool.retains_idle = not borrowed

    @property
    def users(self):
        """Return the workspaces of the open connections."""
        return sorted(
            str(connection.workspace)
            for connection in self.connections
            if connection.usable
        )

    @property
    def in_use(self):
        """Return the connections in use."""
        return [
            connection for connection in self.connections if connection.in_use
        ]

    def end_use(self, number, end):
        """End the use of one of the connections in use, if there is any."""
        in_use = self.in_use
        if in_use:
            end(in_use[number % len(in_use)])

    async def open(self, server, connection_request, timeout_s):
        """Open a connection of a workspace, or refuse it after a time."""
        del server, timeout_s
        workspace = connection_request.workspace
        opened = defer.Deferred()
        call = self.clock.callLater(OPEN_S, opened.callback, None)
        self.arrivals.append((call, opened))
        await opened
        if not self.accepts:
            return FULL
        workspace = workspace_if_opened(workspace, borrowed=self.borrowed)
        self.connections.append(StubConnection(workspace, self.borrowed))
        return self.connections[-1]

    def acquire(self, workspace, priority=1, use=None, late_s=WAIT_S):
        """Return a list that receives the acquired connection."""
        results = []
        now = self.clock.seconds()
        request = ConnectionRequest(
            priority, 'db', now + late_s, now + WAIT_S, workspace
        )
        acquiring = defer.ensureDeferred(self.pool.acquire({}, [], request))
        acquiring.addCallback(self._check, workspace)
        acquiring.addCallback(results.append)
        if use is not None:
            acquiring.addCallback(lambda _: use(results[0]))
        return results

    def _check(self, connection, workspace):
        if connection is not None:
            if (
                workspace is not ANY_WORKSPACE
                and workspace != connection.workspace
            ):
                self.violations.append((workspace, connection.workspace))
            if connection.in_use or not connection.usable:
                self.violations.append((workspace, 'in use or closed'))
            connection.in_use = True
        return connection

    def release(self, connection):
        """Release a connection to the pool."""
        connection.in_use = False
        self.pool.release(connection)

    def discard(self, connection):
        """Close a connection that is in use."""
        connection.in_use = False
        self.pool.discard(connection)

    def freeze(self, seconds):
        """Let time pass for others only; then what has arrived comes first."""
        self.clock.rightNow += seconds
        for call, opened in self.arrivals:
            if call.active() and call.getTime() <= self.clock.rightNow:
                call.cancel()
                opened.callback(None)
        self.clock.advance(0)

    def advance(self, seconds):
        """Let time pass in steps, and check the limit after each."""
        for _ in range(round(seconds / 0.001)):
            self.clock.advance(0.001)
            assert self.pool.size <= self.pool.limit and not self.violations

    def run(self, workspace, priority=1):
        """Run a statement that waits for its connection."""
        began_at = self.clock.seconds()

        def use(connection):
            if connection is None:
                return
            self.waits[workspace].append(self.clock.seconds() - began_at)
            self.served[workspace] += 1
            self.clock.callLater(USE_S, self.release, connection)

        self.acquire(workspace, priority, use)


@pytest.fixture
def server():
    """Return a server without connections."""
    return SimulatedServer()


OPERATIONS = st.lists(
    st.one_of(
        st.tuples(
            st.just('acquire'),
            st.tuples(
                st.sampled_from([*WORKSPACES, ANY_WORKSPACE]),
                st.sampled_from([0.02, 0.3, WAIT_S]),
            ),
        ),
        st.tuples(st.just('freeze'), st.sampled_from([15, 50, 400])),
        st.tuples(st.just('release'), st.integers(0, 9)),
        st.tuples(st.just('discard'), st.integers(0, 9)),
        st.tuples(st.just('wait'), st.sampled_from([15, 400])),
        st.tuples(st.just('limit'), st.integers(1, LIMIT)),
        st.tuples(st.just('accepts'), st.booleans()),
    ),
    min_size=20,
    max_size=60,
)


@settings(max_examples=150, deadline=None)
@given(OPERATIONS, st.booleans(), st.booleans())
def test_no_statement_runs_on_a_connection_of_another_workspace(
    operations, borrowed, divided
):
    # Guards against a release, a closed connection, a changed limit or a
    # freeze of the process (review/7) that gives a connection to a statement
    # of another workspace, and against a connection in use that is closed to
    # make room.
    server = SimulatedServer(borrowed=borrowed)
    server.pool.divided = divided
    actions = {
        'acquire': lambda details: server.acquire(
            details[0],
            -1 if details[0] is ANY_WORKSPACE else 1,
            late_s=details[1],
        ),
        'freeze': lambda milliseconds: server.freeze(milliseconds / 1000),
        'wait': lambda milliseconds: server.clock.advance(milliseconds / 1000),
        'limit': lambda limit: setattr(server.pool, 'limit', limit),
        'accepts': lambda accepts: setattr(server, 'accepts', accepts),
        'release': lambda number: server.end_use(number, server.release),
        'discard': lambda number: server.end_use(number, server.discard),
    }
    for name, detail in operations:
        actions[name](detail)
        assert not server.violations
        assert all(connection.usable for connection in server.in_use)
        assert len(server.users) <= server.pool.size <= LIMIT


FREEZES = st.lists(
    st.one_of(
        st.tuples(
            st.just('acquire'),
            st.tuples(
                st.sampled_from(['a', 'b', ANY_WORKSPACE]),
                st.sampled_from([0.02, WAIT_S]),
            ),
        ),
        st.tuples(st.just('freeze'), st.sampled_from([15, 50])),
        st.tuples(st.just('release'), st.integers(0, 2)),
    ),
    min_size=4,
    max_size=30,
)


@settings(max_examples=1000, deadline=None)
@given(FREEZES)
def test_a_freeze_gives_no_connection_to_another_workspace(operations):
    # Guards against review/7: a connection that a lender has chosen arrived
    # for a request of the proxy's own that was late then, and whose timers had
    # not run, and served a statement of any workspace.
    server = SimulatedServer(limit=3, borrowed=True)
    actions = {
        'acquire': lambda details: server.acquire(
            details[0],
            -1 if details[0] is ANY_WORKSPACE else 1,
            late_s=details[1],
        ),
        'freeze': lambda milliseconds: server.freeze(milliseconds / 1000),
        'release': lambda number: server.end_use(number, server.release),
    }
    for name, detail in operations:
        actions[name](detail)
        assert not server.violations


def test_a_late_request_of_the_proxy_gives_its_connection_to_nobody(server):
    # Guards against the same, as it was found.
    server.borrowed = True
    own = server.acquire(ANY_WORKSPACE, priority=-1, late_s=0.01)
    server.acquire('a')
    server.freeze(OPEN_S)
    assert not server.violations
    assert own


def test_a_connection_of_another_workspace_is_not_handed_out(
    server, monkeypatch
):
    # The last check, whatever has chosen the statement.
    first = server.acquire('a')
    server.advance(0.02)
    server.pool.limit = 1
    other = server.acquire('b')
    monkeypatch.setattr(
        connection_pool,
        'next_statement_for',
        lambda queue, now, workspace: next_statement(queue, now),
    )
    server.release(first[0])
    assert other == [None] and server.pool.mismatches == 1
    assert server.acquire('a') == first


def test_a_statement_whose_time_has_passed_in_a_freeze_gets_none(server):
    # Its caller has been told, or is told as soon as the timers run.
    server.pool.limit = 1
    first = server.acquire('a')
    server.advance(0.02)
    late = server.acquire('a')
    server.clock.rightNow += WAIT_S
    server.release(first[0])
    assert late == [None] and server.acquire('a') == first


def test_a_small_workspace_is_not_starved_by_a_large_one(server):
    # Guards against connections that only ever serve the next statement of
    # their own workspace.
    for _ in range(200):
        server.run('large')
    server.advance(0.1)
    for _ in range(5):
        server.run('small')
        server.advance(0.1)
    assert server.served['small'] == 5
    assert max(server.waits['small']) < LONG_WAIT_S
    assert server.served['large'] > 100


def test_competing_workspaces_do_not_exchange_a_connection_each_time(server):
    # Guards against an opening, of 12 ms, for every statement of 6 ms.
    server.pool.limit = 1
    for _ in range(60):
        server.run('a')
        server.run('b')
    server.advance(1.2)
    assert abs(server.served['a'] - server.served['b']) <= 10
    assert server.served.total() >= 110
    assert server.pool.opened <= server.served.total() / 3


def test_a_burst_of_one_workspace_does_not_close_what_others_use(server):
    # Guards against a burst that makes every other workspace open connections
    # again.
    for workspace in ('a', 'b', 'c'):
        server.run(workspace)
    server.advance(0.1)
    for number in range(200):
        server.run('burst')
        if number % 10 == 0:
            for workspace in ('a', 'b', 'c'):
                server.run(workspace)
        server.advance(0.003)
    assert {'a', 'b', 'c'} <= set(server.users)
    assert server.pool.opened <= 6


def test_an_idle_connection_is_closed_for_a_workspace_without_one(server):
    # Guards against a full pool of idle connections that refuses newcomers;
    # the longest unused one of the workspace with most idle ones is closed.
    connections = []
    for workspace in ('a', 'b', 'b', 'c'):
        results = server.acquire(workspace)
        server.advance(0.02)
        connections.append(results[0])
    for connection in connections:
        server.release(connection)
        server.advance(0.01)
    results = server.acquire('d')
    server.advance(0.02)
    assert results[0].workspace == 'd'
    assert server.users == ['a', 'b', 'c', 'd']
    assert not connections[1].usable


def test_no_more_connections_are_opened_than_statements_wait(server):
    # Guards against openings that occupy slots without serving anybody.
    server.run('a')
    server.run('a')
    server.advance(0.005)
    assert server.pool.size <= 2
    server.advance(0.1)
    assert server.pool.opened <= 2


def test_no_connection_is_opened_if_one_is_released_sooner(server):
    # Guards against an opening of 12 ms for a statement that would get a
    # connection of its workspace after 6 ms.
    for _ in range(100):
        server.run('a')
        server.advance(0.02)
    assert server.pool.opened == 1
    first, second = server.acquire('a'), server.acquire('a')
    assert first and server.pool.size == 1
    server.advance(0.004)
    server.release(first[0])
    assert second == first


def test_an_urgent_statement_of_another_workspace_gets_the_place(server):
    # Guards against a strict priority that ends at the border of a workspace.
    server.pool.limit = 1
    first = server.acquire('a')
    server.advance(0.02)
    waiting = server.acquire('a')
    urgent = server.acquire('b', priority=0)
    server.release(first[0])
    server.advance(0.02)
    assert urgent[0].workspace == 'b' and not waiting


def test_an_own_request_uses_any_idle_connection(server):
    # Guards against reports that need a connection of no workspace.
    first = server.acquire('a')
    server.advance(0.02)
    server.release(first[0])
    assert server.acquire(ANY_WORKSPACE, priority=-1) == first
    assert server.pool.opened == 1


def test_a_spare_of_no_workspace_serves_no_caller_of_one(server):
    # Guards against a spare connection, opened as the proxy's fixed user, that
    # runs a statement of a workspace.
    server.acquire(ANY_WORKSPACE, priority=-1)
    server.advance(0.02)
    spare = server.connections[0]
    server.release(spare)
    results = server.acquire('a')
    server.advance(0.02)
    assert results[0] is not spare and results[0].workspace == 'a'
    assert server.acquire('') == [spare]


def test_spares_are_of_the_busiest_workspaces(server):
    # Guards against spares that no caller of a workspace may use.
    for _ in range(3):
        server.pool.open_spare(2, ['a', 'b', 'c'])
        server.advance(0.02)
    assert server.users == ['a', 'b']


def test_unused_connections_of_small_workspaces_are_closed(server):
    # Guards against connections that stay open at the servers after a loss of
    # all proxies although nobody uses them.
    for workspace in ('a', 'b', 'c'):
        server.run(workspace)
    server.advance(0.1)
    server.clock.advance(WORKSPACE_IDLE_TIMEOUT_S)
    server.pool.trim(0)
    assert not server.users


def test_a_workspace_refused_by_a_full_server_is_tried_again(server):
    # Guards against a statement that waits for ever: no connection of its
    # workspace is open, and no release starts another attempt.
    other = server.acquire('a')
    server.advance(0.02)
    server.accepts = False
    results = server.acquire('b')
    server.advance(0.05)
    server.accepts = True
    server.advance(0.4)
    assert results[0].workspace == 'b' and other[0].usable


def test_a_borrower_returns_a_connection_for_another_workspace():
    # Guards against a borrower that keeps connections of one workspace while
    # another one waits.
    server = SimulatedServer(limit=1, borrowed=True)
    first = server.acquire('a')
    server.advance(0.02)
    other = server.acquire('b')
    server.release(first[0])
    server.advance(0.02)
    assert other[0].workspace == 'b' and not first[0].usable
