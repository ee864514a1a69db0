"""Client of the platform: the table service and the list of VMs."""

from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import msgspec
from twisted.internet import defer

from toucandeal.errors import StoreUnavailable
from toucandeald.http_client import HttpConnection, HttpRequestError, connect

__all__ = ['Condition', 'PlatformClient', 'StoredRow', 'Write']

TIMEOUT_S = 1.0
_REMEDY = 'Nothing is known to have changed; try again once the store answers'


class Condition(msgspec.Struct):
    """A row's expected version; 0 for a row that does not exist."""

    table: str
    key: str
    version: int


class Write(msgspec.Struct):
    """A row's new value."""

    table: str
    key: str
    value: Any


class StoredRow(msgspec.Struct):
    """A stored row and its version."""

    version: int
    value: Any


class VmRow(msgspec.Struct):
    """A row of the list of VMs."""

    name: str
    failure_domain: str = ''
    peer_address: str = ''
    caller_address: str = ''
    leaving: bool = False


class PlatformClient:
    """A connection to the platform that sends one request at a time."""

    def __init__(self, reactor, address: str) -> None:
        """Initialize with the address of the platform."""
        self._reactor = reactor
        self._address = address
        self._connection: HttpConnection | None = None
        self._lock = defer.DeferredLock()

    @defer.inlineCallbacks
    def _request(self, method: str, path: str, body: Any = None):
        yield self._lock.acquire()
        try:
            if self._connection is None or not self._connection.usable:
                self._connection = yield connect(
                    self._reactor, self._address, TIMEOUT_S
                )
            encoded = b'' if body is None else msgspec.json.encode(body)
            reply = yield self._connection.request(
                method, path, encoded, TIMEOUT_S
            )
        except HttpRequestError as error:
            raise StoreUnavailable(
                f'The store did not respond ({error.reason})', _REMEDY
            ) from None
        finally:
            self._lock.release()
        if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise StoreUnavailable('The store returned a server error', _REMEDY)
        return reply

    @defer.inlineCallbacks
    def row(self, table: str, key: str):
        """Return a row, or None if it does not exist."""
        reply = yield self._request(
            'GET', f'/tables/{quote(table)}/{quote(key)}'
        )
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        return _decode(reply.body, StoredRow)

    @defer.inlineCallbacks
    def rows(self, table: str):
        """Return all rows of a table as a dict by key."""
        reply = yield self._request('GET', f'/tables/{quote(table)}')
        return _decode(reply.body, dict[str, StoredRow])

    @defer.inlineCallbacks
    def transact(self, conditions: list[Condition], writes: list[Write]):
        """Write all rows atomically if all conditions hold.

        The result is whether they did.

        Raises
        ------
        StoreUnavailable
            No reply arrived; the writes may have taken effect.
        """
        reply = yield self._request(
            'POST', '/transact', {'conditions': conditions, 'writes': writes}
        )
        return reply.status == HTTPStatus.OK

    @defer.inlineCallbacks
    def vms(self):
        """Return the platform's list of VMs."""
        reply = yield self._request('GET', '/vms')
        return _decode(reply.body, list[VmRow])


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreUnavailable(
            f'The reply of the store cannot be decoded: {error}', _REMEDY
        ) from None
