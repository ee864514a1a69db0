"""Holding of answers until their results are confirmed.

A write waits until a majority holds it. A read of the primary waits until
the primary is proven to have been current, and a read of a replica is checked
against the position at which it actually ran.
"""

import math

from toucandeal.answers import finish, handle_lost_answer, requeue_or_refuse
from toucandeal.entities import Phase, Request
from toucandeal.evidence import (
    confirmed_index,
    proven_until,
    request_polls,
    writable,
)
from toucandeal.outcomes import Served
from toucandeal.results import Executed, Lost
from toucandeal.routing import is_fresh_enough
from toucandeal.staleness import staleness_bound
from toucandeal.tables import Frame

__all__ = ['hold_answer', 'release_answers']


def hold_answer(frame: Frame, request: Request, result: Executed) -> None:
    """Hold an answer until it is confirmed, or release it if it is already."""
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
    _release_answer(frame, request)


def release_answers(frame: Frame, group: str) -> None:
    """Release the answers of a group that are confirmed now."""
    tables = frame.tables
    for identity in sorted(tables.confirming[group]):
        _release_answer(frame, tables.requests[identity])
    if tables.confirming[group]:
        request_polls(tables, group)


def _release_answer(frame: Frame, request: Request) -> None:
    """Release the answer to a request if it is confirmed."""
    if request.is_write:
        _release_write(frame, request)
    else:
        _release_read(frame, request)


def _release_write(frame: Frame, request: Request) -> None:
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
    # A later primary exists, so this run can no longer be confirmed.
    tables.confirming[group].discard(request.identity)
    handle_lost_answer(
        frame, request, Lost('the primary was superseded', sent=True)
    )


def _release_read(frame: Frame, request: Request) -> None:
    tables = frame.tables
    group = request.request_class.group
    view = tables.group_views[group]
    if request.term == 0:
        fresh = is_fresh_enough(tables, request, request.reached, frame.now)
        current_until = -math.inf
    else:
        current = request.term == view.primary_term
        current_until = proven_until(tables, group) if current else -math.inf
        freshness_s = request.request_class.freshness_s
        fresh = current_until >= min(
            request.arrived_at, frame.now - freshness_s
        )
    if fresh or tables.policies.replica_reads != 'bounded':
        _finish_read(frame, request, current_until)
    elif request.term != view.primary_term:
        tables.confirming[group].discard(request.identity)
        requeue_or_refuse(frame, request, 'the data was too old')


def _finish_read(frame: Frame, request: Request, current_until: float) -> None:
    history = frame.tables.group_views[request.request_class.group].history
    bound = (
        staleness_bound(history, request.reached, frame.now)
        if request.term == 0
        else frame.now - min(current_until, request.sent_at)
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
