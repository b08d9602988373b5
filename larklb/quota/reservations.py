"""Reservations: units set aside ahead for a customer and a window of time.

The owner of the customer keeps each reservation and serves from it what the bucket would refuse, over all
limiters together.  Others hold a copy, from which they may draw a stated part while it cannot be asked.
All instants are Unix milliseconds; whoever calls turns its clock into them once.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from larklb.quota.ring import digest

MAX_UNITS = 1e9               # of one reservation
MAX_WINDOW_MS = 31 * 86400e3     # ms: a month's refit
RETENTION_MS = 7 * 86400e3             # ms for which a reservation that is over can still be looked up
MAX_RESERVATIONS = 10_000             # reservations at one limiter, those that are over among them
UNIT_TOLERANCE = 1e-9


class State(Enum):
    HELD = "held"              # its window has not opened
    OPEN = "open"              # units may be drawn
    SPENT = "spent"            # no units are left, and the window is still open
    LAPSED = "lapsed"          # the window is over; what was left is gone
    CANCELLED = "cancelled"    # taken back by an operator; what was drawn stays drawn


class Transition(Enum):
    OPENS = "opens"            # the window's first instant
    DRAWN = "drawn"            # the last unit was drawn
    RETURNED = "returned"      # units came back from a try that was never sent
    ENDS = "ends"              # the window's last instant
    CANCEL = "cancel"


#: The whole life of a reservation.  A move that a state does not have leaves it as it is.
TRANSITIONS: dict[State, dict[Transition, State]] = {
    State.HELD: {Transition.OPENS: State.OPEN, Transition.ENDS: State.LAPSED,
                 Transition.CANCEL: State.CANCELLED},
    State.OPEN: {Transition.DRAWN: State.SPENT, Transition.ENDS: State.LAPSED,
                 Transition.CANCEL: State.CANCELLED},
    State.SPENT: {Transition.RETURNED: State.OPEN, Transition.ENDS: State.LAPSED,
                  Transition.CANCEL: State.CANCELLED},
    State.LAPSED: {},
    State.CANCELLED: {},
}
ACTIVE_STATES = frozenset({State.HELD, State.OPEN, State.SPENT})     # these count against the shares


class RefusedError(Exception):
    """A reservation is turned down; the text is the reason."""


@dataclass(frozen=True)
class Wanted:
    """What a customer asks for."""

    name: str                  # the operators' id: the same one is the same reservation
    customer: str              # 16 hex digits
    plan: str                  # by whose rate the customer's share is counted
    units: float
    begin: float
    end: float
    first: int = 0             # the customer's set, as in Quota-Info
    spread: int = 1


@dataclass
class Reservation:
    """One reservation as this limiter knows it."""

    wanted: Wanted
    owned: bool                # else it is a copy
    state: State = State.HELD
    drawn: float = 0.0         # by the owner's verdicts
    # By limiters that could not ask the owner, as they reported it.
    remote_draws: dict[int, float] = field(default_factory=dict)

    @property
    def tag(self) -> int:
        """Its short name in messages between limiters, and in what is exported."""
        return digest(self.wanted.name) & 0xFFFFFFFF

    @property
    def remaining(self) -> float:
        return max(0.0, self.wanted.units - self.drawn - sum(self.remote_draws.values()))

    @property
    def limiter_part(self) -> float:
        """What one limiter that is not the owner may draw while the owner cannot be asked."""
        return self.wanted.units / self.wanted.spread

    def apply(self, by: Transition) -> None:
        self.state = TRANSITIONS[self.state].get(by, self.state)

    def advance(self, wall: float) -> State:
        """The state at an instant; a window that opened and ended unseen lapses like any other."""
        if wall >= self.wanted.begin:
            self.apply(Transition.OPENS)
        if wall >= self.wanted.end:
            self.apply(Transition.ENDS)
        return self.state

    def draw(self, units: float) -> None:
        self.drawn += units
        if self.remaining < UNIT_TOLERANCE:
            self.apply(Transition.DRAWN)

    def give_back(self, units: float) -> None:
        self.drawn = max(0.0, self.drawn - units)
        if self.remaining >= UNIT_TOLERANCE:
            self.apply(Transition.RETURNED)


@dataclass(frozen=True)
class ReservationLimits:
    """What may be reserved, as units a second; infinity where the operator's file gives no bound."""

    fleet: float = math.inf            # of all owners together
    customer: float = math.inf         # parts of its plan's rate


