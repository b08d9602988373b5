"""The whole system on loopback, with nothing prepared: limiters as processes, servers, clients, faults.

Three core limiters with a folder each and two without a disk serve four servers of two services. A
configuration is put in force and amended, the leader is killed and started again, a server is drained, and
requests go on all the while. Nobody's word but the servers' and the clients' own counts in the end.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

from attrs import define, field

from larklb.lab.yard import ROOT, read_head
from larklb.schema import calls
from larklb.schema.amendments import amend
from larklb.schema.document import digest, parse

LEAST_S = 6.0              # of requests, in which a killed limiter is back before the end
START_S = 25.0             # for all limiters to be ready: a busy machine starts slowly
BACK_S = 20.0              # ... and, after the last request, for all to be there with one configuration
DOWN_S = 2.0               # between the kill and the start
GRACE_S = 3.0              # that limiters are given to end in
PERIOD_S = 0.5             # between a server's heartbeats
DRAIN_S = 2.5              # that a server serves on, once anybody has acknowledged that it leaves
PATIENCE_S = 5.0           # of a client with one request
GAP_S = 1 / 45             # between two requests
LOOK_S = 0.4               # between two questions whether a limiter is ready; two misses shut it out
CORES, LIMITERS = 3, 5
ZONES = ("north", "south", "east")
SLOTS, QUEUE = 8, 8        # of a server
WORK_S = (0.015, 0.06)
MOST_ANSWER = 1 << 20
PROMISES = frozenset((408, 421, 429, 503))
SMALL_RATE, SMALL_BURST = 4, 4         # of the tenant that asks for more than it has
SMALL_PART = 5             # every so many requests is that tenant's: 9 a second

Document = dict[str, Any]

CONFIGURATION: Document = {
    "version": 1,
    "services": [{"name": "orders", "probe": "/up", "saturation": 100},
                 {"name": "catalogue", "probe": "/up", "saturation": 100}],
    "limits": {"headerBytes": 16384, "bodyBytes": 1048576, "headerMs": 3000, "idleMs": 15000},
    "tenants": [{"name": "yard", "keys": ["trial-key-of-the-yard"], "ratePerS": 500, "burst": 500},
                {"name": "skiff", "keys": ["trial-key-of-the-skiff"], "ratePerS": SMALL_RATE,
                 "burst": SMALL_BURST}],
    "hosts": [{"host": "shop.example", "paths": [
        {"name": "place-order", "prefix": "/orders/", "routeType": "unsafe", "timeoutMs": 4000,
         "setpointMs": 500, "precedence": 0, "target": "orders", "tries": 2},
        {"name": "look-up", "prefix": "/parts/", "routeType": "safe", "timeoutMs": 4000, "setpointMs": 400,
         "precedence": 1, "target": "catalogue", "tries": 2}]}]}
CHANGE: Document = {
    "version": 3,
    "upsert": {"hosts": [{"host": "shop.example", "paths": [
        {"name": "price-list", "prefix": "/prices/", "routeType": "safe", "timeoutMs": 4000,
         "setpointMs": 600, "precedence": 2, "tries": 2,
         "distribution": [{"target": "catalogue", "gain": 3}, {"target": "orders", "gain": 1}]}]}]}}
PREFIXES = {"place-order": "/orders/", "look-up": "/parts/", "price-list": "/prices/"}


class TrialError(Exception):
    """The trial could not go on; the text says why."""


@define(frozen=True)
class Net:
    """Loopback addresses of one trial: limiters at .1 and up, servers at .101 and up, with the same ports."""

    prefix: str
    base: int

    def ip(self, number: int) -> str:
        return f"{self.prefix}.{number + 1}"

    @property
    def edge(self) -> int:
        return self.base

    @property
    def control(self) -> int:
        return self.base + 1

    @property
    def readiness(self) -> int:
        return self.base + 2

    @property
    def words(self) -> int:
        return self.base + 3

    @property
    def server(self) -> int:
        return self.base + 9

    def controls(self) -> list[str]:
        """Control addresses of all limiters."""
        return [f"{self.ip(i)}:{self.control}" for i in range(LIMITERS)]


def _free(ip: str, port: int) -> bool:
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            s.bind((ip, port))
        except OSError:
            return False
    return True


def free_net() -> Net:
    """Addresses that nobody has: by this process's id, so that trials at the same time don't meet."""
    for step in range(200):
        number = os.getpid() + step * 7919
        # From below the ports that outgoing connections draw from.
        net = Net(f"127.{1 + number // 250 % 250}.{1 + number % 250}", 18000 + step * 10)
        if all(_free(net.ip(i), net.base + p) for i in range(LIMITERS) for p in range(4)) and all(
                _free(net.ip(100 + i), net.server) for i in range(4)):
            return net
    raise TrialError("no loopback addresses are free")


def settings(net: Net, number: int, folder: Path, first: bool) -> str:
    """The settings file of one limiter; `first`: this is the system's first start."""
    ip = net.ip(number)
    data = f'dataDir = "{folder}/disk-{number}"\n' if number < CORES else ""
    seeds = ", ".join(f'"{net.ip(i)}:{net.control}"' for i in range(CORES))
    return f"""[self]
node = "limiter-{number}"
ip = "{ip}"
zone = "{ZONES[number % CORES]}"
region = "yard"
bootstrap = {str(first).lower()}
{data}
[self.limits]
memoryMb = 300
descriptors = 1024

[network]
portRange = [{net.words}, {net.words}]
seeds = [{seeds}]
zones = {{ {", ".join(f'{zone} = "yard"' for zone in ZONES)} }}

[network.bindings]
edge = "{ip}:{net.edge}"
control = "{ip}:{net.control}"
readiness = "{ip}:{net.readiness}"

[substrate]
reportPeriodMs = {PERIOD_S * 1000:g}

[terms.tolerance]
machines = 1

[terms.bounds]
graceS = {GRACE_S:g}
drainMs = {DRAIN_S * 1000:g}
"""


