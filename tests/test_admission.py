"""Quotas over twelve limiters in simulated time, and the budget of further tries, against plain models."""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import bisect_left
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as tries
from hypothesis import strategies as st

from larklb.admission import quotas as q
from larklb.admission.budget import RetryBudget
from larklb.admission.quota_records import Allowance, Ask, Verdict
from larklb.admission.quotas import Quotas
from larklb.quota.breaker import CircuitBreaker
from larklb.quota.ring import digest, ring_owner

N = 12
WINDOW = 5000.0
Lost = Callable[[float, int, int, random.Random], bool]


class Net:
    """Limiters, lossy links between them, and clients; everything at its simulated time."""

    def __init__(self, allowance: Allowance, seed: int, lost: Lost = lambda *_: False) -> None:
        self.allowance, self.chance, self.lost = allowance, random.Random(seed), lost
        self.now, self.order, self.events = 0.0, itertools.count(), list[Any]()
        self.numbers = {i: f"n{i}" for i in range(N)}
        self.owner = ring_owner(digest(allowance.tenant), range(N))
        self.limiters: dict[int, Quotas | None] = {}
        self.let_in: list[float] = []
        self.asked, self.refused, self.asks = 0, 0, list[tuple[float, int]]()
        self.by: dict[str, int] = {}
        for i in range(N):
            self.start(i, settled=True)
        self.upkeep()

    def start(self, i: int, *, settled: bool) -> None:
        limiter = Quotas(f"n{i}", self.now, i, first_start=settled)
        limiter.set_limiters(self.now, self.numbers, i)
        self.limiters[i] = limiter

    def at(self, when: float, do: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), do))

    def view(self, when: float, numbers: dict[int, str], whose: set[int]) -> None:
        """The limiters get a new table, each at its own time within half a second."""
        def take(i: int) -> None:
            limiter = self.limiters[i]
            if limiter is not None:
                limiter.set_limiters(self.now, numbers, i if i in numbers else None)
        for i in whose:
            self.at(when + self.chance.uniform(0, 500), lambda i=i: take(i))        # type: ignore[misc]

    def kill(self, i: int) -> None:
        self.limiters[i] = None

    def upkeep(self) -> None:
        for i, limiter in self.limiters.items():
            if limiter is not None:
                limiter.expire(self.now)
                for to, note in limiter.pending_messages(self.now):
                    self.post(i, to, note)
        self.at(self.now + 250.0, self.upkeep)

    def post(self, sender: int, to: int, message: dict[str, Any]) -> None:
        if not self.lost(self.now, sender, to, self.chance):
            self.at(self.now + self.chance.uniform(1, 4), lambda: self.arrive(sender, to, message))

    def arrive(self, sender: int, to: int, message: dict[str, Any]) -> None:
        limiter = self.limiters[to]
        if limiter is None:
            return
        if message["k"] in ("ask", "back", "hello"):
            if (answer := limiter.handle_request(self.now, sender, message)) is not None:
                self.post(to, sender, answer)
        elif (told := limiter.handle_reply(self.now, message)) is not None:
            self.decided(told[1])

    def request(self, i: int) -> None:
        if (limiter := self.limiters[i]) is None:
            return
        self.asked += 1
        got = limiter.request(self.now, self.allowance)
        if isinstance(got, Verdict):
            return self.decided(got)
        self.asks.append((self.now, i))
        self.at(got.deadline, lambda: self.late(i, got))
        self.post(i, got.owner, got.message)

    def late(self, i: int, ask: Ask) -> None:
        limiter = self.limiters[i]
        if limiter is not None and (sent := limiter._pending.get(ask.number)) is not None \
                and not sent.timed_out:
            self.decided(limiter.handle_timeout(self.now, ask.number))

    def decided(self, verdict: Verdict) -> None:
        self.by[verdict.decided_by] = self.by.get(verdict.decided_by, 0) + 1
        if verdict.allowed:
            self.let_in.append(self.now)
        else:
            self.refused += 1

    def load(self, begin: float, end: float, per_s: float, weights: list[float] | None = None) -> None:
        now = begin
        while (now := now + self.chance.expovariate(per_s / 1000.0)) < end:
            i = self.chance.choices(range(N), weights)[0]
            self.at(now, lambda i=i: self.request(i))                               # type: ignore[misc]

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, do = heapq.heappop(self.events)
            do()

    def over(self) -> float:
        """Requests let in over the rule's bound in the worst window; below 0 when it is kept."""
        bound = (self.allowance.rate * WINDOW / 1000.0 + self.allowance.burst) * 1.1 + 20.0
        times = sorted(self.let_in)
        most = max(i + 1 - bisect_left(times, t - WINDOW) for i, t in enumerate(times))
        return most - bound


