"""The set-up of the deployments that the tests run."""

from types import SimpleNamespace

import pytest

from toucandeal_standins import declared

UNKNOWN = {'outcome': 'unknown', 'reason': 'no answer before the deadline'}
SERVED = {'outcome': 'served', 'results': []}
FAILED = {'outcome': 'failed', 'reason': 'a syntax error'}


class StubSession:
    """A session whose answers the test sets."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.keys = []

    def write(self, key, statements, proxy, request_class):
        """Return the next answer."""
        del statements, proxy, request_class
        self.keys.append(key)
        return SimpleNamespace(body=self.answers.pop(0))


def test_a_set_up_whose_outcome_is_unknown_is_repeated_with_its_key():
    # Guards against tests that fail in their set-up on a busy machine, where
    # the answer comes after the deadline of 500 ms.
    session = StubSession(UNKNOWN, SERVED)
    declared._create_tables(session, 'booking')
    assert session.keys == ['schema', 'schema']


def test_a_schema_that_is_rejected_ends_the_set_up():
    with pytest.raises(RuntimeError, match='rejected'):
        declared._create_tables(StubSession(FAILED), 'booking')
