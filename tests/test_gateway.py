"""Decisions of single gateways and small fleets, in simulated time and without input or output."""

from __future__ import annotations

import pytest

from larklb import interface as io
from larklb import peerwire as pw
from larklb.decision_constants import SUSPECT_SLOWNESS
from larklb.health import ALL_WORK
from larklb.quota.ring import digest, ring_owner
from tests.conftest import Bed


def owner_of(customer: str, gateways: int) -> int:
    return ring_owner(digest(customer), range(gateways))


def non_owner_of(customer: str, gateways: int) -> int:
    return (owner_of(customer, gateways) + 1) % gateways


def test_owner_grants_the_burst_and_then_refuses_with_the_refill_time() -> None:
    bed = Bed()
    for i in range(4):
        bed.ask(0, f"r{i}")
    assert len(bed.of(io.Send)) == 3
    refusal = bed.of(io.Refuse)[0]
    assert refusal.request == "r3" and refusal.retry_after == pytest.approx(1000.0, abs=5)


def test_quota_holds_across_gateways_and_each_request_is_asked_for() -> None:
    bed = Bed(gateways=2)
    for i in range(6):
        bed.ask(i % 2, f"r{i}")
    bed.run(400)
    assert len(bed.of(io.Send)) == 3 and len(bed.of(io.Refuse)) == 3


def test_over_quota_requests_are_sent_only_if_the_plan_earns_and_servers_are_idle() -> None:
    """Guards against refusing such requests while servers are idle and their plan pays for the excess."""
    plans = tuple(io.Plan(name, rate=1.0, burst=3.0, beyond_earns=earns, excess_cost=costs)
                  for name, earns, costs in (("pays", 0.3, 0.0), ("costs", 0.3, 0.5)))
    for gateways in (1, 2):
        bed = Bed(gateways=gateways, plans=plans)
        for i in range(5):
            bed.ask(0, f"p{i}", plan="pays", customer="p")
            bed.ask(0, f"c{i}", plan="costs", customer="c")
        bed.ask(0, "q", plan="pays", customer="p", quota_only=True)
        bed.run(400)
        sent = {a.request for a in bed.of(io.Send)}
        assert sent == {"p0", "p1", "p2", "p3", "p4", "c0", "c1", "c2"}
        assert [a.over_quota for a in bed.of(io.Refuse)] == [True] * 3
    bed = Bed(plans=plans)
    for i in range(60):
        bed.ask(0, f"r{i}", plan="pays", customer="p")
    assert 3 < len(bed.of(io.Send)) < 15 and len(bed.of(io.Refuse)) == 60 - len(bed.of(io.Send))


def test_owner_is_asked_again_soon_after_a_partition() -> None:
    """Guards against two gateways that both wait for open breakers (30 s) although the link works again."""
    for both_sides_ask in (True, False):
        bed = Bed(gateways=2)
        bed.cut, bed.serve = True, 50.0
        non_owner = non_owner_of("c", 2)
        owned_here = next(f"d{i}" for i in range(99) if owner_of(f"d{i}", 2) == non_owner)
        # A customer whose bucket still holds tokens.
        other = next(f"e{i}" for i in range(99) if owner_of(f"e{i}", 2) != non_owner)
        for i in range(6):
            bed.ask(non_owner, f"r{i}")
            if both_sides_ask:
                bed.ask(1 - non_owner, f"s{i}", customer=owned_here)
            bed.run(400)
        bed.cut = False
        bed.run(1000)
        bed.ask(non_owner, "knocks")
        bed.run(100)
        sent = len(bed.of(io.SendToPeer))
        bed.ask(non_owner, "asks", customer=other)
        assert any(isinstance(item, pw.Ask)
                   for a in bed.of(io.SendToPeer)[sent:] for item in pw.unpack(a.data))


def test_one_reset_or_unreadable_answer_does_not_make_a_server_suspect() -> None:
    """Guards against running out of servers where each of them fails now and then.

    A failure that is not the server's, such as a closed idle connection, must not count at all.
    """
    for unreadable, blameless in ((False, False), (True, False), (False, True)):
        bed = Bed(servers=1)
        bed.ask(0, "r", plan="free")
        bed.give(
            0,
            io.Outcome(
                "r", 0, "s0", io.Result.RESET, 5.0, False, unreadable=unreadable, server_blameless=blameless
            ),
        )
        slow = bed.gateways[0].servers["s0"].decayed_slowness(bed.now, ALL_WORK)
        assert slow == 1.0 if blameless else 1.5 < slow < SUSPECT_SLOWNESS


