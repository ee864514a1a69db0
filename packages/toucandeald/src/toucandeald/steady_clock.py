"""The clock of timers and decisions.

Twisted schedules by the time of day, which may jump. Both use the clock that
only runs forward and also counts while the machine is suspended.
"""

import time

from twisted.internet import defer

__all__ = ['pause', 'steady_seconds', 'use_steady_clock']


def steady_seconds() -> float:
    """Return seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_steady_clock(reactor) -> None:
    """Let the reactor's timers follow the steady clock.

    Call it before anything is scheduled.
    """
    reactor.seconds = steady_seconds


def pause(clock, seconds: float) -> defer.Deferred:
    """Return a Deferred that fires after `seconds`."""
    waited: defer.Deferred = defer.Deferred()
    clock.callLater(seconds, waited.callback, None)
    return waited
