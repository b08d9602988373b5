"""Kills four instances under load, again and again, and compares exported with counted use.

Counted is taken from the execute nodes' own record (the requests they saw), not from the ledger.  A try that
was in flight at a kill counts and is listed as in doubt; those of them that no node saw are part of what is
counted, and are printed apart.  Last line: ``kills N counted X exported Y difference Z``.

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
MOODS = ["ok"] * 12 + ["break", "500", "reset", "refuse"]


class Forever:
    """Jobs without end, each new when it is sent."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance

    async def get(self) -> str:
        c = self.chance
        return job(service=c.choice(("place-order", "stock-check")), plan="wide", account=c.randrange(1, 60),
                   spread=LIMITERS, left=2.0)


async def life(limiter: Limiter, chance: random.Random, kills: Counter[str], most: int,
               done: asyncio.Event) -> None:
    """Starts, kills at a step or at a random moment, and starts again."""
    while sum(kills.values()) < most:
        at_step = chance.random() < 0.6
        step = f"{chance.choice(STEPS)}:{chance.randrange(1, 4)}" if at_step else ""
        limiter.environment = {"LARKLB_FAULT": step} if step else {}
        try:
            await limiter.start()
        except AssertionError:
            kills["at a step"] += 1                      # it died in its start
            continue
        assert limiter.process is not None
        ended = asyncio.ensure_future(limiter.process.wait())
        await asyncio.wait((ended,), timeout=2.0 if at_step else 0.3 + chance.random())
        kills["at a step" if ended.done() else "at a moment"] += 1
        if not ended.done():
            await limiter.stop(signal.SIGKILL)
        await ended
    if limiter.process is not None and limiter.process.returncode is None:
        await limiter.stop(signal.SIGKILL)
    done.set()


async def measure(folder: Path, most: int, seed: int) -> int:
    chance = random.Random(seed)
    receiver = Receiver(iter(lambda: chance.choice(MOODS), None))
    await receiver.start()
    more = (f'[state]\nfolder = "var"\nsync_ms = 30.0\n[ledger]\nseal_s = 0.2\nrewrite_mb = 0.02\n'
            f'[export]\nurl = "{receiver.url}"\nmost_wait_s = 0.3\n')
    yard = Cluster(folder, limiters=LIMITERS, nodes=3, more=more)
    await yard.discovery.start()
    for node in yard.nodes:
        await node.start()
    kills: Counter[str] = Counter()
    stop, ends = asyncio.Event(), [asyncio.Event() for _ in yard.limiters]
    submitters = [Submitter() for _ in range(LIMITERS * SUBMITTERS)]
    load = [asyncio.ensure_future(s.run(yard.limiters[i % LIMITERS].port, Forever(chance), stop))  # type: ignore[arg-type]
            for i, s in enumerate(submitters)]
    await asyncio.gather(*(life(x, random.Random(seed + i + 1), kills, most, ends[i])
                           for i, x in enumerate(yard.limiters)))
    stop.set()
    await asyncio.gather(*load)
    receiver.behaviours = iter(())
    for limiter in yard.limiters:
        limiter.environment = {}
        await limiter.start()
    operator = str(yard.operator())
    export = await asyncio.create_subprocess_exec(sys.executable, "-m", "larklb", "usage", "export", operator)
    if await export.wait() != 0:
        print("the export did not end")
        return 1
    for limiter in yard.limiters:
        await limiter.stop()
    await receiver.stop()
    seen = set(yard.attempts())
    audits = [audit(folder / "var" / x.name / "use", x.name) for x in yard.limiters]
    doubts = {d.job for a in audits for d in a.tally.doubts}
    in_doubt = sum(a.tally.in_doubt for a in audits)
    unseen = len(doubts - seen)
    differences = [f"{a.name}: {line}" for a in audits for line in a.differences]
    for line in [*differences, *(f"{name} came again with other bytes" for name in receiver.differing)]:
        print(line)
    answered = sum((s.statuses for s in submitters), Counter())
    print(f"machine: {machine()}; {LIMITERS} instances, {len(submitters)} submitters, seed {seed}")
    broken = sum(s.broken for s in submitters)
    print(f"kills: {dict(kills)}; answers: {dict(answered)}; jobs cut off: {broken}")
    print(f"batches delivered {receiver.deliveries} times for {len(receiver.batches)}; in doubt at a kill "
          f"{in_doubt}, of these no node saw {unseen}")
    if in_doubt > len(doubts):
        print(f"{in_doubt - len(doubts)} tries in doubt are no longer listed: run fewer kills at once")
    counted, exported = len(seen) + unseen, receiver.tries()
    units = round(receiver.units() * t.MICROUNITS_PER_UNIT) - counted * t.MICROUNITS_PER_UNIT
    print(f"kills {sum(kills.values())} counted {counted} exported {exported} "
          f"difference {exported - counted}")
    return 0 if exported == counted and not units and not differences and not receiver.differing else 1


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="some 24 kills, under 40 s")
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    asked = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(measure(Path(folder), 24 if asked.quick else asked.kills, asked.seed))


if __name__ == "__main__":
    sys.exit(main())
