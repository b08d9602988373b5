"""What a limiter keeps of quotas: buckets that it owns, slices that it holds, and the limiters it asks."""

from __future__ import annotations

import math
from typing import Any

from attrs import define, field

from larklb.quota.breaker import CircuitBreaker
from larklb.quota.bucket import TokenBucket

FIRST_TIMEOUT_MS = 60.0  # before a round trip has been seen
MIN_TIMEOUT_MS = 25.0  # quick peers still stall for a garbage collection or a busy processor
MAX_TIMEOUT_MS = 120.0  # a request is held for it
SLICE_VALID_MS = 110_000.0  # how long a slice holds without a word of the owner ...
RELEASE_BACKOFF_MS = 500.0  # ... and again, at first after this long and then twice as long
SILENCE_GAPS = 4.0  # mean gaps between an asker's asks that count as silence: 2% of gaps are longer
SILENCE_MIN_MS = 200.0  # a lost ask and its time-out aren't silence
SILENCE_MAX_MS = 2000.0  # longer than an idle asker takes to give back
HELLO_BACKOFF_MS = 200.0  # between words to a limiter that hasn't agreed to the ring, and then twice as long
NO_COPY_RATE_FRACTION = 0.1  # of its slice of the rate, for a limiter that holds none
SLACK_FRACTION = 0.75  # of the rule's slack is for slices; the rest for what is seen late


@define(frozen=True)
class OvershootBound:
    """What the rule lets in beyond a quota: in any ``window_s`` this part of it, and ``slack``."""

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0


@define(frozen=True)
class Allowance:
    """What the configuration gives a tenant: ``rate`` a second (0: no limit), ``burst`` in requests."""

    tenant: str
    rate: float
    burst: float


@define
class Verdict:
    """``retry_after_ms`` is 0 when allowed; ``by`` tells who decided: owner, asked, copy or slice."""

    allowed: bool
    retry_after_ms: float
    decided_by: str


@define
class Ask:
    """To be sent to the limiter with the ring number ``owner``; given up at ``give_up_at`` (ms)."""

    number: int
    owner: int
    message: dict[str, Any]
    deadline: float


@define
class PendingAsk:
    """An ask that was sent and has no verdict yet; ``sent`` in ms."""

    allowance: Allowance
    owner: int
    sent_at: float
    timed_out: bool = False


@define
class Slice:
    """What this limiter may let in of a tenant by itself."""

    rate: float
    burst: float
    tokens: float
    updated_at: float
    last_used_at: float  # last request
    bound: OvershootBound
    copied_at: float = -math.inf  # when the copy was asked for
    ask_number: int = -1  # of the ask that brought it
    owner: int = -1  # whose copy it is
    spent: int = 0  # let in without the owner, in this life ...
    acknowledged: int = 0  # ... of which an owner has heard
    next_release_at: float = -math.inf
    release_backoff_ms: float = RELEASE_BACKOFF_MS

    def capacity(self, limiters: int) -> float:
        """The tokens it holds: a copy may be of just before the owner's burst was spent."""
        bound = self.bound
        spare = bound.overshoot * (bound.window_s * self.rate + self.burst) + bound.slack * SLACK_FRACTION
        # A token must fit in, or a small tenant would get nothing.
        return max(1.0, min(self.burst, spare) / limiters)

    def fill(self, now: float, limiters: int) -> float:
        """Tokens at ``now``; returns the rate a second that it fills at."""
        held = now - self.copied_at <= SLICE_VALID_MS
        rate = self.rate / limiters * (1.0 if held else NO_COPY_RATE_FRACTION)
        gain = max(0.0, now - self.updated_at) * rate / 1000.0
        self.tokens = min(self.capacity(limiters), self.tokens + gain)
        self.updated_at = max(self.updated_at, now)
        return rate


@define
class Asker:
    """One that asks the owner for a tenant: its slice, and what of it is set aside."""

    last_heard_at: float
    incarnation: int
    spent: int  # what it last told
    mean_gap_ms: float
    tokens_reported: float = 0.0  # what it was told last
    reserved: bool = False
    reserved_tokens: float = 0.0  # at ``heard``, while apart

    def silence_timeout(self) -> float:
        """Ms without an ask after which it counts as silent."""
        return min(SILENCE_MAX_MS, max(SILENCE_MIN_MS, SILENCE_GAPS * self.mean_gap_ms))


@define
class OwnedBucket:
    """A tenant's bucket at its owner, with the slices of those that ask for it."""

    bucket: TokenBucket
    last_used_at: float
    recently_moved: bool  # made where another owner may have been: some may still ask it
    ownership_lost: bool = False  # another is the owner now
    askers: dict[int, Asker] = field(factory=dict)
    next_check_at: float = -math.inf  # no asker turns silent, and no part changes, before
    reserved_slices: int = 0


@define
class OwnerPeer:
    """Round trips to an owner, RFC 6298 in milliseconds."""

    breaker: CircuitBreaker = field(factory=CircuitBreaker)
    srtt: float = 0.0
    rttvar: float = -1.0  # below 0: none seen yet
    last_used_at: float = -math.inf
    ring_agreed: bool = False  # it has this one's ring, and knows that this one is there
    next_hello_at: float = -math.inf
    hello_backoff_ms: float = HELLO_BACKOFF_MS

    def record_round_trip(self, trip: float) -> None:
        """One round trip took ``trip`` ms."""
        if self.rttvar < 0:
            self.srtt, self.rttvar = trip, trip / 2.0
        else:
            self.rttvar += 0.25 * (abs(self.srtt - trip) - self.rttvar)
            self.srtt += 0.125 * (trip - self.srtt)

    def timeout(self) -> float:
        """Ms after which an ask counts as unanswered."""
        if self.rttvar < 0:
            return FIRST_TIMEOUT_MS
        return min(MAX_TIMEOUT_MS, max(MIN_TIMEOUT_MS, self.srtt + 4.0 * self.rttvar))
