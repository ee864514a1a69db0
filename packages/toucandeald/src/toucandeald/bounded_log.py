"""A log stream of bounded volume that never blocks.

Lines beyond a stated rate, and lines that the reader of the standard output
does not take in time, are left out and counted.
"""

import json
import os
import sys

__all__ = ['BoundedStream', 'open_bounded_log']

MAX_LINES_S = 400  # sustained; a day of two hundred requests a second fits
BURST_LINES = 2000  # for the moments in which many decisions change
MAX_WAITING_BYTES = 1_048_576
FLUSH_S = 0.1
_STDOUT = 1


class BoundedStream:
    """Lines that wait to be written."""

    def __init__(self, now, write=None) -> None:
        """Take a clock, and what writes bytes without blocking."""
        self.left_out = 0
        self._now = now
        self._write = write or _write_stdout
        self._waiting = bytearray()
        self._allowed = float(BURST_LINES)
        self._counted_at = now()

    def add(self, line: str) -> None:
        """Add a line, or count it if it is over the bounds."""
        now = self._now()
        gained = (now - self._counted_at) * MAX_LINES_S
        self._allowed = min(self._allowed + gained, BURST_LINES)
        self._counted_at = now
        if self._allowed < 1 or len(self._waiting) > MAX_WAITING_BYTES:
            self.left_out += 1
            return
        self._allowed -= 1
        self._waiting += f'{line}\n'.encode()

    def flush(self) -> None:
        """Write what the reader takes now."""
        if self.left_out and len(self._waiting) < MAX_WAITING_BYTES:
            notice = {'message_type': 'log', 'lines_left_out': self.left_out}
            self._waiting += f'{json.dumps(notice)}\n'.encode()
            self.left_out = 0
        if self._waiting:
            del self._waiting[: self._write(bytes(self._waiting))]


def _write_stdout(waiting: bytes) -> int:
    try:
        return os.write(_STDOUT, waiting)
    except BlockingIOError:
        return 0


def open_bounded_log(reactor, now) -> BoundedStream:
    """Write the log to standard output, flushed by a timer."""
    os.set_blocking(sys.stdout.fileno(), False)
    stream = BoundedStream(now)

    def flush() -> None:
        stream.flush()
        reactor.callLater(FLUSH_S, flush)

    reactor.callLater(FLUSH_S, flush)
    reactor.addSystemEventTrigger('after', 'shutdown', stream.flush)
    return stream
