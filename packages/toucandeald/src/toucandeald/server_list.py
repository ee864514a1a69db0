"""The list of servers, as the store and the peers report it."""

import functools
import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

from toucandeal.acknowledged_writes import (
    ServerStart,
    note_server_ended,
    note_server_listed,
)
from toucandeal.departures import (
    Departure,
    DepartureAges,
    ListFeed,
    departure_ages,
    note_answer,
    note_call,
    note_call_ended,
    note_interrupted,
    note_tick,
    seen_again,
    seen_in_copy,
    seen_in_feed,
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


# Returns the departure of a server whose entry says that it is leaving.
Sight = Callable[[str], Departure]


class _HeldEntry(NamedTuple):
    row: SharedRow
    until: float
    departure: Departure  # if the entry says that the server is leaving


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
        self._feed = ListFeed()

    def note_call(self, sent_at: float, wait_s: float) -> None:
        """Note that a call was sent that waits for the next change."""
        note_call(self._feed, sent_at, wait_s)

    def note_call_ended(self) -> None:
        """Note that the store has answered the call."""
        note_call_ended(self._feed)

    def note_followed(self, as_of: float) -> None:
        """Note that the store has answered with all changes before `as_of`."""
        note_answer(self._feed, as_of)

    def note_interrupted(self) -> None:
        """Note that the store gives no answer, so changes may be missed."""
        note_interrupted(self._feed)

    def departure_ages(self) -> dict[str, DepartureAges]:
        """Return the ages of the departures of the servers that are leaving."""
        now = steady_seconds()
        return {
            name: departure_ages(departure, now)
            for name, departure in self._tables.departures.items()
            if name in self._tables.servers
        }

    def tick(self, now: float) -> None:
        """Drop servers whose entries were removed `REMOVAL_DELAY_S` ago.

        Also apply the entries that were held back as outdated and have not
        been replaced.
        """
        note_tick(self._feed, now)
        for name, removed_at in list(self._removed_at.items()):
            if now - removed_at >= REMOVAL_DELAY_S:
                self._removed_at.pop(name)
                # An entry that lapses may come back; its departure stays known.
                self._end(name)
                log_event('server gone', server=name)
        for held in list(self._held.values()):
            if now >= held.until:
                self._apply(held.row, lambda _, held=held: held.departure)

    def apply_changes(self, rows: list[SharedRow]) -> None:
        """Apply newer entries, as an own call to the store has brought them."""
        self._apply_newer(rows, self._sight_in_feed)

    def apply_snapshot(
        self, rows: list[SharedRow], version: StoreVersion
    ) -> None:
        """Apply the whole list, as own calls to the store have read it."""
        self._apply_all(rows, version, self._sight_in_feed)

    def apply_copy(
        self,
        rows: list[SharedRow],
        version: StoreVersion,
        ages: Mapping[str, DepartureAges],
        sent_after: float,
    ) -> None:
        """Apply a peer's copy of the whole list, sent after `sent_after`."""
        self._apply_all(
            rows,
            version,
            functools.partial(self._sight_in_copy, ages, sent_after),
        )
        departures = self._tables.departures
        now = steady_seconds()
        for row in rows:
            # Another version may be of another departure.
            known = self.rows.get(row.key)
            is_same = known is not None and known.version == row.version
            if is_same and row.key in ages and row.key in departures:
                departures[row.key] = seen_again(
                    departures[row.key],
                    seen_in_copy(self._feed, ages[row.key], sent_after, now),
                )

    def _sight_in_feed(self, name: str) -> Departure:
        del name
        return seen_in_feed(self._feed, steady_seconds())

    def _sight_in_copy(
        self, ages: Mapping[str, DepartureAges], sent_after: float, name: str
    ) -> Departure:
        now = steady_seconds()
        return seen_in_copy(self._feed, ages.get(name), sent_after, now)

    def _apply_newer(self, rows: list[SharedRow], sight: Sight) -> None:
        for row in rows:
            known = self.rows.get(row.key)
            if known is not None and row.version <= known.version:
                continue
            if known is not None and _is_outdated_copy(row, known):
                self._hold(row, sight)
            else:
                self._apply(row, sight)

    def _apply_all(
        self, rows: list[SharedRow], version: StoreVersion, sight: Sight
    ) -> None:
        """Apply the whole list of servers if it is newer than the known one."""
        if version <= self.version:
            return
        self._apply_newer(rows, sight)
        present = {row.key for row in rows}
        for key in set(self._held) - present:
            self._held.pop(key)
        for key, known in list(self.rows.items()):
            if key not in present and not known.removed:
                self._apply(SharedRow(key, b'', version, removed=True), sight)
        self.version = version

    def _hold(self, row: SharedRow, sight: Sight) -> None:
        held = self._held.get(row.key)
        if held is not None and held.row.version >= row.version:
            return
        self._held[row.key] = _HeldEntry(
            row, steady_seconds() + OUTDATED_ENTRY_S, sight(row.key)
        )
        log_event('restored entry held back', server=row.key)

    def _apply(self, row: SharedRow, sight: Sight) -> None:
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
        self._note_departure(server, sight)
        if server != known:
            log_event('server', **server._asdict())

    def _note_departure(self, server: Server, sight: Sight) -> None:
        departures = self._tables.departures
        if not server.leaving:
            departures.pop(server.name, None)
        elif server.name not in departures:
            departure = sight(server.name)
            departures[server.name] = departure
            ages = departure_ages(departure, steady_seconds())
            log_event(
                'server leaving',
                server=server.name,
                earliest_s=_logged_age(ages.earliest),
                latest_s=_logged_age(ages.latest),
            )

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


def _logged_age(seconds: float) -> float | str:
    return round(seconds, 2) if math.isfinite(seconds) else 'unknown'
