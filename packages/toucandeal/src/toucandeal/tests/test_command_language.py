"""Names in operators' commands that are also words of the language."""

import pytest

from toucandeal.command_language import (
    DeclareCaller,
    DeclareClass,
    DeclareGroup,
    Drain,
    Drop,
    Explain,
    SetClass,
    Switch,
    parse,
)
from toucandeal.engine import begin_frame
from toucandeal.entities import Group
from toucandeal.operator_queries import show
from toucandeal.policies import Policies
from toucandeal.tables import GroupView, ProxyIdentity, Tables

WORDS = (
    'and', 'at', 'caller', 'class', 'deadline', 'false', 'group', 'idempotent',
    'in', 'late', 'of', 'once', 'read', 'session', 'slots', 'target', 'to',
    'true', 'where', 'write', 'classx', 'late5', 'inf', 'a.b-c',
)  # fmt: skip
TARGET = 'target {0} at 1.1.1.1:1 in {0} slots 1 connections 2'


def _target(name):
    return {
        'name': name,
        'address': '1.1.1.1:1',
        'failure_domain': name,
        'slots': 1,
        'connections': 2,
    }


@pytest.mark.parametrize('word', WORDS)
def test_a_name_that_is_a_word_of_the_language_is_read_as_a_name(word):
    # Guards against a declared name that makes a command another one.
    two_targets = (_target(word), _target(word))
    targets = TARGET.format(word)
    expected = {
        f'drain target {word}': Drain(word, leaving=True),
        f'declare caller {word}': DeclareCaller(word),
        f'drop class {word}': Drop('class', word),
        f'explain read of class {word}': Explain(word, ''),
        f'explain read of class {word} session "s"': Explain(word, 's'),
        f'switch primary of {word} to {word}': Switch(word, word),
        f'set class {word} late 5 once': SetClass(
            word, {'late_weight': 5.0, 'idempotent': False}
        ),
        f'declare class {word} of {word} read once': DeclareClass(
            word, word, is_write=False, options={'idempotent': False}
        ),
        f'declare group {word} {targets} {targets}': DeclareGroup(
            word, two_targets
        ),
    }
    assert {text: parse(text) for text in expected} == expected


@pytest.mark.parametrize('name', ['true', 'false', 'groups', 'where', 'inf'])
def test_a_filter_finds_a_name_that_is_a_word_of_the_language(name):
    # Guards against an empty answer for a group that is there.
    tables = Tables(ProxyIdentity('p', 1), Policies())
    for group in (name, 'another'):
        tables.groups[group] = Group(group, ())
        tables.group_views[group] = GroupView(history=[])
    frame = begin_frame(tables, 0.0, None)
    found = show(frame, parse(f'show groups where group = {name}'))
    others = show(frame, parse(f'show groups where group != {name}'))
    assert [row['group'] for row in found] == [name]
    assert [row['group'] for row in others] == ['another']
