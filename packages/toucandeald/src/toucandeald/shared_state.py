"""Keeps the tables up to date with the platform's store.

The configuration and the list of servers are followed by long polls. The
shared records are read every so often, because a permission to work with
primaries rests on when they were last read; one proxy reads them and its
peers rest on its word while they hear from it.
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
    learn_configuration,
    learn_record,
    server_load,
)
from toucandeal.permissions import basis_ends_at, record_store_read
from toucandeald.faults import run
from toucandeald.logs import log_event
from toucandeald.shared_records import (
    RECORDS_TABLE,
    Duty,
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

FEED_WAIT_S = 2.0  # a connection that died silently is noticed after this
LONG_FEED_WAIT_S = 10.0  # of the proxies that also hear changes from others
FOLLOWERS = 2  # proxies with the short wait, so that one may be cut off
AGAIN_S = 0.15  # between calls that the store does not answer
FEED_AGAIN_S = 0.6  # at most, while the store goes on to turn calls away
READ_S = 0.3  # between reads of the records by the proxy that reads them
RELAYED_READ_S = 0.6  # the age at which a relayed basis is renewed oneself
RANK_S = 0.05  # more for each proxy, so that not all read at once
OWN_READ_S = 3.0  # the registered proxies are not relayed
GONE_HOLD_S = 2.5  # an entry that lapsed with the store down is back by then
CHECK_S = 0.05


class SharedTables(NamedTuple):
    """Where others write, and what decodes their rows."""

    configuration_table: str
    configuration_key: str
    decode_configuration: Callable[[bytes], FleetConfiguration]
    server_table: str
    decode_server: Callable[[SharedRow], Server]


class Store(Protocol):
    """The calls that this module makes; the adapter's client has them."""

    async def read_all(self, table: str) -> Snapshot:
        """Return a table's rows."""

    async def changes(self, table: str, after: int, wait_s: float):
        """Return what has changed in a table."""

    async def transact(self, preconditions, puts, removes=()):
        """Write rows under preconditions."""


