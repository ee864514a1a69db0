"""End-to-end tests of requests through real processes."""

import itertools
import signal
import threading

import msgspec

from toucandeal_standins.process import wait_until
from toucandeal_standins.requests import SyncSession


def test_session_reads_its_writes_on_every_proxy_with_paused_replicas(
    cluster,
):
    session = SyncSession(cluster, 'conservators')
    assert session.book('before', proxy=0).outcome == 'served'
    for replica in cluster.replicas('reels'):
        replica.fault(paused=True)
    # Without a replica the write is not confirmed, but its session must see it.
    unconfirmed = session.book('behind', proxy=1, request_class='booking')
    assert unconfirmed.outcome == 'unknown'
    for proxy in range(4):
        count = session.read(
            'SELECT count(*) FROM booking', proxy=proxy, request_class='glance'
        )
        assert count.first_value == 2
        assert not count.body['from_replica']


def test_repeated_key_runs_once_and_gets_the_recorded_answer(cluster):
    session = SyncSession(cluster, 'conservators')
    first = session.book('once', proxy=0)
    retry = session.book('once', proxy=2)
    assert (first.outcome, retry.outcome) == ('served', 'served')
    assert retry.body['replayed'] and not first.body['replayed']
    assert first.body['results'] == retry.body['results']
    assert session.bookings('once', proxy=3) == 1


def test_key_of_a_different_request_is_rejected(cluster):
    session = SyncSession(cluster, 'conservators')
    session.book('one', proxy=0)
    other = [{'sql': 'DELETE FROM booking'}]
    reused = session.write('one', other, proxy=1)
    assert reused.outcome == 'failed'
    assert 'different request' in reused.body['database_error']
    assert session.bookings('one', proxy=0) == 1


def _ready(proxy):
    try:
        return proxy.ready()
    except OSError:
        return False


def test_planned_stop_under_load_loses_no_request(cluster):
    stopped = threading.Event()
    replies = []

    def send(worker: int) -> None:
        session = SyncSession(cluster, 'conservators')
        for number in itertools.count():
            if stopped.is_set():
                return
            replies.append(session.book(f'{worker}-{number}', proxy=0))

    threads = [
        threading.Thread(target=send, args=(number,), daemon=True)
        for number in range(4)
    ]
    for thread in threads:
        thread.start()
    wait_until(lambda: len(replies) > 20, 'load')
    proxy = cluster.proxies[0]
    proxy.process.signal(signal.SIGTERM)
    wait_until(lambda: not _ready(proxy), 'readiness off')
    served_while_draining = len(replies)
    wait_until(lambda: len(replies) > served_while_draining + 5, 'more load')
    stopped.set()
    for thread in threads:
        thread.join()
    assert proxy.process.popen.wait(30) == 0
    assert {reply.outcome for reply in replies} == {'served'}


def test_each_routing_decision_is_one_log_line(cluster):
    session = SyncSession(cluster, 'conservators')
    session.book('logged', proxy=0)
    session.read('SELECT 1', proxy=0, request_class='glance')

    def routes():
        lines = map(
            msgspec.json.decode,
            cluster.proxies[0].log.read_bytes().splitlines(),
        )
        return [
            line
            for line in lines
            if line.get('message_type') == 'toucandeal:route'
        ]

    # One line each for the schema, the booking and the read.
    wait_until(lambda: len(routes()) == 3, 'the log')
    read = routes()[-1]
    assert read['reason'] == 'replica is fresh'
    assert read['choice'] in {
        server.name for server in cluster.replicas('reels')
    }
    assert {'seen', 'held', 'candidates', 'in_flight'} <= set(read)
