"""Reservations: units set aside in advance for a customer and a window of time.

The owner of the customer keeps each reservation and serves from it what the bucket would refuse, over all
limiters together.  The other limiters hold a copy of the reservation, from which each may draw a fixed part
while the owner cannot be asked.  All instants are Unix milliseconds; the caller converts its clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from larklb.quota.ring import digest

# Units of one reservation.
MAX_UNITS = 1e9
# Length of the window of one reservation: 31 days.
MAX_WINDOW_MS = 31 * 86400e3
# For so long after its window a reservation can still be looked up.
RETENTION_MS = 7 * 86400e3
# Reservations at one limiter, including those that are over.
MAX_RESERVATIONS = 10_000
# Units; smaller differences are rounding errors.
UNIT_TOLERANCE = 1e-9


class State(Enum):
    """The states of a reservation."""

    # The window has not opened yet.
    HELD = "held"
    # Units may be drawn.
    OPEN = "open"
    # No units are left, and the window is still open.
    SPENT = "spent"
    # The window is over; remaining units are lost.
    LAPSED = "lapsed"
    # Withdrawn by an operator; units already drawn stay drawn.
    CANCELLED = "cancelled"


class Transition(Enum):
    """The events that change a reservation's state."""

    # The window has begun.
    OPENS = "opens"
    # The last unit was drawn.
    DRAWN = "drawn"
    # Units were returned by an attempt that was never sent.
    RETURNED = "returned"
    # The window has ended.
    ENDS = "ends"
    # An operator has cancelled it.
    CANCEL = "cancel"


#: All transitions.  An event that a state does not list leaves the state as it is.
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
# Reservations in these states count against the limits.
ACTIVE_STATES = frozenset({State.HELD, State.OPEN, State.SPENT})


class RefusedError(Exception):
    """A reservation is refused; the message is the reason."""


@dataclass(frozen=True)
class Wanted:
    """A reservation as the customer asks for it."""

    # The operators' id; asking again under the same id yields the same reservation.
    name: str
    # 16 hex digits.
    customer: str
    # The plan whose rate the customer's limit is a part of.
    plan: str
    units: float
    begin: float
    end: float
    # The customer's set of limiters, as in Quota-Info.
    first: int = 0
    spread: int = 1


@dataclass
class Reservation:
    """One reservation as this limiter knows it; one that is not ``owned`` is a copy of the owner's."""

    wanted: Wanted
    owned: bool
    state: State = State.HELD
    # Units drawn by grants of the owner.
    drawn: float = 0.0
    # Units drawn by limiters that could not ask the owner, as they reported them, by limiter.
    remote_draws: dict[int, float] = field(default_factory=dict)

    @property
    def tag(self) -> int:
        """Short name of the reservation in messages between limiters and in exported use."""
        return digest(self.wanted.name) & 0xFFFFFFFF

    @property
    def remaining(self) -> float:
        """Units that are left."""
        return max(0.0, self.wanted.units - self.drawn - sum(self.remote_draws.values()))

    @property
    def limiter_part(self) -> float:
        """Units that a limiter other than the owner may draw while the owner cannot be asked."""
        return self.wanted.units / self.wanted.spread

    def apply(self, transition: Transition) -> None:
        """Changes the state; an event that the state does not list is ignored."""
        self.state = TRANSITIONS[self.state].get(transition, self.state)

    def advance(self, wall: float) -> State:
        """Brings the state up to an instant and returns it, also where a whole window has passed since."""
        if wall >= self.wanted.begin:
            self.apply(Transition.OPENS)
        if wall >= self.wanted.end:
            self.apply(Transition.ENDS)
        return self.state

    def draw(self, units: float) -> None:
        """Draws units; the caller has checked that they are left."""
        self.drawn += units
        if self.remaining < UNIT_TOLERANCE:
            self.apply(Transition.DRAWN)

    def give_back(self, units: float) -> None:
        """Returns drawn units that were not used."""
        self.drawn = max(0.0, self.drawn - units)
        if self.remaining >= UNIT_TOLERANCE:
            self.apply(Transition.RETURNED)


@dataclass(frozen=True)
class ReservationLimits:
    """How much may be reserved; infinity where the operator's file sets no limit."""

    # Units a second, over all owners together.
    fleet: float = math.inf
    # As a multiple of the rate of the customer's plan.
    customer: float = math.inf


