"""Heartbeats between proxies: liveness, leases and outdated copies.

With 40 proxies or fewer, each sends a heartbeat to each other one. In larger
fleets, proxies exchange them with a few relays (:mod:`toucandeal.relays`).
"""

import math
from collections.abc import Callable, Mapping

from toucandeal.configuration_freshness import PeerFreshness, prove_by_peer
from toucandeal.fleet import ProxyRecord, Server
from toucandeal.fleet_tables import (
    FleetTables,
    PeerView,
    configuration_version,
)
from toucandeal.primary_lease import (
    PeerLeaseReport,
    renew_from_peer,
)
from toucandeal.relay_views import (
    RelayExchange,
    apply_summaries,
    differs_from_relays,
    receive_report,
    relay_recipients,
    sends_to_all,
    update_assignment,
)
from toucandeald.fleet_wire import (
    CompressedConfiguration,
    ConfigurationCopy,
    Heartbeat,
    LenderDemand,
    PromotionBegun,
    RecordsCopy,
    RelayHeartbeat,
    ServersCopy,
    WorkStopped,
)
from toucandeald.heartbeat_content import (
    heartbeat_for,
    lender_demands,
    new_heartbeat,
    relay_report,
)
from toucandeald.lending_wire import (
    BorrowedAnswer,
    BorrowedRequest,
    LoanReply,
    LoanRequest,
    LoanReturn,
)
from toucandeald.logs import log_event
from toucandeald.peer_copies import PeerCopies, shared_rows
from toucandeald.peers import PeerSockets
from toucandeald.rate_wire import RateGrant, RateReport
from toucandeald.shared_state import SharedState
from toucandeald.steady_clock import steady_seconds

__all__ = ['HEARTBEAT_INTERVAL_S', 'Gossip']

HEARTBEAT_INTERVAL_S = 0.25
PEER_SILENT_S = 1.0  # a peer that is silent for longer is not live
PEER_FORGOTTEN_S = 30.0
LENDER_DEMAND_INTERVAL_S = 0.5


