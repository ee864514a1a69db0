"""Failover gap: primary killed or partitioned, store down, switchover."""

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
AFTER_FAULT_S = 1.5
BEFORE_FAULT_S = 0.1
WRITE_CLASS = 'slow'


class AcknowledgedWrite(NamedTuple):
    """An acknowledged write: its tag and when the answer arrived."""

    tag: str
    answered_at: float


class BookingWriter:
    """Writes bookings at a fixed rate, through the proxies in rotation."""

    def __init__(self, cluster: Cluster) -> None:
        """Start with no writes."""
        self.acknowledged: list[AcknowledgedWrite] = []
        self.refused = 0
        self.unknown = 0
        self.running = True
        self._callers = Callers([proxy.callers for proxy in cluster.proxies])
        self._tags = (f'b{number}' for number in itertools.count())

    @defer.inlineCallbacks
    def run(self):
        """Write until `running` is cleared, then wait for writes in flight."""
        in_flight = []
        while self.running:
            in_flight.append(self._write_booking(next(self._tags)))
            yield sleep(WRITE_PERIOD_S)
        yield defer.gatherResults(in_flight)
        self._callers.close()

    @defer.inlineCallbacks
    def _write_booking(self, tag: str):
        insert = {
            'sql': 'INSERT INTO booking VALUES (?, 1)',
            'parameters': [tag],
        }
        answer = yield self._callers.request(
            Session('conservators'),
            '/v1/statements',
            {
                'caller': 'conservators',
                'class': WRITE_CLASS,
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
            self.acknowledged.append(AcknowledgedWrite(tag, reactor.seconds()))

    def longest_gap(self, fault_at: float) -> float:
        """Return the longest time without an acknowledgement since a fault.

        A gap that has not ended yet counts up to now.
        """
        times = sorted(
            entry.answered_at
            for entry in self.acknowledged
            if entry.answered_at >= fault_at - BEFORE_FAULT_S
        )
        return max(
            later - earlier
            for earlier, later in itertools.pairwise(
                [*times, reactor.seconds()]
            )
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
    restore = _partition(cluster, group)

    def restore_all() -> None:
        restore()
        cluster.platform_fault(down=False)

    return restore_all


def _switchover(cluster: Cluster, group: str) -> Callable[[], None]:
    replica = cluster.replicas(group)[0]
    cluster.proxies[0].command(f'switch primary of {group} to {replica.name}')
    return lambda: None


CASES = {
    'killed': _kill,
    'partitioned': _partition,
    'partitioned_store_down': _partition_store_down,
    'planned': _switchover,
}


def _caught_up(servers: list[Server]) -> bool:
    statuses = [server.status() for server in servers]
    indices = [status['index'] for status in statuses]
    terms = {status['log_term'] for status in statuses}
    return len(terms) == 1 and max(indices) - min(indices) < 50


@defer.inlineCallbacks
def _trial(cluster: Cluster, group: str, inject, writer: BookingWriter):
    yield sleep(SETTLE_S)
    fault_at = reactor.seconds()
    restore = inject(cluster, group)
    yield sleep(AFTER_FAULT_S)
    restore()
    for _ in range(200):
        if _caught_up(cluster.groups[group]):
            break
        yield sleep(0.05)
    return writer.longest_gap(fault_at)


def _stored_tag_counts(cluster: Cluster) -> dict[str, int]:
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
    """Measure the failover gap of one case."""
    gaps = []
    with declared_cluster(deployment, flags) as cluster:
        writer = BookingWriter(cluster)
        writer_done = writer.run()
        for _ in range(trials):
            gap = yield _trial(cluster, deployment.group, CASES[case], writer)
            gaps.append(gap)
            progress()
        writer.running = False
        yield writer_done
        stored_counts = _stored_tag_counts(cluster)
    acknowledged = {entry.tag for entry in writer.acknowledged}
    return Measure(
        f'failover_{case}',
        deployment.name,
        {
            'median_gap_s': round(statistics.median(gaps), 4),
            'worst_gap_s': round(max(gaps), 4),
            'lost': len(acknowledged - set(stored_counts)),
            'doubled': sum(count > 1 for count in stored_counts.values()),
            'refused': writer.refused,
            'unknown': writer.unknown,
            'writes': len(acknowledged),
        },
        trials,
        seed,
        (Series('gap', list(enumerate(sorted(gaps)))),),
        ('trial, sorted', 'gap, s'),
    )
