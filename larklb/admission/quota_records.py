"""State that a limiter keeps about quotas: buckets it owns, slices it holds, and the owners it asks."""

from __future__ import annotations

import math
from typing import Any, Final

from attrs import define, field

from larklb.admission.share_leases import HeldShares
from larklb.quota.breaker import CircuitBreaker
from larklb.quota.bucket import TokenBucket

# Timeout of an ask before a round trip has been measured.
INITIAL_TIMEOUT_MS = 60.0
# Lower bound of the timeout: even fast peers pause for garbage collection or a busy processor.
MIN_TIMEOUT_MS = 25.0
# Upper bound of the timeout: the request is held up for this long.
MAX_TIMEOUT_MS = 120.0
# How long a slice is valid, counted from the ask that brought its bucket copy.
SLICE_VALID_MS = 110_000.0
# Time until a release of a slice is repeated if it is not answered; doubled with each repetition.
RELEASE_BACKOFF_MS = 500.0
# An asker is silent after this many times its mean gap between asks.  2% of the gaps are longer.
SILENCE_GAPS = 4.0
# Lower bound of that time: one lost ask and its timeout must not count as silence.
SILENCE_MIN_MS = 200.0
# Upper bound of that time, longer than an idle asker takes to release its slice.
SILENCE_MAX_MS = 2000.0
# Fraction of its slice of the rate that a limiter may use without a valid bucket copy.
NO_COPY_RATE_FRACTION = 0.1
# Fraction of ``OvershootBound.slack`` that the slices may use; the rest covers events that are noticed late.
SLACK_FRACTION = 0.75

# Fractions of the permitted overshoot and slack that a tenant without a configured burst may use as one.
DEFAULT_BURST_OVERSHOOT_FRACTION = 0.5
DEFAULT_BURST_SLACK_FRACTION = 0.25
# Rates (per second) and bursts beyond these have no effect that could be noticed; arithmetic must stay exact.
MAX_RATE = 1e9
MAX_BURST = 1e9

# Values of ``QuotaDecision.decided_by``.
OWNER: Final = "owner"
ASKED: Final = "asked"
COPY: Final = "copy"
SLICE: Final = "slice"


@define(frozen=True)
class OvershootBound:
    """How far admission may exceed a quota.

    In any window of ``window_s`` seconds it may exceed the quota by the fraction ``overshoot`` and by
    ``slack`` requests.
    """

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0


@define(frozen=True)
class Allowance:
    """A tenant's configured quota: ``rate`` in requests per second (0: unlimited) and ``burst`` in
    requests."""

    tenant: str
    rate: float
    burst: float


def configured_allowance(tenant: str, rate: float, burst: float, bound: OvershootBound) -> Allowance:
    """Returns the allowance for a tenant with this configured rate and burst, each 0 if none is given.

    Without a burst, requests that come unevenly would all be refused, so that a part of the overshoot that
    ``bound`` permits is allowed. A burst always allows one request."""
    if burst == 0:
        overshoot = bound.overshoot * bound.window_s * rate
        burst = DEFAULT_BURST_OVERSHOOT_FRACTION * overshoot + DEFAULT_BURST_SLACK_FRACTION * bound.slack
    return Allowance(tenant, min(rate, MAX_RATE), min(max(1.0, burst), MAX_BURST))


@define
class QuotaDecision:
    """The decision on one request.

    ``retry_after_ms`` is 0 if the request is allowed.  ``decided_by`` tells what the decision is based on:
    the bucket of this limiter ("owner"), an answer of the owner ("asked"), a slice with a recent bucket copy
    ("copy"), or a slice with an older copy or none ("slice").
    """

    allowed: bool
    retry_after_ms: float
    decided_by: str


@define
class Ask:
    """A message to be sent to the limiter with the ring number ``owner``; it times out at ``deadline``
    (ms)."""

    number: int
    owner: int
    message: dict[str, Any]
    deadline: float


@define
class PendingAsk:
    """An ask that was sent at ``sent_at`` (ms) and has not been answered."""

    allowance: Allowance
    owner: int
    sent_at: float
    timed_out: bool = False