class SharedState:
    """What this proxy has read of the shared tables."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        store: Store,
        shared: SharedTables,
        own: ProxyRecord,
    ) -> None:
        """Take the tables to keep up to date."""
        self.on_record: Callable[[GroupRecord, float], None] = _ignore
        self.duty = Duty()
        self.duty_seen_at = steady_seconds()
        self.record_seen_at: dict[str, float] = {}
        self.records: dict[str, SharedRow] = {}
        self.servers: dict[str, SharedRow] = {}
        self.servers_version = -1
        self.configuration_content = b''
        self.store_answers = False
        self._clock = clock
        self._tables = tables
        self._store = store
        self._shared = shared
        self._own = own
        self.servers_settled_at = math.inf
        self._gone_at: dict[str, float] = {}
        self._read_at = -OWN_READ_S
        self._unreadable: dict[str, int] = {}
        self._stopped = False

    @property
    def records_read(self) -> bool:
        """Return whether the shared records have been read at all."""
        return self._tables.permissions.registered_as_of > -math.inf

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

    def reads_records(self, now: float) -> bool:
        """Return whether this proxy reads the shared records itself."""
        return self.store_answers and now - self._read_at < RELAYED_READ_S

    def start(self) -> None:
        """Begin to follow the store."""
        for following in (
            self._follow(
                self._shared.configuration_table,
                self.take_configuration_rows,
                self.take_configuration_rows,
            ),
            self._follow(
                self._shared.server_table,
                self.take_server_changes,
                self._take_server_snapshot,
            ),
            self._keep_reading(),
        ):
            run(following)

    async def leave(self) -> None:
        """Remove this proxy from the registered ones."""
        self._stopped = True
        try:
            await self._store.transact(
                [], [], [(RECORDS_TABLE, proxy_key(self._own.name))]
            )
        except StoreUnavailable as error:
            log_event('still registered', reason=str(error))

    def tick(self, now: float) -> None:
        """Drop the servers whose entries have been gone for long enough."""
        for name, gone_at in list(self._gone_at.items()):
            if now - gone_at >= GONE_HOLD_S:
                self._gone_at.pop(name)
                self._tables.servers.pop(name, None)
                log_event('server gone', server=name)

    async def read_records(self) -> bool:
        """Read the shared records; return whether the store answered."""
        sent_at = steady_seconds()
        self._read_at = sent_at
        try:
            snapshot = await self._store.read_all(RECORDS_TABLE)
        except StoreUnavailable as error:
            self._store_lost(str(error))
            return False
        if not self.store_answers:
            self.store_answers = True
            self.servers_settled_at = steady_seconds() + GONE_HOLD_S
            log_event('store regained')
        self._take_records(snapshot, sent_at)
        return True

    def take_record_rows(self, rows: list[SharedRow]) -> None:
        """Take in records, from the store or from a peer."""
        decoded = decode_records(rows)
        now = steady_seconds()
        ends_at = basis_ends_at(self._tables.permissions, now)
        for key in decoded.unreadable:
            log_event('record unreadable', key=key)
        for row in rows:
            known = self.records.get(row.key)
            if known is None or row.version > known.version:
                self.records[row.key] = row
        if decoded.duty.version > self.duty.version:
            self.duty = decoded.duty
            self.duty_seen_at = now
        for record in decoded.groups:
            if learn_record(self._tables, record):
                self.record_seen_at[record.group] = now
                log_event('record', **record._asdict())
                self.on_record(record, ends_at)

    def take_configuration_rows(self, rows: list[SharedRow]) -> None:
        """Take in the configuration where it is among the rows."""
        for row in rows:
            if row.key == self._shared.configuration_key and not row.removed:
                self.take_configuration(row.content)

    def take_configuration(self, content: bytes) -> None:
        """Put a configuration in force unless it is an older one."""
        try:
            learned = self._shared.decode_configuration(content)
        except ValueError as error:
            log_event('configuration unreadable', reason=str(error))
            return
        if learn_configuration(self._tables, learned):
            self.configuration_content = content
            log_event(
                'configuration in force',
                version=learned.version,
                routes=len(learned.routes),
                groups=len(learned.groups),
            )

    def take_server_changes(self, rows: list[SharedRow]) -> None:
        """Take in changed entries of the list of servers."""
        for row in rows:
            known = self.servers.get(row.key)
            if known is None or row.version > known.version:
                self._take_server(row)

    def take_server_snapshot(self, rows: list[SharedRow], version: int) -> None:
        """Take in the whole list of servers unless it is an older one."""
        if version <= self.servers_version:
            return
        self.take_server_changes(rows)
        present = {row.key for row in rows}
        for key, known in list(self.servers.items()):
            if key not in present and not known.removed:
                self._take_server(SharedRow(key, b'', version, removed=True))
        self.servers_version = version

    def _take_server_snapshot(self, rows: list[SharedRow]) -> None:
        newest = max((row.version for row in rows), default=0)
        self.take_server_snapshot(rows, newest)

    def has_settled(self, now: float) -> bool:
        """Return whether an entry that is missing is surely gone.

        Entries that lapsed while the store was away come back within a time.
        """
        return now >= self.servers_settled_at

    def _take_server(self, row: SharedRow) -> None:
        self.servers[row.key] = row
        self.servers_version = max(self.servers_version, row.version)
        if row.removed:
            if row.key in self._tables.servers:
                self._gone_at.setdefault(row.key, steady_seconds())
                log_event('server entry removed', server=row.key)
            return
        self._gone_at.pop(row.key, None)
        try:
            server = self._shared.decode_server(row)
        except ValueError as error:
            self._tables.servers.pop(row.key, None)
            log_event('entry unreadable', server=row.key, reason=str(error))
            return
        known = self._tables.servers.get(server.name)
        self._tables.servers[server.name] = server
        if known is not None and known.born_ms != server.born_ms:
            # It holds nothing of before, so what was observed is void.
            self._tables.loads.pop(server.name, None)
        server_load(self._tables, server.name)
        if server != known:
            log_event('server', **server._asdict())

    def _take_records(self, snapshot: Snapshot, sent_at: float) -> None:
        decoded = decode_records(snapshot.rows)
        for key in set(self.records) - {row.key for row in snapshot.rows}:
            self.records.pop(key)
        self.take_record_rows(snapshot.rows)
        record_store_read(self._tables.permissions, sent_at, decoded.proxies)

    def _store_lost(self, reason: str) -> None:
        if self.store_answers:
            log_event('store lost', reason=reason)
        self.store_answers = False

    async def _follow(
        self,
        table: str,
        take: Callable[[list[SharedRow]], None],
        reset: Callable[[list[SharedRow]], None],
    ) -> None:
        version = None
        again_s = AGAIN_S
        while not self._stopped:
            try:
                if version is None:
                    snapshot = await self._store.read_all(table)
                    reset(snapshot.rows)
                    version = snapshot.version
                short = self._rank() < FOLLOWERS
                changes = await self._store.changes(
                    table, version, FEED_WAIT_S if short else LONG_FEED_WAIT_S
                )
            except StoreUnavailable as error:
                log_event('feed lost', table=table, reason=str(error))
                await pause(self._clock, again_s)
                again_s = min(again_s * 2, FEED_AGAIN_S)
                continue
            again_s = AGAIN_S
            if isinstance(changes, HistoryGone):
                log_event('feed restarted', table=table, after=version)
                version = None
            else:
                take(changes.rows)
                version = changes.version

    async def _keep_reading(self) -> None:
        while not self._stopped:
            now = steady_seconds()
            permissions = self._tables.permissions
            registered = permissions.registered.get(self._own.name)
            if self.store_answers and (
                registered is None
                or registered.silent
                or registered.incarnation != self._own.incarnation
            ):
                await self._register()
                await self.read_records()
            elif self._read_is_due(now):
                await self.read_records()
                if not self.store_answers:
                    await pause(self._clock, self._again_s())
            await pause(self._clock, CHECK_S)

    def _again_s(self) -> float:
        """Return the pause before a store that gives no answer is asked again.

        While the word of a peer will do, there is no hurry.
        """
        now = steady_seconds()
        left_s = basis_ends_at(self._tables.permissions, now) - now
        return FEED_AGAIN_S if left_s > FEED_AGAIN_S else AGAIN_S

    def _rank(self) -> int:
        """Return this proxy's place among those that it hears."""
        return sum(name < self._own.name for name in self._tables.peers)

    def _read_is_due(self, now: float) -> bool:
        permissions = self._tables.permissions
        past_s = now - self._read_at
        newcomers = set(self._tables.peers) - set(permissions.registered)
        if past_s >= OWN_READ_S or (newcomers and past_s >= READ_S):
            return True
        rank = self._rank()
        due_s = RELAYED_READ_S + rank * RANK_S if rank else READ_S
        return now - permissions.store_as_of >= due_s

    async def mark_silent(self, record: ProxyRecord) -> None:
        """Mark a proxy that has not been heard for some time."""
        key = proxy_key(record.name)
        marked = record._replace(silent=True)
        try:
            await self._store.transact(
                [Precondition(RECORDS_TABLE, key, record.version)],
                [Put(RECORDS_TABLE, key, encode_proxy(marked))],
            )
        except StoreUnavailable as error:
            log_event('not marked', proxy=record.name, reason=str(error))
            return
        log_event('marked silent', proxy=record.name)
        await self.read_records()

    async def forget(self, record: ProxyRecord) -> None:
        """Remove the record of a proxy that has been silent for long."""
        key = proxy_key(record.name)
        try:
            await self._store.transact(
                [Precondition(RECORDS_TABLE, key, record.version)],
                [],
                [(RECORDS_TABLE, key)],
            )
        except StoreUnavailable as error:
            log_event('not forgotten', proxy=record.name, reason=str(error))

    async def _register(self) -> None:
        put = Put(
            RECORDS_TABLE, proxy_key(self._own.name), encode_proxy(self._own)
        )
        try:
            await self._store.transact([], [put])
        except StoreUnavailable as error:
            log_event('not registered yet', reason=str(error))
            await pause(self._clock, AGAIN_S)
            return
        log_event('registered', address=self._own.address)


def _ignore(record: GroupRecord, ends_at: float) -> None:
    log_event('record not used', group=record.group, until=ends_at)
