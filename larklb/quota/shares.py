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

from larklb.quota.demand import SLOW_DECAY_MS, Demand, has_shifted
from larklb.quota.table_limits import DEFAULT_MAX_CUSTOMERS, evict_oldest

PEER_TIMEOUT_MS = 1200.0          # without a word from a limiter that has a share: it is taken to be apart
ESCROW_RELEASE_DELAY_MS = 1500.0  # after all are heard again counts may still come: then the escrow returns
DEMAND_EXPIRY_MS = 60_000.0       # demand of a customer that asks no more is forgotten
SHARE_GROWTH_FACTOR = 1.5  # times what it sees lately: the average lags behind traffic that has just moved
SLACK_UNITS = 1.0  # units that a side apart may use beyond its share of the tokens: chance is uneven
SHARE_DEVIATIONS = 1.0  # standard deviations of a share that one who cannot ask may use beyond it
MAX_DEBT_BURSTS = 1.0  # bursts that a bucket may be in debt after a settling: no customer pays for longer


@dataclass(slots=True)
class PeerDemand:
    """What a limiter told of its demand, and the share it was told."""

    demand: float
    at: float
    share: float = 0.0


@dataclass(slots=True)
class GrantedShare:
    """What the owner last told of a customer: this limiter's share, and the demand of all."""

    share: float
    total: float
    at: float


