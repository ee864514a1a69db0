"""The connection pool of one server."""

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.caller_sessions import ConnectionState
from toucandeal.fleet import Server
from toucandeal.statement_queue import ConnectionRequest
from toucandeald.connection_pool import IDLE_TIMEOUT_S, ConnectionPool
from toucandeald.session_messages import AnswerKind, ServerAnswer

SERVER = Server('i-1', 'g', '10.0.0.1:80', 'z1', 2, False, True)
FULL = ServerAnswer(AnswerKind.TOO_MANY_CONNECTIONS, [], '', 'full')
LOST = ServerAnswer(AnswerKind.LOST, [], '', 'refused')


class StubConnection:
    """A connection that does nothing."""

    borrowed = False

    def __init__(self):
        self.connection_state = ConnectionState()
        self.usable = True
        self.on_closed = None

    def close(self):
        """Make the connection unusable."""
        self.usable = False


class Opener:
    """Opens connections, with outcomes that the test sets."""

    def __init__(self):
        self.attempts = []
        self.observed = []

    async def open(self, server, workspace, timeout_s):
        """Wait until the test sets the outcome of the attempt."""
        del server, workspace, timeout_s
        attempt = defer.Deferred()
        self.attempts.append(attempt)
        return await attempt

    def answer(self, outcome):
        """Set the outcome of the oldest attempt."""
        self.attempts.pop(0).callback(outcome)
        return outcome


@pytest.fixture
def opener():
    """Return an opener without attempts."""
    return Opener()


@pytest.fixture
def pool(opener):
    """Return a pool with room for two connections."""
    created = ConnectionPool(
        Clock(),
        SERVER,
        opener.open,
        lambda server, refusal: opener.observed.append(refusal),
    )
    created.limit = 2
    return created


def _connection_request(priority=1, late_at=1.0, ends_at=1.0):
    return ConnectionRequest(priority, 'db', late_at, ends_at)


def _acquire(pool, values=None, connection_request=None):
    results = []
    acquiring = defer.ensureDeferred(
        pool.acquire(
            values or {}, [], connection_request or _connection_request()
        )
    )
    acquiring.addCallback(results.append)
    return results


def _fill(pool, count):
    return [_acquire(pool) for _ in range(count)]


def test_released_connection_is_reused(pool, opener):
    results = _acquire(pool)
    connection = opener.answer(StubConnection())
    assert results == [connection]
    pool.release(connection)
    assert _acquire(pool) == [connection] and pool.opened == 1


def test_no_more_connections_than_the_limit_are_opened(pool, opener):
    _fill(pool, 5)
    opener.answer(StubConnection())
    opener.answer(StubConnection())
    assert not opener.attempts and pool.waiting == 3


def test_longest_waiting_statement_gets_the_next_connection(pool, opener):
    pool.limit = 1
    first, second, third = _acquire(pool), _acquire(pool), _acquire(pool)
    connection = opener.answer(StubConnection())
    pool.release(connection)
    assert first == second == [connection] and third == []


def test_statement_stops_waiting_when_its_time_ends(pool, opener):
    results = _acquire(pool)
    pool._clock.advance(1.1)
    assert results == [None] and pool.waiting == 0
    opener.answer(StubConnection())
    assert pool.size == 1


@pytest.mark.parametrize('refusal', [FULL, LOST])
def test_waiting_statement_fails_if_no_connection_opens(pool, opener, refusal):
    results = _acquire(pool)
    opener.answer(refusal)
    assert results == [None] and opener.observed == [refusal]
    assert _acquire(pool) == [None], 'the next attempt comes after a pause'


def test_connection_in_the_session_state_is_preferred(pool, opener):
    _fill(pool, 2)
    plain, fitting = (
        opener.answer(StubConnection()),
        opener.answer(StubConnection()),
    )
    fitting.connection_state.values['lang'] = 'es'
    pool.release(plain)
    pool.release(fitting)
    assert _acquire(pool, {'lang': 'es'}) == [fitting]


def test_closed_connection_is_not_acquired(pool, opener):
    _acquire(pool)
    connection = opener.answer(StubConnection())
    pool.release(connection)
    connection.usable = False
    connection.on_closed(connection)
    assert pool.size == 0 and _acquire(pool) == []


def test_idle_connections_beyond_a_lowered_limit_are_closed(pool, opener):
    _fill(pool, 2)
    connections = [
        opener.answer(StubConnection()),
        opener.answer(StubConnection()),
    ]
    for connection in connections:
        pool.release(connection)
    pool.limit = 1
    pool.trim(2)
    assert [connection.usable for connection in connections] == [False, True]


def test_unused_connections_are_closed_except_for_spares(pool, opener):
    _fill(pool, 2)
    connections = [
        opener.answer(StubConnection()),
        opener.answer(StubConnection()),
    ]
    for connection in connections:
        pool.release(connection)
    pool._clock.advance(IDLE_TIMEOUT_S - 0.1)
    pool.trim(1)
    assert pool.size == 2
    pool._clock.advance(0.2)
    pool.trim(1)
    assert [connection.usable for connection in connections] == [False, True]


def test_urgent_statement_gets_the_next_connection(pool, opener):
    pool.limit = 1
    _fill(pool, 1)
    later, urgent = (
        _acquire(pool),
        _acquire(pool, connection_request=_connection_request(priority=0)),
    )
    connection = opener.answer(StubConnection())
    pool.release(connection)
    assert urgent == [connection] and later == []


def test_statement_that_would_wait_too_long_is_refused_at_once(pool, opener):
    pool.limit = 1
    waiting = _fill(pool, 60)
    refused = waiting.count([None])
    # One connection with a use time of 0.03 s serves about 33 statements a
    # second.
    assert 25 <= refused <= 30
    assert opener.attempts


def test_late_statement_goes_last_or_is_refused(pool, opener):
    pool.limit = 1
    _fill(pool, 1)
    connection = opener.answer(StubConnection())
    late = _acquire(
        pool, connection_request=_connection_request(late_at=0.1, ends_at=0.2)
    )
    others = [
        _acquire(
            pool,
            connection_request=_connection_request(late_at=5.0, ends_at=9.0),
        )
        for _ in range(10)
    ]
    pool._clock.advance(0.15)
    assert late == [None] and others.count([]) == 10
    pool.release(connection)
    assert others[0] == [connection]


def test_peak_of_a_period_counts_waiting_statements(pool, opener):
    pool.limit = 1
    _fill(pool, 3)
    opener.answer(StubConnection())
    assert pool.peak == 3
    pool._clock.advance(1.1)
    pool.begin_period()
    assert pool.peak == 1


def test_closed_pool_provides_no_connections(pool, opener):
    results = _acquire(pool)
    pool.close()
    late = opener.answer(StubConnection())
    assert not late.usable
    assert results in ([], [None])
