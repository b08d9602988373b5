"""The operators' day: second address, figures, drain.  The program started and spoken to over sockets."""

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
from tests.standins import Discovery, Limiter, Yard, ask, free_port, http, job, read_answer, served


async def call(port: int, text: bytes) -> tuple[str, float]:
    """The whole answer to what is written to the second address, and the seconds that it took."""
    began = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(text)
    answer = (await asyncio.wait_for(reader.read(), 20)).decode()
    writer.close()
    return answer, time.monotonic() - began


async def figures(port: int) -> dict[str, Any]:
    text, stop, end = (await call(port, b"STATS\r\n"))[0].split("\r\n")
    assert (stop, end) == (".", "")
    found: dict[str, Any] = json.loads(text)
    return found


def with_console(yard: Yard) -> int:
    port = free_port()
    yard.limiters[0].environment["EDGE_ADMIN"] = f"127.0.0.1:{port}"
    return port


def test_the_phases_are_a_table_and_nothing_else_is_possible() -> None:
    """All sequences of four moves against the rules said in plain words."""
    for moves in itertools.product(("started", "drain", "undrain", "stop"), repeat=4):
        phase, stopped, drained, started = Phase(0.0), False, False, False
        for n, move in enumerate(moves, 1):
            done = phase.move(move, float(n))
            sense = {"started": not (started or drained or stopped), "drain": not stopped, "stop": True,
                     "undrain": not stopped and (started or drained)}[move]
            assert done is sense, (moves, n)
            if done:
                stopped = stopped or move == "stop"
                drained = (drained or move == "drain") and move != "undrain"
                started = started or move in ("started", "undrain")
            assert phase.ready is (started and not drained and not stopped), (moves, n)
            assert phase.leaving is (drained or stopped), (moves, n)


def test_a_drain_told_twice_counts_from_the_first_time() -> None:
    phase = Phase(0.0)
    phase.move("started", 0.0)
    assert phase.move("drain", 100.0) and phase.move("drain", 100.0 + IDLE_CLOSE_DELAY - 1)
    assert (not phase.closes_idle_connections(100.0 + IDLE_CLOSE_DELAY - 1)
            and phase.closes_idle_connections(100.0 + IDLE_CLOSE_DELAY))
    assert phase.state is State.DRAINING


@pytest.mark.parametrize("text", [
    b"NONSENSE\n", b"\n", b"stats\n", b"STATS now\n", b"READY" + b"x" * 200 + b"\n", b"x" * 5000,
    b"\xff\xfe\x00\n", b"STATS\nDRAIN\n", b"DRAIN\nDRAIN\n"])
def test_what_is_no_call_is_told_so_and_does_nothing(tmp_path: Path, text: bytes) -> None:
    async def go() -> None:
        async with Yard(tmp_path) as yard:
            port = with_console(yard)
            yard.limiters[0].port = free_port()
            await yard.limiters[0].stop()
            await yard.limiters[0].start()
            try:
                answer, _ = await call(port, text)
            except ConnectionResetError:
                answer = "-ERR closed"
            assert answer.startswith("-ERR ") and answer.count("\n") <= 1
            assert (await call(port, b"READY\r\n"))[0] == "+OK ready\r\n"
            assert (await ask(yard.limiters[0].port, job()))[0] == 200
    asyncio.run(go())


def test_callers_that_say_nothing_keep_no_call_from_its_answer(tmp_path: Path) -> None:
    """Places are few: who holds one without a whole call goes when another call needs it."""
    async def go() -> None:
        yard = Yard(tmp_path)
        port = with_console(yard)
        async with yard:
            held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(60)]
            for _, writer in held[::2]:
                writer.write(b"STA")
            for text in (b"READY\n", b"STATS\n") * 5:
                answer, took = await call(port, text)
                assert answer.startswith(("+OK ready", '{"responses"')) and took < 1.0
            assert (await yard.limiters[0].counters())["console.for_room"] >= 60 - MAX_CONSOLE_CONNECTIONS
    asyncio.run(go())


