"""The registrations of proxies in the shared records."""

from toucandeal.errors import StoreUnavailable
from toucandeal.fleet import ProxyRecord
from toucandeal.store_versions import StoreVersion
from toucandeald.logs import log_event
from toucandeald.shared_records import (
    RECORDS_TABLE,
    encode_proxy,
    proxy_key,
)
from toucandeald.shared_store import Committed, Precondition, Put

__all__ = ['ProxyRegistry']


class ProxyRegistry:
    """Writes the registration of this proxy, and marks those of others.

    Each call names the version of the row that it replaces: a call without an
    answer may be performed seconds later, and must not change the row of a
    later process.
    """

    def __init__(self, store, own: ProxyRecord) -> None:
        """Initialize with this proxy, as it registers itself."""
        self._store = store
        self._own = own

    async def register(self, version: StoreVersion) -> bool:
        """Register this proxy; return whether the store has accepted it.

        Parameters
        ----------
        version : StoreVersion
            Of the row of this name, `NO_VERSION` if there is none.
        """
        key = proxy_key(self._own.name)
        try:
            answer = await self._store.transact(
                [Precondition(RECORDS_TABLE, key, version)],
                [Put(RECORDS_TABLE, key, encode_proxy(self._own))],
            )
        except StoreUnavailable as error:
            log_event('registration failed', reason=str(error))
            return False
        if not isinstance(answer, Committed):
            log_event('registration failed', reason='the row has changed')
            return False
        log_event('registered', address=self._own.address)
        return True

    async def deregister(self, version: StoreVersion) -> None:
        """Remove this proxy's record if it still has a version."""
        key = proxy_key(self._own.name)
        try:
            await self._store.transact(
                [Precondition(RECORDS_TABLE, key, version)],
                [],
                [(RECORDS_TABLE, key)],
            )
        except StoreUnavailable as error:
            log_event('deregistration failed', reason=str(error))

    async def mark_silent(self, record: ProxyRecord) -> bool:
        """Mark a proxy as silent; return whether the store has answered."""
        key = proxy_key(record.name)
        marked = record._replace(silent=True)
        try:
            answer = await self._store.transact(
                [Precondition(RECORDS_TABLE, key, record.version)],
                [Put(RECORDS_TABLE, key, encode_proxy(marked))],
            )
        except StoreUnavailable as error:
            log_event('not marked silent', proxy=record.name, reason=str(error))
            return False
        if isinstance(answer, Committed):
            log_event('marked silent', proxy=record.name)
        return True

    async def remove(self, record: ProxyRecord) -> None:
        """Remove the record of a silent proxy."""
        key = proxy_key(record.name)
        try:
            await self._store.transact(
                [Precondition(RECORDS_TABLE, key, record.version)],
                [],
                [(RECORDS_TABLE, key)],
            )
        except StoreUnavailable as error:
            log_event(
                'silent proxy not removed', proxy=record.name, reason=str(error)
            )
