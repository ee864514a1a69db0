"""The time from a change's acceptance until it is in force everywhere."""

import statistics
import time

from toucandeal_standins.bench.report import Measure
from toucandeal_standins.cluster import Cluster, Deployment
from toucandeal_standins.declared import declared_cluster

__all__ = ['measure_configuration']

TIMEOUT_S = 10.0


def _in_force_everywhere(cluster: Cluster, freshness: float) -> bool:
    text = 'show classes where class = glance'
    return all(
        proxy.command(text)['rows'][0]['freshness'] == freshness
        for proxy in cluster.proxies
    )


def _change(cluster: Cluster, number: int) -> tuple[float, float]:
    """Make a change; return how long the answer and the effect took."""
    began = time.monotonic()
    proxy = cluster.proxies[number % len(cluster.proxies)]
    proxy.command(f'set class glance freshness {number + 1}s')
    answered = time.monotonic()
    while not _in_force_everywhere(cluster, number + 1):
        if time.monotonic() - answered > TIMEOUT_S:
            break
    return answered - began, time.monotonic() - began


def measure_configuration(
    deployment: Deployment, trials: int, seed: int, *, cut: bool
) -> Measure:
    """Return the measure, with one peer link down if `cut`."""
    with declared_cluster(deployment, linked=int(cut)) as cluster:
        if cut:
            cluster.links['peers', cluster.proxies[0].name].fault(hold=True)
        times = [_change(cluster, number) for number in range(trials)]
    effects = [effect for _, effect in times]
    return Measure(
        'configuration_link_down' if cut else 'configuration',
        deployment.name,
        {
            'median_answer_s': round(
                statistics.median(answer for answer, _ in times), 4
            ),
            'median_in_force_s': round(statistics.median(effects), 4),
            'worst_in_force_s': round(max(effects), 4),
        },
        trials,
        seed,
    )
