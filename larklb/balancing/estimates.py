"""How much slower or faster each server is than its service: sums of evidence by observer, and what they say.

Evidence is the logarithm of (service time / what is usual for the route at this observer), so that dear
routes blame no server and a slow link blames none either: it is in all of that observer's times.  Sums
fade with time.  Each observer tells its sums whole and counted; the newest replaces the older, so loss,
repeats and order do no harm, and what is added up is added once.  No I/O; time is an argument in ms.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from typing import Any

from attrs import define, evolve, field

from larklb.balancing.errors import UnreadableError

LONG_MS = 20_000.0  # evidence fades with this time constant ...
SHORT_MS = 2_000.0  # ... and that for sudden changes with this one
PRIOR = 8.0  # precision of 'like the others': servers' logarithms differ by 0.35
MOST_WEIGHT = 2.5  # precision of one sample at the most: three at least make a change
FALL_ERRORS = 3.0  # standard errors by which recent evidence must be slower to be believed alone ...
FALL_LEAST = 6.0  # ... and its precision
FALL_KEEP = 3.0  # precision of what was known before, where a change is believed
FALL_HOLD_MS = 8_000.0  # a fall is forgotten with this time constant: who gets little gives little
# evidence
RISE_ERRORS = 4.0  # the same for faster: whoever is trusted too early is flooded
RISE_LEAST = 12.0
RISE_KEEP = 12.0
CLIP = 2.5  # of one sample: e^2.5 = 12 times the usual or a twelfth
OBSERVER_PART = 0.4  # of all evidence on a server that one observer may bring, where there are others
STALE_MS = 6_000.0  # an observer not heard for so long no longer counts
OBSERVERS, SERVERS = 512, 4_096


@define
class Sums:
    """Evidence of one observer on one server: precision and precision times mean, long and short; requests in
    hand there on average; requests overdue there."""

    weight: float = 0.0
    total: float = 0.0
    recent: float = 0.0
    recent_total: float = 0.0
    in_hand: float = 0.0
    overdue: int = 0
    at: float = 0.0

    def faded(self, now: float) -> tuple[float, float, float, float]:
        """The four sums as of ``now``."""
        gone = max(0.0, now - self.at)
        long, short = math.exp(-gone / LONG_MS), math.exp(-gone / SHORT_MS)
        return self.weight * long, self.total * long, self.recent * short, self.recent_total * short

    def fade(self, now: float) -> None:
        """Brings the sums to ``now``."""
        self.weight, self.total, self.recent, self.recent_total = self.faded(now)
        self.at = max(self.at, now)

    def add(self, now: float, x: float, weight: float) -> None:
        """One sample with its precision."""
        self.fade(now)
        x, weight = max(-CLIP, min(CLIP, x)), min(weight, MOST_WEIGHT)
        self.weight += weight
        self.total += weight * x
        self.recent += weight
        self.recent_total += weight * x


@define(frozen=True)
class Ability:
    """``slowness``: logarithm of the times longer that work takes here; ``error``: its standard deviation;
    ``precision``: of the evidence; ``changed``: it goes by the recent evidence alone."""

    slowness: float = 0.0
    error: float = PRIOR**-0.5
    precision: float = 0.0
    changed: bool = False

    @property
    def factor(self) -> float:
        """Times longer that work takes here."""
        return math.exp(self.slowness)


def judged(weight: float, total: float, recent: float, recent_total: float) -> Ability:
    """What sums of evidence say."""
    precision = PRIOR + weight
    mean = total / precision
    if recent > 0.0:
        # What is recent is part of the whole as well: the rest is what it is held against.
        before = max(0.0, weight - recent)
        old = (total - recent_total) / (PRIOR + before)
        fresh = recent_total / recent
        apart = (fresh - old) / math.sqrt(1.0 / recent + 1.0 / (PRIOR + before))
        if apart > FALL_ERRORS and recent >= FALL_LEAST:
            keep = FALL_KEEP
        elif apart < -RISE_ERRORS and recent >= RISE_LEAST:
            keep = RISE_KEEP
        else:
            keep = 0.0
        if keep:
            precision = recent + keep
            return Ability((recent_total + keep * old) / precision, precision**-0.5, weight, True)
    return Ability(mean, precision**-0.5, weight)


@define
class _Report:
    count: int
    at: float
    rows: dict[str, Sums]


Report = dict[str, Any]


@define
class Estimates:
    """All evidence as one observer has it.  ``incarnation`` rises with each start of the observer."""

    incarnation: int = 0
    own: dict[str, Sums] = field(factory=dict)
    reports: dict[str, _Report] = field(factory=dict)
    fallen: dict[str, tuple[float, float]] = field(factory=dict)  # by server: slowness believed, and when
    told: int = 0

    def of(self, now: float, server: str) -> Sums:
        """This observer's own sums on a server."""
        sums = self.own.get(server)
        if sums is None:
            if len(self.own) >= SERVERS:
                del self.own[min(self.own, key=lambda s: self.own[s].at)]
            sums = self.own[server] = Sums(at=now)
        return sums

    def keep(self, servers: Iterable[str]) -> None:
        """Forgets all but these."""
        there = set(servers)
        for gone in [s for s in self.own if s not in there]:
            del self.own[gone]
        for gone in [s for s in self.fallen if s not in there]:
            del self.fallen[gone]

    def _heard(self, now: float, server: str) -> list[Sums]:
        return [
            row
            for report in self.reports.values()
            if now - report.at < STALE_MS
            for row in (report.rows.get(server),)
            if row is not None
        ]

    def ability(self, now: float, server: str) -> Ability:
        """What all observers' evidence says of a server.

        No observer weighs more than its part, and one that disagrees is as strong as any other: where its own
        clock or link is bad for single servers, the others outweigh it.
        """
        own = self.own.get(server)
        parts = [row.faded(now) for row in self._heard(now, server)]
        if own is not None:
            parts.append(own.faded(now))
        if len(parts) > 2:
            # Held against the others' evidence alone: one's own can't raise what one may bring.
            all_long, all_recent = sum(p[0] for p in parts), sum(p[2] for p in parts)
            part = OBSERVER_PART / (1.0 - OBSERVER_PART)
            parts = [
                (
                    *_capped(p[0], p[1], part * (all_long - p[0])),
                    *_capped(p[2], p[3], part * (all_recent - p[2])),
                )
                for p in parts
            ]
        ability = judged(*(sum(p[i] for p in parts) for i in range(4))) if parts else Ability()
        slowness, at = self.fallen.get(server, (0.0, -math.inf))
        held = slowness * math.exp(min(0.0, at - now) / FALL_HOLD_MS)
        if ability.changed and ability.slowness >= held and ability.slowness > 0.0:
            self.fallen[server] = ability.slowness, now
        elif held > ability.slowness:
            return evolve(ability, slowness=held, changed=True)
        return ability

    def others(self, now: float, server: str, beside: Collection[str] = ()) -> float | None:
        """Requests that the other observers have in hand there on average, but those ``beside``; None with
        none heard of late."""
        fresh = [(name, r) for name, r in self.reports.items() if now - r.at < STALE_MS]
        if not fresh:
            return None
        return sum(r.rows[server].in_hand for name, r in fresh if name not in beside and server in r.rows)

    def overdue(self, now: float, server: str) -> int:
        """Other observers that wait there for longer than nearly ever."""
        return sum(row.overdue > 0 for row in self._heard(now, server))

    def message(self, now: float) -> Report:
        """This observer's sums, for the others: the whole state, so the newest is enough."""
        self.told += 1
        rows = {
            server: [round(v, 3) for v in sums.faded(now)] + [round(sums.in_hand, 3), sums.overdue]
            for server, sums in self.own.items()
        }
        return {"life": self.incarnation, "count": self.told, "rows": rows}

    def take(self, now: float, observer: str, message: Mapping[str, Any]) -> bool:
        """Takes another observer's words; False where they are no news.  The age of evidence is counted
        from here: the other's clock is never compared with this one.  ``UnreadableError`` where they make
        no sense."""
        try:
            life, count = int(message["life"]), int(message["count"])
            rows = {str(server): _read(now, row) for server, row in message["rows"].items()}
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise UnreadableError(str(error)) from error
        if len(rows) > SERVERS:
            raise UnreadableError("too many servers")
        known, order = self.reports.get(observer), life * (1 << 32) + count
        if known is not None and order <= known.count:
            return False
        if known is None and len(self.reports) >= OBSERVERS:
            del self.reports[min(self.reports, key=lambda name: self.reports[name].at)]
        self.reports[observer] = _Report(order, now, rows)
        return True


def _capped(weight: float, total: float, most: float) -> tuple[float, float]:
    if weight <= most:
        return weight, total
    return most, total * most / weight


def _read(now: float, row: Any) -> Sums:
    weight, total, recent, recent_total, in_hand = (float(v) for v in row[:5])
    if not all(map(math.isfinite, (weight, total, recent, recent_total, in_hand))):
        raise ValueError("not finite")
    if (
        weight < 0
        or recent < 0
        or in_hand < 0
        or abs(total) > CLIP * weight + 0.01
        or abs(recent_total) > CLIP * recent + 0.01
    ):
        raise ValueError("sums that no evidence gives")
    return Sums(weight, total, recent, recent_total, in_hand, max(0, int(row[5])), now)
