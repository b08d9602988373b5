"""Tests of the data plane over loopback sockets, with stub servers that fail in various ways.

They guard against answers that are truncated, belong to another request or state falsely that a request has
not run, and against requests that are sent again although they may have run.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from attrs import define, evolve, field

from larklb.admission.budget import RetryBudget
from larklb.admission.choice import ServerSelector, ServerState
from larklb.admission.quota_records import QuotaDecision
from larklb.gateway import servers as servers_module
from larklb.gateway.data_plane import DataPlane, prepare_configuration
from larklb.gateway.listener import Listener, RequestLimits
from larklb.gateway.servers import ServerConnections
from larklb.gateway.serving_check import MIN_LOCAL_FAILURES, WINDOW_MS, ServingCheck
from larklb.net.http import dial
from larklb.schema import configuration as schema
from larklb.schema.configuration import Tenant
from larklb.wheel import Wheel

# Time after which a test that hangs fails.
TIMEOUT_S = 3.0
Headers = dict[bytes, bytes]


@define
class ParsedMessage:
    """A request as a server received it, or an answer as a client did."""

    start_line: bytes
    headers: Headers
    body: bytes
    # Names of all headers, in order.
    header_names: list[bytes]
    server: str = ""

    @property
    def status(self) -> int:
        return int(self.start_line.split()[1])


async def read(reader: asyncio.StreamReader, *, bodiless: bool = False) -> ParsedMessage | None:
    """Reads a message, None at the end of the stream, without the parser of the code under test."""
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[:-2]
    except asyncio.IncompleteReadError:
        return None
    pairs = [(n.lower(), v.strip()) for n, _, v in (line.partition(b":") for line in lines[1:])]
    headers, body = dict(pairs), b""
    if b"chunked" in headers.get(b"transfer-encoding", b""):
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif not bodiless:
        body = await reader.readexactly(int(headers.get(b"content-length", 0)))
    return ParsedMessage(lines[0], headers, body, [n for n, _ in pairs])


@define
class StubRequest:
    """One request received by a stub server."""

    message: ParsedMessage
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    env: Environment

    @property
    def id(self) -> bytes:
        return self.message.headers[b"x-attempt-id"]

    def answer(self, status: int = 200, body: bytes = b"whole", *, attempt_id: bytes | None = None,
               headers: bytes = b"", seal: bytes = b"X-Server-Seal: 1.2.3\r\n") -> bytes:
        return (b"HTTP/1.1 %d Fine\r\nX-Attempt-Id: %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
            status, self.id if attempt_id is None else attempt_id, seal, headers, len(body), body))


# Returns what the stub server writes, or None if it closes the connection.
Behavior = Callable[[StubRequest], Awaitable[bytes | None]]


async def answers(call: StubRequest) -> bytes | None:
    return call.answer()


def sends(make_answer: Callable[[StubRequest], bytes], *, ends: bool = False) -> Behavior:
    async def behavior(call: StubRequest) -> bytes | None:
        call.writer.write(make_answer(call))
        return None if ends else b""
    return behavior


async def resets(call: StubRequest) -> bytes | None:
    sock = call.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return None


async def hangs(call: StubRequest) -> bytes | None:
    await call.env.stopped.wait()
    return None


async def answers_later(call: StubRequest) -> bytes | None:
    """Answers when the test sets ``proceed``."""
    call.env.working.set()
    await call.env.proceed.wait()
    return call.answer()


def declines(status: int) -> Behavior:
    return sends(lambda c: c.answer(status, b"", headers=b"X-Not-Run: 1\r\n", seal=b""))


def document(tenants: bool) -> dict[str, Any]:
    def route(name: str, kind: str, **more: Any) -> dict[str, Any]:
        return {"name": name, "prefix": f"/{name}/", "routeType": kind, "timeoutMs": 2500, "setpointMs": 400,
                "precedence": 1, "target": "t", "tries": 2, "unkeyed": False, **more}
    return {"version": 3, "services": [{"name": "t", "probe": "/h", "saturation": 50, "protocol": "h1"}],
            "limits": {"headerBytes": 16384, "bodyBytes": 1 << 20, "headerMs": 3000, "idleMs": 15000},
            **({"tenants": [{"name": "acme", "keys": ["k1"], "ratePerS": 5, "burst": 5}]} if tenants else {}),
            "hosts": [{"host": "h.example", "paths": [
                route("safe", "safe"), route("unsafe", "unsafe"), route("open", "safe", unkeyed=True),
                route("brief", "unsafe", timeoutMs=90, tries=1)]}]}


@define(eq=False)
class Environment:
    """A data plane with two stub servers.

    Each request takes the next of ``behaviors`` in the order of arrival, and is answered normally if none is
    left.
    """

    tenants: bool = False
    behaviors: list[Behavior] = field(factory=list)
    received: list[ParsedMessage] = field(factory=list)
    decision: QuotaDecision | None = None
    stopped: asyncio.Event = field(factory=asyncio.Event)
    working: asyncio.Event = field(factory=asyncio.Event)
    proceed: asyncio.Event = field(factory=asyncio.Event)
    stub_servers: list[asyncio.Server] = field(factory=list)
    connections: int = 0
    port: int = 0
    tasks: set[asyncio.Task[None]] = field(factory=set)
    wheel: Wheel = field(init=False)
    choice: ServerSelector = field(init=False)
    servers: ServerConnections = field(init=False)
    data_plane: DataPlane = field(init=False)
    listener: Listener = field(init=False)

    async def start(self) -> None:
        self.wheel, self.choice = Wheel(1.0), ServerSelector("z", {"z": "r"}, 1)
        count = Counter[str]()
        self.servers = ServerConnections(self.wheel, self.choice, 20, count)
        budget = RetryBudget(0.2, 10_000, 100, 1, self.wheel.now(), first_start=True)

        async def quota(tenant: Tenant) -> QuotaDecision | None:
            return self.decision
        self.data_plane = DataPlane(
            self.wheel, self.servers, self.choice, budget, quota, random.Random(1), count)
        self.data_plane.active = prepare_configuration(schema.check(document(self.tenants), 0))
        self.listener = Listener(self.wheel, self.data_plane.answer, 20)
        await self.listener.start("127.0.0.1", 0)
        assert self.listener.server is not None
        self.port = self.listener.server.sockets[0].getsockname()[1]
        server_states = []
        for name in ("i-1", "i-2"):
            server = await asyncio.start_server(
                lambda r, w, name=name: self._connected(name, r, w), "127.0.0.1", 0)    # type: ignore[misc]
            self.stub_servers.append(server)
            port = server.sockets[0].getsockname()[1]
            server_states.append(ServerState(name, "t", f"127.0.0.1:{port}", "z", 4))
        self.choice.update(server_states)

    def _connected(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        task = asyncio.ensure_future(self._serve(name, reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (got := await read(reader)) is not None:
                got.server = name
                self.received.append(got)
                behavior = self.behaviors.pop(0) if self.behaviors else answers
                output = await behavior(StubRequest(got, reader, writer, self))
                if output is None:
                    break
                writer.write(output)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def send(self, route: str = "unsafe", *, method: bytes = b"POST", body: bytes = b"hello",
                  attempt_id: bytes = b"a1", headers: bytes = b"", time_left: int = 2_000) -> ParsedMessage:
        """Sends one request on a connection of its own; returns the answer."""
        reader, writer = await self.connect()
        writer.write(request(route, method, body, attempt_id, headers, time_left))
        got = await read(reader, bodiless=method == b"HEAD")
        writer.close()
        assert got is not None, "the connection was closed without an answer"
        return got

    async def wait_until(self, done: Callable[[], bool]) -> None:
        while not done():
            await asyncio.sleep(0)

    async def stop(self) -> None:
        self.stopped.set()
        self.proceed.set()
        await self.listener.close()
        self.servers.close()
        for server in self.stub_servers:
            server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def request(route: str, method: bytes = b"POST", body: bytes = b"hello", attempt_id: bytes = b"a1",
            headers: bytes = b"", time_left: int = 2_000) -> bytes:
    length = b"Content-Length: %d\r\n" % len(body) if method == b"POST" else b""
    return (b"%b /%b/x?q=%%20&y HTTP/1.1\r\nHost: H.example:80\r\nX-Attempt-Id: %b\r\nX-Time-Left: %d\r\n%b%b"
            b"\r\n%b" % (method, route.encode(), attempt_id, time_left, length, headers,
                         body if length else b""))


def run_scenario(test: Callable[[Environment], Awaitable[None]], *, tenants: bool = False) -> None:
    async def run() -> None:
        env = Environment(tenants)
        await env.start()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await test(env)
        finally:
            await env.stop()
    asyncio.run(run())


# Failing servers -------------------------------------------------------------------------------

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
BROKEN_ANSWERS: dict[str, Behavior] = {
    "closes": sends(lambda c: b"", ends=True),
    "resets": resets,
    "garbage": sends(lambda c: b"\x00\xffno answer\r\n\r\n"),
    "half a head": sends(lambda c: c.answer()[:30], ends=True),
    "cut by length": sends(lambda c: c.answer()[:-2], ends=True),
    "cut in chunks": sends(lambda c: c.answer(body=b"").replace(b"Content-Length: 0\r\n\r\n", CHUNKED)
                          + b"5\r\nwhole\r\n", ends=True),
    "no length": sends(lambda c: c.answer().replace(b"Content-Length: 5\r\n", b""), ends=True),
    "two lengths": sends(lambda c: c.answer(headers=b"Content-Length: 4\r\n")),
    "no seal": sends(lambda c: c.answer(seal=b"")),
    "no id": sends(lambda c: c.answer().replace(b"X-Attempt-Id: a1\r\n", b"")),
    "wrong id": sends(lambda c: c.answer(attempt_id=b"zz"), ends=True),
    "wrong ids only": sends(lambda c: c.answer(attempt_id=b"zz") * 4),
    "two ids": sends(lambda c: c.answer(headers=b"X-Attempt-Id: zz\r\n"), ends=True),
    "encoding": sends(lambda c: c.answer(headers=b"Content-Encoding: gzip\r\n")),
    "own 503": sends(lambda c: c.answer(503, b"busy")),
    "own 429": sends(lambda c: c.answer(429, b"busy")),
    "own 408": sends(lambda c: c.answer(408, b"busy")),
    "switches": sends(lambda c: b"HTTP/1.1 101 Over\r\nUpgrade: x\r\n\r\n"),
}


@pytest.mark.parametrize("broken_answer", BROKEN_ANSWERS)
def test_requests_that_may_have_run(broken_answer: str) -> None:
    """An unsafe request is sent once and fails with 502; a safe one is sent to another server."""
    async def test(env: Environment) -> None:
        env.behaviors = [BROKEN_ANSWERS[broken_answer]]
        got = await env.send("unsafe")
        assert (got.status, len(env.received), got.body) == (502, 1, b"")
        env.behaviors = [BROKEN_ANSWERS[broken_answer]]
        got = await env.send("safe")
        assert (got.status, got.body, len(env.received)) == (200, b"whole", 3)
        assert env.received[1].server != env.received[2].server
        env.behaviors = [BROKEN_ANSWERS[broken_answer], declines(503)]
        assert (await env.send("safe")).status == 502            # 503 would state that it has not run
    run_scenario(test)


@pytest.mark.parametrize("status", [503, 429, 421, 400])
def test_request_that_has_not_run_is_sent_to_another_server(status: int) -> None:
    async def test(env: Environment) -> None:
        env.behaviors = [declines(status) if status != 421 else sends(lambda c: c.answer(421, seal=b""))]
        got = await env.send("unsafe")
        assert (got.status, got.body) == (200, b"whole")
        assert [g.body for g in env.received] == [b"hello"] * 2\
            and env.received[0].server != env.received[1].server
    run_scenario(test)


def test_attempts_are_bounded_and_refusal_has_retry_after() -> None:
    async def test(env: Environment) -> None:
        env.behaviors = [declines(503)] * 5
        got = await env.send("unsafe")
        assert got.status == 503 and len(env.received) == 2
        assert 0 < float(got.headers[b"retry-after"]) <= 2.0 / 3
        assert (await env.send("brief")).status == 503 and len(env.received) == 3
    run_scenario(test)


def test_request_is_refused_without_reachable_servers() -> None:
    async def test(env: Environment) -> None:
        for server in env.stub_servers:
            server.close()
        got = await env.send("unsafe")
        assert got.status == 503 and float(got.headers[b"retry-after"]) > 0 and not env.received
    run_scenario(test)


def test_server_errors_are_forwarded() -> None:
    async def test(env: Environment) -> None:
        env.behaviors = [sends(lambda c: c.answer(500, b"own"))]
        got = await env.send("unsafe")
        assert (got.status, got.body, len(env.received)) == (500, b"own", 1)
        env.behaviors = [sends(lambda c: c.answer(500, b"own"))]
        assert (await env.send("safe")).status == 200
        env.behaviors = [sends(lambda c: c.answer(404, b"own"))]
        got = await env.send("safe")
        assert (got.status, got.body, got.headers[b"x-server-seal"]) == (404, b"own", b"1.2.3")
    run_scenario(test)


def test_answers_to_other_requests_are_discarded() -> None:
    async def test(env: Environment) -> None:
        env.behaviors = [sends(lambda c: c.answer(body=b"other", attempt_id=b"a0") + c.answer())]
        got = await env.send("unsafe")
        assert (got.status, got.body, len(env.received)) == (200, b"whole", 1)
    run_scenario(test)


@pytest.mark.parametrize("late", [False, True])
def test_surplus_bytes_behind_an_answer_are_discarded(late: bool) -> None:
    """Surplus bytes end the connection, even if they carry the id of the next request."""
    async def test(env: Environment) -> None:
        ended = asyncio.Event()

        async def surplus(call: StubRequest) -> bytes | None:
            surplus_answer = call.answer(body=b"false", attempt_id=b"a2")
            call.writer.write(call.answer() + (b"" if late else surplus_answer))
            if late:
                await env.proceed.wait()
                call.writer.write(surplus_answer)
            try:
                assert not await call.reader.read()
            except ConnectionError:
                pass
            ended.set()
            return None
        env.behaviors = [surplus]
        assert (await env.send("safe")).body == b"whole"
        env.proceed.set()
        await ended.wait()
        env.choice.servers[next(n for n in env.choice.servers if n != env.received[0].server)].draining = True
        got = await env.send("safe", attempt_id=b"a2")
        assert got.body == b"whole" and env.received[1].server == env.received[0].server\
            and env.connections == 2
    run_scenario(test)


def test_unsafe_request_avoids_connections_with_unidentified_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """A late copy of that answer would state that an unsafe request has not run."""
    monkeypatch.setattr("larklb.gateway.servers.MIN_IDLE_BEFORE_REUSE_MS", 0.0)

    async def test(env: Environment) -> None:
        env.behaviors = [sends(lambda c: b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")]
        assert (await env.send("safe")).body == b"whole"
        first = env.received[0].server
        for name, server_state in env.choice.servers.items():
            server_state.draining = name != first
        assert (await env.send("unsafe", attempt_id=b"a2")).body == b"whole"
        assert [call.server for call in env.received].count(first) == 2
        assert env.connections == 3, (
            "an unsafe request opens a new connection although an unidentified one is idle")
        assert (await env.send("safe", attempt_id=b"a3")).body == b"whole"
        assert env.connections == 3, "a safe request opens no new connection"
    run_scenario(test)


def test_connection_closed_by_its_server_is_not_reused() -> None:
    async def test(env: Environment) -> None:
        env.behaviors = [sends(lambda c: c.answer(), ends=True)]
        await env.send("unsafe")
        await env.wait_until(lambda: not env.servers.open_connections)
        assert (await env.send("unsafe", attempt_id=b"a2")).status == 200 and len(env.received) == 2
    run_scenario(test)


def test_draining_server_gets_no_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """The drain may be reported while a connection is opened; an idle connection is not used either."""
    async def test(env: Environment) -> None:
        async def slow(host: str, port: int) -> Any:
            link = await dial(host, port)
            if not any(server_state.draining for server_state in env.choice.servers.values()):
                for server_state in env.choice.servers.values():
                    server_state.draining = server_state.address == f"{host}:{port}"
            return link
        monkeypatch.setattr(servers_module, "dial", slow)
        assert (await env.send("unsafe")).status == 200
        assert len(env.received) == 1 and not env.choice.servers[env.received[0].server].draining
        for server_state in env.choice.servers.values():
            server_state.draining = True
        assert (await env.send("safe", attempt_id=b"a2")).status == 503 and len(env.received) == 1
    run_scenario(test)


# Requests --------------------------------------------------------------------------------------


def test_request_forwarded_to_a_server() -> None:
    async def test(env: Environment) -> None:
        got = await env.send("unsafe", headers=(
            b"Authorization: Bearer k1\r\nX-Tenant: evil\r\nX-Target-Instance: i-9\r\nX-Own: 1\r\n"
            b"Connection: X-Hop, close\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTE: x\r\nExpect: 100-continue\r\n"))
        assert got.status in (100, 200)
        await env.wait_until(lambda: bool(env.received))
        received = env.received[0]
        assert received.start_line == b"POST /unsafe/x?q=%20&y HTTP/1.1" and received.body == b"hello"
        assert received.headers[b"x-tenant"] == b"acme" and received.header_names.count(b"x-tenant") == 1
        assert received.headers[b"x-target-instance"] == received.server.encode()
        assert 0 < int(received.headers[b"x-time-left"]) < 2_000 and received.headers[b"x-own"] == b"1"
        assert not {b"authorization", b"x-hop", b"keep-alive", b"te", b"expect"} & set(received.header_names)
        assert b"k1" not in b"".join(received.headers.values())
    run_scenario(test, tenants=True)


def is_clean(env: Environment) -> bool:
    """Whether no connection, slot or request in progress is left behind."""
    return (
        env.servers.open_connections == sum(len(pool) for pool in env.servers.pools.values())
        and not env.servers.dialling
        and all(not server.in_flight for server in env.choice.servers.values())
        and not env.data_plane.requests_in_progress
    )


@pytest.mark.parametrize("name", ["acme ", "\tacme", " acme \t", " ", "ac  me", "açmé", "漁師 "])
def test_tenants_with_any_name_that_a_configuration_may_have_are_served(name: str) -> None:
    """Guards against STARVED: requests of a tenant whose name ends with a blank got no answers."""
    async def test(env: Environment) -> None:
        changed = document(True)
        changed["tenants"][0]["name"] = name
        env.data_plane.active = prepare_configuration(schema.check(changed, 0))
        for _ in range(30):  # more than there may be connections
            got = await env.send("safe", headers=b"Authorization: Bearer k1\r\n")
            assert got.status == 200
        assert {got.headers[b"x-tenant"] for got in env.received} == {name.strip(" \t").encode()}
        assert is_clean(env)
    run_scenario(test, tenants=True)


@pytest.mark.parametrize("route", ["safe", "unsafe"])
@pytest.mark.parametrize("sent", [True, False])
def test_unexpected_errors_of_attempts_are_answered_and_leak_nothing(
        monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, route: str, sent: bool) -> None:
    """Guards against STARVED: each unexpected error leaked a connection, until nobody was served."""
    async def test(env: Environment) -> None:
        def fail(*arguments: Any, **keywords: Any) -> Any:
            raise ArithmeticError("unexpected")
        servers = list(env.choice.servers.values())
        with monkeypatch.context() as patch:
            if sent:
                patch.setattr(env.servers, "_read_answer", fail)
            else:  # the requests' heads can't be sent
                env.choice.update([evolve(server, id=f"{server.id}\n") for server in servers])
            for _ in range(30):  # more than there may be connections
                got = await env.send(route)
                assert got.status == (502 if sent else 503) and (b"retry-after" in got.headers) != sent
            assert is_clean(env)
        env.choice.update(servers)
        assert sum("unexpected error on route" in r.message for r in caplog.records) == 1
        assert env.servers.count["internal_error.attempt"] >= 30
        env.received.clear()
        assert (await env.send(route)).status == 200 and len(env.received) == 1
        assert is_clean(env)
    run_scenario(test)


def test_unexpected_errors_while_choosing_a_server_are_answered(
        monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture) -> None:
    """Guards against CONFIG: an error in the choice of a server closed the connection without an answer."""
    async def test(env: Environment) -> None:
        def fail(*arguments: Any) -> Any:
            raise KeyError("unexpected")
        with monkeypatch.context() as patch:
            patch.setattr(ServerSelector, "pick", fail)
            got = await env.send("unsafe")
        assert got.status == 503 and b"retry-after" in got.headers and not env.received
        assert (await env.send("unsafe")).status == 200 and is_clean(env)
        assert any("unexpected error on route unsafe" in record.message for record in caplog.records)
    run_scenario(test)


def test_unexpected_errors_of_a_handler_are_answered(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against LOST: the connection was closed without an answer."""
    async def test(env: Environment) -> None:
        async def fail(*arguments: Any) -> Any:
            raise ArithmeticError("unexpected")
        env.listener.handler = fail
        got = await env.send("safe")
        assert got.status == 500 and got.headers[b"connection"] == b"close"
        assert any("unexpected error while handling" in record.message for record in caplog.records)
    run_scenario(test)