class Reservations:
    """All reservations that one limiter knows."""

    def __init__(self, limits: ReservationLimits, limiters: int, number: int) -> None:
        """``limiters``: how many there are; ``number``: that of this one."""
        self.limits, self.limiters, self.number = limits, limiters, number
        self.by_name: dict[str, Reservation] = {}
        self.by_tag: dict[int, Reservation] = {}
        self.by_key: dict[int, list[Reservation]] = {}

    def add(self, wanted: Wanted, owned: bool, wall: float, rate: float) -> Reservation:
        """Adds a reservation and returns it, or the same one if it exists already.

        ``wall`` is the present instant; ``rate`` that of the customer's plan in units a second.  Raises
        RefusedError where the reservation is not valid, its id is taken, or an owner's limits are exceeded.
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

    def _validate(self, wanted: Wanted, wall: float) -> None:
        if not 0 < len(wanted.name) <= 64 or not wanted.name.isprintable() or " " in wanted.name:
            raise RefusedError("an id has 1 to 64 characters and no blanks")
        if not 0 < wanted.units <= MAX_UNITS:
            raise RefusedError(f"units: {wanted.units:g} are not between 0 and {MAX_UNITS:g}")
        if not wanted.begin < wanted.end:
            raise RefusedError("the window ends before it begins")
        if wanted.end <= wall:
            raise RefusedError("the window is over")
        if wanted.end - wanted.begin > MAX_WINDOW_MS:
            raise RefusedError("the window is longer than 31 days")
        if not (1 <= wanted.spread <= self.limiters and 0 <= wanted.first < self.limiters):
            raise RefusedError("there are no such limiters")
        if digest(wanted.name) & 0xFFFFFFFF in self.by_tag:
            raise RefusedError("its short name is another reservation's: choose another id")
        if len(self.by_name) >= MAX_RESERVATIONS:
            self.expire(wall)
            if len(self.by_name) >= MAX_RESERVATIONS:
                raise RefusedError(f"this limiter holds {MAX_RESERVATIONS} reservations already")

    def _check_limits(self, wanted: Wanted, wall: float, rate: float) -> None:
        """Checks an owned reservation against the limits; RefusedError where one is exceeded.

        A customer has one owner, so each owner applies its part of the fleet's limit by itself.
        """
        fleet = self.limits.fleet / self.limiters
        customer = self.limits.customer * rate if rate > 0 else math.inf
        active = [r for r in self.by_name.values() if r.owned and r.advance(wall) in ACTIVE_STATES]
        for name, limit, among in (
                ("fleet", fleet, active),
                ("customer", customer, [r for r in active if r.wanted.customer == wanted.customer])):
            peak = peak_rate(wanted, among)
            if peak > limit * (1 + UNIT_TOLERANCE):
                raise RefusedError(f"the {name}'s share is {limit:g} units a second at this limiter, and "
                                   f"{peak:g} would be reserved at the fullest instant of the window")

    def insert(self, reservation: Reservation) -> Reservation:
        """Stores a reservation without checks: one from the log or from its owner."""
        self.by_name[reservation.wanted.name] = self.by_tag[reservation.tag] = reservation
        self.by_key.setdefault(digest(reservation.wanted.customer), []).append(reservation)
        return reservation

    def remove(self, reservation: Reservation) -> None:
        """Removes a reservation altogether."""
        del self.by_name[reservation.wanted.name], self.by_tag[reservation.tag]
        self.by_key[digest(reservation.wanted.customer)].remove(reservation)

    def cancel(self, name: str, wall: float) -> Reservation:
        """Cancels a reservation by its id; RefusedError where there is none or its window is over."""
        reservation = self.by_name.get(name)
        if reservation is None:
            raise RefusedError(f"there is no reservation {name!r}")
        if reservation.advance(wall) is State.LAPSED:
            raise RefusedError(f"{name!r} has lapsed")
        reservation.apply(Transition.CANCEL)
        return reservation

    def open_for(self, key: int, wall: float) -> Iterable[Reservation]:
        """The customer's reservations from which units may be drawn, the one that ends first in front."""
        reservations = [r for r in self.by_key.get(key, ()) if r.advance(wall) is State.OPEN]
        return (sorted(reservations, key=lambda r: (r.wanted.end, r.wanted.name)) if len(reservations) > 1
                else reservations)

    def expire(self, wall: float) -> None:
        """Removes reservations that have been over for longer than RETENTION_MS."""
        for reservation in list(self.by_name.values()):
            if (reservation.advance(wall) not in ACTIVE_STATES
                and wall - reservation.wanted.end > RETENTION_MS):
                self.remove(reservation)


def reserved_rate(wanted: Wanted) -> float:
    """Units a second of a reservation, averaged over its window."""
    return wanted.units / (wanted.end - wanted.begin) * 1000.0


def peak_rate(wanted: Wanted, others: Iterable[Reservation]) -> float:
    """The highest rate reserved at any instant of the window in units a second, this reservation included."""
    overlapping = [r.wanted for r in others if r.wanted.begin < wanted.end and wanted.begin < r.wanted.end]
    starts = [wanted.begin, *(o.begin for o in overlapping if o.begin > wanted.begin)]
    return max(reserved_rate(wanted) + sum(reserved_rate(o) for o in overlapping if o.begin <= at < o.end)
               for at in starts)
