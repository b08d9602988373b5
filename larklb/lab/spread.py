"""Simulates how findings spread through fleets of any size by the messages between limiters alone.

Each limiter asks its neighbours as in service, so that inbox capacity is used; the findings that are
piggybacked on these messages come from the program's own ``fleet/outbox.py``.  The simulated network loses
and delays messages, and an inbox accepts a limited number of messages per second.  Times are in ms from the
start, unless stated otherwise.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from larklb import interface as io
from larklb import peerwire as pw
from larklb.fleet.outbox import Outbox
from larklb.fleet.pace import PeerPacer
from larklb.fleet.verdicts import BAD_SLOWNESS, GOSSIP_INTERVAL_MS, Finding, Verdicts
from larklb.quota.entitlements import Entitlements
from larklb.quota.fallback import Fallback

# Settings of the limiters: target of a request, resolution of timers, messages per second that a limiter
# accepts, and half-life of a finding.
AIM_MS, TICK_MS, INBOX_PER_S, HALF_LIFE_MS = 1500.0, 4.0, 60.0, 4000.0
# Bounds of the delay of a message, as the operators state them.
MESSAGE_DELAY_MS = (1.0, 39.0)
# Number of limiters on either side that a limiter asks, and that ask it.
NEIGHBOURS = 7
# Rate at which each limiter asks its neighbours.
ASKS_PER_S = 8.0
# Time of the first finding.  By then every limiter knows which messages the others can read.
FIRST_FAULT_MS = 3000.0
# Time between the beginnings of two consecutive faults.
FAULT_INTERVAL_MS = 400.0
FAULT_DURATION_MS = 6000.0
TOPIC = 1
VerdictsFactory = Callable[[int, int, float], Verdicts]
"""Creates the verdicts of a limiter from its number, the number of limiters and the half-life in ms."""


@dataclass
class Limiter:
    """A simulated limiter with the parts of the program that exchange findings."""

    number: int
    pace: PeerPacer
    verdicts: Verdicts
    outbox: Outbox
    last_heard_at: dict[int, float] = field(default_factory=dict)          # by sender
    inbox: deque[float] = field(default_factory=deque)         # arrival times of the last second


class UnboundedGossip(Verdicts):
    """The former way of spreading findings, for comparison.

    Each message carries the newest six findings, however often they were sent before; no message is sent for
    the sake of a finding, and a single observer suffices for a verdict.
    """

    def __init__(self, number: int, gateways: int, half_life: float) -> None:
        super().__init__(number, gateways, half_life)
        self.quorum, self.sends_per_finding = 1, 1 << 30

    def has_severe_unsent(self, now: float) -> bool:
        """Returns False, so that no message is sent for the sake of a finding."""
        return False

    def findings_for(self, now: float, peer: int, limit: int) -> Iterator[Finding]:
        """Yields up to ``limit`` findings, the newest first, also those that the peer received before."""
        for name, observer in list(reversed(self.unsent))[:limit]:
            stored = self.findings[name][observer]
            yield Finding(*name, stored.slowness, now - stored.at, observer, stored.stamp)


class Fleet:
    """A fleet of limiters in simulated time.

    ``loss`` is the fraction of lost messages, and ``is_cut`` maps a time, a sender and a receiver to whether
    the link between them is cut.  ``ages`` holds, for each subject and limiter, the milliseconds from the
    second observer's finding to the limiter's verdict.
    """

    def __init__(self, limiters: int, loss: float, seed: int, make_verdicts: VerdictsFactory = Verdicts,
                 is_cut: Callable[[float, int, int], bool] = lambda now, sender, receiver: False) -> None:
        self.count, self.loss, self.is_cut = limiters, loss, is_cut
        self.random = random.Random(seed)
        self.now, self.scheduled_count = 0.0, 0
        # A heap of times, sequence numbers and actions.
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.messages = self.bytes = self.asks = self.inbox_overflows = 0
        # Time of the second observer's first finding, by faulty subject.
        self.confirmed_at: dict[int, float] = {}
        self.ages: dict[int, dict[int, float]] = {}
        # Pairs of a limiter and a healthy subject that it condemned.
        self.false_verdicts: set[tuple[int, int]] = set()
        self.limiters = [self._create_limiter(number, make_verdicts) for number in range(limiters)]
        for limiter in self.limiters:
            self.schedule(self.random.uniform(0.0, GOSSIP_INTERVAL_MS),
                          lambda limiter=limiter: self._gossip(limiter))           # type: ignore[misc]
            self.schedule(self.random.uniform(0.0, 1000.0 / ASKS_PER_S),
                          lambda limiter=limiter: self._ask(limiter))              # type: ignore[misc]

    def _create_limiter(self, number: int, make_verdicts: VerdictsFactory) -> Limiter:
        settings = io.Settings(number=number, gateways=self.count, inbox_per_s=INBOX_PER_S, tick=TICK_MS,
                               classes=(io.ServiceClass("c", AIM_MS, 4000.0),), plans=(io.Plan("p"),))
        pace, verdicts = (
            PeerPacer(INBOX_PER_S, TICK_MS, AIM_MS), make_verdicts(number, self.count, HALF_LIFE_MS))
        fallback = Fallback(settings, Entitlements(settings.plans), -1e6)
        return Limiter(number, pace, verdicts, Outbox(number, AIM_MS, pace, fallback, verdicts))

    def schedule(self, time_ms: float, action: Callable[[], object]) -> None:
        """Schedules an action at a simulated time."""
        self.scheduled_count += 1
        heapq.heappush(self.queue, (time_ms, self.scheduled_count, action))

    def run(self, until: float) -> None:
        """Processes all events up to and including a simulated time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until

    # Faults -------------------------------------------------------------------------------

    def add_fault(self, subject: int, start: float) -> None:
        """Lets two limiters find ``subject`` bad from ``start`` on, the second of them up to 200 ms later."""
        first, second = self.random.sample(range(self.count), 2)
        second_delay_ms = self.random.uniform(0.0, 200.0)
        self.confirmed_at[subject], self.ages[subject] = start + second_delay_ms, {}
        interval_ms = HALF_LIFE_MS / 8
        for index in range(int(FAULT_DURATION_MS / interval_ms)):
            self.schedule(start + index * interval_ms, lambda: self._record_bad(first, subject))
            self.schedule(start + second_delay_ms + index * interval_ms,
                          lambda: self._record_bad(second, subject))

    def add_faulty_observer(self, number: int, start: float, subjects: range) -> None:
        """Lets one limiter find all of ``subjects`` bad without suspecting itself."""
        for index in range(int(FAULT_DURATION_MS / 500.0)):
            for subject in subjects:
                self.schedule(start + index * 500.0,
                              lambda subject=subject: self._record_bad(number, subject))     # type: ignore[misc]

    def _record_bad(self, number: int, subject: int) -> None:
        limiter = self.limiters[number]
        # As if many other subjects were healthy; otherwise the limiter would suspect itself.
        limiter.verdicts.own_evidence.clear()
        limiter.verdicts.record_evidence(self.now, subject, TOPIC, 12.0)

    # Messages -----------------------------------------------------------------------------

    def _gossip(self, limiter: Limiter) -> None:
        self.schedule(self.now + GOSSIP_INTERVAL_MS, lambda: self._gossip(limiter))
        if limiter.verdicts.has_severe_unsent(self.now):
            peer = self.random.randrange(self.count)
            if peer != limiter.number:
                limiter.outbox.request_message(peer)
                self._flush(limiter, peer)

    def _ask(self, limiter: Limiter) -> None:
        self.schedule(self.now + self.random.expovariate(ASKS_PER_S) * 1000.0, lambda: self._ask(limiter))
        nearby = [(limiter.number + n) % self.count for n in range(-NEIGHBOURS, NEIGHBOURS + 1)]
        peers = sorted({p for p in nearby if p != limiter.number})
        if peers:
            peer = self.random.choice(peers)
            self.asks += 1
            limiter.outbox.send(peer, pw.Ask(1, limiter.number, 0, 1.0, 4000.0, 1.0))
            self._flush(limiter, peer)

    def _flush(self, limiter: Limiter, peer: int) -> None:
        if peer not in limiter.outbox.send_at:
            return
        recent_peers = sum(self.now - at <= 1000.0 for at in limiter.last_heard_at.values())
        for result in limiter.outbox.flush(self.now, peer, recent_peers, lambda: ()):
            if isinstance(result, bytes):
                self._send(limiter.number, peer, result)
            else:
                self.schedule(self.now + result, lambda: self._flush(limiter, peer))

    def _send(self, sender: int, receiver: int, data: bytes) -> None:
        self.messages += 1
        self.bytes += len(data)
        if self.random.random() >= self.loss and not self.is_cut(self.now, sender, receiver):
            self.schedule(self.now + self.random.uniform(*MESSAGE_DELAY_MS),
                          lambda: self._receive(sender, receiver, data))

    def _receive(self, sender: int, receiver: int, data: bytes) -> None:
        limiter = self.limiters[receiver]
        while limiter.inbox and limiter.inbox[0] <= self.now - 1000.0:
            limiter.inbox.popleft()
        if len(limiter.inbox) >= INBOX_PER_S:
            self.inbox_overflows += 1
            return
        limiter.inbox.append(self.now)
        limiter.last_heard_at[sender] = self.now
        limiter.pace.record_arrival(self.now, sender)
        for item in pw.unpack(data):
            match item:
                case pw.Loads(((pw.INBOX_RATE_ID, allowance), *_)):
                    limiter.pace.record_allowance(self.now, sender, allowance / pw.STEPS_PER_UNIT)
                case pw.Ask():
                    limiter.outbox.send(sender, pw.AskReply(item.number, True, 1.0, 0))
                    self._flush(limiter, sender)
                case Finding():
                    limiter.verdicts.receive(self.now, sender, item)
                    self._record_verdict(limiter, item.subject)

    def _record_verdict(self, limiter: Limiter, subject: int) -> None:
        if limiter.verdicts.verdict(self.now, subject, TOPIC) >= BAD_SLOWNESS:
            if subject not in self.confirmed_at:
                self.false_verdicts.add((limiter.number, subject))
            elif limiter.number not in self.ages[subject]:
                self.ages[subject][limiter.number] = max(0.0, self.now - self.confirmed_at[subject])

    def convergence_ages(self) -> list[float]:
        """Returns the sorted ages in ms of all pairs of a subject and a limiter other than its observers.

        The age is infinite for a limiter that never reached a verdict.
        """
        result: list[float] = []
        for ages in self.ages.values():
            known_ages = sorted(ages.values())[:self.count - 2]
            result += known_ages + [float("inf")] * (self.count - 2 - len(known_ages))
        return sorted(result)


def simulate(limiters: int, loss: float, seed: int = 1, subjects: int = 6,
             make_verdicts: VerdictsFactory = Verdicts) -> Fleet:
    """Runs a fleet in which so many subjects fail one after the other, each observed by two limiters."""
    fleet = Fleet(limiters, loss, seed, make_verdicts)
    for index in range(subjects):
        fleet.add_fault(1000 + index, FIRST_FAULT_MS + index * FAULT_INTERVAL_MS)
    fleet.run(FIRST_FAULT_MS + subjects * FAULT_INTERVAL_MS + FAULT_DURATION_MS)
    return fleet
