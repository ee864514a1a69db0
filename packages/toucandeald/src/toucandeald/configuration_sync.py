"""Keeps the configuration in step with the platform's store and the peers.

In the table ``configuration`` the row ``stamp`` holds the version and the keys
that changed last; ``row/KIND/NAME`` holds each row, and ``change/ID`` the
version that a change was accepted at. One transaction writes all three.
"""

from collections.abc import Callable

import msgspec
from twisted.internet import defer, task

from toucandeal import engine
from toucandeal.changes import Change
from toucandeal.configuration import (
    Configuration,
    Row,
    poll_interval,
    rows_since,
)
from toucandeal.entities import Vm
from toucandeal.errors import ChangeConflict, StoreUnavailable
from toucandeal.membership import live_proxies
from toucandeald.logs import log_event
from toucandeald.peer_wire import AskRows, Rows
from toucandeald.platform_store import Condition, Platform, Write
from toucandeald.runtime import Runtime

__all__ = ['Accepted', 'ConfigurationSync']

TABLE = 'configuration'
RECENT = 256  # changes listed in the stamp
TRIES = 8
RETRY_S = 0.2
IN_FORCE_TIMEOUT_S = 2.0
IN_FORCE_CHECK_S = 0.02
VM_POLL_S = 1.0


class Stamp(msgspec.Struct):
    """The version, and which keys changed at which of the last versions."""

    version: int = 0
    recent: list[tuple[int, str]] = []


class Accepted(msgspec.Struct):
    """An accepted change and on how many live proxies it is in force."""

    version: int
    in_force: int
    proxies: int


class ConfigurationSync:
    """The configuration in force here, and its ways in."""

    def __init__(
        self,
        reactor,
        runtime: Runtime,
        platform: Platform,
        send: Callable,
        own_peer_address: str,
    ) -> None:
        """Start with an empty configuration."""
        self.held = Configuration(0, {})
        self._reactor = reactor
        self._runtime = runtime
        self._platform = platform
        self._send = send
        self._own_peer_address = own_peer_address
        self._store_failing = False

    @defer.inlineCallbacks
    def follow_store(self):
        """Read the stamp now, then again and again."""
        try:
            yield self.refresh()
            self._note_store(failing=False)
        except StoreUnavailable as error:
            self._note_store(failing=True, error=str(error))
        proxies = len(live_proxies(self._runtime.tables))
        self._reactor.callLater(poll_interval(proxies), self.follow_store)

    @defer.inlineCallbacks
    def follow_vms(self):
        """Read the list of VMs now, then again and again."""
        try:
            listed = yield self._platform.vms()
        except StoreUnavailable:
            listed = None
        if listed is not None:
            self._runtime.tables.vms = {
                vm.name: Vm(**msgspec.structs.asdict(vm)) for vm in listed
            }
        proxies = len(live_proxies(self._runtime.tables))
        pause_s = max(VM_POLL_S, poll_interval(proxies))
        self._reactor.callLater(pause_s, self.follow_vms)

    @defer.inlineCallbacks
    def refresh(self):
        """Fetch what has changed since the version held."""
        stamp = yield self._stamp()
        if stamp.version <= self.held.version:
            return
        recent = {
            key for version, key in stamp.recent if version > self.held.version
        }
        oldest = stamp.recent[0][0] if stamp.recent else stamp.version + 1
        if oldest <= self.held.version + 1 and self.held.version:
            rows = yield self._fetch(recent)
        else:
            rows = yield self._fetch_all()
        self._learn(stamp.version, rows)

    @defer.inlineCallbacks
    def _stamp(self):
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

    def _learn(self, version: int, rows: list[Row]) -> None:
        if version <= self.held.version:
            return
        self.held = self._runtime.enter(
            engine.configuration_learned, self.held, version, rows
        )
        self._runtime.tables.configuration_version = self.held.version
        self._runtime.tell_peers()

    def _note_store(self, *, failing: bool, error: str = '') -> None:
        if failing != self._store_failing:
            log_event('store', failing=failing, error=error)
        self._store_failing = failing

    def version_heard(self, peer_address: str, version: int) -> None:
        """Ask a peer for its rows if it has a later version."""
        if version > self.held.version:
            self._send(
                peer_address,
                AskRows(self._own_peer_address, self.held.version),
            )

    def rows_asked(self, message: AskRows) -> None:
        """Answer a peer that lacks rows."""
        self._send(
            message.peer_address,
            Rows(
                message.since,
                self.held.version,
                rows_since(self.held, message.since),
            ),
        )

    def rows_heard(self, message: Rows) -> None:
        """Take in a peer's rows, unless there is a gap before them."""
        if message.since <= self.held.version:
            self._learn(message.version, message.rows)

    @defer.inlineCallbacks
    def change(self, change: Change, change_id: str):
        """Write a change and wait until it is in force on the live proxies.

        Parameters
        ----------
        change : Change
        change_id : str
            Unique to the change; a repeat with the same one finds the first
            run's answer.

        Returns
        -------
        Deferred of Accepted

        Raises
        ------
        ChangeConflict
            The row changed since it was read; nothing was written.
        StoreUnavailable
            The store gave no answer in time.
        """
        version = None
        for _ in range(TRIES):
            try:
                version = yield self._try_change(change, change_id)
            except StoreUnavailable as error:
                problem = error.problem
                yield task.deferLater(self._reactor, RETRY_S, lambda: None)
            if version is not None:
                break
        else:
            raise StoreUnavailable(
                f'{problem}; whether the change was written is not known',
                f'Repeat the command with change id {change_id!r}',
            )
        try:
            # Other rows may have changed in between, so all are fetched.
            yield self.refresh()
        except StoreUnavailable as error:
            self._note_store(failing=True, error=str(error))
        accepted = yield self._wait_in_force(version)
        return accepted

    @defer.inlineCallbacks
    def _try_change(self, change: Change, change_id: str):
        known = yield self._platform.row(TABLE, f'change/{change_id}')
        if known is not None:
            return known.value['version']
        stored = yield self._platform.row(TABLE, f'row/{change.key}')
        held = msgspec.convert(stored.value, Row).version if stored else 0
        if held != change.read_version:
            raise ChangeConflict(
                f'{change.key} was changed by someone else at version {held}',
                'Look at it again with `show`, then repeat the command',
            )
        marker = yield self._platform.row(TABLE, 'stamp')
        stamp = msgspec.convert(marker.value, Stamp) if marker else Stamp()
        version = stamp.version + 1
        recent = [*stamp.recent, (version, change.key)][-RECENT:]
        done = yield self._platform.transact(
            [
                Condition(TABLE, 'stamp', marker.version if marker else 0),
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
        return version if done else None

    @defer.inlineCallbacks
    def _wait_in_force(self, version: int):
        waited = 0.0
        while waited < IN_FORCE_TIMEOUT_S:
            accepted = self._count_in_force(version)
            if accepted.in_force == accepted.proxies:
                break
            yield task.deferLater(self._reactor, IN_FORCE_CHECK_S, lambda: None)
            waited += IN_FORCE_CHECK_S
        return self._count_in_force(version)

    def _count_in_force(self, version: int) -> Accepted:
        peers = self._runtime.tables.peers.values()
        in_force = sum(peer.configuration_version >= version for peer in peers)
        own = self.held.version >= version
        return Accepted(version, in_force + own, len(peers) + 1)
