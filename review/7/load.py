"""Callers that read in a closed loop: load.py IP DATABASE KEY SESSIONS PREFIX."""

import asyncio
import sys


async def read_on(ip, database, key, prefix):
    """Read until the process is ended; reconnect after a close."""
    count = 0
    while True:
        try:
            reader, writer = await asyncio.open_connection(ip, 8784)
            writer.write(f'STARTUP {database} {key}\r\n'.encode())
            while (await reader.readuntil(b'\r\n')).startswith(b'READY'):
                while True:
                    count += 1
                    writer.write(f'QUERY {prefix}{count:x} READ a{count % 50}\r\n'.encode())
                    while not (await reader.readuntil(b'\r\n')).startswith(b'READY'):
                        pass
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.2)


async def main(ip, database, key, sessions, prefix):
    """Run the callers."""
    await asyncio.gather(*(
        read_on(ip, database, key, f'{prefix}{number:x}-') for number in range(int(sessions))
    ))


asyncio.run(main(*sys.argv[1:]))
