"""Rows of the tables: one ``NamedTuple`` for each kind of entity.

Times are monotonic seconds of the process that holds the row.
"""

import enum
import math
from typing import Any, NamedTuple

from toucandeal.positions import NOTHING_SEEN, LogPosition

__all__ = [
    'Caller',
    'Group',
    'GroupReport',
    'Operation',
    'Peer',
    'Phase',
    'Request',
    'RequestClass',
    'Target',
    'TargetStatus',
    'TargetView',
    'Transaction',
    'Vm',
]

FIRST_LATENCY_S = 0.005  # assumed for a target that has answered nothing yet


class Caller(NamedTuple):
    """A declared caller; rival callers share groups as equals."""

    name: str


class RequestClass(NamedTuple):
    """A declared kind of request.

    `freshness_s` is the greatest age of data that a read accepts. The weights
    are the operators' cost of one late, lost or doubled request.
    """

    name: str
    group: str
    is_write: bool
    freshness_s: float = 0.0
    idempotent: bool = False
    deadline_s: float = 1.0
    late_weight: float = 1.0
    lost_weight: float = 1.0
    doubled_weight: float = 1.0


class Target(NamedTuple):
    """One server of a group."""

    name: str
    group: str
    address: str
    failure_domain: str
    slots: int
    connection_limit: int
    leaving: bool = False


class Group(NamedTuple):
    """A replicated database group, with the names of its targets."""

    name: str
    targets: tuple[str, ...]


class TargetStatus(NamedTuple):
    """A target's own report.

    `term` is the highest term that it has been fenced with, `log_term` the
    term of its last log entry, `index` that entry's position, and
    `upstream_age_s` the time since its primary last reached it.
    """

    is_primary: bool
    term: int
    log_term: int
    index: int
    upstream_age_s: float

    @property
    def held(self) -> LogPosition:
        """Return the position that the target has applied."""
        return LogPosition(self.log_term, self.index)


class TargetView(NamedTuple):
    """What this proxy knows of a target, and its work there."""

    status: TargetStatus | None = None
    sent_at: float = -math.inf
    polled_at: float = -math.inf
    polling: bool = False
    poll_wanted: bool = False
    failing_since: float | None = None
    in_flight: int = 0
    pinned: int = 0
    latency_s: float = FIRST_LATENCY_S
    latency_spread_s: float = 0.0
    shunned_until: float = -math.inf
    connection_share: int = 0


class Vm(NamedTuple):
    """A row of the platform's list of VMs."""

    name: str
    failure_domain: str
    peer_address: str
    caller_address: str
    leaving: bool


class GroupReport(NamedTuple):
    """One proxy's view of a group's primary, as heartbeats carry it.

    `healthy_age_s` is the time since the primary last answered while at
    least one of its replicas was in contact with it.
    """

    group: str
    term: int
    primary: str
    primary_term: int
    healthy_age_s: float


class Peer(NamedTuple):
    """Another proxy, as its heartbeats describe it."""

    name: str
    incarnation: int
    peer_address: str
    caller_address: str
    failure_domain: str
    draining: bool
    live: tuple[str, ...]
    configuration_version: int
    heard_at: float


class Phase(enum.Enum):
    """Where a request stands."""

    QUEUED = 'queued'
    SENT = 'sent'
    CONFIRMING = 'confirming'


class Operation(enum.Enum):
    """What a request asks of a target."""

    EXECUTE = 'execute'
    BEGIN = 'begin'
    STATEMENT = 'statement'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


class Request(NamedTuple):
    """A request in the proxy, from arrival to its one outcome.

    `is_late` is set for a repeat whose first try is past the deadline.
    `may_have_run` is set once an attempt has left without a clear answer; a
    request with it set is never refused as not run.
    """

    identity: int
    caller: str
    request_class: RequestClass
    key: str | None
    body: Any
    seen: LogPosition
    arrived_at: float
    deadline_at: float
    operation: Operation = Operation.EXECUTE
    transaction: str | None = None
    phase: Phase = Phase.QUEUED
    attempts: int = 0
    may_have_run: bool = False
    target: str = ''
    term: int = 0
    sent_at: float = 0.0
    answer: Any = None
    reached: LogPosition = NOTHING_SEEN
    replayed: bool = False
    is_late: bool = False

    @property
    def is_write(self) -> bool:
        """Return whether the request may change data."""
        return self.request_class.is_write


class Transaction(NamedTuple):
    """An open transaction and the target connection that it holds."""

    identity: str
    caller: str
    request_class: RequestClass
    key: str | None
    target: str
    term: int
    used_at: float
    busy: bool = False
