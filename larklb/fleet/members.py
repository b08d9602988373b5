"""The state of the other limiters as one limiter sees it.

No extra messages are sent for this: every message from a limiter shows that it is alive, and findings on
limiters travel with the other findings (``verdicts.py``).  The state follows from the messages received and
from the verdict of the fleet:

    state     last message              verdict of others   consequence
    strange   none yet                  none                requests go to it as to any other
    heard     within QUIET_AFTER_MS     any                 own observation takes precedence
    quiet     before that               none                requests go to it; its share of quotas is reserved
    silent    before that, or none yet  of a quorum         it is probed but gets no requests; the local
                                                            copy of its quotas decides

A limiter that receives nothing from any of its former peers cannot distinguish a dead fleet from its own
broken link.  It then sends no findings (``Verdicts.suspects_itself``), so that each side of a partition
relies on what that side observes.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from larklb.fleet.verdicts import BAD_SLOWNESS, LIMITER, DecayingSlowness, Verdicts

# A limiter without a message for this long is quiet (see ``quota/shares.py``).
QUIET_AFTER_MS = 1200.0
# Slowness reported for a limiter that did not answer.  The finding counts for 1.6 half-lives.
UNRESPONSIVE_SLOWNESS = 4.0


class Members:
    """One limiter's view of the other limiters.

    ``last_heard_at`` maps each peer to the time in ms of its last message; the receiver of the messages
    updates it.
    """

    def __init__(self, number: int, gateways: int, last_heard_at: Mapping[int, float],
                 verdicts: Verdicts) -> None:
        self.number, self.gateways, self.last_heard_at, self.verdicts = (
            number, gateways, last_heard_at, verdicts)

    def state(self, now: float, peer: int) -> str:
        """Return the state of a peer: one of the four in the table above."""
        last_heard = self.last_heard_at.get(peer, -math.inf)
        if now - last_heard <= QUIET_AFTER_MS:
            return "heard"
        if self.verdicts.verdict(now, peer, LIMITER) >= BAD_SLOWNESS:
            return "silent"
        return "quiet" if last_heard > -math.inf else "strange"

    def is_silent(self, now: float, peer: int) -> bool:
        """Return whether others find that a peer does not answer, and this limiter has not heard from it."""
        return self.state(now, peer) == "silent"

    def record_no_answer(self, now: float, peer: int, since: float) -> None:
        """Record that a request sent at ``since`` was not answered in spite of its retries.

        A message received from the peer meanwhile shows that it is alive and that messages are lost.
        """
        if self.last_heard_at.get(peer, -math.inf) <= since:
            self.verdicts.record_evidence(now, peer, LIMITER, UNRESPONSIVE_SLOWNESS)

    def record_message(self, now: float, peer: int) -> None:
        """Record that a message of a peer was received."""
        before = self.verdicts.own_evidence.get((peer, LIMITER))
        if before is not None and before.slowness >= BAD_SLOWNESS:
            self.verdicts.record_evidence(now, peer, LIMITER, 1.0)
        else:
            self.verdicts.own_evidence[peer, LIMITER] = DecayingSlowness(1.0, now)

    def rows(self, now: float) -> dict[str, list[int]]:
        """Return the peers by state for operators; those in state ``strange`` are left out."""
        found: dict[str, list[int]] = {"heard": [], "quiet": [], "silent": []}
        named = {subject for subject, topic in self.verdicts.current if topic == LIMITER}
        for peer in sorted({*self.last_heard_at, *named} - {self.number}):
            state = self.state(now, peer)
            if state in found:
                found[state].append(peer)
        return found
