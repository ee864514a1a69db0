"""The pace of heartbeats to targets."""

from typing import NamedTuple

from toucandeal.tables import Tables

__all__ = ['Pace', 'pace']

POLL_COST_S = 0.0004  # processor time of one status poll
SUSPECT_HEARTBEATS = 3


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
    cheapest = len(tables.targets) * POLL_COST_S / policies.control_share
    heartbeat = max(policies.heartbeat_s, cheapest)
    return Pace(
        heartbeat, max(policies.suspect_s, SUSPECT_HEARTBEATS * heartbeat)
    )
