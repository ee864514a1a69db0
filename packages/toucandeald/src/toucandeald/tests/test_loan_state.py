"""The state of a server's connection, as its lender and a borrower know it."""

import itertools
from unittest import mock

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.caller_sessions import (
    CONNECTION_LIMIT_BYTES,
    CallerSession,
    ConnectionState,
    PreparedShape,
    PrepareShape,
    ResetSession,
    SetValue,
    shape_name,
)
from toucandeal.fleet import (
    FleetConfiguration,
    InteractiveGroup,
    ProxyRecord,
    Server,
    Statement,
    Verb,
)
from toucandeal.fleet_tables import FleetTables, PeerView
from toucandeal.lending import lenders
from toucandeal.statement_queue import ConnectionRequest
from toucandeald import server_pools
from toucandeald.borrowing import Borrowing
from toucandeald.lending import Lending
from toucandeald.lending_wire import BorrowedAnswer, LoanReply
from toucandeald.replies import NO_EFFECT
from toucandeald.server_pools import ServerPools
from toucandeald.session_messages import (
    AnswerKind,
    BeginTransaction,
    Forward,
    RollBack,
    ServerAnswer,
    lost,
)
from toucandeald.steady_clock import pause, virtual_time

LENDER, BORROWER = 'a', 'b'
PROXIES = (LENDER, BORROWER)
CONNECTIONS = 4  # enough for one lender
SERVER = next(
    Server(name, 'g', '10.0.0.1:80', 'z1', 2, False, True)
    for name in map('i-{0}'.format, itertools.count())
    if lenders(name, PROXIES, CONNECTIONS) == [LENDER]
)
STEP_S = 0.05  # of the clock, with a heartbeat after each
MESSAGE_S = 0.001  # between the proxies, and to open a connection
WAIT_S = 0.5
LATE_S = 0.2  # of an answer that comes in time
PATIENCE_S = 3.0  # more than all limits on the way together
# What the server does with a request: whether it runs, and its answer. Without
# an answer the connection is lost or stays silent.
RUNS = 'runs'
OUTCOMES = {
    RUNS: (True, AnswerKind.COMPLETED),
    'refuses': (False, AnswerKind.NOT_RUN),
    'fails after it ran': (True, AnswerKind.FAILED),
    'fails': (False, AnswerKind.FAILED),
    'times out after it ran': (True, AnswerKind.TIMED_OUT),
    'times out': (False, AnswerKind.TIMED_OUT),
    'closes after it ran': (True, AnswerKind.LOST),
    'closes': (False, AnswerKind.LOST),
    'is late': (True, None),
    'is silent after it ran': (True, None),
    'is silent': (False, None),
}
outcomes = st.lists(
    st.just(RUNS) | st.sampled_from(sorted(OUTCOMES)), max_size=4
)
shapes = st.builds(
    PreparedShape, st.sampled_from(['q', 'q WRITE a']), st.booleans()
)
changes = (
    st.none()
    | shapes
    | st.builds(
        SetValue, st.sampled_from('xy'), st.sampled_from(['', '1', ' 2'])
    )
)
proxies = st.sampled_from(PROXIES)
session_numbers = st.integers(0, 2)


