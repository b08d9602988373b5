"""Homes and followers over a simulated network in simulated time: what limiters know of each other and of
servers, against a plain record of what the servers themselves said and were answered."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from attrs import define, evolve, field
from hypothesis import Phase, given
from hypothesis import settings as tries
from hypothesis import strategies as st

from larklb.changefeed import table as gauge
from larklb.changefeed.table import Table
from larklb.gateway import messages
from larklb.gateway.errors import MessageError
from larklb.gateway.messages import CallAnswer, CallResult, ServerCall
from larklb.membership import members as membership
from larklb.membership.members import DOWN, LEAVING, UP, Member, Members, member_from_row
from larklb.membership.messages import Message, Row, Rows
from larklb.registry import registry
from larklb.registry import subscriber as follower_module
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

PERIOD = 1_500.0
DRAIN = 2_500.0            # an acknowledged drain is known everywhere after it
CONTACT = 3_000.0          # without trouble for so long: in touch
CALL = 850.0               # a call that is passed on waits so long, ...
CALLER = 1_000.0           # ... and its server so long
RANK = {STEADY: 0, DRAINING: 1, GONE: 2}
# As the process takes them.
UNUSABLE = (MessageError, KeyError, TypeError, ValueError, IndexError, AttributeError)
Mutation = Callable[["Net", int, str, bytes], list[tuple[float, bytes]]]
Reply = Callable[[bool], None]


class BrokenError(AssertionError):
    """The checker's complaint."""


@define(eq=False)
class Node:
    """A machine of the system with one life of its process at a time."""

    name: str
    ip: str
    zone: str
    disk: str
    seeds: list[str]
    up: bool = False
    life: int = 0
    born: float = 0.0
    trouble: float = -1e18
    home: RegistryReplica | None = None
    follower: Subscriber = field(init=False)
    calls: dict[int, Callable[[CallAnswer | None], None]] = field(factory=dict)
    called: int = 0
    seen: dict[str, int] = field(factory=dict)       # servers in its table, by the furthest state shown
    offer: ConfigVersion = (0, "")


@define(eq=False)
class Outfall:
    """A server, as it is."""

    id: str
    target: str
    address: str
    zone: str
    slots: int = 4
    state: str = STEADY
    sequence: int = 0
    alive: bool = True
    report_to: str = ""
    acked: dict[str, float] = field(factory=dict)    # when draining, or gone, was first acknowledged


