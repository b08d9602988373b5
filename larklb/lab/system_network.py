"""Addresses, settings and configuration of the loopback trial, and HTTP calls over loopback."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path
from typing import Any

from attrs import define

from larklb.lab.cluster import read_head

# Time that limiters have to end after SIGTERM.
GRACE_S = 3.0
HEARTBEAT_INTERVAL_S = 0.5
# Time that a server goes on serving after a limiter has acknowledged that it drains.
DRAIN_BOUND_S = 2.5
REQUEST_INTERVAL_S = 1 / 45
CORES, LIMITERS = 3, 5
ZONES = ("north", "south", "east")
MAX_RESPONSE_BYTES = 1 << 20
# Quota of the small tenant, which sends more than that.
SMALL_RATE, SMALL_BURST = 4, 4


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
    """The trial cannot go on; the message gives the reason."""


@define(frozen=True)
class Net:
    """Loopback addresses and ports of one trial.

    Limiters have addresses from .1, servers from .101; all limiters use the same ports, as do all servers.
    Only with `own_peer_ports` each limiter has another port for messages, as relays between them need.
    """

    prefix: str
    base: int
    limiters: int = LIMITERS
    own_peer_ports: bool = False

    def ip(self, number: int) -> str:
        """Return the address of a limiter (from 0) or a server (from 100)."""
        return f"{self.prefix}.{number + 1}"

    @property
    def edge(self) -> int:
        """The port for requests."""
        return self.base

    @property
    def control(self) -> int:
        """The port of the control interface."""
        return self.base + 1

    @property
    def readiness(self) -> int:
        """The port for readiness checks."""
        return self.base + 2

    def peer(self, number: int) -> int:
        """Return the port of a limiter for messages between limiters."""
        return self.base + (10 + number if self.own_peer_ports else 3)

    @property
    def server(self) -> int:
        """The port of the servers."""
        return self.base + 9

    def controls(self) -> list[str]:
        """Return the control addresses of all limiters."""
        return [f"{self.ip(i)}:{self.control}" for i in range(self.limiters)]


def _free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def free_net(limiters: int = LIMITERS, *, own_peer_ports: bool = False) -> Net:
    """Return addresses that are free, derived from the process ID so that concurrent trials don't collide.

    :param limiters: Number of limiters, less than 100.
    :param own_peer_ports: Whether each limiter has a port of its own for messages between limiters.
    :raises TrialError: No free addresses were found.
    """
    for step in range(200):
        number = os.getpid() + step * 7919
        # The ports lie below the ephemeral range of outgoing connections.
        prefix = f"127.{1 + number // 250 % 250}.{1 + number % 250}"
        net = Net(prefix, 18000 + step * 10, limiters, own_peer_ports)
        ports = range(10 + limiters if own_peer_ports else 4)
        if all(_free(net.ip(i), net.base + p) for i in range(limiters) for p in ports) and all(
                _free(net.ip(100 + i), net.server) for i in range(4)):
            return net
    raise TrialError("no loopback addresses are free")


def settings(net: Net, number: int, folder: Path, first: bool) -> str:
    """Return the settings file of a limiter; `first` is true on the first start of the system."""
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
portRange = [{net.peer(number)}, {net.peer(number)}]
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
               body: bytes = b"", timeout_s: float = 1.0) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new connection and return the status, headers and body of the response.

    :raises OSError: The connection failed or the response is incomplete, invalid or too long.
    :raises TimeoutError: The response was not complete within `timeout_s`.
    """
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}",
                     *(f"{name}: {value}" for name, value in (headers or {}).items())]
            if not headers or "Host" not in headers:
                lines.append(f"Host: {address}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head, response_headers = await read_head(reader)
            size = int(response_headers.get("content-length", 0))
            if size > MAX_RESPONSE_BYTES:
                raise ConnectionError("too long an answer")
            return int(head.split()[1]), response_headers, await reader.readexactly(size)
    except (EOFError, ValueError, IndexError, asyncio.LimitOverrunError) as error:
        raise ConnectionError(f"no whole answer: {error}") from error
    finally:
        if writer is not None:
            writer.transport.abort()
