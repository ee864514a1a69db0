"""Open-loop load generation and latency percentiles."""

import random
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet import defer, reactor, task

__all__ = ['latency_percentiles', 'new_histogram', 'run_open_loop', 'sleep']

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


def new_histogram() -> HdrHistogram:
    """Return an empty histogram for latencies in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def latency_percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return the 50th, 95th and 99th percentile in milliseconds."""
    return {
        f'p{percentile}_ms': histogram.get_value_at_percentile(percentile)
        / 1000
        for percentile in (50, 95, 99)
    }


def sleep(seconds: float) -> defer.Deferred:
    """Return a Deferred that fires after `seconds`."""
    return task.deferLater(reactor, seconds, lambda: None)


@defer.inlineCallbacks
def run_open_loop(
    rate_per_s: float,
    seconds: float,
    generator: random.Random,
    start_request: Callable[[], defer.Deferred],
):
    """Start requests as a Poisson process, without waiting for earlier ones.

    Returns
    -------
    Deferred of list
        The results of the requests, once all have ended.
    """
    start = reactor.seconds()
    due_s = 0.0
    pending: list[Any] = []
    while True:
        due_s += generator.expovariate(rate_per_s)
        if due_s > seconds:
            break
        wait_s = start + due_s - reactor.seconds()
        if wait_s > 0:
            yield sleep(wait_s)
        pending.append(start_request())
    results = yield defer.gatherResults(pending)
    return results
