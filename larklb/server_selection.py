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
from larklb.health import TRIAL_PART, WORST, Attempt, Server
from larklb.records import Held
from larklb.servers import Servers


class ServerSelection:
    """The part of a gateway that chooses servers."""

    s: io.Settings
    random: random.Random
    verdicts: Verdicts
    view: Servers
    zones: Zones
    limits: Limits
    usual: dict[str, float]
    topics: dict[str, int]
    room: float

    def _choose(self, now: float, h: Held) -> Server | None:
        """Of as many servers as it sees the work of: with little seen "least" would always be the same."""
        if self.zones.parts and (probe := self._probe(now, h)) is not None:
            return probe
        # Where little is seen no server looks full: all that is out is kept to the part of the room seen.
        view, seen, busy = self.view, self.view.seen(now), self.view.used()
        if (any(s.attempts for s in busy)
                and sum(min(s.out() / self.room, 1) for s in busy) >= len(view.able) * seen):
            return None
        looks = max(const.LOOKS, math.ceil(len(view.near) * seen))
        for _ in range(const.DRAWS if looks < len(view.near) else 0):
            best = self._best(now, h, self.random.choices(view.near, cum_weights=view.near_weights, k=looks))
            if best is not None:
                return best
        best = self._best(now, h, view.near) if len(view.near) < len(view.able) else None
        return best or self._best(now, h, view.able)

    def _probe(self, now: float, h: Held) -> Server | None:
        """A server of a zone that was left, where it is this limiter's turn to see whether it is back."""
        name = self.zones.probe(now) if h.cls.repeat is io.Repeat.SAFE and not h.attempts else None
        there = [s for s in self.view.up if s.entry.zone == name and not s.attempts
                 and self.limits.room(now, s.short, 0)] if name else []
        if not there or name is None:
            return None
        self.zones.probes(now, name)
        return self.random.choice(there)

    def _best(self, now: float, h: Held, among: list[Server]) -> Server | None:
        """The server that looks quickest, of those that may take the request and have room."""
        usual, up, topics = self.usual[h.cls.name], self.view.up, self._topics(h)
        median = self.view.median(now, topics, usual, h.cls.aim)
        ran, tried = h.ran(), [a.server for a in h.attempts]
        ordinary = sum(self.usual.values()) / len(self.usual)
        seen, best, best_score = self.view.seen(now), None, (math.inf, 0)
        for s in among:
            warmth = self.view.warmth(s, now)
            size = max(1e-3, s.entry.weight / self.view.weights[-1] * len(up) * warmth)
            slow = max(0.5, s.slowness(now, usual, topics) / median)
            n = s.out()
            if (warmth <= 0 or n >= max(1.0, self.room * size * seen / max(1.0, slow))
                    or ran and not self._may_follow(h, ran, s, now)
                    or warmth < 1 and not self.view.cold_room(s, now, warmth, ordinary)):
                continue
            # A server that refuses or swallows work looks empty: without this it would draw all that waits.
            if slow >= const.SUSPECT and (s.attempts or now - s.judged(topics) < s.forgive * TRIAL_PART):
                continue
            if not self.limits.room(now, s.short, len(s.attempts)):
                continue
            drawn = among is not up and among is not self.view.near       # a draw has weighed the size
            score = (n + 1) / (1.0 if drawn else size) * slow
            score *= WORST if s in tried else 1.0
            if self.s.zone and s.entry.zone != self.s.zone:
                score *= 1 + 10 * self.s.cross_zone_charge
            if (score, s.order) < best_score:      # each gateway has an order of its own
                best, best_score = s, (score, s.order)
        return best

    def _topics(self, h: Held) -> tuple[int, int]:
        return self.topics[h.cls.name], io.MOST_TOPICS - h.plan_number

    def _may_follow(self, h: Held, ran: list[Attempt], s: Server, now: float) -> bool:
        """Whether a request that may have run may go to this server too (rule 2)."""
        if h.cls.repeat is io.Repeat.SAFE:
            return True
        if h.cls.repeat is io.Repeat.NEVER or now >= ran[0].sent + h.cls.window - self.s.tick:
            return False
        first, same = ran[0].server.entry, h.cls.group
        return same is io.Group.ALL or (s.entry.zone == first.zone and (
            same is io.Group.ZONE or s.entry.cell == first.cell))

    def _judge(self, now: float, server: Server, sample: float, *topics: int) -> None:
        for topic in topics:
            faded = server.faded(now, topic)
            slow = faded + const.JUDGE * (min(WORST, sample) - faded)
            server.marks[topic] = (slow, now)
            self.verdicts.found(now, server.short, topic, slow)
