"""How findings go round in fleets of any size: the words of many limiters alone, in simulated time.

Each limiter asks its neighbours as in service, so that inboxes are used; what rides along is the program's
own (``fleet/outbox.py``).  The network loses and delays, and an inbox takes so many messages a second.
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

AIM, TICK, INBOX, HALF = 1500.0, 4.0, 60.0, 4000.0
DELAY = (1.0, 39.0)        # ms of a message, from the operators' brief
NEIGHBOURS = 7             # limiters to either side that one asks, and that ask it
ASKS = 8.0                 # asks a second of each limiter
BEGIN = 3000.0             # ms until the first finding: all know by then what the others speak
EVERY = 400.0              # ms between the beginnings of two things that go wrong
STANDS = 6000.0            # ms for which a thing stays wrong
TOPIC = 1
Make = Callable[[int, int, float], Verdicts]


@dataclass
class Limiter:
    number: int
    pace: PeerPacer
    verdicts: Verdicts
    outbox: Outbox
    heard: dict[int, float] = field(default_factory=dict)
    inbox: deque[float] = field(default_factory=deque)


class Told(Verdicts):
    """As findings went round before: the newest six ride on each message, each time anew, nothing goes by
    itself, and one observer's word counts."""

    def __init__(self, number: int, gateways: int, half_life: float) -> None:
        super().__init__(number, gateways, half_life)
        self.quorum, self.sends_per_finding = 1, 1 << 30

    def has_severe_unsent(self, now: float) -> bool:
        return False

    def findings_for(self, now: float, peer: int, most: int) -> Iterator[Finding]:
        for name, observer in list(reversed(self.unsent))[:most]:
            k = self.findings[name][observer]
            yield Finding(*name, k.slowness, now - k.at, observer, k.stamp)


