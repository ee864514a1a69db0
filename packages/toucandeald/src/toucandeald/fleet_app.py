"""The composition root of a proxy that serves interactive sessions."""

import contextlib
import random
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from twisted.internet import defer

from toucandeal.fleet import ProxyRecord
from toucandeal.fleet_tables import FleetTables, awaits_server
from toucandeal.primary_lease import counted_proxies
from toucandeal.protocol_versions import OWN_PROTOCOL
from toucandeald.admission import Admission
from toucandeald.background_tasks import run_in_background
from toucandeald.borrowing import Borrowing
from toucandeald.configuration_copies import first_read_delay_s
from toucandeald.confirmations import Confirmations
from toucandeald.connection_pool import OpenConnection
from toucandeald.domain_crossing import DomainCrossing
from toucandeald.fleet_settings import (
    LEAST_SLACK,
    FleetSettings,
    RateBounds,
    granted_share,
)
from toucandeald.fleet_shutdown import FleetShutdown
from toucandeald.fleet_wire import FleetMessage
from toucandeald.forwarding import Forwarding
from toucandeald.freshness_calls import FreshnessCalls
from toucandeald.gossip import HEARTBEAT_INTERVAL_S, Gossip
from toucandeald.lending import Lending
from toucandeald.lifecycle import Lifecycle, LifecycleState, new_lifecycle
from toucandeald.logs import log_event
from toucandeald.peers import PeerSockets
from toucandeald.periodic_calls import call_every
from toucandeald.primary_watch import PrimaryWatch
from toucandeald.prometheus_metrics import PrometheusMetrics
from toucandeald.promoter import Promoter
from toucandeald.rate_admission import RateAdmission, busiest_workspaces
from toucandeald.rate_coordination import RateCoordination
from toucandeald.read_ahead import ReadBudget
from toucandeald.server_pools import ServerPools
from toucandeald.server_reports import ServerReports
from toucandeald.session_service import SessionService
from toucandeald.session_shedding import SessionShedding
from toucandeald.shared_state import SharedState, SharedTables
from toucandeald.silent_proxies import SilentProxies
from toucandeald.steady_clock import pause, steady_seconds
from toucandeald.store_recovery import StoreRecovery
from toucandeald.work_stopper import WorkStopper

__all__ = [
    'FleetPorts',
    'apply_reloaded_settings',
    'running_fleet',
    'start_fleet',
]

TICK_S = 0.05
MAINTENANCE_INTERVAL_S = 0.25  # of pools, and of checks for idle transactions
REPORT_WAIT_S = 0.3
HTTP_DELAY_S = 0.2  # from the start to the probe; the balancer asks each second
INCARNATIONS = 2_147_483_648
# `first_start` only matters at the start, so its change needs no restart.
RELOADED_SETTINGS = frozenset(('stop_timeout_s', 'first_start'))


class FleetPorts(NamedTuple):
    """The interfaces that a platform adapter provides."""

    store: Any
    open_link: OpenConnection
    listen: Callable[[Any, str, SessionService, ReadBudget], defer.Deferred]
    shared: SharedTables
    probe_path: tuple[bytes, ...]
    metrics_path: bytes


class FleetParts(NamedTuple):
    """The components of a running proxy."""

    tables: FleetTables
    state: SharedState
    gossip: Gossip
    pools: ServerPools
    service: SessionService
    watch: PrimaryWatch
    promoter: Promoter
    metrics: PrometheusMetrics
    lifecycle: Lifecycle
    lifecycle_state: LifecycleState
    shutdown: FleetShutdown
    silent_proxies: SilentProxies
    moving: SessionShedding
    borrowing: Borrowing
    lending: Lending
    ports: FleetPorts
    recovery: StoreRecovery
    rates: RateCoordination
    crossing: DomainCrossing


