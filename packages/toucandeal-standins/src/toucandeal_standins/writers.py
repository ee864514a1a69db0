"""Writers that go on through faults, and the check of what they were told.

Each writer books under a new key. It repeats a key until it is served, except
that it drops every third key which is refused: such a key must have no row.
"""

import itertools
import threading
import time
from collections import Counter
from typing import NamedTuple

from toucandeal_standins.cluster import Cluster
from toucandeal_standins.process import wait_until
from toucandeal_standins.requests import SyncSession

__all__ = ['Verdict', 'Writers']

RETRY_S = 0.02
DROP_EVERY = 3  # of the refused keys
PAUSE_S = 0.005
TIMEOUT_S = 1.5  # of a request, past every class's deadline


class Verdict(NamedTuple):
    """How often each promise was broken; all zero is right."""

    lost: int
    doubled: int
    ran_though_refused: int
    stale_session_reads: int

    @property
    def broken(self) -> dict[str, int]:
        """Return the promises that were broken."""
        return {name: count for name, count in self._asdict().items() if count}


class Writers:
    """Writers in threads, one session each, roaming over all proxies."""

    def __init__(self, cluster: Cluster, number: int = 4) -> None:
        """Start the writers."""
        self.acknowledged: list[tuple[str, float]] = []
        self.dropped: list[str] = []
        self.stale = 0
        self.outcomes: Counter = Counter()
        self._cluster = cluster
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._write, args=(name,), daemon=True)
            for name in range(number)
        ]
        for thread in self._threads:
            thread.start()

    def wait_for(self, more: int) -> None:
        """Wait until `more` further writes are acknowledged."""
        enough = len(self.acknowledged) + more
        wait_until(
            lambda: len(self.acknowledged) >= enough,
            f'{more} more acknowledged writes',
            timeout_s=30,
        )

    def stop(self) -> None:
        """Let each writer finish its request, then end."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def verify(self) -> Verdict:
        """Compare what was promised with what the database holds."""
        session = SyncSession(self._cluster, 'conservators')
        rows = wait_until(
            lambda: session.read(
                'SELECT tag, count(*) FROM booking GROUP BY tag', proxy=0
            ).body.get('results'),
            'the final count',
        )[0]['rows']
        held = dict(rows)
        return Verdict(
            lost=sum(tag not in held for tag, _ in self.acknowledged),
            doubled=sum(count > 1 for count in held.values()),
            ran_though_refused=sum(tag in held for tag in self.dropped),
            stale_session_reads=self.stale,
        )

    def longest_gap_s(self) -> float:
        """Return the longest time between two acknowledgements."""
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
        never_unknown = True
        while True:
            reply = session.book(
                tag, proxy=self._proxy(proxies), request_class='booking'
            )
            self.outcomes[reply.outcome] += 1
            if reply.outcome == 'served':
                self.acknowledged.append((tag, time.monotonic()))
                return True
            never_unknown = never_unknown and reply.outcome == 'refused'
            if never_unknown and self.outcomes['refused'] % DROP_EVERY == 0:
                self.dropped.append(tag)
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
            self.stale += 1
