"""Assignment of callers to servers: what moves, what is borne, beside a plain model."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Mapping

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larklb.assignment import assignment, ring
from larklb.assignment.assignment import (
    BACK_MS,
    HOLD_MS,
    WARM_MS,
    WARM_STEPS,
    Assignment,
    caller_key,
    warmed_weight,
)
from larklb.assignment.callers import GROW_MS, SHRINK_MS, CallerRates
from larklb.assignment.errors import WeightError

pytestmark = pytest.mark.simulation

CALLERS = [caller_key(f"t{i % 40}", "r", str(i)) for i in range(400)]
HISTORIES = st.lists(st.tuples(st.integers(0, 7), st.sampled_from([0.0, 0.1, 1.0, 1.1, 2.0, 7.3])),
                     max_size=12)
QUIET = HOLD_MS * 100              # ms between changes: nobody flaps


def plain_rank(weights: Mapping[str, float], caller: int) -> list[str]:
    """All servers by their nearest virtual node, each looked at."""
    def distance(server: str) -> tuple[int, str]:
        nodes = max(1, round(weights[server] * assignment.NODES))
        places = [ring.node_position(server, n) for n in range(nodes)]
        return min((place - p) % (1 << 64) for place in places for p in ring.probe_positions(caller)), server
    return sorted((s for s in weights if weights[s] > 0), key=distance)


def plain_choice(weights: Mapping[str, float], order: list[str], load: Mapping[str, float], out: set[str],
                 spread: float) -> str | None:
    """The rule of bounded loads, on loads that are all known."""
    order = [s for s in order if load[s] < math.inf]
    level = (sum(load[s] for s in order) + 1) / (sum(weights[s] for s in order) or 1)
    order = [s for s in order if s not in out]
    for server in order:
        fair = level * weights[server]
        if load[server] < fair or load[server] + 1 < spread * fair:
            return server
    least = min((load[s] / weights[s] for s in order), default=0.0)
    return next((s for s in order if load[s] / weights[s] <= spread * least), None)


def homes(of: Assignment) -> dict[int, str]:
    """The first server of each caller, as a choice with nothing in hand finds it."""
    return {c: s for c in CALLERS if (s := of.choose(c, lambda server: 0.0)) is not None}


def check(history: list[tuple[int, float]]) -> None:
    """Plays changes of weight (0: leaves); after each, only the changed server's callers may have moved."""
    real, weights, before, now = Assignment(), dict[str, float](), dict[int, str](), 0.0
    for number, weight in history:
        server, now = f"i-{number}", now + QUIET
        old = weights.pop(server, 0.0)
        if weight > 0:
            weights[server] = weight
        assert real.set_servers(now, weights) == ([server] if (old > 0) != (weight > 0) else [])
        after = homes(real)
        assert set(after.values()) <= weights.keys() and bool(after) == bool(weights)
        if before and after:
            for caller in CALLERS:
                if before[caller] != after[caller]:
                    assert (before if weight < old else after)[caller] == server
        before = after
        again = Assignment()           # a limiter that starts now, and hears of the servers in another order
        again.set_servers(0.0, dict(sorted(weights.items(), reverse=True)))
        assert homes(again) == after
    for caller in CALLERS[:40]:
        assert real.rank(caller, 9) == plain_rank(weights, caller)


@settings(derandomize=True, deadline=None, max_examples=25)
@given(HISTORIES)
def test_a_change_moves_only_the_callers_of_the_changed_server(history: list[tuple[int, float]]) -> None:
    check(history)


SET_NODES, WALK = ring.Ring.set_nodes, ring.Ring.walk
FAULTS: dict[str, tuple[object, str, Callable[..., object]]] = {
    "nodes depend on who came before": (ring.Ring, "set_nodes", lambda self, server, nodes: SET_NODES(
        self, server, nodes and nodes + 2 * len(self.nodes))),
    "an order depends on how many servers there are": (ring.Ring, "walk", lambda self, caller: WALK(
        self, caller ^ len(self.nodes) << 60)),
    "a node is left behind": (ring.Ring, "_remove", lambda self, server, place: None),
    "the ring doesn't close": (ring.Ring, "_onward", lambda self, probe, at, i: (
        (self._places[at][i] - probe) & ring.MASK, probe, at, i) if i < len(self._places[at]) else (
        ring.MASK, probe, len(self._places) - 1, len(self._places[-1]) - 1)),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_seeded_faults_are_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    dice = random.Random(4)
    history = [(i, 2.0) for i in range(8)]
    history += [(dice.randrange(8), dice.choice([0.0, 1.0, 7.3])) for _ in range(9)]
    check(history)
    monkeypatch.setattr(*FAULTS[fault])
    with pytest.raises((AssertionError, IndexError, KeyError)):
        check(history)


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.lists(st.tuples(st.sampled_from([0.5, 1.0, 4.0]),
                          st.sampled_from([0.0, 1.0, 2.0, 5.0, 9.0, math.inf])), min_size=1, max_size=9),
       st.sets(st.integers(0, 8), max_size=3))
