"""Execute nodes of the fleet rig: cores, a queue, a cold start, and a fall under too much when cold."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from typing import Any

from larklb.lab.cluster import ExecuteNode, http

COLD_SHARE, WARM_S = 0.25, 16.0        # as the rig's settings tell the limiters
TIP, FALL_S = 4.0, 1.0                 # times its present capacity, kept up for so long, and it falls over
QUEUE_S = 2.0                          # s of work that may wait; more is turned away unprocessed
SLACK = 10                             # arrivals that chance may add before a cold node falls


class Cells:
    """Keys that have run: nodes of one cell drop each other's repeats."""

    def __init__(self) -> None:
        self.ran: dict[int, dict[str, bytes]] = {}
        self.executions: dict[str, int] = {}

    def first(self, cell: int, key: str, answer: bytes) -> bytes:
        """The answer of the first run of a key in its cell; it counts as run but once there."""
        ran = self.ran.setdefault(cell, {})
        if key not in ran:
            ran[key] = answer
            self.executions[key] = self.executions.get(key, 0) + 1
        return ran[key]

    def twice(self) -> list[str]:
        return [key for key, n in self.executions.items() if n > 1]


class Machine(ExecuteNode):
    """One node; ``ids`` of the tries that reached it whole, with their times."""

    def __init__(self, number: int, zone: str, cores: int, work: float, cells: Cells, seed: int) -> None:
        super().__init__(f"s{number}", cell=number % 3)
        self.zone, self.cores, self.work, self.cells = zone, cores, work, cells
        self.chance = random.Random(seed * 7919 + number)
        self.started = -1e9                            # long ago
        self.fails, self.fails_for, self.times = False, "", 1.0
        self.down = False
        self.busy, self.waiting = 0, 0
        self.turn = asyncio.Condition()
        self.arrivals: deque[float] = deque()
        self.ids: list[tuple[float, str]] = []
        self.turned_away = self.failed = self.fallen = 0
        self.most_times = 0.0                          # capacity that was sent at a time while cold
        self.reply = self._reply

    def entry(self, lifecycle: str = "up") -> dict[str, Any]:
        started = int((time.time() - (time.monotonic() - self.started)) * 1000) if self.started > 0 else 0
        return super().entry(lifecycle) | {"zone": self.zone, "startedAtMs": started}

    def restart(self) -> None:
        """It comes back with nothing but what its cell remembers, and cold."""
        self.started, self.down = time.monotonic(), False
        self.arrivals.clear()

    def warmth(self, now: float) -> float:
        return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * max(0.0, now - self.started) / WARM_S)

    def _weigh(self, now: float) -> None:
        self.arrivals.append(now)
        while self.arrivals[0] < now - FALL_S:
            self.arrivals.popleft()
        warmth = self.warmth(now)
        if warmth < 1.0:
            stands = self.cores * 1000.0 / self.work * warmth * FALL_S
            self.most_times = max(self.most_times, (len(self.arrivals) - SLACK) / stands)
            if len(self.arrivals) > TIP * stands + SLACK:
                self.down = True
                self.fallen += 1

    async def _reply(self, headers: dict[str, str], body: bytes) -> bytes | None:
        now = time.monotonic()
        self._weigh(now)
        if self.down:
            return None
        name, key = headers["x-correlation-id"], headers.get("idempotency-key", "")
        if self.waiting * self.work / 1000.0 / self.cores > QUEUE_S:
            self.turned_away += 1
            return http(503, b"", "X-Unprocessed: 1")
        self.ids.append((now, name))
        # The class stands in the path alone, which a node of the yard does not keep: the key tells it.
        kind = "place-order" if key else "stock-check"
        if self.fails and self.fails_for in ("", kind):
            self.failed += 1
            return http(500)
        async with self.turn:
            self.waiting += 1
            try:
                await self.turn.wait_for(lambda: self.busy < self.cores)
            finally:
                self.waiting -= 1
            self.busy += 1
        try:
            took = self.work * self.chance.uniform(0.5, 1.5) * self.times / self.warmth(now)
            await asyncio.sleep(took / 1000.0)
        finally:
            async with self.turn:
                self.busy -= 1
                self.turn.notify()
        answer = http(200, b"done " + name.encode())
        if key:
            self.cells.first(self.cell, key, answer)
        return answer
