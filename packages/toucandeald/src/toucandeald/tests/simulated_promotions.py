"""Promotions in the simulated fleet, with servers and a promotion service.

A proxy begins promotions only of the groups that a test assigns to it, so the
order of events is that of the test. The checks compare each write of the lock's row and each order
with what the store held at that moment.
"""

import collections
import contextlib
from typing import NamedTuple

import eliot
from twisted.internet import defer

from toucandeal.errors import StoreUnavailable
from toucandeal.fleet import FleetConfiguration, InteractiveGroup, Server
from toucandeal.positions import LogPosition
from toucandeal.promotion import (
    LOCK_DURATION_S,
    RESUME_MARGIN_S,
    ServerReport,
)
from toucandeal.store_versions import StoreVersion, fencing_token
from toucandeald.promoter import Promoter
from toucandeald.session_messages import lost
from toucandeald.shared_records import PROMOTION_LOCK_KEY, decode_records
from toucandeald.shared_store import PromoteAnswer
from toucandeald.steady_clock import pause, virtual_time
from toucandeald.tests.simulated_fleet import GROUPS, TICK_S, Fleet
from toucandeald.work_stopper import WorkStopper

NAMES = ('p0', 'p1', 'p2', 'p3')
ORDER_LATENCY_S = 0.005
REPORT_LATENCY_S = 0.005
EFFECT_S = 0.3  # from an order to the lead of its server


class Order(NamedTuple):
    """A promotion order as it reached the promotion service."""

    holder: str
    server: str
    token: int
    sent_at: float
    arrived_at: float


class PromotionService:
    """Notes the orders, and lets the servers that they name lead."""

    def __init__(self, fleet):
        self.orders = []
        self.sent = 0
        self.leaders = {group: f'{group}-primary' for group in GROUPS}
        self.terms = collections.Counter(dict.fromkeys(GROUPS, 1))
        # By proxy, how long its next order takes; no answer reaches it.
        self.delays_s = {}
        self.effect_s = EFFECT_S
        self._fleet = fleet

    async def promote(self, group, server, holder, token, deadline):
        """Receive an order, and answer it before the deadline."""
        clock = self._fleet.clock
        sent_at = clock.now
        self.sent += 1
        delay_s = self.delays_s.pop(holder, None)
        if delay_s is None:
            await pause(clock, ORDER_LATENCY_S)
            self._arrive(
                group, Order(holder, server, token, sent_at, clock.now)
            )
            return PromoteAnswer.ACCEPTED
        if sent_at + delay_s < deadline + RESUME_MARGIN_S:
            clock.callLater(
                delay_s,
                self._arrive,
                group,
                Order(holder, server, token, sent_at, sent_at + delay_s),
            )
        await pause(clock, deadline - sent_at)
        raise StoreUnavailable('No answer', 'Wait', uncertain=True)

    def _arrive(self, group, order):
        self.orders.append(order)
        if self.leaders[group] != order.server:
            self._fleet.clock.callLater(
                self.effect_s, self._lead, group, order.server
            )

    def _lead(self, group, server):
        self.leaders[group] = server
        self.terms[group] += 1


class Reports:
    """Reports of the servers, as the promotion service has left them."""

    def __init__(self, fleet):
        self.delay_s = REPORT_LATENCY_S
        self.unreachable = set()  # servers that give no report
        self._fleet = fleet

    async def gather(self, servers):
        """Return the reports of the servers."""
        await pause(self._fleet.clock, self.delay_s)
        service = self._fleet.service
        return {
            server.name: ServerReport(
                service.leaders[server.group] == server.name,
                service.terms[server.group],
                LogPosition(service.terms[server.group], 9),
            )
            for server in servers
            if server.name not in self.unreachable
        }

    async def send_request(self, server, request):
        """Answer nothing."""
        return lost('no answer')


class Watch:
    """Has seen no server step down."""

    def __init__(self):
        self.stepped_down = {}

    def has_stepped_down(self, record):
        """Return that no primary has."""
        return False


class Work:
    """Stands for the pools and the sessions of a proxy."""

    def __init__(self, busy_groups):
        self._busy_groups = busy_groups

    def drop_connections(self, server):
        """Drop nothing."""

    def has_work_at_primary(self, group):
        """Return whether transactions are open."""
        return group in self._busy_groups


