"""A clock for models, whose timers are kept in a heap."""

import heapq
import itertools
from collections.abc import Callable

from twisted.internet.base import DelayedCall

__all__ = ['VirtualClock']


class VirtualClock:
    """Time that passes only when :meth:`run_until` is called.

    Twisted's own test clock sorts all timers at each change, which is too
    slow for the thousands that a model has.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self._now = 0.0
        self._timers: list[tuple[float, int, DelayedCall]] = []
        self._order = itertools.count()

    def seconds(self) -> float:
        """Return the time."""
        return self._now

    def callLater(  # noqa: N802 - the name that Twisted's interface has
        self, delay: float, function: Callable, *args, **keywords
    ) -> DelayedCall:
        """Call a function after `delay` seconds."""
        timer = DelayedCall(
            self._now + delay,
            function,
            args,
            keywords,
            _forget,
            self._put,
            self.seconds,
        )
        self._put(timer)
        return timer

    def run_until(self, end_at: float) -> None:
        """Call what is due up to a time, in order."""
        while self._timers and self._timers[0][0] <= end_at:
            due_at, _, timer = heapq.heappop(self._timers)
            if not timer.active():
                continue
            if timer.getTime() > due_at:  # it was put off meanwhile
                self._put(timer)
                continue
            self._now = max(self._now, due_at)
            timer.called = 1
            timer.func(*timer.args, **timer.kw)
        self._now = max(self._now, end_at)

    def _put(self, timer: DelayedCall) -> None:
        entry = (timer.getTime(), next(self._order), timer)
        heapq.heappush(self._timers, entry)


def _forget(timer: DelayedCall) -> None:
    """Leave a cancelled timer in the heap; it is skipped when due."""
