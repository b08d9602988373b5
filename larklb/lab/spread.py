"""Simulates how findings spread through fleets of any size by the messages between limiters alone.

Each limiter asks its neighbours as in service, so that inbox capacity is used; the findings that are
piggybacked on these messages come from the program's own ``fleet/outbox.py``.  The simulated network loses
and delays messages, and an inbox accepts a limited number of messages per second.
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


@dataclass
class Limiter:
    """A simulated limiter with the parts of the program that exchange findings."""

    number: int
    pace: PeerPacer
    verdicts: Verdicts
    outbox: Outbox
    last_heard_at: dict[int, float] = field(default_factory=dict)
    inbox: deque[float] = field(default_factory=deque)


class UnboundedGossip(Verdicts):
    """The former way of spreading findings, for comparison.

    Each message carries the newest six findings, however often they were sent before; no message is sent for
    the sake of a finding, and a single observer suffices for a verdict.
    """

    def __init__(self, number: int, gateways: int, half_life: float) -> None:
        super().__init__(number, gateways, half_life)
        self.quorum, self.sends_per_finding = 1, 1 << 30

    def has_severe_unsent(self, now: float) -> bool:
        return False

    def findings_for(self, now: float, peer: int, most: int) -> Iterator[Finding]:
        for name, observer in list(reversed(self.unsent))[:most]:
            stored = self.findings[name][observer]
            yield Finding(*name, stored.slowness, now - stored.at, observer, stored.stamp)


class Fleet:
    """A fleet of limiters in simulated time.

    ``ages`` holds, for each subject and limiter, the milliseconds from the second observer's finding to the
    limiter's verdict.
    """

    def __init__(self, limiters: int, loss: float, seed: int, make: VerdictsFactory = Verdicts,
                 cut: Callable[[float, int, int], bool] = lambda now, a, b: False) -> None:
        self.count, self.loss, self.cut = limiters, loss, cut
        self.random = random.Random(seed)
        self.now, self.order = 0.0, 0
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.messages = self.bytes = self.asks = self.inbox_overflows = 0
        # Time of the second observer's first finding, by faulty subject.
        self.confirmed_at: dict[int, float] = {}
        self.ages: dict[int, dict[int, float]] = {}
        # Pairs of a limiter and a healthy subject that it condemned.
        self.false_verdicts: set[tuple[int, int]] = set()
        self.limiters = [self._limiter(i, make) for i in range(limiters)]
        for x in self.limiters:
            self.at(self.random.uniform(0.0, GOSSIP_INTERVAL_MS), lambda x=x: self._gossip(x))       # type: ignore[misc]
            self.at(self.random.uniform(0.0, 1000.0 / ASKS_PER_S), lambda x=x: self._ask(x))      # type: ignore[misc]

    def _limiter(self, number: int, make: VerdictsFactory) -> Limiter:
        settings = io.Settings(number=number, gateways=self.count, inbox_per_s=INBOX_PER_S, tick=TICK_MS,
                               classes=(io.ServiceClass("c", AIM_MS, 4000.0),), plans=(io.Plan("p"),))
        pace, verdicts = PeerPacer(INBOX_PER_S, TICK_MS, AIM_MS), make(number, self.count, HALF_LIFE_MS)
        fallback = Fallback(settings, Entitlements(settings.plans), -1e6)
        return Limiter(number, pace, verdicts, Outbox(number, AIM_MS, pace, fallback, verdicts))

    def at(self, when: float, act: Callable[[], object]) -> None:
        """Schedules ``act`` at the simulated time ``when`` (ms)."""
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, act))

    def run(self, until: float) -> None:
        """Runs all events up to and including the simulated time ``until`` (ms)."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        self.now = until

    # Faults -------------------------------------------------------------------------------

    def add_fault(self, subject: int, at: float) -> None:
        """Lets two limiters find ``subject`` bad from ``at`` on, the second of them up to 200 ms later."""
        first, second = self.random.sample(range(self.count), 2)
        lag = self.random.uniform(0.0, 200.0)
        self.confirmed_at[subject], self.ages[subject] = at + lag, {}
        step = HALF_LIFE_MS / 8
        for n in range(int(FAULT_DURATION_MS / step)):
            self.at(at + n * step, lambda: self._record_bad(first, subject))
            self.at(at + lag + n * step, lambda: self._record_bad(second, subject))

    def add_faulty_observer(self, number: int, at: float, subjects: range) -> None:
        """Lets one limiter find all of ``subjects`` bad without suspecting itself."""
        for n in range(int(FAULT_DURATION_MS / 500.0)):
            for subject in subjects:
                self.at(at + n * 500.0, lambda s=subject: self._record_bad(number, s))       # type: ignore[misc]

    def _record_bad(self, number: int, subject: int) -> None:
        x = self.limiters[number]
        # As if many other subjects were healthy; otherwise the limiter would suspect itself.
        x.verdicts.own_evidence.clear()
        x.verdicts.record_evidence(self.now, subject, TOPIC, 12.0)

    # Messages -----------------------------------------------------------------------------

    def _gossip(self, x: Limiter) -> None:
        self.at(self.now + GOSSIP_INTERVAL_MS, lambda: self._gossip(x))
        if x.verdicts.has_severe_unsent(self.now):
            peer = self.random.randrange(self.count)
            if peer != x.number:
                x.outbox.request_message(peer)
                self._flush(x, peer)

    def _ask(self, x: Limiter) -> None:
        self.at(self.now + self.random.expovariate(ASKS_PER_S) * 1000.0, lambda: self._ask(x))
        nearby = [(x.number + n) % self.count for n in range(-NEIGHBOURS, NEIGHBOURS + 1)]
        peers = sorted({p for p in nearby if p != x.number})
        if peers:
            peer = self.random.choice(peers)
            self.asks += 1
            x.outbox.send(peer, pw.Ask(1, x.number, 0, 1.0, 4000.0, 1.0))
            self._flush(x, peer)

    def _flush(self, x: Limiter, peer: int) -> None:
        if peer not in x.outbox.send_at:
            return
        recent_peers = sum(self.now - at <= 1000.0 for at in x.last_heard_at.values())
        for result in x.outbox.flush(self.now, peer, recent_peers, lambda: ()):
            if isinstance(result, bytes):
                self._send(x.number, peer, result)
            else:
                self.at(self.now + result, lambda: self._flush(x, peer))

    def _send(self, sender: int, to: int, data: bytes) -> None:
        self.messages += 1
        self.bytes += len(data)
        if self.random.random() >= self.loss and not self.cut(self.now, sender, to):
            self.at(self.now + self.random.uniform(*MESSAGE_DELAY_MS),
                    lambda: self._receive(sender, to, data))

    def _receive(self, sender: int, to: int, data: bytes) -> None:
        x = self.limiters[to]
        while x.inbox and x.inbox[0] <= self.now - 1000.0:
            x.inbox.popleft()
        if len(x.inbox) >= INBOX_PER_S:
            self.inbox_overflows += 1
            return
        x.inbox.append(self.now)
        x.last_heard_at[sender] = self.now
        x.pace.record_arrival(self.now, sender)
        for item in pw.unpack(data):
            match item:
                case pw.Loads(((pw.INBOX_RATE_ID, allowed), *_)):
                    x.pace.record_allowance(self.now, sender, allowed / pw.STEPS_PER_UNIT)
                case pw.Ask():
                    x.outbox.send(sender, pw.AskReply(item.number, True, 1.0, 0))
                    self._flush(x, sender)
                case Finding():
                    x.verdicts.receive(self.now, sender, item)
                    self._record_verdict(x, item.subject)

    def _record_verdict(self, x: Limiter, subject: int) -> None:
        if x.verdicts.verdict(self.now, subject, TOPIC) >= BAD_SLOWNESS:
            if subject not in self.confirmed_at:
                self.false_verdicts.add((x.number, subject))
            elif x.number not in self.ages[subject]:
                self.ages[subject][x.number] = max(0.0, self.now - self.confirmed_at[subject])

    def convergence_ages(self) -> list[float]:
        """Returns the sorted ages (ms) of all pairs of a subject and a limiter other than its observers.

        The age is infinite for a limiter that never reached a verdict.
        """
        result: list[float] = []
        for ages in self.ages.values():
            reached = sorted(ages.values())[:self.count - 2]
            result += reached + [float("inf")] * (self.count - 2 - len(reached))
        return sorted(result)


def simulate(limiters: int, loss: float, seed: int = 1, subjects: int = 6,
             make: VerdictsFactory = Verdicts) -> Fleet:
    """Runs a fleet in which ``subjects`` fail one after the other, each observed by two limiters."""
    fleet = Fleet(limiters, loss, seed, make)
    for n in range(subjects):
        fleet.add_fault(1000 + n, FIRST_FAULT_MS + n * FAULT_INTERVAL_MS)
    fleet.run(FIRST_FAULT_MS + subjects * FAULT_INTERVAL_MS + FAULT_DURATION_MS)
    return fleet
