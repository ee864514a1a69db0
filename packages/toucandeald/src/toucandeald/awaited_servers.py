"""Wait for a report without which no replica can take over from a primary.

The servers are asked without the promotion lock and without calls to the store,
so other groups have their promotions meanwhile.
"""

from collections.abc import Callable

from toucandeal.fleet import GroupRecord, Server
from toucandeal.fleet_tables import FleetTables, awaits_server, group_state
from toucandeal.promotion import await_interval_s, starts_of
from toucandeal.store_versions import StoreVersion
from toucandeald.background_tasks import run_in_background
from toucandeald.logs import log_event
from toucandeald.server_reports import ServerReports
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['AwaitedServers']


class _Wait:
    """A wait for one of the awaited servers, or for another start of one."""

    def __init__(
        self,
        version: StoreVersion,
        awaited: frozenset[str],
        starts: frozenset[tuple[str, int]],
    ) -> None:
        self.version = version
        self.awaited = awaited
        self.starts = starts
        self.over = False


class AwaitedServers:
    """The waits of groups whose last promotion lacked reports."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        reports: ServerReports,
        may_have_been_replaced: Callable[[GroupRecord], bool],
    ) -> None:
        """Initialize without waits."""
        self._clock = clock
        self._tables = tables
        self._reports = reports
        self._may_have_been_replaced = may_have_been_replaced
        self._waits: dict[str, _Wait] = {}

    def may_try(self, name: str) -> bool:
        """Return whether a promotion of a group may succeed.

        It may not before one of the servers answers whose reports the last one
        lacked.
        """
        record = group_state(self._tables, name).record
        if record is None:
            return True
        wait = self._waits.get(name)
        if wait is not None and wait.version == record.version:
            return wait.over
        if not awaits_server(self._tables, name):
            return True
        self.begin(record, record.awaited)
        return False

    def begin(self, record: GroupRecord, awaited: tuple[str, ...]) -> None:
        """Wait for servers of a group until its record changes."""
        wait = _Wait(
            record.version,
            frozenset(awaited),
            frozenset(starts_of(self._tables, record.group).items()),
        )
        self._waits[record.group] = wait
        run_in_background(self._ask(record, wait))

    async def _ask(self, record: GroupRecord, wait: _Wait) -> None:
        """Ask the awaited servers until one answers.

        Another server that starts, or leads without a record, ends the wait
        as well.
        """
        name = record.group
        while self._is_wanted(record):
            answered = await self._reports.gather(self._to_ask(record, wait))
            starts = frozenset(starts_of(self._tables, name).items())
            if (
                answered
                or starts - wait.starts
                or self._may_have_been_replaced(record)
            ):
                wait.over = True
                log_event(
                    'promotion',
                    group=name,
                    step='may succeed',
                    answered=sorted(answered),
                )
                return
            now = steady_seconds()
            await pause(self._clock, await_interval_s(self._tables, now))
        if self._waits.get(name) is wait:
            self._waits.pop(name)

    def _is_wanted(self, record: GroupRecord) -> bool:
        """Return whether a promotion still lacks reports.

        A primary that answers ends a wait, unless a promotion is under way.
        """
        present = group_state(self._tables, record.group).record
        return present.version == record.version and (
            record.changing or awaits_server(self._tables, record.group)
        )

    def _to_ask(self, record: GroupRecord, wait: _Wait) -> list[Server]:
        return [
            server
            for server in self._tables.servers.values()
            if server.group == record.group
            and (
                server.name in wait.awaited
                or (record.changing and server.name == record.primary)
            )
        ]
