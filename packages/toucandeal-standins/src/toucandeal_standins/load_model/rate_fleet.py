"""Proxies that limit rates, simulated in virtual time with lossy links.

Each proxy runs the production `RateCoordination` on a clock of its own. The
store, the heartbeats and the marking of silent proxies are reduced to what
the rates depend on.
"""

import collections
import random
from typing import NamedTuple

import msgspec
from twisted.internet import defer

from toucandeal.fleet import FleetConfiguration, ProxyRecord
from toucandeal.fleet_tables import FleetTables, PeerView
from toucandeal.primary_lease import (
    PeerLeaseReport,
    counted_proxies,
    record_store_read,
    renew_from_peer,
)
from toucandeal.rate_limits import coordinator_order
from toucandeal.store_versions import NO_VERSION
from toucandeal.workspaces import Workspace
from toucandeal_standins.load_model.virtual_clock import VirtualClock
from toucandeald.rate_coordination import RateCoordination
from toucandeald.rate_wire import RateGrant, RateReport
from toucandeald.steady_clock import virtual_time

__all__ = ['RateFleet', 'busiest_window']

STEP_S = 0.01
TICK_S = 0.05
HEARTBEAT_S = 0.25
READ_INTERVAL_S = 0.4
SILENT_S = 2.5
OBJECTIVE_S = 0.4
DELAY_S = 0.001

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.Decoder(RateReport | RateGrant).decode


class Beat(NamedTuple):
    """A heartbeat, reduced to liveness and leases."""

    sender: str
    incarnation: int
    sent_at: float
    echo: float
    lease_age_s: float
    counts_recipient: bool
    draining: bool


class ProxyClock:
    """The clock of one proxy, whose timers fire late after a pause."""

    def __init__(self, clock: VirtualClock, offset_s: float) -> None:
        """Differ from the clock of the simulation by `offset_s`."""
        self.offset_s = offset_s
        self.paused = False
        self.dead = False
        self._clock = clock
        self._late: list = []

    def seconds(self) -> float:
        """Return the proxy's time."""
        return self._clock.seconds() + self.offset_s

    def callLater(self, delay, function, *arguments):  # noqa: N802
        """Call a function after `delay` seconds."""
        return self._clock.callLater(delay, self.run, function, *arguments)

    def run(self, function, *arguments) -> None:
        """Call a function now, or when the proxy resumes."""
        if self.dead:
            return
        if self.paused:
            self._late.append((function, arguments))
            return
        with virtual_time(self.seconds):
            function(*arguments)

    def resume(self) -> None:
        """Make the calls that are late."""
        self.paused = False
        late = self._late
        self._late = []
        for function, arguments in late:
            self.run(function, *arguments)


