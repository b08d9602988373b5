"""A datagram relay between real limiters on loopback that can drop, delay, duplicate and partition.

Each limiter is configured with a relay address for every peer, and receives that peer's messages from it.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from typing import Any

from larklb.lab.cluster import free_port


class Relay:
    """Relays between the limiters that listen at the ports ``listens``."""

    def __init__(self, listens: list[int], seed: int) -> None:
        self.listens, self.random = listens, random.Random(seed)
        count = len(listens)
        self.ports = {(a, b): free_port(socket.SOCK_DGRAM)
                      for a in range(count) for b in range(count) if a != b}
        self.transports: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self.loss = self.duplication = 0.0
        self.delay = (0.001, 0.015)                  # s
        self.cut: Callable[[int, int], bool] = lambda sender, to: False
        self.forwarded = self.dropped = 0

    def peers(self, number: int) -> list[int]:
        """Returns the peer ports for a limiter's configuration, with its own port at its own index."""
        return [self.listens[i] if i == number else self.ports[number, i] for i in range(len(self.listens))]

    async def start(self) -> None:
        """Opens an endpoint for each ordered pair of limiters."""
        loop = asyncio.get_running_loop()
        for pair, port in self.ports.items():
            transport, _ = await loop.create_datagram_endpoint(
                lambda pair=pair: _Endpoint(self, *pair), local_addr=("127.0.0.1", port))   # type: ignore[misc]
            self.transports[pair] = transport

    def stop(self) -> None:
        """Closes all endpoints."""
        for transport in self.transports.values():
            transport.close()

    def forward(self, sender: int, to: int, data: bytes) -> None:
        """Forwards a datagram after a random delay, or drops or duplicates it."""
        if self.cut(sender, to) or self.random.random() < self.loss:
            self.dropped += 1
            return
        self.forwarded += 1
        loop = asyncio.get_running_loop()
        for _ in range(1 + (self.random.random() < self.duplication)):
            loop.call_later(self.random.uniform(*self.delay), self._deliver, sender, to, data)

    def _deliver(self, sender: int, to: int, data: bytes) -> None:
        transport = self.transports[to, sender]
        if not transport.is_closing():
            transport.sendto(data, ("127.0.0.1", self.listens[to]))


class _Endpoint(asyncio.DatagramProtocol):
    """The endpoint that receives the datagrams from limiter ``sender`` to limiter ``to``."""

    def __init__(self, relay: Relay, sender: int, to: int) -> None:
        self.relay, self.sender, self.to = relay, sender, to

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if addr[1] == self.relay.listens[self.sender]:
            self.relay.forward(self.sender, self.to, data)
