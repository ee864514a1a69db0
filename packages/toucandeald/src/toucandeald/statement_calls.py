"""A caller's statement while it is forwarded to a server."""

from typing import NamedTuple

from toucandeal.caller_sessions import CallerSession, PreparedShape
from toucandeal.fleet import Route, Statement
from toucandeal.placement import Placement
from toucandeal.statement_queue import ConnectionRequest
from toucandeald.steady_clock import steady_seconds

__all__ = ['StatementCall', 'age_ms']

MS = 1000

RETRY_WINDOW_SHARE = 0.6  # of the latency objective, in which retries start


class StatementCall(NamedTuple):
    """A statement that is being forwarded, with its route."""

    session: CallerSession
    identity: str
    statement: Statement
    prepared: PreparedShape | None
    route: Route
    began_at: float

    @property
    def writes(self) -> bool:
        """Return whether the statement may change data."""
        if self.prepared is not None:
            return self.prepared.writes
        return self.statement.writes

    @property
    def shapes(self) -> list[PreparedShape]:
        """Return the shapes that must be prepared on its connection."""
        return [] if self.prepared is None else [self.prepared]

    @property
    def deadline_at(self) -> float:
        """Return when the statement times out."""
        return self.began_at + self.route.timeout_s

    @property
    def remaining_s(self) -> float:
        """Return the time until the statement times out."""
        return self.deadline_at - steady_seconds()

    @property
    def retry_window_s(self) -> float:
        """Return the time from its start in which it may be retried."""
        return self.route.latency_objective_s * RETRY_WINDOW_SHARE

    def connection_request(
        self, latency_s: float, ends_at: float
    ) -> ConnectionRequest:
        """Return the statement's request for a connection.

        Parameters
        ----------
        latency_s : float
            Expected time from acquiring a connection to the answer.
        ends_at : float
            Time after which an answer is useless.
        """
        return ConnectionRequest(
            self.route.priority,
            self.route.database,
            self.began_at + self.route.latency_objective_s - latency_s,
            ends_at - latency_s,
            self.session.workspace,
        )


def age_ms(placement: Placement) -> float | None:
    """Return the age of the sample that a placement is based on."""
    if placement.sampled_at is None:
        return None
    return round((steady_seconds() - placement.sampled_at) * MS, 1)
