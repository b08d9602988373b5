"""Replicas and subscribers of the registry over a simulated network in simulated time.

What the limiters know of each other and of servers is compared with a plain record of what the servers sent
and of the answers that they got.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import msgspec
import pytest
from attrs import define, evolve, field
from hypothesis import Phase, given
from hypothesis import settings as settings
from hypothesis import strategies as st

from larklb.changefeed import table as changefeed
from larklb.changefeed.table import Table
from larklb.gateway import messages
from larklb.gateway.errors import MessageError
from larklb.gateway.messages import CallAnswer, CallResult, ServerCall
from larklb.membership import members as membership
from larklb.membership.members import DOWN, LEAVING, UP, Member, Members, member_from_row
from larklb.membership.messages import Message, Row, Rows
from larklb.registry import registry
from larklb.registry import subscriber as subscriber_module
from larklb.registry.departures import Departures
from larklb.registry.messages import (
    ConfigVersion,
    Cores,
    Delta,
    DeltaAck,
    Hello,
    MemberHeartbeat,
    NotReady,
    RangeRows,
    RowsAck,
    RowsUpdate,
    Sync,
    SyncAck,
)
from larklb.registry.registry import DRAINING, GONE, STEADY, Server, server_from_row
from larklb.registry.replica import RegistryReplica
from larklb.registry.subscriber import Subscriber

pytestmark = pytest.mark.simulation

HEARTBEAT_PERIOD_MS = 1_500.0
# Every limiter knows an acknowledged drain after this time.
DRAIN_BOUND_MS = 2_500.0
# A limiter that was undisturbed for this long must be in contact.
CONTACT_BOUND_MS = 3_000.0
# How long a limiter waits for the answer to a forwarded call, and how long the calling server waits.
FORWARD_TIMEOUT_MS = 850.0
CALLER_TIMEOUT_MS = 1_000.0
RANK = {STEADY: 0, DRAINING: 1, GONE: 2}
# The errors by which the process drops a message.
DECODING_ERRORS = (MessageError, KeyError, TypeError, ValueError, IndexError, AttributeError)
Mutation = Callable[["Simulation", int, str, bytes], list[tuple[float, bytes]]]
Reply = Callable[[bool], None]


class InvariantError(AssertionError):
    """Raised by the checker when an invariant is violated."""


@define(eq=False)
class Node:
    """A limiter's machine, with the present incarnation of its process."""

    name: str
    ip: str
    zone: str
    disk: str
    seeds: list[str]
    up: bool = False
    incarnation: int = 0
    started_at: float = 0.0
    last_disturbed: float = -1e18
    replica: RegistryReplica | None = None
    # The departures on its disk, which outlives its processes.
    stored: bytes | None = None
    subscriber: Subscriber = field(init=False)
    calls: dict[int, Callable[[CallAnswer | None], None]] = field(factory=dict)
    calls_made: int = 0
    # The highest state of each server that its table has shown.
    highest_rank: dict[str, int] = field(factory=dict)
    config: ConfigVersion = (0, "")


@define(eq=False)
class FakeServer:
    """A server with its true state."""

    id: str
    target: str
    address: str
    zone: str
    slots: int = 4
    state: str = STEADY
    sequence: int = 0
    alive: bool = True
    report_to: str = ""
    # When each state other than steady was first acknowledged.
    acknowledged_at: dict[str, float] = field(factory=dict)


