"""Marks the proxies that are no longer heard, so that others go on."""

from toucandeal.fleet import ProxyRecord
from toucandeal.fleet_tables import FleetTables
from toucandeald.faults import run
from toucandeald.shared_state import SharedState

__all__ = ['SilentProxies']

SILENT_S = 2.5  # many beats; a shorter pause ends without a mark
FORGET_S = 120.0  # long after everything that a silent proxy could rest on
RANK_S = 0.3  # between the proxies that may write the mark


class SilentProxies:
    """Since when each registered proxy has not been heard."""

    def __init__(self, tables: FleetTables, state: SharedState) -> None:
        """Take the tables and what writes the marks."""
        self._tables = tables
        self._state = state
        self._silent_since: dict[str, float] = {}
        self._busy = False

    def tick(self, now: float) -> None:
        """Mark or forget at most one proxy."""
        registered = self._tables.permissions.registered
        for name in set(self._silent_since) - set(registered):
            self._silent_since.pop(name)
        for record in registered.values():
            since = self._note(record, now)
            if self._busy or not self._state.store_answers:
                continue
            if record.silent:
                if now - since >= FORGET_S:
                    self._write(self._state.forget(record))
            elif now - since >= SILENT_S + self._rank() * RANK_S:
                self._write(self._state.mark_silent(record))

    def _note(self, record: ProxyRecord, now: float) -> float:
        peer = self._tables.peers.get(record.name)
        heard = peer is not None and peer.incarnation == record.incarnation
        if record.name == self._tables.name:
            self._silent_since[record.name] = now
        elif heard:
            self._silent_since[record.name] = peer.heard_at
        return self._silent_since.setdefault(record.name, now)

    def _rank(self) -> int:
        registered = self._tables.permissions.registered
        live = sorted(
            record.name
            for record in registered.values()
            if not record.silent or record.name == self._tables.name
        )
        if self._tables.name not in live:
            return len(live)
        return live.index(self._tables.name)

    def _write(self, writing) -> None:
        self._busy = True
        run(writing, self._written)

    def _written(self) -> None:
        self._busy = False
