"""Choice of the server for an attempt, and the judgements of servers that it is based on.

``Gateway`` in ``decide.py`` inherits ``ServerSelection`` and creates all its attributes.  No input or output
is done here.
"""

from __future__ import annotations

import math
import random

from larklb import decision_constants as const
from larklb import interface as io
from larklb.fleet.leases import FleetLimits
from larklb.fleet.verdicts import Verdicts
from larklb.fleet.zones import Zones
from larklb.health import MAX_SLOWNESS, TRIAL_INTERVAL_HALF_LIVES, Attempt, Server
from larklb.records import PendingRequest
from larklb.servers import Servers


class ServerSelection:
    """The part of a gateway that chooses servers.

    ``server_limit`` is the number of attempts in flight that a server of mean weight may have, from all
    gateways together.  ``usual_latency`` is in ms, by class.  ``topics`` are the topics of judgements by
    class, see ``larklb.health.Server``.
    """

    settings: io.Settings
    random: random.Random
    verdicts: Verdicts
    server_pool: Servers
    zones: Zones
    limits: FleetLimits
    usual_latency: dict[str, float]
    topics: dict[str, int]
    server_limit: float

    def _choose_server(self, now: float, request: PendingRequest) -> Server | None:
        """The server that the next attempt of the request goes to; None if none has room.

        A probe of an avoided zone takes precedence.  Else random samples of the servers in reach are
        compared, then all of these, then all available servers.  The size of the samples grows with the share
        of all load that is visible here: where little is visible, the least loaded of all servers would be
        the same one each time.
        """
        if self.zones.reduced_fractions and (probe := self._choose_probe(now, request)) is not None:
            return probe
        # Where little load is visible no server looks full.  The sum of the visible load is therefore limited
        # to the visible share of the total limit.
        pool, visible_share, busy = (
            self.server_pool,
            self.server_pool.visible_share(now),
            self.server_pool.busy_in_open_zones(),
        )
        if (
            any(s.attempts for s in busy)
            and sum(min(s.in_flight() / self.server_limit, 1) for s in busy)
            >= len(pool.available) * visible_share
        ):
            return None
        candidates = max(const.MIN_CANDIDATES, math.ceil(len(pool.in_reach) * visible_share))
        for _ in range(const.MAX_SAMPLES if candidates < len(pool.in_reach) else 0):
            best = self._best_server(
                now,
                request,
                self.random.choices(
                    pool.in_reach, cum_weights=pool.in_reach_cumulative_weights, k=candidates),
            )
            if best is not None:
                return best
        best = (self._best_server(now, request, pool.in_reach)
                if len(pool.in_reach) < len(pool.available) else None)
        return best or self._best_server(now, request, pool.available)

    def _choose_probe(self, now: float, request: PendingRequest) -> Server | None:
        """A server of an avoided zone, if it is this gateway's turn to test whether the zone recovered."""
        zone = (
            self.zones.zone_to_probe(now)
            if request.service_class.repeat is io.RepeatPolicy.SAFE and not request.attempts
            else None
        )
        candidates = [s for s in self.server_pool.up if s.entry.zone == zone and not s.attempts
                      and self.limits.has_slot(now, s.short_id, 0)] if zone else []
        if not candidates or zone is None:
            return None
        self.zones.record_probe(now, zone)
        return self.random.choice(candidates)

    def _best_server(self, now: float, request: PendingRequest, candidates: list[Server]) -> Server | None:
        """The candidate with the lowest expected latency that may take the request and has room."""
        usual, up, topics = (
            self.usual_latency[request.service_class.name], self.server_pool.up, self._topics(request))
        median = self.server_pool.median_slowness(now, topics, usual, request.service_class.aim)
        ran, tried = request.possibly_run_attempts(), [a.server for a in request.attempts]
        mean_latency = sum(self.usual_latency.values()) / len(self.usual_latency)
        visible_share, best, best_score = self.server_pool.visible_share(now), None, (math.inf, 0)
        for server in candidates:
            warm_share = self.server_pool.warm_share(server, now)
            # Capacity relative to a server of mean weight.
            size = max(
                1e-3, server.entry.weight / self.server_pool.cumulative_weights[-1] * len(up) * warm_share)
            slowness = max(0.5, server.slowness(now, usual, topics) / median)
            in_flight = server.in_flight()
            if (warm_share <= 0
                    or in_flight >= max(1.0, self.server_limit * size * visible_share / max(1.0, slowness))
                    or ran and not self._may_retry_on(request, ran, server, now)
                    or warm_share < 1
                    and not self.server_pool.cold_server_has_room(server, now, warm_share, mean_latency)):
                continue
            # A server that refuses or loses its work looks empty.  Without this rule all waiting requests
            # would be sent there.
            if slowness >= const.SUSPECT_SLOWNESS and (
                server.attempts
                or now - server.last_judged_at(topics) < server.half_life * TRIAL_INTERVAL_HALF_LIVES
            ):
                continue
            if not self.limits.has_slot(now, server.short_id, len(server.attempts)):
                continue
            # A random sample was drawn by weight, so that the size must not count twice.
            sampled = candidates is not up and candidates is not self.server_pool.in_reach
            score = (in_flight + 1) / (1.0 if sampled else size) * slowness
            score *= MAX_SLOWNESS if server in tried else 1.0
            if self.settings.zone and server.entry.zone != self.settings.zone:
                score *= 1 + 10 * self.settings.cross_zone_charge
            # Ties are broken in an order that differs from gateway to gateway.
            if (score, server.tie_break) < best_score:
                best, best_score = server, (score, server.tie_break)
        return best

    def _topics(self, request: PendingRequest) -> tuple[int, int]:
        """The topics of judgements of the request's class and plan."""
        return self.topics[request.service_class.name], io.MAX_TOPICS - request.plan_index

    def _may_retry_on(
        self, request: PendingRequest, ran: list[Attempt], server: Server, now: float
    ) -> bool:
        """Whether a request may be sent to this server although the attempts ``ran`` may have run.

        ``ran`` has the first such attempt in front: the window starts with it, and a later server must share
        its dedup scope.
        """
        if request.service_class.repeat is io.RepeatPolicy.SAFE:
            return True
        if (
            request.service_class.repeat is io.RepeatPolicy.NEVER
            or now >= ran[0].sent_at + request.service_class.window - self.settings.tick
        ):
            return False
        first, scope = ran[0].server.entry, request.service_class.group
        return scope is io.DedupScope.ALL or (server.entry.zone == first.zone and (
            scope is io.DedupScope.ZONE or server.entry.cell == first.cell))

    def _record_judgement(self, now: float, server: Server, sample: float, *topics: int) -> None:
        """Adds a sample of the server's slowness to the moving average of each topic, and to the findings."""
        for topic in topics:
            decayed = server.decayed_slowness(now, topic)
            slowness = decayed + const.JUDGEMENT_WEIGHT * (min(MAX_SLOWNESS, sample) - decayed)
            server.judgements[topic] = (slowness, now)
            self.verdicts.record_evidence(now, server.short_id, topic, slowness)
