"""Discrete-event emulator of limiters, links and servers that runs the production decision code.

Servers have slots, a queue, speeds, a slow start and work by route; when full they 'hang' (give no answer),
'reset' or 'refuse'. A limiter sees only its own answers and what its peers share with it. A run is
deterministic for a seed. Arrivals and decisions have separate random sources, so that all selectors meet the
same requests.
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
    BASE_RETRY_AFTER_MS,
    HEDGE_P95_FACTOR,
    MAX_HEDGE_DELAY_SETPOINTS,
    MAX_RETRY_AFTER_MS,
    MIN_HEDGE_DELAY_SETPOINTS,
    RESPONSE_MARGIN_MS,
)
from larklb.gateway.servers import DEFAULT_IDLE_TIMEOUT_MS, MIN_TIME_LEFT_MS, REGIONAL_DIAL_TIMEOUT_MS
from larklb.lab.emulator_deployment import Deployment, Fault, Route, Service
from larklb.lab.emulator_figures import Figures

# Tries of a client's request, including the first.
MAX_CLIENT_TRIES = 3
# From a server's silence until the limiters learn that its heartbeats have ceased.
SILENCE_DETECTION_MS = 2_600.0
# From any other change of a server until a limiter learns of it, at most.
MAX_UPDATE_DELAY_MS = 150.0
# Time that a draining server goes on serving.
DRAIN_MS = 2_500.0
# From a server's end to the start of its successor.
RESTART_DELAY_MS = 500.0
# Between two messages with a limiter's estimates to its peers, which travel by way of the home, and the mean
# delay of such a message.
ESTIMATES_INTERVAL_MS = 500.0
ESTIMATES_DELAY_MS = 25.0
# Fraction of the messages between limiters that is lost.
MESSAGE_LOSS = 0.02
# Between two messages with a limiter's requests in flight to the peers in its zone, and the time until such a
# message is read.
IN_FLIGHT_INTERVAL_MS = 25.0
IN_FLIGHT_DELAY_MS = 3.0
RETRY_RATIO, RETRY_WINDOW_MS, RETRY_SLACK = 0.2, 10_000.0, 64.0


SelectorFactory = Callable[[int, str, dict[str, str], int], ServerSelector]


@runtime_checkable
class ExchangingSelector(Protocol):
    """A server selector that exchanges its estimates with other limiters as JSON messages."""

    def set_limiters(self, me: str, names: Sequence[tuple[str, str]]) -> None: ...

    def estimates_message(self, now: float) -> dict[str, Any]: ...

    def apply_estimates(self, now: float, observer: str, message: Mapping[str, Any]) -> None: ...

    def in_flight_message(self, now: float) -> dict[str, Any] | None: ...

    def apply_in_flight(self, now: float, observer: str, message: Mapping[str, Any]) -> None: ...


class Server:
    """One incarnation of a server."""

    __slots__ = ("id", "service", "zone", "speed", "slowdown", "cold_until", "unresponsive", "ended",
                 "draining", "running", "queue", "last_load", "attempts_begun")

    def __init__(self, id: str, service: Service, zone: str, speed: float, cold_until: float) -> None:
        self.id, self.service, self.zone, self.speed, self.cold_until = id, service, zone, speed, cold_until
        self.slowdown = 1.0
        self.unresponsive = self.ended = self.draining = False
        self.running: set[Attempt] = set()
        self.queue: deque[Attempt] = deque()
        self.last_load: tuple[int, int, int] = (0, 0, service.slots)
        self.attempts_begun = 0


class Request:
    """A client's request over all its tries; `created_at` is in ms."""

    __slots__ = ("route", "zone", "created_at", "tries")

    def __init__(self, route: Route, zone: int, created_at: float) -> None:
        self.route, self.zone, self.created_at, self.tries = route, zone, created_at, 0


class Exchange:
    """One try of a request at a limiter, with all attempts at servers that the limiter makes for it."""

    __slots__ = ("request", "limiter", "deadline", "history", "tried_servers", "last_step", "finished",
                 "outstanding")

    def __init__(self, request: Request, limiter: Limiter, deadline: float) -> None:
        self.request, self.limiter, self.deadline = request, limiter, deadline
        self.history = AttemptHistory(request.route.safe, request.route.tries)
        self.tried_servers: set[str] = set()
        self.last_step, self.finished, self.outstanding = NextStep.REFUSE, False, 0


