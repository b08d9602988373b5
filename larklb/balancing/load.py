"""What others have in hand at a server between the answers that tell it, and how much may be in hand there.

No I/O; time is an argument in ms.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from functools import lru_cache
from typing import Any

from attrs import define, field

from larklb.balancing.errors import UnreadableError

MEAN_MS = 2_000.0  # the mean load of others follows what is told with this time constant
TRUST_STEP = 0.1  # by which trust in a server's own word follows each answer ...
TRUST_LEAST = 0.6  # ... below which it isn't heeded
QUEUE_MOST = 2.0  # times its slots that may wait at a server at the most
AGAIN_MS = 200.0  # what is in hand is told again after so long, where words may be lost
LIVE_MS = 500.0  # a word on what is in hand holds for so long
PEERS, SERVERS = 64, 4_096
STEPS = 8  # of the load, in one request, in which the wait is kept


@lru_cache(maxsize=8_192)
def _beyond(free: int, steps: int) -> float:
    load = steps / STEPS
    term = left = math.exp(-load)
    less = free * term
    for n in range(1, free):
        term *= load / n
        left += term
        less += (free - n) * term
    return load - free + less


def waiting(mine: int, others: float, slots: int) -> float:
    """Requests, for each slot, that are expected to be before one more: ``mine`` are known to be there,
    ``others`` are a mean, and come by chance."""
    free = slots - mine
    if free <= 0:
        return (others - free) / slots
    return _beyond(free, int(others * STEPS + 0.5)) / slots


@define
class Others:
    """The load that a server has from others: as last told, and in the mean."""

    mean: float = -1.0  # below 0: never told
    last: float = 0.0
    at: float = -math.inf
    trust: float = 1.0

    def told(self, now: float, running: int, queued: int, slots: int, mine: int, took_works: float) -> None:
        """A server's word with an answer.  ``mine``: requests from here that are still there;
        ``took_works``: the time of that answer in mean works at this server, to hold its word against."""
        true = running + queued >= mine and not (queued and running < slots)
        # Behind a long queue an answer can't come so fast.
        true = true and (queued < 2 * slots or took_works > 0.5 * queued / slots)
        self.trust += TRUST_STEP * (true - self.trust)
        load = max(0.0, running + queued - mine)
        gone = max(0.0, now - self.at)
        self.mean = (
            load
            if self.mean < 0
            else self.mean + (1.0 - math.exp(-max(50.0, gone) / MEAN_MS)) * (load - self.mean)
        )
        self.last, self.at = load, now

    def trusted(self) -> bool:
        """Whether its word is heeded."""
        return self.mean >= 0 and self.trust >= TRUST_LEAST


@define
class _Report:
    order: int
    at: float
    rows: dict[str, int]


@define
class InFlight:
    """What near peers have in hand at each server just now: their whole state by observer, the newest
    holds."""

    incarnation: int = 0
    of: dict[str, _Report] = field(factory=dict)
    sums: dict[str, int] = field(factory=dict)
    count: int = 0
    told: dict[str, int] = field(factory=dict)
    told_at: float = -math.inf

    def message(self, now: float, mine: Mapping[str, int]) -> dict[str, Any] | None:
        """This limiter's word, JSON; None where it would bring nothing new."""
        rows = {server: out for server, out in mine.items() if out > 0}
        if rows == self.told and now - self.told_at < AGAIN_MS:
            return None
        self.told, self.told_at = rows, now
        self.count += 1
        return {"life": self.incarnation, "count": self.count, "in_flight": rows}

    def take(self, now: float, observer: str, message: Mapping[str, Any]) -> bool:
        """Takes a peer's word; False where it is no news; ``UnreadableError`` where it makes no sense."""
        try:
            order = int(message["life"]) * (1 << 32) + int(message["count"])
            rows = {str(server): int(out) for server, out in message["in_flight"].items()}
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise UnreadableError(str(error)) from error
        if len(rows) > SERVERS or any(not 0 <= out < 1 << 16 for out in rows.values()):
            raise UnreadableError("numbers that can't be")
        known = self.of.get(observer)
        if known is not None and order <= known.order:
            return False
        if known is None and len(self.of) >= PEERS:
            return False  # those beyond count with their mean
        self._add(known.rows if known is not None else {}, -1)
        self.of[observer] = _Report(order, now, rows)
        self._add(rows, 1)
        return True

    def expire(self, now: float) -> None:
        """What is too old counts no more, but its order is kept: an older word that comes late is no news."""
        for report in self.of.values():
            if now - report.at > LIVE_MS and report.rows:
                self._add(report.rows, -1)
                report.rows = {}

    def keep(self, observers: Collection[str]) -> None:
        """Forgets all but these."""
        for gone in [o for o in self.of if o not in observers]:
            self._add(self.of.pop(gone).rows, -1)

    def live(self, now: float) -> frozenset[str]:
        """Whose word holds."""
        return frozenset(o for o, report in self.of.items() if now - report.at <= LIVE_MS)

    def _add(self, rows: Mapping[str, int], sign: int) -> None:
        for server, out in rows.items():
            total = self.sums.get(server, 0) + sign * out
            if total:
                self.sums[server] = total
            else:
                self.sums.pop(server, None)


def bearable(slots: int, work: float, factor: float, aim: float) -> float:
    """Requests that may be in hand at a server, all limiters together: as many as end inside the longest
    aim, one for each slot at least (the weakest serves too), and no longer a queue than servers keep."""
    each = max(1.0, work * factor)
    return slots * max(1.0, min(1.0 + QUEUE_MOST, 1.0 + (aim - each) / each))


def divided(limit: int, demand: Mapping[str, float], floor: int = 1) -> dict[str, int]:
    """Parts of a limit by demand: whole numbers, ``floor`` at least (a newcomer can start), largest
    remainders first, ties by name.  They add up to the limit, or to the floors where these are more."""
    if not demand:
        return {}
    names = sorted(demand)
    want = {name: max(0.0, demand[name]) if math.isfinite(demand[name]) else 0.0 for name in names}
    rest = max(0, limit - floor * len(names))
    total = sum(want.values())
    exact = {name: rest * (want[name] / total if total > 0 else 1.0 / len(names)) for name in names}
    parts = {name: floor + int(exact[name]) for name in names}
    left = floor * len(names) + rest - sum(parts.values())
    for name in sorted(names, key=lambda n: (int(exact[n]) - exact[n], n))[:left]:
        parts[name] += 1
    return parts
