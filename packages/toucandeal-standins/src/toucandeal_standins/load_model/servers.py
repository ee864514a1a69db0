"""Simulated servers with slots, queues, connections and a replicated log."""

import random
from collections import deque
from collections.abc import Callable

from twisted.internet import defer

from toucandeal.caller_sessions import ConnectionState
from toucandeal.fleet import Server, Verb
from toucandeal.positions import LogPosition
from toucandeal.promotion import ServerReport
from toucandeal_standins.load_model.patterns import Deployment
from toucandeald.session_messages import (
    AnswerKind,
    BeginTransaction,
    Forward,
    ReportStatus,
    RollBack,
    ServerAnswer,
    ServerRequest,
    lost,
)
from toucandeald.steady_clock import pause

__all__ = ['ModelConnection', 'ModelGroup', 'ModelServer', 'new_group']

REPORT_WORK_S = 0.0005  # service time of a position report
REPLICATION_SPREAD = 0.6  # sigma of the lognormal replication lag
MS_PER_S = 1000


class ModelGroup:
    """A group's log; replicas apply its entries after a lag."""

    def __init__(self, name: str) -> None:
        """Create a group in its first term, with an empty log."""
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
        """Make a server the primary of the next term."""
        self.primary = server
        self.term += 1
        self.index = server.applied.index
        server.applied = self.position

    def commit(self) -> None:
        """Append a write; each replica applies it after its lag."""
        self.index += 1
        self.primary.applied = self.position
        if self.replicates:
            self.catch_up()

    def catch_up(self) -> None:
        """Replicate the log up to the primary's position."""
        for server in self.servers:
            if server is not self.primary:
                server.receive_later(self.position)


class ModelServer:
    """A server that runs requests in its slots, first come first served."""

    def __init__(
        self,
        clock,
        generator: random.Random,
        server_record: Server,
        deployment: Deployment,
        group: ModelGroup,
    ) -> None:
        """Store the clock, the random generator and the limits."""
        self.server_record = server_record
        self.slots = deployment.slots
        self.slowdown = 1.0
        self.unresponsive = False
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
    def is_primary(self) -> bool:
        """Return whether the server is the group's primary."""
        return self.group.primary is self

    def receive_later(self, position: LogPosition) -> None:
        """Apply the log up to a position after a random replication lag."""
        spread = self._generator.lognormvariate(0, REPLICATION_SPREAD)
        lag_s = self.deployment.replication_ms / MS_PER_S * spread
        self.clock.callLater(lag_s, self._receive, position)

    def _receive(self, position: LogPosition) -> None:
        if position.term == self.group.term:
            self.applied = max(self.applied, position)

    def start_work(self, seconds: float) -> defer.Deferred | None:
        """Start or queue work; return None if the queue is full.

        The Deferred fires when the work starts, with its duration in seconds
        including the slowdown.
        """
        if self._busy >= self.slots:
            if len(self._queue) >= self.deployment.server_queue:
                return None
            started: defer.Deferred = defer.Deferred()
            self._queue.append((seconds, started))
            return started
        return defer.succeed(self._start(seconds))

    def _start(self, seconds: float) -> float:
        self._busy += 1
        duration_s = seconds * self.slowdown
        self.busy_seconds += duration_s
        self.clock.callLater(duration_s, self._finish)
        return duration_s

    def _finish(self) -> None:
        self._busy -= 1
        while self._queue and self._busy < self.slots:
            seconds, started = self._queue.popleft()
            started.callback(self._start(seconds))

    async def open(self, delay_s: float, work_s: Callable[[str], float]):
        """Return a connection, or an answer with the reason for its refusal."""
        if self.connections >= self.deployment.connections:
            return ServerAnswer(
                AnswerKind.TOO_MANY_CONNECTIONS, [], '', 'too many connections'
            )
        self.connections += 1
        started = self.start_work(self.deployment.handshake_ms / MS_PER_S)
        if started is None:
            self.connections -= 1
            return ServerAnswer(AnswerKind.NOT_RUN, [], '', 'its queue is full')
        await pause(self.clock, await started)
        return ModelConnection(self, delay_s, work_s)


