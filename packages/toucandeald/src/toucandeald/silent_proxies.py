"""Mark silent proxies, so that the other proxies need not wait for them."""

from toucandeal.fleet import ProxyRecord
from toucandeal.fleet_tables import FleetTables
from toucandeal.relays import marking_rank
from toucandeald.background_tasks import run_in_background
from toucandeald.shared_state import SharedState

__all__ = ['SilentProxies']

SILENT_S = 2.5  # many heartbeat intervals, so that short pauses leave no mark
FORGET_S = 120.0  # long after every lease of a silent proxy has expired
RANK_DELAY_S = 0.3  # between two proxies that may write the mark


class SilentProxies:
    """Tracks when each registered proxy was last heard."""

    def __init__(self, tables: FleetTables, state: SharedState) -> None:
        """Initialize with the tables and the state that writes the marks."""
        self._tables = tables
        self._state = state
        self._last_heard_at: dict[str, float] = {}
        self._writing = False

    def tick(self, now: float) -> None:
        """Mark or remove silent proxies, one at a time."""
        registered = self._tables.primary_lease.registered
        assignment = self._tables.relay_assignment
        if assignment is not None and not assignment.is_relay(
            self._tables.name
        ):
            # Only relays hear others; what was heard before is out of date.
            self._last_heard_at.clear()
            return
        for name in set(self._last_heard_at) - set(registered):
            self._last_heard_at.pop(name)
        for record in registered.values():
            since = self._record_last_heard(record, now)
            if self._writing or not self._state.store_reachable:
                continue
            if record.silent:
                if now - since >= FORGET_S:
                    self._start_write(self._state.registry.remove(record))
            elif self._mark_is_due(record, now - since):
                self._start_write(self._mark_silent(record))

    def _mark_is_due(self, record: ProxyRecord, silent_s: float) -> bool:
        if silent_s < SILENT_S:
            return False
        rank = self._rank(record)
        return rank is not None and silent_s >= SILENT_S + rank * RANK_DELAY_S

    async def _mark_silent(self, record: ProxyRecord) -> None:
        if await self._state.registry.mark_silent(record):
            await self._state.read_records()

    def _record_last_heard(self, record: ProxyRecord, now: float) -> float:
        peer = self._tables.peers.get(record.name)
        heard = peer is not None and peer.incarnation == record.incarnation
        if record.name == self._tables.name:
            self._last_heard_at[record.name] = now
        elif heard:
            self._last_heard_at[record.name] = peer.heard_at
        return self._last_heard_at.setdefault(record.name, now)

    def _rank(self, record: ProxyRecord) -> int | None:
        """Return the rank among the proxies that may mark `record`.

        In a fleet with relays only those that exchange heartbeats with it
        know whether it is silent. None means that this proxy does not.
        """
        assignment = self._tables.relay_assignment
        if assignment is not None:
            return marking_rank(assignment, self._tables.name, record.name)
        return self._rank_by_name()

    def _rank_by_name(self) -> int:
        registered = self._tables.primary_lease.registered
        live = sorted(
            record.name
            for record in registered.values()
            if not record.silent or record.name == self._tables.name
        )
        if self._tables.name not in live:
            return len(live)
        return live.index(self._tables.name)

    def _start_write(self, work) -> None:
        self._writing = True
        run_in_background(work, self._write_ended)

    def _write_ended(self) -> None:
        self._writing = False
