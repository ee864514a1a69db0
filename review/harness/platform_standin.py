"""Stand-ins of the platform: its store, its promotion service, database servers.

They run in the event loop of the case. Each machine of the system reaches the
store and the promotion service at an address of its own, so that a case can
turn one machine away and serve the others.
"""

import asyncio
import base64
import contextlib
import json
import random
import time
from urllib.parse import parse_qs, urlsplit

TX_LATENCY_S = 0.005
BASE_NUMBER = 1000


def now():
    """Return the real, steady time in seconds."""
    return time.monotonic()


class Platform:
    """The store's tables, and the promotion service."""

    def __init__(self, record):
        """Start with empty tables; `record` takes lines of the record."""
        self.record = record
        self.groups = {}
        self.version = 100
        self.rows = {}
        self.history = []
        self.refused = set()  # machines that the store turns away
        self.orders = []
        self.on_transaction = []  # called with machine and body, once applied
        self._changed = asyncio.Event()
        self._servers = []

    async def listen(self, host, machine):
        """Listen for one machine; return the addresses of store and cloud."""
        addresses = []
        for handler in (self._handle_store, self._handle_cloud):
            server = await asyncio.start_server(
                lambda reader, writer, handler=handler: self._serve(
                    reader, writer, machine, handler
                ),
                host,
                0,
            )
            self._servers.append(server)
            port = server.sockets[0].getsockname()[1]
            addresses.append(f'{host}:{port}')
        return addresses

    def close(self):
        """Stop listening."""
        for server in self._servers:
            server.close()

    def put(self, table, key, content):
        """Write a row, as the operator and the servers do."""
        encoded = base64.b64encode(json.dumps(content).encode()).decode()
        put = {'table': table, 'part': '', 'key': key, 'value': encoded}
        self._apply({'puts': [put]})

    def remove(self, table, key):
        """Remove a row, as the servers do."""
        self._apply({'remove': [{'table': table, 'part': '', 'key': key}]})

    def content(self, table, key):
        """Return the decoded content of a row, or None."""
        row = self.rows.get((table, key))
        return (
            None if row is None else json.loads(base64.b64decode(row['value']))
        )

    async def _serve(self, reader, writer, machine, handler):
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                first, *lines = head.split('\r\n')
                method, target, _ = first.split(' ')
                headers = {
                    name.lower(): text.strip()
                    for name, _, text in (line.partition(':') for line in lines)
                }
                body = await reader.readexactly(
                    int(headers.get('content-length', '0'))
                )
                status, answer = await handler(
                    machine, method, target, headers, body
                )
                encoded = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Store-Era: 1\r\nContent-Length: {len(encoded)}\r\n\r\n'.encode()
                    + encoded
                )
                await writer.drain()
        writer.close()

    async def _handle_store(self, machine, method, target, headers, body):
        del method, headers
        if machine in self.refused:
            return 503, {}
        url = urlsplit(target)
        query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
        if url.path == '/toucandeal/rows-tx':
            await asyncio.sleep(TX_LATENCY_S)
            if machine in self.refused:
                return 503, {}
            return self._transact(machine, json.loads(body))
        if url.path == '/toucandeal/rows-get':
            await asyncio.sleep(0.002)
            rows = sorted(
                (
                    row
                    for (table, key), row in self.rows.items()
                    if table == query['table'] and key >= query.get('from', '')
                ),
                key=lambda row: row['key'],
            )
            return 200, self._page(rows, truncated=False)
        if url.path == '/toucandeal/rows-feed':
            return await self._feed(machine, query)
        return 404, {}

    def _page(self, rows, **more):
        return {
            'rows': rows,
            'ver': self.version,
            'nowMs': int(now() * 1000),
            **more,
        }

    async def _feed(self, machine, query):
        until = now() + int(query.get('waitMs', 0)) / 1000
        while True:
            if machine in self.refused:
                return 503, {}
            rows = [
                row
                for row in self.history
                if row['table'] == query['table']
                and row['ver'] > int(query['after'])
            ]
            remaining = until - now()
            if rows or remaining <= 0:
                return 200, self._page(rows)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining)

    def _transact(self, machine, body):
        conditions = body.get('precondition', [])
        for condition in conditions:
            row = self.rows.get((condition['table'], condition['key']))
            if (row['ver'] if row else 0) != condition['ver']:
                rows = [
                    self.rows[condition['table'], condition['key']]
                    for condition in conditions
                    if (condition['table'], condition['key']) in self.rows
                ]
                return 412, self._page(rows)
        self._apply(body)
        for call in list(self.on_transaction):
            call(machine, body)
        return 200, self._page([])

    def _apply(self, body):
        self.version += 1
        for put in body.get('puts', []):
            row = {**put, 'ver': self.version}
            self.rows[put['table'], put['key']] = row
            self.history.append(row)
        for removed in body.get('remove', []):
            if self.rows.pop((removed['table'], removed['key']), None):
                self.history.append(
                    {**removed, 'ver': self.version, 'tombstone': True}
                )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle_cloud(self, machine, method, target, headers, body):
        del machine
        if (method, target) != ('POST', '/promote'):
            return 404, {}
        order = json.loads(body)
        token = int(headers['x-fencing-token'])
        holder = headers['x-duty-holder']
        seen = max((earlier['token'] for earlier in self.orders), default=0)
        self.orders.append({**order, 'token': token, 'holder': holder})
        self.record(
            f'platform: order from {holder} to promote {order["id"]} of '
            f'{order["backend"]}, fencing token {token}, highest seen {seen}'
        )
        accepted = self.groups[order['backend']].promote(order['id'])
        return (200, {}) if accepted else (409, {})


