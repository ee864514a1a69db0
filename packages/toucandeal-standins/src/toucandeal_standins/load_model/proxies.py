"""Simulated proxies with the production tables, pools and sessions."""

import random
from typing import NamedTuple

from toucandeal.fleet import (
    FleetConfiguration,
    GroupRecord,
    InteractiveGroup,
    ProxyRecord,
    Route,
    Server,
)
from toucandeal.fleet_tables import FleetTables, PeerView, apply_record
from toucandeal.primary_lease import record_store_read
from toucandeal.read_crossing import announced_by, step_crossing
from toucandeal.workspaces import Workspace, key_digest
from toucandeal_standins.load_model.patterns import Deployment, ProxySpec
from toucandeal_standins.load_model.servers import ModelConnection, ModelGroup
from toucandeald.admission import Admission
from toucandeald.background_tasks import run_in_background
from toucandeald.borrowing import Borrowing
from toucandeald.confirmations import Confirmations
from toucandeald.forwarding import Forwarding
from toucandeald.lending import Lending
from toucandeald.lending_wire import BorrowedAnswer, LoanReply
from toucandeald.prometheus_metrics import PrometheusMetrics
from toucandeald.server_pools import ServerPools
from toucandeald.session_messages import (
    Forward,
    ServerAnswer,
    ServerRequest,
    lost,
)
from toucandeald.session_service import SessionService
from toucandeald.steady_clock import pause

__all__ = ['Environment', 'ModelProxy', 'kind_routes', 'start_proxy']

MS_PER_S = 1000
INCARNATION = 1
UPKEEP_S = 0.25  # same as in a real proxy
REPORT_TIMEOUT_S = 0.3  # same as in a real proxy
LEASE_RENEWAL_S = 0.3  # interval between reads of the shared records
IDLE_TRANSACTION_S = 5.0


class Environment(NamedTuple):
    """The clock, servers, records and peers that a simulated proxy uses."""

    clock: object
    deployment: Deployment
    groups: dict[str, ModelGroup]
    work_s: dict[str, float]
    records: dict[str, GroupRecord]
    generator: random.Random
    running: dict[str, 'ModelProxy']
    crossing_cost_ms: float | None = None


class CountingPools(ServerPools):
    """Pools that count the statements sent to other failure domains."""

    def __init__(self, clock, tables: FleetTables, open_connection, borrowing):
        """Start without statements."""
        super().__init__(clock, tables, open_connection, borrowing)
        self.crossed = 0
        self.forwarded = 0
        self._failure_domain = tables.failure_domain

    async def call(
        self,
        server: Server,
        connection,
        request: ServerRequest,
        timeout_s: float,
    ) -> ServerAnswer:
        """Send a request, and count it if it is a caller's statement."""
        if isinstance(request, Forward):
            self.forwarded += 1
            self.crossed += server.failure_domain != self._failure_domain
        return await super().call(server, connection, request, timeout_s)


