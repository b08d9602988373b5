"""Fault injection for quotas in simulated time: tenants that begin and stop while limiters are in trouble.

Tenants are idle, send less than their rate, or many times their rate, to all limiters, to a few or to their
owner first.  Meanwhile limiters and core machines are cut off, killed, frozen or shut down, alone, in turn or
together.  The rule QUOTA must hold at any moment, over all limiters, in touch or not.

    python -m larklb.lab.quota_faults [--days N] [--seed S] [--fault NAME] [--jobs J] [--log]

prints the seed and the worst window of each limit that was exceeded, and exits with 1 if any was.  ``--log``
plays one day and prints its steps with the limiters' log lines on quotas.
"""

from __future__ import annotations

import argparse
import logging
import sys
from collections.abc import Callable

from attrs import define, field

from larklb.admission.quota_records import Allowance
from larklb.lab.control_world import Machine
from larklb.lab.parallel import play_in_processes
from larklb.lab.quota_world import DEADLINE_MS, FURTHER_TRIES, QuotaWorld, TenantRecord

LENGTH_MS = 40_000.0
# Quotas of the tenants, (requests per second, burst).
QUOTAS = ((25.0, 25.0), (63.0, 63.0), (8.0, 8.0), (10.0, 100.0))
TENANTS_PER_DAY = 2
# Load of a tenant relative to its rate: idle, usual and far too much.
LOADS = (0.0, 0.0, 0.6, 0.6, 5.0, 12.0)
PHASE_MS = (500.0, 9_000.0)  # for which a tenant keeps its load, (min, max)
FAULT_GAP_MS = (300.0, 8_000.0)
CUT_MS = (1_000.0, 14_000.0)
DOWN_MS = (200.0, 5_000.0)
TARGETS = ("all", "all", "few", "owner", "core")


@define
class Episode:
    """A tenant's load for some time: its rate, and the limiters to which its clients send first."""

    tenant: str
    per_s: float
    nodes: list[str]
    until: float


