"""Settings of a proxy that serves interactive sessions."""

from typing import NamedTuple

__all__ = ['FleetSettings']


class FleetSettings(NamedTuple):
    """Where the proxy listens, and how long it may take to stop."""

    name: str
    failure_domain: str
    listen_sessions: str
    listen_probe: str
    listen_peers: str
    listen_metrics: str
    stop_timeout_s: float