class RateProxy:
    """A proxy with its own tables."""

    def __init__(self, fleet: 'RateFleet', name: str, incarnation: int):
        """Start without a registration."""
        self.name = name
        self.clock = ProxyClock(
            fleet.clock, random.Random(name).uniform(1000, 2000)
        )
        self.tables = FleetTables(name, 'z')
        self.own = ProxyRecord(name, incarnation, name)
        self.reads_store = True
        self.beats: dict[str, tuple[Beat, float]] = {}
        self.heard: dict[str, float] = {}
        self.rates: RateCoordination | None = None
        earlier = fleet.registry.get(name)
        self.tables.replaces_registered = (
            earlier is not None and not earlier.silent
        )
        self._fleet = fleet
        self.clock.run(self._start)

    def _start(self) -> None:
        self.rates = RateCoordination(
            self.clock,
            self.tables,
            self.own,
            lambda address, message: self._fleet.carry(
                self.name, address, _encode(message)
            ),
        )
        self._fleet.repeat(self, TICK_S, self._tick)
        self._fleet.repeat(self, HEARTBEAT_S, self._beat)
        self._fleet.repeat(self, READ_INTERVAL_S, self.read_store)

    def receive(self, message) -> None:
        """Handle a message of a peer."""
        if isinstance(message, Beat):
            self._apply_beat(message)
        else:
            self.rates.received(_decode(message))

    def request(self, workspace: str) -> None:
        """Request a token for one operation."""
        self._fleet.requested[workspace] += 1
        outcome = defer.ensureDeferred(
            self.rates.acquire(workspace, self.clock.seconds() + OBJECTIVE_S)
        )
        outcome.addCallback(
            self._decided, workspace, self._fleet.clock.seconds()
        )

    def _decided(self, delay_s, workspace: str, began_at: float) -> None:
        self._fleet.decided(workspace, delay_s, began_at)

    def _tick(self) -> None:
        self.rates.tick(self.clock.seconds())

    def _beat(self) -> None:
        now = self.clock.seconds()
        lease = self.tables.primary_lease
        for name in self._fleet.registry.keys() - {self.name}:
            last = self.beats.get(name)
            self._fleet.carry(
                self.name,
                name,
                Beat(
                    self.name,
                    self.own.incarnation,
                    now,
                    last[0].sent_at + now - last[1] if last else 0,
                    now - lease.store_as_of,
                    name in counted_proxies(lease),
                    self.tables.draining,
                ),
            )
        self._mark_silent(now)

    def _apply_beat(self, beat: Beat) -> None:
        now = self.clock.seconds()
        self.beats[beat.sender] = (beat, now)
        self.tables.peers[beat.sender] = PeerView(
            beat.sender,
            beat.incarnation,
            beat.sender,
            now,
            beat.draining,
            beat.counts_recipient,
            {},
        )
        if beat.echo and beat.counts_recipient:
            report = PeerLeaseReport(
                beat.sender,
                beat.incarnation,
                NO_VERSION,
                beat.lease_age_s,
                True,
            )
            renew_from_peer(
                self.tables.primary_lease, report, NO_VERSION, beat.echo
            )

    def read_store(self) -> None:
        """Read the registered proxies, and register if that is needed."""
        if not self.reads_store:
            return
        registry = self._fleet.registry
        known = registry.get(self.name)
        if (
            known is None
            or known.silent
            or known.incarnation != self.own.incarnation
        ):
            self._fleet.write(self.own)
        record_store_read(
            self.tables.primary_lease, self.clock.seconds(), dict(registry)
        )
        self.tables.configuration = self._fleet.configuration

    def _mark_silent(self, now: float) -> None:
        registry = self._fleet.registry
        for name in set(self.heard) - set(registry):
            self.heard.pop(name)
        for record in list(registry.values()):
            peer = self.tables.peers.get(record.name)
            if peer is not None and peer.incarnation == record.incarnation:
                self.heard[record.name] = peer.heard_at
            since = now - self.heard.setdefault(record.name, now)
            if record.name == self.name or record.silent or since < SILENT_S:
                continue
            if self.reads_store:
                self._fleet.write(record._replace(silent=True))


