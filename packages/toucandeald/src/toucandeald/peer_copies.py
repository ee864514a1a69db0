"""Copies of shared rows for peers whose heartbeats report older ones."""

import math
from collections.abc import Callable, Iterable

from toucandeal.copy_schedule import (
    CopySchedule,
    OutdatedPeer,
    copy_is_due,
    copy_rank,
)
from toucandeal.fleet_tables import FleetTables, configuration_version
from toucandeal.protocol_versions import COMPRESSED_COPY_PROTOCOL
from toucandeald.configuration_copies import compress
from toucandeald.fleet_wire import (
    CompressedConfiguration,
    ConfigurationCopy,
    Heartbeat,
    RecordsCopy,
    RowCopy,
    ServersCopy,
)
from toucandeald.shared_records import group_key, proxy_key
from toucandeald.shared_state import SHORT_WAIT_PROXIES, SharedState
from toucandeald.shared_store import SharedRow
from toucandeald.steady_clock import steady_seconds

__all__ = ['PeerCopies', 'shared_rows']

SENDER_INTERVAL_S = 0.1  # between two proxies that may send a peer a copy
RECORDS_SENDER_INTERVAL_S = 0.05  # shorter: leases depend on the records
RETRY_INTERVAL_S = 0.4  # above heartbeat interval plus network delay
STORE_READ_TIME_S = 0.5  # for a peer's own read of the store on a narrow link
COPY_RETRY_INTERVAL_S = 3.0  # a 256 KB copy takes 0.5 s on the narrowest link
RECORDS_SCHEDULE = CopySchedule(0, RECORDS_SENDER_INTERVAL_S, RETRY_INTERVAL_S)
CONFIGURATION_SCHEDULE = CopySchedule(
    STORE_READ_TIME_S, 2 * SENDER_INTERVAL_S, COPY_RETRY_INTERVAL_S
)
COMPRESSED_SCHEDULE = CopySchedule(
    STORE_READ_TIME_S, SENDER_INTERVAL_S, RETRY_INTERVAL_S
)
# After a loss of all proxies any of them may be the first with a configuration.
STARTED_SCHEDULE = CopySchedule(0, SENDER_INTERVAL_S, RETRY_INTERVAL_S)
READER_SCHEDULE = CopySchedule(0, STORE_READ_TIME_S, RETRY_INTERVAL_S)
SERVERS_SCHEDULE = CopySchedule(
    STORE_READ_TIME_S, SENDER_INTERVAL_S, COPY_RETRY_INTERVAL_S
)