class Group:
    """A service: a primary and its replicas."""

    def __init__(self, platform, name, *, lag_s, promote_s, sync_replicas=0):
        """Initialize without servers."""
        self.platform = platform
        self.name = name
        self.lag_s = lag_s
        self.promote_s = promote_s
        self.sync_replicas = sync_replicas
        self.servers = {}
        self.term = 1
        platform.groups[name] = self

    def promote(self, name):
        """Let a server lead the next term in a moment; return if it runs."""
        server = self.servers.get(name)
        if server is None or not server.alive:
            return False
        if not server.is_primary:
            loop = asyncio.get_running_loop()
            loop.call_later(self.promote_s, self._lead, server)
        return True

    def _lead(self, server):
        if not server.alive:
            return
        self.term += 1
        earlier = [each for each in self.servers.values() if each.is_primary]
        server.term = self.term
        server.is_primary = True
        server.deaf = False
        server.applied = len(server.log)
        self.platform.record(
            f'{server.name} leads {self.name} in term {self.term}, its log ends '
            f'at {server.received}'
        )
        server.report()
        for each in self.servers.values():
            if each is not server and each.alive and each not in earlier:
                each.follow(server)
        for each in earlier:
            # The old primary continues for a second.
            asyncio.get_running_loop().call_later(
                1.0, each.step_down, self.term
            )

    def primary(self):
        """Return the live server that leads the newest term, or None."""
        leading = [
            each
            for each in self.servers.values()
            if each.is_primary and each.alive
        ]
        return max(leading, key=lambda each: each.term, default=None)


