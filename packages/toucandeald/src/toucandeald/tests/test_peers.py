"""The sockets between proxies."""

import pytest

from toucandeal.store_versions import NO_VERSION
from toucandeald import peers as peers_module
from toucandeald.fleet_wire import FleetMessage, WorkStopped
from toucandeald.peers import PeerSockets

MESSAGE = WorkStopped('p1', 'g', NO_VERSION)


class Reactor:
    """Calls nothing."""

    def addReader(self, reader):  # noqa: N802
        """Ignore a reader."""

    def removeReader(self, reader):  # noqa: N802
        """Ignore a reader."""

    def callLater(self, delay, function):  # noqa: N802
        """Ignore a call."""


@pytest.mark.parametrize('address', ['', 'nonsense', '127.0.0.1:70000', ':1'])
def test_an_address_that_cannot_be_used_is_logged_once(monkeypatch, address):
    # Guards against heartbeats that end at the first such peer, so that the
    # others get none, and against a socket that is left over by each attempt.
    logged = []
    monkeypatch.setattr(
        peers_module, 'log_event', lambda kind, **_: logged.append(kind)
    )
    sockets = PeerSockets(Reactor(), '127.0.0.1:*', print, FleetMessage)
    try:
        assert not any(sockets.send(address, MESSAGE) for _ in range(2000))
    finally:
        sockets.close(0)
    assert logged == ['peer address unusable']
