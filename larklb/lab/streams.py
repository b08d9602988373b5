"""A relay of connections from limiters to execute nodes on loopback, each pair with a way of its own."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress
from typing import Literal

from larklb.lab.cluster import free_port

State = Literal["open", "refused", "silent"]
PIECE = 65536              # bytes read at a time


class Way:
    """From one limiter to one node, or to another limiter."""

    def __init__(self, to: int, port: int = 0) -> None:
        """To the port ``to``, from a free one or from ``port``."""
        self.port, self.to = port or free_port(), to
        self.state: State = "open"
        self.delay = 0.0                      # s that each piece takes longer, either way
        self.opened = 0                       # connections that have come up to the node
        self.open = 0
        self.most = 0
        self.sockets: set[asyncio.StreamWriter] = set()
        self.passes = asyncio.Event()
        self.passes.set()
        self.server: asyncio.Server | None = None
        self.starting: asyncio.Future[None] | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def set(self, state: State) -> None:
        """``refused``: what is open is reset, and nobody listens; ``silent``: nothing is signalled, and what
        was open is reset once the way is open again, as where a machine vanishes."""
        before, self.state = self.state, state
        if state == "refused" and self.server is not None:
            self.server.close()
        elif before == "refused" and state != "refused":
            self.starting = asyncio.ensure_future(self.start())
        if state == "silent":
            self.passes.clear()
        else:
            if state == "refused" or before == "silent":
                for writer in self.sockets:
                    writer.transport.abort()
            self.passes.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.state == "refused":
            writer.transport.abort()
            return
        mine = {writer}
        self.sockets.add(writer)
        try:
            await self.passes.wait()
            inner, outer = await asyncio.open_connection("127.0.0.1", self.to)
            mine.add(outer)
            self.sockets.add(outer)
            self.opened += 1
            self.open += 1
            self.most = max(self.most, self.open)
            try:
                done, rest = await asyncio.wait(
                    [asyncio.ensure_future(self._pipe(reader, outer)),
                     asyncio.ensure_future(self._pipe(inner, writer))], return_when=asyncio.FIRST_COMPLETED)
                for task in rest:
                    task.cancel()
            finally:
                self.open -= 1
        except OSError:
            pass                               # the node is not there: so the limiter sees it
        finally:
            for end in mine:
                self.sockets.discard(end)
                end.transport.abort() if end.transport.get_write_buffer_size() else end.close()

    async def _pipe(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while data := await reader.read(PIECE):
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self.passes.wait()
                writer.write(data)
                await writer.drain()

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.sockets:
            writer.transport.abort()


class Streams:
    """Ways from so many limiters to nodes, by the number of the limiter and the node's name."""

    def __init__(self, limiters: int, nodes: dict[str, int]) -> None:
        """``nodes``: where each listens, by its name."""
        self.ways = {(i, name): Way(port) for i in range(limiters) for name, port in nodes.items()}

    async def start(self) -> None:
        for way in self.ways.values():
            await way.start()

    def stop(self) -> None:
        for way in self.ways.values():
            way.stop()

    def opened(self) -> Counter[str]:
        """Connections that came up, by node."""
        found: Counter[str] = Counter()
        for (_, name), way in self.ways.items():
            found[name] += way.opened
        return found
