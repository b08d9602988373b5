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
    """Relays between the limiters that listen at the ports ``listen_ports``.

    ``loss`` and ``duplication`` are the probabilities of either for a datagram; those from a sender to a
    receiver for which ``cut`` returns True are dropped.
    """

    def __init__(self, listen_ports: list[int], seed: int) -> None:
        self.listen_ports, self.random = listen_ports, random.Random(seed)
        count = len(listen_ports)
        self.relay_ports = {(sender, receiver): free_port(socket.SOCK_DGRAM)
                            for sender in range(count) for receiver in range(count) if sender != receiver}
        # By pair.  A datagram from a to b leaves from endpoint (b, a), which is the address of a for b.
        self.transports: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self.loss = self.duplication = 0.0
        self.delay = (0.001, 0.015)                  # bounds in s
        self.cut: Callable[[int, int], bool] = lambda sender, receiver: False
        self.forwarded = self.dropped = 0

    def peers(self, number: int) -> list[int]:
        """Returns the peer ports for a limiter's configuration, with its own port at its own index."""
        return [self.listen_ports[peer] if peer == number else self.relay_ports[number, peer]
                for peer in range(len(self.listen_ports))]

    async def start(self) -> None:
        """Opens an endpoint for each ordered pair of limiters."""
        loop = asyncio.get_running_loop()
        for pair, port in self.relay_ports.items():
            transport, _ = await loop.create_datagram_endpoint(
                lambda pair=pair: _Endpoint(self, *pair), local_addr=("127.0.0.1", port))   # type: ignore[misc]
            self.transports[pair] = transport

    def stop(self) -> None:
        """Closes all endpoints."""
        for transport in self.transports.values():
            transport.close()

    def forward(self, sender: int, receiver: int, data: bytes) -> None:
        """Forwards a datagram after a random delay, or drops or duplicates it."""
        if self.cut(sender, receiver) or self.random.random() < self.loss:
            self.dropped += 1
            return
        self.forwarded += 1
        loop = asyncio.get_running_loop()
        for _ in range(1 + (self.random.random() < self.duplication)):
            loop.call_later(self.random.uniform(*self.delay), self._deliver, sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        transport = self.transports[receiver, sender]
        if not transport.is_closing():
            transport.sendto(data, ("127.0.0.1", self.listen_ports[receiver]))


class _Endpoint(asyncio.DatagramProtocol):
    """The endpoint that receives the datagrams from limiter ``sender`` to limiter ``receiver``."""

    def __init__(self, relay: Relay, sender: int, receiver: int) -> None:
        self.relay, self.sender, self.receiver = relay, sender, receiver

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Forwards a datagram, unless it comes from another port than that of the sender."""
        if addr[1] == self.relay.listen_ports[self.sender]:
            self.relay.forward(self.sender, self.receiver, data)
