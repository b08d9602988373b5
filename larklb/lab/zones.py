"""Days on which a zone fails and comes back, played with the program's own decisions in simulated time.

Limiters are the modules themselves (``net.py`` drives them), nodes are those of ``nodes.py``.  A limiter's
own part of what is decided on zones can be forbidden, so that one run shows a day with it and without.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from larklb import interface as io
from larklb.lab.net import Customer, Fate, Net
from larklb.lab.nodes import Model, Node

AIM, DEADLINE = 1500.0, 4000.0
WAY = (1.0, 4.0)           # ms between a limiter and a node, each way
WORDS = (1.0, 39.0)        # ms of a message between limiters, from the operators' brief
LIST_MS = 2500.0           # until a change of the list has reached all limiters, at the most
REFUSED_MS = 1.0           # until a connection that is refused says so


@dataclass(frozen=True)
class Fault:
    """From ``at`` for ``lasts`` ms ``zone`` is ``refusing``, ``silent``, ``slow`` (``times``), or ``cut`` off
    from the limiters outside of it, or from ``part`` of them; ``half``: every other node of it alone.  Nodes
    that were refusing or silent come back cold."""

    at: float
    lasts: float
    zone: str
    what: str = "refusing"
    times: float = 4.0
    half: bool = False
    part: float = 1.0


@dataclass(frozen=True)
class Day:
    """A fleet, its load and what befalls it."""

    limiters: int = 24
    nodes: int = 24
    zones: tuple[str, ...] = ("a", "b", "c")
    rate: float = 12.0                     # tries a second at a limiter, on average
    length: float = 20_000.0
    loss: float = 0.02
    faults: tuple[Fault, ...] = ()
    kills: tuple[tuple[float, float, int], ...] = ()         # at, ms down, limiter
    releases: tuple[tuple[float, int], ...] = ()             # at, node that is replaced by a cold one
    model: Model = field(default_factory=Model)
    on: bool = True                        # limiters decide on zones


class ZoneNet(Net):
    """One day; ``run`` plays it."""

    def __init__(self, day: Day, seed: int) -> None:
        self.day = day
        chance = random.Random(seed * 31 + 5)
        self.nodes = {f"s{i}": Node(f"s{i}", day.zones[i % len(day.zones)], day.model,
                                    random.Random(seed * 7919 + i)) for i in range(day.nodes)}
        self.out: dict[tuple[str, int], tuple[int, float, Callable[[float, io.Event], None], str]] = {}
        self.tried: Counter[str] = Counter()
        self.came: dict[str, float] = {}
        self.in_time: Counter[int] = Counter()                 # tries by the second that they came in
        self.asked: Counter[int] = Counter()
        self.into: Counter[str] = Counter()                    # attempts by zone while it was lost
        self.wasted = 0                                        # attempts that came to nothing
        self.left: dict[str, dict[int, float]] = {}            # by zone: when each limiter left it first
        self.home: dict[str, dict[int, float]] = {}            # ... and was back for good
        self.alarms = 0                                        # zones left that were not at fault
        self.cuts: list[Fault] = []
        servers = tuple(io.Entry(n.name, n.zone, i % 3) for i, n in enumerate(self.nodes.values()))
        customers = [self._customer(i, day, chance) for i in range(day.limiters)]
        super().__init__(day.limiters, customers, self._link, seed, plans=(
            io.Plan("taller", rate=6.0 * day.rate, burst=12.0 * day.rate),), servers=servers)
        for f in day.faults:
            self.at(f.at, lambda f=f: self._begin_fault(f))                   # type: ignore[misc]
            self.at(f.at + f.lasts, lambda f=f: self._end_fault(f))           # type: ignore[misc]
        for at, down, i in day.kills:
            self.at(at, lambda i=i: self.end(i))                              # type: ignore[misc]
            self.at(at + down, lambda i=i: self.begin(i))                     # type: ignore[misc]
        for at, n in day.releases:
            self.at(at, lambda n=n: self._release(f"s{n}"))                   # type: ignore[misc]

    @staticmethod
    def _customer(i: int, day: Day, chance: random.Random) -> Customer:
        spread = min(3, day.limiters)
        rate = day.rate * chance.uniform(0.5, 1.5)
        c = Customer(f"{i:016x}", io.Plan("taller", rate=6.0 * day.rate, burst=12.0 * day.rate), i, spread,
                     lambda now: rate, lambda now, chance: 0)
        c.where = lambda now, chance: chance.choice(c.members(day.limiters))
        return c

    def settings(self, number: int) -> io.Settings:
        m = self.day.model
        return io.Settings(
            number=number, gateways=self.number, plans=self.plans, tick=4.0, inbox_per_s=60.0, max_attempts=4,
            classes=(io.ServiceClass("stock-check", aim=AIM, deadline=DEADLINE),), can_cancel=True,
            max_retry_after=500.0, zone=self.zone(number), cold_share=m.cold_share, warm_within=m.warm_ms,
            tip_multiple=m.tip, cross_zone_charge=0.01)

    def zone(self, limiter: int) -> str:
        return self.day.zones[limiter % len(self.day.zones)]

    def begin(self, i: int) -> None:
        super().begin(i)
        zones = self.gateways[i].zones
        zones.leaving_enabled = zones.active = self.day.on
        self._told(i, [n for n in self.nodes.values() if n.started >= 0])

    # The network --------------------------------------------------------------------------

    def _link(self, now: float, sender: int, to: int, chance: random.Random) -> Fate:
        apart = any(f.part >= 1.0 and (self.zone(sender) == f.zone) != (self.zone(to) == f.zone)
                    for f in self.cuts)
        if chance.random() < self.day.loss or apart:
            return Fate(())
        return Fate((chance.uniform(*WORDS),))

    def _cut_off(self, limiter: int, node: Node) -> bool:
        return any((self.zone(limiter) == f.zone) != (node.zone == f.zone) and (
            f.part >= 1.0 or node.zone == f.zone and limiter % 10 < 10 * f.part) for f in self.cuts)

    # Attempts -----------------------------------------------------------------------------

    def _try(self, c: Customer, real: bool) -> None:
        if real:
            self.came[f"{c.name}-{c.tried + 1}"] = self.now
            self.asked[int(self.now // 1000)] += 1
        super()._try(c, real)

    def _send(self, i: int, a: io.Send, later: Callable[[float, io.Event], None]) -> None:
        self._let(a.request)
        name = a.request, self.tried[a.request]
        self.tried[a.request] += 1
        node, now = self.nodes[a.server], self.now
        self.out[name] = i, now, later, a.server
        way = self.chance.uniform(*WAY)
        if self._faulty(node.zone):
            self.into[node.zone] += 1
        left = max(0.0, self.came[a.request] + DEADLINE - now)
        limit = min(left, a.timeout or left)
        self.at(now + limit, lambda: self._ended(name, io.Result.TIMEOUT))
        if self._cut_off(i, node):
            return
        how, took = node.ask(now + way)
        if how == "ok":
            self.at(now + 2 * way + took, lambda: self._answered(name, node, now))
        elif how != "silent":
            result = io.Result.FULL if how == "full" else io.Result.CONNECT_FAILED
            self.at(now + 2 * way + REFUSED_MS, lambda: self._ended(name, result))

    def _answered(self, name: tuple[str, int], node: Node, sent: float) -> None:
        if name not in self.out or node.started > sent or node.state == "silent":
            return                                 # its process, or its machine, was gone before the answer
        if not self._cut_off(self.out[name][0], node):
            self._ended(name, io.Result.OK)

    def _ended(self, name: tuple[str, int], result: io.Result) -> None:
        if name not in self.out:
            return
        _, sent, later, server = self.out.pop(name)
        self.wasted += result is not io.Result.OK
        came = self.came[name[0]]
        if result is io.Result.OK and self.now - came <= AIM:
            self.in_time[int(came // 1000)] += 1
        later(0.0, io.Outcome(name[0], name[1], server, result, self.now - sent, result is io.Result.OK))

    def _cancel(self, a: io.Cancel, later: Callable[[float, io.Event], None]) -> None:
        self._ended((a.request, a.attempt), io.Result.CANCELLED)

    # Faults -------------------------------------------------------------------------------

    def _faulty(self, zone: str) -> bool:
        return any(f.zone == zone and f.at <= self.now < f.at + f.lasts for f in self.day.faults)

    def _of(self, f: Fault) -> list[Node]:
        return [n for n in self.nodes.values() if n.zone == f.zone][::2 if f.half else 1]

    def _begin_fault(self, f: Fault) -> None:
        if f.what == "cut":
            self.cuts.append(f)
        for node in self._of(f):
            if f.what == "slow":
                node.times = f.times
            elif f.what in ("refusing", "silent"):
                node.state = f.what
                if f.what == "refusing":           # connections break under what is out there
                    broken = [n for n, (_, _, _, server) in self.out.items() if server == node.name]
                    for name in broken:
                        self._ended(name, io.Result.RESET)

    def _end_fault(self, f: Fault) -> None:
        if f.what == "cut":
            self.cuts.remove(f)
        for node in self._of(f):
            if f.what == "slow":
                node.times = 1.0
            elif f.what in ("refusing", "silent"):
                node.start(self.now)
        if f.what in ("refusing", "silent"):
            self._news(self._of(f))

    def _release(self, name: str) -> None:
        self.nodes[name].start(self.now)
        self._news([self.nodes[name]])

    def _news(self, nodes: list[Node]) -> None:
        for i in range(self.number):
            self.at(self.now + self.chance.uniform(LIST_MS / 3, LIST_MS),
                    lambda i=i: self._told(i, nodes))                         # type: ignore[misc]

    def _told(self, i: int, nodes: list[Node]) -> None:
        entries = tuple(replace(e, started=self.nodes[e.server].started) for e in self.servers
                        if self.nodes[e.server] in nodes)
        if entries:
            self.feed(i, io.ServerList(io.ListKind.CHANGES, 2, entries))

    # What came out ------------------------------------------------------------------------

    def feed(self, i: int, event: io.Event) -> None:
        super().feed(i, event)
        gateway = self.gateways.get(i)
        if gateway is None:
            return
        for name in gateway.zones.reduced_fractions:
            if gateway.zones.by_name[name].state == "away":
                here = self.left.setdefault(name, {})
                if i not in here:
                    here[i] = self.now
                    self.alarms += not any(f.at <= self.now and (f.zone == name or f.what == "cut")
                                           for f in self.day.faults)
        for name in self.left:
            if name in gateway.zones.reduced_fractions:
                self.home.get(name, {}).pop(i, None)
            elif i in self.left[name]:
                self.home.setdefault(name, {}).setdefault(i, self.now)

    def served(self, since: float, until: float) -> float:
        """Of the tries that came between two times (ms, whole seconds), the part that was served in time."""
        seconds = range(int(since // 1000), int(until // 1000))
        return sum(self.in_time[s] for s in seconds) / max(1, sum(self.asked[s] for s in seconds))

    def fallen(self) -> int:
        """Cold nodes that were pushed over."""
        return sum(n.fallen for n in self.nodes.values())


def play(day: Day, seed: int) -> ZoneNet:
    """One day, the same for a seed."""
    net = ZoneNet(day, seed)
    net.run(day.length)
    return net
