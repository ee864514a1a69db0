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


def test_a_name_that_is_prepared_anew_counts_once():
    # Guards against an error for a shape that takes the place of another one.
    session = CallerSession(1, 'db')
    session.values['zone'] = 'x' * (STATE_LIMIT_BYTES // 2)
    large = Statement(Verb.PREPARE, '', 's', 'x' * (STATE_LIMIT_BYTES // 3))
    assert change_session(session, large).kind is ReplyKind.DONE
    again = large._replace(argument=f'{large.argument}y')
    assert change_session(session, again).kind is ReplyKind.DONE
    other = large._replace(name='other')
    assert change_session(session, other).kind is ReplyKind.MALFORMED


def test_a_prepared_statement_does_not_replace_a_value_of_its_name():
    # Guards against a session that holds more than its limit.
    session = CallerSession(1, 'db')
    large = Statement(Verb.SET, '', 's', 'x' * (STATE_LIMIT_BYTES // 2))
    assert change_session(session, large).kind is ReplyKind.DONE
    same_name = large._replace(verb=Verb.PREPARE)
    assert change_session(session, same_name).kind is ReplyKind.MALFORMED
