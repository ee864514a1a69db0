"""Runs one asynchronous task in the reactor."""

from collections.abc import Callable
from typing import Any

import click
from twisted.internet import defer, reactor

__all__ = ['run_in_reactor']


def run_in_reactor(task: Callable[[], defer.Deferred]) -> Any:
    """Run the reactor until `task` completes and return its result.

    Notes
    -----
    A reactor can run only once per process. If the task fails, its traceback
    is printed and the result is None.
    """
    results: list[Any] = []

    def start() -> None:
        running = defer.maybeDeferred(task)
        running.addCallbacks(
            results.append,
            lambda failure: click.echo(failure.getTraceback(), err=True),
        )
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    return results[0] if results else None
