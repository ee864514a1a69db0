"""The records that all proxies share in the platform's store.

One table holds a row for each group's primary, one for each proxy, and one
for the right to carry out promotions.
"""

from typing import NamedTuple

import msgspec

from toucandeal.fleet import GroupRecord, ProxyRecord
from toucandeald.shared_store import SharedRow

__all__ = [
    'DUTY_KEY',
    'Duty',
    'RECORDS_TABLE',
    'Records',
    'decode_records',
    'encode_duty',
    'encode_group',
    'encode_proxy',
    'group_key',
    'proxy_key',
]

RECORDS_TABLE = 'toucandeal'
DUTY_KEY = 'duty'
_GROUP = 'group/'
_PROXY = 'proxy/'


class Duty(msgspec.Struct, frozen=True):
    """Who may carry out promotions; nobody where `holder` is empty."""

    holder: str = ''
    nonce: str = ''
    version: int = 0


class _Group(msgspec.Struct):
    primary: str
    term: int
    changing: bool = False
    planned: bool = False
    holder: str = ''


class _Proxy(msgspec.Struct):
    incarnation: int
    address: str
    silent: bool = False


class Records(NamedTuple):
    """The decoded rows, and the keys that can't be decoded."""

    groups: list[GroupRecord]
    proxies: dict[str, ProxyRecord]
    duty: Duty
    unreadable: list[str]


def group_key(group: str) -> str:
    """Return the key of a group's record."""
    return f'{_GROUP}{group}'


def proxy_key(name: str) -> str:
    """Return the key of a proxy's record."""
    return f'{_PROXY}{name}'


def encode_group(record: GroupRecord) -> bytes:
    """Encode a group's record.

    Examples
    --------
    >>> encode_group(GroupRecord('g', 'a', 3))[:24]
    b'{"primary":"a","term":3,'
    """
    return msgspec.json.encode(
        _Group(
            record.primary,
            record.term,
            record.changing,
            record.planned,
            record.holder,
        )
    )


def encode_proxy(record: ProxyRecord) -> bytes:
    """Encode a proxy's record."""
    return msgspec.json.encode(
        _Proxy(record.incarnation, record.address, record.silent)
    )


def encode_duty(holder: str, nonce: str) -> bytes:
    """Encode who may carry out promotions."""
    return msgspec.json.encode({'holder': holder, 'nonce': nonce})


def decode_records(rows: list[SharedRow]) -> Records:
    """Decode the table's rows; one that can't be decoded is left out."""
    decoded = Records([], {}, Duty(), [])
    duty = decoded.duty
    for row in rows:
        try:
            duty = _decode_into(decoded, row) or duty
        except msgspec.MsgspecError:
            decoded.unreadable.append(row.key)
    return decoded._replace(duty=duty)


def _decode_into(decoded: Records, row: SharedRow) -> Duty | None:
    if row.key.startswith(_GROUP):
        group = msgspec.json.decode(row.content, type=_Group)
        decoded.groups.append(
            GroupRecord(
                row.key.removeprefix(_GROUP),
                group.primary,
                group.term,
                group.changing,
                group.planned,
                group.holder,
                row.version,
            )
        )
    elif row.key.startswith(_PROXY):
        name = row.key.removeprefix(_PROXY)
        proxy = msgspec.json.decode(row.content, type=_Proxy)
        decoded.proxies[name] = ProxyRecord(
            name, proxy.incarnation, proxy.address, proxy.silent, row.version
        )
    elif row.key == DUTY_KEY:
        return msgspec.structs.replace(
            msgspec.json.decode(row.content, type=Duty), version=row.version
        )
    return None