class Connection:
    """A connection, with what the server keeps for it."""

    borrowed = False

    def __init__(self, clock, server_outcomes, executions):
        """Start a session at the server."""
        self.connection_state = ConnectionState()
        self.usable = True
        self.on_closed = None
        self.values = {}
        self.prepared = {}
        self.has_forgotten = False
        self.in_transaction = False
        self._clock = clock
        self._outcomes = server_outcomes
        self._executions = executions
        self._answer = None
        self._timer = None

    @property
    def busy(self):
        """Return whether an answer is outstanding."""
        return self._answer is not None

    def call(self, request, timeout_s):
        """Run a request as the next outcome tells."""
        if not self.usable or self.busy:
            return defer.succeed(lost('the connection is closed'))
        outcome = self._outcomes.pop(0) if self._outcomes else RUNS
        runs, kind = OUTCOMES[outcome]
        if runs:
            known = self._run(request)
            kind = kind if known else AnswerKind.UNKNOWN_STATEMENT
        if kind is AnswerKind.LOST:
            self.close()
            return defer.succeed(lost('closed'))
        if kind is not None:
            return defer.succeed(ServerAnswer(kind, [], '', ''))
        self._answer = defer.Deferred()
        self._timer = (
            self._clock.callLater(LATE_S, self._answer_late)
            if outcome == 'is late'
            else self._clock.callLater(timeout_s, self.close)
        )
        return self._answer

    def close(self):
        """Close the connection, as its server does when it is lost."""
        if not self.usable:
            return
        self.usable = False
        self._clock.callLater(0, self._report_closed)
        if self.busy:
            if self._timer.active():
                self._timer.cancel()
            self._deliver(lost('closed'))

    def _answer_late(self):
        self._deliver(ServerAnswer(AnswerKind.COMPLETED, [], '', ''))

    def _deliver(self, answer):
        waiting = self._answer
        self._answer = None
        waiting.callback(answer)

    def forget(self):
        """Let the server forget what was prepared."""
        self.prepared.clear()
        self.has_forgotten = True

    def _report_closed(self):
        if self.on_closed is not None:
            self.on_closed(self)

    def _run(self, request):
        """Run a request; return whether the server knows its name."""
        match request:
            case SetValue(name, setting):
                self.values[name] = setting
            case PrepareShape(prepared):
                self.prepared[shape_name(prepared)] = prepared
            case ResetSession():
                self.values.clear()
                self.prepared.clear()
            case BeginTransaction():
                assert not self.in_transaction
                self.in_transaction = True
            case RollBack():
                self.in_transaction = False
            case Forward():
                return self._execute(request)
        return True

    def _execute(self, request):
        ran = self.prepared.get(shape_name(request.prepared))
        if ran is None:
            return False
        self._executions.append((request.identity, ran, dict(self.values)))
        return True


