"""How the records become valid again after the store has been restored.

The restored records may lack the beginning or the end of a promotion, so they
prove nothing until a proxy has confirmed them for the new era of the store.
There are two ways:

- A proxy that remembers the records writes them again, once every proxy that
  counted for the leases confirms that it knows of the new era and has begun no
  promotion that this proxy has not heard of, and once the promotion lock of
  before has ended: its holder may be silent and still send an order. Leases
  that peers grant each other continue meanwhile, so callers notice nothing.
- Otherwise, once every promotion of before has ended, a proxy marks all groups
  as changing. The servers then report which of them leads each group.
"""

import enum
import math

from toucandeal.fleet import GroupRecord, ProxyRecord
from toucandeal.primary_lease import (
    PEER_LEASE_LIMIT_S,
    PrimaryLease,
    counted_proxies,
)
from toucandeal.promotion import LOCK_DURATION_S

__all__ = [
    'ERA_SETTLE_S',
    'RecoveryStep',
    'all_members_confirm',
    'recovery_step',
    'unverified_record',
]

# An order that a lock holder sends in its last moment may arrive this late.
ORDER_SETTLE_S = 2.0
# From the first sight of a new era until all earlier promotions have ended.
ERA_SETTLE_S = LOCK_DURATION_S + ORDER_SETTLE_S


class RecoveryStep(enum.Enum):
    """What a proxy may do about records that are not confirmed."""

    WAIT = 'wait'
    CONFIRM = 'confirm'
    MARK_CHANGING = 'mark changing'


def recovery_step(
    lease: PrimaryLease,
    own: ProxyRecord,
    now: float,
    *,
    nothing_recorded: bool = False,
    lock_ends_at: float = -math.inf,
) -> RecoveryStep:
    """Return the next step towards valid records in the store's new era.

    Parameters
    ----------
    lease : PrimaryLease
    own : ProxyRecord
        This proxy, as it registers itself.
    now : float
        Seconds.
    nothing_recorded : bool
        Whether the whole system starts for the first time, without records.
    lock_ends_at : float
        When the promotion lock that this proxy remembers has surely ended, in
        seconds.
    """
    if own.name not in counted_proxies(lease):
        return RecoveryStep.WAIT
    if now < lock_ends_at:
        return RecoveryStep.WAIT
    if nothing_recorded or all_members_confirm(lease, own):
        return RecoveryStep.CONFIRM
    if now - lease.era_began_at >= ERA_SETTLE_S:
        return RecoveryStep.MARK_CHANGING
    return RecoveryStep.WAIT


def all_members_confirm(lease: PrimaryLease, own: ProxyRecord) -> bool:
    """Return whether no promotion of an earlier era can still take effect.

    The members are the proxies that counted when the era began. A proxy that
    was not among them, or whose list of them is too old, cannot know whether
    it has heard of every promotion.
    """
    own_member = lease.members.get(own.name)
    if own_member is None or own_member.silent:
        return False
    list_age_s = lease.era_began_at - lease.members_as_of
    if (
        own_member.incarnation != own.incarnation
        or list_age_s > PEER_LEASE_LIMIT_S
    ):
        return False
    if (
        lease.fleet_grant is not None
        and lease.fleet_grant.basis is lease.members
    ):
        # The start of the era discards it, so it was made within the era.
        return True
    return all(
        _confirms(lease, member)
        for member in lease.members.values()
        if member.name != own.name and not member.silent
    )


def _confirms(lease: PrimaryLease, member: ProxyRecord) -> bool:
    grant = lease.peer_grants.get(member.name)
    return (
        grant is not None
        and grant.incarnation == member.incarnation
        and grant.era == lease.era
    )


def unverified_record(record: GroupRecord) -> GroupRecord:
    """Return a record whose primary the servers still have to confirm.

    The record of an unfinished promotion keeps its holder, because an order
    may have been sent. Attempts since then may have been lost.
    """
    if record.changing:
        return record._replace(attempts=0)
    return record._replace(changing=True, planned=False, holder='')
