"""Whether a proxy may work with a group's primary now.

A promotion begins with a record in the platform's store, and the proxy that
carries it out waits until nobody else may work with the old primary. A proxy
may do so only while it surely knows that no promotion has begun. It knows that

- from the store: the records, as they stood when a read of them was sent,
  stay a valid basis for :data:`VALID_S`; or
- from its peers, while nobody reaches the store: each registered proxy stated
  within the same time that it has begun none.

A peer relays its own basis. The age of a relayed basis is counted from the
time at which this proxy had sent the message that the peer echoes, so no two
clocks are ever compared.
"""

import math
from typing import NamedTuple

from toucandeal.fleet import GroupRecord, ProxyRecord

__all__ = [
    'CONSENT_LIMIT_S',
    'PeerWord',
    'Permissions',
    'SAFETY_S',
    'VALID_S',
    'basis_ends_at',
    'counted_proxies',
    'lapsed_at',
    'may_begin_promotion',
    'may_work_with_primary',
    'record_statement',
    'record_store_read',
    'rest_on',
]

VALID_S = 1.0  # life of a basis; a promotion waits this long for the silent
SAFETY_S = 0.1  # for clock rates that differ and for timers that fire late
CONSENT_LIMIT_S = 10.0  # without the store; a newcomer waits as long


class Stated(NamedTuple):
    """When a peer surely had not begun a promotion, in this clock."""

    incarnation: int
    as_of: float


class Permissions:
    """What this proxy's permission rests on."""

    def __init__(self, name: str) -> None:
        """Start without any basis."""
        self.name = name
        self.store_as_of = -math.inf
        self.registered: dict[str, ProxyRecord] = {}
        self.registered_as_of = -math.inf
        self.statements: dict[str, Stated] = {}
        self.begun: set[str] = set()
        self.joined_at = math.inf


def record_store_read(
    permissions: Permissions, as_of: float, proxies: dict[str, ProxyRecord]
) -> None:
    """Take in a read of the shared records that was sent at `as_of`."""
    if as_of <= permissions.registered_as_of:
        return
    permissions.store_as_of = max(permissions.store_as_of, as_of)
    permissions.registered = proxies
    permissions.registered_as_of = as_of
    if permissions.name not in counted_proxies(permissions):
        permissions.joined_at = math.inf
    elif math.isinf(permissions.joined_at):
        permissions.joined_at = as_of


class PeerWord(NamedTuple):
    """What a peer's message says that this proxy may rest on.

    `basis_age` is the age of the peer's own basis, and `records_version` the
    version of the shared records that it knows.
    """

    name: str
    incarnation: int
    records_version: int
    basis_age: float
    states_none_begun: bool


def rest_on(
    permissions: Permissions,
    word: PeerWord,
    records_version: int,
    sent_after: float,
) -> None:
    """Take over what a peer rests on, and its own statement.

    Parameters
    ----------
    permissions : Permissions
    word : PeerWord
    records_version : int
        Of the records that this proxy knows. The word of a peer that knows
        newer ones says nothing about the older ones.
    sent_after : float
        A time, in this clock, after which the peer sent its message.
    """
    if word.records_version > records_version:
        return
    permissions.store_as_of = max(
        permissions.store_as_of, sent_after - word.basis_age
    )
    if word.states_none_begun:
        record_statement(permissions, word.name, word.incarnation, sent_after)


def record_statement(
    permissions: Permissions, name: str, incarnation: int, as_of: float
) -> None:
    """Take in a peer's statement that it has begun no promotion."""
    known = permissions.statements.get(name)
    if known is None or known.incarnation != incarnation:
        permissions.statements[name] = Stated(incarnation, as_of)
    elif as_of > known.as_of:
        permissions.statements[name] = known._replace(as_of=as_of)


def counted_proxies(permissions: Permissions) -> set[str]:
    """Return the registered proxies that are not marked as silent."""
    return {
        record.name
        for record in permissions.registered.values()
        if not record.silent
    }


def _consent_as_of(permissions: Permissions, now: float) -> float:
    """Return since when the oldest statement of a registered proxy holds."""
    if now - permissions.registered_as_of > CONSENT_LIMIT_S:
        return -math.inf
    counted = counted_proxies(permissions)
    if permissions.name not in counted:
        return -math.inf
    others = counted - {permissions.name}
    if not others:
        # Nobody would tell a proxy that rests on itself of a newcomer.
        return -math.inf
    return min(_stated_as_of(permissions, name) for name in others)


def _stated_as_of(permissions: Permissions, name: str) -> float:
    stated = permissions.statements.get(name)
    return -math.inf if stated is None else stated.as_of


def basis_ends_at(permissions: Permissions, now: float) -> float:
    """Return when the permission ends that holds now."""
    as_of = max(permissions.store_as_of, _consent_as_of(permissions, now))
    return as_of + VALID_S - SAFETY_S


def may_work_with_primary(
    permissions: Permissions, record: GroupRecord | None, now: float
) -> bool:
    """Return whether primary work of a group may be sent or acknowledged."""
    return (
        record is not None
        and not record.changing
        and record.group not in permissions.begun
        and now < basis_ends_at(permissions, now)
    )


def lapsed_at(began_at: float, last_stated_at: float) -> float:
    """Return when the permission of every silent proxy has surely ended.

    Parameters
    ----------
    began_at : float
        When the store had confirmed the beginning of the promotion.
    last_stated_at : float
        When this proxy last stated that it had begun none.

    Examples
    --------
    >>> lapsed_at(10.0, 9.5)
    11.0
    """
    return max(began_at, last_stated_at) + VALID_S


def may_begin_promotion(
    permissions: Permissions, counted_by: set[str], now: float
) -> bool:
    """Return whether every proxy that may rest on consent asks this one.

    A proxy that has joined only now is unknown to those that can't reach the
    store; they may go on without its consent until theirs has run out.
    """
    counted = counted_proxies(permissions)
    if permissions.name not in counted:
        return False
    others = counted - {permissions.name}
    return others <= counted_by or (
        now - permissions.joined_at > CONSENT_LIMIT_S + VALID_S
    )
