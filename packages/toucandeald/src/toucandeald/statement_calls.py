"""A caller's statement on its way to a server."""

from typing import NamedTuple

from toucandeal.caller_sessions import CallerSession, PreparedShape
from toucandeal.fleet import Route, Statement
from toucandeal.placement import Place
from toucandeal.statement_queue import Claim
from toucandeald.steady_clock import steady_seconds

__all__ = ['Call', 'age_ms']

MS = 1000

PATIENCE_SHARE = 0.6  # of the aim, in which a statement may be tried again


class Call(NamedTuple):
    """A statement on its way."""

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
        """Return the shapes that a connection must have for it."""
        return [] if self.prepared is None else [self.prepared]

    @property
    def deadline_at(self) -> float:
        """Return when the statement is given up."""
        return self.began_at + self.route.timeout_s

    @property
    def left_s(self) -> float:
        """Return the time until then."""
        return self.deadline_at - steady_seconds()

    @property
    def patience_s(self) -> float:
        """Return for how long it may be tried again after a refusal."""
        return self.route.aim_s * PATIENCE_SHARE

    def claim(self, latency_s: float, ends_at: float) -> Claim:
        """Return what a connection is worth to it.

        Parameters
        ----------
        latency_s : float
            From having a connection to the answer.
        ends_at : float
            When an answer is of no use any more.
        """
        return Claim(
            self.route.priority,
            self.route.database,
            self.began_at + self.route.aim_s - latency_s,
            ends_at - latency_s,
        )


def age_ms(place: Place) -> float | None:
    """Return the age of the sample that a place rests on."""
    if place.sampled_at is None:
        return None
    return round((steady_seconds() - place.sampled_at) * MS, 1)
