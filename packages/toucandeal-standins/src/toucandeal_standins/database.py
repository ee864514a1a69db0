"""A replicated log of committed transactions over in-memory SQLite.

Replicas re-execute the statements of the log, so statements must be
deterministic.
"""

import sqlite3
import time
from typing import Any, NamedTuple

__all__ = ['Database', 'Entry', 'Statement', 'run_statements']

_DENIED = frozenset(
    (sqlite3.SQLITE_TRANSACTION, sqlite3.SQLITE_ATTACH, sqlite3.SQLITE_DETACH,
     sqlite3.SQLITE_SAVEPOINT, sqlite3.SQLITE_PRAGMA)
)  # fmt: skip


class Statement(NamedTuple):
    """One SQL statement and its parameters."""

    sql: str
    parameters: list[Any] = []  # noqa: RUF012


class Entry(NamedTuple):
    """A committed transaction; the first entry of a term has no statements."""

    term: int
    statements: list[Statement]


def _connect() -> sqlite3.Connection:
    return sqlite3.connect(':memory:', isolation_level=None)


def _authorize(action: int, *details: Any) -> int:
    del details
    return sqlite3.SQLITE_DENY if action in _DENIED else sqlite3.SQLITE_OK


def run_statements(
    connection: sqlite3.Connection, statements: list[Statement]
) -> list[dict[str, Any]]:
    """Run statements and return the result of each."""
    connection.set_authorizer(_authorize)
    try:
        return [_run(connection, statement) for statement in statements]
    finally:
        connection.set_authorizer(None)


def _run(connection: sqlite3.Connection, statement: Statement) -> dict:
    cursor = connection.execute(statement.sql, statement.parameters)
    rows = cursor.fetchall()
    return {
        'columns': [column[0] for column in cursor.description or ()],
        'rows': rows,
        'row_count': max(cursor.rowcount, 0),
        'last_row_id': cursor.lastrowid or 0,
    }


class Database:
    """The data and the log from which it is built."""

    def __init__(self) -> None:
        """Start empty."""
        self.log: list[Entry] = []
        self.applied_at: list[float] = []
        self._connection = _connect()

    @property
    def index(self) -> int:
        """Return the index of the last entry; 0 for an empty log."""
        return len(self.log)

    @property
    def log_term(self) -> int:
        """Return the term of the last entry; 0 for an empty log."""
        return self.log[-1].term if self.log else 0

    def term_at(self, index: int) -> int:
        """Return the term of the entry at `index`; 0 for index 0."""
        return self.log[index - 1].term if index else 0

    def read(self, statements: list[Statement]) -> list[dict[str, Any]]:
        """Run statements that must not change data."""
        self._connection.execute('PRAGMA query_only = 1')
        try:
            return run_statements(self._connection, statements)
        finally:
            self._connection.execute('PRAGMA query_only = 0')

    def write(
        self, term: int, statements: list[Statement]
    ) -> list[dict[str, Any]]:
        """Run statements as one transaction and append it to the log."""
        results = self._transact(statements)
        self._add(Entry(term, statements))
        return results

    def append(self, entry: Entry) -> None:
        """Apply an entry from the primary's log."""
        self._transact(entry.statements)
        self._add(entry)

    def truncate(self, index: int) -> None:
        """Remove the entries after `index` and rebuild the data."""
        kept = self.log[:index]
        self.log = []
        self.applied_at = []
        self._connection = _connect()
        for entry in kept:
            self.append(entry)

    def _add(self, entry: Entry) -> None:
        self.log.append(entry)
        self.applied_at.append(time.monotonic())

    def copy(self) -> sqlite3.Connection:
        """Return a private copy of the data for an open transaction."""
        copied = _connect()
        self._connection.backup(copied)
        copied.execute('BEGIN')
        return copied

    def _transact(self, statements: list[Statement]) -> list[dict[str, Any]]:
        self._connection.execute('BEGIN IMMEDIATE')
        try:
            results = run_statements(self._connection, statements)
        except BaseException:
            self._connection.execute('ROLLBACK')
            raise
        self._connection.execute('COMMIT')
        return results
