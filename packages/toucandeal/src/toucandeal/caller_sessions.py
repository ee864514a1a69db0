"""Caller sessions, and their state on pooled server connections.

The proxy keeps the values and prepared statements of each session. Before a
statement runs on a server connection, the shortest list of steps brings the
connection into the session's state. The proxy names prepared statements on
server connections itself, with one name for each shape, so that connections
keep them across sessions.
"""

import hashlib
import itertools
from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from toucandeal.fleet import Route
from toucandeal.positions import NOTHING_SEEN, LogPosition

__all__ = [
    'CONNECTION_LIMIT_BYTES',
    'CallerSession',
    'ConnectionState',
    'OpenTransaction',
    'PrepareShape',
    'PreparedShape',
    'ResetSession',
    'SetValue',
    'SetupStep',
    'STATE_LIMIT_BYTES',
    'TRANSACTION_LIMIT_BYTES',
    'apply_step',
    'exceeds_state_limit',
    'setup_steps',
    'shape_name',
]


# Of a session's values and prepared statements, with their names.
STATE_LIMIT_BYTES = 65_536
_ENTRY_BYTES = 100  # of memory for each, besides the text
# Of the shapes that a connection holds for all the sessions that used it.
CONNECTION_LIMIT_BYTES = 65_536
# In a transaction each statement may use a shape as large as the limit of a
# session allows.
_TRANSACTION_STATEMENTS = 12
TRANSACTION_LIMIT_BYTES = CONNECTION_LIMIT_BYTES * (1 + _TRANSACTION_STATEMENTS)
_DIGEST_BYTES = 16  # of a shape; a caller can't find two with the same digest


class PreparedShape(NamedTuple):
    """What a prepared statement does."""

    shape: str
    writes: bool


class SetValue(NamedTuple):
    """Set a session value on the connection."""

    name: str
    setting: str


class PrepareShape(NamedTuple):
    """Prepare a shape on the connection, under the proxy's name for it."""

    prepared: PreparedShape


class ResetSession(NamedTuple):
    """Clear the connection's values and prepared statements."""


SetupStep = SetValue | PrepareShape | ResetSession


class ConnectionState:
    """The values and prepared shapes that a server connection has."""

    def __init__(self) -> None:
        """Start with the state of a new connection."""
        self.values: dict[str, str] = {}
        self._shapes: set[PreparedShape] = set()
        self._shape_bytes = 0

    @property
    def shapes(self) -> AbstractSet[PreparedShape]:
        """Return the prepared shapes."""
        return self._shapes

    @property
    def shape_bytes(self) -> int:
        """Return about how much memory the prepared shapes take."""
        return self._shape_bytes

    def add_shapes(self, shapes: Iterable[PreparedShape]) -> None:
        """Note shapes that were prepared."""
        for prepared in shapes:
            if prepared not in self._shapes:
                self._shapes.add(prepared)
                self._shape_bytes += _memory_bytes(prepared)

    def clear_shapes(self) -> None:
        """Note that no shape is prepared."""
        self._shapes.clear()
        self._shape_bytes = 0


class OpenTransaction:
    """A caller's transaction.

    `connection` is the server connection that it uses and `placement` how that
    connection's server was selected; both are set by the first statement that
    is forwarded.
    `route` is the one that was in force when the transaction began.
    """

    def __init__(
        self, route: Route, *, read_only: bool, began_at: float
    ) -> None:
        """Begin without a connection."""
        self.route = route
        self.read_only = read_only
        self.began_at = began_at
        self.used_at = began_at
        self.connection = None
        self.placement = None
        self.wrote = False
        self.failure: str | None = None


class CallerSession:
    """The state that a proxy keeps for one caller's connection.

    `key_digest` identifies the key that the caller gave, and `workspace` is
    the workspace that holds it; both are empty without workspaces. `ran` is
    whether a server may have run the operation in progress, and `ended`
    whether the caller has left.
    """

    def __init__(
        self,
        identity: int,
        database: str,
        key_digest: bytes = b'',
        workspace: str = '',
    ) -> None:
        """Start a session without values."""
        self.identity = identity
        self.database = database
        self.key_digest = key_digest
        self.workspace = workspace
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedShape] = {}
        self.seen: LogPosition = NOTHING_SEEN
        self.transaction: OpenTransaction | None = None
        self.busy = False
        self.ran = False
        self.ended = False

    @property
    def state(self) -> str:
        """Return ``idle``, ``open`` or ``failed``, the transaction's state."""
        if self.transaction is None:
            return 'idle'
        return 'open' if self.transaction.failure is None else 'failed'


