"""Units that limiters let in without their owner, settled with it: counts that only grow, merged by maximum.

A limiter counts, for each customer, what it has let in by itself since it started.  It tells the whole
count, with its incarnation and the part that an owner has confirmed, until that is all of it.  An owner
takes in what it had not known.  So a count that is lost, comes twice, or comes late changes nothing in
the end, and no unit is settled twice.  An owner that has never heard of a count begins where the former
owner confirmed it.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

STEP = 1 / 16              # units are told in sixteenths
AGAIN_MS = 250.0           # between words on a count that is not confirmed
FORGET_MS = 120_000.0      # a settled count with no news is forgotten by both sides
MOST = 20_000              # counts kept by a limiter, of each kind: the longest settled go first
ENDED_MS = 10_000.0        # without a word from an incarnation: it has ended, whatever number comes after it


class Count(NamedTuple):
    """What the sender has let in for a customer by itself, in its incarnation; ``confirmed``: of it,
    settled."""

    key: int
    plan: int                  # the number of the plan that its requests name
    incarnation: int
    units: float
    confirmed: float


class Confirmed(NamedTuple):
    """The owner has taken in that much."""

    key: int
    incarnation: int
    units: float


@dataclass
class Mine:
    owner: int
    plan: int
    units: float = 0.0
    confirmed: float = 0.0
    told: float = -math.inf
    at: float = 0.0


@dataclass
class Known:
    incarnation: int
    units: float
    at: float


class Settling:
    """One limiter's counts, told and heard."""

    def __init__(self, incarnation: int) -> None:
        """``incarnation`` is greater with each start of this limiter."""
        self.incarnation = incarnation
        self.mine: dict[int, Mine] = {}
        self.open: dict[int, dict[int, Mine]] = {}          # by owner and key: what is not yet confirmed
        self.known: dict[tuple[int, int], Known] = {}       # by sender and key
        self.current: dict[int, int] = {}                   # the incarnation that counts, by sender, ...
        self.heard_at: dict[int, float] = {}                # ... and when it was last heard of

    # As one who lets in -------------------------------------------------------------------

    def let(self, now: float, key: int, plan: int, owner: int, units: float) -> None:
        """Units let in without the owner's word."""
        mine = self.mine.get(key)
        if mine is None:
            mine = self.mine[key] = Mine(owner, plan)
            self.open.setdefault(owner, {})[key] = mine
            if len(self.mine) > MOST:
                settled = (k for k, m in self.mine.items() if k not in self.open.get(m.owner, ()))
                self._drop(next(settled, next(iter(self.mine))))
        mine.units += units
        mine.at = now
        self.open.setdefault(mine.owner, {})[key] = mine

    def _drop(self, key: int) -> None:
        mine = self.mine.pop(key)
        self.open.get(mine.owner, {}).pop(key, None)

    def owed(self, now: float, owner: int) -> Iterator[Count]:
        """Counts that are due to be told to an owner, the longest untold in front."""
        for key, mine in list(self.open.get(owner, {}).items()):
            if now - mine.told >= AGAIN_MS:
                yield self._told(key, mine)

    def owed_of(self, key: int) -> Count | None:
        """The count of one customer, if its owner has not confirmed all of it."""
        mine = self.mine.get(key)
        return self._told(key, mine) if mine is not None and key in self.open.get(mine.owner, ()) else None

    def _told(self, key: int, mine: Mine) -> Count:
        return Count(key, mine.plan, self.incarnation, mine.units, mine.confirmed)

    def telling(self, now: float, key: int) -> None:
        """The count goes out now: others are in front the next time."""
        mine = self.mine[key]
        mine.told = now
        waiting = self.open[mine.owner]
        waiting[key] = waiting.pop(key)

    def heard_confirmed(self, now: float, sender: int, c: Confirmed) -> None:
        mine = self.mine.get(c.key)
        if mine is None or c.incarnation != self.incarnation or sender != mine.owner:
            return
        mine.confirmed = max(mine.confirmed, min(c.units, mine.units))
        mine.at = now
        if mine.confirmed >= mine.units - STEP / 2:
            self.open.get(mine.owner, {}).pop(c.key, None)

    # As the owner -------------------------------------------------------------------------

    def heard(self, now: float, sender: int, c: Count) -> float:
        """Units that were not known: to be taken from the bucket now."""
        if not self.is_current(now, sender, c.incarnation):
            return 0.0
        known = self.known.get((sender, c.key))
        if known is None or known.incarnation != c.incarnation:
            known = Known(c.incarnation, c.confirmed, now)
        else:
            del self.known[sender, c.key]
        self.known[sender, c.key] = known                  # the last heard of stands last
        if len(self.known) > MOST:
            del self.known[next(iter(self.known))]
        # What a former owner confirmed is done, even if an older word of this count came here first.
        news = max(0.0, c.units - max(known.units, c.confirmed))
        known.units, known.at = max(known.units, c.units), now
        return news

    def is_current(self, now: float, sender: int, incarnation: int) -> bool:
        """Whether a word comes from the present incarnation of its sender: the newest, or the one that has
        come after it had ended.  The number goes by a clock that a machine starts anew with itself."""
        newest = self.current.get(sender, incarnation)
        if incarnation < newest and now - self.heard_at.get(sender, now) <= ENDED_MS:
            return False
        self.current[sender], self.heard_at[sender] = incarnation, now
        return True

    def confirms(self, sender: int, key: int) -> Confirmed | None:
        known = self.known.get((sender, key))
        return Confirmed(key, known.incarnation, known.units) if known is not None else None

    def clean(self, now: float) -> None:
        for key, mine in list(self.mine.items()):
            if now - mine.at > FORGET_MS and key not in self.open.get(mine.owner, ()):
                del self.mine[key]
        self.known = {k: v for k, v in self.known.items() if now - v.at <= FORGET_MS}
        self.open = {owner: waiting for owner, waiting in self.open.items() if waiting}
