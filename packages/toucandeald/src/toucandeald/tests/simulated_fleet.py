"""A fleet of proxies with real tables, heartbeats and reads, in virtual time.

Only the store and the network are stand-ins. Messages are encoded, counted,
and delivered after a latency unless a link is cut.
"""

import collections
import contextlib
import heapq
import itertools

import msgspec
from twisted.internet import defer

from toucandeal.errors import StoreUnavailable
from toucandeal.fleet import FleetConfiguration, GroupRecord, ProxyRecord
from toucandeal.fleet_tables import FleetTables, server_load
from toucandeal.primary_lease import lease_expires_at, may_use_primary
from toucandeal.protocol_versions import OWN_PROTOCOL
from toucandeal.store_versions import NO_VERSION, StoreVersion
from toucandeald.fleet_wire import FleetMessage
from toucandeald.gossip import HEARTBEAT_INTERVAL_S, Gossip
from toucandeald.shared_records import (
    ERA_KEY,
    RECORDS_TABLE,
    encode_era,
    encode_group,
    encode_proxy,
    group_key,
    proxy_key,
)
from toucandeald.shared_state import SharedState, SharedTables
from toucandeald.shared_store import (
    Changes,
    Committed,
    Conflict,
    SharedRow,
    Snapshot,
)
from toucandeald.silent_proxies import SilentProxies
from toucandeald.steady_clock import virtual_time

NEAR_S = 0.003
FAR_S = 0.02
CALL_S = 0.01
TICK_S = 0.05
GROUP = 'g0'
GROUPS = tuple(f'g{number}' for number in range(4))
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(FleetMessage).decode


class Timer:
    """A pending call."""

    def __init__(self, function, args):
        self.function = function
        self.args = args
        self.pending = True

    def active(self):
        """Return whether the call is still to come."""
        return self.pending

    def cancel(self):
        """Prevent the call."""
        self.pending = False


class VirtualClock:
    """A clock with a heap of calls, which is fast enough for hundreds."""

    def __init__(self):
        self.now = 1000.0
        self._calls = []
        self._numbers = itertools.count()

    def seconds(self):
        """Return the virtual time."""
        return self.now

    def callLater(self, delay, function, *args):  # noqa: N802
        """Schedule a call."""
        timer = Timer(function, args)
        entry = (self.now + delay, next(self._numbers), timer)
        heapq.heappush(self._calls, entry)
        return timer

    def advance(self, seconds):
        """Run the calls of the next `seconds`."""
        until = self.now + seconds
        while self._calls and self._calls[0][0] <= until:
            due_at, _, timer = heapq.heappop(self._calls)
            self.now = due_at
            if timer.pending:
                timer.pending = False
                timer.function(*timer.args)
        self.now = until


class Store:
    """The shared records, in memory."""

    def __init__(self, clock):
        self.clock = clock
        self.era = 1
        self.rows = {}
        self.number = 0
        self.away = False
        self.reads = collections.Counter()
        self.configuration = None
        self.configuration_reads = collections.Counter()
        self.on_write = ignore_write
        self.unanswered = set()  # proxies whose transactions get no answer
        self._waiting = []

    def put(self, key, content, writer=''):
        """Write a row."""
        self.number += 1
        version = StoreVersion(self.era, self.number)
        row = SharedRow(key, content, version)
        self.on_write(writer, self.rows.get(key), row)
        self.rows[key] = row

    def put_configuration(self, content):
        """Write the configuration, and answer the feeds that wait for it."""
        self.number += 1
        version = StoreVersion(self.era, self.number)
        self.configuration = SharedRow('c', content, version)
        waiting = self._waiting
        self._waiting = []
        for timer, passed in waiting:
            if timer.active():
                timer.cancel()
                passed.callback(None)

    async def wait_for_configuration(self, after, wait_s):
        """Wait for a configuration after a version of the store."""
        if self.configuration is None or self.configuration.version <= after:
            passed = defer.Deferred()
            timer = self.clock.callLater(wait_s, passed.callback, None)
            self._waiting.append((timer, passed))
            await passed

    def version(self):
        """Return the version of the newest row."""
        return StoreVersion(self.era, self.number)

    async def pass_time(self, seconds):
        """Wait, and fail if the store is away then."""
        passed = defer.Deferred()
        self.clock.callLater(seconds, passed.callback, None)
        await passed
        if self.away:
            raise StoreUnavailable('The store is away', 'Wait')


