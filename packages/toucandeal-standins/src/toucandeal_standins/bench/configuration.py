"""Time from the acceptance of a change until it is in force everywhere."""

import statistics
import time

from toucandeal_standins.bench.report import Measure
from toucandeal_standins.cluster import Cluster, Deployment
from toucandeal_standins.declared import declared_cluster

__all__ = ['measure_configuration']

TIMEOUT_S = 10.0


def _in_force_everywhere(cluster: Cluster, freshness_s: float) -> bool:
    text = 'show classes where class = glance'
    return all(
        proxy.command(text)['rows'][0]['freshness'] == freshness_s
        for proxy in cluster.proxies
    )


def _apply_change(cluster: Cluster, change_number: int) -> tuple[float, float]:
    """Apply a change; return the seconds to the answer and until in force."""
    start = time.monotonic()
    proxy = cluster.proxies[change_number % len(cluster.proxies)]
    proxy.command(f'set class glance freshness {change_number + 1}s')
    answered_at = time.monotonic()
    while not _in_force_everywhere(cluster, change_number + 1):
        if time.monotonic() - answered_at > TIMEOUT_S:
            break
    return answered_at - start, time.monotonic() - start


def measure_configuration(
    deployment: Deployment, trials: int, seed: int, *, peer_link_down: bool
) -> Measure:
    """Measure configuration changes, optionally with one peer link down."""
    with declared_cluster(deployment, linked=int(peer_link_down)) as cluster:
        if peer_link_down:
            cluster.links['peers', cluster.proxies[0].name].fault(hold=True)
        times = [
            _apply_change(cluster, change_number)
            for change_number in range(trials)
        ]
    in_force_times = [in_force_s for _, in_force_s in times]
    return Measure(
        'configuration_link_down' if peer_link_down else 'configuration',
        deployment.name,
        {
            'median_answer_s': round(
                statistics.median(answer_s for answer_s, _ in times), 4
            ),
            'median_in_force_s': round(statistics.median(in_force_times), 4),
            'worst_in_force_s': round(max(in_force_times), 4),
        },
        trials,
        seed,
    )
