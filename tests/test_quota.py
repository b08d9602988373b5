"""Plan versions and reservations, by themselves and in the decision module, without sockets."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as tries
from hypothesis import strategies as st

from larklb import interface as io
from larklb import peerwire as pw
from larklb.quota.bucket import TokenBucket
from larklb.quota.catalogue import (
    Catalogue,
    CatalogueError,
    differences,
    parse,
    settings_catalogue,
    successor,
)
from larklb.quota.entitlements import Entitlements
from larklb.quota.fallback import Fallback
from larklb.quota.reservations import (
    TRANSITIONS,
    RefusedError,
    Reservation,
    ReservationLimits,
    Reservations,
    State,
    Transition,
    Wanted,
)
from larklb.quota.ring import digest, ring_owner
from tests.conftest import FREE, OPEN, RATE, Bed

PLANS = (RATE, OPEN, FREE)
C = f"{1:016x}"
EPOCH = "1970-01-01T00:00:%06.3fZ"


def version(number: int, at: float, text: str = "") -> str:
    return f"[[version]]\nnumber = {number}\nfrom = {EPOCH % (at / 1000.0)}\n{text}\n"


def catalogue(*texts: str) -> Catalogue:
    return parse("".join(texts).encode(), PLANS)


FASTER = '[version.plans.rate]\nrate = 4.0\nburst = 8.0\n'
SLOWER = '[version.plans.rate]\nrate = 0.5\nburst = 1.0\n'


@pytest.mark.parametrize("text,where", [
    ("[[version]", "line 1"), (version(0, 0), "numbers go up"), (version(70000, 0), "numbers go up"),
    (version(2, 5000) + version(1, 6000), "numbers go up"),
    (version(1, 5000) + version(2, 4000), "version 2: from: it would count before version 1"),
    ("[[version]]\nnumber = 1\nfrom = 2026-01-01T00:00:00\n", "no time zone"),
    (version(1, 0, "[version.plans.gold]\nrate = 1.0"), "no plan 'gold'"),
    (version(1, 0, "[version.plans.rate]\nrate = -1.0"), "rate: rate makes no sense"),
    (version(1, 0, "[version.plans.rate]\nrate = nan"), "makes no sense: nan"),
    (version(1, 0, "[version.plans.rate]\nburst = 0.0"), "burst makes no sense"),
    (version(1, 0, "[version.plans.rate]\nbrust = 2.0"), "brust"),
    (version(1, 0, '[version.customers]\n"12" = "rate"'), "'12': the account"),
    (version(1, 0, f'[version.customers]\n"{C}" = "gold"'), "no plan 'gold'"),
    (version(1, 0, f'[version.customers]\n"{10:016x}" = "rate"\n"{10:016X}" = "open"'), "named twice")])
def test_invalid_catalogues_are_refused_with_one_line(text: str, where: str) -> None:
    with pytest.raises(CatalogueError) as error:
        catalogue(text)
    assert where in str(error.value) and "\n" not in str(error.value)


def test_successor_keeps_accepted_versions() -> None:
    one, two = version(1, 1000, FASTER), version(2, 30000, SLOWER)
    old = successor(settings_catalogue(PLANS), catalogue(one, two), 5000.0)
    assert [v.effective_at for v in old.versions] == [-math.inf, 5000.0, 30000.0], (
        "a version dated in the past takes effect on its arrival")
    assert successor(old, catalogue(one, two), 9000.0).versions == old.versions, (
        "the same catalogue again changes nothing")
    three = version(3, 40000, f'[version.customers]\n"{C}" = "free"')
    for bad, why in (((one,), "ends with version 1"), ((two, three), "version 1, which is here"),
                     ((version(1, 1000, SLOWER), two), "version 1 differs"),
                     ((one, version(2, 20000, SLOWER)), "version 2 differs")):
        with pytest.raises(CatalogueError, match=why):
            successor(old, catalogue(*bad), 9000.0)
    late = successor(settings_catalogue(PLANS), catalogue(one, three), 0.0)
    with pytest.raises(CatalogueError, match="version 2 comes after version 3"):
        successor(late, catalogue(one, version(2, 30000), three), 0.0)
    assert differences(old, catalogue(one, two, three)) == [
        "+ version 3 from 1970-01-01T00:00:40Z: 1 customers assigned",
        "~ version 1 counts from 1970-01-01T00:00:01Z, not from 1970-01-01T00:00:05Z"][::-1]


class Model:
    """A simple reference model: one bucket filled in steps of a millisecond."""

    def __init__(self, steps: list[tuple[int, float, float]]) -> None:
        self.steps, self.tokens = steps, steps[0][2]

    def figures(self, at: int) -> tuple[float, float]:
        return [(rate, burst) for since, rate, burst in self.steps if since <= at][-1]

    def run(self, begin: int, end: int) -> float:
        for at in range(begin, end):
            rate, burst = self.figures(at)
            self.tokens = min(burst, min(burst, self.tokens) + rate / 1000.0)
        self.tokens = min(self.tokens, self.figures(end)[1])
        return self.tokens


@given(st.lists(st.tuples(st.integers(1, 900), st.sampled_from([0.5, 1.0, 4.0, 25.0]),
                          st.sampled_from([1.0, 3.0, 8.0])), max_size=5),
       st.lists(st.tuples(st.integers(1, 700), st.sampled_from([0.5, 1.0, 2.0])), min_size=1, max_size=8))
@tries(max_examples=150, deadline=None)
def test_bucket_through_plan_changes_matches_stepwise_model(
        changes: list[tuple[int, float, float]], asks: list[tuple[int, float]]) -> None:
    """Holds for buckets used between the changes, long after them, and for buckets made after idling."""
    changes = sorted(changes, key=lambda c: c[0])
    texts = [version(n + 1, at, f"[version.plans.rate]\nrate = {rate}\nburst = {burst}")
             for n, (at, rate, burst) in enumerate(changes)]
    book = Entitlements(PLANS, catalogue(*texts))
    model = Model([(-1, 1.0, 3.0), *changes])
    now, bucket = 0, book.new_bucket(0.0, 5, 0)
    for wait, units in asks:
        model.run(now, now + wait)
        now += wait
        book.update_bucket(now, 5, 0, bucket)
        assert bucket.fill(now) == pytest.approx(model.tokens, abs=1e-6)
        if bucket.tokens >= units + 1e-6:
            bucket.tokens -= units
            model.tokens -= units
    fresh = Model([(-1, 1.0, 3.0), *changes])
    fresh.run(0, now)
    assert book.new_bucket(now, 6, 0).fill(now) == pytest.approx(fresh.tokens, abs=1e-6)


def test_repeated_plan_changes_earn_no_burst() -> None:
    texts = [version(n, 1000 + n, SLOWER if n % 2 else FASTER) for n in range(1, 41)]
    book = Entitlements(PLANS, catalogue(*texts))
    bucket = book.new_bucket(0.0, 5, 0)
    bucket.tokens = 0.0
    book.update_bucket(2000.0, 5, 0, bucket)
    assert bucket.fill(2000.0) <= 1.0 + 4.0 * 1.0 + 1e-9
    paused = TokenBucket(1.0, 3.0, 0.5, 0.0)
    paused.change(0.0, 0.0, 0.0)
    paused.change(9000.0, 1.0, 3.0)
    assert paused.tokens == 0.5, "a bucket keeps its tokens while its plan has no rate"


# The decision module with a catalogue -------------------------------------------------------


def with_entitlements(b: Bed, *books: Entitlements) -> Bed:
    for gateway, book in zip(b.gateways.values(), books, strict=True):
        gateway.entitlements, gateway.fallback = book, Fallback(gateway.settings, book, b.now)
        gateway.outbox.fallback, gateway.members.last_heard_at = (
            gateway.fallback,
            gateway.fallback.last_heard_at,
        )
    b.log.clear()
    return b


def owner_and_other(customer: str = C) -> tuple[int, int]:
    owner = ring_owner(digest(customer), [0, 1])
    return owner, 1 - owner


def stamps(b: Bed) -> dict[str, io.Stamp]:
    return {a.request: a.stamp for a in b.of(io.Send)}


def test_messages_without_catalogue_use_the_former_format() -> None:
    b = with_entitlements(Bed(gateways=2), Entitlements(PLANS, settle=False),
                          Entitlements(PLANS, settle=False))
    for i in range(6):
        b.ask(i % 2, f"r{i}")
    b.run(400)
    tags = {type(item) for a in b.of(io.SendToPeer) for item in pw.unpack(a.data)}
    verdicts = [
        item for a in b.of(io.SendToPeer) for item in pw.unpack(a.data) if isinstance(item, pw.AskReply)
    ]
    asks = [item for a in b.of(io.SendToPeer) for item in pw.unpack(a.data) if isinstance(item, pw.Ask)]
    assert tags <= {pw.Ask, pw.AskReply, pw.Release, pw.Loads, pw.HealthReport}
    assert verdicts and all(v.plan is None for v in verdicts)
    assert asks and all(a.number < pw.EXTENDED_FLAG for a in asks)


@pytest.mark.parametrize("knows", [(True, True), (True, False), (False, True)])
def test_requests_are_stamped_with_the_owners_version(knows: tuple[bool, bool]) -> None:
    """One of the two limiters may lack the new version and run a program without plan versions."""
    owner, other = owner_and_other()
    text = version(3, 100, FASTER)
    books = {owner: Entitlements(PLANS, catalogue(text) if knows[0] else None, settle=knows[0]),
             other: Entitlements(PLANS, catalogue(text) if knows[1] else None, settle=knows[1])}
    b = with_entitlements(Bed(gateways=2), books[0], books[1])
    b.ask(other, "r", customer=C)
    b.run(100)
    b.ask(owner, "s", customer=C)
    # The owner's version is decisive.  An asker of an older program does not receive it and stamps the
    # settings' version.
    assert stamps(b)["s"].version == (3 if knows[0] else 0)
    assert stamps(b)["r"].version == (3 if knows == (True, True) else 0)
    b.cut = True
    b.ask(other, "t", customer=C)
    b.run(1000)
    assert stamps(b)["t"].version == (3 if knows[1] else 0), (
        "a limiter without contact to the owner stamps its own version")
    assert max(len(a.data) for a in b.of(io.SendToPeer)) <= pw.MAX_DATAGRAM_BYTES
    longer = [item for a in b.of(io.SendToPeer) for item in pw.unpack(a.data)
              if isinstance(item, pw.AskReply) and item.plan is not None]
    assert bool(longer) == (knows == (True, True)), (
        "only peers that can parse it get the extended reply; others would drop the whole message")


def test_newer_version_of_a_peer_is_logged_once_and_not_adopted() -> None:
    owner, other = owner_and_other()
    books = {owner: Entitlements(PLANS, catalogue(version(1, 1), version(2, 2))),
             other: Entitlements(PLANS, catalogue(version(1, 1)))}
    b = with_entitlements(Bed(gateways=2), books[0], books[1])
    for i in range(3):
        b.ask(other, f"r{i}", customer=C)
        b.run(100)
    assert [a.text for a in b.of(io.Log)] == [
        f"limiter {owner} judges by version 2 of the plans, here it is 1: what is here counts on"]
    assert {s.version for s in stamps(b).values()} == {2} and books[other].catalogue.newest.number == 1


def test_pending_asks_and_repeated_attempts_keep_their_version() -> None:
    owner, other = owner_and_other()
    texts = (version(1, 100), version(2, 650 + 12, SLOWER))
    b = with_entitlements(Bed(gateways=2, delay=10.0),
                          *(Entitlements(PLANS, catalogue(*texts)) for _ in range(2)))
    # The ask leaves at 645 under version 1 and arrives at 655; the verdict arrives after the change.
    b.run(45)
    b.ask(other, "r", "write", customer=C)
    b.run(100)
    b.end(other, "r", io.Result.FULL)
    b.ask(other, "s", customer=C)
    b.run(100)
    again = [a.stamp for a in b.of(io.Send, "r")]
    assert [s.version for s in again] == [1, 1] and stamps(b)["s"].version == 2


def test_restored_bucket_follows_a_change_made_during_the_restart() -> None:
    b = with_entitlements(Bed(), Entitlements(PLANS, catalogue(version(1, 700, SLOWER))))
    assert len(b.gateways) == 1
    for i in range(3):
        b.ask(0, f"r{i}")
    rows = b.gateways[0].bucket_rows()
    # At 1000: version 1 has been in effect since 700.
    b.run(400)
    b.begin(0)
    b.gateways[0].entitlements = Entitlements(PLANS, catalogue(version(1, 700, SLOWER)))
    assert b.gateways[0].restore(b.now, rows) == 1
    b.ask(0, "after")
    assert len(b.of(io.Send)) == 3 and b.of(io.Refuse)[0].request == "after"
    # 100 ms at one token a second and 300 ms at half of that give 0.25 tokens; 0.75 more take 1.5 s.
    assert b.of(io.Refuse)[0].retry_after == pytest.approx(1500.0, abs=1.0)


def test_customers_are_assigned_to_a_plan_and_back_to_the_one_they_name() -> None:
    texts = (version(1, 1000, f'[version.customers]\n"{C}" = "free"'),
             version(2, 2000, f'[version.customers]\n"{C}" = ""'))
    b = with_entitlements(Bed(), Entitlements(PLANS, catalogue(*texts)))
    for at in (900, 1500, 2500):
        b.run(at - b.now)
        for i in range(5):
            b.ask(0, f"{at}-{i}", customer=C)
    sent = [a.request.split("-")[0] for a in b.of(io.Send)]
    assert [sent.count(str(at)) for at in (900, 1500, 2500)] == [3, 5, 0], (
        "the bucket does not fill while the customer is on another plan")
    assert {s.plan for s in stamps(b).values()} == {"rate", "free"}


# Reservations ---------------------------------------------------------------------------


def wanted(name: str = "refit", units: float = 5.0, begin: float = 1000.0, end: float = 9000.0,
           **more: Any) -> Wanted:
    return Wanted(name, C, "rate", units, begin, end, **{"first": 0, "spread": 1, **more})


def test_final_states_have_no_transitions_and_every_state_is_reachable() -> None:
    assert set(TRANSITIONS) == set(State)
    reached = {State.HELD} | {to for moves in TRANSITIONS.values() for to in moves.values()}
    assert reached == set(State) and not TRANSITIONS[State.LAPSED] and not TRANSITIONS[State.CANCELLED]
    for moves in TRANSITIONS.values():
        assert (not moves or moves[Transition.ENDS] is State.LAPSED
                and moves[Transition.CANCEL] is State.CANCELLED)


def test_owner_refuses_reservations_beyond_the_limits_and_accepts_a_repeated_id() -> None:
    book = Reservations(ReservationLimits(fleet=4.0, customer=0.75), 2, 0)
    # Reserves 0.5 units a second.
    first = book.add(wanted(units=4.0), True, 0.0, rate=1.0)
    assert book.add(wanted(units=4.0), True, 0.0, rate=1.0) is first
    for w, why in ((wanted(units=5.0), "another reservation's"),
                   (wanted("more", units=4.0, begin=8000.0, end=12000.0), "customer's share is 0.75"),
                   (wanted("late", begin=-9.0, end=0.0), "window is over"),
                   (wanted("back", begin=9.0, end=8.0), "ends before"),
                   (wanted("none", units=0.0), "units"), (wanted("nan", units=math.nan), "units"),
                   (wanted("a b"), "blanks"), (wanted("far", first=2), "no such limiters"),
                   (wanted("long", end=1e12), "31 days")):
        with pytest.raises(RefusedError, match=why):
            book.add(w, True, 0.0, rate=1.0)
    assert book.add(wanted("next", units=4.0, begin=9000.0, end=17000.0), True, 0.0, 1.0).state is State.HELD
    others = [dataclasses.replace(wanted(f"o{i}", units=4.0), customer=f"{i + 5:016x}") for i in range(4)]
    for w in others[:3]:
        book.add(w, True, 0.0, rate=1.0)
    with pytest.raises(RefusedError, match="fleet's share is 2 units a second"):
        book.add(others[3], True, 0.0, rate=1.0)
    book.cancel("o0", 0.0)
    assert book.add(others[3], True, 0.0, rate=1.0).state is State.HELD, (
        "a cancelled reservation frees its part of the fleet's share")


def reserving(*reserved: Wanted, owned: bool = True) -> Entitlements:
    held = Reservations(ReservationLimits(), 2, 0)
    for w in reserved:
        held.insert(Reservation(w, owned))
    return Entitlements(PLANS, None, held)


def test_reserved_units_serve_refused_requests_only_within_the_window() -> None:
    b = with_entitlements(Bed(), reserving(wanted(units=2.0)))
    book = b.gateways[0].entitlements.reservations
    assert book is not None
    for at in (700, 1500, 9500):
        b.run(at - b.now)
        for i in range(6 if at < 9000 else 4):
            b.ask(0, f"{at}-{i}", customer=C)
    granted = [a.request for a in b.of(io.Send)]
    assert [sum(g.startswith(f"{at}-") for g in granted) for at in (700, 1500, 9500)] == [3, 2, 3]
    assert book.by_name["refit"].state is State.LAPSED
    drawn = [(a.tag, a.units) for a in b.of(io.RecordDraw)]
    assert drawn == [(book.by_name["refit"].tag, 1.0), (book.by_name["refit"].tag, 2.0)]
    assert [stamps(b)[f"1500-{i}"].reservation for i in range(2)] == [drawn[0][0]] * 2


def test_reserved_units_are_drawn_over_all_limiters() -> None:
    owner, other = owner_and_other()
    books = {owner: reserving(wanted(units=4.0, spread=2)),
             other: Entitlements(PLANS, None, Reservations(ReservationLimits(), 2, 1))}
    b = with_entitlements(Bed(gateways=2), books[0], books[1])
    b.run(1500 - b.now)
    for i in range(10):
        b.ask((owner, other)[i % 2], f"r{i}", customer=C)
        b.run(100)
    assert len(b.of(io.Send)) in (7, 8), (
        "three units of the burst, four reserved, and possibly one that has accrued since")
    held = books[owner].reservations
    assert held is not None and held.by_name["refit"].state is State.SPENT
    drawn = next(a for a in b.of(io.Send) if a.stamp.reservation)
    assert drawn.stamp.reservation == held.by_name["refit"].tag


def test_limiter_cut_off_from_the_owner_draws_its_part_and_reports_it_once() -> None:
    owner, other = owner_and_other()
    books = {owner: reserving(wanted(units=4.0, spread=2)),
             other: reserving(wanted(units=4.0, spread=2), owned=False)}
    b = with_entitlements(Bed(gateways=2), books[0], books[1])
    b.run(1200 - b.now)
    b.cut = True
    for i in range(8):
        b.ask(other, f"r{i}", customer=C)
        b.run(500)
    drawn = [s for s in stamps(b).values() if s.reservation]
    assert len(drawn) == 2, "the limiter's part of the reservation is 4 / 2 units"
    b.cut = False
    for i in range(8):
        b.ask(other, f"s{i}", customer=C)
        b.run(300)
    held = books[owner].reservations
    assert held is not None and held.by_name["refit"].remote_draws == {other: 2.0}
    assert not books[other].unconfirmed, "confirmed draws are not reported again"
    total = sum(1 for s in stamps(b).values() if s.reservation)
    assert total <= 4 and held.by_name["refit"].drawn + 2.0 == total


@given(st.integers(0, 2**32))
@tries(max_examples=60, deadline=None)
def test_reservation_grants_no_more_than_its_units_and_the_limiters_parts(seed: int) -> None:
    """Compares random draws, returns, cuts and repeated old reports with a plain count."""
    rng = random.Random(seed)
    units, spread = rng.choice([3.0, 7.5, 12.0]), rng.choice([2, 3, 4])
    owner = reserving(wanted(units=units, spread=spread, begin=0.0, end=1e6))
    others = [reserving(wanted(units=units, spread=spread, begin=0.0, end=1e6), owned=False)
              for _ in range(spread - 1)]
    key, granted, reports = digest(C), 0.0, []
    for _ in range(60):
        n = rng.randrange(spread)
        amount = rng.choice([0.5, 1.0, 2.0])
        if n == 0:
            drawn = owner.draw(10.0, key, amount)
            granted += amount if drawn else 0.0
            if drawn and rng.random() < 0.3:
                owner.give_back(drawn.tag, amount)
                granted -= amount
        else:
            granted += amount if others[n - 1].draw_without_owner(10.0, key, amount, n) else 0.0
            reports += [(n, report) for report in others[n - 1].unconfirmed_draws(key)]
        if reports and rng.random() < 0.4:
            sender, report = rng.choice(reports)
            owner.on_remote_draw(sender, report)
    assert granted <= units + (spread - 1) * units / spread + 1e-6
    assert owner.reservations is not None
    # Finally all reports arrive, and old ones once more.
    for sender, report in [*reports, *reports[:len(reports) // 2]]:
        owner.on_remote_draw(sender, report)
    r = owner.reservations.by_name["refit"]
    assert r.drawn + sum(r.remote_draws.values()) == pytest.approx(granted)
    assert owner.draw(10.0, key, max(0.5, r.remaining + 0.5)) is None
