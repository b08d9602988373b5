"""The administrative address: statistics, drain and reload, on a running process reached over sockets."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from larklb import interface as io
from larklb.net.console import MAX_CONSOLE_CONNECTIONS
from larklb.phase import IDLE_CLOSE_DELAY, Phase, State
from larklb.settings_mapping import settings_for_reload
from tests.conftest import settings
from tests.standins import Cluster, Discovery, Limiter, ask, free_port, http, job, read_answer, served


async def call(port: int, text: bytes) -> tuple[str, float]:
    """Returns the whole answer of the administrative address to `text`, and the seconds that it took."""
    started_at = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(text)
    answer = (await asyncio.wait_for(reader.read(), 20)).decode()
    writer.close()
    return answer, time.monotonic() - started_at


async def figures(port: int) -> dict[str, Any]:
    text, terminator, rest = (await call(port, b"STATS\r\n"))[0].split("\r\n")
    assert (terminator, rest) == (".", "")
    statistics: dict[str, Any] = json.loads(text)
    return statistics


def with_console(cluster: Cluster) -> int:
    port = free_port()
    cluster.limiters[0].environment["EDGE_ADMIN"] = f"127.0.0.1:{port}"
    return port


def test_phase_transitions_match_the_rules_for_all_sequences_of_four() -> None:
    """Compares the transition table with the rules as plain conditions, for all sequences of four moves."""
    for moves in itertools.product(("started", "drain", "undrain", "stop"), repeat=4):
        phase, stopped, drained, started = Phase(0.0), False, False, False
        for n, move in enumerate(moves, 1):
            done = phase.move(move, float(n))
            expected = {"started": not (started or drained or stopped), "drain": not stopped, "stop": True,
                        "undrain": not stopped and (started or drained)}[move]
            assert done is expected, (moves, n)
            if done:
                stopped = stopped or move == "stop"
                drained = (drained or move == "drain") and move != "undrain"
                started = started or move in ("started", "undrain")
            assert phase.ready is (started and not drained and not stopped), (moves, n)
            assert phase.leaving is (drained or stopped), (moves, n)


def test_repeated_drain_keeps_the_time_of_the_first() -> None:
    phase = Phase(0.0)
    phase.move("started", 0.0)
    assert phase.move("drain", 100.0) and phase.move("drain", 100.0 + IDLE_CLOSE_DELAY - 1)
    assert (not phase.closes_idle_connections(100.0 + IDLE_CLOSE_DELAY - 1)
            and phase.closes_idle_connections(100.0 + IDLE_CLOSE_DELAY))
    assert phase.state is State.DRAINING


@pytest.mark.parametrize("text", [
    b"NONSENSE\n", b"\n", b"stats\n", b"STATS now\n", b"READY" + b"x" * 200 + b"\n", b"x" * 5000,
    b"\xff\xfe\x00\n", b"STATS\nDRAIN\n", b"DRAIN\nDRAIN\n"])
def test_malformed_command_is_rejected_and_has_no_effect(tmp_path: Path, text: bytes) -> None:
    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            port = with_console(cluster)
            cluster.limiters[0].port = free_port()
            await cluster.limiters[0].stop()
            await cluster.limiters[0].start()
            try:
                answer, _ = await call(port, text)
            except ConnectionResetError:
                answer = "-ERR closed"
            assert answer.startswith("-ERR ") and answer.count("\n") <= 1
            assert (await call(port, b"READY\r\n"))[0] == "+OK ready\r\n"
            assert (await ask(cluster.limiters[0].port, job()))[0] == 200
    asyncio.run(go())


def test_idle_console_connections_do_not_block_commands(tmp_path: Path) -> None:
    """Connections are limited: one without a complete command is closed when another needs its place."""
    async def go() -> None:
        cluster = Cluster(tmp_path)
        port = with_console(cluster)
        async with cluster:
            held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(60)]
            for _, writer in held[::2]:
                writer.write(b"STA")
            for text in (b"READY\n", b"STATS\n") * 5:
                answer, took = await call(port, text)
                assert answer.startswith(("+OK ready", '{"responses"')) and took < 1.0
            assert (await cluster.limiters[0].counters())["console.for_room"] >= 60 - MAX_CONSOLE_CONNECTIONS
    asyncio.run(go())


def test_address_in_use_fails_the_start_with_one_error_line(tmp_path: Path) -> None:
    async def go() -> None:
        cluster = Cluster(tmp_path)
        port = with_console(cluster)
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", port)
        limiter = cluster.limiters[0]
        with pytest.raises(AssertionError):
            await limiter.start()
        assert await limiter.stop() == 1
        assert limiter.errors.decode().startswith("larklb: ") and limiter.errors.count(b"\n") == 1
        server.close()
    asyncio.run(go())


def test_statistics_match_the_counts_of_clients_and_nodes(tmp_path: Path) -> None:
    """Covers refusals, failures, retries and clients that disconnect, by class."""
    async def go() -> None:
        cluster = Cluster(tmp_path, nodes=2)
        port = with_console(cluster)
        async with cluster:
            limiter = cluster.limiters[0]
            assert (await figures(port))["responses"] == {
                c: {"ok": 0, "shed": 0, "errors": 0} for c in ("stock-check", "place-order")}

            async def refuse_first_attempt(headers: dict[str, str], body: bytes) -> bytes:
                if cluster.attempts()[headers["x-correlation-id"]] == 1:
                    return http(503, b"", "X-Unprocessed: 1")
                return await served(headers, body)

            async def always_fail(headers: dict[str, str], body: bytes) -> bytes:
                return http(500)

            async def reply_late(headers: dict[str, str], body: bytes) -> bytes:
                await asyncio.sleep(0.5)
                return await served(headers, body)

            statuses: dict[str, list[int]] = {"stock-check": [], "place-order": []}

            async def send_jobs(service: str, times: int, **options: Any) -> None:
                for _ in range(times):
                    statuses[service].append((await ask(limiter.port, job(service=service, **options)))[0])

            await send_jobs("stock-check", 5)
            cluster.nodes[0].reply = cluster.nodes[1].reply = refuse_first_attempt
            await send_jobs("stock-check", 3)
            await send_jobs("place-order", 2)
            cluster.nodes[0].reply = cluster.nodes[1].reply = always_fail
            await send_jobs("place-order", 2)
            cluster.nodes[0].reply = cluster.nodes[1].reply = served
            await send_jobs("stock-check", 14, plan="slow", account=9)
            cluster.nodes[0].reply = cluster.nodes[1].reply = reply_late
            _, writer = await asyncio.open_connection("127.0.0.1", limiter.port)
            writer.write(job(service="place-order").encode())
            await asyncio.sleep(0.2)
            assert (await figures(port))["active"] == 1
            writer.close()
            await asyncio.sleep(0.8)

            statistics = await figures(port)
            for service, received in statuses.items():
                counted = statistics["responses"][service]
                assert (counted["ok"], counted["shed"], counted["errors"]) == (
                    received.count(200), sum(s in (429, 503) for s in received),
                    sum(s in (500, 502) for s in received)), service
            assert statuses["stock-check"].count(429) == 4
            assert statistics["tries"] == cluster.attempts().total()
            assert (statistics["active"], statistics["pool_size"], statistics["pool_ejected"]) == (0, 2, 0)
    asyncio.run(go())


async def _drain(limiter: Limiter, port: int) -> None:
    assert (await call(port, b"DRAIN\n"))[0].startswith("+OK")
    assert (await ask(limiter.port, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 503
    assert (await call(port, b"READY\n"))[0] == "-ERR draining\r\n"


def test_drained_limiter_closes_its_connections_and_serves_again_after_undrain(tmp_path: Path) -> None:
    async def go() -> None:
        cluster = Cluster(tmp_path)
        port = with_console(cluster)
        async with cluster:
            limiter = cluster.limiters[0]

            async def reply_late(headers: dict[str, str], body: bytes) -> bytes:
                await asyncio.sleep(0.4)
                return await served(headers, body)

            async def open_kept_alive() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
                reader, writer = await asyncio.open_connection("127.0.0.1", limiter.port)
                writer.write(job().encode())
                assert (await read_answer(reader))[0] == 200
                return reader, writer

            idle, used, busy = [await open_kept_alive() for _ in range(3)]
            cluster.nodes[0].reply = cluster.nodes[1].reply = reply_late
            busy[1].write(job().encode())
            await asyncio.sleep(0.1)
            await _drain(limiter, port)
            used[1].write(job().encode())
            # A job that arrives while draining is served, and its connection is closed after the answer.
            for reader, _ in (used, busy):
                status, headers, _ = await read_answer(reader)
                assert (status, headers.get("connection")) == (200, "close")
            assert await asyncio.wait_for(idle[0].read(), 3) == b""
            assert limiter.process is not None and limiter.process.returncode is None
            assert (await call(port, b"UNDRAIN\n"))[0].startswith("+OK")
            assert (await ask(limiter.port, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
            cluster.nodes[0].reply = cluster.nodes[1].reply = served
            reopened = await open_kept_alive()
            await asyncio.sleep(1.2)
            reopened[1].write(job().encode())
            assert (await read_answer(reopened[0]))[0] == 200, (
                "connections are kept alive again after UNDRAIN")
            await _drain(limiter, port)
            assert await limiter.stop() == 0
    asyncio.run(go())


def _edited(change: Callable[[dict[str, Any]], object]) -> Callable[[dict[str, Any]], bytes]:
    def text(config: dict[str, Any]) -> bytes:
        change(config)
        return json.dumps(config).encode()
    return text


def _first_class(config: dict[str, Any]) -> dict[str, Any]:
    first: dict[str, Any] = config["settings"]["classes"][0]
    return first


BROKEN: dict[str, Callable[[dict[str, Any]], bytes]] = {
    "empty": lambda c: b"", "no object": lambda c: b"[]", "cut short": lambda c: json.dumps(c).encode()[:-40],
    "a text": _edited(lambda c: _first_class(c).update(deadline="4000")),
    "true": _edited(lambda c: _first_class(c).update(deadline=True)),
    "null": _edited(lambda c: _first_class(c).update(deadline=None)),
    "below 0": _edited(lambda c: _first_class(c).update(deadline=-4000)),
    "huge": _edited(lambda c: _first_class(c).update(aim=1e308 * 10)),
    "no attempts": _edited(lambda c: c["settings"]["limits"].update(max_attempts=0)),
    "attempts as a list": _edited(lambda c: c["settings"]["limits"].update(max_attempts=[4])),
    "no classes": _edited(lambda c: c["settings"].update(classes=[])),
    "no deadline": _edited(lambda c: _first_class(c).pop("deadline")),
    **{f"no {name}": _edited(lambda c, name=name: c.pop(name)) for name in (      # type: ignore[misc]
        "settings", "discovery", "limits", "peers", "peer_listen", "listen", "seed")},
    **{f"no {name} in the settings": _edited(
        lambda c, name=name: c["settings"].pop(name))   # type: ignore[misc]
       for name in ("classes", "tariffs", "limits", "safety", "family_info", "ordinal", "tick")},
    "no inner key": _edited(lambda c: c["settings"]["family_info"].pop("inbox_per_s")),
}


async def _reload(cluster: Cluster, text: bytes) -> None:
    limiter = cluster.limiters[0]
    (cluster.folder / "n0.json").write_bytes(text)
    assert limiter.process is not None
    limiter.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.1)


def test_invalid_configuration_file_is_rejected_as_a_whole(tmp_path: Path) -> None:
    """Each file also names another discovery address and an extra class: none of it may take effect."""
    async def go() -> None:
        cluster, other = Cluster(tmp_path), Discovery()
        port = with_console(cluster)
        await other.start()
        async with cluster:
            good = json.loads((tmp_path / "n0.json").read_text())
            for n, (case, text) in enumerate(BROKEN.items(), 1):
                config = json.loads(json.dumps(good))
                config["discovery"] = f"127.0.0.1:{other.port}"
                config["settings"]["classes"].append({**_first_class(config), "name": "extra"})
                await _reload(cluster, text(config))
                statistics = await figures(port)
                assert (statistics["config_applied"], statistics["config_rejected"]) == (0, n), case
            assert (sorted(statistics["responses"]) == ["place-order", "stock-check"]
                    and not other.watched_from)
            assert (await ask(cluster.limiters[0].port, job(service="extra")))[0] == 400
            assert (await ask(cluster.limiters[0].port, job()))[0] == 200
            await cluster.limiters[0].stop()
            lines = cluster.limiters[0].errors.decode().splitlines()
            assert sum("the old configuration stays" in line for line in lines) == len(BROKEN)
    asyncio.run(go())


def test_reload_adds_and_removes_classes_and_running_jobs_keep_theirs(tmp_path: Path) -> None:
    async def go() -> None:
        cluster = Cluster(tmp_path)
        port = with_console(cluster)
        async with cluster:
            limiter = cluster.limiters[0]
            config = json.loads((tmp_path / "n0.json").read_text())

            async def reply_late(headers: dict[str, str], body: bytes) -> bytes:
                await asyncio.sleep(0.8)
                return await served(headers, body)

            cluster.nodes[0].reply = cluster.nodes[1].reply = reply_late
            running = asyncio.ensure_future(ask(limiter.port, job(service="place-order")))
            await asyncio.sleep(0.2)
            stock, _ = config["settings"]["classes"]
            config["settings"]["classes"] = [stock, {**stock, "name": "once-only", "semantics": "once"}]
            config["settings"]["limits"]["max_attempts"] = 1
            await _reload(cluster, json.dumps(config).encode())
            once = job(service="stock-check").replace("GET /stock-check", "POST /once-only").replace(
                "X-Service-Class: stock-check", "X-Service-Class: once-only\r\nContent-Length: 0")
            assert (await ask(limiter.port, once))[0] == 200
            assert (await ask(limiter.port, job(service="place-order")))[0] == 400
            assert (await running)[0] == 200

            async def refuse(headers: dict[str, str], body: bytes) -> bytes:
                return http(503, b"", "X-Unprocessed: 1")

            cluster.nodes[0].reply = cluster.nodes[1].reply = refuse
            before = cluster.attempts().total()
            assert (await ask(limiter.port, job()))[0] == 503
            assert cluster.attempts().total() == before + 1, "the new configuration allows a single attempt"
            statistics = await figures(port)
            assert statistics["responses"]["place-order"]["ok"] == 1 and statistics["config_applied"] == 1
            assert statistics["responses"]["once-only"]["ok"] == 1
    asyncio.run(go())


def test_reload_keeps_plan_numbers_and_fixed_settings() -> None:
    """Buckets and peers identify a plan by its number; the number of classes over all reloads is bounded."""
    old = settings(number=1, gateways=3)
    new = settings(number=0, gateways=2, plans=(io.Plan("new", 1.0, 1.0), io.Plan("open", most_open=9)))
    merged = settings_for_reload(old, new, ("read", "write"))
    assert [p.name for p in merged.plans] == ["rate", "open", "free", "new"] and (
        merged.plans[1].most_open == 9)
    assert (merged.number, merged.gateways) == (1, 3)
    with pytest.raises(ValueError, match="restart"):
        settings_for_reload(old, new, [f"c{n}" for n in range(io.MAX_TOPICS)])


def test_plan_with_changed_limits_keeps_the_state_of_its_buckets(tmp_path: Path) -> None:
    """A spent burst of 10 stays spent after the plan changes to a burst of 20."""
    async def go() -> None:
        cluster = Cluster(tmp_path)
        async with cluster:
            limiter = cluster.limiters[0]
            first = [(await ask(limiter.port, job(plan="slow", account=7)))[0] for _ in range(12)]
            config = json.loads((tmp_path / "n0.json").read_text())
            config["settings"]["tariffs"] = [{"name": "new", "quota_rate": 1.0, "depth": 3.0},
                                             {"name": "slow", "quota_rate": 0.001, "depth": 20.0}]
            await _reload(cluster, json.dumps(config).encode())
            second = [(await ask(limiter.port, job(plan="slow", account=7)))[0] for _ in range(3)]
            third = [(await ask(limiter.port, job(plan="new", account=8)))[0] for _ in range(5)]
            assert (first.count(200), second.count(200), third.count(200)) == (10, 0, 3)
            assert (await ask(limiter.port, job(plan="wide")))[0] == 400
    asyncio.run(go())