def test_an_address_that_is_taken_ends_the_start_with_one_line(tmp_path: Path) -> None:
    async def go() -> None:
        yard = Yard(tmp_path)
        port = with_console(yard)
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", port)
        limiter = yard.limiters[0]
        with pytest.raises(AssertionError):
            await limiter.start()
        assert await limiter.stop() == 1
        assert limiter.errors.decode().startswith("larklb: ") and limiter.errors.count(b"\n") == 1
        server.close()
    asyncio.run(go())


def test_the_figures_are_those_that_submitters_and_nodes_counted(tmp_path: Path) -> None:
    """Refusals, failures, further attempts and submitters that leave, by class."""
    async def go() -> None:
        yard = Yard(tmp_path, nodes=2)
        port = with_console(yard)
        async with yard:
            limiter = yard.limiters[0]
            assert (await figures(port))["responses"] == {
                c: {"ok": 0, "shed": 0, "errors": 0} for c in ("stock-check", "place-order")}

            async def at_first_not(headers: dict[str, str], body: bytes) -> bytes:
                if yard.seen()[headers["x-correlation-id"]] == 1:
                    return http(503, b"", "X-Unprocessed: 1")
                return await served(headers, body)

            async def never(headers: dict[str, str], body: bytes) -> bytes:
                return http(500)

            async def late(headers: dict[str, str], body: bytes) -> bytes:
                await asyncio.sleep(0.5)
                return await served(headers, body)

            heard: dict[str, list[int]] = {"stock-check": [], "place-order": []}

            async def some(service: str, times: int, **more: Any) -> None:
                for _ in range(times):
                    heard[service].append((await ask(limiter.port, job(service=service, **more)))[0])

            await some("stock-check", 5)
            yard.nodes[0].reply = yard.nodes[1].reply = at_first_not
            await some("stock-check", 3)
            await some("place-order", 2)
            yard.nodes[0].reply = yard.nodes[1].reply = never
            await some("place-order", 2)
            yard.nodes[0].reply = yard.nodes[1].reply = served
            await some("stock-check", 14, plan="slow", account=9)
            yard.nodes[0].reply = yard.nodes[1].reply = late
            _, writer = await asyncio.open_connection("127.0.0.1", limiter.port)
            writer.write(job(service="place-order").encode())
            await asyncio.sleep(0.2)
            assert (await figures(port))["active"] == 1
            writer.close()
            await asyncio.sleep(0.8)

            told = await figures(port)
            for service, heard_here in heard.items():
                mine = told["responses"][service]
                assert (mine["ok"], mine["shed"], mine["errors"]) == (
                    heard_here.count(200), sum(s in (429, 503) for s in heard_here),
                    sum(s in (500, 502) for s in heard_here)), service
            assert heard["stock-check"].count(429) == 4
            assert told["tries"] == yard.seen().total()
            assert (told["active"], told["pool_size"], told["pool_ejected"]) == (0, 2, 0)
    asyncio.run(go())


