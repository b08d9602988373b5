"""Measurements of an emulator run and the figures derived from them."""

from __future__ import annotations

import math
from collections import Counter

from attrs import define, field


@define
class Figures:
    """Measurements of one run.

    `latencies` are by route, in ms from the first try, and infinite for requests that were not served.
    `attempts` and `capacity` (slots times speed) are by service and server.
    """

    latencies: dict[str, list[float]] = field(factory=dict)
    aims: dict[str, float] = field(factory=dict)
    attempts: dict[str, dict[str, int]] = field(factory=dict)
    capacity: dict[str, dict[str, float]] = field(factory=dict)
    count: Counter[str] = field(factory=Counter)
    windows: dict[int, list[int]] = field(factory=dict)      # by second: [in aim, total]

    def in_aim(self, route: str | None = None) -> float:
        """Return the fraction of requests answered within their aim, of one route or of all."""
        names = [route] if route else list(self.latencies)
        good = sum(sum(t <= self.aims[n] for t in self.latencies[n]) for n in names)
        return good / max(1, sum(len(self.latencies[n]) for n in names))

    def worst_window(self, seconds: int = 5) -> float:
        """Return the lowest fraction within the aim over `seconds` consecutive seconds."""
        times = sorted(self.windows)
        sums = [tuple(sum(self.windows[s][k] for s in times[i:i + seconds]) for k in (0, 1))
                for i in range(max(1, len(times) - seconds + 1))]
        return min(good / max(1, total) for good, total in sums)

    def quantile(self, route: str, part: float) -> float:
        """Return a quantile of a route's latencies in ms, or NaN if there are none."""
        times = sorted(self.latencies[route])
        return times[min(len(times) - 1, int(part * len(times)))] if times else math.nan

    def misplaced_share(self, service: str) -> float:
        """Return the fraction of the traffic that is misplaced.

        It is half the sum of the differences between the servers' shares of the traffic and of the capacity.
        """
        attempts, capacity = self.attempts[service], self.capacity[service]
        total, total_capacity = max(1, sum(attempts.values())), sum(capacity.values())
        return sum(abs(attempts[s] / total - capacity[s] / total_capacity) for s in capacity) / 2.0

    def weakest_share(self, service: str) -> float:
        """Return the weakest servers' share of the traffic relative to their share of the capacity."""
        attempts, capacity = self.attempts[service], self.capacity[service]
        lowest = min(capacity.values())
        weak = [s for s in capacity if capacity[s] == lowest]
        share = sum(attempts[s] for s in weak) / max(1, sum(attempts.values()))
        return share / (lowest * len(weak) / sum(capacity.values()))
