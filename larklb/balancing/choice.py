"""The choice of server by expected end of a request, from what each server is seen to handle.

Takes the place of ``larklb.admission.choice.ServerSelector``: the same calls, with the exchange between
limiters besides.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Any

from attrs import define, field

from larklb.admission import choice as admission
from larklb.admission.choice import ServerSelector, ServerState
from larklb.balancing.estimates import Ability, Estimates, Sums
from larklb.balancing.load import TRUST_LEAST, InFlight, Others, bearable, waiting
from larklb.quota.ring import digest

FRESH_MS = 250.0  # an ability is judged anew after so long, or after news
NEW_MS = 4_000.0  # a server that is new, warm or back for less is expected to have what others
# have: all limiters see it idle at the same moment
HAND_MS = 3_000.0  # requests in hand are averaged over this, for the others
CROWD = 0.5  # of the work that a server with all slots in use costs beside its waiting: it
# makes others wait
NEAR_PART = 0.12  # of the aim that another zone of the region costs ...
FAR_PART = 0.5  # ... and another region
TAIL = 0.5  # of the aim that a certain miss of it costs
OWN = 0.12  # of the work that a server costs less which falls to this limiter among its peers
DOUBT = 0.25  # of its error by which a server's slowness counts less: the unknown is tried
LATE_TIMES = 1.5  # of that again, for its slowness isn't certain
LATE_OTHERS = 1  # more other limiters than this with a request overdue condemn alike
LATE_SPREADS = 2.3  # standard deviations beyond the usual from which an answer is overdue
OVERDUE = 4.0  # times that a server costs at which a request is overdue
FAILED = 4.0  # times that a server costs that has just failed ...
FAILED_PART = 0.2  # ... but for this part of requests
ROUTE_WEIGHT = 0.03  # of one answer in what is usual for a route
SPREAD_FIRST = 0.7  # standard deviation of a route's logarithms before many answers
QUEUED_WEIGHT = 0.3  # of a sample that had to wait, or came from a cold server
CHANCE = 0.04  # of the cost, by chance
TRY_MS = 1_000.0  # where all are said to be full, one whose word is older is tried: it may be false
PENDING = 4_096  # requests in hand whose start is kept


@define
class Norm:
    """What is usual for a route at speed 1: mean and spread of the logarithm of the service time."""

    mean: float = math.log(admission.INITIAL_LATENCY_MS)
    variance: float = SPREAD_FIRST**2
    seen: int = 0

    def add(self, x: float, weight: float) -> None:
        """The logarithm of one service time, freed of waiting and the server's slowness."""
        self.seen += 1
        step = weight * max(ROUTE_WEIGHT, 1.0 / self.seen)
        apart = x - self.mean
        self.mean += step * apart
        self.variance += (
            weight * max(ROUTE_WEIGHT / 2, 1.0 / (8 + self.seen)) * (min(apart * apart, 4.0) - self.variance)
        )

    def work(self) -> float:
        """The mean service time, ms."""
        return math.exp(self.mean + self.variance / 2.0)


@define
class Seen:
    """What this limiter keeps of one server besides its place."""

    sums: Sums
    others: Others = field(factory=Others)
    ability: Ability = field(factory=Ability)
    factor: float = 1.0
    shared: float | None = None
    mean: float = 0.0  # requests of others whose word on what is in hand doesn't hold
    late: int = 0  # other limiters with a request overdue there
    since: float = -math.inf  # when it was new, warm or back; all that are there at the start are old
    judged: float = -math.inf
    hand_at: float = -math.inf
    mine: bool = False
    price: float = 0.0  # of its zone, in parts of the aim
    begun: list[tuple[float, str]] = field(factory=list)
    due: float = math.inf  # when the first one in hand is overdue that nothing later overtook
    lost: int = 0  # requests in hand that were overtaken and are overdue: no load any more
    passed: float = -math.inf  # when the latest one that was answered had begun


