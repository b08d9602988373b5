"""A customer's demand at one limiter, as exponentially weighted moving averages."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Time constant in ms of the average that shares are computed from.
SLOW_DECAY_MS = 10000.0
# Standard deviations by which recent demand must exceed the average to count as a shift of traffic.
SHIFT_DEVIATIONS = 1.5
# Time constant of the average that shows such a shift.
FAST_DECAY_MS = 2000.0


@dataclass(slots=True)
class Demand:
    """Units a second asked for, as a slow and a fast exponential average.

    Both are as of ``at`` (ms); ``born`` (ms) is when the averages began.
    """

    born: float
    at: float
    slow: float = 0.0
    fast: float = 0.0

    def add(self, now: float, units: float) -> None:
        """Counts a request."""
        elapsed = self.at - now
        self.slow = self.slow * math.exp(elapsed / SLOW_DECAY_MS) + units * 1000.0 / SLOW_DECAY_MS
        self.fast = self.fast * math.exp(elapsed / FAST_DECAY_MS) + units * 1000.0 / FAST_DECAY_MS
        self.at = now

    def average_rate(self, now: float) -> float:
        """Units a second over about ten seconds, corrected for the bias of the first seconds."""
        weight = 1.0 - math.exp((self.born - now) / SLOW_DECAY_MS)
        return self.slow * math.exp((self.at - now) / SLOW_DECAY_MS) / weight if weight > 0.05 else self.slow

    def recent_rate(self, now: float) -> float:
        """Units a second over about two seconds."""
        return self.fast * math.exp((self.at - now) / FAST_DECAY_MS)


def has_shifted(recent: float, average: float) -> bool:
    """Whether recent demand exceeds the average by half, and by more than a Poisson stream would vary.

    Both arguments are in units a second.
    """
    deviation = math.sqrt(max(average, 0.1) / (2.0 * FAST_DECAY_MS / 1000.0))
    return recent > 1.5 * average and recent > average + SHIFT_DEVIATIONS * deviation
