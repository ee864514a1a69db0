"""Queueing of requests, retries and outcomes.

A request is "refused" only if it cannot have run. A write with a request key
is retried after a lost answer, because the key is committed with the writes
and a second run detects it; a write without a key is retried only if it is
idempotent. Retries after lost answers draw on a retry budget, so they cannot
amplify an overload.
"""

from toucandeal.actions import Reply
from toucandeal.backoff import count_refused, count_served, retry_delay
from toucandeal.entities import Phase, Request
from toucandeal.evidence import request_polls
from toucandeal.limits import proxies_sharing, slot_share
from toucandeal.outcomes import Outcome, Refused, Served, Unknown
from toucandeal.queues import FairQueue, QueueEntry, add, count_ahead, remove
from toucandeal.results import Lost
from toucandeal.tables import Frame, Tables, record_decision

__all__ = [
    'RETRY_AFTER_S',
    'dequeue',
    'enqueue',
    'expected_wait_s',
    'finish',
    'handle_lost_answer',
    'queue_of',
    'refuse',
    'requeue_or_refuse',
]

MAX_ATTEMPTS = 8
RETRY_AFTER_S = 0.25  # default without a better estimate


def queue_of(tables: Tables, request: Request) -> FairQueue:
    """Return the queue for a request: its group's reads or writes."""
    queues = tables.writes if request.is_write else tables.reads
    return queues[request.request_class.group]


def _queue_entry(tables: Tables, request: Request) -> QueueEntry:
    if tables.policies.fair_queue:
        weight = request.request_class.late_weight
        if request.is_late:
            # Its lateness cost is incurred already; others can be in time.
            weight = 0
        return QueueEntry(-weight, request.deadline_at, request.identity)
    return QueueEntry(0, 0, request.identity)


def _queue_caller(tables: Tables, request: Request) -> str:
    return request.caller if tables.policies.fair_queue else ''


def enqueue(tables: Tables, request: Request) -> None:
    """Add a request to the queue of its group."""
    tables.requests[request.identity] = request._replace(phase=Phase.QUEUED)
    add(
        queue_of(tables, request),
        _queue_caller(tables, request),
        _queue_entry(tables, request),
    )
    tables.dirty.add(request.request_class.group)


def dequeue(tables: Tables, request: Request, cost: float) -> None:
    """Remove a request; `cost` is 1 if it is sent and 0 if it is abandoned."""
    remove(
        queue_of(tables, request),
        _queue_caller(tables, request),
        _queue_entry(tables, request),
        cost,
    )


def _usual_targets(
    tables: Tables, group: str, primary: str, *, is_write: bool
) -> list[str]:
    """Return the targets that serve most requests of the queue."""
    names = tables.groups[group].targets
    if not primary:
        return list(names)
    if is_write:
        return [primary]
    return [name for name in names if name != primary] or [primary]


def expected_wait_s(tables: Tables, request: Request) -> float:
    """Return the expected time until the request is answered, in seconds."""
    group = request.request_class.group
    view = tables.group_views[group]
    names = _usual_targets(
        tables, group, view.primary, is_write=request.is_write
    )
    proxies = proxies_sharing(tables, group)
    rate_per_s = sum(
        slot_share(tables.targets[name].slots, proxies)
        / tables.views[name].latency_s
        for name in names
    )
    ahead = count_ahead(
        queue_of(tables, request),
        _queue_caller(tables, request),
        _queue_entry(tables, request),
    )
    service_s = min(tables.views[name].latency_s for name in names)
    return ahead / rate_per_s + service_s


def finish(frame: Frame, request: Request, outcome: Outcome) -> None:
    """Answer a request and remove it from the tables."""
    tables = frame.tables
    tables.requests.pop(request.identity, None)
    tables.confirming[request.request_class.group].discard(request.identity)
    frame.actions.append(Reply(request.identity, outcome))
    if isinstance(outcome, Served):
        group = request.request_class.group
        tables.backoffs[group] = count_served(tables.backoffs[group])
    else:
        _log_outcome(frame, request, outcome)


def _log_outcome(frame: Frame, request: Request, outcome: Outcome) -> None:
    record_decision(
        frame,
        'outcome',
        str(request.identity),
        outcome.tag,
        outcome.reason,
        request_class=request.request_class.name,
        key=request.key,
        target=request.target,
        attempts=request.attempts,
        elapsed_ms=round((frame.now - request.arrived_at) * 1000, 3),
    )


def refuse(
    frame: Frame, request: Request, reason: str, retry_after_s: float = 0
) -> None:
    """Abandon a request: refused if it cannot have run, else unknown."""
    backoffs = frame.tables.backoffs
    group = request.request_class.group
    backoffs[group] = count_refused(backoffs[group])
    delay_s = max(retry_after_s, retry_delay(backoffs[group], frame.random))
    if request.may_have_run:
        finish(frame, request, Unknown(reason, delay_s))
    else:
        finish(frame, request, Refused(reason, delay_s))


def requeue_or_refuse(frame: Frame, request: Request, reason: str) -> None:
    """Queue a request for another attempt, or abandon it at its deadline."""
    if frame.now >= request.deadline_at:
        refuse(frame, request, reason)
        return
    request_polls(frame.tables, request.request_class.group)
    enqueue(frame.tables, request)


def handle_lost_answer(frame: Frame, request: Request, result: Lost) -> None:
    """Retry a request after a lost answer if that is safe, else abandon it."""
    tables = frame.tables
    if not result.sent:
        requeue_or_refuse(frame, request, result.reason)
        return
    request = request._replace(may_have_run=True)
    retryable = (
        not request.is_write
        or request.key is not None
        or request.request_class.idempotent
    )
    in_budget = tables.retry_tokens >= 1 and request.attempts < MAX_ATTEMPTS
    if not retryable or not in_budget:
        refuse(frame, request, result.reason)
        return
    tables.retry_tokens -= 1
    requeue_or_refuse(frame, request, result.reason)
