"""The failover gap: killed, partitioned, with the store down, and planned."""

import itertools
import statistics
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import defer, reactor

from toucandeal_standins.bench.load import sleep
from toucandeal_standins.bench.report import Measure, Series
from toucandeal_standins.callers import Callers, Session
from toucandeal_standins.cluster import Cluster, Deployment, Server
from toucandeal_standins.declared import declared_cluster
from toucandeal_standins.process import wait_until

__all__ = ['CASES', 'measure_failover']

WRITE_PERIOD_S = 0.004
SETTLE_S = 0.5
WINDOW_S = 1.5
LEAD_S = 0.1
GROUP_CLASS = 'slow'


class Acknowledged(NamedTuple):
    """An acknowledged write: its tag and when the answer came."""

    tag: str
    at: float


class Writer:
    """Books without pause, at a fixed rate, through all proxies in turn."""

    def __init__(self, cluster: Cluster) -> None:
        """Start with nothing written."""
        self.acknowledged: list[Acknowledged] = []
        self.refused = 0
        self.unknown = 0
        self.running = True
        self._callers = Callers([proxy.callers for proxy in cluster.proxies])
        self._tags = (f'b{number}' for number in itertools.count())

    @defer.inlineCallbacks
    def run(self):
        """Write until `running` is cleared, then wait for the last ones."""
        under_way = []
        while self.running:
            under_way.append(self._book(next(self._tags)))
            yield sleep(WRITE_PERIOD_S)
        yield defer.gatherResults(under_way)
        self._callers.close()

    @defer.inlineCallbacks
    def _book(self, tag: str):
        insert = {
            'sql': 'INSERT INTO booking VALUES (?, 1)',
            'parameters': [tag],
        }
        answer = yield self._callers.request(
            Session('conservators'),
            '/v1/statements',
            {
                'caller': 'conservators',
                'class': GROUP_CLASS,
                'key': tag,
                'statements': [insert],
            },
        )
        self.refused += sum(
            attempt.status == 503 for attempt in answer.attempts
        )
        self.unknown += sum(
            attempt.status == 504 for attempt in answer.attempts
        )
        if answer.served:
            self.acknowledged.append(Acknowledged(tag, reactor.seconds()))

    def gap_around(self, at: float) -> float:
        """Return the longest silence of acknowledgements around a fault."""
        times = sorted(
            entry.at
            for entry in self.acknowledged
            if at - LEAD_S <= entry.at <= at + WINDOW_S
        )
        return max(
            later - earlier for earlier, later in itertools.pairwise(times)
        )


def _kill(cluster: Cluster, group: str) -> Callable[[], None]:
    primary = cluster.primary(group)
    primary.process.kill()

    def restart() -> None:
        primary.process.start()
        wait_until(primary.status, primary.name)

    return restart


def _partition(cluster: Cluster, group: str) -> Callable[[], None]:
    primary = cluster.primary(group)
    primary.fault(partitioned=True)
    return lambda: primary.fault(partitioned=False)


def _partition_store_down(cluster: Cluster, group: str) -> Callable[[], None]:
    cluster.platform_fault(down=True)
    heal = _partition(cluster, group)

    def ended() -> None:
        heal()
        cluster.platform_fault(down=False)

    return ended


def _switch(cluster: Cluster, group: str) -> Callable[[], None]:
    replica = cluster.replicas(group)[0]
    cluster.proxies[0].command(f'switch primary of {group} to {replica.name}')
    return lambda: None


CASES = {
    'killed': _kill,
    'partitioned': _partition,
    'partitioned_store_down': _partition_store_down,
    'planned': _switch,
}


def _caught_up(servers: list[Server]) -> bool:
    statuses = [server.status() for server in servers]
    indices = [status['index'] for status in statuses]
    terms = {status['log_term'] for status in statuses}
    return len(terms) == 1 and max(indices) - min(indices) < 50


@defer.inlineCallbacks
def _trial(cluster: Cluster, group: str, inject, writer: Writer):
    yield sleep(SETTLE_S)
    at = reactor.seconds()
    heal = inject(cluster, group)
    yield sleep(WINDOW_S)
    heal()
    for _ in range(200):
        if _caught_up(cluster.groups[group]):
            break
        yield sleep(0.05)
    return writer.gap_around(at)


def _held_tags(cluster: Cluster) -> dict[str, int]:
    from toucandeal_standins.requests import SyncSession

    session = SyncSession(cluster, 'conservators')
    reply = session.read(
        'SELECT tag, count(*) FROM booking GROUP BY tag', proxy=0
    )
    return dict(reply.body['results'][0]['rows'])


@defer.inlineCallbacks
def measure_failover(
    deployment: Deployment,
    case: str,
    trials: int,
    seed: int,
    progress,
    flags: tuple[str, ...] = (),
):
    """Return the measure of one kind of failover."""
    gaps = []
    with declared_cluster(deployment, flags) as cluster:
        writer = Writer(cluster)
        ended = writer.run()
        for _ in range(trials):
            gap = yield _trial(cluster, deployment.group, CASES[case], writer)
            gaps.append(gap)
            progress()
        writer.running = False
        yield ended
        held = _held_tags(cluster)
    acknowledged = {entry.tag for entry in writer.acknowledged}
    return Measure(
        f'failover_{case}',
        deployment.name,
        {
            'median_gap_s': round(statistics.median(gaps), 4),
            'worst_gap_s': round(max(gaps), 4),
            'lost': len(acknowledged - set(held)),
            'doubled': sum(count > 1 for count in held.values()),
            'refused': writer.refused,
            'unknown': writer.unknown,
            'writes': len(acknowledged),
        },
        trials,
        seed,
        (Series('gap', list(enumerate(sorted(gaps)))),),
        ('trial, sorted', 'gap, s'),
    )
