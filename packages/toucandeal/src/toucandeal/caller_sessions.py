"""A caller's session, and how it is laid onto a server connection.

The session's values and prepared statements belong to the proxy. Before a
statement runs on a server connection, the connection is brought into the
session's state by the shortest list of steps. Prepared statements have names
of the proxy's own, one for each shape, so connections keep them from one
session to the next.
"""

import itertools
from collections.abc import Iterable
from typing import NamedTuple

from toucandeal.fleet import Route
from toucandeal.positions import NOTHING_SEEN, LogPosition

__all__ = [
    'CallerSession',
    'LaidState',
    'OpenTransaction',
    'PrepareShape',
    'PreparedShape',
    'ResetSession',
    'SetValue',
    'SetupStep',
    'apply_step',
    'setup_steps',
    'shape_name',
]


class PreparedShape(NamedTuple):
    """What a prepared statement does."""

    shape: str
    writes: bool


class SetValue(NamedTuple):
    """Give a session value to the connection."""

    name: str
    setting: str


class PrepareShape(NamedTuple):
    """Prepare a shape on the connection, under the proxy's name for it."""

    prepared: PreparedShape


class ResetSession(NamedTuple):
    """Clear the connection's values and prepared statements."""


SetupStep = SetValue | PrepareShape | ResetSession


class LaidState:
    """The values and the prepared shapes that a server connection has."""

    def __init__(self) -> None:
        """Start as a new connection does, with nothing."""
        self.values: dict[str, str] = {}
        self.shapes: set[PreparedShape] = set()


class OpenTransaction:
    """A caller's transaction.

    `link` is the server connection that it holds, and `place` says where;
    it takes one with its first statement that has to be forwarded. `route`
    stays the one that was in force when it began.
    """

    def __init__(
        self, route: Route, *, read_only: bool, began_at: float
    ) -> None:
        """Begin without a connection."""
        self.route = route
        self.read_only = read_only
        self.began_at = began_at
        self.used_at = began_at
        self.link = None
        self.place = None
        self.wrote = False
        self.failure = ''


class CallerSession:
    """What a proxy keeps for one caller's connection."""

    def __init__(self, identity: int, database: str, user: str) -> None:
        """Start a session without values."""
        self.identity = identity
        self.database = database
        self.user = user
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedShape] = {}
        self.seen: LogPosition = NOTHING_SEEN
        self.transaction: OpenTransaction | None = None
        self.busy = False

    @property
    def state(self) -> str:
        """Return ``idle``, ``open`` or ``failed``, for its transaction."""
        if self.transaction is None:
            return 'idle'
        return 'failed' if self.transaction.failure else 'open'


def shape_name(prepared: PreparedShape) -> str:
    """Return the proxy's name for a shape on server connections.

    Examples
    --------
    >>> shape_name(PreparedShape('q2c', True))
    'w_q2c'
    """
    return f'{"w" if prepared.writes else "r"}_{prepared.shape}'


def setup_steps(
    laid: LaidState, values: dict[str, str], shapes: Iterable[PreparedShape]
) -> list[SetupStep]:
    """Return the steps that fit a connection to a session.

    Parameters
    ----------
    laid : LaidState
        What the connection has now.
    values : dict of str to str
        The session's values; the connection must have no others.
    shapes : iterable of PreparedShape
        The shapes that the next statement needs; others do no harm.

    Examples
    --------
    >>> laid = LaidState()
    >>> laid.values['zone'] = 'a'
    >>> setup_steps(laid, {'zone': 'b'}, [])
    [SetValue(name='zone', setting='b')]
    >>> setup_steps(laid, {}, [])
    [ResetSession()]
    """
    has_others = any(name not in values for name in laid.values)
    kept = {} if has_others else laid.values
    known = set() if has_others else laid.shapes
    return list(
        itertools.chain(
            [ResetSession()] if has_others else [],
            (
                SetValue(name, setting)
                for name, setting in values.items()
                if kept.get(name) != setting
            ),
            (
                PrepareShape(shape)
                for shape in dict.fromkeys(shapes)
                if shape not in known
            ),
        )
    )


def apply_step(laid: LaidState, step: SetupStep) -> None:
    """Record a step that the connection's server has acknowledged."""
    match step:
        case SetValue(name, setting):
            laid.values[name] = setting
        case PrepareShape(prepared):
            laid.shapes.add(prepared)
        case ResetSession():
            laid.values.clear()
            laid.shapes.clear()
