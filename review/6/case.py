"""With syncReplicas 1, acknowledged commits are lost by a promotion.

One replica receives nothing for a while (`replica_lag`, deaf) and the primary
goes dark meanwhile; the other replica, which has all commits, is down for a few
seconds at that time (`srv_crash`, dark).
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), 'harness-2'))

import world  # noqa: E402

DEAF_S = 6.0  # the dose of the site file's "deaf crash"
PRIMARY_DARK_S = 7.0  # the same
REPLICA_DARK_S = 5.0  # the bench's usual length
WRITERS = 6
PAUSE_S = 0.15
KEY = 'k-north-5f0c'
TENANTS = [{'name': 'north', 'apiKeys': [KEY], 'priority': 1, 'ratePerS': 191, 'burst': 191}]
RUN_S = 22.0


async def write_on(deployment, proxy, number, acknowledged, stop):
    """Book until the run ends, in a session that reconnects."""
    session = None
    count = 0
    while not stop.is_set():
        try:
            if session is None:
                session = await deployment.caller(proxy, 'bookings', KEY)
            count += 1
            identity, reply = await session.query(f'WRITE reel{number} d{number}x{count}')
        except (OSError, ConnectionError, asyncio.TimeoutError):
            session = None
            await asyncio.sleep(0.2)
            continue
        if reply.code == 'ok':
            acknowledged.append((identity, deployment.record.now))
        elif reply.code in ('closed', 'no answer'):
            session.close()
            session = None
        await asyncio.sleep(PAUSE_S)


async def disrupt(deployment, service):
    """Bring the disruptions about."""
    primary, deaf, complete = service.servers.values()
    loop = asyncio.get_running_loop()
    await asyncio.sleep(4.0)
    deployment.record('disruption', kind='replica_lag deaf', server=deaf.name, for_s=DEAF_S)
    deaf.is_deaf = True
    loop.call_later(DEAF_S, setattr, deaf, 'is_deaf', False)
    await asyncio.sleep(2.5)
    deployment.record('disruption', kind='srv_crash dark primary', server=primary.name, for_s=PRIMARY_DARK_S)
    primary.go_dark()
    loop.call_later(PRIMARY_DARK_S, primary.come_back)
    deployment.record('disruption', kind='srv_crash dark', server=complete.name, for_s=REPLICA_DARK_S)
    complete.go_dark()
    loop.call_later(REPLICA_DARK_S, complete.come_back)


async def case(deployment):
    """Return which acknowledged commits a promotion has lost, or ''."""
    routes = {'bookings': {'routeType': 'primary', 'timeoutMs': 800, 'targetLatencyMs': 150, 'public': False,
                           'priority': 1, 'backend': 'reels'}}
    await deployment.start(['p1', 'p2', 'p3', 'p4'], routes, {'reels': {'sync': 1}}, tenants=TENANTS)
    service = deployment.services['reels']
    acknowledged = []
    stop = asyncio.Event()
    writers = [
        asyncio.ensure_future(write_on(deployment, f'p{1 + number % 4}', number, acknowledged, stop))
        for number in range(WRITERS)
    ]
    if world.TROUBLE:
        deployment.background(disrupt(deployment, service))
    await asyncio.sleep(RUN_S)
    stop.set()
    await asyncio.gather(*writers)
    if not acknowledged:
        raise world.CannotRun('no write was acknowledged')
    lost = {}  # by id, with the first promotion that lacks it
    for effect, server, term, log in service.promotions:
        present = {write[0] for entry in log for write in entry.writes}
        # Of the last order for it before it took effect.
        at = max(now for now, _, _, _, name, _ in deployment.orders if name == server and now <= effect)
        for identity, when in acknowledged:
            if identity not in present and when < at:
                lost.setdefault(
                    identity,
                    f'{identity} (acknowledged at {when:.2f} s, {server} promoted to term {term})',
                )
    lost = list(lost.values())
    deployment.record('summary', acknowledged=len(acknowledged), promotions=len(service.promotions), lost=len(lost))
    for line in lost:
        deployment.record('lost', commit=line)
    return f'LOST: {len(lost)} acknowledged commits, the first: {lost[0]}' if lost else ''


if __name__ == '__main__':
    world.run(HERE, case)
