"""Starts all processes of a deployment, for the demo, the bench and tests."""

import contextlib
import functools
import signal
import string
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from toucandeal_standins.process import (
    Process,
    free_port,
    post,
    wait_until,
)

__all__ = [
    'ATELIER',
    'CONSORCIO',
    'Cluster',
    'Deployment',
    'class_suffixes',
    'group_names',
    'declare_group_text',
    'Proxy',
    'running_cluster',
]

TOKEN_KEYS = 'stand-in-signing-key'


class Deployment(NamedTuple):
    """The name, sizes and latencies of a deployment."""

    name: str
    group: str
    failure_domains: tuple[str, ...]
    one_way_ms: float
    slots: int
    connections: int
    connect_ms: float
    service_ms: float
    groups: int
    servers: int
    proxies: int


ATELIER = Deployment(
    'atelier',
    'reels',
    ('tn-north-a', 'tn-north-b', 'tn-north-c'),
    1.0,
    2,
    16,
    12.0,
    2.0,
    1,
    3,
    4,
)
CONSORCIO = Deployment(
    'consorcio',
    'specs',
    ('lima-a', 'lima-b', 'lima-c'),
    1.5,
    5,
    55,
    12.0,
    2.0,
    1,
    3,
    4,
)


class Server(NamedTuple):
    """A running target stand-in."""

    name: str
    address: str
    process: Process

    def fault(self, **changes: Any) -> None:
        """Set faults of the target."""
        post(self.address, '/fault', changes)

    def status(self) -> dict[str, Any]:
        """Return the status that the target reports."""
        return post(self.address, '/inspect', method='GET')[2]

    def executions(self) -> dict[str, Any]:
        """Return the statements that have arrived, and malformed requests."""
        return post(self.address, '/executions', method='GET')[2]


class Proxy(NamedTuple):
    """A running daemon and its addresses."""

    name: str
    callers: str
    operators: str
    peers: str
    process: Process
    log: Path

    def ready(self) -> bool:
        """Return whether the daemon reports that it is ready."""
        return post(self.operators, '/ready', method='GET')[0] == 200

    def command(self, text: str, change_id: str = '') -> dict[str, Any]:
        """Run an operators' command."""
        body = {'command': text, 'change_id': change_id}
        return post(self.operators, '/v1/commands', body)[2]


class Link(NamedTuple):
    """A fault-injecting TCP proxy on the path to another process."""

    address: str
    control: str
    process: Process

    def fault(self, **changes: Any) -> None:
        """Set faults of the link."""
        post(self.control, '/', changes)


class Cluster:
    """The running processes of a deployment."""

    def __init__(self, deployment: Deployment, folder: Path) -> None:
        """Create a cluster without processes."""
        self.deployment = deployment
        self.folder = folder
        self.platform_address = f'127.0.0.1:{free_port()}'
        self.platform: Process | None = None
        self.groups: dict[str, list[Server]] = {}
        self.proxies: list[Proxy] = []
        self.links: dict[tuple[str, str], Link] = {}

    def processes(self) -> list[Process]:
        """Return all processes."""
        servers = (
            server.process for group in self.groups.values() for server in group
        )
        proxies = (proxy.process for proxy in self.proxies)
        platform = [self.platform] if self.platform else []
        links = (link.process for link in self.links.values())
        return [*platform, *servers, *proxies, *links]

    def primary(self, group: str) -> Server:
        """Return the server that is primary in the highest term."""

        def primary_term(server: Server) -> int:
            status = server.status()
            return status['term'] if status['is_primary'] else -1

        running = [
            server for server in self.groups[group] if server.process.is_running
        ]
        return max(running, key=primary_term)

    def replicas(self, group: str) -> list[Server]:
        """Return the servers of a group except its primary."""
        primary = self.primary(group)
        return [server for server in self.groups[group] if server != primary]

    def platform_fault(self, **changes: Any) -> None:
        """Set faults of the platform."""
        post(self.platform_address, '/fault', changes)


def start_link(
    cluster: Cluster, source: str, destination: str, upstream: str
) -> Link:
    """Start a fault-injecting proxy between two processes."""
    ports = [free_port(), free_port()]
    process = Process(
        'toucandeal_standins.fault_proxy',
        f'--port={ports[0]}',
        f'--control-port={ports[1]}',
        f'--upstream={upstream}',
        log=cluster.folder / f'{source}-{destination}.log',
    )
    address, control = (f'127.0.0.1:{port}' for port in ports)
    link = Link(address, control, process)
    cluster.links[source, destination] = link
    wait_until(
        lambda: post(control, '/', {}), f'link {source} to {destination}'
    )
    return link


def _start_links(cluster: Cluster, name: str, peer: str) -> list[str]:
    """Start the links of a proxy and return the flags that make it use them.

    The links lead to all targets, the platform and the proxy's peer listener.
    """
    routes = [
        f'--route={server.name}='
        + start_link(cluster, name, server.name, server.address).address
        for group in cluster.groups.values()
        for server in group
    ]
    platform = start_link(cluster, name, 'platform', cluster.platform_address)
    inbound = start_link(cluster, 'peers', name, peer)
    return [
        *routes,
        f'--platform={platform.address}',
        f'--advertise-peers={inbound.address}',
    ]


