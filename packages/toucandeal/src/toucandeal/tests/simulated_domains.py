"""Three failure domains in virtual time, each with a proxy and a server.

The proxies use the production tables and placement. All that they know of a
server's queue, and what they hear of each other, is `evidence_age_s` old. Each
server serves `CAPACITY_PER_S` reads, first come first served, and a read whose
wait would exceed its objective is refused.
"""

import collections

from toucandeal.fleet import (
    FleetConfiguration,
    GroupRecord,
    InteractiveGroup,
    ProxyRecord,
    Route,
    RouteKind,
    Server,
)
from toucandeal.fleet_tables import (
    FleetTables,
    PeerView,
    apply_record,
    group_state,
    record_position,
    server_load,
)
from toucandeal.placement import place_read
from toucandeal.positions import NOTHING_SEEN, LogPosition
from toucandeal.primary_lease import record_store_read
from toucandeal.read_crossing import announced_by, count_served, step_crossing
from toucandeal.store_versions import StoreVersion

__all__ = ['CAPACITY_PER_S', 'DOMAINS', 'SimulatedDomains', 'route_of']

DOMAINS = ('d1', 'd2', 'd3')
CAPACITY_PER_S = 200.0
STEP_S = 0.0125
SERVICE_S = 0.01
NEAR_S = 0.0004
FAR_S = 0.0068
TICK_STEPS = 20
HISTORY_STEPS = 200


def route_of(objective_s):
    """Return a route with replica reads and a latency objective."""
    return Route('db', 'g', RouteKind.BOUNDED_STALENESS, 2, objective_s, 1, 9)


class SimulatedDomains:
    """The proxies, the servers, and what was asked and served by domain."""

    def __init__(self, cost_s, evidence_age_s=0.0, objective_s=0.2):
        """Start with idle servers; the primary `p` serves no reads."""
        self.now = 100.0
        self.backlog = dict.fromkeys(DOMAINS, 0.0)
        self.gone = set()
        self.served = collections.Counter()
        self.sent = collections.Counter()
        self.shares = {name: [] for name in DOMAINS}
        self.mutual_reads = 0
        self._age_steps = round(evidence_age_s / STEP_S)
        self._route = route_of(objective_s)
        self._due = collections.defaultdict(list)
        self._history = collections.deque(maxlen=HISTORY_STEPS)
        self._arrived = dict.fromkeys(DOMAINS, 0.0)
        self._step = 0
        self._pairs = {}
        self.tables = {name: self._new_tables(name, cost_s) for name in DOMAINS}

    def run(self, seconds, demand):
        """Run with `demand(domain, now)`, the reads that arrive per second."""
        for _ in range(round(seconds / STEP_S)):
            self._observe()
            if self._step % TICK_STEPS == 0:
                self._tick()
            for domain in DOMAINS:
                self._arrived[domain] += demand(domain, self.now) * STEP_S
                while self._arrived[domain] >= 1:
                    self._arrived[domain] -= 1
                    self._place(domain)
            self._note_mutual()
            for domain in DOMAINS:
                drained = CAPACITY_PER_S * STEP_S
                self.backlog[domain] = max(self.backlog[domain] - drained, 0)
            self._step += 1
            self.now += STEP_S

    def crossing(self, domain):
        """Return the state of a domain's proxy."""
        return group_state(self.tables[domain], 'g').crossing

    def _new_tables(self, domain, cost_s):
        tables = FleetTables(f'proxy-{domain}', domain)
        tables.crossing_cost_s = cost_s
        tables.configuration = FleetConfiguration(
            1, {'db': self._route}, {'g': InteractiveGroup('g', 16)}, 3.0
        )
        tables.servers = {
            name: Server(name, 'g', name, name, 2, False, False)
            for name in DOMAINS
        }
        tables.servers['p'] = Server('p', 'g', 'p', 'd0', 2, False, True)
        record = GroupRecord('g', 'p', 3, version=StoreVersion(0, 1))
        apply_record(tables, record, 0.0)
        return tables

    def _observe(self):
        """Give each proxy what held `evidence_age_s` ago."""
        announced = {
            name: announced_by(tables) for name, tables in self.tables.items()
        }
        self._history.append((self.now, dict(self.backlog), announced))
        index = max(len(self._history) - 1 - self._age_steps, 0)
        seen_at, backlog, heard = self._history[index]
        for name, tables in self.tables.items():
            self._observe_servers(name, tables, seen_at, backlog)
            if self._step % TICK_STEPS == 0:
                self._renew(tables)
                self._hear_peers(name, tables, heard)
        for domain in self._due.pop(self._step, []):
            tables = self.tables[domain]
            count_served(tables, tables.servers[domain])

    def _observe_servers(self, name, tables, seen_at, backlog):
        for domain in DOMAINS:
            load = server_load(tables, domain)
            trip_s = NEAR_S if domain == name else FAR_S
            load.observe_round_trip(trip_s, self.now)
            wait_s = backlog[domain] / CAPACITY_PER_S
            load.latency_s = trip_s + SERVICE_S + wait_s
            load.latency_at = seen_at
            load.held = LogPosition(3, 1)
            load.avoided_until = self.now + 1 if domain in self.gone else 0

    def _renew(self, tables):
        proxies = {tables.name: ProxyRecord(tables.name, 1, '')}
        record_store_read(tables.primary_lease, self.now, proxies)
        primary = tables.servers['p']
        record_position(tables, primary, LogPosition(3, 1), self.now, self.now)
        server_load(tables, 'p').avoided_until = self.now + 1

    def _hear_peers(self, name, tables, heard):
        for other in DOMAINS:
            if other != name:
                tables.peers[other] = PeerView(
                    other,
                    1,
                    '',
                    self.now,
                    False,
                    True,
                    {},
                    failure_domain=other,
                    crossing_shares=heard[other],
                )

    def _tick(self):
        for name, tables in self.tables.items():
            step_crossing(tables, self.now)
            self.shares[name].append(self.crossing(name).now.share)

    def _place(self, domain):
        placement = place_read(
            self.tables[domain],
            self._route,
            NOTHING_SEEN,
            self.now,
            frozenset(),
        )
        server = placement.server.name
        self.sent[domain, server] += 1
        self._pairs[domain, server] = self.now
        wait_s = self.backlog[server] / CAPACITY_PER_S
        if wait_s + SERVICE_S <= self._route.latency_objective_s:
            self.backlog[server] += 1
            self.served[domain] += 1
            if server == domain:
                due = self._step + 1 + round((wait_s + SERVICE_S) / STEP_S)
                self._due[due].append(domain)

    def _note_mutual(self):
        """Count moments at which two domains send to each other."""
        pairs = {
            pair
            for pair, at in self._pairs.items()
            if at > self.now - TICK_STEPS * STEP_S
        }
        self.mutual_reads += sum(
            first < second and (second, first) in pairs
            for first, second in pairs
        )
