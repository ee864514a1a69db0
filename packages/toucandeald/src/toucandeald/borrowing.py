"""Server connections that other proxies lend to this one."""

import itertools
from collections.abc import Callable, Mapping
from typing import NamedTuple

from twisted.internet import defer

from toucandeal.caller_sessions import (
    ConnectionState,
    PreparedShape,
    PrepareShape,
)
from toucandeal.connection_workspaces import ANY_WORKSPACE
from toucandeal.fleet import ProxyRecord, Server
from toucandeal.fleet_tables import FleetTables
from toucandeal.lending import (
    active_lenders,
    choose_lender,
    domain_lenders,
    lenders,
    single_lender,
    spread_lenders,
)
from toucandeal.primary_lease import counted_proxies
from toucandeal.protocol_versions import (
    SINGLE_LENDER_PROTOCOL,
    common_protocol,
    known_links,
)
from toucandeal.statement_queue import ConnectionRequest
from toucandeald.lending_wire import (
    BorrowedAnswer,
    BorrowedRequest,
    LoanReply,
    LoanRequest,
    LoanReturn,
    decode_answer,
    encode_request,
)
from toucandeald.logs import log_event
from toucandeald.replies import withheld
from toucandeald.session_messages import (
    AnswerKind,
    ServerAnswer,
    ServerRequest,
    lost,
)
from toucandeald.steady_clock import steady_seconds

__all__ = [
    'LENDER_BUSY',
    'NOT_LENT',
    'NO_LENDER',
    'OPEN_DIRECTLY',
    'BorrowedConnection',
    'Borrowing',
]

# More than two heartbeat intervals; then another lender is chosen.
LENDER_SILENT_S = 0.7
# To the lender and back, in addition to the server's answer time.
PEER_ROUND_TRIP_S = 0.05

# Time without any lender; heartbeats of live peers arrive within it.
NO_LENDER_TIMEOUT_S = 1.0

# Bits of a loan's identity below the incarnation of the borrower. Answers do
# not name the incarnation, and those to an earlier process may come late.
LOAN_NUMBER_BITS = 32

OPEN_DIRECTLY = ''
NO_LENDER = '-'
NOT_LENT = ServerAnswer(
    AnswerKind.NO_CONNECTION, [], '', 'no connection was lent'
)
# The statement it was for is not worth waiting for at the lender.
LENDER_BUSY = ServerAnswer(
    AnswerKind.NO_CONNECTION, [], '', 'the lender has too many statements'
)

Send = Callable[[object], None]
SelectLenders = Callable[
    [str, Mapping[str, str], int, Mapping[str, float]], list[str]
]


class BorrowedConnection:
    """A borrowed connection, with the interface of one opened directly.

    `takes_any_shape` is set unless the lender is of a build that mixes up
    shapes which are not a single field.
    """

    borrowed = True

    def __init__(
        self, clock, send: Send, own: ProxyRecord, lender: str, loan_id: int
    ) -> None:
        """Initialize with `send`, which sends messages to the lender."""
        self.connection_state = ConnectionState()
        self.usable = True
        self.on_closed = _ignore
        self.lender = lender
        self.takes_any_shape = False
        self._clock = clock
        self._send = send
        self._own = own
        self._loan_id = loan_id
        self._sequence = 0
        self._answer: defer.Deferred | None = None
        self._timer = None
        self._ended = False

    @property
    def busy(self) -> bool:
        """Return whether an answer is outstanding."""
        return self._answer is not None

    def call(self, request: ServerRequest, timeout_s: float) -> defer.Deferred:
        """Send a request and return a Deferred of its `ServerAnswer`."""
        if not self.usable or self.busy:
            return defer.succeed(lost('the connection is closed'))
        if self._lender_mixes_up(request):
            return defer.succeed(
                withheld('the lender has an earlier build; retry elsewhere')
            )
        self._sequence += 1
        answer: defer.Deferred = defer.Deferred()
        self._answer = answer
        self._timer = self._clock.callLater(
            max(timeout_s, 0) + PEER_ROUND_TRIP_S,
            self.abort,
            'the answer is overdue',
        )
        kind, content = encode_request(request)
        self._send(
            BorrowedRequest(
                self._own.name,
                self._own.incarnation,
                self._loan_id,
                self._sequence,
                timeout_s,
                kind,
                content,
            )
        )
        return answer

    def answered(self, message: BorrowedAnswer) -> None:
        """Complete the outstanding request if the answer belongs to it."""
        if self._answer is None or message.sequence != self._sequence:
            return
        answer = decode_answer(message.answer)
        if answer.kind is AnswerKind.LOST:
            self.usable = False
        self._deliver(answer)

    def return_to_lender(self) -> None:
        """End the loan of a connection that is outside a transaction."""
        self._end(reusable=self.usable and not self.busy)

    def close(self) -> None:
        """End the loan, and have the lender close the connection."""
        self.abort('the connection was given up')

    def abort(self, reason: str) -> None:
        """End the loan; an outstanding request ends with a lost answer."""
        self._end(reusable=False)
        if self._answer is not None:
            self._deliver(lost(reason))

    def _lender_mixes_up(self, request: ServerRequest) -> bool:
        """Return whether the lender would prepare another shape.

        Earlier builds name a shape by its text, which then must be one field.
        """
        if self.takes_any_shape or not isinstance(request, PrepareShape):
            return False
        shape = request.prepared.shape
        return ' ' in shape or not shape.isprintable()

    def _end(self, *, reusable: bool) -> None:
        self.usable = False
        if self._ended:
            return
        self._ended = True
        self._send(
            LoanReturn(
                self._own.name, self._own.incarnation, self._loan_id, reusable
            )
        )
        self.on_closed(self)

    def _deliver(self, answer: ServerAnswer) -> None:
        waiting = self._answer
        self._answer = None
        if self._timer.active():
            self._timer.cancel()
        waiting.callback(answer)


