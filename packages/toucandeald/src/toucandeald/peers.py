"""The adapter to the other proxies, over one-way ZeroMQ sockets.

Each proxy receives on one PULL socket and has a PUSH socket for each peer.
A message that can't be queued immediately is dropped: heartbeats repeat, and
requests for rows are retried.
"""

from collections.abc import Callable
from typing import Any

import msgspec
import zmq
from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

from toucandeal.errors import BadSetting
from toucandeald.http_client import host_port
from toucandeald.logs import log_event
from toucandeald.peer_wire import Message

__all__ = ['PeerSockets']

SEND_HIGH_WATER_MARK = 1000  # maximum number of messages queued for a peer
RECONNECT_MS = 50
RECONNECT_MAX_MS = 500
CONNECT_TIMEOUT_MS = 500
PING_MS = 300  # detects connections that failed without a TCP reset
PING_TIMEOUT_MS = 900
MAX_LOGGED_BYTES = 200  # of a message that could not be handled

_encode = msgspec.msgpack.Encoder().encode


@implementer(IReadDescriptor)
class PeerSockets:
    """The ZeroMQ sockets of a proxy."""

    def __init__(
        self,
        reactor,
        address: str,
        on_message: Callable[[Any], None],
        message_type: Any = Message,
    ) -> None:
        """Bind the receiving socket and pass each message to `on_message`."""
        self._decode = msgspec.msgpack.Decoder(message_type).decode
        self._reactor = reactor
        self._on_message = on_message
        self._context = zmq.Context(io_threads=1)
        self._pull_socket = self._context.socket(zmq.PULL)
        self._push_sockets: dict[str, zmq.Socket] = {}
        self._unusable: set[str] = set()
        self.bytes_sent = 0
        self.bytes_received = 0
        try:
            self._pull_socket.bind(f'tcp://{address}')
        except zmq.ZMQError as error:
            raise BadSetting(
                f'--listen-peers {address} can not be used: {error}',
                'Choose a free port, or end the process that uses this one',
            ) from None
        reactor.addReader(self)
        reactor.callLater(0, self.doRead)

    def fileno(self) -> int:
        """Return the descriptor that signals socket events."""
        return self._pull_socket.getsockopt(zmq.FD)

    def logPrefix(self) -> str:  # noqa: N802
        """Return the prefix for the reactor's log."""
        return 'peers'

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Do nothing; ZeroMQ reconnects automatically."""

    def doRead(self) -> None:  # noqa: N802
        """Receive all queued messages; the descriptor is edge-triggered."""
        while not self._pull_socket.closed:
            try:
                frame = self._pull_socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self.bytes_received += len(frame)
            self._handle_frame(frame)

    def _handle_frame(self, frame: bytes) -> None:
        try:
            self._on_message(self._decode(frame))
        except Exception as error:  # noqa: BLE001
            # Twisted removes a reader that raises, which would stop
            # receiving from all peers.
            log_event(
                'fault',
                error=repr(error),
                message=repr(frame[:MAX_LOGGED_BYTES]),
            )

    def send(self, address: str, message: msgspec.Struct) -> bool:
        """Send a message to a peer; return whether it was queued."""
        if address in self._unusable:
            return False
        frame = _encode(message)
        try:
            self._socket(address).send(frame, zmq.NOBLOCK)
        except zmq.Again:
            return False
        except (zmq.ZMQError, ValueError) as error:
            self._unusable.add(address)
            log_event(
                'peer address unusable', address=address, reason=str(error)
            )
            return False
        self.bytes_sent += len(frame)
        return True

    def keep_only(self, addresses: set[str]) -> None:
        """Close the sockets of all peers that are not in `addresses`."""
        self._unusable &= addresses
        for address in set(self._push_sockets) - addresses:
            self._push_sockets.pop(address).close(linger=0)

    def close(self, linger_ms: int = 100) -> None:
        """Close all sockets, allowing `linger_ms` to send queued messages."""
        self._reactor.removeReader(self)
        for socket in (self._pull_socket, *self._push_sockets.values()):
            socket.close(linger=linger_ms)
        self._context.term()

    def _socket(self, address: str) -> zmq.Socket:
        if address not in self._push_sockets:
            host_port(address)  # ZeroMQ accepts some that it can't connect to
            socket = self._context.socket(zmq.PUSH)
            socket.setsockopt(zmq.SNDHWM, SEND_HIGH_WATER_MARK)
            socket.setsockopt(zmq.LINGER, 0)
            socket.setsockopt(zmq.IMMEDIATE, 1)
            socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
            socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
            socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
            socket.setsockopt(zmq.HEARTBEAT_IVL, PING_MS)
            socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS)
            try:
                socket.connect(f'tcp://{address}')
            except zmq.ZMQError:
                socket.close(linger=0)
                raise
            self._push_sockets[address] = socket
        return self._push_sockets[address]
