"""Orders of limiters that are killed, with custody off and on in one run.

    python -m benchmarks.takeover [--quick] [--kills N]

Two yards of 6 limiters each serve the same load of orders at once; in each one limiter, drawn at random, is
killed again and again and started anew.  A submitter whose limiter broke off comes back by another with its
key.  Beside that, a turn without kills gives what custody adds to a job.  The last line is ``taken over
once``, or what was not.
"""

from __future__ import annotations

import argparse
import asyncio
import functools
import heapq
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.load import cpu_seconds, machine
from larklb.fleet import bound
from larklb.fleet import custody as cu
from larklb.lab.cluster import CLASSES, Cluster, ExecuteNode, ask, http, job
from larklb.net.keeper import CLAIM_BACKOFF_MS, MAX_TAKEOVER_CLAIMS

LIMITERS, NODES, RACKS = 6, 9, 3
RATE, WORK_S = 100.0, 0.3                  # orders a second; s that a node works at one
AIM_S, DEADLINE_S, WINDOW_S = 2.0, 3.0, 2.5
KEEP_S = WINDOW_S + DEADLINE_S             # no record matters longer, and a custodian is new for so long
DOWN_S, EVERY_S = 0.8, 6.0                 # a killed limiter is away; between kills none is new any more
AGAIN_S = 0.1                              # a submitter comes back after this
KILLS, QUICK_KILLS = 50, 5
CALM_S, QUICK_CALM_S = 20.0, 4.0
CLASS = {**CLASSES[1], "aim": AIM_S * 1000, "deadline": DEADLINE_S * 1000, "window": WINDOW_S * 1000}


@dataclass
class Figures:
    """Of one yard."""

    in_hand: int = 0                       # orders whose limiter broke off
    rescued: int = 0                       # ... that were served within their aim
    late: int = 0                          # ... or later
    waits: list[float] = field(default_factory=list)             # s from the kill to their answer
    took: list[float] = field(default_factory=list)              # s, of orders on calm
    ran: Counter[str] = field(default_factory=Counter)           # executions by key
    cpu_ms: float = 0.0                    # of all limiters, for an order on calm
    bytes: float = 0.0                     # between limiters, for an order on calm
    counts: Counter[str] = field(default_factory=Counter)


class Racks:
    """Nodes that work for a while, in racks that drop repeats for WINDOW_S."""

    def __init__(self, yard: Cluster, figures: Figures) -> None:
        self.figures = figures
        self.known: dict[tuple[int, str], float] = {}
        for i, node in enumerate(yard.nodes):
            node.cell = i % RACKS
            self.serve(node)

    def serve(self, node: ExecuteNode) -> None:
        async def reply(headers: dict[str, str], body: bytes) -> bytes:
            key, now = headers["idempotency-key"], time.monotonic()
            if now - self.known.get((node.cell, key), -1e9) > WINDOW_S:
                self.known[node.cell, key] = now
                self.figures.ran[key] += 1
            await asyncio.sleep(WORK_S)
            return http(200, b"done " + key.encode())
        node.reply = reply


async def order(yard: Cluster, figures: Figures, number: int, chance: random.Random, calm: bool) -> None:
    """One order and its tries, until its time is up."""
    began, broke, again, key = time.monotonic(), 0.0, False, f"{number:032x}"
    while (left := DEADLINE_S - (time.monotonic() - began)) > 0.1:
        limiter = chance.choice(yard.limiters)
        text = job(f"{chance.getrandbits(63):016x}", "place-order", account=1 + number % 97, left=left,
                   spread=LIMITERS)
        marked = f"Idempotency-Key: {key}" + "\r\nX-Repeat: 1" * again
        text = "\r\n".join(marked if x.startswith("Idempotency-Key") else x for x in text.split("\r\n"))
        try:
            status, _, _ = await asyncio.wait_for(ask(limiter.port, text), left)
        except ConnectionRefusedError:
            status = -1                    # it never reached anybody
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status, again = 0, True
            broke = broke or time.monotonic()
        if status == 200:
            break
        if status not in (-1, 0, 429, 503):
            break
        await asyncio.sleep(AGAIN_S)
    took = time.monotonic() - began
    if broke:
        figures.in_hand += 1
        figures.rescued += status == 200 and took <= AIM_S
        figures.late += status == 200 and took > AIM_S
        if status == 200:
            figures.waits.append(time.monotonic() - broke)
    if calm and status == 200:
        figures.took.append(took)


async def load(yard: Cluster, figures: Figures, seconds: float, seed: int, calm: bool) -> None:
    chance, until, number = random.Random(seed), time.monotonic() + seconds, seed * 1_000_000
    tasks = []
    while time.monotonic() < until:
        await asyncio.sleep(chance.expovariate(RATE))
        number += 1
        tasks.append(asyncio.ensure_future(order(yard, figures, number, random.Random(number), calm)))
    await asyncio.gather(*tasks)


