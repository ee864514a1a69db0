"""Periodic calls for the lifetime of the daemon."""

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
    An exception in one call is logged and does not stop the repetition.
    """

    def guarded() -> None:
        try:
            function()
        except Exception as error:  # noqa: BLE001 - no exception may stop it
            log_event('fault', error=repr(error), function=repr(function))

    looping = task.LoopingCall(guarded)
    looping.start(period_s, now=now)
    return looping
