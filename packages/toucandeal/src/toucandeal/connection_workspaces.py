"""The workspaces of connections, and of the requests for them.

A connection is opened in the name of a workspace, and serves no statement of
another one. Both sides have a case without a workspace of their own: a request
of the proxy itself, which may use any connection, and a connection that a
lender has chosen for such a request, whose workspace is not known here.
"""

import enum

__all__ = [
    'ANY_WORKSPACE',
    'UNKNOWN_WORKSPACE',
    'ConnectionWorkspace',
    'RequestedWorkspace',
    'serves',
    'workspace_if_opened',
]


class _Requested(enum.Enum):
    ANY = 'any workspace'

    def __str__(self) -> str:
        return self.value


class _Held(enum.Enum):
    UNKNOWN = 'an unknown workspace'

    def __str__(self) -> str:
        return self.value


ANY_WORKSPACE = _Requested.ANY  # of a request of the proxy's own
UNKNOWN_WORKSPACE = _Held.UNKNOWN  # of a connection lent for such a request

RequestedWorkspace = str | _Requested
ConnectionWorkspace = str | _Held


def serves(
    workspace: ConnectionWorkspace, requested: RequestedWorkspace
) -> bool:
    """Return whether a connection of a workspace may serve a request.

    Examples
    --------
    >>> serves('a', 'a'), serves('a', 'b'), serves('a', ANY_WORKSPACE)
    (True, False, True)
    >>> serves(UNKNOWN_WORKSPACE, 'a'), serves(UNKNOWN_WORKSPACE, ANY_WORKSPACE)
    (False, True)
    """
    return requested is ANY_WORKSPACE or workspace == requested


def workspace_if_opened(
    requested: RequestedWorkspace, *, borrowed: bool
) -> ConnectionWorkspace:
    """Return the workspace of a new connection for a request.

    Examples
    --------
    >>> workspace_if_opened('a', borrowed=True)
    'a'
    >>> workspace_if_opened(ANY_WORKSPACE, borrowed=False)
    ''
    >>> workspace_if_opened(ANY_WORKSPACE, borrowed=True) is UNKNOWN_WORKSPACE
    True
    """
    if requested is not ANY_WORKSPACE:
        return requested
    return UNKNOWN_WORKSPACE if borrowed else ''
