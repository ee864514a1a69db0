"""Rows that describe a fleet of interactive database groups.

A caller of such a group opens a session, which is a connection, and sends
statements one at a time. The rows hold the declared configuration, the servers,
and the primary of each group.
"""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from toucandeal.positions import LogPosition
from toucandeal.store_versions import NO_VERSION, StoreVersion
from toucandeal.workspaces import Workspace, workspace_of

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
    'find_workspace',
    'has_public_route',
    'session_workspace',
    'parse_position',
    'format_position',
]


class RouteKind(enum.Enum):
    """The consistency of reads on a route."""

    PRIMARY = 'primary'
    BOUNDED_STALENESS = 'bounded staleness'
    READ_YOUR_WRITES = 'read your writes'


class Route(NamedTuple):
    """A database name that callers open sessions for.

    `timeout_s` limits one statement, `latency_objective_s` is the latency
    objective of a whole operation, and `freshness_s` the greatest age of data
    that a read accepts. A public route needs no key.
    """

    database: str
    group: str
    kind: RouteKind
    timeout_s: float
    latency_objective_s: float
    priority: int = 0
    freshness_s: float = 0.0
    is_public: bool = False


class InteractiveGroup(NamedTuple):
    """A declared group; `connection_limit` applies to each of its servers."""

    name: str
    connection_limit: int
    synchronous_replicas: int = 0


class FleetConfiguration(NamedTuple):
    """One version of the configuration that operators declare.

    `key_workspaces` maps the digest of each key to the name of its workspace.
    `workspaces` is None in a deployment without workspaces, whose callers need
    no key. A deployment that has lost its last workspace serves public routes
    only.
    """

    version: int
    routes: dict[str, Route]
    groups: dict[str, InteractiveGroup]
    idle_transaction_s: float
    workspaces: Mapping[str, Workspace] | None = None
    key_workspaces: Mapping[bytes, str] = MappingProxyType({})

    @property
    def has_workspaces(self) -> bool:
        """Return whether callers are told apart by their keys."""
        return self.workspaces is not None


def session_workspace(
    configuration: FleetConfiguration, database: str, digest: bytes
) -> str | None:
    """Return the workspace of a session, or None if it must be refused.

    In a deployment without workspaces no key is needed, and the workspace is
    empty. A database that has no route any more counts as one that is not
    public.
    """
    if not configuration.has_workspaces:
        return ''
    route = configuration.routes.get(database)
    return workspace_of(
        configuration.key_workspaces,
        digest,
        needs_key=route is None or not route.is_public,
    )


def find_workspace(
    configuration: FleetConfiguration | None, name: str
) -> Workspace | None:
    """Return a declared workspace, or None.

    Examples
    --------
    >>> find_workspace(FleetConfiguration(1, {}, {}, 3.0), 'north') is None
    True
    """
    if configuration is None or configuration.workspaces is None:
        return None
    return configuration.workspaces.get(name)


def has_public_route(configuration: FleetConfiguration, group: str) -> bool:
    """Return whether callers without a valid key may use a group."""
    return not configuration.has_workspaces or any(
        route.is_public and route.group == group
        for route in configuration.routes.values()
    )


class Server(NamedTuple):
    """A server as it registers itself; `born_ms` differs after a restart."""

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
        Whether a promotion is under way. No proxy uses a primary of the group
        for new work meanwhile.
    planned : bool
        Whether the old primary is still healthy, so that work in progress
        there may finish.
    holder : str
        The proxy that carries out the promotion.
    attempts : int
        How often the promotion has been begun since the recorded primary led,
        each time with an order for one server at most; 0 if that is unknown.
    servers : mapping of str to int
        The servers of the group when its primary began to lead, with their
        starts in Unix milliseconds; empty if an earlier build wrote the record.
    awaited : tuple of str
        Servers whose reports the last promotion lacked. The primary stays
        until one of them answers.
    version : StoreVersion
        Of the row; increases with each change.
    """

    group: str
    primary: str
    term: int = 0
    changing: bool = False
    planned: bool = False
    holder: str = ''
    version: StoreVersion = NO_VERSION
    attempts: int = 0
    servers: Mapping[str, int] = MappingProxyType({})
    awaited: tuple[str, ...] = ()


class ProxyRecord(NamedTuple):
    """A registered proxy and where its peers reach it.

    Peers mark a proxy as `silent` after it has stopped sending heartbeats. No
    proxy relies on its reports or grants it a lease until it registers again.
    `protocol` is the highest version of the decisions that must be alike on
    all proxies (:mod:`toucandeal.protocol_versions`), and `link_mbps` the
    bandwidth of its link, 0 if it is not known.
    """

    name: str
    incarnation: int
    address: str
    silent: bool = False
    version: StoreVersion = NO_VERSION
    failure_domain: str = ''
    protocol: int = 0
    link_mbps: float = 0.0


class Verb(enum.Enum):
    """The kinds of statements."""

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

    `name` is the name of a setting or of a prepared statement, `argument` the
    value of a setting or the text after the name of a prepared statement, and
    `writes` whether a prepared shape writes.
    """

    verb: Verb
    text: str
    name: str = ''
    argument: str = ''
    writes: bool = False


def parse_position(text: str) -> LogPosition | None:
    """Parse a position of the form ``TERM.NUMBER``.

    Examples
    --------
    >>> parse_position('3.1207')
    LogPosition(term=3, index=1207)
    >>> parse_position('-') is None
    True
    """
    term, _, index = text.partition('.')
    if term.isdecimal() and index.isdecimal():
        return LogPosition(int(term), int(index))
    return None


def format_position(position: LogPosition | None) -> str:
    """Format a position as ``TERM.NUMBER``.

    Examples
    --------
    >>> format_position(LogPosition(3, 1207)), format_position(None)
    ('3.1207', '-')
    """
    return '-' if position is None else f'{position.term}.{position.index}'
