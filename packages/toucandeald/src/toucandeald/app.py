"""The composition root: creates the components and connects them."""

import contextlib
import random
from collections.abc import Iterator
from typing import NamedTuple

from twisted.internet import defer
from twisted.web import resource

from toucandeal import engine
from toucandeal.tables import ProxyIdentity, Tables
from toucandeald.caller_service import CallerService
from toucandeald.configuration_sync import ConfigurationSync
from toucandeald.http_server import Probe, listen
from toucandeald.lifecycle import LifecycleState, new_lifecycle
from toucandeald.logs import Metrics, log_event
from toucandeald.maintenance import Maintenance
from toucandeald.membership_sync import MembershipSync
from toucandeald.operator_service import OperatorService
from toucandeald.peers import PeerSockets
from toucandeald.periodic_calls import call_every
from toucandeald.platform_client import PlatformClient
from toucandeald.runtime import Runtime
from toucandeald.settings import Settings
from toucandeald.shutdown import Shutdown
from toucandeald.steady_clock import steady_seconds
from toucandeald.targets import Targets
from toucandeald.web import CallerResource, Connections

__all__ = ['running', 'start']

INCARNATION_BOUND = 2_147_483_648


class Parts(NamedTuple):
    """The components of a running daemon."""

    runtime: Runtime
    lifecycle: object
    peers: PeerSockets
    configuration: ConfigurationSync
    membership: MembershipSync
    maintenance: Maintenance
    callers: CallerService
    operators: OperatorService
    connections: Connections
    state: LifecycleState


@contextlib.contextmanager
def running(reactor, settings: Settings) -> Iterator[Parts]:
    """Create the components, and close the peer sockets on exit."""
    identity = ProxyIdentity(
        settings.name,
        random.SystemRandom().randrange(INCARNATION_BOUND),
        settings.advertise_peers or settings.listen_peers,
        settings.listen_callers,
        settings.failure_domain,
    )
    routes = dict(route.split('=') for route in settings.routes)
    tables = Tables(identity, settings.policies)
    tables.divisor_stable_since = steady_seconds()
    tables.ticked_at = steady_seconds()
    metrics = Metrics(settings.statsd)
    targets = Targets(reactor, steady_seconds, routes)
    runtime = Runtime(reactor, steady_seconds, tables, targets, metrics)
    membership = MembershipSync(
        reactor, steady_seconds, runtime, settings.peers
    )
    configuration = ConfigurationSync(
        reactor,
        runtime,
        PlatformClient(reactor, settings.platform),
        membership.send,
        identity.peer_address,
    )
    callers = CallerService(
        runtime, settings.token_secrets, settings.max_body_bytes
    )
    callers.forward = membership.forward
    operators = OperatorService(runtime, configuration, settings.token_secrets)
    runtime.send_heartbeats = membership.send_heartbeats
    membership.configuration = configuration
    membership.callers = callers
    connections = Connections()
    shutdown = Shutdown(
        reactor, runtime, connections, membership, settings.stop_timeout_s
    )
    state = LifecycleState(shutdown.begin, reactor.stop)
    lifecycle = new_lifecycle(state)
    shutdown.lifecycle = lifecycle
    peers = PeerSockets(reactor, settings.listen_peers, membership.receive)
    membership.sockets = peers
    maintenance = Maintenance(
        reactor,
        runtime,
        metrics,
        lambda: targets.control_bytes + peers.bytes_sent + peers.bytes_received,
    )
    try:
        yield Parts(
            runtime,
            lifecycle,
            peers,
            configuration,
            membership,
            maintenance,
            callers,
            operators,
            connections,
            state,
        )
    finally:
        peers.close()


@defer.inlineCallbacks
def start(reactor, settings: Settings, parts: Parts):
    """Open the listeners, then start the periodic tasks.

    Raises
    ------
    BadSetting
        A listener can't be bound to its address.
    """
    caller_root = CallerResource(
        parts.callers.handle, parts.connections, settings.max_body_bytes
    )
    operator_root = resource.Resource()
    operator_root.putChild(
        b'v1',
        CallerResource(
            parts.operators.handle, Connections(), settings.max_body_bytes
        ),
    )
    operator_root.putChild(b'live', Probe(lambda: True))
    operator_root.putChild(b'ready', Probe(lambda: parts.state.ready))
    yield listen(
        reactor, '--listen-operators', settings.listen_operators, operator_root
    )
    yield listen(
        reactor, '--listen-callers', settings.listen_callers, caller_root
    )
    parts.configuration.poll_store()
    parts.configuration.poll_vms()
    call_every(
        2 * settings.policies.heartbeat_s, parts.membership.send_heartbeats
    )
    call_every(engine.TICK_S, lambda: _tick(parts))
    parts.maintenance.begin()
    log_event('started', name=settings.name)


def _tick(parts: Parts) -> None:
    parts.runtime.tick()
    if parts.runtime.tables.proxies_counted and not parts.state.ready:
        parts.lifecycle.started()
