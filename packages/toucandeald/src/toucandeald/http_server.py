"""HTTP servers, for callers, operators, probes and metrics."""

from collections.abc import Callable

from twisted.internet import defer, error
from twisted.web import http, resource, server

from toucandeal.errors import BadSetting
from toucandeald.http_client import host_port

__all__ = ['Probe', 'listen', 'resource_at_path']

_BACKLOG = 1024


class QuietSite(server.Site):
    """A site without an access log; decisions are logged instead."""

    def log(self, request) -> None:
        """Write nothing."""


class Probe(resource.Resource):
    """Responds with 200 while a condition holds, otherwise with 503."""

    isLeaf = True  # noqa: N815

    def __init__(self, condition: Callable[[], bool]) -> None:
        """Initialize with the condition."""
        super().__init__()
        self._condition = condition

    def render_GET(self, request) -> bytes:  # noqa: N802
        """Respond with the status code of the condition."""
        if self._condition():
            return b'yes\n'
        request.setResponseCode(http.SERVICE_UNAVAILABLE)
        return b'no\n'


def resource_at_path(
    path: tuple[bytes, ...], leaf: resource.Resource
) -> resource.Resource:
    """Return a root resource that has `leaf` at a path."""
    root = resource.Resource()
    inner = root
    for name in path[:-1]:
        child = resource.Resource()
        inner.putChild(name, child)
        inner = child
    inner.putChild(path[-1], leaf)
    return root


def listen(
    reactor, flag: str, address: str, root: resource.Resource
) -> defer.Deferred:
    """Serve `root` at `address`, which was set by `flag`.

    Raises
    ------
    BadSetting
        The address can't be bound.
    """
    host, port = host_port(address)
    site = QuietSite(root)
    site.displayTracebacks = False
    try:
        listening = reactor.listenTCP(
            port, site, backlog=_BACKLOG, interface=host
        )
    except error.CannotListenError as failed:
        raise BadSetting(
            f'{flag} {address} can not be used: {failed.socketError}',
            'Choose a free port, or end the process that uses this one',
        ) from None
    return defer.succeed(listening)
