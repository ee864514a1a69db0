"""Processes of the tests."""

import json
import subprocess
import sys

from toucandeal_standins import process

# Draws ports from a small range, prints them, and ends with its input.
DRAW = """
import json, sys
from toucandeal_standins import process
process.LAST_PORT = process.FIRST_PORT + 200
print(json.dumps([process.free_port() for _ in range(60)]), flush=True)
sys.stdin.read()
"""


def test_no_port_is_given_out_twice(monkeypatch):
    monkeypatch.setattr(process, 'LAST_PORT', process.FIRST_PORT + 400)
    ports = [process.free_port() for _ in range(60)]
    assert len(set(ports)) == len(ports)


def test_two_test_runs_get_different_ports():
    runs = [
        subprocess.Popen(
            [sys.executable, '-c', DRAW],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        for _ in range(2)
    ]
    first, second = (set(json.loads(run.stdout.readline())) for run in runs)
    for run in runs:
        run.communicate(timeout=10)
    assert not first & second
