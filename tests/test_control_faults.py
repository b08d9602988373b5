"""Short simulated days of the control side under faults, disabled guards, and the linearizability checker."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from functools import partial

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from larklb.gateway.control import OperatorRequest
from larklb.gateway.messages import CallResult
from larklb.lab.control_breaks import BREAKS
from larklb.lab.control_callers import Operators
from larklb.lab.control_day import SCENARIOS, Day
from larklb.lab.control_faults import Task, generate_tasks, main, play_day
from larklb.lab.control_history import History, InvariantViolationError, Order, Read
from larklb.lab.control_world import World
from larklb.membership.members import DOWN, LEASE_MS, UP, Member
from larklb.registry.registry import DRAINING, STEADY, Server
from larklb.registry.replica import RegistryReplica

pytestmark = pytest.mark.simulation

SHORT_MS = 5_000.0
QUICKLY_FOUND = ("history-of-few", "group-stays-as-founded", "repeats-not-known", "base-not-compared")


@pytest.mark.parametrize("part", range(12))
def test_short_days_violate_no_invariant(part: int) -> None:
    for task in generate_tasks(9, 10_000 + 9 * part):
        result, day = play_day(evolve(task, length=SHORT_MS))
        assert not result.reason, (task, day.world.log)


@pytest.mark.parametrize("guard", QUICKLY_FOUND)
def test_a_disabled_guard_is_detected(guard: str) -> None:
    scenario, cores = BREAKS[guard].scenario, BREAKS[guard].cores or 3
    assert any(play_day(Task(scenario, seed, cores, guard))[0].reason for seed in range(12))


def test_the_same_seed_gives_the_same_day() -> None:
    one, other = (play_day(Task("mixed", 7, 3, length=SHORT_MS))[1] for _ in range(2))
    assert one.world.log == other.world.log and one.operators.sent == other.operators.sent


def test_the_command(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--days", "1", "--jobs", "1", "--scenario", "races", "--core", "3"]) == 0
    assert "1 days of 1 scenarios: nothing broken" in capsys.readouterr().out
    assert set(SCENARIOS) >= {each.scenario for each in BREAKS.values()} and len(BREAKS) >= 12


# Departures ---------------------------------------------------------------------------------------


def running_world(seed: int = 1) -> World:
    """Returns an installation whose group is founded."""
    world = World(seed)
    for machine in world.machines.values():
        world.start(machine)
    world.run(6_000.0)
    world.bootstrap = False
    return world


def call_any_machine(world: World, call: Server | str) -> None:
    """Lets a server call one limiter after the other until one acknowledges."""
    for node in ("l0", "c1", "c2", "c0", "l1"):
        answers: list[CallResult] = []
        plane = world.machines[node].plane
        if plane is not None:
            plane.server_call(world.now, call, answers.append)
            world.run(1_000.0)
        if any(answer.status == 200 for answer in answers):
            return
    raise AssertionError("nobody acknowledges")


def steady_at(world: World, server_id: str) -> list[str]:
    """Returns the machines that would send requests to the server."""
    planes = {node: machine.plane for node, machine in world.machines.items() if machine.plane is not None}
    known = {node: plane.subscriber.servers.get(server_id) for node, plane in planes.items()}
    return [node for node, server in known.items() if server is not None and server.state == STEADY]


def kill_core_at_once(world: World) -> None:
    for machine in world.cores():
        world.kill(machine)
    world.run(700.0)
    for machine in world.cores():
        world.restart(machine)


def kill_core_in_turn(world: World) -> None:
    """Each core machine is started again before the next one is killed, but has not heard from it yet."""
    for machine in world.cores():
        world.kill(machine)
        world.run(30.0)
        world.restart(machine)


def kill_all(world: World) -> None:
    for machine in world.machines.values():
        world.kill(machine, power=True)
    world.run(700.0)
    for machine in world.machines.values():
        world.restart(machine)


@pytest.mark.parametrize("kill", [kill_core_at_once, kill_core_in_turn, kill_all])
@pytest.mark.parametrize("sign_off", [True, False])
def test_an_acknowledged_departure_outlives_the_processes_of_the_core(
    kill: Callable[[World], None], sign_off: bool
) -> None:
    """Guards against DRAIN: a late heartbeat brought a server back after the core had restarted."""
    world = running_world()
    server = Server("s1", "orders", "h:1", "north", 2, sequence=1)
    call_any_machine(world, server)
    late_beat = evolve(server, sequence=2)
    assert len(steady_at(world, "s1")) == len(world.machines)
    call_any_machine(world, "s1" if sign_off else evolve(server, state=DRAINING, sequence=3))
    kill(world)
    for wait_ms in (0.0, 100.0, 300.0, 1_000.0, 3_000.0):
        world.run(wait_ms)
        for machine in world.machines.values():
            if machine.plane is not None:
                machine.plane.server_call(world.now, late_beat, lambda result: None)
        world.run(20.0)
        assert not steady_at(world, "s1"), world.now
    world.run(5_000.0)
    assert not steady_at(world, "s1")


# The first start ------------------------------------------------------------------------------------


def disturb_first_start(world: World, rng: random.Random) -> None:
    """Kills, resets and replaces core machines before a group is founded; settings change meanwhile."""
    world.run(400.0)  # until all have started
    spare = 1  # disks that may be lost
    for _ in range(rng.choice((1, 2, 4))):
        world.run(rng.uniform(0.0, 1_500.0))
        machine = rng.choice(world.cores())
        action = rng.choice(("kill", "kill", "kill", "wipe", "replace"))
        if action == "kill" or not spare:
            world.kill(machine, power=rng.random() < 0.5)
        elif action == "wipe":
            spare -= 1
            world.wipe(machine)
        else:
            spare -= 1
            world.remove(machine)
            machine = world.add_core(rng.choice(("a", "z")), start=False)
        world.run(rng.uniform(0.0, 1_000.0))
        world.bootstrap = world.bootstrap and rng.random() < 0.5
        world.restart(machine)


@pytest.mark.parametrize("part", range(6))
def test_a_group_is_founded_after_any_trouble_at_the_first_start(part: int) -> None:
    """Guards against Fault: a core machine that was killed before the founding stopped the system."""
    for seed in range(10 * part, 10 * part + 10):
        world, rng = World(seed), random.Random(seed)
        for machine in list(world.machines.values()):
            world.at(rng.uniform(0, 300), partial(world.restart, machine))
        disturb_first_start(world, rng)
        world.core_disturbed_at = world.now
        operators = Operators(world)
        order = operators.order(0, 1)
        world.run(world.bounds.contact_ms + world.bounds.ack_ms)
        assert order.acknowledged < math.inf, (seed, world.log)
        operators.order(1, 2)
        world.run(world.bounds.ack_ms)
        operators.read()
        world.run(1_000.0)
        operators.history.check(operators.history.reads[-1])


# The checker -------------------------------------------------------------------------------------


def history(*orders: Order) -> History:
    return History({order.name: order for order in orders})


def order(
    number: int,
    base: int,
    version: int,
    begin: float,
    acknowledged: float = math.inf,
    refused: float = math.inf,
) -> Order:
    return Order(f"order {number}", base, version, "", begin, acknowledged, refused)


@given(
    st.lists(
        st.tuples(
            st.floats(0.1, 5), st.floats(0.1, 5), st.sampled_from(["ack", "lost", "race"]), st.booleans()
        ),
        max_size=12,
    )
)
@settings(max_examples=60, deadline=None, derandomize=True, database=None)
def test_what_a_plain_register_answers_is_accepted(steps: list[tuple[float, float, str, bool]]) -> None:
    """Calls one after the other at a register that has each take effect in the middle of its call."""
    told, version, name, now, number = History(), 0, "", 0.0, 0
    for before, after, kind, read in steps:
        number += 1
        one = order(number, version, version + 1, now)
        told.orders[one.name] = one
        if kind == "race":
            number += 1
            other = order(number, version, version + 1, now, refused=now + before + after)
            told.orders[other.name] = other
        now += before
        version, name = version + 1, one.name
        if read:
            told.reads.append(Read(version, name, now - before / 2, now + after / 2))
        now += after
        if kind != "lost":
            one.acknowledged = now
    told.check(Read(version, name, now, now + 1))


@pytest.mark.parametrize(
    ("calls", "last", "why"),
    [
        (history(order(1, 0, 1, 0, 5)), Read(0, "", 9, 10), "is lost"),
        (history(order(1, 0, 1, 0, refused=5)), Read(1, "order 1", 9, 10), "was refused, and is in force"),
        (
            history(order(1, 0, 1, 0, 5), order(2, 1, 2, 6, refused=8)),
            Read(1, "order 1", 9, 10),
            "current all the while",
        ),
        (history(order(1, 0, 1, 0, 5), order(2, 1, 2, 6, 8)), Read(2, "order 2", 9, 10), ""),
    ],
)
def test_histories_that_are_not_linearizable_are_rejected(calls: History, last: Read, why: str) -> None:
    if not why:
        calls.check(last)
        calls.reads.append(Read(1, "order 1", 8.5, 8.9))
        why = "no moment"
    with pytest.raises(InvariantViolationError, match=why):
        calls.check(last)


def test_conflicting_answers_are_rejected_at_once() -> None:
    one, other = order(1, 0, 1, 0), order(2, 0, 2, 0)
    calls = history(one, other)
    calls.acknowledge(one, 1.0)
    with pytest.raises(InvariantViolationError):
        calls.acknowledge(other, 2.0)
    with pytest.raises(InvariantViolationError):
        calls.refuse(one, 2.0)


@pytest.mark.parametrize(
    ("contact", "convergence"), [(1_200.0, 2_000.0), (2_000.0, 3_000.0), (8_000.0, 10_000.0)]
)
def test_other_time_bounds_are_respected(contact: float, convergence: float) -> None:
    """Timings follow from the bounds: orders are acknowledged within ackMs of the core being undisturbed."""
    for seed in range(3):
        day = Day("mixed", seed, 3, 1, length=SHORT_MS)
        day.world.override_bounds(contact_ms=contact, convergence_ms=convergence, ack_ms=contact + 2_000.0)
        day.play()


def test_one_core_machine_as_seed_reveals_all_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """This also holds if the machine isn't in any other seeds, and isn't ready, so its table isn't served."""
    world = World(1, cores=5, tolerance=2)
    for machine in world.machines.values():
        world.start(machine)
    world.run(6_000.0)
    assert "c4" not in world.seeds
    monkeypatch.setattr(RegistryReplica, "_may_serve", lambda self, now: False)
    world.seeds = ["c4"]
    for name in ("c4", "l0"):
        world.kill(world.machines[name])
        world.restart(world.machines[name])
    core, plane = world.machines["c4"].core, world.machines["l0"].plane
    assert core is not None and plane is not None
    core.home.ready_cores["c0"] = math.inf  # claims that another core machine is ready
    world.run(3_000.0)
    assert not core.home.ready
    assert set(plane.subscriber.cores) == {"c0", "c1", "c2", "c3", "c4"}


