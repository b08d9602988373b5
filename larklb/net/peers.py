"""Datagrams between limiters."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from typing import Any

from larklb import interface as io
from larklb.core import Core
from larklb.peerwire import MAX_DATAGRAM_BYTES, unpack
from larklb.settings import Config

log = logging.getLogger(__name__)

REOPEN_DELAY_MS = 500.0              # ms before a socket that failed is opened again


class Peers(asyncio.DatagramProtocol):
    """Takes datagrams from known limiters only; what is not one of theirs is counted and dropped."""

    def __init__(self, config: Config, core: Core) -> None:
        self.core = core
        self.addresses = config.peers
        self.numbers = {place: i for i, place in enumerate(config.peers) if i != config.settings.number}
        self.where = config.peer_listen
        self.transport: asyncio.DatagramTransport | None = None
        self.closing = False
        self.opening: asyncio.Task[None] | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.core.send_to_peer = self.tell

    def connection_lost(self, exc: Exception | None) -> None:
        """A socket that failed is opened again: without it a limiter is apart from all others for good."""
        self.transport = None
        if not self.closing:
            self.core.counters.add("errors.peers_socket")
            log.error("the socket between limiters failed: %s", exc)
            self.core.wheel.after(REOPEN_DELAY_MS, self._again)

    def _again(self) -> None:
        async def again() -> None:
            try:
                await self.open()
            except OSError as error:
                log.error("the socket between limiters: %s", error)
                self.core.wheel.after(REOPEN_DELAY_MS, self._again)
        if not self.closing:
            self.opening = asyncio.ensure_future(again())

    async def open(self, sock: socket.socket | None = None, shared: bool = False) -> None:
        """OSError where the address cannot be had.  ``sock``: it is had already; ``shared``: with a process
        of this limiter that cannot hand it over."""
        loop = asyncio.get_running_loop()
        self.closing = False
        if sock is not None:
            await loop.create_datagram_endpoint(lambda: self, sock=sock)
            return
        await loop.create_datagram_endpoint(lambda: self, self.where, reuse_port=shared)
        if self.transport is not None:        # set now, not before: a stranger at our address is told
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)

    def release(self) -> socket.socket | None:
        """Reads no more; the socket itself, in which datagrams wait for the next to open it."""
        if self.transport is None:
            return None
        kept = socket.socket(fileno=os.dup(self.transport.get_extra_info("socket").fileno()))
        self.close()
        return kept

    def close(self) -> None:
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def tell(self, peer: int, data: bytes) -> None:
        if self.transport is None or not 0 <= peer < len(self.addresses):
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            self.core.counters.add("errors.long_datagram")
            return
        self.core.counters.add("peer.sent")
        self.transport.sendto(data, self.addresses[peer])

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        number = self.numbers.get((addr[0], addr[1]))
        if number is None or len(data) > MAX_DATAGRAM_BYTES or not unpack(data):
            self.core.counters.add("peer.dropped")
            return
        self.core.counters.add("peer.taken")
        self.core.feed(io.PeerMessage(number, data))

    def error_received(self, exc: Exception) -> None:
        self.core.counters.add("errors.peer")


async def listen(config: Config, core: Core, sock: socket.socket | None = None,
                 shared: bool = False) -> Peers | None:
    if config.peer_listen is None:
        return None
    peers = Peers(config, core)
    await peers.open(sock, shared)
    return peers
