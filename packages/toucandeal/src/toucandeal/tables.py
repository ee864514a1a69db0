"""The tables of a proxy, and the frame in which the systems run."""

import math
import random
from collections import defaultdict
from typing import NamedTuple

from toucandeal import queues
from toucandeal.actions import Action, Decision
from toucandeal.backoff import Backoff
from toucandeal.entities import (
    Caller,
    Group,
    GroupReport,
    Peer,
    Request,
    RequestClass,
    Target,
    TargetView,
    Transaction,
    Vm,
)
from toucandeal.policies import Policies
from toucandeal.staleness import History, Sample
from toucandeal.takeovers import Takeover

__all__ = ['Frame', 'GroupView', 'ProxyIdentity', 'Tables', 'record_decision']

INITIAL_RETRY_TOKENS = 10.0  # retries allowed before new requests earn any


class ProxyIdentity(NamedTuple):
    """The identity of this proxy."""

    name: str
    incarnation: int
    peer_address: str = ''
    caller_address: str = ''
    failure_domain: str = ''


class GroupView(NamedTuple):
    """This proxy's view of a group.

    `term` is the highest known term. `primary` is the target promoted in
    `primary_term`, the highest term in which a promotion is known.
    """

    history: History
    term: int = 0
    term_raised_at: float = -math.inf
    primary: str = ''
    primary_term: int = 0
    unproven_samples: tuple[Sample, ...] = ()
    healthy_at: float = -math.inf
    suspect_since: float | None = None
    suspect_reason: str = ''
    takeover: Takeover | None = None
    retry_at: float = -math.inf


class Tables:
    """All tables of one proxy."""

    def __init__(self, identity: ProxyIdentity, policies: Policies) -> None:
        """Create empty tables."""
        self.identity = identity
        self.policies = policies
        self.callers: dict[str, Caller] = {}
        self.classes: dict[str, RequestClass] = {}
        self.groups: dict[str, Group] = {}
        self.targets: dict[str, Target] = {}
        self.views: dict[str, TargetView] = {}
        self.group_views: dict[str, GroupView] = {}
        self.requests: dict[int, Request] = {}
        self.transactions: dict[str, Transaction] = {}
        self.peers: dict[str, Peer] = {}
        self.reports: dict[str, dict[str, tuple[GroupReport, float]]] = (
            defaultdict(dict)
        )
        self.vms: dict[str, Vm] = {}
        self.reads: dict[str, queues.FairQueue] = defaultdict(queues.FairQueue)
        self.writes: dict[str, queues.FairQueue] = defaultdict(queues.FairQueue)
        self.confirming: dict[str, set[int]] = defaultdict(set)
        self.dirty: set[str] = set()
        self.evidence_changed: set[str] = set()
        self.removed_targets: list[Target] = []
        self.draining = False
        self.configuration_version = 0
        self.divisor_stable_since: float = -math.inf
        self.proxies_counted = 0
        self.polled_targets = 0
        self.proxies_per_group: dict[str, int] = {}
        self.hosted: dict[str, bool] = {}
        self.hosting_inputs: tuple = ()
        self.group_changes = 0
        self.trusted_since: float = -math.inf
        self.ticked_at: float = -math.inf
        self.next_identity = 0
        self.retry_tokens = INITIAL_RETRY_TOKENS
        self.backoffs: dict[str, Backoff] = defaultdict(Backoff)

    def group_targets(self, group: str) -> list[Target]:
        """Return the targets of a group in the order of declaration."""
        return [self.targets[name] for name in self.groups[group].targets]


class Frame(NamedTuple):
    """One run of the systems: the tables, the time and the actions."""

    tables: Tables
    now: float
    random: random.Random
    actions: list[Action]


def record_decision(
    frame: Frame, kind: str, subject: str, choice: str, reason: str, **inputs
) -> None:
    """Add the log entry of a decision to the frame."""
    frame.actions.append(Decision(kind, subject, choice, reason, inputs))
