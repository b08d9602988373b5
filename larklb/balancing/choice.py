"""Chooses the server with the least expected cost of a request, by the estimated capacity of each server.

Has the interface of ``larklb.admission.choice.ServerSelector``, and adds the exchange between limiters.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Any

from attrs import define, field

from larklb.admission import choice as admission
from larklb.admission.choice import ServerSelector, ServerState
from larklb.balancing.estimates import Estimate, Estimates, Evidence
from larklb.balancing.load import MIN_TRUST, InFlight, LoadOfOthers, expected_queue, max_in_flight
from larklb.quota.ring import digest

# The estimate of a server is computed again after this time.
ESTIMATE_MAX_AGE_MS = 250.0
# A server that was added, warmed up or recovered less than this ago is expected to have the same load as the
# others, because all limiters see it idle at the same moment.
NEW_SERVER_MS = 4_000.0
# Time constant of the mean number of requests in flight that is reported to the other limiters.
IN_FLIGHT_MEAN_MS = 3_000.0
# Part of the service time that a server with all slots in use costs beside its queue: one more request there
# makes others wait.
UTILISATION_COST = 0.5
# Parts of the latency setpoint that a server in another zone of the region, or in another region, costs.
SAME_REGION_COST = 0.12
OTHER_REGION_COST = 0.5
# Part of the latency setpoint that it costs to miss the setpoint for certain.
MISS_COST = 0.5
# Part of the service time by which a server costs less that this limiter prefers to its peers.
PREFERRED_DISCOUNT = 0.12
# Part of the standard error of a server's slowdown by which its logarithm is reduced, so that servers with
# little evidence are tried.
UNCERTAINTY_DISCOUNT = 0.25
# Factor on the time after which a request is overdue, since the slowdown of the server is uncertain.
OVERDUE_MARGIN = 1.5
# A server also counts as one with an overdue request if more other limiters than this report one.
MAX_OVERDUE_OBSERVERS = 1
# Standard deviations (of the logarithm) above the usual service time from which a request is overdue.
OVERDUE_DEVIATIONS = 2.3
# Factors on the cost of a server with an overdue request, and of one that has just failed.
OVERDUE_COST_FACTOR = 4.0
FAILED_COST_FACTOR = 4.0
# Part of the requests for which FAILED_COST_FACTOR doesn't apply.
FAILED_EXEMPT_SHARE = 0.2
# Weight of one answer in the usual service time of a route.
ROUTE_SAMPLE_WEIGHT = 0.03
# Standard deviation of the logarithm of a route's service times that is assumed before many answers.
INITIAL_LOG_DEVIATION = 0.7
# Weight of a sample that waited in a queue or came from a server that was warming up.
QUEUED_SAMPLE_WEIGHT = 0.3
# Part of the cost that is random.
COST_JITTER = 0.04
# Where all servers report that they are full, one whose report is older than this is tried: it may be wrong.
FULL_RETRY_MS = 1_000.0
# Upper bound of the requests in flight at one server whose start is recorded.
MAX_PENDING = 4_096


@define
class RouteServiceTime:
    """Mean and variance of the logarithm of a route's service time (ms), at a server with no slowdown."""

    log_mean: float = math.log(admission.INITIAL_LATENCY_MS)
    log_variance: float = INITIAL_LOG_DEVIATION**2
    count: int = 0

    def add(self, log_ms: float, weight: float) -> None:
        """Adds the logarithm of one service time, without the time in the queue and the server's slowdown."""
        self.count += 1
        step = weight * max(ROUTE_SAMPLE_WEIGHT, 1.0 / self.count)
        deviation = log_ms - self.log_mean
        self.log_mean += step * deviation
        self.log_variance += (
            weight
            * max(ROUTE_SAMPLE_WEIGHT / 2, 1.0 / (8 + self.count))
            * (min(deviation * deviation, 4.0) - self.log_variance)
        )

    def mean_ms(self) -> float:
        """Returns the mean service time in ms."""
        return math.exp(self.log_mean + self.log_variance / 2.0)


