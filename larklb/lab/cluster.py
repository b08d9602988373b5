"""A test cluster on loopback: execute nodes, discovery, request helpers, and limiters as processes."""

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
# Delay between accepting a connection and counting the open ones.
CONNECTION_COUNT_DELAY_S = 0.03
CLASSES = [
    {"name": "stock-check", "aim": 1500.0, "deadline": 4000.0, "gain": 1.0, "semantics": "repeatable"},
    {"name": "place-order", "aim": 2000.0, "deadline": 5000.0, "gain": 3.0, "semantics": "by_key",
     "group": "cell", "window": 10000.0}]
# "slow" refills one unit in 1000 s, so that within a test only the burst is granted.
PLANS = [{"name": "slow", "quota_rate": 0.001, "depth": 10.0},
         {"name": "wide", "quota_rate": 500.0, "depth": 900.0}]
# Source of ids, keys and seeds; no two starts share a seed.
_sequence: Iterator[int] = iter(range(1, 1 << 30))
# Processes begin at different ports, and none tries a port twice.
_candidate_ports: Iterator[int] = iter(range(16000 + os.getpid() * 1009 % 14000, 32000))


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Returns a free port below the ephemeral range, where no outgoing connection can take it before use.

    Raises AssertionError when no port is free.
    """
    for port in _candidate_ports:
        with socket.socket(socket.AF_INET, kind) as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise AssertionError("no port is free")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads the head of an HTTP message; returns its first line and its headers by lower-case name."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {name.lower(): value.strip()
               for name, _, value in (line.partition(":") for line in lines[1:] if line)}
    return lines[0], headers


Reply = Callable[[dict[str, str], bytes], Awaitable[bytes | None]]
"""Maps the headers and the body of a request to an encoded response, or to None to close the connection."""


def http(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Encodes an HTTP response."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


async def served(headers: dict[str, str], body: bytes) -> bytes:
    """Replies 200 with the correlation id in the body."""
    return http(200, b"done " + headers["x-correlation-id"].encode())


def _is_open(reader: asyncio.StreamReader) -> bool:
    return not reader.at_eof() and reader.exception() is None


class ExecuteNode:
    """An execute node that answers with ``reply``."""

    def __init__(self, name: str, cell: int = 0, port: int = 0) -> None:
        self.name, self.cell, self.port = name, cell, port or free_port()
        self.reply: Reply = served
        self.trailing_bytes = b""             # sent 10 ms after each answer, unsolicited
        self.attempts: Counter[str] = Counter()                # by correlation id
        # Readers of the connections.  One that the peer closed stays until its request ends, uncounted.
        self.connections: set[asyncio.StreamReader] = set()
        self.max_connections = 0
        self.active: set[asyncio.StreamReader] = set()         # connections with a request in progress
        self.max_concurrent_requests = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(reader)
        # The end of an earlier connection may be read after this one is accepted, so the count is delayed.
        asyncio.get_running_loop().call_later(CONNECTION_COUNT_DELAY_S, self._update_max_connections)
        try:
            await self._serve_requests(reader, writer)
        finally:
            self.connections.discard(reader)

    def _update_max_connections(self) -> None:
        self.max_connections = max(self.max_connections, sum(map(_is_open, self.connections)))

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                self.attempts[headers["x-correlation-id"]] += 1
                self.active.add(reader)
                # A closed connection means that the limiter cancelled the attempt, even if it runs here.
                self.max_concurrent_requests = max(
                    self.max_concurrent_requests, sum(map(_is_open, self.active)))
                try:
                    answer = await self.reply(headers, body)
                finally:
                    self.active.discard(reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
                if self.trailing_bytes:
                    await asyncio.sleep(0.01)
                    writer.write(self.trailing_bytes)
        writer.close()

    def entry(self, lifecycle: str = "up") -> dict[str, Any]:
        """Returns the node's entry in a discovery list."""
        return {"instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": "a",
                "machineType": "m", "cell": self.cell, "lifecycle": lifecycle, "weight": 1.0,
                "startedAtMs": 0}


