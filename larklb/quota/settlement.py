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

UNIT_STEP = 1 / 16              # units are told in sixteenths
RESEND_INTERVAL_MS = 250.0           # between words on a count that is not confirmed
COUNT_EXPIRY_MS = 120_000.0      # a settled count with no news is forgotten by both sides
MAX_COUNTS = 20_000              # counts kept by a limiter, of each kind: the longest settled go first
# An incarnation not heard from for this long has ended, whatever number comes after it.
INCARNATION_TIMEOUT_MS = 10_000.0


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
class LocalCount:
    owner: int
    plan: int
    units: float = 0.0
    confirmed: float = 0.0
    told: float = -math.inf
    at: float = 0.0


@dataclass
class PeerCount:
    incarnation: int
    units: float
    at: float


class Settlement:
    """One limiter's counts, told and heard."""

    def __init__(self, incarnation: int) -> None:
        """``incarnation`` is greater with each start of this limiter."""
        self.incarnation = incarnation
        self.local_counts: dict[int, LocalCount] = {}
        self.unconfirmed: dict[int, dict[int, LocalCount]] = {}  # by owner and key: what is not yet confirmed
        self.peer_counts: dict[tuple[int, int], PeerCount] = {}       # by sender and key
        self.incarnations: dict[int, int] = {}                   # the incarnation that counts, by sender, ...
        self.last_heard_at: dict[int, float] = {}                # ... and when it was last heard of

    # As one who lets in -------------------------------------------------------------------

    def record_admitted(self, now: float, key: int, plan: int, owner: int, units: float) -> None:
        """Units let in without the owner's word."""
        mine = self.local_counts.get(key)
        if mine is None:
            mine = self.local_counts[key] = LocalCount(owner, plan)
            self.unconfirmed.setdefault(owner, {})[key] = mine
            if len(self.local_counts) > MAX_COUNTS:
                settled = (k for k, m in self.local_counts.items()
                           if k not in self.unconfirmed.get(m.owner, ()))
                self._drop(next(settled, next(iter(self.local_counts))))
        mine.units += units
        mine.at = now
        self.unconfirmed.setdefault(mine.owner, {})[key] = mine

    def _drop(self, key: int) -> None:
        mine = self.local_counts.pop(key)
        self.unconfirmed.get(mine.owner, {}).pop(key, None)

    def due_counts(self, now: float, owner: int) -> Iterator[Count]:
        """Counts that are due to be told to an owner, the longest untold in front."""
        for key, mine in list(self.unconfirmed.get(owner, {}).items()):
            if now - mine.told >= RESEND_INTERVAL_MS:
                yield self._message(key, mine)

    def unconfirmed_count(self, key: int) -> Count | None:
        """The count of one customer, if its owner has not confirmed all of it."""
        mine = self.local_counts.get(key)
        return (self._message(key, mine)
                if mine is not None and key in self.unconfirmed.get(mine.owner, ()) else None)

    def _message(self, key: int, mine: LocalCount) -> Count:
        return Count(key, mine.plan, self.incarnation, mine.units, mine.confirmed)

    def mark_sent(self, now: float, key: int) -> None:
        """The count goes out now: others are in front the next time."""
        mine = self.local_counts[key]
        mine.told = now
        waiting = self.unconfirmed[mine.owner]
        waiting[key] = waiting.pop(key)

    def on_confirmed(self, now: float, sender: int, c: Confirmed) -> None:
        mine = self.local_counts.get(c.key)
        if mine is None or c.incarnation != self.incarnation or sender != mine.owner:
            return
        mine.confirmed = max(mine.confirmed, min(c.units, mine.units))
        mine.at = now
        if mine.confirmed >= mine.units - UNIT_STEP / 2:
            self.unconfirmed.get(mine.owner, {}).pop(c.key, None)

    # As the owner -------------------------------------------------------------------------

    def on_count(self, now: float, sender: int, c: Count) -> float:
        """Units that were not known: to be taken from the bucket now."""
        if not self.is_current(now, sender, c.incarnation):
            return 0.0
        known = self.peer_counts.get((sender, c.key))
        if known is None or known.incarnation != c.incarnation:
            known = PeerCount(c.incarnation, c.confirmed, now)
        else:
            del self.peer_counts[sender, c.key]
        self.peer_counts[sender, c.key] = known                  # the last heard of stands last
        if len(self.peer_counts) > MAX_COUNTS:
            del self.peer_counts[next(iter(self.peer_counts))]
        # What a former owner confirmed is done, even if an older word of this count came here first.
        news = max(0.0, c.units - max(known.units, c.confirmed))
        known.units, known.at = max(known.units, c.units), now
        return news

    def is_current(self, now: float, sender: int, incarnation: int) -> bool:
        """Whether a word comes from the present incarnation of its sender: the newest, or the one that has
        come after it had ended.  The number goes by a clock that a machine starts anew with itself."""
        newest = self.incarnations.get(sender, incarnation)
        if incarnation < newest and now - self.last_heard_at.get(sender, now) <= INCARNATION_TIMEOUT_MS:
            return False
        self.incarnations[sender], self.last_heard_at[sender] = incarnation, now
        return True

    def confirmation_for(self, sender: int, key: int) -> Confirmed | None:
        known = self.peer_counts.get((sender, key))
        return Confirmed(key, known.incarnation, known.units) if known is not None else None

    def expire(self, now: float) -> None:
        for key, mine in list(self.local_counts.items()):
            if now - mine.at > COUNT_EXPIRY_MS and key not in self.unconfirmed.get(mine.owner, ()):
                del self.local_counts[key]
        self.peer_counts = {k: v for k, v in self.peer_counts.items() if now - v.at <= COUNT_EXPIRY_MS}
        self.unconfirmed = {owner: waiting for owner, waiting in self.unconfirmed.items() if waiting}
