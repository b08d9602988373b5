"""What is seen of one client's request while it is in work: its phase, and when its client closes."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from attrs import define, field

from larklb.wheel import Wheel

WENT_ON_MS = (100, 500, 2_000)  # work that ended later than this after its client's close is counted


class Phase(Enum):
    """How far a request, or one attempt of it, has come."""

    QUOTA = "quota"  # its tenant's quota is asked
    CHOOSING = "choosing"  # before an attempt, or between two
    DIALLING = "dialling"  # an attempt has no connection yet: nothing has been sent
    WAITING = "waiting"  # an attempt was sent and not answered


@define(eq=False)
class RequestWork:
    """One request in work; counts go to ``count``."""

    wheel: Wheel
    count: Counter[str]
    safe: bool
    phase: Phase = Phase.QUOTA
    closed_at: float | None = field(default=None, init=False)  # wheel's ms

    def client_closed(self) -> None:
        """The client's connection has ended, by a FIN or a reset."""
        self.closed_at = self.wheel.now()
        kind = "safe" if self.safe else "unsafe"
        self.count[f"client_closed.{self.phase.value}.{kind}"] += 1

    def over(self) -> None:
        """The request's work has ended, with or without an answer."""
        if self.closed_at is None:
            return
        went_on = self.wheel.now() - self.closed_at
        for bound in WENT_ON_MS:
            if went_on > bound:
                self.count[f"client_closed.went_on.{bound}ms"] += 1