def perfect(allowance: Allowance, per_s: float, seconds: float) -> float:
    """What one bucket lets in of an even stream."""
    tokens, let_in = allowance.burst, 0
    for _ in range(int(per_s * seconds)):
        tokens = min(allowance.burst, tokens + allowance.rate / per_s)
        if tokens >= 1.0:
            tokens, let_in = tokens - 1.0, let_in + 1
    return let_in


HALF = set(range(0, N, 2))


def cut(begin: float, end: float) -> Lost:
    return lambda now, a, b, _: begin <= now < end and (a in HALF) != (b in HALF)


def crash(net: Net) -> None:
    rest = {i: n for i, n in net.numbers.items() if i != net.owner}
    net.at(8000, lambda: net.kill(net.owner))
    net.view(10500, rest, set(rest))
    net.at(16000, lambda: net.start(net.owner, settled=False))
    net.view(16500, net.numbers, set(net.numbers))


def quick_restart(net: Net) -> None:
    net.at(8000, lambda: net.kill(net.owner))
    net.at(8700, lambda: net.start(net.owner, settled=False))


def sides(net: Net) -> None:
    """Cut in halves at 8 s, each side with its own table from 11 s, healed at 20 s."""
    net.lost = cut(8000, 20000)
    for side in (HALF, set(net.numbers) - HALF):
        net.view(11000, {i: net.numbers[i] for i in side}, side)
    net.view(21500, net.numbers, set(net.numbers))


def halves(net: Net) -> None:
    net.lost = cut(8000, 16000)


def losses(net: Net) -> None:
    net.lost = lambda now, a, b, chance: chance.random() < 1.0 - 1.0 / N and 8000 <= now < 18000


def losses_at_first(net: Net) -> None:
    net.lost = lambda now, a, b, chance: chance.random() < 1.0 - 1.0 / N


def moves(net: Net) -> None:
    """Limiters leave the ring and come back, the owner among them, all the while running."""
    for k, at in enumerate(range(7000, 19000, 4000)):
        less = {i: n for i, n in net.numbers.items() if i not in (net.owner, (net.owner + k + 1) % N)}
        net.view(at, less, set(net.numbers))
        net.view(at + 2000, net.numbers, set(net.numbers))


def hot(trouble: Callable[[Net], None], seed: int, allowance: Allowance, calm_s: float = 6.0) -> Net:
    net = Net(allowance, seed)
    trouble(net)
    net.load(0, calm_s * 1000, allowance.rate * 0.7)
    net.load(calm_s * 1000, 26000, allowance.rate * 8)
    net.run(26000)
    return net


ALLOWANCES = [Allowance("huka270", 63, 63), Allowance("miro311", 20, 100), Allowance("tavo902", 8, 8),
              Allowance("kilo550", 10, 200)]
TROUBLES = [crash, quick_restart, sides, halves, losses, losses_at_first, moves]


@pytest.mark.parametrize("allowance", ALLOWANCES, ids=lambda a: f"{a.rate}-{a.burst}")
@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("calm_s", [6.0, 7.9])
def test_a_hot_tenant_stays_inside_the_bound(trouble: Callable[[Net], None], allowance: Allowance,
                                             calm_s: float) -> None:
    """Hot for two seconds when the trouble comes, or in the middle of its burst."""
    net = hot(trouble, 1, allowance, calm_s)
    assert net.over() <= 0, net.by


FEW = [1.0 if i in (1, 4, 7) else 0.0 for i in range(N)]
SMALL = Allowance("sela118", 10, 10)


@pytest.mark.parametrize("allowance", [ALLOWANCES[0], SMALL], ids=lambda a: f"{a.rate}")
@pytest.mark.parametrize("weights", [None, FEW], ids=["all", "few"])
def test_calm_tenants_are_not_refused(allowance: Allowance, weights: list[float] | None) -> None:
    """Also one that comes by few limiters, and by others from halfway on."""
    net = Net(allowance, 3)
    net.load(0, 30000, allowance.rate * 0.7, weights)
    net.load(30000, 60000, allowance.rate * 0.7, weights and weights[1:] + weights[:1])
    net.run(60000)
    assert net.refused <= 0.005 * net.asked, (net.refused, net.asked)


