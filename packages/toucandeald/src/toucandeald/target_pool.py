"""The bounded pool of connections to one target."""

from collections import deque
from http import HTTPStatus

from twisted.internet import defer

from toucandeald.http_client import HttpConnection, HttpRequestError, connect

__all__ = ['TargetPool']

CONNECT_TIMEOUT_S = 0.5
STATUS_TIMEOUT_S = 0.5
RECONNECT_DELAY_S = 0.05
CLOSED = 'the target is no longer declared'
HTTP_HEAD_BYTES = 100  # assumed size of the heads of a request and its reply


class TargetPool:
    """Data connections opened in advance, and one control connection.

    Opening a connection is slow, so the pool keeps as many connections open
    as its size allows and replaces those that close.
    """

    def __init__(self, reactor, address: str) -> None:
        """Initialize an empty pool of size 0."""
        self.address = address
        self._reactor = reactor
        self._size = 0
        self._closed = False
        self._idle: deque[HttpConnection] = deque()
        self._connections: set[HttpConnection] = set()
        self._opening_count = 0
        self._connection_requests: deque[defer.Deferred] = deque()
        self._control: HttpConnection | None = None
        self._control_lock = defer.DeferredLock()
        self._fill_call = None
        self.control_bytes = 0

    @property
    def open_connections(self) -> int:
        """Return the number of data connections, including those opening."""
        return len(self._connections) + self._opening_count

    def resize(self, size: int) -> None:
        """Set the pool size, and close idle connections above it."""
        self._size = size
        while self._idle and self.open_connections > size:
            self._idle.popleft().close()
        self._fill()

    def acquire_idle(self) -> HttpConnection | None:
        """Return an idle connection, or None if there is none."""
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                return connection
        return None

    def acquire(self) -> defer.Deferred:
        """Return a Deferred of the next connection to become idle.

        Notes
        -----
        It fails with :class:`HttpRequestError`, with `sent` False, if no
        connection to the target can be opened.
        """
        if self._closed:
            return defer.fail(HttpRequestError(CLOSED, sent=False))
        connection_request = defer.Deferred()
        self._connection_requests.append(connection_request)
        self._fill()
        return connection_request

    def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool; an unusable one is replaced."""
        if not connection.usable or connection.busy:
            connection.close()
        elif self.open_connections > self._size:
            connection.close()
        elif self._connection_requests:
            self._connection_requests.popleft().callback(connection)
        else:
            self._idle.append(connection)

    @defer.inlineCallbacks
    def control(self, method: str, path: str, body: bytes, timeout_s: float):
        """Send a request on the control connection and return its reply."""
        yield self._control_lock.acquire()
        try:
            if self._control is None or not self._control.usable:
                self._control = yield connect(
                    self._reactor, self.address, timeout_s
                )
            reply = yield self._control.request(method, path, body, timeout_s)
        finally:
            self._control_lock.release()
        self.control_bytes += len(body) + len(reply.body) + HTTP_HEAD_BYTES
        if reply.status != HTTPStatus.OK:
            raise HttpRequestError('the target refused', sent=True)
        return reply

    def close(self) -> None:
        """Close all connections, and fail the requests that wait for one."""
        self._size = 0
        self._closed = True
        for connection in tuple(self._connections):
            connection.close()
        if self._control is not None:
            self._control.close()
        self._fail_waiting(CLOSED)

    def _fill(self) -> None:
        for _ in range(self._size - self.open_connections):
            self._open()

    @defer.inlineCallbacks
    def _open(self):
        self._opening_count += 1
        try:
            connection = yield connect(
                self._reactor, self.address, CONNECT_TIMEOUT_S
            )
            # A target over its connection limit rejects the first request.
            reply = yield connection.request(
                'GET', '/status', b'', STATUS_TIMEOUT_S
            )
        except HttpRequestError as error:
            self._opening_count -= 1
            self._fail_waiting(error.reason)
            return
        self._opening_count -= 1
        if reply.status != HTTPStatus.OK or not connection.usable:
            connection.close()
            self._fail_waiting('the target accepts no more connections')
            return
        self._connections.add(connection)
        connection.on_closed = lambda: self._remove(connection)
        self.release(connection)

    def _fail_waiting(self, reason: str) -> None:
        connection_requests = self._connection_requests
        self._connection_requests = deque()
        for connection_request in connection_requests:
            connection_request.errback(HttpRequestError(reason, sent=False))
        self._schedule_fill()

    def _remove(self, connection: HttpConnection) -> None:
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._schedule_fill()

    def _schedule_fill(self) -> None:
        if self._closed:
            return
        if self._fill_call is None or not self._fill_call.active():
            self._fill_call = self._reactor.callLater(
                RECONNECT_DELAY_S, self._fill
            )
