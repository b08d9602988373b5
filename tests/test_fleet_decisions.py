"""Decisions that limiters reach together, without I/O: pacing, server subsets, verdicts and members."""

from __future__ import annotations

import itertools
import random

import pytest

from larklb.fleet.members import QUIET_AFTER_MS, Members
from larklb.fleet.pace import INBOX_FRACTION, PeerPacer
from larklb.fleet.reach import MIN_LIMITERS_PER_SERVER, MIN_SERVERS, SHRINK_INTERVAL_MS, Reach
from larklb.fleet.verdicts import (
    BAD_SLOWNESS,
    LIMITER,
    MAX_OBSERVERS,
    MAX_SUBJECTS,
    REFRESH_FRACTION,
    SELF_SUSPICION_MIN_SUBJECTS,
    Finding,
    Verdicts,
    is_newer_stamp,
)

INBOX, TICK, AIM, HALF = 60.0, 4.0, 1500.0, 4000.0


# Pacing -----------------------------------------------------------------------------------


def test_infrequent_messages_are_not_delayed_with_many_senders() -> None:
    pace, now = PeerPacer(INBOX, TICK, AIM), 0.0
    for _ in range(40):
        assert pace.next_send_at(now, 1, senders=14) == now
        pace.record_sent(now, 1, senders=14)
        now += 700.0


@pytest.mark.parametrize("senders", [2, 5, 14, 40])
def test_all_senders_at_their_maximum_do_not_overflow_an_inbox(senders: int) -> None:
    """Each sender always has a message, and receives allowances late and not always."""
    rng = random.Random(senders)
    receiver = PeerPacer(INBOX, TICK, AIM)
    paces = [PeerPacer(INBOX, TICK, AIM) for _ in range(senders)]
    arrivals: list[float] = []
    allowances: list[tuple[float, int, float]] = []
    for now in range(0, 20000, 4):
        for i, pace in enumerate(paces):
            if pace.next_send_at(float(now), 0, senders) <= now:
                pace.record_sent(float(now), 0, senders)
                receiver.record_arrival(float(now), i)
                arrivals.append(float(now))
                if rng.random() < 0.9:
                    allowances.append((now + rng.uniform(2.0, 78.0), i, receiver.allowance(float(now), i)))
        for at, i, allowed in [a for a in allowances if a[0] <= now]:
            paces[i].record_allowance(at, 0, allowed)
        allowances = [a for a in allowances if a[0] > now]
    seconds = [sum(s <= t < s + 1000 for t in arrivals) for s in range(0, 20000, 1000)]
    assert seconds[0] <= INBOX * INBOX_FRACTION * 2 + senders, (
        "the rate is limited before the first allowances arrive"
    )
    assert max(seconds[3:]) <= INBOX and min(seconds[3:]) >= 0.4 * INBOX, seconds


def test_a_busy_sender_may_use_the_capacity_that_others_leave() -> None:
    busy, receiver = PeerPacer(INBOX, TICK, AIM), PeerPacer(INBOX, TICK, AIM)
    sent = 0
    for now in range(0, 10000, 4):
        for i in range(1, 15):
            if now % 1000 == i * 60:
                # One message a second from each of the others.
                receiver.record_arrival(float(now), i)
        if busy.next_send_at(float(now), 0, senders=14) <= now:
            busy.record_sent(float(now), 0, senders=14)
            receiver.record_arrival(float(now), 0)
            busy.record_allowance(now, 0, receiver.allowance(float(now), 0))
            sent += 1
    assert sent / 10.0 > 2 * INBOX * INBOX_FRACTION / 14


def test_an_allowance_expires() -> None:
    pace = PeerPacer(INBOX, TICK, AIM)
    pace.record_allowance(0.0, 1, 40.0)
    assert pace.rate(1000.0, 1, senders=14) == 40.0
    assert pace.rate(5000.0, 1, senders=14) == pytest.approx(INBOX * INBOX_FRACTION / 14)
    assert pace.reports_allowance(1) and not pace.reports_allowance(2)


def test_a_request_is_retried_once_its_answer_is_overdue() -> None:
    pace, now = PeerPacer(INBOX, TICK, AIM), 0.0
    first = pace.start_request(now, 0, 1, 525.0)
    pace.record_answer(now + 40.0, 0)
    for n in range(1, 60):
        again = pace.start_request(now, n, 1, 525.0)
        pace.record_answer(now + 40.0 + n % 5, n)
        now += 200.0
    assert again < first / 2 and again > 44.0
    pace.start_request(now, 99, 1, 525.0)
    retries, at = 0, now + again
    while (wait := pace.next_retry(at, 99)) is not None:
        retries, at = retries + 1, at + wait
    assert retries >= 2 and at - now == pytest.approx(525.0, abs=2 * TICK)
    before = pace.peers[1].smoothed_rtt
    pace.start_request(at, 100, 1, 525.0)
    pace.next_retry(at + again, 100)
    pace.record_answer(at + 400.0, 100)
    assert pace.peers[1].smoothed_rtt == before, (
        "the answer to a retried request is no RTT sample: it may belong to either transmission"
    )
    pace.clean(at + 1e6)
    assert not pace.peers and not pace.pending and not pace.inbox_by_peer


