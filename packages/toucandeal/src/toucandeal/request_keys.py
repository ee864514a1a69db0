"""Request keys, by which a repeated write returns the first run's outcome.

The key is inserted in the same database transaction as the request's writes,
so either both are committed or neither. A second insert of the key violates
the primary key of the table, regardless of the proxy that sends it and of the
server that is the primary then. The key is stored with a fingerprint of the
request, so that it cannot be reused for another request, and with the row
count and last row id of each statement, which a repeated request returns.
"""

import re
from typing import Any, NamedTuple

import msgspec
import xxhash

from toucandeal.errors import BadBody, KeyReused

__all__ = [
    'KEY_RETENTION_S',
    'LOOKUP_SQL',
    'SCHEMA',
    'Statement',
    'StatementResult',
    'caller_results',
    'check_statement',
    'expiry_statements',
    'fingerprint',
    'is_missing_table',
    'is_repeated_key',
    'key_statements',
    'keyed_statements',
    'recorded_results',
]

KEY_RETENTION_S = 86400  # 1 day
MAX_KEY_CHARS = 200
_FORBIDDEN = re.compile(
    r'(begin|commit|end|rollback|savepoint|release|attach|detach|pragma|'
    r'vacuum)\b',
    re.IGNORECASE,
)
# What SQLite skips before the first word of a statement.
_SKIPPED = re.compile(
    r'(?:[\s;\ufeff]|--[^\n]*(?:\n|\Z)|/\*.*?\*/)*+', re.DOTALL
)


class Statement(NamedTuple):
    """One SQL statement and its parameters."""

    sql: str
    parameters: tuple[Any, ...] = ()


class StatementResult(msgspec.Struct):
    """The result of one statement."""

    columns: list[str] = []
    rows: list[list[Any]] = []
    row_count: int = 0
    last_row_id: int = 0


SCHEMA = (
    Statement(
        'CREATE TABLE IF NOT EXISTS toucandeal_request ('
        'caller TEXT, request_key TEXT, fingerprint TEXT, created_ms INTEGER, '
        'PRIMARY KEY (caller, request_key)) WITHOUT ROWID'
    ),
    Statement(
        'CREATE TABLE IF NOT EXISTS toucandeal_result ('
        'caller TEXT, request_key TEXT, ordinal INTEGER, '
        'row_count INTEGER, last_row_id INTEGER, '
        'PRIMARY KEY (caller, request_key, ordinal)) WITHOUT ROWID'
    ),
    Statement(
        'CREATE INDEX IF NOT EXISTS toucandeal_request_created '
        'ON toucandeal_request (created_ms)'
    ),
)
_INSERT_KEY = 'INSERT INTO toucandeal_request VALUES (?, ?, ?, ?)'
_INSERT_RESULT = (
    'INSERT INTO toucandeal_result '
    'VALUES (?, ?, ?, changes(), last_insert_rowid())'
)
LOOKUP_SQL = (
    'SELECT r.fingerprint, s.row_count, s.last_row_id '
    'FROM toucandeal_request r LEFT JOIN toucandeal_result s '
    'ON s.caller = r.caller AND s.request_key = r.request_key '
    'WHERE r.caller = ? AND r.request_key = ? ORDER BY s.ordinal'
)


def check_statement(sql: str) -> None:
    """Check that a caller's statement cannot end or leave its transaction.

    Raises
    ------
    BadBody
        The statement controls transactions or names the proxy's own tables.

    Examples
    --------
    >>> check_statement('SELECT 1')
    >>> check_statement('/* x */ COMMIT')
    Traceback (most recent call last):
    ...
    toucandeal.errors.BadBody: 'COMMIT' is not accepted ...
    """
    forbidden = _FORBIDDEN.match(sql, _SKIPPED.match(sql).end())
    if forbidden:
        raise BadBody(
            f'{forbidden.group(1)!r} is not accepted as a statement',
            'Use the transaction endpoints to begin, commit and roll back',
        )
    if 'toucandeal_re' in sql.lower():
        raise BadBody(
            'The statement names a table of the proxy',
            'Do not use toucandeal_request or toucandeal_result',
        )


def fingerprint(body: Any) -> str:
    """Return a digest that identifies the content of a request."""
    return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(body))


def key_statements(
    caller: str, key: str, digest: str, created_ms: int
) -> list[Statement]:
    """Return the statement that inserts a request key."""
    return [Statement(_INSERT_KEY, (caller, key, digest, created_ms))]


def keyed_statements(
    caller: str,
    key: str,
    digest: str,
    created_ms: int,
    statements: list[Statement],
) -> list[Statement]:
    """Return `statements` with those that record the key and the results."""
    with_records = (
        (statement, Statement(_INSERT_RESULT, (caller, key, ordinal)))
        for ordinal, statement in enumerate(statements)
    )
    insert_key = key_statements(caller, key, digest, created_ms)
    return insert_key + [
        statement for pair in with_records for statement in pair
    ]


def caller_results(results: list[StatementResult]) -> list[StatementResult]:
    """Return the results of the caller's own statements."""
    return results[1::2]


def recorded_results(
    rows: list[list[Any]], digest: str
) -> list[StatementResult]:
    """Return the recorded results of an earlier run.

    Parameters
    ----------
    rows : list of list
        The rows that the lookup returned.
    digest : str
        The fingerprint of the repeated request.

    Raises
    ------
    KeyReused
        The key belongs to another request.
    """
    if rows[0][0] != digest:
        raise KeyReused(
            'The request key belongs to a different request',
            'Use a new key for each request',
        )
    return [
        StatementResult(row_count=row_count, last_row_id=last_row_id)
        for _, row_count, last_row_id in rows
        if row_count is not None
    ]


def is_repeated_key(error: str) -> bool:
    """Return whether a database error reports a duplicate request key."""
    return 'UNIQUE' in error and 'toucandeal_request.request_key' in error


def is_missing_table(error: str) -> bool:
    """Return whether a database error reports that the key table is missing."""
    return 'no such table: toucandeal_request' in error


def expiry_statements(now_ms: int) -> list[Statement]:
    """Return the statements that delete keys past their retention."""
    oldest = now_ms - KEY_RETENTION_S * 1000
    return [
        Statement(
            'DELETE FROM toucandeal_result WHERE EXISTS ('
            'SELECT 1 FROM toucandeal_request r '
            'WHERE r.caller = toucandeal_result.caller '
            'AND r.request_key = toucandeal_result.request_key '
            'AND r.created_ms < ?)',
            (oldest,),
        ),
        Statement(
            'DELETE FROM toucandeal_request WHERE created_ms < ?', (oldest,)
        ),
    ]
