"""The right to promote, as the platform's store records it.

One transaction writes the group's record, which stops all work with the old
primary, together with the right; the version of the right's row is the fencing
token. Another one records the new primary and gives the right back.
"""

import secrets
from typing import NamedTuple

from toucandeal.errors import PromotionAbandoned, StoreUnavailable
from toucandeal.fleet import GroupRecord
from toucandeal.fleet_tables import FleetTables, group_state
from toucandeal.promotion import HOLDER_S
from toucandeald.logs import log_event
from toucandeald.shared_records import (
    DUTY_KEY,
    RECORDS_TABLE,
    encode_duty,
    encode_group,
    group_key,
    proxy_key,
)
from toucandeald.shared_state import SharedState
from toucandeald.shared_store import Precondition, Put
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['AGAIN_S', 'RESUME_S', 'PromotionRights', 'Right']

AGAIN_S = 0.1  # after a call that the store did not answer
RESUME_S = 0.5  # beyond a holder's time before another one goes on


class Right(NamedTuple):
    """The right to promote, and until when it is surely this proxy's."""

    token: int
    until: float
    record: GroupRecord


class PromotionRights:
    """Takes, renews and gives back the right to promote."""

    def __init__(
        self, clock, tables: FleetTables, state: SharedState, store
    ) -> None:
        """Take the store and what was read of it."""
        self._clock = clock
        self._tables = tables
        self._state = state
        self._store = store

    async def take(self, begun: GroupRecord) -> Right:
        """Record that a promotion has begun.

        Parameters
        ----------
        begun : GroupRecord
            With the version of the record that it replaces.

        Raises
        ------
        PromotionAbandoned
            Another proxy has the right, or was faster.
        """
        duty = self._state.duty
        now = steady_seconds()
        if duty.holder not in {'', self._tables.name} and (
            now - self._state.duty_seen_at < HOLDER_S + RESUME_S
        ):
            raise PromotionAbandoned(f'{duty.holder} carries out a promotion')
        return await self._take_right(begun, begun.version, duty.version)

    async def _take_right(
        self, record: GroupRecord, version: int, duty_version: int
    ) -> Right:
        """Write the record together with the right to promote.

        A call whose answer was lost may still take effect, so it is repeated
        under the same preconditions until one of the two is certain.
        """
        nonce = secrets.token_hex(8)
        own = self._tables.permissions.registered.get(self._tables.name)
        if own is None or own.silent:
            raise PromotionAbandoned('this proxy is not registered')
        preconditions = [
            # Nobody has marked this proxy as silent in the meantime.
            Precondition(RECORDS_TABLE, proxy_key(own.name), own.version),
            Precondition(RECORDS_TABLE, DUTY_KEY, duty_version),
            Precondition(RECORDS_TABLE, group_key(record.group), version),
        ]
        puts = [
            Put(RECORDS_TABLE, DUTY_KEY, encode_duty(self._tables.name, nonce)),
            Put(RECORDS_TABLE, group_key(record.group), encode_group(record)),
        ]
        # Dated by the first call: any of the calls may be the one that won.
        sent_at = steady_seconds()
        await self._write_surely(
            record.group, preconditions, puts, gives_up=True
        )
        await self.read()
        if self._state.duty.nonce != nonce:
            raise PromotionAbandoned('another proxy was faster')
        token = self._state.duty.version
        held = group_state(self._tables, record.group).record
        log_event('promotion', group=record.group, step='begun', token=token)
        return Right(token, sent_at + HOLDER_S, held)

    async def _write_surely(
        self, group: str, preconditions, puts, *, gives_up: bool
    ) -> None:
        """Repeat a transaction until it is certain what came of it.

        Parameters
        ----------
        group : str
        preconditions, puts : list
            They are the same each time, so it takes effect once at most.
        gives_up : bool
            Whether to raise while no call can have taken effect.

        Raises
        ------
        StoreUnavailable
            Nothing was done.
        """
        uncertain = not gives_up
        while True:
            try:
                await self._store.transact(preconditions, puts)
                return
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
            await pause(self._clock, AGAIN_S)

    async def read(self) -> None:
        """Read the records; give up where the store does not answer."""
        if not await self._state.read_records():
            raise PromotionAbandoned('the store gives no answer')

    async def renew(self, right: Right) -> Right:
        """Return the same right under a new token and for a new time."""
        record = right.record
        if self._state.duty.version != right.token:
            raise PromotionAbandoned('another proxy has the right to promote')
        return await self._take_right(
            record, record.version, self._state.duty.version
        )

    async def settle(self, right: Right, primary: str, term: int) -> None:
        """Record the primary that leads now, and give the right back."""
        record = right.record
        key = group_key(record.group)
        settled = GroupRecord(record.group, primary, term)
        await self._write_surely(
            record.group,
            [Precondition(RECORDS_TABLE, key, record.version)],
            [
                Put(RECORDS_TABLE, key, encode_group(settled)),
                Put(RECORDS_TABLE, DUTY_KEY, encode_duty('', '')),
            ],
            gives_up=False,
        )
        await self._state.read_records()
        log_event(
            'promotion',
            group=record.group,
            step='settled',
            server=primary,
            term=term,
        )
