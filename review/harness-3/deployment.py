"""A small deployment of separate processes on loopback addresses.

The proxies are started with the command of `deploy/system.toml`, at the root of
the repository, with `target/deps` on Python's path.
"""

import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import tomllib
import urllib.request
from http import client

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
PIPED = ('standins', 'other')  # their first line is read
SETTINGS = """
nodeName = "{name}"
role = "proxy"
machineClass = "frontend"
serves = ["frontend"]
ip = "{host}"
zone = "z1"
region = "r1"
internalPorts = [{peers}, {peers}]
bootstrap = {bootstrap}
heartbeatMs = 1200
contracts = {contracts}
[listenAddrs]
front = "{host}:{front}"
ready = "{host}:{ready}"
[limits]
memoryMb = 420
maxFds = 8192
linkMbps = 100.0
[bounds]
{bounds}
[platform]
address = "{store}"
[cloud]
address = "{store}"
"""
# As on the sheet of nitrate-sfx-now-grown.
BOUNDS = {
    'contactMs': 5000,
    'drainMs': 10000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 5000,
    'strictRevoke': True,
    'revokeMs': 5000,
    'quotaWindowS': 5,
    'quotaOverage': 0.1,
    'quotaSlack': 20,
    'recoveryS': 15,
}
CONTRACTS = [
    *('base', 'drain', 'config', 'cost', 'recover', 'health', 'pool'),
    *('sql', 'tenants', 'quota', 'platform'),
]


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def run_command() -> list[str]:
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    words = deploy['roles']['proxy']['run'].split()
    # The command's interpreter is the one that the build has used.
    return [sys.executable if words[0] == 'python3' else words[0], *words[1:]]


def environment(**extra: str) -> dict[str, str]:
    kept = {
        name: os.environ[name]
        for name in ('PATH', 'HOME', 'LANG')
        if name in os.environ
    }
    return {**kept, 'PYTHONPATH': str(ROOT / 'target/deps'), **extra}


class Deployment:
    """The processes of one run; all of them are ended by `stop`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        self.ports: dict[str, list[int]] = {}
        self.bounds: dict[str, dict] = {}
        self.store = ''
        self.store_links: dict[str, str] = {}

    def spawn(self, name: str, words: list[str], **extra: str):
        log = (self.folder / f'{name}.log').open('ab')
        process = subprocess.Popen(
            words,
            cwd=ROOT,
            env=environment(**extra),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE if name in PIPED else log,
            stderr=log,
        )
        log.close()
        self.processes[name] = process
        return process

    def start_standins(self, script: str, connections: int, **extra: str):
        process = self.spawn(
            'standins',
            [sys.executable, '-S', str(ROOT / 'review' / script)]
            + [str(connections)],
            **extra,
        )
        self.store = json.loads(process.stdout.readline())['store']

    def start_other_server(self, service: str, name: str, entries: int) -> str:
        process = self.spawn(
            'other',
            [sys.executable, '-S']
            + [str(ROOT / 'review/harness-3/other_server.py')]
            + [service, name, str(entries)],
        )
        return process.stdout.readline().decode().strip()

    def write_settings(self, name: str, **changed) -> pathlib.Path:
        """Write a proxy's settings, with some of the bounds changed."""
        first = name not in self.ports
        ports = self.ports.setdefault(name, [free_port() for _ in range(4)])
        self.bounds[name] = {**BOUNDS, **self.bounds.get(name, {}), **changed}
        path = self.folder / f'{name}.toml'
        text = SETTINGS.format(
            name=name,
            host=HOST,
            front=ports[0],
            ready=ports[1],
            peers=ports[2],
            contracts=json.dumps(CONTRACTS),
            store=self.store_links.get(name, self.store),
            bootstrap=str(first).lower(),
            bounds='\n'.join(
                f'{key} = {json.dumps(bound)}'
                for key, bound in self.bounds[name].items()
            ),
        )
        # Replaced as a whole, so that nobody reads half of it.
        path.with_suffix('.new').write_text(text)
        path.with_suffix('.new').replace(path)
        return path

    def start_proxy(self, name: str) -> None:
        path = self.write_settings(name)
        self.spawn(
            name,
            run_command(),
            TOUCANDEAL_CONFIG=str(path),
            TOUCANDEAL_METRICS_PORT=str(self.ports[name][3]),
        )

    def is_ready(self, name: str) -> bool:
        url = f'http://{HOST}:{self.ports[name][1]}/toucandeal/readiness'
        try:
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def wait_ready(self, *names: str, seconds: float = 30.0) -> None:
        until = time.monotonic() + seconds
        while not all(map(self.is_ready, names)):
            if time.monotonic() > until:
                raise RuntimeError(f'{names} are not ready')
            time.sleep(0.05)

    def front(self, name: str) -> tuple[str, int]:
        return HOST, self.ports[name][0]

    def signal(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)

    def command(self, path: str, body: dict):
        host, port = self.store.split(':')
        connection = client.HTTPConnection(host, int(port), timeout=10)
        connection.request('POST', path, json.dumps(body))
        answer = json.loads(connection.getresponse().read())
        connection.close()
        return answer

    def put_configuration(self, configuration: dict) -> float:
        """Write `op/config`, as the operator does; return when it was accepted."""
        content = base64.b64encode(json.dumps(configuration).encode()).decode()
        put = {'table': 'op', 'part': '', 'key': 'config', 'value': content}
        self.command('/toucandeal/rows-tx', {'puts': [put]})
        return time.monotonic()

    def stop(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


@contextlib.contextmanager
def deployment(folder: pathlib.Path):
    running = Deployment(folder)
    # A run that is ended from outside ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        yield running
    finally:
        running.stop()


class Session:
    """A client's session; `reply` is None if the connection ended first."""

    def __init__(
        self, address, database: str, key: str = 'client', timeout_s: float = 12.0
    ) -> None:
        self.socket = socket.create_connection(address, timeout_s)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = self.socket.makefile('rb')
        self.socket.sendall(f'STARTUP {database} {key}\r\n'.encode())
        self.opened = self._reply()

    def query(self, identity: str, text: str) -> list[str] | None:
        self.socket.sendall(f'QUERY {identity} {text}\r\n'.encode())
        return self._reply()

    def _reply(self) -> list[str] | None:
        lines: list[str] = []
        while not lines or not lines[-1].startswith('READY'):
            try:
                line = self._file.readline()
            except OSError:
                return None
            if not line.endswith(b'\n'):
                return None
            lines.append(line.decode().rstrip('\r\n'))
        return lines

    def close(self) -> None:
        self._file.close()
        self.socket.close()
