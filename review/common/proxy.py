"""A relay in front of one listener that can delay, drop or reset what passes."""

import asyncio

import http1

CHUNK_BYTES = 16 * 1024


class Proxy:
    """A TCP relay; while `is_silent`, nothing passes and new connections hang."""

    def __init__(self, target):
        self.target = target
        self.is_silent = False
        self.passes = asyncio.Event()
        self.passes.set()
        self.writers = set()

    async def start(self, host):
        self.listener = await asyncio.start_server(self._relay, host, 0)
        self.address = self.listener.sockets[0].getsockname()[:2]
        return self

    def silence(self):
        self.passes.clear()

    def heal(self):
        self.passes.set()

    def reset_all(self):
        for writer in list(self.writers):
            http1.reset(writer)

    async def _relay(self, reader, writer):
        self.writers.add(writer)
        await self.passes.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        self.writers.add(far_writer)
        ways = [asyncio.create_task(self._forward(reader, far_writer)),
                asyncio.create_task(self._forward(far_reader, writer))]
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        for way in ways:
            way.cancel()
        for end in (writer, far_writer):
            self.writers.discard(end)
            end.close()

    async def _forward(self, reader, writer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self.passes.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