@pytest.mark.parametrize("header", [
    b"Connection: host\r\n", b"Connection: X-Attempt-Id, close\r\n", b"Connection: content-length\r\n",
    b"Connection: upgrade\r\nUpgrade: h2c\r\n", b"X-Empty:\r\n", b"X-Odd: \x80\xff\x7f\r\n",
    b"Keep-Alive: timeout=x\r\n", b"X-Tenant: a\r\nX-Tenant: b\r\n", b"Trailer: X-Odd\r\n",
    b"Expect: something\r\n", b"X-Time-Left: nan\r\n", b"X-Time-Left: 1e999\r\n"])
def test_requests_with_odd_headers_are_served(header: bytes) -> None:
    """Guards against LOST: headers that are accepted must not be ones that can't be sent on."""
    async def test(env: Environment) -> None:
        got = await env.send("unsafe", headers=header)
        assert got.status == 200 and env.received[0].headers[b"host"] == b"H.example:80"
        assert env.received[0].headers[b"x-attempt-id"] == b"a1" and is_clean(env)
    run_scenario(test)


@pytest.mark.parametrize(("line", "status"), [
    (b"CONNECT h.example:80 HTTP/1.1", 405), (b"OPTIONS * HTTP/1.1", 404), (b"GET h.example HTTP/1.1", 404),
    (b"GET http://h.example/safe/x HTTP/1.1", 200), (b"PURGE /safe/x HTTP/1.1", 200)])
