"""The reel catalogue: its declarations, requests, and what must come of them.

Each write leaves a row with a tag of its own. At the end the rows are counted:
an acknowledged tag without a row is lost, and a tag with two rows is doubled.
"""

import itertools
import random
from collections import Counter
from typing import Any, NamedTuple

from twisted.internet import defer

from toucandeal_standins.callers import Answer, Callers, Session

__all__ = [
    'CALLERS',
    'Kind',
    'Ledger',
    'declarations',
    'perform',
    'schema',
    'verify',
]

CALLERS = ('conservators', 'archivists', 'colourists')
STATEMENTS = '/v1/statements'
TRANSACTIONS = '/v1/transactions'


class Kind(NamedTuple):
    """A kind of request, its deadline and its weights."""

    request_class: str
    caller: str
    deadline_s: float
    late_weight: float
    lost_weight: float
    doubled_weight: float


BOOKING = Kind('booking', 'conservators', 0.5, 5, 2, 20)
PASS = Kind('correction', 'colourists', 0.8, 1, 2, 30)
RECORD = Kind('record', 'archivists', 0.4, 1, 4, 0)
GLANCE = Kind('glance', 'archivists', 0.4, 1, 1, 0)
KINDS = (BOOKING, PASS, RECORD, GLANCE)
# Shares of bookings, passes, records and glances. The second user's members
# submit and revise little, and many readers look data sheets up.
MIXES = {'atelier': (2, 1, 3, 6), 'consorcio': (1, 1, 3, 19)}
FRESHNESS = {'record': '0s', 'glance': '5s'}


def declarations(group: str, suffix: str = '') -> list[str]:
    """Return the commands that declare the callers and classes."""
    callers = [f'declare caller {caller}' for caller in CALLERS]
    classes = [
        f'declare class {kind.request_class}{suffix} of {group} '
        + _mode(kind)
        + f'deadline {kind.deadline_s * 1000:g}ms late {kind.late_weight:g} '
        f'lost {kind.lost_weight:g} doubled {kind.doubled_weight:g}'
        for kind in KINDS
    ]
    return callers + classes


def _mode(kind: Kind) -> str:
    if kind.request_class in FRESHNESS:
        return f'read freshness {FRESHNESS[kind.request_class]} idempotent '
    return 'write once '


def schema() -> list[dict[str, Any]]:
    """Return the statements that make the catalogue's tables."""
    return [
        {'sql': 'CREATE TABLE IF NOT EXISTS booking (tag TEXT, reel INTEGER)'},
        {'sql': 'CREATE TABLE IF NOT EXISTS pass (tag TEXT, frame INTEGER)'},
        {'sql': 'CREATE INDEX IF NOT EXISTS b ON booking (tag)'},
        {'sql': 'CREATE INDEX IF NOT EXISTS p ON pass (tag)'},
    ]


class Ledger:
    """What was asked, what was acknowledged, and what each request got."""

    def __init__(self, seed: int, mix: str = 'atelier') -> None:
        """Start empty, with seeded choices from the mix of a deployment."""
        self.shares = MIXES.get(mix, MIXES['atelier'])
        self.random = random.Random(seed)
        self.numbers = itertools.count(1)
        self.acknowledged: dict[str, list[str]] = {'booking': [], 'pass': []}
        self.session_tags: dict[Session, Counter] = {}
        self.counts: Counter = Counter()
        self.by_kind: Counter = Counter()
        self.weighted = 0.0
        self.latencies_ms: list[float] = []

    def next_tag(self) -> str:
        """Return a tag of its own for a write."""
        return f't{next(self.numbers)}'

    def pick(self) -> Kind:
        """Return the kind of the next request."""
        return self.random.choices(KINDS, self.shares)[0]


@defer.inlineCallbacks
def perform(
    callers: Callers, ledger: Ledger, session: Session, kind: Kind,
    suffix: str = '', *, interactive: bool = True,
):  # fmt: skip
    """Carry out one request and note what came of it; return the answer.

    Correction passes are transactions if `interactive`, else one request.
    """
    ledger.counts['requests'] += 1
    request_class = kind.request_class + suffix
    if kind is PASS and interactive:
        answer = yield _transaction(callers, ledger, session, request_class)
    elif kind is PASS:
        answer = yield _passes(callers, ledger, session, request_class)
    elif kind is BOOKING:
        answer = yield _booking(callers, ledger, session, request_class)
    else:
        answer = yield _read(callers, ledger, session, request_class)
    _note(ledger, kind, answer)
    return answer


def _note(ledger: Ledger, kind: Kind, answer: Answer) -> None:
    late = answer.elapsed_s > kind.deadline_s
    if answer.served and not late:
        outcome = 'in_time'
    elif answer.served:
        outcome = 'late'
        ledger.weighted += kind.late_weight
    else:
        outcome = 'lost'
        ledger.weighted += kind.lost_weight
    if answer.served:
        ledger.counts['served'] += 1
        ledger.latencies_ms.append(answer.elapsed_s * 1000)
    ledger.counts[outcome] += 1
    ledger.by_kind[kind.request_class, outcome] += 1


