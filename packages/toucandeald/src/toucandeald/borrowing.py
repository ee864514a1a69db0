"""Connections to servers that another proxy lends to this one."""

import itertools
from collections.abc import Callable

from twisted.internet import defer

from toucandeal.caller_sessions import LaidState, PreparedShape
from toucandeal.fleet import ProxyRecord, Server
from toucandeal.fleet_tables import FleetTables
from toucandeal.lending import choose_lender, lenders
from toucandeal.permissions import counted_proxies
from toucandeald.lending_wire import (
    Answered,
    Asked,
    GivenBack,
    Lent,
    Wanted,
    decode_answer,
    encode_request,
)
from toucandeald.logs import log_event
from toucandeald.session_messages import (
    AnswerKind,
    LinkRequest,
    ServerAnswer,
    lost,
)
from toucandeald.steady_clock import steady_seconds

__all__ = ['NOT_LENT', 'NOWHERE', 'OWN', 'BorrowedLink', 'Borrowing']

LENDER_SILENT_S = 0.7  # more than two beats; then another one is asked
WAY_S = 0.05  # to the lender and back, beyond the time for the server's answer

LENDERS_LOST_S = 1.0  # without any lender; peers are heard by then

OWN = ''
NOWHERE = '-'
NOT_LENT = ServerAnswer(
    AnswerKind.NO_CONNECTION, [], '', 'no connection was lent'
)

Send = Callable[[object], None]


class BorrowedLink:
    """A lent connection; it behaves like one of this proxy's own."""

    borrowed = True

    def __init__(
        self, clock, send: Send, own: ProxyRecord, lender: str, number: int
    ) -> None:
        """Take what sends messages to the lender."""
        self.laid = LaidState()
        self.usable = True
        self.on_closed = _ignore
        self.lender = lender
        self._clock = clock
        self._send = send
        self._own = own
        self._number = number
        self._turn = 0
        self._answer: defer.Deferred | None = None
        self._timer = None
        self._ended = False

    @property
    def busy(self) -> bool:
        """Return whether an answer is outstanding."""
        return self._answer is not None

    def call(self, request: LinkRequest, timeout_s: float) -> defer.Deferred:
        """Send a request and return a Deferred of its `ServerAnswer`."""
        if not self.usable or self.busy:
            return defer.succeed(lost('the connection is closed'))
        self._turn += 1
        self._answer = defer.Deferred()
        self._timer = self._clock.callLater(
            max(timeout_s, 0) + WAY_S, self.lose, 'the answer is overdue'
        )
        kind, content = encode_request(request)
        self._send(
            Asked(
                self._own.name,
                self._own.incarnation,
                self._number,
                self._turn,
                timeout_s,
                kind,
                content,
            )
        )
        return self._answer

    def answered(self, message: Answered) -> None:
        """Take in the answer to the request that is outstanding."""
        if self._answer is None or message.turn != self._turn:
            return
        answer = decode_answer(message.answer)
        if answer.kind is AnswerKind.LOST:
            self.usable = False
        self._deliver(answer)

    def give_back(self) -> None:
        """Return a connection that is outside a transaction."""
        self._end(sound=self.usable and not self.busy)

    def close(self) -> None:
        """Let the lender close the connection."""
        self.lose('the connection was given up')

    def lose(self, reason: str) -> None:
        """End the loan; what is outstanding has no answer."""
        self._end(sound=False)
        if self._answer is not None:
            self._deliver(lost(reason))

    def _end(self, *, sound: bool) -> None:
        self.usable = False
        if self._ended:
            return
        self._ended = True
        self._send(
            GivenBack(
                self._own.name, self._own.incarnation, self._number, sound
            )
        )
        self.on_closed(self)

    def _deliver(self, answer: ServerAnswer) -> None:
        waiting = self._answer
        self._answer = None
        if self._timer.active():
            self._timer.cancel()
        waiting.callback(answer)


