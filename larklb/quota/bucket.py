"""The token bucket of one customer, and how it follows changes of the customer's plan."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Time constant with which tokens that overflowed a full bucket are forgotten.
SPILL_DECAY_MS = 2000.0


@dataclass
class TokenBucket:
    """Fills at ``rate`` units a second up to ``burst``; ``open`` counts the open grants.

    ``tokens`` are in units, as of ``at`` (ms).
    A rate of 0 means that there is no such quota.  Tokens then stay as they are, so that a customer who
    leaves a plan with a rate and comes back to one finds what it left, not a full burst.
    """

    rate: float
    burst: float
    tokens: float
    at: float
    open: int = 0
    # When the bucket was made here (ms), full because nothing better was known.
    born: float = -math.inf
    # The plan version that rate and burst come from.
    version: int = 0
    # The part of the quota used here.  While limiters are unreachable it is below 1; the rest goes into
    # the escrow (in units), together with what overflows.
    part: float = 1.0
    escrow: float = 0.0
    # Whether the bucket was made after a restart and corrected by a peer's bucket copy.
    copied: bool = False
    # Tokens that have recently overflowed; they decay.
    spilt: float = 0.0

    def fill(self, now: float) -> float:
        """Adds what has accrued and returns the tokens at ``now``, never more than the burst."""
        if self.rate > 0:
            gain = max(0.0, now - self.at) * self.rate / 1000.0
            if self.part < 1.0:
                overflow = max(0.0, self.tokens + gain * self.part - self.burst)
                self.escrow += gain * (1.0 - self.part) + overflow
                gain *= self.part
            overflow = max(0.0, self.tokens + gain - self.burst)
            decay = math.exp(min(0.0, self.at - now) / SPILL_DECAY_MS)
            self.spilt = min(self.burst,
                             self.spilt * decay + min(overflow, self.rate * SPILL_DECAY_MS / 1000.0))
            self.tokens = min(self.burst, self.tokens + gain)
        self.at = max(self.at, now)
        return min(self.burst, self.tokens)

    def set_part(self, now: float, part: float) -> None:
        """Changes the part of the quota used here; 1 leaves the escrow until ``release_escrow``."""
        if part == self.part:
            return
        self.fill(now)
        if self.part == 1.0 and self.tokens > 0:
            # The unreachable limiters use their part of the present tokens too.
            self.escrow += self.tokens * (1.0 - part)
            self.tokens *= part
        self.part = part

    def settle(self, now: float, units: float, debt: float) -> None:
        """Takes units that were admitted elsewhere from the escrow, the spilt tokens and the bucket in turn.

        Spilt tokens count because they would have been there for these units had the owner been asked.
        The tokens go no lower than ``-debt``.
        """
        self.fill(now)
        covered = min(self.escrow, units)
        self.escrow -= covered
        from_spilt = min(self.spilt, units - covered)
        self.spilt, covered = self.spilt - from_spilt, covered + from_spilt
        if self.rate > 0:
            self.tokens = max(min(self.tokens, -debt), self.tokens - (units - covered))

    def release_escrow(self, now: float) -> None:
        """Returns to the bucket what the other limiters did not use, once all is settled."""
        self.fill(now)
        self.tokens, self.escrow = min(self.burst, self.tokens + self.escrow), 0.0

    def wait_for(self, units: float) -> float:
        """Milliseconds until the bucket holds the units."""
        return max(0.0, units - self.tokens) / self.rate * 1000.0 if self.rate > 0 else 0.0

    def give_back(self, units: float) -> None:
        """Returns units that were taken and not used."""
        if self.rate > 0:
            self.tokens = min(self.burst, self.tokens + units)

    def change(self, at: float, rate: float, burst: float) -> None:
        """Sets another rate and burst from the instant ``at`` on.

        Until then the old rate fills the bucket.  Tokens beyond a smaller burst are lost; a larger burst is
        filled at the new rate.  So no sequence of changes leaves more tokens than the rates in between have
        filled.
        """
        self.fill(max(at, self.at))
        self.rate, self.burst = rate, burst
        if rate > 0:
            self.tokens = min(self.tokens, burst)


def full_bucket(rate: float, burst: float, at: float) -> TokenBucket:
    """The bucket of a new customer: full, as in the design; without a rate its tokens are infinite."""
    return TokenBucket(rate, burst, burst if rate > 0 else math.inf, at, 0, at)
