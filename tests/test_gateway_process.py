"""The data plane over loopback sockets: what servers do in trouble, and what clients get and never get."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from attrs import define, field

from larklb.admission.budget import RetryBudget
from larklb.admission.choice import ServerSelector, ServerState
from larklb.admission.quota_records import Verdict
from larklb.gateway import servers as servers_module
from larklb.gateway.data_plane import DataPlane, prepare_configuration
from larklb.gateway.listener import Listener, RequestLimits
from larklb.gateway.servers import ServerConnections
from larklb.net.http import dial
from larklb.schema import configuration as schema
from larklb.schema.configuration import Tenant
from larklb.wheel import Wheel

PATIENCE = 3.0             # s: a test that hangs fails
Headers = dict[bytes, bytes]


@define
class Got:
    """A request as a server read it, or an answer as a client did."""

    first: bytes               # of its lines
    headers: Headers
    body: bytes
    names: list[bytes]         # of all headers, in order
    server: str = ""

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


async def read(reader: asyncio.StreamReader, *, bodiless: bool = False) -> Got | None:
    """A message, read by hand: nothing of the code under test judges itself.  None at the end."""
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
    return Got(lines[0], headers, body, [n for n, _ in pairs])


@define
class Call:
    """One request at a stand-in server."""

    got: Got
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    bed: Bed

    @property
    def id(self) -> bytes:
        return self.got.headers[b"x-attempt-id"]

    def answer(self, status: int = 200, body: bytes = b"whole", *, name: bytes | None = None,
               more: bytes = b"", seal: bytes = b"X-Server-Seal: 1.2.3\r\n") -> bytes:
        return (b"HTTP/1.1 %d Fine\r\nX-Attempt-Id: %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
            status, self.id if name is None else name, seal, more, len(body), body))


Step = Callable[[Call], Awaitable[bytes | None]]       # what is written; None: the connection ends


async def well(call: Call) -> bytes | None:
    return call.answer()


def says(make: Callable[[Call], bytes], *, ends: bool = False) -> Step:
    async def step(call: Call) -> bytes | None:
        call.writer.write(make(call))
        return None if ends else b""
    return step


async def resets(call: Call) -> bytes | None:
    sock = call.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return None


async def hangs(call: Call) -> bytes | None:
    await call.bed.over.wait()
    return None


async def works(call: Call) -> bytes | None:
    """Until the test lets it answer."""
    call.bed.at_work.set()
    await call.bed.go_on.wait()
    return call.answer()


def turned_away(status: int) -> Step:
    return says(lambda c: c.answer(status, b"", more=b"X-Not-Run: 1\r\n", seal=b""))


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
class Bed:
    """A front with two servers, whose steps are taken by the requests in the order of their arrival."""

    tenants: bool = False
    steps: list[Step] = field(factory=list)
    seen: list[Got] = field(factory=list)
    verdict: Verdict | None = None
    over: asyncio.Event = field(factory=asyncio.Event)
    at_work: asyncio.Event = field(factory=asyncio.Event)
    go_on: asyncio.Event = field(factory=asyncio.Event)
    listening: list[asyncio.Server] = field(factory=list)
    connections: int = 0
    port: int = 0
    tasks: set[asyncio.Task[None]] = field(factory=set)
    wheel: Wheel = field(init=False)
    choice: ServerSelector = field(init=False)
    servers: ServerConnections = field(init=False)
    front: DataPlane = field(init=False)
    door: Listener = field(init=False)

    async def start(self) -> None:
        self.wheel, self.choice = Wheel(1.0), ServerSelector("z", {"z": "r"}, 1)
        count = Counter[str]()
        self.servers = ServerConnections(self.wheel, self.choice, 20, count)
        budget = RetryBudget(0.2, 10_000, 100, 1, self.wheel.now(), first_start=True)

        async def quota(tenant: Tenant) -> Verdict | None:
            return self.verdict
        self.front = DataPlane(self.wheel, self.servers, self.choice, budget, quota, random.Random(1), count)
        self.front.active = prepare_configuration(schema.check(document(self.tenants), 0))
        self.door = Listener(self.wheel, self.front.answer, 20)
        await self.door.start("127.0.0.1", 0)
        assert self.door.server is not None
        self.port = self.door.server.sockets[0].getsockname()[1]
        places = []
        for name in ("i-1", "i-2"):
            server = await asyncio.start_server(
                lambda r, w, name=name: self._connected(name, r, w), "127.0.0.1", 0)    # type: ignore[misc]
            self.listening.append(server)
            port = server.sockets[0].getsockname()[1]
            places.append(ServerState(name, "t", f"127.0.0.1:{port}", "z", 4))
        self.choice.update(places)

    def _connected(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        task = asyncio.ensure_future(self._serve(name, reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (got := await read(reader)) is not None:
                got.server = name
                self.seen.append(got)
                step = self.steps.pop(0) if self.steps else well
                said = await step(Call(got, reader, writer, self))
                if said is None:
                    break
                writer.write(said)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def client(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def ask(self, route: str = "unsafe", *, method: bytes = b"POST", body: bytes = b"hello",
                  name: bytes = b"a1", more: bytes = b"", left: int = 2_000) -> Got:
        """One request on a connection of its own, and its answer."""
        reader, writer = await self.client()
        writer.write(request(route, method, body, name, more, left))
        got = await read(reader, bodiless=method == b"HEAD")
        writer.close()
        assert got is not None, "no answer"
        return got

    async def until(self, done: Callable[[], bool]) -> None:
        while not done():
            await asyncio.sleep(0)

    async def stop(self) -> None:
        self.over.set()
        self.go_on.set()
        await self.door.close()
        self.servers.close()
        for server in self.listening:
            server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def request(route: str, method: bytes = b"POST", body: bytes = b"hello", name: bytes = b"a1",
            more: bytes = b"", left: int = 2_000) -> bytes:
    length = b"Content-Length: %d\r\n" % len(body) if method == b"POST" else b""
    return (b"%b /%b/x?q=%%20&y HTTP/1.1\r\nHost: H.example:80\r\nX-Attempt-Id: %b\r\nX-Time-Left: %d\r\n%b%b"
            b"\r\n%b" % (method, route.encode(), name, left, length, more, body if length else b""))


def played(test: Callable[[Bed], Awaitable[None]], *, tenants: bool = False) -> None:
    async def play() -> None:
        bed = Bed(tenants)
        await bed.start()
        try:
            async with asyncio.timeout(PATIENCE):
                await test(bed)
        finally:
            await bed.stop()
    asyncio.run(play())


# Servers in trouble ----------------------------------------------------------------------------

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
BROKEN: dict[str, Step] = {
    "closes": says(lambda c: b"", ends=True),
    "resets": resets,
    "garbage": says(lambda c: b"\x00\xffno answer\r\n\r\n"),
    "half a head": says(lambda c: c.answer()[:30], ends=True),
    "cut by length": says(lambda c: c.answer()[:-2], ends=True),
    "cut in chunks": says(lambda c: c.answer(body=b"").replace(b"Content-Length: 0\r\n\r\n", CHUNKED)
                          + b"5\r\nwhole\r\n", ends=True),
    "no length": says(lambda c: c.answer().replace(b"Content-Length: 5\r\n", b""), ends=True),
    "two lengths": says(lambda c: c.answer(more=b"Content-Length: 4\r\n")),
    "no seal": says(lambda c: c.answer(seal=b"")),
    "no id": says(lambda c: c.answer().replace(b"X-Attempt-Id: a1\r\n", b"")),
    "wrong id": says(lambda c: c.answer(name=b"zz"), ends=True),
    "wrong ids only": says(lambda c: c.answer(name=b"zz") * 4),
    "two ids": says(lambda c: c.answer(more=b"X-Attempt-Id: zz\r\n"), ends=True),
    "encoding": says(lambda c: c.answer(more=b"Content-Encoding: gzip\r\n")),
    "own 503": says(lambda c: c.answer(503, b"busy")),
    "own 429": says(lambda c: c.answer(429, b"busy")),
    "own 408": says(lambda c: c.answer(408, b"busy")),
    "switches": says(lambda c: b"HTTP/1.1 101 Over\r\nUpgrade: x\r\n\r\n"),
}


@pytest.mark.parametrize("trouble", BROKEN)
def test_what_may_have_run(trouble: str) -> None:
    """An unsafe request goes out once and promises nothing; a safe one goes to another server."""
    async def test(bed: Bed) -> None:
        bed.steps = [BROKEN[trouble]]
        got = await bed.ask("unsafe")
        assert (got.status, len(bed.seen), got.body) == (502, 1, b"")
        bed.steps = [BROKEN[trouble]]
        got = await bed.ask("safe")
        assert (got.status, got.body, len(bed.seen)) == (200, b"whole", 3)
        assert bed.seen[1].server != bed.seen[2].server
        bed.steps = [BROKEN[trouble], turned_away(503)]
        assert (await bed.ask("safe")).status == 502            # 503 would promise that nothing has run
    played(test)


@pytest.mark.parametrize("status", [503, 429, 421, 400])
def test_what_has_not_run_goes_to_another_server(status: int) -> None:
    async def test(bed: Bed) -> None:
        bed.steps = [turned_away(status) if status != 421 else says(lambda c: c.answer(421, seal=b""))]
        got = await bed.ask("unsafe")
        assert (got.status, got.body) == (200, b"whole")
        assert [g.body for g in bed.seen] == [b"hello"] * 2 and bed.seen[0].server != bed.seen[1].server
    played(test)


def test_tries_bound_the_servers_and_a_refusal_says_when_to_come() -> None:
    async def test(bed: Bed) -> None:
        bed.steps = [turned_away(503)] * 5
        got = await bed.ask("unsafe")
        assert got.status == 503 and len(bed.seen) == 2
        assert 0 < float(got.headers[b"retry-after"]) <= 2.0 / 3
        assert (await bed.ask("brief")).status == 503 and len(bed.seen) == 3
    played(test)


def test_nobody_there_is_a_refusal() -> None:
    async def test(bed: Bed) -> None:
        for server in bed.listening:
            server.close()
        got = await bed.ask("unsafe")
        assert got.status == 503 and float(got.headers[b"retry-after"]) > 0 and not bed.seen
    played(test)


def test_servers_own_error() -> None:
    async def test(bed: Bed) -> None:
        bed.steps = [says(lambda c: c.answer(500, b"own"))]
        got = await bed.ask("unsafe")
        assert (got.status, got.body, len(bed.seen)) == (500, b"own", 1)
        bed.steps = [says(lambda c: c.answer(500, b"own"))]
        assert (await bed.ask("safe")).status == 200
        bed.steps = [says(lambda c: c.answer(404, b"own"))]
        got = await bed.ask("safe")
        assert (got.status, got.body, got.headers[b"x-server-seal"]) == (404, b"own", b"1.2.3")
    played(test)


def test_answers_to_others_are_read_away() -> None:
    async def test(bed: Bed) -> None:
        bed.steps = [says(lambda c: c.answer(body=b"other", name=b"a0") + c.answer())]
        got = await bed.ask("unsafe")
        assert (got.status, got.body, len(bed.seen)) == (200, b"whole", 1)
    played(test)


@pytest.mark.parametrize("late", [False, True])
def test_what_stands_behind_an_answer_is_nobodys(late: bool) -> None:
    """Even with the id of the next request: the connection ends."""
    async def test(bed: Bed) -> None:
        ended = asyncio.Event()

        async def surplus(call: Call) -> bytes | None:
            false = call.answer(body=b"false", name=b"a2")
            call.writer.write(call.answer() + (b"" if late else false))
            if late:
                await bed.go_on.wait()
                call.writer.write(false)
            try:
                assert not await call.reader.read()
            except ConnectionError:
                pass
            ended.set()
            return None
        bed.steps = [surplus]
        assert (await bed.ask("safe")).body == b"whole"
        bed.go_on.set()
        await ended.wait()
        bed.choice.servers[next(n for n in bed.choice.servers if n != bed.seen[0].server)].draining = True
        got = await bed.ask("safe", name=b"a2")
        assert got.body == b"whole" and bed.seen[1].server == bed.seen[0].server and bed.connections == 2
    played(test)


def test_an_order_doesnt_go_where_an_answer_named_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """A copy of that answer, come late, would say of the order that it has not run."""
    monkeypatch.setattr("larklb.gateway.servers.MIN_IDLE_BEFORE_REUSE_MS", 0.0)

    async def test(bed: Bed) -> None:
        bed.steps = [says(lambda c: b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")]
        assert (await bed.ask("safe")).body == b"whole"
        first = bed.seen[0].server
        for name, place in bed.choice.servers.items():
            place.draining = name != first
        assert (await bed.ask("unsafe", name=b"a2")).body == b"whole"
        assert [call.server for call in bed.seen].count(first) == 2
        assert bed.connections == 3, "a new one, though the first rested"
        assert (await bed.ask("safe", name=b"a3")).body == b"whole"
        assert bed.connections == 3, "what may run twice goes there"
    played(test)


def test_connection_that_its_server_closed_is_not_used_again() -> None:
    async def test(bed: Bed) -> None:
        bed.steps = [says(lambda c: c.answer(), ends=True)]
        await bed.ask("unsafe")
        await bed.until(lambda: not bed.servers.open_connections)
        assert (await bed.ask("unsafe", name=b"a2")).status == 200 and len(bed.seen) == 2
    played(test)


def test_server_that_drains_meanwhile_gets_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """A dial takes time, and the drain may be told in it; one that rests is not used either."""
    async def test(bed: Bed) -> None:
        async def slow(host: str, port: int) -> Any:
            link = await dial(host, port)
            if not any(place.draining for place in bed.choice.servers.values()):
                for place in bed.choice.servers.values():
                    place.draining = place.address == f"{host}:{port}"
            return link
        monkeypatch.setattr(servers_module, "dial", slow)
        assert (await bed.ask("unsafe")).status == 200
        assert len(bed.seen) == 1 and not bed.choice.servers[bed.seen[0].server].draining
        for place in bed.choice.servers.values():
            place.draining = True
        assert (await bed.ask("safe", name=b"a2")).status == 503 and len(bed.seen) == 1
    played(test)


# Requests --------------------------------------------------------------------------------------


def test_what_goes_to_a_server() -> None:
    async def test(bed: Bed) -> None:
        got = await bed.ask("unsafe", more=(
            b"Authorization: Bearer k1\r\nX-Tenant: evil\r\nX-Target-Instance: i-9\r\nX-Own: 1\r\n"
            b"Connection: X-Hop, close\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTE: x\r\nExpect: 100-continue\r\n"))
        assert got.status in (100, 200)
        await bed.until(lambda: bool(bed.seen))
        seen = bed.seen[0]
        assert seen.first == b"POST /unsafe/x?q=%20&y HTTP/1.1" and seen.body == b"hello"
        assert seen.headers[b"x-tenant"] == b"acme" and seen.names.count(b"x-tenant") == 1
        assert seen.headers[b"x-target-instance"] == seen.server.encode()
        assert 0 < int(seen.headers[b"x-time-left"]) < 2_000 and seen.headers[b"x-own"] == b"1"
        assert not {b"authorization", b"x-hop", b"keep-alive", b"te", b"expect"} & set(seen.names)
        assert b"k1" not in b"".join(seen.headers.values())
    played(test, tenants=True)


@pytest.mark.parametrize("head", [
    b"Content-Length: 5\r\nContent-Length: 6\r\n", b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", b"Transfer-Encoding : chunked\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n", b"Content-Length: +5\r\n", b"Host: other\r\n", b"X-Bad\r\n",
    b"X-Nul: a\x00b\r\n",
])
def test_smuggled_requests(head: bytes) -> None:
    """What two readers could take for different things is refused, and nothing behind it is read."""
    async def test(bed: Bed) -> None:
        reader, writer = await bed.client()
        inner = b"0\r\n\r\n" + request("safe", name=b"evil")
        body = b"" if b"Length" in head or b"Encoding" in head else b"Content-Length: 0\r\n"
        writer.write(request("safe", b"GET")[:-2] + head + body + b"\r\n" + inner)
        got = await read(reader)
        assert got is not None and 400 <= got.status <= 501
        assert await read(reader) is None and not bed.seen
    played(test)


def test_routes_and_keys() -> None:
    async def test(bed: Bed) -> None:
        bearer = b"Authorization: Bearer %b\r\n"
        assert (await bed.ask("none", more=bearer % b"k1")).status == 404
        assert (await bed.ask("unsafe")).status == 401
        assert (await bed.ask("unsafe", more=bearer % b"k2")).status == 401
        assert (await bed.ask("unsafe", more=b"Authorization: Basic k1\r\n")).status == 401
        assert (await bed.ask("unsafe", more=bearer % b"k1" + b"X-Attempt-Id: a2\r\n")).status == 400
        assert not bed.seen
        assert (await bed.ask("open", more=bearer % b"k2" + b"X-Tenant: evil\r\n")).status == 200
        assert not {b"authorization", b"x-tenant"} & set(bed.seen[0].names)
        bed.verdict = Verdict(False, 50.0, "owner")
        got = await bed.ask("unsafe", more=bearer % b"k1")
        assert got.status == 429 and float(got.headers[b"retry-after"]) >= 0.05 and len(bed.seen) == 1
        bed.verdict = Verdict(True, 0.0, "owner")
        assert (await bed.ask("unsafe", more=bearer % b"k1")).status == 200
        bed.front.active = None
        got = await bed.ask("unsafe", more=bearer % b"k1")
        assert got.status == 503 and b"retry-after" in got.headers
    played(test, tenants=True)


@pytest.mark.parametrize(("route", "left"), [("unsafe", 90), ("brief", 2_000), ("safe", 90)])
def test_deadline_is_answered(route: str, left: int) -> None:
    async def test(bed: Bed) -> None:
        bed.steps = [hangs, hangs]
        began = bed.wheel.now()
        got = await bed.ask(route, left=left)
        assert got.status == 504 and bed.wheel.now() - began < 1_000
        assert len(bed.seen) == 1 and int(bed.seen[0].headers[b"x-time-left"]) <= 90
    played(test)


def test_slow_safe_request_is_asked_of_another_server_too() -> None:
    """With the second one's answer the first is broken off; an unsafe one never goes twice."""
    async def test(bed: Bed) -> None:
        for route in ("safe", "unsafe"):
            bed.choice.route_latency(route).p95 = 1.0
        broken_off = asyncio.Event()

        async def works_until_closed(call: Call) -> bytes | None:
            assert not await call.reader.read(1)
            broken_off.set()
            return None

        bed.steps = [works_until_closed]
        assert (await bed.ask("safe")).body == b"whole" and len(bed.seen) == 2
        await broken_off.wait()
        await bed.until(lambda: not bed.front.attempt_tasks)
        assert bed.servers.open_connections == 1 and all(not p.in_flight for p in bed.choice.servers.values())
        bed.steps = [hangs]
        assert (await bed.ask("unsafe", left=400)).status == 504 and len(bed.seen) == 3
    played(test)


