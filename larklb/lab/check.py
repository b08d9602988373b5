"""Explores what can become of counts between one owner and those who let in without it, exhaustively.

A world is one owner, one or two limiters apart from it, one customer, and the messages under way.  Every
order of letting in, telling, delivery, loss, repetition and restart is played up to a depth; worlds that look
alike are played once.  Time stands still: the bucket does not fill, so every unit counts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from larklb.quota.bucket import TokenBucket
from larklb.quota.settlement import Confirmed, Count, Settlement

KEY, OWNER = 7, 0
BURST = 8.0
SHARE = 0.25               # of each limiter that cannot ask
MOST_MESSAGES = 3          # under way at once

Action = tuple[str, int]


class InvariantViolationError(AssertionError):
    """A world in which something does not hold, and the actions that lead to it."""


@dataclass
class Letting:
    """A limiter apart: what it may let in by its share, and has."""

    settling: Settlement
    left: float
    starts: int = 1


class World:
    """One world; ``make`` gives the counts' keeper, so that tests can put faults into it."""

    def __init__(self, limiters: int, make: Callable[[int], Settlement]) -> None:
        self.make = make
        self.owner, self.owner_starts = make(1), 1
        self.bucket = TokenBucket(1e-9, BURST, BURST, 0.0)
        self.bucket.set_part(0.0, 1.0 - SHARE * limiters)
        self.apart = {i: Letting(make(1), BURST * SHARE) for i in range(1, limiters + 1)}
        self.in_flight: list[tuple[int, Count | Confirmed]] = []       # to whom or from whom, and what
        self.let = 0.0                                      # by all, ever
        self.taken: dict[tuple[int, int], float] = {}       # by this owner, from a limiter's incarnation
        self.by: dict[tuple[int, int], float] = {}          # let in, by limiter and incarnation

    def actions(self) -> list[Action]:
        found: list[Action] = [("grant", 0)] if self.bucket.tokens >= 1.0 else []
        for i, a in self.apart.items():
            if a.left >= 1.0:
                found.append(("let", i))
            if a.settling.unconfirmed_count(KEY) is not None and len(self.in_flight) < MOST_MESSAGES:
                found.append(("tell", i))
            if a.starts < 2:
                found.append(("restart", i))
        for n in range(len(self.in_flight)):
            found += [("deliver", n), ("repeat", n), ("lose", n)]
        return found + ([("owner restarts", 0)] if self.owner_starts < 2 else [])

    def act(self, action: Action) -> None:
        name, n = action
        match name:
            case "grant":
                self.bucket.tokens -= 1.0
                self.let += 1.0
            case "let":
                a = self.apart[n]
                a.left -= 1.0
                a.settling.record_admitted(0.0, KEY, 0, OWNER, 1.0)
                self.let += 1.0
                name_of = (n, a.settling.incarnation)
                self.by[name_of] = self.by.get(name_of, 0.0) + 1.0
            case "tell":
                count = self.apart[n].settling.unconfirmed_count(KEY)
                assert count is not None
                self.in_flight.append((n, count))
            case "restart":
                a = self.apart[n]
                a.starts += 1
                a.settling = self.make(a.starts)
            case "owner restarts":
                self.owner_starts += 1
                self.owner = self.make(self.owner_starts)
                self.taken.clear()
            case "lose":
                self.in_flight.pop(n)
            case _:
                who, message = self.in_flight[n] if name == "repeat" else self.in_flight.pop(n)
                self._arrive(who, message)

    def _arrive(self, who: int, message: Count | Confirmed) -> None:
        if isinstance(message, Confirmed):
            self.apart[who].settling.on_confirmed(0.0, OWNER, message)
            return
        news = self.owner.on_count(0.0, who, message)
        name = (who, message.incarnation)
        self.taken[name] = self.taken.get(name, 0.0) + news
        self.bucket.settle(0.0, news, BURST)
        word = self.owner.confirmation_for(who, KEY)
        if word is not None and len(self.in_flight) < MOST_MESSAGES:
            self.in_flight.append((who, word))

    def find_violation(self) -> str:
        """What does not hold here, if anything."""
        for name, taken in self.taken.items():
            if taken > self.by.get(name, 0.0) + 1e-9:
                let = self.by.get(name, 0.0)
                return f"{taken:g} units of limiter {name} were settled, and it let in {let:g}"
        if self.let > BURST + 1e-9:
            return f"{self.let:g} units were let in on a quota of {BURST:g}"
        for i, a in self.apart.items():
            mine = a.settling.local_counts.get(KEY)
            if mine is not None and mine.confirmed > mine.units + 1e-9:
                return f"limiter {i} was confirmed more than it let in"
        return ""

    def find_divergence(self) -> str:
        """Once all have spoken: what still does not agree, if anything.  Old words arrive last of all."""
        old = list(self.in_flight)
        self.in_flight.clear()
        for i, a in self.apart.items():
            for _ in range(2):
                count = a.settling.unconfirmed_count(KEY)
                if count is not None:
                    self._arrive(i, count)
                    for who, word in self.in_flight:
                        self._arrive(who, word)
                    self.in_flight.clear()
            for who, message in old:
                if isinstance(message, Count):
                    self._arrive(who, message)
            self.in_flight.clear()
            mine = a.settling.local_counts.get(KEY)
            if mine is None:
                continue
            known = self.owner.peer_counts.get((i, KEY))
            done = known is not None and known.units == mine.units or self.owner_starts > 1 and (
                mine.confirmed == mine.units)              # its former self confirmed all of it
            if not done or a.settling.unconfirmed_count(KEY) is not None:
                return f"limiter {i} let in {mine.units:g}, its owner knows of {known and known.units}"
            if self.owner_starts == 1 and self.taken.get((i, a.settling.incarnation), 0.0) != mine.units:
                return (f"limiter {i} let in {mine.units:g}, and "
                        f"{self.taken.get((i, a.settling.incarnation), 0.0):g} left the owner's bucket")
        return self.find_violation()

    def fingerprint(self) -> object:
        """Worlds that look alike go on alike."""
        def of(s: Settlement) -> object:
            return (s.incarnation,
                    tuple(sorted((k, m.units, m.confirmed) for k, m in s.local_counts.items())),
                    tuple(sorted(s.unconfirmed.get(OWNER, {}))), tuple(sorted(s.incarnations.items())),
                    tuple(sorted((k, v.incarnation, v.units) for k, v in s.peer_counts.items())))
        return (of(self.owner), self.owner_starts, self.bucket.tokens, self.bucket.escrow,
                tuple((of(a.settling), a.left, a.starts) for a in self.apart.values()),
                tuple(sorted(self.in_flight, key=repr)), tuple(sorted(self.taken.items())),
                tuple(sorted(self.by.items())))