class Simulation:
    """Three core machines, five more limiters, servers, and all messages between them."""

    def __init__(self, seed: int = 1, *, servers: int = 6, seeds: int = 8, loss: float = 0.0,
                 repeat: float = 0.0, late: float = 0.0, max_removals: int = changefeed.MAX_REMOVALS,
                 cores: int = 3) -> None:
        # Disks draw from numbers of their own, so that they don't change the course of a run.
        self.rng, self.disk_rng = random.Random(seed), random.Random(seed)
        self.loss, self.repeat, self.late, self.max_removals = loss, repeat, late, max_removals
        self.now, self.order, self.events = 0.0, itertools.count(), list[tuple[float, int, Any]]()
        self.cuts: set[frozenset[str]] = set()
        self.sent = self.unusable = 0
        self.kinds: list[str] = []
        self.mutate: Mutation | None = None
        self.on_ack: Callable[[Node, FakeServer], None] | None = None
        self.term, self.leader, self.leaderless_since = 1, "m0", 0.0
        # Plain limiters come before core machines in the order of names.
        names = ["a0", "a1", "a2", "a3", "a4", "m0", "m1", "m2"]
        ips = {name: f"10.0.0.{i}" for i, name in enumerate(names, 1)}
        first = [ips[n] for n in ("m0", "m1", "m2", *names)][:seeds]
        disks = {name: f"disk-{name}" for name in names[5:5 + cores]}
        self.nodes = {name: Node(name, ips[name], f"z{i % 3}", disks.get(name, ""), first)
                      for i, name in enumerate(names)}
        self.by_ip = {node.ip: node for node in self.nodes.values()}
        self.voters = {node.disk: node.name for node in self.nodes.values() if node.disk}
        self.servers: dict[str, FakeServer] = {}
        for node in self.nodes.values():
            self.start(node.name)
        for i in range(servers):
            self.add_server(f"s{i}", f"t{i % 2}", f"10.1.0.{i}:80")
        self.schedule(0.0, self._elect_leader)
        self.schedule(0.0, self._check)

    # Time ---------------------------------------------------------------------------------

    def schedule(self, delay: float, action: Callable[[], object]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    # Limiters -----------------------------------------------------------------------------

    def start(self, name: str) -> None:
        node = self.nodes[name]
        node.up, node.started_at, node.last_disturbed = True, self.now, self.now
        node.incarnation = max(node.incarnation + 1, int(self.now))
        me = Member(name, node.ip, node.zone, node.incarnation, node.disk)
        node.subscriber = Subscriber(me, list(node.seeds))
        node.calls, node.highest_rank = {}, {}
        if node.disk:
            node.replica = RegistryReplica(me, HEARTBEAT_PERIOD_MS, self.now, stored_departures=node.stored)
            node.replica.table.max_removals = self.max_removals
        incarnation = node.incarnation
        self.schedule(self.rng.uniform(0, 50), lambda: self._tick(node, incarnation))

    def kill(self, *names: str, unsent: bool = False) -> None:
        """``unsent``: the messages that it has sent in this instant are lost too."""
        for name in names:
            node = self.nodes[name]
            node.up, node.replica, node.last_disturbed = False, None, self.now
            node.incarnation += 1
            if self.leader == name:
                self.leader, self.leaderless_since = "", self.now
        if unsent:
            self.events = [e for e in self.events if getattr(e[2], "origin", None) != (names[0], self.now)]
            heapq.heapify(self.events)

    def restart(self, *names: str) -> None:
        self.kill(*names)
        for name in names:
            self.start(name)

    def cut(self, name: str, *others: str, blocked: bool = True) -> None:
        for other in others or [n for n in self.nodes if n != name]:
            (self.cuts.add if blocked else self.cuts.discard)(frozenset((name, other)))
            self.nodes[other].last_disturbed = self.now if others else self.nodes[other].last_disturbed
        self.nodes[name].last_disturbed = self.now

    def heal(self, name: str, *others: str) -> None:
        self.cut(name, *others, blocked=False)

    def _elect_leader(self) -> None:
        """Stands in for Raft: elects a leader that reaches a majority, under increasing terms."""
        self.schedule(100.0, self._elect_leader)
        eligible = [n for n in self.voters.values() if self.nodes[n].up and len(self.voters) < 2 * sum(
            self.nodes[o].up and frozenset((n, o)) not in self.cuts for o in self.voters.values())]
        if self.leader not in eligible:
            if self.leader:
                self.leader, self.leaderless_since = "", self.now
            if eligible and self.now - self.leaderless_since >= 400.0:
                self.leader, self.term = self.rng.choice(eligible), self.term + 1

    def _tick(self, node: Node, incarnation: int) -> None:
        if not node.up or node.incarnation != incarnation:
            return
        self.schedule(50.0 if node.disk else 100.0, lambda: self._tick(node, incarnation))
        replica = node.replica
        if replica is not None:
            epoch = self.term if self.leader == node.name else None
            replica.tick(self.now, node.subscriber.local_member, self.voters, epoch, node.config)
        node.subscriber.tick(self.now)
        self._send_outboxes(node)

    def _send_outboxes(self, node: Node) -> None:
        for endpoint in (node.subscriber, node.replica):
            if endpoint is not None:
                out, endpoint.outbox = endpoint.outbox, []
                for ip, message in out:
                    self.send(node, ip, message)
        if node.replica is not None and (value := node.replica.begin_save(self.now)) is not None:
            finish = partial(self._finish_save, node, node.incarnation, value)
            self.schedule(self.disk_rng.uniform(1.0, 6.0), finish)

    def _finish_save(self, node: Node, incarnation: int, value: bytes) -> None:
        if node.replica is not None and node.incarnation == incarnation:
            node.stored = value
            node.replica.finish_save(self.now, True)
            self._send_outboxes(node)

    # Messages -----------------------------------------------------------------------------

    def send(self, node: Node, ip: str, message: Message) -> None:
        encoded = messages.encode(messages.with_sender(message, node.name, node.ip))
        kind = str(message.__struct_config__.tag)
        if ip == node.ip:
            self._deliver(node, ip, encoded, 0.0)
            return
        index, self.sent = self.sent, self.sent + 1
        self.kinds.append(kind)
        copies = [(0.0, encoded)]
        if self.mutate is not None:
            copies = self.mutate(self, index, kind, encoded)
        elif self.rng.random() < self.loss:
            copies = []
        elif self.rng.random() < self.repeat:
            copies = [(0.0, encoded), (self.rng.uniform(0, 1_500), encoded)]
        elif self.rng.random() < self.late:
            copies = [(self.rng.uniform(0, 700), encoded)]
        for delay, copy in copies:
            self._deliver(node, ip, copy, delay + self.rng.uniform(0.3, 3.0))

    def _deliver(self, node: Node, ip: str, encoded: bytes, delay: float) -> None:
        def arrive() -> None:
            to = self.by_ip.get(ip)
            if to is not None and to.up and frozenset((node.name, to.name)) not in self.cuts:
                try:
                    self.receive(to, messages.decode(encoded))
                except DECODING_ERRORS:
                    if self.mutate is None:
                        raise
                    self.unusable += 1
        arrive.origin = (node.name, self.now)        # type: ignore[attr-defined]
        self.schedule(delay, arrive)

    def receive(self, node: Node, message: Message) -> None:
        """Handles a message as the process does."""
        now, replica = self.now, node.replica
        match message:
            case Delta():
                node.subscriber.handle_delta(now, message)
            case NotReady():
                node.subscriber.handle_not_ready(now, message)
            case Hello():
                node.subscriber.handle_hello(now, message)
                self._add_cores(replica, [(message.sender, message.member)])
            case Cores():
                node.subscriber.handle_cores(now, message)
                self._add_cores(replica, message.cores)
            case ServerCall() as asked:
                call = server_from_row(asked.id, asked.row) if asked.row is not None else asked.id
                self.server_call(node, call, lambda known: self.send(
                    node, asked.address, CallResult(200 if known else 503).answer_to(asked)))
            case CallAnswer():
                if (waiting := node.calls.pop(message.number, None)) is not None:
                    waiting(message)
            case _:
                if replica is not None:
                    self._receive_at_core(node, replica, message)
        self._send_outboxes(node)

    def _receive_at_core(self, node: Node, replica: RegistryReplica, message: Message) -> None:
        now = self.now
        match message:
            case SyncAck():
                replica.handle_sync_ack(message)
            case MemberHeartbeat():
                replica.handle_heartbeat(now, message, node.config)
            case DeltaAck():
                replica.handle_delta_ack(message)
            case RowsAck():
                replica.handle_rows_ack(message)
            case RowsUpdate():
                replica.handle_rows_update(now, message)
            case Sync():
                replica.handle_sync(now, message)
            case RangeRows():
                replica.handle_range_rows(now, message)
        replica.push(now, node.config)

    def _add_cores(self, replica: RegistryReplica | None, rows: Rows) -> None:
        for name, row in rows:
            member = member_from_row(str(name), row)
            if replica is not None and member.disk:
                replica.add_core(self.now, member)

    # Servers ------------------------------------------------------------------------------

    def server_call(self, node: Node, call: Server | str, reply: Reply) -> None:
        """Handles a server's call as the process does: here, or by forwarding it to the home."""
        replica, ip = node.replica, node.subscriber.home_ip()
        here = replica is not None and (replica.ready or not ip or ip == node.ip)
        if replica is not None and here and not replica.fenced(self.now):
            if isinstance(call, Server):
                replica.server_heartbeat(self.now, call, lambda known: reply(known))
            else:
                replica.server_leave(self.now, call, lambda known: reply(known))
            replica.push(self.now, node.config)
            self._send_outboxes(node)
        elif not ip or ip == node.ip:
            reply(False)
        else:
            node.calls_made += 1
            number, incarnation = node.calls_made, node.incarnation
            node.calls[number] = lambda answer: reply(answer is not None and answer.result.status == 200)

            def time_out() -> None:
                if node.incarnation == incarnation and (waiting := node.calls.pop(number, None)) is not None:
                    waiting(None)
            self.schedule(FORWARD_TIMEOUT_MS, time_out)
            name, row = (call.id, call.to_row()) if isinstance(call, Server) else (call, None)
            self.send(node, ip, ServerCall(number=number, id=name, row=row))

    def add_server(self, name: str, target: str, address: str) -> FakeServer:
        server = FakeServer(name, target, address, f"z{len(self.servers) % 3}")
        self.servers[name] = server
        self.schedule(self.rng.uniform(0, HEARTBEAT_PERIOD_MS), lambda: self._send_heartbeats(server))
        return server

    def _send_heartbeats(self, server: FakeServer) -> None:
        if server.alive:
            self.schedule(HEARTBEAT_PERIOD_MS * self.rng.uniform(0.9, 1.1),
                          lambda: self._send_heartbeats(server))
            self.call_limiter(server)

    def call_limiter(self, server: FakeServer, leave: bool = False, attempts: int = 8, to: str = "") -> None:
        """Calls one limiter after the other until one acknowledges."""
        if not attempts or not (server.alive or leave):
            return
        server.sequence += 1
        state = GONE if leave else server.state
        call: Server | str = server.id if leave else Server(
            server.id, server.target, server.address, server.zone, server.slots, "v1", state, server.sequence)
        node = self.nodes[to or self.rng.choice(sorted(self.nodes))]
        over = False

        def answered(acknowledged: bool) -> None:
            nonlocal over
            if acknowledged and node.incarnation == incarnation and state != STEADY:
                server.acknowledged_at.setdefault(state, self.now)
                if self.on_ack is not None:
                    self.on_ack(node, server)
            if node.incarnation == incarnation:
                self.schedule(1.0, lambda: retry(acknowledged))

        def retry(acknowledged: bool) -> None:
            nonlocal over
            if not over:
                over = True
                if not acknowledged and state in (server.state, GONE):
                    self.call_limiter(server, leave, attempts - 1)

        incarnation = node.incarnation
        if node.up:
            self.schedule(1.0, lambda: self.server_call(node, call, answered)
                          if node.incarnation == incarnation else None)
        self.schedule(CALLER_TIMEOUT_MS if node.up else 20.0, lambda: retry(False))

    def drain(self, name: str, to: str = "") -> None:
        self.servers[name].state = DRAINING
        self.call_limiter(self.servers[name], to=to)

    def leave(self, name: str) -> None:
        self.servers[name].alive = False
        self.call_limiter(self.servers[name], leave=True)

    # The checker --------------------------------------------------------------------------

    def _check(self) -> None:
        self.schedule(50.0, self._check)
        for node in self.nodes.values():
            if node.up:
                self._check_node(node)

    def _check_node(self, node: Node) -> None:
        for server in node.subscriber.servers.values():
            actual = self.servers[server.id]
            # A core machine that had never heard of a server records its sign-off all the same.
            place = (server.target, server.address, server.zone)
            is_bare_sign_off = server.state == GONE and place == ("", "", "")
            if not is_bare_sign_off and place != (actual.target, actual.address, actual.zone):
                raise InvariantError(f"{self.now:.0f} {node.name}: a mix of two servers in {server}")
            rank = RANK[server.state]
            if rank < node.highest_rank.get(server.id, 0):
                raise InvariantError(f"{self.now:.0f} {node.name}: {server.id} went back to {server.state}")
            node.highest_rank[server.id] = rank
        if node.replica is not None:
            for name, known in node.replica.registry.by_id.items():
                acknowledged_at, state = self.servers[name].acknowledged_at, known.server.state
                if (GONE in acknowledged_at and self.now - acknowledged_at[GONE] > DRAIN_BOUND_MS
                        and state != GONE):
                    raise InvariantError(f"{self.now:.0f} {node.name}: {name} has left and is {state}")
        for name in node.highest_rank:
            if name not in node.subscriber.servers:
                actual = self.servers[name]
                if actual.alive and actual.state == STEADY:
                    raise InvariantError(f"{self.now:.0f} {node.name}: lost {name}, which is well")
        if self.now - node.last_disturbed < CONTACT_BOUND_MS:
            return
        for name, known_server in node.subscriber.servers.items():
            acknowledged_at = self.servers[name].acknowledged_at
            if known_server.state == STEADY and any(
                    self.now - at > DRAIN_BOUND_MS for at in acknowledged_at.values()):
                raise InvariantError(
                    f"{self.now:.0f} {node.name}: {name} steady, acknowledged {acknowledged_at}")

    def deviation(self) -> str:
        """Describes the first deviation from the state that must be reached once nothing happens any more,
        or returns ""."""
        up = {n: node for n, node in self.nodes.items() if node.up}
        for node in up.values():
            members = {n: m for n, m in node.subscriber.members.items() if m.state == UP}
            if members.keys() != up.keys():
                return f"{node.name} knows {sorted(members)} as up, of {sorted(up)}"
            numbers = {m.ring_number for m in members.values()}
            if len(numbers) < len(members) or -1 in numbers:
                return f"{node.name} knows numbers {[(m.node, m.ring_number) for m in members.values()]}"
            if node.subscriber.local_member.ring_number != members[node.name].ring_number:
                return (f"{node.name} has number {node.subscriber.local_member.ring_number}, "
                        f"others {members[node.name].ring_number}")
            steady = {n: s.slots for n, s in node.subscriber.servers.items()
                      if s.state == STEADY and not s.silent}
            alive = {n: s.slots for n, s in self.servers.items() if s.alive and s.state == STEADY}
            if steady != alive:
                return f"{node.name} knows servers {steady}, of {alive}"
        return ""

    def expect_settled(self) -> None:
        if wrong := self.deviation():
            raise InvariantError(f"{self.now:.0f} {wrong}")

    def ring_numbers(self) -> dict[str, int]:
        return {n: node.subscriber.local_member.ring_number for n, node in self.nodes.items() if node.up}


# Runs -----------------------------------------------------------------------------------------


def settled_simulation(seed: int = 1, ms: float = 5_500.0, **more: Any) -> Simulation:
    sim = Simulation(seed, **more)
    sim.run(ms)
    sim.expect_settled()
    return sim


def run_with_faults(seed: int) -> None:
    """Servers start, drain, leave and crash, addresses are reused, limiters restart and are cut off, and
    messages are lost, repeated and delayed.  Only one core machine at a time is disturbed."""
    sim = settled_simulation(seed, loss=0.03, repeat=0.05, late=0.05)
    rng, numbers = random.Random(seed), itertools.count(100)
    for _ in range(14):
        steady = [s for s in sim.servers.values() if s.alive and s.state == STEADY]
        what = rng.choice(["drain", "drain", "resize", "crash", "start", "limiter", "core", "cut", "ack"])
        victim = rng.choice(["m0", "m1", "m2"])
        if what in ("drain", "ack") and len(steady) > 2:
            server = rng.choice(steady)
            if what == "ack":
                def die(node: Node, _: FakeServer) -> None:
                    sim.on_ack = None
                    if node.disk:
                        sim.kill(node.name, unsent=True)
                        sim.schedule(rng.choice([20.0, 2_000.0]), lambda: sim.start(node.name))
                sim.on_ack = die
            sim.drain(server.id, victim)
            sim.run(4_000)
            sim.on_ack = None
            sim.leave(server.id)
            sim.schedule(2_000, lambda old=server: sim.add_server(         # type: ignore[misc]
                f"s{next(numbers)}", "t9", old.address))
        elif what == "resize":
            server = rng.choice(steady)
            server.slots += 1
            sim.call_limiter(server)
        elif what == "crash" and len(steady) > 2:
            rng.choice(steady).alive = False
        elif what == "start":
            number = next(numbers)
            sim.add_server(f"s{number}", f"t{number % 2}", f"10.1.1.{number}:80")
        elif what == "limiter":
            sim.restart(rng.choice(["a0", "a1", "a2", "a3", "a4"]))
        elif what == "core":
            sim.restart(victim)
        elif what == "cut":
            sim.cut(victim)
            sim.run(rng.uniform(500, 4_000))
            sim.heal(victim)
        sim.run(rng.uniform(100, 3_000))
    sim.loss = sim.repeat = sim.late = 0.0
    sim.run(9_000)
    sim.expect_settled()


@pytest.mark.parametrize("seed", range(8))
def test_tables_stay_consistent_under_random_faults(seed: int) -> None:
    run_with_faults(seed)


def depart_and_kill_core(sim: Simulation, name: str, rng: random.Random) -> None:
    """The core is killed at some stage of a server's departure, and heartbeats from before it arrive late."""
    server = sim.servers[name]
    late = Server(
        name, server.target, server.address, server.zone, server.slots, "v1", STEADY, server.sequence)
    core = ("m0", "m1", "m2")

    def kill_core(node: Node, server: FakeServer) -> None:
        sim.on_ack = None
        sim.kill(*core, unsent=True)

    def start(core_machine: str) -> None:
        sim.start(core_machine)
        for node in sim.nodes.values():  # nobody is in touch while the core isn't settled
            node.last_disturbed = sim.now

    def deliver_late() -> None:
        sim.server_call(sim.nodes[rng.choice(sorted(sim.nodes))], late, lambda known: None)

    sim.on_ack = kill_core if rng.random() < 0.5 else None
    (sim.drain if rng.random() < 0.3 else sim.leave)(name)
    sim.run(rng.uniform(1.0, 40.0))
    sim.on_ack = None
    sim.kill(*core)
    for core_machine in core:
        sim.schedule(rng.uniform(10.0, 900.0), partial(start, core_machine))
    for _ in range(6):
        sim.schedule(rng.uniform(10.0, 5_000.0), deliver_late)
    sim.run(9_000.0)


def run_with_core_restarts(seeds: Iterable[int]) -> None:
    for seed in seeds:
        sim, rng = settled_simulation(seed), random.Random(seed)
        for name in ("s0", "s1", "s2", "s3"):
            depart_and_kill_core(sim, name, rng)


def test_acknowledged_departures_outlive_the_processes_of_the_core() -> None:
    """Guards against DRAIN: a late heartbeat brought a server back after the core had restarted."""
    run_with_core_restarts(range(12))


def test_restarted_core_machine_without_a_departure_waits_for_it() -> None:
    """A core machine whose disk lacks a departure must not serve its table after a restart of the whole core
    before it has merged the rows of a majority."""
    core = {name: Member(name, f"10.0.0.{n}", "z", 1, f"disk-{name}") for n, name in enumerate("abc")}
    voters = {member.disk: name for name, member in core.items()}
    replica = RegistryReplica(core["c"], HEARTBEAT_PERIOD_MS, 0.0, bootstrap=False)
    departed = Server("s1", "t", "10.1.0.1:80", "z", 2, "v1", GONE, 7)
    b_replica = RegistryReplica(core["b"], HEARTBEAT_PERIOD_MS, 0.0, bootstrap=False)
    b_replica.registry.update(0.0, departed, False)
    replica.update_member(0.0, core["b"], True)
    for now in range(0, 3_000, 50):
        replica.handle_sync_ack(SyncAck(disk="disk-b", incarnation=1, sent_at=float(now)))
        replica.tick(float(now), core["c"], voters, None, (0, ""))
        assert not replica.ready, "it has merged nobody's rows, and may lack a departure"
    rows = b_replica._make_range_rows(3_000.0, range(16), compared=1, again=False)
    replica.handle_range_rows(3_000.0, msgspec.structs.replace(rows, sender="b", address="10.0.0.1"))
    replica.tick(3_050.0, core["c"], voters, None, (0, ""))
    assert replica.ready and replica.registry.by_id["s1"].server.state == GONE


def drain_and_kill_acknowledger(seed: int, wiped: bool) -> None:
    sim = settled_simulation(seed)
    done: list[float] = []

    def die(node: Node, server: FakeServer) -> None:
        if not done:
            done.append(sim.now)
            server.alive = False               # the server itself does not repeat it
            sim.kill(node.name, unsent=True)
            if wiped:
                sim.start(node.name)
    sim.on_ack = die
    sim.drain(f"s{seed % 6}", f"m{seed % 3}")
    sim.run(9_000)
    assert done
    if wiped:
        sim.expect_settled()


@pytest.mark.parametrize("wiped", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_drain_survives_the_death_of_the_core_machine_that_acknowledged_it(seed: int, wiped: bool) -> None:
    drain_and_kill_acknowledger(seed, wiped)


def test_drain_is_not_acknowledged_by_a_minority() -> None:
    sim = settled_simulation(2)
    sim.cut("m0", "m1", "m2")
    sim.drain("s0", "m0")
    sim.run(700)
    # Neither acknowledged nor refused, as other core machines may still answer.
    assert not sim.servers["s0"].acknowledged_at
    sim.run(3_000)
    # The server has called another limiter since.
    assert sim.servers["s0"].acknowledged_at


def deliver_late_heartbeats(seed: int) -> None:
    """Heartbeats that limiters deliver late, after newer ones."""
    sim = settled_simulation(seed)
    server = sim.servers["s1"]
    old = Server("s1", server.target, server.address, server.zone, 1, "v1", STEADY, server.sequence)
    server.slots = 9
    sim.call_limiter(server, to="m0")
    sim.run(700)
    for name in ("m0", "m1", "m2", "a0"):
        sim.server_call(sim.nodes[name], old, lambda known: None)
    sim.run(700)
    sim.expect_settled()
    sim.drain("s2", "m1")
    sim.run(1_000)
    sim.server_call(sim.nodes["m2"], evolve(old, id="s2", target="t0", address="10.1.0.2:80", zone="z2"),
                    lambda known: None)
    sim.run(700)
    assert all(n.subscriber.servers["s2"].state == DRAINING for n in sim.nodes.values())
    # Only one core machine knows the last heartbeat of s2, and its sign-off arrives at another.
    sim.cut("m2", "m0", "m1")
    sim.call_limiter(sim.servers["s2"], to="m1")
    sim.run(50)
    sim.heal("m2", "m0", "m1")
    sim.servers["s2"].alive = False
    sim.call_limiter(sim.servers["s2"], leave=True, to="m2")
    sim.run(4_000)


def test_late_heartbeats_do_not_override_newer_records() -> None:
    deliver_late_heartbeats(3)


def repeat_deltas() -> None:
    """Each delta arrives a second time, after newer ones."""
    sim = settled_simulation(3)
    sim.mutate = lambda sim, index, kind, encoded: [(0.0, encoded), (400.0, encoded)][:1 + (kind == "delta")]
    sim.servers["s0"].slots = 9
    sim.call_limiter(sim.servers["s0"])
    sim.run(200)
    sim.drain("s0")
    sim.restart("a1")
    incarnations: dict[str, int] = {}
    for i in range(80):
        sim.run(50)
        if i == 4:
            sim.restart("a1")
        for node in sim.nodes.values():
            if (member := node.subscriber.members.get("a1")) is not None and node.name != "a1":
                assert member.incarnation >= incarnations.get(node.name, 0), f"{sim.now:.0f} {node.name}"
                incarnations[node.name] = member.incarnation
    sim.expect_settled()


def test_repeated_deltas_do_not_undo_newer_changes() -> None:
    repeat_deltas()


def run_scenario(sim: Simulation) -> None:
    """A short run with a drain, a sign-off, a restart of a core machine and one of a limiter."""
    sim.run(3_500)
    sim.drain("s0", "m0")
    sim.run(300)
    sim.restart("m1")
    sim.run(400)
    sim.restart("a1")
    sim.servers["s3"].slots = 7
    sim.run(300)
    sim.leave("s0")
    sim.run(300)
    sim.add_server("s9", "t9", "10.1.0.0:80")
    sim.run(6_500)
    sim.expect_settled()


def drop(sim: Simulation, encoded: bytes, rng: random.Random) -> list[tuple[float, bytes]]:
    return []


def repeat(sim: Simulation, encoded: bytes, rng: random.Random) -> list[tuple[float, bytes]]:
    return [(0.0, encoded), (rng.choice([1.0, 300.0, 1_500.0]), encoded)]


def delay(sim: Simulation, encoded: bytes, rng: random.Random) -> list[tuple[float, bytes]]:
    return [(rng.choice([5.0, 200.0, 1_200.0]), encoded)]


def alter(sim: Simulation, encoded: bytes, rng: random.Random) -> list[tuple[float, bytes]]:
    """Changes the type of one field at any depth; a message that can't be parsed must do no harm."""
    decoded, places = msgspec.json.decode(encoded), list[tuple[Any, Any]]()

    def walk(part: Any) -> None:
        for key, value in part.items() if isinstance(part, dict) else enumerate(part):
            if isinstance(value, dict | list) and value:
                walk(value)
            elif (part is not decoded or key not in ("k", "f", "s", "p")) and not isinstance(value, str):
                places.append((part, key))
    walk(decoded)
    if places:
        part, key = rng.choice(places)
        part[key] = "?"
    return [(0.0, msgspec.json.encode(decoded))]


def check_mutations(mutation: Callable[[Simulation, bytes, random.Random], list[tuple[float, bytes]]],
                    each: int) -> None:
    """Repeats the scenario with one altered message at a time, for ``each`` messages of each kind."""
    plain = Simulation(5)
    plain.mutate = lambda sim, index, kind, encoded: [(0.0, encoded)]
    run_scenario(plain)
    rng = random.Random(mutation.__name__)
    for kind in sorted(set(plain.kinds)):
        places = [i for i, k in enumerate(plain.kinds) if k == kind]
        for place in rng.sample(places, min(each, len(places))):
            sim = Simulation(5)
            sim.mutate = lambda sim, index, kind, encoded, at=place: (
                mutation(sim, encoded, rng) if index == at else [(0.0, encoded)])
            try:
                run_scenario(sim)
            except AssertionError as error:
                raise InvariantError(f"{mutation.__name__} of message {place} ({kind}): {error}") from error


@pytest.mark.parametrize("mutation", [drop, repeat, delay, alter])
def test_single_altered_message_does_no_harm(mutation: Any) -> None:
    check_mutations(mutation, 3)


def test_malformed_delta_is_not_acknowledged() -> None:
    sim = settled_simulation(3)
    corrupted: list[str] = []

    def corrupt(sim: Simulation, index: int, kind: str, encoded: bytes) -> list[tuple[float, bytes]]:
        decoded = msgspec.json.decode(encoded)
        if kind == "delta" and decoded["rows"] and decoded["you"][2] not in corrupted:
            corrupted.append(decoded["you"][2])
            decoded["rows"].insert(0, ["s", "s99", {"t": "t"}])
        return [(0.0, msgspec.json.encode(decoded))]
    sim.mutate = corrupt
    sim.servers["s1"].slots = 9
    sim.call_limiter(sim.servers["s1"])
    sim.run(2_000)
    assert sim.unusable
    sim.expect_settled()


def test_subscribers_leave_a_home_that_dies_after_a_quiet_time() -> None:
    """A limiter that no core machine has as a seed gets no news of the other core machines for long."""
    sim = settled_simulation(4, seeds=3)
    sim.run(40_000)
    sim.kill("m0")
    sim.run(2_500)
    for name in ("a0", "a1", "a2", "a3", "a4"):
        subscriber = sim.nodes[name].subscriber
        assert subscriber.home != "m0" and subscriber.complete, name


def test_subscribers_leave_a_home_that_is_cut_off() -> None:
    sim = settled_simulation(4)
    assert any(n.subscriber.home == "m0" for n in sim.nodes.values() if n.name != "m0")
    sim.cut("m0", "m1", "m2")
    sim.run(2_500)
    homes = [n for n in sim.nodes if n != "m0"]
    fenced = sim.nodes["m0"].replica
    assert fenced is not None and fenced.fenced(sim.now)
    sim.drain("s1", "m1")
    sim.run(20)
    assert sim.servers["s1"].acknowledged_at
    sim.servers["s1"].alive = False           # so that nobody informs m0
    sim.run(2_500)
    assert all(sim.nodes[n].subscriber.servers["s1"].state == DRAINING for n in homes)
    sim.heal("m0", "m1", "m2")
    sim.run(3_000)
    sim.expect_settled()


def test_switching_to_an_empty_home_keeps_known_servers() -> None:
    sim = settled_simulation(6)
    # The checker fails if a limiter drops a server that it knew.
    sim.restart("m0", "m1", "m2")
    sim.run(8_000)
    sim.expect_settled()


def test_restart_of_the_only_core_machine() -> None:
    """Its subscribers have no other home, and the revisions of its new incarnation start again at 0."""
    sim = settled_simulation(6, cores=1, servers=3)
    sim.restart("m0")
    for i in range(10, 40):
        sim.add_server(f"s{i}", "t", f"10.1.0.{i}:80")
    sim.run(6_000)
    sim.expect_settled()


def test_drain_remains_in_force_at_a_home_that_lacks_it() -> None:
    """This includes later changes of the same server, once that home's table is complete."""
    subscriber = Subscriber(Member("a0", "10.0.0.1", "z", 1), [])
    for name in ("m0", "m1"):
        subscriber.add_core(0.0, Member(name, f"10.0.0.{name[1]}", "z", 1, f"disk-{name}"))

    def deliver(now: float, start: int, server: Server) -> str:
        subscriber.handle_delta(now, Delta(
            sender=subscriber.home, incarnation=1, start_revision=start, to=start + 1, head=start + 1,
            rows=[("s", "s0", server.to_row())], config=(0, ""), you=(0, 1, 1)))
        return subscriber.servers["s0"].state
    old = Server("s0", "t", "10.1.0.0:80", "z", 4, "v1", STEADY, 3)
    subscriber.tick(0.0)
    first = subscriber.home
    assert deliver(10.0, 0, old) == STEADY
    assert deliver(20.0, 1, evolve(old, state=DRAINING, sequence=4)) == DRAINING
    subscriber.tick(1_200.0)
    assert subscriber.home != first and subscriber.servers["s0"].state == DRAINING
    assert deliver(1_210.0, 0, old) == DRAINING
    assert deliver(1_220.0, 1, evolve(old, slots=5)) == DRAINING


def test_limiter_that_is_down_is_reported_as_down() -> None:
    sim = settled_simulation(6)
    sim.kill("a1")
    sim.run(membership.LEASE_MS + 1_200)
    sim.expect_settled()
    sim.start("a1")
    sim.run(1_500)
    sim.expect_settled()


def test_down_state_is_not_shared_between_core_machines() -> None:
    """A core machine that was cut off considers all others down, and must not pass that on."""
    sim = settled_simulation(6)
    sim.cut("m1")
    sim.run(membership.LEASE_MS + 3_000)
    sim.heal("m1")
    for _ in range(30):
        sim.run(50)
        for node in sim.nodes.values():
            members = node.subscriber.members
            assert node.subscriber.home == "m1" or all(
                members[n].state == UP for n in members if n != "m1"), sim.now


def test_subscriber_behind_the_kept_removals_gets_the_whole_table() -> None:
    """It gets the table from the same home again, because the removals that it lacks were dropped."""
    sim = settled_simulation(13, max_removals=1, servers=8)
    for name in ("s0", "s1", "s2", "s3", "s4"):
        sim.drain(name)
    sim.run(1_500)
    for name in ("s0", "s1", "s2", "s3", "s4"):
        sim.leave(name)
    sim.run(registry.FORGET_MS + 3_000)
    sim.add_server("s50", "t", "10.1.0.50:80")
    sim.run(2_500)
    sim.expect_settled()


@pytest.mark.parametrize("seed", range(3))
def test_all_restart_at_once(seed: int) -> None:
    sim = settled_simulation(seed, servers=12)
    sim.restart(*sim.nodes)
    sim.run(2 * HEARTBEAT_PERIOD_MS + 2_000)
    sim.expect_settled()


def test_ring_numbers_survive_a_restart() -> None:
    sim = settled_simulation(2)
    before = sim.ring_numbers()
    restarted = ["a0", "a1", "a2", "a3", "a4", "m2"]
    sim.restart(*restarted)
    sim.run(4_000)
    sim.expect_settled()
    assert sim.ring_numbers() == before
    # Otherwise an assignment in the order of names would pass too.
    assert [before[n] for n in restarted] != sorted(before[n] for n in restarted)


@pytest.mark.parametrize("isolated", ["a0", "a4"])
@pytest.mark.parametrize("seed", [0, 3])
def test_ring_numbers_are_unique_after_all_core_machines_restart(seed: int, isolated: str) -> None:
    """Having lost all numbers, they assign that of a limiter that is cut off to another one."""
    sim = settled_simulation(seed)
    sim.cut(isolated)
    sim.restart("m0", "m1", "m2")
    sim.run(6_000)
    sim.heal(isolated)
    sim.run(6_000)
    sim.expect_settled()


def test_reassigned_ring_number_is_given_up() -> None:
    """A limiter was cut off for so long that the same leader has assigned its number to another one."""
    sim = settled_simulation(7)
    first, second, *_ = sorted((n for n in sim.nodes if n[0] == "a"), key=lambda n: sim.ring_numbers()[n])
    sim.kill(second)
    sim.cut(first)
    sim.run(membership.FORGET_MS + 2_000)
    sim.start(second)
    sim.run(3_000)
    assert sim.ring_numbers()[first] == sim.ring_numbers()[second]
    sim.heal(first)
    sim.run(6_000)
    sim.expect_settled()


def test_clock_set_back_before_a_restart() -> None:
    sim = settled_simulation(8)
    sim.restart("a2")
    sim.run(1_000)
    sim.restart("a2")
    sim.nodes["a2"].subscriber.local_member = evolve(sim.nodes["a2"].subscriber.local_member, incarnation=17)
    sim.run(membership.LEASE_MS + 2_000)
    sim.expect_settled()


def test_old_records_are_deleted_everywhere() -> None:
    """Core machines repair each other's tables, and must not restore records that the others have
    deleted."""
    sim = settled_simulation(9)
    sim.servers["s0"].alive = False
    sim.drain("s1")
    sim.run(1_500)
    sim.leave("s1")
    sim.nodes["a3"].subscriber.local_member = evolve(sim.nodes["a3"].subscriber.local_member, state=LEAVING)
    sim.run(600)
    sim.kill("a3")
    sim.run(membership.FORGET_MS + 8_000)
    for node in sim.nodes.values():
        if node.replica is not None:
            assert not {"s0", "s1"} & node.replica.registry.by_id.keys(), node.name
            assert "a3" not in node.replica.members.by_node, node.name
            assert len(node.replica.subscribers) < 8 and not node.replica.pending
        if node.up:
            assert not {"s0", "s1"} & node.subscriber.servers.keys(), node.name


def test_record_of_a_limiter_that_has_left_stops_changing() -> None:
    """Core machines that disagree on it would send changes to each other and to all limiters without end."""
    sim = settled_simulation(9)
    sim.nodes["a3"].subscriber.local_member = evolve(sim.nodes["a3"].subscriber.local_member, state=LEAVING)
    sim.run(600)
    sim.kill("a3")
    sim.run(membership.LEASE_MS + 3_000)
    before = {n: node.replica.table.revision for n, node in sim.nodes.items() if node.replica is not None}
    sim.run(5_000)
    assert before == {
        n: node.replica.table.revision for n, node in sim.nodes.items() if node.replica is not None}


def test_deleted_core_machine_is_added_again() -> None:
    sim = settled_simulation(6)
    sim.cut("m0")
    sim.run(membership.FORGET_MS + 3_000)
    sim.heal("m0")
    sim.run(6_000)
    sim.expect_settled()


def test_silent_server_stays_silent_across_core_restarts() -> None:
    """A record that a core machine got from another must not renew the server's lease."""
    sim = settled_simulation(11)
    sim.servers["s0"].alive = False
    sim.run(HEARTBEAT_PERIOD_MS * registry.LEASE_PERIODS + 1_500)
    for name in ("m0", "m1", "m2"):
        sim.restart(name)
        for _ in range(30):
            sim.run(100)
            revived = [n.name for n in sim.nodes.values() if n.subscriber.ever_complete and n.name[0] == "a"
                       and "s0" in n.subscriber.servers and not n.subscriber.servers["s0"].silent]
            assert not revived, f"{sim.now:.0f} after {name}: {revived}"


def test_digests_repair_a_lost_row() -> None:
    sim = settled_simulation(10)
    replica = sim.nodes["m1"].replica
    other = next(n for n, node in sim.nodes.items() if node.subscriber.home == "m0" and n != "m0")
    assert replica is not None
    sim.servers["s2"].alive = False            # so that it sends no heartbeat
    del replica.registry.by_id["s2"]
    del replica.members.by_node[other]
    replica.range_digests = None
    sim.run(1_200)
    assert "s2" in replica.registry.by_id and other in replica.members.by_node


@pytest.mark.parametrize("after", range(13_600, 15_400, 200))
def test_restarted_home_becomes_ready_while_rows_become_stale(after: int) -> None:
    """Each core machine drops the rows of servers that have left from its digests at a time of its own, so
    that digests differ for a while."""
    sim = settled_simulation(3)
    sim.leave("s0")
    sim.run(float(after))
    sim.restart("m1")
    sim.run(1_500)
    replica = sim.nodes["m1"].replica
    assert replica is not None and replica.ready


def test_subscriber_keeps_its_home_while_preferred_ones_are_reported_down() -> None:
    """Trying each core machine that was replaced would leave the subscriber without a home each time."""
    subscriber = Subscriber(Member("a0", "10.0.0.9", "z", 1), [])
    cores = {name: Member(name, f"10.0.0.{name[1]}", "z", 1, f"disk-{name}") for name in ("m0", "m1", "m2")}
    for core in cores.values():
        subscriber.add_core(0.0, core)
    revision = {name: 0 for name in cores}

    def deliver(now: float, states: dict[str, str]) -> None:
        home, start = subscriber.home, subscriber.revision
        revision[home] += 1
        rows: list[tuple[str, str, Row | None]] = [
            ("m", name, evolve(cores[name], state=state).to_row()) for name, state in states.items()]
        subscriber.handle_delta(now, Delta(
            sender=home, incarnation=1, start_revision=start, to=start + 1, head=start + 1, rows=rows,
            config=(0, ""), you=(0, 1, 1)))

    subscriber.tick(0.0)
    first = subscriber.home
    deliver(10.0, dict.fromkeys(cores, UP))
    subscriber.tick(1_200.0)
    second = subscriber.home
    subscriber.tick(2_400.0)
    third = subscriber.home
    assert len({first, second, third}) == 3
    deliver(2_410.0, {first: DOWN, second: DOWN, third: UP})
    for now in range(2_450, 12_000, 50):
        subscriber.tick(float(now))
        assert subscriber.home == third
        if now % 500 == 0:
            deliver(float(now), {third: UP})
    deliver(12_000.0, {second: UP})
    subscriber.tick(12_500.0)
    assert subscriber.home == second


def test_tables_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registry, "MAX_SERVERS", 5)
    monkeypatch.setattr(membership, "MAX_MEMBERS", 5)
    replica = RegistryReplica(Member("m", "10.0.0.1", "z", 1, "d"), HEARTBEAT_PERIOD_MS, 0.0, ready=True)
    answers: list[bool] = []
    for i in range(50):
        replica.server_heartbeat(0.0, Server(f"s{i}", "t", "a:1", "z", 1), answers.append)
        row = Member(f"n{i}", "10.0.0.9", "z", 1).to_row()
        replica.handle_heartbeat(
            0.0, MemberHeartbeat(sender=f"n{i}", address="10.0.0.9", member=row, of=("", 0), have=0), (0, ""))
    assert answers.count(True) == 5 and len(replica.registry.by_id) == 5
    assert len(replica.members.by_node) == 5 and len(replica.subscribers) <= 5


# The table of changes and the merging of records -------------------------------------------------


def check_changes(seed: int) -> None:
    """Readers that fetch changes now and then, compared with a plain copy of the table."""
    rng = random.Random(seed)
    table, plain = Table(max_removals=3), dict[tuple[str, str], Any]()
    views = [(0, dict[tuple[str, str], Any]()) for _ in range(3)]
    for _ in range(120):
        key = (rng.choice("ms"), rng.choice("abcdef"))
        row = None if rng.random() < 0.4 else {"n": rng.randrange(3)}
        assert table.put(*key, row) == (plain.get(key) != row)
        plain.pop(key, None)
        if row is not None:
            plain[key] = row
        i = rng.randrange(12)
        if i < len(views):
            rev, view = views[i]
            events = table.changes_since(rev)
            if events is None:
                view, events = {}, table.changes_since(0) or []
            assert [e.revision for e in events] == sorted(e.revision for e in events)
            for event in events:
                view.pop((event.kind, event.key), None)
                if event.row is not None:
                    view[event.kind, event.key] = event.row
            assert view == plain
            views[i] = (table.revision, view)
    assert len(table.removed) <= 3 and table.changes_since(table.revision + 1) is None


def test_changes_since_returns_what_a_reader_lacks() -> None:
    for seed in range(30):
        check_changes(seed)


def _member(incarnation: int, state: str, grant: int) -> Member:
    return Member("n", "ip", "z", incarnation, "d", state, grant * 3 % 7, grant)      # one number per grant


MEMBERS = st.builds(_member, st.integers(1, 3), st.sampled_from([UP, LEAVING]), st.integers(-1, 3))
SERVERS = st.builds(lambda state, seq: Server("s", "t", "a:1", "z", seq, "v", state, seq),
                    st.sampled_from([STEADY, DRAINING, GONE]), st.integers(0, 4))


@settings(derandomize=True, deadline=None, max_examples=60, phases=[Phase.generate])
@given(st.permutations(list(range(4))), st.lists(MEMBERS, min_size=4, max_size=4),
       st.lists(SERVERS, min_size=4, max_size=4))
def check_merges(order: list[int], members: list[Member], servers: list[Server]) -> None:
    """Merging is independent of the order, and merging a record twice has no effect."""
    both: list[tuple[Callable[[Any, Any], Any], list[Any]]] = [
        (membership.merge_members, list(members)), (registry.merge_servers, list(servers))]
    for merge, found in both:
        one, two = found[0], found[order[0]]
        for i in range(4):
            one = merge(found[i], one)
            two = merge(found[order[i]], merge(found[order[i]], two))
        assert one == two


def test_merging_does_not_depend_on_the_order() -> None:
    check_merges()


# For each safeguard a run that fails without it --------------------------------------------------


def _keep_first(one: Any, other: Any) -> Any:
    return one


def _by_sequence(one: Server, other: Server) -> Server:
    return max(one, other, key=lambda s: s.sequence)


def _acknowledge_at_once(
        self: RegistryReplica, now: float, server: Server, done: Callable[[bool], object]) -> None:
    self._broadcast(now, RowsUpdate(members=[], servers=[(server.id, server.to_row())]))
    done(True)


def _durable_at_once(
        self: Departures, departures: Any, action: Callable[[], object], deadline: float) -> None:
    action()


def _drop_departures(self: RegistryReplica) -> None:
    self.stored_departures = None


_handle_delta = Subscriber.handle_delta


def _accept_any_revision(self: Subscriber, now: float, message: Delta) -> None:
    if message.start_revision and message.incarnation == self.home_incarnation:
        self.revision = message.start_revision
    _handle_delta(self, now, message)


def _ignore_dropped_removals(self: Table, rev: int) -> Any:
    floor, self.complete_since = self.complete_since, 0
    try:
        return _changes_since(self, rev)
    finally:
        self.complete_since = floor


_changes_since = Table.changes_since


def _assign_equal_numbers(self: Members, epoch: int) -> list[str]:
    without = [n for n, h in self.by_node.items() if h.member.ring_number < 0]
    for i, node in enumerate(without):
        self.by_node[node].member = evolve(self.by_node[node].member, ring_number=i, grant=epoch)
    return without


def _equal_digests(self: RegistryReplica) -> list[str]:
    return [""] * 16


def _drop_missing_rows_at_once(self: Subscriber, now: float) -> None:
    self.servers, self.members = self.loading_servers, self.loading_members
    self.loading_servers, self.loading_members = {}, {}
    self.complete = self.ever_complete = True


FAULTS: dict[str, tuple[Any, str, Any, Callable[[], object]]] = {
    "sequence ignored": (registry, "merge_servers", _keep_first, lambda: deliver_late_heartbeats(3)),
    "drain not sticky": (registry, "merge_servers", _by_sequence, lambda: deliver_late_heartbeats(3)),
    "acknowledged before a majority knows": (RegistryReplica, "_acknowledge_on_quorum", _acknowledge_at_once,
                                             lambda: drain_and_kill_acknowledger(1, False)),
    "acknowledged before the save": (Departures, "when_durable", _durable_at_once,
                                     lambda: run_with_core_restarts(range(12))),
    "departures not restored": (RegistryReplica, "_restore_departures", _drop_departures,
                                lambda: run_with_core_restarts(range(12))),
    "serves before a majority is merged": (RegistryReplica, "_has_merged_majority", lambda self: True,
                                           test_restarted_core_machine_without_a_departure_waits_for_it),
    "delta from a wrong revision": (Subscriber, "handle_delta", _accept_any_revision, repeat_deltas),
    "removal lost": (Table, "changes_since", _ignore_dropped_removals,
                     test_changes_since_returns_what_a_reader_lacks),
    "numbers alike": (Members, "assign_ring_numbers", _assign_equal_numbers,
                      test_ring_numbers_survive_a_restart),
    "merge by order": (registry, "merge_servers", _keep_first, check_merges),
    "members merged by order": (membership, "merge_members", _keep_first, check_merges),
    "digests alike": (RegistryReplica, "_current_digests", _equal_digests, test_digests_repair_a_lost_row),
    "new home believed at once": (Subscriber, "_complete_table", _drop_missing_rows_at_once,
                                  test_switching_to_an_empty_home_keeps_known_servers),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_seeded_fault_is_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    where, name, wrong, run = FAULTS[fault]
    monkeypatch.setattr(where, name, wrong)
    if hasattr(subscriber_module, name) and where is registry:
        monkeypatch.setattr(subscriber_module, name, wrong)
    with pytest.raises(AssertionError):
        run()


def test_renewals_beyond_one_message_follow_in_another() -> None:
    """If renewals beyond the size of one message were dropped, servers would become silent wrongly."""
    me = Member("a", "10.0.0.1", "z", 1, disk="d-a")
    replica = RegistryReplica(me, HEARTBEAT_PERIOD_MS, 0.0)
    replica.update_member(0.0, Member("b", "10.0.0.2", "z", 1, disk="d-b"), True)
    names = {f"i-{n}" for n in range(5_000)}
    for name in names:
        replica.server_heartbeat(10.0, Server(name, "t", "10.1.0.1:80", "z", 2), lambda known: None)
    replica.outbox.clear()
    replica.tick(500.0, me, {}, None, (0, ""))
    renewed = {
        name for _, message in replica.outbox if isinstance(message, Sync) for name, _ in message.sequences}
    assert renewed == names
