"""Discrete-event simulation of proxies, servers and callers under load.

The proxies run the production decisions and queues in virtual time; only the
sockets, servers and callers are simulated.
"""

__all__: tuple[str, ...] = ()
