"""How much a customer asks for at one limiter, as an average that forgets."""

from __future__ import annotations

import math
from dataclasses import dataclass

SLOW_DECAY_MS = 10000.0          # time constant of what shares go by
SHIFT_DEVIATIONS = 1.5                 # standard deviations beyond which demand is not chance any more
FAST_DECAY_MS = 2000.0           # ... and of what shows that traffic has moved


@dataclass(slots=True)
class Demand:
    """Units a second wanted lately, slowly and quickly forgotten (exponentially, unbiased from the start)."""

    born: float
    at: float
    slow: float = 0.0
    fast: float = 0.0

    def add(self, now: float, units: float) -> None:
        gone = self.at - now
        self.slow = self.slow * math.exp(gone / SLOW_DECAY_MS) + units * 1000.0 / SLOW_DECAY_MS
        self.fast = self.fast * math.exp(gone / FAST_DECAY_MS) + units * 1000.0 / FAST_DECAY_MS
        self.at = now

    def average_rate(self, now: float) -> float:
        """Units a second over some ten seconds."""
        seen = 1.0 - math.exp((self.born - now) / SLOW_DECAY_MS)
        return self.slow * math.exp((self.at - now) / SLOW_DECAY_MS) / seen if seen > 0.05 else self.slow

    def recent_rate(self, now: float) -> float:
        """Units a second over some two seconds."""
        return self.fast * math.exp((self.at - now) / FAST_DECAY_MS)


def has_shifted(lately: float, usual: float) -> bool:
    """Whether demand is beyond what chance makes of the usual (for a Poisson stream)."""
    chance = math.sqrt(max(usual, 0.1) / (2.0 * FAST_DECAY_MS / 1000.0))
    return lately > 1.5 * usual and lately > usual + SHIFT_DEVIATIONS * chance
