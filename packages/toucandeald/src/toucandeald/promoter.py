"""Carries out promotions, one step after another.

The order of the steps keeps the promises: first the record that a promotion
has begun, then the word of every proxy that it has stopped, or the end of its
permission, then the choice of the replica that has received the most, then
the order, and last the record of the new primary.
"""

from toucandeal.errors import PromotionAbandoned, StoreUnavailable
from toucandeal.fleet import GroupRecord, Server
from toucandeal.fleet_tables import FleetTables, group_state
from toucandeal.permissions import lapsed_at, may_begin_promotion
from toucandeal.promotion import (
    HOLDER_S,
    Trigger,
    holder_rank,
    promotion_trigger,
)
from toucandeald.faults import run
from toucandeald.fleet_wire import Begun, RowCopy, Stopped
from toucandeald.gossip import Gossip
from toucandeald.logs import log_event
from toucandeald.primary_watch import PrimaryWatch
from toucandeald.promotion_choice import PromotionChoice, servers_that_claim
from toucandeald.promotion_rights import (
    AGAIN_S,
    RESUME_S,
    PromotionRights,
    Right,
)
from toucandeald.server_reports import ServerReports
from toucandeald.shared_records import (
    RECORDS_TABLE,
    encode_group,
    group_key,
)
from toucandeald.shared_state import SharedState
from toucandeald.shared_store import (
    Precondition,
    PromoteAnswer,
    Put,
)
from toucandeald.steady_clock import pause, steady_seconds
from toucandeald.stopping_work import StoppingWork

__all__ = ['Promoter']

ASK_S = 0.1  # between requests that the peers stop
LOOK_S = 0.005  # between looks at the answers of the peers
ORDER_TIMEOUT_S = 1.5  # for an answer to the order to promote
ORDER_MARGIN_S = 0.3  # of the right to promote that must be left for an order
EFFECT_S = 3.0  # for an accepted order to take effect, then it is repeated
EFFECT_LOOK_S = 0.15
ABANDONED_S = 0.3  # before a promotion that can't go on is tried again


