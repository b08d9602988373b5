"""What limiters learn of servers and tell each other: evidence, load, limits, and the choice that follows."""

from __future__ import annotations

import json
import math
import random
from collections.abc import Mapping
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as tries
from hypothesis import strategies as st

from larklb.admission.choice import ServerState
from larklb.balancing import estimates as e
from larklb.balancing.choice import CapacityAwareChoice
from larklb.balancing.errors import UnreadableError
from larklb.balancing.estimates import Ability, Estimates, judged
from larklb.balancing.load import InFlight, Others, bearable, divided, waiting


class Repeats(Estimates):
    """Fault: takes what it has taken already, or what is older."""

    def take(self, now: float, observer: str, message: Mapping[str, Any]) -> bool:
        self.reports.pop(observer, None)
        return Estimates.take(self, now, observer, message)


class Adds(Estimates):
    """Fault: adds sums to those that they replace."""

    def take(self, now: float, observer: str, message: Mapping[str, Any]) -> bool:
        old = self.reports.get(observer)
        new = Estimates.take(self, now, observer, message)
        if new and old is not None:
            for server, row in old.rows.items():
                if server in self.reports[observer].rows:
                    self.reports[observer].rows[server].weight += row.weight
        return new


class Hasty(Estimates):
    """Fault: believes one sample."""

    def ability(self, now: float, server: str) -> Ability:
        return judged(*(v * 6.0 for v in self.of(now, server).faded(now)))


class Meek(Estimates):
    """Fault: lets one observer outweigh all others."""

    def ability(self, now: float, server: str) -> Ability:
        parts = [row.faded(now) for row in self._heard(now, server)]
        return judged(*(sum(p[i] for p in parts) for i in range(4)))


def merges(kind: type[Estimates], seed: int) -> None:
    """However messages are lost, repeated and disordered, each observer's newest counts once."""
    chance, told = random.Random(seed), []
    observers = {f"m{i}": Estimates(incarnation=1) for i in range(3)}
    for step in range(12):
        name = chance.choice(sorted(observers))
        observers[name].of(0.0, "s").add(0.0, chance.gauss(0.5, 0.3), 1.0)
        told.append((name, json.loads(json.dumps(observers[name].message(0.0)))))
        if step % 4 == 3:              # a new life begins with nothing and still is news
            observers[name] = Estimates(incarnation=observers[name].incarnation + 1)
            told.append((name, observers[name].message(0.0)))
    heard, order = kind(), [w for w in told if chance.random() < 0.7] * 2
    last = {name: message for name, message in told}
    chance.shuffle(order)
    for name, message in order + list(last.items()) + order[:5]:
        heard.take(0.0, name, message)
    plain = Estimates()
    for name, message in last.items():
        plain.take(0.0, name, message)
    assert heard.ability(0.0, "s") == plain.ability(0.0, "s")


def believes(kind: type[Estimates], seed: int) -> None:
    """Neither one sample nor one observer condemns."""
    chance, one = random.Random(seed), kind()
    one.of(0.0, "s").add(0.0, 9.0, 99.0)
    assert one.ability(0.0, "s").slowness < math.log(2.0)
    many = kind()
    for i in range(6):
        observer = Estimates(incarnation=1)
        for _ in range(60 if i == 0 else 6):
            observer.of(0.0, "s").add(0.0, chance.gauss(1.4 if i == 0 else 0.0, 0.1), 1.5)
        many.take(0.0, f"m{i}", observer.message(0.0))
    assert many.ability(0.0, "s").slowness < math.log(2.0)


@tries(derandomize=True, deadline=None, max_examples=40)
@given(st.integers(0, 1 << 30))
def test_words_merge_and_nobody_condemns_alone(seed: int) -> None:
    merges(Estimates, seed)
    believes(Estimates, seed)


@pytest.mark.parametrize("fault", [Repeats, Adds, Hasty, Meek])
def test_the_property_finds_seeded_faults(fault: type[Estimates]) -> None:
    with pytest.raises(AssertionError):
        for seed in range(40):
            merges(fault, seed)
            believes(fault, seed)


def test_a_fall_is_believed_fast_and_forgotten_slowly() -> None:
    chance, known = random.Random(3), Estimates()
    sums, now = known.of(0.0, "s"), 0.0

    def see(times: float, samples: int) -> None:
        nonlocal now
        for _ in range(samples):
            now += 100.0
            sums.add(now, math.log(times) + chance.gauss(0.0, 0.8), 1.5)
            known.ability(now, "s")
    see(1.0, 100)
    assert 0.7 < known.ability(now, "s").factor < 1.3
    see(4.0, 20)
    assert known.ability(now, "s").factor > 2.0
    assert known.ability(now + 4_000.0, "s").factor > 1.5      # no evidence for a while: still held
    see(1.0, 200)
    assert known.ability(now, "s").factor < 1.3


@pytest.mark.parametrize("rows", [{"s": [1, 9, 0, 0, 0, 0]}, {"s": [1]}, {"s": [math.nan, 0, 0, 0, 0, 0]},
                                  {"s": [1, 0, 0, 0, -1, 0]}, 7])
def test_words_that_no_evidence_gives_are_refused(rows: Any) -> None:
    known = Estimates()
    with pytest.raises(UnreadableError):
        known.take(0.0, "m1", {"life": 1, "count": 1, "rows": rows})
    assert known.ability(0.0, "s") == Ability()


