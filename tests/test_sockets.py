"""Tests of the running program over its sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from tests.standins import ROOT, Cluster, Discovery, ask, http, job, read_answer, served


def test_a_job_is_served_with_the_bytes_of_the_execute_node(tmp_path: Path) -> None:
    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            order = job("00000000000000aa", "place-order", body=b"{}")
            status, _, body = await ask(cluster.limiters[0].port, order)
            assert (status, body) == (200, b"done 00000000000000aa")
            assert cluster.attempts() == {"00000000000000aa": 1}
    asyncio.run(go())


@pytest.mark.parametrize("text,status", [
    ("nonsense\r\n\r\n", 400), (job(service="stock-check").replace("stock-check", "no-such"), 400),
    (job(plan="none"), 400), (job().replace("Account: 0", "Account: x"), 400),
    (job().replace("X-Time-Left: 3.000", "X-Time-Left: nan"), 400),
    (job().replace("spread=1", "spread=0"), 400), (job().replace("spread=1", "spread=9"), 400),
    (job().replace("units=1", "units=-40"), 400), (job().replace("units=1", "units=1e12"), 400),
    (job().replace("3.000", "1_0"), 400), (job(account=1 << 33), 400), (job(name=" "), 400),
    (job().replace("Plan: wide", "Plan: wide\r\nPlan: slow"), 400),
    (job(service="place-order").replace("Content-", "Transfer-Encoding: chunked\r\nContent-") + "0\r\n\r\n"
     + job(), 400),
    (job().replace("GET", "POST", 1), 400)])
def test_an_invalid_request_is_rejected(tmp_path: Path, text: str, status: int) -> None:
    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            assert (await ask(cluster.limiters[0].port, text))[0] == status
            assert (await ask(cluster.limiters[0].port, job()))[0] == 200, "the next request is served"
            assert cluster.attempts().total() == 1
    asyncio.run(go())


def test_silent_connections_are_closed_and_do_not_block_clients(tmp_path: Path) -> None:
    """Guards against silent connections that stay open, and a sweep that aborts a first request."""
    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            port = cluster.limiters[0].port
            slow_reader, slow = await asyncio.open_connection("127.0.0.1", port)
            text = job(service="place-order", body=b"{}").encode()
            slow.write(text[:-1])
            silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(700)]
            half_reader, half = await asyncio.open_connection("127.0.0.1", port)
            half.write(text[:40])
            assert (await ask(port, job()))[0] == 200
            slow.write(text[-1:])
            assert (await read_answer(slow_reader))[0] == 200
            assert b" 408 " in await asyncio.wait_for(half_reader.read(), 8), (
                "an incomplete request is answered with 408 before the connection is closed")
            for reader, _ in silent:
                try:
                    assert await asyncio.wait_for(reader.read(), 8) == b""
                except ConnectionResetError:
                    pass
            assert (await cluster.limiters[0].counters())["closed.for_room"] >= 700 - 594
    asyncio.run(go())


def test_the_number_of_idle_client_connections_is_limited(tmp_path: Path) -> None:
    """Guards against clients whose idle connections leave no descriptor for the next client."""
    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            idle_connections = []
            for _ in range(120):
                reader, writer = await asyncio.open_connection("127.0.0.1", cluster.limiters[0].port)
                writer.write(job().encode())
                status, headers, _ = await read_answer(reader)
                idle_connections.append((headers.get("connection", "keep"), writer))
                assert status == 200
            assert [word for word, _ in idle_connections] == ["keep"] * 102 + ["close"] * 18
    asyncio.run(go())


def test_bytes_after_an_answer_are_not_taken_as_the_next_answer(tmp_path: Path) -> None:
    """A second answer on the same connection, at once or later, must not be served to the next job."""
    async def more(headers: dict[str, str], body: bytes) -> bytes:
        return await served(headers, body) + http(200, b"another's")

    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            for node in cluster.nodes:
                node.reply, node.trailing_bytes = more, http(200, b"late")
            for n in range(6):
                name = f"{n:016x}"
                assert (await ask(cluster.limiters[0].port, job(name)))[2] == b"done " + name.encode()
                cluster.nodes[n % 2].reply = served
                await asyncio.sleep(0.05)
            assert set(cluster.attempts().values()) == {1}
    asyncio.run(go())


@pytest.mark.parametrize("invalid", [
    b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok", b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 99999,
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\nok", b"\0" * 99,
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"])
def test_an_invalid_answer_is_a_failed_attempt_and_is_not_served(tmp_path: Path, invalid: bytes) -> None:
    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            async def once(headers: dict[str, str], body: bytes) -> bytes:
                first = cluster.attempts()[headers["x-correlation-id"]] == 1
                return invalid if first else await served(headers, body)

            for node in cluster.nodes:
                node.reply = once
            for _ in range(2):
                assert (await ask(cluster.limiters[0].port, job()))[2].startswith(b"done ")
            counts = await cluster.limiters[0].counters()
            assert counts["errors.spoilt_answer"] == counts["outcome.reset"] == counts["outcome.ok"] == 2
    asyncio.run(go())


def test_informational_answers_are_skipped(tmp_path: Path) -> None:
    async def with_informational(headers: dict[str, str], body: bytes) -> bytes:
        hints = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
        return hints + await served(headers, body)

    async def go() -> None:
        async with Cluster(tmp_path, nodes=1) as cluster:
            cluster.nodes[0].reply = with_informational
            assert ((await ask(cluster.limiters[0].port, job("00000000000000aa")))[2]
                    == b"done 00000000000000aa")
    asyncio.run(go())


def test_a_new_node_at_a_known_address_gets_a_new_connection(tmp_path: Path) -> None:
    async def go() -> None:
        async with Cluster(tmp_path, nodes=1) as cluster:
            assert (await ask(cluster.limiters[0].port, job()))[0] == 200
            old, new = cluster.nodes[0].entry("removed"), {**cluster.nodes[0].entry(), "instanceId": "s-new"}
            cluster.discovery.publish(2, old, new)
            await asyncio.sleep(0.3)
            assert (await ask(cluster.limiters[0].port, job()))[0] == 200
            assert (await cluster.limiters[0].counters())["dialled"] == 2
    asyncio.run(go())


def test_a_client_that_is_still_sending_receives_413(tmp_path: Path) -> None:
    """Closing the connection with unread bytes resets it, and the client never reads the answer."""
    def send_all_then_read(port: int) -> bytes:
        with socket.create_connection(("127.0.0.1", port), timeout=10) as s:
            text = job(service="place-order", body=b"x" * 200000).encode().replace(
                b"Content-Length: 200000", b"Content-Length: 60000000")
            for start in range(0, len(text), 50000):
                s.sendall(text[start:start + 50000])
                time.sleep(0.05)
            return s.recv(65536)

    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            answer = await asyncio.to_thread(send_all_then_read, cluster.limiters[0].port)
            assert answer.startswith(b"HTTP/1.1 413 ")
    asyncio.run(go())


def test_an_exceeded_quota_is_429_with_retry_after(tmp_path: Path) -> None:
    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            answers = [await ask(cluster.limiters[0].port, job(plan="slow")) for _ in range(12)]
            assert [a[0] for a in answers] == [200] * 10 + [429] * 2
            assert float(answers[-1][1]["retry-after"]) == pytest.approx(0.5)
    asyncio.run(go())


def test_unprocessed_requests_move_and_uncertain_ones_stay_in_their_cell(tmp_path: Path) -> None:
    async def unprocessed(headers: dict[str, str], body: bytes) -> bytes:
        return http(503, b"", "X-Unprocessed: 1")

    async def broken(headers: dict[str, str], body: bytes) -> None:
        return None

    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            cluster.nodes[0].reply = unprocessed
            answers = [await ask(cluster.limiters[0].port, job(service="place-order")) for _ in range(6)]
            assert {a[0] for a in answers} == {200}
            cluster.nodes[1].cell = 1
            cluster.discovery.publish(2, cluster.nodes[1].entry())
            cluster.nodes[0].reply = cluster.nodes[1].reply = broken
            await asyncio.sleep(0.2)
            before = cluster.attempts()
            order = job("00000000000000bb", "place-order", left=1.0)
            assert (await ask(cluster.limiters[0].port, order))[0] == 502
            tried = [n.name for n in cluster.nodes if n.attempts["00000000000000bb"]]
            assert len(tried) == 1 and (cluster.attempts() - before).total() >= 1
    asyncio.run(go())


def test_a_stale_pooled_connection_causes_no_second_attempt(tmp_path: Path) -> None:
    """The node closes after each answer; a request on the closed connection would end as a reset."""
    async def once(headers: dict[str, str], body: bytes) -> bytes:
        return http(200, b"ok", "Connection: close")

    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            for node in cluster.nodes:
                node.reply = once
            for _ in range(8):
                assert (await ask(cluster.limiters[0].port, job(service="place-order")))[0] == 200
            assert set(cluster.attempts().values()) == {1}
            assert "outcome.reset" not in await cluster.limiters[0].counters()
    asyncio.run(go())


def test_connections_found_closed_shorten_the_trusted_idle_time(tmp_path: Path) -> None:
    async def go() -> None:
        async with Cluster(tmp_path, nodes=1) as cluster:
            async def break_reused(headers: dict[str, str], body: bytes) -> bytes | None:
                # The first job on a connection is served, the next one breaks it.
                fresh = (await cluster.limiters[0].counters())["dialled"] > dialled[0]
                dialled[0] += fresh
                return await served(headers, body) if fresh else None

            dialled, cluster.nodes[0].reply = [0], break_reused
            for _ in range(12):
                assert (await ask(cluster.limiters[0].port, job()))[0] == 200
                await asyncio.sleep(0.1)
            assert 1 <= (await cluster.limiters[0].counters())["errors.stale_connection"] <= 10
            assert set(cluster.attempts().values()) <= {1, 2}
    asyncio.run(go())


def test_the_watch_resumes_at_its_version_and_a_draining_node_gets_no_jobs(tmp_path: Path) -> None:
    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            cluster.discovery.publish(5, cluster.nodes[0].entry("draining"))
            await asyncio.sleep(0.3)
            cluster.discovery.disconnect_watchers()
            for _ in range(4):
                assert (await ask(cluster.limiters[0].port, job()))[0] == 200
            assert not cluster.nodes[0].attempts and cluster.nodes[1].attempts.total() == 4
            await asyncio.sleep(0.3)
            assert cluster.discovery.watched_from[0] == 1 and cluster.discovery.watched_from[-1] == 5
    asyncio.run(go())


def test_a_disconnected_client_ends_its_job(tmp_path: Path) -> None:
    async def silent(headers: dict[str, str], body: bytes) -> None:
        await asyncio.sleep(30)

    async def go() -> None:
        async with Cluster(tmp_path, nodes=1) as cluster:
            cluster.nodes[0].reply = silent
            _, writer = await asyncio.open_connection("127.0.0.1", cluster.limiters[0].port)
            writer.write(job(left=2.0).encode())
            await asyncio.sleep(0.3)
            writer.close()
            await asyncio.sleep(0.3)
            assert (await cluster.limiters[0].counters())["gone"] == 1
            await asyncio.sleep(2.0)
            assert (await cluster.limiters[0].counters())["answered.nobody"] == 1
    asyncio.run(go())


def test_garbage_datagrams_are_counted_and_dropped(tmp_path: Path) -> None:
    async def go() -> None:
        async with Cluster(tmp_path, limiters=2) as cluster:
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, remote_addr=("127.0.0.1", cluster.peers[0]))
            for data in (b"\xb1", b"x" * 256, b"x" * 2000):
                transport.sendto(data)
            await asyncio.sleep(0.2)
            transport.close()
            assert (await cluster.limiters[0].counters())["peer.dropped"] == 3
            assert (await ask(cluster.limiters[0].port, job(spread=2)))[0] == 200
    asyncio.run(go())


def test_sigterm_finishes_accepted_jobs_and_accepts_late_ones(tmp_path: Path) -> None:
    async def slow(headers: dict[str, str], body: bytes) -> bytes:
        await asyncio.sleep(0.8)
        return await served(headers, body)

    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            for node in cluster.nodes:
                node.reply = slow
            limiter = cluster.limiters[0]
            idle, _ = await asyncio.open_connection("127.0.0.1", limiter.port)
            client_reader, client = await asyncio.open_connection("127.0.0.1", limiter.port)
            client.write(job().encode())
            await asyncio.sleep(0.2)
            stopped = asyncio.ensure_future(limiter.stop())
            await asyncio.sleep(0.2)
            late = asyncio.ensure_future(ask(limiter.port, job()))
            status, headers, _ = await read_answer(client_reader)
            assert (status, headers["connection"]) == (200, "close")
            assert (await late)[0] == 200
            assert await idle.read() == b""
            assert await stopped == 0
            counts = json.loads(limiter.errors.decode().splitlines()[-1])["counts"]
            assert counts["answered.served"] == counts["taken.http.stock-check"] == 2
    asyncio.run(go())


def test_a_silent_watch_is_reopened(tmp_path: Path) -> None:
    """A watch that stays open without data must not hide drains from the limiter."""
    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            while not cluster.discovery.watched_from:          # a later watch gets the update at once
                await asyncio.sleep(0.01)
            cluster.discovery.muted = True
            cluster.discovery.publish(4, cluster.nodes[0].entry("draining"))
            for _ in range(100):
                await asyncio.sleep(0.1)
                if len(cluster.discovery.watched_from) > 1 and (
                        await cluster.limiters[0].counters()).get("list.changes"):
                    break
            assert cluster.discovery.watched_from[:2] == [1, 1]
            for _ in range(5):
                assert (await ask(cluster.limiters[0].port, job()))[0] == 200
            assert cluster.nodes[0].attempts.total() == 0
    asyncio.run(go())


def test_sighup_changes_the_watched_discovery_and_an_invalid_file_keeps_the_old_one(tmp_path: Path) -> None:
    """Guards against SIGHUP ending the program; another discovery may number its lists from the start."""
    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            limiter, old, new = cluster.limiters[0], cluster.discovery, Discovery()
            assert limiter.process is not None
            old.publish(9, cluster.nodes[1].entry("draining"))
            await new.start()
            path = limiter.config()
            text = path.read_text()
            for bad in ("{", text.replace('"settings"', '"nothing"')):
                path.write_text(bad)
                limiter.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.2)
            assert (await limiter.counters())["config.rejected"] == 2 and old.watched_from == [1]
            cluster.discovery = new
            limiter.config()
            limiter.process.send_signal(signal.SIGHUP)
            new.publish(3, cluster.nodes[0].entry("draining"), cluster.nodes[1].entry())
            await asyncio.sleep(0.5)
            assert new.watched_from == [0] and not old.writers
            before = cluster.nodes[0].attempts.total()
            for _ in range(5):
                assert (await ask(limiter.port, job()))[0] == 200
            assert (before, cluster.nodes[1].attempts.total()) == (cluster.nodes[0].attempts.total(), 5)
            assert await limiter.stop() == 0
    asyncio.run(go())


@pytest.mark.parametrize("text", ["", "{", '{"settings":{}}', '{"settings":{"limits":1}}'])
def test_an_invalid_configuration_prints_one_line_and_exits_with_2(tmp_path: Path, text: str) -> None:
    path = tmp_path / "c.json"
    path.write_text(text)
    env = {**os.environ, "EDGE_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
    done = subprocess.run([sys.executable, "-m", "larklb", "serve"], env=env, capture_output=True, timeout=60)
    assert done.returncode == 2 and done.stderr.startswith(b"larklb: ") and done.stderr.count(b"\n") == 1


def test_an_address_in_use_prints_one_line_and_exits_with_1(tmp_path: Path) -> None:
    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            other_cluster = Cluster(tmp_path / "twin")
            other_cluster.folder.mkdir()
            # A silent discovery would log a line.
            other_cluster.discovery.publish(2, other_cluster.nodes[0].entry())
            await other_cluster.discovery.start()
            other_cluster.limiters[0].port = cluster.limiters[0].port
            path = other_cluster.limiters[0].config()
            env = {**os.environ, "EDGE_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
            command = [sys.executable, "-m", "larklb", "serve"]
            done = await asyncio.to_thread(subprocess.run, command, env=env, capture_output=True, timeout=60)
            assert done.returncode == 1 and b"already in use" in done.stderr
            assert done.stderr.count(b"\n") == 1
    asyncio.run(go())


def test_the_agent_restarts_a_killed_instance_and_drains_on_exit(tmp_path: Path) -> None:
    async def go() -> None:
        cluster = Cluster(tmp_path, limiters=2, second_front=False)
        await cluster.discovery.start()
        for limiter in cluster.limiters:
            limiter.config()
        env = {**os.environ, "PYTHONPATH": str(ROOT)}
        command = (sys.executable, "-m", "larklb")
        agent = await asyncio.create_subprocess_exec(*command, "agent", str(cluster.operator()), env=env,
                                                     stderr=asyncio.subprocess.PIPE)
        try:
            for limiter in cluster.limiters:
                await limiter.ready()
            status = await asyncio.create_subprocess_exec(
                *command, "status", str(cluster.operator()), env=env, stdout=asyncio.subprocess.PIPE)
            lines = (await status.communicate())[0].splitlines()
            assert [json.loads(line)["name"] for line in lines] == ["n0", "n1"] and status.returncode == 0
            assert agent.stderr is not None
            while b"n0 started as" not in (line := await agent.stderr.readline()):
                assert line
            os.kill(int(line.split()[-1]), signal.SIGKILL)
            while b"n0 ended with -9" not in (line := await agent.stderr.readline()):
                assert line
            await cluster.limiters[0].ready()
            agent.send_signal(signal.SIGHUP)
            renewed: list[bytes] = []
            while len(renewed) < 2:
                line = await agent.stderr.readline()
                renewed += [line.split()[2]] if b"drained with 0" in line else []
                assert line and b"ended with" not in line
            assert renewed == [b"n0", b"n1"]
            await cluster.limiters[1].ready()
        finally:
            agent.send_signal(signal.SIGTERM)
            _, errors = await asyncio.wait_for(agent.communicate(), 30)
        assert agent.returncode == 0 and errors.count(b"drained with 0") == 2
    asyncio.run(go())
