"""Which statements of callers a request key allows."""

import sqlite3
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from toucandeal.errors import BadBody
from toucandeal.request_keys import (
    SCHEMA,
    Statement,
    check_statement,
    fingerprint,
    is_repeated_key,
    keyed_statements,
)

MAX_BODY_BYTES = 1_048_576
CHECK_LIMIT_S = 1.0
SKIPPED = ('', ' ', ';', '\ufeff', '\n', '\f', '/**/', '/*/*/', '-- x\n', '--;')
WORDS = ('COMMIT', 'end', 'ROLLBACK', 'SELECT 1', 'SAVEPOINT s', '/*', '--')


@pytest.mark.parametrize(
    'prefix', ['\ufeff', ';', ' ; ;\n', '/* x */;', '--x\n;', '\ufeff/**/']
)
@pytest.mark.parametrize('word', ['COMMIT', 'rollback', 'PRAGMA x = 1'])
def test_a_word_behind_what_the_database_skips_is_rejected(prefix, word):
    # Guards against a statement that ends the transaction of its request, so
    # that the key is kept without the writes that follow.
    with pytest.raises(BadBody, match='transaction endpoints'):
        check_statement(f'{prefix}{word}')


@given(st.lists(st.sampled_from(SKIPPED + WORDS), max_size=6).map(''.join))
def test_no_accepted_statement_ends_its_transaction(sql):
    # Guards against text that the database reads in another way than the
    # check does.
    try:
        check_statement(sql)
    except BadBody:
        return
    connection = sqlite3.connect(':memory:', isolation_level=None)
    connection.execute('BEGIN')
    try:
        connection.execute(sql)
    except (sqlite3.Error, sqlite3.Warning):
        pass
    assert connection.in_transaction
    connection.close()


@pytest.mark.parametrize('part', ['/**/', ';', '--\n', '/*', '-', ' '])
def test_a_long_statement_is_checked_without_delaying_other_callers(part):
    # Guards against a check whose time grows with the square of the length.
    began_at = time.monotonic()
    check_statement(part * (MAX_BODY_BYTES // len(part)))
    assert time.monotonic() - began_at < CHECK_LIMIT_S


def _run_keyed(connection, caller, key):
    """Run a keyed write; return whether its key was there already."""
    statements = keyed_statements(caller, key, '', 0, [Statement('SELECT 1')])
    try:
        for statement in statements:
            connection.execute(*statement)
    except sqlite3.IntegrityError as error:
        return is_repeated_key(str(error))
    return False


TEXTS = st.one_of(
    st.text('a/:.\0 1', max_size=3),
    st.sampled_from(['1', '1.0', '01', 'é', 'e\u0301', 'A', "'", '%']),
)


@given(st.lists(st.tuples(TEXTS, TEXTS), max_size=8))
def test_only_the_same_caller_and_key_are_a_repeated_request(pairs):
    # Guards against two requests that share a record, so that one of them gets
    # the results of the other and does not run.
    connection = sqlite3.connect(':memory:', isolation_level=None)
    for statement in SCHEMA:
        connection.execute(*statement)
    seen = set()
    for pair in pairs:
        assert _run_keyed(connection, *pair) == (pair in seen)
        seen.add(pair)
    connection.close()


@given(
    *(st.lists(st.tuples(TEXTS, st.lists(TEXTS, max_size=3)), max_size=3),) * 2
)
def test_different_statements_have_different_fingerprints(first, second):
    # Guards against texts that are joined before they are digested.
    bodies = [
        tuple(Statement(sql, tuple(row)) for sql, row in body)
        for body in (first, second)
    ]
    same = bodies[0] == bodies[1]
    assert (fingerprint(bodies[0]) == fingerprint(bodies[1])) == same
