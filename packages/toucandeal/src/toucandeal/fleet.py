"""Rows that describe a fleet of interactive database groups.

A caller of such a group opens a session, which is a connection, and sends one
statement after another. The rows here say what operators declare, which
servers there are, and who leads each group.
"""

import enum
from typing import NamedTuple

from toucandeal.positions import LogPosition

__all__ = [
    'FleetConfiguration',
    'GroupRecord',
    'InteractiveGroup',
    'ProxyRecord',
    'Route',
    'RouteKind',
    'Server',
    'Verb',
    'Statement',
    'parse_position',
    'format_position',
]


class RouteKind(enum.Enum):
    """What a read on a route has to see."""

    PRIMARY = 'primary'
    BOUNDED_STALENESS = 'bounded staleness'
    READ_YOUR_WRITES = 'read your writes'


class Route(NamedTuple):
    """A database name that callers open sessions for.

    `timeout_s` limits one statement, `aim_s` is the latency objective of a
    whole operation, and `allowance_s` the greatest age of what a read sees.
    """

    database: str
    group: str
    kind: RouteKind
    timeout_s: float
    aim_s: float
    priority: int = 0
    allowance_s: float = 0.0


class InteractiveGroup(NamedTuple):
    """A declared group; `connection_limit` holds for each of its servers."""

    name: str
    connection_limit: int
    synchronous_replicas: int = 0


class FleetConfiguration(NamedTuple):
    """All that operators declare, at one version."""

    version: int
    routes: dict[str, Route]
    groups: dict[str, InteractiveGroup]
    idle_transaction_s: float


class Server(NamedTuple):
    """A server as it describes itself; `born_ms` tells a restart."""

    name: str
    group: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    claims_primary: bool
    born_ms: int = 0


class GroupRecord(NamedTuple):
    """The shared record of a group's primary.

    Attributes
    ----------
    primary : str
    term : int
        0 until a promotion has recorded one.
    changing : bool
        Whether a promotion is under way. No proxy works with any primary of
        the group while it is.
    planned : bool
        Whether the old primary is still in order, so work there may end.
    holder : str
        The proxy that carries out the promotion.
    version : int
        Of the row; rises with each change.
    """

    group: str
    primary: str
    term: int = 0
    changing: bool = False
    planned: bool = False
    holder: str = ''
    version: int = 0


class ProxyRecord(NamedTuple):
    """A registered proxy and where its peers reach it.

    A peer has marked it `silent` if it was not heard for some time. Nobody
    rests on the word of a silent proxy, and nobody gives it anything to rest
    on, until it has registered anew.
    """

    name: str
    incarnation: int
    address: str
    silent: bool = False
    version: int = 0


class Verb(enum.Enum):
    """What a statement does."""

    BEGIN = 'begin'
    BEGIN_READ = 'begin read'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    READ = 'read'
    WRITE = 'write'
    SET = 'set'
    PREPARE = 'prepare'
    EXECUTE = 'execute'
    DEALLOCATE = 'deallocate'
    MALFORMED = 'malformed'


class Statement(NamedTuple):
    """A caller's statement.

    `name` is the setting's or the prepared statement's; `argument` a
    setting's value, or what follows a prepared statement's name; `writes`
    tells the kind of a prepared shape.
    """

    verb: Verb
    text: str
    name: str = ''
    argument: str = ''
    writes: bool = False


def parse_position(text: str) -> LogPosition | None:
    """Return the position that ``TERM.NUMBER`` stands for.

    Examples
    --------
    >>> parse_position('3.1207')
    LogPosition(term=3, index=1207)
    >>> parse_position('-') is None
    True
    """
    term, _, index = text.partition('.')
    if term.isdigit() and index.isdigit():
        return LogPosition(int(term), int(index))
    return None


def format_position(position: LogPosition | None) -> str:
    """Return the text of a position.

    Examples
    --------
    >>> format_position(LogPosition(3, 1207)), format_position(None)
    ('3.1207', '-')
    """
    return '-' if position is None else f'{position.term}.{position.index}'
