"""Parser of the operators' command language."""

import functools
from typing import Any, NamedTuple

import lark

from toucandeal.errors import BadCommand

__all__ = [
    'HELP',
    'Command',
    'DeclareCaller',
    'DeclareClass',
    'DeclareGroup',
    'Drain',
    'Drop',
    'Explain',
    'Filter',
    'Help',
    'SetClass',
    'Show',
    'Switch',
    'parse',
]

_GRAMMAR = r"""
start: show | explain | help | declare_group | declare_class | declare_caller
     | set_class | drain | restore | drop | switch

show: "show" TABLE ["where" filter ("and" filter)*]
filter: NAME COMPARISON value
value: DURATION | NUMBER | BOOLEAN | NAME | STRING
explain: "explain" "read" "of" "class" NAME ["session" STRING]
help: "help" [WORD]

declare_group: "declare" "group" NAME target+
target: "target" NAME "at" ADDRESS "in" NAME "slots" NUMBER "connections" NUMBER
declare_class: "declare" "class" NAME "of" NAME MODE option*
option: "freshness" DURATION  -> freshness
      | "deadline" DURATION   -> deadline
      | "late" NUMBER         -> late
      | "lost" NUMBER         -> lost
      | "doubled" NUMBER      -> doubled
      | "idempotent"          -> idempotent
      | "once"                -> once
declare_caller: "declare" "caller" NAME
set_class: "set" "class" NAME option+
drain: "drain" "target" NAME
restore: "restore" "target" NAME
drop: "drop" KIND NAME
switch: "switch" "primary" "of" NAME "to" NAME

TABLE: /(groups|targets|proxies|classes|callers|configuration|vms)\b/
MODE: /(read|write)\b/
KIND: /(group|class|caller)\b/
BOOLEAN.2: /(true|false)\b/
DURATION.3: /[0-9]+(\.[0-9]+)?(ms|s|m|h)\b/
NUMBER.1: /[0-9]+(\.[0-9]+)?(?![A-Za-z0-9_.:-])/
ADDRESS.4: /[0-9.]+:[0-9]+/
COMPARISON: ">=" | "<=" | "!=" | "=" | ">" | "<"
NAME: /[A-Za-z_][A-Za-z0-9_.-]*/
WORD: /[a-z]+/
STRING: /"[^"]*"/
%ignore /\s+/
"""

HELP = {
    'show': 'show groups|targets|proxies|classes|callers|configuration|vms '
    '[where FIELD = VALUE and ...]',
    'explain': 'explain read of class NAME [session "TOKEN"]',
    'declare': 'declare group NAME target NAME at HOST:PORT in FAILURE-DOMAIN '
    'slots N connections N [target ...]\n'
    'declare class NAME of GROUP read|write [freshness 5s] [deadline 500ms] '
    '[late N] [lost N] [doubled N] [idempotent|once]\n'
    'declare caller NAME',
    'set': 'set class NAME [freshness 5s] [deadline 500ms] [late N] [lost N] '
    '[doubled N] [idempotent|once]',
    'drain': 'drain target NAME',
    'restore': 'restore target NAME',
    'drop': 'drop group|class|caller NAME',
    'switch': 'switch primary of GROUP to TARGET',
    'help': 'help [COMMAND]',
}
ERROR_EXCERPT_CHARS = 11  # quoted from the position of a syntax error
_UNITS_S = {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0}


class Filter(NamedTuple):
    """One condition on a field of a table."""

    field: str
    comparison: str
    value: Any


class Show(NamedTuple):
    """List a table."""

    table: str
    filters: tuple[Filter, ...]


class Explain(NamedTuple):
    """Explain where a read would be routed now, and why."""

    request_class: str
    session: str


class Help(NamedTuple):
    """Show the syntax of a command."""

    command: str


class DeclareGroup(NamedTuple):
    """Declare a group, or replace its declaration."""

    name: str
    targets: tuple[dict[str, Any], ...]


class DeclareClass(NamedTuple):
    """Declare a request class, or replace its declaration."""

    name: str
    group: str
    is_write: bool
    options: dict[str, Any]


class DeclareCaller(NamedTuple):
    """Declare a caller."""

    name: str


class SetClass(NamedTuple):
    """Change some options of a class."""

    name: str
    options: dict[str, Any]


