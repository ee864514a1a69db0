"""Graceful shutdown: requests in flight are completed."""

from toucandeal.transactions import roll_back_open
from toucandeald.logs import log_event
from toucandeald.membership_sync import MembershipSync
from toucandeald.periodic_calls import call_every
from toucandeald.runtime import Runtime
from toucandeald.web import Connections

__all__ = ['Shutdown']

# Time for the load balancer to detect the drain and for idle connections to
# close.
DRAIN_GRACE_S = 1.0
CHECK_INTERVAL_S = 0.05


class Shutdown:
    """Waits for the work in flight, then ends the process.

    Requests that still arrive are served, and their connections are closed
    after the reply. Transactions that are open at half of the timeout are
    rolled back, unless a statement is running. The process ends once nothing
    has been in flight for `DRAIN_GRACE_S`, or at the timeout.
    """

    def __init__(
        self,
        reactor,
        runtime: Runtime,
        connections: Connections,
        membership: MembershipSync,
        timeout_s: float,
    ) -> None:
        """Initialize with the components whose work is drained."""
        self.lifecycle = None
        self._reactor = reactor
        self._runtime = runtime
        self._connections = connections
        self._membership = membership
        self._timeout_s = timeout_s
        self._last_busy_at = 0.0
        self._began_at = 0.0

    def begin(self) -> None:
        """Stop participating in takeovers and start draining."""
        self._runtime.tables.draining = True
        self._connections.closing = True
        self._membership.send_heartbeats()
        self._began_at = self._reactor.seconds()
        self._last_busy_at = self._began_at
        log_event('draining', in_flight=self._runtime.in_flight)
        call_every(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        now = self._reactor.seconds()
        tables = self._runtime.tables
        if tables.transactions and now - self._began_at >= self._timeout_s / 2:
            self._runtime.process(roll_back_open)
        busy = (
            self._runtime.in_flight
            or tables.transactions
            or self._connections.requests_in_flight
        )
        if busy:
            self._last_busy_at = now
        if now - self._last_busy_at >= DRAIN_GRACE_S:
            self.lifecycle.drained()
        elif now - self._began_at >= self._timeout_s:
            log_event('drain timeout', in_flight=self._runtime.in_flight)
            self.lifecycle.drained()
