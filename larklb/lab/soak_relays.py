"""Relays between the limiters of a soak test, which can cut limiters off from each other.

Each limiter listens on a port of its own for messages and sends to that port number at the addresses of the
others, where a relay passes its messages on to the receiver's port.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from contextlib import suppress
from functools import partial
from typing import cast

from attrs import define, field

from larklb.lab.system_network import Net

CHUNK_BYTES = 65536
BLOCKED_POLL_S = 0.02


@define(eq=False)
class Relays:
    """The relays between all pairs of limiters; ``blocked`` holds the pairs (sender, receiver) that are
    cut."""

    net: Net
    blocked: set[tuple[int, int]] = field(factory=set)
    datagram_relays: list[asyncio.DatagramTransport] = field(factory=list)
    stream_relays: list[asyncio.Server] = field(factory=list)
    tasks: set[asyncio.Task[None]] = field(factory=set)

    async def start(self) -> None:
        """Starts to listen for the messages between all pairs."""
        loop = asyncio.get_running_loop()
        for sender in range(self.net.limiters):
            for receiver in range(self.net.limiters):
                if sender == receiver:
                    continue
                address = (self.net.ip(receiver), self.net.peer(sender))
                transport, _ = await loop.create_datagram_endpoint(
                    partial(_DatagramRelay, self, (sender, receiver)), local_addr=address
                )
                self.datagram_relays.append(transport)
                self.stream_relays.append(await self._listen((sender, receiver), address))

    async def _listen(self, pair: tuple[int, int], address: tuple[str, int]) -> asyncio.Server:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.ensure_future(self._pass_stream(pair, reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

        return await asyncio.start_server(serve, *address)

    def cut(self, limiter: int, others: Iterable[int]) -> list[tuple[int, int]]:
        """Cuts a limiter off from others in both directions; returns the pairs, for ``join``."""
        pairs = [
            pair for other in others if other != limiter for pair in ((limiter, other), (other, limiter))
        ]
        self.blocked.update(pairs)
        return pairs

    def join(self, pairs: Iterable[tuple[int, int]]) -> None:
        """Ends the cut of these pairs."""
        self.blocked.difference_update(pairs)

    def target(self, receiver: int) -> tuple[str, int]:
        """Returns the address at which a limiter listens for messages."""
        return self.net.ip(receiver), self.net.peer(receiver)

    async def _pass_stream(
        self, pair: tuple[int, int], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Passes a connection on; while the pair is cut its data waits, as packets would be repeated."""
        onward: asyncio.StreamWriter | None = None
        try:
            with suppress(OSError, EOFError):
                await self._wait_until_open(pair)
                _, onward = await asyncio.open_connection(*self.target(pair[1]))
                while data := await reader.read(CHUNK_BYTES):
                    await self._wait_until_open(pair)
                    onward.write(data)
                    await onward.drain()
        finally:
            for end in (writer, onward):
                if end is not None:
                    end.transport.abort()

    async def _wait_until_open(self, pair: tuple[int, int]) -> None:
        while pair in self.blocked:
            await asyncio.sleep(BLOCKED_POLL_S)

    def stop(self) -> None:
        """Closes all relays."""
        for transport in self.datagram_relays:
            transport.close()
        for server in self.stream_relays:
            server.close()
        for task in tuple(self.tasks):
            task.cancel()


class _DatagramRelay(asyncio.DatagramProtocol):
    def __init__(self, relays: Relays, pair: tuple[int, int]) -> None:
        self.relays, self.pair = relays, pair
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if self.pair not in self.relays.blocked and self.transport is not None:
            self.transport.sendto(data, self.relays.target(self.pair[1]))