class Drain(NamedTuple):
    """Mark a target as leaving, or clear the mark."""

    target: str
    leaving: bool


class Drop(NamedTuple):
    """Remove a declaration."""

    kind: str
    name: str


class Switch(NamedTuple):
    """Move a group's primary to another target."""

    group: str
    target: str


Command = (
    Show
    | Explain
    | Help
    | DeclareGroup
    | DeclareClass
    | DeclareCaller
    | SetClass
    | Drain
    | Drop
    | Switch
)


def _duration_s(text: str) -> float:
    unit = 'ms' if text.endswith('ms') else text[-1]
    return float(text.removesuffix(unit)) * _UNITS_S[unit]


class _CommandTransformer(lark.Transformer):
    """Transforms the parse tree into a command."""

    def DURATION(self, token):  # noqa: N802
        return _duration_s(token)

    def NUMBER(self, token):  # noqa: N802
        return float(token)

    def BOOLEAN(self, token):  # noqa: N802
        return token == 'true'

    def NAME(self, token):  # noqa: N802
        return str(token)

    def STRING(self, token):  # noqa: N802
        return token[1:-1]

    def start(self, children):
        return children[0]

    def value(self, children):
        return children[0]

    def filter(self, children):
        return Filter(children[0], str(children[1]), children[2])

    def show(self, children):
        filters = (child for child in children[1:] if child is not None)
        return Show(str(children[0]), tuple(filters))

    def explain(self, children):
        return Explain(children[0], children[1] or '')

    def help(self, children):
        return Help(str(children[0] or ''))

    def target(self, children):
        name, address, failure_domain, slots, connections = children
        return {
            'name': name,
            'address': str(address),
            'failure_domain': failure_domain,
            'slots': int(slots),
            'connections': int(connections),
        }

    def declare_group(self, children):
        return DeclareGroup(children[0], tuple(children[1:]))

    def declare_class(self, children):
        name, group, mode, *options = children
        return DeclareClass(name, group, mode == 'write', dict(options))

    def declare_caller(self, children):
        return DeclareCaller(*children)

    def set_class(self, children):
        return SetClass(children[0], dict(children[1:]))

    def drain(self, children):
        return Drain(children[0], leaving=True)

    def restore(self, children):
        return Drain(children[0], leaving=False)

    def drop(self, children):
        kind, name = children
        return Drop(str(kind), name)

    def switch(self, children):
        return Switch(*children)

    def freshness(self, children):
        return 'freshness_s', children[0]

    def deadline(self, children):
        return 'deadline_s', children[0]

    def late(self, children):
        return 'late_weight', children[0]

    def lost(self, children):
        return 'lost_weight', children[0]

    def doubled(self, children):
        return 'doubled_weight', children[0]

    def idempotent(self, children):
        del children
        return 'idempotent', True

    def once(self, children):
        del children
        return 'idempotent', False


@functools.cache
def _parser() -> lark.Lark:
    return lark.Lark(_GRAMMAR, parser='earley', maybe_placeholders=True)


def parse(text: str) -> Command:
    """Parse `text` into a command.

    Raises
    ------
    BadCommand
        The text is not a command; the message gives the position.

    Examples
    --------
    >>> parse('show targets where lag > 2s') == Show(
    ...     'targets', (Filter('lag', '>', 2.0),)
    ... )
    True
    >>> parse('drain target r1')
    Drain(target='r1', leaving=True)
    """
    try:
        return _CommandTransformer().transform(_parser().parse(text.strip()))
    except lark.exceptions.UnexpectedInput as error:
        raise BadCommand(*_syntax_error_message(text.strip(), error)) from None


def _syntax_error_message(text: str, error: lark.exceptions.UnexpectedInput):
    word = text.split(maxsplit=1)[0] if text else ''
    at_end = isinstance(error, lark.exceptions.UnexpectedEOF)
    column = len(text) + 1 if at_end else error.column
    problem = f'The command is not understood at column {column}'
    if not at_end:
        problem += f', near {text[column - 1 : column + ERROR_EXCERPT_CHARS]!r}'
    if word in HELP:
        usage = HELP[word].replace('\n', ' or ')
        return problem, f'Write it as: {usage}'
    return problem, 'Begin with one of: ' + ', '.join(HELP)