def test_targets_that_are_no_paths(line: bytes, status: int) -> None:
    """The path must reach the server unchanged, so that a target without one has no route."""
    async def test(env: Environment) -> None:
        reader, writer = await env.connect()
        writer.write(line + b"\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n\r\n")
        got = await read(reader)
        assert got is not None and got.status == status and len(env.received) == (status == 200)
        assert is_clean(env)
    run_scenario(test)


def test_limiter_that_can_serve_nobody_is_not_ready() -> None:
    """Guards against STARVED: a limiter without free connections told the platform that it was ready."""
    check = ServingCheck()
    for n in range(MIN_LOCAL_FAILURES):
        assert check.can_serve(10.0 * n), "a few failures say nothing"
        check.record_local_failure(10.0 * n)
    assert not check.can_serve(200.0)
    assert check.can_serve(200.0 + 2 * WINDOW_MS), "new clients show whether the cause has gone"
    check.record_served(150.0)
    assert check.can_serve(200.0), "others are served"


@pytest.mark.parametrize("head", [
    b"Content-Length: 5\r\nContent-Length: 6\r\n", b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", b"Transfer-Encoding : chunked\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n", b"Content-Length: +5\r\n", b"Host: other\r\n", b"X-Bad\r\n",
    b"X-Nul: a\x00b\r\n",
])
def test_request_smuggling_is_refused(head: bytes) -> None:
    """An ambiguously framed request is refused, and nothing behind it is read."""
    async def test(env: Environment) -> None:
        reader, writer = await env.connect()
        inner = b"0\r\n\r\n" + request("safe", attempt_id=b"evil")
        body = b"" if b"Length" in head or b"Encoding" in head else b"Content-Length: 0\r\n"
        writer.write(request("safe", b"GET")[:-2] + head + body + b"\r\n" + inner)
        got = await read(reader)
        assert got is not None and 400 <= got.status <= 501
        assert await read(reader) is None and not env.received
    run_scenario(test)


