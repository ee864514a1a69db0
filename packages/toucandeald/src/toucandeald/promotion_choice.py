"""Choose the server to promote from the servers' status reports."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from toucandeal.acknowledged_writes import (
    FleetAcknowledged,
    has_acknowledged_writes,
)
from toucandeal.fleet import GroupRecord, Server
from toucandeal.fleet_tables import FleetTables, server_load
from toucandeal.positions import NOTHING_SEEN
from toucandeal.promotion import (
    Leader,
    ServerReport,
    best_replica,
    former_primary,
    is_only_leader,
    is_unverified,
    replicas_of,
    unaccounted_servers,
)
from toucandeald.logs import log_event
from toucandeald.primary_watch import PrimaryWatch
from toucandeald.server_reports import ServerReports
from toucandeald.session_messages import StepDown
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['Choice', 'PromotionChoice', 'servers_claiming_primary']

ROUND_INTERVAL_S = 0.05  # between two rounds of status requests
REPORTS_TIMEOUT_S = 0.6  # for all reports
# For a replica to catch up with a healthy primary, or for the report of one
# that is known to have received more than the others.
CATCH_UP_TIMEOUT_S = 1.5


class Choice(NamedTuple):
    """The replica to promote, and the highest known term.

    Without a replica, `awaited` are the servers whose reports are missing.
    """

    server: Server | None
    term: int = 0
    awaited: tuple[str, ...] = ()


class _Reports(NamedTuple):
    """The reports of the candidates, and of a primary that still leads.

    `candidates` are those that were asked.
    """

    candidates: list[Server]
    received: dict[str, ServerReport]
    primary: ServerReport | None


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
                _Reports(servers, reports, None),
                leader.name,
                REPORTS_TIMEOUT_S,
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
        self,
        record: GroupRecord,
        found: GroupRecord,
        acknowledged: Callable[[], FleetAcknowledged],
        *,
        planned: bool,
    ) -> Choice:
        """Choose the replica to promote.

        It has caught up with a primary that answers, or is certain to have all
        acknowledged writes. The term of the record counts as well: a former
        primary may be the only server that answers, and calls itself primary
        of an earlier term.

        Parameters
        ----------
        record : GroupRecord
            Of the present attempt of a promotion.
        found : GroupRecord
            As it was found, before this attempt.
        acknowledged : callable
            Returns what the proxies have acknowledged, as far as is known.
        planned : bool
        """
        reports, best, awaited = await self._gather_proof(
            record, found, acknowledged, planned=planned
        )
        if awaited is not None:
            return Choice(None, awaited=tuple(awaited))
        chosen = reports.received[best]
        answered = (
            *reports.received.values(),
            *filter(None, [reports.primary]),
        )
        term = max(record.term, *(report.term for report in answered))
        if planned:
            await self._step_down(record, term + 1)
        server = self._tables.servers.get(best)
        log_event(
            'promotion',
            group=record.group,
            step='chosen',
            server=best,
            received=chosen.received,
            leaving=server is not None and server.leaving,
            term=term,
            acknowledged=acknowledged(),
        )
        return Choice(server, term)

    async def _gather_proof(
        self,
        record: GroupRecord,
        found: GroupRecord,
        acknowledged: Callable[[], FleetAcknowledged],
        *,
        planned: bool,
    ) -> tuple[_Reports, str | None, list[str] | None]:
        """Gather reports until the best replica is certain to have everything.

        Returns
        -------
        tuple
            The reports, the best replica, and the servers whose reports are
            missing, None if it may take over. A primary that leads after all
            is not replaced, and no report is missing then.
        """
        began_at = steady_seconds()
        timeout_s = CATCH_UP_TIMEOUT_S if planned else REPORTS_TIMEOUT_S
        is_first = True
        while True:
            reports = await self._gather(
                record, planned=planned, with_primary=not is_first
            )
            is_first = False
            leaving = {each.name for each in reports.candidates if each.leaving}
            best = best_replica(reports.received, leaving)
            awaited = self._awaited(
                record, found, acknowledged(), reports, best
            )
            if awaited is None or (reports.primary and not planned):
                return reports, best, awaited
            waited_s = steady_seconds() - began_at
            if waited_s >= self._wait_s(reports, best, timeout_s):
                self._log_awaited(record, reports, awaited)
                return reports, best, awaited
            await pause(self._clock, ROUND_INTERVAL_S)

    def _awaited(
        self,
        record: GroupRecord,
        found: GroupRecord,
        acknowledged: FleetAcknowledged,
        reports: _Reports,
        best: str | None,
    ) -> list[str] | None:
        """Return the servers to wait for, or None if the best takes over.

        It has everything if it has caught up with a primary that leads, or is
        a former primary itself.
        """
        received = (
            NOTHING_SEEN if best is None else reports.received[best].received
        )
        if reports.primary is not None:
            has_all = best is not None and received >= reports.primary.received
            return None if has_all else []
        if best is None:
            return [each.name for each in reports.candidates]
        if record.primary in reports.received and not is_unverified(found):
            return None
        missing = unaccounted_servers(
            self._tables, found, reports.received, received
        )
        if has_acknowledged_writes(received, acknowledged, missing):
            return None
        return missing

    def _log_awaited(
        self, record: GroupRecord, reports: _Reports, awaited: list[str]
    ) -> None:
        """Log the servers whose reports are missing, and what they had."""
        log_event(
            'promotion',
            group=record.group,
            step='lacks reports',
            awaited={
                name: server_load(self._tables, name).received
                for name in awaited
            },
            received={
                name: report.received
                for name, report in reports.received.items()
            },
        )

    def _wait_s(
        self, reports: _Reports, best: str | None, timeout_s: float
    ) -> float:
        """Return how long to wait for the reports of the missing servers.

        A busy server refuses to give one. If it is known to have received more
        than the best of the others, it may be the only one that has the last
        acknowledged commits.
        """
        if best is None:
            return timeout_s
        known = max(
            (
                server_load(self._tables, server.name).received
                for server in reports.candidates
                if server.name not in reports.received
            ),
            default=NOTHING_SEEN,
        )
        is_ahead = known > reports.received[best].received
        return CATCH_UP_TIMEOUT_S if is_ahead else timeout_s

    async def _gather(
        self, record: GroupRecord, *, planned: bool, with_primary: bool
    ) -> _Reports:
        """Return the reports of the candidates and of the primary.

        If a primary that is to be replaced as planned answers, a server that
        stays has to catch up with it. Otherwise any server may be the only one
        that has the last acknowledged commits, also one that is leaving, or a
        primary that does not lead any more. A primary that has failed is asked
        only if the replicas' reports do not suffice, as that takes time.
        """
        replicas = replicas_of(self._tables, record)
        if planned:
            staying = [server for server in replicas if not server.leaving]
            # The primary is asked after the replicas: a commit in between
            # counts as not received.
            received = await self._gather_reliable(staying)
            primary = await self._primary_report(record)
            if primary is not None:
                return _Reports(staying, received, primary)
        former = former_primary(self._tables, record) if with_primary else None
        if former is None:
            received = await self._gather_reliable(replicas)
            return _Reports(replicas, received, None)
        received = await self._gather_reliable([*replicas, former])
        report = received.get(former.name)
        if report is None or not report.is_primary:
            return _Reports([*replicas, former], received, None)
        received.pop(former.name)
        leads = report if report.term >= record.term else None
        return _Reports(replicas, received, leads)

    async def _gather_reliable(
        self, servers: list[Server]
    ) -> dict[str, ServerReport]:
        """Return the reports, without those of servers that forgot their log.

        A server may have started again before its entry tells so.
        """
        known = {
            server.name: server_load(self._tables, server.name).received
            for server in servers
        }
        reports = await self._reports.gather(servers)
        return {
            name: report
            for name, report in reports.items()
            if report.received >= known[name]
        }

    async def _primary_report(self, record: GroupRecord) -> ServerReport | None:
        primary = self._tables.servers.get(record.primary)
        if primary is None:
            return None
        return (await self._gather_reliable([primary])).get(primary.name)

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
