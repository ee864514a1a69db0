"""The callers' interface: each bad input gets an error with its remedy."""

import base64
import signal

import msgspec
import pytest

from toucandeal.sessions import Session, encode_token
from toucandeal_standins.cluster import TOKEN_KEYS
from toucandeal_standins.declared import declared_cluster
from toucandeal_standins.process import post
from toucandeal_standins.requests import SyncSession

GOOD = {
    'caller': 'archivists',
    'class': 'glance',
    'statements': [{'sql': 'SELECT 1'}],
}
WRITE = {'caller': 'conservators', 'class': 'booking'}
FOREIGN = encode_token(Session('colourists'), TOKEN_KEYS.encode())
FORGED = encode_token(Session('archivists'), b'a key of somebody else')
SHORT = base64.urlsafe_b64encode(b'short').decode()
STATEMENTS = '/v1/statements'
TRANSACTIONS = '/v1/transactions'


def _sql(sql):
    return {**GOOD, 'statements': [{'sql': sql}]}


BAD_REQUESTS = [
    ('not JSON', STATEMENTS, b'{', '', 400, 'bad_body'),
    ('not UTF-8', STATEMENTS, b'"\xff"', '', 400, 'bad_body'),
    ('a list', STATEMENTS, [], '', 400, 'bad_body'),
    ('no caller', STATEMENTS, {'class': 'glance'}, '', 400, 'bad_body'),
    ('extra field', STATEMENTS, {**GOOD, 'x': 1}, '', 400, 'bad_body'),
    ('no statements', STATEMENTS, {**GOOD, 'statements': []}, '', 400, 'bad_body'),
    ('deadline', STATEMENTS, {**GOOD, 'deadline_ms': -1}, '', 400, 'bad_body'),
    ('empty key', STATEMENTS, {**GOOD, 'key': ''}, '', 400, 'bad_body'),
    ('long key', STATEMENTS, {**GOOD, 'key': 'k' * 201}, '', 400, 'bad_body'),
    ('caller', STATEMENTS, {**GOOD, 'caller': 'x'}, '', 404, 'unknown_name'),
    ('class', STATEMENTS, {**GOOD, 'class': 'x'}, '', 404, 'unknown_name'),
    ('no key', STATEMENTS, {**WRITE, **_sql('x'), **WRITE}, '', 400, 'bad_body'),
    ('commit', STATEMENTS, _sql('-- x\n COMMIT'), '', 400, 'bad_body'),
    ('begin', STATEMENTS, _sql('begin'), '', 400, 'bad_body'),
    ('own table', STATEMENTS, _sql('TABLE toucandeal_request'), '', 400, 'bad_body'),
    ('large', STATEMENTS, _sql('x' * (1 << 20)), '', 413, 'body_too_large'),
    ('no token', STATEMENTS, GOOD, 'not base64!', 401, 'bad_token'),
    ('short token', STATEMENTS, GOOD, SHORT, 401, 'bad_token'),
    ('long token', STATEMENTS, GOOD, 'A' * 9000, 401, 'bad_token'),
    ('forged token', STATEMENTS, GOOD, FORGED, 401, 'bad_token'),
    ('foreign token', STATEMENTS, GOOD, FOREIGN, 401, 'bad_token'),
    ('path', '/v2/x', GOOD, '', 400, 'bad_body'),
    ('begin read', TRANSACTIONS, {**GOOD, 'statements': []}, '', 400, 'bad_body'),
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
    """Return a deployment for all tests of the module."""
    with declared_cluster() as running:
        yield running


@pytest.mark.parametrize(
    ('path', 'body', 'token', 'status', 'kind'),
    [case[1:] for case in BAD_REQUESTS],
    ids=[case[0] for case in BAD_REQUESTS],
)
def test_bad_request_names_the_remedy(shared, path, body, token, status, kind):
    address = shared.proxies[0].callers
    headers = {'Toucandeal-Session': token} if token else {}
    got, _, answer = post(address, path, body, headers)
    assert (got, answer['error']['kind']) == (status, kind)
    assert answer['error']['problem'] and answer['error']['remedy']
    # The daemon goes on.
    assert post(address, STATEMENTS, GOOD)[0] == 200


def test_whole_answers_come_to_their_own_requests(shared):
    session = SyncSession(shared, 'archivists')
    for number in range(50):
        text = f'{number}-' + 'x' * number * 997
        reply = session.read(f"SELECT '{text}'", proxy=number % 4)
        assert reply.first_value == text


def test_failed_statement_keeps_nothing(shared):
    session = SyncSession(shared, 'conservators')
    statements = [
        {'sql': "INSERT INTO booking VALUES ('half', 1)"},
        {'sql': 'INSERT INTO nowhere VALUES (1)'},
    ]
    reply = session.write('half', statements, proxy=0)
    assert (reply.status, reply.outcome) == (422, 'failed')
    assert 'nowhere' in reply.body['database_error']
    assert session.bookings('half', proxy=1) == 0


def test_read_class_can_not_write(shared):
    session = SyncSession(shared, 'archivists')
    reply = session.read("INSERT INTO booking VALUES ('x', 1)", proxy=0)
    assert reply.outcome == 'failed'


class Transaction:
    """A transaction through any proxy."""

    def __init__(self, session, key, *, proxy):
        self.session = session
        self.begun = session.post(
            proxy, TRANSACTIONS,
            {'caller': session.caller, 'class': 'slow', 'key': key},
        )  # fmt: skip
        self.identity = self.begun.body.get('transaction')

    def run(self, sql, *, proxy):
        return self._post('statements', proxy, statements=[{'sql': sql}])

    def end(self, word, *, proxy):
        return self._post(word, proxy)

    def _post(self, word, proxy, **fields):
        path = f'{TRANSACTIONS}/{self.identity}/{word}'
        body = {'caller': self.session.caller, **fields}
        return self.session.post(proxy, path, body)


def test_transaction_roams_and_is_seen_only_once_committed(shared):
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


def test_repeated_transaction_finds_its_commit(shared):
    session = SyncSession(shared, 'conservators')
    first = Transaction(session, 'twice', proxy=0)
    first.run("INSERT INTO booking VALUES ('twice', 1)", proxy=0)
    first.end('commit', proxy=0)
    again = Transaction(session, 'twice', proxy=1)
    assert again.begun.body['replayed'] and again.identity is None
    assert session.bookings('twice', proxy=1) == 1


def test_rolled_back_transaction_leaves_its_key_free(shared):
    session = SyncSession(shared, 'conservators')
    first = Transaction(session, 'back', proxy=0)
    first.run("INSERT INTO booking VALUES ('back', 1)", proxy=0)
    assert first.end('rollback', proxy=0).outcome == 'served'
    assert session.bookings('back', proxy=1) == 0
    again = Transaction(session, 'back', proxy=1)
    again.run("INSERT INTO booking VALUES ('back', 1)", proxy=1)
    again.end('commit', proxy=1)
    assert session.bookings('back', proxy=2) == 1


def test_transactions_never_mix(shared):
    sessions = [SyncSession(shared, 'conservators') for _ in range(2)]
    rolled_back = Transaction(sessions[0], 'mix-0', proxy=0)
    rolled_back.run("INSERT INTO booking VALUES ('mix-0', 1)", proxy=0)
    other = SyncSession(shared, 'colourists')
    stolen = Transaction(other, 'mix-1', proxy=1)
    # Another caller can't use a transaction that is not its own.
    stolen.identity = rolled_back.identity
    insert = "INSERT INTO booking VALUES ('stolen', 1)"
    assert stolen.run(insert, proxy=0).outcome == 'unknown_transaction'
    rolled_back.end('rollback', proxy=0)
    assert sessions[1].bookings('stolen', proxy=0) == 0
    assert sessions[1].bookings('mix-0', proxy=0) == 0


def test_commit_through_a_proxy_that_dies_is_unknown_then_resolved():
    with declared_cluster() as cluster:
        session = SyncSession(cluster, 'conservators')
        transaction = Transaction(session, 'dies', proxy=0)
        insert = "INSERT INTO booking VALUES ('dies', 1)"
        assert transaction.run(insert, proxy=1).outcome == 'served'
        cluster.proxies[0].process.signal(signal.SIGSTOP)
        assert transaction.end('commit', proxy=1).outcome == 'unknown'
        cluster.proxies[0].process.kill()
        again = Transaction(session, 'dies', proxy=1)
        if again.identity:
            again.run(insert, proxy=2)
            assert again.end('commit', proxy=2).outcome == 'served'
        assert session.bookings('dies', proxy=3) == 1


def test_reused_key_is_told_from_a_repeat(shared):
    session = SyncSession(shared, 'conservators')
    session.book('same', proxy=0)
    transaction = Transaction(session, 'same', proxy=1)
    assert transaction.begun.outcome == 'failed'


def test_each_refusal_says_when_to_come_back(shared):
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
    reply = post(shared.proxies[0].callers, STATEMENTS, GOOD)
    assert msgspec.json.encode(reply[2])
    assert reply[1]['content-type'] == 'application/json'