@define
class QuotaDay:
    """One simulated day; ``fault`` restricts the faults to one kind."""

    seed: int
    fault: str = ""
    world: QuotaWorld = field(init=False)

    def __attrs_post_init__(self) -> None:
        allowances = [
            Allowance(f"tenant{self.seed}-{index}", *QUOTAS[(self.seed + index) % len(QUOTAS)])
            for index in range(TENANTS_PER_DAY)
        ]
        self.world = QuotaWorld(self.seed, allowances)

    def play(self) -> list[TenantRecord]:
        """Runs the day; returns the records of the tenants for which the rule was broken."""
        world = self.world
        world.found()
        end = world.now + LENGTH_MS
        for tenant in world.records:
            self._begin_phase(tenant, end)
        world.at(world.rng.uniform(*FAULT_GAP_MS), lambda: self._inject(end))
        world.run(LENGTH_MS)
        return [record for record in world.records.values() if record.excess() > 0]

    # Load -------------------------------------------------------------------------------------

    def _begin_phase(self, tenant: str, end: float) -> None:
        world = self.world
        if world.now >= end:
            return
        length = world.rng.uniform(*PHASE_MS)
        load = world.rng.choice(LOADS)
        per_s = load * world.records[tenant].allowance.rate
        if per_s:
            episode = Episode(tenant, per_s, self._choose_nodes(tenant), min(end, world.now + length))
            world.note(f"{tenant} sends {per_s:.0f} a second to {', '.join(episode.nodes) or 'all'} first")
            self._send_next(episode)
        world.at(length, lambda: self._begin_phase(tenant, end))

    def _choose_nodes(self, tenant: str) -> list[str]:
        """Returns the limiters to which the tenant's clients send first; none stands for all."""
        world, target = self.world, self.world.rng.choice(TARGETS)
        if target == "few":
            return world.rng.sample(sorted(world.machines), 3)
        if target == "owner":
            return world.owner_nodes(tenant)[:1]
        if target == "core":
            return [world.rng.choice(world.cores()).node]
        return []

    def _send_next(self, episode: Episode) -> None:
        world = self.world
        if world.now >= episode.until:
            return
        ready = world.ready_nodes()
        nodes = [node for node in episode.nodes if node in ready] or ready
        if nodes:
            deadline = world.now + DEADLINE_MS
            world.send_request(episode.tenant, world.rng.choice(nodes), deadline, FURTHER_TRIES)
        world.at(world.rng.expovariate(episode.per_s / 1000.0), lambda: self._send_next(episode))

    # Faults -----------------------------------------------------------------------------------

    def _inject(self, end: float) -> None:
        world = self.world
        if world.now >= end:
            return
        name = self.fault or world.rng.choice(sorted(FAULTS))
        FAULTS[name](self)
        world.at(world.rng.uniform(*FAULT_GAP_MS), lambda: self._inject(end))

    def _running(self, machines: list[Machine]) -> list[Machine]:
        return [machine for machine in machines if machine.up and not machine.leaving]

    def _leader(self) -> Machine | None:
        leaders = [
            m for m in self._running(self.world.cores()) if m.core is not None and m.core.replica.is_leader
        ]
        return leaders[0] if leaders else None

    def _core_machine(self) -> Machine | None:
        """Returns the leader, or at times another core machine."""
        leader = self._leader()
        if leader is not None and self.world.rng.random() < 0.7:
            return leader
        running = self._running(self.world.cores())
        return self.world.rng.choice(running) if running else None

    def _some_machines(self) -> list[Machine]:
        running = self._running(list(self.world.machines.values()))
        count = min(len(running), self.world.rng.choice((1, 1, 2, 4)))
        return self.world.rng.sample(running, count)

    def _owner_machine(self) -> Machine | None:
        tenant = self.world.rng.choice(sorted(self.world.records))
        owners = [self.world.machines[n] for n in self.world.owner_nodes(tenant) if n in self.world.machines]
        running = self._running(owners)
        return self.world.rng.choice(running) if running else None

    def _cut(self, machine: Machine | None) -> None:
        if machine is None:
            return
        world = self.world
        others = world.cores() if world.rng.random() < 0.5 else list(world.machines.values())
        one_way = world.rng.random() < 0.2
        world.cut_off(machine, [other for other in others if other is not machine], one_way)
        world.at(world.rng.uniform(*CUT_MS), lambda: world.reconnect(machine))

    def _kill(self, machine: Machine | None) -> None:
        if machine is None:
            return
        self.world.kill(machine, power=True)
        self.world.at(self.world.rng.uniform(*DOWN_MS), lambda: self.world.restart(machine))

    def _freeze(self, machine: Machine | None) -> None:
        if machine is None:
            return
        self.world.freeze(machine)
        self.world.at(self.world.rng.uniform(*DOWN_MS), lambda: self.world.thaw(machine))

    def _terminate(self, machine: Machine | None) -> None:
        if machine is None:
            return
        grace_ms = self.world.rng.uniform(700.0, 4_000.0)
        self.world.terminate(machine, grace_ms)
        self.world.at(grace_ms + 300.0, lambda: self.world.restart(machine))

    def cut_core(self) -> None:
        """Cuts a core machine off, mostly the leader's."""
        self._cut(self._core_machine())

    def cut_owner(self) -> None:
        """Cuts the owner of a tenant off."""
        self._cut(self._owner_machine())

    def cut_some(self) -> None:
        """Cuts some machines off."""
        for machine in self._some_machines():
            self._cut(machine)

    def kill_core(self) -> None:
        """Kills a core machine, mostly the leader's."""
        self._kill(self._core_machine())

    def kill_owner(self) -> None:
        """Kills the owner of a tenant."""
        self._kill(self._owner_machine())

    def kill_some(self) -> None:
        """Kills some machines."""
        for machine in self._some_machines():
            self._kill(machine)

    def kill_many(self) -> None:
        """Kills more than half of all machines, or all."""
        share = self.world.rng.choice((0.6, 1.0))
        for machine in self._running(list(self.world.machines.values())):
            if self.world.rng.random() < share:
                self._kill(machine)

    def freeze_some(self) -> None:
        """Freezes a core machine, an owner or some machines."""
        for machine in self.world.rng.choice(
            ([self._core_machine()], [self._owner_machine()], self._some_machines())
        ):
            self._freeze(machine)

    def terminate_some(self) -> None:
        """Shuts some machines down in order, and starts them again."""
        for machine in self.world.rng.choice(([self._owner_machine()], self._some_machines())):
            self._terminate(machine)


