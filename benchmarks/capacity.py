"""What control costs by size: slopes by limiters, servers, routes, tenants, services; with hollow processes.

A hollow process is the program's own limiter (its home, replica, follower, quotas, choice of server and all
the wiring between them) on a network and a clock that are simulated: no socket, no disk, no sleeping, many in
one process.  Every word is encoded and decoded as on the wire.  CPU is this process's time around each word
and turn (``time.process_time``), with the garbage collector off; where a cost is for one word, the median of
its kind.  What a word waits for a busy processor is not simulated, so that storms look better than they are.
Memory is what ``tracemalloc`` sees.  The process keeps itself under ``MOST_BYTES``.

Each slope is a least-squares line through the points measured, which stand beside it; ``at target`` is that
line at the operators' size two years from now.  Last line: ``slopes measured`` and how many.

    python -m benchmarks.capacity [--quick]
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import heapq
import itertools
import json
import logging
import random
import resource
import statistics
import sys
import time
import tracemalloc
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import Any, TypeVar

import h11
import msgspec
from attrs import define, evolve, field

from benchmarks.load import machine
from larklb.admission.choice import ServerSelector, ServerState
from larklb.admission.quota_records import Allowance, Ask
from larklb.admission.quotas import Quotas
from larklb.consensus.interface import Answer, Call, Ready
from larklb.consensus.log import encode
from larklb.gateway import messages
from larklb.gateway.control_plane import ControlPlane
from larklb.gateway.core import Core, apply
from larklb.gateway.data_plane import prepare_configuration
from larklb.gateway.main import Limiter
from larklb.gateway.messages import AnyMessage, Message, QuotaMessage
from larklb.gateway.quota_exchange import QuotaExchange
from larklb.gateway.settings import Settings
from larklb.gateway.transport import Transport
from larklb.gateway.zone_exchange import ZoneExchange
from larklb.membership.members import Member
from larklb.quota.ring import digest as ring_digest
from larklb.quota.ring import ring_owner
from larklb.registry.messages import Delta, MemberHeartbeat, RowsUpdate
from larklb.registry.registry import DRAINING, Server
from larklb.registry.replica import RegistryReplica
from larklb.registry.subscriber import Subscriber
from larklb.schema import calls
from larklb.schema import configuration as schema
from larklb.schema.document import digest, parse
from larklb.wheel import Timer, Wheel

PERIOD_MS = 1_500.0        # between a server's beats, as on the operators' sites
WAY_MS = 1.0               # of a word between two limiters
ZONES = ("a", "b", "c", "d", "e", "f")
SETTLE_MS = 5_000.0        # in which the core founds its group and is a home
JOIN_MS = 1_000.0          # over which the limiters of a fabric start
REST_MS = 4_000.0          # measured at rest
MOST_BYTES = 3_500_000_000  # of address space: a storm ends this process before it ends others

# The operators' size in about two years.
LIMITERS, SERVERS, SERVICES, ROUTES, TENANTS, CONTROL = 2_200, 34_000, 1_500, 30_000, 57_000, 17

_ENCODE = msgspec.json.Encoder()
_DECODE = msgspec.json.Decoder(dict[str, Any])
_MESSAGE = TypeVar("_MESSAGE", bound=Message)


# --- the simulated network


@define
class Meter:
    """What was spent and sent since the last reset, by role and kind of word."""

    spent: dict[tuple[str, str], list[float]] = field(factory=lambda: defaultdict(list))    # s each
    words: Counter[tuple[str, str]] = field(factory=Counter)
    bytes: Counter[tuple[str, str]] = field(factory=Counter)

    def reset(self) -> None:
        """Forgets all of it."""
        self.spent.clear()
        self.words.clear()
        self.bytes.clear()

    def cpu(self, role: str, kind: str = "") -> float:
        """Seconds of a role, of one kind of word or of all."""
        return sum(sum(s) for (r, k), s in self.spent.items() if r == role and kind in ("", k))

    def each(self, role: str, kind: str) -> float:
        """Microseconds for one word of a kind; 0 where there was none."""
        return statistics.median(self.spent[role, kind]) * 1e6 if self.spent.get((role, kind)) else 0.0


class HollowWheel(Wheel):
    """The clock and timers of one limiter, by the fabric's time."""

    def __init__(self, fabric: Fabric, owner: Callable[[], bool]) -> None:
        self.fabric, self.owner = fabric, owner

    def now(self) -> float:
        return self.fabric.now

    def after(self, delay: float, act: Callable[..., object], *args: Any) -> Timer:
        timer = Timer(act, args)
        self.fabric.at(delay, self._fire, timer)
        return timer

    def _fire(self, timer: Timer) -> None:
        if timer.callback is not None and self.owner():
            timer.callback(*timer.args)