class Discovery:
    """A discovery service; each watch receives the generations newer than the one that it names."""

    def __init__(self, port: int = 0) -> None:
        self.port = port or free_port()
        self.lines: list[tuple[int, bytes]] = []       # generations and their encoded updates
        self.muted = False            # open watches receive no further updates
        self.response_delay_s = 0.0              # before the response to a watch begins
        self.watched_from: list[int] = []             # generations from which watches were opened
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_line, _ = await read_head(reader)
        version = int(request_line.split("from=")[1].split()[0])
        self.watched_from.append(version)
        await asyncio.sleep(self.response_delay_s)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for generation, update in self.lines:
            if generation > version:
                self._write_line(writer, update)
        self.writers.add(writer)
        with suppress(ConnectionError):
            await reader.read()
        self.writers.discard(writer)
        writer.close()

    def _write_line(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        # Split in two, because a line need not arrive in one chunk.
        for part in (line[:7], line[7:]):
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))

    def publish(self, generation: int, *entries: dict[str, Any]) -> None:
        """Sends a generation with these entries to all watches, unless muted, and keeps it for later ones."""
        line = json.dumps({"generation": generation, "reset": False, "instances": entries}).encode() + b"\n"
        self.lines.append((generation, line))
        for writer in () if self.muted else self.writers:
            self._write_line(writer, line)

    def disconnect_watchers(self) -> None:
        """Closes all open watches."""
        for writer in self.writers:
            writer.close()


def configuration(number: int, port: int, discovery: int, peers: list[int], nodes: list[dict[str, Any]],
                  plans: list[dict[str, Any]], seed: int = 0) -> dict[str, Any]:
    """Returns the configuration of an instance as the platform writes it.

    ``port``, ``discovery`` and ``peers`` are ports on loopback, and ``nodes`` are entries of the initial
    list.  A ``seed`` of 0 stands for one that no other instance of this process has.
    """
    settings = {
        "ordinal": number, "balancers": len(peers), "tick": 4.0, "classes": CLASSES, "tariffs": plans,
        "limits": {"max_attempts": 4, "cancel": True, "retry_after": True, "max_retry_after": 500.0,
                   "may_tell": True, "dial_timeout": 250.0, "conn_idle": 30000.0},
        "safety": {"cold_share": 0.25, "warm_within": 16000.0, "tip_multiple": 4.0, "fall": 1000.0,
                   "drain_grace": 250.0},
        "family_info": {"inbox_per_s": 1000.0}, "discovery": "push"}
    return {
        "name": f"n{number}", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery}",
        "seed": f"{seed or next(_sequence):x}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": f"127.0.0.1:{peers[number]}",
        "peers": [f"127.0.0.1:{peer_port}" for peer_port in peers],
        "settings": settings, "known": {"generation": 1, "reset": True, "instances": nodes}}


class Limiter:
    """One limiter process of a cluster."""

    def __init__(self, cluster: Cluster, number: int) -> None:
        self.cluster, self.number, self.name = cluster, number, f"n{number}"
        self.port, self.grpc_port = free_port(), free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.errors = b""                     # standard error of the process, once it has ended
        self.environment: dict[str, str] = {}
        self.max_descriptors = 0              # RLIMIT_NOFILE; 0 inherits that of this process

    def config(self) -> Path:
        """Writes the configuration file and returns its path."""
        cluster = self.cluster
        path = cluster.folder / f"{self.name}.json"
        content = configuration(
            self.number, self.port, cluster.discovery_of(self.number), cluster.peers_of(self.number),
            cluster.entries_of(self.number), cluster.plans)
        content["limits"]["memory_mb"] = cluster.memory_mb
        content["settings"] |= cluster.settings
        path.write_text(json.dumps(content))
        return path

    async def start(self) -> None:
        """Starts the process and waits until it is ready."""
        env = {**os.environ, "EDGE_CONFIG": str(self.config()), "PYTHONPATH": str(ROOT),
               **self.cluster.environment, **self.environment}
        options = ["--operator", str(self.cluster.operator())] if self.cluster.second_front else []
        limit_descriptors = (
            lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_descriptors,) * 2)
        ) if self.max_descriptors else None
        self.errors = b""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "larklb", "serve", *options, env=env, stderr=asyncio.subprocess.PIPE,
            preexec_fn=limit_descriptors)
        await self.ready()

    async def ready(self, timeout_s: float = 30.0) -> None:
        """Waits until the health check answers 200.

        Raises AssertionError after ``timeout_s`` seconds, or when the process exits.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline and (self.process is None or self.process.returncode is None):
            with suppress(OSError, asyncio.IncompleteReadError):
                if (await ask(self.port, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200:
                    return
            await asyncio.sleep(0.05)
        if self.process is not None and self.process.returncode is not None:
            _, self.errors = await self.process.communicate()
        raise AssertionError(f"{self.name} was not ready: {self.errors.decode()[-1000:]}")

    async def stop(self, signal_number: signal.Signals = signal.SIGTERM) -> int:
        """Sends a signal to the process unless it has ended, waits for its end and returns its exit code."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signal_number)
        _, errors = await asyncio.wait_for(self.process.communicate(), 30)
        self.errors = errors or self.errors
        assert self.process.returncode is not None
        return self.process.returncode

    async def counters(self) -> dict[str, int]:
        """Returns the counters that the limiter reports."""
        _, _, body = await ask(self.port, "GET /counters HTTP/1.1\r\nHost: x\r\n\r\n")
        counts: dict[str, int] = json.loads(body)["counts"]
        return counts


