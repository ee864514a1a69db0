"""Keep a proxy's tables up to date with the platform's store.

Long polls return changes of the configuration and of the list of servers. The
shared records are read at intervals, because the lease to use primaries is
granted from the time of the last read. One proxy reads them, and its peers
renew their leases from its heartbeats as long as they receive them.
"""

import math
from collections.abc import Callable
from typing import NamedTuple, Protocol

from toucandeal.errors import StoreUnavailable
from toucandeal.fleet import (
    FleetConfiguration,
    GroupRecord,
    ProxyRecord,
    Server,
)
from toucandeal.fleet_tables import (
    FleetTables,
    apply_configuration,
    apply_record,
    server_load,
)
from toucandeal.primary_lease import lease_expires_at, record_store_read
from toucandeald.background_tasks import run_in_background
from toucandeald.logs import log_event
from toucandeald.shared_records import (
    RECORDS_TABLE,
    PromotionLock,
    decode_records,
    encode_proxy,
    proxy_key,
)
from toucandeald.shared_store import (
    HistoryGone,
    Precondition,
    Put,
    SharedRow,
    Snapshot,
)
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['SharedState', 'SharedTables']

FEED_WAIT_S = 2.0  # limits how long a dead connection goes undetected
RELAYED_FEED_WAIT_S = 10.0  # for proxies that peers also send changes to
SHORT_WAIT_PROXIES = 2  # use FEED_WAIT_S; two, so that one may be isolated
RETRY_DELAY_S = 0.15  # after a call that the store did not answer
MAX_RETRY_DELAY_S = 0.6  # while the store keeps failing calls
READ_INTERVAL_S = 0.3  # of the proxy that reads the records for its peers
RELAYED_LEASE_AGE_S = 0.6  # an older lease is renewed by an own read
RANK_DELAY_S = 0.05  # added per rank, so that proxies do not all read at once
OWN_READ_INTERVAL_S = 3.0  # peers do not relay the registered proxies
REMOVAL_DELAY_S = 2.5  # entries that lapsed in a store outage are back by then
CHECK_INTERVAL_S = 0.05


class SharedTables(NamedTuple):
    """Names of tables written by other components, and row decoders."""

    configuration_table: str
    configuration_key: str
    decode_configuration: Callable[[bytes], FleetConfiguration]
    server_table: str
    decode_server: Callable[[SharedRow], Server]


class Store(Protocol):
    """The store calls that this module needs from an adapter's client."""

    async def read_all(self, table: str) -> Snapshot:
        """Return a table's rows."""

    async def changes(self, table: str, after: int, wait_s: float):
        """Return the rows of a table that changed after a version."""

    async def transact(self, preconditions, puts, removes=()):
        """Write and remove rows if all preconditions hold."""


