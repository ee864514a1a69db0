"""A demo of the reel catalogue workload on real processes.

Run with ``make demo``. After half of the requests the primary is killed, and
after three quarters a proxy is stopped gracefully; callers keep sending.
"""

import contextlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterator

import click
import msgspec
from twisted.internet import defer, reactor, task

from toucandeal_standins import catalogue
from toucandeal_standins.callers import Answer, Callers, Session
from toucandeal_standins.cluster import (
    ATELIER,
    Cluster,
    declare_group_text,
    running_cluster,
)
from toucandeal_standins.process import post, wait_until
from toucandeal_standins.reactor_run import run_in_reactor

__all__ = ['main']

REQUESTS_PER_S = 40
PRINT_EVERY = 7  # requests per printed line
SETUP_DEADLINE_S = 10.0


def _run_command(cluster: Cluster, text: str) -> None:
    """Run a command through the ``toucandeal`` command line."""
    addresses = [
        flag
        for proxy in cluster.proxies
        for flag in ('--proxy', proxy.operators)
    ]
    finished = subprocess.run(
        [sys.executable, '-m', 'toucandeal_cli.main', *addresses, text],
        capture_output=True,
        text=True,
        check=False,
    )
    shown = text if len(text) < 72 else text[:69] + '...'
    click.echo(f'  $ toucandeal {shown}')
    click.echo('    ' + (finished.stdout or finished.stderr).strip())
    if finished.returncode:
        raise click.ClickException('a declaration was rejected')


def _declare_catalogue(cluster: Cluster, group: str) -> None:
    click.echo('Declaring the group, the callers and the classes:')
    _run_command(cluster, declare_group_text(cluster, group))
    for text in catalogue.declarations(group):
        _run_command(cluster, text)
    wait_until(
        lambda: all(
            proxy.command('show groups')['rows'][0]['writable']
            for proxy in cluster.proxies
        ),
        'a primary',
    )
    status, _, body = post(
        cluster.proxies[0].callers,
        '/v1/statements',
        {
            'caller': catalogue.CALLERS[0],
            'class': 'booking',
            'key': 'schema',
            'statements': catalogue.schema(),
        },
    )
    if status != 200:
        raise click.ClickException(f'the schema was rejected: {body}')


def _print_outcome(
    kind: catalogue.Kind, answer: Answer, proxy_count: int
) -> None:
    last = answer.attempts[-1]
    proxy = last.proxy % proxy_count + 1
    target = last.body.get('target', '-')
    age = last.body.get('staleness_ms')
    freshness = '' if age is None else f', at most {age:.0f} ms old'
    retries = f' after {len(answer.attempts)} tries' * (
        len(answer.attempts) > 1
    )
    outcome = last.body.get('outcome', 'error')
    click.echo(
        f'  {kind.request_class:<10} by {kind.caller:<12} {outcome} from '
        f'{target:<7} through proxy-{proxy} in '
        f'{answer.elapsed_s * 1000:5.1f} ms{freshness}{retries}'
    )


@defer.inlineCallbacks
def _send_one(callers, ledger, sessions, number: int):
    kind = ledger.pick()
    session = ledger.random.choice(sessions[kind.caller])
    answer = yield catalogue.perform(callers, ledger, session, kind)
    if number % PRINT_EVERY == 0 or len(answer.attempts) > 1:
        _print_outcome(kind, answer, len(callers.addresses))


@defer.inlineCallbacks
def _send_requests(cluster: Cluster, seconds: float, seed: int):
    callers = Callers([proxy.callers for proxy in cluster.proxies])
    ledger = catalogue.Ledger(seed)
    sessions = {
        caller: [Session(caller) for _ in range(4)]
        for caller in catalogue.CALLERS
    }
    total = int(seconds * REQUESTS_PER_S)
    running = []
    for number in range(total):
        if number == total // 2:
            _kill_primary(cluster)
        if number == total * 3 // 4:
            _stop_proxy(cluster, callers)
        running.append(_send_one(callers, ledger, sessions, number))
        yield task.deferLater(reactor, 1 / REQUESTS_PER_S, lambda: None)
    yield defer.gatherResults(running)
    session = Session(catalogue.CALLERS[1])
    lost, doubled = yield catalogue.verify(callers, ledger, session)
    callers.close()
    return _summary(ledger, lost, doubled)


def _kill_primary(cluster: Cluster) -> None:
    primary = cluster.primary(ATELIER.group)
    click.echo(f'Killing the primary, {primary.name}.')
    primary.process.kill()


def _stop_proxy(cluster: Cluster, callers: Callers) -> None:
    proxy = cluster.proxies[-1]
    click.echo(f'Sending SIGTERM to {proxy.name}.')
    proxy.process.signal(signal.SIGTERM)
    callers.addresses = callers.addresses[:-1]


def _summary(ledger, lost: int, doubled: int) -> dict:
    counts = ledger.counts
    share = counts['replica_reads'] / max(counts['reads'], 1)
    return {
        'requests': counts['requests'],
        'served': counts['served'],
        'late': counts['late'],
        'lost': lost + counts['lost'],
        'doubled': doubled,
        'replica_read_share': round(share, 4),
        'stale_session_reads': counts['stale_session_reads'],
    }


@contextlib.contextmanager
def _exit_on_sigterm() -> Iterator[None]:
    """Exit on SIGTERM, so that cleanup ends the started processes."""
    previous_handler = signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, previous_handler)


@click.command()
@click.option('--seconds', type=float, default=12.0, help='Length of the day.')
@click.option('--seed', type=int, default=1)
def main(seconds: float, seed: int) -> None:
    """Run the demo workload and print a summary."""
    started = time.monotonic()
    click.echo('Starting a platform, 3 targets and 4 proxies ...')
    with _exit_on_sigterm(), running_cluster(ATELIER) as cluster:
        _declare_catalogue(cluster, ATELIER.group)
        click.echo(f'Sending requests; about 1 in {PRINT_EVERY} is shown:')
        summary = run_in_reactor(lambda: _send_requests(cluster, seconds, seed))
    click.echo(f'Took {time.monotonic() - started:.0f} s.')
    if summary is None:
        sys.exit(1)
    click.echo(msgspec.json.encode(summary).decode())
    failed = summary['lost'] or summary['doubled']
    sys.exit(1 if failed or summary['stale_session_reads'] else 0)


if __name__ == '__main__':
    main()
