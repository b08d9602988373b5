"""Clients of the trial of the whole system: what they ask for, and what became of it."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from contextlib import suppress

from attrs import define, field

from larklb.lab.system_network import LIMITERS, PREFIXES, REQUEST_INTERVAL_S, Net, call
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
    """What became of requests, in the clients' own words."""

    served: Counter[str] = field(factory=Counter)              # by kind
    refused: Counter[str] = field(factory=Counter)             # ... each with a promise that it has not run
    over_quota: int = 0
    unknown: Counter[str] = field(factory=Counter)             # ... unsafe, at a limiter as it was killed
    lost: list[str] = field(factory=list)
    tries: int = 0
    outcome: dict[str, str] = field(factory=dict)              # by path


class Clients:
    """All clients: an even stream of requests, each tried again only where that can do no harm."""

    def __init__(self, net: Net, rng: random.Random) -> None:
        self.net, self.rng, self.figures = net, rng, Figures()
        self.misses = Counter({i: 2 for i in range(LIMITERS)})
        self.killed: dict[int, float] = {}             # limiters, and when they were killed
        self.kinds = ["place-order", "look-up"]
        self.number = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def poll_readiness(self) -> None:
        """As the platform does: who is not ready gets no new connections."""
        while True:
            await asyncio.gather(*(self._poll_limiter(i) for i in range(LIMITERS)))
            await asyncio.sleep(READINESS_POLL_S)

    async def _poll_limiter(self, i: int) -> None:
        with suppress(OSError, TimeoutError):
            if (await call(f"{self.net.ip(i)}:{self.net.readiness}", "GET", calls.READINESS))[0] == 200:
                self.misses[i] = 0
                return
        self.misses[i] += 1

    def ready(self) -> list[int]:
        return [i for i in range(LIMITERS) if self.misses[i] < 2]

    async def stream(self, seconds: float) -> None:
        """Requests for so long, and to the end of the last one."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for n in range(int(seconds / REQUEST_INTERVAL_S)):
            await asyncio.sleep(max(0.0, begin + n * REQUEST_INTERVAL_S - loop.time()))
            task = loop.create_task(self._one())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)

    async def _one(self) -> None:
        self.number += 1
        small = self.number % SMALL_PART == 0
        kind = "look-up" if small else self.kinds[self.number % len(self.kinds)]
        path = f"{PREFIXES[kind]}{self.number}"
        outcome = await self._tried(kind, path, "skiff" if small else "yard")
        figures = self.figures
        figures.outcome[path] = outcome
        if outcome == "over":
            figures.over_quota += 1
        elif outcome == "lost":
            figures.lost.append(f"{kind} {path}")
        else:
            counts = {"served": figures.served, "refused": figures.refused, "unknown": figures.unknown}
            counts[outcome][kind] += 1

    async def _tried(self, kind: str, path: str, tenant: str) -> str:
        loop, safe = asyncio.get_running_loop(), kind != "place-order"
        due = loop.time() + REQUEST_DEADLINE_S
        said = "nothing"
        while (left := due - loop.time()) > 0.05:
            self.figures.tries += 1
            i = self.rng.choice(self.ready() or list(range(LIMITERS)))
            began, attempt = loop.time(), f"{self.rng.getrandbits(64):016x}"
            address = f"{self.net.ip(i)}:{self.net.edge}"
            try:
                # Who refuses the connection has read nothing.
                _, probe = await asyncio.wait_for(asyncio.open_connection(self.net.ip(i), self.net.edge), 1.0)
                probe.transport.abort()
            except (OSError, TimeoutError):
                said = "unreached"
                await asyncio.sleep(0.05)
                continue
            try:
                status, headers, body = await call(
                    address, "POST" if not safe else "GET", path,
                    {"Host": "shop.example", "X-Attempt-Id": attempt, "X-Time-Left": f"{left * 1000:.0f}",
                     "Authorization": f"Bearer trial-key-of-the-{tenant}"}, b"" if safe else b"{}", left)
            except (OSError, TimeoutError):
                if not safe:
                    # It may have run, and must not be sent again.
                    return "unknown" if self.killed.get(i, -1.0) >= began - 0.05 else "lost"
                said = "broken off"
                continue
            if status < 300:
                whole = (body.decode() == f"{path} for {tenant}" and "x-server-seal" in headers
                         and headers.get("x-attempt-id") == attempt)
                return "served" if whole else "lost"
            if status == 429 and tenant == "skiff":
                return "over"
            if status not in NOT_RUN_STATUSES and (not safe or status < 500):
                return "lost"
            said = "refused" if status in NOT_RUN_STATUSES else str(status)
            await asyncio.sleep(min(max(0.0, due - loop.time()), float(headers.get("retry-after", "0.05"))))
        return "refused" if not safe and said in ("refused", "unreached") else "lost"