def test_a_limiter_that_is_cut_off_does_not_wait_for_answers() -> None:
    """Each job of a limiter that was cut off used to wait for the timeout of a request of its own."""
    pace, now = PeerPacer(INBOX, TICK, AIM), 0.0
    for n in range(1000):
        now += 40.0
        pace.record_arrival(now, n % 5)
    assert not pace.is_cut_off(now + 200.0), "the absence of five expected messages may be chance"
    pace.start_request(now, 1, 3, 525.0)
    assert pace.next_retry(now + 200.0, 1) is not None
    assert pace.is_cut_off(now + 400.0) and pace.next_retry(now + 400.0, 1) is None
    assert pace.start_request(now + 400.0, 2, 3, 525.0) < 300.0
    assert pace.next_retry(now + 700.0, 2) is None
    pace.record_arrival(now + 800.0, 4)
    assert not pace.is_cut_off(now + 800.0)
    infrequent = PeerPacer(INBOX, TICK, AIM)
    infrequent.record_arrival(0.0, 1)
    assert not infrequent.is_cut_off(5000.0), (
        "a long silence does not indicate a cut-off if messages are infrequent"
    )


# Subsets ----------------------------------------------------------------------------------


def coverage(limiters: int, servers: int, seed: int = 1) -> list[int]:
    rng = random.Random(seed)
    digests = rng.sample(range(1, 65536), servers)
    count = [0] * servers
    for i in range(limiters):
        for place in Reach(i, limiters).select(digests):
            count[place] += 1
    return count


@pytest.mark.parametrize(("limiters", "servers"), [(12, 40), (60, 60), (200, 106), (200, 200), (500, 150)])
def test_the_subsets_cover_all_servers_evenly(limiters: int, servers: int) -> None:
    count = coverage(limiters, servers)
    mean = sum(count) / servers
    assert min(count) >= min(MIN_LIMITERS_PER_SERVER, limiters) * 0.6 and max(count) <= 1.4 * mean + 1, (
        min(count),
        max(count),
    )


@pytest.mark.parametrize("limiters", [1, 3, MIN_LIMITERS_PER_SERVER])
def test_in_a_small_fleet_each_limiter_sends_to_all_servers(limiters: int) -> None:
    assert coverage(limiters, 50) == [limiters] * 50


@pytest.mark.parametrize(("limiters", "servers"), [(1, 5), (3, 40), (9, 7), (60, 60), (200, 106), (500, 150)])
def test_the_shares_of_a_cold_server_add_up_to_its_capacity(limiters: int, servers: int) -> None:
    digests = random.Random(3).sample(range(1, 65536), servers)
    whole = [0.0] * servers
    for i in range(limiters):
        reach = Reach(i, limiters)
        parts, near = reach.cold_capacity_shares(digests), set(reach.select(digests))
        whole = [a + b for a, b in zip(whole, parts, strict=True)]
        if len(near) < servers:
            assert {n for n, part in enumerate(parts) if part > 0} == near, (
                "a limiter has a share of the cold capacity of exactly the servers in its reach"
            )
    assert whole == pytest.approx([1.0] * servers)


def test_a_removed_server_changes_at_most_two_entries_of_a_subset() -> None:
    digests = random.Random(2).sample(range(1, 65536), 100)
    for i in range(200):
        reach = Reach(i, 200)
        before = {digests[p] for p in reach.select(digests)}
        for gone in range(0, 100, 7):
            left = digests[:gone] + digests[gone + 1:]
            after = {left[p] for p in reach.select(left)}
            assert len(after - before) <= 2


def test_the_subset_grows_at_once_and_shrinks_late() -> None:
    reach, now = Reach(3, 200), 0.0
    assert reach.needed_size(100) == MIN_SERVERS
    for _ in range(100):
        reach.record_request(now, 30, 100)
    grown = reach.size
    assert 40 <= grown <= 60
    now += SHRINK_INTERVAL_MS / 2
    for _ in range(200):
        reach.record_request(now, 2, 100)
    assert reach.size == grown
    now += SHRINK_INTERVAL_MS
    reach.record_request(now, 2, 100)
    assert reach.size == MIN_SERVERS


# Verdicts ---------------------------------------------------------------------------------


