"""The budget of further tries: what one limiter may send to a service past the first try of each request.

The rule sums over all limiters, and none knows what the others do.  So each keeps to its own requests:
whatever window of the rule's length begins at an instant *a*, the further tries in it are no more than

    MARGIN x ratio x (cur/4 + half/2 + before/4) + its part of the slack

where cur, half and before are this limiter's requests in the windows that begin at *a*, half a window
before and a window before.  A fixed mean of the three is linear in the requests, so it adds up over
limiters, which the greatest of the three does not; and the mean of the sums is no more than the greatest of
the sums, which the rule goes by.  The parts of the slack add up to ``SLACK_PART`` of it.  A process that
restarted among running ones has no part for one window (its last life may have spent it) and begins without
requests, so any number of restarts adds nothing.  Counts go by slots: those of further tries are taken too
wide by up to a slot, those of requests too narrow by up to a slot at either end.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from itertools import accumulate

from attrs import define, field

from larklb.quota.ring import digest

SLOTS = 40  # of a window: 5% of the requests of a window lie at its ends and aren't counted
MARGIN = 0.85  # of the ratio: tries arrive a little later, and closer together, than counted
SLACK_PART = 0.6  # of the slack, for the same reason and for limiters that come and go
LIMITERS_KEPT = 12  # windows in which the greatest count of limiters holds: a side cut off sees fewer
SERVICES = 1024  # counted at once

_HALF = SLOTS // 2
_KEPT = 2 * SLOTS + 2


@define
class _Counts:
    """Of one service, slot by slot; the last one is the current."""

    slot: int
    firsts: list[int] = field(factory=lambda: [0] * _KEPT)
    repeats: list[int] = field(factory=lambda: [0] * _KEPT)

    def advance(self, slot: int) -> None:
        gone = min(_KEPT, slot - self.slot)
        if gone > 0:
            for counts in (self.firsts, self.repeats):
                del counts[:gone]
                counts.extend([0] * gone)
            self.slot = slot


class RetryBudget:
    """Further tries by service; ``ratio`` per request, ``slack`` in tries, ``share`` the limiters that
    divide it; ``node`` tells whose turn it is where there isn't a whole try of slack for each."""

    def __init__(
        self,
        ratio: float,
        window_ms: float,
        slack: float,
        share: Callable[[], int] | int,
        now: float,
        *,
        first_start: bool,
        node: str = "",
    ) -> None:
        self._ratio, self._window, self._slack, self._node = ratio, window_ms, slack, node
        self._limiters: Callable[[], int] = (lambda: share) if isinstance(share, int) else share
        self._slack_from = now if first_start else now + window_ms
        self._most: tuple[int, float] = (1, -math.inf)
        self._services: dict[str, _Counts] = {}

    def record_request(self, now: float, service: str) -> None:
        """A request for the service has come, whether or not it will be sent."""
        self._counts(now, service).firsts[-1] += 1

    def take_retry(self, now: float, service: str) -> bool:
        """Take one further try; when False none was taken and none may be sent."""
        counts = self._counts(now, service)
        if not self._within_budget(now, counts):
            return False
        counts.repeats[-1] += 1
        return True

    def can_retry(self, now: float, service: str) -> bool:
        """Whether ``may_repeat`` would say yes; takes nothing."""
        return self._within_budget(now, self._counts(now, service))

    def _counts(self, now: float, service: str) -> _Counts:
        slot = int(now * SLOTS // self._window)
        counts = self._services.get(service)
        if counts is None:
            if len(self._services) >= SERVICES:
                # what is forgotten must not be spent twice: the new one starts as after a restart
                oldest = min(self._services, key=lambda name: self._services[name].slot)
                if slot - self._services.pop(oldest).slot < SLOTS + 1:
                    self._slack_from = max(self._slack_from, now + self._window)
            counts = self._services[service] = _Counts(slot)
        counts.advance(slot)
        return counts

    def _within_budget(self, now: float, counts: _Counts) -> bool:
        sums = [0, *accumulate(counts.firsts)]
        slack, repeats, last = self._part(now), 1, _KEPT
        for start in range(_KEPT - 1, _KEPT - 2 - SLOTS, -1):  # the slot in which the window begins
            repeats += counts.repeats[start]
            cur = sums[min(last, start + SLOTS)] - sums[min(last, start + 1)]
            half = sums[min(last, start + _HALF)] - sums[max(0, start - _HALF + 1)]
            before = sums[start] - sums[max(0, start - SLOTS + 1)]
            if repeats > MARGIN * self._ratio * (cur + 2 * half + before) / 4.0 + slack:
                return False
        return True

    def _part(self, now: float) -> float:
        """This limiter's part of the slack, in tries."""
        limiters, (most, seen) = max(1, self._limiters()), self._most
        if limiters >= most or now - seen > LIMITERS_KEPT * self._window:
            self._most = most, _ = limiters, now
        if now < self._slack_from:
            return 0.0
        part = SLACK_PART * self._slack / most
        if part >= 1.0:
            return part
        # Half of the turns, because a sliding window meets two of them.
        turn = digest(f"{self._node} {now // self._window:.0f}") / 2.0**64
        return 1.0 if turn < part / 2.0 else 0.0
