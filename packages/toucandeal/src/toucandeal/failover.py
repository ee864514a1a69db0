"""When a primary counts as failed, and how another one takes its place.

The targets' own terms are the only arbiter; see docs/design/failover.md. A
takeover fences a majority of the group with a new term, promotes the fenced
target with the highest last term and position, and is over once that target
accepts. The platform's store is not involved.
"""

from toucandeal.actions import Fence, Promote, TellPeers
from toucandeal.entities import TargetStatus
from toucandeal.errors import BadCommand, ChangeRefused
from toucandeal.evidence import (
    learn_primary,
    raise_term,
    replicas_in_contact,
    want_polls,
    writable,
)
from toucandeal.membership import takeover_rank
from toucandeal.pacing import pace
from toucandeal.positions import LogPosition, majority, replicas_to_confirm
from toucandeal.routing import is_available, is_leaving
from toucandeal.tables import Frame, GroupView, Tables, decide
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


CUT_OFF = 'primary is cut off from its replicas'
SILENT = 'primary is silent'


def _fresh_targets(tables: Tables, group: str, now: float) -> list[str]:
    limit = pace(tables).suspect_s
    return [
        name
        for name in tables.groups[group].targets
        if now - tables.views[name].sent_at < limit
    ]


def _peer_sees_health(tables: Tables, group: str, now: float) -> bool:
    limit = pace(tables).suspect_s
    view = tables.group_views[group]
    return any(
        report.primary_term == view.primary_term
        and report.healthy_age_s + now - heard_at < limit
        for report, heard_at in tables.reports[group].values()
    )


def failure_reason(tables: Tables, group: str, now: float) -> str:
    """Return why the group needs a takeover, or an empty string.

    Notes
    -----
    A primary that this proxy can't reach while its replicas can, or while a
    peer sees it healthy, has not failed: the broken link is this proxy's.
    """
    servers = len(tables.groups[group].targets)
    fresh = _fresh_targets(tables, group, now)
    if len(fresh) < majority(servers):
        return ''
    view = tables.group_views[group]
    if view.term > view.primary_term:
        waited = now - view.term_raised_at
        limit = tables.policies.takeover_timeout_s
        return 'no primary in the highest term' if waited > limit else ''
    if not view.primary:
        return 'no primary'
    if now - view.term_raised_at < 2 * pace(tables).suspect_s:
        return ''  # a new primary has yet to reach its replicas
    in_contact = replicas_in_contact(tables, group, now)
    if in_contact >= replicas_to_confirm(servers) and (
        servers > 1 or view.primary in fresh
    ):
        return ''
    if _peer_sees_health(tables, group, now):
        return ''
    if view.primary in fresh:
        return _isolation_reason(tables, group, fresh)
    return SILENT


def _isolation_reason(tables: Tables, group: str, fresh: list[str]) -> str:
    servers = len(tables.groups[group].targets)
    replicas = len(fresh) - 1
    if replicas < majority(servers):
        return ''
    return CUT_OFF


def run_failover(frame: Frame, group: str) -> None:
    """Start, continue or give up a takeover of `group`."""
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
        wait = _turn(frame, group)
        decide(frame, 'suspect', group, view.primary, reason, wait_s=wait)
        view = view._replace(
            suspect_since=frame.now,
            suspect_reason=reason,
            retry_at=max(view.retry_at, frame.now + wait),
        )
        tables.group_views[group] = view
    if frame.now >= view.retry_at and not tables.draining:
        _start(frame, group, reason)


def _replace_leaving_primary(frame: Frame, group: str) -> None:
    tables = frame.tables
    view = tables.group_views[group]
    if not writable(view) or frame.now < view.retry_at:
        return
    if not is_leaving(tables, tables.targets[view.primary]):
        return
    if tables.draining or takeover_rank(tables, group) != 0:
        return
    staying = [
        target.name
        for target in tables.group_targets(group)
        if is_available(tables, target, frame.now)
        and tables.views[target.name].status is not None
    ]
    if staying:
        wanted = max(staying, key=lambda name: tables.views[name].status.held)
        _start(frame, group, 'the primary is leaving', wanted)


def _turn(frame: Frame, group: str) -> float:
    rank = takeover_rank(frame.tables, group)
    stagger = frame.tables.policies.stagger_s
    jitter = frame.random.uniform(0, stagger / 2) if rank else 0
    return rank * stagger + jitter


def _start(frame: Frame, group: str, reason: str, wanted: str = '') -> None:
    tables = frame.tables
    view = tables.group_views[group]
    term = next_term(view.term, tables.identity.incarnation)
    stage = Stage.CATCHING_UP if wanted else Stage.FENCING
    decide(
        frame,
        'takeover',
        group,
        wanted or 'best candidate',
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
            wanted=wanted,
            failed=_failed_primary(view, reason),
            reason=reason,
        )
    )
    frame.actions.append(TellPeers())
    names = (view.primary,) if wanted else tables.groups[group].targets
    frame.actions.extend(Fence(group, name, term) for name in names)


def _failed_primary(view: GroupView, reason: str) -> str:
    return view.primary if reason in {CUT_OFF, SILENT} else ''


