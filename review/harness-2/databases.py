"""Stand-ins of the database servers of a service, as PROTOCOL.md has them.

A commit gets the next number of the primary's log. Replicas receive it over the
network and apply it later. With `sync_replicas` 1, a commit is acknowledged once
one replica has received it.
"""

import asyncio
import itertools
from typing import NamedTuple

RECEIVE_S = 0.002  # from the primary's log to a replica
HANDSHAKE_S = 0.012
STEP_DOWN_S = 1.0  # an old primary goes on until it has reached the new one
REACH_INTERVAL_S = 0.05
QUEUE = 24  # statements that wait for a slot


class Entry(NamedTuple):
    """A commit in a log."""

    term: int
    number: int
    writes: tuple  # of (request id, item, data)


class Service:
    """A replicated group of servers."""

    def __init__(self, name, record, *, sync_replicas=0, promote_s=0.3):
        self.name = name
        self.sync_replicas = sync_replicas
        self.promote_s = promote_s
        self.servers = {}
        self.record = record
        self.on_role = lambda server: None
        self.promotions = []
        # Every statement with a client's id that a server ran: the id, the text,
        # the server, and the user of the connection.
        self.runs = []

    def add(self, server):
        """Add a server; the first one is the primary."""
        server.is_primary = not self.servers
        self.servers[server.name] = server

    def newest_primary(self):
        """Return the running primary of the highest term, or None."""
        leaders = [each for each in self.servers.values() if each.is_primary]
        return max(leaders, key=lambda each: each.term, default=None)

    async def promote(self, name):
        """Promote a server; return the status of the call."""
        server = self.servers[name]
        if server.is_dark:
            return 409
        if server.is_primary and self.newest_primary() is server:
            return 200
        asyncio.get_running_loop().call_later(self.promote_s, self._take_effect, server)
        return 200

    def _take_effect(self, server):
        if server.is_dark:
            return
        server.term = 1 + max(each.term for each in self.servers.values())
        server.is_primary = True
        server.applied = len(server.log)
        self.promotions.append((self.record.now, server.name, server.term, list(server.log)))
        self.record('promoted', server=server.name, term=server.term, log=len(server.log))
        self.on_role(server)
        for each in self.servers.values():
            if each is not server and each.is_primary:
                asyncio.ensure_future(self._supersede(each, server))

    async def _supersede(self, old, new):
        reached_s = 0.0
        while old.is_primary and reached_s < STEP_DOWN_S:
            await asyncio.sleep(REACH_INTERVAL_S)
            reached_s = reached_s + REACH_INTERVAL_S if _reaches(new, old) else 0.0
        if old.is_primary and old is not self.newest_primary():
            old.step_down()

    async def replicate(self):
        """Let replicas receive and apply the newest primary's log."""
        while True:
            await asyncio.sleep(RECEIVE_S)
            leaders = sorted(
                (each for each in self.servers.values() if each.is_primary),
                key=lambda each: each.term,
            )
            for replica in self.servers.values():
                if replica.is_primary:
                    continue
                for leader in reversed(leaders):
                    if _reaches(leader, replica) and leader.term >= replica.term:
                        replica.receive(leader)
                        break


def _reaches(primary, server):
    return not (primary.is_dark or server.is_dark or server.is_deaf)


