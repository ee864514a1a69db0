"""The records that all proxies share in the platform's store.

One table holds a row for each group's primary, a row for each proxy, a row for
the promotion lock, and a row with the era of the store for which a proxy has
confirmed the others.
"""

from typing import Annotated, NamedTuple

import msgspec

from toucandeal.fleet import GroupRecord, ProxyRecord
from toucandeal.store_versions import NO_VERSION, StoreVersion
from toucandeald.http_client import host_port
from toucandeald.shared_store import SharedRow
from toucandeald.stored_json import NaturalNumber, decode_stored

__all__ = [
    'ERA_KEY',
    'PROMOTION_LOCK_KEY',
    'PromotionLock',
    'RECORDS_TABLE',
    'Records',
    'decode_records',
    'encode_era',
    'encode_group',
    'encode_promotion_lock',
    'encode_proxy',
    'group_key',
    'newest_group_version',
    'proxy_key',
]

RECORDS_TABLE = 'toucandeal'
PROMOTION_LOCK_KEY = 'duty'
ERA_KEY = 'era'
_GROUP_PREFIX = 'group/'
_PROXY_PREFIX = 'proxy/'


class PromotionLock(NamedTuple):
    """The row of the promotion lock; `holder` is empty while it is free."""

    holder: str = ''
    nonce: str = ''
    version: StoreVersion = NO_VERSION


class _Lock(msgspec.Struct):
    holder: str = ''
    nonce: str = ''


class _Group(msgspec.Struct):
    primary: str
    term: NaturalNumber
    changing: bool = False
    planned: bool = False
    holder: str = ''
    attempts: NaturalNumber = 0  # earlier builds write none of these
    servers: dict[str, NaturalNumber] = {}
    awaited: tuple[str, ...] = ()


class _Proxy(msgspec.Struct):
    incarnation: NaturalNumber
    address: str
    silent: bool = False
    failure_domain: str = ''
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    protocol: NaturalNumber = 0  # builds before the first version write none


class _Era(msgspec.Struct):
    era: NaturalNumber


class Records(NamedTuple):
    """Decoded rows, and the keys of rows that can't be decoded.

    `confirmed_era` is the era of the store in which the records are valid.
    """

    groups: list[GroupRecord]
    proxies: dict[str, ProxyRecord]
    promotion_lock: PromotionLock
    unreadable: list[str]
    confirmed_era: int = 0


def group_key(group: str) -> str:
    """Return the key of a group's record."""
    return f'{_GROUP_PREFIX}{group}'


def proxy_key(name: str) -> str:
    """Return the key of a proxy's record."""
    return f'{_PROXY_PREFIX}{name}'


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
            record.attempts,
            dict(record.servers),
            record.awaited,
        )
    )


def encode_proxy(record: ProxyRecord) -> bytes:
    """Encode a proxy's record."""
    return msgspec.json.encode(
        _Proxy(
            record.incarnation,
            record.address,
            record.silent,
            record.failure_domain,
            record.link_mbps,
            record.protocol,
        )
    )


def encode_promotion_lock(holder: str, nonce: str) -> bytes:
    """Encode the row of the promotion lock."""
    return msgspec.json.encode({'holder': holder, 'nonce': nonce})


def encode_era(era: int) -> bytes:
    """Encode the row of the era for which the records are confirmed."""
    return msgspec.json.encode(_Era(era))


def decode_records(rows: list[SharedRow]) -> Records:
    """Decode the table's rows; list those that can't be as unreadable."""
    decoded = Records([], {}, PromotionLock(), [])
    for row in rows:
        try:
            decoded = _decode_into(decoded, row)
        except ValueError:
            decoded.unreadable.append(row.key)
    return decoded


def newest_group_version(decoded: Records) -> StoreVersion:
    """Return the highest version of a group's record.

    Examples
    --------
    >>> newest_group_version(decode_records([]))
    StoreVersion(era=0, number=0)
    """
    return max(
        (record.version for record in decoded.groups), default=NO_VERSION
    )


def _decode_into(decoded: Records, row: SharedRow) -> Records:
    if row.key.startswith(_GROUP_PREFIX):
        group = decode_stored(row.content, _Group)
        decoded.groups.append(
            GroupRecord(
                row.key.removeprefix(_GROUP_PREFIX),
                group.primary,
                group.term,
                group.changing,
                group.planned,
                group.holder,
                row.version,
                group.attempts,
                group.servers,
                group.awaited,
            )
        )
    elif row.key.startswith(_PROXY_PREFIX):
        name = row.key.removeprefix(_PROXY_PREFIX)
        proxy = decode_stored(row.content, _Proxy)
        host_port(proxy.address)
        decoded.proxies[name] = ProxyRecord(
            name,
            proxy.incarnation,
            proxy.address,
            proxy.silent,
            row.version,
            proxy.failure_domain,
            proxy.protocol,
            proxy.link_mbps,
        )
    elif row.key == PROMOTION_LOCK_KEY:
        lock = decode_stored(row.content, _Lock)
        return decoded._replace(
            promotion_lock=PromotionLock(lock.holder, lock.nonce, row.version)
        )
    elif row.key == ERA_KEY:
        era = decode_stored(row.content, _Era)
        return decoded._replace(confirmed_era=era.era)
    return decoded
