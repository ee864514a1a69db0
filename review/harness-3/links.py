"""Links to the store: one listening port a proxy, on a loopback address.

`silence` lets the connections that are open now go silent: they stay open, and
nothing passes any more in either direction. New connections work.
"""

import asyncio
import threading

HOST = '127.0.0.1'


class _Connection:
    def __init__(self) -> None:
        self.silent = False


class Links:
    """Links that run in a thread of their own until `close`."""

    def __init__(self, upstream: str) -> None:
        host, port = upstream.split(':')
        self._upstream = host, int(port)
        self._connections: dict[str, set[_Connection]] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def open(self, name: str) -> str:
        """Return the address of a new link."""
        self._connections[name] = set()
        future = asyncio.run_coroutine_threadsafe(self._listen(name), self._loop)
        return f'{HOST}:{future.result(5)}'

    def silence(self, name: str) -> int:
        """Silence the open connections of a link; return their number."""
        done = threading.Event()

        def mark() -> None:
            for connection in self._connections[name]:
                connection.silent = True
            done.set()

        count = len(self._connections[name])
        self._loop.call_soon_threadsafe(mark)
        done.wait(5)
        return count

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    async def _listen(self, name: str) -> int:
        async def serve(reader, writer) -> None:
            await self._serve(name, reader, writer)

        server = await asyncio.start_server(serve, HOST, 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, name: str, reader, writer) -> None:
        connection = _Connection()
        self._connections[name].add(connection)
        try:
            up_reader, up_writer = await asyncio.open_connection(*self._upstream)
        except OSError:
            writer.transport.abort()
            self._connections[name].discard(connection)
            return
        await asyncio.gather(
            self._pass(connection, reader, up_writer),
            self._pass(connection, up_reader, writer),
        )
        self._connections[name].discard(connection)

    async def _pass(self, connection: _Connection, reader, writer) -> None:
        try:
            while data := await reader.read(65536):
                if not connection.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not connection.silent:
            writer.close()