class PeerCopies:
    """Sends copies of the shared rows to outdated peers on schedule."""

    def __init__(
        self,
        tables: FleetTables,
        state: SharedState,
        send: Callable[[str, object], None],
    ) -> None:
        """Initialize with the state to copy and the function that sends."""
        self._tables = tables
        self._state = state
        self._send = send
        self._outdated: dict[tuple[str, str], OutdatedPeer] = {}
        self._compressed = (b'', b'')

    def records_copy(self) -> RecordsCopy:
        """Return the records, without the proxies.

        Proxies read the list of proxies themselves. The recipient counts the
        copy as complete up to its newest record. If this proxy has a group's
        record alone that is newer than all that it is certain to have, earlier
        changes of that group are not known here, and the copy has no groups.
        """
        state = self._state
        groups = {
            key: row
            for key, row in state.records.items()
            if key.startswith(group_key(''))
        }
        has_gap = any(
            row.version > state.records_version for row in groups.values()
        )
        rows = [
            row
            for key, row in state.records.items()
            if not key.startswith(proxy_key(''))
            and not (has_gap and key in groups)
        ]
        return RecordsCopy(self._tables.name, _copies(rows))

    def update_peer(self, heartbeat: Heartbeat) -> None:
        """Send a peer copies of its outdated tables when they are due."""
        state = self._state
        if self._is_due(
            heartbeat,
            'records',
            RECORDS_SCHEDULE,
            heartbeat.records_version < state.records_version,
        ):
            self._send(heartbeat.address, self.records_copy())
        if not self._may_send_tables():
            return
        is_outdated = heartbeat.configuration_version < configuration_version(
            self._tables
        )
        schedule = CONFIGURATION_SCHEDULE
        if is_outdated:
            schedule = self._configuration_schedule(heartbeat)
        if self._is_due(heartbeat, 'configuration', schedule, is_outdated):
            self._send(
                heartbeat.address, self._configuration_copy(heartbeat.sender)
            )
        if self._is_due(
            heartbeat,
            'servers',
            SERVERS_SCHEDULE,
            heartbeat.servers_version < state.server_list.version,
        ):
            rows = [
                row
                for row in state.server_list.rows.values()
                if not row.removed
            ]
            self._send(
                heartbeat.address,
                ServersCopy(
                    self._tables.name,
                    state.server_list.version,
                    _copies(rows),
                    state.server_list.departure_ages(),
                ),
            )

    def _configuration_schedule(self, heartbeat: Heartbeat) -> CopySchedule:
        """Return the schedule of copies of the configuration for a peer."""
        reads_compressed = self._reads_compressed(heartbeat.sender)
        if not self._state.configuration.uses_copies or not reads_compressed:
            return CONFIGURATION_SCHEDULE
        if not heartbeat.configuration_version:
            return STARTED_SCHEDULE
        if self._state.receives_copies:
            return COMPRESSED_SCHEDULE
        return READER_SCHEDULE

    def _configuration_copy(
        self, peer: str
    ) -> CompressedConfiguration | ConfigurationCopy:
        """Return a copy of the configuration that a peer can decode."""
        name = self._tables.name
        content = self._state.configuration.content
        position = self._state.configuration.position
        if position is None or not self._reads_compressed(peer):
            return ConfigurationCopy(name, content)
        if self._compressed[0] is not content:
            self._compressed = (content, compress(content))
        return CompressedConfiguration(name, self._compressed[1], position)

    def _reads_compressed(self, peer: str) -> bool:
        """Return whether a peer's present process knows the message.

        The record may still be of a later build that was rolled back.
        """
        record = self._tables.primary_lease.registered.get(peer)
        view = self._tables.peers.get(peer)
        return (
            record is not None
            and view is not None
            and record.incarnation == view.incarnation
            and record.protocol >= COMPRESSED_COPY_PROTOCOL
        )

    def _may_send_tables(self) -> bool:
        """Return whether this proxy sends the configuration and the servers.

        In a fleet with relays they go from relays to the others only.
        """
        assignment = self._tables.relay_assignment
        return assignment is None or assignment.is_relay(self._tables.name)

    def _is_due(
        self,
        heartbeat: Heartbeat,
        kind: str,
        schedule: CopySchedule,
        is_outdated: bool,
    ) -> bool:
        key = (heartbeat.sender, kind)
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
        if schedule is READER_SCHEDULE:
            rank = self._reader_rank(heartbeat.sender)
        else:
            rank = 0 if reads else self._rank(heartbeat.sender)
        due = copy_is_due(outdated, rank, schedule, now)
        if due:
            self._outdated[key] = outdated._replace(sent_at=now)
        return due

    def _reader_rank(self, peer: str) -> int:
        """Return 0 at the reader that sends copies to a peer, or 1.

        The other one sends them if they have not arrived after the interval.
        """
        names = sorted({*self._tables.peers, self._tables.name})
        readers = names[:SHORT_WAIT_PROXIES]
        return int(copy_rank(self._tables.name, peer, readers) > 0)

    def _rank(self, peer: str) -> int:
        """Return the rank among the proxies that hear a peer's heartbeats."""
        senders: Iterable[str] = self._tables.peers
        assignment = self._tables.relay_assignment
        if assignment is not None:
            senders = assignment.relays_of.get(peer, assignment.attached)
        return copy_rank(self._tables.name, peer, senders)


def shared_rows(copies: Iterable[RowCopy]) -> list[SharedRow]:
    """Return the rows of which a peer has sent copies."""
    return [SharedRow(copy.key, copy.content, copy.version) for copy in copies]


def _copies(rows: Iterable[SharedRow]) -> list[RowCopy]:
    return [RowCopy(row.key, row.content, row.version) for row in rows]
