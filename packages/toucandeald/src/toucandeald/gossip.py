"""Beats between proxies: who lives, what they rest on, and what they lack."""

import math
from collections.abc import Callable, Iterable

from toucandeal.copy_turns import (
    CopyPace,
    Lacking,
    copy_is_due,
    copy_rank,
)
from toucandeal.fleet import ProxyRecord
from toucandeal.fleet_tables import FleetTables, PeerView, server_load
from toucandeal.permissions import PeerWord, counted_proxies, rest_on
from toucandeald.fleet_wire import (
    Beat,
    Begun,
    ConfigurationCopy,
    RecordsCopy,
    RowCopy,
    ServersCopy,
    Stopped,
)
from toucandeald.lending_wire import Answered, Asked, GivenBack, Lent, Wanted
from toucandeald.logs import log_event
from toucandeald.peers import PeerSockets
from toucandeald.shared_records import proxy_key
from toucandeald.shared_state import SharedState
from toucandeald.shared_store import SharedRow
from toucandeald.steady_clock import steady_seconds

__all__ = ['BEAT_S', 'Gossip']

BEAT_S = 0.25
PEER_SILENT_S = 1.0  # then it counts as not live
PEER_FORGOTTEN_S = 30.0
TURN_S = 0.1  # between the proxies that may send a peer a copy
RECORDS_TURN_S = 0.05  # a permission rests on the records
RECORDS_AGAIN_S = 0.4  # more than a beat and the way to the peer
STORE_TIME_S = 0.5  # for a peer to read the store itself, on a narrow link
COPY_AGAIN_S = 3.0  # a copy of 256 KB takes half a second on the narrowest link
RECORDS = CopyPace(0, RECORDS_TURN_S, RECORDS_AGAIN_S)
CONFIGURATION = CopyPace(STORE_TIME_S, 2 * TURN_S, COPY_AGAIN_S)
SERVERS = CopyPace(STORE_TIME_S, TURN_S, COPY_AGAIN_S)
LEAST_DEMAND = 0.1  # of a connection; less is not worth telling