class Server:
    """A database server.

    `is_dark`: it neither answers nor takes part in replication; its log stays.
    `is_deaf`: it receives nothing from the primary.
    """

    def __init__(self, service, name, zone, *, slots=3, max_connections=50, lag_s=0.02, work_s=0.004):
        self.service = service
        self.name = name
        self.zone = zone
        self.slots = slots
        self.max_connections = max_connections
        self.lag_s = lag_s
        self.work_s = work_s
        self.address = ''
        self.is_primary = False
        self.is_dark = False
        self.is_deaf = False
        self.state = 'ready'
        self.term = 1
        self.log = []
        self.applied = 0
        self.sessions = set()
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._received = asyncio.Condition()
        self._signatures = itertools.count(1)
        service.add(self)

    async def listen(self, host):
        """Listen on a free port of a loopback address."""
        listening = await asyncio.start_server(self._serve, host, 0)
        self.address = '%s:%d' % listening.sockets[0].getsockname()

    def entry(self, seq):
        """Return what the server writes to the store about itself."""
        return {
            'backend': self.service.name,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'dbRole': 'primary' if self.is_primary else 'replica',
            'seqNo': seq,
            'born': 1_700_000_000_000,
        }

    def go_dark(self):
        """Stop answering; connections hang, as behind a lost machine."""
        self.is_dark = True
        self.service.record('dark', server=self.name, log=len(self.log))

    def come_back(self):
        """Start again with the log, as a replica if another one leads."""
        self.is_dark = False
        for session in tuple(self.sessions):
            session.transport.abort()
        self.sessions.clear()
        newest = self.service.newest_primary()
        if self.is_primary and newest is not self:
            self.step_down()
        self.service.record('back', server=self.name, primary=self.is_primary)

    def step_down(self):
        """Become a replica."""
        self.is_primary = False
        self.service.record('stepped down', server=self.name)
        self.service.on_role(self)

    def receive(self, leader):
        """Receive the log of a primary, and roll back what it lacks."""
        if self.term == leader.term and len(self.log) == len(leader.log):
            return
        common = 0
        if self.term == leader.term:
            common = len(self.log)
        else:
            for own, theirs in zip(self.log, leader.log):
                if own != theirs:
                    break
                common += 1
        self.applied = min(self.applied, common)
        self.log = self.log[:common] + leader.log[common:]
        self.term = leader.term
        asyncio.get_running_loop().call_later(self.lag_s, self._apply, len(self.log), self.term)
        asyncio.ensure_future(self._notify(leader))

    async def _notify(self, leader):
        async with leader._received:
            leader._received.notify_all()

    def _apply(self, length, term):
        if not self.is_primary and term == self.term:
            self.applied = max(self.applied, min(length, len(self.log)))

    @property
    def position(self):
        """Return the position of the applied log."""
        return self._position_at(self.applied)

    def _position_at(self, length):
        if not length:
            return '1.0'
        last = self.log[length - 1]
        return f'{last.term}.{last.number}'

    def lacks(self, position):
        """Return whether the applied log lacks a position."""
        term, number = map(int, position.split('.'))
        if number == 0:
            return False
        if number > self.applied:
            return True
        return self.log[number - 1].term < term

    async def commit(self, writes):
        """Commit writes; return once they may be acknowledged."""
        entry = Entry(self.term, len(self.log) + 1, tuple(writes))
        self.log.append(entry)
        self.applied = len(self.log)
        if self.service.sync_replicas:
            async with self._received:
                await self._received.wait_for(lambda: self._is_received(entry))
        return f'{entry.term}.{entry.number}'

    def _is_received(self, entry):
        return any(
            len(each.log) >= entry.number and each.log[entry.number - 1] == entry
            for each in self.service.servers.values()
            if each is not self and not each.is_dark
        )

    def signature(self):
        """Return a signature that no other answer has."""
        return f'{self.name}.{next(self._signatures):x}'

    async def slot(self):
        """Return a slot, or None if the queue for them is full."""
        if self._slots.locked() and self._waiting >= QUEUE:
            return None
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        return self._slots

    async def _serve(self, reader, writer):
        session = _Session(self, reader, writer)
        try:
            await session.run()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.LimitOverrunError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.sessions.discard(writer)
            writer.close()


