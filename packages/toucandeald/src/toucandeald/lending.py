"""Lends this proxy's connections to servers to its peers."""

from typing import NamedTuple

from toucandeal.caller_sessions import (
    PrepareShape,
    ResetSession,
    SetValue,
    apply_step,
)
from toucandeal.fleet import ProxyRecord, Server
from toucandeal.fleet_tables import FleetTables
from toucandeal.statement_queue import Claim
from toucandeald.faults import run
from toucandeald.gossip import Gossip
from toucandeald.lending_wire import (
    Answered,
    Asked,
    GivenBack,
    Lent,
    Wanted,
    decode_request,
    encode_answer,
)
from toucandeald.logs import log_event
from toucandeald.server_pools import ServerPools
from toucandeald.session_messages import AnswerKind, ServerAnswer
from toucandeald.steady_clock import steady_seconds

__all__ = ['Lending']

LOAN_PRIORITY = 1  # as of ordinary statements; a borrower orders its own
BORROWER_SILENT_S = 1.5  # then its loans are taken back
IDLE_MARGIN_S = 1.0  # beyond the time that a transaction may be idle

Key = tuple[str, int, int]


class Loan(NamedTuple):
    """A lent connection, and since when it has been idle."""

    server: Server
    link: object
    address: str
    idle_since: float


class Lending:
    """The connections that this proxy has lent."""

    def __init__(
        self,
        tables: FleetTables,
        pools: ServerPools,
        gossip: Gossip,
        own: ProxyRecord,
    ) -> None:
        """Take the pools to lend from."""
        self._tables = tables
        self._pools = pools
        self._gossip = gossip
        self._name = own.name
        self._loans: dict[Key, Loan] = {}
        self._pending: set[Key] = set()

    @property
    def count(self) -> int:
        """Return the number of loans."""
        return len(self._loans)

    def received(self, message: Wanted | Asked | GivenBack) -> None:
        """Take in a borrower's message."""
        key = (message.sender, message.incarnation, message.number)
        match message:
            case Wanted():
                self._pending.add(key)
                run(self._lend(key, message))
            case Asked():
                run(self._ask(key, message))
            case GivenBack():
                self._pending.discard(key)
                self._take_back(key, sound=message.sound)

    def tick(self, now: float) -> None:
        """Take back the loans of borrowers that are silent or forgetful."""
        configuration = self._tables.configuration
        if configuration is None:
            return
        idle_s = configuration.idle_transaction_s + IDLE_MARGIN_S
        for key, loan in list(self._loans.items()):
            peer = self._tables.peers.get(key[0])
            silent = peer is None or now - peer.heard_at >= BORROWER_SILENT_S
            restarted = peer is not None and peer.incarnation != key[1]
            if silent or restarted or now - loan.idle_since >= idle_s:
                log_event(
                    'loan ended', borrower=key[0], server=loan.server.name
                )
                self._take_back(key, sound=False)

    async def _lend(self, key: Key, wanted: Wanted) -> None:
        server = self._tables.servers.get(wanted.server)
        link = None
        if server is not None:
            ends_at = steady_seconds() + wanted.wait_s
            claim = Claim(LOAN_PRIORITY, wanted.sender, ends_at, ends_at)
            link = await self._pools.pool(server).acquire({}, [], claim)
        if key not in self._pending:
            if link is not None:
                self._pools.release(server, link)
            return
        self._pending.discard(key)
        if link is None:
            self._gossip.send(
                wanted.address, Lent(self._name, wanted.number, False, {}, [])
            )
            return
        self._loans[key] = Loan(server, link, wanted.address, steady_seconds())
        shapes = [tuple(shape) for shape in link.laid.shapes]
        self._gossip.send(
            wanted.address,
            Lent(self._name, wanted.number, True, link.laid.values, shapes),
        )

    async def _ask(self, key: Key, asked: Asked) -> None:
        loan = self._loans.get(key)
        if loan is None:
            return
        # A loan that owes an answer is not idle.
        self._loans[key] = loan._replace(
            idle_since=steady_seconds() + asked.timeout_s
        )
        request = decode_request(asked.kind, asked.request)
        answer = await self._pools.call(
            loan.server, loan.link, request, asked.timeout_s
        )
        _note_step(loan.link, request, answer)
        if key in self._loans:
            self._loans[key] = loan._replace(idle_since=steady_seconds())
            self._gossip.send(
                loan.address,
                Answered(
                    self._name, asked.number, asked.turn, encode_answer(answer)
                ),
            )

    def _take_back(self, key: Key, *, sound: bool) -> None:
        loan = self._loans.pop(key, None)
        if loan is None:
            return
        if sound:
            self._pools.release(loan.server, loan.link)
        else:
            self._pools.discard(loan.server, loan.link)


def _note_step(link, request, answer: ServerAnswer) -> None:
    """Keep what lies on the connection, which the borrower has laid there."""
    if not isinstance(request, SetValue | PrepareShape | ResetSession):
        return
    if answer.kind is AnswerKind.COMPLETED:
        apply_step(link.laid, request)
    else:
        link.close()
