"""Statements per second of one proxy, compared to a plain echo server."""

from twisted.internet import defer, reactor

from toucandeal_standins.bench.load import (
    latency_percentiles,
    new_histogram,
    run_open_loop,
)
from toucandeal_standins.bench.processes import process_usage
from toucandeal_standins.bench.report import Measure
from toucandeal_standins.callers import Callers
from toucandeal_standins.cluster import ATELIER
from toucandeal_standins.declared import declared_cluster
from toucandeal_standins.process import Process, free_port, post, wait_until

__all__ = ['measure_throughput']

CONCURRENCY = 32
SLOTS = 16
CONNECTIONS = 40
BODY = {
    'caller': 'archivists',
    'class': 'glance',
    'statements': [{'sql': 'SELECT 1', 'parameters': []}],
}
# Targets without simulated latency, so that the proxy is the bottleneck.
ZERO_LATENCY = ATELIER._replace(
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
    """Keep `CONCURRENCY` requests in flight; return how many succeeded."""
    deadline = reactor.seconds() + seconds
    answered = [0]

    @defer.inlineCallbacks
    def send_requests():
        while reactor.seconds() < deadline:
            reply = yield callers.post(address, '/v1/statements', BODY)
            answered[0] += reply.status == 200

    yield defer.gatherResults([send_requests() for _ in range(CONCURRENCY)])
    return answered[0]


@defer.inlineCallbacks
def _measure_saturation(
    callers: Callers, address: str, pid: int, seconds: float
):
    yield _closed_loop(callers, address, seconds / 4)  # warm up
    before = process_usage(pid)
    answered = yield _closed_loop(callers, address, seconds)
    cpu_used_s = process_usage(pid).cpu_s - before.cpu_s
    return answered / seconds, cpu_used_s / max(answered, 1) * 1e6


@defer.inlineCallbacks
def _measure_latency(
    callers: Callers, address: str, rate: float, seconds: float, generator
):
    histogram = new_histogram()

    @defer.inlineCallbacks
    def send_request():
        start = reactor.seconds()
        yield callers.post(address, '/v1/statements', BODY)
        histogram.record_value(int((reactor.seconds() - start) * 1e6))

    yield run_open_loop(rate, seconds, generator, send_request)
    return histogram


@defer.inlineCallbacks
def measure_throughput(seconds: float, generator, seed: int):
    """Measure the throughput and latency of one proxy process."""
    callers = Callers([])
    port = free_port()
    echo_address = f'127.0.0.1:{port}'
    echo_process = Process('toucandeal_standins.bench.echo', f'--port={port}')
    wait_until(lambda: post(echo_address, '/', {}), 'the echo server')
    echo_rate, echo_us = yield _measure_saturation(
        callers, echo_address, echo_process.popen.pid, seconds
    )
    with declared_cluster(ZERO_LATENCY) as cluster:
        proxy = cluster.proxies[0]
        rate, cpu_us = yield _measure_saturation(
            callers, proxy.callers, proxy.process.popen.pid, seconds
        )
        low_rate = rate * 0.3
        echo_latency = yield _measure_latency(
            callers, echo_address, low_rate, seconds, generator
        )
        proxy_latency = yield _measure_latency(
            callers, proxy.callers, low_rate, seconds, generator
        )
    echo_process.kill()
    callers.close()
    added_ms = (
        proxy_latency.get_value_at_percentile(50)
        - echo_latency.get_value_at_percentile(50)
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
            'median_over_echo_ms': round(added_ms, 3),
            **latency_percentiles(proxy_latency),
        },
        round(rate * seconds),
        seed,
    )
