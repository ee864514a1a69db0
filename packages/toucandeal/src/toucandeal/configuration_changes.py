"""Planning of configuration changes from operator commands."""

from typing import Any, NamedTuple

from toucandeal.command_language import (
    DeclareCaller,
    DeclareClass,
    DeclareGroup,
    Drain,
    Drop,
    SetClass,
)
from toucandeal.configuration import Configuration, check_document
from toucandeal.errors import BadCommand, UnknownName

__all__ = ['Change', 'plan_change']

CLASS_DEFAULTS = {
    'freshness_s': 0.0,
    'idempotent': False,
    'deadline_s': 1.0,
    'late_weight': 1.0,
    'lost_weight': 1.0,
    'doubled_weight': 1.0,
}
MAX_DEADLINE_S = 60.0


class Change(NamedTuple):
    """A row's new value; `read_version` is the version that was read."""

    key: str
    read_version: int
    value: dict[str, Any] | None


def plan_change(configuration: Configuration, command: Any) -> Change:
    """Return the change that `command` makes.

    Raises
    ------
    BadCommand
        The command does not apply to the current configuration.
    UnknownName
        The command names something that is not declared.
    """
    key, value = _PLAN_FUNCTIONS[type(command)](configuration, command)
    if value is not None:
        check_document(key, value)
    row = configuration.rows.get(key)
    return Change(key, row.version if row else 0, value)


def _declared_value(configuration: Configuration, kind: str, name: str) -> dict:
    row = configuration.rows.get(f'{kind}/{name}')
    if row is None or row.value is None:
        plural = 'classes' if kind == 'class' else f'{kind}s'
        raise UnknownName(
            f'There is no {kind} {name!r}',
            f'Use one that `show {plural}` lists, or declare it',
        )
    return row.value


def _groups(configuration: Configuration) -> dict[str, dict]:
    return {
        key.partition('/')[2]: row.value
        for key, row in configuration.rows.items()
        if key.startswith('group/') and row.value is not None
    }


def _group_of_target(configuration: Configuration, target: str) -> str | None:
    return next(
        (
            group
            for group, value in _groups(configuration).items()
            if any(entry['name'] == target for entry in value['targets'])
        ),
        None,
    )


def _declare_group(configuration: Configuration, command: DeclareGroup):
    names = [target['name'] for target in command.targets]
    if len(set(names)) < len(names):
        raise BadCommand('Two targets have the same name', 'Use each name once')
    for target in command.targets:
        owning_group = _group_of_target(configuration, target['name'])
        if owning_group not in {None, command.name}:
            raise BadCommand(
                f'Target {target["name"]!r} belongs to group {owning_group!r}',
                'Choose another name',
            )
        if target['slots'] < 1 or target['connections'] < 2:
            raise BadCommand(
                f'Target {target["name"]!r} has too few slots or connections',
                'Give it at least 1 slot and 2 connections',
            )
    return f'group/{command.name}', {'targets': list(command.targets)}


def _check_class(value: dict[str, Any]) -> dict[str, Any]:
    if not 0 < value['deadline_s'] <= MAX_DEADLINE_S:
        raise BadCommand(
            f'A deadline of {value["deadline_s"]:g} s is out of range',
            f'Use more than 0 s and at most {MAX_DEADLINE_S:g} s',
        )
    if value['is_write'] and value['freshness_s']:
        raise BadCommand(
            'A write has no freshness', 'Omit it, or declare a read'
        )
    return value


def _declare_class(configuration: Configuration, command: DeclareClass):
    _declared_value(configuration, 'group', command.group)
    value = {
        'group': command.group,
        'is_write': command.is_write,
        **CLASS_DEFAULTS,
        **command.options,
    }
    return f'class/{command.name}', _check_class(value)


def _declare_caller(configuration: Configuration, command: DeclareCaller):
    del configuration
    return f'caller/{command.name}', {}


def _set_class(configuration: Configuration, command: SetClass):
    value = _declared_value(configuration, 'class', command.name)
    changed = {**value, **command.options}
    return f'class/{command.name}', _check_class(changed)


def _drain(configuration: Configuration, command: Drain):
    group = _group_of_target(configuration, command.target)
    if group is None:
        raise UnknownName(
            f'There is no target {command.target!r}',
            'Use one that `show targets` lists',
        )
    targets = [
        {**target, 'leaving': command.leaving}
        if target['name'] == command.target
        else target
        for target in _declared_value(configuration, 'group', group)['targets']
    ]
    return f'group/{group}', {'targets': targets}


def _drop(configuration: Configuration, command: Drop):
    _declared_value(configuration, command.kind, command.name)
    dependent_classes = [
        key.partition('/')[2]
        for key, row in configuration.rows.items()
        if key.startswith('class/')
        and row.value is not None
        and row.value['group'] == command.name
    ]
    if command.kind == 'group' and dependent_classes:
        raise BadCommand(
            f'Group {command.name!r} is used by classes',
            'Drop them first: ' + ', '.join(dependent_classes),
        )
    return f'{command.kind}/{command.name}', None


_PLAN_FUNCTIONS = {
    DeclareGroup: _declare_group,
    DeclareClass: _declare_class,
    DeclareCaller: _declare_caller,
    SetClass: _set_class,
    Drain: _drain,
    Drop: _drop,
}
