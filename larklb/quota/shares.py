"""What is decided while the owner of a customer and others of its limiters cannot hear each other.

Shares.  While all are heard, the owner watches what each limiter of a customer is asked for, and tells
each with its verdicts which share of the customer's quota that is, and what all are asked for together.
A limiter that cannot ask any more goes on with its share of the rate and of the tokens that its late copy
shows; an owner that does not hear a limiter keeps the share that it told it out of its own bucket, in
escrow.  So the shares of all sides make up the quota and no more.

Traffic that moves.  Where a side is asked for much more than its share would explain, its share follows,
to what it sees over what all were asked for before, by ``reserve`` at the most: 0 errs on the side of the
quota, 1 on that of service.

Rejoin.  Counts of what was let in apart (``settlement.py``) are taken from the escrow first, then from the
bucket; what is left of the escrow returns to the bucket some seconds after all are heard again.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from larklb.quota.demand import SLOW_MS, Demand, moved
from larklb.quota.table_limits import MOST, make_room

APART_MS = 1200.0          # without a word from a limiter that has a share: it is taken to be apart
SETTLE_MS = 1500.0         # after all are heard again counts may still come: then the escrow returns
FORGET_MS = 60_000.0       # demand of a customer that asks no more is forgotten
GROW = 1.5                 # times what it sees lately: the average lags behind traffic that has just moved
SLACK = 1.0                # units that a side apart may use beyond its share of the tokens: chance is uneven
UNSURE = 1.0               # standard deviations of a share that one who cannot ask may use beyond it
DEBT = 1.0                 # bursts that a bucket may be in debt after a settling: no customer pays for longer


@dataclass(slots=True)
class Asked:
    """What a limiter told of its demand, and the share it was told."""

    demand: float
    at: float
    share: float = 0.0


@dataclass(slots=True)
class Told:
    """What the owner last told of a customer: this limiter's share, and the demand of all."""

    share: float
    total: float
    at: float


