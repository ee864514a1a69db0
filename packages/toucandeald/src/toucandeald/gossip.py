"""Heartbeats between proxies: liveness, leases and outdated copies."""

import math
from collections.abc import Callable, Iterable

from toucandeal.copy_schedule import (
    CopySchedule,
    OutdatedPeer,
    copy_is_due,
    copy_rank,
)
from toucandeal.fleet import ProxyRecord
from toucandeal.fleet_tables import FleetTables, PeerView, server_load
from toucandeal.primary_lease import (
    PeerLeaseReport,
    counted_proxies,
    renew_from_peer,
)
from toucandeal.read_crossing import announced_by
from toucandeald.fleet_wire import (
    ConfigurationCopy,
    Heartbeat,
    PromotionBegun,
    RecordsCopy,
    RowCopy,
    ServersCopy,
    WorkStopped,
)
from toucandeald.lending_wire import (
    BorrowedAnswer,
    BorrowedRequest,
    LoanReply,
    LoanRequest,
    LoanReturn,
)
from toucandeald.logs import log_event
from toucandeald.peers import PeerSockets
from toucandeald.shared_records import proxy_key
from toucandeald.shared_state import SharedState
from toucandeald.shared_store import SharedRow
from toucandeald.steady_clock import steady_seconds

__all__ = ['HEARTBEAT_INTERVAL_S', 'Gossip']

