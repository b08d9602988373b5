"""Fleets of hundreds of gateways: the work of each is bounded, and together they keep quotas and limits."""

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

FLEET_SIZE = 400


def owner_of(customer: str, first: int, spread: int, gateways: int) -> int:
    return ring_owner(digest(customer), [(first + i) % gateways for i in range(spread)])


def first_of(customer: str) -> int:
    return digest("set of " + customer) % FLEET_SIZE


def ask(bed: Bed, i: int, name: str, customer: str) -> None:
    """Sends a request through the i-th of the customer's twenty gateways."""
    first = first_of(customer)
    bed.ask((first + i) % FLEET_SIZE, name, customer=customer, first=first, spread=20)


def answered(bed: Bed, name: str) -> float:
    answers = [at for at, _, a in bed.log
               if isinstance(a, io.Send | io.Refuse | io.Fail) and a.request == name]
    return answers[0]


@pytest.mark.parametrize("restarted", [0.0, 0.26])
def test_asks_are_answered_well_within_the_aim_in_a_large_fleet(restarted: float) -> None:
    bed = Bed(gateways=FLEET_SIZE, servers=20, inbox_per_s=40.0)
    bed.serve = 80.0
    for r in range(2):
        for c in range(60):
            ask(bed, c + r, f"warm{r}-{c}", f"c{c}")
            bed.run(5)
    for i in range(int(FLEET_SIZE * restarted)):
        bed.begin(i)
    before, asked = len(bed.log), {}
    for r in range(4):
        for c in range(60):
            asked[name := f"r{r}-{c}"] = bed.now
            ask(bed, 2 * c + r, name, f"c{c}")
            bed.run(5)
    bed.run(300)
    assert max(answered(bed, name) - at for name, at in asked.items()) <= 0.1 * 1000.0
    got = Counter((int(at // 1000), a.peer) for at, _, a in bed.log[before:] if isinstance(a, io.SendToPeer))
    assert max(got.values()) <= 40


def test_restarted_owner_of_a_large_set_grants_no_second_burst() -> None:
    bed = Bed(gateways=FLEET_SIZE, servers=20)
    for i in range(8):
        ask(bed, i, f"r{i}", "c")
        bed.run(20)
    assert len(bed.of(io.Send)) == 3
    bed.begin(owner_of("c", first_of("c"), 20, FLEET_SIZE))
    bed.run(50)
    for i in range(8):
        ask(bed, i, f"s{i}", "c")
        bed.run(20)
    assert len(bed.of(io.Send)) <= 4


def test_first_attempts_of_all_gateways_do_not_overload_a_cold_server() -> None:
    bed = Bed(gateways=FLEET_SIZE, servers=2, can_tell=False)
    for i in range(FLEET_SIZE):
        bed.give(i, io.ServerList(io.ListKind.CHANGES, 2, (io.Entry("new", started=bed.now),)))
    for i in range(FLEET_SIZE):
        bed.ask(i, f"r{i}", plan="free")
        bed.run(2000 / FLEET_SIZE)
    usual = 1000.0 / 6
    assert sum(a.server == "new" for a in bed.of(io.Send)) <= 2.0 * 0.2 * 2000 / usual + 1


def test_large_fleet_uses_the_capacity_of_a_cold_server() -> None:
    """Guards against a cold server that stays nearly idle.

    Only some of the limiters have a server in reach, so its capacity must not be divided among all of them.
    """
    gateways, servers, usual = 200, 100, 1000.0 / 6
    warm = [io.Entry(f"s{i}") for i in range(servers)]
    new, sent = io.Entry("new", started=0.0), 0
    listed = io.ServerList(io.ListKind.FULL, 1, (*warm, new))
    for i in range(gateways):
        pool = Servers(settings(number=i, gateways=gateways), random.Random(i),
                       Verdicts(i, gateways, 4000.0))
        pool.apply_list(0.0, listed, 4000.0, lambda short_id: None)
        for at in range(0, 40_000, 50):
            if pool.cold_server_has_room(pool.by_name["new"], float(at), 0.25, usual):
                pool.attempt_sent(float(at), pool.by_name["new"])
                sent += 1
    capacity = COLD_CAPACITY_SHARE * 2.0 * 0.25 / usual * 40_000.0
    assert 0.8 * capacity <= sent <= 1.1 * capacity, (sent, capacity)


def test_gateway_that_sees_little_load_spreads_its_work_and_stays_within_its_share() -> None:
    bed = Bed(gateways=1, servers=40, can_tell=False)
    low_load = Bed(gateways=1, servers=40, can_tell=False)
    bed.changes["gateways"] = low_load.changes["gateways"] = FLEET_SIZE
    for each in (bed, low_load):
        each.begin(0)
    for i in range(60):
        bed.ask(0, f"r{i}", plan="free")
        low_load.ask(0, f"r{i}", plan="free")
        low_load.end(0, f"r{i}")
    assert 1 <= len(bed.of(io.Send)) <= 6, (
        "the capacity of all servers times the gateway's fraction of the fleet")
    reach = {s.entry.server for s in low_load.gateways[0].server_pool.in_reach}
    assert (len(reach) < 12
            and len({a.server for a in low_load.of(io.Send)} & reach) >= 6), (
        "the requests are spread over the servers in reach, in no fixed order")
    assert {a.server for a in low_load.of(io.Send)} <= reach, (
        "servers out of reach are used only if none in reach has capacity left")


def test_work_per_event_does_not_grow_with_the_number_of_gateways() -> None:
    calls = dict.fromkeys((4, FLEET_SIZE), 0)
    for gateways in calls:
        bed = Bed(gateways=1, servers=60)
        bed.changes["gateways"] = gateways
        bed.drop = lambda sender, to: True
        bed.begin(0)
        bed.run(10)

        def count(frame: FrameType, event: str, arg: object, gateways: int = gateways) -> None:
            calls[gateways] += event == "call"
        sys.setprofile(count)
        try:
            for i in range(200):
                bed.ask(0, f"r{i}", customer=f"c{i % 9}", spread=4)
                bed.run(20)
        finally:
            sys.setprofile(None)
    assert calls[FLEET_SIZE] <= 1.5 * calls[4]


def test_repeated_refusals_are_cached_so_that_a_flood_spares_the_owner() -> None:
    bed = Bed(gateways=FLEET_SIZE, servers=20, inbox_per_s=10.0)
    for r in range(240):
        ask(bed, 1 + r % 19, f"r{r}", "c")
        bed.run(25)
    late = [a for at, _, a in bed.log if isinstance(a, io.SendToPeer) and at > bed.now - 1000
            and a.peer == owner_of("c", first_of("c"), 20, FLEET_SIZE)]
    assert len(late) <= 12, "most of the 40 requests a second are refused from the cache"


def test_server_that_is_full_for_one_plan_still_gets_other_plans() -> None:
    bed = Bed(servers=2)
    for i in range(4):
        bed.ask(0, f"f{i}", plan="open", customer=f"k{i}")
        bed.end(0, f"f{i}", io.Result.FULL if bed.of(io.Send, f"f{i}")[0].server == "s0" else io.Result.OK)
        if len(bed.of(io.Send, f"f{i}")) > 1:
            bed.end(0, f"f{i}", attempt=1)
    before = len(bed.of(io.Send))
    for i in range(6):
        bed.ask(0, f"o{i}", plan="open", customer=f"x{i}")
        bed.end(0, f"o{i}")
    assert {a.server for a in bed.of(io.Send)[before:]} == {"s1"}
    for i in range(6):
        bed.ask(0, f"r{i}", plan="free")
    assert {a.server for a in bed.of(io.Send)[-6:]} == {"s0", "s1"}


def test_finding_about_a_server_reaches_another_gateway() -> None:
    bed = Bed(gateways=2, servers=3)
    for i in range(3):
        bed.ask(0, f"r{i}", plan="free")
    bad = bed.of(io.Send, "r0")[0].server
    bed.end(0, "r0", io.Result.ERROR)
    bed.ask(0, "asks", customer=next(f"k{i}" for i in range(99) if owner_of(f"k{i}", 0, 2, 2) == 1))
    bed.run(100)
    before = len(bed.log)
    for i in range(2):
        bed.ask(1, f"q{i}", plan="free")
    assert bad not in {a.server for _, _, a in bed.log[before:] if isinstance(a, io.Send)}


def test_refusals_for_lack_of_a_slot_are_cached_no_longer_than_an_answer_takes() -> None:
    bed = Bed(gateways=FLEET_SIZE, servers=20, inbox_per_s=60.0)
    bed.serve = 100.0
    for r in range(150):
        bed.ask(1, f"r{r}", plan="open", customer="c", first=0, spread=FLEET_SIZE)
        bed.run(20)
    assert len(bed.of(io.Send)) >= 16, (
        "two slots that are each occupied for 100 ms serve at least 16 requests in 3 s")


def test_findings_about_failing_servers_reduce_wasted_attempts() -> None:
    """Guards against findings that are not sent to peers.

    Without them each of the twenty gateways tries the failing servers itself: 36 attempts instead of 18.
    """
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

    bed, rng, count = Failing(gateways=20, servers=20, inbox_per_s=60.0), random.Random(3), 0
    while bed.now < 28000.0:
        bed.run(12.5)
        count += 1
        customer = rng.randrange(40)
        bed.ask((customer + rng.randrange(3)) % 20, f"r{count}", plan="rate" if customer % 4 else "free",
                customer=f"c{customer}", first=customer % 20, spread=3)
    assert 5 < bed.wasted < 27
