"""Tests of the port allocation for child processes."""

import json
import subprocess
import sys

from toucandeal_standins import process

# Allocates ports from a small range, so that two runs would collide without a
# lock; prints them, and exits when its standard input closes. The range is not
# used otherwise and suffices for two test runs at once: with 60 ports each, of
# a range in which whole test runs also hold ports, one waited for good.
DRAW_PORTS_SCRIPT = """
import json, sys
from toucandeal_standins import process
process.FIRST_PORT, process.LAST_PORT = 20_000, 20_200
print(json.dumps([process.free_port() for _ in range(40)]), flush=True)
sys.stdin.read()
"""


def test_free_port_returns_each_port_once(monkeypatch):
    monkeypatch.setattr(process, 'LAST_PORT', process.FIRST_PORT + 400)
    ports = [process.free_port() for _ in range(60)]
    assert len(set(ports)) == len(ports)


def test_concurrent_test_runs_get_different_ports():
    runs = [
        subprocess.Popen(
            [sys.executable, '-c', DRAW_PORTS_SCRIPT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        for _ in range(2)
    ]
    first, second = (set(json.loads(run.stdout.readline())) for run in runs)
    for run in runs:
        run.communicate(timeout=10)
    assert not first & second
