"""The coordinator's part of the rates: votes, buckets and grants."""

import collections
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from toucandeal.fleet import ProxyRecord, find_workspace
from toucandeal.fleet_tables import FleetTables
from toucandeal.primary_lease import evidence_as_of
from toucandeal.rate_limits import (
    VOTE_VALID_S,
    RateBucket,
    VoteCount,
    advance_votes,
    bucket_capacity,
    credit_tokens,
    divide_tokens,
    fill_bucket,
    record_grant,
    record_vote,
    token_wait,
    vote_weight,
)
from toucandeal.workspaces import Workspace
from toucandeald.rate_membership import RateMembership
from toucandeald.rate_wire import RateGrant, RateReport
from toucandeald.steady_clock import steady_seconds

__all__ = [
    'RateCoordinator',
    'limited_workspaces',
    'rate_limit',
]

# A proxy that its peers may have marked as silent, after 2.5 s, grants none.
EVIDENCE_VALID_S = 2.0
DIVISION_INTERVAL_S = 0.01  # of tokens that come while proxies wait for them
FILL_INTERVAL_S = 0.2  # of buckets that are not used
VIEW_VALID_S = 0.02  # of the counted proxies, instead of once for each report
# Two reports of a proxy with waiting operations. Tokens granted later would
# be held where no operation waits any more.
UNMET_VALID_S = 0.1

Send = Callable[[str, str, RateGrant], None]


class RateCoordinator:
    """The buckets of the shards that other proxies vote for this one in."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        own: ProxyRecord,
        membership: RateMembership,
        send: Send,
        granted_share: float,
    ) -> None:
        """Initialize with `send`, which takes a name, address and message."""
        self._granted_share = granted_share
        self._membership = membership
        self._clock = clock
        self._tables = tables
        self._own = own
        self._send = send
        self._shards: dict[str, _Shard] = {}
        self._view = _View(-math.inf, frozenset(), 1, -math.inf)
        self._filled_at = -math.inf
        self._dividing = None

    def received(self, report: RateReport) -> None:
        """Record a proxy's vote and requests, and answer with a grant."""
        now = steady_seconds()
        if self._tables.draining or self._is_outdated(now):
            self._release(report, now)
            return
        shard = self._shards.setdefault(report.shard, _Shard(now))
        self._advance(shard, now)
        known = shard.reports.get(report.sender)
        if known is not None and _is_older(report, known):
            return
        may_vote = report.sender in self._view.voters
        if may_vote and report.echo_incarnation == self._own.incarnation:
            valid_until = report.echo + VOTE_VALID_S
            if valid_until > now:
                record_vote(shard.votes, report.sender, valid_until)
                self._advance(shard, now)
        shard.reports[report.sender] = report
        shard.received_at[report.sender] = now
        for workspace, tokens in report.returned.items():
            limit = rate_limit(self._tables, workspace)
            if limit is not None:
                self._credit(shard, limit, report.sender, tokens)
        grants = self._divide(shard, report.wanted.keys(), now)
        grants.setdefault(report.sender, {})
        self._send_grants(shard, grants, now)
        self._schedule_division()

    def tick(self, now: float) -> None:
        """Fill the buckets, and forget what is no longer needed."""
        if self._tables.draining:
            self._shards.clear()
        if now - self._filled_at < FILL_INTERVAL_S:
            return
        self._filled_at = now
        limits = limited_workspaces(self._tables)
        for shard in self._shards.values():
            self._advance(shard, now)
            for name in shard.buckets.keys() - limits.keys():
                shard.buckets.pop(name)
            for limit in limits.values():
                self._filled_bucket(shard, limit)

    def _is_outdated(self, now: float) -> bool:
        """Return whether this proxy's list of proxies is too old to grant.

        Its peers may read the store meanwhile, so its voters are released.
        """
        return -math.inf < self._membership.own_counted_until <= now

    def _release(self, report: RateReport, now: float) -> None:
        self._shards.clear()
        self._send(
            report.sender,
            report.address,
            RateGrant(
                self._own.name,
                self._own.incarnation,
                report.shard,
                now,
                report.sent_at,
                {},
                released=True,
            ),
        )

    def _advance(self, shard: '_Shard', now: float) -> None:
        """Bring the votes of a shard up to date."""
        view = self._current_view(now)
        shard.proxies = view.proxies
        advance_votes(shard.votes, view.proxies, view.evidence_until, now)
        shard.may_grant = now < view.evidence_until and bool(
            shard.votes.valid_until
        )

    def _current_view(self, now: float) -> '_View':
        if now - self._view.at >= VIEW_VALID_S:
            membership = self._membership
            membership.update(now)
            evidence = evidence_as_of(self._tables.primary_lease, now)
            self._view = _View(
                now,
                membership.voters(now),
                len(membership.sharers(now)) / self._granted_share,
                min(evidence + EVIDENCE_VALID_S, membership.own_counted_until),
            )
        return self._view

    def _filled_bucket(self, shard: '_Shard', limit: Workspace) -> RateBucket:
        bucket = shard.buckets.get(limit.name)
        if bucket is None:
            bucket = RateBucket(limit.burst, shard.votes.weight_s)
            shard.buckets[limit.name] = bucket
        fill_bucket(bucket, limit, shard.votes, self._capacity(shard, limit))
        return bucket

    def _capacity(self, shard: '_Shard', limit: Workspace) -> float:
        return bucket_capacity(limit, vote_weight(shard.votes, shard.proxies))

    def _credit(
        self, shard: '_Shard', limit: Workspace, sender: str, tokens: int
    ) -> None:
        credit_tokens(
            self._filled_bucket(shard, limit),
            sender,
            tokens,
            self._capacity(shard, limit),
            shard.votes.advanced_at,
        )

    def _divide(
        self, shard: '_Shard', workspaces: Iterable[str], now: float
    ) -> dict[str, dict[str, int]]:
        """Grant what the buckets hold; return tokens by proxy and workspace."""
        grants: dict[str, dict[str, int]] = {}
        for workspace in list(workspaces):
            limit = rate_limit(self._tables, workspace)
            if not shard.may_grant or limit is None:
                continue
            wanted = shard.unmet(workspace)
            bucket = self._filled_bucket(shard, limit)
            available = int(bucket.level)
            if not wanted or available < 1:
                continue
            shares = divide_tokens(available, wanted, bucket.owed)
            for name, tokens in shares.items():
                if tokens > 0:
                    record_grant(bucket, name, tokens, now)
                    _count_granted(shard.reports[name], workspace, tokens)
                    grants.setdefault(name, {})[workspace] = tokens
        return grants

    def _send_grants(
        self, shard: '_Shard', grants: dict[str, dict[str, int]], now: float
    ) -> None:
        waits = self._waits(shard) if grants else {}
        for name, tokens in grants.items():
            report = shard.reports[name]
            self._send(
                name,
                report.address,
                RateGrant(
                    self._own.name,
                    self._own.incarnation,
                    report.shard,
                    now,
                    report.sent_at,
                    tokens,
                    waits=_waits_for(report, waits),
                ),
            )

    def _waits(self, shard: '_Shard') -> dict[str, float]:
        """Return the waits for tokens of the workspaces that lack them."""
        weight = vote_weight(shard.votes, shard.proxies)
        waiting = shard.waiting()
        limits = {
            workspace: rate_limit(self._tables, workspace)
            for workspace in waiting
        }
        return {
            workspace: token_wait(waiting[workspace], limit.rate_per_s, weight)
            for workspace, limit in limits.items()
            if limit is not None
        }

    def _schedule_division(self) -> None:
        waiting = any(shard.has_unmet for shard in self._shards.values())
        if waiting and self._dividing is None:
            self._dividing = self._clock.callLater(
                DIVISION_INTERVAL_S, self._divide_all
            )

    def _divide_all(self) -> None:
        self._dividing = None
        now = steady_seconds()
        for shard in list(self._shards.values()):
            self._advance(shard, now)
            shard.forget_reports(now - UNMET_VALID_S)
            workspaces = {
                workspace
                for report in shard.reports.values()
                for workspace, count in report.wanted.items()
                if count > 0
            }
            self._send_grants(shard, self._divide(shard, workspaces, now), now)
        self._schedule_division()


