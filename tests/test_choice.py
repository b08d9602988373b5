"""The choice of server: callers that stay put, and servers that are falsely said to be full."""

from __future__ import annotations

import random

from larklb.admission.choice import FULL_RETRY_MS, ServerSelector, ServerState


def places(names: range) -> list[ServerState]:
    return [ServerState(f"i-{n}", "orders", f"10.0.0.{n}:80", "north", 4) for n in names]


def held(choice: ServerSelector, now: float) -> dict[int, str]:
    drawn = random.Random(1)
    callers = [drawn.getrandbits(64) for _ in range(400)]
    found = {}
    for caller in callers:
        place = choice.pick(now, "orders", "r", 400.0, caller=caller)
        assert place is not None
        found[caller] = place.id
    return found


def test_a_server_that_leaves_moves_only_the_callers_that_it_held() -> None:
    choice = ServerSelector("north", {"north": "land"}, 1)
    choice.update(places(range(12)))
    choice.assign(0.0, 1)
    before = held(choice, 0.0)
    choice.update(places(range(1, 12)))
    choice.assign(100.0, 1)
    after = held(choice, 100.0)
    moved = {caller for caller in before if before[caller] != after[caller]}
    assert moved == {caller for caller, name in before.items() if name == "i-0"} and moved


def test_where_all_are_said_to_be_full_one_is_tried_again() -> None:
    choice = ServerSelector("north", {"north": "land"}, 1)
    choice.update(places(range(3)))
    for place in choice.servers.values():
        choice.record_load(0.0, place, 4, 60)          # false, and told again with nothing
    assert choice.pick(FULL_RETRY_MS / 2, "orders", "r", 400.0) is None
    assert choice.pick(FULL_RETRY_MS * 1.1, "orders", "r", 400.0) is not None