class ModelConnection:
    """A proxy's connection to a server, one request at a time."""

    borrowed = False

    def __init__(
        self,
        server: ModelServer,
        delay_s: float,
        work_s: Callable[[str], float],
    ) -> None:
        """Store the one-way delay and the lookup of service times."""
        self.connection_state = ConnectionState()
        self.usable = True
        self.on_closed: Callable[[ModelConnection], None] = _ignore_closed
        self._server = server
        self._delay_s = delay_s
        self._work_s = work_s
        self.in_transaction = False
        self._wrote = False

    def call(self, request: ServerRequest, timeout_s: float) -> defer.Deferred:
        """Send a request; the Deferred fires with its answer."""
        answered: defer.Deferred = defer.Deferred()
        clock = self._server.clock

        def time_out() -> None:
            self.close()
            answered.callback(lost('no answer in time'))

        timer = clock.callLater(timeout_s, time_out)

        def answer(outcome: ServerAnswer) -> None:
            if timer.active():
                timer.cancel()
                answered.callback(outcome)

        running = defer.ensureDeferred(self._run(request))
        running.addCallback(answer)
        return answered

    def close(self, linger_s: float = 0) -> None:
        """Close the connection; the server detects it after `linger_s`."""
        if self.usable:
            self.usable = False
            self._server.clock.callLater(linger_s, self._release_connection)
            self.on_closed(self)

    def _release_connection(self) -> None:
        self._server.connections -= 1

    async def _run(self, request: ServerRequest) -> ServerAnswer:
        server = self._server
        await pause(server.clock, self._delay_s)
        if server.unresponsive:
            # Never fires; the timer in `call` ends the request.
            await defer.Deferred()
        outcome = await self._outcome(request)
        await pause(server.clock, self._delay_s)
        return outcome

    async def _outcome(self, request: ServerRequest) -> ServerAnswer:
        server = self._server
        work_s = self._request_work_s(request)
        if work_s:
            started = server.start_work(work_s)
            if started is None:
                return self._answer(AnswerKind.NOT_RUN, 'its queue is full')
            duration_s = await started
            refusal = self._refusal(request)
            if refusal is not None:
                return refusal
            await pause(server.clock, duration_s)
        else:
            refusal = self._refusal(request)
            if refusal is not None:
                return refusal
        self._apply(request)
        answer = self._answer(AnswerKind.COMPLETED, '')
        if isinstance(request, ReportStatus):
            return answer._replace(report=self._report())
        return answer

    def _report(self) -> ServerReport:
        server = self._server
        return ServerReport(
            server.is_primary, server.group.term, server.applied
        )

    def _request_work_s(self, request: ServerRequest) -> float:
        match request:
            case Forward():
                return self._work_s(request.identity)
            case ReportStatus():
                return REPORT_WORK_S
        return 0

    def _refusal(self, request: ServerRequest) -> ServerAnswer | None:
        server = self._server
        after = getattr(request, 'after', None)
        if after is not None and server.applied < after:
            return self._answer(AnswerKind.LAGGING, 'it lags')
        writes = isinstance(request, Forward) and request.statement.writes
        begins_transaction = isinstance(request, BeginTransaction)
        if not server.is_primary and (
            writes or (begins_transaction and not request.read_only)
        ):
            return self._answer(AnswerKind.READ_ONLY, 'it is a replica')
        return None

    def _apply(self, request: ServerRequest) -> None:
        match request:
            case BeginTransaction():
                self.in_transaction = True
                self._wrote = False
            case RollBack():
                self.in_transaction = False
            case Forward(_, statement):
                self._run_statement(statement)

    def _run_statement(self, statement) -> None:
        self._wrote = self._wrote or statement.writes
        commits = statement.verb is Verb.COMMIT
        if self._wrote and (commits or not self.in_transaction):
            self._server.group.commit()
            self._wrote = False
        if commits:
            self.in_transaction = False

    def _answer(self, kind: AnswerKind, reason: str) -> ServerAnswer:
        signed = 'signed' if kind is AnswerKind.COMPLETED else ''
        return ServerAnswer(
            kind,
            [],
            signed,
            reason,
            self.in_transaction,
            self._server.applied,
        )


def _ignore_closed(connection: ModelConnection) -> None:
    """Serve as `on_closed` until a pool sets its own callback."""


def new_group(
    clock,
    generator: random.Random,
    deployment: Deployment,
    name: str,
    first: int,
) -> ModelGroup:
    """Create a group with one server per failure domain.

    The primary is in failure domain number `first`, modulo their count.
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