def finding(observer: int, slow: float = 8.0, stamp: int = 100, subject: int = 7, topic: int = 1,
            age: float = 0.0) -> Finding:
    return Finding(subject, topic, slow, age, observer, stamp)


def test_a_verdict_takes_two_other_observers() -> None:
    v = Verdicts(0, 20, HALF)
    for stamp in range(100, 120):
        v.receive(0.0, 1, finding(1, 12.0, stamp))
        # Relayed by another limiter, it is still the finding of one observer.
        v.receive(0.0, 2, finding(1, 12.0, stamp))
    assert v.verdict(0.0, 7, 1) == 1.0
    v.record_evidence(0.0, 7, 1, 12.0)
    assert v.verdict(0.0, 7, 1) == 1.0, "a limiter's own evidence does not count towards the quorum"
    v.receive(0.0, 2, finding(2, 5.0))
    assert v.verdict(0.0, 7, 1) == 5.0, "the verdict is the second worst finding of other limiters"
    assert v.verdict(HALF, 7, 1) == 3.0 and v.verdict(20 * HALF, 7, 1) < 1.01
    assert v.verdict(0.0, 7, 2) == 1.0, "findings about one class do not affect other classes"


def test_in_a_fleet_of_three_one_observer_suffices() -> None:
    v = Verdicts(0, 3, HALF)
    v.receive(0.0, 1, finding(1))
    assert v.verdict(0.0, 7, 1) == 8.0


def test_duplicates_and_order_do_not_change_a_verdict() -> None:
    received = [finding(1, 8.0, 100), finding(1, 1.0, 105), finding(2, 6.0, 101), finding(3, 9.0, 102),
                finding(3, 4.0, 104)]
    results = set()
    for order in itertools.permutations(received):
        v = Verdicts(0, 20, HALF)
        for f in (*order, *order[:2]):
            v.receive(0.0, 9, f)
        results.add((v.verdict(0.0, 7, 1), tuple(sorted((o, k.stamp) for o, k in v.findings[7, 1].items()))))
    assert results == {(4.0, ((1, 105), (2, 101), (3, 104)))}


def test_findings_of_a_former_incarnation_are_ignored_and_stamps_wrap() -> None:
    v = Verdicts(0, 20, HALF)
    v.receive(0.0, 1, finding(1, 1.0, 5))
    # An older stamp: a delayed finding, or an old process that was stopped and resumed.
    v.receive(0.0, 2, finding(1, 12.0, 65500))
    v.receive(0.0, 2, finding(2, 12.0, 5))
    assert v.verdict(0.0, 7, 1) == 1.0
    assert is_newer_stamp(5, 65500) and not is_newer_stamp(65500, 5) and not is_newer_stamp(5, 5)
    v.receive(0.0, 3, finding(0, 12.0, 9))
    assert 0 not in v.findings[7, 1], "findings of this limiter's former incarnation are ignored"


def test_later_good_findings_of_a_quorum_void_bad_ones() -> None:
    v = Verdicts(0, 20, HALF)
    for observer in (1, 2, 3):
        v.receive(1000.0, observer, finding(observer, 12.0, 100, age=500.0))
    v.receive(1100.0, 4, finding(4, 1.0, 100))
    assert v.verdict(1100.0, 7, 1) > BAD_SLOWNESS, (
        "the good finding of a single observer does not void bad ones"
    )
    v.receive(1200.0, 5, finding(5, 1.0, 100))
    assert v.verdict(1200.0, 7, 1) == 1.0
    v.receive(1400.0, 1, finding(1, 12.0, 110))
    v.receive(1400.0, 2, finding(2, 12.0, 110))
    assert v.verdict(1400.0, 7, 1) > BAD_SLOWNESS, "newer bad findings of a quorum count again"


def test_an_observer_that_finds_most_subjects_bad_retracts_its_findings() -> None:
    v = Verdicts(0, 20, HALF)
    for subject in range(10):
        v.record_evidence(float(subject), subject, 1, 12.0)
    assert all(by_observer[0].slowness < BAD_SLOWNESS for by_observer in v.findings.values())
    sent = list(v.findings_for(10.0, 5, 20))
    assert sent and all(f.slowness < BAD_SLOWNESS for f in sent)
    confident = Verdicts(0, 20, HALF)
    for subject in range(10):
        confident.record_evidence(float(subject), subject, 1, 12.0 if subject in (3, 5) else 1.0)
    assert {f.subject for f in confident.findings_for(10.0, 5, 20) if f.slowness >= BAD_SLOWNESS} == {3, 5}
    assert SELF_SUSPICION_MIN_SUBJECTS > 2, "two bad nodes alone do not make a limiter suspect itself"


