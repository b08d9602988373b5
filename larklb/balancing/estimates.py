"""Estimates how much slower or faster each server is than the other servers of its service.

The evidence is the logarithm of (service time / usual service time of the route at this observer).  An
expensive route therefore counts against no server, and neither does a slow link, which is part of all
service times of that observer.  Evidence decays with time.  Each observer reports its complete sums with
a sequence number, and a newer report replaces the older one, so that lost, repeated or reordered messages
do no harm and no sample is counted twice.  No I/O; times are arguments in ms.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from typing import Any

from attrs import define, evolve, field

from larklb.balancing.errors import UnreadableError

# Time constants with which evidence decays: all of it, and that on sudden changes.
EVIDENCE_DECAY_MS = 20_000.0
RECENT_DECAY_MS = 2_000.0
# Precision of the prior that a server is like the others: their logarithms differ by about 0.35.
PRIOR_PRECISION = 8.0
# Upper bound of the precision of one sample, so that it takes at least three to establish a sudden change.
MAX_SAMPLE_PRECISION = 2.5
# A sudden slowdown is accepted on recent evidence if this differs from the older evidence by more than
# SLOWDOWN_MIN_ERRORS standard errors and has at least the precision SLOWDOWN_MIN_PRECISION.  The older
# evidence is then given the precision SLOWDOWN_OLD_PRECISION.
SLOWDOWN_MIN_ERRORS = 3.0
SLOWDOWN_MIN_PRECISION = 6.0
SLOWDOWN_OLD_PRECISION = 3.0
# Time constant with which an accepted slowdown is forgotten.  A slow server gets few requests and so yields
# little evidence of its recovery.
SLOWDOWN_DECAY_MS = 8_000.0
# The same for a sudden speedup, with higher thresholds: a server that is trusted too early is flooded.
SPEEDUP_MIN_ERRORS = 4.0
SPEEDUP_MIN_PRECISION = 12.0
SPEEDUP_OLD_PRECISION = 12.0
# Upper bound of the absolute logarithm in one sample: e^2.5 = 12 times the usual service time, or a twelfth.
MAX_LOG_RATIO = 2.5
# Part of all evidence on a server that one observer may contribute where there are others.
MAX_OBSERVER_SHARE = 0.4
# Reports that were received longer ago than this are ignored.
REPORT_MAX_AGE_MS = 6_000.0
MAX_OBSERVERS, MAX_SERVERS = 512, 4_096


@define
class Evidence:
    """The evidence of one observer on one server.

    ``precision`` and ``weighted_sum`` (the sum of precision times logarithm) cover all samples,
    ``recent_precision`` and ``recent_weighted_sum`` those of the last seconds.  ``mean_in_flight``: requests
    that the observer has in flight at the server, on average; ``overdue``: whether one of them is overdue;
    ``updated_at``: ms, the time that the decaying sums refer to.
    """

    precision: float = 0.0
    weighted_sum: float = 0.0
    recent_precision: float = 0.0
    recent_weighted_sum: float = 0.0
    mean_in_flight: float = 0.0
    overdue: int = 0
    updated_at: float = 0.0

    def decayed(self, now: float) -> tuple[float, float, float, float]:
        """Returns the four sums as of ``now``, in the order of the fields."""
        elapsed = max(0.0, now - self.updated_at)
        decay, recent_decay = math.exp(-elapsed / EVIDENCE_DECAY_MS), math.exp(-elapsed / RECENT_DECAY_MS)
        return (
            self.precision * decay,
            self.weighted_sum * decay,
            self.recent_precision * recent_decay,
            self.recent_weighted_sum * recent_decay,
        )

    def decay(self, now: float) -> None:
        """Brings the sums to ``now``."""
        self.precision, self.weighted_sum, self.recent_precision, self.recent_weighted_sum = self.decayed(now)
        self.updated_at = max(self.updated_at, now)

    def add(self, now: float, log_ratio: float, precision: float) -> None:
        """Adds one sample: the logarithm of a relative service time, with its precision.

        Both are limited, so that no single sample dominates.
        """
        self.decay(now)
        log_ratio, precision = (
            max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio)),
            min(precision, MAX_SAMPLE_PRECISION),
        )
        self.precision += precision
        self.weighted_sum += precision * log_ratio
        self.recent_precision += precision
        self.recent_weighted_sum += precision * log_ratio


@define(frozen=True)
class Estimate:
    """The estimated slowdown of a server.

    ``log_slowdown``: logarithm of ``slowdown``; ``standard_error``: its standard deviation; ``precision``: of
    the evidence, without the prior; ``sudden_change``: whether a sudden change was accepted.
    """

    log_slowdown: float = 0.0
    standard_error: float = PRIOR_PRECISION**-0.5
    precision: float = 0.0
    sudden_change: bool = False

    @property
    def slowdown(self) -> float:
        """How many times longer work takes at this server than at the others."""
        return math.exp(self.log_slowdown)


def estimate_from_sums(
    precision: float, weighted_sum: float, recent_precision: float, recent_weighted_sum: float
) -> Estimate:
    """Returns the estimate that follows from sums of evidence.

    Where the recent evidence differs significantly from the older evidence, the change is accepted at once.
    """
    total_precision = PRIOR_PRECISION + precision
    mean = weighted_sum / total_precision
    if recent_precision > 0.0:
        # The sums include the recent evidence; it is compared with the remainder.
        older_precision = max(0.0, precision - recent_precision)
        older_mean = (weighted_sum - recent_weighted_sum) / (PRIOR_PRECISION + older_precision)
        recent_mean = recent_weighted_sum / recent_precision
        deviation = (recent_mean - older_mean) / math.sqrt(
            1.0 / recent_precision + 1.0 / (PRIOR_PRECISION + older_precision)
        )
        if deviation > SLOWDOWN_MIN_ERRORS and recent_precision >= SLOWDOWN_MIN_PRECISION:
            retained_precision = SLOWDOWN_OLD_PRECISION
        elif deviation < -SPEEDUP_MIN_ERRORS and recent_precision >= SPEEDUP_MIN_PRECISION:
            retained_precision = SPEEDUP_OLD_PRECISION
        else:
            retained_precision = 0.0
        if retained_precision:
            total_precision = recent_precision + retained_precision
            return Estimate(
                (recent_weighted_sum + retained_precision * older_mean) / total_precision,
                total_precision**-0.5,
                precision,
                True,
            )
    return Estimate(mean, total_precision**-0.5, precision)


@define
class _Report:
    """The newest report of one observer; ``order`` rises with each report, also across restarts."""

    order: int
    received_at: float
    rows: dict[str, Evidence]


ReportMessage = dict[str, Any]


@define
class Estimates:
    """Evidence on all servers as one observer has it: its own, and the newest report of each other observer.

    ``incarnation`` rises with each start of the observer.
    """

    incarnation: int = 0
    own_evidence: dict[str, Evidence] = field(factory=dict)
    reports: dict[str, _Report] = field(factory=dict)
    # By server: the logarithm of the last sudden slowdown that was accepted, and when.
    slowdowns: dict[str, tuple[float, float]] = field(factory=dict)
    messages_sent: int = 0

    def evidence(self, now: float, server: str) -> Evidence:
        """Returns this observer's own evidence on a server; the least recently updated makes room for it."""
        evidence = self.own_evidence.get(server)
        if evidence is None:
            if len(self.own_evidence) >= MAX_SERVERS:
                del self.own_evidence[min(self.own_evidence, key=lambda s: self.own_evidence[s].updated_at)]
            evidence = self.own_evidence[server] = Evidence(updated_at=now)
        return evidence

    def retain(self, servers: Iterable[str]) -> None:
        """Discards what is stored about all servers but these."""
        retained = set(servers)
        for removed in [s for s in self.own_evidence if s not in retained]:
            del self.own_evidence[removed]
        for removed in [s for s in self.slowdowns if s not in retained]:
            del self.slowdowns[removed]

    def _reported_evidence(self, now: float, server: str) -> list[Evidence]:
        return [
            row
            for report in self.reports.values()
            if now - report.received_at < REPORT_MAX_AGE_MS
            for row in (report.rows.get(server),)
            if row is not None
        ]

    def estimate(self, now: float, server: str) -> Estimate:
        """Returns the estimate of a server from the evidence of all observers.

        The share of each observer is limited, so that one whose clock or link distorts its times to some
        servers is outweighed by the others.
        """
        own = self.own_evidence.get(server)
        observer_sums = [row.decayed(now) for row in self._reported_evidence(now, server)]
        if own is not None:
            observer_sums.append(own.decayed(now))
        if len(observer_sums) > 2:
            # The precision of one observer is limited to a multiple of that of all others, which it can't
            # raise itself.
            total, total_recent = sum(p[0] for p in observer_sums), sum(p[2] for p in observer_sums)
            max_ratio = MAX_OBSERVER_SHARE / (1.0 - MAX_OBSERVER_SHARE)
            observer_sums = [
                (
                    *_capped(p[0], p[1], max_ratio * (total - p[0])),
                    *_capped(p[2], p[3], max_ratio * (total_recent - p[2])),
                )
                for p in observer_sums
            ]
        estimate = (
            estimate_from_sums(*(sum(p[i] for p in observer_sums) for i in range(4)))
            if observer_sums
            else Estimate()
        )
        log_slowdown, accepted_at = self.slowdowns.get(server, (0.0, -math.inf))
        remaining = log_slowdown * math.exp(min(0.0, accepted_at - now) / SLOWDOWN_DECAY_MS)
        if estimate.sudden_change and estimate.log_slowdown >= remaining and estimate.log_slowdown > 0.0:
            self.slowdowns[server] = estimate.log_slowdown, now
        elif remaining > estimate.log_slowdown:
            return evolve(estimate, log_slowdown=remaining, sudden_change=True)
        return estimate

    def mean_in_flight_of_others(
        self, now: float, server: str, excluded: Collection[str] = ()
    ) -> float | None:
        """Returns how many requests the other observers have in flight at a server on average.

        Those of ``excluded`` observers don't count.  None if there is no recent report of any observer.
        """
        recent = [(name, r) for name, r in self.reports.items() if now - r.received_at < REPORT_MAX_AGE_MS]
        if not recent:
            return None
        return sum(
            r.rows[server].mean_in_flight for name, r in recent if name not in excluded and server in r.rows
        )

    def overdue_observers(self, now: float, server: str) -> int:
        """Counts the other observers that have an overdue request at the server."""
        return sum(row.overdue > 0 for row in self._reported_evidence(now, server))

    def message(self, now: float) -> ReportMessage:
        """Returns this observer's whole evidence as a JSON object; the newest message replaces all others."""
        self.messages_sent += 1
        rows = {
            server: [round(v, 3) for v in evidence.decayed(now)]
            + [round(evidence.mean_in_flight, 3), evidence.overdue]
            for server, evidence in self.own_evidence.items()
        }
        return {"life": self.incarnation, "count": self.messages_sent, "rows": rows}

    def apply(self, now: float, observer: str, message: Mapping[str, Any]) -> bool:
        """Applies another observer's message; False if a newer one, or this one, was applied before.

        The age of the evidence counts from its arrival, since the clocks of two processes are never compared.
        Raises UnreadableError if the message is malformed.
        """
        try:
            incarnation, count = int(message["life"]), int(message["count"])
            rows = {str(server): _parse_row(now, row) for server, row in message["rows"].items()}
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise UnreadableError(str(error)) from error
        if len(rows) > MAX_SERVERS:
            raise UnreadableError(f"more than {MAX_SERVERS} servers in one report")
        previous, order = self.reports.get(observer), incarnation * (1 << 32) + count
        if previous is not None and order <= previous.order:
            return False
        if previous is None and len(self.reports) >= MAX_OBSERVERS:
            del self.reports[min(self.reports, key=lambda name: self.reports[name].received_at)]
        self.reports[observer] = _Report(order, now, rows)
        return True


def _capped(precision: float, weighted_sum: float, max_precision: float) -> tuple[float, float]:
    """Returns the precision, at most ``max_precision``, and the sum reduced in proportion."""
    if precision <= max_precision:
        return precision, weighted_sum
    return max_precision, weighted_sum * max_precision / precision


def _parse_row(now: float, row: Any) -> Evidence:
    """Returns the evidence in one row of a report; raises an error if a value is impossible."""
    precision, weighted_sum, recent_precision, recent_weighted_sum, mean_in_flight = (
        float(v) for v in row[:5]
    )
    if not all(
        map(math.isfinite, (precision, weighted_sum, recent_precision, recent_weighted_sum, mean_in_flight))
    ):
        raise ValueError("evidence that is not a finite number")
    if (
        precision < 0
        or recent_precision < 0
        or mean_in_flight < 0
        or abs(weighted_sum) > MAX_LOG_RATIO * precision + 0.01
        or abs(recent_weighted_sum) > MAX_LOG_RATIO * recent_precision + 0.01
    ):
        raise ValueError("evidence outside the possible range")
    return Evidence(
        precision,
        weighted_sum,
        recent_precision,
        recent_weighted_sum,
        mean_in_flight,
        max(0, int(row[5])),
        now,
    )
