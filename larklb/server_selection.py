"""Choice of the server for an attempt, and the judgements of servers that it goes by.

``Gateway`` in ``decide.py`` inherits this and creates all attributes; no input or output.
"""

from __future__ import annotations

import math
import random

from larklb import decision_constants as const
from larklb import interface as io
from larklb.fleet.leases import Limits
from larklb.fleet.verdicts import Verdicts
from larklb.fleet.zones import Zones
from larklb.health import MAX_SLOWNESS, TRIAL_INTERVAL_HALF_LIVES, Attempt, Server
from larklb.records import PendingRequest
from larklb.servers import Servers


class ServerSelection:
    """The part of a gateway that chooses servers."""

    settings: io.Settings
    random: random.Random
    verdicts: Verdicts
    server_pool: Servers
    zones: Zones
    limits: Limits
    usual_latency: dict[str, float]
    topics: dict[str, int]
    server_limit: float

    def _choose_server(self, now: float, h: PendingRequest) -> Server | None:
        """Of as many servers as it sees the work of: with little seen "least" would always be the same."""
        if self.zones.parts and (probe := self._choose_probe(now, h)) is not None:
            return probe
        # Where little is seen no server looks full: all that is out is kept to the part of the room seen.
        view, seen, busy = (
            self.server_pool,
            self.server_pool.visible_share(now),
            self.server_pool.busy_in_open_zones(),
        )
        if (
            any(s.attempts for s in busy)
            and sum(min(s.in_flight() / self.server_limit, 1) for s in busy) >= len(view.available) * seen
        ):
            return None
        looks = max(const.MIN_CANDIDATES, math.ceil(len(view.in_reach) * seen))
        for _ in range(const.MAX_SAMPLES if looks < len(view.in_reach) else 0):
            best = self._best_server(
                now,
                h,
                self.random.choices(view.in_reach, cum_weights=view.in_reach_cumulative_weights, k=looks),
            )
            if best is not None:
                return best
        best = self._best_server(now, h, view.in_reach) if len(view.in_reach) < len(view.available) else None
        return best or self._best_server(now, h, view.available)

    def _choose_probe(self, now: float, h: PendingRequest) -> Server | None:
        """A server of a zone that was left, where it is this limiter's turn to see whether it is back."""
        name = (
            self.zones.probe(now)
            if h.service_class.repeat is io.RepeatPolicy.SAFE and not h.attempts
            else None
        )
        there = [s for s in self.server_pool.up if s.entry.zone == name and not s.attempts
                 and self.limits.room(now, s.short_id, 0)] if name else []
        if not there or name is None:
            return None
        self.zones.probes(now, name)
        return self.random.choice(there)

    def _best_server(self, now: float, h: PendingRequest, among: list[Server]) -> Server | None:
        """The server that looks quickest, of those that may take the request and have room."""
        usual, up, topics = self.usual_latency[h.service_class.name], self.server_pool.up, self._topics(h)
        median = self.server_pool.median_slowness(now, topics, usual, h.service_class.aim)
        ran, tried = h.possibly_run_attempts(), [a.server for a in h.attempts]
        ordinary = sum(self.usual_latency.values()) / len(self.usual_latency)
        seen, best, best_score = self.server_pool.visible_share(now), None, (math.inf, 0)
        for s in among:
            warmth = self.server_pool.warm_share(s, now)
            size = max(1e-3, s.entry.weight / self.server_pool.cumulative_weights[-1] * len(up) * warmth)
            slow = max(0.5, s.slowness(now, usual, topics) / median)
            n = s.in_flight()
            if (warmth <= 0 or n >= max(1.0, self.server_limit * size * seen / max(1.0, slow))
                    or ran and not self._may_retry_on(h, ran, s, now)
                    or warmth < 1 and not self.server_pool.cold_server_has_room(s, now, warmth, ordinary)):
                continue
            # A server that refuses or swallows work looks empty: without this it would draw all that waits.
            if slow >= const.SUSPECT_SLOWNESS and (
                s.attempts or now - s.last_judged_at(topics) < s.half_life * TRIAL_INTERVAL_HALF_LIVES
            ):
                continue
            if not self.limits.room(now, s.short_id, len(s.attempts)):
                continue
            # a draw has weighed the size
            drawn = among is not up and among is not self.server_pool.in_reach
            score = (n + 1) / (1.0 if drawn else size) * slow
            score *= MAX_SLOWNESS if s in tried else 1.0
            if self.settings.zone and s.entry.zone != self.settings.zone:
                score *= 1 + 10 * self.settings.cross_zone_charge
            if (score, s.tie_break) < best_score:      # each gateway has an order of its own
                best, best_score = s, (score, s.tie_break)
        return best

    def _topics(self, h: PendingRequest) -> tuple[int, int]:
        return self.topics[h.service_class.name], io.MAX_TOPICS - h.plan_index

    def _may_retry_on(self, h: PendingRequest, ran: list[Attempt], s: Server, now: float) -> bool:
        """Whether a request that may have run may go to this server too (rule 2)."""
        if h.service_class.repeat is io.RepeatPolicy.SAFE:
            return True
        if (
            h.service_class.repeat is io.RepeatPolicy.NEVER
            or now >= ran[0].sent_at + h.service_class.window - self.settings.tick
        ):
            return False
        first, same = ran[0].server.entry, h.service_class.group
        return same is io.DedupScope.ALL or (s.entry.zone == first.zone and (
            same is io.DedupScope.ZONE or s.entry.cell == first.cell))

    def _record_judgement(self, now: float, server: Server, sample: float, *topics: int) -> None:
        for topic in topics:
            faded = server.decayed_slowness(now, topic)
            slow = faded + const.JUDGEMENT_WEIGHT * (min(MAX_SLOWNESS, sample) - faded)
            server.judgements[topic] = (slow, now)
            self.verdicts.found(now, server.short_id, topic, slow)
