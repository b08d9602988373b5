"""Retry budget: limits what one limiter sends to a service beyond the first attempt of each request.

The bound applies to the sum over all limiters, but a limiter does not know what the others send.  Each
limiter therefore bounds its own retries by its own requests.  For every window of the configured length that
begins at an instant *a*, the retries in it must not exceed

    RATIO_FACTOR x ratio x (current/4 + half/2 + previous/4) + this limiter's share of the slack

where current, half and previous count this limiter's requests in the windows that begin at *a*, half a window
earlier and one window earlier.  The bound over all limiters is stated with the maximum of the three sums.  A
fixed weighted mean is used here because it is linear and adds up over limiters, which the maximum does not,
and because the mean of the sums never exceeds their maximum.

The shares of the slack add up to ``SLACK_FRACTION`` of it.  A process that restarts among running limiters
has no share for one window, as its previous incarnation may have spent it, and starts with no requests
counted; any number of restarts therefore adds nothing.

Requests and retries are counted per time slot.  Windows of retries are rounded up by at most one slot, and
windows of requests are rounded down by at most one slot at either end.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from itertools import accumulate

from attrs import define, field

from larklb.quota.ring import digest

# Slots per window.  The slots at the two ends of a window, 5% of its requests, are not counted.
SLOTS_PER_WINDOW = 40
# Fraction of the ratio that is used: retries reach servers later and closer together than they were counted.
RATIO_FACTOR = 0.85
# Fraction of the slack that is shared out, for the same reason and for limiters that come and go.
SLACK_FRACTION = 0.6
# The largest number of limiters seen is used for this many windows, as one side of a partition sees fewer.
LIMITER_COUNT_WINDOWS = 12
# Services that are counted at the same time.
MAX_SERVICES = 1024

_HALF_WINDOW_SLOTS = SLOTS_PER_WINDOW // 2
_RETAINED_SLOTS = 2 * SLOTS_PER_WINDOW + 2


@define
class _SlotCounts:
    """Requests and retries of one service per slot; the last entry is the slot numbered ``slot``."""

    slot: int
    requests: list[int] = field(factory=lambda: [0] * _RETAINED_SLOTS)
    retries: list[int] = field(factory=lambda: [0] * _RETAINED_SLOTS)

    def advance(self, slot: int) -> None:
        """Make ``slot`` the last entry and drop the oldest slots."""
        elapsed = min(_RETAINED_SLOTS, slot - self.slot)
        if elapsed > 0:
            for counts in (self.requests, self.retries):
                del counts[:elapsed]
                counts.extend([0] * elapsed)
            self.slot = slot


class RetryBudget:
    """The retry budget of one limiter, kept for each service."""

    def __init__(
        self,
        ratio: float,
        window_ms: float,
        slack: float,
        limiters: Callable[[], int] | int,
        now: float,
        *,
        first_start: bool,
        node: str = "",
    ) -> None:
        """Create an empty budget at the time ``now``.

        ``ratio`` is the number of retries allowed per request and ``slack`` a number of retries allowed in
        each window besides.  ``limiters`` is the number of limiters that share the slack, or a function that
        returns it.  ``first_start`` is False for a process that restarts among running limiters.  ``node``
        decides in which windows this limiter may use the slack when there is less than one retry of it for
        each limiter.
        """
        self._ratio, self._window, self._slack, self._node = ratio, window_ms, slack, node
        self._limiters: Callable[[], int] = (lambda: limiters) if isinstance(limiters, int) else limiters
        self._slack_from = now if first_start else now + window_ms
        # The largest number of limiters and when it was seen.
        self._max_limiters: tuple[int, float] = (1, -math.inf)
        self._services: dict[str, _SlotCounts] = {}

    def record_request(self, now: float, service: str) -> None:
        """Count a request for the service, whether or not it will be sent."""
        self._counts(now, service).requests[-1] += 1

    def take_retry(self, now: float, service: str) -> bool:
        """Take one retry from the budget; if False, none was taken and none may be sent."""
        counts = self._counts(now, service)
        if not self._within_budget(now, counts):
            return False
        counts.retries[-1] += 1
        return True

    def can_retry(self, now: float, service: str) -> bool:
        """Return whether ``take_retry`` would succeed, without taking a retry."""
        return self._within_budget(now, self._counts(now, service))

    def _counts(self, now: float, service: str) -> _SlotCounts:
        slot = int(now * SLOTS_PER_WINDOW // self._window)
        counts = self._services.get(service)
        if counts is None:
            if len(self._services) >= MAX_SERVICES:
                # The retries of a dropped service must not be granted again, so the slack is withheld for one
                # window as it is after a restart.
                oldest = min(self._services, key=lambda name: self._services[name].slot)
                if slot - self._services.pop(oldest).slot < SLOTS_PER_WINDOW + 1:
                    self._slack_from = max(self._slack_from, now + self._window)
            counts = self._services[service] = _SlotCounts(slot)
        counts.advance(slot)
        return counts

    def _within_budget(self, now: float, counts: _SlotCounts) -> bool:
        """Return whether one more retry now keeps every window within the bound."""
        sums = [0, *accumulate(counts.requests)]
        slack, retries, end = self._slack_share(now), 1, _RETAINED_SLOTS
        # ``start`` is the slot in which the window begins; ``retries`` includes the one to be allowed.
        for start in range(_RETAINED_SLOTS - 1, _RETAINED_SLOTS - 2 - SLOTS_PER_WINDOW, -1):
            retries += counts.retries[start]
            current = sums[min(end, start + SLOTS_PER_WINDOW)] - sums[min(end, start + 1)]
            half = sums[min(end, start + _HALF_WINDOW_SLOTS)] - sums[max(0, start - _HALF_WINDOW_SLOTS + 1)]
            previous = sums[start] - sums[max(0, start - SLOTS_PER_WINDOW + 1)]
            if retries > RATIO_FACTOR * self._ratio * (current + 2 * half + previous) / 4.0 + slack:
                return False
        return True

    def _slack_share(self, now: float) -> float:
        """Return this limiter's share of the slack, in retries."""
        limiters, (max_limiters, seen_at) = max(1, self._limiters()), self._max_limiters
        if limiters >= max_limiters or now - seen_at > LIMITER_COUNT_WINDOWS * self._window:
            self._max_limiters = max_limiters, _ = limiters, now
        if now < self._slack_from:
            return 0.0
        share = SLACK_FRACTION * self._slack / max_limiters
        if share >= 1.0:
            return share
        # A limiter gets a whole retry in a fraction of the windows, chosen by hash.  The fraction is halved
        # because a sliding window overlaps two of them.
        position = digest(f"{self._node} {now // self._window:.0f}") / 2.0**64
        return 1.0 if position < share / 2.0 else 0.0
