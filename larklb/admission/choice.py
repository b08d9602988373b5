"""Selection of a server for a request: the one expected to answer first, with a preference for nearby zones.

Each limiter decides by what it observes itself: its own requests in flight at each server, the load that
servers report with their answers, their latency compared with other servers on the same route, and failures.
This module does no input or output; times are arguments in milliseconds.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Iterable

from attrs import define, field

from larklb.assignment.assignment import Assignment, warmed_weight
from larklb.assignment.callers import CallerRates

# Time constant with which a reported load decays towards the mean load of the service.
LOAD_DECAY_MS = 1_000.0
# A server whose queue holds this many requests per slot, beyond those that occupy its slots, is full.
MAX_QUEUE_PER_SLOT = 2.0
# Cost of another zone of the same region, as a fraction of the latency setpoint.  It is above zero because
# traffic between zones is expensive.
SAME_REGION_COST = 0.12
# Cost of another region, as a fraction of the latency setpoint.
OTHER_REGION_COST = 0.5
# Fraction of the mean latency that is added to the cost of a server whose slots are all in use, besides the
# time spent in its queue.
UTILISATION_COST = 0.6
# Factor by which a server is slower that has just started.
COLD_FACTOR = 2.0
# Weight of one answer in the latency ratio of a server.
LATENCY_RATIO_WEIGHT = 0.08
# Upper bound of the ratio of one latency to the mean latency of the route.
MAX_LATENCY_RATIO = 6.0
# An abandoned request counts as a failure if the server was silent for longer than this many times the 95th
# percentile of the route's latency.
UNRESPONSIVE_P95_FACTOR = 2.0
# First ejection time of a server that failed; it doubles with each further failure up to MAX_EJECTION_MS.
# When it is over, one request probes the server.
EJECTION_MS = 400.0
MAX_EJECTION_MS = 5_000.0
# First ejection time of a server that did not respond at all.
UNRESPONSIVE_EJECTION_MS = 1_500.0
# If all servers appear full, one whose last load report is older than this may be tried.
FULL_RETRY_MS = 1_000.0
# Random part of the cost, so that the limiters don't all prefer the same server.
COST_JITTER = 0.08
# Latency assumed for a route before its first answer.
INITIAL_LATENCY_MS = 150.0
# Smallest weight of one answer in the mean latency of a route.
MIN_LATENCY_WEIGHT = 0.05
# Step by which the estimate of the 95th percentile follows each answer, as a fraction of the mean latency.
P95_STEP = 0.03


@define
class ServerState:
    """The state of one server as this limiter observes it."""

    id: str
    target: str
    address: str
    zone: str
    slots: int
    # End of the warm-up after a start, in which the server is slower.
    cold_until: float = -math.inf
    draining: bool = False
    # The server has stopped sending heartbeats.
    silent: bool = False
    # Requests of this limiter that are in flight at the server.
    in_flight: int = 0
    # Requests of other limiters at the server, as of ``others_updated_at``.
    others_in_flight: float = 0.0
    others_updated_at: float = -math.inf
    # Moving average of the server's latency relative to the mean latency of the route.
    latency_ratio: float = 1.0
    consecutive_failures: int = 0
    ejected_until: float = -math.inf
    # One request is in flight that tests whether the server has recovered.
    probing: bool = False
    last_answer_at: float = -math.inf


@define
class LatencyEstimate:
    """Running estimate of a route's latency in milliseconds: the mean and the 95th percentile."""

    mean: float = INITIAL_LATENCY_MS
    p95: float = INITIAL_LATENCY_MS * 3
    samples: int = 0

    def add(self, latency_ms: float) -> None:
        """Add the latency of one answer in milliseconds."""
        self.samples += 1
        self.mean += max(MIN_LATENCY_WEIGHT, 1.0 / (1 + self.samples)) * (latency_ms - self.mean)
        # Steps of 19 up and 1 down are in balance when 5% of the latencies are above the estimate.
        step = P95_STEP * self.mean
        self.p95 = max(self.mean, self.p95 + (step * 19 if latency_ms > self.p95 else -step))


