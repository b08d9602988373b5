"""Simulations of whole groups of the replicated configuration store, with a checker.

The simulation is deterministic for a seed: machines with disks, links that drop, repeat, delay and are cut in
one direction, and processes that freeze. The checker uses only the answers to operators and the state that
replicas publish.
"""

from __future__ import annotations

import functools
import heapq
import json
import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from attrs import define, evolve, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from larklb.consensus.calls import PendingCalls
from larklb.consensus.group import Liveness, majority, next_voters, target_voter_count
from larklb.consensus.history import MAX_HISTORY, ChangeOutcome, History
from larklb.consensus.log import Entry, Log, Snapshot, decode, encode
from larklb.consensus.messages import InstallSnapshot
from larklb.consensus.replica import Answer, Call, InvalidChangeError, Ready, Replica

pytestmark = pytest.mark.simulation

Prepare = Callable[["World"], None]

TICK_MS = 50.0
# A machine counts as in contact for this long after its last heartbeat.
CONTACT_MS = 1000.0


class BrokenError(AssertionError):
    """A property that the checker verifies is violated."""


def apply(document: dict[str, Any] | None, call: Call) -> dict[str, Any]:
    if "bad" in call.body or call.body["version"] <= (document or {"version": 0})["version"]:
        raise InvalidChangeError(400, "invalid")
    return {"version": call.body["version"], "base": call.base, "identity": call.identity}


@define(eq=False)
class Machine:
    node: str
    disk: str
    stored: dict[str, bytes] = field(factory=dict)
    replica: Replica | None = None
    incarnation: int = 0
    frozen: bool = False
    disk_mode: str = "well"
    saving: dict[str, bytes] | None = None
    unsent: list[tuple[str, dict[str, Any]]] = field(factory=list)
    last_contact: dict[str, tuple[float, str]] = field(factory=dict)
    version: int = 0

    @property
    def up(self) -> bool:
        return self.replica is not None and not self.frozen