class Shares:
    """One limiter's view of demand and shares."""

    def __init__(self, reserve: float, most: int = MOST) -> None:
        """``reserve``: how far a share may grow beyond what was told, 0 to 1; ``most``: customers kept."""
        self.reserve, self.most = reserve, most
        self.demand: dict[int, Demand] = {}                 # seen here, by customer
        self.asked: dict[int, dict[int, Asked]] = {}        # told by others, by customer and limiter
        self.told: dict[int, Told] = {}                     # by owners, by customer
        self.since: dict[int, float] = {}                   # customers whose owner here is apart from some
        self.whole: dict[int, float] = {}                   # demand of all when they were last together

    def tried(self, now: float, key: int, units: float) -> None:
        """A request came in here."""
        demand = self.demand.get(key)
        if demand is None:
            make_room(self.demand, self.most)
            demand = self.demand[key] = Demand(now, now)
        demand.add(now, units)

    def usual(self, now: float, key: int) -> float:
        demand = self.demand.get(key)
        return demand.usual(now) if demand is not None else 0.0

    # The owner ----------------------------------------------------------------------------

    def heard(self, now: float, key: int, sender: int, demand: float) -> None:
        """A limiter asked, and told its demand."""
        if key not in self.asked:
            make_room(self.asked, self.most)
        others = self.asked.setdefault(key, {})
        known = others.get(sender)
        if known is None:
            others[sender] = Asked(demand, now)
        else:
            known.demand, known.at = demand, now

    def tell(self, now: float, key: int, sender: int) -> tuple[float, float]:
        """The share of a limiter that asks, and the demand of all, in units a second."""
        total = self.total(now, key)
        asked = self.asked.get(key, {}).get(sender)
        if asked is None or total <= 0:
            return 0.0, total
        asked.share = min(1.0, asked.demand * math.exp((asked.at - now) / SLOW_MS) / total)
        return asked.share, total

    def total(self, now: float, key: int) -> float:
        return self.usual(now, key) + sum(a.demand * math.exp((a.at - now) / SLOW_MS)
                                          for a in self.asked.get(key, {}).values())

    def part(self, now: float, key: int, apart: frozenset[int]) -> float:
        """The part of a customer's quota that its owner has, while it does not hear some limiters."""
        others = self.asked.get(key)
        if not others or not apart:
            self.since.pop(key, None)
            return 1.0
        away = sum(a.share for g, a in others.items() if g in apart and now - a.at < FORGET_MS)
        if away <= 0:
            return 1.0
        if key not in self.since:
            self.since[key], self.whole[key] = now, self.total(now, key)
        mine = max(0.0, 1.0 - away)
        demand = self.demand.get(key)
        lately = (demand.lately(now) if demand is not None else 0.0) + sum(
            a.demand for g, a in others.items() if g not in apart and now - a.at < SLOW_MS)
        return self._grown(mine, lately, self.whole.get(key, 0.0))

    def _grown(self, share: float, lately: float, total: float) -> float:
        if self.reserve <= 0 or total <= 0 or not moved(lately, share * total):
            return share
        return min(1.0, share + self.reserve, max(share, GROW * lately / total))

    # One who cannot ask -------------------------------------------------------------------

    def take(self, now: float, key: int, share: float, total: float) -> None:
        """What an owner told."""
        self.told.pop(key, None)
        make_room(self.told, self.most)
        self.told[key] = Told(share, total, now)

    def share(self, now: float, key: int, spread: int) -> float:
        """This limiter's part of a customer's quota while it cannot ask."""
        told, demand = self.told.get(key), self.demand.get(key)
        if told is None or told.total <= 0:
            return 1.0 / spread
        # A share that few requests have shaped is a rough guess: refusing by it would be the larger fault.
        rough = UNSURE * math.sqrt(max(told.share, 0.02) / (2.0 * SLOW_MS / 1000.0 * told.total))
        lately = demand.lately(now) if demand is not None else 0.0
        return max(min(1.0, told.share + min(rough, self.reserve)),
                   self._grown(told.share, lately, told.total))

    def forget(self, sender: int) -> list[int]:
        """A limiter has started anew: it has no share, and nobody will tell what it had let in."""
        keys = [key for key, others in self.asked.items() if sender in others]
        for key in keys:
            del self.asked[key][sender]
        return keys

    def clean(self, now: float) -> None:
        self.demand = {k: d for k, d in self.demand.items() if now - d.at < FORGET_MS}
        self.told = {k: t for k, t in self.told.items() if now - t.at < FORGET_MS or k in self.demand}
        for key, others in list(self.asked.items()):
            for g in [g for g, a in others.items() if now - a.at >= FORGET_MS]:
                del others[g]
            if not others:
                del self.asked[key]
        self.since = {k: at for k, at in self.since.items() if k in self.asked}
        self.whole = {k: d for k, d in self.whole.items() if k in self.since}


# The bound --------------------------------------------------------------------------------


@dataclass(frozen=True)
class Bound:
    """How far off one customer's count may be, in units: let in too much, and refused wrongly."""

    over: float
    under: float


def bound(rate: float, burst: float, spread: int, *, loss: float, apart_s: float, reserve: float,
          restarts: int = 0, cuts: int = 1) -> Bound:
    """The most that ``let in`` may lead or lag one perfect bucket at any instant, in units.

    Derived in ``docs/design/losing-the-counter.md``; it holds whatever is asked for, so that it is wide where
    demand is small.  Over: until a cut is noticed, each limiter but the owner goes by its late copy (a burst
    and the rate for APART_MS) and the slack; then shares make up one quota, and each limiter alone may grow
    by ``reserve``.  Lost messages leave each of them a copy's worth that is not settled yet; a restart costs
    a burst.  Under: what a perfect bucket could have granted while apart, what is in escrow until all has
    been settled, and a debt.
    """
    others = max(0, spread - 1)
    if not others:
        return Bound(restarts * burst, 0.0)
    copies = burst + rate * APART_MS / 1000.0 + SLACK
    blind = others * copies if apart_s > 0 or loss > 0 else 0.0
    cuts = max(1, cuts)
    over = blind * cuts + others * reserve * rate * apart_s * cuts + restarts * burst + 1.0
    under = (DEBT + 1.0) * burst * (cuts if apart_s > 0 else 1) + rate * cuts * (
        apart_s + SETTLE_MS / 1000.0) + restarts * burst + 1.0
    return Bound(over, under)
