"""Callers for the demo, the bench and the tests.

As docs/PROTOCOL.md requires, a caller retries a request under the same request
key, each time through another proxy, until the request is served or the retry
window ends.
"""

import itertools
from collections import defaultdict, deque
from typing import Any, NamedTuple

import msgspec
from twisted.internet import defer, reactor, task

from toucandeald.http_client import HttpConnection, HttpRequestError, connect

__all__ = ['Answer', 'Attempt', 'Callers', 'Session']

RETRY_WINDOW_S = 8.0
TIMEOUT_S = 5.0
DEFAULT_RETRY_DELAY_S = 0.05


class Session:
    """A session, whose token is sent to whichever proxy serves the request."""

    def __init__(self, caller: str) -> None:
        """Start a session without a token."""
        self.caller = caller
        self.token = ''


class Attempt(NamedTuple):
    """One answer of a proxy; status 0 if the connection was lost."""

    status: int
    body: dict[str, Any]
    proxy: int


class Answer(NamedTuple):
    """The final outcome of a request, with all its attempts."""

    served: bool
    elapsed_s: float
    attempts: tuple[Attempt, ...]

    @property
    def body(self) -> dict[str, Any]:
        """Return the body of the last attempt."""
        return self.attempts[-1].body


class Callers:
    """HTTP client of all proxies, which reuses idle connections."""

    def __init__(self, addresses: list[str]) -> None:
        """Use the addresses on which the proxies listen for callers."""
        self.addresses = addresses
        self.lost_after_send = 0
        self.give_up_s = RETRY_WINDOW_S
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
        headers = {'Toucandeal-Session': token} if token else {}
        reply = yield connection.request(
            'POST', path, msgspec.json.encode(body), TIMEOUT_S, headers
        )
        if connection.usable:
            self._idle[address].append(connection)
        return reply

    @defer.inlineCallbacks
    def attempt(self, session: Session, path: str, body: Any, proxy: int):
        """Send one request of a session and return its outcome."""
        address = self.addresses[proxy % len(self.addresses)]
        try:
            reply = yield self.post(address, path, body, session.token)
        except HttpRequestError as error:
            if error.sent:
                self.lost_after_send += 1
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
        """Retry until the answer is final or the retry window ends."""
        if give_up_s is None:
            give_up_s = self.give_up_s
        started = reactor.seconds()
        attempts: list[Attempt] = []
        while True:
            proxy_number = next(self._next_proxy) if proxy is None else proxy
            proxy = None
            if attempts and 'class' in body:
                waited_s = reactor.seconds() - started
                body = {**body, 'waited_ms': waited_s * 1000}
            last = yield self.attempt(session, path, body, proxy_number)
            attempts.append(last)
            elapsed_s = reactor.seconds() - started
            if last.status not in {0, 503, 504} or elapsed_s > give_up_s:
                return Answer(last.status == 200, elapsed_s, tuple(attempts))
            delay_s = (
                last.body.get('retry_after_ms', DEFAULT_RETRY_DELAY_S * 1000)
                / 1000
            )
            yield task.deferLater(reactor, delay_s, lambda: None)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
