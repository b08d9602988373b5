"""Compares the stated bounds of the fleet with simulated figures, for 3 to 500 limiters.

The figures are: the ages of verdicts by fleet size and message loss; the effect of one limiter that reports
healthy nodes as failing; how evenly limiters cover the servers; and the wait for a quota decision and the CPU
time per decision of the whole module, with the former and the present pacing of messages in one run.  All but
the CPU time is the same on every machine.  The last line is ``within the bound``, or what was not.

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

RATE = 20.0                # tries per second at a limiter, as in the operators' fleet
LOSS = 0.065               # fraction of lost messages, as the fleet's days show it
SECONDS = 12.0             # simulated time of one run


class UniformPacer(PeerPacer):
    """The former pacing: one interval for all peers, and retries without backoff."""

    def next_send_at(self, now: float, peer: int, senders: int) -> float:
        """Returns the time of the next message to a peer in ms; ``senders`` is the number of recent ones."""
        state = self.peers.get(peer)
        return max(now, state.last_sent_at + self.fair_interval(senders)) if state is not None else now

    def is_cut_off(self, now: float) -> bool:
        """Returns False: the former pacing did not detect that a limiter hears nobody."""
        return False

    def _retry_timeout(self, peer: int, tries: int) -> float:
        return min(max(self.initial_timeout, 2 * self.fair_interval(max(1, len(self.inbox_by_peer)))), 175.0)


class MeasuredNet(net.Net):
    """Also measures the CPU time of all events, and how long requests wait for their first attempt."""

    def __init__(self, gateway_count: int, customers: list[net.Customer], link: net.Link, seed: int,
                 uniform: bool) -> None:
        """``uniform`` selects the former pacing."""
        self.arrived_at: dict[str, float] = {}
        self.waits: list[float] = []           # ms
        self.cpu_s, self.uniform = 0.0, uniform
        super().__init__(gateway_count, customers, link, seed)

    def start_limiter(self, number: int) -> None:
        """Starts a limiter, or restarts it without state, with the pacing of this run."""
        super().start_limiter(number)
        if self.uniform:
            gateway = self.gateways[number]
            gateway.pace = gateway.outbox.pace = UniformPacer(
                gateway.settings.inbox_per_s, gateway.settings.tick, gateway.min_aim)

    def deliver_event(self, number: int, event: io.Event) -> None:
        """Passes an event to a limiter and adds the CPU time that this takes."""
        if isinstance(event, io.Request):
            self.arrived_at[event.request] = self.now
        began = time.process_time()
        super().deliver_event(number, event)
        self.cpu_s += time.process_time() - began

    def _perform_actions(self, number: int, actions: list[io.Action]) -> None:
        for action in actions:
            if isinstance(action, io.Send) and action.request in self.arrived_at:
                self.waits.append(self.now - self.arrived_at.pop(action.request))
        super()._perform_actions(number, actions)


class Wait(NamedTuple):
    """The figures of one run of the whole decision module."""

    mean: float                # ms
    late: float                # fraction of the admitted requests that waited for more than 500 ms
    messages: float            # per second at a limiter
    bytes: float               # per try
    cpu_us: float              # per try
    overflown: float           # messages lost at full inboxes


def waits(run: tuple[int, bool, int]) -> Wait:
    """Simulates a fleet; ``run`` is its size, whether it uses the former pacing, and the seed."""
    limiters, uniform, seed = run
    scenario = net.Scenario("fleet", "", loss=LOSS)
    customers = net.customers_of(scenario, limiters, limiters * 6, min(3, limiters), seed)
    total_demand = sum(c.demand(0.0) for c in customers)
    for customer in customers:
        rate = customer.demand(0.0) * RATE * limiters / total_demand
        customer.demand = lambda now, rate=rate: rate         # type: ignore[misc]
    simulation = MeasuredNet(limiters, customers, net.link_of(scenario, limiters), seed, uniform)
    simulation.run(SECONDS * 1000.0)
    tries = sum(c.tries for c in customers)
    return Wait(statistics.mean(simulation.waits),
                sum(w > 500.0 for w in simulation.waits) / len(simulation.waits),
                simulation.messages / limiters / SECONDS, simulation.bytes / tries,
                simulation.cpu_s / tries * 1e6, simulation.overflowed)


class Ages(NamedTuple):
    """The ages of the verdicts of one run in ms, and the mean size of its messages."""

    median: float
    most: float                # 99.9th percentile
    bytes: float


def ages(run: tuple[int, float, int, bool]) -> Ages:
    """Simulates the spread of findings.

    ``run`` is the size of the fleet, the fraction of lost messages, the seed, and whether findings are spread
    in the former way.
    """
    limiters, loss, seed, former = run
    subjects = 200 if limiters < 10 else 40 if limiters < 100 else 8
    fleet = spread.simulate(limiters, loss, seed, subjects, spread.UnboundedGossip if former else Verdicts)
    pairs = fleet.convergence_ages()
    return Ages(pairs[len(pairs) // 2], pairs[min(len(pairs) - 1, int(len(pairs) * 0.999))],
                fleet.bytes / fleet.messages)


def condemned(limiters: int, former: bool) -> int:
    """Returns the number of false verdicts if one limiter reports eight healthy nodes as bad.

    A false verdict is a pair of a limiter and a healthy node that it considers bad.
    """
    fleet = spread.Fleet(limiters, 0.02, 1, spread.UnboundedGossip if former else Verdicts)
    fleet.add_faulty_observer(limiters // 2, spread.FIRST_FAULT_MS, range(8))
    fleet.run(spread.FIRST_FAULT_MS + 6000.0)
    return len(fleet.false_verdicts)


def reaches(limiters: int, servers: int) -> tuple[int, float, int]:
    """Returns the smallest, the mean and the largest number of limiters that send to a server."""
    digests = [digest(f"s{i}") & 0xFFFF for i in range(servers)]
    counts = [0] * servers
    for number in range(limiters):
        for server in Reach(number, limiters).select(digests):
            counts[server] += 1
    return min(counts), sum(counts) / servers, max(counts)


def main() -> int:
    """Runs all comparisons and prints them; returns 0 if all figures are within their bounds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seeds", type=int, default=0)
    args = parser.parse_args()
    seeds = args.seeds or (1 if args.quick else 5)
    violations: list[str] = []
    print(f"machine: {machine()}; {seeds} seeds")
    with multiprocessing.Pool() as pool:
        sizes = (3, 4, 32, 200) if args.quick else (3, 4, 9, 32, 200, 500)
        losses = (0.02, 0.2) if args.quick else (0.0, 0.02, 0.065, 0.2, 0.3)
        jobs = [(limiters, loss, seed, False) for limiters, loss in itertools.product(sizes, losses)
                for seed in range(1, seeds + 1)]
        ages_by_job = dict(zip(jobs, pool.map(ages, jobs, chunksize=1), strict=True))
        print("\nage of a verdict, ms      median  stated   99.9%  stated  bytes a message")
        for limiters, loss in itertools.product(sizes, losses):
            by_seed = [ages_by_job[limiters, loss, seed, False] for seed in range(1, seeds + 1)]
            median, most = max(a.median for a in by_seed), max(a.most for a in by_seed)
            stated = bound.age(limiters, loss)
            print(f"{limiters:4} limiters, {loss:5.1%} lost  "
                  f"{median:6.0f}  {stated.median:6.0f}  {most:6.0f}  "
                  f"{stated.tail:6.0f}  {statistics.mean(a.bytes for a in by_seed):5.0f}")
            if median > stated.median or most > stated.tail:
                violations.append(f"the age of verdicts for {limiters} limiters and {loss:.1%} lost")
        former_ages = pool.map(ages, [(limiters, 0.02, 1, True) for limiters in sizes])
        print("bytes a message as before: "
              + ", ".join(f"{limiters} limiters {a.bytes:.0f}"
                          for limiters, a in zip(sizes, former_ages, strict=True)))
        print("\none limiter calls eight good nodes bad: pairs of limiter and node condemned, before and now")
        for limiters in (4, 32, 200):
            former, present = condemned(limiters, True), condemned(limiters, False)
            print(f"{limiters:4} limiters  {former:5}  {present:5}")
            if present:
                violations.append(f"{present} condemned on the word of one of {limiters}")
        print("\nlimiters that send to a server: fewest, mean, most")
        for limiters, servers in ((9, 40), (32, 60), (60, 60), (200, 106), (200, 200), (500, 200)):
            smallest, mean, largest = reaches(limiters, servers)
            print(f"{limiters:4} limiters, {servers:3} servers  {smallest:3}  {mean:5.1f}  {largest:3}")
            if smallest < 1 or largest > 1.5 * mean + 1:
                violations.append(f"the spread of {limiters} limiters over {servers} servers")
        print(f"\nwait for a word on the quota, {LOSS:.1%} lost, {RATE:g} tries a second at each limiter")
        print("                 mean ms  over 500 ms  messages a s  bytes a try  lost for room  CPU us a try")
        fleets = (4, 60) if args.quick else (4, 60, 200)
        runs = [(limiters, uniform, seed) for limiters in fleets for uniform in (True, False)
                for seed in range(1, seeds + 1)]
        rows = dict(zip(runs, pool.map(waits, runs, chunksize=1), strict=True))
    cpu_us_by_size: dict[int, float] = {}
    for limiters, uniform in itertools.product(fleets, (True, False)):
        fleet_by_seed = [rows[limiters, uniform, seed] for seed in range(1, seeds + 1)]
        means = Wait(*(statistics.mean(values) for values in zip(*fleet_by_seed, strict=True)))
        print(f"{limiters:4} limiters, {'before' if uniform else 'now   '}  "
              f"{means.mean:6.1f}  {means.late:10.2%}  "
              f"{means.messages:11.1f}  {means.bytes:11.1f}  {means.overflown:11.1f}  {means.cpu_us:11.0f}")
        if not uniform:
            cpu_us_by_size[limiters] = means.cpu_us
            if means.mean > 80.0 or means.late > 0.01:
                violations.append(f"the wait for a word at {limiters} limiters")
    print("CPU a try, of that with 4 limiters: "
          + ", ".join(f"{limiters}: {cpu_us / cpu_us_by_size[4]:.2f}"
                      for limiters, cpu_us in cpu_us_by_size.items()))
    print("within the bound" if not violations else "not within the bound: " + "; ".join(violations))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
