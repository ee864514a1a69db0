"""Blocking requests of a session, for the tests."""

import threading
from collections.abc import Callable
from http import client
from typing import Any, NamedTuple

from toucandeal_standins.cluster import Cluster
from toucandeal_standins.process import post

__all__ = ['Reply', 'SyncSession', 'in_background']


TIMEOUT_S = 15.0


class Reply(NamedTuple):
    """A proxy's answer; status 0 if the connection was lost."""

    status: int
    body: dict[str, Any]

    @property
    def outcome(self) -> str:
        """Return the outcome, or the kind of the error if there is one."""
        if 'error' in self.body:
            return self.body['error']['kind']
        return self.body.get('outcome', 'cut')

    @property
    def first_value(self) -> Any:
        """Return the first column of the first row."""
        return self.body['results'][0]['rows'][0][0]


class SyncSession:
    """A session that sends its token to whichever proxy it uses."""

    def __init__(self, cluster: Cluster, caller: str) -> None:
        """Start a session without a token."""
        self.caller = caller
        self.token = ''
        self.timeout_s = TIMEOUT_S
        self._cluster = cluster

    def post(self, proxy: int, path: str, body: Any) -> Reply:
        """Send one request through one proxy."""
        address = self._cluster.proxies[proxy].callers
        headers = {'Toucandeal-Session': self.token} if self.token else {}
        try:
            status, received, answer = post(
                address, path, body, headers, self.timeout_s
            )
        except (OSError, client.HTTPException):
            return Reply(0, {})
        self.token = received.get('toucandeal-session', self.token)
        return Reply(status, answer)

    def write(
        self,
        key: str,
        statements: list[dict[str, Any]],
        *,
        proxy: int,
        request_class: str = 'slow',
    ) -> Reply:
        """Send statements under a request key."""
        return self.post(
            proxy,
            '/v1/statements',
            {
                'caller': self.caller,
                'class': request_class,
                'key': key,
                'statements': statements,
            },
        )

    def book(self, tag: str, *, proxy: int, request_class='slow') -> Reply:
        """Insert one booking, with its tag as the request key."""
        insert = {
            'sql': 'INSERT INTO booking VALUES (?, 1)',
            'parameters': [tag],
        }
        return self.write(
            tag, [insert], proxy=proxy, request_class=request_class
        )

    def read(self, sql: str, *, proxy: int, request_class='lookup') -> Reply:
        """Run one query."""
        return self.post(
            proxy,
            '/v1/statements',
            {
                'caller': self.caller,
                'class': request_class,
                'statements': [{'sql': sql}],
            },
        )

    def bookings(self, tag: str, *, proxy: int) -> int:
        """Return the number of bookings with a tag, without staleness."""
        sql = f"SELECT count(*) FROM booking WHERE tag = '{tag}'"
        return self.read(sql, proxy=proxy).first_value


def in_background(function: Callable[[], Any]) -> Callable[[], Any]:
    """Start `function` in a thread; return a callable that joins the thread."""
    results = []
    thread = threading.Thread(
        target=lambda: results.append(function()), daemon=True
    )
    thread.start()

    def join() -> Any:
        thread.join()
        return results[0]

    return join