def test_routes_and_keys() -> None:
    async def test(env: Environment) -> None:
        bearer = b"Authorization: Bearer %b\r\n"
        assert (await env.send("none", headers=bearer % b"k1")).status == 404
        assert (await env.send("unsafe")).status == 401
        assert (await env.send("unsafe", headers=bearer % b"k2")).status == 401
        assert (await env.send("unsafe", headers=b"Authorization: Basic k1\r\n")).status == 401
        assert (await env.send("unsafe", headers=bearer % b"k1" + b"X-Attempt-Id: a2\r\n")).status == 400
        assert not env.received
        assert (await env.send("open", headers=bearer % b"k2" + b"X-Tenant: evil\r\n")).status == 200
        assert not {b"authorization", b"x-tenant"} & set(env.received[0].header_names)
        env.decision = QuotaDecision(False, 50.0, "owner")
        got = await env.send("unsafe", headers=bearer % b"k1")
        assert got.status == 429 and float(got.headers[b"retry-after"]) >= 0.05 and len(env.received) == 1
        env.decision = QuotaDecision(True, 0.0, "owner")
        assert (await env.send("unsafe", headers=bearer % b"k1")).status == 200
        env.data_plane.active = None
        got = await env.send("unsafe", headers=bearer % b"k1")
        assert got.status == 503 and b"retry-after" in got.headers
    run_scenario(test, tenants=True)


