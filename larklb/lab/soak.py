"""A soak: limiters as processes on loopback, under overlapping series of signals, restarts and changes.

Clients use their connections until the process is gone, some leave in the middle of the work. What must hold
is judged from what clients and servers have seen:

    twice     an unsafe request ran more than once
    promise   a request that was refused with a promise (408, 421, 429, 503) has run
    wrong     a success without its own answer, or one that no server ran whole
    lost      a request that had reached a server was cut off by a process that nobody killed
    gone      a run began, or a safe run went on, more than half a second after its client had left
    end       a process didn't end with 0 within its grace after SIGTERM
    settled   in the end not all limiters are there with the configuration that was acknowledged last

    python -m larklb.lab.soak [--seeds N] [--first S] [--seconds T] [--jobs J]

prints a line a seed and exits with 1 if anything broke; the processes' logs of such a seed are kept."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import shutil
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from attrs import define, field

from larklb.lab.soak_clients import Asked, KeptClient, Run, SoakServer
from larklb.lab.system import BACK_S, START_S, Trial
from larklb.lab.system_clients import PROMISES
from larklb.lab.system_network import CONFIGURATION, CORES, GRACE_S, LIMITERS, TrialError
from larklb.schema import calls

GONE_S = 0.5  # after its client has left, in which a request's work must have ended ...
SLACK_S = 0.35  # ... on a machine that does much else
NEAR_S = 0.4  # a cut so shortly round a kill is that kill's
CLIENTS = 14
DOWN_S = (0.2, 1.0)  # between a process's end and its next start
SECONDS = 8.0
Step = Callable[[random.Random], Awaitable[None]]


@define
class Broken:
    """What didn't hold, and of which request or process."""

    rule: str
    what: str


@define
class Result:
    """Of one seed. ``counts``: requests by status, clients that left, signals."""

    seed: int
    counts: Counter[str]
    broken: list[Broken] = field(factory=list)
    logs: str = ""  # where they are kept, if anything broke