def _start_platform(cluster: Cluster) -> None:
    port = cluster.platform_address.partition(':')[2]
    cluster.platform = Process(
        'toucandeal_standins.platform_service',
        '--port',
        port,
        log=cluster.folder / 'platform.log',
    )
    wait_until(
        lambda: post(cluster.platform_address, '/vms', method='GET'),
        'the platform',
    )


def _start_group(cluster: Cluster, group: str) -> None:
    deployment = cluster.deployment
    names = [f'{group}-{number + 1}' for number in range(deployment.servers)]
    ports = {name: free_port() for name in names}
    cluster.groups[group] = [
        Server(
            name,
            f'127.0.0.1:{port}',
            Process(
                'toucandeal_standins.target',
                f'--name={name}',
                f'--port={port}',
                f'--slots={deployment.slots}',
                f'--connections={deployment.connections}',
                f'--connect-ms={deployment.connect_ms}',
                f'--one-way-ms={deployment.one_way_ms}',
                f'--service-ms={deployment.service_ms}',
                *(
                    f'--peer=127.0.0.1:{other}'
                    for other_name, other in ports.items()
                    if other_name != name
                ),
                log=cluster.folder / f'{name}.log',
            ),
        )
        for name, port in ports.items()
    ]
    for server in cluster.groups[group]:
        wait_until(server.status, server.name)


def _start_proxies(
    cluster: Cluster, flags: tuple[str, ...], linked: int
) -> None:
    domains = cluster.deployment.failure_domains
    peers = [
        f'127.0.0.1:{free_port()}' for _ in range(cluster.deployment.proxies)
    ]
    for number, peer in enumerate(peers):
        start_proxy(
            cluster,
            f'proxy-{number + 1}',
            domains[number % len(domains)],
            peer,
            [other for other in peers if other != peer],
            flags,
            linked=number < linked,
        )
    for proxy in cluster.proxies:
        started = functools.partial(_has_started, cluster, proxy)
        wait_until(started, proxy.name)


def _has_started(cluster: Cluster, proxy: Proxy) -> bool:
    """Return whether a proxy is ready.

    Raises
    ------
    RuntimeError
        The process has exited; the message contains its output.
    """
    if not proxy.process.is_running:
        output = (cluster.folder / f'{proxy.name}.err').read_text()
        raise RuntimeError(f'{proxy.name} exited during startup: {output}')
    return proxy.ready()


def start_proxy(
    cluster: Cluster,
    name: str,
    failure_domain: str,
    peer: str,
    others: list[str],
    flags: tuple[str, ...] = (),
    *,
    linked: bool = False,
) -> Proxy:
    """Start a proxy, with links on all its network paths if `linked`."""
    links = _start_links(cluster, name, peer) if linked else ()
    callers, operators = (f'127.0.0.1:{free_port()}' for _ in range(2))
    log = cluster.folder / f'{name}.jsonl'
    process = Process(
        'toucandeald.main',
        f'--name={name}',
        f'--failure-domain={failure_domain}',
        f'--listen-callers={callers}',
        f'--listen-operators={operators}',
        f'--listen-peers={peer}',
        f'--platform={cluster.platform_address}',
        f'--token-keys={TOKEN_KEYS}',
        f'--log-file={log}',
        *(f'--peer={other}' for other in others),
        *flags,
        *links,
        log=cluster.folder / f'{name}.err',
    )
    proxy = Proxy(name, callers, operators, peer, process, log)
    cluster.proxies.append(proxy)
    return proxy


def declare_group_text(cluster: Cluster, group: str) -> str:
    """Return the command that declares a started group."""
    deployment = cluster.deployment
    domains = deployment.failure_domains
    targets = (
        f'target {server.name} at {server.address} '
        f'in {domains[number % len(domains)]} '
        f'slots {deployment.slots} connections {deployment.connections}'
        for number, server in enumerate(cluster.groups[group])
    )
    return f'declare group {group} ' + ' '.join(targets)


def group_names(deployment: Deployment) -> list[str]:
    """Return the names of a deployment's groups."""
    if deployment.groups == 1:
        return [deployment.group]
    return [
        f'{deployment.group}-{letter}'
        for letter in string.ascii_lowercase[: deployment.groups]
    ]


def class_suffixes(deployment: Deployment) -> list[str]:
    """Return the suffix of the class names for each group of a deployment."""
    if deployment.groups == 1:
        return ['']
    return [f'-{number}' for number in range(deployment.groups)]


@contextlib.contextmanager
def running_cluster(
    deployment: Deployment, flags: tuple[str, ...] = (), linked: int = 0
) -> Iterator[Cluster]:
    """Start a deployment and kill all its processes on exit.

    Parameters
    ----------
    deployment : Deployment
    flags : tuple of str
        Additional flags of each proxy.
    linked : int
        Number of proxies that get links on all their network paths.
    """
    with tempfile.TemporaryDirectory(prefix='toucandeal-') as folder:
        cluster = Cluster(deployment, Path(folder))
        try:
            _start_platform(cluster)
            for group in group_names(deployment):
                _start_group(cluster, group)
            _start_proxies(cluster, flags, linked)
            yield cluster
        finally:
            for process in cluster.processes():
                process.signal(signal.SIGCONT)
                process.kill()