class World:
    def __init__(self, seed: int, size: int = 3, loss: float = 0.0, tolerance: int = 0) -> None:
        self.rng, self.size, self.loss = random.Random(seed), size, loss
        self.tolerance = tolerance or (size - 1) // 2
        self.voter_count = target_voter_count(size, self.tolerance)  # after all changes of the voters
        self.now, self.sequence = 0.0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.machines: dict[str, Machine] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.documents: dict[int, dict[str, Any]] = {}
        self.version_by_base: dict[int, int] = {}
        self.leaders: dict[int, str] = {}
        self.synced_disks: dict[str, set[str]] = {}
        self.acknowledged: dict[int, str] = {}
        self.refused: set[str] = set()
        self.open_calls: dict[str, tuple[Call, int]] = {}
        self.answers: dict[str, Answer] = {}
        self.called_at: dict[str, float] = {}
        self.keep_id = False
        self.founding_state: dict[str, dict[str, bytes]] = {}
        self.resumed_at = 0.0
        # Replaces one field in a tenth of the messages, unless it is the ellipsis.
        self.field_override: Any = ...
        for index in range(size):
            self.add(f"n{index}")

    # Event loop, processes, disks and links

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay, self.sequence, action))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def wait_until(self, done: Callable[[], Any], ms: float) -> float:
        start = self.now
        while not done():
            if self.now - start >= ms:
                raise BrokenError(f"the condition did not hold within {ms} ms of simulated time")
            self.run(TICK_MS)
        return self.now - start

    def add(self, node: str) -> Machine:
        self.sequence += 1
        machine = self.machines[node] = Machine(node, f"d{self.sequence}")
        self.start(machine)
        return machine

    def start(self, machine: Machine) -> None:
        machine.replica = Replica(
            machine.disk,
            machine.node,
            dict(machine.stored) or None,
            self.now,
            self.rng.randrange(1 << 30),
            tolerance=self.tolerance,
            apply=apply,
        )
        machine.incarnation += 1
        machine.last_contact, machine.version, machine.frozen = {}, 0, False
        self.tick(machine, machine.incarnation)

    def tick(self, machine: Machine, incarnation: int) -> None:
        if (
            machine.incarnation != incarnation
            or machine.replica is None
            or self.machines.get(machine.node) is not machine
        ):
            return
        if not machine.frozen:
            for other in self.machines.values():
                if other.up and (machine.node, other.node) not in self.cut_links:
                    other.last_contact[machine.disk] = (self.now, machine.node)
            machine.replica.tick(
                self.now,
                {
                    disk: node
                    for disk, (then, node) in machine.last_contact.items()
                    if self.now - then <= CONTACT_MS
                },
            )
            self.handle_ready(machine)
        self.schedule(TICK_MS, lambda: self.tick(machine, incarnation))

    def handle_ready(self, machine: Machine) -> None:
        while machine.up and machine.replica and (ready := machine.replica.ready()) is not None:
            for ticket, answer in ready.answers:
                self.on_answer(ticket, answer)
            if ready.save is None:
                self.send(machine, ready.messages)
                continue
            machine.saving, machine.unsent = ready.save, ready.messages
            delay = self.rng.uniform(100, 350) if machine.disk_mode == "slow" else self.rng.uniform(2, 8)
            self.schedule(delay, functools.partial(self.finish_save, machine, machine.incarnation))
        self.check_replica(machine)

    def finish_save(self, machine: Machine, incarnation: int) -> None:
        if machine.incarnation != incarnation or machine.replica is None or machine.saving is None:
            return
        if machine.disk_mode == "hangs" or machine.frozen:
            self.schedule(TICK_MS, lambda: self.finish_save(machine, incarnation))
            return
        ok = machine.disk_mode != "full"
        if ok:
            self.sync(machine, list(machine.saving))
        machine.saving, messages, machine.unsent = None, machine.unsent, []
        machine.replica.saved(ok)
        if ok:
            self.send(machine, messages)
        self.handle_ready(machine)

    def sync(self, machine: Machine, keys: list[str]) -> None:
        for key in keys:
            machine.stored[key] = (machine.saving or {})[key]
        for identity, disks in self.synced_disks.items():
            if identity.encode() in machine.stored.get("log", b""):
                disks.add(machine.disk)

    def send(self, machine: Machine, messages: list[tuple[str, dict[str, Any]]]) -> None:
        for disk, message in messages:
            if self.field_override is not ... and self.rng.random() < 0.1:
                message = message | {self.rng.choice(sorted(message)): self.field_override}
            text = json.dumps(message)
            if message["kind"] == "append_entries" and not message["entries"] and len(text) > 300:
                raise BrokenError("a heartbeat is too large")
            for _ in range(1 + (self.rng.random() < self.loss)):
                if self.rng.random() >= self.loss:
                    extra_delay = self.rng.uniform(50, 2000) if self.rng.random() < self.loss else 0
                    self.schedule(
                        self.rng.uniform(0.5, 4) + extra_delay, self.make_delivery(machine, disk, text)
                    )

    def make_delivery(self, sender: Machine, disk: str, text: str) -> Callable[[], None]:
        source = sender.disk

        def deliver() -> None:
            for machine in list(self.machines.values()):
                if (
                    machine.disk == disk
                    and machine.replica
                    and (sender.node, machine.node) not in self.cut_links
                ):
                    if machine.frozen:
                        self.schedule(TICK_MS, deliver)  # it stays in the socket's buffer
                        return
                    machine.replica.step(self.now, source, json.loads(text))
                    self.handle_ready(machine)

        return deliver

    # Faults

    def kill(self, machine: Machine) -> None:
        """Simulates a loss of power, after which any subset of an unfinished save may be on disk."""
        if machine.saving and machine.replica:
            self.sync(machine, [key for key in machine.saving if self.rng.random() < 0.5])
        machine.replica, machine.saving, machine.unsent = None, None, []
        machine.incarnation += 1

    def wipe(self, machine: Machine) -> None:
        self.kill(machine)
        self.sequence += 1
        if self.keep_id:  # seeded fault: the blank disk keeps the identity of the voter
            machine.stored = dict(self.founding_state[machine.disk])
        else:
            machine.stored, machine.disk = {}, f"d{self.sequence}"

    def replace(self, machine: Machine) -> Machine:
        self.kill(machine)
        del self.machines[machine.node]
        return self.add(f"m{self.sequence}")

    def freeze(self, machine: Machine, frozen: bool) -> None:
        self.resumed_at = self.now if machine.frozen else self.resumed_at
        machine.frozen = frozen

    def heal(self) -> None:
        self.cut_links.clear()
        self.loss = 0.0
        for machine in self.machines.values():
            machine.disk_mode = "well"
            self.freeze(machine, False)
            if machine.replica is None:
                self.start(machine)

    # Operators

    def call(
        self,
        kind: str,
        base: int,
        version: int,
        machine: Machine | None,
        identity: str = "",
        bad: bool = False,
    ) -> str:
        """Sends a call through the machine (or a random one) to its leader and returns the ticket."""
        self.sequence += 1
        ticket = f"t{self.sequence}"
        body: dict[str, Any] = {"version": version} | ({"bad": 1} if bad else {})
        call = Call(kind, base, body, identity or f"i{self.sequence}.")
        if kind != "read":
            self.synced_disks.setdefault(call.identity, set())
        self.open_calls[ticket] = (call, max(self.acknowledged, default=0))
        self.called_at[ticket] = self.now
        running = [m for m in self.machines.values() if m.up]
        machine = machine or (self.rng.choice(running) if running else None)
        if machine and machine.replica and not machine.replica.is_leader:
            leader = machine.replica.leader
            machine = next(
                (m for m in running if m.disk == leader and (machine.node, m.node) not in self.cut_links),
                None,
            )
        if machine and machine.replica:
            machine.replica.call(self.now, ticket, call)
            self.handle_ready(machine)
        return ticket

    def submit_change(self, machine: Machine | None = None, identity: str = "") -> str:
        base = max(self.documents, default=0)
        return self.call("replace", base, base + self.rng.randint(1, 5), machine, identity)

    def on_answer(self, ticket: str, answer: Answer) -> None:
        call, newest = self.open_calls.pop(ticket)
        self.answers[ticket] = answer
        if self.now - max(self.called_at[ticket], self.resumed_at) > 800:
            raise BrokenError("an answer exceeded the time limit")
        if call.kind == "read":
            if answer.status == 200 and (answer.document or {"version": 0})["version"] < newest:
                raise BrokenError("a read returned a version older than one acknowledged before it")
        elif answer.status == 200:
            if len(self.synced_disks[call.identity]) < majority(self.voter_count):
                raise BrokenError("a change was acknowledged before a majority had synced it")
            if self.acknowledged.setdefault(call.body["version"], call.identity) != call.identity:
                raise BrokenError("two changes were acknowledged under one version")
        elif answer.status != 503:
            self.refused.add(call.identity)

    # The checker

    def check_replica(self, machine: Machine) -> None:
        replica = machine.replica
        if replica is None:
            return
        if replica.is_leader:
            if self.leaders.setdefault(replica.term, machine.disk) != machine.disk:
                raise BrokenError("two leaders in one term")
            log = replica._log
            if (
                sum(entry.kind == "voters" for entry in log.entries_after(log.commit_index, len(log.entries)))
                > 1
            ):
                raise BrokenError("two changes of the voters are pending at the same time")
        if replica.version < machine.version:
            raise BrokenError("the version of a replica went back")
        if replica.version == machine.version:
            return
        machine.version = replica.version
        document = replica.current or {}
        if self.documents.setdefault(replica.version, document) != document:
            raise BrokenError("two documents have the same version")
        if self.version_by_base.setdefault(document["base"], replica.version) != replica.version:
            raise BrokenError("two documents have the same base version")
        if document["identity"] in self.refused:
            raise BrokenError("a refused change was applied")

    def check_end(self) -> None:
        """Ends all faults; then a change must be acknowledged soon and build on all acknowledged changes."""
        max_delay = 2000.0 if self.loss else 0.0
        self.heal()
        self.run(max_delay)
        start, tickets = self.now, [""]

        def served() -> bool:
            if any(t in self.answers and self.answers[t].status == 200 for t in tickets):
                return True
            if tickets[-1] not in self.open_calls or self.now - self.called_at[tickets[-1]] > 800:
                tickets.append(self.submit_change())
            return False

        self.wait_until(served, 3000)
        assert self.now - start <= 3000
        self.run(1500)
        version, ancestors = max(self.documents), set()
        while version:
            ancestors.add(version)
            version = self.documents[version]["base"] if version in self.documents else 0
        for version, identity in self.acknowledged.items():
            if version not in ancestors or self.documents[version]["identity"] != identity:
                raise BrokenError("an acknowledged change is lost")
        for machine in self.machines.values():
            if machine.replica and machine.replica.version != max(self.documents):
                raise BrokenError("a replica doesn't have the newest version")

    # Helpers

    def replicas(self) -> list[Replica]:
        return [machine.replica for machine in self.machines.values() if machine.replica]

    def current_leader(self) -> Machine | None:
        leaders = [
            m for m in self.machines.values() if m.up and m.replica and m.replica.has_committed_in_term
        ]
        return max(leaders, key=lambda m: m.replica.term if m.replica else 0, default=None)

    def wait_for_leader(self) -> Machine:
        self.wait_until(self.current_leader, 6000)
        machine = self.current_leader()
        assert machine is not None
        return machine

    def is_complete(self) -> bool:
        """Whether the voters are complete and all hold the newest version, so that a disk may be lost."""
        leader = self.current_leader()
        if leader is None or leader.replica is None or len(leader.replica.voters) != self.voter_count:
            return False
        live = {m.disk: m.replica for m in self.machines.values() if m.replica}
        return all(
            disk in live
            and live[disk].version == leader.replica.version
            and live[disk].voters == leader.replica.voters
            for disk in leader.replica.voters
        )

    def expect_status(self, ticket: str, status: int) -> None:
        self.wait_until(lambda: ticket in self.answers, 1000)
        if self.answers[ticket].status != status:
            raise BrokenError(f"expected status {status}, got {self.answers[ticket]}")


