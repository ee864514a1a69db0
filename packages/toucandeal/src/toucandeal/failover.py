"""Failure detection of primaries, and takeovers.

Only the terms stored by the targets decide which primary is current; see
docs/design/failover.md. A takeover fences a majority of the group with a new
term, promotes the fenced target with the highest last term and position, and
completes when that target accepts. The platform's store is not involved.
"""

from toucandeal.actions import Fence, Promote, SendHeartbeat
from toucandeal.entities import TargetStatus
from toucandeal.errors import BadCommand, ChangeRefused
from toucandeal.evidence import (
    raise_term,
    replicas_in_contact,
    request_polls,
    update_primary,
    writable,
)
from toucandeal.heartbeat_timing import heartbeat_timing
from toucandeal.membership import takeover_rank
from toucandeal.positions import LogPosition, majority, replicas_to_confirm
from toucandeal.routing import is_available, is_leaving
from toucandeal.tables import Frame, GroupView, Tables, record_decision
from toucandeal.takeovers import (
    Grant,
    Stage,
    Takeover,
    best_candidate,
    next_term,
)

__all__ = [
    'failure_reason',
    'fence_answered',
    'promote_answered',
    'run_failover',
    'start_switchover',
]


PRIMARY_ISOLATED = 'primary is cut off from its replicas'
PRIMARY_SILENT = 'primary is silent'


def _responsive_targets(tables: Tables, group: str, now: float) -> list[str]:
    timeout_s = heartbeat_timing(tables).suspect_s
    return [
        name
        for name in tables.groups[group].targets
        if now - tables.views[name].sent_at < timeout_s
    ]


def _is_healthy_for_peer(tables: Tables, group: str, now: float) -> bool:
    timeout_s = heartbeat_timing(tables).suspect_s
    view = tables.group_views[group]
    return any(
        report.primary_term == view.primary_term
        and report.healthy_age_s + now - heard_at < timeout_s
        for report, heard_at in tables.reports[group].values()
    )


def failure_reason(tables: Tables, group: str, now: float) -> str:
    """Return why the group needs a takeover, or an empty string.

    Notes
    -----
    A primary that this proxy cannot reach has not failed if its replicas are
    in contact with it or a peer reports it healthy: only the connection of
    this proxy is broken.
    """
    servers = len(tables.groups[group].targets)
    responsive = _responsive_targets(tables, group, now)
    if len(responsive) < majority(servers):
        return ''
    view = tables.group_views[group]
    if view.term > view.primary_term:
        waited = now - view.term_raised_at
        timeout_s = tables.policies.takeover_timeout_s
        return 'no primary in the highest term' if waited > timeout_s else ''
    if not view.primary:
        return 'no primary'
    if now - view.term_raised_at < 2 * heartbeat_timing(tables).suspect_s:
        return ''  # a new primary may not have contacted its replicas yet
    in_contact = replicas_in_contact(tables, group, now)
    if in_contact >= replicas_to_confirm(servers) and (
        servers > 1 or view.primary in responsive
    ):
        return ''
    if _is_healthy_for_peer(tables, group, now):
        return ''
    if view.primary in responsive:
        return _isolation_reason(tables, group, responsive)
    return PRIMARY_SILENT


def _isolation_reason(tables: Tables, group: str, responsive: list[str]) -> str:
    servers = len(tables.groups[group].targets)
    replicas = len(responsive) - 1
    if replicas < majority(servers):
        return ''
    return PRIMARY_ISOLATED


def run_failover(frame: Frame, group: str) -> None:
    """Start, continue or abandon a takeover of `group`."""
    tables = frame.tables
    view = tables.group_views[group]
    if view.takeover is not None:
        _continue_takeover(frame, group, view.takeover)
        return
    reason = failure_reason(tables, group, frame.now)
    if not reason:
        if view.suspect_since is not None:
            tables.group_views[group] = view._replace(suspect_since=None)
        _replace_leaving_primary(frame, group)
        return
    if view.suspect_since is None:
        delay_s = _takeover_delay(frame, group)
        record_decision(
            frame, 'suspect', group, view.primary, reason, wait_s=delay_s
        )
        view = view._replace(
            suspect_since=frame.now,
            suspect_reason=reason,
            retry_at=max(view.retry_at, frame.now + delay_s),
        )
        tables.group_views[group] = view
    if frame.now >= view.retry_at and not tables.draining:
        _start_takeover(frame, group, reason)


