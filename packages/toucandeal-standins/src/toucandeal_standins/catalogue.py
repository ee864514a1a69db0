"""The reel catalogue workload: declarations, requests and verification.

Each write inserts rows under a unique tag. Counting the rows afterwards shows
the faults: an acknowledged tag without rows is a lost write, and a tag with
more rows than one write inserts is a doubled write.
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
    """A kind of request with its deadline and cost weights."""

    request_class: str
    caller: str
    deadline_s: float
    late_weight: float
    lost_weight: float
    doubled_weight: float


BOOKING = Kind('booking', 'conservators', 0.5, 5, 2, 20)
CORRECTION = Kind('correction', 'colourists', 0.8, 1, 2, 30)
RECORD = Kind('record', 'archivists', 0.4, 1, 4, 0)
GLANCE = Kind('glance', 'archivists', 0.4, 1, 1, 0)
KINDS = (BOOKING, CORRECTION, RECORD, GLANCE)
# Relative frequencies in the order of KINDS. In the second deployment members
# submit and revise little, while many readers look up data sheets.
MIXES = {'atelier': (2, 1, 3, 6), 'consorcio': (1, 1, 3, 19)}
FRESHNESS = {'record': '0s', 'glance': '5s'}


def declarations(group: str, suffix: str = '') -> list[str]:
    """Return the commands that declare the callers and request classes."""
    callers = [f'declare caller {caller}' for caller in CALLERS]
    classes = [
        f'declare class {kind.request_class}{suffix} of {group} '
        + _mode_clause(kind)
        + f'deadline {kind.deadline_s * 1000:g}ms late {kind.late_weight:g} '
        f'lost {kind.lost_weight:g} doubled {kind.doubled_weight:g}'
        for kind in KINDS
    ]
    return callers + classes


def _mode_clause(kind: Kind) -> str:
    if kind.request_class in FRESHNESS:
        return f'read freshness {FRESHNESS[kind.request_class]} idempotent '
    return 'write once '


def schema() -> list[dict[str, Any]]:
    """Return the statements that create the catalogue's tables and indexes."""
    return [
        {'sql': 'CREATE TABLE IF NOT EXISTS booking (tag TEXT, reel INTEGER)'},
        {'sql': 'CREATE TABLE IF NOT EXISTS pass (tag TEXT, frame INTEGER)'},
        {'sql': 'CREATE INDEX IF NOT EXISTS b ON booking (tag)'},
        {'sql': 'CREATE INDEX IF NOT EXISTS p ON pass (tag)'},
    ]


class Ledger:
    """Acknowledged writes and outcome statistics of the requests sent."""

    def __init__(self, seed: int, mix: str = 'atelier') -> None:
        """Start empty, with seeded random choices from a deployment's mix."""
        self.shares = MIXES.get(mix, MIXES['atelier'])
        self.random = random.Random(seed)
        self._tag_numbers = itertools.count(1)
        self.acknowledged: dict[str, list[str]] = {'booking': [], 'pass': []}
        self.session_tags: dict[Session, Counter] = {}
        self.counts: Counter = Counter()
        self.by_kind: Counter = Counter()
        self.weighted = 0.0
        self.latencies_ms: list[float] = []

    def next_tag(self) -> str:
        """Return a unique tag for a write."""
        return f't{next(self._tag_numbers)}'

    def pick(self) -> Kind:
        """Draw the kind of the next request."""
        return self.random.choices(KINDS, self.shares)[0]


@defer.inlineCallbacks
def perform(
    callers: Callers, ledger: Ledger, session: Session, kind: Kind,
    suffix: str = '', *, interactive: bool = True,
):  # fmt: skip
    """Send one request, record its outcome and return the answer.

    Correction passes use a transaction if `interactive`, else one request.
    """
    ledger.counts['requests'] += 1
    request_class = kind.request_class + suffix
    if kind is CORRECTION and interactive:
        answer = yield _transaction(callers, ledger, session, request_class)
    elif kind is CORRECTION:
        answer = yield _correction_passes(
            callers, ledger, session, request_class
        )
    elif kind is BOOKING:
        answer = yield _booking(callers, ledger, session, request_class)
    else:
        answer = yield _read(callers, ledger, session, request_class)
    _count_outcome(ledger, kind, answer)
    return answer


def _count_outcome(ledger: Ledger, kind: Kind, answer: Answer) -> None:
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
    """Insert one booking of a random reel."""
    insert = 'INSERT INTO booking VALUES (?, ?)'
    rows = [ledger.random.randrange(100)]
    return _write(callers, ledger, session, request_class, insert, rows)


def _correction_passes(
    callers, ledger: Ledger, session: Session, request_class: str
):
    """Insert two correction passes in one request."""
    insert = 'INSERT INTO pass VALUES (?, ?)'
    return _write(callers, ledger, session, request_class, insert, [1, 2])


@defer.inlineCallbacks
def _write(
    callers, ledger: Ledger, session: Session, request_class: str,
    insert: str, rows: list[int],
):  # fmt: skip
    """Insert rows under a new tag, which is also part of the request key."""
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
    """Insert two correction passes in one transaction."""
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
        transaction_id = answer.body.get('transaction')
        if answer.served and transaction_id:
            answer = yield _run_transaction(
                callers, session, transaction_id, tag
            )
            elapsed_s += answer.elapsed_s
        if answer.served:
            _acknowledge(ledger, session, 'pass', tag)
            break
    return answer._replace(elapsed_s=elapsed_s)


@defer.inlineCallbacks
def _run_transaction(callers, session: Session, transaction_id: str, tag: str):
    path = f'{TRANSACTIONS}/{transaction_id}'
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
    """Count the tags of the session's latest acknowledged writes.

    A count below the number of acknowledged tags is a stale session read.
    """
    tag_counts = ledger.session_tags.get(session, Counter())
    tags = [key[1] for key in tag_counts if isinstance(key, tuple)][-5:]
    qmarks = ','.join('?' * len(tags))
    answer = yield callers.request(
        session,
        STATEMENTS,
        {
            'caller': session.caller,
            'class': request_class,
            'statements': [
                {
                    'sql': 'SELECT (SELECT count(DISTINCT tag) FROM booking '
                    f'WHERE tag IN ({qmarks})) + (SELECT count(DISTINCT tag) '
                    f'FROM pass WHERE tag IN ({qmarks}))',
                    'parameters': tags + tags,
                }
            ],
        },
    )
    if answer.served:
        _count_read(ledger, answer, len(tags), request_class)
    return answer


def _count_read(
    ledger: Ledger, answer: Answer, expected: int, request_class: str
) -> None:
    ledger.counts['reads'] += 1
    ledger.counts['replica_reads'] += answer.body['from_replica']
    ledger.counts['stale_session_reads'] += (
        answer.body['results'][0]['rows'][0][0] < expected
    )
    if request_class.startswith('glance'):
        freshness_ms = 5000
        ledger.counts['beyond_allowance'] += (
            answer.body['staleness_ms'] > freshness_ms
        )


@defer.inlineCallbacks
def verify(callers: Callers, ledger: Ledger, session: Session, suffix=''):
    """Return the numbers of lost and doubled writes in the database."""
    lost = 0
    doubled = 0
    for table, expected_rows in (('booking', 1), ('pass', 2)):
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
        row_counts = dict(answer.body['results'][0]['rows'])
        lost += sum(tag not in row_counts for tag in ledger.acknowledged[table])
        doubled += sum(count > expected_rows for count in row_counts.values())
    return lost, doubled
