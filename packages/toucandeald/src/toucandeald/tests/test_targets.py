"""Requests to targets that end in an exception."""

import pytest
from twisted.internet import defer

from toucandeal.entities import Operation, Request, RequestClass
from toucandeal.positions import NOTHING_SEEN
from toucandeal.request_keys import Statement
from toucandeal.results import Lost
from toucandeald import background_tasks
from toucandeald import targets as targets_module
from toucandeald.targets import Targets

WRITE = RequestClass('booking', 'g', is_write=True)
UNENCODABLE = (Statement('SELECT ?', (1 << 64,)),)


class Connection:
    """A connection that counts how often it is closed."""

    usable = True

    def __init__(self):
        self.closed = 0

    def request(self, *arguments):
        """Fail as no request may."""
        del arguments
        return defer.fail(RuntimeError('not foreseen'))

    def close(self):
        """Count the call."""
        self.closed += 1


class Pool:
    """A pool that lends one connection."""

    def __init__(self, reactor, address):
        del reactor
        self.address = address
        self.connection = Connection()
        self.released = []

    def acquire_idle(self):
        """Lend the connection."""
        return self.connection

    def release(self, connection):
        """Note that the connection is back."""
        self.released.append(connection)


@pytest.mark.parametrize('body', [UNENCODABLE, (Statement('SELECT 1'),)])
def test_an_exception_gives_an_unknown_outcome_and_frees_the_slot(
    monkeypatch, body
):
    # Guards against an exception that keeps the connection and the slot of its
    # request for good, and drops the actions behind it.
    monkeypatch.setattr(targets_module, 'TargetPool', Pool)
    logged = []
    monkeypatch.setattr(
        background_tasks, 'log_event', lambda kind, **_: logged.append(kind)
    )
    targets = Targets(None, float, {})
    pool = targets.pool('r1', '127.0.0.1:1')
    request = Request(
        1, 'c', WRITE, 'k', body, NOTHING_SEEN, 0, 1, Operation.EXECUTE
    )
    outcomes = []
    targets.execute(request, 'r1', 1).addBoth(outcomes.append)
    assert outcomes == [Lost('the proxy failed', sent=True)]
    assert pool.released == [pool.connection]
    assert pool.connection.closed == 1
    assert logged == ['fault']