class RateFleet:
    """Proxies, the links between them, and the operations that ran."""

    def __init__(
        self, names: list[str], workspaces: list[Workspace], seed: int = 1
    ) -> None:
        """Start all proxies at once."""
        self.clock = VirtualClock()
        self.generator = random.Random(seed)
        self.registry: dict[str, ProxyRecord] = {}
        self.version = 0
        self.configuration = None
        self.set_limits(workspaces)
        self.cut: set[tuple[str, str]] = set()
        self.lost_share = 0.0
        self.max_delay_s = DELAY_S
        self.messages = 0
        self.rate_messages = 0
        self.waited_s: collections.Counter = collections.Counter()
        self.ran: dict[str, list[float]] = collections.defaultdict(list)
        self.refused: collections.Counter = collections.Counter()
        self.refused_at_once: collections.Counter = collections.Counter()
        self.requested: collections.Counter = collections.Counter()
        self.demand: dict[tuple[str, str], float] = {}
        self._owed: dict[tuple[str, str], float] = {}
        self._incarnation = 0
        self._writes = 0
        self.proxies: dict[str, RateProxy] = {}
        for name in names:
            self.start(name)

    def set_limits(self, workspaces: list[Workspace]) -> None:
        """Put another version of the configuration into the store."""
        self.version += 1
        limits = {workspace.name: workspace for workspace in workspaces}
        self.configuration = FleetConfiguration(
            self.version, {}, {}, 30.0, limits
        )

    def write(self, record: ProxyRecord) -> None:
        """Write a proxy's record into the store."""
        self._writes += 1
        version = NO_VERSION._replace(number=self._writes)
        self.registry[record.name] = record._replace(version=version)

    def start(self, name: str) -> None:
        """Start a proxy, or kill it and start it again."""
        self.kill(name)
        self._incarnation += 1
        self.proxies[name] = RateProxy(self, name, self._incarnation)

    def kill(self, name: str) -> None:
        """Kill a proxy."""
        if name in self.proxies:
            self.proxies.pop(name).clock.dead = True

    def repeat(self, proxy: RateProxy, period_s: float, function) -> None:
        """Call a function of a proxy periodically, and now."""

        def again() -> None:
            if not proxy.clock.dead:
                self.clock.callLater(period_s, again)
                if not proxy.clock.paused:
                    proxy.clock.run(function)

        self.clock.callLater(self.generator.uniform(0, period_s), again)
        proxy.clock.run(function)

    def carry(self, sender: str, recipient: str, message) -> None:
        """Deliver a message, unless it is lost, after a random delay."""
        self.messages += 1
        if not isinstance(message, Beat):
            self.rate_messages += 1
        if (sender, recipient) in self.cut:
            return
        if self.generator.random() < self.lost_share:
            return
        delay_s = self.generator.uniform(DELAY_S / 2, self.max_delay_s)
        self.clock.callLater(delay_s, self._deliver, recipient, message)

    def _deliver(self, recipient: str, message) -> None:
        proxy = self.proxies.get(recipient)
        if proxy is not None:
            proxy.clock.run(proxy.receive, message)

    def decided(
        self, workspace: str, delay_s: float | None, began_at: float
    ) -> None:
        """Count an operation that runs or is refused."""
        waited_s = self.clock.seconds() - began_at
        self.waited_s[workspace] += waited_s
        if delay_s is None:
            self.ran[workspace].append(self.clock.seconds())
        else:
            self.refused[workspace] += 1
            self.refused_at_once[workspace] += waited_s < STEP_S

    def run(self, seconds: float) -> None:
        """Let time pass while operations are requested by `demand`."""
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.clock.run_until(self.clock.seconds() + STEP_S)
            for (name, workspace), rate in self.demand.items():
                self._request(name, workspace, rate)

    def _request(self, name: str, workspace: str, rate: float) -> None:
        key = (name, workspace)
        owed = self._owed.get(key, self.generator.random()) + rate * STEP_S
        proxy = self.proxies.get(name)
        while owed >= 1:
            owed -= 1
            if proxy is not None and not proxy.clock.paused:
                proxy.clock.run(proxy.request, workspace)
        self._owed[key] = owed

    def coordinator(self, name: str) -> str:
        """Return the coordinator of the first shard as a proxy sees it."""
        proxy = self.proxies[name]
        candidates = counted_proxies(proxy.tables.primary_lease)
        return next(iter(coordinator_order('0/1', candidates)), name)

    def count_since(self, workspace: str, since: float) -> int:
        """Return how many operations have run since a time."""
        return sum(at >= since for at in self.ran[workspace])


def busiest_window(times: list[float], window_s: float) -> int:
    """Return the largest number of times in a sliding window.

    Examples
    --------
    >>> busiest_window([0.0, 1.0, 1.5, 7.0], 5.0)
    3
    """
    most = 0
    first = 0
    for index, at in enumerate(times):
        while at - times[first] > window_s:
            first += 1
        most = max(most, index - first + 1)
    return most
