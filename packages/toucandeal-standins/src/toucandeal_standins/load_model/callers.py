"""Open-loop callers of the model."""

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
    'plan_operation',
]

MS = 1000
MAX_STATEMENTS = 12
MEAN_STATEMENTS = 3
ROLLBACK_SHARE = 0.05
FIRST_BACKOFF_S = 0.1  # of a caller that is not told when to come back
COME_BACK_SPREAD = 0.5  # callers do not all obey to the millisecond
_ids = itertools.count(1)

IN_TIME = 'in time'
LATE = 'late'
REFUSED = 'refused'
FAILED = 'failed'

RETRIED = {
    ReplyKind.REFUSED,
    ReplyKind.ABORTED,
    ReplyKind.FAILED,
}


class Step(NamedTuple):
    """A statement, its work at a server, and the pause before it."""

    statement: Statement
    work_s: float
    pause_s: float


class Arrival(NamedTuple):
    """An operation before it begins."""

    kind: Kind
    member: int
    steps: tuple[Step, ...]


class Operation(NamedTuple):
    """What became of an operation; `took_s` leaves its own pauses out."""

    kind: str
    member: int
    began_at: float
    took_s: float
    outcome: str
    attempts: int
    worth: float
    owed: float


def plan_operation(
    deployment: Deployment, kind: Kind, member: int, generator: random.Random
) -> Arrival:
    """Return an operation of a kind, with its work."""

    def step(verb: Verb, *, pauses: bool) -> Step:
        works = verb in {Verb.READ, Verb.WRITE, Verb.COMMIT}
        pause_s = generator.expovariate(MS / deployment.pause_ms)
        return Step(
            Statement(verb, verb.value, writes=verb is Verb.WRITE),
            _work_s(kind, generator) if works else 0,
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
    ends_badly = generator.random() < ROLLBACK_SHARE
    end = Verb.ROLLBACK if ends_badly else Verb.COMMIT
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
    return min(kind.work_ms * factor, kind.work_max_ms) / MS


class Callers:
    """Sends operations to proxies and notes what becomes of them."""

    def __init__(
        self,
        clock,
        deployment: Deployment,
        generator: random.Random,
        choose_proxy: Callable[[], object],
    ) -> None:
        """Take what chooses a proxy for each attempt."""
        self.operations: list[Operation] = []
        self.work_s: dict[str, float] = {}
        self._clock = clock
        self._deployment = deployment
        self._generator = generator
        self._choose_proxy = choose_proxy

    async def operate(self, arrival: Arrival, group: str) -> None:
        """Carry an operation out, with new attempts where they are allowed."""
        kind = arrival.kind
        began_at = self._clock.seconds()
        deadline_at = began_at + kind.deadline_ms / MS
        reply, paused_s = await self._attempt(arrival, group)
        attempts = 1
        while attempts < kind.attempts and _may_repeat(reply, arrival):
            wait_s = self._come_back_s(reply)
            if self._clock.seconds() + wait_s >= deadline_at + paused_s:
                break
            await pause(self._clock, wait_s)
            reply, paused_s = await self._attempt(arrival, group)
            attempts += 1
        self._note(arrival, began_at, paused_s, _outcome(reply), attempts)

    def _come_back_s(self, reply: CallerReply | None) -> float:
        told_s = 0 if reply is None else reply.retry_after_s
        spread = 1 + COME_BACK_SPREAD * self._generator.random()
        return (told_s or FIRST_BACKOFF_S) * spread

    def _note(
        self,
        arrival: Arrival,
        began_at: float,
        paused_s: float,
        outcome: str,
        attempts: int,
    ) -> None:
        kind = arrival.kind
        took_s = self._clock.seconds() - began_at - paused_s
        worth = 0.0
        if outcome == IN_TIME:
            if took_s > kind.deadline_ms / MS:
                outcome = FAILED
            elif took_s > kind.aim_ms / MS:
                outcome = LATE
                worth = kind.late_worth
            else:
                worth = kind.worth
        self.operations.append(
            Operation(
                kind.name,
                arrival.member,
                began_at,
                took_s,
                outcome,
                attempts,
                worth,
                kind.worth,
            )
        )

    async def _attempt(
        self, arrival: Arrival, group: str
    ) -> tuple[CallerReply | None, float]:
        """Return the last reply of an attempt, and how long it paused."""
        proxy = self._choose_proxy()
        delay_s = self._deployment.caller_ms / MS
        await pause(self._clock, 2 * delay_s)  # to connect
        if proxy is None or not proxy.running:
            return None, 0
        session = proxy.service.open(_database(arrival, group), 'model')
        if isinstance(session, CallerReply):
            return session, 0
        paused_s = 0.0
        reply: CallerReply | None = None
        for step in arrival.steps:
            await pause(self._clock, step.pause_s + delay_s)
            paused_s += step.pause_s
            if not proxy.running:
                return None, paused_s
            reply = await self._ask(proxy, session, step)
            await pause(self._clock, delay_s)
            if not proxy.running:
                return None, paused_s
            if reply.kind is not ReplyKind.DONE:
                break
        proxy.service.disconnected(None, session)
        return reply, paused_s

    async def _ask(self, proxy, session, step: Step) -> CallerReply:
        identity = str(next(_ids))
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
    ends = {ReplyKind.DONE: IN_TIME, ReplyKind.REFUSED: REFUSED}
    return ends.get(reply.kind, FAILED)


def _may_repeat(reply: CallerReply | None, arrival: Arrival) -> bool:
    """Return whether a caller tries again after this end of an attempt."""
    if reply is None:
        return not any(step.statement.writes for step in arrival.steps)
    return reply.kind in RETRIED


def arrival_times(
    rate_at: Callable[[float], float],
    most_per_s: float,
    seconds: float,
    generator: random.Random,
) -> Iterator[float]:
    """Yield the times of a Poisson process whose rate changes."""
    now = 0.0
    while True:
        now += generator.expovariate(most_per_s)
        if now >= seconds:
            return
        if generator.random() * most_per_s < rate_at(now):
            yield now