class Net:
    """Three core machines, five more limiters, servers, and all words between them."""

    def __init__(self, seed: int = 1, *, servers: int = 6, seeds: int = 8, loss: float = 0.0,
                 repeat: float = 0.0, late: float = 0.0, most_events: int = gauge.MAX_REMOVALS,
                 cores: int = 3) -> None:
        self.chance = random.Random(seed)
        self.loss, self.repeat, self.late, self.most_events = loss, repeat, late, most_events
        self.now, self.order, self.events = 0.0, itertools.count(), list[tuple[float, int, Any]]()
        self.cuts: set[frozenset[str]] = set()
        self.sent = self.unusable = 0
        self.kinds: list[str] = []
        self.mutate: Mutation | None = None
        self.on_ack: Callable[[Node, Outfall], None] | None = None
        self.term, self.leader, self.leaderless = 1, "m0", 0.0
        names = ["a0", "a1", "a2", "a3", "a4", "m0", "m1", "m2"]      # limiters stand before core machines
        ips = {name: f"10.0.0.{i}" for i, name in enumerate(names, 1)}
        first = [ips[n] for n in ("m0", "m1", "m2", *names)][:seeds]
        disks = {name: f"disk-{name}" for name in names[5:5 + cores]}
        self.nodes = {name: Node(name, ips[name], f"z{i % 3}", disks.get(name, ""), first)
                      for i, name in enumerate(names)}
        self.by_ip = {node.ip: node for node in self.nodes.values()}
        self.voters = {node.disk: node.name for node in self.nodes.values() if node.disk}
        self.servers: dict[str, Outfall] = {}
        for node in self.nodes.values():
            self.start(node.name)
        for i in range(servers):
            self.serve(f"s{i}", f"t{i % 2}", f"10.1.0.{i}:80")
        self.at(0.0, self._lead)
        self.at(0.0, self._check)

    # Time ---------------------------------------------------------------------------------

    def at(self, delay: float, act: Callable[[], object]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), act))

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self.events and self.events[0][0] <= until:
            self.now, _, act = heapq.heappop(self.events)
            act()
        self.now = until

    # Limiters -----------------------------------------------------------------------------

    def start(self, name: str) -> None:
        node = self.nodes[name]
        node.up, node.born, node.trouble = True, self.now, self.now
        node.life = max(node.life + 1, int(self.now))
        me = Member(name, node.ip, node.zone, node.life, node.disk)
        node.follower = Subscriber(me, list(node.seeds))
        node.calls, node.seen = {}, {}
        if node.disk:
            node.home = RegistryReplica(me, PERIOD, self.now)
            node.home.table.max_removals = self.most_events
        life = node.life
        self.at(self.chance.uniform(0, 50), lambda: self._turn(node, life))

    def kill(self, *names: str, unsent: bool = False) -> None:
        """``unsent``: what it said in this instant has not left it either."""
        for name in names:
            node = self.nodes[name]
            node.up, node.home, node.trouble = False, None, self.now
            node.life += 1
            if self.leader == name:
                self.leader, self.leaderless = "", self.now
        if unsent:
            self.events = [e for e in self.events if getattr(e[2], "said", None) != (names[0], self.now)]
            heapq.heapify(self.events)

    def restart(self, *names: str) -> None:
        self.kill(*names)
        for name in names:
            self.start(name)

    def cut(self, name: str, *others: str, whole: bool = True) -> None:
        for other in others or [n for n in self.nodes if n != name]:
            (self.cuts.add if whole else self.cuts.discard)(frozenset((name, other)))
            self.nodes[other].trouble = self.now if others else self.nodes[other].trouble
        self.nodes[name].trouble = self.now

    def heal(self, name: str, *others: str) -> None:
        self.cut(name, *others, whole=False)

    def _lead(self) -> None:
        """Stands for Raft: a leader that reaches a majority, under terms that rise."""
        self.at(100.0, self._lead)
        able = [n for n in self.voters.values() if self.nodes[n].up and len(self.voters) < 2 * sum(
            self.nodes[o].up and frozenset((n, o)) not in self.cuts for o in self.voters.values())]
        if self.leader not in able:
            if self.leader:
                self.leader, self.leaderless = "", self.now
            if able and self.now - self.leaderless >= 400.0:
                self.leader, self.term = self.chance.choice(able), self.term + 1

    def _turn(self, node: Node, life: int) -> None:
        if not node.up or node.life != life:
            return
        self.at(50.0 if node.disk else 100.0, lambda: self._turn(node, life))
        home = node.home
        if home is not None:
            epoch = self.term if self.leader == node.name else None
            home.tick(self.now, node.follower.local_member, self.voters, epoch, node.offer)
        node.follower.tick(self.now)
        self._flush(node)

    def _flush(self, node: Node) -> None:
        for speaker in (node.follower, node.home):
            if speaker is not None:
                out, speaker.outbox = speaker.outbox, []
                for ip, message in out:
                    self.post(node, ip, message)

    # Messages -----------------------------------------------------------------------------

    def post(self, node: Node, ip: str, message: Message) -> None:
        line = messages.encode(messages.addressed(message, node.name, node.ip))
        kind = str(message.__struct_config__.tag)
        if ip == node.ip:
            self._deliver(node, ip, line, 0.0)
            return
        index, self.sent = self.sent, self.sent + 1
        self.kinds.append(kind)
        copies = [(0.0, line)]
        if self.mutate is not None:
            copies = self.mutate(self, index, kind, line)
        elif self.chance.random() < self.loss:
            copies = []
        elif self.chance.random() < self.repeat:
            copies = [(0.0, line), (self.chance.uniform(0, 1_500), line)]
        elif self.chance.random() < self.late:
            copies = [(self.chance.uniform(0, 700), line)]
        for delay, copy in copies:
            self._deliver(node, ip, copy, delay + self.chance.uniform(0.3, 3.0))

    def _deliver(self, node: Node, ip: str, line: bytes, delay: float) -> None:
        def come() -> None:
            to = self.by_ip.get(ip)
            if to is not None and to.up and frozenset((node.name, to.name)) not in self.cuts:
                try:
                    self.heard(to, messages.decode(line))
                except UNUSABLE:
                    if self.mutate is None:
                        raise
                    self.unusable += 1
        come.said = (node.name, self.now)        # type: ignore[attr-defined]
        self.at(delay, come)

    def heard(self, node: Node, message: Message) -> None:
        """As the process does."""
        now, home = self.now, node.home
        match message:
            case Delta():
                node.follower.handle_delta(now, message)
            case NotReady():
                node.follower.handle_not_ready(now, message)
            case Hello():
                node.follower.handle_hello(now, message)
                self._meet(home, [(message.sender, message.member)])
            case Cores():
                node.follower.handle_cores(now, message)
                self._meet(home, message.cores)
            case ServerCall() as asked:
                call = server_from_row(asked.id, asked.row) if asked.row is not None else asked.id
                self.server_call(node, call, lambda known: self.post(
                    node, asked.address, CallResult(200 if known else 503).answer_to(asked)))
            case CallAnswer():
                if (waiting := node.calls.pop(message.number, None)) is not None:
                    waiting(message)
            case _:
                if home is not None:
                    self._heard_at_core(node, home, message)
        self._flush(node)

    def _heard_at_core(self, node: Node, home: RegistryReplica, message: Message) -> None:
        now = self.now
        match message:
            case SyncAck():
                home.handle_sync_ack(message)
            case MemberHeartbeat():
                home.handle_heartbeat(now, message, node.offer)
            case DeltaAck():
                home.handle_delta_ack(message)
            case RowsAck():
                home.handle_rows_ack(message)
            case RowsUpdate():
                home.handle_rows_update(now, message)
            case Sync():
                home.handle_sync(now, message)
            case RangeRows():
                home.handle_range_rows(now, message)
        home.push(now, node.offer)

    def _meet(self, home: RegistryReplica | None, rows: Rows) -> None:
        for name, row in rows:
            member = member_from_row(str(name), row)
            if home is not None and member.disk:
                home.add_core(self.now, member)

    # Servers ------------------------------------------------------------------------------

    def server_call(self, node: Node, call: Server | str, reply: Reply) -> None:
        """As the process does: settled here, or passed on to the home."""
        home, ip = node.home, node.follower.home_ip()
        here = home is not None and (home.ready or not ip or ip == node.ip)
        if home is not None and here and not home.fenced(self.now):
            if isinstance(call, Server):
                home.server_heartbeat(self.now, call, lambda known: reply(known))
            else:
                home.server_leave(self.now, call, lambda known: reply(known))
            home.push(self.now, node.offer)
            self._flush(node)
        elif not ip or ip == node.ip:
            reply(False)
        else:
            node.called += 1
            number, life = node.called, node.life
            node.calls[number] = lambda answer: reply(answer is not None and answer.result.status == 200)

            def late() -> None:
                if node.life == life and (waiting := node.calls.pop(number, None)) is not None:
                    waiting(None)
            self.at(CALL, late)
            name, row = (call.id, call.to_row()) if isinstance(call, Server) else (call, None)
            self.post(node, ip, ServerCall(number=number, id=name, row=row))

    def serve(self, name: str, target: str, address: str) -> Outfall:
        server = Outfall(name, target, address, f"z{len(self.servers) % 3}")
        self.servers[name] = server
        self.at(self.chance.uniform(0, PERIOD), lambda: self._beats(server))
        return server

    def _beats(self, server: Outfall) -> None:
        if server.alive:
            self.at(PERIOD * self.chance.uniform(0.9, 1.1), lambda: self._beats(server))
            self.call(server)

    def call(self, server: Outfall, leave: bool = False, tries: int = 8, to: str = "") -> None:
        """A call of a server, at one limiter after the other until one acknowledges it."""
        if not tries or not (server.alive or leave):
            return
        server.sequence += 1
        state = GONE if leave else server.state
        told: Server | str = server.id if leave else Server(
            server.id, server.target, server.address, server.zone, server.slots, "v1", state, server.sequence)
        node = self.nodes[to or self.chance.choice(sorted(self.nodes))]
        over = False

        def answered(known: bool) -> None:
            nonlocal over
            if known and node.life == life and state != STEADY:
                server.acked.setdefault(state, self.now)
                if self.on_ack is not None:
                    self.on_ack(node, server)
            if node.life == life:
                self.at(1.0, lambda: again(known))

        def again(known: bool) -> None:
            nonlocal over
            if not over:
                over = True
                if not known and state in (server.state, GONE):
                    self.call(server, leave, tries - 1)

        life = node.life
        if node.up:
            self.at(1.0, lambda: self.server_call(node, told, answered) if node.life == life else None)
        self.at(CALLER if node.up else 20.0, lambda: again(False))

    def drain(self, name: str, to: str = "") -> None:
        self.servers[name].state = DRAINING
        self.call(self.servers[name], to=to)

    def leave(self, name: str) -> None:
        self.servers[name].alive = False
        self.call(self.servers[name], leave=True)

    # The checker --------------------------------------------------------------------------

    def _check(self) -> None:
        self.at(50.0, self._check)
        for node in self.nodes.values():
            if node.up:
                self._check_node(node)

    def _check_node(self, node: Node) -> None:
        for server in node.follower.servers.values():
            truth = self.servers[server.id]
            if (server.target, server.address, server.zone) != (truth.target, truth.address, truth.zone):
                raise BrokenError(f"{self.now:.0f} {node.name}: a mix of two servers in {server}")
            rank = RANK[server.state]
            if rank < node.seen.get(server.id, 0):
                raise BrokenError(f"{self.now:.0f} {node.name}: {server.id} went back to {server.state}")
            node.seen[server.id] = rank
        if node.home is not None:
            for name, known in node.home.registry.by_id.items():
                acked, state = self.servers[name].acked, known.server.state
                if GONE in acked and self.now - acked[GONE] > DRAIN and state != GONE:
                    raise BrokenError(f"{self.now:.0f} {node.name}: {name} has left and is {state}")
        for name in node.seen:
            if name not in node.follower.servers:
                truth = self.servers[name]
                if truth.alive and truth.state == STEADY:
                    raise BrokenError(f"{self.now:.0f} {node.name}: lost {name}, which is well")
        if self.now - node.trouble < CONTACT:
            return
        for name, known_server in node.follower.servers.items():
            acked = self.servers[name].acked
            if known_server.state == STEADY and any(self.now - at > DRAIN for at in acked.values()):
                raise BrokenError(f"{self.now:.0f} {node.name}: {name} steady, acknowledged {acked}")

    def settled(self) -> str:
        """What is not as it is to be once all is calm; empty where nothing is."""
        up = {n: node for n, node in self.nodes.items() if node.up}
        for node in up.values():
            told = {n: m for n, m in node.follower.members.items() if m.state == UP}
            if told.keys() != up.keys():
                return f"{node.name} knows {sorted(told)} as up, of {sorted(up)}"
            numbers = {m.ring_number for m in told.values()}
            if len(numbers) < len(told) or -1 in numbers:
                return f"{node.name} knows numbers {[(m.node, m.ring_number) for m in told.values()]}"
            if node.follower.local_member.ring_number != told[node.name].ring_number:
                return (f"{node.name} has number {node.follower.local_member.ring_number}, "
                        f"others {told[node.name].ring_number}")
            steady = {n: s.slots for n, s in node.follower.servers.items()
                      if s.state == STEADY and not s.silent}
            alive = {n: s.slots for n, s in self.servers.items() if s.alive and s.state == STEADY}
            if steady != alive:
                return f"{node.name} knows servers {steady}, of {alive}"
        return ""

    def expect_settled(self) -> None:
        if wrong := self.settled():
            raise BrokenError(f"{self.now:.0f} {wrong}")

    def numbers(self) -> dict[str, int]:
        return {n: node.follower.local_member.ring_number for n, node in self.nodes.items() if node.up}


