"""Which limiters are there, as one of them sees it.

Nothing is sent to find out: every word that passes between limiters tells, and findings on limiters ride on
the others (``verdicts.py``).  The states, from what was heard of a limiter oneself and what others found:

    state     it was heard of    others' verdict   what follows
    strange   never              none              it is asked as any other
    heard     within APART_MS    any               one's own ears outweigh what others say
    quiet     before             none              it is asked; its share of quotas is kept aside
    silent    before, or never   a quorum's        it is knocked at, not asked; the late copy decides

A limiter that hears nobody of those whom it heard before cannot tell a dead fleet from its own broken link.
It tells no findings then (``Verdicts.doubts``), so that each side of a cut goes by what that side sees.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from larklb.fleet.verdicts import BAD, LIMITER, Mark, Verdicts

APART_MS = 1200.0          # without a word from a limiter that was heard: it is quiet (``quota/shares.py``)
UNHEARD = 4.0              # how bad a limiter is found that did not answer: it counts for 1.6 half-lives


class Members:
    """One limiter's view of the others; ``heard_at`` is kept by whoever receives words."""

    def __init__(self, number: int, gateways: int, heard_at: Mapping[int, float], verdicts: Verdicts) -> None:
        self.number, self.gateways, self.heard_at, self.verdicts = number, gateways, heard_at, verdicts

    def state(self, now: float, peer: int) -> str:
        """One of the four states of the table above."""
        at = self.heard_at.get(peer, -math.inf)
        if now - at <= APART_MS:
            return "heard"
        if self.verdicts.verdict(now, peer, LIMITER) >= BAD:
            return "silent"
        return "quiet" if at > -math.inf else "strange"

    def silent(self, now: float, peer: int) -> bool:
        """Whether others have found that it does not answer, and nothing was heard of it here lately."""
        return self.state(now, peer) == "silent"

    def unheard(self, now: float, peer: int, since: float) -> None:
        """An ask went to it in vain, through all its tries; what was heard of it meanwhile shows that it is
        there, and that words get lost."""
        if self.heard_at.get(peer, -math.inf) <= since:
            self.verdicts.found(now, peer, LIMITER, UNHEARD)

    def heard(self, now: float, peer: int) -> None:
        """A word of it came."""
        before = self.verdicts.looked.get((peer, LIMITER))
        if before is not None and before.slow >= BAD:
            self.verdicts.found(now, peer, LIMITER, 1.0)
        else:
            self.verdicts.looked[peer, LIMITER] = Mark(1.0, now)

    def rows(self, now: float) -> dict[str, list[int]]:
        """For an operator: the others by state; strangers are those left out."""
        found: dict[str, list[int]] = {"heard": [], "quiet": [], "silent": []}
        named = {subject for subject, topic in self.verdicts.by if topic == LIMITER}
        for peer in sorted({*self.heard_at, *named} - {self.number}):
            state = self.state(now, peer)
            if state in found:
                found[state].append(peer)
        return found
