"""A relay of datagrams between real limiters on loopback, which drops, delays, repeats and splits as told.

Each limiter knows every other by an address of the relay's own, so that it sees a sender where it expects it.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from typing import Any

from larklb.lab.cluster import free_port


class Relay:
    """Between so many limiters, at ``listens`` their own ports."""

    def __init__(self, listens: list[int], seed: int) -> None:
        self.listens, self.chance = listens, random.Random(seed)
        count = len(listens)
        self.ports = {(a, b): free_port(socket.SOCK_DGRAM)
                      for a in range(count) for b in range(count) if a != b}
        self.transports: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self.loss = self.repeats = 0.0
        self.delay = (0.001, 0.015)                  # s
        self.cut: Callable[[int, int], bool] = lambda sender, to: False
        self.passed = self.dropped = 0

    def peers(self, number: int) -> list[int]:
        """The ports by which a limiter knows the others; at its own place its own."""
        return [self.listens[i] if i == number else self.ports[number, i] for i in range(len(self.listens))]

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        for pair, port in self.ports.items():
            transport, _ = await loop.create_datagram_endpoint(
                lambda pair=pair: _End(self, *pair), local_addr=("127.0.0.1", port))   # type: ignore[misc]
            self.transports[pair] = transport

    def stop(self) -> None:
        for transport in self.transports.values():
            transport.close()

    def passes(self, sender: int, to: int, data: bytes) -> None:
        if self.cut(sender, to) or self.chance.random() < self.loss:
            self.dropped += 1
            return
        self.passed += 1
        loop = asyncio.get_running_loop()
        for _ in range(1 + (self.chance.random() < self.repeats)):
            loop.call_later(self.chance.uniform(*self.delay), self._out, sender, to, data)

    def _out(self, sender: int, to: int, data: bytes) -> None:
        transport = self.transports[to, sender]
        if not transport.is_closing():
            transport.sendto(data, ("127.0.0.1", self.listens[to]))


class _End(asyncio.DatagramProtocol):
    """Where limiter ``sender`` sends what is meant for ``to``."""

    def __init__(self, relay: Relay, sender: int, to: int) -> None:
        self.relay, self.sender, self.to = relay, sender, to

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if addr[1] == self.relay.listens[self.sender]:
            self.relay.passes(self.sender, self.to, data)
