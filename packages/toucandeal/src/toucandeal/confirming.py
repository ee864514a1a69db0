"""Answers that wait for evidence before they are given.

A write waits until a majority holds it. A read of the primary waits until
the primary is proven to have been current, and a read of a replica is checked
against the position at which it really ran.
"""

import math

from toucandeal.answers import finish, lost, try_again
from toucandeal.entities import Phase, Request
from toucandeal.evidence import (
    confirmed_index,
    proven_until,
    want_polls,
    writable,
)
from toucandeal.outcomes import Served
from toucandeal.results import Lost, Ran
from toucandeal.routing import fresh_enough
from toucandeal.staleness import staleness_bound
from toucandeal.tables import Frame

__all__ = ['confirm', 'settle', 'settle_request']


def confirm(frame: Frame, request: Request, result: Ran) -> None:
    """Hold an answer until the evidence that it needs has arrived."""
    tables = frame.tables
    request = request._replace(
        phase=Phase.CONFIRMING,
        answer=result.answer,
        reached=result.reached,
        replayed=result.replayed,
        may_have_run=True,
    )
    group = request.request_class.group
    tables.requests[request.identity] = request
    tables.confirming[group].add(request.identity)
    settle_request(frame, request)


def settle(frame: Frame, group: str) -> None:
    """Answer the requests of a group whose evidence has arrived."""
    tables = frame.tables
    for identity in sorted(tables.confirming[group]):
        settle_request(frame, tables.requests[identity])
    if tables.confirming[group]:
        want_polls(tables, group)


def settle_request(frame: Frame, request: Request) -> None:
    """Answer one request if its evidence has arrived."""
    if request.is_write:
        _settle_write(frame, request)
    else:
        _settle_read(frame, request)


def _settle_write(frame: Frame, request: Request) -> None:
    tables = frame.tables
    group = request.request_class.group
    confirmed = confirmed_index(tables, group, request.target, request.term)
    if request.reached.index <= confirmed or not tables.policies.confirm_writes:
        finish(
            frame,
            request,
            Served(
                request.answer,
                request.target,
                request.reached,
                replayed=request.replayed,
            ),
        )
        return
    view = tables.group_views[group]
    if not writable(view) or view.primary_term == request.term:
        return
    # A later primary exists, so this run will not be confirmed any more.
    tables.confirming[group].discard(request.identity)
    lost(frame, request, Lost('the primary was superseded', sent=True))


def _settle_read(frame: Frame, request: Request) -> None:
    tables = frame.tables
    group = request.request_class.group
    view = tables.group_views[group]
    if request.term == 0:
        fresh = fresh_enough(tables, request, request.reached, frame.now)
        until = -math.inf
    else:
        current = request.term == view.primary_term
        until = proven_until(tables, group) if current else -math.inf
        allowance = request.request_class.freshness_s
        fresh = until >= min(request.arrived_at, frame.now - allowance)
    if fresh or tables.policies.replica_reads != 'bounded':
        _serve_read(frame, request, until)
    elif request.term != view.primary_term:
        tables.confirming[group].discard(request.identity)
        try_again(frame, request, 'the data was too old')


def _serve_read(frame: Frame, request: Request, until: float) -> None:
    history = frame.tables.group_views[request.request_class.group].history
    bound = (
        staleness_bound(history, request.reached, frame.now)
        if request.term == 0
        else frame.now - min(until, request.sent_at)
    )
    finish(
        frame,
        request,
        Served(
            request.answer,
            request.target,
            request.reached,
            bound,
            from_replica=request.term == 0,
        ),
    )
