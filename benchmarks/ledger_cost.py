"""Cost of the ledger and the plans: CPU per job, memory with many customers, changes of plans under load.

The CPU is that of one instance, measured from outside while the same jobs run against two instances, one with
and one without a ledger, in short turns (off, on, on, off), so that a drift of the machine's speed affects
both; the ratio is the median over the pairs of turns.  Last line: a summary.

    python -m benchmarks.ledger_cost [--quick]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from collections import Counter
from datetime import UTC, datetime, timedelta
from pathlib import Path

from benchmarks.load import Submitter, cpu_seconds, job_requests, machine, memory_mb
from larklb.counters import Counters
from larklb.export import tally as t
from larklb.export.ledger import Ledger
from larklb.lab.cluster import Cluster, Limiter, ask, job
from larklb.state.log import replay

SUBMITTERS = 8
LEDGER_SETTINGS = '[state]\nfolder = "var"\n[ledger]\nseal_s = 60.0\n'


def process_id(limiter: Limiter) -> int:
    """Returns the process id of a limiter that is running."""
    assert limiter.process is not None
    return limiter.process.pid


async def send_jobs(limiter: Limiter, requests: list[str]) -> Counter[int]:
    """Sends all requests over SUBMITTERS connections and returns the number of responses by status."""
    submitters = [Submitter() for _ in range(SUBMITTERS)]
    await asyncio.gather(*(s.run(limiter.port, requests[i::SUBMITTERS], asyncio.Event())
                           for i, s in enumerate(submitters)))
    return sum((s.statuses for s in submitters), Counter())


async def measure_cpu(folder: Path, rounds: int, jobs: int) -> tuple[list[float], list[float]]:
    """Returns the CPU time per job in us, without and with the ledger, for each pair of turns.

    Raises RuntimeError if a job was not served.
    """
    plans = [{"name": "wide", "quota_rate": 9000.0, "depth": 2000.0}]
    off = Cluster(folder / "off", nodes=4, second_front=True, plans=plans)
    on = Cluster(folder / "on", nodes=4, more=LEDGER_SETTINGS, plans=plans)
    cpu_us: tuple[list[float], list[float]] = ([], [])
    async with off, on:
        for cluster in (off, on):
            await send_jobs(cluster.limiters[0], job_requests(jobs, 200))          # warm-up
        for _ in range(rounds):
            cpu_s = [0.0, 0.0]
            for index in (0, 1, 1, 0):
                limiter = (off, on)[index].limiters[0]
                before = cpu_seconds(process_id(limiter))
                statuses = await send_jobs(limiter, job_requests(jobs, 200))
                if statuses != {200: jobs}:
                    raise RuntimeError(f"not all of {jobs} jobs were served: {dict(statuses)}")
                cpu_s[index] += cpu_seconds(process_id(limiter)) - before
            for index in (0, 1):
                cpu_us[index].append(cpu_s[index] / (2 * jobs) * 1e6)
    return cpu_us


async def measure_memory(folder: Path, customers: int) -> tuple[float, float, int]:
    """Measures the memory that a ledger adds while each customer uses its quota once.

    Returns the largest increase in MB without and with a receiver that acknowledges batches, and the number
    of tries counted.
    """
    results = []
    for name, acknowledged in (("away", False), ("taken", True)):
        path = folder / name
        ledger = Ledger(path, "n0", Counters("n0"), max_mb=1000.0 if acknowledged else 8.0)
        before = memory_mb(os.getpid())
        max_increase = 0.0
        for start in range(0, customers, 500):
            await asyncio.gather(*(ledger.record_use(
                                       ledger.key(f"{start + i:016x}", "wide", 1, "place-order"), 1.0)
                                   for i in range(500)))
            if len(ledger.tally.rows) >= 20_000:
                await ledger.seal()
                if acknowledged:
                    for batch in ledger.ready():
                        await ledger.mark_acknowledged(batch)
            max_increase = max(max_increase, memory_mb(os.getpid()) - before)
        results.append(max_increase)
        counted = ledger.tally.counted.tries
        ledger.close()
    return results[0], results[1], counted


async def check_plan_changes(folder: Path, seconds: float) -> tuple[int, int]:
    """Changes plans under load over four instances; returns the number of tries judged, and judged wrongly.

    A new version takes effect every 0.5 s.  A try is judged wrongly if it is recorded under a version that
    was in effect at no moment between its first byte and its answer, or if it was counted twice.
    """
    begin = datetime.now(UTC) + timedelta(seconds=3)
    versions = int(seconds / 0.5)
    texts = []
    for number in range(1, versions + 1):
        effective_at = (begin + timedelta(seconds=0.5 * number)).isoformat(timespec="milliseconds")
        texts.append(f"[[version]]\nnumber = {number}\nfrom = {effective_at}\n"
                     f"plans.wide = {{ burst = {900 + number}.0 }}\n")
    (folder / "plans.toml").write_text("".join(texts))
    cluster = Cluster(folder, limiters=4, nodes=4, more='[plans]\nfile = "plans.toml"\n' + LEDGER_SETTINGS)
    periods: dict[str, tuple[float, float]] = {}     # start and end of each job, by its name
    async with cluster:
        async def send_job(number: int, worker: int) -> None:
            name = f"{worker:04x}{number:012x}"
            text = job(name, service="place-order", plan="wide", account=1 + number % 50, spread=4)
            started = time.time()
            await ask(cluster.limiters[(worker + number) % 4].port, text)
            periods[name] = (started, time.time())

        async def run_worker(worker: int) -> None:
            number = 0
            while datetime.now(UTC) < begin + timedelta(seconds=seconds + 0.5):
                number += 1
                await send_job(number, worker)

        await asyncio.gather(*(run_worker(i) for i in range(8)))
        for limiter in cluster.limiters:
            await limiter.stop()
    judged, wrong = Counter[str](), 0
    begin_s = begin.timestamp()
    for limiter in cluster.limiters:
        for record in read_records(folder / "var" / limiter.name / "use" / "ledger.log"):
            if not isinstance(record, t.Begun):
                continue
            judged[record.job] += 1
            started, ended = periods[record.job]
            possible = {max(0, min(versions, int((at - begin_s) / 0.5)))
                        for at in (started - 0.005, ended + 0.005)}
            wrong += record.key.version not in range(min(possible), max(possible) + 1)
    wrong += sum(n - 1 for n in judged.values())
    return len(judged), wrong


def read_records(path: Path) -> list[t.Record]:
    """Returns the records of a ledger's log."""
    return [t.decoder.decode(payload) for payload in replay(path).records]


