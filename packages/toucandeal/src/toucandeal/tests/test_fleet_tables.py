"""Positions in servers' answers, and the samples that they become."""

from toucandeal.fleet import GroupRecord
from toucandeal.fleet_tables import PositionUse, apply_record, record_position
from toucandeal.positions import LogPosition
from toucandeal.store_versions import StoreVersion
from toucandeal.tests.sample_tables import NOW, new_tables


def test_the_first_sample_of_a_record_and_of_a_term_is_told_apart():
    tables = new_tables()
    servers = tables.servers

    def use(name, term, index):
        return record_position(
            tables, servers[name], LogPosition(term, index), NOW, NOW
        )

    assert use('b', 3, 4) is PositionUse.NO_SAMPLE
    assert use('a', 3, 5) is PositionUse.FIRST_SAMPLE
    assert use('a', 3, 6) is PositionUse.SAMPLE
    record = GroupRecord('g', 'b', 4, version=StoreVersion(0, 2))
    apply_record(tables, record, NOW)
    assert use('a', 3, 7) is PositionUse.NO_SAMPLE
    assert use('b', 3, 7) is PositionUse.FIRST_SAMPLE
    assert use('b', 4, 8) is PositionUse.FIRST_SAMPLE
