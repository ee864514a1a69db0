"""What servers report of themselves when they are asked."""

from twisted.internet import defer

from toucandeal.fleet import Server
from toucandeal.promotion import Reported
from toucandeald.link_pool import OpenLink
from toucandeald.server_pools import ServerPools
from toucandeald.session_messages import (
    LinkRequest,
    ReportStatus,
    ServerAnswer,
)

__all__ = ['ServerReports', 'ask_alone']

REPORT_TIMEOUT_S = 0.3  # a handshake and a report, of a server in order


class ServerReports:
    """Asks servers, over a pooled connection or one of its own.

    A pooled one is tried first: a server whose connections are all in use
    would refuse another one.
    """

    def __init__(self, pools: ServerPools, open_link: OpenLink) -> None:
        """Take the pools, and what opens a connection."""
        self._pools = pools
        self._open_link = open_link

    async def gather(self, servers: list[Server]) -> dict[str, Reported]:
        """Return the reports of the servers that answer."""
        answers = await defer.gatherResults(
            [
                defer.ensureDeferred(self.ask(server, ReportStatus()))
                for server in servers
            ]
        )
        return {
            server.name: answer.report
            for server, answer in zip(servers, answers, strict=True)
            if answer.report is not None
        }

    async def ask(self, server: Server, request: LinkRequest) -> ServerAnswer:
        """Send one request to a server."""
        answer = await self._pools.ask(server, request, REPORT_TIMEOUT_S)
        if answer is not None:
            return answer
        return await ask_alone(
            self._open_link, server, request, REPORT_TIMEOUT_S
        )


async def ask_alone(
    open_link: OpenLink, server: Server, request: LinkRequest, timeout_s: float
) -> ServerAnswer:
    """Send a request over a connection that is used for nothing else."""
    link = await open_link(server, timeout_s)
    if isinstance(link, ServerAnswer):
        return link
    answer = await link.call(request, timeout_s)
    link.close()
    return answer
