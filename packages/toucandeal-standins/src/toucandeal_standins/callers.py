"""Callers for the demo, the bench and the tests.

A caller repeats a request under the same request key until it is served or it
gives up, on another proxy each time, as docs/PROTOCOL.md asks of callers.
"""

import itertools
from collections import defaultdict, deque
from typing import Any, NamedTuple

import msgspec
from twisted.internet import defer, reactor, task

from toucandeald.http_client import HttpConnection, HttpRequestError, connect

__all__ = ['Answer', 'Attempt', 'Callers', 'Session']

GIVE_UP_S = 8.0
TIMEOUT_S = 5.0
LOST_RETRY_S = 0.05


class Session:
    """The token of a session, which roams with it."""

    def __init__(self, caller: str) -> None:
        """Start a new session of a caller."""
        self.caller = caller
        self.token = ''


class Attempt(NamedTuple):
    """One answer of a proxy; status 0 where the connection was lost."""

    status: int
    body: dict[str, Any]
    proxy: int


class Answer(NamedTuple):
    """What a request came to in the end."""

    served: bool
    elapsed_s: float
    attempts: tuple[Attempt, ...]

    @property
    def body(self) -> dict[str, Any]:
        """Return the body of the last attempt."""
        return self.attempts[-1].body


class Callers:
    """Connections to all proxies."""

    def __init__(self, addresses: list[str]) -> None:
        """Take the proxies' addresses for callers."""
        self.addresses = addresses
        self.cut = 0
        self.give_up_s = GIVE_UP_S
        self._idle: dict[str, deque[HttpConnection]] = defaultdict(deque)
        self._next_proxy = itertools.count()

    @defer.inlineCallbacks
    def _connection(self, address: str):
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.usable:
                return connection
        opened = yield connect(reactor, address, TIMEOUT_S)
        return opened

    @defer.inlineCallbacks
    def post(self, address: str, path: str, body: Any, token: str = ''):
        """Send one request to one proxy and return its HTTP reply."""
        connection = yield self._connection(address)
        header = f'Toucandeal-Session: {token}\r\n' if token else ''
        reply = yield connection.request(
            'POST', path, msgspec.json.encode(body), TIMEOUT_S, header
        )
        if connection.usable:
            self._idle[address].append(connection)
        return reply

    @defer.inlineCallbacks
    def attempt(self, session: Session, path: str, body: Any, proxy: int):
        """Send one request of a session and return the attempt."""
        address = self.addresses[proxy % len(self.addresses)]
        try:
            reply = yield self.post(address, path, body, session.token)
        except HttpRequestError as error:
            if error.sent:
                self.cut += 1
            return Attempt(0, {'reason': error.reason}, proxy)
        token = reply.headers.get(b'toucandeal-session', b'').decode()
        session.token = token or session.token
        return Attempt(reply.status, msgspec.json.decode(reply.body), proxy)

    @defer.inlineCallbacks
    def request(
        self,
        session: Session,
        path: str,
        body: Any,
        *,
        proxy: int | None = None,
        give_up_s: float | None = None,
    ):
        """Repeat a request until it is served; return the answer."""
        if give_up_s is None:
            give_up_s = self.give_up_s
        started = reactor.seconds()
        attempts: list[Attempt] = []
        while True:
            number = next(self._next_proxy) if proxy is None else proxy
            proxy = None
            if attempts and 'class' in body:
                waited_s = reactor.seconds() - started
                body = {**body, 'waited_ms': waited_s * 1000}
            last = yield self.attempt(session, path, body, number)
            attempts.append(last)
            elapsed = reactor.seconds() - started
            if last.status not in {0, 503, 504} or elapsed > give_up_s:
                return Answer(last.status == 200, elapsed, tuple(attempts))
            wait = last.body.get('retry_after_ms', LOST_RETRY_S * 1000) / 1000
            yield task.deferLater(reactor, wait, lambda: None)

    def close(self) -> None:
        """Close all connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
