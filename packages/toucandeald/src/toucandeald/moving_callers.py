"""Sends the callers of a proxy that is cut off to other proxies."""

import math

from toucandeal.fleet_tables import FleetTables
from toucandeal.usefulness import Usefulness, is_cut_off, note_basis
from toucandeald.logs import log_event
from toucandeald.session_service import SessionService

__all__ = ['MovingCallers']

NOTICE_S = 2.3  # for the balancer's two probes a second apart


class MovingCallers:
    """Whether this proxy is cut off, and which callers it has let go."""

    def __init__(self, tables: FleetTables, service: SessionService) -> None:
        """Take the sessions to close."""
        self.cut_off = False
        self._tables = tables
        self._service = service
        self._usefulness = Usefulness()
        self._since = math.inf

    def tick(self, now: float) -> None:
        """Tell the balancer, and close idle sessions once it has noticed."""
        note_basis(self._usefulness, self._tables, now)
        cut_off = is_cut_off(self._usefulness, self._tables, now)
        if cut_off != self.cut_off:
            self.cut_off = cut_off
            self._since = now
            log_event('cut off' if cut_off else 'no longer cut off')
        if cut_off and now - self._since >= NOTICE_S:
            # Once only: a caller that comes back here has nowhere else to go.
            self._since = math.inf
            self._service.close_idle_sessions()