def propose(world: World, machine: Machine, listed: list[Machine]) -> None:
    if machine.up and machine.replica:
        machine.replica.propose_founding(world.now, {m.disk: m.node for m in listed})
        world.handle_ready(machine)


def founded(seed: int = 1, size: int = 3, loss: float = 0.0) -> World:
    """Returns a world with a founded group that has acknowledged a change; messages are lost from then on."""
    world = World(seed, size)
    world.run(200)
    propose(world, world.machines["n0"], list(world.machines.values()))
    world.wait_until(
        lambda: all(replica.founded for replica in world.replicas()) and world.current_leader(), 3000
    )
    world.founding_state = {m.disk: dict(m.stored) for m in world.machines.values()}
    world.expect_status(world.submit_change(world.wait_for_leader()), 200)
    world.run(500)
    world.loss = loss
    return world


def run_random_faults(seed: int, steps: int = 40, size: int = 3) -> World:
    """Applies random faults, with no more lost disks at a time than the group must tolerate."""
    world = founded(seed, size, loss=0.1 if seed % 2 else 0.0)
    rng = random.Random(seed)
    for _ in range(steps):
        kind = rng.choice([0, 1, 2, 3, 4, 5, 5, 6, 7, 8, 9, 9, 10, 11])
        trouble(world, kind, rng.randrange(64), rng.randrange(64))
        world.run(rng.choice([5, 60, 400, 2500]))
    world.check_end()
    return world


