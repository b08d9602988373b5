"""Messages between limiters: one way, as JSON lines, and they may be lost.

A short message is one datagram; a longer one goes over a connection, which is dropped when it stalls.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any

from larklb.gateway import messages
from larklb.gateway.errors import AddressError, MessageError
from larklb.gateway.messages import PROTOCOL, AnyMessage, Message

log = logging.getLogger("transport")

SHORT = 1_300  # bytes of a datagram at the most: more would be cut in pieces on the way
MOST_LINE = 24 * 1024 * 1024
MOST_WAITING = 4  # long messages to one limiter that wait for its connection; older ones are dropped
DIAL_S = 0.6
STALL_S = 2.5  # for one long message to be taken
IDLE_S = 8.0  # without a long message, until its connection ends
MOST_LINKS = 128  # connections that are taken in

MessageHandler = Callable[[AnyMessage], object]


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, on_line: Callable[[bytes], object]) -> None:
        self.on_line = on_line

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.on_line(data)

    def error_received(self, exc: Exception) -> None:
        """A dead port answered: whoever is there will tell when it is back."""


class Transport:
    """All messages of one limiter, to the others and from them."""

    def __init__(self, node: str, ip: str, port: int, on_message: MessageHandler) -> None:
        self.node, self.ip, self.port, self.on_message = node, ip, port, on_message
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.waiting: dict[str, list[bytes]] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.taken: set[asyncio.StreamWriter] = set()
        self.other_protocol: set[str] = set()  # nodes that speak another one, each told of once
        self.counts = {"sent": 0, "sent_bytes": 0, "heard": 0, "heard_bytes": 0, "unreadable": 0, "lost": 0}

    async def start(self) -> None:
        """AddressError where the port can't be had."""
        loop = asyncio.get_running_loop()
        try:
            self.transport, _ = await loop.create_datagram_endpoint(
                lambda: _Datagrams(self._line), local_addr=(self.ip, self.port)
            )
            self.server = await asyncio.start_server(self._serve, self.ip, self.port, limit=MOST_LINE)
        except OSError as error:
            raise AddressError(f"{self.ip}:{self.port}: {error}") from error

    def send(self, ip: str, message: Message) -> None:
        """Sends a message to a limiter; nobody hears whether it came."""
        message = messages.with_sender(message, self.node, self.ip)
        if ip == self.ip:
            asyncio.get_running_loop().call_soon(self._hear, message)
            return
        line = messages.encode(message) + b"\n"
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(line)
        if len(line) <= SHORT:
            if self.transport is not None:
                self.transport.sendto(line, (ip, self.port))
            return
        if len(line) > MOST_LINE:
            log.error("transport: a message of %d bytes is too long.", len(line))
            return
        lines = self.waiting.setdefault(ip, [])
        lines.append(line)
        if len(lines) > MOST_WAITING:
            self.counts["lost"] += 1
            del lines[0]
        if ip not in self.tasks:
            self.tasks[ip] = asyncio.get_running_loop().create_task(self._carry(ip))

    async def _carry(self, ip: str) -> None:
        """One connection, as long as there are long messages for it."""
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(DIAL_S):
                _, writer = await asyncio.open_connection(ip, self.port)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(STALL_S * 1000))
            waited = 0.0
            while waited < IDLE_S:
                lines = self.waiting.get(ip, [])
                if not lines:
                    await asyncio.sleep(0.02 if waited < 0.2 else 0.5)
                    waited += 0.02 if waited < 0.2 else 0.5
                    continue
                waited = 0.0
                writer.write(lines.pop(0))
                async with asyncio.timeout(STALL_S):
                    await writer.drain()
        except (OSError, TimeoutError):
            self.counts["lost"] += len(self.waiting.get(ip, ()))
        finally:
            self.waiting.pop(ip, None)
            del self.tasks[ip]
            if writer is not None:
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.taken) >= MOST_LINKS:
            writer.transport.abort()
            return
        self.taken.add(writer)
        try:
            while line := await reader.readline():
                self._line(line)
        except (OSError, ValueError):
            pass  # it ended, or is no line of ours: what it would have said comes again
        finally:
            self.taken.discard(writer)
            writer.transport.abort()

    def _line(self, line: bytes) -> None:
        self.counts["heard"] += 1
        self.counts["heard_bytes"] += len(line)
        try:
            message = messages.decode(line)
        except MessageError as error:
            self.counts["unreadable"] += 1
            self._unreadable(error)
            return
        self._hear(message)

    def _hear(self, message: AnyMessage) -> None:
        try:
            self.on_message(message)
        except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
            self.counts["unreadable"] += 1
            log.warning("transport: a %s can't be used: %r.", type(message).__name__, error)

    def _unreadable(self, error: MessageError) -> None:
        if error.protocol == PROTOCOL:
            log.warning("transport: a message can't be read: %s.", error)
        elif error.sender not in self.other_protocol and len(self.other_protocol) < MOST_LINKS:
            self.other_protocol.add(error.sender)
            log.warning("transport: %s speaks protocol %r, not %d.", error.sender, error.protocol, PROTOCOL)

    async def stop(self) -> None:
        """Ends all links."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None  # what is still to be said finds it closed, and would raise
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks.values()):
            task.cancel()
        for writer in list(self.taken):
            writer.transport.abort()
