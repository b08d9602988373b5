"""Error of quotas under loss, partitions and restarts, before and after settlement, over many seeds.

Simulated time: the figures are the same on every machine, except for CPU and memory.  For each scenario, the
excess over one ideal bucket and the wrongly refused part are printed, of all customers together and of the
worst customer (mean over the seeds, and largest), and the largest fraction of its stated bound that any
customer reached.  Then follow a fleet of 32 limiters, and the CPU per decision of a calm day with and without
settlement, measured in turns.  Last line: a summary.

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

# Whether limiters settle, and the reserve, by mode.
MODES = {"before": (False, 1.0), "service": (True, 1.0), "quota": (True, 0.0)}


class Figures(NamedTuple):
    """Figures of one run of a scenario.

    `over` and `refused` are the excess and the wrongly refused part, as fractions of what the ideal bucket
    grants; `bound_fraction` is the largest fraction of its stated bound that a customer reached; `bytes` are
    bytes of messages per try.
    """

    over: float
    refused: float
    worst_over: float
    worst_refused: float
    bound_fraction: float
    bytes: float


def simulate(job: tuple[str, int, str]) -> Figures:
    """Runs a scenario; ``job`` is its name, the seed and the mode."""
    name, seed, mode = job
    settle, reserve = MODES[mode]
    simulation = net.play(
        name, seed, entitlements_of=lambda number: Entitlements(net.PLANS, settle=settle, reserve=reserve))
    over, refused = net.totals(simulation)
    scenario = net.SCENARIOS[name]
    bound_fractions = [max(c.max_over / b.over, c.max_under / b.under) for c in simulation.customers
                       for b in (net.bound_of(scenario, c, reserve),)]
    tries = sum(c.tries for c in simulation.customers)
    return Figures(over, refused, max(c.over for c in simulation.customers),
                   max(c.refused for c in simulation.customers), max(bound_fractions),
                   simulation.bytes / tries)


def simulate_all(seeds: int) -> dict[str, dict[str, list[Figures]]]:
    """Runs all scenarios in all modes with the seeds 1 to ``seeds``; returns figures by scenario and mode."""
    jobs = [(name, seed, mode) for name in net.SCENARIOS for mode in MODES for seed in range(1, seeds + 1)]
    with multiprocessing.Pool() as pool:
        results = pool.map(simulate, jobs, chunksize=1)
    figures_by_mode: dict[str, dict[str, list[Figures]]] = {n: {m: [] for m in MODES} for n in net.SCENARIOS}
    for (name, _, mode), figures in zip(jobs, results, strict=True):
        figures_by_mode[name][mode].append(figures)
    return figures_by_mode


def simulate_fleet(limiters: int, customers: int, seconds: float) -> str:
    """Simulates many limiters and customers with 2% loss; returns a line on error, bytes, memory and CPU."""
    scenario = net.Scenario("fleet", "", loss=0.02, cuts=((seconds * 400.0, seconds * 600.0),))
    rng = random.Random(5)
    all_customers = net.customers_of(scenario, limiters, customers, 3, 5)
    # Most customers send few requests, so that the total number of tries is that of a busy fleet.
    for customer in all_customers:
        rate = customer.plan.rate * rng.choice((0.01, 0.01, 0.01, 0.1, 1.2 if rng.random() < 0.02 else 0.02))
        customer.demand = lambda now, rate=rate: rate         # type: ignore[misc]
    before = memory_mb(os.getpid())
    started = time.process_time()
    simulation = net.Net(limiters, all_customers, net.link_of(scenario, limiters), 5)
    simulation.run(seconds * 1000.0)
    cpu_s = time.process_time() - started
    memory = memory_mb(os.getpid()) - before
    tries = sum(c.tries for c in all_customers)
    over, refused = net.totals(simulation)
    return (f"{limiters} limiters, {customers} customers, {seconds:g} s with a cut of {seconds / 5:g} s: "
            f"{tries} tries, over {over:.3%}, refused wrongly {refused:.3%}, "
            f"{simulation.bytes / tries:.0f} bytes of messages per try, "
            f"{simulation.messages / tries:.2f} messages per try, "
            f"memory of all limiters and customers {memory:.0f} MB, "
            f"{cpu_s / tries * 1e6:.0f} us of CPU per try, network and all")


def settlement_cpu_ratio(pairs: int) -> float:
    """Returns the CPU per try of a calm day with settlement, relative to that of the same day without.

    It is the median over ``pairs`` of runs, which alternate in order.
    """
    ratios = []
    for seed in range(1, pairs + 1):
        cpu_s = {}
        for settle in ((False, True), (True, False))[seed % 2]:
            started = time.process_time()
            simulation = net.play("calm", seed, entitlements_of=lambda number, on=settle: Entitlements(  # type: ignore[misc]
                net.PLANS, settle=on))
            cpu_s[settle] = (time.process_time() - started) / sum(c.tries for c in simulation.customers)
        ratios.append(cpu_s[True] / cpu_s[False])
    return statistics.median(ratios)


def main() -> int:
    """Runs the benchmark and prints it; returns 1 if a customer exceeded its stated bound, otherwise 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="2 seeds and a small fleet")
    parser.add_argument("--seeds", type=int, default=20)
    args = parser.parse_args()
    seeds = 2 if args.quick else args.seeds
    print(f"machine: {machine()}; {seeds} seeds; 4 limiters, 24 customers of 3 of them, 60 s")
    print(f"{'scenario':14}{'mode':9}{'over':>8}{'worst':>8}{'most':>8}   {'refused':>8}{'worst':>8}"
          f"{'most':>8}   {'of bound':>8}{'bytes':>7}")
    figures_by_mode = simulate_all(seeds)
    worst: dict[str, float] = {}
    for name, modes in figures_by_mode.items():
        for mode, runs in modes.items():
            def mean(values: list[float]) -> float:
                return sum(values) / len(values)
            worst[f"{name} {mode}"] = max(mean([r.worst_over for r in runs]),
                                          mean([r.worst_refused for r in runs]))
            print(f"{name:14}{mode:9}{mean([r.over for r in runs]):8.2%}"
                  f"{mean([r.worst_over for r in runs]):8.1%}{max(r.worst_over for r in runs):8.1%}   "
                  f"{mean([r.refused for r in runs]):8.2%}"
                  f"{mean([r.worst_refused for r in runs]):8.1%}"
                  f"{max(r.worst_refused for r in runs):8.1%}   "
                  f"{max(r.bound_fraction for r in runs):8.1%}{mean([r.bytes for r in runs]):7.0f}")
    print(simulate_fleet(*((8, 2000, 10.0) if args.quick else (32, 100_000, 5.0))))
    ratio = settlement_cpu_ratio(3 if args.quick else 8)
    after = {name: round(worst[f"{name} service"], 3) for name in net.SCENARIOS}
    beyond = [name for name, modes in figures_by_mode.items() for mode, runs in modes.items()
              if mode != "before" and max(r.bound_fraction for r in runs) > 1.0]
    print(json.dumps({"worst_customer": after, "beyond_bound": beyond, "cpu_ratio": round(ratio, 3)}))
    return 1 if beyond else 0


if __name__ == "__main__":
    sys.exit(main())
