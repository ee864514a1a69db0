"""Settings of a proxy that serves interactive sessions."""

from typing import NamedTuple

__all__ = ['FleetSettings', 'RateBounds']


class RateBounds(NamedTuple):
    """How far a workspace's operations may exceed its limit.

    In any window, at most (rate x window + burst) x (1 + overage) + slack.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


class FleetSettings(NamedTuple):
    """Name, listen addresses and limits of a proxy.

    Attributes
    ----------
    first_start : bool
        Set only while the whole system starts for the first time.
    revocation_limit_s : float or None
        Time after which no proxy may serve a removed key, even if the proxy is
        disconnected. None if a removed key only has to end with its
        configuration.
    rate_bounds : RateBounds
    crossing_cost_s : float or None
        What a read that leaves the failure domain costs the operator, as an
        additional wait. None keeps the fixed preference for the own domain.
    """

    name: str
    failure_domain: str
    listen_sessions: str
    listen_probe: str
    listen_peers: str
    listen_metrics: str
    stop_timeout_s: float
    first_start: bool = False
    revocation_limit_s: float | None = None
    rate_bounds: RateBounds = RateBounds()
    crossing_cost_s: float | None = None
