"""How well traffic is in keeping with what each server is seen to handle: days of the emulator.

Simulated time: the figures but for the cost of a choice are the same on every machine.  For two
deployments, by load and by trouble: the part answered inside its aim, that of the worst five seconds,
p50/p99 of each route (ms), the part of traffic that is misplaced against true ability and the weakest
servers' part of theirs, as means over the seeds.  'able, alone' exchanges nothing; 'able, sums' only
estimates, twice a second.  Last line: a summary.

    python -m benchmarks.ability [--quick] [--seeds N] [--workers N]
"""

from __future__ import annotations

import argparse
import multiprocessing
import random
import statistics
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from attrs import evolve

from larklb.admission.choice import ServerSelector, ServerState
from larklb.balancing.choice import CapacityAwareSelector
from larklb.lab.emulator import play
from larklb.lab.emulator_deployment import Deployment, Fault, flags, shop
from larklb.lab.emulator_figures import Figures
from larklb.lab.emulator_rivals import RIVALS

KEPT = 0.001               # of in-aim by which the new choice may stay behind the best rival, for chance ...
KEPT_QUICK = 0.004         # ... and on a single seed
COST_US = 40.0             # of one choice among SERVERS, at the most
SERVERS = 17
WEAKEST = 0.1              # of traffic in keeping with its ability that the weakest has at the least


class Alone(CapacityAwareSelector):
    """Hears nothing."""

    def apply_estimates(self, now: float, observer: str, message: Mapping[str, Any]) -> None:
        return

    def apply_in_flight(self, now: float, observer: str, message: Mapping[str, Any]) -> None:
        return


class Sums(CapacityAwareSelector):
    """Hears estimates only."""

    def apply_in_flight(self, now: float, observer: str, message: Mapping[str, Any]) -> None:
        return


CHOICES: dict[str, type[ServerSelector]] = {
    **RIVALS, "able, alone": Alone, "able, sums": Sums,
                                   "able": CapacityAwareSelector}
MAKERS: dict[str, Callable[..., Deployment]] = {"A": shop, "B": flags}


def troubles(name: str, d: Deployment) -> tuple[Fault, ...]:
    """What befalls both services of a deployment."""
    first, second = (s.name for s in d.services)
    return {
        "calm": (),
        "slow": tuple(Fault("slow", 15_000.0, 12_000.0, s, 0.1) for s in (first, second)),
        "dark": (Fault("dark", 15_000.0, 4_500.0, first, 0.14),
                 Fault("dark", 25_000.0, 4_500.0, second, 0.14)),
        "release": (Fault("release", 12_000.0, 20_000.0, first),
                    Fault("release", 14_000.0, 20_000.0, second)),
        "all slow": (Fault("slow", 15_000.0, 10_000.0, second, 1.0, 1.6),),
    }[name]


Job = tuple[str, str, float, str, int]


def day(job: Job) -> Figures:
    """One day of a deployment, trouble, load, choice and seed."""
    deployment, trouble, load, who, seed = job
    d = MAKERS[deployment](load=load)
    d, cls = evolve(d, faults=troubles(trouble, d)), CHOICES[who]

    def make(number: int, zone: str, regions: dict[str, str], chance: int) -> ServerSelector:
        return cls(zone, regions, chance)
    return play(d, make, seed)


def row(figures: Sequence[Figures]) -> str:
    """The means of some days."""
    def mean(of: Callable[[Figures], float]) -> float:
        return statistics.fmean(of(f) for f in figures)
    routes = "  ".join(f"{r} {mean(lambda f, r=r: f.quantile(r, 0.5)):.0f}/"  # type: ignore[misc]
                       f"{mean(lambda f, r=r: f.quantile(r, 0.99)):.0f}"  # type: ignore[misc]
                       for r in figures[0].latencies)
    placed = "  ".join(f"{s} {mean(lambda f, s=s: f.misplaced_share(s)):.2f}/"  # type: ignore[misc]
                       f"{mean(lambda f, s=s: f.weakest_share(s)):.2f}"  # type: ignore[misc]
                       for s in figures[0].attempts)
    return f"{mean(lambda f: f.in_aim()):.4f}  {mean(lambda f: f.worst_window()):.3f}  {routes}  {placed}"


def cost_us() -> float:
    """Processor time of one choice among SERVERS, with what goes with it, in µs: the least of some runs."""
    choice, rng = CapacityAwareSelector("a", dict.fromkeys("abc", "region"), 1), random.Random(2)
    choice.set_limiters("m0", [(f"m{i}", "abc"[i % 3]) for i in range(14)])
    choice.update([ServerState(f"s{i}", "live", "", "abc"[i % 3], 2) for i in range(SERVERS)])
    best, now = float("inf"), 0.0
    for _ in range(5):
        spent = 0.0
        for _ in range(1_000):
            now += 8.0
            began = time.process_time()
            place = choice.pick(now, "live", "lookup", 400.0)
            spent += time.process_time() - began
            if place is not None:
                choice.record_start(place)
                choice.record_answer(now + 1.0, place, "lookup", rng.lognormvariate(4.5, 0.8), True)
                choice.record_load(now + 1.0, place, rng.randrange(3), 0)
        best = min(best, spent * 1_000.0)
    return best


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--quick", action="store_true", help="one load, two troubles, one seed")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--workers", type=int, default=2)
    asked = parser.parse_args()
    days = [("calm", 0.47), ("release", 0.47)] if asked.quick else [
        ("calm", 0.47), ("calm", 0.7), ("calm", 0.85), ("slow", 0.47), ("dark", 0.47), ("release", 0.47),
        ("all slow", 0.47)]
    seeds = range(1, (1 if asked.quick else asked.seeds) + 1)
    choices = [c for c in CHOICES if not asked.quick or c != "able, sums"]
    jobs: list[Job] = [(d, t, load, who, seed) for d in MAKERS for t, load in days for who in choices
                       for seed in seeds]
    with multiprocessing.Pool(asked.workers) as pool:
        results = dict(zip(jobs, pool.map(day, jobs, chunksize=1), strict=True))
    missed: list[str] = []
    for d in MAKERS:
        for t, load in days:
            print(f"\n{d}, {t}, load {load:.2f}: in aim, worst 5 s, p50/p99 by route, "
                  "misplaced/weakest by service")
            found = {who: [results[d, t, load, who, seed] for seed in seeds] for who in choices}
            for who, figures in found.items():
                print(f"  {who:18} {row(figures)}")
            aims = {who: statistics.fmean(f.in_aim() for f in figures) for who, figures in found.items()}
            best = max(aims[who] for who in RIVALS)
            if aims["able"] < best - (KEPT_QUICK if asked.quick else KEPT):
                missed.append(f"{d} {t} {load:.2f}: {aims['able']:.4f} in aim, the best rival {best:.4f}")
            if t == "calm":
                missed += [f"{d} {load:.2f}: the weakest of {s} has {part:.2f} of its part"
                           for s in found["able"][0].attempts
                           if (part := statistics.fmean(f.weakest_share(s) for f in found["able"])) < WEAKEST]
    cost = cost_us()
    print(f"\none choice among {SERVERS} servers: {cost:.1f} µs")
    if cost > COST_US:
        missed.append(f"a choice costs {cost:.1f} µs")
    print("; ".join(missed) or "in keeping")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
