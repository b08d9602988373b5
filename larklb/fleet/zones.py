"""Leaving a zone that fails, and returning to it: one limiter's decisions, by what the whole fleet has found.

Evidence is what became of attempts, by zone and node.  A limiter finds a zone *lost* that has failed it at
several nodes and served it at next to none, while another zone serves it well: what fails everywhere is its
own link, or a load that slows all alike.  It finds it *well* when a node there has served it.  Both are
findings as those on nodes are (``verdicts.py``, topic ZONE), with observer, age and stamp; so what is told
late, twice or by a roundabout way changes nothing, and who has heard the same judges the same.  Evidence of
one's own that is fresh goes before: a cut that only some limiters see moves those alone.

    state       part   goes to        when
    home        1      away           it is lost, by one's own evidence or the fleet's verdict, and the rest
                                      bears it
    away        0      returning      it is lost no more, and the hold is over
    returning   steps  away           it is lost again: the next hold is twice as long, up to HOLD_MOST_MS
                       a step back    an attempt there failed
                       a step on      a step's time has passed without such
                       home           after the last step

``doubted`` is home with somebody's finding against it, for operators alone: nothing follows from it.

Away, nothing goes there but probes: in each slot of PROBE_MS a limiter is a prober with the likelihood
PROBERS / limiters, by a hash that moves on with the slot, and sends one job there that is safe to repeat.  So
the fleet probes as often whatever its size, no clocks need agree, and no limiter has to be there for it.

The part of a step is the part of its capacity that a node there is taken to have, from what a cold one stands
on; what a node that is not warm stands is divided among the limiters already (``reach.py``), so that the sum
stays under its bound whoever is lost meanwhile.  Once the list tells a node's start, that goes for the node.

An operator's word (``Override``) goes before all of it until its end.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from larklb.fleet.verdicts import ALL_WORK, BAD_SLOWNESS, SEVERE_SLOWNESS, ZONE, Verdicts
from larklb.quota.ring import digest

EVIDENCE_MS = 2000.0           # evidence of one's own counts so long ...
HEALTHY_EVIDENCE_MS = 1000.0           # ... and so long against what others find
MIN_FAILED_NODES = 2            # distinct nodes that must have failed: one bad node is no zone ...
FAILED_NODES_FRACTION = 1 / 3         # ... or this part of the zone's, if that is more, ...
MAX_FAILED_NODES_NEEDED = 3             # ... up to so many
LOST_FRACTION = 0.8            # of the nodes looked at failed
# since a node there has served: silence before that may be mere slowness
SILENCE_AFTER_SUCCESS_MS = 600.0
FLEET_FAILED_FRACTION = 0.6          # ... or of all its nodes, by whomever, ...
# ... up to so many: each limiter of a large fleet sees few of them fail
MAX_FLEET_FAILED_NODES_NEEDED = 16
FLEET_EVIDENCE_MS = 3000.0         # others' findings on nodes count so long: they take a while to come round
MIN_OBSERVERS = 2              # distinct ones, oneself among them
# a failure with nothing served after it makes one doubt oneself for so long
FAILURE_MEMORY_MS = 8000.0
LOST_SLOWNESS = 12.0                # slowness as which it is told
# of all weight stays: others' findings alone never leave the fleet with less
MIN_REMAINING_FRACTION = 0.2
HOLD_MS = 500.0            # away at the least ...
MAX_HOLD_MS = 8000.0      # ... doubled with each time in ...
FLAP_MS = 30_000.0         # ... so long, up to this
HOLD_JITTER = 0.25         # of a hold it is longer or shorter, by a hash: not all return at one moment
PROBE_SLOT_MS = 500.0           # a slot of probes ...
PROBERS_PER_SLOT = 2.0              # ... and the limiters that probe in it, on average
MAX_FIRST_STEP = 0.25          # the first step, where cold nodes stand more
RETURN_MS = 1500.0         # all steps together
STEP_FACTOR = 2.0                 # each step's part, times that of the one before
REEVALUATION_MS = 250.0          # between looks while a zone is not at home


class Demand(NamedTuple):
    """What is under way of a class and plan: jobs at once, and what one earns for its work."""

    service: str
    plan: str
    jobs: float
    value: float


def simulate_capacity(asked: Iterable[Demand], room: float) -> list[dict[str, Any]]:
    """Of each class and plan the part that ``room`` attempts at once would still serve, were there no more:
    what is worth most for its work goes first, as in service."""
    rows = []
    for a in sorted(asked, key=lambda a: (-a.value, a.service, a.plan)):
        part = min(1.0, max(0.0, room) / a.jobs) if a.jobs else 1.0
        room -= a.jobs * part
        rows.append({"class": a.service, "plan": a.plan, "jobs": round(a.jobs, 2), "served": round(part, 3)})
    return rows


class Override(NamedTuple):
    """An operator's word on a zone: ``away`` or at home until ``until`` (ms of this process's clock)."""

    away: bool
    until: float
    reason: str


@dataclass(slots=True)
class Zone:
    """One zone as this limiter has it."""

    name: str
    short_id: int                                              # its digest, as findings name it
    nodes: frozenset[int] = frozenset()                     # listed as up, by their short digests
    weight: float = 0.0
    outcomes: dict[int, tuple[bool, float]] = field(default_factory=dict)    # by node: served, when
    timeouts: dict[int, float] = field(default_factory=dict)         # by node: given up unanswered, when
    last_success_at: float = -math.inf                               # the last time that a node there did
    # when a return began: what failed before is over
    evidence_start: float = -math.inf
    state: str = "home"
    state_since: float = -math.inf                                # of the state, or the step
    step: int = 0
    departures: list[float] = field(default_factory=list)         # when it was left of late
    last_probe_slot: int = -1                                        # the slot of the last probe

    def is_failing(self, now: float) -> bool:
        """Whether the last that came of it was a failure: nodes that fail are avoided, so it may be a while
        ago."""
        bad = [at for served, at in self.outcomes.values() if not served] + list(self.timeouts.values())
        return any(at > self.last_success_at and now - at <= FAILURE_MEMORY_MS for at in bad)


class Zones:
    """One limiter's zones.  With fewer than two that have nodes, nothing is kept and nothing decided."""

    def __init__(self, number: int, gateways: int, verdicts: Verdicts, cold_share: float = 1.0) -> None:
        """``number`` of ``gateways`` limiters; ``cold_share`` of its capacity a node has at its start."""
        self.number, self.gateways, self.verdicts = number, gateways, verdicts
        self.regions: dict[str, str] = {}
        self.messages: list[str] = []                           # changes of state that nobody has read yet
        self.by_name: dict[str, Zone] = {}
        self.by_short_id: dict[int, Zone] = {}
        self.leaving_enabled = True                                 # an operator's file may forbid it
        self.active = False                                     # there are two zones or more
        self.reduced_fractions: dict[str, float] = {}                   # of zones that are not at home
        self.overrides: dict[str, Override] = {}
        self.suspect_until = -math.inf                        # till then its findings are of no use to others
        first = min(cold_share, MAX_FIRST_STEP)
        steps = max(1, math.ceil(-math.log(first, STEP_FACTOR)))
        self.steps = [first * STEP_FACTOR ** n for n in range(steps)]

    def configure(self, leave: bool, regions: Mapping[str, str]) -> None:
        """An operator's: whether zones are left at all; ``regions`` by zone: of which most zones are lost, it
        is left as a whole."""
        self.leaving_enabled, self.regions = leave, dict(regions)
        self.active &= leave

    # What is there ------------------------------------------------------------------------

    def update_nodes(self, nodes: Iterable[tuple[str, int, float]]) -> None:
        """The list has changed: zone, short digest and weight of each node that is up."""
        found: dict[str, list[tuple[int, float]]] = {}
        for name, short, weight in nodes:
            found.setdefault(name, []).append((short, weight))
        for name in [n for n, z in self.by_name.items() if n not in found and n not in self.overrides]:
            # none of its nodes is up: it begins anew
            self.by_short_id.pop(self.by_name.pop(name).short_id)
            self.reduced_fractions.pop(name, None)
        for name in found:
            if name not in self.by_name:
                self.by_name[name] = Zone(name, digest(f"zone {name}") & 0xFFFF or 1)
                self.by_short_id[self.by_name[name].short_id] = self.by_name[name]
        for name, zone in self.by_name.items():
            zone.nodes = frozenset(short for short, _ in found.get(name, ()))
            zone.weight = sum(weight for _, weight in found.get(name, ()))
            zone.outcomes = {n: seen for n, seen in zone.outcomes.items() if n in zone.nodes}
            zone.timeouts = {n: at for n, at in zone.timeouts.items() if n in zone.nodes}
        self.active = self.leaving_enabled and len(found) > 1
        if not self.active or not any(z.nodes and z.state != "away" for z in self.by_name.values()):
            # what is left has nodes, all others have none
            for zone in self.by_name.values():
                zone.state = "home"
            self.reduced_fractions.clear()

    def reset_node(self, name: str, short: int) -> None:
        """A node there is another process now: what became of attempts at the former one says nothing."""
        if name in self.by_name:
            self.by_name[name].outcomes.pop(short, None)
            self.by_name[name].timeouts.pop(short, None)

    # Evidence -----------------------------------------------------------------------------

    def record_timeout(self, now: float, name: str, short: int) -> bool:
        """An attempt there was given up, as nothing came; whether a state has changed by it."""
        zone = self.by_name.get(name)
        if not self.active or zone is None or short not in zone.nodes:
            return False
        zone.timeouts[short] = now
        return self._record_failure(now, zone)

    def record_outcome(self, now: float, name: str, short: int, served: bool) -> bool:
        """An attempt there ended; whether a state has changed by it.

        ``served`` is whether the node was there, whatever it answered in reason."""
        zone = self.by_name.get(name)
        if not self.active or zone is None or short not in zone.nodes:
            return False
        if served and zone.state == "away":
            zone.outcomes.clear()                             # what failed before it is over
        zone.outcomes[short] = served, now
        zone.timeouts.pop(short, None)
        if not served:
            return self._record_failure(now, zone)
        zone.last_success_at = now
        if (zone.state != "home" or self.is_contested(zone)) and self.own_evidence(now, zone) == "well":
            self.verdicts.record_evidence(now, zone.short_id, ZONE, 1.0)
        return zone.state != "home" and self.evaluate(now)

    def _record_failure(self, now: float, zone: Zone) -> bool:
        if zone.state == "returning":
            zone.step, zone.state_since = max(0, zone.step - 1), now
            self.reduced_fractions[zone.name] = self.steps[zone.step]
        return self.evaluate(now)

    def needs_timer(self, now: float) -> bool:
        """Whether time alone may change a state: something failed lately, or a zone is not at home."""
        return (
            bool(self.reduced_fractions)
            or self.active
            and any(
                z.is_failing(now)
                or any(not served and now - at <= EVIDENCE_MS for served, at in z.outcomes.values())
                for z in self.by_name.values()
            )
        )

    def is_contested(self, zone: Zone) -> bool:
        """Whether somebody finds it lost since one last told otherwise."""
        known = self.verdicts.findings.get((zone.short_id, ZONE), {})
        mine = known.get(self.number)
        told = mine.at if mine is not None and mine.slowness < BAD_SLOWNESS else -math.inf
        return any(k.slowness >= BAD_SLOWNESS and k.at > told for k in known.values())

    def own_evidence(self, now: float, zone: Zone) -> str:
        """What the evidence here says, without others' word on the zone: lost, well, or nothing."""
        since = max(now - EVIDENCE_MS, zone.evidence_start)
        seen = {node: served for node, (served, at) in zone.outcomes.items() if at >= since}
        if now - zone.last_success_at >= SILENCE_AFTER_SUCCESS_MS:
            seen |= {n: False for n, at in zone.timeouts.items() if zone.last_success_at < at >= since}
        bad = list(seen.values()).count(False)
        need = max(
            MIN_FAILED_NODES, min(MAX_FAILED_NODES_NEEDED, math.ceil(len(zone.nodes) * FAILED_NODES_FRACTION))
        )
        if bad >= need and bad >= LOST_FRACTION * len(seen):
            return "lost" if self._another_serves(now, zone) else ""
        if now - zone.last_success_at <= HEALTHY_EVIDENCE_MS:
            return "well" if bad <= len(seen) * (1.0 - LOST_FRACTION) else ""
        if now < self.suspect_until or not self._another_serves(now, zone):
            return ""
        return "lost" if self._fleet_evidence_of_loss(now, zone, seen) else ""

    def _fleet_evidence_of_loss(self, now: float, zone: Zone, seen: Mapping[int, bool]) -> bool:
        """Whether most of its nodes have failed somebody of late: who sends little there, and to few of them,
        never sees enough of them fail, and then avoids those."""
        need = max(
            MIN_FAILED_NODES,
            min(MAX_FLEET_FAILED_NODES_NEEDED, math.ceil(len(zone.nodes) * FLEET_FAILED_FRACTION)),
        )
        since = max(now - FLEET_EVIDENCE_MS, zone.evidence_start)
        well = sum(k.slowness < BAD_SLOWNESS and now - k.at <= EVIDENCE_MS
                   for k in self.verdicts.findings.get((zone.short_id, ZONE), {}).values())
        if well >= MIN_OBSERVERS:
            return False                                    # slow, perhaps, but there
        bad, observers = 0, set()
        for node in zone.nodes:
            by = {o for o, k in self.verdicts.findings.get((node, ALL_WORK), {}).items()
                  if k.slowness >= SEVERE_SLOWNESS and k.at >= since}
            if not seen.get(node, True):
                by.add(self.number)
            bad += bool(by) and not seen.get(node, False)
            observers |= by
        return bad >= need and len(observers) >= min(MIN_OBSERVERS, self.gateways)

    def _another_serves(self, now: float, zone: Zone) -> bool:
        return any(served and now - at <= EVIDENCE_MS for other in self.by_name.values() if other is not zone
                   for served, at in other.outcomes.values())

    # Verdict ------------------------------------------------------------------------------

    def is_lost(self, now: float, zone: Zone, own: Mapping[str, str]) -> bool:
        """Whether the zone is to be left: by one's ``own`` evidence if that is fresh, else by the fleet's."""
        if own[zone.name]:
            return own[zone.name] == "lost"
        if self.verdicts.verdict(now, zone.short_id, ZONE) >= BAD_SLOWNESS:
            return True
        region = self.regions.get(zone.name)
        if region is None:
            return False
        mates = [z for z in self.by_name.values() if self.regions.get(z.name) == region and z.nodes]
        lost = sum(own[z.name] == "lost" or self.verdicts.verdict(now, z.short_id, ZONE) >= BAD_SLOWNESS
                   for z in mates)
        return lost >= 2 and 2 * lost > len(mates)

    def evaluate(self, now: float) -> bool:
        """Every zone's state as of now; whether one is another zone's than before."""
        if not self.active and not self.reduced_fractions:
            return False
        before, states = dict(self.reduced_fractions), {n: z.state for n, z in self.by_name.items()}
        self.overrides = {n: o for n, o in self.overrides.items() if now < o.until}
        own = {n: self.own_evidence(now, z) for n, z in self.by_name.items()} if self.active else {}
        if self._suspects_itself(now):
            self.suspect_until = now + FLEET_EVIDENCE_MS
            self.verdicts.retract_findings(now, ZONE)
        for zone in self.by_name.values() if now >= self.suspect_until else ():
            if own.get(zone.name) == "lost":
                self.verdicts.record_evidence(now, zone.short_id, ZONE, LOST_SLOWNESS)
        total = sum(z.weight for z in self.by_name.values())
        rest = sum(z.weight for z in self.by_name.values() if z.state != "away")
        for zone in sorted(
            self.by_name.values(), key=lambda z: (self._count_lost_observers(z), z.short_id), reverse=True
        ):
            word = self.overrides.get(zone.name)
            lost = self.active and (word.away if word is not None else self.is_lost(now, zone, own))
            if zone.state == "away":
                if not lost and (word is not None or now >= zone.state_since + self.hold(zone)):
                    zone.state, zone.step, zone.state_since, zone.evidence_start = "returning", 0, now, now
            elif lost:
                bears = rest - zone.weight >= MIN_REMAINING_FRACTION * total or own[zone.name] == "lost"
                if bears and rest > zone.weight:
                    rest -= zone.weight
                    zone.state, zone.state_since = "away", now
                    zone.departures = [t for t in zone.departures if now - t <= FLAP_MS] + [now]
            elif zone.state == "returning" and now - zone.state_since >= RETURN_MS / len(self.steps):
                zone.step, zone.state_since = zone.step + 1, now
                if zone.step >= len(self.steps):
                    zone.state = "home"
            self._update_fraction(zone)
            if zone.state != states[zone.name]:
                self.messages.append(
                    f"zone {zone.name}: {zone.state}, left {len(zone.departures)} times of late, "
                    f"{self._count_lost_observers(zone)} limiters find it lost"
                )
        return self.reduced_fractions != before

    def _suspects_itself(self, now: float) -> bool:
        """Whether more than half of the zones that were looked at fail here: then this is the smaller side
        of a cut, or its own link is broken.  What it finds is of no use to others, nor what its neighbours
        found, until some time after."""
        here = [
            z
            for z in self.by_name.values()
            if z.nodes and (z.is_failing(now) or now - z.last_success_at <= FAILURE_MEMORY_MS)
        ]
        return self.active and 2 * sum(z.is_failing(now) for z in here) > len(here)

    def _update_fraction(self, zone: Zone) -> None:
        if zone.state == "home" or not zone.nodes:
            self.reduced_fractions.pop(zone.name, None)
            if not zone.nodes:
                zone.state = "home"
        else:
            self.reduced_fractions[zone.name] = 0.0 if zone.state == "away" else self.steps[zone.step]

    def _count_lost_observers(self, zone: Zone) -> int:
        """Who finds it lost: the more, the sooner it is left, where not all that are may be."""
        return sum(
            k.slowness >= BAD_SLOWNESS for k in self.verdicts.findings.get((zone.short_id, ZONE), {}).values()
        )

    def hold(self, zone: Zone) -> float:
        """Ms that it is left alone for, from when it was left: longer, if it was left often of late."""
        times = len(zone.departures)
        ms = min(MAX_HOLD_MS, HOLD_MS * 2.0 ** max(0, times - 1))
        share = digest(f"{zone.name}/{times}/{self.number}") % 1000 / 1000.0
        return ms * (1.0 - HOLD_JITTER + 2.0 * HOLD_JITTER * share)

    # What follows -------------------------------------------------------------------------

    def capacity_fraction(self, name: str) -> float:
        """The part of its capacity that a node there is taken to have: 0 where nothing goes."""
        return self.reduced_fractions.get(name, 1.0)

    def last_left_at(self, name: str) -> float:
        """When it was left last."""
        return self.by_name[name].departures[-1] if self.by_name[name].departures else -math.inf

    def zone_to_probe(self, now: float) -> str | None:
        """The zone to which this limiter is to send its next job that may be repeated, if any."""
        for name, part in self.reduced_fractions.items():
            if part > 0.0 or name in self.overrides:
                continue
            zone, slot = self.by_name[name], int(now / PROBE_SLOT_MS)
            if (
                zone.last_probe_slot < slot
                and now >= zone.state_since + self.hold(zone)
                and self._is_prober(zone, slot)
            ):
                return name
        return None

    def _is_prober(self, zone: Zone, slot: int) -> bool:
        return (
            digest(f"{zone.name}/{slot}/{self.number}") % 10_000 < 10_000 * PROBERS_PER_SLOT / self.gateways
        )

    def record_probe(self, now: float, name: str) -> None:
        """The probe of this slot has gone out."""
        self.by_name[name].last_probe_slot = int(now / PROBE_SLOT_MS)

    def override(self, now: float, name: str, word: Override | None) -> bool:
        """An operator's word, None to take it back; False where no such zone is known."""
        if name not in self.by_name:
            return False
        if word is None:
            self.overrides.pop(name, None)
        else:
            self.overrides[name] = word
        self.evaluate(now)
        return True

    # For operators ------------------------------------------------------------------------

    def rows(self, now: float) -> list[dict[str, Any]]:
        """Each zone: its state, its part, who finds what of it, and what one's own evidence says."""
        rows = []
        for zone in sorted(self.by_name.values(), key=lambda z: z.name):
            known = self.verdicts.findings.get((zone.short_id, ZONE), {})
            well = max((k.at for k in known.values() if k.slowness < BAD_SLOWNESS), default=-math.inf)
            doubted = any(k.slowness >= BAD_SLOWNESS and k.at > well for k in known.values())
            state = "doubted" if zone.state == "home" and doubted else zone.state
            word, until = self.overrides.get(zone.name), ""
            if word is not None:
                kind = "away" if word.away else "home"
                until = f"{kind} for {(word.until - now) / 1000.0:.0f} s more: {word.reason}"
            rows.append(
                {
                    "zone": zone.name,
                    "state": state,
                    "part": round(self.capacity_fraction(zone.name), 3),
                    "nodes": len(zone.nodes),
                    "weight": round(zone.weight, 3),
                    "left": len([t for t in zone.departures if now - t <= FLAP_MS]),
                    "own": self.own_evidence(now, zone),
                    "lost": {o: round(now - k.at) for o, k in known.items() if k.slowness >= BAD_SLOWNESS},
                    "well": {o: round(now - k.at) for o, k in known.items() if k.slowness < BAD_SLOWNESS},
                    "verdict": round(self.verdicts.verdict(now, zone.short_id, ZONE), 2),
                    "override": until,
                }
            )
        return rows
