"""Cost of the control plane by size: slopes by limiters, servers, routes, tenants and services.

The limiters are simulated: each is the program's own limiter (registry replica, configuration replica,
subscriber, quotas, selection of servers, and the wiring between them) on a simulated network and clock,
without sockets, disks or sleeping, with many limiters in one process.  Each message is encoded and decoded as
on the wire.  CPU is the time of this process for each message and tick (``time.process_time``), with the
garbage collector off; the cost of one message is the median of its kind.  The time that messages wait for a
busy processor is not simulated, so that storms of messages look better than they are.  Memory is measured by
``tracemalloc``.  The process limits itself to ``MAX_ADDRESS_SPACE_BYTES``.

Each slope is a least-squares line through the measured points, which are printed next to it; ``at target`` is
the value of the line at the operators' size in two years.  Last line: ``slopes measured`` and their number.

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
from larklb.consensus.interface import Answer, Call
from larklb.consensus.log import encode
from larklb.gateway import messages
from larklb.gateway.control_plane import ControlPlane
from larklb.gateway.core import Core, Saved, apply
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

# Time between two heartbeats of a server, as at the operators' sites.
HEARTBEAT_PERIOD_MS = 1_500.0
# Delay of a message between two limiters.
NETWORK_DELAY_MS = 1.0
ZONES = ("a", "b", "c", "d", "e", "f")
# Time in which the core founds its group and starts to serve as home.
CORE_START_MS = 5_000.0
# Time over which the other limiters start.
JOIN_MS = 1_000.0
# Duration of the measurement at rest.
REST_MS = 4_000.0
# Limit of the address space, so that a storm ends this process rather than others.
MAX_ADDRESS_SPACE_BYTES = 3_500_000_000

# The operators' size in about two years.
LIMITERS, SERVERS, SERVICES, ROUTES, TENANTS, CORE_MACHINES = 2_200, 34_000, 1_500, 30_000, 57_000, 17

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(dict[str, Any])
_MESSAGE = TypeVar("_MESSAGE", bound=Message)


# --- the simulated network


@define
class Meter:
    """CPU used and messages sent since the last reset, by role and by kind of message or work."""

    cpu_samples: dict[tuple[str, str], list[float]] = field(factory=lambda: defaultdict(list))    # s each
    messages: Counter[tuple[str, str]] = field(factory=Counter)
    bytes: Counter[tuple[str, str]] = field(factory=Counter)

    def reset(self) -> None:
        """Resets all measurements."""
        self.cpu_samples.clear()
        self.messages.clear()
        self.bytes.clear()

    def total_cpu(self, role: str, kind: str = "") -> float:
        """Returns the CPU time of a role in s, for one kind or for all."""
        return sum(sum(s) for (r, k), s in self.cpu_samples.items() if r == role and kind in ("", k))

    def median_us(self, role: str, kind: str) -> float:
        """Returns the median CPU time for one message of a kind in us, 0 if there was none."""
        return (statistics.median(self.cpu_samples[role, kind]) * 1e6 if self.cpu_samples.get((role, kind))
                else 0.0)


class SimulatedWheel(Wheel):
    """The clock and the timers of one limiter, in simulated time; timers of an ended limiter do not fire."""

    def __init__(self, fabric: Fabric, is_running: Callable[[], bool]) -> None:
        self.fabric, self.is_running = fabric, is_running

    def now(self) -> float:
        """Returns the simulated time in ms."""
        return self.fabric.now

    def after(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        """Calls ``callback`` with ``args`` after ``delay`` ms."""
        timer = Timer(callback, args)
        self.fabric.schedule(delay, self._fire, timer)
        return timer

    def _fire(self, timer: Timer) -> None:
        if timer.callback is not None and self.is_running():
            timer.callback(*timer.args)


class SimulatedTransport(Transport):
    """Sends the messages of one limiter over the simulated network."""

    def __init__(self, fabric: Fabric, node: str, ip: str,
                 on_message: Callable[[AnyMessage], object]) -> None:
        super().__init__(node, ip, 1, on_message)
        self.fabric = fabric

    def send(self, ip: str, message: Message) -> None:
        """Sends a message to a limiter."""
        message = messages.with_sender(message, self.node, self.ip)
        if ip == self.ip:
            self.fabric.schedule(0.0, self.fabric.deliver_locally, ip, message)
            return
        self.fabric.transmit(ip, message_kind(message), messages.encode(message) + b"\n")


class SimulatedCore(Core):
    """The core of a core machine whose disk completes each save immediately."""

    fabric: Fabric

    def complete_save(self, values: dict[str, bytes], saved: Saved) -> None:
        """Counts the bytes of a save and reports its success."""
        self.fabric.saved_bytes += sum(map(len, values.values()))
        saved(self.fabric.now, True)


class SimulatedLimiter(Limiter):
    """One limiter without sockets; with a ``disk`` it is a core machine."""

    def __init__(self, fabric: Fabric, node: str, zone: str, disk: str, incarnation: int) -> None:
        settings = Settings(
            path="", node=node, ip=node, zone=zone, region="r", bootstrap=True, data_dir="",
            counted=False, memory_mb=300, descriptors=3000, cores=1.0, edge=None, readiness=None,
            control=None,
            ports=(1, 2), seeds=(), zones=dict.fromkeys(ZONES, "r"),
            heartbeat_period_ms=HEARTBEAT_PERIOD_MS, tolerance=1)
        super().__init__(settings)
        local_member = Member(node, node, zone, incarnation, disk)
        self.incarnation = incarnation
        self.wheel = SimulatedWheel(fabric, lambda: fabric.limiters.get(node) is self)
        self.random = random.Random(node)
        self.started_at = fabric.now
        self.transport = SimulatedTransport(fabric, node, node, self.handle_message)
        self.plane = ControlPlane(
            settings,
            local_member,
            f"{node} {incarnation}",
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
            core: SimulatedCore = SimulatedCore(
                settings, local_member, None, fabric.now, 1, self.transport.send,
                lambda values, saved: core.complete_save(values, saved), first_start=True
            )
            core.fabric = fabric
            self.plane.core = core

    def start_ticking(self) -> None:
        """Runs the first tick, which schedules the next one."""
        self._tick()


def decode_as(line: bytes, message_type: type[_MESSAGE]) -> _MESSAGE:
    """Decodes a message of a known type."""
    message = messages.decode(line)
    assert isinstance(message, message_type)
    return message


# Kinds of messages that a home handles.
_HOME_KINDS = ("beat", "has", "rows", "known", "sync", "synced", "range", "fetch", "peek")


def message_kind(message: Message) -> str:
    """Returns the kind of a message; deltas with rows are counted apart from empty ones."""
    if isinstance(message, Delta) and message.rows:
        return "delta+rows"
    return str(message.__struct_config__.tag)


def receiver_role(kind: str) -> str:
    """Returns the role of the receiver of a kind of message."""
    return "home" if kind in _HOME_KINDS else "holder" if kind == "raft" else "limiter"


class Fabric:
    """Simulated limiters, of which the first ``cores`` are core machines, and servers with heartbeats."""

    def __init__(self, limiters: int, servers: int, cores: int = 3, zones: int = 3) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.event_numbers = itertools.count()
        self.meter = Meter()
        self.saved_bytes = 0               # written to the disks
        self.limiters: dict[str, SimulatedLimiter] = {}
        self.zones = ZONES[:zones]
        self.seeds = [f"n{i:05}" for i in range(cores)]
        self.cores = [self.start(node, f"d{i}") for i, node in enumerate(self.seeds)]
        self.run(CORE_START_MS)
        self.servers: dict[str, tuple[Server, SimulatedLimiter]] = {}
        self._start_servers(servers)
        self.other_nodes = [f"n{i:05}" for i in range(cores, limiters)]
        for node in self.other_nodes:
            self.schedule(JOIN_MS * ring_digest(node) / 2.0 ** 64, self.start, node)
        self.run(JOIN_MS)
        self.settle(30_000.0)
        self.run(HEARTBEAT_PERIOD_MS)

    def schedule(self, delay: float, action: Callable[..., object], *args: Any) -> None:
        """Calls ``action`` with ``args`` after ``delay`` ms."""
        heapq.heappush(self.events, (self.now + delay, next(self.event_numbers), action, args))

    def run(self, duration: float) -> None:
        """Advances the simulation by ``duration`` ms."""
        until = self.now + duration
        while self.events and self.events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.now = until

    def settle(self, max_duration: float) -> float:
        """Runs until every limiter has the whole table of its home; returns the time that took in ms.

        Stops after ``max_duration`` ms.
        """
        started = self.now
        while self.now - started < max_duration and not all(
                n.subscriber.complete for n in self.limiters.values()):
            self.run(10.0)
        return self.now - started

    def start(self, node: str, disk: str = "") -> SimulatedLimiter:
        """Starts a limiter, or restarts it as a new incarnation."""
        zone = self.zones[int(node[1:]) % len(self.zones)]
        incarnation = self.limiters[node].incarnation + 1 if node in self.limiters else 1
        limiter = self.limiters[node] = SimulatedLimiter(self, node, zone, disk, incarnation)
        offset = (ring_digest(node) >> 8) % 100        # so that the limiters do not all tick simultaneously
        self.schedule(float(offset), self.start_ticking, limiter)
        return limiter

    def start_ticking(self, limiter: SimulatedLimiter) -> None:
        """Runs the first tick of a limiter, and measures the CPU of all its ticks."""
        original_tick = limiter._tick

        def metered_tick() -> None:
            started = time.process_time()
            original_tick()
            role = "core turn" if limiter.core is not None else "limiter"
            self.meter.cpu_samples[role, "turn"].append(time.process_time() - started)

        limiter._tick = metered_tick                   # type: ignore[method-assign]
        limiter.start_ticking()

    def transmit(self, ip: str, kind: str, line: bytes) -> None:
        """Counts an encoded message to another limiter and schedules its delivery."""
        self.meter.messages[receiver_role(kind), kind] += 1
        self.meter.bytes[receiver_role(kind), kind] += len(line)
        self.schedule(NETWORK_DELAY_MS, self.deliver, ip, kind, line)

    def deliver(self, ip: str, kind: str, line: bytes) -> None:
        """Has a limiter handle an encoded message and measures its CPU; ignored if it is not running."""
        if (limiter := self.limiters.get(ip)) is not None:
            started = time.process_time()
            limiter.handle_message(messages.decode(line))
            self.meter.cpu_samples[receiver_role(kind), kind].append(time.process_time() - started)

    def deliver_locally(self, ip: str, message: AnyMessage) -> None:
        """Has a limiter handle a message to itself, which is neither encoded nor measured."""
        if (limiter := self.limiters.get(ip)) is not None:
            limiter.handle_message(message)

    # Servers ------------------------------------------------------------------------------

    def _start_servers(self, count: int) -> None:
        """Adds servers that all homes know, and that send heartbeats from now on."""
        for server in make_servers(count, self.zones):
            nearby = [c for c in self.cores if c.settings.zone == server.zone] or self.cores
            self.servers[server.id] = (server, nearby[ring_digest(server.id) % len(nearby)])
        rows = [(name, server.to_row()) for name, (server, _) in self.servers.items()]
        line = messages.encode(messages.with_sender(RowsUpdate(members=[], servers=rows), "", ""))
        for limiter in self.cores:
            assert limiter.core is not None
            limiter.core.home.handle_rows_update(self.now, decode_as(line, RowsUpdate))
        for name in self.servers:
            self.schedule(HEARTBEAT_PERIOD_MS * ring_digest(name) / 2.0 ** 64, self.send_heartbeat, name)

    def send_heartbeat(self, name: str, repeat: bool = True) -> None:
        """Sends a server's heartbeat and measures its handling, from the body of the request on.

        With ``repeat`` it schedules the next one.
        """
        server, limiter = self.servers[name]
        server = evolve(server, sequence=server.sequence + 1)
        self.servers[name] = (server, limiter)
        body = heartbeat_body(server)
        started = time.process_time()
        parsed = calls.parse_heartbeat(body)
        assert limiter.core is not None
        home = limiter.core.home
        home.server_heartbeat(self.now, evolve(server, target=parsed.target), bool)
        home.push(self.now, limiter.core.offer)
        limiter.core.flush()
        self.meter.cpu_samples["home", "heartbeat"].append(time.process_time() - started)
        if repeat:
            self.schedule(HEARTBEAT_PERIOD_MS, self.send_heartbeat, name)

    def drain(self, name: str) -> None:
        """Sends a heartbeat by which a server announces that it drains."""
        server, limiter = self.servers[name]
        self.servers[name] = (evolve(server, state=DRAINING), limiter)
        self.send_heartbeat(name, repeat=False)

    def change(self, kind: str, base: int, document: dict[str, Any]) -> list[Answer]:
        """Starts an operator's call at the leader; returns a list to which the answers will be appended."""
        answers: list[Answer] = []
        for limiter in self.cores:
            if limiter.core is not None and limiter.core.replica.is_leader:
                started = time.process_time()
                limiter.core.call(self.now, kind, base, json.dumps(document), answers.append)
                self.meter.cpu_samples["holder", "call"].append(time.process_time() - started)
        return answers


