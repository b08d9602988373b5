"""Whom a limiter sends to: few of the servers, chosen so that the fleet covers all of them evenly.

Each of many limiters that spreads its few requests over every server pays for a connection at each, and
learns little of any.  So each has an order of its own, and sends to the first of it, as many as its traffic
needs.  The order is one walk round all listed servers, by the digest of their names; limiter ``i`` enters it
at the part ``i * GOLDEN`` of a turn.  The parts of that series lie as evenly as can be, and so does what the
limiters cover: a server is in as many reaches as any other, within the rounding of the series.  A server that
comes or goes moves at most two of a reach: itself, and the entry by one place.

The size follows the attempts that a limiter has out: the mean and three standard deviations of a Poisson
count, so that a free server is left in nearly every moment.  It grows at once and shrinks late.  All limiters
together cover each server ``COVER`` times at the least: in a fleet of so few each one sends to all.  Where
nobody in reach can take a request, the module looks at all servers: the reach is a preference, and no limit.

What a cold server stands is a limit, though, and is divided among those that have it in the least reach,
which follows from the list and the numbers alone: each has an even part, all others none, so the sum is the
whole wherever the lists are the same.  One part for each limiter of the fleet left a server nearly idle while
it was cold: of two hundred parts eight were used.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from itertools import accumulate, islice

GOLDEN_FRACTION = 0.6180339887498949                # spreads numbers evenly over a turn
# limiters that send to a server at the least: with fewer its load would be chance
MIN_LIMITERS_PER_SERVER = 8
MIN_SERVERS = 8                  # servers in reach: below that a median of their slowness says little
TRAFFIC_DEVIATIONS = 3.0           # standard deviations of the attempts out, for which there is a free server
IN_FLIGHT_GAIN = 0.05               # weight of one look at the attempts out
SHRINK_FRACTION = 0.7            # of the present size: a smaller need than this shrinks it ...
SHRINK_INTERVAL_MS = 10_000.0       # ... once in so long: connections that rest are cheaper than new ones


class Reach:
    """Of one limiter."""

    def __init__(self, number: int, gateways: int) -> None:
        """``number`` of ``gateways`` limiters, counted from 0."""
        self.number, self.gateways = number, gateways
        self.mean_in_flight = 0.0                     # mean attempts out from here
        self.size = MIN_SERVERS
        self.resized_at = -math.inf

    def min_size(self, servers: int) -> int:
        """Servers that any limiter has in reach, of so many."""
        return min(servers, max(MIN_SERVERS, math.ceil(MIN_LIMITERS_PER_SERVER * servers / self.gateways)))

    def needed_size(self, servers: int) -> int:
        """Servers that the traffic of late needs, of so many."""
        traffic = math.ceil(self.mean_in_flight + TRAFFIC_DEVIATIONS * math.sqrt(self.mean_in_flight))
        return min(servers, max(self.min_size(servers), traffic))

    def record_request(self, now: float, out: int, servers: int) -> bool:
        """A request goes out while ``out`` attempts are; whether the reach has another size now."""
        self.mean_in_flight += IN_FLIGHT_GAIN * (out - self.mean_in_flight)
        need, was = self.needed_size(servers), self.size
        if need > was or (need < was * SHRINK_FRACTION and now - self.resized_at >= SHRINK_INTERVAL_MS):
            self.size, self.resized_at = need, now
        return self.size != was

    def select(self, digests: Sequence[int], left: Sequence[bool] = ()) -> list[int]:
        """Places in ``digests`` of the servers in reach, the nearest first; the walk passes over those that
        are ``left`` and goes on, so that all others stay."""
        count = len(digests)
        size = min(count, max(self.size, self.needed_size(count)))
        if size >= count:
            return [i for i in range(count) if not left or not left[i]]
        turn = sorted(range(count), key=digests.__getitem__)
        entry = self._start_index(self.number, count)
        walk = (turn[(entry + i) % count] for i in range(count))
        return list(islice((i for i in walk if not left or not left[i]), size))

    @staticmethod
    def _start_index(number: int, servers: int) -> int:
        """Where a limiter enters the walk."""
        return int(number * GOLDEN_FRACTION % 1.0 * servers)

    def cold_capacity_shares(self, digests: Sequence[int]) -> list[float]:
        """This limiter's part of what each of the servers stands while it is cold, 0 to 1: 0 where others
        have it.  The parts of all limiters make up the whole of each server."""
        count = len(digests)
        size = self.min_size(count)
        if size >= count:
            return [1.0 / self.gateways] * count
        ends = [0] * (2 * count + 1)             # of the walks of all, laid out over two turns
        for number in range(self.gateways):
            entry = self._start_index(number, count)
            ends[entry] += 1
            ends[entry + size] -= 1
        covered = list(accumulate(ends))
        turn, mine = sorted(range(count), key=digests.__getitem__), self._start_index(self.number, count)
        found = [0.0] * count
        for place, server in enumerate(turn):
            holders = covered[place] + covered[place + count]
            if not holders:                      # nobody's by rounding: everybody's
                found[server] = 1.0 / self.gateways
            elif (place - mine) % count < size:
                found[server] = 1.0 / holders
        return found
