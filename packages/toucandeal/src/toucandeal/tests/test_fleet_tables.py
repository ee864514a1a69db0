"""Positions in servers' answers, and the samples that they become."""

from toucandeal.fleet import GroupRecord
from toucandeal.fleet_tables import (
    PositionUse,
    apply_record,
    note_leading,
    note_not_leading,
    record_position,
    usable_primary,
)
from toucandeal.placement import place_read, place_write
from toucandeal.positions import NOTHING_SEEN, LogPosition
from toucandeal.store_versions import StoreVersion
from toucandeal.tests.sample_tables import (
    NOW,
    new_route,
    new_tables,
    record_primary_position,
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


def test_a_report_of_before_a_denial_does_not_end_it():
    # Guards against the use of a server that has lost the lead, on the word of
    # a report that was requested while it led and that arrives late.
    tables = new_tables()
    server = tables.servers['a']
    note_not_leading(tables, server, NOW + 0.2)
    note_leading(tables, server, NOW + 0.1, NOW + 0.3)
    assert usable_primary(tables, 'g', NOW + 0.3) is None
    note_leading(tables, server, NOW + 0.3, NOW + 0.4)
    assert usable_primary(tables, 'g', NOW + 0.4) is server


def test_no_answer_of_before_the_end_of_a_denial_is_a_sample():
    # Guards against a position of the time in which the server did not lead.
    tables = new_tables()
    server = tables.servers['a']
    note_not_leading(tables, server, NOW + 0.2)
    note_leading(tables, server, NOW + 0.3, NOW + 0.4)
    position = LogPosition(3, 41)
    use = record_position(tables, server, position, NOW + 0.35, NOW + 0.45)
    assert use is PositionUse.LATE


def test_work_with_an_earlier_lead_of_the_same_server_is_not_acknowledged():
    # Guards against a write that is acknowledged though a promotion has lost
    # it: the lead comes back to its server, and this proxy misses the record
    # in between.
    tables = new_tables()
    record_primary_position(tables, 7, NOW)
    placement = place_write(tables, new_route(), NOW)
    record = GroupRecord('g', 'a', 5, version=StoreVersion(0, 9))
    apply_record(tables, record, NOW + 0.4)
    assert tables.groups['g'].epoch > placement.epoch
    assert not tables.groups['g'].history


def test_a_denial_of_an_earlier_lead_does_not_concern_the_next_one():
    # Guards against a primary that is not used after its promotion because it
    # had denied to lead before it.
    tables = new_tables()
    server = tables.servers['a']
    note_not_leading(tables, server, NOW + 0.1)
    record = GroupRecord('g', 'a', 5, version=StoreVersion(0, 9))
    apply_record(tables, record, NOW + 0.4)
    assert usable_primary(tables, 'g', NOW + 0.4) is server


def test_the_record_of_a_lead_that_goes_on_keeps_its_work_and_samples():
    # Guards against work that is given up without need: the records of a store
    # that came back from a copy are written again.
    tables = new_tables()
    record_primary_position(tables, 7, NOW)
    placement = place_write(tables, new_route(), NOW)
    record = GroupRecord('g', 'a', 3, version=StoreVersion(1, 9))
    assert apply_record(tables, record, NOW + 0.4)
    assert tables.groups['g'].epoch == placement.epoch
    assert tables.groups['g'].history
