"""Settings of a proxy that serves interactive sessions."""

import math
from typing import NamedTuple

from toucandeal.errors import BadSetting
from toucandeal.rate_balances import TOKEN_VALID_S

__all__ = ['LEAST_SLACK', 'FleetSettings', 'RateBounds', 'granted_share']

# A bucket of 10 tokens, and the 10 of a new coordinator.
LEAST_SLACK = 20.0


class RateBounds(NamedTuple):
    """How far a workspace's operations may exceed its limit.

    In any window, at most (rate x window + burst) x (1 + overage) + slack.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


def granted_share(bounds: RateBounds) -> float:
    """Return the share of the limits that may be granted within the bounds.

    Tokens spent in a window were granted in the window or in the validity of
    a token before it, which the overage must cover.

    Raises
    ------
    BadSetting
        No share of the limits keeps within the bounds.

    Examples
    --------
    >>> granted_share(RateBounds())
    1.0
    >>> granted_share(RateBounds(window_s=4.5, overage=0.0))
    0.9
    """
    if not (bounds.window_s > 0 and bounds.overage >= 0 and bounds.slack >= 0):
        raise BadSetting(
            f'The rate window of {bounds.window_s} s with an overage of '
            f'{bounds.overage} and a slack of {bounds.slack} is invalid',
            'Set a window above 0, and an overage and a slack of 0 or more',
        )
    allowed_s = bounds.window_s * (1 + bounds.overage)
    return min(allowed_s / (bounds.window_s + TOKEN_VALID_S), 1.0)


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
    link_mbps : float or None
        Bandwidth of the machine's link; None if it is not known.
    memory_mb : float or None
        Memory at which the process is killed, in MB; None if it is not known.
    drain_s : float
        How long a server that is leaving may get operations.
    requires_keys : bool
        Whether the settings say that the deployment has workspaces, so that
        callers need keys on routes that are not public.
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
    link_mbps: float | None = None
    drain_s: float = math.inf
    memory_mb: float | None = None
    requires_keys: bool = False