def test_bucket_copies_do_not_reduce_a_quota() -> None:
    """Guards against refusals within the quota by an owner that trusts a peer's copy of its bucket.

    A copy lacks the tokens that were added while it was on its way.
    """
    plan = io.Plan("rate", rate=10.0, burst=12.0)
    bed = Bed(gateways=2, delay=40.0, plans=(plan,), inbox_per_s=60.0)
    bed.serve = 50.0
    non_owner = non_owner_of("c", 2)
    for i in range(300):
        bed.ask(non_owner, f"r{i}")
        bed.run(104)
    assert not bed.of(io.Refuse)


def test_concurrency_quota_holds_across_gateways_and_releases_free_it() -> None:
    bed = Bed(gateways=2)
    non_owner = non_owner_of("c", 2)
    bed.ask(non_owner, "r0", plan="open")
    bed.ask(1 - non_owner, "r1", plan="open")
    bed.run(300)
    bed.ask(non_owner, "r2", plan="open")
    bed.run(300)
    assert len(bed.of(io.Send)) == 2 and bed.of(io.Refuse, "r2")
    bed.end(non_owner, "r0")
    bed.run(300)
    bed.ask(non_owner, "r3", plan="open")
    bed.run(300)
    assert bed.of(io.Send, "r3")


def test_lost_ask_is_repeated_and_takes_its_units_once() -> None:
    bed = Bed(gateways=2)
    non_owner, messages = non_owner_of("c", 2), [0]

    def drop(sender: int, to: int) -> bool:
        messages[0] += 1
        return messages[0] == 2            # the verdict on the first ask
    bed.drop = drop
    bed.ask(non_owner, "r0")
    bed.run(900)
    assert bed.of(io.Send, "r0")
    bed.drop = lambda sender, to: False
    for i in range(1, 4):
        bed.ask(1 - non_owner, f"r{i}")
    bed.run(500)
    assert len(bed.of(io.Refuse)) <= 1 and len(bed.of(io.Send)) >= 3


def test_unreachable_owner_opens_the_breaker_and_the_share_decides() -> None:
    bed = Bed(gateways=2)
    non_owner = non_owner_of("c", 2)
    bed.cut = True
    for i in range(3):
        bed.ask(non_owner, f"r{i}")
        bed.run(1500)
    breaker = bed.gateways[non_owner].breakers[1 - non_owner]
    assert breaker.failures >= 3 and not breaker.allows(bed.now)
    assert 1 <= len(bed.of(io.Send)) <= 3, "without its owner the gateway grants its share, half of the quota"
    bed.cut = False
    bed.ask(1 - non_owner, "x",
            customer=next(f"k{i}" for i in range(99) if owner_of(f"k{i}", 2) == non_owner))
    bed.run(300)
    assert bed.gateways[non_owner].breakers[1 - non_owner].allows(
        bed.now), "a message from the owner closes the breaker early"


def test_restarted_owner_does_not_grant_a_second_burst() -> None:
    bed = Bed(gateways=2)
    non_owner = non_owner_of("c", 2)
    for i in range(4):
        bed.ask(non_owner, f"r{i}")
        bed.run(100)
    assert len(bed.of(io.Send)) == 3
    bed.begin(1 - non_owner)
    bed.run(300)
    bed.ask(non_owner, "again")
    bed.ask(1 - non_owner, "again2")
    bed.run(300)
    assert len(bed.of(io.Send)) <= 4


def test_unused_grant_is_given_back() -> None:
    bed = Bed(servers=0)
    bed.ask(0, "r0", due=300.0)
    bed.run(400)
    assert bed.of(io.Refuse, "r0")
    assert bed.gateways[0].buckets[digest("c")][1].tokens == pytest.approx(3.0)


@pytest.mark.parametrize("result", [io.Result.ERROR, io.Result.RESET, io.Result.TIMEOUT])
def test_non_repeatable_request_that_may_have_run_fails_and_is_not_sent_again(result: io.Result) -> None:
    bed = Bed()
    bed.ask(0, "r0", service="lock", plan="free")
    bed.end(0, "r0", result)
    assert len(bed.of(io.Send, "r0")) == 1 and bed.of(io.Fail, "r0") and not bed.of(io.Refuse, "r0")


def test_non_repeatable_request_that_never_ran_goes_to_another_server() -> None:
    bed = Bed()
    bed.ask(0, "r0", service="lock", plan="free")
    bed.end(0, "r0", io.Result.CONNECT_FAILED)
    first, second = bed.of(io.Send, "r0")
    assert first.server != second.server


def test_keyed_request_is_repeated_only_within_its_cell_and_window() -> None:
    bed = Bed(servers=4)
    bed.ask(0, "r0", service="write", plan="free")
    bed.end(0, "r0", io.Result.ERROR)
    first, second = bed.of(io.Send, "r0")
    cells = {e.server: e.cell for e in bed.entries}
    assert cells[first.server] == cells[second.server]
    bed.run(2500)
    bed.end(0, "r0", io.Result.ERROR, attempt=1)
    assert len(bed.of(io.Send, "r0")) == 2 and bed.of(io.Fail, "r0") and not bed.of(io.Refuse, "r0")