class HollowTransport(Transport):
    """Words over the fabric."""

    def __init__(self, fabric: Fabric, node: str, ip: str,
                 on_message: Callable[[AnyMessage], object]) -> None:
        super().__init__(node, ip, 1, on_message)
        self.fabric = fabric

    def send(self, ip: str, message: Message) -> None:
        message = messages.with_sender(message, self.node, self.ip)
        if ip == self.ip:
            self.fabric.at(0.0, self.fabric.local, ip, message)
            return
        self.fabric.carry(ip, kind_of(message), messages.encode(message) + b"\n")


class HollowCore(Core):
    """A core machine's part on a disk that is always done."""

    fabric: Fabric

    def done_at_once(self, ready: Ready) -> None:
        """A save on it."""
        self.fabric.saved += sum(map(len, (ready.save or {}).values()))
        self.handle_save_result(self.fabric.now, ready, True)


class Hollow(Limiter):
    """One limiter without sockets; ``disk`` makes it a core machine."""

    def __init__(self, fabric: Fabric, node: str, zone: str, disk: str, life: int) -> None:
        s = Settings(path="", node=node, ip=node, zone=zone, region="r", bootstrap=True, data_dir="",
                     counted=False, memory_mb=300, descriptors=3000, cores=1.0, edge=None, readiness=None,
                     control=None,
                     ports=(1, 2), seeds=(), zones=dict.fromkeys(ZONES, "r"),
                     heartbeat_period_ms=PERIOD_MS, tolerance=1)
        super().__init__(s)
        me = Member(node, node, zone, life, disk)
        self.life = life
        self.wheel = HollowWheel(fabric, lambda: fabric.of.get(node) is self)
        self.random = random.Random(node)
        self.started_at = fabric.now
        self.transport = HollowTransport(fabric, node, node, self.handle_message)
        self.plane = ControlPlane(
            s,
            me,
            f"{node} {life}",
            fabric.now,
            send=self.transport.send,
            after=self.wheel.after,
            apply_configuration=self._apply_configuration,
            current_version=lambda: self.version,
            on_change=self._on_members_changed,
            rng=self.random,
        )
        self.subscriber.seeds = [n for n in fabric.seeds if n != node]
        quotas = Quotas(node, fabric.now, 1, first_start=True)
        self.quota_exchange = QuotaExchange(quotas, self.wheel, self.transport.send, self.count)
        self.zone_exchange = ZoneExchange(self.choice, self.transport.send)
        if disk:
            core = HollowCore(
                s, me, None, fabric.now, 1, self.transport.send, lambda ready: core.done_at_once(ready)
            )
            core.fabric = fabric
            self.plane.core = core

    def turn(self) -> None:
        """The first turn; the others follow by the wheel."""
        self._tick()


def decoded(line: bytes, kind: type[_MESSAGE]) -> _MESSAGE:
    """A message that is known to be of a kind."""
    message = messages.decode(line)
    assert isinstance(message, kind)
    return message


_OF_HOME = ("beat", "has", "rows", "known", "sync", "synced", "range", "fetch", "peek")


def kind_of(message: Message) -> str:
    """The kind of a message; a delta that brings rows is another than one that says nothing is new."""
    if isinstance(message, Delta) and message.rows:
        return "delta+rows"
    return str(message.__struct_config__.tag)


def role_of(kind: str) -> str:
    """Whose work a word is at its receiver."""
    return "home" if kind in _OF_HOME else "holder" if kind == "raft" else "limiter"


