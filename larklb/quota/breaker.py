"""The circuit breaker of one owner, as the design has it."""

from __future__ import annotations

import math
from dataclasses import dataclass

BREAKER_FAILURES = 3       # asks failed in a row that open a breaker (design)
BREAKER_OPEN_MS = 30000.0  # how long it stays open (design) ...
BREAKER_JITTER = 0.2       # ... and up to this much longer, so that trials do not come together (design)


@dataclass
class CircuitBreaker:
    """Of one owner: three failures open it, then one trial decides; any word drops it."""

    failures: int = 0
    open_until: float = -math.inf
    trial: bool = False

    def allows(self, now: float) -> bool:
        if self.failures < BREAKER_FAILURES:
            return True
        if now < self.open_until or self.trial:
            return False
        self.trial = True
        return True

    def record_failure(self, now: float, jitter: float) -> None:
        self.failures += 1
        if self.failures >= BREAKER_FAILURES and (self.trial or now >= self.open_until):
            self.open_until = now + BREAKER_OPEN_MS * (1 + BREAKER_JITTER * jitter)
            self.trial = False
