"""A bare twisted.web server that answers every POST alike.

Run with ``python -m toucandeal_standins.bench.echo``.
"""

import click
from twisted.internet import endpoints, reactor
from twisted.web import resource, server

__all__ = ['Echo', 'main']


class Echo(resource.Resource):
    """Answers a POST with its body."""

    isLeaf = True  # noqa: N815

    def render_POST(self, request) -> bytes:  # noqa: N802
        """Return the body."""
        return request.content.read()


@click.command()
@click.option('--port', type=int, required=True)
def main(port: int) -> None:
    """Serve until ended."""
    endpoints.TCP4ServerEndpoint(reactor, port, interface='127.0.0.1').listen(
        server.Site(Echo())
    )
    reactor.run()


if __name__ == '__main__':
    main()
