"""Child processes, and blocking HTTP requests to them."""

import contextlib
import fcntl
import functools
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from http import client
from pathlib import Path
from typing import Any

import msgspec

__all__ = ['Process', 'free_port', 'post', 'wait_until']

START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
FIRST_PORT = 21_000
LAST_PORT = 32_000

_RANDOM = random.SystemRandom()
_issued_ports: set[int] = set()


@functools.cache
def _lock_file():
    path = Path(tempfile.gettempdir()) / 'toucandeal-test-ports'
    return path.open('a')


def _reserve(port: int) -> bool:
    """Lock the byte at offset `port`; return whether it was unlocked."""
    try:
        fcntl.lockf(_lock_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def free_port() -> int:
    """Return a free loopback port that was not returned before.

    Notes
    -----
    The caller binds the port only later. Until then the set of issued ports
    protects it in this process, and a file lock, released when the process
    exits, protects it against other test runs.

    The ports lie below the kernel's ephemeral range; otherwise an outgoing
    connection could occupy the port before the caller binds it.
    """
    while True:
        port = _RANDOM.randrange(FIRST_PORT, LAST_PORT)
        if port in _issued_ports or not _reserve(port):
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            _issued_ports.add(port)
            return port


def post(
    address: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 15.0,
    method: str = 'POST',
) -> tuple[int, dict[str, str], Any]:
    """Send one request and return status, headers and decoded body."""
    connection = client.HTTPConnection(address, timeout=timeout_s)
    raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
    try:
        connection.request(
            method, path, None if method == 'GET' else raw, headers or {}
        )
        response = connection.getresponse()
        content = response.read()
    finally:
        connection.close()
    received = {name.lower(): text for name, text in response.getheaders()}
    try:
        return response.status, received, msgspec.json.decode(content)
    except msgspec.DecodeError:
        return response.status, received, content


def wait_until(condition, description: str, timeout_s: float = START_TIMEOUT_S):
    """Poll `condition` until it returns a true value, and return the value.

    Raises
    ------
    TimeoutError
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, client.HTTPException):
            result = condition()
            if result:
                return result
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(
        f'timed out after {timeout_s} s waiting for {description}'
    )


class Process:
    """A child process that runs a Python module."""

    def __init__(self, module: str, *flags: str, log: Path | None = None):
        """Start ``python -m module`` with flags."""
        self._flags = (module, *flags)
        self._log = log
        self.popen: subprocess.Popen | None = None
        self.start()

    @property
    def is_running(self) -> bool:
        """Return whether the process has not exited."""
        return self.popen.poll() is None

    def start(self) -> None:
        """Start the process, or restart it after its exit."""
        output = self._log.open('ab') if self._log else subprocess.DEVNULL
        self.popen = subprocess.Popen(
            [sys.executable, '-m', *self._flags],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            env={**os.environ, 'PYTHONWARNINGS': 'ignore'},
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self, timeout_s: float = 30.0) -> int:
        """Stop the process with SIGTERM and return its exit status."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(timeout_s)