# Runs -----------------------------------------------------------------------------------------


def calm(seed: int = 1, ms: float = 5_500.0, **more: Any) -> Net:
    net = Net(seed, **more)
    net.run(ms)
    net.expect_settled()
    return net


def troubled(seed: int) -> None:
    """Servers come, drain, leave and crash, addresses are used again, limiters restart and are cut off,
    and words are lost, repeated and late; one core machine at a time is in trouble."""
    net = calm(seed, loss=0.03, repeat=0.05, late=0.05)
    chance, lives = random.Random(seed), itertools.count(100)
    for _ in range(14):
        steady = [s for s in net.servers.values() if s.alive and s.state == STEADY]
        what = chance.choice(["drain", "drain", "resize", "crash", "start", "limiter", "core", "cut", "ack"])
        victim = chance.choice(["m0", "m1", "m2"])
        if what in ("drain", "ack") and len(steady) > 2:
            server = chance.choice(steady)
            if what == "ack":
                def die(node: Node, _: Outfall) -> None:
                    net.on_ack = None
                    if node.disk:
                        net.kill(node.name, unsent=True)
                        net.at(chance.choice([20.0, 2_000.0]), lambda: net.start(node.name))
                net.on_ack = die
            net.drain(server.id, victim)
            net.run(4_000)
            net.on_ack = None
            net.leave(server.id)
            net.at(2_000, lambda old=server: net.serve(         # type: ignore[misc]
                f"s{next(lives)}", "t9", old.address))
        elif what == "resize":
            server = chance.choice(steady)
            server.slots += 1
            net.call(server)
        elif what == "crash" and len(steady) > 2:
            chance.choice(steady).alive = False
        elif what == "start":
            life = next(lives)
            net.serve(f"s{life}", f"t{life % 2}", f"10.1.1.{life}:80")
        elif what == "limiter":
            net.restart(chance.choice(["a0", "a1", "a2", "a3", "a4"]))
        elif what == "core":
            net.restart(victim)
        elif what == "cut":
            net.cut(victim)
            net.run(chance.uniform(500, 4_000))
            net.heal(victim)
        net.run(chance.uniform(100, 3_000))
    net.loss = net.repeat = net.late = 0.0
    net.run(9_000)
    net.expect_settled()


