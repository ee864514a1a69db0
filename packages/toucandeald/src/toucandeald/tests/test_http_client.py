"""Time limits of HTTP requests, and deadlines of those that must not be late."""

import socket

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from toucandeald.http_client import HttpConnection
from toucandeald.steady_clock import virtual_time

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


class Socket:
    """Notes the options that are set."""

    def __init__(self):
        self.options = {}

    def setsockopt(self, level, option, setting):
        """Note an option."""
        self.options[level, option] = setting


class Transport(StringTransport):
    """A transport whose writes reach the wire once they are flushed."""

    def __init__(self):
        super().__init__()
        self.socket = Socket()
        self.sent = b''

    def setTcpNoDelay(self, enabled):  # noqa: N802
        """Do nothing."""

    def getHandle(self):  # noqa: N802
        """Return the socket."""
        return self.socket

    def abortConnection(self):  # noqa: N802
        """Close the connection."""
        self.loseConnection()

    def doWrite(self):  # noqa: N802
        """Send what is buffered."""
        self.sent += self.value()
        self.clear()


def _requested_until(clock, deadline):
    """Return the transport of a request with a deadline, and its outcomes."""
    connection = HttpConnection(clock)
    transport = Transport()
    connection.makeConnection(transport)
    outcomes = []
    reply = connection.request(
        'POST', '/', b'', TIMEOUT_S, {}, TIMEOUT_S, deadline
    )
    reply.addBoth(outcomes.append)
    return connection, transport, outcomes


def test_a_request_is_not_sent_after_its_deadline(clock):
    """Guards against an order that a paused process sends when it goes on."""
    clock.advance(5.0)
    with virtual_time(clock.seconds):
        _, transport, outcomes = _requested_until(clock, 5.0)
    assert not transport.sent
    assert transport.disconnecting
    assert not outcomes[0].value.sent


def test_a_request_is_not_delivered_after_its_deadline(clock):
    """Guards against a request that a killed or stopped process leaves behind.

    The kernel would go on to send it once a cut link is back.
    """
    with virtual_time(clock.seconds):
        _, transport, outcomes = _requested_until(clock, 0.4)
        clock.advance(0.41)
    option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert transport.socket.options == {option: 400}
    assert transport.sent.startswith(b'POST')
    assert transport.disconnecting
    assert outcomes[0].value.sent


def test_parts_of_a_reply_extend_no_deadline(clock):
    """Guards against an order that is under way after the lock has ended."""
    with virtual_time(clock.seconds):
        connection, _, outcomes = _requested_until(clock, 0.4)
        _receive(clock, connection, 1)
        clock.advance(0.21)
    assert outcomes[0].value.reason == 'the answer is overdue'


@pytest.mark.parametrize(
    ('path', 'headers'),
    [
        ('/a b', {}),
        ('/a\r\nX: y', {}),
        ('/é', {}),
        ('/', {'X': 'a\r\nY: b'}),
        ('/', {'X': ' a'}),
    ],
)
def test_a_text_that_would_become_another_line_is_not_sent(
    clock, path, headers
):
    # Guards against a name that adds a header or a request.
    connection, outcomes = _requested(clock, TIMEOUT_S)
    connection.dataReceived(HEAD + b'x' * 20)
    connection.transport.clear()
    reply = connection.request('GET', path, b'', TIMEOUT_S, headers)
    reply.addErrback(outcomes.append)
    assert not outcomes[-1].value.sent
    assert not connection.transport.value()
    assert connection.usable and not connection.busy
