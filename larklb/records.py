"""Records that a gateway keeps of requests, of grants and of buckets that other gateways own; types only."""

from __future__ import annotations

from dataclasses import dataclass, field

from larklb import interface as io
from larklb.health import Attempt


@dataclass(eq=False)
class PendingRequest:
    """A request, kept until it is answered and none of its attempts is in flight.

    ``due`` and ``arrived_at`` are in ms.  ``owner`` is the number of the limiter that owns the customer's
    quota, and ``customer_key`` the digest of the customer's name.
    """

    request_id: str
    service_class: io.ServiceClass
    plan: io.Plan
    plan_index: int
    customer_key: int
    units: float
    due: float
    arrived_at: float
    owner: int
    spread: int
    # Index of the plan that the request names.  ``plan`` is the one in effect, which may differ.
    named_plan: int
    # Version of the plans that it is judged under.
    plan_version: int
    # It asks for the quota only and is not sent to a server.
    quota_only: bool = False
    # Tag of the reservation that its units are drawn on; 0 for none.
    reservation: int = 0
    # Owner and ask number of the grant, by which the owner's lease is released.
    grant: tuple[int, int] | None = None
    # Number of the ask whose reply it waits for.
    pending_ask: int | None = None
    # The decision on its quota allows it to be sent.
    admitted: bool = False
    # A release of the ask was sent: a grant that still arrives is void and must not be released again.
    grant_released: bool = False
    # Sent although the quota refused it.
    beyond_quota: bool = False
    # Its body cannot be sent a second time.
    not_repeatable: bool = False
    # The client needs no further answer; attempts may still be in flight.
    ended: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    # Attempts of earlier tries at other limiters.
    earlier_attempts: list[Attempt] = field(default_factory=list)

    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt from this limiter is in flight."""
        return any(a.in_flight for a in self.attempts)

    def unused_units(self) -> float:
        """Units that neither an attempt nor an answered request for quota only has used."""
        return 0.0 if self.attempts or self.quota_only and self.admitted else self.units

    def stamp(self) -> io.Stamp:
        """What the request is judged under, for its server and for the ledger."""
        return io.Stamp(self.plan.name, self.plan_version, self.reservation, self.beyond_quota)

    def possibly_run_attempts(self) -> list[Attempt]:
        """All attempts that may have run, those of earlier tries first."""
        return self.earlier_attempts + [a for a in self.attempts if a.may_have_run]


@dataclass
class QuotaLease:
    """The owner's record of an ask, granted or not: a repeated ask gets the same reply and takes no units.

    It is in force until ``until`` (ms), or until ``over`` is set, as it is from the start for an ask that was
    refused.  Without units it stands for a release that arrived before its ask.
    """

    customer: int
    plan: int
    granted: bool
    units: float
    until: float
    over: bool = False
    # Index and version of the plan that the ask was judged under.
    judged: int = 0
    version: int = 0
    # Tag of the reservation that the units come from; 0 for none.
    reservation: int = 0


@dataclass
class Copy:
    """A bucket copy: an owner's bucket as its last reply to an ask described it, at time ``at`` (ms).

    ``left`` are its tokens, ``open`` its open grants, and ``let_in`` counts the units that were admitted
    since without the owner.
    """

    plan: int
    owner: int
    left: float
    open: int
    at: float
    # Consecutive refusals by the owner.
    refused: int = 0
    let_in: float = 0.0
    # Units that could be drawn on one reservation of the customer, beyond the tokens.
    reserved: float = 0.0
