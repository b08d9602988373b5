"""Shares of a customer's quota, for the time in which its owner and other limiters cannot reach each other.

Shares.  While all limiters are reachable, the owner measures what each limiter of a customer is asked for.
With its replies to asks it tells each the share of the customer's quota that this demand amounts to, and the
demand of all together.  A limiter that cannot reach the owner goes on with its share of the rate and of the
tokens that its copy of the owner's bucket shows.  An owner that does not hear a limiter takes the share that
it granted it out of its own bucket and holds it in escrow.  So the shares of all sides add up to the quota.

Traffic that moves.  Where a side is asked for much more than its share would explain, its share grows to its
own demand over the demand of all before the separation, by at most ``reserve``.  A reserve of 0 keeps to the
quota and may refuse too much; a reserve of 1 serves all and may exceed the quota.  It has nothing to do with
reservations (``reservations.py``).

Rejoining.  Counts of what was admitted during the separation (``settlement.py``) are taken from the escrow
first, then from the bucket.  What is left of the escrow returns to the bucket a short time after all
limiters are reachable again.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from larklb.quota.demand import SLOW_DECAY_MS, Demand, has_shifted
from larklb.quota.table_limits import DEFAULT_MAX_CUSTOMERS, evict_oldest

# A limiter that has a share and was not heard for this long counts as unreachable.
PEER_TIMEOUT_MS = 1200.0
# Counts may still arrive for this long after all limiters are reachable again.
ESCROW_RELEASE_DELAY_MS = 1500.0
# Demand of a customer that asks no more is dropped after this.
DEMAND_EXPIRY_MS = 60_000.0
# Times the recent demand: the average lags behind traffic that has just moved.
SHARE_GROWTH_FACTOR = 1.5
# Units that a separated side may use beyond its share of the tokens, as requests arrive unevenly.
SLACK_UNITS = 1.0
# Standard deviations of a share by which a limiter that cannot ask may exceed it.
SHARE_DEVIATIONS = 1.0
# Bursts that a bucket may be in debt after a settlement, so that no customer pays for longer.
MAX_DEBT_BURSTS = 1.0


@dataclass(slots=True)
class PeerDemand:
    """Demand that a limiter reported at ``at`` (ms), in units a second, and its share, 0 to 1."""

    demand: float
    at: float
    share: float = 0.0


@dataclass(slots=True)
class GrantedShare:
    """This limiter's share of a customer's quota (0 to 1) and the demand of all limiters in units a second.

    Both are as the owner reported them at ``at`` (ms).
    """

    share: float
    total: float
    at: float


class Shares:
    """One limiter's view of demand and shares."""

    def __init__(self, reserve: float, max_customers: int = DEFAULT_MAX_CUSTOMERS) -> None:
        """``reserve``: how far a share may grow beyond what was granted, 0 to 1."""
        self.reserve, self.max_customers = reserve, max_customers
        # Demand at this limiter, by customer.
        self.demand: dict[int, Demand] = {}
        # Reported by others to this owner, by customer and limiter.
        self.peer_demand: dict[int, dict[int, PeerDemand]] = {}
        # Granted by owners, by customer.
        self.granted: dict[int, GrantedShare] = {}
        # Customers owned here with unreachable limiters: since when, and the demand of all at that time.
        self.separated_since: dict[int, float] = {}
        self.initial_demand: dict[int, float] = {}

    def record_request(self, now: float, key: int, units: float) -> None:
        """Counts a request that came in here."""
        demand = self.demand.get(key)
        if demand is None:
            evict_oldest(self.demand, self.max_customers)
            demand = self.demand[key] = Demand(now, now)
        demand.add(now, units)

    def average_demand(self, now: float, key: int) -> float:
        """Average demand of a customer at this limiter, in units a second."""
        demand = self.demand.get(key)
        return demand.average_rate(now) if demand is not None else 0.0

    # As the owner -------------------------------------------------------------------------

    def record_peer_demand(self, now: float, key: int, sender: int, demand: float) -> None:
        """Notes the demand that a limiter reported with an ask, in units a second."""
        if key not in self.peer_demand:
            evict_oldest(self.peer_demand, self.max_customers)
        others = self.peer_demand.setdefault(key, {})
        known = others.get(sender)
        if known is None:
            others[sender] = PeerDemand(demand, now)
        else:
            known.demand, known.at = demand, now

    def share_for(self, now: float, key: int, sender: int) -> tuple[float, float]:
        """Grants a limiter its share; returns it with the demand of all in units a second."""
        total = self.total_demand(now, key)
        peer = self.peer_demand.get(key, {}).get(sender)
        if peer is None or total <= 0:
            return 0.0, total
        peer.share = min(1.0, peer.demand * math.exp((peer.at - now) / SLOW_DECAY_MS) / total)
        return peer.share, total

    def total_demand(self, now: float, key: int) -> float:
        """Demand of a customer at all its limiters, in units a second; older reports count less."""
        return self.average_demand(now, key) + sum(peer.demand * math.exp((peer.at - now) / SLOW_DECAY_MS)
                                                   for peer in self.peer_demand.get(key, {}).values())

    def owner_part(self, now: float, key: int, unreachable: frozenset[int]) -> float:
        """The part of a customer's quota, 0 to 1, that its owner may use while limiters are unreachable."""
        others = self.peer_demand.get(key)
        if not others or not unreachable:
            self.separated_since.pop(key, None)
            return 1.0
        set_aside = sum(peer.share for limiter, peer in others.items()
                        if limiter in unreachable and now - peer.at < DEMAND_EXPIRY_MS)
        if set_aside <= 0:
            return 1.0
        if key not in self.separated_since:
            self.separated_since[key], self.initial_demand[key] = now, self.total_demand(now, key)
        rest = max(0.0, 1.0 - set_aside)
        demand = self.demand.get(key)
        recent = (demand.recent_rate(now) if demand is not None else 0.0) + sum(
            peer.demand for limiter, peer in others.items()
            if limiter not in unreachable and now - peer.at < SLOW_DECAY_MS)
        return self._grown(rest, recent, self.initial_demand.get(key, 0.0))

    def _grown(self, share: float, recent: float, total: float) -> float:
        """The share, grown within the reserve where recent demand exceeds what it would explain."""
        if self.reserve <= 0 or total <= 0 or not has_shifted(recent, share * total):
            return share
        return min(1.0, share + self.reserve, max(share, SHARE_GROWTH_FACTOR * recent / total))

    # As a limiter that cannot ask ---------------------------------------------------------

    def accept_share(self, now: float, key: int, share: float, total: float) -> None:
        """Stores the share and the demand of all that an owner's reply reported."""
        self.granted.pop(key, None)
        evict_oldest(self.granted, self.max_customers)
        self.granted[key] = GrantedShare(share, total, now)

    def local_share(self, now: float, key: int, spread: int) -> float:
        """This limiter's part of a customer's quota, 0 to 1, while it cannot ask the owner."""
        granted, demand = self.granted.get(key), self.demand.get(key)
        if granted is None or granted.total <= 0:
            return 1.0 / spread
        # A share derived from few requests is uncertain, and refusing by it would be the larger error.
        deviation = SHARE_DEVIATIONS * math.sqrt(
            max(granted.share, 0.02) / (2.0 * SLOW_DECAY_MS / 1000.0 * granted.total))
        recent = demand.recent_rate(now) if demand is not None else 0.0
        return max(min(1.0, granted.share + min(deviation, self.reserve)),
                   self._grown(granted.share, recent, granted.total))

    def forget_peer(self, sender: int) -> list[int]:
        """Drops the shares of a restarted limiter; returns the customers concerned.

        What it had admitted before is lost with it, so nothing will be settled from the escrow.
        """
        keys = [key for key, others in self.peer_demand.items() if sender in others]
        for key in keys:
            del self.peer_demand[key][sender]
        return keys

    def expire(self, now: float) -> None:
        """Drops what belongs to customers without recent demand."""
        self.demand = {key: demand for key, demand in self.demand.items()
                       if now - demand.at < DEMAND_EXPIRY_MS}
        self.granted = {key: granted for key, granted in self.granted.items()
                        if now - granted.at < DEMAND_EXPIRY_MS or key in self.demand}
        for key, others in list(self.peer_demand.items()):
            for limiter in [limiter for limiter, peer in others.items()
                            if now - peer.at >= DEMAND_EXPIRY_MS]:
                del others[limiter]
            if not others:
                del self.peer_demand[key]
        self.separated_since = {key: at for key, at in self.separated_since.items()
                                if key in self.peer_demand}
        self.initial_demand = {key: demand for key, demand in self.initial_demand.items()
                               if key in self.separated_since}