@pytest.mark.parametrize(("route", "left"), [("unsafe", 90), ("brief", 2_000), ("safe", 90)])
def test_request_is_answered_at_its_deadline(route: str, left: int) -> None:
    async def test(env: Environment) -> None:
        env.behaviors = [hangs, hangs]
        started_at = env.wheel.now()
        got = await env.send(route, time_left=left)
        assert got.status == 504 and env.wheel.now() - started_at < 1_000
        assert len(env.received) == 1 and int(env.received[0].headers[b"x-time-left"]) <= 90
    run_scenario(test)


def test_slow_safe_request_is_hedged() -> None:
    """The answer of the second attempt aborts the first; an unsafe request is never hedged."""
    async def test(env: Environment) -> None:
        for route in ("safe", "unsafe"):
            env.choice.route_latency(route).p95 = 1.0
        aborted = asyncio.Event()

        async def works_until_closed(call: StubRequest) -> bytes | None:
            assert not await call.reader.read(1)
            aborted.set()
            return None

        env.behaviors = [works_until_closed]
        assert (await env.send("safe")).body == b"whole" and len(env.received) == 2
        await aborted.wait()
        await env.wait_until(lambda: not env.data_plane.attempt_tasks)
        assert env.servers.open_connections == 1 and all(not p.in_flight for p in env.choice.servers.values())
        env.behaviors = [hangs]
        assert (await env.send("unsafe", time_left=400)).status == 504 and len(env.received) == 3
    run_scenario(test)


