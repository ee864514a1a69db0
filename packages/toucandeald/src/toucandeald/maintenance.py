"""Periodic maintenance: expiry of request keys, and gauges."""

import time
from collections.abc import Callable

from toucandeal.entities import RequestClass
from toucandeal.evidence import writable
from toucandeal.membership import takeover_rank
from toucandeal.positions import NOTHING_SEEN
from toucandeal.request_keys import expiry_statements
from toucandeald.logs import Metrics
from toucandeald.periodic_calls import call_every
from toucandeald.runtime import Runtime

__all__ = ['Maintenance']

KEY_EXPIRY_PERIOD_S = 600.0
KEY_EXPIRY_DEADLINE_S = 10.0
GAUGE_PERIOD_S = 1.0
MS_PER_S = 1000


class Maintenance:
    """Runs the periodic maintenance of this proxy."""

    def __init__(
        self,
        reactor,
        runtime: Runtime,
        metrics: Metrics,
        control_bytes: Callable[[], int],
    ) -> None:
        """Initialize with the components created by the composition root.

        `control_bytes` returns the total control traffic so far, in bytes.
        """
        self._reactor = reactor
        self._runtime = runtime
        self._metrics = metrics
        self._control_bytes = control_bytes
        self._reported_bytes = 0

    def begin(self) -> None:
        """Start the periodic tasks."""
        call_every(KEY_EXPIRY_PERIOD_S, self.expire_keys, now=False)
        call_every(GAUGE_PERIOD_S, self.send_gauges, now=False)

    def expire_keys(self) -> None:
        """Delete expired request keys of writable groups.

        Only the proxy with takeover rank 0 for a group deletes its keys.
        """
        tables = self._runtime.tables
        for group, view in tables.group_views.items():
            if writable(view) and takeover_rank(tables, group) == 0:
                self._expire_group(group)

    def _expire_group(self, group: str) -> None:
        request_class = RequestClass(
            'key expiry',
            group,
            is_write=True,
            idempotent=True,
            deadline_s=KEY_EXPIRY_DEADLINE_S,
        )
        self._runtime.submit(
            caller='',
            request_class=request_class,
            key=None,
            body=tuple(expiry_statements(round(time.time() * MS_PER_S))),
            seen=NOTHING_SEEN,
        )

    def send_gauges(self) -> None:
        """Send the gauges that operators monitor."""
        tables = self._runtime.tables
        gauges = {
            'requests': len(tables.requests),
            'transactions': len(tables.transactions),
            'proxies': len(tables.peers) + 1,
            'configuration_version': tables.configuration_version,
            'groups_not_writable': sum(
                not writable(view) for view in tables.group_views.values()
            ),
        }
        total_bytes = self._control_bytes()
        gauges['control_bytes_per_s'] = round(
            (total_bytes - self._reported_bytes) / GAUGE_PERIOD_S
        )
        self._reported_bytes = total_bytes
        for name, level in gauges.items():
            self._metrics.gauge(name, level)
