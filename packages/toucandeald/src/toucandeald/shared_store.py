"""Requests to the store that all proxies share, and its answers."""

import enum
from typing import NamedTuple

from toucandeal.store_versions import StoreVersion

__all__ = [
    'Changes',
    'Committed',
    'Conflict',
    'HistoryGone',
    'Precondition',
    'PromoteAnswer',
    'Put',
    'SharedRow',
    'Snapshot',
]


class SharedRow(NamedTuple):
    """A row; `version` rises with each transaction of the store."""

    key: str
    content: bytes
    version: StoreVersion
    removed: bool = False


class Snapshot(NamedTuple):
    """All rows of a table at one version of the store."""

    rows: list[SharedRow]
    version: StoreVersion


class Changes(NamedTuple):
    """Rows that changed, and the version to continue from."""

    rows: list[SharedRow]
    version: StoreVersion


class HistoryGone(NamedTuple):
    """The store, which is in era `era`, does not have the changes."""

    era: int


class Precondition(NamedTuple):
    """A row and its version; `NO_VERSION` requires that it does not exist."""

    table: str
    key: str
    version: StoreVersion


class Put(NamedTuple):
    """A row to write."""

    table: str
    key: str
    content: bytes


class Committed(NamedTuple):
    """The transaction took effect, at this version."""

    version: StoreVersion


class Conflict(NamedTuple):
    """Nothing was written; `rows` are the rows of the preconditions."""

    rows: list[SharedRow]


class PromoteAnswer(enum.Enum):
    """The answer to a promotion order."""

    ACCEPTED = 'accepted'
    NOT_RUNNING = 'not running'
