"""Servers of the model: slots, a queue, connections, and a log."""

import random
from collections import deque
from collections.abc import Callable

from twisted.internet import defer

from toucandeal.caller_sessions import LaidState
from toucandeal.fleet import Server, Verb
from toucandeal.positions import LogPosition
from toucandeal.promotion import Reported
from toucandeal_standins.load_model.patterns import Deployment
from toucandeald.session_messages import (
    AnswerKind,
    BeginTransaction,
    Forward,
    LinkRequest,
    ReportStatus,
    RollBack,
    ServerAnswer,
    lost,
)
from toucandeald.steady_clock import pause

__all__ = ['ModelGroup', 'ModelLink', 'ModelServer', 'new_group']

REPORT_S = 0.0005  # work of a server that reports its position
REPLICATION_SPREAD = 0.6  # sigma of the lognormal lag
MS = 1000


class ModelGroup:
    """A group's log; replicas receive and apply it after a lag."""

    def __init__(self, name: str) -> None:
        """Start in the first term with an empty log."""
        self.name = name
        self.servers: list[ModelServer] = []
        self.primary: ModelServer | None = None
        self.term = 1
        self.index = 0
        self.replicates = True

    @property
    def position(self) -> LogPosition:
        """Return the primary's position."""
        return LogPosition(self.term, self.index)

    def promote(self, server: 'ModelServer') -> None:
        """Let a server lead the next term."""
        self.primary = server
        self.term += 1
        self.index = server.applied.index
        server.applied = self.position

    def commit(self) -> None:
        """Append a write; the replicas get it after their lags."""
        self.index += 1
        self.primary.applied = self.position
        if self.replicates:
            self.catch_up()

    def catch_up(self) -> None:
        """Let the replicas receive what the primary has."""
        for server in self.servers:
            if server is not self.primary:
                server.receive_later(self.position)


class ModelServer:
    """Runs work in its slots, first come first served."""

    def __init__(
        self,
        clock,
        generator: random.Random,
        described: Server,
        deployment: Deployment,
        group: ModelGroup,
    ) -> None:
        """Take the clock, the luck and the sizes."""
        self.described = described
        self.slots = deployment.slots
        self.slowness = 1.0
        self.dark = False
        self.connections = 0
        self.applied = LogPosition(1, 0)
        self.busy_seconds = 0.0
        self.clock = clock
        self.group = group
        self.deployment = deployment
        self._generator = generator
        self._busy = 0
        self._queue: deque[tuple[float, defer.Deferred]] = deque()

    @property
    def leads(self) -> bool:
        """Return whether it is the group's primary."""
        return self.group.primary is self

    def receive_later(self, position: LogPosition) -> None:
        """Receive and apply a commit after the replication's lag."""
        spread = self._generator.lognormvariate(0, REPLICATION_SPREAD)
        lag_s = self.deployment.replication_ms / MS * spread
        self.clock.callLater(lag_s, self._receive, position)

    def _receive(self, position: LogPosition) -> None:
        if position.term == self.group.term:
            self.applied = max(self.applied, position)

    def occupy(self, seconds: float) -> defer.Deferred | None:
        """Return when work of that length begins, or None if it is shed.

        The Deferred fires at the beginning with the length as it will be.
        """
        if self._busy >= self.slots:
            if len(self._queue) >= self.deployment.server_queue:
                return None
            begins: defer.Deferred = defer.Deferred()
            self._queue.append((seconds, begins))
            return begins
        return defer.succeed(self._begin(seconds))

    def _begin(self, seconds: float) -> float:
        self._busy += 1
        length_s = seconds * self.slowness
        self.busy_seconds += length_s
        self.clock.callLater(length_s, self._end)
        return length_s

    def _end(self) -> None:
        self._busy -= 1
        while self._queue and self._busy < self.slots:
            seconds, begins = self._queue.popleft()
            begins.callback(self._begin(seconds))

    async def open(self, delay_s: float, work_s: Callable[[str], float]):
        """Return a connection, or the answer that refuses it."""
        if self.connections >= self.deployment.connections:
            return ServerAnswer(
                AnswerKind.TOO_MANY_CONNECTIONS, [], '', 'too many connections'
            )
        self.connections += 1
        begins = self.occupy(self.deployment.handshake_ms / MS)
        if begins is None:
            self.connections -= 1
            return ServerAnswer(AnswerKind.NOT_RUN, [], '', 'its queue is full')
        await pause(self.clock, await begins)
        return ModelLink(self, delay_s, work_s)