def test_head_requests_and_chunked_bodies() -> None:
    async def test(env: Environment) -> None:
        env.behaviors = [sends(lambda c: c.answer()[:-5])]
        got = await env.send("safe", method=b"HEAD")
        assert (got.status, got.headers[b"content-length"], got.body) == (200, b"5", b"")
        assert b"content-length" not in env.received[0].header_names
        reader, writer = await env.connect()
        chunks = b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Late: 1\r\n\r\n"
        writer.write(request("unsafe", b"PUT", headers=b"Transfer-Encoding: chunked\r\n") + chunks)
        env.behaviors = [sends(lambda c: c.answer(body=b"").replace(b"Content-Length: 0\r\n\r\n", CHUNKED)
                          + b"3\r\nxyz\r\n0\r\n\r\n")]
        answer = await read(reader)
        assert answer is not None and (answer.body, answer.headers[b"content-length"]) == (b"xyz", b"3")
        assert env.received[1].body == b"abcde" and b"transfer-encoding" not in env.received[1].header_names
    run_scenario(test)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test(env: Environment) -> None:
        env.behaviors = [answers_later]
        reader, writer = await env.connect()
        writer.write(b"".join(request("unsafe", attempt_id=n, body=n) for n in (b"a1", b"a2", b"a3")))
        await env.working.wait()
        env.proceed.set()
        for name in (b"a1", b"a2", b"a3"):
            got = await read(reader)
            assert got is not None and (got.status, got.headers[b"x-attempt-id"]) == (200, name)
        assert [g.body for g in env.received] == [b"a1", b"a2", b"a3"]
    run_scenario(test)


