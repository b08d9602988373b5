"""Which servers a caller is assigned to, and which of them takes its next request.

A caller's order of servers depends on their ids and weights alone.  The current loads only decide how far
down that order a request goes: past the servers whose load exceeds their bound.  No I/O; times are arguments
in ms.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Collection, Iterator, Mapping

from attrs import define, field
from xxhash import xxh3_64_intdigest

from larklb.assignment.errors import WeightError
from larklb.assignment.ring import Ring

# Virtual nodes per unit of weight; a unit is a slot, so that a server with 4 slots has 64 nodes.
NODES_PER_WEIGHT = 16
# Maximum number of virtual nodes of one server.
MAX_NODES = 8_192
# Servers whose load is read again for the mean load at each choice; all servers take turns.
LOAD_SAMPLES = 2
# Full servers that a choice looks at before it takes one of the least loaded of them.
MAX_WALK = 64
# Servers of a caller's subset that are compared for one request.
SUBSET_SAMPLES = 2
# Servers of a caller's order that are cached until the servers change.
CACHED_SERVERS = 8
# Server ids in that cache, of all callers; the orders of 57,000 callers take about 15 MB.
MAX_CACHED_IDS = 524_288
# A server that returns within this time of leaving is flapping.
FLAP_WINDOW_MS = 10_000.0
# Time for which a flapping server gets no callers; it doubles with each further flap, up to the maximum.  A
# server that has stayed for the maximum no longer counts as flapping.
HOLD_DOWN_MS = 5_000.0
MAX_HOLD_DOWN_MS = 60_000.0
# Part of all weight that may be held down: many servers that return at once mean a repaired network.
MAX_HELD_SHARE = 0.25
# Maximum number of servers whose leaving is recorded.
MAX_FLAPS = 4_096
# A server is slow for about this time after its start.
WARM_UP_MS = 8_000.0
# Steps in which its weight rises; the first one is immediate, since only requests warm a server up.
WARM_UP_STEPS = 8


def caller_key(tenant: str, route: str, extra: str = "") -> int:
    """Returns a 64-bit key of a caller, the same in every process.

    `extra`: a further value by which the operator distinguishes callers.
    """
    return xxh3_64_intdigest(f"{len(tenant)}:{tenant}{len(route)}:{route}{extra}".encode())


def warmed_weight(weight: float, now: float, cold_until: float, warm_up_ms: float = WARM_UP_MS) -> float:
    """Returns the current weight of a server that is slow until `cold_until`: it rises in equal steps.

    `cold_until` comes from the server itself, not from when this limiter saw it first, so that a limiter that
    restarts calculates the same weight.
    """
    remaining = min(1.0, max(0.0, (cold_until - now) / warm_up_ms))
    return weight * max(1.0, math.ceil((1.0 - remaining) * WARM_UP_STEPS)) / WARM_UP_STEPS


@define
class _Flap:
    """The flapping of a server that has left at least once."""

    left_at: float
    count: int = 0  # returns within FLAP_WINDOW_MS
    held_until: float = -math.inf


@define
class Assignment:
    """The servers of one service, and each caller's order of them.

    `balance_factor`: load of a server, relative to its fair share (of all load, by weight), from which it
    takes no more.  `min_bound_per_weight`: load per unit of weight up to which a server is never full; with
    slots as weights, 0.5 keeps a caller at its server while half of the slots are free.  `nodes_per_weight`:
    virtual nodes per unit of weight.  `next_release_at`: when the next server that is held down is released,
    in ms.
    """

    balance_factor: float = field(default=1.25, kw_only=True)
    min_bound_per_weight: float = field(default=0.0, kw_only=True)
    nodes_per_weight: int = field(default=NODES_PER_WEIGHT, kw_only=True)
    next_release_at: float = field(default=math.inf, init=False)
    # Arguments of the last `set_servers`.
    _servers: dict[str, float] = field(factory=dict, init=False)
    _server_zones: dict[str, str] = field(factory=dict, init=False)
    # Weights of the servers that get callers, and zones of those among them that have one.
    _weights: dict[str, float] = field(factory=dict, init=False)
    _zones: dict[str, str] = field(factory=dict, init=False)
    _ring: Ring = field(factory=Ring, init=False)
    _zone_rings: dict[str, Ring] = field(factory=dict, init=False)
    _flaps: dict[str, _Flap] = field(factory=dict, init=False)
    # The first servers of callers' orders, by zone and caller, and the number of ids in them.
    _order_cache: dict[str, dict[int, list[str]]] = field(factory=dict, init=False)
    _cached_ids: int = field(default=0, init=False)
    _subset_turn: int = field(default=0, init=False)
    # Servers whose load is read in turn, and the index of the next one.
    _sampled_ids: list[str] = field(factory=list, init=False)
    _next_sample: int = field(default=0, init=False)
    # Loads as last read, -1 for a server that takes no requests, and their sum.
    _loads: dict[str, float] = field(factory=dict, init=False)
    _total_load: float = field(default=0.0, init=False)
    _available_weight: float = field(default=0.0, init=False)  # of the servers that take requests
    _sampled: bool = field(default=False, init=False)  # whether all loads have been read once

    # Servers ----------------------------------------------------------------------------------

    def set_servers(
        self, now: float, servers: Mapping[str, float], zones: Mapping[str, str] | None = None
    ) -> list[str]:
        """Sets all servers with their weights (capacity x slots); 0 for one that drains.

        Returns the sorted ids of the servers that get callers from now on or no longer.  A server that
        returns within FLAP_WINDOW_MS of leaving is held down for a while; call again at `next_release_at` to
        release it.  Raises WeightError, and changes nothing, if a weight is negative or not finite.
        """
        new_zones = zones or {}
        if now < self.next_release_at and servers == self._servers and new_zones == self._server_zones:
            return []
        for server, weight in servers.items():
            if not 0.0 <= weight < math.inf:
                raise WeightError(f"weight {weight} of server {server} is not a finite number of 0 or more")
        wanted = self._hold_down_flapping(now, {s: w for s, w in servers.items() if w > 0.0})
        changed = sorted(wanted.keys() ^ self._weights.keys())
        for server in [s for s in self._weights if s not in wanted]:
            self._set_server(server, 0.0, "")
        for server, weight in wanted.items():
            if self._weights.get(server) != weight or self._zones.get(server, "") != new_zones.get(
                server, ""
            ):
                self._set_server(server, weight, new_zones.get(server, ""))
        self._servers, self._server_zones = dict(servers), dict(new_zones)
        return changed

    def _hold_down_flapping(self, now: float, wanted: dict[str, float]) -> dict[str, float]:
        """Returns the servers of `wanted` that get callers: all but those that are held down for flapping."""
        for server in [
            s for s, f in self._flaps.items() if now - max(f.left_at, f.held_until) > MAX_HOLD_DOWN_MS
        ]:
            del self._flaps[server]
        if self._servers:
            for server, weight in self._servers.items():
                if weight > 0.0 and server not in wanted:
                    old = self._flaps.pop(server, None)
                    self._flaps[server] = _Flap(now, old.count if old else 0)
            while len(self._flaps) > MAX_FLAPS:
                del self._flaps[next(iter(self._flaps))]
            for server in wanted.keys() & self._flaps.keys():
                if not self._servers.get(server):
                    flap = self._flaps[server]
                    if now - flap.left_at <= FLAP_WINDOW_MS:
                        flap.count += 1
                        flap.held_until = now + min(MAX_HOLD_DOWN_MS, HOLD_DOWN_MS * 2.0 ** (flap.count - 1))
        held = {s for s, f in self._flaps.items() if s in wanted and now < f.held_until}
        if sum(wanted[s] for s in held) > MAX_HELD_SHARE * sum(wanted.values()):
            for server in held:
                self._flaps[server].held_until = now
            held = set()
        self.next_release_at = min((self._flaps[s].held_until for s in held), default=math.inf)
        return {s: w for s, w in wanted.items() if s not in held}

    def _set_server(self, server: str, weight: float, zone: str) -> None:
        """Sets a server's weight and zone; the nodes that it retains keep their positions."""
        nodes = min(MAX_NODES, max(1, round(weight * self.nodes_per_weight))) if weight > 0.0 else 0
        self._order_cache.clear()
        self._cached_ids = 0
        self._ring.set_nodes(server, nodes)
        old_zone = self._zones.pop(server, "")
        if old_zone and old_zone != zone:
            self._zone_rings[old_zone].set_nodes(server, 0)
            if not self._zone_rings[old_zone]:
                del self._zone_rings[old_zone]
        if zone and nodes:
            self._zones[server] = zone
            self._zone_rings.setdefault(zone, Ring()).set_nodes(server, nodes)
        self._available_weight += (
            weight if self._loads.get(server, 0.0) >= 0.0 else 0.0
        ) - self._available_weight_of(server)
        if not nodes:
            del self._weights[server]
            self._total_load -= max(0.0, self._loads.pop(server))
            self._sampled_ids.remove(server)
            return
        if server not in self._weights:
            self._sampled_ids.append(server)
            self._loads[server] = 0.0
        self._weights[server] = weight

    def _available_weight_of(self, server: str) -> float:
        return self._weights.get(server, 0.0) if self._loads.get(server, 0.0) >= 0.0 else 0.0

    # Orders -----------------------------------------------------------------------------------

    def _walk(self, caller: int, zone: str) -> Iterator[str]:
        zone_ring = self._zone_rings.get(zone)
        if zone_ring is None:
            yield from self._ring.walk(caller)
            return
        yield from zone_ring.walk(caller)
        for server in self._ring.walk(caller):
            if self._zones.get(server) != zone:
                yield server

    def rank(self, caller: int, limit: int, zone: str = "") -> list[str]:
        """Returns the first `limit` servers of the caller's order, those of `zone` first.

        All limiters with the same servers return the same.
        """
        order: list[str] = []
        if limit > 0:
            for server in self._walk(caller, zone):
                order.append(server)
                if len(order) >= limit:
                    break
        return order

    def _rank_and_cache(self, caller: int, limit: int, zone: str) -> list[str]:
        """Returns the same as `rank`, and caches it until the servers change."""
        orders = self._order_cache.setdefault(zone, {})
        order = self.rank(caller, limit, zone)
        self._cached_ids += len(order) - len(orders.pop(caller, ()))
        if self._cached_ids > MAX_CACHED_IDS:
            self._order_cache.clear()
            self._cached_ids = len(order)
            orders = self._order_cache.setdefault(zone, {})
        orders[caller] = order
        return order

    def _rest_of_order(self, caller: int, zone: str, skipped: int) -> Iterator[str]:
        """Yields the servers of the caller's order without the first `skipped`."""
        yield from itertools.islice(self._walk(caller, zone), skipped, None)

    # Choice -----------------------------------------------------------------------------------

    def _read_load(self, server: str, load: Callable[[str], float]) -> float:
        """Returns a server's current load, and updates the sums by it."""
        new, old = load(server), self._loads[server]
        if new != old:
            if new == math.inf:
                if old >= 0.0:
                    self._total_load -= old
                    self._available_weight -= self._weights[server]
                    self._loads[server] = -1.0
                return new
            if old < 0.0:
                self._available_weight += self._weights[server]
                old = 0.0
            self._total_load += new - old
            self._loads[server] = new
        return new

    def load_per_weight(self, load: Callable[[str], float]) -> float:
        """Returns the mean load per unit of weight, with one request more.

        Each call reads the loads of LOAD_SAMPLES servers in turn, so that the result lags by at most as many
        calls as there are servers, divided by LOAD_SAMPLES.
        """
        ids = self._sampled_ids
        if not self._sampled:
            self._sampled = True
            for server in ids:
                self._read_load(server, load)
        for _ in range(LOAD_SAMPLES):
            if self._next_sample >= len(ids):  # sum up anew: sums of many small steps drift
                self._next_sample = 0
                self._total_load = sum(part for part in self._loads.values() if part > 0.0)
                self._available_weight = sum(w for s, w in self._weights.items() if self._loads[s] >= 0.0)
            self._read_load(ids[self._next_sample], load)
            self._next_sample += 1
        return (self._total_load + 1.0) / self._available_weight if self._available_weight > 0.0 else 0.0

    def load_bound(self, server: str, load_per_weight: float) -> float:
        """Returns the load from which a server takes no more requests.

        At that load it has its fair share, and one request more would exceed `balance_factor` times that
        share.  At least one server is always below its bound.
        """
        weight = self._weights[server]
        fair_share = load_per_weight * weight
        return max(self.balance_factor * fair_share - 1.0, fair_share, self.min_bound_per_weight * weight)

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
        """Returns the server for one more request: the first in the caller's order below its load bound.

        `load`: returns the requests in flight at a server, infinite if it can take none.  `excluded`: servers
        that can't take this request.  `subset_size`: how many servers the caller is spread over; the less
        loaded of these is preferred.  `zone`: servers of this zone come first.  `load_per_weight`: mean load
        per unit of weight, with one request more, if it is known exactly.  If all servers looked at are full,
        the bound is raised as far as necessary: the first in the order within `balance_factor` of the least
        loaded is chosen.  None if no server can take the request.
        """
        weights = self._weights
        if not weights:
            return None
        if load_per_weight is None:
            load_per_weight = self.load_per_weight(load)
        orders = self._order_cache.get(zone)
        order = None if orders is None else orders.get(caller)
        if order is None or len(order) < subset_size and len(order) < len(weights):
            order = self._rank_and_cache(caller, max(subset_size, CACHED_SERVERS), zone)
        if subset_size > 1:
            chosen = self._choose_from_subset(order[:subset_size], load, excluded, load_per_weight)
            if chosen is not None:
                return chosen
        balance_factor, min_bound_per_weight, least_load = (
            self.balance_factor,
            self.min_bound_per_weight,
            math.inf,
        )
        full: list[tuple[str, float]] = []
        for server in itertools.chain(order, self._rest_of_order(caller, zone, len(order))):
            if server in excluded:
                continue
            weight, current_load = weights[server], load(server)
            fair_share = load_per_weight * weight
            # The same as `load_bound`, inlined because the call is slow here.
            if (
                current_load < fair_share
                or current_load < balance_factor * fair_share - 1.0
                or current_load < min_bound_per_weight * weight
            ):
                return server
            if current_load < math.inf:
                relative_load = current_load / weight
                full.append((server, relative_load))
                least_load = min(least_load, relative_load)
                if len(full) >= MAX_WALK:
                    break
        return next(
            (server for server, relative_load in full if relative_load <= least_load * balance_factor), None
        )

    def _choose_from_subset(
        self,
        servers: list[str],
        load: Callable[[str], float],
        excluded: Collection[str],
        load_per_weight: float,
    ) -> str | None:
        """Compares SUBSET_SAMPLES servers of a subset, in turn, and returns the less loaded one.

        Servers at their load bound are left out; None if no other is among those compared.
        """
        self._subset_turn += 1
        best, least_load = None, math.inf
        for offset in range(min(SUBSET_SAMPLES, len(servers))):
            server = servers[(self._subset_turn + offset) % len(servers)]
            if server in excluded:
                continue
            current_load = load(server)
            if (
                current_load < self.load_bound(server, load_per_weight)
                and current_load / self._weights[server] < least_load
            ):
                best, least_load = server, current_load / self._weights[server]
        return best
