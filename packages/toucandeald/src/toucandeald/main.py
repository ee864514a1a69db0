"""The ``toucandeald`` command."""

import gc
import signal
import sys

import click

from toucandeal.errors import BadSetting
from toucandeal.policies import Policies
from toucandeald.settings import Settings, check_settings

__all__ = ['main']

BAD_SETTINGS_STATUS = 2
DEFAULT_BODY_BYTES = 1_048_576
GC_THRESHOLD = 20_000
DEFAULT_STOP_TIMEOUT_S = 30.0
_DEFAULTS = Policies()


@click.command(context_settings={'auto_envvar_prefix': 'TOUCANDEALD'})
@click.option('--name', required=True, help='Unique among the proxies.')
@click.option('--failure-domain', required=True)
@click.option('--listen-callers', required=True, help='IP:PORT')
@click.option('--listen-operators', required=True, help='IP:PORT')
@click.option('--listen-peers', required=True, help='IP:PORT')
@click.option('--platform', required=True, help='IP:PORT of the table service.')
@click.option('--peer', 'peers', multiple=True, help='IP:PORT of a proxy.')
@click.option(
    '--advertise-peers',
    default='',
    help='IP:PORT at which peers reach this proxy, if it is another one.',
)
@click.option(
    '--route',
    'routes',
    multiple=True,
    help='TARGET=IP:PORT, for a target that this proxy reaches elsewhere.',
)
@click.option(
    '--token-keys',
    required=True,
    help='Keys that sign session tokens, split by commas; the first signs.',
)
@click.option('--statsd', default='', help='IP:PORT; empty sends no metrics.')
@click.option(
    '--log-file', default='-', help='A path, or - for standard error.'
)
@click.option(
    '--max-body-bytes', type=click.IntRange(1024), default=DEFAULT_BODY_BYTES
)
@click.option(
    '--stop-timeout-s', type=click.FloatRange(0), default=DEFAULT_STOP_TIMEOUT_S
)
@click.option('--heartbeat-s', type=float, default=_DEFAULTS.heartbeat_s)
@click.option('--suspect-s', type=float, default=_DEFAULTS.suspect_s)
@click.option('--replica-reads', default=_DEFAULTS.replica_reads)
@click.option('--replica-wait-s', type=float, default=_DEFAULTS.replica_wait_s)
@click.option(
    '--fixed-lag-s', type=float, default=_DEFAULTS.fixed_lag_s, hidden=True
)
@click.option('--confirm-writes/--no-confirm-writes', default=True, hidden=True)
@click.option('--fair-queue/--no-fair-queue', default=True, hidden=True)
@click.option('--admission/--no-admission', default=True, hidden=True)
def main(**options) -> None:
    """Run one proxy.

    Every flag can be given as an environment variable, like
    TOUCANDEALD_LISTEN_CALLERS.
    """
    try:
        settings = check_settings(_to_settings(options))
        status = _run(settings)
    except BadSetting as error:
        click.echo(f'toucandeald: {error}', err=True)
        status = BAD_SETTINGS_STATUS
    sys.exit(status)


def _to_settings(options) -> Settings:
    policies = _DEFAULTS._replace(
        **{
            name: options.pop(name)
            for name in tuple(options)
            if name in Policies._fields
        }
    )
    keys = options.pop('token_keys').split(',')
    return Settings(
        token_secrets=tuple(key.strip().encode() for key in keys),
        policies=policies,
        **options,
    )


def _run(settings: Settings) -> int:
    # Importing the reactor installs it, so it is imported only after the
    # settings have been checked.
    from twisted.internet import reactor

    from toucandeald.app import running, start
    from toucandeald.logs import open_log

    failures = []

    def fail(failure) -> None:
        failures.append(failure)
        reactor.stop()

    # Requests create no reference cycles, so the cyclic garbage collector can
    # run rarely.
    gc.set_threshold(GC_THRESHOLD)
    open_log(reactor, settings.log_file)
    with running(reactor, settings) as parts:
        reactor.callWhenRunning(
            lambda: start(reactor, settings, parts).addErrback(fail)
        )

        def stop(*_) -> None:
            reactor.callFromThread(parts.lifecycle.stop_requested)

        signal.signal(signal.SIGTERM, stop)
        signal.signal(signal.SIGINT, stop)
        reactor.run(installSignalHandlers=False)
    for failure in failures:
        failure.raiseException()
    return 0


if __name__ == '__main__':
    main()
