"""The targets' interface: the adapter against a target that misbehaves."""

import msgspec
import pytest
from twisted.internet import defer, reactor

from toucandeal.entities import Request, RequestClass
from toucandeal.positions import NOTHING_SEEN
from toucandeal.request_keys import Statement
from toucandeal.results import DatabaseFailed, Executed, Lost, TargetRefused
from toucandeal_standins.http_server import HttpError, serve
from toucandeald.steady_clock import steady_seconds
from toucandeald.targets import Targets

STATUS = {
    'is_primary': True,
    'term': 3,
    'log_term': 3,
    'index': 9,
    'upstream_age_s': 0,
}
WAIT_S = 20


def _body(raw):
    return msgspec.json.decode(raw)


def _ran(connection, raw):
    return {
        'request_id': _body(raw)['request_id'],
        'status': 'ran',
        'results': [{'rows': [[1]]}],
        **STATUS,
    }


def _crossed(connection, raw):
    return {**_ran(connection, raw), 'request_id': 'of another request'}


def _cut(connection, raw):
    connection.drop()


def _silent(connection, raw):
    return defer.Deferred()


def _late(connection, raw):
    """Answer after the request's deadline, but within the grace."""
    answer = defer.Deferred()
    reactor.callLater(0.5, answer.callback, _ran(connection, raw))
    return answer


def _half(connection, raw):
    connection.transport.write(
        b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"request_id"'
    )
    connection.transport.loseConnection()


def _twice(connection, raw):
    reply = msgspec.json.encode(_ran(connection, raw))
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(reply)
    connection.transport.write((head + reply) * 2)


def _no_http(connection, raw):
    connection.transport.write(b'whatever\r\n\r\n')


def _not_json(connection, raw):
    return 'text'


def _refused(connection, raw):
    return {**_ran(connection, raw), 'status': 'refused', 'reason': 'term'}


def _failed(connection, raw):
    return {**_ran(connection, raw), 'status': 'failed', 'error': 'no table'}


def _error(connection, raw):
    raise HttpError(400, 'broken')


def _busy(connection, raw):
    raise HttpError(503, 'too many connections')


CASES = [
    (_ran, Executed),
    (_crossed, Lost),
    (_cut, Lost),
    (_silent, Lost),
    (_late, Executed),
    (_half, Lost),
    (_twice, Executed),
    (_no_http, Lost),
    (_not_json, Lost),
    (_refused, TargetRefused),
    (_failed, DatabaseFailed),
    (_error, Lost),
    (_busy, TargetRefused),
]


def _request(timeout_s):
    request_class = RequestClass('c', 'g', is_write=True)
    now = steady_seconds()
    return Request(
        1, 'one', request_class, None, (Statement('x'),), NOTHING_SEEN,
        now, now + timeout_s,
    )  # fmt: skip


@defer.inlineCallbacks
def _execute(behaviour):
    """Run one request, then a good one; return what became of both."""
    behaviours = [behaviour, _ran]
    connections = []

    def handle(connection, method, path, raw):
        if path == '/status':
            return STATUS
        connections.append(connection)
        return behaviours.pop(0)(connection, raw)

    port = yield serve(reactor, 0, handle)
    targets = Targets(reactor, steady_seconds, {})
    targets.resize('t', f'127.0.0.1:{port.getHost().port}', 1)
    timeout_s = 0.2 if behaviour in {_silent, _late} else WAIT_S
    first = yield targets.execute(_request(timeout_s), 't', 3)
    second = yield targets.execute(_request(WAIT_S), 't', 3)
    targets.pool('t', '').close()
    yield port.stopListening()
    return first, second, len(set(connections)) == 1


def _in_reactor(function, *arguments):
    """Run in a reactor of a process of its own, which can run only once."""
    results = []

    def start():
        answer = function(*arguments)
        answer.addBoth(results.append)
        answer.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    return results[0]


@defer.inlineCallbacks
def _run_all():
    outcomes = []
    for behaviour, _ in CASES:
        outcome = yield _execute(behaviour)
        outcomes.append(outcome)
    return outcomes


@pytest.fixture(scope='module')
def outcomes():
    """Return the outcomes of all cases, from one run of the reactor."""
    return _in_reactor(_run_all)


@pytest.mark.parametrize('number', range(len(CASES)))
def test_misbehaviour_is_told_apart_and_never_reaches_the_next(
    outcomes, number
):
    first, second, _ = outcomes[number]
    assert type(first) is CASES[number][1]
    assert isinstance(second, Executed)


@pytest.mark.parametrize('behaviour', [_ran, _late, _failed, _twice, _crossed])
def test_connection_is_used_again_only_after_one_own_answer(
    outcomes, behaviour
):
    number = [case[0] for case in CASES].index(behaviour)
    assert outcomes[number][2] == (behaviour in {_ran, _late, _failed})
