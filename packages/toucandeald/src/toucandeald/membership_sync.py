"""Sends heartbeats to the other proxies and takes in theirs."""

import itertools
from collections.abc import Callable
from http import HTTPStatus

import msgspec
from twisted.internet import defer

from toucandeal.engine import group_reports
from toucandeal.entities import Peer
from toucandeal.membership import live_proxies, peer_heard
from toucandeald.caller_service import CallerService, Reply
from toucandeald.configuration_sync import ConfigurationSync
from toucandeald.logs import log_event
from toucandeald.peer_wire import (
    AskRows,
    Forward,
    Forwarded,
    Heartbeat,
    Message,
    Rows,
)
from toucandeald.peers import PeerSockets
from toucandeald.runtime import Runtime

__all__ = ['MembershipSync']

FORWARD_TIMEOUT_S = 65.0  # past every class's deadline
_NOT_PASSED_ON = msgspec.json.encode(
    {
        'outcome': 'refused',
        'reason': 'the proxy that serves the group can not be reached',
        'retry_after_ms': 100,
    }
)
_LOST_FORWARD = msgspec.json.encode(
    {
        'outcome': 'unknown',
        'reason': 'the proxy that the request was passed on to is gone',
        'retry_after_ms': 100,
    }
)


class MembershipSync:
    """The exchange with the other proxies."""

    def __init__(
        self,
        reactor,
        now: Callable[[], float],
        runtime: Runtime,
        seeds: tuple[str, ...],
    ) -> None:
        """Take the runtime and the peers' addresses from the settings."""
        self.sockets: PeerSockets | None = None
        self.configuration: ConfigurationSync | None = None
        self.callers: CallerService | None = None
        self._reactor = reactor
        self._now = now
        self._runtime = runtime
        self._seeds = seeds
        self._forwarded: dict[str, tuple[str, defer.Deferred]] = {}
        self._numbers = itertools.count(1)

    def beat(self) -> None:
        """Send a heartbeat to every known address."""
        tables = self._runtime.tables
        own = tables.identity
        message = Heartbeat(
            own.name,
            own.incarnation,
            own.peer_address,
            own.caller_address,
            own.failure_domain,
            tables.draining,
            live_proxies(tables),
            tables.configuration_version,
            group_reports(tables, self._now()),
        )
        addresses = self._addresses()
        self.sockets.keep_only(addresses)
        self._give_up_lost()
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
        """Send another message to a peer."""
        self.sockets.send(address, message)

    def received(self, message: Message) -> None:
        """Take in a message."""
        if isinstance(message, Heartbeat):
            self._heartbeat(message)
        elif isinstance(message, AskRows):
            self.configuration.rows_asked(message)
        elif isinstance(message, Rows):
            self.configuration.rows_heard(message)
        elif isinstance(message, Forward):
            self._serve(message)
        else:
            self._answered(message)

    def _heartbeat(self, message: Heartbeat) -> None:
        own = self._runtime.tables.identity
        if message.sender == own.name:
            if message.incarnation != own.incarnation:
                log_event(
                    'fault',
                    error=f'another proxy is named {own.name!r} too',
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
        self._runtime.enter(peer_heard, peer, message.reports)
        self.configuration.version_heard(
            message.peer_address, message.configuration_version
        )

    def forward(
        self, address: str, path: str, token: str, body: bytes
    ) -> defer.Deferred:
        """Pass a caller's request on to a peer.

        Returns
        -------
        Deferred of Reply
        """
        identity = f'{self._runtime.tables.identity.name}.{next(self._numbers)}'
        answer: defer.Deferred[Reply] = defer.Deferred()
        self._forwarded[identity] = address, answer
        sent = self.sockets.send(
            address,
            Forward(
                identity,
                self._runtime.tables.identity.peer_address,
                path,
                token,
                body,
            ),
        )
        if not sent:
            del self._forwarded[identity]
            return defer.succeed(
                Reply(HTTPStatus.SERVICE_UNAVAILABLE, '', _NOT_PASSED_ON)
            )
        answer.addTimeout(FORWARD_TIMEOUT_S, self._reactor)
        answer.addErrback(lambda _: _lost_reply())
        return answer.addCallback(self._forget, identity)

    def _forget(self, reply, identity: str):
        self._forwarded.pop(identity, None)
        return reply

    def _give_up_lost(self) -> None:
        """Answer the requests that were passed on to peers now gone."""
        peers = self._runtime.tables.peers.values()
        live = {peer.peer_address for peer in peers}
        lost = [
            waiting
            for address, waiting in self._forwarded.values()
            if address not in live
        ]
        for waiting in lost:
            waiting.callback(_lost_reply())

    def _serve(self, message: Forward) -> None:
        answer = self.callers.handle(
            message.path, message.token, message.body, passed_on=True
        )
        answer.addCallback(
            lambda reply: self.sockets.send(
                message.peer_address,
                Forwarded(
                    message.identity, reply.status, reply.token, reply.body
                ),
            )
        )

    def _answered(self, message: Forwarded) -> None:
        _, waiting = self._forwarded.get(message.identity, ('', None))
        if waiting is not None:
            waiting.callback(Reply(message.status, message.token, message.body))


def _lost_reply() -> Reply:
    return Reply(HTTPStatus.GATEWAY_TIMEOUT, '', _LOST_FORWARD)
