"""The bounded pool of connections to one target."""

from collections import deque
from http import HTTPStatus

from twisted.internet import defer

from toucandeald.http_client import HttpConnection, HttpLost, connect

__all__ = ['TargetPool']

CONNECT_TIMEOUT_S = 0.5
CHECK_TIMEOUT_S = 0.5
RECONNECT_S = 0.05
HEAD_BYTES = 100  # of a request's and its answer's HTTP heads


class TargetPool:
    """Data connections, opened ahead of need, and one for control.

    Opening a connection takes long, so the pool keeps as many open as its
    size allows and replaces the ones that close.
    """

    def __init__(self, reactor, address: str) -> None:
        """Start with no connections allowed."""
        self.address = address
        self._reactor = reactor
        self._size = 0
        self._idle: deque[HttpConnection] = deque()
        self._members: set[HttpConnection] = set()
        self._opening = 0
        self._waiting: deque[defer.Deferred] = deque()
        self._control: HttpConnection | None = None
        self._control_lock = defer.DeferredLock()
        self._retry = None
        self.control_bytes = 0

    @property
    def open_connections(self) -> int:
        """Return the number of data connections, those being opened too."""
        return len(self._members) + self._opening

    def resize(self, size: int) -> None:
        """Allow `size` data connections; idle ones beyond it are closed."""
        self._size = size
        while self._idle and self.open_connections > size:
            self._idle.popleft().close()
        self._fill()

    def take_idle(self) -> HttpConnection | None:
        """Return an idle connection, or None."""
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                return connection
        return None

    def acquire(self) -> defer.Deferred:
        """Return a Deferred of the next connection to become idle.

        Notes
        -----
        It fails with :class:`HttpLost`, `sent` being False, if the target
        accepts no connection.
        """
        waiting = defer.Deferred()
        self._waiting.append(waiting)
        self._fill()
        return waiting

    def release(self, connection: HttpConnection) -> None:
        """Take a connection back; one that is not usable is replaced."""
        if not connection.usable or connection.busy:
            connection.close()
        elif self.open_connections > self._size:
            connection.close()
        elif self._waiting:
            self._waiting.popleft().callback(connection)
        else:
            self._idle.append(connection)

    @defer.inlineCallbacks
    def control(self, method: str, path: str, body: bytes, timeout_s: float):
        """Send a control request and return its answer."""
        yield self._control_lock.acquire()
        try:
            if self._control is None or not self._control.usable:
                self._control = yield connect(
                    self._reactor, self.address, timeout_s
                )
            reply = yield self._control.request(method, path, body, timeout_s)
        finally:
            self._control_lock.release()
        self.control_bytes += len(body) + len(reply.body) + HEAD_BYTES
        if reply.status != HTTPStatus.OK:
            raise HttpLost('the target refused', sent=True)
        return reply

    def close(self) -> None:
        """Close everything."""
        self._size = 0
        for connection in tuple(self._members):
            connection.close()
        if self._control is not None:
            self._control.close()

    def _fill(self) -> None:
        for _ in range(self._size - self.open_connections):
            self._open()

    @defer.inlineCallbacks
    def _open(self):
        self._opening += 1
        try:
            connection = yield connect(
                self._reactor, self.address, CONNECT_TIMEOUT_S
            )
            # A target that is over its limit says so on the first request.
            reply = yield connection.request(
                'GET', '/status', b'', CHECK_TIMEOUT_S
            )
        except HttpLost as error:
            self._opening -= 1
            self._failed(error.reason)
            return
        self._opening -= 1
        if reply.status != HTTPStatus.OK or not connection.usable:
            connection.close()
            self._failed('the target accepts no more connections')
            return
        self._members.add(connection)
        connection.on_closed = lambda: self._closed(connection)
        self.release(connection)

    def _failed(self, reason: str) -> None:
        waiting = self._waiting
        self._waiting = deque()
        for waiter in waiting:
            waiter.errback(HttpLost(reason, sent=False))
        self._schedule_fill()

    def _closed(self, connection: HttpConnection) -> None:
        self._members.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._schedule_fill()

    def _schedule_fill(self) -> None:
        if self._retry is None or not self._retry.active():
            self._retry = self._reactor.callLater(RECONNECT_S, self._fill)
