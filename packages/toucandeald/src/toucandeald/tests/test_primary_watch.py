"""What the checks of a suspected primary find."""

import contextlib

from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.fleet import GroupRecord
from toucandeal.fleet_tables import (
    apply_record,
    note_not_leading,
    server_load,
    usable_primary,
)
from toucandeal.positions import LogPosition
from toucandeal.promotion import ServerReport
from toucandeal.store_versions import StoreVersion
from toucandeal.tests.sample_tables import NOW, new_tables
from toucandeald.primary_watch import PrimaryWatch
from toucandeald.session_messages import AnswerKind, ServerAnswer
from toucandeald.steady_clock import virtual_time

DENIAL, CLAIM = (
    ServerAnswer(
        AnswerKind.COMPLETED,
        [],
        '',
        '',
        report=ServerReport(is_primary, 3, LogPosition(3, 9)),
    )
    for is_primary in (False, True)
)
LOST = ServerAnswer(AnswerKind.LOST, [], '', '')
FREEZE_S = 5.0


@contextlib.contextmanager
def running_clock():
    """Yield a clock that decisions use as well."""
    clock = Clock()
    clock.advance(NOW)
    with virtual_time(clock.seconds):
        yield clock


class PendingCheck:
    """Checks of the primary `a`, one of whose answers has not arrived."""

    def __init__(self, clock):
        self._clock = clock
        self.tables = new_tables()
        self._answers = []
        self.watch = PrimaryWatch(clock, self.tables, self._open)
        self.watch.suspect(self.tables.servers['a'], 'it is silent')

    @property
    def record(self):
        """Return the group's record."""
        return self.tables.groups['g'].record

    def deny(self):
        """Deliver the answer that the server does not lead."""
        self._answers.pop().callback(DENIAL)

    def claim(self):
        """Deliver the answer that the server leads."""
        self._answers.pop().callback(CLAIM)

    def time_out(self):
        """End the check that is pending without an answer."""
        self._answers.pop().callback(LOST)

    def check_again(self):
        """Let the time before the next check pass."""
        self._clock.advance(0.1)

    @property
    def unreachable_since(self):
        """Return since when the server counts as unreachable."""
        return server_load(self.tables, 'a').unreachable_since

    def deny_otherwise(self):
        """Deliver, a moment later, an earlier denial in another answer."""
        self._clock.advance(0.1)
        note_not_leading(
            self.tables, self.tables.servers['a'], self._clock.seconds()
        )

    def tick(self):
        """Let the watch look at the groups; return the pending checks."""
        self._clock.advance(0.1)
        self.watch.tick(self._clock.seconds())
        return len(self._answers)

    def is_usable(self):
        """Return whether the group's primary may be used."""
        now = self._clock.seconds()
        return usable_primary(self.tables, 'g', now) is not None

    def record_again(self, number, term=5):
        """Record, a moment later, that `a` leads."""
        self._clock.advance(0.1)
        record = GroupRecord('g', 'a', term, version=StoreVersion(0, number))
        apply_record(self.tables, record, self._clock.seconds())

    def call(self, request, timeout_s):
        """Return the answer that is still to come."""
        self._answers.append(defer.Deferred())
        return self._answers[-1]

    def close(self):
        """Close the connection."""

    async def _open(self, server, workspace, timeout_s):
        return self


def test_a_primary_that_denies_to_lead_has_stepped_down():
    with running_clock() as clock:
        check = PendingCheck(clock)
        check.deny()
        assert check.watch.has_stepped_down(check.record)


def test_a_report_of_before_the_present_lead_replaces_no_primary():
    # Guards against a needless promotion on the word of a report that was
    # requested before the server led again.
    with running_clock() as clock:
        check = PendingCheck(clock)
        check.record_again(2)
        check.deny()
        assert not check.watch.has_stepped_down(check.record)


def test_a_primary_that_once_stepped_down_may_lead_again():
    # Guards against the same on a proxy that had seen the server step down
    # and did not carry out the promotions since then.
    with running_clock() as clock:
        check = PendingCheck(clock)
        check.deny()
        check.record_again(2)
        assert not check.watch.has_stepped_down(check.record)


def test_a_denial_that_arrives_during_a_check_does_not_stand_for_good():
    # Guards against a group without a primary: the report of a check does not
    # end a denial that arrived after its request, and nothing asked again.
    with running_clock() as clock:
        check = PendingCheck(clock)
        check.deny_otherwise()
        check.claim()
        assert not check.is_usable()
        assert check.tick() == 1
        check.claim()
        assert check.is_usable()
        assert check.tick() == 0


def test_a_denial_of_before_a_record_does_not_stand_for_good():
    # Guards against the same where the denial was checked, and the server was
    # then recorded again: the check counts no more, and the denial did.
    with running_clock() as clock:
        check = PendingCheck(clock)
        check.deny()
        check.record_again(2, term=3)
        assert not check.watch.has_stepped_down(check.record)
        assert check.tick() == 1
        check.claim()
        assert check.is_usable()


def test_a_check_that_times_out_in_a_freeze_is_no_evidence():
    # Guards against a needless promotion: the healthy primary counted as
    # unreachable since before the freeze.
    with running_clock() as clock:
        check = PendingCheck(clock)
        clock.advance(FREEZE_S)
        check.time_out()
        assert check.unreachable_since is None
        check.check_again()
        check.time_out()
        assert check.unreachable_since >= NOW + FREEZE_S


def test_a_server_found_unreachable_before_a_freeze_is_checked_again():
    # Guards against the same where the server recovers during the freeze.
    with running_clock() as clock:
        check = PendingCheck(clock)
        check.time_out()
        assert check.unreachable_since == NOW
        check.check_again()
        clock.advance(FREEZE_S)
        check.time_out()
        assert check.unreachable_since is None


def test_checks_of_a_slow_process_find_a_dark_primary():
    # Guards against a group without a primary: each check of a slow machine
    # takes longer than its time-outs.
    with running_clock() as clock:
        check = PendingCheck(clock)
        clock.advance(FREEZE_S)
        check.time_out()
        check.check_again()
        clock.advance(FREEZE_S)
        check.time_out()
        assert check.unreachable_since is not None
