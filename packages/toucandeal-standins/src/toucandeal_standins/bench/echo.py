"""A minimal twisted.web server that echoes the body of every POST.

Run with ``python -m toucandeal_standins.bench.echo``.
"""

import click
from twisted.internet import endpoints, reactor
from twisted.web import resource, server

__all__ = ['Echo', 'main']


class Echo(resource.Resource):
    """Echoes the body of a POST request."""

    isLeaf = True  # noqa: N815

    def render_POST(self, request) -> bytes:  # noqa: N802
        """Return the request body."""
        return request.content.read()


@click.command()
@click.option('--port', type=int, required=True)
def main(port: int) -> None:
    """Serve until the process is stopped."""
    endpoints.TCP4ServerEndpoint(reactor, port, interface='127.0.0.1').listen(
        server.Site(Echo())
    )
    reactor.run()


if __name__ == '__main__':
    main()
