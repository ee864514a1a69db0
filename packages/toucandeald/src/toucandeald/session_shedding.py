"""Session shedding: an isolated proxy sends its callers to other proxies."""

import math

from toucandeal.fleet_tables import FleetTables
from toucandeal.isolation import IsolationState, is_isolated, record_lease
from toucandeald.logs import log_event
from toucandeald.session_service import SessionService

__all__ = ['BALANCER_NOTICE_S', 'SessionShedding']

BALANCER_NOTICE_S = 2.3  # for two probes of the load balancer, a second apart


class SessionShedding:
    """Detects that this proxy is isolated, and sheds its idle sessions."""

    def __init__(self, tables: FleetTables, service: SessionService) -> None:
        """Initialize with the service that closes sessions."""
        self.isolated = False
        self._tables = tables
        self._service = service
        self._isolation = IsolationState()
        self._isolated_since = math.inf

    def tick(self, now: float) -> None:
        """Update `isolated`; close idle sessions once the balancer noticed."""
        record_lease(self._isolation, self._tables, now)
        isolated = is_isolated(self._isolation, self._tables, now)
        if isolated != self.isolated:
            self.isolated = isolated
            self._isolated_since = now
            log_event('cut off' if isolated else 'no longer cut off')
        if isolated and now - self._isolated_since >= BALANCER_NOTICE_S:
            # Only once: a caller that reconnects here has no other proxy.
            self._isolated_since = math.inf
            self._service.close_idle_sessions()
