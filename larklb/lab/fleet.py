"""The fleet rig: real limiters on loopback under injected faults, compared with the expected outcome.

Limiters are processes of the program.  Each has separate routes to every other (``relay.py``) and to every
node (``streams.py``), and its own discovery service, so that each can fail independently.  The audit counts
at nodes and clients and takes no figures from limiters.
"""

from __future__ import annotations

import asyncio
import random
import signal
import statistics
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from larklb.lab.cluster import Cluster, Discovery, Limiter, ask, job
from larklb.lab.machines import COLD_SHARE, CRASH_FACTOR, CRASH_WINDOW_S, WARM_S, Cells, Machine
from larklb.lab.relay import Relay
from larklb.lab.script import Fault, Script
from larklb.lab.streams import Streams, Way
from larklb.quota.bucket import TokenBucket
from larklb.quota.ring import members

T = TypeVar("T")
UNLIMITED_RATE = 500.0     # units per second of a customer whose quota should never be reached
RETRY_DELAY_S = 0.1        # before a client retries a job that was refused or failed
MAX_RETRIES = 2            # per job, before its deadline
GRACE_S = 0.3              # wait for an answer after the deadline, before the try counts as lost
LAG_INTERVAL_S = 0.05      # between measurements of the lag of the event loop
WINDOW_S = 0.5             # step of the figures over time
ENDS = {429: "refused", 503: "refused", 0: "lost", -1: "unreached", -2: "spoilt"}
COLUMNS = ("s", "tries", "in time", "late", "refused", "failed", "unreached", "lost")
AIMS = {"stock-check": 1500.0, "place-order": 2000.0}        # ms, as in the cluster's settings
DEADLINES = {"stock-check": 4.0, "place-order": 5.0}         # s


def each(act: Callable[[T], object], of: Iterable[T]) -> None:
    for x in of:
        act(x)


@dataclass
class Try:
    """One try of a client and its status.

    Other than HTTP statuses: 0 for no answer, -1 if the limiter was unreachable, -2 for a wrong body.
    """

    name: str
    customer: int
    limiter: int
    service: str
    submitted_at: float                # s from the start of the run
    duration_s: float = 0.0
    status: int = 0


@dataclass
class Audit:
    """The results of a run."""

    tries: list[Try] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)
    windows: list[dict[str, Any]] = field(default_factory=list)
    stderr: dict[str, str] = field(default_factory=dict)         # of killed limiters, by name

    def violations(self, script: Script) -> list[str]:
        """Returns one line for each figure outside of the bounds that the script expects."""
        return [f"{name} is {self.figures.get(name, float('nan')):.3f}, expected {low:g} to {high:g}"
                for name, (low, high) in script.expect.items()
                if not low <= self.figures.get(name, float("nan")) <= high]


