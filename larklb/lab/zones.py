"""Simulates the failure and the return of a zone with the program's own decisions.

Limiters run the program's modules (``net.py`` drives them); nodes are those of ``nodes.py``.  The decision of
limiters to leave a zone can be disabled, so that the same day can be compared with and without it.  Times are
in ms from the start, unless stated otherwise.
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
# Bounds of the one-way delay between a limiter and a node.
NODE_DELAY_MS = (1.0, 4.0)
# Bounds of the delay of a message between limiters, as the operators state them.
MESSAGE_DELAY_MS = (1.0, 39.0)
# A change of the server list reaches every limiter within this time.
MAX_LIST_DELAY_MS = 2500.0
# Time until a refused connection is reported, in addition to the round trip.
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
    # Fraction of lost messages between limiters.
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
        # Attempts that have not ended, by request and number of the attempt: the limiter, when it was sent,
        # the function that passes a later event to the limiter, and the node.
        self.outstanding: dict[tuple[str, int],
                               tuple[int, float, Callable[[float, io.Event], None], str]] = {}
        # Number of attempts, and time of the arrival, by request.
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
        # Faults of the kind ``cut`` that are in effect.
        self.partitions: list[Fault] = []
        servers = tuple(io.Entry(n.name, n.zone, i % 3) for i, n in enumerate(self.nodes.values()))
        customers = [self._customer(i, day, rng) for i in range(day.limiters)]
        super().__init__(day.limiters, customers, self._link, seed, plans=(
            io.Plan("taller", rate=6.0 * day.rate, burst=12.0 * day.rate),), servers=servers)
        for fault in day.faults:
            self.schedule(fault.at, lambda fault=fault: self._begin_fault(fault))            # type: ignore[misc]
            self.schedule(fault.at + fault.duration,
                          lambda fault=fault: self._end_fault(fault))                        # type: ignore[misc]
        for killed_at, downtime, number in day.kills:
            self.schedule(killed_at, lambda number=number: self.kill_limiter(number))        # type: ignore[misc]
            self.schedule(killed_at + downtime,
                          lambda number=number: self.start_limiter(number))                  # type: ignore[misc]
        for released_at, node_number in day.releases:
            self.schedule(released_at,
                          lambda node_number=node_number: self._replace_node(f"s{node_number}"))   # type: ignore[misc]

    @staticmethod
    def _customer(number: int, day: Day, rng: random.Random) -> Customer:
        """Creates a customer whose quota is far above its demand, and whose set begins at a limiter."""
        spread = min(3, day.limiters)
        rate = day.rate * rng.uniform(0.5, 1.5)
        customer = Customer(
            f"{number:016x}", io.Plan("taller", rate=6.0 * day.rate, burst=12.0 * day.rate), number, spread,
            lambda now: rate, lambda now, rng: 0)
        customer.choose_limiter = lambda now, rng: rng.choice(customer.members(day.limiters))
        return customer

    def settings(self, number: int) -> io.Settings:
        """Returns the settings of a limiter; its zone and the parameters of the nodes are known to it."""
        model = self.day.model
        return io.Settings(
            number=number, gateways=self.gateway_count, plans=self.plans, tick=4.0, inbox_per_s=60.0,
            max_attempts=4, classes=(io.ServiceClass("stock-check", aim=AIM, deadline=DEADLINE),),
            can_cancel=True, max_retry_after=500.0, zone=self.zone(number), cold_share=model.cold_share,
            warm_within=model.warm_ms, tip_multiple=model.tip, cross_zone_charge=0.01)

    def zone(self, limiter: int) -> str:
        """Returns the zone of a limiter."""
        return self.day.zones[limiter % len(self.day.zones)]

    def start_limiter(self, number: int) -> None:
        """Starts a limiter, or restarts it without state.

        It learns the start times of the nodes that have restarted.
        """
        super().start_limiter(number)
        zones = self.gateways[number].zones
        zones.leaving_enabled = zones.active = self.day.leaving_enabled
        self._deliver_list(number, [n for n in self.nodes.values() if n.started >= 0])

    # The network --------------------------------------------------------------------------

    def _link(self, now: float, sender: int, receiver: int, rng: random.Random) -> Delivery:
        partitioned = any(
            f.fraction >= 1.0 and (self.zone(sender) == f.zone) != (self.zone(receiver) == f.zone)
            for f in self.partitions)
        if rng.random() < self.day.loss or partitioned:
            return Delivery(())
        return Delivery((rng.uniform(*MESSAGE_DELAY_MS),))

    def _cut_off(self, limiter: int, node: Node) -> bool:
        """Returns whether a partition separates a limiter from a node.

        A fault with a fraction separates only limiters outside of its zone, chosen by the last digit of their
        numbers, from the nodes of the zone.
        """
        return any((self.zone(limiter) == f.zone) != (node.zone == f.zone) and (
            f.fraction >= 1.0 or node.zone == f.zone and limiter % 10 < 10 * f.fraction)
            for f in self.partitions)

    # Attempts -----------------------------------------------------------------------------

    def _submit_try(self, customer: Customer, due: bool) -> None:
        if due:
            self.arrived_at[f"{customer.name}-{customer.tries + 1}"] = self.now
            self.arrivals[int(self.now // 1000)] += 1
        super()._submit_try(customer, due)

    def _send_attempt(self, number: int, action: io.Send,
                      deliver_later: Callable[[float, io.Event], None]) -> None:
        self._record_admission(action.request)
        attempt = action.request, self.attempts[action.request]
        self.attempts[action.request] += 1
        node, now = self.nodes[action.server], self.now
        self.outstanding[attempt] = number, now, deliver_later, action.server
        delay = self.random_source.uniform(*NODE_DELAY_MS)
        if self._has_fault(node.zone):
            self.attempts_during_fault[node.zone] += 1
        time_left = max(0.0, self.arrived_at[action.request] + DEADLINE - now)
        timeout = min(time_left, action.timeout or time_left)
        self.schedule(now + timeout, lambda: self._finish_attempt(attempt, io.Result.TIMEOUT))
        if self._cut_off(number, node):
            return
        status, service_ms = node.submit(now + delay)
        if status == "ok":
            self.schedule(now + 2 * delay + service_ms, lambda: self._on_response(attempt, node, now))
        elif status != "silent":
            result = io.Result.FULL if status == "full" else io.Result.CONNECT_FAILED
            self.schedule(now + 2 * delay + REFUSAL_MS, lambda: self._finish_attempt(attempt, result))

    def _on_response(self, attempt: tuple[str, int], node: Node, sent_at: float) -> None:
        if attempt not in self.outstanding or node.started > sent_at or node.state == "silent":
            # The node restarted or became silent before it responded.
            return
        if not self._cut_off(self.outstanding[attempt][0], node):
            self._finish_attempt(attempt, io.Result.OK)

    def _finish_attempt(self, attempt: tuple[str, int], result: io.Result) -> None:
        """Passes the outcome of an attempt to its limiter; ignored if the attempt has ended before."""
        if attempt not in self.outstanding:
            return
        _, sent_at, deliver_later, server = self.outstanding.pop(attempt)
        self.wasted += result is not io.Result.OK
        arrived_at = self.arrived_at[attempt[0]]
        if result is io.Result.OK and self.now - arrived_at <= AIM:
            self.in_time[int(arrived_at // 1000)] += 1
        deliver_later(0.0, io.Outcome(
            attempt[0], attempt[1], server, result, self.now - sent_at, result is io.Result.OK))

    def _cancel_attempt(self, action: io.Cancel, deliver_later: Callable[[float, io.Event], None]) -> None:
        self._finish_attempt((action.request, action.attempt), io.Result.CANCELLED)

    # Faults -------------------------------------------------------------------------------

    def _has_fault(self, zone: str) -> bool:
        return any(f.zone == zone and f.at <= self.now < f.at + f.duration for f in self.day.faults)

    def _affected_nodes(self, fault: Fault) -> list[Node]:
        return [n for n in self.nodes.values() if n.zone == fault.zone][::2 if fault.half else 1]

    def _begin_fault(self, fault: Fault) -> None:
        if fault.what == "cut":
            self.partitions.append(fault)
        for node in self._affected_nodes(fault):
            if fault.what == "slow":
                node.work_factor = fault.slowdown
            elif fault.what in ("refusing", "silent"):
                node.state = fault.what
                if fault.what == "refusing":
                    # The open connections to the node are reset.
                    reset_attempts = [attempt for attempt, (_, _, _, server) in self.outstanding.items()
                                      if server == node.name]
                    for attempt in reset_attempts:
                        self._finish_attempt(attempt, io.Result.RESET)

    def _end_fault(self, fault: Fault) -> None:
        if fault.what == "cut":
            self.partitions.remove(fault)
        for node in self._affected_nodes(fault):
            if fault.what == "slow":
                node.work_factor = 1.0
            elif fault.what in ("refusing", "silent"):
                node.start(self.now)
        if fault.what in ("refusing", "silent"):
            self._announce_start(self._affected_nodes(fault))

    def _replace_node(self, name: str) -> None:
        """Replaces a node by a cold one of the same name."""
        self.nodes[name].start(self.now)
        self._announce_start([self.nodes[name]])

    def _announce_start(self, nodes: list[Node]) -> None:
        """Sends the start times of nodes to all limiters, to each after a delay of its own."""
        for number in range(self.gateway_count):
            self.schedule(self.now + self.random_source.uniform(MAX_LIST_DELAY_MS / 3, MAX_LIST_DELAY_MS),
                          lambda number=number: self._deliver_list(number, nodes))           # type: ignore[misc]

    def _deliver_list(self, number: int, nodes: list[Node]) -> None:
        """Passes the entries of these nodes with their start times to a limiter."""
        entries = tuple(replace(e, started=self.nodes[e.server].started) for e in self.servers
                        if self.nodes[e.server] in nodes)
        if entries:
            self.deliver_event(number, io.ServerList(io.ListKind.CHANGES, 2, entries))

    # Results ------------------------------------------------------------------------------

    def deliver_event(self, number: int, event: io.Event) -> None:
        """Passes an event to a limiter, and records when the limiter leaves a zone and returns to it."""
        super().deliver_event(number, event)
        gateway = self.gateways.get(number)
        if gateway is None:
            return
        for name in gateway.zones.reduced_fractions:
            if gateway.zones.by_name[name].state == "away":
                departures = self.left_at.setdefault(name, {})
                if number not in departures:
                    departures[number] = self.now
                    self.false_departures += not any(
                        f.at <= self.now and (f.zone == name or f.what == "cut") for f in self.day.faults)
        for name in self.left_at:
            if name in gateway.zones.reduced_fractions:
                self.returned_at.get(name, {}).pop(number, None)
            elif number in self.left_at[name]:
                self.returned_at.setdefault(name, {}).setdefault(number, self.now)

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
