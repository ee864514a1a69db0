"""Tests of the target adapter against a target that answers incorrectly."""

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


def _wrong_request_id(connection, raw):
    return {**_ran(connection, raw), 'request_id': 'of another request'}


def _connection_closed(connection, raw):
    connection.drop()


def _no_answer(connection, raw):
    return defer.Deferred()


def _answer_after_deadline(connection, raw):
    """Answer after the request's deadline, but within the grace period."""
    answer = defer.Deferred()
    reactor.callLater(0.5, answer.callback, _ran(connection, raw))
    return answer


def _truncated_answer(connection, raw):
    connection.transport.write(
        b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"request_id"'
    )
    connection.transport.loseConnection()


def _duplicate_answer(connection, raw):
    reply = msgspec.json.encode(_ran(connection, raw))
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(reply)
    connection.transport.write((head + reply) * 2)


def _not_http(connection, raw):
    connection.transport.write(b'whatever\r\n\r\n')


def _not_json(connection, raw):
    return 'text'


def _refused(connection, raw):
    return {**_ran(connection, raw), 'status': 'refused', 'reason': 'term'}


def _failed(connection, raw):
    return {**_ran(connection, raw), 'status': 'failed', 'error': 'no table'}


def _http_error(connection, raw):
    raise HttpError(400, 'broken')


def _too_many_connections(connection, raw):
    raise HttpError(503, 'too many connections')


CASES = [
    (_ran, Executed),
    (_wrong_request_id, Lost),
    (_connection_closed, Lost),
    (_no_answer, Lost),
    (_answer_after_deadline, Executed),
    (_truncated_answer, Lost),
    (_duplicate_answer, Executed),
    (_not_http, Lost),
    (_not_json, Lost),
    (_refused, TargetRefused),
    (_failed, DatabaseFailed),
    (_http_error, Lost),
    (_too_many_connections, TargetRefused),
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
    """Run a request against `behaviour`, then one that succeeds.

    Returns both outcomes, and whether they used the same connection.
    """
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
    timeout_s = (
        0.2 if behaviour in {_no_answer, _answer_after_deadline} else WAIT_S
    )
    first = yield targets.execute(_request(timeout_s), 't', 3)
    second = yield targets.execute(_request(WAIT_S), 't', 3)
    targets.pool('t', '').close()
    yield port.stopListening()
    return first, second, len(set(connections)) == 1


def _in_reactor(function, *arguments):
    """Run the reactor until `function` completes; it can run only once."""
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
def test_faulty_answer_is_classified_and_does_not_affect_the_next_request(
    outcomes, number
):
    first, second, _ = outcomes[number]
    assert type(first) is CASES[number][1]
    assert isinstance(second, Executed)


@pytest.mark.parametrize(
    'behaviour',
    [
        _ran,
        _answer_after_deadline,
        _failed,
        _duplicate_answer,
        _wrong_request_id,
    ],
)
def test_connection_is_reused_only_after_exactly_one_matching_answer(
    outcomes, behaviour
):
    number = [case[0] for case in CASES].index(behaviour)
    assert outcomes[number][2] == (
        behaviour in {_ran, _answer_after_deadline, _failed}
    )
