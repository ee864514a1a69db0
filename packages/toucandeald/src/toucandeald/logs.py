"""Structured logs by eliot, and metrics by statsd."""

import functools
import sys
from collections.abc import Callable
from pathlib import Path

import eliot
import orjson
from eliot import FileDestination
from statsd import StatsClient

from toucandeal.actions import Decision
from toucandeald.http_client import host_port

__all__ = ['Metrics', 'log_decision', 'log_event', 'open_log', 'send_log_to']

FLUSH_S = 0.1
BUFFER_BYTES = 65536


class _Buffered:
    """A text file whose flush is left to a timer, to save a system call."""

    def __init__(self, stream) -> None:
        self._stream = stream

    def write(self, text) -> None:
        """Write without flushing."""
        self._stream.write(text)

    def flush(self) -> None:
        """Do nothing; the timer flushes the stream."""


def open_log(reactor, path: str) -> None:
    """Send the log to a file, or to standard error for ``-``."""
    stream = sys.stderr
    if path != '-':
        stream = Path(path).open('a', buffering=BUFFER_BYTES)
    eliot.add_destinations(FileDestination(file=_Buffered(stream)))

    def flush() -> None:
        stream.flush()
        reactor.callLater(FLUSH_S, flush)

    reactor.callLater(FLUSH_S, flush)
    reactor.addSystemEventTrigger('after', 'shutdown', stream.flush)


def send_log_to(add: Callable[[str], None]) -> None:
    """Pass each line of the log, as JSON, to `add`."""
    eliot.add_destinations(
        lambda message: add(orjson.dumps(message, default=str).decode())
    )


@functools.cache
def _task() -> eliot.Action:
    """Return the task that all lines of this process belong to.

    A task for each line would cost as much as the line.
    """
    return eliot.start_task(action_type='toucandeald')


def log_decision(decision: Decision) -> None:
    """Write a decision's line."""
    _task().log(
        f'toucandeal:{decision.kind}',
        subject=decision.subject,
        choice=decision.choice,
        reason=decision.reason,
        **decision.inputs,
    )


def log_event(kind: str, /, **fields) -> None:
    """Write another line."""
    _task().log(f'toucandeald:{kind}', **fields)


class Metrics:
    """Counts and times, sent by statsd in batches."""

    def __init__(self, address: str) -> None:
        """Send to `address`, or nowhere if it is empty."""
        self._client = None
        if address:
            host, port = host_port(address)
            self._client = StatsClient(host, port, prefix='toucandeal')
        self.counts: dict[str, int] = {}

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] = self.counts.get(name, 0) + number
        if self._client is not None:
            self._client.incr(name, number)

    def gauge(self, name: str, reading: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, reading)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, milliseconds)
