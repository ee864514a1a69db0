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

INITIAL_LATENCY_S = 0.005  # assumed until the target has answered a request


class Caller(NamedTuple):
    """A declared caller; competing callers get equal shares of a group."""

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
    """A database server of a group."""

    name: str
    group: str
    address: str
    failure_domain: str
    slots: int
    connection_limit: int
    leaving: bool = False


class Group(NamedTuple):
    """A replicated database group and the names of its targets."""

    name: str
    targets: tuple[str, ...]


class TargetStatus(NamedTuple):
    """The status that a target reports.

    `term` is the highest term that the target has been fenced with,
    `log_term` and `index` are the term and the index of its last log entry,
    and `upstream_age_s` is the time since its primary last contacted it.
    """

    is_primary: bool
    term: int
    log_term: int
    index: int
    upstream_age_s: float

    @property
    def held(self) -> LogPosition:
        """Return the log position that the target has applied."""
        return LogPosition(self.log_term, self.index)


class TargetView(NamedTuple):
    """This proxy's view of a target and its requests in flight there."""

    status: TargetStatus | None = None
    sent_at: float = -math.inf
    polled_at: float = -math.inf
    polling: bool = False
    poll_requested: bool = False
    failing_since: float | None = None
    in_flight: int = 0
    pinned: int = 0
    latency_s: float = INITIAL_LATENCY_S
    latency_spread_s: float = 0.0
    avoided_until: float = -math.inf
    connection_share: int = 0


class Vm(NamedTuple):
    """A VM in the platform's list."""

    name: str
    failure_domain: str
    peer_address: str
    caller_address: str
    leaving: bool


class GroupReport(NamedTuple):
    """A proxy's view of a group's primary, as sent in heartbeats.

    `healthy_age_s` is the time since the primary last answered while at
    least one of its replicas was in contact with it.
    """

    group: str
    term: int
    primary: str
    primary_term: int
    healthy_age_s: float


class Peer(NamedTuple):
    """Another proxy, as described by its last heartbeat."""

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
    """The processing phase of a request."""

    QUEUED = 'queued'
    SENT = 'sent'
    CONFIRMING = 'confirming'


class Operation(enum.Enum):
    """The operation that a request executes on a target."""

    EXECUTE = 'execute'
    BEGIN = 'begin'
    STATEMENT = 'statement'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


class Request(NamedTuple):
    """A request in the proxy, from arrival to its single outcome.

    `is_late` is set for a retry that arrives after the deadline of the first
    attempt. `may_have_run` is set once an attempt was sent without a
    conclusive answer; such a request is never refused as not run.
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
    """An open transaction, which uses one connection to its target."""

    identity: str
    caller: str
    request_class: RequestClass
    key: str | None
    target: str
    term: int
    used_at: float
    busy: bool = False
