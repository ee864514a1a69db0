"""Heartbeat interval and failure timeout for targets."""

import functools
from typing import NamedTuple

from toucandeal.tables import Tables

__all__ = ['HeartbeatTiming', 'heartbeat_timing']

POLL_COST_S = 0.0004  # CPU time per status poll
SUSPECT_HEARTBEATS = 3
CACHE_SIZE = 16  # combinations of settings and target counts


class HeartbeatTiming(NamedTuple):
    """Heartbeat interval and the time without an answer that is a failure."""

    heartbeat_s: float
    suspect_s: float


def heartbeat_timing(tables: Tables) -> HeartbeatTiming:
    """Return the timing that keeps heartbeats within their CPU share.

    Examples
    --------
    >>> from toucandeal.policies import Policies
    >>> from toucandeal.tables import ProxyIdentity
    >>> heartbeat_timing(Tables(ProxyIdentity('a', 1), Policies(suspect_s=0.2)))
    HeartbeatTiming(heartbeat_s=0.05, suspect_s=0.2)
    """
    policies = tables.policies
    return _heartbeat_timing(
        tables.polled_targets or len(tables.targets),
        policies.heartbeat_s,
        policies.suspect_s,
        policies.control_share,
    )


@functools.lru_cache(maxsize=CACHE_SIZE)
def _heartbeat_timing(
    targets: int, heartbeat_s: float, suspect_s: float, control_share: float
) -> HeartbeatTiming:
    min_interval_s = targets * POLL_COST_S / control_share
    interval_s = max(heartbeat_s, min_interval_s)
    return HeartbeatTiming(
        interval_s, max(suspect_s, SUSPECT_HEARTBEATS * interval_s)
    )
