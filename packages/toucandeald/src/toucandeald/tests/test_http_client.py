"""Time limits of HTTP requests on narrow links."""

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from toucandeald.http_client import HttpConnection

TIMEOUT_S = 0.7
PART_INTERVAL_S = 0.2
LARGE_PARTS = 20  # 4 s: 256 KB beside callers on a link of 5 Mbit/s
HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n'


@pytest.fixture
def clock():
    return Clock()


def _requested(clock, progress_timeout_s):
    """Return a connection with an outstanding request, and its outcomes."""
    connection = HttpConnection(clock)
    transport = StringTransport()
    transport.setTcpNoDelay = lambda enabled: None
    transport.abortConnection = transport.loseConnection
    connection.makeConnection(transport)
    outcomes = []
    reply = connection.request(
        'GET', '/', b'', TIMEOUT_S, progress_timeout_s=progress_timeout_s
    )
    reply.addBoth(outcomes.append)
    return connection, outcomes


def _receive(clock, connection, parts):
    connection.dataReceived(HEAD)
    for _ in range(parts):
        clock.advance(PART_INTERVAL_S)
        connection.dataReceived(b'x')


def test_an_answer_whose_parts_keep_arriving_is_received(clock):
    """Guards against a large row that is requested anew for good.

    With a limit on the total time, each attempt ended before the row had
    arrived, and the next one took the link from callers.
    """
    connection, outcomes = _requested(clock, TIMEOUT_S)
    _receive(clock, connection, LARGE_PARTS)
    assert [reply.body for reply in outcomes] == [b'x' * LARGE_PARTS]


def test_an_answer_that_stops_arriving_is_given_up(clock):
    """Guards against a call that waits for a connection that has gone dark."""
    connection, outcomes = _requested(clock, TIMEOUT_S)
    _receive(clock, connection, LARGE_PARTS - 1)
    clock.advance(TIMEOUT_S - 0.01)
    assert not outcomes
    clock.advance(0.02)
    assert outcomes[0].value.reason == 'the answer is overdue'


def test_parts_extend_no_request_without_a_progress_time_limit(clock):
    """Guards against statements that outlast their time limit."""
    connection, outcomes = _requested(clock, 0)
    _receive(clock, connection, 3)
    assert not outcomes
    clock.advance(PART_INTERVAL_S)
    assert outcomes[0].value.reason == 'the answer is overdue'
