"""Runs coroutines whose failures nobody waits for."""

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import defer

from toucandeald.logs import log_event

__all__ = ['log_fault', 'run']


def log_fault(failure) -> None:
    """Log an exception that nothing expects."""
    log_event(
        'fault',
        error=failure.getErrorMessage(),
        trace=failure.getTraceback(),
    )


def run(
    work: Coroutine[Any, Any, Any], ended: Callable[[], None] | None = None
) -> None:
    """Run a coroutine in the background; log it if it fails.

    Parameters
    ----------
    work : coroutine
    ended : callable, optional
        Called at the end, however it came about.
    """
    running = defer.ensureDeferred(work)
    running.addErrback(log_fault)
    if ended is not None:
        running.addCallback(lambda _: ended())
