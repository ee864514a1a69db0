"""The states of servers, as the pools learn them from attempts to connect."""

from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.caller_sessions import CallerSession, ConnectionState
from toucandeal.fleet import ProxyRecord, Server
from toucandeal.fleet_tables import server_load
from toucandeal.statement_queue import ConnectionRequest
from toucandeal.tests.sample_tables import NOW, new_tables
from toucandeald.borrowing import Borrowing
from toucandeald.server_pools import ServerPools
from toucandeald.session_messages import lost
from toucandeald.steady_clock import pause, virtual_time

ATTEMPT_S = 0.6  # until an attempt to connect to a dark server ends
MAINTENANCE_S = 0.25


class StubConnection:
    """A connection that stays open."""

    borrowed = False

    def __init__(self):
        self.connection_state = ConnectionState()
        self.usable = True

    def close(self):
        """Make the connection unusable."""
        self.usable = False


class DarkServer:
    """A proxy with three servers, of which `b` is dark."""

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(NOW)
        self.tables = new_tables()
        self.is_dark = True
        own = ProxyRecord('p1', 1, 'p1:1')
        self.pools = ServerPools(
            self.clock,
            self.tables,
            self._open,
            Borrowing(self.clock, self.tables, own),
        )

    async def _open(self, server, workspace, timeout_s):
        del workspace, timeout_s
        if server.name == 'b' and self.is_dark:
            await pause(self.clock, ATTEMPT_S)
            return lost('no answer')
        return StubConnection()

    @property
    def is_avoided(self):
        """Return whether statements avoid the dark server now."""
        load = server_load(self.tables, 'b')
        return self.clock.seconds() < load.avoided_until

    def read(self):
        """Let a statement wait for a connection to the dark server."""
        ends_at = self.clock.seconds() + 1
        waiting = self.pools.acquire(
            self.server,
            CallerSession(1, 'db'),
            [],
            ConnectionRequest(1, 'db', ends_at, ends_at),
        )
        return defer.ensureDeferred(waiting)

    @property
    def server(self) -> Server:
        """Return the dark server."""
        return self.tables.servers['b']

    def run(self, seconds):
        """Let time pass, with the maintenance of a running proxy."""
        for _ in range(round(seconds / MAINTENANCE_S)):
            self.clock.advance(MAINTENANCE_S)
            self.pools.update_pools()


def test_a_dark_server_is_avoided_until_a_spare_connection_is_open():
    # Guards against reads that wait for a server without an answer, one after
    # the other, as long as it is dark.
    proxy = DarkServer()
    with virtual_time(proxy.clock.seconds):
        proxy.read()
        proxy.run(1)
        for _ in range(12):
            assert proxy.is_avoided
            proxy.run(MAINTENANCE_S)
        proxy.is_dark = False
        proxy.run(1)
        assert not proxy.is_avoided