FAULTS: dict[str, Callable[[QuotaDay], None]] = {
    "cut-core": QuotaDay.cut_core,
    "cut-owner": QuotaDay.cut_owner,
    "cut-some": QuotaDay.cut_some,
    "kill-core": QuotaDay.kill_core,
    "kill-owner": QuotaDay.kill_owner,
    "kill-some": QuotaDay.kill_some,
    "kill-many": QuotaDay.kill_many,
    "freeze": QuotaDay.freeze_some,
    "terminate": QuotaDay.terminate_some,
}


@define(frozen=True)
class Task:
    """Parameters of a simulated day."""

    seed: int
    fault: str = ""


@define(frozen=True)
class Outcome:
    """The result of a day: a description of each broken limit, and figures of all tenants together."""

    task: Task
    broken: tuple[str, ...]
    tries: int
    runs: int
    worst_excess: float


def play_day(task: Task) -> tuple[Outcome, QuotaDay]:
    """Runs a day."""
    day = QuotaDay(task.seed, task.fault)
    broken = tuple(record.describe() for record in day.play())
    records = day.world.records.values()
    outcome = Outcome(
        task,
        broken,
        sum(record.tries for record in records),
        sum(len(record.runs) for record in records),
        max(record.excess() for record in records),
    )
    return outcome, day


def play_task(task: Task) -> Outcome:
    """Runs a day in a worker process."""
    logging.getLogger().setLevel(logging.CRITICAL)
    return play_day(task)[0]


def main(arguments: list[str] | None = None) -> int:
    """Runs the command and returns its exit status."""
    parser = argparse.ArgumentParser(prog="python -m larklb.lab.quota_faults")
    parser.add_argument("--days", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1, help="of the first day")
    parser.add_argument("--fault", choices=sorted(FAULTS), default="", help="this one alone")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--log", action="store_true", help="one day, with its steps and log lines on quotas")
    options = parser.parse_args(arguments)
    if options.log:
        return _show_day(Task(options.seed, options.fault))
    tasks = [Task(options.seed + index, options.fault) for index in range(options.days)]
    broken, tries, runs = 0, 0, 0
    for outcome in play_in_processes(play_task, options.jobs, tasks):
        tries, runs = tries + outcome.tries, runs + outcome.runs
        broken += bool(outcome.broken)
        for text in outcome.broken:
            print(f"seed {outcome.task.seed}: {text}", flush=True)
    print(f"{len(tasks)} days, {broken} with a broken limit; {tries} tries, {runs} run")
    return 1 if broken else 0


class _SimulatedTimeHandler(logging.Handler):
    """Appends log lines to the trace of the day."""

    def __init__(self, world: QuotaWorld) -> None:
        super().__init__()
        self.world = world

    def emit(self, record: logging.LogRecord) -> None:
        """Appends the line."""
        self.world.note(record.getMessage())


def _show_day(task: Task) -> int:
    day = QuotaDay(task.seed, task.fault)
    logger = logging.getLogger("quota")
    logger.setLevel(logging.INFO)
    logger.addHandler(_SimulatedTimeHandler(day.world))
    logger.propagate = False
    logging.getLogger("consensus").addHandler(_SimulatedTimeHandler(day.world))
    logging.getLogger("consensus").setLevel(logging.INFO)
    broken = day.play()
    print("\n".join(day.world.log))
    for record in day.world.records.values():
        print(record.describe())
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