def _replace_leaving_primary(frame: Frame, group: str) -> None:
    tables = frame.tables
    view = tables.group_views[group]
    if not writable(view) or frame.now < view.retry_at:
        return
    if not is_leaving(tables, tables.targets[view.primary]):
        return
    if tables.draining or takeover_rank(tables, group) != 0:
        return
    candidates = [
        target.name
        for target in tables.group_targets(group)
        if is_available(tables, target, frame.now)
        and tables.views[target.name].status is not None
    ]
    if candidates:
        switchover_target = max(
            candidates, key=lambda name: tables.views[name].status.held
        )
        _start_takeover(
            frame, group, 'the primary is leaving', switchover_target
        )


def _takeover_delay(frame: Frame, group: str) -> float:
    rank = takeover_rank(frame.tables, group)
    stagger = frame.tables.policies.stagger_s
    jitter = frame.random.uniform(0, stagger / 2) if rank else 0
    return rank * stagger + jitter


def _start_takeover(
    frame: Frame, group: str, reason: str, switchover_target: str = ''
) -> None:
    tables = frame.tables
    view = tables.group_views[group]
    term = next_term(view.term, tables.identity.incarnation)
    stage = Stage.CATCHING_UP if switchover_target else Stage.FENCING
    record_decision(
        frame,
        'takeover',
        group,
        switchover_target or 'best candidate',
        reason,
        term=term,
        primary=view.primary,
        primary_term=view.primary_term,
    )
    raise_term(frame, group, term)
    tables.group_views[group] = tables.group_views[group]._replace(
        takeover=Takeover(
            term,
            stage,
            frame.now,
            switchover_target=switchover_target,
            failed_primary=_failed_primary(view, reason),
            reason=reason,
        )
    )
    frame.actions.append(SendHeartbeat())
    names = (
        (view.primary,) if switchover_target else tables.groups[group].targets
    )
    frame.actions.extend(Fence(group, name, term) for name in names)


def _failed_primary(view: GroupView, reason: str) -> str:
    return view.primary if reason in {PRIMARY_ISOLATED, PRIMARY_SILENT} else ''


def start_switchover(frame: Frame, group: str, switchover_target: str) -> None:
    """Start a planned switchover to the replica `switchover_target`.

    The primary is fenced first, which stops its writes. It continues to
    replicate its log, so `switchover_target` applies all of it before its
    promotion.

    Raises
    ------
    BadCommand
        `switchover_target` is not a replica of the group.
    ChangeRefused
        The group has no current primary, or a takeover is in progress.
    """
    tables = frame.tables
    view = tables.group_views[group]
    if switchover_target not in tables.groups[group].targets:
        raise BadCommand(
            f'Target {switchover_target!r} is not in group {group!r}',
            'Name one of ' + ', '.join(tables.groups[group].targets),
        )
    if switchover_target == view.primary and view.primary_term == view.term:
        raise BadCommand(
            f'Target {switchover_target!r} is already the primary',
            'Name a replica',
        )
    if view.takeover or not view.primary or view.primary_term != view.term:
        raise ChangeRefused(
            f'Group {group!r} has no settled primary now',
            'Wait until `show groups` lists one, then retry',
        )
    _start_takeover(frame, group, 'planned switchover', switchover_target)


def _continue_takeover(frame: Frame, group: str, takeover: Takeover) -> None:
    policies = frame.tables.policies
    waited = frame.now - takeover.started_at
    if takeover.stage is Stage.CATCHING_UP:
        if takeover.grants:
            _check_catch_up(frame, group, takeover)
        elif waited > policies.takeover_timeout_s:
            _abandon_takeover(frame, group, 'the primary gave no answer')
        return
    if waited > policies.takeover_timeout_s:
        _abandon_takeover(frame, group, 'timeout')