# --- generated data of any size


def make_servers(count: int, zones: Iterable[str]) -> list[Server]:
    """Returns ``count`` servers, with 23 in each service, as at the target size."""
    zone_names = tuple(zones)
    return [Server(f"i-{ring_digest(f's{i}'):016x}"[:12], f"svc{i // 23:04}x", f"10.{i >> 16}.{i >> 8 & 255}."
                   f"{i & 255}:8080", zone_names[i % len(zone_names)], 4, "v1", sequence=1)
            for i in range(count)]


def heartbeat_body(server: Server) -> bytes:
    """Returns the body of a server's heartbeat as the server sends it."""
    return json.dumps({"address": server.address, "info": {
        "target": server.target, "version": server.version, "zone": server.zone, "capacity": server.slots},
        "observed": {"state": "draining" if server.state == DRAINING else "steady",
                     "sequence": server.sequence, "warmupLeftMs": 0}}).encode()


def make_document(routes: int, tenants: int, services: int, version: int = 1) -> dict[str, Any]:
    """Returns a configuration of a size, with 12 routes per host and two keys per tenant."""
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
    """A line through measured points.

    Points are pairs of a size, in units of ``per``, and a value in ``unit``; ``target`` is the target size.
    """

    name: str
    unit: str
    per: str
    points: list[tuple[float, float]]
    target: float

    def line(self) -> tuple[float, float]:
        """Returns the intercept and the slope of the least-squares line."""
        xs, ys = [p[0] for p in self.points], [p[1] for p in self.points]
        fit = statistics.linear_regression(xs, ys)
        return fit.intercept, fit.slope

    def at(self, x: float) -> float:
        """Returns the value of the line at a size."""
        base, slope = self.line()
        return base + slope * x

    def row(self) -> str:
        """Returns the printed row of the slope."""
        base, slope = self.line()
        points = "  ".join(f"{x:g}: {y:.4g}" for x, y in self.points)
        return (f"{self.name:<58} {self.unit:<9} {base:>10.4g} {slope:>+11.4g} a {self.per:<13} "
                f"{self.at(self.target):>10.4g} at {self.target:<6g} | {points}")


