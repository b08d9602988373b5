"""The owner's side of quotas: buckets of the customers that a gateway owns, and leases on them.

``Gateway`` in ``decide.py`` inherits this and creates all attributes; no input or output.
"""

from __future__ import annotations

from collections.abc import Sequence

from larklb import interface as io
from larklb.quota.bucket import TokenBucket
from larklb.quota.entitlements import Entitlements
from larklb.quota.fallback import Fallback
from larklb.quota.table_limits import evict_fullest
from larklb.records import Lease


class QuotaOwner:
    """The part of a gateway that decides on the quotas it owns."""

    settings: io.Settings
    entitlements: Entitlements
    fallback: Fallback
    plans: dict[str, tuple[int, io.Plan]]
    max_deadline: float
    buckets: dict[int, tuple[int, TokenBucket]]
    leases: dict[tuple[int, int], Lease]
    actions: list[io.Action]

    def bucket_rows(self) -> list[tuple[int, str, float, float]]:
        """The owned buckets for a store: customer, plan, tokens and when they were counted."""
        return [(key, self.settings.plans[p].name, min(b.tokens, b.burst), b.at)
                for key, (p, b) in self.buckets.items()]

    def restore(self, now: float, rows: Sequence[tuple[int, str, float, float]]) -> int:
        """Buckets from a store, to be called before the first request; of unknown plans none are kept."""
        for key, plan_name, tokens, at in rows:
            if plan_name in self.plans and at <= now:
                number = self.plans[plan_name][0]
                self.buckets[key] = (number, self.entitlements.restored_bucket(key, number, tokens, at))
        return len(self.buckets)

    def _owned_bucket(self, now: float, key: int, plan_number: int) -> TokenBucket:
        if key not in self.buckets:
            evict_fullest(self.buckets, now, self.entitlements.max_customers)
            self.buckets[key] = (plan_number, self.entitlements.new_bucket(now, key, plan_number))
        bucket = self.buckets[key][1]
        self.entitlements.update_bucket(now, key, plan_number, bucket)
        self.fallback.apply_share(now, key, bucket)
        return bucket

    def _owner_verdict(self, now: float, name: tuple[int, int], key: int, plan_number: int, units: float,
                lease: float) -> Lease:
        """The owner's verdict; the same ask gets the same one."""
        if name in self.leases:
            return self.leases[name]
        judged, bucket = (
            self.entitlements.effective_plan(now, key, plan_number),
            self._owned_bucket(now, key, plan_number),
        )
        plan, drawn = judged.plan, None
        bucket.fill(now)
        room = not plan.most_open or bucket.open < plan.most_open
        granted = room and (not plan.rate or bucket.tokens >= units - 1e-9)
        if granted:
            bucket.tokens -= units if plan.rate else 0.0
        elif room and (drawn := self.entitlements.draw(now, key, units)) is not None:
            granted = True
            self.actions.append(drawn)
        bucket.open += granted
        until = now + min(lease, self.max_deadline)
        self.leases[name] = Lease(key, plan_number, granted, units, until, not granted, judged.number,
                                  judged.version, drawn.tag if drawn is not None else 0)
        return self.leases[name]

    def _end_lease(self, now: float, name: tuple[int, int], back: float) -> None:
        lease = self.leases.get(name)
        if lease is None and self.fallback.enabled:  # it overtook its ask, which must not be granted any more
            self.leases[name] = Lease(0, 0, False, 0.0, now + self.max_deadline, True)
        if lease is None or lease.over:
            return
        lease.over = True
        bucket = self._owned_bucket(now, lease.customer, lease.plan)
        bucket.fill(now)
        bucket.open = max(0, bucket.open - 1)
        if not lease.reservation:
            bucket.give_back(min(back, lease.units))
        elif (kept := self.entitlements.give_back(lease.reservation, min(back, lease.units))) is not None:
            self.actions.append(kept)
