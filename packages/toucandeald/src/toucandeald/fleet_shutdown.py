"""Graceful shutdown of a proxy with open sessions.

The load balancer first gets time to route new callers elsewhere. Then each
session is closed as soon as it is between transactions. Transactions have the
first half of the time-out to end; their later statements are refused at once.
A statement that was sent to a server is answered when the server has answered,
or when the process is about to be killed.
"""

from twisted.internet import defer

from toucandeal.fleet_tables import FleetTables
from toucandeald.gossip import Gossip
from toucandeald.lending import Lending
from toucandeald.logs import log_event
from toucandeald.periodic_calls import call_every
from toucandeald.server_pools import ServerPools
from toucandeald.session_service import SessionService
from toucandeald.session_shedding import BALANCER_NOTICE_S
from toucandeald.shared_state import SharedState
from toucandeald.steady_clock import steady_seconds

__all__ = ['FleetShutdown']

# Before the process would be killed. With 0.7 s, an unanswered deregistration
# and the exit of the process left 0.1 s, which a busy machine used up.
MARGIN_S = 1.0
# Of a short time-out: answers that are due are awaited until this share of it
# is left, at most MARGIN_S.
ANSWER_MARGIN_SHARE = 1 / 6
DEREGISTER_TIMEOUT_S = 0.3  # within MARGIN_S; peers also note the silence
CHECK_INTERVAL_S = 0.05


class FleetShutdown:
    """Closes the sessions, then stops the process."""

    def __init__(
        self,
        reactor,
        tables: FleetTables,
        state: SharedState,
        gossip: Gossip,
        service: SessionService,
        lending: Lending,
        pools: ServerPools,
        timeout_s: float,
    ) -> None:
        """Initialize with the components to shut down."""
        self.lifecycle = None
        self.listening = None
        self._reactor = reactor
        self._tables = tables
        self._state = state
        self._gossip = gossip
        self._service = service
        self._lending = lending
        self._pools = pools
        self.timeout_s = timeout_s
        self._began_at = 0.0
        self._deregistering = False

    @property
    def _answer_margin_s(self) -> float:
        return min(MARGIN_S, self.timeout_s * ANSWER_MARGIN_SHARE)

    def begin(self) -> None:
        """Stop taking part in promotions and wait for the sessions to end."""
        self._began_at = steady_seconds()
        self._tables.draining = True
        self._gossip.send_heartbeats()
        log_event('draining', sessions=len(self._service.sessions))
        call_every(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        if self._deregistering:
            return
        elapsed_s = steady_seconds() - self._began_at
        if elapsed_s >= min(BALANCER_NOTICE_S, self.timeout_s / 2):
            self._close_idle()
        if elapsed_s >= self.timeout_s / 2:
            self._refuse_work()
        remaining_s = self.timeout_s - elapsed_s
        if self._has_ended(remaining_s):
            self._deregister()
        elif remaining_s <= self._answer_margin_s:
            # The next check finds that the refusals have been delivered.
            self._pools.stop()

    def _has_ended(self, remaining_s: float) -> bool:
        """Return whether no answer is due any more, or none can be awaited."""
        service = self._service
        if self._pools.stopped:
            return True
        if remaining_s <= MARGIN_S:
            return not (service.answers_due or self._lending.answers_due)
        in_use = service.connections or self._lending.count
        return service.closing_idle and not in_use

    def _close_idle(self) -> None:
        service = self._service
        if not service.closing_idle:
            service.closing_idle = True
            self.listening.stopListening()
        service.close_idle_sessions()

    def _refuse_work(self) -> None:
        if self._service.accepts_work:
            log_event('work refused', sessions=len(self._service.sessions))
            self._service.refuse_work()
            self._lending.accepts_work = False

    def _deregister(self) -> None:
        self._deregistering = True
        service = self._service
        log_event(
            'drained',
            sessions=len(service.sessions),
            answers_due=service.answers_due,
        )
        # No work may run after this proxy is deregistered.
        self._pools.stop()
        for connection in tuple(service.connections):
            connection.stop()
        deregistering = defer.ensureDeferred(self._state.deregister())
        deregistering.addTimeout(DEREGISTER_TIMEOUT_S, self._reactor)
        deregistering.addErrback(_log_not_deregistered)
        deregistering.addCallback(lambda _: self.lifecycle.drained())


def _log_not_deregistered(failure) -> None:
    log_event('deregistration failed', reason=failure.getErrorMessage())
