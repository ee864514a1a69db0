"""An HTTP/1.1 client connection without pipelining.

A connection whose reply times out or is malformed is closed and not reused, so
that a late reply can't be matched to a later request.

A request with a deadline is not delivered late: it is not sent after the
deadline, and the kernel gives up what it has not delivered by then, also if the
process is stopped or killed meanwhile.
"""

import math
import socket
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

import httptools
from twisted.internet import defer, protocol

from toucandeald.steady_clock import steady_seconds

__all__ = [
    'HttpConnection',
    'HttpReply',
    'HttpRequestError',
    'connect',
    'host_port',
]

MAX_PORT = 65535
MAX_REPLY_BYTES = 67_108_864
_MS_PER_S = 1000
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class HttpReply(NamedTuple):
    """A complete HTTP reply; header names are in lower case."""

    status: int
    body: bytes
    headers: dict[bytes, bytes]


class HttpRequestError(Exception):
    """No complete reply arrived; `sent` is whether the request was sent."""

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Initialize with the reason of the failure."""
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


def host_port(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    Raises
    ------
    ValueError
        The address does not have this form, or the port is out of range.

    Examples
    --------
    >>> host_port('127.0.0.1:80')
    ('127.0.0.1', 80)
    >>> host_port('127.0.0.1:65536')
    Traceback (most recent call last):
    ...
    ValueError: '127.0.0.1:65536' is not of the form HOST:PORT
    """
    host, _, port = address.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not (host and is_number and int(port) <= MAX_PORT):
        raise ValueError(f'{address!r} is not of the form HOST:PORT')
    return host, int(port)


