"""A server fails a part of its requests while sessions set values."""

import asyncio
import os
import random
from pathlib import Path

from deployment import Deployment, Session, run_case

FAILING = 0.4  # share of the requests; the bench's default of `srv_grey`
FAILING_S = 6.5  # the longest time that a site file names


async def setting_client(deployment, machine, name, results):
    """Run transactions that set a value, each in a session of its own."""
    number = 0
    while True:
        session = await Session.open(deployment, machine, 'speca-catalog')
        values = {}
        if session is None:
            await asyncio.sleep(0.1)
            continue
        reply = None
        for _ in range(5):
            number += 1
            for text in (
                'BEGIN READ',
                'READ 1a4',
                f'SET zone {name}-{number}',
                'READ 1a5',
                'COMMIT',
            ):
                identity = Session.identity()
                sent = dict(values)
                reply = await session.query(text, identity)
                results.append((identity, text, sent, reply))
                if reply.ok and text.startswith('SET'):
                    values['zone'] = text.split(' ', 2)[2]
                if not reply.ok:
                    break
                await asyncio.sleep(0.02)
            if not reply.ok:
                break
        session.close()


async def plain_client(deployment, machine, results):
    """Read in a session without values."""
    while True:
        session = await Session.open(deployment, machine, 'speca-catalog')
        while session is not None:
            identity = Session.identity()
            reply = await session.query('READ 1a4', identity)
            results.append((identity, 'READ 1a4', {}, reply))
            if not reply.complete:
                session.close()
                session = None
            await asyncio.sleep(random.uniform(0.01, 0.05))
        await asyncio.sleep(0.1)


async def play(record, trouble, folder):
    """Return the statements that ran with values of another session."""
    deployment = Deployment(folder, record, machines=3, groups=3)
    results, clients = [], []
    try:
        await deployment.start()
        for machine in deployment.machines:
            clients.extend(
                asyncio.ensure_future(
                    setting_client(
                        deployment, machine, f'{machine}c{index}', results
                    )
                )
                for index in range(3)
            )
            clients.extend(
                asyncio.ensure_future(
                    plain_client(deployment, machine, results)
                )
                for _ in range(3)
            )
        await asyncio.sleep(2)
        group = deployment.groups[0]
        replica = list(group.servers.values())[1]
        if trouble:
            record(f'{replica.name} fails {FAILING:.0%} of its requests')
            replica.failing = FAILING
        await asyncio.sleep(FAILING_S)
        replica.failing = 0.0
        record(f'{replica.name} is sound')
        await asyncio.sleep(2)
        return judge(record, results, group)
    finally:
        for each in clients:
            each.cancel()
        deployment.close()


def judge(record, results, group):
    """Compare the values at the servers with those that were acknowledged."""
    expected = {identity: values for identity, _, values, _ in results}
    texts = {identity: text for identity, text, *_ in results}
    broken = []
    compared = 0
    for server in group.servers.values():
        for at, identity, verb, values in server.ran:
            if identity not in expected:
                continue
            compared += 1
            if values != expected[identity]:
                broken.append(
                    f'{identity} {texts[identity]} ran on {server.name} with the '
                    f'values {values}; its client was acknowledged '
                    f'{expected[identity]}'
                )
    done = sum(reply.ok for *_, reply in results)
    record(f'{len(results)} requests, {done} with success; {compared} compared')
    return broken


if __name__ == '__main__':
    run_case(
        play,
        Path(__file__).parent,
        trouble=os.environ.get('TROUBLE', '1') != '0',
    )
