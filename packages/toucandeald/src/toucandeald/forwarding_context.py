"""Services shared by single statements and transactions."""

import contextlib
from collections.abc import Iterator
from typing import Any, NamedTuple

from toucandeal.fleet_tables import FleetTables
from toucandeal.placement import Placement
from toucandeald.answer_validation import AnswerValidation
from toucandeald.refusal_backoff import RefusalBackoff
from toucandeald.server_pools import ServerPools

__all__ = ['ForwardingContext', 'PrimaryWork']


class PrimaryWork:
    """Counts of operations in progress at each group's primary."""

    def __init__(self) -> None:
        """Start without operations."""
        self._counts: dict[str, int] = {}

    def is_under_way(self, group: str) -> bool:
        """Return whether operations are in progress at a group's primary."""
        return self._counts.get(group, 0) > 0

    @contextlib.contextmanager
    def track(self, placement: Placement) -> Iterator[None]:
        """Count an operation while it runs, if its placement is a primary."""
        group = placement.server.group
        step = 1 if placement.on_primary else 0
        self._counts[group] = self._counts.get(group, 0) + step
        try:
            yield
        finally:
            self._counts[group] -= step


class ForwardingContext(NamedTuple):
    """The services that forwarding needs."""

    clock: Any
    tables: FleetTables
    pools: ServerPools
    validation: AnswerValidation
    backoff: RefusalBackoff
    primary_work: PrimaryWork
