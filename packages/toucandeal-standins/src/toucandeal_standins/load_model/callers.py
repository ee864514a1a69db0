"""Simulated open-loop callers."""

import itertools
import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

from toucandeal.fleet import Statement, Verb
from toucandeal_standins.load_model.patterns import Deployment, Kind
from toucandeald.session_messages import CallerReply, ReplyKind
from toucandeald.steady_clock import pause

__all__ = [
    'FAILED',
    'IN_TIME',
    'LATE',
    'REFUSED',
    'Arrival',
    'Callers',
    'Operation',
    'arrival_times',
    'is_retryable',
    'sample_operation',
]

MS_PER_S = 1000
MAX_STATEMENTS = 12
MEAN_STATEMENTS = 3
ROLLBACK_SHARE = 0.05
DEFAULT_BACKOFF_S = 0.1  # when the reply has no retry-after time
RETRY_JITTER = 0.5  # real callers do not wait exactly as long as requested
_statement_ids = itertools.count(1)

IN_TIME = 'in time'
LATE = 'late'
REFUSED = 'refused'
FAILED = 'failed'

NOT_KEPT_REPLIES = {ReplyKind.REFUSED, ReplyKind.ABORTED}


class Step(NamedTuple):
    """A statement, its service time, and the think time before it."""

    statement: Statement
    work_s: float
    pause_s: float


class Arrival(NamedTuple):
    """An operation that has not started."""

    kind: Kind
    member: int
    steps: tuple[Step, ...]


class Operation(NamedTuple):
    """The result of an operation.

    `latency_s` excludes the caller's pauses, and `failure_domain` is that of
    the proxy used last.
    """

    kind: str
    member: int
    began_at: float
    latency_s: float
    outcome: str
    attempts: int
    worth: float
    max_worth: float
    failure_domain: str = ''


def sample_operation(
    deployment: Deployment, kind: Kind, member: int, generator: random.Random
) -> Arrival:
    """Draw a random operation of a kind, with its service times."""

    def step(verb: Verb, *, pauses: bool) -> Step:
        has_work = verb in {Verb.READ, Verb.WRITE, Verb.COMMIT}
        pause_s = generator.expovariate(MS_PER_S / deployment.pause_ms)
        return Step(
            Statement(verb, verb.value, writes=verb is Verb.WRITE),
            _work_s(kind, generator) if has_work else 0,
            pause_s if pauses else 0,
        )

    def work_verb() -> Verb:
        return Verb.WRITE if generator.random() < kind.writes else Verb.READ

    if generator.random() >= kind.transactions:
        return Arrival(kind, member, (step(work_verb(), pauses=False),))
    drawn = 1 + int(generator.expovariate(1 / (MEAN_STATEMENTS - 1)))
    count = min(drawn, MAX_STATEMENTS)
    verbs = [work_verb() for _ in range(count)]
    begin = Verb.BEGIN if Verb.WRITE in verbs else Verb.BEGIN_READ
    rolls_back = generator.random() < ROLLBACK_SHARE
    end = Verb.ROLLBACK if rolls_back else Verb.COMMIT
    return Arrival(
        kind,
        member,
        tuple(
            step(verb, pauses=bool(number))
            for number, verb in enumerate([begin, *verbs, end])
        ),
    )


def _work_s(kind: Kind, generator: random.Random) -> float:
    mean_factor = kind.work_spread**2 / 2
    factor = generator.lognormvariate(-mean_factor, kind.work_spread)
    return min(kind.work_ms * factor, kind.work_max_ms) / MS_PER_S


