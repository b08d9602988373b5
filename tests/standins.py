"""Re-exports the test cluster for the socket tests, and provides a Redis server with the commands in use."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from larklb.lab.cluster import (
    ROOT,
    Cluster,
    Discovery,
    ExecuteNode,
    Limiter,
    ask,
    free_port,
    http,
    job,
    read_answer,
    served,
)

__all__ = ["ROOT", "Discovery", "ExecuteNode", "Limiter", "RespServer", "Cluster", "ask", "free_port", "http",
           "job", "read_answer", "served"]


class RespServer:
    """A Redis server that speaks RESP and supports only the commands of the store, on hashes."""

    def __init__(self) -> None:
        self.port = free_port()
        self.hashes: dict[bytes, dict[bytes, bytes]] = {}
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                arguments = []
                for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
                    size = int((await reader.readuntil(b"\r\n"))[1:])
                    arguments.append((await reader.readexactly(size + 2))[:-2])
                writer.write(self._answer(arguments[0].upper(), arguments[1:]))
        writer.close()

    def _answer(self, name: bytes, arguments: list[bytes]) -> bytes:
        if name == b"HGETALL":
            pairs = self.hashes.get(arguments[0], {})
            flat = [x for pair in pairs.items() for x in pair]
            return b"*%d\r\n" % len(flat) + b"".join(b"$%d\r\n%s\r\n" % (len(x), x) for x in flat)
        if name == b"HSET":
            fields = dict(zip(arguments[1::2], arguments[2::2], strict=True))
            self.hashes.setdefault(arguments[0], {}).update(fields)
            return b":%d\r\n" % len(fields)
        if name == b"HDEL":
            return b":%d\r\n" % sum(
                self.hashes.get(arguments[0], {}).pop(f, None) is not None for f in arguments[1:])
        if name == b"EXPIRE":
            return b":%d\r\n" % (arguments[0] in self.hashes)
        if name in (b"CLIENT", b"PING"):
            return b"+OK\r\n"
        return b"-ERR unknown command\r\n"