class PromotingFleet(Fleet):
    """Four proxies that promote servers of four groups."""

    def __init__(self):
        super().__init__()
        self.service = PromotionService(self)
        self.reports = Reports(self)
        self.busy_groups = set()  # with open transactions at their primaries
        self.lock_writes = []
        self.store.on_write = self._note_write

    def start(self, name, *, registered=False, incarnation=1):
        """Start a proxy that can carry out promotions."""
        return self.add(
            name,
            registered=registered,
            incarnation=incarnation,
            prepare=self._add_promoter,
        )

    def assign(self, name, *groups):
        """Let a proxy promote servers of these groups, and of no other."""
        self._configure(self.proxies[name], groups)

    def replace_primary(self, name, group):
        """Announce that a primary is leaving, and let a proxy replace it."""
        self.assign(name, group)
        for proxy in self.proxies.values():
            servers = proxy.tables.servers
            leaving = servers[f'{group}-primary']._replace(leaving=True)
            servers[leaving.name] = leaving

    def run_until(self, condition, limit_s=15.0):
        """Let time pass until a condition holds."""
        until = self.clock.now + limit_s
        while not condition():
            assert self.clock.now < until
            self.clock.advance(0.001)

    def lock_row(self):
        """Return the row of the promotion lock."""
        return self.store.rows.get(PROMOTION_LOCK_KEY)

    def lock_holder(self):
        """Return who holds the lock according to its row."""
        row = self.lock_row()
        return '' if row is None else holder_in(row)

    def primary(self, group):
        """Return the recorded primary, or None during a promotion."""
        records = decode_records(list(self.store.rows.values())).groups
        record = next(each for each in records if each.group == group)
        return None if record.changing else record.primary

    def overwritten_locks(self):
        """Return the writes of the lock's row that ended another's lock."""
        return [
            (before, after)
            for before, after in zip(
                self.lock_writes, self.lock_writes[1:], strict=False
            )
            if before.holder
            and after.writer != before.writer
            and (
                not after.holder
                or after.at - before.at < LOCK_DURATION_S + RESUME_MARGIN_S
            )
        ]

    def orders_without_lock(self):
        """Return the orders that left when another proxy may have the lock."""
        return [
            order
            for order in self.service.orders
            if not any(
                fencing_token(write.version) == order.token
                and order.sent_at <= write.at + LOCK_DURATION_S
                for write in self.lock_writes
            )
        ]

    def falling_tokens(self):
        """Return the orders with a lower token than one that came before."""
        orders = self.service.orders
        return [
            later
            for index, later in enumerate(orders)
            if any(later.token < earlier.token for earlier in orders[:index])
        ]

    def check(self):
        """Assert that the lock was respected."""
        assert not self.overwritten_locks()
        assert not self.orders_without_lock()
        assert not self.falling_tokens()

    def _note_write(self, writer, before, row):
        if row.key == PROMOTION_LOCK_KEY:
            process = (writer, self.proxies[writer].own.incarnation)
            self.lock_writes.append(
                LockWrite(self.clock.now, process, holder_in(row), row.version)
            )

    def _add_promoter(self, proxy):
        tables = proxy.tables
        self._configure(proxy, ())
        for group in GROUPS:
            for name in (f'{group}-primary', f'{group}-replica'):
                tables.servers[name] = Server(
                    name, group, f'{name}:1', 'a', 2, False, False
                )
        work = Work(self.busy_groups)
        stopper = WorkStopper(self.clock, tables, work, work, proxy.gossip)

        async def promote(*order):
            if not proxy.running:
                await defer.Deferred()
            return await self.service.promote(*order)

        proxy.client.promote = promote
        proxy.promoter = Promoter(
            self.clock,
            tables,
            proxy.state,
            proxy.client,
            proxy.gossip,
            Watch(),
            stopper,
            self.reports,
        )
        proxy.state.on_record = stopper.record_changed
        proxy.gossip.on_promotion_begun = stopper.confirm_stopped
        proxy.gossip.on_work_stopped = proxy.promoter.peer_stopped
        self._repeat(proxy, 0, TICK_S, self._promote)

    def _configure(self, proxy, groups):
        proxy.tables.configuration = FleetConfiguration(
            1, {}, {name: InteractiveGroup(name, 16) for name in groups}, 3.0
        )

    def _promote(self, proxy):
        proxy.promoter.tick(self.clock.now)


class LockWrite(NamedTuple):
    """A write of the lock's row."""

    at: float
    writer: tuple[str, int]  # a proxy and its incarnation
    holder: str
    version: StoreVersion


def holder_in(row):
    """Return the holder in a row of the promotion lock."""
    return decode_records([row]).promotion_lock.holder


@contextlib.contextmanager
def promoting_fleet():
    """Yield a settled fleet whose proxies can carry out promotions."""
    fleet = PromotingFleet()
    with virtual_time(fleet.clock.seconds):
        for name in NAMES:
            fleet.register(name)
        for name in NAMES:
            fleet.start(name)
        fleet.run(8.0)
        yield fleet


@contextlib.contextmanager
def promotion_steps():
    """Yield a list that receives the steps of promotions as logged."""
    steps = []

    def note_step(message):
        if message.get('message_type') == 'toucandeald:promotion':
            steps.append(message)

    eliot.add_destinations(note_step)
    steps.clear()  # the first destination also receives earlier messages
    try:
        yield steps
    finally:
        eliot.remove_destination(note_step)
