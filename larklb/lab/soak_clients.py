"""Clients and servers of a soak: connections that are used until their process is gone, and a record of all.

Times are the loop's seconds.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

from attrs import define, field

from larklb.lab.system_network import CONFIGURATION, LIMITERS, Net
from larklb.lab.system_servers import StandIn
from larklb.lab.yard import read_head

LONG_PART, LONG_S = 0.25, (0.3, 1.4)  # of the work is long
LEAVE_PART, LEAVE_S = 0.2, (0.0, 0.5)  # of the requests lose their client after so long
UNSAFE_PART = 0.4
PAUSE_S = 0.03  # between two requests of a client, and before it comes again
PATIENCE_S = 4.0
KEY = CONFIGURATION["tenants"][0]["keys"][0]


@define
class Run:
    """One run of a request at a server; ``ended`` is None while it goes on."""

    began: float
    ended: float | None = None
    whole: bool = False


@define
class Asked:
    """One request of a client and what became of it."""

    path: str
    safe: bool
    limiter: int
    sent: float
    status: int = 0  # 0: no answer
    body: bytes = b""
    left: float | None = None  # when its client closed, without an answer
    cut: float | None = None  # when its connection ended without one, though its client stayed


@define(eq=False)
class SoakServer(StandIn):
    """A server that works for long at times, and keeps when each run began and ended."""

    done: dict[str, list[Run]] = field(factory=dict)  # by path

    async def work(self, path: str) -> None:
        clock = asyncio.get_running_loop().time
        run = Run(clock())
        self.done.setdefault(path, []).append(run)
        try:
            await asyncio.sleep(
                self.chance.uniform(*LONG_S)
                if self.chance.random() < LONG_PART
                else self.chance.uniform(0.01, 0.06)
            )
            run.whole = True
        finally:
            run.ended = clock()


@define(eq=False)
class KeptClient:
    """One client: a request after the other on a connection to one limiter, for as long as that lasts.

    ``limiter`` names where the next connection goes to."""

    name: str
    net: Net
    chance: random.Random
    limiter: Callable[[], int]
    asked: list[Asked] = field(factory=list)
    number: int = 0

    async def live(self, until: float) -> None:
        """Asks until then, and to the end of its last request."""
        clock = asyncio.get_running_loop().time
        while clock() < until:
            limiter = self.limiter() % LIMITERS
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(self.net.ip(limiter), self.net.edge)
            except (OSError, TimeoutError):
                await asyncio.sleep(PAUSE_S)
                continue
            try:
                while clock() < until and await self._one(limiter, reader, writer):
                    await asyncio.sleep(PAUSE_S * self.chance.random())
            finally:
                writer.transport.abort()

    async def _one(self, limiter: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """One request; whether its connection carries another one."""
        clock = asyncio.get_running_loop().time
        self.number += 1
        safe = self.chance.random() >= UNSAFE_PART
        path = f"{'/parts/' if safe else '/orders/'}{self.name}-{self.number}"
        asked = Asked(path, safe, limiter, clock())
        self.asked.append(asked)
        method, length = ("GET", "") if safe else ("POST", "Content-Length: 2\r\n")
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {path[1:]}\r\n"
            f"X-Time-Left: {PATIENCE_S * 1000:.0f}\r\nAuthorization: Bearer {KEY}\r\n{length}\r\n"
            f"{'' if safe else '{}'}".encode()
        )
        leaves = self.chance.random() < LEAVE_PART
        patience = self.chance.uniform(*LEAVE_S) if leaves else PATIENCE_S + 1.0
        try:
            async with asyncio.timeout(patience):
                head, headers = await read_head(reader)
                asked.body = await reader.readexactly(int(headers.get("content-length", 0)))
                asked.status = int(head.split()[1])
        except TimeoutError:
            asked.left = clock()
            if leaves and self.chance.random() < 0.5:
                writer.close()  # a FIN; else a reset
                await asyncio.sleep(0)
            return False
        except (OSError, EOFError, asyncio.LimitOverrunError):
            asked.cut = clock()
            return False
        if asked.status >= 300:
            with suppress(ValueError):
                await asyncio.sleep(min(0.3, float(headers.get("retry-after", "0"))))
        return headers.get("connection") != "close"
