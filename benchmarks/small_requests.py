"""CPU of a small job in this program against another checkout of it, pairs of turns in one run.

    python -m benchmarks.small_requests --against DIR [--quick]

Both serve the same load, a turn each while the other rests, in changing order; the ratio is taken pair by
pair.  ``DIR`` is a checkout; both use the environment that runs this.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
from pathlib import Path

from benchmarks.load import Submitter, cpu_seconds, machine, memory_mb, orders
from larklb.lab.cluster import ROOT, Cluster

JOBS, TURNS, QUICK_TURNS = 1000, 40, 8
CONNECTIONS, ACCOUNTS = 8, 50


async def turn(yard: Cluster) -> float:
    """CPU seconds of one limiter for JOBS small jobs."""
    limiter = yard.limiters[0]
    assert limiter.process is not None
    texts = orders(JOBS, ACCOUNTS)
    submitters = [Submitter() for _ in range(CONNECTIONS)]
    before = cpu_seconds(limiter.process.pid)
    await asyncio.gather(*(s.run(limiter.port, texts[i::CONNECTIONS], asyncio.Event())
                           for i, s in enumerate(submitters)))
    served = sum(s.statuses[200] for s in submitters)
    if served != JOBS:
        raise SystemExit(f"{served} of {JOBS} jobs were served: no measurement")
    return cpu_seconds(limiter.process.pid) - before


async def compare(against: Path, turns: int) -> None:
    with tempfile.TemporaryDirectory() as one, tempfile.TemporaryDirectory() as two:
        here, there = Cluster(Path(one)), Cluster(Path(two))
        for yard, tree in ((here, ROOT), (there, against)):
            yard.plans = [{**plan, "quota_rate": 1e5, "depth": 2000.0} for plan in yard.plans]
            yard.environment.update(PYTHONPATH=str(tree), PYTHONSAFEPATH="1", TMPDIR=str(yard.folder))
        async with here, there:
            ratios, mine, other = [], [], []
            for n in range(-1, turns):
                first = await turn(here if n % 2 else there)
                second = await turn(there if n % 2 else here)
                a, b = (first, second) if n % 2 else (second, first)
                if n >= 0:                   # the first pair warms up
                    ratios.append(a / b)
                    mine.append(a / JOBS * 1e6)
                    other.append(b / JOBS * 1e6)
            pids = [y.limiters[0].process.pid for y in (here, there) if y.limiters[0].process is not None]
            print(f"{machine()}, {turns} pairs of {JOBS} jobs, {CONNECTIONS} connections")
            print(f"CPU per job, median: here {statistics.median(mine):.0f} us, against "
                  f"{statistics.median(other):.0f} us")
            print(f"ratio, median {statistics.median(ratios):.3f}, quartiles "
                  f"{statistics.quantiles(ratios, n=4)[0]:.3f} to {statistics.quantiles(ratios, n=4)[2]:.3f}")
            print(f"resident memory: here {memory_mb(pids[0]):.1f} MB, against {memory_mb(pids[1]):.1f} MB")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", type=Path, required=True)
    parser.add_argument("--quick", action="store_true")
    arguments = parser.parse_args()
    os.environ.pop("EDGE_ADMIN", None)
    sys.exit(asyncio.run(compare(arguments.against.resolve(), QUICK_TURNS if arguments.quick else TURNS)))