class _PendingLoan(NamedTuple):
    """A loan that was requested, and the Deferred of its reply."""

    lender: str
    waiting: defer.Deferred


class Borrowing:
    """The loans that this proxy has or has requested."""

    def __init__(self, clock, tables: FleetTables, own: ProxyRecord) -> None:
        """Initialize with the tables; the composition root sets `send`."""
        self.send: Callable[[str, object], None] = _log_unsent
        self._clock = clock
        self._tables = tables
        self._own = own
        self._loan_ids = itertools.count(own.incarnation << LOAN_NUMBER_BITS)
        self._pending: dict[int, _PendingLoan] = {}
        self._connections: dict[int, BorrowedConnection] = {}
        self._no_lender_since: dict[str, float] = {}
        self._protocol_of: dict[str, ProxyRecord] | None = None
        self._protocol = 0
        self._selected_of: dict[str, ProxyRecord] = {}
        self._selected: dict[tuple[str, int, SelectLenders], list[str]] = {}

    @property
    def has_single_lenders(self) -> bool:
        """Return whether workspaces use one lender of each server."""
        registered = self._tables.primary_lease.registered
        if registered is not self._protocol_of:
            self._protocol_of = registered
            self._protocol = common_protocol(registered.values())
        return self._protocol >= SINGLE_LENDER_PROTOCOL

    def lender_names(self, server: Server) -> list[str]:
        """Return the proxies that open connections to a server directly."""
        tables = self._tables
        configuration = tables.configuration
        if configuration is None or server.group not in configuration.groups:
            return [tables.name]
        limit = configuration.groups[server.group].connection_limit
        in_large_fleet = tables.relay_assignment is not None
        if not (in_large_fleet or configuration.has_workspaces):
            counted = counted_proxies(tables.primary_lease) | {tables.name}
            return lenders(server.name, counted, limit)
        selection = (
            domain_lenders if configuration.has_workspaces else spread_lenders
        )
        return self._lenders_of_domains(server.name, limit, selection)

    def _lenders_of_domains(
        self, server: str, limit: int, selection: SelectLenders
    ) -> list[str]:
        """Return the lenders where they are chosen by failure domain.

        They are computed once for each list of proxies, because that takes a
        hash for each of up to hundreds of proxies.
        """
        registered = self._tables.primary_lease.registered
        if registered is not self._selected_of:
            self._selected_of = registered
            self._selected.clear()
        key = (server, limit, selection)
        if key not in self._selected:
            domains = {
                record.name: record.failure_domain
                for record in registered.values()
                if not record.silent
            }
            domains.setdefault(self._tables.name, self._tables.failure_domain)
            self._selected[key] = selection(
                server, domains, limit, known_links(registered.values())
            )
        return self._selected[key]

    def source(self, server: Server, workspace: str = '') -> str:
        """Return where this proxy gets a workspace's connections to a server.

        Returns
        -------
        str
            The name of the lender; `OPEN_DIRECTLY` if this proxy is a lender;
            `NO_LENDER` while no lender is heard. After `NO_LENDER_TIMEOUT_S`
            without a lender, any proxy opens connections directly.
        """
        lender_names = self.lender_names(server)
        configuration = self._tables.configuration
        is_lender = self._tables.name in lender_names
        divided = configuration is not None and configuration.has_workspaces
        if is_lender and not divided:
            return OPEN_DIRECTLY
        now = steady_seconds()
        live = self._live_peers(lender_names, now)
        if divided:
            live = self._active(server, lender_names, live)
        if self._tables.name in live:
            return OPEN_DIRECTLY
        lender = self._live_lender(
            server, workspace if divided else self._tables.name, live
        )
        if lender is not None:
            self._no_lender_since.pop(server.name, None)
            return lender
        since = self._no_lender_since.setdefault(server.name, now)
        return (
            OPEN_DIRECTLY if now - since >= NO_LENDER_TIMEOUT_S else NO_LENDER
        )

    def other_lenders(self, server: Server) -> list[str]:
        """Return the other live lenders of a server, the nearest first."""
        tables = self._tables
        names = [
            name for name in self.lender_names(server) if name != tables.name
        ]
        live = self._live_peers(names, steady_seconds())
        return sorted(
            live,
            key=lambda name: (
                tables.peers[name].failure_domain != tables.failure_domain,
                names.index(name),
            ),
        )

    def _active(
        self, server: Server, lender_names: list[str], live: set[str]
    ) -> set[str]:
        """Return the lenders in use; this proxy is live to itself."""
        tables = self._tables
        domains = {name: tables.peers[name].failure_domain for name in live}
        domains[tables.name] = tables.failure_domain
        if self.has_single_lenders:
            return set(
                single_lender(lender_names, domains, server.failure_domain)
            )
        return set(active_lenders(lender_names, domains, domains))

    def _live_peers(self, lender_names: list[str], now: float) -> set[str]:
        tables = self._tables
        return {
            name
            for name in lender_names
            if name in tables.peers
            and not tables.peers[name].draining
            and now - tables.peers[name].heard_at < LENDER_SILENT_S
        }

    def _live_lender(
        self, server: Server, key: str, live: set[str]
    ) -> str | None:
        tables = self._tables
        near = frozenset(
            name
            for name in live
            if tables.peers[name].failure_domain == tables.failure_domain
        )
        return choose_lender(server.name, key, live, near)

    async def borrow(
        self, lender: str, server: Server, connection_request: ConnectionRequest
    ) -> BorrowedConnection | ServerAnswer:
        """Return a connection lent for a statement in time.

        Otherwise the result is `LENDER_BUSY` or `NOT_LENT`.
        """
        loan_id = next(self._loan_ids)
        requested = connection_request.workspace
        workspace = None if requested is ANY_WORKSPACE else requested
        address = self._tables.peers[lender].address
        waiting: defer.Deferred = defer.Deferred()
        self._pending[loan_id] = _PendingLoan(lender, waiting)
        now = steady_seconds()
        wait_s = max(connection_request.ends_at - now, 0)
        timer = self._clock.callLater(
            wait_s + PEER_ROUND_TRIP_S, self._resolve_pending, loan_id, None
        )
        self.send(
            address,
            LoanRequest(
                self._own.name,
                self._own.incarnation,
                self._own.address,
                loan_id,
                server.name,
                wait_s,
                workspace,
                connection_request.priority,
                connection_request.database,
                connection_request.late_at - now,
            ),
        )
        lent = await waiting
        if timer.active():
            timer.cancel()
        connection = BorrowedConnection(
            self._clock,
            lambda message: self.send(address, message),
            self._own,
            lender,
            loan_id,
        )
        if lent is None or not lent.granted:
            log_event('not lent', server=server.name, lender=lender)
            if lent is None:
                connection.return_to_lender()
                return NOT_LENT
            return LENDER_BUSY if lent.busy else NOT_LENT
        connection.connection_state.values.update(lent.values)
        if lent.takes_any_shape:
            # Otherwise a name may stand for another one of the shapes.
            connection.takes_any_shape = True
            connection.connection_state.add_shapes(
                PreparedShape(shape, writes) for shape, writes in lent.shapes
            )
        self._connections[loan_id] = connection
        return connection

    def received(self, message: LoanReply | BorrowedAnswer) -> None:
        """Handle a message of a lender."""
        match message:
            case LoanReply():
                self._resolve_pending(message.loan_id, message)
            case BorrowedAnswer():
                connection = self._connections.get(message.loan_id)
                if connection is not None:
                    connection.answered(message)

    def tick(self, now: float) -> None:
        """End the loans of silent lenders, and remove loans that ended."""
        for loan_id, pending in list(self._pending.items()):
            if self._is_silent(pending.lender, now):
                self._resolve_pending(loan_id, None)
        for loan_id, connection in list(self._connections.items()):
            if not connection.usable:
                self._connections.pop(loan_id)
            elif self._is_silent(connection.lender, now):
                connection.abort('the lender is silent')

    def _is_silent(self, lender: str, now: float) -> bool:
        peer = self._tables.peers.get(lender)
        return peer is None or now - peer.heard_at >= LENDER_SILENT_S

    def _resolve_pending(self, loan_id: int, lent: LoanReply | None) -> None:
        pending = self._pending.pop(loan_id, None)
        if pending is not None:
            pending.waiting.callback(lent)


def _ignore(connection: BorrowedConnection) -> None:
    """Ignore the end of a loan."""


def _log_unsent(address: str, message) -> None:
    log_event('message not sent', address=address, message=repr(message))
