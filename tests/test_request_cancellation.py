"""Who ends a request's work, and when: closes of clients in each phase, for each kind of request.

Over loopback sockets; servers are those of `test_gateway_process`. A server sees that its work is of no use
any more by the end of its connection.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from larklb.admission.cancellation import Action, Cause, Phase, action_for
from larklb.admission.choice import ServerSelector, ServerState
from larklb.admission.quota_records import Verdict
from larklb.balancing.choice import CapacityAwareSelector
from larklb.gateway import servers as servers_module
from larklb.net.http import Link, dial
from larklb.schema.configuration import Tenant
from tests.test_gateway_process import Bed, Call, Step, played, read, request, turned_away

SOON = 0.4                 # s, in which work that nobody waits for has ended
WORK = 2.0                 # s of work, unless it is broken off
ANSWERED, BROKEN_OFF = "answered", "broken off"
Ends = list[str]


def works_into(ends: Ends, work: float = WORK) -> Step:
    """A run that ends with its work, or with its connection; which of them goes into ``ends``."""
    async def step(call: Call) -> bytes | None:
        call.bed.at_work.set()
        try:
            await asyncio.wait_for(call.reader.read(1), work)
        except TimeoutError:
            ends.append(ANSWERED)
            return call.answer()
        except ConnectionError:
            pass
        ends.append(BROKEN_OFF)
        return None
    return step


async def fin(writer: asyncio.StreamWriter) -> None:
    writer.close()


async def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def bytes_behind(writer: asyncio.StreamWriter) -> None:
    """Half of another request, and the close."""
    writer.write(b"GET /safe/y HTTP/1.1\r\n")
    writer.close()


async def flood_behind(writer: asyncio.StreamWriter) -> None:
    """More than is read ahead of the answer, and the close."""
    writer.write(request("safe", b"GET") * 1_000)
    await writer.drain()
    writer.close()


Close = Callable[[asyncio.StreamWriter], Awaitable[None]]
CLOSES: dict[str, Close] = {f.__name__: f for f in (fin, reset, bytes_behind, flood_behind)}


async def soon(done: Callable[[], bool]) -> bool:
    """Whether it comes to be so within ``SOON``."""
    try:
        async with asyncio.timeout(SOON):
            while not done():
                await asyncio.sleep(0.005)
    except TimeoutError:
        return False
    return True


def settled(bed: Bed) -> bool:
    """Nothing is in work, and no server is held to have any of it, or to be worse for it."""
    return not bed.door.active_requests() and all(
        not p.in_flight and not p.consecutive_failures for p in bed.choice.servers.values())


def test_only_what_may_run_once_and_was_sent_outlasts_its_client() -> None:
    outlasts = {(phase, safe) for phase in Phase for safe in (True, False)
                if action_for(Cause.CLIENT_GONE, phase, safe=safe) is Action.FINISH}
    assert outlasts == {(Phase.WAITING, False)}
    for cause in Cause:
        for safe in (True, False):
            unsent = {action_for(cause, phase, safe=safe) for phase in Phase if phase is not Phase.WAITING}
            assert unsent == {Action.STOP}, "what hasn't been sent is never sent after its end"


@pytest.mark.parametrize("close", CLOSES)
def test_safe_work_ends_with_its_client(close: str) -> None:
    async def test(bed: Bed) -> None:
        ends: Ends = []
        bed.steps = [works_into(ends)]
        _, writer = await bed.client()
        writer.write(request("safe", b"GET"))
        await bed.at_work.wait()
        await CLOSES[close](writer)
        assert await soon(lambda: ends == [BROKEN_OFF]), ends
        assert await soon(lambda: settled(bed)) and len(bed.seen) == 1
        assert (await bed.ask("safe", name=b"next")).status == 200
    played(test)


def test_both_attempts_of_a_hedged_request_end_with_its_client() -> None:
    async def test(bed: Bed) -> None:
        ends: Ends = []
        bed.choice.route_latency("safe").p95 = 1.0
        bed.steps = [works_into(ends), works_into(ends)]
        _, writer = await bed.client()
        writer.write(request("safe", b"GET"))
        await bed.until(lambda: len(bed.seen) == 2)
        writer.close()
        assert await soon(lambda: ends == [BROKEN_OFF] * 2), ends
        assert await soon(lambda: not bed.door.active_requests() and not bed.front.attempt_tasks)
        assert all(not place.in_flight for place in bed.choice.servers.values())
    played(test)


@pytest.mark.parametrize("close", CLOSES)
def test_unsafe_work_goes_on_to_its_end_and_is_not_sent_again(close: str) -> None:
    async def test(bed: Bed) -> None:
        ends: Ends = []
        bed.steps = [works_into(ends, 0.6)]
        _, writer = await bed.client()
        writer.write(request("unsafe"))
        await bed.at_work.wait()
        await CLOSES[close](writer)
        assert not await soon(lambda: bool(ends))
        assert await soon(lambda: ends == [ANSWERED]), ends
        assert await soon(lambda: settled(bed)) and len(bed.seen) == 1
    played(test)


@pytest.mark.parametrize("route", ["safe", "unsafe"])
def test_nothing_is_sent_for_a_client_that_left_with_its_request(route: str) -> None:
    """The request and the close have come before either is read."""
    async def test(bed: Bed) -> None:
        _, writer = await bed.client()
        writer.write(request(route))
        writer.close()
        assert await soon(lambda: bed.front.count["taken"] == 1 and settled(bed))
        assert not bed.seen
    played(test)


@pytest.mark.parametrize("route", ["safe", "unsafe"])
def test_nothing_is_sent_for_a_client_that_left_while_its_quota_was_asked(route: str) -> None:
    async def test(bed: Bed) -> None:
        asked = asyncio.Event()

        async def quota(tenant: Tenant) -> Verdict | None:
            asked.set()
            await bed.go_on.wait()
            return None

        bed.front.request_verdict = quota
        _, writer = await bed.client()
        writer.write(request(route, more=b"Authorization: Bearer k1\r\n"))
        await asked.wait()
        writer.close()
        assert await soon(lambda: settled(bed)), "it waits no longer"
        bed.go_on.set()
        await asyncio.sleep(0.05)
        assert not bed.seen
    played(test, tenants=True)


@pytest.mark.parametrize("route", ["safe", "unsafe"])
def test_nothing_is_sent_for_a_client_that_left_while_a_server_was_dialled(
        monkeypatch: pytest.MonkeyPatch, route: str) -> None:
    async def test(bed: Bed) -> None:
        dialling = asyncio.Event()

        async def late(host: str, port: int) -> Link:
            dialling.set()
            await bed.go_on.wait()
            return await dial(host, port)

        monkeypatch.setattr(servers_module, "dial", late)
        _, writer = await bed.client()
        writer.write(request(route))
        await dialling.wait()
        writer.close()
        assert await soon(lambda: settled(bed)), "the dial is called off, and blames nobody"
        bed.go_on.set()
        await asyncio.sleep(0.05)
        assert not bed.seen and not bed.servers.open_connections
    played(test)


@pytest.mark.parametrize("route", ["safe", "unsafe"])
def test_nothing_is_tried_again_for_a_client_that_left(route: str) -> None:
    async def test(bed: Bed) -> None:
        away = turned_away(503)

        async def late(call: Call) -> bytes | None:
            call.bed.at_work.set()
            await call.bed.go_on.wait()
            return await away(call)

        bed.steps = [late]
        _, writer = await bed.client()
        writer.write(request(route))
        await bed.at_work.wait()
        writer.close()
        await asyncio.sleep(0.05)
        bed.go_on.set()
        assert await soon(lambda: not bed.door.active_requests())
        await asyncio.sleep(0.05)
        assert len(bed.seen) == 1
    played(test)


def test_an_answered_request_ends_nothing_when_its_client_leaves() -> None:
    """The next request on a connection to a server isn't hit by the close of the last one's client."""
    async def test(bed: Bed) -> None:
        ends: Ends = []
        reader, writer = await bed.client()
        writer.write(request("safe", b"GET"))
        assert (await read(reader)) is not None
        bed.steps = [works_into(ends, 0.2)]
        other = asyncio.ensure_future(bed.ask("safe", name=b"other"))
        await bed.at_work.wait()
        writer.close()
        got: Any = await other
        assert got.status == 200 and ends == [ANSWERED]
    played(test)


@pytest.mark.parametrize("route", ["safe", "unsafe"])
def test_work_that_is_left_at_the_end_of_a_grace_is_answered(route: str) -> None:
    async def test(bed: Bed) -> None:
        ends: Ends = []
        bed.steps = [works_into(ends)]
        asked = asyncio.ensure_future(bed.ask(route))
        await bed.at_work.wait()
        bed.front.shut_down()
        got: Any = await asked
        assert got.status == 502 and got.headers[b"connection"] == b"close"
        assert await soon(lambda: ends == [BROKEN_OFF]) and len(bed.seen) == 1
    played(test)


def test_a_quota_that_says_nothing_holds_no_request_beyond_its_time() -> None:
    """It has not run, and is told so while its client still waits."""
    async def test(bed: Bed) -> None:
        async def quota(tenant: Tenant) -> Verdict | None:
            await bed.go_on.wait()
            return None

        bed.front.request_verdict = quota
        got = await bed.ask("unsafe", more=b"Authorization: Bearer k1\r\n", left=200)
        assert got.status == 503 and b"retry-after" in got.headers and not bed.seen
    played(test, tenants=True)


def plays(choice: ServerSelector, work: dict[str, float], patience: float) -> list[str]:
    """Which servers get the last half of 400 requests, 30 ms apart; clients leave after ``patience`` ms."""
    choice.update([ServerState(name, "t", f"{name}:1", "z", 4) for name in work])
    chosen, ends = [], list[tuple[float, float, ServerState, bool]]()
    for n in range(400):
        now = 1_000.0 + 30.0 * n
        for entry in sorted((e for e in ends if e[0] <= now), key=lambda e: e[0]):
            ends.remove(entry)
            at, took, server, left = entry
            if left:
                choice.record_abandonment(at, server, "r", took)
            else:
                choice.record_answer(at, server, "r", took, True)
        place = choice.pick(now, "t", "r", 600.0)
        assert place is not None
        choice.record_start(place)
        chosen.append(place.id)
        took = min(patience, work[place.id])
        ends.append((now + took, took, place, work[place.id] > patience))
    return chosen[200:]


@pytest.mark.parametrize("kind", ["plain", "able"])
@pytest.mark.parametrize("slow", [800.0, 1e9])
def test_a_server_whose_clients_leave_first_is_not_held_to_be_quick(kind: str, slow: float) -> None:
    """Without its answers only the waits tell that it is slow, or silent."""
    choice = (ServerSelector("z", {"z": "r"}, 1) if kind == "plain"
              else CapacityAwareSelector("z", {"z": "r"}, 1))
    chosen = plays(choice, {"s1": 100.0, "s2": 110.0, "s3": 120.0, "slow": slow}, 300.0)
    assert chosen.count("slow") < 0.12 * len(chosen)


@pytest.mark.parametrize("kind", ["plain", "able"])
def test_clients_that_leave_soon_blame_no_server(kind: str) -> None:
    choice = (ServerSelector("z", {"z": "r"}, 1) if kind == "plain"
              else CapacityAwareSelector("z", {"z": "r"}, 1))
    chosen = plays(choice, {"s1": 100.0, "s2": 100.0}, 40.0)
    assert 60 < chosen.count("s1") < 140
    assert all(not place.consecutive_failures for place in choice.servers.values())
