"""A log stream of bounded volume that never blocks.

Lines beyond a fixed rate, and lines that exceed the buffer because standard
output is not read fast enough, are dropped and counted.
"""

import json
import os
import sys

__all__ = ['BoundedStream', 'open_bounded_log']

MAX_LINES_PER_S = 400  # sustained; enough for a day of 200 requests a second
BURST_LINES = 2000  # for moments in which many decisions change
MAX_PENDING_BYTES = 1_048_576
FLUSH_INTERVAL_S = 0.1
_STDOUT = 1


class BoundedStream:
    """A buffer of lines with a token bucket as rate limit."""

    def __init__(self, now, write=None) -> None:
        """Initialize with a clock and a non-blocking write function."""
        self.dropped_lines = 0
        self._now = now
        self._write = write or _write_stdout
        self._pending = bytearray()
        self._tokens = float(BURST_LINES)
        self._refilled_at = now()

    def add(self, line: str) -> None:
        """Add a line, or count it as dropped if it exceeds the bounds."""
        now = self._now()
        refill = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(self._tokens + refill, BURST_LINES)
        self._refilled_at = now
        if self._tokens < 1 or len(self._pending) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            return
        self._tokens -= 1
        self._pending += f'{line}\n'.encode()

    def flush(self) -> None:
        """Write as many bytes as the output accepts now."""
        if self.dropped_lines and len(self._pending) < MAX_PENDING_BYTES:
            notice = {
                'message_type': 'log',
                'lines_left_out': self.dropped_lines,
            }
            self._pending += f'{json.dumps(notice)}\n'.encode()
            self.dropped_lines = 0
        if self._pending:
            del self._pending[: self._write(bytes(self._pending))]


def _write_stdout(pending: bytes) -> int:
    try:
        return os.write(_STDOUT, pending)
    except BlockingIOError:
        return 0


def open_bounded_log(reactor, now) -> BoundedStream:
    """Write the log to standard output, flushed by a timer."""
    os.set_blocking(sys.stdout.fileno(), False)
    stream = BoundedStream(now)

    def flush() -> None:
        stream.flush()
        reactor.callLater(FLUSH_INTERVAL_S, flush)

    reactor.callLater(FLUSH_INTERVAL_S, flush)
    reactor.addSystemEventTrigger('after', 'shutdown', stream.flush)
    return stream
