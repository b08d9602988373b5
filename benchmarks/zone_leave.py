"""Zones that fail, with and without the fleet's decisions on them, in simulated time.

    python -m benchmarks.zone_leave [--quick] [--seeds N] [--limiters N] [--chart FILE]

Days of ``larklb/lab/zones.py``, each played twice with one seed.  Without --quick also days of many seeds in
which a zone dies under load and comes back cold, and calm ones at a loss of a tenth of the words.  A chart
needs matplotlib.  The last line is ``left together, returned in bounds``, or what was not.
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

AT, LASTS, LENGTH = 4000.0, 4000.0, 16_000.0
END = 3000.0               # before the end, a try may not be answered yet
PATIENCE = 0.375 * AIM
BUSY = Day(limiters=24, nodes=24, rate=14.0, length=LENGTH, model=Model(cores=1))     # 84% of what nodes do
DAYS = {
    "refusing": replace(BUSY, faults=(Fault(AT, LASTS, "b", "refusing"),)),
    "silent": replace(BUSY, faults=(Fault(AT, LASTS, "b", "silent"),)),
    "cut": replace(BUSY, faults=(Fault(AT, LASTS, "b", "cut"),)),
    "cut-some": replace(BUSY, faults=(Fault(AT, LASTS, "b", "cut", fraction=0.4),)),
    "half": replace(BUSY, faults=(Fault(AT, LASTS, "b", "refusing", half=True),)),
    "slow": replace(BUSY, rate=7.0, faults=(Fault(AT, LASTS, "b", "slow", slowdown=4.0),)),
    "8 zones": Day(limiters=48, nodes=56, zones=tuple("abcdefgh"), rate=12.0, length=LENGTH,
                   model=Model(cores=1), faults=(Fault(AT, LASTS, "b", "silent"),)),
}
LOST = ("refusing", "silent", "8 zones")       # all leave ...
THERE = ("half", "slow")                       # ... and here hardly anybody
CALM = replace(BUSY, rate=8.0, length=60_000.0, loss=0.1)
COLD = replace(BUSY, limiters=12, nodes=12, faults=(Fault(2000.0, 3000.0, "b", "refusing"),), length=9000.0)


def one(job: tuple[str, Day, int]) -> dict[str, Any]:
    """A day's figures."""
    name, day, seed = job
    began = time.process_time()
    net = simulate(day, seed)
    left, home = (net.left_at.get("b", {}), net.returned_at.get("b", {}))
    lost = day.faults[0] if day.faults else Fault(0.0, 0.0, "b")
    seconds = range(int(day.length / 1000))
    return {
        "day": name, "zones": "on" if day.leaving_enabled else "off", "seed": seed, "left": len(left),
        "first_ms": round(min(left.values()) - lost.at) if left else None,
        "last_ms": round(max(left.values()) - lost.at) if left else None,
        "home": len(home), "home_ms": round(max(home.values()) - lost.at - lost.duration) if home else None,
        "before": round(net.served_fraction(1000.0, lost.at), 3),
        "during": round(net.served_fraction(lost.at, lost.at + lost.duration), 3),
        "after": round(net.served_fraction(lost.at + lost.duration, day.length - END), 3),
        "into": net.attempts_during_fault["b"], "wasted": net.wasted,
        "fallen": net.overloaded_cold_nodes(), "alarms": net.false_departures,
        "cold": round(max((n.max_overload for n in net.nodes.values()), default=0.0), 2),
        "by_second": [round(net.served_fraction(1000.0 * s, 1000.0 * s + 1000.0), 3) for s in seconds],
        "cpu_s": round(time.process_time() - began, 1)}


def off(rows: list[dict[str, Any]], days: dict[str, Day]) -> list[str]:
    """What does not hold of the days with the decisions on."""
    found = []
    for r in (r for r in rows if r["zones"] == "on"):
        day, name = days[r["day"]], r["day"]
        if r["fallen"]:
            found.append(f"{name}, seed {r['seed']}: {r['fallen']} cold nodes fell")
        if r["alarms"]:
            found.append(f"{name}, seed {r['seed']}: {r['alarms']} limiters left a zone that was there")
        if name in LOST:
            bound = zone_times(day.limiters, day.loss, PATIENCE, day.rate / len(day.zones))
            if r["left"] < day.limiters or r["last_ms"] > bound.leave:
                found.append(f"{name}: {r['left']} of {day.limiters} left, the last after {r['last_ms']} ms, "
                             f"stated {bound.leave:.0f}")
            if r["home"] < day.limiters or r["home_ms"] > bound.return_max:
                found.append(f"{name}: {r['home']} of {day.limiters} came home, the last after "
                             f"{r['home_ms']} ms, stated {bound.return_max:.0f}")
        if name in THERE and r["left"] > day.limiters // 8:
            found.append(f"{name}: {r['left']} left a zone that was there")
    return found


def chart(rows: list[dict[str, Any]], path: str) -> None:
    """Service second by second, a panel a day."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot
    names = [n for n in DAYS if n in {r["day"] for r in rows}]
    figure, panels = pyplot.subplots(1, len(names), figsize=(3.2 * len(names), 3), sharey=True)
    for name, panel in zip(names, panels, strict=True):
        for r in (r for r in rows if r["day"] == name):
            panel.plot(range(len(r["by_second"]) - 2), r["by_second"][:-2],
                       "-" if r["zones"] == "on" else "--", label=f"zones {r['zones']}")
        panel.axvspan(AT / 1000, (AT + LASTS) / 1000, alpha=0.15)
        panel.set_title(name)
        panel.set_xlabel("s")
    panels[0].set_ylabel("tries served in time")
    panels[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> int:
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
                            faults=(Fault(AT, 3000.0, "b", "refusing"),))
    jobs = [(name, replace(day, leaving_enabled=on), 1) for name, day in days.items() for on in (False, True)]
    jobs.sort(key=lambda j: -j[1].limiters)
    if not args.quick:
        jobs += [("calm", CALM, seed) for seed in range(1, 13)]
        jobs += [("cold", COLD, seed) for seed in range(1, args.seeds + 1)]
    with ProcessPoolExecutor(max(1, min(8, os.cpu_count() or 1))) as pool:
        rows = list(pool.map(one, jobs))
    rows.sort(key=lambda r: (list(days).index(r["day"]) if r["day"] in days else len(days), r["zones"]))
    columns = ("day", "zones", "left", "first_ms", "last_ms", "home", "home_ms", "before", "during", "after",
               "into", "wasted", "fallen", "alarms", "cold", "cpu_s")
    shown = [r for r in rows if r["day"] in days]
    cells = [columns, *([str(r[c]) for c in columns] for r in shown)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for line in cells:
        print("  ".join(text.ljust(w) for text, w in zip(line, widths, strict=True)).rstrip())
    for name in ("calm", "cold"):
        mine = [r for r in rows if r["day"] == name]
        if mine:
            print(f"{name}, {len(mine)} seeds: {sum(r['fallen'] for r in mine)} cold nodes fell, "
                  f"{sum(r['alarms'] for r in mine)} false alarms, the most at a cold node "
                  f"{max(r['cold'] for r in mine)} of what it bears")
    if args.chart:
        chart(shown, args.chart)
    wrong = off(rows, {**days, "calm": CALM, "cold": COLD})
    print("; ".join(wrong) or "left together, returned in bounds")
    return int(bool(wrong))


if __name__ == "__main__":
    sys.exit(main())
