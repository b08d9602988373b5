"""Stand-in servers of the loopback trial."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Coroutine
from contextlib import suppress

from attrs import define, field

from larklb.lab.cluster import read_head
from larklb.lab.system_network import DRAIN_BOUND_S, HEARTBEAT_INTERVAL_S, call
from larklb.schema.document import digest

SLOTS, QUEUE = 8, 8        # of each server
WORK_S = (0.015, 0.06)     # time that a request takes, (min, max)
Response = tuple[int, dict[str, str], bytes]             # status, headers, body


@define(eq=False)
class StandInServer:
    """A server that answers requests, reports its load and sends heartbeats to the limiters."""

    id: str
    service: str
    zone: str
    ip: str
    port: int
    controls: list[str]
    rng: random.Random
    runs: Counter[str] = field(factory=Counter)        # requests begun, by path
    rejected: int = 0
    running: int = 0
    waiting: int = 0
    sequence: int = 0
    draining: bool = False
    drain_acknowledged_at: float = 0.0           # loop time
    late_requests: int = 0                  # received after the drain bound
    report_to: str = ""
    server: asyncio.Server | None = None
    slots: asyncio.Semaphore = field(factory=lambda: asyncio.Semaphore(SLOTS))

    async def start(self) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(EOFError, OSError, ValueError, asyncio.LimitOverrunError):
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                response = await self._unless_closed(reader, self._respond(first.split()[1], headers, body))
                if response is None:
                    break
                status, extra_headers, content = response
                if self.draining:
                    extra_headers["Connection"] = "close"
                lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(content)}",
                         f"X-Load: {self.running},{self.waiting},{SLOTS}", f"X-Instance-Id: {self.id}",
                         *(f"{name}: {value}" for name, value in extra_headers.items())]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
                await writer.drain()
                if self.draining:
                    break
        writer.close()

    async def _unless_closed(self, reader: asyncio.StreamReader,
                             pending: Coroutine[None, None, Response]) -> Response | None:
        """Return the response, or None if the connection closed first, which cancels the work on it."""
        response, closed = asyncio.ensure_future(pending), asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((response, closed), return_when=asyncio.FIRST_COMPLETED)
            return response.result() if response.done() else None
        finally:
            response.cancel()
            closed.cancel()
            await asyncio.gather(response, closed, return_exceptions=True)

    async def work(self, path: str) -> None:
        """Spend the time that a request takes; subclasses override it."""
        await asyncio.sleep(self.rng.uniform(*WORK_S))

    async def _respond(self, path: str, headers: dict[str, str],
                       body: bytes) -> Response:
        now = asyncio.get_running_loop().time()
        if path == "/up":
            return 503 if self.draining else 200, {}, b""
        if headers.get("x-target-instance", self.id) != self.id:
            self.rejected += 1
            return 421, {"X-Not-Run": "1"}, b""
        if "x-attempt-id" not in headers:
            return 400, {"X-Not-Run": "1"}, b""
        if self.drain_acknowledged_at and now - self.drain_acknowledged_at > DRAIN_BOUND_S:
            self.late_requests += 1
        echoed = {"X-Attempt-Id": headers["x-attempt-id"]}
        if self.running + self.waiting >= SLOTS + QUEUE:
            self.rejected += 1
            return 503, {"X-Not-Run": "1", **echoed}, b""
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs[path] += 1
        try:
            await self.work(path)
        finally:
            self.running -= 1
            self.slots.release()
        seal = digest({"id": self.id, "attempt": headers["x-attempt-id"]})[:16]
        return 200, {"X-Server-Seal": seal, **echoed}, f"{path} for {headers.get('x-tenant', '')}".encode()

    async def send_heartbeat(self) -> bool:
        """Send a heartbeat, trying further limiters until one acknowledges it; return whether one did."""
        self.sequence += 1
        body = json.dumps({
            "address": f"{self.ip}:{self.port}",
            "info": {"target": self.service, "version": "v1", "zone": self.zone, "capacity": SLOTS},
            "observed": {"state": "draining" if self.draining else "steady", "sequence": self.sequence,
                         "warmupLeftMs": 0}}).encode()
        others = self.rng.sample(self.controls, len(self.controls))
        for address in [self.report_to, *others] if self.report_to else others:
            with suppress(OSError, TimeoutError):
                status, _, response = await call(address, "POST", f"/larklb/instances/{self.id}/heartbeat",
                                             {"Content-Type": "application/json"}, body)
                if status < 300:
                    self.report_to = str(json.loads(response or b"{}").get("reportTo", ""))
                    return True
            self.report_to = ""
        return False

    async def send_heartbeats(self) -> None:
        """Send heartbeats at a fixed interval until the server drains."""
        while not self.draining:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def leave(self) -> None:
        """Leave in an orderly manner.

        The server announces that it drains, serves on until all limiters have learned that, deregisters and
        stops.
        """
        self.draining = True
        deadline = asyncio.get_running_loop().time() + 5.0
        while not await self.send_heartbeat() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.1)
        self.drain_acknowledged_at = asyncio.get_running_loop().time()
        await asyncio.sleep(DRAIN_BOUND_S + 0.5)
        for address in self.controls:
            with suppress(OSError, TimeoutError):
                if (await call(address, "POST", f"/larklb/instances/{self.id}/leave"))[0] < 300:
                    break
        await self.stop()

    async def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()
