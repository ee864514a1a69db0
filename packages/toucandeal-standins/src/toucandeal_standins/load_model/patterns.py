"""Deployments and load patterns, read from TOML files."""

import enum
from pathlib import Path
from typing import Any

import msgspec

from toucandeal.errors import BadSetting
from toucandeal.fleet import RouteKind

__all__ = [
    'Deployment',
    'Event',
    'EventKind',
    'Kind',
    'Pattern',
    'ProxySpec',
    'load_deployment',
    'load_pattern',
    'pattern_names',
]

PACKAGE_DIR = Path(__file__).parent


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of operation; `writes` and `transactions` are fractions."""

    name: str
    route: RouteKind
    per_s: float
    work_ms: float
    aim_ms: float
    deadline_ms: float
    timeout_ms: float
    worth: float
    late_worth: float
    priority: int
    writes: float
    transactions: float
    work_spread: float = 0.7
    work_max_ms: float = 1000
    allowance_ms: float = 1500
    attempts: int = 3


class ProxySpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A proxy, its failure domain and its relative share of the callers."""

    name: str
    failure_domain: str
    share: float


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Servers and callers; each group has one server per failure domain.

    `members` share the load in proportion to ``1 / rank ** member_exponent``.
    With `workspaces` set, each is a workspace.
    """

    name: str
    proxies: list[ProxySpec]
    groups: int
    slots: int
    server_queue: int
    connections: int
    linger_s: float
    handshake_ms: float
    replication_ms: float
    promote_ms: float
    near_ms: float
    far_ms: float
    caller_ms: float
    pause_ms: float
    members: int
    kinds: list[Kind]
    member_exponent: float = 0
    workspaces: bool = False

    @property
    def failure_domains(self) -> list[str]:
        """Return the failure domains, in the order of the proxies."""
        return list(dict.fromkeys(each.failure_domain for each in self.proxies))

    @property
    def member_shares(self) -> list[float]:
        """Return each member's share of the load."""
        weights = [
            1 / rank**self.member_exponent
            for rank in range(1, self.members + 1)
        ]
        return [weight / sum(weights) for weight in weights]


class EventKind(enum.Enum):
    """Kinds of events during a simulation."""

    BURST = 'burst'  # arrival rate times `times`, for one `member` if given
    SHIFT = 'shift'  # callers of one failure domain use the other ones
    LOSS = 'loss'  # all proxies lose power and restart afterwards
    SLOW_SERVER = 'slow server'  # one server's work takes `times` as long
    LOST_SLOTS = 'lost slots'  # one server is left with a single slot
    LAG = 'replicas lag'  # replication of the first group stops
    PROMOTION = 'promotion'  # the first group's primary stops responding


class Event(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An event; `times` is the factor that bursts and slow servers apply."""

    kind: EventKind
    at_s: float
    for_s: float = 0
    times: float = 1
    member: int = -1


class Pattern(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A deployment, the load on it, and events.

    `wave` is the relative amplitude of a sinusoidal load with a period of
    `wave_s` seconds. `domain_swing` is that of the callers of each failure
    domain, at a different time in each, with a period of `domain_swing_s`.
    Without `crossing_cost_ms` a constant factor decides which reads leave
    their domain. With `retry_delay_ms`, callers come back after that time
    instead of the one that they are told.
    """

    name: str
    deployment: str
    seconds: float
    load: float = 1
    wave: float = 0
    wave_s: float = 11
    domain_swing: float = 0
    domain_swing_s: float = 13
    crossing_cost_ms: float | None = None
    retry_delay_ms: float | None = None
    events: list[Event] = []


def pattern_names() -> list[str]:
    """Return the names of the patterns in this package."""
    return sorted(
        path.stem for path in (PACKAGE_DIR / 'patterns').glob('*.toml')
    )


def load_deployment(name: str) -> Deployment:
    """Load a deployment of this package by its name.

    Raises
    ------
    BadSetting
        The deployment does not exist, or its file is invalid.
    """
    return _load(PACKAGE_DIR / 'deployments' / f'{name}.toml', Deployment)


def load_pattern(name: str) -> Pattern:
    """Load a pattern by its name in this package or by its file's path.

    Raises
    ------
    BadSetting
        The pattern does not exist, or its file is invalid.
    """
    path = Path(name)
    if path.suffix != '.toml':
        path = PACKAGE_DIR / 'patterns' / f'{name}.toml'
    return _load(path, Pattern)


def _load(path: Path, struct_type: Any):
    try:
        return msgspec.toml.decode(path.read_bytes(), type=struct_type)
    except FileNotFoundError as error:
        raise BadSetting(
            f'there is no file {path.name!r}',
            f'name one of {", ".join(pattern_names())}, or a file',
        ) from error
    except msgspec.DecodeError as error:
        raise BadSetting(
            f'{path.name!r} is not usable: {error}',
            'compare it with the files in load_model/patterns',
        ) from error
