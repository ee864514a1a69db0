"""What proxies know of acknowledged writes when a primary fails."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from toucandeal.acknowledged_writes import (
    AcknowledgedWrites,
    Bound,
    ServerStart,
    acknowledged_by,
    begin_lead,
    combine_acknowledged,
    has_acknowledged_writes,
    note_acknowledged,
    note_departure,
    note_primary_position,
    note_server_ended,
    note_server_listed,
)
from toucandeal.fleet import GroupRecord, Server
from toucandeal.fleet_tables import (
    apply_record,
    awaits_server,
    record_position,
    server_load,
)
from toucandeal.positions import NOTHING_SEEN, LogPosition
from toucandeal.promotion import starts_of, unaccounted_servers
from toucandeal.store_versions import StoreVersion
from toucandeal.tests.sample_tables import (
    NOW,
    new_tables,
    record_primary_position,
)

PROXIES = ('p1', 'p2', 'p3')
REPLICAS = ('b', 'c', 'd')
TERM = 3


def at(index):
    """Return the position of a commit."""
    return LogPosition(TERM, index)


class Model:
    """A primary, its replicas, and what the proxies know, step by step.

    `lasting` is the last commit that a proxy has acknowledged. The first proxy
    decides; it keeps the list of servers.
    """

    def __init__(self):
        self.now = NOW + 5
        self.log = 0
        self.lasting = 0
        self.tables = new_tables()
        self.tables.servers['d'] = self.tables.servers['c']._replace(name='d')
        self.received = dict.fromkeys(REPLICAS, 0)
        self.silent = set()
        self.writes = {name: AcknowledgedWrites() for name in PROXIES}
        self.writes['p1'] = self.tables.groups['g'].acknowledged
        self.record = GroupRecord(
            'g', 'a', TERM, servers=starts_of(self.tables, 'g')
        )
        for writes in self.writes.values():
            begin_lead(writes, self.now)

    def commit(self, index):
        """Commit a write, which one of the replicas receives."""
        self.log += 1
        self.replicate(index)

    def replicate(self, index):
        """Let one of the replicas receive the log."""
        self.received[REPLICAS[index]] = self.log

    def acknowledge(self, index):
        """Let a proxy acknowledge what a replica has received."""
        confirmed = max(self.received.values())
        note_acknowledged(self.writes[PROXIES[index]], at(confirmed))
        self.lasting = max(self.lasting, confirmed)

    def sample(self, index):
        """Let a proxy get an answer of the primary."""
        writes = self.writes[PROXIES[index]]
        note_primary_position(writes, at(self.log), self.now)

    def restart_proxy(self, index):
        """Let a proxy start again, or one leave that does not decide."""
        name = PROXIES[index]
        self.writes[name] = AcknowledgedWrites()
        if name == 'p1':
            self.tables.groups['g'].acknowledged = self.writes[name]
            note_departure(self.writes[name], self.now + 1.0)

    def remove_proxy(self, index):
        """Let a proxy that does not decide leave."""
        name = PROXIES[index]
        if name != 'p1' and self.writes.pop(name, None) is not None:
            note_departure(self.writes['p1'], self.now + 1.0)
            self.writes[name] = AcknowledgedWrites()
            begin_lead(self.writes[name], self.now)

    def restart_server(self, index):
        """Let a replica start again without its log."""
        name = REPLICAS[index]
        server = self.tables.servers[name]
        writes = self.writes['p1']
        note_server_ended(writes, ServerStart(name, server.born_ms), self.now)
        self.tables.servers[name] = server._replace(born_ms=server.born_ms + 1)
        note_server_listed(writes, ServerStart(name, server.born_ms + 1))
        self.received[name] = 0

    def silence(self, index):
        """Let a replica or, above their number, a proxy give no answer."""
        self.silent.add((*REPLICAS, *PROXIES[1:])[index])

    def step(self, action, index):
        """Take one step, a moment after the last one."""
        self.now += 0.4
        getattr(self, action)(index)

    def best_if_promoted(self):
        """Return what the promoted replica has, or None."""
        reported = {
            name: index
            for name, index in self.received.items()
            if name not in self.silent
        }
        if not reported:
            return None
        best = max(reported.values())
        answers = [
            None if name in self.silent else acknowledged_by(writes)
            for name, writes in self.writes.items()
        ]
        missing = unaccounted_servers(
            self.tables, self.record, reported, at(best)
        )
        acknowledged = combine_acknowledged(answers, self.writes['p1'].departed)
        is_safe = has_acknowledged_writes(at(best), acknowledged, missing)
        return best if is_safe else None


STEPS = st.one_of(
    st.tuples(
        st.sampled_from(['commit', 'replicate', 'acknowledge', 'sample']),
        st.integers(0, 2),
    ),
    st.tuples(
        st.sampled_from(['restart_proxy', 'remove_proxy', 'restart_server']),
        st.integers(0, 2),
    ),
)


@given(
    st.lists(STEPS, max_size=25),
    st.lists(st.tuples(st.just('silence'), st.integers(0, 4)), max_size=3),
)
def test_no_promotion_lacks_an_acknowledged_write(steps, failures):
    # Guards against the loss of acknowledged commits (review/6), in any order
    # of commits, restarts and answers before the primary fails.
    model = Model()
    for step in (*steps, *failures):
        model.step(*step)
    best = model.best_if_promoted()
    assert best is None or best >= model.lasting


def test_a_silent_server_stops_no_promotion_if_all_proxies_answer():
    model = Model()
    for step in (('commit', 0), ('acknowledge', 1), ('replicate', 1)):
        model.step(*step)
    model.step('silence', 0)
    assert model.best_if_promoted() == 1


def test_a_proxy_without_an_answer_stops_no_promotion_if_all_servers_report():
    model = Model()
    for step in (('commit', 0), ('acknowledge', 1), ('silence', 3)):
        model.step(*step)
    assert model.best_if_promoted() == 1


def test_a_restarted_proxy_answers_for_its_earlier_process_after_a_sample():
    model = Model()
    for step in (('commit', 0), ('acknowledge', 1), ('restart_proxy', 1)):
        model.step(*step)
    model.step('silence', 1)
    assert model.best_if_promoted() is None
    model.step('sample', 1)
    model.step('silence', 2)
    assert model.best_if_promoted() == 1


def test_what_was_acknowledged_is_kept_until_another_server_leads():
    # Guards against a proof from a restored record, which is of an earlier
    # lead than the writes that a proxy remembers.
    tables = new_tables()
    writes = tables.groups['g'].acknowledged
    note_acknowledged(writes, at(9))
    for version, primary, term in ((2, 'b', 2), (3, 'b', 3)):
        record = GroupRecord(
            'g', primary, term, version=StoreVersion(0, version)
        )
        apply_record(tables, record, NOW + 2)
        assert writes.own == at(9)
    apply_record(
        tables, GroupRecord('g', 'c', 4, version=StoreVersion(0, 4)), NOW + 2
    )
    assert acknowledged_by(writes) == (NOTHING_SEEN, NOTHING_SEEN)


def test_positions_of_an_earlier_lead_are_no_evidence_of_a_restart():
    # A replica that was ahead of the new primary is rolled back.
    tables = new_tables()
    server_load(tables, 'b').received = at(9)
    apply_record(
        tables, GroupRecord('g', 'c', 4, version=StoreVersion(0, 2)), NOW
    )
    assert server_load(tables, 'b').received == NOTHING_SEEN


def test_a_sample_bounds_what_others_acknowledged_before():
    tables = new_tables()
    writes = tables.groups['g'].acknowledged
    record_primary_position(tables, 7, NOW)
    assert writes.earlier.position == at(7)
    assert writes.departed.position is None  # a lease of theirs may last
    later = NOW + 0.8
    record_position(tables, tables.servers['a'], at(8), NOW + 0.2, later)
    assert writes.departed.position is None


@pytest.mark.parametrize('born_ms', [0, 5])
def test_a_server_whose_entry_has_lapsed_comes_back_with_its_log(born_ms):
    writes = AcknowledgedWrites()
    start = ServerStart('b', 0)
    note_server_ended(writes, start, NOW)
    note_server_listed(writes, ServerStart('b', born_ms))
    assert (start in writes.ended_servers) == bool(born_ms)


def test_a_later_departure_needs_a_later_sample():
    writes = AcknowledgedWrites()
    note_departure(writes, NOW)
    note_primary_position(writes, at(4), NOW)
    note_departure(writes, NOW + 1)
    assert writes.departed == Bound(NOW + 1)


def test_a_group_waits_only_while_its_primary_gives_no_answer():
    tables = new_tables()
    apply_record(
        tables,
        GroupRecord('g', 'a', 3, version=StoreVersion(0, 2), awaited=('b',)),
        NOW,
    )
    assert not awaits_server(tables, 'g')
    server_load(tables, 'a').unreachable_since = NOW
    assert awaits_server(tables, 'g')
    server_load(tables, 'a').unreachable_since = None
    tables.servers.pop('a')
    assert awaits_server(tables, 'g')


def test_a_server_of_another_group_is_not_missing():
    tables = new_tables()
    tables.servers['x'] = Server('x', 'h', 'x:1', 'z1', 2, False, False)
    record = tables.groups['g'].record
    assert unaccounted_servers(tables, record, 'bc', at(1)) == []
