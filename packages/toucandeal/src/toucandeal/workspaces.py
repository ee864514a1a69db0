"""Workspaces: the customers that share a deployment, and their keys.

A caller names its workspace by a key. Keys are held and looked up as digests,
so that no table, log line or message shows one.
"""

import hashlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ['Workspace', 'key_digest', 'key_workspaces', 'workspace_of']


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


def key_workspaces(held_keys: Iterable[tuple[str, str]]) -> dict[bytes, str]:
    """Return the workspace of each key, by the key's digest.

    A blank key identifies no workspace, and neither does one that several
    workspaces hold.

    Parameters
    ----------
    held_keys : iterable of (str, str)
        Names of workspaces, each with a key that it holds.

    Examples
    --------
    >>> held = [('north', 'a'), ('north', ''), ('north', 'b'), ('south', 'b')]
    >>> key_workspaces(held) == {key_digest('a'): 'north'}
    True
    """
    holders: dict[bytes, set[str]] = {}
    for workspace, key in held_keys:
        if key.strip():
            holders.setdefault(key_digest(key), set()).add(workspace)
    return {
        digest: next(iter(names))
        for digest, names in holders.items()
        if len(names) == 1
    }


def workspace_of(
    key_workspaces: Mapping[bytes, str],
    digest: bytes,
    *,
    needs_key: bool,
) -> str | None:
    """Return the workspace in which a session runs.

    Parameters
    ----------
    key_workspaces : mapping
        Name of the workspace by digest of the key, of the configuration in
        force.
    digest : bytes
        Of the key that the caller gave.
    needs_key : bool
        Whether a session without a known key is refused.

    Returns
    -------
    str or None
        The workspace, an empty string for none, or None if the session must
        be refused.

    Examples
    --------
    >>> keys = {key_digest('a'): 'north'}
    >>> workspace_of(keys, key_digest('a'), needs_key=True)
    'north'
    >>> workspace_of(keys, key_digest('b'), needs_key=False)
    ''
    >>> workspace_of(keys, key_digest('b'), needs_key=True) is None
    True
    """
    return key_workspaces.get(digest, None if needs_key else '')
