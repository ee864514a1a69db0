"""Served, late, lost and stale requests under load, and fairness."""

import functools
import random
from typing import Any

from twisted.internet import defer

from toucandeal_standins import catalogue
from toucandeal_standins.bench.load import run_open_loop, sleep
from toucandeal_standins.bench.report import Measure
from toucandeal_standins.callers import Callers, Session
from toucandeal_standins.cluster import Deployment, class_suffixes
from toucandeal_standins.declared import declared_cluster

__all__ = ['capacity_per_s', 'measure_fairness', 'measure_outcomes']

RETRY_WINDOW_S = catalogue.GLANCE.deadline_s


def capacity_per_s(deployment: Deployment) -> float:
    """Return the requests per second that the targets' slots can serve."""
    slots = deployment.groups * deployment.servers * deployment.slots
    return slots * 1000 / deployment.service_ms


class Workload:
    """Generates catalogue requests over all groups of a deployment."""

    def __init__(self, cluster, seed: int) -> None:
        """Prepare sessions; connections are opened by the first requests."""
        self.callers = Callers([proxy.callers for proxy in cluster.proxies])
        # A late request is not retried, so that goodput is measured.
        self.callers.give_up_s = RETRY_WINDOW_S
        self.ledger = catalogue.Ledger(seed, cluster.deployment.name)
        self.suffixes = class_suffixes(cluster.deployment)
        self.sessions = {
            (caller, suffix): [Session(caller) for _ in range(8)]
            for caller in catalogue.CALLERS
            for suffix in self.suffixes
        }

    @defer.inlineCallbacks
    def perform_request(self):
        """Perform one request of the mix."""
        ledger = self.ledger
        kind = ledger.pick()
        suffix = ledger.random.choice(self.suffixes)
        session = ledger.random.choice(self.sessions[kind.caller, suffix])
        yield catalogue.perform(
            self.callers, ledger, session, kind, suffix, interactive=False
        )


@defer.inlineCallbacks
def measure_outcomes(
    deployment: Deployment,
    load: float,
    seconds: float,
    seed: int,
    *,
    kill_proxy: bool = False,
    flags: tuple[str, ...] = (),
    label: str = '',
):
    """Measure outcomes at an offered load of `load` times the capacity."""
    generator = random.Random(seed)
    rate_per_s = load * capacity_per_s(deployment)
    with declared_cluster(deployment, flags) as cluster:
        workload = Workload(cluster, seed)
        running = run_open_loop(
            rate_per_s, seconds, generator, workload.perform_request
        )
        if kill_proxy:
            yield sleep(seconds / 2)
            cluster.proxies[-1].process.kill()
            workload.callers.addresses = workload.callers.addresses[:-1]
        yield running
        counts = workload.ledger.counts
        workload.callers.close()
    total = counts['requests']
    in_time_shares = _in_time_shares(workload.ledger)
    name = f'{load:g}x' + '-proxy-killed' * kill_proxy + label
    return Measure(
        'outcomes',
        f'{deployment.name}-{name}',
        {
            'offered_per_s': round(rate_per_s, 1),
            'in_time_per_s': round(counts['in_time'] / seconds, 1),
            'served_share': round(counts['served'] / total, 4),
            'late_share': round(counts['late'] / total, 4),
            'lost_share': round(counts['lost'] / total, 4),
            'weighted_cost_per_request': round(
                workload.ledger.weighted / total, 4
            ),
            'stale_session_reads': counts['stale_session_reads'],
            **in_time_shares,
        },
        total,
        seed,
    )


def _in_time_shares(ledger) -> dict[str, Any]:
    return {
        f'{kind.request_class}_in_time_share': round(
            ledger.by_kind[kind.request_class, 'in_time']
            / max(
                sum(
                    ledger.by_kind[kind.request_class, outcome]
                    for outcome in ('in_time', 'late', 'lost')
                ),
                1,
            ),
            4,
        )
        for kind in catalogue.KINDS
    }


@defer.inlineCallbacks
def measure_fairness(
    deployment: Deployment,
    seconds: float,
    seed: int,
    flags: tuple[str, ...] = (),
    label: str = 'fair',
):
    """Measure other callers' reads while one sends ten times its share."""
    generator = random.Random(seed)
    share_per_s = capacity_per_s(deployment) / 6
    with declared_cluster(deployment, flags) as cluster:
        callers = Callers([proxy.callers for proxy in cluster.proxies])
        counts = {caller: [0, 0] for caller in catalogue.CALLERS}

        @defer.inlineCallbacks
        def read(caller: str):
            answer = yield callers.request(
                Session(caller),
                '/v1/statements',
                {
                    'caller': caller,
                    'class': 'glance',
                    'statements': [{'sql': 'SELECT 1'}],
                },
                give_up_s=0,
            )
            counts[caller][0] += 1
            in_time = answer.served and (
                answer.elapsed_s <= catalogue.GLANCE.deadline_s
            )
            counts[caller][1] += not in_time

        burst, *others = catalogue.CALLERS
        rates = {burst: share_per_s * 10, **dict.fromkeys(others, share_per_s)}
        running = [
            run_open_loop(
                rate_per_s, seconds, generator, functools.partial(read, caller)
            )
            for caller, rate_per_s in rates.items()
        ]
        yield defer.gatherResults(running)
        callers.close()
    other_total = sum(counts[caller][0] for caller in others)
    other_not_in_time = sum(counts[caller][1] for caller in others)
    return Measure(
        'fairness',
        f'{deployment.name}-{label}',
        {
            'others_not_in_time_share': round(
                other_not_in_time / other_total, 4
            ),
            'burst_not_in_time_share': round(
                counts[burst][1] / counts[burst][0], 4
            ),
            'offered_per_s': round(share_per_s * 12),
        },
        other_total,
        seed,
    )
