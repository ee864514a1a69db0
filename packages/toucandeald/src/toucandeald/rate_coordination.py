"""Rates of workspaces across all proxies: this proxy's tokens and votes."""

import collections
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from twisted.internet import defer

from toucandeal.fleet import ProxyRecord
from toucandeal.fleet_tables import FleetTables
from toucandeal.primary_lease import counted_proxies
from toucandeal.rate_balances import (
    MAX_RETRY_DELAY_S,
    TOKEN_VALID_S,
    Batch,
    RateBalance,
    add_tokens,
    expected_use,
    expire_surplus,
    expire_tokens,
    give_back_token,
    held_tokens,
    may_join_wait,
    observe_use,
    retry_delay,
    take_returned,
    take_token,
)
from toucandeal.rate_limits import token_wait
from toucandeal.workspaces import Workspace
from toucandeald.logs import log_event
from toucandeald.rate_coordinator import (
    RateCoordinator,
    limited_workspaces,
    rate_limit,
)
from toucandeald.rate_membership import RateMembership
from toucandeald.rate_shards import RateShards, ShardView, positive_counts
from toucandeald.rate_wire import RateGrant, RateReport
from toucandeald.steady_clock import steady_seconds

__all__ = ['RateCoordination']

# A vote is valid for 0.5 s from the grant that it echoes, which must include
# two intervals, the round trip and the delay of a timer.
REPORT_INTERVAL_S = 0.2
URGENT_INTERVAL_S = 0.005
# Between two reports while the bucket is empty: the coordinator sends tokens
# as they come, without further reports. Also while a report is not answered:
# reports of 24 proxies every 5 ms fill a coordinator's link of 5 Mbit/s, and it
# is avoided as its heartbeats come late.
SCARCE_INTERVAL_S = 0.05
MAX_WAIT_S = 0.25
# Of what a grant says about the operations that wait; more than the interval of
# reports, and the delay of a timer.
WAITS_VALID_S = 0.25
# Tokens are divided by how many operations wait at each proxy, not in the order
# of their arrival, so some wait for twice the time in which all get theirs.
SPREAD_FACTOR = 2
SURPLUS_FACTOR = 2  # of the tokens needed; more are returned unused
MAX_TICK_GAP_S = 0.2  # ticks come every 0.05 s

Send = Callable[[str, RateReport | RateGrant], None]
CountToken = Callable[[str, bool], None]