def test_draining_and_missing_servers_get_no_new_attempts() -> None:
    bed = Bed()
    bed.give(0, io.ServerList(io.ListKind.CHANGES, 2, (io.Entry("s0", state=io.ServerState.DRAINING),)))
    for i in range(4):
        bed.ask(0, f"r{i}", plan="free")
    assert {a.server for a in bed.of(io.Send)} == {"s1"}
    bed.give(0, io.ServerList(io.ListKind.FULL, 3, (io.Entry("s0"),)))
    bed.ask(0, "late", plan="free")
    assert bed.of(io.Send, "late")[0].server == "s0"


def test_cold_server_gets_a_budget_shared_by_all_gateways() -> None:
    bed = Bed(servers=3)
    bed.give(0, io.ServerList(io.ListKind.CHANGES, 2, (io.Entry("new", started=bed.now),)))
    for i in range(60):
        bed.ask(0, f"r{i}", plan="free")
        if i >= 8 and bed.of(io.Send, f"r{i - 8}"):
            bed.end(0, f"r{i - 8}", took=240.0)
        bed.run(30)
    assert 0 < sum(a.server == "new" for a in bed.of(io.Send)) <= 8


def test_every_request_is_answered_once_with_no_servers_or_little_time() -> None:
    bed = Bed(gateways=2, servers=0)
    for i in range(8):
        bed.ask(i % 2, f"r{i}", service=("read", "lock", "write")[i % 3], due=(3.0, 40.0, 4000.0)[i % 3])
    bed.run(5000)
    answers = [a.request for a in bed.of(io.Refuse) + bed.of(io.Fail)]
    assert sorted(answers) == [f"r{i}" for i in range(8)]


def test_server_that_refuses_at_once_does_not_attract_waiting_requests() -> None:
    """Guards against incident i1795d4: a dead server that refuses at once looks empty and attracts requests.

    It received thousands of connection attempts per second.
    """
    bed = Bed(servers=3)
    attempts = 0
    for i in range(80):
        bed.ask(0, f"r{i}", plan="free")
        for attempt in range(4):
            sends = bed.of(io.Send, f"r{i}")
            if len(sends) == attempt + 1 and sends[attempt].server == "s0":
                attempts += 1
                bed.end(0, f"r{i}", io.Result.CONNECT_FAILED, attempt=attempt, took=1.0)
        if i >= 6 and bed.of(io.Send, f"r{i - 6}")[-1].server != "s0":
            bed.end(0, f"r{i - 6}", attempt=len(bed.of(io.Send, f"r{i - 6}")) - 1, took=60.0)
        bed.run(10)
    assert attempts <= 6


def test_silent_peers_are_assumed_to_have_as_much_load_as_this_gateway() -> None:
    """Guards against incident i9de0b1: with all links cut, each gateway used the whole capacity itself."""
    bed = Bed(gateways=4, servers=2)
    bed.cut = True
    bed.run(3000)
    for i in range(40):
        bed.ask(0, f"r{i}", plan="free")
    assert len(bed.of(io.Send)) <= 6


def test_attempt_at_a_silent_server_is_moved_where_the_class_allows() -> None:
    bed = Bed(servers=3)
    for i in range(6):
        bed.ask(0, f"w{i}", plan="free")
    unresponsive = bed.of(io.Send, "w0")[0].server
    for i in range(1, 6):
        if bed.of(io.Send, f"w{i}")[0].server != unresponsive:
            bed.run(20)
            bed.end(0, f"w{i}", took=100.0)
    bed.run(700)
    cancels = bed.of(io.Cancel)
    assert cancels and cancels[0].request == "w0"
    bed.end(0, "w0", io.Result.CANCELLED, took=600.0)
    assert bed.of(io.Send, "w0")[-1].server != unresponsive


def test_events_for_unknown_requests_are_ignored() -> None:
    bed = Bed()
    bed.give(0, io.ClientGone("never"))
    bed.give(0, io.Outcome("never", 0, "s0", io.Result.OK, 5.0, True))
    bed.give(0, io.Timer(123456))
    bed.give(0, io.PeerMessage(0, b"junk"))
    bed.ask(0, "r0", plan="free")
    bed.end(0, "r0")
    assert bed.give(0, io.ClientGone("r0")) == []
    assert not bed.gateways[0].pending


def test_unknown_plan_or_class_is_named() -> None:
    bed = Bed()
    with pytest.raises(ValueError, match="gold"):
        bed.ask(0, "r0", plan="gold")
    with pytest.raises(ValueError, match="paint"):
        bed.ask(0, "r1", service="paint")