class Fleet:
    """So many limiters; ``ages`` holds ms from a thing's second observer to its verdict, for each limiter."""

    def __init__(self, limiters: int, loss: float, seed: int, make: Make = Verdicts,
                 cut: Callable[[float, int, int], bool] = lambda now, a, b: False) -> None:
        self.count, self.loss, self.cut = limiters, loss, cut
        self.chance = random.Random(seed)
        self.now, self.order = 0.0, 0
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.messages = self.bytes = self.asks = self.overflown = 0
        self.since: dict[int, float] = {}               # things wrong, and when the second observer found it
        self.ages: dict[int, dict[int, float]] = {}
        self.wrongly: set[tuple[int, int]] = set()     # (limiter, subject) condemned, and nothing was wrong
        self.of = [self._limiter(i, make) for i in range(limiters)]
        for x in self.of:
            self.at(self.chance.uniform(0.0, GOSSIP_INTERVAL_MS), lambda x=x: self._spread(x))       # type: ignore[misc]
            self.at(self.chance.uniform(0.0, 1000.0 / ASKS), lambda x=x: self._ask(x))      # type: ignore[misc]

    def _limiter(self, number: int, make: Make) -> Limiter:
        settings = io.Settings(number=number, gateways=self.count, inbox_per_s=INBOX, tick=TICK,
                               classes=(io.ServiceClass("c", AIM, 4000.0),), plans=(io.Plan("p"),))
        pace, verdicts = PeerPacer(INBOX, TICK, AIM), make(number, self.count, HALF)
        alone = Fallback(settings, Entitlements(settings.plans), -1e6)
        return Limiter(number, pace, verdicts, Outbox(number, AIM, pace, alone, verdicts))

    def at(self, when: float, act: Callable[[], object]) -> None:
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, act))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        self.now = until

    # What goes wrong ----------------------------------------------------------------------

    def wrong(self, subject: int, at: float) -> None:
        """From some time on two limiters find it bad, the second up to 200 ms later, as long as it stands."""
        first, second = self.chance.sample(range(self.count), 2)
        late = self.chance.uniform(0.0, 200.0)
        self.since[subject], self.ages[subject] = at + late, {}
        step = HALF / 8
        for n in range(int(STANDS / step)):
            self.at(at + n * step, lambda: self._finds(first, subject))
            self.at(at + late + n * step, lambda: self._finds(second, subject))

    def liar(self, number: int, at: float, subjects: range) -> None:
        """A limiter that finds everything bad, and does not doubt itself."""
        for n in range(int(STANDS / 500.0)):
            for subject in subjects:
                self.at(at + n * 500.0, lambda s=subject: self._finds(number, s))       # type: ignore[misc]

    def _finds(self, number: int, subject: int) -> None:
        x = self.of[number]
        x.verdicts.own_evidence.clear()          # many other things are in order: it does not doubt itself
        x.verdicts.record_evidence(self.now, subject, TOPIC, 12.0)

    # Words --------------------------------------------------------------------------------

    def _spread(self, x: Limiter) -> None:
        self.at(self.now + GOSSIP_INTERVAL_MS, lambda: self._spread(x))
        if x.verdicts.has_severe_unsent(self.now):
            peer = self.chance.randrange(self.count)
            if peer != x.number:
                x.outbox.request_message(peer)
                self._flush(x, peer)

    def _ask(self, x: Limiter) -> None:
        self.at(self.now + self.chance.expovariate(ASKS) * 1000.0, lambda: self._ask(x))
        near = [(x.number + n) % self.count for n in range(-NEIGHBOURS, NEIGHBOURS + 1)]
        peers = sorted({p for p in near if p != x.number})
        if peers:
            peer = self.chance.choice(peers)
            self.asks += 1
            x.outbox.send(peer, pw.Ask(1, x.number, 0, 1.0, 4000.0, 1.0))
            self._flush(x, peer)

    def _flush(self, x: Limiter, peer: int) -> None:
        if peer not in x.outbox.send_at:
            return
        heard = sum(self.now - at <= 1000.0 for at in x.heard.values())
        for found in x.outbox.flush(self.now, peer, heard, lambda: ()):
            if isinstance(found, bytes):
                self._tell(x.number, peer, found)
            else:
                self.at(self.now + found, lambda: self._flush(x, peer))

    def _tell(self, sender: int, to: int, data: bytes) -> None:
        self.messages += 1
        self.bytes += len(data)
        if self.chance.random() >= self.loss and not self.cut(self.now, sender, to):
            self.at(self.now + self.chance.uniform(*DELAY), lambda: self._arrive(sender, to, data))

    def _arrive(self, sender: int, to: int, data: bytes) -> None:
        x = self.of[to]
        while x.inbox and x.inbox[0] <= self.now - 1000.0:
            x.inbox.popleft()
        if len(x.inbox) >= INBOX:
            self.overflown += 1
            return
        x.inbox.append(self.now)
        x.heard[sender] = self.now
        x.pace.record_arrival(self.now, sender)
        for item in pw.unpack(data):
            match item:
                case pw.Loads(((pw.INBOX_RATE_ID, allowed), *_)):
                    x.pace.record_allowance(self.now, sender, allowed / pw.STEPS_PER_UNIT)
                case pw.Ask():
                    x.outbox.send(sender, pw.Verdict(item.number, True, 1.0, 0))
                    self._flush(x, sender)
                case Finding():
                    x.verdicts.receive(self.now, sender, item)
                    self._look(x, item.subject)

    def _look(self, x: Limiter, subject: int) -> None:
        if x.verdicts.verdict(self.now, subject, TOPIC) >= BAD_SLOWNESS:
            if subject not in self.since:
                self.wrongly.add((x.number, subject))
            elif x.number not in self.ages[subject]:
                self.ages[subject][x.number] = max(0.0, self.now - self.since[subject])

    def pairs(self) -> list[float]:
        """Ages of all pairs of a thing and a limiter other than its observers; infinite: it never came."""
        found: list[float] = []
        for ages in self.ages.values():
            mine = sorted(ages.values())[:self.count - 2]
            found += mine + [float("inf")] * (self.count - 2 - len(mine))
        return sorted(found)


def play(limiters: int, loss: float, seed: int = 1, things: int = 6, make: Make = Verdicts) -> Fleet:
    """Things that go wrong one after the other, each found by two."""
    fleet = Fleet(limiters, loss, seed, make)
    for n in range(things):
        fleet.wrong(1000 + n, BEGIN + n * EVERY)
    fleet.run(BEGIN + things * EVERY + STANDS)
    return fleet
