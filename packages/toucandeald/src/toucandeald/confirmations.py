"""Holds the answers to writes until a replica has them.

Evidence comes from the ordinary answers of the replicas, and where none comes
soon, from one replica that is asked for its report on behalf of all writes
that wait.
"""

from collections.abc import Callable

from toucandeal.fleet import Server
from toucandeal.fleet_tables import (
    FleetTables,
    group_state,
    has_confirmed,
    server_load,
)
from toucandeal.positions import LogPosition
from toucandeal.promotion import replicas_of
from toucandeald.logs import log_event
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['Confirmations']

CHECK_S = 0.005
ASK_AFTER_S = 0.005  # evidence from ordinary answers is free until then
ASK_AGAIN_S = 0.03


class Confirmations:
    """The writes that wait, by group."""

    def __init__(self, clock, tables: FleetTables) -> None:
        """Take the tables; `ask` is set by the composition root."""
        self.ask: Callable[[Server], None] = _ignore
        self._clock = clock
        self._tables = tables
        self._asked_at: dict[str, float] = {}
        self._turns: dict[str, int] = {}

    async def wait(
        self,
        group: str,
        primary: str,
        position: LogPosition,
        deadline_at: float,
        is_current: Callable[[], bool],
    ) -> bool:
        """Return whether a replica has `position` before the deadline."""
        began_at = steady_seconds()
        while not has_confirmed(self._tables, group, primary, position):
            now = steady_seconds()
            if now >= deadline_at or not is_current():
                return False
            waited_s = now - began_at
            if waited_s >= ASK_AFTER_S:
                retried = waited_s >= ASK_AFTER_S + ASK_AGAIN_S
                self._ask_for_evidence(group, now, retried=retried)
            await pause(self._clock, CHECK_S)
        return True

    def _ask_for_evidence(
        self, group: str, now: float, *, retried: bool
    ) -> None:
        if now - self._asked_at.get(group, 0) < ASK_AGAIN_S:
            return
        record = group_state(self._tables, group).record
        replicas = replicas_of(self._tables, record)
        if not replicas:
            return
        self._asked_at[group] = now
        # The one that was ahead last time is likely to be ahead again; where
        # it is not, the others are asked in turn.
        replicas.sort(key=self._likely_ahead, reverse=True)
        turn = self._turns.get(group, 0) if retried else 0
        self._turns[group] = turn + 1
        self.ask(replicas[turn % len(replicas)])

    def _likely_ahead(self, replica: Server):
        load = server_load(self._tables, replica.name)
        return (
            load.unreachable_since is None,
            load.received,
            -load.latency_s,
        )


def _ignore(server: Server) -> None:
    log_event('report not wanted', server=server.name)
