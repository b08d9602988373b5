"""The circuit breaker that keeps a limiter from asking an owner that does not answer."""

from __future__ import annotations

import math
from dataclasses import dataclass

# The values are those of the design.
# Consecutive failed asks (given up without a reply) that open the breaker.
BREAKER_FAILURES = 3
# Time until a trial ask is allowed.
BREAKER_OPEN_MS = 30000.0
# The open period is longer by a random fraction of up to this, so that the limiters' trial asks do not
# coincide.
BREAKER_JITTER = 0.2


@dataclass
class CircuitBreaker:
    """The breaker for one owner.

    BREAKER_FAILURES failures in a row open it; after BREAKER_OPEN_MS one trial ask decides whether it stays
    open.  Whoever holds the breaker drops it at any message from the owner.  Times are in ms.
    """

    failures: int = 0
    open_until: float = -math.inf
    trial: bool = False

    def allows(self, now: float) -> bool:
        """Whether the owner may be asked; the answer that ends an open period starts the trial."""
        if self.failures < BREAKER_FAILURES:
            return True
        if now < self.open_until or self.trial:
            return False
        self.trial = True
        return True

    def record_failure(self, now: float, jitter: float) -> None:
        """Counts a failed ask; ``jitter`` is a random number from 0 to 1 that lengthens the open period."""
        self.failures += 1
        if self.failures >= BREAKER_FAILURES and (self.trial or now >= self.open_until):
            self.open_until = now + BREAKER_OPEN_MS * (1 + BREAKER_JITTER * jitter)
            self.trial = False