def explore_settlement(depth: int, limiters: int = 1, make: Callable[[int], Settlement] = Settlement) -> int:
    """Plays every world of counts up to a depth; how many differ."""
    return explore_states(depth, lambda: World(limiters, make))


class Explorable(Protocol):
    """A world that can be explored: what may happen, what then holds, and by what worlds are told apart."""

    def actions(self) -> list[Action]: ...
    def act(self, action: Action) -> None: ...
    def find_violation(self) -> str: ...
    def find_divergence(self) -> str: ...
    def fingerprint(self) -> object: ...


def explore_states(depth: int, new: Callable[[], Explorable]) -> int:
    """Plays every world up to a depth; how many differ.  FoundError tells the shortest way to a fault."""
    seen = {repr(new().fingerprint())}
    frontier: list[tuple[Action, ...]] = [()]
    for _ in range(depth):
        reached = []
        for path in frontier:
            for action in _played(path, new).actions():
                world = _played(path, new)
                world.act(action)
                fingerprint = repr(world.fingerprint())
                if fingerprint in seen:
                    continue
                seen.add(fingerprint)
                longer = (*path, action)
                why = world.find_violation() or world.find_divergence()
                if why:
                    steps = " -> ".join(f"{name} {n}" for name, n in longer)
                    raise InvariantViolationError(f"{why}: {steps}")
                reached.append(longer)
        frontier = reached
    return len(seen)


def _played(path: tuple[Action, ...], new: Callable[[], Explorable]) -> Explorable:
    world = new()
    for action in path:
        world.act(action)
    return world
