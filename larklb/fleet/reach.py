"""Deterministic subsetting: the servers that a limiter sends to, chosen so that the fleet covers all evenly.

If each of many limiters spread its few requests over all servers, it would pay for a connection to each one
and learn little about any.  Each limiter therefore sends to a subset, its *reach*, as large as its traffic
needs.  All limiters walk round the listed servers in the same order, by the digest of their names; limiter
``i`` starts at the fraction ``i * GOLDEN_FRACTION`` of a turn.  The multiples of the golden ratio are spread
as evenly as possible, and so are the subsets: every server is in the same number of them, within the rounding
of the series.  A server that is added or removed changes at most two entries of a subset: itself, and the
start by one place.

The size follows the attempts in flight: the mean plus three standard deviations of a Poisson count, so that a
free server is left nearly all the time.  It grows at once and shrinks slowly.  All limiters together cover
each server at least ``MIN_LIMITERS_PER_SERVER`` times; in a fleet of no more limiters, each one sends to all
servers.  The subset is a preference and no limit: if no server in it can take a request, all are considered.

The capacity of a cold server, however, is a limit.  It is divided evenly among the limiters that have the
server in their smallest subset, which follows from the list and the limiter numbers alone, so that the shares
add up to the whole wherever the lists are the same.  One share for each limiter of the fleet left a server
nearly idle while it was cold: 8 of 200 shares were used.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from itertools import accumulate, islice

# Multiples of the golden ratio, modulo 1, are spread evenly over [0, 1).
GOLDEN_FRACTION = 0.6180339887498949
# Limiters that send to each server at least; with fewer, the load of a server would vary randomly.
MIN_LIMITERS_PER_SERVER = 8
# Servers in a subset at least; the median slowness of fewer is not significant.
MIN_SERVERS = 8
# Standard deviations of the attempts in flight for which there is a free server.
TRAFFIC_DEVIATIONS = 3.0
# Weight of a new sample of the attempts in flight.
IN_FLIGHT_GAIN = 0.05
# The subset shrinks if less than this fraction of it is needed, and at most once in an interval, because idle
# connections are cheaper than new ones.
SHRINK_FRACTION = 0.7
SHRINK_INTERVAL_MS = 10_000.0


class Reach:
    """The subset of servers that one limiter sends to."""

    def __init__(self, number: int, gateways: int) -> None:
        """Initialize for limiter ``number`` of ``gateways``, counted from 0."""
        self.number, self.gateways = number, gateways
        self.mean_in_flight = 0.0
        self.size = MIN_SERVERS
        self.resized_at = -math.inf

    def min_size(self, servers: int) -> int:
        """Return the smallest size of a subset of ``servers`` servers, the same for all limiters."""
        return min(servers, max(MIN_SERVERS, math.ceil(MIN_LIMITERS_PER_SERVER * servers / self.gateways)))

    def needed_size(self, servers: int) -> int:
        """Return the size of the subset of ``servers`` servers that recent traffic needs."""
        traffic = math.ceil(self.mean_in_flight + TRAFFIC_DEVIATIONS * math.sqrt(self.mean_in_flight))
        return min(servers, max(self.min_size(servers), traffic))

    def record_request(self, now: float, in_flight: int, servers: int) -> bool:
        """Record that a request is sent while ``in_flight`` attempts are in flight.

        Returns whether the size of the subset has changed.
        """
        self.mean_in_flight += IN_FLIGHT_GAIN * (in_flight - self.mean_in_flight)
        needed, previous = self.needed_size(servers), self.size
        if needed > previous or (
            needed < previous * SHRINK_FRACTION and now - self.resized_at >= SHRINK_INTERVAL_MS
        ):
            self.size, self.resized_at = needed, now
        return self.size != previous

    def select(self, digests: Sequence[int], excluded: Sequence[bool] = ()) -> list[int]:
        """Return the indexes in ``digests`` of the servers in the subset, in the order of the walk.

        Servers marked in ``excluded`` are skipped and replaced by the next ones, so that all others stay.
        """
        count = len(digests)
        size = min(count, max(self.size, self.needed_size(count)))
        if size >= count:
            return [i for i in range(count) if not excluded or not excluded[i]]
        order = sorted(range(count), key=digests.__getitem__)
        start = self._start_index(self.number, count)
        walk = (order[(start + i) % count] for i in range(count))
        return list(islice((i for i in walk if not excluded or not excluded[i]), size))

    @staticmethod
    def _start_index(number: int, servers: int) -> int:
        """Return the position at which a limiter starts its walk."""
        return int(number * GOLDEN_FRACTION % 1.0 * servers)

    def cold_capacity_shares(self, digests: Sequence[int]) -> list[float]:
        """Return this limiter's share, 0 to 1, of the capacity of each server while the server is cold.

        It is 0 if other limiters have the server; the shares of all limiters add up to 1 for each server.
        """
        count = len(digests)
        size = self.min_size(count)
        if size >= count:
            return [1.0 / self.gateways] * count
        # Where the walks of all limiters start (+1) and end (-1), laid out over two turns.
        boundaries = [0] * (2 * count + 1)
        for number in range(self.gateways):
            start = self._start_index(number, count)
            boundaries[start] += 1
            boundaries[start + size] -= 1
        covered = list(accumulate(boundaries))
        order, own_start = (
            sorted(range(count), key=digests.__getitem__),
            self._start_index(self.number, count),
        )
        shares = [0.0] * count
        for position, server in enumerate(order):
            holders = covered[position] + covered[position + count]
            # By rounding, no limiter may have a server: then all share it.
            if not holders:
                shares[server] = 1.0 / self.gateways
            elif (position - own_start) % count < size:
                shares[server] = 1.0 / holders
        return shares
