"""What the fleet states in advance laid beside what comes out, for 4 to 500 limiters, in simulated time.

Ages of verdicts by size and loss; a limiter that calls good nodes failing; how evenly servers are covered;
the wait for a word on the quota and the CPU per decision of the whole module, with words paced as before and
as now, in one run.  All but the CPU is the same on every machine.  Last line: ``within the bound``, or what
was not.

    python -m benchmarks.fleet_limits [--quick] [--seeds N]
"""

from __future__ import annotations

import argparse
import itertools
import multiprocessing
import statistics
import sys
import time
from typing import NamedTuple

from benchmarks.load import machine
from larklb import interface as io
from larklb.fleet import bound
from larklb.fleet.pace import PeerPacer
from larklb.fleet.reach import Reach
from larklb.fleet.verdicts import Verdicts
from larklb.lab import net, spread
from larklb.quota.ring import digest

RATE = 20.0                # tries a second at a limiter, as in the operators' fleet
LOSS = 0.065               # of the messages, as the fleet's days show it
SECONDS = 12.0             # of the module's day


class Spaced(PeerPacer):
    """As words were paced before: one gap for all, asks go again after a part of the aim."""

    def next_send_at(self, now: float, peer: int, heard: int) -> float:
        way = self.peers.get(peer)
        return max(now, way.last_sent_at + self.fair_interval(heard)) if way is not None else now

    def is_cut_off(self, now: float) -> bool:
        return False

    def _retry_timeout(self, peer: int, tries: int) -> float:
        return min(max(self.initial_timeout, 2 * self.fair_interval(max(1, len(self.inbox_by_peer)))), 175.0)


class Waits(net.Net):
    """Also how long a job waits from its arrival to its first send, and the module's CPU for each event."""

    def __init__(self, gateways: int, customers: list[net.Customer], link: net.Link, seed: int,
                 spaced: bool) -> None:
        self.came: dict[str, float] = {}
        self.waits: list[float] = []
        self.spent, self.spaced = 0.0, spaced
        super().__init__(gateways, customers, link, seed)

    def begin(self, i: int) -> None:
        super().begin(i)
        if self.spaced:
            g = self.gateways[i]
            g.pace = g.outbox.pace = Spaced(g.settings.inbox_per_s, g.settings.tick, g.min_aim)

    def feed(self, i: int, event: io.Event) -> None:
        if isinstance(event, io.Request):
            self.came[event.request] = self.now
        began = time.process_time()
        super().feed(i, event)
        self.spent += time.process_time() - began

    def _carry_out(self, i: int, actions: list[io.Action]) -> None:
        for a in actions:
            if isinstance(a, io.Send) and a.request in self.came:
                self.waits.append(self.now - self.came.pop(a.request))
        super()._carry_out(i, actions)


class Wait(NamedTuple):
    mean: float
    late: float                # part of the admitted that waited for more than 500 ms
    messages: float            # a second at a limiter
    bytes: float               # for a try
    cpu_us: float              # for a try
    overflown: float


def waits(asked: tuple[int, bool, int]) -> Wait:
    limiters, spaced, seed = asked
    scenario = net.Scenario("fleet", "", loss=LOSS)
    customers = net.customers_of(scenario, limiters, limiters * 6, min(3, limiters), seed)
    all_ask = sum(c.demand(0.0) for c in customers)
    for c in customers:
        rate = c.demand(0.0) * RATE * limiters / all_ask
        c.demand = lambda now, rate=rate: rate         # type: ignore[misc]
    day = Waits(limiters, customers, net.link_of(scenario, limiters), seed, spaced)
    day.run(SECONDS * 1000.0)
    tries = sum(c.tries for c in customers)
    return Wait(statistics.mean(day.waits), sum(w > 500.0 for w in day.waits) / len(day.waits),
                day.messages / limiters / SECONDS, day.bytes / tries, day.spent / tries * 1e6, day.overflowed)


class Ages(NamedTuple):
    median: float
    most: float
    bytes: float