class Gossip:
    """What passes between this proxy and its peers."""

    def __init__(
        self, tables: FleetTables, state: SharedState, own: ProxyRecord
    ) -> None:
        """Take the tables; `sockets` is set by the composition root."""
        self.sockets: PeerSockets | None = None
        self.on_begun: Callable[[str], None] = _ignore
        self.on_stopped: Callable[[Stopped], None] = _ignore
        self.on_borrower: Callable[[Wanted | Asked | GivenBack], None] = _ignore
        self.on_lender: Callable[[Lent | Answered], None] = _ignore
        self.last_stated_at = steady_seconds()
        self._tables = tables
        self._state = state
        self._own = own
        self._heard: dict[str, tuple[Beat, float]] = {}
        self._greeted: set[str] = set()
        self._lacking: dict[tuple[str, CopyPace], Lacking] = {}

    @property
    def own_address(self) -> str:
        """Return where the peers reach this proxy."""
        return self._own.address

    def greet(self) -> None:
        """Send a beat as soon as there is a peer that had none."""
        if not self._greeted >= self.addresses().keys():
            self.beat()

    def beat(self) -> None:
        """Send a beat to all peers, and forget those silent for long."""
        now = steady_seconds()
        for name, peer in list(self._tables.peers.items()):
            if now - peer.heard_at > PEER_FORGOTTEN_S:
                self._tables.peers.pop(name)
                self._heard.pop(name, None)
        addresses = self.addresses()
        self._greeted = set(addresses)
        self.sockets.keep_only(set(addresses.values()))
        counted = counted_proxies(self._tables.permissions)
        demands = {
            server: round(load.demand, 1)
            for server, load in self._tables.loads.items()
            if load.demand > LEAST_DEMAND and server in self._tables.servers
        }
        for name, address in addresses.items():
            self._send_beat(name, address, now, counted, demands)

    def addresses(self) -> dict[str, str]:
        """Return the peers that are registered or heard, and where."""
        registered = self._tables.permissions.registered.values()
        known = {
            peer.name: peer.address for peer in self._tables.peers.values()
        } | {record.name: record.address for record in registered}
        known.pop(self._own.name, None)
        return known

    def send(self, address: str, message) -> None:
        """Send a message to one peer."""
        self.sockets.send(address, message)

    def send_to(self, names: set[str], message) -> None:
        """Send a message to those of the peers that are named."""
        for name, address in self.addresses().items():
            if name in names:
                self.send(address, message)

    def received(self, message) -> None:
        """Take in a message."""
        match message:
            case Beat():
                self._take_beat(message)
            case RecordsCopy():
                self._state.take_record_rows(_rows(message.rows))
            case ConfigurationCopy():
                self._state.take_configuration(message.content)
            case ServersCopy():
                self._state.take_server_snapshot(
                    _rows(message.rows), message.version
                )
            case Begun():
                self._state.take_record_rows(_rows([message.record]))
                self.on_begun(message)
            case Stopped():
                self.on_stopped(message)
            case Wanted() | Asked() | GivenBack():
                self.on_borrower(message)
            case Lent() | Answered():
                self.on_lender(message)

    def share_records(self) -> None:
        """Send the records to all peers without waiting for their beats."""
        copy = RecordsCopy(self._own.name, _copies(self._record_rows()))
        for address in self.addresses().values():
            self.send(address, copy)

    def _record_rows(self) -> Iterable[SharedRow]:
        """Return the rows that peers take in; proxies read their own list."""
        return [
            row
            for key, row in self._state.records.items()
            if not key.startswith(proxy_key(''))
        ]

    def _send_beat(
        self,
        name: str,
        address: str,
        now: float,
        counted: set[str],
        demands: dict[str, float],
    ) -> None:
        heard = self._heard.get(name)
        permissions = self._tables.permissions
        none_begun = not permissions.begun
        if none_begun:
            self.last_stated_at = now
        configuration = self._tables.configuration
        self.send(
            address,
            Beat(
                sender=self._own.name,
                incarnation=self._own.incarnation,
                address=self._own.address,
                sent_at=now,
                echo=heard[0].sent_at if heard else 0,
                echo_incarnation=heard[0].incarnation if heard else 0,
                echo_held=now - heard[1] if heard else 0,
                draining=self._tables.draining,
                basis_age=min(now - permissions.store_as_of, PEER_FORGOTTEN_S),
                counts_addressee=name in counted,
                states_none_begun=none_begun,
                records_version=self._state.records_version,
                configuration_version=(
                    0 if configuration is None else configuration.version
                ),
                servers_version=self._state.servers_version,
                primary_heard=self._primary_heard(now),
                demands=demands,
                failure_domain=self._tables.failure_domain,
            ),
        )

    def _primary_heard(self, now: float) -> dict[str, float]:
        heard = {
            group.name: now
            - server_load(self._tables, group.record.primary).heard_at
            for group in self._tables.groups.values()
            if group.record is not None
        }
        return {
            name: age for name, age in heard.items() if age < PEER_FORGOTTEN_S
        }

    def _take_beat(self, beat: Beat) -> None:
        now = steady_seconds()
        known = self._tables.peers.get(beat.sender)
        if known is None or known.incarnation != beat.incarnation:
            log_event('peer', name=beat.sender, incarnation=beat.incarnation)
        elif now - known.heard_at > PEER_SILENT_S:
            log_event('peer regained', name=beat.sender)
        self._heard[beat.sender] = (beat, now)
        self._tables.peers[beat.sender] = PeerView(
            beat.sender,
            beat.incarnation,
            beat.address,
            now,
            beat.draining,
            beat.counts_addressee,
            {name: now - age for name, age in beat.primary_heard.items()},
            beat.demands,
            beat.failure_domain,
        )
        if beat.echo_incarnation == self._own.incarnation:
            self._rest_on(beat, beat.echo + beat.echo_held)
        self._complete(beat)

    def _rest_on(self, beat: Beat, sent_after: float) -> None:
        """Take over what a peer rests on; it was sent after `sent_after`."""
        if beat.counts_addressee:
            word = PeerWord(
                beat.sender,
                beat.incarnation,
                beat.records_version,
                beat.basis_age,
                beat.states_none_begun,
            )
            rest_on(
                self._tables.permissions,
                word,
                self._state.records_version,
                sent_after,
            )

    def _complete(self, beat: Beat) -> None:
        """Send a peer what it lacks, when it is this proxy's turn."""
        name = self._own.name
        state = self._state
        configuration = self._tables.configuration
        version = 0 if configuration is None else configuration.version
        if self._copy_is_due(
            beat, RECORDS, beat.records_version < state.records_version
        ):
            self.send(
                beat.address, RecordsCopy(name, _copies(self._record_rows()))
            )
        if self._copy_is_due(
            beat, CONFIGURATION, beat.configuration_version < version
        ):
            self.send(
                beat.address,
                ConfigurationCopy(name, state.configuration_content),
            )
        if self._copy_is_due(
            beat, SERVERS, beat.servers_version < state.servers_version
        ):
            rows = [row for row in state.servers.values() if not row.removed]
            self.send(
                beat.address,
                ServersCopy(name, state.servers_version, _copies(rows)),
            )

    def _copy_is_due(self, beat: Beat, pace: CopyPace, behind: bool) -> bool:
        known = (beat.sender, pace)
        if not behind:
            self._lacking.pop(known, None)
            return False
        now = steady_seconds()
        lacking = self._lacking.setdefault(known, Lacking(now, -math.inf))
        # Nobody else may have what this proxy has just read.
        reads = pace is RECORDS and self._state.reads_records(now)
        rank = (
            0
            if reads
            else copy_rank(self._own.name, beat.sender, self._tables.peers)
        )
        due = copy_is_due(lacking, rank, pace, now)
        if due:
            self._lacking[known] = lacking._replace(sent_at=now)
        return due


def _copies(rows: Iterable[SharedRow]) -> list[RowCopy]:
    return [RowCopy(row.key, row.content, row.version) for row in rows]


def _rows(copies: Iterable[RowCopy]) -> list[SharedRow]:
    return [SharedRow(copy.key, copy.content, copy.version) for copy in copies]


def _ignore(message) -> None:
    log_event('message not used', message=repr(message))
