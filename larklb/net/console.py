"""Operators' console on a second address, which answers even when this instance is busy.

The commands are ``READY``, ``STATS``, ``DRAIN`` and ``UNDRAIN``, one per connection.  An answer is a line
that begins with ``+OK`` or ``-ERR``; that of STATS is a JSON object and a line with a full stop.  Lines end
with CR LF.  Connections are limited: a new one evicts the oldest that has not sent a complete command.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import msgspec

from larklb.core import Core
from larklb.operator_stats import stats
from larklb.phase import Phase

# As many descriptors are reserved for the console.
MAX_CONSOLE_CONNECTIONS = 12
MAX_COMMAND_BYTES = 64
# Time for a complete command, so that silent connections don't occupy the console.
COMMAND_TIMEOUT_MS = 6000.0
# Time for writing the answer.
ANSWER_TIMEOUT_MS = 2000.0
LISTEN_BACKLOG = 128


class Console:
    """Answers console commands on one address."""

    def __init__(self, core: Core, phase: Phase) -> None:
        self.core, self.phase, self.wheel = core, phase, core.wheel
        self.server: asyncio.Server | None = None
        self.commands: dict[str, Callable[[], str]] = {
            "READY": self._ready, "STATS": self._stats, "DRAIN": self._drain, "UNDRAIN": self._undrain}
        # Connections without a complete command yet, oldest first.
        self.waiting: dict[asyncio.StreamWriter, None] = {}
        self.open: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    async def start(self, host: str, port: int) -> None:
        """Listens on the address; raises OSError if it is not available."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = socket.create_server((host, port), family=family, backlog=LISTEN_BACKLOG)
        self.server = await asyncio.start_server(self._connected, sock=listening, limit=MAX_COMMAND_BYTES,
                                                 backlog=MAX_CONSOLE_CONNECTIONS)
        listening.listen(LISTEN_BACKLOG)        # asyncio uses one number for backlog and accepts

    async def stop(self) -> None:
        """Closes the address and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.open.values():
            writer.transport.abort()
        if self.open:
            await asyncio.wait(self.open)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.open) >= MAX_CONSOLE_CONNECTIONS:
            if not self.waiting:
                writer.transport.abort()
                return
            oldest = next(iter(self.waiting))
            del self.waiting[oldest]
            oldest.transport.abort()
            self.core.counters.add("console.for_room")
        task = asyncio.current_task()
        assert task is not None
        self.open[task] = writer
        self.waiting[writer] = None
        timer = self.wheel.after(COMMAND_TIMEOUT_MS, writer.transport.abort)
        try:
            line = await self._line(reader)
            self.waiting.pop(writer, None)
            timer.cancel()
            timer = self.wheel.after(ANSWER_TIMEOUT_MS, writer.transport.abort)
            if line is not None:
                writer.write(self._answer(line).replace("\n", "\r\n").encode())
                await writer.drain()
        except OSError:
            self.core.counters.add("console.gone")
        finally:
            timer.cancel()
            self.waiting.pop(writer, None)
            del self.open[task]
            writer.close()

    async def _line(self, reader: asyncio.StreamReader) -> bytes | None:
        """Reads a command and anything sent after it; None if the client left before its end."""
        data = b""
        while b"\n" not in data and len(data) <= MAX_COMMAND_BYTES:
            more = await reader.read(MAX_COMMAND_BYTES)
            if not more:
                return None
            data += more
        return data

    def _answer(self, data: bytes) -> str:
        line, end, behind = data.partition(b"\n")
        if not end or len(line) > MAX_COMMAND_BYTES:
            return f"-ERR a call has {MAX_COMMAND_BYTES} bytes at the most\n"
        if behind:
            return "-ERR one call to a connection, nothing was done\n"
        command = self.commands.get(line.decode("ascii", "replace").strip())
        if command is None:
            return f"-ERR no such call; there are {', '.join(self.commands)}\n"
        self.core.counters.add("console.answered")
        return command()

    def _ready(self) -> str:
        return "+OK ready\n" if self.phase.ready else f"-ERR {self.phase.state.value}\n"

    def _stats(self) -> str:
        statistics: dict[str, Any] = stats(self.core, self.wheel.now())
        return f"{msgspec.json.encode(statistics).decode()}\n.\n"

    def _drain(self) -> str:
        if self.phase.move("drain", self.wheel.now()):
            return "+OK draining\n"
        return f"-ERR {self.phase.state.value}\n"

    def _undrain(self) -> str:
        if self.phase.move("undrain", self.wheel.now()):
            return "+OK serving\n"
        return f"-ERR {self.phase.state.value}\n"
