"""Which server a request goes to: the one expected to answer first, near ones preferred, as seen from here.

What is seen: requests in hand here, the load that servers tell with their answers, how long they take
compared with others for the same route, failures.  No I/O; time is an argument in ms.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Iterable

from attrs import define, field

from larklb.assignment.assignment import Assignment, warmed_weight
from larklb.assignment.callers import CallerRates

LOAD_MS = 1_000.0  # a told load fades towards the service's mean with this time constant
MAX_QUEUE_PER_SLOT = 2.0  # a server with so many times its slots in hand beyond them is full
NEAR_PART = 0.12  # of the aim that another zone of the region costs: bytes between zones are dear
# ...
FAR_PART = 0.5  # ... and another region
BUSY = 0.6  # of the usual time that a server with all slots in use costs beside its waiting
COLD_FACTOR = 2.0  # times slower is a server that has just started
SPEED_WEIGHT = 0.08  # of one answer in a server's speed
SPEED_MOST = 6.0  # times the usual is as slow as one answer may look
ABANDONED_SILENT = (
    2.0  # times the slowest twentieth for which a server was silent that is held to have failed
)
OUT_MS = 400.0  # a server that failed rests for so long, twice as long after each more ...
OUT_MOST_MS = 5_000.0  # ... up to this; then one request tries it
SILENT_OUT_MS = 1_500.0  # ... and this is the first rest of one that said nothing
FULL_RETRY_MS = 1_000.0  # where all are said to be full, one whose word is older is tried
SPREAD = 0.08  # of the cost, by chance: not all limiters should find the same one the best
INITIAL_LATENCY_MS = 150.0  # of a route before any answer
USUAL_WEIGHT = 0.05
LATE_STEP = 0.03  # of the usual, by which the estimate of the slowest twentieth follows each answer


@define
class ServerState:
    """A server as it is seen from here."""

    id: str
    target: str
    address: str
    zone: str
    slots: int
    cold_until: float = -math.inf  # until when
    draining: bool = False
    silent: bool = False  # its heartbeats have ceased
    in_flight: int = 0  # requests in hand from here
    others_in_flight: float = 0.0  # what others had in hand there ...
    others_updated_at: float = -math.inf  # ... as of then
    latency_ratio: float = 1.0  # times the usual that it takes
    consecutive_failures: int = 0
    ejected_until: float = -math.inf
    probing: bool = False  # one request finds out whether it is back
    last_answer_at: float = -math.inf


@define
class LatencyEstimate:
    """How long answers of a route take: in the mean, and the slowest twentieth."""

    mean: float = INITIAL_LATENCY_MS
    p95: float = INITIAL_LATENCY_MS * 3
    samples: int = 0

    def add(self, took: float) -> None:
        """One answer."""
        self.samples += 1
        self.mean += max(USUAL_WEIGHT, 1.0 / (1 + self.samples)) * (took - self.mean)
        step = LATE_STEP * self.mean
        self.p95 = max(self.mean, self.p95 + (step * 19 if took > self.p95 else -step))


@define
class ServerSelector:
    """All servers as one limiter sees them."""

    zone: str
    regions: dict[str, str]
    seed: int
    servers: dict[str, ServerState] = field(factory=dict)
    by_target: dict[str, list[ServerState]] = field(factory=dict)
    route_latencies: dict[str, LatencyEstimate] = field(factory=dict)  # by route
    mean_others_per_slot: dict[str, float] = field(factory=dict)  # by target, for each slot
    random: random.Random = field(init=False)
    in_flight_limit: Callable[[str], int] = lambda target: (
        1 << 30
    )  # requests of this limiter that a server may have
    assignments: dict[str, Assignment] = field(factory=dict)  # by target, where callers stay put
    callers: CallerRates = field(factory=CallerRates)

    def __attrs_post_init__(self) -> None:
        self.random = random.Random(self.seed)

    def update(self, servers: Iterable[ServerState]) -> None:
        """All servers there are; what is known of those that stay is kept."""
        fresh: dict[str, ServerState] = {}
        for new in servers:
            old = self.servers.get(new.id)
            if old is None:
                fresh[new.id] = new
                continue
            if new.silent < old.silent:
                old.ejected_until, old.consecutive_failures, old.probing = -math.inf, 0, False
            old.address, old.slots, old.cold_until = new.address, new.slots, new.cold_until
            old.draining, old.silent, old.target, old.zone = new.draining, new.silent, new.target, new.zone
            fresh[new.id] = old
        self.servers = fresh
        self.by_target = {}
        for place in fresh.values():
            self.by_target.setdefault(place.target, []).append(place)

    def assign(self, now: float, limiters: int) -> None:
        """Callers that stay put are assigned to the servers that there are now, as warm as they are; called
        after a change, and about once a second."""
        for target in [t for t in self.assignments if t not in self.by_target]:
            del self.assignments[target]
        slots, count = 0, 0
        for target, places in self.by_target.items():
            there = [p for p in places if not p.draining]
            assignment = self.assignments.setdefault(target, Assignment(min_bound_per_weight=1.0))
            assignment.set_servers(
                now,
                {p.id: warmed_weight(float(p.slots), now, p.cold_until) for p in there},
                {p.id: p.zone for p in there},
            )
            slots, count = slots + sum(p.slots for p in there), count + len(there)
        self.callers.limiter_count, self.callers.max_servers = limiters, max(1, count)
        self.callers.mean_slots = slots / max(1, count) or 1.0

    def _sticky_server(
        self, now: float, target: str, caller: int, exclude: Collection[str]
    ) -> ServerState | None:
        """The caller's own server, or the next in its order while that has no room."""

        def load(name: str) -> float:
            place = self.servers.get(name)
            if (
                place is None
                or place.draining
                or place.silent
                or place.probing
                or now < place.ejected_until
                or place.in_flight >= most
            ):
                return math.inf
            held = self.load(now, place)
            return math.inf if held >= place.slots * (1.0 + MAX_QUEUE_PER_SLOT) else held

        most = self.in_flight_limit(target)
        name = self.assignments[target].choose(
            caller, load, exclude, subset_size=self.callers.subset_size(now, caller), zone=self.zone
        )
        return self.servers.get(name) if name is not None else None

    def route_latency(self, route: str) -> LatencyEstimate:
        """How long the answers of a route take."""
        return self.route_latencies.setdefault(route, LatencyEstimate())

    def load(self, now: float, place: ServerState) -> float:
        """Requests at a server, as far as is known here."""
        fade = math.exp(min(0.0, place.others_updated_at - now) / LOAD_MS)
        mean = self.mean_others_per_slot.get(place.target, 0.0) * place.slots
        return place.in_flight + place.others_in_flight * fade + mean * (1.0 - fade)

    def cost(self, now: float, place: ServerState, usual: float, aim: float) -> float:
        """Ms until an answer may be expected, with what a far zone costs."""
        slots = max(1, place.slots)
        load = self.load(now, place) + 1.0
        work = usual * place.latency_ratio * (COLD_FACTOR if now < place.cold_until else 1.0)
        cost = work * (1.0 + BUSY * (load / slots) ** 2 + max(0.0, load - slots) / slots)
        if place.zone != self.zone:
            near = self.regions.get(place.zone) == self.regions.get(self.zone)
            cost += aim * (NEAR_PART if near else FAR_PART)
        return cost

    def pick(
        self,
        now: float,
        target: str,
        route: str,
        aim: float,
        exclude: Collection[str] = (),
        caller: int | None = None,
    ) -> ServerState | None:
        """The server for one more request, not one of those ``exclude``; None where none has room.

        A ``caller`` that stays put gets its own server while that has room."""
        if caller is not None and target in self.assignments:
            self.callers.record_request(now, caller, self.route_latency(route).mean)
            if (place := self._sticky_server(now, target, caller, exclude)) is not None:
                return place
        usual, best, least = self.route_latency(route).mean, None, math.inf
        rest: list[ServerState] = []
        most = self.in_flight_limit(target)
        for place in self.by_target.get(target, ()):
            if place.draining or place.id in exclude or place.in_flight >= most:
                continue
            if self.load(now, place) >= place.slots * (1.0 + MAX_QUEUE_PER_SLOT):
                continue
            if place.silent or place.probing or now < place.ejected_until:
                rest.append(place)
                continue
            cost = self.cost(now, place, usual, aim) * (1.0 + SPREAD * self.random.random())
            if place.consecutive_failures and self.random.random() > 0.2:
                cost *= 4.0
            if cost < least:
                best, least = place, cost
        if best is None and rest:
            best = min(rest, key=lambda p: (p.silent, p.ejected_until, self.random.random()))
        if best is None:  # all are said to be full, which may be false
            best = min(
                (
                    p
                    for p in self.by_target.get(target, ())
                    if not p.draining
                    and p.id not in exclude
                    and p.in_flight < min(most, p.slots)
                    and now - p.others_updated_at > FULL_RETRY_MS
                ),
                key=lambda p: p.others_updated_at,
                default=None,
            )
        return best

    def has_room(self, now: float, target: str) -> bool:
        """Whether any server may take one more."""
        return any(
            not p.draining and self.load(now, p) < p.slots * (1.0 + MAX_QUEUE_PER_SLOT)
            for p in self.by_target.get(target, ())
        )

    def record_start(self, place: ServerState) -> None:
        """A request has gone there."""
        place.in_flight += 1
        if place.consecutive_failures:
            place.probing = True

    def record_load(self, now: float, place: ServerState, running: int, waiting: int) -> None:
        """Its load came with an answer, which is over by now."""
        place.others_in_flight, place.others_updated_at = max(0.0, running + waiting - place.in_flight), now
        mean = self.mean_others_per_slot.get(place.target, 0.0)
        self.mean_others_per_slot[place.target] = mean + 0.05 * (
            place.others_in_flight / max(1, place.slots) - mean
        )

    def record_answer(self, now: float, place: ServerState, route: str, took: float, worked: bool) -> None:
        """A request there is over with an answer; ``worked`` where it was run."""
        place.in_flight -= 1
        place.last_answer_at = now
        place.consecutive_failures, place.probing, place.ejected_until = 0, False, -math.inf
        if worked:
            usual = self.route_latency(route)
            usual.add(took)
            ratio = min(SPEED_MOST, took / max(1.0, usual.mean))
            place.latency_ratio += SPEED_WEIGHT * (ratio - place.latency_ratio)

    def record_rejection(self, now: float, place: ServerState) -> None:
        """It has turned a request away."""
        place.in_flight -= 1
        place.probing = False
        place.others_in_flight, place.others_updated_at = place.slots * (1.0 + MAX_QUEUE_PER_SLOT), now

    def record_failure(self, now: float, place: ServerState, silent: bool) -> None:
        """A request there failed, or found nobody (``silent``)."""
        place.in_flight -= 1
        place.probing = False
        place.consecutive_failures = min(16, place.consecutive_failures + 1)
        first = SILENT_OUT_MS if silent else OUT_MS
        if place.consecutive_failures > 1 or silent:  # any server breaks off an answer now and then
            place.ejected_until = now + min(OUT_MOST_MS, first * 2.0 ** (place.consecutive_failures - 1))

    def record_abandonment(self, now: float, place: ServerState, route: str, waited: float) -> None:
        """A request there was broken off from here after ``waited`` ms without an answer.

        Nobody knows how long it would have taken, but for that it took no less: a server that answers none of
        those whose clients leave early must not look as quick as one that was never asked."""
        usual = self.route_latency(route)
        if waited > ABANDONED_SILENT * usual.p95 and place.last_answer_at < now - waited:
            self.record_failure(now, place, True)
            return
        self.release(place)
        ratio = min(SPEED_MOST, waited / max(1.0, usual.mean))
        if ratio > place.latency_ratio:
            place.latency_ratio += SPEED_WEIGHT * (ratio - place.latency_ratio)

    def release(self, place: ServerState) -> None:
        """A request there is over without telling anything of the server."""
        place.in_flight -= 1
        place.probing = False