def trouble(world: World, kind: int, machine_number: int, choice: int) -> None:
    """Applies the fault or call ``kind``; the other numbers select the machines and the variant."""
    nodes = sorted(world.machines)
    machine, second = (
        world.machines[nodes[machine_number % len(nodes)]],
        world.machines[nodes[choice % len(nodes)]],
    )
    if kind <= 2:
        world.submit_change()
        if choice % 2:
            world.submit_change()  # a second operator builds on the same version
    elif kind == 3:
        world.call("read", 0, 0, machine if machine.up else None)
        world.call("replace", max(world.documents), 99999, None, bad=True)
    elif kind == 4 and machine.replica:
        world.kill(machine)
    elif kind == 5:
        for each in world.machines.values():
            if each.replica is None:
                world.start(each)
    elif kind == 6:
        world.cut_links ^= {(machine.node, second.node)}
    elif kind == 7:
        is_faulty = machine.disk_mode != "well"
        machine.disk_mode = "well" if is_faulty else ("slow", "full", "hangs")[choice % 3]
    elif kind == 8 and machine.replica:
        world.freeze(machine, not machine.frozen)
    elif kind == 9:
        world.cut_links.clear()
        for each in world.machines.values():
            world.freeze(each, False)
    elif kind >= 10 and world.is_complete():
        if choice % 2:
            world.wipe(machine)
            world.start(machine)
        else:
            world.replace(machine)


# Applies random faults and runs the final checks after each sequence. Hypothesis derives the derandomized
# seed from the source of this class, docstring included, so that a changed text would test other sequences.
class Storms(RuleBasedStateMachine):
    """Troubles in any order, as hypothesis likes; whatever they were, the end is checked."""

    @initialize(seed=st.integers(0, 999), size=st.sampled_from([3, 5, 6]))
    def begin(self, seed: int, size: int) -> None:
        self.world = founded(seed, size, loss=0.1 if seed % 2 else 0.0)

    @rule(kind=st.integers(0, 11), one=st.integers(0, 63), other=st.integers(0, 63))
    def trouble(self, kind: int, one: int, other: int) -> None:
        trouble(self.world, kind, one, other)

    @rule(ms=st.sampled_from([5, 60, 400, 2500]))
    def wait(self, ms: int) -> None:
        self.world.run(ms)

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.check_end()


def test_random_faults_from_hypothesis() -> None:
    run_state_machine_as_test(
        Storms,
        settings=settings(
            max_examples=30, stateful_step_count=30, deadline=None, derandomize=True, database=None
        ),
    )


@pytest.mark.parametrize("size", [3, 5, 6, 8])
def test_random_faults(size: int) -> None:
    for seed in range({3: 40, 5: 10}.get(size, 5)):
        run_random_faults(seed, size=size)


# Directed cases: all must pass, and some detect a seeded fault below


def isolate(world: World, machine: Machine) -> None:
    for other in world.machines:
        world.cut_links |= {(machine.node, other), (other, machine.node)}


def others(world: World, machine: Machine) -> list[Machine]:
    return [m for m in world.machines.values() if m is not machine]


def leader_killed_before_commit(world: World) -> None:
    for delay in (0.0, 3.0, 6.0, 9.0, 12.0, 16.0):
        leader = world.wait_for_leader()
        world.submit_change(leader)
        world.run(delay)
        world.kill(leader)
        world.run(3000)
        world.start(leader)
        world.run(1000)
    world.check_end()


def old_leader_resumes(world: World) -> None:
    """A deposed leader resumes and receives calls before it has learnt of its successor."""
    old = world.wait_for_leader()
    world.freeze(old, True)
    world.wait_until(lambda: world.current_leader() not in (None, old), 4000)
    world.expect_status(world.submit_change(world.current_leader()), 200)
    world.freeze(old, False)
    world.call("read", 0, 0, old)
    world.submit_change(old)
    assert old.replica is not None and old.replica.is_leader
    world.run(1500)
    world.check_end()


def wiped_after_acknowledgement(world: World) -> None:
    """A disk is wiped that held an acknowledged change.

    One machine has missed the change. Of the two that hold it, one is wiped and the other loses power.
    """
    leader = world.wait_for_leader()
    lagging, holder = others(world, leader)[:2]
    isolate(world, lagging)
    world.expect_status(world.submit_change(leader), 200)
    world.kill(holder)
    world.wipe(leader)
    world.kill(lagging)
    world.cut_links.clear()
    world.start(leader)
    world.start(lagging)
    world.run(4000)
    world.submit_change()
    world.run(1000)
    world.check_end()


def two_wiped_disks(world: World) -> None:
    """Two slow disks are wiped, so that a change of the voters isn't saved before the next is due."""
    leader = world.wait_for_leader()
    for machine in world.machines.values():
        machine.disk_mode = "slow"
    for machine in others(world, leader)[:2]:
        world.wipe(machine)
        world.start(machine)
    world.wait_until(world.is_complete, 15000)
    world.check_end()


def leader_replaced_twice(world: World) -> None:
    for _ in range(2):
        world.replace(world.wait_for_leader())
        world.wait_until(world.is_complete, 10000)
        replica = world.wait_for_leader().replica
        assert replica is not None and set(replica.voters) <= {m.disk for m in world.machines.values()}
    world.check_end()


def delayed_snapshot(world: World) -> None:
    leader = world.wait_for_leader()
    assert leader.replica is not None
    old = leader.replica._log.state
    for _ in range(3):
        world.expect_status(world.submit_change(leader), 200)
    world.run(300)
    follower = others(world, leader)[0]
    leader.replica._send(follower.disk, InstallSnapshot, snapshot=old.to_message(), round=0)
    world.handle_ready(leader)
    world.run(300)
    world.check_end()


