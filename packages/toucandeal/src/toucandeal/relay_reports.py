"""The reports of relays, as sent and as last heard.

Addresses this load pattern: a relay hears some fifty proxies four times a
second. The last report of each is kept, and all conclusions are drawn from
them a few times a second (:mod:`toucandeal.relay_summaries`).
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from toucandeal.fleet import ProxyRecord
from toucandeal.relays import RelayAssignment
from toucandeal.store_versions import StoreVersion

__all__ = [
    'ATTACHED_SILENT_S',
    'HeardProxy',
    'HeardSummary',
    'MAX_AGE_S',
    'RelayReport',
    'RelayState',
    'RelaySummary',
    'record_report',
]

ATTACHED_SILENT_S = 1.0  # four heartbeat intervals
MAX_AGE_S = 30.0  # stands for a confirmation that there is none of


class RelaySummary(NamedTuple):
    """A relay's report of other proxies, as sent.

    Attributes
    ----------
    covers_fleet : bool
        Whether it covers all counted proxies, or only those that are attached
        to the sender.
    none_begun_age : float
        Age, in seconds, of the oldest confirmation that none of them has begun
        a promotion.
    agreed : bool
        Whether all of them have reported the membership of the sender.
    silent, draining : list of str
    guests : list of str
        Proxies that use the sender as a relay though it does not count them as
        attached.
    """

    covers_fleet: bool
    none_begun_age: float
    agreed: bool
    silent: list[str]
    draining: list[str]
    guests: list[str]


class RelayReport(NamedTuple):
    """A received heartbeat, as far as relays are concerned.

    `sent_after` is a time, on this clock, after which it was sent, or minus
    infinity. `uses_relays` is whether the sender uses relays at all, and
    `attached` whether it uses this proxy as one.
    """

    name: str
    incarnation: int
    membership: int
    uses_relays: bool
    attached: bool
    draining: bool
    none_begun: bool
    records_version: StoreVersion
    sent_after: float
    summary: RelaySummary | None = None


class HeardProxy(NamedTuple):
    """The last heartbeat of a proxy; all times are on this clock."""

    incarnation: int
    membership: int
    heard_at: float
    attached_at: float
    draining: bool
    none_begun_at: float


class HeardSummary(NamedTuple):
    """The last summary of a relay; all times are on this clock."""

    incarnation: int
    membership: int
    heard_at: float
    none_begun_at: float
    agreed: bool
    silent: frozenset[str]
    draining: frozenset[str]
    guests: frozenset[str]


class RelayState:
    """The heartbeats and summaries that this proxy has heard.

    `incarnations` are those of the counted proxies, and `marked` the registered
    ones that are marked as silent. `assigned_at` is the time since which each
    attached proxy has been so.
    """

    def __init__(self, name: str) -> None:
        """Start without any."""
        self.name = name
        self.assignment: RelayAssignment | None = None
        self.incarnations: dict[str, int] = {}
        self.marked: set[str] = set()
        self.assigned_at: dict[str, float] = {}
        self.heard: dict[str, HeardProxy] = {}
        self.local_summaries: dict[str, HeardSummary] = {}
        self.fleet_summaries: dict[str, HeardSummary] = {}

    def assign(
        self,
        assignment: RelayAssignment,
        registered: Iterable[ProxyRecord],
        now: float,
    ) -> None:
        """Put an assignment of the counted among the proxies in force."""
        self.assignment = assignment
        self.incarnations = {}
        self.marked = set()
        for record in registered:
            if record.silent:
                self.marked.add(record.name)
            else:
                self.incarnations[record.name] = record.incarnation
        self.assigned_at = {
            name: self.assigned_at.get(name, now)
            for name in assignment.attached.get(self.name, ())
        }


def record_report(
    state: RelayState,
    report: RelayReport,
    records_version: StoreVersion,
    now: float,
) -> None:
    """Record a heartbeat that was received at `now`.

    A confirmation of a proxy with newer records than `records_version`, which
    are those of this proxy, proves nothing about the older ones.
    """
    known = state.heard.get(report.name)
    is_same = (
        known is not None
        and known.incarnation == report.incarnation
        and known.membership == report.membership
    )
    valid = report.records_version <= records_version
    confirmed_at = known.none_begun_at if is_same else -math.inf
    if report.none_begun and valid:
        confirmed_at = max(confirmed_at, report.sent_after)
    state.heard[report.name] = HeardProxy(
        report.incarnation,
        report.membership,
        now,
        now if report.attached else -math.inf,
        report.draining,
        confirmed_at,
    )
    if report.summary is not None:
        _record_summary(state, report, report.summary, valid, now)


def _record_summary(
    state: RelayState,
    report: RelayReport,
    summary: RelaySummary,
    valid: bool,
    now: float,
) -> None:
    summaries = (
        state.fleet_summaries if summary.covers_fleet else state.local_summaries
    )
    known = summaries.get(report.name)
    confirmed_at = -math.inf
    if (
        known is not None
        and known.incarnation == report.incarnation
        and known.membership == report.membership
    ):
        confirmed_at = known.none_begun_at
    if valid and summary.none_begun_age < MAX_AGE_S:
        confirmed_at = max(
            confirmed_at, report.sent_after - summary.none_begun_age
        )
    summaries[report.name] = HeardSummary(
        report.incarnation,
        report.membership,
        now,
        confirmed_at,
        summary.agreed,
        frozenset(summary.silent),
        frozenset(summary.draining),
        frozenset(summary.guests),
    )
