"""HTTP probes of liveness and readiness for the load balancer."""

from collections.abc import Callable

from twisted.web import http, resource

__all__ = ['Probe']


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