async def kills(yard: Cluster, count: int, seed: int) -> None:
    chance = random.Random(seed)
    for _ in range(count):
        await asyncio.sleep(EVERY_S - DOWN_S - 0.5 + chance.uniform(0.0, 0.5))
        limiter = chance.choice(yard.limiters)
        await limiter.stop(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        await limiter.start()


def cpu(yard: Cluster) -> float:
    return sum(cpu_seconds(x.process.pid) for x in yard.limiters if x.process is not None)


async def calm(yard: Cluster, figures: Figures, seconds: float) -> None:
    """A turn without kills: latency, CPU and bytes of an order."""
    before = cpu(yard)
    sent = sum([(await x.counters()).get("custody.bytes", 0) for x in yard.limiters])
    await load(yard, figures, seconds, 1, True)
    orders = max(1, len(figures.took))
    figures.cpu_ms = (cpu(yard) - before) * 1000.0 / orders
    now = sum([(await x.counters()).get("custody.bytes", 0) for x in yard.limiters])
    figures.bytes = (now - sent) / orders


async def play(count: int, calm_s: float, off: Figures, on: Figures) -> None:
    with tempfile.TemporaryDirectory() as one, tempfile.TemporaryDirectory() as two:
        yards = [Cluster(Path(one), LIMITERS, NODES, more="\n"),
                 Cluster(Path(two), LIMITERS, NODES, more=f"[custody]\nkeep_s = {KEEP_S}\n")]
        for yard, figures in zip(yards, (off, on), strict=True):
            yard.settings = {"classes": [CLASSES[0], CLASS]}
            Racks(yard, figures)
        async with yards[0], yards[1]:
            for yard, figures in zip(yards, (off, on), strict=True):     # alone, one after the other
                await calm(yard, figures, calm_s)
            seconds = count * EVERY_S + 1.0
            await asyncio.gather(*(
                both for yard, figures in zip(yards, (off, on), strict=True)
                for both in (load(yard, figures, seconds, 2, False), kills(yard, count, 3))))
            for yard, figures in zip(yards, (off, on), strict=True):
                for limiter in yard.limiters:
                    figures.counts.update(await limiter.counters())


class Simulated:
    """One job whose holder dies, its three custodians in simulated time, messages that are late or lost."""

    def __init__(self, limiters: int, loss: float, seed: int) -> None:
        self.chance, self.loss, self.limiters = random.Random(seed), loss, limiters
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.now, self.count, self.taken = 0.0, 0, -1.0
        self.busy: dict[int, int] = {}                           # rounds of who is claiming
        key = self.chance.getrandbits(64)
        self.group = cu.group_of(key, limiters)
        holder = next(i for i in range(limiters) if i not in self.group)
        self.of = {i: cu.Custodian(i, -1e9, 1e9, 1 << 30) for i in self.group}
        content = cu.Content("r", b"POST", b"/", (), b"", "s", "p", "c", 1.0, 0, 1)
        record = cu.Record(key, 1, 1, 1, holder, 1, cu.JobState.SENT, 1e9, content=content)
        last = -self.chance.uniform(0.0, cu.HEARTBEAT_MS)             # the holder's last word before it died
        for custodian in self.of.values():
            custodian.handle(last, cu.Claim(key, 1, 1, holder, 1, True))
            custodian.handle(last + self.delay(), cu.Keep(record))
            self.at(
                self.chance.uniform(0.0, cu.ORPHAN_SCAN_MS), functools.partial(self.look, custodian.number)
            )

    def delay(self) -> float:
        """The brief's: 1 to 39 ms."""
        return self.chance.uniform(1.0, 39.0)

    def at(self, when: float, act: Callable[[], object]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, act))

    def look(self, number: int) -> None:
        self.at(self.now + cu.ORPHAN_SCAN_MS, functools.partial(self.look, number))
        for record, term in list(self.of[number].orphans(self.now, self.limiters)):
            if number in self.busy:
                continue
            hand = cu.HolderSession(number, 1, record.key, record.body, self.group)
            hand.term = term
            self.busy[number] = 1
            self.claim(hand)

    def round(
        self, hand: cu.HolderSession, ask: cu.CustodyMessage, judge: Callable[[int, cu.Reply | None], object]
    ) -> None:
        """As the keeper does it: each custodian's word, or none after REPLY_TIMEOUT_MS."""
        for i in self.group:
            if i == hand.number:
                judge(i, self.of[i].handle(self.now, ask))
            elif self.chance.random() < self.loss:
                self.at(self.now + cu.REPLY_TIMEOUT_MS, functools.partial(judge, i, None))
            else:
                self.at(self.now + self.delay(), functools.partial(self.arrive, i, ask, judge))

    def arrive(self, i: int, ask: cu.CustodyMessage, judge: Callable[[int, cu.Reply | None], object]) -> None:
        word = self.of[i].handle(self.now, ask)
        if self.chance.random() < self.loss:
            self.at(self.now + cu.REPLY_TIMEOUT_MS, functools.partial(judge, i, None))
        else:
            self.at(self.now + self.delay(), functools.partial(judge, i, word))

    def voted(self, hand: cu.HolderSession, claim: int, i: int, word: cu.Reply | None) -> None:
        if hand.step or claim != hand.term or (turn := hand.count_vote(i, word)) is None:
            return
        if turn is cu.ClaimOutcome.ACQUIRED and hand.record is not None:
            keep = hand.keep(self.now, hand.record)
            self.round(hand, keep, functools.partial(self.kept, hand))
        elif turn is cu.ClaimOutcome.RETRY and self.busy[hand.number] < MAX_TAKEOVER_CLAIMS:
            self.busy[hand.number] += 1
            self.withdraw(hand)
            self.at(self.now + self.chance.uniform(0.2, 1.0) * CLAIM_BACKOFF_MS,
                    functools.partial(self.claim, hand))
        elif turn is not cu.ClaimOutcome.ACQUIRED:
            self.withdraw(hand)
            hand.step = -1
            self.busy.pop(hand.number, None)

    def claim(self, hand: cu.HolderSession) -> None:
        claim = hand.claim(self.now)
        self.round(hand, claim, functools.partial(self.voted, hand, claim.term))

    def withdraw(self, hand: cu.HolderSession) -> None:
        word = hand.withdraw()
        for custodian in self.of.values():
            if self.chance.random() >= self.loss:
                self.at(self.now + self.delay(), functools.partial(custodian.handle, self.now, word))

    def kept(self, hand: cu.HolderSession, i: int, word: cu.Reply | None) -> None:
        good = hand.count_kept(i, word) if hand.number in self.busy else None
        if good and self.taken < 0:
            self.taken = self.now
        elif good is False:
            self.busy.pop(hand.number, None)

    def play(self) -> float:
        """Ms from the holder's death until another has the job, and two custodians know it."""
        while self.taken < 0 and self.now < 60_000.0:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        return self.taken if self.taken >= 0 else 60_000.0