@pytest.mark.parametrize("seed", range(8))
def test_whatever_happens_tables_stay_right(seed: int) -> None:
    troubled(seed)


def acknowledged_and_killed(seed: int, wiped: bool) -> None:
    net = calm(seed)
    done: list[float] = []

    def die(node: Node, server: Outfall) -> None:
        if not done:
            done.append(net.now)
            server.alive = False               # nobody hears it from the server again
            net.kill(node.name, unsent=True)
            if wiped:
                net.start(node.name)
    net.on_ack = die
    net.drain(f"s{seed % 6}", f"m{seed % 3}")
    net.run(9_000)
    assert done
    if wiped:
        net.expect_settled()


@pytest.mark.parametrize("wiped", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_drain_outlives_who_acknowledged_it(seed: int, wiped: bool) -> None:
    acknowledged_and_killed(seed, wiped)


def test_drain_is_not_acknowledged_by_a_minority() -> None:
    net = calm(2)
    net.cut("m0", "m1", "m2")
    net.drain("s0", "m0")
    net.run(700)
    assert not net.servers["s0"].acked         # nor refused: it may still come
    net.run(3_000)
    assert net.servers["s0"].acked             # by another, to whom it has gone since


def late_beats(seed: int) -> None:
    """Beats that come late, from limiters that hang, after newer ones."""
    net = calm(seed)
    server = net.servers["s1"]
    old = Server("s1", server.target, server.address, server.zone, 1, "v1", STEADY, server.sequence)
    server.slots = 9
    net.call(server, to="m0")
    net.run(700)
    for name in ("m0", "m1", "m2", "a0"):
        net.server_call(net.nodes[name], old, lambda known: None)
    net.run(700)
    net.expect_settled()
    net.drain("s2", "m1")
    net.run(1_000)
    net.server_call(net.nodes["m2"], evolve(old, id="s2", target="t0", address="10.1.0.2:80", zone="z2"),
                    lambda known: None)
    net.run(700)
    assert all(n.follower.servers["s2"].state == DRAINING for n in net.nodes.values())
    # Its last beat is known to one core machine alone, and its leave comes to another.
    net.cut("m2", "m0", "m1")
    net.call(net.servers["s2"], to="m1")
    net.run(50)
    net.heal("m2", "m0", "m1")
    net.servers["s2"].alive = False
    net.call(net.servers["s2"], leave=True, to="m2")
    net.run(4_000)


def test_older_sequence_undoes_no_newer() -> None:
    late_beats(3)


def repeated_deltas() -> None:
    """Each word of a home comes again, when newer ones have come since."""
    net = calm(3)
    net.mutate = lambda net, index, kind, line: [(0.0, line), (400.0, line)][:1 + (kind == "delta")]
    net.servers["s0"].slots = 9
    net.call(net.servers["s0"])
    net.run(200)
    net.drain("s0")
    net.restart("a1")
    lives: dict[str, int] = {}
    for i in range(80):
        net.run(50)
        if i == 4:
            net.restart("a1")
        for node in net.nodes.values():
            if (member := node.follower.members.get("a1")) is not None and node.name != "a1":
                assert member.incarnation >= lives.get(node.name, 0), f"{net.now:.0f} {node.name}"
                lives[node.name] = member.incarnation
    net.expect_settled()


def test_repeated_words_of_a_home_undo_nothing() -> None:
    repeated_deltas()


def recorded(net: Net) -> None:
    """A short run with a drain, a leave, a restart of a core machine and one of a limiter."""
    net.run(3_500)
    net.drain("s0", "m0")
    net.run(300)
    net.restart("m1")
    net.run(400)
    net.restart("a1")
    net.servers["s3"].slots = 7
    net.run(300)
    net.leave("s0")
    net.run(300)
    net.serve("s9", "t9", "10.1.0.0:80")
    net.run(6_500)
    net.expect_settled()


def drop(net: Net, line: bytes, chance: random.Random) -> list[tuple[float, bytes]]:
    return []


def repeat(net: Net, line: bytes, chance: random.Random) -> list[tuple[float, bytes]]:
    return [(0.0, line), (chance.choice([1.0, 300.0, 1_500.0]), line)]


def delay(net: Net, line: bytes, chance: random.Random) -> list[tuple[float, bytes]]:
    return [(chance.choice([5.0, 200.0, 1_200.0]), line)]


def alter(net: Net, line: bytes, chance: random.Random) -> list[tuple[float, bytes]]:
    """One field, wherever it is, has another type: what can't be read must harm nothing."""
    word, places = msgspec.json.decode(line), list[tuple[Any, Any]]()

    def walk(part: Any) -> None:
        for key, value in part.items() if isinstance(part, dict) else enumerate(part):
            if isinstance(value, dict | list) and value:
                walk(value)
            elif (part is not word or key not in ("k", "f", "s", "p")) and not isinstance(value, str):
                places.append((part, key))
    walk(word)
    if places:
        part, key = chance.choice(places)
        part[key] = "?"
    return [(0.0, msgspec.json.encode(word))]


def mutants(mutation: Callable[[Net, bytes, random.Random], list[tuple[float, bytes]]], each: int) -> None:
    """The recorded run again and again, each time with one word changed; of each kind some."""
    plain = Net(5)
    plain.mutate = lambda net, index, kind, line: [(0.0, line)]
    recorded(plain)
    chance = random.Random(mutation.__name__)
    for kind in sorted(set(plain.kinds)):
        places = [i for i, k in enumerate(plain.kinds) if k == kind]
        for place in chance.sample(places, min(each, len(places))):
            net = Net(5)
            net.mutate = lambda net, index, kind, line, at=place: (
                mutation(net, line, chance) if index == at else [(0.0, line)])
            try:
                recorded(net)
            except AssertionError as error:
                raise BrokenError(f"{mutation.__name__} of word {place} ({kind}): {error}") from error


@pytest.mark.parametrize("mutation", [drop, repeat, delay, alter])
def test_one_word_changed_harms_nothing(mutation: Any) -> None:
    mutants(mutation, 3)


def test_delta_that_cannot_be_read_whole_is_not_taken_for_had() -> None:
    net = calm(3)
    spoilt: list[str] = []

    def spoil(net: Net, index: int, kind: str, line: bytes) -> list[tuple[float, bytes]]:
        word = msgspec.json.decode(line)
        if kind == "delta" and word["rows"] and word["you"][2] not in spoilt:
            spoilt.append(word["you"][2])
            word["rows"].insert(0, ["s", "s99", {"t": "t"}])
        return [(0.0, msgspec.json.encode(word))]
    net.mutate = spoil
    net.servers["s1"].slots = 9
    net.call(net.servers["s1"])
    net.run(2_000)
    assert net.unusable
    net.expect_settled()


def test_home_that_dies_after_a_long_calm_is_left() -> None:
    """Limiters that no core machine has for a seed hear nothing of the others for long."""
    net = calm(4, seeds=3)
    net.run(40_000)
    net.kill("m0")
    net.run(2_500)
    for name in ("a0", "a1", "a2", "a3", "a4"):
        follower = net.nodes[name].follower
        assert follower.home != "m0" and follower.complete, name


def test_home_that_is_cut_off_is_left() -> None:
    net = calm(4)
    assert any(n.follower.home == "m0" for n in net.nodes.values() if n.name != "m0")
    net.cut("m0", "m1", "m2")
    net.run(2_500)
    homes = [n for n in net.nodes if n != "m0"]
    fenced = net.nodes["m0"].home
    assert fenced is not None and fenced.fenced(net.now)
    net.drain("s1", "m1")
    net.run(20)
    assert net.servers["s1"].acked
    net.servers["s1"].alive = False           # so that m0 hears of it from nobody
    net.run(2_500)
    assert all(net.nodes[n].follower.servers["s1"].state == DRAINING for n in homes)
    net.heal("m0", "m1", "m2")
    net.run(3_000)
    net.expect_settled()


def test_turning_to_an_empty_home_loses_no_server_at_once() -> None:
    net = calm(6)
    net.restart("m0", "m1", "m2")      # the checker holds every limiter to what it knew
    net.run(8_000)
    net.expect_settled()


def test_only_core_machine_restarts() -> None:
    """Its limiters have nobody else to turn to, and its new life counts its changes from the start."""
    net = calm(6, cores=1, servers=3)
    net.restart("m0")
    for i in range(10, 40):
        net.serve(f"s{i}", "t", f"10.1.0.{i}:80")
    net.run(6_000)
    net.expect_settled()


def test_drain_holds_at_a_home_that_lacks_it() -> None:
    """Also once its table has been seen, when it tells something else of the server."""
    follower = Subscriber(Member("a0", "10.0.0.1", "z", 1), [])
    for name in ("m0", "m1"):
        follower.add_core(0.0, Member(name, f"10.0.0.{name[1]}", "z", 1, f"disk-{name}"))

    def told(now: float, start: int, server: Server) -> str:
        follower.handle_delta(now, Delta(
            sender=follower.home, incarnation=1, start_revision=start, to=start + 1, head=start + 1,
            rows=[("s", "s0", server.to_row())], config=(0, ""), you=(0, 1, 1)))
        return follower.servers["s0"].state
    old = Server("s0", "t", "10.1.0.0:80", "z", 4, "v1", STEADY, 3)
    follower.tick(0.0)
    first = follower.home
    assert told(10.0, 0, old) == STEADY
    assert told(20.0, 1, evolve(old, state=DRAINING, sequence=4)) == DRAINING
    follower.tick(1_200.0)
    assert follower.home != first and follower.servers["s0"].state == DRAINING
    assert told(1_210.0, 0, old) == DRAINING
    assert told(1_220.0, 1, evolve(old, slots=5)) == DRAINING


def test_limiter_that_is_down_is_known_as_down() -> None:
    net = calm(6)
    net.kill("a1")
    net.run(membership.LEASE_MS + 1_200)
    net.expect_settled()
    net.start("a1")
    net.run(1_500)
    net.expect_settled()


def test_who_is_down_is_each_core_machines_own_view() -> None:
    """One that was cut off takes all others for down, and must not spread it."""
    net = calm(6)
    net.cut("m1")
    net.run(membership.LEASE_MS + 3_000)
    net.heal("m1")
    for _ in range(30):
        net.run(50)
        for node in net.nodes.values():
            told = node.follower.members
            assert node.follower.home == "m1" or all(told[n].state == UP for n in told if n != "m1"), net.now


def test_journal_that_reaches_less_far_than_a_limiter_is_behind() -> None:
    """Then it gets the whole table anew, from the same home."""
    net = calm(13, most_events=1, servers=8)
    for name in ("s0", "s1", "s2", "s3", "s4"):
        net.drain(name)
    net.run(1_500)
    for name in ("s0", "s1", "s2", "s3", "s4"):
        net.leave(name)
    net.run(registry.FORGET_MS + 3_000)
    net.serve("s50", "t", "10.1.0.50:80")
    net.run(2_500)
    net.expect_settled()


@pytest.mark.parametrize("seed", range(3))
def test_all_restart_at_once(seed: int) -> None:
    net = calm(seed, servers=12)
    net.restart(*net.nodes)
    net.run(2 * PERIOD + 2_000)
    net.expect_settled()


def test_ring_numbers_outlast_a_restart() -> None:
    net = calm(2)
    before = net.numbers()
    again = ["a0", "a1", "a2", "a3", "a4", "m2"]
    net.restart(*again)
    net.run(4_000)
    net.expect_settled()
    assert net.numbers() == before
    assert [before[n] for n in again] != sorted(before[n] for n in again)      # else it proves nothing


@pytest.mark.parametrize("away", ["a0", "a4"])
@pytest.mark.parametrize("seed", [0, 3])
def test_ring_numbers_are_unique_after_all_core_machines_restart(seed: int, away: str) -> None:
    """They know no number then, and hand out that of a limiter which can't tell it just now."""
    net = calm(seed)
    net.cut(away)
    net.restart("m0", "m1", "m2")
    net.run(6_000)
    net.heal(away)
    net.run(6_000)
    net.expect_settled()


def test_ring_number_that_was_free_again_is_not_kept() -> None:
    """Of a limiter that was away for so long that another has its number by now, from the same leader."""
    net = calm(7)
    first, second, *_ = sorted((n for n in net.nodes if n[0] == "a"), key=lambda n: net.numbers()[n])
    net.kill(second)
    net.cut(first)
    net.run(membership.FORGET_MS + 2_000)
    net.start(second)
    net.run(3_000)
    assert net.numbers()[first] == net.numbers()[second]
    net.heal(first)
    net.run(6_000)
    net.expect_settled()


def test_clock_that_went_back() -> None:
    net = calm(8)
    net.restart("a2")
    net.run(1_000)
    net.restart("a2")
    net.nodes["a2"].follower.local_member = evolve(net.nodes["a2"].follower.local_member, incarnation=17)
    net.run(membership.LEASE_MS + 2_000)
    net.expect_settled()


def test_what_is_dead_is_forgotten_by_all() -> None:
    """Core machines mend each other's tables, and must not bring back what each has let go."""
    net = calm(9)
    net.servers["s0"].alive = False
    net.drain("s1")
    net.run(1_500)
    net.leave("s1")
    net.nodes["a3"].follower.local_member = evolve(net.nodes["a3"].follower.local_member, state=LEAVING)
    net.run(600)
    net.kill("a3")
    net.run(membership.FORGET_MS + 8_000)
    for node in net.nodes.values():
        if node.home is not None:
            assert not {"s0", "s1"} & node.home.registry.by_id.keys(), node.name
            assert "a3" not in node.home.members.by_node, node.name
            assert len(node.home.subscribers) < 8 and not node.home.pending
        if node.up:
            assert not {"s0", "s1"} & node.follower.servers.keys(), node.name


def test_limiter_that_has_left_is_settled() -> None:
    """Core machines agree on it, or they would tell each other, and all limiters, of it again and again."""
    net = calm(9)
    net.nodes["a3"].follower.local_member = evolve(net.nodes["a3"].follower.local_member, state=LEAVING)
    net.run(600)
    net.kill("a3")
    net.run(membership.LEASE_MS + 3_000)
    before = {n: node.home.table.revision for n, node in net.nodes.items() if node.home is not None}
    net.run(5_000)
    assert before == {n: node.home.table.revision for n, node in net.nodes.items() if node.home is not None}


def test_core_machine_that_was_forgotten_is_met_again() -> None:
    net = calm(6)
    net.cut("m0")
    net.run(membership.FORGET_MS + 3_000)
    net.heal("m0")
    net.run(6_000)
    net.expect_settled()


def test_who_is_silent_stays_so_whoever_restarts() -> None:
    """What a core machine was told by another is not what it has heard itself."""
    net = calm(11)
    net.servers["s0"].alive = False
    net.run(PERIOD * registry.LEASE_PERIODS + 1_500)
    for name in ("m0", "m1", "m2"):
        net.restart(name)
        for _ in range(30):
            net.run(100)
            back = [n.name for n in net.nodes.values() if n.follower.ever_complete and n.name[0] == "a"
                    and "s0" in n.follower.servers and not n.follower.servers["s0"].silent]
            assert not back, f"{net.now:.0f} after {name}: {back}"


def test_digests_mend_a_lost_row() -> None:
    net = calm(10)
    home = net.nodes["m1"].home
    other = next(n for n, node in net.nodes.items() if node.follower.home == "m0" and n != "m0")
    assert home is not None
    net.servers["s2"].alive = False            # so that nobody tells it again
    del home.registry.by_id["s2"]
    del home.members.by_node[other]
    home.range_digests = None
    net.run(1_200)
    assert "s2" in home.registry.by_id and other in home.members.by_node


@pytest.mark.parametrize("after", range(13_600, 15_400, 200))
def test_a_home_that_starts_is_ready_though_its_rows_age_at_other_times(after: int) -> None:
    """Rows of servers that have left are dropped from digests by age, which each home counts by itself."""
    net = calm(3)
    net.leave("s0")
    net.run(float(after))
    net.restart("m1")
    net.run(1_500)
    home = net.nodes["m1"].home
    assert home is not None and home.ready


def test_a_subscriber_stays_at_its_home_while_that_says_a_better_one_is_down() -> None:
    """To try one after the other of those that have been replaced would leave it without a home each time."""
    follower = Subscriber(Member("a0", "10.0.0.9", "z", 1), [])
    cores = {name: Member(name, f"10.0.0.{name[1]}", "z", 1, f"disk-{name}") for name in ("m0", "m1", "m2")}
    for core in cores.values():
        follower.add_core(0.0, core)
    revision = {name: 0 for name in cores}

    def told(now: float, states: dict[str, str]) -> None:
        home, start = follower.home, follower.revision
        revision[home] += 1
        rows: list[tuple[str, str, Row | None]] = [
            ("m", name, evolve(cores[name], state=state).to_row()) for name, state in states.items()]
        follower.handle_delta(now, Delta(
            sender=home, incarnation=1, start_revision=start, to=start + 1, head=start + 1, rows=rows,
            config=(0, ""), you=(0, 1, 1)))

    follower.tick(0.0)
    first = follower.home
    told(10.0, dict.fromkeys(cores, UP))
    follower.tick(1_200.0)
    second = follower.home
    follower.tick(2_400.0)
    third = follower.home
    assert len({first, second, third}) == 3
    told(2_410.0, {first: DOWN, second: DOWN, third: UP})
    for now in range(2_450, 12_000, 50):
        follower.tick(float(now))
        assert follower.home == third
        if now % 500 == 0:
            told(float(now), {third: UP})
    told(12_000.0, {second: UP})
    follower.tick(12_500.0)
    assert follower.home == second


def test_tables_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registry, "MAX_SERVERS", 5)
    monkeypatch.setattr(membership, "MAX_MEMBERS", 5)
    home = RegistryReplica(Member("m", "10.0.0.1", "z", 1, "d"), PERIOD, 0.0, ready=True)
    answers: list[bool] = []
    for i in range(50):
        home.server_heartbeat(0.0, Server(f"s{i}", "t", "a:1", "z", 1), answers.append)
        row = Member(f"n{i}", "10.0.0.9", "z", 1).to_row()
        home.handle_heartbeat(
            0.0, MemberHeartbeat(sender=f"n{i}", address="10.0.0.9", member=row, of=("", 0), have=0), (0, ""))
    assert answers.count(True) == 5 and len(home.registry.by_id) == 5
    assert len(home.members.by_node) == 5 and len(home.subscribers) <= 5


