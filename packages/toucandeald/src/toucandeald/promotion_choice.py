"""Choose the server to promote from the servers' status reports."""

from collections.abc import Mapping

from toucandeal.fleet import GroupRecord, Server
from toucandeal.fleet_tables import FleetTables, server_load
from toucandeal.promotion import (
    Leader,
    ServerReport,
    best_replica,
    is_only_leader,
    replicas_of,
)
from toucandeald.logs import log_event
from toucandeald.primary_watch import PrimaryWatch
from toucandeald.server_reports import ServerReports
from toucandeald.session_messages import StepDown
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['PromotionChoice', 'servers_claiming_primary']

ROUND_INTERVAL_S = 0.05  # between two rounds of status requests
REPORTS_TIMEOUT_S = 0.6  # for all reports; then the received ones decide
# For a replica to catch up with a healthy primary, or for the report of one
# that is known to have received more than the others.
CATCH_UP_TIMEOUT_S = 1.5


def servers_claiming_primary(tables: FleetTables, name: str) -> list[Server]:
    """Return the servers of a group that claim to be its primary."""
    return [
        server
        for server in tables.servers.values()
        if server.group == name and server.claims_primary
    ]


class PromotionChoice:
    """Chooses among the servers of a group by their reports."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        watch: PrimaryWatch,
        reports: ServerReports,
    ) -> None:
        """Initialize with the sources of reports."""
        self._clock = clock
        self._tables = tables
        self._watch = watch
        self._reports = reports

    async def current_leader(self, record: GroupRecord) -> Leader | None:
        """Return the server that leads a group, as far as its servers report.

        If another one may lead that gives no report, it is asked again for as
        long as for a choice.

        Parameters
        ----------
        record : GroupRecord
            As it was found, before the present attempt of a promotion.
        """
        if not (record.changing or self.may_have_been_replaced(record)):
            return None
        began_at = steady_seconds()
        servers = [
            server
            for server in self._tables.servers.values()
            if server.group == record.group
        ]
        while True:
            reports = await self._reports.gather(servers)
            leader = _newest_primary(record, reports)
            missing = [each for each in servers if each.name not in reports]
            if leader is None:
                return None
            leader = leader._replace(
                silent=frozenset(each.name for each in missing)
            )
            wait_s = self._wait_s(
                missing, reports[leader.name], REPORTS_TIMEOUT_S
            )
            waited_s = steady_seconds() - began_at
            if is_only_leader(record, leader) or waited_s >= wait_s:
                return leader
            await pause(self._clock, ROUND_INTERVAL_S)

    def may_have_been_replaced(self, record: GroupRecord) -> bool:
        """Return whether another server may lead without a new record."""
        claimed = any(
            server.name != record.primary
            for server in servers_claiming_primary(self._tables, record.group)
        )
        return self._watch.has_stepped_down(record) or claimed

    async def choose_replica(
        self, record: GroupRecord, *, planned: bool
    ) -> tuple[Server | None, int]:
        """Return the replica to promote and the highest known term.

        The one of the record counts as well: a former primary may be the only
        server that answers, and calls itself primary of an earlier term.
        """
        began_at = steady_seconds()
        timeout_s = CATCH_UP_TIMEOUT_S if planned else REPORTS_TIMEOUT_S
        while True:
            candidates, reports, primary = await self._gather(
                record, planned=planned
            )
            waited_s = steady_seconds() - began_at
            leaving = {each.name for each in candidates if each.leaving}
            best = best_replica(reports, leaving)
            caught_up = primary is None or (
                best is not None and reports[best].received >= primary.received
            )
            eligible = best is not None and caught_up
            missing = [each for each in candidates if each.name not in reports]
            if eligible and waited_s >= self._wait_s(
                missing, reports[best], timeout_s
            ):
                break
            if waited_s >= timeout_s and not eligible:
                return None, 0
            await pause(self._clock, ROUND_INTERVAL_S)
        answered = (*reports.values(), *filter(None, [primary]))
        term = max(record.term, *(report.term for report in answered))
        if planned:
            await self._step_down(record, term + 1)
        log_event(
            'promotion',
            group=record.group,
            step='chosen',
            server=best,
            received=reports[best].received,
            leaving=best in leaving,
            term=term,
        )
        return self._tables.servers.get(best), term

    def _wait_s(
        self, missing: list[Server], best: ServerReport, timeout_s: float
    ) -> float:
        """Return how long to wait for the reports of the missing servers.

        A busy server refuses to give one. If it is known to have received more
        than the best of the others, it may be the only one that has the last
        acknowledged commits.
        """
        if not missing:
            return 0
        received = (
            server_load(self._tables, server.name).received
            for server in missing
        )
        return (
            CATCH_UP_TIMEOUT_S if max(received) > best.received else timeout_s
        )

    async def _gather(
        self, record: GroupRecord, *, planned: bool
    ) -> tuple[list[Server], dict[str, ServerReport], ServerReport | None]:
        """Return the candidates, their reports and the primary's report.

        If a primary that is to be replaced as planned answers, a server that
        stays has to catch up with it. Otherwise any server may be the only one
        that has the last acknowledged commits, also one that is leaving.
        """
        replicas = replicas_of(self._tables, record)
        if planned:
            staying = [server for server in replicas if not server.leaving]
            # The primary is asked after the replicas: a commit in between
            # counts as not received.
            reports = await self._reports.gather(staying)
            primary = await self._primary_report(record)
            if primary is not None:
                return staying, reports, primary
        return replicas, await self._reports.gather(replicas), None

    async def _primary_report(self, record: GroupRecord) -> ServerReport | None:
        primary = self._tables.servers.get(record.primary)
        if primary is None:
            return None
        return (await self._reports.gather([primary])).get(primary.name)

    async def _step_down(self, record: GroupRecord, term: int) -> None:
        primary = self._tables.servers.get(record.primary)
        if primary is not None:
            answer = await self._reports.send_request(primary, StepDown(term))
            log_event(
                'promotion',
                group=record.group,
                step='stepped down',
                server=primary.name,
                answer=answer.kind.value,
            )


def _newest_primary(
    record: GroupRecord, reports: Mapping[str, ServerReport]
) -> Leader | None:
    """Return the primary of the highest reported term."""
    newest = max((report.term for report in reports.values()), default=0)
    return next(
        (
            Leader(name, report.term)
            for name, report in reports.items()
            if report.is_primary
            and report.term == newest
            and _may_lead(record, name, report.term)
        ),
        None,
    )


def _may_lead(record: GroupRecord, name: str, term: int) -> bool:
    """Return whether a server that calls itself primary of `term` may be it.

    A superseded primary does so until it hears of its successor, which may
    give no answer.

    Examples
    --------
    >>> record = GroupRecord('g', 'a', 3)
    >>> _may_lead(record, 'a', 3), _may_lead(record, 'b', 3)
    (True, False)
    """
    return term > record.term or (
        name == record.primary and term == record.term
    )
