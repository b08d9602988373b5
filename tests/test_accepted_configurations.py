"""Whatever configuration or heartbeat the control API accepts is carried by the data plane.

Two limiters run in this process with their real sockets and disk. Configurations are drawn from all that may
be accepted; each one that is must be readable, must not hinder the next order, and its routes must be
served.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from attrs import define, evolve, field
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from larklb.gateway import settings as gateway_settings
from larklb.gateway.main import Limiter
from larklb.lab.system_network import Net, call, free_net
from larklb.lab.system_network import settings as settings_file
from larklb.lab.system_servers import StandInServer

HOST, KEY = "shop.example", "first-key"
# A core machine and another limiter in its zone, as servers are chosen in another way by one that is alone.
LIMITERS = (0, 3)
START_TIMEOUT_S = 15.0
# Numbers at which arithmetic is likely to fail, and ordinary ones.
AMOUNTS = st.sampled_from([0, 0.0, 1e-320, 1e-9, 0.5, 1, 17, 1e9, 1 << 53, 10**18, 10**30, 1e300, 1.7e308])
WHOLE = st.sampled_from([0, 1, 2, 7, 1000, 1 << 31, 1 << 63, 10**30, 10**400])
POSITIVE = st.sampled_from([1, 2, 7, 1 << 31, 1 << 63, 10**400])
TEXTS = st.sampled_from([
    "a", "a ", " a", "\ta\t", "é", "漁", "a,b", 'a"b', "a\\b", "a\u0085b", "\ufeffa", "\ud800", "😀",
    "a" * 3000, "%41", ";", "\x7f", "a\nb", "null"])
KEY_TEXTS = TEXTS.filter(lambda text: not any(character in "\n\x7f" for character in text))
LONG_ENOUGH = st.sampled_from([1000, 2500.5, 1 << 53, 10**30, 1e300])


def optional(values: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    """A value of a field that may be null; ``drop_absent`` removes some of the nulls."""
    return st.none() | values


def route(name: str, prefix: str, target: st.SearchStrategy[Any]) -> st.SearchStrategy[dict[str, Any]]:
    shares = st.lists(st.fixed_dictionaries({"target": st.just("desk"), "gain": AMOUNTS}), max_size=3)
    return st.fixed_dictionaries(
        {"name": st.just(name), "prefix": st.just(prefix), "target": target},
        optional={
            "routeType": optional(st.sampled_from(["safe", "unsafe"])),
            "timeoutMs": optional(LONG_ENOUGH),
            "setpointMs": optional(AMOUNTS),
            "precedence": optional(st.integers(-5, 5) | WHOLE),
            "distribution": optional(shares),
            "tries": optional(POSITIVE),
            "unkeyed": optional(st.booleans()),
            "affinity": optional(st.sampled_from(["none", "caller"])),
            "affinityHeader": optional(TEXTS),
        },
    )


def tenant(name: st.SearchStrategy[str], key: str) -> st.SearchStrategy[dict[str, Any]]:
    return st.fixed_dictionaries(
        {"name": name, "keys": st.lists(KEY_TEXTS.map(lambda text: f"{key}{text}"), max_size=2).map(
            lambda more: [key, *more])},
        optional={"precedence": optional(WHOLE),
                  "ratePerS": optional(AMOUNTS.filter(lambda rate: not 0 < rate < 17)),
                  "burst": optional(AMOUNTS)},
    )


DOCUMENTS = st.fixed_dictionaries({
    "services": st.fixed_dictionaries(
        {"name": st.just("desk")},
        optional={"probe": TEXTS, "saturation": optional(WHOLE), "protocol": optional(TEXTS),
                  "tls": optional(st.booleans())}).map(lambda service: [service]),
    "limits": optional(st.fixed_dictionaries({}, optional={
        "headerBytes": optional(st.sampled_from([0, 4096, 16384, 1 << 20, 10**400])),
        "bodyBytes": optional(WHOLE.filter(lambda size: not 0 < size < 1000)),
        "headerMs": optional(AMOUNTS.filter(lambda ms: not 0 < ms < 1000)),
        "idleMs": optional(AMOUNTS.filter(lambda ms: not 0 < ms < 1000))})),
    "tenants": st.tuples(tenant(TEXTS, KEY), tenant(TEXTS.map("{}2".format), "second-key")).map(list),
    "hosts": st.tuples(route("r1", "/one/", st.just("desk")), route("r2", "/", st.just("desk"))).map(
        lambda routes: [{"host": HOST, "paths": list(routes)}]),
})


class QuickServer(StandInServer):
    """A server that answers at once, and reports a capacity and a warm-up time that the test chooses."""

    info: dict[str, Any] = {}
    observed: dict[str, Any] = {}

    async def work(self, path: str) -> None:
        """Takes no time."""


@define
class Installation:
    """Two limiters in this process, the first of which is alone in its core, and a server."""

    net: Net
    folder: Path
    limiters: list[Limiter] = field(factory=list)
    tasks: list[asyncio.Future[Any]] = field(factory=list)
    version: int = 0
    attempts: int = 0
    server: StandInServer = field(init=False)

    async def start(self) -> None:
        """Starts all of it and waits until a configuration can be ordered."""
        for number in LIMITERS:
            file = self.folder / f"settings-{number}.toml"
            file.write_text(settings_file(self.net, number, self.folder, True))
            limiter = Limiter(evolve(gateway_settings.read(str(file)), tolerance=0))
            self.limiters.append(limiter)
            self.tasks.append(asyncio.ensure_future(limiter.run()))
        controls = [f"{self.net.ip(number)}:{self.net.control}" for number in LIMITERS]
        self.server = QuickServer("i-1", "desk", "north", self.net.ip(100), self.net.server, controls,
                                  random.Random(1))
        await self.server.start()
        self.tasks.append(asyncio.ensure_future(self.server.send_heartbeats()))
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(limiter.subscriber.servers for limiter in self.limiters) or not self._has_leader():
                await asyncio.sleep(0.05)

    def _has_leader(self) -> bool:
        core = self.limiters[0].core
        return core is not None and core.replica.has_committed_in_term

    async def stop(self) -> None:
        """Ends all of it."""
        for limiter in self.limiters:
            limiter.leaving.set()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for limiter in self.limiters:
            for listener in (limiter.edge, limiter.control, limiter.readiness):
                await listener.close()
            await limiter.transport.stop()
            if limiter.disk is not None:
                limiter.disk.close()
        assert self.server.server is not None
        self.server.server.close()

    async def order(self, document: dict[str, Any]) -> int:
        """Orders a configuration at the core machine; returns the status of the answer."""
        headers = {"X-Base-Version": str(self.version), "Content-Type": "application/json"}
        body = json.dumps({**document, "version": self.version + 1}).encode()
        address = f"{self.net.ip(0)}:{self.net.control}"
        status, _, answer = await call(address, "POST", "/larklb/config/replace", headers, body)
        assert status in (200, 400), (status, answer)
        if status == 200:
            self.version += 1
            status, _, answer = await call(address, "GET", "/larklb/config/read", {}, b"")
            assert status == 200 and json.loads(answer) == {**document, "version": self.version}
            async with asyncio.timeout(START_TIMEOUT_S):
                while any(limiter.version < self.version for limiter in self.limiters):
                    await asyncio.sleep(0.005)
            return 200
        return status

    async def request(self, number: int, path: str, key: str) -> tuple[int, str]:
        """Sends a request to a limiter; returns the status and the tenant's name as the server saw it."""
        self.attempts += 1
        headers = {"Host": HOST, "X-Attempt-Id": f"{self.attempts:08x}", "X-Time-Left": "2000",
                   "Authorization": f"Bearer {key}"}
        address = f"{self.net.ip(number)}:{self.net.edge}"
        status, _, body = await call(address, "GET", path, headers, b"")
        return status, body.decode().partition(" for ")[2]


