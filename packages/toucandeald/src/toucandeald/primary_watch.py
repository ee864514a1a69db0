"""Detect that a primary no longer answers.

Evidence comes from the statements themselves. A server is checked only when
they raise suspicion, over a separate connection.
"""

import math

from toucandeal.fleet import GroupRecord, Server
from toucandeal.fleet_tables import (
    FleetTables,
    GroupState,
    group_state,
    server_load,
)
from toucandeal.promotion import ServerReport
from toucandeald.background_tasks import run_in_background
from toucandeald.connection_pool import OpenConnection
from toucandeald.logs import log_event
from toucandeald.server_pools import note_role
from toucandeald.server_reports import request_on_new_connection
from toucandeald.session_messages import AnswerKind, ReportStatus
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['PrimaryWatch']

SILENCE_S = 0.2  # of a server with requests in flight, before it is checked
CHECK_TIMEOUT_S = 0.3  # for a handshake and a report of a healthy server
CHECK_RETRY_DELAY_S = 0.1
MAX_CHECK_S = 3 * CHECK_TIMEOUT_S  # of a process that runs


class PrimaryWatch:
    """Checks the servers that are recorded as primaries.

    `stepped_down` has the server of a group that has reported that it does not
    lead, and the time at which that report was requested.
    """

    def __init__(
        self, clock, tables: FleetTables, open_link: OpenConnection
    ) -> None:
        """Initialize with the function that opens a connection."""
        self.stepped_down: dict[str, tuple[str, float]] = {}
        self._clock = clock
        self._tables = tables
        self._open_link = open_link
        self._checking: set[str] = set()
        self._denials_checked_at: dict[str, float] = {}  # by group

    def has_stepped_down(self, record: GroupRecord) -> bool:
        """Return whether a recorded primary has reported that it does not lead.

        A report of before its present lead does not count.
        """
        name, requested_at = self.stepped_down.get(
            record.group, ('', -math.inf)
        )
        group = group_state(self._tables, record.group)
        return name == record.primary and requested_at >= group.lead_known_at

    def suspect(self, server: Server, reason: str) -> None:
        """Check a server if it is its group's primary."""
        if server.name in self._checking or not self._is_primary(server):
            return
        log_event('suspected', server=server.name, reason=reason)
        self._checking.add(server.name)
        run_in_background(self._check(server))

    def tick(self, now: float) -> None:
        """Suspect primaries that owe answers, or whose denial still stands."""
        for group in list(self._tables.groups.values()):
            record = group.record
            server = (
                None
                if record is None
                else self._tables.servers.get(record.primary)
            )
            if server is None:
                continue
            load = server_load(self._tables, server.name)
            since = max(load.heard_at, load.busy_since)
            if load.in_flight and now - since > SILENCE_S:
                self.suspect(server, 'it owes answers and is silent')
            if self._has_open_denial(group, now):
                self._denials_checked_at[group.name] = now
                self.suspect(server, 'it has denied to lead')

    def _has_open_denial(self, group: GroupState, now: float) -> bool:
        """Return whether to ask again a primary that has denied to lead.

        It gets no statements whose answers would tell that it leads again, and
        a check that was under way when it denied does not tell either.
        """
        record = group.record
        checked_at = self._denials_checked_at.get(group.name, -math.inf)
        return (
            not record.changing
            and group.not_leading == record.primary
            and not self.has_stepped_down(record)
            and now - checked_at >= CHECK_RETRY_DELAY_S
        )

    async def _check(self, server: Server) -> None:
        began_at = steady_seconds()
        checked_at = began_at
        is_late = False
        try:
            while await self._is_silent(server):
                now = steady_seconds()
                # The time-outs of a process that stood still say nothing of
                # the server. On a slow machine the second check counts.
                is_late = not is_late and now - checked_at > MAX_CHECK_S
                if is_late:
                    began_at = now
                self._record_silence(server, began_at, is_late=is_late)
                if not self._is_primary(server):
                    break
                await pause(self._clock, CHECK_RETRY_DELAY_S)
                checked_at = steady_seconds()
        finally:
            self._checking.discard(server.name)

    def _record_silence(
        self, server: Server, began_at: float, *, is_late: bool
    ) -> None:
        load = server_load(self._tables, server.name)
        if is_late:
            load.unreachable_since = None
            log_event('check disregarded', server=server.name)
        elif load.unreachable_since is None:
            load.unreachable_since = began_at
            log_event('unreachable', server=server.name)

    def _is_primary(self, server: Server) -> bool:
        record = group_state(self._tables, server.group).record
        return record is not None and record.primary == server.name

    async def _is_silent(self, server: Server) -> bool:
        sent_at = steady_seconds()
        answer = await request_on_new_connection(
            self._open_link, server, ReportStatus(), CHECK_TIMEOUT_S
        )
        if answer.kind in {AnswerKind.LOST, AnswerKind.WRONG_SERVER}:
            return True
        self._record_role(server, answer.report, sent_at)
        load = server_load(self._tables, server.name)
        load.heard_at = steady_seconds()
        load.unreachable_since = None
        return False

    def _record_role(
        self, server: Server, report: ServerReport | None, sent_at: float
    ) -> None:
        if report is None:
            return
        note_role(self._tables, server, report, sent_at, steady_seconds())
        if report.is_primary:
            self.stepped_down.pop(server.group, None)
        else:
            self.stepped_down[server.group] = (server.name, sent_at)
            log_event('primary has stepped down', server=server.name)
