"""One-way messages between limiters as JSON lines, without a guarantee of delivery.

A short message is sent as one datagram, a longer one over a connection, which is dropped if it stalls.
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

# A longer datagram would be fragmented on the way.
MAX_DATAGRAM_BYTES = 1_300
# A longer message is neither sent nor received.
MAX_LINE_BYTES = 24 * 1024 * 1024
# Long messages that may wait for the connection to one limiter; the oldest is dropped beyond that.
MAX_QUEUED_MESSAGES = 4
CONNECT_TIMEOUT_S = 0.6
# Time for one long message to be written.
SEND_TIMEOUT_S = 2.5
# A connection is closed after this time without a long message.
IDLE_TIMEOUT_S = 8.0
MAX_INCOMING_CONNECTIONS = 128

MessageHandler = Callable[[AnyMessage], object]


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], object]) -> None:
        self.on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Ignores that a port is unreachable: its limiter sends messages itself when it is back."""


class Transport:
    """Sends and receives the messages of one limiter; ``on_message`` is called with each received message."""

    def __init__(self, node: str, ip: str, port: int, on_message: MessageHandler) -> None:
        self.node, self.ip, self.port, self.on_message = node, ip, port, on_message
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.queues: dict[str, list[bytes]] = {}
        self.senders: dict[str, asyncio.Task[None]] = {}
        self.incoming: set[asyncio.StreamWriter] = set()
        # Nodes with another protocol version, each of which is logged once.
        self.other_protocol: set[str] = set()
        self.counts = {"sent": 0, "sent_bytes": 0, "heard": 0, "heard_bytes": 0, "unreadable": 0, "lost": 0}

    async def start(self) -> None:
        """Opens the port for datagrams and connections; raises ``AddressError`` if it isn't available."""
        loop = asyncio.get_running_loop()
        try:
            self.transport, _ = await loop.create_datagram_endpoint(
                lambda: _Datagrams(self._handle_line), local_addr=(self.ip, self.port)
            )
            self.server = await asyncio.start_server(
                self._serve_connection, self.ip, self.port, limit=MAX_LINE_BYTES
            )
        except OSError as error:
            raise AddressError(f"{self.ip}:{self.port}: {error}") from error

    def send(self, ip: str, message: Message) -> None:
        """Sends a message to a limiter; it may be lost without notice."""
        message = messages.with_sender(message, self.node, self.ip)
        if ip == self.ip:
            asyncio.get_running_loop().call_soon(self._deliver, message)
            return
        line = messages.encode(message) + b"\n"
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(line)
        if len(line) <= MAX_DATAGRAM_BYTES:
            if self.transport is not None:
                self.transport.sendto(line, (ip, self.port))
            return
        if len(line) > MAX_LINE_BYTES:
            log.error("transport: message of %d bytes exceeds the maximum length.", len(line))
            return
        lines = self.queues.setdefault(ip, [])
        lines.append(line)
        if len(lines) > MAX_QUEUED_MESSAGES:
            self.counts["lost"] += 1
            del lines[0]
        if ip not in self.senders:
            self.senders[ip] = asyncio.get_running_loop().create_task(self._send_queued(ip))

    async def _send_queued(self, ip: str) -> None:
        """Keeps one connection open and sends the queued messages until there are none for a while."""
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(ip, self.port)
            connection_socket = writer.get_extra_info("socket")
            connection_socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(SEND_TIMEOUT_S * 1000)
            )
            idle_s = 0.0
            while idle_s < IDLE_TIMEOUT_S:
                lines = self.queues.get(ip, [])
                if not lines:
                    await asyncio.sleep(0.02 if idle_s < 0.2 else 0.5)
                    idle_s += 0.02 if idle_s < 0.2 else 0.5
                    continue
                idle_s = 0.0
                writer.write(lines.pop(0))
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await writer.drain()
        except (OSError, TimeoutError):
            self.counts["lost"] += len(self.queues.get(ip, ()))
        finally:
            self.queues.pop(ip, None)
            del self.senders[ip]
            if writer is not None:
                writer.transport.abort()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.incoming) >= MAX_INCOMING_CONNECTIONS:
            writer.transport.abort()
            return
        self.incoming.add(writer)
        try:
            while line := await reader.readline():
                self._handle_line(line)
        except (OSError, ValueError):
            # The connection broke, or the line is too long. Messages are sent again periodically.
            pass
        finally:
            self.incoming.discard(writer)
            writer.transport.abort()

    def _handle_line(self, line: bytes) -> None:
        """Decodes and delivers one message; counts and logs one that can't be decoded."""
        self.counts["heard"] += 1
        self.counts["heard_bytes"] += len(line)
        try:
            message = messages.decode(line)
        except MessageError as error:
            self.counts["unreadable"] += 1
            self._log_unreadable(error)
            return
        self._deliver(message)

    def _deliver(self, message: AnyMessage) -> None:
        """Passes a message to the handler; counts and logs one whose contents it rejects."""
        try:
            self.on_message(message)
        except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
            self.counts["unreadable"] += 1
            log.warning("transport: invalid %s: %r.", type(message).__name__, error)

    def _log_unreadable(self, error: MessageError) -> None:
        if error.protocol == PROTOCOL:
            log.warning("transport: message can't be decoded: %s.", error)
        elif error.sender not in self.other_protocol and len(self.other_protocol) < MAX_INCOMING_CONNECTIONS:
            self.other_protocol.add(error.sender)
            log.warning("transport: %s speaks protocol %r, not %d.", error.sender, error.protocol, PROTOCOL)

    async def stop(self) -> None:
        """Closes the port and all connections."""
        if self.transport is not None:
            self.transport.close()
            # Sending on a closed transport would raise, so later messages are discarded.
            self.transport = None
        if self.server is not None:
            self.server.close()
        for task in list(self.senders.values()):
            task.cancel()
        for writer in list(self.incoming):
            writer.transport.abort()