class Shares:
    """One limiter's view of demand and shares."""

    def __init__(self, reserve: float, max_customers: int = DEFAULT_MAX_CUSTOMERS) -> None:
        """``reserve``: how far a share may grow beyond what was granted, 0 to 1."""
        self.reserve, self.max_customers = reserve, max_customers
        self.demand: dict[int, Demand] = {}                 # seen here, by customer
        self.peer_demand: dict[int, dict[int, PeerDemand]] = {}  # told by others, by customer and limiter
        self.granted: dict[int, GrantedShare] = {}                     # by owners, by customer
        self.separated_since: dict[int, float] = {}  # customers whose owner here is apart from some
        self.initial_demand: dict[int, float] = {}  # demand of all when they were last together

    def record_request(self, now: float, key: int, units: float) -> None:
        """A request came in here."""
        demand = self.demand.get(key)
        if demand is None:
            evict_oldest(self.demand, self.max_customers)
            demand = self.demand[key] = Demand(now, now)
        demand.add(now, units)

    def average_demand(self, now: float, key: int) -> float:
        demand = self.demand.get(key)
        return demand.average_rate(now) if demand is not None else 0.0

    # The owner ----------------------------------------------------------------------------

    def record_peer_demand(self, now: float, key: int, sender: int, demand: float) -> None:
        """A limiter asked, and told its demand."""
        if key not in self.peer_demand:
            evict_oldest(self.peer_demand, self.max_customers)
        others = self.peer_demand.setdefault(key, {})
        known = others.get(sender)
        if known is None:
            others[sender] = PeerDemand(demand, now)
        else:
            known.demand, known.at = demand, now

    def share_for(self, now: float, key: int, sender: int) -> tuple[float, float]:
        """The share of a limiter that asks, and the demand of all, in units a second."""
        total = self.total_demand(now, key)
        asked = self.peer_demand.get(key, {}).get(sender)
        if asked is None or total <= 0:
            return 0.0, total
        asked.share = min(1.0, asked.demand * math.exp((asked.at - now) / SLOW_DECAY_MS) / total)
        return asked.share, total

    def total_demand(self, now: float, key: int) -> float:
        return self.average_demand(now, key) + sum(a.demand * math.exp((a.at - now) / SLOW_DECAY_MS)
                                                   for a in self.peer_demand.get(key, {}).values())

    def owner_part(self, now: float, key: int, apart: frozenset[int]) -> float:
        """The part of a customer's quota that its owner has, while it does not hear some limiters."""
        others = self.peer_demand.get(key)
        if not others or not apart:
            self.separated_since.pop(key, None)
            return 1.0
        away = sum(a.share for g, a in others.items() if g in apart and now - a.at < DEMAND_EXPIRY_MS)
        if away <= 0:
            return 1.0
        if key not in self.separated_since:
            self.separated_since[key], self.initial_demand[key] = now, self.total_demand(now, key)
        mine = max(0.0, 1.0 - away)
        demand = self.demand.get(key)
        lately = (demand.recent_rate(now) if demand is not None else 0.0) + sum(
            a.demand for g, a in others.items() if g not in apart and now - a.at < SLOW_DECAY_MS)
        return self._grown(mine, lately, self.initial_demand.get(key, 0.0))

    def _grown(self, share: float, lately: float, total: float) -> float:
        if self.reserve <= 0 or total <= 0 or not has_shifted(lately, share * total):
            return share
        return min(1.0, share + self.reserve, max(share, SHARE_GROWTH_FACTOR * lately / total))

    # One who cannot ask -------------------------------------------------------------------

    def accept_share(self, now: float, key: int, share: float, total: float) -> None:
        """What an owner told."""
        self.granted.pop(key, None)
        evict_oldest(self.granted, self.max_customers)
        self.granted[key] = GrantedShare(share, total, now)

    def local_share(self, now: float, key: int, spread: int) -> float:
        """This limiter's part of a customer's quota while it cannot ask."""
        told, demand = self.granted.get(key), self.demand.get(key)
        if told is None or told.total <= 0:
            return 1.0 / spread
        # A share that few requests have shaped is a rough guess: refusing by it would be the larger fault.
        rough = SHARE_DEVIATIONS * math.sqrt(
            max(told.share, 0.02) / (2.0 * SLOW_DECAY_MS / 1000.0 * told.total))
        lately = demand.recent_rate(now) if demand is not None else 0.0
        return max(min(1.0, told.share + min(rough, self.reserve)),
                   self._grown(told.share, lately, told.total))

    def forget_peer(self, sender: int) -> list[int]:
        """A limiter has started anew: it has no share, and nobody will tell what it had let in."""
        keys = [key for key, others in self.peer_demand.items() if sender in others]
        for key in keys:
            del self.peer_demand[key][sender]
        return keys

    def expire(self, now: float) -> None:
        self.demand = {k: d for k, d in self.demand.items() if now - d.at < DEMAND_EXPIRY_MS}
        self.granted = {k: t for k, t in self.granted.items()
                        if now - t.at < DEMAND_EXPIRY_MS or k in self.demand}
        for key, others in list(self.peer_demand.items()):
            for g in [g for g, a in others.items() if now - a.at >= DEMAND_EXPIRY_MS]:
                del others[g]
            if not others:
                del self.peer_demand[key]
        self.separated_since = {k: at for k, at in self.separated_since.items() if k in self.peer_demand}
        self.initial_demand = {k: d for k, d in self.initial_demand.items() if k in self.separated_since}


# The bound --------------------------------------------------------------------------------


@dataclass(frozen=True)
class ErrorBound:
    """How far off one customer's count may be, in units: let in too much, and refused wrongly."""

    over: float
    under: float


def error_bound(rate: float, burst: float, spread: int, *, loss: float, apart_s: float, reserve: float,
                restarts: int = 0, cuts: int = 1) -> ErrorBound:
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
        return ErrorBound(restarts * burst, 0.0)
    copies = burst + rate * PEER_TIMEOUT_MS / 1000.0 + SLACK_UNITS
    blind = others * copies if apart_s > 0 or loss > 0 else 0.0
    cuts = max(1, cuts)
    over = blind * cuts + others * reserve * rate * apart_s * cuts + restarts * burst + 1.0
    under = (MAX_DEBT_BURSTS + 1.0) * burst * (cuts if apart_s > 0 else 1) + rate * cuts * (
        apart_s + ESCROW_RELEASE_DELAY_MS / 1000.0) + restarts * burst + 1.0
    return ErrorBound(over, under)
