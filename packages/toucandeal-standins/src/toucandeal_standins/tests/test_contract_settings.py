"""The daemon exits with status 2 and a remedy on an invalid setting."""

import socket
import subprocess
import sys

import pytest

from toucandeal_standins.process import free_port


def _flags(**changes):
    flags = {
        'name': 'p',
        'failure-domain': 'd',
        'listen-callers': f'127.0.0.1:{free_port()}',
        'listen-operators': f'127.0.0.1:{free_port()}',
        'listen-peers': f'127.0.0.1:{free_port()}',
        'platform': '127.0.0.1:1',
        'token-keys': 'k' * 16,
        **changes,
    }
    return [f'--{name}={text}' for name, text in flags.items()]


def _run(flags, environment=None):
    return subprocess.run(
        [sys.executable, '-m', 'toucandeald.main', *flags],
        capture_output=True, text=True, check=False, timeout=30,
        env=environment,
    )  # fmt: skip


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({'name': '9 lives'}, '--name has the value'),
        ({'listen-callers': 'here'}, '--listen-callers has the value'),
        ({'listen-peers': '1.2.3.400:5'}, '--listen-peers has the value'),
        ({'platform': '127.0.0.1:99999'}, '--platform has the value'),
        ({'peer': 'localhost:1'}, '--peer has the value'),
        ({'token-keys': 'short'}, 'at least 16 characters'),
        ({'heartbeat-s': '0'}, '--heartbeat-s has the value'),
        ({'suspect-s': '0.01'}, 'at least twice --heartbeat-s'),
        ({'replica-reads': 'often'}, 'Use one of bounded'),
        ({'max-body-bytes': 'many'}, 'max-body-bytes'),
        ({'statsd': 'x'}, '--statsd has the value'),
    ],
)
def test_invalid_setting_makes_the_daemon_exit(changes, expected):
    finished = _run(_flags(**changes))
    assert finished.returncode == 2
    assert expected in finished.stderr


@pytest.mark.parametrize(
    'flag', ['listen-callers', 'listen-operators', 'listen-peers']
)
def test_port_in_use_makes_the_daemon_exit(flag):
    with socket.socket() as taken:
        taken.bind(('127.0.0.1', 0))
        taken.listen()
        address = f'127.0.0.1:{taken.getsockname()[1]}'
        finished = _run(_flags(**{flag: address}))
    assert finished.returncode == 2
    assert f'--{flag} {address} can not be used' in finished.stderr


def test_settings_are_read_from_the_environment():
    environment = {'TOUCANDEALD_NAME': '9 lives'}
    finished = _run(
        [flag for flag in _flags() if not flag.startswith('--name')],
        environment,
    )
    assert finished.returncode == 2
    assert "'9 lives'" in finished.stderr
