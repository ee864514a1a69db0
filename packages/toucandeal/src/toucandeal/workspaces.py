"""Workspaces: the customers that share a deployment, and their keys.

A caller names its workspace by a key. Keys are held and looked up as digests,
so that no table, log line or message shows one.
"""

import hashlib
from typing import NamedTuple

__all__ = ['Workspace', 'key_digest']


class Workspace(NamedTuple):
    """A declared workspace.

    Attributes
    ----------
    name : str
        Servers are told this name.
    priority : int
        0 is the highest.
    rate_per_s : float or None
        Operations a second over all proxies together; None is unlimited.
    burst : float
        Operations beyond the rate that may come at once.
    """

    name: str
    priority: int = 1
    rate_per_s: float | None = None
    burst: float = 0.0


def key_digest(key: str) -> bytes:
    """Return the digest under which a key is looked up.

    Examples
    --------
    >>> key_digest('a').hex()[:8]
    'ca978112'
    """
    return hashlib.sha256(key.encode()).digest()