# The journal and the records -------------------------------------------------------------------


def journal(seed: int) -> None:
    """Followers that look now and then, beside a plain copy of the table."""
    chance = random.Random(seed)
    table, plain = Table(max_removals=3), dict[tuple[str, str], Any]()
    views = [(0, dict[tuple[str, str], Any]()) for _ in range(3)]
    for _ in range(120):
        key = (chance.choice("ms"), chance.choice("abcdef"))
        row = None if chance.random() < 0.4 else {"n": chance.randrange(3)}
        assert table.put(*key, row) == (plain.get(key) != row)
        plain.pop(key, None)
        if row is not None:
            plain[key] = row
        i = chance.randrange(12)
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


def test_journal_tells_each_what_it_lacks() -> None:
    for seed in range(30):
        journal(seed)


def _member(life: int, state: str, granted: int) -> Member:
    return Member("n", "ip", "z", life, "d", state, granted * 3 % 7, granted)      # a grant has one number


MEMBERS = st.builds(_member, st.integers(1, 3), st.sampled_from([UP, LEAVING]), st.integers(-1, 3))
SERVERS = st.builds(lambda state, seq: Server("s", "t", "a:1", "z", seq, "v", state, seq),
                    st.sampled_from([STEADY, DRAINING, GONE]), st.integers(0, 4))


