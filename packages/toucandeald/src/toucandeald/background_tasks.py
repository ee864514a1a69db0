"""Run coroutines in the background and log their failures."""

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import defer

from toucandeald.logs import log_event

__all__ = ['log_failure', 'run_in_background']


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
