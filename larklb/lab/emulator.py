"""Limiters, links and servers in simulated time, under the decision code that serves.

Servers have slots, a queue, speeds, a slow start and work by route; what they do when full is 'hang'
(silence), 'reset' or 'refuse'.  Each limiter sees its own answers only, and what its peers share with
it.  A day is the same for each seed, and arrivals are drawn apart from decisions, so that rivals meet
the same clients.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol, runtime_checkable

from larklb.admission.budget import RetryBudget
from larklb.admission.choice import ServerSelector, ServerState
from larklb.admission.tries import AttemptHistory, AttemptOutcome, NextStep
from larklb.gateway.data_plane import (
    HEDGE_P95_FACTOR,
    MAX_HEDGE_DELAY_SETPOINTS,
    MAX_RETRY_AFTER_MS,
    MIN_HEDGE_DELAY_SETPOINTS,
    RESPONSE_MARGIN_MS,
    RETRY_AFTER_MS,
)
from larklb.gateway.servers import DEFAULT_IDLE_TIMEOUT_MS, MIN_TIME_LEFT_MS, REGIONAL_DIAL_TIMEOUT_MS
from larklb.lab.emulator_deployment import Deployment, Fault, Route, Service
from larklb.lab.emulator_figures import Figures

CLIENT_TRIES = 3           # of a client's request, the first among them
NOTICED_MS = 2_600.0       # from a server's silence until limiters are told that its heartbeats have ceased
TOLD_MS = 150.0            # from any other news of a server until limiters have it, at the most
DRAIN_MS = 2_500.0         # a leaving server serves on for so long
GAP_MS = 500.0             # from a server's end to its successor's start
SHARE_MS = 500.0           # between two messages of a limiter to its peers, by way of the home ...
SHARE_WAY_MS = 25.0        # ... which takes so long
SHARE_LOSS = 0.02          # of them
IN_FLIGHT_MS = 25.0        # between two messages on what is in hand, to the peers of a limiter's zone ...
IN_FLIGHT_WAY_MS = 3.0     # ... with the time until they are read
RETRY_RATIO, RETRY_WINDOW_MS, RETRY_SLACK = 0.2, 10_000.0, 64.0


SelectorFactory = Callable[[int, str, dict[str, str], int], ServerSelector]


@runtime_checkable
class Shares(Protocol):
    """A choice that exchanges what it has learned: messages are JSON."""

    def set_limiters(self, me: str, names: Sequence[tuple[str, str]]) -> None: ...

    def estimates_message(self, now: float) -> dict[str, Any]: ...

    def apply_estimates(self, now: float, observer: str, message: Mapping[str, Any]) -> None: ...

    def in_flight_message(self, now: float) -> dict[str, Any] | None: ...

    def apply_in_flight(self, now: float, observer: str, message: Mapping[str, Any]) -> None: ...


class Server:
    """One life of a server."""

    __slots__ = ("id", "service", "zone", "speed", "slow", "cold_until", "dark", "gone", "draining",
                 "running", "queue", "told", "taken")

    def __init__(self, id: str, service: Service, zone: str, speed: float, cold_until: float) -> None:
        self.id, self.service, self.zone, self.speed, self.cold_until = id, service, zone, speed, cold_until
        self.slow = 1.0
        self.dark = self.gone = self.draining = False
        self.running: set[Attempt] = set()
        self.queue: deque[Attempt] = deque()
        self.told: tuple[int, int, int] = (0, 0, service.slots)
        self.taken = 0


class Request:
    """One request of a client over all its tries."""

    __slots__ = ("route", "zone", "born", "tries")

    def __init__(self, route: Route, zone: int, born: float) -> None:
        self.route, self.zone, self.born, self.tries = route, zone, born, 0


class Handled:
    """One try at a limiter."""

    __slots__ = ("request", "limiter", "due", "course", "tried", "last", "over", "out")

    def __init__(self, request: Request, limiter: Limiter, due: float) -> None:
        self.request, self.limiter, self.due = request, limiter, due
        self.course = AttemptHistory(request.route.safe, request.route.tries)
        self.tried: set[str] = set()
        self.last, self.over, self.out = NextStep.REFUSE, False, 0


class Attempt:
    """One attempt at a server."""

    __slots__ = ("handled", "place", "server", "started", "over", "dropped")

    def __init__(self, handled: Handled, place: ServerState, server: Server, started: float) -> None:
        self.handled, self.place, self.server, self.started = handled, place, server, started
        self.over = self.dropped = False


class Limiter:
    """One limiter: its choice, its budget, its resting connections (by server, when each was last used)."""

    __slots__ = ("name", "zone", "choice", "budget", "rests")

    def __init__(self, name: str, zone: str, choice: ServerSelector, budget: RetryBudget) -> None:
        self.name, self.zone, self.choice, self.budget = name, zone, choice, budget
        self.rests: dict[str, list[float]] = {}


class Emulator:
    """One day of a deployment; ``run`` plays it."""

    def __init__(self, deployment: Deployment, make: SelectorFactory, seed: int) -> None:
        self.d, self.make, self.seed = deployment, make, seed
        self.now, self.order = 0.0, itertools.count()
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.clients, self.work = random.Random(f"clients {seed}"), random.Random(f"work {seed}")
        self.links = random.Random(f"links {seed}")
        self.figures = Figures(aims={r.name: r.aim for r in deployment.routes},
                               took={r.name: [] for r in deployment.routes})
        self.services = {s.name: s for s in deployment.services}
        self.servers: dict[str, Server] = {}
        for service in deployment.services:
            speeds = [service.speeds[i % len(service.speeds)] for i in range(service.servers)]
            # Machines are spread over zones without regard to their speed.
            random.Random(f"speeds {seed} {service.name}").shuffle(speeds)
            for i, speed in enumerate(speeds):
                zone = deployment.zones[i % len(deployment.zones)]
                self._server(f"{service.name}-{i}", service, zone, speed, -1.0)
        self.limiters = [self._limiter(i, 0.0) for i in range(deployment.limiters)]
        self.weights = [self.clients.gammavariate(6.0, 1.0) for _ in self.limiters]
        zones = deployment.zones
        self.by_zone = [[i for i, m in enumerate(self.limiters) if m.zone == zone] for zone in zones]
        self._tell()
        self.measured = False

    # Set-up ---------------------------------------------------------------------------------

    def _server(self, id: str, service: Service, zone: str, speed: float, cold_until: float) -> None:
        self.servers[id] = Server(id, service, zone, speed, cold_until)

    def _limiter(self, i: int, now: float) -> Limiter:
        zone = self.d.zones[i % len(self.d.zones)]
        choice = self.make(i, zone, dict.fromkeys(self.d.zones, "region"), self.seed * 1_000 + i)
        name = f"m{i}"
        if isinstance(choice, Shares):
            zones = self.d.zones
            choice.set_limiters(name, [(f"m{k}", zones[k % len(zones)]) for k in range(self.d.limiters)])
        budget = RetryBudget(RETRY_RATIO, RETRY_WINDOW_MS, RETRY_SLACK, self.d.limiters, now,
                             first_start=True, node=name)
        return Limiter(name, zone, choice, budget)

    def _places(self, silent: frozenset[str]) -> list[ServerState]:
        return [ServerState(s.id, s.service.name, "", s.zone, s.service.slots, cold_until=s.cold_until,
                      draining=s.draining, silent=s.id in silent)
                for s in self.servers.values() if not s.gone]

    def _tell(self, silent: frozenset[str] = frozenset()) -> None:
        for limiter in self.limiters:
            if self.now == 0.0:
                limiter.choice.update(self._places(silent))
            else:
                self._at(self.now + self.links.random() * TOLD_MS, self._told, limiter, self._places(silent))

    def _told(self, limiter: Limiter, places: list[ServerState]) -> None:
        limiter.choice.update(places)

    def _at(self, when: float, do: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.events, (when, next(self.order), do, args))

    # The day --------------------------------------------------------------------------------

    def run(self) -> Figures:
        """Plays the day; what was measured after settling."""
        d = self.d
        for service in d.services:
            routes = [r for r in d.routes if r.service == service.name]
            able = sum(s.speed for s in self.servers.values() if s.service is service) * service.slots
            scale = d.load * able * 1_000.0 / sum(r.rate * r.work for r in routes)
            for route in routes:
                per_ms = route.rate * scale / 1_000.0
                self._at(self.clients.expovariate(per_ms * (1 + d.wave)), self._arrival, route, per_ms)
        for trouble in d.troubles:
            self._at(trouble.at, self._trouble, trouble)
        for i in range(d.limiters):
            if isinstance(self.limiters[i].choice, Shares):
                self._at(SHARE_MS * (i + 1) / d.limiters, self._share, i)
                self._at(IN_FLIGHT_MS * (i + 1) / d.limiters, self._in_flight, i)
        self._at(d.settling, self._measure)
        events = self.events
        while events:
            self.now, _, do, args = heapq.heappop(events)
            do(*args)
        self._sum_up()
        return self.figures

    def _measure(self) -> None:
        self.measured = True
        for server in self.servers.values():
            server.taken = 0
        if not self.d.know:
            self.limiters = [self._limiter(i, self.now) for i in range(self.d.limiters)]
            for limiter in self.limiters:
                limiter.choice.update(self._places(frozenset()))

    def _sum_up(self) -> None:
        for service in self.d.services:
            mine = [s for s in self.servers.values() if s.service is service and not s.gone]
            self.figures.taken[service.name] = {s.id: s.taken for s in mine}
            self.figures.able[service.name] = {s.id: s.speed * service.slots for s in mine}

    def _share(self, i: int) -> None:
        if self.now < self.d.length:
            self._at(self.now + SHARE_MS, self._share, i)
        limiter = self.limiters[i]
        message = limiter.choice.estimates_message(self.now) if isinstance(limiter.choice, Shares) else {}
        for other in self.limiters:
            if other is not limiter and self.links.random() > SHARE_LOSS:
                way = SHARE_WAY_MS * (0.5 + self.links.random())
                self._at(self.now + way, self._heard, other, limiter.name, message)

    def _in_flight(self, i: int) -> None:
        if self.now < self.d.length:
            self._at(self.now + IN_FLIGHT_MS, self._in_flight, i)
        limiter = self.limiters[i]
        message = limiter.choice.in_flight_message(self.now) if isinstance(limiter.choice, Shares) else None
        for other in self.limiters if message is not None else ():
            if other is not limiter and other.zone == limiter.zone:
                self.figures.count["in flight messages"] += 1
                if self.links.random() > SHARE_LOSS:
                    self._at(self.now + IN_FLIGHT_WAY_MS, self._in_flight_heard, other, limiter.name, message)

    def _in_flight_heard(self, limiter: Limiter, observer: str, message: Mapping[str, Any]) -> None:
        if isinstance(limiter.choice, Shares):
            limiter.choice.apply_in_flight(self.now, observer, message)

    def _heard(self, limiter: Limiter, observer: str, message: Mapping[str, Any]) -> None:
        if isinstance(limiter.choice, Shares):
            limiter.choice.apply_estimates(self.now, observer, message)

    def _trouble(self, trouble: Fault) -> None:
        mine = [s for s in self.servers.values() if s.service.name == trouble.service and not s.gone]
        if trouble.what == "release":
            for i, server in enumerate(mine):
                self._at(self.now + trouble.lasts * i / len(mine), self._leave, server)
            return
        # The fast ones are hit: they carry the most.
        mine.sort(key=lambda s: (-s.speed, s.id))
        hit = mine[:max(1, round(trouble.part * len(mine)))]
        if trouble.what == "slow":
            for server in hit:
                server.slow = trouble.times
            self._at(self.now + trouble.lasts, self._well, hit)
        elif trouble.what == "dark":
            for server in hit:
                server.dark = True
                server.running.clear()
                server.queue.clear()
            self._at(self.now + min(NOTICED_MS, trouble.lasts), self._tell, frozenset(s.id for s in hit))
            self._at(self.now + trouble.lasts, self._well, hit)
        else:
            raise ValueError(trouble.what)

    def _well(self, hit: list[Server]) -> None:
        dark = any(s.dark for s in hit)
        for server in hit:
            server.slow, server.dark = 1.0, False
        if dark:
            for limiter in self.limiters:      # connections to what was dark are gone
                for server in hit:
                    limiter.rests.pop(server.id, None)
            self._at(self.now + 300.0, self._tell)

    def _leave(self, server: Server) -> None:
        server.draining = True
        self._tell()
        self._at(self.now + DRAIN_MS, self._end, server)

    def _end(self, server: Server) -> None:
        server.gone = True
        for attempt in [*server.running, *server.queue]:
            self._at(self.now + self._way(attempt.handled.limiter, server), self._ended, attempt,
                     AttemptOutcome.BROKEN)
        server.running.clear()
        server.queue.clear()
        self._tell()
        self._at(self.now + GAP_MS, self._successor, server)

    def _successor(self, old: Server) -> None:
        self._server(f"{old.id}'", old.service, old.zone, old.speed, self.now + self.d.cold_ms)
        self._tell()

    # Clients --------------------------------------------------------------------------------

    def _arrival(self, route: Route, per_ms: float) -> None:
        d, rng = self.d, self.clients
        if self.now >= d.length:
            return
        self._at(self.now + rng.expovariate(per_ms * (1 + d.wave)), self._arrival, route, per_ms)
        level = (1.0 + d.wave * math.sin(2 * math.pi * self.now / d.wave_ms)) / (1.0 + d.wave)
        zone = rng.randrange(len(d.zones))
        if rng.random() < level:
            self._send(Request(route, zone, self.now), rng)

    def _send(self, request: Request, rng: random.Random) -> None:
        request.tries += 1
        nodes = self.by_zone[request.zone]
        limiter = self.limiters[rng.choices(nodes, [self.weights[i] for i in nodes])[0]]
        self._at(self.now + self.d.client, self._arrived, request, limiter)

    def _arrived(self, request: Request, limiter: Limiter) -> None:
        left = request.born + request.route.deadline - self.now
        handled = Handled(request, limiter, self.now + left - RESPONSE_MARGIN_MS)
        limiter.budget.record_request(self.now, request.route.service)
        self._go(handled)

    def _client(self, handled: Handled, step: NextStep) -> None:
        """What the client does with the answer, ``client`` ms later."""
        request = handled.request
        self.figures.count[step.value] += 1
        at = self.now + self.d.client
        if step is NextStep.FORWARD:
            self._over(request, at - request.born)
            return
        left = request.born + request.route.deadline - at
        again = request.tries < CLIENT_TRIES and (step is NextStep.REFUSE or request.route.safe)
        pause = 0.0
        if step is NextStep.REFUSE:
            pause = max(1.0, min(RETRY_AFTER_MS * (1 + self.links.random()), MAX_RETRY_AFTER_MS, left / 4.0))
        if again and left > pause + 2 * self.d.client + RESPONSE_MARGIN_MS + MIN_TIME_LEFT_MS:
            self._at(at + pause, self._send, request, self.links)
        else:
            self._over(request, math.inf)

    def _over(self, request: Request, took: float) -> None:
        if request.born >= self.d.settling:
            self.figures.took[request.route.name].append(took)
            window = self.figures.windows.setdefault(int(request.born // 1_000), [0, 0])
            window[0] += took <= request.route.aim
            window[1] += 1

    # A limiter, as its front decides ----------------------------------------------------------

    def _go(self, handled: Handled) -> None:
        now, course, choice, route = self.now, handled.course, handled.limiter.choice, handled.request.route
        if now >= handled.due - MIN_TIME_LEFT_MS:
            self._own(handled, NextStep.TIME_OUT if course.may_have_run else NextStep.REFUSE)
            return
        place = choice.pick(now, route.service, route.name, route.aim, handled.tried)
        if place is None \
                or course.needs_budget() and not handled.limiter.budget.take_retry(now, place.target):
            self._own(handled, handled.last)
            return
        self._attempt(handled, place)
        patience = max(MIN_HEDGE_DELAY_SETPOINTS * route.aim,
                       HEDGE_P95_FACTOR * choice.route_latency(route.name).p95)
        if course.safe and course.sent + 1 < course.max_attempts \
                and patience <= min(MAX_HEDGE_DELAY_SETPOINTS * route.aim, handled.due - now):
            self._at(now + patience, self._hedge, handled, course.sent)

    def _hedge(self, handled: Handled, sent: int) -> None:
        if handled.over or not handled.out or handled.course.sent != sent:
            return
        route, limiter = handled.request.route, handled.limiter
        other = limiter.choice.pick(self.now, route.service, route.name, route.aim, handled.tried)
        if other is not None and limiter.budget.take_retry(self.now, route.service):
            self.figures.count["hedged"] += 1
            handled.course.sent += 1
            handled.course.may_have_run = True
            self._attempt(handled, other)

    def _own(self, handled: Handled, step: NextStep) -> None:
        handled.over = True
        self._client(handled, handled.course.without_false_refusal(step))

    def _way(self, limiter: Limiter, server: Server) -> float:
        return self.d.inside if limiter.zone == server.zone else self.d.between

    def _attempt(self, handled: Handled, place: ServerState) -> None:
        now, limiter = self.now, handled.limiter
        handled.tried.add(place.id)
        handled.out += 1
        limiter.choice.record_start(place)
        server = self.servers[place.id]
        attempt, way = Attempt(handled, place, server, now), self._way(limiter, server)
        rests = limiter.rests.get(place.id, [])
        while rests and now - rests[0] > DEFAULT_IDLE_TIMEOUT_MS:
            del rests[0]
        if rests:
            rests.pop()
            self._at(now + way, self._reach, attempt)
        elif server.dark:
            self._at(min(handled.due, now + REGIONAL_DIAL_TIMEOUT_MS), self._ended, attempt,
                     AttemptOutcome.UNSENT)
        elif server.gone:
            self._at(now + 2 * way, self._ended, attempt, AttemptOutcome.UNSENT)
        else:
            self._at(now + 3 * way, self._reach, attempt)
        self._at(handled.due, self._ended, attempt, AttemptOutcome.TIMED_OUT)

    def _ended(self, attempt: Attempt, end: AttemptOutcome, load: tuple[int, int, int] | None = None) -> None:
        if attempt.over:
            return
        attempt.over = True
        now, handled, place, server = self.now, attempt.handled, attempt.place, attempt.server
        limiter = handled.limiter
        choice = limiter.choice
        handled.out -= 1
        if end is AttemptOutcome.ANSWER:
            limiter.rests.setdefault(place.id, []).append(now)
            choice.record_answer(now, place, handled.request.route.name, now - attempt.started, True)
            if load is not None:
                choice.record_load(now, place, load[0], load[1])
        elif end is AttemptOutcome.NOT_RUN:
            limiter.rests.setdefault(place.id, []).append(now)
            choice.record_rejection(now, place)
        else:
            choice.record_failure(now, place, end in (AttemptOutcome.TIMED_OUT, AttemptOutcome.UNSENT))
            if end is AttemptOutcome.TIMED_OUT:
                self._at(now + self._way(limiter, server), self._drop, attempt)
        self.figures.count[f"end.{end.value}"] += 1
        if handled.over:
            return
        if end is AttemptOutcome.ANSWER:
            handled.over = True
            self._client(handled, NextStep.FORWARD)
            return
        if handled.out:
            return                             # the hedge goes on
        step, otherwise = handled.course.record_outcome(end)
        if step is NextStep.RETRY:
            handled.last = otherwise
            self._go(handled)
        else:
            self._own(handled, step)

    # A server -------------------------------------------------------------------------------

    def _reach(self, attempt: Attempt) -> None:
        server = attempt.server
        if server.dark or attempt.over:
            return
        if server.gone:
            self._back(attempt, AttemptOutcome.BROKEN)
        elif len(server.running) < server.service.slots:
            self._begin(server, attempt)
        elif len(server.queue) < server.service.queue:
            server.queue.append(attempt)
        elif server.service.on_full == "refuse":
            self._back(attempt, AttemptOutcome.NOT_RUN)
        elif server.service.on_full == "reset":
            self._back(attempt, AttemptOutcome.BROKEN)

    def _back(self, attempt: Attempt, end: AttemptOutcome, load: tuple[int, int, int] | None = None) -> None:
        way = self._way(attempt.handled.limiter, attempt.server)
        self._at(self.now + way, self._ended, attempt, end, load)

    def _begin(self, server: Server, attempt: Attempt) -> None:
        route = attempt.handled.request.route
        server.running.add(attempt)
        server.taken += 1
        work = self.work.lognormvariate(math.log(route.work) - route.spread ** 2 / 2, route.spread)
        busy = len(server.running) / server.service.slots
        work *= server.slow / server.speed * (1.0 + server.service.strain * busy * busy)
        if self.now < server.cold_until:
            work *= self.d.cold
        self._at(self.now + work, self._done, server, attempt)

    def _free(self, server: Server, attempt: Attempt) -> bool:
        if attempt not in server.running:
            return False
        server.running.discard(attempt)
        while server.queue and len(server.running) < server.service.slots:
            self._begin(server, server.queue.popleft())
        return True

    def _done(self, server: Server, attempt: Attempt) -> None:
        if self._free(server, attempt):
            self._back(attempt, AttemptOutcome.ANSWER, self._load(server))

    def _drop(self, attempt: Attempt) -> None:
        server = attempt.server
        if not self._free(server, attempt) and attempt in server.queue:
            server.queue.remove(attempt)

    def _load(self, server: Server) -> tuple[int, int, int] | None:
        slots, tells = server.service.slots, server.service.tells
        load, before = (len(server.running), len(server.queue), slots), server.told
        server.told = load
        if tells == "absent":
            return None
        if tells == "zero":
            return 0, 0, slots
        if tells == "full":
            return slots, server.service.queue, slots
        return before if tells == "stale" else load


def play(deployment: Deployment, make: SelectorFactory, seed: int) -> Figures:
    """One day under one way of choosing."""
    return Emulator(deployment, make, seed).run()