def ages(asked: tuple[int, float, int, bool]) -> Ages:
    limiters, loss, seed, before = asked
    things = 200 if limiters < 10 else 40 if limiters < 100 else 8
    fleet = spread.simulate(limiters, loss, seed, things, spread.UnboundedGossip if before else Verdicts)
    pairs = fleet.convergence_ages()
    return Ages(pairs[len(pairs) // 2], pairs[min(len(pairs) - 1, int(len(pairs) * 0.999))],
                fleet.bytes / fleet.messages)


def condemned(limiters: int, before: bool) -> int:
    """Pairs of a limiter and a good node that it condemns on the word of one that calls eight of them bad."""
    fleet = spread.Fleet(limiters, 0.02, 1, spread.UnboundedGossip if before else Verdicts)
    fleet.add_faulty_observer(limiters // 2, spread.FIRST_FAULT_MS, range(8))
    fleet.run(spread.FIRST_FAULT_MS + 6000.0)
    return len(fleet.false_verdicts)


def reaches(limiters: int, servers: int) -> tuple[int, float, int]:
    """The fewest, the mean and the most limiters that send to a server."""
    digests = [digest(f"s{i}") & 0xFFFF for i in range(servers)]
    count = [0] * servers
    for i in range(limiters):
        for place in Reach(i, limiters).select(digests):
            count[place] += 1
    return min(count), sum(count) / servers, max(count)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seeds", type=int, default=0)
    args = parser.parse_args()
    seeds = args.seeds or (1 if args.quick else 5)
    off: list[str] = []
    print(f"machine: {machine()}; {seeds} seeds")
    with multiprocessing.Pool() as pool:
        sizes = (3, 4, 32, 200) if args.quick else (3, 4, 9, 32, 200, 500)
        losses = (0.02, 0.2) if args.quick else (0.0, 0.02, 0.065, 0.2, 0.3)
        jobs = [(n, loss, seed, False) for n, loss in itertools.product(sizes, losses)
                for seed in range(1, seeds + 1)]
        found = dict(zip(jobs, pool.map(ages, jobs, chunksize=1), strict=True))
        print("\nage of a verdict, ms      median  stated   99.9%  stated  bytes a message")
        for n, loss in itertools.product(sizes, losses):
            all_of = [found[n, loss, seed, False] for seed in range(1, seeds + 1)]
            median, most = max(a.median for a in all_of), max(a.most for a in all_of)
            stated = bound.age(n, loss)
            print(f"{n:4} limiters, {loss:5.1%} lost  {median:6.0f}  {stated.median:6.0f}  {most:6.0f}  "
                  f"{stated.tail:6.0f}  {statistics.mean(a.bytes for a in all_of):5.0f}")
            if median > stated.median or most > stated.tail:
                off.append(f"the age of verdicts for {n} limiters and {loss:.1%} lost")
        was = pool.map(ages, [(n, 0.02, 1, True) for n in sizes])
        print("bytes a message as before: "
              + ", ".join(f"{n} limiters {a.bytes:.0f}" for n, a in zip(sizes, was, strict=True)))
        print("\none limiter calls eight good nodes bad: pairs of limiter and node condemned, before and now")
        for n in (4, 32, 200):
            before, now = condemned(n, True), condemned(n, False)
            print(f"{n:4} limiters  {before:5}  {now:5}")
            if now:
                off.append(f"{now} condemned on the word of one of {n}")
        print("\nlimiters that send to a server: fewest, mean, most")
        for n, servers in ((9, 40), (32, 60), (60, 60), (200, 106), (200, 200), (500, 200)):
            least, mean, most_of = reaches(n, servers)
            print(f"{n:4} limiters, {servers:3} servers  {least:3}  {mean:5.1f}  {most_of:3}")
            if least < 1 or most_of > 1.5 * mean + 1:
                off.append(f"the spread of {n} limiters over {servers} servers")
        print(f"\nwait for a word on the quota, {LOSS:.1%} lost, {RATE:g} tries a second at each limiter")
        print("                 mean ms  over 500 ms  messages a s  bytes a try  lost for room  CPU us a try")
        fleets = (4, 60) if args.quick else (4, 60, 200)
        runs = [(n, spaced, seed) for n in fleets for spaced in (True, False) for seed in range(1, seeds + 1)]
        rows = dict(zip(runs, pool.map(waits, runs, chunksize=1), strict=True))
    cpu: dict[int, float] = {}
    for n, spaced in itertools.product(fleets, (True, False)):
        some = [rows[n, spaced, seed] for seed in range(1, seeds + 1)]
        w = Wait(*(statistics.mean(x) for x in zip(*some, strict=True)))
        print(f"{n:4} limiters, {'before' if spaced else 'now   '}  {w.mean:6.1f}  {w.late:10.2%}  "
              f"{w.messages:11.1f}  {w.bytes:11.1f}  {w.overflown:11.1f}  {w.cpu_us:11.0f}")
        if not spaced:
            cpu[n] = w.cpu_us
            if w.mean > 80.0 or w.late > 0.01:
                off.append(f"the wait for a word at {n} limiters")
    print("CPU a try, of that with 4 limiters: "
          + ", ".join(f"{n}: {c / cpu[4]:.2f}" for n, c in cpu.items()))
    print("within the bound" if not off else "not within the bound: " + "; ".join(off))
    return 1 if off else 0


if __name__ == "__main__":
    sys.exit(main())
