"""The target stand-in: one server of a replicated database group.

Run with ``python -m toucandeal_standins.target``. Endpoints, all JSON:

``POST /execute``   run statements, alone or in the connection's transaction
``GET /status``     role, term, log position, time since upstream contact
``POST /fence``     reject lower terms from now on
``POST /promote``   become the primary of the term that fenced this server
``POST /append``    log entries from the primary
``POST /fault``     set faults
``GET /inspect``    the status, for tests
``GET /applied``    when each log entry was applied, for measurements
``GET /executions`` the statements as they arrived, for tests
"""

import sqlite3
from collections import deque
from typing import Any, Literal, NamedTuple

import click
import msgspec
from twisted.internet import defer, reactor

from toucandeal_standins.database import Database, Statement, run_statements
from toucandeal_standins.http_server import Connection, HttpError, serve
from toucandeal_standins.shipping import (
    AppendRequest,
    LogShipper,
    append_entries,
)

__all__ = ['Faults', 'TargetServer', 'main']


# Paths not used by proxies; their connections are exempt from the limit.
_UNCOUNTED_PATHS = frozenset(
    ('/append', '/applied', '/executions', '/fault', '/inspect')
)
_KEPT_EXECUTIONS = 10_000


class ExecuteRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The request body of ``/execute``."""

    request_id: str
    statements: list[Statement] = []
    term: int = 0
    transaction: Literal['none', 'begin', 'continue', 'commit', 'rollback'] = (
        'none'
    )
    read_only: bool = False


class TermRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The request body of ``/fence`` and ``/promote``."""

    term: int


class Faults(msgspec.Struct):
    """The active faults."""

    paused: bool = False
    partitioned: bool = False
    slow_ms: float = 0
    crossed: bool = False
    frozen: bool = False


class Settings(NamedTuple):
    """The name, limits and latencies of a server."""

    name: str
    slots: int
    connections: int
    connect_ms: float
    one_way_ms: float
    service_ms: float


class OpenTransaction(NamedTuple):
    """An open transaction of a connection."""

    data: sqlite3.Connection
    statements: list[Statement]
    term: int


class TargetServer:
    """The state of one server of a group.

    `executions` has the request ID, text and parameters of the last statements
    that arrived, and `malformed` the bodies that are no request.
    """

    def __init__(self, settings: Settings, peers: list[str]) -> None:
        """Start as an empty replica."""
        self.settings = settings
        self.database = Database()
        self.faults = Faults()
        self.term = 0
        self.promoted_term = 0
        self.upstream_contact_at = float('-inf')
        self.slots = defer.DeferredSemaphore(settings.slots)
        self.write_lock = defer.DeferredLock()
        self.executions: deque[tuple] = deque(maxlen=_KEPT_EXECUTIONS)
        self.malformed: list[str] = []
        self.connections: set[Connection] = set()
        self.open_transactions: dict[Connection, OpenTransaction] = {}
        self.unswapped: list[defer.Deferred] = []
        self.shippers = [LogShipper(reactor, self, peer) for peer in peers]

    @property
    def is_primary(self) -> bool:
        """Return whether this server is primary in its current term."""
        return self.promoted_term > 0 and self.promoted_term == self.term

    def status(self) -> dict[str, Any]:
        """Return the response to ``/status``."""
        return {
            'is_primary': self.is_primary,
            'term': self.term,
            'log_term': self.database.log_term,
            'index': self.database.index,
            'upstream_age_s': min(
                reactor.seconds() - self.upstream_contact_at, 1e6
            ),
        }

    def ship(self) -> None:
        """Send new log entries to the peers now."""
        for shipper in self.shippers:
            shipper.send_now()


def _delay(seconds: float) -> defer.Deferred:
    elapsed = defer.Deferred()
    reactor.callLater(seconds, elapsed.callback, None)
    return elapsed


@defer.inlineCallbacks
def handle(server: TargetServer, connection, method, path, body):
    """Handle one request, subject to limits and faults."""
    if connection not in server.connections:
        if path not in _UNCOUNTED_PATHS:
            yield _admit(server, connection)
    if server.faults.frozen and path != '/fault':
        yield defer.Deferred()
    if path in {'/status', '/inspect'}:
        return server.status()
    if path == '/execute':
        answer = yield _execute(server, connection, body)
        return answer
    handler = _HANDLERS.get((method, path))
    if handler is None:
        raise HttpError(404, f'no {method} {path}')
    return handler(server, connection, body)


@defer.inlineCallbacks
def _admit(server: TargetServer, connection: Connection):
    if len(server.connections) >= server.settings.connections:
        reactor.callLater(0.005, connection.transport.loseConnection)
        raise HttpError(503, 'too many connections')
    server.connections.add(connection)
    yield _delay(server.settings.connect_ms / 1000)


@defer.inlineCallbacks
def _execute(server: TargetServer, connection: Connection, body: bytes):
    try:
        request = msgspec.json.decode(body, type=ExecuteRequest)
    except msgspec.MsgspecError:
        server.malformed.append(repr(body))
        raise
    server.executions.extend(
        (request.request_id, *statement) for statement in request.statements
    )
    slot_acquired = server.slots.acquire()
    yield slot_acquired
    try:
        busy_ms = server.settings.service_ms + server.faults.slow_ms
        if busy_ms:
            yield _delay(busy_ms / 1000)
    finally:
        server.slots.release()
    if request.transaction == 'begin' or (
        request.transaction == 'none' and not request.read_only
    ):
        yield server.write_lock.acquire()
        transaction_open = False
        try:
            answer = _perform(server, connection, request)
            transaction_open = connection in server.open_transactions
        finally:
            if not transaction_open:
                server.write_lock.release()
    else:
        answer = _perform(server, connection, request)
    answer = {'request_id': request.request_id, **answer, **server.status()}
    if server.faults.crossed:
        answer = yield _swap_answers(server, answer)
    return answer


