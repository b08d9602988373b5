"""Tests of the assignment of callers to servers: which callers move, load bounds, and a plain model."""

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
    FLAP_WINDOW_MS,
    HOLD_DOWN_MS,
    WARM_UP_MS,
    WARM_UP_STEPS,
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
QUIET_MS = HOLD_DOWN_MS * 100      # between changes, so that no server counts as flapping


def model_rank(weights: Mapping[str, float], caller: int) -> list[str]:
    """All servers by the distance of their nearest virtual node, each of which is looked at."""
    def distance(server: str) -> tuple[int, str]:
        nodes = max(1, round(weights[server] * assignment.NODES_PER_WEIGHT))
        positions = [ring.node_position(server, n) for n in range(nodes)]
        return min((position - p) % (1 << 64)
                   for position in positions for p in ring.probe_positions(caller)), server
    return sorted((s for s in weights if weights[s] > 0), key=distance)


def model_choice(weights: Mapping[str, float], order: list[str], load: Mapping[str, float],
                 excluded: set[str], balance_factor: float) -> str | None:
    """The rule of bounded loads where all loads are known."""
    order = [s for s in order if load[s] < math.inf]
    load_per_weight = (sum(load[s] for s in order) + 1) / (sum(weights[s] for s in order) or 1)
    order = [s for s in order if s not in excluded]
    for server in order:
        fair_share = load_per_weight * weights[server]
        if load[server] < fair_share or load[server] + 1 < balance_factor * fair_share:
            return server
    least = min((load[s] / weights[s] for s in order), default=0.0)
    return next((s for s in order if load[s] / weights[s] <= balance_factor * least), None)


def first_servers(assigned: Assignment) -> dict[int, str]:
    """Each caller's first server, by a choice without any load."""
    return {c: s for c in CALLERS if (s := assigned.choose(c, lambda server: 0.0)) is not None}


def check(history: list[tuple[int, float]]) -> None:
    """Applies changes of weight (0: leaves); each may move only the callers of the changed server."""
    actual, weights, before, now = Assignment(), dict[str, float](), dict[int, str](), 0.0
    for number, weight in history:
        server, now = f"i-{number}", now + QUIET_MS
        old = weights.pop(server, 0.0)
        if weight > 0:
            weights[server] = weight
        assert actual.set_servers(now, weights) == ([server] if (old > 0) != (weight > 0) else [])
        after = first_servers(actual)
        assert set(after.values()) <= weights.keys() and bool(after) == bool(weights)
        if before and after:
            for caller in CALLERS:
                if before[caller] != after[caller]:
                    assert (before if weight < old else after)[caller] == server
        before = after
        restarted = Assignment()       # a limiter that starts now and learns the servers in another order
        restarted.set_servers(0.0, dict(sorted(weights.items(), reverse=True)))
        assert first_servers(restarted) == after
    for caller in CALLERS[:40]:
        assert actual.rank(caller, 9) == model_rank(weights, caller)


@settings(derandomize=True, deadline=None, max_examples=25)
@given(HISTORIES)
def test_change_moves_only_assigned_the_changed_server(history: list[tuple[int, float]]) -> None:
    check(history)


SET_NODES, WALK = ring.Ring.set_nodes, ring.Ring.walk
FAULTS: dict[str, tuple[object, str, Callable[..., object]]] = {
    "nodes depend on who came before": (ring.Ring, "set_nodes", lambda self, server, nodes: SET_NODES(
        self, server, nodes and nodes + 2 * len(self.nodes))),
    "an order depends on how many servers there are": (ring.Ring, "walk", lambda self, caller: WALK(
        self, caller ^ len(self.nodes) << 60)),
    "a node is left behind": (ring.Ring, "_remove", lambda self, server, position: None),
    "the ring doesn't close": (ring.Ring, "_cursor_at", lambda self, probe, bucket, i: (
        (self._positions[bucket][i] - probe) & ring.POSITION_MASK, probe, bucket, i
    ) if i < len(self._positions[bucket]) else (
        ring.POSITION_MASK, probe, len(self._positions) - 1, len(self._positions[-1]) - 1)),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_seeded_faults_are_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    rng = random.Random(4)
    history = [(i, 2.0) for i in range(8)]
    history += [(rng.randrange(8), rng.choice([0.0, 1.0, 7.3])) for _ in range(9)]
    check(history)
    monkeypatch.setattr(*FAULTS[fault])
    with pytest.raises((AssertionError, IndexError, KeyError)):
        check(history)


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.lists(st.tuples(st.sampled_from([0.5, 1.0, 4.0]),
                          st.sampled_from([0.0, 1.0, 2.0, 5.0, 9.0, math.inf])), min_size=1, max_size=9),
       st.sets(st.integers(0, 8), max_size=3))
