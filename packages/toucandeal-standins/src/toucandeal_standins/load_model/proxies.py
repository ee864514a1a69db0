"""Proxies of the model: the real tables, pools, queues and sessions."""

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
from toucandeal.fleet_tables import FleetTables, PeerView, learn_record
from toucandeal.permissions import record_store_read
from toucandeal_standins.load_model.patterns import Deployment, Place
from toucandeal_standins.load_model.servers import ModelGroup, ModelLink
from toucandeald.borrowing import Borrowing
from toucandeald.confirmations import Confirmations
from toucandeald.faults import run
from toucandeald.forwarding import Forwarding
from toucandeald.lending import Lending
from toucandeald.lending_wire import Answered, Lent
from toucandeald.measures import Measures
from toucandeald.server_pools import ServerPools
from toucandeald.session_messages import ServerAnswer, lost
from toucandeald.session_service import SessionService
from toucandeald.steady_clock import pause

__all__ = ['ModelProxy', 'Surroundings', 'kind_routes', 'start_proxy']

MS = 1000
INCARNATION = 1
UPKEEP_S = 0.25  # as in a real proxy
REPORT_WAIT_S = 0.3  # as in a real proxy
BASIS_S = 0.3  # between two reads of the shared records
IDLE_TRANSACTION_S = 5.0


class Surroundings(NamedTuple):
    """What a proxy of the model finds around it."""

    clock: object
    deployment: Deployment
    groups: dict[str, ModelGroup]
    work_s: dict[str, float]
    records: dict[str, GroupRecord]
    generator: random.Random
    running: dict[str, 'ModelProxy']


class ModelProxy:
    """One proxy; it keeps nothing when it loses power."""

    def __init__(self, place: Place, around: Surroundings) -> None:
        """Make the parts that a real proxy has."""
        self.place = place
        self.running = True
        self.tables = FleetTables(place.name, place.failure_domain)
        self._around = around
        self._links: list[ModelLink] = []
        tables = self.tables
        tables.configuration = _configuration(around.deployment)
        tables.servers = {
            server.described.name: server.described
            for group in around.groups.values()
            for server in group.servers
        }
        for record in around.records.values():
            learn_record(tables, record)
        self._permit()
        clock = around.clock
        own = ProxyRecord(place.name, INCARNATION, place.name)
        self.borrowing = Borrowing(clock, tables, own)
        self.borrowing.send = self.send
        self.pools = ServerPools(clock, tables, self._open_link, self.borrowing)
        self.lending = Lending(tables, self.pools, self, own)
        confirmations = Confirmations(clock, tables)
        confirmations.ask = lambda server: run(
            self.pools.report(server, REPORT_WAIT_S)
        )
        forwarding = Forwarding(
            clock, tables, self.pools, confirmations, around.generator
        )
        self.service = SessionService(tables, forwarding, Measures())
        self._keep_up()

    def learn(self, record: GroupRecord) -> None:
        """Learn of a change of a group's primary, as from the store."""
        previous = self.tables.groups[record.group].record
        learn_record(self.tables, record)
        if record.changing:
            self.pools.drop_links(previous.primary)

    def send(self, address: str, message) -> None:
        """Send a message to another proxy, which is at the address."""
        around = self._around
        delay_s = self._delay_s(around.running[address].place.failure_domain)
        around.clock.callLater(delay_s, self._arrive, address, message)

    def _delay_s(self, failure_domain: str) -> float:
        """Return the time of one way to a failure domain."""
        sizes = self._around.deployment
        near = failure_domain == self.place.failure_domain
        delay_ms = sizes.near_ms if near else sizes.far_ms
        return delay_ms / MS

    def _arrive(self, address: str, message) -> None:
        other = self._around.running[address]
        if not (self.running and other.running):
            return
        if isinstance(message, Lent | Answered):
            other.borrowing.received(message)
        else:
            other.lending.received(message)

    def hear(self, proxies: list['ModelProxy']) -> None:
        """Hear what other proxies could use."""
        now = self._around.clock.seconds()
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
                    other.place.failure_domain,
                )

    @property
    def demands(self) -> dict[str, float]:
        """Return how many connections it could use, by server."""
        return {name: load.demand for name, load in self.tables.loads.items()}

    def lose_power(self) -> None:
        """Stop without a word; servers notice after a while."""
        self.running = False
        for link in self._links:
            link.close(self._around.deployment.linger_s)

    def _permit(self) -> None:
        names = [place.name for place in self._around.deployment.proxies]
        record_store_read(
            self.tables.permissions,
            self._around.clock.seconds(),
            {name: ProxyRecord(name, INCARNATION, name) for name in names},
        )
        if self.running:
            self._around.clock.callLater(BASIS_S, self._permit)

    def _keep_up(self) -> None:
        if self.running:
            self.pools.keep_up()
            now = self._around.clock.seconds()
            self.borrowing.tick(now)
            self.lending.tick(now)
            self._around.clock.callLater(UPKEEP_S, self._keep_up)

    async def _open_link(self, server: Server, timeout_s: float):
        around = self._around
        group = around.groups[server.group]
        target = next(
            each for each in group.servers if each.described == server
        )
        delay_s = self._delay_s(server.failure_domain)
        if target.dark or not self.running:
            await pause(around.clock, timeout_s)
            return lost('no answer in time')
        await pause(around.clock, 3 * delay_s)  # TCP's handshake, the start
        link = await target.open(delay_s, _work_of(around.work_s))
        await pause(around.clock, delay_s)
        if isinstance(link, ServerAnswer):
            return link
        if not self.running:
            link.close(around.deployment.linger_s)
        self._links.append(link)
        return link


def _work_of(work_s: dict[str, float]):
    return lambda identity: work_s.get(identity, 0)


def start_proxy(place: Place, around: Surroundings) -> ModelProxy:
    """Return a proxy that serves."""
    proxy = ModelProxy(place, around)
    around.running[place.name] = proxy
    return proxy


def kind_routes(deployment: Deployment) -> dict[str, Route]:
    """Return a route for each kind and member; groups share the databases."""
    routes = {}
    for number, kind in enumerate(deployment.kinds):
        for member in range(deployment.members):
            for group in range(deployment.groups):
                database = f'{kind.name}-{member}-{group}'
                routes[database] = Route(
                    database,
                    f'g{group}',
                    kind.route,
                    kind.timeout_ms / MS,
                    kind.aim_ms / MS,
                    kind.priority,
                    kind.allowance_ms / MS,
                )
    return routes


def _configuration(deployment: Deployment) -> FleetConfiguration:
    return FleetConfiguration(
        1,
        kind_routes(deployment),
        {
            f'g{number}': InteractiveGroup(f'g{number}', deployment.connections)
            for number in range(deployment.groups)
        },
        IDLE_TRANSACTION_S,
    )
