"""Leases of a proxy that has missed the promotion of a group."""

import pytest

from toucandeal.fleet import GroupRecord
from toucandeal.primary_lease import LEASE_DURATION_S, may_use_primary
from toucandeald.fleet_wire import PromotionBegun, RowCopy
from toucandeald.peer_copies import shared_rows
from toucandeald.shared_records import encode_group, group_key
from toucandeald.tests.simulated_fleet import GROUPS, settled_fleet

MISSED, OTHER = GROUPS[:2]
NAMES = ('p0', 'p1', 'p2')
ISOLATED = 'p3'
PROMOTED = 'promoted'


@pytest.fixture
def fleet():
    """Return four proxies that know one another and all records."""
    with settled_fleet(4) as settled:
        yield settled


def cut_between(fleet, names):
    """Cut the links between the isolated proxy and others."""
    fleet.cut |= {(name, ISOLATED) for name in names}
    fleet.cut |= {(ISOLATED, name) for name in names}


def record_row(fleet, record):
    """Write a group's record; return the row."""
    fleet.store.put(group_key(record.group), encode_group(record))
    return fleet.store.rows[group_key(record.group)]


def begin_promotion(fleet, group, holder, recipients):
    """Write that a promotion has begun, and tell the recipients."""
    row = record_row(
        fleet, GroupRecord(group, f'{group}-primary', 1, True, False, holder)
    )
    message = PromotionBegun(
        holder,
        f'{holder}:1',
        RowCopy(row.key, row.content, row.version),
    )
    for name in recipients:
        fleet.send(holder, f'{name}:1', message)


def promote(fleet, group):
    """Write that another server is the primary now."""
    record_row(fleet, GroupRecord(group, PROMOTED, 2))


def miss_promotion(fleet):
    """Promote a server while the isolated proxy is cut off from all others."""
    cut_between(fleet, NAMES)
    fleet.cut_from_store.add(ISOLATED)
    begin_promotion(fleet, MISSED, 'p0', NAMES)
    fleet.run(LEASE_DURATION_S + 0.5)
    promote(fleet, MISSED)
    fleet.run(0.7)  # it is not marked as silent yet


def uses_superseded_primary(fleet, group):
    """Return whether the isolated proxy may use a group's former primary."""
    tables = fleet.proxies[ISOLATED].tables
    record = tables.groups[group].record
    return record.primary != PROMOTED and may_use_primary(
        tables.primary_lease, record, fleet.clock.now
    )


def test_the_begin_of_another_promotion_does_not_hide_a_missed_one(fleet):
    # Guards against stale reads at a superseded primary: the highest version
    # of any record says nothing about a record that was missed.
    miss_promotion(fleet)
    fleet.cut.clear()
    begin_promotion(fleet, OTHER, 'p1', [*NAMES, ISOLATED])
    used = []
    fleet.run(3.0, lambda: used.append(uses_superseded_primary(fleet, MISSED)))
    assert not any(used)
    record = fleet.proxies[ISOLATED].tables.groups[MISSED].record
    assert record.primary == PROMOTED
    assert not fleet.without_lease()


def test_a_promotion_whose_holder_is_cut_off_alone_is_not_missed(fleet):
    # Guards against the same where the lease never lapsed: the begin of one
    # promotion was lost, and that of the next one arrived.
    cut_between(fleet, ['p0'])
    fleet.cut_from_store.add(ISOLATED)
    begin_promotion(fleet, MISSED, 'p0', NAMES)
    begun_at = fleet.clock.now
    begin_promotion(fleet, OTHER, 'p1', [*NAMES, ISOLATED])
    used_at = []

    def note_use():
        if uses_superseded_primary(fleet, MISSED):
            used_at.append(fleet.clock.now)

    fleet.run(3.0, note_use)
    assert max(used_at, default=begun_at) < begun_at + LEASE_DURATION_S


def test_a_copy_of_records_hides_no_missed_promotion(fleet):
    # Guards against acknowledged writes at a superseded primary: the record of
    # a group that had begun to change again was left out of the copy, and the
    # recipient took it for complete because of another group's record.
    miss_promotion(fleet)
    promote(fleet, OTHER)
    fleet.run(0.7)
    begin_promotion(fleet, MISSED, 'p0', ['p1'])
    sender, recipient = fleet.proxies['p1'], fleet.proxies[ISOLATED]
    begun = fleet.store.rows[group_key(MISSED)].version
    while sender.state.records[group_key(MISSED)].version < begun:
        fleet.run(0.001, step_s=0.001)
    assert sender.state.records_version < begun
    complete = recipient.state.records_version
    rows = shared_rows(sender.gossip._copies.records_copy().rows)
    recipient.state.apply_records_copy(rows)
    assert recipient.state.records_version == complete


def test_a_copy_of_records_lacks_those_behind_a_gap(fleet):
    # Guards against a proxy that passes its own gap on with a copy.
    miss_promotion(fleet)
    fleet.cut = {(ISOLATED, name) for name in NAMES}
    begin_promotion(fleet, OTHER, 'p1', [ISOLATED])
    fleet.run(0.1)
    copies = fleet.proxies[ISOLATED].gossip._copies
    versions = {row.key: row.version for row in copies.records_copy().rows}
    newest = fleet.store.rows[group_key(OTHER)].version
    assert versions.get(group_key(OTHER)) != newest