def test_drain_finishes_accepted_requests() -> None:
    async def test(env: Environment) -> None:
        idle, _ = await env.connect()
        reader, writer = await env.connect()
        env.behaviors = [answers_later]
        writer.write(request("unsafe"))
        await env.working.wait()
        env.listener.drain()
        assert env.listener.active_requests() == 1
        # A new connection is served once.
        got = await env.send("safe", attempt_id=b"a2")
        assert (got.status, got.headers[b"connection"]) == (200, b"close")
        assert not await idle.read()                  # closed without the loss of an answer
        env.proceed.set()
        answer = await read(reader)
        assert answer is not None and (answer.body, answer.headers[b"connection"]) == (b"whole", b"close")
        assert await read(reader) is None and not env.listener.active_requests()
    run_scenario(test)


def test_request_limits() -> None:
    async def test(env: Environment) -> None:
        env.listener.limits = RequestLimits(body_bytes=10, head_ms=40, idle_ms=60)
        assert (await env.send("unsafe", body=b"x" * 11)).status == 413
        reader, writer = await env.connect()
        chunked = request("unsafe", b"PUT", headers=b"Transfer-Encoding: chunked\r\n")
        writer.write(chunked + b"b\r\n12345678901\r\n")
        got = await read(reader)
        assert got is not None and got.status == 413
        reader, writer = await env.connect()
        writer.write(b"GET / HTTP/1.1\r\nX-Long: " + b"x" * 200_000)
        got = await read(reader)
        assert got is not None and got.status in (413, 431)
        reader, writer = await env.connect()
        writer.write(b"GET / HTTP")
        got = await read(reader)
        assert got is not None and got.status == 408
        reader, writer = await env.connect()
        assert not await reader.read()                # idle
        assert not env.received
    run_scenario(test)