def exceeds_state_limit(
    session: CallerSession, name: str, text: str, *, prepares: bool = False
) -> bool:
    """Return whether a value or prepared statement would be too much.

    It answers a flood of values and names, which last until the session ends.

    Parameters
    ----------
    session : CallerSession
    name, text : str
        Of the value or prepared statement, and its setting or shape. It
        replaces the one of the same name.
    prepares : bool
        Whether it is a prepared statement.

    Examples
    --------
    >>> session = CallerSession(1, 'db')
    >>> exceeds_state_limit(session, 'zone', 'a')
    False
    >>> exceeds_state_limit(session, 'zone', 'a' * STATE_LIMIT_BYTES)
    True
    """
    shapes = {known: each.shape for known, each in session.prepared.items()}
    values = session.values
    if prepares:
        shapes[name] = text
    else:
        values = {**values, name: text}
    texts = itertools.chain(values.items(), shapes.items())
    used = sum(
        len(known.encode()) + len(each.encode()) + _ENTRY_BYTES
        for known, each in texts
    )
    return used > STATE_LIMIT_BYTES


def shape_name(prepared: PreparedShape) -> str:
    """Return the proxy's name for a shape on server connections.

    A shape may have any characters and a name may not, so the name is a digest.
    All proxies derive the same one, whose connections are lent to each other.

    Examples
    --------
    >>> shape_name(PreparedShape('q2c', True))
    'w_bec4366cb4b5e68634e8f9fc5fa9179f'
    >>> len(shape_name(PreparedShape('q2c WRITE q3', True)))
    34
    """
    digest = hashlib.blake2b(
        prepared.shape.encode(), digest_size=_DIGEST_BYTES
    ).hexdigest()
    return f'{"w" if prepared.writes else "r"}_{digest}'


def setup_steps(
    connection_state: ConnectionState,
    values: dict[str, str],
    shapes: Iterable[PreparedShape],
    limit_bytes: int = CONNECTION_LIMIT_BYTES,
) -> list[SetupStep]:
    """Return the steps that bring a connection into a session's state.

    Parameters
    ----------
    connection_state : ConnectionState
        The present state of the connection.
    values : dict of str to str
        The session's values; the connection must have no others.
    shapes : iterable of PreparedShape
        The shapes that the next statement needs; others may stay prepared.
    limit_bytes : int
        Of the prepared shapes, beyond which the others are cleared.

    Examples
    --------
    >>> state = ConnectionState()
    >>> state.values['zone'] = 'a'
    >>> setup_steps(state, {'zone': 'b'}, [])
    [SetValue(name='zone', setting='b')]
    >>> setup_steps(state, {}, [])
    [ResetSession()]
    """
    missing = [
        shape
        for shape in dict.fromkeys(shapes)
        if shape not in connection_state.shapes
    ]
    needs_reset = any(
        name not in values for name in connection_state.values
    ) or _exceeds_limit(connection_state, missing, limit_bytes)
    current_values = {} if needs_reset else connection_state.values
    return list(
        itertools.chain(
            [ResetSession()] if needs_reset else [],
            (
                SetValue(name, setting)
                for name, setting in values.items()
                if current_values.get(name) != setting
            ),
            map(
                PrepareShape, dict.fromkeys(shapes) if needs_reset else missing
            ),
        )
    )


def apply_step(connection_state: ConnectionState, step: SetupStep) -> None:
    """Record a step that the server has acknowledged."""
    match step:
        case SetValue(name, setting):
            connection_state.values[name] = setting
        case PrepareShape(prepared):
            connection_state.add_shapes([prepared])
        case ResetSession():
            connection_state.values.clear()
            connection_state.clear_shapes()


def _memory_bytes(prepared: PreparedShape) -> int:
    return len(prepared.shape.encode()) + _ENTRY_BYTES


def _exceeds_limit(
    connection_state: ConnectionState,
    missing: list[PreparedShape],
    limit_bytes: int,
) -> bool:
    """Return whether clearing a connection's shapes makes room for others."""
    held = connection_state.shape_bytes
    if not (missing and held):
        return False
    return held + sum(map(_memory_bytes, missing)) > limit_bytes
