"""Tests of the operators' interface and of the shared configuration."""

import json
import subprocess
import sys

import pytest

from toucandeal_standins.cluster import ATELIER, start_proxy
from toucandeal_standins.declared import declared_cluster
from toucandeal_standins.process import free_port, post, wait_until
from toucandeal_standins.requests import SyncSession, in_background

LOG_TAIL_LINES = 60  # cover the last second of a proxy
BAD_COMMANDS = [
    ('', 'Begin with one of'),
    ('shwo groups', 'Begin with one of'),
    ('show grups', 'column 6'),
    ('show targets where lag >', 'column 25'),
    ('show targets where x = 1', 'Use one of: target'),
    ('show targets where lag > yes', 'Its values look like'),
    ('set class nothing freshness 5s', 'There is no class'),
    ('set class glance freshness 5', 'column'),
    ('set class booking freshness 5s', 'A write has no freshness'),
    ('set class glance deadline 0s', 'out of range'),
    ('declare class x of nowhere read', 'There is no group'),
    ('declare group g target t at h in d slots 1 connections 4', 'column'),
    (
        'declare group g target t at 10.0.0.1:1 in d slots 0 connections 4',
        'at least 1 slot',
    ),
    (
        'declare group g target reels-1 at 10.0.0.1:1 in d slots 1 connections 4',
        'belongs to group',
    ),
    ('drain target nobody', 'There is no target'),
    ('drop group reels', 'Drop them first'),
    ('switch primary of nowhere to reels-1', 'There is no group'),
    ('switch primary of reels to nobody', 'Name one of'),
    ('explain read of class nothing', 'not declared'),
    ('explain read of class glance session "x"', 'malformed'),
]


@pytest.fixture(scope='module')
def shared():
    """Return a deployment shared by the tests of this module."""
    with declared_cluster() as running:
        yield running


def _freshness(proxy, name='glance'):
    rows = proxy.command(f'show classes where class = {name}')['rows']
    return rows[0]['freshness'] if rows else None


@pytest.mark.parametrize(('command', 'expected'), BAD_COMMANDS)
def test_invalid_command_gets_an_error_with_a_remedy(shared, command, expected):
    error = shared.proxies[0].command(command)['error']
    assert expected in f'{error["problem"]}. {error["remedy"]}'


@pytest.mark.parametrize(
    'table',
    ['groups', 'targets', 'proxies', 'classes', 'callers', 'configuration'],
)
def test_each_table_has_rows(shared, table):
    assert shared.proxies[0].command(f'show {table}')['rows']


def test_filters_select_rows(shared):
    show = shared.proxies[0].command
    assert len(show('show targets where role = replica')['rows']) == 2
    assert (
        len(show('show targets where lag < 1h and role = primary')['rows']) == 1
    )
    assert show('show targets where lag > 2h')['rows'] == []


def test_explanation_names_one_target_and_the_reasons(shared):
    rows = shared.proxies[0].command('explain read of class glance')['rows']
    assert [row['chosen'] for row in rows].count(True) == 1
    assert len(rows) == 3


def test_accepted_change_is_in_force_on_every_proxy(shared):
    answer = shared.proxies[1].command('set class glance freshness 7s')
    assert (answer['in_force'], answer['proxies']) == (4, 4)
    assert {_freshness(proxy) for proxy in shared.proxies} == {7}


def test_repeated_change_id_changes_nothing(shared):
    command = 'set class glance freshness 8s'
    first = shared.proxies[0].command(command, 'repeat')
    shared.proxies[0].command('set class glance freshness 9s')
    retry = shared.proxies[0].command(command, 'repeat')
    assert retry['version'] == first['version']
    assert _freshness(shared.proxies[0]) == 9


@pytest.mark.parametrize(
    'change_id',
    [
        'repeat?x',
        'repeat#x',
        'repeat/',
        '../row',
        'repeat x',
        'repeat\n',
        'répète',
        'x' * 101,
        'x HTTP/1.1\r\nContent-Length: 0\r\n\r\n'
        'POST /fault HTTP/1.1\r\nContent-Length: 16\r\n\r\n'
        '{"slow_ms": 200}',
    ],
)
def test_a_change_id_that_is_no_name_is_rejected(shared, change_id):
    # Guards against an id that becomes another row's key, or another request
    # to the platform.
    command = 'set class glance freshness 6s'
    answer = shared.proxies[0].command(command, change_id)
    faults = post(shared.platform_address, '/fault', {})[2]
    shared.platform_fault(slow_ms=0)
    assert faults['slow_ms'] == 0
    assert answer['error']['kind'] == 'bad_body'
    assert 'change_id' in answer['error']['problem']


def test_concurrent_changes_get_one_acceptance_and_one_conflict(shared):
    shared.platform_fault(slow_ms=100)
    pending = [
        in_background(
            lambda number=number: shared.proxies[number].command(
                f'set class glance freshness 2{number}s'
            )
        )
        for number in range(2)
    ]
    answers = [join() for join in pending]
    shared.platform_fault(slow_ms=0)
    conflicts = [
        answer['error']['kind'] for answer in answers if 'error' in answer
    ]
    accepted = [answer for answer in answers if 'version' in answer]
    assert (len(accepted), conflicts) == (1, ['conflict'])
    winner = 20 + answers.index(accepted[0])
    assert {_freshness(proxy) for proxy in shared.proxies} == {winner}


