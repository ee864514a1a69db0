"""The pool of connections to a target of a declared group."""

from twisted.internet.testing import MemoryReactorClock

from toucandeald.http_client import HttpRequestError
from toucandeald.target_pool import TargetPool


def _failure(deferred):
    failures = []
    deferred.addErrback(failures.append)
    return failures


def test_closing_a_pool_answers_the_requests_that_wait_for_a_connection():
    pool = TargetPool(MemoryReactorClock(), '127.0.0.1:1')
    waiting = _failure(pool.acquire())
    pool.close()
    assert waiting[0].check(HttpRequestError)
    assert not waiting[0].value.sent


def test_a_closed_pool_refuses_requests_at_once():
    pool = TargetPool(MemoryReactorClock(), '127.0.0.1:1')
    pool.close()
    assert _failure(pool.acquire())[0].check(HttpRequestError)
