"""How many servers a caller needs, by its rate.  No I/O; time is an argument in ms."""

from __future__ import annotations

import math

from attrs import define, field

FADE_MS = 5_000.0  # a caller's work fades with this time constant: its rate is that of some seconds
PART = 0.5  # of a server's slots that one caller may fill before it gets one more server
GROW_MS = 1_000.0  # between two more servers, over how many are wanting: a surge is met in seconds
SHRINK_MS = 2_000.0  # between two fewer servers
SLACK = 0.5  # of a server's part by which the need must lie below before the set shrinks
CALLERS_MOST = 65_536  # callers that are known at once; those seen longest ago are forgotten


@define
class _Flow:
    """What one caller sends."""

    work: float = 0.0  # ms of slots, faded, as of ...
    at: float = -math.inf
    subset_size: int = 1
    changed: float = -math.inf


@define
class CallerRates:
    """The rates of all callers as one limiter sees them.

    `slots`: of a server in the mean.  `limiters`: among how many a caller's requests are divided; what is
    seen here counts for all of them.  `most`: servers there are.
    """

    mean_slots: float = 4.0
    limiter_count: int = 1
    max_servers: int = 1 << 30
    _of: dict[int, _Flow] = field(factory=dict, init=False)

    def record_request(self, now: float, caller: int, work_ms: float) -> None:
        """A request of the caller that holds a slot for `work_ms`."""
        flow = self._of.pop(caller, None)
        if flow is None:
            flow = _Flow()
            if len(self._of) >= CALLERS_MOST:
                del self._of[next(iter(self._of))]
        self._of[caller] = flow  # the last is the one seen last
        flow.work = flow.work * math.exp(min(0.0, flow.at - now) / FADE_MS) + work_ms
        flow.at = max(flow.at, now)

    def needed_servers(self, now: float, caller: int) -> float:
        """Servers that the caller's rate asks for, with fractions."""
        flow = self._of.get(caller)
        if flow is None:
            return 0.0
        busy = flow.work * math.exp(min(0.0, flow.at - now) / FADE_MS) / FADE_MS
        return busy * self.limiter_count / (max(1.0, self.mean_slots) * PART)

    def subset_size(self, now: float, caller: int) -> int:
        """How many servers the caller has; one more or one fewer than at the last call at the most."""
        flow = self._of.get(caller)
        if flow is None:
            return 1
        needed, since = min(float(self.max_servers), self.needed_servers(now, caller)), now - flow.changed
        if needed > flow.subset_size and since >= GROW_MS / max(1.0, needed - flow.subset_size):
            flow.subset_size, flow.changed = flow.subset_size + 1, now
        elif flow.subset_size > 1 and needed < flow.subset_size - 1 - SLACK and since >= SHRINK_MS:
            flow.subset_size, flow.changed = flow.subset_size - 1, now
        return flow.subset_size
