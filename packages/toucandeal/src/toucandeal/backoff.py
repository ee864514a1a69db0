"""Adaptive retry delays for refused callers.

Refused callers retry, so under a sustained overload the retries alone could
exceed the capacity of the group. The retry delay of a group is adapted until
requests are refused no faster than they are served: in each period it is
multiplied by the ratio of refused to served requests, within bounds. Each
refusal gets a random delay around that value, so that callers that were
refused together do not retry together.
"""

import random
from typing import NamedTuple

__all__ = [
    'Backoff',
    'adapt',
    'count_refused',
    'count_served',
    'retry_delay',
]

ADAPT_PERIOD_S = 0.25
MIN_DELAY_S = 0.1
MAX_DELAY_S = 10.0
JITTER = (0.5, 1.5)  # factors of the delay
MAX_FACTOR = 2.0  # change of the delay in one period


class Backoff(NamedTuple):
    """A group's retry delay, and the counts of the current period."""

    delay_s: float = MIN_DELAY_S
    refused: int = 0
    served: int = 0
    since: float = 0.0


def count_refused(backoff: Backoff) -> Backoff:
    """Count a refused request."""
    return backoff._replace(refused=backoff.refused + 1)


def count_served(backoff: Backoff) -> Backoff:
    """Count a served request."""
    return backoff._replace(served=backoff.served + 1)


def adapt(backoff: Backoff, now: float, target_ratio: float = 1.0) -> Backoff:
    """Return the state at `now`, with a new delay if the period has ended.

    Parameters
    ----------
    backoff : Backoff
    now : float
        Seconds.
    target_ratio : float
        Refused requests per served request that the delay aims for.

    Examples
    --------
    >>> adapt(Backoff(1.0, refused=300, served=200, since=0), 0.3).delay_s
    1.5
    >>> adapt(Backoff(1.0, refused=0, served=200, since=0), 0.3).delay_s
    0.5
    """
    if now - backoff.since < ADAPT_PERIOD_S:
        return backoff
    ratio = backoff.refused / max(backoff.served, 1) / target_ratio
    factor = min(max(ratio, 1 / MAX_FACTOR), MAX_FACTOR)
    delay = min(max(backoff.delay_s * factor, MIN_DELAY_S), MAX_DELAY_S)
    return Backoff(delay, since=now)


def retry_delay(backoff: Backoff, generator: random.Random) -> float:
    """Return after how many seconds a refused caller may retry."""
    return backoff.delay_s * generator.uniform(*JITTER)
