"""The life of a request: admitted, queued, sent, confirmed, answered.

Each request gets exactly one outcome, at the moment it is known. "Refused"
is given only where nothing can have run. A write with a request key is sent
again after a lost answer, because the key is committed with its writes and a
second run finds it; without a key it is sent again only when it is idempotent.
"""

import math

from toucandeal import transactions
from toucandeal.actions import Execute, WakeAt
from toucandeal.answers import (
    RETRY_AFTER_S,
    dequeue,
    enqueue,
    expected_wait,
    finish,
    lost,
    queue_of,
    refuse,
    try_again,
)
from toucandeal.confirming import confirm
from toucandeal.entities import Operation, Phase, Request, TargetView
from toucandeal.evidence import raise_term, want_polls
from toucandeal.limits import free_slots
from toucandeal.outcomes import Failed, Unknown
from toucandeal.queues import FairQueue, in_order
from toucandeal.results import DatabaseFailed, Ran, Result, TargetRefused
from toucandeal.routing import Choice, choose_target
from toucandeal.tables import Frame, Tables, decide

__all__ = ['admit', 'dispatch', 'execution_answered', 'expire']


SPREADS_LEFT = 2  # of the latency, that a request sent must have time for
LATENCY_WEIGHT = 0.1  # of the newest sample in the moving average
RETRY_EARNED = 0.1  # retries earned by each request
RETRY_RESERVE = 50.0  # retries that may be saved up
PROBE_LEFT_S = 0.02
ADMITTED_SHARE = 0.5  # of the time left that the queue may take
WALK_LIMIT = 64  # queued requests looked at in one run
SHUN_S = 0.03  # after a target refused for want of connections


def admit(frame: Frame, request: Request) -> None:
    """Queue a new request, or refuse it at once.

    Notes
    -----
    A request whose expected wait exceeds its deadline is refused now rather
    than at its deadline, with the time after which the queue has room.
    """
    tables = frame.tables
    tables.retry_tokens = min(tables.retry_tokens + RETRY_EARNED, RETRY_RESERVE)
    tables.requests[request.identity] = request
    if not queue_of(tables, request).waiting:
        choice = choose_target(frame, request)
        if isinstance(choice, Choice) and _fits(frame, request, choice):
            _send(frame, request, choice)
            return
    wait = expected_wait(tables, request)
    left = request.deadline_at - frame.now
    if tables.policies.admission and wait > left * ADMITTED_SHARE:
        refuse(frame, request, 'the queue is longer than the deadline', wait)
        return
    enqueue(tables, request)


def _fits(frame: Frame, request: Request, choice: Choice) -> bool:
    view = frame.tables.views[choice.target]
    left = request.deadline_at - frame.now
    if view.in_flight == 0:
        # Something has to be sent, or an old latency would never be corrected.
        return left >= PROBE_LEFT_S
    return left >= view.latency_s + SPREADS_LEFT * view.latency_spread_s


def dispatch(frame: Frame, group: str) -> None:
    """Send what the group's targets have room for, in order of service."""
    tables = frame.tables
    for lane in (tables.writes[group], tables.reads[group]):
        if lane.waiting and _has_room(tables, group):
            _dispatch_lane(frame, lane)


def _has_room(tables: Tables, group: str) -> bool:
    return any(
        free_slots(tables, target) > 0 for target in tables.group_targets(group)
    )


def _dispatch_lane(frame: Frame, lane: FairQueue) -> None:
    tables = frame.tables
    for walked, (_, identity) in enumerate(in_order(lane)):
        if walked >= WALK_LIMIT:
            return
        request = tables.requests[identity]
        choice = choose_target(frame, request)
        if isinstance(choice, Choice):
            _send_or_refuse(frame, request, choice)
            continue
        if choice.until < math.inf:
            frame.actions.append(WakeAt(choice.until))
        if request.is_write:
            # All writes need the same target, so none behind can go either.
            return


def _send_or_refuse(frame: Frame, request: Request, choice: Choice) -> None:
    fits = _fits(frame, request, choice)
    if fits or not frame.tables.policies.admission:
        dequeue(frame.tables, request, 1)
        _send(frame, request, choice)
    else:
        dequeue(frame.tables, request, 0)
        refuse(frame, request, 'too little time is left')


