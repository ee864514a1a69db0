"""Carry out promotions step by step.

The consistency guarantees depend on the order of the steps:

1. Record that a promotion has begun.
2. Wait until every proxy has confirmed that it stopped work with the old
   primary, or until the leases of those that have not confirmed have expired.
3. Choose the replica that has received the most.
4. Order its promotion.
5. Record the new primary.
"""

import functools
import math

from toucandeal.acknowledged_writes import (
    Acknowledged,
    FleetAcknowledged,
    acknowledged_by,
    combine_acknowledged,
)
from toucandeal.errors import (
    PromotionAbandoned,
    StoreUnavailable,
    ToucandealError,
)
from toucandeal.fleet import GroupRecord, Server
from toucandeal.fleet_tables import FleetTables, group_state
from toucandeal.primary_lease import leases_expired_at, may_begin_promotion
from toucandeal.promotion import (
    LOCK_DURATION_S,
    RESUME_MARGIN_S,
    Leader,
    Trigger,
    is_only_leader,
    is_unverified,
    leads_since,
    promotion_delay_s,
    promotion_trigger,
    starts_of,
)
from toucandeal.store_versions import NO_VERSION
from toucandeald.awaited_servers import AwaitedServers
from toucandeald.background_tasks import run_in_background
from toucandeald.fleet_wire import PromotionBegun, RowCopy, WorkStopped
from toucandeald.gossip import Gossip
from toucandeald.logs import log_event
from toucandeald.primary_watch import PrimaryWatch
from toucandeald.promotion_choice import (
    PromotionChoice,
    servers_claiming_primary,
)
from toucandeald.promotion_lock import (
    RETRY_DELAY_S,
    HeldLock,
    PromotionLockManager,
)
from toucandeald.promotion_orders import PromotionOrders
from toucandeald.server_reports import ServerReports
from toucandeald.shared_records import (
    RECORDS_TABLE,
    encode_group,
    group_key,
)
from toucandeald.shared_state import SharedState
from toucandeald.shared_store import Precondition, Put
from toucandeald.steady_clock import pause, steady_seconds
from toucandeald.work_stopper import WorkStopper

__all__ = ['Promoter']

STOP_REQUEST_INTERVAL_S = 0.1  # between requests to the peers to stop work
POLL_INTERVAL_S = 0.005  # between checks of the peers' confirmations
# For an order to take effect; then the promotion is repeated, or given up.
EFFECT_TIMEOUT_S = 3.0
EFFECT_POLL_INTERVAL_S = 0.15
ABANDONED_RETRY_DELAY_S = 0.3  # before an abandoned promotion is retried


