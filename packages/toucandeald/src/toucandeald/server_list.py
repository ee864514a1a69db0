"""The list of servers, as the store and the peers report it."""

import math
from collections.abc import Callable
from typing import NamedTuple

from toucandeal.acknowledged_writes import (
    ServerStart,
    note_server_ended,
    note_server_listed,
)
from toucandeal.fleet import Server
from toucandeal.fleet_tables import FleetTables, server_load
from toucandeal.store_versions import NO_VERSION, StoreVersion
from toucandeald.logs import log_event
from toucandeald.shared_store import SharedRow
from toucandeald.steady_clock import steady_seconds

__all__ = ['REMOVAL_DELAY_S', 'ServerList']

REMOVAL_DELAY_S = 2.5  # entries that lapsed in a store outage are back by then
# An outdated entry of a restored store is replaced or removed within this
# time: servers report again, and the store drops those that do not.
OUTDATED_ENTRY_S = 5.0


class _HeldEntry(NamedTuple):
    row: SharedRow
    until: float


class ServerList:
    """The servers' entries, applied to the proxy's tables.

    `version` is the version of the newest entry or snapshot.
    """

    def __init__(
        self, tables: FleetTables, decode: Callable[[SharedRow], Server]
    ) -> None:
        """Initialize without entries."""
        self.rows: dict[str, SharedRow] = {}
        self.version: StoreVersion = NO_VERSION
        self._tables = tables
        self._decode = decode
        self._removed_at: dict[str, float] = {}
        self._held: dict[str, _HeldEntry] = {}
        self._is_following = False
        self._answered_at = -math.inf
        self._ticked_at = -math.inf
        self._followed_at = -math.inf

    def note_followed(self) -> None:
        """Note that the store has answered with all changes."""
        self._is_following = True
        self._answered_at = steady_seconds()
        self._ticked_at = self._answered_at
        self._followed_at = self._answered_at

    def note_interrupted(self) -> None:
        """Note that the store gives no answer, so changes may be missed."""
        self._is_following = False
        self._followed_at = self._answered_at

    def tick(self, now: float) -> None:
        """Drop servers whose entries were removed `REMOVAL_DELAY_S` ago.

        Also apply the entries that were held back as outdated and have not
        been replaced.
        """
        if self._is_following:
            # After a freeze, changes may still be unread at the first tick.
            self._followed_at = self._ticked_at
            self._ticked_at = now
        for name, removed_at in list(self._removed_at.items()):
            if now - removed_at >= REMOVAL_DELAY_S:
                self._removed_at.pop(name)
                self._end(name)
                self._tables.leaving_since.pop(name, None)
                log_event('server gone', server=name)
        for held in list(self._held.values()):
            if now >= held.until:
                self._apply(held.row)

    def apply_changes(self, rows: list[SharedRow]) -> None:
        """Apply newer entries of the list of servers."""
        for row in rows:
            known = self.rows.get(row.key)
            if known is not None and row.version <= known.version:
                continue
            if known is not None and _is_outdated_copy(row, known):
                self._hold(row)
            else:
                self._apply(row)

    def apply_snapshot(
        self, rows: list[SharedRow], version: StoreVersion
    ) -> None:
        """Apply the whole list of servers if it is newer than the known one."""
        if version <= self.version:
            return
        self.apply_changes(rows)
        present = {row.key for row in rows}
        for key in set(self._held) - present:
            self._held.pop(key)
        for key, known in list(self.rows.items()):
            if key not in present and not known.removed:
                self._apply(SharedRow(key, b'', version, removed=True))
        self.version = version

    def _hold(self, row: SharedRow) -> None:
        held = self._held.get(row.key)
        if held is not None and held.row.version >= row.version:
            return
        self._held[row.key] = _HeldEntry(
            row, steady_seconds() + OUTDATED_ENTRY_S
        )
        log_event('restored entry held back', server=row.key)

    def _apply(self, row: SharedRow) -> None:
        self._held.pop(row.key, None)
        self.rows[row.key] = row
        self.version = max(self.version, row.version)
        if row.removed:
            if row.key in self._tables.servers:
                self._removed_at.setdefault(row.key, steady_seconds())
                log_event('server entry removed', server=row.key)
            return
        self._removed_at.pop(row.key, None)
        try:
            server = self._decode(row)
        except ValueError as error:
            self._end(row.key)
            log_event('entry unreadable', server=row.key, reason=str(error))
            return
        known = self._tables.servers.get(server.name)
        if known is not None and known.born_ms != server.born_ms:
            # A restarted server holds no earlier data: discard observations.
            self._end(server.name)
            self._tables.loads.pop(server.name, None)
        self._tables.servers[server.name] = server
        group = self._tables.groups.get(server.group)
        if group is not None:
            note_server_listed(
                group.acknowledged, ServerStart(server.name, server.born_ms)
            )
        server_load(self._tables, server.name)
        if server.leaving:
            # It may have left at any time since the list was followed.
            self._tables.leaving_since.setdefault(
                server.name, self._followed_at
            )
        else:
            self._tables.leaving_since.pop(server.name, None)
        if server != known:
            log_event('server', **server._asdict())

    def _end(self, name: str) -> None:
        """Remove a server, and remember that it may have confirmed writes."""
        server = self._tables.servers.pop(name, None)
        if server is None:
            return
        group = self._tables.groups.get(server.group)
        if group is not None:
            note_server_ended(
                group.acknowledged,
                ServerStart(name, server.born_ms),
                steady_seconds(),
            )


def _is_outdated_copy(row: SharedRow, known: SharedRow) -> bool:
    """Return whether a restored store lists an entry of before `known`.

    Numbers are given out again after a restoration, so a number that is not
    higher proves nothing about an entry with other content.
    """
    return (
        not row.removed
        and row.version.era > known.version.era
        and row.version.number <= known.version.number
        and (known.removed or row.content != known.content)
    )