def test_old_reports_count_no_more() -> None:
    teller, known = Estimates(incarnation=1), Estimates()
    for _ in range(20):
        teller.of(0.0, "s").add(0.0, 1.0, 2.0)
    known.take(0.0, "m1", teller.message(0.0))
    assert known.ability(10.0, "s").slowness > 0.5
    assert known.ability(e.STALE_MS + 10.0, "s").slowness < 0.5 or known.fallen == {}
    assert known.others(e.STALE_MS + 10.0, "s") is None


def test_in_flight_replace_each_other_and_expire() -> None:
    teller, known = InFlight(incarnation=1), InFlight()
    first = teller.message(0.0, {"s": 2, "t": 0})
    second = teller.message(10.0, {"s": 1})
    assert first and second and teller.message(20.0, {"s": 1}) is None
    known.take(11.0, "m1", second)
    assert not known.take(12.0, "m1", first) and known.sums == {"s": 1}
    known.expire(1_000.0)
    assert known.sums == {} and not known.take(1_001.0, "m1", first)


@tries(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(0, 200),
       st.dictionaries(st.text("abc", min_size=1), st.floats(0, 1e6), min_size=1, max_size=8))
def test_parts_of_a_limit_add_up_and_leave_nobody_out(limit: int, demand: dict[str, float]) -> None:
    parts = divided(limit, demand)
    assert sum(parts.values()) == max(limit, len(demand)) and min(parts.values()) >= 1
    assert all(parts[a] <= parts[b] + 1 for a in demand for b in demand if demand[a] <= demand[b])


def test_waiting_follows_what_is_known_and_what_is_likely() -> None:
    assert waiting(0, 0.0, 2) == pytest.approx(0.0) and waiting(3, 0.0, 2) == 0.5
    exact = sum(max(0, n - 1) * math.exp(-2.0) * 2.0 ** n / math.factorial(n) for n in range(40)) / 2
    assert waiting(1, 2.0, 2) == pytest.approx(exact)
    assert bearable(2, 400.0, 4.0, 1_000.0) == 2.0             # the weakest has a request for each slot


def test_a_false_load_is_not_heeded() -> None:
    others = Others()
    for i in range(20):
        others.told(i * 100.0, 0, 0, 2, 1, 1.0)                # while there is one from here
    assert not others.trusted()
    for i in range(20):
        others.told(5_000.0 + i * 100.0, 1, 0, 2, 1, 1.0)
    assert others.trusted()


def fleet(count: int = 6) -> CapacityAwareChoice:
    choice = CapacityAwareChoice("a", {"a": "r"}, 1)
    choice.set_limiters("m0", [("m0", "a"), ("m1", "a")])
    choice.update([ServerState(f"s{i}", "t", "", "a", 2) for i in range(count)])
    return choice


def served(choice: CapacityAwareChoice, works: Mapping[str, float], routes: Mapping[str, float],
           load: bool = True) -> None:
    """Requests of each route, one at a time, on all servers in turn, which take ``works`` times the usual."""
    chance, now = random.Random(5), 0.0
    for i in range(60 * len(choice.servers)):
        for route, work in routes.items():
            assert choice.pick(now, "t", route, 1_000.0) is not None
            place = choice.servers[f"s{i % len(choice.servers)}"]
            choice.record_start(place)
            took = work * works.get(place.id, 1.0) * chance.lognormvariate(0.0, 0.4)
            now += took
            choice.record_answer(now, place, route, took, True)
            if load:
                choice.record_load(now, place, 0, 0)


@pytest.mark.parametrize("load", [True, False])
def test_a_slow_server_is_seen_and_dear_routes_blame_none(load: bool) -> None:
    choice = fleet()
    served(choice, {"s0": 2.0}, {"dear": 300.0, "cheap": 30.0}, load)
    now = choice.clock
    found = {name: choice.estimates.ability(now, name).factor for name in choice.servers}
    assert found["s0"] > 1.3 * max(f for name, f in found.items() if name != "s0")
    assert choice.norm("dear").work() / choice.norm("cheap").work() == pytest.approx(10.0, rel=0.25)


def test_peers_in_flight_keep_a_herd_from_one_server() -> None:
    choice = fleet(2)
    served(choice, {}, {"r": 50.0})
    now = choice.clock + 1.0
    for busy, idle in (("s0", "s1"), ("s1", "s0")):
        choice.apply_in_flight(now, "m1", {"life": 1, "count": now, "in_flight": {busy: 2}})
        picked = choice.pick(now, "t", "r", 1_000.0)
        assert picked is not None and picked.id == idle
        now += 1.0


def test_the_weakest_alone_serves_and_who_is_overdue_is_avoided() -> None:
    choice = fleet(2)
    served(choice, {"s0": 6.0}, {"r": 50.0})
    now = choice.clock + 1.0
    assert choice.pick(now, "t", "r", 1_000.0, exclude=("s1",)) is not None
    fast = choice.pick(now, "t", "r", 1_000.0)
    assert fast is not None and fast.id == "s1"
    other = fleet(2)
    first = other.pick(1.0, "t", "r", 1_000.0)
    assert first is not None
    other.record_start(first)
    second = other.pick(5_000.0, "t", "r", 10_000.0)
    assert second is not None and second.id != first.id
