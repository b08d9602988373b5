"""Selects the server with the lowest expected cost of a request.

The cost (ms) consists of the estimated queueing and service time, a surcharge for other zones, and the risk
of missing the latency setpoint.  Extends ``larklb.admission.choice.ServerSelector`` by measured slowdowns and
by load reports that the limiters of a zone exchange.  The *service time* of a request is the time from its
send to its answer, less the time in the server's queue.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Any

from attrs import define, field

from larklb.admission import choice as admission
from larklb.admission.choice import ServerSelector, ServerState
from larklb.balancing.estimates import Estimate, Estimates, Evidence
from larklb.balancing.load import MIN_TRUST, InFlight, ReportedLoad, expected_queue, max_in_flight
from larklb.quota.ring import digest

# The estimate of a server is computed again after this time.
ESTIMATE_MAX_AGE_MS = 250.0
# A server that was added, warmed up or recovered is expected to have at least the usual load of its service,
# because all limiters see it idle at the same moment: fully for this time, then decaying with it as the time
# constant, for four times this in all.  Also the time constant with which the last report of an idle server
# decays towards the usual load.
NEW_SERVER_MS = 4_000.0
# Time constant of the mean number of requests in flight that is reported to the other limiters.
IN_FLIGHT_MEAN_MS = 3_000.0
# Fraction of the service time that a server with all slots in use costs in addition to the time in its queue:
# one more request there makes others wait.
UTILISATION_COST = 0.5
# Fractions of the latency setpoint that a server in another zone of the region, or in another region, costs.
SAME_REGION_COST = 0.12
OTHER_REGION_COST = 0.5
# Fraction of the latency setpoint that it costs to miss the setpoint with certainty.
MISS_COST = 0.5
# Fraction of the service time that is subtracted from the cost of a server that is preferred by this limiter
# (see ``_assign_preferred``).
PREFERRED_DISCOUNT = 0.12
# The log slowdown used for selection is the estimate minus this many standard errors, so that servers with
# little evidence are tried.
UNCERTAINTY_DISCOUNT = 0.25
# A request is overdue after exp(m + OVERDUE_DEVIATIONS * s) * slowdown * OVERDUE_MARGIN ms, with the mean m,
# the standard deviation s of the logarithm of the service time, and a slowdown of at least 0.5; the margin is
# there because the slowdown is uncertain.  A server also counts as one with an overdue request if more than
# MAX_OVERDUE_OBSERVERS other limiters report one.
OVERDUE_MARGIN = 1.5
MAX_OVERDUE_OBSERVERS = 1
OVERDUE_DEVIATIONS = 2.3
# Factors on the cost of a server with an overdue request, and of one that has just failed.
OVERDUE_COST_FACTOR = 4.0
FAILED_COST_FACTOR = 4.0
# Fraction of the requests for which FAILED_COST_FACTOR doesn't apply.
FAILED_EXEMPT_SHARE = 0.2
# Smallest weight of one answer in the usual service time of a route; the first answers weigh 1/count.
ROUTE_SAMPLE_WEIGHT = 0.03
# Standard deviation of the logarithm of a route's service times that is assumed before many answers.
INITIAL_LOG_DEVIATION = 0.7
# Weight of a sample that waited in a queue or came from a server that was warming up.
QUEUED_SAMPLE_WEIGHT = 0.3
# Largest random fraction that is added to the cost.
COST_JITTER = 0.04
# If all servers report that they are full, one whose report is older than this is tried: it may be wrong.
FULL_RETRY_MS = 1_000.0
# A longer latency setpoint counts as this one: no request is held as long, and costs must stay finite.
MAX_SETPOINT_MS = 3_600_000.0
# Upper bound of the requests in flight at one server whose start is recorded.
MAX_PENDING = 4_096


@define
class RouteServiceTime:
    """Mean and variance of the logarithm of a route's service time (ms), at a server without slowdown.

    ``count``: number of service times added.
    """

    log_mean: float = math.log(admission.INITIAL_LATENCY_MS)
    log_variance: float = INITIAL_LOG_DEVIATION**2
    count: int = 0

    def add(self, log_ms: float, weight: float) -> None:
        """Adds the logarithm of one service time without the server's slowdown; ``weight`` is at most 1."""
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
    reported_load: ReportedLoad = field(factory=ReportedLoad)
    estimate: Estimate = field(factory=Estimate)
    # Optimistic slowdown used for selection: lower the less evidence there is; without warm-up.
    slowdown: float = 1.0
    # Mean number of requests in flight here from limiters whose last in-flight report has expired, by their
    # estimate messages; None if none of these messages is recent.
    shared_mean: float | None = None
    # Estimated mean number of requests here that ``in_flight.totals`` does not include; ``_mean_load`` names
    # the sources.
    mean_load: float = 0.0
    overdue_observers: int = 0  # other limiters with an overdue request at the server
    # When the server was last added, warmed up or recovered, in the future while it is warming up; -inf for
    # those present at the start.
    ready_since: float = -math.inf
    estimated_at: float = -math.inf  # when the estimate was last computed
    in_flight_at: float = -math.inf  # time of the mean number of requests in flight
    preferred: bool = False  # by this limiter, see ``_assign_preferred``
    zone_cost: float = 0.0  # fraction of the latency setpoint
    pending: list[tuple[float, str]] = field(factory=list)  # start and route of the requests in flight
    # Earliest time at which a pending request that started after every answered one becomes overdue.
    overdue_at: float = math.inf
    # Pending requests that are overdue although a request sent later was answered; assumed lost by the server
    # and not counted as load.
    dropped: int = 0
    last_answered_start: float = -math.inf  # the latest start of an answered request