class Borrowing:
    """The loans that this proxy has or waits for."""

    def __init__(self, clock, tables: FleetTables, own: ProxyRecord) -> None:
        """Take the tables; `send` is set by the composition root."""
        self.send: Callable[[str, object], None] = _unsent
        self._clock = clock
        self._tables = tables
        self._own = own
        self._numbers = itertools.count(1)
        self._wanted: dict[int, defer.Deferred] = {}
        self._links: dict[int, BorrowedLink] = {}
        self._without_since: dict[str, float] = {}

    def holders(self, server: Server) -> list[str]:
        """Return the proxies that hold connections to a server."""
        tables = self._tables
        configuration = tables.configuration
        if configuration is None or server.group not in configuration.groups:
            return [tables.name]
        limit = configuration.groups[server.group].connection_limit
        counted = counted_proxies(tables.permissions) | {tables.name}
        return lenders(server.name, counted, limit)

    def source(self, server: Server) -> str:
        """Return where this proxy gets connections to a server.

        Returns
        -------
        str
            The name of the proxy to borrow from; `OWN` if it opens its own,
            as a lender does; `NOWHERE` while no lender is heard. After a
            while without any, a proxy opens its own as well.
        """
        holding = self.holders(server)
        if self._tables.name in holding:
            return OWN
        now = steady_seconds()
        lender = self._alive_lender(server, holding, now)
        if lender is not None:
            self._without_since.pop(server.name, None)
            return lender
        since = self._without_since.setdefault(server.name, now)
        return OWN if now - since >= LENDERS_LOST_S else NOWHERE

    def _alive_lender(
        self, server: Server, holding: list[str], now: float
    ) -> str | None:
        tables = self._tables
        alive = {
            name
            for name in holding
            if name in tables.peers
            and not tables.peers[name].draining
            and now - tables.peers[name].heard_at < LENDER_SILENT_S
        }
        near = frozenset(
            name
            for name in alive
            if tables.peers[name].failure_domain == tables.failure_domain
        )
        return choose_lender(server.name, tables.name, alive, near)

    async def borrow(
        self, lender: str, server: Server, wait_s: float
    ) -> BorrowedLink | ServerAnswer:
        """Return a connection that `lender` holds, or that it has none free."""
        number = next(self._numbers)
        address = self._tables.peers[lender].address
        waiting: defer.Deferred = defer.Deferred()
        self._wanted[number] = waiting
        timer = self._clock.callLater(
            wait_s + WAY_S, self._answer_wanted, number, None
        )
        self.send(
            address,
            Wanted(
                self._own.name,
                self._own.incarnation,
                self._own.address,
                number,
                server.name,
                wait_s,
            ),
        )
        lent = await waiting
        if timer.active():
            timer.cancel()
        link = BorrowedLink(
            self._clock,
            lambda message: self.send(address, message),
            self._own,
            lender,
            number,
        )
        if lent is None or not lent.granted:
            log_event('not lent', server=server.name, lender=lender)
            if lent is None:
                link.give_back()
            return NOT_LENT
        link.laid.values.update(lent.values)
        link.laid.shapes.update(
            PreparedShape(shape, writes) for shape, writes in lent.shapes
        )
        self._links[number] = link
        return link

    def received(self, message: Lent | Answered) -> None:
        """Take in a lender's message."""
        match message:
            case Lent():
                self._answer_wanted(message.number, message)
            case Answered():
                link = self._links.get(message.number)
                if link is not None:
                    link.answered(message)

    def tick(self, now: float) -> None:
        """Give up the loans of lenders that are silent, and forget old ones."""
        for number, link in list(self._links.items()):
            peer = self._tables.peers.get(link.lender)
            if not link.usable:
                self._links.pop(number)
            elif peer is None or now - peer.heard_at >= LENDER_SILENT_S:
                link.lose('the lender is silent')

    def _answer_wanted(self, number: int, lent: Lent | None) -> None:
        waiting = self._wanted.pop(number, None)
        if waiting is not None:
            waiting.callback(lent)


def _ignore(link: BorrowedLink) -> None:
    """Take no note of the end of a loan."""


def _unsent(address: str, message) -> None:
    log_event('message not sent', address=address, message=repr(message))