class Fabric:
    """Hollow limiters, ``cores`` of them core machines, and servers that beat."""

    def __init__(self, limiters: int, servers: int, cores: int = 3, zones: int = 3) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.order = itertools.count()
        self.meter = Meter()
        self.saved = 0                     # bytes that went to disks
        self.of: dict[str, Hollow] = {}
        self.zones = ZONES[:zones]
        self.seeds = [f"n{i:05}" for i in range(cores)]
        self.cores = [self.start(node, f"d{i}") for i, node in enumerate(self.seeds)]
        self.run(SETTLE_MS)
        self.servers: dict[str, tuple[Server, Hollow]] = {}
        self._serve(servers)
        self.rest = [f"n{i:05}" for i in range(cores, limiters)]
        for node in self.rest:
            self.at(JOIN_MS * ring_digest(node) / 2.0 ** 64, self.start, node)
        self.run(JOIN_MS)
        self.settle(30_000.0)
        self.run(PERIOD_MS)

    def at(self, delay: float, act: Callable[..., object], *args: Any) -> None:
        """Does something ``delay`` ms from now."""
        heapq.heappush(self.events, (self.now + delay, next(self.order), act, args))

    def run(self, ms: float) -> None:
        """Lets time pass."""
        until = self.now + ms
        while self.events and self.events[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self.events)
            act(*args)
        self.now = until

    def settle(self, most: float) -> float:
        """Until every limiter has its home's whole table, at most so long; the ms it took."""
        began = self.now
        while self.now - began < most and not all(n.subscriber.complete for n in self.of.values()):
            self.run(10.0)
        return self.now - began

    def start(self, node: str, disk: str = "") -> Hollow:
        """A limiter starts, or starts anew."""
        zone = self.zones[int(node[1:]) % len(self.zones)]
        life = self.of[node].life + 1 if node in self.of else 1
        hollow = self.of[node] = Hollow(self, node, zone, disk, life)
        spread = (ring_digest(node) >> 8) % 100        # not all turns at the same moment
        self.at(float(spread), self.turn, hollow)
        return hollow

    def turn(self, hollow: Hollow) -> None:
        """The first turn of a limiter; the wheel's later ones come through ``metered`` as well."""
        real = hollow._tick

        def metered() -> None:
            began = time.process_time()
            real()
            role = "core turn" if hollow.core is not None else "limiter"
            self.meter.spent[role, "turn"].append(time.process_time() - began)

        hollow._tick = metered                         # type: ignore[method-assign]
        hollow.turn()

    def carry(self, ip: str, kind: str, line: bytes) -> None:
        """A word goes to another limiter."""
        self.meter.words[role_of(kind), kind] += 1
        self.meter.bytes[role_of(kind), kind] += len(line)
        self.at(WAY_MS, self.hear, ip, kind, line)

    def hear(self, ip: str, kind: str, line: bytes) -> None:
        """... and is heard there, if it is there."""
        if (hollow := self.of.get(ip)) is not None:
            began = time.process_time()
            hollow.handle_message(messages.decode(line))
            self.meter.spent[role_of(kind), kind].append(time.process_time() - began)

    def local(self, ip: str, message: AnyMessage) -> None:
        """A message of a limiter to itself."""
        if (hollow := self.of.get(ip)) is not None:
            hollow.handle_message(message)

    # Servers ------------------------------------------------------------------------------

    def _serve(self, count: int) -> None:
        """All servers are known to all homes, and beat from now on."""
        for server in servers_of(count, self.zones):
            near = [c for c in self.cores if c.settings.zone == server.zone] or self.cores
            self.servers[server.id] = (server, near[ring_digest(server.id) % len(near)])
        rows = [(name, server.to_row()) for name, (server, _) in self.servers.items()]
        line = messages.encode(messages.with_sender(RowsUpdate(members=[], servers=rows), "", ""))
        for core in self.cores:
            assert core.core is not None
            core.core.home.handle_rows_update(self.now, decoded(line, RowsUpdate))
        for name in self.servers:
            self.at(PERIOD_MS * ring_digest(name) / 2.0 ** 64, self.beat, name)

    def beat(self, name: str, again: bool = True) -> None:
        """A server's call, as the control address takes it behind HTTP."""
        server, hollow = self.servers[name]
        server = evolve(server, sequence=server.sequence + 1)
        self.servers[name] = (server, hollow)
        body = heartbeat_of(server)
        began = time.process_time()
        told = calls.parse_heartbeat(body)
        assert hollow.core is not None
        home = hollow.core.home
        home.server_heartbeat(self.now, evolve(server, target=told.target), bool)
        home.push(self.now, hollow.core.offer)
        hollow.core.flush()
        self.meter.spent["home", "heartbeat"].append(time.process_time() - began)
        if again:
            self.at(PERIOD_MS, self.beat, name)

    def drain(self, name: str) -> None:
        """A server says that it leaves."""
        server, hollow = self.servers[name]
        self.servers[name] = (evolve(server, state=DRAINING), hollow)
        self.beat(name, again=False)

    def change(self, kind: str, base: int, document: dict[str, Any]) -> list[Answer]:
        """An operator's call at the leader; the answers fill the list when they come."""
        answers: list[Answer] = []
        for hollow in self.cores:
            if hollow.core is not None and hollow.core.replica.is_leader:
                began = time.process_time()
                hollow.core.call(self.now, kind, base, json.dumps(document), answers.append)
                self.meter.spent["holder", "call"].append(time.process_time() - began)
        return answers


# --- made-up loads of any size


def servers_of(count: int, zones: Iterable[str]) -> list[Server]:
    """So many servers, of services of 23 each, as at the target."""
    places = tuple(zones)
    return [Server(f"i-{ring_digest(f's{i}'):016x}"[:12], f"svc{i // 23:04}x", f"10.{i >> 16}.{i >> 8 & 255}."
                   f"{i & 255}:8080", places[i % len(places)], 4, "v1", sequence=1) for i in range(count)]


