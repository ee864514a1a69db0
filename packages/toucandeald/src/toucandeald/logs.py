"""Structured logging with eliot, and metrics with statsd."""

import functools
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import eliot
import orjson
from eliot import FileDestination
from statsd import StatsClient

from toucandeal.actions import Decision
from toucandeald.http_client import host_port

__all__ = [
    'Metrics',
    'encode_line',
    'log_decision',
    'log_event',
    'open_log',
    'send_log_to',
]

FLUSH_S = 0.1
BUFFER_BYTES = 65536
MAX_LINE_BYTES = 16384
MAX_TEXT_CHARS = 1024  # of a text in a longer line


class _TimedFlushStream:
    """A text stream flushed by a timer, which saves a system call per line."""

    def __init__(self, stream) -> None:
        self._stream = stream

    def write(self, text) -> None:
        """Write to the buffer without flushing it."""
        self._stream.write(text)

    def flush(self) -> None:
        """Do nothing; a timer flushes the stream."""


def open_log(reactor, path: str) -> None:
    """Write the log to a file, or to standard error if `path` is ``-``."""
    stream = sys.stderr
    if path != '-':
        stream = Path(path).open('a', buffering=BUFFER_BYTES)
    eliot.add_destinations(FileDestination(file=_TimedFlushStream(stream)))

    def flush() -> None:
        stream.flush()
        reactor.callLater(FLUSH_S, flush)

    reactor.callLater(FLUSH_S, flush)
    reactor.addSystemEventTrigger('after', 'shutdown', stream.flush)


def send_log_to(write_line: Callable[[str], None]) -> None:
    """Pass each log line, encoded as JSON, to `write_line`."""
    eliot.add_destinations(lambda message: write_line(encode_line(message)))


def encode_line(message: Mapping[str, Any]) -> str:
    """Encode a message as a line of JSON.

    Callers may send texts of up to a megabyte. In a line that is too long,
    long texts are cut.

    Examples
    --------
    >>> len(encode_line({'id': 'x' * 1_000_000}))
    1036
    """
    encoded = orjson.dumps(message, default=str)
    if len(encoded) > MAX_LINE_BYTES:
        shortened = {name: _shorten(field) for name, field in message.items()}
        encoded = orjson.dumps(shortened, default=str)
    return encoded.decode()


def _shorten(field: Any) -> Any:
    if isinstance(field, str) and len(field) > MAX_TEXT_CHARS:
        return f'{field[:MAX_TEXT_CHARS]}...'
    return field


@functools.cache
def _task() -> eliot.Action:
    """Return the eliot task that all log lines of this process belong to.

    Starting a task per line would cost as much as logging the line.
    """
    return eliot.start_task(action_type='toucandeald')


def log_decision(decision: Decision) -> None:
    """Log a decision with its inputs."""
    _task().log(
        f'toucandeal:{decision.kind}',
        subject=decision.subject,
        choice=decision.choice,
        reason=decision.reason,
        **decision.inputs,
    )


def log_event(kind: str, /, **fields) -> None:
    """Log an event that is not a decision."""
    _task().log(f'toucandeald:{kind}', **fields)


class Metrics:
    """Counters, gauges and timings, sent to statsd."""

    def __init__(self, address: str) -> None:
        """Send metrics to `address`; an empty address sends none."""
        self._client = None
        if address:
            host, port = host_port(address)
            self._client = StatsClient(host, port, prefix='toucandeal')
        self.counts: dict[str, int] = {}

    def count(self, name: str, increment: int = 1) -> None:
        """Increment a counter."""
        self.counts[name] = self.counts.get(name, 0) + increment
        if self._client is not None:
            self._client.incr(name, increment)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, level)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, milliseconds)
