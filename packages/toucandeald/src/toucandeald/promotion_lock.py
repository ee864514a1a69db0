"""The promotion lock, as the platform's store records it.

One transaction acquires the lock and writes the group's record, which stops
all work with the old primary. The version of the lock's row is the fencing
token. Another transaction records the new primary and releases the lock, if it
has not passed on to another proxy.
"""

import secrets
from typing import NamedTuple

from toucandeal.errors import PromotionAbandoned, StoreUnavailable
from toucandeal.fleet import GroupRecord
from toucandeal.fleet_tables import FleetTables, group_state
from toucandeal.promotion import LOCK_DURATION_S, lock_ends_at
from toucandeal.store_versions import StoreVersion
from toucandeald.logs import log_event
from toucandeald.shared_records import (
    ERA_KEY,
    PROMOTION_LOCK_KEY,
    RECORDS_TABLE,
    PromotionLock,
    encode_group,
    encode_promotion_lock,
    group_key,
    proxy_key,
)
from toucandeald.shared_state import SharedState
from toucandeald.shared_store import Committed, Conflict, Precondition, Put
from toucandeald.steady_clock import pause, steady_seconds

__all__ = [
    'RETRY_DELAY_S',
    'HeldLock',
    'PromotionLockManager',
]

RETRY_DELAY_S = 0.1  # after a call that the store did not answer


class HeldLock(NamedTuple):
    """The promotion lock, held by this proxy at least until `held_until`."""

    token: StoreVersion
    held_until: float
    record: GroupRecord