def test_a_choice_is_that_of_the_plain_rule(view: list[tuple[float, float]], out: set[int]) -> None:
    weights = {f"i-{i}": weight for i, (weight, _) in enumerate(view)}
    load = {f"i-{i}": told for i, (_, told) in enumerate(view)}
    of = Assignment()
    of.set_servers(0.0, weights)
    extra = {f"i-{i}" for i in out}
    for caller in CALLERS[:20]:
        chosen = of.choose(caller, load.__getitem__, extra)
        assert chosen == plain_choice(weights, plain_rank(weights, caller), load, extra, of.balance_factor)


def settled(of: Assignment, load: Counter[str], at: dict[int, str]) -> int:
    """Each caller's next choice, its last one over.  How many went elsewhere."""
    moved = 0
    for caller in CALLERS:
        if caller in at:
            load[at[caller]] -= 1
        chosen = of.choose(caller, lambda server: load[server])
        assert chosen is not None
        moved += at.get(caller) != chosen
        at[caller] = chosen
        load[chosen] += 1
    return moved


def test_half_of_the_servers_released_one_by_one_under_bounds() -> None:
    of, load, at = Assignment(), Counter[str](), dict[int, str]()
    weights = {f"i-{i}": 1.0 + i % 3 for i in range(16)}
    of.set_servers(0.0, weights)
    while settled(of, load, at):
        pass
    held = moved = 0
    for i in range(8):                 # one is drained while another has crashed, and a new one comes for it
        now = QUIET * (i + 1)
        held += load[f"i-{i}"]
        del weights[f"i-{i}"]
        of.set_servers(now, weights)
        moved += settled(of, load, at)
        assert not load[f"i-{i}"]
        weights[f"j-{i}"] = 1.0 + i % 3
        of.set_servers(now + 1.0, weights)
        moved += settled(of, load, at)
        held += load[f"j-{i}"]
        total = sum(weights.values())
        for server, weight in weights.items():
            fair = len(CALLERS) * weight / total
            assert load[server] <= max(of.balance_factor * fair, math.ceil(fair)) + 1
    assert held <= moved <= held * 1.25


def test_a_fresh_limiter_knows_its_loads_before_the_first_choice() -> None:
    of, caller = Assignment(), CALLERS[0]
    of.set_servers(0.0, {f"i-{i}": 1.0 for i in range(50)})
    assert of.choose(caller, lambda server: 10.0) == of.rank(caller, 1)[0]


def test_when_all_are_full_or_out_the_bound_gives_way_in_order() -> None:
    of, caller = Assignment(), CALLERS[1]
    of.set_servers(0.0, {f"i-{i}": 2.0 for i in range(6)})
    order = of.rank(caller, 6)
    load = dict(zip(order, [90.0, 70.0, 61.0, 60.0, 60.0, 61.0], strict=True))
    assert of.choose(caller, load.__getitem__, load_per_weight=1.0) == order[1]
    assert of.choose(caller, load.__getitem__, order[:2], load_per_weight=1.0) == order[2]
    assert of.choose(caller, lambda server: math.inf) is None
    assert of.choose(caller, load.__getitem__, order) is None
    with pytest.raises(WeightError):
        of.set_servers(1.0, {"i-0": math.nan})
    assert of.rank(caller, 6) == order


def test_views_that_differ_by_some_servers_differ_in_no_other_servers_callers() -> None:
    one, other = Assignment(), Assignment()
    one.set_servers(0.0, {f"i-{i}": 2.0 for i in range(20)})
    other.set_servers(0.0, {f"i-{i}": 2.0 for i in range(3, 21)})
    apart = {"i-0", "i-1", "i-2", "i-20"}
    here, there = homes(one), homes(other)
    differ = [c for c in CALLERS if here[c] != there[c]]
    assert differ and all(here[c] in apart or there[c] in apart for c in differ)


