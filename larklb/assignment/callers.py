"""How many servers a caller needs, by its request rate.  No I/O; times are arguments in ms."""

from __future__ import annotations

import math

from attrs import define, field

# Time constant with which a caller's work decays: its rate is that of the last seconds.
WORK_DECAY_MS = 5_000.0
# Part of a server's slots that one caller may fill before it gets another server.
MAX_SLOT_SHARE = 0.5
# Minimum time between two additions of a server to a caller's subset, divided by how many are missing, so
# that a surge is met in seconds.
GROW_MS = 1_000.0
# Minimum time between two removals.
SHRINK_MS = 2_000.0
# The subset shrinks by one server only if the need is below the smaller size by this many servers.
SHRINK_MARGIN = 0.5
# Maximum number of callers that are recorded; those with the oldest requests are discarded first.
MAX_CALLERS = 65_536


@define
class _CallerRate:
    """What one caller sends."""

    work: float = 0.0  # ms of slot time, decayed, as of ``updated_at``
    updated_at: float = -math.inf
    subset_size: int = 1
    resized_at: float = -math.inf


@define
class CallerRates:
    """The request rates of all callers as one limiter sees them.

    ``mean_slots``: slots of a server on average.  ``limiter_count``: limiters that a caller's requests are
    divided among; the rate seen here is multiplied by it.  ``max_servers``: number of servers.
    """

    mean_slots: float = 4.0
    limiter_count: int = 1
    max_servers: int = 1 << 30
    _rates: dict[int, _CallerRate] = field(factory=dict, init=False)

    def record_request(self, now: float, caller: int, work_ms: float) -> None:
        """Records a request of the caller that occupies a slot for ``work_ms``."""
        rate = self._rates.pop(caller, None)
        if rate is None:
            rate = _CallerRate()
            if len(self._rates) >= MAX_CALLERS:
                del self._rates[next(iter(self._rates))]
        self._rates[caller] = rate  # moves the caller to the end: the dict is in the order of last requests
        rate.work = rate.work * math.exp(min(0.0, rate.updated_at - now) / WORK_DECAY_MS) + work_ms
        rate.updated_at = max(rate.updated_at, now)

    def needed_servers(self, now: float, caller: int) -> float:
        """Returns how many servers the caller's rate needs, as a fraction; 0 for an unknown caller."""
        rate = self._rates.get(caller)
        if rate is None:
            return 0.0
        busy_slots = rate.work * math.exp(min(0.0, rate.updated_at - now) / WORK_DECAY_MS) / WORK_DECAY_MS
        return busy_slots * self.limiter_count / (max(1.0, self.mean_slots) * MAX_SLOT_SHARE)

    def subset_size(self, now: float, caller: int) -> int:
        """Returns how many servers the caller is spread over; it changes by at most one per call."""
        rate = self._rates.get(caller)
        if rate is None:
            return 1
        needed, elapsed = (
            min(float(self.max_servers), self.needed_servers(now, caller)),
            now - rate.resized_at,
        )
        if needed > rate.subset_size and elapsed >= GROW_MS / max(1.0, needed - rate.subset_size):
            rate.subset_size, rate.resized_at = rate.subset_size + 1, now
        elif rate.subset_size > 1 and needed < rate.subset_size - 1 - SHRINK_MARGIN and elapsed >= SHRINK_MS:
            rate.subset_size, rate.resized_at = rate.subset_size - 1, now
        return rate.subset_size
