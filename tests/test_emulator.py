"""Tests of the emulator: determinism, full servers, work times and the gain of capacity-aware selection."""

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


def overloaded(d: Deployment, on_full: str) -> Deployment:
    """Return the deployment with few servers, short queues, no retries and more load than capacity."""
    services = tuple(evolve(s, servers=3, queue=1, on_full=on_full) for s in d.services)
    return evolve(d, services=services, load=1.3, routes=tuple(evolve(r, tries=1) for r in d.routes))


@pytest.mark.parametrize("kind", [*RIVALS.values(), CapacityAwareSelector])
def test_a_run_is_deterministic_and_every_request_ends_once(kind: type[ServerSelector]) -> None:
    d = flags(**SHORT)
    d = evolve(d, faults=(Fault("dark", 4_000.0, 3_000.0, "live", 0.2),
                            Fault("release", 3_000.0, 6_000.0, "history")))
    emulator, repetition = (Emulator(d, selector_factory(kind), 7) for _ in range(2))
    first = emulator.run()
    assert first.latencies == repetition.run().latencies
    other = play(d, selector_factory(RIVALS["round robin"]), 7)
    assert {r: len(t) for r, t in first.latencies.items()} == {r: len(t) for r, t in other.latencies.items()}
    assert all(p.in_flight == 0 for m in emulator.limiters for p in m.selector.servers.values())
    assert not any(s.running or s.queue for s in emulator.servers.values())


@pytest.mark.parametrize(("on_full", "end"), [
    ("hang", AttemptOutcome.TIMED_OUT), ("reset", AttemptOutcome.BROKEN), ("refuse", AttemptOutcome.NOT_RUN)])
def test_full_servers_behave_as_configured(on_full: str, end: AttemptOutcome) -> None:
    figures = play(overloaded(flags(**SHORT), on_full), selector_factory(RIVALS["round robin"]), 1)
    ends = {e: figures.count[f"end.{e.value}"]
            for e in (AttemptOutcome.TIMED_OUT, AttemptOutcome.BROKEN, AttemptOutcome.NOT_RUN)}
    assert ends[end] > 50
    assert all(count == 0 for e, count in ends.items() if e not in (end, AttemptOutcome.TIMED_OUT))


def test_work_takes_the_configured_time() -> None:
    d = shop(load=0.05, wave=0.0, length=200_000.0)
    d = evolve(d, services=tuple(evolve(s, speeds=(2.0,)) for s in d.services))
    figures = play(d, selector_factory(RIVALS["X-Load only"]), 1)
    pull = figures.latencies["pull"]
    assert sum(pull) / len(pull) == pytest.approx(400.0 / 2.0 + 2 * d.client_delay, rel=0.05)
    median = math.exp(math.log(400.0) - 0.5 ** 2 / 2.0) / 2.0
    assert figures.quantile("pull", 0.5) == pytest.approx(median + 2 * d.client_delay, rel=0.05)


def test_capacity_aware_selection_gains_and_uses_the_weakest_servers() -> None:
    d = flags(load=0.7, length=25_000.0, settling=5_000.0)
    capacity_aware, baseline = (
        play(d, selector_factory(kind), 4) for kind in (CapacityAwareSelector, ServerSelector))
    assert capacity_aware.in_aim() > baseline.in_aim() + 0.008
    assert all(capacity_aware.weakest_share(s) > 0.2 for s in capacity_aware.attempts)


@pytest.mark.parametrize("load_report", ["absent", "zero", "full", "stale"])
def test_a_false_or_absent_load_costs_little(load_report: str) -> None:
    d = flags(**SHORT)
    misreporting = evolve(d, services=tuple(evolve(s, load_report=load_report) for s in d.services))
    assert play(misreporting, selector_factory(CapacityAwareSelector), 2).in_aim() > 0.95


def test_a_release_with_cold_servers_causes_no_herding() -> None:
    d = flags(length=30_000.0)
    d = evolve(d, faults=(Fault("release", 10_000.0, 15_000.0, "live"),))
    assert play(d, selector_factory(CapacityAwareSelector), 1).in_aim("lookup") > 0.93
