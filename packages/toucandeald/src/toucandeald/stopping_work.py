"""Ends the work with a primary once a promotion of its group has begun."""

from toucandeal.fleet import GroupRecord
from toucandeal.fleet_tables import FleetTables, group_state
from toucandeald.faults import run
from toucandeald.fleet_wire import Begun, Stopped
from toucandeald.gossip import Gossip
from toucandeald.logs import log_event
from toucandeald.server_pools import ServerPools
from toucandeald.session_service import SessionService
from toucandeald.shared_records import group_key
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['StoppingWork']

PLANNED_END_S = 0.5  # for open work, where the old primary is in order
CHECK_S = 0.01


class StoppingWork:
    """The groups that this proxy has stopped to work with."""

    def __init__(
        self,
        clock,
        tables: FleetTables,
        pools: ServerPools,
        service: SessionService,
        gossip: Gossip,
    ) -> None:
        """Take the parts that do the work."""
        self.stopped: dict[str, int] = {}
        self._clock = clock
        self._tables = tables
        self._pools = pools
        self._service = service
        self._gossip = gossip
        self._name = tables.name

    def record_changed(self, record: GroupRecord, ends_at: float) -> None:
        """Stop the work if the record says that a promotion has begun.

        Parameters
        ----------
        record : GroupRecord
        ends_at : float
            When the permission ends that held before the record was known.
        """
        if not record.changing:
            return
        if record.planned:
            group = group_state(self._tables, record.group)
            now = steady_seconds()
            group.work_until = min(now + PLANNED_END_S, ends_at)
            run(self._end_planned(record))
        else:
            self._pools.drop_links(record.primary)
            self._stopped_work(record)

    def asked(self, message: Begun) -> None:
        """Answer the proxy that waits for this one to stop."""
        group = message.record.key.removeprefix(group_key(''))
        version = self.stopped.get(group, 0)
        if version >= message.record.version:
            self._gossip.send(
                message.address, Stopped(self._name, group, version)
            )

    async def _end_planned(self, record: GroupRecord) -> None:
        group = group_state(self._tables, record.group)
        while (
            steady_seconds() < group.work_until
            and self._service.works_with_primary(record.group)
        ):
            await pause(self._clock, CHECK_S)
        if group.record.version == record.version:
            group.epoch += 1
            self._pools.drop_links(record.primary)
            self._stopped_work(record)

    def _stopped_work(self, record: GroupRecord) -> None:
        self.stopped[record.group] = record.version
        log_event('stopped work', group=record.group, version=record.version)
        holder = self._gossip.addresses().get(record.holder)
        if holder is not None:
            self._gossip.send(
                holder, Stopped(self._name, record.group, record.version)
            )
