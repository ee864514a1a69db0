"""A TCP proxy that injects faults between two processes.

Run with ``python -m toucandeal_standins.fault_proxy``, or embed
:class:`FaultProxy` in a test. The control port takes a JSON object by HTTP:
``{"cut": true}`` closes open connections and refuses new ones,
``{"hold": true}`` keeps connections open but forwards no data,
``{"delay_ms": n}`` delays each direction, and ``{"lose_answers": true}``
forwards requests but discards the responses. ``{"silence": true}`` lets the
connections that are open now pass nothing any more, for good.
"""

import click
import msgspec
from twisted.internet import endpoints, protocol, reactor

from toucandeal_standins.http_server import serve
from toucandeald.http_client import host_port

__all__ = ['FaultProxy', 'LinkFaults', 'main']


class LinkFaults(msgspec.Struct):
    """The faults that a link injects."""

    cut: bool = False
    hold: bool = False
    delay_ms: float = 0
    lose_answers: bool = False


class _Side(protocol.Protocol):
    """One side of a forwarded connection; `other` is the opposite side."""

    def __init__(self, owner: 'FaultProxy', *, is_client: bool) -> None:
        self._owner = owner
        self._is_client = is_client
        self._pending: list[bytes] = []
        self.other: _Side | None = None
        self.silent = False

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the upstream if this is the client side."""
        self.transport.setTcpNoDelay(True)
        if not self._is_client:
            return
        if self._owner.faults.cut:
            self.transport.abortConnection()
            return
        self._owner.client_sides.add(self)
        upstream_side = _Side(self._owner, is_client=False)
        factory = protocol.Factory.forProtocol(lambda: upstream_side)
        endpoint = endpoints.TCP4ClientEndpoint(
            reactor, *host_port(self._owner.upstream)
        )
        endpoint.connect(factory).addCallbacks(
            self._upstream_connected, lambda _: self.transport.abortConnection()
        )

    def _upstream_connected(self, upstream_side: '_Side') -> None:
        self.other = upstream_side
        upstream_side.other = self
        pending = self._pending
        self._pending = []
        for chunk in pending:
            self._forward(chunk)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward data, subject to the faults."""
        faults = self._owner.faults
        if self.silent or faults.hold:
            return
        if faults.lose_answers and not self._is_client:
            return
        if faults.delay_ms:
            reactor.callLater(faults.delay_ms / 1000, self._forward, data)
        else:
            self._forward(data)

    def _forward(self, data: bytes) -> None:
        if self.other is None:
            self._pending.append(data)
        elif self.other.transport is not None:
            self.other.transport.write(data)

    def connectionLost(self, reason=None) -> None:  # noqa: N802
        """Close the opposite side too, unless the connection is silent."""
        del reason
        self._owner.client_sides.discard(self)
        if self.silent:
            return
        if self.other is not None and self.other.transport is not None:
            self.other.transport.loseConnection()


class FaultProxy:
    """Forwards connections to `upstream`, subject to its faults."""

    def __init__(self, upstream: str) -> None:
        """Start without faults; `upstream` is host:port."""
        self.upstream = upstream
        self.faults = LinkFaults()
        self.client_sides: set[_Side] = set()

    def listen(self, port: int):
        """Listen on a loopback port; 0 chooses a free port."""
        factory = protocol.Factory.forProtocol(
            lambda: _Side(self, is_client=True)
        )
        endpoint = endpoints.TCP4ServerEndpoint(
            reactor, port, interface='127.0.0.1'
        )
        return endpoint.listen(factory)

    def silence(self) -> None:
        """Let the open connections pass nothing any more, in no direction."""
        for side in self.client_sides:
            side.silent = True
            if side.other is not None:
                side.other.silent = True

    def apply_faults(self, **changes) -> None:
        """Set faults; a cut closes the open connections."""
        current = msgspec.structs.asdict(self.faults)
        self.faults = msgspec.convert({**current, **changes}, LinkFaults)
        if self.faults.cut:
            for side in tuple(self.client_sides):
                side.transport.abortConnection()


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--control-port', type=int, required=True)
@click.option('--upstream', required=True, help='host:port to pass on to')
def main(port: int, control_port: int, upstream: str) -> None:
    """Run one link until the process is terminated."""
    proxy = FaultProxy(upstream)

    def control(connection, method, path, body):
        del connection, method, path
        changes = msgspec.json.decode(body)
        if changes.pop('silence', False):
            proxy.silence()
        proxy.apply_faults(**changes)
        return msgspec.structs.asdict(proxy.faults)

    proxy.listen(port)
    serve(reactor, control_port, control)
    reactor.run()


if __name__ == '__main__':
    main()