# The bound of the error -------------------------------------------------------------------


@dataclass(frozen=True)
class ErrorBound:
    """How far one customer's count may be off, in units: admitted too much, and refused wrongly."""

    over: float
    under: float


def error_bound(rate: float, burst: float, spread: int, *, loss: float, apart_s: float, reserve: float,
                restarts: int = 0, cuts: int = 1) -> ErrorBound:
    """The most by which the units admitted may exceed or fall short of one perfect bucket, at any instant.

    ``rate`` is in units a second and ``burst`` in units; ``spread`` is the number of the customer's limiters.
    ``loss`` is the fraction of messages lost, and ``apart_s`` the seconds that each of ``cuts`` separations
    lasts.

    Derived in ``docs/design/losing-the-counter.md``.  It holds for any demand, and so is wide where demand
    is small.

    Over: until a cut is noticed, each limiter but the owner goes by its copy of the bucket (a burst, and the
    rate for PEER_TIMEOUT_MS) and the slack.  Then the shares add up to one quota, and each limiter may grow
    by ``reserve``.  Lost messages leave each limiter one bucket copy's worth of unsettled units; a restart
    costs a burst.  Under: what a perfect bucket could have granted during the separation, what is in escrow
    until all is settled, and a debt.
    """
    others = max(0, spread - 1)
    if not others:
        return ErrorBound(restarts * burst, 0.0)
    copies = burst + rate * PEER_TIMEOUT_MS / 1000.0 + SLACK_UNITS
    unnoticed = others * copies if apart_s > 0 or loss > 0 else 0.0
    cuts = max(1, cuts)
    over = unnoticed * cuts + others * reserve * rate * apart_s * cuts + restarts * burst + 1.0
    under = (MAX_DEBT_BURSTS + 1.0) * burst * (cuts if apart_s > 0 else 1) + rate * cuts * (
        apart_s + ESCROW_RELEASE_DELAY_MS / 1000.0) + restarts * burst + 1.0
    return ErrorBound(over, under)
