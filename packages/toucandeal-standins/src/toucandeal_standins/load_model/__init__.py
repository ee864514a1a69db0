"""A model of proxies, servers and callers under load, in virtual time.

The proxies run the decisions and the queues of the real ones; only sockets,
servers and callers are modelled.
"""

__all__: tuple[str, ...] = ()
