"""What the command line shows of the names that proxies send."""

import pytest
from click.testing import CliRunner

from toucandeal_cli import main as main_module

NAMES = ('\x1b[2Jgone', 'a\nreels-9', 'a\r', '\x9b31m', 'a\u202eb', '\0')


def _shown(monkeypatch, answer):
    monkeypatch.setattr(main_module, 'send_command', lambda *_: answer)
    return CliRunner().invoke(main_module.main, ['show', 'vms']).output


@pytest.mark.parametrize('name', NAMES)
@pytest.mark.parametrize(
    'answer_of',
    [
        lambda name: {'rows': [{'name': name}]},
        lambda name: {'accepted': name},
        lambda name: {'error': {'problem': name, 'remedy': 'r'}},
        lambda name: {
            'accepted': name, 'version': 1, 'in_force': 1, 'proxies': 1,
        },
    ],
    ids=['rows', 'accepted', 'error', 'change'],
)  # fmt: skip
def test_a_name_does_not_control_the_terminal(monkeypatch, name, answer_of):
    # Guards against a name that clears the screen or shows another row.
    shown = _shown(monkeypatch, answer_of(name))
    assert all(line.isprintable() for line in shown.split('\n'))
    assert name.encode('unicode_escape').decode() in shown


@pytest.mark.parametrize('name', ['1e5', '007', '1_000', '0x10', 'nan'])
def test_a_name_that_looks_like_a_number_is_shown_as_it_is(monkeypatch, name):
    # Guards against a command for the name that the table shows.
    rows = [{'proxy': name, 'version': 3}, {'proxy': 'b', 'version': 4}]
    shown = _shown(monkeypatch, {'rows': rows[:1]})
    assert name in shown.split()
    assert name in _shown(monkeypatch, {'rows': rows}).split()


def test_a_help_text_keeps_its_lines(monkeypatch):
    # Guards against line breaks that are escaped where they are meant.
    assert _shown(monkeypatch, {'help': 'a\nb'}) == 'a\nb\n'


def test_rows_with_empty_fields_are_shown(monkeypatch):
    # Guards against a table that can't have a field without a value.
    rows = [{'target': 'a', 'lag': None}, {'target': 'b', 'lag': 0.5}]
    assert '0.5' in _shown(monkeypatch, {'rows': rows})
