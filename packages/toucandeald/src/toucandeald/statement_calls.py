"""A caller's statement on its way to a server."""

import contextlib
from collections.abc import Iterator
from typing import NamedTuple

from toucandeal.caller_sessions import CallerSession, PreparedShape
from toucandeal.fleet import Route, Statement

__all__ = ['Call', 'counted']

PATIENCE_SHARE = 0.6  # of the aim, that a statement may wait for a connection


@contextlib.contextmanager
def counted(counts: dict[str, int], name: str, applies: bool) -> Iterator[None]:
    """Count work of `name` for as long as it lasts."""
    step = 1 if applies else 0
    counts[name] = counts.get(name, 0) + step
    try:
        yield
    finally:
        counts[name] -= step


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
    def patience_s(self) -> float:
        """Return how long it may wait for a connection."""
        return self.route.aim_s * PATIENCE_SHARE