def test_a_flapping_server_drags_nobody_to_and_fro_and_a_mended_network_holds_nobody_back() -> None:
    of, weights = Assignment(), {f"i-{i}": 1.0 for i in range(12)}
    fewer = {s: w for s, w in weights.items() if s != "i-5"}
    of.set_servers(0.0, weights)
    first = homes(of)
    assert of.set_servers(1_000.0, fewer) == ["i-5"]
    without, now = homes(of), 1_000.0
    for times in range(3):
        now += 500.0
        assert of.set_servers(now, weights) == [] and homes(of) == without
        hold = HOLD_MS * 2 ** times
        assert of.next_release_at == now + hold
        assert of.set_servers(now + hold - 1.0, weights) == []
        now += hold - 1.0
        assert of.set_servers(now, fewer) == []
    assert of.set_servers(now + BACK_MS + 1.0, weights) == ["i-5"] and homes(of) == first
    half = {s: w for s, w in weights.items() if s > "i-5"}
    of.set_servers(now + QUIET, half)
    of.set_servers(now + QUIET + 1.0, weights)
    assert homes(of) == first


def test_a_caller_stays_in_its_zone_while_that_can_bear_it() -> None:
    of, weights = Assignment(), {f"i-{i}": 1.0 for i in range(9)}
    zones = {s: f"z{i % 3}" for i, s in enumerate(weights)}
    of.set_servers(0.0, weights, zones)
    caller, load = CALLERS[2], Counter[str]()
    order = of.rank(caller, 9, "z1")
    assert {zones[s] for s in order[:3]} == {"z1"} and len(set(order)) == 9
    rest = [s for s in of.rank(caller, 9) if s not in order[:3]]
    assert order[3:] == rest
    for n in range(90):                # all traffic comes from one zone
        chosen = of.choose(caller, lambda server: load[server], zone="z1", load_per_weight=(n + 1) / 9)
        assert chosen is not None
        load[chosen] += 1
    assert max(load.values()) <= 13 and sum(load[s] for s in order[:3]) >= 36
    zones["i-1"] = "z2"
    of.set_servers(QUIET, weights, zones)
    assert "i-1" not in of.rank(caller, 2, "z1")


def test_a_large_caller_gets_servers_one_at_a_time_and_few_callers_leave_nobody_overloaded() -> None:
    of, callers = Assignment(), CallerRates(mean_slots=2.0, limiter_count=4, max_servers=12)
    of.set_servers(0.0, {f"i-{i}": 2.0 for i in range(12)})
    big, small, now, width, most = CALLERS[0], CALLERS[1], 0.0, 1, 0
    while now < 30_000.0:              # a third of the slots of 12 servers, seen by each of 4 limiters
        callers.record_request(now, big, 20.0)
        callers.record_request(now, small, 0.1)
        fresh = callers.subset_size(now, big)
        assert abs(fresh - width) <= 1
        width, most, now = fresh, max(most, fresh), now + 10.0
    assert most == 8 and callers.subset_size(now, small) == 1
    used = {of.choose(big, lambda server: 0.0, subset_size=width) for _ in range(50)}
    assert used == set(of.rank(big, width))
    for _ in range(400):
        now += SHRINK_MS / 4
        fresh = callers.subset_size(now, big)
        assert width - fresh in (0, 1)
        width = fresh
    assert width == 1 and GROW_MS < SHRINK_MS


def test_a_cold_server_takes_callers_in_steps() -> None:
    of, now, taken = Assignment(), 1_000.0, []
    weights = {f"i-{i}": 4.0 for i in range(5)}
    for step in range(WARM_STEPS + 1):
        weights["i-9"] = warmed_weight(4.0, now + step * WARM_MS / WARM_STEPS, now + WARM_MS)
        of.set_servers(now + step, weights)
        taken.append({c for c, s in homes(of).items() if s == "i-9"})
    assert weights["i-9"] == 4.0 and taken[0] and len(taken[0]) * 4 < len(taken[-1])
    assert all(less <= more for less, more in zip(taken, taken[1:], strict=False))
