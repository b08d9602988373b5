"""What the ledger and the plans cost: CPU per job off and on, memory at many customers, a change under load.

CPU is that of one instance, measured from outside while the same jobs run against two instances, one with
a ledger and one without, in short turns (off, on, on, off), so that a machine whose speed drifts slows both;
the ratio is the median over the pairs of turns.  Last line: a summary.

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

from benchmarks.load import Submitter, cpu_seconds, machine, memory_mb, orders
from larklb.counters import Counters
from larklb.export import tally as t
from larklb.export.ledger import Ledger
from larklb.lab.cluster import Cluster, Limiter, ask, job
from larklb.state.log import replay

SUBMITTERS = 8
MORE = '[state]\nfolder = "var"\n[ledger]\nseal_s = 60.0\n'


def pid(limiter: Limiter) -> int:
    assert limiter.process is not None
    return limiter.process.pid


async def load(limiter: Limiter, texts: list[str]) -> Counter[int]:
    submitters = [Submitter() for _ in range(SUBMITTERS)]
    await asyncio.gather(*(s.run(limiter.port, texts[i::SUBMITTERS], asyncio.Event())
                           for i, s in enumerate(submitters)))
    return sum((s.statuses for s in submitters), Counter())


async def cpu(folder: Path, rounds: int, jobs: int) -> tuple[list[float], list[float]]:
    """Microseconds of CPU per job, without and with the ledger, pair by pair of turns."""
    plans = [{"name": "wide", "quota_rate": 9000.0, "depth": 2000.0}]
    off = Cluster(folder / "off", nodes=4, second_front=True, plans=plans)
    on = Cluster(folder / "on", nodes=4, more=MORE, plans=plans)
    figures: tuple[list[float], list[float]] = ([], [])
    async with off, on:
        for yard in (off, on):
            await load(yard.limiters[0], orders(jobs, 200))          # warm
        for _ in range(rounds):
            spent = [0.0, 0.0]
            for which in (0, 1, 1, 0):
                limiter = (off, on)[which].limiters[0]
                before = cpu_seconds(pid(limiter))
                statuses = await load(limiter, orders(jobs, 200))
                if statuses != {200: jobs}:
                    raise RuntimeError(f"not all were served: {dict(statuses)}")
                spent[which] += cpu_seconds(pid(limiter)) - before
            for which in (0, 1):
                figures[which].append(spent[which] / (2 * jobs) * 1e6)
    return figures


async def memory(folder: Path, customers: int) -> tuple[float, float, int]:
    """MB that a ledger adds while so many customers use their quota once, without and with a receiver."""
    results = []
    for name, sealing in (("away", False), ("taken", True)):
        path = folder / name
        ledger = Ledger(path, "n0", Counters("n0"), max_mb=1000.0 if sealing else 8.0)
        before = memory_mb(os.getpid())
        most = 0.0
        for start in range(0, customers, 500):
            await asyncio.gather(*(ledger.record_use(
                                       ledger.key(f"{start + i:016x}", "wide", 1, "place-order"), 1.0)
                                   for i in range(500)))
            if len(ledger.tally.rows) >= 20_000:
                await ledger.seal()
                if sealing:
                    for batch in ledger.ready():
                        await ledger.mark_acknowledged(batch)
            most = max(most, memory_mb(os.getpid()) - before)
        results.append(most)
        counted = ledger.tally.counted.tries
        ledger.close()
    return results[0], results[1], counted


async def change(folder: Path, seconds: float) -> tuple[int, int]:
    """Plan changes under load over four instances: tries judged, and those judged wrongly.

    Versions count 0.5 s apart.  A try is judged wrongly if its stamp names one that did not count at any
    moment between its first byte and its answer, or if it was counted twice.
    """
    begin = datetime.now(UTC) + timedelta(seconds=3)
    count = int(seconds / 0.5)
    texts = []
    for n in range(1, count + 1):
        at = (begin + timedelta(seconds=0.5 * n)).isoformat(timespec="milliseconds")
        texts.append(f"[[version]]\nnumber = {n}\nfrom = {at}\nplans.wide = {{ burst = {900 + n}.0 }}\n")
    (folder / "plans.toml").write_text("".join(texts))
    yard = Cluster(folder, limiters=4, nodes=4, more='[plans]\nfile = "plans.toml"\n' + MORE)
    sent: dict[str, tuple[float, float]] = {}
    async with yard:
        async def one(number: int, worker: int) -> None:
            name = f"{worker:04x}{number:012x}"
            text = job(name, service="place-order", plan="wide", account=1 + number % 50, spread=4)
            began = time.time()
            await ask(yard.limiters[(worker + number) % 4].port, text)
            sent[name] = (began, time.time())

        async def worker(which: int) -> None:
            number = 0
            while datetime.now(UTC) < begin + timedelta(seconds=seconds + 0.5):
                number += 1
                await one(number, which)

        await asyncio.gather(*(worker(i) for i in range(8)))
        for limiter in yard.limiters:
            await limiter.stop()
    judged, wrong = Counter[str](), 0
    first = begin.timestamp()
    for limiter in yard.limiters:
        for record in records(folder / "var" / limiter.name / "use" / "ledger.log"):
            if not isinstance(record, t.Begun):
                continue
            judged[record.job] += 1
            began, ended = sent[record.job]
            could = {max(0, min(count, int((at - first) / 0.5))) for at in (began - 0.005, ended + 0.005)}
            wrong += record.key.version not in range(min(could), max(could) + 1)
    wrong += sum(n - 1 for n in judged.values())
    return len(judged), wrong


def records(path: Path) -> list[t.Record]:
    return [t.decoder.decode(payload) for payload in replay(path).records]


async def measure(folder: Path, quick: bool) -> int:
    for name in ("off", "on", "change", "memory"):
        (folder / name).mkdir()
    rounds, jobs = (12, 200) if quick else (100, 300)
    off, on = await cpu(folder, rounds, jobs)
    ratio = statistics.median(b / a for a, b in zip(off, on, strict=True))
    away, taken, customers = await memory(folder / "memory", 20_000 if quick else 100_000)
    judged, wrong = await change(folder / "change", 4.0 if quick else 20.0)
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
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="under 40 s")
    asked = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(measure(Path(folder), asked.quick))


if __name__ == "__main__":
    sys.exit(main())
