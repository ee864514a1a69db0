"""What servers report of themselves when they are asked."""

from twisted.internet import defer

from toucandeal.fleet import Server
from toucandeal.fleet_tables import FleetTables, server_load
from toucandeal.promotion import Reported
from toucandeald.link_pool import OpenLink
from toucandeald.session_messages import (
    AnswerKind,
    ReportStatus,
    ServerAnswer,
)

__all__ = ['ServerReports']

REPORT_TIMEOUT_S = 0.3  # a handshake and a report, of a server in order


class ServerReports:
    """Asks servers over connections of their own."""

    def __init__(self, tables: FleetTables, open_link: OpenLink) -> None:
        """Take what opens a connection."""
        self._tables = tables
        self._open_link = open_link

    async def gather(self, servers: list[Server]) -> dict[str, Reported]:
        """Return the reports of the servers that answer."""
        answers = await defer.gatherResults(
            [defer.ensureDeferred(self._report(server)) for server in servers]
        )
        return {
            server.name: report
            for server, report in zip(servers, answers, strict=True)
            if report is not None
        }

    async def _report(self, server: Server) -> Reported | None:
        link = await self._open_link(server, REPORT_TIMEOUT_S)
        if isinstance(link, ServerAnswer):
            return None
        answer = await link.call(ReportStatus(), REPORT_TIMEOUT_S)
        link.close()
        if answer.kind is not AnswerKind.COMPLETED:
            return None
        report = link.report(answer)
        if report is not None:
            load = server_load(self._tables, server.name)
            load.received = max(load.received, report.received)
        return report

    async def ask(self, server: Server, request) -> ServerAnswer:
        """Send one request to a server."""
        link = await self._open_link(server, REPORT_TIMEOUT_S)
        if isinstance(link, ServerAnswer):
            return link
        answer = await link.call(request, REPORT_TIMEOUT_S)
        link.close()
        return answer
