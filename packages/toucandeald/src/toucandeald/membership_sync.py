"""Exchanges heartbeats, rows and forwarded requests with the peers."""

import itertools
from collections.abc import Callable
from http import HTTPStatus

import msgspec
from twisted.internet import defer

from toucandeal.engine import group_reports
from toucandeal.entities import Peer
from toucandeal.membership import heartbeat_received, live_proxies
from toucandeald.caller_service import CallerService, Reply
from toucandeald.configuration_sync import ConfigurationSync
from toucandeald.logs import log_event
from toucandeald.peer_wire import (
    Forward,
    ForwardReply,
    Heartbeat,
    Message,
    Rows,
    RowsRequest,
)
from toucandeald.peers import PeerSockets
from toucandeald.runtime import Runtime

__all__ = ['MembershipSync']

FORWARD_TIMEOUT_S = 65.0  # longer than the deadline of any class
_NOT_FORWARDED = msgspec.json.encode(
    {
        'outcome': 'refused',
        'reason': 'the proxy that serves the group can not be reached',
        'retry_after_ms': 100,
    }
)
_FORWARD_LOST = msgspec.json.encode(
    {
        'outcome': 'unknown',
        'reason': 'the proxy that the request was passed on to is gone',
        'retry_after_ms': 100,
    }
)


class MembershipSync:
    """Sends messages to the other proxies and handles those received."""

    def __init__(
        self,
        reactor,
        now: Callable[[], float],
        runtime: Runtime,
        seeds: tuple[str, ...],
    ) -> None:
        """Initialize with the runtime and the configured peer addresses."""
        self.sockets: PeerSockets | None = None
        self.configuration: ConfigurationSync | None = None
        self.callers: CallerService | None = None
        self._reactor = reactor
        self._now = now
        self._runtime = runtime
        self._seeds = seeds
        self._pending_forwards: dict[str, tuple[str, defer.Deferred]] = {}
        self._numbers = itertools.count(1)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every known peer address.

        Also close the sockets of removed peers and fail the requests that
        were forwarded to them.
        """
        tables = self._runtime.tables
        own_identity = tables.identity
        message = Heartbeat(
            own_identity.name,
            own_identity.incarnation,
            own_identity.peer_address,
            own_identity.caller_address,
            own_identity.failure_domain,
            tables.draining,
            live_proxies(tables),
            tables.configuration_version,
            group_reports(tables, self._now()),
        )
        addresses = self._addresses()
        self.sockets.keep_only(addresses)
        self._fail_lost_forwards()
        for address in addresses:
            self.sockets.send(address, message)

    def _addresses(self) -> set[str]:
        tables = self._runtime.tables
        listed = (
            vm.peer_address
            for vm in tables.vms.values()
            if vm.peer_address and not vm.leaving
        )
        live = (peer.peer_address for peer in tables.peers.values())
        return {*self._seeds, *listed, *live} - {tables.identity.peer_address}

    def send(self, address: str, message: Message) -> None:
        """Send a message to a peer."""
        self.sockets.send(address, message)

    def receive(self, message: Message) -> None:
        """Dispatch a message from a peer by its type."""
        if isinstance(message, Heartbeat):
            self._receive_heartbeat(message)
        elif isinstance(message, RowsRequest):
            self.configuration.send_rows(message)
        elif isinstance(message, Rows):
            self.configuration.receive_rows(message)
        elif isinstance(message, Forward):
            self._serve_forward(message)
        else:
            self._receive_reply(message)

    def _receive_heartbeat(self, message: Heartbeat) -> None:
        own_identity = self._runtime.tables.identity
        if message.sender == own_identity.name:
            if message.incarnation != own_identity.incarnation:
                log_event(
                    'fault',
                    error=f'another proxy is named {own_identity.name!r} too',
                    remedy='Give each proxy a --name of its own',
                )
            return
        peer = Peer(
            message.sender,
            message.incarnation,
            message.peer_address,
            message.caller_address,
            message.failure_domain,
            message.draining,
            tuple(message.live),
            message.configuration_version,
            self._now(),
        )
        self._runtime.process(heartbeat_received, peer, message.reports)
        self.configuration.receive_version(
            message.peer_address, message.configuration_version
        )

    def forward(
        self, address: str, path: str, token: str, body: bytes
    ) -> defer.Deferred:
        """Forward a caller's request to a peer.

        Returns
        -------
        Deferred of Reply
        """
        own = self._runtime.tables.identity
        # A reply to the process before this one must not match.
        identity = f'{own.name}.{own.incarnation}.{next(self._numbers)}'
        answer: defer.Deferred[Reply] = defer.Deferred()
        self._pending_forwards[identity] = address, answer
        sent = self.sockets.send(
            address,
            Forward(
                identity,
                own.peer_address,
                path,
                token,
                body,
            ),
        )
        if not sent:
            del self._pending_forwards[identity]
            return defer.succeed(
                Reply(HTTPStatus.SERVICE_UNAVAILABLE, '', _NOT_FORWARDED)
            )
        answer.addTimeout(FORWARD_TIMEOUT_S, self._reactor)
        answer.addErrback(lambda _: _lost_reply())
        return answer.addCallback(self._remove_forward, identity)

    def _remove_forward(self, reply, identity: str):
        self._pending_forwards.pop(identity, None)
        return reply

    def _fail_lost_forwards(self) -> None:
        """Reply to callers whose requests were forwarded to lost peers."""
        peers = self._runtime.tables.peers.values()
        live = {peer.peer_address for peer in peers}
        lost = [
            pending
            for address, pending in self._pending_forwards.values()
            if address not in live
        ]
        for pending in lost:
            pending.callback(_lost_reply())

    def _serve_forward(self, message: Forward) -> None:
        answer = self.callers.handle(
            message.path, message.token, message.body, is_forwarded=True
        )
        answer.addCallback(
            lambda reply: self.sockets.send(
                message.peer_address,
                ForwardReply(
                    message.identity, reply.status, reply.token, reply.body
                ),
            )
        )

    def _receive_reply(self, message: ForwardReply) -> None:
        _, pending = self._pending_forwards.get(message.identity, ('', None))
        if pending is not None:
            pending.callback(Reply(message.status, message.token, message.body))


def _lost_reply() -> Reply:
    return Reply(HTTPStatus.GATEWAY_TIMEOUT, '', _FORWARD_LOST)
