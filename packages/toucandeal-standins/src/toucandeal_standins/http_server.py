"""A small HTTP/1.1 server that passes the connection to its handlers.

Handlers need the connection because a target's transaction belongs to one.
"""

from collections.abc import Callable
from typing import Any

import httptools
import msgspec
from twisted.internet import defer, protocol

__all__ = ['Connection', 'HttpError', 'serve']

_REASONS = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    409: 'Conflict',
    503: 'Service Unavailable',
}


class HttpError(Exception):
    """A response with a status other than 200."""

    def __init__(self, status: int, error: str) -> None:
        """Store the status and the error text."""
        super().__init__(error)
        self.status = status
        self.error = error


class Connection(protocol.Protocol):
    """One client connection, with simulated network latency."""

    def __init__(
        self, handler, on_closed, delay_s: Callable[[], float]
    ) -> None:
        """Set the handlers of requests and closing, and the latency."""
        self._handler = handler
        self._on_closed = on_closed
        self._delay_s = delay_s
        self._parser: httptools.HttpRequestParser | None = None
        self._path = b''
        self._chunks: list[bytes] = []
        self.requests = 0
        self.is_open = False

    def connectionMade(self) -> None:  # noqa: N802
        """Create the parser of the new connection."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self._parser = httptools.HttpRequestParser(self)

    def connectionLost(self, reason=None) -> None:  # noqa: N802
        """Notify the owner."""
        del reason
        self.is_open = False
        self._on_closed(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received data; malformed data aborts the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()

    def on_url(self, url: bytes) -> None:
        """Append a part of the path (called by the parser)."""
        self._path += url

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body (called by the parser)."""
        self._chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Handle a complete request (called by the parser)."""
        method = self._parser.get_method().decode()
        path, body = self._path.decode(), b''.join(self._chunks)
        self._path = b''
        self._chunks = []
        self.requests += 1
        self._call_after_delay(self._handle, method, path, body)

    def drop(self) -> None:
        """Abort the connection without a response."""
        self.transport.abortConnection()

    def _call_after_delay(self, function, *arguments) -> None:
        from twisted.internet import reactor

        delay = self._delay_s()
        if delay > 0:
            reactor.callLater(delay, function, *arguments)
        else:
            function(*arguments)

    def _handle(self, method: str, path: str, body: bytes) -> None:
        if not self.is_open:
            return  # closed during the simulated latency
        answer = defer.maybeDeferred(self._handler, self, method, path, body)
        answer.addCallbacks(self._succeeded, self._failed)

    def _succeeded(self, answer: Any) -> None:
        if answer is not None:
            self._call_after_delay(
                self._write, 200, msgspec.json.encode(answer)
            )

    def _failed(self, failure) -> None:
        if failure.check(HttpError):
            status = failure.value.status
        else:
            status = 400
        body = msgspec.json.encode({'error': failure.getErrorMessage()})
        self._call_after_delay(self._write, status, body)

    def _write(self, status: int, body: bytes) -> None:
        if not self.is_open:
            return
        head = (
            f'HTTP/1.1 {status} {_REASONS.get(status, "Error")}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        self.transport.write(head.encode('ascii') + body)


def serve(reactor, port: int, handler, on_closed=None, delay_s=None):
    """Listen on a loopback port; 0 chooses a free port.

    Returns
    -------
    Deferred of IListeningPort
    """
    from twisted.internet import endpoints

    factory = protocol.Factory.forProtocol(
        lambda: Connection(
            handler, on_closed or (lambda _: None), delay_s or float
        )
    )
    endpoint = endpoints.TCP4ServerEndpoint(
        reactor, port, backlog=512, interface='127.0.0.1'
    )
    return endpoint.listen(factory)