class Gossip:
    """Sends and receives the messages between this proxy and its peers."""

    def __init__(
        self, tables: FleetTables, state: SharedState, own: ProxyRecord
    ) -> None:
        """Initialize; the composition root sets `sockets` afterwards."""
        self.sockets: PeerSockets | None = None
        self.on_promotion_begun: Callable[[str], None] = _ignore
        self.on_work_stopped: Callable[[WorkStopped], None] = _ignore
        self.on_borrower_message: Callable[
            [LoanRequest | BorrowedRequest | LoanReturn], None
        ] = _ignore
        self.on_lender_message: Callable[[LoanReply | BorrowedAnswer], None] = (
            _ignore
        )
        self.on_rate_message: Callable[[RateReport | RateGrant], None] = _ignore
        self.lender_names: Callable[[Server], list[str]] = _no_lenders
        self.none_begun_sent_at = steady_seconds()
        self._tables = tables
        self._state = state
        self._own = own
        self._copies = PeerCopies(tables, state, self.send)
        self._relays = RelayExchange(own.name)
        self._last_heartbeats: dict[str, tuple[Heartbeat, float]] = {}
        self._contacted: set[str] = set()
        self._kept_for: dict[str, ProxyRecord] = {}
        self._demands_sent_at = -LENDER_DEMAND_INTERVAL_S

    @property
    def own_address(self) -> str:
        """Return the address at which peers reach this proxy."""
        return self._own.address

    def contact_new_peers(self) -> None:
        """Send heartbeats if a peer has not been sent any yet."""
        if not self._contacted >= self._recipients(steady_seconds()).keys():
            self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Send heartbeats, and remove the peers that are silent.

        A peer is removed `PEER_FORGOTTEN_S` after its last heartbeat.
        """
        now = steady_seconds()
        self._forget_silent(now)
        self._update_relays(now)
        recipients = self._recipients(now)
        self._contacted = set(recipients)
        self._close_unused()
        if self._relays.in_use:
            self._send_demands(now)
        if recipients and not self._tables.primary_lease.promoting_groups:
            self.none_begun_sent_at = now
        common = new_heartbeat(
            self._tables, self._state, self._own, self._relays, now
        )
        for name, address in recipients.items():
            last = self._last_heartbeats.get(name)
            self.send(
                address,
                heartbeat_for(common, name, last),
            )

    def _close_unused(self) -> None:
        """Close the sockets of peers that are neither registered nor heard."""
        registered = self._tables.primary_lease.registered
        if not self._relays.in_use or self._kept_for is not registered:
            self._kept_for = registered
            self.sockets.keep_only(set(self.addresses().values()))

    def _forget_silent(self, now: float) -> None:
        for name, peer in list(self._tables.peers.items()):
            if now - peer.heard_at > PEER_FORGOTTEN_S:
                self._tables.peers.pop(name)
                self._last_heartbeats.pop(name, None)

    def _recipients(self, now: float) -> dict[str, str]:
        """Return the addresses, by name, of the peers to send heartbeats to."""
        if sends_to_all(self._relays, now):
            return self.addresses()
        found = {
            name: self._address(name)
            for name in relay_recipients(self._relays, now)
        }
        return {name: address for name, address in found.items() if address}

    def _address(self, name: str) -> str:
        """Return the address of one peer, or an empty string."""
        registered = self._tables.primary_lease.registered.get(name)
        peer = self._tables.peers.get(name)
        source = registered or peer
        return '' if source is None else source.address

    def _update_relays(self, now: float) -> None:
        relays = self._relays
        update_assignment(relays, self._tables, now)
        if relays.is_active(now):
            apply_summaries(relays, self._tables, now)
        self._state.membership_differs = relays.in_use and differs_from_relays(
            relays, now
        )

    def _send_demands(self, now: float) -> None:
        if now - self._demands_sent_at < LENDER_DEMAND_INTERVAL_S:
            return
        self._demands_sent_at = now
        addresses = self.addresses()
        demands = lender_demands(self._tables, self.lender_names)
        for name, by_server in demands.items():
            if name in addresses:
                self.send(
                    addresses[name],
                    LenderDemand(
                        self._own.name, self._own.incarnation, by_server
                    ),
                )

    def addresses(self) -> dict[str, str]:
        """Return the addresses, by name, of peers registered or heard."""
        registered = self._tables.primary_lease.registered.values()
        known = {
            peer.name: peer.address for peer in self._tables.peers.values()
        } | {record.name: record.address for record in registered}
        known.pop(self._own.name, None)
        return known

    def send(self, address: str, message) -> None:
        """Send a message to one peer."""
        self.sockets.send(address, message)

    def send_to(self, names: set[str], message) -> None:
        """Send a message to the named peers."""
        for name, address in self.addresses().items():
            if name in names:
                self.send(address, message)

    def received(self, message) -> None:
        """Apply a message, or pass it to its handler."""
        match message:
            case Heartbeat():
                self._apply_heartbeat(message)
            case LenderDemand():
                self._apply_demands(message)
            case RecordsCopy():
                self._state.apply_records_copy(shared_rows(message.rows))
            case ConfigurationCopy() | CompressedConfiguration():
                self._state.configuration.receive(message, self._state.era)
            case ServersCopy():
                self._state.server_list.apply_copy(
                    shared_rows(message.rows),
                    message.version,
                    message.departures,
                    self._sent_after(message.sender),
                )
            case PromotionBegun():
                self._state.apply_record(*shared_rows([message.record]))
                self.on_promotion_begun(message)
            case WorkStopped():
                self.on_work_stopped(message)
            case LoanRequest() | BorrowedRequest() | LoanReturn():
                self.on_borrower_message(message)
            case LoanReply() | BorrowedAnswer():
                self.on_lender_message(message)
            case RateReport() | RateGrant():
                self.on_rate_message(message)

    def send_records(self) -> None:
        """Send the records to all peers without awaiting their heartbeats."""
        copy = self._copies.records_copy()
        for address in self.addresses().values():
            self.send(address, copy)

    def _apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = steady_seconds()
        known = self._tables.peers.get(heartbeat.sender)
        if known is None or known.incarnation != heartbeat.incarnation:
            log_event(
                'peer', name=heartbeat.sender, incarnation=heartbeat.incarnation
            )
        elif now - known.heard_at > PEER_SILENT_S:
            log_event('peer regained', name=heartbeat.sender)
        self._last_heartbeats[heartbeat.sender] = (heartbeat, now)
        self._tables.peers[heartbeat.sender] = PeerView(
            heartbeat.sender,
            heartbeat.incarnation,
            heartbeat.address,
            now,
            heartbeat.draining,
            heartbeat.counts_recipient,
            {
                name: now - age
                for name, age in heartbeat.primary_heard_ages.items()
            },
            self._demands(heartbeat, known),
            heartbeat.failure_domain,
            heartbeat.store_era,
            heartbeat.crossing_shares,
        )
        self._state.note_era(heartbeat.store_era)
        sent_after = self._sent_after(heartbeat.sender)
        if math.isfinite(sent_after):
            self._renew_lease(heartbeat, sent_after)
        self._renew_freshness(heartbeat, sent_after)
        if isinstance(heartbeat, RelayHeartbeat):
            receive_report(
                self._relays,
                self._tables,
                relay_report(heartbeat, sent_after),
                self._state.records_version,
                now,
            )
        self._copies.update_peer(heartbeat)

    def _sent_after(self, peer: str) -> float:
        """Return a time after which a peer sent its last heartbeat.

        Messages that arrive after the heartbeat were sent after it. The time
        is minus infinity if the peer has not heard this process yet.
        """
        heartbeat, _ = self._last_heartbeats.get(peer, (None, 0.0))
        if (
            heartbeat is None
            or heartbeat.echo_incarnation != self._own.incarnation
        ):
            return -math.inf
        return heartbeat.echo + heartbeat.echo_age

    def _renew_freshness(self, heartbeat: Heartbeat, sent_after: float) -> None:
        prove_by_peer(
            self._tables.configuration_freshness,
            PeerFreshness(
                heartbeat.configuration_version,
                heartbeat.freshness_age,
                heartbeat.store_era,
            ),
            configuration_version(self._tables),
            sent_after,
        )

    def _demands(
        self, heartbeat: Heartbeat, known: PeerView | None
    ) -> Mapping[str, float]:
        """Return a peer's demands, from its heartbeat or as a lender."""
        if (
            known is not None
            and isinstance(heartbeat, RelayHeartbeat)
            and known.incarnation == heartbeat.incarnation
            and not heartbeat.demands
        ):
            return known.demands
        return heartbeat.demands

    def _apply_demands(self, message: LenderDemand) -> None:
        peer = self._tables.peers.get(message.sender)
        if peer is not None and peer.incarnation == message.incarnation:
            self._relays.demands_heard_at[peer.name] = steady_seconds()
            self._tables.peers[peer.name] = peer._replace(
                demands=message.demands
            )

    def _renew_lease(self, heartbeat: Heartbeat, sent_after: float) -> None:
        """Renew the lease from a heartbeat that was sent after `sent_after`."""
        if heartbeat.counts_recipient:
            report = PeerLeaseReport(
                heartbeat.sender,
                heartbeat.incarnation,
                heartbeat.records_version,
                heartbeat.lease_age,
                heartbeat.confirms_none_begun,
                heartbeat.store_era,
            )
            renew_from_peer(
                self._tables.primary_lease,
                report,
                self._state.records_version,
                sent_after,
            )


def _no_lenders(server: Server) -> list[str]:
    """Return that no proxy lends connections to a server."""
    return []


def _ignore(message) -> None:
    log_event('message ignored', message=repr(message))
