"""The owner's side of quotas: a tenant's bucket, the shares that it contains, and the accounts of askers."""

from __future__ import annotations

import math

from larklb.admission.quota_records import (
    NO_COPY_RATE_FRACTION,
    SILENCE_MAX_MS,
    SILENCE_MIN_MS,
    SLICE_VALID_MS,
    Allowance,
    Asker,
    OwnedBucket,
    QuotaDecision,
)
from larklb.admission.quota_slices import ONE_TOKEN, QuotaSlices
from larklb.admission.quota_state import MAX_TENANTS
from larklb.admission.share_leases import (
    REQUEST_BACKOFF_MS,
    low_tokens,
    unleased_tokens,
)
from larklb.quota.bucket import TokenBucket

# Askers tracked for one tenant.
MAX_ASKERS = 1024
# How long the slice of a silent asker, or of a limiter that left the ring, stays reserved.  This is longer
# than a slice is valid at the asker.  What is known of a peer outside the ring is kept for the same time.
RESERVATION_MS = 120_000.0
# Assumed gap between asks of an asker that has asked once, unless the tenant's rate implies a shorter one.
INITIAL_GAP_MS = 500.0
# Weight of the last gap in the moving average.
GAP_WEIGHT = 0.125
# A bucket created this soon after a change of the ring may have had another owner.  Also the idle time after
# which the bucket of a tenant that this limiter doesn't own any more is dropped.
RING_CHANGE_MS = 3000.0
# A bucket that may have had another owner or existed before starts with at most this fraction of its burst.
MOVED_BURST_FRACTION = 0.25
# Asks may lower the tokens of such a bucket to those of the asker's bucket copy for this long, during which
# the bucket counts as recently moved.
NEW_BUCKET_MS = 1000.0
# Least time between two updates of a bucket's shares; leases count as ended this much earlier.
SHARE_CHECK_INTERVAL_MS = 50.0
# Tenants for which lease requests may be due at the same time.
MAX_DUE_TENANTS = 1_000