@contextlib.contextmanager
def running_fleet(
    reactor, settings: FleetSettings, ports: FleetPorts
) -> Iterator[FleetParts]:
    """Build the components, and close the sockets between proxies at exit.

    Raises
    ------
    BadSetting
        The bounds of the rates are too tight.
    """
    own = ProxyRecord(
        settings.name,
        random.SystemRandom().randrange(1, INCARNATIONS),
        settings.listen_peers,
        failure_domain=settings.failure_domain,
        protocol=OWN_PROTOCOL,
        link_mbps=settings.link_mbps or 0.0,
    )
    tables = FleetTables(settings.name, settings.failure_domain)
    tables.crossing_cost_s = settings.crossing_cost_s
    tables.drain_s = settings.drain_s
    tables.requires_keys = settings.requires_keys
    metrics = PrometheusMetrics()
    state = SharedState(reactor, tables, ports.store, ports.shared, own)
    gossip = Gossip(tables, state, own)
    borrowing = Borrowing(reactor, tables, own)
    borrowing.send = gossip.send
    gossip.lender_names = borrowing.lender_names
    pools = ServerPools(reactor, tables, ports.open_link, borrowing)
    lending = Lending(tables, pools, gossip, own)
    gossip.on_borrower_message = lending.received
    gossip.on_lender_message = borrowing.received
    forwarding = _new_forwarding(reactor, tables, pools)
    service = SessionService(
        reactor,
        tables,
        forwarding,
        Admission(tables, forwarding.transactions, settings.revocation_limit_s),
        metrics,
    )
    state.configuration.on_change = service.end_revoked_sessions
    work_stopper = WorkStopper(reactor, tables, pools, service, gossip)
    watch = PrimaryWatch(reactor, tables, ports.open_link)
    promoter = Promoter(
        reactor,
        tables,
        state,
        ports.store,
        gossip,
        watch,
        work_stopper,
        ServerReports(pools, ports.open_link),
    )
    pools.on_suspicion = watch.suspect
    state.on_record = work_stopper.record_changed
    gossip.on_promotion_begun = work_stopper.confirm_stopped
    gossip.on_work_stopped = promoter.peer_stopped
    shutdown = FleetShutdown(
        reactor,
        tables,
        state,
        gossip,
        service,
        lending,
        pools,
        settings.stop_timeout_s,
    )
    lifecycle_state = LifecycleState(shutdown.begin, reactor.stop)
    shutdown.lifecycle = new_lifecycle(lifecycle_state)
    sockets = PeerSockets(
        reactor, settings.listen_peers, gossip.received, FleetMessage
    )
    gossip.sockets = sockets
    try:
        yield FleetParts(
            tables,
            state,
            gossip,
            pools,
            service,
            watch,
            promoter,
            metrics,
            shutdown.lifecycle,
            lifecycle_state,
            shutdown,
            SilentProxies(tables, state),
            SessionShedding(tables, service),
            borrowing,
            lending,
            ports,
            StoreRecovery(
                tables,
                state,
                ports.store,
                gossip,
                own,
                first_start=settings.first_start,
            ),
            _new_rates(
                reactor, tables, own, gossip, service, settings.rate_bounds
            ),
            DomainCrossing(tables, metrics),
        )
    finally:
        sockets.close()


def _new_forwarding(reactor, tables: FleetTables, pools: ServerPools):
    confirmations = Confirmations(reactor, tables)
    confirmations.request_report = lambda server: run_in_background(
        pools.report(server, REPORT_WAIT_S)
    )
    return Forwarding(reactor, tables, pools, confirmations, random.Random())


def _new_rates(
    reactor,
    tables: FleetTables,
    own: ProxyRecord,
    gossip: Gossip,
    service: SessionService,
    bounds: RateBounds,
) -> RateCoordination:
    if bounds.slack < LEAST_SLACK:
        log_event('rate slack too small', slack=bounds.slack)
    rates = RateCoordination(
        reactor,
        tables,
        own,
        gossip.send,
        granted_share=granted_share(bounds),
    )
    gossip.on_rate_message = rates.received
    service.rates = RateAdmission(tables, rates, service.fail_transaction)
    return rates


