"""Synchronizes the configuration with the platform's store and the peers.

In the table ``configuration`` the row ``stamp`` holds the version and the most
recently changed keys, ``row/KIND/NAME`` holds a configuration row, and
``change/ID`` holds the version at which a change was accepted. A single
transaction writes all three.
"""

from collections.abc import Callable

import msgspec
from twisted.internet import defer, task
from twisted.python.failure import Failure

from toucandeal import engine
from toucandeal.configuration import (
    Configuration,
    Row,
    poll_interval,
    rows_since,
)
from toucandeal.configuration_changes import Change
from toucandeal.entities import Vm
from toucandeal.errors import ChangeConflict, StoreUnavailable
from toucandeal.membership import live_proxies
from toucandeald.background_tasks import log_failure
from toucandeald.logs import log_event
from toucandeald.peer_wire import Rows, RowsRequest
from toucandeald.platform_client import Condition, PlatformClient, Write
from toucandeald.runtime import Runtime

__all__ = ['Accepted', 'ConfigurationSync']

TABLE = 'configuration'
RECENT_CHANGES = 256  # number of changes listed in the stamp
MAX_ATTEMPTS = 8
RETRY_DELAY_S = 0.2
IN_FORCE_TIMEOUT_S = 2.0
IN_FORCE_POLL_S = 0.02
MIN_VM_POLL_S = 1.0


class Stamp(msgspec.Struct):
    """The current version, and the key changed by each recent version."""

    version: int = 0
    recent: list[tuple[int, str]] = []


class Accepted(msgspec.Struct):
    """An accepted change, and on how many live proxies it is in force."""

    version: int
    in_force: int
    proxies: int