def median_cpu(action: Callable[[], object], min_total: float = 0.05, max_calls: int = 2000) -> float:
    """Returns the median CPU time of one call in s.

    Calls ``action`` until the calls have taken ``min_total`` s or there were ``max_calls``.
    """
    samples: list[float] = []
    while sum(samples) < min_total and len(samples) < max_calls:
        started = time.process_time()
        action()
        samples.append(time.process_time() - started)
    return statistics.median(samples)


def retained_bytes(make: Callable[[], object]) -> float:
    """Returns the bytes of memory that the result of ``make`` occupies."""
    gc.collect()
    tracemalloc.start()
    result = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return float(size)


@define
class Slopes:
    """All slopes by name."""

    by_name: dict[str, Slope] = field(factory=dict)

    def add(self, name: str, unit: str, per: str, x: float, y: float, target: float) -> None:
        """Adds a point to a slope."""
        if name not in self.by_name:
            self.by_name[name] = Slope(name, unit, per, [], target)
        self.by_name[name].points.append((x, y))


# --- the measurements


def measure_rest(slopes: Slopes, limiters: int, servers: int, cores: int, by: str) -> Fabric:
    """Measures a fabric in which nothing changes, and returns it.

    ``by`` is the size that varies between runs: ``limiters``, ``servers`` or ``cores``.
    """
    gc.collect()
    fabric = Fabric(limiters, servers, cores)
    meter, seconds = fabric.meter, REST_MS / 1000.0
    meter.reset()
    fabric.run(REST_MS)
    x, per, target = {"limiters": (limiters, "limiter", LIMITERS), "servers": (servers, "server", SERVERS),
                      "cores": (cores, "core machine", CORE_MACHINES)}[by]
    subscribers = limiters - cores
    silent = sum(s.silent for s in fabric.limiters[fabric.seeds[0]].subscriber.servers.values())
    message_rate, kb_rate = sum(meter.messages.values()) / seconds, sum(meter.bytes.values()) / seconds / 1e3
    print(f"at rest, {limiters} limiters, {servers} servers, {cores} core machines: "
          f"{message_rate:.0f} words a s, {kb_rate:.0f} KB/s, {silent} servers taken for silent; "
          "CPU us each: "
          + ", ".join(f"{r} {k} {meter.median_us(r, k):.0f}" for r, k in sorted(meter.cpu_samples)),
          flush=True)
    prefix = f"rest by {by}: "
    limiter_cpu = sum(meter.total_cpu("limiter", kind) for kind in ("turn", "delta", "offer"))
    limiter_bytes = sum(meter.bytes["home", k] for k in ("beat", "peek")) + sum(
        meter.bytes["limiter", k] for k in ("delta", "offer"))

    def add(name: str, unit: str, y: float, per: str = per, x: float = x, target: float = target) -> None:
        slopes.add(prefix + name, unit, per, x, y, target)

    if subscribers:
        add("CPU of a limiter", "ms/s", limiter_cpu / subscribers / seconds * 1e3)
        add("bytes of a limiter, in and out", "B/s", limiter_bytes / subscribers / seconds)
    add("CPU of a home's turns", "ms/s", meter.total_cpu("core turn") / cores / seconds * 1e3)
    if by == "limiters":
        per_core = ("subscriber", limiters / cores, LIMITERS / CORE_MACHINES)
        add("CPU of a home for a limiter's beat", "us", meter.median_us("home", "beat"), *per_core)
        add("CPU of a home for a server's beat", "us", meter.median_us("home", "heartbeat"), *per_core)
    elif by == "servers":
        per_core = ("server there", servers / cores, SERVERS / CORE_MACHINES)
        add("CPU of a home for a sync", "us", meter.median_us("home", "sync"), *per_core)
        add("bytes of a sync", "B", meter.bytes["home", "sync"] / max(1, meter.messages["home", "sync"]),
            *per_core)
    else:
        add("syncs that a core machine sends", "words/s", meter.messages["home", "sync"] / cores / seconds)
    return fabric


