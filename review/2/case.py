"""A primary crashes while the replica with its last commits is draining."""

import asyncio
import os
from pathlib import Path

from deployment import CannotRun, Deployment, Session, now, run_case

DEAF_S = 6.5  # the site's longest time for which a replica falls behind
DRAIN_S = 7.0  # drainMs: so long the draining server goes on serving


async def writer(deployment, machine, name, acknowledged):
    """Write one item after the other; note the acknowledged identities."""
    number = 0
    while True:
        session = await Session.open(deployment, machine, 'speca-submit')
        while session is not None:
            number += 1
            identity = Session.identity()
            reply = await session.query(
                f'WRITE {name}{number:x} v{number}', identity
            )
            if reply.ok:
                acknowledged.append((now(), identity))
            if not reply.complete:
                session.close()
                session = None
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.1)


async def play(record, trouble, folder):
    """Return the acknowledged commits that the promoted server lacks."""
    deployment = Deployment(
        folder, record, machines=3, groups=1, sync_replicas=1
    )
    clients, acknowledged = [], []
    try:
        await deployment.start()
        group = deployment.groups[0]
        primary, leaving, deaf = group.servers.values()
        for machine in deployment.machines:
            clients.append(
                asyncio.ensure_future(
                    writer(deployment, machine, machine, acknowledged)
                )
            )
        await asyncio.sleep(2)
        deaf_at = now()
        if trouble:
            record(f'{deaf.name} receives nothing from now on')
            deaf.deaf = True
        await asyncio.sleep(2)
        if os.environ.get('RELEASE', '1') != '0':
            record(f'{leaving.name} announces its end (planned work)')
            leaving.drain()
        draining_at = now()
        await asyncio.sleep(1)
        if trouble:
            primary.crash()
        crashed_at = now()
        before = [identity for at, identity in acknowledged if at <= crashed_at]
        record(f'{len(before)} writes were acknowledged until now')
        for server in group.servers.values():
            ids = {entry['id'] for entry in server.log}
            missing = sum(identity not in ids for identity in before)
            record(
                f'{server.name} (alive: {server.alive}, draining: '
                f'{server.draining}) has received up to {server.received} and '
                f'lacks {missing} of them'
            )
        while trouble and group.primary() is None:
            if now() - deaf_at > DEAF_S or now() - draining_at > DRAIN_S:
                raise CannotRun('no server was promoted')
            await asyncio.sleep(0.005)
        promoted = group.primary()
        held = {entry['id'] for entry in promoted.log}
        record(
            f'{promoted.name} leads {now() - crashed_at:.2f} s after the crash; '
            f'{leaving.name} is alive: {leaving.alive}'
        )
        for at, identity in acknowledged:
            if at <= crashed_at and identity not in held:
                record(
                    f'{identity} was acknowledged {crashed_at - at:.3f} s '
                    'before the crash'
                )
        lost = [identity for identity in before if identity not in held]
        for name in deployment.machines:
            for line in deployment.log(name).splitlines():
                if ':promotion"' in line:
                    record(f'log of {name}: {line}')
        if not lost:
            return []
        return [
            f'{len(lost)} acknowledged commits are not in the log of '
            f'{promoted.name}, which was promoted'
        ]
    finally:
        for each in clients:
            each.cancel()
        deployment.close()


if __name__ == '__main__':
    run_case(
        play,
        Path(__file__).parent,
        trouble=os.environ.get('TROUBLE', '1') != '0',
    )