class Callers:
    """Sends operations to proxies and records their outcomes."""

    def __init__(
        self,
        clock,
        deployment: Deployment,
        generator: random.Random,
        choose_proxy: Callable[[], object],
        retry_delay_ms: float | None = None,
    ) -> None:
        """Store the function that chooses a proxy for each attempt."""
        self.operations: list[Operation] = []
        self.work_s: dict[str, float] = {}
        self._clock = clock
        self._deployment = deployment
        self._generator = generator
        self._choose_proxy = choose_proxy
        self._retry_delay_ms = retry_delay_ms

    async def run_operation(self, arrival: Arrival, group: str) -> None:
        """Run an operation and retry it, up to its attempts and deadline."""
        kind = arrival.kind
        began_at = self._clock.seconds()
        deadline_at = began_at + kind.deadline_ms / MS_PER_S
        proxy = self._choose_proxy()
        reply, paused_s = await self._attempt(arrival, group, proxy)
        attempts = 1
        while attempts < kind.attempts and is_retryable(reply, arrival):
            wait_s = self._retry_delay_s(reply)
            if self._clock.seconds() + wait_s >= deadline_at + paused_s:
                break
            await pause(self._clock, wait_s)
            proxy = self._choose_proxy()
            reply, paused_s = await self._attempt(arrival, group, proxy)
            attempts += 1
        self._record_operation(
            arrival, began_at, paused_s, _outcome(reply), attempts, proxy
        )

    def _retry_delay_s(self, reply: CallerReply | None) -> float:
        retry_after_s = 0 if reply is None else reply.retry_after_s
        spread = 1 + RETRY_JITTER * self._generator.random()
        if self._retry_delay_ms is not None:
            return self._retry_delay_ms / MS_PER_S * spread
        return (retry_after_s or DEFAULT_BACKOFF_S) * spread

    def _record_operation(
        self,
        arrival: Arrival,
        began_at: float,
        paused_s: float,
        outcome: str,
        attempts: int,
        proxy,
    ) -> None:
        kind = arrival.kind
        latency_s = self._clock.seconds() - began_at - paused_s
        worth = 0.0
        if outcome == IN_TIME:
            if latency_s > kind.deadline_ms / MS_PER_S:
                outcome = FAILED
            elif latency_s > kind.aim_ms / MS_PER_S:
                outcome = LATE
                worth = kind.late_worth
            else:
                worth = kind.worth
        self.operations.append(
            Operation(
                kind.name,
                arrival.member,
                began_at,
                latency_s,
                outcome,
                attempts,
                worth,
                kind.worth,
                '' if proxy is None else proxy.spec.failure_domain,
            )
        )

    async def _attempt(
        self, arrival: Arrival, group: str, proxy
    ) -> tuple[CallerReply | None, float]:
        """Return the last reply of an attempt and its total pause time."""
        delay_s = self._deployment.caller_ms / MS_PER_S
        await pause(self._clock, 2 * delay_s)  # round trip to connect
        if proxy is None or not proxy.running:
            return None, 0
        session = proxy.service.open(
            _database(arrival, group), str(arrival.member)
        )
        if isinstance(session, CallerReply):
            return session, 0
        paused_s = 0.0
        reply: CallerReply | None = None
        for step in arrival.steps:
            await pause(self._clock, step.pause_s + delay_s)
            paused_s += step.pause_s
            if not proxy.running:
                return None, paused_s
            reply = await self._run_step(proxy, session, step)
            await pause(self._clock, delay_s)
            if not proxy.running:
                return None, paused_s
            if reply.kind is not ReplyKind.DONE:
                break
        proxy.service.disconnected(None, session)
        return reply, paused_s

    async def _run_step(self, proxy, session, step: Step) -> CallerReply:
        identity = str(next(_statement_ids))
        self.work_s[identity] = step.work_s
        try:
            return await proxy.service.run(session, identity, step.statement)
        finally:
            del self.work_s[identity]


def _database(arrival: Arrival, group: str) -> str:
    return f'{arrival.kind.name}-{arrival.member}-{group}'


def _outcome(reply: CallerReply | None) -> str:
    if reply is None:
        return FAILED
    outcomes = {ReplyKind.DONE: IN_TIME, ReplyKind.REFUSED: REFUSED}
    return outcomes.get(reply.kind, FAILED)


def is_retryable(reply: CallerReply | None, arrival: Arrival) -> bool:
    """Return whether a caller retries after an attempt with this reply."""
    if reply is None or reply.kind is ReplyKind.FAILED:
        return not any(step.statement.writes for step in arrival.steps)
    return reply.kind in NOT_KEPT_REPLIES


def arrival_times(
    rate_at: Callable[[float], float],
    max_rate_per_s: float,
    seconds: float,
    generator: random.Random,
) -> Iterator[float]:
    """Yield the arrival times of an inhomogeneous Poisson process."""
    now = 0.0
    while True:
        now += generator.expovariate(max_rate_per_s)
        if now >= seconds:
            return
        if generator.random() * max_rate_per_s < rate_at(now):
            yield now
