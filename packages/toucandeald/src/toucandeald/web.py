"""The HTTP resource for callers."""

import math
from collections.abc import Callable

from twisted.internet import defer
from twisted.web import http, resource, server

from toucandeald.caller_service import Reply
from toucandeald.logs import log_event

__all__ = ['SESSION_HEADER', 'CallerResource', 'Connections']

SESSION_HEADER = b'toucandeal-session'
_JSON = b'application/json'


class Connections:
    """Requests in flight, and whether to close connections after a reply."""

    def __init__(self) -> None:
        """Initialize with no requests in flight."""
        self.requests_in_flight = 0
        self.closing = False


class CallerResource(resource.Resource):
    """Passes each request to a handler and writes the reply."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        handler: Callable[[str, str, bytes], defer.Deferred],
        connections: Connections,
        max_body_bytes: int,
    ) -> None:
        """Initialize with the handler and the counter of requests."""
        super().__init__()
        self._handler = handler
        self._connections = connections
        self._max_body_bytes = max_body_bytes

    def render_POST(self, request: server.Request):  # noqa: N802
        """Handle a POST and write the reply when the handler has finished."""
        token = request.requestHeaders.getRawHeaders(SESSION_HEADER, [b''])[0]
        # One byte over the limit suffices for the handler to reject the body.
        body = request.content.read(self._max_body_bytes + 1)
        self._connections.requests_in_flight += 1
        answer = self._handler(
            request.path.decode('utf-8', 'replace'),
            token.decode('latin-1'),
            body,
        )
        ended = request.notifyFinish()
        ended.addErrback(lambda _: None)
        answer.addErrback(_unexpected)
        answer.addCallback(self._write, request)
        return server.NOT_DONE_YET

    def _write(self, reply: Reply, request: server.Request) -> None:
        self._connections.requests_in_flight -= 1
        # pylint: disable=protected-access
        if request._disconnected:  # noqa: SLF001
            return
        request.setResponseCode(reply.status)
        request.setHeader(b'content-type', _JSON)
        request.setHeader(b'content-length', b'%d' % len(reply.body))
        if reply.token:
            request.setHeader(SESSION_HEADER, reply.token.encode('ascii'))
        if reply.retry_after_s:
            seconds = math.ceil(reply.retry_after_s)
            request.setHeader(b'retry-after', b'%d' % seconds)
        if self._connections.closing:
            request.setHeader(b'connection', b'close')
            request.channel.persistent = False
        request.write(reply.body)
        request.finish()


def _unexpected(failure) -> Reply:
    log_event(
        'fault',
        error=failure.getErrorMessage(),
        trace=failure.getTraceback(),
    )
    body = (
        b'{"error": {"kind": "internal", "problem": "The proxy failed", '
        b'"remedy": "Repeat with the same request key, and report the log"}}'
    )
    return Reply(http.INTERNAL_SERVER_ERROR, '', body)
