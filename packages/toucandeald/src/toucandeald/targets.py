"""The adapter to the targets: executions, status polls, terms."""

import itertools
import time
from http import HTTPStatus

import msgspec
from twisted.internet import defer
from twisted.python.failure import Failure

from toucandeal.entities import Operation, Request
from toucandeal.errors import KeyReused
from toucandeal.request_keys import (
    LOOKUP_SQL,
    SCHEMA,
    Statement,
    fingerprint,
    is_missing_table,
    is_repeated_key,
    key_statements,
    keyed_statements,
    recorded_results,
    results_of_keyed,
)
from toucandeal.results import DatabaseFailed, Lost, Ran, Result, TargetRefused
from toucandeald.http_client import HttpConnection, HttpLost, HttpReply
from toucandeald.target_pool import TargetPool
from toucandeald.target_wire import (
    ExecuteBody,
    ExecuteReply,
    FenceReply,
    PromoteReply,
    StatusReply,
    TermBody,
    encode,
)

__all__ = ['Targets']

NANOSECONDS_IN_MS = 1_000_000
_TRANSACTION_WORDS = {
    Operation.EXECUTE: 'none',
    Operation.BEGIN: 'begin',
    Operation.STATEMENT: 'continue',
    Operation.COMMIT: 'commit',
    Operation.ROLLBACK: 'rollback',
}
# A request is answered at its deadline. Its connection waits this much longer,
# because the target is still at work on it: were it closed and replaced, the
# target would be sent more than it has slots for.
OVERDUE_GRACE_S = 1.0
_OPENING = frozenset((Operation.EXECUTE, Operation.BEGIN))
_decode_execute = msgspec.json.Decoder(ExecuteReply).decode
_decode_status = msgspec.json.Decoder(StatusReply).decode


class Targets:
    """The pools of all targets, and the connections of open transactions."""

    def __init__(self, reactor, now, routes: dict[str, str]) -> None:
        """Take the reactor, the clock of the tables, and own addresses.

        `routes` names the targets that this proxy reaches at another address
        than the declared one.
        """
        self._routes = routes
        self._reactor = reactor
        self._now = now
        self._pools: dict[str, TargetPool] = {}
        self._held: dict[str, tuple[str, HttpConnection]] = {}
        self._ids = itertools.count(1)

    @property
    def control_bytes(self) -> int:
        """Return the bytes of status polls, fences and promotions so far."""
        return sum(pool.control_bytes for pool in self._pools.values())

    def resize(self, target: str, address: str, size: int) -> None:
        """Hold `size` data connections to a target."""
        address = self._routes.get(target, address)
        pool = self._pools.get(target)
        if pool is not None and pool.address != address:
            pool.close()
            pool = None
        if pool is None:
            pool = TargetPool(self._reactor, address)
            self._pools[target] = pool
        pool.resize(size)

    def pool(self, target: str, address: str) -> TargetPool:
        """Return the pool of a target, made if need be."""
        if target not in self._pools:
            own = self._routes.get(target, address)
            self._pools[target] = TargetPool(self._reactor, own)
        return self._pools[target]

    @defer.inlineCallbacks
    def status(self, target: str, address: str, timeout_s: float):
        """Return a target's status row."""
        reply = yield self.pool(target, address).control(
            'GET', '/status', b'', timeout_s
        )
        return _decode_status(reply.body).to_row()

    @defer.inlineCallbacks
    def fence(self, target: str, address: str, term: int, timeout_s: float):
        """Fence a target; return whether it was granted, and its status."""
        reply = yield self.pool(target, address).control(
            'POST', '/fence', encode(TermBody(term)), timeout_s
        )
        fenced = msgspec.json.decode(reply.body, type=FenceReply)
        return fenced.granted, fenced.to_row()

    @defer.inlineCallbacks
    def promote(self, target: str, address: str, term: int, timeout_s: float):
        """Promote a target; return whether it did."""
        reply = yield self.pool(target, address).control(
            'POST', '/promote', encode(TermBody(term)), timeout_s
        )
        return msgspec.json.decode(reply.body, type=PromoteReply).promoted

    def drop_transaction(self, transaction: str) -> None:
        """Close the connection of a transaction, which rolls it back."""
        held = self._held.pop(transaction, None)
        if held is not None:
            held[1].close()

    def execute(
        self, request: Request, target: str, term: int
    ) -> defer.Deferred:
        """Run a request at a target.

        Returns
        -------
        Deferred of Result
            It never fails.
        """
        held = self._held_connection(request)
        if held is not None:
            return self._run_on(held, request, target, term)
        if request.operation not in _OPENING:
            refused = TargetRefused('the connection was lost')
            return defer.succeed(refused)
        idle = self._pools[target].take_idle()
        if idle is not None:
            return self._run_on(idle, request, target, term)
        acquired = self._pools[target].acquire()
        return acquired.addCallbacks(
            lambda connection: self._run_on(connection, request, target, term),
            lambda _: TargetRefused('busy'),
        )

    def _held_connection(self, request: Request) -> HttpConnection | None:
        held = self._held.get(request.transaction)
        return held[1] if held is not None and held[1].usable else None

    def _run_on(
        self,
        connection: HttpConnection,
        request: Request,
        target: str,
        term: int,
    ) -> defer.Deferred:
        ran = self._run(connection, request, term)
        ran.addErrback(_to_lost, connection)
        return ran.addCallback(self._put_back, connection, request, target)

    def _put_back(
        self,
        result: Result,
        connection: HttpConnection,
        request: Request,
        target: str,
    ) -> Result:
        began = (
            request.operation is Operation.BEGIN
            and isinstance(result, Ran)
            and not result.replayed
        )
        continues = request.operation is Operation.STATEMENT
        if began:
            self._held[request.transaction] = (target, connection)
        elif not continues or not isinstance(result, Ran):
            self._held.pop(request.transaction, None)
            self._pools[target].release(connection)
        return result

    def _run(
        self, connection: HttpConnection, request: Request, term: int
    ) -> defer.Deferred:
        if request.operation is Operation.BEGIN:
            return self._run_keyed(connection, request, term, _claim(request))
        if request.operation is Operation.EXECUTE and request.is_write:
            if request.key is None:
                statements = list(request.body)
                return self._run_plain(connection, request, term, statements)
            return self._run_keyed(connection, request, term, _keyed(request))
        return self._run_plain(connection, request, term, list(request.body))

    def _run_plain(self, connection, request, term, statements):
        sent = self._send(connection, request, term, statements)
        return sent.addCallback(_to_result)

    @defer.inlineCallbacks
    def _run_keyed(self, connection, request, term, statements):
        reply = yield self._send(connection, request, term, statements)
        if reply.status == 'failed' and is_missing_table(reply.error):
            made = yield self._send(
                connection, request, term, list(SCHEMA), transaction='none'
            )
            if made.status != 'ran':
                return _to_result(made)
            reply = yield self._send(connection, request, term, statements)
        if reply.status == 'failed' and is_repeated_key(reply.error):
            result = yield self._look_up(connection, request, term)
            return result
        result = _to_result(reply)
        if isinstance(result, Ran):
            answer = results_of_keyed(result.answer)
            return result._replace(answer=answer)
        return result

    @defer.inlineCallbacks
    def _look_up(self, connection, request, term):
        lookup = Statement(LOOKUP_SQL, (request.caller, request.key))
        reply = yield self._send(
            connection,
            request,
            term,
            [lookup],
            transaction='none',
            read_only=True,
        )
        result = _to_result(reply)
        if not isinstance(result, Ran):
            return result
        rows = result.answer[0].rows
        if not rows:
            return TargetRefused('the earlier run was rolled back')
        try:
            recorded = recorded_results(rows, _digest(request))
        except KeyReused as error:
            return DatabaseFailed(str(error), result.reached)
        return Ran(recorded, result.reached, replayed=True)

    def _send(
        self,
        connection: HttpConnection,
        request: Request,
        term: int,
        statements: list[Statement],
        transaction: str | None = None,
        *,
        read_only: bool | None = None,
    ) -> defer.Deferred:
        """Return a Deferred of ExecuteReply."""
        request_id = f'{request.identity}.{next(self._ids)}'
        body = ExecuteBody(
            request_id,
            statements,
            term,
            transaction or _TRANSACTION_WORDS[request.operation],
            (not request.is_write) if read_only is None else read_only,
        )
        sent = connection.request(
            'POST',
            '/execute',
            encode(body),
            request.deadline_at - self._now() + OVERDUE_GRACE_S,
        )
        return sent.addCallback(_check_reply, connection, request_id)


