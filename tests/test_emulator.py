"""The emulator: the same day again, nothing lost, what servers do when full, what the choice gains in it."""

from __future__ import annotations

import math

import pytest
from attrs import evolve

from larklb.admission.choice import ServerSelector
from larklb.admission.tries import AttemptOutcome
from larklb.balancing.choice import CapacityAwareSelector
from larklb.lab.emulator import Emulator, Make, play
from larklb.lab.emulator_deployment import Deployment, Trouble, flags, shop
from larklb.lab.emulator_rivals import RIVALS

pytestmark = pytest.mark.simulation

SHORT = {"length": 12_000.0, "settling": 2_000.0}


def maker(kind: type[ServerSelector]) -> Make:
    return lambda number, zone, regions, seed: kind(zone, regions, seed)


def full(d: Deployment, on_full: str) -> Deployment:
    """Few servers, short queues, nothing further to try."""
    services = tuple(evolve(s, servers=3, queue=1, on_full=on_full) for s in d.services)
    return evolve(d, services=services, load=1.3, routes=tuple(evolve(r, tries=1) for r in d.routes))


@pytest.mark.parametrize("kind", [*RIVALS.values(), CapacityAwareSelector])
def test_a_day_is_the_same_again_and_every_request_ends_once(kind: type[ServerSelector]) -> None:
    d = flags(**SHORT)
    d = evolve(d, troubles=(Trouble("dark", 4_000.0, 3_000.0, "live", 0.2),
                            Trouble("release", 3_000.0, 6_000.0, "history")))
    one, again = (Emulator(d, maker(kind), 7) for _ in range(2))
    first = one.run()
    assert first.took == again.run().took
    other = play(d, maker(RIVALS["round robin"]), 7)
    assert {r: len(t) for r, t in first.took.items()} == {r: len(t) for r, t in other.took.items()}
    assert all(p.in_flight == 0 for m in one.limiters for p in m.choice.servers.values())
    assert not any(s.running or s.queue for s in one.servers.values())


@pytest.mark.parametrize(("on_full", "end"), [
    ("hang", AttemptOutcome.TIMED_OUT), ("reset", AttemptOutcome.BROKEN), ("refuse", AttemptOutcome.NOT_RUN)])
def test_full_servers_do_as_told(on_full: str, end: AttemptOutcome) -> None:
    figures = play(full(flags(**SHORT), on_full), maker(RIVALS["round robin"]), 1)
    ends = {e: figures.count[f"end.{e.value}"]
            for e in (AttemptOutcome.TIMED_OUT, AttemptOutcome.BROKEN, AttemptOutcome.NOT_RUN)}
    assert ends[end] > 50
    assert all(count == 0 for e, count in ends.items() if e not in (end, AttemptOutcome.TIMED_OUT))


def test_work_takes_as_long_as_it_is_told_to() -> None:
    d = shop(load=0.05, wave=0.0, length=200_000.0)
    d = evolve(d, services=tuple(evolve(s, speeds=(2.0,)) for s in d.services))
    figures = play(d, maker(RIVALS["X-Load only"]), 1)
    pull = figures.took["pull"]
    assert sum(pull) / len(pull) == pytest.approx(400.0 / 2.0 + 2 * d.client, rel=0.05)
    median = math.exp(math.log(400.0) - 0.5 ** 2 / 2.0) / 2.0
    assert figures.at("pull", 0.5) == pytest.approx(median + 2 * d.client, rel=0.05)


def test_the_choice_gains_and_the_weakest_serves() -> None:
    d = flags(load=0.7, length=25_000.0, settling=5_000.0)
    able, before = (play(d, maker(kind), 4) for kind in (CapacityAwareSelector, ServerSelector))
    assert able.in_aim() > before.in_aim() + 0.008
    assert all(able.weakest(s) > 0.2 for s in able.taken)


@pytest.mark.parametrize("tells", ["absent", "zero", "full", "stale"])
def test_a_false_or_absent_load_costs_little(tells: str) -> None:
    d = flags(**SHORT)
    lied = evolve(d, services=tuple(evolve(s, tells=tells) for s in d.services))
    assert play(lied, maker(CapacityAwareSelector), 2).in_aim() > 0.95


def test_a_release_with_cold_newcomers_draws_no_herd() -> None:
    d = flags(length=30_000.0)
    d = evolve(d, troubles=(Trouble("release", 10_000.0, 15_000.0, "live"),))
    assert play(d, maker(CapacityAwareSelector), 1).in_aim("lookup") > 0.93
