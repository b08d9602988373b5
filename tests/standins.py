"""What stands round the program in the socket tests, and a Redis stand-in."""

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
    """The few Redis commands that the store uses, over RESP; hashes only."""

    def __init__(self) -> None:
        self.port = free_port()
        self.hashes: dict[bytes, dict[bytes, bytes]] = {}
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def stop(self) -> None:
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                words = []
                for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
                    size = int((await reader.readuntil(b"\r\n"))[1:])
                    words.append((await reader.readexactly(size + 2))[:-2])
                writer.write(self._answer(words[0].upper(), words[1:]))
        writer.close()

    def _answer(self, name: bytes, words: list[bytes]) -> bytes:
        if name == b"HGETALL":
            pairs = self.hashes.get(words[0], {})
            flat = [x for pair in pairs.items() for x in pair]
            return b"*%d\r\n" % len(flat) + b"".join(b"$%d\r\n%s\r\n" % (len(x), x) for x in flat)
        if name == b"HSET":
            fields = dict(zip(words[1::2], words[2::2], strict=True))
            self.hashes.setdefault(words[0], {}).update(fields)
            return b":%d\r\n" % len(fields)
        if name == b"HDEL":
            return b":%d\r\n" % sum(self.hashes.get(words[0], {}).pop(f, None) is not None for f in words[1:])
        if name == b"EXPIRE":
            return b":%d\r\n" % (words[0] in self.hashes)
        if name in (b"CLIENT", b"PING"):
            return b"+OK\r\n"
        return b"-ERR unknown command\r\n"