def _check_reply(
    reply: HttpReply, connection: HttpConnection, request_id: str
) -> ExecuteReply:
    """Return the decoded answer if it belongs to the request."""
    if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return _refusal(request_id)
    if reply.status != HTTPStatus.OK:
        connection.close()
        raise HttpLost('the target answered with an error', sent=True)
    decoded = _decode_execute(reply.body)
    if decoded.request_id != request_id:
        connection.close()
        raise HttpLost('the answer belongs to another request', sent=True)
    return decoded


def _refusal(request_id: str) -> ExecuteReply:
    return ExecuteReply(
        is_primary=False,
        term=0,
        log_term=0,
        index=0,
        upstream_age_s=0,
        request_id=request_id,
        status='refused',
        reason='busy',
    )


def _digest(request: Request) -> str:
    if request.operation is Operation.BEGIN:
        return fingerprint(request.request_class.name)
    return fingerprint(request.body)


def _now_ms() -> int:
    return time.time_ns() // NANOSECONDS_IN_MS


def _claim(request: Request) -> list[Statement]:
    if request.key is None:
        return []
    digest = _digest(request)
    return key_statements(request.caller, request.key, digest, _now_ms())


def _keyed(request: Request) -> list[Statement]:
    return keyed_statements(
        request.caller,
        request.key,
        _digest(request),
        _now_ms(),
        list(request.body),
    )


def _to_result(reply: ExecuteReply) -> Result:
    if reply.status == 'ran':
        return Ran(reply.results, reply.reached)
    if reply.status == 'failed':
        return DatabaseFailed(reply.error, reply.reached)
    return TargetRefused(reply.reason, reply.term)


def _to_lost(failure: Failure, connection: HttpConnection) -> Lost:
    if failure.check(HttpLost):
        return Lost(failure.value.reason, sent=failure.value.sent)
    failure.trap(msgspec.DecodeError)
    connection.close()
    return Lost('the answer is malformed', sent=True)
