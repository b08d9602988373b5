"""Clients and servers of a soak test, which record all requests and their runs.

Clients use their connections until the limiter's process is gone. Times are in seconds of the event
loop's clock.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

from attrs import define, field

from larklb.lab.cluster import read_head
from larklb.lab.system_network import CONFIGURATION, Net
from larklb.lab.system_servers import StandInServer

# Fraction of the requests with long work, and its duration (min, max).
LONG_FRACTION, LONG_S = 0.25, (0.3, 1.4)
# Fraction of the requests whose client disconnects early, and after which time (min, max).
LEAVE_FRACTION, LEAVE_S = 0.2, (0.0, 0.5)
UNSAFE_FRACTION = 0.4  # fraction of the requests that aren't idempotent
# Paths of the tenants that send more than their quota.
QUICK_PATHS = ("/parts/ketch-", "/parts/dinghy-")
PAUSE_S = 0.03  # max pause between requests of a client, and pause before it reconnects
CLIENT_TIMEOUT_S = 4.0
TENANT, KEY = CONFIGURATION["tenants"][0]["name"], CONFIGURATION["tenants"][0]["keys"][0]
# Longest pause of a client after an error response, even if Retry-After asks for more.
MAX_REFUSAL_PAUSE_S = 0.3


@define
class Run:
    """One execution of a request at a server; ``ended_at`` is None while it runs."""

    started_at: float
    ended_at: float | None = None
    completed: bool = False


@define
class ClientRequest:
    """One request of a client and its result."""

    path: str
    safe: bool
    limiter: int
    sent_at: float
    status: int = 0  # 0: no answer
    body: bytes = b""
    closed_at: float | None = None  # when its client disconnected without an answer
    disconnected_at: float | None = None  # when the limiter closed the connection without an answer
    tenant: str = TENANT


@define(eq=False)
class SoakServer(StandInServer):
    """A server that sometimes works for a long time, and records the start and end of each run."""

    runs_by_path: dict[str, list[Run]] = field(factory=dict)

    def long_fraction(self, path: str) -> float:
        """Returns the probability of long work on a request; those of overloaded tenants are short."""
        return 0.0 if path.startswith(QUICK_PATHS) else LONG_FRACTION

    async def work(self, path: str) -> None:
        """Handles a request and records its run."""
        clock = asyncio.get_running_loop().time
        run = Run(clock())
        self.runs_by_path.setdefault(path, []).append(run)
        try:
            await asyncio.sleep(
                self.rng.uniform(*LONG_S)
                if self.rng.random() < self.long_fraction(path)
                else self.rng.uniform(0.01, 0.06)
            )
            run.completed = True
        finally:
            run.ended_at = clock()


@define(eq=False)
class PersistentClient:
    """A client that sends sequential requests over a persistent connection to one limiter.

    ``limiter`` returns the index of the limiter for the next connection. ``key`` is that of ``tenant``;
    ``leave_fraction`` is the fraction of the requests during which the client disconnects.
    """

    name: str
    net: Net
    rng: random.Random
    limiter: Callable[[], int]
    key: str = KEY
    tenant: str = TENANT
    unsafe_fraction: float = UNSAFE_FRACTION
    leave_fraction: float = LEAVE_FRACTION
    max_pause_s: float = MAX_REFUSAL_PAUSE_S
    requests: list[ClientRequest] = field(factory=list)
    number: int = 0

    async def run(self, until: float) -> None:
        """Sends requests until the time ``until``, and completes the last one."""
        clock = asyncio.get_running_loop().time
        while clock() < until:
            limiter = self.limiter() % self.net.limiters
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(self.net.ip(limiter), self.net.edge)
            except (OSError, TimeoutError):
                await asyncio.sleep(PAUSE_S)
                continue
            try:
                while (
                    clock() < until
                    and await self.before_request()
                    and await self._send_request(limiter, reader, writer)
                ):
                    await asyncio.sleep(PAUSE_S * self.rng.random())
            finally:
                writer.transport.abort()

    async def before_request(self) -> bool:
        """Returns whether to send the next request over the present connection."""
        return True

    async def _send_request(
        self, limiter: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends one request; returns whether its connection can be reused."""
        clock = asyncio.get_running_loop().time
        self.number += 1
        safe = self.rng.random() >= self.unsafe_fraction
        path = f"{'/parts/' if safe else '/orders/'}{self.name}-{self.number}"
        request = ClientRequest(path, safe, limiter, clock(), tenant=self.tenant)
        self.requests.append(request)
        method, length = ("GET", "") if safe else ("POST", "Content-Length: 2\r\n")
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {path[1:]}\r\n"
            f"X-Time-Left: {CLIENT_TIMEOUT_S * 1000:.0f}\r\nAuthorization: Bearer {self.key}\r\n{length}\r\n"
            f"{'' if safe else '{}'}".encode()
        )
        leaves_early = self.rng.random() < self.leave_fraction
        timeout_s = self.rng.uniform(*LEAVE_S) if leaves_early else CLIENT_TIMEOUT_S + 1.0
        try:
            async with asyncio.timeout(timeout_s):
                head, headers = await read_head(reader)
                request.body = await reader.readexactly(int(headers.get("content-length", 0)))
                request.status = int(head.split()[1])
        except TimeoutError:
            request.closed_at = clock()
            if leaves_early and self.rng.random() < 0.5:
                writer.close()  # sends a FIN; without it the connection is reset
                await asyncio.sleep(0)
            return False
        except (OSError, EOFError, asyncio.LimitOverrunError):
            request.disconnected_at = clock()
            return False
        if request.status >= 300:
            with suppress(ValueError):
                await asyncio.sleep(min(self.max_pause_s, float(headers.get("retry-after", "0"))))
        return headers.get("connection") != "close"