def test_a_finding_is_sent_once_to_a_peer_and_in_a_limited_number_of_messages() -> None:
    v = Verdicts(0, 200, HALF)
    v.receive(0.0, 9, finding(3))
    assert not list(v.findings_for(0.0, 9, 6)) and not list(v.findings_for(0.0, 3, 6)), (
        "a finding is not sent back to its sender or its observer"
    )
    for peer in range(20, 20 + v.sends_per_finding):
        assert v.has_severe_unsent(0.0) and len(list(v.findings_for(0.0, peer, 6))) == 1
    assert not v.has_severe_unsent(0.0) and not list(v.findings_for(0.0, 199, 6))
    v.receive(0.0, 8, finding(3, 7.0, 101))
    assert [f.stamp for f in v.findings_for(0.0, 199, 6)] == [101]


def test_in_a_small_fleet_a_finding_is_not_sent_once_all_have_it() -> None:
    """It used to stay queued for half a minute, and was checked again for each message."""
    v = Verdicts(0, 4, HALF)
    v.record_evidence(0.0, 7, 1, 12.0)
    v.receive(0.0, 2, finding(2))
    for peer in (1, 2, 3):
        assert list(v.findings_for(0.0, peer, 6))
    assert not list(v.findings_for(0.0, 1, 6)) and not v.unsent and not v.has_severe_unsent(0.0)


def test_a_lasting_bad_finding_is_repeated_and_its_end_is_reported() -> None:
    v = Verdicts(0, 20, HALF)
    stamps: set[int] = set()
    for now in range(0, 4000, 50):
        v.record_evidence(float(now), 7, 1, 12.0)
        stamps.update(f.stamp for f in v.findings_for(float(now), now, 6))
    assert 3 <= len(stamps) <= 1 + 4000 / (HALF * REFRESH_FRACTION)
    v.record_evidence(5200.0, 7, 1, 1.2)
    assert [f.slowness for f in v.findings_for(5200.0, 9999, 6)] == [1.0]
    v.clean(5200.0 + 20 * HALF)
    assert not v.findings and not v.current and not v.unsent and not v.own_evidence


def test_the_number_of_stored_findings_is_bounded() -> None:
    v = Verdicts(0, 500, HALF)
    for subject in range(3 * MAX_SUBJECTS):
        v.receive(0.0, 9, finding(1, 12.0, 1, subject))
    for observer in range(1, 400):
        v.receive(0.0, 9, finding(observer, 12.0, 1, 9999))
    assert len(v.findings) <= MAX_SUBJECTS and len(v.findings[9999, 1]) <= MAX_OBSERVERS
    assert len(v.unsent) <= MAX_SUBJECTS * MAX_OBSERVERS
    v.forget(9999)
    assert (9999, 1) not in v.findings and all(name in v.findings for name, _ in v.unsent)


# Members ----------------------------------------------------------------------------------


def test_the_states_of_a_member() -> None:
    heard_at: dict[int, float] = {1: 0.0, 2: 0.0}
    v = Verdicts(0, 20, HALF)
    m = Members(0, 20, heard_at, v)
    assert [m.state(100.0, peer) for peer in (1, 3)] == ["heard", "strange"]
    now = 2 * QUIET_AFTER_MS
    heard_at[2] = now
    assert [m.state(now, peer) for peer in (1, 2)] == ["quiet", "heard"]
    for subject in (1, 2):
        for observer in (5, 6, 7):
            assert not m.is_silent(now, subject)
            v.receive(now, observer, finding(observer, 8.0, 50, subject, LIMITER))
    assert [m.state(now, peer) for peer in (1, 2)] == ["silent", "heard"], (
        "a recent message from the peer itself overrides the findings of others"
    )
    assert m.rows(now) == {"heard": [2], "quiet": [], "silent": [1]}
    heard_at[1] = now + 10.0
    assert not m.is_silent(now + 10.0, 1)


def test_a_limiter_that_hears_from_nobody_reports_nobody_as_silent() -> None:
    v = Verdicts(0, 20, HALF)
    m = Members(0, 20, {}, v)
    for peer in range(1, 8):
        m.record_message(0.0, peer)
    for peer in range(1, 8):
        m.record_no_answer(500.0, peer, 100.0)
    assert all(f.slowness < BAD_SLOWNESS for f in v.findings_for(600.0, 9, 20))
    alive = Members(0, 20, {4: 200.0}, Verdicts(0, 20, HALF))
    for peer in range(1, 8):
        alive.record_message(400.0, peer)
    # A message arrived after the request was sent, so only messages were lost.
    alive.record_no_answer(600.0, 4, 100.0)
    alive.record_no_answer(600.0, 3, 100.0)
    assert [f.subject for f in alive.verdicts.findings_for(600.0, 9, 20)] == [3]
