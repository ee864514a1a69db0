"""The connections to one server."""

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.caller_sessions import LaidState
from toucandeal.fleet import Server
from toucandeal.statement_queue import Claim
from toucandeald.link_pool import IDLE_S, LinkPool
from toucandeald.session_messages import AnswerKind, ServerAnswer

SERVER = Server('i-1', 'g', '10.0.0.1:80', 'z1', 2, False, True)
FULL = ServerAnswer(AnswerKind.TOO_MANY_CONNECTIONS, [], '', 'full')
LOST = ServerAnswer(AnswerKind.LOST, [], '', 'refused')


class Link:
    """A connection that does nothing."""

    borrowed = False

    def __init__(self):
        self.laid = LaidState()
        self.usable = True
        self.on_closed = None

    def close(self):
        """Close it."""
        self.usable = False


class Opener:
    """Answers each attempt to open a connection when told to."""

    def __init__(self):
        self.attempts = []
        self.observed = []

    async def open(self, server, timeout_s):
        """Wait until the test says what comes of it."""
        del server, timeout_s
        attempt = defer.Deferred()
        self.attempts.append(attempt)
        return await attempt

    def answer(self, outcome):
        """End the oldest attempt."""
        self.attempts.pop(0).callback(outcome)
        return outcome


@pytest.fixture
def opener():
    """Return what opens connections."""
    return Opener()


@pytest.fixture
def pool(opener):
    """Return a pool with room for two connections."""
    made = LinkPool(
        Clock(),
        SERVER,
        opener.open,
        lambda server, refusal: opener.observed.append(refusal),
    )
    made.limit = 2
    return made


def _claim(priority=1, late_at=1.0, ends_at=1.0):
    return Claim(priority, 'db', late_at, ends_at)


def _acquire(pool, values=None, claim=None):
    got = []
    acquiring = defer.ensureDeferred(
        pool.acquire(values or {}, [], claim or _claim())
    )
    acquiring.addCallback(got.append)
    return got


def _fill(pool, count):
    return [_acquire(pool) for _ in range(count)]


def test_a_connection_is_opened_and_used_again(pool, opener):
    got = _acquire(pool)
    link = opener.answer(Link())
    assert got == [link]
    pool.release(link)
    assert _acquire(pool) == [link] and pool.opened == 1


def test_no_more_than_the_limit_are_opened(pool, opener):
    _fill(pool, 5)
    opener.answer(Link())
    opener.answer(Link())
    assert not opener.attempts and pool.waiting == 3


def test_the_one_that_waits_longest_gets_the_next_connection(pool, opener):
    pool.limit = 1
    first, second, third = _acquire(pool), _acquire(pool), _acquire(pool)
    link = opener.answer(Link())
    pool.release(link)
    assert first == second == [link] and third == []


def test_nobody_waits_for_longer_than_allowed(pool, opener):
    got = _acquire(pool)
    pool._clock.advance(1.1)
    assert got == [None] and pool.waiting == 0
    opener.answer(Link())
    assert pool.size == 1


@pytest.mark.parametrize('refusal', [FULL, LOST])
def test_nobody_waits_for_connections_that_nobody_opens(pool, opener, refusal):
    got = _acquire(pool)
    opener.answer(refusal)
    assert got == [None] and opener.observed == [refusal]
    assert _acquire(pool) == [None], 'the next attempt comes after a pause'


def test_the_fitting_connection_is_preferred(pool, opener):
    _fill(pool, 2)
    plain, fitting = opener.answer(Link()), opener.answer(Link())
    fitting.laid.values['lang'] = 'es'
    pool.release(plain)
    pool.release(fitting)
    assert _acquire(pool, {'lang': 'es'}) == [fitting]


def test_a_closed_connection_is_not_given_out(pool, opener):
    _acquire(pool)
    link = opener.answer(Link())
    pool.release(link)
    link.usable = False
    link.on_closed(link)
    assert pool.size == 0 and _acquire(pool) == []


def test_idle_connections_beyond_a_lower_limit_are_closed(pool, opener):
    _fill(pool, 2)
    links = [opener.answer(Link()), opener.answer(Link())]
    for link in links:
        pool.release(link)
    pool.limit = 1
    pool.trim(2)
    assert [link.usable for link in links] == [False, True]


def test_unused_connections_are_closed_but_for_a_few(pool, opener):
    _fill(pool, 2)
    links = [opener.answer(Link()), opener.answer(Link())]
    for link in links:
        pool.release(link)
    pool._clock.advance(IDLE_S - 0.1)
    pool.trim(1)
    assert pool.size == 2
    pool._clock.advance(0.2)
    pool.trim(1)
    assert [link.usable for link in links] == [False, True]


def test_urgent_statements_get_the_next_connection(pool, opener):
    pool.limit = 1
    _fill(pool, 1)
    later, urgent = _acquire(pool), _acquire(pool, claim=_claim(priority=0))
    link = opener.answer(Link())
    pool.release(link)
    assert urgent == [link] and later == []


def test_who_would_wait_for_too_long_is_refused_at_once(pool, opener):
    pool.limit = 1
    waiting = _fill(pool, 60)
    refused = waiting.count([None])
    # One connection, held for 0.03 s each time, serves about 33 in a second.
    assert 25 <= refused <= 30
    assert opener.attempts


def test_who_turns_late_goes_last_or_is_refused(pool, opener):
    pool.limit = 1
    _fill(pool, 1)
    link = opener.answer(Link())
    late = _acquire(pool, claim=_claim(late_at=0.1, ends_at=0.2))
    others = [
        _acquire(pool, claim=_claim(late_at=5.0, ends_at=9.0))
        for _ in range(10)
    ]
    pool._clock.advance(0.15)
    assert late == [None] and others.count([]) == 10
    pool.release(link)
    assert others[0] == [link]


def test_the_peak_of_a_period_counts_who_waits(pool, opener):
    pool.limit = 1
    _fill(pool, 3)
    opener.answer(Link())
    assert pool.peak == 3
    pool._clock.advance(1.1)
    pool.begin_period()
    assert pool.peak == 1


def test_a_closed_pool_gives_nothing(pool, opener):
    got = _acquire(pool)
    pool.close()
    late = opener.answer(Link())
    assert not late.usable
    assert got in ([], [None])