class Reservations:
    """All that one limiter knows of."""

    def __init__(self, shares: ReservationLimits, limiters: int, number: int) -> None:
        self.limits, self.limiters, self.number = shares, limiters, number
        self.by_name: dict[str, Reservation] = {}
        self.by_tag: dict[int, Reservation] = {}
        self.by_key: dict[int, list[Reservation]] = {}

    def add(self, wanted: Wanted, owned: bool, wall: float, rate: float) -> Reservation:
        """Takes it, or the one that is here under this id; RefusedError says why not.

        ``rate`` is that of the customer's plan in units a second.
        """
        known = self.by_name.get(wanted.name)
        if known is not None:
            if known.wanted != wanted:
                raise RefusedError(f"the id {wanted.name!r} is another reservation's")
            return known
        self._validate(wanted, wall)
        if owned:
            self._check_limits(wanted, wall, rate)
        return self.insert(Reservation(wanted, owned))

    def _validate(self, w: Wanted, wall: float) -> None:
        if not 0 < len(w.name) <= 64 or not w.name.isprintable() or " " in w.name:
            raise RefusedError("an id has 1 to 64 characters and no blanks")
        if not 0 < w.units <= MAX_UNITS:
            raise RefusedError(f"units: {w.units:g} are not between 0 and {MAX_UNITS:g}")
        if not w.begin < w.end:
            raise RefusedError("the window ends before it begins")
        if w.end <= wall:
            raise RefusedError("the window is over")
        if w.end - w.begin > MAX_WINDOW_MS:
            raise RefusedError("the window is longer than 31 days")
        if not (1 <= w.spread <= self.limiters and 0 <= w.first < self.limiters):
            raise RefusedError("there are no such limiters")
        if digest(w.name) & 0xFFFFFFFF in self.by_tag:
            raise RefusedError("its short name is another reservation's: choose another id")
        if len(self.by_name) >= MAX_RESERVATIONS:
            self.expire(wall)
            if len(self.by_name) >= MAX_RESERVATIONS:
                raise RefusedError(f"this limiter holds {MAX_RESERVATIONS} reservations already")

    def _check_limits(self, w: Wanted, wall: float, rate: float) -> None:
        """Against what is held: a customer has one owner, so each owner has its part of the fleet's share."""
        fleet = self.limits.fleet / self.limiters
        mine = self.limits.customer * rate if rate > 0 else math.inf
        held = [r for r in self.by_name.values() if r.owned and r.advance(wall) in ACTIVE_STATES]
        for name, bound, among in (
                ("fleet", fleet, held),
                ("customer", mine, [r for r in held if r.wanted.customer == w.customer])):
            most = peak_rate(w, among)
            if most > bound * (1 + UNIT_TOLERANCE):
                raise RefusedError(f"the {name}'s share is {bound:g} units a second at this limiter, and "
                                   f"{most:g} would be reserved at the fullest instant of the window")

    def insert(self, r: Reservation) -> Reservation:
        """Takes over what is known to be a reservation, at a start or from its owner."""
        self.by_name[r.wanted.name] = self.by_tag[r.tag] = r
        self.by_key.setdefault(digest(r.wanted.customer), []).append(r)
        return r

    def remove(self, r: Reservation) -> None:
        """Forgets one altogether."""
        del self.by_name[r.wanted.name], self.by_tag[r.tag]
        self.by_key[digest(r.wanted.customer)].remove(r)

    def cancel(self, name: str, wall: float) -> Reservation:
        r = self.by_name.get(name)
        if r is None:
            raise RefusedError(f"there is no reservation {name!r}")
        if r.advance(wall) is State.LAPSED:
            raise RefusedError(f"{name!r} has lapsed")
        r.apply(Transition.CANCEL)
        return r

    def open_for(self, key: int, wall: float) -> Iterable[Reservation]:
        """Those of a customer from which units may be drawn, the one that ends first in front."""
        found = [r for r in self.by_key.get(key, ()) if r.advance(wall) is State.OPEN]
        return sorted(found, key=lambda r: (r.wanted.end, r.wanted.name)) if len(found) > 1 else found

    def expire(self, wall: float) -> None:
        for r in list(self.by_name.values()):
            if r.advance(wall) not in ACTIVE_STATES and wall - r.wanted.end > RETENTION_MS:
                self.remove(r)


def reserved_rate(w: Wanted) -> float:
    """Units a second over its window."""
    return w.units / (w.end - w.begin) * 1000.0


def peak_rate(w: Wanted, others: Iterable[Reservation]) -> float:
    """Units a second reserved at the fullest instant of the window, this one included."""
    over = [r.wanted for r in others if r.wanted.begin < w.end and w.begin < r.wanted.end]
    starts = [w.begin, *(o.begin for o in over if o.begin > w.begin)]
    return max(reserved_rate(w) + sum(reserved_rate(o) for o in over if o.begin <= at < o.end)
               for at in starts)