class Promoter:
    """The promotions that this proxy carries out, one at a time."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        state: SharedState,
        store,
        gossip: Gossip,
        watch: PrimaryWatch,
        stopping: StoppingWork,
        reports: ServerReports,
    ) -> None:
        """Take the parts that the steps need."""
        self._rights = PromotionRights(clock, tables, state, store)
        self._choice = PromotionChoice(clock, tables, watch, reports)
        self._stopping = stopping
        self._clock = clock
        self._tables = tables
        self._state = state
        self._store = store
        self._gossip = gossip
        self._watch = watch
        self._reports = reports
        self._running = False
        self._wanted_since: dict[str, float] = {}
        self._stopped: dict[str, dict[str, int]] = {}
        self._resumed: dict[str, bool] = {}

    def tick(self, now: float) -> None:
        """Start what is due."""
        if self._running or not self._state.store_answers:
            return
        for name in self._group_names():
            trigger = self._trigger(name, now)
            if trigger is None:
                self._wanted_since.pop(name, None)
                continue
            since = self._wanted_since.setdefault(name, now)
            if now - since >= holder_rank(self._tables, name, now):
                self._wanted_since.pop(name)
                self._start(name, trigger)
                return

    def peer_stopped(self, message: Stopped) -> None:
        """Take a peer's word that it works with the primary no longer."""
        versions = self._stopped.setdefault(message.group, {})
        versions[message.sender] = max(
            message.version, versions.get(message.sender, 0)
        )

    def _group_names(self) -> list[str]:
        configuration = self._tables.configuration
        return [] if configuration is None else sorted(configuration.groups)

    def _trigger(self, name: str, now: float) -> Trigger | None:
        record = group_state(self._tables, name).record
        if self._tables.draining:
            return None
        if record is None:
            if self._state.records_read and servers_that_claim(
                self._tables, name
            ):
                return Trigger('no primary is recorded', planned=False)
            return None
        if record.changing and record.holder == self._tables.name:
            return Trigger('a promotion was left unfinished', record.planned)
        if record.changing:
            age = now - self._state.record_seen_at.get(name, now)
            duty_age = now - self._state.duty_seen_at
            if min(age, duty_age) > HOLDER_S + RESUME_S:
                return Trigger(
                    'a promotion was left unfinished', record.planned
                )
            return None
        if self._watch.deposed.get(name) == record.primary:
            return Trigger('the primary has stepped down', planned=False)
        return promotion_trigger(
            self._tables,
            name,
            now,
            missing_is_gone=self._state.has_settled(now),
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
        run(self._carry_out(name, trigger), self._ended)

    def _ended(self) -> None:
        self._running = False

    async def _carry_out(self, name: str, trigger: Trigger) -> None:
        try:
            if group_state(self._tables, name).record is None:
                await self._record_first(name)
            else:
                await self._promote(name, trigger)
        except StoreUnavailable as error:
            log_event(
                'promotion', group=name, step='store lost', reason=str(error)
            )
            await pause(self._clock, AGAIN_S)
        except PromotionAbandoned as error:
            log_event(
                'promotion', group=name, step='abandoned', reason=str(error)
            )
            await pause(self._clock, ABANDONED_S)

    async def _record_first(self, name: str) -> None:
        """Record the server that leads a group which has no record."""
        claims = servers_that_claim(self._tables, name)
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
            raise PromotionAbandoned('no single server leads the group')
        record = GroupRecord(name, claims[0].name)
        await self._store.transact(
            [Precondition(RECORDS_TABLE, group_key(name), 0)],
            [Put(RECORDS_TABLE, group_key(name), encode_group(record))],
        )
        await self._state.read_records()

    async def _promote(self, name: str, trigger: Trigger) -> None:
        permissions = self._tables.permissions
        counted_by = {
            peer.name for peer in self._tables.peers.values() if peer.counts_me
        }
        now = steady_seconds()
        if not may_begin_promotion(permissions, counted_by, now):
            raise PromotionAbandoned('this proxy has joined only now')
        permissions.begun.add(name)
        try:
            right = await self._begin(name, trigger)
            await self._wait_for_peers(right)
            await self._choose_and_order(name, right, trigger)
        finally:
            permissions.begun.discard(name)

    async def _begin(self, name: str, trigger: Trigger) -> Right:
        """Record that the promotion has begun."""
        await self._rights.read()
        record = group_state(self._tables, name).record
        if record is None or self._trigger(name, steady_seconds()) is None:
            raise PromotionAbandoned('the group is in order again')
        self._resumed[name] = record.changing
        return await self._rights.take(
            record._replace(
                changing=True,
                planned=trigger.planned,
                holder=self._tables.name,
            )
        )

    async def _wait_for_peers(self, right: Right) -> None:
        """Wait until no other proxy works with the old primary."""
        record = right.record
        name = record.group
        lapse = lapsed_at(steady_seconds(), self._gossip.last_stated_at)
        row = RowCopy(group_key(name), encode_group(record), record.version)
        asking = Begun(self._tables.name, self._gossip.own_address, row)
        asked_at = 0.0
        missing = self._not_stopped(record)
        while missing and steady_seconds() < lapse:
            if steady_seconds() - asked_at >= ASK_S:
                asked_at = steady_seconds()
                self._gossip.send_to(missing, asking)
            await pause(self._clock, LOOK_S)
            missing = self._not_stopped(record)
        log_event(
            'promotion',
            group=name,
            step='peers stopped',
            silent=sorted(missing),
        )

    def _not_stopped(self, record: GroupRecord) -> set[str]:
        versions = self._stopped.get(record.group, {})
        others = set(self._tables.permissions.registered)
        stopped = {
            name
            for name, version in versions.items()
            if version >= record.version
        }
        own = self._tables.name
        if self._stopping.stopped.get(record.group, 0) >= record.version:
            stopped.add(own)
        return (others | {own}) - stopped

    async def _choose_and_order(
        self, name: str, right: Right, trigger: Trigger
    ) -> None:
        record = right.record
        leader = await self._choice.present_leader(
            record, resumed=self._resumed.get(name, False)
        )
        if leader is not None and leader[0] != record.primary:
            log_event('promotion', group=name, step='found', server=leader[0])
            await self._settle(right, leader[0], leader[1])
            return
        chosen, term = await self._choice.choose(
            record, planned=trigger.planned
        )
        if chosen is None:
            await self._settle(right, record.primary, record.term)
            raise PromotionAbandoned('no replica can take over')
        right = await self._order(right, chosen)
        term = await self._wait_for_effect(right, chosen, term)
        await self._settle(right, chosen.name, term)

    async def _order(self, right: Right, chosen: Server) -> Right:
        """Send the order until it is accepted."""
        record = right.record
        while True:
            if steady_seconds() > right.until - ORDER_MARGIN_S:
                right = await self._rights.renew(right)
            try:
                answer = await self._store.promote(
                    record.group,
                    chosen.name,
                    self._tables.name,
                    right.token,
                    ORDER_TIMEOUT_S,
                )
            except StoreUnavailable as error:
                log_event(
                    'promotion',
                    group=record.group,
                    step='no answer',
                    reason=str(error),
                )
                await pause(self._clock, AGAIN_S)
                continue
            log_event(
                'promotion',
                group=record.group,
                step='ordered',
                server=chosen.name,
                answer=answer.value,
            )
            if answer is PromoteAnswer.NOT_RUNNING:
                raise PromotionAbandoned(f'{chosen.name} does not run')
            return right

    async def _wait_for_effect(
        self, right: Right, chosen: Server, term: int
    ) -> int:
        """Wait until the chosen server leads, and return its term."""
        until = steady_seconds() + EFFECT_S
        while steady_seconds() < until:
            report = (await self._reports.gather([chosen])).get(chosen.name)
            if report is not None and report.is_primary:
                return report.term
            await pause(self._clock, EFFECT_LOOK_S)
        raise PromotionAbandoned(f'{chosen.name} does not lead after the order')

    async def _settle(self, right: Right, primary: str, term: int) -> None:
        """Record the primary that leads now, and tell the peers."""
        await self._rights.settle(right, primary, term)
        self._watch.deposed.pop(right.record.group, None)
        self._gossip.share_records()
