"""Tests of the server selector: caller affinity, and servers that wrongly report that they are full."""

from __future__ import annotations

import random

from larklb.admission.choice import FULL_RETRY_MS, ServerSelector, ServerState


def servers(names: range) -> list[ServerState]:
    return [ServerState(f"i-{n}", "orders", f"10.0.0.{n}:80", "north", 4) for n in names]


def assigned_servers(selector: ServerSelector, now: float) -> dict[int, str]:
    rng = random.Random(1)
    callers = [rng.getrandbits(64) for _ in range(400)]
    assigned = {}
    for caller in callers:
        server = selector.pick(now, "orders", "r", 400.0, caller=caller)
        assert server is not None
        assigned[caller] = server.id
    return assigned


def test_removing_a_server_moves_only_its_own_callers() -> None:
    selector = ServerSelector("north", {"north": "land"}, 1)
    selector.update(servers(range(12)))
    selector.assign(0.0, 1)
    before = assigned_servers(selector, 0.0)
    selector.update(servers(range(1, 12)))
    selector.assign(100.0, 1)
    after = assigned_servers(selector, 100.0)
    moved = {caller for caller in before if before[caller] != after[caller]}
    assert moved == {caller for caller, name in before.items() if name == "i-0"} and moved


def test_a_server_is_tried_again_when_all_report_that_they_are_full() -> None:
    selector = ServerSelector("north", {"north": "land"}, 1)
    selector.update(servers(range(3)))
    for server in selector.servers.values():
        selector.record_load(0.0, server, 4, 60)  # wrong, and not corrected by a later report
    assert selector.pick(FULL_RETRY_MS / 2, "orders", "r", 400.0) is None
    assert selector.pick(FULL_RETRY_MS * 1.1, "orders", "r", 400.0) is not None
