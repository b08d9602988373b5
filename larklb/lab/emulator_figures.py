"""What a day of the emulator shows, and the figures worked out from it."""

from __future__ import annotations

import math
from collections import Counter

from attrs import define, field


@define
class Figures:
    """Of one day.  ``took`` by route, ms from the first try, infinite where not served; ``taken`` by
    service and server; ``able`` likewise, slots times speed."""

    took: dict[str, list[float]] = field(factory=dict)
    aims: dict[str, float] = field(factory=dict)
    taken: dict[str, dict[str, int]] = field(factory=dict)
    able: dict[str, dict[str, float]] = field(factory=dict)
    count: Counter[str] = field(factory=Counter)
    windows: dict[int, list[int]] = field(factory=dict)      # by second, in aim and all

    def in_aim(self, route: str | None = None) -> float:
        """The part answered inside its aim."""
        names = [route] if route else list(self.took)
        good = sum(sum(t <= self.aims[n] for t in self.took[n]) for n in names)
        return good / max(1, sum(len(self.took[n]) for n in names))

    def worst(self, seconds: int = 5) -> float:
        """The part inside its aim in the worst ``seconds`` in a row."""
        at = sorted(self.windows)
        sums = [tuple(sum(self.windows[s][k] for s in at[i:i + seconds]) for k in (0, 1))
                for i in range(max(1, len(at) - seconds + 1))]
        return min(good / max(1, total) for good, total in sums)

    def at(self, route: str, part: float) -> float:
        """A quantile of a route's times, ms."""
        times = sorted(self.took[route])
        return times[min(len(times) - 1, int(part * len(times)))] if times else math.nan

    def error(self, service: str) -> float:
        """Half the sum of differences between shares of traffic and of ability: the part that is
        misplaced."""
        taken, able = self.taken[service], self.able[service]
        total, sum_able = max(1, sum(taken.values())), sum(able.values())
        return sum(abs(taken[s] / total - able[s] / sum_able) for s in able) / 2.0

    def weakest(self, service: str) -> float:
        """The weakest servers' traffic, times what would be in keeping with their ability."""
        taken, able = self.taken[service], self.able[service]
        low = min(able.values())
        weak = [s for s in able if able[s] == low]
        share = sum(taken[s] for s in weak) / max(1, sum(taken.values()))
        return share / (low * len(weak) / sum(able.values()))
