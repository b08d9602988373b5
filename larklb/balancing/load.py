"""The load that other limiters cause at a server, and how many requests may be in flight there.

A server reports its load with each answer.  Between two answers the load is estimated from the messages of
peers, the other limiters of this zone, on their requests in flight.  No I/O; times are arguments in ms.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from functools import lru_cache
from typing import Any

from attrs import define, field

from larklb.balancing.errors import UnreadableError

# Time constant with which the mean load of other limiters follows the reported load.
LOAD_MEAN_MS = 2_000.0
# Weight of one answer in the trust in a server's load reports, and the trust below which they are ignored.
TRUST_WEIGHT = 0.1
MIN_TRUST = 0.6
# Requests per slot that may wait at a server.
MAX_QUEUE_PER_SLOT = 2.0
# Unchanged requests in flight are reported again after this time, since messages may be lost.
RESEND_MS = 200.0
# A peer's report of its requests in flight is valid for this time.
REPORT_MAX_AGE_MS = 500.0
# Peers whose reports are stored, and servers in one report, at most.
MAX_PEERS, MAX_SERVERS = 64, 4_096
# Steps per request of load in which the expected queue is cached.
LOAD_STEPS = 8


@lru_cache(maxsize=8_192)
def _expected_excess(free: int, steps: int) -> float:
    """Returns the expected excess over ``free`` of a Poisson number with a mean of ``steps / LOAD_STEPS``."""
    load = steps / LOAD_STEPS
    probability = cumulative = math.exp(-load)
    shortfall = free * probability
    for n in range(1, free):
        probability *= load / n
        cumulative += probability
        shortfall += (free - n) * probability
    return load - free + shortfall


def expected_queue(known: int, others: float, slots: int) -> float:
    """Returns the expected number of waiting requests per slot ahead of one more request.

    ``known`` requests are certainly at the server; ``others`` is the mean of a Poisson distributed number of
    further ones.
    """
    free = slots - known
    if free <= 0:
        return (others - free) / slots
    return _expected_excess(free, int(others * LOAD_STEPS + 0.5)) / slots


@define
class ReportedLoad:
    """The load of other limiters at a server, in requests, by the server's reports: the last, and its mean.

    ``mean`` is negative until the first report; ``updated_at`` is in ms; ``trust`` is the moving average of
    whether the reports were plausible, from 0 to 1.
    """

    mean: float = -1.0
    last: float = 0.0
    updated_at: float = -math.inf
    trust: float = 1.0

    def record(
        self, now: float, running: int, queued: int, slots: int, own_requests: int, relative_duration: float
    ) -> None:
        """Records the load that a server reported with an answer, and whether it is plausible.

        ``own_requests``: requests of this limiter that are still at the server; ``relative_duration``: the
        time until that answer as a multiple of the mean service time at this server.
        """
        plausible = running + queued >= own_requests and not (queued and running < slots)
        # An answer can't come this fast behind a long queue.
        plausible = plausible and (queued < 2 * slots or relative_duration > 0.5 * queued / slots)
        self.trust += TRUST_WEIGHT * (plausible - self.trust)
        load = max(0.0, running + queued - own_requests)
        elapsed = max(0.0, now - self.updated_at)
        self.mean = (
            load
            if self.mean < 0
            else self.mean + (1.0 - math.exp(-max(50.0, elapsed) / LOAD_MEAN_MS)) * (load - self.mean)
        )
        self.last, self.updated_at = load, now

    def trusted(self) -> bool:
        """Returns whether the server has reported its load and its reports are plausible."""
        return self.mean >= 0 and self.trust >= MIN_TRUST


@define
class _Report:
    """The newest report of one peer; ``order`` rises with each report, also across restarts."""

    order: int
    received_at: float
    rows: dict[str, int]


@define
class InFlight:
    """Requests that peers have in flight at each server, by the newest report of each peer.

    ``reports``: by peer; ``totals``: requests by server.  ``incarnation`` rises with each start of this
    limiter.
    """

    incarnation: int = 0
    reports: dict[str, _Report] = field(factory=dict)
    totals: dict[str, int] = field(factory=dict)
    messages_sent: int = 0
    last_sent: dict[str, int] = field(factory=dict)
    last_sent_at: float = -math.inf

    def message(self, now: float, in_flight: Mapping[str, int]) -> dict[str, Any] | None:
        """Returns this limiter's requests in flight as a JSON object.

        None if they haven't changed since the last message and that is younger than RESEND_MS.
        """
        rows = {server: count for server, count in in_flight.items() if count > 0}
        if rows == self.last_sent and now - self.last_sent_at < RESEND_MS:
            return None
        self.last_sent, self.last_sent_at = rows, now
        self.messages_sent += 1
        return {"life": self.incarnation, "count": self.messages_sent, "in_flight": rows}

    def apply(self, now: float, observer: str, message: Mapping[str, Any]) -> bool:
        """Applies a peer's message; False if a newer one, or this one, was applied before.

        False too for a new peer beyond MAX_PEERS.  Raises UnreadableError if the message is malformed.
        """
        try:
            order = int(message["life"]) * (1 << 32) + int(message["count"])
            rows = {str(server): int(count) for server, count in message["in_flight"].items()}
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise UnreadableError(str(error)) from error
        if len(rows) > MAX_SERVERS or any(not 0 <= count < 1 << 16 for count in rows.values()):
            raise UnreadableError("too many servers, or a number of requests out of range")
        previous = self.reports.get(observer)
        if previous is not None and order <= previous.order:
            return False
        if previous is None and len(self.reports) >= MAX_PEERS:
            return False  # the load of peers beyond the limit is estimated by its mean
        self._add(previous.rows if previous is not None else {}, -1)
        self.reports[observer] = _Report(order, now, rows)
        self._add(rows, 1)
        return True

    def expire(self, now: float) -> None:
        """Removes the numbers of reports that are too old.

        Their order is retained, so that an older message that arrives late is still rejected.
        """
        for report in self.reports.values():
            if now - report.received_at > REPORT_MAX_AGE_MS and report.rows:
                self._add(report.rows, -1)
                report.rows = {}

    def retain(self, observers: Collection[str]) -> None:
        """Discards the reports of all peers but these."""
        for removed in [o for o in self.reports if o not in observers]:
            self._add(self.reports.pop(removed).rows, -1)

    def current_observers(self, now: float) -> frozenset[str]:
        """Returns the peers whose last report is still valid."""
        return frozenset(
            o for o, report in self.reports.items() if now - report.received_at <= REPORT_MAX_AGE_MS
        )

    def _add(self, rows: Mapping[str, int], sign: int) -> None:
        """Adds a report's numbers to the totals, or subtracts them if ``sign`` is -1."""
        for server, count in rows.items():
            total = self.totals.get(server, 0) + sign * count
            if total:
                self.totals[server] = total
            else:
                self.totals.pop(server, None)


