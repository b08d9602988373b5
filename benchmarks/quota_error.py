"""How far quotas are off through loss, splits and restarts, before and after settling, over many seeds.

Simulated time: the figures are the same on every machine.  For each scenario the part let in beyond one
perfect bucket and the part wrongly refused, of all customers together and of the worst one (mean over the
seeds, and the largest), and the largest share of its stated bound that any customer reached.  Then a fleet of
32 limiters, and CPU per decision on a calm day with and without settling, in turns.  Last line: a summary.

    python -m benchmarks.quota_error [--quick] [--seeds N]
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import random
import statistics
import sys
import time
from typing import NamedTuple

from benchmarks.load import machine, memory_mb
from larklb.lab import net
from larklb.quota.entitlements import Entitlements

MODES = {"before": (False, 1.0), "service": (True, 1.0), "quota": (True, 0.0)}


class Figures(NamedTuple):
    """Of one day."""

    over: float
    refused: float
    worst_over: float
    worst_refused: float
    of_bound: float
    bytes: float


def day(asked: tuple[str, int, str]) -> Figures:
    name, seed, mode = asked
    settle, reserve = MODES[mode]
    played = net.play(
        name, seed, entitlements_of=lambda number: Entitlements(net.PLANS, settle=settle, reserve=reserve))
    over, refused = net.totals(played)
    s = net.SCENARIOS[name]
    parts = [max(c.max_over / b.over, c.max_under / b.under) for c in played.customers
             for b in (net.bound_of(s, c, reserve),)]
    tries = sum(c.tries for c in played.customers)
    return Figures(over, refused, max(c.over for c in played.customers),
                   max(c.refused for c in played.customers), max(parts), played.bytes / tries)


def table(seeds: int) -> dict[str, dict[str, list[Figures]]]:
    jobs = [(name, seed, mode) for name in net.SCENARIOS for mode in MODES for seed in range(1, seeds + 1)]
    with multiprocessing.Pool() as pool:
        results = pool.map(day, jobs, chunksize=1)
    found: dict[str, dict[str, list[Figures]]] = {n: {m: [] for m in MODES} for n in net.SCENARIOS}
    for (name, _, mode), figures in zip(jobs, results, strict=True):
        found[name][mode].append(figures)
    return found


def fleet(limiters: int, customers: int, seconds: float) -> str:
    """Many limiters and customers with 2% loss: error, bytes, memory, CPU."""
    scenario = net.Scenario("fleet", "", loss=0.02, cuts=((seconds * 400.0, seconds * 600.0),))
    chance = random.Random(5)
    found = net.customers_of(scenario, limiters, customers, 3, 5)
    for c in found:                          # most ask seldom: as many tries in all as a busy fleet has
        rate = c.plan.rate * chance.choice((0.01, 0.01, 0.01, 0.1, 1.2 if chance.random() < 0.02 else 0.02))
        c.demand = lambda now, rate=rate: rate         # type: ignore[misc]
    before = memory_mb(os.getpid())
    began = time.process_time()
    played = net.Net(limiters, found, net.link_of(scenario, limiters), 5)
    played.run(seconds * 1000.0)
    spent = time.process_time() - began
    memory = memory_mb(os.getpid()) - before
    tries = sum(c.tries for c in found)
    over, refused = net.totals(played)
    return (f"{limiters} limiters, {customers} customers, {seconds:g} s with a cut of {seconds / 5:g} s: "
            f"{tries} tries, over {over:.3%}, refused wrongly {refused:.3%}, "
            f"{played.bytes / tries:.0f} bytes of messages per try, {played.messages / tries:.2f} messages "
            f"per try, memory of all limiters and customers {memory:.0f} MB, "
            f"{spent / tries * 1e6:.0f} us of CPU per try, network and all")


def cpu(pairs: int) -> float:
    """CPU of a calm day with settling over that without, the median over pairs played in turns."""
    ratios = []
    for seed in range(1, pairs + 1):
        spent = {}
        for settle in ((False, True), (True, False))[seed % 2]:
            began = time.process_time()
            played = net.play("calm", seed, entitlements_of=lambda number, on=settle: Entitlements(   # type: ignore[misc]
                net.PLANS, settle=on))
            spent[settle] = (time.process_time() - began) / sum(c.tries for c in played.customers)
        ratios.append(spent[True] / spent[False])
    return statistics.median(ratios)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="2 seeds and a small fleet")
    parser.add_argument("--seeds", type=int, default=20)
    asked = parser.parse_args()
    seeds = 2 if asked.quick else asked.seeds
    print(f"machine: {machine()}; {seeds} seeds; 4 limiters, 24 customers of 3 of them, 60 s")
    print(f"{'scenario':14}{'mode':9}{'over':>8}{'worst':>8}{'most':>8}   {'refused':>8}{'worst':>8}"
          f"{'most':>8}   {'of bound':>8}{'bytes':>7}")
    found = table(seeds)
    worst: dict[str, float] = {}
    for name, modes in found.items():
        for mode, days in modes.items():
            def mean(values: list[float]) -> float:
                return sum(values) / len(values)
            worst[f"{name} {mode}"] = max(mean([d.worst_over for d in days]),
                                          mean([d.worst_refused for d in days]))
            print(f"{name:14}{mode:9}{mean([d.over for d in days]):8.2%}"
                  f"{mean([d.worst_over for d in days]):8.1%}{max(d.worst_over for d in days):8.1%}   "
                  f"{mean([d.refused for d in days]):8.2%}"
                  f"{mean([d.worst_refused for d in days]):8.1%}"
                  f"{max(d.worst_refused for d in days):8.1%}   "
                  f"{max(d.of_bound for d in days):8.1%}{mean([d.bytes for d in days]):7.0f}")
    print(fleet(*((8, 2000, 10.0) if asked.quick else (32, 100_000, 5.0))))
    ratio = cpu(3 if asked.quick else 8)
    after = {name: round(worst[f"{name} service"], 3) for name in net.SCENARIOS}
    beyond = [name for name, modes in found.items() for mode, days in modes.items()
              if mode != "before" and max(d.of_bound for d in days) > 1.0]
    print(json.dumps({"worst_customer": after, "beyond_bound": beyond, "cpu_ratio": round(ratio, 3)}))
    return 1 if beyond else 0


if __name__ == "__main__":
    sys.exit(main())
