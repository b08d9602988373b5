"""The token bucket of one customer, and what becomes of it when its plan changes."""

from __future__ import annotations

import math
from dataclasses import dataclass


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

    def fill(self, now: float) -> float:
        """Tokens at ``now``, never more than the burst."""
        if self.rate > 0:
            self.tokens = min(self.burst, self.tokens + max(0.0, now - self.at) * self.rate / 1000.0)
        self.at = max(self.at, now)
        return min(self.burst, self.tokens)

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


def fresh(rate: float, burst: float, at: float) -> TokenBucket:
    """A bucket of a customer not seen before: full (design); without a rate it has not begun to count."""
    return TokenBucket(rate, burst, burst if rate > 0 else math.inf, at, 0, at)
