"""The pace of heartbeats to targets."""

import functools
from typing import NamedTuple

from toucandeal.tables import Tables

__all__ = ['Pace', 'pace']

POLL_COST_S = 0.0004  # processor time of one status poll
SUSPECT_HEARTBEATS = 3
CACHED = 16  # combinations of settings and numbers of targets


class Pace(NamedTuple):
    """Period of heartbeats, and the silence that counts as a failure."""

    heartbeat_s: float
    suspect_s: float


def pace(tables: Tables) -> Pace:
    """Return the pace that keeps heartbeats within their processor share.

    Examples
    --------
    >>> from toucandeal.policies import Policies
    >>> from toucandeal.tables import Self
    >>> pace(Tables(Self('a', 1), Policies(suspect_s=0.2)))
    Pace(heartbeat_s=0.05, suspect_s=0.2)
    """
    policies = tables.policies
    return _pace(
        tables.polled_targets or len(tables.targets),
        policies.heartbeat_s,
        policies.suspect_s,
        policies.control_share,
    )


@functools.lru_cache(maxsize=CACHED)
def _pace(
    targets: int, heartbeat_s: float, suspect_s: float, control_share: float
) -> Pace:
    cheapest = targets * POLL_COST_S / control_share
    heartbeat = max(heartbeat_s, cheapest)
    return Pace(heartbeat, max(suspect_s, SUSPECT_HEARTBEATS * heartbeat))
