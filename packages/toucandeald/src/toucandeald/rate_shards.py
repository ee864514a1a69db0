"""The coordinators of the rates' shards, as this proxy sees them."""

import math

from toucandeal.fleet import ProxyRecord
from toucandeal.fleet_tables import FleetTables
from toucandeal.primary_lease import counted_proxies
from toucandeal.protocol_versions import known_links
from toucandeal.rate_limits import (
    VOTE_VALID_S,
    coordinator_order,
    shard_names,
    workspace_shard,
)
from toucandeald.logs import log_event
from toucandeald.rate_membership import PEER_LIVE_S, RateMembership
from toucandeald.rate_wire import RateGrant
from toucandeald.steady_clock import steady_seconds

__all__ = ['ShardView', 'RateShards', 'positive_counts']

COORDINATOR_SILENT_S = 0.4  # two reports without an answer
AVOIDED_S = 3.0  # by then its peers have marked a lost coordinator as silent


class ShardView:
    """The coordinator of one shard, as this proxy knows it.

    `unmet` is what the last report requested and grants have not brought.
    `voted_at` is the time of the last vote, which went to `voted_for`.
    `waits` are by workspace the time of the last grant that named its wait for
    tokens, and that wait.
    """

    def __init__(self, voted_at: float) -> None:
        """Start without a coordinator."""
        self.name = ''
        self.voted_for = ''
        self.voted_at = voted_at
        self.chosen_at = -math.inf
        self.reported_at = -math.inf
        self.answered_at = -math.inf
        self.unmet: dict[str, int] = {}
        self.waits: dict[str, tuple[float, float]] = {}
        self.echo: tuple[float, int] | None = None
        self.incarnation = 0

    def apply(self, grant: RateGrant, now: float) -> None:
        """Record a grant of the coordinator."""
        self.answered_at = now
        self.incarnation = grant.incarnation
        for workspace, wait_s in grant.waits.items():
            self.waits[workspace] = (now, wait_s)
        if grant.report_sent_at == self.reported_at:
            for workspace, tokens in grant.tokens.items():
                self.unmet[workspace] = self.unmet.get(workspace, 0) - tokens
            self.unmet = positive_counts(self.unmet)
        is_later = (
            self.echo is None
            or self.echo[1] != grant.incarnation
            or grant.sent_at > self.echo[0]
        )
        if grant.released:
            self.echo = None
            if self.voted_for == grant.sender:
                self.voted_at = -math.inf
        elif is_later:
            self.echo = (grant.sent_at, grant.incarnation)


class RateShards:
    """The shards by shard, and the rules of this proxy's votes."""

    def __init__(self, tables: FleetTables, membership: RateMembership) -> None:
        """Start without shards."""
        self.by_shard: dict[str, ShardView] = {}
        self._tables = tables
        self._membership = membership
        self._avoided: dict[str, float] = {}
        self._links_of: dict[str, ProxyRecord] | None = None
        self._links_mbps: dict[str, float] = {}
        # An earlier process of the same name may have voted until now.
        self._voted_at = steady_seconds()

    def shard_of(self, workspace: str) -> str:
        """Return the shard of a workspace, or '' before there are any."""
        return workspace_shard(workspace, list(self.by_shard) or [''])

    def update(self) -> None:
        """Divide the workspaces into shards by the number of proxies."""
        names = shard_names(len(counted_proxies(self._tables.primary_lease)))
        if names == list(self.by_shard):
            return
        voted_at = max(
            (shard_view.voted_at for shard_view in self.by_shard.values()),
            default=self._voted_at,
        )
        self.by_shard = {name: ShardView(voted_at) for name in names}

    def choose(self, shard: str, shard_view: ShardView, now: float) -> None:
        """Change the coordinator if another proxy comes first."""
        heard_at = max(shard_view.answered_at, shard_view.chosen_at)
        silent = now - heard_at > COORDINATOR_SILENT_S
        if shard_view.name and silent and shard_view.name != self._tables.name:
            self.avoid(shard_view.name, now)
        order = coordinator_order(shard, self._candidates(now), self._links())
        chosen = next(iter(order), '')
        if chosen != shard_view.name:
            log_event('rate coordinator', shard=shard, name=chosen)
            shard_view.name = chosen
            shard_view.chosen_at = now
            shard_view.reported_at = -math.inf
            shard_view.echo = None
            shard_view.waits = {}

    def avoid(self, name: str, now: float) -> None:
        """Choose other coordinators than `name` for a while."""
        self._avoided[name] = now + AVOIDED_S

    def may_vote(self, shard_view: ShardView, now: float) -> bool:
        """Return whether no other vote of this proxy can be valid.

        Proxies that do not count this one would divide the limit among fewer.
        """
        changed = shard_view.voted_for != shard_view.name
        if changed and now - shard_view.voted_at < VOTE_VALID_S:
            return False
        return self._membership.is_established

    def _links(self) -> dict[str, float]:
        """Return the bandwidths by proxy, computed once for each list."""
        registered = self._tables.primary_lease.registered
        if registered is not self._links_of:
            self._links_of = registered
            self._links_mbps = known_links(registered.values())
        return self._links_mbps

    def _candidates(self, now: float) -> list[str]:
        """Return the live proxies that may coordinate.

        One that a peer has just marked as silent, and that is heard, remains.
        """
        tables = self._tables
        membership = self._membership
        candidates = []
        counted = counted_proxies(tables.primary_lease)
        for name in counted | membership.voters(now):
            peer = tables.peers.get(name)
            if name == tables.name:
                live = (
                    not tables.draining and now < membership.own_counted_until
                )
            else:
                live = (
                    peer is not None
                    and not peer.draining
                    and now - peer.heard_at < PEER_LIVE_S
                    and now >= self._avoided.get(name, -math.inf)
                )
            if live:
                candidates.append(name)
        return candidates


def positive_counts(counts: dict[str, int]) -> dict[str, int]:
    """Return the counts above 0."""
    return {name: count for name, count in counts.items() if count > 0}