def _check_catch_up(frame: Frame, group: str, takeover: Takeover) -> None:
    tables = frame.tables
    status = tables.views[takeover.switchover_target].status
    final_position = takeover.grants[0].held
    caught_up = status is not None and status.held >= final_position
    timed_out = frame.now - takeover.started_at > (
        tables.policies.switchover_timeout_s
    )
    if not caught_up and not timed_out:
        request_polls(tables, group)
        return
    switchover_target = takeover.switchover_target if caught_up else ''
    _set_takeover(
        tables,
        group,
        takeover._replace(
            stage=Stage.FENCING,
            started_at=frame.now,
            switchover_target=switchover_target,
        ),
    )
    granted = {grant.target for grant in takeover.grants}
    frame.actions.extend(
        Fence(group, name, takeover.term)
        for name in tables.groups[group].targets
        if name not in granted
    )


def _set_takeover(
    tables: Tables, group: str, takeover: Takeover | None
) -> None:
    tables.group_views[group] = tables.group_views[group]._replace(
        takeover=takeover
    )


def _abandon_takeover(frame: Frame, group: str, reason: str) -> None:
    view = frame.tables.group_views[group]
    stagger = frame.tables.policies.stagger_s
    delay_s = frame.random.uniform(stagger, 3 * stagger)
    record_decision(
        frame, 'takeover', group, 'abandoned', reason, wait_s=delay_s
    )
    frame.tables.group_views[group] = view._replace(
        takeover=None, retry_at=frame.now + delay_s
    )


def fence_answered(
    frame: Frame,
    group: str,
    target: str,
    term: int,
    *,
    granted: bool,
    status: TargetStatus,
) -> None:
    """Apply a target's answer to a fence."""
    tables = frame.tables
    if group not in tables.group_views:
        return
    raise_term(frame, group, status.term)
    takeover = tables.group_views[group].takeover
    if takeover is None or takeover.term != term:
        return
    if not granted:
        if status.term > term:
            _abandon_takeover(frame, group, 'a higher term is in use')
        return
    if takeover.stage is Stage.PROMOTING:
        return
    grant = Grant(target, LogPosition(status.log_term, status.index))
    takeover = takeover._replace(grants=(*takeover.grants, grant))
    _set_takeover(tables, group, takeover)
    tables.evidence_changed.add(group)
    if takeover.stage is Stage.FENCING:
        _promote_if_fenced(frame, group, takeover)


def _promote_if_fenced(frame: Frame, group: str, takeover: Takeover) -> None:
    tables = frame.tables
    names = tables.groups[group].targets
    eligible = tuple(
        grant
        for grant in takeover.grants
        if grant.target != takeover.failed_primary
    )
    granted = {grant.target for grant in eligible}
    if len(granted) < majority(len(names)):
        return
    if takeover.switchover_target and takeover.switchover_target not in granted:
        return
    leaving = frozenset(name for name in names if tables.targets[name].leaving)
    candidate = best_candidate(eligible, leaving, takeover.switchover_target)
    record_decision(
        frame,
        'promote',
        group,
        candidate,
        takeover.reason,
        term=takeover.term,
        grants={grant.target: list(grant.held) for grant in takeover.grants},
    )
    _set_takeover(
        tables,
        group,
        takeover._replace(stage=Stage.PROMOTING, candidate=candidate),
    )
    frame.actions.append(Promote(group, candidate, takeover.term))


def promote_answered(
    frame: Frame, group: str, target: str, term: int, *, promoted: bool
) -> None:
    """Apply a target's answer to a promotion."""
    tables = frame.tables
    if group not in tables.group_views:
        return
    takeover = tables.group_views[group].takeover
    is_own = takeover is not None and takeover.term == term
    if promoted:
        update_primary(frame, group, target, term, 'promotion')
        frame.actions.append(SendHeartbeat())
    if not is_own:
        return
    if promoted:
        _set_takeover(tables, group, None)
    else:
        _abandon_takeover(frame, group, 'the candidate refused')
