"""What stands round the program where there is no platform: execute nodes, discovery, submitters, and
limiters started as processes.  All of it listens on loopback alone."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent
SETTLED_S = 0.03           # after a connection comes up, those at once are counted
CLASSES = [
    {"name": "stock-check", "aim": 1500.0, "deadline": 4000.0, "gain": 1.0, "semantics": "repeatable"},
    {"name": "place-order", "aim": 2000.0, "deadline": 5000.0, "gain": 3.0, "semantics": "by_key",
     "group": "cell", "window": 10000.0}]
# A refill of one unit in 1000 s: within a test, what is granted is the burst and nothing else.
PLANS = [{"name": "slow", "quota_rate": 0.001, "depth": 10.0},
         {"name": "wide", "quota_rate": 500.0, "depth": 900.0}]
_numbers: Iterator[int] = iter(range(1, 1 << 30))       # ids, keys and seeds: no two starts share a seed


_ports: Iterator[int] = iter(range(16000 + os.getpid() * 1009 % 14000, 32000))


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """From below the range that outgoing connections draw from: one of them could take it before its use."""
    for port in _ports:
        with socket.socket(socket.AF_INET, kind) as s, suppress(OSError):
            s.bind(("127.0.0.1", port))
            return port
    raise AssertionError("no port is free")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines[1:] if line)}
    return lines[0], headers


Reply = Callable[[dict[str, str], bytes], Awaitable[bytes | None]]


def http(status: int, body: bytes = b"", *headers: str) -> bytes:
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


async def served(headers: dict[str, str], body: bytes) -> bytes:
    return http(200, b"done " + headers["x-correlation-id"].encode())


def _open(reader: asyncio.StreamReader) -> bool:
    return not reader.at_eof() and reader.exception() is None


class ExecuteNode:
    """Answers what ``reply`` says; None breaks the connection."""

    def __init__(self, name: str, cell: int = 0, port: int = 0) -> None:
        self.name, self.cell, self.port = name, cell, port or free_port()
        self.reply: Reply = served
        self.later = b""             # comes 10 ms behind an answer, unasked
        self.seen: Counter[str] = Counter()
        self.links: set[asyncio.StreamReader] = set()       # of connections; one closed by its other end ...
        self.most_links = 0                                  # ... is here till its work ends, and not counted
        self.asked: set[asyncio.StreamReader] = set()       # those of them with a request under way
        self.most_at_once = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links.add(reader)
        # What was closed before this one was opened may be read after it: counted once that is done.
        asyncio.get_running_loop().call_later(SETTLED_S, self._count)
        try:
            await self._requests(reader, writer)
        finally:
            self.links.discard(reader)

    def _count(self) -> None:
        self.most_links = max(self.most_links, sum(map(_open, self.links)))

    async def _requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                self.seen[headers["x-correlation-id"]] += 1
                self.asked.add(reader)
                # Who closes its connection has given the attempt up, whatever is still worked at here.
                self.most_at_once = max(self.most_at_once, sum(map(_open, self.asked)))
                try:
                    answer = await self.reply(headers, body)
                finally:
                    self.asked.discard(reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
                if self.later:
                    await asyncio.sleep(0.01)
                    writer.write(self.later)
        writer.close()

    def entry(self, lifecycle: str = "up") -> dict[str, Any]:
        return {"instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": "a",
                "machineType": "m", "cell": self.cell, "lifecycle": lifecycle, "weight": 1.0,
                "startedAtMs": 0}


class Discovery:
    """A watch that tells each watcher what it has not told it yet."""

    def __init__(self, port: int = 0) -> None:
        self.port = port or free_port()
        self.lines: list[tuple[int, bytes]] = []
        self.deaf = False            # open watches hear nothing more
        self.slow = 0.0              # s before a watch is answered at all
        self.asked: list[int] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line, _ = await read_head(reader)
        version = int(line.split("from=")[1].split()[0])
        self.asked.append(version)
        await asyncio.sleep(self.slow)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for generation, text in self.lines:
            if generation > version:
                self._chunk(writer, text)
        self.writers.add(writer)
        with suppress(ConnectionError):
            await reader.read()
        self.writers.discard(writer)
        writer.close()

    def _chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        # Cut in the middle: a line need not come in one chunk.
        for part in (data[:7], data[7:]):
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))

    def tell(self, generation: int, *entries: dict[str, Any]) -> None:
        text = json.dumps({"generation": generation, "reset": False, "instances": entries}).encode() + b"\n"
        self.lines.append((generation, text))
        for writer in () if self.deaf else self.writers:
            self._chunk(writer, text)

    def cut(self) -> None:
        for writer in self.writers:
            writer.close()


def configuration(number: int, port: int, discovery: int, peers: list[int], nodes: list[dict[str, Any]],
                  plans: list[dict[str, Any]], seed: int = 0) -> dict[str, Any]:
    """An instance's configuration, as the platform would write it."""
    settings = {
        "ordinal": number, "balancers": len(peers), "tick": 4.0, "classes": CLASSES, "tariffs": plans,
        "limits": {"max_attempts": 4, "cancel": True, "retry_after": True, "max_retry_after": 500.0,
                   "may_tell": True, "dial_timeout": 250.0, "conn_idle": 30000.0},
        "safety": {"cold_share": 0.25, "warm_within": 16000.0, "tip_multiple": 4.0, "fall": 1000.0,
                   "drain_grace": 250.0},
        "family_info": {"inbox_per_s": 1000.0}, "discovery": "push"}
    return {
        "name": f"n{number}", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery}",
        "seed": f"{seed or next(_numbers):x}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": f"127.0.0.1:{peers[number]}", "peers": [f"127.0.0.1:{p}" for p in peers],
        "settings": settings, "known": {"generation": 1, "reset": True, "instances": nodes}}