def test_head_and_chunks() -> None:
    async def test(bed: Bed) -> None:
        bed.steps = [says(lambda c: c.answer()[:-5])]
        got = await bed.ask("safe", method=b"HEAD")
        assert (got.status, got.headers[b"content-length"], got.body) == (200, b"5", b"")
        assert b"content-length" not in bed.seen[0].names
        reader, writer = await bed.client()
        chunks = b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Late: 1\r\n\r\n"
        writer.write(request("unsafe", b"PUT", more=b"Transfer-Encoding: chunked\r\n") + chunks)
        bed.steps = [says(lambda c: c.answer(body=b"").replace(b"Content-Length: 0\r\n\r\n", CHUNKED)
                          + b"3\r\nxyz\r\n0\r\n\r\n")]
        answer = await read(reader)
        assert answer is not None and (answer.body, answer.headers[b"content-length"]) == (b"xyz", b"3")
        assert bed.seen[1].body == b"abcde" and b"transfer-encoding" not in bed.seen[1].names
    played(test)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test(bed: Bed) -> None:
        bed.steps = [works]
        reader, writer = await bed.client()
        writer.write(b"".join(request("unsafe", name=n, body=n) for n in (b"a1", b"a2", b"a3")))
        await bed.at_work.wait()
        bed.go_on.set()
        for name in (b"a1", b"a2", b"a3"):
            got = await read(reader)
            assert got is not None and (got.status, got.headers[b"x-attempt-id"]) == (200, name)
        assert [g.body for g in bed.seen] == [b"a1", b"a2", b"a3"]
    played(test)