@pytest.mark.parametrize("trouble", [crash, quick_restart, sides, halves, losses])
def test_troubles_cost_little_of_a_hot_tenants_quota(trouble: Callable[[Net], None]) -> None:
    net = hot(trouble, 2, ALLOWANCES[0])
    even = perfect(ALLOWANCES[0], 63 * 0.7, 6.0) + perfect(ALLOWANCES[0], 63 * 8, 20.0)
    assert len(net.let_in) > 0.85 * even


def test_a_restarted_owner_begins_with_little_and_a_lost_ask_is_told_once() -> None:
    allowance = Allowance("huka270", 1, 40)
    numbers = {0: "a", 1: "b"}
    mine = ring_owner(digest("huka270"), [0, 1])
    owner, asker = (Quotas("x", 0.0, 1, first_start=False), Quotas("y", 0.0, 2, first_start=True))
    owner.set_limiters(0.0, numbers, mine)
    asker.set_limiters(0.0, numbers, 1 - mine)

    def ask(now: float) -> Ask:
        got = asker.request(now, allowance)
        assert isinstance(got, Ask)
        return got

    def row(now: float) -> float:
        return float(owner.rows(now)[0]["tokens"])

    answer = owner.handle_request(0.0, 1 - mine, ask(0.0).message)
    assert answer is not None and row(0.0) == 40 * q.MOVED_BURST_FRACTION - 1
    assert asker.handle_reply(1.0, answer) == (1, Verdict(True, 0.0, "asked"))
    assert asker.handle_reply(1.0, answer) is None
    late, lost = ask(2.0), ask(2.0)
    assert asker.handle_timeout(70.0, late.number).allowed \
        and asker.handle_timeout(70.0, lost.number).decided_by == "copy"
    again = ask(80.0)
    assert again.message["spent"] == 2
    first = owner.handle_request(81.0, 1 - mine, again.message)
    assert first is not None and abs(row(81.0) - (9 - 2 - 1)) < 0.2
    assert owner.handle_request(82.0, 1 - mine, again.message) is not None  # a repeat takes its token only
    assert abs(row(82.0) - (9 - 2 - 2)) < 0.2


def test_a_lower_limit_of_a_newer_version_binds_at_the_owner() -> None:
    owner = Quotas("x", 0.0, 1, first_start=True)
    owner.set_limiters(0.0, {0: "a", 1: "b"}, 0)
    ask = {"k": "ask", "n": 1, "t": "t", "r": 10.0, "b": 50.0, "v": 3, "life": 1, "spent": 0, "heard": 0}
    first = owner.handle_request(0.0, 1, ask)
    assert first is not None and first["left"] == 49
    owner.set_allowances(1.0, 5, {"t": Allowance("t", 1.0, 5.0)})
    for message in (ask, ask | {"v": 4, "b": 90.0}):
        assert (answer := owner.handle_request(2.0, 1, message)) is not None and answer["left"] < 5
    assert owner.handle_request(3.0, 1, ask | {"v": 6, "r": 2.0, "b": 9.0}) is not None
    assert owner.rows(3.0)[0]["burst"] == 9.0


WORDS: list[dict[str, Any]] = [
    {"k": "ask", "n": 1, "t": "t", "r": 10.0, "b": 50.0, "v": 3, "life": 1, "spent": 0, "heard": 0,
     "left": 1.0, "of": 1},
    {"k": "back", "n": 1, "t": "t", "life": 1, "spent": 0, "heard": 0}, {"k": "hello", "ring": 4}]
ODD: list[Any] = [None, -2, float("nan"), float("inf"), [], "", {}, True, 10 ** 30]


@pytest.mark.parametrize("word,key", [(word, key) for word in WORDS for key in word])
def test_one_odd_field_makes_a_word_unreadable(word: dict[str, Any], key: str) -> None:
    limiter = Quotas("x", 0.0, 1, first_start=True)
    limiter.set_limiters(0.0, {0: "a", 1: "b"}, 0)
    for odd in ODD:
        assert limiter.handle_request(0.0, 1, word | {key: odd}) is None
        assert limiter.handle_reply(0.0, word | {key: odd}) is None
    assert not limiter.rows(0.0) and limiter.handle_request(0.0, 1, word) is not None


# Faults put in on purpose: the checks above must see each.


