"""A short day of the reel catalogue, on real processes.

Run with ``make demo``. At noon the primary is killed, and in the afternoon a
proxy is stopped as planned; callers go on.
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
SHOWN_EVERY = 7  # requests a printed line
SETUP_DEADLINE_S = 10.0


def _command(cluster: Cluster, text: str) -> None:
    """Run the ``toucandeal`` command as an operator would."""
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
        raise click.ClickException('a declaration was not accepted')


def _declare(cluster: Cluster, group: str) -> None:
    click.echo('Operators declare the group, the callers and the classes:')
    _command(cluster, declare_group_text(cluster, group))
    for text in catalogue.declarations(group):
        _command(cluster, text)
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
        raise click.ClickException(f'the schema was not accepted: {body}')


def _show(kind: catalogue.Kind, answer: Answer, proxy_count: int) -> None:
    last = answer.attempts[-1]
    proxy = last.proxy % proxy_count + 1
    target = last.body.get('target', '-')
    age = last.body.get('staleness_ms')
    freshness = '' if age is None else f', at most {age:.0f} ms old'
    again = f' after {len(answer.attempts)} tries' * (len(answer.attempts) > 1)
    outcome = last.body.get('outcome', 'error')
    click.echo(
        f'  {kind.request_class:<10} by {kind.caller:<12} {outcome} from '
        f'{target:<7} through proxy-{proxy} in '
        f'{answer.elapsed_s * 1000:5.1f} ms{freshness}{again}'
    )


@defer.inlineCallbacks
def _one(callers, ledger, sessions, number: int):
    kind = ledger.pick()
    session = ledger.random.choice(sessions[kind.caller])
    answer = yield catalogue.perform(callers, ledger, session, kind)
    if number % SHOWN_EVERY == 0 or len(answer.attempts) > 1:
        _show(kind, answer, len(callers.addresses))


@defer.inlineCallbacks
def _day(cluster: Cluster, seconds: float, seed: int):
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
        running.append(_one(callers, ledger, sessions, number))
        yield task.deferLater(reactor, 1 / REQUESTS_PER_S, lambda: None)
    yield defer.gatherResults(running)
    session = Session(catalogue.CALLERS[1])
    lost, doubled = yield catalogue.verify(callers, ledger, session)
    callers.close()
    return _summary(ledger, lost, doubled)


def _kill_primary(cluster: Cluster) -> None:
    primary = cluster.primary(ATELIER.group)
    click.echo(f'Noon: {primary.name}, the primary, is killed.')
    primary.process.kill()


def _stop_proxy(cluster: Cluster, callers: Callers) -> None:
    proxy = cluster.proxies[-1]
    click.echo(f'Afternoon: {proxy.name} is asked to stop.')
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
def _ended_by_signals() -> Iterator[None]:
    """Turn SIGTERM into an exit, so that the processes are cleaned up."""
    before = signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, before)


@click.command()
@click.option('--seconds', type=float, default=12.0, help='Length of the day.')
@click.option('--seed', type=int, default=1)
def main(seconds: float, seed: int) -> None:
    """Play a short day and report it."""
    started = time.monotonic()
    click.echo('Starting a platform, 3 targets and 4 proxies ...')
    with _ended_by_signals(), running_cluster(ATELIER) as cluster:
        _declare(cluster, ATELIER.group)
        click.echo(
            f'The day begins; about 1 request in {SHOWN_EVERY} is shown:'
        )
        summary = run_in_reactor(lambda: _day(cluster, seconds, seed))
    click.echo(f'Took {time.monotonic() - started:.0f} s.')
    if summary is None:
        sys.exit(1)
    click.echo(msgspec.json.encode(summary).decode())
    bad = summary['lost'] or summary['doubled']
    sys.exit(1 if bad or summary['stale_session_reads'] else 0)


if __name__ == '__main__':
    main()