class Rig:
    """One run: ``async with`` starts and stops the processes, ``play`` runs load and faults."""

    def __init__(self, script: Script, folder: Path, seed: int = 1, operator: str = "",
                 environment: dict[str, str] | None = None) -> None:
        """``folder`` receives configurations and sockets; ``operator`` extends the script's operator file."""
        self.script, self.seed = script, seed
        self.random = random.Random(seed)
        self.cells = Cells()
        self.machines = {f"s{i}": Machine(i, script.zone(i), script.cores, script.work, self.cells, seed)
                         for i in range(script.nodes)}
        load = script.load
        rate, burst = (load.quota, load.burst) if load.quota else (UNLIMITED_RATE, 2 * UNLIMITED_RATE)
        self.cluster = Cluster(folder, script.limiters, 0, more=script.operator + operator + "\n", plans=[
            {"name": "wide", "quota_rate": rate, "depth": burst}])
        self.cluster.nodes = list(self.machines.values())
        self.cluster.environment.update(environment or {})
        self.cluster.settings = {
            "family_info": {"inbox_per_s": script.inbox}, "dcs": list(script.zones),
            "safety": {"cold_share": COLD_SHARE, "warm_within": WARM_S * 1000.0, "tip_multiple": CRASH_FACTOR,
                       "fall": CRASH_WINDOW_S * 1000.0, "drain_grace": 250.0}}
        self.relay = Relay(self.cluster.peers, seed)
        self.relay.loss = script.loss
        self.streams = Streams(script.limiters, {name: m.port for name, m in self.machines.items()})
        # Custody uses TCP links between limiters, at the numbers of their peer ports.
        linked = "[custody]" in self.cluster.more
        self.peer_links = {pair: Way(self.cluster.peers[pair[1]], port)
                      for pair, port in self.relay.ports.items()} if linked else {}
        self.discoveries = [Discovery() for _ in range(script.limiters)]
        self.generation = 1
        self.listed = set(self.machines)
        self.cluster.peers_of = self.relay.peers
        self.cluster.discovery_of = lambda number: self.discoveries[number].port
        self.cluster.entries_of = self.entries
        self.partitions: list[tuple[set[int], set[int], float]] = []
        self.relay.cut = self._is_dropped
        self.tasks: set[asyncio.Task[None]] = set()
        self.audit = Audit()
        self.started_at = 0.0
        self.lag = 0.0                         # s, the largest lag of this process's event loop

    # Environment of the limiters ------------------------------------------------------------------

    def entries(self, number: int) -> list[dict[str, Any]]:
        """Returns the node list for one limiter, with the addresses of its routes."""
        return [self._entry(number, name, "up") for name in self.machines if name in self.listed]

    def _entry(self, number: int, name: str, lifecycle: str) -> dict[str, Any]:
        place = f"127.0.0.1:{self.streams.ways[number, name].port}"
        return self.machines[name].entry(lifecycle) | {"hostPort": place}

    def _list(self, names: list[str], lifecycle: str) -> None:
        self.generation += 1
        for number, discovery in enumerate(self.discoveries):
            discovery.publish(self.generation, *(self._entry(number, name, lifecycle) for name in names))

    def _is_dropped(self, sender: int, to: int) -> bool:
        return any(sender in a and to in b and self.random.random() < part for a, b, part in self.partitions)

    async def __aenter__(self) -> Rig:
        try:
            await self.relay.start()
            await self.streams.start()
            for wire in self.peer_links.values():
                await wire.start()
            for discovery in self.discoveries:
                await discovery.start()
            self._list(list(self.machines), "up")
            await self.cluster.__aenter__()
        except BaseException:
            await asyncio.sleep(1.0)           # other processes may be starting and must be stopped too
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        for limiter in self.cluster.limiters:
            process = limiter.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
        await self.cluster.__aexit__()
        self.relay.stop()
        self.streams.stop()
        each(Way.stop, self.peer_links.values())

    # Running ------------------------------------------------------------------------------

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    async def play(self, watch: Callable[[float], Any] | None = None) -> Audit:
        """Runs the script and computes the figures; ``watch`` is called with the time every ``WINDOW_S``."""
        self.started_at = time.monotonic()
        coroutines = [self._submit(), self._measure_lag()] + [self._fault(f) for f in self.script.fault]
        if watch is not None:
            coroutines.append(self._watch(watch))
        await asyncio.gather(*coroutines)
        while self.tasks:
            await asyncio.wait(self.tasks)
        self._figures()
        return self.audit

    async def _watch(self, watch: Callable[[float], Any]) -> None:
        while self.now() < self.script.length:
            await asyncio.sleep(WINDOW_S)
            found = watch(self.now())
            if asyncio.iscoroutine(found):
                await found

    async def _measure_lag(self) -> None:
        while self.now() < self.script.length:
            before = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            self.lag = max(self.lag, time.monotonic() - before - LAG_INTERVAL_S)

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self.now()))

    async def _submit(self) -> None:
        load, at, count = self.script.load, 0.0, 0
        while (at := at + self.random.expovariate(load.rate)) < self.script.length:
            await self._until(at)
            count += 1
            customer = self.random.randrange(load.customers)
            within = members(customer % self.script.limiters, load.spread, self.script.limiters)
            weights = [load.hot if m == 0 else 1.0 for m in within]
            order = self.random.choices(within, weights)
            order += self.random.sample([m for m in within if m != order[0]], len(within) - 1)
            service = "place-order" if self.random.random() < load.keyed else "stock-check"
            task = asyncio.ensure_future(self._client(count, customer, order, service))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _client(self, count: int, customer: int, order: list[int], service: str) -> None:
        """Submits one job, retrying at the next limiter of its set as a front proxy does."""
        until = self.now() + DEADLINES[service]
        key = f"{count:032x}"
        for again in range(1 + MAX_RETRIES):
            left = until - self.now()
            if left <= 0.05:
                return
            tried = Try(f"{count * 16 + again:016x}", customer, order[again % len(order)], service,
                        self.now())
            await self._try(tried, left, key, again > 0)
            self.audit.tries.append(tried)
            retryable = service == "stock-check" or tried.status in (-1, 429, 503)
            if tried.status == 200 or not retryable:
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def _try(self, tried: Try, left: float, key: str, repeat: bool) -> None:
        text = job(tried.name, tried.service, "wide", tried.customer + 1, left, self.script.load.spread,
                   tried.customer % self.script.limiters)
        if tried.service == "place-order":
            lines = text.split("\r\n")
            marked = f"Idempotency-Key: {key}" + "\r\nX-Repeat: 1" * repeat
            text = "\r\n".join(marked if line.startswith("Idempotency-Key") else line for line in lines)
        try:
            async with asyncio.timeout(left + GRACE_S):
                tried.status, _, body = await ask(self.cluster.limiters[tried.limiter].port, text)
                if tried.status == 200 and not body.startswith(b"done "):
                    tried.status = -2
        except ConnectionRefusedError:
            tried.status = -1
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            limiter = self.cluster.limiters[tried.limiter]
            dead = limiter.process is None or limiter.process.returncode is not None
            tried.status = -1 if dead else 0
        tried.duration_s = self.now() - tried.submitted_at

    # Faults -------------------------------------------------------------------------------

    async def _fault(self, f: Fault) -> None:
        await self._until(f.at)
        undo = await self._begin(f)
        if f.lasts:
            await self._until(f.at + f.lasts)
            found = undo()
            if asyncio.iscoroutine(found):
                await found

    async def _begin(self, f: Fault) -> Callable[[], Any]:
        """Injects the fault and returns the function that reverts it."""
        limiters, nodes = self.script.limiters_of(f.who), self.script.nodes_of(f.to)
        machines = [self.machines[name] for name in nodes]
        ways = [self.streams.ways[i, name] for i in limiters for name in nodes]
        match f.what:
            case "kill":
                await asyncio.gather(*(self._kill(self.cluster.limiters[i]) for i in limiters))
                return lambda: self._start(limiters)
            case "pause":
                for i in limiters:
                    self._signal(i, signal.SIGSTOP)
                return lambda: each(lambda i: self._signal(i, signal.SIGCONT), limiters)
            case "apart":
                some, others = set(limiters), set(self.script.limiters_of(f.to))
                cuts = [(some, others, f.part)] + ([] if f.one_way else [(others, some, f.part)])
                self.partitions += cuts
                silent = [wire for (a, b), wire in self.peer_links.items() if f.part >= 1.0 and any(
                    a in here and b in there for here, there, _ in cuts)]
                each(lambda wire: wire.set("silent"), silent)

                def heal() -> None:
                    each(self.partitions.remove, cuts)
                    each(lambda wire: wire.set("open"), silent)
                return heal
            case "refused" | "silent":
                for way in ways:
                    way.set("refused" if f.what == "refused" else "silent")
                return lambda: each(lambda way: way.set("open"), ways)
            case "delayed":
                for way in ways:
                    way.delay = f.ms / 1000.0
                return lambda: each(lambda way: setattr(way, "delay", 0.0), ways)
            case "failing":
                for m in machines:
                    m.failing, m.failing_service = True, f.service
                return lambda: each(lambda m: setattr(m, "failing", False), machines)
            case "slow":
                for m in machines:
                    m.work_factor = f.times
                return lambda: each(lambda m: setattr(m, "work_factor", 1.0), machines)
            case "restart":
                routes = [way for (_, name), way in self.streams.ways.items() if name in nodes]
                for way in routes:
                    way.set("refused")
                return lambda: self._return(nodes, routes)
            case "unlisted":
                self.listed -= set(nodes)
                self._list(nodes, "draining")
                return lambda: self._relist(nodes)
            case "deaf":
                for i in limiters:
                    self.discoveries[i].muted = True
                return lambda: each(self._unmute, limiters)

    async def _kill(self, limiter: Limiter) -> None:
        await limiter.stop(signal.SIGKILL)
        self.audit.stderr[limiter.name] = self.audit.stderr.get(limiter.name, "") + limiter.errors.decode()

    async def _start(self, numbers: list[int]) -> None:
        await asyncio.gather(*(self.cluster.limiters[i].start() for i in numbers))

    def _signal(self, number: int, name: signal.Signals) -> None:
        process = self.cluster.limiters[number].process
        if process is not None:
            with suppress(ProcessLookupError):
                process.send_signal(name)

    def _return(self, nodes: list[str], ways: list[Any]) -> None:
        for name in nodes:
            self.machines[name].restart()
        for way in ways:
            way.set("open")
        self._list(nodes, "up")

    def _relist(self, nodes: list[str]) -> None:
        self.listed |= set(nodes)
        self._list(nodes, "up")

    def _unmute(self, number: int) -> None:
        """Closes the watches of a limiter; the ones that it opens next deliver what it missed."""
        self.discoveries[number].muted = False
        self.discoveries[number].disconnect_watchers()

    # Figures ------------------------------------------------------------------------

    def _figures(self) -> None:
        audit, script = self.audit, self.script
        ends = Counter(self._end(t) for t in audit.tries)
        jobs: dict[int, list[Try]] = defaultdict(list)
        for t in audit.tries:
            jobs[int(t.name, 16) // 16].append(t)
        good = sum(any(self._end(t) == "in time" for t in ts) for ts in jobs.values())
        reached: dict[str, float] = {}
        sends = 0
        for m in self.machines.values():
            sends += len(m.accepted)
            for at, name in m.accepted:
                reached[name] = min(at, reached.get(name, at))
        opened = self.streams.opened()
        self.audit.figures = {
            "jobs": len(jobs), "tries": len(audit.tries), "served": good / max(1, len(jobs)),
            "refused": ends["refused"] / max(1, len(audit.tries)),
            "failed": ends["failed"] / max(1, len(audit.tries)), "lost": ends["lost"],
            "orders": sum(any(self._end(t) in ("in time", "late") for t in ts) for ts in jobs.values()
                          if ts[0].service == "place-order") / max(1, sum(
                              ts[0].service == "place-order" for ts in jobs.values())),
            "spoilt": ends["spoilt"], "twice": len(self.cells.executed_twice()),
            "wasted": sum(m.failed for m in self.machines.values()), "sends": sends,
            # Attempts beyond the first for each try that reached a node.
            "further": sends / len(reached) - 1.0 if reached else 0.0,
            "turned away": sum(m.rejected for m in self.machines.values()),
            "fallen": sum(m.crashes for m in self.machines.values()),
            "at once": max(m.max_concurrent_requests for m in self.machines.values()),
            "links": max(m.max_connections for m in self.machines.values()),
            "cold times": max(m.max_cold_load for m in self.machines.values()),
            "opened": sum(opened.values()), "opened a try": sum(opened.values()) / max(1, len(audit.tries)),
            "p50 ms": 1000 * statistics.median(
                [t.duration_s for t in audit.tries if t.status == 200] or [0.0]),
            "over": self._max_excess(reached), "messages": self.relay.forwarded,
            "messages a try": self.relay.forwarded / max(1, len(audit.tries))}
        steps = round(script.length / WINDOW_S)
        for n in range(steps):
            submitted = [t for t in audit.tries if n <= t.submitted_at / WINDOW_S < n + 1]
            found = Counter(self._end(t) for t in submitted)
            audit.windows.append({"s": n * WINDOW_S, "tries": len(submitted), **found})

    @staticmethod
    def _end(t: Try) -> str:
        if t.status == 200:
            return "in time" if t.duration_s * 1000.0 <= AIMS[t.service] else "late"
        return ENDS.get(t.status, "failed")

    def _max_excess(self, reached: dict[str, float]) -> float:
        """Returns the largest excess in units of a customer's accepted jobs over an ideal token bucket."""
        load, max_excess = self.script.load, 0.0
        if not load.quota:
            return 0.0
        by_name = {t.name: t for t in self.audit.tries}
        for customer in range(load.customers):
            # The ideal bucket may go below zero, and its deficit is the excess.
            bucket = TokenBucket(load.quota, load.burst, load.burst, 0.0)
            accepted = sorted(at for name, at in reached.items() if by_name[name].customer == customer)
            for at in accepted:
                bucket.fill(at * 1000.0)
                bucket.tokens -= 1.0
                max_excess = max(max_excess, -bucket.tokens)
        return max_excess
