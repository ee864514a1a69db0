"""The versioned configuration and its rows.

A configuration is a set of rows, each with the version at which it last
changed. Rows are exchanged and merged individually and the higher version
wins, so a configuration never reverts, in whatever order changes arrive.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from toucandeal.entities import Caller, Group, RequestClass, Target, TargetView
from toucandeal.errors import BadCommand
from toucandeal.tables import Frame, GroupView, Tables, record_decision

__all__ = [
    'ClassDocument',
    'Configuration',
    'GroupDocument',
    'Row',
    'TargetDocument',
    'apply_rows',
    'check_document',
    'merge',
    'rows_since',
]

MAX_STAMP_READS_PER_S = 200.0  # by all proxies together
MIN_POLL_INTERVAL_S = 0.5


class TargetDocument(TypedDict):
    """Stored form of a target."""

    name: str
    address: str
    failure_domain: str
    slots: int
    connections: int
    leaving: NotRequired[bool]


class GroupDocument(TypedDict):
    """Stored form of a group."""

    targets: list[TargetDocument]


class ClassDocument(TypedDict):
    """Stored form of a request class; durations are in seconds."""

    group: str
    is_write: bool
    freshness_s: float
    idempotent: bool
    deadline_s: float
    late_weight: float
    lost_weight: float
    doubled_weight: float


class CallerDocument(TypedDict):
    """Stored form of a caller."""


DOCUMENT_TYPES = {
    'group': GroupDocument,
    'class': ClassDocument,
    'caller': CallerDocument,
}


class Row(msgspec.Struct, frozen=True):
    """One row; `key` is ``kind/name`` and `value` is None if dropped."""

    key: str
    version: int
    value: dict[str, Any] | None


class Configuration(NamedTuple):
    """All rows up to and including `version`."""

    version: int
    rows: dict[str, Row]


def merge(configuration: Configuration, version: int, rows: Iterable[Row]):
    """Return the configuration with `rows` merged in, and the changed rows.

    Parameters
    ----------
    configuration : Configuration
    version : int
        `rows` holds every change after ``configuration.version`` up to this.
    rows : iterable of Row

    Returns
    -------
    tuple of (Configuration, list of Row)

    Examples
    --------
    >>> start = Configuration(3, {'caller/a': Row('caller/a', 3, {})})
    >>> merge(start, 2, [Row('caller/a', 2, None)])[0] == start
    True
    """
    changed = [
        row
        for row in rows
        if row.key not in configuration.rows
        or row.version > configuration.rows[row.key].version
    ]
    merged = {**configuration.rows, **{row.key: row for row in changed}}
    version = max(version, configuration.version)
    return Configuration(version, merged), changed


def rows_since(configuration: Configuration, version: int) -> list[Row]:
    """Return the rows that changed after `version`."""
    return [row for row in configuration.rows.values() if row.version > version]


def poll_interval(live_proxies: int) -> float:
    """Return the interval at which one proxy reads the stamp, in seconds.

    Together, the proxies use at most a tenth of what the store can serve. A
    new version reaches the proxies much faster, through their peers.

    Examples
    --------
    >>> [poll_interval(proxies) for proxies in (4, 3500)]
    [0.5, 17.5]
    """
    return max(MIN_POLL_INTERVAL_S, live_proxies / MAX_STAMP_READS_PER_S)


def check_document(key: str, value: Any) -> None:
    """Check a row's value against its kind.

    Raises
    ------
    BadCommand
        The value does not have the documented form.
    """
    kind = key.partition('/')[0]
    try:
        msgspec.convert(value, DOCUMENT_TYPES[kind])
    except msgspec.ValidationError as error:
        raise BadCommand(
            f'The {kind} is not valid: {error}', 'See `help declare`'
        ) from None


def apply_rows(frame: Frame, rows: Iterable[Row]) -> None:
    """Put changed rows in force in the tables."""
    for row in rows:
        kind, _, name = row.key.partition('/')
        _APPLY_FUNCTIONS[kind](frame, name, row.value)
        record_decision(
            frame,
            'configuration',
            row.key,
            'dropped' if row.value is None else 'in force',
            'new version',
            version=row.version,
        )


def _apply_caller(frame: Frame, name: str, value: dict | None) -> None:
    if value is None:
        frame.tables.callers.pop(name, None)
    else:
        frame.tables.callers[name] = Caller(name)


def _apply_class(frame: Frame, name: str, value: dict | None) -> None:
    if value is None:
        frame.tables.classes.pop(name, None)
    else:
        frame.tables.classes[name] = RequestClass(name, **value)


def _apply_group(frame: Frame, name: str, value: dict | None) -> None:
    tables = frame.tables
    tables.group_changes += 1
    documents = [] if value is None else value['targets']
    declared = {document['name'] for document in documents}
    known = tables.groups.get(name, Group(name, ()))
    for dropped in set(known.targets) - declared:
        _drop_target(tables, dropped)
    for document in documents:
        _apply_target(tables, name, document)
    if value is None:
        tables.groups.pop(name, None)
        tables.group_views.pop(name, None)
        return
    tables.groups[name] = Group(
        name, tuple(document['name'] for document in documents)
    )
    view = tables.group_views.get(name, GroupView(history=[]))
    if view.primary not in declared:
        # The term is kept: the next primary needs a higher one.
        view = view._replace(primary='', primary_term=0, takeover=None)
    tables.group_views[name] = view
    tables.dirty.add(name)


def _apply_target(tables: Tables, group: str, document: dict) -> None:
    target = Target(
        document['name'],
        group,
        document['address'],
        document['failure_domain'],
        document['slots'],
        document['connections'],
        document.get('leaving', False),
    )
    previous = tables.targets.get(target.name)
    tables.targets[target.name] = target
    if previous is None or previous.address != target.address:
        tables.views[target.name] = TargetView()


def _drop_target(tables: Tables, name: str) -> None:
    target = tables.targets.pop(name)
    tables.views.pop(name)
    tables.removed_targets.append(target)


_APPLY_FUNCTIONS = {
    'caller': _apply_caller,
    'class': _apply_class,
    'group': _apply_group,
}
