"""A small deployment on loopback: stand-ins, proxies and callers.

The stand-ins and the callers run in this process, the proxies as processes of
their own with the command of the deploy file. Nothing but the standard library
is used.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

import databases
import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BEAT_S = 1.2  # heartbeatMs of the sheets
LAPSE_BEATS = 3
RUN_LIMIT_S = 110.0
_SETTINGS = '''
nodeName = "{name}"
role = "proxy"
machineClass = "frontend"
serves = ["frontend"]
ip = "{ip}"
zone = "{zone}"
region = "r1"
internalPorts = [7440, 7455]
seeds = []
bootstrap = {bootstrap}
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","health","pool","sql","tenants","quota","pressure","platform"]
[zones]
z1 = "r1"
z2 = "r1"
z3 = "r1"
[listenAddrs]
front = "{ip}:8784"
ready = "{ip}:8785"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 420
maxFds = 8192
linkMbps = 100.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 5000
ackMs = 8000
catchUpS = 6
drainMs = 10000
graceS = 6
lossSlackMs = 200
configApplyMs = 5000
rollbackSlackMs = 250
maxSkewMs = 15000
recoveryS = 15
fencingRequired = false
thawSlackMs = 300
strictRevoke = true
revokeMs = 5000
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 20
[platform]
address = "{store}"
form = "table"
writesPerS = 1200
readsPerS = 6000
txLatencyMs = 5.0
partitionWritesS = 200
maxRowBytes = 65536
across = false
historyS = 20
maxBlobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
[cloud]
address = "{store}"
ratePerS = 50.0
duties = ["failover"]
dutyPerS = 50.0
'''


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._began_at = time.monotonic()

    @property
    def now(self):
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._began_at

    def __call__(self, kind, /, **fields):
        """Add a line."""
        shown = ' '.join(f'{name}={text}' for name, text in fields.items())
        self._file.write(f'{self.now:8.3f} {kind} {shown}\n')

    def close(self):
        """Write the file."""
        self._file.close()


class World:
    """The store, the services, the proxies and the addresses of a run."""

    def __init__(self, folder, temporary):
        self.record = Record(folder)
        self.temporary = pathlib.Path(temporary)
        # A loopback network of this run, so that fixed ports are free.
        self._network = f'127.{random.randrange(2, 250)}.{random.randrange(256)}'
        self._hosts = iter(range(1, 250))
        self.services = {}
        self.store = store.Store(self.record, self._promote)
        self.store_address = ''
        self.orders = []
        self.proxies = {}
        self.helpers = []
        self.ips = {}
        self.zones = {}
        self.failures = []  # of this program's own tasks
        self.on_started = lambda name: None  # called once, at its first start
        self._started = set()
        self._tasks = []

    def host(self):
        """Return the next loopback address."""
        return f'{self._network}.{next(self._hosts)}'

    def background(self, work):
        """Run a coroutine until the end of the run."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        task.add_done_callback(self._note_failure)
        return task

    def _note_failure(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(task.exception())

    async def start(self, names, routes, services, *, zones=('z1', 'z2', 'z3'), tenants, tx_idle_ms=3000, **server_settings):
        """Start the stand-ins and the proxies.

        `routes` maps a database to its fields, `services` a service to its
        fields `sync` and `max_conns`.
        """
        self.store_address = await self.store.listen(self.host())
        for name, fields in services.items():
            service = databases.Service(name, self.record, sync_replicas=fields.get('sync', 0))
            service.on_role = self._register
            self.services[name] = service
            for index, zone in enumerate(zones):
                server = databases.Server(
                    service, f'i-{name}{index + 1}', zone,
                    max_connections=fields.get('max_conns', 50), **server_settings,
                )
                await server.listen(self.host())
            self.background(service.replicate())
        self.store.put('op', 'config', {
            'version': 7,
            'routes': [{'name': f'r-{host}', 'host': host, 'pathPrefix': '/', 'maxAttempts': 2, **fields}
                       for host, fields in routes.items()],
            'backends': [{'name': name, 'healthPath': '/health', 'maxConns': fields.get('max_conns', 50),
                          'protocol': 'h1', 'tls': False, 'syncReplicas': fields.get('sync', 0)}
                         for name, fields in services.items()],
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144, 'headerTimeoutMs': 3000,
                       'idleTimeoutMs': 15000, 'txIdleMs': tx_idle_ms},
            'tenants': tenants,
        })
        for service in self.services.values():
            for server in service.servers.values():
                self.background(self._beat(server))
        for index, name in enumerate(names):
            self.ips[name] = self.host()
            self.zones[name] = zones[index % len(zones)]
            self.start_proxy(name)
        await asyncio.gather(*(self.until_ready(name) for name in names))

    def start_proxy(self, name):
        """Start a proxy with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        path = self.temporary / f'{name}.toml'
        path.write_text(_SETTINGS.format(
            name=name, ip=self.ips[name], zone=self.zones[name], store=self.store_address,
            bootstrap=str(name not in self._started).lower(),
        ))
        kept = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        log = (self.temporary / f'{name}.log').open('ab')
        self.proxies[name] = subprocess.Popen(
            deploy['roles']['proxy']['run'].split(' '),
            cwd=ROOT,
            env={**kept, 'PYTHONPATH': str(ROOT / 'target' / 'deps'), 'TOUCANDEAL_CONFIG': str(path)},
            stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )
        log.close()
        self.record('proxy started', name=name)
        if name not in self._started:
            self._started.add(name)
            self.on_started(name)

    def start_helper(self, *arguments):
        """Start callers of their own process; it ends with the run."""
        self.helpers.append(subprocess.Popen(
            [sys.executable, *arguments], stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
        ))

    def signal(self, name, number):
        """Send a signal to a proxy."""
        self.record('signal', name=name, signal=signal.Signals(number).name)
        self.proxies[name].send_signal(number)

    async def is_ready(self, name):
        """Return whether a proxy's probe answers 200."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ips[name], 8785), 1)
            writer.write(b'GET /toucandeal/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b' 200 ' in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def until_ready(self, name, seconds=30.0):
        """Wait until a proxy is ready."""
        ends_at = time.monotonic() + seconds
        while not await self.is_ready(name):
            if time.monotonic() > ends_at:
                raise CannotRun(f'{name} is not ready')
            await asyncio.sleep(0.1)

    async def caller(self, name, database, key):
        """Return a session at a proxy."""
        session = Caller(self.record, name)
        await session.open(self.ips[name], database, key)
        return session

    async def _promote(self, backend, server, holder, token):
        status = await self.services[backend].promote(server)
        self.orders.append((self.record.now, holder, token, backend, server, status))
        self.record('order', holder=holder, token=token, server=server, status=status)
        return status

    def _register(self, server):
        if server.address and not server.is_dark:
            self.store.put('servers', server.name, server.entry(int(self.record.now * 1000)))

    async def _beat(self, server):
        """Keep a server's entry as the platform and the server do."""
        silent = 0
        while True:
            present = ('servers', '', server.name) in self.store.rows
            if server.is_dark:
                silent += 1
                if silent > LAPSE_BEATS and present:
                    self.store.remove('servers', server.name)
                    self.record('entry lapsed', server=server.name)
            else:
                silent = 0
                self._register(server)
            await asyncio.sleep(BEAT_S)

    def stop(self):
        """End all processes that this run has started."""
        for process in [*self.proxies.values(), *self.helpers]:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for task in self._tasks:
            task.cancel()


class CannotRun(Exception):
    """The case could not run."""


class Reply:
    """A reply: `code` is ``ok``, an error code, or ``closed``."""

    def __init__(self, lines):
        self.rows = [line[8:] for line in lines if line.startswith('DATAROW')]
        outcome = next((line for line in lines if line.startswith(('COMPLETE', 'ERROR'))), '')
        self.text = outcome
        self.state = lines[-1].split(' ')[1] if lines and lines[-1].startswith('READY') else ''
        if not lines:
            self.code = 'closed'
        elif outcome.startswith('ERROR'):
            self.code = outcome.split(' ')[1]
        else:
            self.code = 'ok'


class Caller:
    """A caller's session at a proxy."""

    numbers = iter(range(1, 10_000_000))

    def __init__(self, record, proxy):
        self._record = record
        self._proxy = proxy
        self._reader = None
        self._writer = None

    async def open(self, ip, database, key):
        """Connect and open a session."""
        self._reader, self._writer = await asyncio.open_connection(ip, 8784)
        self._writer.write(f'STARTUP {database} {key}\r\n'.encode())
        reply = await asyncio.wait_for(self._reply(), 3)
        if reply.code != 'ok':
            raise ConnectionError(reply.text or 'closed')

    async def query(self, text, timeout_s=10.0):
        """Send a statement; return its id and its reply."""
        identity = f'{next(self.numbers):016x}'
        self._record('sent', id=identity, proxy=self._proxy, text=repr(text))
        try:
            self._writer.write(f'QUERY {identity} {text}\r\n'.encode())
            reply = await asyncio.wait_for(self._reply(), timeout_s)
        except asyncio.TimeoutError:
            reply = Reply([])
            reply.code = 'no answer'
        self._record('answered', id=identity, code=reply.code, rows=reply.rows, text=repr(reply.text[:120]))
        return identity, reply

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def _reply(self):
        lines = []
        try:
            while not lines or not lines[-1].startswith('READY'):
                line = await self._reader.readuntil(b'\r\n')
                lines.append(line.decode()[:-2])
        except (asyncio.IncompleteReadError, ConnectionError):
            self._writer.close()
        return Reply(lines)


def run(folder, case):
    """Run a case, and exit with 0 if the rule held, 1 if not, 2 if it can't run.

    `case` is an async function of a world that returns what broke, or ''.
    """
    # So that the processes are ended if the case is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with contextlib.ExitStack() as stack:
        temporary = stack.enter_context(tempfile.TemporaryDirectory(prefix='review-'))

        async def play():
            world = World(folder, temporary)
            try:
                broken = await asyncio.wait_for(case(world), RUN_LIMIT_S)
                if world.failures:
                    raise world.failures[0]
                world.record('result', broken=broken or 'no')
                return broken
            finally:
                world.stop()
                world.record.close()
                kept = os.environ.get('KEEP_LOGS')
                if kept:
                    for log in world.temporary.glob('*.log'):
                        (pathlib.Path(kept) / log.name).write_bytes(log.read_bytes())

        try:
            broken = asyncio.run(play())
        except Exception as error:  # noqa: BLE001 - any of them means the same
            print(f'the case could not run: {error!r}')
            sys.exit(2)
    print(f'broken: {broken}' if broken else 'the rule held')
    sys.exit(1 if broken else 0)
