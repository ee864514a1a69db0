"""Settings of a proxy that serves interactive sessions."""

from typing import NamedTuple

__all__ = ['FleetSettings']


class FleetSettings(NamedTuple):
    """Name, listen addresses and stop timeout of a proxy.

    `first_start` is set only while the whole system starts for the first time.
    """

    name: str
    failure_domain: str
    listen_sessions: str
    listen_probe: str
    listen_peers: str
    listen_metrics: str
    stop_timeout_s: float
    first_start: bool = False
