"""A small deployment: the system's own program on loopback, and clients."""

import asyncio
import contextlib
import itertools
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from platform_standin import Group, Platform, Server, now

REPOSITORY = Path(__file__).resolve().parents[2]
DEPS = REPOSITORY / 'target' / 'deps'
ZONES = ('lima-a', 'lima-b', 'lima-c')
BOUNDS = """
seedLagS = 3
addrReuseS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 7000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
recoveryS = 12
fencingRequired = false
thawSlackMs = 300
"""
ROUTES = {  # of a group: kind, time-out, latency objective, staleness in ms
    'submit': ('primary', 1600, 200, None),
    'catalog': ('bounded_staleness', 3200, 800, 1500),
    'tender': ('read_your_writes', 1600, 400, 2500),
}
SLOTS = 5
CONNECTIONS = 55
LAG_S = 0.06
PROMOTE_S = 0.3
BEAT_S = 1.2


class CannotRun(Exception):
    """The case can't run; it says nothing about the rule."""


class Deployment:
    """Machines, servers and the platform of one run."""

    def __init__(
        self, folder, record, *, machines=4, groups=1, sync_replicas=0
    ):
        """Set the sizes; `folder` takes settings and logs of the machines."""
        self.folder = Path(folder)
        self.record = record
        self.platform = Platform(record)
        self.processes = {}
        self.machines = [f'm{number + 1}' for number in range(machines)]
        self.hosts = {}
        self.ports = {}
        self.groups = []
        self._addresses = {}
        self._group_count = groups
        self._sync_replicas = sync_replicas
        self._beats = None
        self._logs = []
        self._started = set()

    async def start(self, work_s=lambda: 0.011):
        """Start the servers, then all machines; wait until all are ready."""
        network = f'127.{random.randrange(16, 250)}.{random.randrange(1, 250)}'
        for index in range(self._group_count):
            group = Group(
                self.platform,
                f'spec{"abcdef"[index]}',
                lag_s=LAG_S,
                promote_s=PROMOTE_S,
                sync_replicas=self._sync_replicas,
            )
            self.groups.append(group)
            for number, zone in enumerate(ZONES):
                server = Server(
                    group,
                    f'i-{group.name}{number + 1}',
                    zone,
                    slots=SLOTS,
                    connections=CONNECTIONS,
                    work_s=work_s,
                )
                server.is_primary = number == 0
                await server.start(f'{network}.{100 + index * 10 + number}')
        self.configure(1)
        self._beats = asyncio.ensure_future(self._beat())
        for number, name in enumerate(self.machines):
            self.hosts[name] = f'{network}.{10 + number}'
            self._addresses[name] = await self.platform.listen(
                f'{network}.{200 + number}', name
            )
            self.start_machine(name)
        await self.wait_for(
            lambda: asyncio.gather(*map(self.ready, self.machines)), 20
        )
        await asyncio.sleep(3)  # until all machines count each other

    def configure(self, version):
        """Write the operator's configuration."""
        routes = [
            {
                'name': f'r-{group.name}-{database}',
                'host': f'{group.name}-{database}',
                'pathPrefix': '/',
                'routeType': kind,
                'timeoutMs': timeout_ms,
                'targetLatencyMs': objective_ms,
                'priority': 1,
                'backend': group.name,
                'maxAttempts': 2,
                **({} if staleness is None else {'maxStalenessMs': staleness}),
            }
            for group in self.groups
            for database, (kind, timeout_ms, objective_ms, staleness) in (
                ROUTES.items()
            )
        ]
        backends = [
            {
                'name': group.name,
                'healthPath': '/health',
                'maxConns': CONNECTIONS,
                'protocol': 'h1',
                'tls': False,
                'syncReplicas': group.sync_replicas,
            }
            for group in self.groups
        ]
        self.platform.put(
            'op',
            'config',
            {
                'version': version,
                'routes': routes,
                'backends': backends,
                'limits': {'txIdleMs': 3000},
            },
        )

    def start_machine(self, name):
        """Start the system's program as the deploy file says."""
        ports = self.ports.setdefault(name, _free_ports(self.hosts[name], 4))
        host = self.hosts[name]
        store, cloud = self._addresses[name]
        zone = ZONES[self.machines.index(name) % len(ZONES)]
        first = str(name not in self._started).lower()
        self._started.add(name)
        zones = '\n'.join(f'{each} = "lima"' for each in ZONES)
        path = self.folder / f'{name}.toml'
        path.write_text(f"""
nodeName = "{name}"
role = "proxy"
machineClass = "frontend"
serves = ["frontend"]
ip = "{host}"
zone = "{zone}"
region = "lima"
internalPorts = [{ports[2]}, {ports[2]}]
seeds = []
bootstrap = {first}
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
{zones}
[listenAddrs]
front = "{host}:{ports[0]}"
ready = "{host}:{ports[1]}"
[limits]
cpuShare = 0.81
cores = 2
memoryMb = 430
maxFds = 6300
linkMbps = 1500.0
diskMb = 0
[bounds]
{BOUNDS}
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
historyS = 20
[cloud]
address = "{cloud}"
""")
        log = (self.folder / f'{name}.log').open('ab')
        self._logs.append(log)
        self.processes[name] = subprocess.Popen(
            ['python3', '-S', '-m', 'toucandeal_platform'],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            cwd=REPOSITORY,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(DEPS),
                'TOUCANDEAL_CONFIG': str(path),
                'TOUCANDEAL_METRICS_PORT': str(ports[3]),
            },
        )

    def signal(self, name, number):
        """Send a signal to the process of a machine."""
        self.record(f'{signal.Signals(number).name} to {name}')
        self.processes[name].send_signal(number)

    async def ready(self, name):
        """Return whether the probe of a machine succeeds."""
        try:
            reader, writer = await asyncio.open_connection(
                self.hosts[name], self.ports[name][1]
            )
        except OSError:
            return False
        writer.write(b'GET /toucandeal/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
        try:
            line = await asyncio.wait_for(reader.readline(), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()
        return b' 200 ' in line

    async def wait_for(self, condition, seconds):
        """Wait until a condition (a coroutine of a list of bools) holds."""
        until = now() + seconds
        while not all(await condition()):
            if now() > until:
                raise CannotRun('the machines are not ready in time')
            await asyncio.sleep(0.1)

    def log(self, name):
        """Return the log of a machine."""
        return (self.folder / f'{name}.log').read_text()

    def close(self):
        """Kill the processes that this deployment started."""
        if self._beats is not None:
            self._beats.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for log in self._logs:
            log.close()
        self.platform.close()

    async def _beat(self):
        """Let the live servers report, and expire the entries of dead ones."""
        dead_since = {}
        while True:
            for group in self.groups:
                for server in group.servers.values():
                    if server.alive:
                        server.report()
                        continue
                    since = dead_since.setdefault(server.name, now())
                    if now() - since > 3 * BEAT_S:
                        self.platform.remove('servers', server.name)
            await asyncio.sleep(BEAT_S)


class Reply:
    """The answer to a message; `complete` is whether it ended with READY."""

    def __init__(self, lines):
        """Decode the lines of an answer."""
        self.rows = [line[8:] for line in lines if line.startswith('DATAROW ')]
        self.outcome = next(
            (line for line in lines if line.startswith(('COMPLETE', 'ERROR'))),
            '',
        )
        self.complete = bool(lines) and lines[-1].startswith('READY')
        self.state = lines[-1].split(' ')[1] if self.complete else ''
        self.ok = self.complete and not self.outcome.startswith('ERROR')


class Session:
    """A client's session; one request at a time."""

    _identities = itertools.count(1)

    def __init__(self, reader, writer):
        """Initialize with an open connection."""
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, deployment, machine, database):
        """Connect to a machine and start a session, or return None."""
        try:
            reader, writer = await asyncio.open_connection(
                deployment.hosts[machine], deployment.ports[machine][0]
            )
        except OSError:
            return None
        session = cls(reader, writer)
        writer.write(f'STARTUP {database} u1\r\n'.encode())
        reply = await session._reply()
        if reply.complete:
            return session
        session.close()
        return None

    @classmethod
    def identity(cls):
        """Return a new identity of a request."""
        return f'{next(cls._identities):016x}'

    async def query(self, text, identity=None):
        """Send a request and return its answer."""
        identity = identity or self.identity()
        with contextlib.suppress(ConnectionError):
            self._writer.write(f'QUERY {identity} {text}\r\n'.encode())
        return await self._reply()

    def close(self):
        """Close the connection."""
        self._writer.close()

    async def _reply(self):
        lines = []
        with contextlib.suppress(ConnectionError):
            while not (lines and lines[-1].startswith('READY')):
                line = await self._reader.readline()
                if not line.endswith(b'\r\n'):
                    break
                lines.append(line.decode()[:-2])
        return Reply(lines)


def _free_ports(host, count):
    sockets = []
    for _ in range(count):
        opened = socket.socket()
        opened.bind((host, 0))
        sockets.append(opened)
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


async def _until_stopped(work):
    """Await a coroutine; SIGTERM cancels it, so that it ends its processes."""
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    return await work


def run_case(play, folder, *, trouble):
    """Play a case; write the record and exit with the case's status.

    `play` takes the record, whether to bring the disruption about, and a
    temporary folder. It returns the sentences that say how the rule was broken.
    """
    began = time.monotonic()
    with (Path(folder) / 'record.txt').open('w') as lines:

        def record(text):
            lines.write(f'{time.monotonic() - began:8.3f} {text}\n')
            lines.flush()

        record(f'the disruption is {"on" if trouble else "off"}')
        try:
            if not DEPS.is_dir():
                raise CannotRun('target/deps is missing; build first')
            with tempfile.TemporaryDirectory() as temporary:
                broken = asyncio.run(
                    _until_stopped(play(record, trouble, temporary))
                )
        except (CannotRun, OSError, asyncio.CancelledError) as error:
            record(f'the case could not run: {error!r}')
            sys.exit(2)
        for sentence in broken:
            record(f'BROKEN: {sentence}')
        record('the rule was broken' if broken else 'the rule held')
    sys.exit(1 if broken else 0)
