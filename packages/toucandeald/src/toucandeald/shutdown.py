"""The graceful stop: no request is cut."""

from toucandeald.logs import log_event
from toucandeald.membership_sync import MembershipSync
from toucandeald.repeating import call_every
from toucandeald.runtime import Runtime
from toucandeald.web import Connections

__all__ = ['Shutdown']

GRACE_S = 1.0  # for the balancer to notice, and for idle connections to end
CHECK_S = 0.05


class Shutdown:
    """Waits for the work in flight, then ends the process.

    Requests that still arrive are served, each on a connection that is closed
    after the answer. The process ends once nothing has been in flight for the
    grace time, or at the timeout.
    """

    def __init__(
        self,
        reactor,
        runtime: Runtime,
        connections: Connections,
        membership: MembershipSync,
        timeout_s: float,
    ) -> None:
        """Take the parts to wait for."""
        self.lifecycle = None
        self._reactor = reactor
        self._runtime = runtime
        self._connections = connections
        self._membership = membership
        self._timeout_s = timeout_s
        self._busy_at = 0.0
        self._began_at = 0.0

    def begin(self) -> None:
        """Stop taking part in takeovers and wait for the work to end."""
        self._runtime.tables.draining = True
        self._connections.closing = True
        self._membership.beat()
        self._began_at = self._reactor.seconds()
        self._busy_at = self._began_at
        log_event('draining', in_flight=self._runtime.in_flight)
        call_every(CHECK_S, self._check)

    def _check(self) -> None:
        now = self._reactor.seconds()
        tables = self._runtime.tables
        busy = (
            self._runtime.in_flight
            or tables.transactions
            or self._connections.answering
        )
        if busy:
            self._busy_at = now
        if now - self._busy_at >= GRACE_S:
            self.lifecycle.drained()
        elif now - self._began_at >= self._timeout_s:
            log_event('drain timeout', in_flight=self._runtime.in_flight)
            self.lifecycle.drained()
