"""The order of waiting statements, made anew from all of them for each question.

A reference for `statement_queue`, which keeps the order instead.
"""

import collections
from collections.abc import Iterator

from toucandeal.connection_workspaces import (
    ConnectionWorkspace,
    RequestedWorkspace,
    serves,
)
from toucandeal.queues import in_service_order
from toucandeal.statement_queue import (
    ConnectionRequest,
    StatementQueue,
    WaitingStatement,
)

__all__ = [
    'count_ahead',
    'first_of_workspaces',
    'next_statement',
    'next_statement_for',
    'service_order',
]


def service_order(queue: StatementQueue) -> Iterator[WaitingStatement]:
    """Yield the statements in order of service, the late ones not last."""
    for _, level in sorted(queue.by_priority.items()):
        databases = {
            name: in_service_order(fair_queue)
            for name, fair_queue in level.databases.items()
        }
        for name, _ in in_service_order(level.workspaces):
            yield queue.waiting[next(databases[name])[1]]


def next_statement(
    queue: StatementQueue, now: float
) -> WaitingStatement | None:
    """Return the most urgent statement, of any workspace."""
    return _next(list(service_order(queue)), now)


def next_statement_for(
    queue: StatementQueue, now: float, workspace: ConnectionWorkspace
) -> WaitingStatement | None:
    """Return the statement that gets a connection of a workspace."""
    ordered = [
        statement
        for statement in service_order(queue)
        if serves(workspace, statement.connection_request.workspace)
    ]
    return _next(ordered, now)


def _next(
    ordered: list[WaitingStatement], now: float
) -> WaitingStatement | None:
    in_time = [
        statement
        for statement in ordered
        if statement.connection_request.late_at > now
    ]
    return next(iter(in_time + ordered), None)


def first_of_workspaces(queue: StatementQueue) -> list[ConnectionRequest]:
    """Return the first request of each workspace, in order of service."""
    first: dict[RequestedWorkspace, ConnectionRequest] = {}
    for statement in service_order(queue):
        request = statement.connection_request
        first.setdefault(request.workspace, request)
    return list(first.values())


def count_ahead(queue: StatementQueue, request: ConnectionRequest) -> int:
    """Return how many statements are served before one that arrives now."""
    place = _place(request)
    others = [
        statement.connection_request
        for statement in queue.waiting.values()
        if _place(statement.connection_request) <= place
    ]
    urgent = sum(other.priority < request.priority for other in others)
    ahead = collections.Counter(
        other.workspace for other in others if other.priority == place[0]
    )
    own = ahead.pop(request.workspace, 0)
    return urgent + own + sum(min(count, own + 1) for count in ahead.values())


def _place(request: ConnectionRequest) -> tuple[int, float]:
    return (request.priority, request.late_at)