def test_a_machine_that_reaches_no_majority_rejects_calls_at_once() -> None:
    """It receives the leader's messages, but nothing that it forwards would reach the leader."""
    world = World(1)
    for machine in world.machines.values():
        world.start(machine)
    world.run(6_000.0)
    machine = next(m for m in world.cores() if m.core is not None and not m.core.replica.is_leader)
    world.cut_off(machine, [other for other in world.machines.values() if other is not machine], one_way=True)
    world.run(world.bounds.contact_ms)
    answers: list[CallResult] = []
    world.call(machine, lambda plane: plane.operator_call(world.now, OperatorRequest("read"), answers.append))
    assert [answer.status for answer in answers] == [503]


@pytest.mark.parametrize("scale", [0.5, 1.0])
def test_leases_of_limiters_scale_with_the_time_scale(scale: float) -> None:
    home = RegistryReplica(Member("a", "a", "z", 1, "da"), 1500.0, 0.0, time_scale=scale)
    home.update_member(0.0, Member("n", "n", "z", 1), True)
    for now, state in ((0.95 * LEASE_MS * scale, UP), (1.05 * LEASE_MS * scale, DOWN)):
        home.members.expire(now)
        assert home.members.by_node["n"].member.state == state


def test_no_order_is_sent_after_the_end_of_a_day() -> None:
    """In this day an order reached a machine that had been frozen, and took effect after the last read."""
    assert play_day(Task("races", 400_429, 4))[0].reason == ""
