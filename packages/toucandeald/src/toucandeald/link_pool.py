"""The connections to one server, shared by all sessions of this proxy."""

import itertools
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import defer

from toucandeal.caller_sessions import PreparedShape, setup_steps
from toucandeal.fleet import Server
from toucandeal.statement_queue import (
    Claim,
    Service,
    StatementQueue,
    WaitingStatement,
    enter,
    first_in_line,
    is_worth_waiting,
    leave,
)
from toucandeald.faults import run
from toucandeald.logs import log_event
from toucandeald.session_messages import AnswerKind, ServerAnswer

__all__ = ['LinkPool', 'OpenLink']

OPEN_TIMEOUT_S = 0.6  # a handshake may wait for one of the server's slots
AGAIN_S = 0.1  # after a failed opening
FULL_AGAIN_S = 0.3  # after a refusal because of too many connections
FIRST_HOLD_S = 0.03  # assumed until a connection has been given back
HOLD_WEIGHT = 0.1  # of a new observation in the moving average
IDLE_S = 4.0  # a connection that was not needed for so long is closed

OpenLink = Callable[[Server, float], Coroutine[Any, Any, Any]]


class LinkPool:
    """Idle and open connections, and the statements that wait for one."""

    def __init__(
        self,
        clock,
        server: Server,
        open_link: OpenLink,
        observed: Callable[[Server, ServerAnswer | None], None],
    ) -> None:
        """Take what opens a connection and what learns of the attempts."""
        self.server = server
        self.limit = 1
        self.opened = 0
        self.keeps_idle = True
        self._clock = clock
        self._open_link = open_link
        self._observed = observed
        self._hold_s = FIRST_HOLD_S
        self._peak = 0
        self._idle: dict[Any, float] = {}  # and since when
        self._links: set = set()
        self._granted_at: dict[Any, float] = {}
        self._opening = 0
        self._queue = StatementQueue()
        self._waiters: dict[int, defer.Deferred] = {}
        self._identities = itertools.count()
        self._next_open_at = 0.0
        self._closed = False

    @property
    def size(self) -> int:
        """Return the number of connections, with those being opened."""
        return len(self._links) + self._opening

    @property
    def waiting(self) -> int:
        """Return the number of statements that wait."""
        return len(self._queue)

    @property
    def peak(self) -> int:
        """Return the most that could have been used at once lately."""
        return self._peak

    @property
    def links(self) -> frozenset:
        """Return the open connections."""
        return frozenset(self._links)

    async def acquire(
        self, values: dict[str, str], shapes: list[PreparedShape], claim: Claim
    ):
        """Return a connection, or None if there is none in time.

        The idle connection that needs the fewest steps to fit is taken. Where
        all are busy, the statement waits unless that is surely of no use.
        """
        link = self._take_idle(values, shapes)
        if link is None:
            self._open_more()
            link = self._take_idle(values, shapes)
        if link is not None:
            return link
        now = self._clock.seconds()
        if not self.size or not self._is_worth_waiting(claim):
            return None
        statement = WaitingStatement(claim, next(self._identities))
        waiter: defer.Deferred = defer.Deferred()
        timers = [
            self._clock.callLater(max(due_at - now, 0), review, statement)
            for due_at, review in (
                (claim.late_at, self._turned_late),
                (claim.ends_at, self._give_up),
            )
        ]
        enter(self._queue, statement)
        self._waiters[statement.identity] = waiter
        self._note_peak()
        link = await waiter
        for timer in timers:
            if timer.active():
                timer.cancel()
        return link

    def release(self, link) -> None:
        """Take back a connection that is outside a transaction."""
        if link not in self._links:
            return
        self._note_returned(link)
        if not link.usable or self._closed or len(self._links) > self.limit:
            self.discard(link)
        elif self._queue:
            first = first_in_line(self._queue, self._clock.seconds())
            self._answer(first, link)
        elif link.borrowed:
            self._links.discard(link)
            link.give_back()
        elif self.keeps_idle:
            self._idle[link] = self._clock.seconds()
        else:
            self.discard(link)

    def discard(self, link) -> None:
        """Close a connection whose state is not known."""
        self._links.discard(link)
        self._note_returned(link)
        self._idle.pop(link, None)
        link.close()
        if self._queue:
            self._open_more()
        self._fail_waiters()

    def trim(self, kept: int) -> None:
        """Close idle connections beyond the limit, and unused ones.

        Connections of a proxy that loses power stay open at the server for a
        while, so those that nobody needs would be in the way of its return.

        Parameters
        ----------
        kept : int
            As many stay open however long they are idle.
        """
        unused_since = self._clock.seconds() - IDLE_S
        for link, since in tuple(self._idle.items()):
            surplus = len(self._links) - min(kept, self.limit)
            if surplus > 0 and (
                len(self._links) > self.limit or since < unused_since
            ):
                self.discard(link)

    def begin_period(self) -> None:
        """Observe the peak of the next period."""
        self._peak = len(self._granted_at) + len(self._queue)

    def warm(self, count: int) -> None:
        """Open connections until there are `count`."""
        if self.size < min(count, self.limit):
            self._open_more()

    def close(self) -> None:
        """Close what is idle now and the rest as it is released."""
        self._closed = True
        for link in tuple(self._idle):
            self.discard(link)
        self._fail_waiters()

    def _take_idle(self, values, shapes):
        self._idle = {
            link: since for link, since in self._idle.items() if link.usable
        }
        if not self._idle:
            return None
        best = min(
            self._idle,
            key=lambda link: len(setup_steps(link.laid, values, shapes)),
        )
        del self._idle[best]
        self._grant(best)
        return best

    def _grant(self, link) -> None:
        self._granted_at[link] = self._clock.seconds()
        self._note_peak()

    def _note_peak(self) -> None:
        wanted = len(self._granted_at) + len(self._queue)
        self._peak = max(self._peak, wanted)

    def _note_returned(self, link) -> None:
        granted_at = self._granted_at.pop(link, None)
        if granted_at is not None:
            held_s = self._clock.seconds() - granted_at
            self._hold_s += HOLD_WEIGHT * (held_s - self._hold_s)

    def _answer(self, statement: WaitingStatement, link) -> None:
        leave(self._queue, statement, served=link is not None)
        if link is not None:
            self._grant(link)
        self._waiters.pop(statement.identity).callback(link)

    def _is_worth_waiting(self, claim: Claim) -> bool:
        service = Service(self.size, self._hold_s)
        now = self._clock.seconds()
        return is_worth_waiting(self._queue, claim, service, now)

    def _turned_late(self, statement: WaitingStatement) -> None:
        if not self._is_worth_waiting(statement.claim):
            self._give_up(statement)

    def _give_up(self, statement: WaitingStatement) -> None:
        if statement.identity in self._waiters:
            self._answer(statement, None)

    def _fail_waiters(self) -> None:
        """Let nobody wait for connections that nobody is opening."""
        while self._queue and not self.size:
            first = first_in_line(self._queue, self._clock.seconds())
            self._answer(first, None)

    def _open_more(self) -> None:
        if self._closed or self.size >= self.limit:
            return
        if self._clock.seconds() < self._next_open_at:
            return
        self._opening += 1
        run(self._open())

    async def _open(self) -> None:
        try:
            opened = await self._open_link(self.server, OPEN_TIMEOUT_S)
        finally:
            self._opening -= 1
        if isinstance(opened, ServerAnswer):
            self._failed(opened)
            return
        if self._closed:
            opened.close()
            return
        self._links.add(opened)
        opened.on_closed = self._link_closed
        if not opened.borrowed:
            self.opened += 1
            self._observed(self.server, None)
        self.release(opened)
        if self._queue:
            self._open_more()

    def _failed(self, refusal: ServerAnswer) -> None:
        full = refusal.kind is AnswerKind.TOO_MANY_CONNECTIONS
        pause = FULL_AGAIN_S if full else AGAIN_S
        self._next_open_at = self._clock.seconds() + pause
        log_event(
            'connection refused',
            server=self.server.name,
            kind=refusal.kind.value,
            reason=refusal.reason,
        )
        self._observed(self.server, refusal)
        self._fail_waiters()

    def _link_closed(self, link) -> None:
        if link in self._links:
            self.discard(link)
