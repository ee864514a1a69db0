"""Keep a proxy's tables up to date with the platform's store.

Long polls return changes of the configuration and of the list of servers. The
shared records are read at intervals, because the lease to use primaries is
granted from the time of the last read. One proxy reads them, and its peers
renew their leases from its heartbeats as long as they receive them.
"""

import bisect
import math
from collections.abc import Callable
from typing import NamedTuple, Protocol

from toucandeal.acknowledged_writes import note_departure
from toucandeal.configuration_freshness import prove_by_call, start_era
from toucandeal.departures import complete_as_of
from toucandeal.errors import StoreUnavailable
from toucandeal.fleet import (
    FleetConfiguration,
    GroupRecord,
    ProxyRecord,
    Server,
)
from toucandeal.fleet_tables import (
    FleetTables,
    apply_record,
    configuration_version,
)
from toucandeal.primary_lease import (
    LEASE_DURATION_S,
    begin_era,
    lease_expires_at,
    record_store_read,
)
from toucandeal.protocol_versions import (
    COMPRESSED_COPY_PROTOCOL,
    common_protocol,
)
from toucandeal.read_schedule import (
    INTERVAL_SPREAD,
    OWN_READ_INTERVAL_S,
    RELAYED_LEASE_AGE_S,
    ReadNeeds,
    read_is_due,
    spread_fraction,
)
from toucandeal.store_versions import NO_VERSION, StoreVersion
from toucandeald.background_tasks import keep_running
from toucandeald.held_configuration import HeldConfiguration
from toucandeald.logs import log_event
from toucandeald.proxy_registry import ProxyRegistry
from toucandeald.server_list import REMOVAL_DELAY_S, ServerList
from toucandeald.shared_records import (
    ERA_KEY,
    RECORDS_TABLE,
    PromotionLock,
    Records,
    decode_records,
    newest_group_version,
    proxy_key,
)
from toucandeald.shared_store import (
    HistoryGone,
    SharedRow,
    Snapshot,
)
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['SHORT_WAIT_PROXIES', 'SharedState', 'SharedTables']

FEED_WAIT_S = 2.0  # limits how long a dead connection goes undetected
RELAYED_FEED_WAIT_S = 10.0  # for proxies that peers also send changes to
# Below the time that a store keeps its changes, so that the feed continues.
COPIED_FEED_INTERVAL_S = 8.0
SHORT_WAIT_PROXIES = 2  # use FEED_WAIT_S; two, so that one may be isolated
RETRY_DELAY_S = 0.15  # after a call that the store did not answer
MAX_RETRY_DELAY_S = 0.6  # while the store keeps failing calls
# Between two proxies that read a table again after the store dropped the
# changes that all of them wait for.
REREAD_SPACING_S = 0.002
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

    async def changes(self, table: str, after: StoreVersion, wait_s: float):
        """Return the rows of a table that changed after a version."""

    async def transact(self, preconditions, puts, removes=()):
        """Write and remove rows if all preconditions hold."""


