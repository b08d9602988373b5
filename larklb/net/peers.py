"""Datagrams between limiters."""

from __future__ import annotations

import asyncio
from typing import Any

from larklb import interface as io
from larklb.core import Core
from larklb.peerwire import MOST_BYTES, unpack
from larklb.settings import Config


class Peers(asyncio.DatagramProtocol):
    """Takes datagrams from known limiters only; what is not one of theirs is counted and dropped."""

    def __init__(self, config: Config, core: Core) -> None:
        self.core = core
        self.addresses = config.peers
        self.numbers = {place: i for i, place in enumerate(config.peers) if i != config.settings.number}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.core.tell = self.tell

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def tell(self, peer: int, data: bytes) -> None:
        if self.transport is None or not 0 <= peer < len(self.addresses):
            return
        if len(data) > MOST_BYTES:
            self.core.counters.add("errors.long_datagram")
            return
        self.core.counters.add("peer.sent")
        self.transport.sendto(data, self.addresses[peer])

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        number = self.numbers.get((addr[0], addr[1]))
        if number is None or len(data) > MOST_BYTES or not unpack(data):
            self.core.counters.add("peer.dropped")
            return
        self.core.counters.add("peer.taken")
        self.core.feed(io.PeerMessage(number, data))

    def error_received(self, exc: Exception) -> None:
        self.core.counters.add("errors.peer")


async def listen(config: Config, core: Core) -> Peers | None:
    if config.peer_listen is None:
        return None
    loop = asyncio.get_running_loop()
    _, peers = await loop.create_datagram_endpoint(lambda: Peers(config, core), config.peer_listen)
    return peers
