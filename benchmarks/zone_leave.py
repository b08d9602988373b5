"""Failures of a zone, with and without the limiters' decision to leave it, in simulated time.

    python -m benchmarks.zone_leave [--quick] [--seeds N] [--limiters N] [--chart FILE]

Simulates days of ``larklb/lab/zones.py``, each with and without the decision and with the same seed.  Without
--quick, also a day of a large fleet, days with many seeds in which a zone fails under load and returns cold,
and days without a fault in which a tenth of the messages is lost.  A chart needs matplotlib.  The last line
is ``left together, returned in bounds``, or lists what failed.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from typing import Any

from benchmarks.load import machine
from larklb.fleet.bound import zone_times
from larklb.lab.nodes import Model
from larklb.lab.zones import AIM, Day, Fault, simulate

# Start and duration of most faults, and length of most days, in ms.
FAULT_START_MS, FAULT_DURATION_MS, LENGTH_MS = 4000.0, 4000.0, 16_000.0
# Requests that arrive within this time before the end of a day may still be in progress and don't count.
TAIL_MS = 3000.0
# Time after which an unanswered attempt is given up.
ATTEMPT_TIMEOUT_MS = 0.375 * AIM
# The load is 84% of the capacity of the nodes.
BUSY = Day(limiters=24, nodes=24, rate=14.0, length=LENGTH_MS, model=Model(cores=1))
DAYS = {
    "refusing": replace(BUSY, faults=(Fault(FAULT_START_MS, FAULT_DURATION_MS, "b", "refusing"),)),
    "silent": replace(BUSY, faults=(Fault(FAULT_START_MS, FAULT_DURATION_MS, "b", "silent"),)),
    "cut": replace(BUSY, faults=(Fault(FAULT_START_MS, FAULT_DURATION_MS, "b", "cut"),)),
    "cut-some": replace(BUSY, faults=(Fault(FAULT_START_MS, FAULT_DURATION_MS, "b", "cut", fraction=0.4),)),
    "half": replace(BUSY, faults=(Fault(FAULT_START_MS, FAULT_DURATION_MS, "b", "refusing", half=True),)),
    "slow": replace(BUSY, rate=7.0,
                    faults=(Fault(FAULT_START_MS, FAULT_DURATION_MS, "b", "slow", slowdown=4.0),)),
    "8 zones": Day(limiters=48, nodes=56, zones=tuple("abcdefgh"), rate=12.0, length=LENGTH_MS,
                   model=Model(cores=1), faults=(Fault(FAULT_START_MS, FAULT_DURATION_MS, "b", "silent"),)),
}
# Days on which the whole zone fails: all limiters must leave it and return.
ZONE_LOST = ("refusing", "silent", "8 zones")
# Days on which the zone still serves: at most an eighth of the limiters may leave it.
ZONE_USABLE = ("half", "slow")
CALM = replace(BUSY, rate=8.0, length=60_000.0, loss=0.1)
COLD = replace(BUSY, limiters=12, nodes=12, faults=(Fault(2000.0, 3000.0, "b", "refusing"),), length=9000.0)


def simulate_day(job: tuple[str, Day, int]) -> dict[str, Any]:
    """Simulates a day and returns its figures; ``job`` is its name, the day and the seed."""
    name, day, seed = job
    started = time.process_time()
    net = simulate(day, seed)
    left_at, returned_at = (net.left_at.get("b", {}), net.returned_at.get("b", {}))
    fault = day.faults[0] if day.faults else Fault(0.0, 0.0, "b")
    seconds = range(int(day.length / 1000))
    return {
        "day": name, "zones": "on" if day.leaving_enabled else "off", "seed": seed, "left": len(left_at),
        "first_ms": round(min(left_at.values()) - fault.at) if left_at else None,
        "last_ms": round(max(left_at.values()) - fault.at) if left_at else None,
        "home": len(returned_at),
        "home_ms": round(max(returned_at.values()) - fault.at - fault.duration) if returned_at else None,
        "before": round(net.served_fraction(1000.0, fault.at), 3),
        "during": round(net.served_fraction(fault.at, fault.at + fault.duration), 3),
        "after": round(net.served_fraction(fault.at + fault.duration, day.length - TAIL_MS), 3),
        "into": net.attempts_during_fault["b"], "wasted": net.wasted,
        "fallen": net.overloaded_cold_nodes(), "alarms": net.false_departures,
        "cold": round(max((n.max_overload for n in net.nodes.values()), default=0.0), 2),
        "by_second": [round(net.served_fraction(1000.0 * s, 1000.0 * s + 1000.0), 3) for s in seconds],
        "cpu_s": round(time.process_time() - started, 1)}


def failures(rows: list[dict[str, Any]], days: dict[str, Day]) -> list[str]:
    """Returns what violates the stated bounds on the days with the decision enabled."""
    problems = []
    for row in (row for row in rows if row["zones"] == "on"):
        day, name = days[row["day"]], row["day"]
        if row["fallen"]:
            problems.append(f"{name}, seed {row['seed']}: {row['fallen']} cold nodes fell")
        if row["alarms"]:
            problems.append(
                f"{name}, seed {row['seed']}: {row['alarms']} limiters left a zone that was there")
        if name in ZONE_LOST:
            bound = zone_times(day.limiters, day.loss, ATTEMPT_TIMEOUT_MS, day.rate / len(day.zones))
            if row["left"] < day.limiters or row["last_ms"] > bound.leave:
                problems.append(f"{name}: {row['left']} of {day.limiters} left, the last after "
                                f"{row['last_ms']} ms, stated {bound.leave:.0f}")
            if row["home"] < day.limiters or row["home_ms"] > bound.return_max:
                problems.append(f"{name}: {row['home']} of {day.limiters} came home, the last after "
                                f"{row['home_ms']} ms, stated {bound.return_max:.0f}")
        if name in ZONE_USABLE and row["left"] > day.limiters // 8:
            problems.append(f"{name}: {row['left']} left a zone that was there")
    return problems


def plot(rows: list[dict[str, Any]], path: str) -> None:
    """Draws the fraction served in each second to a PNG file, with one panel for each day."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot
    names = [n for n in DAYS if n in {row["day"] for row in rows}]
    figure, panels = pyplot.subplots(1, len(names), figsize=(3.2 * len(names), 3), sharey=True)
    for name, panel in zip(names, panels, strict=True):
        for row in (row for row in rows if row["day"] == name):
            panel.plot(range(len(row["by_second"]) - 2), row["by_second"][:-2],
                       "-" if row["zones"] == "on" else "--", label=f"zones {row['zones']}")
        panel.axvspan(FAULT_START_MS / 1000, (FAULT_START_MS + FAULT_DURATION_MS) / 1000, alpha=0.15)
        panel.set_title(name)
        panel.set_xlabel("s")
    panels[0].set_ylabel("tries served in time")
    panels[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> int:
    """Runs the benchmark and prints it; returns 1 if a stated bound was violated, otherwise 0."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seeds", type=int, default=100, help="of cold returns, without --quick")
    parser.add_argument("--limiters", type=int, default=200, help="of the large day, without --quick")
    parser.add_argument("--chart", default="", help="a PNG file")
    args = parser.parse_args()
    print(machine())
    days = dict(DAYS)
    if not args.quick:
        days["large"] = Day(limiters=args.limiters, nodes=200, zones=tuple("abcd"), rate=15.0,
                            length=12_000.0, loss=0.05, model=Model(cores=2),
                            faults=(Fault(FAULT_START_MS, 3000.0, "b", "refusing"),))
    jobs = [(name, replace(day, leaving_enabled=enabled), 1) for name, day in days.items()
            for enabled in (False, True)]
    jobs.sort(key=lambda job: -job[1].limiters)
    if not args.quick:
        jobs += [("calm", CALM, seed) for seed in range(1, 13)]
        jobs += [("cold", COLD, seed) for seed in range(1, args.seeds + 1)]
    with ProcessPoolExecutor(max(1, min(8, os.cpu_count() or 1))) as pool:
        rows = list(pool.map(simulate_day, jobs))
    rows.sort(key=lambda r: (list(days).index(r["day"]) if r["day"] in days else len(days), r["zones"]))
    columns = ("day", "zones", "left", "first_ms", "last_ms", "home", "home_ms", "before", "during", "after",
               "into", "wasted", "fallen", "alarms", "cold", "cpu_s")
    shown = [r for r in rows if r["day"] in days]
    cells = [columns, *([str(r[c]) for c in columns] for r in shown)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for line in cells:
        print("  ".join(text.ljust(w) for text, w in zip(line, widths, strict=True)).rstrip())
    for name in ("calm", "cold"):
        of_day = [r for r in rows if r["day"] == name]
        if of_day:
            print(f"{name}, {len(of_day)} seeds: {sum(r['fallen'] for r in of_day)} cold nodes fell, "
                  f"{sum(r['alarms'] for r in of_day)} false alarms, the most at a cold node "
                  f"{max(r['cold'] for r in of_day)} of what it bears")
    if args.chart:
        plot(shown, args.chart)
    problems = failures(rows, {**days, "calm": CALM, "cold": COLD})
    print("; ".join(problems) or "left together, returned in bounds")
    return int(bool(problems))


if __name__ == "__main__":
    sys.exit(main())
