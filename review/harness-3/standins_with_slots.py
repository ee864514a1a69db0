"""The project's stand-ins, with servers that have slots and work to do.

Each server runs `SLOTS` reads, writes and commits at a time; each takes
`WORK_MS`. The others wait at the server, in the order in which they came. When
and where a statement was at work is reported by the command ``/work``.
"""

import collections
import os
import time

from toucandeal_platform.standins import __main__ as standins
from toucandeal_platform.standins import database

SLOTS = int(os.environ.get('SLOTS', '2'))
WORK_S = float(os.environ.get('WORK_MS', '15')) / 1000
_WORKING = ('READ', 'WRITE', 'EXECUTE', 'COMMIT')

intervals: dict[str, list[float]] = {}


def _verb(line: str) -> str:
    words = line.split(' ')
    if words[0] != 'QUERY' or words[1] == '-':
        return ''
    return words[4] if words[2] == 'WAITLSN' else words[2]


class SlotServer(database.DatabaseServer):
    """A server that runs a limited number of statements at once."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.at_work = 0
        self.queue = collections.deque()

    def buildProtocol(self, addr):  # noqa: N802
        del addr
        return SlotSession(self)

    def start_next(self) -> None:
        while self.queue and self.at_work < SLOTS:
            session, identity = self.queue.popleft()
            if not session.connected:
                continue
            self.at_work += 1
            intervals[identity] = [time.monotonic(), float('inf')]
            self.group.clock.callLater(WORK_S, self.finish, session, identity)

    def finish(self, session, identity: str) -> None:
        self.at_work -= 1
        intervals[identity][1] = time.monotonic()
        session._process_next_line()
        self.start_next()


class SlotSession(database._Session):
    """A session whose statements wait for a slot."""

    def _schedule_next_line(self) -> None:
        if not self._pending_lines or self._busy:
            return
        line = self._pending_lines[0]
        if _verb(line) not in _WORKING:
            super()._schedule_next_line()
            return
        self._busy = True
        self._server.queue.append((self, line.split(' ')[1]))
        self._server.start_next()


class Standins(standins._Standins):
    """The stand-ins, with one more command."""

    def __init__(self, connections: int) -> None:
        super().__init__(connections)
        self.store.add_command(b'/work', lambda _: intervals_as_json())


def intervals_as_json() -> dict:
    """Return when each statement was at work; null while it still is."""
    return {
        identity: [began, None if ended == float('inf') else ended]
        for identity, (began, ended) in intervals.items()
    }


if __name__ == '__main__':
    standins.DatabaseServer = SlotServer
    standins._Standins = Standins
    standins.main()
