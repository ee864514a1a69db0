"""Faults by name: how each is brought about and how it ends."""

import signal
from collections.abc import Callable
from typing import NamedTuple

from toucandeal_standins.cluster import Cluster

__all__ = ['FAULTS', 'Fault']

LINKED = 'proxy-1'  # the proxy that has links before all that it reaches
Heal = Callable[[], None]


class Fault(NamedTuple):
    """A fault; `inject` returns what ends it.

    `writes_go_on` tells whether writes are served while it lasts.
    """

    inject: Callable[[Cluster], Heal]
    writes_go_on: bool = True


def _nothing() -> None:
    """End a fault that can't be ended."""


def _primary_killed(cluster: Cluster) -> Heal:
    cluster.primary('reels').process.kill()
    return _nothing


def _primary_partitioned(cluster: Cluster) -> Heal:
    primary = cluster.primary('reels')
    primary.fault(partitioned=True)
    return lambda: primary.fault(partitioned=False)


def _primary_stopped(cluster: Cluster) -> Heal:
    process = cluster.primary('reels').process
    process.signal(signal.SIGSTOP)
    return lambda: process.signal(signal.SIGCONT)


def _primary_silent(cluster: Cluster) -> Heal:
    primary = cluster.primary('reels')
    primary.fault(frozen=True)
    return lambda: primary.fault(frozen=False)


def _answers_crossed(cluster: Cluster) -> Heal:
    primary = cluster.primary('reels')
    primary.fault(crossed=True)
    return lambda: primary.fault(crossed=False)


def _replicas_paused(cluster: Cluster) -> Heal:
    replicas = cluster.replicas('reels')
    for replica in replicas:
        replica.fault(paused=True)

    def heal() -> None:
        for replica in replicas:
            replica.fault(paused=False)

    return heal


def _replica_paused(cluster: Cluster) -> Heal:
    replica = cluster.replicas('reels')[0]
    replica.fault(paused=True)
    return lambda: replica.fault(paused=False)


def _proxy_killed(cluster: Cluster) -> Heal:
    cluster.proxies[1].process.kill()
    return _nothing


def _proxy_stopped(cluster: Cluster) -> Heal:
    process = cluster.proxies[2].process
    process.signal(signal.SIGSTOP)
    return lambda: process.signal(signal.SIGCONT)


def _store_down(cluster: Cluster) -> Heal:
    cluster.platform_fault(down=True)
    return lambda: cluster.platform_fault(down=False)


def _store_slow(cluster: Cluster) -> Heal:
    cluster.platform_fault(slow_ms=3000)
    return lambda: cluster.platform_fault(slow_ms=0)


def _link_fault(far: Callable[[Cluster], str], **changes) -> Callable:
    def inject(cluster: Cluster) -> Heal:
        link = cluster.links[LINKED, far(cluster)]
        link.fault(**changes)
        ended = dict.fromkeys(changes, False)
        return lambda: link.fault(**ended)

    return inject


def _primary_name(cluster: Cluster) -> str:
    return cluster.primary('reels').name


def _peers_not_heard(cluster: Cluster) -> Heal:
    link = cluster.links['peers', LINKED]
    link.fault(hold=True)
    return lambda: link.fault(hold=False, cut=False)


FAULTS = {
    'primary killed': Fault(_primary_killed),
    'primary partitioned': Fault(_primary_partitioned),
    'primary stopped': Fault(_primary_stopped),
    'primary silent': Fault(_primary_silent),
    'answers crossed': Fault(_answers_crossed, writes_go_on=False),
    'replicas paused': Fault(_replicas_paused, writes_go_on=False),
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
    'peers not heard': Fault(_peers_not_heard),
}
