"""Lends this proxy's server connections to its peers."""

from typing import NamedTuple

from toucandeal.caller_sessions import SetupStep
from toucandeal.connection_workspaces import ANY_WORKSPACE
from toucandeal.fleet import ProxyRecord, Server, has_public_route
from toucandeal.fleet_tables import FleetTables, accepts_operations
from toucandeal.statement_queue import ConnectionRequest
from toucandeald.background_tasks import run_in_background
from toucandeald.full_servers import may_lend
from toucandeald.gossip import Gossip
from toucandeald.lending_wire import (
    BorrowedAnswer,
    BorrowedRequest,
    LoanReply,
    LoanRequest,
    LoanReturn,
    decode_request,
    encode_answer,
)
from toucandeald.logs import log_event
from toucandeald.replies import withheld
from toucandeald.server_pools import ServerPools, record_setup
from toucandeald.session_messages import (
    BeginTransaction,
    Forward,
    ReportStatus,
    RollBack,
    ServerRequest,
    StepDown,
)
from toucandeald.steady_clock import steady_seconds

__all__ = ['Lending']

BORROWER_SILENT_S = 1.5  # then its loans end
IDLE_MARGIN_S = 1.0  # beyond the idle timeout of transactions

# What proxies request without a workspace.
_OWN_REQUESTS = (ReportStatus, RollBack, StepDown)
# With which an operation begins at a server.
_FIRST_REQUESTS = (BeginTransaction, Forward)

LoanKey = tuple[str, int, int]


class Loan(NamedTuple):
    """A lent connection, and since when it has been idle.

    `heard_at` is the time of the borrower's last message about it. One of any
    workspace is for requests of the borrower's own.
    """

    server: Server
    connection: object
    address: str
    idle_since: float
    heard_at: float
    of_any_workspace: bool = False


