"""What the fleet states in advance: how old verdicts may be, how far off limits go while links fail.

Derived in ``docs/design/fleet-limits.md``, and kept in simulation by ``benchmarks/fleet_limits.py``.
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

HOP_MS = 80.0              # of a message: the longest delay of the operators' brief, and a tick at each end
# one in so many pairs of a finding and a limiter may be older than the second age
TAIL_RATIO = 1000.0


@dataclass(frozen=True)
class VerdictAge:
    """Ms from the second observer's finding until a verdict stands: at half of the limiters, at 99.9%."""

    median: float
    tail: float


def age(limiters: int, loss: float) -> VerdictAge:
    """Of a verdict, while links are whole but for ``loss`` of the messages (0 to 1).

    Each who knows of a grave finding tells one limiter drawn from all in every SPREAD_MS (itself among them:
    then nobody), so those who know grow by a factor e in a step of SPREAD_MS / (1 - loss) until half of them
    do, and after that those who do not shrink by as much: ln N steps until all but a constant part know, and
    ln TAIL more until all but one in TAIL do."""
    if limiters <= 1:
        return VerdictAge(0.0, 0.0)
    step = GOSSIP_INTERVAL_MS / max(1e-6, 1.0 - loss) * limiters / (limiters - 1)
    hops = (1.0 + math.log2(limiters)) * HOP_MS
    grow = math.log(limiters) + 1.0
    return VerdictAge(step * grow + hops, step * (grow + math.log(TAIL_RATIO)) + hops)


@dataclass(frozen=True)
class DetectionTimes:
    """Ms until a lost link or limiter is noticed by those who were hearing it."""

    quiet: float               # its share of quotas is kept aside
    silent: float              # two have asked it in vain, and the rest have heard of that: it is not asked


def detection_times(limiters: int, loss: float, aim: float, give_up: float) -> DetectionTimes:
    """``aim``: ms, the least of all classes; ``give_up``: the part of it that an ask is waited for.

    Silence is noticed by asks: the figure counts from the second ask in vain on."""
    return DetectionTimes(QUIET_AFTER_MS, aim * give_up + age(limiters, loss).tail)


@dataclass(frozen=True)
class MessageRates:
    """Messages a second that an inbox takes, ..."""

    planned: float             # ... as planned for, in every second but the first of a flood
    first_second: float               # ... and in that one, before allowances have come


@dataclass(frozen=True)
class SlotBounds:
    """Of a limit on what is at one node at once, in attempts; no more than the limit is ever lent."""

    base: float                # each limiter has so many for good, on average
    lent: int                  # are lent to those who want them
    shrunk: float              # ms until one who cannot ask has its base alone
    lent_anew: float           # ms until the share of one who is lost may be lent to others


def slots(limiters: int, most: int, longest: float) -> SlotBounds:
    """``most`` attempts at once of all; ``longest``: ms, the longest deadline."""
    base = int(most * BASE_FRACTION)
    return SlotBounds(base / limiters, most - base, LEASE_MS, LEASE_MS + longest)


def takeover_time() -> float:
    """Ms until a job whose holder is lost has another one, while two of its three custodians are there and
    hear each other: the lease since the last word, the turns of those before, a look, and the rounds of a
    claim and a record, each WORD_MS at the most.  Any number of limiters has the same: a group is three."""
    return LEASE_AFTER_MS + (GROUP - 1) * TAKEOVER_STAGGER_MS + ORPHAN_SCAN_MS + 2 * REPLY_TIMEOUT_MS


@dataclass(frozen=True)
class ZoneTimes:
    """Ms from a zone's loss until the last limiter has left it, and from when it is well until the last one
    uses it wholly again: after one loss, and after many in a row."""

    leave: float
    return_once: float
    return_max: float


def zone_times(limiters: int, loss: float, patience: float, into_per_s: float) -> ZoneTimes:
    """``patience``: ms until an attempt that hears nothing is given up; ``into_per_s``: attempts a second
    that one limiter sends into the zone.

    Left: enough attempts of one limiter have failed, nothing was served for SERVED_MS, and the word of it
    comes round.  Back: the hold, slots until so many probes have gone out that OBSERVERS are among them but
    for one day in a thousand, a probe's answer, the word of it, the steps."""
    evidence = (
        1000.0 * MAX_FAILED_NODES_NEEDED / into_per_s
        + max(patience, SILENCE_AFTER_SUCCESS_MS)
        + REEVALUATION_MS
    )
    word = age(limiters, loss).tail
    slots = 1
    while sum(math.exp(-PROBERS_PER_SLOT * slots) * (PROBERS_PER_SLOT * slots) ** k / math.factorial(k)
              for k in range(MIN_OBSERVERS)) > 1.0 / TAIL_RATIO:
        slots += 1
    after = slots * PROBE_SLOT_MS + patience + word + RETURN_MS + 4 * REEVALUATION_MS
    return ZoneTimes(evidence + word, HOLD_MS * (1 + HOLD_JITTER) + after,
                     MAX_HOLD_MS * (1 + HOLD_JITTER) + after)


def max_extra_attempts(limiters: int, part: float) -> float:
    """Further attempts that all limiters together may be ahead of ``part`` of their first ones."""
    return limiters * MAX_FURTHER_TOKENS if part else 0.0


def message_rates(inbox_per_s: float, heard: int) -> MessageRates:
    """Where ``heard`` limiters write to one at their most."""
    plan = inbox_per_s * INBOX_FRACTION
    return MessageRates(plan, 2.0 * plan + heard)