async def call(address: str, method: str, path: str, headers: dict[str, str] | None = None,
               body: bytes = b"", within: float = 1.0) -> tuple[int, dict[str, str], bytes]:
    """One request on a connection of its own. OSError or TimeoutError where it brings no whole answer."""
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(within):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}",
                     *(f"{name}: {value}" for name, value in (headers or {}).items())]
            if not headers or "Host" not in headers:
                lines.append(f"Host: {address}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head, told = await read_head(reader)
            size = int(told.get("content-length", 0))
            if size > MOST_ANSWER:
                raise ConnectionError("too long an answer")
            return int(head.split()[1]), told, await reader.readexactly(size)
    except (EOFError, ValueError, IndexError, asyncio.LimitOverrunError) as error:
        raise ConnectionError(f"no whole answer: {error}") from error
    finally:
        if writer is not None:
            writer.transport.abort()


# Servers ----------------------------------------------------------------------------------


@define(eq=False)
class StandIn:
    """One server: it works on requests, tells its load, and beats at the limiters' control addresses."""

    id: str
    service: str
    zone: str
    ip: str
    port: int
    controls: list[str]
    chance: random.Random
    runs: Counter[str] = field(factory=Counter)        # by path: what it has begun to work on
    turned_away: int = 0
    running: int = 0
    waiting: int = 0
    sequence: int = 0
    draining: bool = False
    told_at: float = 0.0           # when its leaving was acknowledged
    late: int = 0                  # requests that came after the bound on that had run out
    report_to: str = ""
    server: asyncio.Server | None = None
    slots: asyncio.Semaphore = field(factory=lambda: asyncio.Semaphore(SLOTS))

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(EOFError, OSError, ValueError, asyncio.LimitOverrunError):
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, more, told = await self._answer(first.split()[1], headers, body)
                if self.draining:
                    more["Connection"] = "close"
                lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(told)}",
                         f"X-Load: {self.running},{self.waiting},{SLOTS}", f"X-Instance-Id: {self.id}",
                         *(f"{name}: {value}" for name, value in more.items())]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + told)
                await writer.drain()
                if self.draining:
                    break
        writer.close()

    async def _answer(self, path: str, headers: dict[str, str],
                      body: bytes) -> tuple[int, dict[str, str], bytes]:
        now = asyncio.get_running_loop().time()
        if path == "/up":
            return 503 if self.draining else 200, {}, b""
        if headers.get("x-target-instance", self.id) != self.id:
            self.turned_away += 1
            return 421, {"X-Not-Run": "1"}, b""
        if "x-attempt-id" not in headers:
            return 400, {"X-Not-Run": "1"}, b""
        if self.told_at and now - self.told_at > DRAIN_S:
            self.late += 1
        same = {"X-Attempt-Id": headers["x-attempt-id"]}
        if self.running + self.waiting >= SLOTS + QUEUE:
            self.turned_away += 1
            return 503, {"X-Not-Run": "1", **same}, b""
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            self.runs[path] += 1
            try:
                await asyncio.sleep(self.chance.uniform(*WORK_S))
            finally:
                self.running -= 1
        seal = digest({"id": self.id, "attempt": headers["x-attempt-id"]})[:16]
        return 200, {"X-Server-Seal": seal, **same}, f"{path} for {headers.get('x-tenant', '')}".encode()

    async def beat(self) -> bool:
        """One heartbeat, at another limiter where the first gives no answer; whether it was acknowledged."""
        self.sequence += 1
        body = json.dumps({
            "address": f"{self.ip}:{self.port}",
            "info": {"target": self.service, "version": "v1", "zone": self.zone, "capacity": SLOTS},
            "observed": {"state": "draining" if self.draining else "steady", "sequence": self.sequence,
                         "warmupLeftMs": 0}}).encode()
        others = self.chance.sample(self.controls, len(self.controls))
        for address in [self.report_to, *others] if self.report_to else others:
            with suppress(OSError, TimeoutError):
                status, _, told = await call(address, "POST", f"/larklb/instances/{self.id}/heartbeat",
                                             {"Content-Type": "application/json"}, body)
                if status < 300:
                    self.report_to = str(json.loads(told or b"{}").get("reportTo", ""))
                    return True
            self.report_to = ""
        return False

    async def live(self) -> None:
        """Beats until it is told to leave."""
        while not self.draining:
            await self.beat()
            await asyncio.sleep(PERIOD_S)

    async def leave(self) -> None:
        """An orderly end: acknowledged, served on for as long as that takes to be known, told, over."""
        self.draining = True
        until = asyncio.get_running_loop().time() + 5.0
        while not await self.beat() and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.1)
        self.told_at = asyncio.get_running_loop().time()
        await asyncio.sleep(DRAIN_S + 0.5)
        for address in self.controls:
            with suppress(OSError, TimeoutError):
                if (await call(address, "POST", f"/larklb/instances/{self.id}/leave"))[0] < 300:
                    break
        await self.stop()

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()


