"""Leases of shares: which limiters' parts of a tenant's quota an owner may use.

Each limiter has an equal *share* of the rate and burst of every tenant's quota.  It *leases* its share to the
limiter that owns the tenant by its ring, to one at a time, and an owner uses its own share and those leased
to it.  Limiters that hold different rings, each on its side of a partition, therefore never use a share
twice.

A lease is valid for a duration after the owner has requested it, by the owner's clock, and somewhat longer
after it was granted, by the clock of the limiter that granted it.  Only durations are compared, so the clocks
need not agree.  There is no I/O here: times are milliseconds of one monotonic clock, given as an argument.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define, field

# How long a requested lease is valid, at the base values of ``consensus.timing``.  It ends before the
# other limiters can have removed a limiter from their rings (``membership.members.LEASE_MS``).
REQUESTED_LEASE_MS = 1_500.0
# How long an ask is valid as a lease.  Askers may use their shares themselves as soon as an ask is lost.
ASKED_LEASE_MS = 500.0
# Clocks may differ in rate by this fraction.
CLOCK_DRIFT = 0.05
# Fraction of its burst, and least number of tokens, that an owner may use before any share is leased to it.
UNLEASED_BURST_FRACTION = 0.25
MIN_UNLEASED_TOKENS = 4.0
# Leases are requested once the bucket holds fewer tokens than this fraction of those that it may hold without
# leases, until it holds ENOUGH_BURST_FRACTION of the burst and ENOUGH_TOKENS.
LOW_FRACTION = 0.5
MIN_LOW_TOKENS = 2.0
ENOUGH_BURST_FRACTION = 0.5
ENOUGH_TOKENS = 2.0
# Time until an unanswered request for a lease is repeated; doubled with each repetition.
REQUEST_BACKOFF_MS = 100.0
MAX_REQUEST_BACKOFF_MS = 1_200.0
# Leases requested at one time, so that the requests and their answers don't delay other work, and the time
# between two such times.
MAX_REQUESTS_AT_ONCE = 12
REQUEST_INTERVAL_MS = 15.0
# A lease is renewed once less than this fraction of its duration is left.
RENEWAL_FRACTION = 0.5
# Tenants whose shares a limiter leases; beyond this number the oldest lease is forgotten.
MAX_GRANTS = 200_000
# Time after its end for which a lease is remembered.
GRANT_MEMORY_MS = 120_000.0


@define(frozen=True)
class LeaseDurations:
    """How long leases are valid at the owner, in ms: one that was requested, and an ask."""

    requested: float = REQUESTED_LEASE_MS
    asked: float = ASKED_LEASE_MS

    def scaled(self, factor: float) -> LeaseDurations:
        """Returns the durations multiplied by ``factor``."""
        return LeaseDurations(self.requested * factor, self.asked * factor)


@define
class Grant:
    """A limiter's lease of its share of one tenant's quota.

    ``owner`` is the ring number of the limiter that holds it.  ``other_until`` is when the last lease to
    another limiter ended or will end."""

    owner: int
    until: float
    other_until: float


@define
class ShareGrants:
    """The leases that one limiter grants, by tenant.

    A process that restarted doesn't know what it granted before, and grants nothing before ``hold_until``."""

    durations: LeaseDurations = field(factory=LeaseDurations)
    hold_until: float = -math.inf
    by_tenant: dict[str, Grant] = field(factory=dict)

    @classmethod
    def at_start(cls, now: float, durations: LeaseDurations, *, first_start: bool) -> ShareGrants:
        """Returns the grants of a process that starts now."""
        # Longer leases than those by asks have ended, or nearly so, when a restarted process knows the ring.
        return cls(durations, -math.inf if first_start else now + _granted_duration(durations.asked))

    def grant_request(self, now: float, tenant: str, owner: int) -> float:
        """Leases the share of a tenant's quota to ``owner`` on its request; see ``grant_ask``."""
        return self._grant(now, tenant, owner, self.durations.requested)

    def grant_ask(self, now: float, tenant: str, owner: int) -> float:
        """Leases the share of a tenant's quota to ``owner``, which is about to be asked, unless another
        limiter still holds it.

        Returns for how many ms another limiter still holds it, in which case nothing is granted.  A negative
        number tells how long ago the last lease to another one ended, -inf that there was none."""
        return self._grant(now, tenant, owner, self.durations.asked)

    def _grant(self, now: float, tenant: str, owner: int, duration_ms: float) -> float:
        grant = self.by_tenant.get(tenant)
        if grant is None:
            if len(self.by_tenant) >= MAX_GRANTS:
                del self.by_tenant[next(iter(self.by_tenant))]
            grant = self.by_tenant[tenant] = Grant(owner, -math.inf, self.hold_until)
        if grant.owner != owner:
            held_until = max(grant.other_until, grant.until)
            if held_until > now:
                return held_until - now
            grant.owner, grant.until, grant.other_until = owner, -math.inf, held_until
        if grant.other_until <= now:
            grant.until = max(grant.until, now + _granted_duration(duration_ms))
        return grant.other_until - now

    def held_for(self, now: float, tenant: str) -> float:
        """Returns for how many ms another limiter still holds this limiter's share; 0 if none does."""
        grant = self.by_tenant.get(tenant)
        until = self.hold_until if grant is None else max(grant.until, grant.other_until)
        return max(0.0, until - now)

    def release(self, now: float, tenant: str, owner: int) -> None:
        """Ends the lease of ``owner``, which doesn't use the share any more."""
        grant = self.by_tenant.get(tenant)
        if grant is not None and grant.owner == owner:
            grant.until = min(grant.until, now)

    def expire(self, now: float) -> None:
        """Forgets leases that ended long ago."""
        for tenant, grant in list(self.by_tenant.items()):
            if now - max(grant.until, grant.other_until) > GRANT_MEMORY_MS:
                del self.by_tenant[tenant]


