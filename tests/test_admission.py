"""Tests of tenant quotas and retry budgets in simulated time.

Twelve limiters share the quota of a tenant over lossy links, with crashes, partitions and changes of the
ring.  What they admit in any window is compared with the permitted overshoot.  Retry budgets are compared
with a model that sees the requests of all limiters.  Some tests inject a fault, which the checks must detect.
"""

from __future__ import annotations

import heapq
import itertools
import logging
import math
import random
from bisect import bisect_left
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larklb.admission import quota_owner
from larklb.admission.budget import RetryBudget
from larklb.admission.quota_records import (
    Allowance,
    Ask,
    OvershootBound,
    OwnedBucket,
    QuotaDecision,
    configured_allowance,
)
from larklb.admission.quotas import Quotas
from larklb.admission.share_leases import LeaseDurations, ShareGrants
from larklb.quota.breaker import CircuitBreaker
from larklb.quota.ring import digest, ring_owner

LIMITERS = 12
WINDOW_MS = 5000.0
# Whether a message is lost: time, sender, receiver and a source of random numbers.
LossModel = Callable[[float, int, int, random.Random], bool]


class QuotaNetwork:
    """Simulates limiters, lossy links between them, and clients that send the requests of one tenant."""

    def __init__(self, allowance: Allowance, seed: int, is_lost: LossModel = lambda *_: False) -> None:
        self.allowance, self.rng, self.is_lost = allowance, random.Random(seed), is_lost
        self.now, self.sequence, self.events = 0.0, itertools.count(), list[Any]()
        self.numbers = {i: f"n{i}" for i in range(LIMITERS)}
        self.owner = ring_owner(digest(allowance.tenant), range(LIMITERS))
        self.limiters: dict[int, Quotas | None] = {}
        self.lease_timers = set[int]()
        self.admitted_at: list[float] = []
        self.requests, self.refused, self.asks = 0, 0, list[tuple[float, int]]()
        self.decisions: dict[str, int] = {}
        for i in range(LIMITERS):
            self.start(i, first_start=True)
        self.maintain()

    def start(self, i: int, *, first_start: bool) -> None:
        limiter = Quotas(f"n{i}", self.now, i, first_start=first_start)
        limiter.set_limiters(self.now, self.numbers, i)
        self.limiters[i] = limiter

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.sequence), action))

    def change_ring(self, when: float, numbers: dict[int, str], receivers: set[int]) -> None:
        """Give a new ring to ``receivers``, each at a random time within half a second after ``when``."""
        def apply(i: int) -> None:
            limiter = self.limiters[i]
            if limiter is not None:
                limiter.set_limiters(self.now, numbers, i if i in numbers else None)
                self.send_lease_messages(i, limiter)
        for i in receivers:
            self.schedule(when + self.rng.uniform(0, 500), lambda i=i: apply(i))    # type: ignore[misc]

    def kill(self, i: int) -> None:
        self.limiters[i] = None

    def maintain(self) -> None:
        for i, limiter in self.limiters.items():
            if limiter is not None:
                limiter.expire(self.now)
                for receiver, message in limiter.pending_messages(self.now):
                    self.send(i, receiver, message)
        self.schedule(self.now + 250.0, self.maintain)

    def send(self, sender: int, receiver: int, message: dict[str, Any]) -> None:
        if not self.is_lost(self.now, sender, receiver, self.rng):
            self.schedule(self.now + self.rng.uniform(1, 4), lambda: self.deliver(sender, receiver, message))

    def send_lease_messages(self, i: int, limiter: Quotas) -> None:
        for receiver, message in limiter.lease_messages(self.now):
            self.send(i, receiver, message)
        next_at = limiter.next_lease_messages_at()
        if next_at is not None and i not in self.lease_timers:
            self.lease_timers.add(i)
            self.schedule(max(self.now, next_at), lambda: self.continue_lease_messages(i))

    def continue_lease_messages(self, i: int) -> None:
        self.lease_timers.discard(i)
        if (limiter := self.limiters[i]) is not None:
            self.send_lease_messages(i, limiter)

    def deliver(self, sender: int, receiver: int, message: dict[str, Any]) -> None:
        limiter = self.limiters[receiver]
        if limiter is None:
            return
        if message["k"] in ("ask", "back", "hello", "free"):
            if (reply := limiter.handle_request(self.now, sender, message)) is not None:
                self.send(receiver, sender, reply)
            self.send_lease_messages(receiver, limiter)
        elif (decision := limiter.handle_reply(self.now, message)) is not None:
            self.record_decision(decision[1])

    def request(self, i: int) -> None:
        if (limiter := self.limiters[i]) is None:
            return
        self.requests += 1
        result = limiter.request(self.now, self.allowance)
        self.send_lease_messages(i, limiter)
        if isinstance(result, QuotaDecision):
            limiter.record_decision(self.now, self.allowance.tenant, result)
            return self.record_decision(result)
        self.asks.append((self.now, i))
        self.schedule(result.deadline, lambda: self.time_out(i, result))
        self.send(i, result.owner, result.message)

    def time_out(self, i: int, ask: Ask) -> None:
        limiter = self.limiters[i]
        if limiter is not None and (pending := limiter._pending.get(ask.number)) is not None \
                and not pending.timed_out:
            self.record_decision(limiter.handle_timeout(self.now, ask.number))

    def record_decision(self, decision: QuotaDecision) -> None:
        self.decisions[decision.decided_by] = self.decisions.get(decision.decided_by, 0) + 1
        if decision.allowed:
            self.admitted_at.append(self.now)
        else:
            self.refused += 1

    def add_load(self, begin: float, end: float, rate_per_s: float,
                 weights: list[float] | None = None) -> None:
        now = begin
        while (now := now + self.rng.expovariate(rate_per_s / 1000.0)) < end:
            i = self.rng.choices(range(LIMITERS), weights)[0]
            self.schedule(now, lambda i=i: self.request(i))                         # type: ignore[misc]

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def excess(self) -> float:
        """Return by how many requests the worst window exceeds the bound; at most 0 if it holds."""
        bound = (self.allowance.rate * WINDOW_MS / 1000.0 + self.allowance.burst) * 1.1 + 20.0
        times = sorted(self.admitted_at)
        max_admitted = max(i + 1 - bisect_left(times, t - WINDOW_MS) for i, t in enumerate(times))
        return max_admitted - bound