class SharedState:
    """The rows that this proxy has read from the shared tables.

    This proxy has all groups' records up to `records_version`. A single newer
    record, as it comes with the begin of a promotion, does not raise it: the
    begin of an earlier promotion may have been missed.
    """

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
        self.configuration_wait_s = FEED_WAIT_S
        self.promotion_lock = PromotionLock()
        self.lock_seen_at = steady_seconds()
        self.record_seen_at: dict[str, float] = {}
        self.records: dict[str, SharedRow] = {}
        self.records_version: StoreVersion = NO_VERSION
        self.registry = ProxyRegistry(store, own)
        self.server_list = ServerList(tables, shared.decode_server)
        self.configuration = HeldConfiguration(
            tables, shared.decode_configuration
        )
        self.unconfirmed: Records | None = None
        self.confirmed_era = 0
        # Whether a relay has reported another membership than this proxy's.
        self.membership_differs = False
        self.store_reachable = False
        self._clock = clock
        self._tables = tables
        self._store = store
        self._shared = shared
        self._own = own
        self.server_list_complete_at = math.inf
        self._read_at = -OWN_READ_INTERVAL_S
        # Of all rows at the last read, whether their records are valid or not.
        self._row_versions: dict[str, StoreVersion] = {}
        self.stopped = False

    @property
    def has_read_records(self) -> bool:
        """Return whether the shared records have been read at least once."""
        return self._tables.primary_lease.registered_as_of > -math.inf

    @property
    def era(self) -> int:
        """Return the newest era of the store that this proxy knows of."""
        return self._tables.primary_lease.era

    @property
    def records_confirmed(self) -> bool:
        """Return whether the records are valid in the store's present era."""
        return self.confirmed_era == self.era

    @property
    def era_row_version(self) -> StoreVersion:
        """Return the version of the row that confirms the records."""
        row = self.records.get(ERA_KEY)
        return NO_VERSION if row is None else row.version

    def row_version(self, key: str) -> StoreVersion:
        """Return the version of a record's row at the last read."""
        return self._row_versions.get(key, NO_VERSION)

    def reads_records_itself(self, now: float) -> bool:
        """Return whether this proxy reads the shared records itself."""
        return (
            self.store_reachable and now - self._read_at < RELAYED_LEASE_AGE_S
        )

    def start(self) -> None:
        """Start the long polls and the periodic reads."""
        keep_running(self._clock, self._follow_configuration)
        keep_running(self._clock, self._follow_servers)
        keep_running(self._clock, self._read_periodically)

    async def deregister(self) -> None:
        """Stop reading the store and remove this proxy's record."""
        self.stopped = True
        own = self._tables.primary_lease.registered.get(self._own.name)
        if own is not None and own.incarnation == self._own.incarnation:
            await self.registry.deregister(own.version)

    def note_era(self, era: int) -> bool:
        """Note the store's era in an answer or in a peer's heartbeat.

        Returns
        -------
        bool
            Whether it is the present era. An answer of an earlier era is
            evidence of nothing.
        """
        if era <= self.era:
            return era == self.era
        log_event('store era', era=era, before=self.era)
        begin_era(self._tables.primary_lease, era, steady_seconds())
        start_era(self._tables.configuration_freshness, era)
        return True

    async def prove_freshness(self) -> None:
        """Read the configuration's changes at once, as proof of its freshness.

        Raises
        ------
        StoreUnavailable
            The store did not answer.
        """
        position = self.configuration.position
        if position is not None:
            await self._read_changes(
                self._shared.configuration_table,
                position,
                self.apply_configuration_rows,
                0,
            )

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
        if not self.note_era(snapshot.version.era):
            log_event('outdated answer', era=snapshot.version.era)
            return False
        self._apply_records(snapshot, sent_at)
        return True

    def apply_record(self, row: SharedRow) -> None:
        """Apply a single record from a peer if it is newer."""
        self._apply_decoded([row], decode_records([row]))

    def apply_records_copy(self, rows: list[SharedRow]) -> None:
        """Apply a peer's copy of all records that it is certain to have."""
        decoded = decode_records(rows)
        self._apply_decoded(rows, decoded)
        self.records_version = max(
            self.records_version, newest_group_version(decoded)
        )

    def _apply_decoded(self, rows: list[SharedRow], decoded: Records) -> None:
        now = steady_seconds()
        expires_at = lease_expires_at(self._tables.primary_lease, now)
        for key in decoded.unreadable:
            log_event('record unreadable', key=key)
        for row in rows:
            known = self.records.get(row.key)
            if known is None or row.version > known.version:
                self.records[row.key] = row
        self.confirmed_era = max(self.confirmed_era, decoded.confirmed_era)
        if decoded.promotion_lock.version > self.promotion_lock.version:
            self.promotion_lock = decoded.promotion_lock
            self.lock_seen_at = now
        for record in decoded.groups:
            if apply_record(self._tables, record, now):
                self.record_seen_at[record.group] = now
                log_event('record', **record._asdict())
                self.on_record(record, expires_at)

    def apply_configuration_rows(self, rows: list[SharedRow]) -> None:
        """Apply the configuration if it is among the rows."""
        for row in rows:
            if row.key == self._shared.configuration_key and not row.removed:
                self.configuration.apply(row.content)

    def server_list_is_complete(self, now: float) -> bool:
        """Return whether a server without an entry is certain to be gone.

        Entries that lapsed during a store outage are renewed within
        `REMOVAL_DELAY_S` of its end.
        """
        return now >= self.server_list_complete_at

    def _apply_records(self, snapshot: Snapshot, sent_at: float) -> None:
        """Apply a read of the records.

        Restored records that no proxy has confirmed are not applied: what this
        proxy remembers is newer than they are.
        """
        decoded = decode_records(snapshot.rows)
        self._row_versions = {row.key: row.version for row in snapshot.rows}
        if not self.has_read_records:
            earlier = decoded.proxies.get(self._own.name)
            # The first read precedes the registration.
            self._tables.replaces_registered = (
                earlier is not None and not earlier.silent
            )
        confirmed = decoded.confirmed_era == snapshot.version.era
        if confirmed:
            for key in set(self.records) - set(self._row_versions):
                self.records.pop(key)
            self._apply_decoded(snapshot.rows, decoded)
            self.records_version = max(
                self.records_version, newest_group_version(decoded)
            )
        self.unconfirmed = None if confirmed else decoded
        lease = self._tables.primary_lease
        registered = set(lease.registered)
        record_store_read(lease, sent_at, decoded.proxies, confirmed=confirmed)
        if registered - set(lease.registered):
            until = steady_seconds() + LEASE_DURATION_S
            for group in self._tables.groups.values():
                note_departure(group.acknowledged, until)

    def _store_lost(self, reason: str) -> None:
        if self.store_reachable:
            log_event('store lost', reason=reason)
        self.store_reachable = False

    async def _follow_configuration(self) -> None:
        if self.configuration.uses_copies:
            await self.configuration.wait_for_copy(self._clock)
        await self._follow(
            self._shared.configuration_table,
            self.apply_configuration_rows,
            lambda rows, _: self.apply_configuration_rows(rows),
            self.configuration.position,
        )

    @property
    def receives_copies(self) -> bool:
        """Return whether other proxies read changes and send copies of them."""
        registered = self._tables.primary_lease.registered
        return (
            self.configuration.uses_copies
            and not self._uses_short_wait
            and common_protocol(registered.values()) >= COMPRESSED_COPY_PROTOCOL
        )

    @property
    def _uses_short_wait(self) -> bool:
        """Return whether this proxy reads changes early, for others as well."""
        assignment = self._tables.relay_assignment
        if assignment is None:
            return self.rank() < SHORT_WAIT_PROXIES
        return assignment.is_relay(self._own.name)

    async def _follow_servers(self) -> None:
        await self._follow(
            self._shared.server_table,
            self.server_list.apply_changes,
            self.server_list.apply_snapshot,
        )

    async def _follow(
        self,
        table: str,
        apply: Callable[[list[SharedRow]], None],
        reset: Callable[[list[SharedRow], StoreVersion], None],
        version: StoreVersion | None = None,
    ) -> None:
        retry_delay_s = RETRY_DELAY_S
        while not self.stopped:
            try:
                if version is None:
                    version = await self._read_again(table, reset)
                version = await self._follow_once(table, version, apply)
            except StoreUnavailable as error:
                log_event('feed lost', table=table, reason=str(error))
                if table == self._shared.server_table:
                    self.server_list.note_interrupted()
                await pause(self._clock, retry_delay_s)
                retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)
                continue
            retry_delay_s = RETRY_DELAY_S
            if version is None:
                log_event('feed restarted', table=table)
                await pause(self._clock, self.rank() * REREAD_SPACING_S)

    async def _read_again(
        self,
        table: str,
        reset: Callable[[list[SharedRow], StoreVersion], None],
    ) -> StoreVersion:
        """Read a whole table, and return the version to continue from."""
        sent_at = steady_seconds()
        snapshot = await self._store.read_all(table)
        if not self.note_era(snapshot.version.era):
            raise StoreUnavailable(
                f'The answer is of era {snapshot.version.era}, '
                'before the store was restored',
                'Read again; a new connection reaches the restored store',
            )
        reset(snapshot.rows, snapshot.version)
        self._note_applied(table, sent_at, snapshot.version, sent_at)
        return snapshot.version

    def _note_applied(
        self, table: str, sent_at: float, version: StoreVersion, as_of: float
    ) -> None:
        """Note that an answer to a call sent at `sent_at` has been applied.

        It has all changes of before `as_of`.

        A row that is not a configuration is no version of it. It proves that
        there is no newer one, so a garbled write doesn't end the service.
        """
        if table == self._shared.server_table:
            self.server_list.note_followed(as_of)
        if table == self._shared.configuration_table:
            self.configuration.continue_from(version)
            prove_by_call(
                self._tables.configuration_freshness,
                configuration_version(self._tables),
                sent_at,
                version.era,
            )

    async def _follow_once(
        self,
        table: str,
        version: StoreVersion,
        apply: Callable[[list[SharedRow]], None],
    ) -> StoreVersion | None:
        """Apply the next changes, and return the version to continue from.

        It is None if the store no longer has the changes. A store restored
        from a copy may have given out `version` again, so its changes after it
        are not complete.
        """
        wait_s = self._wait_s(table)
        if table == self._shared.configuration_table and self.receives_copies:
            # A feed that waits would bring each change in full as well.
            await pause(
                self._clock,
                COPIED_FEED_INTERVAL_S
                * (1 - INTERVAL_SPREAD * spread_fraction(self._own.name)),
            )
            version = self.configuration.position or version
            wait_s = 0
        return await self._read_changes(table, version, apply, wait_s)

    def _wait_s(self, table: str) -> float:
        if not self._uses_short_wait:
            return RELAYED_FEED_WAIT_S
        if table == self._shared.configuration_table:
            return self.configuration_wait_s
        return FEED_WAIT_S

    async def _read_changes(
        self,
        table: str,
        version: StoreVersion,
        apply: Callable[[list[SharedRow]], None],
        wait_s: float,
    ) -> StoreVersion | None:
        sent_at = steady_seconds()
        is_server_list = table == self._shared.server_table
        if is_server_list:
            self.server_list.note_call(sent_at, wait_s)
        changes = await self._store.changes(table, version, wait_s)
        if is_server_list:
            self.server_list.note_call_ended()
        if isinstance(changes, HistoryGone):
            self.note_era(changes.era)
            return None
        current = self.note_era(changes.version.era)
        if changes.version.era != version.era:
            return None
        apply(changes.rows)
        if current:
            as_of = complete_as_of(
                sent_at,
                wait_s,
                steady_seconds(),
                has_changes=bool(changes.rows),
            )
            self._note_applied(table, sent_at, changes.version, as_of)
        return changes.version

    async def _read_periodically(self) -> None:
        while not self.stopped:
            now = steady_seconds()
            primary_lease = self._tables.primary_lease
            registered = primary_lease.registered.get(self._own.name)
            if self.store_reachable and (
                registered is None
                or registered.silent
                or registered.incarnation != self._own.incarnation
                or registered.version == NO_VERSION
            ):
                await self._register()
            elif self._read_is_due(now):
                await self.read_records()
                if not self.store_reachable:
                    await pause(self._clock, self._retry_delay_s())
            await pause(self._clock, CHECK_INTERVAL_S)

    async def _register(self) -> None:
        version = self.row_version(proxy_key(self._own.name))
        if not await self.registry.register(version):
            await pause(self._clock, RETRY_DELAY_S)
        await self.read_records()

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

    def rank(self) -> int:
        """Return this proxy's rank by name among the peers that it hears.

        In a fleet with relays, a relay has its rank among the relays, and
        every other proxy comes after them.
        """
        assignment = self._tables.relay_assignment
        if assignment is not None:
            relays = sorted(assignment.attached)
            if assignment.is_relay(self._own.name):
                return relays.index(self._own.name)
            others = sorted(assignment.relays_of)
            index = bisect.bisect(others, self._own.name)
            return len(relays) + index
        return sum(name < self._own.name for name in self._tables.peers)

    def _read_is_due(self, now: float) -> bool:
        primary_lease = self._tables.primary_lease
        assignment = self._tables.relay_assignment
        registered = primary_lease.registered.keys()
        needs_rank = assignment is None or not self.records_confirmed
        return read_is_due(
            ReadNeeds(
                self._own.name,
                now - self._read_at,
                now - primary_lease.store_as_of,
                self.rank() if needs_rank else 0,
                self.records_confirmed,
                # Relays hear newcomers, and read often in any case.
                misses_proxies=assignment is None
                and not self._tables.peers.keys() <= registered,
                with_relays=assignment is not None,
                is_relay=assignment is not None
                and assignment.is_relay(self._own.name),
                membership_differs=self.membership_differs,
            )
        )


def _ignore(record: GroupRecord, expires_at: float) -> None:
    log_event('record ignored', group=record.group, until=expires_at)
