"""Request status reports from servers."""

from twisted.internet import defer

from toucandeal.fleet import Server
from toucandeal.promotion import ServerReport
from toucandeald.connection_pool import OpenConnection
from toucandeald.server_pools import ServerPools
from toucandeald.session_messages import (
    ReportStatus,
    ServerAnswer,
    ServerRequest,
)

__all__ = ['ServerReports', 'request_on_new_connection']

REPORT_TIMEOUT_S = 0.3  # for a handshake and a report of a healthy server


class ServerReports:
    """Sends requests to servers over a pooled or a new connection.

    The pool is tried first: a server whose connections are all in use would
    refuse a new one.
    """

    def __init__(self, pools: ServerPools, open_link: OpenConnection) -> None:
        """Initialize with the pools and the opener of connections."""
        self._pools = pools
        self._open_link = open_link

    async def gather(self, servers: list[Server]) -> dict[str, ServerReport]:
        """Return the reports of the servers that answer."""
        answers = await defer.gatherResults(
            [
                defer.ensureDeferred(self.send_request(server, ReportStatus()))
                for server in servers
            ]
        )
        return {
            server.name: answer.report
            for server, answer in zip(servers, answers, strict=True)
            if answer.report is not None
        }

    async def send_request(
        self, server: Server, request: ServerRequest
    ) -> ServerAnswer:
        """Send one request to a server."""
        answer = await self._pools.query(server, request, REPORT_TIMEOUT_S)
        if answer is not None:
            return answer
        return await request_on_new_connection(
            self._open_link, server, request, REPORT_TIMEOUT_S
        )


async def request_on_new_connection(
    open_link: OpenConnection,
    server: Server,
    request: ServerRequest,
    timeout_s: float,
) -> ServerAnswer:
    """Send a request over a new connection, and close it afterwards."""
    connection = await open_link(server, '', timeout_s)
    if isinstance(connection, ServerAnswer):
        return connection
    answer = await connection.call(request, timeout_s)
    connection.close()
    return answer
