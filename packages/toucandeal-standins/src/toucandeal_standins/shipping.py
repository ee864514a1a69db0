"""The asynchronous shipping of a server's log to its peers.

The primary sends what a peer lacks; the peer refuses lower terms than its
own, and drops a tail that diverges from the sender's log.
"""

import msgspec
from twisted.internet import defer

from toucandeal_standins.database import Entry
from toucandeald.http_client import HttpRequestError, connect

__all__ = ['Append', 'Shipper', 'accept']

HEARTBEAT_S = 0.025
TIMEOUT_S = 0.5
BATCH = 256  # entries a message


class Append(msgspec.Struct):
    """Entries that follow ``(previous_term, previous_index)``."""

    term: int
    previous_term: int
    previous_index: int
    entries: list[Entry]


class Accepted(msgspec.Struct):
    """A peer's answer: whether it took the entries, and its last index."""

    accepted: bool
    term: int
    index: int


def accept(server, append: Append) -> Accepted:
    """Take in entries from a primary."""
    database = server.database
    if append.term < server.term or append.term < server.promoted_term:
        return Accepted(False, server.term, database.index)
    if append.term > server.term:
        server.term = append.term
    if append.term == server.promoted_term:
        return Accepted(False, server.term, database.index)
    server.upstream_at = _now()
    if server.faults.paused:
        return Accepted(True, server.term, database.index)
    previous = append.previous_index
    if previous > database.index:
        return Accepted(False, server.term, database.index)
    if database.term_at(previous) != append.previous_term:
        return Accepted(False, server.term, previous - 1)
    for index, entry in enumerate(append.entries, previous + 1):
        _append_entry(database, index, entry)
    return Accepted(True, server.term, previous + len(append.entries))


def _append_entry(database, index: int, entry: Entry) -> None:
    if index <= database.index:
        if database.term_at(index) == entry.term:
            return
        database.truncate(index - 1)
    database.append(entry)


def _now() -> float:
    from twisted.internet import reactor

    return reactor.seconds()


class Shipper:
    """Sends a server's log to one peer."""

    def __init__(self, reactor, server, address: str) -> None:
        """Start sending heartbeats."""
        self._reactor = reactor
        self._server = server
        self._address = address
        self._connection = None
        self._sending = False
        self._again = False
        self._next = 0
        self._shipped_term = 0
        reactor.callWhenRunning(self._beat)

    def wake(self) -> None:
        """Send now, or right after the message under way."""
        self._again = True
        if not self._sending:
            self._send()

    def _beat(self) -> None:
        self._reactor.callLater(HEARTBEAT_S, self._beat)
        if not self._sending:
            self._send()

    def _is_idle(self) -> bool:
        server = self._server
        return not server.promoted_term or (
            server.faults.partitioned or server.faults.frozen
        )

    @defer.inlineCallbacks
    def _send(self):
        if self._is_idle():
            return
        self._sending = True
        self._again = False
        try:
            yield self._send_once()
        except HttpRequestError:
            self._connection = None
            self._again = False
        self._sending = False
        if self._again:
            self._send()

    @defer.inlineCallbacks
    def _send_once(self):
        server = self._server
        if self._connection is None:
            self._connection = yield connect(
                self._reactor, self._address, TIMEOUT_S
            )
        if self._shipped_term != server.promoted_term:
            self._shipped_term = server.promoted_term
            self._next = server.database.index
        database = server.database
        previous = min(self._next, database.index)
        append = Append(
            server.promoted_term,
            database.term_at(previous),
            previous,
            database.log[previous : previous + BATCH],
        )
        reply = yield self._connection.request(
            'POST', '/append', msgspec.json.encode(append), TIMEOUT_S
        )
        if reply.status != 200:
            return
        accepted = msgspec.json.decode(reply.body, type=Accepted)
        if accepted.term > server.promoted_term:
            return
        behind = accepted.index < database.index
        self._again = self._again or (behind and accepted.index != previous)
        self._next = max(accepted.index, 0)
