"""Calls that repeat for as long as the daemon lives."""

from collections.abc import Callable

from twisted.internet import task

from toucandeald.logs import log_event

__all__ = ['call_every']


def call_every(
    period_s: float, function: Callable[[], None], *, now: bool = True
) -> task.LoopingCall:
    """Call `function` every `period_s` seconds.

    Notes
    -----
    A fault in one call is logged and doesn't end the repetition.
    """

    def guarded() -> None:
        try:
            function()
        except Exception as error:  # noqa: BLE001 - any fault must not end it
            log_event('fault', error=repr(error), function=repr(function))

    looping = task.LoopingCall(guarded)
    looping.start(period_s, now=now)
    return looping