async def _drained(limiter: Limiter, port: int) -> None:
    assert (await call(port, b"DRAIN\n"))[0].startswith("+OK")
    assert (await ask(limiter.port, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 503
    assert (await call(port, b"READY\n"))[0] == "-ERR draining\r\n"


def test_a_drained_limiter_lets_its_connections_go_and_comes_back(tmp_path: Path) -> None:
    async def go() -> None:
        yard = Yard(tmp_path)
        port = with_console(yard)
        async with yard:
            limiter = yard.limiters[0]

            async def late(headers: dict[str, str], body: bytes) -> bytes:
                await asyncio.sleep(0.4)
                return await served(headers, body)

            async def kept() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
                reader, writer = await asyncio.open_connection("127.0.0.1", limiter.port)
                writer.write(job().encode())
                assert (await read_answer(reader))[0] == 200
                return reader, writer

            idle, used, busy = [await kept() for _ in range(3)]
            yard.nodes[0].reply = yard.nodes[1].reply = late
            busy[1].write(job().encode())
            await asyncio.sleep(0.1)
            await _drained(limiter, port)
            used[1].write(job().encode())
            for reader, _ in (used, busy):       # what comes is served, and its connection ends with it
                status, headers, _ = await read_answer(reader)
                assert (status, headers.get("connection")) == (200, "close")
            assert await asyncio.wait_for(idle[0].read(), 3) == b""
            assert limiter.process is not None and limiter.process.returncode is None
            assert (await call(port, b"UNDRAIN\n"))[0].startswith("+OK")
            assert (await ask(limiter.port, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
            yard.nodes[0].reply = yard.nodes[1].reply = served
            again = await kept()
            await asyncio.sleep(1.2)
            again[1].write(job().encode())
            assert (await read_answer(again[0]))[0] == 200, "kept again"
            await _drained(limiter, port)
            assert await limiter.stop() == 0
    asyncio.run(go())


def _cut(change: Callable[[dict[str, Any]], object]) -> Callable[[dict[str, Any]], bytes]:
    def text(config: dict[str, Any]) -> bytes:
        change(config)
        return json.dumps(config).encode()
    return text


def _first_class(config: dict[str, Any]) -> dict[str, Any]:
    found: dict[str, Any] = config["settings"]["classes"][0]
    return found


BROKEN: dict[str, Callable[[dict[str, Any]], bytes]] = {
    "empty": lambda c: b"", "no object": lambda c: b"[]", "cut short": lambda c: json.dumps(c).encode()[:-40],
    "a text": _cut(lambda c: _first_class(c).update(deadline="4000")),
    "true": _cut(lambda c: _first_class(c).update(deadline=True)),
    "null": _cut(lambda c: _first_class(c).update(deadline=None)),
    "below 0": _cut(lambda c: _first_class(c).update(deadline=-4000)),
    "huge": _cut(lambda c: _first_class(c).update(aim=1e308 * 10)),
    "no attempts": _cut(lambda c: c["settings"]["limits"].update(max_attempts=0)),
    "attempts as a list": _cut(lambda c: c["settings"]["limits"].update(max_attempts=[4])),
    "no classes": _cut(lambda c: c["settings"].update(classes=[])),
    "no deadline": _cut(lambda c: _first_class(c).pop("deadline")),
    **{f"no {name}": _cut(lambda c, name=name: c.pop(name)) for name in (      # type: ignore[misc]
        "settings", "discovery", "limits", "peers", "peer_listen", "listen", "seed")},
    **{f"no {name} in the settings": _cut(lambda c, name=name: c["settings"].pop(name))   # type: ignore[misc]
       for name in ("classes", "tariffs", "limits", "safety", "family_info", "ordinal", "tick")},
    "no inner key": _cut(lambda c: c["settings"]["family_info"].pop("inbox_per_s")),
}


async def _reloaded(yard: Yard, text: bytes) -> None:
    limiter = yard.limiters[0]
    (yard.folder / "n0.json").write_bytes(text)
    assert limiter.process is not None
    limiter.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.1)


def test_nothing_is_taken_of_a_broken_file(tmp_path: Path) -> None:
    """Each of them also names another discovery, another class and fewer attempts: none of it may be seen."""
    async def go() -> None:
        yard, other = Yard(tmp_path), Discovery()
        port = with_console(yard)
        await other.start()
        async with yard:
            good = json.loads((tmp_path / "n0.json").read_text())
            for n, (why, text) in enumerate(BROKEN.items(), 1):
                config = json.loads(json.dumps(good))
                config["discovery"] = f"127.0.0.1:{other.port}"
                config["settings"]["classes"].append({**_first_class(config), "name": "extra"})
                await _reloaded(yard, text(config))
                told = await figures(port)
                assert (told["config_applied"], told["config_rejected"]) == (0, n), why
            assert sorted(told["responses"]) == ["place-order", "stock-check"] and not other.asked
            assert (await ask(yard.limiters[0].port, job(service="extra")))[0] == 400
            assert (await ask(yard.limiters[0].port, job()))[0] == 200
            await yard.limiters[0].stop()
            lines = yard.limiters[0].errors.decode().splitlines()
            assert sum("the old configuration stays" in line for line in lines) == len(BROKEN)
    asyncio.run(go())


def test_classes_come_and_go_and_jobs_under_way_keep_theirs(tmp_path: Path) -> None:
    async def go() -> None:
        yard = Yard(tmp_path)
        port = with_console(yard)
        async with yard:
            limiter = yard.limiters[0]
            config = json.loads((tmp_path / "n0.json").read_text())

            async def late(headers: dict[str, str], body: bytes) -> bytes:
                await asyncio.sleep(0.8)
                return await served(headers, body)

            yard.nodes[0].reply = yard.nodes[1].reply = late
            under_way = asyncio.ensure_future(ask(limiter.port, job(service="place-order")))
            await asyncio.sleep(0.2)
            stock, _ = config["settings"]["classes"]
            config["settings"]["classes"] = [stock, {**stock, "name": "once-only", "semantics": "once"}]
            config["settings"]["limits"]["max_attempts"] = 1
            await _reloaded(yard, json.dumps(config).encode())
            once = job(service="stock-check").replace("GET /stock-check", "POST /once-only").replace(
                "X-Service-Class: stock-check", "X-Service-Class: once-only\r\nContent-Length: 0")
            assert (await ask(limiter.port, once))[0] == 200
            assert (await ask(limiter.port, job(service="place-order")))[0] == 400
            assert (await under_way)[0] == 200

            async def turned_away(headers: dict[str, str], body: bytes) -> bytes:
                return http(503, b"", "X-Unprocessed: 1")

            yard.nodes[0].reply = yard.nodes[1].reply = turned_away
            before = yard.seen().total()
            assert (await ask(limiter.port, job()))[0] == 503
            assert yard.seen().total() == before + 1, "one attempt, as the new file says"
            told = await figures(port)
            assert told["responses"]["place-order"]["ok"] == 1 and told["config_applied"] == 1
            assert told["responses"]["once-only"]["ok"] == 1
    asyncio.run(go())


def test_plans_keep_their_places_and_what_is_fixed_stays() -> None:
    """Buckets and peers know a plan by its number; classes that come and go are bounded."""
    old = settings(number=1, gateways=3)
    new = settings(number=0, gateways=2, plans=(io.Plan("new", 1.0, 1.0), io.Plan("open", most_open=9)))
    kept = settings_for_reload(old, new, ("read", "write"))
    assert [p.name for p in kept.plans] == ["rate", "open", "free", "new"] and kept.plans[1].most_open == 9
    assert (kept.number, kept.gateways) == (1, 3)
    with pytest.raises(ValueError, match="restart"):
        settings_for_reload(old, new, [f"c{n}" for n in range(io.MAX_TOPICS)])


def test_a_plan_with_other_figures_keeps_what_its_buckets_hold(tmp_path: Path) -> None:
    """A burst of 10 that is spent stays spent under a plan with a burst of 20."""
    async def go() -> None:
        yard = Yard(tmp_path)
        async with yard:
            limiter = yard.limiters[0]
            first = [(await ask(limiter.port, job(plan="slow", account=7)))[0] for _ in range(12)]
            config = json.loads((tmp_path / "n0.json").read_text())
            config["settings"]["tariffs"] = [{"name": "new", "quota_rate": 1.0, "depth": 3.0},
                                             {"name": "slow", "quota_rate": 0.001, "depth": 20.0}]
            await _reloaded(yard, json.dumps(config).encode())
            second = [(await ask(limiter.port, job(plan="slow", account=7)))[0] for _ in range(3)]
            third = [(await ask(limiter.port, job(plan="new", account=8)))[0] for _ in range(5)]
            assert (first.count(200), second.count(200), third.count(200)) == (10, 0, 3)
            assert (await ask(limiter.port, job(plan="wide")))[0] == 400
    asyncio.run(go())
