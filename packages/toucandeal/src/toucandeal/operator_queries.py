"""Results of the operators' `show` and `explain` commands."""

import math
import operator
from typing import Any

from toucandeal.command_language import Explain, Filter, Show
from toucandeal.entities import Request, Target
from toucandeal.errors import BadCommand, UnknownName
from toucandeal.evidence import confirmed_index, writable
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
    """Return the rows of a table that match the filters.

    Raises
    ------
    BadCommand
        A filter names a field that the table does not have, or compares a
        field with a value of another type.
    """
    rows = _TABLES[command.table](frame)
    return [
        row
        for row in rows
        if all(_matches(row, condition) for condition in command.filters)
    ]


def _matches(row: dict[str, Any], condition: Filter) -> bool:
    if condition.field not in row:
        raise BadCommand(
            f'There is no field {condition.field!r}',
            'Use one of: ' + ', '.join(row),
        )
    value = row[condition.field]
    if value is None:
        return condition.comparison == '!='
    wanted = condition.value
    if isinstance(value, str) and isinstance(wanted, bool):
        wanted = str(wanted).lower()  # a name that is one of these words
    try:
        return _COMPARISONS[condition.comparison](value, wanted)
    except TypeError:
        raise BadCommand(
            f'{condition.field!r} cannot be compared with {condition.value!r}',
            f'Its values look like {value!r}',
        ) from None


def _rounded_or_none(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None


def _groups(frame: Frame) -> list[dict[str, Any]]:
    tables = frame.tables
    return [
        {
            'group': name,
            'primary': view.primary,
            'term': view.term,
            'writable': writable(view),
            'confirmed': _rounded_or_none(
                confirmed_index(tables, name, view.primary, view.primary_term)
            ),
            'queued': len(tables.reads[name]) + len(tables.writes[name]),
            'confirming': len(tables.confirming[name]),
            'suspect': _suspect_reason(view),
            'takeover': view.takeover.stage.value if view.takeover else '',
        }
        for name, view in tables.group_views.items()
    ]


def _suspect_reason(view: GroupView) -> str:
    return '' if view.suspect_since is None else view.suspect_reason


def _lag_s(frame: Frame, target: Target) -> float | None:
    """Return an upper bound on the target's staleness, in seconds."""
    group_view = frame.tables.group_views[target.group]
    status = frame.tables.views[target.name].status
    if target.name == group_view.primary:
        return 0.0
    if status is None:
        return None
    return _rounded_or_none(
        staleness_bound(group_view.history, status.held, frame.now)
    )


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
                'lag': _lag_s(frame, target),
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
    own_row = {
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
    return [own_row, *others]


def _classes(frame: Frame) -> list[dict[str, Any]]:
    return [
        {
            'class': request_class.name,
            'group': request_class.group,
            'mode': 'write' if request_class.is_write else 'read',
            'freshness': request_class.freshness_s,
            'deadline': request_class.deadline_s,
            'idempotent': request_class.idempotent,
            'late': request_class.late_weight,
            'lost': request_class.lost_weight,
            'doubled': request_class.doubled_weight,
        }
        for request_class in frame.tables.classes.values()
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
    """Return where a read of a class would be routed now, for each target.

    Raises
    ------
    UnknownName
        The class is not declared.
    """
    tables = frame.tables
    request_class = tables.classes.get(command.request_class)
    if request_class is None:
        raise UnknownName(
            f'Request class {command.request_class!r} is not declared',
            'Use one that `show classes` lists',
        )
    position = LogPosition(*seen.get(request_class.group, (0, 0)))
    choice = _choose_for_read(frame, request_class, position)
    return [
        _explain_target(
            tables, frame.now, target, request_class, position, choice
        )
        for target in tables.group_targets(request_class.group)
    ]


def _choose_for_read(frame: Frame, request_class, position: LogPosition):
    request = Request(
        0, '', request_class, None, None, position, frame.now, frame.now + 1
    )
    return choose_target(frame, request)


def _explain_target(tables, now, target, request_class, position, choice):
    view = tables.views[target.name]
    group_view = tables.group_views[target.group]
    held = view.status.held if view.status else None
    is_primary = target.name == group_view.primary
    lag = staleness_bound(group_view.history, held or (0, 0), now)
    checks = {
        'does not answer or is leaving': is_available(tables, target, now),
        'does not cover the session': bool(held) and held >= position,
        'data may be too old': is_primary or lag <= request_class.freshness_s,
        'has no free slot': free_slots(tables, target) > 0,
    }
    failed = [problem for problem, passed in checks.items() if not passed]
    chosen = isinstance(choice, Choice) and choice.target == target.name
    return {
        'target': target.name,
        'role': 'primary' if is_primary else 'replica',
        'chosen': chosen,
        'lag': 0.0 if is_primary else _rounded_or_none(lag),
        'held': list(held) if held else None,
        'session': list(position),
        'because': choice.reason if chosen else '; '.join(failed),
    }
