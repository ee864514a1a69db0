"""A service is shut down after the connections to the store went silent.

Four proxies. Their open connections to the store go silent; new ones work.
Then all servers of the service report that they are draining, and go on
serving for 1 s longer than `drainMs`. Clients read and write at all proxies.
"""

import itertools
import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness-3'))

from deployment import BOUNDS, Session, deployment  # noqa: E402
from links import Links  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1')
PROXIES = ('p1', 'p2', 'p3', 'p4')
SERVERS = ('r1', 'r2', 'r3')
DRAIN_S = BOUNDS['drainMs'] / 1000
PAUSE_S = 0.03  # of a client between two statements
EXIT_S = DRAIN_S + 1.0  # the servers end this long after the acknowledgement
WATCHED_S = EXIT_S + 2.0  # after the acknowledgement


class Client(threading.Thread):
    """A client of one proxy, which reads and writes by turns."""

    numbers = itertools.count(1)

    def __init__(self, name: str, address, record: list) -> None:
        super().__init__(daemon=True)
        self.proxy = name
        self.address = address
        self.record = record
        self.ended = False

    def run(self) -> None:
        while not self.ended:
            try:
                self._use_session()
            except OSError:
                time.sleep(0.2)

    def _use_session(self) -> None:
        session = Session(self.address, 'bookings')
        while not self.ended:
            number = next(self.numbers)
            text = 'READ 1a4' if number % 2 else f'WRITE 1a4 d{number}'
            identity = f'{number:016x}'
            sent_at = time.monotonic()
            answer = session.query(identity, text)
            self.record.append((identity, self.proxy, text, sent_at, answer))
            if answer is None:
                break
            time.sleep(PAUSE_S)
        session.close()


def main(folder: pathlib.Path) -> int:
    record: list = []
    with deployment(folder) as fleet:
        fleet.start_standins(
            'harness-3/standins_with_slots.py', 50, SLOTS='3', WORK_MS='4.5'
        )
        links = Links(fleet.store)
        for name in PROXIES:
            fleet.store_links[name] = links.open(name)
            fleet.start_proxy(name)
        fleet.wait_ready(*PROXIES)
        time.sleep(6.0)
        clients = [
            Client(name, fleet.front(name), record) for name in PROXIES
        ]
        for client in clients:
            client.start()
        time.sleep(2.0)
        silent_at = time.monotonic()
        if TROUBLE != '0':
            for name in PROXIES:
                links.silence(name)
        time.sleep(0.1)
        for name in SERVERS:
            fleet.command('/entry', {'name': name, 'state': 'draining'})
        acknowledged_at = time.monotonic()
        time.sleep(EXIT_S)
        fleet.command(
            '/fault', {'servers': dict.fromkeys(SERVERS, 'refusing')}
        )
        time.sleep(WATCHED_S - EXIT_S)
        for client in clients:
            client.ended = True
        for client in clients:
            client.join(3.0)
        work = fleet.command('/work', {})
        logs = {
            name: (folder / f'{name}.log').read_text() for name in PROXIES
        }
        links.close()
    if os.environ.get('KEEP'):
        for name, text in logs.items():
            pathlib.Path(os.environ['KEEP'], f'{name}.log').write_text(text)
    return report(record, work, silent_at, acknowledged_at)


def report(record, work, silent_at: float, acknowledged_at: float) -> int:
    before = sum(sent_at < acknowledged_at for _, _, _, sent_at, _ in record)
    lines = []
    last = dict.fromkeys(PROXIES)
    late = 0
    for identity, proxy, text, sent_at, answer in record:
        if identity not in work or sent_at < acknowledged_at:
            continue
        began_s = work[identity][0] - acknowledged_at
        last[proxy] = max(last[proxy] or 0, began_s)
        if began_s > DRAIN_S:
            late += 1
            lines.append(
                f'{identity} {proxy} {text}: sent '
                f'{sent_at - acknowledged_at:.3f} s, at work at the primary '
                f'{began_s:.3f} s after the acknowledgement, '
                f'answer {answer and answer[-2]}'
            )
    in_doubt = sum(
        answer is not None and any('INDOUBT' in line for line in answer)
        for *_, sent_at, answer in record
        if sent_at > acknowledged_at + DRAIN_S
    )
    summary = [
        f'TROUBLE={TROUBLE}: connections to the store silent '
        + (
            'never'
            if TROUBLE == '0'
            else f'{silent_at - acknowledged_at:.3f} s after the acknowledgement'
        ),
        f'{before} statements answered before, {len(record)} in all',
        'last statement at a server, seconds after the acknowledgement: '
        + ', '.join(
            f'{name} ' + (f'{seconds:.3f}' if seconds else 'none')
            for name, seconds in last.items()
        ),
        f'{late} statements reached a server later than {DRAIN_S:g} s',
        f'the servers ended after {EXIT_S:g} s; {in_doubt} statements that were '
        f'sent later than {DRAIN_S:g} s got INDOUBT',
    ]
    (FOLDER / 'record.txt').write_text('\n'.join([*summary, *lines]) + '\n')
    print('\n'.join(summary))
    if before < 50 or None in last.values():
        return 2
    return 1 if late else 0


if __name__ == '__main__':
    try:
        status = main(pathlib.Path(sys.argv[1]))
    except Exception as error:  # noqa: BLE001
        print(f'the case could not run: {error!r}')
        status = 2
    # The links' connections are still open; nothing has to wait for them.
    sys.stdout.flush()
    os._exit(status)
