"""Decoding of the records that all proxies share."""

import pytest

from toucandeal.fleet import GroupRecord
from toucandeal.store_versions import StoreVersion
from toucandeald.shared_records import (
    decode_records,
    encode_group,
    group_key,
)
from toucandeald.shared_store import SharedRow

VERSION = StoreVersion(1, 7)
GOOD = SharedRow('proxy/p1', b'{"incarnation": 1, "address": "p1:1"}', VERSION)


@pytest.mark.parametrize(
    ('key', 'content'),
    [
        ('group/g', b'{"primary": "a", "term": 1, "x": %b}' % (b'[' * 20_000)),
        ('group/g', b'{"primary": "a", "term": 99999999999999999999}'),
        ('group/g', b'{"primary": "a", "term": -1}'),
        ('proxy/p2', b'{"incarnation": 1, "address": "nonsense"}'),
        ('proxy/p2', b'{"incarnation": 1, "address": "p2:70000"}'),
        (
            'proxy/p2',
            b'{"incarnation": 99999999999999999999, "address": "p:1"}',
        ),
        ('proxy/p2', b'{"incarnation": 1, "address": "p:1", "link_mbps": -1}'),
        ('era', b'{"era": 99999999999999999999}'),
    ],
)
def test_an_odd_row_does_not_hide_the_others(key, content):
    # Guards against records that nobody reads any more because of one row.
    decoded = decode_records([SharedRow(key, content, VERSION), GOOD])
    assert decoded.unreadable == [key]
    assert decoded.proxies.keys() == {'p1'}


def test_the_attempts_of_a_promotion_are_unknown_to_earlier_builds():
    # Guards against a promotion that counts as the first attempt because a
    # build that does not count them has resumed it.
    record = GroupRecord('g', 'a', 3, True, False, 'p1', VERSION, attempts=2)
    row = SharedRow(group_key('g'), encode_group(record), VERSION)
    assert decode_records([row]).groups == [record]
    earlier = b'{"primary":"a","term":3,"changing":true,"holder":"p1"}'
    decoded = decode_records([row._replace(content=earlier)]).groups
    assert decoded == [record._replace(attempts=0)]