@define
class CapacityAwareSelector(ServerSelector):
    """Selects a server for each request by its estimated capacity and the load that other limiters report.

    *Peers* are the other limiters of this zone.  ``exchange_enabled``: whether this limiter and its peers
    send each other their requests in flight and estimates; without these messages, as in zones with many
    limiters, the base class selects the server.  Requests of limiters in other zones are known only from the
    load reports of the servers.

    ``statistics``: by server; ``estimates``: evidence on the slowdown of all servers, own and of peers;
    ``in_flight``: requests that peers have in flight.  ``last_call_at`` and ``last_route``: time of the last
    event, and route of the last ``pick``.  ``longest_setpoints``: longest latency setpoint (ms) of a request
    so far, which limits the requests in flight at a server.
    """

    own_name: str = ""
    exchange_enabled: bool = True
    limiters: tuple[tuple[str, str], ...] = ()  # name and zone
    estimates: Estimates = field(factory=Estimates)
    in_flight: InFlight = field(factory=InFlight)
    # By target: moving average of ``mean_load`` per slot over servers that are not new.
    mean_loads: dict[str, float] = field(factory=dict)
    route_service_times: dict[str, RouteServiceTime] = field(factory=dict)
    statistics: dict[str, ServerStatistics] = field(factory=dict)
    service_ms: dict[str, float] = field(factory=dict)  # by target: mean service time without slowdown
    longest_setpoints: dict[str, float] = field(factory=dict)  # by target
    last_call_at: float = 0.0
    last_route: str = ""
    # The last answer (server, route, latency in ms), held back until its load report is recorded or the next
    # event shows that there was none.
    pending_answer: tuple[ServerState, str, float] | None = None

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

        Each limiter prefers an equal share of the zone's servers, in the order of their digests; a server at
        the boundary of two shares is preferred by both limiters.  This keeps the limiters from all choosing
        the same idle server, and makes most of the requests in flight there known here.  It is only a
        preference: any limiter may use any server.
        """
        zone_limiters = sorted(name for name, zone in self.limiters if zone == self.zone) or [self.own_name]
        if self.own_name not in zone_limiters:
            return
        rank, count = zone_limiters.index(self.own_name), len(zone_limiters)
        for servers in self.by_target.values():
            zone_servers = sorted((s for s in servers if s.zone == self.zone), key=lambda s: digest(s.id))
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

    def _current_slowdown(self, now: float, server: ServerState, stats: ServerStatistics) -> float:
        """Returns the slowdown used for selection, including that of a server that is warming up."""
        return stats.slowdown * (admission.COLD_FACTOR if now < server.cold_until else 1.0)

    def _mean_load(self, now: float, server: ServerState, stats: ServerStatistics) -> float:
        """Returns the estimated mean number of requests here that ``in_flight.totals`` does not include.

        The first of these sources that is available: (1) the estimate messages of other limiters, if there
        are recent ones and either some peer reports requests in flight or the server's own reports are not
        trusted; (2) the server's last reports, decaying to the usual load; (3) the own mean times the number
        of other limiters.  A server that was recently added, warmed up or recovered has at least the usual
        load, which decays.

        The totals of all servers are tested, since a server that is missing from them has no requests of the
        peers that report.
        """
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

    def estimate_other_requests(
        self, now: float, server: ServerState, stats: ServerStatistics, server_ms: float
    ) -> tuple[int, float]:
        """Returns the requests of others at a server: those that peers report, and the mean of the rest.

        The mean is adjusted to the server's last report: fully at first, then decaying with a time constant
        of one service time (``server_ms``), not at all after four.
        """
        reported, peer_requests, mean = (
            stats.reported_load,
            self.in_flight.totals.get(server.id, 0),
            stats.mean_load,
        )
        age = now - reported.updated_at
        if age < 4.0 * server_ms and reported.trust >= MIN_TRUST:
            mean += (reported.last - peer_requests - mean) * math.exp(-max(0.0, age) / server_ms)
        return peer_requests, mean if mean > 0.0 else 0.0

    def load(self, now: float, server: ServerState) -> float:
        """Returns the requests in flight at the server, from here and, as far as known, from others."""
        if not self.exchange_enabled:
            return ServerSelector.load(self, now, server)
        stats = self.statistics[server.id]
        server_ms = self.service_ms.get(server.target, admission.INITIAL_LATENCY_MS) * stats.slowdown
        return server.in_flight + sum(self.estimate_other_requests(now, server, stats, server_ms))

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
        """Returns the server with the lowest expected cost for a request, None if no server can take it.

        ``setpoint``: the latency setpoint of the route in ms; ``exclude``: ids of servers that are left out;
        ``caller``: hash of a caller, whose assigned server is used while it has capacity.  If no healthy
        server has room, one that is silent, probed or ejected is returned, and otherwise, of those that
        reported to be full more than FULL_RETRY_MS ago, the one with the fewest known requests.
        """
        self._add_answer_without_load_report()
        self.last_call_at, self.last_route = now, route
        setpoint = min(setpoint, MAX_SETPOINT_MS)
        if not self.exchange_enabled:  # without messages of peers this is no better than the base class
            return ServerSelector.pick(self, now, target, route, setpoint, exclude, caller)
        if caller is not None and target in self.assignments:
            self.callers.record_request(now, caller, self.route_latency(route).mean)
            if (server := self._sticky_server(now, target, caller, exclude)) is not None:
                return server
        if setpoint > self.longest_setpoints.get(target, 0.0):
            self.longest_setpoints[target] = setpoint
        service_time, base_ms = (
            self.route_service_time(route),
            self.service_ms.get(target, admission.INITIAL_LATENCY_MS),
        )
        # A service whose routes all have a setpoint of 0 has none: its queues may be as long as ever.
        route_ms = service_time.mean_ms()
        longest_setpoint = self.longest_setpoints.get(target, math.inf)
        log_mean, steepness = service_time.log_mean, 1.702 / math.sqrt(max(service_time.log_variance, 0.01))
        # ``limit`` is for this limiter alone, ``max_in_flight`` for all limiters together.
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
            server_ms = base_ms * slowdown
            peer_requests, others = self.estimate_other_requests(now, server, stats, server_ms)
            # Requests of this limiter and its peers; ``others`` is the mean of all further ones.
            slots, known_requests = server.slots or 1, peer_requests + server.in_flight - stats.dropped
            load = known_requests + others
            if load >= slots and load >= max_in_flight(slots, base_ms, slowdown, longest_setpoint):
                if (
                    known_requests < slots
                    and now - stats.reported_load.updated_at > FULL_RETRY_MS
                    and not server.silent
                ):
                    reported_full.append((known_requests, stats.reported_load.updated_at, server))
                continue
            if server.silent or server.probing or now < server.ejected_until:
                impaired.append(server)
                continue
            wait_ms = expected_queue(known_requests + (known_requests >= slots), others, slots) * server_ms
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
            best = min(impaired, key=lambda s: (s.silent, s.ejected_until, random()))
        if best is None and reported_full:
            best = min(reported_full, key=lambda entry: entry[:2])[2]
        return best

    def has_room(self, now: float, target: str) -> bool:
        """Returns whether some server of the service can take one more request."""
        base_ms, longest_setpoint = (
            self.service_ms.get(target, admission.INITIAL_LATENCY_MS),
            self.longest_setpoints.get(target, math.inf),
        )
        return any(
            not s.draining
            and self.load(now, s)
            < max_in_flight(max(1, s.slots), base_ms, self.statistics[s.id].slowdown, longest_setpoint)
            for s in self.by_target.get(target, ())
        )

    # Events ---------------------------------------------------------------------------------

    def record_start(self, server: ServerState) -> None:
        """Records the start of an attempt at the server.

        Its time and route are those of the last ``pick``: must follow the ``pick`` of the same request
        directly.
        """
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
        # The exponent is limited to avoid an overflow.
        late_ms = math.exp(min(12.0, service_time.log_mean + OVERDUE_DEVIATIONS * deviation))
        return start + late_ms * max(0.5, stats.slowdown) * OVERDUE_MARGIN

    def _update_overdue(self, now: float, stats: ServerStatistics) -> None:
        """Updates ``overdue_at`` and ``dropped`` of a server.

        A server that answers later requests works: it has dropped an earlier one that is overdue, as it was
        full.
        """
        stats.overdue_at, stats.dropped = math.inf, 0
        for start, route in stats.pending:
            overdue_at = self._time_overdue(stats, start, route)
            if start >= stats.last_answered_start:
                stats.overdue_at = min(stats.overdue_at, overdue_at)
            elif now > overdue_at:
                stats.dropped += 1

    def _end_attempt(self, now: float, server: ServerState, started: float, answered: bool = False) -> None:
        """Removes the pending request whose start is closest to ``started``.

        With -inf that is the oldest, with the present time the newest one.
        """
        self._add_answer_without_load_report()
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
            self._add_answer_without_load_report()
            return
        answer, self.pending_answer, self.last_call_at = self.pending_answer, None, now
        expected_ms = max(
            1.0,
            self.service_ms.get(server.target, admission.INITIAL_LATENCY_MS)
            * self._current_slowdown(now, server, stats),
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

    def _add_answer_without_load_report(self) -> None:
        """Adds the service time of the pending answer, if any, for which no load report was recorded."""
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
        """Adds one answer to the server's evidence and to the service times of its route and target.

        ``queue``: requests per slot that were ahead of it in the server's queue; None if not reported, which
        is then estimated.  The expected time in that queue is subtracted from the latency, at most 80% of it.
        The evidence excludes the effect of warming up, the service times the server's slowdown as well.  A
        sample with a queue or warm-up weighs less, as its service time is less certain.
        """
        base_ms = self.service_ms.get(server.target, admission.INITIAL_LATENCY_MS)
        slowdown, weight = self._current_slowdown(now, server, stats), 1.0
        if queue is None:
            peer_requests, others = self.estimate_other_requests(now, server, stats, base_ms * slowdown)
            queue = expected_queue(server.in_flight + peer_requests, others, max(1, server.slots))
            weight = 1.0 - 0.5 * min(1.0, queue)
        elif queue > 0.0:
            weight = QUEUED_SAMPLE_WEIGHT
        if now - latency_ms < server.cold_until:
            weight = QUEUED_SAMPLE_WEIGHT
        sample_ms = max(0.2 * latency_ms, latency_ms - queue * base_ms * slowdown, 0.5)
        log_cold = math.log(admission.COLD_FACTOR) if now - latency_ms < server.cold_until else 0.0
        service_time, log_ms = self.route_service_time(route), math.log(sample_ms) - log_cold
        if service_time.count >= 8:
            variance = max(0.2, service_time.log_variance)
            stats.evidence.add(now, log_ms - service_time.log_mean, weight / variance)
        service_time.add(log_ms - stats.estimate.log_slowdown, weight)
        sample_ms /= slowdown
        self.service_ms[server.target] = (
            base_ms + 0.03 * (sample_ms - base_ms) if server.target in self.service_ms else sample_ms
        )

    def record_rejection(self, now: float, server: ServerState) -> None:
        """Records that the server rejected a request because it is full.

        That is the load at this moment, not the mean load: ``reported_load.last`` is set, which applies for a
        few service times, and ``mean`` stays, or is 0 if nothing was reported.
        """
        # The newest pending request: a server rejects at once.
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
        # The start of the failed attempt is not known; it is assumed to be the oldest.
        self._end_attempt(now, server, -math.inf)
        if dropped:
            # The server was full then and has answered since.  Excluding it for a while would cost capacity
            # where all servers are nearly full.
            ServerSelector.release(self, server)
        else:
            ServerSelector.record_failure(self, now, server, unresponsive)

    def record_abandonment(self, now: float, server: ServerState, route: str, waited_ms: float) -> None:
        """Records an attempt that this limiter aborted after ``waited_ms``.

        It counts as a failure if it was overdue and no request sent later was answered.  Otherwise its
        latency is at least ``waited_ms``, which is added as a sample if it is above the usual latency.
        """
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
        if waited_ms > self.route_service_time(route).mean_ms() * self._current_slowdown(now, server, stats):
            self._add_sample(now, server, stats, route, waited_ms, None)

    def release(self, server: ServerState) -> None:
        """Records the end of an attempt that says nothing about the server."""
        # The newest pending request: most of these attempts end before anything is sent.
        self._end_attempt(self.last_call_at, server, self.last_call_at)
        ServerSelector.release(self, server)

    # Exchange -------------------------------------------------------------------------------

    def estimates_message(self, now: float) -> dict[str, Any]:
        """Returns this limiter's evidence on all servers for the other limiters, as a JSON object."""
        self._add_answer_without_load_report()
        for name, stats in self.statistics.items():
            self._update_mean_in_flight(now, self.servers[name], stats)
            stats.evidence.overdue = int(now > stats.overdue_at)
        return self.estimates.message(now)

    def apply_estimates(self, now: float, observer: str, message: Mapping[str, Any]) -> None:
        """Applies another limiter's evidence.  Raises UnreadableError if the message is malformed."""
        if observer != self.own_name:
            self.estimates.apply(now, observer, message)

    def in_flight_message(self, now: float) -> dict[str, Any] | None:
        """Returns this limiter's requests in flight for its peers, as a JSON object.

        None if they were reported recently and haven't changed since.
        """
        return self.in_flight.message(
            now, {n: server.in_flight - self.statistics[n].dropped for n, server in self.servers.items()}
        )

    def apply_in_flight(self, now: float, observer: str, message: Mapping[str, Any]) -> None:
        """Applies a peer's requests in flight.  Raises UnreadableError if the message is malformed."""
        if observer != self.own_name:
            self.in_flight.apply(now, observer, message)
