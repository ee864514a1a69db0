"""The daemon's settings, validated before any file or socket is opened."""

import re
from typing import NamedTuple

from toucandeal.errors import BadSetting
from toucandeal.policies import Policies

__all__ = ['Settings', 'check_address', 'check_settings']

MIN_SECRET_CHARS = 16
MIN_HEARTBEAT_S = 0.005
MAX_HEARTBEAT_S = 10
OCTETS = 256
PORTS = 65536
_NAME = re.compile(r'[A-Za-z_][A-Za-z0-9_-]*')
_ADDRESS = re.compile(r'(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})')
_READ_POLICIES = ('bounded', 'primary_only', 'round_robin')


class Settings(NamedTuple):
    """The settings of a daemon, from flags or environment variables."""

    name: str
    failure_domain: str
    listen_callers: str
    listen_operators: str
    listen_peers: str
    platform: str
    advertise_peers: str
    routes: tuple[str, ...]
    peers: tuple[str, ...]
    token_secrets: tuple[bytes, ...]
    statsd: str
    log_file: str
    max_body_bytes: int
    stop_timeout_s: float
    policies: Policies


def check_address(flag: str, address: str) -> str:
    """Return `address` if it has the form ``IP:PORT``.

    Raises
    ------
    BadSetting
        The address does not have this form, or a number is out of range.
    """
    parts = _ADDRESS.fullmatch(address)
    octets = parts.group(1).split('.') if parts else ()
    in_range = parts and all(int(octet) < OCTETS for octet in octets)
    if not in_range or int(parts.group(2)) >= PORTS:
        raise BadSetting(
            f'{flag} has the value {address!r}',
            'Give an IP number and a port, like 10.0.0.7:6400',
        )
    return address


def check_settings(settings: Settings) -> Settings:
    """Return `settings` if they are valid.

    Raises
    ------
    BadSetting
        A setting is invalid; the message names its flag.
    """
    for flag in ('listen_callers', 'listen_operators', 'listen_peers'):
        check_address(_flag(flag), getattr(settings, flag))
    check_address('--platform', settings.platform)
    if settings.advertise_peers:
        check_address('--advertise-peers', settings.advertise_peers)
    for route in settings.routes:
        check_address('--route', route.partition('=')[2])
    for peer in settings.peers:
        check_address('--peer', peer)
    if settings.statsd:
        check_address('--statsd', settings.statsd)
    if not _NAME.fullmatch(settings.name):
        raise BadSetting(
            f'--name has the value {settings.name!r}',
            'Use letters, digits, hyphens and underscores, a letter first',
        )
    for secret in settings.token_secrets:
        if len(secret) < MIN_SECRET_CHARS:
            raise BadSetting(
                'A key in --token-keys is too short',
                f'Use at least {MIN_SECRET_CHARS} characters, the same on '
                'all proxies',
            )
    _check_policies(settings.policies)
    return settings


def _check_policies(policies: Policies) -> None:
    if not MIN_HEARTBEAT_S <= policies.heartbeat_s <= MAX_HEARTBEAT_S:
        raise BadSetting(
            f'--heartbeat-s has the value {policies.heartbeat_s:g}',
            f'Use seconds between {MIN_HEARTBEAT_S} and {MAX_HEARTBEAT_S}',
        )
    if policies.suspect_s < 2 * policies.heartbeat_s:
        raise BadSetting(
            f'--suspect-s has the value {policies.suspect_s:g}',
            'Use at least twice --heartbeat-s',
        )
    if policies.replica_reads not in _READ_POLICIES:
        raise BadSetting(
            f'--replica-reads has the value {policies.replica_reads!r}',
            'Use one of ' + ', '.join(_READ_POLICIES),
        )


def _flag(name: str) -> str:
    return '--' + name.replace('_', '-')