def start_switchover(frame: Frame, group: str, wanted: str) -> None:
    """Begin a planned change of primary.

    The primary is fenced first, which ends its writes; it goes on sending its
    log, so `wanted` catches up to the end before it is promoted.

    Raises
    ------
    BadCommand
        `wanted` is not a replica of the group.
    ChangeRefused
        The group has no primary now, or a takeover is under way.
    """
    tables = frame.tables
    view = tables.group_views[group]
    if wanted not in tables.groups[group].targets:
        raise BadCommand(
            f'Target {wanted!r} is not in group {group!r}',
            'Name one of ' + ', '.join(tables.groups[group].targets),
        )
    if wanted == view.primary and view.primary_term == view.term:
        raise BadCommand(
            f'Target {wanted!r} is the primary already', 'Name a replica'
        )
    if view.takeover or not view.primary or view.primary_term != view.term:
        raise ChangeRefused(
            f'Group {group!r} has no settled primary now',
            'Wait until `show groups` names one, then try again',
        )
    _start(frame, group, 'planned switchover', wanted)


def _continue_takeover(frame: Frame, group: str, takeover: Takeover) -> None:
    policies = frame.tables.policies
    waited = frame.now - takeover.started_at
    if takeover.stage is Stage.CATCHING_UP:
        if takeover.grants:
            _check_catch_up(frame, group, takeover)
        elif waited > policies.takeover_timeout_s:
            _abandon(frame, group, 'the primary gave no answer')
        return
    if waited > policies.takeover_timeout_s:
        _abandon(frame, group, 'timeout')


def _check_catch_up(frame: Frame, group: str, takeover: Takeover) -> None:
    tables = frame.tables
    status = tables.views[takeover.wanted].status
    complete = takeover.grants[0].held
    caught_up = status is not None and status.held >= complete
    late = frame.now - takeover.started_at > (
        tables.policies.switchover_timeout_s
    )
    if not caught_up and not late:
        want_polls(tables, group)
        return
    wanted = takeover.wanted if caught_up else ''
    _set(
        tables,
        group,
        takeover._replace(
            stage=Stage.FENCING, started_at=frame.now, wanted=wanted
        ),
    )
    granted = {grant.target for grant in takeover.grants}
    frame.actions.extend(
        Fence(group, name, takeover.term)
        for name in tables.groups[group].targets
        if name not in granted
    )


def _set(tables: Tables, group: str, takeover: Takeover | None) -> None:
    tables.group_views[group] = tables.group_views[group]._replace(
        takeover=takeover
    )


def _abandon(frame: Frame, group: str, reason: str) -> None:
    view = frame.tables.group_views[group]
    stagger = frame.tables.policies.stagger_s
    wait = frame.random.uniform(stagger, 3 * stagger)
    decide(frame, 'takeover', group, 'abandoned', reason, wait_s=wait)
    frame.tables.group_views[group] = view._replace(
        takeover=None, retry_at=frame.now + wait
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
    """Take in a target's answer to a fence."""
    tables = frame.tables
    if group not in tables.group_views:
        return
    raise_term(frame, group, status.term)
    takeover = tables.group_views[group].takeover
    if takeover is None or takeover.term != term:
        return
    if not granted:
        if status.term > term:
            _abandon(frame, group, 'a higher term is in use')
        return
    if takeover.stage is Stage.PROMOTING:
        return
    grant = Grant(target, LogPosition(status.log_term, status.index))
    takeover = takeover._replace(grants=(*takeover.grants, grant))
    _set(tables, group, takeover)
    tables.evidence_changed.add(group)
    if takeover.stage is Stage.FENCING:
        _promote_if_fenced(frame, group, takeover)


def _promote_if_fenced(frame: Frame, group: str, takeover: Takeover) -> None:
    tables = frame.tables
    names = tables.groups[group].targets
    eligible = tuple(
        grant for grant in takeover.grants if grant.target != takeover.failed
    )
    granted = {grant.target for grant in eligible}
    if len(granted) < majority(len(names)):
        return
    if takeover.wanted and takeover.wanted not in granted:
        return
    leaving = frozenset(name for name in names if tables.targets[name].leaving)
    candidate = best_candidate(eligible, leaving, takeover.wanted)
    decide(
        frame,
        'promote',
        group,
        candidate,
        takeover.reason,
        term=takeover.term,
        grants={grant.target: list(grant.held) for grant in takeover.grants},
    )
    _set(
        tables,
        group,
        takeover._replace(stage=Stage.PROMOTING, candidate=candidate),
    )
    frame.actions.append(Promote(group, candidate, takeover.term))


def promote_answered(
    frame: Frame, group: str, target: str, term: int, *, promoted: bool
) -> None:
    """Take in a target's answer to a promotion."""
    tables = frame.tables
    if group not in tables.group_views:
        return
    takeover = tables.group_views[group].takeover
    mine = takeover is not None and takeover.term == term
    if promoted:
        learn_primary(frame, group, target, term, 'promotion')
        frame.actions.append(TellPeers())
    if not mine:
        return
    if promoted:
        _set(tables, group, None)
    else:
        _abandon(frame, group, 'the candidate refused')
