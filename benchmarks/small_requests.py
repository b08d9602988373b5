"""CPU of a small job with this program, compared with another checkout of it, measured in turns in one run.

    python -m benchmarks.small_requests --against DIR [--quick]

Both serve the same load, one at a time, in alternating order; the ratio is taken for each pair of turns.
``DIR`` is a checkout; both run in the Python environment of this script.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
from pathlib import Path

from benchmarks.load import Submitter, cpu_seconds, job_requests, machine, memory_mb
from larklb.lab.cluster import ROOT, Cluster

JOBS, PAIRS, QUICK_PAIRS = 1000, 40, 8
CONNECTIONS, ACCOUNTS = 8, 50


async def measure_cpu(cluster: Cluster) -> float:
    """Sends JOBS small jobs to the first limiter and returns its CPU time in s.

    Raises SystemExit if a job was not served.
    """
    limiter = cluster.limiters[0]
    assert limiter.process is not None
    requests = job_requests(JOBS, ACCOUNTS)
    submitters = [Submitter() for _ in range(CONNECTIONS)]
    before = cpu_seconds(limiter.process.pid)
    await asyncio.gather(*(s.run(limiter.port, requests[i::CONNECTIONS], asyncio.Event())
                           for i, s in enumerate(submitters)))
    served = sum(s.statuses[200] for s in submitters)
    if served != JOBS:
        raise SystemExit(f"only {served} of {JOBS} jobs were served; the measurement is invalid")
    return cpu_seconds(limiter.process.pid) - before


async def compare(against: Path, pairs: int) -> None:
    """Compares this checkout with the one in ``against`` over pairs of turns, and prints the result."""
    with tempfile.TemporaryDirectory() as local_folder, tempfile.TemporaryDirectory() as other_folder:
        local, other = Cluster(Path(local_folder)), Cluster(Path(other_folder))
        for cluster, checkout in ((local, ROOT), (other, against)):
            cluster.plans = [{**plan, "quota_rate": 1e5, "depth": 2000.0} for plan in cluster.plans]
            cluster.environment.update(PYTHONPATH=str(checkout), PYTHONSAFEPATH="1",
                                       TMPDIR=str(cluster.folder))
        async with local, other:
            ratios, local_us, other_us = [], [], []
            for pair in range(-1, pairs):
                first = await measure_cpu(local if pair % 2 else other)
                second = await measure_cpu(other if pair % 2 else local)
                local_s, other_s = (first, second) if pair % 2 else (second, first)
                if pair >= 0:                # the first pair is a warm-up
                    ratios.append(local_s / other_s)
                    local_us.append(local_s / JOBS * 1e6)
                    other_us.append(other_s / JOBS * 1e6)
            pids = [c.limiters[0].process.pid for c in (local, other) if c.limiters[0].process is not None]
            print(f"{machine()}, {pairs} pairs of {JOBS} jobs, {CONNECTIONS} connections")
            print(f"CPU per job, median: here {statistics.median(local_us):.0f} us, against "
                  f"{statistics.median(other_us):.0f} us")
            print(f"ratio, median {statistics.median(ratios):.3f}, quartiles "
                  f"{statistics.quantiles(ratios, n=4)[0]:.3f} to {statistics.quantiles(ratios, n=4)[2]:.3f}")
            print(f"resident memory: here {memory_mb(pids[0]):.1f} MB, against {memory_mb(pids[1]):.1f} MB")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", type=Path, required=True)
    parser.add_argument("--quick", action="store_true")
    args = parser.parse_args()
    os.environ.pop("EDGE_ADMIN", None)
    sys.exit(asyncio.run(compare(args.against.resolve(), QUICK_PAIRS if args.quick else PAIRS)))
