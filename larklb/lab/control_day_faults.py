"""The faults that can be injected into a simulated day of the control side."""

from __future__ import annotations

import math
from functools import partial

from attrs import define, field

from larklb.gateway.control import OperatorRequest
from larklb.gateway.messages import CallResult
from larklb.lab.control_callers import Operators, Servers
from larklb.lab.control_history import InvariantViolationError
from larklb.lab.control_world import Machine, World

#: The faults of each scenario with their weights in the random choice.
FAULTS: dict[str, dict[str, int]] = {
    "cut": {
        "cut": 6,
        "freeze": 4,
        "disk": 3,
        "leader_cut": 5,
        "cut_and_restart": 2,
        "limiter": 1,
        "drain_and_lose": 4,
    },
    "races": {
        "lost_answers": 5,
        "kill": 2,
        "freeze_leader": 2,
        "kill_all": 1,
        "resend": 6,
        "drain_and_lose_all": 4,
    },
    "replacement": {
        "wipe": 5,
        "replace": 5,
        "planned": 3,
        "replacement_stopped": 3,
        "terminate": 4,
        "wipe_after_ack": 4,
        "kill": 1,
    },
    "history": {
        "away": 5,
        "restarts": 4,
        "disk": 2,
        "kill_all": 2,
        "resend": 3,
        "wipe": 1,
        "leader_lost_on_return": 4,
    },
    "answers": {
        "late_answers": 6,
        "loss": 5,
        "kill": 4,
        "limiter": 6,
        "freeze": 2,
        "kill_all": 1,
        "lost_answers": 2,
        "resend": 2,
    },
    "mixed": {
        **{
            "cut": 2,
            "leader_cut": 2,
            "freeze": 2,
            "freeze_leader": 1,
            "disk": 2,
            "lost_answers": 2,
            "kill": 2,
        },
        **{"kill_all": 1, "resend": 2, "wipe": 2, "replace": 2, "planned": 1, "terminate": 2, "away": 1},
        **{"restarts": 1, "loss": 2, "limiter": 2, "wipe_after_ack": 2, "cut_and_restart": 1},
        **{"leader_lost_on_return": 1, "drain_and_lose": 1, "replacement_stopped": 1},
    },
}

# Time limit for a machine that is cut off to reject a call: network delay, one tick, and a margin.
FAIL_FAST_MS = 300.0
# After this absence, a machine lacks more changes than the log retains as entries.
SNAPSHOT_LAG_MS = 6_000.0


