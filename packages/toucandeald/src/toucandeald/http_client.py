"""An HTTP/1.1 client connection that carries one request at a time.

A connection whose answer is overdue or malformed is closed and never used
again, so a late answer can't be taken for the answer to a later request.
"""

from collections.abc import Callable
from typing import NamedTuple

import httptools
from twisted.internet import defer, endpoints, protocol

__all__ = ['HttpConnection', 'HttpLost', 'HttpReply', 'connect', 'host_port']

MAX_REPLY_BYTES = 67_108_864


class HttpReply(NamedTuple):
    """A whole answer."""

    status: int
    body: bytes
    headers: dict[bytes, bytes]


class HttpLost(Exception):
    """No whole answer came; `sent` tells whether the request left."""

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


def host_port(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    Examples
    --------
    >>> host_port('127.0.0.1:80')
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


class HttpConnection(protocol.Protocol):
    """One kept-alive connection; at most one request is outstanding."""

    def __init__(self, clock) -> None:
        """Take the reactor that times the answers."""
        self.usable = False
        self.on_closed: Callable[[], None] = lambda: None
        self._clock = clock
        self._parser: httptools.HttpResponseParser | None = None
        self._answer: defer.Deferred | None = None
        self._timer = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._headers: dict[bytes, bytes] = {}
        self._reply: HttpReply | None = None
        self._messages = 0
        self._keep = False

    @property
    def busy(self) -> bool:
        """Return whether an answer is outstanding."""
        return self._answer is not None

    def connectionMade(self) -> None:  # noqa: N802
        """Note that requests may be sent."""
        self.usable = True
        self.transport.setTcpNoDelay(True)

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: str = '',
    ) -> defer.Deferred:
        """Send a request.

        Parameters
        ----------
        method, path : str
        body : bytes
        timeout_s : float
            The connection is closed if no whole answer is there by then.
        headers : str
            Further header lines, each with its line end.

        Returns
        -------
        Deferred of HttpReply
            Fails with :class:`HttpLost`.
        """
        if not self.usable or self.busy:
            return defer.fail(HttpLost('the connection is closed', sent=False))
        self._answer = defer.Deferred()
        self._parser = httptools.HttpResponseParser(self)
        self._chunks = []
        self._headers = {}
        self._reply = None
        self._messages = 0
        self._size = 0
        self._timer = self._clock.callLater(
            max(timeout_s, 0), self._fail, 'the answer is overdue'
        )
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: t\r\n'
            f'{headers}Content-Length: {len(body)}\r\n\r\n'
        )
        self.transport.write(head.encode('ascii') + body)
        return self._answer

    def close(self) -> None:
        """Close the connection at once."""
        self._fail('the connection was closed')

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header (called by the parser)."""
        self._headers[name.lower()] = text

    def on_body(self, chunk: bytes) -> None:
        """Collect a part of the body (called by the parser)."""
        self._size += len(chunk)
        self._chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Keep the first whole answer (called by the parser)."""
        self._messages += 1
        if self._messages == 1:
            status = self._parser.get_status_code()
            body = b''.join(self._chunks)
            self._reply = HttpReply(status, body, self._headers)
            self._keep = self._parser.should_keep_alive()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the parser, and deliver the answer once it is whole."""
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
        elif self._reply is not None:
            self._deliver()

    def _deliver(self) -> None:
        # The next request may leave from within the callback, so the state
        # of this one is gone before, and a connection that sent more than
        # was asked for is closed before.
        answer = self._answer
        reply = self._reply
        keep = self._keep and self._messages == 1
        self._answer = None
        self._parser = None
        self._reply = None
        self._stop_timer()
        if not keep:
            self.usable = False
            self.transport.loseConnection()
        answer.callback(reply)

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
        answer = self._answer
        self._answer = None
        if answer is not None:
            answer.errback(HttpLost(reason, sent=True))


def connect(reactor, address: str, timeout_s: float) -> defer.Deferred:
    """Open a connection.

    Returns
    -------
    Deferred of HttpConnection
        Fails with :class:`HttpLost`.
    """
    host, port = host_port(address)
    endpoint = endpoints.TCP4ClientEndpoint(
        reactor, host, port, timeout=timeout_s
    )
    factory = protocol.Factory.forProtocol(lambda: HttpConnection(reactor))
    opened = endpoint.connect(factory)

    def failed(failure):
        raise HttpLost(failure.getErrorMessage(), sent=False)

    return opened.addErrback(failed)
