"""Statements that a proxy answers itself."""

import pytest

from toucandeal.caller_sessions import STATE_LIMIT_BYTES, CallerSession
from toucandeal.fleet import Statement, Verb
from toucandeald.session_messages import ReplyKind
from toucandeald.session_service import change_session


@pytest.mark.parametrize('verb', [Verb.SET, Verb.PREPARE])
def test_the_values_and_names_of_a_session_have_a_limit(verb):
    # Guards against a process that is killed for its memory: a caller may set
    # as many values, and prepare as many names, as it likes.
    session = CallerSession(1, 'db')
    kinds = [
        change_session(
            session, Statement(verb, '', f'name{number}', 'x' * 100)
        ).kind
        for number in range(STATE_LIMIT_BYTES // 100)
    ]
    assert kinds[0] is ReplyKind.DONE
    assert kinds[-1] is ReplyKind.MALFORMED
    kept = len(session.values) + len(session.prepared)
    assert kept == kinds.count(ReplyKind.DONE)
    assert kept > 200


def test_a_session_at_its_limit_can_still_change_and_remove():
    session = CallerSession(1, 'db')
    change_session(session, Statement(Verb.PREPARE, '', 's', 'x'))
    full = Statement(Verb.SET, '', 'zone', 'x' * (STATE_LIMIT_BYTES - 500))
    assert change_session(session, full).kind is ReplyKind.DONE
    for statement in (
        full._replace(argument='y'),
        full,
        Statement(Verb.DEALLOCATE, '', 's'),
    ):
        assert change_session(session, statement).kind is ReplyKind.DONE
