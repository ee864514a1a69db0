"""Stand-in of the platform: the metadata store and `POST /promote`.

One process, one event loop: transactions are atomic and responses are
linearizable. Rows, feeds and conditions follow PROTOCOL.md; the store keeps its
whole history.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qsl, urlsplit

LATENCY_S = 0.004  # of an answer, as on the sheets


class Store:
    """Tables of rows, and the calls on them.

    `refuses` is a function of a caller's address that returns a status to
    answer with, or None. `promote` is an async function of group, server,
    holder and token that returns a status.
    """

    def __init__(self, record, promote):
        self.version = 0
        self.rows = {}
        self.history = []
        self.refuses = lambda host: None
        self._promote = promote
        self._record = record
        self._changed = asyncio.Event()
        self._began_at = time.monotonic()

    def put(self, table, key, content):
        """Write a row, as the operator and the servers do."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._apply([{'table': table, 'part': '', 'key': key, 'value': value}], [])

    def remove(self, table, key):
        """Remove a row, as the platform does with an entry that lapsed."""
        self._apply([], [{'table': table, 'part': '', 'key': key}])

    def content(self, table, key):
        """Return the decoded content of a row, or None."""
        row = self.rows.get((table, '', key))
        return None if row is None else json.loads(base64.b64decode(row['value']))

    async def listen(self, host):
        """Listen on a free port of a loopback address; return host:port."""
        listening = await asyncio.start_server(self._serve, host, 0)
        return '%s:%d' % listening.sockets[0].getsockname()

    def _apply(self, puts, removes):
        self.version += 1
        for put in puts:
            row = {**put, 'ver': self.version}
            self.rows[put['table'], put.get('part', ''), put['key']] = row
            self.history.append(row)
        for gone in removes:
            key = (gone['table'], gone.get('part', ''), gone['key'])
            if self.rows.pop(key, None) is not None:
                self.history.append({**gone, 'ver': self.version, 'tombstone': True})
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        host = writer.get_extra_info('peername')[0]
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode().split('\r\n')
                method, target, _ = lines[0].split(' ')
                headers = {
                    name.strip().lower(): text.strip()
                    for name, _, text in (line.partition(':') for line in lines[1:] if line)
                }
                body = await reader.readexactly(int(headers.get('content-length', 0)))
                await asyncio.sleep(LATENCY_S)
                status = self.refuses(host)
                if status is None:
                    status, answer = await self._call(method, target, headers, body)
                else:
                    answer = {}
                encoded = json.dumps(answer).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n%s' % (status, len(encoded), encoded)
                )
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _call(self, method, target, headers, body):
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        if method == 'POST' and parts.path == '/promote':
            decoded = json.loads(body)
            status = await self._promote(
                decoded['backend'],
                decoded['id'],
                headers['x-duty-holder'],
                int(headers['x-fencing-token']),
            )
            return status, {}
        call = parts.path.rpartition('/')[2]
        if call == 'rows-tx':
            return self._transact(json.loads(body))
        if call == 'rows-get':
            return 200, self._page(query)
        if call == 'rows-feed':
            return 200, await self._feed(query)
        return 404, {}

    def _answer(self, rows):
        now_ms = int((time.monotonic() - self._began_at) * 1000)
        return {'rows': rows, 'ver': self.version, 'nowMs': now_ms}

    def _transact(self, body):
        if any(row['table'] in ('op', 'servers') for row in body.get('puts', []) + body.get('remove', [])):
            return 403, {}
        held = []
        holds = True
        for wanted in body.get('precondition', []):
            row = self.rows.get((wanted['table'], wanted.get('part', ''), wanted['key']))
            if row is not None:
                held.append(row)
            holds = holds and (row['ver'] if row else 0) == wanted['ver']
        if not holds:
            return 412, self._answer(held)
        self._apply(body.get('puts', []), body.get('remove', []))
        return 200, self._answer([])

    def _page(self, query):
        limit = min(int(query.get('limit', 500)), 500)
        rows = sorted(
            (
                row
                for (table, part, key), row in self.rows.items()
                if table == query['table']
                and part == query.get('part', '')
                and key.encode() >= query.get('from', '').encode()
                and ('to' not in query or key.encode() < query['to'].encode())
            ),
            key=lambda row: row['key'].encode(),
        )
        return {**self._answer(rows[:limit]), 'truncated': len(rows) > limit}

    async def _feed(self, query):
        after = int(query['after'])
        ends_at = time.monotonic() + min(int(query.get('waitMs', 0)), 30_000) / 1000
        while True:
            rows = [
                row for row in self.history
                if row['ver'] > after and row['table'] == query['table']
            ]
            remaining_s = ends_at - time.monotonic()
            if rows or remaining_s <= 0:
                return self._answer(rows)
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass
