"""Bounds of the log stream's rate and buffer."""

from toucandeald.bounded_log import BURST_LINES, MAX_LINES_PER_S, BoundedStream


class Clock:
    """A clock that advances only when its time is set."""

    now = 0.0

    def __call__(self):
        return self.now


def test_lines_beyond_the_rate_are_counted_and_reported():
    written = []
    clock = Clock()
    stream = BoundedStream(
        clock, lambda pending: written.append(pending) or len(pending)
    )
    for _ in range(BURST_LINES + 5):
        stream.add('line')
    assert stream.dropped_lines == 5
    stream.flush()
    assert b'"lines_left_out": 5' in written[0]
    clock.now = 1.0
    for _ in range(MAX_LINES_PER_S):
        stream.add('line')
    assert stream.dropped_lines == 0


def test_lines_are_dropped_when_the_output_is_not_read():
    stream = BoundedStream(Clock(), lambda pending: 0)
    for _ in range(3):
        stream.add('x' * 600_000)
    # The third line exceeds the limit of pending bytes.
    assert stream.dropped_lines == 1
