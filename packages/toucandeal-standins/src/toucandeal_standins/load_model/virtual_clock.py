"""A simulated clock that keeps its timers in a heap."""

import heapq
import itertools
from collections.abc import Callable

from twisted.internet.base import DelayedCall

__all__ = ['VirtualClock']


class VirtualClock:
    """A clock that advances only when :meth:`run_until` is called.

    Twisted's own test clock sorts all timers at each change, which is too
    slow for the thousands of timers in a simulation.
    """

    def __init__(self) -> None:
        """Set the time to zero."""
        self._now = 0.0
        self._timers: list[tuple[float, int, DelayedCall]] = []
        self._order = itertools.count()

    def seconds(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def callLater(  # noqa: N802 - required by Twisted's interface
        self, delay: float, function: Callable, *args, **keywords
    ) -> DelayedCall:
        """Schedule a function call after `delay` seconds."""
        timer = DelayedCall(
            self._now + delay,
            function,
            args,
            keywords,
            _ignore_cancelled,
            self._push,
            self.seconds,
        )
        self._push(timer)
        return timer

    def run_until(self, end_at: float) -> None:
        """Run the calls that are due up to a time, in order."""
        while self._timers and self._timers[0][0] <= end_at:
            due_at, _, timer = heapq.heappop(self._timers)
            if not timer.active():
                continue
            if timer.getTime() > due_at:  # it was postponed
                self._push(timer)
                continue
            self._now = max(self._now, due_at)
            timer.called = 1
            timer.func(*timer.args, **timer.kw)
        self._now = max(self._now, end_at)

    def _push(self, timer: DelayedCall) -> None:
        entry = (timer.getTime(), next(self._order), timer)
        heapq.heappush(self._timers, entry)


def _ignore_cancelled(timer: DelayedCall) -> None:
    """Leave a cancelled timer in the heap; `run_until` skips it when due."""
