"""Positions in servers' answers, and the samples that they become."""

from toucandeal.fleet import GroupRecord
from toucandeal.fleet_tables import PositionUse, apply_record, record_position
from toucandeal.placement import place_read
from toucandeal.positions import NOTHING_SEEN, LogPosition
from toucandeal.store_versions import StoreVersion
from toucandeal.tests.sample_tables import (
    NOW,
    new_route,
    new_tables,
    renew_lease,
)


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


def test_a_replicas_late_answer_is_no_sample_after_its_promotion():
    # Guards against stale reads: a replica answers before it has applied all
    # that it has received, is promoted, and its answer arrives after that.
    tables = new_tables()
    promoted = tables.servers['b']
    recorded_at = NOW + 0.4
    record = GroupRecord('g', 'b', 4, version=StoreVersion(0, 2))
    apply_record(tables, record, recorded_at)
    renew_lease(tables, recorded_at)
    late, sound = LogPosition(3, 41), LogPosition(3, 61)
    sent_at = recorded_at + 0.1
    uses = [
        record_position(tables, promoted, late, NOW, sent_at),
        record_position(tables, promoted, sound, sent_at, sent_at + 0.1),
    ]
    placement = place_read(
        tables, new_route(), NOTHING_SEEN, NOW + 1, frozenset()
    )
    assert placement.after == sound
    assert uses == [PositionUse.LATE, PositionUse.FIRST_SAMPLE]


def test_a_late_answer_of_an_earlier_lead_is_no_sample():
    # Guards against the same where the lead comes back to a server, and this
    # proxy misses the record in between: its name alone tells nothing.
    tables = new_tables()
    server = tables.servers['a']
    record = GroupRecord('g', 'a', 5, version=StoreVersion(0, 9))
    apply_record(tables, record, NOW + 0.4)
    renew_lease(tables, NOW + 0.4)
    use = record_position(
        tables, server, LogPosition(3, 41), NOW + 0.3, NOW + 0.5
    )
    assert use is PositionUse.LATE
