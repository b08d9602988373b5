"""The token bucket of one customer, and what becomes of it when its plan changes."""

from __future__ import annotations

import math
from dataclasses import dataclass

SPILL_DECAY_MS = 2000.0    # what a bucket could not hold so long ago would not have been there for others


@dataclass
class TokenBucket:
    """Fills at ``rate`` units a second up to ``burst``; also counts the open grants.

    A rate of 0 means that there is no such quota: tokens then rest as they are, so that a customer who leaves
    a plan with a rate and comes back to one finds what it left, not a fresh burst.
    """

    rate: float
    burst: float
    tokens: float
    at: float
    open: int = 0
    born: float = -math.inf     # when it was made here, full for want of better knowledge
    version: int = 0            # of the plans, that its figures come from
    part: float = 1.0           # of what fills is for this side, while some limiters are apart ...
    escrow: float = 0.0         # ... and the rest is kept here, with what the bucket could not hold
    copied: bool = False        # made anew, and put right by a peer's late copy
    spilt: float = 0.0          # what it could not hold lately

    def fill(self, now: float) -> float:
        """Tokens at ``now``, never more than the burst."""
        if self.rate > 0:
            gain = max(0.0, now - self.at) * self.rate / 1000.0
            if self.part < 1.0:
                over = max(0.0, self.tokens + gain * self.part - self.burst)
                self.escrow += gain * (1.0 - self.part) + over
                gain *= self.part
            over = max(0.0, self.tokens + gain - self.burst)
            faded = math.exp(min(0.0, self.at - now) / SPILL_DECAY_MS)
            self.spilt = min(self.burst, self.spilt * faded + min(over, self.rate * SPILL_DECAY_MS / 1000.0))
            self.tokens = min(self.burst, self.tokens + gain)
        self.at = max(self.at, now)
        return min(self.burst, self.tokens)

    def set_part(self, now: float, part: float) -> None:
        """From now on this side has a part of the quota; 1 leaves the escrow until it is released."""
        if part == self.part:
            return
        self.fill(now)
        if self.part == 1.0 and self.tokens > 0:
            self.escrow += self.tokens * (1.0 - part)        # those apart count on it too
            self.tokens *= part
        self.part = part

    def settle(self, now: float, units: float, debt: float) -> None:
        """Units that were let in elsewhere: from the escrow first, then from what was spilt of late, which
        would have been there for them; the tokens go no lower than ``-debt``."""
        self.fill(now)
        covered = min(self.escrow, units)
        self.escrow -= covered
        again = min(self.spilt, units - covered)
        self.spilt, covered = self.spilt - again, covered + again
        if self.rate > 0:
            self.tokens = max(min(self.tokens, -debt), self.tokens - (units - covered))

    def release_escrow(self, now: float) -> None:
        """All has been settled: what the others did not use returns."""
        self.fill(now)
        self.tokens, self.escrow = min(self.burst, self.tokens + self.escrow), 0.0

    def wait_for(self, units: float) -> float:
        """Milliseconds until it holds the units."""
        return max(0.0, units - self.tokens) / self.rate * 1000.0 if self.rate > 0 else 0.0

    def give_back(self, units: float) -> None:
        if self.rate > 0:
            self.tokens = min(self.burst, self.tokens + units)

    def change(self, at: float, rate: float, burst: float) -> None:
        """From the instant ``at`` on other figures hold; what has filled until then the old ones have filled.

        Tokens beyond a smaller burst are gone; a larger one is filled at the new rate.  So no sequence of
        changes leaves more tokens than the rates in between have filled.
        """
        self.fill(max(at, self.at))
        self.rate, self.burst = rate, burst
        if rate > 0:
            self.tokens = min(self.tokens, burst)


def full_bucket(rate: float, burst: float, at: float) -> TokenBucket:
    """A bucket of a customer not seen before: full (design); without a rate it has not begun to count."""
    return TokenBucket(rate, burst, burst if rate > 0 else math.inf, at, 0, at)
