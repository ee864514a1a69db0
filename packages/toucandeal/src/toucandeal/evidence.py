"""Evidence from status polls: the primary, its samples and confirmations.

Two facts are derived from the statuses that the servers report:

* a write at ``(term, index)`` is *confirmed* once a majority, including the
  primary, has a log whose last entry has that term and the same or a higher
  index; a later takeover then finds it in any majority that it fences;
* a primary of term ``t`` is *proven* current at time ``s`` once enough other
  targets have answered polls sent at ``s`` or later and reported no higher
  term.
"""

import math

from toucandeal.entities import TargetStatus, TargetView
from toucandeal.heartbeat_timing import heartbeat_timing
from toucandeal.positions import (
    kth_largest,
    replicas_to_confirm,
    replicas_to_prove,
)
from toucandeal.staleness import Sample, add_sample
from toucandeal.tables import Frame, GroupView, Tables, record_decision

__all__ = [
    'confirmed_index',
    'poll_failed',
    'proven_until',
    'raise_term',
    'replicas_in_contact',
    'request_polls',
    'status_received',
    'update_primary',
    'writable',
]


def writable(view: GroupView) -> bool:
    """Return whether the group has a primary in its highest known term."""
    return bool(view.primary) and view.primary_term == view.term


def _other_views(tables: Tables, group: str, name: str) -> list[TargetView]:
    return [
        tables.views[other]
        for other in tables.groups[group].targets
        if other != name
    ]


def _replica_views(tables: Tables, group: str) -> list[TargetView]:
    return _other_views(tables, group, tables.group_views[group].primary)


def confirmed_index(
    tables: Tables, group: str, writer: str, term: int
) -> float:
    """Return the highest log index of `term` that a majority has stored.

    Parameters
    ----------
    tables : Tables
    group : str
    writer : str
        The primary of `term`. Its own log does not count as a replica, even
        after another target has become the primary.
    term : int

    Returns
    -------
    float
        Minus infinity if nothing of the term is confirmed.
    """
    indices = [
        view.status.index
        for view in _other_views(tables, group, writer)
        if view.status is not None and view.status.log_term == term
    ]
    rank = replicas_to_confirm(len(tables.groups[group].targets))
    return kth_largest(indices, rank, -math.inf, math.inf)


def proven_until(tables: Tables, group: str) -> float:
    """Return the time up to which the group's primary is proven current."""
    view = tables.group_views[group]
    times = [
        replica.sent_at
        for replica in _replica_views(tables, group)
        if replica.status is not None
        and replica.status.term <= view.primary_term
    ]
    rank = replicas_to_prove(len(tables.groups[group].targets))
    return kth_largest(times, rank, -math.inf, math.inf)


def replicas_in_contact(tables: Tables, group: str, now: float) -> int:
    """Return how many replicas were contacted recently by their primary."""
    timeout_s = heartbeat_timing(tables).suspect_s
    return sum(
        view.status is not None
        and view.status.upstream_age_s + now - view.sent_at < timeout_s
        for view in _replica_views(tables, group)
    )


def raise_term(frame: Frame, group: str, term: int) -> None:
    """Record that a term is in use, from any source."""
    view = frame.tables.group_views[group]
    if term > view.term:
        frame.tables.group_views[group] = view._replace(
            term=term, term_raised_at=frame.now
        )
        frame.tables.dirty.add(group)


def update_primary(
    frame: Frame, group: str, target: str, term: int, source: str
) -> None:
    """Record that `target` was promoted in `term`; ignore lower terms."""
    raise_term(frame, group, term)
    view = frame.tables.group_views[group]
    if term <= view.primary_term:
        return
    record_decision(
        frame,
        'primary',
        group,
        target,
        source,
        term=term,
        before=view.primary,
    )
    frame.tables.group_views[group] = view._replace(
        primary=target,
        primary_term=term,
        unproven_samples=(),
        suspect_since=None,
        suspect_reason='',
    )
    request_polls(frame.tables, group)
    frame.tables.dirty.add(group)


def request_polls(tables: Tables, group: str) -> None:
    """Request a poll of each target of the group ahead of its heartbeat."""
    tables.dirty.add(group)
    for name in tables.groups[group].targets:
        tables.views[name] = tables.views[name]._replace(poll_requested=True)


def status_received(
    frame: Frame, name: str, sent_at: float, status: TargetStatus
) -> None:
    """Apply the status of a target.

    Parameters
    ----------
    frame : Frame
    name : str
        The target.
    sent_at : float
        When the poll was sent. The answer to a poll sent before a pause of
        this process proves nothing and is dropped, and so is one that a later
        poll has overtaken.
    status : TargetStatus
    """
    tables = frame.tables
    if name not in tables.views:
        return
    view = tables.views[name]._replace(polling=False)
    if sent_at < max(tables.trusted_since, view.sent_at):
        tables.views[name] = view
        return
    tables.views[name] = view._replace(
        status=status, sent_at=sent_at, failing_since=None
    )
    group = tables.targets[name].group
    tables.dirty.add(group)
    tables.evidence_changed.add(group)
    raise_term(frame, group, status.term)
    if status.is_primary:
        update_primary(frame, group, name, status.term, 'status')
        _add_unproven_sample(tables, group, name, status, sent_at)
    _record_proven_samples(tables, group)
    _update_health(tables, group)


def _add_unproven_sample(
    tables: Tables, group: str, name: str, status: TargetStatus, sent_at: float
) -> None:
    """Add a sample that is to be proven, if the target led the present term.

    The lead may have left it and come back. The replicas' statuses prove the
    present term, so a sample of an earlier one would be proven by mistake.
    """
    view = tables.group_views[group]
    if name == view.primary and status.term == view.primary_term:
        sample = Sample(status.held, sent_at)
        tables.group_views[group] = view._replace(
            unproven_samples=(*view.unproven_samples[-7:], sample)
        )


def _record_proven_samples(tables: Tables, group: str) -> None:
    view = tables.group_views[group]
    until = proven_until(tables, group)
    for sample in view.unproven_samples:
        if sample.sent_at <= until:
            add_sample(view.history, sample)
    tables.group_views[group] = view._replace(
        unproven_samples=tuple(
            sample for sample in view.unproven_samples if sample.sent_at > until
        )
    )


def _majority_contact_time(tables: Tables, group: str) -> float:
    """Return when the primary last contacted replicas for a majority."""
    times = [
        view.sent_at - view.status.upstream_age_s
        for view in _replica_views(tables, group)
        if view.status is not None
    ]
    rank = replicas_to_confirm(len(tables.groups[group].targets))
    return kth_largest(times, rank, -math.inf, math.inf)


def _update_health(tables: Tables, group: str) -> None:
    view = tables.group_views[group]
    if view.primary:
        # Use the time of the contact, not of the poll that reported it.
        # Otherwise peers would report a failed primary as healthy.
        healthy_at = min(
            tables.views[view.primary].sent_at,
            _majority_contact_time(tables, group),
        )
        tables.group_views[group] = view._replace(healthy_at=healthy_at)


def poll_failed(frame: Frame, name: str) -> None:
    """Record that a poll was not answered in time."""
    tables = frame.tables
    if name not in tables.views:
        return
    view = tables.views[name]
    since = frame.now if view.failing_since is None else view.failing_since
    tables.views[name] = view._replace(polling=False, failing_since=since)
    tables.evidence_changed.add(tables.targets[name].group)
