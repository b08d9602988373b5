"""An asker's slices of quotas: decisions on requests while the owner can't be asked."""

from __future__ import annotations

import math

from larklb.admission.quota_records import (
    COPY,
    SLICE,
    SLICE_VALID_MS,
    Allowance,
    QuotaDecision,
    Slice,
)
from larklb.admission.quota_state import MAX_TENANTS, QuotaState

# Up to this age of the bucket copy a decision by the slice is reported as COPY, afterwards as SLICE.
RECENT_COPY_MS = 1000.0
# Initial tokens of all limiters without a bucket copy together.
NO_COPY_TOKENS = 10.0
# One token, less the rounding error of sums of fractions.
ONE_TOKEN = 1.0 - 1e-9


class QuotaSlices(QuotaState):
    """The slices that a limiter holds of tenants that it doesn't own."""

    def _slice(self, now: float, allowance: Allowance) -> Slice:
        """Return the tenant's slice, with the rate and burst of ``allowance``.

        A slice that doesn't exist is created without a bucket copy, with at most one token.
        """
        tenant_slice = self._slices.get(allowance.tenant)
        if tenant_slice is None:
            if len(self._slices) >= MAX_TENANTS:
                del self._slices[next(iter(self._slices))]
            count = self._limiter_count()
            tokens = min(1.0, NO_COPY_TOKENS / count, allowance.burst / count)
            tenant_slice = self._slices[allowance.tenant] = Slice(
                allowance.rate, allowance.burst, tokens, now, now, self.bound
            )
        elif tenant_slice.rate != allowance.rate or tenant_slice.burst != allowance.burst:
            tenant_slice.fill(now, self._limiter_count())
            tenant_slice.rate, tenant_slice.burst = allowance.rate, allowance.burst
        return tenant_slice

    def _decide_by_slice(self, now: float, tenant_slice: Slice) -> QuotaDecision:
        """Decide on one request by the slice; take one of its tokens if the request is allowed."""
        rate = tenant_slice.fill(now, self._limiter_count())
        decided_by = COPY if now - tenant_slice.copied_at <= RECENT_COPY_MS else SLICE
        if tenant_slice.tokens < ONE_TOKEN:
            return QuotaDecision(
                False, max(1.0, (1.0 - tenant_slice.tokens) / max(rate, 1e-6) * 1000.0), decided_by
            )
        tenant_slice.tokens -= 1.0
        tenant_slice.spent += 1
        return QuotaDecision(True, 0.0, decided_by)

    def _release_confirmed(self, tenant: str, number: int) -> None:
        """Invalidate the bucket copy of a slice whose release the owner has confirmed; limit its tokens.

        ``number`` is that of the released ask.  Nothing changes if a later ask has brought another copy.
        """
        tenant_slice = self._slices.get(tenant)
        if tenant_slice is not None and tenant_slice.ask_number == number:
            tenant_slice.ask_number, tenant_slice.copied_at = -1, -math.inf
            tenant_slice.tokens = min(tenant_slice.tokens, NO_COPY_TOKENS / self._limiter_count())

    def _take_own_copy(self, now: float, tenant: str) -> float:
        """Estimate the tokens of the tenant's bucket from the slice that this limiter held as an asker.

        The bucket copy of the slice is invalidated.  Returns infinity if it was not valid before.
        """
        tenant_slice = self._slices.get(tenant)
        if tenant_slice is None or now - tenant_slice.copied_at > SLICE_VALID_MS:
            return math.inf
        tenant_slice.fill(now, self._limiter_count())
        tenant_slice.ask_number, tenant_slice.copied_at = -1, -math.inf
        return tenant_slice.tokens * self._limiter_count()
