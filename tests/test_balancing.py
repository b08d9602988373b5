"""Tests of the balancing package: evidence and its exchange, load reports, limits, choice of server."""

from __future__ import annotations

import json
import math
import random
from collections.abc import Mapping
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as property_settings
from hypothesis import strategies as st

from larklb.admission.choice import ServerState
from larklb.balancing import estimates as estimates_module
from larklb.balancing.choice import CapacityAwareSelector
from larklb.balancing.errors import UnreadableError
from larklb.balancing.estimates import Estimate, Estimates, estimate_from_sums
from larklb.balancing.load import InFlight, ReportedLoad, divide_limit, expected_queue, max_in_flight


class AppliesOldMessages(Estimates):
    """Fault: applies messages that are repeated or older than the last one."""

    def apply(self, now: float, observer: str, message: Mapping[str, Any]) -> bool:
        self.reports.pop(observer, None)
        return Estimates.apply(self, now, observer, message)


class AddsToOldSums(Estimates):
    """Fault: adds the sums of a report to those that they replace."""

    def apply(self, now: float, observer: str, message: Mapping[str, Any]) -> bool:
        old = self.reports.get(observer)
        applied = Estimates.apply(self, now, observer, message)
        if applied and old is not None:
            for server, row in old.rows.items():
                if server in self.reports[observer].rows:
                    self.reports[observer].rows[server].precision += row.precision
        return applied


class TrustsOneSample(Estimates):
    """Fault: a single sample decides."""

    def estimate(self, now: float, server: str) -> Estimate:
        return estimate_from_sums(*(v * 6.0 for v in self.evidence(now, server).decayed(now)))


class TrustsOneObserver(Estimates):
    """Fault: the share of one observer is not limited."""

    def estimate(self, now: float, server: str) -> Estimate:
        parts = [row.decayed(now) for row in self._reported_evidence(now, server)]
        return estimate_from_sums(*(sum(p[i] for p in parts) for i in range(4)))


def check_merge(estimates_class: type[Estimates], seed: int) -> None:
    """However messages are lost, repeated and reordered, the newest of each observer counts once."""
    rng, sent = random.Random(seed), []
    observers = {f"m{i}": Estimates(incarnation=1) for i in range(3)}
    for step in range(12):
        name = rng.choice(sorted(observers))
        observers[name].evidence(0.0, "s").add(0.0, rng.gauss(0.5, 0.3), 1.0)
        sent.append((name, json.loads(json.dumps(observers[name].message(0.0)))))
        if step % 4 == 3:              # a new incarnation starts without evidence and still replaces the old
            observers[name] = Estimates(incarnation=observers[name].incarnation + 1)
            sent.append((name, observers[name].message(0.0)))
    receiver, order = estimates_class(), [m for m in sent if rng.random() < 0.7] * 2
    last = {name: message for name, message in sent}
    rng.shuffle(order)
    for name, message in order + list(last.items()) + order[:5]:
        receiver.apply(0.0, name, message)
    expected = Estimates()
    for name, message in last.items():
        expected.apply(0.0, name, message)
    assert receiver.estimate(0.0, "s") == expected.estimate(0.0, "s")


def check_outliers(estimates_class: type[Estimates], seed: int) -> None:
    """Neither a single sample nor a single observer makes a server look slow."""
    rng, one = random.Random(seed), estimates_class()
    one.evidence(0.0, "s").add(0.0, 9.0, 99.0)
    assert one.estimate(0.0, "s").log_slowdown < math.log(2.0)
    many = estimates_class()
    for i in range(6):
        observer = Estimates(incarnation=1)
        for _ in range(60 if i == 0 else 6):
            observer.evidence(0.0, "s").add(0.0, rng.gauss(1.4 if i == 0 else 0.0, 0.1), 1.5)
        many.apply(0.0, f"m{i}", observer.message(0.0))
    assert many.estimate(0.0, "s").log_slowdown < math.log(2.0)


@property_settings(derandomize=True, deadline=None, max_examples=40)
@given(st.integers(0, 1 << 30))
def test_messages_merge_and_no_single_source_decides(seed: int) -> None:
    check_merge(Estimates, seed)
    check_outliers(Estimates, seed)


