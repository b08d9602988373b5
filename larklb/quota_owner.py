"""The owner's side of quotas: buckets of the customers that a gateway owns, and leases on them.

``Gateway`` in ``decide.py`` inherits ``QuotaOwner`` and creates all its attributes.  No input or output is
done here.
"""

from __future__ import annotations

from collections.abc import Sequence

from larklb import interface as io
from larklb.quota.bucket import TokenBucket
from larklb.quota.entitlements import Entitlements
from larklb.quota.fallback import Fallback
from larklb.quota.table_limits import evict_fullest
from larklb.records import QuotaLease


class QuotaOwner:
    """The part of a gateway that decides on the quotas it owns.

    ``buckets`` holds, by customer key, the index of the plan that requests name and the bucket.  ``leases``
    is keyed by lease id: the sender of the ask and the ask's number.
    """

    settings: io.Settings
    entitlements: Entitlements
    fallback: Fallback
    plans: dict[str, tuple[int, io.Plan]]
    max_deadline: float
    buckets: dict[int, tuple[int, TokenBucket]]
    leases: dict[tuple[int, int], QuotaLease]
    actions: list[io.Action]

    def bucket_rows(self) -> list[tuple[int, str, float, float]]:
        """The owned buckets for a store, as rows of customer key, plan name, tokens, and their time in ms."""
        return [(key, self.settings.plans[p].name, min(b.tokens, b.burst), b.at)
                for key, (p, b) in self.buckets.items()]

    def restore(self, now: float, rows: Sequence[tuple[int, str, float, float]]) -> int:
        """Restores buckets from rows of a store and returns how many there are.

        Must be called before the first request.  Rows of unknown plans or from the future are left out.
        """
        for key, plan_name, tokens, at in rows:
            if plan_name in self.plans and at <= now:
                plan_index = self.plans[plan_name][0]
                self.buckets[key] = (
                    plan_index, self.entitlements.restored_bucket(key, plan_index, tokens, at))
        return len(self.buckets)

    def _owned_bucket(self, now: float, key: int, plan_index: int) -> TokenBucket:
        """The bucket of a customer, created if need be, under the plan in effect."""
        if key not in self.buckets:
            evict_fullest(self.buckets, now, self.entitlements.max_customers)
            self.buckets[key] = (plan_index, self.entitlements.new_bucket(now, key, plan_index))
        bucket = self.buckets[key][1]
        self.entitlements.update_bucket(now, key, plan_index, bucket)
        self.fallback.apply_share(now, key, bucket)
        return bucket

    def _decide_ask(self, now: float, lease_id: tuple[int, int], key: int, plan_index: int, units: float,
                    lease_ms: float) -> QuotaLease:
        """The owner's decision on an ask, as a lease of at most ``lease_ms``.

        The units are taken from the bucket; where it has too few, they are drawn on a reservation.  The lease
        id is the sender and the number of the ask: a repeated ask gets the same lease and takes nothing.
        """
        if lease_id in self.leases:
            return self.leases[lease_id]
        effective, bucket = (
            self.entitlements.effective_plan(now, key, plan_index),
            self._owned_bucket(now, key, plan_index),
        )
        plan, drawn = effective.plan, None
        bucket.fill(now)
        has_slot = not plan.most_open or bucket.open < plan.most_open
        granted = has_slot and (not plan.rate or bucket.tokens >= units - 1e-9)
        if granted:
            bucket.tokens -= units if plan.rate else 0.0
        elif has_slot and (drawn := self.entitlements.draw(now, key, units)) is not None:
            granted = True
            self.actions.append(drawn)
        bucket.open += granted
        until = now + min(lease_ms, self.max_deadline)
        self.leases[lease_id] = QuotaLease(
            key, plan_index, granted, units, until, not granted, effective.number, effective.version,
            drawn.tag if drawn is not None else 0)
        return self.leases[lease_id]

    def _end_lease(self, now: float, lease_id: tuple[int, int], returned: float) -> None:
        """Ends a lease; ``returned`` of its units go back to the bucket or reservation that they came from.

        A negative number takes more units from the bucket.  Nothing happens if the lease is over.
        """
        lease = self.leases.get(lease_id)
        # The release has overtaken its ask, which must not be granted any more.
        if lease is None and self.fallback.enabled:
            self.leases[lease_id] = QuotaLease(0, 0, False, 0.0, now + self.max_deadline, True)
        if lease is None or lease.over:
            return
        lease.over = True
        bucket = self._owned_bucket(now, lease.customer, lease.plan)
        bucket.fill(now)
        bucket.open = max(0, bucket.open - 1)
        if not lease.reservation:
            bucket.give_back(min(returned, lease.units))
        elif (record := self.entitlements.give_back(
                lease.reservation, min(returned, lease.units))) is not None:
            self.actions.append(record)
