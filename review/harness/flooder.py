"""A rude client: sends requests without waiting for the answers.

Usage: flooder.py HOST PORT DATABASE SECONDS PEERS. It reads all answers.
"""

import asyncio
import contextlib
import sys
import time

LINE = b'QUERY 00000000f100d000 READ 1a4\r\n'
LINES = 2000  # sent at once
RATE = 12_500_000  # bytes a second of a peer: a link of 100 Mbit/s


async def peer(host, port, database, ends_at):
    """Flood in one session after the other until `ends_at`."""
    while time.monotonic() < ends_at:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await flood(host, port, database, ends_at)
        await asyncio.sleep(0.05)


async def flood(host, port, database, ends_at):
    """Flood in one session."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(f'STARTUP {database} rude\r\n'.encode())
    await reader.readuntil(b'READY')

    async def read_answers():
        while await reader.read(65536):
            pass
        raise ConnectionResetError

    answers = asyncio.ensure_future(read_answers())
    try:
        while time.monotonic() < ends_at and not answers.done():
            began = time.monotonic()
            writer.write(LINE * LINES)
            await writer.drain()
            took = time.monotonic() - began
            await asyncio.sleep(max(len(LINE) * LINES / RATE - took, 0))
    finally:
        answers.cancel()
        writer.transport.abort()


async def main():
    """Flood with all peers."""
    host, port, database, seconds, peers = sys.argv[1:]
    ends_at = time.monotonic() + float(seconds)
    await asyncio.gather(
        *(peer(host, int(port), database, ends_at) for _ in range(int(peers)))
    )


if __name__ == '__main__':
    asyncio.run(main())