def test_choice_matches_the_model(servers: list[tuple[float, float]], excluded_numbers: set[int]) -> None:
    weights = {f"i-{i}": weight for i, (weight, _) in enumerate(servers)}
    load = {f"i-{i}": server_load for i, (_, server_load) in enumerate(servers)}
    actual = Assignment()
    actual.set_servers(0.0, weights)
    excluded = {f"i-{i}" for i in excluded_numbers}
    for caller in CALLERS[:20]:
        chosen = actual.choose(caller, load.__getitem__, excluded)
        assert chosen == model_choice(weights, model_rank(weights, caller), load, excluded,
                                      actual.balance_factor)


def choose_again(assigned: Assignment, load: Counter[str], server_of: dict[int, str]) -> int:
    """Ends each caller's last request and begins its next one; returns how many changed their server."""
    moved = 0
    for caller in CALLERS:
        if caller in server_of:
            load[server_of[caller]] -= 1
        chosen = assigned.choose(caller, lambda server: load[server])
        assert chosen is not None
        moved += server_of.get(caller) != chosen
        server_of[caller] = chosen
        load[chosen] += 1
    return moved


def test_rolling_release_of_half_of_the_servers_moves_few_callers() -> None:
    assigned, load, server_of = Assignment(), Counter[str](), dict[int, str]()
    weights = {f"i-{i}": 1.0 + i % 3 for i in range(16)}
    assigned.set_servers(0.0, weights)
    while choose_again(assigned, load, server_of):
        pass
    necessary = moved = 0
    for i in range(8):                 # one server leaves, then its successor joins
        now = QUIET_MS * (i + 1)
        necessary += load[f"i-{i}"]
        del weights[f"i-{i}"]
        assigned.set_servers(now, weights)
        moved += choose_again(assigned, load, server_of)
        assert not load[f"i-{i}"]
        weights[f"j-{i}"] = 1.0 + i % 3
        assigned.set_servers(now + 1.0, weights)
        moved += choose_again(assigned, load, server_of)
        necessary += load[f"j-{i}"]
        total = sum(weights.values())
        for server, weight in weights.items():
            fair_share = len(CALLERS) * weight / total
            assert load[server] <= max(assigned.balance_factor * fair_share, math.ceil(fair_share)) + 1
    assert necessary <= moved <= necessary * 1.25


def test_first_choice_after_a_start_reads_all_loads() -> None:
    assigned, caller = Assignment(), CALLERS[0]
    assigned.set_servers(0.0, {f"i-{i}": 1.0 for i in range(50)})
    assert assigned.choose(caller, lambda server: 10.0) == assigned.rank(caller, 1)[0]


def test_bound_is_raised_in_order_if_all_servers_are_full_or_excluded() -> None:
    assigned, caller = Assignment(), CALLERS[1]
    assigned.set_servers(0.0, {f"i-{i}": 2.0 for i in range(6)})
    order = assigned.rank(caller, 6)
    load = dict(zip(order, [90.0, 70.0, 61.0, 60.0, 60.0, 61.0], strict=True))
    assert assigned.choose(caller, load.__getitem__, load_per_weight=1.0) == order[1]
    assert assigned.choose(caller, load.__getitem__, order[:2], load_per_weight=1.0) == order[2]
    assert assigned.choose(caller, lambda server: math.inf) is None
    assert assigned.choose(caller, load.__getitem__, order) is None
    with pytest.raises(WeightError):
        assigned.set_servers(1.0, {"i-0": math.nan})
    assert assigned.rank(caller, 6) == order


def test_limiters_with_different_servers_agree_on_all_other_callers() -> None:
    one, other = Assignment(), Assignment()
    one.set_servers(0.0, {f"i-{i}": 2.0 for i in range(20)})
    other.set_servers(0.0, {f"i-{i}": 2.0 for i in range(3, 21)})
    only_one_has = {"i-0", "i-1", "i-2", "i-20"}
    first, second = first_servers(one), first_servers(other)
    differing = [c for c in CALLERS if first[c] != second[c]]
    assert differing and all(first[c] in only_one_has or second[c] in only_one_has for c in differing)