def heartbeat_of(server: Server) -> bytes:
    """A server's call as it sends it."""
    return json.dumps({"address": server.address, "info": {
        "target": server.target, "version": server.version, "zone": server.zone, "capacity": server.slots},
        "observed": {"state": "draining" if server.state == DRAINING else "steady",
                     "sequence": server.sequence, "warmupLeftMs": 0}}).encode()


def document_of(routes: int, tenants: int, services: int, version: int = 1) -> dict[str, Any]:
    """A configuration of a size: 12 routes to a host, two keys to a tenant."""
    paths = [{"name": f"r-{i:07x}",
              "prefix": f"/p{ring_digest(f'r{i}') % 10 ** 6:06}-{i}/",
              "routeType": "safe" if i % 2 else "unsafe", "timeoutMs": 2500, "setpointMs": 400,
              "precedence": i % 4, "target": f"svc{i % services:04}x", "tries": 2, "unkeyed": False}
             for i in range(routes)]
    return {"version": version,
            "services": [{"name": f"svc{i:04}x", "probe": "/health", "saturation": 140, "protocol": "h1",
                          "tls": False} for i in range(services)],
            "limits": {"headerBytes": 16384, "bodyBytes": 67108864, "headerMs": 3000, "idleMs": 15000},
            "tenants": [{"name": f"t{i:05}x", "keys": [f"{ring_digest(f'k{i}{j}'):020x}" for j in (0, 1)],
                         "precedence": 1, "ratePerS": 63, "burst": 63} for i in range(tenants)],
            "hosts": [{"host": f"h{i:05}.example", "paths": paths[i:i + 12]} for i in range(0, routes, 12)]}


# --- slopes


@define
class Slope:
    """A line through points: what was measured, by what, and where the target lies."""

    name: str
    unit: str
    per: str
    points: list[tuple[float, float]]
    target: float

    def line(self) -> tuple[float, float]:
        """Base and slope, by least squares."""
        xs, ys = [p[0] for p in self.points], [p[1] for p in self.points]
        fitted = statistics.linear_regression(xs, ys)
        return fitted.intercept, fitted.slope

    def at(self, x: float) -> float:
        """The line at a size."""
        base, slope = self.line()
        return base + slope * x

    def row(self) -> str:
        """As it is printed."""
        base, slope = self.line()
        points = "  ".join(f"{x:g}: {y:.4g}" for x, y in self.points)
        return (f"{self.name:<58} {self.unit:<9} {base:>10.4g} {slope:>+11.4g} a {self.per:<13} "
                f"{self.at(self.target):>10.4g} at {self.target:<6g} | {points}")


def spent(act: Callable[[], object], least: float = 0.05, most: int = 2000) -> float:
    """CPU seconds of one call: the median of as many as fill ``least`` seconds."""
    found: list[float] = []
    while sum(found) < least and len(found) < most:
        began = time.process_time()
        act()
        found.append(time.process_time() - began)
    return statistics.median(found)