class Promoter:
    """Carries out promotions, one at a time."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        state: SharedState,
        store,
        gossip: Gossip,
        watch: PrimaryWatch,
        work_stopper: WorkStopper,
        reports: ServerReports,
    ) -> None:
        """Initialize with the components that the steps use."""
        self._locks = PromotionLockManager(clock, tables, state, store)
        self._orders = PromotionOrders(clock, tables.name, store, self._locks)
        self._choice = PromotionChoice(clock, tables, watch, reports)
        self._awaited = AwaitedServers(
            clock, tables, reports, self._choice.may_have_been_replaced
        )
        self._work_stopper = work_stopper
        self._clock = clock
        self._tables = tables
        self._state = state
        self._store = store
        self._gossip = gossip
        self._watch = watch
        self._reports = reports
        self._running = False
        self._triggered_since: dict[str, float] = {}
        # By group and proxy, the confirmation of the newest record.
        self._stopped: dict[str, dict[str, WorkStopped]] = {}
        # By group, when all earlier orders have taken effect, or never will.
        self._effect_until: dict[str, float] = {}
        # By group, the server that leads then if it has not failed; empty if
        # that is unknown.
        self._leads_then: dict[str, str] = {}
        # By group, a leader that was found, with the term before the order by
        # which this proxy has made it lead again.
        self._ordered_leaders: dict[str, Leader] = {}
        # By group, the record that the last promotion found.
        self._found_records: dict[str, GroupRecord] = {}

    def tick(self, now: float) -> None:
        """Start the first promotion that is due, if none is running."""
        state = self._state
        if self._running or not (
            state.store_reachable and state.records_confirmed
        ):
            return
        for name in self._group_names():
            trigger = self._trigger(name, now)
            if trigger is None or not self._awaited.may_try(name):
                self._triggered_since.pop(name, None)
                continue
            since = self._triggered_since.setdefault(name, now)
            if now - since >= promotion_delay_s(self._tables, name, now):
                self._triggered_since.pop(name)
                self._start(name, trigger)
                return

    def peer_stopped(self, message: WorkStopped) -> None:
        """Record that a peer confirms it stopped work with the primary."""
        stopped = self._stopped.setdefault(message.group, {})
        known = stopped.get(message.sender)
        if known is None or message.version >= known.version:
            stopped[message.sender] = message

    def _group_names(self) -> list[str]:
        configuration = self._tables.configuration
        return [] if configuration is None else sorted(configuration.groups)

    def _trigger(self, name: str, now: float) -> Trigger | None:
        record = group_state(self._tables, name).record
        if self._tables.draining:
            return None
        if record is None:
            if self._state.has_read_records and servers_claiming_primary(
                self._tables, name
            ):
                return Trigger('no primary is recorded', planned=False)
            return None
        if is_unverified(record):
            return Trigger('the store was restored from a copy', planned=False)
        if record.changing and record.holder == self._tables.name:
            return Trigger('a promotion was left unfinished', record.planned)
        if record.changing:
            age = now - self._state.record_seen_at.get(name, now)
            lock_age = now - self._state.lock_seen_at
            if min(age, lock_age) > LOCK_DURATION_S + RESUME_MARGIN_S:
                return Trigger(
                    'a promotion was left unfinished', record.planned
                )
            return None
        if self._watch.has_stepped_down(record):
            return Trigger('the primary has stepped down', planned=False)
        return promotion_trigger(
            self._tables,
            name,
            now,
            missing_is_gone=self._state.server_list_is_complete(now),
        )

    def _start(self, name: str, trigger: Trigger) -> None:
        self._running = True
        log_event(
            'promotion',
            group=name,
            reason=trigger.reason,
            planned=trigger.planned,
            step='wanted',
        )
        run_in_background(self._carry_out(name, trigger), self._ended)

    def _ended(self) -> None:
        self._running = False

    async def _carry_out(self, name: str, trigger: Trigger) -> None:
        try:
            if group_state(self._tables, name).record is None:
                await self._record_first_primary(name)
            else:
                await self._promote(name, trigger)
        except StoreUnavailable as error:
            log_event(
                'promotion', group=name, step='store lost', reason=str(error)
            )
            await pause(self._clock, RETRY_DELAY_S)
        except PromotionAbandoned as error:
            log_event(
                'promotion', group=name, step='abandoned', reason=str(error)
            )
            await pause(self._clock, ABANDONED_RETRY_DELAY_S)

    async def _record_first_primary(self, name: str) -> None:
        """Record the primary of a group that has no record."""
        claims = servers_claiming_primary(self._tables, name)
        if len(claims) != 1:
            reports = await self._reports.gather(claims)
            claims = [
                server
                for server in claims
                if server.name in reports
                and reports[server.name].is_primary
                and reports[server.name].term
                == max(report.term for report in reports.values())
            ]
        if len(claims) != 1:
            raise PromotionAbandoned(
                'no single server is the primary of the group'
            )
        record = GroupRecord(
            name, claims[0].name, servers=starts_of(self._tables, name)
        )
        await self._store.transact(
            [Precondition(RECORDS_TABLE, group_key(name), NO_VERSION)],
            [Put(RECORDS_TABLE, group_key(name), encode_group(record))],
        )
        await self._state.read_records()

    async def _promote(self, name: str, trigger: Trigger) -> None:
        primary_lease = self._tables.primary_lease
        counted_by = {
            peer.name
            for peer in self._tables.peers.values()
            if peer.counts_this_proxy
            and peer.store_era == primary_lease.era
            # An earlier heartbeat counts an earlier registration.
            and peer.heard_at >= primary_lease.joined_at
        }
        now = steady_seconds()
        if not may_begin_promotion(primary_lease, counted_by, now):
            raise PromotionAbandoned(
                'not all proxies count this proxy as registered'
            )
        primary_lease.promoting_groups.add(name)
        try:
            held_lock = await self._begin(name, trigger)
            await self._wait_for_peers(held_lock)
            await self._choose_and_order(name, held_lock, trigger)
        except ToucandealError:
            # The promotion is not over while an order may take effect.
            await self._orders.settle()
            raise
        finally:
            primary_lease.promoting_groups.discard(name)

    async def _begin(self, name: str, trigger: Trigger) -> HeldLock:
        """Acquire the lock and record that the promotion has begun."""
        await self._locks.read()
        record = group_state(self._tables, name).record
        if record is None or self._trigger(name, steady_seconds()) is None:
            raise PromotionAbandoned('the group no longer needs a promotion')
        self._found_records[name] = record
        self._note_earlier_orders(record)
        return await self._locks.acquire(
            record._replace(
                changing=True,
                planned=trigger.planned,
                holder=self._tables.name,
                attempts=self._attempts(record),
                awaited=(),
            )
        )

    def _attempts(self, found: GroupRecord) -> int:
        """Return the attempts of a promotion with the one that begins now.

        They are unknown if a server may lead that is not recorded.
        """
        if found.changing:
            return found.attempts + 1 if found.attempts else 0
        return 0 if self._choice.may_have_been_replaced(found) else 1

    def _note_earlier_orders(self, found: GroupRecord) -> None:
        """Note until when an order of an unfinished promotion takes effect.

        Until then the old primary must not be recorded again. The time of own
        attempts counts from the first of them.
        """
        name = found.group
        if not found.changing or is_unverified(found):
            self._effect_until[name] = -math.inf
            self._leads_then[name] = found.primary
            self._ordered_leaders.pop(name, None)
        elif (
            found.holder != self._tables.name or name not in self._effect_until
        ):
            self._effect_until[name] = steady_seconds() + EFFECT_TIMEOUT_S
            self._leads_then[name] = ''
            self._ordered_leaders.pop(name, None)

    async def _wait_for_peers(self, held_lock: HeldLock) -> None:
        """Wait until no proxy works with the old primary."""
        record = held_lock.record
        name = record.group
        leases_expire_at = leases_expired_at(
            steady_seconds(), self._gossip.none_begun_sent_at
        )
        row = RowCopy(group_key(name), encode_group(record), record.version)
        request = PromotionBegun(
            self._tables.name, self._gossip.own_address, row
        )
        # The request brings one record; peers renew their leases from this
        # proxy only if they have all records that it has.
        self._gossip.send_records()
        requested_at = 0.0
        missing = self._proxies_not_stopped(record)
        while missing and steady_seconds() < leases_expire_at:
            if steady_seconds() - requested_at >= STOP_REQUEST_INTERVAL_S:
                requested_at = steady_seconds()
                self._gossip.send_to(missing, request)
            await pause(self._clock, POLL_INTERVAL_S)
            missing = self._proxies_not_stopped(record)
        log_event(
            'promotion',
            group=name,
            step='peers stopped',
            silent=sorted(missing),
        )

    def _proxies_not_stopped(self, record: GroupRecord) -> set[str]:
        others = set(self._tables.primary_lease.registered)
        stopped = set(self._confirmations(record))
        own = self._tables.name
        if (
            self._work_stopper.stopped_versions.get(record.group, NO_VERSION)
            >= record.version
        ):
            stopped.add(own)
        return (others | {own}) - stopped

    async def _choose_and_order(
        self, name: str, held_lock: HeldLock, trigger: Trigger
    ) -> None:
        record = held_lock.record
        found = self._found_records[name]
        leader = await self._choice.current_leader(found)
        if leader is not None and (
            leader.name != record.primary or is_unverified(found)
        ):
            log_event(
                'promotion',
                group=name,
                step='found',
                server=leader.name,
                term=leader.term,
                silent=sorted(leader.silent),
            )
            if name in self._ordered_leaders or not is_only_leader(
                found, leader
            ):
                await self._lead_again(held_lock, leader)
            await self._complete_promotion(held_lock, leader.name, leader.term)
            return
        choice = await self._choice.choose_replica(
            record,
            found,
            functools.partial(self._acknowledged, record),
            planned=trigger.planned,
        )
        chosen = choice.server
        if chosen is None and steady_seconds() < self._effect_until[name]:
            raise PromotionAbandoned('an earlier order may still take effect')
        if chosen is None:
            await self._restore_primary(held_lock, leader, choice.awaited)
            raise PromotionAbandoned('no replica can take over')
        held_lock = await self._order(held_lock, chosen)
        term = await self._wait_for_effect(held_lock, chosen, choice.term)
        await self._complete_promotion(held_lock, chosen.name, term)

    def _confirmations(self, record: GroupRecord) -> dict[str, WorkStopped]:
        """Return the peers' confirmations that work has stopped."""
        return {
            name: message
            for name, message in self._stopped.get(record.group, {}).items()
            if message.version >= record.version
        }

    def _acknowledged(self, record: GroupRecord) -> FleetAcknowledged:
        """Return what all proxies have acknowledged, as far as is known."""
        writes = group_state(self._tables, record.group).acknowledged
        confirmations = self._confirmations(record)
        own = self._tables.name
        answers: dict[str, Acknowledged | None] = {
            name: None for name in self._tables.primary_lease.registered
        }
        answers.update(
            (
                name,
                Acknowledged(
                    message.acknowledged, message.acknowledged_earlier
                ),
            )
            for name, message in confirmations.items()
        )
        answers[own] = acknowledged_by(writes)
        return combine_acknowledged(answers.values(), writes.departed)

    async def _order(self, held_lock: HeldLock, chosen: Server) -> HeldLock:
        """Order the promotion of a server, and return the lock."""
        name = held_lock.record.group
        self._leads_then[name] = ''
        self._ordered_leaders.pop(name, None)
        try:
            held_lock = await self._orders.send(held_lock, chosen)
        finally:
            self._effect_until[name] = steady_seconds() + EFFECT_TIMEOUT_S
        self._leads_then[name] = chosen.name
        return held_lock

    async def _lead_again(self, held_lock: HeldLock, leader: Leader) -> None:
        """Return once no silent server can lead instead of a leader.

        It is promoted first. If another server leads, it leads a later term
        then; otherwise the order changes nothing. A later attempt records it.

        Raises
        ------
        PromotionAbandoned
            The order has been sent, or may still take effect.
        """
        name = held_lock.record.group
        ordered = self._ordered_leaders.get(name)
        if ordered is None or ordered.name != leader.name:
            server = self._tables.servers.get(leader.name)
            if server is None:
                raise PromotionAbandoned(f'{leader.name} is gone')
            await self._order(held_lock, server)
            self._ordered_leaders[name] = leader
            raise PromotionAbandoned(f'{leader.name} is to lead again')
        if (
            leader.term <= ordered.term
            and steady_seconds() < self._effect_until[name]
        ):
            raise PromotionAbandoned('an order may still take effect')

    async def _restore_primary(
        self,
        held_lock: HeldLock,
        leader: Leader | None,
        awaited: tuple[str, ...],
    ) -> None:
        """Record the old primary again, as no replica can take over.

        The record has the servers whose reports are missing, so that no proxy
        tries again before one of them answers.

        If an earlier order may have made a server lead that gives no answer,
        the old primary is promoted first. It is recorded by a later attempt,
        with the term that it reports then.
        """
        record = held_lock.record
        name = record.group
        primary = self._tables.servers.get(record.primary)
        if self._leads_then[name] != record.primary:
            if primary is None:
                self._awaited.begin(record, awaited)
                raise PromotionAbandoned('another server may lead')
            try:
                await self._order(held_lock, primary)
            except PromotionAbandoned:
                self._awaited.begin(record, awaited)
                raise
            raise PromotionAbandoned('the old primary is to lead again')
        if self._found_records[name].changing and leader is None:
            self._leads_then[name] = ''
            raise PromotionAbandoned('no server reports that it leads')
        term = record.term if leader is None else leader.term
        await self._complete_promotion(held_lock, record.primary, term, awaited)

    async def _wait_for_effect(
        self, held_lock: HeldLock, chosen: Server, term: int
    ) -> int:
        """Wait until the chosen server leads, and return its term.

        `term` is the highest one that was known before.
        """
        until = steady_seconds() + EFFECT_TIMEOUT_S
        while steady_seconds() < until:
            report = (await self._reports.gather([chosen])).get(chosen.name)
            if leads_since(report, term):
                return report.term
            await pause(self._clock, EFFECT_POLL_INTERVAL_S)
        raise PromotionAbandoned(
            f'{chosen.name} is not primary after the promotion order'
        )

    async def _complete_promotion(
        self,
        held_lock: HeldLock,
        primary: str,
        term: int,
        awaited: tuple[str, ...] = (),
    ) -> None:
        """Record the group's primary and send the record to the peers."""
        await self._orders.settle()
        begun = held_lock.record
        record = GroupRecord(
            begun.group,
            primary,
            term,
            servers=begun.servers
            if primary == begun.primary
            else starts_of(self._tables, begun.group),
            awaited=awaited,
        )
        await self._locks.complete_promotion(held_lock, record)
        self._watch.stepped_down.pop(held_lock.record.group, None)
        self._gossip.send_records()
