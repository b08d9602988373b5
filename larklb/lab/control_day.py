"""One simulated day of the control side: its schedule, its callers, and the faults of its scenario.

``control_faults`` describes the scenarios, and ``control_day_faults`` defines their faults.
"""

from __future__ import annotations

import math
from functools import partial

from attrs import define, field

from larklb.lab.control_callers import Operators, Servers
from larklb.lab.control_day_faults import FAULTS, Faults
from larklb.lab.control_history import InvariantViolationError, Read
from larklb.lab.control_world import World

SCENARIOS = ("cut", "races", "replacement", "history", "answers", "mixed")
LENGTH_MS = 40_000.0  # of the part with faults, without founding and final checks
# Time limit for founding a group and acknowledging the first order.
MAX_FOUNDING_MS = 12_000.0

#: Time between orders, (min, max), for scenarios that don't use DEFAULT_GAP_MS.
GAP_MS = {"history": (40.0, 160.0), "races": (60.0, 500.0)}
DEFAULT_GAP_MS = (200.0, 1_200.0)
FAULT_GAP_MS = (300.0, 3_500.0)


@define
class Day:
    """One simulated day, determined by its scenario, seed, core size and tolerance."""

    scenario: str
    seed: int
    cores: int
    tolerance: int
    max_faults: int = 1 << 30  # faults after these aren't injected
    length: float = LENGTH_MS
    world: World = field(init=False)
    operators: Operators = field(init=False)
    servers: Servers = field(init=False)
    faults: Faults = field(init=False)
    fault_count: int = 0

    def __attrs_post_init__(self) -> None:
        self.world = World(self.seed, self.cores, self.tolerance)
        self.operators = Operators(self.world)
        self.servers = Servers(self.world, self.operators)
        self.faults = Faults(self.world, self.operators, self.servers, self.tolerance)

    # The course of a day --------------------------------------------------------------------

    def play(self) -> None:
        """Runs the day.

        Raises:
            InvariantViolationError: An invariant doesn't hold.
        """
        self._found_group()
        for _ in range(3):
            self.servers.start()
        end = self.world.now + self.length
        self.world.at(0.0, lambda: self._send_orders(end))
        self.world.at(500.0, lambda: self._send_reads(end))
        self.world.at(1_500.0, lambda: self._start_drains(end))
        self.world.at(self.world.rng.uniform(*FAULT_GAP_MS), lambda: self._inject_faults(end))
        self.world.run(self.length)
        self._finish()

    def _found_group(self) -> None:
        """Founds the group, at times with as many machines absent as founding allows."""
        world = self.world
        cores = world.cores()
        absent_count = min(self.tolerance, self.cores - 2 * self.tolerance)
        latecomers = world.rng.sample(cores, absent_count) if world.rng.random() < 0.3 else []
        for machine in world.machines.values():
            if machine not in latecomers:
                world.at(world.rng.uniform(0, 300), partial(world.start, machine))
        first = self.operators.order(0, 1)
        while first.acknowledged == math.inf and world.now < MAX_FOUNDING_MS:
            world.run(500.0)
        world.bootstrap = False
        if first.acknowledged == math.inf:
            raise InvariantViolationError("no group has been founded")
        for machine in latecomers:
            world.note(f"{machine.node} comes late")
            world.restart(machine)
            self.faults.mark_lost(machine, 0.0)

    def _finish(self) -> None:
        """Ends all faults and runs the final checks.

        An order must be acknowledged in time, and a final read must be consistent with all answers.
        """
        world, bounds = self.world, self.world.bounds
        self.operators.paused, self.operators.answer_loss_rate = True, 0.0
        world.heal()
        world.run(bounds.contact_ms)
        last = self.operators.order(self.operators.newest_version, self.operators.newest_version + 1)
        world.run(bounds.ack_ms)
        if last.acknowledged == math.inf and last.refused == math.inf:
            raise InvariantViolationError("no order is acknowledged after the day")
        reads: list[Read] = []
        for _ in range(20):
            if not reads:
                self.operators.read(done=reads.append)
                world.run(1_000.0)
        if not reads:
            raise InvariantViolationError("no read is answered after the day")
        self.operators.history.check(reads[-1])
        newest = reads[-1].version
        behind = [m.node for m in world.machines.values() if m.version < newest]
        if behind:
            raise InvariantViolationError(f"{', '.join(behind)} haven't learnt version {newest}")
        for name in self.operators.versions_in_force:
            if self.operators.history.orders[name].refused < math.inf:
                raise InvariantViolationError(f"{name} was refused, and was in force")

    def _send_orders(self, end: float) -> None:
        world, operators = self.world, self.operators
        if world.now >= end:
            return
        world.at(
            world.rng.uniform(*GAP_MS.get(self.scenario, DEFAULT_GAP_MS)), lambda: self._send_orders(end)
        )
        base = operators.newest_version
        concurrent_count = 1
        if self.scenario in ("races", "mixed") and world.rng.random() < 0.5:
            concurrent_count = world.rng.choice((2, 2, 3, 8))
        same_version = world.rng.random() < 0.5
        for index in range(concurrent_count):
            step = 1 if same_version else 1 + index
            operators.order(base, base + step)

    def _send_reads(self, end: float) -> None:
        if self.world.now < end:
            self.world.at(self.world.rng.uniform(150, 900), lambda: self._send_reads(end))
            self.operators.read()

    def _start_drains(self, end: float) -> None:
        if self.world.now < end:
            self.world.at(self.world.rng.uniform(1_000, 5_000), lambda: self._start_drains(end))
            self.servers.drain()

    # Faults ---------------------------------------------------------------------------------

    def _inject_faults(self, end: float) -> None:
        world = self.world
        if world.now >= end or self.fault_count >= self.max_faults:
            return
        self.fault_count += 1
        names = FAULTS[self.scenario]
        name = world.rng.choices(list(names), list(names.values()))[0]
        self.faults.inject(name)
        world.at(world.rng.uniform(*FAULT_GAP_MS), lambda: self._inject_faults(end))