def admitted_by_one_bucket(allowance: Allowance, rate_per_s: float, seconds: float) -> float:
    """Return how many requests of an even stream a single bucket admits."""
    tokens, admitted = allowance.burst, 0
    for _ in range(int(rate_per_s * seconds)):
        tokens = min(allowance.burst, tokens + allowance.rate / rate_per_s)
        if tokens >= 1.0:
            tokens, admitted = tokens - 1.0, admitted + 1
    return admitted


HALF = set(range(0, LIMITERS, 2))


def partition(begin: float, end: float) -> LossModel:
    """Lose all messages between the two halves of the limiters from ``begin`` to ``end`` (ms)."""
    return lambda now, sender, receiver, _: begin <= now < end and (sender in HALF) != (receiver in HALF)


def crash(net: QuotaNetwork) -> None:
    """The owner crashes, leaves the ring, restarts and joins the ring again."""
    rest = {i: n for i, n in net.numbers.items() if i != net.owner}
    net.schedule(8000, lambda: net.kill(net.owner))
    net.change_ring(10500, rest, set(rest))
    net.schedule(16000, lambda: net.start(net.owner, first_start=False))
    net.change_ring(16500, net.numbers, set(net.numbers))


def quick_restart(net: QuotaNetwork) -> None:
    """The owner restarts so quickly that it stays in the ring."""
    net.schedule(8000, lambda: net.kill(net.owner))
    net.schedule(8700, lambda: net.start(net.owner, first_start=False))