class Cluster:
    """Limiters, execute nodes and discovery on loopback, started and stopped by ``async with``."""

    def __init__(self, folder: Path, limiters: int = 1, nodes: int = 2, second_front: bool = False,
                 store: str = "", more: str = "", plans: list[dict[str, Any]] = PLANS) -> None:
        """Prepares a cluster with its files in ``folder``.

        ``second_front`` starts the limiters with an operator file and thereby with a gRPC service.  So does
        ``more``, which is text for that file; unless it is empty, each instance also has an admin socket
        nN.sock.  ``store`` is the URL of a Redis server.
        """
        self.folder, self.second_front, self.store = folder, second_front or bool(more), store
        self.more, self.plans = more, plans
        self.environment: dict[str, str] = {}
        self.memory_mb = 192
        self.settings: dict[str, Any] = {}           # override those of ``configuration``
        # Peers, discovery and entries of a limiter's configuration; replaced where each limiter has relays.
        self.peers_of: Callable[[int], list[int]] = lambda number: self.peers
        self.discovery_of: Callable[[int], int] = lambda number: self.discovery.port
        self.entries_of: Callable[[int], list[dict[str, Any]]] = lambda number: [
            node.entry() for node in self.nodes]
        self.peers = [free_port(socket.SOCK_DGRAM) for _ in range(limiters)]
        self.discovery = Discovery()
        self.nodes = [ExecuteNode(f"s-{number}") for number in range(nodes)]
        self.limiters = [Limiter(self, number) for number in range(limiters)]

    def operator(self) -> Path:
        """Writes the operator file, if its text has changed, and returns its path."""
        path = self.folder / "operator.toml"
        store = f'[store]\nurl = "{self.store}"\n' if self.store else ""
        admin = 'admin = "{}.sock"\n' if self.more else ""
        text = store + self.more + "".join(
            f'[[instance]]\nname = "{limiter.name}"\nconfig = "{limiter.name}.json"\n'
            f'grpc = "127.0.0.1:{limiter.grpc_port}"\n'
            + admin.format(limiter.name) for limiter in self.limiters)
        if not path.exists() or path.read_text() != text:
            path.write_text(text)              # limiters that start concurrently read it
        return path

    async def __aenter__(self) -> Cluster:
        await self.discovery.start()
        for node in self.nodes:
            await node.start()
        await asyncio.gather(*(limiter.start() for limiter in self.limiters))
        return self

    async def __aexit__(self, *_: object) -> None:
        for limiter in self.limiters:
            if limiter.process is not None and limiter.process.returncode is None:
                await limiter.stop(signal.SIGKILL)

    def attempts(self) -> Counter[str]:
        """Returns the attempts that reached any node, by correlation id."""
        return sum((node.attempts for node in self.nodes), Counter())


def job(name: str = "", service: str = "stock-check", plan: str = "wide", account: int = 1, left: float = 3.0,
        spread: int = 1, first: int = 0, body: bytes = b"") -> str:
    """Returns the text of an HTTP request for a job with ``left`` seconds until its deadline.

    Without a ``name`` the correlation id is a new one.  An order has a new idempotency key.
    """
    method = "GET" if service == "stock-check" else "POST"
    body_headers = [
        f"Idempotency-Key: {next(_sequence):032x}", f"Content-Length: {len(body)}"] * (method == "POST")
    return "\r\n".join((
        f"{method} /{service}/x?y=1 HTTP/1.1", "Host: x", f"X-Service-Class: {service}", f"Plan: {plan}",
        f"X-Correlation-Id: {name or f'{next(_sequence):016x}'}", f"Account: {account:016x}",
        f"X-Time-Left: {left:.3f}",
        *body_headers, f"Quota-Info: units=1,spread={spread},first={first}", "", "")) + body.decode()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Reads an HTTP response; returns its status, headers and body."""
    status_line, headers = await read_head(reader)
    return int(status_line.split()[1]), headers, await reader.readexactly(int(headers["content-length"]))


async def ask(port: int, text: str | bytes) -> tuple[int, dict[str, str], bytes]:
    """Sends a request on a new connection and returns the response; raises TimeoutError after 20 s."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(text.encode() if isinstance(text, str) else text)
        return await asyncio.wait_for(read_answer(reader), 20)
    finally:
        writer.close()
