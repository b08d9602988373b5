"""All servers as one gateway sees them: the list, the attempts in flight, and what cold servers can take.

``health.py`` describes a single server; ``server_selection.py`` chooses the server for a request.  This
module does no input or output.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import replace

from larklb import interface as io
from larklb.fleet.reach import Reach
from larklb.fleet.verdicts import DecayingSlowness, Verdicts
from larklb.fleet.zones import Zones
from larklb.health import Server

# A peer's report of its attempts in flight is ignored when it is older than this.
PEER_REPORT_MAX_AGE_MS = 1000.0
# Weight of one answer in the usual latency of its class, and of one attempt sent in the mean number of
# attempts in flight per server.
EWMA_WEIGHT = 0.05
# Time for which the median slowness is cached, as a multiple of the aim of a class.  Also the interval, as a
# multiple of the smallest aim, at which ``decide.py`` checks the queue while no attempt is in flight.
MEDIAN_CACHE_AIMS = 0.05
# Servers whose median slowness is taken; a random sample where there are more.
MEDIAN_SAMPLE = 25
# Part of the capacity of a cold server that is used.  The rest is a margin, because reports of attempts in
# flight from other gateways arrive late.
COLD_CAPACITY_SHARE = 0.5


class Servers:
    """All servers as one gateway sees them."""

    def __init__(self, settings: io.Settings, rng: random.Random, verdicts: Verdicts) -> None:
        self.settings, self.random = settings, rng
        self.zones = Zones(settings.number, settings.gateways, verdicts, settings.cold_share)
        # Servers that are up in zones that are not being avoided.
        self.available: list[Server] = []
        self.by_name: dict[str, Server] = {}
        # Version of the list of servers.
        self.version = 0
        # Servers that the list gives as up; only they get new attempts.
        self.up: list[Server] = []
        # Servers with attempts in flight, from this gateway or reported by a peer.
        self.with_work: dict[str, Server] = {}
        # Running sums of the weights of ``up``.
        self.cumulative_weights: list[float] = []
        self.reach = Reach(settings.number, settings.gateways)
        # The subset of the available servers that this gateway prefers; the running sums of their weights.
        self.in_reach: list[Server] = []
        self.in_reach_cumulative_weights: list[float] = []
        self.by_short_id: dict[int, Server] = {}
        # Time of computation (ms) and median slowness, by the topics of a class and a plan.
        self.median_cache: dict[tuple[int, int], tuple[float, float]] = {}
        # Moving average of the attempts in flight per server, from all gateways.
        self.mean_in_flight = 1.0
        # Latest report of each peer, oldest first: its time, and the peer's attempts in flight as pairs of
        # a server's short id and a count.
        self.peer_reports: dict[int, tuple[float, tuple[tuple[int, int], ...]]] = {}

    # The list -----------------------------------------------------------------------------

    def apply_list(
        self, now: float, update: io.ServerList, half_life: float, on_restart: Callable[[int], None]
    ) -> None:
        """Applies a list of servers that arrived.

        ``half_life`` of judgements is in ms.  ``on_restart`` is called with the short id of each server that
        is a new process, for which earlier judgements no longer hold.
        """
        self.version = update.version
        named = {entry.server: entry for entry in update.entries}
        for name, server in self.by_name.items():
            if update.kind is not io.ListKind.CHANGES and name not in named:
                server.entry = replace(server.entry, state=io.ServerState.GONE)
        for name, entry in named.items():
            if name not in self.by_name:
                self.by_name[name] = Server(replace(entry, started=None), self.settings.number, half_life)
            server = self.by_name[name]
            self.by_short_id[server.short_id] = server
            if entry.started != server.entry.started:
                # A new process: earlier judgements no longer hold.
                server.judgements, server.fleet_verdicts = {}, {}
                on_restart(server.short_id)
                self.zones.reset_node(entry.zone, server.short_id)
                # The first interval is a random part of the full one: first attempts from all gateways at
                # once would overload the server.
                server.wait_factor, server.last_sent_at = self.random.random(), now
            server.entry = entry
        self.up = [s for s in self.by_name.values() if s.entry.state is io.ServerState.UP]
        self.cumulative_weights = list(itertools.accumulate(max(1e-3, s.entry.weight) for s in self.up))
        short_ids = [s.short_id for s in self.up]
        for server, share in zip(self.up, self.reach.cold_capacity_shares(short_ids), strict=True):
            server.gateway_share = share
        self.zones.update_nodes((s.entry.zone, s.short_id, s.entry.weight) for s in self.up)
        self._update_reach()

    def _update_reach(self) -> None:
        """Recomputes the servers in reach from the list, the traffic and the zones that are avoided."""
        avoided = {name for name, fraction in self.zones.reduced_fractions.items() if fraction <= 0.0}
        self.available = [s for s in self.up if s.entry.zone not in avoided] if avoided else self.up
        skipped = [s.entry.zone in avoided for s in self.up] if avoided else ()
        self.in_reach = [self.up[i] for i in self.reach.select([s.short_id for s in self.up], skipped)]
        self.in_reach_cumulative_weights = list(
            itertools.accumulate(max(1e-3, s.entry.weight) for s in self.in_reach)
        )

    def zones_changed(self, now: float) -> None:
        """Follows a change in the use of zones.

        Where traffic has just begun to return to a zone, judgements from before that no longer hold.
        """
        for server in self.up:
            zone = self.zones.by_name[server.entry.zone]
            if zone.state == "returning" and not zone.step and server.judgements:
                server.judgements = {t: m for t, m in server.judgements.items() if m[1] >= zone.state_since}
                server.fleet_verdicts = {}
        self._update_reach()

    def clean(self, now: float, verdicts: dict[tuple[int, int], DecayingSlowness]) -> Iterable[int]:
        """Removes expired judgements, and servers that are gone and have no attempt in flight from here.

        Returns the short ids of the servers removed.
        ``verdicts`` are the fleet's current ones, by short id and topic.
        """
        gone = []
        for server in list(self.by_name.values()):
            server.judgements = {
                topic: judgement
                for topic, judgement in server.judgements.items()
                if now - judgement[1] < 2 * server.half_life
            }
            if server.entry.state is io.ServerState.GONE and not server.attempts:
                del self.by_name[server.entry.server]
                self.by_short_id.pop(server.short_id, None)
                self.with_work.pop(server.entry.server, None)
                gone.append(server.short_id)
            server.fleet_verdicts = {
                topic: verdict
                for topic in server.fleet_verdicts
                if (verdict := verdicts.get((server.short_id, topic)))
            }
        return gone

    def set_fleet_verdict(self, short_id: int, topic: int, verdict: DecayingSlowness | None) -> None:
        """Sets the fleet's verdict on a server for a topic, or removes it with None."""
        if short_id in self.by_short_id:
            verdicts = self.by_short_id[short_id].fleet_verdicts
            if verdict is not None:
                verdicts[topic] = verdict
            else:
                verdicts.pop(topic, None)

    # Attempts in flight -------------------------------------------------------------------

    def peer_reported(self, now: float, peer: int, in_flight: tuple[tuple[int, int], ...] | None) -> None:
        """Records the attempts in flight that a peer reported: pairs of a server's short id and a count.

        None, for a message without them, leaves the previous ones in force as if they were reported now.
        """
        self._add_peer_report(peer, -1)
        previous = self.peer_reports.pop(peer, (now, ()))[1]
        self.peer_reports[peer] = (now, previous if in_flight is None else in_flight)
        self._add_peer_report(peer, 1)

    def visible_share(self, now: float) -> float:
        """The share of gateways, including this one, whose attempts in flight are known here."""
        while (
            self.peer_reports
            and now - (oldest := next(iter(self.peer_reports.items())))[1][0] > PEER_REPORT_MAX_AGE_MS
        ):
            self._add_peer_report(oldest[0], -1)
            del self.peer_reports[oldest[0]]
        return (1 + len(self.peer_reports)) / self.settings.gateways

    def active_peers(self, now: float) -> int:
        """The number of peers that have reported lately, and so of those that may write to any one peer."""
        return round(self.visible_share(now) * self.settings.gateways) - 1

    def _add_peer_report(self, peer: int, sign: int) -> None:
        for short_id, count in self.peer_reports.get(peer, (0.0, ()))[1]:
            if short_id in self.by_short_id:
                server = self.by_short_id[short_id]
                server.peers_in_flight = max(0, server.peers_in_flight + sign * count)
                self.work_changed(server)

    def work_changed(self, server: Server) -> None:
        """Updates ``with_work`` after the attempts in flight at a server have changed.

        Servers with attempts in flight are kept apart, so that sums need not visit all servers.
        """
        if server.in_flight():
            self.with_work[server.entry.server] = server
        else:
            self.with_work.pop(server.entry.server, None)

    def busy(self) -> list[Server]:
        """Servers that are up and have attempts in flight."""
        return [s for s in self.with_work.values() if s.entry.state is io.ServerState.UP]

    def busy_in_open_zones(self) -> list[Server]:
        """The busy servers in zones that are not avoided.

        Attempts that hang in an avoided zone must not count against the capacity of the others.
        """
        fractions = self.zones.reduced_fractions
        return [s for s in self.busy() if fractions.get(s.entry.zone, 1.0)] if fractions else self.busy()

    def own_in_flight(self) -> tuple[tuple[int, int], ...]:
        """Attempts in flight from this gateway, as pairs of a server's short id and a count."""
        return tuple((s.short_id, len(s.attempts)) for s in self.busy() if s.attempts)

    def own_attempts_at(self, short_id: int) -> int:
        """Attempts in flight from this gateway at a server."""
        return len(self.by_short_id[short_id].attempts) if short_id in self.by_short_id else 0

    def attempt_sent(self, now: float, server: Server) -> None:
        """Updates the averages and the servers in reach after an attempt was sent to the server."""
        server.last_sent_at, server.wait_factor = now, 1.0
        self.work_changed(server)
        busy = self.busy()
        self.mean_in_flight += EWMA_WEIGHT * (
            sum(s.in_flight() for s in busy) / self.visible_share(now) / len(self.up) - self.mean_in_flight
        )
        if self.reach.record_request(now, sum(len(s.attempts) for s in busy), len(self.up)):
            self._update_reach()

    # Capacity -----------------------------------------------------------------------------

    def warm_share(self, server: Server, now: float) -> float:
        """The share of its capacity that a server is sure to have by now, from 0 to 1.

        It is 0 where the zone is avoided.  Where traffic is returning to the zone, it is the zone's fraction,
        except for a server started since the zone was last left: that one warms up like any new server.
        """
        started = server.entry.started
        fraction = (
            self.zones.reduced_fractions.get(server.entry.zone, 1.0) if self.zones.reduced_fractions else 1.0
        )
        if fraction < 1.0 and (
            not fraction or started is None or started < self.zones.last_left_at(server.entry.zone)
        ):
            return fraction
        if started is None or now - started >= self.settings.warm_within:
            return 1.0
        return (
            self.settings.cold_share
            + (1 - self.settings.cold_share) * max(0.0, now - started) / self.settings.warm_within
        )

    def cold_server_has_room(
        self, server: Server, now: float, warm_share: float, mean_latency: float
    ) -> bool:
        """Whether a cold server can take an attempt from this gateway now.

        Its capacity is estimated from the mean load of the servers; this gateway's share of it is used at
        even intervals.  ``mean_latency`` is in ms.
        """
        sends_per_ms = (
            COLD_CAPACITY_SHARE
            * self.settings.tip_multiple
            * warm_share
            * max(1.0, self.mean_in_flight)
            / mean_latency
        )
        return (
            server.gateway_share > 0
            and now - server.last_sent_at >= server.wait_factor / server.gateway_share / sends_per_ms
        )

    def median_slowness(self, now: float, topics: tuple[int, int], usual: float, aim: float) -> float:
        """The median slowness of the servers in reach, or of a sample of them, cached for a short time.

        ``usual`` is the usual latency and ``aim`` the latency target of the class, both in ms.
        Servers are judged relative to it, so that whatever slows all of them ejects none.
        """
        at, median = self.median_cache.get(topics, (-math.inf, 1.0))
        if now - at >= aim * MEDIAN_CACHE_AIMS and self.up:
            sample = (
                self.in_reach
                if len(self.in_reach) <= MEDIAN_SAMPLE
                else self.random.sample(self.in_reach, MEDIAN_SAMPLE)
            )
            ordered = sorted(s.slowness(now, usual, topics) for s in sample)
            median = max(1e-3, ordered[len(ordered) // 2])
            self.median_cache[topics] = (now, median)
        return median
