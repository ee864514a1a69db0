"""Tests of the callers' interface: errors, transactions and request keys."""

import base64
import itertools
import signal

import msgspec
import pytest

from toucandeal.sessions import Session, encode_token
from toucandeal_standins.cluster import TOKEN_KEYS
from toucandeal_standins.declared import declared_cluster
from toucandeal_standins.process import post
from toucandeal_standins.requests import SyncSession

VALID = {
    'caller': 'archivists',
    'class': 'glance',
    'statements': [{'sql': 'SELECT 1'}],
}
WRITE = {'caller': 'conservators', 'class': 'booking'}
OTHER_CALLERS_TOKEN = encode_token(Session('colourists'), TOKEN_KEYS.encode())
FORGED_TOKEN = encode_token(Session('archivists'), b'a key of somebody else')
SHORT_TOKEN = base64.urlsafe_b64encode(b'short').decode()
# With ends of lines, and characters that some programs take for one.
ODD_TEXTS = (
    ' a ',
    'a  b',
    'a\r\nb',
    'a\tb\x0b\x85\u2028',
    '{"sql": "x"}\\',
    '%20%s ?',
    'é漢😀\ufeff',
    '\r\n\r\nPOST /fence HTTP/1.1\r\n\r\n',
)
NUMBERS = itertools.count(2**53 + 1)
STATEMENTS = '/v1/statements'
TRANSACTIONS = '/v1/transactions'


def _with_sql(sql):
    return {**VALID, 'statements': [{'sql': sql}]}


def _with_parameter(parameter):
    statement = {'sql': 'SELECT ?', 'parameters': [parameter]}
    return {**VALID, 'statements': [statement]}


BAD_REQUESTS = [
    ('not JSON', STATEMENTS, b'{', '', 400, 'bad_body'),
    ('not UTF-8', STATEMENTS, b'"\xff"', '', 400, 'bad_body'),
    ('a list', STATEMENTS, [], '', 400, 'bad_body'),
    ('no caller', STATEMENTS, {'class': 'glance'}, '', 400, 'bad_body'),
    ('extra field', STATEMENTS, {**VALID, 'x': 1}, '', 400, 'bad_body'),
    ('no statements', STATEMENTS, {**VALID, 'statements': []}, '', 400, 'bad_body'),
    ('deadline', STATEMENTS, {**VALID, 'deadline_ms': -1}, '', 400, 'bad_body'),
    ('empty key', STATEMENTS, {**VALID, 'key': ''}, '', 400, 'bad_body'),
    ('long key', STATEMENTS, {**VALID, 'key': 'k' * 201}, '', 400, 'bad_body'),
    ('caller', STATEMENTS, {**VALID, 'caller': 'x'}, '', 404, 'unknown_name'),
    ('class', STATEMENTS, {**VALID, 'class': 'x'}, '', 404, 'unknown_name'),
    ('no key', STATEMENTS, {**WRITE, **_with_sql('x'), **WRITE}, '', 400, 'bad_body'),
    ('commit', STATEMENTS, _with_sql('-- x\n COMMIT'), '', 400, 'bad_body'),
    ('commit behind ;', STATEMENTS, _with_sql(';COMMIT'), '', 400, 'bad_body'),
    ('list as parameter', STATEMENTS, _with_parameter([1]), '', 400, 'bad_body'),
    ('65 bits', STATEMENTS, _with_parameter(1 << 64), '', 400, 'bad_body'),
    ('64 bits unsigned', STATEMENTS, _with_parameter(1 << 63), '', 400, 'bad_body'),
    ('begin', STATEMENTS, _with_sql('begin'), '', 400, 'bad_body'),
    ('own table', STATEMENTS, _with_sql('TABLE toucandeal_request'), '', 400, 'bad_body'),
    ('large', STATEMENTS, _with_sql('x' * (1 << 20)), '', 413, 'body_too_large'),
    ('no token', STATEMENTS, VALID, 'not base64!', 401, 'bad_token'),
    ('short token', STATEMENTS, VALID, SHORT_TOKEN, 401, 'bad_token'),
    ('long token', STATEMENTS, VALID, 'A' * 9000, 401, 'bad_token'),
    ('forged token', STATEMENTS, VALID, FORGED_TOKEN, 401, 'bad_token'),
    ('foreign token', STATEMENTS, VALID, OTHER_CALLERS_TOKEN, 401, 'bad_token'),
    ('path', '/v2/x', VALID, '', 400, 'bad_body'),
    ('begin read', TRANSACTIONS, {**VALID, 'statements': []}, '', 400, 'bad_body'),
    (
        'transaction', f'{TRANSACTIONS}/proxy-1.9.x/commit',
        {'caller': 'archivists'}, '', 404, 'unknown_transaction',
    ),
    (
        'proxy gone', f'{TRANSACTIONS}/proxy-9.9.x/commit',
        {'caller': 'archivists'}, '', 404, 'unknown_transaction',
    ),
]  # fmt: skip


