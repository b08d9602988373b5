"""Tests of the core, the timer wheel and single attempts, without processes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import h11
import pytest

from larklb import interface as io
from larklb.core import Core
from larklb.counters import Counters
from larklb.net import execute
from larklb.net.http import Link, WatchedReader
from larklb.net.machines import Machine
from larklb.wheel import Wheel
from tests.conftest import settings

CONTENT = execute.Content(b"GET", b"/read", (), b"")
NO_SINK: Any = None        # receives streamed answers, which these tests do not have


def test_wheel_fires_in_order_and_never_early_and_survives_a_failing_callback() -> None:
    async def go() -> None:
        failures: list[int] = []
        wheel = Wheel(4.0, lambda: failures.append(1))
        fired: list[tuple[Any, float]] = []
        began = wheel.now()
        for delay in (30.0, 10.0, 20.0):
            wheel.after(delay, lambda d: fired.append((d, wheel.now() - began - d)), delay)
        wheel.after(10.0, lambda: [][1])
        wheel.after(1.0, fired.append, ("cancelled", 0.0)).cancel()
        await wheel.sleep(60.0)
        assert [f[0] for f in fired] == [10.0, 20.0, 30.0] and min(f[1] for f in fired) > -0.5
        assert failures == [1]
    asyncio.run(go())


def test_trusted_idle_time_follows_the_connections_found_closed() -> None:
    """Guards against writing jobs to kept connections that a node has closed early (753 jobs on one day)."""
    nodes = object.__new__(execute.ExecuteNodes)
    nodes.idle_limit = nodes.max_idle = 12000.0
    for _ in range(20):
        nodes._adjust_max_idle(150.0, stale=True)
    assert execute.MIN_MAX_IDLE_MS <= nodes.max_idle <= 150.0
    nodes._adjust_max_idle(15.0, stale=False)
    low = nodes.max_idle
    for _ in range(500):
        nodes._adjust_max_idle(nodes.max_idle * 0.9, stale=False)
    assert low < nodes.max_idle == nodes.idle_limit


def test_unread_data_in_the_socket_counts_as_activity_and_a_closed_socket_is_no_error() -> None:
    """Guards against dropping a request that a limiter without CPU time had not yet read.

    A closed socket has no file descriptor and must not cause an error.
    """
    async def go() -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        reader, loop = WatchedReader(), asyncio.get_running_loop()
        transport, protocol = await loop.create_connection(
            lambda: asyncio.StreamReaderProtocol(reader, loop=loop), sock=ours)
        link = Link(reader, asyncio.StreamWriter(transport, protocol, reader, loop), h11.SERVER)
        assert link.received_nothing()
        theirs.send(b"G")
        assert not link.received_nothing()
        link.abort()
        await asyncio.sleep(0.05)
        reader._buffer.clear()      # type: ignore[attr-defined]
        assert link.received_nothing()
        theirs.close()
    asyncio.run(go())


def core_with(handle: Callable[[float, io.Event], list[io.Action]] | None = None) -> Core:
    core = Core(settings(), 1, Wheel(2.0), Counters("n"))
    core.start()
    if handle is not None:
        setattr(core.gateway, "handle", handle)     # noqa: B010
    return core


def test_failure_of_the_gateway_fails_one_job_at_once() -> None:
    def fails(now: float, event: io.Event) -> list[io.Action]:
        raise RuntimeError("bug")

    async def go() -> None:
        core = core_with(fails)
        job = core.take(io.Request("r", "read", "free", "c", core.wheel.now() + 9000.0))
        assert await asyncio.wait_for(job.next(), 1) == io.Fail("r"), (
            "the job fails at once, not at its due time")
        assert core.counters["errors.module"] >= 1 and core.counters["errors.overdue"] == 0
    asyncio.run(go())


def test_job_that_the_gateway_forgets_fails_at_its_due_time() -> None:
    async def go() -> None:
        core = core_with(lambda now, event: [])
        job = core.take(io.Request("r", "read", "free", "c", core.wheel.now() + 30.0))
        assert await asyncio.wait_for(job.next(), 5) == io.Fail("r")
        assert core.counters["errors.overdue"] == 1
    asyncio.run(go())


def test_no_job_is_written_to_a_node_that_began_to_drain_during_a_slow_dial(
        monkeypatch: pytest.MonkeyPatch) -> None:
    class _Link:
        aborted = False

        def abort(self) -> None:
            self.aborted = True

        class reader:  # noqa: N801
            on_end = None

    async def go() -> None:
        core, link, machine = core_with(), _Link(), Machine(("127.0.0.1", 1))

        async def slow(host: str, port: int) -> Any:
            machine.closed_at = core.wheel.now() - 1001.0      # announced longer ago than the grace period
            return link

        monkeypatch.setattr(execute, "dial", slow)
        machines: Any = type("M", (), {"by_id": {"s": machine}, "addresses": lambda self: set()})()
        config: Any = type("C", (), {"dial_timeout": 250.0, "conn_idle": 30000.0, "sockets": 64,
                                     "settings": core.settings})()
        nodes = execute.ExecuteNodes(config, core, machines)
        job = core.take(io.Request("r", "read", "free", "c", core.wheel.now() + 3000.0))
        ended = await nodes.attempt(job, io.Send("r", "s"), CONTENT, NO_SINK)
        assert ended.result is io.Result.NOT_SENT and link.aborted and core.counters["held_back.drain"] == 1
    asyncio.run(go())
