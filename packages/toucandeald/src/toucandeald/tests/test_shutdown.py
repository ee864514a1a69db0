"""The stop of a proxy whose callers have transactions open."""

import random
from collections import Counter

import pytest
from twisted.internet.task import Clock

from toucandeal import engine
from toucandeal.entities import Transaction
from toucandeal.policies import Policies
from toucandeal.tables import ProxyIdentity, Tables
from toucandeald import shutdown as shutdown_module
from toucandeald.shutdown import DRAIN_GRACE_S, Shutdown
from toucandeald.web import Connections

TIMEOUT_S = 30.0
STEP_S = 0.5


class Runtime:
    """The tables of a process without requests in flight."""

    in_flight = 0

    def __init__(self, clock):
        self.tables = Tables(ProxyIdentity('p1', 1, '', '', 'z1'), Policies())
        self._clock = clock

    def process(self, event):
        """Apply an event."""
        event(
            engine.begin_frame(
                self.tables, self._clock.seconds(), random.Random(1)
            )
        )


class Membership:
    """Sends no heartbeats."""

    def send_heartbeats(self):
        """Ignore the start of the drain."""


class Lifecycle:
    """Counts the inputs."""

    def __init__(self):
        self.inputs = Counter()

    def drained(self):
        """Count the end of the drain."""
        self.inputs['drained'] += 1


@pytest.mark.parametrize(('busy', 'ends_after_s'), [(False, 16), (True, 30)])
def test_open_transactions_end_at_half_of_the_timeout(
    monkeypatch, busy, ends_after_s
):
    # Guards against statements of open transactions that are forwarded until
    # the process exits, which leaves them without a reply.
    checks = []
    monkeypatch.setattr(
        shutdown_module, 'call_every', lambda _, check: checks.append(check)
    )
    clock = Clock()
    runtime = Runtime(clock)
    runtime.tables.transactions['t'] = Transaction(
        't', 'caller', None, 'key', 'r1', 1, clock.seconds(), busy=busy
    )
    stopping = Shutdown(clock, runtime, Connections(), Membership(), TIMEOUT_S)
    stopping.lifecycle = Lifecycle()
    stopping.begin()
    while not stopping.lifecycle.inputs['drained']:
        clock.advance(STEP_S)
        checks[0]()
    assert clock.seconds() <= ends_after_s + STEP_S
    assert ends_after_s <= clock.seconds() + DRAIN_GRACE_S
    assert bool(runtime.tables.transactions) is busy
