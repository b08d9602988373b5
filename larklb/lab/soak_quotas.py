"""Tenants of a soak test that send more than their quota, at changing times and to changing limiters.

Times are in seconds of the event loop's clock.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable

from attrs import define, field

from larklb.admission.quota_records import Allowance, OvershootBound
from larklb.lab.quota_check import allowed_per_window, worst_window
from larklb.lab.soak_clients import ClientRequest, PersistentClient, Run
from larklb.lab.system_network import CONFIGURATION, Document, Net

ALLOWANCES = (Allowance("ketch", 25.0, 25.0), Allowance("dinghy", 8.0, 8.0))
CLIENTS_PER_TENANT = 8
# How long a tenant is idle, and how long it sends, (min, max).
IDLE_S, ACTIVE_S = (0.1, 5.0), (0.5, 9.0)
# Fraction of the active times in which all clients of a tenant send to one limiter first.
SAME_LIMITER_FRACTION = 0.6
# Fraction of the refused requests after which a client turns to another limiter.
FURTHER_TRY_FRACTION = 0.3
POLL_S = 0.02
MAX_PAUSE_S = 0.01  # after a refused request: these clients don't heed Retry-After

#: The trial's configuration with these tenants.
QUOTA_CONFIGURATION: Document = {
    **CONFIGURATION,
    "tenants": [
        *CONFIGURATION["tenants"],
        *(
            {
                "name": allowance.tenant,
                "keys": [f"soak-key-of-the-{allowance.tenant}"],
                "ratePerS": allowance.rate,
                "burst": allowance.burst,
            }
            for allowance in ALLOWANCES
        ),
    ],
}


@define(frozen=True)
class QuotaRun:
    """A tenant's request that ran."""

    sent_at: float
    run_at: float
    limiter: int


@define(eq=False)
class TenantLoad:
    """The changing load of one tenant.

    ``ready`` returns the limiters that take new clients, ``cut_off`` those that are cut off from others."""

    allowance: Allowance
    net: Net
    rng: random.Random
    ready: Callable[[], list[int]]
    cut_off: Callable[[], list[int]]
    active: bool = False
    # The limiter to which all clients send first, if any.
    target: int | None = None
    clients: list[QuotaClient] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.clients = [
            QuotaClient(
                f"{self.allowance.tenant}-{n}",
                self.net,
                random.Random(self.rng.random()),
                self.choose_limiter,
                key=f"soak-key-of-the-{self.allowance.tenant}",
                tenant=self.allowance.tenant,
                unsafe_fraction=0.0,
                leave_fraction=0.0,
                max_pause_s=MAX_PAUSE_S,
                load=self,
            )
            for n in range(CLIENTS_PER_TENANT)
        ]

    def choose_limiter(self) -> int:
        """Returns the limiter for a client's next connection."""
        if self.target is not None and self.rng.random() >= FURTHER_TRY_FRACTION:
            return self.target
        return self.rng.choice(self.ready() or [0])

    async def run(self, until: float) -> None:
        """Alternates between idle and active times until ``until``."""
        clock = asyncio.get_running_loop().time
        clients = [asyncio.ensure_future(client.run(until)) for client in self.clients]
        while clock() < until:
            self.active = False
            await asyncio.sleep(self.rng.uniform(*IDLE_S))
            self.target = None
            if self.rng.random() < SAME_LIMITER_FRACTION:
                self.target = self.rng.choice(self.cut_off() or self.ready())
            self.active = True
            await asyncio.sleep(self.rng.uniform(*ACTIVE_S))
        await asyncio.gather(*clients)

    def excess(self, runs_of: Callable[[str], list[Run]]) -> str:
        """Describes the worst window if more requests ran in it than are allowed; returns "" otherwise."""
        requests = (request for client in self.clients for request in client.requests)
        bound = OvershootBound()
        worst = worst_window(_first_runs(requests, runs_of), bound.window_s)
        allowed = allowed_per_window(self.allowance, bound)
        if len(worst) <= allowed:
            return ""
        limiters = Counter(run.limiter for run in worst)
        return (
            f"{len(worst)} requests of {self.allowance.tenant} in {bound.window_s:g} s, {allowed:.1f} are "
            f"allowed, from {worst[0].sent_at:.3f}, by limiter {dict(limiters.most_common())}"
        )


def _first_runs(requests: Iterable[ClientRequest], runs_of: Callable[[str], list[Run]]) -> Iterable[QuotaRun]:
    """Yields the requests that ran; one that ran repeatedly counts once."""
    for request in requests:
        if runs := runs_of(request.path):
            yield QuotaRun(request.sent_at, min(run.started_at for run in runs), request.limiter)


@define(eq=False)
class QuotaClient(PersistentClient):
    """A client of a tenant that may send more than its quota; it sends only while its tenant is active."""

    load: TenantLoad = field(kw_only=True)

    async def before_request(self) -> bool:
        """Waits until the tenant is active; returns False after a wait, as the limiter may be another."""
        if self.load.active:
            refused = bool(self.requests) and self.requests[-1].status == 429
            return not refused or self.rng.random() >= FURTHER_TRY_FRACTION
        await asyncio.sleep(POLL_S)
        return False