@define
class Faults:
    """Injects faults into a world.

    A core machine counts as lost during its fault and for the convergence bound after it. No more than
    ``tolerance`` machines are lost at once, except that all of them may lose power together.
    """

    world: World
    operators: Operators
    servers: Servers
    tolerance: int
    # Core machines that count as lost, with the time at which each ceases to.
    lost: dict[str, float] = field(factory=dict)

    def inject(self, name: str) -> None:
        """Injects the fault with this name, a key of ``FAULTS``."""
        getattr(self, f"_{name}")()

    def mark_lost(self, machine: Machine, duration_ms: float) -> None:
        """Counts the machine as lost for ``duration_ms`` and the convergence bound after it."""
        self.lost[machine.node] = self.world.now + duration_ms + self.world.bounds.convergence_ms

    def _remaining_tolerance(self) -> int:
        self.lost = {node: until for node, until in self.lost.items() if until > self.world.now}
        return self.tolerance - len(self.lost)

    def _leader(self) -> Machine | None:
        cores = [m for m in self.world.cores() if m.up and m.core is not None and m.core.replica.is_leader]
        return cores[0] if cores else None

    def _choose_target(self, leader: bool = False) -> Machine | None:
        """Returns a core machine that may be lost now, the leader if ``leader`` and possible, or None."""
        if self._remaining_tolerance() <= 0:
            return None
        candidates = [m for m in self.world.cores() if m.up and m.node not in self.lost]
        current_leader = self._leader() if leader else None
        if current_leader is not None and current_leader in candidates:
            return current_leader
        return self.world.rng.choice(candidates) if candidates else None

    def _others(self, machine: Machine) -> list[Machine]:
        include_limiters = self.world.rng.random() < 0.5
        others = self.world.machines.values() if include_limiters else self.world.cores()
        return [other for other in others if other is not machine]

    def _cut(self, leader: bool = False) -> None:
        if (machine := self._choose_target(leader)) is None:
            return
        duration_ms = self.world.rng.choice((3_000.0, 8_000.0, 20_000.0))
        self.mark_lost(machine, duration_ms)
        one_way = self.world.rng.random() < 0.3
        self.world.cut_off(machine, self._others(machine), one_way)
        for delay in (200.0, 1_500.0, duration_ms / 2):
            self.world.at(delay, lambda: self.operators.read(machine))
        check_delay_ms = self.world.bounds.contact_ms + FAIL_FAST_MS
        if not one_way and check_delay_ms + FAIL_FAST_MS < duration_ms:
            incarnation = machine.incarnation
            self.world.at(check_delay_ms, lambda: self._check_fails_fast(machine, incarnation))
        self.world.at(duration_ms, lambda: self.world.reconnect(machine))

    def _check_fails_fast(self, machine: Machine, incarnation: int) -> None:
        """Checks that a machine without contact to the core for ``contactMs`` rejects calls at once."""
        sent_at, undisturbed_before = self.world.now, self.world.now - self.world.bounds.contact_ms
        if (
            machine.incarnation != incarnation
            or machine.disk_mode != "well"
            or machine.undisturbed_since > undisturbed_before
        ):
            return
        if not self.world.is_cut_off(machine) or self.operators.answer_loss_rate > 0.0:
            return
        answers: list[CallResult | None] = []
        call = OperatorRequest("replace", self.operators.newest_version, "{}")
        self.operators.send_call(
            lambda plane, done: plane.operator_call(self.world.now, call, done), answers.append, machine
        )

        def check() -> None:
            still_undisturbed = (
                machine.incarnation == incarnation
                and not machine.frozen
                and machine.undisturbed_since <= undisturbed_before
            )
            if still_undisturbed and not answers and self.operators.answer_loss_rate == 0.0:
                raise InvariantViolationError(
                    f"{machine.node}, cut off, lets a call of {sent_at / 1000.0:.3f} s wait "
                    f"{FAIL_FAST_MS:.0f} ms"
                )

        self.world.at(FAIL_FAST_MS, check)

    def _leader_cut(self) -> None:
        self._cut(leader=True)

    def _cut_and_restart(self) -> None:
        """Restarts a machine that is cut off while a limiter has only this machine as a seed."""
        if (machine := self._choose_target()) is None:
            return
        self.mark_lost(machine, 12_000.0)
        self.world.cut_off(machine, [m for m in self.world.cores() if m is not machine], False)
        self.world.at(2_000.0, lambda: self.world.kill(machine))
        self.world.at(2_400.0, lambda: self.world.restart(machine))
        limiter = self.world.machines["l0"]
        self.world.seeds = [machine.node]
        self.world.at(3_000.0, lambda: self.world.kill(limiter))
        self.world.at(3_300.0, lambda: self.world.restart(limiter))
        self.world.at(12_000.0, lambda: self.world.reconnect(machine))
        self.world.at(12_000.0, self._reset_seeds)

    def _reset_seeds(self) -> None:
        self.world.seeds = [machine.node for machine in self.world.cores()][:3]

    def _freeze(self, leader: bool = False) -> None:
        if (machine := self._choose_target(leader)) is None:
            return
        duration_ms = self.world.rng.uniform(600, 6_000)
        self.mark_lost(machine, duration_ms)
        self.world.freeze(machine)
        for _ in range(3):
            delay = duration_ms - self.world.rng.uniform(5, 600)
            self.world.at(max(0.0, delay), lambda: self._send_order_to(machine))
        self.world.at(duration_ms, lambda: self.world.thaw(machine))

    def _send_order_to(self, machine: Machine) -> None:
        """Sends an order and a read to this machine, which may be frozen, unless orders are paused."""
        if self.operators.paused:
            return
        base = self.operators.newest_version
        order = self.operators.order(base, base + 1)
        call = OperatorRequest("replace", base, order.body)

        def answered(status: int) -> None:
            if status == 200:
                self.operators.history.acknowledge(order, self.world.now)
            elif status == 412:
                self.operators.history.refuse(order, self.world.now)

        self.operators.send_call(
            lambda plane, done: plane.operator_call(self.world.now, call, done),
            lambda result: answered(result.status if result is not None else 503),
            machine,
        )
        self.operators.read(machine)

    def _freeze_leader(self) -> None:
        self._freeze(leader=True)

    def _disk(self) -> None:
        if (machine := self._choose_target(self.world.rng.random() < 0.5)) is None:
            return
        duration_ms = self.world.rng.uniform(2_000, 6_000)
        self.mark_lost(machine, duration_ms)
        self.world.set_disk_mode(machine, self.world.rng.choice(("slow", "full", "hanging")))
        self.world.at(duration_ms, lambda: self.world.set_disk_mode(machine, "well"))

    def _kill(self) -> None:
        if (machine := self._choose_target(self.world.rng.random() < 0.5)) is None:
            return
        duration_ms = self.world.rng.uniform(300, 3_000)
        self.mark_lost(machine, duration_ms)
        self.world.kill(machine, power=self.world.rng.random() < 0.5)
        self.world.at(duration_ms, lambda: self.world.restart(machine))

    def _kill_all(self) -> None:
        if self._remaining_tolerance() < self.tolerance:
            return
        for machine in self.world.cores():
            self.world.kill(machine, power=True)
            self.mark_lost(machine, 1_000.0)
            self.world.at(self.world.rng.uniform(200, 1_000), partial(self.world.restart, machine))

    def _wipe(self) -> None:
        if (machine := self._choose_target(self.world.rng.random() < 0.5)) is None:
            return
        self._wipe_and_restart(machine)

    def _wipe_and_restart(self, machine: Machine) -> None:
        duration_ms = self.world.rng.uniform(300, 3_000)
        self.mark_lost(machine, duration_ms)
        self.world.wipe(machine)
        self.world.at(duration_ms, lambda: self.world.restart(machine))

    def _wipe_after_ack(self) -> None:
        """Wipes ``tolerance`` disks right after an acknowledgement; the other core machines lose power."""
        if self._remaining_tolerance() < self.tolerance:
            return
        before = self.operators.acknowledged

        def check() -> None:
            if self.operators.acknowledged == before:
                if not self.operators.paused:
                    self.world.at(1.0, check)
                return
            if self._remaining_tolerance() < self.tolerance:
                return
            cores = self.world.cores()
            wiped = self.world.rng.sample(cores, self.tolerance)
            for machine in cores:
                if machine in wiped:
                    self._wipe_and_restart(machine)
                else:
                    self.world.kill(machine, power=True)
                    restart_delay_ms = self.world.rng.uniform(200, 1_000)
                    self.world.at(restart_delay_ms, partial(self.world.restart, machine))

        check()

    def _replace(self) -> None:
        if (machine := self._choose_target(self.world.rng.random() < 0.5)) is None:
            return
        self.mark_lost(machine, 1_000.0)
        self.world.remove(machine)
        self.world.at(1_000.0, self._add_replacement)

    def _add_replacement(self) -> Machine:
        machine = self.world.add_core(f"n{len(self.world.log)}")
        self.world.note(f"{machine.node} is new, with an empty disk")
        self.world.mark_disturbed(machine)
        self.mark_lost(machine, 0.0)
        self._reset_seeds()
        return machine

    def _planned(self) -> None:
        """Adds a replacement, then shuts the replaced machine down in order."""
        if (machine := self._choose_target(self.world.rng.random() < 0.5)) is None:
            return
        self.mark_lost(machine, 8_000.0)
        self._add_replacement()
        self.world.at(1_500.0, lambda: self.world.terminate(machine, 4_000.0))
        self.world.at(5_600.0, partial(self._remove_if_present, machine))

    def _replacement_stopped(self) -> None:
        """Removes a replacement while it joins the group; the machine that it was to replace stays."""
        if self._remaining_tolerance() <= 0:
            return
        replacement = self._add_replacement()
        self.world.at(self.world.rng.uniform(200, 6_000), lambda: self._stop_replacement(replacement))

    def _stop_replacement(self, replacement: Machine) -> None:
        if replacement.node not in self.lost and self._remaining_tolerance() <= 0:
            return  # it is a voter by now, and no further machine may be lost
        self.mark_lost(replacement, 0.0)
        self._remove_if_present(replacement)

    def _remove_if_present(self, machine: Machine) -> None:
        if machine.node in self.world.machines:
            self.world.remove(machine)

    def _terminate(self) -> None:
        if (machine := self._choose_target(self.world.rng.random() < 0.5)) is None:
            return
        grace_ms = self.world.rng.uniform(100, 4_000)
        self.mark_lost(machine, grace_ms + 500.0)
        self.world.terminate(machine, grace_ms)
        self.world.at(grace_ms + 500.0, lambda: self.world.restart(machine))

    def _away(self) -> None:
        """Stops or cuts off a machine for hundreds of changes."""
        if (machine := self._choose_target()) is None:
            return
        duration_ms = self.world.rng.uniform(8_000, 20_000)
        self.mark_lost(machine, duration_ms)
        if self.world.rng.random() < 0.5:
            self.world.kill(machine, power=True)
            self.world.at(duration_ms, lambda: self.world.restart(machine))
        else:
            self.world.cut_off(machine, self._others(machine), False)
            self.world.at(duration_ms, lambda: self.world.reconnect(machine))

    def _restarts(self) -> None:
        """Kills a machine with a slow disk repeatedly while it catches up."""
        if (machine := self._choose_target()) is None:
            return
        self.mark_lost(machine, 8_000.0)
        self.world.set_disk_mode(machine, "slow")
        for at in (0.0, 3_000.0, 3_900.0, 4_800.0, 5_700.0):
            self.world.at(at, lambda: self.world.kill(machine, power=True))
            self.world.at(at + 400.0, lambda: self.world.restart(machine))
        self.world.at(8_000.0, lambda: self.world.set_disk_mode(machine, "well"))

    def _leader_lost_on_return(self) -> None:
        """Reconnects a machine that lacks changes just as the leader loses power.

        A machine that had to catch up by a snapshot before receives a late duplicate of it.
        """
        if self._choose_target() is None or (leader := self._leader()) is None:
            return
        others = [m for m in self.world.cores() if m is not leader and m.up and m.node not in self.lost]
        if len(others) < 2:
            return
        first, second = self.world.rng.sample(others, 2)
        start_ms = 0.0
        if self.world.rng.random() < 0.5:
            start_ms = SNAPSHOT_LAG_MS + 1_000.0
            self.world.cut_off(first, self._others(first), False)
            self.world.at(SNAPSHOT_LAG_MS, lambda: self.world.reconnect(first))
        away_ms = self.world.rng.uniform(1_000, 3_000)
        for machine in (first, second, leader):
            self.mark_lost(machine, start_ms + away_ms + 3_000.0)
        self.world.at(start_ms, lambda: self.world.cut_off(second, self._others(second), False))
        self.world.at(start_ms + away_ms, lambda: self._return_and_lose(second, leader))

    def _return_and_lose(self, machine: Machine, leader: Machine) -> None:
        self.world.reconnect(machine)
        self.world.kill(leader, power=True)
        for other in self.world.cores():
            if other is not leader:
                self.world.repeat_snapshot(other)
        self.world.at(self.world.rng.uniform(1_500, 3_000), lambda: self.world.restart(leader))

    def _drain_and_lose(self) -> None:
        """Cuts the power of the core machine that acknowledges a drain at once, and ends the server."""
        if self._remaining_tolerance() <= 0:
            return

        def kill_acknowledger(machine: Machine) -> None:
            if self._remaining_tolerance() <= 0 or not machine.up or machine.node in self.lost:
                return
            duration_ms = self.world.bounds.drain_ms + self.world.rng.uniform(100, 1_000)
            self.mark_lost(machine, duration_ms)
            self.world.kill(machine, power=True)
            self.world.at(duration_ms, lambda: self.world.restart(machine))

        self.servers.on_drained = kill_acknowledger
        self.servers.drain()

    def _drain_and_lose_all(self) -> None:
        """Cuts the power of all core machines as soon as one acknowledges a drain; the server ends."""
        if self._remaining_tolerance() < self.tolerance:
            return

        def kill_core(machine: Machine) -> None:
            if self._remaining_tolerance() == self.tolerance:
                self._kill_all()

        self.servers.on_drained = kill_core
        self.servers.drain()

    def _loss(self) -> None:
        """Drops, duplicates and delays messages between all machines."""
        world = self.world
        world.note("messages are lost and repeated")
        world.loss_rate, world.duplicate_rate, world.core_disturbed_at = 0.1, 0.1, world.now
        world.at(3_000.0, self._end_loss)

    def _end_loss(self) -> None:
        self.world.note("messages come as usual")
        self.world.loss_rate = self.world.duplicate_rate = 0.0
        self.world.core_disturbed_at = self.world.now

    def _lost_answers(self) -> None:
        """Drops answers to callers."""
        self.world.note("answers to callers get lost")
        self.operators.answer_loss_rate = 0.5
        self.world.at(4_000.0, self._end_lost_answers)

    def _end_lost_answers(self) -> None:
        self.operators.answer_loss_rate, self.operators.answers_lost_at = 0.0, self.world.now

    def _resend(self) -> None:
        """Resends an acknowledged order, as after a lost answer."""
        orders = [o for o in self.operators.history.orders.values() if o.acknowledged < math.inf]
        if orders:
            order = self.world.rng.choice([*orders[-80:], orders[0]])
            self.world.note(f"{order.name} is sent again")
            self.operators.resend(order)

    def _late_answers(self) -> None:
        """Restarts a limiter with forwarded calls under way, so that answers reach its next process."""
        limiters = [m for m in self.world.machines.values() if m.disk is None and m.up]
        if not limiters:
            return
        machine, world = self.world.rng.choice(limiters), self.world
        world.note(f"{machine.node} ends with calls passed on, and answers come late")
        world.duplicate_rate, world.core_disturbed_at = 0.5, world.now
        for _ in range(6):
            self._send_order_to(machine)
        world.at(3.0, partial(world.kill, machine))
        world.at(4.0, partial(world.restart, machine))
        for index in range(30):
            world.at(100.0 + 50.0 * index, partial(self._send_order_to, machine))
        world.at(2_500.0, self._end_loss)

    def _limiter(self) -> None:
        """Restarts a limiter, at times without delay."""
        limiters = [m for m in self.world.machines.values() if m.disk is None and m.up]
        if not limiters:
            return
        machine = self.world.rng.choice(limiters)
        self.world.kill(machine)
        self.world.at(self.world.rng.choice((1.0, 300.0, 2_000.0)), lambda: self.world.restart(machine))