def ignore_write(writer, before, row):
    """Do nothing when a row is written."""


class StoreClient:
    """One proxy's connection to the store."""

    def __init__(self, store, name, cut):
        self.store = store
        self.name = name
        self.cut = cut
        self.stopped = False

    async def read_all(self, table):
        """Return the rows."""
        self.store.reads[self.name] += table == RECORDS_TABLE
        await self._call()
        rows = self.store.rows.values() if table == RECORDS_TABLE else ()
        if table == 'c' and self.store.configuration is not None:
            self.store.configuration_reads[self.name] += 1
            rows = [self.store.configuration]
        answer = Snapshot(list(rows), self.store.version())
        await self._call()
        return answer

    async def changes(self, table, after, wait_s):
        """Return the changes of the configuration, and of no other table."""
        if table == 'c':
            await self.store.wait_for_configuration(after, wait_s)
            row = self.store.configuration
            if row is not None and row.version > after:
                self.store.configuration_reads[self.name] += 1
                await self._call()
                return Changes([row], row.version)
            await self._call()
            return Changes([], max(after, self.store.version()))
        await self.store.pass_time(wait_s)
        return Changes([], after)

    async def transact(self, preconditions, puts, removes=()):
        """Apply the rows if the preconditions hold."""
        await self._call()
        rows = self.store.rows
        for condition in preconditions:
            row = rows.get(condition.key)
            version = NO_VERSION if row is None else row.version
            if version != condition.version:
                self._require_answer()
                keys = {each.key for each in preconditions}
                return Conflict([rows[key] for key in keys & rows.keys()])
        for put in puts:
            self.store.put(put.key, put.content, self.name)
        for _, key in removes:
            rows.pop(key, None)
        self._require_answer()
        await self._call()
        return Committed(self.store.version())

    def _require_answer(self):
        if self.name in self.store.unanswered:
            raise StoreUnavailable('No answer', 'Wait', uncertain=True)

    async def _call(self):
        if self.stopped:
            await defer.Deferred()  # the process is gone
        if self.name in self.cut:
            await self.store.pass_time(0.3)
            raise StoreUnavailable('The link is cut', 'Wait')
        await self.store.pass_time(CALL_S / 2)


class Sockets:
    """Sends messages over the simulated network."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def send(self, address, message):
        """Send a message."""
        self.fleet.send(self.name, address, message)

    def keep_only(self, addresses):
        """Keep everything; there are no connections."""


class Proxy:
    """The parts of one proxy that take part in heartbeats and leases."""

    def __init__(self, fleet, name, domain, incarnation=1):
        self.own = ProxyRecord(
            name,
            incarnation,
            f'{name}:1',
            failure_domain=domain,
            protocol=fleet.protocols[name],
        )
        self.name = name
        self.tables = FleetTables(name, domain)
        self.client = StoreClient(fleet.store, name, fleet.cut_from_store)
        self.state = SharedState(
            fleet.clock,
            self.tables,
            self.client,
            SharedTables('c', 'c', decode_configuration, 's', ValueError),
            self.own,
        )
        self.gossip = Gossip(self.tables, self.state, self.own)
        self.gossip.sockets = Sockets(fleet, name)
        self.silent_proxies = SilentProxies(self.tables, self.state)
        self.running = True
        self.missed = []

    def has_lease(self, now):
        """Return whether the proxy may use the group's primary."""
        group = self.tables.groups.get(GROUP)
        record = None if group is None else group.record
        return may_use_primary(self.tables.primary_lease, record, now)

    def lease_left_s(self, now):
        """Return how long the lease still lasts."""
        return lease_expires_at(self.tables.primary_lease, now) - now