def partition_splits_ring(net: QuotaNetwork) -> None:
    """A partition at 8 s, each half with a ring of its own from 11 s, healed at 20 s."""
    net.is_lost = partition(8000, 20000)
    for side in (HALF, set(net.numbers) - HALF):
        net.change_ring(11000, {i: net.numbers[i] for i in side}, side)
    net.change_ring(21500, net.numbers, set(net.numbers))


def partition_keeps_ring(net: QuotaNetwork) -> None:
    """A partition during which the ring does not change."""
    net.is_lost = partition(8000, 16000)


def loss(net: QuotaNetwork) -> None:
    """Most messages are lost for 10 s."""
    net.is_lost = lambda now, sender, receiver, rng: (
        rng.random() < 1.0 - 1.0 / LIMITERS and 8000 <= now < 18000)


def loss_from_start(net: QuotaNetwork) -> None:
    """Most messages are lost all the time."""
    net.is_lost = lambda now, sender, receiver, rng: rng.random() < 1.0 - 1.0 / LIMITERS


def ring_changes(net: QuotaNetwork) -> None:
    """Limiters, among them the owner, leave the ring and join it again while they keep running."""
    for k, at in enumerate(range(7000, 19000, 4000)):
        rest = {i: n for i, n in net.numbers.items() if i not in (net.owner, (net.owner + k + 1) % LIMITERS)}
        net.change_ring(at, rest, set(net.numbers))
        net.change_ring(at + 2000, net.numbers, set(net.numbers))


def overload(disturbance: Callable[[QuotaNetwork], None], seed: int, allowance: Allowance,
             calm_s: float = 6.0) -> QuotaNetwork:
    """Run 26 s with a disturbance: load below the rate for ``calm_s`` seconds, then eight times the rate."""
    net = QuotaNetwork(allowance, seed)
    disturbance(net)
    net.add_load(0, calm_s * 1000, allowance.rate * 0.7)
    net.add_load(calm_s * 1000, 26000, allowance.rate * 8)
    net.run(26000)
    return net


ALLOWANCES = [Allowance("huka270", 63, 63), Allowance("miro311", 20, 100), Allowance("tavo902", 8, 8),
              Allowance("kilo550", 10, 200)]
DISTURBANCES = [crash, quick_restart, partition_splits_ring, partition_keeps_ring, loss, loss_from_start,
                ring_changes]


@pytest.mark.parametrize("allowance", ALLOWANCES, ids=lambda a: f"{a.rate}-{a.burst}")
@pytest.mark.parametrize("disturbance", DISTURBANCES)
@pytest.mark.parametrize("calm_s", [6.0, 7.9])
def test_an_overloaded_tenant_stays_within_the_bound(disturbance: Callable[[QuotaNetwork], None],
                                                     allowance: Allowance, calm_s: float) -> None:
    """The disturbance comes two seconds after the overload has begun, or in the middle of its burst."""
    net = overload(disturbance, 1, allowance, calm_s)
    assert net.excess() <= 0, net.decisions


FEW = [1.0 if i in (1, 4, 7) else 0.0 for i in range(LIMITERS)]
SMALL = Allowance("sela118", 10, 10)


@pytest.mark.parametrize("allowance", [ALLOWANCES[0], SMALL], ids=lambda a: f"{a.rate}")
@pytest.mark.parametrize("weights", [None, FEW], ids=["all", "few"])
def test_a_tenant_below_its_rate_is_not_refused(allowance: Allowance, weights: list[float] | None) -> None:
    """Also if its requests arrive at a few limiters, and at other ones in the second half."""
    net = QuotaNetwork(allowance, 3)
    net.add_load(0, 30000, allowance.rate * 0.7, weights)
    net.add_load(30000, 60000, allowance.rate * 0.7, weights and weights[1:] + weights[:1])
    net.run(60000)
    assert net.refused <= 0.005 * net.requests, (net.refused, net.requests)


