"""Runs the systems for each input and performs the actions they return."""

import random
from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.python.failure import Failure

from toucandeal import actions, engine
from toucandeal.entities import Operation, Request
from toucandeal.evidence import status_answered, status_failed
from toucandeal.failover import fence_answered, promote_answered
from toucandeal.outcomes import Outcome
from toucandeal.pacing import pace
from toucandeal.requests import execution_answered
from toucandeal.tables import Tables
from toucandeal.transactions import start_operation
from toucandeald.logs import Metrics, log_decision, log_event
from toucandeald.targets import Targets

__all__ = ['Runtime']

MIN_WAKE_S = 0.0005


class Runtime:
    """The tables of this process and the callers that wait for outcomes."""

    def __init__(
        self,
        reactor,
        now: Callable[[], float],
        tables: Tables,
        targets: Targets,
        metrics: Metrics,
    ) -> None:
        """Take the parts that the composition root made."""
        self.tables = tables
        self.tell_peers: Callable[[], None] = lambda: None
        self._reactor = reactor
        self._now = now
        self._targets = targets
        self._metrics = metrics
        self._random = random.Random()  # noqa: S311 - not for secrets
        self._waiting: dict[int, defer.Deferred] = {}
        self._wake_at: float | None = None
        self._wake = None
        self._perform = {
            actions.Execute: self._execute,
            actions.Poll: self._poll,
            actions.Fence: self._fence,
            actions.Promote: self._promote,
            actions.Reply: self._reply,
            actions.ResizePool: self._resize,
            actions.DropTransaction: self._drop,
            actions.TellPeers: lambda _: self.tell_peers(),
            actions.WakeAt: self._wake_later,
            actions.Decision: self._decision,
        }

    @property
    def in_flight(self) -> int:
        """Return the number of requests without an outcome."""
        return len(self._waiting)

    def enter(self, event: Callable, *arguments: Any, **options: Any) -> Any:
        """Take in one input, run the systems, and perform the actions."""
        frame = engine.begin_frame(self.tables, self._now(), self._random)
        returned = event(frame, *arguments, **options)
        engine.run(frame)
        self._perform_all(frame.actions)
        return returned

    def tick(self) -> None:
        """Run the systems that depend on time."""
        frame = engine.begin_frame(self.tables, self._now(), self._random)
        engine.tick(frame)
        self._perform_all(frame.actions)

    def submit(self, **fields: Any) -> defer.Deferred:
        """Take in a caller's request and return a Deferred of its outcome.

        Parameters
        ----------
        **fields
            Of :func:`toucandeal.engine.new_request`.
        """
        outcome: defer.Deferred[Outcome] = defer.Deferred()
        self.enter(self._submit, outcome, fields)
        return outcome

    def _submit(self, frame, outcome: defer.Deferred, fields: dict) -> None:
        request = engine.new_request(frame, **fields)
        self._waiting[request.identity] = outcome
        if request.transaction in self.tables.transactions:
            start_operation(frame, request)
        else:
            engine.request_arrived(frame, request)

    def _perform_all(self, performed: list[actions.Action]) -> None:
        for action in performed:
            self._perform[type(action)](action)

    def _execute(self, action: actions.Execute) -> None:
        request: Request | None = self.tables.requests.get(action.request)
        if request is None:
            return
        answer = self._targets.execute(request, action.target, action.term)
        answer.addCallback(self._executed, request, action.target, self._now())
        answer.addErrback(_report)

    def _executed(
        self, result, request: Request, target: str, sent_at: float
    ) -> None:
        self.enter(
            execution_answered, request.identity, target, result, sent_at
        )
        began = request.operation is Operation.BEGIN
        if began and request.transaction not in self.tables.transactions:
            # The begin was given up while its answer was on its way.
            self._targets.drop_transaction(request.transaction)

    def _poll(self, action: actions.Poll) -> None:
        answer = self._targets.status(
            action.target,
            self.tables.targets[action.target].address,
            pace(self.tables).suspect_s,
        )
        answer.addCallbacks(
            lambda status: self.enter(
                status_answered, action.target, action.sent_at, status
            ),
            lambda _: self.enter(status_failed, action.target),
        )
        answer.addErrback(_report)

    def _fence(self, action: actions.Fence) -> None:
        answer = self._targets.fence(
            action.target,
            self.tables.targets[action.target].address,
            action.term,
            self.tables.policies.takeover_timeout_s,
        )
        answer.addCallbacks(
            lambda reply: self.enter(
                fence_answered,
                action.group,
                action.target,
                action.term,
                granted=reply[0],
                status=reply[1],
            ),
            lambda _: None,
        )
        answer.addErrback(_report)

    def _promote(self, action: actions.Promote) -> None:
        answer = self._targets.promote(
            action.target,
            self.tables.targets[action.target].address,
            action.term,
            self.tables.policies.takeover_timeout_s,
        )
        answer.addErrback(lambda _: False)
        answer.addCallback(
            lambda promoted: self.enter(
                promote_answered,
                action.group,
                action.target,
                action.term,
                promoted=promoted,
            )
        )
        answer.addErrback(_report)

    def _reply(self, action: actions.Reply) -> None:
        waiting = self._waiting.pop(action.request, None)
        self._metrics.count(f'outcome.{action.outcome.tag}')
        if waiting is not None:
            waiting.callback(action.outcome)

    def _resize(self, action: actions.ResizePool) -> None:
        self._targets.resize(action.target, action.address, action.size)

    def _drop(self, action: actions.DropTransaction) -> None:
        self._targets.drop_transaction(action.transaction)

    def _decision(self, action: actions.Decision) -> None:
        self._metrics.count(f'decision.{action.kind}')
        log_decision(action)

    def _wake_later(self, action: actions.WakeAt) -> None:
        pending = self._wake is not None and self._wake.active()
        if pending and self._wake_at <= action.at:
            return
        if pending:
            self._wake.cancel()
        self._wake_at = action.at
        delay = max(action.at - self._now(), MIN_WAKE_S)
        self._wake = self._reactor.callLater(delay, self._woken)

    def _woken(self) -> None:
        self.enter(_touch_waiting)


def _touch_waiting(frame) -> None:
    """Mark the groups that have something to look at again."""
    tables = frame.tables
    tables.dirty.update(
        group
        for group in tables.groups
        if tables.reads[group].waiting
        or tables.writes[group].waiting
        or tables.confirming[group]
    )


def _report(failure: Failure) -> None:
    log_event(
        'fault', error=failure.getErrorMessage(), trace=failure.getTraceback()
    )