@define
class ServerSelector:
    """Selects a server for each request from the states of all servers that one limiter observes.

    ``regions`` maps zones to regions; ``zone`` is the limiter's own zone.  A *target* is the name of a
    service.  ``assignments`` holds the assignment of callers to servers for targets with caller affinity.
    ``in_flight_limit`` returns how many requests this limiter may have in flight at one server of a target.
    """

    zone: str
    regions: dict[str, str]
    seed: int
    servers: dict[str, ServerState] = field(factory=dict)
    by_target: dict[str, list[ServerState]] = field(factory=dict)
    route_latencies: dict[str, LatencyEstimate] = field(factory=dict)
    # By target, the mean number of requests of other limiters per slot of a server.
    mean_others_per_slot: dict[str, float] = field(factory=dict)
    random: random.Random = field(init=False)
    in_flight_limit: Callable[[str], int] = lambda target: 1 << 30
    assignments: dict[str, Assignment] = field(factory=dict)
    callers: CallerRates = field(factory=CallerRates)

    def __attrs_post_init__(self) -> None:
        self.random = random.Random(self.seed)

    def update(self, servers: Iterable[ServerState]) -> None:
        """Replace the set of servers; the observations of servers that remain are kept."""
        updated: dict[str, ServerState] = {}
        for new in servers:
            old = self.servers.get(new.id)
            if old is None:
                updated[new.id] = new
                continue
            # The server sends heartbeats again: its failures are forgotten.
            if new.silent < old.silent:
                old.ejected_until, old.consecutive_failures, old.probing = -math.inf, 0, False
            old.address, old.slots, old.cold_until = new.address, new.slots, new.cold_until
            old.draining, old.silent, old.target, old.zone = new.draining, new.silent, new.target, new.zone
            updated[new.id] = old
        self.servers = updated
        self.by_target = {}
        for server in updated.values():
            self.by_target.setdefault(server.target, []).append(server)

    def assign(self, now: float, limiters: int) -> None:
        """Update the assignment of callers to the present servers, weighted by slots and warm-up.

        To be called after each change of the servers or of the number of ``limiters``, and about once a
        second because of servers that are warming up.
        """
        for target in [t for t in self.assignments if t not in self.by_target]:
            del self.assignments[target]
        slots, count = 0, 0
        for target, servers in self.by_target.items():
            active = [s for s in servers if not s.draining]
            assignment = self.assignments.setdefault(target, Assignment(min_bound_per_weight=1.0))
            assignment.set_servers(
                now,
                {s.id: warmed_weight(float(s.slots), now, s.cold_until) for s in active},
                {s.id: s.zone for s in active},
            )
            slots, count = slots + sum(s.slots for s in active), count + len(active)
        self.callers.limiter_count, self.callers.max_servers = limiters, max(1, count)
        self.callers.mean_slots = slots / max(1, count) or 1.0

    def _sticky_server(
        self, now: float, target: str, caller: int, exclude: Collection[str]
    ) -> ServerState | None:
        """Return the caller's assigned server, or the next one in its order if that has no capacity."""

        def load(name: str) -> float:
            server = self.servers.get(name)
            if (
                server is None
                or server.draining
                or server.silent
                or server.probing
                or now < server.ejected_until
                or server.in_flight >= limit
            ):
                return math.inf
            requests = self.load(now, server)
            return math.inf if requests >= server.slots * (1.0 + MAX_QUEUE_PER_SLOT) else requests

        limit = self.in_flight_limit(target)
        name = self.assignments[target].choose(
            caller, load, exclude, subset_size=self.callers.subset_size(now, caller), zone=self.zone
        )
        return self.servers.get(name) if name is not None else None

    def route_latency(self, route: str) -> LatencyEstimate:
        """Return the latency estimate of a route, which is created if there is none yet."""
        return self.route_latencies.setdefault(route, LatencyEstimate())

    def load(self, now: float, server: ServerState) -> float:
        """Return the estimated number of requests at a server, those of all limiters together."""
        decay = math.exp(min(0.0, server.others_updated_at - now) / LOAD_DECAY_MS)
        mean = self.mean_others_per_slot.get(server.target, 0.0) * server.slots
        return server.in_flight + server.others_in_flight * decay + mean * (1.0 - decay)

    def cost(self, now: float, server: ServerState, mean_latency: float, setpoint: float) -> float:
        """Return the expected latency in milliseconds of one more request at a server.

        ``mean_latency`` is that of the route.  A server in another zone is charged a part of the route's
        latency ``setpoint`` in addition.
        """
        slots = max(1, server.slots)
        load = self.load(now, server) + 1.0
        work = mean_latency * server.latency_ratio * (COLD_FACTOR if now < server.cold_until else 1.0)
        cost = work * (1.0 + UTILISATION_COST * (load / slots) ** 2 + max(0.0, load - slots) / slots)
        if server.zone != self.zone:
            same_region = self.regions.get(server.zone) == self.regions.get(self.zone)
            cost += setpoint * (SAME_REGION_COST if same_region else OTHER_REGION_COST)
        return cost

    def pick(
        self,
        now: float,
        target: str,
        route: str,
        setpoint: float,
        exclude: Collection[str] = (),
        caller: int | None = None,
    ) -> ServerState | None:
        """Return the server for one more request, or None if no server has capacity.

        Servers whose id is in ``exclude`` are not considered.  If ``caller`` is given and the target has
        caller affinity, the caller's assigned server is preferred while it has capacity.
        """
        if caller is not None and target in self.assignments:
            self.callers.record_request(now, caller, self.route_latency(route).mean)
            if (server := self._sticky_server(now, target, caller, exclude)) is not None:
                return server
        mean_latency, best, min_cost = self.route_latency(route).mean, None, math.inf
        impaired: list[ServerState] = []
        limit = self.in_flight_limit(target)
        for server in self.by_target.get(target, ()):
            if server.draining or server.id in exclude or server.in_flight >= limit:
                continue
            if self.load(now, server) >= server.slots * (1.0 + MAX_QUEUE_PER_SLOT):
                continue
            if server.silent or server.probing or now < server.ejected_until:
                impaired.append(server)
                continue
            cost = self.cost(now, server, mean_latency, setpoint) * (1.0 + COST_JITTER * self.random.random())
            # For four requests of five, a server that has just failed costs four times as much.
            if server.consecutive_failures and self.random.random() > 0.2:
                cost *= 4.0
            if cost < min_cost:
                best, min_cost = server, cost
        if best is None and impaired:
            best = min(impaired, key=lambda s: (s.silent, s.ejected_until, self.random.random()))
        if best is None:
            # All servers appear full.  The reports may be wrong or out of date, so the one with the oldest
            # report is tried.
            best = min(
                (
                    s
                    for s in self.by_target.get(target, ())
                    if not s.draining
                    and s.id not in exclude
                    and s.in_flight < min(limit, s.slots)
                    and now - s.others_updated_at > FULL_RETRY_MS
                ),
                key=lambda s: s.others_updated_at,
                default=None,
            )
        return best

    def has_room(self, now: float, target: str) -> bool:
        """Return whether any server of the target can take one more request."""
        return any(
            not s.draining and self.load(now, s) < s.slots * (1.0 + MAX_QUEUE_PER_SLOT)
            for s in self.by_target.get(target, ())
        )

    def record_start(self, server: ServerState) -> None:
        """Record that a request is sent to the server."""
        server.in_flight += 1
        if server.consecutive_failures:
            server.probing = True

    def record_load(self, now: float, server: ServerState, running: int, waiting: int) -> None:
        """Record the load that the server reported with an answer.

        To be called after ``record_answer``, as the answered request is not part of the load any more.
        """
        server.others_in_flight, server.others_updated_at = (
            max(0.0, running + waiting - server.in_flight),
            now,
        )
        mean = self.mean_others_per_slot.get(server.target, 0.0)
        self.mean_others_per_slot[server.target] = mean + 0.05 * (
            server.others_in_flight / max(1, server.slots) - mean
        )

    def record_answer(
        self, now: float, server: ServerState, route: str, latency_ms: float, succeeded: bool
    ) -> None:
        """Record the answer to a request; its latency counts only if the server ran it without an error."""
        server.in_flight -= 1
        server.last_answer_at = now
        server.consecutive_failures, server.probing, server.ejected_until = 0, False, -math.inf
        if succeeded:
            estimate = self.route_latency(route)
            estimate.add(latency_ms)
            ratio = min(MAX_LATENCY_RATIO, latency_ms / max(1.0, estimate.mean))
            server.latency_ratio += LATENCY_RATIO_WEIGHT * (ratio - server.latency_ratio)

    def record_rejection(self, now: float, server: ServerState) -> None:
        """Record that the server rejected a request because it was full."""
        server.in_flight -= 1
        server.probing = False
        server.others_in_flight, server.others_updated_at = server.slots * (1.0 + MAX_QUEUE_PER_SLOT), now

    def record_failure(self, now: float, server: ServerState, unresponsive: bool) -> None:
        """Record a failed request.

        ``unresponsive`` is true if the server could not be reached or did not respond in time.
        """
        server.in_flight -= 1
        server.probing = False
        server.consecutive_failures = min(16, server.consecutive_failures + 1)
        ejection_ms = UNRESPONSIVE_EJECTION_MS if unresponsive else EJECTION_MS
        # A single broken connection doesn't eject a server: any server closes one now and then.
        if server.consecutive_failures > 1 or unresponsive:
            server.ejected_until = now + min(
                MAX_EJECTION_MS, ejection_ms * 2.0 ** (server.consecutive_failures - 1)
            )

    def record_abandonment(self, now: float, server: ServerState, route: str, waited_ms: float) -> None:
        """Record that this limiter aborted a request after it had waited ``waited_ms`` without an answer.

        The latency of the request is unknown, but it is at least ``waited_ms``.  Without this lower bound a
        server that answers none of the requests whose clients leave early would look as fast as a server that
        was never used.
        """
        estimate = self.route_latency(route)
        if waited_ms > UNRESPONSIVE_P95_FACTOR * estimate.p95 and server.last_answer_at < now - waited_ms:
            self.record_failure(now, server, True)
            return
        self.release(server)
        ratio = min(MAX_LATENCY_RATIO, waited_ms / max(1.0, estimate.mean))
        if ratio > server.latency_ratio:
            server.latency_ratio += LATENCY_RATIO_WEIGHT * (ratio - server.latency_ratio)

    def release(self, server: ServerState) -> None:
        """Record that a request ended in a way that says nothing about the server."""
        server.in_flight -= 1
        server.probing = False
