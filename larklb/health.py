"""One server as a gateway sees it: the attempts in flight there, and how slow it looks.

This module decides nothing and does no input or output.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from larklb import interface as io
from larklb.fleet.verdicts import ALL_WORK as ALL_WORK
from larklb.fleet.verdicts import DecayingSlowness
from larklb.quota.ring import digest

# Slowness that an error, a timeout or a refused connection counts as; no slowness is recorded above it.
MAX_SLOWNESS = 12.0
# Time between two trials of a suspect server, in half-lives of judgements.  There is one trial at a time.
TRIAL_INTERVAL_HALF_LIVES = 0.25


@dataclass(eq=False)
class Attempt:
    """One attempt at a server; ``sent_at`` is in ms.

    Compared by identity.  ``may_have_run`` stays true until an outcome proves that the server did not run it.
    """

    server: Server
    sent_at: float
    in_flight: bool = True
    may_have_run: bool = True


class Server:
    """One server as this gateway sees it.

    ``slowness`` is relative to the usual latency of a class: 1.0 is normal, ``MAX_SLOWNESS`` the worst.
    Judgements of this gateway and verdicts of the fleet are kept by topic: a service class, a plan, or
    ``ALL_WORK``.
    """

    def __init__(self, entry: io.Entry, number: int, half_life: float) -> None:
        """``number`` is this gateway's; ``half_life`` of judgements is in ms."""
        self.entry, self.half_life = entry, half_life
        self.short_id = digest(entry.server) & 0xFFFF or 1   # 0 stands for no server
        self.tie_break = digest(f"{number}/{entry.server}")   # gateways break ties differently
        # Attempts in flight from this gateway, oldest first.
        self.attempts: list[Attempt] = []
        # Attempts in flight from peers that have reported lately.
        self.peers_in_flight = 0
        # This gateway's own judgements: slowness, and the time of the last judgement.
        self.judgements: dict[int, tuple[float, float]] = {}
        # Verdicts of the fleet, without this gateway's own judgements.
        self.fleet_verdicts: dict[int, DecayingSlowness] = {}
        self.last_answer_at = -math.inf
        self.last_sent_at = -math.inf
        # Part of the interval between sends that applies while the server is cold.
        self.wait_factor = 1.0
        # Part of the capacity of the server while it is cold that this gateway may use.
        self.gateway_share = 1.0

    def slowness(self, now: float, usual: float, topics: tuple[int, int]) -> float:
        """The slowness of the server for a class and a plan (``topics``), from answers, errors and silence.

        ``usual`` is the usual latency of the class in ms.  The slowness is the worst of the judgements of the
        class and the plan and of the time that the server has been silent with attempts in flight.  The
        judgement of all work counts too unless that of the class is recent.
        """
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
        """The slowness judged for a topic, decayed to ``now``.

        It is this gateway's own judgement and, where that is not fresh, also the fleet's: the worse of both.
        """
        slow, at = self.judgements.get(topic, (1.0, -math.inf))
        own = 1.0 + (slow - 1.0) * math.exp2(-max(0.0, now - at) / self.half_life)
        verdict = self.fleet_verdicts.get(topic)
        if verdict is None or now - at < self.half_life * TRIAL_INTERVAL_HALF_LIVES:
            return own
        return max(
            own,
            1.0 + (verdict.slowness - 1.0) * math.exp2(-max(0.0, now - verdict.at) / self.half_life),
        )

    def last_judged_at(self, topics: Sequence[int]) -> float:
        """When the server was last judged for these topics, here or by the gateways behind a verdict."""
        return max(
            (marks[t][1] for marks in (self.judgements, self.fleet_verdicts) for t in topics if t in marks),
            default=-math.inf,
        )

    def in_flight(self) -> int:
        """Attempts in flight there, from this gateway and, as far as is known, from its peers."""
        return len(self.attempts) + self.peers_in_flight
