"""Client of the targets: statements, status polls, fences, promotions."""

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
    caller_results,
    fingerprint,
    is_missing_table,
    is_repeated_key,
    key_statements,
    keyed_statements,
    recorded_results,
)
from toucandeal.results import (
    DatabaseFailed,
    Executed,
    Lost,
    Result,
    TargetRefused,
)
from toucandeald.background_tasks import log_failure
from toucandeald.http_client import HttpConnection, HttpReply, HttpRequestError
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

NS_PER_MS = 1_000_000
_TRANSACTION_MODES = {
    Operation.EXECUTE: 'none',
    Operation.BEGIN: 'begin',
    Operation.STATEMENT: 'continue',
    Operation.COMMIT: 'commit',
    Operation.ROLLBACK: 'rollback',
}
# A caller gets a reply at the deadline of its request, but the connection waits
# this much longer because the target may still be running the statements.
# Closing and replacing the connection would send the target more requests than
# it has slots.
OVERDUE_GRACE_S = 1.0
_POOLED_OPERATIONS = frozenset((Operation.EXECUTE, Operation.BEGIN))
_decode_execute = msgspec.json.Decoder(ExecuteReply).decode
_decode_status = msgspec.json.Decoder(StatusReply).decode


class Targets:
    """The connection pools of all targets, and open transactions."""

    def __init__(self, reactor, now, routes: dict[str, str]) -> None:
        """Initialize with the reactor, the tables' clock and the routes.

        `routes` maps targets to the address at which this proxy reaches them,
        where it differs from the declared address.
        """
        self._routes = routes
        self._reactor = reactor
        self._now = now
        self._pools: dict[str, TargetPool] = {}
        self._transaction_connections: dict[
            str, tuple[str, HttpConnection]
        ] = {}
        self._request_numbers = itertools.count(1)

    @property
    def control_bytes(self) -> int:
        """Return the total bytes of status polls, fences and promotions."""
        return sum(pool.control_bytes for pool in self._pools.values())

    def resize(self, target: str, address: str, size: int) -> None:
        """Set the number of data connections kept open to a target."""
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
        """Return the pool of a target, creating it if necessary."""
        if target not in self._pools:
            own_address = self._routes.get(target, address)
            self._pools[target] = TargetPool(self._reactor, own_address)
        return self._pools[target]

    @defer.inlineCallbacks
    def status(self, target: str, address: str, timeout_s: float):
        """Request and return the status of a target."""
        reply = yield self.pool(target, address).control(
            'GET', '/status', b'', timeout_s
        )
        return _decode_status(reply.body).to_status()

    @defer.inlineCallbacks
    def fence(self, target: str, address: str, term: int, timeout_s: float):
        """Fence a target; return whether it was granted, and its status."""
        reply = yield self.pool(target, address).control(
            'POST', '/fence', encode(TermBody(term)), timeout_s
        )
        fenced = msgspec.json.decode(reply.body, type=FenceReply)
        return fenced.granted, fenced.to_status()

    @defer.inlineCallbacks
    def promote(self, target: str, address: str, term: int, timeout_s: float):
        """Promote a target; return whether it was promoted."""
        reply = yield self.pool(target, address).control(
            'POST', '/promote', encode(TermBody(term)), timeout_s
        )
        return msgspec.json.decode(reply.body, type=PromoteReply).promoted

    def drop_transaction(self, transaction: str) -> None:
        """Close the connection of a transaction, which rolls it back."""
        entry = self._transaction_connections.pop(transaction, None)
        if entry is not None:
            entry[1].close()

    def execute(
        self, request: Request, target: str, term: int
    ) -> defer.Deferred:
        """Run the statements of a request at a target.

        Returns
        -------
        Deferred of Result
            Never fails; failures are returned as results.
        """
        reserved = self._find_connection(request)
        if reserved is not None:
            return self._run_on_connection(reserved, request, target, term)
        if request.operation not in _POOLED_OPERATIONS:
            refused = TargetRefused('the connection was lost')
            return defer.succeed(refused)
        idle = self._pools[target].acquire_idle()
        if idle is not None:
            return self._run_on_connection(idle, request, target, term)
        acquired = self._pools[target].acquire()
        return acquired.addCallbacks(
            lambda connection: self._run_on_connection(
                connection, request, target, term
            ),
            lambda _: TargetRefused('busy'),
        )

    def _find_connection(self, request: Request) -> HttpConnection | None:
        entry = self._transaction_connections.get(request.transaction)
        return entry[1] if entry is not None and entry[1].usable else None

    def _run_on_connection(
        self,
        connection: HttpConnection,
        request: Request,
        target: str,
        term: int,
    ) -> defer.Deferred:
        ran = defer.maybeDeferred(self._run, connection, request, term)
        ran.addErrback(_to_lost, connection)
        return ran.addCallback(
            self._release_or_keep, connection, request, target
        )

    def _release_or_keep(
        self,
        result: Result,
        connection: HttpConnection,
        request: Request,
        target: str,
    ) -> Result:
        began = (
            request.operation is Operation.BEGIN
            and isinstance(result, Executed)
            and not result.replayed
        )
        continues = request.operation is Operation.STATEMENT
        if began:
            self._transaction_connections[request.transaction] = (
                target,
                connection,
            )
        elif not continues or not isinstance(result, Executed):
            self._transaction_connections.pop(request.transaction, None)
            self._pools[target].release(connection)
        return result

    def _run(
        self, connection: HttpConnection, request: Request, term: int
    ) -> defer.Deferred:
        if request.operation is Operation.BEGIN:
            return self._run_keyed(
                connection, request, term, _key_claim(request)
            )
        if request.operation is Operation.EXECUTE and request.is_write:
            if request.key is None:
                statements = list(request.body)
                return self._run_plain(connection, request, term, statements)
            return self._run_keyed(
                connection, request, term, _keyed_write(request)
            )
        return self._run_plain(connection, request, term, list(request.body))

    def _run_plain(self, connection, request, term, statements):
        sent = self._send(connection, request, term, statements)
        return sent.addCallback(_to_result)

    @defer.inlineCallbacks
    def _run_keyed(self, connection, request, term, statements):
        reply = yield self._send(connection, request, term, statements)
        if reply.status == 'failed' and is_missing_table(reply.error):
            created = yield self._send(
                connection, request, term, list(SCHEMA), transaction='none'
            )
            if created.status != 'ran':
                return _to_result(created)
            reply = yield self._send(connection, request, term, statements)
        if reply.status == 'failed' and is_repeated_key(reply.error):
            result = yield self._look_up_results(connection, request, term)
            return result
        result = _to_result(reply)
        if isinstance(result, Executed):
            answer = caller_results(result.answer)
            return result._replace(answer=answer)
        return result

    @defer.inlineCallbacks
    def _look_up_results(self, connection, request, term):
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
        if not isinstance(result, Executed):
            return result
        rows = result.answer[0].rows
        if not rows:
            return TargetRefused('the earlier run was rolled back')
        try:
            recorded = recorded_results(rows, _digest(request))
        except KeyReused as error:
            return DatabaseFailed(str(error), result.reached)
        return Executed(recorded, result.reached, replayed=True)

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
        """Send statements and return a Deferred of ExecuteReply."""
        request_id = f'{request.identity}.{next(self._request_numbers)}'
        body = ExecuteBody(
            request_id,
            statements,
            term,
            transaction or _TRANSACTION_MODES[request.operation],
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
    """Return the decoded reply if it matches the request."""
    if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return _busy_reply(request_id)
    if reply.status != HTTPStatus.OK:
        connection.close()
        raise HttpRequestError('the target answered with an error', sent=True)
    decoded = _decode_execute(reply.body)
    if decoded.request_id != request_id:
        connection.close()
        raise HttpRequestError(
            'the answer belongs to another request', sent=True
        )
    return decoded


def _busy_reply(request_id: str) -> ExecuteReply:
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
    return time.time_ns() // NS_PER_MS


def _key_claim(request: Request) -> list[Statement]:
    if request.key is None:
        return []
    digest = _digest(request)
    return key_statements(request.caller, request.key, digest, _now_ms())


def _keyed_write(request: Request) -> list[Statement]:
    return keyed_statements(
        request.caller,
        request.key,
        _digest(request),
        _now_ms(),
        list(request.body),
    )


def _to_result(reply: ExecuteReply) -> Result:
    if reply.status == 'ran':
        return Executed(reply.results, reply.reached)
    if reply.status == 'failed':
        return DatabaseFailed(reply.error, reply.reached)
    return TargetRefused(reply.reason, reply.term)


def _to_lost(failure: Failure, connection: HttpConnection) -> Lost:
    if failure.check(HttpRequestError):
        return Lost(failure.value.reason, sent=failure.value.sent)
    connection.close()
    if failure.check(msgspec.DecodeError):
        return Lost('the answer is malformed', sent=True)
    # The slot of the request is free again, whatever the fault.
    log_failure(failure)
    return Lost('the proxy failed', sent=True)