def append_from_stale_leader(world: World) -> None:
    """A leader of an older term sends its entry at the index of one that a newer leader has sent."""
    old = world.wait_for_leader()
    assert old.replica is not None
    isolate(world, old)
    world.submit_change(old)
    entry, term = old.replica._log.entries[-1], old.replica.term

    follower: list[Replica] = []
    while not follower:  # one that has the newer entry and doesn't know yet that it is committed
        world.run(1)
        follower = [
            m.replica
            for m in others(world, old)
            if m.replica
            and not m.replica.is_leader
            and m.replica._log.last_position > (term, entry.index)
            and m.replica._log.commit_index < entry.index
        ]
    follower[0].step(
        world.now,
        old.disk,
        {
            "kind": "append_entries",
            "disk": old.disk,
            "group_id": old.replica._hard_state.group_id,
            "term": term,
            "round": 1,
            "prev": [entry.index - 1, term],
            "entries": [entry.to_message()],
            "commit": entry.index,
            "seen": [0, 0.0],
        },
    )
    world.wait_until(lambda: world.current_leader() not in (None, old), 4000)
    world.expect_status(world.submit_change(world.current_leader()), 200)
    world.check_end()


def two_changes_on_one_base(world: World) -> None:
    leader, base = world.wait_for_leader(), max(world.documents)
    tickets = [world.call("replace", base, base + step, leader) for step in (2, 1, 5)]
    for ticket, status in zip(tickets, (200, 412, 412), strict=True):
        world.expect_status(ticket, status)
    bad = world.call("amend", base + 2, base + 9, leader, bad=True)
    world.expect_status(bad, 400)
    world.check_end()


def repeated_call(world: World) -> None:
    leader, base = world.wait_for_leader(), max(world.documents)
    world.call("replace", base, base + 1, leader, identity="same.")
    world.run(25)
    world.kill(leader)
    world.run(3000)
    world.start(leader)
    again = world.call("replace", base, base + 1, world.wait_for_leader(), identity="same.")
    world.expect_status(again, 200)
    world.expect_status(world.submit_change(world.wait_for_leader()), 200)
    world.expect_status(world.call("replace", base, base + 1, world.wait_for_leader(), identity="same."), 200)
    world.check_end()


def resumed_leader_doesnt_refuse(world: World) -> None:
    """A resumed leader receives a change on a version that it doesn't know, before its next tick."""
    old = world.wait_for_leader()
    world.freeze(old, True)
    world.wait_until(lambda: world.current_leader() not in (None, old), 4000)
    world.expect_status(world.submit_change(world.current_leader()), 200)
    world.freeze(old, False)
    assert old.replica is not None and old.replica.is_leader
    ticket = world.submit_change(old)
    world.wait_until(lambda: ticket in world.answers, 1000)
    if world.answers[ticket].status not in (200, 503):
        raise BrokenError("a deposed leader refused a change because of stale state")
    world.check_end()


def repeated_after_many_changes(world: World) -> None:
    """A change is retried after hundreds of others, also at the leader that follows."""
    base = max(world.documents)
    world.expect_status(
        world.call("replace", base, base + 1, world.wait_for_leader(), identity="first."), 200
    )
    for _ in range(200):
        world.submit_change(world.wait_for_leader())
        world.run(30)
    world.expect_status(
        world.call("replace", base, base + 1, world.wait_for_leader(), identity="first."), 200
    )
    world.expect_status(
        world.call("replace", base, base + 1, world.wait_for_leader(), identity="another."), 412
    )
    world.kill(world.wait_for_leader())
    world.wait_until(world.current_leader, 4000)
    world.expect_status(
        world.call("replace", base, base + 1, world.wait_for_leader(), identity="first."), 200
    )
    world.check_end()


def leader_that_receives_nothing(world: World) -> None:
    """The leader can send but not receive, so it must step down for another."""
    old = world.wait_for_leader()
    world.cut_links |= {(other.node, old.node) for other in others(world, old)}
    world.wait_until(lambda: world.current_leader() not in (None, old), 5000)
    world.expect_status(world.submit_change(world.current_leader()), 200)
    world.check_end()


def disk_fault_of_leader(world: World) -> None:
    for mode in ("full", "hangs"):
        old = world.wait_for_leader()
        old.disk_mode = mode
        ticket = world.submit_change(old)
        world.expect_status(ticket, 503)
        assert old.replica is not None and not old.replica.is_leader
        world.wait_until(lambda old=old: world.current_leader() not in (None, old), 4000)  # type: ignore[misc]
        world.expect_status(world.submit_change(world.current_leader()), 200)
        old.disk_mode = "well"
        world.run(1000)
    world.check_end()


CASES = [
    leader_killed_before_commit,
    old_leader_resumes,
    wiped_after_acknowledgement,
    two_wiped_disks,
    leader_replaced_twice,
    delayed_snapshot,
    resumed_leader_doesnt_refuse,
    repeated_after_many_changes,
    append_from_stale_leader,
    two_changes_on_one_base,
    repeated_call,
    leader_that_receives_nothing,
    disk_fault_of_leader,
]


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("size", [3, 6])
def test_directed_case(case: Prepare, size: int) -> None:
    if case is two_wiped_disks:
        size = max(size, 5)
    for seed in range(3):
        case(founded(seed, size))


