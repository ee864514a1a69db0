"""Send promotion orders while this proxy holds the promotion lock.

An order without an answer may still reach the platform. Until it can't any
more, the lock is neither renewed, which would raise the token, nor released.
"""

import math

from toucandeal.errors import PromotionAbandoned, StoreUnavailable
from toucandeal.fleet import Server
from toucandeal.promotion import RESUME_MARGIN_S, order_deadline
from toucandeal.store_versions import fencing_token
from toucandeald.logs import log_event
from toucandeald.promotion_lock import (
    RETRY_DELAY_S,
    HeldLock,
    PromotionLockManager,
)
from toucandeald.shared_store import PromoteAnswer
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['PromotionOrders']


class PromotionOrders:
    """Sends the orders of one proxy, each with the token of a held lock."""

    def __init__(
        self, clock, holder: str, store, locks: PromotionLockManager
    ) -> None:
        """Initialize with the name of this proxy, and the lock's manager."""
        self._clock = clock
        self._holder = holder
        self._store = store
        self._locks = locks
        # When orders without an answer have arrived, or never will.
        self._settled_at = -math.inf

    async def settle(self) -> None:
        """Wait until no order without an answer can arrive any more."""
        remaining_s = self._settled_at - steady_seconds()
        if remaining_s > 0:
            await pause(self._clock, remaining_s)

    async def send(self, held_lock: HeldLock, chosen: Server) -> HeldLock:
        """Send an order until it is accepted, and return the lock.

        The lock is renewed until enough of it remains for an order.

        Raises
        ------
        PromotionAbandoned
            The server is not running, or the lock is lost.
        """
        answer = None
        while answer is None:
            self._locks.check_era(held_lock.token.era)
            deadline = order_deadline(held_lock.held_until, steady_seconds())
            if deadline is None:
                await self.settle()
                held_lock = await self._locks.renew(held_lock)
            else:
                answer = await self._send_once(held_lock, chosen, deadline)
        log_event(
            'promotion',
            group=held_lock.record.group,
            step='ordered',
            server=chosen.name,
            answer=answer.value,
        )
        if answer is PromoteAnswer.NOT_RUNNING:
            raise PromotionAbandoned(f'{chosen.name} is not running')
        return held_lock

    async def _send_once(
        self, held_lock: HeldLock, chosen: Server, deadline: float
    ) -> PromoteAnswer | None:
        """Return the answer to an order, or None if there is none."""
        try:
            return await self._store.promote(
                held_lock.record.group,
                chosen.name,
                self._holder,
                fencing_token(held_lock.token),
                deadline,
            )
        except StoreUnavailable as error:
            if error.uncertain:
                # The connection has been aborted.
                self._settled_at = steady_seconds() + RESUME_MARGIN_S
            log_event(
                'promotion',
                group=held_lock.record.group,
                step='no answer',
                reason=str(error),
            )
        await pause(self._clock, RETRY_DELAY_S)
        return None
