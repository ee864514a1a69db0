"""Confirm the shared records after the store was restored from a copy."""

from collections.abc import Iterator

from toucandeal.errors import StoreUnavailable
from toucandeal.fleet import GroupRecord, ProxyRecord
from toucandeal.fleet_tables import FleetTables
from toucandeal.promotion import lock_ends_at
from toucandeal.store_recovery import (
    RecoveryStep,
    recovery_step,
    unverified_record,
)
from toucandeald.background_tasks import run_in_background
from toucandeald.gossip import Gossip
from toucandeald.logs import log_event
from toucandeald.shared_records import (
    ERA_KEY,
    PROMOTION_LOCK_KEY,
    RECORDS_TABLE,
    encode_era,
    encode_group,
    encode_promotion_lock,
    group_key,
    proxy_key,
)
from toucandeald.shared_state import SharedState
from toucandeald.shared_store import Committed, Precondition, Put
from toucandeald.steady_clock import steady_seconds

__all__ = ['StoreRecovery']

RANK_DELAY_S = 0.1  # between two proxies that may confirm the records
GROUPS_PER_CALL = 90  # the platform's limit of rows a call, less the others


class StoreRecovery:
    """Writes the records again, or marks them for the servers to verify."""

    def __init__(
        self,
        tables: FleetTables,
        state: SharedState,
        store,
        gossip: Gossip,
        own: ProxyRecord,
        *,
        first_start: bool,
    ) -> None:
        """Initialize with the state that reads the records."""
        self._first_start = first_start
        self._tables = tables
        self._state = state
        self._store = store
        self._gossip = gossip
        self._own = own
        self._due_at = 0.0
        self._running = False

    def tick(self, now: float) -> None:
        """Confirm the records once that is allowed."""
        state = self._state
        if state.records_confirmed or not state.store_reachable:
            self._due_at = 0.0
            return
        step = self._step(now)
        if self._running or step is RecoveryStep.WAIT:
            return
        self._due_at = self._due_at or now + self._state.rank() * RANK_DELAY_S
        if now >= self._due_at:
            self._running = True
            run_in_background(self._confirm(), self._ended)

    def _step(self, now: float) -> RecoveryStep:
        unconfirmed = self._state.unconfirmed
        return recovery_step(
            self._tables.primary_lease,
            self._own,
            now,
            nothing_recorded=self._first_start
            and not self._tables.groups
            and unconfirmed is not None
            and not unconfirmed.groups,
            lock_ends_at=lock_ends_at(
                self._state.promotion_lock.holder, self._state.lock_seen_at
            ),
        )

    def _ended(self) -> None:
        self._running = False

    async def _confirm(self) -> None:
        state = self._state
        if not await state.read_records() or state.records_confirmed:
            return
        step = self._step(steady_seconds())
        if step is RecoveryStep.WAIT:
            return
        try:
            confirmed = await self._write(self._records(step))
        except StoreUnavailable as error:
            log_event('records not confirmed', reason=str(error))
            return
        await state.read_records()
        if confirmed and state.records_confirmed:
            log_event('records confirmed', era=state.era, way=step.value)
            self._gossip.send_records()

    def _records(self, step: RecoveryStep) -> list[GroupRecord]:
        """Return the records to write."""
        remembered = {
            group.name: group.record
            for group in self._tables.groups.values()
            if group.record is not None
        }
        if step is RecoveryStep.CONFIRM:
            # Attempts that no proxy remembers may have been lost.
            return [
                record._replace(attempts=0) for record in remembered.values()
            ]
        restored = {
            record.group: record for record in self._state.unconfirmed.groups
        }
        records = [
            _newer(remembered.get(name), restored.get(name))
            for name in sorted(remembered.keys() | restored.keys())
        ]
        return [unverified_record(record) for record in records]

    async def _write(self, records: list[GroupRecord]) -> bool:
        """Write the records, and the row that makes them valid last."""
        own = self._tables.primary_lease.registered[self._own.name]
        guards = [
            self._unchanged(ERA_KEY),
            # Fails if a peer has marked this proxy as silent in the meantime.
            Precondition(RECORDS_TABLE, proxy_key(own.name), own.version),
        ]
        chunks = list(_chunks(records))
        for chunk in chunks[:-1]:
            if not await self._transact(guards, chunk, []):
                return False
        return await self._transact(
            [*guards, self._unchanged(PROMOTION_LOCK_KEY)],
            chunks[-1],
            [
                Put(RECORDS_TABLE, ERA_KEY, encode_era(self._state.era)),
                Put(
                    RECORDS_TABLE,
                    PROMOTION_LOCK_KEY,
                    encode_promotion_lock('', ''),
                ),
            ],
        )

    async def _transact(
        self,
        guards: list[Precondition],
        records: list[GroupRecord],
        puts: list[Put],
    ) -> bool:
        keys = [group_key(record.group) for record in records]
        answer = await self._store.transact(
            [*guards, *map(self._unchanged, keys)],
            [
                *(
                    Put(RECORDS_TABLE, key, encode_group(record))
                    for key, record in zip(keys, records, strict=True)
                ),
                *puts,
            ],
        )
        if isinstance(answer, Committed):
            return True
        log_event('records not confirmed', reason='the rows have changed')
        return False

    def _unchanged(self, key: str) -> Precondition:
        return Precondition(RECORDS_TABLE, key, self._state.row_version(key))


def _newer(
    remembered: GroupRecord | None, restored: GroupRecord | None
) -> GroupRecord:
    if remembered is None or restored is None:
        return remembered or restored
    if restored.version.number > remembered.version.number:
        return restored
    return remembered


def _chunks(records: list[GroupRecord]) -> Iterator[list[GroupRecord]]:
    """Yield the records in parts that fit into a call, at least one."""
    for start in range(0, max(len(records), 1), GROUPS_PER_CALL):
        yield records[start : start + GROUPS_PER_CALL]
