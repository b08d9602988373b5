"""What a gateway sees of all servers together: the list, what is out there, who is in reach, what cold ones
stand.  ``health.py`` has one server; which of them a request goes to is decided in ``decide.py``.  No I/O.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import replace

from larklb import interface as io
from larklb.fleet.reach import Reach
from larklb.fleet.verdicts import Mark, Verdicts
from larklb.fleet.zones import Zones
from larklb.health import Server

PEER_REPORT_MAX_AGE_MS = 1000.0          # what a peer told of its attempts counts no longer than this
# weight of one answer in what is usual, of one send in what is out on average
EWMA_WEIGHT = 0.05
MEDIAN_CACHE_AIMS = 0.05          # part of the aim for which the median of the fleet's slowness is kept
MEDIAN_SAMPLE = 25             # ... of so many servers, drawn where there are more
# of what a cold server is sure to stand: others' news of it come at other times
COLD_CAPACITY_SHARE = 0.5


class Servers:
    """All servers as one gateway sees them."""

    def __init__(self, settings: io.Settings, rng: random.Random, verdicts: Verdicts) -> None:
        self.settings, self.random = settings, rng
        self.zones = Zones(settings.number, settings.gateways, verdicts, settings.cold_share)
        self.available: list[Server] = []                              # those up in zones that are not left
        self.by_name: dict[str, Server] = {}
        self.version = 0                                          # of the list
        self.up: list[Server] = []                                # those of them that may get new work
        self.with_work: dict[str, Server] = {}                      # with attempts out, of whomever heard of
        self.cumulative_weights: list[float] = []                            # of those up, summed up
        self.reach = Reach(settings.number, settings.gateways)
        self.in_reach: list[Server] = []                              # those of them in reach ...
        # ... and their weights, summed up
        self.in_reach_cumulative_weights: list[float] = []
        self.by_short_id: dict[int, Server] = {}                     # the same as ``of``, by the short digest
        # by class and plan, with their time
        self.median_cache: dict[tuple[int, int], tuple[float, float]] = {}
        # attempts out at a server, of all gateways
        self.mean_in_flight = 1.0
        # Peers heard of lately, the oldest first: when, and what they have out (server, attempts).
        self.peer_reports: dict[int, tuple[float, tuple[tuple[int, int], ...]]] = {}

    # The list -----------------------------------------------------------------------------

    def apply_list(self, now: float, e: io.ServerList, half_life: float, void: Callable[[int], None]) -> None:
        """A list that came; ``half_life`` in ms of judgements, ``void`` is told the short digest of a server
        that is another process now, of which nothing that was found holds."""
        self.version = e.version
        named = {entry.server: entry for entry in e.entries}
        for name, server in self.by_name.items():
            if e.kind is not io.ListKind.CHANGES and name not in named:
                server.entry = replace(server.entry, state=io.ServerState.GONE)
        for name, entry in named.items():
            if name not in self.by_name:
                self.by_name[name] = Server(replace(entry, started=None), self.settings.number, half_life)
            known = self.by_name[name]
            self.by_short_id[known.short_id] = known
            if entry.started != known.entry.started:
                # a new process: the old judgement is void
                known.judgements, known.fleet_verdicts = {}, {}
                void(known.short_id)
                self.zones.renewed(entry.zone, known.short_id)
                # The first wait is cut by the seed: the firsts of all gateways at once would topple it.
                known.wait_factor, known.last_sent_at = self.random.random(), now
            known.entry = entry
        self.up = [s for s in self.by_name.values() if s.entry.state is io.ServerState.UP]
        self.cumulative_weights = list(itertools.accumulate(max(1e-3, s.entry.weight) for s in self.up))
        shorts = [s.short_id for s in self.up]
        for server, part in zip(self.up, self.reach.parts(shorts), strict=True):
            server.gateway_share = part
        self.zones.listed((s.entry.zone, s.short_id, s.entry.weight) for s in self.up)
        self._update_reach()

    def _update_reach(self) -> None:
        """The servers in reach follow from the list, the traffic, and the zones that are left."""
        away = {name for name, part in self.zones.parts.items() if part <= 0.0}
        self.available = [s for s in self.up if s.entry.zone not in away] if away else self.up
        left = [s.entry.zone in away for s in self.up] if away else ()
        self.in_reach = [self.up[i] for i in self.reach.of([s.short_id for s in self.up], left)]
        self.in_reach_cumulative_weights = list(
            itertools.accumulate(max(1e-3, s.entry.weight) for s in self.in_reach)
        )

    def zones_changed(self, now: float) -> None:
        """A zone was left, or is returned to a step further: there nothing that was found before holds."""
        for server in self.up:
            zone = self.zones.of[server.entry.zone]
            if zone.state == "returning" and not zone.step and server.judgements:
                server.judgements = {t: m for t, m in server.judgements.items() if m[1] >= zone.since}
                server.fleet_verdicts = {}
        self._update_reach()

    def clean(self, now: float, verdicts: dict[tuple[int, int], Mark]) -> Iterable[int]:
        """Servers that are gone are forgotten; their short digests.  ``verdicts`` are the fleet's."""
        gone = []
        for server in list(self.by_name.values()):
            server.judgements = {
                t: m for t, m in server.judgements.items() if now - m[1] < 2 * server.half_life
            }
            if server.entry.state is io.ServerState.GONE and not server.attempts:
                del self.by_name[server.entry.server]
                self.by_short_id.pop(server.short_id, None)
                self.with_work.pop(server.entry.server, None)
                gone.append(server.short_id)
            server.fleet_verdicts = {
                t: mark for t in server.fleet_verdicts if (mark := verdicts.get((server.short_id, t)))
            }
        return gone

    def set_fleet_verdict(self, short: int, topic: int, mark: Mark | None) -> None:
        """The fleet's verdict on a server; None where it has none any more."""
        if short in self.by_short_id:
            told = self.by_short_id[short].fleet_verdicts
            if mark is not None:
                told[topic] = mark
            else:
                told.pop(topic, None)

    # What is out there --------------------------------------------------------------------

    def peer_reported(self, now: float, peer: int, out: tuple[tuple[int, int], ...] | None) -> None:
        """A word of a peer came, with what it has out at servers, or without."""
        self._add_peer_report(peer, -1)
        before = self.peer_reports.pop(peer, (now, ()))[1]
        self.peer_reports[peer] = (now, before if out is None else out)
        self._add_peer_report(peer, 1)

    def visible_share(self, now: float) -> float:
        """The part of the gateways, with this one, whose work is known here: those heard of lately."""
        while (
            self.peer_reports
            and now - (first := next(iter(self.peer_reports.items())))[1][0] > PEER_REPORT_MAX_AGE_MS
        ):
            self._add_peer_report(first[0], -1)
            del self.peer_reports[first[0]]
        return (1 + len(self.peer_reports)) / self.settings.gateways

    def active_peers(self, now: float) -> int:
        """Peers heard of lately: as many may write to any one of them."""
        return round(self.visible_share(now) * self.settings.gateways) - 1

    def _add_peer_report(self, peer: int, sign: int) -> None:
        for short, n in self.peer_reports.get(peer, (0.0, ()))[1]:
            if short in self.by_short_id:
                server = self.by_short_id[short]
                server.peers_in_flight = max(0, server.peers_in_flight + sign * n)
                self.update_with_work(server)

    def update_with_work(self, server: Server) -> None:
        """What is out there has changed.  Few servers have work that is seen here: only they are summed."""
        if server.in_flight():
            self.with_work[server.entry.server] = server
        else:
            self.with_work.pop(server.entry.server, None)

    def busy(self) -> list[Server]:
        """Servers that may get new work, and have some."""
        return [s for s in self.with_work.values() if s.entry.state is io.ServerState.UP]

    def busy_in_open_zones(self) -> list[Server]:
        """Those of them whose zone is not left: what hangs in one that is leaves all others as free."""
        parts = self.zones.parts
        return [s for s in self.busy() if parts.get(s.entry.zone, 1.0)] if parts else self.busy()

    def own_in_flight(self) -> tuple[tuple[int, int], ...]:
        """What is out from here, by server."""
        return tuple((s.short_id, len(s.attempts)) for s in self.busy() if s.attempts)

    def own_attempts_at(self, short: int) -> int:
        """Attempts out from here at a server, by its short digest."""
        return len(self.by_short_id[short].attempts) if short in self.by_short_id else 0

    def attempt_sent(self, now: float, server: Server) -> None:
        """An attempt has gone there."""
        server.last_sent_at, server.wait_factor = now, 1.0
        self.update_with_work(server)
        busy = self.busy()
        self.mean_in_flight += EWMA_WEIGHT * (
            sum(s.in_flight() for s in busy) / self.visible_share(now) / len(self.up) - self.mean_in_flight
        )
        if self.reach.sent(now, sum(len(s.attempts) for s in busy), len(self.up)):
            self._update_reach()

    # What they stand ----------------------------------------------------------------------

    def warm_share(self, server: Server, now: float) -> float:
        """The part of its capacity that a server is sure to have by now; 0 where its zone is left."""
        started = server.entry.started
        part = self.zones.parts.get(server.entry.zone, 1.0) if self.zones.parts else 1.0
        if part < 1.0 and (not part or started is None or started < self.zones.left_at(server.entry.zone)):
            return part
        if started is None or now - started >= self.settings.warm_within:
            return 1.0
        return (
            self.settings.cold_share
            + (1 - self.settings.cold_share) * max(0.0, now - started) / self.settings.warm_within
        )

    def cold_server_has_room(self, server: Server, now: float, warmth: float, usual: float) -> bool:
        """This gateway's part of what a cold server stands, judged by the others' load, evenly spaced;
        ``usual``: ms that an answer takes on average."""
        stands = (
            COLD_CAPACITY_SHARE * self.settings.tip_multiple * warmth * max(1.0, self.mean_in_flight) / usual
        )
        return (
            server.gateway_share > 0
            and now - server.last_sent_at >= server.wait_factor / server.gateway_share / stands
        )

    def median_slowness(self, now: float, topics: tuple[int, int], usual: float, aim: float) -> float:
        """Of the fleet's slowness, or some of it: health is judged by that, what slows all ejects nobody."""
        at, median = self.median_cache.get(topics, (-math.inf, 1.0))
        if now - at >= aim * MEDIAN_CACHE_AIMS and self.up:
            some = (
                self.in_reach
                if len(self.in_reach) <= MEDIAN_SAMPLE
                else self.random.sample(self.in_reach, MEDIAN_SAMPLE)
            )
            slows = sorted(s.slowness(now, usual, topics) for s in some)
            median = max(1e-3, slows[len(slows) // 2])
            self.median_cache[topics] = (now, median)
        return median
