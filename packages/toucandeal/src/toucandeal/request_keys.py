"""Request keys: how a repeated write finds the first run's outcome.

The key is inserted in the same database transaction as the request's writes,
so either both are kept or neither. A second insert of the key violates the
primary key of the table, whichever proxy sends it and whichever server is
the primary by then. Beside the key stand a fingerprint of the request, so
that a key can't be used for two requests, and the row count and last row id
of each statement, which a repeat is answered with.
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
    'check_statement',
    'expiry_statements',
    'fingerprint',
    'is_missing_table',
    'is_repeated_key',
    'key_statements',
    'keyed_statements',
    'recorded_results',
    'results_of_keyed',
]

KEY_RETENTION_S = 86400  # a day
MAX_KEY_CHARS = 200
_CONTROL = re.compile(
    r'\s*(begin|commit|end|rollback|savepoint|release|attach|detach|pragma|'
    r'vacuum)\b',
    re.IGNORECASE,
)
_COMMENT = re.compile(r'\s*(--[^\n]*(\n|$)|/\*.*?\*/)', re.DOTALL)


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
    """Check that a caller's statement can't end or leave its transaction.

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
    text = sql
    while comment := _COMMENT.match(text):
        text = text[comment.end() :]
    control = _CONTROL.match(text)
    if control:
        raise BadBody(
            f'{control.group(1)!r} is not accepted as a statement',
            'Use the transaction endpoints to begin, commit and roll back',
        )
    if 'toucandeal_re' in sql.lower():
        raise BadBody(
            'The statement names a table of the proxy',
            'Leave toucandeal_request and toucandeal_result alone',
        )


def fingerprint(body: Any) -> str:
    """Return a digest that tells one request from another."""
    return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(body))


def key_statements(
    caller: str, key: str, digest: str, created_ms: int
) -> list[Statement]:
    """Return the statement that claims a key."""
    return [Statement(_INSERT_KEY, (caller, key, digest, created_ms))]


def keyed_statements(
    caller: str,
    key: str,
    digest: str,
    created_ms: int,
    statements: list[Statement],
) -> list[Statement]:
    """Return `statements` with the key's record around them."""
    recorded = (
        (statement, Statement(_INSERT_RESULT, (caller, key, ordinal)))
        for ordinal, statement in enumerate(statements)
    )
    claim = key_statements(caller, key, digest, created_ms)
    return claim + [statement for pair in recorded for statement in pair]


def results_of_keyed(results: list[StatementResult]) -> list[StatementResult]:
    """Return the results that belong to the caller's own statements."""
    return results[1::2]


def recorded_results(
    rows: list[list[Any]], digest: str
) -> list[StatementResult]:
    """Return the recorded results of an earlier run.

    Parameters
    ----------
    rows : list of list
        What the lookup returned.
    digest : str
        The fingerprint of the request that is being repeated.

    Raises
    ------
    KeyReused
        The key belongs to another request.
    """
    if rows[0][0] != digest:
        raise KeyReused(
            'The request key belongs to a different request',
            'Take a new key for each new request',
        )
    return [
        StatementResult(row_count=row_count, last_row_id=last_row_id)
        for _, row_count, last_row_id in rows
        if row_count is not None
    ]


def is_repeated_key(error: str) -> bool:
    """Return whether a database error means that the key is taken."""
    return 'UNIQUE' in error and 'toucandeal_request.request_key' in error


def is_missing_table(error: str) -> bool:
    """Return whether the key's table has to be made first."""
    return 'no such table: toucandeal_request' in error


def expiry_statements(now_ms: int) -> list[Statement]:
    """Return the statements that forget keys past their retention."""
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
