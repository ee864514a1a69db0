"""A planned stop of one machine while clients have transactions open."""

import asyncio
import os
import random
import signal
from pathlib import Path

from deployment import Deployment, Session, now, run_case

GRACE_S = 6.0
TIMEOUT_S = 3.2  # of the route of the read transactions
STATEMENTS = 12  # the most that the pages allow in a transaction
SESSIONS = 60  # of about 152 that stand open at the site
PAUSE_S = (0.2, 0.35)  # between statements; the pages allow up to txIdleMs, 3 s


def work_s():
    """Return the server's time for a statement: 55 ms as catalog-read has."""
    return random.uniform(0.03, 0.08)


async def client(deployment, machine, database, begin, results):
    """Run transactions in one session until it ends."""
    await asyncio.sleep(random.uniform(0, 6))  # so that they are spread
    session = await Session.open(deployment, machine, database)
    while session is not None:
        await asyncio.sleep(random.uniform(*PAUSE_S))
        texts = [
            *(
                f'READ {random.randrange(1000):x}'
                for _ in range(STATEMENTS - 1)
            ),
        ]
        if begin == 'BEGIN':
            texts[-1] = f'WRITE {random.randrange(1000):x} abc'
        for text in (begin, *texts, 'COMMIT'):
            identity = Session.identity()
            sent_at = now()
            reply = await session.query(text, identity)
            results.append((sent_at, now(), machine, identity, text, reply))
            if not reply.ok:
                session.close()
                return
            await asyncio.sleep(random.uniform(*PAUSE_S))


async def play(record, trouble, folder):
    """Stop a machine; return what was read and passed on but not answered."""
    deployment = Deployment(folder, record, machines=3, groups=3)
    results = []
    clients = []
    try:
        await deployment.start(work_s)
        for index in range(SESSIONS):
            group = deployment.groups[index % 3].name
            kind, begin = (
                ('catalog', 'BEGIN READ') if index % 4 else ('submit', 'BEGIN')
            )
            clients.append(
                asyncio.ensure_future(
                    client(deployment, 'm1', f'{group}-{kind}', begin, results)
                )
            )
        await asyncio.sleep(7)
        stopped_at = now()
        if trouble:
            deployment.signal('m1', signal.SIGTERM)
            for _ in range(int(GRACE_S * 20)):
                await asyncio.sleep(0.05)
                if deployment.processes['m1'].poll() is not None:
                    break
            record(
                f'm1 ended {now() - stopped_at:.2f} s after SIGTERM, '
                f'exit status {deployment.processes["m1"].poll()}'
            )
        else:
            await asyncio.sleep(GRACE_S)
        await asyncio.sleep(0.5)
        ran = {
            identity: (server.name, at)
            for group in deployment.groups
            for server in group.servers.values()
            for at, identity, *_ in server.ran
        }
        return judge(record, results, ran, stopped_at)
    finally:
        for each in clients:
            each.cancel()
        deployment.close()


def judge(record, results, ran, stopped_at):
    """Return the sentences that say which requests were not answered."""
    broken = []
    for sent_at, ended_at, machine, identity, text, reply in results:
        elapsed_s = sent_at - stopped_at
        outcome = reply.outcome if reply.complete else 'NO ANSWER'
        server, ran_at = ran.get(identity, ('-', 0))
        if elapsed_s > -0.5:
            record(
                f'{machine} {identity} {text}: sent {elapsed_s:.3f} s after '
                f'SIGTERM, ended {ended_at - stopped_at:.3f} s, {outcome}, '
                f'run by {server}'
            )
        held_s = ended_at - sent_at
        if reply.complete or identity not in ran:
            continue
        if elapsed_s <= 3.0 or held_s >= TIMEOUT_S / 2:
            continue  # the rule excuses it
        broken.append(
            f'{identity} {text}: sent {elapsed_s:.3f} s after SIGTERM, passed on '
            f'to {server}, which completed it at {ran_at - stopped_at:.3f} s; '
            f'the connection ended at {ended_at - stopped_at:.3f} s without an '
            'answer'
        )
    done = sum(reply.ok for *_, reply in results)
    record(f'{len(results)} requests, {done} answered with success')
    return broken


if __name__ == '__main__':
    run_case(
        play,
        Path(__file__).parent,
        trouble=os.environ.get('TROUBLE', '1') != '0',
    )
