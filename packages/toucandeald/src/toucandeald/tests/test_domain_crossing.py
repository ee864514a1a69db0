"""Log lines, metrics and heartbeat field of reads that leave their domain."""

import eliot
import msgspec
import pytest
from prometheus_client import generate_latest

from toucandeal.domain_crossing import ANNOUNCEMENT_S
from toucandeal.fleet_tables import FleetTables, group_state, server_load
from toucandeal.tests.sample_tables import NOW, new_tables, renew_lease
from toucandeald.domain_crossing import DomainCrossing
from toucandeald.fleet_wire import FleetMessage, Heartbeat
from toucandeald.prometheus_metrics import PrometheusMetrics

TICK_S = 0.25
RISING_TICKS = 3
ANNOUNCED_AT = NOW + ANNOUNCEMENT_S + TICK_S


@pytest.fixture(name='lines')
def _lines():
    lines = []
    eliot.add_destinations(lines.append)
    yield lines
    eliot.remove_destination(lines.append)


def _short_tables() -> FleetTables:
    """Return tables whose own domain is short of servers of the group."""
    tables = new_tables()
    tables.crossing_cost_s = 0.005
    for name in 'ac':
        server = tables.servers[name]
        tables.servers[name] = server._replace(failure_domain='z2')
    load = server_load(tables, 'b')
    load.in_flight = 2
    load.waiting = 40
    return tables


def _tick(crossing, tables, now) -> None:
    renew_lease(tables, now)
    state = group_state(tables, 'g').crossing
    state.wanted_at = now
    state.asked = 10
    state.kept = 0
    crossing.tick(now)


def _crossing_lines(lines):
    return [
        line
        for line in lines
        if line.get('message_type') == 'toucandeald:crossing share'
    ]


def test_each_change_of_the_share_is_logged_once_with_its_inputs(lines):
    tables = _short_tables()
    crossing = DomainCrossing(tables, PrometheusMetrics())
    _tick(crossing, tables, NOW)
    for number in range(RISING_TICKS):
        _tick(crossing, tables, ANNOUNCED_AT + number * TICK_S)
    shares = [line['share'] for line in _crossing_lines(lines)]
    assert shares == [0.2, 0.4, 0.6]
    line = _crossing_lines(lines)[0]
    assert line['destinations'] == ['z2'] and line['unserved'] == 1
    assert line['own_wait_ms'] == 200 and line['crossing_cost_ms'] == 5
    assert line['own_age_ms'] is None, 'no answer has been measured yet'


def test_metrics_show_the_share_and_the_waits():
    tables = _short_tables()
    metrics = PrometheusMetrics()
    crossing = DomainCrossing(tables, metrics)
    _tick(crossing, tables, NOW)
    _tick(crossing, tables, ANNOUNCED_AT)
    text = generate_latest(metrics.registry).decode()
    labels = 'failure_domain="z1",group="g"'
    assert f'toucandeal_crossing{{{labels},measure="share"}} 0.2' in text
    assert f'{labels},measure="own_wait_seconds"}} 0.2' in text


def test_without_a_crossing_cost_nothing_is_logged_or_measured(lines):
    tables = _short_tables()
    tables.crossing_cost_s = None
    metrics = PrometheusMetrics()
    _tick(DomainCrossing(tables, metrics), tables, NOW)
    assert not _crossing_lines(lines)
    assert (
        'toucandeal_crossing{' not in generate_latest(metrics.registry).decode()
    )


def test_a_heartbeat_of_an_older_build_announces_no_share():
    fields = [
        'b', 'p1', 1, '', 0, 0, 0, 0, False, 0, True, True,
        [0, 0], 0, [0, 0], {}, {}, 'z1', 0,
    ]  # fmt: skip
    older = msgspec.msgpack.decode(
        msgspec.msgpack.encode(fields), type=FleetMessage
    )
    assert isinstance(older, Heartbeat) and not older.crossing_shares
