"""Limits of the wait for connections, and retry delays of refused callers."""

import random

from toucandeal.backoff import (
    adapt,
    count_refused,
    count_served,
    retry_delay,
)
from toucandeal.fleet import Server
from toucandeal.fleet_tables import FleetTables, group_state, server_load
from toucandeal.statement_queue import ConnectionRequest
from toucandeald.session_messages import CallerReply
from toucandeald.statement_calls import StatementCall
from toucandeald.steady_clock import steady_seconds

__all__ = ['RefusalBackoff']

TARGET_REFUSAL_RATIO = 0.25  # refusals per served statement; above, delays grow


class RefusalBackoff:
    """Retry delays of refusals, adapted for each group in its state."""

    def __init__(self, tables: FleetTables, generator: random.Random) -> None:
        """Initialize with the generator that randomizes the retry delays."""
        self._tables = tables
        self._generator = generator

    def with_retry_delay(
        self, call: StatementCall, reply: CallerReply
    ) -> CallerReply:
        """Set the retry delay of a refusal for lack of capacity.

        Refusals for other reasons, as during a promotion, have a delay already.
        """
        group = group_state(self._tables, call.route.group)
        group.backoff = adapt(
            group.backoff, steady_seconds(), TARGET_REFUSAL_RATIO
        )
        if not reply.busy:
            group.backoff = count_served(group.backoff)
            return reply
        group.backoff = count_refused(group.backoff)
        delay_s = retry_delay(group.backoff, self._generator)
        return reply._replace(retry_after_s=delay_s)

    def connection_request(
        self, call: StatementCall, server: Server, timeout_s: float
    ) -> ConnectionRequest:
        """Return a connection request that leaves time for the answer."""
        latency_s = server_load(self._tables, server.name).latency_s
        ends_at = min(call.deadline_at, steady_seconds() + timeout_s)
        return call.connection_request(latency_s, ends_at)
