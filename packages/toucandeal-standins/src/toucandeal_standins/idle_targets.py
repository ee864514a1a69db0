"""Many idle targets in one process, to measure control traffic.

Run with ``python -m toucandeal_standins.idle_targets``. Each group has three
targets on consecutive ports; the first is its primary in term 1.
"""

import click
from twisted.internet import reactor

from toucandeal_standins.http_server import serve

__all__ = ['main']

SERVERS = 3


def _status(number: int) -> dict:
    return {
        'is_primary': number % SERVERS == 0,
        'term': 1,
        'log_term': 1,
        'index': 1,
        'upstream_age_s': 0.01,
    }


@click.command()
@click.option('--groups', type=int, required=True)
@click.option('--first-port', type=int, required=True)
def main(groups: int, first_port: int) -> None:
    """Answer status polls until the process is terminated."""
    for number in range(groups * SERVERS):
        answer = _status(number)
        serve(
            reactor, first_port + number, lambda *_, answer=answer: answer
        ).addErrback(lambda failure: failure.printTraceback())
    reactor.run()


if __name__ == '__main__':
    main()
