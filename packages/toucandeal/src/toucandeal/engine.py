"""Execution order of the systems, and entry points for the process.

Each input is applied by its own function; :func:`run` then runs the systems
over the groups that the input changed. :func:`tick` runs the systems that
depend only on time. Neither performs I/O: both add actions to the frame.
"""

import math
import random

from toucandeal.actions import Action, Poll, WakeAt
from toucandeal.backoff import adapt
from toucandeal.configuration import Configuration, Row, apply_rows, merge
from toucandeal.entities import (
    GroupReport,
    Operation,
    Request,
    RequestClass,
)
from toucandeal.errors import UnknownName
from toucandeal.evidence import request_polls
from toucandeal.failover import run_failover
from toucandeal.heartbeat_timing import heartbeat_timing
from toucandeal.limits import share_connections
from toucandeal.membership import forget_silent_peers, is_host
from toucandeal.pending_answers import release_answers
from toucandeal.positions import LogPosition
from toucandeal.requests import admit, dispatch, expire
from toucandeal.tables import Frame, Tables, record_decision
from toucandeal.transactions import roll_back_idle

__all__ = [
    'TICK_S',
    'begin_frame',
    'configuration_received',
    'find_class',
    'group_reports',
    'new_request',
    'request_arrived',
    'run',
    'tick',
]

TICK_S = 0.02
MAX_REPORTED_AGE_S = 1e6  # replaces infinity in messages


def begin_frame(tables: Tables, now: float, generator: random.Random) -> Frame:
    """Return a frame for one input; detects a pause of this process."""
    frame = Frame(tables, now, generator, [])
    if now - tables.ticked_at > tables.policies.pause_s:
        _discard_evidence(frame)
    tables.ticked_at = now
    return frame


def _discard_evidence(frame: Frame) -> None:
    """Discard all evidence gathered before a pause of this process."""
    tables = frame.tables
    record_decision(
        frame,
        'pause',
        tables.identity.name,
        'dropped all evidence',
        'the process was stopped',
        paused_s=round(frame.now - tables.ticked_at, 3),
    )
    tables.trusted_since = frame.now
    tables.divisor_stable_since = frame.now
    tables.reports.clear()
    for name, view in tables.views.items():
        tables.views[name] = view._replace(status=None, sent_at=-math.inf)
    for group, view in tables.group_views.items():
        tables.group_views[group] = view._replace(
            history=[],
            unproven_samples=(),
            healthy_at=-math.inf,
            suspect_since=None,
            takeover=None,
        )
        request_polls(tables, group)
    for name, peer in tables.peers.items():
        tables.peers[name] = peer._replace(heard_at=frame.now)


def run(frame: Frame) -> list[Action]:
    """Run the systems over the changed groups and return the actions."""
    tables = frame.tables
    for group in _pop_declared(tables, tables.evidence_changed):
        if is_host(tables, group):
            run_failover(frame, group)
    for group in _pop_declared(tables, tables.dirty):
        release_answers(frame, group)
        dispatch(frame, group)
        if is_host(tables, group):
            _poll_due_targets(frame, group)
    return frame.actions


def _pop_declared(tables: Tables, marked: set[str]) -> list[str]:
    """Return the marked groups that are declared, and clear all marks."""
    declared = [group for group in marked if group in tables.groups]
    marked.clear()
    return declared


def tick(frame: Frame) -> list[Action]:
    """Run the time-dependent systems over all tables."""
    tables = frame.tables
    forget_silent_peers(frame)
    share_connections(frame)
    hosted = [name for name, is_hosted in tables.hosted.items() if is_hosted]
    tables.polled_targets = sum(
        len(tables.groups[name].targets) for name in hosted
    )
    expire(frame)
    roll_back_idle(frame)
    for group, backoff in tables.backoffs.items():
        tables.backoffs[group] = adapt(backoff, frame.now)
    tables.dirty.update(hosted)
    tables.evidence_changed.update(hosted)
    return run(frame)


def _poll_due_targets(frame: Frame, group: str) -> None:
    tables = frame.tables
    heartbeat_s = heartbeat_timing(tables).heartbeat_s
    for name in tables.groups[group].targets:
        view = tables.views[name]
        if view.polling:
            continue
        interval_s = (
            tables.policies.confirm_gap_s
            if view.poll_requested
            else heartbeat_s
        )
        due_at = view.polled_at + interval_s
        if frame.now >= due_at:
            tables.views[name] = view._replace(
                polling=True, poll_requested=False, polled_at=frame.now
            )
            frame.actions.append(Poll(name, frame.now))
        elif view.poll_requested:
            frame.actions.append(WakeAt(due_at))


def find_class(tables: Tables, caller: str, name: str) -> RequestClass:
    """Return a declared request class.

    Raises
    ------
    UnknownName
        The class, the caller or the class's group is not declared.
    """
    if caller not in tables.callers:
        raise UnknownName(
            f'Caller {caller!r} is not declared',
            f'Ask an operator for `declare caller {caller}`',
        )
    request_class = tables.classes.get(name)
    if request_class is None:
        raise UnknownName(
            f'Request class {name!r} is not declared',
            'Use one that `show classes` lists, or ask an operator for '
            '`declare class`',
        )
    if request_class.group not in tables.groups:
        raise UnknownName(
            f'Group {request_class.group!r} of class {name!r} is not declared',
            'Ask an operator for `declare group`',
        )
    return request_class


def new_request(
    frame: Frame,
    caller: str,
    request_class: RequestClass,
    *,
    key: str | None,
    body: object,
    seen: LogPosition,
    deadline_s: float | None = None,
    waited_s: float = 0,
    operation: Operation = Operation.EXECUTE,
    transaction: str | None = None,
) -> Request:
    """Return a new request."""
    tables = frame.tables
    tables.next_identity += 1
    allowed_s = request_class.deadline_s
    if deadline_s is not None:
        allowed_s = min(deadline_s, allowed_s)
    return Request(
        tables.next_identity,
        caller,
        request_class,
        key,
        body,
        seen,
        frame.now,
        frame.now + allowed_s,
        operation,
        transaction,
        is_late=waited_s >= request_class.deadline_s,
    )


def request_arrived(frame: Frame, request: Request) -> None:
    """Send, queue or refuse a request that has arrived."""
    admit(frame, request)


def configuration_received(
    frame: Frame, current: Configuration, version: int, rows: list[Row]
) -> Configuration:
    """Apply newer rows and return the merged configuration."""
    merged, changed = merge(current, version, rows)
    apply_rows(frame, changed)
    return merged


def group_reports(tables: Tables, now: float) -> list[GroupReport]:
    """Return this proxy's view of each group, for its heartbeat."""
    return [
        GroupReport(
            name,
            view.term,
            view.primary,
            view.primary_term,
            min(now - view.healthy_at, MAX_REPORTED_AGE_S),
        )
        for name, view in tables.group_views.items()
        if view.term
    ]
