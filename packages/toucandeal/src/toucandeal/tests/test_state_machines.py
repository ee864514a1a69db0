"""Stateful tests of invariants over random histories."""

import sqlite3

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from toucandeal.configuration import Configuration, Row, merge, rows_since
from toucandeal.positions import (
    LogPosition,
    kth_largest,
    majority,
    replicas_to_confirm,
)
from toucandeal.request_keys import (
    SCHEMA,
    Statement,
    is_repeated_key,
    keyed_statements,
)
from toucandeal.takeovers import Grant, best_candidate, next_term

SERVERS = 3
server_numbers = st.integers(0, SERVERS - 1)
proxy_numbers = st.integers(0, 1)


class Server:
    """A server's log of (term, entry) and its highest fenced term."""

    def __init__(self):
        self.log = []
        self.term = 0
        self.promoted = 0

    @property
    def held(self):
        return LogPosition(self.log[-1][0] if self.log else 0, len(self.log))


class GroupTerms(RuleBasedStateMachine):
    """Two proxies and three servers, with messages in any order.

    A write counts as acknowledged by the library's rule. After each step, all
    acknowledged writes must be in the log of every primary of a later term
    that can still get writes confirmed.
    """

    def __init__(self):
        super().__init__()
        self.servers = [Server() for _ in range(SERVERS)]
        self.known_terms = [0, 0]
        self.takeovers = [None, None]
        self.acknowledged = []
        self.written = 0

    @rule(proxy_number=proxy_numbers)
    def begin_takeover(self, proxy_number):
        self.known_terms[proxy_number] = next_term(
            self.known_terms[proxy_number], proxy_number + 1
        )
        self.takeovers[proxy_number] = (self.known_terms[proxy_number], {})

    @rule(
        proxy_number=proxy_numbers,
        server_number=server_numbers,
        answer_lost=st.booleans(),
    )
    def fence(self, proxy_number, server_number, answer_lost):
        if self.takeovers[proxy_number] is None:
            return
        term, grants = self.takeovers[proxy_number]
        target = self.servers[server_number]
        if term > target.term:
            target.term = term
            if not answer_lost:
                grants[server_number] = Grant(str(server_number), target.held)
        else:
            self.known_terms[proxy_number] = max(
                self.known_terms[proxy_number], target.term
            )

    @rule(proxy_number=proxy_numbers, answer_lost=st.booleans())
    def promote(self, proxy_number, answer_lost):
        if self.takeovers[proxy_number] is None:
            return
        term, grants = self.takeovers[proxy_number]
        if len(grants) < majority(SERVERS):
            return
        candidate = best_candidate(tuple(grants.values()), frozenset())
        target = self.servers[int(candidate)]
        if target.term == term and target.promoted < term:
            target.promoted = term
            target.log.append((term, 'start'))
        if not answer_lost:
            self.takeovers[proxy_number] = None

    @rule(server_number=server_numbers)
    def write(self, server_number):
        target = self.servers[server_number]
        if target.promoted and target.promoted == target.term:
            self.written += 1
            target.log.append((target.term, self.written))

    @rule(
        source=server_numbers,
        destination=server_numbers,
        entries=st.integers(0, 4),
    )
    def replicate(self, source, destination, entries):
        sender, receiver = self.servers[source], self.servers[destination]
        term = sender.promoted
        if source == destination or not term or term < receiver.term:
            return
        if receiver.promoted == term:
            return
        receiver.term = term
        common = 0
        while (
            common < min(len(sender.log), len(receiver.log))
            and sender.log[common] == receiver.log[common]
        ):
            common += 1
        shipped = sender.log[common : common + entries]
        if shipped:
            receiver.log[common:] = shipped

    @rule(server_number=server_numbers)
    def acknowledge(self, server_number):
        """Apply the acknowledgement rule to the writes of a server."""
        writer = self.servers[server_number]
        if not writer.log or writer.log[-1][0] != writer.promoted:
            return
        term = writer.promoted
        indices = [
            replica.held.index
            for number, replica in enumerate(self.servers)
            if number != server_number and replica.held.term == term
        ]
        confirmed = kth_largest(indices, replicas_to_confirm(SERVERS), 0, 0)
        self.acknowledged.extend(
            entry
            for entry in writer.log[:confirmed]
            if entry[0] == term and entry not in self.acknowledged
        )

    @invariant()
    def one_primary_for_each_term(self):
        promoted = [entry.promoted for entry in self.servers if entry.promoted]
        assert len(promoted) == len(set(promoted))

    @invariant()
    def nothing_acknowledged_is_lost(self):
        terms = [entry.promoted for entry in self.servers]
        newest = max(self.servers, key=lambda entry: entry.promoted)
        if max(terms):
            assert set(self.acknowledged) <= set(newest.log)


