"""Open-loop arrivals and latency figures."""

import random
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet import defer, reactor, task

__all__ = ['arrivals', 'latency_figures', 'new_histogram', 'sleep']

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3


def new_histogram() -> HdrHistogram:
    """Return a histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def latency_figures(histogram: HdrHistogram) -> dict[str, float]:
    """Return the usual quantiles, in milliseconds."""
    return {
        f'p{quantile}_ms': histogram.get_value_at_percentile(quantile) / 1000
        for quantile in (50, 95, 99)
    }


def sleep(seconds: float) -> defer.Deferred:
    """Return a Deferred that fires after `seconds`."""
    return task.deferLater(reactor, seconds, lambda: None)


@defer.inlineCallbacks
def arrivals(
    rate_per_s: float,
    seconds: float,
    generator: random.Random,
    begin: Callable[[], defer.Deferred],
):
    """Begin requests at random times, whether or not earlier ones are done.

    Returns
    -------
    Deferred of list
        What the requests came to, once all have ended.
    """
    started = reactor.seconds()
    due = 0.0
    running: list[Any] = []
    while True:
        due += generator.expovariate(rate_per_s)
        if due > seconds:
            break
        wait = started + due - reactor.seconds()
        if wait > 0:
            yield sleep(wait)
        running.append(begin())
    ended = yield defer.gatherResults(running)
    return ended
