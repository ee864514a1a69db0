"""Answers to the operators' questions, from the tables."""

import math
import operator
from typing import Any

from toucandeal.entities import Request, Target
from toucandeal.errors import BadCommand, UnknownName
from toucandeal.evidence import confirmed_index, writable
from toucandeal.language import Explain, Filter, Show
from toucandeal.limits import free_slots
from toucandeal.positions import LogPosition
from toucandeal.routing import Choice, choose_target, is_available
from toucandeal.staleness import staleness_bound
from toucandeal.tables import Frame, GroupView

__all__ = ['explain_read', 'show']

_COMPARISONS = {
    '=': operator.eq,
    '!=': operator.ne,
    '<': operator.lt,
    '<=': operator.le,
    '>': operator.gt,
    '>=': operator.ge,
}


def show(frame: Frame, command: Show) -> list[dict[str, Any]]:
    """Return the rows of a table that pass the filters.

    Raises
    ------
    BadCommand
        A filter names a field that the table does not have, or compares it
        with a value of another kind.
    """
    rows = _TABLES[command.table](frame)
    return [
        row
        for row in rows
        if all(_passes(row, condition) for condition in command.filters)
    ]


def _passes(row: dict[str, Any], condition: Filter) -> bool:
    if condition.field not in row:
        raise BadCommand(
            f'There is no field {condition.field!r}',
            'Use one of: ' + ', '.join(row),
        )
    held = row[condition.field]
    if held is None:
        return condition.comparison == '!='
    try:
        return _COMPARISONS[condition.comparison](held, condition.value)
    except TypeError:
        raise BadCommand(
            f'{condition.field!r} can not be compared with {condition.value!r}',
            f'Its values look like {held!r}',
        ) from None


def _finite(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None


def _groups(frame: Frame) -> list[dict[str, Any]]:
    tables = frame.tables
    return [
        {
            'group': name,
            'primary': view.primary,
            'term': view.term,
            'writable': writable(view),
            'confirmed': _finite(
                confirmed_index(tables, name, view.primary, view.primary_term)
            ),
            'queued': len(tables.reads[name]) + len(tables.writes[name]),
            'confirming': len(tables.confirming[name]),
            'suspect': _suspicion(view),
            'takeover': view.takeover.stage.value if view.takeover else '',
        }
        for name, view in tables.group_views.items()
    ]


def _suspicion(view: GroupView) -> str:
    return '' if view.suspect_since is None else view.suspect_reason


def _lag(frame: Frame, target: Target) -> float | None:
    """Return an upper bound on the target's staleness, in seconds."""
    group_view = frame.tables.group_views[target.group]
    status = frame.tables.views[target.name].status
    if target.name == group_view.primary:
        return 0.0
    if status is None:
        return None
    return _finite(staleness_bound(group_view.history, status.held, frame.now))


def _targets(frame: Frame) -> list[dict[str, Any]]:
    tables = frame.tables
    rows = []
    for target in tables.targets.values():
        view = tables.views[target.name]
        status = view.status
        is_primary = tables.group_views[target.group].primary == target.name
        rows.append(
            {
                'target': target.name,
                'group': target.group,
                'role': 'primary' if is_primary else 'replica',
                'failure_domain': target.failure_domain,
                'available': is_available(tables, target, frame.now),
                'leaving': target.leaving,
                'lag': _lag(frame, target),
                'log_term': status.log_term if status else None,
                'index': status.index if status else None,
                'in_flight': view.in_flight,
                'free_slots': free_slots(tables, target),
                'connections': view.connection_share,
                'transactions': view.pinned,
                'latency_ms': round(view.latency_s * 1000, 3),
            }
        )
    return rows


def _proxies(frame: Frame) -> list[dict[str, Any]]:
    tables = frame.tables
    own = tables.identity
    this = {
        'proxy': own.name,
        'failure_domain': own.failure_domain,
        'address': own.caller_address,
        'draining': tables.draining,
        'version': tables.configuration_version,
        'silent': 0.0,
    }
    others = (
        {
            'proxy': peer.name,
            'failure_domain': peer.failure_domain,
            'address': peer.caller_address,
            'draining': peer.draining,
            'version': peer.configuration_version,
            'silent': round(frame.now - peer.heard_at, 3),
        }
        for peer in tables.peers.values()
    )
    return [this, *others]


def _classes(frame: Frame) -> list[dict[str, Any]]:
    return [
        {
            'class': entry.name,
            'group': entry.group,
            'mode': 'write' if entry.is_write else 'read',
            'freshness': entry.freshness_s,
            'deadline': entry.deadline_s,
            'idempotent': entry.idempotent,
            'late': entry.late_weight,
            'lost': entry.lost_weight,
            'doubled': entry.doubled_weight,
        }
        for entry in frame.tables.classes.values()
    ]


def _callers(frame: Frame) -> list[dict[str, Any]]:
    tables = frame.tables
    return [
        {
            'caller': name,
            'requests': sum(
                request.caller == name for request in tables.requests.values()
            ),
            'transactions': sum(
                transaction.caller == name
                for transaction in tables.transactions.values()
            ),
        }
        for name in tables.callers
    ]


def _vms(frame: Frame) -> list[dict[str, Any]]:
    return [vm._asdict() for vm in frame.tables.vms.values()]


def _configuration(frame: Frame) -> list[dict[str, Any]]:
    tables = frame.tables
    return [
        {
            'version': tables.configuration_version,
            'groups': len(tables.groups),
            'targets': len(tables.targets),
            'classes': len(tables.classes),
            'callers': len(tables.callers),
        }
    ]


_TABLES = {
    'groups': _groups,
    'targets': _targets,
    'proxies': _proxies,
    'classes': _classes,
    'callers': _callers,
    'configuration': _configuration,
    'vms': _vms,
}


def explain_read(
    frame: Frame, command: Explain, seen: dict[str, tuple[int, int]]
) -> list[dict[str, Any]]:
    """Return where a read of a class would go now, target by target.

    Raises
    ------
    UnknownName
        The class is not declared.
    """
    tables = frame.tables
    entry = tables.classes.get(command.request_class)
    if entry is None:
        raise UnknownName(
            f'Request class {command.request_class!r} is not declared',
            'Use one that `show classes` lists',
        )
    position = LogPosition(*seen.get(entry.group, (0, 0)))
    choice = _choice_without_effect(frame, entry, position)
    return [
        _explain_target(tables, frame.now, target, entry, position, choice)
        for target in tables.group_targets(entry.group)
    ]


def _choice_without_effect(frame: Frame, entry, position: LogPosition):
    request = Request(
        0, '', entry, None, None, position, frame.now, frame.now + 1
    )
    return choose_target(frame, request)


def _explain_target(tables, now, target, entry, position, choice):
    view = tables.views[target.name]
    group_view = tables.group_views[target.group]
    held = view.status.held if view.status else None
    is_primary = target.name == group_view.primary
    lag = staleness_bound(group_view.history, held or (0, 0), now)
    checks = {
        'does not answer or is leaving': is_available(tables, target, now),
        'does not cover the session': bool(held) and held >= position,
        'data may be too old': is_primary or lag <= entry.freshness_s,
        'has no free slot': free_slots(tables, target) > 0,
    }
    failed = [problem for problem, passed in checks.items() if not passed]
    chosen = isinstance(choice, Choice) and choice.target == target.name
    return {
        'target': target.name,
        'role': 'primary' if is_primary else 'replica',
        'chosen': chosen,
        'lag': 0.0 if is_primary else _finite(lag),
        'held': list(held) if held else None,
        'session': list(position),
        'because': choice.reason if chosen else '; '.join(failed),
    }