def _swap_answers(server: TargetServer, answer: dict) -> defer.Deferred:
    """Swap this answer with that of another request."""
    if server.unswapped:
        waiting, other = server.unswapped.pop()
        waiting.callback(answer)
        return defer.succeed(other)
    swapped = defer.Deferred()
    server.unswapped.append((swapped, answer))
    return swapped


def _perform(server: TargetServer, connection, request: ExecuteRequest) -> dict:
    if not connection.is_open:
        return {'status': 'refused', 'reason': 'closed'}
    if request.transaction in ('continue', 'commit', 'rollback'):
        return _continue(server, connection, request)
    current = server.is_primary and request.term == server.term
    needs_primary = request.term or not request.read_only
    if needs_primary and not current:
        return {'status': 'refused', 'reason': 'term'}
    try:
        if request.transaction == 'begin':
            return _begin(server, connection, request)
        if request.read_only:
            return _ran_answer(server.database.read(request.statements))
        return _write(server, request)
    except (sqlite3.Error, sqlite3.Warning) as error:
        return {'status': 'failed', 'error': str(error)}


def _ran_answer(results: list) -> dict:
    return {'status': 'ran', 'results': results}


def _write(server: TargetServer, request: ExecuteRequest) -> dict:
    results = server.database.write(server.term, request.statements)
    server.ship()
    return _ran_answer(results)


def _begin(server: TargetServer, connection, request: ExecuteRequest) -> dict:
    data = server.database.copy()
    results = run_statements(data, request.statements)
    server.open_transactions[connection] = OpenTransaction(
        data, list(request.statements), server.term
    )
    return _ran_answer(results)


def _continue(
    server: TargetServer, connection, request: ExecuteRequest
) -> dict:
    transaction = server.open_transactions.get(connection)
    if transaction is None:
        return {'status': 'refused', 'reason': 'no transaction'}
    if request.transaction == 'continue':
        try:
            results = run_statements(transaction.data, request.statements)
        except (sqlite3.Error, sqlite3.Warning) as error:
            _close_transaction(server, connection)
            return {'status': 'failed', 'error': str(error)}
        transaction.statements.extend(request.statements)
        return _ran_answer(results)
    _close_transaction(server, connection)
    if request.transaction == 'rollback':
        return _ran_answer([])
    if not server.is_primary or server.term != transaction.term:
        return {'status': 'refused', 'reason': 'term'}
    server.database.write(
        server.term, transaction.statements + request.statements
    )
    server.ship()
    return _ran_answer([])


def _close_transaction(server: TargetServer, connection: Connection) -> None:
    if server.open_transactions.pop(connection, None) is not None:
        server.write_lock.release()


def connection_closed(server: TargetServer, connection: Connection) -> None:
    """Roll back the transaction of a closed connection."""
    server.connections.discard(connection)
    _close_transaction(server, connection)


def _fence(server: TargetServer, connection, body: bytes) -> dict:
    del connection
    term = msgspec.json.decode(body, type=TermRequest).term
    granted = term > server.term
    if granted:
        server.term = term
    return {'granted': granted, **server.status()}


def _promote(server: TargetServer, connection, body: bytes) -> dict:
    del connection
    term = msgspec.json.decode(body, type=TermRequest).term
    promoted = term == server.term and term > server.promoted_term
    if promoted:
        server.promoted_term = term
        server.database.write(term, [])
        server.ship()
    return {'promoted': promoted, **server.status()}


def _append(server: TargetServer, connection, body: bytes):
    if server.faults.partitioned:
        connection.drop()
        return None
    return append_entries(server, msgspec.json.decode(body, type=AppendRequest))


def _fault(server: TargetServer, connection, body: bytes) -> dict:
    del connection
    changes = msgspec.json.decode(body)
    previous_faults = msgspec.structs.asdict(server.faults)
    server.faults = msgspec.convert({**previous_faults, **changes}, Faults)
    return msgspec.structs.asdict(server.faults)


def _applied(server: TargetServer, connection, body: bytes) -> list[float]:
    del connection, body
    return server.database.applied_at


def _executions(server: TargetServer, connection, body: bytes) -> dict:
    del connection, body
    return {
        'executions': list(server.executions),
        'malformed': server.malformed,
    }


_HANDLERS = {
    ('GET', '/executions'): _executions,
    ('GET', '/applied'): _applied,
    ('POST', '/fence'): _fence,
    ('POST', '/promote'): _promote,
    ('POST', '/append'): _append,
    ('POST', '/fault'): _fault,
}


@click.command()
@click.option('--name', required=True)
@click.option('--port', type=int, required=True)
@click.option('--peer', 'peers', multiple=True, help='host:port of a peer')
@click.option('--slots', type=int, default=2)
@click.option('--connections', type=int, default=16)
@click.option('--connect-ms', type=float, default=12)
@click.option('--one-way-ms', type=float, default=1)
@click.option('--service-ms', type=float, default=2)
def main(port, peers, **settings) -> None:
    """Run one server until the process is terminated."""
    server = TargetServer(Settings(**settings), list(peers))
    serve(
        reactor,
        port,
        lambda *request: handle(server, *request),
        lambda connection: connection_closed(server, connection),
        lambda: settings['one_way_ms'] / 1000,
    ).addErrback(lambda failure: (failure.printTraceback(), reactor.stop()))
    reactor.run()


if __name__ == '__main__':
    main()
