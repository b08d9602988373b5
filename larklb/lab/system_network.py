"""Addresses, settings and configuration of the trial of the whole system, and calls over loopback."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path
from typing import Any

from attrs import define

from larklb.lab.yard import read_head

GRACE_S = 3.0              # that limiters are given to end in
HEARTBEAT_INTERVAL_S = 0.5             # between a server's heartbeats
DRAIN_BOUND_S = 2.5              # that a server serves on, once anybody has acknowledged that it leaves
REQUEST_INTERVAL_S = 1 / 45             # between two requests
CORES, LIMITERS = 3, 5
ZONES = ("north", "south", "east")
MAX_RESPONSE_BYTES = 1 << 20
SMALL_RATE, SMALL_BURST = 4, 4         # of the tenant that asks for more than it has


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
AMENDMENT: Document = {
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
reportPeriodMs = {HEARTBEAT_INTERVAL_S * 1000:g}

[terms.tolerance]
machines = 1

[terms.bounds]
graceS = {GRACE_S:g}
drainMs = {DRAIN_BOUND_S * 1000:g}
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
            if size > MAX_RESPONSE_BYTES:
                raise ConnectionError("too long an answer")
            return int(head.split()[1]), told, await reader.readexactly(size)
    except (EOFError, ValueError, IndexError, asyncio.LimitOverrunError) as error:
        raise ConnectionError(f"no whole answer: {error}") from error
    finally:
        if writer is not None:
            writer.transport.abort()
