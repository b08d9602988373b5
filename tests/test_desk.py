"""Plans, reservations and the administrative address of instances, through the operators' commands."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import time
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import pytest

from larklb import admin
from larklb.quota.ring import digest, ring_owner
from larklb.settings import ConfigError, load_operator
from tests.standins import Cluster, Limiter, ask, job
from tests.test_usage import larklb

MORE = ('[plans]\nfile = "plans.toml"\n[state]\nfolder = "var"\nsync_ms = 50.0\n'
        '[reservations]\nfleet_rate = 300000.0\nfleet_share = 0.3\ncustomer_share = 2000.0\n'
        '[ledger]\nseal_s = 60.0\n[export]\nfolder = "billed"\n')


def plans(*versions: tuple[int, float, str]) -> str:
    """Returns a catalogue with versions that take effect so many seconds from now."""
    return "".join(
        f"[[version]]\nnumber = {number}\nfrom = "
        f"{(datetime.now(UTC) + timedelta(seconds=after)).isoformat(timespec='milliseconds')}\n{text}\n"
        for number, after, text in versions)


def burst(units: float) -> str:
    return f"[version.plans.slow]\nburst = {units}\n"


async def granted(limiter: Limiter, times: int, account: int = 1, spread: int = 3) -> int:
    count = 0
    for _ in range(times):
        count += (await ask(limiter.port, job(plan="slow", account=account, spread=spread)))[0] == 200
    return count


async def rows(operator: str) -> list[dict[str, Any]]:
    _, output = await larklb("usage", "show", operator, "--json", "--rows")
    return [r for line in output.splitlines() for r in json.loads(line)["rows"]]


def owner_first(cluster: Cluster, account: int = 1) -> list[Limiter]:
    owner = ring_owner(digest(f"{account:016x}"), [0, 1, 2])
    return [cluster.limiters[(owner + i) % 3] for i in range(3)]


def test_change_of_plans_reaches_all_instances_and_each_try_has_one_version(tmp_path: Path) -> None:
    async def go() -> None:
        (tmp_path / "plans.toml").write_text(first := plans((1, -60, burst(5.0))))
        async with Cluster(tmp_path, limiters=3, more=MORE) as cluster:
            operator, new = str(cluster.operator()), tmp_path / "new.toml"
            limiters = owner_first(cluster)
            assert sum([await granted(x, 4) for x in limiters]) == 5
            moved = f'[version.customers]\n"{2:016x}" = "wide"\n'
            new.write_text(first + plans((2, 0.0, burst(8.0) + moved)))
            assert (await larklb("plans", "check", str(new), operator))[0] == 0
            status, output = await larklb("plans", "diff", str(new), operator)
            assert status == 1 and output.startswith("+ version 2 from") and "1 customers assigned" in output
            status, output = await larklb("plans", "apply", str(new), operator)
            assert status == 0 and output.count("taken") == 3
            assert sum([await granted(x, 3) for x in limiters]) == 0, (
                "a larger burst adds no tokens to a spent bucket")
            assert sum([await granted(x, 5, account=2) for x in limiters]) == 15, (
                "customer 2 is on plan wide now")
            assert sum([await granted(x, 5, account=3) for x in limiters]) == 5, (
                "a larger burst adds no tokens to the bucket of an idle customer either")
            status, output = await larklb("plans", "show", operator, "--live", "--json")
            assert status == 0 and [json.loads(line)["counts"] for line in output.splitlines()] == [2, 2, 2]
            by_version: dict[tuple[str, int], int] = {}
            for r in await rows(operator):
                name = (f"{int(r['account'], 16)} {r['plan']}", r["version"])
                by_version[name] = by_version.get(name, 0) + r["tries"]
            assert by_version == {("1 slow", 1): 5, ("2 wide", 2): 15, ("3 slow", 2): 5}
            # An invalid or out-of-order catalogue is rejected with one line, and nothing changes.
            for text, words, expected in ((first, "ends with version 1", 3), ("x", "new.toml: ", 2),
                                          (first + plans((2, 0.0, burst(9.0))), "version 2 differs", 3)):
                new.write_text(text)
                status, output = await larklb("plans", "apply", str(new), operator)
                assert status == expected and words in output and output.count("\n") == 1
            status, output = await larklb("plans", "show", operator, "--json")
            assert [json.loads(x)["state"] for x in output.splitlines()] == ["over", "over", "counts"]
    asyncio.run(go())


def test_sighup_reloads_the_plans_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    async def go() -> None:
        path = tmp_path / "plans.toml"
        path.write_text(first := plans((1, -60, burst(6.0))))
        async with Cluster(tmp_path, limiters=3, more=MORE) as cluster:
            operator, (owner, other, third) = str(cluster.operator()), owner_first(cluster)
            assert owner.process is not None and other.process is not None
            path.write_text("[[version]]\nnumber = 2\nfrom = yesterday\n")
            other.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            assert (await other.counters())["errors.plans"] == 1
            # The change is made while the owner is down, and one limiter learns of it only by SIGHUP.
            await owner.stop(signal.SIGKILL)
            path.write_text(first)
            (tmp_path / "new").write_text(first + plans((2, -1, burst(4.0))))
            status, output = await larklb("plans", "apply", str(tmp_path / "new"), operator)
            assert (status == 1 and output.count("taken") == 2
                    and output.count("will read it when it starts") == 1)
            await owner.start()
            assert await granted(third, 6) == 4
            path.write_text(path.read_text() + plans((3, -1, burst(4.0))))
            third.process.send_signal(signal.SIGHUP) if third.process is not None else None
            await asyncio.sleep(0.3)
            assert await granted(third, 2, account=9) == 2
            status, output = await larklb("plans", "show", operator, "--live", "--json")
            newest_versions = {r["name"]: r["newest"] for r in map(json.loads, output.splitlines())}
            assert status == 1 and newest_versions == {owner.name: 2, other.name: 2, third.name: 3}
            versions = {r["version"] for r in await rows(operator) if r["account"] == f"{1:016x}"}
            assert versions == {2}, "requests are stamped with the owner's version, whichever limiter asked"
    asyncio.run(go())


def test_instance_without_operator_settings_has_no_admin_address(tmp_path: Path) -> None:
    async def go() -> None:
        async with Cluster(tmp_path, second_front=True) as cluster:
            assert (await granted(cluster.limiters[0], 11, spread=1)) == 10
            assert not list(tmp_path.glob("*.sock")) and not (tmp_path / "var").exists()
    asyncio.run(go())


async def reserve(operator: str, name: str, units: str, begin: str = "now", account: int = 1,
                  until: str = "+600") -> tuple[int, str]:
    return await larklb("reserve", "add", operator, name, "--customer", f"{account:016x}", "--plan", "slow",
                        "--units", units, "--from", begin, "--until", until, "--set", "spread=3,first=0",
                        "--json")


def test_reserved_units_survive_a_kill_of_all_instances_and_are_drawn_once(tmp_path: Path) -> None:
    async def go() -> None:
        (tmp_path / "plans.toml").write_text("")
        async with Cluster(tmp_path, limiters=3, more=MORE) as cluster:
            operator, limiters = str(cluster.operator()), owner_first(cluster)
            status, output = await reserve(operator, "refit", "9")
            row = json.loads(output)
            assert status == 0 and (row["state"], row["copies"]) == ("open", 2)
            assert row["limiter"] == limiters[0].name
            assert (await reserve(operator, "refit", "9", until="+700"))[0] == 3, (
                "the same id with another window is refused")
            status, output = await reserve(operator, "much", "1e6")
            assert status == 3 and "customer's share is 2 units a second" in output
            assert (await reserve(operator, "odd", "-1"))[0] == 3
            assert sum([await granted(x, 5) for x in limiters]) == 15, (
                "10 units of the bucket and 5 reserved units")
            for x in limiters:
                await x.stop(signal.SIGKILL)
            for x in limiters:
                await x.start()
            # Without a store the buckets are full again; of the reservation only the rest is left.
            assert sum([await granted(x, 8) for x in limiters]) == 14
            _, output = await larklb("reserve", "show", operator, "refit", "--json")
            assert (row := json.loads(output))["state"] == "spent" and row["drawn"] == 9.0 and row["owner"]
            drawn = [r for r in await rows(operator) if r["reservation"]]
            assert sum(r["tries"] for r in drawn) == 9 and {r["reservation"] for r in drawn} == {row["tag"]}
            assert (await reserve(operator, "next", "3", begin="+300"))[0] == 0
            assert (await larklb("reserve", "cancel", operator, "next"))[0] == 0
            assert (await larklb("reserve", "cancel", operator, "none"))[0] == 3
            status, output = await larklb("reserve", "list", operator, "--json")
            assert {r["id"]: r["state"] for r in map(json.loads, output.splitlines())} == {
                "refit": "spent", "next": "cancelled"}
            await limiters[0].stop(signal.SIGKILL)
            assert (await reserve(operator, "late", "3"))[0] == 1, "only the owner can accept a reservation"
            status, output = await larklb("reserve", "list", operator)
            assert status == 1 and "(copy)" in output and limiters[0].name in output
    asyncio.run(go())


def test_reservation_is_drawn_in_parts_while_its_owner_is_down_and_settled_later(tmp_path: Path) -> None:
    async def go() -> None:
        (tmp_path / "plans.toml").write_text("")
        async with Cluster(tmp_path, limiters=3, more=MORE) as cluster:
            operator, (owner, *others) = str(cluster.operator()), owner_first(cluster)
            begin = datetime.now(UTC) + timedelta(seconds=2.5)
            assert (await reserve(operator, "refit", "6", begin=begin.isoformat()))[0] == 0
            await owner.stop(signal.SIGKILL)
            await asyncio.sleep(max(0.0, begin.timestamp() - time.time()) + 0.1)
            remote_draws = [await granted(x, 10) for x in others]
            assert remote_draws == [5, 5], "each limiter grants its share of 3 units and 6 / 3 reserved units"
            for x in others:
                await x.stop(signal.SIGKILL)            # their draws must survive as well
                await x.start()
            await owner.start()
            for x in others:
                await granted(x, 3)
            _, output = await larklb("reserve", "show", operator, "refit", "--json")
            assert ((row := json.loads(output))["apart"] == 4.0 and row["left"] == 2.0
                    and row["state"] == "open")
            assert await granted(owner, 8) == 6, "4 units that are left in the bucket and 2 reserved units"
    asyncio.run(go())


@pytest.mark.parametrize("text,why", [
    ('[ledger]\n', "need a [state] folder"), ('[state]\nfolder="v"\nsync_ms=1.0\n', "sync_ms"),
    ('[state]\nfolder="v"\n[ledger]\nperiod_s=0\n', "ledger: the figures"),
    ('[state]\nfolder="v"\n[ledger]\n[export]\n', "either a url or a folder"),
    ('[state]\nfolder="v"\n[reservations]\nfleet_share=1.5\n', "the shares"), ('[plans]\n', "file"),
    ('[export]\nurl="x"\n', "needs a [ledger]"), ('[plans]\nfile="p"\nname="q"\n', "name")])
def test_invalid_operator_file_is_reported_in_one_line(
        tmp_path: Path, text: str, why: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text + '[[instance]]\nname = "n0"\nconfig = "n0.json"\n')
    with pytest.raises(ConfigError) as error:
        load_operator(path)
    assert why in str(error.value) and "\n" not in str(error.value)


def test_admin_socket_is_private_and_invalid_requests_are_answered_with_errors(tmp_path: Path) -> None:
    async def go() -> None:
        calls = []

        async def echo(q: dict[str, Any]) -> dict[str, Any]:
            calls.append(q)
            return {"got": q["x"]}

        path = tmp_path / "a" / "s.sock"
        server = admin.Admin(path, {"echo": echo})
        path.parent.mkdir()
        with socket.socket(socket.AF_UNIX) as stale:
            stale.bind(str(path))
        await server.start()
        assert os.stat(path).st_mode & 0o777 == 0o600
        for line in (b"nonsense\n", b"[]\n", b'{"do":"none"}\n', b'{"do":"echo"}\n', b""):
            reader, writer = await asyncio.open_unix_connection(str(path))
            writer.write(line)
            writer.write_eof()
            answer = json.loads(await reader.readline())
            assert "error" in answer and len(answer) == 1
            writer.close()
        assert await asyncio.to_thread(admin.ask, path, "echo", x=5) == {"got": 5}
        with pytest.raises(OSError, match="another process answers"):
            await admin.Admin(path, {}).start()
        with pytest.raises(OSError, match="bytes at most"):
            await admin.Admin(tmp_path / ("x" * 120), {}).start()
        await server.stop()
        with pytest.raises(admin.UnreachableError):
            await asyncio.to_thread(admin.ask, path, "echo", x=5)
    asyncio.run(go())
