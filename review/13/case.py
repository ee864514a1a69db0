"""The operator removes the last tenants from the configuration.

Two tenants have a key each. Version 3 has no tenant any more. A session with a
removed key, a new session with a removed key, and one with a key that no
configuration ever held go on, `revokeMs` and more after the acknowledgement.

TROUBLE=0: version 3 keeps one of the tenants, whose key is not used here.
TROUBLE=keys: version 3 keeps both tenants, without keys.
"""

import os
import pathlib
import sys
import time
import zlib

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness-3'))

from deployment import Session, deployment  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1')
REVOKE_S = 5.0
WATCHED_S = 4.0
ROUTES = {'bookings': 'primary', 'glances': 'bounded_staleness'}
TENANTS = [
    {'name': 'north', 'apiKeys': ['key-north']},
    {'name': 'south', 'apiKeys': ['key-south']},
]


def configuration(version: int, tenants: list[dict]) -> dict:
    return {
        'version': version,
        'routes': [
            {
                'name': f'r-{host}',
                'host': host,
                'pathPrefix': '/',
                'routeType': kind,
                'timeoutMs': 800,
                'targetLatencyMs': 200,
                'priority': 1,
                'backend': 'reels',
                'maxAttempts': 2,
                'maxStalenessMs': 1500,
                'public': False,
            }
            for host, kind in ROUTES.items()
        ],
        'backends': [
            {
                'name': 'reels',
                'healthPath': '/health',
                'maxConns': 50,
                'protocol': 'h1',
                'tls': False,
                'syncReplicas': 0,
            }
        ],
        'tenants': tenants,
        'limits': {'txIdleMs': 3000},
    }


def last_tenants() -> list[dict]:
    if TROUBLE == '0':
        return TENANTS[1:]
    if TROUBLE == 'keys':
        return [{**tenant, 'apiKeys': []} for tenant in TENANTS]
    return []


def main(folder: pathlib.Path) -> int:
    record: list = []
    with deployment(folder) as fleet:
        fleet.start_standins(
            'harness-3/standins_with_slots.py', 50, SLOTS='3', WORK_MS='4.5'
        )
        fleet.put_configuration(configuration(2, TENANTS))
        for name in ('p1', 'p2'):
            fleet.start_proxy(name)
        fleet.wait_ready('p1', 'p2')
        time.sleep(3.0)
        kept = Session(fleet.front('p1'), 'bookings', 'key-north')
        unknown = Session(fleet.front('p2'), 'bookings', 'key-never-held')
        before = [
            kept.query('a' * 16, 'WRITE 1a4 before'),
            unknown.opened or 'closed',
        ]
        accepted_at = fleet.put_configuration(
            configuration(3, last_tenants())
        )
        time.sleep(REVOKE_S + 0.5)
        number = 0
        until = time.monotonic() + WATCHED_S
        while time.monotonic() < until:
            number += 1
            _use(record, accepted_at, 'connected, removed', kept, number)
            for address, key, what in (
                (fleet.front('p1'), 'key-north', 'new session, removed'),
                (fleet.front('p2'), 'key-never-held', 'never held'),
            ):
                session = Session(address, 'bookings', key)
                _use(record, accepted_at, what, session, number)
                session.close()
            time.sleep(0.2)
        ran = {
            line.split(' ')[0]: (user, server)
            for server, state in fleet.command('/state', {})['servers'].items()
            for (line, (_, user)) in zip(
                state['ran'], state['ran_as'], strict=True
            )
        }
    return report(record, ran, before)


def _use(record, accepted_at, what, session, number) -> None:
    identity = f'{number:08x}{zlib.crc32(what.encode()):08x}'
    sent_at = time.monotonic()
    try:
        answer = session.query(identity, f'WRITE 1a4 d{number}')
    except OSError:
        answer = None
    record.append((identity, what, sent_at - accepted_at, answer))


def report(record, ran, before) -> int:
    wrong = [each for each in record if each[0] in ran]
    lines = [
        f'{identity} key {what}: sent {after_s:.3f} s after the acknowledgement, '
        + (
            f'ran at {ran[identity][1]} for {ran[identity][0]!r}'
            if identity in ran
            else 'did not run'
        )
        + f', answer {answer and answer[-2:]}'
        for identity, what, after_s, answer in record
    ]
    summary = [
        f'TROUBLE={TROUBLE}; before: write with key-north {before[0]}, '
        f'session with key-never-held {before[1]}',
        f'{len(record)} statements sent later than revokeMs, with keys that '
        f'no configuration in force holds; {len(wrong)} of them ran',
    ]
    (FOLDER / 'record.txt').write_text('\n'.join([*summary, *lines]) + '\n')
    print('\n'.join(summary))
    if before[0] is None or not before[0][-2].startswith('COMPLETE'):
        return 2
    return 1 if wrong else 0


if __name__ == '__main__':
    try:
        status = main(pathlib.Path(sys.argv[1]))
    except Exception as error:  # noqa: BLE001
        print(f'the case could not run: {error!r}')
        status = 2
    sys.exit(status)