class Fleet:
    """Proxies in three failure domains, a store and the links."""

    def __init__(self):
        self.clock = VirtualClock()
        self.store = Store(self.clock)
        self.store.put(ERA_KEY, encode_era(1))
        for group in GROUPS:
            record = GroupRecord(group, f'{group}-primary', 1)
            self.store.put(group_key(group), encode_group(record))
        self.proxies = {}
        self.cut = set()
        self.cut_from_store = set()
        self.silent_primaries = set()  # groups
        self.messages = collections.Counter()
        self.received = collections.Counter()
        self.bytes = collections.Counter()
        self.far_bytes = collections.Counter()
        self.pairs = set()
        self.protocols = collections.defaultdict(lambda: OWN_PROTOCOL)

    def register(self, name, incarnation=1):
        """Write the row of a proxy that has been running for long."""
        record = ProxyRecord(
            name,
            incarnation,
            f'{name}:1',
            failure_domain=domain_of(name),
            protocol=self.protocols[name],
        )
        self.store.put(proxy_key(name), encode_proxy(record))

    def add(self, name, *, registered=False, incarnation=1, prepare=None):
        """Start a proxy, after `prepare` was called with it."""
        if registered:
            self.register(name, incarnation)
        proxy = Proxy(self, name, domain_of(name), incarnation)
        self.proxies[name] = proxy
        if prepare is not None:
            prepare(proxy)
        proxy.state.start()
        offset = (hash_of(name) % 250) / 1000
        self._repeat(proxy, offset, HEARTBEAT_INTERVAL_S, self._beat)
        self._repeat(proxy, offset / 5, TICK_S, self._tick)
        return proxy

    def run(self, seconds, check=None, step_s=0.05):
        """Let time pass, and call `check` at intervals."""
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)
            if check is not None:
                check()

    def without_lease(self):
        """Return the running proxies without a lease."""
        now = self.clock.now
        return [
            proxy.name
            for proxy in self.proxies.values()
            if proxy.running and not proxy.has_lease(now)
        ]

    def kill(self, name):
        """Stop a proxy for good."""
        self.proxies[name].running = False
        self.proxies[name].state.stopped = True
        self.proxies[name].client.stopped = True

    def marked(self):
        """Return the proxies whose rows are marked as silent."""
        return {
            key.removeprefix(proxy_key(''))
            for key, row in self.store.rows.items()
            if key.startswith(proxy_key('')) and b'"silent":true' in row.content
        }

    def relays(self):
        """Return the names of the relays, as one proxy knows them."""
        for proxy in self.proxies.values():
            if proxy.running and proxy.tables.relay_assignment is not None:
                return sorted(proxy.tables.relay_assignment.attached)
        return []

    def send(self, sender, address, message):
        """Count a message, and deliver it unless its link is cut."""
        frame = encode(message)
        to = address.removesuffix(':1')
        self.pairs.add((sender, to))
        kind = type(message).__name__
        self.messages[sender, kind] += 1
        self.bytes[sender, kind] += len(frame)
        far = domain_of(sender) != domain_of(to)
        self.far_bytes[sender] += far * len(frame)
        if (sender, to) not in self.cut:
            delay = FAR_S if far else NEAR_S
            self.clock.callLater(delay, self._deliver, to, frame)

    def reset_counts(self):
        """Count from here on."""
        for counter in (
            self.messages,
            self.received,
            self.bytes,
            self.far_bytes,
            self.store.reads,
            self.pairs,
        ):
            counter.clear()

    def _deliver(self, to, frame):
        proxy = self.proxies.get(to)
        if proxy is not None and proxy.running:
            self.received[to] += 1
            proxy.gossip.received(decode(frame))

    def _repeat(self, proxy, delay, interval, function):
        def call():
            if proxy.running:
                function(proxy)
                self.clock.callLater(interval, call)

        self.clock.callLater(delay, call)

    def _beat(self, proxy):
        proxy.gossip.send_heartbeats()
        proxy.silent_proxies.tick(self.clock.now)

    def _tick(self, proxy):
        proxy.gossip.contact_new_peers()
        for group in GROUPS:
            if group not in self.silent_primaries:
                load = server_load(proxy.tables, f'{group}-primary')
                load.heard_at = self.clock.now


def decode_configuration(content):
    """Return the configuration whose version is the first word."""
    return FleetConfiguration(int(content.split()[0]), {}, {}, 1.0)


def hash_of(name):
    """Return a number that spreads the phases of proxies."""
    return sum(ord(letter) * 37**place for place, letter in enumerate(name))


def domain_of(name):
    """Return the failure domain of a proxy, by its number."""
    return 'abc'[int(name[1:]) % 3]


@contextlib.contextmanager
def settled_fleet(count, seconds=8.0):
    """Yield a fleet whose proxies have found one another."""
    fleet = Fleet()
    with virtual_time(fleet.clock.seconds):
        for number in range(count):
            fleet.register(f'p{number}')
        for number in range(count):
            fleet.add(f'p{number}')
        fleet.run(seconds)
        fleet.reset_counts()
        yield fleet
