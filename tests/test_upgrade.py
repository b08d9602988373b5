"""Tests of upgrades: a new process takes over from a running one under load, and each step is interrupted."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from asyncio.subprocess import Process
from collections import Counter
from contextlib import suppress
from pathlib import Path

import pytest

from larklb import interface as io
from larklb.decide import Gateway
from larklb.handover_state import HandoverStateError, NodeAddress, pack, restore, unpack
from larklb.lab.cluster import CLASSES
from larklb.net import handover
from larklb.wheel import Wheel
from tests.conftest import Bed, settings
from tests.standins import ROOT, Cluster, ask, job, read_answer, served
from tests.test_daily import call, with_console

HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
# Deadline of jobs; the test process, which runs the execute nodes, may stall for seconds.
LONG_S = 30.0
# Time in which a job must be answered, not counting stalls of the test process.
ANSWER_S = 3.0
PULSE_S = 0.05


async def start_second_process(cluster: Cluster) -> tuple[Process, int]:
    """Starts a second process of the limiter with another admin address."""
    port = with_console(cluster)
    env = {**os.environ, "EDGE_CONFIG": str(cluster.limiters[0].config()), "PYTHONPATH": str(ROOT),
           **cluster.environment, **cluster.limiters[0].environment}
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "larklb", "serve", env=env, stderr=asyncio.subprocess.PIPE), port


async def wait_until_ready(port: int, within: float = 20.0) -> float:
    began = time.monotonic()
    while time.monotonic() - began < within:
        with suppress(OSError):
            if (await call(port, b"READY\r\n"))[0].startswith("+OK"):
                return time.monotonic() - began
        await asyncio.sleep(0.02)
    raise AssertionError("the second process is not ready")


async def upgrade(cluster: Cluster) -> tuple[Process, int]:
    """Upgrades the limiter; returns the old process, which was sent SIGTERM, and the new admin port."""
    old = cluster.limiters[0].process
    assert old is not None
    cluster.limiters[0].process, port = await start_second_process(cluster)
    await wait_until_ready(port)
    old.send_signal(signal.SIGTERM)
    return old, port


async def wait_for_exit(process: Process, status: int = 0) -> str:
    _, errors = await asyncio.wait_for(process.communicate(), 20)
    assert process.returncode == status, errors.decode()
    assert b"Traceback" not in errors, errors.decode()
    return errors.decode()


def new_cluster(tmp_path: Path, **more: int) -> Cluster:
    cluster = Cluster(tmp_path, **more)         # type: ignore[arg-type]
    cluster.environment["TMPDIR"] = str(tmp_path)
    return cluster


def test_repeated_upgrades_under_load_lose_nothing(tmp_path: Path) -> None:
    """Each request gets one answer, connections stay open, no units are spent twice, no job runs twice.

    The execute nodes run in the test process.  It may stall for three seconds on a busy machine, and a job
    with a shorter deadline would rightly be refused, so the deadline is longer and stalls are subtracted.
    """
    async def go() -> None:
        cluster = new_cluster(tmp_path)
        with_console(cluster)
        cluster.settings = {"classes": [{**c, "deadline": 1000.0 * LONG_S} for c in CLASSES]}
        async with cluster:
            port, ended = cluster.limiters[0].port, asyncio.Event()
            answers_by_status: Counter[int] = Counter()
            slow: Counter[int] = Counter()
            stalled_s = 0.0                  # total stall of this process in s

            async def pulse() -> None:
                nonlocal stalled_s
                while True:
                    before = time.monotonic()
                    await asyncio.sleep(PULSE_S)
                    stalled_s += time.monotonic() - before - PULSE_S

            async def submitter(n: int) -> None:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                while not ended.is_set():
                    service = ("stock-check", "place-order")[n % 2]
                    begin, stalled_before = time.monotonic(), stalled_s
                    writer.write(job(service=service, account=100 + n, left=LONG_S).encode())
                    status, headers, _ = await asyncio.wait_for(read_answer(reader), LONG_S)
                    # A stall that ends with this answer is counted by the next pulse.
                    if time.monotonic() - begin - (stalled_s - stalled_before) >= ANSWER_S:
                        await asyncio.sleep(2 * PULSE_S)
                        assert (time.monotonic() - begin - (stalled_s - stalled_before)
                                < ANSWER_S + 2 * PULSE_S)
                    answers_by_status[status] += 1
                    assert headers.get("connection") != "close"
                writer.close()

            async def quota_user() -> None:
                while not ended.is_set():
                    slow[(await ask(port, job(plan="slow", account=7)))[0]] += 1
                    await asyncio.sleep(0.01)

            pulse_task = asyncio.create_task(pulse())
            tasks = [asyncio.create_task(submitter(n)) for n in range(8)]
            tasks.append(asyncio.create_task(quota_user()))
            for _ in range(3):
                await asyncio.sleep(0.3)
                old, _ = await upgrade(cluster)
                await wait_for_exit(old)
            ended.set()
            await asyncio.gather(*tasks)
            pulse_task.cancel()
            assert set(answers_by_status) == {200} and answers_by_status[200] > 200
            assert set(slow) == {200, 429} and slow[200] == 10
            assert set(cluster.attempts().values()) == {1}
            assert await cluster.limiters[0].stop() == 0
            assert not list(tmp_path.glob("*.sock")), "the sockets of the upgrade are removed"
    asyncio.run(go())


def test_jobs_on_a_slow_node_are_finished_by_the_process_that_accepted_them(tmp_path: Path) -> None:
    async def go() -> None:
        cluster = new_cluster(tmp_path)
        with_console(cluster)
        async with cluster:
            async def late(headers: dict[str, str], body: bytes) -> bytes:
                await asyncio.sleep(2.0)
                return await served(headers, body)

            port = cluster.limiters[0].port
            for node in cluster.nodes:
                node.reply = late
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(job("00000000000000aa").encode())
            await asyncio.sleep(0.3)
            old, _ = await upgrade(cluster)
            assert (await ask(port, HEALTH))[0] == 200
            assert (await read_answer(reader))[2] == b"done 00000000000000aa"
            for node in cluster.nodes:
                node.reply = served
            writer.write(job("00000000000000ab").encode())       # the new process has the connection
            assert (await read_answer(reader))[2] == b"done 00000000000000ab"
            await wait_for_exit(old)
    asyncio.run(go())


@pytest.mark.parametrize("step", ["hello", "give", "last", "garbage", "version"])
def test_new_process_that_dies_during_the_takeover_changes_nothing(tmp_path: Path, step: str) -> None:
    """The old process has paused accepting work by then and must resume it."""
    async def go() -> None:
        cluster = new_cluster(tmp_path)
        with_console(cluster)
        async with cluster:
            limiter, wheel = cluster.limiters[0], Wheel(4.0)
            place = handover.handover_socket_path(
                limiter.name, ("127.0.0.1", limiter.port), cluster.environment)
            assert place is not None
            reader, writer = await asyncio.open_connection("127.0.0.1", limiter.port)
            writer.write(job().encode())
            assert (await read_answer(reader))[0] == 200
            if step == "version":
                sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
                sock.connect(str(place))
                sock.send(handover.HELLO + b"999")
                await asyncio.sleep(0.2)
                assert sock.recv(100).startswith(handover.NO)
                sock.close()
            else:
                channel = await handover.connect_predecessor(place, wheel)
                assert channel is not None
                if step == "garbage":
                    channel.send(b"x" * 100)
                if step == "give":
                    channel.send(handover.GIVE)
                if step == "last":
                    payload = await handover.receive_state(channel)
                    assert unpack(payload.state).version and payload.peers is not None
                channel.close()
            await asyncio.sleep(0.4)
            writer.write(job().encode())
            assert (await asyncio.wait_for(read_answer(reader), 3))[0] == 200
            assert (await ask(limiter.port, job()))[0] == 200
            old, _ = await upgrade(cluster)                # a later process can take over
            assert "has our place" in await wait_for_exit(old)
            assert (await ask(limiter.port, job()))[0] == 200
    asyncio.run(go())


def test_old_process_serves_again_if_the_new_one_dies_before_it_was_told_to_stop(tmp_path: Path) -> None:
    async def go() -> None:
        cluster = new_cluster(tmp_path, limiters=2)
        with_console(cluster)
        async with cluster:
            limiter = cluster.limiters[0]
            new, port = await start_second_process(cluster)
            await wait_until_ready(port)
            assert (await ask(limiter.port, job()))[0] == 200
            new.kill()
            await new.wait()
            await asyncio.sleep(0.3)
            answers = [(await ask(limiter.port, job(plan="slow", account=n, spread=2)))[0] for n in range(8)]
            assert answers == [200] * 8
            counts = await limiter.counters()
            assert counts["errors.succession"] == 1 and counts["peer.taken"] > 0
            assert counts["taken.http.stock-check"] >= 8
    asyncio.run(go())


@pytest.mark.parametrize("how", ["stuck", "left over", "no folder", "gone at give", "silent"])
def test_new_process_serves_even_if_the_old_one_cannot_hand_over(tmp_path: Path, how: str) -> None:
    async def go() -> None:
        cluster = new_cluster(tmp_path)
        with_console(cluster)
        if how == "no folder":
            cluster.environment["TMPDIR"] = str(tmp_path / "none")
        async with cluster:
            limiter = cluster.limiters[0]
            place = handover.handover_socket_path(
                limiter.name, ("127.0.0.1", limiter.port), cluster.environment)
            old = limiter.process
            assert old is not None
            listeners: list[handover.HandoverListener] = []
            if how == "stuck":
                old.send_signal(signal.SIGSTOP)
            elif how == "left over":
                old.kill()
                await old.wait()
                assert place is not None and place.exists()
            elif how in ("gone at give", "silent"):
                assert place is not None
                ends = (lambda c: c.close()) if how == "gone at give" else (lambda c: None)
                listeners.append(handover.HandoverListener(place, Wheel(4.0), ends))
                listeners[0].open()
            limiter.process, port = await start_second_process(cluster)
            assert await wait_until_ready(port) < 6.0
            if how != "left over":
                old.send_signal(signal.SIGKILL if how == "stuck" else signal.SIGTERM)
                if how == "stuck":
                    await old.wait()
                else:
                    await wait_for_exit(old)
            for listener in listeners:
                listener.close()
            for _ in range(5):
                assert (await ask(limiter.port, job()))[0] == 200
    asyncio.run(go())


def test_drain_is_handed_over_and_ended_at_the_new_process(tmp_path: Path) -> None:
    async def go() -> None:
        cluster = new_cluster(tmp_path)
        port = with_console(cluster)
        async with cluster:
            assert (await call(port, b"DRAIN\n"))[0].startswith("+OK")
            old = cluster.limiters[0].process
            assert old is not None
            cluster.limiters[0].process, port = await start_second_process(cluster)
            while True:
                with suppress(OSError):
                    if (await call(port, b"READY\n"))[0] == "-ERR draining\r\n":
                        break
                await asyncio.sleep(0.05)
            assert (await ask(cluster.limiters[0].port, HEALTH))[0] == 503
            old.send_signal(signal.SIGTERM)
            await wait_for_exit(old)
            assert (await call(port, b"UNDRAIN\n"))[0].startswith("+OK")
            assert (await ask(cluster.limiters[0].port, HEALTH))[0] == 200
    asyncio.run(go())


def test_address_of_another_instance_is_not_shared(tmp_path: Path) -> None:
    """Guards against two limiters under one address: only processes of one instance may share it."""
    async def go() -> None:
        cluster = new_cluster(tmp_path)
        with_console(cluster)
        async with cluster:
            with_console(cluster)
            env = {**os.environ, "EDGE_CONFIG": str(cluster.limiters[0].config()), "PYTHONPATH": str(ROOT),
                   **cluster.environment, **cluster.limiters[0].environment, "EDGE_NAME": "another"}
            done = await asyncio.to_thread(subprocess.run, [sys.executable, "-m", "larklb", "serve"],
                                           env=env, capture_output=True, timeout=20)
            assert done.returncode == 1 and done.stderr.startswith(b"larklb: ")
    asyncio.run(go())


# The transferred state -----------------------------------------------------------------


def _state(bed: Bed) -> bytes:
    return pack(bed.gateways[0], draining=False, generation=5, discovery=("127.0.0.1", 1), offset=7.0,
                node_addresses={"s0": NodeAddress("127.0.0.1", 2, None)})


def _used() -> Bed:
    """Gateways with buckets, leases, copies, local counts and a server that has failed."""
    bed = Bed(gateways=3, servers=3)
    bed.serve = 30.0
    for n in range(40):
        bed.ask(n % 3, f"r{n}", customer=f"c{n % 7}")
        bed.run(20)
    bed.cut = True
    for n in range(12):
        bed.ask(0, f"x{n}", customer=f"c{n % 5}")
        bed.run(200)
    bed.cut = False
    return bed


def test_gateway_continues_with_the_state_of_another(tmp_path: Path) -> None:
    bed = _used()
    old = bed.gateways[0]
    new = Gateway(settings(number=0, **bed.changes), 99, bed.now)
    restore(new, unpack(_state(bed)), bed.now)
    assert old.buckets and old.leases and old.fallback.copies and old.fallback.settlement.local_counts
    assert new.buckets == old.buckets
    assert new.leases and new.leases == {n: v for n, v in old.leases.items() if n[0] != 0}
    assert (new.fallback.copies == old.fallback.copies
            and new.fallback.settlement.local_counts == old.fallback.settlement.local_counts)
    assert new.fallback.settlement.incarnation == old.fallback.settlement.incarnation
    assert {o: list(k) for o, k in new.fallback.settlement.unconfirmed.items()} == {
        o: list(k) for o, k in old.fallback.settlement.unconfirmed.items()}
    assert {n: s.judgements for n, s in new.servers.items()} == {
        n: s.judgements for n, s in old.servers.items()
    }
    assert new.start(bed.now) and not any(isinstance(a, io.SendToPeer) for a in new.actions), (
        "a gateway that continues with transferred state announces no start to its peers"
    )


def test_plans_and_classes_are_matched_by_name(tmp_path: Path) -> None:
    """The new process has another configuration: numbers differ, and state of unknown plans is dropped."""
    bed = _used()
    old, original = bed.gateways[0], settings(number=0, **bed.changes)
    reordered = settings(number=0, plans=tuple(reversed(original.plans)),
                         classes=tuple(reversed(original.classes)), **bed.changes)
    new = Gateway(reordered, 99, bed.now)
    restore(new, unpack(_state(bed)), bed.now)
    for key, (plan, bucket) in old.buckets.items():
        assert reordered.plans[new.buckets[key][0]] == original.plans[plan]
        assert new.buckets[key][1] == bucket
    unrelated = Gateway(settings(number=0, plans=(io.Plan("other", 1.0, 1.0),), **bed.changes), 99, bed.now)
    restore(unrelated, unpack(_state(bed)), bed.now)
    assert (not unrelated.buckets and not unrelated.fallback.copies
            and not unrelated.fallback.settlement.local_counts and not unrelated.leases)


def test_truncated_state_or_state_of_another_version_is_rejected() -> None:
    state = _state(_used())
    for at in range(0, len(state), 7):
        with pytest.raises(HandoverStateError):
            unpack(state[:at])
    with pytest.raises(HandoverStateError, match="version"):
        unpack(state.replace(b"\xa7version\x01", b"\xa7version\x02", 1))