class Soak(Trial):
    """One seed's run; everything it started ends with it."""

    def __init__(self, folder: Path, seconds: float, seed: int) -> None:
        super().__init__(folder, seconds, True)
        self.seed, self.chance = seed, random.Random(seed)
        self.soaked = [
            SoakServer(s.id, s.service, s.zone, s.ip, s.port, s.controls, random.Random(seed + k))
            for k, s in enumerate(self.servers)
        ]
        self.servers = list(self.soaked)
        self.kept = [
            KeptClient(f"c{n}", self.net, random.Random(seed * 1_000 + n), self._target)
            for n in range(CLIENTS)
        ]
        self.kills: list[tuple[int, float]] = []
        self.restarting: set[int] = set()
        self.core_free = asyncio.Lock()  # no more core machines at once than may be lost
        self.version = int(CONFIGURATION["version"])
        self.counts: Counter[str] = Counter()
        self.broken: list[Broken] = []

    def _target(self) -> int:
        ready = self.clients.ready() or list(range(LIMITERS))
        return self.chance.choice(ready)

    async def play(self) -> Result:
        """All of it, from the first start to the judgement."""
        for server in self.servers:
            await server.start()
            self.tasks.append(asyncio.ensure_future(server.live()))
        for i in range(LIMITERS):
            await self.start(i, True)
        self.tasks.append(asyncio.ensure_future(self.clients.look()))
        await self.change(calls.REPLACE, 0, CONFIGURATION)
        if not await self.until("all limiters are ready", START_S, self.there):
            raise TrialError("they never got ready")
        until = asyncio.get_running_loop().time() + self.seconds
        await asyncio.gather(
            *(client.live(until) for client in self.kept), *(series for series in self._series(until))
        )
        self.clients.killed = {}
        await asyncio.sleep(GONE_S + SLACK_S)
        self.broken += self._judged()
        await self._settled()
        return Result(self.seed, self.counts, self.broken)

    # Troubles -----------------------------------------------------------------------------

    def _series(self, until: float) -> Iterator[asyncio.Future[None]]:
        """Series that overlap, each with a pace of its own."""
        for step, count in ((self._term, 2), (self._hang_up, 2), (self._kill, 1), (self._amend, 1)):
            for _ in range(count):
                yield asyncio.ensure_future(self._repeat(step, until))

    async def _repeat(self, step: Step, until: float) -> None:
        clock, chance = asyncio.get_running_loop().time, random.Random(self.chance.random())
        await asyncio.sleep(chance.uniform(0.2, 1.5))
        gap = chance.uniform(0.2, 1.6)
        while clock() < until - 0.5:
            await step(chance)
            await asyncio.sleep(gap * chance.uniform(0.3, 1.7))

    async def _restart(self, i: int, how: signal.Signals, chance: random.Random) -> None:
        if i in self.restarting:
            return
        self.restarting.add(i)
        try:
            if i < CORES:
                async with self.core_free:
                    await self._ended_and_started(i, how, chance)
                    await self._rejoined(i)
            else:
                await self._ended_and_started(i, how, chance)
        finally:
            self.restarting.discard(i)

    async def _ended_and_started(self, i: int, how: signal.Signals, chance: random.Random) -> None:
        clock, process = asyncio.get_running_loop().time, self.processes[i]
        # A process that has just begun, and listens to nobody yet, may end by the signal itself.
        fine = (0,) if await self.status(i, calls.COUNTS) else (0, -signal.SIGTERM)
        self.counts[how.name] += 1
        self.clients.killed[i] = clock()
        if how is signal.SIGKILL:
            self.kills.append((i, clock()))
        process.send_signal(how)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S + 1.5)
        except TimeoutError:
            self.broken.append(Broken("end", f"limiter-{i} runs on after its grace"))
            self.kills.append((i, clock()))
            process.kill()
            await process.wait()
        if how is signal.SIGTERM and process.returncode not in fine:
            self.broken.append(Broken("end", f"limiter-{i} ended with {process.returncode}: {self.last(i)}"))
        await asyncio.sleep(chance.uniform(*DOWN_S))
        await self.start(i, False)

    async def _rejoined(self, i: int) -> None:
        """A core machine counts as lost until it is one of them again."""
        for _ in range(60):
            if ((await self.status(i, calls.CORE)).get("core") or {}).get("serves"):
                return
            await asyncio.sleep(0.1)

    async def _term(self, chance: random.Random) -> None:
        await self._restart(chance.randrange(LIMITERS), signal.SIGTERM, chance)

    async def _kill(self, chance: random.Random) -> None:
        await self._restart(chance.randrange(LIMITERS), signal.SIGKILL, chance)

    async def _hang_up(self, chance: random.Random) -> None:
        i = chance.randrange(LIMITERS)
        # A process that has just begun doesn't handle signals yet.
        if i not in self.restarting and (await self.status(i, calls.COUNTS)).get("ready"):
            self.counts["SIGHUP"] += 1
            self.processes[i].send_signal(signal.SIGHUP)

    async def _amend(self, chance: random.Random) -> None:
        route = {**CONFIGURATION["hosts"][0]["paths"][1], "timeoutMs": chance.randrange(3_500, 4_500)}
        base, self.version = self.version, self.version + chance.randrange(1, 4)
        await self.change(
            calls.AMEND,
            base,
            {"version": self.version, "upsert": {"hosts": [{"host": "shop.example", "paths": [route]}]}},
        )
        self.counts["amended"] += 1

    # What must hold -----------------------------------------------------------------------

    def _runs(self, path: str) -> list[Run]:
        return [run for server in self.soaked for run in server.done.get(path, ())]

    def _killed(self, asked: Asked, at: float) -> bool:
        """Whether its limiter was killed between its sending and ``at``, or nearly so."""
        return any(
            i == asked.limiter and asked.sent - NEAR_S <= when <= at + NEAR_S for i, when in self.kills
        )

    def _judged(self) -> Iterator[Broken]:
        for client in self.kept:
            for asked in client.asked:
                self.counts[str(asked.status) if asked.status else "left" if asked.left else "cut"] += 1
                yield from self._judge(asked, self._runs(asked.path))

    def _judge(self, asked: Asked, runs: list[Run]) -> Iterator[Broken]:
        if not asked.safe and len(runs) > 1:
            yield Broken("twice", asked.path)
        if asked.status in PROMISES and runs:
            yield Broken("promise", f"{asked.path}: {asked.status}")
        if asked.status == 200 and (
            not any(run.whole for run in runs)
            or asked.body.decode("utf-8", "replace") != f"{asked.path} for yard"
        ):
            yield Broken("wrong", asked.path)
        if asked.cut is not None and runs and not self._killed(asked, asked.cut):
            yield Broken("lost", f"{asked.path} at limiter-{asked.limiter}")
        if asked.left is not None and not self._killed(asked, asked.left + GONE_S):
            yield from self._gone(asked, asked.left + GONE_S + SLACK_S, runs)

    @staticmethod
    def _gone(asked: Asked, bound: float, runs: list[Run]) -> Iterator[Broken]:
        for run in runs:
            if run.began > bound or asked.safe and (run.ended is None or run.ended > bound):
                yield Broken("gone", asked.path)

    async def _settled(self) -> None:
        if not await self.until("all limiters are there", BACK_S, self.there):
            self.broken.append(Broken("settled", "not all limiters are back with one configuration"))
        read = await self._read_back()
        if read.get("version") != self.version:
            self.broken.append(Broken("settled", f"{read.get('version')} is read, not {self.version}"))


