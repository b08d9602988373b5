"""How a gateway sees one server: what is out there, and how slow it looks.  Decides nothing, no I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from larklb import interface as io
from larklb.fleet.verdicts import ALL_WORK as ALL_WORK
from larklb.fleet.verdicts import Mark
from larklb.quota.ring import digest

MAX_SLOWNESS = 12.0               # slowness that an error, time-out or refused connection counts as
# of that half-life passes between trials of a suspect, which are one at a time
TRIAL_INTERVAL_HALF_LIVES = 0.25


@dataclass(eq=False)
class Attempt:
    server: Server
    sent_at: float
    in_flight: bool = True
    may_have_run: bool = True


class Server:
    """One server as this gateway sees it."""

    def __init__(self, entry: io.Entry, number: int, half_life: float) -> None:
        self.entry, self.half_life = entry, half_life         # half-life of judgements
        self.short_id = digest(entry.server) & 0xFFFF or 1   # 0 is no server's
        self.tie_break = digest(f"{number}/{entry.server}")   # gateways break ties differently
        self.attempts: list[Attempt] = []                 # out from here, oldest first
        self.peers_in_flight = 0                                   # attempts out from peers heard of lately
        # slowness by topic, and when it was judged here
        self.judgements: dict[int, tuple[float, float]] = {}
        # the fleet's verdicts by topic, without one's own
        self.fleet_verdicts: dict[int, Mark] = {}
        self.last_answer_at = -math.inf
        self.last_sent = -math.inf
        # part of the wait between sends while it is cold
        self.wait_factor = 1.0
        # of what it stands then that is this gateway's
        self.gateway_share = 1.0

    def slowness(self, now: float, usual: float, topics: tuple[int, int]) -> float:
        """Answers, errors and silence on one scale; a class judged just now goes by that, not by all work."""
        if not self.attempts and not self.judgements and not self.fleet_verdicts:
            return 1.0
        silent = now - max(self.attempts[0].sent_at, self.last_answer_at) if self.attempts else 0.0
        slow = max(
            min(MAX_SLOWNESS, silent / usual),
            self.decayed_slowness(now, topics[0]),
            self.decayed_slowness(now, topics[1]),
        )
        fresh = now - self.last_judged_at(topics[:1]) < self.half_life * TRIAL_INTERVAL_HALF_LIVES
        return slow if fresh else max(slow, self.decayed_slowness(now, ALL_WORK))

    def decayed_slowness(self, now: float, topic: int) -> float:
        """One's own judgement, and where that is not fresh the fleet's too, whichever is worse."""
        slow, at = self.judgements.get(topic, (1.0, -math.inf))
        mine = 1.0 + (slow - 1.0) * math.exp2(-max(0.0, now - at) / self.half_life)
        told = self.fleet_verdicts.get(topic)
        if told is None or now - at < self.half_life * TRIAL_INTERVAL_HALF_LIVES:
            return mine
        return max(mine, 1.0 + (told.slow - 1.0) * math.exp2(-max(0.0, now - told.at) / self.half_life))

    def last_judged_at(self, topics: Sequence[int]) -> float:
        """When it was last judged, here or by those who make up the fleet's verdict."""
        return max(
            (marks[t][1] for marks in (self.judgements, self.fleet_verdicts) for t in topics if t in marks),
            default=-math.inf,
        )

    def in_flight(self) -> int:
        return len(self.attempts) + self.peers_in_flight