class SharedState:
    """The rows that this proxy has read from the shared tables."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        store: Store,
        shared: SharedTables,
        own: ProxyRecord,
    ) -> None:
        """Initialize without any rows."""
        self.on_record: Callable[[GroupRecord, float], None] = _ignore
        self.promotion_lock = PromotionLock()
        self.lock_seen_at = steady_seconds()
        self.record_seen_at: dict[str, float] = {}
        self.records: dict[str, SharedRow] = {}
        self.servers: dict[str, SharedRow] = {}
        self.servers_version = -1
        self.configuration_content = b''
        self.store_reachable = False
        self._clock = clock
        self._tables = tables
        self._store = store
        self._shared = shared
        self._own = own
        self.server_list_complete_at = math.inf
        self._removed_at: dict[str, float] = {}
        self._read_at = -OWN_READ_INTERVAL_S
        self._unreadable: dict[str, int] = {}
        self._stopped = False

    @property
    def has_read_records(self) -> bool:
        """Return whether the shared records have been read at least once."""
        return self._tables.primary_lease.registered_as_of > -math.inf

    @property
    def records_version(self) -> int:
        """Return the highest version of a group's record."""
        return max(
            (
                group.record.version
                for group in self._tables.groups.values()
                if group.record is not None
            ),
            default=0,
        )

    def reads_records_itself(self, now: float) -> bool:
        """Return whether this proxy reads the shared records itself."""
        return (
            self.store_reachable and now - self._read_at < RELAYED_LEASE_AGE_S
        )

    def start(self) -> None:
        """Start the long polls and the periodic reads."""
        for coroutine in (
            self._follow(
                self._shared.configuration_table,
                self.apply_configuration_rows,
                self.apply_configuration_rows,
            ),
            self._follow(
                self._shared.server_table,
                self.apply_server_changes,
                self._apply_server_snapshot,
            ),
            self._read_periodically(),
        ):
            run_in_background(coroutine)

    async def deregister(self) -> None:
        """Stop reading the store and remove this proxy's record."""
        self._stopped = True
        try:
            await self._store.transact(
                [], [], [(RECORDS_TABLE, proxy_key(self._own.name))]
            )
        except StoreUnavailable as error:
            log_event('deregistration failed', reason=str(error))

    def tick(self, now: float) -> None:
        """Drop servers whose entries were removed `REMOVAL_DELAY_S` ago."""
        for name, removed_at in list(self._removed_at.items()):
            if now - removed_at >= REMOVAL_DELAY_S:
                self._removed_at.pop(name)
                self._tables.servers.pop(name, None)
                log_event('server gone', server=name)

    async def read_records(self) -> bool:
        """Read the shared records and return whether the store answered."""
        sent_at = steady_seconds()
        self._read_at = sent_at
        try:
            snapshot = await self._store.read_all(RECORDS_TABLE)
        except StoreUnavailable as error:
            self._store_lost(str(error))
            return False
        if not self.store_reachable:
            self.store_reachable = True
            self.server_list_complete_at = steady_seconds() + REMOVAL_DELAY_S
            log_event('store regained')
        self._apply_records(snapshot, sent_at)
        return True

    def apply_record_rows(self, rows: list[SharedRow]) -> None:
        """Apply newer records, from the store or from a peer."""
        decoded = decode_records(rows)
        now = steady_seconds()
        expires_at = lease_expires_at(self._tables.primary_lease, now)
        for key in decoded.unreadable:
            log_event('record unreadable', key=key)
        for row in rows:
            known = self.records.get(row.key)
            if known is None or row.version > known.version:
                self.records[row.key] = row
        if decoded.promotion_lock.version > self.promotion_lock.version:
            self.promotion_lock = decoded.promotion_lock
            self.lock_seen_at = now
        for record in decoded.groups:
            if apply_record(self._tables, record):
                self.record_seen_at[record.group] = now
                log_event('record', **record._asdict())
                self.on_record(record, expires_at)

    def apply_configuration_rows(self, rows: list[SharedRow]) -> None:
        """Apply the configuration if it is among the rows."""
        for row in rows:
            if row.key == self._shared.configuration_key and not row.removed:
                self.apply_configuration(row.content)

    def apply_configuration(self, content: bytes) -> None:
        """Put a configuration in force if it is newer than the present one."""
        try:
            configuration = self._shared.decode_configuration(content)
        except ValueError as error:
            log_event('configuration unreadable', reason=str(error))
            return
        if apply_configuration(self._tables, configuration):
            self.configuration_content = content
            log_event(
                'configuration in force',
                version=configuration.version,
                routes=len(configuration.routes),
                groups=len(configuration.groups),
            )

    def apply_server_changes(self, rows: list[SharedRow]) -> None:
        """Apply newer entries of the list of servers."""
        for row in rows:
            known = self.servers.get(row.key)
            if known is None or row.version > known.version:
                self._apply_server(row)

    def apply_server_snapshot(
        self, rows: list[SharedRow], version: int
    ) -> None:
        """Apply the whole list of servers if it is newer than the known one."""
        if version <= self.servers_version:
            return
        self.apply_server_changes(rows)
        present = {row.key for row in rows}
        for key, known in list(self.servers.items()):
            if key not in present and not known.removed:
                self._apply_server(SharedRow(key, b'', version, removed=True))
        self.servers_version = version

    def _apply_server_snapshot(self, rows: list[SharedRow]) -> None:
        newest = max((row.version for row in rows), default=0)
        self.apply_server_snapshot(rows, newest)

    def server_list_is_complete(self, now: float) -> bool:
        """Return whether a server without an entry is certain to be gone.

        Entries that lapsed during a store outage are renewed within
        `REMOVAL_DELAY_S` of its end.
        """
        return now >= self.server_list_complete_at

    def _apply_server(self, row: SharedRow) -> None:
        self.servers[row.key] = row
        self.servers_version = max(self.servers_version, row.version)
        if row.removed:
            if row.key in self._tables.servers:
                self._removed_at.setdefault(row.key, steady_seconds())
                log_event('server entry removed', server=row.key)
            return
        self._removed_at.pop(row.key, None)
        try:
            server = self._shared.decode_server(row)
        except ValueError as error:
            self._tables.servers.pop(row.key, None)
            log_event('entry unreadable', server=row.key, reason=str(error))
            return
        known = self._tables.servers.get(server.name)
        self._tables.servers[server.name] = server
        if known is not None and known.born_ms != server.born_ms:
            # A restarted server holds no earlier data: discard observations.
            self._tables.loads.pop(server.name, None)
        server_load(self._tables, server.name)
        if server != known:
            log_event('server', **server._asdict())

    def _apply_records(self, snapshot: Snapshot, sent_at: float) -> None:
        decoded = decode_records(snapshot.rows)
        for key in set(self.records) - {row.key for row in snapshot.rows}:
            self.records.pop(key)
        self.apply_record_rows(snapshot.rows)
        record_store_read(self._tables.primary_lease, sent_at, decoded.proxies)

    def _store_lost(self, reason: str) -> None:
        if self.store_reachable:
            log_event('store lost', reason=reason)
        self.store_reachable = False

    async def _follow(
        self,
        table: str,
        apply: Callable[[list[SharedRow]], None],
        reset: Callable[[list[SharedRow]], None],
    ) -> None:
        version = None
        retry_delay_s = RETRY_DELAY_S
        while not self._stopped:
            try:
                if version is None:
                    snapshot = await self._store.read_all(table)
                    reset(snapshot.rows)
                    version = snapshot.version
                uses_short_wait = self._rank() < SHORT_WAIT_PROXIES
                changes = await self._store.changes(
                    table,
                    version,
                    FEED_WAIT_S if uses_short_wait else RELAYED_FEED_WAIT_S,
                )
            except StoreUnavailable as error:
                log_event('feed lost', table=table, reason=str(error))
                await pause(self._clock, retry_delay_s)
                retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)
                continue
            retry_delay_s = RETRY_DELAY_S
            if isinstance(changes, HistoryGone):
                log_event('feed restarted', table=table, after=version)
                version = None
            else:
                apply(changes.rows)
                version = changes.version

    async def _read_periodically(self) -> None:
        while not self._stopped:
            now = steady_seconds()
            primary_lease = self._tables.primary_lease
            registered = primary_lease.registered.get(self._own.name)
            if self.store_reachable and (
                registered is None
                or registered.silent
                or registered.incarnation != self._own.incarnation
            ):
                await self._register()
                await self.read_records()
            elif self._read_is_due(now):
                await self.read_records()
                if not self.store_reachable:
                    await pause(self._clock, self._retry_delay_s())
            await pause(self._clock, CHECK_INTERVAL_S)

    def _retry_delay_s(self) -> float:
        """Return the delay before a retry, after the store did not answer.

        It is longer while the lease does not expire soon, because peers may
        renew it in time.
        """
        now = steady_seconds()
        remaining_s = lease_expires_at(self._tables.primary_lease, now) - now
        return (
            MAX_RETRY_DELAY_S
            if remaining_s > MAX_RETRY_DELAY_S
            else RETRY_DELAY_S
        )

    def _rank(self) -> int:
        """Return this proxy's rank by name among the peers that it hears."""
        return sum(name < self._own.name for name in self._tables.peers)

    def _read_is_due(self, now: float) -> bool:
        primary_lease = self._tables.primary_lease
        elapsed_s = now - self._read_at
        unregistered = set(self._tables.peers) - set(primary_lease.registered)
        if elapsed_s >= OWN_READ_INTERVAL_S or (
            unregistered and elapsed_s >= READ_INTERVAL_S
        ):
            return True
        rank = self._rank()
        due_s = (
            RELAYED_LEASE_AGE_S + rank * RANK_DELAY_S
            if rank
            else READ_INTERVAL_S
        )
        return now - primary_lease.store_as_of >= due_s

    async def mark_silent(self, record: ProxyRecord) -> None:
        """Mark a proxy as silent in the shared records."""
        key = proxy_key(record.name)
        marked = record._replace(silent=True)
        try:
            await self._store.transact(
                [Precondition(RECORDS_TABLE, key, record.version)],
                [Put(RECORDS_TABLE, key, encode_proxy(marked))],
            )
        except StoreUnavailable as error:
            log_event('not marked silent', proxy=record.name, reason=str(error))
            return
        log_event('marked silent', proxy=record.name)
        await self.read_records()

    async def remove_proxy(self, record: ProxyRecord) -> None:
        """Remove the record of a silent proxy."""
        key = proxy_key(record.name)
        try:
            await self._store.transact(
                [Precondition(RECORDS_TABLE, key, record.version)],
                [],
                [(RECORDS_TABLE, key)],
            )
        except StoreUnavailable as error:
            log_event(
                'silent proxy not removed', proxy=record.name, reason=str(error)
            )

    async def _register(self) -> None:
        put = Put(
            RECORDS_TABLE, proxy_key(self._own.name), encode_proxy(self._own)
        )
        try:
            await self._store.transact([], [put])
        except StoreUnavailable as error:
            log_event('registration failed', reason=str(error))
            await pause(self._clock, RETRY_DELAY_S)
            return
        log_event('registered', address=self._own.address)


def _ignore(record: GroupRecord, expires_at: float) -> None:
    log_event('record ignored', group=record.group, until=expires_at)
