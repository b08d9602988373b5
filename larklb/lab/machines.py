"""Execute nodes of the fleet rig: cores, a queue, a cold start, and a crash when overloaded while cold."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from typing import Any

from larklb.lab.cluster import ExecuteNode, http

# Share of its capacity that a node has at its start, and the time until it has all of it.
COLD_SHARE, WARM_S = 0.25, 16.0
# A cold node crashes at this multiple of its present capacity, measured over this window.
CRASH_FACTOR, CRASH_WINDOW_S = 4.0, 1.0
MAX_QUEUE_S = 2.0                      # work that may wait; more is rejected unprocessed
RANDOM_ARRIVALS = 10                   # excess arrivals attributed to chance before a cold node crashes


class Cells:
    """Idempotency keys that have been executed, by cell: the nodes of one cell share them."""

    def __init__(self) -> None:
        self.answers: dict[int, dict[str, bytes]] = {}         # by cell and key
        self.executions: dict[str, int] = {}                   # number of cells that executed a key

    def record_execution(self, cell: int, key: str, answer: bytes) -> bytes:
        """Records an execution and returns the answer of the key's first execution in its cell."""
        answers = self.answers.setdefault(cell, {})
        if key not in answers:
            answers[key] = answer
            self.executions[key] = self.executions.get(key, 0) + 1
        return answers[key]

    def executed_twice(self) -> list[str]:
        """Returns the keys that were executed in more than one cell."""
        return [key for key, count in self.executions.items() if count > 1]


class Machine(ExecuteNode):
    """One execute node; ``accepted`` holds the time and the id of each request that it accepted.

    Times are in s by the monotonic clock.  ``work`` is the mean service time in ms on a core of a warm node,
    ``work_factor`` a factor on it, and ``failing`` makes the node answer 500: only to ``failing_service``,
    if that is set.
    """

    def __init__(self, number: int, zone: str, cores: int, work: float, cells: Cells, seed: int) -> None:
        super().__init__(f"s{number}", cell=number % 3)
        self.zone, self.cores, self.work, self.cells = zone, cores, work, cells
        self.random = random.Random(seed * 7919 + number)
        self.started = -1e9                            # long ago, so warm
        self.failing, self.failing_service, self.work_factor = False, "", 1.0
        self.down = False                              # after a crash, until ``restart``
        self.busy, self.waiting = 0, 0                 # cores in use, and requests that wait for one
        self.core_free = asyncio.Condition()
        self.arrivals: deque[float] = deque()
        self.accepted: list[tuple[float, str]] = []
        self.rejected = self.failed = self.crashes = 0
        self.max_cold_load = 0.0                       # largest load while cold, relative to its capacity
        self.reply = self._reply

    def entry(self, lifecycle: str = "up") -> dict[str, Any]:
        """Returns the node's entry in a discovery list, with its zone and start time."""
        started = int((time.time() - (time.monotonic() - self.started)) * 1000) if self.started > 0 else 0
        return super().entry(lifecycle) | {"zone": self.zone, "startedAtMs": started}

    def restart(self) -> None:
        """Restarts the node cold; only the keys of its cell are kept."""
        self.started, self.down = time.monotonic(), False
        self.arrivals.clear()

    def warmth(self, now: float) -> float:
        """Returns the share of its capacity that the node has at ``now``."""
        return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * max(0.0, now - self.started) / WARM_S)

    def _check_overload(self, now: float) -> None:
        self.arrivals.append(now)
        while self.arrivals[0] < now - CRASH_WINDOW_S:
            self.arrivals.popleft()
        warmth = self.warmth(now)
        if warmth < 1.0:
            capacity = self.cores * 1000.0 / self.work * warmth * CRASH_WINDOW_S
            self.max_cold_load = max(self.max_cold_load, (len(self.arrivals) - RANDOM_ARRIVALS) / capacity)
            if len(self.arrivals) > CRASH_FACTOR * capacity + RANDOM_ARRIVALS:
                self.down = True
                self.crashes += 1

    async def _reply(self, headers: dict[str, str], body: bytes) -> bytes | None:
        now = time.monotonic()
        self._check_overload(now)
        if self.down:
            return None
        request_id, key = headers["x-correlation-id"], headers.get("idempotency-key", "")
        if self.waiting * self.work / 1000.0 / self.cores > MAX_QUEUE_S:
            self.rejected += 1
            return http(503, b"", "X-Unprocessed: 1")
        self.accepted.append((now, request_id))
        # Only the path names the class, and ExecuteNode drops it; only orders have a key.
        service = "place-order" if key else "stock-check"
        if self.failing and self.failing_service in ("", service):
            self.failed += 1
            return http(500)
        async with self.core_free:
            self.waiting += 1
            try:
                await self.core_free.wait_for(lambda: self.busy < self.cores)
            finally:
                self.waiting -= 1
            self.busy += 1
        try:
            duration_ms = self.work * self.random.uniform(0.5, 1.5) * self.work_factor / self.warmth(now)
            await asyncio.sleep(duration_ms / 1000.0)
        finally:
            async with self.core_free:
                self.busy -= 1
                self.core_free.notify()
        answer = http(200, b"done " + request_id.encode())
        if key:
            self.cells.record_execution(self.cell, key, answer)
        return answer