# Clients ----------------------------------------------------------------------------------


@define
class Figures:
    """What became of requests, in the clients' own words."""

    served: Counter[str] = field(factory=Counter)              # by kind
    refused: Counter[str] = field(factory=Counter)             # ... each with a promise that it has not run
    over_quota: int = 0
    unknown: Counter[str] = field(factory=Counter)             # ... unsafe, at a limiter as it was killed
    lost: list[str] = field(factory=list)
    tries: int = 0
    outcome: dict[str, str] = field(factory=dict)              # by path


class Clients:
    """All clients: an even stream of requests, each tried again only where that can do no harm."""

    def __init__(self, net: Net, chance: random.Random) -> None:
        self.net, self.chance, self.figures = net, chance, Figures()
        self.misses = Counter({i: 2 for i in range(LIMITERS)})
        self.killed: dict[int, float] = {}             # limiters, and when they were killed
        self.kinds = ["place-order", "look-up"]
        self.number = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def look(self) -> None:
        """As the platform does: who is not ready gets no new connections."""
        while True:
            await asyncio.gather(*(self._looked(i) for i in range(LIMITERS)))
            await asyncio.sleep(LOOK_S)

    async def _looked(self, i: int) -> None:
        with suppress(OSError, TimeoutError):
            if (await call(f"{self.net.ip(i)}:{self.net.readiness}", "GET", calls.READINESS))[0] == 200:
                self.misses[i] = 0
                return
        self.misses[i] += 1

    def ready(self) -> list[int]:
        return [i for i in range(LIMITERS) if self.misses[i] < 2]

    async def stream(self, seconds: float) -> None:
        """Requests for so long, and to the end of the last one."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for n in range(int(seconds / GAP_S)):
            await asyncio.sleep(max(0.0, begin + n * GAP_S - loop.time()))
            task = loop.create_task(self._one())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)

    async def _one(self) -> None:
        self.number += 1
        small = self.number % SMALL_PART == 0
        kind = "look-up" if small else self.kinds[self.number % len(self.kinds)]
        path = f"{PREFIXES[kind]}{self.number}"
        outcome = await self._tried(kind, path, "skiff" if small else "yard")
        figures = self.figures
        figures.outcome[path] = outcome
        if outcome == "over":
            figures.over_quota += 1
        elif outcome == "lost":
            figures.lost.append(f"{kind} {path}")
        else:
            counts = {"served": figures.served, "refused": figures.refused, "unknown": figures.unknown}
            counts[outcome][kind] += 1

    async def _tried(self, kind: str, path: str, tenant: str) -> str:
        loop, safe = asyncio.get_running_loop(), kind != "place-order"
        due = loop.time() + PATIENCE_S
        said = "nothing"
        while (left := due - loop.time()) > 0.05:
            self.figures.tries += 1
            i = self.chance.choice(self.ready() or list(range(LIMITERS)))
            began, attempt = loop.time(), f"{self.chance.getrandbits(64):016x}"
            address = f"{self.net.ip(i)}:{self.net.edge}"
            try:
                # Who refuses the connection has read nothing.
                _, probe = await asyncio.wait_for(asyncio.open_connection(self.net.ip(i), self.net.edge), 1.0)
                probe.transport.abort()
            except (OSError, TimeoutError):
                said = "unreached"
                await asyncio.sleep(0.05)
                continue
            try:
                status, headers, body = await call(
                    address, "POST" if not safe else "GET", path,
                    {"Host": "shop.example", "X-Attempt-Id": attempt, "X-Time-Left": f"{left * 1000:.0f}",
                     "Authorization": f"Bearer trial-key-of-the-{tenant}"}, b"" if safe else b"{}", left)
            except (OSError, TimeoutError):
                if not safe:
                    # It may have run, and must not be sent again.
                    return "unknown" if self.killed.get(i, -1.0) >= began - 0.05 else "lost"
                said = "broken off"
                continue
            if status < 300:
                whole = (body.decode() == f"{path} for {tenant}" and "x-server-seal" in headers
                         and headers.get("x-attempt-id") == attempt)
                return "served" if whole else "lost"
            if status == 429 and tenant == "skiff":
                return "over"
            if status not in PROMISES and (not safe or status < 500):
                return "lost"
            said = "refused" if status in PROMISES else str(status)
            await asyncio.sleep(min(max(0.0, due - loop.time()), float(headers.get("retry-after", "0.05"))))
        return "refused" if not safe and said in ("refused", "unreached") else "lost"


# The trial --------------------------------------------------------------------------------


class Trial:
    """One run; everything it started ends with it."""

    def __init__(self, folder: Path, seconds: float, quiet: bool) -> None:
        self.folder, self.seconds, self.quiet = folder, seconds, quiet
        self.net, chance = free_net(), random.Random(11)
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.clients = Clients(self.net, chance)
        self.servers = [StandIn(f"{service}-{n}", service, ZONES[n], self.net.ip(100 + k), self.net.server,
                                self.net.controls(), random.Random(k))
                        for k, (service, n) in enumerate(
                            (s, n) for s in ("orders", "catalogue") for n in (0, 1))]
        self.tasks: list[asyncio.Task[None]] = []
        self.off: list[str] = []       # what was not as it should be

    def say(self, text: str) -> None:
        if not self.quiet:
            print(text, flush=True)

    def check(self, good: bool, text: str) -> None:
        self.say(f"  {'as it should be' if good else 'NOT as it should be'}: {text}")
        if not good:
            self.off.append(text)

    async def command(self, *words: str, status: int = 0) -> None:
        """One of our own commands, shown as one would type it, and what it says."""
        if self.quiet:
            return
        self.say(f"\n    $ larklb system {' '.join(words)}")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "larklb.cli.system", *words, env=_environment(),
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        for line in (await process.communicate())[0].decode().splitlines():
            self.say(f"      {line}")
        if process.returncode != status:
            self.check(False, f"it ended with {process.returncode}, not {status}")

    async def start(self, i: int, first: bool) -> None:
        """One limiter, as a process of its own."""
        file = self.folder / f"limiter-{i}.toml"
        file.write_text(settings(self.net, i, self.folder, first))
        with (self.folder / f"limiter-{i}.log").open("ab") as log:
            self.processes[i] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "larklb.gateway", env={**_environment(), "LARKLB_SETTINGS": str(file)},
                stdout=log, stderr=log)

    async def until(self, what: str, within: float, true: Callable[[], Awaitable[bool]]) -> bool:
        """Waits until it is so; TrialError where a limiter has ended by itself."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        while not await true():
            for i, process in self.processes.items():
                if process.returncode is not None and i not in self.clients.killed:
                    raise TrialError(f"limiter-{i} has ended with {process.returncode}: {self.last(i)}")
            if loop.time() > end:
                self.check(False, f"within {within:g} s {what}")
                return False
            await asyncio.sleep(0.1)
        return True

    def last(self, i: int) -> str:
        """The last line of a limiter's log."""
        lines = (self.folder / f"limiter-{i}.log").read_text("utf-8", "replace").splitlines()
        return lines[-1] if lines else "it said nothing"

    async def change(self, path: str, base: int, document: Document) -> None:
        """An operator's call, sent unchanged until there is a clear answer."""
        body, until = json.dumps(document).encode(), asyncio.get_running_loop().time() + START_S
        while asyncio.get_running_loop().time() < until:
            for address in self.net.controls():
                with suppress(OSError, TimeoutError):
                    status, _, told = await call(address, "POST", path, {calls.BASE_VERSION: str(base)}, body)
                    if status < 300:
                        return
                    if status in (400, 412):
                        raise TrialError(f"{path}: {status}: {told.decode('utf-8', 'replace')[:200]}")
            await asyncio.sleep(0.2)
        raise TrialError(f"{path}: no clear answer")

    async def status(self, i: int, path: str) -> Document:
        """A limiter's status document, empty where it gives none."""
        with suppress(OSError, TimeoutError):
            code, _, body = await call(f"{self.net.ip(i)}:{self.net.control}", "GET", path)
            if code == 200:
                return parse(body)
        return {}

    async def leader(self) -> int:
        for i in range(CORES):
            if ((await self.status(i, calls.CORE)).get("core") or {}).get("leads"):
                return i
        return 0

    async def there(self) -> bool:
        """Whether all limiters are ready with the same configuration and know each other and all servers."""
        want = {s.id for s in self.servers if not s.draining}
        known = [await self.status(i, calls.SERVERS) for i in range(LIMITERS)]
        members = [await self.status(i, calls.MEMBERS) for i in range(LIMITERS)]
        return (all(k.get("ready") and want <= {s["id"] for s in k["servers"] if not s["silent"]}
                    for k in known)
                and len({k["version"] for k in known}) == 1
                and all(sum(m["state"] == "up" for m in k.get("members", ())) == LIMITERS for k in members))

    async def show(self) -> None:
        clients, seconds = self.clients, self.seconds
        self.say(f"Limiters at {self.net.ip(0)} to {self.net.ip(LIMITERS - 1)}, each a process: three with a "
                 "disk, two without.\nFour stand-in servers of two services beat at them.")
        for server in self.servers:
            await server.start()
            self.tasks.append(asyncio.ensure_future(server.live()))
        for i in range(LIMITERS):
            await self.start(i, True)
        self.tasks.append(asyncio.ensure_future(clients.look()))
        await self.change(calls.REPLACE, 0, CONFIGURATION)
        self.say("\nVersion 1 of a configuration is acknowledged: a majority of the three disks has it.")
        if not await self.until("all limiters are ready", START_S, self.there):
            raise TrialError("; ".join(f"limiter-{i}: {self.last(i)}" for i in range(LIMITERS)))
        await self.until("the platform finds them ready", 3.0, self._all_ready)
        self.say(f"All five are ready. Requests begin, {1 / GAP_S:.0f} a second for {seconds:g} s.")
        begun = asyncio.get_running_loop().time()
        stream = asyncio.ensure_future(clients.stream(seconds))
        try:
            await self._troubles(begun)
            await stream
        finally:
            stream.cancel()
        await self._end()

    async def _all_ready(self) -> bool:
        return len(self.clients.ready()) == LIMITERS

    async def _troubles(self, begun: float) -> None:
        loop, seconds = asyncio.get_running_loop(), self.seconds

        async def at(moment: float) -> None:
            await asyncio.sleep(max(0.0, begun + moment - loop.time()))

        await at(0.08 * seconds)
        await self.change(calls.AMEND, 1, CHANGE)
        changed = loop.time()
        self.say("\nVersion 3 adds a route; it was acknowledged while requests went on.")
        await at(0.25 * seconds)
        victim = await self.leader()
        self.clients.killed[victim] = loop.time()
        self.processes[victim].kill()
        await self.processes[victim].wait()
        killed = loop.time()
        self.say(f"The leader, limiter-{victim}, is killed.")
        await asyncio.sleep(max(0.0, changed + 2.5 - loop.time()))
        self.clients.kinds = ["place-order", "look-up", "place-order", "price-list"]
        await asyncio.sleep(max(0.0, killed + DOWN_S - loop.time()))
        await self.start(victim, False)
        self.say(f"limiter-{victim} is started again, with its disk.")
        await at(0.6 * seconds)
        server = self.servers[-1]
        self.say(f"Server {server.id} drains.")
        self.tasks.append(asyncio.ensure_future(server.leave()))

    async def _end(self) -> None:
        self.clients.killed = {}
        await self.until("all limiters are back with one version", BACK_S, self.there)
        leaving = self.servers[-1]
        await asyncio.sleep(max(0.0, leaving.told_at + DRAIN_S + 0.6 - asyncio.get_running_loop().time()))
        address = ",".join(self.net.controls())
        await self.command("versions", address)
        await self.command("core", address)
        await self.command("servers", address, status=1)       # one of them is gone
        self.say("\nWhat the clients and the servers have seen:")
        for text, good in self.verdicts(await self._read_back()):
            self.check(good, text)

    async def _read_back(self) -> Document:
        for address in self.net.controls():
            with suppress(OSError, TimeoutError):
                status, _, body = await call(address, "GET", calls.READ)
                if status == 200:
                    return parse(body)
        return {}

    def runs(self) -> Counter[str]:
        """How often each path has run, at all servers together."""
        return sum((server.runs for server in self.servers), Counter())

    def twice(self) -> list[str]:
        """Unsafe requests that have run more than once."""
        return sorted(path for path, n in self.runs().items() if n > 1 and path.startswith("/orders/"))

    def false(self) -> list[str]:
        """Requests served that no server ran, or refused with a promise although one did."""
        runs = self.runs()
        return sorted(path for path, outcome in self.clients.figures.outcome.items()
                      if (not runs[path] if outcome == "served" else
                          runs[path] if outcome in ("refused", "over") else False))

    def verdicts(self, document: Document) -> Iterator[tuple[str, bool]]:
        """Each thing that must hold, and whether it does."""
        f, twice, false = self.clients.figures, self.twice(), self.false()
        served, refused, unknown = f.served.total(), f.refused.total(), f.unknown.total()
        yield f"{served} requests served ({_told(f.served)}), in {f.tries} tries", served > 0
        yield (f"{refused} refused in the end, {f.over_quota} over a quota of {SMALL_RATE} a second",
               f.over_quota > 0)
        yield f"{unknown} failed: unsafe ones at the limiter that was killed, not sent again", True
        yield (f"{len(f.lost)} lost{_some(f.lost)}", not f.lost)
        yield (f"{len(twice)} unsafe ones ran twice{_some(twice)}", not twice)
        yield (f"{len(false)} answers or promises that weren't true{_some(false)}", not false)
        yield ("nothing came to the drained server after its bound" if not self.servers[-1].late else
               f"{self.servers[-1].late} requests came to the drained server after its bound",
               not self.servers[-1].late)
        wanted = amend(CONFIGURATION, CHANGE)
        yield ("the configuration read back is version 3, as it was amended",
               bool(document) and digest(document) == digest(wanted))

    async def stop(self) -> None:
        """Ends what it started, and nothing else."""
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            await server.stop()
        running = [p for p in self.processes.values() if p.returncode is None]
        for process in running:
            process.send_signal(signal.SIGTERM)
        for process in running:
            try:
                await asyncio.wait_for(process.wait(), GRACE_S + 2.0)
            except TimeoutError:
                process.kill()
                await process.wait()
                self.check(False, "a limiter had to be killed in the end")