@pytest.fixture(scope='module')
def shared():
    """Return a deployment shared by the tests of this module."""
    with declared_cluster() as running:
        yield running


@pytest.mark.parametrize(
    ('path', 'body', 'token', 'status', 'kind'),
    [case[1:] for case in BAD_REQUESTS],
    ids=[case[0] for case in BAD_REQUESTS],
)
def test_invalid_request_gets_an_error_with_a_remedy(
    shared, path, body, token, status, kind
):
    address = shared.proxies[0].callers
    headers = {'Toucandeal-Session': token} if token else {}
    got, _, answer = post(address, path, body, headers)
    assert (got, answer['error']['kind']) == (status, kind)
    assert answer['error']['problem'] and answer['error']['remedy']
    # The daemon still serves valid requests.
    assert post(address, STATEMENTS, VALID)[0] == 200


@pytest.mark.parametrize('number', [1 << 63, 1 << 64, -(1 << 80)])
def test_a_keyed_write_with_a_large_number_delays_no_other_caller(
    shared, number
):
    # Guards against an exception that keeps the slot of its request and ends
    # the polls of the targets, so that one caller stops the whole proxy.
    body = {**WRITE, 'key': f'large {number}'}
    statement = {'sql': 'SELECT ?', 'parameters': [number]}
    address = shared.proxies[1].callers
    status, _, answer = post(
        address, STATEMENTS, {**body, 'statements': [statement]}
    )
    session = SyncSession(shared, 'conservators')
    following = session.write(f'after {number}', [{'sql': 'SELECT 1'}], proxy=1)
    assert following.outcome == 'served'
    assert (status, answer['error']['kind']) == (400, 'bad_body')


def test_each_request_gets_its_own_complete_answer(shared):
    session = SyncSession(shared, 'archivists')
    for number in range(50):
        text = f'{number}-' + 'x' * number * 997
        reply = session.read(f"SELECT '{text}'", proxy=number % 4)
        assert reply.first_value == text


def _arrived(cluster, sql):
    """Return the parameters of each statement that arrived with a text."""
    arrived = []
    for server in itertools.chain(*cluster.groups.values()):
        executions = server.executions()
        assert not executions['malformed']
        arrived += [
            parameters
            for _, text, parameters in executions['executions']
            if text == sql
        ]
    return arrived


@pytest.mark.parametrize('odd', ODD_TEXTS)
@pytest.mark.parametrize('in_transaction', [False, True])
def test_statements_and_parameters_arrive_as_they_were_sent(
    shared, odd, in_transaction
):
    # Guards against text of a caller that becomes another one on its way.
    session = SyncSession(shared, 'conservators')
    number = next(NUMBERS)
    sql = f"SELECT ?, ?, '{odd}' /* {number} {odd} */ "
    parameters = [odd, number]
    body = {**WRITE, 'key': f'odd {number} {odd}'}
    statements = [{'sql': sql, 'parameters': parameters}]
    path = STATEMENTS
    if in_transaction:
        begun = session.post(0, TRANSACTIONS, body)
        path = f'{TRANSACTIONS}/{begun.body["transaction"]}'
        body = {'caller': 'conservators'}
    reply = session.post(
        0,
        f'{path}/statements' if in_transaction else path,
        {**body, 'statements': statements},
    )
    assert reply.body['results'][0]['rows'] == [[odd, number, odd]]
    if in_transaction:
        assert session.post(0, f'{path}/commit', body).outcome == 'served'
    assert _arrived(shared, sql) == [parameters]


def test_failed_statement_rolls_back_its_request(shared):
    session = SyncSession(shared, 'conservators')
    statements = [
        {'sql': "INSERT INTO booking VALUES ('half', 1)"},
        {'sql': 'INSERT INTO nowhere VALUES (1)'},
    ]
    reply = session.write('half', statements, proxy=0)
    assert (reply.status, reply.outcome) == (422, 'failed')
    assert 'nowhere' in reply.body['database_error']
    assert session.bookings('half', proxy=1) == 0


def test_read_class_cannot_write(shared):
    session = SyncSession(shared, 'archivists')
    reply = session.read("INSERT INTO booking VALUES ('x', 1)", proxy=0)
    assert reply.outcome == 'failed'


class Transaction:
    """A transaction whose requests may go through any proxy."""

    def __init__(self, session, key, *, proxy):
        self.session = session
        self.begin_reply = session.post(
            proxy, TRANSACTIONS,
            {'caller': session.caller, 'class': 'slow', 'key': key},
        )  # fmt: skip
        self.transaction_id = self.begin_reply.body.get('transaction')

    def run(self, sql, *, proxy):
        return self._post('statements', proxy, statements=[{'sql': sql}])

    def end(self, word, *, proxy):
        return self._post(word, proxy)

    def _post(self, word, proxy, **fields):
        path = f'{TRANSACTIONS}/{self.transaction_id}/{word}'
        body = {'caller': self.session.caller, **fields}
        return self.session.post(proxy, path, body)


