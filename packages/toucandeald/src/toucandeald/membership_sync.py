"""Sends heartbeats to the other proxies and takes in theirs."""

import itertools
from collections.abc import Callable

from twisted.internet import defer

from toucandeal.engine import group_reports
from toucandeal.entities import Peer
from toucandeal.errors import UnknownTransaction
from toucandeal.membership import live_proxies, peer_heard
from toucandeald.caller_service import CallerService, Reply
from toucandeald.configuration_sync import ConfigurationSync
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

FORWARD_TIMEOUT_S = 60.0


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
        self._forwarded: dict[str, defer.Deferred] = {}
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
        if message.sender == self._runtime.tables.identity.name:
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
        self._forwarded[identity] = answer
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
            raise UnknownTransaction(
                'The proxy that holds the transaction can not be reached; the '
                'request was not passed on',
                'Send it to another proxy',
            )
        answer.addTimeout(FORWARD_TIMEOUT_S, self._reactor)
        answer.addBoth(self._forget, identity)
        return answer

    def _forget(self, reply, identity: str):
        self._forwarded.pop(identity, None)
        return reply

    def _serve(self, message: Forward) -> None:
        answer = self.callers.handle(message.path, message.token, message.body)
        answer.addCallback(
            lambda reply: self.sockets.send(
                message.peer_address,
                Forwarded(
                    message.identity, reply.status, reply.token, reply.body
                ),
            )
        )

    def _answered(self, message: Forwarded) -> None:
        waiting = self._forwarded.get(message.identity)
        if waiting is not None:
            waiting.callback(Reply(message.status, message.token, message.body))