def simulated(limiters: int, loss: float, jobs: int) -> tuple[list[float], float]:
    """Times of so many takeovers, sorted, and the part of them within the stated bound."""
    took = sorted(Simulated(limiters, loss, seed).play() for seed in range(jobs))
    return took, sum(t <= bound.takeover_time() for t in took) / jobs


def part(sorted_values: list[float], of: float) -> float:
    return sorted_values[min(len(sorted_values) - 1, int(len(sorted_values) * of))] if sorted_values else 0.0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--kills", type=int, default=0)
    args = parser.parse_args()
    count = args.kills or (QUICK_KILLS if args.quick else KILLS)
    off, on = Figures(), Figures()
    asyncio.run(play(count, QUICK_CALM_S if args.quick else CALM_S, off, on))
    print(f"{machine()}; {LIMITERS} limiters, {RATE:g} orders a second, {count} kills, "
          f"nodes work {WORK_S:g} s")
    print("custody   in hand  in time  late  ran twice  p50 s  p99 s  calm p50 ms  p99 ms  CPU ms  "
          "bytes an order")
    for name, f in (("off", off), ("on", on)):
        waits, took = sorted(f.waits), sorted(f.took)
        print(f"{name:8}  {f.in_hand:7}  {f.rescued / max(1, f.in_hand):7.1%}  {f.late:4}  "
              f"{sum(n > 1 for n in f.ran.values()):9}  {part(waits, 0.5):5.2f}  {part(waits, 0.99):5.2f}  "
              f"{1000 * part(took, 0.5):11.1f}  {1000 * part(took, 0.99):6.1f}  "
              f"{f.cpu_ms:6.2f}  {f.bytes:14.0f}")
    added = [1000 * (part(sorted(on.took), p) - part(sorted(off.took), p)) for p in (0.5, 0.99)]
    print(f"custody adds {added[0]:.1f} ms at the median, {added[1]:.1f} ms at the 99th percentile; "
          f"CPU of an order times {on.cpu_ms / max(1e-9, off.cpu_ms):.2f}")
    print("of custody: " + ", ".join(f"{k[8:]} {n}" for k, n in sorted(on.counts.items())
                                     if k.startswith("custody.") and k != "custody.bytes"))
    wrong = []
    print("\nsimulated, messages 1 to 39 ms: ms until another has the job "
          f"(stated: {bound.takeover_time():.0f})")
    for limiters in (6, 200):
        for loss in (0.0, 0.065):
            times, within = simulated(limiters, loss, 200 if args.quick else 2000)
            print(f"{limiters:4} limiters, {loss:5.1%} lost: p50 {part(times, 0.5):.0f}, "
                  f"p99 {part(times, 0.99):.0f}, within the stated {within:.1%}")
            if within < (1.0 if not loss else 0.97):
                wrong.append(f"{1 - within:.1%} of the takeovers at {limiters} limiters took longer")
    if twice := sum(n > 1 for n in on.ran.values()):
        wrong.append(f"{twice} orders ran twice")
    if on.rescued < 0.9 * on.in_hand:
        wrong.append(f"{on.rescued} of {on.in_hand} orders in hand were served in time")
    if part(sorted(on.waits), 0.99) > 1.5:
        wrong.append(f"the 99th percentile took {part(sorted(on.waits), 0.99):.2f} s")
    print("taken over once" if not wrong else "not: " + "; ".join(wrong))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
