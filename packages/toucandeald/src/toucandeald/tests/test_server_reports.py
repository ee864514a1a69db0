"""Status reports of servers whose connections are all in use."""

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.caller_sessions import ConnectionState
from toucandeal.fleet import ProxyRecord, Server
from toucandeal.fleet_tables import FleetTables
from toucandeal.positions import LogPosition
from toucandeal.promotion import ServerReport
from toucandeald.borrowing import Borrowing
from toucandeald.server_pools import ServerPools
from toucandeald.server_reports import ServerReports
from toucandeald.session_messages import AnswerKind, ServerAnswer

SERVER = Server('i-1', 'g', '10.0.0.1:80', 'z1', 2, False, False)
FULL = ServerAnswer(AnswerKind.TOO_MANY_CONNECTIONS, [], '', 'full')
POSITION = LogPosition(1, 7)
REPORT = ServerReport(False, 1, POSITION)


class Connection:
    """A connection that answers requests for a report."""

    borrowed = False

    def __init__(self):
        self.connection_state = ConnectionState()
        self.usable = True

    def call(self, request, timeout_s):
        """Answer immediately with a report."""
        del request, timeout_s
        return defer.succeed(
            ServerAnswer(AnswerKind.COMPLETED, [], '', '', report=REPORT)
        )

    def close(self):
        """Mark the connection as closed."""
        self.usable = False


class FullServer:
    """A server with room for one connection."""

    def __init__(self):
        self.room = 1

    async def open(self, server, workspace, timeout_s):
        """Open the only connection, or refuse."""
        del server, workspace, timeout_s
        if not self.room:
            return FULL
        self.room -= 1
        return Connection()


@pytest.fixture
def server():
    """Return a server with room for one connection."""
    return FullServer()


@pytest.fixture
def pools(server):
    """Return pools of a proxy that knows the server."""
    tables = FleetTables('p1', 'z1')
    tables.servers['i-1'] = SERVER
    clock = Clock()
    borrowing = Borrowing(clock, tables, ProxyRecord('p1', 1, 'p1:1'))
    return ServerPools(clock, tables, server.open, borrowing)


def _reports(pools, server):
    reports = ServerReports(pools, server.open)
    results = []
    gathering = defer.ensureDeferred(reports.gather([SERVER]))
    gathering.addCallback(results.append)
    return results


def test_a_full_server_reports_over_a_pooled_connection(pools, server):
    pools.pool(SERVER).open_spare(1)
    assert server.room == 0
    assert _reports(pools, server) == [{'i-1': REPORT}]


def test_a_full_server_without_a_pooled_connection_gives_no_report(
    pools, server
):
    server.room = 0
    assert _reports(pools, server) == [{}]


def test_a_reported_position_is_recorded(pools, server):
    _reports(pools, server)
    load = pools._tables.loads['i-1']
    assert load.received == POSITION
