"""Exhaustive exploration of states, and the model of settlement between an owner and partitioned limiters.

A world consists of one owner, one or two limiters that are partitioned from it, one customer, and the
messages in flight.  Every order of admission, reporting, delivery, loss, duplication and restart is explored
up to a depth; equivalent states are explored once.  Time does not pass: the bucket is not refilled, so that
every unit counts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from larklb.quota.bucket import TokenBucket
from larklb.quota.settlement import Confirmed, Count, Settlement

KEY, OWNER = 7, 0
BURST = 8.0
# Fraction of the quota that each limiter may admit while it cannot reach the owner.
SHARE = 0.25
# Bound on the messages in flight at the same time.
MAX_MESSAGES = 3

Action = tuple[str, int]
"""The name of an action and its argument: the number of a limiter, the index of a message, or 0."""


class InvariantViolationError(AssertionError):
    """Raised for a state that violates an invariant; the message lists the actions that lead to it."""


@dataclass
class PartitionedLimiter:
    """A limiter that cannot reach the owner: its settlement, the units left of its share, and its starts."""

    settlement: Settlement
    units_left: float
    starts: int = 1


class World:
    """One state of the model.

    ``make`` creates the settlement of an incarnation; tests pass faulty implementations.
    """

    def __init__(self, limiters: int, make: Callable[[int], Settlement]) -> None:
        self.make = make
        self.owner, self.owner_starts = make(1), 1
        self.bucket = TokenBucket(1e-9, BURST, BURST, 0.0)
        self.bucket.set_part(0.0, 1.0 - SHARE * limiters)
        self.limiters = {
            number: PartitionedLimiter(make(1), BURST * SHARE) for number in range(1, limiters + 1)}
        # Messages with the limiter that sent them or that they are sent to.
        self.in_flight: list[tuple[int, Count | Confirmed]] = []
        # Units admitted by the owner and all limiters since the beginning.
        self.admitted = 0.0
        # Units that this owner settled, by limiter and its incarnation.
        self.settled: dict[tuple[int, int], float] = {}
        # Units that were admitted, by limiter and its incarnation.
        self.admitted_by: dict[tuple[int, int], float] = {}

    def enabled_actions(self) -> list[Action]:
        """Returns the actions that are possible in this state."""
        enabled: list[Action] = [("grant", 0)] if self.bucket.tokens >= 1.0 else []
        for number, limiter in self.limiters.items():
            if limiter.units_left >= 1.0:
                enabled.append(("let", number))
            if limiter.settlement.unconfirmed_count(KEY) is not None and len(self.in_flight) < MAX_MESSAGES:
                enabled.append(("tell", number))
            if limiter.starts < 2:
                enabled.append(("restart", number))
        for index in range(len(self.in_flight)):
            enabled += [("deliver", index), ("repeat", index), ("lose", index)]
        return enabled + ([("owner restarts", 0)] if self.owner_starts < 2 else [])

    def perform_action(self, action: Action) -> None:
        """Performs an action, which changes this state."""
        name, argument = action
        match name:
            case "grant":
                self.bucket.tokens -= 1.0
                self.admitted += 1.0
            case "let":
                limiter = self.limiters[argument]
                limiter.units_left -= 1.0
                limiter.settlement.record_admitted(0.0, KEY, 0, OWNER, 1.0)
                self.admitted += 1.0
                source = (argument, limiter.settlement.incarnation)
                self.admitted_by[source] = self.admitted_by.get(source, 0.0) + 1.0
            case "tell":
                count = self.limiters[argument].settlement.unconfirmed_count(KEY)
                assert count is not None
                self.in_flight.append((argument, count))
            case "restart":
                limiter = self.limiters[argument]
                limiter.starts += 1
                limiter.settlement = self.make(limiter.starts)
            case "owner restarts":
                self.owner_starts += 1
                self.owner = self.make(self.owner_starts)
                self.settled.clear()
            case "lose":
                self.in_flight.pop(argument)
            case _:
                peer, message = self.in_flight[argument] if name == "repeat" else self.in_flight.pop(argument)
                self._receive(peer, message)

    def _receive(self, peer: int, message: Count | Confirmed) -> None:
        if isinstance(message, Confirmed):
            self.limiters[peer].settlement.on_confirmed(0.0, OWNER, message)
            return
        increase = self.owner.on_count(0.0, peer, message)
        source = (peer, message.incarnation)
        self.settled[source] = self.settled.get(source, 0.0) + increase
        self.bucket.settle(0.0, increase, BURST)
        confirmation = self.owner.confirmation_for(peer, KEY)
        if confirmation is not None and len(self.in_flight) < MAX_MESSAGES:
            self.in_flight.append((peer, confirmation))

    def find_violation(self) -> str:
        """Returns the invariant that this state violates, or an empty string."""
        for source, settled in self.settled.items():
            if settled > self.admitted_by.get(source, 0.0) + 1e-9:
                admitted = self.admitted_by.get(source, 0.0)
                return f"{settled:g} units of limiter {source} were settled, and it let in {admitted:g}"
        if self.admitted > BURST + 1e-9:
            return f"{self.admitted:g} units were let in on a quota of {BURST:g}"
        for number, limiter in self.limiters.items():
            local = limiter.settlement.local_counts.get(KEY)
            if local is not None and local.confirmed > local.units + 1e-9:
                return f"limiter {number} was confirmed more than it let in"
        return ""

    def find_divergence(self) -> str:
        """Delivers all counts and returns what still disagrees afterwards, or an empty string.

        The messages that were in flight before arrive last.
        """
        delayed = list(self.in_flight)
        self.in_flight.clear()
        for number, limiter in self.limiters.items():
            for _ in range(2):
                count = limiter.settlement.unconfirmed_count(KEY)
                if count is not None:
                    self._receive(number, count)
                    for peer, confirmation in self.in_flight:
                        self._receive(peer, confirmation)
                    self.in_flight.clear()
            for peer, message in delayed:
                if isinstance(message, Count):
                    self._receive(peer, message)
            self.in_flight.clear()
            local = limiter.settlement.local_counts.get(KEY)
            if local is None:
                continue
            reported = self.owner.peer_counts.get((number, KEY))
            # A restarted owner knows nothing of units that its previous incarnation confirmed.
            agreed = reported is not None and reported.units == local.units or self.owner_starts > 1 and (
                local.confirmed == local.units)
            if not agreed or limiter.settlement.unconfirmed_count(KEY) is not None:
                return (f"limiter {number} let in {local.units:g}, "
                        f"its owner knows of {reported and reported.units}")
            if (self.owner_starts == 1
                    and self.settled.get((number, limiter.settlement.incarnation), 0.0) != local.units):
                return (f"limiter {number} let in {local.units:g}, and "
                        f"{self.settled.get((number, limiter.settlement.incarnation), 0.0):g}"
                        " left the owner's bucket")
        return self.find_violation()

    def fingerprint(self) -> object:
        """Returns a value that is equal for equivalent states, which need not be explored twice."""
        def state_of(settlement: Settlement) -> object:
            return (settlement.incarnation,
                    tuple(sorted((key, local.units, local.confirmed)
                                 for key, local in settlement.local_counts.items())),
                    tuple(sorted(settlement.unconfirmed.get(OWNER, {}))),
                    tuple(sorted(settlement.incarnations.items())),
                    tuple(sorted((key, reported.incarnation, reported.units)
                                 for key, reported in settlement.peer_counts.items())))
        return (state_of(self.owner), self.owner_starts, self.bucket.tokens, self.bucket.escrow,
                tuple((state_of(limiter.settlement), limiter.units_left, limiter.starts)
                      for limiter in self.limiters.values()),
                tuple(sorted(self.in_flight, key=repr)), tuple(sorted(self.settled.items())),
                tuple(sorted(self.admitted_by.items())))


def explore_settlement(depth: int, limiters: int = 1, make: Callable[[int], Settlement] = Settlement) -> int:
    """Explores the settlement model up to a depth and returns the number of distinct states.

    Raises ``InvariantViolationError`` like ``explore_states``.
    """
    return explore_states(depth, lambda: World(limiters, make))


class Explorable(Protocol):
    """A model that can be explored: its enabled actions, its invariants and the fingerprint of its state."""

    def enabled_actions(self) -> list[Action]:
        """Returns the actions that are possible in this state."""
        ...

    def perform_action(self, action: Action) -> None:
        """Performs an action, which changes this state."""
        ...

    def find_violation(self) -> str:
        """Returns the invariant that this state violates, or an empty string."""
        ...

    def find_divergence(self) -> str:
        """Lets the system recover and returns the violated invariant, or an empty string; ends the state."""
        ...

    def fingerprint(self) -> object:
        """Returns a value with a ``repr`` that is equal for equivalent states."""
        ...


def explore_states(depth: int, make_model: Callable[[], Explorable]) -> int:
    """Explores all states up to a depth, breadth first, and returns the number of distinct states.

    States are not copied: each is reached by replaying its actions on a new model of ``make_model``.
    Raises ``InvariantViolationError`` with a shortest sequence of actions that leads to a violation.
    """
    seen = {repr(make_model().fingerprint())}
    frontier: list[tuple[Action, ...]] = [()]
    for _ in range(depth):
        next_frontier = []
        for path in frontier:
            for action in _replay(path, make_model).enabled_actions():
                model = _replay(path, make_model)
                model.perform_action(action)
                fingerprint = repr(model.fingerprint())
                if fingerprint in seen:
                    continue
                seen.add(fingerprint)
                extended = (*path, action)
                violation = model.find_violation() or model.find_divergence()
                if violation:
                    steps = " -> ".join(f"{name} {argument}" for name, argument in extended)
                    raise InvariantViolationError(f"{violation}: {steps}")
                next_frontier.append(extended)
        frontier = next_frontier
    return len(seen)


def _replay(path: tuple[Action, ...], make_model: Callable[[], Explorable]) -> Explorable:
    model = make_model()
    for action in path:
        model.perform_action(action)
    return model