@pytest.mark.parametrize("same", [True, False])
def test_competing_foundings(same: bool) -> None:
    """Several machines propose the same or different groups while machines lose power; one is founded."""
    for seed in (*range(20), 178):  # in seed 178 two vote in a group that can't be completed
        world, rng = World(seed, 6), random.Random(seed)
        world.loss, world.size = 0.1, 6 if same else 4  # a group of four has a majority of three
        for _ in range(14):
            machine = rng.choice(list(world.machines.values()))
            if rng.random() < 0.5:
                listed = list(world.machines.values())
                propose(world, machine, listed if same else [*rng.sample(listed, rng.randint(2, 5)), machine])
            elif machine.replica:
                world.kill(machine)
            else:
                world.start(machine)
            world.run(rng.choice([3, 20, 300]))
        world.heal()
        world.run(12000)
        assert len({replica._hard_state.group_id for replica in world.replicas() if replica.is_leader}) < 2
        propose(world, world.machines["n0"], list(world.machines.values()))
        world.run(2000)
        world.check_end()


def test_founding_after_its_proposer_lost_its_disk() -> None:
    world = World(1)
    first, second = world.machines["n0"], world.machines["n1"]
    isolate(world, world.machines["n2"])
    propose(world, first, list(world.machines.values()))
    world.run(1000)
    world.wipe(first)
    world.start(first)
    world.cut_links.clear()
    world.run(3000)
    propose(world, second, list(world.machines.values()))
    world.run(1000)
    assert not any(replica.founded for replica in world.replicas()), (
        "a founding is not replaced before its proposer has been silent for the timeout"
    )
    world.run(5000)
    propose(world, second, list(world.machines.values()))
    world.check_end()


def test_blank_disk_joins_the_existing_group() -> None:
    world = founded()
    learner = world.add("n9")
    propose(world, learner, list(world.machines.values()))
    world.run(3000)
    assert learner.replica is not None and learner.replica.version == world.wait_for_leader().version
    assert learner.disk not in learner.replica.voters and len(learner.replica.voters) == 3, (
        "the disk stays a learner, because the group has enough voters"
    )
    world.check_end()


def test_order_of_voter_changes() -> None:
    """A wiped disk is removed first if the majority keeps its size, a silent one after another was added."""

    def changed_disks(
        size: int,
        reported: dict[str, str],
        ready: set[str],
        tolerance: int,
        at: float = 9000.0,
    ) -> set[str]:
        voters = {f"d{i}": f"n{i}" for i in range(size)}
        liveness = Liveness(0.0)
        liveness.observe(at - 400, reported)
        liveness.observe(at, reported)
        changed = next_voters(voters, "d0", ready, liveness, at, tolerance=tolerance)
        return set(voters) ^ set(changed if changed is not None else voters)

    present = {"d0": "n0", "d1": "n1", "d2": "n2"}
    wiped = {"d0": "n0", "d1": "n1", "x": "n2"}
    assert changed_disks(3, present | {"x": "n9"}, {"x"}, 1) == set()
    assert changed_disks(3, wiped, set(), 1) == {"d2"}
    assert changed_disks(3, wiped, {"x"}, 2) == {"x"}
    assert changed_disks(3, {"d0": "n0", "d1": "n1"}, set(), 1) == set()
    assert changed_disks(3, {"d0": "n0", "d1": "n1", "x": "n9"}, {"x"}, 1) == {"x"}
    assert changed_disks(3, {"d0": "n0", "d1": "n1", "x": "n9"}, {"x"}, 1, at=2000.0) == set()
    assert changed_disks(4, present, set(), 1) == {"d3"}
    assert changed_disks(2, {"d0": "n0", "x": "n9"}, {"x"}, 1) == {"x"}


@pytest.mark.parametrize(("cores", "tolerance"), [(3, 1), (4, 1), (5, 1), (5, 2), (6, 2), (7, 3), (8, 3)])
def test_group_grows_to_the_size_its_tolerance_requires(cores: int, tolerance: int) -> None:
    """Founds a group with as few machines as allowed; the others join later, and one machine is lost."""
    world = World(1, cores, tolerance=tolerance)
    machines = list(world.machines.values())
    late_machines = machines[2 * tolerance :]
    for machine in late_machines:
        world.kill(machine)
    world.run(200)
    propose(world, machines[0], machines[: 2 * tolerance])
    world.wait_until(world.current_leader, 3000)
    for machine in late_machines:
        world.start(machine)
    world.wait_until(world.is_complete, 20000)
    world.kill(machines[0])
    world.expect_status(world.submit_change(world.wait_for_leader()), 200)
    world.check_end()


def test_voters_shrink_with_machines_that_leave() -> None:
    voters = {f"d{i}": f"n{i}" for i in range(5)}
    present = {f"d{i}": f"n{i}" for i in range(3)}
    liveness = Liveness(0.0)
    liveness.observe(400, voters)
    liveness.observe(5000, present, frozenset({"d3", "d4"}))
    while (changed := next_voters(voters, "d0", set(), liveness, 9000, tolerance=1)) is not None:
        assert abs(len(changed) - len(voters)) == 1
        voters = changed
    assert set(voters) == {"d0", "d1", "d2"}
    liveness.observe(9500, present)
    assert next_voters(voters, "d0", set(), liveness, 19000, tolerance=1) is None, (
        "the group does not shrink below the size that its tolerance requires"
    )


