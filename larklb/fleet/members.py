"""Which limiters are there, as one of them sees it.

Nothing is sent to find out: every word that passes between limiters tells, and findings on limiters ride on
the others (``verdicts.py``).  The states, from what was heard of a limiter oneself and what others found:

    state     it was heard of    others' verdict   what follows
    strange   never              none              it is asked as any other
    heard     within QUIET_AFTER_MS    any               one's own ears outweigh what others say
    quiet     before             none              it is asked; its share of quotas is kept aside
    silent    before, or never   a quorum's        it is knocked at, not asked; the late copy decides

A limiter that hears nobody of those whom it heard before cannot tell a dead fleet from its own broken link.
It tells no findings then (``Verdicts.doubts``), so that each side of a cut goes by what that side sees.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from larklb.fleet.verdicts import BAD_SLOWNESS, LIMITER, DecayingSlowness, Verdicts

# without a word from a limiter that was heard: it is quiet (``quota/shares.py``)
QUIET_AFTER_MS = 1200.0
# how bad a limiter is found that did not answer: it counts for 1.6 half-lives
UNRESPONSIVE_SLOWNESS = 4.0


class Members:
    """One limiter's view of the others; ``heard_at`` is kept by whoever receives words."""

    def __init__(self, number: int, gateways: int, heard_at: Mapping[int, float], verdicts: Verdicts) -> None:
        self.number, self.gateways, self.last_heard_at, self.verdicts = number, gateways, heard_at, verdicts

    def state(self, now: float, peer: int) -> str:
        """One of the four states of the table above."""
        at = self.last_heard_at.get(peer, -math.inf)
        if now - at <= QUIET_AFTER_MS:
            return "heard"
        if self.verdicts.verdict(now, peer, LIMITER) >= BAD_SLOWNESS:
            return "silent"
        return "quiet" if at > -math.inf else "strange"

    def is_silent(self, now: float, peer: int) -> bool:
        """Whether others have found that it does not answer, and nothing was heard of it here lately."""
        return self.state(now, peer) == "silent"

    def record_no_answer(self, now: float, peer: int, since: float) -> None:
        """An ask went to it in vain, through all its tries; what was heard of it meanwhile shows that it is
        there, and that words get lost."""
        if self.last_heard_at.get(peer, -math.inf) <= since:
            self.verdicts.record_evidence(now, peer, LIMITER, UNRESPONSIVE_SLOWNESS)

    def record_message(self, now: float, peer: int) -> None:
        """A word of it came."""
        before = self.verdicts.own_evidence.get((peer, LIMITER))
        if before is not None and before.slowness >= BAD_SLOWNESS:
            self.verdicts.record_evidence(now, peer, LIMITER, 1.0)
        else:
            self.verdicts.own_evidence[peer, LIMITER] = DecayingSlowness(1.0, now)

    def rows(self, now: float) -> dict[str, list[int]]:
        """For an operator: the others by state; strangers are those left out."""
        found: dict[str, list[int]] = {"heard": [], "quiet": [], "silent": []}
        named = {subject for subject, topic in self.verdicts.current if topic == LIMITER}
        for peer in sorted({*self.last_heard_at, *named} - {self.number}):
            state = self.state(now, peer)
            if state in found:
                found[state].append(peer)
        return found