class Limiter:
    """One started program."""

    def __init__(self, bed: Cluster, number: int) -> None:
        self.bed, self.number, self.name = bed, number, f"n{number}"
        self.port, self.grpc_port = free_port(), free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.errors = b""
        self.environment: dict[str, str] = {}
        self.descriptors = 0                  # that the system allows it; 0: as many as us

    def config(self) -> Path:
        bed = self.bed
        path = bed.folder / f"{self.name}.json"
        told = configuration(self.number, self.port, bed.discovery_of(self.number), bed.peers_of(self.number),
                             bed.entries_of(self.number), bed.plans)
        told["limits"]["memory_mb"] = bed.memory_mb
        told["settings"] |= bed.settings
        path.write_text(json.dumps(told))
        return path

    async def start(self) -> None:
        env = {**os.environ, "EDGE_CONFIG": str(self.config()), "PYTHONPATH": str(ROOT),
               **self.bed.environment, **self.environment}
        more = ["--operator", str(self.bed.operator())] if self.bed.second_front else []
        few = (lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors,) * 2)
               ) if self.descriptors else None
        self.errors = b""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "larklb", "serve", *more, env=env, stderr=asyncio.subprocess.PIPE,
            preexec_fn=few)
        await self.ready()

    async def ready(self, within: float = 30.0) -> None:
        until = time.monotonic() + within
        while time.monotonic() < until and (self.process is None or self.process.returncode is None):
            with suppress(OSError, asyncio.IncompleteReadError):
                if (await ask(self.port, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200:
                    return
            await asyncio.sleep(0.05)
        if self.process is not None and self.process.returncode is not None:
            _, self.errors = await self.process.communicate()
        raise AssertionError(f"{self.name} was not ready: {self.errors.decode()[-1000:]}")

    async def stop(self, how: signal.Signals = signal.SIGTERM) -> int:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(how)
        _, errors = await asyncio.wait_for(self.process.communicate(), 30)
        self.errors = errors or self.errors
        assert self.process.returncode is not None
        return self.process.returncode

    async def counters(self) -> dict[str, int]:
        _, _, body = await ask(self.port, "GET /counters HTTP/1.1\r\nHost: x\r\n\r\n")
        counts: dict[str, int] = json.loads(body)["counts"]
        return counts


class Cluster:
    """Limiters, execute nodes and discovery on loopback."""

    def __init__(self, folder: Path, limiters: int = 1, nodes: int = 2, second_front: bool = False,
                 store: str = "", more: str = "", plans: list[dict[str, Any]] = PLANS) -> None:
        """``more`` is text for the operator's file; with it each instance has an admin address, nN.sock."""
        self.folder, self.second_front, self.store = folder, second_front or bool(more), store
        self.more, self.plans = more, plans
        self.environment: dict[str, str] = {}
        self.memory_mb = 192
        self.settings: dict[str, Any] = {}           # that stand in place of the usual ones
        # What one limiter is told, where each has ways of its own to the others.
        self.peers_of: Callable[[int], list[int]] = lambda number: self.peers
        self.discovery_of: Callable[[int], int] = lambda number: self.discovery.port
        self.entries_of: Callable[[int], list[dict[str, Any]]] = lambda number: [
            n.entry() for n in self.nodes]
        self.peers = [free_port(socket.SOCK_DGRAM) for _ in range(limiters)]
        self.discovery = Discovery()
        self.nodes = [ExecuteNode(f"s-{i}") for i in range(nodes)]
        self.limiters = [Limiter(self, i) for i in range(limiters)]

    def operator(self) -> Path:
        path = self.folder / "operator.toml"
        store = f'[store]\nurl = "{self.store}"\n' if self.store else ""
        admin = 'admin = "{}.sock"\n' if self.more else ""
        text = store + self.more + "".join(
            f'[[instance]]\nname = "{x.name}"\nconfig = "{x.name}.json"\ngrpc = "127.0.0.1:{x.grpc_port}"\n'
            + admin.format(x.name) for x in self.limiters)
        if not path.exists() or path.read_text() != text:
            path.write_text(text)              # others that start now read it
        return path

    async def __aenter__(self) -> Cluster:
        await self.discovery.start()
        for node in self.nodes:
            await node.start()
        await asyncio.gather(*(x.start() for x in self.limiters))
        return self

    async def __aexit__(self, *_: object) -> None:
        for x in self.limiters:
            if x.process is not None and x.process.returncode is None:
                await x.stop(signal.SIGKILL)

    def seen(self) -> Counter[str]:
        return sum((n.seen for n in self.nodes), Counter())


def job(name: str = "", service: str = "stock-check", plan: str = "wide", account: int = 1, left: float = 3.0,
        spread: int = 1, first: int = 0, body: bytes = b"") -> str:
    method = "GET" if service == "stock-check" else "POST"
    keyed = [f"Idempotency-Key: {next(_numbers):032x}", f"Content-Length: {len(body)}"] * (method == "POST")
    return "\r\n".join((
        f"{method} /{service}/x?y=1 HTTP/1.1", "Host: x", f"X-Service-Class: {service}", f"Plan: {plan}",
        f"X-Correlation-Id: {name or f'{next(_numbers):016x}'}", f"Account: {account:016x}",
        f"X-Time-Left: {left:.3f}",
        *keyed, f"Quota-Info: units=1,spread={spread},first={first}", "", "")) + body.decode()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    line, headers = await read_head(reader)
    return int(line.split()[1]), headers, await reader.readexactly(int(headers["content-length"]))


async def ask(port: int, text: str | bytes) -> tuple[int, dict[str, str], bytes]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(text.encode() if isinstance(text, str) else text)
        return await asyncio.wait_for(read_answer(reader), 20)
    finally:
        writer.close()
