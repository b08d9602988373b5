"""Clients of the loopback trial: a steady stream of requests and a record of their outcomes."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from contextlib import suppress

from attrs import define, field

from larklb.lab.system_network import PREFIXES, REQUEST_INTERVAL_S, Net, call
from larklb.schema import calls

REQUEST_DEADLINE_S = 5.0   # of a client's request, over all its attempts
# Interval between readiness checks of a limiter; two failures in a row exclude it.
READINESS_POLL_S = 0.4
# Statuses that promise that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Every SMALL_PART-th request is the small tenant's, which makes 9 a second.
SMALL_PART = 5


@define
class Figures:
    """Outcomes of requests as the clients observed them.

    `served`, `refused` and `unknown` count by kind of request. Each refused request carried the promise
    that it had not run; unknown ones are unsafe requests at a limiter that was killed meanwhile.
    """

    served: Counter[str] = field(factory=Counter)
    refused: Counter[str] = field(factory=Counter)
    over_quota: int = 0
    unknown: Counter[str] = field(factory=Counter)
    lost: list[str] = field(factory=list)
    tries: int = 0
    outcome: dict[str, str] = field(factory=dict)              # by path


class Clients:
    """Send requests at a fixed rate and retry each only where a second run is impossible or harmless."""

    def __init__(self, net: Net, rng: random.Random) -> None:
        self.net, self.rng, self.figures = net, rng, Figures()
        self.misses = Counter({i: 2 for i in range(self.net.limiters)})
        self.killed: dict[int, float] = {}             # time at which each was killed
        self.kinds = ["place-order", "look-up"]
        self.number = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def poll_readiness(self) -> None:
        """Poll the readiness of all limiters for ever; those that aren't ready get no new connections."""
        while True:
            await asyncio.gather(*(self._poll_limiter(i) for i in range(self.net.limiters)))
            await asyncio.sleep(READINESS_POLL_S)

    async def _poll_limiter(self, i: int) -> None:
        with suppress(OSError, TimeoutError):
            if (await call(f"{self.net.ip(i)}:{self.net.readiness}", "GET", calls.READINESS))[0] == 200:
                self.misses[i] = 0
                return
        self.misses[i] += 1

    def ready(self) -> list[int]:
        """Return the limiters that haven't failed two readiness checks in a row."""
        return [i for i in range(self.net.limiters) if self.misses[i] < 2]

    async def stream(self, seconds: float) -> None:
        """Send requests for `seconds` and wait until the last one has ended."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for n in range(int(seconds / REQUEST_INTERVAL_S)):
            await asyncio.sleep(max(0.0, started_at + n * REQUEST_INTERVAL_S - loop.time()))
            task = loop.create_task(self._send_request())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)

    async def _send_request(self) -> None:
        self.number += 1
        small = self.number % SMALL_PART == 0
        kind = "look-up" if small else self.kinds[self.number % len(self.kinds)]
        path = f"{PREFIXES[kind]}{self.number}"
        outcome = await self._send_with_retries(kind, path, "skiff" if small else "yard")
        figures = self.figures
        figures.outcome[path] = outcome
        if outcome == "over":
            figures.over_quota += 1
        elif outcome == "lost":
            figures.lost.append(f"{kind} {path}")
        else:
            counts = {"served": figures.served, "refused": figures.refused, "unknown": figures.unknown}
            counts[outcome][kind] += 1

    async def _send_with_retries(self, kind: str, path: str, tenant: str) -> str:
        """Return the outcome of a request: served, refused, over (its quota), unknown or lost."""
        loop, safe = asyncio.get_running_loop(), kind != "place-order"
        deadline = loop.time() + REQUEST_DEADLINE_S
        last_result = "nothing"
        while (left := deadline - loop.time()) > 0.05:
            self.figures.tries += 1
            i = self.rng.choice(self.ready() or list(range(self.net.limiters)))
            attempt_start, attempt = loop.time(), f"{self.rng.getrandbits(64):016x}"
            address = f"{self.net.ip(i)}:{self.net.edge}"
            try:
                # A limiter that refuses the connection has read nothing, so a retry is safe.
                _, probe = await asyncio.wait_for(asyncio.open_connection(self.net.ip(i), self.net.edge), 1.0)
                probe.transport.abort()
            except (OSError, TimeoutError):
                last_result = "unreached"
                await asyncio.sleep(0.05)
                continue
            try:
                status, headers, body = await call(
                    address, "POST" if not safe else "GET", path,
                    {"Host": "shop.example", "X-Attempt-Id": attempt, "X-Time-Left": f"{left * 1000:.0f}",
                     "Authorization": f"Bearer trial-key-of-the-{tenant}"}, b"" if safe else b"{}", left)
            except (OSError, TimeoutError):
                if not safe:
                    # The request may have run, and must not be sent again.
                    return "unknown" if self.killed.get(i, -1.0) >= attempt_start - 0.05 else "lost"
                last_result = "broken off"
                continue
            if status < 300:
                valid = (body.decode() == f"{path} for {tenant}" and "x-server-seal" in headers
                         and headers.get("x-attempt-id") == attempt)
                return "served" if valid else "lost"
            if status == 429 and tenant == "skiff":
                return "over"
            if status not in NOT_RUN_STATUSES and (not safe or status < 500):
                return "lost"
            last_result = "refused" if status in NOT_RUN_STATUSES else str(status)
            await asyncio.sleep(
                min(max(0.0, deadline - loop.time()), float(headers.get("retry-after", "0.05"))))
        return "refused" if not safe and last_result in ("refused", "unreached") else "lost"