@pytest.mark.parametrize("rate", [50.0, 8.0])
def test_a_tenant_without_a_burst_is_served_at_its_rate(rate: float) -> None:
    """Guards against refusals below a limit: with a rate and no burst each request was refused."""
    net = QuotaNetwork(configured_allowance("huka270", rate, 0.0, OvershootBound()), 3)
    net.add_load(0, 60000, rate * 0.7)
    net.run(60000)
    assert net.refused <= 0.005 * net.requests, (net.refused, net.requests)


@pytest.mark.parametrize("rate", [50.0, 8.0])
@pytest.mark.parametrize("disturbance", DISTURBANCES)
def test_a_tenant_without_a_burst_stays_within_the_bound(
        disturbance: Callable[[QuotaNetwork], None], rate: float) -> None:
    """The rule QUOTA knows only the configured burst, which is 0."""
    net = overload(disturbance, 1, configured_allowance("huka270", rate, 0.0, OvershootBound()))
    net.allowance = Allowance("huka270", rate, 0.0)
    assert net.excess() <= 0, net.decisions


@pytest.mark.parametrize(("rate", "burst"), [(1e308, 1e308), (10**18, 0.0), (1e-320, 1e-320), (50.0, 0.5)])
def test_a_quota_of_any_size_admits_a_request(rate: float, burst: float) -> None:
    """Guards against STARVED: numbers beyond those that arithmetic is exact for refused each request."""
    allowance = configured_allowance("t", rate, burst, OvershootBound())
    assert 1.0 <= allowance.burst <= 1e9 and allowance.rate <= 1e9
    owner = Quotas("x", 0.0, 1, first_start=True)
    owner.set_limiters(0.0, {0: "x"}, 0)
    decision = owner.request(10_000.0, allowance)
    assert isinstance(decision, QuotaDecision) and decision.allowed


@pytest.mark.parametrize("disturbance",
                         [crash, quick_restart, partition_splits_ring, partition_keeps_ring, loss])
def test_a_disturbance_costs_little_of_an_overloaded_tenants_quota(
        disturbance: Callable[[QuotaNetwork], None]) -> None:
    net = overload(disturbance, 2, ALLOWANCES[0])
    undisturbed = admitted_by_one_bucket(ALLOWANCES[0], 63 * 0.7, 6.0) \
        + admitted_by_one_bucket(ALLOWANCES[0], 63 * 8, 20.0)
    assert len(net.admitted_at) > 0.85 * undisturbed


def test_a_restarted_owner_starts_with_few_tokens_and_slice_usage_is_deducted_once() -> None:
    allowance = Allowance("huka270", 1, 40)
    numbers = {0: "a", 1: "b"}
    owner_number = ring_owner(digest("huka270"), [0, 1])
    owner, asker = (Quotas("x", 0.0, 1, first_start=False), Quotas("y", 0.0, 2, first_start=True))
    owner.set_limiters(0.0, numbers, owner_number)
    asker.set_limiters(0.0, numbers, 1 - owner_number)

    def ask(now: float) -> Ask:
        result = asker.request(now, allowance)
        assert isinstance(result, Ask)
        return result

    def tokens(now: float) -> float:
        return float(owner.rows(now)[0]["tokens"])

    reply = owner.handle_request(0.0, 1 - owner_number, ask(0.0).message)
    assert reply is not None and tokens(0.0) == 40 * quota_owner.MOVED_BURST_FRACTION - 1
    assert asker.handle_reply(1.0, reply) == (1, QuotaDecision(True, 0.0, "asked"))
    assert asker.handle_reply(1.0, reply) is None
    first, second = ask(2.0), ask(2.0)
    assert asker.handle_timeout(70.0, first.number).allowed \
        and asker.handle_timeout(70.0, second.number).decided_by == "copy"
    third = ask(80.0)
    assert third.message["spent"] == 2
    answer = owner.handle_request(81.0, 1 - owner_number, third.message)
    assert answer is not None and abs(tokens(81.0) - (9 - 2 - 1)) < 0.2
    # A duplicate of the ask takes a token of its own, but the usage it reports is not deducted again.
    assert owner.handle_request(82.0, 1 - owner_number, third.message) is not None
    assert abs(tokens(82.0) - (9 - 2 - 2)) < 0.2