HEARTBEAT_INTERVAL_S = 0.25
PEER_SILENT_S = 1.0  # a peer that is silent for longer is not live
PEER_FORGOTTEN_S = 30.0
SENDER_INTERVAL_S = 0.1  # between two proxies that may send a peer a copy
RECORDS_SENDER_INTERVAL_S = 0.05  # shorter: leases depend on the records
RECORDS_RETRY_INTERVAL_S = 0.4  # above heartbeat interval plus network delay
STORE_READ_TIME_S = 0.5  # for a peer's own read of the store on a narrow link
COPY_RETRY_INTERVAL_S = 3.0  # a 256 KB copy takes 0.5 s on the narrowest link
RECORDS_SCHEDULE = CopySchedule(
    0, RECORDS_SENDER_INTERVAL_S, RECORDS_RETRY_INTERVAL_S
)
CONFIGURATION_SCHEDULE = CopySchedule(
    STORE_READ_TIME_S, 2 * SENDER_INTERVAL_S, COPY_RETRY_INTERVAL_S
)
SERVERS_SCHEDULE = CopySchedule(
    STORE_READ_TIME_S, SENDER_INTERVAL_S, COPY_RETRY_INTERVAL_S
)
MIN_DEMAND = 0.1  # in connections; smaller demands are not reported


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
        self.none_begun_sent_at = steady_seconds()
        self._tables = tables
        self._state = state
        self._own = own
        self._last_heartbeats: dict[str, tuple[Heartbeat, float]] = {}
        self._contacted: set[str] = set()
        self._outdated: dict[tuple[str, CopySchedule], OutdatedPeer] = {}

    @property
    def own_address(self) -> str:
        """Return the address at which peers reach this proxy."""
        return self._own.address

    def contact_new_peers(self) -> None:
        """Send heartbeats if a peer has not been sent any yet."""
        if not self._contacted >= self.addresses().keys():
            self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all peers, and remove those that are silent.

        A peer is removed `PEER_FORGOTTEN_S` after its last heartbeat.
        """
        now = steady_seconds()
        for name, peer in list(self._tables.peers.items()):
            if now - peer.heard_at > PEER_FORGOTTEN_S:
                self._tables.peers.pop(name)
                self._last_heartbeats.pop(name, None)
        addresses = self.addresses()
        self._contacted = set(addresses)
        self.sockets.keep_only(set(addresses.values()))
        counted = counted_proxies(self._tables.primary_lease)
        demands = {
            server: round(load.demand, 1)
            for server, load in self._tables.loads.items()
            if load.demand > MIN_DEMAND and server in self._tables.servers
        }
        for name, address in addresses.items():
            self._send_heartbeat(name, address, now, counted, demands)

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
            case RecordsCopy():
                self._state.apply_record_rows(_rows(message.rows))
            case ConfigurationCopy():
                self._state.apply_configuration(message.content)
            case ServersCopy():
                self._state.server_list.apply_snapshot(
                    _rows(message.rows), message.version
                )
            case PromotionBegun():
                self._state.apply_record_rows(_rows([message.record]))
                self.on_promotion_begun(message)
            case WorkStopped():
                self.on_work_stopped(message)
            case LoanRequest() | BorrowedRequest() | LoanReturn():
                self.on_borrower_message(message)
            case LoanReply() | BorrowedAnswer():
                self.on_lender_message(message)

    def send_records(self) -> None:
        """Send the records to all peers without awaiting their heartbeats."""
        copy = RecordsCopy(self._own.name, _copies(self._record_rows()))
        for address in self.addresses().values():
            self.send(address, copy)

    def _record_rows(self) -> Iterable[SharedRow]:
        """Return the rows to send; proxies read the proxy list themselves."""
        return [
            row
            for key, row in self._state.records.items()
            if not key.startswith(proxy_key(''))
        ]

    def _send_heartbeat(
        self,
        name: str,
        address: str,
        now: float,
        counted: set[str],
        demands: dict[str, float],
    ) -> None:
        last = self._last_heartbeats.get(name)
        primary_lease = self._tables.primary_lease
        none_begun = not primary_lease.promoting_groups
        if none_begun:
            self.none_begun_sent_at = now
        configuration = self._tables.configuration
        self.send(
            address,
            Heartbeat(
                sender=self._own.name,
                incarnation=self._own.incarnation,
                address=self._own.address,
                sent_at=now,
                echo=last[0].sent_at if last else 0,
                echo_incarnation=last[0].incarnation if last else 0,
                echo_age=now - last[1] if last else 0,
                draining=self._tables.draining,
                lease_age=min(
                    now - primary_lease.store_as_of, PEER_FORGOTTEN_S
                ),
                counts_recipient=name in counted,
                confirms_none_begun=none_begun,
                records_version=self._state.records_version,
                configuration_version=(
                    0 if configuration is None else configuration.version
                ),
                servers_version=self._state.server_list.version,
                primary_heard_ages=self._primary_heard_ages(now),
                demands=demands,
                failure_domain=self._tables.failure_domain,
                store_era=self._state.era,
                crossing_shares=announced_by(self._tables),
            ),
        )

    def _primary_heard_ages(self, now: float) -> dict[str, float]:
        ages = {
            group.name: now
            - server_load(self._tables, group.record.primary).heard_at
            for group in self._tables.groups.values()
            if group.record is not None
        }
        return {
            name: age for name, age in ages.items() if age < PEER_FORGOTTEN_S
        }

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
            heartbeat.demands,
            heartbeat.failure_domain,
            heartbeat.store_era,
            heartbeat.crossing_shares,
        )
        self._state.note_era(heartbeat.store_era)
        if heartbeat.echo_incarnation == self._own.incarnation:
            self._renew_lease(heartbeat, heartbeat.echo + heartbeat.echo_age)
        self._update_peer(heartbeat)

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

    def _update_peer(self, heartbeat: Heartbeat) -> None:
        """Send a peer copies of its outdated tables when they are due."""
        name = self._own.name
        state = self._state
        configuration = self._tables.configuration
        version = 0 if configuration is None else configuration.version
        if self._copy_is_due(
            heartbeat,
            RECORDS_SCHEDULE,
            heartbeat.records_version < state.records_version,
        ):
            self.send(
                heartbeat.address,
                RecordsCopy(name, _copies(self._record_rows())),
            )
        if self._copy_is_due(
            heartbeat,
            CONFIGURATION_SCHEDULE,
            heartbeat.configuration_version < version,
        ):
            self.send(
                heartbeat.address,
                ConfigurationCopy(name, state.configuration_content),
            )
        if self._copy_is_due(
            heartbeat,
            SERVERS_SCHEDULE,
            heartbeat.servers_version < state.server_list.version,
        ):
            rows = [
                row
                for row in state.server_list.rows.values()
                if not row.removed
            ]
            self.send(
                heartbeat.address,
                ServersCopy(name, state.server_list.version, _copies(rows)),
            )

    def _copy_is_due(
        self, heartbeat: Heartbeat, schedule: CopySchedule, is_outdated: bool
    ) -> bool:
        key = (heartbeat.sender, schedule)
        if not is_outdated:
            self._outdated.pop(key, None)
            return False
        now = steady_seconds()
        outdated = self._outdated.setdefault(key, OutdatedPeer(now, -math.inf))
        # No other proxy may have the records that this one has just read.
        reads = (
            schedule is RECORDS_SCHEDULE
            and self._state.reads_records_itself(now)
        )
        rank = (
            0
            if reads
            else copy_rank(self._own.name, heartbeat.sender, self._tables.peers)
        )
        due = copy_is_due(outdated, rank, schedule, now)
        if due:
            self._outdated[key] = outdated._replace(sent_at=now)
        return due


def _copies(rows: Iterable[SharedRow]) -> list[RowCopy]:
    return [RowCopy(row.key, row.content, row.version) for row in rows]


def _rows(copies: Iterable[RowCopy]) -> list[SharedRow]:
    return [SharedRow(copy.key, copy.content, copy.version) for copy in copies]


def _ignore(message) -> None:
    log_event('message ignored', message=repr(message))