def max_in_flight(slots: int, service_ms: float, slowdown: float, setpoint_ms: float) -> float:
    """Returns how many requests all limiters together may have in flight at a server.

    As many as end within ``setpoint_ms``, the longest latency setpoint, but at least one per slot (so that
    the slowest server serves too), and no longer a queue than servers keep.
    """
    own_service_ms = max(1.0, service_ms * slowdown)
    return slots * max(
        1.0, min(1.0 + MAX_QUEUE_PER_SLOT, 1.0 + (setpoint_ms - own_service_ms) / own_service_ms)
    )


def divide_limit(limit: int, demand: Mapping[str, float], floor: int = 1) -> dict[str, int]:
    """Divides a limit into whole numbers in proportion to the demand.

    Each name gets at least ``floor``, so that a newcomer can start.  Largest remainders come first, ties are
    resolved by name.  The parts add up to the limit, or to the sum of the floors if that is more.
    """
    if not demand:
        return {}
    names = sorted(demand)
    valid_demand = {name: max(0.0, demand[name]) if math.isfinite(demand[name]) else 0.0 for name in names}
    divisible = max(0, limit - floor * len(names))
    total = sum(valid_demand.values())
    exact = {
        name: divisible * (valid_demand[name] / total if total > 0 else 1.0 / len(names)) for name in names
    }
    parts = {name: floor + int(exact[name]) for name in names}
    remainder = floor * len(names) + divisible - sum(parts.values())
    for name in sorted(names, key=lambda n: (int(exact[n]) - exact[n], n))[:remainder]:
        parts[name] += 1
    return parts