class ModelLink:
    """A proxy's connection to a server, one request at a time."""

    borrowed = False

    def __init__(
        self,
        server: ModelServer,
        delay_s: float,
        work_s: Callable[[str], float],
    ) -> None:
        """Take the one-way delay, and what tells a statement's work."""
        self.laid = LaidState()
        self.usable = True
        self.on_closed: Callable[[ModelLink], None] = _unheard
        self._server = server
        self._delay_s = delay_s
        self._work_s = work_s
        self._in_transaction = False
        self._wrote = False

    def call(self, request: LinkRequest, timeout_s: float) -> defer.Deferred:
        """Send a request; the Deferred fires with its answer."""
        answered: defer.Deferred = defer.Deferred()
        clock = self._server.clock

        def overdue() -> None:
            self.close()
            answered.callback(lost('no answer in time'))

        timer = clock.callLater(timeout_s, overdue)

        def answer(outcome: ServerAnswer) -> None:
            if timer.active():
                timer.cancel()
                answered.callback(outcome)

        running = defer.ensureDeferred(self._run(request))
        running.addCallback(answer)
        return answered

    def close(self, lingers_s: float = 0) -> None:
        """Close it; the server notices after `lingers_s`."""
        if self.usable:
            self.usable = False
            self._server.clock.callLater(lingers_s, self._dropped)
            self.on_closed(self)

    def _dropped(self) -> None:
        self._server.connections -= 1

    async def _run(self, request: LinkRequest) -> ServerAnswer:
        server = self._server
        await pause(server.clock, self._delay_s)
        if server.dark:
            await defer.Deferred()  # never fires: the caller's timer ends it
        outcome = await self._outcome(request)
        await pause(server.clock, self._delay_s)
        return outcome

    async def _outcome(self, request: LinkRequest) -> ServerAnswer:
        server = self._server
        work_s = self._seconds(request)
        if work_s:
            begins = server.occupy(work_s)
            if begins is None:
                return self._answer(AnswerKind.NOT_RUN, 'its queue is full')
            length_s = await begins
            refusal = self._refusal(request)
            if refusal is not None:
                return refusal
            await pause(server.clock, length_s)
        else:
            refusal = self._refusal(request)
            if refusal is not None:
                return refusal
        self._apply(request)
        answer = self._answer(AnswerKind.COMPLETED, '')
        if isinstance(request, ReportStatus):
            return answer._replace(report=self._report())
        return answer

    def _report(self) -> Reported:
        server = self._server
        held = server.applied
        return Reported(server.leads, server.group.term, held, held)

    def _seconds(self, request: LinkRequest) -> float:
        match request:
            case Forward():
                return self._work_s(request.identity)
            case ReportStatus():
                return REPORT_S
        return 0

    def _refusal(self, request: LinkRequest) -> ServerAnswer | None:
        server = self._server
        after = getattr(request, 'after', None)
        if after is not None and server.applied < after:
            return self._answer(AnswerKind.LAGGING, 'it lags')
        writes = isinstance(request, Forward) and request.statement.writes
        begins = isinstance(request, BeginTransaction)
        if not server.leads and (writes or (begins and not request.read_only)):
            return self._answer(AnswerKind.READ_ONLY, 'it is a replica')
        return None

    def _apply(self, request: LinkRequest) -> None:
        match request:
            case BeginTransaction():
                self._in_transaction = True
                self._wrote = False
            case RollBack():
                self._in_transaction = False
            case Forward(_, statement):
                self._run_statement(statement)

    def _run_statement(self, statement) -> None:
        self._wrote = self._wrote or statement.writes
        commits = statement.verb is Verb.COMMIT
        if self._wrote and (commits or not self._in_transaction):
            self._server.group.commit()
            self._wrote = False
        if commits:
            self._in_transaction = False

    def _answer(self, kind: AnswerKind, reason: str) -> ServerAnswer:
        signed = 'signed' if kind is AnswerKind.COMPLETED else ''
        return ServerAnswer(
            kind,
            [],
            signed,
            reason,
            self._in_transaction,
            self._server.applied,
        )


def _unheard(link: ModelLink) -> None:
    """Stand in until a pool has taken the connection."""


def new_group(
    clock,
    generator: random.Random,
    deployment: Deployment,
    name: str,
    first: int,
) -> ModelGroup:
    """Return a group with one server a failure domain.

    The primary is in the failure domain with the number `first`.
    """
    group = ModelGroup(name)
    domains = deployment.failure_domains
    group.servers = [
        ModelServer(
            clock,
            generator,
            Server(
                f'{name}-{domain}',
                name,
                f'{name}-{domain}:1',
                domain,
                deployment.slots,
                False,
                number == first % len(domains),
            ),
            deployment,
            group,
        )
        for number, domain in enumerate(domains)
    ]
    group.primary = group.servers[first % len(domains)]
    return group