class Loans(RuleBasedStateMachine):
    """A lender and a borrower, whose callers share a server's connections.

    Of each connection that may be used again, its lender knows the state at
    the server, and a borrower knows what the lender knows.
    """

    @initialize(limit_bytes=st.sampled_from([1, 250, CONNECTION_LIMIT_BYTES]))
    def begin(self, limit_bytes):
        """Start a lender and a borrower."""
        self.clock = Clock()
        self.patches = [
            mock.patch.object(
                server_pools, 'CONNECTION_LIMIT_BYTES', limit_bytes
            ),
            virtual_time(self.clock.seconds),
        ]
        for patch in self.patches:
            patch.__enter__()  # noqa: PLC2801
        self.losses = []  # whether each of the next messages is lost
        self.outcomes = []
        self.executions = []
        self.connections = []
        self.identities = map(str, itertools.count())
        self.sessions = [CallerSession(number, 'db') for number in range(3)]
        self.open = {}  # a connection that is in use, by session number
        self.records = {
            name: ProxyRecord(name, 1, f'{name}:1') for name in PROXIES
        }
        self.tables = {name: self._new_tables(name) for name in PROXIES}
        self.borrowing = {
            name: Borrowing(self.clock, self.tables[name], self.records[name])
            for name in PROXIES
        }
        self.pools = {
            name: ServerPools(
                self.clock, self.tables[name], self._open, self.borrowing[name]
            )
            for name in PROXIES
        }
        self.lending = Lending(
            self.tables[LENDER], self.pools[LENDER], self, self.records[LENDER]
        )
        self.borrowing[BORROWER].send = self.send
        self._exchange_heartbeats()

    def _new_tables(self, name):
        tables = FleetTables(name, 'z1')
        tables.servers[SERVER.name] = SERVER
        tables.configuration = FleetConfiguration(
            1, {}, {'g': InteractiveGroup('g', CONNECTIONS)}, 1.0
        )
        tables.primary_lease.registered = self.records
        return tables

    async def _open(self, server, workspace, timeout_s):
        del server, workspace, timeout_s
        await pause(self.clock, MESSAGE_S)
        self.connections.append(
            Connection(self.clock, self.outcomes, self.executions)
        )
        return self.connections[-1]

    def send(self, address, message):
        """Deliver a message soon, unless it is lost."""
        del address
        if self.losses and self.losses.pop(0):
            return
        recipient = (
            self.borrowing[BORROWER]
            if isinstance(message, LoanReply | BorrowedAnswer)
            else self.lending
        )
        self.clock.callLater(
            MESSAGE_S, recipient.received, _as_received(message)
        )

    def _exchange_heartbeats(self):
        now = self.clock.seconds()
        for own, other in itertools.permutations(PROXIES):
            self.tables[own].peers[other] = PeerView(
                other, 1, f'{other}:1', now, False, True, {}
            )

    def _expect(self, server_outcomes):
        """Let the server's next requests have these outcomes."""
        self.outcomes.clear()
        self.outcomes.extend(server_outcomes)

    def _run(self, coroutine):
        """Return the outcome of a coroutine, however long it waits."""
        results = []
        failures = []
        running = defer.ensureDeferred(coroutine)
        running.addCallbacks(results.append, failures.append)
        for _ in range(int(PATIENCE_S / STEP_S)):
            if results or failures:
                break
            self.pass_time(STEP_S)
        for failure in failures:
            failure.raiseException()
        return results[0]

    @rule(seconds=st.sampled_from([STEP_S, 1.5, 3.0]))
    def pass_time(self, seconds):
        """Let time pass, with heartbeats."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._exchange_heartbeats()
            self.lending.tick(self.clock.seconds())
            self.borrowing[BORROWER].tick(self.clock.seconds())

    @rule(losses=st.lists(st.booleans(), max_size=5))
    def lose_messages(self, losses):
        """Lose some of the next messages between the proxies."""
        self.losses = losses

    @rule(number=st.integers(0, 7))
    def forget(self, number):
        """Let the server forget the prepared statements of a connection."""
        if self.connections:
            self.connections[number % len(self.connections)].forget()

    @rule(
        number=session_numbers,
        proxy=proxies,
        prepared=shapes,
        change=changes,
        server_outcomes=outcomes,
    )
    def work(self, number, proxy, prepared, change, server_outcomes):
        """Execute a session's statement, in its transaction if it has one.

        The session may have changed a value, or prepared its statement anew.
        """
        session = self.sessions[number]
        session.prepared.setdefault('s', prepared)
        match change:
            case PreparedShape():
                session.prepared['s'] = change
            case SetValue(name, setting):
                session.values[name] = setting
        self._expect(server_outcomes)
        if number in self.open:
            self._continue(number)
        else:
            self._begin(number, proxy)

    def _begin(self, number, proxy):
        session = self.sessions[number]
        connection = self._run(
            self.pools[proxy].acquire(
                SERVER, session, [session.prepared['s']], self._request()
            )
        )
        if connection is None:
            return
        begin = BeginTransaction(read_only=False)
        answer = self._run(
            self.pools[proxy].call(SERVER, connection, begin, WAIT_S)
        )
        if answer.kind is AnswerKind.COMPLETED:
            self.open[number] = (proxy, connection)
            self._execute(number)
        elif answer.kind in NO_EFFECT:
            self.pools[proxy].release(SERVER, connection)
        else:
            self.pools[proxy].discard(SERVER, connection)

    def _request(self):
        ends_at = self.clock.seconds() + WAIT_S
        return ConnectionRequest(1, 'db', ends_at, ends_at)

    def _continue(self, number):
        proxy, connection = self.open[number]
        session = self.sessions[number]
        failure = self._run(
            self.pools[proxy].apply_session(
                SERVER,
                connection,
                session,
                [session.prepared['s']],
                in_transaction=True,
            )
        )
        if failure is None:
            self._execute(number)
        else:
            self.end(number, ())

    def _execute(self, number):
        proxy, connection = self.open[number]
        session = self.sessions[number]
        identity = next(self.identities)
        expected = (identity, session.prepared['s'], dict(session.values))
        statement = Statement(Verb.EXECUTE, 'EXECUTE s i', 's', 'i')
        request = Forward(identity, statement, session.prepared['s'])
        answer = self._run(
            self.pools[proxy].call(SERVER, connection, request, WAIT_S)
        )
        ran = [each for each in self.executions if each[0] == identity]
        assert ran in ([expected], [])
        if answer.kind is AnswerKind.COMPLETED:
            assert ran
        if answer.kind is AnswerKind.UNKNOWN_STATEMENT:
            assert not ran
            # Its next statement prepares it again.
            assert not connection.connection_state.shapes

    @rule(number=session_numbers, server_outcomes=outcomes)
    def end(self, number, server_outcomes):
        """End a transaction, and let another caller have the session."""
        if number in self.open:
            proxy, connection = self.open.pop(number)
            self._expect(server_outcomes)
            answer = self._run(
                self.pools[proxy].call(SERVER, connection, RollBack(), WAIT_S)
            )
            if answer.kind is AnswerKind.COMPLETED:
                self.pools[proxy].release(SERVER, connection)
            else:
                self.pools[proxy].discard(SERVER, connection)
        self.sessions[number] = CallerSession(number, 'db')

    @rule(number=session_numbers, prepared=shapes, runs=st.booleans())
    def return_during_setup(self, number, prepared, runs):
        """Return a loan while a step of its set-up is outstanding."""
        if number not in self.open or not self.open[number][1].borrowed:
            return
        proxy, connection = self.open.pop(number)
        session = self.sessions[number]
        self._expect(['is late' if runs else 'is silent'])
        applying = defer.ensureDeferred(
            self.pools[proxy].apply_session(
                SERVER, connection, session, [prepared]
            )
        )
        self.pass_time(STEP_S)
        if connection.busy:
            connection.return_to_lender()
        self._run(_awaited(applying))
        # It is in a transaction if no step was necessary.
        self.pools[proxy].discard(SERVER, connection)

    @invariant()
    def the_lender_knows_the_state_at_the_server(self):
        """Check each connection that may be used."""
        for connection in getattr(self, 'connections', ()):
            if not connection.usable or connection.busy:
                continue
            known = connection.connection_state
            assert known.values == connection.values
            if connection.has_forgotten:
                continue
            assert known.shapes == set(connection.prepared.values())

    @invariant()
    def a_borrower_knows_what_the_lender_knows(self):
        """Check each connection that is lent."""
        if not hasattr(self, 'lending'):
            return
        lent = {key[2]: loan for key, loan in self.lending._loans.items()}
        for loan_id, borrowed in self.borrowing[BORROWER]._connections.items():
            loan = lent.get(loan_id)
            if loan is None or not borrowed.usable or borrowed.busy:
                continue
            if not loan.connection.usable:
                continue
            known = loan.connection.connection_state
            assert borrowed.connection_state.values == known.values
            assert borrowed.connection_state.shapes == known.shapes

    def teardown(self):
        """Undo the patches."""
        for patch in reversed(getattr(self, 'patches', ())):
            patch.__exit__(None, None, None)


def _as_received(message):
    """Return a message that shares no state with the sender's."""
    return msgspec.msgpack.decode(
        msgspec.msgpack.encode(message), type=type(message)
    )


async def _awaited(deferred):
    return await deferred


TestLoans = Loans.TestCase
TestLoans.settings = settings(
    max_examples=400, stateful_step_count=50, deadline=None
)