async def measure(folder: Path, quick: bool) -> int:
    """Runs all measurements and prints them.

    Returns 1 if the ledger increases the CPU time by more than 15% or a try was judged wrongly, otherwise 0.
    """
    for name in ("off", "on", "change", "memory"):
        (folder / name).mkdir()
    rounds, jobs = (12, 200) if quick else (100, 300)
    off, on = await measure_cpu(folder, rounds, jobs)
    ratio = statistics.median(b / a for a, b in zip(off, on, strict=True))
    away, taken, customers = await measure_memory(folder / "memory", 20_000 if quick else 100_000)
    judged, wrong = await check_plan_changes(folder / "change", 4.0 if quick else 20.0)
    print(f"machine: {machine()}")
    print(f"CPU per job, us: off {statistics.median(off):.0f} ({min(off):.0f} to {max(off):.0f}), "
          f"on {statistics.median(on):.0f} ({min(on):.0f} to {max(on):.0f}); {rounds} pairs of turns "
          f"of 2 x {jobs} jobs")
    print(f"memory of {customers} customers, MB: {away:.1f} with the receiver away (8 MB outbox), "
          f"{taken:.1f} taken")
    print(f"a change of plans every 0.5 s: {judged} tries, {wrong} judged wrongly")
    print(json.dumps({"cpu_ratio": round(ratio, 3), "memory_mb": round(max(away, taken), 1),
                      "judged": judged, "wrong": wrong}))
    return 0 if ratio <= 1.15 and not wrong else 1


def main() -> int:
    """Parses the options, runs the benchmark in a temporary folder and returns its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="under 40 s")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(measure(Path(folder), args.quick))


if __name__ == "__main__":
    sys.exit(main())