class ConfigurationExchange(RuleBasedStateMachine):
    """One store and three proxies that exchange rows in any order."""

    def __init__(self):
        super().__init__()
        self.store = Configuration(0, {})
        self.proxies = [Configuration(0, {}) for _ in range(3)]

    @rule(name=st.sampled_from('xyz'), dropped=st.booleans())
    def change(self, name, dropped):
        version = self.store.version + 1
        row = Row(f'caller/{name}', version, None if dropped else {})
        self.store, _ = merge(self.store, version, [row])

    @rule(proxy_number=st.integers(0, 2))
    def poll(self, proxy_number):
        self._merge_from(proxy_number, self.store)

    @rule(proxy_number=st.integers(0, 2), source_number=st.integers(0, 2))
    def poll_a_peer(self, proxy_number, source_number):
        self._merge_from(proxy_number, self.proxies[source_number])

    @rule(
        proxy_number=st.integers(0, 2),
        source_number=st.integers(0, 2),
        since=st.integers(0),
    )
    def receive_late_answer(self, proxy_number, source_number, since):
        source = self.proxies[source_number]
        if since <= self.proxies[proxy_number].version:
            rows = rows_since(source, since)
            merged, _ = merge(self.proxies[proxy_number], source.version, rows)
            self._replace(proxy_number, merged)

    def _merge_from(self, proxy_number, source):
        rows = rows_since(source, self.proxies[proxy_number].version)
        merged, _ = merge(self.proxies[proxy_number], source.version, rows)
        self._replace(proxy_number, merged)

    def _replace(self, proxy_number, merged):
        before = self.proxies[proxy_number]
        assert merged.version >= before.version
        for key, row in before.rows.items():
            assert merged.rows[key].version >= row.version
        self.proxies[proxy_number] = merged

    @invariant()
    def every_version_has_all_its_rows(self):
        for configuration in self.proxies:
            for key, row in self.store.rows.items():
                if row.version <= configuration.version:
                    assert configuration.rows[key].version >= row.version


class RequestKeys(RuleBasedStateMachine):
    """Retries of keyed writes around failovers that lose the last writes."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.database = self._rebuilt()

    def _rebuilt(self):
        database = sqlite3.connect(':memory:', isolation_level=None)
        database.execute('CREATE TABLE booking (tag TEXT)')
        for statement in SCHEMA:
            database.execute(statement.sql)
        for statements in self.log:
            self._transact(database, statements)
        return database

    def _transact(self, database, statements):
        database.execute('BEGIN')
        try:
            for statement in statements:
                database.execute(statement.sql, statement.parameters)
        except sqlite3.Error:
            database.execute('ROLLBACK')
            raise
        database.execute('COMMIT')

    @rule(key=st.sampled_from('abcde'))
    def send(self, key):
        insert = Statement('INSERT INTO booking VALUES (?)', (key,))
        statements = keyed_statements('one', key, 'digest', 0, [insert])
        try:
            self._transact(self.database, statements)
        except sqlite3.IntegrityError as error:
            assert is_repeated_key(str(error))
        else:
            self.log.append(statements)

    @precondition(lambda self: self.log)
    @rule(kept=st.integers(0, 100))
    def fail_over_without_the_last_writes(self, kept):
        self.log = self.log[: kept % (len(self.log) + 1)]
        self.database = self._rebuilt()

    @invariant()
    def no_key_has_run_twice(self):
        doubled = self.database.execute(
            'SELECT tag FROM booking GROUP BY tag HAVING count(*) > 1'
        ).fetchall()
        assert not doubled


@pytest.mark.parametrize(
    'machine', [GroupTerms, ConfigurationExchange, RequestKeys]
)
def test_invariants_hold_after_every_step(machine):
    case = machine.TestCase
    case.settings = settings(
        max_examples=150,
        stateful_step_count=40,
        derandomize=True,
        deadline=None,
    )
    case().runTest()
