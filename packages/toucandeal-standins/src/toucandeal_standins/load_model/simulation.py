"""Simulation of a load pattern."""

import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from toucandeal.fleet import GroupRecord
from toucandeal.store_versions import StoreVersion
from toucandeal_standins.load_model.callers import (
    Arrival,
    Callers,
    Operation,
    arrival_times,
    sample_operation,
)
from toucandeal_standins.load_model.patterns import (
    Deployment,
    Event,
    EventKind,
    Kind,
    Pattern,
    load_deployment,
)
from toucandeal_standins.load_model.proxies import (
    Environment,
    ModelProxy,
    start_proxy,
)
from toucandeal_standins.load_model.servers import ModelGroup, new_group
from toucandeal_standins.load_model.virtual_clock import VirtualClock
from toucandeald.background_tasks import run_in_background
from toucandeald.steady_clock import virtual_time

__all__ = ['SimulationResult', 'sample_arrivals', 'simulate']

WARM_UP_S = 1.0  # for the first connections, before callers arrive
DETECTION_S = 0.6  # from the loss of a primary to the start of the promotion
HEARTBEAT_S = 0.25  # same as in a real proxy
MS_PER_S = 1000


class SimulationResult(NamedTuple):
    """The result of a simulation.

    `busy_share` is the slots' utilization, and `crossed` and `forwarded` the
    statements sent to servers of another domain than the proxy's and to all.
    """

    pattern: Pattern
    deployment: Deployment
    operations: list[Operation]
    busy_share: float
    connections: int
    crossed: int = 0
    forwarded: int = 0