def test_outcome_of_a_forgotten_change_is_unknown() -> None:
    """Such a call is neither acknowledged nor refused, and the size of the stored history is bounded."""
    history = History()
    for base in range(3 * MAX_HISTORY):
        history = history.with_change(base, f"i{base}")
    current = 3 * MAX_HISTORY
    assert (
        history.outcome_of(current - MAX_HISTORY, f"i{current - MAX_HISTORY}", current)
        is ChangeOutcome.APPLIED
    )
    assert history.outcome_of(current - MAX_HISTORY, "another", current) is ChangeOutcome.REJECTED
    assert (
        history.outcome_of(current - MAX_HISTORY - 1, f"i{current - MAX_HISTORY - 1}", current)
        is ChangeOutcome.UNKNOWN
    )
    assert history.outcome_of(current + 1, "ahead", current) is ChangeOutcome.REJECTED
    assert len(json.dumps(history.to_json())) < 64 * MAX_HISTORY
    assert History.from_json(history.to_json(), current) == history
    assert History.from_json(["of", "an older release"], 7).outcome_of(6, "of", 7) is ChangeOutcome.UNKNOWN


def test_leadership_transfer_takes_a_few_round_trips() -> None:
    for seed in range(5):
        world = founded(seed, 3)
        old = world.wait_for_leader()
        assert old.replica is not None
        old.replica.transfer_leadership(world.now)
        world.handle_ready(old)
        took = world.wait_until(
            functools.partial(lambda world, old: world.current_leader() not in (None, old), world, old), 200
        )
        assert took <= 200
        world.kill(old)
        world.expect_status(world.submit_change(world.wait_for_leader()), 200)
        world.check_end()


def test_messages_with_one_altered_field() -> None:
    """A replica handles or ignores a message with an altered field; it never fails or loses a change."""
    for seed, value in enumerate((None, -1, 1 << 70, "", "x", [], [None], [-1, -1], {}, {"a": 1}, True, 0.5)):
        world = founded(seed, 3)
        world.field_override = value
        for _ in range(6):
            world.submit_change()
            world.run(300)
            machine = world.machines["n2"]
            world.kill(machine)
            world.start(machine)
        world.field_override = ...
        world.check_end()


class ManualReplica:
    """One replica of a group of three, which the test sends messages to."""

    def __init__(self) -> None:
        self.replica = Replica("a", "a", None, 0.0, 1, tolerance=1, apply=apply)
        self.step("b", "founding", 0, group_id="1", listed={"a": "a", "b": "b", "c": "c"})

    def step(self, sender: str, kind: str, term: int, **fields: Any) -> None:
        self.replica.step(0.0, sender, {"kind": kind, "disk": sender, "group_id": "1", "term": term} | fields)

    def append(self, sender: str, term: int, index: int, prev_term: int) -> None:
        self.step(
            sender,
            "append_entries",
            term,
            prev=[index - 1, prev_term],
            commit=0,
            round=1,
            entries=[Entry(index, term, "noop").to_message()],
            seen=[0, 0.0],
        )

    def sent(self) -> list[dict[str, Any]]:
        messages: list[dict[str, Any]] = []
        while (ready := self.replica.ready()) is not None:
            if ready.save:
                self.replica.saved(True)
            messages += [message for _, message in ready.messages]
        return messages


def test_candidate_with_an_older_log_gets_no_vote() -> None:
    manual = ManualReplica()
    manual.append("b", 1, 1, 0)
    manual.sent()
    manual.replica.tick(2000.0, {})
    manual.step("c", "vote_request", 5, last=[0, 0], handed=False)
    assert [message["yes"] for message in manual.sent() if message["kind"] == "vote_reply"] == [False]
    manual.step("c", "vote_request", 6, last=[1, 1], handed=False)
    assert [message["yes"] for message in manual.sent() if message["kind"] == "vote_reply"] == [True]


def test_acknowledgement_of_truncated_entries_is_not_sent() -> None:
    """Entries that a newer leader truncates before the save must not be acknowledged to the older leader."""
    manual = ManualReplica()
    manual.sent()
    manual.append("b", 1, 1, 0)
    manual.append("c", 2, 1, 0)
    assert [message["term"] for message in manual.sent() if message["kind"] == "append_reply"] == [2]


def test_late_messages_dont_make_a_replica_up_to_date() -> None:
    """A replica is up to date only if a leader has answered a recent message of its current incarnation."""
    manual = ManualReplica()
    manual.append("b", 1, 1, 0)
    reply = next(message for message in manual.sent() if message["kind"] == "append_reply")
    fields = {"prev": [1, 1], "commit": 1, "round": 2, "entries": []}
    manual.step("b", "append_entries", 1, **fields, seen=[reply["stamp"][0] + 1, 0.0])
    assert not manual.replica.confirmed and not manual.replica.is_up_to_date(0.0), (
        "a message that refers to another incarnation confirms nothing"
    )
    manual.step("b", "append_entries", 1, **fields, seen=reply["stamp"])
    assert (
        manual.replica.confirmed
        and manual.replica.is_up_to_date(900.0)
        and not manual.replica.is_up_to_date(1100.0)
    )


def test_older_terms_entry_is_committed_only_with_one_of_the_own_term() -> None:
    manual = ManualReplica()
    manual.append("b", 1, 1, 0)
    manual.sent()
    manual.replica.tick(2000.0, {})
    manual.step("b", "pre_vote_reply", 1, proposed=2, yes=True)
    manual.step("b", "vote_reply", 2, yes=True)
    manual.sent()
    assert manual.replica.is_leader and manual.replica._log.last_index == 2
    manual.step("b", "append_reply", 2, ok=True, match=1, tried=0, round=1, stamp=[1, 0.0])
    assert manual.replica._log.commit_index == 0
    manual.replica.step(
        2000.0,
        "b",
        {
            "kind": "append_reply",
            "disk": "z",
            "group_id": "1",
            "term": 2,
            "ok": True,
            "match": 2,
            "tried": 1,
            "round": 1,
            "stamp": [1, 0.0],
        },
    )
    assert manual.replica._log.commit_index == 0, (
        "an acknowledgement for another disk of that machine does not count"
    )
    manual.step("b", "append_reply", 2, ok=True, match=2, tried=1, round=1, stamp=[1, 0.0])
    assert manual.replica._log.commit_index == 2


