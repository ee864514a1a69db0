"""The clock of timers and decisions.

Twisted schedules by the time of day, which may jump. Timers and decisions use
a monotonic clock that also counts while the machine is suspended.
"""

import contextlib
import time
from collections.abc import Callable, Iterator

from twisted.internet import defer

__all__ = ['pause', 'steady_seconds', 'use_steady_clock', 'virtual_time']


def _seconds_since_boot() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_sources: list[Callable[[], float]] = [_seconds_since_boot]


def steady_seconds() -> float:
    """Return monotonic seconds, including time in suspension."""
    return _sources[-1]()


@contextlib.contextmanager
def virtual_time(seconds: Callable[[], float]) -> Iterator[None]:
    """Replace the clock of all decisions by `seconds`, in models and tests."""
    _sources.append(seconds)
    try:
        yield
    finally:
        _sources.pop()


def use_steady_clock(reactor) -> None:
    """Set the clock of the reactor's timers to the steady clock.

    It must be called before anything is scheduled.
    """
    reactor.seconds = steady_seconds


def pause(clock, seconds: float) -> defer.Deferred:
    """Return a Deferred that fires after `seconds`."""
    waited: defer.Deferred = defer.Deferred()
    clock.callLater(seconds, waited.callback, None)
    return waited