class Lending:
    """The connections that this proxy has lent."""

    def __init__(
        self,
        tables: FleetTables,
        pools: ServerPools,
        gossip: Gossip,
        own: ProxyRecord,
    ) -> None:
        """Initialize with the pools to lend from."""
        self._tables = tables
        self._pools = pools
        self._gossip = gossip
        self._name = own.name
        self.accepts_work = True
        self._loans: dict[LoanKey, Loan] = {}
        self._pending: set[LoanKey] = set()

    @property
    def count(self) -> int:
        """Return the number of loans."""
        return len(self._loans)

    @property
    def answers_due(self) -> int:
        """Return the number of loans with an outstanding request."""
        return sum(loan.connection.busy for loan in self._loans.values())

    def received(
        self, message: LoanRequest | BorrowedRequest | LoanReturn
    ) -> None:
        """Handle a message of a borrower."""
        key = (message.sender, message.incarnation, message.loan_id)
        match message:
            case LoanRequest():
                self._pending.add(key)
                run_in_background(self._lend(key, message))
            case BorrowedRequest():
                run_in_background(self._forward_request(key, message))
            case LoanReturn():
                self._pending.discard(key)
                self._end_loan(key, reusable=message.reusable)

    def tick(self, now: float) -> None:
        """End idle loans, and those of silent or restarted borrowers."""
        configuration = self._tables.configuration
        if configuration is None:
            return
        idle_s = configuration.idle_transaction_s + IDLE_MARGIN_S
        for key, loan in list(self._loans.items()):
            idle = now - loan.idle_since >= idle_s
            if idle or self._has_left(key, loan, now):
                log_event(
                    'loan ended', borrower=key[0], server=loan.server.name
                )
                self._end_loan(key, reusable=False)

    def _has_left(self, key: LoanKey, loan: Loan, now: float) -> bool:
        """Return whether a borrower is silent, or was restarted.

        Its loans may precede its first heartbeat, and the first one after a
        restart.
        """
        peer = self._tables.peers.get(key[0])
        if peer is None or peer.heard_at < loan.heard_at:
            return now - loan.heard_at >= BORROWER_SILENT_S
        silent = now - peer.heard_at >= BORROWER_SILENT_S
        return silent or peer.incarnation != key[1]

    async def _lend(self, key: LoanKey, loan_request: LoanRequest) -> None:
        requested_at = steady_seconds()
        server = self._tables.servers.get(loan_request.server)
        connection = None
        lends = self._may_lend_to(server, loan_request)
        if lends and may_lend(self._pools.pool(server)):
            connection = await self._pools.pool(server).acquire(
                {}, [], _connection_request(loan_request)
            )
        if key not in self._pending:
            if connection is not None:
                self._pools.release(server, connection)
            return
        self._pending.discard(key)
        if connection is None:
            busy = server is not None and self._pools.pool(server).size > 0
            self._gossip.send(
                loan_request.address,
                LoanReply(
                    self._name, loan_request.loan_id, False, {}, [], busy
                ),
            )
            return
        now = steady_seconds()
        self._loans[key] = Loan(
            server,
            connection,
            loan_request.address,
            now,
            requested_at,
            of_any_workspace=loan_request.workspace is None,
        )
        shapes = [tuple(shape) for shape in connection.connection_state.shapes]
        self._gossip.send(
            loan_request.address,
            LoanReply(
                self._name,
                loan_request.loan_id,
                True,
                connection.connection_state.values,
                shapes,
                takes_any_shape=True,
            ),
        )

    def _may_lend_to(
        self, server: Server | None, loan_request: LoanRequest
    ) -> bool:
        """Return whether a connection may be lent for a request.

        A proxy of an earlier build serves callers without a valid key once the
        last workspace is removed.
        """
        if server is None or not self.accepts_work:
            return False
        configuration = self._tables.configuration
        return (
            loan_request.workspace != ''
            or configuration is None
            or has_public_route(configuration, server.group)
        )

    async def _forward_request(
        self, key: LoanKey, forwarded: BorrowedRequest
    ) -> None:
        loan = self._loans.get(key)
        if loan is None:
            return
        # A loan with an outstanding request is not idle.
        now = steady_seconds()
        loan = loan._replace(idle_since=now + forwarded.timeout_s, heard_at=now)
        self._loans[key] = loan
        request = decode_request(forwarded.kind, forwarded.request)
        if loan.of_any_workspace and not isinstance(request, _OWN_REQUESTS):
            # A borrower of an earlier build may use it for any workspace.
            log_event(
                'statement of an unknown workspace',
                borrower=key[0],
                server=loan.server.name,
            )
            answer = withheld('the connection is for requests of the proxy')
        elif self._starts_too_late(loan, request):
            answer = withheld('the server has been leaving for too long')
        elif self.accepts_work or isinstance(request, RollBack):
            answer = await self._pools.call(
                loan.server, loan.connection, request, forwarded.timeout_s
            )
        else:
            answer = withheld('the lender is about to stop')._replace(
                in_transaction=loan.connection.in_transaction
            )
        if isinstance(request, SetupStep):
            record_setup(loan.connection, request, answer)
        if key in self._loans:
            self._loans[key] = loan._replace(idle_since=steady_seconds())
            self._gossip.send(
                loan.address,
                BorrowedAnswer(
                    self._name,
                    forwarded.loan_id,
                    forwarded.sequence,
                    encode_answer(answer),
                ),
            )

    def _starts_too_late(self, loan: Loan, request: ServerRequest) -> bool:
        """Return whether an operation would begin after the drain time.

        The borrower may not know yet that the server is leaving.
        """
        return (
            isinstance(request, _FIRST_REQUESTS)
            and not loan.connection.borrowed
            and not loan.connection.in_transaction
            and not accepts_operations(
                self._tables, loan.server.name, steady_seconds()
            )
        )

    def _end_loan(self, key: LoanKey, *, reusable: bool) -> None:
        loan = self._loans.pop(key, None)
        if loan is None:
            return
        if reusable:
            self._pools.release(loan.server, loan.connection)
        else:
            self._pools.discard(loan.server, loan.connection)


def _connection_request(loan_request: LoanRequest) -> ConnectionRequest:
    """Return the borrower's statement as one of this proxy's own queue.

    Its limits count from now, so they are later than the borrower's by the time
    that the message took.
    """
    now = steady_seconds()
    late_in_s = loan_request.late_in_s
    if late_in_s is None:
        late_in_s = loan_request.wait_s
    return ConnectionRequest(
        loan_request.priority,
        loan_request.database or loan_request.sender,
        now + late_in_s,
        now + loan_request.wait_s,
        ANY_WORKSPACE
        if loan_request.workspace is None
        else loan_request.workspace,
    )
