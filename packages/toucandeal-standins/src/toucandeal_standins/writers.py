"""Writers that keep writing during faults, and the check of their answers.

Each writer inserts a booking under a new request key and retries the key until
it is served. On every third refusal the writer abandons a key whose answers
were all refusals: such a key must have no row.
"""

import itertools
import threading
import time
from collections import Counter
from typing import NamedTuple

from toucandeal_standins.cluster import Cluster
from toucandeal_standins.process import wait_until
from toucandeal_standins.requests import SyncSession

__all__ = ['GuaranteeViolations', 'Writers']

RETRY_S = 0.02
ABANDON_EVERY = 3  # refusals, counted over all writers
PAUSE_S = 0.005
TIMEOUT_S = 1.5  # per request, longer than every class's deadline


class GuaranteeViolations(NamedTuple):
    """How often each guarantee was violated; all are expected to be 0."""

    lost: int
    doubled: int
    ran_though_refused: int
    stale_session_reads: int

    @property
    def violated(self) -> dict[str, int]:
        """Return the guarantees that were violated, with their counts."""
        return {name: count for name, count in self._asdict().items() if count}


class Writers:
    """Writer threads, each with one session that roams over all proxies."""

    def __init__(self, cluster: Cluster, number: int = 4) -> None:
        """Start the writer threads."""
        self.acknowledged: list[tuple[str, float]] = []
        self.abandoned: list[str] = []
        self.stale_reads = 0
        self.outcomes: Counter = Counter()
        self._cluster = cluster
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._write, args=(name,), daemon=True)
            for name in range(number)
        ]
        for thread in self._threads:
            thread.start()

    def wait_for_writes(self, more: int) -> None:
        """Wait until `more` additional writes are acknowledged."""
        required = len(self.acknowledged) + more
        wait_until(
            lambda: len(self.acknowledged) >= required,
            f'{more} more acknowledged writes',
            timeout_s=30,
        )

    def stop(self) -> None:
        """Stop each writer after its current request."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def verify(self) -> GuaranteeViolations:
        """Compare the answers that writers received with the database."""
        session = SyncSession(self._cluster, 'conservators')
        rows = wait_until(
            lambda: session.read(
                'SELECT tag, count(*) FROM booking GROUP BY tag', proxy=0
            ).body.get('results'),
            'the final count',
        )[0]['rows']
        row_counts = dict(rows)
        return GuaranteeViolations(
            lost=sum(tag not in row_counts for tag, _ in self.acknowledged),
            doubled=sum(count > 1 for count in row_counts.values()),
            ran_though_refused=sum(tag in row_counts for tag in self.abandoned),
            stale_session_reads=self.stale_reads,
        )

    def longest_gap_s(self) -> float:
        """Return the longest time between successive acknowledgements."""
        times = sorted(at for _, at in self.acknowledged)
        return max(
            (later - earlier for earlier, later in itertools.pairwise(times)),
            default=0,
        )

    def _write(self, name: int) -> None:
        session = SyncSession(self._cluster, 'conservators')
        session.timeout_s = TIMEOUT_S
        proxies = itertools.count(name)
        for number in itertools.count():
            if self._stopped.is_set():
                return
            tag = f'w{name}-{number}'
            if self._book(session, tag, proxies):
                self._read_back(session, tag, next(proxies))
            time.sleep(PAUSE_S)

    def _book(self, session: SyncSession, tag: str, proxies) -> bool:
        only_refused = True
        while True:
            reply = session.book(
                tag, proxy=self._proxy(proxies), request_class='booking'
            )
            self.outcomes[reply.outcome] += 1
            if reply.outcome == 'served':
                self.acknowledged.append((tag, time.monotonic()))
                return True
            only_refused = only_refused and reply.outcome == 'refused'
            if only_refused and self.outcomes['refused'] % ABANDON_EVERY == 0:
                self.abandoned.append(tag)
                return False
            if self._stopped.is_set():
                return False
            time.sleep(RETRY_S)

    def _proxy(self, proxies) -> int:
        return next(proxies) % len(self._cluster.proxies)

    def _read_back(self, session: SyncSession, tag: str, proxy: int) -> None:
        reply = session.read(
            f"SELECT count(*) FROM booking WHERE tag = '{tag}'",
            proxy=proxy % len(self._cluster.proxies),
            request_class='glance',
        )
        if reply.outcome == 'served' and reply.first_value < 1:
            self.stale_reads += 1