class Server:
    """A database server, which listens at an address of its own."""

    def __init__(self, group, name, zone, *, slots, connections, work_s):
        """Initialize a replica with an empty log."""
        self.group = group
        self.name = name
        self.zone = zone
        self.connections = connections
        self.work_s = work_s
        self.is_primary = False
        self.term = 1
        self.log = []
        self.applied = 0
        self.alive = True
        self.deaf = False
        self.draining = False
        self.failing = 0.0  # share of the requests that run and fail
        # Of each statement that the server has run: the time, the identity,
        # the verb, and the values of the session.
        self.ran = []
        self.sessions = set()
        self.address = ''
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._queue = 16
        self._slot_count = slots
        self._received = asyncio.Event()
        self._beat = 0
        self._born = int(time.time() * 1000)
        self._listener = None
        group.servers[name] = self

    @property
    def received(self):
        """Return the position of the last entry of the log."""
        if not self.log:
            return f'1.{BASE_NUMBER}'
        return f'{self.log[-1]["term"]}.{self.log[-1]["number"]}'

    @property
    def held(self):
        """Return the position up to which the log is applied."""
        if not self.applied:
            return f'1.{BASE_NUMBER}'
        entry = self.log[self.applied - 1]
        return f'{entry["term"]}.{entry["number"]}'

    async def start(self, host):
        """Listen and report to the store."""
        self._listener = await asyncio.start_server(
            self._serve, host, 0, limit=1 << 21
        )
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        self.report()

    def report(self):
        """Write the server's entry, unless it is dead."""
        if not self.alive:
            return
        self._beat += 1
        self.group.platform.put(
            'servers',
            self.name,
            {
                'backend': self.group.name,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self._slot_count,
                'state': 'draining' if self.draining else 'ready',
                'coldRemainingMs': 0,
                'dbRole': 'primary' if self.is_primary else 'replica',
                'seqNo': self._beat,
                'born': self._born,
            },
        )

    def drain(self):
        """Announce the end of this server; it goes on serving."""
        self.draining = True
        self.report()

    def crash(self):
        """End without a word; connections are reset, the entry expires."""
        self.alive = False
        self.group.platform.record(f'{self.name} crashes')
        if self._listener is not None:
            self._listener.close()
        for writer in list(self.sessions):
            writer.transport.abort()

    def step_down(self, term):
        """Become a replica of the present primary if it leads a later term."""
        if self.alive and self.is_primary and self.term < term:
            self.is_primary = False
            self.report()
            primary = self.group.primary()
            if primary is not None:
                self.follow(primary)

    def follow(self, primary):
        """Keep the part of the log that the primary has, and catch up."""
        self.term = primary.term
        common = 0
        for mine, theirs in zip(self.log, primary.log):
            if mine is not theirs:
                break
            common += 1
        del self.log[common:]
        self.applied = min(self.applied, common)
        self.receive(primary)

    def receive(self, primary):
        """Receive what the primary has, and apply it after the usual lag."""
        if not self.alive or self.deaf or self.is_primary:
            return
        if primary.term != self.term:
            return
        self.log.extend(primary.log[len(self.log) :])
        primary.note_received()
        asyncio.get_running_loop().call_later(
            self.group.lag_s, self._apply, len(self.log)
        )

    def note_received(self):
        """Wake the commits that wait for a replica."""
        received, self._received = self._received, asyncio.Event()
        received.set()

    def _apply(self, count):
        self.applied = max(self.applied, min(count, len(self.log)))

    async def commit(self, identity, writes):
        """Append an entry; return once as many replicas have it as needed."""
        last = self.log[-1]['number'] if self.log else BASE_NUMBER
        entry = {
            'term': self.term,
            'number': last + 1,
            'id': identity,
            'writes': writes,
        }
        self.log.append(entry)
        self.applied = len(self.log)
        loop = asyncio.get_running_loop()
        for replica in self.group.servers.values():
            if replica is not self and replica.alive:
                loop.call_later(0.002, replica.receive, self)
        while self.group.sync_replicas and not any(
            entry in replica.log
            for replica in self.group.servers.values()
            if replica is not self and replica.alive
        ):
            await self._received.wait()

    def read(self, item):
        """Return the data of an item as applied here."""
        for entry in reversed(self.log[: self.applied]):
            for written, text in reversed(entry['writes']):
                if written == item:
                    return text
        return '-'

    async def _serve(self, reader, writer):
        session = _Session(self, writer)
        self.sessions.add(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while self.alive:
                line = (await reader.readuntil(b'\r\n')).decode()[:-2]
                answer = await session.answer(line)
                if not self.alive:
                    break
                writer.write(''.join(f'{each}\r\n' for each in answer).encode())
                await writer.drain()
                if session.closed:
                    break
        self.sessions.discard(writer)
        writer.close()

    async def work(self, seconds):
        """Occupy a slot; return whether there was room in the queue."""
        if self._waiting >= self._queue:
            return False
        self._waiting += 1
        await self._slots.acquire()
        self._waiting -= 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self._slots.release()
        return True


class _Session:
    """A session at a server."""

    def __init__(self, server, writer):
        self.closed = False
        self._server = server
        self._started = False
        self._state = 'I'
        self._read_only = False
        self._writes = []
        self._values = {}
        self._shapes = {}
        del writer

    async def answer(self, line):
        """Return the lines that answer a message."""
        keyword, _, rest = line.partition(' ')
        if keyword == 'STARTUP':
            return await self._start(rest.split(' '))
        if keyword != 'QUERY' or not self._started:
            self.closed = True
            return []
        identity, _, text = rest.partition(' ')
        lines = await self._query(identity, text)
        failed = random.random() < self._server.failing
        if (
            failed
            and 'STATUS' not in text
            and not lines[-1].startswith('ERROR')
        ):
            lines = ['ERROR FAILED it has run']
        if lines[-1].startswith('ERROR') and self._state == 'T':
            self._state = 'E'
        return [*lines, f'READY {self._state} {self._server.held}']

    async def _start(self, fields):
        server = self._server
        wrong = fields[0] != server.group.name or (
            len(fields) > 2 and fields[2] != server.name
        )
        if wrong:
            self.closed = True
            return ['ERROR WRONGNODE it is another one']
        if len(server.sessions) > server.connections:
            self.closed = True
            return ['ERROR TOOMANYCON full']
        await server.work(0.012)
        self._started = True
        return [f'READY I {server.held}']

    async def _query(self, identity, text):
        server = self._server
        words = text.split(' ')
        if words[0] == 'WAITLSN':
            if _position(words[1]) > _position(server.held):
                return ['ERROR LAGGING later']
            words = words[2:]
        verb = words[0]
        if self._state == 'E' and verb not in {'ROLLBACK', 'COMMIT', 'STATUS'}:
            return ['ERROR MALFORMED the transaction failed']
        if verb == 'EXECUTE':
            shape = self._shapes.get(words[1])
            if shape is None:
                return ['ERROR NOSUCHSTMT unknown']
            words = [shape[0], *words[2:]]
            verb = words[0]
        if verb in {'READ', 'WRITE', 'COMMIT'}:
            return await self._work(identity, verb, words)
        if verb == 'BEGIN':
            self._read_only = words[1:] == ['READ']
            if not self._read_only and not server.is_primary:
                return ['ERROR READONLY replica']
            self._state, self._writes = 'T', []
        elif verb == 'ROLLBACK':
            self._state, self._writes = 'I', []
        elif verb == 'SET':
            self._values[words[1]] = ' '.join(words[2:])
        elif verb == 'PREPARE':
            self._shapes[words[1]] = (words[2], words[3])
        elif verb == 'RESET':
            self._values.clear()
            self._shapes.clear()
        elif verb == 'STEPDOWN':
            if server.is_primary and server.term < int(words[1]):
                server.is_primary = False
                server.report()
            return [self._status(), 'COMPLETE -']
        elif verb == 'STATUS':
            if not await server.work(0.0005):
                return ['ERROR RETRY busy']
            return [self._status(), 'COMPLETE -']
        else:
            return ['ERROR MALFORMED unknown']
        return ['COMPLETE -']

    def _note(self, identity, verb):
        self._server.ran.append((now(), identity, verb, dict(self._values)))

    def _status(self):
        server = self._server
        role = 'primary' if server.is_primary else 'replica'
        return (
            f'DATAROW {role} {server.term} {server.received} {server.term} 0 0 '
            f'{len(server.sessions)}'
        )

    async def _work(self, identity, verb, words):
        server = self._server
        ended = verb == 'COMMIT' and self._state == 'E'
        if ended:
            self._state, self._writes = 'I', []
            return ['ERROR ABORTED rolled back']
        if not await server.work(server.work_s()):
            return ['ERROR RETRY busy']
        if not server.alive:
            return ['ERROR FAILED gone']
        signature = f'COMPLETE {server.name}.{identity}'
        if verb == 'READ':
            self._note(identity, 'READ')
            if self._state == 'T' and not self._read_only:
                if not server.is_primary:
                    return ['ERROR READONLY replica']
            return [f'DATAROW {server.read(words[1])}', signature]
        if verb == 'WRITE':
            if not server.is_primary:
                return ['ERROR READONLY replica']
            self._writes.append((words[1], ' '.join(words[2:])))
            self._note(identity, 'WRITE')
            if self._state == 'T':
                return [signature]
        if self._writes and not server.is_primary:
            self._state, self._writes = 'I', []
            return ['ERROR READONLY replica']
        writes, self._writes = self._writes, []
        self._state = 'I'
        if writes:
            await server.commit(identity, writes)
        self._note(identity, 'COMMIT')
        return [signature]


def _position(text):
    term, _, number = text.partition('.')
    return int(term), int(number)
