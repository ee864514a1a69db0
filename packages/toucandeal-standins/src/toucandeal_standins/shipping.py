"""Asynchronous log shipping from a primary to its peers.

The primary sends the entries that a peer is missing. The peer rejects terms
lower than its own and truncates entries that diverge from the sender's log.
"""

import msgspec
from twisted.internet import defer

from toucandeal_standins.database import Entry
from toucandeald.http_client import HttpRequestError, connect

__all__ = ['AppendRequest', 'LogShipper', 'append_entries']

HEARTBEAT_S = 0.025
TIMEOUT_S = 0.5
BATCH_SIZE = 256  # entries per message


class AppendRequest(msgspec.Struct):
    """Log entries that follow ``(previous_term, previous_index)``."""

    term: int
    previous_term: int
    previous_index: int
    entries: list[Entry]


class AppendReply(msgspec.Struct):
    """A peer's answer; the sender continues after `index`."""

    accepted: bool
    term: int
    index: int


def append_entries(server, append: AppendRequest) -> AppendReply:
    """Append entries from a primary if they match the local log."""
    database = server.database
    if append.term < server.term or append.term < server.promoted_term:
        return AppendReply(False, server.term, database.index)
    if append.term > server.term:
        server.term = append.term
    if append.term == server.promoted_term:
        return AppendReply(False, server.term, database.index)
    server.upstream_contact_at = _now()
    if server.faults.paused:
        return AppendReply(True, server.term, database.index)
    previous = append.previous_index
    if previous > database.index:
        return AppendReply(False, server.term, database.index)
    if database.term_at(previous) != append.previous_term:
        return AppendReply(False, server.term, previous - 1)
    for index, entry in enumerate(append.entries, previous + 1):
        _append_entry(database, index, entry)
    return AppendReply(True, server.term, previous + len(append.entries))


def _append_entry(database, index: int, entry: Entry) -> None:
    if index <= database.index:
        if database.term_at(index) == entry.term:
            return
        database.truncate(index - 1)
    database.append(entry)


def _now() -> float:
    from twisted.internet import reactor

    return reactor.seconds()


class LogShipper:
    """Ships a server's log to one peer."""

    def __init__(self, reactor, server, address: str) -> None:
        """Schedule heartbeats from the start of the reactor."""
        self._reactor = reactor
        self._server = server
        self._address = address
        self._connection = None
        self._sending = False
        self._has_pending = False
        self._next_index = 0
        self._sent_term = 0
        reactor.callWhenRunning(self._send_heartbeat)

    def send_now(self) -> None:
        """Send now, or right after the message in flight."""
        self._has_pending = True
        if not self._sending:
            self._send()

    def _send_heartbeat(self) -> None:
        self._reactor.callLater(HEARTBEAT_S, self._send_heartbeat)
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
        self._has_pending = False
        try:
            yield self._send_once()
        except HttpRequestError:
            self._connection = None
            self._has_pending = False
        self._sending = False
        if self._has_pending:
            self._send()

    @defer.inlineCallbacks
    def _send_once(self):
        server = self._server
        if self._connection is None:
            self._connection = yield connect(
                self._reactor, self._address, TIMEOUT_S
            )
        if self._sent_term != server.promoted_term:
            self._sent_term = server.promoted_term
            self._next_index = server.database.index
        database = server.database
        previous = min(self._next_index, database.index)
        append = AppendRequest(
            server.promoted_term,
            database.term_at(previous),
            previous,
            database.log[previous : previous + BATCH_SIZE],
        )
        reply = yield self._connection.request(
            'POST', '/append', msgspec.json.encode(append), TIMEOUT_S
        )
        if reply.status != 200:
            return
        accepted = msgspec.json.decode(reply.body, type=AppendReply)
        if accepted.term > server.promoted_term:
            return
        outdated = accepted.index < database.index
        self._has_pending = self._has_pending or (
            outdated and accepted.index != previous
        )
        self._next_index = max(accepted.index, 0)
