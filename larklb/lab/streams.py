"""TCP routes on loopback that can be refused, silent or delayed: from limiters to nodes and to each other."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress
from typing import Literal

from larklb.lab.cluster import free_port

State = Literal["open", "refused", "silent"]
CHUNK_BYTES = 65536


class Route:
    """A route from one limiter to one node, or to another limiter."""

    def __init__(self, target_port: int, port: int = 0) -> None:
        """Forwards connections from ``port`` (0: a free port) to ``target_port``."""
        self.port, self.target_port = port or free_port(), target_port
        self.state: State = "open"
        self.delay = 0.0                      # s added to each chunk, in both directions
        self.opened = 0                       # connections established so far
        self.open = 0                         # connections open now
        self.max_open = 0
        self.writers: set[asyncio.StreamWriter] = set()        # of both sides of all connections
        self.forwarding = asyncio.Event()                      # cleared while the route is silent
        self.forwarding.set()
        self.server: asyncio.Server | None = None
        self.starting: asyncio.Future[None] | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def set_state(self, state: State) -> None:
        """Changes the state of the route.

        ``refused`` resets open connections and stops listening.  ``silent`` forwards and signals nothing, as
        when a machine vanishes; its connections are reset once the route is open again.
        """
        previous, self.state = self.state, state
        if state == "refused" and self.server is not None:
            self.server.close()
        elif previous == "refused" and state != "refused":
            self.starting = asyncio.ensure_future(self.start())
        if state == "silent":
            self.forwarding.clear()
        else:
            if state == "refused" or previous == "silent":
                for writer in self.writers:
                    writer.transport.abort()
            self.forwarding.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.state == "refused":
            writer.transport.abort()
            return
        open_writers = {writer}
        self.writers.add(writer)
        try:
            await self.forwarding.wait()
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            open_writers.add(target_writer)
            self.writers.add(target_writer)
            self.opened += 1
            self.open += 1
            self.max_open = max(self.max_open, self.open)
            try:
                done, pending = await asyncio.wait(
                    [asyncio.ensure_future(self._pipe(reader, target_writer)),
                     asyncio.ensure_future(self._pipe(target_reader, writer))],
                    return_when=asyncio.FIRST_COMPLETED)
                for task in pending:
                    task.cancel()
            finally:
                self.open -= 1
        except OSError:
            pass                               # the node is down; closing below shows it to the limiter
        finally:
            for side in open_writers:
                self.writers.discard(side)
                side.transport.abort() if side.transport.get_write_buffer_size() else side.close()

    async def _pipe(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self.forwarding.wait()
                writer.write(data)
                await writer.drain()

    def stop(self) -> None:
        """Stops listening and aborts all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class NodeRoutes:
    """Routes from limiters to nodes, by the number of the limiter and the name of the node."""

    def __init__(self, limiters: int, nodes: dict[str, int]) -> None:
        """``nodes`` maps the name of each node to its port."""
        self.by_pair = {(i, name): Route(port) for i in range(limiters) for name, port in nodes.items()}

    async def start(self) -> None:
        """Starts all routes."""
        for route in self.by_pair.values():
            await route.start()

    def stop(self) -> None:
        """Stops all routes."""
        for route in self.by_pair.values():
            route.stop()

    def opened(self) -> Counter[str]:
        """Returns the number of connections established so far, by node."""
        counts: Counter[str] = Counter()
        for (_, name), route in self.by_pair.items():
            counts[name] += route.opened
        return counts
