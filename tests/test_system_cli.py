"""The `larklb system` commands: their output and exit statuses, the limiters' answers, the demonstration."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from importlib import resources
from pathlib import Path
from threading import Thread
from typing import Any

import h11
import pytest
import yaml
from attrs import evolve
from prometheus_client.parser import text_string_to_metric_families
from typer.testing import CliRunner

from larklb.admission.quota_records import Allowance
from larklb.cli import app, system, system_calls
from larklb.cli.system_calls import Caller, NoAnswerError
from larklb.consensus.interface import Call
from larklb.consensus.replica import Replica
from larklb.gateway import messages, status
from larklb.gateway import settings as gateway_settings
from larklb.gateway.main import Limiter
from larklb.gateway.messages import CallAnswer, CallResult, OperatorCall
from larklb.gateway.transport import Transport
from larklb.lab import system as lab
from larklb.lab.system_network import AMENDMENT, CONFIGURATION, Net, settings
from larklb.membership.members import Member
from larklb.registry.registry import Server
from larklb.schema import calls, configuration
from larklb.schema.amendments import amend
from larklb.schema.errors import InvalidError
from larklb.storage.store import Store
from tests.standins import ROOT

KEYS = [key for tenant in CONFIGURATION["tenants"] for key in tenant["keys"]]
Reply = tuple[int, Any]


class Answerer:
    """A fake control address: answers with `reply(path)` and records the requests in `asked`."""

    def __init__(self, reply: Callable[[str], Reply]) -> None:
        asked = self.asked = list[tuple[str, dict[str, str], bytes]]()

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:      # noqa: N802
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                asked.append((self.path, dict(self.headers), body))
                code, document = reply(self.path)
                text = b"" if code == 307 else json.dumps(document).encode()
                self.send_response(code)
                if code == 307:
                    self.send_header("Location", document)
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            do_POST = do_GET               # noqa: N815

            def log_message(self, format: str, *args: Any) -> None:
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        Thread(target=self.server.serve_forever, args=(0.01,), daemon=True).start()


@pytest.fixture
def answerer() -> Iterator[Callable[[Callable[[str], Reply]], Answerer]]:
    made: list[Answerer] = []

    def make(reply: Callable[[str], Reply]) -> Answerer:
        made.append(Answerer(reply))
        return made[-1]

    yield make
    for one in made:
        one.server.shutdown()
        one.server.server_close()


Make = Callable[[Callable[[str], Reply]], Answerer]


def put(folder: Path, name: str, document: Any) -> str:
    (folder / name).write_text(document if isinstance(document, str) else json.dumps(document))
    return str(folder / name)


def unused_address(make: Make) -> str:
    """An address at which nothing listens any more."""
    stopped = make(lambda path: (200, {}))
    stopped.server.shutdown()
    stopped.server.server_close()
    return stopped.address


# Calls --------------------------------------------------------------------------------------


def test_a_call_is_retried_until_an_answer_is_conclusive(answerer: Make) -> None:
    last = answerer(lambda path: (200, {"here": path}))
    second = answerer(lambda path: (307, f"http://{last.address}/moved?x=1"))
    first = answerer(lambda path: (307, f"http://{second.address}/on"))
    busy = answerer(lambda path: (503, {}))
    caller = Caller([unused_address(answerer), busy.address, first.address], sleep=lambda s: None)
    answer = caller.call("GET", "/a")
    assert answer.document() == {"here": "/moved?x=1"} and answer.address == last.address
    assert "refused" in caller.outcomes[caller.addresses[0]] and caller.outcomes[busy.address] == "status 503"
    redirecting = answerer(lambda path: (307, f"http://{busy.address}{path}"))
    for code, times in ((412, 1), (400, 1), (404, 3)):
        failing = answerer(lambda path, code=code: (code, {"text": "no"}))      # type: ignore[misc]
        assert Caller([failing.address], sleep=lambda s: None).call("GET", "/").status == code
        assert len(failing.asked) == times, code
    now = iter(range(1000))
    pauses: list[float] = []
    with pytest.raises(NoAnswerError, match="503"):
        Caller([redirecting.address], clock=lambda: float(next(now)), sleep=pauses.append).call("GET", "/")
    assert pauses == sorted(pauses) and pauses[0] < pauses[-1] <= system_calls.MAX_BACKOFF_S


def test_replace_and_amend(answerer: Make, tmp_path: Path, capsys: pytest.CaptureFixture[str],
                           monkeypatch: pytest.MonkeyPatch) -> None:
    replies = iter([(503, {}), (200, {}), (412, {}), (400, {"text": "a: 1: b; c: 2: d"}), (200, {})])
    core = answerer(lambda path: next(replies))
    monkeypatch.setattr(system_calls, "INITIAL_BACKOFF_S", 0.0)
    whole, change = (put(tmp_path, "new.json", json.dumps(CONFIGURATION, indent=1)),
                     put(tmp_path, "c", AMENDMENT))
    assert system.main(["replace", core.address, whole, "--base", "0"]) == 0
    assert [body for _, _, body in core.asked] == [Path(whole).read_bytes()] * 2, (
        "a retry repeats the body unchanged")
    assert {h[k] for _, h, _ in core.asked for k in h if k.lower() == calls.BASE_VERSION_HEADER} == {"0"}
    assert system.main(["amend", core.address, change, "--base", "1"]) == 1
    assert system.main(["amend", core.address, change, "--base", "1", "--json"]) == 1
    out, err = capsys.readouterr()
    assert "--base: 1: another version" in err and json.loads(out.splitlines()[-1])["problems"] == [
        "a: 1: b", "c: 2: d"]
    bad = put(tmp_path, "bad.json", {**CONFIGURATION, "hosts": [{"host": "h", "paths": [{"name": "r"}]}]})
    for what, where, file, base in (
            ("replace", core.address, bad, "0"), ("replace", core.address, whole, "1"),
            ("amend", core.address, change, "3"), ("amend", core.address, "/none", "0"),
            ("amend", "host", change, "0")):
        assert system.main([what, where, file, "--base", base]) == 2
    err = capsys.readouterr().err
    assert f"{bad}: hosts[0].paths[0].prefix: (missing): must be given" in err and "above 3" in err
    assert 'ADDRESS: "host": must be host:port' in err and "/none: No such file" in err
    assert len(core.asked) == 4, "invalid input is not sent"
    monkeypatch.setattr(system_calls, "CALL_TIMEOUT_S", 0.0)
    caller = Caller([unused_address(answerer)], 0.0)
    monkeypatch.setattr("larklb.cli.system_config.Caller", lambda places: caller)
    assert system.main(["amend", core.address, change, "--base", "1"]) == 1
    assert "may be in force or not: give the same call again" in capsys.readouterr().err


def test_read_shows_no_keys_unless_asked_for_all(answerer: Make, capsys: pytest.CaptureFixture[str]) -> None:
    core = answerer(lambda path: (200, CONFIGURATION) if path == calls.READ else (404, {}))
    assert system.main(["read", core.address]) == 0
    out = capsys.readouterr().out
    assert "place-order" in out and "skiff" in out and not any(key in out for key in KEYS)
    assert system.main(["read", core.address, "--json"]) == 0
    assert json.loads(capsys.readouterr().out) == CONFIGURATION


# Files --------------------------------------------------------------------------------------


def test_configurations_are_checked_and_compared(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    old, change = put(tmp_path, "old.json", CONFIGURATION), put(tmp_path, "change.json", AMENDMENT)
    amended = amend(CONFIGURATION, AMENDMENT)
    amended["tenants"] = [{**amended["tenants"][0], "keys": ["another-key"], "ratePerS": 63}]
    new = put(tmp_path, "new.json", amended)
    assert system.main(["check-config", change]) == 2
    assert system.main(["check-config", change, "--base", old]) == 0
    assert system.main(["check-config", old, "--base", new]) == 2
    out, err = capsys.readouterr()
    assert "version 3, services 2, hosts 1, routes 3" in out
    assert "--base must name" in err and f"{old}: version: 1: above 3" in err
    assert system.main(["diff-config", old, old]) == 0
    assert system.main(["diff-config", old, new, "--json"]) == 1
    out = capsys.readouterr().out
    rows = {(row["what"], row["name"], row["field"]): (row["old"], row["new"])
            for row in map(json.loads, out.splitlines())}
    assert rows == {
        ("configuration", "", "version"): (1, 3), ("route", "price-list", ""): ("", "there"),
        ("tenant", "skiff", ""): ("there", ""), ("tenant", "yard", "ratePerS"): (500, 63),
        ("tenant", "yard", "keys"): ("1, 1 go", "1, 1 new")}
    assert not any(key in out for key in [*KEYS, "another-key"])


@pytest.mark.parametrize("old, new, status, words", [
    ("", "", 0, "usable, limiter-0 at 127.1.2.1 in north, serves edge, readiness, control, core machine"),
    ('node = "limiter-0"', "node = 7", 2, "self.node: 7: must be str"),
    ("graceS = 3", "graceS = -3", 2, "terms.bounds.graceS: -3.0: must not be negative"),
    ('"127.1.2.1:18000"', '"127.1.2.1"', 2, "network.bindings.edge: '127.1.2.1': must be host:port"),
    ("[18003, 18003]", "[18003, 70000]", 2, "network.portRange: [18003, 70000]: must be [first, last]"),
    ('zone = "north"', 'zone = "nroth"', 1, "self.zone: 'nroth': must be one of network.zones, east, north"),
    ("127.1.2.1:18002", "127.1.2.1:18000", 1, "'127.1.2.1:18000': must not be that of network.bindings.edge"),
    ("descriptors = 1024", "descriptors = 100", 1, "self.limits.descriptors: 100: must be 264 or more")])
def test_settings_are_checked(old: str, new: str, status: int, words: str, tmp_path: Path,
                              capsys: pytest.CaptureFixture[str]) -> None:
    text = settings(Net("127.1.2", 18000), 0, tmp_path, True)
    assert old in text
    file = put(tmp_path, "settings.toml", text.replace(old, new) if old else text)
    assert system.main(["check-settings", file]) == status
    out, err = capsys.readouterr()
    assert words in out + err and file in out + err
    assert system.main(["check-settings", file, "--json"]) == status
    assert json.loads(capsys.readouterr().out)["usable"] == (status < 2)


# Limiters -----------------------------------------------------------------------------------


def fleet(make: Make, answers: list[dict[str, Any]], states: list[str]) -> list[Answerer]:
    """Fake limiters that list each other as members; each adds its own fields to all status answers."""
    made: list[Answerer] = []

    def reply(i: int) -> Callable[[str], Reply]:
        def respond(path: str) -> Reply:
            if path.startswith(calls.MEMBERS):
                return 200, {"node": f"n{i}", "more": 0, "members": [
                    {"node": f"n{k}", "ip": "127.0.0.1", "control": one.address, "zone": "z", "life": 1,
                     "number": k, "state": states[k], "disk": f"d{k}"} for k, one in enumerate(made)]}
            return 200, {"node": f"n{i}", "version": 7, "digest": "x", "ready": True, "upMs": 1, **answers[i]}
        return respond

    made.extend(make(reply(i)) for i in range(len(answers)))
    return made


def test_versions_reports_nodes_that_differ(answerer: Make, capsys: pytest.CaptureFixture[str]) -> None:
    same = fleet(answerer, [{}, {"digest": ""}, {}], ["up", "up", "down"])
    assert system.main(["versions", same[0].address]) == 0
    assert system.main(["members", same[0].address]) == 1, "one limiter is down"
    other = fleet(answerer, [{}, {"version": 5}, {}], ["up"] * 3)
    other[2].server.shutdown()
    other[2].server.server_close()
    assert system.main(["versions", other[0].address, "--json"]) == 1
    out, err = capsys.readouterr()
    assert "version 5, not 7: n1" in err and "n2: 127.0.0.1" in err and "refused" in err
    assert [json.loads(line)["version"] for line in out.splitlines()[-3:]] == [7, 5, None]
    forked = fleet(answerer, [{}, {"digest": "y"}], ["up"] * 2)
    assert system.main(["versions", forked[0].address]) == 1
    assert "not the same everywhere: x, y" in capsys.readouterr().err


def test_the_core_and_a_tenants_quota(answerer: Make, capsys: pytest.CaptureFixture[str]) -> None:
    def part(disk: str, term: int, leads: bool, voters: str = "d0 d1") -> dict[str, Any]:
        return {"core": {"disk": disk, "term": term, "leads": leads, "leader": "d1", "settled": leads,
                         "version": 7, "voters": {d: f"n{d[1]}" for d in voters.split()}, "last": 4,
                         "commit": 4, "saving": False, "serves": True, "folder": "/d"}}

    healthy = fleet(
        answerer, [part("d0", 2, False), part("d1", 2, True), part("d2", 0, False, "")], ["up"] * 3)
    assert system.main(["core", healthy[0].address]) == 0
    assert [line.split()[1] for line in capsys.readouterr().out.splitlines()[1:]] == [
        "voter", "leader", "newcomer"]
    # A partitioned former leader still considers itself leader, in an older term.
    old = fleet(answerer, [part("d0", 2, True), part("d1", 3, False)], ["up"] * 2)
    assert system.main(["core", old[0].address]) == 1
    assert "nobody leads" in capsys.readouterr().err
    incomplete = fleet(answerer, [part("d0", 2, True, "d0 d1 d9")], ["up"])
    assert system.main(["core", incomplete[0].address]) == 1
    assert "n9: its disk d9 is a voter, and does not answer" in capsys.readouterr().err
    row = {"tenant": "a b", "tokens": 1.5, "rate": 4, "burst": 4}
    quota = fleet(answerer, [{"quotas": [{**row, "role": "asker", "owner": 1, "untold": 0}]},
                             {"quotas": [{**row, "role": "owner", "apart": 0, "askers": 1}]}], ["up"] * 2)
    assert system.main(["quota", quota[0].address, "a b", "--json"]) == 0
    assert [json.loads(line)["owner"] for line in capsys.readouterr().out.splitlines()] == ["n1", "n1"]
    assert quota[1].asked[-1][0] == f"{calls.QUOTAS}?tenant=a%20b"


def test_metrics_are_parsed_by_the_prometheus_library(answerer: Make,
                                                      capsys: pytest.CaptureFixture[str]) -> None:
    tenant = 'a "b"\\'
    row = {"tenant": tenant, "tokens": 1.5, "rate": 4, "burst": 4}
    server = {"id": "s", "service": "orders", "state": "steady", "silent": True}
    part = {"disk": "d0", "term": 2, "leads": True, "leader": "d0", "settled": True, "version": 7, "last": 5,
            "commit": 4, "voters": {"d0": "n0", "d1": "n1"}, "saving": False, "serves": True}

    def one(**more: Any) -> dict[str, Any]:
        return {"leaving": False, "counts": {"taken": 3, "end.answer": 2}, "words": {
            "sent": 5, "sent_bytes": 700}, "open": {"clients": 1}, "quotas": [], "core": None, "more": 0,
            "servers": [server, {**server, "id": "t", "state": "draining", "silent": False}], **more}

    made = fleet(answerer, [
        one(core=part, quotas=[{**row, "role": "owner", "apart": 1, "askers": 1}]),
        # A partitioned former leader that still considers itself leader.
        one(core={**part, "disk": "d1", "term": 1}, quotas=[{**row, "role": "asker", "untold": 6}]), {}],
        ["up"] * 3)
    made[2].server.shutdown()
    made[2].server.server_close()
    assert system.main(["metrics", made[0].address]) == 1, "one limiter does not answer"
    out, err = capsys.readouterr()
    families = {family.name: family for family in text_string_to_metric_families(out)}
    assert set(families) == {f"larklb_{name}" for name in (
        "members up ready leaving uptime_seconds configuration_version events words word_bytes "
        "ring_limiters ring_digest open_connections servers servers_silent quota_tokens quota_rate "
        "quota_burst quota_apart quota_untold core_leader core_settled core_voters core_term "
        "core_log_last core_log_commit core_version core_saving core_serves").split()}, \
        "dashboards depend on these metric names"
    assert "n2: 127.0.0.1" in err and all(family.documentation for family in families.values())
    found = {(s.name.removeprefix("larklb_"), *(value for _, value in sorted(s.labels.items()))): s.value
             for family in families.values() for s in family.samples}
    assert found[("up", "n0", "z")] == 1 and found[("up", "n2", "z")] == 0 and found[("members", "up")] == 3
    assert found[("events_total", "end.answer", "n1")] == 2
    assert found[("word_bytes_total", "sent", "n1")] == 700
    assert found[("configuration_version", "n1")] == 7 and found[("members", "down")] == 0
    assert [found[("servers", "orders", s)] for s in ("steady", "draining", "gone")] == [1, 1, 0]
    assert found[("servers_silent", "orders")] == 1 and found[("quota_tokens", "n0", "owner", tenant)] == 1.5
    assert found[("quota_untold", "n1", "asker", tenant)] == 6
    assert [found[("core_leader", n)] for n in ("n0", "n1")] == [1, 0] and found[("core_settled",)] == 1


def schema_of(api: Any, name: str) -> tuple[set[str], set[str]]:
    """The required fields and all allowed fields of an answer."""
    schema = api["components"]["schemas"][name]
    must, may = set(schema["required"]), set(schema["properties"])
    for other in schema.get("allOf", ()):
        more = schema_of(api, other["$ref"].rpartition("/")[2])
        must, may = must | more[0], may | more[1]
    return must, may


def test_status_answers_match_the_openapi_file(
        tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    api = yaml.safe_load(resources.files("larklb.schema").joinpath("openapi.yaml").read_text("utf-8"))
    assert [path for path in api["paths"] if path.startswith("/larklb/status/")] == list(calls.STATUS_PATHS)
    file = put(tmp_path, "s.toml", settings(Net("127.1.2", 18000), 0, tmp_path, True))

    async def answers() -> dict[str, Any]:
        limiter = Limiter(gateway_settings.read(file))
        limiter._apply_configuration(CONFIGURATION)
        me = limiter.subscriber.local_member
        for i in range(calls.MAX_STATUS_ROWS + 2):
            node = f"limiter-{i}"
            limiter.subscriber.members[node] = evolve(me, node=node, ring_number=i) if i else Member(
                me.node, me.ip, me.zone, me.incarnation, me.disk, ring_number=0)
        limiter.subscriber.servers = {f"s{i}": Server(f"s{i}", f"t{i % 2}", "h:1", "z", 2) for i in range(4)}
        limiter._on_members_changed()
        for tenant in ("yard", "skiff"):
            limiter.quotas.request(limiter.wheel.now(), Allowance(tenant, 5.0, 5.0))
        found = {}
        for path in (*calls.STATUS_PATHS, f"{calls.MEMBERS}?after=limiter-98", f"{calls.SERVERS}?service=t1",
                     f"{calls.QUOTAS}?tenant=skiff", f"{calls.COUNTS}?{'&'.join('a=b' for _ in range(20))}"):
            head = h11.Request(method="GET", target=path, headers=[("host", "x")])
            reply = await limiter.control.handler(head, b"", None)                # type: ignore[arg-type]
            found[path] = json.loads(reply.body) if reply.status == 200 else reply.status
        assert (await limiter.control.handler(
            h11.Request(method="POST", target=calls.CORE, headers=[("host", "x")]), b"",
            None)).status == 405                                                  # type: ignore[arg-type]
        limiter.disk.close()                                                      # type: ignore[union-attr]
        return found

    found = asyncio.run(answers())
    assert system.main(["disk", "check", f"{tmp_path}/disk-0", "--json"]) == 1
    assert json.loads(capsys.readouterr().out)["running"], "a limiter marks its folder as in use"
    for path, rows, row in ((calls.MEMBERS, "members", "MemberRow"), (calls.SERVERS, "servers", "ServerRow"),
                            (calls.QUOTAS, "quotas", "QuotaRow"), (calls.CORE, "", ""),
                            (calls.COUNTS, "", "")):
        schema = api["paths"][path]["get"]["responses"]["200"]["content"]["application/json"]["schema"]
        must, may = schema_of(api, schema["$ref"].rpartition("/")[2])
        assert must <= set(found[path]) <= may, path
        for one in found[path][rows] if rows else []:
            assert schema_of(api, row)[0] <= set(one) <= schema_of(api, row)[1], path
    assert set(found[calls.CORE]["core"]) == schema_of(api, "CorePart")[0]
    assert len(found[calls.MEMBERS]["members"]) == calls.MAX_STATUS_ROWS and found[calls.MEMBERS]["more"] == 2
    assert [row["node"] for row in found[f"{calls.MEMBERS}?after=limiter-98"]["members"]] == ["limiter-99"]
    assert [row["id"] for row in found[f"{calls.SERVERS}?service=t1"]["servers"]] == ["s1", "s3"]
    assert [row["tenant"] for row in found[f"{calls.QUOTAS}?tenant=skiff"]["quotas"]] == ["skiff"]
    assert list(found.values())[-1] == 400, "a query with too many fields is rejected"
    assert not any(key in json.dumps(found) for key in KEYS)


def test_a_refusal_lists_each_problem(tmp_path: Path) -> None:
    file = put(tmp_path, "s.toml", settings(Net("127.1.2", 18000), 0, tmp_path, True))
    bad = {**CONFIGURATION, "hosts": [{"host": "h", "paths": [{"name": "r", "prefix": "x; y"}]}],
           "tenants": [{"name": "t", "ratePerS": -1}]}
    with pytest.raises(InvalidError) as expected:
        configuration.check(bad, 0)
    heartbeat = json.dumps({"address": "nowhere", "info": {"target": "t", "capacity": 0},
                            "observed": {"state": "odd", "sequence": 1}}).encode()
    base = (calls.BASE_VERSION_HEADER, "0")

    async def refused() -> list[Any]:
        limiter = Limiter(evolve(gateway_settings.read(file), tolerance=0))
        core, me, found = limiter.core, limiter.subscriber.local_member, []
        assert core is not None
        now = limiter.wheel.now()
        core.replica.propose_founding(now, {core.disk: me.node})
        for turn in range(60):
            core.tick(now + 50.0 * turn, me)
            while limiter.disk is not None and limiter.disk.saving is not None:
                await limiter.disk.saving
        for path, headers, body in ((calls.REPLACE, [base], json.dumps(bad).encode()),
                                    (calls.REPLACE, [base], b"[]"), (calls.AMEND, [base], b"{}"),
                                    (calls.REPLACE, [], b"{}"), (calls.REPLACE, [base], b"\xff"),
                                    ("/larklb/instances/i/heartbeat", [], heartbeat),
                                    ("/larklb/instances/i/heartbeat", [], b"no")):
            head = h11.Request(method="POST", target=path, headers=[("host", "x"), *headers])
            reply = await limiter.control.handler(head, body, None)               # type: ignore[arg-type]
            assert reply.status == 400 and (b"Content-Type", b"application/json") in reply.headers, path
            found.append(json.loads(reply.body)["problems"])
        limiter.disk.close()                                                      # type: ignore[union-attr]
        return found

    found = asyncio.run(refused())
    assert found[0] == expected.value.problems and "x; y" in found[0][1], (
        "problems are reported exactly as the check describes them")
    assert all(problems and all(isinstance(line, str) for line in problems) for problems in found)
    assert [line.split(":")[0] for line in found[5]] == ["address"], (
        "only the first problem of an item is reported")
    call = OperatorCall(number=1, session="s", kind="replace", base=0, body="", hops=1)
    answer = CallResult(400, "a; b", problems=("a; b", "c")).answer_to(call)
    received = messages.decode(messages.encode(messages.with_sender(answer, "n", "10.0.0.1")))
    assert isinstance(received, CallAnswer)
    assert received.result == CallResult(400, "a; b", problems=("a; b", "c"))


def test_messages_sent_after_the_transport_stopped_are_dropped() -> None:
    async def posted() -> int:
        transport = Transport("n", "127.0.0.1", 0, lambda message: None)
        await transport.start()
        await transport.stop()
        await asyncio.sleep(0)             # the transport is closed in the loop's next turn
        late = CallAnswer(number=1, session="s", result=CallResult(200))     # to a call that was passed on
        transport.send("127.0.0.2", late)
        return transport.counts["sent"]

    assert asyncio.run(posted()) == 1


# Disks --------------------------------------------------------------------------------------


def disk_with_versions(folder: Path, versions: int) -> Store:
    """The disk of a single-voter group after committing configurations 1 to `versions`."""
    store = Store(folder)
    disk = store.identity()
    replica = Replica(disk, "n0", None, 0.0, 1, tolerance=0, apply=lambda document, call: call.body)
    now = 0.0

    def turn() -> None:
        nonlocal now
        now += 50.0
        replica.tick(now, {disk: "n0"})
        while (ready := replica.ready()) is not None:
            if ready.save is not None:
                store.save(ready.save)
                replica.saved(True)

    replica.propose_founding(now, {disk: "n0"})
    for _ in range(60):
        turn()
    for version in range(1, versions + 1):
        body = {**CONFIGURATION, "version": version}
        replica.call(now, str(version), Call("replace", version - 1, body, str(version)))
        for _ in range(6):
            turn()
    assert replica.version == versions
    return store


def test_a_disk_is_checked_dumped_and_an_earlier_generation_restored(
        tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder, other = tmp_path / "disk", tmp_path / "other"
    store, other_group = disk_with_versions(folder, 3), disk_with_versions(other, 1)
    assert system.main(["disk", "check", str(folder)]) == 0
    assert system.main(["disk", "dump", str(folder), "--json"]) == 0
    logs = [row for row in map(json.loads, capsys.readouterr().out.splitlines()[1:]) if row["key"] == "log"]
    earlier, newest = logs[0]["number"], logs[-1]["number"]
    assert logs[-1]["used"] and not logs[0]["used"] and "version 3" in logs[-1]["what"]
    assert system.main(["disk", "dump", str(folder), "--generation", str(earlier)]) == 0
    before = json.loads(capsys.readouterr().out)["version"]
    names = sorted(path.name for path in folder.iterdir())
    assert system.main(["disk", "restore", str(folder), str(earlier)]) == 1, (
        "nothing is changed without --yes")
    assert system.main(["disk", "restore", str(folder), str(newest), "--yes"]) == 1
    assert system.main(["disk", "restore", str(folder), "99", "--yes"]) == 2
    assert f"must be one of {earlier}, {newest}" in capsys.readouterr().err
    assert sorted(path.name for path in folder.iterdir()) == names
    ballot = Store(folder).load()["ballot"]                                       # type: ignore[index]
    assert system.main(["disk", "restore", str(folder), str(earlier), "--yes", "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["to"] == before
    after = Store(folder).load()
    assert after is not None and after["ballot"] == ballot, "restoring the log does not reset the votes"
    assert system.main(["disk", "check", str(folder), "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["version"] == before < 3
    assert system.main(["disk", "dump", str(folder), "--generation", str(newest)]) == 0, (
        "the replaced generation is kept")
    assert json.loads(capsys.readouterr().out)["version"] == 3
    # A limiter discards a log of another group at its start, and the disk would come back empty.
    store.save({"log": other_group.load()["log"]})                                   # type: ignore[index]
    foreign = max(g.number for g in store.list_generations() if g.key == "log")
    store.save({"log": after["log"]})
    assert system.main(["disk", "restore", str(folder), str(foreign), "--yes"]) == 2
    assert "is of another group" in capsys.readouterr().err
    (folder / f"log-{foreign + 1}.dat").write_bytes(b"torn")
    assert system.main(["disk", "check", str(folder)]) == 1
    assert f"log-{foreign + 1}" in capsys.readouterr().err
    # An intact file that is no log: a limiter exits with one line, and an earlier log can be restored.
    store.save({"log": after["log"]})
    store.save({"log": b"{}"})
    assert system.main(["disk", "check", str(folder)]) == 2
    file = put(tmp_path, "s.toml", settings(Net("127.1.2", 18000), 0, tmp_path, True).replace(
        f"{tmp_path}/disk-0", str(folder)))
    ended = subprocess.run([sys.executable, "-m", "larklb.gateway"], cwd=ROOT, capture_output=True, text=True,
                           env={**os.environ, "LARKLB_SETTINGS": file}, timeout=30)
    assert ended.returncode == 2 and "Traceback" not in ended.stderr
    assert f"gateway: {folder}: can't start with it: the log: Object missing required field" in ended.stderr
    intact = min(g.number for g in store.list_generations() if g.key == "log" and g.intact)
    assert system.main(["disk", "restore", str(folder), str(intact), "--yes"]) == 0
    assert system.main(["disk", "check", str(folder)]) == 0
    # Without a ballot the log is not loaded, but the disk would rejoin under the id of a voter.
    for path in folder.glob("ballot-*"):
        path.unlink()
    capsys.readouterr()
    assert system.main(["disk", "check", str(folder)]) == 1
    assert "empty the folder, the id with it" in capsys.readouterr().err


def test_a_disk_in_use_is_not_changed(tmp_path: Path, capsys: pytest.CaptureFixture[str],
                                      monkeypatch: pytest.MonkeyPatch) -> None:
    store = disk_with_versions(tmp_path / "disk", 2)
    earlier = min(g.number for g in store.list_generations() if g.key == "log")
    status.mark_in_use(str(store.folder))
    assert system.main(["disk", "restore", str(store.folder), str(earlier), "--yes"]) == 2
    assert "a limiter runs on it: stop that process first" in capsys.readouterr().err
    assert system.main(["disk", "check", str(store.folder)]) == 0, "checking a disk in use is allowed"
    assert "while a limiter runs on it" in capsys.readouterr().out


def test_the_serving_process_does_not_import_the_commands() -> None:
    code = ("import larklb.gateway.main, sys; "
            "print({'defopt', 'docutils', 'typer', 'click', 'larklb.cli', 'prometheus_client'} "
            "& set(sys.modules))")
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "set()"


def test_try_system_runs_the_demonstration(monkeypatch: pytest.MonkeyPatch) -> None:
    def run(seconds: float, as_json: bool) -> int:
        assert (seconds, as_json) == (12.0, False)
        return 1

    monkeypatch.setattr(lab, "run", run)
    assert CliRunner().invoke(app, ["try", "--system"], catch_exceptions=False).exit_code == 1


def test_the_demonstration_of_the_whole_system() -> None:
    done = subprocess.run([sys.executable, "-m", "larklb", "system", "try", "--seconds", "6"], cwd=ROOT,
                          capture_output=True, text=True, timeout=90)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "NOT as" not in done.stdout and done.stdout.count("as it should be") == 8
    assert "limiter-0  up" in done.stdout and done.stdout.endswith("Ended: limiters, servers and files.\n")