def test_a_burst_anew_at_each_move_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    own = Quotas._get_owned

    def full(self: Quotas, now: float, allowance: Allowance, version: int, left: float | None) -> Any:
        known = self._owned.get(allowance.tenant)
        fresh = known is None or known.ownership_lost and self._owner(allowance.tenant) == self._own_number
        owned = own(self, now, allowance, version, None)
        if fresh:
            owned.bucket.tokens, owned.recently_moved = allowance.burst, False
        return owned

    monkeypatch.setattr(Quotas, "_get_owned", full)
    assert hot(moves, 1, ALLOWANCES[0]).over() > 0


def test_a_copy_spent_by_all_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Quotas, "_limiter_count", lambda self: 1)
    assert hot(halves, 1, ALLOWANCES[0]).over() > 0


@pytest.mark.parametrize("ignored", [False, True])
def test_an_open_breaker_stops_asks(ignored: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    if ignored:
        monkeypatch.setattr(CircuitBreaker, "allows", lambda self, now: True)
    net = hot(halves, 1, ALLOWANCES[0])
    far = [i for at, i in net.asks if 8500 <= at < 16000 and (i in HALF) != (net.owner in HALF)]
    assert (len(far) > 0) is ignored


class Model:
    """Every request and further try of a service at its time, over all limiters."""

    def __init__(self, ratio: float, slack: float) -> None:
        self.ratio, self.slack = ratio, slack
        self.firsts: list[float] = []
        self.repeats: list[float] = []

    def over(self, window: float) -> float:
        """Further tries over the rule's bound in the worst window that begins with one."""
        worst = -self.slack
        for begin in self.repeats:
            def inside(times: list[float], a: float) -> int:
                return bisect_left(times, a + window + 1e-6) - bisect_left(times, a)
            firsts = max(inside(self.firsts, begin - back) for back in (0.0, window / 2, window))
            worst = max(worst, inside(self.repeats, begin) - self.ratio * firsts - self.slack)
        return worst


PHASES = st.lists(st.tuples(st.floats(50, 9000), st.integers(0, 60), st.integers(0, 60), st.integers(0, 11),
                            st.booleans()), min_size=1, max_size=14)


def play(phases: list[tuple[float, int, int, int, bool]], limiters: int, slack: float) -> Model:
    """Each phase lasts some ms, with firsts and wishes for further tries at a limiter, which may restart."""
    model, window, now = Model(0.2, slack), 10_000.0, 5.0
    budgets = [RetryBudget(0.2, window, slack, limiters, now, first_start=True, node=f"n{i}")
               for i in range(limiters)]
    restarted: dict[int, float] = {}
    for length, firsts, wishes, at, restart in phases:
        at %= limiters
        if restart and now - restarted.get(at, -window) >= window:
            budgets[at], restarted[at] = RetryBudget(0.2, window, slack, limiters, now, first_start=False,
                                                node=f"n{at}"), now
        for k in range(firsts + wishes):
            now += length / (firsts + wishes)
            who = budgets[(at + k % 2) % limiters]
            if k < firsts:
                who.record_request(now, "s")
                model.firsts.append(now)
            elif who.take_retry(now, "s"):
                model.repeats.append(now)
    return model


@tries(derandomize=True, deadline=None, max_examples=150)
@given(PHASES, st.sampled_from([1, 3, 12, 48]), st.sampled_from([0.0, 20.0, 64.0]))
def test_further_tries_stay_inside_the_budget(phases: list[tuple[float, int, int, int, bool]], limiters: int,
                                              slack: float) -> None:
    assert play(phases, limiters, slack).over(10_000.0) <= 0


def test_the_budget_can_be_used_and_a_missing_window_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def steady(calm: int, busy: int) -> Model:
        return play([(500.0, 11, 0, 0, False)] * calm + [(500.0, 11, 11, 0, False)] * busy, 1, 0.0)

    assert len(steady(60, 20).repeats) > 0.75 * 0.2 * 220 and len(steady(60, 1).repeats) > 5
    assert steady(60, 60).over(10_000.0) <= 0

    def whole_life(self: RetryBudget, now: float, counts: Any) -> bool:
        return bool(1 + sum(counts.retries) <= 0.85 * 0.2 * sum(counts.requests))

    monkeypatch.setattr(RetryBudget, "_within_budget", whole_life)
    assert steady(60, 60).over(10_000.0) > 0