class RateCoordination:
    """The tokens that this proxy has, and its votes for coordinators."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        own: ProxyRecord,
        send: Send,
        *,
        granted_share: float = 1.0,
    ) -> None:
        """Initialize with `send`, which takes an address and a message.

        Only the `granted_share` of the limits is granted.
        """
        self.on_decision: CountToken = _ignore
        self._clock = clock
        self._tables = tables
        self._own = own
        self._send = send
        self._membership = RateMembership(tables)
        self._coordinator = RateCoordinator(
            clock,
            tables,
            own,
            self._membership,
            self._send_to,
            granted_share,
        )
        self._balances: dict[str, RateBalance] = {}
        self._waiting: dict[str, collections.deque[_Waiter]] = {}
        self._shards = RateShards(tables, self._membership)
        self._ticked_at = steady_seconds()
        self._urgent_timer = None

    def tick(self, now: float) -> None:
        """Report to the coordinators, and fill this proxy's own buckets."""
        limits = limited_workspaces(self._tables)
        for name in self._balances.keys() - limits.keys():
            self._balances.pop(name)
            self._release_waiting(name)
        if not limits:
            return
        self._membership.update(now)
        self._coordinator.tick(now)
        self._shards.update()
        if now - self._ticked_at > MAX_TICK_GAP_S:
            # This proxy was paused, so answers may still be in its queue.
            for resumed in self._shards.by_shard.values():
                resumed.chosen_at = now
        self._ticked_at = now
        for shard, shard_view in self._shards.by_shard.items():
            self._shards.choose(shard, shard_view, now)
            if now - shard_view.reported_at >= REPORT_INTERVAL_S:
                self._report(shard, shard_view, self._balances)

    def received(self, message: RateReport | RateGrant) -> None:
        """Handle a message of a coordinator or of a proxy that reports."""
        match message:
            case RateReport():
                self._coordinator.received(message)
            case RateGrant():
                self._apply_grant(message)

    async def acquire(self, workspace: str, ends_at: float) -> float | None:
        """Spend a token, waiting for one until `ends_at` at most.

        Returns
        -------
        float or None
            None if the operation may run, or the delay after which to retry.
        """
        limit = rate_limit(self._tables, workspace)
        if limit is None:
            return None
        now = steady_seconds()
        balance = self._balances.setdefault(workspace, RateBalance(now))
        balance.uses += 1
        balance.used_at = now
        queued = self._waiting.get(workspace)
        granted = not queued and take_token(balance, now)
        useful_until = min(ends_at, now + MAX_WAIT_S)
        if not granted and (
            now + self._known_wait(limit) <= useful_until
            or may_join_wait(
                balance,
                limit,
                len(counted_proxies(self._tables.primary_lease)) or 1,
                now,
            )
        ):
            granted = await self._wait(workspace, useful_until)
        self.on_decision(workspace, granted)
        if granted:
            return None
        return self._refuse(limit, balance)

    def _known_wait(self, limit: Workspace) -> float:
        """Return the time in which an operation that waits gets a token.

        It is known only while the coordinator reports that others wait, since
        its bucket may hold tokens otherwise.
        """
        shard = self._shards.shard_of(limit.name)
        shard_view = self._shards.by_shard.get(shard)
        if shard_view is None or limit.name not in shard_view.waits:
            return 0
        noted_at, wait_s = shard_view.waits[limit.name]
        age_s = steady_seconds() - noted_at
        if age_s > WAITS_VALID_S:
            return 0
        own_waiting = len(self._waiting.get(limit.name, ()))
        return max(
            SPREAD_FACTOR * (wait_s - age_s),
            token_wait(own_waiting, limit.rate_per_s, 1),
        )

    def give_back(self, workspace: str) -> None:
        """Return the token of an operation that did not run at a server."""
        balance = self._balances.get(workspace)
        if balance is not None:
            give_back_token(balance, steady_seconds())
            self._serve_waiting(workspace)

    def _refuse(self, limit: Workspace, balance: RateBalance) -> float:
        now = steady_seconds()
        missing = len(self._waiting.get(limit.name, ())) + 1
        shard_view = self._shards.by_shard.get(
            self._shards.shard_of(limit.name)
        )
        log_event(
            'over the rate limit',
            workspace=limit.name,
            limit=limit.rate_per_s,
            wanted=missing + held_tokens(balance),
            grant_age_s=shard_view and round(now - shard_view.answered_at, 3),
        )
        return max(
            retry_delay(missing, limit.rate_per_s),
            min(self._known_wait(limit), MAX_RETRY_DELAY_S),
        )

    def _wait(self, workspace: str, ends_at: float) -> defer.Deferred:
        """Return a Deferred of whether a token has come by `ends_at`."""
        now = steady_seconds()
        waiter = _Waiter(defer.Deferred(), ends_at)
        waiting = self._waiting.setdefault(workspace, collections.deque())
        waiting.append(waiter)

        def expire() -> None:
            if waiter in waiting:
                waiting.remove(waiter)
                self._withdraw(workspace)
                waiter.outcome.callback(False)

        timer = self._clock.callLater(max(ends_at - now, 0), expire)

        def cancel(granted: bool) -> bool:
            if timer.active():
                timer.cancel()
            return granted

        waiter.outcome.addCallback(cancel)
        self._report_urgently(now)
        return waiter.outcome

    def _withdraw(self, workspace: str) -> None:
        """Report at once that no operation of a workspace waits any more.

        Otherwise tokens that others wait for would be granted to this proxy.
        """
        shard = self._shards.shard_of(workspace)
        shard_view = self._shards.by_shard.get(shard)
        if shard_view is None or self._waiting[workspace]:
            return
        # Those at other proxies have given up at about the same time.
        shard_view.waits.pop(workspace, None)
        if workspace in shard_view.unmet:
            waiting = self._waiting_by_shard().get(shard, [])
            self._report(shard, shard_view, [*waiting, workspace])

    def _release_waiting(self, workspace: str) -> None:
        """Let operations run that wait for a limit that is gone."""
        waiting = self._waiting.pop(workspace, ())
        while waiting:
            waiting.popleft().outcome.callback(True)

    def _serve_waiting(self, workspace: str) -> None:
        waiting = self._waiting.get(workspace, ())
        balance = self._balances[workspace]
        while waiting and take_token(balance, steady_seconds()):
            waiting.popleft().outcome.callback(True)

    def _report_urgently(self, now: float) -> None:
        """Report at once, or when the next report may be sent."""
        if self._urgent_timer is not None:
            return
        due_at = min(
            (
                self._due_at(self._shards.by_shard[shard], workspaces)
                for shard, workspaces in self._waiting_by_shard().items()
            ),
            default=math.inf,
        )
        if due_at <= now:
            self._report_waiting()
        elif due_at < math.inf:
            self._urgent_timer = self._clock.callLater(
                due_at - now, self._report_waiting
            )

    def _report_waiting(self) -> None:
        """Send the reports that are due for operations that wait."""
        self._urgent_timer = None
        now = steady_seconds()
        for shard, workspaces in self._waiting_by_shard().items():
            shard_view = self._shards.by_shard[shard]
            if self._due_at(shard_view, workspaces) <= now:
                self._report(shard, shard_view, workspaces)
        if self._urgent_timer is None:
            self._report_urgently(now)

    def _waiting_by_shard(self) -> dict[str, list[str]]:
        """Return the workspaces with waiting operations, by shard."""
        by_shard: dict[str, list[str]] = {}
        for workspace, waiting in self._waiting.items():
            shard = self._shards.shard_of(workspace)
            if waiting and shard in self._shards.by_shard:
                by_shard.setdefault(shard, []).append(workspace)
        return by_shard

    def _due_at(self, shard_view: ShardView, workspaces: list[str]) -> float:
        """Return when to report for workspaces with waiting operations."""
        if not shard_view.name:
            return math.inf
        is_answered = shard_view.answered_at >= shard_view.reported_at
        if not is_answered or shard_view.unmet.keys() >= set(workspaces):
            return shard_view.reported_at + SCARCE_INTERVAL_S
        return shard_view.reported_at + URGENT_INTERVAL_S

    def _report(
        self, shard: str, shard_view: ShardView, workspaces: Iterable[str]
    ) -> None:
        """Send a report, which is a vote if this proxy may vote now."""
        if not shard_view.name:
            return
        now = steady_seconds()
        echo, incarnation = 0.0, 0
        if shard_view.echo is not None and self._shards.may_vote(
            shard_view, now
        ):
            echo, incarnation = shard_view.echo
            shard_view.voted_at = now
            shard_view.voted_for = shard_view.name
        shard_view.reported_at = now
        wanted = {}
        returned = {}
        for name in workspaces:
            if self._shards.shard_of(name) == shard:
                balance = self._balances[name]
                wanted[name] = self._wanted(name, balance, now)
                returned[name] = take_returned(
                    balance, (shard_view.name, shard_view.incarnation)
                )
        shard_view.unmet = positive_counts(wanted)
        self._send_to(
            shard_view.name,
            self._address(shard_view.name),
            RateReport(
                self._own.name,
                self._own.incarnation,
                self._own.address,
                shard,
                echo,
                incarnation,
                now,
                positive_counts(wanted),
                positive_counts(returned),
                {
                    name: len(self._waiting[name])
                    for name in wanted
                    if self._waiting.get(name)
                },
            ),
        )

    def _wanted(self, workspace: str, balance: RateBalance, now: float) -> int:
        """Return how many tokens to request for a workspace."""
        expire_tokens(balance, now)
        observe_use(balance, now)
        limit = rate_limit(self._tables, workspace)
        if limit is None:
            return 0
        proxies = len(counted_proxies(self._tables.primary_lease))
        needed = len(self._waiting.get(workspace, ())) + expected_use(
            balance, limit, proxies, now
        )
        expire_surplus(balance, SURPLUS_FACTOR * needed)
        return max(needed - held_tokens(balance), 0)

    def _apply_grant(self, grant: RateGrant) -> None:
        now = steady_seconds()
        shard_view = self._shards.by_shard.get(grant.shard)
        if shard_view is not None and shard_view.name == grant.sender:
            shard_view.apply(grant, now)
            if grant.released:
                self._shards.avoid(grant.sender, now)
        grantor = (grant.sender, grant.incarnation)
        expires_at = grant.report_sent_at + TOKEN_VALID_S
        for workspace, tokens in grant.tokens.items():
            balance = self._balances.get(workspace)
            if balance is not None:
                add_tokens(balance, Batch(expires_at, tokens, grantor))
                self._serve_waiting(workspace)
        self._report_urgently(now)

    def _address(self, name: str) -> str:
        peer = self._tables.peers.get(name)
        if peer is not None:
            return peer.address
        return self._tables.primary_lease.registered[name].address

    def _send_to(
        self, name: str, address: str, message: RateReport | RateGrant
    ) -> None:
        if name == self._own.name:
            self.received(message)
        else:
            self._send(address, message)


class _Waiter(NamedTuple):
    outcome: defer.Deferred
    ends_at: float


def _ignore(workspace: str, granted: bool) -> None:
    """Ignore a decision."""
