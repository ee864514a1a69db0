"""Processes that this one starts, and blocking requests to them."""

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
WAIT_STEP_S = 0.02
FIRST_PORT = 21_000
LAST_PORT = 32_000

_PORTS = random.SystemRandom()
_given_out: set[int] = set()


@functools.cache
def _reservations():
    path = Path(tempfile.gettempdir()) / 'toucandeal-test-ports'
    return path.open('a')


def _reserve(port: int) -> bool:
    """Lock the byte that stands for a port; return whether it was free."""
    try:
        fcntl.lockf(_reservations(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def free_port() -> int:
    """Return a loopback port that is free now, another one each time.

    Notes
    -----
    A port that was given out is listened on later, so it is remembered here,
    and reserved against other test runs by a lock that ends with the process.

    The port lies below those that the kernel gives to outgoing connections,
    or one of these could take it before it is listened on.
    """
    while True:
        port = _PORTS.randrange(FIRST_PORT, LAST_PORT)
        if port in _given_out or not _reserve(port):
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            _given_out.add(port)
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


def wait_until(condition, what: str, timeout_s: float = START_TIMEOUT_S):
    """Wait until `condition` returns something true, and return that.

    Raises
    ------
    TimeoutError
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, client.HTTPException):
            outcome = condition()
            if outcome:
                return outcome
        time.sleep(WAIT_STEP_S)
    raise TimeoutError(f'waited {timeout_s} s for {what}')


class Process:
    """A process that this one started."""

    def __init__(self, module: str, *flags: str, log: Path | None = None):
        """Start ``python -m module`` with flags."""
        self._flags = (module, *flags)
        self._log = log
        self.popen: subprocess.Popen | None = None
        self.start()

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.popen.poll() is None

    def start(self) -> None:
        """Start the process, again if it has ended."""
        output = self._log.open('ab') if self._log else subprocess.DEVNULL
        self.popen = subprocess.Popen(
            [sys.executable, '-m', *self._flags],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            env={**os.environ, 'PYTHONWARNINGS': 'ignore'},
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self, timeout_s: float = 30.0) -> int:
        """End the process gracefully and return its exit status."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(timeout_s)
