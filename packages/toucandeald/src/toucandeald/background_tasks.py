"""Run coroutines in the background and log their failures."""

import functools
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import defer, task

from toucandeald.logs import log_event

__all__ = ['keep_running', 'log_failure', 'run_in_background']

RESTART_DELAY_S = 0.5  # so that a lasting fault does not fill the log


def log_failure(failure) -> None:
    """Log an unexpected exception."""
    log_event(
        'fault',
        error=failure.getErrorMessage(),
        trace=failure.getTraceback(),
    )


def run_in_background(
    work: Coroutine[Any, Any, Any], ended: Callable[[], None] | None = None
) -> None:
    """Run a coroutine in the background; log it if it fails.

    Parameters
    ----------
    work : coroutine
    ended : callable, optional
        Called after the coroutine has returned or failed.
    """
    running = defer.ensureDeferred(work)
    running.addErrback(log_failure)
    if ended is not None:
        running.addCallback(lambda _: ended())


def keep_running(
    clock, start: Callable[[], Coroutine[Any, Any, None]]
) -> defer.Deferred:
    """Run a coroutine in the background, and start it anew if it fails.

    Parameters
    ----------
    clock : IReactorTime
    start : callable
        Returns a new coroutine. One that returns is not started again.

    Returns
    -------
    Deferred
        Fires when a coroutine has returned.
    """

    def restart(failure) -> defer.Deferred:
        log_failure(failure)
        return task.deferLater(
            clock,
            RESTART_DELAY_S,
            functools.partial(keep_running, clock, start),
        )

    return defer.ensureDeferred(start()).addErrback(restart)
