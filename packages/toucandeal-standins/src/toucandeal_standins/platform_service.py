"""The platform stand-in: table service, object store and VM list.

Run with ``python -m toucandeal_standins.platform_service``. Endpoints in JSON:

``POST /transact``          conditional writes on row versions, atomic
``GET /tables/T/K``         one row
``GET /tables/T``           all rows
``PUT|GET /objects/NAME``   one object
``GET|POST /vms``           the list of VMs
``POST /fault``             unavailable, slow, or answers lost after the write
"""

from typing import Any
from urllib.parse import unquote

import click
import msgspec
from twisted.internet import defer, reactor

from toucandeal_standins.http_server import HttpError, serve

__all__ = ['PlatformServer', 'main']


class Condition(msgspec.Struct):
    """The expected version of a row; 0 if the row must not exist."""

    table: str
    key: str
    version: int


class Write(msgspec.Struct):
    """The new value of a row; None deletes the row."""

    table: str
    key: str
    value: Any


class Transaction(msgspec.Struct):
    """The request body of ``/transact``."""

    conditions: list[Condition]
    writes: list[Write]


class Stored(msgspec.Struct):
    """A row; each write increments its version."""

    version: int
    value: Any


class Faults(msgspec.Struct):
    """The active faults."""

    down: bool = False
    slow_ms: float = 0
    lose_answers: int = 0
    down_after_writes: int = 0


class PlatformServer:
    """The tables, objects, VM list and faults of the platform."""

    def __init__(self) -> None:
        """Start empty."""
        self.tables: dict[str, dict[str, Stored]] = {}
        self.objects: dict[str, Any] = {}
        self.vms: list[Any] = []
        self.faults = Faults()
        self.reads = 0
        self.writes = 0


@defer.inlineCallbacks
def handle(server: PlatformServer, connection, method, path, body):
    """Handle one request, subject to the faults."""
    if path == '/fault':
        changes = msgspec.json.decode(body)
        current = msgspec.structs.asdict(server.faults)
        server.faults = msgspec.convert({**current, **changes}, Faults)
        return current
    if server.faults.down:
        connection.drop()
        return None
    if server.faults.slow_ms:
        delay = defer.Deferred()
        reactor.callLater(server.faults.slow_ms / 1000, delay.callback, None)
        yield delay
    target, _, _ = path.partition('?')
    parts = [unquote(part) for part in target.strip('/').split('/')]
    answer = _route(server, method, parts, body)
    if method != 'GET' and server.faults.down_after_writes > 0:
        server.faults.down_after_writes -= 1
        server.faults.down = server.faults.down_after_writes == 0
    if method != 'GET' and server.faults.lose_answers > 0:
        server.faults.lose_answers -= 1
        connection.drop()
        return None
    return answer


def _route(server: PlatformServer, method: str, parts: list[str], body: bytes):
    if method == 'GET':
        server.reads += 1
    else:
        server.writes += 1
    match (method, *parts):
        case ('POST', 'transact'):
            return _transact(
                server, msgspec.json.decode(body, type=Transaction)
            )
        case ('GET', 'tables', table):
            return server.tables.get(table, {})
        case ('GET', 'tables', table, *key):
            return _get_row(server, table, '/'.join(key))
        case ('PUT', 'objects', name):
            server.objects[name] = msgspec.json.decode(body)
            return {}
        case ('GET', 'objects', name):
            if name not in server.objects:
                raise HttpError(404, 'no such object')
            return server.objects[name]
        case ('GET', 'vms'):
            return server.vms
        case ('POST', 'vms'):
            server.vms = msgspec.json.decode(body)
            return {}
        case ('GET', 'counters'):
            return {'reads': server.reads, 'writes': server.writes}
    raise HttpError(404, 'no such endpoint')


def _get_row(server: PlatformServer, table: str, key: str) -> Stored:
    row = server.tables.get(table, {}).get(key)
    if row is None:
        raise HttpError(404, 'no such row')
    return row


def _transact(server: PlatformServer, transaction: Transaction) -> dict:
    for condition in transaction.conditions:
        row = server.tables.get(condition.table, {}).get(condition.key)
        version = 0 if row is None else row.version
        if version != condition.version:
            raise HttpError(409, f'version of {condition.key}')
    for write in transaction.writes:
        rows = server.tables.setdefault(write.table, {})
        if write.value is None:
            rows.pop(write.key, None)
            continue
        version = rows[write.key].version if write.key in rows else 0
        rows[write.key] = Stored(version + 1, write.value)
    return {}


@click.command()
@click.option('--port', type=int, required=True)
def main(port: int) -> None:
    """Run the platform until the process is terminated."""
    server = PlatformServer()
    serve(reactor, port, lambda *request: handle(server, *request)).addErrback(
        lambda failure: (failure.printTraceback(), reactor.stop())
    )
    reactor.run()


if __name__ == '__main__':
    main()
