"""Runs the systems for each event and performs the resulting actions."""

import random
from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.python.failure import Failure

from toucandeal import actions, engine
from toucandeal.entities import Operation, Request
from toucandeal.evidence import poll_failed, status_received
from toucandeal.failover import fence_answered, promote_answered
from toucandeal.heartbeat_timing import heartbeat_timing
from toucandeal.outcomes import Outcome
from toucandeal.requests import execution_answered
from toucandeal.tables import Tables
from toucandeal.transactions import start_operation
from toucandeald.logs import Metrics, log_decision, log_event
from toucandeald.targets import Targets

__all__ = ['Runtime']

MIN_WAKE_DELAY_S = 0.0005


class Runtime:
    """The tables of this process and the requests awaiting an outcome."""

    def __init__(
        self,
        reactor,
        now: Callable[[], float],
        tables: Tables,
        targets: Targets,
        metrics: Metrics,
    ) -> None:
        """Initialize with the components created by the composition root."""
        self.tables = tables
        self.send_heartbeats: Callable[[], None] = lambda: None
        self._reactor = reactor
        self._now = now
        self._targets = targets
        self._metrics = metrics
        self._random = random.Random()  # noqa: S311 - not for secrets
        self._pending: dict[int, defer.Deferred] = {}
        self._wake_at: float | None = None
        self._wake_call = None
        self._handlers = {
            actions.Execute: self._execute,
            actions.Poll: self._poll,
            actions.Fence: self._fence,
            actions.Promote: self._promote,
            actions.Reply: self._reply,
            actions.ResizePool: self._resize_pool,
            actions.DropTransaction: self._drop_transaction,
            actions.SendHeartbeat: lambda _: self.send_heartbeats(),
            actions.WakeAt: self._schedule_wake,
            actions.Decision: self._record_decision,
        }

    @property
    def in_flight(self) -> int:
        """Return the number of requests without an outcome."""
        return len(self._pending)

    def process(self, event: Callable, *arguments: Any, **options: Any) -> Any:
        """Apply an event in a frame, run the systems, perform the actions."""
        frame = engine.begin_frame(self.tables, self._now(), self._random)
        returned = event(frame, *arguments, **options)
        engine.run(frame)
        self._perform_all(frame.actions)
        return returned

    def tick(self) -> None:
        """Run the time-dependent systems and perform their actions."""
        frame = engine.begin_frame(self.tables, self._now(), self._random)
        engine.tick(frame)
        self._perform_all(frame.actions)

    def submit(self, **fields: Any) -> defer.Deferred:
        """Submit a caller's request and return a Deferred of its outcome.

        Parameters
        ----------
        **fields
            Arguments of :func:`toucandeal.engine.new_request`.
        """
        outcome: defer.Deferred[Outcome] = defer.Deferred()
        self.process(self._start_request, outcome, fields)
        return outcome

    def _start_request(
        self, frame, outcome: defer.Deferred, fields: dict
    ) -> None:
        request = engine.new_request(frame, **fields)
        self._pending[request.identity] = outcome
        if request.transaction in self.tables.transactions:
            start_operation(frame, request)
        else:
            engine.request_arrived(frame, request)

    def _perform_all(self, actions_to_perform: list[actions.Action]) -> None:
        for action in actions_to_perform:
            self._handlers[type(action)](action)

    def _execute(self, action: actions.Execute) -> None:
        request: Request | None = self.tables.requests.get(action.request)
        if request is None:
            return
        answer = self._targets.execute(request, action.target, action.term)
        answer.addCallback(self._executed, request, action.target, self._now())
        answer.addErrback(_log_failure)

    def _executed(
        self, result, request: Request, target: str, sent_at: float
    ) -> None:
        self.process(
            execution_answered, request.identity, target, result, sent_at
        )
        began = request.operation is Operation.BEGIN
        if began and request.transaction not in self.tables.transactions:
            # The begin was abandoned while its reply was in transit.
            self._targets.drop_transaction(request.transaction)

    def _poll(self, action: actions.Poll) -> None:
        answer = self._targets.status(
            action.target,
            self.tables.targets[action.target].address,
            heartbeat_timing(self.tables).suspect_s,
        )
        answer.addCallbacks(
            lambda status: self.process(
                status_received, action.target, action.sent_at, status
            ),
            lambda _: self.process(poll_failed, action.target),
        )
        answer.addErrback(_log_failure)

    def _fence(self, action: actions.Fence) -> None:
        answer = self._targets.fence(
            action.target,
            self.tables.targets[action.target].address,
            action.term,
            self.tables.policies.takeover_timeout_s,
        )
        answer.addCallbacks(
            lambda reply: self.process(
                fence_answered,
                action.group,
                action.target,
                action.term,
                granted=reply[0],
                status=reply[1],
            ),
            lambda _: None,
        )
        answer.addErrback(_log_failure)

    def _promote(self, action: actions.Promote) -> None:
        answer = self._targets.promote(
            action.target,
            self.tables.targets[action.target].address,
            action.term,
            self.tables.policies.takeover_timeout_s,
        )
        answer.addErrback(lambda _: False)
        answer.addCallback(
            lambda promoted: self.process(
                promote_answered,
                action.group,
                action.target,
                action.term,
                promoted=promoted,
            )
        )
        answer.addErrback(_log_failure)

    def _reply(self, action: actions.Reply) -> None:
        waiting = self._pending.pop(action.request, None)
        self._metrics.count(f'outcome.{action.outcome.tag}')
        if waiting is not None:
            waiting.callback(action.outcome)

    def _resize_pool(self, action: actions.ResizePool) -> None:
        self._targets.resize(action.target, action.address, action.size)

    def _drop_transaction(self, action: actions.DropTransaction) -> None:
        self._targets.drop_transaction(action.transaction)

    def _record_decision(self, action: actions.Decision) -> None:
        self._metrics.count(f'decision.{action.kind}')
        log_decision(action)

    def _schedule_wake(self, action: actions.WakeAt) -> None:
        pending = self._wake_call is not None and self._wake_call.active()
        if pending and self._wake_at <= action.at:
            return
        if pending:
            self._wake_call.cancel()
        self._wake_at = action.at
        delay = max(action.at - self._now(), MIN_WAKE_DELAY_S)
        self._wake_call = self._reactor.callLater(delay, self._on_wake)

    def _on_wake(self) -> None:
        self.process(_mark_waiting_groups)


def _mark_waiting_groups(frame) -> None:
    """Mark groups with waiting or unconfirmed work for reprocessing."""
    tables = frame.tables
    tables.dirty.update(
        group
        for group in tables.groups
        if tables.reads[group].waiting
        or tables.writes[group].waiting
        or tables.confirming[group]
    )


def _log_failure(failure: Failure) -> None:
    log_event(
        'fault', error=failure.getErrorMessage(), trace=failure.getTraceback()
    )