async def start_fleet(
    reactor, settings: FleetSettings, parts: FleetParts
) -> None:
    """Listen on all ports, then start the periodic work.

    Raises
    ------
    BadSetting
        A port can't be used.
    """
    parts.shutdown.listening = await parts.ports.listen(
        reactor,
        settings.listen_sessions,
        parts.service,
        ReadBudget(settings.memory_mb),
    )
    if settings.revocation_limit_s is not None:
        FreshnessCalls(reactor, parts.tables, parts.state).start()
        parts.state.configuration.first_read_delay_s = (
            0.0
            if settings.first_start
            else first_read_delay_s(settings.link_mbps)
        )
    parts.state.start()
    call_every(HEARTBEAT_INTERVAL_S, parts.gossip.send_heartbeats)
    call_every(TICK_S, lambda: _tick(parts))
    call_every(MAINTENANCE_INTERVAL_S, lambda: _run_maintenance(parts))
    log_event('started', protocol=OWN_PROTOCOL, **settings._asdict())
    await pause(reactor, HTTP_DELAY_S)
    await _listen_for_http(reactor, settings, parts)


async def _listen_for_http(
    reactor, settings: FleetSettings, parts: FleetParts
) -> None:
    """Serve the probe and the metrics.

    Importing the HTTP server takes about a tenth of the time of a start, and
    the sessions of callers do not need it.
    """
    from prometheus_client.twisted import MetricsResource

    from toucandeald.http_server import Probe, listen, resource_at_path

    probe = Probe(
        lambda: parts.lifecycle_state.ready and not parts.moving.isolated
    )
    await listen(
        reactor,
        'the probe address',
        settings.listen_probe,
        resource_at_path(parts.ports.probe_path, probe),
    )
    await listen(
        reactor,
        'the metrics address',
        settings.listen_metrics,
        resource_at_path(
            (parts.ports.metrics_path,),
            MetricsResource(parts.metrics.registry),
        ),
    )


def apply_reloaded_settings(
    parts: FleetParts, running: FleetSettings, update: FleetSettings
) -> None:
    """Apply the settings that can change without a restart.

    Parameters
    ----------
    parts : FleetParts
    running : FleetSettings
        The settings with which the proxy was started.
    update : FleetSettings
        Those read after the settings file has changed.
    """
    parts.shutdown.timeout_s = update.stop_timeout_s
    log_event('reloaded', stop_timeout_s=update.stop_timeout_s)
    unapplied = [
        name
        for name, setting in update._asdict().items()
        if name not in RELOADED_SETTINGS and setting != getattr(running, name)
    ]
    if unapplied:
        log_event('restart needed', settings=unapplied)


def _tick(parts: FleetParts) -> None:
    now = steady_seconds()
    parts.state.server_list.tick(now)
    parts.recovery.tick(now)
    parts.gossip.contact_new_peers()
    parts.watch.tick(now)
    parts.promoter.tick(now)
    parts.moving.tick(now)
    parts.borrowing.tick(now)
    parts.lending.tick(now)
    parts.rates.tick(now)
    if not parts.lifecycle_state.ready and _can_serve(parts.tables):
        parts.lifecycle.started()


def _can_serve(tables: FleetTables) -> bool:
    return (
        tables.configuration is not None
        and bool(tables.servers)
        and any(group.record for group in tables.groups.values())
    )


def _run_maintenance(parts: FleetParts) -> None:
    parts.pools.update_pools()
    parts.crossing.tick(steady_seconds())
    parts.silent_proxies.tick(steady_seconds())
    parts.service.expire_transactions(steady_seconds())
    metrics = parts.metrics
    metrics.gauge('sessions', len(parts.service.sessions))
    metrics.gauge('connections_opened', parts.pools.opened)
    metrics.gauge('connections_lent', parts.lending.count)
    metrics.gauge('workspace_mismatches', parts.pools.mismatches)
    metrics.gauge('store_calls', parts.ports.store.calls)
    metrics.gauge('store_era', parts.state.era)
    metrics.gauge(
        'groups_awaiting_server',
        sum(awaits_server(parts.tables, name) for name in parts.tables.groups),
    )
    _set_rate_metrics(parts)
    counted = counted_proxies(parts.tables.primary_lease)
    metrics.gauge('proxies_counted', len(counted))
    configuration = parts.tables.configuration
    if configuration is not None:
        metrics.gauge('configuration_version', configuration.version)


def _set_rate_metrics(parts: FleetParts) -> None:
    parts.metrics.clear_rates()
    admission = parts.service.rates
    parts.metrics.list_rates('granted', busiest_workspaces(admission.granted))
    parts.metrics.list_rates('refused', busiest_workspaces(admission.refused))
