"""Share of reads on replicas, compared to a router with perfect knowledge.

Perfect knowledge is computed afterwards: the targets report when they applied
each log entry, so it can be computed for each read whether some replica had
reached its session's position and was fresh enough when the read arrived.
"""

import bisect
import random
import time
from typing import Any, NamedTuple

from twisted.internet import defer

from toucandeal.sessions import decode_unverified_token
from toucandeal_standins import catalogue
from toucandeal_standins.bench.load import run_open_loop
from toucandeal_standins.bench.report import Measure
from toucandeal_standins.callers import Callers, Session
from toucandeal_standins.cluster import Cluster, Deployment
from toucandeal_standins.declared import declared_cluster
from toucandeal_standins.process import post

__all__ = ['CONDITIONS', 'measure_reads']

WARM_UP_S = 1.0


class ServedRead(NamedTuple):
    """A served read: when it started and ended, and its read requirement."""

    start: float
    end: float
    seen_index: int
    freshness_s: float
    from_replica: bool
    staleness_s: float


class AppliedLog(NamedTuple):
    """The times at which a server applied its log entries."""

    times: list[float]

    def index_at(self, at: float) -> int:
        """Return the index of the last entry applied by a time."""
        return bisect.bisect_right(self.times, at)


def _calm(cluster: Cluster) -> None:
    """Inject no fault."""


def _one_far_behind(cluster: Cluster) -> None:
    for group in cluster.groups:
        cluster.replicas(group)[0].fault(paused=True)


def _one_failed(cluster: Cluster) -> None:
    for group in cluster.groups:
        cluster.replicas(group)[0].process.kill()


CONDITIONS = {
    'calm': _calm,
    'one_far_behind': _one_far_behind,
    'one_failed': _one_failed,
}


def _fetch_applied_log(address: str) -> AppliedLog:
    return AppliedLog(post(address, '/applied', method='GET')[2])


def _replica_could_serve(
    read: ServedRead,
    primary: AppliedLog,
    replicas: list[AppliedLog],
    *,
    check_session: bool = True,
) -> bool:
    """Return whether some replica could have served the read."""
    at = read.start
    required_index = primary.index_at(at - read.freshness_s)
    if check_session:
        required_index = max(required_index, read.seen_index)
    return any(replica.index_at(at) >= required_index for replica in replicas)


@defer.inlineCallbacks
def measure_reads(
    deployment: Deployment,
    condition: str,
    rate: float,
    seconds: float,
    seed: int,
    flags: tuple[str, ...] = (),
    label: str = 'bounded',
):
    """Measure reads under one condition and routing policy."""
    generator = random.Random(seed)
    with declared_cluster(deployment, flags) as cluster:
        CONDITIONS[condition](cluster)
        callers = Callers([proxy.callers for proxy in cluster.proxies])
        ledger = catalogue.Ledger(seed, deployment.name)
        sessions = {
            caller: [Session(caller) for _ in range(8)]
            for caller in catalogue.CALLERS
        }
        answers: list[tuple[float, float, int, catalogue.Kind, Any]] = []

        @defer.inlineCallbacks
        def perform_request():
            kind = ledger.pick()
            session = ledger.random.choice(sessions[kind.caller])
            seen_index = _seen_index(session, deployment.group)
            start = time.monotonic()
            answer = yield catalogue.perform(callers, ledger, session, kind)
            if answer.served and kind.request_class in catalogue.FRESHNESS:
                answers.append(
                    (start, time.monotonic(), seen_index, kind, answer)
                )

        yield run_open_loop(rate, seconds, generator, perform_request)
        session = Session(catalogue.CALLERS[1])
        lost, doubled = yield catalogue.verify(callers, ledger, session)
        callers.close()
        reads = [_served_read(*entry) for entry in answers]
        primary_server = cluster.primary(deployment.group)
        primary = _fetch_applied_log(primary_server.address)
        replicas = [
            _fetch_applied_log(server.address)
            for server in cluster.groups[deployment.group]
            if server != primary_server and server.process.is_running
        ]
    servable = sum(
        _replica_could_serve(read, primary, replicas) for read in reads
    )
    # Upper bound for any granularity of session positions: a router without
    # sessions.
    servable_without_sessions = sum(
        _replica_could_serve(read, primary, replicas, check_session=False)
        for read in reads
    )
    served = sum(read.from_replica for read in reads)
    return Measure(
        'replica_reads',
        f'{deployment.name}-{condition}-{label}',
        {
            'replica_share': round(served / len(reads), 4),
            'perfect_share': round(servable / len(reads), 4),
            'perfect_share_without_sessions': round(
                servable_without_sessions / len(reads), 4
            ),
            'ratio_to_perfect': round(served / max(servable, 1), 4),
            'beyond_allowance': ledger.counts['beyond_allowance'],
            'stale_session_reads': ledger.counts['stale_session_reads'],
            'late': ledger.counts['late'],
            'lost': lost + ledger.counts['lost'],
            'doubled': doubled,
            'median_read_ms': round(_median_ms(reads), 2),
        },
        len(reads),
        seed,
    )


def _median_ms(reads: list[ServedRead]) -> float:
    times = sorted(read.end - read.start for read in reads)
    return times[len(times) // 2] * 1000


def _seen_index(session: Session, group: str) -> int:
    return decode_unverified_token(session.token).get(group, (0, 0))[1]


def _served_read(start, end, seen_index, kind, answer) -> ServedRead:
    freshness_s = float(catalogue.FRESHNESS[kind.request_class].rstrip('s'))
    body = answer.body
    return ServedRead(
        start,
        end,
        seen_index,
        freshness_s,
        body['from_replica'],
        body['staleness_ms'] / 1000,
    )