def test_orderly_stop_finishes_what_was_taken() -> None:
    async def test(bed: Bed) -> None:
        idle, _ = await bed.client()
        reader, writer = await bed.client()
        bed.steps = [works]
        writer.write(request("unsafe"))
        await bed.at_work.wait()
        bed.door.drain()
        assert bed.door.active_requests() == 1
        got = await bed.ask("safe", name=b"a2")       # whoever comes still is served, once
        assert (got.status, got.headers[b"connection"]) == (200, b"close")
        assert not await idle.read()                  # closed with nothing lost
        bed.go_on.set()
        mine = await read(reader)
        assert mine is not None and (mine.body, mine.headers[b"connection"]) == (b"whole", b"close")
        assert await read(reader) is None and not bed.door.active_requests()
    played(test)


def test_what_clients_may_send_is_bounded() -> None:
    async def test(bed: Bed) -> None:
        bed.door.limits = RequestLimits(body_bytes=10, head_ms=40, idle_ms=60)
        assert (await bed.ask("unsafe", body=b"x" * 11)).status == 413
        reader, writer = await bed.client()
        chunked = request("unsafe", b"PUT", more=b"Transfer-Encoding: chunked\r\n")
        writer.write(chunked + b"b\r\n12345678901\r\n")
        got = await read(reader)
        assert got is not None and got.status == 413
        reader, writer = await bed.client()
        writer.write(b"GET / HTTP/1.1\r\nX-Long: " + b"x" * 200_000)
        got = await read(reader)
        assert got is not None and got.status in (413, 431)
        reader, writer = await bed.client()
        writer.write(b"GET / HTTP")
        got = await read(reader)
        assert got is not None and got.status == 408
        reader, writer = await bed.client()
        assert not await reader.read()                # idle
        assert not bed.seen
    played(test)


def test_body_that_stops_coming_holds_no_connection() -> None:
    async def test(bed: Bed) -> None:
        bed.door.limits = RequestLimits(head_ms=40, idle_ms=60)
        reader, writer = await bed.client()
        writer.write(request("unsafe")[:-2])
        got = await read(reader)
        assert got is None or got.status == 408
        assert not bed.seen
    played(test)


def test_connections_are_bounded() -> None:
    async def test(bed: Bed) -> None:
        clients = [await bed.client() for _ in range(25)]
        assert not await clients[0][0].read()         # the one that rested longest makes room
        assert (await bed.ask("safe")).status == 200 and len(bed.door.connections) <= 20
        bed.servers.max_connections = 1
        bed.choice.servers[bed.seen[0].server].draining = True
        assert (await bed.ask("safe", name=b"a2")).status == 200
        assert bed.connections == 2 and bed.servers.open_connections == 1
    played(test)