class _View(NamedTuple):
    """The proxies as this one sees them `at` a time.

    Votes may be divided among `proxies`; those of `voters` count. The
    number is higher if less than the limits may be granted. Until
    `evidence_until`, the peers cannot have both marked this proxy as silent
    and filled its share.
    """

    at: float
    voters: frozenset[str]
    proxies: float
    evidence_until: float


class _Shard:
    """The votes, buckets and unmet requests of one shard."""

    def __init__(self, now: float) -> None:
        """Start without votes."""
        self.votes = VoteCount(now)
        self.buckets: dict[str, RateBucket] = {}
        self.reports: dict[str, RateReport] = {}
        self.received_at: dict[str, float] = {}
        self.proxies = 1.0
        self.may_grant = False

    @property
    def has_unmet(self) -> bool:
        """Return whether a proxy still wants tokens."""
        return any(
            count > 0
            for report in self.reports.values()
            for count in report.wanted.values()
        )

    def waiting(self) -> collections.Counter[str]:
        """Return how many operations wait for a token, by workspace."""
        counts: collections.Counter[str] = collections.Counter()
        for report in self.reports.values():
            counts.update(report.waiting)
        return +counts

    def forget_reports(self, before: float) -> None:
        """Forget the requests of operations that no longer wait."""
        for sender, received_at in list(self.received_at.items()):
            if received_at < before:
                self.reports.pop(sender)
                self.received_at.pop(sender)

    def unmet(self, workspace: str) -> dict[str, int]:
        """Return how many tokens each proxy still wants."""
        return {
            name: report.wanted[workspace]
            for name, report in self.reports.items()
            if report.wanted.get(workspace, 0) > 0
        }


def _count_granted(report: RateReport, workspace: str, tokens: int) -> None:
    """Subtract granted tokens from what a report still wants."""
    report.wanted[workspace] -= tokens
    if workspace in report.waiting:
        report.waiting[workspace] = max(report.waiting[workspace] - tokens, 0)


def _waits_for(report: RateReport, waits: dict[str, float]) -> dict[str, float]:
    """Return the waits that the answer to a report names.

    A report without waiting operations comes every 0.2 s. The others may come
    every few milliseconds, so their answers are kept short.
    """
    if not report.waiting:
        return waits
    return {
        workspace: wait_s
        for workspace, wait_s in waits.items()
        if workspace in report.wanted
    }


def _is_older(report: RateReport, known: RateReport) -> bool:
    """Return whether a report was overtaken by a later one of its sender."""
    return (
        report.incarnation == known.incarnation
        and report.sent_at < known.sent_at
    )


def limited_workspaces(tables: FleetTables) -> dict[str, Workspace]:
    """Return the workspaces of the configuration in force with a rate."""
    configuration = tables.configuration
    if configuration is None or configuration.workspaces is None:
        return {}
    return {
        name: workspace
        for name, workspace in configuration.workspaces.items()
        if workspace.rate_per_s is not None
    }


def rate_limit(tables: FleetTables, name: str) -> Workspace | None:
    """Return a workspace of the configuration in force if it has a rate."""
    workspace = find_workspace(tables.configuration, name)
    if workspace is None or workspace.rate_per_s is None:
        return None
    return workspace
