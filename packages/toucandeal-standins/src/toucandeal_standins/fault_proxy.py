"""A TCP proxy that injects faults between two processes.

Run with ``python -m toucandeal_standins.fault_proxy``, or embed
:class:`FaultProxy` in a test. The control port takes a JSON object by HTTP:
``{"cut": true}`` closes and refuses, ``{"hold": true}`` keeps connections open
but passes nothing, ``{"delay_ms": n}`` delays each direction, and
``{"lose_answers": true}`` passes requests but drops what comes back.
"""

import click
import msgspec
from twisted.internet import endpoints, protocol, reactor

from toucandeal_standins.http_server import serve
from toucandeald.http_client import host_port

__all__ = ['FaultProxy', 'LinkFaults', 'main']


class LinkFaults(msgspec.Struct):
    """The faults of a link."""

    cut: bool = False
    hold: bool = False
    delay_ms: float = 0
    lose_answers: bool = False


class _Side(protocol.Protocol):
    """One side of a connection; `other` is the opposite one."""

    def __init__(self, owner: 'FaultProxy', *, is_caller: bool) -> None:
        self._owner = owner
        self._is_caller = is_caller
        self._early: list[bytes] = []
        self.other: _Side | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Open the other side."""
        self.transport.setTcpNoDelay(True)
        if not self._is_caller:
            return
        if self._owner.faults.cut:
            self.transport.abortConnection()
            return
        self._owner.sides.add(self)
        far = _Side(self._owner, is_caller=False)
        factory = protocol.Factory.forProtocol(lambda: far)
        endpoint = endpoints.TCP4ClientEndpoint(
            reactor, *host_port(self._owner.upstream)
        )
        endpoint.connect(factory).addCallbacks(
            self._joined, lambda _: self.transport.abortConnection()
        )

    def _joined(self, far: '_Side') -> None:
        self.other = far
        far.other = self
        early = self._early
        self._early = []
        for chunk in early:
            self._pass_on(chunk)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass data on, subject to the faults."""
        faults = self._owner.faults
        if faults.hold or (faults.lose_answers and not self._is_caller):
            return
        if faults.delay_ms:
            reactor.callLater(faults.delay_ms / 1000, self._pass_on, data)
        else:
            self._pass_on(data)

    def _pass_on(self, data: bytes) -> None:
        if self.other is None:
            self._early.append(data)
        elif self.other.transport is not None:
            self.other.transport.write(data)

    def connectionLost(self, reason=None) -> None:  # noqa: N802
        """Close the other side too."""
        del reason
        self._owner.sides.discard(self)
        if self.other is not None and self.other.transport is not None:
            self.other.transport.loseConnection()


class FaultProxy:
    """Passes connections on to `upstream`, subject to its faults."""

    def __init__(self, upstream: str) -> None:
        """Take the address to pass connections on to."""
        self.upstream = upstream
        self.faults = LinkFaults()
        self.sides: set[_Side] = set()

    def listen(self, port: int):
        """Listen on a loopback port; 0 takes a free one."""
        factory = protocol.Factory.forProtocol(
            lambda: _Side(self, is_caller=True)
        )
        endpoint = endpoints.TCP4ServerEndpoint(
            reactor, port, interface='127.0.0.1'
        )
        return endpoint.listen(factory)

    def switch_faults(self, **changes) -> None:
        """Switch faults; a cut closes the open connections."""
        current = msgspec.structs.asdict(self.faults)
        self.faults = msgspec.convert({**current, **changes}, LinkFaults)
        if self.faults.cut:
            for side in tuple(self.sides):
                side.transport.abortConnection()


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--control-port', type=int, required=True)
@click.option('--upstream', required=True, help='host:port to pass on to')
def main(port: int, control_port: int, upstream: str) -> None:
    """Run one link until it is ended."""
    proxy = FaultProxy(upstream)

    def control(connection, method, path, body):
        del connection, method, path
        proxy.switch_faults(**msgspec.json.decode(body))
        return msgspec.structs.asdict(proxy.faults)

    proxy.listen(port)
    serve(reactor, control_port, control)
    reactor.run()


if __name__ == '__main__':
    main()