class QuotaOwner(QuotaSlices):
    """The buckets of the tenants that a limiter owns."""

    def _get_owned(
        self, now: float, allowance: Allowance, version: int, tokens_left: float | None
    ) -> OwnedBucket:
        """Return the bucket of a tenant, created if there is none.

        A new bucket starts with at most ``tokens_left``, the tokens in an asker's bucket copy.
        """
        owned = self._owned.get(allowance.tenant)
        if owned is None:
            moved = now < self._restarting_until or now - self._ring_changed_at < RING_CHANGE_MS
            tokens = allowance.burst * (MOVED_BURST_FRACTION if moved else 1.0)
            tokens = min(tokens, self._take_own_copy(now, allowance.tenant))
            if tokens_left is not None:
                tokens = min(tokens, tokens_left)
            # Limiters that left the ring may still use their slices on the other side of a partition.
            tokens *= 1.0 - len(self._departed) / self._limiter_count()
            if len(self._owned) >= MAX_TENANTS:
                del self._owned[next(iter(self._owned))]
                # If the dropped tenant returns, its new bucket must not start full.
                self._ring_changed_at = now
            bucket = TokenBucket(allowance.rate, allowance.burst, tokens, now, born=now, version=version)
            owned = self._owned[allowance.tenant] = OwnedBucket(allowance.tenant, bucket, now, moved)
            if moved:
                owned.shares.withhold_all(now, self._ring)
                bucket.tokens = min(tokens, max(1.0, allowance.burst / self._limiter_count()))
            else:
                # The bucket holds the tokens of all shares; those that aren't leased are withheld next.
                owned.shares.used = set(self._ring)
        elif version >= owned.bucket.version:
            self._apply_allowance(now, owned, allowance, version)
        if owned.ownership_lost and self._owner(allowance.tenant) == self._own_number:
            # In the meantime another owner has admitted requests from a bucket of its own.
            owned.ownership_lost, owned.recently_moved, owned.next_check_at, owned.bucket.born = (
                False,
                True,
                -math.inf,
                now,
            )
            owned.bucket.tokens = min(owned.bucket.fill(now), self._take_own_copy(now, allowance.tenant))
            owned.shares.withhold_all(now, self._ring)
        owned.last_used_at = now
        return owned

    def _copy_to_slice(self, now: float, tenant: str, owned: OwnedBucket) -> None:
        """Set the tenant's slice from this limiter's own bucket, which it no longer owns.

        The slice has a valid bucket copy then, but no ask that brought it, and so is not released.
        """
        self._refresh(now, owned)
        bucket = owned.bucket
        tenant_slice = self._slice(now, Allowance(tenant, bucket.rate, bucket.burst))
        count = self._limiter_count()
        tenant_slice.tokens, tenant_slice.updated_at, tenant_slice.copied_at = (
            max(0.0, min(bucket.burst, bucket.tokens)) / count,
            now,
            now,
        )
        tenant_slice.ask_number, tenant_slice.owner = -1, -1

    def _apply_allowance(self, now: float, owned: OwnedBucket, allowance: Allowance, version: int) -> None:
        """Set the rate and burst of a bucket as in configuration version ``version``."""
        bucket = owned.bucket
        if (bucket.rate, bucket.burst) != (allowance.rate, allowance.burst):
            self._refresh(now, owned)
            bucket.change(now, allowance.rate, allowance.burst)
        bucket.version = version

    def _take_token(self, now: float, owned: OwnedBucket, decided_by: str) -> QuotaDecision:
        """Decide on one request by the bucket; take one of its tokens if the request is allowed."""
        self._refresh(now, owned)
        bucket = owned.bucket
        if bucket.tokens < low_tokens(bucket.burst) and now >= owned.next_request_at:
            self._note_lease_due(now, owned)
        if bucket.tokens < ONE_TOKEN:
            return QuotaDecision(False, max(1.0, bucket.wait_for(1.0) / max(bucket.part, 0.01)), decided_by)
        bucket.tokens -= 1.0
        return QuotaDecision(True, 0.0, decided_by)

    def _note_lease_due(self, now: float, owned: OwnedBucket) -> None:
        """Note that an owned tenant needs more shares."""
        if not owned.ownership_lost and len(self._lease_due) < MAX_DUE_TENANTS:
            self._lease_due[owned.tenant] = None
            owned.next_request_at = now + REQUEST_BACKOFF_MS / 2.0

    def _refresh(self, now: float, owned: OwnedBucket, *, force: bool = False) -> None:
        """Fill the bucket at its part of the rate, and update the shares that it contains.

        ``force`` updates them even if none can have changed yet.
        """
        bucket, shares = owned.bucket, owned.shares
        self._fill(now, owned)
        if force or now >= owned.next_check_at:
            self._reserve_silent(now, owned)
            self._update_shares(now, owned)
        overflow = bucket.tokens - max(bucket.burst * bucket.part, unleased_tokens(bucket.burst))
        if overflow > 0:
            bucket.tokens -= overflow
            shares.pool += overflow if shares.withheld else 0.0

    def _fill(self, now: float, owned: OwnedBucket) -> None:
        """Add what has accrued to the bucket and to the pool of the withheld shares."""
        bucket, shares, count = owned.bucket, owned.shares, self._limiter_count()
        bucket.fill(now)
        # Reservations are accounted for by asker, not in the bucket's escrow.
        bucket.escrow = 0.0
        capacity = bucket.burst * min(1.0, (len(shares.used) + len(shares.withheld)) / count)
        shares.accrue(now, bucket.rate / count / 1000.0, capacity - max(0.0, bucket.tokens))

    def _reserve_silent(self, now: float, owned: OwnedBucket) -> None:
        """Reserve the slices of askers that have become silent, as they may be deciding without this owner.

        When an asker becomes silent, the bucket is also charged with all that the slice may have admitted
        since the asker's last message: its part of the tokens in the owner's last reply, and of the rate
        since that message.  The debt is limited to one burst.  An account is dropped after
        ``RESERVATION_MS``, when the slice is no longer valid at the asker; nothing is added to the bucket
        then.
        """
        bucket, count = owned.bucket, self._limiter_count()
        owned.next_check_at = math.inf
        for number, asker in list(owned.askers.items()):
            silent_ms = now - asker.last_heard_at
            if silent_ms > RESERVATION_MS:
                del owned.askers[number]
                continue
            if not asker.reserved and silent_ms > asker.silence_timeout():
                asker.reserved, asker.reserved_tokens = True, max(0.0, asker.tokens_reported) / count
                possibly_used = asker.reserved_tokens + silent_ms * bucket.rate / count / 1000.0
                bucket.tokens += owned.shares.take(now, number, math.inf, 0.0)
                bucket.tokens = max(min(bucket.tokens, -bucket.burst), bucket.tokens - possibly_used)
            owned.next_check_at = min(
                owned.next_check_at,
                asker.last_heard_at + (RESERVATION_MS if asker.reserved else asker.silence_timeout()),
            )

    def _update_shares(self, now: float, owned: OwnedBucket) -> None:
        """Set the bucket's part of the quota (``bucket.part``) to the shares that this owner may use now.

        These are its own share, unless another limiter still holds it, those of its askers and those leased
        to it.
        """
        bucket, shares, horizon = owned.bucket, owned.shares, now + SHARE_CHECK_INTERVAL_MS
        available, unavailable = set[int](), set[int]()
        next_change = self._last_heard_at + SLICE_VALID_MS
        next_change = next_change if next_change > now else math.inf
        for number in self._ring:
            asker = owned.askers.get(number)
            if asker is not None and asker.reserved:
                continue
            if number == self._own_number:
                until, held_until = math.inf, now + self._grants.held_for(now, owned.tenant)
            elif asker is None:
                until = held_until = -math.inf
            else:
                # An ask is valid for as long as a lease.
                until, held_until = asker.last_heard_at + self._grants.durations.asked, asker.held_until
            if held_until > now:
                next_change = min(next_change, held_until)
            if held_until <= now and until > horizon:
                available.add(number)
                next_change = min(next_change, until)
            else:
                unavailable.add(number)
        minimum = unleased_tokens(bucket.burst)
        bucket.tokens = shares.update(now, horizon, available, unavailable, bucket.tokens, minimum)
        next_change = min(next_change, shares.next_expiry())
        owned.next_check_at = min(owned.next_check_at, max(horizon, next_change))
        if owned.recently_moved and now - bucket.born > NEW_BUCKET_MS:
            owned.recently_moved = False
        self._set_part(now, owned)

    def _set_part(self, now: float, owned: OwnedBucket) -> None:
        used: float = len(owned.shares.used)
        if self._own_number in owned.shares.used and now - self._last_heard_at > SLICE_VALID_MS:
            # The others may have ceased to reserve this limiter's share.
            used -= (1.0 - NO_COPY_RATE_FRACTION) * (len(self._ring) > 1)
        owned.bucket.part = min(1.0, used / self._limiter_count())

    def _ring_part(self) -> float:
        """Return the part of each quota that the limiters of the ring have, without those that left it."""
        return len(self._ring) / self._limiter_count() if self._ring else 1.0

    def _take_share(self, now: float, owned: OwnedBucket, number: int, held_for: float) -> None:
        """Add the share of a limiter, which asks this owner or has leased it, to the bucket.

        ``held_for`` is for how many ms another owner still holds the share; a negative number tells how long
        ago the last lease to another one ended.
        """
        if held_for > 0 or number not in self._nodes or number in owned.shares.used:
            return
        self._fill(now, owned)
        per_ms = owned.bucket.rate / self._limiter_count() / 1000.0
        owned.bucket.tokens += owned.shares.take(now, number, -held_for, per_ms)
        owned.shares.used.add(number)
        self._set_part(now, owned)

    def _apply_usage(
        self,
        now: float,
        owned: OwnedBucket,
        sender: int,
        incarnation: int,
        spent: int,
        acknowledged: int,
        held_tokens: float | None = None,
    ) -> None:
        """Account for the usage that an asker reports, in the bucket and in the asker's account.

        ``spent`` is the number of requests that the asker's slice has admitted since its process
        (``incarnation``) started, and ``acknowledged`` the part of it that an owner has accounted for.  The
        rest is deducted from the bucket, whose debt is limited to one burst.  A limiter of the ring that has
        no account gets one (``MAX_ASKERS`` at most), and nothing is deducted.

        If the slice was reserved, the bucket was charged with all of it already.  In this case the unused
        rest is added to the bucket and the reservation ends.  It is not more than ``held_tokens``, the tokens
        that the slice still has, which is given if the asker's bucket copy is that of another owner.  Nothing
        is added if the asker has restarted, as what its previous process admitted is unknown.
        """
        self._refresh(now, owned)
        bucket, count = owned.bucket, self._limiter_count()
        asker = owned.askers.get(sender)
        if asker is None:
            if len(owned.askers) < MAX_ASKERS and sender in self._nodes and sender != self._own_number:
                mean_gap_ms = 1000.0 * count / bucket.rate if bucket.rate > 0 else INITIAL_GAP_MS
                owned.askers[sender] = Asker(now, incarnation, spent, min(INITIAL_GAP_MS, mean_gap_ms))
                owned.next_check_at = min(owned.next_check_at, now + SILENCE_MIN_MS)
            # Nothing is deducted for an asker without an account: the previous owner had reserved its slice.
            return
        accounted = max(asker.spent, acknowledged) if incarnation == asker.incarnation else 0
        unaccounted = max(0, spent - accounted)
        if asker.reserved:
            # Without the reservation the bucket would have stopped filling at its burst, so no more than the
            # slice's part of the burst is added.  What accrues in SILENCE_MAX_MS comes on top, so that all of
            # a short silence is restored.
            tokens_per_ms = bucket.rate / count / 1000.0
            withheld_tokens = asker.reserved_tokens + (now - asker.last_heard_at) * tokens_per_ms
            max_restored = bucket.burst / count + SILENCE_MAX_MS * tokens_per_ms
            restored = (
                0.0 if incarnation != asker.incarnation else min(withheld_tokens - unaccounted, max_restored)
            )
            if held_tokens is not None:
                restored = min(restored, held_tokens)
            bucket.tokens = min(
                bucket.burst, max(min(bucket.tokens, -bucket.burst), bucket.tokens + restored)
            )
        elif unaccounted:
            bucket.tokens = max(min(bucket.tokens, -bucket.burst), bucket.tokens - unaccounted)
        if not asker.reserved:
            asker.mean_gap_ms += GAP_WEIGHT * (now - asker.last_heard_at - asker.mean_gap_ms)
        was_reserved = asker.reserved
        asker.last_heard_at, asker.incarnation, asker.spent, asker.reserved = now, incarnation, spent, False
        if was_reserved:
            self._refresh(now, owned, force=True)
