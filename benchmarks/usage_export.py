"""Kills four instances repeatedly under load, and compares the exported with the counted use.

The counted use comes from the record of the execute nodes (the requests that they received), not from the
ledger.  A try that was in flight at a kill is counted and listed as in doubt.  The ones among them that no
node received are part of the counted use, and are also printed separately.  Last line:
``kills N counted X exported Y difference Z``.

    python -m benchmarks.usage_export [--quick] [--kills N] [--seed N]
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

from benchmarks.load import Submitter, machine
from larklb.export import tally as t
from larklb.export.audit import audit
from larklb.export.ledger import STEPS
from larklb.lab.cluster import Cluster, Limiter, job
from tests.receiver import Receiver

LIMITERS, SUBMITTERS = 4, 6
RECEIVER_BEHAVIOURS = ["ok"] * 12 + ["break", "500", "reset", "refuse"]


class RandomJobs:
    """An endless queue of random jobs, each of which is made when it is sent."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    async def get(self) -> str:
        """Returns the request of a new job."""
        rng = self.rng
        return job(service=rng.choice(("place-order", "stock-check")), plan="wide",
                   account=rng.randrange(1, 60), spread=LIMITERS, left=2.0)


async def kill_repeatedly(limiter: Limiter, rng: random.Random, kills: Counter[str], max_kills: int,
                          done: asyncio.Event) -> None:
    """Starts a limiter and kills it, at a step of the ledger or at a random time, until ``max_kills`` in all.

    ``kills`` is shared by all limiters.  The limiter is down at the end, and ``done`` is set.
    """
    while sum(kills.values()) < max_kills:
        at_step = rng.random() < 0.6
        step = f"{rng.choice(STEPS)}:{rng.randrange(1, 4)}" if at_step else ""
        limiter.environment = {"LARKLB_FAULT": step} if step else {}
        try:
            await limiter.start()
        except AssertionError:
            kills["at a step"] += 1                      # it was killed during its start
            continue
        assert limiter.process is not None
        ended = asyncio.ensure_future(limiter.process.wait())
        await asyncio.wait((ended,), timeout=2.0 if at_step else 0.3 + rng.random())
        kills["at a step" if ended.done() else "at a moment"] += 1
        if not ended.done():
            await limiter.stop(signal.SIGKILL)
        await ended
    if limiter.process is not None and limiter.process.returncode is None:
        await limiter.stop(signal.SIGKILL)
    done.set()


async def measure(folder: Path, max_kills: int, seed: int) -> int:
    """Runs the load and the kills, exports the rest, and prints the comparison.

    Returns 0 if the exported tries and units equal the counted ones, the audits find no difference and no
    batch was delivered again with a different body, otherwise 1.
    """
    rng = random.Random(seed)
    receiver = Receiver(iter(lambda: rng.choice(RECEIVER_BEHAVIOURS), None))
    await receiver.start()
    settings = (f'[state]\nfolder = "var"\nsync_ms = 30.0\n[ledger]\nseal_s = 0.2\nrewrite_mb = 0.02\n'
                f'[export]\nurl = "{receiver.url}"\nmost_wait_s = 0.3\n')
    cluster = Cluster(folder, limiters=LIMITERS, nodes=3, more=settings)
    await cluster.discovery.start()
    for node in cluster.nodes:
        await node.start()
    kills: Counter[str] = Counter()
    stop, done = asyncio.Event(), [asyncio.Event() for _ in cluster.limiters]
    submitters = [Submitter() for _ in range(LIMITERS * SUBMITTERS)]
    load = [asyncio.ensure_future(s.run(cluster.limiters[i % LIMITERS].port, RandomJobs(rng), stop))  # type: ignore[arg-type]
            for i, s in enumerate(submitters)]
    await asyncio.gather(*(kill_repeatedly(x, random.Random(seed + i + 1), kills, max_kills, done[i])
                           for i, x in enumerate(cluster.limiters)))
    stop.set()
    await asyncio.gather(*load)
    receiver.behaviours = iter(())
    for limiter in cluster.limiters:
        limiter.environment = {}
        await limiter.start()
    operator = str(cluster.operator())
    export = await asyncio.create_subprocess_exec(sys.executable, "-m", "larklb", "usage", "export", operator)
    if await export.wait() != 0:
        print("the export did not end")
        return 1
    for limiter in cluster.limiters:
        await limiter.stop()
    await receiver.stop()
    received_jobs = set(cluster.attempts())
    audits = [audit(folder / "var" / x.name / "use", x.name) for x in cluster.limiters]
    doubtful_jobs = {d.job for a in audits for d in a.tally.doubts}
    in_doubt = sum(a.tally.in_doubt for a in audits)
    unreceived = len(doubtful_jobs - received_jobs)
    differences = [f"{a.name}: {line}" for a in audits for line in a.differences]
    for line in [*differences, *(f"{name} came again with other bytes" for name in receiver.differing)]:
        print(line)
    answered = sum((s.statuses for s in submitters), Counter())
    print(f"machine: {machine()}; {LIMITERS} instances, {len(submitters)} submitters, seed {seed}")
    unanswered = sum(s.unanswered for s in submitters)
    print(f"kills: {dict(kills)}; answers: {dict(answered)}; jobs cut off: {unanswered}")
    print(f"batches delivered {receiver.deliveries} times for {len(receiver.batches)}; in doubt at a kill "
          f"{in_doubt}, of these no node saw {unreceived}")
    if in_doubt > len(doubtful_jobs):
        print(f"{in_doubt - len(doubtful_jobs)} tries in doubt are no longer listed: run fewer kills at once")
    counted, exported = len(received_jobs) + unreceived, receiver.tries()
    excess = round(receiver.units() * t.MICROUNITS_PER_UNIT) - counted * t.MICROUNITS_PER_UNIT
    print(f"kills {sum(kills.values())} counted {counted} exported {exported} "
          f"difference {exported - counted}")
    return 0 if exported == counted and not excess and not differences and not receiver.differing else 1


def main() -> int:
    """Parses the options, runs the benchmark in a temporary folder and returns its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="some 24 kills, under 40 s")
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(measure(Path(folder), 24 if args.quick else args.kills, args.seed))


if __name__ == "__main__":
    sys.exit(main())