def _send(frame: Frame, request: Request, choice: Choice) -> None:
    tables = frame.tables
    view = tables.views[choice.target]
    tables.views[choice.target] = view._replace(in_flight=view.in_flight + 1)
    group_view = tables.group_views[request.request_class.group]
    on_primary = choice.target == group_view.primary
    term = group_view.primary_term if on_primary else 0
    tables.requests[request.identity] = request._replace(
        phase=Phase.SENT,
        target=choice.target,
        term=term,
        sent_at=frame.now,
        attempts=request.attempts + 1,
    )
    if on_primary:
        # The answer waits for evidence, so the polls leave beside it.
        want_polls(tables, request.request_class.group)
    frame.actions.append(
        Execute(
            request.identity,
            choice.target,
            request.operation,
            term,
            None,
            request.deadline_at,
        )
    )
    decide(
        frame,
        'route',
        str(request.identity),
        choice.target,
        choice.reason,
        caller=request.caller,
        request_class=request.request_class.name,
        candidates=choice.candidates,
        seen=list(request.seen),
        held=list(view.status.held),
        in_flight=view.in_flight,
        waited_ms=round((frame.now - request.arrived_at) * 1000, 3),
        attempt=request.attempts + 1,
    )


def execution_answered(
    frame: Frame,
    identity: int,
    target: str,
    result: Result,
    sent_at: float,
) -> None:
    """Take in what became of an execution.

    Parameters
    ----------
    frame : Frame
    identity : int
        The request; one that was answered meanwhile is ignored.
    target : str
    result : Ran, TargetRefused, DatabaseFailed or Lost
    sent_at : float
        When the execution was sent.
    """
    tables = frame.tables
    request = tables.requests.get(identity)
    _release(frame, target, result, sent_at)
    if request is None or request.phase is not Phase.SENT:
        return
    if request.operation is Operation.EXECUTE:
        _statements_answered(frame, request, target, result)
    else:
        transactions.operation_answered(frame, request, target, result)


def _statements_answered(
    frame: Frame, request: Request, target: str, result: Result
) -> None:
    if isinstance(result, Ran):
        confirm(frame, request, result)
    elif isinstance(result, DatabaseFailed):
        finish(
            frame,
            request,
            Failed('the database refused the statements', result.error, target),
        )
    elif isinstance(result, TargetRefused):
        raise_term(frame, request.request_class.group, result.term)
        try_again(frame, request, result.reason)
    else:
        lost(frame, request, result)


def _release(frame: Frame, target: str, result: Result, sent_at: float) -> None:
    tables = frame.tables
    view = tables.views.get(target)
    if view is None:
        return
    # Lost answers count too: leaving them out would hide an overload.
    if not isinstance(result, TargetRefused):
        view = _with_latency(view, frame.now - sent_at)
    busy = isinstance(result, TargetRefused) and result.reason == 'busy'
    tables.views[target] = view._replace(
        in_flight=max(view.in_flight - 1, 0),
        shunned_until=frame.now + SHUN_S if busy else view.shunned_until,
    )
    group = tables.targets[target].group
    if tables.reads[group].waiting or tables.writes[group].waiting:
        tables.dirty.add(group)


def _with_latency(view: TargetView, taken_s: float) -> TargetView:
    """Return the view with one more latency in its moving averages."""
    error = taken_s - view.latency_s
    spread = abs(error) - view.latency_spread_s
    return view._replace(
        latency_s=view.latency_s + LATENCY_WEIGHT * error,
        latency_spread_s=view.latency_spread_s + LATENCY_WEIGHT * spread,
    )


def expire(frame: Frame) -> None:
    """Give up the requests that can no longer meet their deadline."""
    tables = frame.tables
    hopeless = [
        request
        for request in tables.requests.values()
        if frame.now >= request.deadline_at
    ]
    for request in hopeless:
        if request.phase is Phase.QUEUED:
            dequeue(tables, request, 0)
            refuse(frame, request, 'no target before the deadline')
        elif request.phase is Phase.CONFIRMING:
            _expire_confirming(frame, request)
        elif request.operation is Operation.EXECUTE:
            _expire_sent(frame, request)
        else:
            transactions.expire_operation(frame, request)


def _expire_confirming(frame: Frame, request: Request) -> None:
    if request.is_write:
        reason = 'no confirmation before the deadline'
        outcome = Unknown(reason, RETRY_AFTER_S, request.reached)
        finish(frame, request, outcome)
    else:
        refuse(frame, request, 'no proof of freshness before the deadline')


def _expire_sent(frame: Frame, request: Request) -> None:
    sent = request._replace(may_have_run=True)
    refuse(frame, sent, 'no answer before the deadline')
