"""What statements and transactions are sent with."""

import contextlib
from collections.abc import Iterator
from typing import Any, NamedTuple

from toucandeal.fleet_tables import FleetTables
from toucandeal.placement import Place
from toucandeald.acknowledging import Acknowledging
from toucandeald.refusal_pace import RefusalPace
from toucandeald.server_pools import ServerPools

__all__ = ['PrimaryWork', 'Sending']


class PrimaryWork:
    """The statements under way at each group's primary."""

    def __init__(self) -> None:
        """Start without any."""
        self._counts: dict[str, int] = {}

    def is_under_way(self, group: str) -> bool:
        """Return whether a group's primary has work of this proxy."""
        return self._counts.get(group, 0) > 0

    @contextlib.contextmanager
    def at(self, place: Place) -> Iterator[None]:
        """Count work at a place, if it is a primary, while it lasts."""
        group = place.server.group
        step = 1 if place.on_primary else 0
        self._counts[group] = self._counts.get(group, 0) + step
        try:
            yield
        finally:
            self._counts[group] -= step


class Sending(NamedTuple):
    """The parts that sending needs."""

    clock: Any
    tables: FleetTables
    pools: ServerPools
    valid: Acknowledging
    pace: RefusalPace
    primary_work: PrimaryWork