class _Simulation:
    """The state of a running simulation."""

    def __init__(self, pattern: Pattern, seed: int) -> None:
        self.clock = VirtualClock()
        self.pattern = pattern
        self.deployment = load_deployment(pattern.deployment)
        self.generator = random.Random(seed)
        self.groups: dict[str, ModelGroup] = {
            f'g{number}': new_group(
                self.clock,
                self.generator,
                self.deployment,
                f'g{number}',
                number,
            )
            for number in range(self.deployment.groups)
        }
        self.records = {
            name: GroupRecord(
                name,
                group.primary.server_record.name,
                group.term,
                version=StoreVersion(0, 1),
            )
            for name, group in self.groups.items()
        }
        self.proxies: list[ModelProxy] = []
        self.avoided_domains: set[str] = set()
        self.callers = Callers(
            self.clock,
            self.deployment,
            self.generator,
            self._choose_proxy,
            pattern.retry_delay_ms,
        )

    def start_proxies(self) -> None:
        environment = Environment(
            self.clock,
            self.deployment,
            self.groups,
            self.callers.work_s,
            self.records,
            self.generator,
            {},
            self.pattern.crossing_cost_ms,
        )
        self.proxies = [
            start_proxy(spec, environment) for spec in self.deployment.proxies
        ]

        self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Exchange heartbeats between the running proxies."""
        running = [proxy for proxy in self.proxies if proxy.running]
        for proxy in running:
            proxy.apply_heartbeats(running)
        if running:
            self.clock.callLater(HEARTBEAT_S, self.send_heartbeats)

    def _choose_proxy(self) -> ModelProxy | None:
        candidates = [
            proxy
            for proxy in self.proxies
            if proxy.spec.failure_domain not in self.avoided_domains
        ]
        shares = [
            proxy.spec.share * self._swing_factor(proxy) for proxy in candidates
        ]
        return self.generator.choices(candidates, shares)[0]

    def _swing_factor(self, proxy: ModelProxy) -> float:
        pattern = self.pattern
        domains = self.deployment.failure_domains
        phase = domains.index(proxy.spec.failure_domain) / len(domains)
        turns = self.clock.seconds() / pattern.domain_swing_s + phase
        return 1 + pattern.domain_swing * math.sin(2 * math.pi * turns)

    def start_event(self, event: Event) -> None:
        match event.kind:
            case EventKind.SHIFT:
                domain = self.deployment.failure_domains[0]
                self.avoided_domains.add(domain)
                self.clock.callLater(
                    event.for_s, self.avoided_domains.discard, domain
                )
            case EventKind.LOSS:
                for proxy in self.proxies:
                    proxy.lose_power()
                self.clock.callLater(event.for_s, self.start_proxies)
            case EventKind.SLOW_SERVER:
                self._slow_down(event)
            case EventKind.LOST_SLOTS:
                self._remove_slots(event)
            case EventKind.LAG:
                self._stop_replication(event)
            case EventKind.PROMOTION:
                self._fail_primary()

    def _slow_down(self, event: Event) -> None:
        replica = self._replica()
        replica.slowdown = event.times

        def recover() -> None:
            replica.slowdown = 1.0

        self.clock.callLater(event.for_s, recover)

    def _remove_slots(self, event: Event) -> None:
        replica = self._replica()
        replica.slots = 1

        def recover() -> None:
            replica.slots = self.deployment.slots

        self.clock.callLater(event.for_s, recover)

    def _stop_replication(self, event: Event) -> None:
        group = self.groups['g0']
        group.replicates = False

        def recover() -> None:
            group.replicates = True
            group.catch_up()

        self.clock.callLater(event.for_s, recover)

    def _replica(self):
        group = self.groups['g0']
        return next(server for server in group.servers if not server.is_primary)

    def _fail_primary(self) -> None:
        group = self.groups['g0']
        group.primary.unresponsive = True
        record = self.records['g0']

        def start_promotion() -> None:
            self._record(
                record._replace(changing=True, version=StoreVersion(0, 2))
            )
            self.clock.callLater(self.deployment.promote_ms / MS_PER_S, promote)

        def promote() -> None:
            best = max(
                (server for server in group.servers if not server.unresponsive),
                key=lambda server: server.applied,
            )
            group.promote(best)
            self._record(
                GroupRecord(
                    'g0',
                    best.server_record.name,
                    group.term,
                    version=StoreVersion(0, 3),
                )
            )

        self.clock.callLater(DETECTION_S, start_promotion)

    def _record(self, record: GroupRecord) -> None:
        self.records[record.group] = record
        for proxy in self.proxies:
            if proxy.running:
                proxy.apply_group_record(record)


def sample_arrivals(
    pattern: Pattern, deployment: Deployment, seed: int
) -> Iterator[tuple[float, Arrival, str]]:
    """Yield the start time, the operation and the group of each arrival."""
    for number, kind in enumerate(deployment.kinds):
        for member in range(deployment.members):
            generator = random.Random(f'{seed} {number} {member}')
            rate_at = _rate_function(pattern, deployment, kind, member)
            max_burst_factor = 1 + max(
                [event.times for event in pattern.events], default=0
            )
            max_rate_per_s = (
                kind.per_s
                * pattern.load
                * (1 + pattern.wave)
                * max_burst_factor
            )
            for at_s in arrival_times(
                rate_at, max_rate_per_s, pattern.seconds, generator
            ):
                group = generator.randrange(deployment.groups)
                yield (
                    at_s,
                    sample_operation(deployment, kind, member, generator),
                    f'{group}',
                )


def _rate_function(
    pattern: Pattern, deployment: Deployment, kind: Kind, member: int
):
    share = deployment.member_shares[member]
    base = kind.per_s * pattern.load * share

    def rate_at(now: float) -> float:
        swing = pattern.wave * math.sin(2 * math.pi * now / pattern.wave_s)
        bursts = [
            event.times
            for event in pattern.events
            if event.kind is EventKind.BURST
            and event.at_s <= now < event.at_s + event.for_s
            and event.member in {-1, member}
        ]
        return base * (1 + swing) * max(bursts, default=1)

    return rate_at


def simulate(pattern: Pattern, seed: int) -> SimulationResult:
    """Simulate a load pattern from start to end.

    Parameters
    ----------
    pattern : Pattern
    seed : int
        The same seed gives the same arrivals, independent of the routing
        decisions.
    """
    simulation = _Simulation(pattern, seed)
    clock = simulation.clock
    with virtual_time(clock.seconds):
        simulation.start_proxies()
        clock.run_until(WARM_UP_S)
        for at_s, arrival, group in sample_arrivals(
            pattern, simulation.deployment, seed
        ):
            clock.callLater(at_s, _start_operation, simulation, arrival, group)
        for event in pattern.events:
            if event.kind is not EventKind.BURST:
                clock.callLater(event.at_s, simulation.start_event, event)
        max_deadline_ms = max(
            kind.deadline_ms for kind in simulation.deployment.kinds
        )
        clock.run_until(
            WARM_UP_S + pattern.seconds + 2 * max_deadline_ms / MS_PER_S
        )
    servers = [
        server
        for group in simulation.groups.values()
        for server in group.servers
    ]
    slot_seconds = pattern.seconds * sum(server.slots for server in servers)
    return SimulationResult(
        pattern,
        simulation.deployment,
        [
            operation._replace(began_at=operation.began_at - WARM_UP_S)
            for operation in simulation.callers.operations
        ],
        sum(server.busy_seconds for server in servers) / slot_seconds,
        sum(proxy.pools.opened for proxy in simulation.proxies),
        sum(proxy.pools.crossed for proxy in simulation.proxies),
        sum(proxy.pools.forwarded for proxy in simulation.proxies),
    )


def _start_operation(
    simulation: _Simulation, arrival: Arrival, group: str
) -> None:
    run_in_background(simulation.callers.run_operation(arrival, group))