# Seeded faults


def messages_sent_before_save(patch: pytest.MonkeyPatch) -> None:
    ready, delayed = Replica.ready, dict[int, Ready]()

    def send_early(self: Replica) -> Ready | None:
        if id(self) in delayed:
            return delayed.pop(id(self))
        result = ready(self)
        if result is not None and result.save:
            delayed[id(self)] = Ready(result.save)
            return Ready(None, result.messages)
        return result

    patch.setattr(Replica, "ready", send_early)


def blank_disk_votes(patch: pytest.MonkeyPatch) -> None:
    init = World.__init__

    def world(self: World, *args: Any, **options: Any) -> None:
        init(self, *args, **options)
        self.keep_id = True

    patch.setattr(World, "__init__", world)


def stale_terms_accepted(patch: pytest.MonkeyPatch) -> None:
    accept_leader = Replica._accept_leader
    patch.setattr(
        Replica,
        "_accept_leader",
        lambda self, sender, message: accept_leader(
            self, sender, msgspec.structs.replace(message, term=max(message.term, self.term))
        ),
    )


def older_snapshot_installed(patch: pytest.MonkeyPatch) -> None:
    def install(self: Log, snapshot: Snapshot) -> bool:
        self.base = self.state = snapshot
        self.entries = []
        return True

    patch.setattr(Log, "install", install)


def read_without_quorum(patch: pytest.MonkeyPatch) -> None:
    take_confirmed = PendingCalls.take_confirmed
    patch.setattr(PendingCalls, "take_confirmed", lambda self, round_number: take_confirmed(self, 1 << 60))
    call = Replica.call

    def answer_at_once(self: Replica, now: float, ticket: str, operator_call: Call) -> None:
        call(self, now, ticket, operator_call)
        if self.is_leader and operator_call.kind == "read":
            self._advance_commit()

    patch.setattr(Replica, "call", answer_at_once)


def concurrent_voter_changes(patch: pytest.MonkeyPatch) -> None:
    has_uncommitted = Log.has_uncommitted
    patch.setattr(Log, "has_uncommitted", lambda self, kind: kind != "voters" and has_uncommitted(self, kind))


def base_version_ignored(patch: pytest.MonkeyPatch) -> None:
    evaluate = Replica._evaluate
    patch.setattr(
        Replica,
        "_evaluate",
        lambda self, call: evaluate(self, Call(call.kind, self.version, call.body, call.identity)),
    )


def repeats_not_recognised(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(History, "outcome_of", lambda self, base, identity, current: ChangeOutcome.REJECTED)


def refusal_without_quorum(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        PendingCalls,
        "add_decided",
        lambda self, waiting, answer, round_number: (
            self.reads.append(evolve(waiting, answer=answer, awaited=0)) or True
        ),
    )
    confirm_round = Replica._confirm_round

    def answer_at_once(self: Replica, answered: int) -> None:
        self._calls.decided += [waiting for waiting in self._calls.reads if waiting.answer is not None]
        self._calls.reads = [waiting for waiting in self._calls.reads if waiting.answer is None]
        confirm_round(self, answered)

    patch.setattr(Replica, "_confirm_round", answer_at_once)
    process_changes = Replica._process_changes

    def process_and_answer(self: Replica) -> None:
        process_changes(self)
        self._confirm_round(0)

    patch.setattr(Replica, "_process_changes", process_and_answer)


FAULTS = [
    (messages_sent_before_save, leader_killed_before_commit),
    (blank_disk_votes, wiped_after_acknowledgement),
    (stale_terms_accepted, append_from_stale_leader),
    (older_snapshot_installed, delayed_snapshot),
    (read_without_quorum, old_leader_resumes),
    (refusal_without_quorum, resumed_leader_doesnt_refuse),
    (concurrent_voter_changes, two_wiped_disks),
    (repeats_not_recognised, repeated_call),
    (base_version_ignored, two_changes_on_one_base),
]


@pytest.mark.parametrize(("fault", "case"), FAULTS)
def test_checker_detects_seeded_faults(
    fault: Callable[[pytest.MonkeyPatch], None], case: Prepare, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = founded(1, 5 if case is two_wiped_disks else 3)
    fault(monkeypatch)
    world.keep_id = fault is blank_disk_votes
    with pytest.raises(BrokenError):
        case(world)


def test_stored_halves_of_surrogate_pairs_are_replaced() -> None:
    """Guards against a log that stops for good: an entry with such a text can't be sent to other machines."""
    stored = encode({"a": ["x\ud800y", "\udfff"], "b": "\ud83d\ude00", "c": "é😀"})
    decoded = decode(stored)
    assert decoded == {"a": ["x\ufffdy", "\ufffd"], "b": "😀", "c": "é😀"}
    assert msgspec.json.decode(msgspec.json.encode(decoded)) == decoded
    assert decode(encode(decoded)) == decoded