def test_the_configured_size_of_heads_holds() -> None:
    """headerBytes had no effect: heads were limited to 16 KiB whatever it said."""
    async def test(env: Environment) -> None:
        for head_bytes, size, status in (
                (1_000, 500, 200), (1_000, 1_500, 431), (40_000, 30_000, 200), (40_000, 50_000, 431),
                (1 << 30, 50_000, 200), (1 << 30, 80_000, 431)):
            env.listener.limits = RequestLimits(head_bytes=head_bytes)
            assert (await env.send("safe", headers=b"X-Long: %b\r\n" % (b"x" * size))).status == status
        env.listener.limits = RequestLimits(head_bytes=1_000)
        assert (await env.send("safe", body=b"x" * 5_000)).status == 200, "the body isn't part of the head"
    run_scenario(test)


def test_stalled_body_ends_the_connection() -> None:
    async def test(env: Environment) -> None:
        env.listener.limits = RequestLimits(head_ms=40, idle_ms=60)
        reader, writer = await env.connect()
        writer.write(request("unsafe")[:-2])
        got = await read(reader)
        assert got is None or got.status == 408
        assert not env.received
    run_scenario(test)


def test_connections_are_bounded() -> None:
    async def test(env: Environment) -> None:
        clients = [await env.connect() for _ in range(25)]
        assert not await clients[0][0].read()         # closed, as the one idle longest
        assert (await env.send("safe")).status == 200 and len(env.listener.connections) <= 20
        env.servers.max_connections = 1
        env.choice.servers[env.received[0].server].draining = True
        assert (await env.send("safe", attempt_id=b"a2")).status == 200
        assert env.connections == 2 and env.servers.open_connections == 1
    run_scenario(test)