@define
class Slice:
    """The part of a tenant's quota that this limiter may use without asking the owner.

    ``rate`` and ``burst`` are those of the whole quota; ``tokens`` are those of the slice alone.
    """

    rate: float
    burst: float
    tokens: float
    updated_at: float
    # Time of the last request of the tenant.
    last_used_at: float
    bound: OvershootBound
    # Time at which the ask was sent whose answer brought the bucket copy.
    copied_at: float = -math.inf
    # Number of that ask; -1 without a bucket copy, or if it is that of this limiter's own former bucket.
    ask_number: int = -1
    # Ring number of the limiter whose bucket was copied; -1 if none was or it was this limiter's own.
    owner: int = -1
    # Requests admitted by the slice since this process started, and how many of them an owner has
    # acknowledged.
    spent: int = 0
    acknowledged: int = 0
    next_release_at: float = -math.inf
    release_backoff_ms: float = RELEASE_BACKOFF_MS

    def capacity(self, limiters: int) -> float:
        """Return the largest number of tokens the slice may hold when ``limiters`` share the quota.

        All slices together are bounded by the permitted overshoot, as a bucket copy may date from just before
        the owner's burst was spent.
        """
        bound = self.bound
        spare = bound.overshoot * (bound.window_s * self.rate + self.burst) + bound.slack * SLACK_FRACTION
        # The slice must be able to hold one token; otherwise a tenant with a small quota would get nothing.
        return max(1.0, min(self.burst, spare) / limiters)

    def fill(self, now: float, limiters: int) -> float:
        """Add the tokens accrued until ``now``; return the fill rate in tokens per second."""
        valid = now - self.copied_at <= SLICE_VALID_MS
        rate = self.rate / limiters * (1.0 if valid else NO_COPY_RATE_FRACTION)
        accrued = max(0.0, now - self.updated_at) * rate / 1000.0
        self.tokens = min(self.capacity(limiters), self.tokens + accrued)
        self.updated_at = max(self.updated_at, now)
        return rate


@define
class Asker:
    """A limiter that asks the owner about a tenant, with the owner's account of that limiter's slice."""

    last_heard_at: float
    incarnation: int
    # The count of requests admitted by its slice that the asker reported last.
    spent: int
    # Moving average of the time between its asks.
    mean_gap_ms: float
    # Tokens of the owner's bucket in the last reply that was sent to it.
    tokens_reported: float = 0.0
    # Whether the asker is silent and its slice is therefore reserved in the owner's bucket.
    reserved: bool = False
    # Tokens that the reserved slice may have held at ``last_heard_at``.
    reserved_tokens: float = 0.0
    # Until then another owner holds the asker's share.
    held_until: float = -math.inf

    def silence_timeout(self) -> float:
        """Return the time in milliseconds without an ask after which the asker counts as silent."""
        return min(SILENCE_MAX_MS, max(SILENCE_MIN_MS, SILENCE_GAPS * self.mean_gap_ms))


@define
class OwnedBucket:
    """A tenant's token bucket at its owner, with the limiters that ask for the tenant."""

    tenant: str
    bucket: TokenBucket
    last_used_at: float
    # The bucket may have had another owner shortly before, which some limiters may still ask.
    recently_moved: bool
    # Another limiter owns the tenant now.
    ownership_lost: bool = False
    askers: dict[int, Asker] = field(factory=dict)
    # Before this time no asker becomes silent and ``bucket.part`` doesn't change.
    next_check_at: float = -math.inf
    # The shares of the quota that the bucket contains, and those that it lacks.
    shares: HeldShares = field(factory=HeldShares)
    # Before this time no further lease is requested.
    next_request_at: float = -math.inf


@define
class OwnerPeer:
    """What is known of another limiter: its round-trip time (estimated as in RFC 6298)."""

    breaker: CircuitBreaker = field(factory=CircuitBreaker)
    # Smoothed round-trip time and its variation in milliseconds; a negative variation means no measurement
    # yet.
    srtt: float = 0.0
    rttvar: float = -1.0
    last_used_at: float = -math.inf

    def record_round_trip(self, rtt_ms: float) -> None:
        """Record a measured round-trip time."""
        if self.rttvar < 0:
            self.srtt, self.rttvar = rtt_ms, rtt_ms / 2.0
        else:
            self.rttvar += 0.25 * (abs(self.srtt - rtt_ms) - self.rttvar)
            self.srtt += 0.125 * (rtt_ms - self.srtt)

    def timeout(self) -> float:
        """Return the time in milliseconds after which an ask counts as unanswered."""
        if self.rttvar < 0:
            return INITIAL_TIMEOUT_MS
        return min(MAX_TIMEOUT_MS, max(MIN_TIMEOUT_MS, self.srtt + 4.0 * self.rttvar))
