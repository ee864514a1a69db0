"""What the checks of a suspected primary find."""

import contextlib

from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.fleet import GroupRecord
from toucandeal.fleet_tables import apply_record
from toucandeal.positions import LogPosition
from toucandeal.promotion import ServerReport
from toucandeal.store_versions import StoreVersion
from toucandeal.tests.sample_tables import NOW, new_tables
from toucandeald.primary_watch import PrimaryWatch
from toucandeald.session_messages import AnswerKind, ServerAnswer
from toucandeald.steady_clock import virtual_time

DENIAL = ServerAnswer(
    AnswerKind.COMPLETED,
    [],
    '',
    '',
    report=ServerReport(False, 3, LogPosition(3, 9)),
)


@contextlib.contextmanager
def running_clock():
    """Yield a clock that decisions use as well."""
    clock = Clock()
    clock.advance(NOW)
    with virtual_time(clock.seconds):
        yield clock


class PendingCheck:
    """A check of the primary `a` whose answer has not arrived."""

    def __init__(self, clock):
        self._clock = clock
        self.tables = new_tables()
        self._answer = defer.Deferred()
        self.watch = PrimaryWatch(clock, self.tables, self._open)
        self.watch.suspect(self.tables.servers['a'], 'it is silent')

    @property
    def record(self):
        """Return the group's record."""
        return self.tables.groups['g'].record

    def deny(self):
        """Deliver the answer that the server does not lead."""
        self._answer.callback(DENIAL)

    def record_again(self, number):
        """Record, a moment later, that `a` leads."""
        self._clock.advance(0.1)
        record = GroupRecord('g', 'a', 5, version=StoreVersion(0, number))
        apply_record(self.tables, record, self._clock.seconds())

    def call(self, request, timeout_s):
        """Return the answer that is still to come."""
        return self._answer

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
