"""Tests of the simulator's adapter with hand-written input lines."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest

from larklb.benchlink import main

SETTINGS: dict[str, Any] = {
    "ordinal": 0, "balancers": 1, "tick": 2.0, "new_key": {"x": 1}, "my_zone": "z",
    "classes": [{"name": "read", "aim": 900.0, "deadline": 3000.0, "gain": 2.0, "semantics": "repeatable"}],
    "tariffs": [{"name": "basic", "quota_rate": 1.0, "depth": 2.0}],
    "limits": {"max_attempts": 3, "cancel": True, "retry_after": True, "max_retry_after": 500.0},
    "safety": {"cold_share": 0.2, "warm_within": 9000.0, "tip_multiple": 2.0, "fall": 1000.0,
               "drain_grace": 500.0},
    "family_info": {"inbox_per_s": 50.0}}
BEGIN = [["begin", 4, 99, SETTINGS], ["sheet", 0, [["h:1", "z", "k", 0, "up", 1, None]]],
         ["topology", 4, 1, 0, "warm_copy"]]


def request(name: str) -> list[Any]:
    return ["request", 4, name, 1, 0, "basic", 0, "cust/a", 3000.0, 1, "read"]


def run_adapter(*lines: Any) -> tuple[int, list[Any]]:
    text = "".join((x if isinstance(x, str) else json.dumps(x)) + "\n" for x in lines)
    sink = io.StringIO()
    code = main(io.StringIO(text), sink)
    return code, [json.loads(x)["out"] for x in sink.getvalue().splitlines()]


def test_a_request_is_sent_and_its_outcome_taken() -> None:
    code, out = run_adapter(
        {"clock": 0.0, "msgs": BEGIN}, {"clock": 10, "msgs": [request("0" * 16)]},
        {"clock": 50.5, "msgs": [["verdict", 4, "0" * 16, 0, "h:1", "ok", 40.0, True, 0, 0, {"util": 0.5}]]},
        {"clock": 60.0, "msgs": [request("1" * 16), request("2" * 16)]})
    assert code == 0
    assert ["hand_off", 4, "0" * 16, "h:1", 0.0] in out[1]
    assert [a for a in out[3] if a[0] == "push_back"][0][:3] == ["push_back", 4, "2" * 16]


@pytest.mark.parametrize("line,expected", [
    ("{nonsense", "no JSON"), ({"clock": 1.0}, "msgs"), ({"msgs": []}, "clock"),
    ({"clock": 1.0, "msgs": [["what", 4]]}, "what"),
    ({"clock": 1.0, "msgs": [["request", 4, "0"]]}, "request"),
    ({"clock": 1.0, "msgs": [["vanished", 5, "0"]]}, "never begun"),
    ({"clock": 1.0, "msgs": ["x"]}, "array")])
def test_malformed_input_is_reported_and_ends_the_process(
        line: Any, expected: str, capsys: pytest.CaptureFixture[str]) -> None:
    code, out = run_adapter({"clock": 0.0, "msgs": BEGIN}, line)
    assert code != 0 and len(out) == 1
    error = capsys.readouterr().err
    assert expected in error and error.count("\n") == 1


def test_end_of_input_exits_with_0_and_a_crash_has_no_reply() -> None:
    code, out = run_adapter({"clock": 0.0, "msgs": BEGIN}, {"clock": 1.0, "msgs": [["crash_now", 4]]})
    assert code == 0 and out[1] == []


def test_the_same_lines_give_the_same_actions() -> None:
    lines = [{"clock": 0.0, "msgs": BEGIN}] + [
        {"clock": 10.0 + i, "msgs": [request(f"{i:016x}")]} for i in range(20)]
    assert run_adapter(*lines) == run_adapter(*lines)