@pytest.fixture(scope="module")
def runner() -> Iterator[asyncio.Runner]:
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture(scope="module")
def installation(runner: asyncio.Runner, tmp_path_factory: pytest.TempPathFactory) -> Iterator[Installation]:
    started = Installation(free_net(), tmp_path_factory.mktemp("installation"))
    runner.run(started.start())
    yield started
    runner.run(started.stop())


async def check_is_carried(installation: Installation, document: dict[str, Any]) -> None:
    if await installation.order(document) == 200:
        for tenant in document["tenants"]:
            for path in ("/one/x", "/two"):
                for number in LIMITERS:
                    for key in tenant["keys"]:
                        served = await installation.request(number, path, key)
                        assert served == (200, tenant["name"].strip(" \t")), (number, path, tenant, key)
    for limiter in installation.limiters:
        connections = limiter.server_connections
        idle = sum(len(pool) for pool in connections.pools.values())
        assert connections.open_connections == idle and not limiter.data_plane.requests_in_progress


@settings(derandomize=True, deadline=None, max_examples=50, database=None, phases=[Phase.generate],
          suppress_health_check=list(HealthCheck))
@given(document=DOCUMENTS)
def test_what_the_control_api_accepts_is_served(
        installation: Installation, runner: asyncio.Runner, document: dict[str, Any]) -> None:
    """Guards against STARVED and CONFIG: what was accepted got no answers, or stopped all further orders."""
    runner.run(check_is_carried(installation, document))
