"""A tenant's statement runs on a connection of another tenant.

A machine freezes for a moment, again and again (`node_freeze`). Callers of one
tenant read and write there; callers of other tenants are in transactions at two
other machines, which hold the connections to the replicas.
"""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), 'harness-2'))

import world  # noqa: E402

FREEZE_S = 0.4  # far below the 4 s of the site file
FREEZES = 60
PAUSE_S = 0.35  # between two statements of a transaction, at most
RESTING = 10  # callers of other tenants in transactions, at each of two machines
WRITERS = 6
READERS = 6
LOAD = 16  # callers that read in a closed loop at the other service
MACHINE = 'p4'
KEYS = {'north': 'k-north-5f0c', **{f'south{n}': f'k-south-{n}' for n in range(6)}}


class User:
    """A caller that reconnects, and notes the tenant of what it sends."""

    def __init__(self, deployment, proxy, tenant, database, sent):
        self._place = deployment, proxy, database, KEYS[tenant]
        self._tenant = tenant
        self._sent = sent
        self._session = None

    async def send(self, text):
        """Send a statement; return its reply, or None if there is none."""
        deployment, proxy, database, key = self._place
        try:
            if self._session is None:
                self._session = await deployment.caller(proxy, database, key)
            identity, reply = await self._session.query(text)
        except (OSError, ConnectionError, asyncio.TimeoutError):
            self._session = None
            await asyncio.sleep(0.2)
            return None
        self._sent[identity] = self._tenant
        if reply.code in ('closed', 'no answer'):
            self._session.close()
            self._session = None
        return reply


async def repeat(user, make_text, pause_s, stop):
    """Send statements until the run ends."""
    while not stop.is_set():
        await user.send(make_text())
        if pause_s:
            await asyncio.sleep(random.random() * pause_s)


async def rest_in_transactions(user, make_text, stop):
    """Read in transactions with a pause in each."""
    while not stop.is_set():
        for text in ('BEGIN READ', make_text(), make_text(), 'COMMIT'):
            reply = await user.send(text)
            if reply is None or reply.code != 'ok':
                if reply is not None and reply.state != 'I':
                    await user.send('ROLLBACK')
                break
            if text.startswith('READ'):
                await asyncio.sleep(random.uniform(0.05, PAUSE_S))
        await asyncio.sleep(random.random() * 0.02)


async def freeze(deployment):
    """Freeze a machine for a moment, again and again."""
    for _ in range(FREEZES):
        await asyncio.sleep(random.uniform(0.5, 0.9))
        deployment.signal(MACHINE, signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        deployment.signal(MACHINE, signal.SIGCONT)


async def case(deployment):
    """Return which statements ran for another tenant, or ''."""
    routes = {}
    for service in ('ledgera', 'ledgerb'):
        routes |= {
            f'redeem-{service}': {'routeType': 'primary', 'timeoutMs': 800, 'targetLatencyMs': 205,
                                  'priority': 0, 'backend': service, 'public': False},
            f'balance-{service}': {'routeType': 'bounded_staleness', 'timeoutMs': 2000,
                                   'targetLatencyMs': 1005, 'priority': 2, 'backend': service,
                                   'maxStalenessMs': 1500, 'public': False},
        }
    tenants = [{'name': name, 'apiKeys': [key], 'priority': 1, 'ratePerS': 3000, 'burst': 3000}
               for name, key in KEYS.items()]
    await deployment.start(
        ['p1', 'p2', 'p3', 'p4'], routes,
        {'ledgera': {'max_conns': 16}, 'ledgerb': {'max_conns': 16}},
        zones=('z1', 'z2', 'z3'), tenants=tenants, slots=2, work_s=0.003,
    )
    sent = {}
    stop = asyncio.Event()
    numbers = random.Random(7)

    def read():
        return f'READ a{numbers.randrange(50)}'

    def write():
        return f'WRITE a{numbers.randrange(50)} d{numbers.randrange(10**6)}'

    def user(proxy, tenant, database):
        return User(deployment, proxy, tenant, database, sent)

    others = [
        asyncio.ensure_future(rest_in_transactions(user(name, f'south{number % 6}', 'balance-ledgera'), read, stop))
        for name in ('p2', 'p3')
        for number in range(RESTING)
    ]
    others += [
        asyncio.ensure_future(repeat(user(MACHINE, 'north', 'redeem-ledgera'), write, 0.05, stop)) for _ in range(WRITERS)
    ] + [
        asyncio.ensure_future(repeat(user(MACHINE, 'north', 'balance-ledgera'), read, 0.05, stop)) for _ in range(READERS)
    ]
    deployment.start_helper('load.py', deployment.ips[MACHINE], 'balance-ledgerb', KEYS['north'], str(LOAD), 'e')
    await asyncio.sleep(4.0)
    if world.TROUBLE:
        await freeze(deployment)
    else:
        await asyncio.sleep(FREEZES * (FREEZE_S + 0.7))
    stop.set()
    await asyncio.wait(others, timeout=12)
    runs = [run for service in deployment.services.values() for run in service.runs]
    sent.update((run[0], 'north') for run in runs if run[0].startswith('e'))
    foreign = [
        f'{identity} {text!r} of {sent[identity]} ran at {server} on a connection of {used!r}'
        for identity, text, server, used in runs
        if identity in sent and used != sent[identity]
    ]
    deployment.record('summary', sent=len(sent), runs=len(runs), foreign=len(foreign))
    for line in foreign:
        deployment.record('foreign', statement=line)
    if not runs:
        raise world.CannotRun('no statement ran')
    return f'UNASKED: {len(foreign)} statements, the first: {foreign[0]}' if foreign else ''


if __name__ == '__main__':
    world.run(HERE, case)
