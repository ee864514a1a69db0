"""The share of reads on replicas, against a router with perfect knowledge.

Perfect knowledge is worked out afterwards: the targets tell when they applied
each log entry, so for each read it is known whether some replica covered its
session and was fresh enough when the read arrived.
"""

import bisect
import random
import time
from typing import Any, NamedTuple

from twisted.internet import defer

from toucandeal.sessions import decode_unverified_token
from toucandeal_standins import catalogue
from toucandeal_standins.bench.load import arrivals
from toucandeal_standins.bench.report import Measure
from toucandeal_standins.callers import Callers, Session
from toucandeal_standins.cluster import Cluster, Deployment
from toucandeal_standins.declared import declared_cluster
from toucandeal_standins.process import post

__all__ = ['CONDITIONS', 'measure_reads']

WARM_UP_S = 1.0


class Read(NamedTuple):
    """A read: when it began and ended, and what it had to cover."""

    began: float
    ended: float
    seen_index: int
    freshness_s: float
    from_replica: bool
    staleness_s: float


class Applied(NamedTuple):
    """When a server applied each entry of its log."""

    times: list[float]

    def index_at(self, at: float) -> int:
        """Return the server's position at a time."""
        return bisect.bisect_right(self.times, at)


def _calm(cluster: Cluster) -> None:
    """Leave the deployment as it is."""


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


def _applied(address: str) -> Applied:
    return Applied(post(address, '/applied', method='GET')[2])


def _perfect(
    read: Read,
    primary: Applied,
    replicas: list[Applied],
    *,
    sessions: bool = True,
) -> bool:
    """Return whether some replica could have served the read."""
    at = read.began
    needed = primary.index_at(at - read.freshness_s)
    if sessions:
        needed = max(needed, read.seen_index)
    return any(replica.index_at(at) >= needed for replica in replicas)


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
    """Return the measure of reads under one condition and policy."""
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
        def one():
            kind = ledger.pick()
            session = ledger.random.choice(sessions[kind.caller])
            seen = _seen_index(session, deployment.group)
            began = time.monotonic()
            answer = yield catalogue.perform(callers, ledger, session, kind)
            if answer.served and kind.request_class in catalogue.FRESHNESS:
                answers.append((began, time.monotonic(), seen, kind, answer))

        yield arrivals(rate, seconds, generator, one)
        session = Session(catalogue.CALLERS[1])
        lost, doubled = yield catalogue.verify(callers, ledger, session)
        callers.close()
        reads = [_to_read(*entry) for entry in answers]
        primary_server = cluster.primary(deployment.group)
        primary = _applied(primary_server.address)
        replicas = [
            _applied(server.address)
            for server in cluster.groups[deployment.group]
            if server != primary_server and server.process.is_running
        ]
    perfect = sum(_perfect(read, primary, replicas) for read in reads)
    # No granularity of session positions can beat a router without sessions.
    unbound = sum(
        _perfect(read, primary, replicas, sessions=False) for read in reads
    )
    served = sum(read.from_replica for read in reads)
    return Measure(
        'replica_reads',
        f'{deployment.name}-{condition}-{label}',
        {
            'replica_share': round(served / len(reads), 4),
            'perfect_share': round(perfect / len(reads), 4),
            'perfect_share_without_sessions': round(unbound / len(reads), 4),
            'ratio_to_perfect': round(served / max(perfect, 1), 4),
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


def _median_ms(reads: list[Read]) -> float:
    times = sorted(read.ended - read.began for read in reads)
    return times[len(times) // 2] * 1000


def _seen_index(session: Session, group: str) -> int:
    return decode_unverified_token(session.token).get(group, (0, 0))[1]


def _to_read(began, ended, seen, kind, answer) -> Read:
    freshness_s = float(catalogue.FRESHNESS[kind.request_class].rstrip('s'))
    body = answer.body
    return Read(
        began,
        ended,
        seen,
        freshness_s,
        body['from_replica'],
        body['staleness_ms'] / 1000,
    )
