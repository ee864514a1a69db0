"""The queueing of requests and the giving of their outcomes.

"Refused" is given only where nothing can have run. A write with a request key
is sent again after a lost answer, because the key is committed with its
writes and a second run finds it; without a key it is sent again only when it
is idempotent. Retries after lost answers are paid from a budget, so they can
never multiply an overload.
"""

from toucandeal.actions import Reply
from toucandeal.backoff import count_refused, count_served, retry_delay
from toucandeal.entities import Phase, Request
from toucandeal.evidence import want_polls
from toucandeal.limits import proxies_sharing, slot_share
from toucandeal.outcomes import Outcome, Refused, Served, Unknown
from toucandeal.queues import FairQueue, Waiting, add, ahead_of, remove
from toucandeal.results import Lost
from toucandeal.tables import Frame, Tables, decide

__all__ = [
    'RETRY_AFTER_S',
    'dequeue',
    'enqueue',
    'expected_wait',
    'finish',
    'lost',
    'queue_of',
    'refuse',
    'try_again',
]

MAX_ATTEMPTS = 8
RETRY_AFTER_S = 0.25  # where nothing better is known


def queue_of(tables: Tables, request: Request) -> FairQueue:
    """Return the queue that a request waits in."""
    lanes = tables.writes if request.is_write else tables.reads
    return lanes[request.request_class.group]


def _waiting(tables: Tables, request: Request) -> Waiting:
    if tables.policies.fair_queue:
        weight = request.request_class.late_weight
        if request.is_late:
            # Its cost has been incurred; others can still be in time.
            weight = 0
        return Waiting(-weight, request.deadline_at, request.identity)
    return Waiting(0, 0, request.identity)


def _lane_caller(tables: Tables, request: Request) -> str:
    return request.caller if tables.policies.fair_queue else ''


def enqueue(tables: Tables, request: Request) -> None:
    """Put a request into the queue of its group."""
    tables.requests[request.identity] = request._replace(phase=Phase.QUEUED)
    add(
        queue_of(tables, request),
        _lane_caller(tables, request),
        _waiting(tables, request),
    )
    tables.dirty.add(request.request_class.group)


def dequeue(tables: Tables, request: Request, cost: float) -> None:
    """Take a request out; `cost` is 1 if it is sent and 0 if it is given up."""
    remove(
        queue_of(tables, request),
        _lane_caller(tables, request),
        _waiting(tables, request),
        cost,
    )


def _serving(
    tables: Tables, group: str, primary: str, *, is_write: bool
) -> list[str]:
    """Return the targets that the queue's requests mostly go to."""
    names = tables.groups[group].targets
    if not primary:
        return list(names)
    if is_write:
        return [primary]
    return [name for name in names if name != primary] or [primary]


def expected_wait(tables: Tables, request: Request) -> float:
    """Return the expected time until the request is answered, in seconds."""
    group = request.request_class.group
    view = tables.group_views[group]
    names = _serving(tables, group, view.primary, is_write=request.is_write)
    proxies = proxies_sharing(tables, group)
    rate = sum(
        slot_share(tables.targets[name].slots, proxies)
        / tables.views[name].latency_s
        for name in names
    )
    ahead = ahead_of(
        queue_of(tables, request),
        _lane_caller(tables, request),
        _waiting(tables, request),
    )
    service = min(tables.views[name].latency_s for name in names)
    return ahead / rate + service


def finish(frame: Frame, request: Request, outcome: Outcome) -> None:
    """Answer a request and forget it."""
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
    decide(
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
    frame: Frame, request: Request, reason: str, retry_after: float = 0
) -> None:
    """Give up a request: "not run" where that is certain, else "unknown"."""
    backoffs = frame.tables.backoffs
    group = request.request_class.group
    backoffs[group] = count_refused(backoffs[group])
    wait = max(retry_after, retry_delay(backoffs[group], frame.random))
    if request.may_have_run:
        finish(frame, request, Unknown(reason, wait))
    else:
        finish(frame, request, Refused(reason, wait))


def try_again(frame: Frame, request: Request, reason: str) -> None:
    """Queue a request of which nothing counts as run, or give it up."""
    if frame.now >= request.deadline_at:
        refuse(frame, request, reason)
        return
    want_polls(frame.tables, request.request_class.group)
    enqueue(frame.tables, request)


def lost(frame: Frame, request: Request, result: Lost) -> None:
    """Repeat a request after a lost answer where that is safe."""
    tables = frame.tables
    if not result.sent:
        try_again(frame, request, result.reason)
        return
    request = request._replace(may_have_run=True)
    repeatable = (
        not request.is_write
        or request.key is not None
        or request.request_class.idempotent
    )
    in_budget = tables.retry_tokens >= 1 and request.attempts < MAX_ATTEMPTS
    if not repeatable or not in_budget:
        refuse(frame, request, result.reason)
        return
    tables.retry_tokens -= 1
    try_again(frame, request, result.reason)