@tries(derandomize=True, deadline=None, max_examples=60, phases=[Phase.generate])
@given(st.permutations(list(range(4))), st.lists(MEMBERS, min_size=4, max_size=4),
       st.lists(SERVERS, min_size=4, max_size=4))
def records(order: list[int], members: list[Member], servers: list[Server]) -> None:
    """Records merge to the same in any order, and twice does nothing."""
    both: list[tuple[Callable[[Any, Any], Any], list[Any]]] = [
        (membership.merge_members, list(members)), (registry.merge_servers, list(servers))]
    for merge, found in both:
        one, two = found[0], found[order[0]]
        for i in range(4):
            one = merge(found[i], one)
            two = merge(found[order[i]], merge(found[order[i]], two))
        assert one == two


def test_records_merge_whatever_the_order() -> None:
    records()


# Each guard has a run that finds it missing ----------------------------------------------------


def _first_wins(one: Any, other: Any) -> Any:
    return one


def _by_sequence(one: Server, other: Server) -> Server:
    return max(one, other, key=lambda s: s.sequence)


def _promised(self: RegistryReplica, number: int, acknowledgement: Any) -> None:
    del self.pending[number]
    acknowledgement.done(True)


_delta = Subscriber.handle_delta


def _any_revision(self: Subscriber, now: float, message: Delta) -> None:
    if message.start_revision and message.incarnation == self.home_incarnation:
        self.revision = message.start_revision
    _delta(self, now, message)