def test_flapping_server_is_held_down_but_not_many_that_return_together() -> None:
    assigned, weights = Assignment(), {f"i-{i}": 1.0 for i in range(12)}
    without_one = {s: w for s, w in weights.items() if s != "i-5"}
    assigned.set_servers(0.0, weights)
    first = first_servers(assigned)
    assert assigned.set_servers(1_000.0, without_one) == ["i-5"]
    expected_servers, now = first_servers(assigned), 1_000.0
    for flaps in range(3):
        now += 500.0
        assert assigned.set_servers(now, weights) == [] and first_servers(assigned) == expected_servers
        hold_down_ms = HOLD_DOWN_MS * 2 ** flaps
        assert assigned.next_release_at == now + hold_down_ms
        assert assigned.set_servers(now + hold_down_ms - 1.0, weights) == []
        now += hold_down_ms - 1.0
        assert assigned.set_servers(now, without_one) == []
    assert (assigned.set_servers(now + FLAP_WINDOW_MS + 1.0, weights) == ["i-5"]
            and first_servers(assigned) == first)
    half = {s: w for s, w in weights.items() if s > "i-5"}
    assigned.set_servers(now + QUIET_MS, half)
    assigned.set_servers(now + QUIET_MS + 1.0, weights)
    assert first_servers(assigned) == first


def test_caller_stays_in_its_zone_while_the_load_allows_it() -> None:
    assigned, weights = Assignment(), {f"i-{i}": 1.0 for i in range(9)}
    zones = {s: f"z{i % 3}" for i, s in enumerate(weights)}
    assigned.set_servers(0.0, weights, zones)
    caller, load = CALLERS[2], Counter[str]()
    order = assigned.rank(caller, 9, "z1")
    assert {zones[s] for s in order[:3]} == {"z1"} and len(set(order)) == 9
    rest = [s for s in assigned.rank(caller, 9) if s not in order[:3]]
    assert order[3:] == rest
    for n in range(90):                # all traffic comes from one zone
        chosen = assigned.choose(caller, lambda server: load[server], zone="z1",
                                   load_per_weight=(n + 1) / 9)
        assert chosen is not None
        load[chosen] += 1
    assert max(load.values()) <= 13 and sum(load[s] for s in order[:3]) >= 36
    zones["i-1"] = "z2"
    assigned.set_servers(QUIET_MS, weights, zones)
    assert "i-1" not in assigned.rank(caller, 2, "z1")


def test_subset_of_a_large_caller_changes_by_one_server_at_a_time() -> None:
    assigned, rates = Assignment(), CallerRates(mean_slots=2.0, limiter_count=4, max_servers=12)
    assigned.set_servers(0.0, {f"i-{i}": 2.0 for i in range(12)})
    large, small, now, size, largest = CALLERS[0], CALLERS[1], 0.0, 1, 0
    while now < 30_000.0:              # fills a third of the slots of 12 servers, seen by each of 4 limiters
        rates.record_request(now, large, 20.0)
        rates.record_request(now, small, 0.1)
        new_size = rates.subset_size(now, large)
        assert abs(new_size - size) <= 1
        size, largest, now = new_size, max(largest, new_size), now + 10.0
    assert largest == 8 and rates.subset_size(now, small) == 1
    used = {assigned.choose(large, lambda server: 0.0, subset_size=size) for _ in range(50)}
    assert used == set(assigned.rank(large, size))
    for _ in range(400):
        now += SHRINK_MS / 4
        new_size = rates.subset_size(now, large)
        assert size - new_size in (0, 1)
        size = new_size
    assert size == 1 and GROW_MS < SHRINK_MS


def test_cold_server_takes_callers_in_steps() -> None:
    assigned, now, taken = Assignment(), 1_000.0, []
    weights = {f"i-{i}": 4.0 for i in range(5)}
    for step in range(WARM_UP_STEPS + 1):
        weights["i-9"] = warmed_weight(4.0, now + step * WARM_UP_MS / WARM_UP_STEPS, now + WARM_UP_MS)
        assigned.set_servers(now + step, weights)
        taken.append({c for c, s in first_servers(assigned).items() if s == "i-9"})
    assert weights["i-9"] == 4.0 and taken[0] and len(taken[0]) * 4 < len(taken[-1])
    assert all(less <= more for less, more in zip(taken, taken[1:], strict=False))
