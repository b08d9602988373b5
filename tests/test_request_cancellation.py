"""Tests of how the work on a request ends early: closes by clients in each phase, and shutdown.

They guard against work that continues although nobody waits for it, against unsafe requests that are aborted
or sent again after they were sent, and against clients that leave early distorting the choice of servers.
The tests use loopback sockets and the stub servers of `test_gateway_process`. A server learns that its work
is no longer needed from the end of its connection.
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
from larklb.admission.quota_records import QuotaDecision
from larklb.balancing.choice import CapacityAwareSelector
from larklb.gateway import servers as servers_module
from larklb.net.http import Link, dial
from larklb.schema.configuration import Tenant
from tests.test_gateway_process import (
    Behavior,
    Environment,
    StubRequest,
    declines,
    read,
    request,
    run_scenario,
)

# Time within which work that nobody waits for must have ended.
ABORT_TIMEOUT_S = 0.4
# Duration of the work of a request that is not aborted.
WORK_S = 2.0
ANSWERED, ABORTED = "answered", "broken off"
Outcomes = list[str]


def works(outcomes: Outcomes, work_s: float = WORK_S) -> Behavior:
    """Works until the time is over or the connection ends, and appends which of them to ``outcomes``."""
    async def behavior(call: StubRequest) -> bytes | None:
        call.env.working.set()
        try:
            await asyncio.wait_for(call.reader.read(1), work_s)
        except TimeoutError:
            outcomes.append(ANSWERED)
            return call.answer()
        except ConnectionError:
            pass
        outcomes.append(ABORTED)
        return None
    return behavior


async def fin(writer: asyncio.StreamWriter) -> None:
    writer.close()


async def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def bytes_behind(writer: asyncio.StreamWriter) -> None:
    """Sends half of another request, then closes."""
    writer.write(b"GET /safe/y HTTP/1.1\r\n")
    writer.close()


async def flood_behind(writer: asyncio.StreamWriter) -> None:
    """Sends more than is read before the answer, then closes."""
    writer.write(request("safe", b"GET") * 1_000)
    await writer.drain()
    writer.close()


Close = Callable[[asyncio.StreamWriter], Awaitable[None]]
CLOSES: dict[str, Close] = {f.__name__: f for f in (fin, reset, bytes_behind, flood_behind)}


async def becomes_true(done: Callable[[], bool]) -> bool:
    """Returns whether ``done`` becomes true within ``ABORT_TIMEOUT_S``."""
    try:
        async with asyncio.timeout(ABORT_TIMEOUT_S):
            while not done():
                await asyncio.sleep(0.005)
    except TimeoutError:
        return False
    return True


def is_idle(env: Environment) -> bool:
    """Returns whether nothing is in progress and no server is charged with work in flight or a failure."""
    return not env.listener.active_requests() and all(
        not p.in_flight and not p.consecutive_failures for p in env.choice.servers.values())


def test_only_sent_unsafe_requests_outlast_their_client() -> None:
    outlasts = {(phase, safe) for phase in Phase for safe in (True, False)
                if action_for(Cause.CLIENT_GONE, phase, safe=safe) is Action.FINISH}
    assert outlasts == {(Phase.WAITING, False)}
    for cause in Cause:
        for safe in (True, False):
            unsent = {action_for(cause, phase, safe=safe) for phase in Phase if phase is not Phase.WAITING}
            assert unsent == {Action.STOP}, "a request that has not been sent is stopped, whatever the cause"


@pytest.mark.parametrize("close", CLOSES)
def test_safe_request_is_aborted_when_its_client_leaves(close: str) -> None:
    async def test(env: Environment) -> None:
        outcomes: Outcomes = []
        env.behaviors = [works(outcomes)]
        _, writer = await env.connect()
        writer.write(request("safe", b"GET"))
        await env.working.wait()
        await CLOSES[close](writer)
        assert await becomes_true(lambda: outcomes == [ABORTED]), outcomes
        assert await becomes_true(lambda: is_idle(env)) and len(env.received) == 1
        assert (await env.send("safe", attempt_id=b"next")).status == 200
    run_scenario(test)


def test_both_attempts_of_a_hedged_request_are_aborted_when_its_client_leaves() -> None:
    async def test(env: Environment) -> None:
        outcomes: Outcomes = []
        env.choice.route_latency("safe").p95 = 1.0
        env.behaviors = [works(outcomes), works(outcomes)]
        _, writer = await env.connect()
        writer.write(request("safe", b"GET"))
        await env.wait_until(lambda: len(env.received) == 2)
        writer.close()
        assert await becomes_true(lambda: outcomes == [ABORTED] * 2), outcomes
        assert await becomes_true(
            lambda: not env.listener.active_requests() and not env.data_plane.attempt_tasks)
        assert all(not server_state.in_flight for server_state in env.choice.servers.values())
    run_scenario(test)


@pytest.mark.parametrize("close", CLOSES)
def test_sent_unsafe_request_runs_to_its_end_and_is_not_sent_again(close: str) -> None:
    async def test(env: Environment) -> None:
        outcomes: Outcomes = []
        env.behaviors = [works(outcomes, 0.6)]
        _, writer = await env.connect()
        writer.write(request("unsafe"))
        await env.working.wait()
        await CLOSES[close](writer)
        assert not await becomes_true(lambda: bool(outcomes))
        assert await becomes_true(lambda: outcomes == [ANSWERED]), outcomes
        assert await becomes_true(lambda: is_idle(env)) and len(env.received) == 1
    run_scenario(test)


@pytest.mark.parametrize("route", ["safe", "unsafe"])
def test_nothing_is_sent_if_the_close_arrives_with_the_request(route: str) -> None:
    """The request and the close arrive before either is read."""
    async def test(env: Environment) -> None:
        _, writer = await env.connect()
        writer.write(request(route))
        writer.close()
        assert await becomes_true(lambda: env.data_plane.count["taken"] == 1 and is_idle(env))
        assert not env.received
    run_scenario(test)


@pytest.mark.parametrize("route", ["safe", "unsafe"])
def test_nothing_is_sent_if_the_client_leaves_during_the_quota_request(route: str) -> None:
    async def test(env: Environment) -> None:
        asked = asyncio.Event()

        async def quota(tenant: Tenant) -> QuotaDecision | None:
            asked.set()
            await env.proceed.wait()
            return None

        env.data_plane.request_decision = quota
        _, writer = await env.connect()
        writer.write(request(route, headers=b"Authorization: Bearer k1\r\n"))
        await asked.wait()
        writer.close()
        assert await becomes_true(lambda: is_idle(env)), "the request no longer waits for the quota decision"
        env.proceed.set()
        await asyncio.sleep(0.05)
        assert not env.received
    run_scenario(test, tenants=True)


def test_two_causes_in_one_turn_end_a_quota_request_with_an_answer() -> None:
    """Guards against LOST: the second cause cancelled the task, and its connection ended unanswered."""
    async def test(env: Environment) -> None:
        asked = asyncio.Event()

        async def quota(tenant: Tenant) -> QuotaDecision | None:
            asked.set()
            await env.proceed.wait()
            return None

        env.data_plane.request_decision = quota
        sending = asyncio.ensure_future(env.send("unsafe", headers=b"Authorization: Bearer k1\r\n"))
        await asked.wait()
        for work in tuple(env.data_plane.requests_in_progress):
            work.end(Cause.SHUTDOWN)
            work.end(Cause.DEADLINE)
        assert (await sending).status == 503 and not env.received
    run_scenario(test, tenants=True)


@pytest.mark.parametrize("route", ["safe", "unsafe"])
def test_nothing_is_sent_if_the_client_leaves_during_the_dial(
        monkeypatch: pytest.MonkeyPatch, route: str) -> None:
    async def test(env: Environment) -> None:
        dialling = asyncio.Event()

        async def delayed(host: str, port: int) -> Link:
            dialling.set()
            await env.proceed.wait()
            return await dial(host, port)

        monkeypatch.setattr(servers_module, "dial", delayed)
        _, writer = await env.connect()
        writer.write(request(route))
        await dialling.wait()
        writer.close()
        assert await becomes_true(lambda: is_idle(env)), (
            "the dial is cancelled and does not count as a failure of the server")
        env.proceed.set()
        await asyncio.sleep(0.05)
        assert not env.received and not env.servers.open_connections
    run_scenario(test)


@pytest.mark.parametrize("route", ["safe", "unsafe"])
def test_request_is_not_retried_after_its_client_left(route: str) -> None:
    async def test(env: Environment) -> None:
        decline = declines(503)

        async def delayed(call: StubRequest) -> bytes | None:
            call.env.working.set()
            await call.env.proceed.wait()
            return await decline(call)

        env.behaviors = [delayed]
        _, writer = await env.connect()
        writer.write(request(route))
        await env.working.wait()
        writer.close()
        await asyncio.sleep(0.05)
        env.proceed.set()
        assert await becomes_true(lambda: not env.listener.active_requests())
        await asyncio.sleep(0.05)
        assert len(env.received) == 1
    run_scenario(test)


def test_close_after_the_answer_aborts_no_other_request() -> None:
    """The close of a client doesn't abort the next request on the connection to its server."""
    async def test(env: Environment) -> None:
        outcomes: Outcomes = []
        reader, writer = await env.connect()
        writer.write(request("safe", b"GET"))
        assert (await read(reader)) is not None
        env.behaviors = [works(outcomes, 0.2)]
        second_request = asyncio.ensure_future(env.send("safe", attempt_id=b"other"))
        await env.working.wait()
        writer.close()
        got: Any = await second_request
        assert got.status == 200 and outcomes == [ANSWERED]
    run_scenario(test)


