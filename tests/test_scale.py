"""Hundreds of gateways: what each does must not grow with their number, and together they keep the rules."""

from __future__ import annotations

import heapq
import random
import sys
from collections import Counter
from types import FrameType

import pytest

from larklb import interface as io
from larklb.fleet.verdicts import Verdicts
from larklb.quota.ring import digest, ring_owner
from larklb.servers import COLD_CAPACITY_SHARE, Servers
from tests.conftest import Bed, settings

MANY = 400


def owner_of(customer: str, first: int, spread: int, gateways: int) -> int:
    return ring_owner(digest(customer), [(first + i) % gateways for i in range(spread)])


def first_of(customer: str) -> int:
    return digest("set of " + customer) % MANY


def ask(b: Bed, i: int, name: str, customer: str) -> None:
    """By the i-th gateway of the customer's set of twenty."""
    first = first_of(customer)
    b.ask((first + i) % MANY, name, customer=customer, first=first, spread=20)


def answered(b: Bed, name: str) -> float:
    answers = [at for at, _, a in b.log
               if isinstance(a, io.Send | io.Refuse | io.Fail) and a.request == name]
    return answers[0]


@pytest.mark.parametrize("restarted", [0.0, 0.26])
def test_asks_are_answered_well_inside_the_aim_at_any_number(restarted: float) -> None:
    b = Bed(gateways=MANY, servers=20, inbox_per_s=40.0)
    b.serve = 80.0
    for r in range(2):
        for c in range(60):
            ask(b, c + r, f"warm{r}-{c}", f"c{c}")
            b.run(5)
    for i in range(int(MANY * restarted)):
        b.begin(i)
    before, asked = len(b.log), {}
    for r in range(4):
        for c in range(60):
            asked[name := f"r{r}-{c}"] = b.now
            ask(b, 2 * c + r, name, f"c{c}")
            b.run(5)
    b.run(300)
    assert max(answered(b, name) - at for name, at in asked.items()) <= 0.1 * 1000.0
    got = Counter((int(at // 1000), a.peer) for at, _, a in b.log[before:] if isinstance(a, io.SendToPeer))
    assert max(got.values()) <= 40


def test_restarted_owner_of_a_large_set_grants_no_second_burst() -> None:
    b = Bed(gateways=MANY, servers=20)
    for i in range(8):
        ask(b, i, f"r{i}", "c")
        b.run(20)
    assert len(b.of(io.Send)) == 3
    b.begin(owner_of("c", first_of("c"), 20, MANY))
    b.run(50)
    for i in range(8):
        ask(b, i, f"s{i}", "c")
        b.run(20)
    assert len(b.of(io.Send)) <= 4


def test_all_gateways_together_do_not_push_a_cold_server_over_with_their_firsts() -> None:
    b = Bed(gateways=MANY, servers=2, can_tell=False)
    for i in range(MANY):
        b.give(i, io.ServerList(io.ListKind.CHANGES, 2, (io.Entry("new", started=b.now),)))
    for i in range(MANY):
        b.ask(i, f"r{i}", plan="free")
        b.run(2000 / MANY)
    usual = 1000.0 / 6
    assert sum(a.server == "new" for a in b.of(io.Send)) <= 2.0 * 0.2 * 2000 / usual + 1


def test_a_large_fleet_sends_a_cold_server_what_it_stands_and_not_a_twentieth_of_it() -> None:
    """Few of many limiters prefer a server: an even part of all limiters for each left it nearly idle."""
    many, servers, usual = 200, 100, 1000.0 / 6
    warm = [io.Entry(f"s{i}") for i in range(servers)]
    new, got = io.Entry("new", started=0.0), 0
    listed = io.ServerList(io.ListKind.FULL, 1, (*warm, new))
    for i in range(many):
        view = Servers(settings(number=i, gateways=many), random.Random(i),
                       Verdicts(i, many, 4000.0))
        view.apply_list(0.0, listed, 4000.0, lambda short: None)
        for at in range(0, 40_000, 50):
            if view.cold_server_has_room(view.by_name["new"], float(at), 0.25, usual):
                view.attempt_sent(float(at), view.by_name["new"])
                got += 1
    stands = COLD_CAPACITY_SHARE * 2.0 * 0.25 / usual * 40_000.0
    assert 0.8 * stands <= got <= 1.1 * stands, (got, stands)


def test_a_gateway_that_sees_little_spreads_its_work_and_holds_it_within_its_part() -> None:
    b = Bed(gateways=1, servers=40, can_tell=False)
    few = Bed(gateways=1, servers=40, can_tell=False)
    b.changes["gateways"] = few.changes["gateways"] = MANY
    for bed in (b, few):
        bed.begin(0)
    for i in range(60):
        b.ask(0, f"r{i}", plan="free")
        few.ask(0, f"r{i}", plan="free")
        few.end(0, f"r{i}")
    assert 1 <= len(b.of(io.Send)) <= 6, "room of all servers x its part of the gateways"
    reach = {s.entry.server for s in few.gateways[0].server_pool.in_reach}
    assert len(reach) < 12 and len({a.server for a in few.of(io.Send)} & reach) >= 6, "no fixed order in it"
    assert {a.server for a in few.of(io.Send)} <= reach, "while those in reach have room"


def test_work_for_an_event_does_not_grow_with_the_gateways() -> None:
    calls = dict.fromkeys((4, MANY), 0)
    for gateways in calls:
        b = Bed(gateways=1, servers=60)
        b.changes["gateways"] = gateways
        b.drop = lambda sender, to: True
        b.begin(0)
        b.run(10)

        def count(frame: FrameType, event: str, arg: object, gateways: int = gateways) -> None:
            calls[gateways] += event == "call"
        sys.setprofile(count)
        try:
            for i in range(200):
                b.ask(0, f"r{i}", customer=f"c{i % 9}", spread=4)
                b.run(20)
        finally:
            sys.setprofile(None)
    assert calls[MANY] <= 1.5 * calls[4]


def test_refusals_in_a_row_are_held_so_that_a_flood_spares_its_owner() -> None:
    b = Bed(gateways=MANY, servers=20, inbox_per_s=10.0)
    for r in range(240):
        ask(b, 1 + r % 19, f"r{r}", "c")
        b.run(25)
    late = [a for at, _, a in b.log if isinstance(a, io.SendToPeer) and at > b.now - 1000
            and a.peer == owner_of("c", first_of("c"), 20, MANY)]
    assert len(late) <= 12, "of 40 requests a second"


def test_a_class_that_goes_unserved_or_a_plan_turned_away_leaves_other_work_there() -> None:
    b = Bed(servers=2)
    for i in range(4):
        b.ask(0, f"f{i}", plan="open", customer=f"k{i}")
        b.end(0, f"f{i}", io.Result.FULL if b.of(io.Send, f"f{i}")[0].server == "s0" else io.Result.OK)
        if len(b.of(io.Send, f"f{i}")) > 1:
            b.end(0, f"f{i}", attempt=1)
    before = len(b.of(io.Send))
    for i in range(6):
        b.ask(0, f"o{i}", plan="open", customer=f"x{i}")
        b.end(0, f"o{i}")
    assert {a.server for a in b.of(io.Send)[before:]} == {"s1"}
    for i in range(6):
        b.ask(0, f"r{i}", plan="free")
    assert {a.server for a in b.of(io.Send)[-6:]} == {"s0", "s1"}


def test_what_one_gateway_learned_of_a_server_spares_another() -> None:
    b = Bed(gateways=2, servers=3)
    for i in range(3):
        b.ask(0, f"r{i}", plan="free")
    bad = b.of(io.Send, "r0")[0].server
    b.end(0, "r0", io.Result.ERROR)
    b.ask(0, "asks", customer=next(f"k{i}" for i in range(99) if owner_of(f"k{i}", 0, 2, 2) == 1))
    b.run(100)
    before = len(b.log)
    for i in range(2):
        b.ask(1, f"q{i}", plan="free")
    assert bad not in {a.server for _, _, a in b.log[before:] if isinstance(a, io.Send)}


def test_refusals_for_want_of_a_slot_are_not_held_longer_than_an_answer_takes() -> None:
    b = Bed(gateways=MANY, servers=20, inbox_per_s=60.0)
    b.serve = 100.0
    for r in range(150):
        b.ask(1, f"r{r}", plan="open", customer="c", first=0, spread=MANY)
        b.run(20)
    assert len(b.of(io.Send)) >= 16, "two slots of a tenth of a second each, in three seconds"


def test_news_of_failing_servers_spares_the_other_gateways() -> None:
    """Alone each of twenty gateways tries them, 36 times and not 18; no test noticed when nobody was told."""
    class Failing(Bed):
        wasted = 0

        def _act(self, i: int, actions: list[io.Action]) -> None:
            for a in actions:
                if isinstance(a, io.Send):
                    fails = a.server in ("s0", "s1") and self.now > 8000.0
                    self.wasted += fails
                    result, attempt = io.Result.ERROR if fails else io.Result.OK, self.sent[i, a.request]
                    self.sent[i, a.request] += 1
                    self.count += 1
                    heapq.heappush(self.queue, (self.now + 60.0, self.count, i, io.Outcome(
                        a.request, attempt, a.server, result, 60.0, not fails)))
            super()._act(i, actions)

    b, chance, n = Failing(gateways=20, servers=20, inbox_per_s=60.0), random.Random(3), 0
    while b.now < 28000.0:
        b.run(12.5)
        n += 1
        c = chance.randrange(40)
        b.ask((c + chance.randrange(3)) % 20, f"r{n}", plan="rate" if c % 4 else "free", customer=f"c{c}",
              first=c % 20, spread=3)
    assert 5 < b.wasted < 27