def test_transaction_roams_and_is_visible_only_after_commit(shared):
    session = SyncSession(shared, 'conservators')
    transaction = Transaction(session, 'roam', proxy=0)
    insert = "INSERT INTO booking VALUES ('roam', 1)"
    assert transaction.run(insert, proxy=2).outcome == 'served'
    count = "SELECT count(*) FROM booking WHERE tag = 'roam'"
    assert transaction.run(count, proxy=3).first_value == 1
    other = SyncSession(shared, 'archivists')
    assert other.bookings('roam', proxy=0) == 0
    assert transaction.end('commit', proxy=1).outcome == 'served'
    assert session.bookings('roam', proxy=2) == 1


def test_retry_of_a_committed_transaction_is_replayed(shared):
    session = SyncSession(shared, 'conservators')
    first = Transaction(session, 'twice', proxy=0)
    first.run("INSERT INTO booking VALUES ('twice', 1)", proxy=0)
    first.end('commit', proxy=0)
    retry = Transaction(session, 'twice', proxy=1)
    assert retry.begin_reply.body['replayed'] and retry.transaction_id is None
    assert session.bookings('twice', proxy=1) == 1


def test_rolled_back_transaction_releases_its_key(shared):
    session = SyncSession(shared, 'conservators')
    first = Transaction(session, 'back', proxy=0)
    first.run("INSERT INTO booking VALUES ('back', 1)", proxy=0)
    assert first.end('rollback', proxy=0).outcome == 'served'
    assert session.bookings('back', proxy=1) == 0
    retry = Transaction(session, 'back', proxy=1)
    retry.run("INSERT INTO booking VALUES ('back', 1)", proxy=1)
    retry.end('commit', proxy=1)
    assert session.bookings('back', proxy=2) == 1


def test_transactions_are_isolated_from_each_other(shared):
    sessions = [SyncSession(shared, 'conservators') for _ in range(2)]
    rolled_back = Transaction(sessions[0], 'mix-0', proxy=0)
    rolled_back.run("INSERT INTO booking VALUES ('mix-0', 1)", proxy=0)
    other = SyncSession(shared, 'colourists')
    intruding = Transaction(other, 'mix-1', proxy=1)
    # A caller cannot use another caller's transaction.
    intruding.transaction_id = rolled_back.transaction_id
    insert = "INSERT INTO booking VALUES ('stolen', 1)"
    assert intruding.run(insert, proxy=0).outcome == 'unknown_transaction'
    rolled_back.end('rollback', proxy=0)
    assert sessions[1].bookings('stolen', proxy=0) == 0
    assert sessions[1].bookings('mix-0', proxy=0) == 0


def test_commit_through_a_failing_proxy_is_unknown_until_retried():
    with declared_cluster() as cluster:
        session = SyncSession(cluster, 'conservators')
        transaction = Transaction(session, 'dies', proxy=0)
        insert = "INSERT INTO booking VALUES ('dies', 1)"
        assert transaction.run(insert, proxy=1).outcome == 'served'
        cluster.proxies[0].process.signal(signal.SIGSTOP)
        assert transaction.end('commit', proxy=1).outcome == 'unknown'
        cluster.proxies[0].process.kill()
        retry = Transaction(session, 'dies', proxy=1)
        if retry.transaction_id:
            retry.run(insert, proxy=2)
            assert retry.end('commit', proxy=2).outcome == 'served'
        assert session.bookings('dies', proxy=3) == 1


def test_reused_key_is_distinguished_from_a_retry(shared):
    session = SyncSession(shared, 'conservators')
    session.book('same', proxy=0)
    transaction = Transaction(session, 'same', proxy=1)
    assert transaction.begin_reply.outcome == 'failed'


def test_refusal_includes_a_retry_delay(shared):
    session = SyncSession(shared, 'conservators')
    body = {
        'caller': 'conservators',
        'class': 'slow',
        'key': 'soon',
        'deadline_ms': 0.001,
        'statements': [{'sql': "INSERT INTO booking VALUES ('soon', 1)"}],
    }
    address = shared.proxies[0].callers
    status, headers, answer = post(address, STATEMENTS, body)
    assert (status, answer['outcome']) == (503, 'refused')
    assert answer['retry_after_ms'] > 0 and int(headers['retry-after']) > 0
    assert session.bookings('soon', proxy=0) == 0


def test_answer_is_one_json_document(shared):
    reply = post(shared.proxies[0].callers, STATEMENTS, VALID)
    assert msgspec.json.encode(reply[2])
    assert reply[1]['content-type'] == 'application/json'
