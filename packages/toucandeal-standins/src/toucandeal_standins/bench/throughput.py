"""Statements a second of one proxy, against a bare echo server."""

from twisted.internet import defer, reactor

from toucandeal_standins.bench.load import (
    arrivals,
    latency_figures,
    new_histogram,
)
from toucandeal_standins.bench.processes import usage
from toucandeal_standins.bench.report import Measure
from toucandeal_standins.callers import Callers
from toucandeal_standins.cluster import ATELIER
from toucandeal_standins.declared import declared_cluster
from toucandeal_standins.process import Process, free_port, post, wait_until

__all__ = ['measure_throughput']

WORKERS = 32
SLOTS = 16
CONNECTIONS = 40
BODY = {
    'caller': 'archivists',
    'class': 'glance',
    'statements': [{'sql': 'SELECT 1', 'parameters': []}],
}
# Targets without any latency, so that the proxy is the bottleneck.
FAST = ATELIER._replace(
    name='fast',
    one_way_ms=0,
    service_ms=0,
    connect_ms=0,
    slots=SLOTS,
    connections=CONNECTIONS,
    proxies=1,
)


@defer.inlineCallbacks
def _closed_loop(callers: Callers, address: str, seconds: float):
    """Keep `WORKERS` requests in flight; return how many were answered."""
    until = reactor.seconds() + seconds
    answered = [0]

    @defer.inlineCallbacks
    def work():
        while reactor.seconds() < until:
            reply = yield callers.post(address, '/v1/statements', BODY)
            answered[0] += reply.status == 200

    yield defer.gatherResults([work() for _ in range(WORKERS)])
    return answered[0]


@defer.inlineCallbacks
def _saturate(callers: Callers, address: str, pid: int, seconds: float):
    yield _closed_loop(callers, address, seconds / 4)  # warm up
    before = usage(pid)
    answered = yield _closed_loop(callers, address, seconds)
    used = usage(pid).cpu_s - before.cpu_s
    return answered / seconds, used / max(answered, 1) * 1e6


@defer.inlineCallbacks
def _latency(
    callers: Callers, address: str, rate: float, seconds: float, generator
):
    histogram = new_histogram()

    @defer.inlineCallbacks
    def once():
        began = reactor.seconds()
        yield callers.post(address, '/v1/statements', BODY)
        histogram.record_value(int((reactor.seconds() - began) * 1e6))

    yield arrivals(rate, seconds, generator, once)
    return histogram


@defer.inlineCallbacks
def measure_throughput(seconds: float, generator, seed: int):
    """Return the measure of one proxy process."""
    callers = Callers([])
    port = free_port()
    echo_address = f'127.0.0.1:{port}'
    echo = Process('toucandeal_standins.bench.echo', f'--port={port}')
    wait_until(lambda: post(echo_address, '/', {}), 'the echo server')
    echo_rate, echo_us = yield _saturate(
        callers, echo_address, echo.popen.pid, seconds
    )
    with declared_cluster(FAST) as cluster:
        proxy = cluster.proxies[0]
        rate, cpu_us = yield _saturate(
            callers, proxy.callers, proxy.process.popen.pid, seconds
        )
        low = rate * 0.3
        direct = yield _latency(callers, echo_address, low, seconds, generator)
        through = yield _latency(
            callers, proxy.callers, low, seconds, generator
        )
    echo.kill()
    callers.close()
    added = (
        through.get_value_at_percentile(50) - direct.get_value_at_percentile(50)
    ) / 1000
    return Measure(
        'throughput',
        'fast',
        {
            'statements_per_s': round(rate),
            'echo_requests_per_s': round(echo_rate),
            'ratio_to_echo': round(rate / echo_rate, 3),
            'cpu_us_per_statement': round(cpu_us),
            'echo_cpu_us_per_request': round(echo_us),
            'median_over_echo_ms': round(added, 3),
            **latency_figures(through),
        },
        round(rate * seconds),
        seed,
    )