def test_lost_answer_of_the_store_is_resolved_by_reading_the_record(shared):
    before = shared.proxies[0].command('show configuration')['rows'][0]
    shared.platform_fault(lose_answers=1)
    answer = shared.proxies[0].command('set class glance freshness 31s')
    assert answer['version'] == before['version'] + 1
    assert {_freshness(proxy) for proxy in shared.proxies} == {31}


def test_change_while_the_store_is_down_changes_nothing(shared):
    shared.platform_fault(down=True)
    answer = shared.proxies[0].command('set class glance freshness 32s')
    shared.platform_fault(down=False)
    assert answer['error']['kind'] == 'store_unavailable'
    assert 'change id' in answer['error']['remedy']
    assert _freshness(shared.proxies[0]) != 32


def test_accepted_change_survives_a_store_failure_right_after(shared):
    shared.platform_fault(down_after_writes=1)
    answer = shared.proxies[0].command('set class glance freshness 41s')
    shared.platform_fault(down=False)
    assert answer['accepted'] == 'class/glance'
    wait_until(
        lambda: {_freshness(proxy) for proxy in shared.proxies} == {41},
        'the change in force',
    )


def test_duplicate_proxy_name_is_logged(shared):
    first = shared.proxies[0]
    duplicate = start_proxy(
        shared, first.name, 'd', f'127.0.0.1:{free_port()}', [first.peers]
    )
    shared.proxies.remove(duplicate)
    try:
        wait_until(
            lambda: b'is named' in first.log.read_bytes(), 'the log line'
        )
    finally:
        duplicate.process.kill()


def test_command_line_prints_tables_json_and_errors(shared):
    def run(*words):
        return subprocess.run(
            [
                sys.executable, '-m', 'toucandeal_cli.main',
                f'--proxy=127.0.0.1:{free_port()}',
                f'--proxy={shared.proxies[0].operators}', *words,
            ],
            capture_output=True, text=True, check=False,
        )  # fmt: skip

    assert 'reels-1' in run('show', 'targets').stdout
    rows = json.loads(run('--json', 'show', 'targets').stdout)['rows']
    assert len(rows) == 3
    failed = run('show', 'grups')
    assert failed.returncode == 1 and 'Write it as' in failed.stderr


def test_command_line_reports_that_no_proxy_is_reachable():
    finished = subprocess.run(
        [
            sys.executable, '-m', 'toucandeal_cli.main',
            f'--proxy=127.0.0.1:{free_port()}', 'show groups',
        ],
        capture_output=True, text=True, check=False,
    )  # fmt: skip
    assert finished.returncode == 3
    assert 'Check --proxy' in finished.stderr


def test_drained_replica_gets_no_new_work(shared):
    replica = shared.replicas('reels')[0].name
    shared.proxies[0].command(f'drain target {replica}')
    session = SyncSession(shared, 'archivists')
    used = {
        session.read('SELECT 1', proxy=number % 4, request_class='glance').body[
            'target'
        ]
        for number in range(24)
    }
    assert replica not in used
    shared.proxies[0].command(f'restore target {replica}')


def test_drained_primary_is_replaced_and_writes_continue(shared):
    primary = shared.primary('reels')
    shared.proxies[0].command(f'drain target {primary.name}')
    session = SyncSession(shared, 'conservators')
    replies = [
        session.book(f'drained-{number}', proxy=number % 4)
        for number in range(8)
    ]
    assert {reply.outcome for reply in replies} == {'served'}
    assert primary.name not in {reply.body['target'] for reply in replies}
    shared.proxies[0].command(f'restore target {primary.name}')


def test_planned_switchover_refuses_no_write(shared):
    replica = shared.replicas('reels')[0].name
    replies = []

    def write():
        session = SyncSession(shared, 'conservators')
        number = 0
        while shared.primary('reels').name != replica or number < 10:
            tag = f'switch-{number}'
            replies.append(session.book(tag, proxy=number % 4))
            number += 1

    join = in_background(write)
    wait_until(lambda: len(replies) > 5, 'writes')
    shared.proxies[0].command(f'switch primary of reels to {replica}')
    join()
    assert {reply.outcome for reply in replies} == {'served'}


def test_restarted_proxy_gets_the_newest_version_while_the_store_is_down():
    with declared_cluster() as cluster:
        cluster.proxies[0].command('set class glance freshness 11s')
        cluster.platform_fault(down=True)
        proxy = cluster.proxies[3]
        proxy.process.kill()
        proxy.process.start()
        wait_until(lambda: _freshness(proxy) == 11, 'the configuration')


def _account(cluster, reply):
    """Return a reply and the last log lines of each proxy."""
    tails = (
        f'{proxy.name}: {line}'
        for proxy in cluster.proxies
        for line in proxy.log.read_text().splitlines()[-LOG_TAIL_LINES:]
    )
    return '\n'.join((repr(reply), *tails))


def test_scarce_connections_are_used_by_few_proxies_and_all_serve():
    with declared_cluster(ATELIER._replace(connections=8)) as cluster:
        session = SyncSession(cluster, 'conservators')
        for number in range(8):
            reply = session.book(f'few-{number}', proxy=number % 4)
            assert reply.outcome == 'served', _account(cluster, reply)
            assert session.bookings(f'few-{number}', proxy=3 - number % 4) == 1
        connected = [
            proxy.command('show targets where connections > 0')['rows']
            for proxy in cluster.proxies
        ]
        assert sorted(len(rows) for rows in connected) == [0, 0, 3, 3]


def test_readiness_and_liveness(shared):
    address = shared.proxies[0].operators
    assert post(address, '/live', method='GET')[0] == 200
    assert post(address, '/ready', method='GET')[0] == 200