@pytest.mark.parametrize("fault", [AppliesOldMessages, AddsToOldSums, TrustsOneSample, TrustsOneObserver])
def test_property_finds_seeded_faults(fault: type[Estimates]) -> None:
    with pytest.raises(AssertionError):
        for seed in range(40):
            check_merge(fault, seed)
            check_outliers(fault, seed)


def test_slowdown_is_accepted_quickly_and_forgotten_slowly() -> None:
    rng, estimates = random.Random(3), Estimates()
    evidence, now = estimates.evidence(0.0, "s"), 0.0

    def observe(slowdown: float, samples: int) -> None:
        nonlocal now
        for _ in range(samples):
            now += 100.0
            evidence.add(now, math.log(slowdown) + rng.gauss(0.0, 0.8), 1.5)
            estimates.estimate(now, "s")
    observe(1.0, 100)
    assert 0.7 < estimates.estimate(now, "s").slowdown < 1.3
    observe(4.0, 20)
    assert estimates.estimate(now, "s").slowdown > 2.0
    assert estimates.estimate(now + 4_000.0, "s").slowdown > 1.5      # it holds for a while without evidence
    observe(1.0, 200)
    assert estimates.estimate(now, "s").slowdown < 1.3


@pytest.mark.parametrize("rows", [{"s": [1, 9, 0, 0, 0, 0]}, {"s": [1]}, {"s": [math.nan, 0, 0, 0, 0, 0]},
                                  {"s": [1, 0, 0, 0, -1, 0]}, 7])
def test_malformed_or_impossible_evidence_is_rejected(rows: Any) -> None:
    estimates = Estimates()
    with pytest.raises(UnreadableError):
        estimates.apply(0.0, "m1", {"life": 1, "count": 1, "rows": rows})
    assert estimates.estimate(0.0, "s") == Estimate()


def test_old_reports_are_ignored() -> None:
    sender, receiver = Estimates(incarnation=1), Estimates()
    for _ in range(20):
        sender.evidence(0.0, "s").add(0.0, 1.0, 2.0)
    receiver.apply(0.0, "m1", sender.message(0.0))
    assert receiver.estimate(10.0, "s").log_slowdown > 0.5
    assert (receiver.estimate(estimates_module.REPORT_MAX_AGE_MS + 10.0, "s").log_slowdown < 0.5
            or receiver.slowdowns == {})
    assert receiver.mean_in_flight_of_others(estimates_module.REPORT_MAX_AGE_MS + 10.0, "s") is None


def test_in_flight_reports_replace_each_other_and_expire() -> None:
    sender, receiver = InFlight(incarnation=1), InFlight()
    first = sender.message(0.0, {"s": 2, "t": 0})
    second = sender.message(10.0, {"s": 1})
    assert first and second and sender.message(20.0, {"s": 1}) is None
    receiver.apply(11.0, "m1", second)
    assert not receiver.apply(12.0, "m1", first) and receiver.totals == {"s": 1}
    receiver.expire(1_000.0)
    assert receiver.totals == {} and not receiver.apply(1_001.0, "m1", first)


@property_settings(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(0, 200),
       st.dictionaries(st.text("abc", min_size=1), st.floats(0, 1e6), min_size=1, max_size=8))
def test_parts_of_a_limit_add_up_and_follow_demand(limit: int, demand: dict[str, float]) -> None:
    parts = divide_limit(limit, demand)
    assert sum(parts.values()) == max(limit, len(demand)) and min(parts.values()) >= 1
    assert all(parts[a] <= parts[b] + 1 for a in demand for b in demand if demand[a] <= demand[b])


def test_expected_queue_from_known_and_mean_load() -> None:
    assert expected_queue(0, 0.0, 2) == pytest.approx(0.0) and expected_queue(3, 0.0, 2) == 0.5
    exact = sum(max(0, n - 1) * math.exp(-2.0) * 2.0 ** n / math.factorial(n) for n in range(40)) / 2
    assert expected_queue(1, 2.0, 2) == pytest.approx(exact)
    assert max_in_flight(2, 400.0, 4.0, 1_000.0) == 2.0        # the slowest server gets one request per slot


