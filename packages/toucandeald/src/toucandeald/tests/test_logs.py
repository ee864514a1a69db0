"""Log lines with the texts of callers."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from toucandeald.logs import MAX_LINE_BYTES, encode_line

LARGEST_REQUEST = 1_048_576


@given(st.text(st.characters(exclude_categories=['Cs'])))
def test_a_text_stays_in_its_line_and_field(text):
    # Guards against a caller that writes log lines of its own.
    line = encode_line({'id': text, 'reason': 'r'})
    assert len(line.encode().splitlines()) == 1
    assert json.loads(line) == {'id': text, 'reason': 'r'}


@pytest.mark.parametrize('character', ['x', '\0', 'é'])
def test_a_long_text_of_a_caller_is_cut(character):
    # Guards against a caller whose identities fill the buffer of the log, so
    # that the lines of the others are dropped.
    text = character * LARGEST_REQUEST
    line = encode_line({'id': text, 'reason': text, 'server': 's1'})
    assert len(line.encode()) < MAX_LINE_BYTES
    decoded = json.loads(line)
    assert decoded['server'] == 's1'
    assert decoded['id'].startswith(character * 100)
