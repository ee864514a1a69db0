"""Mark silent proxies, so that the other proxies need not wait for them."""

from toucandeal.fleet import ProxyRecord
from toucandeal.fleet_tables import FleetTables
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
        for name in set(self._last_heard_at) - set(registered):
            self._last_heard_at.pop(name)
        for record in registered.values():
            since = self._record_last_heard(record, now)
            if self._writing or not self._state.store_reachable:
                continue
            if record.silent:
                if now - since >= FORGET_S:
                    self._start_write(self._state.registry.remove(record))
            elif now - since >= SILENT_S + self._rank() * RANK_DELAY_S:
                self._start_write(self._mark_silent(record))

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

    def _rank(self) -> int:
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