class HttpConnection(protocol.Protocol):
    """A persistent connection with at most one outstanding request."""

    def __init__(self, clock) -> None:
        """Initialize with the reactor that schedules request timeouts."""
        self.usable = False
        self.on_closed: Callable[[], None] = lambda: None
        self._clock = clock
        self._parser: httptools.HttpResponseParser | None = None
        self._pending_reply: defer.Deferred | None = None
        self._timer = None
        self._progress_timeout_s = 0.0
        self._deadline = math.inf
        self._chunks: list[bytes] = []
        self._size = 0
        self._headers: dict[bytes, bytes] = {}
        self._reply: HttpReply | None = None
        self._message_count = 0
        self._keep_alive = False

    @property
    def busy(self) -> bool:
        """Return whether a reply is outstanding."""
        return self._pending_reply is not None

    def connectionMade(self) -> None:  # noqa: N802
        """Mark the connection as usable and disable Nagle's algorithm."""
        self.usable = True
        self.transport.setTcpNoDelay(True)

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: Mapping[str, str] = _NO_HEADERS,
        progress_timeout_s: float = 0,
        deadline: float = math.inf,
    ) -> defer.Deferred:
        """Send a request.

        Parameters
        ----------
        method : str
        path : str
            Percent-encoded.
        body : bytes
        timeout_s : float
            The connection is closed if the reply is not complete by then.
        headers : mapping of str to str
            Additional headers by name.
        progress_timeout_s : float
            Each part of the reply that arrives extends the time limit to at
            least this much from then, in seconds.
        deadline : float
            In seconds of the steady clock. The request is not delivered after
            it, and its reply is not waited for any longer.

        Returns
        -------
        Deferred of HttpReply
            Fails with :class:`HttpRequestError`.
        """
        if not self.usable or self.busy:
            return defer.fail(
                HttpRequestError('the connection is closed', sent=False)
            )
        try:
            head = _encode_head(method, path, headers, len(body))
        except ValueError as error:
            return defer.fail(HttpRequestError(str(error), sent=False))
        self._parser = httptools.HttpResponseParser(self)
        self._chunks = []
        self._headers = {}
        self._reply = None
        self._message_count = 0
        self._size = 0
        self._progress_timeout_s = progress_timeout_s
        self._deadline = deadline
        # The process may have been paused until here.
        remaining_s = deadline - steady_seconds()
        if remaining_s <= 0:
            self.close()
            return defer.fail(
                HttpRequestError('the deadline has passed', sent=False)
            )
        self._pending_reply = defer.Deferred()
        self._timer = self._clock.callLater(
            max(min(timeout_s, remaining_s), 0),
            self._fail,
            'the answer is overdue',
        )
        if deadline < math.inf:
            self._limit_delivery(remaining_s)
        self.transport.write(head + body)
        if deadline < math.inf:
            # Not in the next iteration of the event loop, which may be late.
            self.transport.doWrite()
        return self._pending_reply

    def close(self) -> None:
        """Close the connection immediately; an outstanding request fails."""
        self._fail('the connection was closed')

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header (called by the parser)."""
        self._headers[name.lower()] = text

    def on_body(self, chunk: bytes) -> None:
        """Collect a chunk of the body (called by the parser)."""
        self._size += len(chunk)
        self._chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Store the first complete reply (called by the parser)."""
        self._message_count += 1
        if self._message_count == 1:
            status = self._parser.get_status_code()
            body = b''.join(self._chunks)
            self._reply = HttpReply(status, body, self._headers)
            self._keep_alive = self._parser.should_keep_alive()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the parser, and deliver the reply once it is complete."""
        if self._parser is None:
            self._fail('an answer came that nobody asked for')
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail('the answer is malformed')
            return
        if self._size > MAX_REPLY_BYTES:
            self._fail('the answer is too large')
        elif self._reply is None:
            self._extend_time_limit()
        else:
            self._deliver()

    def _limit_delivery(self, seconds: float) -> None:
        """Let the kernel close the connection if data stays undelivered."""
        self.transport.getHandle().setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            max(int(seconds * _MS_PER_S), 1),
        )

    def _extend_time_limit(self) -> None:
        """Allow the rest of a reply whose parts keep arriving more time."""
        extension_s = min(
            self._progress_timeout_s, self._deadline - steady_seconds()
        )
        extended_until = self._clock.seconds() + extension_s
        if self._timer is not None and extended_until > self._timer.getTime():
            self._timer.reset(extension_s)

    def _deliver(self) -> None:
        # The callback may send the next request on this connection, so the
        # state of this request is reset first. A connection that delivered
        # more than one reply is also closed first.
        pending_reply = self._pending_reply
        reply = self._reply
        keep_alive = self._keep_alive and self._message_count == 1
        self._pending_reply = None
        self._parser = None
        self._reply = None
        self._stop_timer()
        if not keep_alive:
            self.usable = False
            self.transport.loseConnection()
        pending_reply.callback(reply)

    def connectionLost(self, reason=None) -> None:  # noqa: N802
        """Fail the outstanding request."""
        del reason
        self._fail('the connection was lost')
        self.on_closed()

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _fail(self, reason: str) -> None:
        self.usable = False
        self._stop_timer()
        self.transport.abortConnection()
        pending_reply = self._pending_reply
        self._pending_reply = None
        if pending_reply is not None:
            pending_reply.errback(HttpRequestError(reason, sent=True))


def _encode_head(
    method: str, path: str, headers: Mapping[str, str], body_bytes: int
) -> bytes:
    """Encode the lines before the body.

    Raises
    ------
    ValueError
        A text would become other fields or lines.
    """
    if ' ' in path or not (path.isascii() and path.isprintable()):
        raise ValueError(f'{path!r} is not a percent-encoded path')
    for name, text in headers.items():
        if not text.isprintable() or text != text.strip():
            raise ValueError(f'{text!r} cannot be the header {name}')
    lines = (
        f'{method} {path} HTTP/1.1',
        'Host: t',
        *(f'{name}: {text}' for name, text in headers.items()),
        f'Content-Length: {body_bytes}\r\n\r\n',
    )
    return '\r\n'.join(lines).encode()


def connect(reactor, address: str, timeout_s: float) -> defer.Deferred:
    """Open a connection.

    Returns
    -------
    Deferred of HttpConnection
        Fails with :class:`HttpRequestError`.
    """
    host, port = host_port(address)
    creator = protocol.ClientCreator(reactor, HttpConnection, reactor)
    opened = creator.connectTCP(host, port, timeout_s)

    def failed(failure):
        raise HttpRequestError(failure.getErrorMessage(), sent=False)

    return opened.addErrback(failed)
