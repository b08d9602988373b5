"""What a gateway remembers of requests, grants and copies: types only, nothing is decided here."""

from __future__ import annotations

from dataclasses import dataclass, field

from larklb import interface as io
from larklb.health import Attempt


@dataclass(eq=False)
class PendingRequest:
    """A request until it is answered and none of its attempts is out."""

    request: str
    service_class: io.ServiceClass
    plan: io.Plan
    plan_index: int
    customer_key: int
    units: float
    due: float
    arrived_at: float
    owner: int
    spread: int
    named_plan: int                              # number of the plan that the request names
    plan_version: int                      # of the plans, that it is judged under
    quota_only: bool = False                 # wants the quota's word, no server
    reservation: int = 0                   # that it draws on
    grant: tuple[int, int] | None = None   # (owner, number of the ask) that its lease stands under
    pending_ask: int | None = None              # number of the ask that it waits for
    admitted: bool = False
    # what the owner may still grant is to be given back unheard
    grant_released: bool = False
    beyond_quota: bool = False                   # ... though its quota turned it down
    not_repeatable: bool = False                    # it cannot be sent again
    ended: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    earlier_attempts: list[Attempt] = field(default_factory=list)      # of earlier tries at other limiters

    def has_attempt_in_flight(self) -> bool:
        return any(a.in_flight for a in self.attempts)

    def unused_units(self) -> float:
        """Units that no attempt and no answered question has used."""
        return 0.0 if self.attempts or self.quota_only and self.admitted else self.units

    def stamp(self) -> io.Stamp:
        return io.Stamp(self.plan.name, self.plan_version, self.reservation, self.beyond_quota)

    def possibly_run_attempts(self) -> list[Attempt]:
        return self.earlier_attempts + [a for a in self.attempts if a.may_have_run]


@dataclass
class Lease:
    """The owner's memory of an ask: a repeat gets the same verdict and takes nothing more."""

    customer: int
    plan: int
    granted: bool
    units: float
    until: float
    over: bool = False
    judged: int = 0                        # number of the plan that was judged under, ...
    version: int = 0                       # ... and of the version
    reservation: int = 0                   # that the units come from


@dataclass
class Copy:
    """A late copy of an owner's bucket."""

    plan: int
    owner: int
    left: float
    open: int
    at: float
    refused: int = 0                       # verdicts in a row that refused
    let_in: float = 0.0
    reserved: float = 0.0                  # units that could be drawn beyond the tokens