class Attempt:
    """One attempt of a limiter at a server."""

    __slots__ = ("exchange", "state", "server", "started", "finished", "cancelled")

    def __init__(self, exchange: Exchange, state: ServerState, server: Server, started: float) -> None:
        self.exchange, self.state, self.server, self.started = exchange, state, server, started
        self.finished = self.cancelled = False


class Limiter:
    """A limiter with its selector, retry budget and idle connections (time of last use, by server)."""

    __slots__ = ("name", "zone", "selector", "budget", "idle_connections")

    def __init__(self, name: str, zone: str, selector: ServerSelector, budget: RetryBudget) -> None:
        self.name, self.zone, self.selector, self.budget = name, zone, selector, budget
        self.idle_connections: dict[str, list[float]] = {}


class Emulator:
    """One run of a deployment; `run` plays it.

    :param deployment: Services, routes, limiters and faults.
    :param make: Creates the server selector of a limiter.
    :param seed: Seed of all random sources.
    """

    def __init__(self, deployment: Deployment, make: SelectorFactory, seed: int) -> None:
        self.deployment, self.make_selector, self.seed = deployment, make, seed
        self.now, self.event_numbers = 0.0, itertools.count()
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.arrival_rng, self.work_rng = random.Random(f"clients {seed}"), random.Random(f"work {seed}")
        self.network_rng = random.Random(f"links {seed}")
        self.figures = Figures(aims={r.name: r.aim for r in deployment.routes},
                               latencies={r.name: [] for r in deployment.routes})
        self.services = {s.name: s for s in deployment.services}
        self.servers: dict[str, Server] = {}
        for service in deployment.services:
            speeds = [service.speeds[i % len(service.speeds)] for i in range(service.servers)]
            # The assignment of machines to zones doesn't depend on their speed.
            random.Random(f"speeds {seed} {service.name}").shuffle(speeds)
            for i, speed in enumerate(speeds):
                zone = deployment.zones[i % len(deployment.zones)]
                self._add_server(f"{service.name}-{i}", service, zone, speed, -1.0)
        self.limiters = [self._new_limiter(i, 0.0) for i in range(deployment.limiters)]
        self.weights = [self.arrival_rng.gammavariate(6.0, 1.0) for _ in self.limiters]
        zones = deployment.zones
        self.by_zone = [[i for i, m in enumerate(self.limiters) if m.zone == zone] for zone in zones]
        self._announce_servers()
        self.measured = False

    # Set-up ---------------------------------------------------------------------------------

    def _add_server(self, id: str, service: Service, zone: str, speed: float, cold_until: float) -> None:
        self.servers[id] = Server(id, service, zone, speed, cold_until)

    def _new_limiter(self, i: int, now: float) -> Limiter:
        zone = self.deployment.zones[i % len(self.deployment.zones)]
        selector = self.make_selector(
            i, zone, dict.fromkeys(self.deployment.zones, "region"), self.seed * 1_000 + i)
        name = f"m{i}"
        if isinstance(selector, ExchangingSelector):
            zones = self.deployment.zones
            selector.set_limiters(
                name, [(f"m{k}", zones[k % len(zones)]) for k in range(self.deployment.limiters)])
        budget = RetryBudget(RETRY_RATIO, RETRY_WINDOW_MS, RETRY_SLACK, self.deployment.limiters, now,
                             first_start=True, node=name)
        return Limiter(name, zone, selector, budget)

    def _server_states(self, silent: frozenset[str]) -> list[ServerState]:
        return [ServerState(s.id, s.service.name, "", s.zone, s.service.slots, cold_until=s.cold_until,
                            draining=s.draining, silent=s.id in silent)
                for s in self.servers.values() if not s.ended]

    def _announce_servers(self, silent: frozenset[str] = frozenset()) -> None:
        for limiter in self.limiters:
            if self.now == 0.0:
                limiter.selector.update(self._server_states(silent))
            else:
                self._schedule(self.now + self.network_rng.random() * MAX_UPDATE_DELAY_MS,
                               self._update_servers, limiter, self._server_states(silent))

    def _update_servers(self, limiter: Limiter, states: list[ServerState]) -> None:
        limiter.selector.update(states)

    def _schedule(self, when: float, action: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.events, (when, next(self.event_numbers), action, args))

    # The run --------------------------------------------------------------------------------

    def run(self) -> Figures:
        """Process all events and return the figures measured after the settling time."""
        d = self.deployment
        for service in d.services:
            routes = [r for r in d.routes if r.service == service.name]
            capacity = sum(s.speed for s in self.servers.values() if s.service is service) * service.slots
            scale = d.load * capacity * 1_000.0 / sum(r.rate * r.work for r in routes)
            for route in routes:
                per_ms = route.rate * scale / 1_000.0
                self._schedule(self.arrival_rng.expovariate(per_ms * (1 + d.wave)), self._generate_arrival,
                               route, per_ms)
        for fault in d.faults:
            self._schedule(fault.at, self._inject_fault, fault)
        for i in range(d.limiters):
            if isinstance(self.limiters[i].selector, ExchangingSelector):
                self._schedule(ESTIMATES_INTERVAL_MS * (i + 1) / d.limiters, self._send_estimates, i)
                self._schedule(IN_FLIGHT_INTERVAL_MS * (i + 1) / d.limiters, self._send_in_flight, i)
        self._schedule(d.settling, self._start_measurement)
        events = self.events
        while events:
            self.now, _, action, args = heapq.heappop(events)
            action(*args)
        self._sum_up()
        return self.figures

    def _start_measurement(self) -> None:
        self.measured = True
        for server in self.servers.values():
            server.attempts_begun = 0
        if not self.deployment.keep_limiters:
            self.limiters = [self._new_limiter(i, self.now) for i in range(self.deployment.limiters)]
            for limiter in self.limiters:
                limiter.selector.update(self._server_states(frozenset()))

    def _sum_up(self) -> None:
        for service in self.deployment.services:
            candidates = [s for s in self.servers.values() if s.service is service and not s.ended]
            self.figures.attempts[service.name] = {s.id: s.attempts_begun for s in candidates}
            self.figures.capacity[service.name] = {s.id: s.speed * service.slots for s in candidates}

    def _send_estimates(self, i: int) -> None:
        if self.now < self.deployment.length:
            self._schedule(self.now + ESTIMATES_INTERVAL_MS, self._send_estimates, i)
        limiter = self.limiters[i]
        message = (limiter.selector.estimates_message(self.now)
                   if isinstance(limiter.selector, ExchangingSelector) else {})
        for other in self.limiters:
            if other is not limiter and self.network_rng.random() > MESSAGE_LOSS:
                delay = ESTIMATES_DELAY_MS * (0.5 + self.network_rng.random())
                self._schedule(self.now + delay, self._receive_estimates, other, limiter.name, message)

    def _send_in_flight(self, i: int) -> None:
        if self.now < self.deployment.length:
            self._schedule(self.now + IN_FLIGHT_INTERVAL_MS, self._send_in_flight, i)
        limiter = self.limiters[i]
        message = (limiter.selector.in_flight_message(self.now)
                   if isinstance(limiter.selector, ExchangingSelector) else None)
        for other in self.limiters if message is not None else ():
            if other is not limiter and other.zone == limiter.zone:
                self.figures.count["in flight messages"] += 1
                if self.network_rng.random() > MESSAGE_LOSS:
                    self._schedule(self.now + IN_FLIGHT_DELAY_MS, self._receive_in_flight, other,
                                   limiter.name, message)

    def _receive_in_flight(self, limiter: Limiter, observer: str, message: Mapping[str, Any]) -> None:
        if isinstance(limiter.selector, ExchangingSelector):
            limiter.selector.apply_in_flight(self.now, observer, message)

    def _receive_estimates(self, limiter: Limiter, observer: str, message: Mapping[str, Any]) -> None:
        if isinstance(limiter.selector, ExchangingSelector):
            limiter.selector.apply_estimates(self.now, observer, message)

    def _inject_fault(self, fault: Fault) -> None:
        candidates = [s for s in self.servers.values() if s.service.name == fault.service and not s.ended]
        if fault.kind == "release":
            for i, server in enumerate(candidates):
                self._schedule(self.now + fault.duration * i / len(candidates), self._drain_server, server)
            return
        # The fastest servers are affected, because they carry most of the traffic.
        candidates.sort(key=lambda s: (-s.speed, s.id))
        affected = candidates[:max(1, round(fault.fraction * len(candidates)))]
        if fault.kind == "slow":
            for server in affected:
                server.slowdown = fault.factor
            self._schedule(self.now + fault.duration, self._recover, affected)
        elif fault.kind == "dark":
            for server in affected:
                server.unresponsive = True
                server.running.clear()
                server.queue.clear()
            self._schedule(self.now + min(SILENCE_DETECTION_MS, fault.duration), self._announce_servers,
                           frozenset(s.id for s in affected))
            self._schedule(self.now + fault.duration, self._recover, affected)
        else:
            raise ValueError(fault.kind)

    def _recover(self, affected: list[Server]) -> None:
        unresponsive = any(s.unresponsive for s in affected)
        for server in affected:
            server.slowdown, server.unresponsive = 1.0, False
        if unresponsive:
            # Connections to the unresponsive servers are lost.
            for limiter in self.limiters:
                for server in affected:
                    limiter.idle_connections.pop(server.id, None)
            self._schedule(self.now + 300.0, self._announce_servers)

    def _drain_server(self, server: Server) -> None:
        server.draining = True
        self._announce_servers()
        self._schedule(self.now + DRAIN_MS, self._stop_server, server)

    def _stop_server(self, server: Server) -> None:
        server.ended = True
        for attempt in [*server.running, *server.queue]:
            self._schedule(self.now + self._one_way_delay(attempt.exchange.limiter, server),
                           self._attempt_ended, attempt, AttemptOutcome.BROKEN)
        server.running.clear()
        server.queue.clear()
        self._announce_servers()
        self._schedule(self.now + RESTART_DELAY_MS, self._start_successor, server)

    def _start_successor(self, old: Server) -> None:
        self._add_server(f"{old.id}'", old.service, old.zone, old.speed, self.now + self.deployment.cold_ms)
        self._announce_servers()

    # Clients --------------------------------------------------------------------------------

    def _generate_arrival(self, route: Route, per_ms: float) -> None:
        d, rng = self.deployment, self.arrival_rng
        if self.now >= d.length:
            return
        self._schedule(self.now + rng.expovariate(per_ms * (1 + d.wave)), self._generate_arrival, route,
                       per_ms)
        level = (1.0 + d.wave * math.sin(2 * math.pi * self.now / d.wave_ms)) / (1.0 + d.wave)
        zone = rng.randrange(len(d.zones))
        if rng.random() < level:
            self._send_request(Request(route, zone, self.now), rng)

    def _send_request(self, request: Request, rng: random.Random) -> None:
        request.tries += 1
        nodes = self.by_zone[request.zone]
        limiter = self.limiters[rng.choices(nodes, [self.weights[i] for i in nodes])[0]]
        self._schedule(self.now + self.deployment.client_delay, self._request_arrived, request, limiter)

    def _request_arrived(self, request: Request, limiter: Limiter) -> None:
        left = request.created_at + request.route.deadline - self.now
        exchange = Exchange(request, limiter, self.now + left - RESPONSE_MARGIN_MS)
        limiter.budget.record_request(self.now, request.route.service)
        self._start_attempt(exchange)

    def _answer_client(self, exchange: Exchange, step: NextStep) -> None:
        """Deliver the answer to the client after the client delay; the client retries it or gives up."""
        request = exchange.request
        self.figures.count[step.value] += 1
        at = self.now + self.deployment.client_delay
        if step is NextStep.FORWARD:
            self._record_outcome(request, at - request.created_at)
            return
        left = request.created_at + request.route.deadline - at
        can_retry = request.tries < MAX_CLIENT_TRIES and (step is NextStep.REFUSE or request.route.safe)
        backoff = 0.0
        if step is NextStep.REFUSE:
            backoff = max(1.0, min(BASE_RETRY_AFTER_MS * (1 + self.network_rng.random()), MAX_RETRY_AFTER_MS,
                                   left / 4.0))
        if can_retry and left > (
                backoff + 2 * self.deployment.client_delay + RESPONSE_MARGIN_MS + MIN_TIME_LEFT_MS):
            self._schedule(at + backoff, self._send_request, request, self.network_rng)
        else:
            self._record_outcome(request, math.inf)

    def _record_outcome(self, request: Request, latency: float) -> None:
        if request.created_at >= self.deployment.settling:
            self.figures.latencies[request.route.name].append(latency)
            window = self.figures.windows.setdefault(int(request.created_at // 1_000), [0, 0])
            window[0] += latency <= request.route.aim
            window[1] += 1

    # Limiters -------------------------------------------------------------------------------

    def _start_attempt(self, exchange: Exchange) -> None:
        now, history, selector, route = (
            self.now, exchange.history, exchange.limiter.selector, exchange.request.route)
        if now >= exchange.deadline - MIN_TIME_LEFT_MS:
            self._answer_locally(exchange, NextStep.TIME_OUT if history.may_have_run else NextStep.REFUSE)
            return
        state = selector.pick(now, route.service, route.name, route.aim, exchange.tried_servers)
        if state is None \
                or history.needs_budget() and not exchange.limiter.budget.take_retry(now, state.target):
            self._answer_locally(exchange, exchange.last_step)
            return
        self._send_attempt(exchange, state)
        hedge_delay = max(MIN_HEDGE_DELAY_SETPOINTS * route.aim,
                       HEDGE_P95_FACTOR * selector.route_latency(route.name).p95)
        if history.safe and history.sent + 1 < history.max_attempts \
                and hedge_delay <= min(MAX_HEDGE_DELAY_SETPOINTS * route.aim, exchange.deadline - now):
            self._schedule(now + hedge_delay, self._send_hedge, exchange, history.sent)

    def _send_hedge(self, exchange: Exchange, sent: int) -> None:
        if exchange.finished or not exchange.outstanding or exchange.history.sent != sent:
            return
        route, limiter = exchange.request.route, exchange.limiter
        other = limiter.selector.pick(self.now, route.service, route.name, route.aim, exchange.tried_servers)
        if other is not None and limiter.budget.take_retry(self.now, route.service):
            self.figures.count["hedged"] += 1
            exchange.history.sent += 1
            exchange.history.may_have_run = True
            self._send_attempt(exchange, other)

    def _answer_locally(self, exchange: Exchange, step: NextStep) -> None:
        exchange.finished = True
        self._answer_client(exchange, exchange.history.without_false_refusal(step))

    def _one_way_delay(self, limiter: Limiter, server: Server) -> float:
        return self.deployment.zone_delay if limiter.zone == server.zone else self.deployment.region_delay

    def _send_attempt(self, exchange: Exchange, state: ServerState) -> None:
        now, limiter = self.now, exchange.limiter
        exchange.tried_servers.add(state.id)
        exchange.outstanding += 1
        limiter.selector.record_start(state)
        server = self.servers[state.id]
        attempt, delay = Attempt(exchange, state, server, now), self._one_way_delay(limiter, server)
        idle_connections = limiter.idle_connections.get(state.id, [])
        while idle_connections and now - idle_connections[0] > DEFAULT_IDLE_TIMEOUT_MS:
            del idle_connections[0]
        if idle_connections:
            idle_connections.pop()
            self._schedule(now + delay, self._attempt_arrived, attempt)
        elif server.unresponsive:
            self._schedule(min(exchange.deadline, now + REGIONAL_DIAL_TIMEOUT_MS), self._attempt_ended,
                           attempt, AttemptOutcome.UNSENT)
        elif server.ended:
            self._schedule(now + 2 * delay, self._attempt_ended, attempt, AttemptOutcome.UNSENT)
        else:
            self._schedule(now + 3 * delay, self._attempt_arrived, attempt)
        self._schedule(exchange.deadline, self._attempt_ended, attempt, AttemptOutcome.TIMED_OUT)

    def _attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome,
                       load: tuple[int, int, int] | None = None) -> None:
        if attempt.finished:
            return
        attempt.finished = True
        now, exchange, state, server = self.now, attempt.exchange, attempt.state, attempt.server
        limiter = exchange.limiter
        selector = limiter.selector
        exchange.outstanding -= 1
        if outcome is AttemptOutcome.ANSWER:
            limiter.idle_connections.setdefault(state.id, []).append(now)
            selector.record_answer(now, state, exchange.request.route.name, now - attempt.started, True)
            if load is not None:
                selector.record_load(now, state, load[0], load[1])
        elif outcome is AttemptOutcome.NOT_RUN:
            limiter.idle_connections.setdefault(state.id, []).append(now)
            selector.record_rejection(now, state)
        else:
            selector.record_failure(now, state, outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.UNSENT))
            if outcome is AttemptOutcome.TIMED_OUT:
                self._schedule(now + self._one_way_delay(limiter, server), self._cancel, attempt)
        self.figures.count[f"end.{outcome.value}"] += 1
        if exchange.finished:
            return
        if outcome is AttemptOutcome.ANSWER:
            exchange.finished = True
            self._answer_client(exchange, NextStep.FORWARD)
            return
        if exchange.outstanding:
            # Another attempt of a hedged request is still running.
            return
        step, otherwise = exchange.history.record_outcome(outcome)
        if step is NextStep.RETRY:
            exchange.last_step = otherwise
            self._start_attempt(exchange)
        else:
            self._answer_locally(exchange, step)

    # Servers --------------------------------------------------------------------------------

    def _attempt_arrived(self, attempt: Attempt) -> None:
        server = attempt.server
        if server.unresponsive or attempt.finished:
            return
        if server.ended:
            self._respond(attempt, AttemptOutcome.BROKEN)
        elif len(server.running) < server.service.slots:
            self._begin_work(server, attempt)
        elif len(server.queue) < server.service.queue:
            server.queue.append(attempt)
        elif server.service.on_full == "refuse":
            self._respond(attempt, AttemptOutcome.NOT_RUN)
        elif server.service.on_full == "reset":
            self._respond(attempt, AttemptOutcome.BROKEN)

    def _respond(self, attempt: Attempt, outcome: AttemptOutcome,
                 load: tuple[int, int, int] | None = None) -> None:
        delay = self._one_way_delay(attempt.exchange.limiter, attempt.server)
        self._schedule(self.now + delay, self._attempt_ended, attempt, outcome, load)

    def _begin_work(self, server: Server, attempt: Attempt) -> None:
        route = attempt.exchange.request.route
        server.running.add(attempt)
        server.attempts_begun += 1
        work = self.work_rng.lognormvariate(math.log(route.work) - route.spread ** 2 / 2, route.spread)
        busy = len(server.running) / server.service.slots
        work *= server.slowdown / server.speed * (1.0 + server.service.contention * busy * busy)
        if self.now < server.cold_until:
            work *= self.deployment.cold_factor
        self._schedule(self.now + work, self._finish_work, server, attempt)

    def _release_slot(self, server: Server, attempt: Attempt) -> bool:
        if attempt not in server.running:
            return False
        server.running.discard(attempt)
        while server.queue and len(server.running) < server.service.slots:
            self._begin_work(server, server.queue.popleft())
        return True

    def _finish_work(self, server: Server, attempt: Attempt) -> None:
        if self._release_slot(server, attempt):
            self._respond(attempt, AttemptOutcome.ANSWER, self._reported_load(server))

    def _cancel(self, attempt: Attempt) -> None:
        server = attempt.server
        if not self._release_slot(server, attempt) and attempt in server.queue:
            server.queue.remove(attempt)

    def _reported_load(self, server: Server) -> tuple[int, int, int] | None:
        slots, load_report = server.service.slots, server.service.load_report
        load, before = (len(server.running), len(server.queue), slots), server.last_load
        server.last_load = load
        if load_report == "absent":
            return None
        if load_report == "zero":
            return 0, 0, slots
        if load_report == "full":
            return slots, server.service.queue, slots
        return before if load_report == "stale" else load


def play(deployment: Deployment, make: SelectorFactory, seed: int) -> Figures:
    """Run a deployment with one kind of selector and return its figures."""
    return Emulator(deployment, make, seed).run()