async def _played(folder: Path, seconds: float, seed: int) -> Result:
    soak = Soak(folder, seconds, seed)
    try:
        return await soak.play()
    except TrialError as error:
        return Result(seed, soak.counts, [*soak.broken, Broken("settled", str(error))])
    finally:
        await soak.stop()


def play(seed: int, seconds: float = SECONDS) -> Result:
    """One seed in this process; the limiters' logs are kept if anything broke."""
    folder = tempfile.mkdtemp(prefix=f"larklb-soak-{seed}-")
    result = asyncio.run(_played(Path(folder), seconds, seed))
    if result.broken:
        result.logs = folder
    else:
        shutil.rmtree(folder)
    return result


def _alone(seed: int, seconds: float) -> str:
    """One seed in a process of its own: its line of JSON."""
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "larklb.lab.soak",
            "--first",
            str(seed),
            "--seeds",
            "1",
            "--seconds",
            str(seconds),
        ],
        capture_output=True,
        text=True,
    )
    return done.stdout.strip() or json.dumps({"seed": seed, "broken": [["fault", done.stderr[-400:]]]})


def line(result: Result) -> str:
    """A seed's result as a line of JSON."""
    return json.dumps(
        {
            "seed": result.seed,
            "broken": [[b.rule, b.what] for b in result.broken],
            "logs": result.logs,
            **dict(sorted(result.counts.items())),
        }
    )


def main() -> int:
    """The command of the module's docstring."""
    parser = argparse.ArgumentParser(prog="python -m larklb.lab.soak")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--jobs", type=int, default=1)
    chosen = parser.parse_args()
    seeds = range(chosen.first, chosen.first + chosen.seeds)
    if chosen.seeds == 1:
        result = play(chosen.first, chosen.seconds)
        print(line(result), flush=True)
        return 1 if result.broken else 0
    failed = 0
    with ThreadPoolExecutor(chosen.jobs) as pool:
        for told in pool.map(lambda seed: _alone(seed, chosen.seconds), seeds):
            print(told, flush=True)
            failed += bool(json.loads(told)["broken"])
    print(f"{len(seeds)} seeds, {failed} with anything broken", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
