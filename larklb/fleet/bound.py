"""Guarantees that the fleet states in advance: the age of verdicts, and the error of limits while links fail.

They are derived in ``docs/design/fleet-limits.md`` and checked in simulation by
``benchmarks/fleet_limits.py``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from larklb.fleet.custody import GROUP, ORPHAN_SCAN_MS, REPLY_TIMEOUT_MS, TAKEOVER_STAGGER_MS
from larklb.fleet.custody import LEASE_MS as LEASE_AFTER_MS
from larklb.fleet.leases import BASE_FRACTION, LEASE_MS, MAX_FURTHER_TOKENS
from larklb.fleet.members import QUIET_AFTER_MS
from larklb.fleet.pace import INBOX_FRACTION
from larklb.fleet.verdicts import GOSSIP_INTERVAL_MS
from larklb.fleet.zones import (
    HOLD_JITTER,
    HOLD_MS,
    MAX_FAILED_NODES_NEEDED,
    MAX_HOLD_MS,
    MIN_OBSERVERS,
    PROBE_SLOT_MS,
    PROBERS_PER_SLOT,
    REEVALUATION_MS,
    RETURN_MS,
    SILENCE_AFTER_SUCCESS_MS,
)

# Maximum time of a message: the longest network delay that is planned for, and a tick at each end.
HOP_MS = 80.0
# One in this many pairs of a finding and a limiter may exceed ``VerdictAge.tail``.
TAIL_RATIO = 1000.0


@dataclass(frozen=True)
class VerdictAge:
    """Ms from the finding of the second observer until half, or 99.9%, of the limiters have the verdict."""

    median: float
    tail: float


def age(limiters: int, loss: float) -> VerdictAge:
    """Return the age of verdicts while links work except for ``loss`` of the messages (0 to 1).

    Each limiter that has a severe finding sends it to one limiter drawn from all in every
    ``GOSSIP_INTERVAL_MS`` (to nobody if it draws itself).  The number of limiters that have it therefore
    grows by the factor e in a step of ``GOSSIP_INTERVAL_MS`` / (1 - loss) until half of them do; after that,
    the number of those that do not shrinks by the same factor.  It takes ln N steps until all but a constant
    fraction have it, and ln ``TAIL_RATIO`` more until all but one in ``TAIL_RATIO`` do.
    """
    if limiters <= 1:
        return VerdictAge(0.0, 0.0)
    step = GOSSIP_INTERVAL_MS / max(1e-6, 1.0 - loss) * limiters / (limiters - 1)
    hops = (1.0 + math.log2(limiters)) * HOP_MS
    grow = math.log(limiters) + 1.0
    return VerdictAge(step * grow + hops, step * (grow + math.log(TAIL_RATIO)) + hops)


@dataclass(frozen=True)
class DetectionTimes:
    """Ms until a lost link or limiter is detected by the limiters that had contact with it.

    ``quiet`` is the time until owners set its share of quotas aside.  ``silent`` is the time until two
    limiters have had no answer from it and the others have their findings, so that it gets no requests any
    more.
    """

    quiet: float
    silent: float


def detection_times(limiters: int, loss: float, aim: float, timeout_fraction: float) -> DetectionTimes:
    """Return the detection times.

    ``aim`` is the smallest latency target of all classes in ms; ``timeout_fraction`` is the fraction of it
    that a request waits for its answer.  Silence is detected by requests: the time counts from the second
    unanswered one.
    """
    return DetectionTimes(QUIET_AFTER_MS, aim * timeout_fraction + age(limiters, loss).tail)


@dataclass(frozen=True)
class MessageRates:
    """Maximum messages a second that arrive at an inbox.

    ``planned`` holds in every second but the first one of a flood; ``first_second`` holds in that one, before
    allowances have been received.
    """

    planned: float
    first_second: float


@dataclass(frozen=True)
class SlotBounds:
    """How a limit on the attempts at one node is divided; the sum never exceeds the limit.

    Each limiter has ``base`` slots for good, on average, and ``lent`` slots are lent on demand.  A limiter
    that cannot reach the lender has only its base after ``shrunk`` ms; the slots of a lost limiter may be
    lent to others after ``lent_anew`` ms.
    """

    base: float
    lent: int
    shrunk: float
    lent_anew: float


def slots(limiters: int, limit: int, max_deadline: float) -> SlotBounds:
    """Return the division of ``limit`` attempts; ``max_deadline`` is the longest deadline in ms."""
    base = int(limit * BASE_FRACTION)
    return SlotBounds(base / limiters, limit - base, LEASE_MS, LEASE_MS + max_deadline)


def takeover_time() -> float:
    """Return the ms until a job whose holder is lost has a successor.

    Two of its three custodians have to be alive and connected.  The time consists of the lease since the last
    message, the turns of the custodians before, a scan, and the rounds of a claim and a record, each
    ``REPLY_TIMEOUT_MS`` at most.  It does not depend on the number of limiters, since a group is always
    three.
    """
    return LEASE_AFTER_MS + (GROUP - 1) * TAKEOVER_STAGGER_MS + ORPHAN_SCAN_MS + 2 * REPLY_TIMEOUT_MS


@dataclass(frozen=True)
class ZoneTimes:
    """Ms until the last limiter has left a lost zone, and from its recovery until all use it fully again.

    ``return_once`` holds after one loss, ``return_max`` after many in a row.
    """

    leave: float
    return_once: float
    return_max: float


def zone_times(limiters: int, loss: float, attempt_timeout: float, attempts_per_s: float) -> ZoneTimes:
    """Return the times of the evacuation of a zone and of the return to it.

    ``attempt_timeout`` is the time in ms after which an unanswered attempt is given up; ``attempts_per_s`` is
    the rate at which one limiter sends attempts into the zone.

    A zone is left once enough attempts of one limiter have failed, nothing was served for
    ``SILENCE_AFTER_SUCCESS_MS``, and the finding has spread.  The return takes the hold, the probe slots
    until ``MIN_OBSERVERS`` limiters have probed in all but one of ``TAIL_RATIO`` cases, the answer to a
    probe, the time for the finding to spread, and the steps.
    """
    evidence = (
        1000.0 * MAX_FAILED_NODES_NEEDED / attempts_per_s
        + max(attempt_timeout, SILENCE_AFTER_SUCCESS_MS)
        + REEVALUATION_MS
    )
    spread = age(limiters, loss).tail
    probe_slots = 1
    while (
        sum(
            math.exp(-PROBERS_PER_SLOT * probe_slots)
            * (PROBERS_PER_SLOT * probe_slots) ** k
            / math.factorial(k)
            for k in range(MIN_OBSERVERS)
        )
        > 1.0 / TAIL_RATIO
    ):
        probe_slots += 1
    after = probe_slots * PROBE_SLOT_MS + attempt_timeout + spread + RETURN_MS + 4 * REEVALUATION_MS
    return ZoneTimes(evidence + spread, HOLD_MS * (1 + HOLD_JITTER) + after,
                     MAX_HOLD_MS * (1 + HOLD_JITTER) + after)


def max_extra_attempts(limiters: int, fraction: float) -> float:
    """Return by how many further attempts all limiters together may exceed ``fraction`` of the first ones."""
    return limiters * MAX_FURTHER_TOKENS if fraction else 0.0


def message_rates(inbox_per_s: float, senders: int) -> MessageRates:
    """Return the rates if ``senders`` limiters send to one at their maximum.

    ``inbox_per_s`` is the capacity of its inbox in messages a second.
    """
    planned = inbox_per_s * INBOX_FRACTION
    return MessageRates(planned, 2.0 * planned + senders)
