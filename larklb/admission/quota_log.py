"""Log lines on quotas: changes of the ring and of owners, and what a limiter admitted on which basis.

A line on a tenant is written when another limiter becomes its owner, and at most once per window while
requests of the tenant are refused or decided without the owner.  The lines of all limiters together show who
admitted the requests of a window.
"""

from __future__ import annotations

import logging
from collections import Counter

from attrs import define, field

log = logging.getLogger("quota")

# Tenants with a tally; further ones aren't logged.
MAX_TALLIES = 1_000
# Lines on tenants written at one time.
MAX_LINES = 20


@define(frozen=True)
class TenantState:
    """What a limiter holds of a tenant when a line is written.

    ``owner`` is the owner's node, "" while the ring is unknown.  ``tokens`` and ``part`` are those of the
    bucket if this limiter owns the tenant, None otherwise.
    """

    owner: str
    ring: int
    tokens: float | None = None
    part: float | None = None

    def __str__(self) -> str:
        bucket = "" if self.tokens is None else f", bucket {self.tokens:.1f} at {self.part:.2f} of the rate"
        return f"owner {self.owner or 'unknown'}, ring {self.ring:012x}{bucket}"


@define
class Tally:
    """Decisions on requests of one tenant that this limiter received from clients, since ``since`` (ms).

    ``decisions`` counts them by basis ("owner", "asked", "copy", "slice") and result.
    """

    since: float
    decisions: Counter[str] = field(factory=Counter)
    # Whether requests were refused or decided without the owner.
    notable: bool = False

    def describe(self, now: float) -> str:
        """Returns the counts as text."""
        counts = ", ".join(f"{key} {count}" for key, count in sorted(self.decisions.items()))
        return f"in {(now - self.since) / 1000.0:.1f} s {counts or 'none'}"


@define
class QuotaLog:
    """The log lines of one limiter on quotas; ``window_ms`` is the time between two lines on a tenant."""

    window_ms: float
    tallies: dict[str, Tally] = field(factory=dict)

    def record(self, now: float, tenant: str, decided_by: str, allowed: bool) -> None:
        """Records the decision on one request that a client sent to this limiter."""
        tally = self.tallies.get(tenant)
        if tally is None:
            if len(self.tallies) >= MAX_TALLIES:
                return
            tally = self.tallies[tenant] = Tally(now)
        tally.decisions[f"{decided_by} {'allowed' if allowed else 'refused'}"] += 1
        if not allowed or decided_by in ("copy", "slice"):
            tally.notable = True

    def ring_changed(self, ring: int, limiters: int, departed: int, own_number: int | None) -> None:
        """Logs that this limiter holds another ring."""
        log.info(
            "quota: ring %012x of %d limiters, %d left recently, own number %s.",
            ring,
            limiters,
            departed,
            own_number,
        )

    def owner_changed(self, now: float, tenant: str, state: TenantState) -> None:
        """Logs that another limiter owns a tenant, with what was admitted here before."""
        tally = self.tallies.pop(tenant, None)
        log.info(
            "quota: tenant %s: %s; before, %s.", tenant, state, tally.describe(now) if tally else "no request"
        )

    def due(self, now: float) -> list[str]:
        """Returns the tenants about which a line is due, MAX_LINES at most; drops tallies without one."""
        tenants: list[str] = []
        for tenant, tally in list(self.tallies.items()):
            if now - tally.since < self.window_ms:
                continue
            if tally.notable and len(tenants) < MAX_LINES:
                tenants.append(tenant)
            else:
                del self.tallies[tenant]
        return tenants

    def write(self, now: float, tenant: str, state: TenantState) -> None:
        """Logs what was decided here on requests of a tenant, and starts a new tally."""
        tally = self.tallies.pop(tenant)
        log.info("quota: tenant %s: %s; %s.", tenant, tally.describe(now), state)
