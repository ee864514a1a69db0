"""Calls to the store that prove that the configuration is the newest one.

Most proxies learn this from peers. A proxy whose proof grows old, because its
peers are cut off or it is one of the first two, asks the store itself.
"""

import math

from toucandeal.configuration_freshness import call_is_due
from toucandeal.errors import StoreUnavailable
from toucandeal.fleet_tables import FleetTables
from toucandeald.background_tasks import keep_running
from toucandeald.logs import log_event
from toucandeald.shared_state import SharedState
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['POLL_WAIT_S', 'FreshnessCalls']

POLL_WAIT_S = 1.0  # of the first two proxies' feed, which prove it for others
CHECK_INTERVAL_S = 0.05
RETRY_DELAY_S = 0.15  # after a call that the store did not answer
MAX_RETRY_DELAY_S = 0.6  # while the store keeps failing calls


class FreshnessCalls:
    """Makes a call without waiting whenever the proof is too old."""

    def __init__(self, clock, tables: FleetTables, state: SharedState) -> None:
        """Initialize with the state that makes the calls."""
        self._clock = clock
        self._tables = tables
        self._state = state
        self._retry_delay_s = RETRY_DELAY_S

    def start(self) -> None:
        """Start the calls, and shorten the polls of the first two proxies.

        The others need no feed of their own: a copy that does not come is
        noticed when the proof grows old.
        """
        self._state.configuration_wait_s = POLL_WAIT_S
        self._state.configuration.uses_copies = True
        keep_running(self._clock, self._call_when_due)

    async def _call_when_due(self) -> None:
        while not self._state.stopped:
            if call_is_due(
                self._tables.configuration_freshness,
                self._state.rank(),
                steady_seconds(),
            ):
                await self._call()
            await pause(self._clock, CHECK_INTERVAL_S)

    async def _call(self) -> None:
        try:
            await self._state.prove_freshness()
        except StoreUnavailable as error:
            age_s = (
                steady_seconds() - self._tables.configuration_freshness.as_of
            )
            log_event(
                'freshness not proved',
                age_s=round(age_s, 2) if math.isfinite(age_s) else 'never',
                reason=str(error),
            )
            await pause(self._clock, self._retry_delay_s)
            self._retry_delay_s = min(
                self._retry_delay_s * 2, MAX_RETRY_DELAY_S
            )
            return
        self._retry_delay_s = RETRY_DELAY_S
