"""The emulator: repeatable runs, no lost requests, full servers, and the gain of capacity-aware selection."""

from __future__ import annotations

import math

import pytest
from attrs import evolve

from larklb.admission.choice import ServerSelector
from larklb.admission.tries import AttemptOutcome
from larklb.balancing.choice import CapacityAwareSelector
from larklb.lab.emulator import Emulator, SelectorFactory, play
from larklb.lab.emulator_deployment import Deployment, Fault, flags, shop
from larklb.lab.emulator_rivals import RIVALS

pytestmark = pytest.mark.simulation

SHORT = {"length": 12_000.0, "settling": 2_000.0}


def selector_factory(kind: type[ServerSelector]) -> SelectorFactory:
    return lambda number, zone, regions, seed: kind(zone, regions, seed)


def overloaded(deployment: Deployment, on_full: str) -> Deployment:
    """Returns the deployment with few servers, short queues and a single attempt per request."""
    services = tuple(evolve(s, servers=3, queue=1, on_full=on_full) for s in deployment.services)
    return evolve(deployment, services=services, load=1.3,
                  routes=tuple(evolve(r, tries=1) for r in deployment.routes))


@pytest.mark.parametrize("kind", [*RIVALS.values(), CapacityAwareSelector])
def test_runs_are_repeatable_and_every_request_ends_once(kind: type[ServerSelector]) -> None:
    deployment = flags(**SHORT)
    deployment = evolve(deployment, troubles=(Fault("dark", 4_000.0, 3_000.0, "live", 0.2),
                            Fault("release", 3_000.0, 6_000.0, "history")))
    emulator, repeated = (Emulator(deployment, selector_factory(kind), 7) for _ in range(2))
    first = emulator.run()
    assert first.took == repeated.run().took
    other = play(deployment, selector_factory(RIVALS["round robin"]), 7)
    assert {r: len(t) for r, t in first.took.items()} == {r: len(t) for r, t in other.took.items()}
    assert all(p.in_flight == 0 for m in emulator.limiters for p in m.choice.servers.values())
    assert not any(s.running or s.queue for s in emulator.servers.values())


@pytest.mark.parametrize(("on_full", "end"), [
    ("hang", AttemptOutcome.TIMED_OUT), ("reset", AttemptOutcome.BROKEN), ("refuse", AttemptOutcome.NOT_RUN)])
def test_full_servers_end_requests_as_configured(on_full: str, end: AttemptOutcome) -> None:
    figures = play(overloaded(flags(**SHORT), on_full), selector_factory(RIVALS["round robin"]), 1)
    ends = {e: figures.count[f"end.{e.value}"]
            for e in (AttemptOutcome.TIMED_OUT, AttemptOutcome.BROKEN, AttemptOutcome.NOT_RUN)}
    assert ends[end] > 50
    assert all(count == 0 for e, count in ends.items() if e not in (end, AttemptOutcome.TIMED_OUT))


def test_service_times_follow_the_configured_distribution() -> None:
    deployment = shop(load=0.05, wave=0.0, length=200_000.0)
    deployment = evolve(deployment, services=tuple(evolve(s, speeds=(2.0,)) for s in deployment.services))
    figures = play(deployment, selector_factory(RIVALS["X-Load only"]), 1)
    durations = figures.took["pull"]
    assert sum(durations) / len(durations) == pytest.approx(400.0 / 2.0 + 2 * deployment.client, rel=0.05)
    median = math.exp(math.log(400.0) - 0.5 ** 2 / 2.0) / 2.0
    assert figures.at("pull", 0.5) == pytest.approx(median + 2 * deployment.client, rel=0.05)


def test_capacity_aware_selection_gains_and_still_uses_the_weakest_server() -> None:
    deployment = flags(load=0.7, length=25_000.0, settling=5_000.0)
    capacity_aware, baseline = (play(deployment, selector_factory(kind), 4)
                                for kind in (CapacityAwareSelector, ServerSelector))
    assert capacity_aware.in_aim() > baseline.in_aim() + 0.008
    assert all(capacity_aware.weakest(s) > 0.2 for s in capacity_aware.taken)


@pytest.mark.parametrize("tells", ["absent", "zero", "full", "stale"])
def test_false_or_missing_load_reports_cost_little(tells: str) -> None:
    deployment = flags(**SHORT)
    misreported = evolve(deployment, services=tuple(evolve(s, tells=tells) for s in deployment.services))
    assert play(misreported, selector_factory(CapacityAwareSelector), 2).in_aim() > 0.95


def test_release_with_cold_servers_causes_no_herding() -> None:
    deployment = flags(length=30_000.0)
    deployment = evolve(deployment, troubles=(Fault("release", 10_000.0, 15_000.0, "live"),))
    assert play(deployment, selector_factory(CapacityAwareSelector), 1).in_aim("lookup") > 0.93