def held(make: Callable[[], object]) -> float:
    """Bytes that what is made keeps."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


@define
class Found:
    """All slopes by name."""

    of: dict[str, Slope] = field(factory=dict)

    def add(self, name: str, unit: str, per: str, x: float, y: float, target: float) -> None:
        """One point of a slope."""
        if name not in self.of:
            self.of[name] = Slope(name, unit, per, [], target)
        self.of[name].points.append((x, y))


# --- the measurements, one by one


def at_rest(found: Found, limiters: int, servers: int, cores: int, by: str) -> Fabric:
    """A fabric at rest, with nothing changing; ``by`` is what this run varies."""
    gc.collect()
    fabric = Fabric(limiters, servers, cores)
    meter, seconds = fabric.meter, REST_MS / 1000.0
    meter.reset()
    fabric.run(REST_MS)
    x, per, target = {"limiters": (limiters, "limiter", LIMITERS), "servers": (servers, "server", SERVERS),
                      "cores": (cores, "core machine", CONTROL)}[by]
    plain = limiters - cores
    silent = sum(s.silent for s in fabric.of[fabric.seeds[0]].subscriber.servers.values())
    words, sent = sum(meter.words.values()) / seconds, sum(meter.bytes.values()) / seconds / 1e3
    print(f"at rest, {limiters} limiters, {servers} servers, {cores} core machines: {words:.0f} words a s, "
          f"{sent:.0f} KB/s, {silent} servers taken for silent; CPU us each: "
          + ", ".join(f"{r} {k} {meter.each(r, k):.0f}" for r, k in sorted(meter.spent)), flush=True)
    tag = f"rest by {by}: "
    own = sum(meter.cpu("limiter", kind) for kind in ("turn", "delta", "offer"))
    own_bytes = sum(meter.bytes["home", k] for k in ("beat", "peek")) + sum(
        meter.bytes["limiter", k] for k in ("delta", "offer"))

    def add(name: str, unit: str, y: float, per: str = per, x: float = x, target: float = target) -> None:
        found.add(tag + name, unit, per, x, y, target)

    if plain:
        add("CPU of a limiter", "ms/s", own / plain / seconds * 1e3)
        add("bytes of a limiter, in and out", "B/s", own_bytes / plain / seconds)
    add("CPU of a home's turns", "ms/s", meter.cpu("core turn") / cores / seconds * 1e3)
    if by == "limiters":
        each = ("subscriber", limiters / cores, LIMITERS / CONTROL)
        add("CPU of a home for a limiter's beat", "us", meter.each("home", "beat"), *each)
        add("CPU of a home for a server's beat", "us", meter.each("home", "heartbeat"), *each)
    elif by == "servers":
        each = ("server there", servers / cores, SERVERS / CONTROL)
        add("CPU of a home for a sync", "us", meter.each("home", "sync"), *each)
        add("bytes of a sync", "B", meter.bytes["home", "sync"] / max(1, meter.words["home", "sync"]), *each)
    else:
        add("syncs that a core machine sends", "words/s", meter.words["home", "sync"] / cores / seconds)
    return fabric


def events(found: Found, fabric: Fabric, by: str, x: int, target: int) -> None:
    """A drain, a join, one change of configuration and a herd of restarts, on a fabric at rest."""
    meter = fabric.meter

    def add(name: str, unit: str, y: float, for_home: bool = False) -> None:
        own = for_home and by == "limiters"
        found.add(f"by {by}: {name}", unit, "subscriber" if own else by[:-1], x / 3.0 if own else x, y,
                  target / CONTROL if own else target)

    name = next(iter(fabric.servers))
    meter.reset()
    fabric.drain(name)
    fabric.run(400.0)
    told = sum(n.subscriber.servers[name].state == DRAINING for n in fabric.of.values())
    rows = meter.words["limiter", "delta+rows"]
    words = [("limiter", "delta+rows"), ("home", "rows"), ("home", "known"), ("home", "has")]
    add("drain: CPU of a limiter for the row", "us", meter.each("limiter", "delta+rows"))
    add("drain: CPU of a home to merge and push the row", "us", meter.each("home", "rows"), True)
    add("drain: CPU of a home for a 'has'", "us", meter.each("home", "has"), True)
    add("drain: words for it", "words", sum(meter.words[w] for w in words))
    add("drain: bytes for it", "B", sum(meter.bytes[w] for w in words))
    print(f"  a drain is known by {told} of {len(fabric.of)} limiters after 0.4 s, {rows} deltas with rows")
    if by == "limiters":
        some = next(iter(fabric.of.values()))
        found.add("quota: CPU to find the last owner's address", "us", "limiter", x,
                  spent(lambda: some.quota_exchange._send(-2, {})) * 1e6, target)

    node = f"n{90_000 + len(fabric.of):05}"
    meter.reset()
    fabric.rest.append(node)
    fabric.start(node)
    fabric.run(2_000.0)
    add("join: deltas with rows", "words", meter.words["limiter", "delta+rows"])
    add("join: bytes of them", "B", meter.bytes["limiter", "delta+rows"])
    add("join: CPU of all limiters", "ms", meter.cpu("limiter", "delta+rows") * 1e3)

    version, took = 2, 0.0
    meter.reset()
    answers = fabric.change("replace", 0, document_of(24, 8, 2, version))
    while took < 5_000.0 and not all(n.version == version for n in fabric.of.values()):
        fabric.run(10.0)
        took += 10.0
    print(f"  a configuration of 24 routes: answered {[a.status for a in answers]}, in force everywhere "
          f"after {took:.0f} ms, sent whole {meter.words['limiter', 'config']} times", flush=True)
    add("configuration of 24 routes: bytes to limiters", "B", meter.bytes["limiter", "config"])
    meter.reset()
    for again in fabric.rest:
        fabric.start(again)
    took = fabric.settle(60_000.0)
    count, homes = len(fabric.rest), meter.cpu("home") + meter.cpu("core turn")
    deltas, size = meter.words["limiter", "delta+rows"], meter.bytes["limiter", "delta+rows"]
    needed = count * -(-(len(fabric.servers) + len(fabric.of)) // 300)
    print(f"  a herd of {count} restarts is whole after {took:.0f} ms: {deltas} deltas with rows, {needed} "
          f"would hold the tables ({deltas / needed:.1f} times), {size / 1e6:.1f} MB; CPU of homes "
          f"{homes:.2f} s, of limiters {meter.cpu('limiter'):.2f} s", flush=True)
    add("herd: deltas with rows, for a limiter", "words", deltas / count)
    add("herd: bytes of them, for a limiter", "KB", size / count / 1e3)
    add("herd: CPU of the homes, for a limiter", "ms", homes / count * 1e3)


def tables(found: Found, servers: int) -> None:
    """One home and one follower with so many servers, by themselves."""
    told = servers_of(servers, ZONES)
    rows = [(s.id, s.to_row()) for s in told]
    line = messages.encode(messages.with_sender(RowsUpdate(members=[], servers=rows), "", ""))
    me = Member("n0", "n0", "a", 1, "d0", ring_number=0, grant=1)

    def home_of() -> RegistryReplica:
        home = RegistryReplica(me, PERIOD_MS, 0.0)
        home.ready = True
        home.handle_rows_update(0.0, decoded(line, RowsUpdate))
        return home

    def tables_of() -> tuple[Subscriber, list[bytes]]:
        source, lines = home_of(), list[bytes]()
        follower = Subscriber(evolve(me, node="n1", ip="n1", disk=""), ["n0"])
        follower.add_core(0.0, me)
        follower.tick(0.0)
        for _ in range(servers // 300 + 3):
            beat = MemberHeartbeat(sender="n1", address="n1", member=follower.local_member.to_row(),
                                   have=follower.revision, of=("n0", 1))
            source.handle_heartbeat(0.0, beat, (0, ""))
            for _, message in source.outbox:
                lines.append(messages.encode(messages.with_sender(message, "n0", "n0")))
                follower.handle_delta(0.0, decoded(lines[-1], Delta))
            source.outbox.clear()
        assert len(follower.servers) == servers
        return follower, lines

    def add(name: str, unit: str, y: float) -> None:
        found.add("table: " + name, unit, "server", servers, y, SERVERS)

    add("memory of a home", "MB", held(home_of) / 1e6)
    home, (follower, lines) = home_of(), tables_of()
    lean = Subscriber(evolve(me, node="n1", ip="n1", disk=""), ["n0"])

    def refill() -> Subscriber:
        lean.servers = {}
        fresh = Subscriber(lean.local_member, ["n0"])
        fresh.add_core(0.0, me)
        fresh.tick(0.0)
        for raw in lines:
            fresh.handle_delta(0.0, decoded(raw, Delta))
        return fresh

    add("memory of a follower", "MB", held(refill) / 1e6)
    add("a whole table on the wire", "KB", sum(map(len, lines)) / 1e3)
    add("CPU of a limiter to take a whole table", "ms", spent(refill) * 1e3)
    choice = ServerSelector("a", dict.fromkeys(ZONES, "r"), 1)

    def places() -> list[ServerState]:
        return [ServerState(s.id, s.target, s.address, s.zone, s.slots, draining=False, silent=s.silent)
                for s in follower.servers.values()]

    def chosen() -> ServerSelector:
        kept = ServerSelector("a", {}, 1)
        kept.update(places())
        return kept

    add("memory of the choice", "MB", held(chosen) / 1e6)
    add("CPU of the choice for any change of a row", "ms", spent(lambda: choice.update(places())) * 1e3)

    lives = itertools.count(1)

    def digests() -> None:
        home.range_digests = None
        home._current_digests()

    add("CPU of a home for digests after a change", "ms", spent(digests) * 1e3)
    add("CPU of a home for a turn over leases", "ms", spent(lambda: home.registry.expire(0.0)) * 1e3)
    add("CPU of a home to find and encode a whole table", "ms",
        spent(lambda: [messages.encode(message) for message in chunks(home, lives)]) * 1e3)


def chunks(home: RegistryReplica, lives: Iterator[int]) -> list[Delta]:
    """What a new subscriber is sent, piece by piece."""
    member, deltas, have = Member("n9", "n9", "a", next(lives)).to_row(), list[Delta](), 0
    while have < home.table.revision:
        home.handle_heartbeat(
            0.0, MemberHeartbeat(sender="n9", address="n9", member=member, have=have, of=("n0", 1)), (0, ""))
        delta = home.outbox[-1][1]
        home.outbox.clear()
        assert isinstance(delta, Delta) and delta.to > have, "one that sends nothing would be asked for ever"
        deltas.append(delta)
        have = delta.to
    return deltas


def configuration(found: Found, size: tuple[int, int, int], by: str) -> None:
    """The holder's and a limiter's work on a configuration of routes, tenants, services; ``by`` is what
    varies."""
    part = ("routes", "tenants", "services").index(by)
    document = document_of(*size)
    body, line = json.dumps(document).encode(), _ENCODE.encode(document)
    route = {"host": "h00000.example", "paths": [{**document["hosts"][0]["paths"][0], "timeoutMs": 2600}]}
    call = Call("amend", 1, {"version": 2, "upsert": {"hosts": [route]}, "remove": {}}, "x")

    def add(name: str, unit: str, y: float) -> None:
        found.add(f"config by {by}: {name}", unit, by[:-1], size[part], y, (ROUTES, TENANTS, SERVICES)[part])

    add("bytes on the wire", "KB", len(line) / 1e3)
    add("CPU to amend and check (holder)", "ms", spent(lambda: apply(document, call)) * 1e3)
    add("CPU for its digest (holder)", "ms", spent(lambda: digest(document)) * 1e3)
    add("CPU to encode it for the disk (holder)", "ms", spent(lambda: encode(document)) * 1e3)
    add("CPU to read a call (holder)", "ms", spent(lambda: parse(body)) * 1e3)
    add("CPU to send it once (home)", "ms", spent(lambda: _ENCODE.encode(document)) * 1e3)
    add("CPU to take it (limiter)", "ms",
        spent(lambda: prepare_configuration(schema.check(_DECODE.decode(line), 0))) * 1e3)
    add("memory of the document (holder)", "MB", held(lambda: _DECODE.decode(line)) / 1e6)
    add("memory in force (limiter)", "MB",
        held(lambda: prepare_configuration(schema.check(_DECODE.decode(line), 0))) / 1e6)
    if by == "routes":
        routes = prepare_configuration(schema.check(document, 0)).routes
        paths = [(h["host"], h["paths"][0]["prefix"] + "x") for h in document["hosts"]]
        some = random.Random(1).choices(paths, k=500)
        add("CPU to find a request's route", "us", spent(
            lambda: [routes.find(h, p) for h, p in some]) / len(some) * 1e6)


def quotas(found: Found, limiters: int) -> None:
    """Quotas on a ring of so many limiters, as asker and as owner."""
    numbers = {i: f"n{i}" for i in range(limiters)}
    ring = sorted(numbers)

    def add(name: str, unit: str, y: float) -> None:
        found.add("quota: " + name, unit, "limiter", limiters, y, LIMITERS)

    names = [f"t{i:05}x" for i in range(400)]
    owners = {n: ring_owner(ring_digest(n), ring) for n in names[:40 if limiters > 100 else 400]}
    turns = iter(range(1 << 30))
    add("CPU to find a tenant's owner anew", "ms", spent(
        lambda: ring_owner(ring_digest(f"x{next(turns)}"), ring)) * 1e3)
    owner = next(iter(owners.values()))
    mine = next(t for t, o in owners.items() if o == owner)
    allowance = Allowance(mine, 1e6, 1e6)
    asker = Quotas("n", 0.0, 1, first_start=True)
    holder = Quotas("o", 0.0, 2, first_start=True)
    me = next(i for i in ring if i != owner)
    asker.set_limiters(0.0, numbers, me)
    holder.set_limiters(0.0, numbers, owner)
    sizes: list[int] = []
    clock = itertools.count()

    def ask() -> float:
        now = 0.01 * next(clock)
        began = time.process_time()
        asked = asker.request(now, allowance)
        assert isinstance(asked, Ask)
        question = QuotaMessage(message=asked.message)
        there = messages.encode(messages.with_sender(question, "n00009", "10.128.0.9"))
        first = time.process_time()
        answer = holder.handle_request(now, me, decoded(there, QuotaMessage).message)
        assert answer is not None
        back = messages.encode(messages.with_sender(QuotaMessage(message=answer), "n00009", "10.128.0.9"))
        second = time.process_time()
        asker.handle_reply(now, decoded(back, QuotaMessage).message)
        sizes.append(len(there) + len(back))
        asks.append(time.process_time() - second + first - began)
        owned.append(second - first)
        return 0.0

    asks: list[float] = []
    owned: list[float] = []
    spent(ask, most=1500)
    add("CPU of an ask at the asker", "us", statistics.median(asks) * 1e6)
    add("CPU of an ask at the owner", "us", statistics.median(owned) * 1e6)
    add("bytes of an ask and its verdict", "B", statistics.median(sizes))
    without = {i: n for i, n in numbers.items() if i != limiters - 1}
    # A bucket that is made soon after such a change may have another owner: everybody is asked to agree.
    fresh = Quotas("f", 0.0, 3, first_start=True)
    fresh.set_limiters(0.0, numbers, 0)
    fresh.set_limiters(10.0, without, 0)
    ring = sorted(without)
    tenant = next(t for t in (f"o{i}" for i in itertools.count()) if ring_owner(ring_digest(t), ring) == 0)
    fresh.request(20.0, Allowance(tenant, 10.0, 10.0))
    add("hellos of one owner after a change of the ring", "words", sum(
        message["k"] == "hello" for _, message in fresh.pending_messages(100.0)))

    def askers() -> Quotas:
        full = Quotas("o", 0.0, 2, first_start=True)
        full.set_limiters(0.0, numbers, owner)
        for number in ring:
            if number != owner:
                full.handle_request(1.0, number, {"k": "ask", "n": 1, "t": mine, "r": 10.0, "b": 10.0, "v": 1,
                                         "life": 1, "spent": 0, "heard": 0})
        return full

    add("memory of a bucket that all ask for", "KB", held(askers) / 1e3)


def picks(found: Found, servers: int) -> None:
    """The choice of a server among so many of one service."""
    choice = ServerSelector("a", dict.fromkeys(ZONES, "r"), 1)
    choice.update(ServerState(s.id, "svc", s.address, s.zone, 4) for s in servers_of(servers, ZONES))
    found.add("request: CPU to choose a server", "us", "server of it", servers,
              spent(lambda: choice.pick(1.0, "svc", "r", 400.0)) * 1e6, SERVERS / SERVICES)


def http_beat() -> float:
    """CPU us to read a server's call from its bytes and to write the answer, on a kept connection."""
    body = heartbeat_of(servers_of(1, ZONES)[0])
    call = (b"POST /larklb/instances/i-7f3a91c2/heartbeat HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n"
            b"Content-Type: application/json\r\n\r\n" % len(body)) + body
    http = h11.Connection(h11.SERVER)

    def one() -> None:
        http.receive_data(call)
        while not isinstance(http.next_event(), h11.EndOfMessage):
            pass
        http.send(h11.Response(status_code=200, headers=[("Content-Length", "2")]))
        http.send(h11.Data(data=b"{}"))
        http.send(h11.EndOfMessage())
        http.start_next_cycle()

    return spent(one) * 1e6


