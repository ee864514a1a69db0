"""The lifecycle of a request: admitted, queued, sent, confirmed, answered.

Each request gets exactly one outcome, as soon as it is known. A request is
"refused" only if it cannot have run. A write with a request key is retried
after a lost answer, because the key is committed with the writes and a second
run detects it; a write without a key is retried only if it is idempotent.
"""

import math

from toucandeal import transactions
from toucandeal.actions import Execute, WakeAt
from toucandeal.answers import (
    RETRY_AFTER_S,
    dequeue,
    enqueue,
    expected_wait_s,
    finish,
    handle_lost_answer,
    queue_of,
    refuse,
    requeue_or_refuse,
)
from toucandeal.entities import Operation, Phase, Request, TargetView
from toucandeal.evidence import raise_term, request_polls
from toucandeal.limits import free_slots
from toucandeal.outcomes import Failed, Unknown
from toucandeal.pending_answers import hold_answer
from toucandeal.queues import FairQueue, in_service_order
from toucandeal.results import DatabaseFailed, Executed, Result, TargetRefused
from toucandeal.routing import Choice, choose_target
from toucandeal.tables import Frame, Tables, record_decision

__all__ = ['admit', 'dispatch', 'execution_answered', 'expire']


LATENCY_MARGIN_SPREADS = 2  # latency spreads added to the expected latency
LATENCY_WEIGHT = 0.1  # weight of the newest sample in the moving average
RETRY_TOKENS_PER_REQUEST = 0.1  # added to the retry budget
MAX_RETRY_TOKENS = 50.0  # upper bound of the retry budget
MIN_PROBE_TIME_S = 0.02  # remaining time that a probe needs
MAX_WAIT_SHARE = 0.5  # of the remaining time, for the expected wait
SCAN_LIMIT = 64  # queued requests examined in one run
AVOID_S = 0.03  # after a target refused for lack of connections


def admit(frame: Frame, request: Request) -> None:
    """Send, queue or refuse a new request.

    Notes
    -----
    A request whose expected wait is too long for its deadline is refused
    immediately, with that wait as the smallest retry delay.
    """
    tables = frame.tables
    tables.retry_tokens = min(
        tables.retry_tokens + RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS
    )
    tables.requests[request.identity] = request
    if not queue_of(tables, request).waiting:
        choice = choose_target(frame, request)
        if isinstance(choice, Choice) and _can_meet_deadline(
            frame, request, choice
        ):
            _send(frame, request, choice)
            return
    wait_s = expected_wait_s(tables, request)
    remaining_s = request.deadline_at - frame.now
    if tables.policies.admission and wait_s > remaining_s * MAX_WAIT_SHARE:
        refuse(frame, request, 'the queue is longer than the deadline', wait_s)
        return
    enqueue(tables, request)


def _can_meet_deadline(frame: Frame, request: Request, choice: Choice) -> bool:
    view = frame.tables.views[choice.target]
    remaining_s = request.deadline_at - frame.now
    if view.in_flight == 0:
        # An idle target gets a request as a probe; without one, an outdated
        # latency estimate would never be corrected.
        return remaining_s >= MIN_PROBE_TIME_S
    return (
        remaining_s
        >= view.latency_s + LATENCY_MARGIN_SPREADS * view.latency_spread_s
    )


def dispatch(frame: Frame, group: str) -> None:
    """Send queued requests to free slots of the group's targets, in order."""
    tables = frame.tables
    for queue in (tables.writes[group], tables.reads[group]):
        if queue.waiting and _has_free_slot(tables, group):
            _dispatch_queue(frame, queue)


def _has_free_slot(tables: Tables, group: str) -> bool:
    return any(
        free_slots(tables, target) > 0 for target in tables.group_targets(group)
    )


def _dispatch_queue(frame: Frame, queue: FairQueue) -> None:
    tables = frame.tables
    for scanned, (_, identity) in enumerate(in_service_order(queue)):
        if scanned >= SCAN_LIMIT:
            return
        request = tables.requests[identity]
        choice = choose_target(frame, request)
        if isinstance(choice, Choice):
            _send_or_refuse(frame, request, choice)
            continue
        if choice.until < math.inf:
            frame.actions.append(WakeAt(choice.until))
        if request.is_write:
            # All writes need the primary, so no later one can be sent either.
            return


def _send_or_refuse(frame: Frame, request: Request, choice: Choice) -> None:
    in_time = _can_meet_deadline(frame, request, choice)
    if in_time or not frame.tables.policies.admission:
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
        # The answer waits for status polls, so they are sent in parallel.
        request_polls(tables, request.request_class.group)
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
    record_decision(
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
    """Process the result of an execution.

    Parameters
    ----------
    frame : Frame
    identity : int
        The request; ignored if it has been answered already.
    target : str
    result : Executed, TargetRefused, DatabaseFailed or Lost
    sent_at : float
        Time at which the execution was sent.
    """
    tables = frame.tables
    request = tables.requests.get(identity)
    _release_slot(frame, target, result, sent_at)
    if request is None or request.phase is not Phase.SENT:
        return
    if request.operation is Operation.EXECUTE:
        _statements_answered(frame, request, target, result)
    else:
        transactions.operation_answered(frame, request, target, result)


def _statements_answered(
    frame: Frame, request: Request, target: str, result: Result
) -> None:
    if isinstance(result, Executed):
        hold_answer(frame, request, result)
    elif isinstance(result, DatabaseFailed):
        finish(
            frame,
            request,
            Failed('the database refused the statements', result.error, target),
        )
    elif isinstance(result, TargetRefused):
        raise_term(frame, request.request_class.group, result.term)
        requeue_or_refuse(frame, request, result.reason)
    else:
        handle_lost_answer(frame, request, result)


def _release_slot(
    frame: Frame, target: str, result: Result, sent_at: float
) -> None:
    tables = frame.tables
    view = tables.views.get(target)
    if view is None:
        return
    # Lost answers are included: leaving them out would hide an overload.
    if not isinstance(result, TargetRefused):
        view = _with_latency_sample(view, frame.now - sent_at)
    busy = isinstance(result, TargetRefused) and result.reason == 'busy'
    tables.views[target] = view._replace(
        in_flight=max(view.in_flight - 1, 0),
        avoided_until=frame.now + AVOID_S if busy else view.avoided_until,
    )
    group = tables.targets[target].group
    if tables.reads[group].waiting or tables.writes[group].waiting:
        tables.dirty.add(group)


def _with_latency_sample(view: TargetView, latency_s: float) -> TargetView:
    """Return the view with a latency sample added to its moving averages."""
    error = latency_s - view.latency_s
    spread_error = abs(error) - view.latency_spread_s
    return view._replace(
        latency_s=view.latency_s + LATENCY_WEIGHT * error,
        latency_spread_s=view.latency_spread_s + LATENCY_WEIGHT * spread_error,
    )


def expire(frame: Frame) -> None:
    """Abandon the requests whose deadline has passed."""
    tables = frame.tables
    expired = [
        request
        for request in tables.requests.values()
        if frame.now >= request.deadline_at
    ]
    for request in expired:
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
