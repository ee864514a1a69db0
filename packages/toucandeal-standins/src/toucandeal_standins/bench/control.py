"""Control cost of an idle proxy, and cost of its tables at design size."""

import random
import socket
import time
import tracemalloc

from twisted.internet import defer

from toucandeal import engine
from toucandeal.configuration import Configuration, Row
from toucandeal.entities import Peer
from toucandeal.membership import heartbeat_received, hosts, live_proxies
from toucandeal.policies import Policies
from toucandeal.tables import ProxyIdentity, Tables
from toucandeal_standins.bench.load import sleep
from toucandeal_standins.bench.processes import process_usage
from toucandeal_standins.bench.report import Measure, Series
from toucandeal_standins.cluster import ATELIER, Cluster, running_cluster
from toucandeal_standins.idle_targets import SERVERS
from toucandeal_standins.process import Process, post, wait_until

__all__ = ['marginal_costs', 'measure_idle', 'measure_tables']

SETTLE_S = 4.0
FIRST_PORT = 20_000
CONTROL_BYTES_PREFIX = 'toucandeal.control_bytes_per_s:'
READY_TIMEOUT_S = 60.0
SAMPLED_GROUPS = 100


class StatsdReceiver:
    """Receives statsd datagrams and extracts the control bytes per second."""

    def __init__(self) -> None:
        """Listen on a free port."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(('127.0.0.1', 0))
        self._socket.setblocking(False)
        self.address = f'127.0.0.1:{self._socket.getsockname()[1]}'

    def control_bytes(self) -> list[float]:
        """Return the control bytes gauges received since the last call."""
        values = []
        while True:
            try:
                datagram = self._socket.recv(4096).decode()
            except BlockingIOError:
                return values
            if datagram.startswith(CONTROL_BYTES_PREFIX):
                values.append(
                    float(datagram[len(CONTROL_BYTES_PREFIX) :].split('|')[0])
                )

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


def _declare_idle_groups(cluster: Cluster, groups: int) -> None:
    for number in range(groups):
        targets = ' '.join(
            f'target t{number}-{server} '
            f'at 127.0.0.1:{FIRST_PORT + number * SERVERS + server} '
            f'in d{server} slots 2 connections 64'
            for server in range(SERVERS)
        )
        answer = cluster.proxies[0].command(
            f'declare group g{number} {targets}'
        )
        if 'version' not in answer:
            raise RuntimeError(
                f'the proxy rejected the group declaration: {answer}'
            )


def _all_groups_writable(cluster: Cluster, groups: int) -> bool:
    return all(
        len(proxy.command('show groups where writable = true')['rows'])
        == groups
        for proxy in cluster.proxies
    )


@defer.inlineCallbacks
def measure_idle(groups: int, proxies: int, seconds: float, seed: int):
    """Measure idle proxies that serve idle groups."""
    deployment = ATELIER._replace(
        name='idle', groups=0, servers=0, proxies=proxies
    )
    statsd = StatsdReceiver()
    idle_targets = Process(
        'toucandeal_standins.idle_targets',
        f'--groups={groups}',
        f'--first-port={FIRST_PORT}',
    )
    last_target = f'127.0.0.1:{FIRST_PORT + groups * SERVERS - 1}'
    wait_until(
        lambda: post(last_target, '/status', method='GET'), 'idle targets'
    )
    flags = (f'--statsd={statsd.address}', '--log-file=/dev/null')
    try:
        with running_cluster(deployment, flags) as cluster:
            _declare_idle_groups(cluster, groups)
            wait_until(
                lambda: _all_groups_writable(cluster, groups),
                'the groups',
                timeout_s=READY_TIMEOUT_S,
            )
            yield sleep(SETTLE_S)
            pids = [proxy.process.popen.pid for proxy in cluster.proxies]
            before = [process_usage(pid) for pid in pids]
            statsd.control_bytes()
            yield sleep(seconds)
            after = [process_usage(pid) for pid in pids]
            control_bytes = statsd.control_bytes()
    finally:
        idle_targets.kill()
        statsd.close()
    cpu_used_s = sum(
        later.cpu_s - earlier.cpu_s
        for earlier, later in zip(before, after, strict=True)
    )
    return Measure(
        'control',
        f'idle-{groups}-groups-{proxies}-proxies',
        {
            'cpu_share_of_core': round(cpu_used_s / seconds / proxies, 4),
            'resident_mb': round(
                sum(entry.resident_bytes for entry in after) / proxies / 1e6, 1
            ),
            'bytes_per_s': round(
                sum(control_bytes) / max(len(control_bytes), 1)
            ),
        },
        proxies,
        seed,
    )


def _group_rows(groups: int) -> list[Row]:
    return [
        Row(
            f'group/g{number}',
            number + 1,
            {
                'targets': [
                    {
                        'name': f't{number}-{server}',
                        'address': f'10.0.{server}.1:{1024 + number}',
                        'failure_domain': f'd{server}',
                        'slots': 2,
                        'connections': 64,
                    }
                    for server in range(SERVERS)
                ]
            },
        )
        for number in range(groups)
    ]


def measure_tables(groups: int, peers: int, hosted: int, seed: int) -> Measure:
    """Measure the memory and CPU cost of the tables, without a network."""
    generator = random.Random(seed)
    tables = Tables(ProxyIdentity('p0', 1), Policies())
    rows = _group_rows(groups)
    tracemalloc.start()
    frame = engine.begin_frame(tables, 1.0, generator)
    engine.configuration_received(frame, Configuration(0, {}), groups, rows)
    group_bytes = tracemalloc.get_traced_memory()[0]
    live = tuple(f'p{number}' for number in range(8))
    for number in range(peers):
        peer = Peer(f'p{number + 1}', 1, '', '', 'd', False, live, groups, 1.0)
        heartbeat_received(frame, peer, [])
    peer_bytes = tracemalloc.get_traced_memory()[0] - group_bytes
    tracemalloc.stop()
    start = time.perf_counter()
    for number in range(SAMPLED_GROUPS):
        hosts(tables, f'g{number}')
    hashing_s = (time.perf_counter() - start) / SAMPLED_GROUPS
    # Ticks are timed with the hosted groups already computed.
    tables.hosted = {f'g{number}': number < hosted for number in range(groups)}
    tables.proxies_per_group = dict.fromkeys(tables.hosted, 4)
    tables.hosting_inputs = (
        tuple(live_proxies(tables)),
        tables.group_changes,
        tables.proxies_counted,
    )
    ticks = [
        _timed_tick(tables, 1.0 + number / 100, generator)
        for number in range(1, 4)
    ]
    return Measure(
        'tables',
        f'{groups}-groups-{peers}-peers-{hosted}-hosted',
        {
            'tick_ms': round(min(ticks) * 1000, 2),
            'hashing_ms_per_group': round(hashing_s * 1000, 3),
            'hashing_all_groups_s': round(hashing_s * groups, 1),
            'bytes_per_group': round(group_bytes / groups),
            'bytes_per_peer': round(peer_bytes / max(peers, 1)),
        },
        len(ticks),
        seed,
    )


def _timed_tick(tables: Tables, now: float, generator) -> float:
    frame = engine.begin_frame(tables, now, generator)
    start = time.perf_counter()
    engine.tick(frame)
    return time.perf_counter() - start


def marginal_costs(measurements: list[Measure], seed: int) -> Measure:
    """Return the marginal cost to an idle proxy of one group and one proxy."""
    figures = {}
    points = {}
    for measurement in measurements:
        _, groups, _, proxies, _ = measurement.deployment.split('-')
        points[int(groups), int(proxies)] = measurement.figures
    by_groups = sorted(point for point in points if point[1] == 4)
    by_proxies = sorted(point for point in points if point[0] == 3)
    for label, axis_points, axis in (
        ('group', by_groups, 0),
        ('proxy', by_proxies, 1),
    ):
        low, high = axis_points[0], axis_points[-1]
        steps = high[axis] - low[axis]
        for name in ('cpu_share_of_core', 'resident_mb', 'bytes_per_s'):
            slope = (points[high][name] - points[low][name]) / steps
            figures[f'{name}_per_{label}'] = round(slope, 6)
    series = tuple(
        Series(
            f'by {label}',
            [
                (point[axis], points[point]['cpu_share_of_core'])
                for point in axis_points
            ],
        )
        for label, axis_points, axis in (
            ('groups', by_groups, 0),
            ('proxies', by_proxies, 1),
        )
    )
    return Measure(
        'control_slopes',
        'idle',
        figures,
        len(measurements),
        seed,
        series,
        ('groups or proxies', 'share of a core'),
    )