class ModelProxy:
    """A simulated proxy; it loses all state when it loses power."""

    def __init__(self, spec: ProxySpec, environment: Environment) -> None:
        """Create the components of a real proxy."""
        self.spec = spec
        self.running = True
        self.tables = FleetTables(spec.name, spec.failure_domain)
        self._environment = environment
        self._connections: list[ModelConnection] = []
        tables = self.tables
        if environment.crossing_cost_ms is not None:
            tables.crossing_cost_s = environment.crossing_cost_ms / MS_PER_S
        tables.configuration = _configuration(environment.deployment)
        tables.servers = {
            server.server_record.name: server.server_record
            for group in environment.groups.values()
            for server in group.servers
        }
        for record in environment.records.values():
            apply_record(tables, record, environment.clock.seconds())
        self._renew_lease()
        clock = environment.clock
        own_record = ProxyRecord(spec.name, INCARNATION, spec.name)
        self.borrowing = Borrowing(clock, tables, own_record)
        self.borrowing.send = self.send
        self.pools = CountingPools(
            clock, tables, self._open_connection, self.borrowing
        )
        self.lending = Lending(tables, self.pools, self, own_record)
        confirmations = Confirmations(clock, tables)
        confirmations.request_report = lambda server: run_in_background(
            self.pools.report(server, REPORT_TIMEOUT_S)
        )
        forwarding = Forwarding(
            clock, tables, self.pools, confirmations, environment.generator
        )
        self.service = SessionService(
            clock,
            tables,
            forwarding,
            Admission(tables, forwarding.transactions, None),
            PrometheusMetrics(),
        )
        self._run_upkeep()

    def apply_group_record(self, record: GroupRecord) -> None:
        """Apply a change of a group's primary, as read from the store."""
        previous = self.tables.groups[record.group].record
        apply_record(self.tables, record, self._environment.clock.seconds())
        if record.changing:
            self.pools.drop_connections(previous.primary)

    def send(self, address: str, message) -> None:
        """Send a message to the proxy at an address."""
        environment = self._environment
        delay_s = self._delay_s(
            environment.running[address].spec.failure_domain
        )
        environment.clock.callLater(delay_s, self._deliver, address, message)

    def _delay_s(self, failure_domain: str) -> float:
        """Return the one-way network delay to a failure domain."""
        deployment = self._environment.deployment
        near = failure_domain == self.spec.failure_domain
        delay_ms = deployment.near_ms if near else deployment.far_ms
        return delay_ms / MS_PER_S

    def _deliver(self, address: str, message) -> None:
        other = self._environment.running[address]
        if not (self.running and other.running):
            return
        if isinstance(message, LoanReply | BorrowedAnswer):
            other.borrowing.received(message)
        else:
            other.lending.received(message)

    def apply_heartbeats(self, proxies: list['ModelProxy']) -> None:
        """Update the peers' views, with their demands for connections."""
        now = self._environment.clock.seconds()
        for other in proxies:
            name = other.tables.name
            if other is not self:
                self.tables.peers[name] = PeerView(
                    name,
                    INCARNATION,
                    name,
                    now,
                    False,
                    True,
                    {},
                    other.demands,
                    other.spec.failure_domain,
                    crossing_shares=announced_by(other.tables),
                )

    @property
    def demands(self) -> dict[str, float]:
        """Return the demand for connections by server."""
        return {name: load.demand for name, load in self.tables.loads.items()}

    def lose_power(self) -> None:
        """Stop at once; the servers detect it `linger_s` seconds later."""
        self.running = False
        for connection in self._connections:
            connection.close(self._environment.deployment.linger_s)

    def _renew_lease(self) -> None:
        record_store_read(
            self.tables.primary_lease,
            self._environment.clock.seconds(),
            {
                spec.name: ProxyRecord(
                    spec.name,
                    INCARNATION,
                    spec.name,
                    failure_domain=spec.failure_domain,
                )
                for spec in self._environment.deployment.proxies
            },
        )
        if self.running:
            self._environment.clock.callLater(
                LEASE_RENEWAL_S, self._renew_lease
            )

    def _run_upkeep(self) -> None:
        if self.running:
            self.pools.update_pools()
            now = self._environment.clock.seconds()
            step_crossing(self.tables, now)
            self.borrowing.tick(now)
            self.lending.tick(now)
            self._environment.clock.callLater(UPKEEP_S, self._run_upkeep)

    async def _open_connection(
        self, server: Server, workspace: str, timeout_s: float
    ):
        del workspace
        environment = self._environment
        group = environment.groups[server.group]
        target = next(
            each for each in group.servers if each.server_record == server
        )
        delay_s = self._delay_s(server.failure_domain)
        if target.unresponsive or not self.running:
            await pause(environment.clock, timeout_s)
            return lost('no answer in time')
        # TCP handshake and startup message.
        await pause(environment.clock, 3 * delay_s)
        connection = await target.open(
            delay_s, _work_lookup(environment.work_s)
        )
        await pause(environment.clock, delay_s)
        if isinstance(connection, ServerAnswer):
            return connection
        if not self.running:
            connection.close(environment.deployment.linger_s)
        self._connections.append(connection)
        return connection


def _work_lookup(work_s: dict[str, float]):
    return lambda identity: work_s.get(identity, 0)


def start_proxy(spec: ProxySpec, environment: Environment) -> ModelProxy:
    """Start a proxy and add it to the running ones."""
    proxy = ModelProxy(spec, environment)
    environment.running[spec.name] = proxy
    return proxy


def kind_routes(deployment: Deployment) -> dict[str, Route]:
    """Return a route to a separate database per kind, member and group."""
    routes = {}
    for number, kind in enumerate(deployment.kinds):
        for member in range(deployment.members):
            for group in range(deployment.groups):
                database = f'{kind.name}-{member}-{group}'
                routes[database] = Route(
                    database,
                    f'g{group}',
                    kind.route,
                    kind.timeout_ms / MS_PER_S,
                    kind.aim_ms / MS_PER_S,
                    kind.priority,
                    kind.allowance_ms / MS_PER_S,
                )
    return routes


def _configuration(deployment: Deployment) -> FleetConfiguration:
    workspaces = _workspaces(deployment)
    return FleetConfiguration(
        1,
        kind_routes(deployment),
        {
            f'g{number}': InteractiveGroup(f'g{number}', deployment.connections)
            for number in range(deployment.groups)
        },
        IDLE_TRANSACTION_S,
        workspaces,
        {key_digest(name): name for name in workspaces or ()},
    )


def _workspaces(deployment: Deployment) -> dict[str, Workspace] | None:
    if not deployment.workspaces:
        return None
    names = map(str, range(deployment.members))
    return {name: Workspace(name) for name in names}
