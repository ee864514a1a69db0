"""Named faults, with the functions that inject and clear them."""

import signal
from collections.abc import Callable
from typing import NamedTuple

from toucandeal_standins.cluster import Cluster

__all__ = ['FAULTS', 'Fault']

LINKED_PROXY = 'proxy-1'  # the proxy that has links on all its network paths
Recover = Callable[[], None]


class Fault(NamedTuple):
    """A fault; `inject` returns the function that clears it.

    `writes_served` is whether writes are served while the fault lasts.
    """

    inject: Callable[[Cluster], Recover]
    writes_served: bool = True


def _no_recovery() -> None:
    """Do nothing, for faults that cannot be cleared."""


def _primary_killed(cluster: Cluster) -> Recover:
    cluster.primary('reels').process.kill()
    return _no_recovery


def _primary_partitioned(cluster: Cluster) -> Recover:
    primary = cluster.primary('reels')
    primary.fault(partitioned=True)
    return lambda: primary.fault(partitioned=False)


def _primary_stopped(cluster: Cluster) -> Recover:
    process = cluster.primary('reels').process
    process.signal(signal.SIGSTOP)
    return lambda: process.signal(signal.SIGCONT)


def _primary_silent(cluster: Cluster) -> Recover:
    primary = cluster.primary('reels')
    primary.fault(frozen=True)
    return lambda: primary.fault(frozen=False)


def _answers_crossed(cluster: Cluster) -> Recover:
    primary = cluster.primary('reels')
    primary.fault(crossed=True)
    return lambda: primary.fault(crossed=False)


def _replicas_paused(cluster: Cluster) -> Recover:
    replicas = cluster.replicas('reels')
    for replica in replicas:
        replica.fault(paused=True)

    def recover() -> None:
        for replica in replicas:
            replica.fault(paused=False)

    return recover


def _replica_paused(cluster: Cluster) -> Recover:
    replica = cluster.replicas('reels')[0]
    replica.fault(paused=True)
    return lambda: replica.fault(paused=False)


def _proxy_killed(cluster: Cluster) -> Recover:
    cluster.proxies[1].process.kill()
    return _no_recovery


def _proxy_stopped(cluster: Cluster) -> Recover:
    process = cluster.proxies[2].process
    process.signal(signal.SIGSTOP)
    return lambda: process.signal(signal.SIGCONT)


def _store_down(cluster: Cluster) -> Recover:
    cluster.platform_fault(down=True)
    return lambda: cluster.platform_fault(down=False)


def _store_slow(cluster: Cluster) -> Recover:
    cluster.platform_fault(slow_ms=3000)
    return lambda: cluster.platform_fault(slow_ms=0)


def _link_fault(destination: Callable[[Cluster], str], **changes) -> Callable:
    def inject(cluster: Cluster) -> Recover:
        link = cluster.links[LINKED_PROXY, destination(cluster)]
        link.fault(**changes)
        cleared = dict.fromkeys(changes, False)
        return lambda: link.fault(**cleared)

    return inject


def _primary_name(cluster: Cluster) -> str:
    return cluster.primary('reels').name


def _inbound_peer_link_held(cluster: Cluster) -> Recover:
    link = cluster.links['peers', LINKED_PROXY]
    link.fault(hold=True)
    return lambda: link.fault(hold=False, cut=False)


FAULTS = {
    'primary killed': Fault(_primary_killed),
    'primary partitioned': Fault(_primary_partitioned),
    'primary stopped': Fault(_primary_stopped),
    'primary silent': Fault(_primary_silent),
    'answers crossed': Fault(_answers_crossed, writes_served=False),
    'replicas paused': Fault(_replicas_paused, writes_served=False),
    'replica paused': Fault(_replica_paused),
    'proxy killed': Fault(_proxy_killed),
    'proxy stopped': Fault(_proxy_stopped),
    'store down': Fault(_store_down),
    'store slow': Fault(_store_slow),
    'link to primary cut': Fault(_link_fault(_primary_name, cut=True)),
    'link to primary held': Fault(_link_fault(_primary_name, hold=True)),
    'answers of primary lost': Fault(
        _link_fault(_primary_name, lose_answers=True)
    ),
    'peers not heard': Fault(_inbound_peer_link_held),
}
