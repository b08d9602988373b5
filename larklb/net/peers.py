"""UDP datagrams between limiters."""

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

# Delay before a failed socket is opened again.
REOPEN_DELAY_MS = 500.0


class Peers(asyncio.DatagramProtocol):
    """Exchanges datagrams with the configured limiters; all others are counted and dropped."""

    def __init__(self, config: Config, core: Core) -> None:
        self.core = core
        self.addresses = config.peers
        self.number_by_address = {address: i for i, address in enumerate(config.peers)
                                  if i != config.settings.number}
        self.listen_address = config.peer_listen
        self.transport: asyncio.DatagramTransport | None = None
        self.closing = False
        self.reopen_task: asyncio.Task[None] | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.core.send_to_peer = self.tell

    def connection_lost(self, exc: Exception | None) -> None:
        """Reopens a failed socket, since without it the limiter stays isolated from the others."""
        self.transport = None
        if not self.closing:
            self.core.counters.add("errors.peers_socket")
            log.error("peer socket failed: %s", exc)
            self.core.wheel.after(REOPEN_DELAY_MS, self._reopen)

    def _reopen(self) -> None:
        async def reopen() -> None:
            try:
                await self.open()
            except OSError as error:
                log.error("cannot reopen the peer socket: %s", error)
                self.core.wheel.after(REOPEN_DELAY_MS, self._reopen)
        if not self.closing:
            self.reopen_task = asyncio.ensure_future(reopen())

    async def open(self, sock: socket.socket | None = None, shared: bool = False) -> None:
        """Opens the socket, or uses ``sock``; ``shared`` permits another process of this limiter there.

        Raises OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        self.closing = False
        if sock is not None:
            await loop.create_datagram_endpoint(lambda: self, sock=sock)
            return
        await loop.create_datagram_endpoint(lambda: self, self.listen_address, reuse_port=shared)
        if self.transport is not None:        # set only now, so that a conflict is reported
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)

    def detach(self) -> socket.socket | None:
        """Stops reading; returns a copy of the socket, which keeps unread datagrams for the next process."""
        if self.transport is None:
            return None
        duplicate = socket.socket(fileno=os.dup(self.transport.get_extra_info("socket").fileno()))
        self.close()
        return duplicate

    def close(self) -> None:
        """Closes the socket for good."""
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def tell(self, peer: int, data: bytes) -> None:
        """Sends a datagram to a limiter by its number; best effort."""
        if self.transport is None or not 0 <= peer < len(self.addresses):
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            self.core.counters.add("errors.long_datagram")
            return
        self.core.counters.add("peer.sent")
        self.transport.sendto(data, self.addresses[peer])

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        number = self.number_by_address.get((addr[0], addr[1]))
        if number is None or len(data) > MAX_DATAGRAM_BYTES or not unpack(data):
            self.core.counters.add("peer.dropped")
            return
        self.core.counters.add("peer.taken")
        self.core.feed(io.PeerMessage(number, data))

    def error_received(self, exc: Exception) -> None:
        self.core.counters.add("errors.peer")


async def listen(config: Config, core: Core, sock: socket.socket | None = None,
                 shared: bool = False) -> Peers | None:
    """Opens the peer socket; None where no address is configured."""
    if config.peer_listen is None:
        return None
    peers = Peers(config, core)
    await peers.open(sock, shared)
    return peers