class ConfigurationSync:
    """Holds the configuration in force at this proxy, and updates it."""

    def __init__(
        self,
        reactor,
        runtime: Runtime,
        platform: PlatformClient,
        send: Callable,
        own_peer_address: str,
    ) -> None:
        """Start with an empty configuration."""
        self.current = Configuration(0, {})
        self._reactor = reactor
        self._runtime = runtime
        self._platform = platform
        self._send = send
        self._own_peer_address = own_peer_address
        self._store_failing = False

    @defer.inlineCallbacks
    def poll_store(self):
        """Refresh from the store now, then at each poll interval."""
        try:
            yield self.refresh()
            self._record_store_state(failing=False)
        except StoreUnavailable as error:
            self._record_store_state(failing=True, error=str(error))
        except Exception:  # noqa: BLE001 - no row may end the polls
            log_failure(Failure())
        proxies = len(live_proxies(self._runtime.tables))
        self._reactor.callLater(poll_interval(proxies), self.poll_store)

    @defer.inlineCallbacks
    def poll_vms(self):
        """Read the list of VMs now, then at each poll interval."""
        try:
            listed_vms = yield self._platform.vms()
        except StoreUnavailable:
            listed_vms = None
        except Exception:  # noqa: BLE001 - no row may end the polls
            log_failure(Failure())
            listed_vms = None
        if listed_vms is not None:
            self._runtime.tables.vms = {
                vm.name: Vm(**msgspec.structs.asdict(vm)) for vm in listed_vms
            }
        proxies = len(live_proxies(self._runtime.tables))
        interval_s = max(MIN_VM_POLL_S, poll_interval(proxies))
        self._reactor.callLater(interval_s, self.poll_vms)

    @defer.inlineCallbacks
    def refresh(self):
        """Fetch and apply the rows that changed since the current version."""
        stamp = yield self._read_stamp()
        if stamp.version <= self.current.version:
            return
        recent = {
            key
            for version, key in stamp.recent
            if version > self.current.version
        }
        oldest = stamp.recent[0][0] if stamp.recent else stamp.version + 1
        if oldest <= self.current.version + 1 and self.current.version:
            rows = yield self._fetch(recent)
        else:
            rows = yield self._fetch_all()
        self._apply(stamp.version, rows)

    @defer.inlineCallbacks
    def _read_stamp(self):
        stored = yield self._platform.row(TABLE, 'stamp')
        if stored is None:
            return Stamp()
        return msgspec.convert(stored.value, Stamp)

    @defer.inlineCallbacks
    def _fetch(self, keys: set[str]):
        rows = []
        for key in sorted(keys):
            stored = yield self._platform.row(TABLE, f'row/{key}')
            rows.append(msgspec.convert(stored.value, Row))
        return rows

    @defer.inlineCallbacks
    def _fetch_all(self):
        stored = yield self._platform.rows(TABLE)
        return [
            msgspec.convert(row.value, Row)
            for key, row in stored.items()
            if key.startswith('row/')
        ]

    def _apply(self, version: int, rows: list[Row]) -> None:
        if version <= self.current.version:
            return
        self.current = self._runtime.process(
            engine.configuration_received, self.current, version, rows
        )
        self._runtime.tables.configuration_version = self.current.version
        self._runtime.send_heartbeats()

    def _record_store_state(self, *, failing: bool, error: str = '') -> None:
        if failing != self._store_failing:
            log_event('store', failing=failing, error=error)
        self._store_failing = failing

    def receive_version(self, peer_address: str, version: int) -> None:
        """Request rows from a peer that reports a later version."""
        if version > self.current.version:
            self._send(
                peer_address,
                RowsRequest(self._own_peer_address, self.current.version),
            )

    def send_rows(self, message: RowsRequest) -> None:
        """Send an outdated peer the rows that it requested."""
        self._send(
            message.peer_address,
            Rows(
                message.since,
                self.current.version,
                rows_since(self.current, message.since),
            ),
        )

    def receive_rows(self, message: Rows) -> None:
        """Apply a peer's rows, unless earlier versions are missing here."""
        if message.since <= self.current.version:
            self._apply(message.version, message.rows)

    @defer.inlineCallbacks
    def change(self, change: Change, change_id: str):
        """Write a change and wait until it is in force on the live proxies.

        Parameters
        ----------
        change : Change
        change_id : str
            Unique to the change. A retry with the same id returns the version
            that the first attempt was accepted at.

        Returns
        -------
        Deferred of Accepted

        Raises
        ------
        ChangeConflict
            The row changed since it was read; nothing was written.
        StoreUnavailable
            The store did not respond in time.
        """
        version = None
        problem = ''
        for _ in range(MAX_ATTEMPTS):
            try:
                version = yield self._try_change(change, change_id)
            except StoreUnavailable as error:
                problem = error.problem
                yield task.deferLater(
                    self._reactor, RETRY_DELAY_S, lambda: None
                )
            if version is not None:
                break
        else:
            if not problem:
                raise ChangeConflict(
                    'Other changes were accepted first, '
                    f'{MAX_ATTEMPTS} times in a row; nothing was written',
                    'Retry the command when fewer changes are made',
                )
            raise StoreUnavailable(
                f'{problem}; it is unknown whether the change was written',
                f'Retry the command with change id {change_id!r}',
            )
        try:
            # Rows may have changed since the last refresh, so all changes
            # since then are fetched, not only this one.
            yield self.refresh()
        except StoreUnavailable as error:
            self._record_store_state(failing=True, error=str(error))
        accepted = yield self._wait_in_force(version)
        return accepted

    @defer.inlineCallbacks
    def _try_change(self, change: Change, change_id: str):
        accepted_change = yield self._platform.row(TABLE, f'change/{change_id}')
        if accepted_change is not None:
            return accepted_change.value['version']
        stored = yield self._platform.row(TABLE, f'row/{change.key}')
        row_version = (
            msgspec.convert(stored.value, Row).version if stored else 0
        )
        if row_version != change.read_version:
            raise ChangeConflict(
                f'{change.key} changed concurrently at version {row_version}',
                'Read the new value with `show`, then retry the command',
            )
        stored_stamp = yield self._platform.row(TABLE, 'stamp')
        stamp = (
            msgspec.convert(stored_stamp.value, Stamp)
            if stored_stamp
            else Stamp()
        )
        version = stamp.version + 1
        recent = [*stamp.recent, (version, change.key)][-RECENT_CHANGES:]
        written = yield self._platform.transact(
            [
                Condition(
                    TABLE, 'stamp', stored_stamp.version if stored_stamp else 0
                ),
                Condition(
                    TABLE, f'row/{change.key}', stored.version if stored else 0
                ),
                Condition(TABLE, f'change/{change_id}', 0),
            ],
            [
                Write(TABLE, 'stamp', Stamp(version, recent)),
                Write(
                    TABLE,
                    f'row/{change.key}',
                    Row(change.key, version, change.value),
                ),
                Write(TABLE, f'change/{change_id}', {'version': version}),
            ],
        )
        return version if written else None

    @defer.inlineCallbacks
    def _wait_in_force(self, version: int):
        waited = 0.0
        while waited < IN_FORCE_TIMEOUT_S:
            accepted = self._count_in_force(version)
            if accepted.in_force == accepted.proxies:
                break
            yield task.deferLater(self._reactor, IN_FORCE_POLL_S, lambda: None)
            waited += IN_FORCE_POLL_S
        return self._count_in_force(version)

    def _count_in_force(self, version: int) -> Accepted:
        peers = self._runtime.tables.peers.values()
        in_force = sum(peer.configuration_version >= version for peer in peers)
        own_in_force = self.current.version >= version
        return Accepted(version, in_force + own_in_force, len(peers) + 1)
