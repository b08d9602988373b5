"""Simulates the failure and the return of a zone with the program's own decisions.

Limiters run the program's modules (``net.py`` drives them); nodes are those of ``nodes.py``.  The decision of
limiters to leave a zone can be disabled, so that the same day can be compared with and without it.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from larklb import interface as io
from larklb.lab.net import Customer, Delivery, Net
from larklb.lab.nodes import Model, Node

# Target and deadline of a request, in ms.
AIM, DEADLINE = 1500.0, 4000.0
# Bounds of the one-delay delay between a limiter and a node.
NODE_DELAY_MS = (1.0, 4.0)
# Bounds of the delay of a message between limiters, as the operators state them.
MESSAGE_DELAY_MS = (1.0, 39.0)
# A change of the server list reaches every limiter within this time.
MAX_LIST_DELAY_MS = 2500.0
# Time until a refused connection is reported, in addition to the way there and back.
REFUSAL_MS = 1.0


@dataclass(frozen=True)
class Fault:
    """A fault of ``zone`` that begins at ``at`` and lasts ``duration`` ms.

    ``what`` is ``refusing``, ``silent``, ``slow`` (by the factor ``slowdown``) or ``cut``: the zone is
    partitioned from the limiters outside of it, or from a ``fraction`` of them.  With ``half`` only
    every other node of the zone is affected.  Nodes that were refusing or silent come back cold.
    """

    at: float
    duration: float
    zone: str
    what: str = "refusing"
    slowdown: float = 4.0
    half: bool = False
    fraction: float = 1.0


@dataclass(frozen=True)
class Day:
    """A scenario: a fleet, its load and its faults.  Times are in ms."""

    limiters: int = 24
    nodes: int = 24
    zones: tuple[str, ...] = ("a", "b", "c")
    # Mean number of requests per second at a limiter.
    rate: float = 12.0
    length: float = 20_000.0
    loss: float = 0.02
    faults: tuple[Fault, ...] = ()
    # Time of the kill, downtime, and number of the limiter.
    kills: tuple[tuple[float, float, int], ...] = ()
    # Time of the release, and number of the node that is replaced by a cold one.
    releases: tuple[tuple[float, int], ...] = ()
    model: Model = field(default_factory=Model)
    # Whether limiters may leave a zone.
    leaving_enabled: bool = True


class ZoneNet(Net):
    """The simulation of one day; ``run`` executes it and the counters hold its result."""

    def __init__(self, day: Day, seed: int) -> None:
        self.day = day
        rng = random.Random(seed * 31 + 5)
        self.nodes = {f"s{i}": Node(f"s{i}", day.zones[i % len(day.zones)], day.model,
                                    random.Random(seed * 7919 + i)) for i in range(day.nodes)}
        self.outstanding: dict[tuple[str, int],
                               tuple[int, float, Callable[[float, io.Event], None], str]] = {}
        self.attempts: Counter[str] = Counter()
        self.arrived_at: dict[str, float] = {}
        # Requests served in time and all requests, by the second of their arrival.
        self.in_time: Counter[int] = Counter()
        self.arrivals: Counter[int] = Counter()
        # Attempts sent to a zone during its fault, by zone.
        self.attempts_during_fault: Counter[str] = Counter()
        # Attempts that did not succeed.
        self.wasted = 0
        # By zone and limiter: when the limiter first left the zone, and when it returned for the last time.
        self.left_at: dict[str, dict[int, float]] = {}
        self.returned_at: dict[str, dict[int, float]] = {}
        # Number of times that a limiter left a zone without a fault.
        self.false_departures = 0
        self.partitions: list[Fault] = []
        servers = tuple(io.Entry(n.name, n.zone, i % 3) for i, n in enumerate(self.nodes.values()))
        customers = [self._customer(i, day, rng) for i in range(day.limiters)]
        super().__init__(day.limiters, customers, self._link, seed, plans=(
            io.Plan("taller", rate=6.0 * day.rate, burst=12.0 * day.rate),), servers=servers)
        for f in day.faults:
            self.at(f.at, lambda f=f: self._begin_fault(f))                   # type: ignore[misc]
            self.at(f.at + f.duration, lambda f=f: self._end_fault(f))           # type: ignore[misc]
        for at, down, i in day.kills:
            self.at(at, lambda i=i: self.end(i))                              # type: ignore[misc]
            self.at(at + down, lambda i=i: self.begin(i))                     # type: ignore[misc]
        for at, n in day.releases:
            self.at(at, lambda n=n: self._release(f"s{n}"))                   # type: ignore[misc]

    @staticmethod
    def _customer(i: int, day: Day, rng: random.Random) -> Customer:
        spread = min(3, day.limiters)
        rate = day.rate * rng.uniform(0.5, 1.5)
        c = Customer(f"{i:016x}", io.Plan("taller", rate=6.0 * day.rate, burst=12.0 * day.rate), i, spread,
                     lambda now: rate, lambda now, rng: 0)
        c.choose_limiter = lambda now, rng: rng.choice(c.members(day.limiters))
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
        zones.leaving_enabled = zones.active = self.day.leaving_enabled
        self._deliver_list(i, [n for n in self.nodes.values() if n.started >= 0])

    # The network --------------------------------------------------------------------------

    def _link(self, now: float, sender: int, to: int, rng: random.Random) -> Delivery:
        partitioned = any(f.fraction >= 1.0 and (self.zone(sender) == f.zone) != (self.zone(to) == f.zone)
                    for f in self.partitions)
        if rng.random() < self.day.loss or partitioned:
            return Delivery(())
        return Delivery((rng.uniform(*MESSAGE_DELAY_MS),))

    def _cut_off(self, limiter: int, node: Node) -> bool:
        return any((self.zone(limiter) == f.zone) != (node.zone == f.zone) and (
            f.fraction >= 1.0 or node.zone == f.zone and limiter % 10 < 10 * f.fraction)
            for f in self.partitions)

    # Attempts -----------------------------------------------------------------------------

    def _try(self, c: Customer, real: bool) -> None:
        if real:
            self.arrived_at[f"{c.name}-{c.tries + 1}"] = self.now
            self.arrivals[int(self.now // 1000)] += 1
        super()._try(c, real)

    def _send(self, i: int, a: io.Send, later: Callable[[float, io.Event], None]) -> None:
        self._let(a.request)
        name = a.request, self.attempts[a.request]
        self.attempts[a.request] += 1
        node, now = self.nodes[a.server], self.now
        self.outstanding[name] = i, now, later, a.server
        delay = self.random_source.uniform(*NODE_DELAY_MS)
        if self._has_fault(node.zone):
            self.attempts_during_fault[node.zone] += 1
        time_left = max(0.0, self.arrived_at[a.request] + DEADLINE - now)
        limit = min(time_left, a.timeout or time_left)
        self.at(now + limit, lambda: self._finish(name, io.Result.TIMEOUT))
        if self._cut_off(i, node):
            return
        status, service_ms = node.submit(now + delay)
        if status == "ok":
            self.at(now + 2 * delay + service_ms, lambda: self._on_response(name, node, now))
        elif status != "silent":
            result = io.Result.FULL if status == "full" else io.Result.CONNECT_FAILED
            self.at(now + 2 * delay + REFUSAL_MS, lambda: self._finish(name, result))

    def _on_response(self, name: tuple[str, int], node: Node, sent: float) -> None:
        if name not in self.outstanding or node.started > sent or node.state == "silent":
            # The node restarted or became silent before it responded.
            return
        if not self._cut_off(self.outstanding[name][0], node):
            self._finish(name, io.Result.OK)

    def _finish(self, name: tuple[str, int], result: io.Result) -> None:
        if name not in self.outstanding:
            return
        _, sent, later, server = self.outstanding.pop(name)
        self.wasted += result is not io.Result.OK
        arrived_at = self.arrived_at[name[0]]
        if result is io.Result.OK and self.now - arrived_at <= AIM:
            self.in_time[int(arrived_at // 1000)] += 1
        later(0.0, io.Outcome(name[0], name[1], server, result, self.now - sent, result is io.Result.OK))

    def _cancel(self, a: io.Cancel, later: Callable[[float, io.Event], None]) -> None:
        self._finish((a.request, a.attempt), io.Result.CANCELLED)

    # Faults -------------------------------------------------------------------------------

    def _has_fault(self, zone: str) -> bool:
        return any(f.zone == zone and f.at <= self.now < f.at + f.duration for f in self.day.faults)

    def _affected_nodes(self, f: Fault) -> list[Node]:
        return [n for n in self.nodes.values() if n.zone == f.zone][::2 if f.half else 1]

    def _begin_fault(self, f: Fault) -> None:
        if f.what == "cut":
            self.partitions.append(f)
        for node in self._affected_nodes(f):
            if f.what == "slow":
                node.work_factor = f.slowdown
            elif f.what in ("refusing", "silent"):
                node.state = f.what
                if f.what == "refusing":
                    # The open connections to the node are reset.
                    broken = [n for n, (_, _, _, server) in self.outstanding.items() if server == node.name]
                    for name in broken:
                        self._finish(name, io.Result.RESET)

    def _end_fault(self, f: Fault) -> None:
        if f.what == "cut":
            self.partitions.remove(f)
        for node in self._affected_nodes(f):
            if f.what == "slow":
                node.work_factor = 1.0
            elif f.what in ("refusing", "silent"):
                node.start(self.now)
        if f.what in ("refusing", "silent"):
            self._announce(self._affected_nodes(f))

    def _release(self, name: str) -> None:
        self.nodes[name].start(self.now)
        self._announce([self.nodes[name]])

    def _announce(self, nodes: list[Node]) -> None:
        for i in range(self.number):
            self.at(self.now + self.random_source.uniform(MAX_LIST_DELAY_MS / 3, MAX_LIST_DELAY_MS),
                    lambda i=i: self._deliver_list(i, nodes))                         # type: ignore[misc]

    def _deliver_list(self, i: int, nodes: list[Node]) -> None:
        entries = tuple(replace(e, started=self.nodes[e.server].started) for e in self.servers
                        if self.nodes[e.server] in nodes)
        if entries:
            self.feed(i, io.ServerList(io.ListKind.CHANGES, 2, entries))

    # Results ------------------------------------------------------------------------------

    def feed(self, i: int, event: io.Event) -> None:
        super().feed(i, event)
        gateway = self.gateways.get(i)
        if gateway is None:
            return
        for name in gateway.zones.reduced_fractions:
            if gateway.zones.by_name[name].state == "away":
                departures = self.left_at.setdefault(name, {})
                if i not in departures:
                    departures[i] = self.now
                    self.false_departures += not any(f.at <= self.now and (f.zone == name or f.what == "cut")
                                           for f in self.day.faults)
        for name in self.left_at:
            if name in gateway.zones.reduced_fractions:
                self.returned_at.get(name, {}).pop(i, None)
            elif i in self.left_at[name]:
                self.returned_at.setdefault(name, {}).setdefault(i, self.now)

    def served_fraction(self, since: float, until: float) -> float:
        """Returns the fraction of requests that were served in time, of those that arrived in a period.

        ``since`` and ``until`` are in ms and are rounded down to whole seconds.
        """
        seconds = range(int(since // 1000), int(until // 1000))
        return sum(self.in_time[s] for s in seconds) / max(1, sum(self.arrivals[s] for s in seconds))

    def overloaded_cold_nodes(self) -> int:
        """Returns how often a cold node failed under load."""
        return sum(n.crashes for n in self.nodes.values())


def simulate(day: Day, seed: int) -> ZoneNet:
    """Simulates one day; the result depends on ``day`` and ``seed`` alone."""
    net = ZoneNet(day, seed)
    net.run(day.length)
    return net