def test_without_messages_to_peers_the_share_decides() -> None:
    bed = Bed(gateways=3, can_tell=False)
    for i in range(6):
        bed.ask(non_owner_of("c", 3), f"r{i}")
    assert len(bed.of(io.Send)) == 1 and not bed.of(io.SendToPeer)


def test_messages_fit_the_inbox_and_the_size() -> None:
    bed = Bed(gateways=3, inbox_per_s=40.0)
    before = len(bed.log)
    for i in range(300):
        bed.ask(i % 3, f"r{i}", customer=f"k{i % 40}")
        bed.run(5)
    sent = [a for _, _, a in bed.log[before:] if isinstance(a, io.SendToPeer)]
    assert all(len(a.data) <= pw.MAX_DATAGRAM_BYTES for a in sent)
    assert all(sum(a.peer == g for a in sent) <= 40 * 1.5 + 4 for g in range(3))


def test_lost_server_list_is_requested_again() -> None:
    bed = Bed(must_ask_list=True)
    bed.log.clear()
    bed.give(0, io.ServerList(io.ListKind.LOST))
    bed.run(1500.0)
    assert bed.of(io.Subscribe) == [io.Subscribe()] and bed.gateways[0].server_pool.up, (
        "the former server list remains in use"
    )


def test_started_stream_has_no_deadline_and_ends_once() -> None:
    bed = Bed()
    bed.ask(0, "r", plan="free", due=1000.0)
    bed.give(0, io.StreamStarted("r", 0, bed.of(io.Send)[0].server, 20.0))
    bed.run(3000.0)
    assert not bed.of(io.Fail) and not bed.of(io.Refuse) and "r" in bed.gateways[0].pending
    bed.end(0, "r", took=3000.0)
    assert not bed.gateways[0].pending and all(not s.attempts for s in bed.gateways[0].servers.values())


def test_duplicate_attempt_is_sent_only_if_the_settings_allow_it() -> None:
    for can_copy in (False, True):
        bed = Bed(servers=3, can_copy=can_copy, can_cancel=False)
        for i in range(3):
            bed.ask(0, f"w{i}", plan="free")
            bed.end(0, f"w{i}", took=20.0)
        bed.ask(0, "r", plan="free")
        bed.run(900.0)
        assert len(bed.of(io.Send, "r")) == (2 if can_copy else 1)


def test_slot_is_freed_although_the_first_release_message_is_lost() -> None:
    bed = Bed(gateways=2)
    non_owner, messages = non_owner_of("c", 2), [0]
    for i in range(2):
        bed.ask(non_owner, f"r{i}", plan="open")
    bed.run(300.0)

    def drop(sender: int, to: int) -> bool:
        messages[0] += 1
        return messages[0] == 1
    bed.drop = drop
    bed.end(non_owner, "r0")
    bed.run(300.0)
    bed.ask(non_owner, "next", plan="open")
    bed.run(300.0)
    assert messages[0] > 1 and bed.of(io.Send, "next")


def test_retry_after_a_reset_prefers_a_server_that_was_not_tried() -> None:
    """Guards against a retry at the same server.

    A reset does not make a server suspect, so with load on the others it would be chosen again.
    """
    bed = Bed(servers=3)
    for i in range(6):
        bed.ask(0, f"w{i}", plan="free")
    first, *others = bed.of(io.Send)
    for send in others:
        if send.server == first.server:
            bed.end(0, send.request)
    bed.end(0, first.request, io.Result.RESET)
    sends = bed.of(io.Send, first.request)
    assert len(sends) == 2 and sends[1].server != first.server


def test_waiting_requests_are_checked_again_while_nothing_is_in_flight() -> None:
    """Guards against requests that wait until their aim and are refused although servers are free.

    After a pause of the process both servers looked suspect, compared with a median from before the pause.
    With no attempt in flight, no outcome triggered another look at the queue.
    """
    bed = Bed()
    for i in range(300):
        bed.ask(0, f"w{i}", plan="free")
        bed.run(2)
        bed.end(0, f"w{i}", took=1.0)
    for i in range(20):
        bed.ask(0, f"r{i}", plan="free")
    gateway, out = bed.gateways[0], [a.request for a in bed.of(io.Send) if a.request.startswith("r")]
    assert gateway.waiting
    # The process was paused: all answers are read at once.
    bed.now += 20.0
    for name in out:
        bed.end(0, name, took=150.0)
    while more := [a.request for a in bed.of(io.Send) if a.request.startswith("r") and a.request not in out]:
        for name in more:
            out.append(name)
            bed.end(0, name, took=150.0)
    waiting_before = len(gateway.waiting)
    bed.run(100.0)
    assert waiting_before and not gateway.waiting and len({a.request for a in bed.of(io.Send)}) == 320
