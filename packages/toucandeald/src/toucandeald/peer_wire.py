"""The message types exchanged between proxies."""

import msgspec

from toucandeal.configuration import Row
from toucandeal.entities import GroupReport

__all__ = [
    'Forward',
    'ForwardReply',
    'Heartbeat',
    'Message',
    'Rows',
    'RowsRequest',
]


class Heartbeat(msgspec.Struct, tag='h'):
    """A heartbeat with the sender's view of the live proxies and groups."""

    sender: str
    incarnation: int
    peer_address: str
    caller_address: str
    failure_domain: str
    draining: bool
    live: list[str]
    configuration_version: int
    reports: list[GroupReport]


class RowsRequest(msgspec.Struct, tag='a'):
    """A request for the configuration rows newer than version `since`."""

    peer_address: str
    since: int


class Rows(msgspec.Struct, tag='r'):
    """The configuration rows newer than `since`, up to `version`."""

    since: int
    version: int
    rows: list[Row]


class Forward(msgspec.Struct, tag='f'):
    """A caller's request, sent to the proxy that hosts its group.

    Requests within a transaction go to the proxy that holds it.
    """

    identity: str
    peer_address: str
    path: str
    token: str
    body: bytes


class ForwardReply(msgspec.Struct, tag='g'):
    """The reply to a forwarded request."""

    identity: str
    status: int
    token: str
    body: bytes


Message = Heartbeat | RowsRequest | Rows | Forward | ForwardReply