@define
class CapacityAwareChoice(ServerSelector):
    """All servers as one limiter sees them, with what the others tell."""

    me: str = ""
    exchange_enabled: bool = True  # near peers tell what they have in hand
    names: tuple[tuple[str, str], ...] = ()
    estimates: Estimates = field(factory=Estimates)
    in_flight: InFlight = field(factory=InFlight)
    crowds: dict[str, float] = field(factory=dict)  # by target: others' requests for each slot
    norms: dict[str, Norm] = field(factory=dict)
    seen: dict[str, Seen] = field(factory=dict)
    works: dict[str, float] = field(factory=dict)  # by target: mean work at speed 1, ms
    aims: dict[str, float] = field(factory=dict)  # by target: the longest
    clock: float = 0.0
    route: str = ""
    ended: tuple[ServerState, str, float] | None = None  # an answer whose load may yet be told

    # Who there is ---------------------------------------------------------------------------

    def set_limiters(self, me: str, names: Sequence[tuple[str, str]]) -> None:
        """All limiters, each with its zone; this one is ``me``."""
        self.me, self.names = me, tuple(sorted(names))
        self.in_flight.keep({name for name, _ in names})
        self._divide()

    def update(self, servers: Iterable[ServerState]) -> None:
        """Takes the servers that there are now; what was seen of those that stay is kept."""
        silent = [name for name, place in self.servers.items() if place.silent]
        ServerSelector.update(self, servers)
        since = self.clock if self.seen else -math.inf
        self.seen = {
            name: self.seen.get(name) or Seen(self.estimates.of(self.clock, name), since=since)
            for name in self.servers
        }
        self.estimates.keep(self.servers)
        for name, place in self.servers.items():
            self.seen[name].price = self._price(place)
            if place.cold_until > self.clock:
                self.seen[name].since = place.cold_until
        for name in silent:
            if name in self.servers and not self.servers[name].silent:
                self.seen[name].since = self.clock
        self._divide()

    def _price(self, place: ServerState) -> float:
        if place.zone == self.zone:
            return 0.0
        return NEAR_PART if self.regions.get(place.zone) == self.regions.get(self.zone) else FAR_PART

    def _divide(self) -> None:
        """Each server falls to one limiter of its zone or more, so that not all take the same idle one:
        what is in hand there is then mostly known here.  A preference: any limiter may use any server."""
        mine = sorted(name for name, zone in self.names if zone == self.zone) or [self.me]
        if self.me not in mine:
            return
        rank, count = mine.index(self.me), len(mine)
        for places in self.by_target.values():
            near = sorted((p for p in places if p.zone == self.zone), key=lambda p: digest(p.id))
            for place in places:
                self.seen[place.id].mine = False
            each = len(near) / count
            for i, place in enumerate(near):
                self.seen[place.id].mine = i < (rank + 1) * each and i + 1 > rank * each

    # What is seen ---------------------------------------------------------------------------

    def norm(self, route: str) -> Norm:
        """What is usual for a route at speed 1."""
        norm = self.norms.get(route)
        if norm is None:
            norm = self.norms[route] = Norm()
        return norm

    def _judge(self, now: float, place: ServerState, seen: Seen) -> None:
        seen.judged = now
        seen.ability = self.estimates.ability(now, place.id)
        seen.factor = math.exp(seen.ability.slowness - DOUBT * seen.ability.error)
        self.in_flight.expire(now)
        seen.shared = self.estimates.others(now, place.id, self.in_flight.live(now))
        seen.late = self.estimates.overdue(now, place.id)
        self._pending(now, seen)
        seen.mean = self._mean(now, place, seen)
        if now - seen.since > NEW_MS and not place.draining and not place.silent:
            crowd, mean = seen.mean / max(1, place.slots), self.crowds.get(place.target, 0.0)
            self.crowds[place.target] = mean + 0.05 * (crowd - mean)

    def _hand(self, now: float, place: ServerState, seen: Seen) -> None:
        """Brings the mean of requests in hand to ``now``; before ``out`` changes."""
        part = 1.0 - math.exp(min(0.0, seen.hand_at - now) / HAND_MS)
        seen.sums.in_hand += part * (max(0, place.in_flight - seen.lost) - seen.sums.in_hand)
        seen.hand_at = now

    def _factor(self, now: float, place: ServerState, seen: Seen) -> float:
        return seen.factor * (admission.COLD_FACTOR if now < place.cold_until else 1.0)

    def _mean(self, now: float, place: ServerState, seen: Seen) -> float:
        """Requests of others whose word on what is in hand doesn't hold just now."""
        crowd, told = self.crowds.get(place.target, 0.0) * place.slots, seen.others
        if seen.shared is not None and (self.in_flight.sums or not told.trusted()):
            mean = seen.shared
        elif told.trusted():
            # Means lag by seconds: without peers' words on what is in hand the server's own is better.
            # Who gets nothing tells nothing: what it told fades towards what the others have.
            mean = crowd + (told.mean - crowd) * math.exp(min(0.0, told.at - now) / NEW_MS)
        else:
            mean = seen.sums.in_hand * max(0, len(self.names) - 1)
        if now - seen.since < 4.0 * NEW_MS:
            mean = max(mean, crowd * math.exp(min(0.0, seen.since + NEW_MS - now) / NEW_MS))
        return mean

    def crowd(self, now: float, place: ServerState, seen: Seen, work: float) -> tuple[int, float]:
        """Requests of others at a server: those that near peers tell, and the rest's mean, which is nearer
        to what the server itself told for as long as that lasts."""
        told, known, mean = seen.others, self.in_flight.sums.get(place.id, 0), seen.mean
        age = now - told.at
        if age < 4.0 * work and told.trust >= TRUST_LEAST:
            mean += (told.last - known - mean) * math.exp(-max(0.0, age) / work)
        return known, mean if mean > 0.0 else 0.0

    def load(self, now: float, place: ServerState) -> float:
        """What the server has in hand, here and as far as others tell, in requests."""
        if not self.exchange_enabled:
            return ServerSelector.load(self, now, place)
        seen = self.seen[place.id]
        work = self.works.get(place.target, admission.INITIAL_LATENCY_MS) * seen.factor
        return place.in_flight + sum(self.crowd(now, place, seen, work))

    # Choice ---------------------------------------------------------------------------------

    def pick(
        self,
        now: float,
        target: str,
        route: str,
        aim: float,
        exclude: Collection[str] = (),
        caller: int | None = None,
    ) -> ServerState | None:
        """The server for a request, None where there is none that may get it."""
        self._settle()
        self.clock, self.route = now, route
        if not self.exchange_enabled:  # by itself it is no better than what it takes the place of
            return ServerSelector.pick(self, now, target, route, aim, exclude, caller)
        if caller is not None and target in self.assignments:
            self.callers.record_request(now, caller, self.route_latency(route).mean)
            if (place := self._sticky_server(now, target, caller, exclude)) is not None:
                return place
        if aim > self.aims.get(target, 0.0):
            self.aims[target] = aim
        norm, usual = self.norm(route), self.works.get(target, admission.INITIAL_LATENCY_MS)
        work, longest = norm.work(), self.aims[target]
        middle, steep = norm.mean, 1.702 / math.sqrt(max(norm.variance, 0.01))
        best, least, most = None, math.inf, self.in_flight_limit(target)
        rest: list[ServerState] = []
        packed: list[tuple[int, float, ServerState]] = []
        chance, log, exp, all_seen = self.random.random, math.log, math.exp, self.seen
        for place in self.by_target.get(target, ()):
            if place.draining or place.in_flight >= most or place.id in exclude:
                continue
            seen = all_seen[place.id]
            if now - seen.judged > FRESH_MS:
                self._judge(now, place, seen)
            factor = seen.factor if now >= place.cold_until else seen.factor * admission.COLD_FACTOR
            each = usual * factor
            known, others = self.crowd(now, place, seen, each)
            slots, known = place.slots or 1, known + place.in_flight - seen.lost
            load = known + others
            if load >= slots and load >= bearable(slots, usual, factor, longest):
                if known < slots and now - seen.others.at > TRY_MS and not place.silent:
                    packed.append((known, seen.others.at, place))
                continue
            if place.silent or place.probing or now < place.ejected_until:
                rest.append(place)
                continue
            wait = waiting(known + (known >= slots), others, slots) * each
            left = aim - wait
            # The probability of a miss, from the logistic curve nearest the normal.
            late = 1.0 / (1.0 + exp(min(50.0, steep * (log(left / factor) - middle)))) if left > 1.0 else 1.0
            cost = (
                wait
                + factor * work * (1.0 + CROWD * load / slots - (OWN if seen.mine else 0.0))
                + aim * (seen.price + TAIL * late)
            ) * (1.0 + CHANCE * chance())
            if now > seen.due or seen.late > LATE_OTHERS:
                cost *= OVERDUE
            if place.consecutive_failures and chance() > FAILED_PART:
                cost *= FAILED
            if cost < least:
                best, least = place, cost
        if best is None and rest:
            best = min(rest, key=lambda p: (p.silent, p.ejected_until, chance()))
        if best is None and packed:
            best = min(packed, key=lambda p: p[:2])[2]
        return best

    def has_room(self, now: float, target: str) -> bool:
        """Whether some server of the service has a free slot."""
        usual, aim = self.works.get(target, admission.INITIAL_LATENCY_MS), self.aims.get(target, math.inf)
        return any(
            not p.draining
            and self.load(now, p) < bearable(max(1, p.slots), usual, self.seen[p.id].factor, aim)
            for p in self.by_target.get(target, ())
        )

    # What happens ---------------------------------------------------------------------------

    def record_start(self, place: ServerState) -> None:
        """An attempt at the server begins."""
        now, seen = self.clock, self.seen.get(place.id)
        if seen is not None:
            self._hand(now, place, seen)
            if len(seen.begun) < PENDING:
                seen.begun.append((now, self.route))
                seen.due = min(seen.due, self._overdue_at(seen, now, self.route))
        ServerSelector.record_start(self, place)

    def _overdue_at(self, seen: Seen, start: float, route: str) -> float:
        norm = self.norm(route)
        spread = math.sqrt(max(norm.variance, 0.01))
        late = math.exp(min(12.0, norm.mean + LATE_SPREADS * spread))
        return start + late * max(0.5, seen.factor) * LATE_TIMES

    def _pending(self, now: float, seen: Seen) -> None:
        """A server that answers later requests lives: what it never answers it has dropped, being full."""
        seen.due, seen.lost = math.inf, 0
        for start, route in seen.begun:
            due = self._overdue_at(seen, start, route)
            if start >= seen.passed:
                seen.due = min(seen.due, due)
            elif now > due:
                seen.lost += 1

    def _over(self, now: float, place: ServerState, started: float, answered: bool = False) -> None:
        self._settle()
        self.clock = now
        seen = self.seen.get(place.id)
        if seen is None:
            return
        self._hand(now, place, seen)
        if seen.begun:
            at = min(range(len(seen.begun)), key=lambda i: abs(seen.begun[i][0] - started))
            del seen.begun[at]
        if answered:
            seen.passed = max(seen.passed, started)
        self._pending(now, seen)

    def record_answer(self, now: float, place: ServerState, route: str, took: float, worked: bool) -> None:
        """The server answered after ``took`` ms; ``worked``: with no failure of its own."""
        self._over(now, place, now - took, answered=True)
        back = place.probing
        ServerSelector.record_answer(self, now, place, route, took, worked)
        if back and place.id in self.seen:
            self.seen[place.id].since = now
        if worked:
            self.ended = place, route, took

    def record_load(self, now: float, place: ServerState, running: int, waiting: int) -> None:
        """The server told its load."""
        ServerSelector.record_load(self, now, place, running, waiting)
        seen = self.seen.get(place.id)
        if seen is None:
            self._settle()
            return
        ended, self.ended, self.clock = self.ended, None, now
        usual = max(
            1.0, self.works.get(place.target, admission.INITIAL_LATENCY_MS) * self._factor(now, place, seen)
        )
        took = ended[2] if ended is not None and ended[0] is place else usual
        seen.others.told(now, running, waiting, place.slots, place.in_flight, took / usual)
        if ended is None or ended[0] is not place:
            return
        if not seen.others.trusted():
            self._sample(now, place, seen, ended[1], took, None)
        else:
            free = running < place.slots and not waiting
            before = 0.0 if free else (waiting + 0.5) / max(1, place.slots)
            self._sample(now, place, seen, ended[1], took, before)

    def _settle(self) -> None:
        """An answer that came without its load."""
        if self.ended is not None:
            (place, route, took), self.ended = self.ended, None
            seen = self.seen.get(place.id)
            if seen is not None:
                self._sample(self.clock, place, seen, route, took, None)

    def _sample(
        self, now: float, place: ServerState, seen: Seen, route: str, took: float, before: float | None
    ) -> None:
        """One service time; ``before``: requests for each slot that were before it, None where not told."""
        usual = self.works.get(place.target, admission.INITIAL_LATENCY_MS)
        factor, weight = self._factor(now, place, seen), 1.0
        if before is None:
            known, others = self.crowd(now, place, seen, usual * factor)
            before = waiting(place.in_flight + known, others, max(1, place.slots))
            weight = 1.0 - 0.5 * min(1.0, before)
        elif before > 0.0:
            weight = QUEUED_WEIGHT
        if now - took < place.cold_until:
            weight = QUEUED_WEIGHT
        worked = max(0.2 * took, took - before * usual * factor, 0.5)
        cold = math.log(admission.COLD_FACTOR) if now - took < place.cold_until else 0.0
        norm, x = self.norm(route), math.log(worked) - cold
        if norm.seen >= 8:
            variance = max(0.2, norm.variance)
            seen.sums.add(now, x - norm.mean, weight / variance)
        norm.add(x - seen.ability.slowness, weight)
        worked /= factor
        self.works[place.target] = usual + 0.03 * (worked - usual) if place.target in self.works else worked

    def record_rejection(self, now: float, place: ServerState) -> None:
        """The server turned a request away."""
        self._over(now, place, now)
        ServerSelector.record_rejection(self, now, place)
        seen = self.seen.get(place.id)
        if seen is not None:
            seen.others.last = max(seen.others.mean, place.slots * (1.0 + admission.MAX_QUEUE_PER_SLOT))
            seen.others.mean, seen.others.at = max(seen.others.mean, 0.0), now

    def record_failure(self, now: float, place: ServerState, silent: bool) -> None:
        """An attempt failed; ``silent``: the server said nothing."""
        seen = self.seen.get(place.id)
        dropped = silent and seen is not None and bool(seen.begun) and seen.begun[0][0] < seen.passed
        self._over(now, place, -math.inf)
        if dropped:
            # It was full then and has answered since: at rest it would be missed where all are nearly full.
            ServerSelector.release(self, place)
        else:
            ServerSelector.record_failure(self, now, place, silent)

    def record_abandonment(self, now: float, place: ServerState, route: str, waited: float) -> None:
        """An attempt was broken off from here after ``waited`` ms: its service time is no less than that."""
        seen, started = self.seen.get(place.id), now - waited
        if seen is None:
            ServerSelector.release(self, place)
            return
        overdue = now > self._overdue_at(seen, started, route) and started >= seen.passed
        self._over(now, place, started)
        if overdue:
            ServerSelector.record_failure(self, now, place, True)
            return
        ServerSelector.release(self, place)
        if waited > self.norm(route).work() * self._factor(now, place, seen):
            self._sample(now, place, seen, route, waited, None)

    def release(self, place: ServerState) -> None:
        """An attempt ended that says nothing of the server."""
        self._over(self.clock, place, self.clock)
        ServerSelector.release(self, place)

    # Exchange -------------------------------------------------------------------------------

    def estimates_message(self, now: float) -> dict[str, Any]:
        """What this limiter tells the others, JSON."""
        self._settle()
        for name, seen in self.seen.items():
            self._hand(now, self.servers[name], seen)
            seen.sums.overdue = int(now > seen.due)
        return self.estimates.message(now)

    def apply_estimates(self, now: float, observer: str, message: Mapping[str, Any]) -> None:
        """Takes what another limiter tells."""
        if observer != self.me:
            self.estimates.take(now, observer, message)

    def in_flight_message(self, now: float) -> dict[str, Any] | None:
        """What this limiter has in hand, for its near peers, JSON; None where that is no news."""
        return self.in_flight.message(
            now, {n: place.in_flight - self.seen[n].lost for n, place in self.servers.items()}
        )

    def apply_in_flight(self, now: float, observer: str, message: Mapping[str, Any]) -> None:
        """Takes what a near peer has in hand."""
        if observer != self.me:
            self.in_flight.take(now, observer, message)