def _told(counts: Counter[str]) -> str:
    return ", ".join(f"{kind} {n}" for kind, n in sorted(counts.items()))


def _some(names: list[str]) -> str:
    return f": {', '.join(names[:5])}" if names else ""


def _environment() -> dict[str, str]:
    paths = filter(None, (str(ROOT), os.environ.get("PYTHONPATH")))
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}


async def _run(seconds: float, as_json: bool) -> int:
    stop = asyncio.Event()
    for name in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(name, stop.set)
    with tempfile.TemporaryDirectory(prefix="larklb-system-") as folder:
        trial = Trial(Path(folder), seconds, as_json)
        shown = asyncio.ensure_future(trial.show())
        stopped = asyncio.ensure_future(stop.wait())
        try:
            await asyncio.wait((shown, stopped), return_when=asyncio.FIRST_COMPLETED)
        finally:
            stopped.cancel()
            shown.cancel()
            await asyncio.gather(shown, return_exceptions=True)
            await trial.stop()
    if shown.cancelled():
        print("larklb: ended before its time", file=sys.stderr)
        return 1
    if (error := shown.exception()) is not None:
        if not isinstance(error, TrialError):
            raise error
        print(f"larklb: {error}", file=sys.stderr)
        return 1
    figures = trial.clients.figures
    if as_json:
        print(json.dumps({
            "served": figures.served.total(), "refused": figures.refused.total(),
            "overQuota": figures.over_quota, "unknown": figures.unknown.total(), "lost": figures.lost,
            "ranTwice": trial.twice(), "false": trial.false(), "tries": figures.tries, "off": trial.off}))
    trial.say("Ended: limiters, servers and files.")
    return 1 if trial.off else 0


def run(seconds: float, as_json: bool) -> int:
    """0 if none was lost or doubled, and all else was as it should be."""
    return asyncio.run(_run(seconds, as_json))
