"""Which server is to lead a group, by the servers' own reports."""

from toucandeal.fleet import GroupRecord, Server
from toucandeal.fleet_tables import FleetTables
from toucandeal.promotion import Reported, best_replica, replicas_of
from toucandeald.logs import log_event
from toucandeald.primary_watch import PrimaryWatch
from toucandeald.server_reports import ServerReports
from toucandeald.session_messages import StepDown
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['PromotionChoice', 'servers_that_claim']

STEP_S = 0.05  # between two rounds of reports
REPORTS_S = 0.6  # for all replicas to report; then those that have count
CATCH_UP_S = 1.5  # for a replica to receive all, where the primary is in order


def servers_that_claim(tables: FleetTables, name: str) -> list[Server]:
    """Return the servers of a group that see themselves as its primary."""
    return [
        server
        for server in tables.servers.values()
        if server.group == name and server.claims_primary
    ]


class PromotionChoice:
    """Asks the servers of a group, and chooses among them."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        watch: PrimaryWatch,
        reports: ServerReports,
    ) -> None:
        """Take what asks the servers."""
        self._clock = clock
        self._tables = tables
        self._watch = watch
        self._reports = reports

    async def present_leader(
        self, record: GroupRecord, *, resumed: bool
    ) -> tuple[str, int] | None:
        """Return the server that leads in the highest term, and its term."""
        if not (resumed or self._may_have_been_replaced(record)):
            return None
        servers = [
            server
            for server in self._tables.servers.values()
            if server.group == record.group
        ]
        reports = await self._reports.gather(servers)
        leading = {
            name: report.term
            for name, report in reports.items()
            if report.is_primary
        }
        newest = max((report.term for report in reports.values()), default=0)
        return next(
            ((name, term) for name, term in leading.items() if term == newest),
            None,
        )

    def _may_have_been_replaced(self, record: GroupRecord) -> bool:
        deposed = self._watch.deposed.get(record.group) == record.primary
        claimed = any(
            server.name != record.primary
            for server in servers_that_claim(self._tables, record.group)
        )
        return deposed or claimed

    async def choose(
        self, record: GroupRecord, *, planned: bool
    ) -> tuple[Server | None, int]:
        """Return the replica that takes over and the highest known term."""
        began_at = steady_seconds()
        limit_s = CATCH_UP_S if planned else REPORTS_S
        while True:
            replicas = replicas_of(self._tables, record)
            reports = await self._reports.gather(replicas)
            late = steady_seconds() - began_at >= limit_s
            primary = None
            if planned:
                primary = await self._primary_report(record)
            best = best_replica(reports)
            caught_up = primary is None or (
                best is not None and reports[best].received >= primary.received
            )
            complete = len(reports) == len(replicas)
            if best is not None and caught_up and (complete or late):
                break
            if late:
                return None, 0
            await pause(self._clock, STEP_S)
        term = max(
            report.term
            for report in (*reports.values(), *filter(None, [primary]))
        )
        if planned:
            await self._step_down(record, term + 1)
        log_event(
            'promotion',
            group=record.group,
            step='chosen',
            server=best,
            received=reports[best].received,
            term=term,
        )
        return self._tables.servers.get(best), term

    async def _primary_report(self, record: GroupRecord) -> Reported | None:
        primary = self._tables.servers.get(record.primary)
        if primary is None:
            return None
        return (await self._reports.gather([primary])).get(primary.name)

    async def _step_down(self, record: GroupRecord, term: int) -> None:
        primary = self._tables.servers.get(record.primary)
        if primary is not None:
            answer = await self._reports.ask(primary, StepDown(term))
            log_event(
                'promotion',
                group=record.group,
                step='stepped down',
                server=primary.name,
                answer=answer.kind.value,
            )