def _no_floor(self: Table, rev: int) -> Any:
    floor, self.complete_since = self.complete_since, 0
    try:
        return _since(self, rev)
    finally:
        self.complete_since = floor


_since = Table.changes_since


def _numbers_alike(self: Members, epoch: int) -> list[str]:
    without = [n for n, h in self.by_node.items() if h.member.ring_number < 0]
    for i, node in enumerate(without):
        self.by_node[node].member = evolve(self.by_node[node].member, ring_number=i, grant=epoch)
    return without


def _digests_alike(self: RegistryReplica) -> list[str]:
    return [""] * 16


def _forgets_at_once(self: Subscriber, now: float) -> None:
    self.servers, self.members = self.loading_servers, self.loading_members
    self.loading_servers, self.loading_members = {}, {}
    self.complete = self.ever_complete = True


FAULTS: dict[str, tuple[Any, str, Any, Callable[[], object]]] = {
    "sequence ignored": (registry, "merge_servers", _first_wins, lambda: late_beats(3)),
    "drain not sticky": (registry, "merge_servers", _by_sequence, lambda: late_beats(3)),
    "acknowledged before a majority knows": (RegistryReplica, "_complete_on_quorum", _promised,
                                             lambda: acknowledged_and_killed(1, False)),
    "delta from a wrong revision": (Subscriber, "handle_delta", _any_revision, repeated_deltas),
    "removal lost": (Table, "changes_since", _no_floor, test_journal_tells_each_what_it_lacks),
    "numbers alike": (Members, "assign_ring_numbers", _numbers_alike, test_ring_numbers_outlast_a_restart),
    "merge by order": (registry, "merge_servers", _first_wins, records),
    "members merged by order": (membership, "merge_members", _first_wins, records),
    "digests alike": (RegistryReplica, "_current_digests", _digests_alike, test_digests_mend_a_lost_row),
    "new home believed at once": (Subscriber, "_complete_table", _forgets_at_once,
                                  test_turning_to_an_empty_home_loses_no_server_at_once),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_seeded_fault_is_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    where, name, wrong, run = FAULTS[fault]
    monkeypatch.setattr(where, name, wrong)
    if hasattr(follower_module, name) and where is registry:
        monkeypatch.setattr(follower_module, name, wrong)
    with pytest.raises(AssertionError):
        run()


def test_all_renewals_are_told_however_many() -> None:
    """Past the size of one word the rest must follow in others, or servers that beat are taken for silent."""
    me = Member("a", "10.0.0.1", "z", 1, disk="d-a")
    home = RegistryReplica(me, PERIOD, 0.0)
    home.update_member(0.0, Member("b", "10.0.0.2", "z", 1, disk="d-b"), True)
    names = {f"i-{n}" for n in range(5_000)}
    for name in names:
        home.server_heartbeat(10.0, Server(name, "t", "10.1.0.1:80", "z", 2), lambda known: None)
    home.outbox.clear()
    home.tick(500.0, me, {}, None, (0, ""))
    told = {name for _, message in home.outbox if isinstance(message, Sync) for name, _ in message.sequences}
    assert told == names
