"""The second address: one line from the operators' staff, one answer, whatever else this instance has to do.

``READY``, ``STATS``, ``DRAIN`` and ``UNDRAIN``, a call to a connection.  An answer is a line that begins with
``+OK`` or ``-ERR``; that of STATS is the figures as JSON and a line with a full stop.  Lines end with CR LF.
Who connects and says nothing holds one of few places: the longest waiting makes room for the next.
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

MAX_CONSOLE_CONNECTIONS = 12          # connections, and as many descriptors set aside for them
MOST_LINE = 64             # bytes of a call
PATIENCE = 6000.0          # ms for a whole call; those who hold a connection without one stay out of the way
ANSWERED = 2000.0          # ms in which an answer has to leave
BACKLOG = 128


class Console:
    """Answers calls at one address."""

    def __init__(self, core: Core, phase: Phase) -> None:
        self.core, self.phase, self.wheel = core, phase, core.wheel
        self.server: asyncio.Server | None = None
        self.calls: dict[str, Callable[[], str]] = {
            "READY": self._ready, "STATS": self._stats, "DRAIN": self._drain, "UNDRAIN": self._undrain}
        # Those that have not said a whole call yet, the longest waiting first.
        self.waiting: dict[asyncio.StreamWriter, None] = {}
        self.open: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    async def start(self, host: str, port: int) -> None:
        """OSError where the address is taken or not ours."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self.server = await asyncio.start_server(self._connected, sock=listening, limit=MOST_LINE,
                                                 backlog=MAX_CONSOLE_CONNECTIONS)
        listening.listen(BACKLOG)        # asyncio has one figure for what waits and what it takes in at once

    async def stop(self) -> None:
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
        timer = self.wheel.after(PATIENCE, writer.transport.abort)
        try:
            line = await self._line(reader)
            self.waiting.pop(writer, None)
            timer.cancel()
            timer = self.wheel.after(ANSWERED, writer.transport.abort)
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
        """A call with all that came behind it; None where the caller left before its end."""
        data = b""
        while b"\n" not in data and len(data) <= MOST_LINE:
            more = await reader.read(MOST_LINE)
            if not more:
                return None
            data += more
        return data

    def _answer(self, data: bytes) -> str:
        line, end, behind = data.partition(b"\n")
        if not end or len(line) > MOST_LINE:
            return f"-ERR a call has {MOST_LINE} bytes at the most\n"
        if behind:
            return "-ERR one call to a connection, nothing was done\n"
        call = self.calls.get(line.decode("ascii", "replace").strip())
        if call is None:
            return f"-ERR no such call; there are {', '.join(self.calls)}\n"
        self.core.counters.add("console.answered")
        return call()

    def _ready(self) -> str:
        return "+OK ready\n" if self.phase.ready else f"-ERR {self.phase.state.value}\n"

    def _stats(self) -> str:
        figures: dict[str, Any] = stats(self.core, self.wheel.now())
        return f"{msgspec.json.encode(figures).decode()}\n.\n"

    def _drain(self) -> str:
        if self.phase.move("drain", self.wheel.now()):
            return "+OK draining\n"
        return f"-ERR {self.phase.state.value}\n"

    def _undrain(self) -> str:
        if self.phase.move("undrain", self.wheel.now()):
            return "+OK serving\n"
        return f"-ERR {self.phase.state.value}\n"