def test_implausible_load_reports_are_ignored() -> None:
    reported = ReportedLoad()
    for i in range(20):
        reported.record(i * 100.0, 0, 0, 2, 1, 1.0)            # no load, though one request is from here
    assert not reported.trusted()
    for i in range(20):
        reported.record(5_000.0 + i * 100.0, 1, 0, 2, 1, 1.0)
    assert reported.trusted()


def make_choice(servers: int = 6) -> CapacityAwareSelector:
    choice = CapacityAwareSelector("a", {"a": "r"}, 1)
    choice.set_limiters("m0", [("m0", "a"), ("m1", "a")])
    choice.update([ServerState(f"s{i}", "t", "", "a", 2) for i in range(servers)])
    return choice


def serve_requests(choice: CapacityAwareSelector, slowdowns: Mapping[str, float], routes: Mapping[str, float],
                   load: bool = True) -> None:
    """Serves requests of each route one at a time on all servers in turn; ``slowdowns`` by server."""
    rng, now = random.Random(5), 0.0
    for i in range(60 * len(choice.servers)):
        for route, service_ms in routes.items():
            assert choice.pick(now, "t", route, 1_000.0) is not None
            place = choice.servers[f"s{i % len(choice.servers)}"]
            choice.record_start(place)
            took = service_ms * slowdowns.get(place.id, 1.0) * rng.lognormvariate(0.0, 0.4)
            now += took
            choice.record_answer(now, place, route, took, True)
            if load:
                choice.record_load(now, place, 0, 0)


@pytest.mark.parametrize("setpoint", [0.0, 5e-324, 1e-9, 1e300, 1.7e308])
def test_routes_with_any_setpoint_are_served(setpoint: float) -> None:
    """Guards against CONFIG: no request was served on a route with a setpoint of 0."""
    choice = make_choice()
    for n in range(12):  # as many as all slots of the service
        server = choice.pick(10.0 * n, "t", "r", setpoint)
        assert server is not None and math.isfinite(choice.load(10.0 * n, server))
        choice.record_start(server)
    for server in choice.servers.values():
        while server.in_flight:
            choice.record_answer(1_000.0, server, "r", 40.0, True)
    assert choice.pick(1_000.0, "t", "r", setpoint) is not None


@pytest.mark.parametrize("load", [True, False])
def test_slow_server_is_found_and_expensive_routes_count_against_none(load: bool) -> None:
    choice = make_choice()
    serve_requests(choice, {"s0": 2.0}, {"dear": 300.0, "cheap": 30.0}, load)
    now = choice.last_call_at
    found = {name: choice.estimates.estimate(now, name).slowdown for name in choice.servers}
    assert found["s0"] > 1.3 * max(f for name, f in found.items() if name != "s0")
    assert (choice.route_service_time("dear").mean_ms() / choice.route_service_time("cheap").mean_ms()
            == pytest.approx(10.0, rel=0.25))


def test_peers_requests_in_flight_prevent_herding() -> None:
    choice = make_choice(2)
    serve_requests(choice, {}, {"r": 50.0})
    now = choice.last_call_at + 1.0
    for busy, idle in (("s0", "s1"), ("s1", "s0")):
        choice.apply_in_flight(now, "m1", {"life": 1, "count": now, "in_flight": {busy: 2}})
        picked = choice.pick(now, "t", "r", 1_000.0)
        assert picked is not None and picked.id == idle
        now += 1.0


def test_slowest_server_serves_alone_and_overdue_server_is_avoided() -> None:
    choice = make_choice(2)
    serve_requests(choice, {"s0": 6.0}, {"r": 50.0})
    now = choice.last_call_at + 1.0
    assert choice.pick(now, "t", "r", 1_000.0, exclude=("s1",)) is not None
    fast = choice.pick(now, "t", "r", 1_000.0)
    assert fast is not None and fast.id == "s1"
    other = make_choice(2)
    first = other.pick(1.0, "t", "r", 1_000.0)
    assert first is not None
    other.record_start(first)
    second = other.pick(5_000.0, "t", "r", 10_000.0)
    assert second is not None and second.id != first.id
