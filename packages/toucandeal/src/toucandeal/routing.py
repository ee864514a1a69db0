"""Routing of requests to targets.

Writes go to the primary. A read goes to a replica whose position covers the
session's and whose data is provably fresh enough; if no replica qualifies,
the read waits up to `replica_wait_s` for one, then goes to the primary.
"""

import itertools
import math
from typing import NamedTuple

from toucandeal.entities import Request, Target
from toucandeal.evidence import request_polls, writable
from toucandeal.heartbeat_timing import heartbeat_timing
from toucandeal.limits import free_slots
from toucandeal.positions import LogPosition
from toucandeal.staleness import data_complete_until
from toucandeal.tables import Frame, Tables

__all__ = [
    'Choice',
    'Wait',
    'choose_target',
    'is_available',
    'is_fresh_enough',
    'is_leaving',
]


OVERFLOW_WAIT_LATENCIES = 3  # wait for busy replicas, in multiples of the least


class Choice(NamedTuple):
    """The target chosen for a request, and the reason."""

    target: str
    reason: str
    candidates: int = 1


class Wait(NamedTuple):
    """No target is usable yet; check again at `until` at the latest."""

    reason: str
    until: float = math.inf


def is_leaving(tables: Tables, target: Target) -> bool:
    """Return whether operators or the platform marked `target` as leaving."""
    vm = tables.vms.get(target.name)
    return target.leaving or (vm is not None and vm.leaving)


def is_available(tables: Tables, target: Target, now: float) -> bool:
    """Return whether `target` may receive new requests."""
    view = tables.views[target.name]
    reachable = now - view.sent_at < heartbeat_timing(tables).suspect_s
    return (
        reachable
        and not is_leaving(tables, target)
        and now >= view.avoided_until
    )


def is_fresh_enough(
    tables: Tables, request: Request, position: LogPosition, now: float
) -> bool:
    """Return whether data at `position` provably meets a read's freshness.

    Data that includes everything from before the request's arrival meets any
    freshness.
    """
    if position < request.seen:
        return False
    freshness_s = request.request_class.freshness_s
    history = tables.group_views[request.request_class.group].history
    complete_until = data_complete_until(history, position)
    return (
        complete_until >= request.arrived_at
        or now - complete_until <= freshness_s
    )


def choose_target(frame: Frame, request: Request) -> Choice | Wait:
    """Return the target for `request`, or what it waits for."""
    if request.is_write:
        return _choose_primary(frame, request, 'write')
    policy = frame.tables.policies.replica_reads
    if policy == 'primary_only':
        return _choose_primary(frame, request, 'primary only')
    if policy == 'round_robin':
        return _choose_round_robin(frame, request)
    return _choose_replica(frame, request)


def _choose_primary(
    frame: Frame, request: Request, reason: str
) -> Choice | Wait:
    tables = frame.tables
    view = tables.group_views[request.request_class.group]
    if not writable(view):
        return Wait('no primary')
    primary = tables.targets[view.primary]
    if request.is_write and is_leaving(tables, primary):
        return Wait('primary is leaving')
    if view.primary_term < request.seen.term:
        return Wait('primary is behind the session')
    if (
        frame.now - tables.views[view.primary].sent_at
        > heartbeat_timing(tables).suspect_s
    ):
        return Wait('primary is silent')
    avoided_until = tables.views[view.primary].avoided_until
    if frame.now < avoided_until:
        return Wait('primary refuses connections', avoided_until)
    if free_slots(tables, primary) < 1:
        return Wait('primary is busy')
    return Choice(view.primary, reason)


def _replicas(frame: Frame, group: str) -> list[Target]:
    tables = frame.tables
    primary = tables.group_views[group].primary
    return [
        target
        for target in tables.group_targets(group)
        if target.name != primary
        and is_available(tables, target, frame.now)
        and tables.views[target.name].status is not None
    ]


def _choose_replica(frame: Frame, request: Request) -> Choice | Wait:
    tables = frame.tables
    group = request.request_class.group
    replicas = _replicas(frame, group)
    eligible = [
        target
        for target in replicas
        if is_fresh_enough(
            tables, request, tables.views[target.name].status.held, frame.now
        )
    ]
    free = [target for target in eligible if free_slots(tables, target) > 0]
    if free:
        name = _choose_less_loaded(frame, free)
        return Choice(name, 'replica is fresh', len(free))
    if request.attempts:
        return _choose_primary(frame, request, 'replica fell short')
    if eligible:
        return _wait_or_use_primary(frame, request, eligible)
    wait_until = request.arrived_at + tables.policies.replica_wait_s
    if replicas and frame.now < wait_until:
        request_polls(tables, group)
        return Wait('no replica is fresh yet', wait_until)
    return _choose_primary(frame, request, 'no replica is fresh')


def _choose_less_loaded(frame: Frame, free: list[Target]) -> str:
    """Return the less loaded of two random targets (power of two choices)."""
    views = frame.tables.views
    sampled = frame.random.sample(free, min(len(free), 2))
    return min(
        sampled,
        key=lambda target: (
            (views[target.name].in_flight + 1) * views[target.name].latency_s
        ),
    ).name


def _wait_or_use_primary(
    frame: Frame, request: Request, eligible: list[Target]
) -> Choice | Wait:
    views = frame.tables.views
    wait_until = request.arrived_at + OVERFLOW_WAIT_LATENCIES * min(
        views[target.name].latency_s for target in eligible
    )
    if frame.now < wait_until:
        return Wait('replicas are busy', wait_until)
    if frame.tables.writes[request.request_class.group]:
        return Wait('replicas are busy')
    return _choose_primary(frame, request, 'replicas are busy')


def _choose_round_robin(frame: Frame, request: Request) -> Choice | Wait:
    tables = frame.tables
    history = tables.group_views[request.request_class.group].history
    fresh = [
        target
        for target in _replicas(frame, request.request_class.group)
        if frame.now
        - data_complete_until(history, tables.views[target.name].status.held)
        <= tables.policies.fixed_lag_s
    ]
    if not fresh:
        return _choose_primary(frame, request, 'no replica is fresh')
    rotation = itertools.islice(
        itertools.cycle(fresh), request.identity % len(fresh), None
    )
    name = next(rotation).name
    if free_slots(tables, tables.targets[name]) < 1:
        return Wait('replica is busy')
    return Choice(name, 'in turn', len(fresh))
