"""Evacuation of failed zones and the return to them: the decisions of one limiter.

The evidence is the outcome of attempts, by zone and node.  A limiter finds a zone *lost* if it failed at
several nodes and served at next to none while another zone serves well; a failure everywhere is attributed to
the limiter's own link, or to a load that slows down everything.  It finds a zone *well* if a node there has
served it.  Both are findings like those on nodes (``verdicts.py``, topic ``ZONE``), with an observer, an age
and a stamp, so delays, duplicates and relaying do not change the result, and limiters with the same findings
decide the same.  Recent evidence of the limiter itself takes precedence: a partition that only some limiters
see moves only those.

    state       fraction  next         when
    home        1         away         the zone is lost, by own evidence or by the verdict of the fleet, and
                                       the other zones can take its load
    away        0         returning    the zone is not lost any more, and the hold is over
    returning   steps     away         the zone is lost again; the next hold is twice as long, up to
                                       MAX_HOLD_MS
                          step back    an attempt there failed
                          next step    the time of a step has passed without a failure
                          home         after the last step

``doubted`` is home with a finding against the zone.  It is shown to operators and has no effect.

An evacuated zone receives probes only.  In each slot of ``PROBE_SLOT_MS``, a limiter is a prober with the
probability ``PROBERS_PER_SLOT`` / limiters, by a hash that changes with the slot, and sends one job there
that is safe to repeat.  The rate of probes is thus independent of the size of the fleet, and depends neither
on synchronized clocks nor on any particular limiter.

The fraction of a step is the fraction of its capacity that a node there is assumed to have, starting from
that of a cold node.  The capacity of nodes that are not warm is already divided among the limiters
(``reach.py``), so that the sum stays within its bound whichever limiters are lost meanwhile.  Once the server
list reports a restart of the node, that start counts.

An operator's decision (``Override``) takes precedence over all of this until it expires.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from larklb.fleet.verdicts import ALL_WORK, BAD_SLOWNESS, SEVERE_SLOWNESS, ZONE, Verdicts
from larklb.quota.ring import digest

# Own outcomes count this long, and a success this long against the findings of others.
EVIDENCE_MS = 2000.0
HEALTHY_EVIDENCE_MS = 1000.0
# Distinct nodes that must have failed: at least the minimum, since one bad node is no lost zone, or this
# fraction of the nodes of the zone if that is more, up to a maximum.
MIN_FAILED_NODES = 2
FAILED_NODES_FRACTION = 1 / 3
MAX_FAILED_NODES_NEEDED = 3
# Fraction of the nodes checked that must have failed.
LOST_FRACTION = 0.8
# A timeout counts once no node there has served for this long; a shorter silence may be mere slowness.
SILENCE_AFTER_SUCCESS_MS = 600.0
# Alternatively, this fraction of the nodes of the zone must have failed for any limiters, up to a maximum:
# each limiter of a large fleet sees few of them fail.
FLEET_FAILED_FRACTION = 0.6
MAX_FLEET_FAILED_NODES_NEEDED = 16
# Findings of others on nodes count this long; they take some time to spread.
FLEET_EVIDENCE_MS = 3000.0
# Distinct observers of these failures, including the limiter itself.
MIN_OBSERVERS = 2
# A failure without a later success counts this long for the suspicion of the limiter against itself.
FAILURE_MEMORY_MS = 8000.0
# Slowness that is reported for a lost zone.
LOST_SLOWNESS = 12.0
# Fraction of the total weight that remains in use: findings of others never leave the fleet with less.
MIN_REMAINING_FRACTION = 0.2
# Minimum time away.  It doubles with each departure within FLAP_MS, up to the maximum.
HOLD_MS = 500.0
MAX_HOLD_MS = 8000.0
FLAP_MS = 30_000.0
# Fraction of a hold by which a hash makes it longer or shorter, so that limiters do not return all at once.
HOLD_JITTER = 0.25
# Length of a probe slot, and the average number of limiters that probe in it.
PROBE_SLOT_MS = 500.0
PROBERS_PER_SLOT = 2.0
# Fraction of the first step of a return, less if cold nodes have less capacity.
MAX_FIRST_STEP = 0.25
# Duration of all steps together.
RETURN_MS = 1500.0
# Factor between the fractions of successive steps.
STEP_FACTOR = 2.0
# Interval between evaluations while a zone is not at home.
REEVALUATION_MS = 250.0


class Demand(NamedTuple):
    """The load of a class and plan: concurrent jobs, and the value of a job relative to its work."""

    service: str
    plan: str
    jobs: float
    value: float


def simulate_capacity(demands: Iterable[Demand], capacity: float) -> list[dict[str, Any]]:
    """Return the fraction of each class and plan that ``capacity`` concurrent attempts would still serve.

    The most valuable work is served first, as in regular operation.
    """
    rows = []
    for demand in sorted(demands, key=lambda d: (-d.value, d.service, d.plan)):
        served = min(1.0, max(0.0, capacity) / demand.jobs) if demand.jobs else 1.0
        capacity -= demand.jobs * served
        rows.append({
            "class": demand.service, "plan": demand.plan, "jobs": round(demand.jobs, 2),
            "served": round(served, 3)})
    return rows


class Override(NamedTuple):
    """An operator's decision on a zone: ``away`` or home until ``until`` (ms of this process's clock)."""

    away: bool
    until: float
    reason: str


@dataclass(slots=True)
class Zone:
    """The state of one zone at this limiter.

    ``short_id`` is its digest, as used in findings; ``nodes`` are the short ids of the nodes listed as up.
    ``outcomes`` maps nodes to the last outcome (whether it was served, and when); ``timeouts`` maps nodes to
    the time when an unanswered attempt was given up.  Failures before ``evidence_start``, the begin of the
    last return, do not count.  ``state_since`` is the start of the state or of the step; ``departures`` are
    the recent times when the zone was left.
    """

    name: str
    short_id: int
    nodes: frozenset[int] = frozenset()
    weight: float = 0.0
    outcomes: dict[int, tuple[bool, float]] = field(default_factory=dict)
    timeouts: dict[int, float] = field(default_factory=dict)
    last_success_at: float = -math.inf
    evidence_start: float = -math.inf
    state: str = "home"
    state_since: float = -math.inf
    step: int = 0
    departures: list[float] = field(default_factory=list)
    last_probe_slot: int = -1

    def is_failing(self, now: float) -> bool:
        """Return whether the most recent outcome was a failure.

        It may be some time ago, since failing nodes are avoided.
        """
        failures = [at for served, at in self.outcomes.values() if not served] + list(self.timeouts.values())
        return any(at > self.last_success_at and now - at <= FAILURE_MEMORY_MS for at in failures)


class Zones:
    """The zones of one limiter.

    With fewer than two zones that have nodes, no evidence is stored and no decision is made.
    """

    def __init__(self, number: int, gateways: int, verdicts: Verdicts, cold_share: float = 1.0) -> None:
        """Initialize for limiter ``number`` of ``gateways``.

        ``cold_share`` is the fraction of its capacity that a node has when it starts.
        """
        self.number, self.gateways, self.verdicts = number, gateways, verdicts
        self.regions: dict[str, str] = {}
        # Changes of state to be logged.
        self.messages: list[str] = []
        self.by_name: dict[str, Zone] = {}
        self.by_short_id: dict[int, Zone] = {}
        # The operator's file may disable it.
        self.leaving_enabled = True
        # Whether it is enabled and there are two zones or more.
        self.active = False
        # Capacity fractions of the zones that are not at home.
        self.reduced_fractions: dict[str, float] = {}
        self.overrides: dict[str, Override] = {}
        # Until then the limiter suspects itself and reports no lost zones.
        self.suspect_until = -math.inf
        first = min(cold_share, MAX_FIRST_STEP)
        steps = max(1, math.ceil(-math.log(first, STEP_FACTOR)))
        self.steps = [first * STEP_FACTOR ** n for n in range(steps)]

    def configure(self, leave: bool, regions: Mapping[str, str]) -> None:
        """Apply the operator's settings: whether zones are left at all, and the region of each zone.

        A region is left as a whole if most of its zones are lost.
        """
        self.leaving_enabled, self.regions = leave, dict(regions)
        self.active &= leave

    # Nodes --------------------------------------------------------------------------------

    def update_nodes(self, nodes: Iterable[tuple[str, int, float]]) -> None:
        """Apply a changed server list: the zone, short id and weight of each node that is up."""
        found: dict[str, list[tuple[int, float]]] = {}
        for name, short_id, weight in nodes:
            found.setdefault(name, []).append((short_id, weight))
        for name in [n for n, z in self.by_name.items() if n not in found and n not in self.overrides]:
            # No node of the zone is up; its state starts afresh when one is.
            self.by_short_id.pop(self.by_name.pop(name).short_id)
            self.reduced_fractions.pop(name, None)
        for name in found:
            if name not in self.by_name:
                self.by_name[name] = Zone(name, digest(f"zone {name}") & 0xFFFF or 1)
                self.by_short_id[self.by_name[name].short_id] = self.by_name[name]
        for name, zone in self.by_name.items():
            zone.nodes = frozenset(short_id for short_id, _ in found.get(name, ()))
            zone.weight = sum(weight for _, weight in found.get(name, ()))
            zone.outcomes = {n: outcome for n, outcome in zone.outcomes.items() if n in zone.nodes}
            zone.timeouts = {n: at for n, at in zone.timeouts.items() if n in zone.nodes}
        self.active = self.leaving_enabled and len(found) > 1
        if not self.active or not any(z.nodes and z.state != "away" for z in self.by_name.values()):
            # Only evacuated zones have nodes: use them all.
            for zone in self.by_name.values():
                zone.state = "home"
            self.reduced_fractions.clear()

    def reset_node(self, name: str, short_id: int) -> None:
        """Discard the outcomes of a node that has restarted."""
        if name in self.by_name:
            self.by_name[name].outcomes.pop(short_id, None)
            self.by_name[name].timeouts.pop(short_id, None)

    # Evidence -----------------------------------------------------------------------------

    def record_timeout(self, now: float, name: str, short_id: int) -> bool:
        """Record an attempt that was given up unanswered.

        Returns whether a capacity fraction has changed.
        """
        zone = self.by_name.get(name)
        if not self.active or zone is None or short_id not in zone.nodes:
            return False
        zone.timeouts[short_id] = now
        return self._record_failure(now, zone)

    def record_outcome(self, now: float, name: str, short_id: int, served: bool) -> bool:
        """Record an attempt that ended.

        ``served`` is whether the node was available, whatever its regular answer.  Returns whether a capacity
        fraction has changed.
        """
        zone = self.by_name.get(name)
        if not self.active or zone is None or short_id not in zone.nodes:
            return False
        if served and zone.state == "away":
            # Earlier failures do not count any more.
            zone.outcomes.clear()
        zone.outcomes[short_id] = served, now
        zone.timeouts.pop(short_id, None)
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
        """Return whether a state may change by time alone: a recent failure, or a zone that is not home."""
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
        """Return whether a limiter finds the zone lost since this one last reported it well."""
        findings = self.verdicts.findings.get((zone.short_id, ZONE), {})
        own = findings.get(self.number)
        own_report = own.at if own is not None and own.slowness < BAD_SLOWNESS else -math.inf
        return any(f.slowness >= BAD_SLOWNESS and f.at > own_report for f in findings.values())

    def own_evidence(self, now: float, zone: Zone) -> str:
        """Return ``lost``, ``well``, or an empty string if there is not enough evidence.

        Findings of other limiters on the zone as a whole are not considered.
        """
        since = max(now - EVIDENCE_MS, zone.evidence_start)
        outcomes = {node: served for node, (served, at) in zone.outcomes.items() if at >= since}
        if now - zone.last_success_at >= SILENCE_AFTER_SUCCESS_MS:
            outcomes |= {n: False for n, at in zone.timeouts.items() if zone.last_success_at < at >= since}
        failed = list(outcomes.values()).count(False)
        needed = max(
            MIN_FAILED_NODES, min(MAX_FAILED_NODES_NEEDED, math.ceil(len(zone.nodes) * FAILED_NODES_FRACTION))
        )
        if failed >= needed and failed >= LOST_FRACTION * len(outcomes):
            return "lost" if self._another_serves(now, zone) else ""
        if now - zone.last_success_at <= HEALTHY_EVIDENCE_MS:
            return "well" if failed <= len(outcomes) * (1.0 - LOST_FRACTION) else ""
        if now < self.suspect_until or not self._another_serves(now, zone):
            return ""
        return "lost" if self._fleet_evidence_of_loss(now, zone, outcomes) else ""

    def _fleet_evidence_of_loss(self, now: float, zone: Zone, outcomes: Mapping[int, bool]) -> bool:
        """Return whether most nodes of the zone have recently failed for any limiter.

        A limiter with little traffic to few of the nodes never sees enough failures itself, since it avoids
        the nodes that failed.
        """
        needed = max(
            MIN_FAILED_NODES,
            min(MAX_FLEET_FAILED_NODES_NEEDED, math.ceil(len(zone.nodes) * FLEET_FAILED_FRACTION)),
        )
        since = max(now - FLEET_EVIDENCE_MS, zone.evidence_start)
        well = sum(f.slowness < BAD_SLOWNESS and now - f.at <= EVIDENCE_MS
                   for f in self.verdicts.findings.get((zone.short_id, ZONE), {}).values())
        # The zone may be slow, but it is available.
        if well >= MIN_OBSERVERS:
            return False
        failed, observers = 0, set()
        for node in zone.nodes:
            observers_of_node = {o for o, f in self.verdicts.findings.get((node, ALL_WORK), {}).items()
                  if f.slowness >= SEVERE_SLOWNESS and f.at >= since}
            if not outcomes.get(node, True):
                observers_of_node.add(self.number)
            failed += bool(observers_of_node) and not outcomes.get(node, False)
            observers |= observers_of_node
        return failed >= needed and len(observers) >= min(MIN_OBSERVERS, self.gateways)

    def _another_serves(self, now: float, zone: Zone) -> bool:
        return any(served and now - at <= EVIDENCE_MS for other in self.by_name.values() if other is not zone
                   for served, at in other.outcomes.values())

    # Verdict ------------------------------------------------------------------------------

    def is_lost(self, now: float, zone: Zone, own: Mapping[str, str]) -> bool:
        """Return whether a zone is lost, by ``own`` evidence if there is any, else by the fleet's verdict.

        A zone is also lost if most zones of its region are.
        """
        if own[zone.name]:
            return own[zone.name] == "lost"
        if self.verdicts.verdict(now, zone.short_id, ZONE) >= BAD_SLOWNESS:
            return True
        region = self.regions.get(zone.name)
        if region is None:
            return False
        region_zones = [z for z in self.by_name.values() if self.regions.get(z.name) == region and z.nodes]
        lost = sum(own[z.name] == "lost" or self.verdicts.verdict(now, z.short_id, ZONE) >= BAD_SLOWNESS
                   for z in region_zones)
        return lost >= 2 and 2 * lost > len(region_zones)

    def evaluate(self, now: float) -> bool:
        """Update the state of every zone; return whether a capacity fraction has changed."""
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
            override = self.overrides.get(zone.name)
            lost = self.active and (override.away if override is not None else self.is_lost(now, zone, own))
            if zone.state == "away":
                if not lost and (override is not None or now >= zone.state_since + self.hold(zone)):
                    zone.state, zone.step, zone.state_since, zone.evidence_start = "returning", 0, now, now
            elif lost:
                others_suffice = (
                    rest - zone.weight >= MIN_REMAINING_FRACTION * total or own[zone.name] == "lost"
                )
                if others_suffice and rest > zone.weight:
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
        """Return whether more than half of the zones checked recently fail here.

        Then this is the smaller side of a partition, or the own link is broken.  Until some time after that,
        neither its own findings nor those of its neighbours are usable.
        """
        checked = [
            z
            for z in self.by_name.values()
            if z.nodes and (z.is_failing(now) or now - z.last_success_at <= FAILURE_MEMORY_MS)
        ]
        return self.active and 2 * sum(z.is_failing(now) for z in checked) > len(checked)

    def _update_fraction(self, zone: Zone) -> None:
        if zone.state == "home" or not zone.nodes:
            self.reduced_fractions.pop(zone.name, None)
            if not zone.nodes:
                zone.state = "home"
        else:
            self.reduced_fractions[zone.name] = 0.0 if zone.state == "away" else self.steps[zone.step]

    def _count_lost_observers(self, zone: Zone) -> int:
        """Return how many limiters find a zone lost.

        If not all lost zones may be left, those with the most observers are left first.
        """
        return sum(
            f.slowness >= BAD_SLOWNESS for f in self.verdicts.findings.get((zone.short_id, ZONE), {}).values()
        )

    def hold(self, zone: Zone) -> float:
        """Return the ms for which a zone is left alone after a departure; more after repeated ones."""
        departures = len(zone.departures)
        hold_ms = min(MAX_HOLD_MS, HOLD_MS * 2.0 ** max(0, departures - 1))
        jitter = digest(f"{zone.name}/{departures}/{self.number}") % 1000 / 1000.0
        return hold_ms * (1.0 - HOLD_JITTER + 2.0 * HOLD_JITTER * jitter)

    # Consequences -------------------------------------------------------------------------

    def capacity_fraction(self, name: str) -> float:
        """Return the fraction of its capacity that a node of the zone is assumed to have, 0 if it is left."""
        return self.reduced_fractions.get(name, 1.0)

    def last_left_at(self, name: str) -> float:
        """Return when the zone was last left, minus infinity for never."""
        return self.by_name[name].departures[-1] if self.by_name[name].departures else -math.inf

    def zone_to_probe(self, now: float) -> str | None:
        """Return the zone that the next repeatable job of this limiter is to probe, if any."""
        for name, fraction in self.reduced_fractions.items():
            if fraction > 0.0 or name in self.overrides:
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
        """Record that the probe of the current slot was sent."""
        self.by_name[name].last_probe_slot = int(now / PROBE_SLOT_MS)

    def override(self, now: float, name: str, override: Override | None) -> bool:
        """Set an operator's decision, or remove it with None; return False for an unknown zone."""
        if name not in self.by_name:
            return False
        if override is None:
            self.overrides.pop(name, None)
        else:
            self.overrides[name] = override
        self.evaluate(now)
        return True

    # For operators ------------------------------------------------------------------------

    def rows(self, now: float) -> list[dict[str, Any]]:
        """Return the rows that operators see: the state, fraction, findings and own evidence of each zone."""
        rows = []
        for zone in sorted(self.by_name.values(), key=lambda z: z.name):
            findings = self.verdicts.findings.get((zone.short_id, ZONE), {})
            last_well = max((f.at for f in findings.values() if f.slowness < BAD_SLOWNESS), default=-math.inf)
            doubted = any(f.slowness >= BAD_SLOWNESS and f.at > last_well for f in findings.values())
            state = "doubted" if zone.state == "home" and doubted else zone.state
            override, until = self.overrides.get(zone.name), ""
            if override is not None:
                kind = "away" if override.away else "home"
                until = f"{kind} for {(override.until - now) / 1000.0:.0f} s more: {override.reason}"
            rows.append(
                {
                    "zone": zone.name,
                    "state": state,
                    "part": round(self.capacity_fraction(zone.name), 3),
                    "nodes": len(zone.nodes),
                    "weight": round(zone.weight, 3),
                    "left": len([t for t in zone.departures if now - t <= FLAP_MS]),
                    "own": self.own_evidence(now, zone),
                    "lost": {o: round(now - f.at) for o, f in findings.items() if f.slowness >= BAD_SLOWNESS},
                    "well": {o: round(now - f.at) for o, f in findings.items() if f.slowness < BAD_SLOWNESS},
                    "verdict": round(self.verdicts.verdict(now, zone.short_id, ZONE), 2),
                    "override": until,
                }
            )
        return rows