# --- all of it


def measure(quick: bool) -> Found:
    """Every slope; with ``quick`` through fewer and smaller sizes."""
    found, both = Found(), Found()
    print("\nfabrics")
    for limiters in (12, 60) if quick else (12, 60, 200, 600):
        fabric = at_rest(found, limiters, 27, 3, "limiters")
        events(found, fabric, "limiters", limiters, LIMITERS)
    for servers in (27, 1_000) if quick else (27, 1_000, 4_000):
        fabric = at_rest(found, 12, servers, 3, "servers")
        events(found, fabric, "servers", servers, SERVERS)
    for cores in (3, 6) if quick else (3, 6, 9, 17):
        at_rest(found, cores, 300, cores, "cores")
    if not quick:
        # Both at once: a herd that doesn't get its table in one piece.
        for limiters in (12, 60, 200):
            fabric = at_rest(both, limiters, 1_000, 3, "limiters")
            events(both, fabric, "limiters", limiters, LIMITERS)
        for name, slope in both.of.items():
            if "herd" in name:
                found.of[name + ", 1,000 servers"] = evolve(slope, name=name + ", 1,000 servers")
        at_rest(both, 4, 30_000, 3, "servers")     # more beats than a sync holds
    del fabric
    gc.collect()
    for servers in (27, 1_000, 4_000) if quick else (27, 1_000, 34_000):
        tables(found, servers)
        gc.collect()
    for routes in (24, 300, 1_000) if quick else (24, 1_000, 30_000):
        configuration(found, (routes, 8, 2), "routes")
    for tenants in (8, 300, 1_000) if quick else (8, 1_000, 57_000):
        configuration(found, (24, tenants, 2), "tenants")
    for services in (2, 100) if quick else (2, 100, 1_500):
        configuration(found, (24, 8, services), "services")
    for limiters in (12, 60, 200) if quick else (12, 60, 200, 600):
        quotas(found, limiters)
    for servers in (2, 23, 100) if quick else (2, 23, 100, 400):
        picks(found, servers)
    return found


async def run(quick: bool) -> int:
    """The limiter's parts ask for a running loop when they are made; nothing is ever left to it."""
    began = time.process_time()
    logging.disable(logging.ERROR)
    print(f"machine: {machine()}; {'quick' if quick else 'full'}")
    gc.disable()
    resource.setrlimit(resource.RLIMIT_AS, (MOST_BYTES, MOST_BYTES))
    found = measure(quick)
    print(f"\nHTTP of a server's beat: {http_beat():.0f} us of CPU, on a kept connection")
    print(f"\n{'slope':<58} {'unit':<9} {'base':>10} {'slope':>11}   {'for':<13} {'at target':>10}")
    for slope in found.of.values():
        print(slope.row())
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3
    print(f"\nCPU of the whole: {time.process_time() - began:.0f} s, memory at its peak: {peak:.0f} MB")
    print(f"slopes measured: {len(found.of)}")
    return 0


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    return asyncio.run(run(parser.parse_args().quick))


if __name__ == "__main__":
    sys.exit(main())
