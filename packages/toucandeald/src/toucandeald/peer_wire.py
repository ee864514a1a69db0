"""The messages between proxies."""

import msgspec

from toucandeal.configuration import Row
from toucandeal.entities import GroupReport

__all__ = [
    'AskRows',
    'Forward',
    'Forwarded',
    'Heartbeat',
    'Message',
    'Rows',
]


class Heartbeat(msgspec.Struct, tag='h'):
    """A proxy is alive, and how it sees the others and the groups."""

    sender: str
    incarnation: int
    peer_address: str
    caller_address: str
    failure_domain: str
    draining: bool
    live: list[str]
    configuration_version: int
    reports: list[GroupReport]


class AskRows(msgspec.Struct, tag='a'):
    """A request for the configuration rows after a version."""

    peer_address: str
    since: int


class Rows(msgspec.Struct, tag='r'):
    """All configuration rows after `since`, up to `version`."""

    since: int
    version: int
    rows: list[Row]


class Forward(msgspec.Struct, tag='f'):
    """A caller's request, for the proxy that holds its transaction."""

    identity: str
    peer_address: str
    path: str
    token: str
    body: bytes


class Forwarded(msgspec.Struct, tag='g'):
    """The answer to a forwarded request."""

    identity: str
    status: int
    token: str
    body: bytes


Message = Heartbeat | AskRows | Rows | Forward | Forwarded