@define
class ServerStatistics:
    """What this limiter records about one server, in addition to its ``ServerState``."""

    evidence: Evidence
    reported_load: LoadOfOthers = field(factory=LoadOfOthers)
    estimate: Estimate = field(factory=Estimate)
    slowdown: float = 1.0  # of the estimate, reduced by its uncertainty
    shared_mean: float | None = None  # mean requests of the others by their reports, None without recent ones
    mean_load: float = 0.0  # mean requests of the limiters without a valid report of requests in flight
    overdue_observers: int = 0  # other limiters with an overdue request at the server
    # When the server was last added, warmed up or recovered; -inf for those present at the start.
    ready_since: float = -math.inf
    estimated_at: float = -math.inf
    in_flight_at: float = -math.inf
    preferred: bool = False  # by this limiter, see ``_assign_preferred``
    zone_cost: float = 0.0  # part of the latency setpoint
    pending: list[tuple[float, str]] = field(factory=list)  # start and route of the requests in flight
    # When the first of the pending requests becomes overdue that started after all answered ones.
    overdue_at: float = math.inf
    # Pending requests that are overdue while later ones were answered; they no longer count as load.
    dropped: int = 0
    last_answered_start: float = -math.inf  # the latest start of an answered request


@define
class CapacityAwareSelector(ServerSelector):
    """Selects a server for each request by its estimated capacity and the load that other limiters report.

    *Near peers* are the other limiters of this zone.  ``exchange_enabled``: whether they report their
    requests in flight and estimates; without these reports the base class selects the server.
    """

    own_name: str = ""
    exchange_enabled: bool = True
    limiters: tuple[tuple[str, str], ...] = ()  # name and zone
    estimates: Estimates = field(factory=Estimates)
    in_flight: InFlight = field(factory=InFlight)
    mean_loads: dict[str, float] = field(factory=dict)  # by target: requests of others per slot
    route_service_times: dict[str, RouteServiceTime] = field(factory=dict)
    statistics: dict[str, ServerStatistics] = field(factory=dict)
    service_ms: dict[str, float] = field(factory=dict)  # by target: mean service time with no slowdown
    longest_setpoints: dict[str, float] = field(factory=dict)  # by target
    last_call_at: float = 0.0
    last_route: str = ""
    pending_answer: tuple[ServerState, str, float] | None = None  # an answer whose load report may yet follow

    # Servers and limiters -------------------------------------------------------------------

    def set_limiters(self, own_name: str, limiters: Sequence[tuple[str, str]]) -> None:
        """Sets the names and zones of all limiters, this one (``own_name``) included."""
        self.own_name, self.limiters = own_name, tuple(sorted(limiters))
        self.in_flight.retain({name for name, _ in limiters})
        self._assign_preferred()

    def update(self, servers: Iterable[ServerState]) -> None:
        """Sets the current servers; the state of those that stay is retained."""
        silent = [name for name, server in self.servers.items() if server.silent]
        ServerSelector.update(self, servers)
        ready_since = self.last_call_at if self.statistics else -math.inf
        self.statistics = {
            name: self.statistics.get(name)
            or ServerStatistics(self.estimates.evidence(self.last_call_at, name), ready_since=ready_since)
            for name in self.servers
        }
        self.estimates.retain(self.servers)
        for name, server in self.servers.items():
            self.statistics[name].zone_cost = self._zone_cost(server)
            if server.cold_until > self.last_call_at:
                self.statistics[name].ready_since = server.cold_until
        for name in silent:
            if name in self.servers and not self.servers[name].silent:
                self.statistics[name].ready_since = self.last_call_at
        self._assign_preferred()

    def _zone_cost(self, server: ServerState) -> float:
        if server.zone == self.zone:
            return 0.0
        return (
            SAME_REGION_COST
            if self.regions.get(server.zone) == self.regions.get(self.zone)
            else OTHER_REGION_COST
        )

    def _assign_preferred(self) -> None:
        """Assigns each server to one or more limiters of its zone, which prefer it.

        This keeps the limiters from all choosing the same idle server, and makes most of the requests in
        flight there known here.  It is only a preference: any limiter may use any server.
        """
        zone_limiters = sorted(name for name, zone in self.limiters if zone == self.zone) or [self.own_name]
        if self.own_name not in zone_limiters:
            return
        rank, count = zone_limiters.index(self.own_name), len(zone_limiters)
        for servers in self.by_target.values():
            zone_servers = sorted((p for p in servers if p.zone == self.zone), key=lambda p: digest(p.id))
            for server in servers:
                self.statistics[server.id].preferred = False
            servers_each = len(zone_servers) / count
            for i, server in enumerate(zone_servers):
                self.statistics[server.id].preferred = (
                    i < (rank + 1) * servers_each and i + 1 > rank * servers_each
                )

    # Estimates and load ---------------------------------------------------------------------

    def route_service_time(self, route: str) -> RouteServiceTime:
        """Returns the usual service time of a route."""
        service_time = self.route_service_times.get(route)
        if service_time is None:
            service_time = self.route_service_times[route] = RouteServiceTime()
        return service_time

    def _update_estimate(self, now: float, server: ServerState, stats: ServerStatistics) -> None:
        """Updates ``stats`` from the evidence and the reports, and with it the usual load of the service."""
        stats.estimated_at = now
        stats.estimate = self.estimates.estimate(now, server.id)
        stats.slowdown = math.exp(
            stats.estimate.log_slowdown - UNCERTAINTY_DISCOUNT * stats.estimate.standard_error
        )
        self.in_flight.expire(now)
        stats.shared_mean = self.estimates.mean_in_flight_of_others(
            now, server.id, self.in_flight.current_observers(now)
        )
        stats.overdue_observers = self.estimates.overdue_observers(now, server.id)
        self._update_overdue(now, stats)
        stats.mean_load = self._mean_load(now, server, stats)
        if now - stats.ready_since > NEW_SERVER_MS and not server.draining and not server.silent:
            load, mean = stats.mean_load / max(1, server.slots), self.mean_loads.get(server.target, 0.0)
            self.mean_loads[server.target] = mean + 0.05 * (load - mean)

    def _update_mean_in_flight(self, now: float, server: ServerState, stats: ServerStatistics) -> None:
        """Brings the mean number of requests in flight to ``now``; called before ``in_flight`` changes."""
        weight = 1.0 - math.exp(min(0.0, stats.in_flight_at - now) / IN_FLIGHT_MEAN_MS)
        stats.evidence.mean_in_flight += weight * (
            max(0, server.in_flight - stats.dropped) - stats.evidence.mean_in_flight
        )
        stats.in_flight_at = now

    def _slowdown(self, now: float, server: ServerState, stats: ServerStatistics) -> float:
        return stats.slowdown * (admission.COLD_FACTOR if now < server.cold_until else 1.0)

    def _mean_load(self, now: float, server: ServerState, stats: ServerStatistics) -> float:
        """Returns the mean requests of the limiters without a valid report of their requests in flight."""
        usual_load, reported = self.mean_loads.get(server.target, 0.0) * server.slots, stats.reported_load
        if stats.shared_mean is not None and (self.in_flight.totals or not reported.trusted()):
            mean = stats.shared_mean
        elif reported.trusted():
            # The reports of other limiters lag by seconds: without their requests in flight the server's own
            # report is better.  A server that gets no requests reports nothing: its last report decays
            # towards the usual load.
            mean = usual_load + (reported.mean - usual_load) * math.exp(
                min(0.0, reported.updated_at - now) / NEW_SERVER_MS
            )
        else:
            mean = stats.evidence.mean_in_flight * max(0, len(self.limiters) - 1)
        if now - stats.ready_since < 4.0 * NEW_SERVER_MS:
            mean = max(
                mean,
                usual_load * math.exp(min(0.0, stats.ready_since + NEW_SERVER_MS - now) / NEW_SERVER_MS),
            )
        return mean

    def load_of_others(
        self, now: float, server: ServerState, stats: ServerStatistics, service_ms: float
    ) -> tuple[int, float]:
        """Returns the requests of others at a server: those that near peers report, and the mean of the rest.

        For about one service time after a server's report, the mean is adjusted towards that report.
        """
        reported, known, mean = (
            stats.reported_load,
            self.in_flight.totals.get(server.id, 0),
            stats.mean_load,
        )
        age = now - reported.updated_at
        if age < 4.0 * service_ms and reported.trust >= MIN_TRUST:
            mean += (reported.last - known - mean) * math.exp(-max(0.0, age) / service_ms)
        return known, mean if mean > 0.0 else 0.0

    def load(self, now: float, server: ServerState) -> float:
        """Returns the requests in flight at the server, from here and, as far as known, from others."""
        if not self.exchange_enabled:
            return ServerSelector.load(self, now, server)
        stats = self.statistics[server.id]
        service_ms = self.service_ms.get(server.target, admission.INITIAL_LATENCY_MS) * stats.slowdown
        return server.in_flight + sum(self.load_of_others(now, server, stats, service_ms))

    # Choice ---------------------------------------------------------------------------------

    def pick(
        self,
        now: float,
        target: str,
        route: str,
        setpoint: float,
        exclude: Collection[str] = (),
        caller: int | None = None,
    ) -> ServerState | None:
        """Returns the server with the least expected cost for a request, None if no server can take it.

        ``setpoint``: the latency setpoint of the route in ms; ``exclude``: ids of servers that are left out.
        """
        self._flush_pending_answer()
        self.last_call_at, self.last_route = now, route
        if not self.exchange_enabled:  # without the reports of other limiters this is no better than the base
            return ServerSelector.pick(self, now, target, route, setpoint, exclude, caller)
        if caller is not None and target in self.assignments:
            self.callers.record_request(now, caller, self.route_latency(route).mean)
            if (server := self._sticky_server(now, target, caller, exclude)) is not None:
                return server
        if setpoint > self.longest_setpoints.get(target, 0.0):
            self.longest_setpoints[target] = setpoint
        service_time, usual_ms = (
            self.route_service_time(route),
            self.service_ms.get(target, admission.INITIAL_LATENCY_MS),
        )
        route_ms, longest_setpoint = service_time.mean_ms(), self.longest_setpoints[target]
        log_mean, steepness = service_time.log_mean, 1.702 / math.sqrt(max(service_time.log_variance, 0.01))
        best, min_cost, limit = None, math.inf, self.in_flight_limit(target)
        impaired: list[ServerState] = []
        reported_full: list[tuple[int, float, ServerState]] = []
        random, log, exp, statistics = self.random.random, math.log, math.exp, self.statistics
        for server in self.by_target.get(target, ()):
            if server.draining or server.in_flight >= limit or server.id in exclude:
                continue
            stats = statistics[server.id]
            if now - stats.estimated_at > ESTIMATE_MAX_AGE_MS:
                self._update_estimate(now, server, stats)
            slowdown = stats.slowdown if now >= server.cold_until else stats.slowdown * admission.COLD_FACTOR
            service_ms = usual_ms * slowdown
            known, others = self.load_of_others(now, server, stats, service_ms)
            slots, known = server.slots or 1, known + server.in_flight - stats.dropped
            load = known + others
            if load >= slots and load >= max_in_flight(slots, usual_ms, slowdown, longest_setpoint):
                if (
                    known < slots
                    and now - stats.reported_load.updated_at > FULL_RETRY_MS
                    and not server.silent
                ):
                    reported_full.append((known, stats.reported_load.updated_at, server))
                continue
            if server.silent or server.probing or now < server.ejected_until:
                impaired.append(server)
                continue
            wait_ms = expected_queue(known + (known >= slots), others, slots) * service_ms
            left_ms = setpoint - wait_ms
            # Probability of missing the setpoint, by the logistic curve closest to the normal distribution.
            miss_probability = (
                1.0 / (1.0 + exp(min(50.0, steepness * (log(left_ms / slowdown) - log_mean))))
                if left_ms > 1.0
                else 1.0
            )
            cost = (
                wait_ms
                + slowdown
                * route_ms
                * (1.0 + UTILISATION_COST * load / slots - (PREFERRED_DISCOUNT if stats.preferred else 0.0))
                + setpoint * (stats.zone_cost + MISS_COST * miss_probability)
            ) * (1.0 + COST_JITTER * random())
            if now > stats.overdue_at or stats.overdue_observers > MAX_OVERDUE_OBSERVERS:
                cost *= OVERDUE_COST_FACTOR
            if server.consecutive_failures and random() > FAILED_EXEMPT_SHARE:
                cost *= FAILED_COST_FACTOR
            if cost < min_cost:
                best, min_cost = server, cost
        if best is None and impaired:
            best = min(impaired, key=lambda p: (p.silent, p.ejected_until, random()))
        if best is None and reported_full:
            best = min(reported_full, key=lambda p: p[:2])[2]
        return best

    def has_room(self, now: float, target: str) -> bool:
        """Returns whether some server of the service can take one more request."""
        usual_ms, longest_setpoint = (
            self.service_ms.get(target, admission.INITIAL_LATENCY_MS),
            self.longest_setpoints.get(target, math.inf),
        )
        return any(
            not p.draining
            and self.load(now, p)
            < max_in_flight(max(1, p.slots), usual_ms, self.statistics[p.id].slowdown, longest_setpoint)
            for p in self.by_target.get(target, ())
        )

    # Events ---------------------------------------------------------------------------------

    def record_start(self, server: ServerState) -> None:
        """Records the start of an attempt at the server, for the route of the last ``pick``."""
        now, stats = self.last_call_at, self.statistics.get(server.id)
        if stats is not None:
            self._update_mean_in_flight(now, server, stats)
            if len(stats.pending) < MAX_PENDING:
                stats.pending.append((now, self.last_route))
                stats.overdue_at = min(stats.overdue_at, self._time_overdue(stats, now, self.last_route))
        ServerSelector.record_start(self, server)

    def _time_overdue(self, stats: ServerStatistics, start: float, route: str) -> float:
        """Returns when a request that went to the server at ``start`` becomes overdue."""
        service_time = self.route_service_time(route)
        deviation = math.sqrt(max(service_time.log_variance, 0.01))
        late_ms = math.exp(min(12.0, service_time.log_mean + OVERDUE_DEVIATIONS * deviation))
        return start + late_ms * max(0.5, stats.slowdown) * OVERDUE_MARGIN

    def _update_overdue(self, now: float, stats: ServerStatistics) -> None:
        """Updates ``overdue_at`` and ``dropped`` of a server.

        A server that answers later requests is alive: an earlier one that is overdue was dropped by it when
        it was full.
        """
        stats.overdue_at, stats.dropped = math.inf, 0
        for start, route in stats.pending:
            overdue_at = self._time_overdue(stats, start, route)
            if start >= stats.last_answered_start:
                stats.overdue_at = min(stats.overdue_at, overdue_at)
            elif now > overdue_at:
                stats.dropped += 1

    def _end_attempt(self, now: float, server: ServerState, started: float, answered: bool = False) -> None:
        """Removes the pending request whose start is closest to ``started``."""
        self._flush_pending_answer()
        self.last_call_at = now
        stats = self.statistics.get(server.id)
        if stats is None:
            return
        self._update_mean_in_flight(now, server, stats)
        if stats.pending:
            closest = min(range(len(stats.pending)), key=lambda i: abs(stats.pending[i][0] - started))
            del stats.pending[closest]
        if answered:
            stats.last_answered_start = max(stats.last_answered_start, started)
        self._update_overdue(now, stats)

    def record_answer(
        self, now: float, server: ServerState, route: str, latency_ms: float, succeeded: bool
    ) -> None:
        """Records an answer; ``succeeded``: the server ran the request without an error."""
        self._end_attempt(now, server, now - latency_ms, answered=True)
        recovered = server.probing
        ServerSelector.record_answer(self, now, server, route, latency_ms, succeeded)
        if recovered and server.id in self.statistics:
            self.statistics[server.id].ready_since = now
        if succeeded:
            self.pending_answer = server, route, latency_ms

    def record_load(self, now: float, server: ServerState, running: int, waiting: int) -> None:
        """Records the load that the server reported with the answer recorded before."""
        ServerSelector.record_load(self, now, server, running, waiting)
        stats = self.statistics.get(server.id)
        if stats is None:
            self._flush_pending_answer()
            return
        answer, self.pending_answer, self.last_call_at = self.pending_answer, None, now
        expected_ms = max(
            1.0,
            self.service_ms.get(server.target, admission.INITIAL_LATENCY_MS)
            * self._slowdown(now, server, stats),
        )
        latency_ms = answer[2] if answer is not None and answer[0] is server else expected_ms
        stats.reported_load.record(
            now, running, waiting, server.slots, server.in_flight, latency_ms / expected_ms
        )
        if answer is None or answer[0] is not server:
            return
        if not stats.reported_load.trusted():
            self._add_sample(now, server, stats, answer[1], latency_ms, None)
        else:
            free = running < server.slots and not waiting
            queue = 0.0 if free else (waiting + 0.5) / max(1, server.slots)
            self._add_sample(now, server, stats, answer[1], latency_ms, queue)

    def _flush_pending_answer(self) -> None:
        """Adds the sample of an answer that came without a load report."""
        if self.pending_answer is not None:
            (server, route, latency_ms), self.pending_answer = self.pending_answer, None
            stats = self.statistics.get(server.id)
            if stats is not None:
                self._add_sample(self.last_call_at, server, stats, route, latency_ms, None)

    def _add_sample(
        self,
        now: float,
        server: ServerState,
        stats: ServerStatistics,
        route: str,
        latency_ms: float,
        queue: float | None,
    ) -> None:
        """Adds one response time to the evidence.

        ``queue``: requests per slot that were ahead of it in the server's queue, None if not reported.
        """
        usual_ms = self.service_ms.get(server.target, admission.INITIAL_LATENCY_MS)
        slowdown, weight = self._slowdown(now, server, stats), 1.0
        if queue is None:
            known, others = self.load_of_others(now, server, stats, usual_ms * slowdown)
            queue = expected_queue(server.in_flight + known, others, max(1, server.slots))
            weight = 1.0 - 0.5 * min(1.0, queue)
        elif queue > 0.0:
            weight = QUEUED_SAMPLE_WEIGHT
        if now - latency_ms < server.cold_until:
            weight = QUEUED_SAMPLE_WEIGHT
        service_ms = max(0.2 * latency_ms, latency_ms - queue * usual_ms * slowdown, 0.5)
        log_cold = math.log(admission.COLD_FACTOR) if now - latency_ms < server.cold_until else 0.0
        service_time, log_ms = self.route_service_time(route), math.log(service_ms) - log_cold
        if service_time.count >= 8:
            variance = max(0.2, service_time.log_variance)
            stats.evidence.add(now, log_ms - service_time.log_mean, weight / variance)
        service_time.add(log_ms - stats.estimate.log_slowdown, weight)
        service_ms /= slowdown
        self.service_ms[server.target] = (
            usual_ms + 0.03 * (service_ms - usual_ms) if server.target in self.service_ms else service_ms
        )

    def record_rejection(self, now: float, server: ServerState) -> None:
        """Records that the server rejected a request because it is full."""
        self._end_attempt(now, server, now)
        ServerSelector.record_rejection(self, now, server)
        stats = self.statistics.get(server.id)
        if stats is not None:
            stats.reported_load.last = max(
                stats.reported_load.mean, server.slots * (1.0 + admission.MAX_QUEUE_PER_SLOT)
            )
            stats.reported_load.mean, stats.reported_load.updated_at = (
                max(stats.reported_load.mean, 0.0),
                now,
            )

    def record_failure(self, now: float, server: ServerState, unresponsive: bool) -> None:
        """Records that an attempt failed; ``unresponsive``: the server sent nothing."""
        stats = self.statistics.get(server.id)
        dropped = (
            unresponsive
            and stats is not None
            and bool(stats.pending)
            and stats.pending[0][0] < stats.last_answered_start
        )
        self._end_attempt(now, server, -math.inf)
        if dropped:
            # The server was full then and has answered since.  Excluding it for a while would cost capacity
            # where all servers are nearly full.
            ServerSelector.release(self, server)
        else:
            ServerSelector.record_failure(self, now, server, unresponsive)

    def record_abandonment(self, now: float, server: ServerState, route: str, waited_ms: float) -> None:
        """Records an attempt that this limiter aborted; it would have taken at least ``waited_ms``."""
        stats, started = self.statistics.get(server.id), now - waited_ms
        if stats is None:
            ServerSelector.release(self, server)
            return
        overdue = now > self._time_overdue(stats, started, route) and started >= stats.last_answered_start
        self._end_attempt(now, server, started)
        if overdue:
            ServerSelector.record_failure(self, now, server, True)
            return
        ServerSelector.release(self, server)
        if waited_ms > self.route_service_time(route).mean_ms() * self._slowdown(now, server, stats):
            self._add_sample(now, server, stats, route, waited_ms, None)

    def release(self, server: ServerState) -> None:
        """Records the end of an attempt that says nothing about the server."""
        self._end_attempt(self.last_call_at, server, self.last_call_at)
        ServerSelector.release(self, server)

    # Exchange -------------------------------------------------------------------------------

    def estimates_message(self, now: float) -> dict[str, Any]:
        """Returns this limiter's evidence on all servers for the other limiters, as a JSON object."""
        self._flush_pending_answer()
        for name, stats in self.statistics.items():
            self._update_mean_in_flight(now, self.servers[name], stats)
            stats.evidence.overdue = int(now > stats.overdue_at)
        return self.estimates.message(now)

    def apply_estimates(self, now: float, observer: str, message: Mapping[str, Any]) -> None:
        """Applies another limiter's evidence.  Raises UnreadableError if the message is malformed."""
        if observer != self.own_name:
            self.estimates.apply(now, observer, message)

    def in_flight_message(self, now: float) -> dict[str, Any] | None:
        """Returns this limiter's requests in flight for its near peers, as a JSON object.

        None if they were reported recently and haven't changed since.
        """
        return self.in_flight.message(
            now, {n: server.in_flight - self.statistics[n].dropped for n, server in self.servers.items()}
        )

    def apply_in_flight(self, now: float, observer: str, message: Mapping[str, Any]) -> None:
        """Applies a near peer's requests in flight.  Raises UnreadableError if the message is malformed."""
        if observer != self.own_name:
            self.in_flight.apply(now, observer, message)