class _Session:
    """A connection to a server."""

    def __init__(self, server, reader, writer):
        self.server = server
        self.reader = reader
        self.writer = writer
        self.user = ''
        self.state = 'I'
        self.read_only = False
        self.writes = []
        self.values = {}
        self.prepared = {}

    async def run(self):
        server = self.server
        line = await self._line()
        word, service, self.user, name = (line.split(' ', 3) + ['', '', ''])[:4]
        server.sessions.add(self.writer)
        if word != 'STARTUP' or service != server.service.name or name not in ('', server.name):
            self._send(f'ERROR WRONGNODE {server.name}')
            return
        if len(server.sessions) > server.max_connections:
            self._send('ERROR TOOMANYCON full')
            return
        await asyncio.sleep(HANDSHAKE_S)
        self._send(f'READY I {server.position}')
        while True:
            line = await self._line()
            word, identity, text = (line.split(' ', 2) + ['', ''])[:3]
            if word == 'TERMINATE':
                return
            outcome = await self._query(identity, text)
            if outcome[0].startswith('ERROR') and self.state == 'T':
                self.state = 'E'
                self.writes = []
            await self._while_dark()
            self._send(*outcome, f'READY {self.state} {server.position}')

    async def _line(self):
        line = (await self.reader.readuntil(b'\r\n')).decode()[:-2]
        await self._while_dark()
        return line

    async def _while_dark(self):
        while self.server.is_dark:
            await asyncio.sleep(0.02)
            if self.writer.transport.is_closing():
                raise ConnectionResetError

    def _send(self, *lines):
        self.writer.write(''.join(f'{line}\r\n' for line in lines).encode())

    async def _query(self, identity, text):
        server = self.server
        after = ''
        if text.startswith('WAITLSN '):
            _, after, text = text.split(' ', 2)
        verb, _, rest = text.partition(' ')
        if self.state == 'E' and verb not in ('COMMIT', 'ROLLBACK'):
            return ['ERROR MALFORMED the transaction failed']
        if after and server.lacks(after):
            return ['ERROR LAGGING behind']
        if verb in ('READ', 'WRITE', 'EXECUTE', 'COMMIT', 'STATUS'):
            slot = await server.slot()
            if slot is None:
                return ['ERROR RETRY the queue is full']
            try:
                if verb != 'STATUS':
                    await asyncio.sleep(server.work_s)
                    await self._while_dark()
                return await self._work(identity, verb, rest)
            finally:
                slot.release()
        return self._set_up(verb, rest)

    async def _work(self, identity, verb, rest):
        server = self.server
        if verb == 'STATUS':
            role = 'primary' if server.is_primary else 'replica'
            received = server._position_at(len(server.log))
            busy = server.slots - server._slots._value
            return [
                f'DATAROW {role} {server.term} {received} 0 0 {busy} {len(server.sessions)}',
                'COMPLETE -',
            ]
        server.service.runs.append((identity, f'{verb} {rest}', server.name, self.user))
        if not identity.startswith('e'):  # of callers that keep no record
            server.service.record(
                'ran', id=identity, text=repr(f'{verb} {rest}'), server=server.name, user=self.user
            )
        if verb == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in self.prepared:
                return ['ERROR NOSUCHSTMT unknown']
            verb = self.prepared[name][0]
        lost_lead = self.state == 'T' and not self.read_only and not server.is_primary
        if lost_lead and not (verb == 'COMMIT' and not self.writes):
            if verb == 'COMMIT':
                self.state, self.writes = 'I', []
            return [f'ERROR READONLY {server.name}']
        if verb == 'READ':
            return [f'DATAROW {self._value(rest)}', f'COMPLETE {server.signature()}']
        if verb == 'WRITE':
            if not server.is_primary or self.read_only:
                return [f'ERROR READONLY {server.name}']
            item, _, data = rest.partition(' ')
            if self.state == 'T':
                self.writes.append((identity, item, data))
            else:
                await server.commit([(identity, item, data)])
            return [f'COMPLETE {server.signature()}']
        if self.state == 'E':
            self.state = 'I'
            return ['ERROR ABORTED the transaction failed']
        writes, self.writes, self.state = self.writes, [], 'I'
        if writes:
            await server.commit(writes)
        return [f'COMPLETE {server.signature()}']

    def _value(self, item):
        for entry in reversed(self.server.log[: self.server.applied]):
            for _, name, data in reversed(entry.writes):
                if name == item:
                    return data
        return 'none'

    def _set_up(self, verb, rest):
        server = self.server
        if verb == 'BEGIN':
            self.read_only = rest == 'READ'
            if not self.read_only and not server.is_primary:
                return [f'ERROR READONLY {server.name}']
            self.state = 'T'
        elif verb == 'ROLLBACK':
            self.state, self.writes = 'I', []
        elif verb == 'SET':
            name, _, setting = rest.partition(' ')
            self.values[name] = setting
        elif verb == 'PREPARE':
            name, kind, shape = rest.split(' ', 2)
            self.prepared[name] = (kind, shape)
        elif verb == 'DEALLOC':
            if self.prepared.pop(rest, None) is None:
                return ['ERROR NOSUCHSTMT unknown']
        elif verb == 'RESET':
            self.values.clear()
            self.prepared.clear()
        elif verb == 'STEPDOWN':
            if server.is_primary and server.term < int(rest):
                server.step_down()
        else:
            return ['ERROR MALFORMED unknown']
        return ['COMPLETE -']
