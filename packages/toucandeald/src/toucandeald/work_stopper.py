"""Stop work with a primary once a promotion of its group has begun."""

from toucandeal.acknowledged_writes import acknowledged_by
from toucandeal.fleet import GroupRecord
from toucandeal.fleet_tables import FleetTables, group_state
from toucandeal.store_versions import NO_VERSION, StoreVersion
from toucandeald.background_tasks import run_in_background
from toucandeald.fleet_wire import PromotionBegun, WorkStopped
from toucandeald.gossip import Gossip
from toucandeald.logs import log_event
from toucandeald.server_pools import ServerPools
from toucandeald.session_service import SessionService
from toucandeald.shared_records import group_key
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['WorkStopper']

PLANNED_STOP_TIMEOUT_S = 0.5  # for open work, if the old primary is healthy
CHECK_INTERVAL_S = 0.01


class WorkStopper:
    """Stops work with old primaries and confirms it to the lock holder.

    `stopped_versions` holds, by group, the version of the record for which the
    work was stopped.
    """

    def __init__(
        self,
        clock,
        tables: FleetTables,
        pools: ServerPools,
        service: SessionService,
        gossip: Gossip,
    ) -> None:
        """Initialize with the components whose work is stopped."""
        self.stopped_versions: dict[str, StoreVersion] = {}
        self._clock = clock
        self._tables = tables
        self._pools = pools
        self._service = service
        self._gossip = gossip
        self._name = tables.name

    def record_changed(
        self, record: GroupRecord, lease_expires_at: float
    ) -> None:
        """Stop work with the primary if the record marks a promotion as begun.

        Parameters
        ----------
        record : GroupRecord
        lease_expires_at : float
            When the lease expires that was in force before the record was
            known.
        """
        if not record.changing:
            return
        if record.planned:
            group = group_state(self._tables, record.group)
            now = steady_seconds()
            group.primary_work_until = min(
                now + PLANNED_STOP_TIMEOUT_S, lease_expires_at
            )
            run_in_background(self._end_planned(record))
        else:
            self._pools.drop_connections(record.primary)
            self._report_stopped(record)

    def confirm_stopped(self, message: PromotionBegun) -> None:
        """Confirm to the lock holder that this proxy has stopped, if it has."""
        group = message.record.key.removeprefix(group_key(''))
        version = self.stopped_versions.get(group, NO_VERSION)
        if version >= message.record.version:
            self._gossip.send(message.address, self._message(group, version))

    async def _end_planned(self, record: GroupRecord) -> None:
        group = group_state(self._tables, record.group)
        while (
            steady_seconds() < group.primary_work_until
            and self._service.has_work_at_primary(record.group)
        ):
            await pause(self._clock, CHECK_INTERVAL_S)
        if group.record.version == record.version:
            group.epoch += 1
            self._pools.drop_connections(record.primary)
            self._report_stopped(record)

    def _report_stopped(self, record: GroupRecord) -> None:
        self.stopped_versions[record.group] = record.version
        log_event('stopped work', group=record.group, version=record.version)
        holder = self._gossip.addresses().get(record.holder)
        if holder is not None:
            self._gossip.send(
                holder, self._message(record.group, record.version)
            )

    def _message(self, group: str, version: StoreVersion) -> WorkStopped:
        """Return the confirmation; nothing is acknowledged after it."""
        acknowledged = acknowledged_by(
            group_state(self._tables, group).acknowledged
        )
        return WorkStopped(
            self._name,
            group,
            version,
            acknowledged.own,
            acknowledged.earlier,
        )