@pytest.mark.parametrize("route", ["safe", "unsafe"])
def test_requests_in_progress_are_answered_at_shutdown(route: str) -> None:
    async def test(env: Environment) -> None:
        outcomes: Outcomes = []
        env.behaviors = [works(outcomes)]
        asked = asyncio.ensure_future(env.send(route))
        await env.working.wait()
        env.data_plane.shut_down()
        got: Any = await asked
        assert got.status == 502 and got.headers[b"connection"] == b"close"
        assert await becomes_true(lambda: outcomes == [ABORTED]) and len(env.received) == 1
    run_scenario(test)


def test_unanswered_quota_request_ends_at_the_deadline() -> None:
    """The request has not run, and its client is told so while it still waits."""
    async def test(env: Environment) -> None:
        async def quota(tenant: Tenant) -> QuotaDecision | None:
            await env.proceed.wait()
            return None

        env.data_plane.request_decision = quota
        got = await env.send("unsafe", headers=b"Authorization: Bearer k1\r\n", time_left=200)
        assert got.status == 503 and b"retry-after" in got.headers and not env.received
    run_scenario(test, tenants=True)


def select_servers(choice: ServerSelector, work: dict[str, float], patience_ms: float) -> list[str]:
    """Returns the servers chosen for the last 200 of 400 requests, 30 ms apart.

    ``work`` is the duration in ms by server; clients leave after ``patience_ms``.
    """
    choice.update([ServerState(name, "t", f"{name}:1", "z", 4) for name in work])
    chosen, completions = [], list[tuple[float, float, ServerState, bool]]()
    for n in range(400):
        now = 1_000.0 + 30.0 * n
        for entry in sorted((e for e in completions if e[0] <= now), key=lambda e: e[0]):
            completions.remove(entry)
            ended_at, elapsed_ms, server, client_left = entry
            if client_left:
                choice.record_abandonment(ended_at, server, "r", elapsed_ms)
            else:
                choice.record_answer(ended_at, server, "r", elapsed_ms, True)
        server_state = choice.pick(now, "t", "r", 600.0)
        assert server_state is not None
        choice.record_start(server_state)
        chosen.append(server_state.id)
        elapsed_ms = min(patience_ms, work[server_state.id])
        completions.append((now + elapsed_ms, elapsed_ms, server_state, work[server_state.id] > patience_ms))
    return chosen[200:]


@pytest.mark.parametrize("kind", ["plain", "able"])
@pytest.mark.parametrize("slow", [800.0, 1e9])
def test_slow_server_is_avoided_though_its_clients_leave_first(kind: str, slow: float) -> None:
    """Without answers, only the waiting times show that a server is slow or silent."""
    choice = (ServerSelector("z", {"z": "r"}, 1) if kind == "plain"
              else CapacityAwareSelector("z", {"z": "r"}, 1))
    chosen = select_servers(choice, {"s1": 100.0, "s2": 110.0, "s3": 120.0, "slow": slow}, 300.0)
    assert chosen.count("slow") < 0.12 * len(chosen)


@pytest.mark.parametrize("kind", ["plain", "able"])
def test_clients_that_leave_early_do_not_count_against_servers(kind: str) -> None:
    choice = (ServerSelector("z", {"z": "r"}, 1) if kind == "plain"
              else CapacityAwareSelector("z", {"z": "r"}, 1))
    chosen = select_servers(choice, {"s1": 100.0, "s2": 100.0}, 40.0)
    assert 60 < chosen.count("s1") < 140
    assert all(not server_state.consecutive_failures for server_state in choice.servers.values())