def _booking(callers, ledger: Ledger, session: Session, request_class: str):
    """Book one reel."""
    insert = 'INSERT INTO booking VALUES (?, ?)'
    rows = [ledger.random.randrange(100)]
    return _write(callers, ledger, session, request_class, insert, rows)


def _passes(callers, ledger: Ledger, session: Session, request_class: str):
    """Log two correction passes in one request."""
    insert = 'INSERT INTO pass VALUES (?, ?)'
    return _write(callers, ledger, session, request_class, insert, [1, 2])


@defer.inlineCallbacks
def _write(
    callers, ledger: Ledger, session: Session, request_class: str,
    insert: str, rows: list[int],
):  # fmt: skip
    """Insert rows under a new tag, which is the request key too."""
    tag = ledger.next_tag()
    answer = yield callers.request(
        session,
        STATEMENTS,
        {
            'caller': session.caller,
            'class': request_class,
            'key': f'{session.caller}-{tag}',
            'statements': [
                {'sql': insert, 'parameters': [tag, row]} for row in rows
            ],
        },
    )
    if answer.served:
        table = 'pass' if 'pass' in insert else 'booking'
        _acknowledge(ledger, session, table, tag)
    return answer


def _acknowledge(
    ledger: Ledger, session: Session, table: str, tag: str
) -> None:
    ledger.acknowledged[table].append(tag)
    tags = ledger.session_tags.setdefault(session, Counter())
    tags[table] += 1
    tags[f'last {table}', tag] = 1


@defer.inlineCallbacks
def _transaction(callers, ledger: Ledger, session: Session, request_class):
    """Log two correction passes in one transaction."""
    tag = ledger.next_tag()
    begin = {
        'caller': session.caller,
        'class': request_class,
        'key': f'{session.caller}-{tag}',
    }
    answer = None
    elapsed_s = 0.0
    for _ in range(5):
        answer = yield callers.request(session, TRANSACTIONS, begin)
        elapsed_s += answer.elapsed_s
        identity = answer.body.get('transaction')
        if answer.served and identity:
            answer = yield _run_transaction(callers, session, identity, tag)
            elapsed_s += answer.elapsed_s
        if answer.served:
            _acknowledge(ledger, session, 'pass', tag)
            break
    return answer._replace(elapsed_s=elapsed_s)


@defer.inlineCallbacks
def _run_transaction(callers, session: Session, identity: str, tag: str):
    path = f'{TRANSACTIONS}/{identity}'
    statements = [
        {'sql': 'INSERT INTO pass VALUES (?, ?)', 'parameters': [tag, frame]}
        for frame in (1, 2)
    ]
    body = {'caller': session.caller, 'statements': statements}
    answer = yield callers.request(
        session, f'{path}/statements', body, give_up_s=0
    )
    if answer.served:
        answer = yield callers.request(
            session, f'{path}/commit', {'caller': session.caller}, give_up_s=0
        )
    return answer


@defer.inlineCallbacks
def _read(callers, ledger: Ledger, session: Session, request_class: str):
    """Count the session's own rows; fewer than acknowledged is stale."""
    held = ledger.session_tags.get(session, Counter())
    tags = [key[1] for key in held if isinstance(key, tuple)][-5:]
    marks = ','.join('?' * len(tags))
    answer = yield callers.request(
        session,
        STATEMENTS,
        {
            'caller': session.caller,
            'class': request_class,
            'statements': [
                {
                    'sql': 'SELECT (SELECT count(DISTINCT tag) FROM booking '
                    f'WHERE tag IN ({marks})) + (SELECT count(DISTINCT tag) '
                    f'FROM pass WHERE tag IN ({marks}))',
                    'parameters': tags + tags,
                }
            ],
        },
    )
    if answer.served:
        _note_read(ledger, answer, len(tags), request_class)
    return answer


def _note_read(
    ledger: Ledger, answer: Answer, expected: int, request_class: str
) -> None:
    ledger.counts['reads'] += 1
    ledger.counts['replica_reads'] += answer.body['from_replica']
    ledger.counts['stale_session_reads'] += (
        answer.body['results'][0]['rows'][0][0] < expected
    )
    if request_class.startswith('glance'):
        allowance_ms = 5000
        ledger.counts['beyond_allowance'] += (
            answer.body['staleness_ms'] > allowance_ms
        )


@defer.inlineCallbacks
def verify(callers: Callers, ledger: Ledger, session: Session, suffix=''):
    """Count what the database holds and return lost and doubled writes."""
    lost = 0
    doubled = 0
    for table, copies in (('booking', 1), ('pass', 2)):
        answer = yield callers.request(
            session,
            STATEMENTS,
            {
                'caller': session.caller,
                'class': f'record{suffix}',
                'statements': [
                    {'sql': f'SELECT tag, count(*) FROM {table} GROUP BY tag'}
                ],
            },
        )
        held = dict(answer.body['results'][0]['rows'])
        lost += sum(tag not in held for tag in ledger.acknowledged[table])
        doubled += sum(count > copies for count in held.values())
    return lost, doubled