class PromotionLockManager:
    """Acquires, renews and releases the promotion lock."""

    def __init__(
        self, clock, tables: FleetTables, state: SharedState, store
    ) -> None:
        """Initialize with the store and the state read from it."""
        self._clock = clock
        self._tables = tables
        self._state = state
        self._store = store
        # Each nonce begins with it, which tells this process from an earlier
        # one of the same name.
        self._process = secrets.token_hex(8)

    async def acquire(self, begun_record: GroupRecord) -> HeldLock:
        """Acquire the lock and record that a promotion has begun.

        Parameters
        ----------
        begun_record : GroupRecord
            The record to write, with the version of the one that it replaces.

        Raises
        ------
        PromotionAbandoned
            Another proxy holds the lock, or acquired it first.
        """
        promotion_lock = self._state.promotion_lock
        if self._is_held_by_another(promotion_lock):
            raise PromotionAbandoned(
                f'another process, named {promotion_lock.holder}, holds the '
                'promotion lock'
            )
        return await self._acquire_lock(
            begun_record, begun_record.version, promotion_lock.version
        )

    def _is_held_by_another(self, promotion_lock: PromotionLock) -> bool:
        """Return whether another process may hold the lock.

        It may be an earlier process of this name, whose orders may still be
        under way.
        """
        own = promotion_lock.nonce.startswith(self._process)
        ends_at = lock_ends_at(promotion_lock.holder, self._state.lock_seen_at)
        return not own and steady_seconds() < ends_at

    async def _acquire_lock(
        self,
        record: GroupRecord,
        version: StoreVersion,
        lock_version: StoreVersion,
    ) -> HeldLock:
        """Write the record and the lock's row in one transaction.

        A call whose answer was lost may still take effect, so it is repeated
        under the same preconditions until its outcome is certain.
        """
        nonce = f'{self._process}{secrets.token_hex(8)}'
        begun_era = self._state.era
        own = self._tables.primary_lease.registered.get(self._tables.name)
        if own is None or own.silent:
            raise PromotionAbandoned('this proxy is not registered')
        self.check_era(record.version.era)
        preconditions = [
            # Fails if the store was restored and its records confirmed anew.
            Precondition(RECORDS_TABLE, ERA_KEY, self._state.era_row_version),
            # Fails if a peer has marked this proxy as silent in the meantime.
            Precondition(RECORDS_TABLE, proxy_key(own.name), own.version),
            Precondition(RECORDS_TABLE, PROMOTION_LOCK_KEY, lock_version),
            Precondition(RECORDS_TABLE, group_key(record.group), version),
        ]
        puts = [
            Put(
                RECORDS_TABLE,
                PROMOTION_LOCK_KEY,
                encode_promotion_lock(self._tables.name, nonce),
            ),
            Put(RECORDS_TABLE, group_key(record.group), encode_group(record)),
        ]
        # Time of the first call: any of the repeated calls may have succeeded.
        sent_at = steady_seconds()
        await self._write_until_certain(
            record.group, preconditions, puts, abandon_if_unwritten=True
        )
        await self.read()
        self.check_era(begun_era)
        if self._state.promotion_lock.nonce != nonce:
            raise PromotionAbandoned(
                'another proxy acquired the promotion lock first'
            )
        token = self._state.promotion_lock.version
        stored_record = group_state(self._tables, record.group).record
        log_event('promotion', group=record.group, step='begun', token=token)
        return HeldLock(token, sent_at + LOCK_DURATION_S, stored_record)

    async def _write_until_certain(
        self, group: str, preconditions, puts, *, abandon_if_unwritten: bool
    ) -> Committed | Conflict:
        """Repeat a transaction until its outcome is certain.

        Parameters
        ----------
        group : str
        preconditions, puts : list
            The same for each attempt, so it takes effect at most once.
        abandon_if_unwritten : bool
            Whether to raise if the store fails a call and it is certain that
            no call has taken effect.

        Returns
        -------
        Committed or Conflict
            Of the last call. After a call without an answer, a conflict may
            come from the write of that call itself.

        Raises
        ------
        StoreUnavailable
            It is certain that nothing was written.
        """
        uncertain = not abandon_if_unwritten
        while True:
            try:
                return await self._store.transact(preconditions, puts)
            except StoreUnavailable as error:
                uncertain = uncertain or error.uncertain
                if not uncertain:
                    raise
                log_event(
                    'promotion',
                    group=group,
                    step='uncertain',
                    reason=str(error),
                )
            await pause(self._clock, RETRY_DELAY_S)

    def check_era(self, era: int) -> None:
        """Abandon a promotion if the store has lost what it wrote."""
        if era != self._state.era or not self._state.records_confirmed:
            raise PromotionAbandoned('the store was restored from a copy')

    async def read(self) -> None:
        """Read the records; abandon the promotion if the read fails."""
        if not await self._state.read_records():
            raise PromotionAbandoned('the store does not answer')

    async def renew(self, held_lock: HeldLock) -> HeldLock:
        """Renew the lock with a new fencing token and a later `held_until`."""
        record = held_lock.record
        if self._state.promotion_lock.version != held_lock.token:
            raise PromotionAbandoned('another proxy holds the promotion lock')
        return await self._acquire_lock(
            record, record.version, self._state.promotion_lock.version
        )

    async def complete_promotion(
        self, held_lock: HeldLock, record: GroupRecord
    ) -> None:
        """Record the group's primary, and release the lock if it is held.

        A lock that has passed on to another proxy stays as it is. The primary
        is recorded all the same, unless another proxy has resumed the
        promotion.

        Raises
        ------
        PromotionAbandoned
            Another proxy has resumed the promotion.
        """
        answer, lock = await self._record_primary(held_lock, record)
        await self._state.read_records()
        recorded = _has_recorded(answer, record)
        log_event(
            'promotion',
            group=record.group,
            step='settled' if recorded else 'superseded',
            server=record.primary,
            term=record.term,
            awaited=record.awaited,
            lock=lock,
        )
        if not recorded:
            raise PromotionAbandoned('another proxy has resumed the promotion')

    async def _record_primary(
        self, held_lock: HeldLock, record: GroupRecord
    ) -> tuple[Committed | Conflict, str]:
        """Write a record, and the lock's row only if it is unchanged.

        Returns
        -------
        tuple of Committed or Conflict, and str
            The last answer of the store, and what became of the lock.
        """
        key = group_key(record.group)
        preconditions = [
            Precondition(RECORDS_TABLE, ERA_KEY, self._state.era_row_version),
            Precondition(RECORDS_TABLE, key, held_lock.record.version),
        ]
        own_lock = Precondition(
            RECORDS_TABLE, PROMOTION_LOCK_KEY, held_lock.token
        )
        record_put = Put(RECORDS_TABLE, key, encode_group(record))
        lock_put = Put(
            RECORDS_TABLE, PROMOTION_LOCK_KEY, encode_promotion_lock('', '')
        )
        answer = await self._write_until_certain(
            record.group,
            [*preconditions, own_lock],
            [record_put, lock_put],
            abandon_if_unwritten=False,
        )
        if isinstance(answer, Committed):
            return answer, 'released'
        if _has_recorded(answer, record):
            return answer, 'released by a call without an answer'
        answer = await self._write_until_certain(
            record.group,
            preconditions,
            [record_put],
            abandon_if_unwritten=False,
        )
        return answer, 'lost'


def _has_recorded(answer: Committed | Conflict, record: GroupRecord) -> bool:
    """Return whether a record is written, also by a call without an answer."""
    return isinstance(answer, Committed) or any(
        row.key == group_key(record.group)
        and row.content == encode_group(record)
        for row in answer.rows
    )
