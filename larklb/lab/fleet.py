"""The fleet rig: real limiters on loopback with faults between them, laid beside what should have come out.

Limiters are processes of the program.  Each has ways of its own to every other (``relay.py``) and to every
node (``streams.py``), and a discovery of its own, so that any of them can fail alone.  An auditor counts at
nodes and submitters, and never asks a limiter.
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
from larklb.lab.machines import COLD_SHARE, FALL_S, TIP, WARM_S, Cells, Machine
from larklb.lab.relay import Relay
from larklb.lab.script import Fault, Script
from larklb.lab.streams import Streams, Way
from larklb.quota.bucket import TokenBucket
from larklb.quota.ring import members

T = TypeVar("T")
PLENTY = 500.0             # units a second of a customer without a quota that binds
AGAIN_S = 0.1              # a submitter that was refused or failed comes again after this ...
AGAIN = 2                  # ... so often, within its time
GRACE_S = 0.3              # after a job's deadline its answer is still waited for; then it is lost
LAG_S = 0.05               # between looks at how late this process is
WINDOW_S = 0.5             # figures over time are kept for such steps
ENDS = {429: "refused", 503: "refused", 0: "lost", -1: "unreached", -2: "spoilt"}
COLUMNS = ("s", "tries", "in time", "late", "refused", "failed", "unreached", "lost")
AIMS = {"stock-check": 1500.0, "place-order": 2000.0}        # ms, as the yard's settings have them
DEADLINES = {"stock-check": 4.0, "place-order": 5.0}         # s


def each(act: Callable[[T], object], of: Iterable[T]) -> None:
    for x in of:
        act(x)


@dataclass
class Try:
    """One try of a submitter, and how it ended: 0, no answer; -1, the limiter could not be reached."""

    name: str
    customer: int
    limiter: int
    service: str
    came: float                # s from the first try of the day
    took: float = 0.0
    status: int = 0


@dataclass
class Audit:
    """What came out of a day."""

    tries: list[Try] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)
    windows: list[dict[str, Any]] = field(default_factory=list)
    stderr: dict[str, str] = field(default_factory=dict)           # by limiter, what it wrote to stderr

    def violations(self, script: Script) -> list[str]:
        """Figures that lie outside of what the script expects, a line each."""
        return [f"{name} is {self.figures.get(name, float('nan')):.3f}, expected {low:g} to {high:g}"
                for name, (low, high) in script.expect.items()
                if not low <= self.figures.get(name, float("nan")) <= high]


class Rig:
    """One day; ``async with`` starts everything and ends it, ``play`` runs the day."""

    def __init__(self, script: Script, folder: Path, seed: int = 1, operator: str = "",
                 environment: dict[str, str] | None = None) -> None:
        """``folder`` takes configurations and sockets; ``operator`` is text for the operator's file, beside
        the script's."""
        self.script, self.seed = script, seed
        self.chance = random.Random(seed)
        self.cells = Cells()
        self.machines = {f"s{i}": Machine(i, script.zone(i), script.cores, script.work, self.cells, seed)
                         for i in range(script.nodes)}
        load = script.load
        rate, burst = (load.quota, load.burst) if load.quota else (PLENTY, 2 * PLENTY)
        self.yard = Cluster(folder, script.limiters, 0, more=script.operator + operator + "\n", plans=[
            {"name": "wide", "quota_rate": rate, "depth": burst}])
        self.yard.nodes = list(self.machines.values())
        self.yard.environment.update(environment or {})
        self.yard.settings = {
            "family_info": {"inbox_per_s": script.inbox}, "dcs": list(script.zones),
            "safety": {"cold_share": COLD_SHARE, "warm_within": WARM_S * 1000.0, "tip_multiple": TIP,
                       "fall": FALL_S * 1000.0, "drain_grace": 250.0}}
        self.relay = Relay(self.yard.peers, seed)
        self.relay.loss = script.loss
        self.streams = Streams(script.limiters, {name: m.port for name, m in self.machines.items()})
        # Limiters that have a link of their own meet at the ports by which they know each other.
        linked = "[custody]" in self.yard.more
        self.wires = {pair: Way(self.yard.peers[pair[1]], port)
                      for pair, port in self.relay.ports.items()} if linked else {}
        self.lists = [Discovery() for _ in range(script.limiters)]
        self.generation = 1
        self.listed = set(self.machines)
        self.yard.peers_of = self.relay.peers
        self.yard.discovery_of = lambda number: self.lists[number].port
        self.yard.entries_of = self.entries
        self.apart: list[tuple[set[int], set[int], float]] = []
        self.relay.cut = self._lost
        self.tasks: set[asyncio.Task[None]] = set()
        self.audit = Audit()
        self.began = 0.0
        self.lag = 0.0                         # s, the most by which this process was late

    # Around the limiters ------------------------------------------------------------------

    def entries(self, number: int) -> list[dict[str, Any]]:
        """The list as one limiter is told it: each node at the end of a way of its own."""
        return [self._entry(number, name, "up") for name in self.machines if name in self.listed]

    def _entry(self, number: int, name: str, lifecycle: str) -> dict[str, Any]:
        place = f"127.0.0.1:{self.streams.ways[number, name].port}"
        return self.machines[name].entry(lifecycle) | {"hostPort": place}

    def _list(self, names: list[str], lifecycle: str) -> None:
        self.generation += 1
        for number, discovery in enumerate(self.lists):
            discovery.publish(self.generation, *(self._entry(number, name, lifecycle) for name in names))

    def _lost(self, sender: int, to: int) -> bool:
        return any(sender in a and to in b and self.chance.random() < part for a, b, part in self.apart)

    async def __aenter__(self) -> Rig:
        try:
            await self.relay.start()
            await self.streams.start()
            for wire in self.wires.values():
                await wire.start()
            for discovery in self.lists:
                await discovery.start()
            self._list(list(self.machines), "up")
            await self.yard.__aenter__()
        except BaseException:
            await asyncio.sleep(1.0)           # the others are starting still, and must not be left behind
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        for limiter in self.yard.limiters:
            process = limiter.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
        await self.yard.__aexit__()
        self.relay.stop()
        self.streams.stop()
        each(Way.stop, self.wires.values())

    # The day ------------------------------------------------------------------------------

    def now(self) -> float:
        return time.monotonic() - self.began

    async def play(self, watch: Callable[[float], Any] | None = None) -> Audit:
        """The whole day, then its figures; ``watch`` is called with the time of day, every half second."""
        self.began = time.monotonic()
        days = [self._submit(), self._lags()] + [self._fault(f) for f in self.script.fault]
        if watch is not None:
            days.append(self._watch(watch))
        await asyncio.gather(*days)
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

    async def _lags(self) -> None:
        while self.now() < self.script.length:
            before = time.monotonic()
            await asyncio.sleep(LAG_S)
            self.lag = max(self.lag, time.monotonic() - before - LAG_S)

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self.now()))

    async def _submit(self) -> None:
        load, at, count = self.script.load, 0.0, 0
        while (at := at + self.chance.expovariate(load.rate)) < self.script.length:
            await self._until(at)
            count += 1
            customer = self.chance.randrange(load.customers)
            within = members(customer % self.script.limiters, load.spread, self.script.limiters)
            weights = [load.hot if m == 0 else 1.0 for m in within]
            order = self.chance.choices(within, weights)
            order += self.chance.sample([m for m in within if m != order[0]], len(within) - 1)
            service = "place-order" if self.chance.random() < load.keyed else "stock-check"
            task = asyncio.ensure_future(self._client(count, customer, order, service))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _client(self, count: int, customer: int, order: list[int], service: str) -> None:
        """One job and its tries: the next limiter of the set where one cannot be reached, as a front does."""
        until = self.now() + DEADLINES[service]
        key = f"{count:032x}"
        for again in range(1 + AGAIN):
            left = until - self.now()
            if left <= 0.05:
                return
            tried = Try(f"{count * 16 + again:016x}", customer, order[again % len(order)], service,
                        self.now())
            await self._try(tried, left, key, again > 0)
            self.audit.tries.append(tried)
            harmless = service == "stock-check" or tried.status in (-1, 429, 503)
            if tried.status == 200 or not harmless:
                return
            await asyncio.sleep(AGAIN_S)

    async def _try(self, tried: Try, left: float, key: str, repeat: bool) -> None:
        text = job(tried.name, tried.service, "wide", tried.customer + 1, left, self.script.load.spread,
                   tried.customer % self.script.limiters)
        if tried.service == "place-order":
            lines = text.split("\r\n")
            marked = f"Idempotency-Key: {key}" + "\r\nX-Repeat: 1" * repeat
            text = "\r\n".join(marked if line.startswith("Idempotency-Key") else line for line in lines)
        try:
            async with asyncio.timeout(left + GRACE_S):
                tried.status, _, body = await ask(self.yard.limiters[tried.limiter].port, text)
                if tried.status == 200 and not body.startswith(b"done "):
                    tried.status = -2
        except ConnectionRefusedError:
            tried.status = -1
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            limiter = self.yard.limiters[tried.limiter]
            dead = limiter.process is None or limiter.process.returncode is not None
            tried.status = -1 if dead else 0
        tried.took = self.now() - tried.came

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
        """Does it; what undoes it."""
        limiters, nodes = self.script.limiters_of(f.who), self.script.nodes_of(f.to)
        machines = [self.machines[name] for name in nodes]
        ways = [self.streams.ways[i, name] for i in limiters for name in nodes]
        match f.what:
            case "kill":
                await asyncio.gather(*(self._kill(self.yard.limiters[i]) for i in limiters))
                return lambda: self._start(limiters)
            case "pause":
                for i in limiters:
                    self._signal(i, signal.SIGSTOP)
                return lambda: each(lambda i: self._signal(i, signal.SIGCONT), limiters)
            case "apart":
                some, others = set(limiters), set(self.script.limiters_of(f.to))
                cuts = [(some, others, f.part)] + ([] if f.one_way else [(others, some, f.part)])
                self.apart += cuts
                silent = [wire for (a, b), wire in self.wires.items() if f.part >= 1.0 and any(
                    a in here and b in there for here, there, _ in cuts)]
                each(lambda wire: wire.set("silent"), silent)

                def heal() -> None:
                    each(self.apart.remove, cuts)
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
                    m.fails, m.fails_for = True, f.service
                return lambda: each(lambda m: setattr(m, "fails", False), machines)
            case "slow":
                for m in machines:
                    m.times = f.times
                return lambda: each(lambda m: setattr(m, "times", 1.0), machines)
            case "restart":
                mine = [way for (_, name), way in self.streams.ways.items() if name in nodes]
                for way in mine:
                    way.set("refused")
                return lambda: self._return(nodes, mine)
            case "unlisted":
                self.listed -= set(nodes)
                self._list(nodes, "draining")
                return lambda: self._relist(nodes)
            case "deaf":
                for i in limiters:
                    self.lists[i].muted = True
                return lambda: each(self._hears, limiters)

    async def _kill(self, limiter: Limiter) -> None:
        await limiter.stop(signal.SIGKILL)
        self.audit.stderr[limiter.name] = self.audit.stderr.get(limiter.name, "") + limiter.errors.decode()

    async def _start(self, numbers: list[int]) -> None:
        await asyncio.gather(*(self.yard.limiters[i].start() for i in numbers))

    def _signal(self, number: int, name: signal.Signals) -> None:
        process = self.yard.limiters[number].process
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

    def _hears(self, number: int) -> None:
        """Its watches end, and the next ones bring all that it missed."""
        self.lists[number].muted = False
        self.lists[number].disconnect_watchers()

    # What came out ------------------------------------------------------------------------

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
            sends += len(m.ids)
            for at, name in m.ids:
                reached[name] = min(at, reached.get(name, at))
        opened = self.streams.opened()
        self.audit.figures = {
            "jobs": len(jobs), "tries": len(audit.tries), "served": good / max(1, len(jobs)),
            "refused": ends["refused"] / max(1, len(audit.tries)),
            "failed": ends["failed"] / max(1, len(audit.tries)), "lost": ends["lost"],
            "orders": sum(any(self._end(t) in ("in time", "late") for t in ts) for ts in jobs.values()
                          if ts[0].service == "place-order") / max(1, sum(
                              ts[0].service == "place-order" for ts in jobs.values())),
            "spoilt": ends["spoilt"], "twice": len(self.cells.twice()),
            "wasted": sum(m.failed for m in self.machines.values()), "sends": sends,
            # Attempts at nodes for each try that reached one, beyond its first.
            "further": sends / len(reached) - 1.0 if reached else 0.0,
            "turned away": sum(m.turned_away for m in self.machines.values()),
            "fallen": sum(m.fallen for m in self.machines.values()),
            "at once": max(m.max_concurrent_requests for m in self.machines.values()),
            "links": max(m.max_connections for m in self.machines.values()),
            "cold times": max(m.most_times for m in self.machines.values()),
            "opened": sum(opened.values()), "opened a try": sum(opened.values()) / max(1, len(audit.tries)),
            "p50 ms": 1000 * statistics.median([t.took for t in audit.tries if t.status == 200] or [0.0]),
            "over": self._over(reached), "messages": self.relay.forwarded,
            "messages a try": self.relay.forwarded / max(1, len(audit.tries))}
        steps = round(script.length / WINDOW_S)
        for n in range(steps):
            came = [t for t in audit.tries if n <= t.came / WINDOW_S < n + 1]
            found = Counter(self._end(t) for t in came)
            audit.windows.append({"s": n * WINDOW_S, "tries": len(came), **found})

    @staticmethod
    def _end(t: Try) -> str:
        if t.status == 200:
            return "in time" if t.took * 1000.0 <= AIMS[t.service] else "late"
        return ENDS.get(t.status, "failed")

    def _over(self, reached: dict[str, float]) -> float:
        """The most units by which what reached nodes led a perfect bucket of its customer."""
        load, most = self.script.load, 0.0
        if not load.quota:
            return 0.0
        by_name = {t.name: t for t in self.audit.tries}
        for customer in range(load.customers):
            # One perfect bucket that may go below zero: how far it does is how far over.
            bucket = TokenBucket(load.quota, load.burst, load.burst, 0.0)
            mine = sorted(at for name, at in reached.items() if by_name[name].customer == customer)
            for at in mine:
                bucket.fill(at * 1000.0)
                bucket.tokens -= 1.0
                most = max(most, -bucket.tokens)
        return most
