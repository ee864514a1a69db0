"""The connections that a pool holds, and the workspaces they belong to."""

import collections
from collections.abc import Iterable
from typing import Any

from toucandeal.caller_sessions import PreparedShape, setup_steps
from toucandeal.connection_workspaces import (
    ConnectionWorkspace,
    RequestedWorkspace,
    serves,
    workspace_if_opened,
)
from toucandeal.workspace_connections import (
    IdleConnection,
    OpeningCost,
    choose_idle_to_close,
    is_opening_useful,
)

__all__ = ['HeldConnections']

INITIAL_USE_TIME_S = 0.03  # assumed until a connection has been released
INITIAL_OPEN_TIME_S = 0.015  # assumed until a connection has been opened
OBSERVATION_WEIGHT = 0.1  # of a new observation in the moving averages


class HeldConnections:
    """Connections that are idle, in use or being opened.

    `workspaces` maps each open connection to its workspace, `idle` the idle
    ones to the start of their idle time, and `opening` counts those being
    opened. The mean times are moving averages.
    """

    def __init__(self, clock) -> None:
        """Start without connections."""
        self.workspaces: dict[Any, ConnectionWorkspace] = {}
        self.idle: dict[Any, float] = {}
        self.opening: collections.Counter[RequestedWorkspace] = (
            collections.Counter()
        )
        self.mean_use_time_s = INITIAL_USE_TIME_S
        self.mean_open_time_s = INITIAL_OPEN_TIME_S
        self._acquired_at: dict[Any, float] = {}
        self._clock = clock

    @property
    def size(self) -> int:
        """Return the number of connections, including those being opened."""
        return len(self.workspaces) + self.opening.total()

    @property
    def acquired(self) -> int:
        """Return the number of connections in use."""
        return len(self._acquired_at)

    @property
    def counts(self) -> collections.Counter[ConnectionWorkspace]:
        """Return the number of connections by workspace."""
        opening = collections.Counter(
            {
                workspace_if_opened(requested, borrowed=True): count
                for requested, count in self.opening.items()
            }
        )
        return collections.Counter(self.workspaces.values()) + opening

    @property
    def opening_cost(self) -> OpeningCost:
        """Return the mean times for opening and using a connection."""
        return OpeningCost(self.mean_open_time_s, self.mean_use_time_s)

    def remove(self, connection) -> None:
        """Remove a connection that is closed or returned."""
        self.workspaces.pop(connection, None)
        self.idle.pop(connection, None)
        self._acquired_at.pop(connection, None)

    def take_idle(
        self,
        workspace: RequestedWorkspace,
        values: dict[str, str],
        shapes: Iterable[PreparedShape],
    ) -> Any:
        """Take the idle connection that needs the fewest setup steps, if any.

        Connections that serve other workspaces only are not considered.
        """
        self.idle = {
            connection: since
            for connection, since in self.idle.items()
            if connection.usable
        }
        candidates = [
            connection
            for connection in self.idle
            if serves(self.workspaces[connection], workspace)
        ]
        if not candidates:
            return None
        best = min(
            candidates,
            key=lambda connection: len(
                setup_steps(connection.connection_state, values, shapes)
            ),
        )
        del self.idle[best]
        return best

    def mark_acquired(self, connection) -> None:
        """Record that a connection is in use."""
        self._acquired_at[connection] = self._clock.seconds()

    def record_use_time(self, connection) -> None:
        """Record that the use of a connection has ended."""
        acquired_at = self._acquired_at.pop(connection, None)
        if acquired_at is not None:
            use_time_s = self._clock.seconds() - acquired_at
            self.mean_use_time_s += OBSERVATION_WEIGHT * (
                use_time_s - self.mean_use_time_s
            )

    def record_open_time(self, open_time_s: float) -> None:
        """Record how long a successful attempt to open has taken."""
        self.mean_open_time_s += OBSERVATION_WEIGHT * (
            open_time_s - self.mean_open_time_s
        )

    def is_opening_useful(
        self, workspace: RequestedWorkspace, waiting: int
    ) -> bool:
        """Return whether a new connection serves waiting statements sooner."""
        in_use = sum(
            serves(self.workspaces[connection], workspace)
            for connection in self._acquired_at
        )
        return is_opening_useful(
            waiting, self.opening[workspace], in_use, self.opening_cost
        )

    def idle_to_close(self, workspace: RequestedWorkspace) -> Any:
        """Return the idle connection to close for a workspace, or None."""
        return choose_idle_to_close(
            [
                IdleConnection(connection, self.workspaces[connection], since)
                for connection, since in self.idle.items()
            ],
            self.counts,
            workspace_if_opened(workspace, borrowed=True),
            self._clock.seconds(),
        )
