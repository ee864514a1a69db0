"""The failover gap that the bench measures."""

import types

import pytest

from toucandeal_standins.bench import failover
from toucandeal_standins.bench.failover import AcknowledgedWrite, BookingWriter

NOW = 105.0


@pytest.mark.parametrize(
    ('answered', 'gap_s'),
    [
        ((100.0, 100.05, 100.3, NOW - 0.1, NOW), 4.6),
        ((100.0, 100.05), 4.95),
        ((98.0, 99.98, 100.02, 102.5, 102.6, 104.99), 2.48),
    ],
)
def test_a_gap_is_measured_however_long_it_is(monkeypatch, answered, gap_s):
    clock = types.SimpleNamespace(seconds=lambda: NOW)
    monkeypatch.setattr(failover, 'reactor', clock)
    writer = BookingWriter(types.SimpleNamespace(proxies=[]))
    writer.acknowledged = [AcknowledgedWrite(str(at), at) for at in answered]
    assert writer.longest_gap(100.0) == pytest.approx(gap_s)
