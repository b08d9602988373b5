"""Which servers a caller has, and which of them takes its next request.

A caller's order of servers comes from their ids and weights alone.  What changes with the moment is how far
down its order a request goes: past servers whose load is over the bound.  No I/O; time is an argument in ms.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Collection, Iterator, Mapping

from attrs import define, field
from xxhash import xxh3_64_intdigest

from larklb.assignment.errors import WeightError
from larklb.assignment.ring import Ring

NODES = 16  # virtual nodes for each unit of weight (a slot): 4 slots give a server 64 of them
NODES_MOST = 8_192  # of one server, whatever its weight
LOOKS = 2  # servers whose load is looked at for the mean with each choice, all in turn
WALK_MOST = 64  # servers that a choice looks at before it takes the least loaded of them
PAIR = 2  # of a wide set, servers that are compared for one request
AHEAD = 8  # servers of a caller's order that are kept until the servers change
KEPT_MOST = 524_288  # ids kept so, of all callers: 57,000 of them take some 15 MB
BACK_MS = 10_000.0  # a server that is back within so long of leaving flaps ...
HOLD_MS = 5_000.0  # ... and gets callers again after so long, twice as long after each more ...
HOLD_MOST_MS = 60_000.0  # ... up to this; one that has stayed in for so long doesn't flap any more
HELD_PART = 0.25  # of all weight that may be held back: many at once are a mended network
FLAPS_MOST = 4_096  # servers that left and are remembered
WARM_MS = 8_000.0  # a server that has just started is slow for about so long
WARM_STEPS = 8  # in which its weight rises: the first at once, or nobody would warm it


def caller_key(tenant: str, route: str, extra: str = "") -> int:
    """64 bits for a caller, the same in every process.  `extra`: what an operator tells callers apart by."""
    return xxh3_64_intdigest(f"{len(tenant)}:{tenant}{len(route)}:{route}{extra}".encode())


def warmed_weight(weight: float, now: float, cold_until: float, warm_ms: float = WARM_MS) -> float:
    """The weight of a server that is slow until `cold_until`: it rises in WARM_STEPS equal steps.

    From the server's own word, not from when it was first seen here: a limiter that restarts gets the same.
    """
    left = min(1.0, max(0.0, (cold_until - now) / warm_ms))
    return weight * max(1.0, math.ceil((1.0 - left) * WARM_STEPS)) / WARM_STEPS


@define
class _Flap:
    """A server that has left, once or more."""

    left: float
    times: int = 0  # it came back too soon
    until: float = -math.inf  # held back


@define
class Assignment:
    """The servers of one service and the callers' orders of them.

    `spread`: load of a server against its fair part (of all load, by weight) from which it takes no more.
    `floor`: load for each unit of weight up to which a server is never full; with slots as weights, 0.5 keeps
    a caller at its server while half of the slots are free.  `nodes`: virtual nodes for each unit of weight.
    """

    balance_factor: float = field(default=1.25, kw_only=True)
    min_bound_per_weight: float = field(default=0.0, kw_only=True)
    nodes_per_weight: int = field(default=NODES, kw_only=True)
    next_release_at: float = field(default=math.inf, init=False)  # when one held back would be let in
    _told: dict[str, float] = field(factory=dict, init=False)
    _told_zones: dict[str, str] = field(factory=dict, init=False)
    _weights: dict[str, float] = field(factory=dict, init=False)  # of those that get callers
    _zones: dict[str, str] = field(factory=dict, init=False)  # of those that have one
    _ring: Ring = field(factory=Ring, init=False)
    _near: dict[str, Ring] = field(factory=dict, init=False)  # by zone
    _flaps: dict[str, _Flap] = field(factory=dict, init=False)
    _orders: dict[str, dict[int, list[str]]] = field(factory=dict, init=False)  # first ones, by zone, caller
    _kept: int = field(default=0, init=False)  # ids in those
    _turn: int = field(default=0, init=False)
    _ids: list[str] = field(factory=list, init=False)  # whose load is looked at in turn
    _at: int = field(default=0, init=False)
    _loads: dict[str, float] = field(factory=dict, init=False)  # as looked at, -1: it takes none
    _load: float = field(default=0.0, init=False)  # their sum
    _weight: float = field(default=0.0, init=False)  # of those that take requests
    _looked: bool = field(default=False, init=False)

    # Servers ----------------------------------------------------------------------------------

    def set_servers(
        self, now: float, servers: Mapping[str, float], zones: Mapping[str, str] | None = None
    ) -> list[str]:
        """All servers there are, with their weights (ability x slots); 0 for one that drains.

        Returns the ids that get callers from now on, or no longer, sorted.  A server that left and is back
        within BACK_MS is held back for a while; `next_at` says when to call again for it.  WeightError: a
        weight that is no finite number of 0 or more; then nothing has changed.
        """
        near = zones or {}
        if now < self.next_release_at and servers == self._told and near == self._told_zones:
            return []
        for server, weight in servers.items():
            if not 0.0 <= weight < math.inf:
                raise WeightError(f"{server}: {weight}: a finite weight of 0 or more")
        wanted = self._let_in(now, {s: w for s, w in servers.items() if w > 0.0})
        changed = sorted(wanted.keys() ^ self._weights.keys())
        for server in [s for s in self._weights if s not in wanted]:
            self._put(server, 0.0, "")
        for server, weight in wanted.items():
            if self._weights.get(server) != weight or self._zones.get(server, "") != near.get(server, ""):
                self._put(server, weight, near.get(server, ""))
        self._told, self._told_zones = dict(servers), dict(near)
        return changed

    def _let_in(self, now: float, wanted: dict[str, float]) -> dict[str, float]:
        """Those that get callers: all but the ones that flap."""
        for server in [s for s, f in self._flaps.items() if now - max(f.left, f.until) > HOLD_MOST_MS]:
            del self._flaps[server]
        if self._told:
            for server, weight in self._told.items():
                if weight > 0.0 and server not in wanted:
                    old = self._flaps.pop(server, None)
                    self._flaps[server] = _Flap(now, old.times if old else 0)
            while len(self._flaps) > FLAPS_MOST:
                del self._flaps[next(iter(self._flaps))]
            for server in wanted.keys() & self._flaps.keys():
                if not self._told.get(server):
                    flap = self._flaps[server]
                    if now - flap.left <= BACK_MS:
                        flap.times += 1
                        flap.until = now + min(HOLD_MOST_MS, HOLD_MS * 2.0 ** (flap.times - 1))
        held = {s for s, f in self._flaps.items() if s in wanted and now < f.until}
        if sum(wanted[s] for s in held) > HELD_PART * sum(wanted.values()):
            for server in held:
                self._flaps[server].until = now
            held = set()
        self.next_release_at = min((self._flaps[s].until for s in held), default=math.inf)
        return {s: w for s, w in wanted.items() if s not in held}

    def _put(self, server: str, weight: float, zone: str) -> None:
        """A server's new weight and zone; what it keeps stays where it is."""
        nodes = min(NODES_MOST, max(1, round(weight * self.nodes_per_weight))) if weight > 0.0 else 0
        self._orders.clear()
        self._kept = 0
        self._ring.set_nodes(server, nodes)
        old = self._zones.pop(server, "")
        if old and old != zone:
            self._near[old].set_nodes(server, 0)
            if not self._near[old]:
                del self._near[old]
        if zone and nodes:
            self._zones[server] = zone
            self._near.setdefault(zone, Ring()).set_nodes(server, nodes)
        self._weight += (weight if self._loads.get(server, 0.0) >= 0.0 else 0.0) - self._taking(server)
        if not nodes:
            del self._weights[server]
            self._load -= max(0.0, self._loads.pop(server))
            self._ids.remove(server)
            return
        if server not in self._weights:
            self._ids.append(server)
            self._loads[server] = 0.0
        self._weights[server] = weight

    def _taking(self, server: str) -> float:
        return self._weights.get(server, 0.0) if self._loads.get(server, 0.0) >= 0.0 else 0.0

    # Orders -----------------------------------------------------------------------------------

    def _walk(self, caller: int, zone: str) -> Iterator[str]:
        near = self._near.get(zone)
        if near is None:
            yield from self._ring.walk(caller)
            return
        yield from near.walk(caller)
        for server in self._ring.walk(caller):
            if self._zones.get(server) != zone:
                yield server

    def rank(self, caller: int, limit: int, zone: str = "") -> list[str]:
        """The caller's servers in its order, `most` of them, those of `zone` first; alike everywhere."""
        found: list[str] = []
        if limit > 0:
            for server in self._walk(caller, zone):
                found.append(server)
                if len(found) >= limit:
                    break
        return found

    def _order(self, caller: int, limit: int, zone: str) -> list[str]:
        """As `rank`, kept until the servers change."""
        orders = self._orders.setdefault(zone, {})
        found = self.rank(caller, limit, zone)
        self._kept += len(found) - len(orders.pop(caller, ()))
        if self._kept > KEPT_MOST:
            self._orders.clear()
            self._kept = len(found)
            orders = self._orders.setdefault(zone, {})
        orders[caller] = found
        return found

    def _rest(self, caller: int, zone: str, known: int) -> Iterator[str]:
        yield from itertools.islice(self._walk(caller, zone), known, None)

    # Choice -----------------------------------------------------------------------------------

    def _look(self, server: str, load: Callable[[str], float]) -> float:
        """A server's load now; the sums follow."""
        new, old = load(server), self._loads[server]
        if new != old:
            if new == math.inf:
                if old >= 0.0:
                    self._load -= old
                    self._weight -= self._weights[server]
                    self._loads[server] = -1.0
                return new
            if old < 0.0:
                self._weight += self._weights[server]
                old = 0.0
            self._load += new - old
            self._loads[server] = new
        return new

    def load_per_weight(self, load: Callable[[str], float]) -> float:
        """Load for each unit of weight with one request more, from loads looked at in turn, LOOKS each time.

        It lags behind by as many choices as there are servers, over LOOKS, at the most.
        """
        ids = self._ids
        if not self._looked:
            self._looked = True
            for server in ids:
                self._look(server, load)
        for _ in range(LOOKS):
            if self._at >= len(ids):  # sums of many small steps drift
                self._at = 0
                self._load = sum(part for part in self._loads.values() if part > 0.0)
                self._weight = sum(w for s, w in self._weights.items() if self._loads[s] >= 0.0)
            self._look(ids[self._at], load)
            self._at += 1
        return (self._load + 1.0) / self._weight if self._weight > 0.0 else 0.0

    def load_bound(self, server: str, load_per_weight: float) -> float:
        """The load from which a server takes no more: with one request more it would be over `spread` times
        its fair part, and it has that part already.  One of the servers is always under its bound."""
        weight = self._weights[server]
        fair = load_per_weight * weight
        return max(self.balance_factor * fair - 1.0, fair, self.min_bound_per_weight * weight)

    def choose(
        self,
        caller: int,
        load: Callable[[str], float],
        excluded: Collection[str] = (),
        *,
        subset_size: int = 1,
        zone: str = "",
        load_per_weight: float | None = None,
    ) -> str | None:
        """The server for one more request of a caller: the first in its order whose load is under its bound.

        `load`: what a server has in hand, infinite where it can take nothing.  `extra`: servers that won't do
        for this request.  `width`: how many servers the caller is spread over; of these the less loaded goes
        first.  `zone`: servers there go first.  `level`: load for each unit of weight, one request more
        included, where it is known exactly.  Where all looked at are full, the bound gives way as far as it
        must: the first in the order within `spread` of the least loaded.  None: nobody can take it.
        """
        weights = self._weights
        if not weights:
            return None
        if load_per_weight is None:
            load_per_weight = self.load_per_weight(load)
        kept = self._orders.get(zone)
        order = None if kept is None else kept.get(caller)
        if order is None or len(order) < subset_size and len(order) < len(weights):
            order = self._order(caller, max(subset_size, AHEAD), zone)
        if subset_size > 1:
            found = self._among(order[:subset_size], load, excluded, load_per_weight)
            if found is not None:
                return found
        balance_factor, min_bound_per_weight, least = self.balance_factor, self.min_bound_per_weight, math.inf
        looked: list[tuple[str, float]] = []
        for server in itertools.chain(order, self._rest(caller, zone, len(order))):
            if server in excluded:
                continue
            weight, now = weights[server], load(server)
            fair = load_per_weight * weight  # as `bound`, which costs a call here
            if now < fair or now < balance_factor * fair - 1.0 or now < min_bound_per_weight * weight:
                return server
            if now < math.inf:
                part = now / weight
                looked.append((server, part))
                least = min(least, part)
                if len(looked) >= WALK_MOST:
                    break
        return next((server for server, part in looked if part <= least * balance_factor), None)

    def _among(
        self,
        servers: list[str],
        load: Callable[[str], float],
        excluded: Collection[str],
        load_per_weight: float,
    ) -> str | None:
        """Of PAIR servers of a set, in turn, the less loaded one under its bound."""
        self._turn += 1
        best, least = None, math.inf
        for i in range(min(PAIR, len(servers))):
            server = servers[(self._turn + i) % len(servers)]
            if server in excluded:
                continue
            now = load(server)
            if now < self.load_bound(server, load_per_weight) and now / self._weights[server] < least:
                best, least = server, now / self._weights[server]
        return best