def measure_events(slopes: Slopes, fabric: Fabric, by: str, x: int, target: int) -> None:
    """Measures a drain, a join, a change of configuration and simultaneous restarts on a fabric at rest.

    ``x`` is the size of the fabric in units of ``by``, and ``target`` the target size.
    """
    meter = fabric.meter

    def add(name: str, unit: str, y: float, for_home: bool = False) -> None:
        by_subscriber = for_home and by == "limiters"
        slopes.add(f"by {by}: {name}", unit, "subscriber" if by_subscriber else by[:-1],
                   x / 3.0 if by_subscriber else x, y, target / CORE_MACHINES if by_subscriber else target)

    server = next(iter(fabric.servers))
    meter.reset()
    fabric.drain(server)
    fabric.run(400.0)
    informed = sum(n.subscriber.servers[server].state == DRAINING for n in fabric.limiters.values())
    drain_deltas = meter.messages["limiter", "delta+rows"]
    kinds = [("limiter", "delta+rows"), ("home", "rows"), ("home", "known"), ("home", "has")]
    add("drain: CPU of a limiter for the row", "us", meter.median_us("limiter", "delta+rows"))
    add("drain: CPU of a home to merge and push the row", "us", meter.median_us("home", "rows"), True)
    add("drain: CPU of a home for a 'has'", "us", meter.median_us("home", "has"), True)
    add("drain: words for it", "words", sum(meter.messages[k] for k in kinds))
    add("drain: bytes for it", "B", sum(meter.bytes[k] for k in kinds))
    print(f"  a drain is known by {informed} of {len(fabric.limiters)} limiters after 0.4 s, "
          f"{drain_deltas} deltas with rows")
    if by == "limiters":
        limiter = next(iter(fabric.limiters.values()))
        slopes.add("quota: CPU to find the last owner's address", "us", "limiter", x,
                   median_cpu(lambda: limiter.quota_exchange._send(-2, {})) * 1e6, target)

    node = f"n{90_000 + len(fabric.limiters):05}"
    meter.reset()
    fabric.other_nodes.append(node)
    fabric.start(node)
    fabric.run(2_000.0)
    add("join: deltas with rows", "words", meter.messages["limiter", "delta+rows"])
    add("join: bytes of them", "B", meter.bytes["limiter", "delta+rows"])
    add("join: CPU of all limiters", "ms", meter.total_cpu("limiter", "delta+rows") * 1e3)

    version, elapsed = 2, 0.0
    meter.reset()
    answers = fabric.change("replace", 0, make_document(24, 8, 2, version))
    while elapsed < 5_000.0 and not all(n.version == version for n in fabric.limiters.values()):
        fabric.run(10.0)
        elapsed += 10.0
    print(f"  a configuration of 24 routes: answered {[a.status for a in answers]}, in force everywhere "
          f"after {elapsed:.0f} ms, sent whole {meter.messages['limiter', 'config']} times", flush=True)
    add("configuration of 24 routes: bytes to limiters", "B", meter.bytes["limiter", "config"])
    meter.reset()
    for restarted in fabric.other_nodes:
        fabric.start(restarted)
    elapsed = fabric.settle(60_000.0)
    count, home_cpu = len(fabric.other_nodes), meter.total_cpu("home") + meter.total_cpu("core turn")
    deltas, size = meter.messages["limiter", "delta+rows"], meter.bytes["limiter", "delta+rows"]
    needed = count * -(-(len(fabric.servers) + len(fabric.limiters)) // 300)
    print(f"  a herd of {count} restarts is whole after {elapsed:.0f} ms: {deltas} deltas with rows, "
          f"{needed} would hold the tables ({deltas / needed:.1f} times), {size / 1e6:.1f} MB; CPU of homes "
          f"{home_cpu:.2f} s, of limiters {meter.total_cpu('limiter'):.2f} s", flush=True)
    add("herd: deltas with rows, for a limiter", "words", deltas / count)
    add("herd: bytes of them, for a limiter", "KB", size / count / 1e3)
    add("herd: CPU of the homes, for a limiter", "ms", home_cpu / count * 1e3)


def measure_tables(slopes: Slopes, count: int) -> None:
    """Measures one home and one subscriber with ``count`` servers, without a fabric."""
    servers = make_servers(count, ZONES)
    rows = [(s.id, s.to_row()) for s in servers]
    line = messages.encode(messages.with_sender(RowsUpdate(members=[], servers=rows), "", ""))
    core_member = Member("n0", "n0", "a", 1, "d0", ring_number=0, grant=1)

    def make_home() -> RegistryReplica:
        home = RegistryReplica(core_member, HEARTBEAT_PERIOD_MS, 0.0)
        home.ready = True
        home.handle_rows_update(0.0, decode_as(line, RowsUpdate))
        return home

    def fill_subscriber() -> tuple[Subscriber, list[bytes]]:
        source, lines = make_home(), list[bytes]()
        subscriber = Subscriber(evolve(core_member, node="n1", ip="n1", disk=""), ["n0"])
        subscriber.add_core(0.0, core_member)
        subscriber.tick(0.0)
        for _ in range(count // 300 + 3):
            heartbeat = MemberHeartbeat(sender="n1", address="n1", member=subscriber.local_member.to_row(),
                                        have=subscriber.revision, of=("n0", 1))
            source.handle_heartbeat(0.0, heartbeat, (0, ""))
            for _, message in source.outbox:
                lines.append(messages.encode(messages.with_sender(message, "n0", "n0")))
                subscriber.handle_delta(0.0, decode_as(lines[-1], Delta))
            source.outbox.clear()
        assert len(subscriber.servers) == count
        return subscriber, lines

    def add(name: str, unit: str, y: float) -> None:
        slopes.add("table: " + name, unit, "server", count, y, SERVERS)

    add("memory of a home", "MB", retained_bytes(make_home) / 1e6)
    home, (subscriber, lines) = make_home(), fill_subscriber()
    template = Subscriber(evolve(core_member, node="n1", ip="n1", disk=""), ["n0"])

    def refill() -> Subscriber:
        template.servers = {}
        fresh = Subscriber(template.local_member, ["n0"])
        fresh.add_core(0.0, core_member)
        fresh.tick(0.0)
        for raw in lines:
            fresh.handle_delta(0.0, decode_as(raw, Delta))
        return fresh

    add("memory of a follower", "MB", retained_bytes(refill) / 1e6)
    add("a whole table on the wire", "KB", sum(map(len, lines)) / 1e3)
    add("CPU of a limiter to take a whole table", "ms", median_cpu(refill) * 1e3)
    selector = ServerSelector("a", dict.fromkeys(ZONES, "r"), 1)

    def server_states() -> list[ServerState]:
        return [ServerState(s.id, s.target, s.address, s.zone, s.slots, draining=False, silent=s.silent)
                for s in subscriber.servers.values()]

    def fill_selector() -> ServerSelector:
        filled = ServerSelector("a", {}, 1)
        filled.update(server_states())
        return filled

    add("memory of the choice", "MB", retained_bytes(fill_selector) / 1e6)
    add("CPU of the choice for any change of a row", "ms",
        median_cpu(lambda: selector.update(server_states())) * 1e3)

    incarnations = itertools.count(1)

    def recompute_digests() -> None:
        home.range_digests = None
        home._current_digests()

    add("CPU of a home for digests after a change", "ms", median_cpu(recompute_digests) * 1e3)
    add("CPU of a home for a turn over leases", "ms", median_cpu(lambda: home.registry.expire(0.0)) * 1e3)
    add("CPU of a home to find and encode a whole table", "ms",
        median_cpu(lambda: [messages.encode(message) for message in table_deltas(home, incarnations)]) * 1e3)


def table_deltas(home: RegistryReplica, incarnations: Iterator[int]) -> list[Delta]:
    """Returns the deltas by which a new subscriber receives the whole table of a home."""
    member, deltas, have = Member("n9", "n9", "a", next(incarnations)).to_row(), list[Delta](), 0
    while have < home.table.revision:
        home.handle_heartbeat(
            0.0, MemberHeartbeat(sender="n9", address="n9", member=member, have=have, of=("n0", 1)), (0, ""))
        delta = home.outbox[-1][1]
        home.outbox.clear()
        assert isinstance(delta, Delta) and delta.to > have, "one that sends nothing would be asked for ever"
        deltas.append(delta)
        have = delta.to
    return deltas


def measure_configuration(slopes: Slopes, size: tuple[int, int, int], by: str) -> None:
    """Measures the work of a configuration replica and of a limiter on a configuration.

    ``size`` is the number of routes, tenants and services; ``by`` names the one that varies between runs.
    """
    index = ("routes", "tenants", "services").index(by)
    document = make_document(*size)
    body, line = json.dumps(document).encode(), _ENCODER.encode(document)
    host = {"host": "h00000.example", "paths": [{**document["hosts"][0]["paths"][0], "timeoutMs": 2600}]}
    call = Call("amend", 1, {"version": 2, "upsert": {"hosts": [host]}, "remove": {}}, "x")

    def add(name: str, unit: str, y: float) -> None:
        slopes.add(f"config by {by}: {name}", unit, by[:-1], size[index], y,
                   (ROUTES, TENANTS, SERVICES)[index])

    add("bytes on the wire", "KB", len(line) / 1e3)
    add("CPU to amend and check (holder)", "ms", median_cpu(lambda: apply(document, call)) * 1e3)
    add("CPU for its digest (holder)", "ms", median_cpu(lambda: digest(document)) * 1e3)
    add("CPU to encode it for the disk (holder)", "ms", median_cpu(lambda: encode(document)) * 1e3)
    add("CPU to read a call (holder)", "ms", median_cpu(lambda: parse(body)) * 1e3)
    add("CPU to send it once (home)", "ms", median_cpu(lambda: _ENCODER.encode(document)) * 1e3)
    add("CPU to take it (limiter)", "ms",
        median_cpu(lambda: prepare_configuration(schema.check(_DECODER.decode(line), 0))) * 1e3)
    add("memory of the document (holder)", "MB", retained_bytes(lambda: _DECODER.decode(line)) / 1e6)
    add("memory in force (limiter)", "MB",
        retained_bytes(lambda: prepare_configuration(schema.check(_DECODER.decode(line), 0))) / 1e6)
    if by == "routes":
        routes = prepare_configuration(schema.check(document, 0)).routes
        paths = [(h["host"], h["paths"][0]["prefix"] + "x") for h in document["hosts"]]
        requests = random.Random(1).choices(paths, k=500)
        add("CPU to find a request's route", "us", median_cpu(
            lambda: [routes.find(h, p) for h, p in requests]) / len(requests) * 1e6)


def measure_quotas(slopes: Slopes, limiters: int) -> None:
    """Measures the quotas at an asking limiter and at an owner, with ``limiters`` limiters on the ring."""
    numbers = {i: f"n{i}" for i in range(limiters)}
    ring = sorted(numbers)

    def add(name: str, unit: str, y: float) -> None:
        slopes.add("quota: " + name, unit, "limiter", limiters, y, LIMITERS)

    names = [f"t{i:05}x" for i in range(400)]
    owners = {n: ring_owner(ring_digest(n), ring) for n in names[:40 if limiters > 100 else 400]}
    name_numbers = iter(range(1 << 30))
    add("CPU to find a tenant's owner anew", "ms", median_cpu(
        lambda: ring_owner(ring_digest(f"x{next(name_numbers)}"), ring)) * 1e3)
    owner = next(iter(owners.values()))
    tenant = next(t for t, o in owners.items() if o == owner)
    allowance = Allowance(tenant, 1e6, 1e6)
    asker_quotas = Quotas("n", 0.0, 1, first_start=True)
    owner_quotas = Quotas("o", 0.0, 2, first_start=True)
    asker = next(i for i in ring if i != owner)
    asker_quotas.set_limiters(0.0, numbers, asker)
    owner_quotas.set_limiters(0.0, numbers, owner)
    sizes: list[int] = []
    clock = itertools.count()

    def ask() -> float:
        now = 0.01 * next(clock)
        started = time.process_time()
        request = asker_quotas.request(now, allowance)
        assert isinstance(request, Ask)
        question = QuotaMessage(message=request.message)
        request_line = messages.encode(messages.with_sender(question, "n00009", "10.128.0.9"))
        sent = time.process_time()
        answer = owner_quotas.handle_request(now, asker, decode_as(request_line, QuotaMessage).message)
        assert answer is not None
        reply_line = messages.encode(
            messages.with_sender(QuotaMessage(message=answer), "n00009", "10.128.0.9"))
        answered = time.process_time()
        asker_quotas.handle_reply(now, decode_as(reply_line, QuotaMessage).message)
        sizes.append(len(request_line) + len(reply_line))
        asker_cpu.append(time.process_time() - answered + sent - started)
        owner_cpu.append(answered - sent)
        return 0.0

    asker_cpu: list[float] = []
    owner_cpu: list[float] = []
    median_cpu(ask, max_calls=1500)
    add("CPU of an ask at the asker", "us", statistics.median(asker_cpu) * 1e6)
    add("CPU of an ask at the owner", "us", statistics.median(owner_cpu) * 1e6)
    add("bytes of an ask and its verdict", "B", statistics.median(sizes))
    remaining = {i: n for i, n in numbers.items() if i != limiters - 1}
    # A bucket that is created soon after a change of the ring may have had another owner: its owner sends a
    # hello to all limiters, which have to agree on the ring.
    new_owner_quotas = Quotas("f", 0.0, 3, first_start=True)
    new_owner_quotas.set_limiters(0.0, numbers, 0)
    new_owner_quotas.set_limiters(10.0, remaining, 0)
    ring = sorted(remaining)
    new_tenant = next(
        t for t in (f"o{i}" for i in itertools.count()) if ring_owner(ring_digest(t), ring) == 0)
    new_owner_quotas.request(20.0, Allowance(new_tenant, 10.0, 10.0))
    add("hellos of one owner after a change of the ring", "words", sum(
        message["k"] == "hello" for _, message in new_owner_quotas.pending_messages(100.0)))

    def ask_from_all() -> Quotas:
        quotas = Quotas("o", 0.0, 2, first_start=True)
        quotas.set_limiters(0.0, numbers, owner)
        for number in ring:
            if number != owner:
                quotas.handle_request(1.0, number, {
                    "k": "ask", "n": 1, "t": tenant, "r": 10.0, "b": 10.0, "v": 1,
                    "life": 1, "spent": 0, "heard": 0})
        return quotas

    add("memory of a bucket that all ask for", "KB", retained_bytes(ask_from_all) / 1e3)


def measure_selection(slopes: Slopes, servers: int) -> None:
    """Measures the selection among the servers of one service."""
    selector = ServerSelector("a", dict.fromkeys(ZONES, "r"), 1)
    selector.update(ServerState(s.id, "svc", s.address, s.zone, 4) for s in make_servers(servers, ZONES))
    slopes.add("request: CPU to choose a server", "us", "server of it", servers,
               median_cpu(lambda: selector.pick(1.0, "svc", "r", 400.0)) * 1e6, SERVERS / SERVICES)


def heartbeat_http_us() -> float:
    """Returns the CPU time in us to parse a server's heartbeat request and to write its response.

    The connection is persistent.
    """
    body = heartbeat_body(make_servers(1, ZONES)[0])
    request = (b"POST /larklb/instances/i-7f3a91c2/heartbeat HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n"
               b"Content-Type: application/json\r\n\r\n" % len(body)) + body
    connection = h11.Connection(h11.SERVER)

    def handle() -> None:
        connection.receive_data(request)
        while not isinstance(connection.next_event(), h11.EndOfMessage):
            pass
        connection.send(h11.Response(status_code=200, headers=[("Content-Length", "2")]))
        connection.send(h11.Data(data=b"{}"))
        connection.send(h11.EndOfMessage())
        connection.start_next_cycle()

    return median_cpu(handle) * 1e6


# --- all of it


def measure_all(quick: bool) -> Slopes:
    """Returns every slope; with ``quick`` from fewer and smaller sizes."""
    slopes, combined = Slopes(), Slopes()
    print("\nfabrics")
    for limiters in (12, 60) if quick else (12, 60, 200, 600):
        fabric = measure_rest(slopes, limiters, 27, 3, "limiters")
        measure_events(slopes, fabric, "limiters", limiters, LIMITERS)
    for servers in (27, 1_000) if quick else (27, 1_000, 4_000):
        fabric = measure_rest(slopes, 12, servers, 3, "servers")
        measure_events(slopes, fabric, "servers", servers, SERVERS)
    for cores in (3, 6) if quick else (3, 6, 9, 17):
        measure_rest(slopes, cores, 300, cores, "cores")
    if not quick:
        # Many limiters and many servers: simultaneous restarts whose table does not fit into one delta.
        for limiters in (12, 60, 200):
            fabric = measure_rest(combined, limiters, 1_000, 3, "limiters")
            measure_events(combined, fabric, "limiters", limiters, LIMITERS)
        for name, slope in combined.by_name.items():
            if "herd" in name:
                slopes.by_name[name + ", 1,000 servers"] = evolve(slope, name=name + ", 1,000 servers")
        measure_rest(combined, 4, 30_000, 3, "servers")     # more heartbeats than fit into one sync
    del fabric
    gc.collect()
    for servers in (27, 1_000, 4_000) if quick else (27, 1_000, 34_000):
        measure_tables(slopes, servers)
        gc.collect()
    for routes in (24, 300, 1_000) if quick else (24, 1_000, 30_000):
        measure_configuration(slopes, (routes, 8, 2), "routes")
    for tenants in (8, 300, 1_000) if quick else (8, 1_000, 57_000):
        measure_configuration(slopes, (24, tenants, 2), "tenants")
    for services in (2, 100) if quick else (2, 100, 1_500):
        measure_configuration(slopes, (24, 8, services), "services")
    for limiters in (12, 60, 200) if quick else (12, 60, 200, 600):
        measure_quotas(slopes, limiters)
    for servers in (2, 23, 100) if quick else (2, 23, 100, 400):
        measure_selection(slopes, servers)
    return slopes


async def run(quick: bool) -> int:
    """Runs the benchmark and prints it; returns 0.

    It is a coroutine only because the parts of a limiter need a running loop at their creation; nothing is
    scheduled on that loop.
    """
    started = time.process_time()
    logging.disable(logging.ERROR)
    print(f"machine: {machine()}; {'quick' if quick else 'full'}")
    gc.disable()
    resource.setrlimit(resource.RLIMIT_AS, (MAX_ADDRESS_SPACE_BYTES, MAX_ADDRESS_SPACE_BYTES))
    slopes = measure_all(quick)
    print(f"\nHTTP of a server's beat: {heartbeat_http_us():.0f} us of CPU, on a kept connection")
    print(f"\n{'slope':<58} {'unit':<9} {'base':>10} {'slope':>11}   {'for':<13} {'at target':>10}")
    for slope in slopes.by_name.values():
        print(slope.row())
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3
    print(f"\nCPU of the whole: {time.process_time() - started:.0f} s, memory at its peak: {peak:.0f} MB")
    print(f"slopes measured: {len(slopes.by_name)}")
    return 0


def main() -> int:
    """Parses the options, runs the benchmark and returns its exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    return asyncio.run(run(parser.parse_args().quick))


if __name__ == "__main__":
    sys.exit(main())