def test_the_owner_applies_the_newest_version_of_an_allowance() -> None:
    owner = Quotas("x", 0.0, 1, first_start=True)
    owner.set_limiters(0.0, {0: "a", 1: "b"}, 0)
    ask = {"k": "ask", "n": 1, "t": "t", "r": 10.0, "b": 50.0, "v": 3, "life": 1, "spent": 0, "heard": 0}
    first = owner.handle_request(0.0, 1, ask)
    assert first is not None and first["left"] == 49
    owner.set_allowances(1.0, 5, {"t": Allowance("t", 1.0, 5.0)})
    for message in (ask, ask | {"v": 4, "b": 90.0}):
        assert (reply := owner.handle_request(2.0, 1, message)) is not None and reply["left"] < 5
    assert owner.handle_request(3.0, 1, ask | {"v": 6, "r": 2.0, "b": 9.0}) is not None
    assert owner.rows(3.0)[0]["burst"] == 9.0


MESSAGES: list[dict[str, Any]] = [
    {"k": "ask", "n": 1, "t": "t", "r": 10.0, "b": 50.0, "v": 3, "life": 1, "spent": 0, "heard": 0,
     "left": 1.0, "of": 1},
    {"k": "back", "n": 1, "t": "t", "life": 1, "spent": 0, "heard": 0}, {"k": "hello", "ring": 4}]
INVALID_VALUES: list[Any] = [None, -2, float("nan"), float("inf"), [], "", {}, True, 10 ** 30]


@pytest.mark.parametrize("message,key", [(message, key) for message in MESSAGES for key in message])
def test_a_message_with_one_invalid_value_is_ignored(message: dict[str, Any], key: str) -> None:
    limiter = Quotas("x", 0.0, 1, first_start=True)
    limiter.set_limiters(0.0, {0: "a", 1: "b"}, 0)
    for value in INVALID_VALUES:
        assert limiter.handle_request(0.0, 1, message | {key: value}) is None
        assert limiter.handle_reply(0.0, message | {key: value}) is None
    assert not limiter.rows(0.0) and limiter.handle_request(0.0, 1, message) is not None


LEASE_REQUEST = {"k": "hello", "ring": 1, "t": ["huka270"], "life": 5, "at": 1.0}


@pytest.mark.parametrize("key", ["ring", "t", "life", "at"])
def test_a_lease_request_with_one_invalid_value_grants_nothing(key: str) -> None:
    numbers = {0: "a", 1: "b"}
    owner = ring_owner(digest("huka270"), [0, 1])
    limiter = Quotas("x", 0.0, 1, first_start=True)
    limiter.set_limiters(0.0, numbers, 1 - owner)
    values: list[Any] = [None, True, -1, "x", [], [""], [1], ["t"] * 17, {}]
    for value in values:
        reply = limiter.handle_request(0.0, owner, LEASE_REQUEST | {key: value})
        assert reply is None or not reply["t"], reply
    reply = limiter.handle_request(0.0, owner, LEASE_REQUEST)
    assert reply is not None and reply["t"] == [["huka270", -quota_owner.RESERVATION_MS]]


