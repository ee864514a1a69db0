"""Delays the replies to writes until a replica has confirmed the writes.

Ordinary answers of replicas carry their positions. If none confirms a write
within `REPORT_DELAY_S`, one replica is queried for a status report on behalf
of all waiting writes of the group.
"""

from collections.abc import Callable

from toucandeal.fleet import Server
from toucandeal.fleet_tables import (
    FleetTables,
    group_state,
    is_confirmed,
    server_load,
)
from toucandeal.positions import LogPosition
from toucandeal.promotion import replicas_of
from toucandeald.logs import log_event
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['Confirmations']

POLL_INTERVAL_S = 0.005
REPORT_DELAY_S = 0.005  # until then, ordinary answers may confirm at no cost
REPORT_RETRY_S = 0.03


class Confirmations:
    """Confirmations of writes, and requests for reports, by group."""

    def __init__(self, clock, tables: FleetTables) -> None:
        """Initialize with the tables.

        The composition root sets `request_report`.
        """
        self.request_report: Callable[[Server], None] = _log_ignored
        self._clock = clock
        self._tables = tables
        self._requested_at: dict[str, float] = {}
        self._replica_indexes: dict[str, int] = {}

    async def wait(
        self,
        group: str,
        primary: str,
        position: LogPosition,
        deadline_at: float,
        is_current: Callable[[], bool],
    ) -> bool:
        """Return whether a replica confirms `position` before the deadline."""
        began_at = steady_seconds()
        while not is_confirmed(self._tables, group, primary, position):
            now = steady_seconds()
            if now >= deadline_at or not is_current():
                return False
            waited_s = now - began_at
            if waited_s >= REPORT_DELAY_S:
                retried = waited_s >= REPORT_DELAY_S + REPORT_RETRY_S
                self._request_report(group, now, retried=retried)
            await pause(self._clock, POLL_INTERVAL_S)
        return True

    def _request_report(self, group: str, now: float, *, retried: bool) -> None:
        if now - self._requested_at.get(group, 0) < REPORT_RETRY_S:
            return
        record = group_state(self._tables, group).record
        replicas = replicas_of(self._tables, record)
        if not replicas:
            return
        self._requested_at[group] = now
        # The replica that was ahead last time is likely to be ahead now; on
        # retries, the replicas are queried in turn.
        replicas.sort(key=self._progress_key, reverse=True)
        index = self._replica_indexes.get(group, 0) if retried else 0
        self._replica_indexes[group] = index + 1
        self.request_report(replicas[index % len(replicas)])

    def _progress_key(self, replica: Server):
        load = server_load(self._tables, replica.name)
        return (
            load.unreachable_since is None,
            load.received,
            -load.latency_s,
        )


def _log_ignored(server: Server) -> None:
    log_event('report request ignored', server=server.name)
