"""The messages between proxies that serve interactive sessions."""

import math

import msgspec

from toucandeal.departures import DepartureAges
from toucandeal.positions import NOTHING_SEEN, LogPosition
from toucandeal.relay_reports import RelaySummary
from toucandeal.relays import NO_MEMBERSHIP
from toucandeal.store_versions import StoreVersion
from toucandeald.lending_wire import (
    BorrowedAnswer,
    BorrowedRequest,
    LoanReply,
    LoanRequest,
    LoanReturn,
)
from toucandeald.rate_wire import RateGrant, RateReport

__all__ = [
    'CompressedConfiguration',
    'ConfigurationCopy',
    'FleetMessage',
    'Heartbeat',
    'LenderDemand',
    'PromotionBegun',
    'RecordsCopy',
    'RelayHeartbeat',
    'RowCopy',
    'ServersCopy',
    'WorkStopped',
]


class Heartbeat(msgspec.Struct, tag='b', array_like=True):
    """A periodic message from which the recipient may renew its lease.

    `sent_at` is in the sender's clock. `echo` is the `sent_at` of the last
    heartbeat received from the recipient's `echo_incarnation`, which arrived
    `echo_age` seconds ago.
    `lease_age` is the age of the sender's last read of the shared records, and
    `confirms_none_begun` its confirmation that it has begun no promotion. Both
    are only for a recipient with `counts_recipient` set, which the sender
    counts among the proxies. It has all records up to `records_version`.
    `demands` is how many connections the sender could use, by server, and
    `store_era` the newest era of the store that the sender knows of.
    `freshness_age` is the age of the sender's proof that its configuration is
    the newest one; infinity if it has none in that era. `crossing_shares` are
    the shares of reads, by group, that the sender sends to other failure
    domains, where above 0.
    """

    sender: str
    incarnation: int
    address: str
    sent_at: float
    echo: float
    echo_incarnation: int
    echo_age: float
    draining: bool
    lease_age: float
    counts_recipient: bool
    confirms_none_begun: bool
    records_version: StoreVersion
    configuration_version: int
    servers_version: StoreVersion
    primary_heard_ages: dict[str, float]
    demands: dict[str, float]
    failure_domain: str
    store_era: int = 0
    freshness_age: float = math.inf
    crossing_shares: dict[str, float] = {}


class RelayHeartbeat(Heartbeat, tag='h', array_like=True):
    """A heartbeat in a fleet with relays, or during the switch to them.

    `membership` identifies the counted proxies, `uses_relays` is whether the
    sender uses relays, and `attached` whether it uses the recipient as one.
    `primary_heard_ages` of a relay are the least among the proxies attached to
    it. Lenders report `demands` in `LenderDemand` instead.
    """

    membership: int = NO_MEMBERSHIP
    uses_relays: bool = False
    attached: bool = False
    summary: RelaySummary | None = None


class LenderDemand(msgspec.Struct, tag='d', array_like=True):
    """A lender's demand by server, for the other lenders of these servers."""

    sender: str
    incarnation: int
    demands: dict[str, float]


class RowCopy(msgspec.Struct, array_like=True):
    """A row of a shared table."""

    key: str
    content: bytes
    version: StoreVersion


class RecordsCopy(msgspec.Struct, tag='r', array_like=True):
    """All shared records up to the newest one, for a peer with older ones."""

    sender: str
    rows: list[RowCopy]


class ConfigurationCopy(msgspec.Struct, tag='c', array_like=True):
    """The configuration, for a peer that has an older one."""

    sender: str
    content: bytes


class CompressedConfiguration(msgspec.Struct, tag='z', array_like=True):
    """The configuration, compressed with zlib.

    It was the newest one at version `position` of the store.
    """

    sender: str
    content: bytes
    position: StoreVersion


class ServersCopy(msgspec.Struct, tag='s', array_like=True):
    """The list of servers at a version of the store.

    `departures` are of the servers that are leaving, by name. A sender of an
    earlier build sends none.
    """

    sender: str
    version: StoreVersion
    rows: list[RowCopy]
    departures: dict[str, DepartureAges] = {}


class PromotionBegun(msgspec.Struct, tag='p', array_like=True):
    """A promotion has begun; `record` is the group's new record."""

    sender: str
    address: str
    record: RowCopy


class WorkStopped(msgspec.Struct, tag='a', array_like=True):
    """The sender no longer works with the primary of `group`.

    `version` is that of the record with which the promotion began.
    `acknowledged` is the last position that the sender has acknowledged, and
    `acknowledged_earlier` a bound on those of its earlier processes; None if
    unknown, as it is for a sender of an earlier build.
    """

    sender: str
    group: str
    version: StoreVersion
    acknowledged: LogPosition = NOTHING_SEEN
    acknowledged_earlier: LogPosition | None = None


FleetMessage = (
    Heartbeat
    | RelayHeartbeat
    | LenderDemand
    | RecordsCopy
    | ConfigurationCopy
    | CompressedConfiguration
    | ServersCopy
    | PromotionBegun
    | WorkStopped
    | LoanRequest
    | LoanReply
    | BorrowedRequest
    | BorrowedAnswer
    | LoanReturn
    | RateReport
    | RateGrant
)