def test_a_share_is_leased_to_one_owner_at_a_time() -> None:
    durations = LeaseDurations(requested=1000.0, asked=500.0)
    grants = ShareGrants.at_start(0.0, durations, first_start=True)
    assert grants.grant_request(0.0, "t", 1) == -math.inf and grants.grant_request(500.0, "t", 1) == -math.inf
    assert grants.grant_request(600.0, "t", 2) == 950.0, "1,050 ms after the last lease"
    assert grants.grant_ask(600.0, "t", 1) == -math.inf, "an ask doesn't shorten a lease"
    assert grants.grant_request(1550.0, "t", 2) == 0.0 and grants.grant_request(1600.0, "t", 2) == -50.0
    grants.release(1700.0, "t", 1)
    assert grants.grant_request(1700.0, "t", 1) == 950.0
    grants.release(1800.0, "t", 2)
    assert grants.grant_ask(1810.0, "t", 1) == -10.0 and grants.grant_request(1810.0, "t", 2) == 525.0
    restarted = ShareGrants.at_start(0.0, durations, first_start=False)
    assert restarted.grant_request(25.0, "t", 1) == 500.0 and restarted.held_for(25.0, "u") == 500.0
    assert restarted.held_for(25.0, "t") == 500.0 and restarted.grant_request(525.0, "t", 1) == 0.0


def test_a_reply_to_an_earlier_process_or_a_late_one_gives_no_lease() -> None:
    owner_number = ring_owner(digest("huka270"), [0, 1])
    owner = Quotas("x", 0.0, 1, first_start=True)
    owner.set_limiters(0.0, {0: "a", 1: "b"}, owner_number)
    allowance = Allowance("huka270", 10, 4)
    for _ in range(4):
        owner.request(0.0, allowance)
    (_, request), = owner.lease_messages(0.0)
    reply = {"k": "hi", "n": 1 - owner_number, "ring": request["ring"], "t": [["huka270", -1.0]],
             "life": request["life"], "at": 0.0}

    def apart() -> int:
        return int(owner.rows(1600.0)[0]["apart"])

    owner.handle_reply(900.0, reply | {"life": request["life"] + 1})
    owner.handle_reply(1550.0, reply)
    owner.handle_reply(1550.0, reply | {"at": 2000.0})
    assert apart() == 1
    owner.handle_reply(1550.0, reply | {"at": 1400.0})
    assert apart() == 0


def test_the_log_tells_ring_owner_and_basis_of_decisions(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "quota")
    net = QuotaNetwork(ALLOWANCES[0], 1)
    net.add_load(0, 6000, ALLOWANCES[0].rate * 3)
    net.run(5500)
    limiter = net.limiters[net.owner]
    assert limiter is not None
    assert "ring" in caplog.text and "of 12 limiters, 0 left recently, own number 3." in caplog.text
    limiter.write_log(net.now)
    owner_line = caplog.messages[-1]
    assert "tenant huka270: in 5." in owner_line and "owner allowed" in owner_line
    assert f"owner n{net.owner}" in owner_line and "at 1.00 of the rate" in owner_line
    net.run(6000)
    rest = {i: n for i, n in net.numbers.items() if i != net.owner}
    limiter.set_limiters(net.now, rest, None)
    assert "ring" in caplog.messages[-2] and "of 11 limiters" in caplog.messages[-2]
    assert "tenant huka270: owner n" in caplog.messages[-1] and "before, in 0." in caplog.messages[-1]


# Injected faults, which the checks above must detect.


def test_a_full_burst_after_each_change_of_owner_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    get_owned = Quotas._get_owned

    def get_full(self: Quotas, now: float, allowance: Allowance, version: int, left: float | None) -> Any:
        existing = self._owned.get(allowance.tenant)
        is_new = existing is None \
            or existing.ownership_lost and self._owner(allowance.tenant) == self._own_number
        owned = get_owned(self, now, allowance, version, None)
        if is_new:
            owned.bucket.tokens, owned.recently_moved = allowance.burst, False
        return owned

    def use_all_shares(self: Quotas, now: float, owned: OwnedBucket) -> None:
        owned.shares.used, owned.bucket.part = set(self._ring), 1.0

    monkeypatch.setattr(Quotas, "_get_owned", get_full)
    # A new owner uses most of a burst only as the other limiters lease their shares.
    assert overload(ring_changes, 1, ALLOWANCES[0]).excess() <= 0
    monkeypatch.setattr(Quotas, "_update_shares", use_all_shares)
    assert overload(ring_changes, 1, ALLOWANCES[0]).excess() > 0