def unleased_tokens(burst: float) -> float:
    """Returns how many tokens an owner may hold before any share is leased to it."""
    return min(burst, max(MIN_UNLEASED_TOKENS, UNLEASED_BURST_FRACTION * burst))


def low_tokens(burst: float) -> float:
    """Returns the number of tokens below which an owner requests leases."""
    return max(MIN_LOW_TOKENS, LOW_FRACTION * unleased_tokens(burst))


def enough_tokens(burst: float) -> float:
    """Returns the number of tokens with which an owner requests no further leases."""
    return ENOUGH_BURST_FRACTION * burst + ENOUGH_TOKENS


def _granted_duration(duration_ms: float) -> float:
    """Returns for how long a limiter considers its share leased when the owner does so for
    ``duration_ms``."""
    return duration_ms * (1.0 + CLOCK_DRIFT)


@define
class LeaseRequest:
    """An owner's requests to one limiter for its share."""

    next_at: float = -math.inf
    backoff_ms: float = REQUEST_BACKOFF_MS


@define
class HeldShares:
    """The shares of one tenant's quota that its owner may use, and those that it may not, by ring number.

    The owner's bucket contains the tokens of the shares ``used``, its own among them.  The tokens of the
    shares ``withheld``, with the time since when each is, accrue in ``pool``.  Bucket and pool together hold
    what the bucket of a single owner would."""

    leases: dict[int, float] = field(factory=dict)
    used: set[int] = field(factory=set)
    withheld: dict[int, float] = field(factory=dict)
    pool: float = 0.0
    pool_updated_at: float = -math.inf
    requests: dict[int, LeaseRequest] = field(factory=dict)

    def accrue(self, now: float, per_ms: float, capacity: float) -> None:
        """Adds to the pool what has accrued, at ``per_ms`` for each share; it holds ``capacity`` at most."""
        if self.withheld:
            elapsed = max(0.0, now - self.pool_updated_at)
            self.pool = max(0.0, min(capacity, self.pool + elapsed * per_ms * len(self.withheld)))
        self.pool_updated_at = now

    def update(
        self,
        now: float,
        horizon: float,
        available: set[int],
        unavailable: set[int],
        tokens: float,
        minimum: float,
    ) -> float:
        """Withholds the shares that are no longer available, and returns the tokens left to the owner.

        ``available`` are the shares of the owner itself and of limiters that ask it; ``unavailable`` are all
        others, which are available if they are leased until after ``horizon``, the time of the next update.
        Of ``tokens`` the withheld shares take their parts, but ``minimum`` is left."""
        leased = {number for number in unavailable if self.leases.get(number, -math.inf) > horizon}
        for number in self.withheld.keys() - unavailable:
            # Its limiter has left the ring, or asks again after another owner held the share.
            self.take(now, number, 0.0, 0.0)
        lapsed = (unavailable - leased) & self.used
        remaining = tokens
        if lapsed and tokens > 0:
            kept = tokens * (1.0 - len(lapsed) / len(self.used))
            remaining = max(kept, min(tokens, minimum))
            self.pool += tokens - remaining
        for number in unavailable - leased - self.withheld.keys():
            self.withheld[number] = now
        self.used = available | leased
        return remaining

    def take(self, now: float, number: int, unused_for: float, per_ms: float) -> float:
        """Returns the tokens of a withheld share, which it loses.

        They are less if another owner used the share ``unused_for`` ms ago, since it was withheld."""
        since = self.withheld.get(number)
        if since is None:
            return 0.0
        tokens = self.pool / len(self.withheld)
        del self.withheld[number]
        self.pool -= tokens
        return tokens if unused_for >= now - since else min(tokens, unused_for * per_ms)

    def withhold_all(self, now: float, numbers: Iterable[int]) -> None:
        """Withholds all shares, without tokens."""
        self.used.clear()
        self.withheld = dict.fromkeys(numbers, now)
        self.pool, self.pool_updated_at = 0.0, now

    def next_expiry(self) -> float:
        """Returns when the first of the leases in use ends; infinity if there is none."""
        return min((until for number, until in self.leases.items() if number in self.used), default=math.inf)

    def clear(self) -> list[int]:
        """Gives all leases up, and returns the numbers of the limiters that granted them."""
        holders = list(self.leases)
        self.leases.clear()
        self.requests.clear()
        return holders

    def due_requests(self, now: float, numbers: Iterable[int], duration_ms: float, limit: int) -> list[int]:
        """Returns which of the limiters are to be asked for a lease now, ``limit`` at most, and notes that
        they are."""
        due: list[int] = []
        for number in numbers:
            if len(due) >= limit:
                break
            if self.leases.get(number, -math.inf) - now > RENEWAL_FRACTION * duration_ms:
                continue
            request = self.requests.setdefault(number, LeaseRequest())
            if now >= request.next_at:
                request.next_at = now + request.backoff_ms
                request.backoff_ms = min(MAX_REQUEST_BACKOFF_MS, 2.0 * request.backoff_ms)
                due.append(number)
        return due