def test_a_copy_that_every_limiter_spends_in_full_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Quotas, "_limiter_count", lambda self: 1)
    assert overload(partition_keeps_ring, 1, ALLOWANCES[0]).excess() > 0


@pytest.mark.parametrize("ignored", [False, True])
def test_an_open_circuit_breaker_stops_asks(ignored: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    if ignored:
        monkeypatch.setattr(CircuitBreaker, "allows", lambda self, now: True)
    net = overload(partition_keeps_ring, 1, ALLOWANCES[0])
    across = [i for at, i in net.asks if 8500 <= at < 16000 and (i in HALF) != (net.owner in HALF)]
    assert (len(across) > 0) is ignored


class Model:
    """All requests and retries of a service over all limiters, each with its time."""

    def __init__(self, ratio: float, slack: float) -> None:
        self.ratio, self.slack = ratio, slack
        self.requests: list[float] = []
        self.retries: list[float] = []

    def over(self, window: float) -> float:
        """Return by how many retries the worst window that begins with a retry exceeds the bound."""
        worst = -self.slack
        for begin in self.retries:
            def inside(times: list[float], a: float) -> int:
                return bisect_left(times, a + window + 1e-6) - bisect_left(times, a)
            requests = max(inside(self.requests, begin - back) for back in (0.0, window / 2, window))
            worst = max(worst, inside(self.retries, begin) - self.ratio * requests - self.slack)
        return worst


PHASES = st.lists(st.tuples(st.floats(50, 9000), st.integers(0, 60), st.integers(0, 60), st.integers(0, 11),
                            st.booleans()), min_size=1, max_size=14)


def play(phases: list[tuple[float, int, int, int, bool]], limiters: int, slack: float) -> Model:
    """Run phases: each has a length in ms, requests, wanted retries, a limiter, and whether it restarts."""
    model, window, now = Model(0.2, slack), 10_000.0, 5.0
    budgets = [RetryBudget(0.2, window, slack, limiters, now, first_start=True, node=f"n{i}")
               for i in range(limiters)]
    restarted: dict[int, float] = {}
    for length, requests, wanted, i, restart in phases:
        i %= limiters
        if restart and now - restarted.get(i, -window) >= window:
            budgets[i], restarted[i] = RetryBudget(0.2, window, slack, limiters, now, first_start=False,
                                                   node=f"n{i}"), now
        for k in range(requests + wanted):
            now += length / (requests + wanted)
            budget = budgets[(i + k % 2) % limiters]
            if k < requests:
                budget.record_request(now, "s")
                model.requests.append(now)
            elif budget.take_retry(now, "s"):
                model.retries.append(now)
    return model


# Hypothesis derives the examples of this test from its source text.
@settings(derandomize=True, deadline=None, max_examples=150)
@given(PHASES, st.sampled_from([1, 3, 12, 48]), st.sampled_from([0.0, 20.0, 64.0]))
def test_further_tries_stay_inside_the_budget(phases: list[tuple[float, int, int, int, bool]], limiters: int,
                                              slack: float) -> None:
    assert play(phases, limiters, slack).over(10_000.0) <= 0


def test_the_budget_can_be_used_and_a_missing_window_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def steady(calm: int, busy: int) -> Model:
        return play([(500.0, 11, 0, 0, False)] * calm + [(500.0, 11, 11, 0, False)] * busy, 1, 0.0)

    assert len(steady(60, 20).retries) > 0.75 * 0.2 * 220 and len(steady(60, 1).retries) > 5
    assert steady(60, 60).over(10_000.0) <= 0

    def within_total(self: RetryBudget, now: float, counts: Any) -> bool:
        return bool(1 + sum(counts.retries) <= 0.85 * 0.2 * sum(counts.requests))

    monkeypatch.setattr(RetryBudget, "_within_budget", within_total)
    assert steady(60, 60).over(10_000.0) > 0
